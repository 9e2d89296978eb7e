"""Connects a host with the decisions: passes the host's events to them, and carries out the resulting actions.

The decisions are an implementation of `Decisions`, such as the balancer: the logic for routing and voting, which does
no I/O. The host is the process or simulation around it, which has the sockets. The driver does no I/O either: the host
reports events by calling the methods of `DecisionDriver`, and the driver requests I/O through `HostOperations`, whose
methods must not call the driver back before they return. The driver itself only rejects requests that are over a limit
or come too late, discards late responses, and withholds attempts and votes that a migration does not allow yet.

Times are ticks (tenths of a millisecond) on the clock that is passed to the driver.

This module handles the events. Related modules:

- action_dispatch.py carries out the decisions' actions.
- endpoint_list.py keeps the endpoint list. It reports endpoints as draining while their build must not receive
  requests, since a database migration that it needs is not done (see lanelead/migrations/readiness.py).
- timer_queue.py keeps the timers; gossip_codec.py encodes and decodes gossip.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from heapq import heappop
from typing import TYPE_CHECKING, Any

from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    Decisions,
    Endpoint,
    LoadReport,
    Request,
    RequestClass,
    RolloutPhase,
    RolloutState,
    ServiceLimits,
    Tenant,
    Ticks,
    UpdateScope,
)
from lanelead.protocols.feeds import EndpointListMessage, MessageError, RolloutMessage
from lanelead.protocols.vocabulary import ROLLOUT_PHASES
from lanelead.runtime.action_dispatch import ActionDispatcher
from lanelead.runtime.destination import Destination
from lanelead.runtime.endpoint_list import TICKS_PER_MS, EndpointList
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import decode_gossip
from lanelead.runtime.host_operations import HostOperations
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.runtime.timer_queue import TimerQueue

if TYPE_CHECKING:  # only relays that heed migrations load these
    from lanelead.migrations.readiness import Readiness
    from lanelead.protocols.migrations import MigrationLogPage

MAX_TICK_TICKS: Ticks = 50  # 5 ms: thousands of timers that are due together must not hold up other events


class DecisionDriver:
    """Passes a host's events to the decisions and carries out the resulting actions.

    The constructor already carries out the first actions, such as watching the endpoint list: it calls `host`.

    Parameters
    ----------
    decisions
        The routing and voting logic.
    host
        Performs I/O for the driver.
    clock
        Returns the current time in ticks.
    request_classes
        All request classes, in the order by which gossip refers to them.
    limits
        The service's limits, of which the driver uses `response_slack`.
    max_pending
        The most requests that may wait for an answer at once. Further ones are rejected.
    max_retry_after
        The retry delay, in ticks, that is advised whenever the driver itself rejects a request.
    readiness
        Which builds may receive requests, judging by the migrations that they need. None if no migrations are run:
        all builds may.
    """

    def __init__(
        self,
        *,
        decisions: Decisions,
        host: HostOperations,
        clock: Callable[[], Ticks],
        request_classes: Sequence[RequestClass],
        limits: ServiceLimits,
        max_pending: int,
        max_retry_after: Ticks,
        readiness: Readiness | None = None,
    ) -> None:
        self.decisions = decisions
        self.request_classes = {request_class.name: request_class for request_class in request_classes}
        self.readiness = readiness
        self._clock = clock
        self._limits = limits
        self._max_pending = max_pending
        self._max_retry_after = max_retry_after
        self._class_order = list(request_classes)
        self._timers = TimerQueue()
        # An attempt may still run at a removed endpoint until its request times out. Twice the longest timeout leaves a
        # margin.
        retention = 2 * max((request_class.timeout for request_class in request_classes), default=0)
        self.endpoint_list = EndpointList(EndpointRegistry(decisions.new_endpoint), readiness, retention)
        self.registry = self.endpoint_list.registry
        self.destinations = self.endpoint_list.destinations
        self._dispatcher = ActionDispatcher(
            decisions=decisions,
            host=host,
            timers=self._timers,
            destinations=self.destinations,
            readiness=readiness,
            request_classes=self._class_order,
        )
        self.pending = self._dispatcher.pending
        self.counters = self._dispatcher.counters
        self._answer = self._dispatcher.answer
        self._record_end = self._dispatcher.record_end
        self._run_actions = self._dispatcher.run
        self._run_actions()

    # Requests and attempts

    def receive(
        self,
        pending: PendingRequest,
        request_class: RequestClass,
        tenant: Tenant | None,
        key: str | None,
        time_left: Ticks,
        is_retry: bool = False,
        is_write: bool = False,
    ) -> None:
        """Accepts or rejects a client's request; the answer is delivered through `pending.reply`.

        `time_left` is the time in ticks until the client's deadline. A request with no time left, or beyond
        `max_pending`, is rejected without being passed to the decisions.
        """
        now = self._advance_clock()
        if len(self.pending) >= self._max_pending or time_left <= 0:
            self.counters.over_limit += 1
            pending.answered = True
            pending.reply(pending, RequestOutcome.REJECTED, None, None, self._max_retry_after)
            return
        request = Request(request_class, tenant, key, now, now + time_left, None, is_retry, is_write)
        pending.request = request
        self.pending[request] = pending
        self.counters.received += 1
        self.decisions.request_received(request)
        self._run_actions()

    def client_left(self, pending: PendingRequest) -> None:
        """Drops a request whose client has disconnected; no answer is sent.

        Does nothing if the request was answered, or was never passed to `receive`.
        """
        if pending.answered or pending.request is None:
            return
        pending.answered = True
        self.counters.abandoned += 1
        self._advance_clock()
        self.pending.pop(pending.request, None)
        self.decisions.client_left(pending.request)
        self._run_actions()

    def forbid_attempts(self, pending: PendingRequest) -> None:
        """Begins no further attempt of a request, for example since its client has closed its sending side.

        A request without an attempt in flight is answered at once, any other when its last attempt ends.
        """
        pending.accepts_attempts = False
        if pending.answered or pending.request is None:
            return
        self._advance_clock()
        self.decisions.attempts_forbidden(pending.request)
        self._run_actions()

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, answer: Any = None, report: LoadReport | None = None
    ) -> None:
        """Handles the end of an attempt. Calls after the first one for an attempt are ignored.

        `answer` is the endpoint's response, which is delivered to the client if the attempt succeeded and the request
        still waits for an answer. If it comes later than `response_slack` after the request's deadline, it is discarded
        and the attempt counts as timed out. `report` is the endpoint's load report.
        """
        if attempt.outcome is not None:
            return
        now = self._advance_clock()
        request = attempt.request
        pending = self.pending.get(request)
        # If this process stalled, a response that was waiting on its socket may come too late for the client.
        if (
            outcome is AttemptOutcome.SUCCEEDED
            and pending
            and not request.finished
            and now > request.deadline + self._limits.response_slack
        ):
            outcome = AttemptOutcome.TIMED_OUT
        finishes_request = outcome is AttemptOutcome.SUCCEEDED
        if pending is not None:
            pending.timed_out = outcome is AttemptOutcome.TIMED_OUT
            if finishes_request and not pending.answered:
                self._answer(pending, RequestOutcome.SUCCEEDED, attempt, answer, 0)
        self._record_end(attempt, outcome)
        self.decisions.attempt_ended(attempt, outcome, finishes_request, now - attempt.sent_at, report)
        self._run_actions()

    def destination_of(self, attempt: Attempt) -> Destination | None:
        """Returns where to send an attempt, or None if it must not be sent any more.

        The host calls this right before it writes an attempt's first byte, since the attempt may have waited. The
        result is None if the decisions do not permit it any more, the client has gone, the endpoint is removed, or a
        migration does not allow requests to its build. The decisions' time is set to the clock's, so that the host can
        tell the endpoint how much time is left now.
        """
        now = self._advance_clock()
        destination = self.destinations.get(attempt.endpoint)
        if destination is None or not self.decisions.may_send(attempt):
            return None
        pending = self.pending.get(attempt.request)
        if pending is not None and not pending.accepts_attempts:
            return None
        if self.readiness is not None and not self.readiness.accepts_traffic(destination.build):
            return None
        self.counters.max_send_delay = max(self.counters.max_send_delay, now - attempt.sent_at)
        return destination

    def may_complete(self, attempt: Attempt) -> bool:
        """Returns whether the host may write more of an attempt that it could not write at once."""
        self._advance_clock()
        return self.decisions.may_complete(attempt)

    # Endpoints

    def health_checked(
        self, endpoint: Endpoint, outcome: AttemptOutcome, duration: Ticks, report: LoadReport | None
    ) -> None:
        """Handles the end of a health check that took `duration` ticks."""
        self._advance_clock()
        self.decisions.health_checked(endpoint, outcome, duration, report)
        self._run_actions()

    def endpoints_listed(self, message: EndpointListMessage, clock_offset: Ticks) -> None:
        """Handles an endpoint list or changes to it, and forgets endpoints that were removed long ago.

        See `EndpointList.update` for `clock_offset`.
        """
        self._advance_clock()
        scope, records = self.endpoint_list.update(message, clock_offset)
        self.decisions.endpoints_updated(scope, records)
        self._run_actions()
        self.endpoint_list.drop_removed(self.decisions.now)

    def endpoint_poll_failed(self) -> None:
        """Handles a failed poll or watch of the endpoint list; the decisions will request it again."""
        self._advance_clock()
        self.decisions.endpoints_updated(UpdateScope.FAILED, [])
        self._run_actions()

    # Migrations and rollout

    def migrations_read(self, page: MigrationLogPage) -> None:
        """Handles a page of the migration log. The driver must have been given `readiness`.

        Raises MessageError if an entry breaks the log's rules (the entries before it are kept), or if the store's log
        is shorter than what was read before: the store was then replaced or restored from an old copy.
        """
        assert self.readiness is not None
        if page.last_seq < self.readiness.log.last_seq:
            raise MessageError(
                f"migration log got shorter: it has {page.last_seq} entries, "
                f"of which {self.readiness.log.last_seq} were read"
            )
        self._advance_clock()
        self.readiness.page_received(page)
        self._report_readiness_changes()
        self._run_actions()

    def rollout_read(self, message: RolloutMessage | None, is_vote_reply: bool, outcome: AttemptOutcome) -> None:
        """Handles the rollout's state, which comes in a reply to a vote if `is_vote_reply`.

        `outcome` is that of the vote, and SUCCEEDED for a state that was not requested by a vote. `message` is None if
        a vote got no reply. The decisions then get a placeholder state, of which they use only the outcome.
        """
        self._advance_clock()
        if message is None:
            state = RolloutState(0, 0, RolloutPhase.CANARY, 0.0, 0, True, outcome)
        else:
            age = int(message.age_ms * TICKS_PER_MS)
            phase = ROLLOUT_PHASES[message.phase]
            state = RolloutState(message.build, message.stage, phase, message.cap, age, is_vote_reply, outcome)
        if self.readiness is not None and message is not None:
            self.readiness.rollout_changed(message.build, message.stage, message.phase == "trial")
            self._report_readiness_changes()
        self.decisions.rollout_updated(state)
        self._run_actions()

    def _report_readiness_changes(self) -> None:
        """Reports endpoints whose build may receive requests now, or may not any more, to the decisions."""
        changed = self.endpoint_list.changed_by_readiness()
        if changed:
            self.decisions.endpoints_updated(UpdateScope.DELTA, changed)

    # Gossip and clients' complaints

    def gossip_received(self, peer: int, payload: bytes) -> None:
        """Handles a peer's gossip message."""
        self._advance_clock()
        self.decisions.gossip_received(peer, decode_gossip(payload, self.registry.short_ids, self._class_order))
        self._run_actions()

    def complaint_received(self, name: str, request_class: RequestClass, age: Ticks) -> bool:
        """Handles a client's complaint that an endpoint's answer was wrong; returns False for an unknown endpoint.

        `name` is the endpoint's name, and `age` is the answer's age in ticks as the client reports it.
        """
        if name not in self.registry.by_name:
            return False
        self._advance_clock()
        self.decisions.complaint_received(self.registry.by_name[name], request_class, age)
        self._run_actions()
        return True

    # Time

    def tick(self) -> None:
        """Handles the timers that are due; after MAX_TICK_TICKS on the clock, the rest is left to the next call.

        A timer of an attempt that still runs stops the attempt as timed out. Timers of unfinished requests, and those
        of the decisions' periodic work (target None), are passed to the decisions.
        """
        now = self._advance_clock()
        heap = self._timers.heap
        while heap and heap[0][0] <= now and self._clock() <= now + MAX_TICK_TICKS:
            target = heappop(heap)[2]
            if isinstance(target, Attempt):
                if target.outcome is None:
                    self._dispatcher.attempts_to_stop.append((target, AttemptOutcome.TIMED_OUT))
            elif target is None or not target.finished:
                self.decisions.timer_fired(target)
            self._run_actions()

    def next_timer(self) -> Ticks | None:
        """Returns the time at which `tick` must be called next, or None if no timer is set."""
        return self._timers.next_due()

    def _advance_clock(self) -> Ticks:
        """Sets the decisions' time to the clock's, without ever going back, and returns it."""
        now = max(self.decisions.now, self._clock())
        self.decisions.now = now
        return now
