"""Between the sockets and the decisions: feeds them events, carries out their acts, decides nothing itself.

The driver knows no socket. What it wants done it asks of `Hands`, which must not call back from within a
call; what happened, the hands tell it by the methods under 'Events'. Times are whole tenths of a
millisecond on the driver's own clock, which `clock` reads.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from heapq import heappop, heappush
from typing import Any, Protocol

from lanelead.decisions.interface import (
    Action,
    Attempt,
    AttemptOutcome,
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
    LoadReport,
    LogEvent,
    PollEndpoints,
    RejectRequest,
    Request,
    RequestClass,
    RolloutPhase,
    RolloutState,
    SendGossip,
    ServiceLimits,
    SetTimer,
    StartAttempt,
    Tenant,
    Ticks,
    UpdateScope,
    Verdict,
    WatchEndpoints,
)
from lanelead.migrations.readiness import Readiness
from lanelead.protocols.feeds import EndpointListMessage, MessageError, RolloutMessage
from lanelead.protocols.migrations import MigrationLogPage
from lanelead.protocols.vocabulary import ENDPOINT_STATUSES, ROLLOUT_PHASES
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import decode_gossip, encode_gossip


class RequestOutcome(Enum):
    """A lookup's final answer, as the client is told."""

    SUCCEEDED = "done"
    REJECTED = "shed"
    FAILED = "broken-off"


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A lookup at the door: what was asked, and to whom the answer goes. What a question and an answer are,
    the front and the links agree on: HTTP's, or the platform's."""

    id: str
    message: Any
    reply: Callable[[PendingRequest, RequestOutcome, Attempt | None, Any, Ticks], None]
    request: Request | None = None
    answered: bool = False
    timed_out: bool = False  # its last trip ran out of time: 504, not 502


@dataclass(slots=True, frozen=True)
class Destination:
    """Where a unit listens, and which life of it was meant: it may come back with another build."""

    host: str
    port: int
    build: int
    started_at: Ticks


class HostOperations(Protocol):
    """What the driver has done for it. None of these may call the driver back before it returns."""

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None: ...
    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Waits no longer for a trip; says whether it may have run, by what was written of it."""
        ...

    def check_health(self, unit: Endpoint) -> None: ...
    def close_idle_connections(self, unit: Endpoint) -> None: ...
    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None: ...
    def cast_vote(self, vote: CastVote) -> None: ...
    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


@dataclass(slots=True)
class DriverCounters:
    """What happened since the start."""

    received: int = 0
    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    abandoned: int = 0
    over_limit: int = 0  # shed before they were taken: the allowance was used up
    attempts: int = 0
    withheld_votes: int = 0  # votes 'on' past a stage whose needs are not done
    outcomes: dict[AttemptOutcome, int] = field(default_factory=dict)


