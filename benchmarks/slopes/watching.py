"""Discovery's side in virtual time: watches that end at a change or when their time is up, and their bytes.

A watch is `postgres_relay/discovery_client.py`'s: one call after the other, each on a connection of its own, held
for two seconds at most. Bytes are those of HTTP: what the relay's own caller writes, caught on loopback, and
the answer as our stand-in writes it; TCP's heads and handshakes are not in them.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
from bisect import bisect_right
from collections import Counter
from collections.abc import Sequence
from random import Random
from statistics import median
from typing import NamedTuple

import msgspec
import structlog

from lanelead.http import serialization
from lanelead.postgres_relay.discovery_client import WATCH_HOLD_SECONDS, DiscoveryClient, ListState
from lanelead.protocols.feeds import EndpointListMessage, encode
from lanelead.protocols.platform import EndpointList, ListedEndpoint, read_endpoint_list

CALL = 0.001  # seconds from an answer to the relay's next watch, over a network of one zone


def answer(changed: int, full: bool = False) -> bytes:
    """What a watch that tells of so many changed units gets."""
    points = [
        ListedEndpoint(
            f"s-{number:08x}",
            f"10.{number >> 8}.{number & 255}.18:5432",
            "active",
            "a",
            "m2",
            3,
            1.0,
            1_764_648_618_000,
            1041,
        )
        for number in range(changed)
    ]
    body = encode(EndpointList(1_234_567, full, [msgspec.Raw(encode(point)) for point in points]))
    return serialization.response(200, ((b"content-type", b"application/json"),), body, keep=False)


class Ear:
    """A stand-in for discovery in a thread, that answers each call at once; keeps what it was asked last."""

    def __init__(self, changed: int) -> None:
        self.asked, self.port, self.calls = b"", 0, 0
        self._whole, self._text, self._ready = answer(1, True), answer(changed), threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()))
        self._thread.start()
        self._ready.wait()

    async def _serve(self) -> None:
        self._loop, self._over = asyncio.get_running_loop(), asyncio.Event()
        server = await asyncio.start_server(self._met, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self._ready.set()
        await self._over.wait()
        server.close()

    async def _met(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):  # the last call is broken off
            self.asked = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
        writer.write(self._text if b"from=" in self.asked else self._whole)
        writer.close()

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._over.set)
        self._thread.join()


async def _watch(port: int, many: int) -> tuple[float, int]:
    """Processor time, in seconds, of this thread for so many watches, and how many came."""
    loop, heard = asyncio.get_running_loop(), list[EndpointListMessage]()
    log = structlog.wrap_logger(structlog.testing.CapturingLogger(), processors=[])
    feed = DiscoveryClient(
        loop,
        address=f"127.0.0.1:{port}",
        state=ListState(0),
        decode_list=read_endpoint_list,
        on_list=heard.append,
        rng=Random(37),
        log=log,
    )
    spoken = 0
    came = asyncio.Event()

    def spoke() -> None:
        nonlocal spoken
        spoken += 1
        if spoken > many:
            came.set()

    feed.on_received = spoke
    run = loop.create_task(feed.run())
    began = time.thread_time()
    async with asyncio.timeout(60):
        await came.wait()
    spent, counted = time.thread_time() - began, spoken
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    return spent, counted


def watch_us(changed: int, many: int = 200, rounds: int = 3) -> tuple[float, bytes]:
    """Processor time of one watch at a relay, microseconds: the call and its answer decoded, not yet taken
    in; and the request's bytes."""
    ear = Ear(changed)
    try:
        found = [asyncio.run(_watch(ear.port, many)) for _ in range(rounds)]
    finally:
        ear.close()
    return median(spent / counted for spent, counted in found) * 1e6, ear.asked


class Watched(NamedTuple):
    """Of all relays together."""

    watches: int
    bytes: int
    worst_watches: int  # in the worst second, that begin
    worst_bytes: int


def play(relays: int, seconds: float, changes: Sequence[float], asked: int, seed: int = 37) -> Watched:
    """`changes`: when a unit changed, in rising order, in seconds. `asked`: bytes of one request. Each relay
    begins at a moment of its own within the first hold."""
    rng = Random(f"watching {seed}")
    sizes = [len(answer(many)) for many in range(3)]

    def size(many: int) -> int:
        return sizes[many] if many < 3 else sizes[1] + (many - 1) * (sizes[2] - sizes[1])

    watches = total = 0
    begun, moved = Counter[int](), Counter[int]()
    for _ in range(relays):
        at, known = rng.uniform(0, WATCH_HOLD_SECONDS), 0
        while at < seconds:
            watches += 1
            begun[int(at)] += 1
            ends, then = at, bisect_right(changes, at)
            if then == known:  # nothing new: held until something is, or time is up
                due = changes[known] if known < len(changes) else at + WATCH_HOLD_SECONDS
                ends = min(at + WATCH_HOLD_SECONDS, due)
                then = bisect_right(changes, ends)
            spoken = asked + size(then - known)
            total += spoken
            moved[int(ends)] += spoken
            known, at = then, ends + CALL
    return Watched(watches, total, max(begun.values(), default=0), max(moved.values(), default=0))


def drawn(events: int, each: int, seconds: float, gap: float, seed: int = 37) -> list[float]:
    """When units change: so many events at random moments, each of so many changes `gap` seconds apart."""
    rng = Random(f"changes {seed}")
    starts = [rng.uniform(0, seconds) for _ in range(events)]
    return sorted(at + gap * place for at in starts for place in range(each))
