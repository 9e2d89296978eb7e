"""Random orders of events in which attempts are written only some time after they were started.

The driver and the decisions are real; the host writes an attempt only once the driver still has a destination for it.
"""

from __future__ import annotations

import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from lanelead.decisions.admission import NOT_EXECUTED
from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import Attempt, AttemptOutcome, EndpointStatus, Idempotency, Ticks
from lanelead.runtime.pending_requests import PendingRequest
from tests.test_driver import REQUEST_CLASSES, DriverStateMachine

ENDED_OUTCOMES = [outcome for outcome in AttemptOutcome if outcome is not AttemptOutcome.CANCELLED]
EXAMPLES = 60
STEPS = 40


class DelayedWriteMachine(DriverStateMachine):
    """Adds the writing of attempts to the events, and checks each write by the rules on repeats and deadlines."""

    def __init__(self) -> None:
        super().__init__()
        self.written_at: dict[Attempt, Ticks] = {}
        self.host = self.harness.recording_host
        self.host.start_attempt = self._start_attempt  # type: ignore[method-assign]

    def _start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.host.sent.append((self.host.now, attempt))
        self.host.in_flight[attempt] = False  # nothing of it is written yet

    @rule(index=st.integers(0, 30))
    def write(self, index: int) -> None:
        """Writes an attempt, unless the driver has no destination for it any more."""
        unwritten = [attempt for attempt in self.host.in_flight if attempt not in self.written_at]
        if not unwritten:
            return
        attempt = unwritten[index % len(unwritten)]
        if self.harness.driver.destination_of(attempt) is None:
            self.harness.end(attempt, AttemptOutcome.NOT_SENT)
            return
        self._check_write(attempt)
        self.written_at[attempt] = self.host.now
        self.host.in_flight[attempt] = True

    @rule(index=st.integers(0, 30), outcome=st.sampled_from(ENDED_OUTCOMES))
    def end(self, index: int, outcome: AttemptOutcome) -> None:
        """Ends an attempt; one that is not written can only fail to connect."""
        in_flight = list(self.host.in_flight)
        if not in_flight:
            return
        attempt = in_flight[index % len(in_flight)]
        if attempt not in self.written_at:
            outcome = AttemptOutcome.CONNECT_FAILED
        self.succeeded_count += outcome is AttemptOutcome.SUCCEEDED
        self.harness.end(attempt, outcome)

    def _check_write(self, attempt: Attempt) -> None:
        request = attempt.request
        assert attempt.endpoint.status is EndpointStatus.READY, "written to an endpoint that is not ready"
        assert not request.finished, "written after the request's end"
        assert self.host.now < request.deadline, "written after the deadline"
        may_have_run = [
            other for other in request.attempts if other in self.written_at and other.outcome not in NOT_EXECUTED
        ]
        if not may_have_run:
            return
        request_class = request.request_class
        assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT, "written though it may have been executed"
        if request_class.idempotency is Idempotency.KEYED:
            first = min(may_have_run, key=lambda other: self.written_at[other])
            assert first.endpoint.zone == attempt.endpoint.zone, "written outside of the deduplication scope"
            window_end = self.written_at[first] + request_class.deduplication_window
            assert self.host.now <= window_end, "written after the deduplication window"


class DelayedWrites(unittest.TestCase):
    def test_no_attempt_is_written_that_may_not_be_sent_any_more(self) -> None:
        # Guards against permission that was given when an attempt started and has ended when it is written.
        run_state_machine_as_test(
            DelayedWriteMachine,
            settings=settings(max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None, derandomize=True),
        )

    def _write_retry_after_the_window(self) -> None:
        """Plays the events of a keyed retry that waits until the deduplication window is over."""
        machine = DelayedWriteMachine()
        (keyed_class,) = (one for one in REQUEST_CLASSES if one.idempotency is Idempotency.KEYED)
        machine.harness.ask(keyed_class, keyed_class.timeout)
        machine.write(0)
        machine.end(0, AttemptOutcome.RESET)
        (retry,) = machine.host.in_flight
        self.assertNotIn(retry, machine.written_at)
        machine.wait(keyed_class.deduplication_window + 1)
        machine.write(0)

    def test_a_write_without_another_check_is_detected(self) -> None:
        def may_send_while_unfinished(balancer: Balancer, attempt: Attempt) -> bool:
            return not attempt.request.finished and attempt.endpoint.status is EndpointStatus.READY

        self._write_retry_after_the_window()
        with (
            mock.patch.object(Balancer, "may_send", may_send_while_unfinished),
            self.assertRaisesRegex(AssertionError, "after the deduplication window"),
        ):
            self._write_retry_after_the_window()


if __name__ == "__main__":
    unittest.main()
