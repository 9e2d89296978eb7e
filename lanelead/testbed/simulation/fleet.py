"""Runs a scenario in virtual time, with the same script and driver as on sockets, and records it in the same form.

Each simulated relay hosts the production `DecisionDriver`, so requests, timers, ids and gossip run the same code as in
a real relay. Demand, the endpoints' service model and the counting of votes are shared with the emulators. Only
sockets and processes are simulated: a network hop takes `hop` seconds (`far` to another zone), a dead process refuses
connections, a stopped one answers once it resumes, and a new connection costs one more round trip.
`unsupported_events` lists the script's events that are not simulated.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    AttemptOutcome,
    CastVote,
    Decisions,
    Endpoint,
)
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage, RolloutMessage, VoteRequest
from lanelead.protocols.vocabulary import VERDICT_WORDS, VOTE_OUTCOMES
from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.emulators.service_model import Build, EndpointOptions
from lanelead.testbed.emulators.workload import Operation, Workload
from lanelead.testbed.simulation.build_moves import BuildMoves
from lanelead.testbed.simulation.clock import CLOCK_START_SECONDS, Clock, SimulationProcess, random_stream
from lanelead.testbed.simulation.event_recorder import EventRecorder
from lanelead.testbed.simulation.fault_injection import SOCKETS_ONLY, FaultInjector
from lanelead.testbed.simulation.simulated_clients import ClientCounters, ClientPool
from lanelead.testbed.simulation.simulated_endpoint import SimulatedEndpoint
from lanelead.testbed.simulation.simulated_relay import SimulatedRelay
from lanelead.testbed.simulation.simulated_rollout import SimulatedRolloutPlatform


class SimulatedFleet:
    """The relays, endpoints, clients and rollout platform of one scenario in virtual time.

    Parameters
    ----------
    make
        Creates each relay's decisions.
    silent
        Keep no recording, for large fleets.
    hop, far
        Mean network delay in seconds within a zone and to another zone; `far` defaults to `hop`.
    """

    def __init__(
        self,
        day: Scenario,
        seed: int,
        make: Callable[..., Decisions] = Balancer,
        silent: bool = False,
        hop: float = 2e-4,
        far: float | None = None,
    ) -> None:
        self.day, self.seed, self.make_decisions, self.hop_mean = day, seed, make, hop
        self.far_hop = hop if far is None else far
        self.clock = Clock(CLOCK_START_SECONDS)
        self.recorder = EventRecorder(self.clock, silent)
        self.unsupported_events = sorted({event.kind for event in day.events if event.kind in SOCKETS_ONLY})
        self.network_rng, self.fleet_rng = random_stream(seed, "net"), random_stream(seed, "fleet")
        self.demand = Workload(day.service, day.clients, day.relays, random_stream(seed, "demand"))
        self.ops: dict[str, Operation] = {}
        self.bad_requests: set[str] = set()
        self.wrong_responses: dict[str, str] = {}
        self.receipts: dict[tuple[str, str, str], float] = {}
        self.builds = {1: Build(1)}
        self.endpoints: dict[str, SimulatedEndpoint] = {}
        self.endpoint_rows: dict[str, EndpointMessage] = {}
        self.list_version, self.discovery_away, self.datagram_loss, self.launched = 0, False, 0.0, 0
        spread = day.units.speed_spread
        self.speeds = [self.fleet_rng.uniform(1 - spread, 1 + spread) for _ in range(day.units.count)]
        self.clients = ClientPool(self)
        self.build_moves = BuildMoves(self)
        self.faults = FaultInjector(self)
        self.relays: list[SimulatedRelay] = []
        self.counts = ClientCounters()

    def run(self) -> SimulatedFleet:
        """Runs the scenario to its end, including the time in which the last responses may arrive."""
        day = self.day
        self.rollout_platform = SimulatedRolloutPlatform(self)
        for place in range(day.units.count):
            self.launch(1, place, False)
        for number in range(day.relays):
            self.relays.append(self.start_relay(number))
        self.clock.run_process(self.rollout_platform.run())
        self.recorder.note("conductor", "begin", seconds=day.seconds, seed=self.seed)
        self.clock.run_process(self.clients.arrivals())
        for number, offer in enumerate(day.desk.offers, 2):
            self.builds[number] = Build(number, offer.speed, offer.bad, offer.strength, offer.lane)
            self.clock.later(offer.at, self.offer_build, number, offer.bad)
        for event in day.events:
            self.clock.later(event.at, lambda event=event: self.clock.run_process(self.faults.run(event)))
        longest = max(request_class.outer_limit_ms for request_class in day.service.lanes) / 1000
        self.clock.run(CLOCK_START_SECONDS + day.seconds + longest + 2 * day.slack_ms / 1000 + 1)
        for relay in self.relays:
            self.recorder.note("conductor", "relay_term", relay=relay.number)
        return self

    def value_share(self) -> float:
        """Return the value earned over the value requested, computed as the rules' verifier does."""
        asked = sum(self.counts.requested_value.values())
        return round(sum(self.counts.earned_value.values()) / asked, 4) if asked else 0.0

    def offer_build(self, number: int, bad: str | None) -> None:
        """Offers a new build to the rollout platform."""
        self.recorder.note("conductor", "offer", build=number, bad=bad)
        self.rollout_platform.offer(number)

    def start_relay(self, number: int) -> SimulatedRelay:
        """Starts a relay and sends it the endpoint list and the rollout state."""
        relay = SimulatedRelay(self, number, self.make_decisions)
        self.recorder.note("conductor", "relay_start", relay=number, pid=0)
        self.send_list(relay, "full", list(self.endpoint_rows.values()))
        line = self.rollout_platform.line()
        self.rollout_platform.told(number, line)
        relay.call_when_running(lambda: relay.driver.rollout_read(line, False, AttemptOutcome.SUCCEEDED))
        return relay

    def hop_delay(self, relay: SimulatedRelay, endpoint: SimulatedEndpoint) -> float:
        """Draws the delay in seconds of one message between a relay and an endpoint."""
        mean = self.hop_mean if relay.zone == endpoint.zone else self.far_hop
        return mean * self.network_rng.uniform(0.7, 1.5)

    def endpoint_by_id(self, relay: SimulatedRelay, endpoint_id: Endpoint) -> SimulatedEndpoint:
        """Return the endpoint that a relay knows by a short id."""
        return self.endpoints[relay.driver.registry.names[endpoint_id]]

    def record_key(self, endpoint: SimulatedEndpoint, request_class: str, key: str, memory: float) -> bool:
        """Records an idempotency key in the endpoint's deduplication group; false where the key is already known.

        A key is remembered for `memory` seconds.
        """
        scope = next(row.scope for row in self.day.service.lanes if row.name == request_class)
        group = {"all": "", "zone": endpoint.zone, "cell": str(endpoint.life.cell)}[scope]
        at = request_class, group, key
        if at in self.receipts and self.clock.now - self.receipts[at] <= memory:
            return False
        self.receipts[at] = self.clock.now
        return True

    def launch(self, build: int, place: int, cold: bool, name: str | None = None) -> SimulatedEndpoint:
        """Starts an endpoint's process and announces it to discovery; a cold one begins in its slow start."""
        units, limits = self.day.units, self.day.service.duties
        name = name or f"u{place:02d}b{build}"
        self.launched += 1
        life = EndpointOptions(
            name=name,
            folder="",
            zone=units.zones[place % len(units.zones)],
            cell=place // 4,
            port=1,
            seed=self.seed * 1000 + self.launched,
            cores=units.cores,
            waiting_room=units.waiting_room,
            connections=units.connections,
            cold_share=units.cold_share,
            cold=units.cold_ms / 1000 if cold else 0.0,
            fall_multiple=limits.fall_multiple,
            fall_time=limits.fall_ms / 1000,
            memory={
                request_class.name: request_class.memory_ms / 1000
                for request_class in self.day.service.lanes
                if request_class.memory_ms
            },
            receipts={},
            report=units.report_ms / 1000,
            errors=units.errors,
            speed=self.speeds[place],
            build=self.builds[build],
        )
        endpoint = self.endpoints[name] = SimulatedEndpoint(self, life, place)
        endpoint.note(
            "up",
            unit=name,
            build=build,
            zone=life.zone,
            cell=life.cell,
            port=1,
            cores=life.cores,
            cold_share=life.cold_share,
            cold=life.cold,
            speed=life.speed * life.build.speed,
        )
        self.recorder.note("processes", "start", name=name, pid=0, build=build)
        self.report(endpoint, "ready", cold, None if cold else 0.0)
        return endpoint

    def report(self, endpoint: SimulatedEndpoint, condition: str, cold: bool = True, late: float | None = None) -> None:
        """Has discovery list an endpoint's condition after `late` seconds, or after its usual delay."""
        started = endpoint.started * 1000 if cold else None
        row = EndpointMessage(
            endpoint.life.name,
            "127.0.0.1",
            1,
            endpoint.zone,
            endpoint.life.build.number,
            condition,  # type: ignore[arg-type]
            endpoint.life.cell,
            "std",
            started,
        )
        if late == 0.0:
            self.update_endpoint_row(row)
        else:
            self.clock.later(self.day.roster.late_ms / 1000 if late is None else late, self.update_endpoint_row, row)

    def update_endpoint_row(self, row: EndpointMessage) -> None:
        """Updates the endpoint list and sends the change to all relays, unless discovery is down."""
        if row.condition == "gone":
            if self.endpoint_rows.pop(row.unit, None) is None:
                return
        else:
            self.endpoint_rows[row.unit] = row
        self.list_version += 1
        if not self.discovery_away:
            for relay in self.relays:
                self.send_list(relay, "changes", [row])

    def send_list(self, relay: SimulatedRelay, update_scope: str, rows: list[EndpointMessage]) -> None:
        """Sends a relay the full endpoint list or changes of it."""
        self.recorder.note("roster", "told", relay=relay.number, coverage=update_scope, units=msgspec.to_builtins(rows))
        listed = EndpointListMessage(update_scope, self.list_version, self.clock.now * 1000, rows)  # type: ignore[arg-type]
        relay.call_when_running(lambda: relay.driver.endpoints_listed(listed, 0))

    def endpoints_of_build(self, build: int) -> list[SimulatedEndpoint]:
        """Return the endpoints of a build that run and are not draining."""
        mine = (m for m in self.endpoints.values() if m.life.build.number == build)
        return [endpoint for endpoint in mine if endpoint.up and not endpoint.leaving]

    def running(self) -> list[SimulatedEndpoint]:
        """Return the running endpoints without an injected fault, by name."""
        every = sorted(self.endpoints.values(), key=lambda endpoint: endpoint.life.name)
        return [m for m in every if m.up and not m.leaving and not m.disturbed]

    def drain(self, endpoint: SimulatedEndpoint, finish_seconds: float) -> SimulationProcess:
        """Lists an endpoint as draining, waits for the drain grace and `finish_seconds` more, then ends it."""
        if endpoint.leaving or not endpoint.up:
            return
        self.recorder.note("processes", "drain", name=endpoint.life.name)
        self.report(endpoint, "draining", late=0.05)
        endpoint.leaving = True
        yield self.day.service.duties.drain_grace_ms / 1000 + finish_seconds
        self.finish(endpoint)

    def finish(self, endpoint: SimulatedEndpoint) -> None:
        """Ends an endpoint's process for good and reports it as gone."""
        if endpoint.up:
            endpoint.kill()
            endpoint.note("down")
            self.recorder.note("processes", "end", name=endpoint.life.name)
            self.report(endpoint, "gone", late=0.05)

    def cast_vote(self, relay: SimulatedRelay, vote: CastVote) -> None:
        """Sends a relay's vote to the rollout platform and returns the outcome after the network delay."""
        poll = self.day.service.poll

        def deliver_outcome(line: RolloutMessage | None, outcome: AttemptOutcome, wait: float) -> None:
            self.clock.later(
                wait, lambda: relay.call_when_running(lambda: relay.driver.rollout_read(line, True, outcome))
            )

        if self.rollout_platform.away:
            deliver_outcome(None, AttemptOutcome.ERROR, self.hop_mean)
            return
        request = VoteRequest(relay.number, vote.build, vote.stage, VERDICT_WORDS[vote.verdict])  # type: ignore[arg-type]
        outcome_word, line = self.rollout_platform.vote(request)
        if line is None:
            deliver_outcome(None, AttemptOutcome.TIMED_OUT, poll.answer_limit_ms / 1000)
        else:
            deliver_outcome(line, VOTE_OUTCOMES[outcome_word], self.hop_mean)

    def send_datagram(self, sender: SimulatedRelay, peer: int | None, payload: bytes) -> None:
        """Sends a gossip datagram to one relay, or to all others where `peer` is None; some may be lost."""
        others = self.relays if peer is None else [self.relays[peer]]
        for other in others:
            if other is sender or self.network_rng.random() < self.datagram_loss:
                continue
            self.clock.later(
                self.network_rng.uniform(0.002, 0.014), self.deliver_datagram, other, sender.number, payload
            )

    @staticmethod
    def deliver_datagram(other: SimulatedRelay, sender: int, payload: bytes) -> None:
        """Delivers a gossip datagram to a relay."""
        other.call_when_running(lambda: other.driver.gossip_received(sender, payload))
