"""Parses the messages of an endpoint, and tells when a complete, well-formed response was received.

One query is in flight at a time. A response is complete with its CommandComplete or ErrorResponse. The connection can
be reused only after ReadyForQuery was received too, and no byte after it. Anything else is malformed.

Message formats are those of 'Message Formats' in PostgreSQL's manual. Message types are compared as integers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from struct import Struct

LENGTH = Struct("!i")
COLUMN_COUNT = Struct("!h")
COLUMN_COUNT_AND_SIZE = Struct("!hi")
IGNORED_MESSAGES = frozenset(b"NA")  # NoticeResponse and NotificationResponse, which may come at any time
VALUE_OFFSET = 11  # of the value in a DataRow: type, length, column count, the value's size
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
    """The state of the connection after `ServerReader.feed`."""

    WAITING = "waiting"
    READY = "ready"  # the endpoint has accepted the connection
    RESPONDED = "responded"  # a complete response is in `ServerReader.response`
    MALFORMED = "malformed"  # `ServerReader.reason` tells why


@dataclass(slots=True)
class QueryResult:
    """The result of a query: a row, or an error.

    Attributes
    ----------
    raw
        The messages of the row, from RowDescription to CommandComplete. Empty for an error.
    value_range
        Where in `raw` the value of the row's only column begins and ends; None for an error.
    error_code
        The error's SQLSTATE code; None for a row.
    error_text
        The error's message.
    report
        The value of the ParameterStatus that the reader looks for, None if there was none.
    """

    raw: bytes = b""
    value_range: tuple[int, int] | None = None
    error_code: str | None = None
    error_text: str = ""
    report: bytes | None = None

    @property
    def value(self) -> bytes | None:
        """The value of the row's only column; None for an error."""
        if self.value_range is None:
            return None
        start, end = self.value_range
        return self.raw[start:end]


def error_fields(body: bytes) -> dict[str, str] | None:
    """Returns an ErrorResponse's fields by type letter, or None if the body is malformed."""
    if len(body) < 2 or body[-2:] != b"\0\0":
        return None
    fields = body[:-2].split(b"\0")
    if b"" in fields:
        return None
    return {chr(field[0]): field[1:].decode("utf-8", "replace") for field in fields}


class ServerReader:
    """Incremental parser of an endpoint's messages.

    Parameters
    ----------
    max_response_bytes
        The longest message that is accepted.
    report_name
        The name of the ParameterStatus that carries the endpoint's load report.

    Attributes
    ----------
    ready
        Whether the endpoint has accepted the connection and no query is in flight.
    response
        The complete response to the last query, or None; `take_response` removes it.
    reason
        Why the endpoint's bytes were malformed.
    """

    def __init__(self, max_response_bytes: int, report_name: bytes) -> None:
        self._buffer = b""
        self._max_response_bytes = max_response_bytes
        self._report_name = report_name
        self.ready = False
        self._awaiting_response = False
        self._raw: list[bytes] = []
        self._raw_bytes = 0
        self._result = QueryResult()
        self.response: QueryResult | None = None
        self.reason = ""

    @property
    def has_partial_response(self) -> bool:
        """Whether part of a response was received."""
        return bool(self._buffer or self._raw)

    @property
    def held_bytes(self) -> int:
        """How many bytes of an incomplete response, or of one that was not taken, are kept."""
        held = len(self._buffer) + self._raw_bytes
        return held if self.response is None else held + len(self.response.raw)

    @property
    def expected_bytes(self) -> int:
        """The size of an incomplete response, as far as it was announced; 0 if there is none."""
        buffer = self._buffer
        announced = 1 + LENGTH.unpack_from(buffer, 1)[0] if len(buffer) >= 5 else len(buffer)
        return self._raw_bytes + int(announced)

    def take_response(self) -> QueryResult:
        """Returns the complete response, of which the reader keeps nothing: its connection may rest for a long time."""
        response = self.response
        assert response is not None
        self.response = None
        self._result = QueryResult()
        return response

    def begin_response(self) -> None:
        """Prepares for the response to a query; to be called when the query is sent."""
        self._awaiting_response = True
        self.ready = False
        self._clear_raw()
        self._result = QueryResult()
        self.response = None

    def _clear_raw(self) -> None:
        self._raw = []
        self._raw_bytes = 0

    def feed(self, data: bytes) -> Progress:
        """Parses received bytes, in pieces of any size, and returns the state that they lead to."""
        data = self._buffer + data if self._buffer else data
        start = 0
        end = len(data)
        previous_response = self.response
        while start < end:
            if self.ready:
                return self._mark_malformed("unexpected bytes after ReadyForQuery", previous_response)
            kind = data[start]
            in_response = kind in RESPONSE_MESSAGES
            if not in_response and kind not in CONTROL_MESSAGES:
                return self._mark_malformed(f"unexpected message type {kind}", previous_response)
            if end - start < 5:
                break
            size = LENGTH.unpack_from(data, start + 1)[0]
            if not 4 <= size <= self._max_response_bytes:
                return self._mark_malformed(f"invalid message length of {size} bytes", previous_response)
            stop = start + 1 + size
            if stop > end:
                break
            if in_response:
                accepted = self._accept_response_message(kind, data, start, stop)
            else:
                accepted = self._accept_control_message(kind, data, start + 5, stop)
            if not accepted:
                return self._mark_malformed(f"message {chr(kind)} is malformed or out of order", previous_response)
            start = stop
        self._buffer = data[start:]
        if self.response is not None:
            return Progress.RESPONDED
        return Progress.READY if self.ready else Progress.WAITING

    def _mark_malformed(self, reason: str, previous_response: QueryResult | None) -> Progress:
        """Marks the connection as not reusable and records why.

        A response stays valid if it was completed in this call, before the malformed bytes.
        """
        self.ready = False
        self.reason = reason
        return Progress.RESPONDED if self.response is not None and previous_response is None else Progress.MALFORMED

    def _accept_control_message(self, kind: int, data: bytes, body: int, stop: int) -> bool:
        """Handles a message that is not part of a response; returns whether it is well-formed and expected now."""
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

    def _accept_response_message(self, kind: int, data: bytes, start: int, stop: int) -> bool:
        """Handles a message that is part of a response; returns whether it is well-formed and expected now."""
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
        if not self._accept_row_message(kind, data, body, stop):
            return False
        self._raw.append(data[start:stop])
        self._raw_bytes += stop - start
        if kind == COMMAND_COMPLETE:
            self._result.raw = b"".join(self._raw)
            self._clear_raw()
            self.response = self._result
        return True

    def _accept_row_message(self, kind: int, data: bytes, body: int, stop: int) -> bool:
        """Checks a message of a row, which is a RowDescription of one column, a DataRow and a CommandComplete."""
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
            start = self._raw_bytes + VALUE_OFFSET
            self._result.value_range = start, start + size
            return True
        tag = data[body:stop]
        return position == 2 and tag.startswith((b"SELECT ", b"INSERT ", b"SHOW")) and tag.find(b"\0") == len(tag) - 1
