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
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from lanelead.decisions.interface import Attempt, AttemptOutcome, Endpoint, Ticks
from lanelead.http import serialization
from lanelead.http.responses import HttpResponse, Progress, ResponseReader
from lanelead.http_relay.load_reports import LOAD, figures, report_of
from lanelead.protocols.feeds import LoadMessage, MessageError, decode
from lanelead.runtime.destination import Destination
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest

TURNED_AWAY = b"lanelead-turned-away"
OURS = serialization.own(
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
BUFFER = 16384  # bytes read at once


class Link:
    """One connection to a unit. One request at a time travels on it; a task of its own reads all that
    comes."""

    __slots__ = ("answer", "buffer", "dead", "idle_since", "pool", "reader", "sending", "sock", "trip")

    def __init__(self, sock: socket.socket, pool: Pool, buffer: bytearray, answer_bytes: int) -> None:
        self.sock, self.pool, self.buffer = sock, pool, buffer
        self.reader = ResponseReader(answer_bytes)
        self.trip: Attempt | None = None  # whose answer is awaited
        self.answer: asyncio.Future[HttpResponse | None] | None = None  # a probe's
        self.sending = self.dead = False
        self.idle_since = 0.0


class Pool:
    """The connections to one unit's present address."""

    def __init__(self, place: Destination) -> None:
        self.place = place
        self.idle: list[Link] = []  # the one used last at the end
        self.used = 0  # in use, or being opened
        self.left = False  # the unit has another address or life by now
        self.free: asyncio.Event | None = None  # set when one is given back, where some wait


class Out:
    """A trip under way: what carries it, and whether any byte of it may have been written."""

    __slots__ = ("link", "task", "ticket", "written")

    def __init__(self, pending: PendingRequest) -> None:
        self.ticket = pending
        self.task: asyncio.Task[None] | None = None  # opens a connection for it
        self.link: Link | None = None
        self.written = False


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
        self.driver: DecisionDriver | None = None
        self._pools: dict[Endpoint, Pool] = {}
        self._out: dict[Attempt, Out] = {}
        self._spare: list[bytearray] = []
        self._listeners: set[asyncio.Task[None]] = set()
        self.waiting: list[Attempt] = []  # trips to set out
        self._probes: dict[Endpoint, asyncio.Task[None]] = {}
        self.after: Callable[[], None] = lambda: None  # called when the driver has been told something
        self.opened = self.reused = 0

    # Trips

    def send(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Notes a trip; `go` sets it out."""
        self._out[attempt] = Out(pending)
        self.waiting.append(attempt)

    def abandon(self, attempt: Attempt) -> bool:
        out = self._out.pop(attempt, None)
        if out is None:
            return False
        if out.task is not None:
            out.task.cancel()
        if out.link is not None:
            out.link.trip = None
            self._kill(out.link)
        return out.written

    async def go(self, attempt: Attempt) -> None:
        driver, out = self.driver, self._out.get(attempt)
        assert driver is not None
        if out is None:  # given up in the same breath
            return
        place = driver.destination_of(attempt)
        if place is None:
            self._end(attempt, AttemptOutcome.NOT_SENT, None)
            self.after()
            return
        pool = self._pool(attempt.endpoint, place)
        link = self._idle(pool)
        if link is None:
            out.task = self._loop.create_task(self._set_out(attempt, out, pool))
        else:
            await self._write(link, attempt, out)

    async def _set_out(self, attempt: Attempt, out: Out, pool: Pool) -> None:
        """The same for a trip that needs another connection."""
        driver, outcome = self.driver, AttemptOutcome.CONNECT_FAILED
        assert driver is not None
        try:
            link = await self._open(pool)
            if link is not None and driver.destination_of(attempt) != pool.place:
                self._keep(link)
                link, outcome = None, AttemptOutcome.NOT_SENT
            out.task = None
            if link is not None:
                await self._write(link, attempt, out)
                return
        except Exception:
            # Guards against a fault of ours on one trip that would leave its lookup without an end.
            self._log.exception("a trip failed")
        self._end(attempt, outcome, None)
        self.after()

    async def _write(self, link: Link, attempt: Attempt, out: Out) -> None:
        link.trip, out.link = attempt, link
        link.reader.expect(out.ticket.message.method == "HEAD")
        text = self._text(attempt, out.ticket)
        out.written = link.sending = True  # from here on it may have run
        try:
            await self._loop.sock_sendall(link.sock, text)
        except OSError:
            self._broken(link)
        finally:
            link.sending = False

    def _end(self, attempt: Attempt, outcome: AttemptOutcome, answer: HttpResponse | None) -> None:
        if self._out.pop(attempt, None) is not None:
            assert self.driver is not None
            report = None if answer is None else report_of(answer, self._reports)
            self.driver.attempt_ended(attempt, outcome, answer, report)

    async def _listen(self, link: Link) -> None:
        """Reads all that comes on a connection, answers and what nobody asked for, until it ends."""
        recv, sock, buffer, view = self._loop.sock_recv_into, link.sock, link.buffer, memoryview(link.buffer)
        try:
            while True:
                size = await recv(sock, buffer)
                if link.dead or (link.trip is None and link.answer is None):
                    break  # given up, or closed while it was idle, or unasked bytes: of no more use
                progress = link.reader.feed(view[:size]) if size else link.reader.eof()
                if progress is Progress.WAITING:
                    continue
                self._answered(link, link.reader.answer if progress is Progress.WHOLE else None, size > 0)
                self.after()
                if link.dead:
                    break
        except OSError:
            pass
        except Exception:
            self._log.exception("a connection to a unit failed")
        finally:
            view.release()
            self._broken(link)
            link.dead = True
            pool = link.pool
            if link in pool.idle:
                pool.idle.remove(link)
            else:
                pool.used -= 1
            sock.close()
            if len(self._spare) < 256:
                self._spare.append(link.buffer)
            if pool.free is not None:
                pool.free.set()

    def _answered(self, link: Link, answer: HttpResponse | None, open_: bool) -> None:
        attempt, link.trip = link.trip, None
        probe, link.answer = link.answer, None
        # An answer that came before its request was written whole leaves a connection nobody can use again.
        if answer is not None and answer.keep and open_ and not link.sending and not link.pool.left:
            self._keep(link)
        else:
            self._kill(link)
        if probe is not None and not probe.done():
            probe.set_result(answer)
        if attempt is None:
            return
        if answer is None:
            outcome = AttemptOutcome.RESET
        elif answer.header(TURNED_AWAY) is not None:
            outcome = AttemptOutcome.REJECTED
        else:
            outcome = AttemptOutcome.ERROR if answer.status >= 500 else AttemptOutcome.SUCCEEDED
        self._end(attempt, outcome, answer)

    def _broken(self, link: Link) -> None:
        """The connection failed: what was out on it may have run."""
        if link.trip is not None or link.answer is not None:
            self._answered(link, None, False)
            self.after()

    def _text(self, attempt: Attempt, pending: PendingRequest) -> bytes:
        ask, left = pending.message, attempt.sent_at + attempt.timeout - self._driver_now()
        headers = serialization.passed_on(ask.headers, OURS)
        headers += (
            (b"lanelead-relay", self._number),
            (b"lanelead-trip", b"%d" % attempt.number),
            (b"lanelead-lane", attempt.request.request_class.name.encode()),
            (b"lanelead-left", b"%d" % max(0, left // 10)),
        )
        if ask.header(b"x-request-id") is None:
            headers.append((b"x-request-id", pending.id.encode("latin-1")))
        return serialization.request(ask.method, ask.target, headers, ask.body)

    def _driver_now(self) -> Ticks:
        assert self.driver is not None
        return self.driver.decisions.now

    # Pools

    def _pool(self, unit: Endpoint, place: Destination) -> Pool:
        pool = self._pools.get(unit)
        if pool is None or pool.place != place:
            if pool is not None:
                pool.left = True
                self._empty(pool)
            pool = self._pools[unit] = Pool(place)
        return pool

    def _idle(self, pool: Pool) -> Link | None:
        if not pool.idle:
            return None
        pool.used += 1
        self.reused += 1
        return pool.idle.pop()

    async def _open(self, pool: Pool) -> Link | None:
        end = self._loop.time() + self._connect_limit
        while pool.used >= self._most:
            pool.free = pool.free or asyncio.Event()
            pool.free.clear()
            try:
                async with asyncio.timeout_at(end):
                    await pool.free.wait()
            except TimeoutError:
                return None
            if (link := self._idle(pool)) is not None:
                return link
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
        link = Link(sock, pool, self._spare.pop() if self._spare else bytearray(BUFFER), self._answer_bytes)
        task = self._loop.create_task(self._listen(link))
        self._listeners.add(task)
        task.add_done_callback(self._listeners.discard)
        return link

    def _keep(self, link: Link) -> None:
        pool = link.pool
        pool.used -= 1
        link.idle_since = self._loop.time()
        pool.idle.append(link)
        if pool.free is not None:
            pool.free.set()

    def _kill(self, link: Link) -> None:
        """Ends a connection: its reads fail, and the task that reads it clears up."""
        link.dead = True
        with contextlib.suppress(OSError):
            link.sock.shutdown(socket.SHUT_RDWR)

    def _empty(self, pool: Pool) -> None:
        idle, pool.idle = pool.idle, []
        pool.used += len(idle)  # until the tasks that read them have cleared up
        for link in idle:
            self._kill(link)

    def close_idle(self, unit: Endpoint) -> None:
        if (pool := self._pools.get(unit)) is not None:
            self._empty(pool)

    def sweep(self) -> None:
        """Closes what has been idle for longer than the limit; called now and then."""
        oldest = self._loop.time() - self._idle_limit
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since < oldest:
                pool.used += 1
                self._kill(pool.idle.pop(0))

    # Probes

    def probe(self, unit: Endpoint) -> None:
        """One at a time for each unit: a second one while the first is out would tell nothing more."""
        if unit not in self._probes:
            self._probes[unit] = self._loop.create_task(self._probe(unit))

    async def _probe(self, unit: Endpoint) -> None:
        driver = self.driver
        assert driver is not None
        began, outcome, report = self._loop.time(), AttemptOutcome.CONNECT_FAILED, None
        place, link = driver.destinations.get(unit), None
        try:
            if place is None:
                return
            pool = self._pool(unit, place)
            link = self._idle(pool) or await self._open(pool)
            if link is None:
                return
            outcome = AttemptOutcome.TIMED_OUT
            link.reader.expect(False)
            link.answer = self._loop.create_future()
            text = serialization.request("GET", b"/.lanelead/load", [(b"host", place.host.encode())], b"")
            async with asyncio.timeout(self._connect_limit):
                await self._loop.sock_sendall(link.sock, text)
                answer = await link.answer
            link = None  # it has been kept, or ended, by whoever read the answer
            if answer is None:
                outcome = AttemptOutcome.RESET
            elif answer.status != 200:
                outcome = AttemptOutcome.ERROR
            else:
                report, outcome = figures(decode(answer.body, LoadMessage), self._reports), AttemptOutcome.SUCCEEDED
        except (OSError, TimeoutError):
            pass
        except MessageError:
            outcome = AttemptOutcome.ERROR
        finally:
            self._probes.pop(unit, None)
            if link is not None:
                link.answer = None
                self._kill(link)
            driver.health_checked(unit, outcome, int((self._loop.time() - began) * 10_000), report)
            self.after()

    async def shut(self) -> None:
        """Ends all that is out; for the end of the process."""
        for attempt in list(self._out):
            self.abandon(attempt)
        for task in self._probes.values():
            task.cancel()
        await asyncio.gather(*self._probes.values(), return_exceptions=True)
        for pool in self._pools.values():
            self._empty(pool)
        await asyncio.gather(*self._listeners, return_exceptions=True)
