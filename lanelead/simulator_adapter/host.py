"""Runs the decisions of simulated relays: the simulator's events become calls of `Decisions`, its actions become lines.

The simulator calls a relay an instance. One process runs several of them.
"""

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
from lanelead.simulator_adapter.wire import format_milliseconds

Words = list[str]  # a line of the wire, split at its spaces: its name and values


class Host:
    """One instance: its `Decisions`, and the tables from the wire's ids to their objects and back.

    Each method that is named after one of `Decisions` translates the event that its doc comment names to that call.
    """

    def __init__(self, words: Words, now: Ticks) -> None:
        """Starts an instance by its BEGIN line, which has a seed and then parameters as `path=value` pairs."""
        parameters = ParameterReader(words[2:])
        request_classes, tenants = parameters.request_classes(), parameters.tenants()
        self.relay: Decisions = Balancer(
            position=parameters.position(),
            request_classes=request_classes,
            tenants=tenants,
            quota=parameters.resource_quota(),
            limits=parameters.service_limits(),
            canary_limits=parameters.canary_limits(),
            voting_rules=parameters.voting_rules(),
            prices=parameters.prices(),
            rng=Random(parse_integer(words[1])),
            now=now,
        )
        self.request_classes = {request_class.name: request_class for request_class in request_classes}
        self.tenants = {tenant.name: tenant for tenant in tenants}
        self.report_names = parameters.texts("loadReport.names")
        self.registry = EndpointRegistry(self.relay.new_endpoint)
        # These are the removed endpoints that share their short id, and the times when they may release it.
        self.release_times: dict[Endpoint, Ticks] = {}
        # Attempts may run at a removed endpoint, and relays report them, for as long as their requests' timeouts.
        self.short_id_hold = 2 * max((request_class.timeout for request_class in request_classes), default=0)
        self.requests: dict[str, Request] = {}
        self.request_ids: dict[Request, str] = {}
        self.timers: dict[int, Request | None] = {}
        self.last_timer_number = 0
        self.possibly_finished: list[Request] = []

    def find_attempt(self, request_id: str, attempt_number: str) -> Attempt | None:
        """Returns an event's attempt, or None if its request is dropped. Raises ParameterError for unknown numbers."""
        request = self.requests.get(wire.parse_request_id(request_id))
        if request is None:
            return None
        index = parse_integer(attempt_number)
        if not 0 <= index < len(request.attempts):
            raise ParameterError(f"no attempt {attempt_number} of request {request_id}")
        return request.attempts[index]

    def drop_finished_requests(self) -> None:
        """Drops those of `possibly_finished` (some occur twice) that are finished and have no attempt in flight."""
        for request in self.possibly_finished:
            if request.finished and all(attempt.outcome for attempt in request.attempts):
                request_id = self.request_ids.pop(request, None)
                if request_id is not None:
                    del self.requests[request_id]
        self.possibly_finished.clear()

    # Events

    def endpoints_updated(self, words: Words, entries: list[Words]) -> None:
        """DIRECTORY_UPDATE: an update of the endpoint list, or a poll or subscription that failed."""
        update_scope = parse_enumeration(wire.UPDATE_SCOPES, words[1])
        records = []
        for _, zone, cell, started_at, kind, name, build, capacity, status in entries:
            records.append(
                EndpointRecord(
                    endpoint=self.registry.get_or_add(name),
                    zone=zone,
                    cell=int(parse_number(cell)),
                    kind=kind,
                    started_at=parse_ticks(started_at),
                    build=int(parse_number(build)),
                    capacity=parse_number(capacity, 1.0),
                    status=parse_enumeration(wire.ENDPOINT_STATUSES, status),
                )
            )
        self.relay.endpoints_updated(update_scope, records)
        self.release_short_ids()

    def release_short_ids(self) -> None:
        """Releases the shared short ids of endpoints that were removed so long ago that no relay reports them.

        Gossip cannot name an endpoint by its short id as long as another one holds the same short id.
        """
        for endpoint in self.registry.short_ids.endpoints_sharing_short_ids():
            if endpoint.status is not EndpointStatus.REMOVED:
                self.release_times.pop(endpoint, None)
            elif self.release_times.setdefault(endpoint, self.relay.now + self.short_id_hold) <= self.relay.now:
                del self.release_times[endpoint]
                self.registry.retire(endpoint)

    def request_received(self, words: Words) -> None:
        """ASK: a client's request."""
        _, request_id, request_class, tenant, key, time_left, hint, is_retry, is_write = words
        request = Request(
            request_class=parse_enumeration(self.request_classes, request_class),
            tenant=None if tenant in ("-", "0") else parse_enumeration(self.tenants, tenant),
            key=None if key == "-" else key,
            received_at=self.relay.now,
            deadline=self.relay.now + parse_ticks(time_left),
            hint=None if hint == "-" else parse_ticks(hint),
            is_retry=wire.parse_flag(is_retry),
            is_write=wire.parse_flag(is_write),
        )
        self.requests[wire.parse_request_id(request_id)] = request
        self.request_ids[request] = request_id
        self.relay.request_received(request)

    def attempt_ended(self, words: Words) -> None:
        """ANSWER: the end of an attempt. `finished`: its request has its final response by that."""
        _, request_id, name, number, finished, outcome, elapsed, load = words
        attempt = self.find_attempt(request_id, number)
        if attempt is None:
            return
        if self.registry.names[attempt.endpoint] != name:
            raise ParameterError(
                f"attempt {number} of request {request_id} went to {self.registry.names[attempt.endpoint]}, not {name}"
            )
        attempt_outcome = parse_enumeration(wire.OUTCOMES, outcome)
        closed, report = wire.parse_flag(finished), wire.parse_load_report(load, self.report_names)
        self.relay.attempt_ended(attempt, attempt_outcome, closed, parse_ticks(elapsed), report)
        self.possibly_finished.append(attempt.request)

    def response_started(self, words: Words) -> None:
        """ACCEPTED: the response to an attempt has begun to reach the client."""
        attempt = self.find_attempt(words[1], words[3])
        if attempt is not None:
            self.relay.response_started(attempt)

    def client_left(self, words: Words) -> None:
        """TIMED_OUT_CLIENT: the client of a request no longer waits."""
        request = self.requests.get(wire.parse_request_id(words[1]))
        if request is not None:
            self.relay.client_left(request)
            self.possibly_finished.append(request)

    def gossip_received(self, words: Words) -> None:
        """HEARD: a gossip message from a peer."""
        entries = decode_gossip(wire.parse_hex(words[2]), self.registry.short_ids, [*self.request_classes.values()])
        self.relay.gossip_received(parse_integer(words[1]), entries)

    def complaint_received(self, words: Words) -> None:
        """BAD_ANSWER: a client's report that an endpoint gave a wrong answer."""
        request_class = parse_enumeration(self.request_classes, words[2])
        self.relay.complaint_received(self.registry.get_or_add(words[1]), request_class, parse_ticks(words[3]))

    def rollout_updated(self, words: Words) -> None:
        """ROLLOUT_STATE: the stage and phase of the newest build, or the answer to a vote."""
        _, build, stage, phase, answers_vote, outcome, exposure_limit, age = words
        phases = {str(known_phase.value): known_phase for known_phase in RolloutPhase}
        self.relay.rollout_updated(
            RolloutState(
                build=int(parse_number(build)),
                stage=int(parse_number(stage)),
                phase=RolloutPhase.CANARY if phase == "-" else parse_enumeration(phases, phase),
                exposure_limit=parse_number(exposure_limit),
                age=parse_ticks(age),
                answers_vote=wire.parse_flag(answers_vote),
                outcome=parse_enumeration(wire.OUTCOMES, outcome),
            )
        )

    def tally_received(self, words: Words) -> None:
        """PERIOD_SUMS: what the platform counted of a build and request class."""
        _, build, failures, request_class, age, attempts, latency = words
        self.relay.tally_received(
            OutcomeTally(
                build=parse_integer(build),
                request_class=parse_enumeration(self.request_classes, request_class),
                attempts=parse_integer(attempts),
                failures=parse_integer(failures),
                latency=parse_ticks(latency),
                age=parse_ticks(age),
            )
        )

    def health_checked(self, words: Words) -> None:
        """PROBE_DONE: the outcome of a health check."""
        _, name, outcome, elapsed, load = words
        result, report = parse_enumeration(wire.OUTCOMES, outcome), wire.parse_load_report(load, self.report_names)
        self.relay.health_checked(self.registry.get_or_add(name), result, parse_ticks(elapsed), report)

    def timer_fired(self, words: Words) -> None:
        """ELAPSED: the time that an AFTER line asked for has come."""
        timer_number = parse_integer(words[1])
        if timer_number not in self.timers:
            raise ParameterError(f"unknown timer {timer_number}")
        request = self.timers.pop(timer_number)
        self.relay.timer_fired(request)
        if request is not None:
            self.possibly_finished.append(request)

    # Actions

    def write_actions(self, lines: list[str]) -> None:
        """Appends a line for each action of the decisions, in order, and empties their list of actions."""
        actions = self.relay.actions
        encoded: Sequence[GossipEntry] = ()  # the entries in `texts`: several peers are sent the same ones
        texts: list[str] = []
        for action in actions:
            match action:
                case StartAttempt(attempt):
                    ids = self.request_ids[attempt.request], self.registry.names[attempt.endpoint]
                    lines.append(f"CALL_OUT {ids[0]} {ids[1]} {format_milliseconds(attempt.timeout)}")
                case SetTimer(at, request):
                    self.last_timer_number += 1
                    self.timers[self.last_timer_number] = request
                    lines.append(f"AFTER {self.last_timer_number} {format_milliseconds(at)}")  # a time, not a delay
                case RejectRequest(request, retry_after):
                    lines.append(f"DENY {self.request_ids[request]} {format_milliseconds(retry_after)}")
                    self.possibly_finished.append(request)
                case FailRequest(request):
                    lines.append(f"RESPOND_ERROR {self.request_ids[request]}")
                    self.possibly_finished.append(request)
                case CancelAttempt(attempt):
                    request_id = self.request_ids.get(attempt.request)
                    if request_id is not None:
                        lines.append(f"RETRACT {request_id} {attempt.number}")
                case CheckHealth(endpoint):
                    lines.append(f"SAMPLE {self.registry.names[endpoint]}")
                case CloseIdleConnections(endpoint):
                    lines.append(f"FREE_LINKS {self.registry.names[endpoint]}")
                case SendGossip(peer, entries):
                    if entries is not encoded:
                        texts = [text.hex() for text in encode_gossip(entries, [*self.request_classes.values()])]
                        encoded = entries
                    lines += [f"WRITE_PEER {-1 if peer is None else peer} {text}" for text in texts]
                case CastVote(build, stage, verdict):
                    lines.append(f"SAY_SO {build} {verdict.value} {stage}")
                case WatchEndpoints(enabled):
                    lines.append(f"STREAM_CHANGES {int(enabled)}")
                case PollEndpoints():
                    lines.append("READ_LIST")
                case LogEvent(text):
                    lines.append(f"REMARK {text}")
        actions.clear()
        self.drop_finished_requests()


