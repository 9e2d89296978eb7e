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

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    CanaryLimits,
    CancelAttempt,
    CompletionCount,
    DeduplicationScope,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FailRequest,
    FleetLatency,
    GossipEntry,
    Idempotency,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
    Prices,
    PromotionControl,
    RejectRequest,
    RelayPosition,
    Request,
    RequestClass,
    ResourceQuota,
    RolloutPhase,
    RolloutState,
    SendGossip,
    ServiceLimits,
    SetTimer,
    StartAttempt,
    Ticks,
    UpdateScope,
    VotingRules,
    ZonePreference,
)
from lanelead.testbed.simulation.hosts import Machine, Plan

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
        self.relay = Balancer(
            position=RelayPosition(number, plan.relays, zone),
            request_classes=world.lanes,
            tenants=[],
            quota=ResourceQuota(3, 10_000, 1, True, False, plan.peers, True, True, 2 * SECOND, SECOND // 4),
            limits=world.duties,
            canary_limits=world.trial,
            voting_rules=world.poll,
            prices=Prices(0, 0, 0, 0, 0, 0, 0, 1),
            rng=Random(world.seed * 7919 + number),
            now=START,
            preference=ZonePreference(tiers),
        )
        if world.policy is not None:
            self.relay._spillover = world.policy(tiers, world.duties, Random(world.seed * 31 + number))
        self.units: dict[Machine, Endpoint] = {}
        self.machines: dict[Endpoint, Machine] = {}
        self.out: dict[Attempt, tuple[Machine, int]] = {}
        self.relay.now = START

    def listed(self, update_scope: UpdateScope, rows: list[tuple[Machine, EndpointStatus, Ticks]]) -> None:
        records = []
        for machine, condition, since in rows:
            if machine not in self.units:
                unit = self.units[machine] = self.relay.new_endpoint(int(machine.name[1:]))
                self.machines[unit] = machine
            records.append(EndpointRecord(self.units[machine], machine.zone, 0, "std", since, 1, 1.0, condition))
        self.relay.now = self.world.now
        self.relay.endpoints_updated(update_scope, records)
        self.carry()

    def carry(self) -> None:
        world, relay = self.world, self.relay
        while relay.actions:
            actions, relay.actions = relay.actions, []
            for action in actions:
                match action:
                    case StartAttempt(attempt):
                        world.send(self, attempt)
                    case SetTimer(at, request):
                        world.at(max(at, world.now), lambda request=request: self.wake(request))  # type: ignore[misc]
                    case RejectRequest(request, _):
                        world.finish(request, "shed")
                    case FailRequest(request):
                        world.finish(request, "broken off")
                    case CancelAttempt(attempt):
                        if self.out.pop(attempt, None) is not None:
                            world.at(world.now, lambda attempt=attempt: self.ended(attempt, AttemptOutcome.CANCELLED))  # type: ignore[misc]
                    case SendGossip(peer, words):
                        world.tell(self, peer, words)

    def wake(self, request: Request | None) -> None:
        self.relay.now = self.world.now
        self.relay.timer_fired(request)
        self.carry()

    def ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if attempt.outcome is not None:
            return
        self.relay.now = now = self.world.now
        done = outcome is AttemptOutcome.SUCCEEDED
        if done and not attempt.request.finished:
            self.world.finish(attempt.request, "done")
        self.relay.attempt_ended(attempt, outcome, done, now - attempt.sent_at, None)
        self.carry()


Policy = Callable[[tuple[tuple[str, ...], ...], ServiceLimits, Random], Any]


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
            RequestClass(
                "status", expected, limit, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
            ),
            RequestClass(
                "submit", expected, limit, 3.0, 0.2, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
            ),
        ]
        cold = int(plan.cold * SECOND)
        self.duties = ServiceLimits(20 * ms, 2 * SECOND, plan.cold_share, cold, plan.multiple, SECOND, False, 0, 5 * ms)
        self.trial = CanaryLimits((0.1, 1.0), (0.12, 1.0), 3.0, 3 * SECOND, False, 0, False, False)
        self.poll = VotingRules(
            PromotionControl.FIRST_VOTE, 1, 1, 0, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.35, 6.0, 0.0
        )
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
        self._asked: dict[Request, Ticks] = {}
        self.sends: dict[tuple[str, str], list[int]] = {}  # by the second: from a relay's zone to a unit's
        self.series: list[dict[str, float]] = []

    # Time

    def at(self, when: Ticks, call: Callable[[], None]) -> None:
        self._number += 1
        heappush(self._heap, (max(when, self.now), self._number, call))

    def run(self) -> World:
        plan = self.plan
        for host in self.hosts:
            host.listed(UpdateScope.CACHED, [(machine, EndpointStatus.READY, 0) for machine in self.machines])
            host.relay.rollout_updated(
                RolloutState(1, 1, RolloutPhase.PROMOTED, 1.0, 0, False, AttemptOutcome.SUCCEEDED)
            )
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
        request_class = self.lanes[self._arrivals.random() < self.plan.effectful]
        request = Request(request_class, None, None, self.now, self.now + int(self.plan.limit * SECOND))
        self._asked[request] = self.now
        host.relay.now = self.now
        host.relay.request_received(request)
        host.carry()

    def finish(self, request: Request, end: str) -> None:
        asked = self._asked.pop(request, None)
        if asked is None:
            return
        timely = end == "done" and self.now - asked <= request.request_class.latency_objective
        share = 1.0 if timely else request.request_class.late_value if end == "done" else 0.0
        value = request.request_class.value
        self.rows.append(((asked - START) / SECOND, value, end, value * share, timely))

    # Units

    def _latency(self, host: Host, machine: Machine) -> Ticks:
        base = 2 if host.zone == machine.zone else 20
        return max(1, int(base * self._net.uniform(0.7, 1.5)))

    def send(self, host: Host, attempt: Attempt) -> None:
        machine = host.machines[attempt.endpoint]
        host.out[attempt] = (machine, machine.life)
        second = (self.now - START) // SECOND
        counts = self.sends.setdefault((host.zone, machine.zone), [0] * (int(self.plan.seconds) + 10))
        counts[min(second, len(counts) - 1)] += 1
        self.at(attempt.sent_at + attempt.timeout, lambda: self._time_out(host, attempt))
        work = self._work.gammavariate(2.0, self.plan.work / 2)
        self.at(self.now + self._latency(host, machine), lambda: self._arrive(host, attempt, machine, work))

    def _time_out(self, host: Host, attempt: Attempt) -> None:
        if host.out.pop(attempt, None) is not None:
            host.ended(attempt, AttemptOutcome.TIMED_OUT)

    def _reply(self, host: Host, attempt: Attempt, machine: Machine, outcome: AttemptOutcome) -> None:
        def come() -> None:
            if host.out.pop(attempt, None) is not None:
                host.ended(attempt, outcome)

        self.at(self.now + self._latency(host, machine), come)

    def _arrive(self, host: Host, attempt: Attempt, machine: Machine, work: float) -> None:
        if machine.silent:
            return
        if not machine.up:
            self._reply(host, attempt, machine, AttemptOutcome.CONNECT_FAILED)
            return
        self._weigh(machine, work)
        if machine.fallen:
            return
        if machine.busy < self.plan.cores:
            self._begin(host, attempt, machine, work)
        elif len(machine.waiting) < self.plan.waiting_room:
            machine.waiting.append((host, attempt, work))
        else:
            self._reply(host, attempt, machine, AttemptOutcome.REJECTED)

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

    def _begin(self, host: Host, attempt: Attempt, machine: Machine, work: float) -> None:
        machine.busy += 1
        life, pace = machine.life, machine.speed * self.warmth(machine) / machine.slow
        self.at(self.now + max(1, int(work / pace * SECOND)), lambda: self._end(host, attempt, machine, life))

    def _end(self, host: Host, attempt: Attempt, machine: Machine, life: int) -> None:
        if machine.life != life:
            return
        machine.busy -= 1
        if not machine.silent and not machine.fallen:
            self._reply(host, attempt, machine, AttemptOutcome.SUCCEEDED)
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
            condition = EndpointStatus.READY if what == "back" else EndpointStatus.REMOVED
            self._spread(machine, condition, late, machine.life)

    def _cut(self, machine: Machine, silent: bool) -> None:
        machine.life += 1
        machine.up, machine.silent, machine.busy = False, silent, 0
        machine.waiting.clear()
        if silent:
            return
        for host in self.hosts:
            for attempt, (where, _) in list(host.out.items()):
                if where is machine:
                    self._reply(host, attempt, machine, AttemptOutcome.RESET)

    def _spread(self, machine: Machine, condition: EndpointStatus, late: float, life: int) -> None:
        """Each relay hears of it at its own moment."""
        for host in self.hosts:
            delay = int((late + self._net.uniform(*self.plan.told)) * SECOND)

            def tell(host: Host = host) -> None:
                if machine.life == life:
                    host.listed(UpdateScope.DELTA, [(machine, condition, machine.since)])

            self.at(self.now + delay, tell)

    def tell(self, host: Host, peer: int | None, words: Sequence[GossipEntry]) -> None:
        for other in self.hosts:
            if other is host or (peer is not None and other.number != peer) or self._net.random() < 0.02:
                continue
            self.at(self.now + 50, lambda other=other: self._heard(other, host, words))  # type: ignore[misc]

    def _heard(self, other: Host, host: Host, words: Sequence[GossipEntry]) -> None:
        theirs = list[GossipEntry]()
        for word in words:
            if isinstance(word, FleetLatency | CompletionCount | InFlightBound):
                theirs.append(word)
            elif (machine := host.machines.get(word.endpoint)) in other.units:
                unit = other.units[machine]
                if isinstance(word, InFlightCount):
                    theirs.append(InFlightCount(unit, word.attempts))
                else:
                    theirs.append(
                        OutcomeObservation(unit, word.request_class, word.build, word.outcomes, list(word.faults))
                    )
        other.relay.now = self.now
        other.relay.gossip_received(host.number, theirs)
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
