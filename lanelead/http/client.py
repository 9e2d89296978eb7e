"""Small HTTP/1.1 calls and line streams, to the roster, the release desk and the store of steps."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator

import httptools

from lanelead.http import serialization
from lanelead.http.responses import HttpResponse, Progress, ResponseReader
from lanelead.protocols.feeds import LineSplitter, MessageError
from lanelead.settings.records import Address

BUFFER = 16384


class CallFailedError(Exception):
    """The other end could not be asked, or what it said was no answer; the text says why."""


async def connect(loop: asyncio.AbstractEventLoop, address: Address) -> socket.socket:
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
    """One request on a connection of its own. Raises Failed, or TimeoutError after `limit` seconds."""
    sock: socket.socket | None = None
    try:
        async with asyncio.timeout(limit):
            sock = await connect(loop, address)
            fields = [(b"host", address.host.encode()), (b"connection", b"close")]
            fields += [(b"content-type", b"application/json")] * bool(body)
            await loop.sock_sendall(sock, serialization.request(method, path, fields, body))
            reader, buffer = ResponseReader(16 << 20), bytearray(BUFFER)
            view = memoryview(buffer)
            while True:
                size = await loop.sock_recv_into(sock, buffer)
                progress = reader.feed(view[:size]) if size else reader.eof()
                if progress is Progress.BROKEN:
                    raise CallFailedError(reader.reason or "the connection was closed")
                if reader.answer is not None:
                    return reader.answer
    except OSError as fault:
        if isinstance(fault, TimeoutError):
            raise
        raise CallFailedError(str(fault)) from None
    finally:
        if sock is not None:
            sock.close()


class _Streamed:
    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.over = False

    def on_body(self, part: bytes) -> None:
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.over = True


async def stream(
    loop: asyncio.AbstractEventLoop, address: Address, path: bytes, silence: float
) -> AsyncIterator[bytes]:
    """The lines of an endless answer. Raises Failed where it ends, errs, or says nothing for `silence`
    seconds."""
    sock: socket.socket | None = None
    try:
        async with asyncio.timeout(silence):
            sock = await connect(loop, address)
            fields = [(b"host", address.host.encode()), (b"accept", b"application/x-ndjson")]
            await loop.sock_sendall(sock, serialization.request("GET", path, fields, b""))
        reader, lines, buffer = _Streamed(), LineSplitter(), bytearray(BUFFER)
        view = memoryview(buffer)
        while True:
            async with asyncio.timeout(silence):
                size = await loop.sock_recv_into(sock, buffer)
            if size == 0:
                raise CallFailedError("the stream was closed")
            reader.parser.feed_data(view[:size])
            parts, reader.parts = reader.parts, []
            if parts and reader.parser.get_status_code() != 200:
                raise CallFailedError(f"status {reader.parser.get_status_code()}")
            for part in parts:
                for line in lines.feed(part):
                    yield line
            if reader.over:
                raise CallFailedError("the stream ended")
    except TimeoutError:
        raise CallFailedError(f"silent for {silence:g} s") from None
    except OSError as fault:
        raise CallFailedError(str(fault)) from None
    except (httptools.HttpParserError, MessageError) as fault:
        raise CallFailedError(str(fault)) from None
    finally:
        if sock is not None:
            sock.close()
