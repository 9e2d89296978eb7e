"""What a link reads from a unit: bytes in, and whether there is one whole, well-formed answer.

One question is out at a time. An answer is whole with its CommandComplete or ErrorResponse; the connection is
of use again only once ReadyForQuery has come too, with nothing behind it. What does not fit spoils it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from struct import Struct

LENGTH = Struct("!i")
COLUMN_COUNT = Struct("!h")
COLUMN_COUNT_AND_SIZE = Struct("!hi")
IGNORED_MESSAGES = frozenset(b"NA")  # notices and notifications, at any time


class Progress(Enum):
    WAITING = "waiting"
    READY = "ready"  # the unit has welcomed this connection
    RESPONDED = "answered"  # see `answer`
    MALFORMED = "spoilt"  # see `reason`


@dataclass(slots=True)
class QueryResult:
    """A row, as the messages that it came in and as its value, or an error's code. `report`: the text of the
    ParameterStatus that the reader looks for."""

    raw: bytes = b""
    value: bytes | None = None
    error_code: str | None = None
    error_text: str = ""
    report: bytes | None = None


def error_fields(body: bytes) -> dict[str, str] | None:
    """None where the fields don't fill the message."""
    if len(body) < 2 or body[-2:] != b"\0\0":
        return None
    words = body[:-2].split(b"\0")
    if b"" in words:
        return None
    return {chr(word[0]): word[1:].decode("utf-8", "replace") for word in words}


class ServerReader:
    def __init__(self, longest: int, report: bytes) -> None:
        self._rest, self._max_response_bytes, self._report_name = b"", longest, report
        self.ready = False  # welcomed, and nothing is out
        self._awaiting_response = False
        self._raw: list[bytes] = []
        self._answer = QueryResult()
        self.response: QueryResult | None = None
        self.reason = ""

    @property
    def response_begun(self) -> bool:
        """Part of an answer has come."""
        return bool(self._rest or self._raw)

    def begin_response(self) -> None:
        """A question goes out."""
        self._awaiting_response, self.ready = True, False
        self._raw, self._answer, self.response = [], QueryResult(), None

    def feed(self, data: bytes) -> Progress:
        data = self._rest + data if self._rest else data
        at, end, before = 0, len(data), self.response
        while at < end:
            if self.ready:
                return self._malformed("unasked bytes", before)
            kind = data[at]
            if kind not in b"TDCEZSRKNA":
                return self._malformed(f"message type {kind}", before)
            if end - at < 5:
                break
            size = LENGTH.unpack_from(data, at + 1)[0]
            if not 4 <= size <= self._max_response_bytes:
                return self._malformed(f"a message of {size} bytes", before)
            stop = at + 1 + size
            if stop > end:
                break
            if not self._message(kind, data, at, stop):
                return self._malformed(f"message {chr(kind)} out of place or malformed", before)
            at = stop
        self._rest = data[at:]
        if self.response is not None:
            return Progress.RESPONDED
        return Progress.READY if self.ready else Progress.WAITING

    def _malformed(self, reason: str, before: QueryResult | None) -> Progress:
        """What comes behind a whole answer does not spoil it, but the connection is of no more use."""
        self.ready, self.reason = False, reason
        return Progress.RESPONDED if self.response is not None and before is None else Progress.MALFORMED

    def _message(self, kind: int, data: bytes, at: int, stop: int) -> bool:
        body = at + 5
        if kind in IGNORED_MESSAGES:
            return True
        if kind == 0x53:  # S: ParameterStatus
            words = data[body:stop].split(b"\0")
            if len(words) != 3 or words[2]:
                return False
            if words[0] == self._report_name:
                self._answer.report = words[1]
            return True
        if kind == 0x5A:  # Z: ReadyForQuery
            if stop - body != 1 or data[body] not in b"ITE" or (self._awaiting_response and self.response is None):
                return False
            self.ready, self._awaiting_response = True, False
            return True
        if not self._awaiting_response:  # the welcome
            if kind == 0x52:
                return data[body:stop] == b"\0\0\0\0"
            return kind == 0x4B
        if self.response is not None:
            return False
        if kind == 0x45:  # E
            fields = error_fields(data[body:stop])
            if fields is None or "C" not in fields:
                return False
            self._answer.error_code, self._answer.error_text = fields["C"], fields.get("M", "")
            self.response = self._answer
            return True
        if not self._row(kind, data, body, stop):
            return False
        self._raw.append(data[at:stop])
        if kind == 0x43:
            self._answer.raw, self.response = b"".join(self._raw), self._answer
        return True

    def _row(self, kind: int, data: bytes, body: int, stop: int) -> bool:
        """One RowDescription of one column, one DataRow, CommandComplete, in this order."""
        place = len(self._raw)
        if kind == 0x54:
            name = data.find(b"\0", body + 2, stop)
            one = stop - body >= 21 and COLUMN_COUNT.unpack_from(data, body)[0] == 1
            return place == 0 and one and name >= 0 and stop - name == 19
        if kind == 0x44:
            if place != 1 or stop - body < 6:
                return False
            columns, size = COLUMN_COUNT_AND_SIZE.unpack_from(data, body)
            if columns != 1 or size != stop - body - 6:
                return False
            self._answer.value = data[body + 6 : stop]
            return True
        tag = data[body:stop]
        return (
            kind == 0x43
            and place == 2
            and tag.startswith((b"SELECT ", b"INSERT ", b"SHOW"))
            and tag.find(b"\0") == len(tag) - 1
        )
