"""A scenario in virtual time: the script, driver and decisions of the sockets, and a recording of the same form.

What is hosted is the relay's own driver, so requests, timers, ids and gossip are the very same code; demand, the
endpoints' service model and the counting of votes are the emulators'. Only sockets and processes are modelled: a hop
takes `hop` seconds (to another zone `far`), a dead process refuses, a stopped one answers when it goes on, a new
connection costs one hop more. What is not modelled is said by `left_out`.
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
from lanelead.testbed.emulators.service_model import Build, Life
from lanelead.testbed.emulators.workload import Demand, Op
from lanelead.testbed.simulation.build_moves import BuildMoves
from lanelead.testbed.simulation.clock import CLOCK_START_SECONDS, Clock, Story, stream
from lanelead.testbed.simulation.event_recorder import EventRecorder
from lanelead.testbed.simulation.fault_injection import SOCKETS_ONLY, FaultInjector
from lanelead.testbed.simulation.simulated_clients import ClientCounters, ClientPool
from lanelead.testbed.simulation.simulated_endpoint import SimulatedEndpoint
from lanelead.testbed.simulation.simulated_relay import SimulatedRelay
from lanelead.testbed.simulation.simulated_rollout import SimulatedRolloutPlatform


class SimulatedFleet:
    """`make` makes each relay's decisions; `silent` keeps no recording, for large sizes."""

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
        self.book = EventRecorder(self.clock, silent)
        self.left_out = sorted({event.kind for event in day.events if event.kind in SOCKETS_ONLY})
        self.network_rng, self.fleet_rng = stream(seed, "net"), stream(seed, "fleet")
        self.demand = Demand(day.service, day.clients, day.relays, stream(seed, "demand"))
        self.ops: dict[str, Op] = {}
        self.bad: set[str] = set()
        self.wrong: dict[str, str] = {}
        self.receipts: dict[tuple[str, str, str], float] = {}
        self.builds = {1: Build(1)}
        self.machines: dict[str, SimulatedEndpoint] = {}
        self.endpoint_rows: dict[str, EndpointMessage] = {}
        self.list_version, self.discovery_away, self.datagram_loss, self.launched = 0, False, 0.0, 0
        spread = day.units.speed_spread
        self.speeds = [self.fleet_rng.uniform(1 - spread, 1 + spread) for _ in range(day.units.count)]
        self.clients = ClientPool(self)
        self.moves = BuildMoves(self)
        self.faults = FaultInjector(self)
        self.hosts: list[SimulatedRelay] = []
        self.counts = ClientCounters()

    def run(self) -> SimulatedFleet:
        day = self.day
        self.desk = SimulatedRolloutPlatform(self)
        for place in range(day.units.count):
            self.launch(1, place, False)
        for number in range(day.relays):
            self.hosts.append(self.start_relay(number))
        self.clock.tell(self.desk.go())
        self.book.note("conductor", "begin", seconds=day.seconds, seed=self.seed)
        self.clock.tell(self.clients.arrivals())
        for number, offer in enumerate(day.desk.offers, 2):
            self.builds[number] = Build(number, offer.speed, offer.bad, offer.strength, offer.lane)
            self.clock.later(offer.at, self.offer_build, number, offer.bad)
        for event in day.events:
            self.clock.later(event.at, lambda event=event: self.clock.tell(self.faults.run(event)))
        longest = max(request_class.outer_limit_ms for request_class in day.service.lanes) / 1000
        self.clock.run(CLOCK_START_SECONDS + day.seconds + longest + 2 * day.slack_ms / 1000 + 1)
        for host in self.hosts:
            self.book.note("conductor", "relay_term", relay=host.number)
        return self

    def value_share(self) -> float:
        """The value earned over the value asked, as the judge counts it."""
        asked = sum(self.counts.asked_value.values())
        return round(sum(self.counts.had_value.values()) / asked, 4) if asked else 0.0

    def offer_build(self, number: int, bad: str | None) -> None:
        self.book.note("conductor", "offer", build=number, bad=bad)
        self.desk.offer(number)

    def start_relay(self, number: int) -> SimulatedRelay:
        host = SimulatedRelay(self, number, self.make_decisions)
        self.book.note("conductor", "relay_start", relay=number, pid=0)
        self.send_list(host, "full", list(self.endpoint_rows.values()))
        line = self.desk.line()
        self.desk.told(number, line)
        host.whenever(lambda: host.driver.rollout_read(line, False, AttemptOutcome.SUCCEEDED))
        return host

    def hop(self, host: SimulatedRelay, machine: SimulatedEndpoint) -> float:
        mean = self.hop_mean if host.zone == machine.zone else self.far_hop
        return mean * self.network_rng.uniform(0.7, 1.5)

    def by_unit(self, host: SimulatedRelay, unit: Endpoint) -> SimulatedEndpoint:
        return self.machines[host.driver.registry.names[unit]]

    def receipt(self, machine: SimulatedEndpoint, request_class: str, key: str, memory: float) -> bool:
        scope = next(row.scope for row in self.day.service.lanes if row.name == request_class)
        group = {"all": "", "zone": machine.zone, "cell": str(machine.life.cell)}[scope]
        at = request_class, group, key
        if at in self.receipts and self.clock.now - self.receipts[at] <= memory:
            return False
        self.receipts[at] = self.clock.now
        return True

    def launch(self, build: int, place: int, cold: bool, name: str | None = None) -> SimulatedEndpoint:
        units, limits = self.day.units, self.day.service.duties
        name = name or f"u{place:02d}b{build}"
        self.launched += 1
        life = Life(
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
        machine = self.machines[name] = SimulatedEndpoint(self, life, place)
        machine.note(
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
        self.book.note("processes", "start", name=name, pid=0, build=build)
        self.report(machine, "ready", cold, None if cold else 0.0)
        return machine

    def report(self, machine: SimulatedEndpoint, condition: str, cold: bool = True, late: float | None = None) -> None:
        started = machine.started * 1000 if cold else None
        row = EndpointMessage(
            machine.life.name,
            "127.0.0.1",
            1,
            machine.zone,
            machine.life.build.number,
            condition,  # type: ignore[arg-type]
            machine.life.cell,
            "std",
            started,
        )
        if late == 0.0:
            self.endpoint_seen(row)
        else:
            self.clock.later(self.day.roster.late_ms / 1000 if late is None else late, self.endpoint_seen, row)

    def endpoint_seen(self, row: EndpointMessage) -> None:
        if row.condition == "gone":
            if self.endpoint_rows.pop(row.unit, None) is None:
                return
        else:
            self.endpoint_rows[row.unit] = row
        self.list_version += 1
        if not self.discovery_away:
            for host in self.hosts:
                self.send_list(host, "changes", [row])

    def send_list(self, host: SimulatedRelay, update_scope: str, rows: list[EndpointMessage]) -> None:
        self.book.note("roster", "told", relay=host.number, coverage=update_scope, units=msgspec.to_builtins(rows))
        listed = EndpointListMessage(update_scope, self.list_version, self.clock.now * 1000, rows)  # type: ignore[arg-type]
        host.whenever(lambda: host.driver.endpoints_listed(listed, 0))

    def of(self, build: int) -> list[SimulatedEndpoint]:
        mine = (m for m in self.machines.values() if m.life.build.number == build)
        return [machine for machine in mine if machine.up and not machine.leaving]

    def running(self) -> list[SimulatedEndpoint]:
        every = sorted(self.machines.values(), key=lambda machine: machine.life.name)
        return [m for m in every if m.up and not m.leaving and not m.hurt]

    def drain(self, machine: SimulatedEndpoint, last: float) -> Story:
        """Listed as draining, let finish, ended. The process itself goes on as it was: it only ends."""
        if machine.leaving or not machine.up:
            return
        self.book.note("processes", "drain", name=machine.life.name)
        self.report(machine, "draining", late=0.05)
        machine.leaving = True
        yield self.day.service.duties.drain_grace_ms / 1000 + last
        self.finish(machine)

    def finish(self, machine: SimulatedEndpoint) -> None:
        if machine.up:
            machine.die()
            machine.note("down")
            self.book.note("processes", "end", name=machine.life.name)
            self.report(machine, "gone", late=0.05)

    def voted(self, host: SimulatedRelay, vote: CastVote) -> None:
        poll = self.day.service.poll

        def back(line: RolloutMessage | None, word: AttemptOutcome, wait: float) -> None:
            self.clock.later(wait, lambda: host.whenever(lambda: host.driver.rollout_read(line, True, word)))

        if self.desk.away:
            back(None, AttemptOutcome.ERROR, self.hop_mean)
            return
        asked = VoteRequest(host.number, vote.build, vote.stage, VERDICT_WORDS[vote.verdict])  # type: ignore[arg-type]
        word, line = self.desk.vote(asked)
        if line is None:
            back(None, AttemptOutcome.TIMED_OUT, poll.answer_limit_ms / 1000)
        else:
            back(line, VOTE_OUTCOMES[word], self.hop_mean)

    def post(self, sender: SimulatedRelay, peer: int | None, payload: bytes) -> None:
        others = self.hosts if peer is None else [self.hosts[peer]]
        for other in others:
            if other is sender or self.network_rng.random() < self.datagram_loss:
                continue
            self.clock.later(self.network_rng.uniform(0.002, 0.014), self.deliver, other, sender.number, payload)

    @staticmethod
    def deliver(other: SimulatedRelay, sender: int, payload: bytes) -> None:
        other.whenever(lambda: other.driver.gossip_received(sender, payload))
