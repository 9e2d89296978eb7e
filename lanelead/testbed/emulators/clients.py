"""Emulated clients: an open loop of requests over persistent connections.

Arrivals follow the workload (see `workload`) and never wait for earlier responses. Requests carry a timeout, a tenant
and a key; some are retried, abandoned, or followed by a complaint about a wrong answer. After a request's timeout, its
connection stays open for a while (see Crowd.slack), so that a late response is recorded as late. The process takes
faults as JSON lines on its standard input.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import sys
from collections import deque
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import uvloop

from lanelead.http import serialization
from lanelead.http.responses import SURPLUS_BYTES, Progress, ResponseReader
from lanelead.settings.scenario_settings import ClientSettings
from lanelead.settings.service_settings import ServiceSettings
from lanelead.testbed.emulators.event_recording import EventRecorder, clock
from lanelead.testbed.emulators.workload import Operation, Workload


class ClientsOptions(msgspec.Struct):
    """Options of the clients' process, which gets them as JSON.

    Times are in seconds. `slack` is how long after its deadline a response may still come: the verifier counts later
    ones as late.
    """

    folder: str
    seed: int
    seconds: float
    slack: float
    service: ServiceSettings
    clients: ClientSettings
    relays: list[tuple[str, int]]


class RelayConnection(asyncio.Protocol):
    """A connection to a relay, with at most one request in flight."""

    def __init__(self, clients: Clients, relay: int) -> None:
        self._clients, self.relay = clients, relay
        self._reader = ResponseReader(64 << 20)
        self.transport: asyncio.Transport | None = None
        self.ident = ""
        self.op: Operation | None = None
        self.last_ident = ""
        self.counted = False  # whether the clients count it as open
        self._timer: asyncio.TimerHandle | None = None
        self._sent_at = self._deadline = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]

    def send_request(self, op: Operation, ident: str, timeout_seconds: float, request: bytes, head: bool) -> None:
        """Sends a request, given as bytes; `head`: the response has no body."""
        assert self.transport is not None
        self.op, self.ident = op, ident
        self._reader.expect(head)
        now = clock()
        self._sent_at, self._deadline = now, now + timeout_seconds
        self._clients.tap.note(
            "ask",
            id=ident,
            op=op.ident,
            lane=op.lane,
            member=op.member,
            key=op.key,
            relay=self.relay,
            left=timeout_seconds,
            nth=op.tries,
        )
        self.transport.write(request)
        self._timer = self._clients.loop.call_later(
            timeout_seconds + 2 * self._clients.options.slack + 0.5, self._response_timed_out
        )

    def data_received(self, data: bytes) -> None:
        """Records a complete response and hands it on; closes the connection on bytes that are no response."""
        if self.op is None:
            self._clients.tap.note("extra", id=self.last_ident, relay=self.relay, bytes=len(data))
            self._close()
            return
        progress = self._reader.feed(data)
        if progress is Progress.INVALID:
            if self._reader.reason == SURPLUS_BYTES:
                self._clients.tap.note("extra", id=self.ident, relay=self.relay, bytes=len(data))
            self._record_end("gone", why="garbage: " + self._reader.reason)
            self._close()
        elif progress is Progress.COMPLETE:
            response = self._reader.response
            assert response is not None

            def field(name: bytes) -> str:
                raw = response.header(name)
                return "" if raw is None else raw.decode("latin-1")

            outcome, unit = field(b"lanelead-outcome"), field(b"lanelead-unit")
            details: dict[str, Any] = {
                "status": response.status,
                "outcome": outcome,
                "unit": unit,
                "build": field(b"lanelead-build"),
            }
            if (echo := field(b"x-request-id")) != self.ident:
                details["echo"] = echo
            retry_after = float(field(b"lanelead-come-back") or "0") / 1000
            wrong, op = bool(field(b"day-wrong")), self.op
            self._record_end("answer", **details, wrong=wrong)
            if wrong:
                self._clients.wrong_answer_received(op, unit, self.relay)
            if not response.keep:
                self._close()
            else:
                self._clients.connection_free(self)
            self._clients.response_received(op, outcome, retry_after)

    def _record_end(self, what: str, **details: Any) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._clients.tap.note(
            what,
            id=self.ident,
            op=self.op.ident if self.op else "",
            relay=self.relay,
            took=clock() - self._sent_at,
            late=clock() - self._deadline,
            **details,
        )
        self.op, self.last_ident = None, self.ident

    def abandon(self, ident: str) -> None:
        """Resets the connection if the request `ident` is still in flight, as a client that gives up."""
        op = self.op
        if op is None or self.ident != ident or self.transport is None:
            return
        self._record_end("gone", why="left")
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
        self.transport = None
        self._clients.connection_closed(self)

    def _response_timed_out(self) -> None:
        op = self.op
        self._record_end("gone", why="silent")
        self._close()
        if op is not None:
            self._clients.attempt_lost(op, True)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        self._clients.connection_closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Records a request in flight as ended by "reset", however the connection ended."""
        self.transport = None
        op = self.op
        if op is not None:
            self._record_end("gone", why="reset")
            self._clients.attempt_lost(op, True)
        self._clients.connection_closed(self)


