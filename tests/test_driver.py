"""Tests of the driver with the real decisions and a host that only records what is requested of it."""

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
REQUEST_CLASSES = [
    RequestClass("read", SECOND, 2 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0),
    RequestClass("save", SECOND, 2 * SECOND, 2.0, 0.0, Idempotency.KEYED, DeduplicationScope.ZONE, SECOND, False, 0.0),
    RequestClass(
        "file", SECOND, 2 * SECOND, 3.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
    ),
]
LIMITS = ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 3.0, SECOND, False, 0, 50)
CANARY_LIMITS = CanaryLimits((0.25, 1.0), (0.3, 1.0), 2.0, 3 * SECOND, False, 1, False, False)
HTTP_REQUEST = HttpRequest("GET", b"/", [], b"", True)
RESPONSE = HttpResponse(200, [], b"ok", True)


class RecordingHost:
    """Records what the driver requests; `in_flight` holds the attempts that the test has not ended yet."""

    def __init__(self, now: Ticks = 0) -> None:
        self.now = now
        self.sent: list[tuple[Ticks, Attempt]] = []
        self.in_flight: dict[Attempt, bool] = {}  # attempt: whether any of it was written
        self.votes: list[CastVote] = []
        self.gossip_payloads: list[bytes] = []

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.sent.append((self.now, attempt))
        self.in_flight[attempt] = True

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.in_flight.pop(attempt, False)

    def check_health(self, endpoint: Endpoint) -> None: ...
    def close_idle_connections(self, endpoint: Endpoint) -> None: ...
    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        self.gossip_payloads += payloads

    def cast_vote(self, vote: CastVote) -> None:
        self.votes.append(vote)

    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