EVENTS: dict[str, Callable[[Host, Words], None]] = {  # DIRECTORY_UPDATE takes a list too, see `handle_event`
    "ASK": Host.request_received,
    "ANSWER": Host.attempt_ended,
    "ELAPSED": Host.timer_fired,
    "ACCEPTED": Host.response_started,
    "TIMED_OUT_CLIENT": Host.client_left,
    "HEARD": Host.gossip_received,
    "BAD_ANSWER": Host.complaint_received,
    "ROLLOUT_STATE": Host.rollout_updated,
    "PERIOD_SUMS": Host.tally_received,
    "PROBE_DONE": Host.health_checked,
}


class InstanceRegistry:
    """All instances of the process by name, and the endpoint lists that their DIRECTORY_UPDATE events refer to.

    A MANIFEST line and its ENTRY lines give a list and its number; a later list with the same number replaces it.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, Host] = {}
        self.lists: dict[int, list[Words]] = {}

    def handle_batch(self, lines: list[str]) -> list[str]:
        """Handles a batch, whose OVER_TO_YOU is left out, and returns the lines of the reply.

        Actions are written after the last event; those of an instance that a STOP ended are lost.
        """
        head = wire.split_line(lines[0])
        if head[0] != "TICK":
            raise ParameterError(f"expected TICK at the start of a batch, found {head[0]}")
        now, number = parse_ticks(head[1]), parse_integer(head[2])
        addressed: dict[str, list[str]] = {}
        name, index = "", 1
        while index < len(lines):
            words = wire.split_line(lines[index])
            index += 1
            if words[0] == "FOR":
                name = words[1]
                addressed.setdefault(name, [])
            elif words[0] == "MANIFEST":
                entry_count = parse_integer(words[2])
                entries = [wire.split_line(line) for line in lines[index : index + entry_count]]
                if len(entries) != entry_count or any(entry[0] != "ENTRY" for entry in entries):
                    raise ParameterError("MANIFEST is followed by fewer ENTRY lines than it says")
                self.lists[parse_integer(words[1])] = entries
                index += entry_count
            elif not name:
                raise ParameterError(f"{words[0]} before the first FOR of its batch")
            else:
                try:
                    self.handle_event(name, words, now)
                except ParameterError as fault:
                    raise ParameterError(f"{fault}, in {' '.join(words)[:300]!r}") from None
        out = []
        for name in addressed:
            host = self.hosts.get(name)
            reply: list[str] = []
            if host is not None:
                host.write_actions(reply)
            if reply:
                out.append(f"AT {name}")
                out.extend(reply)
        out.append(f"EOR {number}")
        return out

    def handle_event(self, name: str, words: Words, now: Ticks) -> None:
        """Hands one event to the instance `name`; BEGIN starts it, or replaces it, and STOP ends it."""
        if words[0] == "BEGIN":
            self.hosts[name] = Host(words, now)
            return
        host = self.hosts.get(name)
        if host is None:
            raise ParameterError(f"{words[0]} for {name}, which has had no BEGIN")
        host.relay.now = now
        if words[0] == "STOP":
            del self.hosts[name]
        elif words[0] == "DIRECTORY_UPDATE":
            failed = parse_enumeration(wire.UPDATE_SCOPES, words[1]) is UpdateScope.FAILED
            list_number = 0 if failed else parse_integer(words[3])
            if not failed and list_number not in self.lists:
                raise ParameterError(f"no MANIFEST with the number {list_number}")
            host.endpoints_updated(words, [] if failed else self.lists[list_number])
        elif words[0] in EVENTS:
            EVENTS[words[0]](host, words)
        else:
            raise ParameterError(f"{words[0]} is not an event of an instance")


def serve(source: TextIO, sink: TextIO) -> None:
    """Reads batches from `source` and writes the replies to `sink`. Raises ParameterError for malformed input."""
    instances = InstanceRegistry()
    lines: list[str] = []
    for line in source:
        if line.startswith("OVER_TO_YOU"):
            if not lines:
                raise ParameterError("OVER_TO_YOU without a TICK before it")
            sink.write("\n".join(instances.handle_batch(lines)) + "\n")
            sink.flush()
            lines = []
        elif not lines and not line.strip():
            continue
        else:
            lines.append(line)
    if lines:
        raise ParameterError("the input ended before the OVER_TO_YOU of its last batch")
