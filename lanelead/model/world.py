"""A small world in virtual time: relays that host the decisions, units with queues, zones that are lost and
return.

It is honest where the zone work needs it: units have cores, a waiting room, a cold start and fall over; the
network takes time; a dead unit refuses at once and a silent one answers nothing; the roster tells late,
each relay at its own moment; clients don't wait for answers to ask again. It has one heap of events and one
stream of chance for each purpose, so that two policies meet the same arrivals. Times are whole tenths of a
millisecond.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from random import Random
from typing import Any

from lanelead.decisions.interface import (
    Allowance,
    Answered,
    BreakOff,
    CallOff,
    Condition,
    Control,
    Coverage,
    Duties,
    Fate,
    Lane,
    Least,
    Listing,
    Load,
    Lookup,
    News,
    Pace,
    Phase,
    Place,
    Poll,
    Preference,
    Repeat,
    Scope,
    Send,
    Shed,
    Sighting,
    Tariff,
    Tell,
    Ticks,
    Trial,
    Trip,
    Unit,
    Wake,
    Word,
)
from lanelead.decisions.rules import Relay
from lanelead.model.machines import Machine, Plan

SECOND: Ticks = 10_000
START: Ticks = 3600 * SECOND


class Host:
    """One relay: the decisions, and the units as it knows them."""

    def __init__(self, world: World, number: int, zone: str, weight: float) -> None:
        self.world, self.number, self.zone, self.weight = world, number, zone, weight
        plan = world.plan
        tiers = plan.preference or ((zone,), tuple(other for other in plan.zones if other != zone))
        if plan.preference:
            # A relay's own zone comes first, whatever the order of the others.
            tiers = ((zone,), *(tuple(z for z in tier if z != zone) for tier in plan.preference))
            tiers = tuple(tier for tier in tiers if tier)
        self.relay = Relay(
            Place(number, plan.relays, zone),
            world.lanes,
            [],
            Allowance(3, 10_000, 1, True, False, plan.peers, True, True, 2 * SECOND, SECOND // 4),
            world.duties,
            world.trial,
            world.poll,
            Tariff(0, 0, 0, 0, 0, 0, 0, 1),
            Random(world.seed * 7919 + number),
            START,
            Preference(tiers),
        )
        if world.policy is not None:
            self.relay._spill = world.policy(tiers, world.duties, Random(world.seed * 31 + number))
        self.units: dict[Machine, Unit] = {}
        self.machines: dict[Unit, Machine] = {}
        self.out: dict[Trip, tuple[Machine, int]] = {}
        self.relay.now = START

    def listed(self, coverage: Coverage, rows: list[tuple[Machine, Condition, Ticks]]) -> None:
        listings = []
        for machine, condition, since in rows:
            if machine not in self.units:
                unit = self.units[machine] = self.relay.meet(int(machine.name[1:]))
                self.machines[unit] = machine
            listings.append(Listing(self.units[machine], machine.zone, 0, "std", since, 1, 1.0, condition))
        self.relay.now = self.world.now
        self.relay.roster(coverage, listings)
        self.carry()

    def carry(self) -> None:
        world, relay = self.world, self.relay
        while relay.acts:
            acts, relay.acts = relay.acts, []
            for act in acts:
                match act:
                    case Send(trip):
                        world.send(self, trip)
                    case Wake(at, lookup):
                        world.at(max(at, world.now), lambda lookup=lookup: self.wake(lookup))  # type: ignore[misc]
                    case Shed(lookup, _):
                        world.finish(lookup, "shed")
                    case BreakOff(lookup):
                        world.finish(lookup, "broken off")
                    case CallOff(trip):
                        if self.out.pop(trip, None) is not None:
                            world.at(world.now, lambda trip=trip: self.ended(trip, Fate.CALLED_OFF))  # type: ignore[misc]
                    case Tell(peer, words):
                        world.tell(self, peer, words)

    def wake(self, lookup: Lookup | None) -> None:
        self.relay.now = self.world.now
        self.relay.wake(lookup)
        self.carry()

    def ended(self, trip: Trip, fate: Fate) -> None:
        if trip.fate is not None:
            return
        self.relay.now = now = self.world.now
        done = fate is Fate.DONE
        if done and not trip.lookup.over:
            self.world.finish(trip.lookup, "done")
        self.relay.ended(trip, fate, done, now - trip.sent, None)
        self.carry()


Policy = Callable[[tuple[tuple[str, ...], ...], Duties, Random], Any]


class World:
    def __init__(self, plan: Plan, seed: int, policy: Policy | None = None) -> None:
        self.plan, self.seed, self.policy = plan, seed, policy
        self.now = START
        self._heap: list[tuple[Ticks, int, Callable[[], None]]] = []
        self._number = 0
        # A stream of chance for each purpose: what one part draws moves nothing in another.
        self._arrivals, self._net, self._work = (Random(f"{seed} {name}") for name in ("arrivals", "net", "work"))
        fleet = Random(f"{seed} fleet")
        ms = SECOND // 1000
        expected, limit = int(plan.expected * SECOND), int(plan.limit * SECOND)
        self.lanes = [
            Lane("status", expected, limit, 1.0, 0.2, Repeat.PURE, Scope.ALL, 0, False, 0.0),
            Lane("submit", expected, limit, 3.0, 0.2, Repeat.EFFECTFUL, Scope.ALL, 0, False, 0.0),
        ]
        cold = int(plan.cold * SECOND)
        self.duties = Duties(20 * ms, 2 * SECOND, plan.cold_share, cold, plan.multiple, SECOND, False, 0, 5 * ms)
        self.trial = Trial((0.1, 1.0), (0.12, 1.0), 3.0, 3 * SECOND, False, 0, False, False)
        self.poll = Poll(Control.FIRST_VOICE, 1, 1, 0, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.35, 6.0, 0.0)
        self.machines = [
            Machine(f"u{n}", plan.zones[n % len(plan.zones)], fleet.uniform(0.9, 1.1)) for n in range(plan.units)
        ]
        weights = [fleet.lognormvariate(0, 0.5) for _ in range(plan.relays)]
        self.hosts = [
            Host(self, n, plan.zones[n % len(plan.zones)], weights[n] / sum(weights)) for n in range(plan.relays)
        ]
        self.capacity = sum(m.speed for m in self.machines) * plan.cores / plan.work  # lookups a second
        self.rate = plan.load * self.capacity
        self.rows: list[tuple[float, float, str, float, bool]] = []  # asked at, value, end, earned, in time
        self._asked: dict[Lookup, Ticks] = {}
        self.sends: dict[tuple[str, str], list[int]] = {}  # by the second: from a relay's zone to a unit's
        self.series: list[dict[str, float]] = []

    # Time

    def at(self, when: Ticks, call: Callable[[], None]) -> None:
        self._number += 1
        heappush(self._heap, (max(when, self.now), self._number, call))

    def run(self) -> World:
        plan = self.plan
        for host in self.hosts:
            host.listed(Coverage.CACHED, [(machine, Condition.READY, 0) for machine in self.machines])
            host.relay.news(News(1, 1, Phase.RELEASED, 1.0, 0, False, Fate.DONE))
            host.carry()
            self._next(host)
        for second, what, zone, part in plan.events:
            self.at(START + int(second * SECOND), lambda event=(what, zone, part): self._happen(*event))  # type: ignore[misc]
        end = START + int(plan.seconds * SECOND)
        last = end + int(plan.limit * SECOND) + SECOND
        while self._heap and self._heap[0][0] <= last:
            self.now, _, call = heappop(self._heap)
            call()
        return self

    def _next(self, host: Host) -> None:
        gap = self._arrivals.expovariate(self.rate * host.weight)
        at = self.now + max(1, int(gap * SECOND))
        if at < START + int(self.plan.seconds * SECOND):
            self.at(at, lambda: self._ask(host))

    def _ask(self, host: Host) -> None:
        self._next(host)
        lane = self.lanes[self._arrivals.random() < self.plan.effectful]
        lookup = Lookup(lane, None, None, self.now, self.now + int(self.plan.limit * SECOND))
        self._asked[lookup] = self.now
        host.relay.now = self.now
        host.relay.take(lookup)
        host.carry()

    def finish(self, lookup: Lookup, end: str) -> None:
        asked = self._asked.pop(lookup, None)
        if asked is None:
            return
        timely = end == "done" and self.now - asked <= lookup.lane.expected_time
        share = 1.0 if timely else lookup.lane.late_value if end == "done" else 0.0
        value = lookup.lane.value
        self.rows.append(((asked - START) / SECOND, value, end, value * share, timely))

    # Units

    def _latency(self, host: Host, machine: Machine) -> Ticks:
        base = 2 if host.zone == machine.zone else 20
        return max(1, int(base * self._net.uniform(0.7, 1.5)))

    def send(self, host: Host, trip: Trip) -> None:
        machine = host.machines[trip.unit]
        host.out[trip] = (machine, machine.life)
        second = (self.now - START) // SECOND
        counts = self.sends.setdefault((host.zone, machine.zone), [0] * (int(self.plan.seconds) + 10))
        counts[min(second, len(counts) - 1)] += 1
        self.at(trip.sent + trip.limit, lambda: self._time_out(host, trip))
        work = self._work.gammavariate(2.0, self.plan.work / 2)
        self.at(self.now + self._latency(host, machine), lambda: self._arrive(host, trip, machine, work))

    def _time_out(self, host: Host, trip: Trip) -> None:
        if host.out.pop(trip, None) is not None:
            host.ended(trip, Fate.TIMED_OUT)

    def _reply(self, host: Host, trip: Trip, machine: Machine, fate: Fate) -> None:
        def come() -> None:
            if host.out.pop(trip, None) is not None:
                host.ended(trip, fate)

        self.at(self.now + self._latency(host, machine), come)

    def _arrive(self, host: Host, trip: Trip, machine: Machine, work: float) -> None:
        if machine.silent:
            return
        if not machine.up:
            self._reply(host, trip, machine, Fate.UNREACHABLE)
            return
        self._weigh(machine, work)
        if machine.fallen:
            return
        if machine.busy < self.plan.cores:
            self._begin(host, trip, machine, work)
        elif len(machine.waiting) < self.plan.waiting_room:
            machine.waiting.append((host, trip, work))
        else:
            self._reply(host, trip, machine, Fate.TURNED_AWAY)

    def warmth(self, machine: Machine) -> float:
        age = (self.now - machine.since) / SECOND
        if not machine.since or age >= self.plan.cold:
            return 1.0
        return self.plan.cold_share + (1 - self.plan.cold_share) * age / self.plan.cold

    def _weigh(self, machine: Machine, work: float) -> None:
        warmth = self.warmth(machine)
        if warmth >= 1:
            return
        machine.recent.append((self.now, work))
        machine.sent += work
        while machine.recent[0][0] < self.now - SECOND:
            machine.sent -= machine.recent.popleft()[1]
        may = self.plan.multiple * self.plan.cores * machine.speed * warmth + 8 * self.plan.work
        machine.worst = max(machine.worst, machine.sent / may)
        if machine.sent > may:
            machine.fallen = True

    def _begin(self, host: Host, trip: Trip, machine: Machine, work: float) -> None:
        machine.busy += 1
        life, pace = machine.life, machine.speed * self.warmth(machine) / machine.slow
        self.at(self.now + max(1, int(work / pace * SECOND)), lambda: self._end(host, trip, machine, life))

    def _end(self, host: Host, trip: Trip, machine: Machine, life: int) -> None:
        if machine.life != life:
            return
        machine.busy -= 1
        if not machine.silent and not machine.fallen:
            self._reply(host, trip, machine, Fate.DONE)
        while machine.waiting and machine.busy < self.plan.cores:
            other, waiting, work = machine.waiting.popleft()
            if waiting in other.out:  # whose time has passed is not begun
                self._begin(other, waiting, machine, work)

    # Zones

    def _happen(self, what: str, zone: str, part: float) -> None:
        mine = [machine for machine in self.machines if machine.zone == zone]
        for machine in mine[: max(1, round(len(mine) * part))]:
            if what == "slow":
                machine.slow = 6.0
                continue
            if what in ("lost", "silent"):
                self._cut(machine, what == "silent")
            elif what == "back":
                if machine.up and not machine.silent:
                    self._cut(machine, False)  # a slow one is restarted: what it held is cut
                machine.up, machine.silent, machine.slow, machine.since = True, False, 1.0, self.now
                machine.life += 1
                machine.fallen, machine.sent = False, 0.0
                machine.recent.clear()
            late = 8.0 if what == "silent" else 0.0
            condition = Condition.READY if what == "back" else Condition.GONE
            self._spread(machine, condition, late, machine.life)

    def _cut(self, machine: Machine, silent: bool) -> None:
        machine.life += 1
        machine.up, machine.silent, machine.busy = False, silent, 0
        machine.waiting.clear()
        if silent:
            return
        for host in self.hosts:
            for trip, (where, _) in list(host.out.items()):
                if where is machine:
                    self._reply(host, trip, machine, Fate.CUT)

    def _spread(self, machine: Machine, condition: Condition, late: float, life: int) -> None:
        """Each relay hears of it at its own moment."""
        for host in self.hosts:
            delay = int((late + self._net.uniform(*self.plan.told)) * SECOND)

            def tell(host: Host = host) -> None:
                if machine.life == life:
                    host.listed(Coverage.CHANGES, [(machine, condition, machine.since)])

            self.at(self.now + delay, tell)

    def tell(self, host: Host, peer: int | None, words: Sequence[Word]) -> None:
        for other in self.hosts:
            if other is host or (peer is not None and other.number != peer) or self._net.random() < 0.02:
                continue
            self.at(self.now + 50, lambda other=other: self._heard(other, host, words))  # type: ignore[misc]

    def _heard(self, other: Host, host: Host, words: Sequence[Word]) -> None:
        theirs = list[Word]()
        for word in words:
            if isinstance(word, Pace | Answered | Least):
                theirs.append(word)
            elif (machine := host.machines.get(word.unit)) in other.units:
                unit = other.units[machine]
                if isinstance(word, Load):
                    theirs.append(Load(unit, word.trips))
                else:
                    theirs.append(Sighting(unit, word.lane, word.build, word.outcomes, list(word.faults)))
        other.relay.now = self.now
        other.relay.heard(host.number, theirs)
        other.carry()

    # Figures

    def value(self, start: float, end: float) -> float:
        """The value earned over the value asked, of lookups asked between two seconds."""
        rows = [row for row in self.rows if start <= row[0] < end]
        asked = sum(row[1] for row in rows)
        return sum(row[3] for row in rows) / asked if asked else 1.0

    def worst(self) -> float:
        """The most that a cold unit was sent, over what it may take without falling over."""
        return max(machine.worst for machine in self.machines)
