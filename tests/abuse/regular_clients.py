"""The regular clients beside the abusive ones: one request at a time, and what became of each."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from tests.abuse.requests import RelayKind, RequestFields, opening, request

LEFT_MS = 1400
GRACE_SECONDS = 0.55  # after its time a request is lost (half a second, and 50 ms as for every limit)
REFUSAL_CODES = (b"C53300\0", b"C57P03\0")
HTTP_REFUSAL = 503


class Answer(Enum):
    """What became of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CLOSED = "closed"  # the connection ended without an answer
    NEVER = "never"  # no answer within its time and GRACE_SECONDS


@dataclass
class RegularAnswers:
    """The answers to all regular clients, and the seconds that each took."""

    counts: Counter[Answer] = field(default_factory=Counter)
    seconds: list[float] = field(default_factory=list)
    foreign: int = 0  # served with something else than the value made for the request

    @property
    def total(self) -> int:
        """The number of requests."""
        return sum(self.counts.values())

    def share_served(self) -> float:
        """Returns the share of the requests that were served."""
        return self.counts[Answer.SERVED] / max(1, self.total)

    def longest_ms(self) -> float:
        """Returns the longest time until an answer of any kind, in milliseconds."""
        return 1000 * max(self.seconds, default=0.0)

    def percentile_ms(self, share: float) -> float:
        """Returns the time until an answer that `share` of the requests do not exceed, in milliseconds."""
        ordered = sorted(self.seconds)
        return 1000 * ordered[int(share * (len(ordered) - 1))] if ordered else 0.0


class RegularClient:
    """A client that keeps its connection, or opens one for each request."""

    def __init__(
        self, kind: RelayKind, port: int, name: str, answers: RegularAnswers, keeps: bool, rng: Random
    ) -> None:
        self._kind = kind
        self._port = port
        self._name = name
        self._answers = answers
        self._keeps = keeps
        self._rng = rng
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._count = 0
        self.timeout_seconds = LEFT_MS / 1000 + GRACE_SECONDS

    async def run(self, seconds: float, pause_seconds: float) -> None:
        """Sends requests for `seconds`, with pauses of the given mean."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * pause_seconds)
            await self._ask()
            if not self._keeps:
                self._drop()
        self._drop()

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _ask(self) -> None:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        began = time.monotonic()
        answer = Answer.NEVER
        was_open = self._streams is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.timeout_seconds):
                answer = await self._answer_or_close(request_id)
                if answer is Answer.CLOSED and was_open:
                    # A relay may close a connection between requests; the client then sends the request once more.
                    self._drop()
                    answer = await self._answer_or_close(request_id)
        if answer in (Answer.CLOSED, Answer.NEVER):
            self._drop()
        self._answers.counts[answer] += 1
        self._answers.seconds.append(time.monotonic() - began)

    async def _answer_or_close(self, request_id: str) -> Answer:
        try:
            return await self._answer(request_id)
        except (OSError, EOFError):
            return Answer.CLOSED

    async def _answer(self, request_id: str) -> Answer:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self._port)
            self._streams[1].write(opening(self._kind))
            if self._kind is RelayKind.POSTGRES and b"E" in await self._read_messages():
                return Answer.REFUSED
        reader, writer = self._streams
        value_bytes = self._rng.choice((0, 0, 0, 2000))
        fields = RequestFields(request_id, "file" if value_bytes else "read", value_bytes=value_bytes, left_ms=LEFT_MS)
        writer.write(request(self._kind, fields))
        if self._kind is RelayKind.POSTGRES:
            return self._postgres_answer(request_id, await self._read_messages())
        return await self._http_answer(request_id, reader)

    async def _read_messages(self) -> dict[bytes, bytes]:
        """Reads messages up to ReadyForQuery or a fatal error; returns their bodies by type."""
        assert self._streams is not None
        reader = self._streams[0]
        found: dict[bytes, bytes] = {}
        while b"Z" not in found and b"SFATAL" not in found.get(b"E", b""):
            head = await reader.readexactly(5)
            found[head[:1]] = await reader.readexactly(int.from_bytes(head[1:], "big") - 4)
        if b"Z" not in found:
            self._drop()
        return found

    def _postgres_answer(self, request_id: str, found: dict[bytes, bytes]) -> Answer:
        if b"E" in found:
            return Answer.REFUSED if any(code in found[b"E"] for code in REFUSAL_CODES) else Answer.FAILED
        return self._served(request_id, found.get(b"D", b""))

    async def _http_answer(self, request_id: str, reader: asyncio.StreamReader) -> Answer:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        size = next((int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length:")), 0)
        body = await reader.readexactly(size)
        if b"connection: close" in lines:
            self._drop()
        status = int(head.split()[1])
        if status == 200:
            return self._served(request_id, body)
        return Answer.REFUSED if status == HTTP_REFUSAL else Answer.FAILED

    def _served(self, request_id: str, value: bytes) -> Answer:
        self._answers.foreign += not value.endswith(b"value of " + request_id.encode())
        return Answer.SERVED
