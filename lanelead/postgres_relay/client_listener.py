"""Accepts client connections, closes silent ones, and answers all of them when the relay stops.

Nothing that a client sends costs more than a bounded buffer. What cannot be read is answered by an error and the
end of its connection; requests before it on the connection are answered first, or fail after a moment. A client
that is not accepted gets a rejection, which is safe to retry elsewhere.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from lanelead.decisions.interface import Tenant, Ticks
from lanelead.pgwire import messages
from lanelead.postgres_relay.client_connection import (
    CANNOT_CONNECT_NOW,
    CLOSE_LINGER_SECONDS,
    READ_BUFFER_BYTES,
    TOO_MANY_CONNECTIONS,
    ClientConnection,
)
from lanelead.postgres_relay.load_reports import is_idle_socket
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import RequestOutcome

SILENCE_TIMEOUT_SECONDS = 2.0  # for a client to send a request, or the rest of a message
IDLE_TIMEOUT_SECONDS = 10.0  # after which a connection without a further request is closed
VIOLATION_GRACE_SECONDS = 1.0  # for the requests before a protocol violation
OVERDUE_GRACE_SECONDS = 0.2  # after its deadline, before a request without a response is failed
NEW_CONNECTION_GRACE_SECONDS = 0.1  # for a client to begin, before its place may go to another
MAX_ACCEPTS_PER_TURN = 64
MAX_REJECTED_SOCKETS = 8  # that may still read their rejection; of the reserved descriptors
MAX_CACHED_REJECTIONS = 1000
POLL_INTERVAL_SECONDS = 0.02
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
INCOMPLETE_MESSAGE = ("08P01", "the rest of a message never came")
RELAY_STOPS = (CANNOT_CONNECT_NOW, "this relay stops: nothing ran")


@dataclass(frozen=True)
class ListenerLimits:
    """`response_slack`: how much earlier than the client's own timeout a response is due."""

    max_connections: int
    max_query_bytes: int
    response_slack: Ticks


