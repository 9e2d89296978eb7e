"""Clients: an open loop of lookups over kept connections, with retries, patience, members, keys and
complaints.

Arrivals are drawn ahead and wait for nothing. One who waits longer than its time stays on for the slack, so
that an answer that comes too late is seen as such. It is told what to do by lines on its standard input.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import socket
import struct
import sys
from collections import deque
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import uvloop

from lanelead.http import writing
from lanelead.http.answers import AnswerReader, Progress
from lanelead.settings.records import Clients, Service, Work
from lanelead.standins.capture import Tap, clock


class Crowd(msgspec.Struct):
    """All that the clients are told at their start."""

    folder: str
    seed: int
    seconds: float
    slack: float
    service: Service
    clients: Clients
    relays: list[tuple[str, int]]


class Op:
    """What a client wants done, over all its tries."""

    __slots__ = ("came_back", "due", "ident", "key", "lane", "member", "relay", "tries", "work")

    def __init__(
        self, ident: str, lane: str, member: str | None, key: str | None, work: float, relay: int
    ) -> None:
        self.ident, self.lane, self.member, self.key = ident, lane, member, key
        self.work, self.relay, self.tries = work, relay, 0
        self.came_back = False
        self.due = 0.0


class Wire(asyncio.Protocol):
    """One connection to a relay; one lookup at a time."""

    def __init__(self, crowd: Callers, relay: int) -> None:
        self._crowd, self.relay = crowd, relay
        self._reader = AnswerReader(64 << 20)
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
            if self._reader.reason == "bytes beyond the answer":
                self._crowd.tap.note("extra", id=self.ident, relay=self.relay, bytes=len(data))
            self._over("gone", why="garbage: " + self._reader.reason)
            self._drop()
        elif progress is Progress.WHOLE:
            answer = self._reader.answer
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
            come_back = float(field(b"lanelead-come-back") or "0") / 1000
            wrong, op = bool(field(b"day-wrong")), self.op
            self._over("answer", **facts, wrong=wrong)
            if wrong:
                self._crowd.wrong(op, unit, self.relay)
            if not answer.keep:
                self._drop()
            else:
                self._crowd.free(self)
            self._crowd.answered(op, outcome, answer.status, come_back)

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
        self._crowd.left(op)

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
        self._chance = Random(crowd.seed)
        self.tap = Tap(Path(crowd.folder), "clients")
        self._idle: list[list[Wire]] = [[] for _ in crowd.relays]
        self._open = [0] * len(crowd.relays)
        self._queue: list[deque[tuple[Op, float]]] = [deque() for _ in crowd.relays]
        self._lanes = {lane.name: lane for lane in crowd.service.lanes}
        self._rate, self._rates = 1.0, dict[str, float]()
        self._hot_key = self._hot_caller = self._heavy = self._haste = 0.0
        self._bad = self._give_up = self._give_up_after = 0.0
        self._more_retries = 0
        self._slow_lane: dict[str, float] = {}
        self._number = 0
        self._open_ops = 0
        self._reads: set[asyncio.Task[None]] = set()

    # Arrivals

    async def run(self) -> None:
        crowd, chance = self.crowd, self._chance
        self.tap.note("begin", rate=crowd.clients.rate)
        end, at = clock() + crowd.seconds, clock()
        while at < end:
            rows = crowd.service.members
            members = [(row.name, row.share * self._rates.get(row.name, 1.0)) for row in rows]
            usual = sum(row.share for row in rows)
            more = sum(share for _, share in members) / usual if usual else 1.0
            at += chance.expovariate(crowd.clients.rate * self._rate * more)
            if (wait := at - clock()) > 0:
                await asyncio.sleep(wait)
            self._arrive(members)
        await asyncio.sleep(
            max(lane.outer_limit_ms for lane in crowd.service.lanes) / 1000 + 2 * crowd.slack + 0.6
        )
        self.tap.note("end")

    def _arrive(self, members: list[tuple[str, float]]) -> None:
        crowd, chance = self.crowd, self._chance
        rows = crowd.clients.work
        work = chance.choices(rows, [row.share for row in rows])[0]
        names, shares = [name for name, _ in members], [share for _, share in members]
        member = chance.choices(names, shares)[0] if members else None
        relay = chance.randrange(len(crowd.relays))
        if chance.random() < self._hot_caller:
            relay = 0
        key = None
        if crowd.clients.keys or self._hot_key:
            hot = chance.random() < self._hot_key
            key = "k0" if hot else f"k{int(max(1, crowd.clients.keys) * chance.random() ** 2)}"
        self._number += 1
        lane = self._lanes[work.lane]
        op = Op(f"op-{self._number}", work.lane, member, key, self._draw(work), relay)
        op.due = clock() + lane.outer_limit_ms / 1000
        self._open_ops += 1
        self._try(op)

    def _draw(self, work: Work) -> float:
        mean, cv = work.ms / 1000 * self._slow_lane.get(work.lane, 1.0), work.cv
        if self._heavy and self._chance.random() < 0.02:
            mean *= self._heavy
        if cv == 0:
            return mean
        spread = math.sqrt(math.log(1 + cv * cv))
        return self._chance.lognormvariate(math.log(mean) - spread * spread / 2, spread)

    # Tries

    def _try(self, op: Op) -> None:
        lane = self._lanes[op.lane]
        share = self._chance.uniform(self.crowd.clients.try_share, 1.0)
        left = min(lane.outer_limit_ms / 1000 * share, op.due - clock())
        if self._haste and self._chance.random() < self._haste:
            left = min(left, lane.expected_time_ms / 1000 / 2)
        if left <= 0.05:
            self._finish(op)
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
            self._finish(op)
            return
        lane, headers = self._lanes[op.lane], self.crowd.service.headers
        op.tries += 1
        ident = f"{op.ident}.{op.tries}"
        method = lane.methods[0] if self._chance.random() < 0.95 else lane.methods[-1]
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
        if lane.repeat == "receipted":
            fields.append((b"idempotency-key", op.ident.encode()))
        if self._bad and self._chance.random() < self._bad:
            fields.append((b"day-bad", b"1"))
        body = b"x" * self.crowd.clients.body_bytes if method in ("POST", "PUT", "PATCH") else b""
        text = writing.request(method, lane.prefix.encode() + b"/" + op.ident.encode(), fields, body)
        wire.ask(op, ident, left, text, method == "HEAD")
        if self._give_up and self._chance.random() < self._give_up:
            self.loop.call_later(left * self._give_up_after, wire.leave, ident)

    def free(self, wire: Wire) -> None:
        queue = self._queue[wire.relay]
        while queue:
            op, until = queue.popleft()
            if until - clock() > 0.05:
                self._ask(wire, op, until - clock())
                return
            self._finish(op)
        self._idle[wire.relay].append(wire)

    def closed(self, wire: Wire) -> None:
        if wire.counted:
            wire.counted = False
            self._open[wire.relay] -= 1
        if wire in self._idle[wire.relay]:
            self._idle[wire.relay].remove(wire)

    # What comes of them

    def _finish(self, op: Op) -> None:
        self._open_ops -= 1

    def answered(self, op: Op, outcome: str, status: int, come_back: float) -> None:
        lane = self._lanes[op.lane]
        if outcome == "shed":
            self._again(op, come_back)
        elif outcome == "broken-off" and (
            lane.repeat == "pure" or (lane.repeat == "receipted" and lane.scope == "all")
        ):
            self._again(op, 0.0)
        else:
            self._finish(op)

    def left(self, op: Op) -> None:
        self._finish(op)

    def lost(self, op: Op, asked: bool) -> None:
        if not asked or self._lanes[op.lane].repeat == "pure":
            op.relay = self._chance.randrange(len(self.crowd.relays))
            self._again(op, 0.0)
        else:
            self._finish(op)

    def _again(self, op: Op, come_back: float) -> None:
        clients = self.crowd.clients
        if op.tries > clients.retries + self._more_retries or clock() > op.due:
            self._finish(op)
            return
        wait = 0.01 if self._more_retries else clients.backoff_ms / 1000  # those that heed nothing
        if come_back and not self._more_retries and self._chance.random() < clients.honour:
            wait = max(wait, come_back)
        self.loop.call_later(wait, self._try, op)

    def wrong(self, op: Op, unit: str, relay: int) -> None:
        if self._chance.random() < self.crowd.service.poll.complaint_share:
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
                writer.write(writing.request("POST", b"/.lanelead/complaint", fields, body))
                status = await reader.readline()
                writer.close()
            self.tap.note(
                "complaint", unit=unit, lane=op.lane, relay=relay, answer=status.decode("latin-1").strip()
            )
        except (OSError, TimeoutError):
            pass

    # What the day does to them

    def obey(self, order: dict[str, Any]) -> None:
        self.tap.note("order", **{key: value for key, value in order.items() if key != "ev"})
        on, size = order.get("on", True), order.get("size", 1.0)
        match order["kind"]:
            case "burst":
                self._rate = size if on else 1.0
            case "member_burst":
                self._rates = {order["member"]: size} if on else {}
            case "hot_key":
                self._hot_key = size if on else 0.0
            case "hot_caller":
                self._hot_caller = size if on else 0.0
            case "heavy_tail":
                self._heavy = size if on else 0.0
            case "haste":
                self._haste = size if on else 0.0
            case "give_up":
                self._give_up, self._give_up_after = (size, order["extra"]) if on else (0.0, 0.0)
            case "retry_abuse":
                self._more_retries = int(size) if on else 0
            case "bad_requests":
                self._bad = size if on else 0.0
            case "slow_lane":
                self._slow_lane = {order["lane"]: size} if on else {}


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
