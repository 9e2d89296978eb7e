"""Connections to units in PostgreSQL's protocol: a pool each, trips and probes, and how each came out.

docs/node.md has the table of fates. A trip can have run once its last byte was handed to the kernel, and no
sooner. A connection carries one trip at a time, and another only after a whole answer with nothing behind it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from lanelead.decisions.interface import Condition, Fate, Report, Ticks, Trip, Unit
from lanelead.node.reports import report_of, still
from lanelead.pgwire import messages
from lanelead.pgwire.statements import Statement
from lanelead.pgwire.units import Answer, Progress, UnitReader
from lanelead.relay.driver import Destination, Driver, Ticket

BUFFER = 65536  # bytes read at once
STARTUP = messages.startup("app", "shop")
TURNED_AWAY = "53300"
PROBE = messages.query(b"SHOW vitals")
WEAR = 0.6  # of the time after which a unit's machine closes an idle connection: ours go by then


class Link:
    """One connection to a unit."""

    __slots__ = (
        "asked", "began", "connected", "pool", "probe", "reader", "rest", "since", "sock", "timer", "trip",
        "writing",
    )  # fmt: skip

    def __init__(self, sock: socket.socket, pool: Pool, longest: int) -> None:
        self.sock, self.pool, self.reader = sock, pool, UnitReader(longest, b"vitals")
        self.trip: Trip | None = None  # that goes, or is to go, over it
        self.probe: Unit | None = None
        self.connected = False  # the unit has welcomed it
        self.asked = False  # the question's last byte was handed over
        self.rest = memoryview(b"")  # of the question, where the kernel took only a part
        self.writing = False
        self.since = 0.0  # when it fell idle, or when the last bytes of an answer came
        self.began = 0.0  # when a probe set out
        self.timer: asyncio.TimerHandle | None = None


class Pool:
    """The connections to one life of a unit."""

    def __init__(self, place: Destination) -> None:
        self.place = place
        self.idle: list[Link] = []  # the one used last at the end
        self.left = False


class Links:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_limit: float,
        idle_limit: float,
        most: int,
        longest: int,
        names: frozenset[str],
        log: Any,
    ) -> None:
        self._loop, self._log = loop, log
        self._connect_limit, self._idle_limit, self._most = connect_limit, idle_limit * WEAR, most
        self._longest, self._names = longest, names
        self.driver: Driver
        self.after: Callable[[], None] = lambda: None
        self.waiting: list[Trip] = []  # trips to set out
        self._out: dict[Trip, tuple[Ticket, Link | None]] = {}
        self._pools: dict[Unit, Pool] = {}
        self.links: dict[Link, None] = {}
        self.opened = self.reused = self.spoilt = self.short = 0
        self.refused = self.unwelcome = 0  # connections that were refused, and that never came up

    # Trips

    def send(self, trip: Trip, ticket: Ticket) -> None:
        """Notes a trip; `go` sets it out."""
        self._out[trip] = ticket, None
        self.waiting.append(trip)

    def abandon(self, trip: Trip) -> bool:
        """Waits no longer for it; says whether it may have run."""
        _, link = self._out.pop(trip, (None, None))
        if link is None:
            return False
        link.trip = None
        if link.connected:  # what is still connecting becomes an idle one
            self._end(link)
        return link.asked

    def go(self, trip: Trip) -> None:
        entry = self._out.get(trip)
        if entry is None:  # given up in the same breath
            return
        place = self.driver.still_meant(trip)
        if place is None:
            self._ended(trip, Fate.UNSENT, None)
            return
        pool = self._pool(trip.unit, place)
        link = self._idle(pool)
        if link is not None:
            self.reused += 1
        elif (link := self._open(pool)) is None:
            self._ended(trip, Fate.UNSENT, None)
            return
        link.trip, self._out[trip] = trip, (entry[0], link)
        if link.connected:
            self._ask(link, self._text(trip, entry[0].ask))

    def _text(self, trip: Trip, statement: Statement) -> bytes:
        left = trip.sent + trip.limit - self.driver.decisions.now
        return messages.query(statement.text(max(1, left // 10)))

    def _ask(self, link: Link, text: bytes) -> None:
        link.reader.expect()
        link.asked = False
        try:
            size = link.sock.send(text)
        except (BlockingIOError, InterruptedError):
            size = 0
        except OSError:
            self._broken(link, "broke before its question")
            return
        if size == len(text):
            link.asked = True
        else:
            link.rest, link.writing = memoryview(text)[size:], True
            self._loop.add_writer(link.sock, self._more, link)

    def _more(self, link: Link) -> None:
        """Writes what the kernel did not take at first, or finds out how a connection came up."""
        if not link.writing:
            self._up(link)
            return
        try:
            link.rest = link.rest[link.sock.send(link.rest) :]
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._broken(link, "broke within its question")
            self.after()
            return
        if not link.rest:
            link.asked, link.writing = True, False
            self._loop.remove_writer(link.sock)

    def _ended(self, trip: Trip, fate: Fate, answer: Answer | None) -> None:
        if self._out.pop(trip, None) is not None:
            report = report_of(answer.report, self._names) if answer else None
            self.driver.ended(trip, fate, answer, report)

    # What comes back

    def _read(self, link: Link) -> None:
        try:
            data = link.sock.recv(BUFFER)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self._broken(link, "ended")
            self.after()
            return
        link.since = self._loop.time()
        progress = link.reader.feed(data)
        if progress is Progress.WAITING:
            return
        if progress is Progress.SPOILT:
            self.spoilt += 1
            self._log.info("spoilt answer", reason=link.reader.reason[:120])
            self._broken(link, "spoilt")
        elif not link.connected:
            self._welcomed(link)
        else:
            self._answered(link)
        self.after()

    def _welcomed(self, link: Link) -> None:
        link.connected = True
        if link.timer is not None:
            link.timer.cancel()
            link.timer = None
        trip = link.trip
        if trip is not None:
            if self.driver.still_meant(trip) != link.pool.place:
                link.trip = None
                self._ended(trip, Fate.UNSENT, None)
            else:
                self._ask(link, self._text(trip, self._out[trip][0].ask))
                return
        elif link.probe is not None:
            self._ask(link, PROBE)
            return
        self._keep(link)

    def _answered(self, link: Link) -> None:
        answer = link.reader.answer
        assert answer is not None
        trip, link.trip = link.trip, None
        probe, link.probe = link.probe, None
        # An answer that came before its question was written whole leaves a connection nobody can use again.
        whole, link.asked = link.asked, False
        if link.reader.ready and whole:
            self._keep(link)
        else:
            self._end(link)
        if trip is not None:
            if answer.code is None:
                fate = Fate.DONE
            else:
                fate = Fate.TURNED_AWAY if answer.code == TURNED_AWAY else Fate.ERROR
            self._ended(trip, fate, answer)
        if probe is not None:
            report = report_of(answer.value, self._names) if answer.code is None else None
            self._probed(probe, Fate.DONE if answer.code is None else Fate.ERROR, link, report)

    def _broken(self, link: Link, reason: str) -> None:
        """The connection is of no more use. What was asked whole on it may have run."""
        trip, link.trip = link.trip, None
        probe, link.probe = link.probe, None
        asked = link.asked
        self._end(link)
        if trip is not None:
            self._ended(trip, Fate.CUT if asked else Fate.UNREACHABLE, None)
        if probe is not None:
            self._probed(probe, Fate.CUT if asked else Fate.UNREACHABLE, link, None)

    # Pools

    def _pool(self, unit: Unit, place: Destination) -> Pool:
        pool = self._pools.get(unit)
        if pool is None or pool.place != place:
            if pool is not None:
                self._empty(pool)
                pool.left = True
            pool = self._pools[unit] = Pool(place)
        return pool

    def _idle(self, pool: Pool) -> Link | None:
        """The connection used last that is still of use: nothing unasked has come on it, nor its end."""
        while pool.idle:
            link = pool.idle.pop()
            if still(link.sock):
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

    def _up(self, link: Link) -> None:
        self._loop.remove_writer(link.sock)
        try:
            fault = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault or link.sock.send(STARTUP) != len(STARTUP):
                raise OSError(fault, "not connected")
        except OSError:
            self.refused += 1
            self._broken(link, "refused")
            self.after()
            return
        self._loop.add_reader(link.sock, self._read, link)

    def _never_came_up(self, link: Link) -> None:
        link.timer = None
        if link in self.links and not link.connected:
            self.unwelcome += 1
            self._broken(link, "never came up")
            self.after()

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
        if link.timer is not None:
            link.timer.cancel()
        self._loop.remove_reader(link.sock)
        self._loop.remove_writer(link.sock)
        link.sock.close()
        if link in link.pool.idle:
            link.pool.idle.remove(link)

    def _empty(self, pool: Pool) -> None:
        for link in list(pool.idle):
            self._end(link)

    def close_idle(self, unit: Unit) -> None:
        if (pool := self._pools.get(unit)) is not None:
            self._empty(pool)

    def sweep(self) -> None:
        """To be called a few times a second: idle connections that are worn, pools of units that are gone,
        and answers that stopped in the middle."""
        now = self._loop.time()
        for unit, pool in list(self._pools.items()):
            while pool.idle and pool.idle[0].since < now - self._idle_limit:
                self._end(pool.idle[0])
            if unit.condition is Condition.GONE:
                self._empty(pool)
                pool.left = True
                del self._pools[unit]
        # Guards against a unit that says a length and sends less: the trip would wait for its whole time.
        stalled = [link for link in self.links if link.connected and link.trip and link.reader.began]
        for link in stalled:
            # What waits to be read was the relay's own delay, and is no fault of the unit's.
            if link.since < now - self._connect_limit and still(link.sock):
                self.spoilt += 1
                self._log.info("spoilt answer", reason="it stopped in the middle")
                self._broken(link, "stalled")

    # Probes

    def probe(self, unit: Unit) -> None:
        place = self.driver.places.get(unit)
        if place is None:
            self._loop.call_soon(self._unprobed, unit)
            return
        pool = self._pool(unit, place)
        link = self._idle(pool) or self._open(pool)
        if link is None:
            self._loop.call_soon(self._unprobed, unit)
            return
        link.probe, link.began = unit, self._loop.time()
        if link.connected:
            self._ask(link, PROBE)
        self._loop.call_later(self._connect_limit, self._probe_late, link, unit)

    def _probe_late(self, link: Link, unit: Unit) -> None:
        if link.probe is unit:
            link.probe = None
            self._end(link)
            self._probed(unit, Fate.TIMED_OUT, link, None)
            self.after()

    def _unprobed(self, unit: Unit) -> None:
        self.driver.probed(unit, Fate.UNREACHABLE, 0, None)
        self.after()

    def _probed(self, unit: Unit, fate: Fate, link: Link, report: Report | None) -> None:
        took: Ticks = max(0, int((self._loop.time() - link.began) * 10_000))
        self.driver.probed(unit, fate, took, report)

    def shut(self) -> None:
        for link in list(self.links):
            self._end(link)
