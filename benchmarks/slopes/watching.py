"""Simulates watches of the endpoint list in virtual time: each ends at a change or at its time limit; counts bytes.

A watch is that of `postgres_relay/discovery_client.py`: one call after another, each on its own connection, held for
two seconds at most. Bytes are those of HTTP: the request that the relay's own client writes, captured on loopback, and
the response as the stand-in writes it; TCP headers and handshakes are not included.
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

CALL_SECONDS = 0.001  # from a response to the relay's next watch, in one zone


def watch_response(changed: int, full: bool = False) -> bytes:
    """The response to a watch that reports so many changed endpoints."""
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


class DiscoveryStandIn:
    """A stand-in for discovery in a thread; answers each call at once and keeps the last request."""

    def __init__(self, changed: int) -> None:
        self.last_request, self.port, self.calls = b"", 0, 0
        self._whole, self._text, self._ready = watch_response(1, True), watch_response(changed), threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()))
        self._thread.start()
        self._ready.wait()

    async def _serve(self) -> None:
        self._loop, self._over = asyncio.get_running_loop(), asyncio.Event()
        server = await asyncio.start_server(self._handle_call, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self._ready.set()
        await self._over.wait()
        server.close()

    async def _handle_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):  # the last call is cut off
            self.last_request = await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
        writer.write(self._text if b"from=" in self.last_request else self._whole)
        writer.close()

    def close(self) -> None:
        """Ends the thread."""
        self._loop.call_soon_threadsafe(self._over.set)
        self._thread.join()


async def _watch(port: int, many: int) -> tuple[float, int]:
    """Processor time of this thread for so many watches, seconds, and the number of responses."""
    loop, received = asyncio.get_running_loop(), list[EndpointListMessage]()
    log = structlog.wrap_logger(structlog.testing.CapturingLogger(), processors=[])
    feed = DiscoveryClient(
        loop,
        address=f"127.0.0.1:{port}",
        state=ListState(0),
        decode_list=read_endpoint_list,
        on_list=received.append,
        rng=Random(37),
        log=log,
    )
    answered = 0
    enough = asyncio.Event()

    def on_answer() -> None:
        nonlocal answered
        answered += 1
        if answered > many:
            enough.set()

    feed.on_received = on_answer
    run = loop.create_task(feed.run())
    began = time.thread_time()
    async with asyncio.timeout(60):
        await enough.wait()
    spent, counted = time.thread_time() - began, answered
    run.cancel()
    await asyncio.gather(run, return_exceptions=True)
    return spent, counted


def watch_us(changed: int, many: int = 200, rounds: int = 3) -> tuple[float, bytes]:
    """Processor time of one watch at a relay, microseconds, and the request's bytes.

    The time includes the call and the decoding of the response, not the application of the list.
    """
    discovery = DiscoveryStandIn(changed)
    try:
        found = [asyncio.run(_watch(discovery.port, many)) for _ in range(rounds)]
    finally:
        discovery.close()
    return median(spent / counted for spent, counted in found) * 1e6, discovery.last_request


class Watched(NamedTuple):
    """Counts of all relays together."""

    watches: int
    bytes: int
    worst_watches: int  # begun in the worst second
    worst_bytes: int


def play(relays: int, seconds: float, changes: Sequence[float], request_bytes: int, seed: int = 37) -> Watched:
    """Simulates the watches of `relays` relays for `seconds`.

    `changes`: times at which an endpoint changed, rising, in seconds. `request_bytes`: size of a request. Each relay
    begins at a random time within the first two seconds.
    """
    rng = Random(f"watching {seed}")
    sizes = [len(watch_response(many)) for many in range(3)]

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
            if then == known:  # nothing new: held until a change or the time limit
                due = changes[known] if known < len(changes) else at + WATCH_HOLD_SECONDS
                ends = min(at + WATCH_HOLD_SECONDS, due)
                then = bisect_right(changes, ends)
            answered = request_bytes + size(then - known)
            total += answered
            moved[int(ends)] += answered
            known, at = then, ends + CALL_SECONDS
    return Watched(watches, total, max(begun.values(), default=0), max(moved.values(), default=0))


def random_changes(events: int, each: int, seconds: float, gap: float, seed: int = 37) -> list[float]:
    """Times of changes: `events` random times, each the first of `each` changes that are `gap` seconds apart."""
    rng = Random(f"changes {seed}")
    starts = [rng.uniform(0, seconds) for _ in range(events)]
    return sorted(at + gap * place for at in starts for place in range(each))
