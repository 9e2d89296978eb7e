"""The driver under any order of events: hands on paper, and the rules checked on what it asks of them."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from random import Random

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from lanelead.decisions.guards import NEVER_RAN
from lanelead.decisions.interface import (
    Allowance,
    Control,
    Duties,
    Fate,
    Lane,
    Place,
    Poll,
    Repeat,
    Scope,
    Tariff,
    Ticks,
    Trial,
    Trip,
    Unit,
    Vote,
)
from lanelead.decisions.rules import Relay
from lanelead.http.answers import HttpResponse
from lanelead.http.asks import HttpRequest
from lanelead.protocols.records import EndpointListMessage, RolloutMessage, EndpointMessage
from lanelead.relay.driver import Driver, Outcome, Ticket

SECOND: Ticks = 10_000
LANES = [
    Lane("read", SECOND, 2 * SECOND, 1.0, 0.0, Repeat.PURE, Scope.ALL, 0, False, 0.0),
    Lane("save", SECOND, 2 * SECOND, 2.0, 0.0, Repeat.RECEIPTED, Scope.ZONE, SECOND, False, 0.0),
    Lane("file", SECOND, 2 * SECOND, 3.0, 0.0, Repeat.EFFECTFUL, Scope.ALL, 0, False, 0.0),
]
DUTIES = Duties(200, 2 * SECOND, 0.4, 4 * SECOND, 3.0, SECOND, False, 0, 50)
TRIAL = Trial((0.25, 1.0), (0.3, 1.0), 2.0, 3 * SECOND, False, 1, False, False)
ASK = HttpRequest("GET", b"/", [], b"", True)
ANSWER = HttpResponse(200, [], b"ok", True)


class PaperHands:
    def __init__(self, now: Ticks = 0) -> None:
        self.now = now
        self.sent: list[tuple[Ticks, Trip]] = []
        self.out: dict[Trip, bool] = {}  # with whether a byte was written
        self.votes: list[Vote] = []
        self.told: list[bytes] = []

    def send(self, trip: Trip, ticket: Ticket) -> None:
        self.sent.append((self.now, trip))
        self.out[trip] = True

    def abandon(self, trip: Trip) -> bool:
        return self.out.pop(trip, False)

    def probe(self, unit: Unit) -> None: ...
    def close(self, unit: Unit) -> None: ...
    def tell(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        self.told += payloads

    def vote(self, vote: Vote) -> None:
        self.votes.append(vote)

    def watch(self, on: bool) -> None: ...
    def fetch(self) -> None: ...
    def note(self, text: str) -> None: ...


class Stage:
    """A driver with the real decisions, hands on paper and a clock that only the test moves."""

    def __init__(self, open_lookups: int = 1000, start: Ticks = 100 * SECOND) -> None:
        self.hands = PaperHands(start)
        relay = Relay(
            place=Place(0, 3, "north"),
            lanes=LANES,
            members=[],
            duties=DUTIES,
            trial=TRIAL,
            allowance=Allowance(4, open_lookups, 1, True, False, True, True, True, SECOND, SECOND // 4),
            poll=Poll(Control.FIRST_VOICE, 1, 1, 0, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.4, 2.0, 0.0),
            tariff=Tariff(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0),
            chance=Random(1),
            now=start,
        )
        self.driver = Driver(relay, self.hands, lambda: self.hands.now, LANES, DUTIES, open_lookups, SECOND)
        self.answers: list[tuple[Ticks, Ticket, Outcome]] = []
        self.tickets: list[Ticket] = []
        self.listed("full", *(self.row(number) for number in range(4)))
        self.driver.news(RolloutMessage(1, 1, "released", 1.0, 0.0), False, Fate.DONE)

    def row(self, number: int, build: int = 1, condition: str = "ready", age: Ticks | None = None) -> EndpointMessage:
        started = None if age is None else float((self.hands.now - age) / 10)
        zone = "north" if number % 2 else "south"
        return EndpointMessage(f"u{number}", "127.0.0.1", 1000 + number, zone, build, condition, started_ms=started)  # type: ignore[arg-type]

    def listed(self, coverage: str, *rows: EndpointMessage) -> None:
        self.driver.listed(EndpointListMessage(coverage, 1, self.hands.now / 10, list(rows)), 0)  # type: ignore[arg-type]

    def ask(self, lane: Lane = LANES[0], left: Ticks = 2 * SECOND) -> Ticket:
        def replied(
            ticket: Ticket, outcome: Outcome, trip: Trip | None, answer: HttpResponse | None, come_back: Ticks
        ) -> None:
            self.answers.append((self.hands.now, ticket, outcome))

        ticket = Ticket(f"t{len(self.tickets)}", ASK, replied)
        self.tickets.append(ticket)
        self.driver.take(ticket, lane, None, None, left)
        return ticket

    def end(self, trip: Trip, fate: Fate) -> None:
        if self.hands.out.pop(trip, None) is not None:
            self.driver.ended(trip, fate, ANSWER if fate is Fate.DONE else None)

    def run(self, span: Ticks) -> None:
        until = self.hands.now + span
        while (due := self.driver.due()) is not None and due <= until:
            self.hands.now = max(self.hands.now, due)
            self.driver.tick()
        self.hands.now = until
        self.driver.tick()

    def trips(self, ticket: Ticket) -> list[Trip]:
        return [trip for _, trip in self.hands.sent if trip.lookup is ticket.lookup]


class AnyOrder(RuleBasedStateMachine):
    """Whatever happens, in whatever order: the rules hold on the acts."""

    def __init__(self) -> None:
        super().__init__()
        self.stage = Stage()
        self.drained: dict[str, Ticks] = {}
        self.born: dict[str, Ticks] = {}
        self.build, self.guarded = 1, False
        self.taken: list[Ticks] = []
        self.left: set[str] = set()
        self.done = 0
        self.checked = 0

    @rule(lane=st.sampled_from(LANES), left=st.integers(1, 2 * SECOND))
    def ask(self, lane: Lane, left: Ticks) -> None:
        self.taken.append(self.stage.hands.now)
        self.stage.ask(lane, left)

    @rule(place=st.integers(0, 30), fate=st.sampled_from([f for f in Fate if f is not Fate.CALLED_OFF]))
    def end(self, place: int, fate: Fate) -> None:
        out = list(self.stage.hands.out)
        if out:
            self.done += fate is Fate.DONE
            self.stage.end(out[place % len(out)], fate)

    @rule(span=st.sampled_from([1, 50, 1000, SECOND, 3 * SECOND]))
    def wait(self, span: Ticks) -> None:
        self.stage.run(span)

    @rule(span=st.integers(1, 2 * SECOND))
    def stand_still(self, span: Ticks) -> None:
        """The process was stopped: time has passed, and the timers come in a burst."""
        self.stage.hands.now += span
        self.stage.driver.tick()

    @rule(place=st.integers(0, 30))
    def leave(self, place: int) -> None:
        open_ = [ticket for ticket in self.stage.tickets if not ticket.answered]
        if open_:
            ticket = open_[place % len(open_)]
            self.left.add(ticket.ident)
            self.stage.driver.left(ticket)

    @rule(number=st.integers(0, 5), what=st.sampled_from(["draining", "gone", "ready", "cold", "new build"]))
    def list_(self, number: int, what: str) -> None:
        name, now = f"u{number}", self.stage.hands.now
        if what in ("draining", "gone"):
            self.drained.setdefault(name, now)
            self.stage.listed("changes", self.stage.row(number, condition=what))
            return
        self.drained.pop(name, None)
        if what != "ready":
            self.born[name] = now
        build = self.build if what == "new build" else 1
        self.stage.listed("changes", self.stage.row(number, build, age=None if what == "ready" else 0))

    @rule(
        phase=st.sampled_from(["trial", "released", "reverting"]),
        stage=st.integers(0, 1),
        newer=st.booleans(),
    )
    def news(self, phase: str, stage: int, newer: bool) -> None:
        self.build += newer
        self.guarded = phase == "trial" and stage < TRIAL.guarded
        cap = {"trial": TRIAL.caps[stage], "released": 1.0, "reverting": 0.0}[phase]
        self.stage.driver.news(RolloutMessage(self.build, stage, phase, cap, 0.0), False, Fate.DONE)  # type: ignore[arg-type]

    @rule(payload=st.binary(max_size=40))
    def heard(self, payload: bytes) -> None:
        self.stage.driver.heard(1, payload)

    @invariant()
    def answers_are_one_each_and_in_time(self) -> None:
        counts: dict[str, int] = {}
        for _, ticket, _ in self.stage.answers:
            counts[ticket.ident] = counts.get(ticket.ident, 0) + 1
            assert ticket.ident not in self.left or not ticket.lookup
        assert all(many == 1 for many in counts.values())
        for ticket in self.stage.tickets:
            if ticket.lookup is not None and self.stage.hands.now > ticket.lookup.due:
                assert ticket.answered, "no answer by its outer limit"

    @invariant()
    def effects_are_never_doubled(self) -> None:
        shed = {ticket for _, ticket, outcome in self.stage.answers if outcome is Outcome.SHED}
        for ticket in self.stage.tickets:
            if ticket.lookup is None:
                continue
            lane, trips = ticket.lookup.lane, ticket.lookup.trips
            ran = [trip for trip in trips if trip.fate not in NEVER_RAN]
            if lane.repeat is not Repeat.PURE:
                assert ticket not in shed or not ran, "shed, though it may have run"
            if lane.repeat is Repeat.EFFECTFUL:
                assert not ran or trips[-1] is ran[0], "sent again, though it may have run"
            if lane.repeat is Repeat.RECEIPTED and ran:
                for trip in trips[trips.index(ran[0]) + 1 :]:
                    assert trip.unit.zone == ran[0].unit.zone
                    assert trip.sent <= ran[0].sent + lane.memory

    @invariant()
    def drains_exposure_and_cold_units_are_kept(self) -> None:
        sent = self.stage.hands.sent
        for at, trip in sent[self.checked :]:
            name, now = self.stage.driver.door.names[trip.unit], at
            assert name not in self.drained, "sent to a unit that drains or is gone"
            born = self.born.get(name)
            if born is not None and now - born < DUTIES.cold_time:
                lately = sum(1 for when, other in sent if other.unit is trip.unit and when > now - DUTIES.fall_time)
                assert lately <= 2 + DUTIES.fall_multiple * self.done / 4, "a cold unit was sent too much"
            if trip.unit.build > 1:
                mine = [when for when, other in sent if other.unit.build == trip.unit.build]
                many = sum(1 for when in mine if when > now - TRIAL.window)
                have = sum(1 for when in self.taken if when > now - TRIAL.window)
                assert many <= TRIAL.free + have or trip.unit.build < self.build, "over the cap of 1"
                if self.guarded and trip.unit.build == self.build:
                    assert trip.lookup.lane.repeat is Repeat.PURE, "a guarded stage"
        self.checked = len(sent)


class Stories(unittest.TestCase):
    def test_any_order_of_events_keeps_the_rules(self) -> None:
        run_state_machine_as_test(
            AnyOrder,
            settings=settings(max_examples=40, stateful_step_count=40, deadline=None, derandomize=True),
        )

    def test_the_checker_sees_a_guard_that_is_gone(self) -> None:
        class Careless(AnyOrder):
            @rule(place=st.integers(0, 30))
            def error_told_as_turned_away(self, place: int) -> None:
                for trip in list(self.stage.hands.out):
                    lane = trip.lookup.lane
                    if lane.repeat is Repeat.EFFECTFUL and not trip.lookup.over:
                        self.stage.hands.out.pop(trip)
                        trip.fate = None
                        self.stage.driver.decisions.ended(trip, Fate.TURNED_AWAY, False, 1, None)
                        trip.fate = Fate.ERROR
                        self.stage.driver._carry()
                        return

        with self.assertRaises(AssertionError):
            run_state_machine_as_test(
                Careless,
                settings=settings(
                    max_examples=150,
                    stateful_step_count=40,
                    deadline=None,
                    derandomize=True,
                    phases=[Phase.generate],
                    print_blob=False,
                ),
            )

    def test_the_first_word_on_a_trip_counts_and_a_late_one_changes_nothing(self) -> None:
        stage = Stage()
        ticket = stage.ask(LANES[2])
        (trip,) = stage.trips(ticket)
        stage.run(2 * SECOND)
        self.assertIs(trip.fate, Fate.TIMED_OUT)
        stage.driver.ended(trip, Fate.DONE, ANSWER)
        self.assertEqual([outcome for _, _, outcome in stage.answers], [Outcome.BROKEN_OFF])

    def test_a_trip_that_wrote_no_byte_by_its_limit_never_ran(self) -> None:
        stage = Stage()
        ticket = stage.ask(LANES[2])
        stage.hands.out[stage.trips(ticket)[0]] = False
        stage.run(2 * SECOND)
        self.assertIs(stage.trips(ticket)[0].fate, Fate.UNREACHABLE)
        self.assertEqual([outcome for _, _, outcome in stage.answers], [Outcome.SHED])

    def test_a_relay_that_stood_still_passes_on_no_answer_that_is_too_late(self) -> None:
        stage = Stage()
        ticket = stage.ask(LANES[0])
        (trip,) = stage.trips(ticket)
        stage.hands.now += 5 * SECOND
        stage.end(trip, Fate.DONE)
        self.assertEqual([outcome for _, _, outcome in stage.answers], [Outcome.BROKEN_OFF])

    def test_beyond_the_allowance_it_is_shed_at_the_door(self) -> None:
        stage = Stage(open_lookups=2)
        for _ in range(3):
            stage.ask(LANES[0])
        self.assertEqual([outcome for _, _, outcome in stage.answers], [Outcome.SHED])
        self.assertEqual((stage.driver.counts.at_the_door, stage.driver.counts.taken), (1, 2))

    def test_a_drain_or_another_life_told_while_a_trip_waits_for_a_connection(self) -> None:
        for change in ({"condition": "draining"}, {"build": 2}, {"age": 0}):
            stage = Stage()
            ticket = stage.ask(LANES[0])
            (trip,) = stage.trips(ticket)
            place = stage.driver.still_meant(trip)
            self.assertIsNotNone(place)
            number = int(stage.driver.door.names[trip.unit][1:])
            stage.listed("changes", stage.row(number, **change))
            self.assertNotEqual(stage.driver.still_meant(trip), place, change)

    def test_a_unit_keeps_its_time_of_start_over_streams_with_other_clocks(self) -> None:
        stage = Stage()
        stage.listed("changes", stage.row(0, age=SECOND))
        first = stage.driver.places[stage.driver.door.unit("u0")].since
        stage.driver.listed(EndpointListMessage("full", 1, 0.0, [stage.row(0, age=SECOND)]), 37)
        self.assertEqual(stage.driver.places[stage.driver.door.unit("u0")].since, first)


if __name__ == "__main__":
    unittest.main()