class DriverHarness:
    """A driver with the real decisions, a recording host, and a clock that the test advances."""

    def __init__(
        self, pending_limit: int = 1000, start: Ticks = 100 * SECOND, readiness: Readiness | None = None
    ) -> None:
        self.recording_host = RecordingHost(start)
        balancer = Balancer(
            position=RelayPosition(0, 3, "north"),
            request_classes=REQUEST_CLASSES,
            tenants=[],
            limits=LIMITS,
            canary_limits=CANARY_LIMITS,
            quota=ResourceQuota(4, pending_limit, 1, True, False, True, True, True, SECOND, SECOND // 4),
            voting_rules=VotingRules(
                PromotionControl.FIRST_VOTE, 1, 1, 0, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.4, 2.0, 0.0
            ),
            prices=Prices(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0),
            rng=Random(1),
            now=start,
        )
        self.driver = DecisionDriver(
            decisions=balancer,
            host=self.recording_host,
            clock=lambda: self.recording_host.now,
            request_classes=REQUEST_CLASSES,
            limits=LIMITS,
            max_pending=pending_limit,
            max_retry_after=SECOND,
            readiness=readiness,
        )
        self.answers: list[tuple[Ticks, PendingRequest, RequestOutcome]] = []
        self.pending_requests: list[PendingRequest] = []
        self.listed("full", *(self.row(number) for number in range(4)))
        self.driver.rollout_read(RolloutMessage(1, 1, "released", 1.0, 0.0), False, AttemptOutcome.SUCCEEDED)

    def row(self, number: int, build: int = 1, condition: str = "ready", age: Ticks | None = None) -> EndpointMessage:
        started = None if age is None else float((self.recording_host.now - age) / 10)
        zone = "north" if number % 2 else "south"
        return EndpointMessage(f"u{number}", "127.0.0.1", 1000 + number, zone, build, condition, started_ms=started)  # type: ignore[arg-type]

    def listed(self, update_scope: str, *rows: EndpointMessage) -> None:
        self.driver.endpoints_listed(EndpointListMessage(update_scope, 1, self.recording_host.now / 10, list(rows)), 0)  # type: ignore[arg-type]

    def ask(self, request_class: RequestClass = REQUEST_CLASSES[0], time_left: Ticks = 2 * SECOND) -> PendingRequest:
        def replied(
            pending: PendingRequest,
            outcome: RequestOutcome,
            attempt: Attempt | None,
            answer: HttpResponse | None,
            retry_after: Ticks,
        ) -> None:
            self.answers.append((self.recording_host.now, pending, outcome))

        pending = PendingRequest(f"t{len(self.pending_requests)}", HTTP_REQUEST, replied)
        self.pending_requests.append(pending)
        self.driver.receive(pending, request_class, None, None, time_left)
        return pending

    def end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        if self.recording_host.in_flight.pop(attempt, None) is not None:
            self.driver.attempt_ended(attempt, outcome, RESPONSE if outcome is AttemptOutcome.SUCCEEDED else None)

    def run(self, duration: Ticks) -> None:
        until = self.recording_host.now + duration
        while (due := self.driver.next_timer()) is not None and due <= until:
            self.recording_host.now = max(self.recording_host.now, due)
            self.driver.tick()
        self.recording_host.now = until
        self.driver.tick()

    def attempts_of(self, pending: PendingRequest) -> list[Attempt]:
        return [attempt for _, attempt in self.recording_host.sent if attempt.request is pending.request]


class DriverStateMachine(RuleBasedStateMachine):
    """Drives random sequences of events, and checks what the driver requests of its host after each of them."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = DriverHarness()
        self.not_ready: dict[str, Ticks] = {}
        self.started_at: dict[str, Ticks] = {}
        self.build, self.guarded = 1, False
        self.received_times: list[Ticks] = []
        self.disconnected: set[str] = set()
        self.succeeded_count = 0
        self.checked_count = 0

    @rule(request_class=st.sampled_from(REQUEST_CLASSES), time_left=st.integers(1, 2 * SECOND))
    def ask(self, request_class: RequestClass, time_left: Ticks) -> None:
        self.received_times.append(self.harness.recording_host.now)
        self.harness.ask(request_class, time_left)

    @rule(
        index=st.integers(0, 30),
        outcome=st.sampled_from([outcome for outcome in AttemptOutcome if outcome is not AttemptOutcome.CANCELLED]),
    )
    def end(self, index: int, outcome: AttemptOutcome) -> None:
        in_flight = list(self.harness.recording_host.in_flight)
        if in_flight:
            self.succeeded_count += outcome is AttemptOutcome.SUCCEEDED
            self.harness.end(in_flight[index % len(in_flight)], outcome)

    @rule(duration=st.sampled_from([1, 50, 1000, SECOND, 3 * SECOND]))
    def wait(self, duration: Ticks) -> None:
        self.harness.run(duration)

    @rule(duration=st.integers(1, 2 * SECOND))
    def stall(self, duration: Ticks) -> None:
        """Simulates that the process was stopped: time has passed, and overdue timers fire in a burst."""
        self.harness.recording_host.now += duration
        self.harness.driver.tick()

    @rule(index=st.integers(0, 30))
    def disconnect(self, index: int) -> None:
        unanswered = [pending for pending in self.harness.pending_requests if not pending.answered]
        if unanswered:
            pending = unanswered[index % len(unanswered)]
            self.disconnected.add(pending.id)
            self.harness.driver.client_left(pending)

    @rule(number=st.integers(0, 5), change=st.sampled_from(["draining", "gone", "ready", "cold", "new build"]))
    def update_endpoint(self, number: int, change: str) -> None:
        name, now = f"u{number}", self.harness.recording_host.now
        if change in ("draining", "gone"):
            self.not_ready.setdefault(name, now)
            self.harness.listed("changes", self.harness.row(number, condition=change))
            return
        self.not_ready.pop(name, None)
        if change != "ready":
            self.started_at[name] = now
        build = self.build if change == "new build" else 1
        self.harness.listed("changes", self.harness.row(number, build, age=None if change == "ready" else 0))

    @rule(
        phase=st.sampled_from(["trial", "released", "reverting"]),
        stage=st.integers(0, 1),
        newer=st.booleans(),
    )
    def update_rollout(self, phase: str, stage: int, newer: bool) -> None:
        self.build += newer
        self.guarded = phase == "trial" and stage < CANARY_LIMITS.guarded_stages
        cap = {"trial": CANARY_LIMITS.exposure_limits[stage], "released": 1.0, "reverting": 0.0}[phase]
        self.harness.driver.rollout_read(
            RolloutMessage(self.build, stage, cast(Any, phase), cap, 0.0), False, AttemptOutcome.SUCCEEDED
        )

    @rule(payload=st.binary(max_size=40))
    def receive_gossip(self, payload: bytes) -> None:
        self.harness.driver.gossip_received(1, payload)

    @invariant()
    def each_request_is_answered_once_and_in_time(self) -> None:
        counts: dict[str, int] = {}
        for _, pending, _ in self.harness.answers:
            counts[pending.id] = counts.get(pending.id, 0) + 1
            assert pending.id not in self.disconnected or not pending.request
        assert all(count == 1 for count in counts.values())
        for pending in self.harness.pending_requests:
            if pending.request is not None and self.harness.recording_host.now > pending.request.deadline:
                assert pending.answered, "not answered by its deadline"

    @invariant()
    def no_request_is_executed_twice(self) -> None:
        rejected = {pending for _, pending, outcome in self.harness.answers if outcome is RequestOutcome.REJECTED}
        for pending in self.harness.pending_requests:
            if pending.request is None:
                continue
            request_class, attempts = pending.request.request_class, pending.request.attempts
            may_have_run = [attempt for attempt in attempts if attempt.outcome not in NOT_EXECUTED]
            if request_class.idempotency is not Idempotency.IDEMPOTENT:
                assert pending not in rejected or not may_have_run, "rejected, though it may have been executed"
            if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
                assert not may_have_run or attempts[-1] is may_have_run[0], (
                    "sent again, though it may have been executed"
                )
            if request_class.idempotency is Idempotency.KEYED and may_have_run:
                for attempt in attempts[attempts.index(may_have_run[0]) + 1 :]:
                    assert attempt.endpoint.zone == may_have_run[0].endpoint.zone
                    assert attempt.sent_at <= may_have_run[0].sent_at + request_class.deduplication_window

    @invariant()
    def draining_exposure_and_slow_start_limits_hold(self) -> None:
        sent = self.harness.recording_host.sent
        for at, attempt in sent[self.checked_count :]:
            name, now = self.harness.driver.registry.names[attempt.endpoint], at
            assert name not in self.not_ready, "sent to an endpoint that is draining or removed"
            started_at = self.started_at.get(name)
            if started_at is not None and now - started_at < LIMITS.slow_start_time:
                recent_count = sum(
                    1
                    for when, other in sent
                    if other.endpoint is attempt.endpoint and when > now - LIMITS.overload_time
                )
                assert recent_count <= 2 + LIMITS.overload_multiple * self.succeeded_count / 4, (
                    "an endpoint in slow start was overloaded"
                )
            if attempt.endpoint.build > 1:
                build_times = [when for when, other in sent if other.endpoint.build == attempt.endpoint.build]
                count = sum(1 for when in build_times if when > now - CANARY_LIMITS.window)
                received_count = sum(1 for when in self.received_times if when > now - CANARY_LIMITS.window)
                assert (
                    count <= CANARY_LIMITS.uncounted_attempts + received_count or attempt.endpoint.build < self.build
                ), "over the exposure limit"
                if self.guarded and attempt.endpoint.build == self.build:
                    assert attempt.request.request_class.idempotency is Idempotency.IDEMPOTENT, (
                        "a request that is not idempotent was sent to a guarded stage"
                    )
        self.checked_count = len(sent)


class DriverTests(unittest.TestCase):
    def test_invariants_hold_for_any_order_of_events(self) -> None:
        run_state_machine_as_test(
            DriverStateMachine,
            settings=settings(max_examples=40, stateful_step_count=40, deadline=None, derandomize=True),
        )

    def test_invariants_detect_an_unsafe_retry(self) -> None:
        class UnsafeRetryMachine(DriverStateMachine):
            @rule(index=st.integers(0, 30))
            def report_error_as_rejection(self, index: int) -> None:
                for attempt in list(self.harness.recording_host.in_flight):
                    request_class = attempt.request.request_class
                    if request_class.idempotency is Idempotency.NON_IDEMPOTENT and not attempt.request.finished:
                        self.harness.recording_host.in_flight.pop(attempt)
                        attempt.outcome = None
                        self.harness.driver.decisions.attempt_ended(attempt, AttemptOutcome.REJECTED, False, 1, None)
                        attempt.outcome = AttemptOutcome.ERROR
                        self.harness.driver._run_actions()
                        return

        with self.assertRaises(AssertionError):
            run_state_machine_as_test(
                UnsafeRetryMachine,
                settings=settings(
                    max_examples=150,
                    stateful_step_count=40,
                    deadline=None,
                    derandomize=True,
                    phases=[Phase.generate],
                    print_blob=False,
                ),
            )

    def test_only_the_first_outcome_of_an_attempt_counts(self) -> None:
        harness = DriverHarness()
        pending = harness.ask(REQUEST_CLASSES[2])
        (attempt,) = harness.attempts_of(pending)
        harness.run(2 * SECOND)
        self.assertIs(attempt.outcome, AttemptOutcome.TIMED_OUT)
        harness.driver.attempt_ended(attempt, AttemptOutcome.SUCCEEDED, RESPONSE)
        self.assertEqual([outcome for _, _, outcome in harness.answers], [RequestOutcome.FAILED])

    def test_attempt_that_wrote_nothing_before_its_timeout_counts_as_not_connected(self) -> None:
        harness = DriverHarness()
        pending = harness.ask(REQUEST_CLASSES[2])
        harness.recording_host.in_flight[harness.attempts_of(pending)[0]] = False
        harness.run(2 * SECOND)
        self.assertIs(harness.attempts_of(pending)[0].outcome, AttemptOutcome.CONNECT_FAILED)
        self.assertEqual([outcome for _, _, outcome in harness.answers], [RequestOutcome.REJECTED])

    def test_no_late_response_is_delivered_after_a_stall(self) -> None:
        harness = DriverHarness()
        pending = harness.ask(REQUEST_CLASSES[0])
        (attempt,) = harness.attempts_of(pending)
        harness.recording_host.now += 5 * SECOND
        harness.end(attempt, AttemptOutcome.SUCCEEDED)
        self.assertEqual([outcome for _, _, outcome in harness.answers], [RequestOutcome.FAILED])

    def test_requests_over_the_pending_limit_are_rejected(self) -> None:
        harness = DriverHarness(pending_limit=2)
        for _ in range(3):
            harness.ask(REQUEST_CLASSES[0])
        self.assertEqual([outcome for _, _, outcome in harness.answers], [RequestOutcome.REJECTED])
        self.assertEqual((harness.driver.counters.over_limit, harness.driver.counters.received), (1, 2))

    def test_destination_changes_when_the_endpoint_drains_or_restarts(self) -> None:
        for change in ({"condition": "draining"}, {"build": 2}, {"age": 0}):
            harness = DriverHarness()
            pending = harness.ask(REQUEST_CLASSES[0])
            (attempt,) = harness.attempts_of(pending)
            destination = harness.driver.destination_of(attempt)
            self.assertIsNotNone(destination)
            number = int(harness.driver.registry.names[attempt.endpoint][1:])
            harness.listed("changes", harness.row(number, **change))
            self.assertNotEqual(harness.driver.destination_of(attempt), destination, change)

    def test_start_time_is_kept_across_streams_with_other_clock_offsets(self) -> None:
        harness = DriverHarness()
        harness.listed("changes", harness.row(0, age=SECOND))
        first = harness.driver.destinations[harness.driver.registry.get_or_add("u0")].started_at
        harness.driver.endpoints_listed(EndpointListMessage("full", 1, 0.0, [harness.row(0, age=SECOND)]), 37)
        self.assertEqual(harness.driver.destinations[harness.driver.registry.get_or_add("u0")].started_at, first)


if __name__ == "__main__":
    unittest.main()
