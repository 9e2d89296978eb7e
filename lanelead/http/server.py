"""A small HTTP/1.1 server connection for configuration replicas, migration stores and emulators.

It is an `asyncio.Protocol` that parses with `RequestReader`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanelead.http import serialization
from lanelead.http.requests import ContinueExpected, HttpRequest, RejectedRequest, RequestReader

MAX_HEAD_BYTES = 65536
MAX_BODY_BYTES = 64 << 20

# Head of a response that streams JSON lines in chunks.
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\ntransfer-encoding: chunked\r\n\r\n"


class ServerConnection(asyncio.Protocol):
    """The connection of one client, which sends one request at a time.

    on_request: called with each request.
    on_connect: called when the connection is made.
    linger: seconds until the connection is closed after a rejected request. Until then received data is discarded: if
        the connection was closed while the client still sends, it would be reset and the response could be lost.
    """

    def __init__(
        self,
        on_request: Callable[[ServerConnection, HttpRequest], None],
        on_connect: Callable[[ServerConnection], None] | None = None,
        body_bytes: int = MAX_BODY_BYTES,
        linger: float = 0.0,
    ) -> None:
        self._on_request = on_request
        self._on_connect = on_connect
        self._linger_seconds = linger
        self._rejected = False
        self._reader = RequestReader(MAX_HEAD_BYTES, body_bytes)
        self.transport: asyncio.Transport | None = None
        self.close_callbacks: list[Callable[[], None]] = []
        self.last_request_at = 0.0  # seconds; set by the emulated endpoint, on its clock; 0: no request yet
        self.unresponsive = False  # set by the emulated endpoint, which then sends no more responses on the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]
        if self._on_connect is not None:
            self._on_connect(self)

    def data_received(self, data: bytes) -> None:
        """Parses received data and handles the requests in it; called by the event loop."""
        if self._rejected:
            return
        for event in self._reader.feed(data):
            match event:
                case HttpRequest():
                    self._on_request(self, event)
                case ContinueExpected():
                    self.write(serialization.CONTINUE)
                case RejectedRequest(status, reason):
                    self._reject(status, reason)

    def _reject(self, status: int, reason: str) -> None:
        self.write(serialization.response(status, (), reason.encode(), keep=False))
        self._rejected = True
        if self._linger_seconds:
            asyncio.get_running_loop().call_later(self._linger_seconds, self.close)
        else:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Calls the close callbacks; called by the event loop."""
        self.transport = None
        for callback in self.close_callbacks:
            callback()

    def write(self, data: bytes) -> None:
        """Sends data, or discards it if the connection has ended."""
        if self.transport is not None:
            self.transport.write(data)

    def close(self) -> None:
        """Closes the connection after all written data has been sent."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Closes the connection at once; written data may be lost."""
        if self.transport is not None:
            self.transport.abort()


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body (RFC 9112, section 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)
