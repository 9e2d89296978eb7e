"""Connections to endpoints: a pool for each endpoint's current address, and a reading task for each connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lanelead.decisions.interface import Attempt, Endpoint, EndpointStatus
from lanelead.http.responses import HttpResponse, Progress, ResponseReader
from lanelead.runtime.destination import Destination
from lanelead.runtime.peer_close import is_idle_socket
from lanelead.runtime.process_memory import MemoryPlan

REUSE_DELAY_SECONDS = 0.01  # before a connection is used again: a second copy of a response may follow the first one
BUFFER_BYTES = 16384  # maximum size of one read
MAX_SPARE_BUFFERS = 256
TIMER_RESOLUTION_SECONDS = 0.001  # of the event loop (uvloop)


@dataclass(frozen=True, kw_only=True)
class PoolLimits:
    """Limits of the pools.

    connect_seconds: maximum time to get a connection, including the wait until one of the pool's is returned.
    idle_seconds: maximum time for which a connection stays idle.
    connections: maximum number of connections to one endpoint.
    response_bytes: maximum size of a response body.
    """

    connect_seconds: float
    idle_seconds: float
    connections: int
    response_bytes: int


class UpstreamConnection:
    """A connection to an endpoint. It carries one request at a time; its own task reads everything received on it."""

    __slots__ = (
        "attempt",
        "buffer",
        "closed",
        "counted_bytes",
        "health_check",
        "idle_since",
        "pool",
        "reader",
        "sock",
        "writable",
        "writing",
    )

    def __init__(self, sock: socket.socket, pool: EndpointPool, buffer: bytearray, response_bytes: int) -> None:
        self.sock = sock
        self.pool = pool
        self.buffer = buffer
        self.reader = ResponseReader(response_bytes)
        self.attempt: Attempt | None = None  # the attempt that waits for a response
        self.health_check: asyncio.Future[HttpResponse | None] | None = None  # the health check that waits for one
        self.writing = False
        self.writable: asyncio.Future[None] | None = None  # of the task that waits to write more
        self.closed = False
        self.counted_bytes = 0  # of a response that has arrived in part
        self.idle_since = 0.0

    def send_some(self, data: memoryview) -> int:
        """Sends what the kernel accepts at once; returns the number of bytes. Raises OSError if the send fails."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    def stop_waiting(self) -> None:
        """Wakes the task that waits to write more, if there is one."""
        if self.writable is not None and not self.writable.done():
            self.writable.set_result(None)


class EndpointPool:
    """The connections to one endpoint's current address."""

    def __init__(self, destination: Destination) -> None:
        self.destination = destination
        self.idle: list[UpstreamConnection] = []  # the most recently used one last
        self.delayed: dict[UpstreamConnection, None] = {}  # returned less than REUSE_DELAY_SECONDS ago
        self.in_use = 0  # number of connections in use, delayed, being opened or being closed
        self.replaced = False  # whether the endpoint has moved to another address or incarnation
        self.freed: asyncio.Event | None = None  # set when a connection is returned or closed; None: nobody has waited

    def notify_freed(self) -> None:
        """Wakes the tasks that wait for a connection."""
        if self.freed is not None:
            self.freed.set()