class DecisionDriver:
    def __init__(
        self,
        decisions: Decisions,
        hands: HostOperations,
        clock: Callable[[], Ticks],
        request_classes: Sequence[RequestClass],
        limits: ServiceLimits,
        open_lookups: int,
        longest_advice: Ticks,
        readiness: Readiness | None = None,
    ) -> None:
        self.decisions, self._host, self._clock = decisions, hands, clock
        self.request_classes = {request_class.name: request_class for request_class in request_classes}
        self._order, self._limits = list(request_classes), limits
        self._most_open, self._advice = open_lookups, longest_advice
        self.readiness = readiness  # None: no steps are run, and every build that is listed is there
        self._listings: dict[Endpoint, EndpointRecord] = {}  # as the roster told them, where steps are run
        self._unsaid = 0  # votes that were withheld, and that the decisions are to hear of
        self.registry = EndpointRegistry(decisions.new_endpoint)
        self.destinations: dict[Endpoint, Destination] = {}
        self._gone: dict[Endpoint, Ticks] = {}  # units that are gone, and until when they are kept in mind
        self._memory = 2 * max((request_class.timeout for request_class in request_classes), default=0)
        self.pending: dict[Request, PendingRequest] = {}
        self.counters = DriverCounters()
        self._timers: list[tuple[Ticks, int, Request | Attempt | None]] = []
        self._number = 0
        self._said: Sequence[GossipEntry] = ()
        self._texts: list[bytes] = []
        self._soon: deque[tuple[Attempt, AttemptOutcome]] = deque()
        self._listed = False
        self._carrying = False
        self._carry()

    # Events

    def receive(
        self,
        pending: PendingRequest,
        request_class: RequestClass,
        tenant: Tenant | None,
        key: str | None,
        left: Ticks,
        again: bool = False,
        write: bool = False,
    ) -> None:
        """A client's lookup; `left` is the time that its client still waits. Its answer comes by
        `ticket.reply`."""
        now = self._now()
        if len(self.pending) >= self._most_open or left <= 0:
            self.counters.over_limit += 1
            pending.answered = True
            pending.reply(pending, RequestOutcome.REJECTED, None, None, self._advice)
            return
        request = Request(request_class, tenant, key, now, now + left, None, again, write)
        pending.request, self.pending[request] = request, pending
        self.counters.received += 1
        self.decisions.request_received(request)
        self._carry()

    def client_left(self, pending: PendingRequest) -> None:
        """The client has gone: no answer is owed."""
        if pending.answered or pending.request is None:
            return
        pending.answered = True
        self.counters.abandoned += 1
        self._now()
        self.pending.pop(pending.request, None)
        self.decisions.client_left(pending.request)
        self._carry()

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, answer: Any = None, report: LoadReport | None = None
    ) -> None:
        """How a trip ended. Only the first word on it counts."""
        if attempt.outcome is not None:
            return
        now, request = self._now(), attempt.request
        pending = self.pending.get(request)
        # Guards against a relay that stood still: what it finds on its sockets then is too late for the
        # client.
        if (
            outcome is AttemptOutcome.SUCCEEDED
            and pending
            and not request.finished
            and now > request.deadline + self._limits.response_slack
        ):
            outcome = AttemptOutcome.TIMED_OUT
        closed = outcome is AttemptOutcome.SUCCEEDED
        if pending is not None:
            pending.timed_out = outcome is AttemptOutcome.TIMED_OUT
            if closed and not pending.answered:
                self._answer(pending, RequestOutcome.SUCCEEDED, attempt, answer, 0)
        self.counters.outcomes[outcome] = self.counters.outcomes.get(outcome, 0) + 1
        self._known(attempt, outcome)
        self.decisions.attempt_ended(attempt, outcome, closed, now - attempt.sent_at, report)
        self._carry()

    def health_checked(self, unit: Endpoint, outcome: AttemptOutcome, took: Ticks, report: LoadReport | None) -> None:
        self._now()
        self.decisions.health_checked(unit, outcome, took, report)
        self._carry()

    def endpoints_listed(self, listed: EndpointListMessage, offset: Ticks) -> None:
        """The roster's word. `offset` is what its clock lacks of ours, fixed for as long as one stream
        lasts."""
        self._now()
        records = []
        for row in listed.units:
            unit = self.registry.get_or_add(row.unit)
            since = 0
            if row.started_ms is not None:
                since = max(1, int(row.started_ms * 10) + offset)
                old = self.destinations.get(unit)
                # The same life of a unit keeps its time of start, though another stream reads clocks anew.
                if old and old.build == row.build and old.started_at and abs(old.started_at - since) < 1000:
                    since = old.started_at
            self.destinations[unit] = Destination(row.host, row.port, row.build, since)
            condition = ENDPOINT_STATUSES[row.condition]
            records.append(EndpointRecord(unit, row.zone, row.cell, row.kind, since, row.build, row.size, condition))
        update_scope = UpdateScope.SNAPSHOT if listed.coverage == "full" else UpdateScope.DELTA
        if not self._listed:
            update_scope, self._listed = UpdateScope.CACHED, True
        if self.readiness is not None:
            records = self._withhold(update_scope, records)
        self.decisions.endpoints_updated(update_scope, records)
        self._carry()
        self._forget()

    def _forget(self) -> None:
        """Guards against tables that grow for as long as units come and go. A trip may still be out at one
        that is gone, so it is kept for a while."""
        now = self.decisions.now
        for unit in self.destinations:
            if unit.status is EndpointStatus.REMOVED:
                self._gone.setdefault(unit, now + self._memory)
            else:
                self._gone.pop(unit, None)
        for unit in [unit for unit, until in self._gone.items() if until <= now]:
            del self._gone[unit], self.destinations[unit]
            self.registry.forget(unit)

    def _withhold(self, update_scope: UpdateScope, records: list[EndpointRecord]) -> list[EndpointRecord]:
        """The same, with units of builds that may have no traffic told as draining: they count as not
        there."""
        assert self.readiness is not None
        if update_scope is not UpdateScope.DELTA:
            self._listings.clear()
        for record in records:
            if record.status is EndpointStatus.REMOVED:
                self._listings.pop(record.endpoint, None)
            else:
                self._listings[record.endpoint] = record
        self.readiness.listed(record.build for record in self._listings.values())
        return [self._as_ready(record) for record in records]

    def _as_ready(self, record: EndpointRecord) -> EndpointRecord:
        assert self.readiness is not None
        if record.status is not EndpointStatus.READY or self.readiness.open(record.build):
            return record
        return replace(record, status=EndpointStatus.DRAINING)

    def migrations_read(self, page: MigrationLogPage) -> None:
        """The record of steps has grown. Raises Malformed where it follows no rules."""
        assert self.readiness is not None
        if page.last < self.readiness.record.seq:  # another store, or an old copy: what it says is not this
            raise MessageError(f"a record of {page.last} entries, of which {self.readiness.record.seq} were read")
        self._now()
        self.readiness.hear(page.entries)
        self._relist()
        self._carry()

    def _relist(self) -> None:
        """Tells the decisions of units whose build may have traffic now, or may not any more."""
        changed = []
        for record in self._listings.values():
            told = self._as_ready(record)
            if told.status is not record.endpoint.status:
                changed.append(told)
        if changed:
            self.decisions.endpoints_updated(UpdateScope.DELTA, changed)

    def endpoint_poll_failed(self) -> None:
        self._now()
        self.decisions.endpoints_updated(UpdateScope.FAILED, [])
        self._carry()

    def rollout_read(self, line: RolloutMessage | None, answer: bool, word: AttemptOutcome) -> None:
        """The desk's news, or its answer to a vote; no line where the answer never came."""
        self._now()
        if line is None:
            news = RolloutState(0, 0, RolloutPhase.CANARY, 0.0, 0, True, word)
        else:
            age = int(line.age_ms * 10)
            news = RolloutState(line.build, line.stage, ROLLOUT_PHASES[line.phase], line.cap, age, answer, word)
        if self.readiness is not None and line is not None:
            self.readiness.news(line.build, line.stage, line.phase == "trial")
            self._relist()
        self.decisions.rollout_updated(news)
        self._carry()

    def gossip_received(self, peer: int, payload: bytes) -> None:
        self._now()
        self.decisions.gossip_received(peer, decode_gossip(payload, self.registry.short_ids, self._order))
        self._carry()

    def complaint_received(self, name: str, request_class: RequestClass, age: Ticks) -> bool:
        """A client found an answer wrong; false where the unit was never listed."""
        if name not in self.registry.by_name:
            return False
        self._now()
        self.decisions.complaint_received(self.registry.by_name[name], request_class, age)
        self._carry()
        return True

    def destination_of(self, attempt: Attempt) -> Destination | None:
        """Where a trip may go, asked right before its first byte: nowhere once its unit drains, is gone, or
        is another life than the one that was chosen. Guards rules 3 to 5 while a trip waits for a
        connection."""
        place = self.destinations.get(attempt.endpoint)
        if place is None or attempt.endpoint.status is not EndpointStatus.READY or attempt.request.finished:
            return None
        if self.readiness is not None and not self.readiness.open(place.build):
            return None
        return place

    def _known(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """A trip's end, for the steps: one that may still run at its unit holds a closing up."""
        if self.readiness is not None:
            known = outcome in (
                AttemptOutcome.SUCCEEDED,
                AttemptOutcome.ERROR,
                AttemptOutcome.REJECTED,
                AttemptOutcome.CONNECT_FAILED,
                AttemptOutcome.NOT_SENT,
            )
            self.readiness.ended(attempt, known)

    def tick(self) -> None:
        """Handles all timers that have fallen due."""
        now = self._now()
        while self._timers and self._timers[0][0] <= now:
            due = heappop(self._timers)[2]
            if isinstance(due, Attempt):
                if due.outcome is None:
                    self._soon.append((due, AttemptOutcome.TIMED_OUT))
            elif due is None or not due.finished:
                self.decisions.timer_fired(due)
            self._carry()

    def next_timer(self) -> Ticks | None:
        """When `tick` must be called next."""
        while self._timers:
            what = self._timers[0][2]
            stale = what.outcome is not None if isinstance(what, Attempt) else what is not None and what.finished
            if not stale:
                return self._timers[0][0]
            heappop(self._timers)
        return None

    # Acts

    def _now(self) -> Ticks:
        self.decisions.now = now = max(self.decisions.now, self._clock())
        return now

    def _at(self, when: Ticks, what: Request | Attempt | None) -> None:
        self._number += 1
        heappush(self._timers, (when, self._number, what))

    def _answer(
        self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None, answer: Any, retry_after: Ticks
    ) -> None:
        if pending.answered:  # exactly one final answer, whoever asks for another
            return
        pending.answered = True
        if pending.request is not None:
            self.pending.pop(pending.request, None)
        match outcome:
            case RequestOutcome.SUCCEEDED:
                self.counters.succeeded += 1
            case RequestOutcome.REJECTED:
                self.counters.rejected += 1
            case RequestOutcome.FAILED:
                self.counters.failed += 1
        pending.reply(pending, outcome, attempt, answer, retry_after)

    def _carry(self) -> None:
        """Carries out what the decisions want, in order, until nothing is left."""
        if self._carrying:
            return
        self._carrying = True
        decisions = self.decisions
        try:
            while decisions.actions or self._soon or self._unsaid:
                actions, decisions.actions = decisions.actions, []
                for action in actions:
                    self._do(action)
                if not decisions.actions and self._soon:
                    attempt, outcome = self._soon.popleft()
                    self._stop(attempt, outcome)
                elif not decisions.actions and self._unsaid:
                    self._unsaid -= 1
                    decisions.rollout_updated(
                        RolloutState(0, 0, RolloutPhase.CANARY, 0.0, 0, True, AttemptOutcome.NOT_SENT)
                    )
        finally:
            self._carrying = False

    def _stop(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if attempt.outcome is not None:
            return
        if not self._host.cancel_attempt(attempt):  # too little was written: it never ran
            outcome = AttemptOutcome.CONNECT_FAILED if outcome is AttemptOutcome.TIMED_OUT else outcome
        pending = self.pending.get(attempt.request)
        if pending is not None:
            pending.timed_out = outcome is AttemptOutcome.TIMED_OUT
        self.counters.outcomes[outcome] = self.counters.outcomes.get(outcome, 0) + 1
        self._known(attempt, outcome)
        self.decisions.attempt_ended(attempt, outcome, False, self.decisions.now - attempt.sent_at, None)

    def _do(self, action: Action) -> None:
        kind = type(action)  # the two most frequent kinds first: this runs several times a lookup
        if kind is SetTimer:
            assert isinstance(action, SetTimer)
            self._at(action.at, action.request)
        elif kind is StartAttempt:
            assert isinstance(action, StartAttempt)
            self._send(action.attempt)
        else:
            self._do_rest(action)

    def _send(self, attempt: Attempt) -> None:
        pending = self.pending.get(attempt.request)
        if pending is None:  # its client has gone in the same breath
            self._soon.append((attempt, AttemptOutcome.NOT_SENT))
            return
        self.counters.attempts += 1
        self._at(attempt.sent_at + attempt.timeout, attempt)
        if self.readiness is not None and (place := self.destinations.get(attempt.endpoint)) is not None:
            self.readiness.sent(place.build, attempt)
        self._host.start_attempt(attempt, pending)

    def _do_rest(self, action: Action) -> None:
        match action:
            case RejectRequest(request, retry_after):
                if (pending := self.pending.get(request)) is not None:
                    self._answer(pending, RequestOutcome.REJECTED, None, None, retry_after)
            case FailRequest(request):
                if (pending := self.pending.get(request)) is not None:
                    self._answer(pending, RequestOutcome.FAILED, None, None, 0)
            case CancelAttempt(attempt):
                self._soon.append((attempt, AttemptOutcome.CANCELLED))
            case CheckHealth(unit):
                self._host.check_health(unit)
            case CloseIdleConnections(unit):
                self._host.close_idle_connections(unit)
            case SendGossip(peer, words):
                self._tell(peer, words)
            case CastVote():
                self._vote(action)
            case WatchEndpoints(on):
                self._host.watch_endpoints(on)
            case PollEndpoints():
                self._host.poll_endpoints()
            case LogEvent(text):
                self._host.log_event(text)

    def _vote(self, vote: CastVote) -> None:
        """No 'on' past the stage whose needs are not done: it is as if the call had not been made."""
        ready = self.readiness is None or self.readiness.votes_on(vote.build, vote.stage)
        if vote.verdict is Verdict.PROMOTE and not ready:
            self.counters.withheld_votes += 1
            self._unsaid += 1
        else:
            self._host.cast_vote(vote)

    def _tell(self, peer: int | None, words: Sequence[GossipEntry]) -> None:
        if words is not self._said:  # many peers are told the same
            self._said, self._texts = words, encode_gossip(words, self._order)
        self._host.send_gossip(peer, self._texts)
