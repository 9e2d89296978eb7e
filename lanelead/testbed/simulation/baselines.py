"""Other ways to choose a unit and to vote, for comparison only: never used by a relay.

Each is the relay's own decisions with one part exchanged, so every guard of the five rules stands in all of
them, and what differs is the choice alone. The choices: random; least of two by open trips; least
outstanding over all; round robin; peak EWMA (Finagle's: latency that rises at once and decays, times open
trips). The votes: by a clock; by a fixed error limit; by Wald's sequential test of the error share, as canary
tools use.
"""

from __future__ import annotations

from math import exp, log
from typing import Any

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.endpoint_selection import EndpointPair, Endpoints, EndpointSelector
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.interface import (
    SECOND,
    Attempt,
    AttemptOutcome,
    LoadReport,
    Request,
    RolloutPhase,
    RolloutState,
    Ticks,
    Verdict,
    VotingRules,
)
from lanelead.decisions.rollout_votes import CanaryAssessment, VoteCaster


class _Ranked(EndpointSelector):
    """Relays whose two choices are exchanged: `rank` orders the units that may be had."""

    def select_from(self, servers: Endpoints, request: Request, now: Ticks, already_checked: Endpoints) -> EndpointPair:
        fit = [
            server
            for server in servers
            if server not in already_checked
            and server.ejected_until <= now
            and self.guards.accepts(server, request, now)
        ]
        return self.rank(fit, now)[:2] if fit else []

    def rank(self, fit: list[EndpointState], now: Ticks) -> list[EndpointState]:
        raise NotImplementedError


class _Anyone(_Ranked):
    def rank(self, fit: list[EndpointState], now: Ticks) -> list[EndpointState]:
        return self.rng.sample(fit, min(2, len(fit)))


class _LeastOfTwo(_Ranked):
    def rank(self, fit: list[EndpointState], now: Ticks) -> list[EndpointState]:
        return sorted(self.rng.sample(fit, min(2, len(fit))), key=lambda server: len(server.in_flight))


class _LeastOfAll(_Ranked):
    def rank(self, fit: list[EndpointState], now: Ticks) -> list[EndpointState]:
        least = min(len(server.in_flight) for server in fit)
        return [self.rng.choice([server for server in fit if len(server.in_flight) == least])]


class _RoundRobin(_Ranked):
    _turn = 0

    def rank(self, fit: list[EndpointState], now: Ticks) -> list[EndpointState]:
        self._turn += 1
        return [fit[self._turn % len(fit)]]


class Peaks(_Ranked):
    DECAY: Ticks = 10 * SECOND

    def __init__(self, **given: Any) -> None:
        super().__init__(**given)
        self._peaks = dict[EndpointState, tuple[float, Ticks]]()

    def _peak(self, server: EndpointState, now: Ticks) -> float:
        cost, at = self._peaks.get(server, (0.0, now))
        return cost * exp((at - now) / self.DECAY)

    def took(self, server: EndpointState, took: Ticks, now: Ticks) -> None:
        before = self._peak(server, now)
        weight = exp(-(now - self._peaks.get(server, (0, now))[1]) / self.DECAY)
        cost = took if took > before else before * weight + took * (1 - weight)
        self._peaks[server] = cost, now

    def rank(self, fit: list[EndpointState], now: Ticks) -> list[EndpointState]:
        two = self.rng.sample(fit, min(2, len(fit)))
        return sorted(two, key=lambda server: (1 + self._peak(server, now)) * (1 + len(server.in_flight)))


class Anyone(Balancer):
    selector_type = _Anyone


class LeastOfTwo(Balancer):
    selector_type = _LeastOfTwo


class LeastOfAll(Balancer):
    selector_type = _LeastOfAll


class RoundRobin(Balancer):
    selector_type = _RoundRobin


class PeakEwma(Balancer):
    selector_type = Peaks

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: Ticks, report: LoadReport | None
    ) -> None:
        assert isinstance(self._selector, Peaks)
        self._selector.took(state_of(attempt.endpoint), took, self.now)
        super().attempt_ended(attempt, outcome, closed, took, report)


class _Voter(Balancer):
    """Relays whose verdict is exchanged."""

    def __init__(self, **given: Any) -> None:
        super().__init__(**given)
        self._rollout.votes = _Exchanged(self, given["voting_rules"])

    def judged(self, news: RolloutState, ripe: bool) -> Verdict | None:
        raise NotImplementedError

    def aged(self) -> bool:
        return self.now - self._rollout.stage_began_at > 5 * SECOND

    def errors(self, news: RolloutState) -> tuple[int, int]:
        """Errors and outcomes seen at the build on trial in this stage's windows."""
        windows = [w for w in self._scoring.history.since(self._rollout.stage_began_at) if w.build == news.build]
        bad = (Fault.ERROR, Fault.TIMED_OUT)
        return sum(w.faults.get(f, 0) for w in windows for f in bad), sum(w.outcomes for w in windows)


class _Exchanged(VoteCaster):
    def __init__(self, relay: _Voter, poll: VotingRules) -> None:
        super().__init__(poll, relay._rng)
        self._relay = relay

    def choose_verdict(self, rollout: RolloutState, assessment: CanaryAssessment) -> Verdict | None:
        return self._relay.judged(rollout, assessment.is_observation_complete)


class ByClock(_Voter):
    """On after a while, whatever is seen; never back."""

    def judged(self, news: RolloutState, ripe: bool) -> Verdict | None:
        return Verdict.PROMOTE if news.phase is RolloutPhase.CANARY and self.aged() else None


class ErrorLimit(_Voter):
    """Back at over 5 errors of 100, of 20 outcomes or more; on after a while."""

    def judged(self, news: RolloutState, ripe: bool) -> Verdict | None:
        errors, outcomes = self.errors(news)
        if outcomes >= 20 and errors > 0.05 * outcomes:
            return Verdict.ROLL_BACK
        return Verdict.PROMOTE if news.phase is RolloutPhase.CANARY and self.aged() else None


class Sequential(_Voter):
    """Wald's test of an error share of 1 in 200 against 1 in 20, both errors 1 in 100 (Wald 1945)."""

    GOOD, BAD, RISK = 0.005, 0.05, 0.01

    def judged(self, news: RolloutState, ripe: bool) -> Verdict | None:
        errors, outcomes = self.errors(news)
        weight = errors * log(self.BAD / self.GOOD)
        weight += (outcomes - errors) * log((1 - self.BAD) / (1 - self.GOOD))
        if weight >= log((1 - self.RISK) / self.RISK):
            return Verdict.ROLL_BACK
        good = weight <= log(self.RISK / (1 - self.RISK))
        return Verdict.PROMOTE if news.phase is RolloutPhase.CANARY and good else None


POLICIES: dict[str, type[Balancer]] = {
    "lanelead": Balancer,
    "random": Anyone,
    "least of two": LeastOfTwo,
    "least of all": LeastOfAll,
    "round robin": RoundRobin,
    "peak ewma": PeakEwma,
    "by clock": ByClock,
    "error limit": ErrorLimit,
    "sequential": Sequential,
}
