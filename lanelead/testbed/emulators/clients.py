"""Clients: an open loop of lookups over kept connections, with retries, patience, members, keys and
complaints.

Arrivals are drawn ahead and wait for nothing. One who waits longer than its time stays on for the slack, so
that an answer that comes too late is seen as such. It is told what to do by lines on its standard input.
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
from lanelead.testbed.emulators.event_recording import Tap, clock
from lanelead.testbed.emulators.workload import Demand, Op


class Crowd(msgspec.Struct):
    """All that the clients are told at their start."""

    folder: str
    seed: int
    seconds: float
    slack: float
    service: ServiceSettings
    clients: ClientSettings
    relays: list[tuple[str, int]]


class Wire(asyncio.Protocol):
    """One connection to a relay; one lookup at a time."""

    def __init__(self, crowd: Callers, relay: int) -> None:
        self._crowd, self.relay = crowd, relay
        self._reader = ResponseReader(64 << 20)
        self.transport: asyncio.Transport | None = None
        self.ident = ""
        self.op: Op | None = None
        self.last = ""
        self.counted = False  # among the open connections
        self._timer: asyncio.TimerHandle | None = None
        self._sent = self._due = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def ask(self, op: Op, ident: str, left: float, text: bytes, head: bool) -> None:
        assert self.transport is not None
        self.op, self.ident = op, ident
        self._reader.expect(head)
        now = clock()
        self._sent, self._due = now, now + left
        self._crowd.tap.note(
            "ask",
            id=ident,
            op=op.ident,
            lane=op.lane,
            member=op.member,
            key=op.key,
            relay=self.relay,
            left=left,
            nth=op.tries,
        )
        self.transport.write(text)
        self._timer = self._crowd.loop.call_later(left + 2 * self._crowd.crowd.slack + 0.5, self._silent)

    def data_received(self, data: bytes) -> None:
        if self.op is None:
            self._crowd.tap.note("extra", id=self.last, relay=self.relay, bytes=len(data))
            self._drop()
            return
        progress = self._reader.feed(data)
        if progress is Progress.BROKEN:
            if self._reader.reason == SURPLUS_BYTES:
                self._crowd.tap.note("extra", id=self.ident, relay=self.relay, bytes=len(data))
            self._over("gone", why="garbage: " + self._reader.reason)
            self._drop()
        elif progress is Progress.WHOLE:
            answer = self._reader.response
            assert answer is not None

            def field(name: bytes) -> str:
                raw = answer.header(name)
                return "" if raw is None else raw.decode("latin-1")

            outcome, unit = field(b"lanelead-outcome"), field(b"lanelead-unit")
            facts: dict[str, Any] = {
                "status": answer.status,
                "outcome": outcome,
                "unit": unit,
                "build": field(b"lanelead-build"),
            }
            if (echo := field(b"x-request-id")) != self.ident:
                facts["echo"] = echo
            retry_after = float(field(b"lanelead-come-back") or "0") / 1000
            wrong, op = bool(field(b"day-wrong")), self.op
            self._over("answer", **facts, wrong=wrong)
            if wrong:
                self._crowd.wrong(op, unit, self.relay)
            if not answer.keep:
                self._drop()
            else:
                self._crowd.free(self)
            self._crowd.answered(op, outcome, retry_after)

    def _over(self, what: str, **facts: Any) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._crowd.tap.note(
            what,
            id=self.ident,
            op=self.op.ident if self.op else "",
            relay=self.relay,
            took=clock() - self._sent,
            late=clock() - self._due,
            **facts,
        )
        self.op, self.last = None, self.ident

    def leave(self, ident: str) -> None:
        """The client goes in mid-lookup, if it is still that one."""
        op = self.op
        if op is None or self.ident != ident or self.transport is None:
            return
        self._over("gone", why="left")
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.transport.abort()
        self.transport = None
        self._crowd.closed(self)

    def _silent(self) -> None:
        op = self.op
        self._over("gone", why="silent")
        self._drop()
        if op is not None:
            self._crowd.lost(op, True)

    def _drop(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None
        self._crowd.closed(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        op = self.op
        if op is not None:
            self._over("gone", why="reset")
            self._crowd.lost(op, True)
        self._crowd.closed(self)


class Callers:
    def __init__(self, crowd: Crowd) -> None:
        self.crowd, self.loop = crowd, asyncio.get_running_loop()
        self.demand = Demand(crowd.service, crowd.clients, len(crowd.relays), Random(crowd.seed))
        self.tap = Tap(Path(crowd.folder), "clients")
        self._idle: list[list[Wire]] = [[] for _ in crowd.relays]
        self._open = [0] * len(crowd.relays)
        self._queue: list[deque[tuple[Op, float]]] = [deque() for _ in crowd.relays]
        self._reads: set[asyncio.Task[None]] = set()

    # Arrivals

    async def run(self) -> None:
        crowd = self.crowd
        self.tap.note("begin", rate=crowd.clients.rate)
        end, at = clock() + crowd.seconds, clock()
        while at < end:
            at += self.demand.gap()
            if (wait := at - clock()) > 0:
                await asyncio.sleep(wait)
            self._try(self.demand.draw(clock()))
        await asyncio.sleep(
            max(request_class.outer_limit_ms for request_class in crowd.service.lanes) / 1000 + 2 * crowd.slack + 0.6
        )
        self.tap.note("end")

    # Tries

    def _try(self, op: Op) -> None:
        left = self.demand.patience(op, clock())
        if left <= 0.05:
            return
        idle = self._idle[op.relay]
        while idle:
            wire = idle.pop()
            if wire.transport is not None and not wire.transport.is_closing():
                self._ask(wire, op, left)
                return
        if self._open[op.relay] >= self.crowd.clients.connections:
            self._queue[op.relay].append((op, clock() + left))
            return
        self._open[op.relay] += 1
        task = self.loop.create_task(self._connect(op, left))
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def _connect(self, op: Op, left: float) -> None:
        host, port = self.crowd.relays[op.relay]
        begun = clock()
        try:
            async with asyncio.timeout(min(left, 1.0)):
                _, wire = await self.loop.create_connection(lambda: Wire(self, op.relay), host, port)
        except (OSError, TimeoutError) as fault:
            self._open[op.relay] -= 1
            self.tap.note("refused", op=op.ident, relay=op.relay, why=type(fault).__name__)
            self.lost(op, False)
            return
        wire.counted = True
        if wire.transport is None:
            self.lost(op, False)
            return
        self._ask(wire, op, left - (clock() - begun))

    def _ask(self, wire: Wire, op: Op, left: float) -> None:
        if left <= 0.02:
            self.free(wire)
            return
        request_class, headers = self.demand.lanes[op.lane], self.crowd.service.headers
        op.tries += 1
        ident = f"{op.ident}.{op.tries}"
        method = self.demand.method(op)
        fields = [
            (b"host", b"relay"),
            (headers.lookup.encode(), ident.encode()),
            (headers.left.encode(), b"%d" % (left * 1000)),
            (b"day-op", op.ident.encode()),
            (b"day-work", b"%.6f" % op.work),
        ]
        if op.member is not None:
            fields.append((headers.member.encode(), op.member.encode()))
        if op.key is not None:
            fields.append((headers.key.encode(), op.key.encode()))
        if request_class.repeat == "receipted":
            fields.append((b"idempotency-key", op.ident.encode()))
        if self.demand.bad():
            fields.append((b"day-bad", b"1"))
        body = b"x" * self.crowd.clients.body_bytes if method in ("POST", "PUT", "PATCH") else b""
        text = serialization.request(method, request_class.prefix.encode() + b"/" + op.ident.encode(), fields, body)
        wire.ask(op, ident, left, text, method == "HEAD")
        if (after := self.demand.leaves(left)) is not None:
            self.loop.call_later(after, wire.leave, ident)

    def free(self, wire: Wire) -> None:
        queue = self._queue[wire.relay]
        while queue:
            op, until = queue.popleft()
            if until - clock() > 0.05:
                self._ask(wire, op, until - clock())
                return
        self._idle[wire.relay].append(wire)

    def closed(self, wire: Wire) -> None:
        if wire.counted:
            wire.counted = False
            self._open[wire.relay] -= 1
        if wire in self._idle[wire.relay]:
            self._idle[wire.relay].remove(wire)

    # What comes of them

    def answered(self, op: Op, outcome: str, retry_after: float) -> None:
        self._again(op, self.demand.again(op, outcome, retry_after, clock()))

    def lost(self, op: Op, asked: bool) -> None:
        self._again(op, self.demand.lost(op, asked, clock()))

    def _again(self, op: Op, wait: float | None) -> None:
        if wait is not None:
            self.loop.call_later(wait, self._try, op)

    def wrong(self, op: Op, unit: str, relay: int) -> None:
        if self.demand.complains():
            self.loop.call_later(1.0, lambda: self._complain(op, unit, relay))

    def _complain(self, op: Op, unit: str, relay: int) -> None:
        task = self.loop.create_task(self._post(op, unit, relay))
        self._reads.add(task)
        task.add_done_callback(self._reads.discard)

    async def _post(self, op: Op, unit: str, relay: int) -> None:
        host, port = self.crowd.relays[relay]
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

    # What the day does to them

    def obey(self, order: dict[str, Any]) -> None:
        self.tap.note("order", **{key: value for key, value in order.items() if key != "ev"})
        self.demand.obey(order)


async def _run(crowd: Crowd) -> None:
    callers, loop = Callers(crowd), asyncio.get_running_loop()
    sys.stdout.write("ready\n")
    sys.stdout.flush()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def orders() -> None:
        while line := await reader.readline():
            callers.obey(json.loads(line))

    task = loop.create_task(orders())
    await callers.run()
    task.cancel()


def main() -> None:
    uvloop.run(_run(msgspec.json.decode(sys.argv[1], type=Crowd)))


if __name__ == "__main__":
    main()
