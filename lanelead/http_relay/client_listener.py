"""The listening socket and the connections of all clients."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import resource
import socket
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

from lanelead.decisions.interface import Attempt, Tenant, Ticks
from lanelead.http_relay.client_connection import ClientConnection
from lanelead.http_relay.request_routing import RequestRouter
from lanelead.http_relay.response_texts import TOO_MANY_CONNECTIONS
from lanelead.runtime.background_tasks import BackgroundTasks
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.settings.service_settings import ServiceSettings

BUFFER_BYTES = 8192  # maximum size of one read
MAX_SPARE_BUFFERS = 256
RESERVED_DESCRIPTORS = 32  # file descriptors for the listening socket, feeds, votes, the log and the interpreter
MAX_BACKLOG = 1024
ACCEPT_RETRY_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.01

# Errors of accept() after which the listening socket is still usable.
TRANSIENT_ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED)


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
    ) -> None:
        self.loop = loop
        self.driver = driver
        self.clock = clock
        self.state = state
        self._log = log
        self.quota = service.allowance
        self.router = RequestRouter(service, driver, tenants)
        self.connections: dict[ClientConnection, None] = {}
        self._spare_buffers: list[bytearray] = []
        self.draining = False
        self._sock: socket.socket | None = None
        self._accept_task: asyncio.Task[None] | None = None
        self.writable: dict[ClientConnection, None] = {}  # connections whose next response can be written
        self._background_tasks = BackgroundTasks(loop, log, "client connection task failed")
        self.after_event: Callable[[], None] = lambda: None
        self._idle_limit_seconds = service.allowance.idle_limit_ms / 1000
        self._max_connections = self._connection_limit()
        self.malformed_requests = 0

    def _connection_limit(self) -> int:
        """Returns the maximum number of clients, which use at most half of the file descriptors.

        Guards against so many clients that no descriptor is left for connections to endpoints, so that every request
        would be rejected. The price is fewer clients than possible where few connections to endpoints are needed.
        """
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
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
        sock.bind((host, port))
        sock.listen(min(MAX_BACKLOG, self._max_connections))
        self._sock = sock
        self._accept_task = self.loop.create_task(self._accept(sock))
        name = sock.getsockname()
        return str(name[0]), int(name[1])

    async def _accept(self, sock: socket.socket) -> None:
        while True:
            try:
                client, address = await self.loop.sock_accept(sock)
            except OSError as error:
                if error.errno not in TRANSIENT_ACCEPT_ERRORS:
                    raise
                # Guards against running out of descriptors: connected clients are still served, new ones wait.
                self._log.warning("cannot accept", reason=str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if len(self.connections) >= self._max_connections:
                with contextlib.suppress(OSError):
                    client.send(TOO_MANY_CONNECTIONS)
                client.close()
                continue
            client.setblocking(False)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections[ClientConnection(self, client, address[0])] = None

    # Called by connections

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a task of a connection. An unexpected exception in it is logged and affects no other connection."""
        self._background_tasks.start(work)

    def take_buffer(self) -> bytearray:
        """Returns a buffer to read into, to be given back with `return_buffer`."""
        return self._spare_buffers.pop() if self._spare_buffers else bytearray(BUFFER_BYTES)

    def return_buffer(self, buffer: bytearray) -> None:
        """Keeps a buffer for the next connection; at most MAX_SPARE_BUFFERS are kept."""
        if len(self._spare_buffers) < MAX_SPARE_BUFFERS:
            self._spare_buffers.append(buffer)

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
        """Aborts connections that wait for their client and have not moved a byte for the idle limit."""
        oldest = self.loop.time() - self._idle_limit_seconds
        for connection in list(self.connections):
            if connection.last_activity_at < oldest and connection.waits_for_client:
                connection.abort()

    async def drain(self, limit_seconds: float) -> None:
        """Stops accepting clients, waits up to `limit_seconds` for due responses, then closes all connections."""
        self.draining = True
        if self._accept_task is not None:
            self._accept_task.cancel()
            await asyncio.gather(self._accept_task, return_exceptions=True)
        if self._sock is not None:
            self._sock.close()
        end = self.loop.time() + limit_seconds
        while self._any_response_due() and self.loop.time() < end:  # noqa: ASYNC110 - no event is set at the end of a request
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        for connection in list(self.connections):
            connection.abort()
        await self._background_tasks.wait_all()

    def _any_response_due(self) -> bool:
        return any(not connection.is_idle for connection in self.connections)
