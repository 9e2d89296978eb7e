"""Hosts the relays of one process: one decisions object an instance, ids to objects and back, timers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import TextIO

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    Attempt,
    CancelAttempt,
    CastVote,
    CheckHealth,
    CloseIdleConnections,
    Decisions,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FailRequest,
    GossipEntry,
    LogEvent,
    OutcomeTally,
    PollEndpoints,
    RejectRequest,
    Request,
    RolloutPhase,
    RolloutState,
    SendGossip,
    SetTimer,
    StartAttempt,
    Ticks,
    UpdateScope,
    WatchEndpoints,
)
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import decode_gossip, encode_gossip
from lanelead.runtime.parameter_reader import (
    ParameterError,
    ParameterReader,
    parse_enumeration,
    parse_integer,
    parse_number,
    parse_ticks,
)
from lanelead.simulator_adapter import wire
from lanelead.simulator_adapter.wire import millis

Words = list[str]


class Host:
    """One instance: its decisions, and the tables between the wire's ids and the objects."""

    def __init__(self, words: Words, now: Ticks) -> None:
        opening = ParameterReader(words[2:])
        request_classes, tenants = opening.request_classes(), opening.tenants()
        self.relay: Decisions = Balancer(
            position=opening.position(),
            request_classes=request_classes,
            tenants=tenants,
            quota=opening.resource_quota(),
            limits=opening.service_limits(),
            canary_limits=opening.canary_limits(),
            voting_rules=opening.voting_rules(),
            prices=opening.prices(),
            rng=Random(parse_integer(words[1])),
            now=now,
        )
        self.lanes = {request_class.name: request_class for request_class in request_classes}
        self.members = {tenant.name: tenant for tenant in tenants}
        self.gauges = opening.texts("loadReport.names")
        self.door = EndpointRegistry(self.relay.new_endpoint)
        self.gone: dict[Endpoint, Ticks] = {}  # units that share a mark and are gone, and when it is freed
        self.memory = 2 * max((request_class.timeout for request_class in request_classes), default=0)
        self.lookups: dict[str, Request] = {}
        self.lookup_ids: dict[Request, str] = {}
        self.wakes: dict[int, Request | None] = {}
        self.tag = 0
        self.touched: list[Request] = []

    def trip(self, msg: str, shot: str) -> Attempt | None:
        """The trip that an event speaks of, or none when its lookup is long forgotten."""
        request = self.lookups.get(wire.ident(msg))
        if request is None:
            return None
        place = parse_integer(shot)
        if not 0 <= place < len(request.attempts):
            raise ParameterError(f"no trip {shot} of lookup {msg}")
        return request.attempts[place]

    def forget(self) -> None:
        """Drops the lookups just touched that are over and have no trip out any more."""
        for request in self.touched:
            if request.finished and all(attempt.outcome for attempt in request.attempts):
                msg = self.lookup_ids.pop(request, None)
                if msg is not None:
                    del self.lookups[msg]
        self.touched.clear()

    # Events

    def roster(self, words: Words, entries: list[Words]) -> None:
        update_scope = parse_enumeration(wire.COVERAGES, words[1])
        records = []
        for _, zone, cell, since, kind, name, build, size, condition in entries:
            records.append(
                EndpointRecord(
                    endpoint=self.door.get_or_add(name),
                    zone=zone,
                    cell=int(parse_number(cell)),
                    kind=kind,
                    started_at=parse_ticks(since),
                    build=int(parse_number(build)),
                    capacity=parse_number(size, 1.0),
                    status=parse_enumeration(wire.CONDITIONS, condition),
                )
            )
        self.relay.endpoints_updated(update_scope, records)
        self.free_marks()

    def free_marks(self) -> None:
        """Guards against units long gone that keep others' marks from being understood."""
        for unit in self.door.short_ids.sharing():
            if unit.status is not EndpointStatus.REMOVED:
                self.gone.pop(unit, None)
            elif self.gone.setdefault(unit, self.relay.now + self.memory) <= self.relay.now:
                del self.gone[unit]
                self.door.retire(unit)

    def ask(self, words: Words) -> None:
        _, msg, request_class, tenant, key, left, hint, again, write = words
        request = Request(
            request_class=parse_enumeration(self.lanes, request_class),
            tenant=None if tenant in ("-", "0") else parse_enumeration(self.members, tenant),
            key=None if key == "-" else key,
            received_at=self.relay.now,
            deadline=self.relay.now + parse_ticks(left),
            hint=None if hint == "-" else parse_ticks(hint),
            is_retry=wire.flag(again),
            is_write=wire.flag(write),
        )
        self.lookups[wire.ident(msg)] = request
        self.lookup_ids[request] = msg
        self.relay.request_received(request)

    def answer(self, words: Words) -> None:
        _, msg, name, shot, finished, outcome, took, gauge = words
        attempt = self.trip(msg, shot)
        if attempt is None:
            return
        if self.door.names[attempt.endpoint] != name:
            raise ParameterError(f"trip {shot} of lookup {msg} went to {self.door.names[attempt.endpoint]}, not {name}")
        fate = parse_enumeration(wire.FATES, outcome)
        closed, load = wire.flag(finished), wire.report(gauge, self.gauges)
        self.relay.attempt_ended(attempt, fate, closed, parse_ticks(took), load)
        self.touched.append(attempt.request)

    def accepted(self, words: Words) -> None:
        attempt = self.trip(words[1], words[3])
        if attempt is not None:
            self.relay.response_started(attempt)

    def client_left(self, words: Words) -> None:
        request = self.lookups.get(wire.ident(words[1]))
        if request is not None:
            self.relay.client_left(request)
            self.touched.append(request)

    def heard(self, words: Words) -> None:
        said = decode_gossip(wire.octets(words[2]), self.door.short_ids, [*self.lanes.values()])
        self.relay.gossip_received(parse_integer(words[1]), said)

    def bad_answer(self, words: Words) -> None:
        request_class = parse_enumeration(self.lanes, words[2])
        self.relay.complaint_received(self.door.get_or_add(words[1]), request_class, parse_ticks(words[3]))

    def rollout_state(self, words: Words) -> None:
        _, image, tranche, course, code, outcome, exposure, age = words
        phases = {str(phase.value): phase for phase in RolloutPhase}
        self.relay.rollout_updated(
            RolloutState(
                build=int(parse_number(image)),
                stage=int(parse_number(tranche)),
                phase=RolloutPhase.CANARY if course == "-" else parse_enumeration(phases, course),
                exposure_limit=parse_number(exposure),
                age=parse_ticks(age),
                answers_vote=wire.flag(code),
                outcome=parse_enumeration(wire.FATES, outcome),
            )
        )

    def period_sums(self, words: Words) -> None:
        _, image, lost, request_class, age, samples, took = words
        self.relay.tally_received(
            OutcomeTally(
                build=parse_integer(image),
                request_class=parse_enumeration(self.lanes, request_class),
                attempts=parse_integer(samples),
                failures=parse_integer(lost),
                latency=parse_ticks(took),
                age=parse_ticks(age),
            )
        )

    def probe_done(self, words: Words) -> None:
        _, name, outcome, took, gauge = words
        fate, load = parse_enumeration(wire.FATES, outcome), wire.report(gauge, self.gauges)
        self.relay.health_checked(self.door.get_or_add(name), fate, parse_ticks(took), load)

    def elapsed(self, words: Words) -> None:
        tag = parse_integer(words[1])
        if tag not in self.wakes:
            raise ParameterError(f"no timer {tag}")
        request = self.wakes.pop(tag)
        self.relay.timer_fired(request)
        if request is not None:
            self.touched.append(request)

    # Acts

    def drain(self, lines: list[str]) -> None:
        """Writes down what the decisions want done, in order."""
        actions = self.relay.actions
        told: Sequence[GossipEntry] = ()  # many peers are told the same
        texts: list[str] = []
        for action in actions:
            match action:
                case StartAttempt(attempt):
                    ids = self.lookup_ids[attempt.request], self.door.names[attempt.endpoint]
                    lines.append(f"CALL_OUT {ids[0]} {ids[1]} {millis(attempt.timeout)}")
                case SetTimer(at, request):
                    self.tag += 1
                    self.wakes[self.tag] = request
                    lines.append(f"AFTER {self.tag} {millis(at)}")
                case RejectRequest(request, retry_after):
                    lines.append(f"DENY {self.lookup_ids[request]} {millis(retry_after)}")
                    self.touched.append(request)
                case FailRequest(request):
                    lines.append(f"RESPOND_ERROR {self.lookup_ids[request]}")
                    self.touched.append(request)
                case CancelAttempt(attempt):
                    lookup_id = self.lookup_ids.get(attempt.request)
                    if lookup_id is not None:
                        lines.append(f"RETRACT {lookup_id} {attempt.number}")
                case CheckHealth(unit):
                    lines.append(f"SAMPLE {self.door.names[unit]}")
                case CloseIdleConnections(unit):
                    lines.append(f"FREE_LINKS {self.door.names[unit]}")
                case SendGossip(peer, words):
                    if words is not told:
                        texts = [text.hex() for text in encode_gossip(words, [*self.lanes.values()])]
                        told = words
                    lines += [f"WRITE_PEER {-1 if peer is None else peer} {text}" for text in texts]
                case CastVote(build, stage, verdict):
                    lines.append(f"SAY_SO {build} {verdict.value} {stage}")
                case WatchEndpoints(on):
                    lines.append(f"STREAM_CHANGES {int(on)}")
                case PollEndpoints():
                    lines.append("READ_LIST")
                case LogEvent(text):
                    lines.append(f"REMARK {text}")
        actions.clear()
        self.forget()


