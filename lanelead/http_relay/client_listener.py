"""The listening socket and all clients' connections."""

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

BUFFER_BYTES = 8192  # read at once
MAX_SPARE_BUFFERS = 256
RESERVED_DESCRIPTORS = 32  # for listening, feeds, votes, the log and the interpreter
MAX_BACKLOG = 1024
ACCEPT_RETRY_SECONDS = 0.1
DRAIN_POLL_SECONDS = 0.01

# What accept may fail with without the listening socket being of no more use.
TRANSIENT_ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED)


class ClientListener:
    """Accepts clients, within the quota and what descriptors allow, and owns their connections.

    `after`, which the service sets, is called when the driver was notified of something.
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
        self._accepting: asyncio.Task[None] | None = None
        self.ready: dict[ClientConnection, None] = {}  # those whose next response can be written
        self._background_tasks = BackgroundTasks(loop, log, "a connection's task failed")
        self.after: Callable[[], None] = lambda: None
        self._idle_limit_seconds = service.allowance.idle_limit_ms / 1000
        self._max_connections = self._connection_limit()
        self.malformed_requests = 0

    def _connection_limit(self) -> int:
        """Half of the descriptors at most go to clients.

        Guards against so many of them that none is left for endpoints, so that every request would be rejected; it
        costs clients where requests need few endpoints.
        """
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        limit = min(self.quota.open_connections, max(1, (descriptors - RESERVED_DESCRIPTORS) // 2))
        if limit < self.quota.open_connections:
            self._log.warning(
                "descriptors allow fewer clients than the settings", clients=limit, descriptors=descriptors
            )
        return limit

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Begins to accept; returns the address. Raises OSError where it cannot be had."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(min(MAX_BACKLOG, self._max_connections))
        self._sock = sock
        self._accepting = self.loop.create_task(self._accept(sock))
        name = sock.getsockname()
        return str(name[0]), int(name[1])

    async def _accept(self, sock: socket.socket) -> None:
        while True:
            try:
                client, address = await self.loop.sock_accept(sock)
            except OSError as error:
                if error.errno not in TRANSIENT_ACCEPT_ERRORS:
                    raise
                # Guards against used up descriptors: those connected are served on, the others wait their turn.
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

    # For connections

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a connection's task until it ends; a failure of ours in one is logged, and ends no other."""
        self._background_tasks.start(work)

    def take_buffer(self) -> bytearray:
        """A buffer to read into; `return_buffer` gives it back."""
        return self._spare_buffers.pop() if self._spare_buffers else bytearray(BUFFER_BYTES)

    def return_buffer(self, buffer: bytearray) -> None:
        """Keeps a buffer for the next connection, up to a bound."""
        if len(self._spare_buffers) < MAX_SPARE_BUFFERS:
            self._spare_buffers.append(buffer)

    def connection_closed(self, connection: ClientConnection) -> None:
        """Forgets a connection whose socket is closed."""
        self.connections.pop(connection, None)

    def request_rejected(self, status: int, reason: str) -> None:
        """Counts and logs what could not be read as a request."""
        self.malformed_requests += 1
        self._log.info("malformed request", status=status, reason=reason)

    def log_outcome(self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None) -> None:
        """Logs a request that did not succeed, with its attempts."""
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

    # For the service

    def sweep(self) -> None:
        """Ends connections whose client has moved no byte for the idle limit while it was its turn."""
        oldest = self.loop.time() - self._idle_limit_seconds
        for connection in list(self.connections):
            if connection.last_moved_at < oldest and connection.stuck:
                connection.abort()

    async def drain(self, limit_seconds: float) -> None:
        """No new connections; every request that was taken gets its response, then all ends."""
        self.draining = True
        if self._accepting is not None:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)
        if self._sock is not None:
            self._sock.close()
        end = self.loop.time() + limit_seconds
        while self._any_due() and self.loop.time() < end:  # noqa: ASYNC110 - the end of a request sets no event
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        for connection in list(self.connections):
            connection.abort()
        await self._background_tasks.wait_all()

    def _any_due(self) -> bool:
        return any(not connection.is_idle for connection in self.connections)
