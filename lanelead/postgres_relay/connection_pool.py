"""Upstream connections: a pool for each incarnation of an endpoint, and when a connection may be reused.

A connection carries one request at a time. It is reused only if no bytes follow a complete response, and after a delay:
a duplicated response may arrive some milliseconds late and would be taken for the next request's.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from typing import Any

from lanelead.decisions.interface import Attempt, Endpoint, EndpointStatus
from lanelead.pgwire.servers import ServerReader
from lanelead.postgres_relay.partial_responses import PartialResponses
from lanelead.runtime.destination import Destination
from lanelead.runtime.peer_close import is_idle_socket
from lanelead.runtime.process_memory import MemoryPlan

IDLE_LIMIT_FACTOR = 0.6  # share of the endpoint's own idle timeout, so that the relay closes the connection first
REUSE_DELAY_SECONDS = 0.01  # duplicated responses arrive 2 to 3 ms late
NO_BYTES = memoryview(b"")


@dataclass(frozen=True)
class PoolLimits:
    """The limits of all upstream connections together.

    Timeouts are in seconds. `connect_timeout` bounds the time until a connection is ready for a query, a whole health
    check, and a pause within a response. After `idle_timeout` the endpoint closes an idle connection.
    `max_response_bytes` is the maximum size of one message; `memory` has the sizes of the kernel's queues.
    """

    connect_timeout: float
    idle_timeout: float
    max_connections: int
    max_response_bytes: int
    memory: MemoryPlan


class UpstreamConnection:
    """One connection to an endpoint. Times are the event loop's, in seconds."""

    __slots__ = (
        "attempt",
        "connect_timer",
        "connected",
        "health_check",
        "health_check_started",
        "health_check_timer",
        "last_activity",
        "pool",
        "query_sent",
        "reader",
        "reusable_at",
        "sock",
        "unsent",
        "writing",
    )

    def __init__(self, sock: socket.socket, pool: EndpointPool, max_response_bytes: int) -> None:
        self.sock = sock
        self.pool = pool
        self.reader = ServerReader(max_response_bytes, b"vitals")
        self.attempt: Attempt | None = None  # in flight on it, or to be sent once it is connected
        self.health_check: Endpoint | None = None
        self.connected = False  # the endpoint has sent its ReadyForQuery
        self.query_sent = False  # the kernel has accepted the query's last byte
        self.unsent = NO_BYTES  # the part of the query that the kernel has not accepted yet
        self.writing = False
        self.last_activity = 0.0  # when it was opened or became idle, or when bytes last arrived
        self.reusable_at = 0.0
        self.health_check_started = 0.0
        self.connect_timer: asyncio.TimerHandle | None = None
        self.health_check_timer: asyncio.TimerHandle | None = None

    def begin_query(self, text: bytes) -> None:
        """Makes `text` the query to send; `send_some` sends it."""
        self.reader.begin_response()
        self.query_sent = False
        self.unsent = memoryview(text)

    def send_some(self) -> None:
        """Sends as much of the query as the kernel accepts at once. Raises OSError if the connection failed."""
        with contextlib.suppress(BlockingIOError, InterruptedError):
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        if not self.unsent:
            self.unsent = NO_BYTES  # an empty rest would keep the whole query in memory
            self.query_sent = True


class EndpointPool:
    """The idle connections to one incarnation of an endpoint.

    Once `retired` is set, connections close when their request ends instead of becoming idle.
    """

    def __init__(self, destination: Destination) -> None:
        self.destination = destination
        self.idle: list[UpstreamConnection] = []  # the most recently used one last
        self.retired = False


