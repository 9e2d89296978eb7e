"""A day in virtual time: the script, driver and decisions of the sockets, and a capture of the same form.

What is hosted is the relay's own driver, so joins, timers, ids and letters are the very same code; demand,
units' engines and the desk's poll are the stand-ins'. Only sockets and processes are modelled: a hop takes
`hop` seconds (to another zone `far`), a dead process refuses, a stopped one answers when it goes on, a new
connection costs one hop more. What is not modelled is said by `left_out`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    CastVote,
    Decisions,
    Endpoint,
    Idempotency,
    RelayPosition,
    Tenant,
    Ticks,
    ZonePreference,
)
from lanelead.decisions.zone_spillover import NO_ZONE_PREFERENCE
from lanelead.http.requests import HttpRequest
from lanelead.http.responses import HttpResponse
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage, RolloutMessage, VoteRequest
from lanelead.protocols.vocabulary import VERDICT_WORDS, VOTE_OUTCOMES
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.settings.relay_settings import NO_PRICES
from lanelead.settings.scenario_settings import Scenario, ScenarioEvent
from lanelead.settings.service_settings import ticks
from lanelead.testbed.emulators.service_model import Build, Engine, Life
from lanelead.testbed.emulators.vote_counting import Polling
from lanelead.testbed.emulators.workload import Demand, Op
from lanelead.testbed.simulation.clock import Clock, Story, stream

START = 3600.0  # the clock at the start: units have a past
ASK = HttpRequest("GET", b"/", [], b"", True)
ANSWER = HttpResponse(200, [], b"", True)
SOCKETS_ONLY = ("drop_idle", "few_connections", "idle_reap", "garbage")  # faults of connections
Make = Callable[..., Decisions]


class Book:
    """The capture, in memory: facts by the file that they would be in. A silent one keeps none."""

    def __init__(self, clock: Clock, silent: bool = False) -> None:
        self._clock, self._silent = clock, silent
        self.files: dict[str, list[dict[str, Any]]] = {}

    def note(self, file: str, what: str, **facts: Any) -> None:
        if not self._silent:
            facts["t"], facts["ev"] = round(self._clock.now, 6), what
            self.files.setdefault(file, []).append(facts)

    def write(self, folder: Path, day: Scenario) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        for file, facts in self.files.items():
            text = b"".join(msgspec.json.encode(fact) + b"\n" for fact in facts)
            (folder / f"{file}.ndjson").write_bytes(text)


@dataclass(slots=True, eq=False)
class Job:
    """A trip as its unit has it."""

    host: Host
    trip: Attempt
    op: Op
    ident: str
    lane: str
    work: float
    bad: bool
    due: float


class Machine(Engine):
    """A unit's process."""

    def __init__(self, town: Town, life: Life, place: int) -> None:
        super().__init__(life, town.clock)
        self.town, self.place = town, place
        self.up, self.stopped, self.leaving, self.hurt = True, False, False, False
        self._waiting: deque[Job] = deque()
        self._running: dict[Job, None] = {}
        self._kept: list[Callable[[], None]] = []  # what comes while it stands still
        self.idle: dict[int, int] = {}  # open connections that nobody uses, by relay
        self.zone, self.started = life.zone, town.clock.now

    def note(self, what: str, **facts: Any) -> None:
        self.town.book.note(f"unit-{self.life.name}", what, **facts)

    def fell(self, work: float, warmth: float) -> None:
        self.note("fell", work=work, warmth=round(warmth, 4))

    def whenever(self, call: Callable[[], None]) -> None:
        """Does it now, or once the process goes on."""
        if self.stopped or "deaf" in self._faults:
            self._kept.append(call)
        elif self.up:
            call()

    def go_on(self) -> None:
        kept, self._kept = self._kept, []
        for call in kept:
            self.whenever(call)

    def heard(self, job: Job) -> None:
        if not self.up or "refuse" in self._faults:
            job.host.reply(self, job, AttemptOutcome.CONNECT_FAILED)
            return
        self.whenever(lambda: self._heard(job))

    def _heard(self, job: Job) -> None:
        if self.fallen:
            return
        warmth = self._warmth()
        self.note(
            "trip",
            id=job.ident,
            op=job.op.ident,
            lane=job.lane,
            relay=job.host.number,
            key=job.op.ident if job.trip.request.request_class.idempotency is Idempotency.KEYED else "",
            work=job.work,
            build=self.life.build.number,
            warmth=round(warmth, 4),
        )
        self._weigh(job, warmth)
        if self.fallen or "mute" in self._faults:
            return
        if len(self._waiting) >= self.life.waiting_room:
            self.note("turned_away", id=job.ident, op=job.op.ident)
            job.host.reply(self, job, AttemptOutcome.REJECTED)
        elif self._hit("cut"):
            if self._rng.random() < 0.5:
                self._effect(job)
            job.host.reply(self, job, AttemptOutcome.RESET)
        elif self._busy < self.life.cores:
            self._begin(job)
        else:
            self._waiting.append(job)

    def _begin(self, job: Job) -> None:
        if self._clock() > job.due:
            self.note("expired", id=job.ident, op=job.op.ident)
            job.host.reply(self, job, AttemptOutcome.REJECTED)
            return
        self._busy += 1
        self._running[job] = None
        wait = job.work / max(1e-3, self._pace(job))
        self.town.clock.later(wait, lambda: self.whenever(lambda: self._end(job)))

    def _end(self, job: Job) -> None:
        if self._running.pop(job, job) is job:
            return  # the process that had it has been killed
        self._busy -= 1
        if not self.fallen and "mute" not in self._faults:
            self._answer(job)
        while self._waiting and self._busy < self.life.cores:
            self._begin(self._waiting.popleft())

    def _effect(self, job: Job) -> None:
        ident = job.op.ident
        key = ident if job.lane in self.life.memory else ""
        if key and not self.town.receipt(self, job.lane, key, self.life.memory[job.lane]):
            self.note("repeat", id=job.ident, op=ident, key=key)
            return
        self.note("effect", id=job.ident, op=ident, lane=job.lane, key=key, cell=self.life.cell)

    def _answer(self, job: Job) -> None:
        if job.bad or self._errs(job):
            if self._rng.random() < 0.5:
                self._effect(job)
            self.note("erred", id=job.ident, op=job.op.ident)
            job.host.reply(self, job, AttemptOutcome.ERROR)
            return
        self._effect(job)
        if self._hit("cut_answer"):
            job.host.reply(self, job, AttemptOutcome.RESET)
            return
        build = self.life.build
        wrong = build.bad == "wrong" and self._rng.random() < build.strength
        job.host.reply(self, job, AttemptOutcome.SUCCEEDED, wrong, 0.9 if self._hit("trickle") else 0.0)

    def report(self) -> dict[str, float]:
        if "false_reports" in self._faults:
            return {"waiting": 0.0, "cpu": 0.0}
        return {"waiting": float(len(self._waiting)), "cpu": self._busy / self.life.cores}

    def die(self) -> None:
        """SIGKILL: what it held is cut."""
        jobs = [*self._running, *self._waiting]
        self.up, self.stopped, self._busy = False, False, 0
        self._running.clear()
        self._waiting.clear()
        self._kept.clear()
        self.idle.clear()
        for job in jobs:
            job.host.reply(self, job, AttemptOutcome.RESET)

    def fault(self, kind: str, size: float) -> None:
        self._faults[kind] = {"size": size}

    def mend(self, kind: str) -> None:
        self._faults.pop(kind, None)
        if kind == "deaf":
            self.go_on()


