"""What a front reads from a client: bytes in, events out. A length is checked before anything is buffered."""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

from lanelead.pgwire.messages import CANCEL_REQUEST, GSS_REQUEST, SSL_REQUEST, VERSION

MAX_STARTUP_BYTES = 10_000  # bytes, as PostgreSQL itself allows
LENGTH = Struct("!i")
LENGTH_AND_CODE = Struct("!ii")
# Messages of the protocol that this front does not take: the extended queries, functions, copying, passwords.
UNSUPPORTED_MESSAGES = frozenset(b"PBDECSHFdcfp")


@dataclass(slots=True, frozen=True)
class Startup:
    newer_version: bool  # it asked for a later 3.x, and is told of 3.0


@dataclass(slots=True, frozen=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest: answered with a single N."""


@dataclass(slots=True, frozen=True)
class Query:
    text: bytes


@dataclass(slots=True, frozen=True)
class Terminate:
    """The client ends the connection, by Terminate or by CancelRequest, which is owed no answer."""


@dataclass(slots=True, frozen=True)
class ProtocolViolation:
    """What came can't be read on: an error is owed, and the end of the connection."""

    code: str
    text: str


Event = Startup | EncryptionRequest | Query | Terminate | ProtocolViolation


class ClientReader:
    """`longest`: bytes of one query's text. After a fault or an end nothing more is read."""

    def __init__(self, longest: int) -> None:
        self._rest, self._max_query_bytes = b"", longest
        self.started = self.finished = False
        self._encryption_requests = 0

    @property
    def has_partial_message(self) -> bool:
        """Part of a message has come."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        events: list[Event] = []
        if self.finished:
            return events
        data = self._rest + data if self._rest else data
        at, end = 0, len(data)
        while not self.finished and at < end:
            step, event = self._query(data, at) if self.started else self._startup(data, at)
            if event is not None:
                events.append(event)
                self.finished = isinstance(event, ProtocolViolation | Terminate)
            if not step:
                break
            at += step
        self._rest = b"" if self.finished else data[at:]
        return events

    def _startup(self, data: bytes, at: int) -> tuple[int, Event | None]:
        have = len(data) - at
        if have >= 4 and not 8 <= LENGTH.unpack_from(data, at)[0] <= MAX_STARTUP_BYTES:
            return 0, ProtocolViolation("08P01", "invalid length of startup packet")
        if have < 8:
            return 0, None
        size, code = LENGTH_AND_CODE.unpack_from(data, at)
        if code in (SSL_REQUEST, GSS_REQUEST):
            self._encryption_requests += 1
            if size != 8 or self._encryption_requests > 2:
                return 0, ProtocolViolation("08P01", "unexpected request for encryption")
            return 8, EncryptionRequest()
        if code == CANCEL_REQUEST:
            return 0, Terminate()
        if code >> 16 != 3:
            return 0, ProtocolViolation("0A000", "unsupported frontend protocol: this relay speaks 3.0")
        if have < size:
            return 0, None
        words = data[at + 8 : at + size].split(b"\0")
        # Names and values in turn, then an empty name: the last word after the split is empty too.
        if len(words) < 2 or len(words) % 2 or words[-1] or words[-2] or b"" in words[:-2:2]:
            return 0, ProtocolViolation("08P01", "invalid startup packet layout")
        if b"user" not in words[:-2:2]:
            return 0, ProtocolViolation("28000", "no PostgreSQL user name specified in startup packet")
        self.started = True
        return size, Startup(code != VERSION)

    def _query(self, data: bytes, at: int) -> tuple[int, Event | None]:
        kind = data[at]
        if kind not in b"QX":
            if kind in UNSUPPORTED_MESSAGES:
                return 0, ProtocolViolation("0A000", "only simple queries are taken here")
            return 0, ProtocolViolation("08P01", f"invalid frontend message type {kind}")
        if len(data) - at < 5:
            return 0, None
        size = LENGTH.unpack_from(data, at + 1)[0]
        if not 4 <= size <= self._max_query_bytes + 5:
            return 0, ProtocolViolation("08P01", "invalid message length")
        if kind == 0x58:
            return 0, Terminate()
        end = at + 1 + size
        if len(data) < end:
            return 0, None
        if size < 5 or data.find(b"\0", at + 5, end) != end - 1:
            return 0, ProtocolViolation("08P01", "invalid string in message")
        return 1 + size, Query(data[at + 5 : end - 1])
