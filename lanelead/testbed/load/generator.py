"""The open loop: when each lookup is due is drawn ahead, and its time counts from then, sent or not.

A generator that waits for answers before it asks again hides the very waits that it is to measure
(coordinated omission). Here a lookup that finds no free connection waits in line, and its wait is part of its
time. The generator's own lateness, from due to handed over, is kept apart: where it is large, the run says
nothing of the relay.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from hdrh.histogram import HdrHistogram

from lanelead.http import serialization
from lanelead.http.responses import Progress, ResponseReader

LONGEST = 60_000_000  # microseconds that a histogram holds
OUTCOMES = ("done", "shed", "broken-off", "not-a-lookup", "lost")


@dataclass(frozen=True)
class Shape:
    """What is asked, and how the rate goes over the run."""

    rate: float  # lookups a second, mean
    seconds: float
    method: str = "GET"
    path: str = "/"
    members: tuple[str, ...] = ()
    keys: int = 0
    body: int = 0
    left_ms: int = 0  # how long a client waits; 0: not said
    connections: int = 256
    poisson: bool = True  # else evenly spaced
    ramp: float = 1.0  # the rate at the end over that at the start


def times(shape: Shape, rng: Random) -> list[float]:
    """When lookups are due, in seconds from the start: the rate goes evenly from start to end."""
    found, at = list[float](), 0.0
    first = 2 * shape.rate / (1 + shape.ramp)
    while True:
        rate = first * (1 + (shape.ramp - 1) * at / shape.seconds)
        at += rng.expovariate(rate) if shape.poisson else 1 / rate
        if at >= shape.seconds:
            return found
        found.append(at)


@dataclass
class Result:
    took: dict[str, HdrHistogram] = field(
        default_factory=lambda: {name: HdrHistogram(1, LONGEST, 3) for name in OUTCOMES}
    )  # by outcome, microseconds from when a lookup was due
    late: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, LONGEST, 3))  # due to handed over
    due: int = 0
    span: float = 0.0  # seconds from the first due to the last handed over

    def count(self, outcome: str) -> int:
        return int(self.took[outcome].get_total_count())

    def held(self, rate: float) -> str:
        """Why the run says nothing of the relay; empty where it held its rate."""
        behind = self.late.get_value_at_percentile(99) / 1e6
        if behind > max(0.01, 10 / rate):
            return f"1 of 100 lookups was handed over {behind * 1000:.1f} ms late"
        asked = sum(self.count(name) for name in OUTCOMES)
        return f"{self.due - asked} lookups were never handed over" if asked < self.due else ""


class Line(asyncio.Protocol):
    """A connection: one lookup at a time."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._reader = ResponseReader(64 << 20)
        self.transport: asyncio.Transport | None = None
        self.due: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def ask(self, due: float, text: bytes, head: bool) -> None:
        assert self.transport is not None
        self.due = due
        self._reader.expect(head)
        self.transport.write(text)

    def data_received(self, data: bytes) -> None:
        progress = self._reader.feed(data)
        if progress is Progress.BROKEN:
            self._drop()
        elif progress is Progress.WHOLE:
            answer = self._reader.response
            assert answer is not None
            raw = answer.header(b"lanelead-outcome") or b"not-a-lookup"
            self._over(raw.decode("latin-1"))
            if answer.keep:
                self._load.free(self)
            else:
                self._drop()

    def _over(self, outcome: str) -> None:
        due, self.due = self.due, None
        if due is not None:
            self._load.ended(due, outcome)

    def _drop(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._over("lost")
        self._load.closed()


class Load:
    def __init__(self, shape: Shape, host: str, port: int, seed: int = 1) -> None:
        self._shape, self._host, self._port = shape, host, port
        self._rng = Random(f"load {seed}")
        self._loop = asyncio.get_running_loop()
        self._idle, self._queue = list[Line](), deque[tuple[float, bytes]]()
        self._open, self._number = 0, 0
        self._tasks = set[asyncio.Task[None]]()
        self.result = Result()

    async def run(self, told: Callable[[int, int], None] = lambda done, due: None) -> Result:
        shape, dues = self._shape, times(self._shape, self._rng)
        self.result.due = len(dues)
        begin = self._loop.time() + 0.05
        for number, at in enumerate(dues):
            due = begin + at
            if (wait := due - self._loop.time()) > 0:
                await asyncio.sleep(wait)
            self._hand_over(due)
            if number % 100 == 0:
                told(number, len(dues))
        self.result.span = self._loop.time() - begin
        patience = self._loop.time() + max(2.0, shape.left_ms / 1000 + 1)
        asked = sum(self.result.count(name) for name in OUTCOMES)
        while asked < len(dues) and self._loop.time() < patience:
            await asyncio.sleep(0.05)
            asked = sum(self.result.count(name) for name in OUTCOMES)
        for line in self._idle:
            line._drop()
        return self.result

    def _text(self) -> bytes:
        shape, rng = self._shape, self._rng
        self._number += 1
        fields = [(b"host", b"relay"), (b"x-request-id", b"load-%d" % self._number)]
        if shape.left_ms:
            fields.append((b"lanelead-left", b"%d" % shape.left_ms))
        if shape.members:
            fields.append((b"lanelead-member", rng.choice(shape.members).encode()))
        if shape.keys:
            fields.append((b"lanelead-key", b"k%d" % rng.randrange(shape.keys)))
        if shape.method not in ("GET", "HEAD"):
            fields.append((b"idempotency-key", b"load-%d" % self._number))
        return serialization.request(shape.method, shape.path.encode(), fields, b"x" * shape.body)

    def _hand_over(self, due: float) -> None:
        self.result.late.record_value(max(1, int((self._loop.time() - due) * 1e6)))
        text = self._text()
        while self._idle:
            line = self._idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                line.ask(due, text, self._shape.method == "HEAD")
                return
        self._queue.append((due, text))
        if self._open < self._shape.connections:
            self._open += 1
            task = self._loop.create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(2):
                _, line = await self._loop.create_connection(lambda: Line(self), self._host, self._port)
        except (OSError, TimeoutError):
            self._open -= 1
            if self._queue:
                self.ended(self._queue.popleft()[0], "lost")
            return
        self.free(line)

    def free(self, line: Line) -> None:
        if self._queue and line.transport is not None:
            due, text = self._queue.popleft()
            line.ask(due, text, self._shape.method == "HEAD")
        else:
            self._idle.append(line)

    def ended(self, due: float, outcome: str) -> None:
        name = outcome if outcome in OUTCOMES else "not-a-lookup"
        took = int((self._loop.time() - due) * 1e6)
        self.result.took[name].record_value(min(LONGEST, max(1, took)))

    def closed(self) -> None:
        self._open -= 1
        if self._queue and self._open < self._shape.connections:
            self._open += 1
            task = self._loop.create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
