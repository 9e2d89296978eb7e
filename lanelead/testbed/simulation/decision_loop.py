"""A small simulation of the decision loop: relays, endpoints with queues, and zones that fail and return.

It models what the spillover between zones depends on. Endpoints have cores, a waiting room, a slow start and fall over
under overload; the network has a delay; a dead endpoint refuses connections at once and a silent one never answers;
each relay receives changes of the endpoint list late, at its own time; clients send new requests without waiting for
responses. One event heap and one random stream per purpose give two policies the same arrivals. Times are ticks.
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


class SimulatedHost:
    """One relay: its decisions, and its short ids of the endpoints."""

    def __init__(self, world: World, number: int, zone: str, weight: float) -> None:
        self.world, self.number, self.zone, self.weight = world, number, zone, weight
        plan = world.plan
        tiers = plan.preference or ((zone,), tuple(other for other in plan.zones if other != zone))
        if plan.preference:
            # A relay's own zone always comes first.
            tiers = ((zone,), *(tuple(z for z in tier if z != zone) for tier in plan.preference))
            tiers = tuple(tier for tier in tiers if tier)
        self.relay = Balancer(
            position=RelayPosition(number, plan.relays, zone),
            request_classes=world.request_classes,
            tenants=[],
            quota=ResourceQuota(3, 10_000, 1, True, False, plan.peers, True, True, 2 * SECOND, SECOND // 4),
            limits=world.limits,
            canary_limits=world.canary_limits,
            voting_rules=world.voting_rules,
            prices=Prices(0, 0, 0, 0, 0, 0, 0, 1),
            rng=Random(world.seed * 7919 + number),
            now=START,
            preference=ZonePreference(tiers),
        )
        if world.policy is not None:
            self.relay._spillover = world.policy(tiers, world.limits, Random(world.seed * 31 + number))
        self.endpoint_of: dict[Machine, Endpoint] = {}
        self.machines: dict[Endpoint, Machine] = {}
        self.in_flight: dict[Attempt, tuple[Machine, int]] = {}
        self.relay.now = START

    def update_endpoints(self, update_scope: UpdateScope, rows: list[tuple[Machine, EndpointStatus, Ticks]]) -> None:
        """Gives the relay rows of the endpoint list, and carries out what it decides."""
        records = []
        for machine, status, since in rows:
            if machine not in self.endpoint_of:
                endpoint_id = self.endpoint_of[machine] = self.relay.new_endpoint(int(machine.name[1:]))
                self.machines[endpoint_id] = machine
            records.append(EndpointRecord(self.endpoint_of[machine], machine.zone, 0, "std", since, 1, 1.0, status))
        self.relay.now = self.world.now
        self.relay.endpoints_updated(update_scope, records)
        self.carry_out_actions()

    def carry_out_actions(self) -> None:
        """Carries out the relay's pending actions until there are none left."""
        world, relay = self.world, self.relay
        while relay.actions:
            actions, relay.actions = relay.actions, []
            for action in actions:
                match action:
                    case StartAttempt(attempt):
                        world.send(self, attempt)
                    case SetTimer(at, request):
                        world.at(max(at, world.now), lambda request=request: self.fire_timer(request))  # type: ignore[misc]
                    case RejectRequest(request, _):
                        world.record_end(request, "shed")
                    case FailRequest(request):
                        world.record_end(request, "broken off")
                    case CancelAttempt(attempt):
                        if self.in_flight.pop(attempt, None) is not None:
                            world.at(
                                world.now,
                                lambda attempt=attempt: self.end_attempt(attempt, AttemptOutcome.CANCELLED),  # type: ignore[misc]
                            )
                    case SendGossip(peer, entries):
                        world.send_gossip(self, peer, entries)

    def fire_timer(self, request: Request | None) -> None:
        """Fires a timer of the relay, or of one request."""
        self.relay.now = self.world.now
        self.relay.timer_fired(request)
        self.carry_out_actions()

    def end_attempt(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Reports an attempt's outcome to the relay; ignored where the attempt already has one."""
        if attempt.outcome is not None:
            return
        self.relay.now = now = self.world.now
        done = outcome is AttemptOutcome.SUCCEEDED
        if done and not attempt.request.finished:
            self.world.record_end(attempt.request, "done")
        self.relay.attempt_ended(attempt, outcome, done, now - attempt.sent_at, None)
        self.carry_out_actions()


Policy = Callable[[tuple[tuple[str, ...], ...], ServiceLimits, Random], Any]


class World:
    """All relays and endpoints of one run. `policy` replaces each relay's spillover policy where it is given."""

    def __init__(self, plan: Plan, seed: int, policy: Policy | None = None) -> None:
        self.plan, self.seed, self.policy = plan, seed, policy
        self.now = START
        self._heap: list[tuple[Ticks, int, Callable[[], None]]] = []
        self._number = 0
        # One random stream per purpose: draws for one do not affect another.
        self._arrivals, self._net, self._work = (Random(f"{seed} {name}") for name in ("arrivals", "net", "work"))
        fleet = Random(f"{seed} fleet")
        ms = SECOND // 1000
        expected, limit = int(plan.expected * SECOND), int(plan.limit * SECOND)
        self.request_classes = [
            RequestClass(
                "status", expected, limit, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
            ),
            RequestClass(
                "submit", expected, limit, 3.0, 0.2, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
            ),
        ]
        cold = int(plan.cold * SECOND)
        self.limits = ServiceLimits(20 * ms, 2 * SECOND, plan.cold_share, cold, plan.multiple, SECOND, False, 0, 5 * ms)
        self.canary_limits = CanaryLimits((0.1, 1.0), (0.12, 1.0), 3.0, 3 * SECOND, False, 0, False, False)
        self.voting_rules = VotingRules(
            PromotionControl.FIRST_VOTE, 1, 1, 0, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.35, 6.0, 0.0
        )
        self.machines = [
            Machine(f"u{n}", plan.zones[n % len(plan.zones)], fleet.uniform(0.9, 1.1)) for n in range(plan.units)
        ]
        weights = [fleet.lognormvariate(0, 0.5) for _ in range(plan.relays)]
        self.hosts = [
            SimulatedHost(self, n, plan.zones[n % len(plan.zones)], weights[n] / sum(weights))
            for n in range(plan.relays)
        ]
        self.capacity = sum(m.speed for m in self.machines) * plan.cores / plan.work  # requests a second
        self.rate = plan.load * self.capacity
        # A row holds: received at, value, outcome, value earned, within the objective.
        self.rows: list[tuple[float, float, str, float, bool]] = []
        self._open_requests: dict[Request, Ticks] = {}
        self.sends: dict[tuple[str, str], list[int]] = {}  # attempts in each second, by the zones of relay and endpoint
        self.series: list[dict[str, float]] = []

    # Time

    def at(self, when: Ticks, call: Callable[[], None]) -> None:
        """Schedules a call at a time, or now where that has passed."""
        self._number += 1
        heappush(self._heap, (max(when, self.now), self._number, call))

    def run(self) -> World:
        """Runs the plan to its end, including the time in which the last requests may end."""
        plan = self.plan
        for host in self.hosts:
            host.update_endpoints(UpdateScope.CACHED, [(machine, EndpointStatus.READY, 0) for machine in self.machines])
            host.relay.rollout_updated(
                RolloutState(1, 1, RolloutPhase.PROMOTED, 1.0, 0, False, AttemptOutcome.SUCCEEDED)
            )
            host.carry_out_actions()
            self._schedule_next_request(host)
        for second, what, zone, part in plan.events:
            self.at(START + int(second * SECOND), lambda event=(what, zone, part): self._apply_zone_event(*event))  # type: ignore[misc]
        end = START + int(plan.seconds * SECOND)
        last = end + int(plan.limit * SECOND) + SECOND
        while self._heap and self._heap[0][0] <= last:
            self.now, _, call = heappop(self._heap)
            call()
        return self

    def _schedule_next_request(self, host: SimulatedHost) -> None:
        gap = self._arrivals.expovariate(self.rate * host.weight)
        at = self.now + max(1, int(gap * SECOND))
        if at < START + int(self.plan.seconds * SECOND):
            self.at(at, lambda: self._receive_request(host))

    def _receive_request(self, host: SimulatedHost) -> None:
        self._schedule_next_request(host)
        request_class = self.request_classes[self._arrivals.random() < self.plan.effectful]
        request = Request(request_class, None, None, self.now, self.now + int(self.plan.limit * SECOND))
        self._open_requests[request] = self.now
        host.relay.now = self.now
        host.relay.request_received(request)
        host.carry_out_actions()

    def record_end(self, request: Request, end: str) -> None:
        """Records how a request ended and the value earned."""
        received_at = self._open_requests.pop(request, None)
        if received_at is None:
            return
        in_time = end == "done" and self.now - received_at <= request.request_class.latency_objective
        value_share = 1.0 if in_time else request.request_class.late_value if end == "done" else 0.0
        value = request.request_class.value
        self.rows.append(((received_at - START) / SECOND, value, end, value * value_share, in_time))

    # Endpoints

    def _network_delay(self, host: SimulatedHost, machine: Machine) -> Ticks:
        base = 2 if host.zone == machine.zone else 20
        return max(1, int(base * self._net.uniform(0.7, 1.5)))

    def send(self, host: SimulatedHost, attempt: Attempt) -> None:
        """Sends an attempt to its endpoint and schedules its timeout."""
        machine = host.machines[attempt.endpoint]
        host.in_flight[attempt] = (machine, machine.life)
        second = (self.now - START) // SECOND
        counts = self.sends.setdefault((host.zone, machine.zone), [0] * (int(self.plan.seconds) + 10))
        counts[min(second, len(counts) - 1)] += 1
        self.at(attempt.sent_at + attempt.timeout, lambda: self._time_out(host, attempt))
        work = self._work.gammavariate(2.0, self.plan.work / 2)
        self.at(self.now + self._network_delay(host, machine), lambda: self._arrive(host, attempt, machine, work))

    def _time_out(self, host: SimulatedHost, attempt: Attempt) -> None:
        if host.in_flight.pop(attempt, None) is not None:
            host.end_attempt(attempt, AttemptOutcome.TIMED_OUT)

    def _reply(self, host: SimulatedHost, attempt: Attempt, machine: Machine, outcome: AttemptOutcome) -> None:
        def deliver() -> None:
            if host.in_flight.pop(attempt, None) is not None:
                host.end_attempt(attempt, outcome)

        self.at(self.now + self._network_delay(host, machine), deliver)

    def _arrive(self, host: SimulatedHost, attempt: Attempt, machine: Machine, work: float) -> None:
        if machine.silent:
            return
        if not machine.up:
            self._reply(host, attempt, machine, AttemptOutcome.CONNECT_FAILED)
            return
        self._record_work(machine, work)
        if machine.fallen:
            return
        if machine.busy < self.plan.cores:
            self._start_work(host, attempt, machine, work)
        elif len(machine.waiting) < self.plan.waiting_room:
            machine.waiting.append((host, attempt, work))
        else:
            self._reply(host, attempt, machine, AttemptOutcome.REJECTED)

    def warmup_fraction(self, machine: Machine) -> float:
        """Return the share of its full speed that an endpoint has reached in its slow start."""
        age = (self.now - machine.since) / SECOND
        if not machine.since or age >= self.plan.cold:
            return 1.0
        return self.plan.cold_share + (1 - self.plan.cold_share) * age / self.plan.cold

    def _record_work(self, machine: Machine, work: float) -> None:
        warmup_fraction = self.warmup_fraction(machine)
        if warmup_fraction >= 1:
            return
        machine.recent.append((self.now, work))
        machine.sent += work
        while machine.recent[0][0] < self.now - SECOND:
            machine.sent -= machine.recent.popleft()[1]
        allowed = self.plan.multiple * self.plan.cores * machine.speed * warmup_fraction + 8 * self.plan.work
        machine.worst = max(machine.worst, machine.sent / allowed)
        if machine.sent > allowed:
            machine.fallen = True

    def _start_work(self, host: SimulatedHost, attempt: Attempt, machine: Machine, work: float) -> None:
        machine.busy += 1
        life, speed = machine.life, machine.speed * self.warmup_fraction(machine) / machine.slow
        self.at(self.now + max(1, int(work / speed * SECOND)), lambda: self._finish_work(host, attempt, machine, life))

    def _finish_work(self, host: SimulatedHost, attempt: Attempt, machine: Machine, life: int) -> None:
        if machine.life != life:
            return
        machine.busy -= 1
        if not machine.silent and not machine.fallen:
            self._reply(host, attempt, machine, AttemptOutcome.SUCCEEDED)
        while machine.waiting and machine.busy < self.plan.cores:
            other, waiting, work = machine.waiting.popleft()
            if waiting in other.in_flight:  # an attempt that has timed out is not started
                self._start_work(other, waiting, machine, work)

    # Zones

    def _apply_zone_event(self, what: str, zone: str, part: float) -> None:
        in_zone = [machine for machine in self.machines if machine.zone == zone]
        for machine in in_zone[: max(1, round(len(in_zone) * part))]:
            if what == "slow":
                machine.slow = 6.0
                continue
            if what in ("lost", "silent"):
                self._end_process(machine, what == "silent")
            elif what == "back":
                if machine.up and not machine.silent:
                    self._end_process(machine, False)  # a slow endpoint is restarted, which resets its attempts
                machine.up, machine.silent, machine.slow, machine.since = True, False, 1.0, self.now
                machine.life += 1
                machine.fallen, machine.sent = False, 0.0
                machine.recent.clear()
            notice_delay = 8.0 if what == "silent" else 0.0
            status = EndpointStatus.READY if what == "back" else EndpointStatus.REMOVED
            self._update_endpoint_lists(machine, status, notice_delay, machine.life)

    def _end_process(self, machine: Machine, silent: bool) -> None:
        machine.life += 1
        machine.up, machine.silent, machine.busy = False, silent, 0
        machine.waiting.clear()
        if silent:
            return
        for host in self.hosts:
            for attempt, (attempt_machine, _) in list(host.in_flight.items()):
                if attempt_machine is machine:
                    self._reply(host, attempt, machine, AttemptOutcome.RESET)

    def _update_endpoint_lists(self, machine: Machine, status: EndpointStatus, notice_delay: float, life: int) -> None:
        """Gives every relay an endpoint's new status, each after its own delay."""
        for host in self.hosts:
            delay = int((notice_delay + self._net.uniform(*self.plan.told)) * SECOND)

            def update(host: SimulatedHost = host) -> None:
                if machine.life == life:
                    host.update_endpoints(UpdateScope.DELTA, [(machine, status, machine.since)])

            self.at(self.now + delay, update)

    def send_gossip(self, host: SimulatedHost, peer: int | None, entries: Sequence[GossipEntry]) -> None:
        """Sends gossip entries to one relay or to all others; 2 % of the messages are lost."""
        for other in self.hosts:
            if other is host or (peer is not None and other.number != peer) or self._net.random() < 0.02:
                continue
            self.at(self.now + 50, lambda other=other: self._receive_gossip(other, host, entries))  # type: ignore[misc]

    def _receive_gossip(self, other: SimulatedHost, host: SimulatedHost, entries: Sequence[GossipEntry]) -> None:
        translated = list[GossipEntry]()
        for entry in entries:
            if isinstance(entry, FleetLatency | CompletionCount | InFlightBound):
                translated.append(entry)
            elif (machine := host.machines.get(entry.endpoint)) in other.endpoint_of:
                endpoint_id = other.endpoint_of[machine]
                if isinstance(entry, InFlightCount):
                    translated.append(InFlightCount(endpoint_id, entry.attempts))
                else:
                    translated.append(
                        OutcomeObservation(
                            endpoint_id, entry.request_class, entry.build, entry.outcomes, list(entry.faults)
                        )
                    )
        other.relay.now = self.now
        other.relay.gossip_received(host.number, translated)
        other.carry_out_actions()

    # Results

    def value(self, start: float, end: float) -> float:
        """Return the value earned over the value requested, of requests received between two seconds."""
        rows = [row for row in self.rows if start <= row[0] < end]
        requested = sum(row[1] for row in rows)
        return sum(row[3] for row in rows) / requested if requested else 1.0

    def worst(self) -> float:
        """Return the highest ratio of work sent to a cold endpoint to what it can take without falling over."""
        return max(machine.worst for machine in self.machines)
