"""The server's side of a connection: reads requests and refuses what another reader could read otherwise.

Rules, in the order in which they act (RFC 9112 unless said otherwise):
 1. the head stays within its bound (section 3: 431 is RFC 6585, section 5)
 2. framing is beyond doubt: llhttp in strict mode refuses both length headers, repeated lengths, bad chunk
    sizes, obs-fold, bare LF and white space before a colon (sections 2.2, 5.1, 5.2, 6.1 to 6.3, 7.1)
 3. the version is 1.0 or 1.1, a 1.0 request is not chunked (6.1), a 1.1 request has one Host (3.2)
 4. the body stays within its bound (413, RFC 9110, section 15.5.14)
 5. an expectation other than 100-continue is refused (417, RFC 9110, section 10.1.1)
After a refusal the connection is over: nothing behind it is read, since its place is no longer certain.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import httptools

Headers = list[tuple[bytes, bytes]]  # field names in lower case, and values, in the order received

PARSER_HEAD_SLACK_BYTES = 65536  # the parser holds a header back until it is whole
MAX_REASON_CHARACTERS = 120
UNREADABLE_REQUEST = "a request that cannot be read"


class State(Enum):
    """Where in the byte stream a reader stands."""

    IDLE = "between requests"
    HEAD = "in a head"
    BODY = "in a body"
    OVER = "over"


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A whole request."""

    method: str
    target: bytes
    headers: Headers
    body: bytes
    keep: bool  # whether the connection may carry another request
    first: dict[bytes, bytes] = field(init=False)  # the first value of each header, by its name in lower case

    def __post_init__(self) -> None:
        self.first = dict(reversed(self.headers))

    def header(self, name: bytes) -> bytes | None:
        """The first value of the header called `name` (lower case), or None."""
        return self.first.get(name)


@dataclass(slots=True, frozen=True)
class ContinueExpected:
    """A client waits for 100 Continue before it sends its body."""


@dataclass(slots=True, frozen=True)
class RejectedRequest:
    """What came is not a request that may be served: answer with this status and reason, then close."""

    status: int
    reason: str


Event = HttpRequest | ContinueExpected | RejectedRequest


class _StopParsingError(Exception):
    """Raised within the parser's callbacks to end parsing; the reader has noted why."""


@dataclass(slots=True)
class _FramingHeaders:
    """What a head says of its host, its body's framing and its expectation."""

    hosts: int = 0
    chunked: bool = False
    content_length: bytes | None = None
    expectation: bytes | None = None


class RequestReader:
    """Reads one connection's requests.

    `head_bytes` and `body_bytes` bound a request's head and body.
    """

    def __init__(self, head_bytes: int, body_bytes: int) -> None:
        self._max_head_bytes = head_bytes
        self._max_body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        self._rejection: RejectedRequest | None = None
        self._head_bytes = 0
        self._fed_bytes = 0
        self.state = State.IDLE

    def feed(self, data: bytes | bytearray | memoryview) -> list[Event]:
        """Reads on with the bytes received, and returns what they complete. Never raises, whatever the bytes."""
        if self.state is State.OVER or not len(data):
            return []
        self._parse(data)
        if self.state is State.HEAD and self._rejection is None:
            # An endless header shows only in what was fed, since the parser holds it back until it is whole.
            self._fed_bytes += len(data)
            if self._fed_bytes > self._max_head_bytes + PARSER_HEAD_SLACK_BYTES:
                self._rejection = self._head_too_long()
        events = self._events
        self._events = []
        if self._rejection is not None:
            events.append(self._rejection)
            self.state = State.OVER
        return events

    def _parse(self, data: bytes | bytearray | memoryview) -> None:
        """Feeds the parser; its errors become the connection's rejection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._rejection = RejectedRequest(501, "no other protocol is spoken here")
        except (httptools.HttpParserCallbackError, _StopParsingError):
            self._rejection = self._rejection or RejectedRequest(400, UNREADABLE_REQUEST)
        except httptools.HttpParserError as error:
            self._rejection = RejectedRequest(400, str(error)[:MAX_REASON_CHARACTERS] or UNREADABLE_REQUEST)
        except ValueError:
            self._rejection = RejectedRequest(400, UNREADABLE_REQUEST)

    def _reject(self, status: int, reason: str) -> None:
        self._rejection = RejectedRequest(status, reason)
        raise _StopParsingError

    def _head_too_long(self) -> RejectedRequest:
        return RejectedRequest(431, f"a head of over {self._max_head_bytes} bytes")

    def _check_head_bound(self) -> None:
        if self._head_bytes > self._max_head_bytes:
            self._rejection = self._head_too_long()
            raise _StopParsingError

    # Called by the parser

    def on_message_begin(self) -> None:
        """A request's first byte has come."""
        self.state = State.HEAD
        self._target = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._fed_bytes = 0

    def on_url(self, part: bytes) -> None:
        """A part of the request target."""
        self._target += part
        self._head_bytes += len(part)
        self._check_head_bound()

    def on_header(self, name: bytes, value: bytes) -> None:
        """A whole header."""
        self._headers.append((name.lower(), value))
        self._head_bytes += len(name) + len(value) + 4
        self._check_head_bound()

    def on_headers_complete(self) -> None:
        """The head is whole: the rules of the module's comment are checked."""
        framing = self._framing_headers()
        version = self._parser.get_http_version()
        if version not in ("1.0", "1.1"):
            self._reject(505, "HTTP/1.0 and HTTP/1.1 are spoken here")
        if self._parser.should_upgrade():
            self._reject(501, "no other protocol is spoken here")
        if version == "1.1" and framing.hosts != 1:
            self._reject(400, "a request must carry one Host")
        if version == "1.0" and framing.chunked:
            self._reject(400, "an HTTP/1.0 request is never chunked")
        if framing.content_length is not None and int(framing.content_length) > self._max_body_bytes:
            self._reject(413, f"a body of over {self._max_body_bytes} bytes")
        if framing.expectation is not None and version == "1.1":
            self._expect_continue(framing)
        self.state = State.BODY

    def _framing_headers(self) -> _FramingHeaders:
        found = _FramingHeaders()
        for name, value in self._headers:
            if name == b"host":
                found.hosts += 1
            elif name == b"content-length":
                if found.content_length is not None or not value.isdigit():
                    self._reject(400, "one Content-Length of digits")
                found.content_length = value
            elif name == b"transfer-encoding":
                found.chunked = True
            elif name == b"expect":
                found.expectation = value
        return found

    def _expect_continue(self, framing: _FramingHeaders) -> None:
        assert framing.expectation is not None
        if framing.expectation.lower() != b"100-continue":
            self._reject(417, "the only expectation met is 100-continue")
        if framing.chunked or (framing.content_length is not None and int(framing.content_length)):
            self._events.append(ContinueExpected())

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        if len(self._body) + len(part) > self._max_body_bytes:
            self._reject(413, f"a body of over {self._max_body_bytes} bytes")
        self._body += part

    def on_message_complete(self) -> None:
        """The request is whole."""
        if self._rejection is not None:
            return
        method = self._parser.get_method().decode("latin-1")
        keep_alive = bool(self._parser.should_keep_alive())
        if self._events and isinstance(self._events[-1], ContinueExpected):
            self._events.pop()  # the body came along: nobody waits any more
        self._events.append(HttpRequest(method, self._target, self._headers, bytes(self._body), keep_alive))
        self._body = bytearray()
        self.state = State.IDLE
