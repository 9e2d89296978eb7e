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
from lanelead.postgres_relay.connection_pool import REUSE_DELAY_SECONDS, ConnectionPool, UpstreamConnection
from lanelead.postgres_relay.load_reports import is_idle_socket, parse_load_report
from lanelead.runtime.driver import DecisionDriver, PendingRequest

READ_BUFFER_BYTES = 65536  # bytes read at once
STARTUP_MESSAGE = messages.startup("app", "shop")
REJECTED_CODE = "53300"
HEALTH_CHECK_QUERY = messages.query(b"SHOW vitals")


class UpstreamRequests(ConnectionPool):
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
        self._report_names = names
        self.driver: DecisionDriver
        self.after_event: Callable[[], None] = lambda: None
        self._waiting_attempts: list[Attempt] = []  # trips to set out
        self._waiting_health_checks: list[Endpoint] = []  # and units to probe
        self._in_flight: dict[Attempt, tuple[PendingRequest, UpstreamConnection | None]] = {}
        self.reused_connections = self.malformed_responses = 0
        self.refused_connections = self.handshake_timeouts = 0  # connections that were refused, and that never came up

    # Trips

    def enqueue_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Notes a trip; `set_out` sends it."""
        self._in_flight[attempt] = pending, None
        self._waiting_attempts.append(attempt)

    def enqueue_health_check(self, unit: Endpoint) -> None:
        """Notes a probe; `set_out` sends it."""
        self._waiting_health_checks.append(unit)

    def start_waiting(self) -> None:
        """Sends what was noted. Not from within a call of the driver's: what fails at once is told to it."""
        while self._waiting_attempts or self._waiting_health_checks:
            attempts, self._waiting_attempts = self._waiting_attempts, []
            units, self._waiting_health_checks = self._waiting_health_checks, []
            for attempt in attempts:
                self._start_attempt(attempt)
            for unit in units:
                self._start_health_check(unit)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Waits no longer for it; says whether it may have run."""
        _, link = self._in_flight.pop(attempt, (None, None))
        if link is None:
            return False
        link.attempt = None
        if link.connected:  # what is still connecting becomes an idle one
            self._close_connection(link)
        return link.query_sent

    def _start_attempt(self, attempt: Attempt) -> None:
        entry = self._in_flight.get(attempt)
        if entry is None:  # given up in the same breath
            return
        place = self.driver.destination_of(attempt)
        if place is None:
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)
            return
        pool = self._pool_for(attempt.endpoint, place)
        link = self._take_idle(pool)
        if link is not None:
            self.reused_connections += 1
        elif (link := self._open_connection(pool)) is None:
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)
            return
        link.attempt, self._in_flight[attempt] = attempt, (entry[0], link)
        if link.connected:
            self._send_query(link, self._statement_text(attempt, entry[0].message))

    def _statement_text(self, attempt: Attempt, statement: Statement) -> bytes:
        left = attempt.sent_at + attempt.timeout - self.driver.decisions.now
        return messages.query(statement.render(max(1, left // 10)))

    def _send_query(self, link: UpstreamConnection, text: bytes) -> None:
        link.reader.begin_response()
        link.query_sent = False
        try:
            size = link.sock.send(text)
        except (BlockingIOError, InterruptedError):
            size = 0
        except OSError:
            self._fail_connection(link, "broke before its question")
            return
        if size == len(text):
            link.query_sent = True
        else:
            link.unsent, link.writing = memoryview(text)[size:], True
            self._loop.add_writer(link.sock, self._on_writable, link)

    def _on_writable(self, link: UpstreamConnection) -> None:
        """Writes what the kernel did not take at first, or finds out how a connection came up."""
        if not link.writing:
            self._on_connected(link)
            return
        try:
            link.unsent = link.unsent[link.sock.send(link.unsent) :]
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._fail_connection(link, "broke within its question")
            self.after_event()
            return
        if not link.unsent:
            link.query_sent, link.writing = True, False
            self._loop.remove_writer(link.sock)

    def _attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, answer: QueryResult | None) -> None:
        if self._in_flight.pop(attempt, None) is not None:
            report = parse_load_report(answer.report, self._report_names) if answer else None
            self.driver.attempt_ended(attempt, outcome, answer, report)

    # What comes back

    def _on_readable(self, link: UpstreamConnection) -> None:
        try:
            data = link.sock.recv(READ_BUFFER_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self._fail_connection(link, "ended")
            self.after_event()
            return
        rested, link.last_activity = self._loop.time() - link.last_activity, self._loop.time()
        progress = link.reader.feed(data)
        if progress is Progress.WAITING:
            return
        if progress is Progress.MALFORMED:
            self.malformed_responses += 1
            idle = round(rested * 1000, 1) if link.attempt is None and link.health_check is None else None
            self._log.info("spoilt answer", reason=link.reader.reason[:120], idle_ms=idle)
            self._fail_connection(link, "spoilt")
        elif not link.connected:
            self._on_ready(link)
        elif link.writing and link.reader.response and link.reader.response.error_code != REJECTED_CODE:
            # A unit begins once its question's last byte has come: this answers something else.
            self.malformed_responses += 1
            self._log.info("spoilt answer", reason="it came before its question was written whole")
            self._fail_connection(link, "early")
        else:
            self._on_response(link)
        self.after_event()

    def _on_ready(self, link: UpstreamConnection) -> None:
        link.connected = True
        if link.connect_timer is not None:
            link.connect_timer.cancel()
            link.connect_timer = None
        attempt = link.attempt
        if attempt is not None:
            if self.driver.destination_of(attempt) != link.pool.destination:
                link.attempt = None
                self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)
            else:
                self._send_query(link, self._statement_text(attempt, self._in_flight[attempt][0].message))
                return
        elif link.health_check is not None:
            self._send_query(link, HEALTH_CHECK_QUERY)
            return
        self._keep_idle(link)

    def _on_response(self, link: UpstreamConnection) -> None:
        answer = link.reader.response
        assert answer is not None
        attempt, link.attempt = link.attempt, None
        probe, link.health_check = link.health_check, None
        whole, link.query_sent = link.query_sent, False
        link.reusable_at = self._loop.time() + REUSE_DELAY_SECONDS
        if link.reader.ready and whole:
            self._keep_idle(link)
        else:
            self._close_connection(link)
        if attempt is not None:
            if answer.error_code is None:
                outcome = AttemptOutcome.SUCCEEDED
            elif answer.error_code == REJECTED_CODE:
                outcome = AttemptOutcome.REJECTED
            else:
                outcome = AttemptOutcome.ERROR
            self._attempt_ended(attempt, outcome, answer)
        if probe is not None:
            report = parse_load_report(answer.value, self._report_names) if answer.error_code is None else None
            self._health_check_ended(
                probe, AttemptOutcome.SUCCEEDED if answer.error_code is None else AttemptOutcome.ERROR, link, report
            )

    def _fail_connection(self, link: UpstreamConnection, reason: str) -> None:
        """The connection is of no more use. What was asked whole on it may have run."""
        attempt, link.attempt = link.attempt, None
        probe, link.health_check = link.health_check, None
        asked = link.query_sent
        self._close_connection(link)
        if attempt is not None:
            self._attempt_ended(attempt, AttemptOutcome.RESET if asked else AttemptOutcome.CONNECT_FAILED, None)
        if probe is not None:
            self._health_check_ended(
                probe, AttemptOutcome.RESET if asked else AttemptOutcome.CONNECT_FAILED, link, None
            )

    def _on_connected(self, link: UpstreamConnection) -> None:
        self._loop.remove_writer(link.sock)
        try:
            fault = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault or link.sock.send(STARTUP_MESSAGE) != len(STARTUP_MESSAGE):
                raise OSError(fault, "not connected")
        except OSError:
            self.refused_connections += 1
            self._fail_connection(link, "refused")
            self.after_event()
            return
        self._loop.add_reader(link.sock, self._on_readable, link)

    def _on_connect_timeout(self, link: UpstreamConnection) -> None:
        link.connect_timer = None
        if link in self.connections and not link.connected:
            self.handshake_timeouts += 1
            self._fail_connection(link, "never came up")
            self.after_event()

    def sweep(self) -> None:
        """To be called a few times a second: idle connections that are worn, pools of units that are gone,
        and answers that stopped in the middle."""
        self._close_worn()
        now = self._loop.time()
        # Guards against a unit that says a length and sends less: the trip would wait for its whole time.
        stalled = [link for link in self.connections if link.connected and link.attempt and link.reader.response_begun]
        for link in stalled:
            # What waits to be read was the relay's own delay, and is no fault of the unit's.
            if link.last_activity < now - self._connect_limit and is_idle_socket(link.sock):
                self.malformed_responses += 1
                self._log.info("spoilt answer", reason="it stopped in the middle")
                self._fail_connection(link, "stalled")
        self.after_event()

    # Probes

    def _start_health_check(self, unit: Endpoint) -> None:
        place = self.driver.destinations.get(unit)
        if place is None:
            self._loop.call_soon(self._health_check_not_sent, unit)
            return
        pool = self._pool_for(unit, place)
        link = self._take_idle(pool) or self._open_connection(pool)
        if link is None:
            self._loop.call_soon(self._health_check_not_sent, unit)
            return
        link.health_check, link.health_check_started = unit, self._loop.time()
        link.health_check_timer = self._loop.call_later(self._connect_limit, self._on_health_check_timeout, link)
        if link.connected:
            self._send_query(link, HEALTH_CHECK_QUERY)

    def _on_health_check_timeout(self, link: UpstreamConnection) -> None:
        link.health_check_timer = None
        if (unit := link.health_check) is not None:
            link.health_check = None
            self._close_connection(link)
            self._health_check_ended(unit, AttemptOutcome.TIMED_OUT, link, None)
            self.after_event()

    def _health_check_not_sent(self, unit: Endpoint) -> None:
        self.driver.health_checked(unit, AttemptOutcome.CONNECT_FAILED, 0, None)
        self.after_event()

    def _health_check_ended(
        self, unit: Endpoint, outcome: AttemptOutcome, link: UpstreamConnection, report: LoadReport | None
    ) -> None:
        # Guards against the timer of this probe ending a later one on the same connection.
        if link.health_check_timer is not None:
            link.health_check_timer.cancel()
            link.health_check_timer = None
        took: Ticks = max(0, int((self._loop.time() - link.health_check_started) * 10_000))
        self.driver.health_checked(unit, outcome, took, report)
