"""Reads what an endpoint sends: bytes in, and whether there is one complete, well-formed response.

One query is in flight at a time. A response is complete with its CommandComplete or ErrorResponse; the connection
can be reused only once ReadyForQuery has come too, with nothing behind it. Anything else is malformed.

Source: 'Message Formats' in PostgreSQL's manual. Message types are compared as the byte that they are.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from struct import Struct

LENGTH = Struct("!i")
COLUMN_COUNT = Struct("!h")
COLUMN_COUNT_AND_SIZE = Struct("!hi")
IGNORED_MESSAGES = frozenset(b"NA")  # notices and notifications, at any time
RESPONSE_MESSAGES = frozenset(b"TDCE")
CONTROL_MESSAGES = frozenset(b"ZSRKNA")

AUTHENTICATION = ord("R")
BACKEND_KEY_DATA = ord("K")
COMMAND_COMPLETE = ord("C")
DATA_ROW = ord("D")
ERROR_RESPONSE = ord("E")
PARAMETER_STATUS = ord("S")
READY_FOR_QUERY = ord("Z")
ROW_DESCRIPTION = ord("T")


class Progress(Enum):
    """What `ServerReader.feed` has found."""

    WAITING = "waiting"
    READY = "ready"  # the endpoint has accepted the connection
    RESPONDED = "responded"  # see `response`
    MALFORMED = "malformed"  # see `reason`


@dataclass(slots=True)
class QueryResult:
    """A row, as the messages that it came in (`raw`) and as its value, or an error's SQLSTATE code and text.
    `report`: the value of the ParameterStatus that the reader looks for.
    """

    raw: bytes = b""
    value: bytes | None = None
    error_code: str | None = None
    error_text: str = ""
    report: bytes | None = None


def error_fields(body: bytes) -> dict[str, str] | None:
    """An ErrorResponse's fields by their letters; None where they don't fill the message."""
    if len(body) < 2 or body[-2:] != b"\0\0":
        return None
    fields = body[:-2].split(b"\0")
    if b"" in fields:
        return None
    return {chr(field[0]): field[1:].decode("utf-8", "replace") for field in fields}


class ServerReader:
    """`max_response_bytes` bounds one message; `report_name` is the ParameterStatus to look for.

    `ready`: the connection was accepted, and no query is in flight.
    """

    def __init__(self, max_response_bytes: int, report_name: bytes) -> None:
        self._rest = b""
        self._max_response_bytes = max_response_bytes
        self._report_name = report_name
        self.ready = False
        self._awaiting_response = False
        self._raw: list[bytes] = []
        self._result = QueryResult()
        self.response: QueryResult | None = None
        self.reason = ""

    @property
    def response_begun(self) -> bool:
        """Part of a response has come."""
        return bool(self._rest or self._raw)

    def begin_response(self) -> None:
        """To be called when a query is sent: forgets the last response."""
        self._awaiting_response = True
        self.ready = False
        self._raw = []
        self._result = QueryResult()
        self.response = None

    def feed(self, data: bytes) -> Progress:
        """Takes bytes as they come; a message may end in a later call."""
        data = self._rest + data if self._rest else data
        start = 0
        end = len(data)
        before = self.response
        while start < end:
            if self.ready:
                return self._malformed("unsolicited bytes", before)
            kind = data[start]
            in_response = kind in RESPONSE_MESSAGES
            if not in_response and kind not in CONTROL_MESSAGES:
                return self._malformed(f"message type {kind}", before)
            if end - start < 5:
                break
            size = LENGTH.unpack_from(data, start + 1)[0]
            if not 4 <= size <= self._max_response_bytes:
                return self._malformed(f"a message of {size} bytes", before)
            stop = start + 1 + size
            if stop > end:
                break
            if in_response:
                accepted = self._response_message(kind, data, start, stop)
            else:
                accepted = self._control_message(kind, data, start + 5, stop)
            if not accepted:
                return self._malformed(f"message {chr(kind)} out of place or malformed", before)
            start = stop
        self._rest = data[start:]
        if self.response is not None:
            return Progress.RESPONDED
        return Progress.READY if self.ready else Progress.WAITING

    def _malformed(self, reason: str, before: QueryResult | None) -> Progress:
        """What comes behind a complete response leaves that valid, but the connection cannot be reused."""
        self.ready = False
        self.reason = reason
        return Progress.RESPONDED if self.response is not None and before is None else Progress.MALFORMED

    def _control_message(self, kind: int, data: bytes, body: int, stop: int) -> bool:
        """Takes a message that is no part of a response; returns whether it is well-formed and in place."""
        if kind in IGNORED_MESSAGES:
            return True
        if kind == PARAMETER_STATUS:
            fields = data[body:stop].split(b"\0")
            if len(fields) != 3 or fields[2]:
                return False
            if fields[0] == self._report_name:
                self._result.report = fields[1]
            return True
        if kind == READY_FOR_QUERY:
            if stop - body != 1 or data[body] not in b"ITE" or (self._awaiting_response and self.response is None):
                return False
            self.ready = True
            self._awaiting_response = False
            return True
        if self._awaiting_response:
            return False
        return kind == BACKEND_KEY_DATA or data[body:stop] == b"\0\0\0\0"  # AuthenticationOk

    def _response_message(self, kind: int, data: bytes, start: int, stop: int) -> bool:
        """Takes a part of a response; returns whether it is well-formed and in place."""
        if not self._awaiting_response or self.response is not None:
            return False
        body = start + 5
        if kind == ERROR_RESPONSE:
            fields = error_fields(data[body:stop])
            if fields is None or "C" not in fields:
                return False
            self._result.error_code = fields["C"]
            self._result.error_text = fields.get("M", "")
            self.response = self._result
            return True
        if not self._row_message(kind, data, body, stop):
            return False
        self._raw.append(data[start:stop])
        if kind == COMMAND_COMPLETE:
            self._result.raw = b"".join(self._raw)
            self.response = self._result
        return True

    def _row_message(self, kind: int, data: bytes, body: int, stop: int) -> bool:
        """One RowDescription of one column, one DataRow, one CommandComplete, in this order."""
        position = len(self._raw)
        if kind == ROW_DESCRIPTION:
            name_end = data.find(b"\0", body + 2, stop)
            one_column = stop - body >= 21 and COLUMN_COUNT.unpack_from(data, body)[0] == 1
            return position == 0 and one_column and name_end >= 0 and stop - name_end == 19
        if kind == DATA_ROW:
            if position != 1 or stop - body < 6:
                return False
            columns, size = COLUMN_COUNT_AND_SIZE.unpack_from(data, body)
            if columns != 1 or size != stop - body - 6:
                return False
            self._result.value = data[body + 6 : stop]
            return True
        tag = data[body:stop]
        return position == 2 and tag.startswith((b"SELECT ", b"INSERT ", b"SHOW")) and tag.find(b"\0") == len(tag) - 1
