"""The driver under any order of events: hands on paper, and the rules checked on what it asks of them."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from random import Random
from typing import Any, cast

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from lanelead.decisions.admission import NOT_EXECUTED
from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    CanaryLimits,
    CastVote,
    DeduplicationScope,
    Endpoint,
    Idempotency,
    Prices,
    PromotionControl,
    RelayPosition,
    RequestClass,
    ResourceQuota,
    ServiceLimits,
    Ticks,
    VotingRules,
)
from lanelead.http.requests import HttpRequest
from lanelead.http.responses import HttpResponse
from lanelead.migrations.readiness import Readiness
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage, RolloutMessage
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

SECOND: Ticks = 10_000
LANES = [
    RequestClass("read", SECOND, 2 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0),
    RequestClass("save", SECOND, 2 * SECOND, 2.0, 0.0, Idempotency.KEYED, DeduplicationScope.ZONE, SECOND, False, 0.0),
    RequestClass(
        "file", SECOND, 2 * SECOND, 3.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
    ),
]
DUTIES = ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 3.0, SECOND, False, 0, 50)
TRIAL = CanaryLimits((0.25, 1.0), (0.3, 1.0), 2.0, 3 * SECOND, False, 1, False, False)
ASK = HttpRequest("GET", b"/", [], b"", True)
ANSWER = HttpResponse(200, [], b"ok", True)


class PaperHands:
    def __init__(self, now: Ticks = 0) -> None:
        self.now = now
        self.sent: list[tuple[Ticks, Attempt]] = []
        self.out: dict[Attempt, bool] = {}  # with whether a byte was written
        self.votes: list[CastVote] = []
        self.told: list[bytes] = []

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.sent.append((self.now, attempt))
        self.out[attempt] = True

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.out.pop(attempt, False)

    def check_health(self, unit: Endpoint) -> None: ...
    def close_idle_connections(self, unit: Endpoint) -> None: ...
    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        self.told += payloads

    def cast_vote(self, vote: CastVote) -> None:
        self.votes.append(vote)

    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


class Stage:
    """A driver with the real decisions, hands on paper and a clock that only the test moves."""

    def __init__(
        self, open_lookups: int = 1000, start: Ticks = 100 * SECOND, readiness: Readiness | None = None
    ) -> None:
        self.hands = PaperHands(start)
        relay = Balancer(
            position=RelayPosition(0, 3, "north"),
            request_classes=LANES,
            tenants=[],
            limits=DUTIES,
            canary_limits=TRIAL,
            quota=ResourceQuota(4, open_lookups, 1, True, False, True, True, True, SECOND, SECOND // 4),
            voting_rules=VotingRules(
                PromotionControl.FIRST_VOTE, 1, 1, 0, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.4, 2.0, 0.0
            ),
            prices=Prices(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0),
            rng=Random(1),
            now=start,
        )
        self.driver = DecisionDriver(
            decisions=relay,
            host=self.hands,
            clock=lambda: self.hands.now,
            request_classes=LANES,
            limits=DUTIES,
            max_pending=open_lookups,
            max_retry_after=SECOND,
            readiness=readiness,
        )
        self.answers: list[tuple[Ticks, PendingRequest, RequestOutcome]] = []
        self.tickets: list[PendingRequest] = []
        self.listed("full", *(self.row(number) for number in range(4)))
        self.driver.rollout_read(RolloutMessage(1, 1, "released", 1.0, 0.0), False, AttemptOutcome.SUCCEEDED)

    def row(self, number: int, build: int = 1, condition: str = "ready", age: Ticks | None = None) -> EndpointMessage:
        started = None if age is None else float((self.hands.now - age) / 10)
        zone = "north" if number % 2 else "south"
        return EndpointMessage(f"u{number}", "127.0.0.1", 1000 + number, zone, build, condition, started_ms=started)  # type: ignore[arg-type]

    def listed(self, update_scope: str, *rows: EndpointMessage) -> None:
        self.driver.endpoints_listed(EndpointListMessage(update_scope, 1, self.hands.now / 10, list(rows)), 0)  # type: ignore[arg-type]

    def ask(self, request_class: RequestClass = LANES[0], left: Ticks = 2 * SECOND) -> PendingRequest:
        def replied(
            pending: PendingRequest,
            outcome: RequestOutcome,
            attempt: Attempt | None,
            answer: HttpResponse | None,
            retry_after: Ticks,
        ) -> None:
            self.answers.append((self.hands.now, pending, outcome))

        pending = PendingRequest(f"t{len(self.tickets)}", ASK, replied)
        self.tickets.append(pending)
        self.driver.receive(pending, request_class, None, None, left)
        return pending

    def end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if self.hands.out.pop(attempt, None) is not None:
            self.driver.attempt_ended(attempt, outcome, ANSWER if outcome is AttemptOutcome.SUCCEEDED else None)

    def run(self, span: Ticks) -> None:
        until = self.hands.now + span
        while (due := self.driver.next_timer()) is not None and due <= until:
            self.hands.now = max(self.hands.now, due)
            self.driver.tick()
        self.hands.now = until
        self.driver.tick()

    def trips(self, pending: PendingRequest) -> list[Attempt]:
        return [attempt for _, attempt in self.hands.sent if attempt.request is pending.request]


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

    @rule(request_class=st.sampled_from(LANES), left=st.integers(1, 2 * SECOND))
    def ask(self, request_class: RequestClass, left: Ticks) -> None:
        self.taken.append(self.stage.hands.now)
        self.stage.ask(request_class, left)

    @rule(
        place=st.integers(0, 30),
        outcome=st.sampled_from([f for f in AttemptOutcome if f is not AttemptOutcome.CANCELLED]),
    )
    def end(self, place: int, outcome: AttemptOutcome) -> None:
        out = list(self.stage.hands.out)
        if out:
            self.done += outcome is AttemptOutcome.SUCCEEDED
            self.stage.end(out[place % len(out)], outcome)

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
        open_ = [pending for pending in self.stage.tickets if not pending.answered]
        if open_:
            pending = open_[place % len(open_)]
            self.left.add(pending.id)
            self.stage.driver.client_left(pending)

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
        self.guarded = phase == "trial" and stage < TRIAL.guarded_stages
        cap = {"trial": TRIAL.exposure_limits[stage], "released": 1.0, "reverting": 0.0}[phase]
        self.stage.driver.rollout_read(
            RolloutMessage(self.build, stage, cast(Any, phase), cap, 0.0), False, AttemptOutcome.SUCCEEDED
        )

    @rule(payload=st.binary(max_size=40))
    def heard(self, payload: bytes) -> None:
        self.stage.driver.gossip_received(1, payload)

    @invariant()
    def answers_are_one_each_and_in_time(self) -> None:
        counts: dict[str, int] = {}
        for _, pending, _ in self.stage.answers:
            counts[pending.id] = counts.get(pending.id, 0) + 1
            assert pending.id not in self.left or not pending.request
        assert all(many == 1 for many in counts.values())
        for pending in self.stage.tickets:
            if pending.request is not None and self.stage.hands.now > pending.request.deadline:
                assert pending.answered, "no answer by its outer limit"

    @invariant()
    def effects_are_never_doubled(self) -> None:
        shed = {pending for _, pending, outcome in self.stage.answers if outcome is RequestOutcome.REJECTED}
        for pending in self.stage.tickets:
            if pending.request is None:
                continue
            request_class, attempts = pending.request.request_class, pending.request.attempts
            ran = [attempt for attempt in attempts if attempt.outcome not in NOT_EXECUTED]
            if request_class.idempotency is not Idempotency.IDEMPOTENT:
                assert pending not in shed or not ran, "shed, though it may have run"
            if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
                assert not ran or attempts[-1] is ran[0], "sent again, though it may have run"
            if request_class.idempotency is Idempotency.KEYED and ran:
                for attempt in attempts[attempts.index(ran[0]) + 1 :]:
                    assert attempt.endpoint.zone == ran[0].endpoint.zone
                    assert attempt.sent_at <= ran[0].sent_at + request_class.deduplication_window

    @invariant()
    def drains_exposure_and_cold_units_are_kept(self) -> None:
        sent = self.stage.hands.sent
        for at, attempt in sent[self.checked :]:
            name, now = self.stage.driver.registry.names[attempt.endpoint], at
            assert name not in self.drained, "sent to a unit that drains or is gone"
            born = self.born.get(name)
            if born is not None and now - born < DUTIES.slow_start_time:
                lately = sum(
                    1
                    for when, other in sent
                    if other.endpoint is attempt.endpoint and when > now - DUTIES.overload_time
                )
                assert lately <= 2 + DUTIES.overload_multiple * self.done / 4, "a cold unit was sent too much"
            if attempt.endpoint.build > 1:
                mine = [when for when, other in sent if other.endpoint.build == attempt.endpoint.build]
                many = sum(1 for when in mine if when > now - TRIAL.window)
                have = sum(1 for when in self.taken if when > now - TRIAL.window)
                assert many <= TRIAL.uncounted_attempts + have or attempt.endpoint.build < self.build, (
                    "over the cap of 1"
                )
                if self.guarded and attempt.endpoint.build == self.build:
                    assert attempt.request.request_class.idempotency is Idempotency.IDEMPOTENT, "a guarded stage"
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
                for attempt in list(self.stage.hands.out):
                    request_class = attempt.request.request_class
                    if request_class.idempotency is Idempotency.NON_IDEMPOTENT and not attempt.request.finished:
                        self.stage.hands.out.pop(attempt)
                        attempt.outcome = None
                        self.stage.driver.decisions.attempt_ended(attempt, AttemptOutcome.REJECTED, False, 1, None)
                        attempt.outcome = AttemptOutcome.ERROR
                        self.stage.driver._run_actions()
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
        pending = stage.ask(LANES[2])
        (attempt,) = stage.trips(pending)
        stage.run(2 * SECOND)
        self.assertIs(attempt.outcome, AttemptOutcome.TIMED_OUT)
        stage.driver.attempt_ended(attempt, AttemptOutcome.SUCCEEDED, ANSWER)
        self.assertEqual([outcome for _, _, outcome in stage.answers], [RequestOutcome.FAILED])

    def test_a_trip_that_wrote_no_byte_by_its_limit_never_ran(self) -> None:
        stage = Stage()
        pending = stage.ask(LANES[2])
        stage.hands.out[stage.trips(pending)[0]] = False
        stage.run(2 * SECOND)
        self.assertIs(stage.trips(pending)[0].outcome, AttemptOutcome.CONNECT_FAILED)
        self.assertEqual([outcome for _, _, outcome in stage.answers], [RequestOutcome.REJECTED])

    def test_a_relay_that_stood_still_passes_on_no_answer_that_is_too_late(self) -> None:
        stage = Stage()
        pending = stage.ask(LANES[0])
        (attempt,) = stage.trips(pending)
        stage.hands.now += 5 * SECOND
        stage.end(attempt, AttemptOutcome.SUCCEEDED)
        self.assertEqual([outcome for _, _, outcome in stage.answers], [RequestOutcome.FAILED])

    def test_beyond_the_allowance_it_is_shed_at_the_door(self) -> None:
        stage = Stage(open_lookups=2)
        for _ in range(3):
            stage.ask(LANES[0])
        self.assertEqual([outcome for _, _, outcome in stage.answers], [RequestOutcome.REJECTED])
        self.assertEqual((stage.driver.counters.over_limit, stage.driver.counters.received), (1, 2))

    def test_a_drain_or_another_life_told_while_a_trip_waits_for_a_connection(self) -> None:
        for change in ({"condition": "draining"}, {"build": 2}, {"age": 0}):
            stage = Stage()
            pending = stage.ask(LANES[0])
            (attempt,) = stage.trips(pending)
            place = stage.driver.destination_of(attempt)
            self.assertIsNotNone(place)
            number = int(stage.driver.registry.names[attempt.endpoint][1:])
            stage.listed("changes", stage.row(number, **change))
            self.assertNotEqual(stage.driver.destination_of(attempt), place, change)

    def test_a_unit_keeps_its_time_of_start_over_streams_with_other_clocks(self) -> None:
        stage = Stage()
        stage.listed("changes", stage.row(0, age=SECOND))
        first = stage.driver.destinations[stage.driver.registry.get_or_add("u0")].started_at
        stage.driver.endpoints_listed(EndpointListMessage("full", 1, 0.0, [stage.row(0, age=SECOND)]), 37)
        self.assertEqual(stage.driver.destinations[stage.driver.registry.get_or_add("u0")].started_at, first)


if __name__ == "__main__":
    unittest.main()
