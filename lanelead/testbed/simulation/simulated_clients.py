"""Clients in virtual time: arrivals, tries, waits for a connection, and what comes of them."""

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
from lanelead.testbed.emulators.workload import Op
from lanelead.testbed.simulation.clock import CLOCK_START_SECONDS, Story

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_relay import SimulatedRelay

REQUEST = HttpRequest("GET", b"/", [], b"", True)


@dataclass(slots=True)
class ClientCounters:
    asked: int = 0
    done: int = 0
    shed: int = 0
    broken_off: int = 0
    times: list[float] = field(default_factory=list)
    asked_value: dict[str, float] = field(default_factory=dict)  # by what its client wants done, over all tries
    had_value: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try, as its client has it."""

    town: SimulatedFleet
    host: SimulatedRelay
    op: Op
    ident: str
    began: float
    left: float
    ticket: PendingRequest | None = None
    over: bool = False

    def _close(self, what: str, **facts: Any) -> bool:
        if self.over:
            return False
        self.over = True
        self.host.asked.pop(self, None)
        town = self.town
        town.book.note(
            "clients",
            what,
            id=self.ident,
            op=self.op.ident,
            relay=self.host.number,
            took=town.clock.now - self.began,
            late=town.clock.now - self.began - self.left,
            **facts,
        )
        town.clients.freed(self.host.number)
        return True

    def replied(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        attempt: Attempt | None,
        answer: HttpResponse | None,
        retry_after: Ticks,
    ) -> None:
        self.town.clock.later(self.town.hop_mean, self._answered, outcome, attempt, retry_after)

    def _answered(self, outcome: RequestOutcome, attempt: Attempt | None, retry_after: Ticks) -> None:
        town, host = self.town, self.host
        status = {RequestOutcome.SUCCEEDED: 200, RequestOutcome.REJECTED: 503, RequestOutcome.FAILED: 502}[outcome]
        unit = (
            host.driver.registry.names[attempt.endpoint]
            if attempt is not None and outcome is RequestOutcome.SUCCEEDED
            else ""
        )
        build = str(town.machines[unit].life.build.number) if unit else ""
        wrong = self.ident in town.wrong and outcome is RequestOutcome.SUCCEEDED
        told = self._close("answer", status=status, outcome=outcome.value, unit=unit, build=build, wrong=wrong)
        if not told:
            return
        counts = town.counts
        if outcome is RequestOutcome.SUCCEEDED:
            counts.done += 1
            counts.times.append(town.clock.now - self.began)
            request_class = town.demand.lanes[self.op.lane]
            timely = town.clock.now - self.op.first <= request_class.expected_time_ms / 1000
            priority_weight = 0.0 if wrong else request_class.value * (1.0 if timely else request_class.late_value)
            counts.had_value[self.op.ident] = max(priority_weight, counts.had_value.get(self.op.ident, 0.0))
        elif outcome is RequestOutcome.REJECTED:
            counts.shed += 1
        else:
            counts.broken_off += 1
        if wrong:
            town.clients.complain(self.op, unit, host)
        wait = town.demand.again(self.op, outcome.value, retry_after / 10_000, town.clock.now)
        town.clients.retry_later(self.op, wait)

    def leave(self) -> None:
        if self._close("gone", why="left") and self.ticket is not None:
            pending = self.ticket
            self.host.whenever(lambda: self.host.driver.client_left(pending))

    def silent(self) -> None:
        if self._close("gone", why="silent"):
            self.town.clients.retry_later(self.op, self.town.demand.lost(self.op, True, self.town.clock.now))

    def reset(self) -> None:
        if self._close("gone", why="reset"):
            self.town.clients.retry_later(self.op, self.town.demand.lost(self.op, True, self.town.clock.now))


class ClientPool:
    """All clients of a simulated scenario."""

    def __init__(self, town: SimulatedFleet) -> None:
        self._town = town
        self.queues: list[deque[tuple[Op, float]]] = [deque() for _ in range(town.day.relays)]
        self.open_connections = [0] * town.day.relays

    def arrivals(self) -> Story:
        end = CLOCK_START_SECONDS + self._town.day.seconds
        while True:
            yield self._town.demand.gap()
            if self._town.clock.now >= end:
                return
            self.start_try(self._town.demand.draw(self._town.clock.now))

    def start_try(self, op: Op) -> None:
        left = self._town.demand.patience(op, self._town.clock.now)
        if left <= 0.05:
            return
        host = self._town.hosts[op.relay]
        if not host.up:
            self.retry_later(op, self._town.demand.lost(op, False, self._town.clock.now))
        elif self.open_connections[op.relay] >= self._town.day.clients.connections:
            self.queues[op.relay].append((op, self._town.clock.now + left))
        else:
            self.send_request(host, op, left)

    def send_request(self, host: SimulatedRelay, op: Op, left: float) -> None:
        op.tries += 1
        ident = f"{op.ident}.{op.tries}"
        self.open_connections[op.relay] += 1
        self._town.ops[ident] = op
        self._town.demand.method(op)
        if self._town.demand.bad():
            self._town.bad.add(ident)
        self._town.book.note(
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
        asked = ClientTry(self._town, host, op, ident, self._town.clock.now, left)
        pending = PendingRequest(ident, REQUEST, asked.replied)
        asked.ticket = pending
        request_class, tenant = host.by_lane[op.lane], host.members.get(op.member or "")
        self._town.counts.asked += 1
        self._town.counts.asked_value[op.ident] = self._town.demand.lanes[op.lane].value
        op.first = op.first or self._town.clock.now
        ticks = int(left * 10_000)
        wait = self._town.hop_mean
        self._town.clock.later(
            wait, lambda: host.whenever(lambda: host.driver.receive(pending, request_class, tenant, op.key, ticks))
        )
        host.asked[asked] = None
        if (after := self._town.demand.leaves(left)) is not None:
            self._town.clock.later(after, asked.leave)
        self._town.clock.later(left + 2 * self._town.day.slack_ms / 1000 + 0.5, asked.silent)

    def freed(self, relay: int) -> None:
        self.open_connections[relay] -= 1
        queue = self.queues[relay]
        while queue:
            op, until = queue.popleft()
            if until - self._town.clock.now > 0.05 and self._town.hosts[relay].up:
                self.send_request(self._town.hosts[relay], op, until - self._town.clock.now)
                return

    def retry_later(self, op: Op, wait: float | None) -> None:
        if wait is not None:
            self._town.clock.later(wait, self.start_try, op)

    def complain(self, op: Op, unit: str, host: SimulatedRelay) -> None:
        if self._town.demand.complains():
            request_class = host.by_lane[op.lane]

            def say() -> None:
                host.driver.complaint_received(unit, request_class, 10_000)

            self._town.clock.later(1.0, host.whenever, say)
