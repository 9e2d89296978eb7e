"""A small HTTP/1.1 server on asyncio's protocols and our own sans-I/O reader: for the store and stand-ins."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lanelead.http import serialization
from lanelead.http.requests import ContinueExpected, HttpRequest, RejectedRequest, RequestReader


class ServerConnection(asyncio.Protocol):
    """One connection. Requests come one at a time; `heard` is called with each. `linger`: seconds for which
    a connection that was refused is still read from, and nothing of it used: closed at once, it would be
    reset and the refusal lost where the other end still writes."""

    def __init__(
        self,
        heard: Callable[[ServerConnection, HttpRequest], None],
        met: Callable[[ServerConnection], None] | None = None,
        body_bytes: int = 64 << 20,
        linger: float = 0.0,
    ) -> None:
        self._linger, self._refused = linger, False
        self._heard, self._met = heard, met
        self._reader = RequestReader(65536, body_bytes)
        self.transport: asyncio.Transport | None = None
        self.lost: list[Callable[[], None]] = []
        self.heard_at = 0.0  # when the last request came
        self.deaf = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]
        if self._met is not None:
            self._met(self)

    def data_received(self, data: bytes) -> None:
        if self._refused:
            return
        for event in self._reader.feed(data):
            match event:
                case HttpRequest():
                    self._heard(self, event)
                case ContinueExpected():
                    self.write(serialization.CONTINUE)
                case RejectedRequest(status, reason):
                    self.write(serialization.response(status, (), reason.encode(), keep=False))
                    self._refused = True
                    if self._linger:
                        asyncio.get_running_loop().call_later(self._linger, self.close)
                    else:
                        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        for call in self.lost:
            call()

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        if self.transport is not None:
            self.transport.abort()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM = b"HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\ntransfer-encoding: chunked\r\n\r\n"
