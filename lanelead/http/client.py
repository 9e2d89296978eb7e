"""A small HTTP/1.1 client for single calls and streams of lines.

It is used for discovery, the rollout platform, configuration replicas and migration stores.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator

import httptools

from lanelead.http import serialization
from lanelead.http.responses import HttpResponse, Progress, ResponseReader
from lanelead.protocols.feeds import LineSplitter, MessageError
from lanelead.settings.service_settings import Address

BUFFER_BYTES = 16384  # maximum size of one read
MAX_RESPONSE_BYTES = 16 << 20


class CallFailedError(Exception):
    """The server could not be reached or did not send a valid response; the text gives the reason."""


async def connect(loop: asyncio.AbstractEventLoop, address: Address) -> socket.socket:
    """Opens a TCP connection with TCP_NODELAY set. Raises OSError."""
    sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await loop.sock_connect(sock, (address.host, address.port))
    except BaseException:
        sock.close()
        raise
    return sock


async def call(
    loop: asyncio.AbstractEventLoop, address: Address, method: str, path: bytes, body: bytes, timeout_seconds: float
) -> HttpResponse:
    """Sends a request on a new connection and returns the response.

    Raises CallFailedError, or TimeoutError if the response is not complete within `timeout_seconds`.
    """
    sock: socket.socket | None = None
    try:
        async with asyncio.timeout(timeout_seconds):
            sock = await connect(loop, address)
            headers = [(b"host", address.host.encode()), (b"connection", b"close")]
            if body:
                headers.append((b"content-type", b"application/json"))
            await loop.sock_sendall(sock, serialization.request(method, path, headers, body))
            return await _read_response(loop, sock)
    except TimeoutError:
        raise
    except OSError as error:
        raise CallFailedError(str(error)) from None
    finally:
        if sock is not None:
            sock.close()


async def _read_response(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> HttpResponse:
    reader = ResponseReader(MAX_RESPONSE_BYTES)
    buffer = bytearray(BUFFER_BYTES)
    view = memoryview(buffer)
    while True:
        size = await loop.sock_recv_into(sock, buffer)
        progress = reader.feed(view[:size]) if size else reader.eof()
        if progress is Progress.INVALID:
            raise CallFailedError(reader.reason or "connection closed before the response was complete")
        if reader.response is not None:
            return reader.response


class _BodyCollector:
    """Collects the parts of a streamed response body from the parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.complete = False

    def on_body(self, part: bytes) -> None:
        """Adds a part of the body; called by the parser."""
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Marks the body as complete; called by the parser."""
        self.complete = True

    def feed(self, data: memoryview) -> list[bytes]:
        """Returns the parts of the body in `data`. Raises CallFailedError if the status is not 200."""
        self.parser.feed_data(data)
        parts = self.parts
        self.parts = []
        if parts and self.parser.get_status_code() != 200:
            raise CallFailedError(f"status {self.parser.get_status_code()}; expected 200")
        return parts


async def stream(
    loop: asyncio.AbstractEventLoop, address: Address, path: bytes, idle_seconds: float
) -> AsyncIterator[bytes]:
    """Sends a GET request and yields the lines of the response, which has no end.

    Raises CallFailedError if the stream ends, fails, or receives no data for `idle_seconds`.
    """
    sock: socket.socket | None = None
    try:
        async with asyncio.timeout(idle_seconds):
            sock = await connect(loop, address)
            headers = [(b"host", address.host.encode()), (b"accept", b"application/x-ndjson")]
            await loop.sock_sendall(sock, serialization.request("GET", path, headers, b""))
        collector = _BodyCollector()
        lines = LineSplitter()
        buffer = bytearray(BUFFER_BYTES)
        view = memoryview(buffer)
        while True:
            async with asyncio.timeout(idle_seconds):
                size = await loop.sock_recv_into(sock, buffer)
            if size == 0:
                raise CallFailedError("the server closed the connection of the stream")
            for part in collector.feed(view[:size]):
                for line in lines.feed(part):
                    yield line
            if collector.complete:
                raise CallFailedError("the server ended the stream")
    except TimeoutError:
        raise CallFailedError(f"no data for {idle_seconds:g} s") from None
    except (OSError, httptools.HttpParserError, MessageError) as error:
        raise CallFailedError(str(error)) from None
    finally:
        if sock is not None:
            sock.close()
