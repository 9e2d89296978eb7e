"""The listening socket and the connections of all clients."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from lanelead.decisions.interface import Attempt, Idempotency, RequestClass, Tenant, Ticks
from lanelead.http_relay.client_connection import ClientConnection
from lanelead.http_relay.request_routing import RequestRouter, RequestRoutingError
from lanelead.http_relay.response_texts import TOO_MANY_CONNECTIONS
from lanelead.runtime.abandoned_requests import AbandonedRequests
from lanelead.runtime.buffer_budget import BufferBudget
from lanelead.runtime.descriptor_limit import descriptor_limit
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.executed_request_ids import ExecutedRequestIds
from lanelead.runtime.fair_work_queue import MAX_TURN_SECONDS, FairWorkQueue
from lanelead.runtime.peer_close import PeerCloseMonitor
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.runtime.process_memory import plan_memory, resident_bytes
from lanelead.settings.service_settings import ServiceSettings

SILENCE_TIMEOUT_SECONDS = 2.0  # without a byte of the rest of a request
HEAD_TIMEOUT_SECONDS = 10.0  # for a head to arrive completely
EXECUTED_ID_TIMEOUTS = 2  # for how many of the longest timeouts the id of a request that may have run is remembered
RESERVED_DESCRIPTORS = 32  # file descriptors for the listening socket, feeds, votes, the log and the interpreter
MAX_BACKLOG = 1024
ACCEPT_RETRY_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.01

EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ClientListener:
    """Accepts clients, up to the limits of the quota and of file descriptors, and owns their connections.

    The service sets `after_event`; it is called after the driver has been notified of events.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        service: ServiceSettings,
        driver: DecisionDriver,
        *,
        clock: Callable[[], Ticks],
        state: Callable[[], Mapping[str, Any]],
        log: Any,
        tenants: Sequence[Tenant],
        memory_limit_bytes: int,
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.clock = clock
        self.state = state
        self._log = log
        self.quota = service.allowance
        self.router = RequestRouter(service, driver, tenants)
        self.connections: dict[ClientConnection, None] = {}
        longest_timeout = max((row.timeout for row in driver.request_classes.values()), default=0)
        self.executed_ids = ExecutedRequestIds(EXECUTED_ID_TIMEOUTS * longest_timeout)
        self.abandoned = AbandonedRequests(loop, driver.client_left, lambda: self.after_event())
        self.work_queue = FairWorkQueue(loop)
        self.close_monitor = PeerCloseMonitor(loop)
        self.draining = False
        self._sock: socket.socket | None = None
        self.writable: dict[ClientConnection, None] = {}  # connections whose next response can be written
        self.after_event: Callable[[], None] = lambda: None
        self._idle_limit_seconds = service.allowance.idle_limit_ms / 1000
        self._max_connections = self._connection_limit()
        # As many connections to endpoints as to clients.
        self.memory = plan_memory(memory_limit_bytes, resident_bytes(), 2 * self._max_connections)
        self.buffers = BufferBudget(self.memory.buffered_bytes)
        self.malformed_requests = 0

    def _connection_limit(self) -> int:
        """Returns the maximum number of clients, which use at most half of the file descriptors.

        Guards against so many clients that no descriptor is left for connections to endpoints, so that every request
        would be rejected. The price is fewer clients than possible where few connections to endpoints are needed.
        """
        descriptors = descriptor_limit()
        limit = min(self.quota.open_connections, max(1, (descriptors - RESERVED_DESCRIPTORS) // 2))
        if limit < self.quota.open_connections:
            self._log.warning(
                "file descriptor limit allows fewer clients than open_connections",
                clients=limit,
                descriptors=descriptors,
            )
        return limit

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Starts accepting clients; returns the bound address. Raises OSError if the address cannot be bound."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections have the same limit. Their receive queues are the kernel's: requests are read in small
        # reads, and a client's close behind bytes that its own kernel keeps would be noticed too late.
        self.memory.bound_send_queue(sock)
        sock.bind((host, port))
        sock.listen(min(MAX_BACKLOG, self._max_connections))
        self._sock = sock
        self.loop.add_reader(sock, self._accept)
        name = sock.getsockname()
        return str(name[0]), int(name[1])

    def _accept(self) -> None:
        """Accepts connections that wait, for a bounded time."""
        ends_at = time.monotonic() + MAX_TURN_SECONDS
        while self._sock is not None and time.monotonic() < ends_at:
            try:
                client, address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRORS:
                    continue  # such as a connection that broke before it was accepted
                # Guards against running out of descriptors: connected clients are still served, new ones wait.
                self._log.warning("cannot accept", reason=str(error))
                self._pause_accepting()
                return
            self._admit(client, address[0])

    def _admit(self, client: socket.socket, address: str) -> None:
        client.setblocking(False)
        if len(self.connections) >= self._max_connections:
            with contextlib.suppress(OSError):
                client.send(TOO_MANY_CONNECTIONS)
            client.close()
            return
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections[ClientConnection(self, client, address)] = None

    def _pause_accepting(self) -> None:
        """Stops accepting for ACCEPT_RETRY_SECONDS: the event loop would call `_accept` again at once."""
        assert self._sock is not None
        self.loop.remove_reader(self._sock)
        self.loop.call_later(ACCEPT_RETRY_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._sock is not None:
            self.loop.add_reader(self._sock, self._accept)

    # Called by connections

    def remember_unrepeatable(self, request_id: str, request_class: RequestClass) -> None:
        """Remembers the id of a request that must not run twice; raises RequestRoutingError if it comes again."""
        if request_class.idempotency is not Idempotency.NON_IDEMPOTENT:
            return
        now = self.clock()
        if self.executed_ids.is_known(request_id, now):
            raise RequestRoutingError(409, "a request with this id may have run already")
        self.executed_ids.add(request_id, now)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Removes a connection whose socket is closed."""
        self.connections.pop(connection, None)

    def request_rejected(self, status: int, reason: str) -> None:
        """Counts and logs a malformed request."""
        self.malformed_requests += 1
        self._log.info("malformed request", status=status, reason=reason)

    def log_outcome(self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None) -> None:
        """Logs a request that did not succeed, and its attempts."""
        if outcome is RequestOutcome.SUCCEEDED:
            return
        attempts = [
            (self.driver.registry.names[row.endpoint], row.outcome.value if row.outcome else "in flight")
            for row in (pending.request.attempts if pending.request else ())
        ]
        request_class = pending.request.request_class.name if pending.request else None
        self._log.info(
            "request not served",
            request=pending.id,
            outcome=outcome.value,
            request_class=request_class,
            attempts=attempts,
        )

    # Called by the service

    def sweep(self) -> None:
        """Aborts connections that wait for their client and have not moved a byte for too long.

        A client that has stopped within a request is given SILENCE_TIMEOUT_SECONDS, or the idle limit if that is
        shorter; a client that does not read its responses is given the idle limit.
        """
        now = self.loop.time()
        silence = min(SILENCE_TIMEOUT_SECONDS, self._idle_limit_seconds)
        for connection in list(self.connections):
            limit = silence if connection.is_mid_request else self._idle_limit_seconds
            is_silent = connection.last_activity_at < now - limit and connection.waits_for_client
            if is_silent or connection.head_began_at < now - HEAD_TIMEOUT_SECONDS:
                connection.abort()

    async def drain(self, limit_seconds: float) -> None:
        """Stops accepting clients, waits up to `limit_seconds` for due responses, then closes all connections."""
        self.draining = True
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
        end = self.loop.time() + limit_seconds
        while self._any_response_due() and self.loop.time() < end:  # noqa: ASYNC110 - no event is set at the end of a request
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        for connection in list(self.connections):
            connection.abort()

    def _any_response_due(self) -> bool:
        return any(connection.has_due_response for connection in self.connections)