class ConnectionPool:
    """All upstream connections. A subclass overrides `_on_writable` and `_on_connect_timeout` and sends the queries."""

    def __init__(self, loop: asyncio.AbstractEventLoop, limits: PoolLimits, log: Any) -> None:
        self._loop = loop
        self._log = log
        self._connect_timeout = limits.connect_timeout
        self._idle_limit = limits.idle_timeout * IDLE_LIMIT_FACTOR
        self._max_connections = limits.max_connections
        self._max_response_bytes = limits.max_response_bytes
        self._memory = limits.memory
        self._pools: dict[Endpoint, EndpointPool] = {}
        self.partial_responses = PartialResponses(loop, limits.memory.response_bytes, self._on_readable)
        self.connections: dict[UpstreamConnection, None] = {}
        self.opened = 0
        self.descriptor_shortages = 0

    def _on_writable(self, connection: UpstreamConnection) -> None:
        """Called when the connection is established, has failed, or accepts more bytes."""
        raise NotImplementedError

    def _on_readable(self, connection: UpstreamConnection) -> None:
        """Called when bytes of the endpoint can be read, or it has closed the connection."""
        raise NotImplementedError

    def _on_connect_timeout(self, connection: UpstreamConnection) -> None:
        """Called when the connection may not have become ready for a query in time."""
        raise NotImplementedError

    def _pool_for(self, endpoint: Endpoint, destination: Destination) -> EndpointPool:
        """Returns the endpoint's pool; a new one if its address or incarnation has changed."""
        pool = self._pools.get(endpoint)
        if pool is None or pool.destination != destination:
            if pool is not None:
                self._retire(pool)
            pool = EndpointPool(destination)
            self._pools[endpoint] = pool
        return pool

    def _take_idle(self, pool: EndpointPool) -> UpstreamConnection | None:
        """Takes the most recently used connection that may be reused, or returns None.

        Closes connections on which unsolicited bytes have arrived or which the endpoint has closed.
        """
        now = self._loop.time()
        for connection in reversed(pool.idle.copy()):
            if connection.reusable_at > now:
                continue
            if is_idle_socket(connection.sock):
                pool.idle.remove(connection)
                return connection
            self._close_connection(connection)
        return None

    def _open_connection(self, pool: EndpointPool) -> UpstreamConnection | None:
        """Starts to connect.

        Returns None if the process has no descriptor left, or if the limit is reached and no connection is idle.
        """
        if len(self.connections) >= self._max_connections and not self._close_longest_idle():
            self.descriptor_shortages += 1
            return None
        destination = pool.destination
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in destination.host else socket.AF_INET)
        except OSError as error:  # the process has no descriptor left
            self._log.warning("cannot open an upstream connection", reason=str(error))
            self.descriptor_shortages += 1
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._memory.bound_response_queue(sock)
        connection = UpstreamConnection(sock, pool, self._max_response_bytes)
        self.connections[connection] = None
        self.opened += 1
        connection.last_activity = self._loop.time()
        connection.connect_timer = self._loop.call_later(self._connect_timeout, self._on_connect_timeout, connection)
        with contextlib.suppress(OSError):  # in progress or failed; `_on_writable` tells which
            sock.connect((destination.host, destination.port))
        self._loop.add_writer(sock, self._on_writable, connection)
        return connection

    def _close_longest_idle(self) -> bool:
        """Closes the connection that has been idle for longest; returns False if none is idle."""
        pools = [pool for pool in self._pools.values() if pool.idle]
        if not pools:
            return False
        longest = min(pools, key=lambda pool: pool.idle[0].last_activity)
        self._close_connection(longest.idle.pop(0))
        return True

    def _keep_idle(self, connection: UpstreamConnection) -> None:
        """Makes the connection available for reuse, or closes it if its pool is retired."""
        if connection.pool.retired:
            self._close_connection(connection)
            return
        connection.last_activity = self._loop.time()
        connection.pool.idle.append(connection)

    def _close_connection(self, connection: UpstreamConnection) -> None:
        if connection not in self.connections:
            return
        del self.connections[connection]
        for timer in (connection.connect_timer, connection.health_check_timer):
            if timer is not None:
                timer.cancel()
        self._loop.remove_reader(connection.sock)
        self._loop.remove_writer(connection.sock)
        self.partial_responses.forget(connection)
        connection.sock.close()
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)

    def _close_idle_in(self, pool: EndpointPool) -> None:
        for connection in list(pool.idle):
            self._close_connection(connection)

    def _retire(self, pool: EndpointPool) -> None:
        """Closes the pool's idle connections now, and its other connections when their requests end."""
        self._close_idle_in(pool)
        pool.retired = True

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the endpoint's idle connections."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            self._close_idle_in(pool)

    def _close_expired_idle(self) -> None:
        """Closes connections that were idle for too long, and drops the pools of removed endpoints."""
        oldest = self._loop.time() - self._idle_limit
        for endpoint, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].last_activity < oldest:
                self._close_connection(pool.idle[0])
            if endpoint.status is EndpointStatus.REMOVED:
                self._retire(pool)
                del self._pools[endpoint]

    def close_all(self) -> None:
        """Closes every connection, without reporting outcomes of the attempts and health checks on them."""
        for connection in list(self.connections):
            self._close_connection(connection)
