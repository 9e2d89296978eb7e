"""Between the sockets and the decisions: passes events in and actions out, decides nothing itself.

The driver knows no socket. What is to be done it asks of `HostOperations`, which must not call back from within a
call; what happened, the host reports by the methods of `DecisionDriver`. Times are ticks, tenths of a millisecond, on
the driver's own clock.

- Events in: this module. Actions out: action_dispatch.py.
- The endpoint list and which builds are ready: endpoint_list.py. Timers: timer_queue.py. Gossip: gossip_codec.py.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from heapq import heappop
from typing import Any

from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    Decisions,
    Endpoint,
    EndpointStatus,
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
from lanelead.migrations.readiness import Readiness
from lanelead.protocols.feeds import EndpointListMessage, MessageError, RolloutMessage
from lanelead.protocols.migrations import MigrationLogPage
from lanelead.protocols.vocabulary import ROLLOUT_PHASES
from lanelead.runtime.action_dispatch import ActionDispatcher
from lanelead.runtime.destination import Destination
from lanelead.runtime.endpoint_list import TICKS_PER_MS, EndpointList
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import decode_gossip
from lanelead.runtime.host_operations import HostOperations
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.runtime.timer_queue import TimerQueue


class DecisionDriver:
    """Passes a host's events to the decisions and has their actions carried out.

    `clock` reads the time. `max_pending` bounds the requests whose clients wait; those above it are rejected with
    `max_retry_after`. `readiness` is None where no migrations are run: every build that is listed may have requests.
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
        # An attempt may still run at a removed endpoint for as long as its request's timeout.
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
        """Takes a client's request, whose client waits for `time_left` more. The answer comes by `pending.reply`."""
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
        """Ends a request whose client is gone: it gets no answer."""
        if pending.answered or pending.request is None:
            return
        pending.answered = True
        self.counters.abandoned += 1
        self._advance_clock()
        self.pending.pop(pending.request, None)
        self.decisions.client_left(pending.request)
        self._run_actions()

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, answer: Any = None, report: LoadReport | None = None
    ) -> None:
        """Reports how an attempt ended. Only the first report counts."""
        if attempt.outcome is not None:
            return
        now = self._advance_clock()
        request = attempt.request
        pending = self.pending.get(request)
        # After a stall of this process, an answer found on its sockets may be too late for the client.
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
        """Returns where an attempt may go, to be asked right before its first byte is written.

        None once the endpoint is draining, removed, or withheld by a migration, or the request is finished: what the
        decisions chose may have changed while the attempt waited for a connection.
        """
        destination = self.destinations.get(attempt.endpoint)
        if destination is None or attempt.endpoint.status is not EndpointStatus.READY or attempt.request.finished:
            return None
        if self.readiness is not None and not self.readiness.accepts_traffic(destination.build):
            return None
        return destination

    # Endpoints

    def health_checked(
        self, endpoint: Endpoint, outcome: AttemptOutcome, duration: Ticks, report: LoadReport | None
    ) -> None:
        """Reports a health check's end."""
        self._advance_clock()
        self.decisions.health_checked(endpoint, outcome, duration, report)
        self._run_actions()

    def endpoints_listed(self, message: EndpointListMessage, clock_offset: Ticks) -> None:
        """Reports the endpoint list or changes to it; `clock_offset` as in `EndpointList.update`."""
        self._advance_clock()
        scope, records = self.endpoint_list.update(message, clock_offset)
        self.decisions.endpoints_updated(scope, records)
        self._run_actions()
        self.endpoint_list.drop_removed(self.decisions.now)

    def endpoint_poll_failed(self) -> None:
        """Reports that a poll of the endpoint list failed."""
        self._advance_clock()
        self.decisions.endpoints_updated(UpdateScope.FAILED, [])
        self._run_actions()

    # Migrations and rollout

    def migrations_read(self, page: MigrationLogPage) -> None:
        """Reports new entries of the migration log.

        Raises MessageError if they break the log's rules, or end before what was read: another store, or an old copy.
        """
        assert self.readiness is not None
        if page.last_seq < self.readiness.log.last_seq:
            raise MessageError(f"a record of {page.last_seq} entries, of which {self.readiness.log.last_seq} were read")
        self._advance_clock()
        self.readiness.entries_received(page.entries)
        self._update_readiness()
        self._run_actions()

    def rollout_read(self, message: RolloutMessage | None, is_vote_reply: bool, outcome: AttemptOutcome) -> None:
        """Reports the rollout's state, or the reply to a vote; no message if the reply never came."""
        self._advance_clock()
        if message is None:
            state = RolloutState(0, 0, RolloutPhase.CANARY, 0.0, 0, True, outcome)
        else:
            age = int(message.age_ms * TICKS_PER_MS)
            phase = ROLLOUT_PHASES[message.phase]
            state = RolloutState(message.build, message.stage, phase, message.cap, age, is_vote_reply, outcome)
        if self.readiness is not None and message is not None:
            self.readiness.rollout_changed(message.build, message.stage, message.phase == "trial")
            self._update_readiness()
        self.decisions.rollout_updated(state)
        self._run_actions()

    def _update_readiness(self) -> None:
        changed = self.endpoint_list.changed_by_readiness()
        if changed:
            self.decisions.endpoints_updated(UpdateScope.DELTA, changed)

    # Peers and clients' complaints

    def gossip_received(self, peer: int, payload: bytes) -> None:
        """Reports a peer's gossip message."""
        self._advance_clock()
        self.decisions.gossip_received(peer, decode_gossip(payload, self.registry.short_ids, self._class_order))
        self._run_actions()

    def complaint_received(self, name: str, request_class: RequestClass, age: Ticks) -> bool:
        """Reports that a client found an endpoint's answer wrong; returns False if no such endpoint is known."""
        if name not in self.registry.by_name:
            return False
        self._advance_clock()
        self.decisions.complaint_received(self.registry.by_name[name], request_class, age)
        self._run_actions()
        return True

    # Time

    def tick(self) -> None:
        """Handles all timers that have fallen due."""
        now = self._advance_clock()
        heap = self._timers.heap
        while heap and heap[0][0] <= now:
            target = heappop(heap)[2]
            if isinstance(target, Attempt):
                if target.outcome is None:
                    self._dispatcher.to_stop.append((target, AttemptOutcome.TIMED_OUT))
            elif target is None or not target.finished:
                self.decisions.timer_fired(target)
            self._run_actions()

    def next_timer(self) -> Ticks | None:
        """Returns when `tick` must be called next; None if no timer is set."""
        return self._timers.next_due()

    def _advance_clock(self) -> Ticks:
        """Sets the decisions' time, which never goes back, and returns it."""
        now = max(self.decisions.now, self._clock())
        self.decisions.now = now
        return now