class Host:
    """One relay's process: the driver, and the hands that it asks."""

    def __init__(self, town: Town, number: int, make: Make) -> None:
        self.town, self.number = town, number
        day = town.day
        service = day.service
        self.zone = day.units.zones[number % len(day.units.zones)]
        self.up, self.frozen = True, False
        self._kept: list[Callable[[], None]] = []
        self._armed: Ticks | None = None
        self.out: dict[Attempt, bool] = {}  # trips under way, and whether a byte was written
        self.asked: dict[Asked, None] = {}
        self.lanes = [request_class.figures() for request_class in service.lanes]
        self.by_lane = {request_class.name: request_class for request_class in self.lanes}
        self.members = {row.name: Tenant(row.name, row.quota, row.share) for row in service.members}
        limits = service.duties.figures(False)
        preference = NO_ZONE_PREFERENCE
        if day.spill is not None:
            others = tuple(zone for zone in day.units.zones if zone != self.zone)
            tiers = ((self.zone,), *([others] if others else []))
            preference = ZonePreference(tiers, day.spill.most, day.spill.grow, day.spill.shrink)
        decisions = make(
            position=RelayPosition(number, day.relays, self.zone),
            request_classes=self.lanes,
            tenants=list(self.members.values()),
            quota=service.allowance.figures(True),
            limits=limits,
            canary_limits=service.trial.figures(),
            voting_rules=service.poll.figures(),
            prices=NO_PRICES,
            rng=stream(town.seed, f"relay {number} {town.clock.now}"),
            now=self.clock(),
            preference=preference,
        )
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=self.clock,
            request_classes=self.lanes,
            limits=limits,
            max_pending=service.allowance.open_lookups,
            max_retry_after=ticks(service.allowance.longest_advice_ms),
        )

    def clock(self) -> Ticks:
        return int(self.town.clock.now * 10_000)

    def whenever(self, call: Callable[[], None]) -> None:
        """Does it now, or once the process goes on; what comes to a dead one is lost."""
        if not self.up:
            return
        if self.frozen:
            self._kept.append(call)
            return
        call()
        due = self.driver.next_timer()
        if due is not None and (self._armed is None or due < self._armed):
            self._armed = due
            # Timers of the loop on sockets fire a moment late too.
            self.town.clock.later(due / 10_000 - self.town.clock.now + 5e-4, self._tick, due)

    def _tick(self, due: Ticks) -> None:
        if self._armed == due:
            self._armed = None
            self.whenever(self.driver.tick)

    def go_on(self) -> None:
        self.frozen = False
        kept, self._kept = self._kept, []
        for call in kept:
            self.whenever(call)

    # Hands

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.out[attempt] = False
        self.town.clock.later(0.0, self._write, attempt, pending)

    def _write(self, attempt: Attempt, pending: PendingRequest) -> None:
        machine = self.town.by_unit(self, attempt.endpoint)
        hop = self.town.hop(self, machine)
        if machine.idle.get(self.number, 0) > 0:
            machine.idle[self.number] -= 1
            self._go(attempt, pending, machine)
        elif not machine.up or "refuse" in machine._faults:
            self.town.clock.later(
                2 * hop, lambda: self.whenever(lambda: self._ended(attempt, AttemptOutcome.CONNECT_FAILED))
            )
        elif machine.stopped:  # the kernel takes the connection, though nobody reads
            self._go(attempt, pending, machine)
        else:
            self.town.clock.later(2 * hop, self._go, attempt, pending, machine)

    def _go(self, attempt: Attempt, pending: PendingRequest, machine: Machine) -> None:
        if attempt.outcome is not None or not self.up:
            return
        if self.driver.destination_of(attempt) is None:
            self.whenever(lambda: self._ended(attempt, AttemptOutcome.NOT_SENT))
            return
        self.out[attempt] = True
        hop, op = self.town.hop(self, machine), self.town.ops[pending.id]
        due = (attempt.sent_at + attempt.timeout) / 10_000
        job = Job(self, attempt, op, pending.id, op.lane, op.work, pending.id in self.town.bad, due)
        self.town.clock.later(hop, machine.heard, job)

    def reply(
        self, machine: Machine, job: Job, outcome: AttemptOutcome, wrong: bool = False, slow: float = 0.0
    ) -> None:
        """The unit's end of a trip, on its way back."""
        report = (
            machine.report()
            if outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
            else None
        )

        def come() -> None:
            if report is not None:
                machine.idle[self.number] = machine.idle.get(self.number, 0) + 1
            if wrong:
                self.town.wrong[job.ident] = machine.life.name
            self._ended(job.trip, outcome, report)

        self.town.clock.later(slow + self.town.hop(self, machine), lambda: self.whenever(come))

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, report: dict[str, float] | None = None) -> None:
        if self.out.pop(attempt, None) is not None:
            self.driver.attempt_ended(attempt, outcome, ANSWER, report)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.out.pop(attempt, False)

    def check_health(self, unit: Endpoint) -> None:
        machine, began = self.town.by_unit(self, unit), self.clock()

        def heard() -> None:
            if machine.up and "refuse" not in machine._faults:
                machine.whenever(answer)
            else:
                back(AttemptOutcome.CONNECT_FAILED, None)

        def answer() -> None:
            if not machine.fallen and "mute" not in machine._faults:
                back(AttemptOutcome.SUCCEEDED, machine.report())

        def back(outcome: AttemptOutcome, report: dict[str, float] | None) -> None:
            def come() -> None:
                self.driver.health_checked(unit, outcome, self.clock() - began, report)

            self.town.clock.later(self.town.hop(self, machine), lambda: self.whenever(come))

        self.town.clock.later(self.town.hop(self, machine), heard)

    def close_idle_connections(self, unit: Endpoint) -> None:
        self.town.by_unit(self, unit).idle.pop(self.number, None)

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        for payload in payloads:
            self.town.post(self, peer, payload)

    def cast_vote(self, vote: CastVote) -> None:
        self.town.clock.later(self.town.hop_mean, self.town.voted, self, vote)

    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


