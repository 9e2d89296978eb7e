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
    FailRequest,
    CancelAttempt,
    CloseIdleConnections,
    EndpointStatus,
    UpdateScope,
    Decisions,
    ServiceLimits,
    AttemptOutcome,
    PollEndpoints,
    RequestClass,
    EndpointRecord,
    Request,
    Tenant,
    RolloutState,
    LogEvent,
    RolloutPhase,
    CheckHealth,
    LoadReport,
    StartAttempt,
    RejectRequest,
    SendGossip,
    Ticks,
    Attempt,
    Endpoint,
    Verdict,
    CastVote,
    SetTimer,
    WatchEndpoints,
    GossipEntry,
)
from lanelead.hosting.door import EndpointRegistry, encode_gossip, decode_gossip
from lanelead.protocols.records import EndpointListMessage, MessageError, RolloutMessage
from lanelead.protocols.vocabulary import ENDPOINT_STATUSES, ROLLOUT_PHASES
from lanelead.protocols.steps import MigrationLogPage
from lanelead.steps.join import Readiness


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

    def start_attempt(self, trip: Attempt, ticket: PendingRequest) -> None: ...
    def cancel_attempt(self, trip: Attempt) -> bool:
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
        lanes: Sequence[RequestClass],
        duties: ServiceLimits,
        open_lookups: int,
        longest_advice: Ticks,
        readiness: Readiness | None = None,
    ) -> None:
        self.decisions, self._hands, self._clock = decisions, hands, clock
        self.request_classes = {lane.name: lane for lane in lanes}
        self._order, self._duties = list(lanes), duties
        self._most_open, self._advice = open_lookups, longest_advice
        self.readiness = readiness  # None: no steps are run, and every build that is listed is there
        self._listings: dict[Endpoint, EndpointRecord] = {}  # as the roster told them, where steps are run
        self._unsaid = 0  # votes that were withheld, and that the decisions are to hear of
        self.registry = EndpointRegistry(decisions.new_endpoint)
        self.destinations: dict[Endpoint, Destination] = {}
        self._gone: dict[Endpoint, Ticks] = {}  # units that are gone, and until when they are kept in mind
        self._memory = 2 * max((lane.timeout for lane in lanes), default=0)
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
        ticket: PendingRequest,
        lane: RequestClass,
        member: Tenant | None,
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
            ticket.answered = True
            ticket.reply(ticket, RequestOutcome.REJECTED, None, None, self._advice)
            return
        lookup = Request(lane, member, key, now, now + left, None, again, write)
        ticket.request, self.pending[lookup] = lookup, ticket
        self.counters.received += 1
        self.decisions.request_received(lookup)
        self._carry()

    def client_left(self, ticket: PendingRequest) -> None:
        """The client has gone: no answer is owed."""
        if ticket.answered or ticket.request is None:
            return
        ticket.answered = True
        self.counters.abandoned += 1
        self._now()
        self.pending.pop(ticket.request, None)
        self.decisions.client_left(ticket.request)
        self._carry()

    def attempt_ended(
        self, trip: Attempt, fate: AttemptOutcome, answer: Any = None, report: LoadReport | None = None
    ) -> None:
        """How a trip ended. Only the first word on it counts."""
        if trip.outcome is not None:
            return
        now, lookup = self._now(), trip.request
        ticket = self.pending.get(lookup)
        # Guards against a relay that stood still: what it finds on its sockets then is too late for the
        # client.
        if (
            fate is AttemptOutcome.SUCCEEDED
            and ticket
            and not lookup.finished
            and now > lookup.deadline + self._duties.response_slack
        ):
            fate = AttemptOutcome.TIMED_OUT
        closed = fate is AttemptOutcome.SUCCEEDED
        if ticket is not None:
            ticket.timed_out = fate is AttemptOutcome.TIMED_OUT
            if closed and not ticket.answered:
                self._answer(ticket, RequestOutcome.SUCCEEDED, trip, answer, 0)
        self.counters.outcomes[fate] = self.counters.outcomes.get(fate, 0) + 1
        self._known(trip, fate)
        self.decisions.attempt_ended(trip, fate, closed, now - trip.sent_at, report)
        self._carry()

    def health_checked(self, unit: Endpoint, fate: AttemptOutcome, took: Ticks, report: LoadReport | None) -> None:
        self._now()
        self.decisions.health_checked(unit, fate, took, report)
        self._carry()

    def endpoints_listed(self, listed: EndpointListMessage, offset: Ticks) -> None:
        """The roster's word. `offset` is what its clock lacks of ours, fixed for as long as one stream
        lasts."""
        self._now()
        listings = []
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
            listings.append(EndpointRecord(unit, row.zone, row.cell, row.kind, since, row.build, row.size, condition))
        coverage = UpdateScope.SNAPSHOT if listed.coverage == "full" else UpdateScope.DELTA
        if not self._listed:
            coverage, self._listed = UpdateScope.CACHED, True
        if self.readiness is not None:
            listings = self._withhold(coverage, listings)
        self.decisions.endpoints_updated(coverage, listings)
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

    def _withhold(self, coverage: UpdateScope, listings: list[EndpointRecord]) -> list[EndpointRecord]:
        """The same, with units of builds that may have no traffic told as draining: they count as not
        there."""
        assert self.readiness is not None
        if coverage is not UpdateScope.DELTA:
            self._listings.clear()
        for listing in listings:
            if listing.status is EndpointStatus.REMOVED:
                self._listings.pop(listing.endpoint, None)
            else:
                self._listings[listing.endpoint] = listing
        self.readiness.listed(listing.build for listing in self._listings.values())
        return [self._as_ready(listing) for listing in listings]

    def _as_ready(self, listing: EndpointRecord) -> EndpointRecord:
        assert self.readiness is not None
        if listing.status is not EndpointStatus.READY or self.readiness.open(listing.build):
            return listing
        return replace(listing, status=EndpointStatus.DRAINING)

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
        for listing in self._listings.values():
            told = self._as_ready(listing)
            if told.status is not listing.endpoint.status:
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

    def complaint_received(self, name: str, lane: RequestClass, age: Ticks) -> bool:
        """A client found an answer wrong; false where the unit was never listed."""
        if name not in self.registry.by_name:
            return False
        self._now()
        self.decisions.complaint_received(self.registry.by_name[name], lane, age)
        self._carry()
        return True

    def destination_of(self, trip: Attempt) -> Destination | None:
        """Where a trip may go, asked right before its first byte: nowhere once its unit drains, is gone, or
        is another life than the one that was chosen. Guards rules 3 to 5 while a trip waits for a
        connection."""
        place = self.destinations.get(trip.endpoint)
        if place is None or trip.endpoint.status is not EndpointStatus.READY or trip.request.finished:
            return None
        if self.readiness is not None and not self.readiness.open(place.build):
            return None
        return place

    def _known(self, trip: Attempt, fate: AttemptOutcome) -> None:
        """A trip's end, for the steps: one that may still run at its unit holds a closing up."""
        if self.readiness is not None:
            known = fate in (
                AttemptOutcome.SUCCEEDED,
                AttemptOutcome.ERROR,
                AttemptOutcome.REJECTED,
                AttemptOutcome.CONNECT_FAILED,
                AttemptOutcome.NOT_SENT,
            )
            self.readiness.ended(trip, known)

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
        self, ticket: PendingRequest, outcome: RequestOutcome, trip: Attempt | None, answer: Any, come_back: Ticks
    ) -> None:
        if ticket.answered:  # exactly one final answer, whoever asks for another
            return
        ticket.answered = True
        if ticket.request is not None:
            self.pending.pop(ticket.request, None)
        match outcome:
            case RequestOutcome.SUCCEEDED:
                self.counters.succeeded += 1
            case RequestOutcome.REJECTED:
                self.counters.rejected += 1
            case RequestOutcome.FAILED:
                self.counters.failed += 1
        ticket.reply(ticket, outcome, trip, answer, come_back)

    def _carry(self) -> None:
        """Carries out what the decisions want, in order, until nothing is left."""
        if self._carrying:
            return
        self._carrying = True
        decisions = self.decisions
        try:
            while decisions.actions or self._soon or self._unsaid:
                acts, decisions.actions = decisions.actions, []
                for act in acts:
                    self._do(act)
                if not decisions.actions and self._soon:
                    trip, fate = self._soon.popleft()
                    self._stop(trip, fate)
                elif not decisions.actions and self._unsaid:
                    self._unsaid -= 1
                    decisions.rollout_updated(
                        RolloutState(0, 0, RolloutPhase.CANARY, 0.0, 0, True, AttemptOutcome.NOT_SENT)
                    )
        finally:
            self._carrying = False

    def _stop(self, trip: Attempt, fate: AttemptOutcome) -> None:
        if trip.outcome is not None:
            return
        if not self._hands.cancel_attempt(trip):  # too little was written: it never ran
            fate = AttemptOutcome.CONNECT_FAILED if fate is AttemptOutcome.TIMED_OUT else fate
        ticket = self.pending.get(trip.request)
        if ticket is not None:
            ticket.timed_out = fate is AttemptOutcome.TIMED_OUT
        self.counters.outcomes[fate] = self.counters.outcomes.get(fate, 0) + 1
        self._known(trip, fate)
        self.decisions.attempt_ended(trip, fate, False, self.decisions.now - trip.sent_at, None)

    def _do(self, act: Action) -> None:
        kind = type(act)  # the two most frequent kinds first: this runs several times a lookup
        if kind is SetTimer:
            assert isinstance(act, SetTimer)
            self._at(act.at, act.request)
        elif kind is StartAttempt:
            assert isinstance(act, StartAttempt)
            self._send(act.attempt)
        else:
            self._do_rest(act)

    def _send(self, trip: Attempt) -> None:
        ticket = self.pending.get(trip.request)
        if ticket is None:  # its client has gone in the same breath
            self._soon.append((trip, AttemptOutcome.NOT_SENT))
            return
        self.counters.attempts += 1
        self._at(trip.sent_at + trip.timeout, trip)
        if self.readiness is not None and (place := self.destinations.get(trip.endpoint)) is not None:
            self.readiness.sent(place.build, trip)
        self._hands.start_attempt(trip, ticket)

    def _do_rest(self, act: Action) -> None:
        match act:
            case RejectRequest(lookup, come_back):
                if (ticket := self.pending.get(lookup)) is not None:
                    self._answer(ticket, RequestOutcome.REJECTED, None, None, come_back)
            case FailRequest(lookup):
                if (ticket := self.pending.get(lookup)) is not None:
                    self._answer(ticket, RequestOutcome.FAILED, None, None, 0)
            case CancelAttempt(trip):
                self._soon.append((trip, AttemptOutcome.CANCELLED))
            case CheckHealth(unit):
                self._hands.check_health(unit)
            case CloseIdleConnections(unit):
                self._hands.close_idle_connections(unit)
            case SendGossip(peer, words):
                self._tell(peer, words)
            case CastVote():
                self._vote(act)
            case WatchEndpoints(on):
                self._hands.watch_endpoints(on)
            case PollEndpoints():
                self._hands.poll_endpoints()
            case LogEvent(text):
                self._hands.log_event(text)

    def _vote(self, vote: CastVote) -> None:
        """No 'on' past the stage whose needs are not done: it is as if the call had not been made."""
        ready = self.readiness is None or self.readiness.votes_on(vote.build, vote.stage)
        if vote.verdict is Verdict.PROMOTE and not ready:
            self.counters.withheld_votes += 1
            self._unsaid += 1
        else:
            self._hands.cast_vote(vote)

    def _tell(self, peer: int | None, words: Sequence[GossipEntry]) -> None:
        if words is not self._said:  # many peers are told the same
            self._said, self._texts = words, encode_gossip(words, self._order)
        self._hands.send_gossip(peer, self._texts)
