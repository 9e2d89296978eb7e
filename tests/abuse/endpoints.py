"""A process with endpoints for both relays: `python -m tests.abuse.endpoints RELAY COUNT FILE`.

Each endpoint runs a bounded number of requests at once and queues a bounded number; it rejects any beyond. Standard
output gets the ports, and FILE a line for each attempt: when its last byte came, on the system's monotonic clock, what
became of it (`AttemptKind`), and the request's id.
"""

from __future__ import annotations

import asyncio
import re
import sys
import time
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import IO, cast

import uvloop

from lanelead.http import serialization
from lanelead.http_relay.headers import REJECTED_HEADER
from lanelead.pgwire import messages
from tests.abuse.requests import RelayKind
from tests.scripted_endpoints import row

WORK_SECONDS = 0.03
MAX_RUNNING = 16
MAX_QUEUED = 48
LARGE_ANSWER_BYTES = 60_000
LARGE_ANSWER_PREFIX = "big-"  # of the ids of requests whose answers are large
FLUSH_SECONDS = 0.2
ID_IN_STATEMENT = re.compile(rb"/\* id=([^,]+),")
ID_IN_HEAD = re.compile(rb"\r\nx-request-id: ([^\r]+)\r\n")
LENGTH_IN_HEAD = re.compile(rb"\r\ncontent-length: (\d+)\r\n")


class AttemptKind(StrEnum):
    """Whether an attempt was executed, and whether executing it twice would do harm."""

    READ = "read"
    WRITE = "write"
    REJECTED = "rejected"


class Endpoint:
    """One endpoint: the requests that run and wait there."""

    def __init__(self, attempts: IO[bytes]) -> None:
        self._attempts = attempts
        self._running = 0
        self._queued: deque[Callable[[], None]] = deque()

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._queued)

    def accept(self, request_id: bytes, kind: AttemptKind, respond: Callable[[bytes], None]) -> bool:
        """Runs or queues a request; `respond` gets its value. Returns False if it is rejected."""
        is_full = self._running >= MAX_RUNNING and len(self._queued) >= MAX_QUEUED
        recorded = AttemptKind.REJECTED if is_full else kind
        self._attempts.write(b"%.4f %s %s\n" % (time.monotonic(), recorded.encode(), request_id))
        if is_full:
            return False
        value = b"value of " + request_id
        if request_id.startswith(LARGE_ANSWER_PREFIX.encode()):
            value = value.ljust(LARGE_ANSWER_BYTES, b".")

        def run() -> None:
            self._running += 1
            asyncio.get_running_loop().call_later(WORK_SECONDS, end)

        def end() -> None:
            self._running -= 1
            if self._queued:
                self._queued.popleft()()
            respond(value)

        if self._running < MAX_RUNNING:
            run()
        else:
            self._queued.append(run)
        return True


class Connection(asyncio.Protocol):
    """A relay's connection to an endpoint."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._buffer = bytearray()
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Handles all messages that are complete."""
        self._buffer += data
        while self._take_message():
            pass

    def _take_message(self) -> bool:
        raise NotImplementedError

    def _write(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)


class PostgresConnection(Connection):
    """A connection in PostgreSQL's protocol."""

    started = False

    def _take_message(self) -> bool:
        buffer = self._buffer
        head = 1 if self.started else 0
        if len(buffer) < head + 4:
            return False
        end = head + int.from_bytes(buffer[head : head + 4], "big")
        if len(buffer) < end:
            return False
        text = bytes(buffer[head + 4 : end])
        del buffer[:end]
        if not self.started:
            self.started = True
            self._write(messages.STARTUP_RESPONSE)
        elif found := ID_IN_STATEMENT.search(text):
            kind = AttemptKind.WRITE if text.startswith(b"INSERT") else AttemptKind.READ
            if not self._endpoint.accept(found.group(1), kind, self._respond):
                self._write(messages.error("53300", "queue full") + messages.READY)
        elif text.startswith(b"SHOW"):
            self._write(row(b"waiting=%d,cpu=0.5" % self._endpoint.queued) + messages.READY)
        return True

    def _respond(self, value: bytes) -> None:
        self._write(row(value) + messages.READY)


class HttpConnection(Connection):
    """A connection in HTTP/1.1."""

    def _take_message(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return False
        head = bytes(self._buffer[: end + 4])
        length = LENGTH_IN_HEAD.search(head)
        end += 4 + (int(length.group(1)) if length else 0)
        if len(self._buffer) < end:
            return False
        del self._buffer[:end]
        found = ID_IN_HEAD.search(head)
        kind = AttemptKind.WRITE if head.startswith(b"POST") else AttemptKind.READ
        if head.startswith(b"GET /.lanelead/load"):
            self._write(serialization.response(200, (), b'{"values":{}}'))
        elif found is None or not self._endpoint.accept(found.group(1), kind, self._respond):
            self._write(serialization.response(503, [(REJECTED_HEADER, b"1")], b"queue full"))
        return True

    def _respond(self, value: bytes) -> None:
        self._write(serialization.response(200, (), value))


async def main(kind: RelayKind, count: int, file: Path) -> None:
    """Serves until the process is killed."""
    loop = asyncio.get_running_loop()
    connection = PostgresConnection if kind is RelayKind.POSTGRES else HttpConnection
    with file.open("wb") as attempts:
        ports = []
        for _ in range(count):
            endpoint = Endpoint(attempts)
            server = await loop.create_server(
                lambda endpoint=endpoint: connection(endpoint),  # type: ignore[misc]
                "127.0.0.1",
                0,
                backlog=1024,
            )
            ports.append(server.sockets[0].getsockname()[1])
        print(*ports, flush=True)
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            attempts.flush()


if __name__ == "__main__":
    uvloop.run(main(RelayKind(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])))
