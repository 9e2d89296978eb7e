"""Sends attempts and health checks to endpoints and determines their outcomes.

Whether an attempt may have run is decided conservatively (docs/http-relay.md has the table of cases):
 - No byte of it was passed to the kernel: it has not run (connect failed, or not sent).
 - Some byte was, and no complete response was received: it may have run (reset, timed out, cancelled).
 - The endpoint stated in a header that it rejected the request before any work on it: it has not run (rejected).
 - A complete response with status 500 or above: an error, and it may have run.
 - Any other complete response: succeeded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lanelead.decisions.interface import SECOND, Attempt, AttemptOutcome, Endpoint, LoadReport, Ticks
from lanelead.http import serialization
from lanelead.http.responses import HttpResponse
from lanelead.http_relay.connection_pool import ConnectionPools, EndpointPool, PoolLimits, UpstreamConnection
from lanelead.http_relay.headers import REJECTED_HEADER, RELAY_HEADERS
from lanelead.http_relay.load_reports import load_report, report_from_header
from lanelead.protocols.feeds import LoadMessage, MessageError, decode
from lanelead.runtime.destination import Destination
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest

HEALTH_CHECK_PATH = b"/.lanelead/load"


class InFlightAttempt:
    """An attempt in flight: its connection, and whether any byte of it may have been written."""

    __slots__ = ("connection", "opening", "pending", "written")

    def __init__(self, pending: PendingRequest) -> None:
        self.pending = pending
        self.opening: asyncio.Task[None] | None = None  # the task that opens its connection
        self.connection: UpstreamConnection | None = None
        self.written = False


class UpstreamRequests:
    """Carries out attempts and health checks.

    relay_number: sent with each request.
    report_names: the values of load reports that the settings list.
    driver: set by the service.
    after_event: set by the service; called after the driver has been notified of events.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        relay_number: int,
        limits: PoolLimits,
        report_names: frozenset[str],
        log: Any,
    ) -> None:
        self._loop = loop
        self._relay_number = b"%d" % relay_number
        self._health_check_seconds = limits.connect_seconds
        self._report_names = report_names
        self._log = log
        self.pools = ConnectionPools(loop, limits, self._response_received, log)
        self.driver: DecisionDriver | None = None
        self.after_event: Callable[[], None] = lambda: None
        self.queued_attempts: list[Attempt] = []  # attempts to be sent by `start`
        self._in_flight: dict[Attempt, InFlightAttempt] = {}
        self._health_checks: dict[Endpoint, asyncio.Task[None]] = {}
        self.partial_writes = 0  # requests that the kernel did not accept at once

    # Attempts

    def enqueue_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Queues an attempt, to be sent by `start` once the driver has returned."""
        self._in_flight[attempt] = InFlightAttempt(pending)
        self.queued_attempts.append(attempt)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Cancels an attempt; returns whether any byte of it may have been written."""
        in_flight = self._in_flight.pop(attempt, None)
        if in_flight is None:
            return False
        if in_flight.opening is not None:
            in_flight.opening.cancel()
        if in_flight.connection is not None:
            in_flight.connection.attempt = None
            self.pools.close(in_flight.connection)
        return in_flight.written

    async def start(self, attempt: Attempt) -> None:
        """Sends an attempt on an idle connection, or starts a task that opens one for it."""
        driver = self.driver
        assert driver is not None
        in_flight = self._in_flight.get(attempt)
        if in_flight is None:  # cancelled while it was queued
            return
        destination = driver.destination_of(attempt)
        if destination is None:
            self._attempt_ended(attempt, AttemptOutcome.NOT_SENT, None)
            self.after_event()
            return
        pool = self.pools.pool_of(attempt.endpoint, destination)
        connection = self.pools.take_idle(pool)
        if connection is None:
            in_flight.opening = self._loop.create_task(self._open_and_send(attempt, in_flight, pool))
        else:
            await self._write(connection, attempt, in_flight)

    async def _open_and_send(self, attempt: Attempt, in_flight: InFlightAttempt, pool: EndpointPool) -> None:
        """Opens a connection, or waits for one to be returned, and sends the attempt on it."""
        driver = self.driver
        assert driver is not None
        outcome = AttemptOutcome.CONNECT_FAILED
        try:
            connection = await self.pools.open(pool)
            if connection is not None and driver.destination_of(attempt) != pool.destination:
                self.pools.return_connection(connection)
                connection = None
                outcome = AttemptOutcome.NOT_SENT
            in_flight.opening = None
            if connection is not None:
                await self._write(connection, attempt, in_flight)
                return
        except Exception:  # noqa: BLE001 - top level of the task: logged, and the attempt gets an outcome
            self._log.exception("sending an attempt failed")
        self._attempt_ended(attempt, outcome, None)
        self.after_event()

    async def _write(self, connection: UpstreamConnection, attempt: Attempt, in_flight: InFlightAttempt) -> None:
        connection.attempt = attempt
        in_flight.connection = connection
        connection.reader.expect(in_flight.pending.message.method == "HEAD")
        text = self._encode_request(attempt, in_flight.pending)
        connection.writing = True
        in_flight.written = True  # from here on it may have run
        try:
            await self._send(connection, attempt, text)
        except OSError:
            self.pools.connection_failed(connection)
        finally:
            connection.writing = False

    async def _send(self, connection: UpstreamConnection, attempt: Attempt, text: bytes) -> None:
        """Sends a whole request, in several writes if the kernel does not accept it at once.

        Cancels the attempt if it may not be completed any more. Raises OSError if the connection
        fails or is closed meanwhile.
        """
        assert self.driver is not None
        unsent = memoryview(text)[connection.send_some(memoryview(text)) :]
        self.partial_writes += len(unsent) > 0
        while unsent:
            await self.pools.until_writable(connection)
            if connection.attempt is attempt and not self.driver.may_complete(attempt):
                self.cancel_attempt(attempt)
                self.driver.attempt_ended(attempt, AttemptOutcome.CANCELLED)
                self.after_event()
                return
            unsent = unsent[connection.send_some(unsent) :]

    def _encode_request(self, attempt: Attempt, pending: PendingRequest) -> bytes:
        request = pending.message
        left = attempt.sent_at + attempt.timeout - self._now()
        headers = serialization.forwarded_headers(request.headers, RELAY_HEADERS)
        headers += (
            (b"lanelead-relay", self._relay_number),
            (b"lanelead-trip", b"%d" % attempt.number),
            (b"lanelead-lane", attempt.request.request_class.name.encode()),
            (b"lanelead-left", b"%d" % max(0, left // 10)),
        )
        if request.header(b"x-request-id") is None:
            headers.append((b"x-request-id", pending.id.encode("latin-1")))
        return serialization.request(request.method, request.target, headers, request.body)

    def _now(self) -> Ticks:
        assert self.driver is not None
        return self.driver.decisions.now

    def _response_received(
        self, connection: UpstreamConnection, response: HttpResponse | None, connection_open: bool
    ) -> None:
        """Ends the attempt or health check in flight on a connection; `response` is None if none was complete."""
        attempt = connection.attempt
        connection.attempt = None
        health_check = connection.health_check
        connection.health_check = None
        if self._reusable(connection, response, connection_open):
            self.pools.return_connection(connection)
        else:
            self.pools.close(connection)
        if health_check is not None and not health_check.done():
            health_check.set_result(response)
        if attempt is not None:
            self._attempt_ended(attempt, _outcome_of(response), response)
        self.after_event()

    @staticmethod
    def _reusable(connection: UpstreamConnection, response: HttpResponse | None, connection_open: bool) -> bool:
        """Whether a connection can be used again.

        It cannot if the response was received before the whole request was written: the rest would still be sent on it.
        """
        if response is None or not response.keep or not connection_open:
            return False
        return not connection.writing and not connection.pool.replaced

    def _attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome, response: HttpResponse | None) -> None:
        if self._in_flight.pop(attempt, None) is None:
            return
        assert self.driver is not None
        report = None if response is None else report_from_header(response, self._report_names)
        self.driver.attempt_ended(attempt, outcome, response, report)

    # Health checks

    def enqueue_health_check(self, endpoint: Endpoint) -> None:
        """Starts a health check, unless one of the same endpoint is in flight: a second one would tell nothing more."""
        if endpoint not in self._health_checks:
            self._health_checks[endpoint] = self._loop.create_task(self._check_health(endpoint))

    async def _check_health(self, endpoint: Endpoint) -> None:
        driver = self.driver
        assert driver is not None
        began = self._loop.time()
        outcome = AttemptOutcome.CONNECT_FAILED
        report: LoadReport | None = None
        try:
            destination = driver.destinations.get(endpoint)
            if destination is not None:
                outcome, report = await self._health_check_outcome(endpoint, destination)
        finally:
            self._health_checks.pop(endpoint, None)
            latency = int((self._loop.time() - began) * SECOND)
            driver.health_checked(endpoint, outcome, latency, report)
            self.after_event()

    async def _health_check_outcome(
        self, endpoint: Endpoint, destination: Destination
    ) -> tuple[AttemptOutcome, LoadReport | None]:
        pool = self.pools.pool_of(endpoint, destination)
        connection = self.pools.take_idle(pool) or await self.pools.open(pool)
        if connection is None:
            return AttemptOutcome.CONNECT_FAILED, None
        try:
            response = await self._health_check_response(connection, destination)
        except (OSError, TimeoutError):
            return AttemptOutcome.TIMED_OUT, None
        if response is None:
            return AttemptOutcome.RESET, None
        if response.status != 200:
            return AttemptOutcome.ERROR, None
        try:
            return AttemptOutcome.SUCCEEDED, load_report(decode(response.body, LoadMessage), self._report_names)
        except MessageError:
            return AttemptOutcome.ERROR, None

    async def _health_check_response(
        self, connection: UpstreamConnection, destination: Destination
    ) -> HttpResponse | None:
        """Returns the response, or None if the connection failed; `_response_received` has returned or closed it."""
        connection.reader.expect(False)
        health_check: asyncio.Future[HttpResponse | None] = self._loop.create_future()
        connection.health_check = health_check
        text = serialization.request("GET", HEALTH_CHECK_PATH, [(b"host", destination.host.encode())], b"")
        try:
            async with asyncio.timeout(self._health_check_seconds):
                await self._loop.sock_sendall(connection.sock, text)
                return await health_check
        except BaseException:
            connection.health_check = None
            self.pools.close(connection)
            raise

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the endpoint's idle connections."""
        self.pools.close_idle(endpoint)

    async def shut_down(self) -> None:
        """Cancels all attempts and health checks in flight and closes all connections; called at the process's end."""
        for attempt in list(self._in_flight):
            self.cancel_attempt(attempt)
        for task in self._health_checks.values():
            task.cancel()
        await asyncio.gather(*self._health_checks.values(), return_exceptions=True)
        await self.pools.shut_down()


def _outcome_of(response: HttpResponse | None) -> AttemptOutcome:
    if response is None:
        return AttemptOutcome.RESET
    if response.header(REJECTED_HEADER) is not None:
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR if response.status >= 500 else AttemptOutcome.SUCCEEDED
