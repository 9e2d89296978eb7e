"""The server side of a connection: parses requests and rejects those that another parser could frame differently.

Rejecting them guards against request smuggling. The checks, in the order in which they apply (sections are those of
RFC 9112 unless stated otherwise):
 1. The head does not exceed its limits of bytes and of headers (section 3; status 431: RFC 6585, section 5).
 2. The framing is unambiguous: llhttp in strict mode rejects Content-Length together with Transfer-Encoding, repeated
    lengths, bad chunk sizes, obs-fold, bare LF and white space before a colon (2.2, 5.1, 5.2, 6.1 to 6.3, 7.1).
 3. The version is 1.0 or 1.1, a 1.0 request is not chunked (6.1), a 1.1 request has exactly one Host (3.2).
 4. The body does not exceed its limit (status 413: RFC 9110, section 15.5.14).
 5. There is no expectation other than 100-continue (status 417: RFC 9110, section 10.1.1).
After a rejected request nothing more is read from the connection, since it is not certain where the next one starts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import httptools

Headers = list[tuple[bytes, bytes]]  # field names in lower case, and values, in the order received

# How many bytes beyond the head's limit may be fed, since the parser buffers a header until it is complete.
PARSER_HEAD_SLACK_BYTES = 65536
MAX_HEADERS = 200  # of a request; each costs far more memory and time than its bytes
HEADER_BYTES = 160  # counted for each header that is kept, in addition to its text
MAX_REASON_CHARACTERS = 120
UNREADABLE_REQUEST = "a request that cannot be read"


class State(Enum):
    """The position of a reader in the byte stream."""

    IDLE = "between requests"
    HEAD = "in a head"
    BODY = "in a body"
    OVER = "over"  # a request was rejected; nothing more is read


@dataclass(slots=True, eq=False)
class HttpRequest:
    """A complete request."""

    method: str
    target: bytes
    headers: Headers
    body: bytes
    keep: bool  # whether the connection may carry another request
    first_values: dict[bytes, bytes] = field(init=False)  # first value of each header, by its name in lower case

    def __post_init__(self) -> None:
        self.first_values = dict(reversed(self.headers))

    @property
    def held_bytes(self) -> int:
        """About how much memory the request takes."""
        text = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.target) + text + HEADER_BYTES * len(self.headers) + len(self.body)

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of the header `name` (in lower case), or None."""
        return self.first_values.get(name)


@dataclass(slots=True, frozen=True)
class ContinueExpected:
    """The client waits for a 100 Continue response before it sends its body."""


@dataclass(slots=True, frozen=True)
class RejectedRequest:
    """A request that must not be served: respond with this status and reason, then close the connection."""

    status: int
    reason: str


Event = HttpRequest | ContinueExpected | RejectedRequest


class _StopParsingError(Exception):
    """Raised in the parser's callbacks to end parsing; the reason is in the reader's `_rejection`."""


@dataclass(slots=True)
class _FramingHeaders:
    """The headers of a request that describe its host, the framing of its body and its expectation."""

    hosts: int = 0
    chunked: bool = False
    content_length: bytes | None = None
    expectation: bytes | None = None


class RequestReader:
    """Parses the requests of one connection.

    `head_bytes` and `body_bytes` are the maximum sizes of a request's head and body.
    """

    def __init__(self, head_bytes: int, body_bytes: int) -> None:
        self._max_head_bytes = head_bytes
        self._max_body_bytes = body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        self._rejection: RejectedRequest | None = None
        self._head_bytes = 0
        self._fed_bytes = 0
        self._headers: Headers = []
        self._body = bytearray()
        self.state = State.IDLE

    @property
    def held_bytes(self) -> int:
        """About how much memory an incomplete request takes."""
        if self.state is State.HEAD:
            return self._fed_bytes + HEADER_BYTES * len(self._headers)
        if self.state is State.BODY:
            return self._head_bytes + HEADER_BYTES * len(self._headers) + len(self._body)
        return 0

    def stop(self) -> None:
        """Drops an incomplete request and ignores all further bytes."""
        self.state = State.OVER
        self._headers = []
        self._body = bytearray()

    def feed(self, data: bytes | bytearray | memoryview) -> list[Event]:
        """Parses received bytes and returns the events that they complete. Does not raise, whatever the bytes are."""
        if self.state is State.OVER or not len(data):
            return []
        self._parse(data)
        if self.state is State.HEAD and self._rejection is None:
            # The parser reports a header only when it is complete; counting the fed bytes finds one that never ends.
            self._fed_bytes += len(data)
            if self._fed_bytes > self._max_head_bytes + PARSER_HEAD_SLACK_BYTES:
                self._rejection = self._head_too_long()
        events = self._events
        self._events = []
        if self._rejection is not None:
            events.append(self._rejection)
            self.stop()
        return events

    def _parse(self, data: bytes | bytearray | memoryview) -> None:
        """Feeds the parser, and turns its errors into the connection's rejection."""
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

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Resets the state at the first byte of a request."""
        self.state = State.HEAD
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._fed_bytes = 0

    def on_url(self, part: bytes) -> None:
        """Adds a part of the request target."""
        self._target += part
        self._head_bytes += len(part)
        self._check_head_bound()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a complete header."""
        self._headers.append((name.lower(), value))
        self._head_bytes += len(name) + len(value) + 4
        self._check_head_bound()
        if len(self._headers) > MAX_HEADERS:
            self._reject(431, f"a head of over {MAX_HEADERS} headers")

    def on_headers_complete(self) -> None:
        """Applies the checks of the module's doc comment to the complete head."""
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
        """Adds a part of the body."""
        if len(self._body) + len(part) > self._max_body_bytes:
            self._reject(413, f"a body of over {self._max_body_bytes} bytes")
        self._body += part

    def on_message_complete(self) -> None:
        """Adds the complete request to the events."""
        if self._rejection is not None:
            return
        method = self._parser.get_method().decode("latin-1")
        keep_alive = bool(self._parser.should_keep_alive())
        if self._events and isinstance(self._events[-1], ContinueExpected):
            self._events.pop()  # the client sent its body without waiting for 100 Continue
        self._events.append(HttpRequest(method, self._target, self._headers, bytes(self._body), keep_alive))
        self._body = bytearray()
        self.state = State.IDLE
