"""Clients in virtual time: arrivals, tries, waits for a free connection, retries and outcomes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from lanelead.decisions.interface import (
    Attempt,
    Ticks,
)
from lanelead.http.requests import HttpRequest
from lanelead.http.responses import HttpResponse
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.testbed.emulators.workload import Operation
from lanelead.testbed.simulation.clock import CLOCK_START_SECONDS, SimulationProcess

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_relay import SimulatedRelay

REQUEST = HttpRequest("GET", b"/", [], b"", True)


@dataclass(slots=True)
class ClientCounters:
    """Counts of requests by outcome, latencies in seconds, and values by operation."""

    asked: int = 0
    done: int = 0
    shed: int = 0
    broken_off: int = 0
    times: list[float] = field(default_factory=list)
    requested_value: dict[str, float] = field(default_factory=dict)  # by operation, over all its tries
    earned_value: dict[str, float] = field(default_factory=dict)  # by operation, of its best response


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of an operation, as its client sees it."""

    fleet: SimulatedFleet
    relay: SimulatedRelay
    op: Operation
    ident: str
    began: float
    left: float  # seconds from `began` to the deadline
    pending: PendingRequest | None = None
    closed: bool = False

    def _close(self, what: str, **facts: Any) -> bool:
        if self.closed:
            return False
        self.closed = True
        self.relay.client_tries.pop(self, None)
        fleet = self.fleet
        fleet.recorder.note(
            "clients",
            what,
            id=self.ident,
            op=self.op.ident,
            relay=self.relay.number,
            took=fleet.clock.now - self.began,
            late=fleet.clock.now - self.began - self.left,
            **facts,
        )
        fleet.clients.connection_freed(self.relay.number)
        return True

    def replied(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        attempt: Attempt | None,
        answer: HttpResponse | None,
        retry_after: Ticks,
    ) -> None:
        """Receives the relay's final response, which reaches the client after the network delay."""
        self.fleet.clock.later(self.fleet.hop_mean, self._response_received, outcome, attempt, retry_after)

    def _response_received(self, outcome: RequestOutcome, attempt: Attempt | None, retry_after: Ticks) -> None:
        fleet, relay = self.fleet, self.relay
        status = {RequestOutcome.SUCCEEDED: 200, RequestOutcome.REJECTED: 503, RequestOutcome.FAILED: 502}[outcome]
        unit = (
            relay.driver.registry.names[attempt.endpoint]
            if attempt is not None and outcome is RequestOutcome.SUCCEEDED
            else ""
        )
        build = str(fleet.endpoints[unit].life.build.number) if unit else ""
        wrong = self.ident in fleet.wrong_responses and outcome is RequestOutcome.SUCCEEDED
        was_open = self._close("answer", status=status, outcome=outcome.value, unit=unit, build=build, wrong=wrong)
        if not was_open:
            return
        counts = fleet.counts
        if outcome is RequestOutcome.SUCCEEDED:
            counts.done += 1
            counts.times.append(fleet.clock.now - self.began)
            request_class = fleet.demand.lanes[self.op.lane]
            in_time = fleet.clock.now - self.op.first <= request_class.expected_time_ms / 1000
            earned = 0.0 if wrong else request_class.value * (1.0 if in_time else request_class.late_value)
            counts.earned_value[self.op.ident] = max(earned, counts.earned_value.get(self.op.ident, 0.0))
        elif outcome is RequestOutcome.REJECTED:
            counts.shed += 1
        else:
            counts.broken_off += 1
        if wrong:
            fleet.clients.complain(self.op, unit, relay)
        wait = fleet.demand.again(self.op, outcome.value, retry_after / 10_000, fleet.clock.now)
        fleet.clients.schedule_retry(self.op, wait)

    def leave(self) -> None:
        """Abandons the try: the client closes its connection before the response."""
        if self._close("gone", why="left") and self.pending is not None:
            pending = self.pending
            self.relay.call_when_running(lambda: self.relay.driver.client_left(pending))

    def silent(self) -> None:
        """Gives up on a try that got no response in time, and may retry."""
        if self._close("gone", why="silent"):
            self.fleet.clients.schedule_retry(self.op, self.fleet.demand.lost(self.op, True, self.fleet.clock.now))

    def reset(self) -> None:
        """Handles a connection that the relay's process has cut by ending, and may retry."""
        if self._close("gone", why="reset"):
            self.fleet.clients.schedule_retry(self.op, self.fleet.demand.lost(self.op, True, self.fleet.clock.now))


