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
from lanelead.postgres_relay.load_reports import still
from lanelead.runtime.destination import Destination

WEAR = 0.6  # of the time after which a unit's machine closes an idle connection: ours go by then
REST = 0.01  # seconds that an answered one is left alone; second answers were seen 2 to 3 ms late


class Link:
    """One connection to a unit."""

    __slots__ = (
        "asked",
        "began",
        "connected",
        "late",
        "pool",
        "probe",
        "reader",
        "rest",
        "rested",
        "since",
        "sock",
        "timer",
        "trip",
        "writing",
    )

    def __init__(self, sock: socket.socket, pool: Pool, longest: int) -> None:
        self.sock, self.pool, self.reader = sock, pool, ServerReader(longest, b"vitals")
        self.trip: Attempt | None = None  # that goes, or is to go, over it
        self.probe: Endpoint | None = None
        self.connected = False  # the unit has welcomed it
        self.asked = False  # the question's last byte was handed over
        self.rest = memoryview(b"")  # of the question, where the kernel took only a part
        self.writing = False
        self.since = 0.0  # when it fell idle, or when the last bytes of an answer came
        self.rested = 0.0  # when it may carry another question
        self.began = 0.0  # when a probe set out
        self.timer: asyncio.TimerHandle | None = None  # it has to have come up by then
        self.late: asyncio.TimerHandle | None = None  # its probe has to be answered by then


class Pool:
    """The connections to one life of a unit."""

    def __init__(self, place: Destination) -> None:
        self.place = place
        self.idle: list[Link] = []  # the one used last at the end
        self.left = False


class Pools:
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
        self._connect_limit, self._idle_limit, self._most = connect_limit, idle_limit * WEAR, most
        self._longest = longest
        self._pools: dict[Endpoint, Pool] = {}
        self.links: dict[Link, None] = {}
        self.opened = self.short = 0

    def _more(self, link: Link) -> None:
        raise NotImplementedError

    def _never_came_up(self, link: Link) -> None:
        raise NotImplementedError

    def _pool(self, unit: Endpoint, place: Destination) -> Pool:
        pool = self._pools.get(unit)
        if pool is None or pool.place != place:
            if pool is not None:
                self._empty(pool)
                pool.left = True
            pool = self._pools[unit] = Pool(place)
        return pool

    def _idle(self, pool: Pool) -> Link | None:
        """The connection used last that has rested and is still of use: nothing unasked has come on it, nor
        its end."""
        now = self._loop.time()
        for link in reversed(pool.idle.copy()):
            if link.rested > now:
                continue
            if still(link.sock):
                pool.idle.remove(link)
                return link
            self._end(link)
        return None

    def _open(self, pool: Pool) -> Link | None:
        """None where all descriptors are in use; the longest idle connection makes room."""
        if len(self.links) >= self._most:
            pools = [other for other in self._pools.values() if other.idle]
            if not pools:
                self.short += 1
                return None
            self._end(min(pools, key=lambda other: other.idle[0].since).idle.pop(0))
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in pool.place.host else socket.AF_INET)
        except OSError as fault:  # the process has no descriptor left
            self._log.warning("no connection", reason=str(fault))
            self.short += 1
            return None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(sock, pool, self._longest)
        self.links[link] = None
        self.opened += 1
        link.since = self._loop.time()
        link.timer = self._loop.call_later(self._connect_limit, self._never_came_up, link)
        with contextlib.suppress(OSError):  # in progress, or failed: the writer finds that out
            sock.connect((pool.place.host, pool.place.port))
        self._loop.add_writer(sock, self._more, link)
        return link

    def _keep(self, link: Link) -> None:
        if link.pool.left:
            self._end(link)
            return
        link.since = self._loop.time()
        link.pool.idle.append(link)

    def _end(self, link: Link) -> None:
        if link not in self.links:
            return
        del self.links[link]
        for timer in (link.timer, link.late):
            if timer is not None:
                timer.cancel()
        self._loop.remove_reader(link.sock)
        self._loop.remove_writer(link.sock)
        link.sock.close()
        if link in link.pool.idle:
            link.pool.idle.remove(link)

    def _empty(self, pool: Pool) -> None:
        for link in list(pool.idle):
            self._end(link)

    def close_idle(self, unit: Endpoint) -> None:
        if (pool := self._pools.get(unit)) is not None:
            self._empty(pool)

    def _wear(self) -> None:
        """Ends connections idle for long, and the pools of units that are gone."""
        now = self._loop.time()
        for unit, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].since < now - self._idle_limit:
                self._end(pool.idle[0])
            if unit.status is EndpointStatus.REMOVED:
                self._empty(pool)
                pool.left = True
                del self._pools[unit]

    def shut(self) -> None:
        for link in list(self.links):
            self._end(link)
