"""Reads what a client sends: bytes in, events out. A length is checked before anything is buffered.

Source: 'Message Formats' in PostgreSQL's manual. Error codes are its SQLSTATE codes.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

from lanelead.pgwire.messages import CANCEL_REQUEST, GSS_REQUEST, SSL_REQUEST, VERSION

MAX_STARTUP_BYTES = 10_000  # as PostgreSQL itself allows
LENGTH = Struct("!i")
TERMINATE = ord("X")
LENGTH_AND_CODE = Struct("!ii")
# Valid messages that are not supported: extended queries, function calls, COPY, passwords.
UNSUPPORTED_MESSAGES = frozenset(b"PBDECSHFdcfp")


@dataclass(slots=True, frozen=True)
class Startup:
    """StartupMessage. `newer_version`: a later 3.x was requested, and 3.0 has to be negotiated."""

    newer_version: bool


@dataclass(slots=True, frozen=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest: answered with a single N."""


@dataclass(slots=True, frozen=True)
class Query:
    """A simple query, without the terminating zero byte."""

    text: bytes


@dataclass(slots=True, frozen=True)
class Terminate:
    """Terminate, or CancelRequest: the connection ends, and no response is due."""


@dataclass(slots=True, frozen=True)
class ProtocolViolation:
    """Nothing more can be read: an error with this code and text is due, and the end of the connection."""

    code: str
    text: str


Event = Startup | EncryptionRequest | Query | Terminate | ProtocolViolation


class ClientReader:
    """`max_query_bytes` bounds one query's text. `started`: the startup message has come; `finished`: nothing more
    is read, after a protocol violation or an end.
    """

    def __init__(self, max_query_bytes: int) -> None:
        self._rest = b""
        self._max_query_bytes = max_query_bytes
        self.started = False
        self.finished = False
        self._encryption_requests = 0

    @property
    def has_partial_message(self) -> bool:
        """Part of a message has come."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes as they come; returns the events that they complete."""
        events: list[Event] = []
        if self.finished:
            return events
        if self._rest:
            data = self._rest + data
        start = 0
        end = len(data)
        while not self.finished and start < end:
            size, event = self._query(data, start) if self.started else self._startup(data, start)
            if event is not None:
                events.append(event)
                self.finished = isinstance(event, ProtocolViolation | Terminate)
            if not size:
                break
            start += size
        self._rest = b"" if self.finished else data[start:]
        return events

    def _startup(self, data: bytes, start: int) -> tuple[int, Event | None]:
        """The bytes taken, none where the message is incomplete or the last, and the event."""
        available = len(data) - start
        if available >= 4 and not 8 <= LENGTH.unpack_from(data, start)[0] <= MAX_STARTUP_BYTES:
            return 0, ProtocolViolation("08P01", "invalid length of startup packet")
        if available < 8:
            return 0, None
        size, code = LENGTH_AND_CODE.unpack_from(data, start)
        if code in (SSL_REQUEST, GSS_REQUEST):
            self._encryption_requests += 1
            if size != 8 or self._encryption_requests > 2:
                return 0, ProtocolViolation("08P01", "unexpected request for encryption")
            return 8, EncryptionRequest()
        if code == CANCEL_REQUEST:
            return 0, Terminate()
        if code >> 16 != 3:
            return 0, ProtocolViolation("0A000", "unsupported frontend protocol: this relay speaks 3.0")
        if available < size:
            return 0, None
        fields = data[start + 8 : start + size].split(b"\0")
        # Names and values in turn, then an empty name: the last item after the split is empty too.
        if len(fields) < 2 or len(fields) % 2 or fields[-1] or fields[-2] or b"" in fields[:-2:2]:
            return 0, ProtocolViolation("08P01", "invalid startup packet layout")
        if b"user" not in fields[:-2:2]:
            return 0, ProtocolViolation("28000", "no PostgreSQL user name specified in startup packet")
        self.started = True
        return size, Startup(code != VERSION)

    def _query(self, data: bytes, start: int) -> tuple[int, Event | None]:
        """The bytes taken, none where the message is incomplete or the last, and the event."""
        kind = data[start]
        if kind not in b"QX":
            if kind in UNSUPPORTED_MESSAGES:
                return 0, ProtocolViolation("0A000", "only simple queries are taken here")
            return 0, ProtocolViolation("08P01", f"invalid frontend message type {kind}")
        if len(data) - start < 5:
            return 0, None
        size = LENGTH.unpack_from(data, start + 1)[0]
        if not 4 <= size <= self._max_query_bytes + 5:
            return 0, ProtocolViolation("08P01", "invalid message length")
        if kind == TERMINATE:
            return 0, Terminate()
        end = start + 1 + size
        if len(data) < end:
            return 0, None
        if size < 5 or data.find(b"\0", start + 5, end) != end - 1:
            return 0, ProtocolViolation("08P01", "invalid string in message")
        return 1 + size, Query(data[start + 5 : end - 1])