class ClientListener:
    """The listening socket and all client connections.

    `drain_deadline`: when all has to be answered, on the loop's clock, once the relay stops; `after_event` is
    called after the driver was notified of something.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: DecisionDriver,
        tenants: Mapping[str, Tenant],
        limits: ListenerLimits,
        log: Any,
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.tenants = tenants
        self._max_connections = limits.max_connections
        self.max_query_bytes = limits.max_query_bytes
        self.response_slack = limits.response_slack
        self._log = log
        self.clients: dict[ClientConnection, None] = {}
        self.without_request: dict[ClientConnection, None] = {}  # the oldest first
        self.open_request_ids: dict[str, None] = {}  # of requests without a response yet
        self.after_event: Callable[[], None] = lambda: None
        self.unreadable_statements = 0
        self.protocol_violations = 0
        self.rejected_connections = 0
        self.evicted_connections = 0
        self.rejections = 0
        self.overdue_requests = 0
        self._sock: socket.socket | None = None
        self.drain_deadline: float | None = None
        self._rejected_sockets: deque[socket.socket] = deque()
        self._rejection_messages: dict[Ticks, bytes] = {}
        self._failure_message = messages.error("58000", "broken off: whether it ran is not known") + messages.READY

    def error_response(self, outcome: RequestOutcome, retry_after: Ticks) -> bytes:
        """The error message and ReadyForQuery of a request that was rejected or failed."""
        if outcome is RequestOutcome.FAILED:
            return self._failure_message
        if retry_after not in self._rejection_messages:
            if len(self._rejection_messages) > MAX_CACHED_REJECTIONS:
                self._rejection_messages.clear()
            detail = str(max(1, retry_after // 10)) if retry_after > 0 else None
            message = messages.error("53300", "shed: nothing ran", detail) + messages.READY
            self._rejection_messages[retry_after] = message
        return self._rejection_messages[retry_after]

    # Accepting

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Returns the address; raises OSError where it cannot be bound."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(1024)
        self._sock = sock
        self.loop.add_reader(sock, self._accept)
        name = sock.getsockname()
        return str(name[0]), int(name[1])

    def _accept(self) -> bool:
        """Accepts a bounded number of connections, so that requests get their turn; returns whether more may wait."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._sock is None:
                return False
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    continue  # that connection broke before it was accepted
                self._log.warning("cannot accept", reason=str(error), remedy="more descriptors for the process")
                if self._evict_one():
                    return True
                self._pause_accepting()
                return False
            self._admit(sock)
        return True

    def _admit(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        if len(self.clients) >= self._max_connections and not self._evict_one():
            self._reject_connection(sock)
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = ClientConnection(self, sock)
        self.clients[client] = None
        self.without_request[client] = None

    def _pause_accepting(self) -> None:
        """Guards against a busy loop: a waiting connection would call `_accept` again at once, in vain."""
        assert self._sock is not None
        self.loop.remove_reader(self._sock)
        self.loop.call_later(NEW_CONNECTION_GRACE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._sock is not None:
            self.loop.add_reader(self._sock, self._accept)

    def _reject_connection(self, sock: socket.socket) -> None:
        """The client may read its rejection for as long as no other needs the descriptor."""
        self.rejected_connections += 1
        with contextlib.suppress(OSError):  # what has come is read, since a close with bytes unread resets
            sock.recv(READ_BUFFER_BYTES)
        with contextlib.suppress(OSError):
            sock.send(messages.error(TOO_MANY_CONNECTIONS, "no room for another connection: nothing ran", fatal=True))
            sock.shutdown(socket.SHUT_WR)
        self._rejected_sockets.append(sock)
        if len(self._rejected_sockets) > MAX_REJECTED_SOCKETS:
            self._rejected_sockets.popleft().close()
        self.loop.call_later(CLOSE_LINGER_SECONDS, self._close_rejected, sock)

    def _close_rejected(self, sock: socket.socket) -> None:
        if sock in self._rejected_sockets:
            self._rejected_sockets.remove(sock)
            sock.close()

    def _evict_one(self) -> bool:
        """Closes one connection on which nothing waits to be read: one without a request so far, or else the one
        idle for longest. The kernel is asked for each only when its turn comes.
        """
        now = self.loop.time()
        # A new one may be about to send its request; but many of them must not push out those who do.
        half_are_unused = 2 * len(self.without_request) >= len(self.clients)
        for client in self.without_request:
            if client.has_pending_response:
                continue
            may_close = half_are_unused or now - client.opened_at >= NEW_CONNECTION_GRACE_SECONDS
            if may_close and is_idle_socket(client.sock):
                self.evicted_connections += 1
                client.evict("nothing was asked, and others need the room")
                return True
        settled = [client for client in self.clients if client.has_requested and not client.has_pending_response]
        for client in sorted(settled, key=lambda client: client.last_activity):
            if client.is_idle:
                self.evicted_connections += 1
                client.close()
                return True
        return False

    # Timeouts

    def sweep(self) -> None:
        """To be called a few times a second: applies the timeouts. Closes nothing on which bytes wait to be read:
        to a relay that was suspended all of its clients look silent.
        """
        now = self.loop.time()
        for client in list(self.clients):
            # Guards against a request that an error within the relay left without a response.
            late = client.fail_requests(now - OVERDUE_GRACE_SECONDS)
            if late:
                self.overdue_requests += late
                self._log.error("requests without a response in time", failed=late)
            if client.closing:
                self._sweep_closing(client, now)
            elif client.write_buffer:
                if client.last_activity < now - 2 * SILENCE_TIMEOUT_SECONDS:
                    client.on_disconnect()
            elif not client.slots:
                self._sweep_silent(client, now)
        self.after_event()

    def _sweep_closing(self, client: ClientConnection, now: float) -> None:
        if client.violation_at is not None and client.violation_at < now - VIOLATION_GRACE_SECONDS:
            client.fail_requests()
        if client.last_activity < now - 2 * SILENCE_TIMEOUT_SECONDS and not client.slots:
            client.close()  # it does not read its last response
        elif client.violation_at is None and self._is_stuck(client, now):
            client.close_with_violation(*INCOMPLETE_MESSAGE)
            client.flush()

    def _sweep_silent(self, client: ClientConnection, now: float) -> None:
        end = self._timeout_action(client, now)
        if end is not None and is_idle_socket(client.sock):
            end()
            client.flush()

    def _is_stuck(self, client: ClientConnection, now: float) -> bool:
        return client.reader.has_partial_message and client.last_activity < now - SILENCE_TIMEOUT_SECONDS

    def _timeout_action(self, client: ClientConnection, now: float) -> Callable[[], None] | None:
        """How to end a connection that was silent for too long; None where it was not."""
        if self._is_stuck(client, now):
            return lambda: client.close_with_violation(*INCOMPLETE_MESSAGE)
        # One whose bytes keep coming is about to send its request: it has the longer timeout.
        if not client.has_requested and (
            client.last_activity < now - SILENCE_TIMEOUT_SECONDS or client.opened_at < now - IDLE_TIMEOUT_SECONDS
        ):
            return lambda: client.close_with_rejection(CANNOT_CONNECT_NOW, "nothing was asked in time")
        return client.close if client.last_activity < now - IDLE_TIMEOUT_SECONDS else None

    # Draining

    async def drain(self, linger: float, response_seconds: float) -> None:
        """Serves on for `linger` seconds, since clients still connect; then accepts what has arrived and answers
        all of it within `response_seconds`. What would take longer fails, so that each request has its response
        before the process is killed.
        """
        self.drain_deadline = self.loop.time() + linger + response_seconds
        await asyncio.sleep(linger)
        self._stop_listening()
        for client in list(self.clients):
            client.drain()
        self.after_event()
        await self._wait_until_closed(self.loop.time() + min(CLOSE_LINGER_SECONDS, response_seconds))
        for client in list(self.clients):
            client.drain()  # its request may have arrived just now
            if not client.has_requested and not client.reader.has_partial_message:
                client.close_with_rejection(*RELAY_STOPS)
        self.after_event()
        await self._wait_until_closed(self.drain_deadline)
        for client in list(self.clients):
            client.fail_requests()
            if client.reader.has_partial_message:  # its rest did not come in time
                client.close_with_rejection(*RELAY_STOPS)
        self.after_event()
        await self._wait_until_closed(self.loop.time() + 1.2 * CLOSE_LINGER_SECONDS)

    def _stop_listening(self) -> None:
        """Accepts what waits, as much as the relay may hold at most, and closes the listening socket."""
        for _ in range(self._max_connections):
            if not self._accept():
                break
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    async def _wait_until_closed(self, deadline: float) -> None:
        while self.clients and self.loop.time() < deadline:  # noqa: ASYNC110 - many places close a connection
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