class Desk(Polling):
    def __init__(self, town: Town) -> None:
        day = town.day

        def note(what: str, **facts: Any) -> None:
            town.book.note("desk", what, **facts)

        super().__init__(day.service.trial, day.service.poll, stream(town.seed, "desk"), town.clock, note, town.moved)
        self._town = town
        self.away, self.stale = False, 0.0

    def changed(self) -> None:
        for host in self._town.hosts:
            late = self.stale + self._town.day.desk.told_ms / 1000 * self._rng.uniform(0.5, 1.0)
            self._town.clock.later(late, self.tell, host)

    def tell(self, host: Host) -> None:
        if not self.away and host.up:
            line = self.line()
            self.told(host.number, line)
            host.whenever(lambda: host.driver.rollout_read(line, False, AttemptOutcome.SUCCEEDED))

    def go(self) -> Story:
        since = 0.0
        while True:
            yield 0.05
            self.beat(0.05)
            since += 0.05
            if since >= self._town.day.desk.push_ms / 1000 and not self.stale:
                since = 0.0
                for host in self._town.hosts:
                    self.tell(host)


def _roster(town: Town, on: bool, size: float) -> None:
    town._roster_away = on
    if not on:
        for host in town.hosts:
            town._list(host, "full", list(town._rows.values()))


