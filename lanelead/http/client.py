"""Small HTTP/1.1 calls and line streams: to discovery, the rollout platform, configuration replicas and stores."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator

import httptools

from lanelead.http import serialization
from lanelead.http.responses import HttpResponse, Progress, ResponseReader
from lanelead.protocols.feeds import LineSplitter, MessageError
from lanelead.settings.service_settings import Address

BUFFER = 16384  # bytes read at once
MAX_RESPONSE_BYTES = 16 << 20


class CallFailedError(Exception):
    """The other end could not be reached, or what it sent was no response; the text says why."""


async def connect(loop: asyncio.AbstractEventLoop, address: Address) -> socket.socket:
    """A connected TCP socket, without Nagle's delay. Raises OSError."""
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
    loop: asyncio.AbstractEventLoop, address: Address, method: str, path: bytes, body: bytes, limit: float
) -> HttpResponse:
    """One request on a connection of its own. Raises CallFailedError, or TimeoutError after `limit` seconds."""
    sock: socket.socket | None = None
    try:
        async with asyncio.timeout(limit):
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
    buffer = bytearray(BUFFER)
    view = memoryview(buffer)
    while True:
        size = await loop.sock_recv_into(sock, buffer)
        progress = reader.feed(view[:size]) if size else reader.eof()
        if progress is Progress.BROKEN:
            raise CallFailedError(reader.reason or "the connection was closed")
        if reader.response is not None:
            return reader.response


class _BodyCollector:
    """Collects the parts of a streamed body from the parser."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.over = False

    def on_body(self, part: bytes) -> None:
        """Called by the parser."""
        self.parts.append(part)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.over = True

    def feed(self, data: memoryview) -> list[bytes]:
        """The parts that these bytes bring. Raises CallFailedError where the status isn't 200."""
        self.parser.feed_data(data)
        parts = self.parts
        self.parts = []
        if parts and self.parser.get_status_code() != 200:
            raise CallFailedError(f"status {self.parser.get_status_code()}")
        return parts


async def stream(
    loop: asyncio.AbstractEventLoop, address: Address, path: bytes, silence: float
) -> AsyncIterator[bytes]:
    """The lines of an endless response.

    Raises CallFailedError where the stream ends, errs, or brings nothing for `silence` seconds.
    """
    sock: socket.socket | None = None
    try:
        async with asyncio.timeout(silence):
            sock = await connect(loop, address)
            headers = [(b"host", address.host.encode()), (b"accept", b"application/x-ndjson")]
            await loop.sock_sendall(sock, serialization.request("GET", path, headers, b""))
        collector = _BodyCollector()
        lines = LineSplitter()
        buffer = bytearray(BUFFER)
        view = memoryview(buffer)
        while True:
            async with asyncio.timeout(silence):
                size = await loop.sock_recv_into(sock, buffer)
            if size == 0:
                raise CallFailedError("the stream was closed")
            for part in collector.feed(view[:size]):
                for line in lines.feed(part):
                    yield line
            if collector.over:
                raise CallFailedError("the stream ended")
    except TimeoutError:
        raise CallFailedError(f"silent for {silence:g} s") from None
    except (OSError, httptools.HttpParserError, MessageError) as error:
        raise CallFailedError(str(error)) from None
    finally:
        if sock is not None:
            sock.close()
