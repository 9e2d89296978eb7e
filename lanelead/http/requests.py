"""The server's side of a connection: reads requests, and refuses what another reader could read otherwise.

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

Headers = list[tuple[bytes, bytes]]


class State(Enum):
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
    keep: bool  # may the connection carry another
    first: dict[bytes, bytes] = field(init=False)  # the first value of each field, by its name in lower case

    def __post_init__(self) -> None:
        self.first = dict(reversed(self.headers))

    def header(self, name: bytes) -> bytes | None:
        """The first value of a field, its name in lower case."""
        return self.first.get(name)


@dataclass(slots=True, frozen=True)
class ContinueExpected:
    """A client waits for 100 Continue before it sends its body."""


@dataclass(slots=True, frozen=True)
class RejectedRequest:
    """What came is not a request that may be served; answer so and close."""

    status: int
    reason: str


Event = HttpRequest | ContinueExpected | RejectedRequest


class _Refused(Exception):
    pass


class RequestReader:
    """One connection's requests. `feed` never raises, whatever the bytes."""

    def __init__(self, head_bytes: int, body_bytes: int) -> None:
        self._most_head, self._most_body = head_bytes, body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        self._refusal: RejectedRequest | None = None
        self._head, self._fed = 0, 0
        self.state = State.IDLE

    def feed(self, data: bytes | bytearray | memoryview) -> list[Event]:
        if self.state is State.OVER or not len(data):
            return []
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refusal = RejectedRequest(501, "no other protocol is spoken here")
        except (httptools.HttpParserCallbackError, _Refused):
            self._refusal = self._refusal or RejectedRequest(400, "a request that cannot be read")
        except httptools.HttpParserError as fault:
            self._refusal = RejectedRequest(400, str(fault)[:120] or "a request that cannot be read")
        except ValueError:
            self._refusal = RejectedRequest(400, "a request that cannot be read")
        if self.state is State.HEAD and self._refusal is None:
            # The parser holds a field until it is whole, so an endless one shows only in what was fed.
            self._fed += len(data)
            if self._fed > self._most_head + 65536:
                self._refusal = RejectedRequest(431, f"a head of over {self._most_head} bytes")
        events, self._events = self._events, []
        if self._refusal is not None:
            events.append(self._refusal)
            self.state = State.OVER
        return events

    def _refuse(self, status: int, reason: str) -> None:
        self._refusal = RejectedRequest(status, reason)
        raise _Refused

    # Called by the parser

    def on_message_begin(self) -> None:
        self.state = State.HEAD
        self._target, self._headers, self._body = b"", list[tuple[bytes, bytes]](), bytearray()
        self._head, self._fed = 0, 0

    def on_url(self, part: bytes) -> None:
        self._target += part
        self._head += len(part)
        if self._head > self._most_head:
            self._too_long()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))
        self._head += len(name) + len(value) + 4
        if self._head > self._most_head:
            self._too_long()

    def _too_long(self) -> None:
        self._refuse(431, f"a head of over {self._most_head} bytes")

    def on_headers_complete(self) -> None:
        version, hosts, chunked = self._parser.get_http_version(), 0, False
        length: bytes | None = None
        expected: bytes | None = None
        for name, value in self._headers:
            if name == b"host":
                hosts += 1
            elif name == b"content-length":
                if length is not None or not value.isdigit():
                    self._refuse(400, "one Content-Length of digits")
                length = value
            elif name == b"transfer-encoding":
                chunked = True
            elif name == b"expect":
                expected = value
        if version not in ("1.0", "1.1"):
            self._refuse(505, "HTTP/1.0 and HTTP/1.1 are spoken here")
        if self._parser.should_upgrade():
            self._refuse(501, "no other protocol is spoken here")
        if version == "1.1" and hosts != 1:
            self._refuse(400, "a request must carry one Host")
        if version == "1.0" and chunked:
            self._refuse(400, "an HTTP/1.0 request is never chunked")
        if length is not None and int(length) > self._most_body:
            self._refuse(413, f"a body of over {self._most_body} bytes")
        if expected is not None and version == "1.1":
            if expected.lower() != b"100-continue":
                self._refuse(417, "the only expectation met is 100-continue")
            if chunked or (length is not None and int(length)):
                self._events.append(ContinueExpected())
        self.state = State.BODY

    def on_body(self, part: bytes) -> None:
        if len(self._body) + len(part) > self._most_body:
            self._refuse(413, f"a body of over {self._most_body} bytes")
        self._body += part

    def on_message_complete(self) -> None:
        if self._refusal is not None:
            return
        method = self._parser.get_method().decode("latin-1")
        keep = bool(self._parser.should_keep_alive())
        if self._events and isinstance(self._events[-1], ContinueExpected):
            self._events.pop()  # the body came along: nobody waits any more
        self._events.append(HttpRequest(method, self._target, self._headers, bytes(self._body), keep))
        self._body = bytearray()
        self.state = State.IDLE
