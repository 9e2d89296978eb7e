"""Other ways to choose a unit and to vote, for comparison only: never used by a relay.

Each is the relay's own decisions with one part exchanged, so every guard of the five rules stands in all of
them, and what differs is the choice alone. The choices: random; least of two by open trips; least
outstanding over all; round robin; peak EWMA (Finagle's: latency that rises at once and decays, times open
trips). The votes: by a clock; by a fixed error limit; by Wald's sequential test of the error share, as canary
tools use.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, log
from typing import Any

from lanelead.interface import Fate, Lookup, News, Phase, Report, Ticks, Trip, Verdict
from lanelead.rules import SECOND, Ballot, Fault, Relay
from lanelead.server import Server


class _Choice(Relay):
    """Relays whose two choices are exchanged: `rank` orders the units that may be had."""

    def _two(self, servers: Sequence[Server], lookup: Lookup, asked: Sequence[Server]) -> list[Server]:
        fit = [
            server
            for server in servers
            if server not in asked and server.aside <= self.now and self._open(server, lookup)
        ]
        return self.rank(fit)[:2] if fit else []

    def rank(self, fit: list[Server]) -> list[Server]:
        raise NotImplementedError


class Anyone(_Choice):
    def rank(self, fit: list[Server]) -> list[Server]:
        return self._chance.sample(fit, min(2, len(fit)))


class LeastOfTwo(_Choice):
    def rank(self, fit: list[Server]) -> list[Server]:
        return sorted(self._chance.sample(fit, min(2, len(fit))), key=lambda server: len(server.out))


class LeastOfAll(_Choice):
    def rank(self, fit: list[Server]) -> list[Server]:
        least = min(len(server.out) for server in fit)
        return [self._chance.choice([server for server in fit if len(server.out) == least])]


class RoundRobin(_Choice):
    _turn = 0

    def rank(self, fit: list[Server]) -> list[Server]:
        self._turn += 1
        return [fit[self._turn % len(fit)]]


class PeakEwma(_Choice):
    DECAY: Ticks = 10 * SECOND

    def __init__(self, **given: Any) -> None:
        super().__init__(**given)
        self._peaks = dict[Server, tuple[float, Ticks]]()

    def _peak(self, server: Server) -> float:
        cost, at = self._peaks.get(server, (0.0, self.now))
        return cost * exp((at - self.now) / self.DECAY)

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: Ticks, report: Report | None) -> None:
        server = trip.unit
        assert isinstance(server, Server)
        before = self._peak(server)
        weight = exp(-(self.now - self._peaks.get(server, (0, self.now))[1]) / self.DECAY)
        cost = took if took > before else before * weight + took * (1 - weight)
        self._peaks[server] = cost, self.now
        super().ended(trip, fate, closed, took, report)

    def rank(self, fit: list[Server]) -> list[Server]:
        two = self._chance.sample(fit, min(2, len(fit)))
        return sorted(two, key=lambda server: (1 + self._peak(server)) * (1 + len(server.out)))


class _Voter(Relay):
    """Relays whose verdict is exchanged."""

    def __init__(self, **given: Any) -> None:
        super().__init__(**given)
        self._ballot = _Exchanged(self)

    def judged(self, news: News, ripe: bool) -> Verdict | None:
        raise NotImplementedError

    def errors(self, news: News) -> tuple[int, int]:
        """Errors and outcomes seen at the build on trial in this stage's windows."""
        windows = [w for w in self._scoring._since(self._told) if w.build == news.build]
        bad = (Fault.BROKEN, Fault.SILENT)
        return sum(w.faults.get(f, 0) for w in windows for f in bad), sum(w.outcomes for w in windows)


class _Exchanged(Ballot):
    def __init__(self, relay: _Voter) -> None:
        super().__init__(relay._poll, relay._chance)
        self._relay = relay

    def verdict(self, news: News, ripe: bool, margin: float, lately: float, creep: bool) -> Verdict | None:
        return self._relay.judged(news, ripe)


class ByClock(_Voter):
    """On after a while, whatever is seen; never back."""

    def judged(self, news: News, ripe: bool) -> Verdict | None:
        return Verdict.ON if news.phase is Phase.TRIAL and self.now - self._told > 5 * SECOND else None


class ErrorLimit(_Voter):
    """Back at over 5 errors of 100, of 20 outcomes or more; on after a while."""

    def judged(self, news: News, ripe: bool) -> Verdict | None:
        errors, outcomes = self.errors(news)
        if outcomes >= 20 and errors > 0.05 * outcomes:
            return Verdict.BACK
        return Verdict.ON if news.phase is Phase.TRIAL and self.now - self._told > 5 * SECOND else None


class Sequential(_Voter):
    """Wald's test of an error share of 1 in 200 against 1 in 20, both errors 1 in 100 (Wald 1945)."""

    GOOD, BAD, RISK = 0.005, 0.05, 0.01

    def judged(self, news: News, ripe: bool) -> Verdict | None:
        errors, outcomes = self.errors(news)
        weight = errors * log(self.BAD / self.GOOD)
        weight += (outcomes - errors) * log((1 - self.BAD) / (1 - self.GOOD))
        if weight >= log((1 - self.RISK) / self.RISK):
            return Verdict.BACK
        good = weight <= log(self.RISK / (1 - self.RISK))
        return Verdict.ON if news.phase is Phase.TRIAL and good else None


POLICIES: dict[str, type[Relay]] = {
    "lanelead": Relay, "random": Anyone, "least of two": LeastOfTwo, "least of all": LeastOfAll,
    "round robin": RoundRobin, "peak ewma": PeakEwma, "by clock": ByClock, "error limit": ErrorLimit,
    "sequential": Sequential,
}  # fmt: skip
