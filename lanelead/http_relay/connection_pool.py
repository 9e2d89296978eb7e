"""Connections to endpoints: one pool for each endpoint's present address, and the task that reads each connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lanelead.decisions.interface import Attempt, Endpoint
from lanelead.http.responses import HttpResponse, Progress, ResponseReader
from lanelead.runtime.destination import Destination

BUFFER_BYTES = 16384  # read at once
MAX_SPARE_BUFFERS = 256


@dataclass(frozen=True, kw_only=True)
class PoolLimits:
    """`connect_seconds`: until a connection stands, waiting for a free place included."""

    connect_seconds: float
    idle_seconds: float
    connections: int  # to one endpoint
    response_bytes: int


class UpstreamConnection:
    """One connection to an endpoint. It carries one request at a time; a task of its own reads all that comes."""

    __slots__ = ("attempt", "buffer", "closed", "health_check", "idle_since", "pool", "reader", "sock", "writing")

    def __init__(self, sock: socket.socket, pool: EndpointPool, buffer: bytearray, response_bytes: int) -> None:
        self.sock = sock
        self.pool = pool
        self.buffer = buffer
        self.reader = ResponseReader(response_bytes)
        self.attempt: Attempt | None = None  # whose response is awaited
        self.health_check: asyncio.Future[HttpResponse | None] | None = None  # the same, of a health check
        self.writing = False
        self.closed = False
        self.idle_since = 0.0


class EndpointPool:
    """The connections to one endpoint's present address."""

    def __init__(self, destination: Destination) -> None:
        self.destination = destination
        self.idle: list[UpstreamConnection] = []  # the one used last at the end
        self.in_use = 0  # or being opened, or being closed
        self.replaced = False  # the endpoint has another address or incarnation by now
        self.freed: asyncio.Event | None = None  # set when a connection is given back, where some wait

    def notify_freed(self) -> None:
        """Wakes those that wait for a connection."""
        if self.freed is not None:
            self.freed.set()


class ConnectionPools:
    """All pools of a relay.

    `response_received` is called with a connection, the response (None: the connection failed, or what came was no
    response) and whether the connection is still open.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: PoolLimits,
        response_received: Callable[[UpstreamConnection, HttpResponse | None, bool], None],
        log: Any,
    ) -> None:
        self._loop = loop
        self._limits = limits
        self._response_received = response_received
        self._log = log
        self._pools: dict[Endpoint, EndpointPool] = {}
        self._spare_buffers: list[bytearray] = []
        self._readers: set[asyncio.Task[None]] = set()
        self.opened = 0
        self.reused = 0

    def pool_of(self, endpoint: Endpoint, destination: Destination) -> EndpointPool:
        """The pool of an endpoint's address; the connections to an earlier address are closed."""
        pool = self._pools.get(endpoint)
        if pool is None or pool.destination != destination:
            if pool is not None:
                pool.replaced = True
                self._close_all_idle(pool)
            pool = EndpointPool(destination)
            self._pools[endpoint] = pool
        return pool

    def take_idle(self, pool: EndpointPool) -> UpstreamConnection | None:
        """The idle connection that was used last, or None."""
        if not pool.idle:
            return None
        pool.in_use += 1
        self.reused += 1
        return pool.idle.pop()

    async def open(self, pool: EndpointPool) -> UpstreamConnection | None:
        """Another connection, or one that is given back meanwhile; None where there was none in time."""
        end = self._loop.time() + self._limits.connect_seconds
        while pool.in_use >= self._limits.connections:
            if not await self._wait_until_freed(pool, end):
                return None
            connection = self.take_idle(pool)
            if connection is not None:
                return connection
        pool.in_use += 1
        sock = await self._connect(pool, end)
        if sock is None:
            return None
        self.opened += 1
        connection = UpstreamConnection(sock, pool, self._take_buffer(), self._limits.response_bytes)
        task = self._loop.create_task(self._read(connection))
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)
        return connection

    async def _wait_until_freed(self, pool: EndpointPool, end: float) -> bool:
        if pool.freed is None:
            pool.freed = asyncio.Event()
        pool.freed.clear()
        try:
            async with asyncio.timeout_at(end):
                await pool.freed.wait()
        except TimeoutError:
            return False
        return True

    async def _connect(self, pool: EndpointPool, end: float) -> socket.socket | None:
        destination = pool.destination
        sock = None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in destination.host else socket.AF_INET)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout_at(end):
                await self._loop.sock_connect(sock, (destination.host, destination.port))
        except BaseException as error:
            pool.in_use -= 1
            if sock is not None:
                sock.close()
            if isinstance(error, OSError | TimeoutError):
                return None
            raise
        return sock

    def _take_buffer(self) -> bytearray:
        return self._spare_buffers.pop() if self._spare_buffers else bytearray(BUFFER_BYTES)

    async def _read(self, connection: UpstreamConnection) -> None:
        """Reads all that comes on a connection, responses and what nobody requested, until it ends."""
        view = memoryview(connection.buffer)
        try:
            while True:
                size = await self._loop.sock_recv_into(connection.sock, connection.buffer)
                if connection.closed or (connection.attempt is None and connection.health_check is None):
                    break  # cancelled, or closed while it was idle, or unrequested bytes: of no more use
                progress = connection.reader.feed(view[:size]) if size else connection.reader.eof()
                if progress is Progress.WAITING:
                    continue
                response = connection.reader.response if progress is Progress.WHOLE else None
                self._response_received(connection, response, size > 0)
                if connection.closed:
                    break
        except OSError:
            pass
        except Exception:  # noqa: BLE001 - the task's outermost edge: logged, and its request gets an outcome
            self._log.exception("a connection to an endpoint failed")
        finally:
            view.release()
            self._reader_ended(connection)

    def _reader_ended(self, connection: UpstreamConnection) -> None:
        self.failed(connection)
        connection.closed = True
        pool = connection.pool
        if connection in pool.idle:
            pool.idle.remove(connection)
        else:
            pool.in_use -= 1
        connection.sock.close()
        if len(self._spare_buffers) < MAX_SPARE_BUFFERS:
            self._spare_buffers.append(connection.buffer)
        pool.notify_freed()

    def failed(self, connection: UpstreamConnection) -> None:
        """The connection failed: what was in flight on it may have run."""
        if connection.attempt is not None or connection.health_check is not None:
            self._response_received(connection, None, False)

    def give_back(self, connection: UpstreamConnection) -> None:
        """The connection is idle from now on."""
        pool = connection.pool
        pool.in_use -= 1
        connection.idle_since = self._loop.time()
        pool.idle.append(connection)
        pool.notify_freed()

    def close(self, connection: UpstreamConnection) -> None:
        """Ends a connection: its reads fail, and the task that reads it clears up."""
        connection.closed = True
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_RDWR)

    def _close_all_idle(self, pool: EndpointPool) -> None:
        idle = pool.idle
        pool.idle = []
        pool.in_use += len(idle)  # until the tasks that read them have cleared up
        for connection in idle:
            self.close(connection)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes an endpoint's idle connections."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            self._close_all_idle(pool)

    def sweep(self) -> None:
        """Closes what has been idle for longer than the limit; called now and then."""
        oldest = self._loop.time() - self._limits.idle_seconds
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since < oldest:
                pool.in_use += 1
                self.close(pool.idle.pop(0))

    async def shut_down(self) -> None:
        """Closes all idle connections and waits until all readers have ended; for the end of the process."""
        for pool in self._pools.values():
            self._close_all_idle(pool)
        await asyncio.gather(*self._readers, return_exceptions=True)