def _desk(town: Town, on: bool, size: float) -> None:
    town.desk.away = on
    if not on:
        for host in town.hosts:
            town.desk.tell(host)


def _mute(town: Town, on: bool, size: float) -> None:
    town.desk.mute = on


def _stale(town: Town, on: bool, size: float) -> None:
    town.desk.stale = size if on else 0.0


def _peers(town: Town, on: bool, size: float) -> None:
    town._loss = size if on else 0.0


SWITCHES: dict[str, Callable[[Town, bool, float], None]] = {
    "roster_away": _roster,
    "desk_away": _desk,
    "desk_mute": _mute,
    "desk_stale": _stale,
    "peers_lost": _peers,
}
AT_UNITS = (
    "slow",
    "errors",
    "neighbour",
    "refuse",
    "deaf",
    "mute",
    "cut",
    "cut_answer",
    "trickle",
    "false_reports",
)


class Town:
    """`make` makes each relay's decisions; `silent` keeps no capture, for large sizes."""

    def __init__(
        self,
        day: Scenario,
        seed: int,
        make: Make = Balancer,
        silent: bool = False,
        hop: float = 2e-4,
        far: float | None = None,
    ) -> None:
        self.day, self.seed, self._make, self.hop_mean = day, seed, make, hop
        self._far = hop if far is None else far
        self.clock = Clock(START)
        self.book = Book(self.clock, silent)
        self.left_out = sorted({event.kind for event in day.events if event.kind in SOCKETS_ONLY})
        self._net, self._fleet = stream(seed, "net"), stream(seed, "fleet")
        self.demand = Demand(day.service, day.clients, day.relays, stream(seed, "demand"))
        self.ops: dict[str, Op] = {}
        self.bad: set[str] = set()
        self.wrong: dict[str, str] = {}
        self._receipts: dict[tuple[str, str, str], float] = {}
        self.builds = {1: Build(1)}
        self.machines: dict[str, Machine] = {}
        self._rows: dict[str, EndpointMessage] = {}
        self._version, self._roster_away, self._loss, self._lives = 0, False, 0.0, 0
        spread = day.units.speed_spread
        self._speeds = [self._fleet.uniform(1 - spread, 1 + spread) for _ in range(day.units.count)]
        self._queues: list[deque[tuple[Op, float]]] = [deque() for _ in range(day.relays)]
        self._open = [0] * day.relays
        self.hosts: list[Host] = []
        self.counts = Tally()

    # Running

    def run(self) -> Town:
        day = self.day
        self.desk = Desk(self)
        for place in range(day.units.count):
            self._launch(1, place, False)
        for number in range(day.relays):
            self.hosts.append(self._relay(number))
        self.clock.tell(self.desk.go())
        self.book.note("conductor", "begin", seconds=day.seconds, seed=self.seed)
        self.clock.tell(self._arrivals())
        for number, offer in enumerate(day.desk.offers, 2):
            self.builds[number] = Build(number, offer.speed, offer.bad, offer.strength, offer.lane)
            self.clock.later(offer.at, self._offer, number, offer.bad)
        for event in day.events:
            self.clock.later(event.at, lambda event=event: self.clock.tell(self._event(event)))
        longest = max(request_class.outer_limit_ms for request_class in day.service.lanes) / 1000
        self.clock.run(START + day.seconds + longest + 2 * day.slack_ms / 1000 + 1)
        for host in self.hosts:
            self.book.note("conductor", "relay_term", relay=host.number)
        return self

    def value_share(self) -> float:
        """The value earned over the value asked, as the judge counts it."""
        asked = sum(self.counts.asked_value.values())
        return round(sum(self.counts.had_value.values()) / asked, 4) if asked else 0.0

    def _offer(self, number: int, bad: str | None) -> None:
        self.book.note("conductor", "offer", build=number, bad=bad)
        self.desk.offer(number)

    def _relay(self, number: int) -> Host:
        host = Host(self, number, self._make)
        self.book.note("conductor", "relay_start", relay=number, pid=0)
        self._list(host, "full", list(self._rows.values()))
        line = self.desk.line()
        self.desk.told(number, line)
        host.whenever(lambda: host.driver.rollout_read(line, False, AttemptOutcome.SUCCEEDED))
        return host

    def hop(self, host: Host, machine: Machine) -> float:
        mean = self.hop_mean if host.zone == machine.zone else self._far
        return mean * self._net.uniform(0.7, 1.5)

    def by_unit(self, host: Host, unit: Endpoint) -> Machine:
        return self.machines[host.driver.registry.names[unit]]

    # Clients

    def _arrivals(self) -> Story:
        end = START + self.day.seconds
        while True:
            yield self.demand.gap()
            if self.clock.now >= end:
                return
            self._try(self.demand.draw(self.clock.now))

    def _try(self, op: Op) -> None:
        left = self.demand.patience(op, self.clock.now)
        if left <= 0.05:
            return
        host = self.hosts[op.relay]
        if not host.up:
            self._again(op, self.demand.lost(op, False, self.clock.now))
        elif self._open[op.relay] >= self.day.clients.connections:
            self._queues[op.relay].append((op, self.clock.now + left))
        else:
            self._ask(host, op, left)

    def _ask(self, host: Host, op: Op, left: float) -> None:
        op.tries += 1
        ident = f"{op.ident}.{op.tries}"
        self._open[op.relay] += 1
        self.ops[ident] = op
        self.demand.method(op)
        if self.demand.bad():
            self.bad.add(ident)
        self.book.note(
            "clients",
            "ask",
            id=ident,
            op=op.ident,
            lane=op.lane,
            member=op.member,
            key=op.key,
            relay=op.relay,
            left=left,
            nth=op.tries,
        )
        asked = Asked(self, host, op, ident, self.clock.now, left)
        pending = PendingRequest(ident, ASK, asked.replied)
        asked.ticket = pending
        request_class, tenant = host.by_lane[op.lane], host.members.get(op.member or "")
        self.counts.asked += 1
        self.counts.asked_value[op.ident] = self.demand.lanes[op.lane].value
        op.first = op.first or self.clock.now
        ticks = int(left * 10_000)
        wait = self.hop_mean
        self.clock.later(
            wait, lambda: host.whenever(lambda: host.driver.receive(pending, request_class, tenant, op.key, ticks))
        )
        host.asked[asked] = None
        if (after := self.demand.leaves(left)) is not None:
            self.clock.later(after, asked.leave)
        self.clock.later(left + 2 * self.day.slack_ms / 1000 + 0.5, asked.silent)

    def freed(self, relay: int) -> None:
        self._open[relay] -= 1
        queue = self._queues[relay]
        while queue:
            op, until = queue.popleft()
            if until - self.clock.now > 0.05 and self.hosts[relay].up:
                self._ask(self.hosts[relay], op, until - self.clock.now)
                return

    def _again(self, op: Op, wait: float | None) -> None:
        if wait is not None:
            self.clock.later(wait, self._try, op)

    def complain(self, op: Op, unit: str, host: Host) -> None:
        if self.demand.complains():
            request_class = host.by_lane[op.lane]

            def say() -> None:
                host.driver.complaint_received(unit, request_class, 10_000)

            self.clock.later(1.0, host.whenever, say)

    # Units

    def receipt(self, machine: Machine, request_class: str, key: str, memory: float) -> bool:
        scope = next(row.scope for row in self.day.service.lanes if row.name == request_class)
        group = {"all": "", "zone": machine.zone, "cell": str(machine.life.cell)}[scope]
        at = request_class, group, key
        if at in self._receipts and self.clock.now - self._receipts[at] <= memory:
            return False
        self._receipts[at] = self.clock.now
        return True

    def _launch(self, build: int, place: int, cold: bool, name: str | None = None) -> Machine:
        units, limits = self.day.units, self.day.service.duties
        name = name or f"u{place:02d}b{build}"
        self._lives += 1
        life = Life(
            name=name,
            folder="",
            zone=units.zones[place % len(units.zones)],
            cell=place // 4,
            port=1,
            seed=self.seed * 1000 + self._lives,
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
            speed=self._speeds[place],
            build=self.builds[build],
        )
        machine = self.machines[name] = Machine(self, life, place)
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

    def report(self, machine: Machine, condition: str, cold: bool = True, late: float | None = None) -> None:
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
            self._see(row)
        else:
            self.clock.later(self.day.roster.late_ms / 1000 if late is None else late, self._see, row)

    def _see(self, row: EndpointMessage) -> None:
        if row.condition == "gone":
            if self._rows.pop(row.unit, None) is None:
                return
        else:
            self._rows[row.unit] = row
        self._version += 1
        if not self._roster_away:
            for host in self.hosts:
                self._list(host, "changes", [row])

    def _list(self, host: Host, update_scope: str, rows: list[EndpointMessage]) -> None:
        self.book.note("roster", "told", relay=host.number, coverage=update_scope, units=msgspec.to_builtins(rows))
        listed = EndpointListMessage(update_scope, self._version, self.clock.now * 1000, rows)  # type: ignore[arg-type]
        host.whenever(lambda: host.driver.endpoints_listed(listed, 0))

    def of(self, build: int) -> list[Machine]:
        mine = (m for m in self.machines.values() if m.life.build.number == build)
        return [machine for machine in mine if machine.up and not machine.leaving]

    def running(self) -> list[Machine]:
        every = sorted(self.machines.values(), key=lambda machine: machine.life.name)
        return [m for m in every if m.up and not m.leaving and not m.hurt]

    def _drain(self, machine: Machine, last: float) -> Story:
        """Listed as draining, let finish, ended. The process itself goes on as it was: it only ends."""
        if machine.leaving or not machine.up:
            return
        self.book.note("processes", "drain", name=machine.life.name)
        self.report(machine, "draining", late=0.05)
        machine.leaving = True
        yield self.day.service.duties.drain_grace_ms / 1000 + last
        self._finish(machine)

    def _finish(self, machine: Machine) -> None:
        if machine.up:
            machine.die()
            machine.note("down")
            self.book.note("processes", "end", name=machine.life.name)
            self.report(machine, "gone", late=0.05)

    def _booted(self, build: int, place: int) -> None:
        self._launch(build, place, True)

    def start_build(self, build: int, places: list[int], then: Callable[[], None]) -> None:
        waits = [self.day.units.boot_ms / 1000 * self._fleet.uniform(0.5, 1.0) for _ in places]
        for wait, place in zip(waits, places, strict=True):
            self.clock.later(wait, self._booted, build, place)
        self.clock.later(max(waits, default=0.0) + 1e-6, then)

    def moved(self, build: int, stage: int, phase: str) -> None:
        """What the platform does when the desk has moved a build."""
        count, trial = self.day.units.count, self.day.service.trial
        if phase == "trial":
            have = {machine.place for machine in self.of(build)}
            needed = -int(-(trial.shares[stage] * count - 1e-6) // 1)
            places = [place for place in range(count) if place not in have][: max(0, needed - len(have))]

            def run() -> None:
                self._share_slowness()
                self.desk.machines_run(build, stage)
                if trial.in_place:
                    for machine in list(self.machines.values()):
                        if machine.life.build.number < build and machine.place in places:
                            self.clock.tell(self._drain(machine, 0.5))

            self.start_build(build, places, run)
        elif phase == "released":
            self._share_slowness()
            for machine in list(self.machines.values()):
                if machine.life.build.number < build:
                    self.clock.tell(self._drain(machine, 0.5))
        elif phase in ("recall", "reverting"):
            earlier = max(number for number in self.builds if number < build)
            have = {m.place for m in self.machines.values() if m.up and not m.leaving and m.life.build.number < build}
            missing = [place for place in range(count) if place not in have]
            if phase == "recall":
                late = self.day.roster.late_ms / 1000 + 0.3
                self.start_build(earlier, missing, lambda: self.clock.later(late, self.desk.back))
                return

            def off() -> None:
                for machine in self.of(build):
                    self.clock.tell(self._drain(machine, 0.2))
                wait = self.day.service.duties.drain_grace_ms / 1000 + 0.2
                self.clock.later(wait, self._gone_back, build)

            if missing:
                self.start_build(earlier, missing, off)
            else:
                off()

    def _gone_back(self, build: int) -> None:
        self._share_slowness()
        self.desk.gone_back(build)

    def _share_slowness(self) -> None:
        every = [machine for machine in self.machines.values() if machine.up and not machine.leaving]
        mine = sum(machine.life.build.strength for machine in every if machine.life.build.bad == "shared")
        for machine in every:
            machine.shared = 1 + 4 * mine / max(1, len(every))

    # Desk and peers

    def voted(self, host: Host, vote: CastVote) -> None:
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

    def post(self, sender: Host, peer: int | None, payload: bytes) -> None:
        others = self.hosts if peer is None else [self.hosts[peer]]
        for other in others:
            if other is sender or self._net.random() < self._loss:
                continue
            self.clock.later(self._net.uniform(0.002, 0.014), self._deliver, other, sender.number, payload)

    @staticmethod
    def _deliver(other: Host, sender: int, payload: bytes) -> None:
        other.whenever(lambda: other.driver.gossip_received(sender, payload))

    # Events

    def _event(self, event: ScenarioEvent) -> Story:
        self.book.note("conductor", "event", kind=event.kind, for_=event.for_, size=event.size, count=event.count)
        kind, last = event.kind, event.for_
        if kind.startswith("zone_"):
            mine = [machine for machine in self.running() if machine.zone == event.zone]
            for machine in mine[: max(1, round(len(mine) * event.part))]:
                story = {"zone_lost": self._kill(machine, last), "zone_silent": self._stop(machine, last)}
                self.clock.tell(story.get(kind) or self._hurt(machine, "slow", event.size, last))
        elif kind in ("kill", "stop", "drain"):
            stories = {"kill": self._kill, "stop": self._stop, "drain": self._upkeep}
            for machine in self._choose(event.count, event.unit):
                self.clock.tell(stories[kind](machine, last))
        elif kind in ("relay_kill", "relay_stop", "relay_roll"):
            self.clock.tell(self._relays(event))
        elif kind in SWITCHES:
            SWITCHES[kind](self, True, event.size)
            yield last
            SWITCHES[kind](self, False, event.size)
        elif kind in AT_UNITS:
            for machine in self._choose(event.count, event.unit):
                self.clock.tell(self._hurt(machine, kind, event.size, last))
        elif kind not in SOCKETS_ONLY:
            facts = {"kind": kind, "size": event.size, "extra": event.extra, "member": event.member, "lane": event.lane}
            self.demand.obey({"on": True, **facts})
            yield last
            self.demand.obey({"on": False, **facts})

    def _choose(self, many: int, unit: int | None) -> list[Machine]:
        running = self.running()
        if unit is not None:
            return [machine for machine in running if machine.place == unit]
        return self._fleet.sample(running, min(many, max(1, len(running) // 3), len(running)))

    def _kill(self, machine: Machine, back: float) -> Story:
        machine.hurt = True
        machine.die()
        self.book.note("processes", "kill", name=machine.life.name)
        self.report(machine, "gone")
        yield back + self.day.units.boot_ms / 1000 * self._fleet.uniform(0.5, 1.0)
        if not machine.leaving:
            self._launch(machine.life.build.number, machine.place, True, machine.life.name)

    def _stop(self, machine: Machine, last: float) -> Story:
        machine.hurt = machine.stopped = True
        self.book.note("processes", "stop", name=machine.life.name)
        seen = self.day.roster.silent_ms / 1000
        if last > seen:
            self.clock.later(seen, self.report, machine, "gone", True, 0.0)
        yield last
        machine.hurt = machine.stopped = False
        self.book.note("processes", "cont", name=machine.life.name)
        machine.go_on()
        if last > seen and machine.up and not machine.leaving:
            self.report(machine, "ready", False)

    def _hurt(self, machine: Machine, kind: str, size: float, last: float) -> Story:
        machine.hurt = True
        machine.fault(kind, size)
        yield last
        machine.mend(kind)
        machine.hurt = False

    def _upkeep(self, machine: Machine, last: float) -> Story:
        machine.hurt = True
        self.book.note("processes", "drain", name=machine.life.name)
        self.report(machine, "draining", late=0.05)
        yield self.day.service.duties.drain_grace_ms / 1000 + 0.5
        self._finish(machine)
        yield max(0.2, last - 3) + self.day.units.boot_ms / 1000 * 0.75
        if not machine.leaving:
            self._launch(machine.life.build.number, machine.place, True, machine.life.name)

    def _relays(self, event: ScenarioEvent) -> Story:
        roll = event.kind == "relay_roll"
        one = event.relay if event.relay is not None else self._fleet.randrange(self.day.relays)
        numbers = list(range(self.day.relays)) if roll else [one]
        for number in numbers:
            host = self.hosts[number]
            if event.kind == "relay_stop":
                host.frozen = True
                self.book.note("conductor", "relay_stop", relay=number)
                yield event.for_
                self.book.note("conductor", "relay_cont", relay=number)
                host.go_on()
                continue
            self.book.note("conductor", "relay_kill", relay=number)
            host.up = False
            for machine in self.machines.values():
                machine.idle.pop(number, None)
            for asked in list(host.asked):
                asked.reset()
            yield event.size if roll else event.for_
            yield 0.4  # a process takes a while to start
            self.hosts[number] = self._relay(number)
            if roll:
                yield event.for_ / len(numbers)


@dataclass(slots=True)
class Tally:
    asked: int = 0
    done: int = 0
    shed: int = 0
    broken_off: int = 0
    times: list[float] = field(default_factory=list)
    asked_value: dict[str, float] = field(default_factory=dict)  # by what its client wants done, over all tries
    had_value: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Asked:
    """One try, as its client has it."""

    town: Town
    host: Host
    op: Op
    ident: str
    began: float
    left: float
    ticket: PendingRequest | None = None
    over: bool = False

    def _close(self, what: str, **facts: Any) -> bool:
        if self.over:
            return False
        self.over = True
        self.host.asked.pop(self, None)
        town = self.town
        town.book.note(
            "clients",
            what,
            id=self.ident,
            op=self.op.ident,
            relay=self.host.number,
            took=town.clock.now - self.began,
            late=town.clock.now - self.began - self.left,
            **facts,
        )
        town.freed(self.host.number)
        return True

    def replied(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        attempt: Attempt | None,
        answer: HttpResponse | None,
        retry_after: Ticks,
    ) -> None:
        self.town.clock.later(self.town.hop_mean, self._answered, outcome, attempt, retry_after)

    def _answered(self, outcome: RequestOutcome, attempt: Attempt | None, retry_after: Ticks) -> None:
        town, host = self.town, self.host
        status = {RequestOutcome.SUCCEEDED: 200, RequestOutcome.REJECTED: 503, RequestOutcome.FAILED: 502}[outcome]
        unit = (
            host.driver.registry.names[attempt.endpoint]
            if attempt is not None and outcome is RequestOutcome.SUCCEEDED
            else ""
        )
        build = str(town.machines[unit].life.build.number) if unit else ""
        wrong = self.ident in town.wrong and outcome is RequestOutcome.SUCCEEDED
        told = self._close("answer", status=status, outcome=outcome.value, unit=unit, build=build, wrong=wrong)
        if not told:
            return
        counts = town.counts
        if outcome is RequestOutcome.SUCCEEDED:
            counts.done += 1
            counts.times.append(town.clock.now - self.began)
            request_class = town.demand.lanes[self.op.lane]
            timely = town.clock.now - self.op.first <= request_class.expected_time_ms / 1000
            priority_weight = 0.0 if wrong else request_class.value * (1.0 if timely else request_class.late_value)
            counts.had_value[self.op.ident] = max(priority_weight, counts.had_value.get(self.op.ident, 0.0))
        elif outcome is RequestOutcome.REJECTED:
            counts.shed += 1
        else:
            counts.broken_off += 1
        if wrong:
            town.complain(self.op, unit, host)
        wait = town.demand.again(self.op, outcome.value, retry_after / 10_000, town.clock.now)
        town._again(self.op, wait)

    def leave(self) -> None:
        if self._close("gone", why="left") and self.ticket is not None:
            pending = self.ticket
            self.host.whenever(lambda: self.host.driver.client_left(pending))

    def silent(self) -> None:
        if self._close("gone", why="silent"):
            self.town._again(self.op, self.town.demand.lost(self.op, True, self.town.clock.now))

    def reset(self) -> None:
        if self._close("gone", why="reset"):
            self.town._again(self.op, self.town.demand.lost(self.op, True, self.town.clock.now))
