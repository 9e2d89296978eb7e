"""Connections to units: a pool each, trips and probes over them, and how each came out.

Whether a trip may have run is read conservatively; docs/relay.md has the table of cases:
 - nothing of it was handed to the kernel: it never ran (unreachable, or unsent)
 - something was, and no whole answer came: it may have run (cut, timed out, called off)
 - the unit said in a field that it was turned away before any work: it never ran (turned away)
 - a whole answer of status 500 or above: an error, and it may have run
 - any other whole answer is the unit's answer: done
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from lanelead.http import writing
from lanelead.http.answers import Answer, AnswerReader, Progress
from lanelead.interface import Fate, Report, Ticks, Trip, Unit
from lanelead.protocols.records import Load, Malformed, decode
from lanelead.relay.driver import Destination, Driver, Ticket

TURNED_AWAY = b"lanelead-turned-away"
LOAD = b"lanelead-load"
OURS = frozenset(
    (
        b"lanelead-relay",
        b"lanelead-trip",
        b"lanelead-lane",
        b"lanelead-left",
        TURNED_AWAY,
        LOAD,
        b"lanelead-unit",
        b"lanelead-build",
        b"lanelead-outcome",
        b"lanelead-answered-by",
    )
)
BUFFER = 16384  # bytes read at once


class Link:
    """One connection to a unit. One request at a time travels on it."""

    __slots__ = ("buffer", "idle_since", "reader", "sock", "view")

    def __init__(self, sock: socket.socket, buffer: bytearray, answer_bytes: int) -> None:
        self.sock, self.buffer, self.view = sock, buffer, memoryview(buffer)
        self.reader = AnswerReader(answer_bytes)
        self.idle_since = 0.0

    def stale(self) -> bool:
        """Has the unit closed it, or said something unasked, while nothing was out?"""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class Pool:
    """The connections to one unit's present address."""

    def __init__(self, place: Destination) -> None:
        self.place = place
        self.idle: list[Link] = []  # the one used last at the end
        self.used = 0  # in use, or being opened
        self.left = False  # the unit has another address or life by now
        self.free: asyncio.Event | None = None  # set when one is given back, where some wait


class Out:
    """A trip under way: its task, and whether any byte of it may have been written."""

    __slots__ = ("task", "written")

    def __init__(self) -> None:
        self.task: asyncio.Task[None] | None = None
        self.written = False


def report_of(answer: Answer, names: frozenset[str]) -> Report | None:
    """The load report in an answer, of the figures that the settings name; None where there is none to
    trust."""
    raw = answer.header(LOAD)
    if raw is None:
        return None
    try:
        return _figures(decode(raw, Load), names)
    except Malformed:
        return None


def _figures(load: Load, names: frozenset[str]) -> Report:
    pairs = ((name, getattr(load, name)) for name in load.__struct_fields__ if name in names)
    return {name: value for name, value in pairs if value is not None}


