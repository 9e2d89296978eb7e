"""The client's side of a connection: reads responses, one for each request sent (RFC 9112, section 6.3)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import httptools

from lanelead.http.requests import MAX_REASON_CHARACTERS, Headers

BODILESS_STATUSES = (204, 304)
DEFAULT_HEAD_BYTES = 65536
SURPLUS_BYTES = "bytes beyond the response"  # a reader's reason


class Progress(Enum):
    """How far a response has come."""

    WAITING = "no whole response yet"
    WHOLE = "a response is whole"
    BROKEN = "what came is no response"


@dataclass(slots=True, eq=False)
class HttpResponse:
    """A whole response."""

    status: int
    headers: Headers
    body: bytes
    keep: bool  # whether the connection may carry another request

    def header(self, name: bytes) -> bytes | None:
        """The first value of the header called `name` (lower case), or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _StopParsingError(Exception):
    """Raised within the parser's callbacks to end parsing; the reader has noted why."""


class ResponseReader:
    """Reads one connection's responses: call `expect` before each request, then `feed` until it isn't WAITING.

    `body_bytes` and `head_bytes` bound a response's body and head.
    """

    def __init__(self, body_bytes: int, head_bytes: int = DEFAULT_HEAD_BYTES) -> None:
        self._max_body_bytes = body_bytes
        self._max_head_bytes = head_bytes
        self._parser = httptools.HttpResponseParser(self)
        self.response: HttpResponse | None = None
        self.reason = ""
        self.expect(False)

    def expect(self, head: bool) -> None:
        """A request goes out. `head`: by the method HEAD, whose response has no body, whatever its length says."""
        self._to_head = head
        self._begun = False
        self._head_complete = False
        self._has_surplus = False
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._fed_bytes = 0
        self.response = None
        self.reason = ""

    def feed(self, data: bytes | bytearray | memoryview) -> Progress:
        """Reads on with the bytes received; `response` or `reason` say what came of them."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return self._broken("a switch of protocols")
        except (httptools.HttpParserError, ValueError, _StopParsingError) as error:
            if self.response is None or not self._to_head:
                return self._broken(self.reason or str(error)[:MAX_REASON_CHARACTERS])
        if self._has_surplus:
            # Guards against a server that answers twice: which of the two responses was meant is not known.
            return self._broken(SURPLUS_BYTES)
        if self.response is not None:
            return Progress.WHOLE
        self._fed_bytes += len(data)
        if not self._head_complete and self._fed_bytes > self._max_head_bytes:
            self.reason = "an endless head"
            return Progress.BROKEN
        return Progress.WAITING

    def _broken(self, reason: str) -> Progress:
        self.response = None
        self.reason = reason
        return Progress.BROKEN

    def eof(self) -> Progress:
        """The other end has closed: a response without a stated length ends here, any other is cut short."""
        if self.response is None and self._head_complete and not self._framed:
            self._finish(False)
        return Progress.WHOLE if self.response is not None else Progress.BROKEN

    @property
    def begun(self) -> bool:
        """Whether any part of the response has come."""
        return self._begun

    # Called by the parser

    def on_message_begin(self) -> None:
        """A response's first byte has come."""
        if self.response is not None:
            self._has_surplus = True
            raise _StopParsingError
        self._begun = True
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """A whole header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """The head is whole; interim responses (1xx) are passed over."""
        status = self._parser.get_status_code()
        self._framed = any(name in (b"content-length", b"transfer-encoding") for name, _ in self._headers)
        self._framed = self._framed or status in BODILESS_STATUSES or status < 200
        self._head_complete = status >= 200
        if self._to_head and status >= 200:
            self._finish(False)
            raise _StopParsingError  # the parser would wait for a body that never comes

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self._body_bytes += len(part)
        if self._body_bytes > self._max_body_bytes:
            self.reason = f"a body of over {self._max_body_bytes} bytes"
            raise _StopParsingError
        self._body.append(part)

    def on_message_complete(self) -> None:
        """The response, or an interim one, is whole."""
        if self._parser.get_status_code() < 200:
            self._begun = False
            self._head_complete = False
            return
        if self.response is None:
            self._finish(bool(self._parser.should_keep_alive()))

    def _finish(self, keep_alive: bool) -> None:
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self.response = HttpResponse(self._parser.get_status_code(), self._headers, body, keep_alive)