EVENTS: dict[str, Callable[[Host, Words], None]] = {
    "ASK": Host.ask,
    "ANSWER": Host.answer,
    "ELAPSED": Host.elapsed,
    "ACCEPTED": Host.accepted,
    "TIMED_OUT_CLIENT": Host.client_left,
    "HEARD": Host.heard,
    "BAD_ANSWER": Host.bad_answer,
    "ROLLOUT_STATE": Host.rollout_state,
    "PERIOD_SUMS": Host.period_sums,
    "PROBE_DONE": Host.probe_done,
}


class Floor:
    """All instances of the process, and the numbered lists that their roster events refer to."""

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.lists: dict[int, list[Words]] = {}

    def batch(self, lines: list[str]) -> list[str]:
        """One batch of lines, from TICK up to but without OVER_TO_YOU, answered by the reply's lines."""
        head = wire.split(lines[0])
        if head[0] != "TICK":
            raise ParameterError(f"a batch that begins with {head[0]}")
        now, number = parse_ticks(head[1]), parse_integer(head[2])
        named: dict[str, list[str]] = {}
        name, place = "", 1
        while place < len(lines):
            words = wire.split(lines[place])
            place += 1
            if words[0] == "FOR":
                name = words[1]
                named.setdefault(name, [])
            elif words[0] == "MANIFEST":
                many = parse_integer(words[2])
                entries = [wire.split(line) for line in lines[place : place + many]]
                if len(entries) != many or any(entry[0] != "ENTRY" for entry in entries):
                    raise ParameterError("a list shorter than it says")
                self.lists[parse_integer(words[1])] = entries
                place += many
            elif not name:
                raise ParameterError(f"{words[0]} for no instance")
            else:
                try:
                    self.event(name, words, now)
                except ParameterError as fault:
                    raise ParameterError(f"{fault}, in {' '.join(words)[:300]!r}") from None
        out = []
        for name in named:
            host = self.hosts.get(name)
            reply: list[str] = []
            if host is not None:
                host.drain(reply)
            if reply:
                out.append(f"AT {name}")
                out.extend(reply)
        out.append(f"EOR {number}")
        return out

    def event(self, name: str, words: Words, now: Ticks) -> None:
        if words[0] == "BEGIN":
            self.hosts[name] = Host(words, now)
            return
        host = self.hosts.get(name)
        if host is None:
            raise ParameterError(f"{words[0]} for {name}, which has not begun")
        host.relay.now = now
        if words[0] == "STOP":
            del self.hosts[name]
        elif words[0] == "DIRECTORY_UPDATE":
            failed = parse_enumeration(wire.COVERAGES, words[1]) is UpdateScope.FAILED
            place = 0 if failed else parse_integer(words[3])
            if not failed and place not in self.lists:
                raise ParameterError(f"no list {place}")
            host.roster(words, [] if failed else self.lists[place])
        elif words[0] in EVENTS:
            EVENTS[words[0]](host, words)
        else:
            raise ParameterError(f"{words[0]} out of place")


def serve(source: TextIO, sink: TextIO) -> None:
    """Answers batch after batch until the input ends."""
    floor = Floor()
    lines: list[str] = []
    for line in source:
        if line.startswith("OVER_TO_YOU"):
            if not lines:
                raise ParameterError("a batch without its TICK")
            sink.write("\n".join(floor.batch(lines)) + "\n")
            sink.flush()
            lines = []
        elif not lines and not line.strip():
            continue
        else:
            lines.append(line)
    if lines:
        raise ParameterError("the input ends inside a batch")
