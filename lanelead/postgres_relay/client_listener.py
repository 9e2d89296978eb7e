"""Accepts client connections, closes silent ones, and drains all of them when the relay stops.

A client can make the relay buffer only a bounded number of bytes. After a protocol violation the client gets an error
and the connection closes; earlier requests on it are answered first, or fail after VIOLATION_GRACE_SECONDS. A client
for which there is no room gets a rejection, after which a retry on another relay is safe.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from lanelead.decisions.interface import Tenant, Ticks
from lanelead.pgwire import messages
from lanelead.postgres_relay.client_connection import (
    CANNOT_CONNECT_NOW,
    CLOSE_LINGER_SECONDS,
    TOO_MANY_CONNECTIONS,
    ClientConnection,
)
from lanelead.postgres_relay.request_intake import READ_BUFFER_BYTES
from lanelead.runtime.abandoned_requests import AbandonedRequests
from lanelead.runtime.buffer_budget import BufferBudget
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.executed_request_ids import ExecutedRequestIds
from lanelead.runtime.fair_work_queue import MAX_TURN_SECONDS, FairWorkQueue
from lanelead.runtime.peer_close import PeerCloseMonitor, is_idle_socket
from lanelead.runtime.pending_requests import RequestOutcome
from lanelead.runtime.process_memory import MemoryPlan

SILENCE_TIMEOUT_SECONDS = 2.0  # without a byte of the first request, or of the rest of a message
IDLE_TIMEOUT_SECONDS = 10.0  # between requests, and for the first request to arrive completely
VIOLATION_GRACE_SECONDS = 1.0  # for requests pending at a protocol violation or a rejection; then they fail
OVERDUE_GRACE_SECONDS = 0.2  # after a request's deadline; then a request without a response fails
NEW_CONNECTION_GRACE_SECONDS = 0.1  # before a connection without a request may be evicted, see `_evict_one`
MAX_ACCEPTS_PER_TURN = 64
EXECUTED_ID_TIMEOUTS = 2  # for how many of the longest timeouts the id of a request that may have run is remembered
LISTEN_BACKLOG = 1024
MAX_REJECTED_SOCKETS = 8  # that clients may still read from; from RESERVED_DESCRIPTORS of service_parameters.py
MAX_CACHED_REJECTIONS = 1000
POLL_INTERVAL_SECONDS = 0.02
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
INCOMPLETE_MESSAGE_ERROR = ("08P01", "the rest of a message never came")
RELAY_STOPPING_ERROR = (CANNOT_CONNECT_NOW, "this relay stops: nothing ran")


@dataclass(frozen=True)
class ListenerLimits:
    """The limits of the client connections.

    A response is due `response_slack`, in ticks of 0.1 ms, before the client's timeout or the request class's,
    whichever is earlier.
    """

    max_connections: int
    max_query_bytes: int
    memory: MemoryPlan
    response_slack: Ticks


class ClientListener:
    """The listening socket and all client connections.

    `after_event` is called whenever the driver may have been notified of an event; the service then starts enqueued
    attempts and sets the driver's timer. `drain_deadline` is None until the relay stops; then it is the time on the
    loop's clock, in seconds, at which every request has to be answered.
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
        self.without_request: dict[ClientConnection, None] = {}  # without a well-formed request, oldest first
        self.open_request_ids: dict[str, None] = {}  # ids of the requests without a response so far
        longest_timeout = max((request_class.timeout for request_class in driver.request_classes.values()), default=0)
        self.executed_ids = ExecutedRequestIds(EXECUTED_ID_TIMEOUTS * longest_timeout)
        self.abandoned = AbandonedRequests(loop, driver.client_left, lambda: self.after_event())
        self._memory = limits.memory
        self.full_queue_bytes = limits.memory.full_queue_bytes
        self.buffers = BufferBudget(limits.memory.buffered_bytes)
        self.work_queue = FairWorkQueue(loop)
        self.close_monitor = PeerCloseMonitor(loop)
        self.after_event: Callable[[], None] = lambda: None
        self.unreadable_statements = 0
        self.protocol_violations = 0
        self.rejected_connections = 0  # when they were accepted, for lack of room
        self.evicted_connections = 0  # closed to make room for others
        self.rejections = 0  # requests over a connection's limits, and open connections closed with a rejection
        self.overdue_requests = 0  # that `sweep` failed after their deadline
        self._sock: socket.socket | None = None
        self.drain_deadline: float | None = None
        self._rejected_sockets: deque[socket.socket] = deque()
        self._rejection_messages: dict[Ticks, bytes] = {}
        self._failure_message = messages.error("58000", "broken off: whether it ran is not known") + messages.READY

    def error_response(self, outcome: RequestOutcome, retry_after: Ticks) -> bytes:
        """Returns the ErrorResponse and ReadyForQuery for a request that was rejected or failed.

        If `retry_after`, in ticks of 0.1 ms, is positive, the rejection tells it to the client in milliseconds.
        """
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
        """Opens the listening socket and returns its address; raises OSError if the address cannot be bound."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._memory.bound_client_queues(sock)  # accepted connections have the same limits
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        self._sock = sock
        self.loop.add_reader(sock, self._accept)
        name = sock.getsockname()
        return str(name[0]), int(name[1])

    def _accept(self) -> bool:
        """Accepts connections and returns whether to continue.

        Their number and the time per call are bounded, so that the loop gets to handle requests as well. Returns False
        if no connection waits, or if there is no descriptor for it and accepting pauses.
        """
        ends_at = time.monotonic() + MAX_TURN_SECONDS
        for number in range(MAX_ACCEPTS_PER_TURN):
            if self._sock is None:
                return False
            if number and time.monotonic() >= ends_at:
                return True
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    continue  # such as a connection that broke before it was accepted
                self._log.warning(
                    "cannot accept", reason=str(error), remedy="raise the process's limit of open file descriptors"
                )
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
        """Stops accepting for NEW_CONNECTION_GRACE_SECONDS.

        Otherwise the loop would call `_accept` again at once for the connection that waits, and spin without success.
        """
        assert self._sock is not None
        self.loop.remove_reader(self._sock)
        self.loop.call_later(NEW_CONNECTION_GRACE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._sock is not None:
            self.loop.add_reader(self._sock, self._accept)

    def _reject_connection(self, sock: socket.socket) -> None:
        """Sends a rejection, and keeps the socket open for a moment so that the client can read it.

        The socket closes earlier if more than MAX_REJECTED_SOCKETS wait.
        """
        self.rejected_connections += 1
        with contextlib.suppress(OSError):  # reads what has arrived, since a close with unread bytes is a reset
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
        """Closes one connection on which no bytes wait to be read, and returns whether there was one.

        Connections without a well-formed request so far come first; they get a rejection. Then comes the one that has
        been idle for longest. To check for unread bytes costs a system call, so it is done candidate by candidate.
        """
        now = self.loop.time()
        # A new client may be about to send its request, so it gets a grace period. The grace period is waived when at
        # least half of all connections have no request: they must not crowd out the clients that do send requests.
        half_without_request = 2 * len(self.without_request) >= len(self.clients)
        for client in self.without_request:
            if client.has_pending_response or client.has_waiting_work:
                continue
            may_evict = half_without_request or now - client.opened_at >= NEW_CONNECTION_GRACE_SECONDS
            if may_evict and is_idle_socket(client.sock):
                self.evicted_connections += 1
                client.evict("nothing was asked, and others need the room")
                return True
        candidates = [
            client
            for client in self.clients
            if client.has_requested and not client.has_pending_response and not client.has_waiting_work
        ]
        for client in sorted(candidates, key=lambda client: client.last_activity):
            if client.is_idle:
                self.evicted_connections += 1
                client.close()
                return True
        return False

    # Timeouts

    def sweep(self) -> None:
        """Applies the timeouts; to be called a few times a second.

        Where nothing is pending, a connection counts as silent only if no bytes wait to be read: after its process was
        suspended, all clients would look silent to the relay.
        """
        now = self.loop.time()
        for client in list(self.clients):
            # An internal error of the relay may have left a request without a response.
            failed = client.fail_requests(now - OVERDUE_GRACE_SECONDS)
            if failed:
                self.overdue_requests += failed
                self._log.error("overdue requests failed", failed=failed)
            if client.closing:
                self._sweep_closing(client, now)
            elif client.write_buffer:
                if client.last_activity < now - 2 * SILENCE_TIMEOUT_SECONDS:
                    client.on_disconnect()  # the client does not read its responses
            elif not client.has_pending_response:
                self._sweep_silent(client, now)
        self.after_event()

    def _sweep_closing(self, client: ClientConnection, now: float) -> None:
        if client.violation_at is not None and client.violation_at < now - VIOLATION_GRACE_SECONDS:
            client.fail_requests()
        if client.last_activity < now - 2 * SILENCE_TIMEOUT_SECONDS and not client.slots:
            client.close()  # the client does not read its last response
        elif client.violation_at is None and self._is_message_overdue(client, now):
            client.close_with_violation(*INCOMPLETE_MESSAGE_ERROR)
            client.flush()

    def _sweep_silent(self, client: ClientConnection, now: float) -> None:
        action = self._timeout_action(client, now)
        if action is not None and is_idle_socket(client.sock):
            action()
            client.flush()

    def _is_message_overdue(self, client: ClientConnection, now: float) -> bool:
        """Returns whether part of a message has arrived, but no further byte in time."""
        return client.reader.has_partial_message and client.last_activity < now - SILENCE_TIMEOUT_SECONDS

    def _timeout_action(self, client: ClientConnection, now: float) -> Callable[[], None] | None:
        """Returns the call that ends a connection which has exceeded a timeout; None if it has not.

        The call may only enqueue an error; the connection then closes when that is written.
        """
        if self._is_message_overdue(client, now):
            return lambda: client.close_with_violation(*INCOMPLETE_MESSAGE_ERROR)
        # While bytes of the first request keep arriving, only the longer timeout applies.
        if not client.has_requested and (
            client.last_activity < now - SILENCE_TIMEOUT_SECONDS or client.opened_at < now - IDLE_TIMEOUT_SECONDS
        ):
            return lambda: client.close_with_rejection(CANNOT_CONNECT_NOW, "nothing was asked in time")
        return client.close if client.last_activity < now - IDLE_TIMEOUT_SECONDS else None

    # Draining

    async def drain(self, linger: float, response_seconds: float) -> None:
        """Stops accepting connections, answers all requests that have arrived, and waits until connections have closed.

        Serves as usual for `linger` seconds first, since clients still connect. Then all pending requests have to be
        answered within `response_seconds`. Those that take longer fail, so that each request has its response before
        the process is killed. A connection whose client does not read may still be open at the end.
        """
        self.drain_deadline = self.loop.time() + linger + response_seconds
        await asyncio.sleep(linger)
        await self._stop_listening()
        await self._for_each_client(ClientConnection.drain)
        await self._wait_until_closed(self.loop.time() + min(CLOSE_LINGER_SECONDS, response_seconds))
        await self._for_each_client(self._drain_or_reject)
        await self._wait_until_closed(self.drain_deadline)
        await self._for_each_client(self._fail_overdue)
        await self._wait_until_closed(self.loop.time() + 1.2 * CLOSE_LINGER_SECONDS)

    async def _for_each_client(self, action: Callable[[ClientConnection], None]) -> None:
        """Calls `action` with each open connection; other events are handled after each MAX_TURN_SECONDS."""
        turn_ends_at = time.monotonic() + MAX_TURN_SECONDS
        for client in list(self.clients):
            if client in self.clients:  # it may have closed meanwhile
                try:
                    action(client)
                except Exception:  # noqa: BLE001 - logged; the other clients must still be answered
                    self._log.exception("draining a connection failed")
            if time.monotonic() >= turn_ends_at:
                self.after_event()
                await asyncio.sleep(0)
                turn_ends_at = time.monotonic() + MAX_TURN_SECONDS
        self.after_event()

    @staticmethod
    def _drain_or_reject(client: ClientConnection) -> None:
        client.drain()  # the first request may have arrived meanwhile
        if not client.has_requested and not client.reader.has_partial_message:
            client.close_with_rejection(*RELAY_STOPPING_ERROR)

    @staticmethod
    def _fail_overdue(client: ClientConnection) -> None:
        client.fail_requests()
        if client.reader.has_partial_message:  # the rest of the request did not arrive in time
            client.close_with_rejection(*RELAY_STOPPING_ERROR)

    async def _stop_listening(self) -> None:
        """Accepts the connections that wait in the listening socket's queue, then closes that socket.

        The kernel resets those for which there is no descriptor. Clients that keep connecting cannot hold up the drain:
        no more are accepted than the queue may hold, and for no longer than CLOSE_LINGER_SECONDS.
        """
        ends_at = self.loop.time() + CLOSE_LINGER_SECONDS
        for _ in range(LISTEN_BACKLOG):
            if not self._accept() or self.loop.time() >= ends_at:
                break
            await asyncio.sleep(0)
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None

    async def _wait_until_closed(self, deadline: float) -> None:
        """Waits until all connections have closed, but not beyond `deadline` on the loop's clock."""
        while self.clients and self.loop.time() < deadline:  # noqa: ASYNC110 - connections close in many places, without an event to await
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