class ClientPool:
    """All clients of a simulated scenario."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self.queues: list[deque[tuple[Operation, float]]] = [deque() for _ in range(fleet.day.relays)]
        self.open_connections = [0] * fleet.day.relays

    def arrivals(self) -> SimulationProcess:
        """Starts new operations at random intervals until the scenario's end."""
        end = CLOCK_START_SECONDS + self._fleet.day.seconds
        while True:
            yield self._fleet.demand.gap()
            if self._fleet.clock.now >= end:
                return
            self.start_try(self._fleet.demand.draw(self._fleet.clock.now))

    def start_try(self, op: Operation) -> None:
        """Starts a try, or queues it where the relay's client connections are all in use."""
        left = self._fleet.demand.patience(op, self._fleet.clock.now)
        if left <= 0.05:
            return
        relay = self._fleet.relays[op.relay]
        if not relay.up:
            self.schedule_retry(op, self._fleet.demand.lost(op, False, self._fleet.clock.now))
        elif self.open_connections[op.relay] >= self._fleet.day.clients.connections:
            self.queues[op.relay].append((op, self._fleet.clock.now + left))
        else:
            self.send_request(relay, op, left)

    def send_request(self, relay: SimulatedRelay, op: Operation, left: float) -> None:
        """Sends a try to its relay and schedules when its client leaves or gives up."""
        op.tries += 1
        ident = f"{op.ident}.{op.tries}"
        self.open_connections[op.relay] += 1
        self._fleet.ops[ident] = op
        self._fleet.demand.method(op)
        if self._fleet.demand.bad():
            self._fleet.bad_requests.add(ident)
        self._fleet.recorder.note(
            "clients",
            "ask",
            id=ident,
            op=op.ident,
            lane=op.lane,
            member=op.member,
            key=op.key,
            relay=op.relay,
            left=left,
            nth=op.tries,
        )
        client_try = ClientTry(self._fleet, relay, op, ident, self._fleet.clock.now, left)
        pending = PendingRequest(ident, REQUEST, client_try.replied)
        client_try.pending = pending
        request_class, tenant = relay.request_class_by_name[op.lane], relay.tenants.get(op.member or "")
        self._fleet.counts.asked += 1
        self._fleet.counts.requested_value[op.ident] = self._fleet.demand.lanes[op.lane].value
        op.first = op.first or self._fleet.clock.now
        ticks = int(left * 10_000)
        wait = self._fleet.hop_mean
        self._fleet.clock.later(
            wait,
            lambda: relay.call_when_running(
                lambda: relay.driver.receive(pending, request_class, tenant, op.key, ticks)
            ),
        )
        relay.client_tries[client_try] = None
        if (after := self._fleet.demand.leaves(left)) is not None:
            self._fleet.clock.later(after, client_try.leave)
        self._fleet.clock.later(left + 2 * self._fleet.day.slack_ms / 1000 + 0.5, client_try.silent)

    def connection_freed(self, relay: int) -> None:
        """Sends the next queued try over a connection that has become free."""
        self.open_connections[relay] -= 1
        queue = self.queues[relay]
        while queue:
            op, until = queue.popleft()
            if until - self._fleet.clock.now > 0.05 and self._fleet.relays[relay].up:
                self.send_request(self._fleet.relays[relay], op, until - self._fleet.clock.now)
                return

    def schedule_retry(self, op: Operation, wait: float | None) -> None:
        """Starts another try after `wait` seconds; none where it is None."""
        if wait is not None:
            self._fleet.clock.later(wait, self.start_try, op)

    def complain(self, op: Operation, unit: str, relay: SimulatedRelay) -> None:
        """Reports a wrong response to the relay a second later, where the client is one that complains."""
        if self._fleet.demand.complains():
            request_class = relay.request_class_by_name[op.lane]

            def send_complaint() -> None:
                relay.driver.complaint_received(unit, request_class, 10_000)

            self._fleet.clock.later(1.0, relay.call_when_running, send_complaint)