class Clients:
    """All clients of one process: they share the connections to each relay."""

    def __init__(self, options: ClientsOptions) -> None:
        self.options, self.loop = options, asyncio.get_running_loop()
        self.workload = Workload(options.service, options.clients, len(options.relays), Random(options.seed))
        self.tap = EventRecorder(Path(options.folder), "clients")
        self._idle: list[list[RelayConnection]] = [[] for _ in options.relays]
        self._open_connections = [0] * len(options.relays)
        self._queue: list[deque[tuple[Operation, float]]] = [deque() for _ in options.relays]
        self._tasks: set[asyncio.Task[None]] = set()

    # Arrivals

    async def run(self) -> None:
        """Sends requests for the options' duration, then waits until the last may have been answered."""
        options = self.options
        self.tap.note("begin", rate=options.clients.rate)
        end, next_arrival = clock() + options.seconds, clock()
        while next_arrival < end:
            next_arrival += self.workload.gap()
            if (wait := next_arrival - clock()) > 0:
                await asyncio.sleep(wait)
            self._start_attempt(self.workload.draw(clock()))
        await asyncio.sleep(
            max(request_class.outer_limit_ms for request_class in options.service.lanes) / 1000
            + 2 * options.slack
            + 0.6
        )
        self.tap.note("end")

    # Attempts

    def _start_attempt(self, op: Operation) -> None:
        timeout_seconds = self.workload.patience(op, clock())
        if timeout_seconds <= 0.05:
            return
        idle = self._idle[op.relay]
        while idle:
            connection = idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._send_attempt(connection, op, timeout_seconds)
                return
        if self._open_connections[op.relay] >= self.options.clients.connections:
            self._queue[op.relay].append((op, clock() + timeout_seconds))
            return
        self._open_connections[op.relay] += 1
        task = self.loop.create_task(self._connect(op, timeout_seconds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, op: Operation, timeout_seconds: float) -> None:
        host, port = self.options.relays[op.relay]
        began = clock()
        try:
            async with asyncio.timeout(min(timeout_seconds, 1.0)):
                _, connection = await self.loop.create_connection(lambda: RelayConnection(self, op.relay), host, port)
        except (OSError, TimeoutError) as error:
            self._open_connections[op.relay] -= 1
            self.tap.note("refused", op=op.ident, relay=op.relay, why=type(error).__name__)
            self.attempt_lost(op, False)
            return
        connection.counted = True
        if connection.transport is None:
            self.attempt_lost(op, False)
            return
        self._send_attempt(connection, op, timeout_seconds - (clock() - began))

    def _send_attempt(self, connection: RelayConnection, op: Operation, timeout_seconds: float) -> None:
        if timeout_seconds <= 0.02:
            self.connection_free(connection)
            return
        request_class, headers = self.workload.lanes[op.lane], self.options.service.headers
        op.tries += 1
        ident = f"{op.ident}.{op.tries}"
        method = self.workload.method(op)
        fields = [
            (b"host", b"relay"),
            (headers.lookup.encode(), ident.encode()),
            (headers.left.encode(), b"%d" % (timeout_seconds * 1000)),
            (b"day-op", op.ident.encode()),
            (b"day-work", b"%.6f" % op.work),
        ]
        if op.member is not None:
            fields.append((headers.member.encode(), op.member.encode()))
        if op.key is not None:
            fields.append((headers.key.encode(), op.key.encode()))
        if request_class.repeat == "receipted":
            fields.append((b"idempotency-key", op.ident.encode()))
        if self.workload.bad():
            fields.append((b"day-bad", b"1"))
        body = b"x" * self.options.clients.body_bytes if method in ("POST", "PUT", "PATCH") else b""
        request = serialization.request(method, request_class.prefix.encode() + b"/" + op.ident.encode(), fields, body)
        connection.send_request(op, ident, timeout_seconds, request, method == "HEAD")
        if (after := self.workload.leaves(timeout_seconds)) is not None:
            self.loop.call_later(after, connection.abandon, ident)

    def connection_free(self, connection: RelayConnection) -> None:
        """Sends the next queued request on a free connection, or keeps the connection as idle."""
        queue = self._queue[connection.relay]
        while queue:
            op, deadline = queue.popleft()
            if deadline - clock() > 0.05:
                self._send_attempt(connection, op, deadline - clock())
                return
        self._idle[connection.relay].append(connection)

    def connection_closed(self, connection: RelayConnection) -> None:
        """Forgets a closed connection."""
        if connection.counted:
            connection.counted = False
            self._open_connections[connection.relay] -= 1
        if connection in self._idle[connection.relay]:
            self._idle[connection.relay].remove(connection)

    # Outcomes

    def response_received(self, op: Operation, outcome: str, retry_after: float) -> None:
        """Retries where the response's outcome allows it; `retry_after` in seconds."""
        self._schedule_retry(op, self.workload.again(op, outcome, retry_after, clock()))

    def attempt_lost(self, op: Operation, asked: bool) -> None:
        """Retries an attempt without a response where that is safe; `asked`: it had been sent."""
        self._schedule_retry(op, self.workload.lost(op, asked, clock()))

    def _schedule_retry(self, op: Operation, wait: float | None) -> None:
        if wait is not None:
            self.loop.call_later(wait, self._start_attempt, op)

    def wrong_answer_received(self, op: Operation, unit: str, relay: int) -> None:
        """Complains about a wrong answer a second later, for a share of them."""
        if self.workload.complains():
            self.loop.call_later(1.0, lambda: self._start_complaint(op, unit, relay))

    def _start_complaint(self, op: Operation, unit: str, relay: int) -> None:
        task = self.loop.create_task(self._send_complaint(op, unit, relay))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_complaint(self, op: Operation, unit: str, relay: int) -> None:
        host, port = self.options.relays[relay]
        body = json.dumps({"unit": unit, "lane": op.lane, "age_ms": 1000.0}).encode()
        fields = [(b"host", b"relay"), (b"connection", b"close")]
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(serialization.request("POST", b"/.lanelead/complaint", fields, body))
                status = await reader.readline()
                writer.close()
            self.tap.note("complaint", unit=unit, lane=op.lane, relay=relay, answer=status.decode("latin-1").strip())
        except (OSError, TimeoutError):
            pass

    # Faults

    def apply_order(self, order: dict[str, Any]) -> None:
        """Starts or ends a fault (see Demand.obey)."""
        self.tap.note("order", **{key: value for key, value in order.items() if key != "ev"})
        self.workload.obey(order)


async def _run(options: ClientsOptions) -> None:
    clients, loop = Clients(options), asyncio.get_running_loop()
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def orders() -> None:
        while line := await reader.readline():
            clients.apply_order(json.loads(line))

    task = loop.create_task(orders())
    await clients.run()
    task.cancel()


def main() -> None:
    """Runs the clients with the options in the first argument (JSON)."""
    uvloop.run(_run(msgspec.json.decode(sys.argv[1], type=ClientsOptions)))


if __name__ == "__main__":
    main()