class ConnectionPools:
    """All connection pools of a relay.

    `response_received` is called with a connection, the response (None: the connection failed or the response was
    invalid) and whether the connection is still open.
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
        self.memory: MemoryPlan | None = None  # set by the service, as is the next
        self.add_response_bytes: Callable[[int], None] = lambda difference: None
        self._spare_buffers: list[bytearray] = []
        self._reuse_queue: deque[tuple[float, UpstreamConnection]] = deque()  # with the time at which each may be used
        self._reader_tasks: set[asyncio.Task[None]] = set()
        self.opened = 0
        self.reused = 0

    def pool_of(self, endpoint: Endpoint, destination: Destination) -> EndpointPool:
        """Returns the pool of an endpoint's current address; closes idle connections to an earlier address."""
        pool = self._pools.get(endpoint)
        if pool is None or pool.destination != destination:
            if pool is not None:
                pool.replaced = True
                self._close_all_idle(pool)
            pool = EndpointPool(destination)
            self._pools[endpoint] = pool
        return pool

    def take_idle(self, pool: EndpointPool) -> UpstreamConnection | None:
        """Takes the most recently used idle connection out of a pool, or returns None.

        Closes connections on which unsolicited bytes have arrived or which the endpoint has closed.
        """
        while pool.idle:
            connection = pool.idle.pop()
            pool.in_use += 1
            if is_idle_socket(connection.sock):
                self.reused += 1
                return connection
            self.close(connection)
        return None

    async def open(self, pool: EndpointPool) -> UpstreamConnection | None:
        """Opens a connection, or takes one that is returned while the pool is full; None if neither works in time."""
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
        self._reader_tasks.add(task)
        task.add_done_callback(self._reader_tasks.discard)
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
            if self.memory is not None:
                self.memory.bound_response_queue(sock)
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
        """Reads responses from a connection until it is closed, also by the endpoint, or receives unrequested bytes."""
        view = memoryview(connection.buffer)
        try:
            while True:
                size = await self._loop.sock_recv_into(connection.sock, connection.buffer)
                if connection.closed or (connection.attempt is None and connection.health_check is None):
                    break  # cancelled, closed while idle, or unrequested bytes: the connection is unusable
                progress = connection.reader.feed(view[:size]) if size else connection.reader.eof()
                self._count_bytes(connection, connection.reader.held_bytes if progress is Progress.WAITING else 0)
                if progress is Progress.WAITING:
                    continue
                complete = progress is Progress.COMPLETE
                self._response_received(connection, connection.reader.take_response() if complete else None, size > 0)
                if connection.closed:
                    break
        except OSError:
            pass
        except Exception:  # noqa: BLE001 - top level of the task: logged, and the request gets an outcome
            self._log.exception("endpoint connection task failed")
        finally:
            view.release()
            self._reader_ended(connection)

    def _count_bytes(self, connection: UpstreamConnection, held_bytes: int) -> None:
        difference = held_bytes - connection.counted_bytes
        connection.counted_bytes = held_bytes
        if difference:
            self.add_response_bytes(difference)

    def _reader_ended(self, connection: UpstreamConnection) -> None:
        self._count_bytes(connection, 0)
        self.connection_failed(connection)
        connection.closed = True
        pool = connection.pool
        pool.delayed.pop(connection, None)
        if connection in pool.idle:
            pool.idle.remove(connection)
        else:
            pool.in_use -= 1
        self._loop.remove_writer(connection.sock)
        connection.sock.close()
        connection.stop_waiting()
        if len(self._spare_buffers) < MAX_SPARE_BUFFERS:
            self._spare_buffers.append(connection.buffer)
        pool.notify_freed()

    async def until_writable(self, connection: UpstreamConnection) -> None:
        """Waits until the kernel accepts more bytes, or the connection is closed: the next write then fails."""
        connection.writable = self._loop.create_future()
        self._loop.add_writer(connection.sock, connection.stop_waiting)
        try:
            await connection.writable
        finally:
            connection.writable = None
            if connection.sock.fileno() >= 0:
                self._loop.remove_writer(connection.sock)

    def connection_failed(self, connection: UpstreamConnection) -> None:
        """Ends the attempt or health check in flight on a failed connection; it may have run."""
        if connection.attempt is not None or connection.health_check is not None:
            self._response_received(connection, None, False)

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Returns a connection to the idle ones of its pool, after REUSE_DELAY_SECONDS."""
        connection.pool.delayed[connection] = None
        self._reuse_queue.append((self._loop.time() + REUSE_DELAY_SECONDS, connection))
        if len(self._reuse_queue) == 1:
            self._loop.call_later(REUSE_DELAY_SECONDS, self._end_reuse_delays)

    def _end_reuse_delays(self) -> None:
        """Makes the connections idle whose delay has ended; one timer serves them all."""
        now = self._loop.time()
        while self._reuse_queue and self._reuse_queue[0][0] <= now:
            self._make_idle(self._reuse_queue.popleft()[1])
        if self._reuse_queue:
            self._loop.call_later(max(TIMER_RESOLUTION_SECONDS, self._reuse_queue[0][0] - now), self._end_reuse_delays)

    def _make_idle(self, connection: UpstreamConnection) -> None:
        pool = connection.pool
        if connection not in pool.delayed:  # closed meanwhile
            return
        del pool.delayed[connection]
        if pool.replaced:
            self.close(connection)
            return
        pool.in_use -= 1
        connection.idle_since = self._loop.time()
        pool.idle.append(connection)
        pool.notify_freed()

    def close(self, connection: UpstreamConnection) -> None:
        """Shuts a connection down; its reading task then fails to read and cleans up."""
        connection.closed = True
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_RDWR)

    def _close_all_idle(self, pool: EndpointPool) -> None:
        idle = pool.idle
        delayed = list(pool.delayed)
        pool.idle = []
        pool.delayed.clear()
        pool.in_use += len(idle)  # they count as in use until their reading tasks have ended
        for connection in (*idle, *delayed):
            self.close(connection)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes an endpoint's idle connections."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            self._close_all_idle(pool)

    def sweep(self) -> None:
        """Closes connections that have been idle for too long, and drops the pools of removed endpoints."""
        oldest = self._loop.time() - self._limits.idle_seconds
        for endpoint, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].idle_since < oldest:
                pool.in_use += 1
                self.close(pool.idle.pop(0))
            if endpoint.status is EndpointStatus.REMOVED and not pool.idle and not pool.in_use:
                del self._pools[endpoint]

    async def shut_down(self) -> None:
        """Closes all idle connections and waits until all reading tasks have ended, when the process ends."""
        for pool in self._pools.values():
            self._close_all_idle(pool)
        await asyncio.gather(*self._reader_tasks, return_exceptions=True)