class Links:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        number: int,
        connect_limit: float,
        idle_limit: float,
        most: int,
        answer_bytes: int,
        reports: frozenset[str],
        log: Any,
    ) -> None:
        self._loop, self._number, self._log = loop, b"%d" % number, log
        self._connect_limit, self._idle_limit, self._most = connect_limit, idle_limit, most
        self._answer_bytes, self._reports = answer_bytes, reports
        self.driver: Driver | None = None
        self._pools: dict[Unit, Pool] = {}
        self._out: dict[Trip, Out] = {}
        self._spare: list[bytearray] = []
        self._probes: dict[Unit, asyncio.Task[None]] = {}
        self.after: Callable[[], None] = lambda: None  # called when the driver has been told something
        self.opened = self.reused = 0

    # Trips

    def send(self, trip: Trip, ticket: Ticket) -> None:
        out = self._out[trip] = Out()
        out.task = self._loop.create_task(self._run(trip, ticket, out))
        out.task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("a trip's task failed", exc_info=fault)

    def abandon(self, trip: Trip) -> bool:
        out = self._out.pop(trip, None)
        if out is None:
            return False
        if out.task is not None:
            out.task.cancel()
        return out.written

    async def _run(self, trip: Trip, ticket: Ticket, out: Out) -> None:
        fate, answer, report = Fate.UNREACHABLE, None, None
        link: Link | None = None
        pool: Pool | None = None
        driver = self.driver
        assert driver is not None
        try:
            place = driver.still_meant(trip)
            if place is None:
                fate = Fate.UNSENT
                return
            pool = self._pool(trip.unit, place)
            link = await self._get(pool)
            if link is None:
                return
            if driver.still_meant(trip) != place:
                fate = Fate.UNSENT
                return
            text = self._text(trip, ticket)
            link.reader.expect(ticket.ask.method == "HEAD")
            out.written = True  # from here on it may have run
            fate = Fate.CUT
            answer = await self._exchange(link, text)
            if answer is None:
                return
            report = report_of(answer, self._reports)
            if answer.header(TURNED_AWAY) is not None:
                fate = Fate.TURNED_AWAY
            else:
                fate = Fate.ERROR if answer.status >= 500 else Fate.DONE
        except (TimeoutError, OSError):
            pass
        finally:
            known = self._out.pop(trip, None) is not None
            if pool is not None:
                self._put(pool, link, answer is not None and answer.keep)
            if known:
                driver.ended(trip, fate, answer, report)
                self.after()

    async def _exchange(self, link: Link, text: bytes) -> Answer | None:
        """Writes a request while it reads the answer: a unit may answer before it has read the whole body."""
        loop, reader = self._loop, link.reader
        writing_: asyncio.Task[None] | None = None
        if len(text) <= BUFFER:
            await loop.sock_sendall(link.sock, text)
        else:
            writing_ = loop.create_task(loop.sock_sendall(link.sock, text))
        try:
            while True:
                size = await loop.sock_recv_into(link.sock, link.buffer)
                progress = reader.feed(link.view[:size]) if size else reader.eof()
                if progress is not Progress.WAITING:
                    break
        finally:
            early = writing_ is not None and not writing_.done()
            if writing_ is not None:
                writing_.cancel()
                await asyncio.gather(writing_, return_exceptions=True)
        answer = reader.answer if progress is Progress.WHOLE else None
        if answer is not None and early:
            answer.keep = False  # the rest of the body was never sent: the connection is of no more use
        return answer

    def _text(self, trip: Trip, ticket: Ticket) -> bytes:
        ask, left = ticket.ask, trip.sent + trip.limit - self._driver_now()
        headers = list(writing.passed_on(ask.headers, OURS))
        headers += (
            (b"lanelead-relay", self._number),
            (b"lanelead-trip", b"%d" % trip.number),
            (b"lanelead-lane", trip.lookup.lane.name.encode()),
            (b"lanelead-left", b"%d" % max(0, left // 10)),
        )
        if ask.header(b"x-request-id") is None:
            headers.append((b"x-request-id", ticket.ident.encode("latin-1")))
        return writing.request(ask.method, ask.target, headers, ask.body)

    def _driver_now(self) -> Ticks:
        assert self.driver is not None
        return self.driver.decisions.now

    # Pools

    def _pool(self, unit: Unit, place: Destination) -> Pool:
        pool = self._pools.get(unit)
        if pool is None or pool.place != place:
            if pool is not None:
                pool.left = True
                self._empty(pool)
            pool = self._pools[unit] = Pool(place)
        return pool

    async def _get(self, pool: Pool) -> Link | None:
        while pool.idle:
            link = pool.idle.pop()
            if link.stale():
                self._discard(link)
                continue
            pool.used += 1
            self.reused += 1
            return link
        end = self._loop.time() + self._connect_limit
        while pool.used >= self._most:
            pool.free = pool.free or asyncio.Event()
            pool.free.clear()
            try:
                async with asyncio.timeout_at(end):
                    await pool.free.wait()
            except TimeoutError:
                return None
            if pool.idle:
                return await self._get(pool)
        pool.used += 1
        sock = None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in pool.place.host else socket.AF_INET)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.timeout_at(end):
                await self._loop.sock_connect(sock, (pool.place.host, pool.place.port))
        except BaseException as fault:
            pool.used -= 1
            if sock is not None:
                sock.close()
            if isinstance(fault, OSError | TimeoutError):
                return None
            raise
        self.opened += 1
        buffer = self._spare.pop() if self._spare else bytearray(BUFFER)
        return Link(sock, buffer, self._answer_bytes)

    def _put(self, pool: Pool, link: Link | None, keep: bool) -> None:
        if link is None:
            return
        pool.used -= 1
        if keep and not pool.left:
            link.idle_since = self._loop.time()
            pool.idle.append(link)
        else:
            self._discard(link)
        if pool.free is not None:
            pool.free.set()

    def _discard(self, link: Link) -> None:
        link.sock.close()
        if len(self._spare) < 256:
            self._spare.append(link.buffer)

    def _empty(self, pool: Pool) -> None:
        for link in pool.idle:
            self._discard(link)
        pool.idle.clear()

    def close_idle(self, unit: Unit) -> None:
        if (pool := self._pools.get(unit)) is not None:
            self._empty(pool)

    def sweep(self) -> None:
        """Closes what has been idle for longer than the limit; called now and then."""
        oldest = self._loop.time() - self._idle_limit
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since < oldest:
                self._discard(pool.idle.pop(0))

    # Probes

    def probe(self, unit: Unit) -> None:
        """One at a time for each unit: a second one while the first is out would tell nothing more."""
        if unit not in self._probes:
            self._probes[unit] = self._loop.create_task(self._probe(unit))

    async def _probe(self, unit: Unit) -> None:
        driver = self.driver
        assert driver is not None
        began, fate, report = self._loop.time(), Fate.UNREACHABLE, None
        place = driver.places.get(unit)
        link: Link | None = None
        pool: Pool | None = None
        answer: Answer | None = None
        try:
            if place is None:
                return
            pool = self._pool(unit, place)
            link = await self._get(pool)
            if link is None:
                return
            fate = Fate.TIMED_OUT
            link.reader.expect(False)
            text = writing.request("GET", b"/.lanelead/load", [(b"host", place.host.encode())], b"")
            async with asyncio.timeout(self._connect_limit):
                answer = await self._exchange(link, text)
            if answer is None:
                fate = Fate.CUT
            elif answer.status != 200:
                fate = Fate.ERROR
            else:
                report, fate = _figures(decode(answer.body, Load), self._reports), Fate.DONE
        except (OSError, TimeoutError):
            pass
        except Malformed:
            fate = Fate.ERROR
        finally:
            self._probes.pop(unit, None)
            if pool is not None:
                self._put(pool, link, answer is not None and answer.keep)
            driver.probed(unit, fate, int((self._loop.time() - began) * 10_000), report)
            self.after()

    async def shut(self) -> None:
        """Ends all that is out; for the end of the process."""
        tasks = [out.task for out in self._out.values() if out.task] + list(self._probes.values())
        self._out.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for pool in self._pools.values():
            self._empty(pool)
