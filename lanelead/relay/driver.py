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
    Act,
    BreakOff,
    CallOff,
    Close,
    Condition,
    Coverage,
    Decisions,
    Duties,
    Fate,
    Fetch,
    Lane,
    Listing,
    Lookup,
    Member,
    News,
    Note,
    Phase,
    Probe,
    Report,
    Send,
    Shed,
    Tell,
    Ticks,
    Trip,
    Unit,
    Verdict,
    Vote,
    Wake,
    Watch,
    Word,
)
from lanelead.hosting.door import Door, pack, unpack
from lanelead.protocols.records import EndpointListMessage, Malformed, RolloutMessage
from lanelead.protocols.steps import MigrationLogPage
from lanelead.steps.join import Readiness

WORDS = {"done": Fate.DONE, "moot": Fate.UNSENT, "overloaded": Fate.TURNED_AWAY, "failed": Fate.ERROR}
PHASES = {phase.name.lower(): phase for phase in Phase}


class Outcome(Enum):
    """A lookup's final answer, as the client is told."""

    DONE = "done"
    SHED = "shed"
    BROKEN_OFF = "broken-off"


@dataclass(slots=True, eq=False)
class Ticket:
    """A lookup at the door: what was asked, and to whom the answer goes. What a question and an answer are,
    the front and the links agree on: HTTP's, or the platform's."""

    ident: str
    ask: Any
    reply: Callable[[Ticket, Outcome, Trip | None, Any, Ticks], None]
    lookup: Lookup | None = None
    answered: bool = False
    late: bool = False  # its last trip ran out of time: 504, not 502


@dataclass(slots=True, frozen=True)
class Destination:
    """Where a unit listens, and which life of it was meant: it may come back with another build."""

    host: str
    port: int
    build: int
    since: Ticks


class Hands(Protocol):
    """What the driver has done for it. None of these may call the driver back before it returns."""

    def send(self, trip: Trip, ticket: Ticket) -> None: ...
    def abandon(self, trip: Trip) -> bool:
        """Waits no longer for a trip; says whether it may have run, by what was written of it."""
        ...

    def probe(self, unit: Unit) -> None: ...
    def close(self, unit: Unit) -> None: ...
    def tell(self, peer: int | None, payloads: Sequence[bytes]) -> None: ...
    def vote(self, vote: Vote) -> None: ...
    def watch(self, on: bool) -> None: ...
    def fetch(self) -> None: ...
    def note(self, text: str) -> None: ...


@dataclass(slots=True)
class Counts:
    """What happened since the start."""

    taken: int = 0
    done: int = 0
    shed: int = 0
    broken_off: int = 0
    left: int = 0
    at_the_door: int = 0  # shed before they were taken: the allowance was used up
    trips: int = 0
    withheld: int = 0  # votes 'on' past a stage whose needs are not done
    fates: dict[Fate, int] = field(default_factory=dict)


