"""Attempts and health checks on upstream connections in PostgreSQL's protocol, and the outcome of each.

docs/postgres-relay.md has the table of outcomes. An attempt may have run only if the kernel has accepted the last byte
of its query.
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
from lanelead.postgres_relay.connection_pool import (
    REUSE_DELAY_SECONDS,
    ConnectionPool,
    PoolLimits,
    UpstreamConnection,
)
from lanelead.postgres_relay.load_reports import parse_load_report
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.peer_close import is_idle_socket
from lanelead.runtime.pending_requests import PendingRequest

MAX_READS_PER_TURN = 16  # of one connection
STARTUP_MESSAGE = messages.startup("app", "shop")  # user and database
REJECTED_CODE = "53300"  # SQLSTATE too_many_connections
HEALTH_CHECK_QUERY = messages.query(b"SHOW vitals")  # the result is the endpoint's load report


class UpstreamRequests(ConnectionPool):
    """Starts attempts and health checks and reports their outcomes to the driver, except for cancelled attempts.

    `report_names` are the load report fields to keep. `driver` has to be set before use. `after_event` is called
    whenever the driver may have been notified of an event; the service then starts enqueued attempts and sets the
    driver's timer.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: PoolLimits, report_names: frozenset[str], log: Any
    ) -> None:
        super().__init__(loop, limits, log)
        self._report_names = report_names
        self.driver: DecisionDriver
        self.after_event: Callable[[], None] = lambda: None
        self._waiting_attempts: list[Attempt] = []
        self._waiting_health_checks: list[Endpoint] = []
        # From `enqueue_attempt` until the outcome; the connection is None before the attempt starts.
        self._in_flight: dict[Attempt, tuple[PendingRequest, UpstreamConnection | None]] = {}
        self.reused_connections = 0  # by attempts; reuse by health checks is not counted
        # Also unsolicited bytes, early or incomplete responses, and errors in place of a startup response.
        self.malformed_responses = 0
        self.refused_connections = 0  # connects that failed, for any reason
        self.handshake_timeouts = 0  # connections that were not ready for a query in time
        self.partial_writes = 0  # queries that the kernel did not accept at once

    # Enqueueing and attempts

    def enqueue_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Enqueues an attempt; `start_waiting` starts it."""
        self._in_flight[attempt] = pending, None
        self._waiting_attempts.append(attempt)

    def enqueue_health_check(self, endpoint: Endpoint) -> None:
        """Enqueues a health check; `start_waiting` starts it."""
        self._waiting_health_checks.append(endpoint)

    def start_waiting(self) -> None:
        """Starts all enqueued attempts and health checks.

        The driver must not call this: it would be notified of immediate failures within its own call.
        """
        while self._waiting_attempts or self._waiting_health_checks:
            attempts = self._waiting_attempts
            self._waiting_attempts = []
            endpoints = self._waiting_health_checks
            self._waiting_health_checks = []
            for attempt in attempts:
                self._start_attempt(attempt)
            for endpoint in endpoints:
                self._start_health_check(endpoint)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Drops an attempt without reporting an outcome; returns whether it may have run.

        Closes its connection if that was ready for queries.
        """
        _, connection = self._in_flight.pop(attempt, (None, None))
        if connection is None:
            return False
        connection.attempt = None
        if connection.connected:  # otherwise it becomes idle once it is connected
            self._close_connection(connection)
        return connection.query_sent

    def _start_attempt(self, attempt: Attempt) -> None:
        entry = self._in_flight.get(attempt)
        if entry is None:  # cancelled before it started
            return
        destination = self.driver.destination_of(attempt)
        if destination is None:
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)
            return
        pool = self._pool_for(attempt.endpoint, destination)
        connection = self._take_idle(pool)
        if connection is not None:
            self.reused_connections += 1
        else:
            connection = self._open_connection(pool)
            if connection is None:
                self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)
                return
        pending = entry[0]
        connection.attempt = attempt
        self._in_flight[attempt] = pending, connection
        if connection.connected:
            self._send_query(connection, self._statement_message(attempt, pending.message))

    def _statement_message(self, attempt: Attempt, statement: Statement) -> bytes:
        """Encodes the query with the attempt's time left in milliseconds, as of the last call of `destination_of`."""
        time_left = attempt.sent_at + attempt.timeout - self.driver.decisions.now
        return messages.query(statement.render(max(1, time_left // 10)))

    def _send_query(self, connection: UpstreamConnection, text: bytes) -> None:
        connection.begin_query(text)
        try:
            connection.send_some()
        except OSError:
            self._fail_connection(connection)
            return
        if not connection.query_sent:
            self.partial_writes += 1
            connection.writing = True
            self._loop.add_writer(connection.sock, self._on_writable, connection)

    def _on_writable(self, connection: UpstreamConnection) -> None:
        """Handles the end of a connect, or sends more of a query if `writing` is set."""
        if not connection.writing:
            self._on_connect_ended(connection)
            return
        attempt = connection.attempt
        if attempt is not None and not self.driver.may_complete(attempt):
            self._withdraw_query(connection, attempt)
            self.after_event()
            return
        try:
            connection.send_some()
        except OSError:
            self._fail_connection(connection)
            self.after_event()
            return
        if connection.query_sent:
            connection.writing = False
            self._loop.remove_writer(connection.sock)

    def _withdraw_query(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Ends an attempt that may not be completed: it cannot run, since its last byte was not written."""
        connection.attempt = None
        self._close_connection(connection)
        self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)

    def _attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, result: QueryResult | None) -> None:
        if self._in_flight.pop(attempt, None) is not None:
            report = parse_load_report(result.report, self._report_names) if result else None
            self.driver.attempt_ended(attempt, outcome, result, report)

    # Events on connections

    def _on_readable(self, connection: UpstreamConnection) -> None:
        """Reads what has arrived. A response that comes in pieces is read on, so as not to take a turn for each."""
        for _ in range(MAX_READS_PER_TURN):
            if not self._read(connection) or not self.partial_responses.may_read_on(connection):
                return

    def _read(self, connection: UpstreamConnection) -> bool:
        """Reads once; returns whether something was read and the response is incomplete."""
        try:
            data = connection.sock.recv(self.partial_responses.read_size(connection))
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            data = b""
        if not data:
            self._fail_connection(connection)
            self.after_event()
            return False
        now = self._loop.time()
        idle_seconds = now - connection.last_activity
        connection.last_activity = now
        reader = connection.reader
        progress = reader.feed(data)
        self.partial_responses.update(connection)
        if progress is Progress.WAITING:
            return True
        if progress is Progress.MALFORMED:
            in_use = connection.attempt is not None or connection.health_check is not None
            # For bytes on an idle connection: how late they came, since they may be a duplicated response.
            idle_ms = None if in_use else round(idle_seconds * 1000, 1)
            self._fail_malformed(connection, reader.reason[:120], idle_ms=idle_ms)
        elif not connection.connected:
            self._on_ready(connection)
        elif connection.writing and reader.response and reader.response.error_code != REJECTED_CODE:
            # An endpoint runs a query only once all of it has arrived, so it can only reject it before that.
            self._fail_malformed(connection, "response before the query was sent completely")
        else:
            self._on_response(connection)
        self.after_event()
        return False

    def _on_ready(self, connection: UpstreamConnection) -> None:
        """Handles the endpoint's first ReadyForQuery: sends the query for which the connection was opened.

        The connection becomes idle if there is none any more, or if the attempt's endpoint is now listed with another
        destination; the attempt then ends as NOT_SENT.
        """
        connection.connected = True
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
            connection.connect_timer = None
        attempt = connection.attempt
        if attempt is not None:
            if self.driver.destination_of(attempt) == connection.pool.destination:
                self._send_query(connection, self._statement_message(attempt, self._in_flight[attempt][0].message))
                return
            connection.attempt = None
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)
        elif connection.health_check is not None:
            self._send_query(connection, HEALTH_CHECK_QUERY)
            return
        self._keep_idle(connection)

    def _on_response(self, connection: UpstreamConnection) -> None:
        result = connection.reader.take_response()
        attempt = connection.attempt
        connection.attempt = None
        health_check = connection.health_check
        connection.health_check = None
        query_sent = connection.query_sent
        connection.query_sent = False
        connection.reusable_at = self._loop.time() + REUSE_DELAY_SECONDS
        if connection.reader.ready and query_sent:
            self._keep_idle(connection)
        else:
            self._close_connection(connection)
        if attempt is not None:
            if result.error_code is None:
                outcome = AttemptOutcome.SUCCEEDED
            elif result.error_code == REJECTED_CODE:
                outcome = AttemptOutcome.REJECTED
            else:
                outcome = AttemptOutcome.ERROR
            self._attempt_ended(attempt, outcome, result)
        if health_check is not None:
            if result.error_code is None:
                report = parse_load_report(result.value, self._report_names)
                self._health_check_ended(health_check, AttemptOutcome.SUCCEEDED, connection, report)
            else:  # also a rejection
                self._health_check_ended(health_check, AttemptOutcome.ERROR, connection, None)

    def _fail_malformed(self, connection: UpstreamConnection, reason: str, **fields: float | None) -> None:
        self.malformed_responses += 1
        self._log.info("malformed response", reason=reason, **fields)
        self._fail_connection(connection)

    def _fail_connection(self, connection: UpstreamConnection) -> None:
        """Closes a broken connection and reports the outcome: RESET if its query was sent completely and may have run,
        CONNECT_FAILED if it cannot have run.
        """
        attempt = connection.attempt
        connection.attempt = None
        health_check = connection.health_check
        connection.health_check = None
        outcome = AttemptOutcome.RESET if connection.query_sent else AttemptOutcome.CONNECT_FAILED
        self._close_connection(connection)
        if attempt is not None:
            self._attempt_ended(attempt, outcome, None)
        if health_check is not None:
            self._health_check_ended(health_check, outcome, connection, None)

    def _on_connect_ended(self, connection: UpstreamConnection) -> None:
        """Sends the startup message, or fails the connection if the connect has failed.

        `connection.connected` is set only later, by `_on_ready`.
        """
        self._loop.remove_writer(connection.sock)
        try:
            error = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error or connection.sock.send(STARTUP_MESSAGE) != len(STARTUP_MESSAGE):
                raise OSError(error, "not connected")
        except OSError:
            self.refused_connections += 1
            self._fail_connection(connection)
            self.after_event()
            return
        self._loop.add_reader(connection.sock, self._on_readable, connection)

    def _on_connect_timeout(self, connection: UpstreamConnection) -> None:
        connection.connect_timer = None
        if connection in self.connections and not connection.connected:
            self.handshake_timeouts += 1
            self._fail_connection(connection)
            self.after_event()

    def sweep(self) -> None:
        """Closes connections that were idle for too long, and those on which an attempt's response has stopped.

        Also drops the pools of removed endpoints. To be called a few times a second.
        """
        self._close_expired_idle()
        oldest = self._loop.time() - self._connect_timeout
        # An endpoint may send fewer bytes than it announced. The attempt would then wait until its timeout.
        incomplete = [
            connection
            for connection in self.connections
            if connection.connected and connection.attempt and connection.reader.has_partial_response
        ]
        for connection in incomplete:
            # If bytes wait to be read, this relay is late and not the endpoint.
            if connection.last_activity < oldest and is_idle_socket(connection.sock):
                self._fail_malformed(connection, "response stopped before its end")
        self.after_event()

    # Health checks

    def _start_health_check(self, endpoint: Endpoint) -> None:
        destination = self.driver.destinations.get(endpoint)
        connection = None
        if destination is not None:
            pool = self._pool_for(endpoint, destination)
            connection = self._take_idle(pool) or self._open_connection(pool)
        if connection is None:
            self._loop.call_soon(self._health_check_not_sent, endpoint)
            return
        connection.health_check = endpoint
        connection.health_check_started = self._loop.time()
        connection.health_check_timer = self._loop.call_later(
            self._connect_timeout, self._on_health_check_timeout, connection
        )
        if connection.connected:
            self._send_query(connection, HEALTH_CHECK_QUERY)

    def _on_health_check_timeout(self, connection: UpstreamConnection) -> None:
        connection.health_check_timer = None
        endpoint = connection.health_check
        if endpoint is not None:
            connection.health_check = None
            self._close_connection(connection)
            self._health_check_ended(endpoint, AttemptOutcome.TIMED_OUT, connection, None)
            self.after_event()

    def _health_check_not_sent(self, endpoint: Endpoint) -> None:
        """Reports a health check for which there is no destination or no connection could be opened.

        Called by the event loop: the decisions must not be called back from within a call of theirs.
        """
        self.driver.health_checked(endpoint, AttemptOutcome.CONNECT_FAILED, 0, None)
        self.after_event()

    def _health_check_ended(
        self, endpoint: Endpoint, outcome: AttemptOutcome, connection: UpstreamConnection, report: LoadReport | None
    ) -> None:
        # If its timer went on, it could end a later health check on the same connection.
        if connection.health_check_timer is not None:
            connection.health_check_timer.cancel()
            connection.health_check_timer = None
        elapsed: Ticks = max(0, int((self._loop.time() - connection.health_check_started) * 10_000))
        self.driver.health_checked(endpoint, outcome, elapsed, report)
