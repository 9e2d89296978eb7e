"""One tiny fake host: it feeds a relay by hand, carries its acts out on paper and keeps the time."""

from __future__ import annotations

from random import Random

from lanelead.decisions.interface import (
    Act,
    Allowance,
    BreakOff,
    Condition,
    Control,
    Coverage,
    Duties,
    Fate,
    Lane,
    Listing,
    Lookup,
    News,
    Phase,
    Place,
    Poll,
    Repeat,
    Scope,
    Send,
    Shed,
    Tariff,
    Ticks,
    Trial,
    Trip,
    Unit,
    Vote,
    Wake,
)
from lanelead.decisions.rules import Relay

SECOND: Ticks = 10_000
PURE = Lane("read", SECOND, 4 * SECOND, 1.0, 0.0, Repeat.PURE, Scope.ALL, 0, False, 0.0)
RECEIPTED = Lane("save", SECOND, 4 * SECOND, 3.0, 0.0, Repeat.RECEIPTED, Scope.ZONE, 2 * SECOND, False, 0.0)
EFFECTFUL = Lane("file", SECOND, 4 * SECOND, 3.0, 0.0, Repeat.EFFECTFUL, Scope.ALL, 0, False, 0.0)


class FakeHost:
    def __init__(
        self,
        units: int = 8,
        by_lane: bool = False,
        guarded: int = 0,
        keys_stay: bool = False,
        control: Control = Control.FIRST_VOICE,
        copies: bool = True,
        probes: bool = False,
        now: Ticks = 0,
        relays: int = 3,
        number: int = 0,
        probe_price: float = 0.0,
        handshake_price: float = 0.0,
        idle_limit: Ticks = 0,
        least_stage: Ticks = SECOND,
    ) -> None:
        self.acts: list[Act] = []
        self.wakes: list[tuple[Ticks, Lookup | None]] = []
        self.relay = Relay(
            place=Place(number, relays, "z"),
            lanes=[PURE, RECEIPTED, EFFECTFUL],
            members=[],
            allowance=Allowance(4, 1000, 100, True, probes, True, copies, True, SECOND, SECOND // 4, idle_limit),
            duties=Duties(200, 2 * SECOND, 0.4, 4 * SECOND, 3.0, SECOND, False, 0, 50),
            trial=Trial((0.1, 0.5, 1), (0.1, 0.5, 1), 3.0, 4 * SECOND, by_lane, guarded, keys_stay, False),
            poll=Poll(control, 1, 1, 1, least_stage, 0, SECOND, 6 * SECOND, 100.0, 0.5, 2.0, 0.0),
            tariff=Tariff(probe_price, 0.0, 0.0, 0.0, 0.0, handshake_price, 0.0, 0.1),
            chance=Random(7),
            now=now,
        )
        self.relay.now = now
        self.units = [self.listed(1) for _ in range(units)]
        self.news(1, 2, Phase.RELEASED, 1.0)

    def listed(
        self,
        build: int,
        since: Ticks = 0,
        condition: Condition = Condition.READY,
        unit: Unit | None = None,
        zone: str = "z",
    ) -> Unit:
        unit = unit or self.relay.meet(0)
        told = Listing(unit, zone, 0, "std", since, build, 1.0, condition)
        self.relay.roster(Coverage.CHANGES, [told])
        return unit

    def news(
        self, build: int, stage: int, phase: Phase, cap: float, answer: bool = False, word: Fate = Fate.DONE
    ) -> None:
        self.relay.news(News(build, stage, phase, cap, 0, answer, word))
        self.drain()

    def ask(self, lane: Lane = PURE, key: str | None = None, left: Ticks = 4 * SECOND) -> Lookup:
        lookup = Lookup(lane, None, key, self.relay.now, self.relay.now + left)
        self.relay.take(lookup)
        self.drain()
        return lookup

    def end(self, trip: Trip, fate: Fate = Fate.DONE, took: Ticks = 1000) -> None:
        self.relay.ended(trip, fate, fate is Fate.DONE, took, None)
        self.drain()

    def drain(self) -> list[Act]:
        """Takes over what the relay wants done, and returns just that."""
        fresh = list(self.relay.acts)
        self.relay.acts.clear()
        self.acts += fresh
        self.wakes += [(act.at, act.lookup) for act in fresh if isinstance(act, Wake)]
        return fresh

    def run(self, span: Ticks) -> None:
        """Lets time pass, with every wake that falls due."""
        until = self.relay.now + span
        while due := [wake for wake in self.wakes if wake[0] <= until]:
            wake = min(due, key=lambda entry: entry[0])
            self.wakes.remove(wake)
            self.relay.now = max(self.relay.now, wake[0])
            self.relay.wake(wake[1])
            self.drain()
        self.relay.now = until

    def sent(self, lookup: Lookup | None = None) -> list[Trip]:
        trips = [act.trip for act in self.acts if isinstance(act, Send)]
        return [trip for trip in trips if lookup is None or trip.lookup is lookup]

    def finals(self, lookup: Lookup) -> list[Act]:
        return [act for act in self.acts if isinstance(act, Shed | BreakOff) and act.lookup is lookup]

    def votes(self) -> list[Vote]:
        return [act for act in self.acts if isinstance(act, Vote)]