class Driver:
    def __init__(
        self,
        decisions: Decisions,
        hands: Hands,
        clock: Callable[[], Ticks],
        lanes: Sequence[Lane],
        duties: Duties,
        open_lookups: int,
        longest_advice: Ticks,
        readiness: Readiness | None = None,
    ) -> None:
        self.decisions, self._hands, self._clock = decisions, hands, clock
        self.lanes = {lane.name: lane for lane in lanes}
        self._order, self._duties = list(lanes), duties
        self._most_open, self._advice = open_lookups, longest_advice
        self.readiness = readiness  # None: no steps are run, and every build that is listed is there
        self._listings: dict[Unit, Listing] = {}  # as the roster told them, where steps are run
        self._unsaid = 0  # votes that were withheld, and that the decisions are to hear of
        self.door = Door(decisions.meet)
        self.places: dict[Unit, Destination] = {}
        self._gone: dict[Unit, Ticks] = {}  # units that are gone, and until when they are kept in mind
        self._memory = 2 * max((lane.outer_limit for lane in lanes), default=0)
        self.tickets: dict[Lookup, Ticket] = {}
        self.counts = Counts()
        self._timers: list[tuple[Ticks, int, Lookup | Trip | None]] = []
        self._number = 0
        self._said: Sequence[Word] = ()
        self._texts: list[bytes] = []
        self._soon: deque[tuple[Trip, Fate]] = deque()
        self._listed = False
        self._carrying = False
        self._carry()

    # Events

    def take(
        self,
        ticket: Ticket,
        lane: Lane,
        member: Member | None,
        key: str | None,
        left: Ticks,
        again: bool = False,
        write: bool = False,
    ) -> None:
        """A client's lookup; `left` is the time that its client still waits. Its answer comes by
        `ticket.reply`."""
        now = self._now()
        if len(self.tickets) >= self._most_open or left <= 0:
            self.counts.at_the_door += 1
            ticket.answered = True
            ticket.reply(ticket, Outcome.SHED, None, None, self._advice)
            return
        lookup = Lookup(lane, member, key, now, now + left, None, again, write)
        ticket.lookup, self.tickets[lookup] = lookup, ticket
        self.counts.taken += 1
        self.decisions.take(lookup)
        self._carry()

    def left(self, ticket: Ticket) -> None:
        """The client has gone: no answer is owed."""
        if ticket.answered or ticket.lookup is None:
            return
        ticket.answered = True
        self.counts.left += 1
        self._now()
        self.tickets.pop(ticket.lookup, None)
        self.decisions.left(ticket.lookup)
        self._carry()

    def ended(self, trip: Trip, fate: Fate, answer: Any = None, report: Report | None = None) -> None:
        """How a trip ended. Only the first word on it counts."""
        if trip.fate is not None:
            return
        now, lookup = self._now(), trip.lookup
        ticket = self.tickets.get(lookup)
        # Guards against a relay that stood still: what it finds on its sockets then is too late for the
        # client.
        if fate is Fate.DONE and ticket and not lookup.over and now > lookup.due + self._duties.answer_slack:
            fate = Fate.TIMED_OUT
        closed = fate is Fate.DONE
        if ticket is not None:
            ticket.late = fate is Fate.TIMED_OUT
            if closed and not ticket.answered:
                self._answer(ticket, Outcome.DONE, trip, answer, 0)
        self.counts.fates[fate] = self.counts.fates.get(fate, 0) + 1
        self._known(trip, fate)
        self.decisions.ended(trip, fate, closed, now - trip.sent, report)
        self._carry()

    def probed(self, unit: Unit, fate: Fate, took: Ticks, report: Report | None) -> None:
        self._now()
        self.decisions.probed(unit, fate, took, report)
        self._carry()

    def listed(self, listed: EndpointListMessage, offset: Ticks) -> None:
        """The roster's word. `offset` is what its clock lacks of ours, fixed for as long as one stream
        lasts."""
        self._now()
        listings = []
        for row in listed.units:
            unit = self.door.unit(row.unit)
            since = 0
            if row.started_ms is not None:
                since = max(1, int(row.started_ms * 10) + offset)
                old = self.places.get(unit)
                # The same life of a unit keeps its time of start, though another stream reads clocks anew.
                if old and old.build == row.build and old.since and abs(old.since - since) < 1000:
                    since = old.since
            self.places[unit] = Destination(row.host, row.port, row.build, since)
            condition = Condition(row.condition)
            listings.append(Listing(unit, row.zone, row.cell, row.kind, since, row.build, row.size, condition))
        coverage = Coverage.FULL if listed.coverage == "full" else Coverage.CHANGES
        if not self._listed:
            coverage, self._listed = Coverage.CACHED, True
        if self.readiness is not None:
            listings = self._withhold(coverage, listings)
        self.decisions.roster(coverage, listings)
        self._carry()
        self._forget()

    def _forget(self) -> None:
        """Guards against tables that grow for as long as units come and go. A trip may still be out at one
        that is gone, so it is kept for a while."""
        now = self.decisions.now
        for unit in self.places:
            if unit.condition is Condition.GONE:
                self._gone.setdefault(unit, now + self._memory)
            else:
                self._gone.pop(unit, None)
        for unit in [unit for unit, until in self._gone.items() if until <= now]:
            del self._gone[unit], self.places[unit]
            self.door.forget(unit)

    def _withhold(self, coverage: Coverage, listings: list[Listing]) -> list[Listing]:
        """The same, with units of builds that may have no traffic told as draining: they count as not
        there."""
        assert self.readiness is not None
        if coverage is not Coverage.CHANGES:
            self._listings.clear()
        for listing in listings:
            if listing.condition is Condition.GONE:
                self._listings.pop(listing.unit, None)
            else:
                self._listings[listing.unit] = listing
        self.readiness.listed(listing.build for listing in self._listings.values())
        return [self._as_ready(listing) for listing in listings]

    def _as_ready(self, listing: Listing) -> Listing:
        assert self.readiness is not None
        if listing.condition is not Condition.READY or self.readiness.open(listing.build):
            return listing
        return replace(listing, condition=Condition.DRAINING)

    def steps(self, page: MigrationLogPage) -> None:
        """The record of steps has grown. Raises Malformed where it follows no rules."""
        assert self.readiness is not None
        if page.last < self.readiness.record.seq:  # another store, or an old copy: what it says is not this
            raise Malformed(f"a record of {page.last} entries, of which {self.readiness.record.seq} were read")
        self._now()
        self.readiness.hear(page.entries)
        self._relist()
        self._carry()

    def _relist(self) -> None:
        """Tells the decisions of units whose build may have traffic now, or may not any more."""
        changed = []
        for listing in self._listings.values():
            told = self._as_ready(listing)
            if told.condition is not listing.unit.condition:
                changed.append(told)
        if changed:
            self.decisions.roster(Coverage.CHANGES, changed)

    def roster_failed(self) -> None:
        self._now()
        self.decisions.roster(Coverage.FAILED, [])
        self._carry()

    def news(self, line: RolloutMessage | None, answer: bool, word: Fate) -> None:
        """The desk's news, or its answer to a vote; no line where the answer never came."""
        self._now()
        if line is None:
            news = News(0, 0, Phase.TRIAL, 0.0, 0, True, word)
        else:
            age = int(line.age_ms * 10)
            news = News(line.build, line.stage, PHASES[line.phase], line.cap, age, answer, word)
        if self.readiness is not None and line is not None:
            self.readiness.news(line.build, line.stage, line.phase == "trial")
            self._relist()
        self.decisions.news(news)
        self._carry()

    def heard(self, peer: int, payload: bytes) -> None:
        self._now()
        self.decisions.heard(peer, unpack(payload, self.door.marks, self._order))
        self._carry()

    def complaint(self, name: str, lane: Lane, age: Ticks) -> bool:
        """A client found an answer wrong; false where the unit was never listed."""
        if name not in self.door.units:
            return False
        self._now()
        self.decisions.complaint(self.door.units[name], lane, age)
        self._carry()
        return True

    def still_meant(self, trip: Trip) -> Destination | None:
        """Where a trip may go, asked right before its first byte: nowhere once its unit drains, is gone, or
        is another life than the one that was chosen. Guards rules 3 to 5 while a trip waits for a
        connection."""
        place = self.places.get(trip.unit)
        if place is None or trip.unit.condition is not Condition.READY or trip.lookup.over:
            return None
        if self.readiness is not None and not self.readiness.open(place.build):
            return None
        return place

    def _known(self, trip: Trip, fate: Fate) -> None:
        """A trip's end, for the steps: one that may still run at its unit holds a closing up."""
        if self.readiness is not None:
            known = fate in (Fate.DONE, Fate.ERROR, Fate.TURNED_AWAY, Fate.UNREACHABLE, Fate.UNSENT)
            self.readiness.ended(trip, known)

    def tick(self) -> None:
        """Handles all timers that have fallen due."""
        now = self._now()
        while self._timers and self._timers[0][0] <= now:
            due = heappop(self._timers)[2]
            if isinstance(due, Trip):
                if due.fate is None:
                    self._soon.append((due, Fate.TIMED_OUT))
            elif due is None or not due.over:
                self.decisions.wake(due)
            self._carry()

    def due(self) -> Ticks | None:
        """When `tick` must be called next."""
        while self._timers:
            what = self._timers[0][2]
            stale = what.fate is not None if isinstance(what, Trip) else what is not None and what.over
            if not stale:
                return self._timers[0][0]
            heappop(self._timers)
        return None

    # Acts

    def _now(self) -> Ticks:
        self.decisions.now = now = max(self.decisions.now, self._clock())
        return now

    def _at(self, when: Ticks, what: Lookup | Trip | None) -> None:
        self._number += 1
        heappush(self._timers, (when, self._number, what))

    def _answer(self, ticket: Ticket, outcome: Outcome, trip: Trip | None, answer: Any, come_back: Ticks) -> None:
        if ticket.answered:  # exactly one final answer, whoever asks for another
            return
        ticket.answered = True
        if ticket.lookup is not None:
            self.tickets.pop(ticket.lookup, None)
        match outcome:
            case Outcome.DONE:
                self.counts.done += 1
            case Outcome.SHED:
                self.counts.shed += 1
            case Outcome.BROKEN_OFF:
                self.counts.broken_off += 1
        ticket.reply(ticket, outcome, trip, answer, come_back)

    def _carry(self) -> None:
        """Carries out what the decisions want, in order, until nothing is left."""
        if self._carrying:
            return
        self._carrying = True
        decisions = self.decisions
        try:
            while decisions.acts or self._soon or self._unsaid:
                acts, decisions.acts = decisions.acts, []
                for act in acts:
                    self._do(act)
                if not decisions.acts and self._soon:
                    trip, fate = self._soon.popleft()
                    self._stop(trip, fate)
                elif not decisions.acts and self._unsaid:
                    self._unsaid -= 1
                    decisions.news(News(0, 0, Phase.TRIAL, 0.0, 0, True, Fate.UNSENT))
        finally:
            self._carrying = False

    def _stop(self, trip: Trip, fate: Fate) -> None:
        if trip.fate is not None:
            return
        if not self._hands.abandon(trip):  # too little was written: it never ran
            fate = Fate.UNREACHABLE if fate is Fate.TIMED_OUT else fate
        ticket = self.tickets.get(trip.lookup)
        if ticket is not None:
            ticket.late = fate is Fate.TIMED_OUT
        self.counts.fates[fate] = self.counts.fates.get(fate, 0) + 1
        self._known(trip, fate)
        self.decisions.ended(trip, fate, False, self.decisions.now - trip.sent, None)

    def _do(self, act: Act) -> None:
        kind = type(act)  # the two most frequent kinds first: this runs several times a lookup
        if kind is Wake:
            assert isinstance(act, Wake)
            self._at(act.at, act.lookup)
        elif kind is Send:
            assert isinstance(act, Send)
            self._send(act.trip)
        else:
            self._do_rest(act)

    def _send(self, trip: Trip) -> None:
        ticket = self.tickets.get(trip.lookup)
        if ticket is None:  # its client has gone in the same breath
            self._soon.append((trip, Fate.UNSENT))
            return
        self.counts.trips += 1
        self._at(trip.sent + trip.limit, trip)
        if self.readiness is not None and (place := self.places.get(trip.unit)) is not None:
            self.readiness.sent(place.build, trip)
        self._hands.send(trip, ticket)

    def _do_rest(self, act: Act) -> None:
        match act:
            case Shed(lookup, come_back):
                if (ticket := self.tickets.get(lookup)) is not None:
                    self._answer(ticket, Outcome.SHED, None, None, come_back)
            case BreakOff(lookup):
                if (ticket := self.tickets.get(lookup)) is not None:
                    self._answer(ticket, Outcome.BROKEN_OFF, None, None, 0)
            case CallOff(trip):
                self._soon.append((trip, Fate.CALLED_OFF))
            case Probe(unit):
                self._hands.probe(unit)
            case Close(unit):
                self._hands.close(unit)
            case Tell(peer, words):
                self._tell(peer, words)
            case Vote():
                self._vote(act)
            case Watch(on):
                self._hands.watch(on)
            case Fetch():
                self._hands.fetch()
            case Note(text):
                self._hands.note(text)

    def _vote(self, vote: Vote) -> None:
        """No 'on' past the stage whose needs are not done: it is as if the call had not been made."""
        ready = self.readiness is None or self.readiness.votes_on(vote.build, vote.stage)
        if vote.verdict is Verdict.ON and not ready:
            self.counts.withheld += 1
            self._unsaid += 1
        else:
            self._hands.vote(vote)

    def _tell(self, peer: int | None, words: Sequence[Word]) -> None:
        if words is not self._said:  # many peers are told the same
            self._said, self._texts = words, pack(words, self._order)
        self._hands.tell(peer, self._texts)


VERDICTS = {verdict: verdict.name.lower() for verdict in Verdict}
