"""The client side of a connection: parses responses, one for each request sent (RFC 9112, section 6.3)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import httptools

from lanelead.http.requests import MAX_REASON_CHARACTERS, Headers

BODILESS_STATUSES = (204, 304)
DEFAULT_HEAD_BYTES = 65536
SURPLUS_BYTES = "bytes beyond the response"  # value of `ResponseReader.reason`


class Progress(Enum):
    """The state of the response that a reader parses."""

    WAITING = "incomplete"
    COMPLETE = "complete"
    INVALID = "invalid"


@dataclass(slots=True, eq=False)
class HttpResponse:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes
    keep: bool  # whether the connection may carry another request

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of the header `name` (in lower case), or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _StopParsingError(Exception):
    """Raised in the parser's callbacks to end parsing; the reader's attributes have the response or the reason."""


class ResponseReader:
    """Parses the responses of one connection.

    Call `expect` before each request, then `feed` until it returns something other than WAITING. `body_bytes` and
    `head_bytes` are the maximum sizes of a response's body and head. `response` is the complete response, `reason` says
    why it is invalid.
    """

    def __init__(self, body_bytes: int, head_bytes: int = DEFAULT_HEAD_BYTES) -> None:
        self._max_body_bytes = body_bytes
        self._max_head_bytes = head_bytes
        self._parser = httptools.HttpResponseParser(self)
        self.response: HttpResponse | None = None
        self.reason = ""
        self.expect(False)

    def expect(self, head: bool) -> None:
        """Prepares for the response to the next request.

        head: whether the request's method is HEAD; its response has no body, whatever its Content-Length is.
        """
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
        """Parses received bytes; sets `response` once it is complete, or `reason` if it is invalid."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return self._broken("unexpected protocol upgrade")
        except (httptools.HttpParserError, ValueError, _StopParsingError) as error:
            if self.response is None or not self._to_head:
                return self._broken(self.reason or str(error)[:MAX_REASON_CHARACTERS])
        if self._has_surplus:
            # Guards against a server that responds twice: it is not known which response belongs to the request.
            return self._broken(SURPLUS_BYTES)
        if self.response is not None:
            return Progress.COMPLETE
        self._fed_bytes += len(data)
        if not self._head_complete and self._fed_bytes > self._max_head_bytes:
            self.reason = "response head too long"
            return Progress.INVALID
        return Progress.WAITING

    def _broken(self, reason: str) -> Progress:
        self.response = None
        self.reason = reason
        return Progress.INVALID

    def eof(self) -> Progress:
        """Handles the close of the connection.

        A response without a stated length is then complete; any other incomplete response is truncated, hence BROKEN.
        """
        if self.response is None and self._head_complete and not self._framed:
            self._finish(False)
        return Progress.COMPLETE if self.response is not None else Progress.INVALID

    def take_response(self) -> HttpResponse:
        """Returns the complete response, of which the reader keeps nothing: its connection may rest for a long time."""
        response = self.response
        assert response is not None
        self.expect(False)
        return response

    @property
    def held_bytes(self) -> int:
        """How many bytes of a body, complete or not, are kept."""
        return self._body_bytes

    @property
    def begun(self) -> bool:
        """Whether any part of the response has been received."""
        return self._begun

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Resets the state at the first byte of a response; a second response to one request ends parsing."""
        if self.response is not None:
            self._has_surplus = True
            raise _StopParsingError
        self._begun = True
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a complete header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determines how the body is framed; the response to a HEAD request is complete here."""
        status = self._parser.get_status_code()
        self._framed = any(name in (b"content-length", b"transfer-encoding") for name, _ in self._headers)
        self._framed = self._framed or status in BODILESS_STATUSES or status < 200
        self._head_complete = status >= 200
        if self._to_head and status >= 200:
            self._finish(False)
            raise _StopParsingError  # the parser would wait for the body, which is never sent

    def on_body(self, part: bytes) -> None:
        """Adds a part of the body."""
        self._body_bytes += len(part)
        if self._body_bytes > self._max_body_bytes:
            self.reason = f"response body longer than {self._max_body_bytes} bytes"
            raise _StopParsingError
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Completes the response; an interim response (1xx) is discarded."""
        if self._parser.get_status_code() < 200:
            self._begun = False
            self._head_complete = False
            return
        if self.response is None:
            self._finish(bool(self._parser.should_keep_alive()))

    def _finish(self, keep_alive: bool) -> None:
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self.response = HttpResponse(self._parser.get_status_code(), self._headers, body, keep_alive)
