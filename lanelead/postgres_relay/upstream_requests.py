"""What passes on connections to units in PostgreSQL's protocol: trips and probes, and how each came out.

docs/node.md has the table of fates. A trip can have run once its last byte was handed to the kernel, and no
sooner. A connection carries one trip at a time, and another only after a whole answer with nothing behind it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from lanelead.decisions.interface import Attempt, AttemptOutcome, Endpoint, LoadReport, Ticks
from lanelead.pgwire import messages
from lanelead.pgwire.servers import Progress, QueryResult
from lanelead.pgwire.statements import Statement
from lanelead.postgres_relay.connection_pool import REST, Link, Pools
from lanelead.postgres_relay.load_reports import report_of, still
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest

BUFFER = 65536  # bytes read at once
STARTUP = messages.startup("app", "shop")
TURNED_AWAY = "53300"
PROBE = messages.query(b"SHOW vitals")


class Links(Pools):
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
        super().__init__(loop, connect_limit, idle_limit, most, longest, log)
        self._names = names
        self.driver: DecisionDriver
        self.after: Callable[[], None] = lambda: None
        self.waiting: list[Attempt] = []  # trips to set out
        self._probes: list[Endpoint] = []  # and units to probe
        self._out: dict[Attempt, tuple[PendingRequest, Link | None]] = {}
        self.reused = self.spoilt = 0
        self.refused = self.unwelcome = 0  # connections that were refused, and that never came up

    # Trips

    def send(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Notes a trip; `set_out` sends it."""
        self._out[attempt] = pending, None
        self.waiting.append(attempt)

    def probe(self, unit: Endpoint) -> None:
        """Notes a probe; `set_out` sends it."""
        self._probes.append(unit)

    def set_out(self) -> None:
        """Sends what was noted. Not from within a call of the driver's: what fails at once is told to it."""
        while self.waiting or self._probes:
            attempts, self.waiting = self.waiting, []
            units, self._probes = self._probes, []
            for attempt in attempts:
                self.go(attempt)
            for unit in units:
                self._probe(unit)

    def abandon(self, attempt: Attempt) -> bool:
        """Waits no longer for it; says whether it may have run."""
        _, link = self._out.pop(attempt, (None, None))
        if link is None:
            return False
        link.trip = None
        if link.connected:  # what is still connecting becomes an idle one
            self._end(link)
        return link.asked

    def go(self, attempt: Attempt) -> None:
        entry = self._out.get(attempt)
        if entry is None:  # given up in the same breath
            return
        place = self.driver.destination_of(attempt)
        if place is None:
            self._ended(attempt, AttemptOutcome.NOT_SENT, None)
            return
        pool = self._pool(attempt.endpoint, place)
        link = self._idle(pool)
        if link is not None:
            self.reused += 1
        elif (link := self._open(pool)) is None:
            self._ended(attempt, AttemptOutcome.NOT_SENT, None)
            return
        link.trip, self._out[attempt] = attempt, (entry[0], link)
        if link.connected:
            self._ask(link, self._text(attempt, entry[0].message))

    def _text(self, attempt: Attempt, statement: Statement) -> bytes:
        left = attempt.sent_at + attempt.timeout - self.driver.decisions.now
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

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, answer: QueryResult | None) -> None:
        if self._out.pop(attempt, None) is not None:
            report = report_of(answer.report, self._names) if answer else None
            self.driver.attempt_ended(attempt, outcome, answer, report)

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
        rested, link.since = self._loop.time() - link.since, self._loop.time()
        progress = link.reader.feed(data)
        if progress is Progress.WAITING:
            return
        if progress is Progress.SPOILT:
            self.spoilt += 1
            idle = round(rested * 1000, 1) if link.trip is None and link.probe is None else None
            self._log.info("spoilt answer", reason=link.reader.reason[:120], idle_ms=idle)
            self._broken(link, "spoilt")
        elif not link.connected:
            self._welcomed(link)
        elif link.writing and link.reader.answer and link.reader.answer.code != TURNED_AWAY:
            # A unit begins once its question's last byte has come: this answers something else.
            self.spoilt += 1
            self._log.info("spoilt answer", reason="it came before its question was written whole")
            self._broken(link, "early")
        else:
            self._answered(link)
        self.after()

    def _welcomed(self, link: Link) -> None:
        link.connected = True
        if link.timer is not None:
            link.timer.cancel()
            link.timer = None
        attempt = link.trip
        if attempt is not None:
            if self.driver.destination_of(attempt) != link.pool.place:
                link.trip = None
                self._ended(attempt, AttemptOutcome.NOT_SENT, None)
            else:
                self._ask(link, self._text(attempt, self._out[attempt][0].message))
                return
        elif link.probe is not None:
            self._ask(link, PROBE)
            return
        self._keep(link)

    def _answered(self, link: Link) -> None:
        answer = link.reader.answer
        assert answer is not None
        attempt, link.trip = link.trip, None
        probe, link.probe = link.probe, None
        whole, link.asked = link.asked, False
        link.rested = self._loop.time() + REST
        if link.reader.ready and whole:
            self._keep(link)
        else:
            self._end(link)
        if attempt is not None:
            if answer.code is None:
                outcome = AttemptOutcome.SUCCEEDED
            elif answer.code == TURNED_AWAY:
                outcome = AttemptOutcome.REJECTED
            else:
                outcome = AttemptOutcome.ERROR
            self._ended(attempt, outcome, answer)
        if probe is not None:
            report = report_of(answer.value, self._names) if answer.code is None else None
            self._probed(probe, AttemptOutcome.SUCCEEDED if answer.code is None else AttemptOutcome.ERROR, link, report)

    def _broken(self, link: Link, reason: str) -> None:
        """The connection is of no more use. What was asked whole on it may have run."""
        attempt, link.trip = link.trip, None
        probe, link.probe = link.probe, None
        asked = link.asked
        self._end(link)
        if attempt is not None:
            self._ended(attempt, AttemptOutcome.RESET if asked else AttemptOutcome.CONNECT_FAILED, None)
        if probe is not None:
            self._probed(probe, AttemptOutcome.RESET if asked else AttemptOutcome.CONNECT_FAILED, link, None)

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

    def sweep(self) -> None:
        """To be called a few times a second: idle connections that are worn, pools of units that are gone,
        and answers that stopped in the middle."""
        self._wear()
        now = self._loop.time()
        # Guards against a unit that says a length and sends less: the trip would wait for its whole time.
        stalled = [link for link in self.links if link.connected and link.trip and link.reader.began]
        for link in stalled:
            # What waits to be read was the relay's own delay, and is no fault of the unit's.
            if link.since < now - self._connect_limit and still(link.sock):
                self.spoilt += 1
                self._log.info("spoilt answer", reason="it stopped in the middle")
                self._broken(link, "stalled")
        self.after()

    # Probes

    def _probe(self, unit: Endpoint) -> None:
        place = self.driver.destinations.get(unit)
        if place is None:
            self._loop.call_soon(self._unprobed, unit)
            return
        pool = self._pool(unit, place)
        link = self._idle(pool) or self._open(pool)
        if link is None:
            self._loop.call_soon(self._unprobed, unit)
            return
        link.probe, link.began = unit, self._loop.time()
        link.late = self._loop.call_later(self._connect_limit, self._probe_late, link)
        if link.connected:
            self._ask(link, PROBE)

    def _probe_late(self, link: Link) -> None:
        link.late = None
        if (unit := link.probe) is not None:
            link.probe = None
            self._end(link)
            self._probed(unit, AttemptOutcome.TIMED_OUT, link, None)
            self.after()

    def _unprobed(self, unit: Endpoint) -> None:
        self.driver.health_checked(unit, AttemptOutcome.CONNECT_FAILED, 0, None)
        self.after()

    def _probed(self, unit: Endpoint, outcome: AttemptOutcome, link: Link, report: LoadReport | None) -> None:
        # Guards against the timer of this probe ending a later one on the same connection.
        if link.late is not None:
            link.late.cancel()
            link.late = None
        took: Ticks = max(0, int((self._loop.time() - link.began) * 10_000))
        self.driver.health_checked(unit, outcome, took, report)
