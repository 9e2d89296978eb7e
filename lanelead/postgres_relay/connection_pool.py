"""Connections to units: a pool to each life of a unit, and what of them may be used again.

A connection carries one question at a time, and another only after a whole answer with nothing behind it, and
after a rest: an answer's second copy may come some milliseconds late, and would pass for the next one's.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

from lanelead.decisions.interface import Attempt, Endpoint, EndpointStatus
from lanelead.pgwire.servers import ServerReader
from lanelead.postgres_relay.load_reports import is_idle_socket
from lanelead.runtime.driver import Destination

IDLE_LIMIT_FACTOR = 0.6  # of the time after which a unit's machine closes an idle connection: ours go by then
REUSE_DELAY_SECONDS = 0.01  # seconds that an answered one is left alone; second answers were seen 2 to 3 ms late


class UpstreamConnection:
    """One connection to a unit."""

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

    def __init__(self, sock: socket.socket, pool: EndpointPool, longest: int) -> None:
        self.sock, self.pool, self.reader = sock, pool, ServerReader(longest, b"vitals")
        self.attempt: Attempt | None = None  # that goes, or is to go, over it
        self.health_check: Endpoint | None = None
        self.connected = False  # the unit has welcomed it
        self.query_sent = False  # the question's last byte was handed over
        self.unsent = memoryview(b"")  # of the question, where the kernel took only a part
        self.writing = False
        self.last_activity = 0.0  # when it fell idle, or when the last bytes of an answer came
        self.reusable_at = 0.0  # when it may carry another question
        self.health_check_started = 0.0  # when a probe set out
        self.connect_timer: asyncio.TimerHandle | None = None  # it has to have come up by then
        self.health_check_timer: asyncio.TimerHandle | None = None  # its probe has to be answered by then


class EndpointPool:
    """The connections to one life of a unit."""

    def __init__(self, place: Destination) -> None:
        self.destination = place
        self.idle: list[UpstreamConnection] = []  # the one used last at the end
        self.retired = False


class ConnectionPool:
    """All connections to units. What passes on them is the matter of who inherits this: `_more` is called
    when one may be written to, `_never_came_up` when it was not welcomed in time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_limit: float,
        idle_limit: float,
        most: int,
        longest: int,
        log: Any,
    ) -> None:
        self._loop, self._log = loop, log
        self._connect_limit, self._idle_limit, self._max_connections = (
            connect_limit,
            idle_limit * IDLE_LIMIT_FACTOR,
            most,
        )
        self._max_response_bytes = longest
        self._pools: dict[Endpoint, EndpointPool] = {}
        self.connections: dict[UpstreamConnection, None] = {}
        self.opened = self.descriptor_shortages = 0

    def _on_writable(self, link: UpstreamConnection) -> None:
        raise NotImplementedError

    def _on_connect_timeout(self, link: UpstreamConnection) -> None:
        raise NotImplementedError

    def _pool_for(self, unit: Endpoint, place: Destination) -> EndpointPool:
        pool = self._pools.get(unit)
        if pool is None or pool.destination != place:
            if pool is not None:
                self._close_idle_in(pool)
                pool.retired = True
            pool = self._pools[unit] = EndpointPool(place)
        return pool

    def _take_idle(self, pool: EndpointPool) -> UpstreamConnection | None:
        """The connection used last that has rested and is still of use: nothing unasked has come on it, nor
        its end."""
        now = self._loop.time()
        for link in reversed(pool.idle.copy()):
            if link.reusable_at > now:
                continue
            if is_idle_socket(link.sock):
                pool.idle.remove(link)
                return link
            self._close_connection(link)
        return None

    def _open_connection(self, pool: EndpointPool) -> UpstreamConnection | None:
        """None where all descriptors are in use; the longest idle connection makes room."""
        if len(self.connections) >= self._max_connections:
            pools = [other for other in self._pools.values() if other.idle]
            if not pools:
                self.descriptor_shortages += 1
                return None
            self._close_connection(min(pools, key=lambda other: other.idle[0].last_activity).idle.pop(0))
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in pool.destination.host else socket.AF_INET)
        except OSError as fault:  # the process has no descriptor left
            self._log.warning("no connection", reason=str(fault))
            self.descriptor_shortages += 1
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = UpstreamConnection(sock, pool, self._max_response_bytes)
        self.connections[link] = None
        self.opened += 1
        link.last_activity = self._loop.time()
        link.connect_timer = self._loop.call_later(self._connect_limit, self._on_connect_timeout, link)
        with contextlib.suppress(OSError):  # in progress, or failed: the writer finds that out
            sock.connect((pool.destination.host, pool.destination.port))
        self._loop.add_writer(sock, self._on_writable, link)
        return link

    def _keep_idle(self, link: UpstreamConnection) -> None:
        if link.pool.retired:
            self._close_connection(link)
            return
        link.last_activity = self._loop.time()
        link.pool.idle.append(link)

    def _close_connection(self, link: UpstreamConnection) -> None:
        if link not in self.connections:
            return
        del self.connections[link]
        for timer in (link.connect_timer, link.health_check_timer):
            if timer is not None:
                timer.cancel()
        self._loop.remove_reader(link.sock)
        self._loop.remove_writer(link.sock)
        link.sock.close()
        if link in link.pool.idle:
            link.pool.idle.remove(link)

    def _close_idle_in(self, pool: EndpointPool) -> None:
        for link in list(pool.idle):
            self._close_connection(link)

    def close_idle(self, unit: Endpoint) -> None:
        if (pool := self._pools.get(unit)) is not None:
            self._close_idle_in(pool)

    def _close_worn(self) -> None:
        """Ends connections idle for long, and the pools of units that are gone."""
        now = self._loop.time()
        for unit, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].last_activity < now - self._idle_limit:
                self._close_connection(pool.idle[0])
            if unit.status is EndpointStatus.REMOVED:
                self._close_idle_in(pool)
                pool.retired = True
                del self._pools[unit]

    def close_all(self) -> None:
        for link in list(self.connections):
            self._close_connection(link)
