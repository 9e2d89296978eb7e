"""Parses the messages of a client: bytes go in, events come out.

A message's length is checked before its body is buffered, so that a client cannot make the relay buffer more than the
limit. Message formats are those of 'Message Formats' in PostgreSQL's manual; error codes are SQLSTATE codes.
"""

from __future__ import annotations

from dataclasses import dataclass
from struct import Struct

from lanelead.pgwire.messages import CANCEL_REQUEST, GSS_REQUEST, SSL_REQUEST, VERSION

MAX_STARTUP_BYTES = 10_000  # the same limit as in PostgreSQL
LENGTH = Struct("!i")
TERMINATE = ord("X")
LENGTH_AND_CODE = Struct("!ii")
# Types of valid but unsupported messages: extended queries, function calls, COPY, passwords.
UNSUPPORTED_MESSAGES = frozenset(b"PBDECSHFdcfp")


@dataclass(slots=True, frozen=True)
class Startup:
    """StartupMessage. `newer_version`: the client requested a later 3.x, so that 3.0 must be negotiated."""

    newer_version: bool


@dataclass(slots=True, frozen=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest, to be declined with the single byte N."""


@dataclass(slots=True, frozen=True)
class Query:
    """A simple query; `text` does not include the terminating zero byte."""

    text: bytes


@dataclass(slots=True, frozen=True)
class Terminate:
    """Terminate or CancelRequest: the connection is to be closed without a response."""


@dataclass(slots=True, frozen=True)
class ProtocolViolation:
    """The client sent something invalid or unsupported: it is to be sent this error and disconnected.

    `code` is the error's SQLSTATE code.
    """

    code: str
    text: str


Event = Startup | EncryptionRequest | Query | Terminate | ProtocolViolation


class ClientReader:
    """Incremental parser of a client's messages.

    Attributes
    ----------
    started
        Whether the startup message was received.
    finished
        Whether a protocol violation or the end of the connection was found; further bytes are ignored.
    """

    def __init__(self, max_query_bytes: int) -> None:
        self._buffer = b""  # the beginning of an incomplete message
        self._max_query_bytes = max_query_bytes  # the longest text of a query
        self.started = False
        self.finished = False
        self._encryption_requests = 0

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message was received."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """How many bytes of an incomplete message are kept."""
        return len(self._buffer)

    def drop_partial_message(self) -> None:
        """Forgets an incomplete message and ignores all further bytes."""
        self._buffer = b""
        self.finished = True

    def feed(self, data: bytes) -> list[Event]:
        """Parses received bytes, in pieces of any size, and returns the events of the messages that they complete."""
        events: list[Event] = []
        if self.finished:
            return events
        if self._buffer:
            data = self._buffer + data
        start = 0
        end = len(data)
        while not self.finished and start < end:
            size, event = self._read_message(data, start) if self.started else self._read_startup_message(data, start)
            if event is not None:
                events.append(event)
                self.finished = isinstance(event, ProtocolViolation | Terminate)
            if not size:
                break
            start += size
        self._buffer = b"" if self.finished else data[start:]
        return events

    def _read_startup_message(self, data: bytes, start: int) -> tuple[int, Event | None]:
        """Parses a message before the startup is complete; see `_read_message` for the result."""
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
        # Names alternate with values, and an empty name ends the list: the last two items of the split are empty.
        if len(fields) < 2 or len(fields) % 2 or fields[-1] or fields[-2] or b"" in fields[:-2:2]:
            return 0, ProtocolViolation("08P01", "invalid startup packet layout")
        if b"user" not in fields[:-2:2]:
            return 0, ProtocolViolation("28000", "no PostgreSQL user name specified in startup packet")
        self.started = True
        return size, Startup(code != VERSION)

    def _read_message(self, data: bytes, start: int) -> tuple[int, Event | None]:
        """Parses the message at `start`.

        Returns the number of bytes consumed, and the event if there is one. The number is 0 if the message is
        incomplete or the last one to be read.
        """
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
