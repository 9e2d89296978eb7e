"""The client's side of a connection: reads answers, one for each request sent (RFC 9112, section 6.3)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import httptools

from lanelead.http.requests import Headers


class Progress(Enum):
    WAITING = "no whole answer yet"
    WHOLE = "an answer is whole"
    BROKEN = "what came is no answer"


@dataclass(slots=True, eq=False)
class HttpResponse:
    status: int
    headers: Headers
    body: bytes
    keep: bool  # may the connection carry another request

    def header(self, name: bytes) -> bytes | None:
        for key, value in self.headers:
            if key == name:
                return value
        return None


class _Stop(Exception):
    pass


class ResponseReader:
    """One connection's answers. Call `expect` before each request, then `feed` until it says WHOLE or
    BROKEN."""

    def __init__(self, body_bytes: int, head_bytes: int = 65536) -> None:
        self._most, self._most_head = body_bytes, head_bytes
        self._parser = httptools.HttpResponseParser(self)
        self.answer: HttpResponse | None = None
        self.reason = ""
        self.expect(False)

    def expect(self, head: bool) -> None:
        """The next answer is to a HEAD request, or not: those have no body, whatever their length says."""
        self._to_head, self._begun, self._headed, self._surplus = head, False, False, False
        self._headers, self._body, self._size, self._fed = list[tuple[bytes, bytes]](), list[bytes](), 0, 0
        self.answer, self.reason = None, ""

    def feed(self, data: bytes | bytearray | memoryview) -> Progress:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.answer, self.reason = None, "a switch of protocols"
            return Progress.BROKEN
        except (httptools.HttpParserError, ValueError, _Stop) as fault:
            if self.answer is None or not self._to_head:
                self.answer, self.reason = None, self.reason or str(fault)[:120]
                return Progress.BROKEN
        if self._surplus:
            # Guards against a unit that answers twice: which of the two answers was meant is not known.
            self.answer, self.reason = None, "bytes beyond the answer"
            return Progress.BROKEN
        if self.answer is not None:
            return Progress.WHOLE
        self._fed += len(data)
        if not self._headed and self._fed > self._most_head:
            self.reason = "an endless head"
            return Progress.BROKEN
        return Progress.WAITING

    def eof(self) -> Progress:
        """The other end has closed: an answer without a stated length ends here, any other is cut short."""
        if self.answer is None and self._headed and not self._framed:
            self._finish(False)
        return Progress.WHOLE if self.answer is not None else Progress.BROKEN

    @property
    def begun(self) -> bool:
        """Has any part of the answer come?"""
        return self._begun

    # Called by the parser

    def on_message_begin(self) -> None:
        if self.answer is not None:
            self._surplus = True
            raise _Stop
        self._begun = True
        self._headers, self._body, self._size = [], [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        self._framed = any(name in (b"content-length", b"transfer-encoding") for name, _ in self._headers)
        self._framed = self._framed or status in (204, 304) or status < 200
        self._headed = status >= 200
        if self._to_head and status >= 200:
            self._finish(False)
            raise _Stop  # the parser would wait for a body that never comes

    def on_body(self, part: bytes) -> None:
        self._size += len(part)
        if self._size > self._most:
            self.reason = f"a body of over {self._most} bytes"
            raise _Stop
        self._body.append(part)

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200:
            self._begun = self._headed = False
            return
        if self.answer is None:
            self._finish(bool(self._parser.should_keep_alive()))

    def _finish(self, keep: bool) -> None:
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        self.answer = HttpResponse(self._parser.get_status_code(), self._headers, body, keep)
