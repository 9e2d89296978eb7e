"""Clients' connections: who is let in, who is turned off, and how all are answered when the relay stops.

Nothing that a client sends costs more than a bounded buffer. What can't be read is answered by an error and
the end of its connection; what was taken before on it is answered first, or broken off after a moment.
Whoever is turned off is told so by a refusal, which is harmless to repeat elsewhere.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable, Mapping
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
from lanelead.runtime.driver import DecisionDriver, RequestOutcome

SILENCE_TIMEOUT_SECONDS = 2.0  # seconds for a client to ask for something, or to end what it began
IDLE_TIMEOUT_SECONDS = 10.0  # seconds after which a connection that asks nothing more is closed
VIOLATION_GRACE_SECONDS = 1.0  # seconds for what was taken before something that can't be read
OVERDUE_GRACE_SECONDS = 0.2  # seconds after its time for a request's answer, before it is broken off
NEW_CONNECTION_GRACE_SECONDS = 0.1  # seconds for a client to begin, before its place may go to another
MAX_ACCEPTS_PER_TURN = 64  # connections taken at once
MAX_REJECTED_SOCKETS = 8  # connections that were turned off and may still read why; of the descriptors kept to spare
EXHAUSTION_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ClientListener:
    """`most`: connections at once; `early`: how much sooner than the client's own limit an answer is owed;
    `end`: when all has to be answered, on the loop's clock, once the relay is told to stop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: DecisionDriver,
        tenants: Mapping[str, Tenant],
        most: int,
        longest: int,
        early: Ticks,
        log: Any,
    ) -> None:
        self.loop, self.driver, self.tenants = loop, driver, tenants
        self._max_connections, self.max_query_bytes, self.response_slack, self._log = most, longest, early, log
        self.clients: dict[ClientConnection, None] = {}
        self.without_request: dict[ClientConnection, None] = {}  # those that never asked, the oldest first
        self.open_request_ids: dict[str, None] = {}  # ids of lookups without an answer yet
        self.after_event: Callable[[], None] = lambda: None
        self.unreadable_statements = self.protocol_violations = self.rejected_connections = self.evicted_connections = (
            self.rejections
        ) = self.overdue_requests = 0
        self._sock: socket.socket | None = None
        self.drain_deadline: float | None = None
        self._rejected_sockets: deque[socket.socket] = deque()
        self._rejection_messages: dict[Ticks, bytes] = {}
        self._failure_message = messages.error("58000", "broken off: whether it ran is not known") + messages.READY

    def error_response(self, outcome: RequestOutcome, back: Ticks) -> bytes:
        if outcome is RequestOutcome.FAILED:
            return self._failure_message
        if back not in self._rejection_messages:
            if len(self._rejection_messages) > 1000:
                self._rejection_messages.clear()
            detail = str(max(1, back // 10)) if back > 0 else None
            self._rejection_messages[back] = messages.error("53300", "shed: nothing ran", detail) + messages.READY
        return self._rejection_messages[back]

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Raises OSError where the address cannot be had."""
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
        """Takes in who waits; says whether more may wait than it took at once."""
        for _ in range(MAX_ACCEPTS_PER_TURN):  # bounded, so that a crowd leaves time for lookups
            if self._sock is None:
                return False
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as fault:
                if fault.errno in EXHAUSTION_ERRORS:
                    self._log.warning("cannot accept", reason=str(fault), remedy="more descriptors for the process")
                    if not self._evict_one():
                        self._pause_accepting()
                        return False
                    return True
                continue  # that one was broken before it was taken in
            sock.setblocking(False)
            if len(self.clients) >= self._max_connections and not self._evict_one():
                self._reject_connection(sock)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = ClientConnection(self, sock)
            self.clients[client] = self.without_request[client] = None
        return True

    def _pause_accepting(self) -> None:
        """Guards against a loop that spins: who waits would call it again at once, and still find no room."""
        assert self._sock is not None
        self.loop.remove_reader(self._sock)
        self.loop.call_later(NEW_CONNECTION_GRACE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._sock is not None:
            self.loop.add_reader(self._sock, self._accept)

    def _reject_connection(self, sock: socket.socket) -> None:
        """No room for it: it is told so, and may read that for as long as no other needs its descriptor."""
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
        """Ends the connection that is missed least, and on which nothing waits to be read: one that has not
        begun, else the one idle for longest. Each is asked of the kernel only when its turn comes."""
        now, crowded = self.loop.time(), 2 * len(self.without_request) >= len(self.clients)
        # One that came just now may be about to ask; but a crowd of them must not push out those who do.
        silent = (
            c
            for c in self.without_request
            if c.owes_nothing and (crowded or now - c.opened_at >= NEW_CONNECTION_GRACE_SECONDS)
        )
        if (least := next((c for c in silent if is_idle_socket(c.sock)), None)) is not None:
            self.evicted_connections += 1
            least.evict("nothing was asked, and others need the room")
            return True
        rested = sorted((c for c in self.clients if c.has_requested and c.owes_nothing), key=lambda c: c.last_activity)
        if (least := next((c for c in rested if c.is_idle), None)) is not None:
            self.evicted_connections += 1
            least.close()
            return True
        return False

    def sweep(self) -> None:
        """To be called a few times a second. Ends nothing on which something waits to be read: a relay that
        stood still finds all of its clients silent for long."""
        now = self.loop.time()
        for client in list(self.clients):
            # Guards against a request that an error within the relay left without its answer.
            if late := client.fail_requests(now - OVERDUE_GRACE_SECONDS):
                self.overdue_requests += late
                self._log.error("requests without an answer in time", broken_off=late)
            if client.closing:
                if client.violation_at is not None and client.violation_at < now - VIOLATION_GRACE_SECONDS:
                    client.fail_requests()
                if client.last_activity < now - 2 * SILENCE_TIMEOUT_SECONDS and not client.slots:
                    client.close()  # it does not read its last answer
                elif (
                    client.violation_at is None
                    and client.reader.has_partial_message
                    and client.last_activity < now - SILENCE_TIMEOUT_SECONDS
                ):
                    client.close_with_violation("08P01", "the rest of a message never came")
                    client.flush()
            elif client.unwritten:
                if client.last_activity < now - 2 * SILENCE_TIMEOUT_SECONDS:
                    client.on_disconnect()
            elif not client.slots and (end := self._timeout_action(client, now)) and is_idle_socket(client.sock):
                end()
                client.flush()
        self.after_event()

    def _timeout_action(self, client: ClientConnection, now: float) -> Callable[[], None] | None:
        """How to end a connection that has said nothing for too long; None where it has not."""
        if client.reader.has_partial_message and client.last_activity < now - SILENCE_TIMEOUT_SECONDS:
            return lambda: client.close_with_violation("08P01", "the rest of a message never came")
        # One whose bytes keep coming is about to ask: it is cut off in the middle of that much later.
        if not client.has_requested and (
            client.last_activity < now - SILENCE_TIMEOUT_SECONDS or client.opened_at < now - IDLE_TIMEOUT_SECONDS
        ):
            return lambda: client.close_with_rejection(CANNOT_CONNECT_NOW, "nothing was asked in time")
        return client.close if client.last_activity < now - IDLE_TIMEOUT_SECONDS else None

    async def drain(self, linger: float, most: float) -> None:
        """Serves on for `linger` seconds, since clients still come; then takes in what has come, and answers
        all of it within `most` seconds. No connection stays open unasked; what would wait longer than that is
        broken off, so that each lookup has its answer before the process is killed."""
        self.drain_deadline = self.loop.time() + linger + most
        await asyncio.sleep(linger)
        for _ in range(self._max_connections):  # bounded, should a crowd come faster than it is taken in
            if not self._accept():
                break
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
        for client in list(self.clients):
            client.drain()
        self.after_event()
        moment = self.loop.time() + min(CLOSE_LINGER_SECONDS, most)
        while self.clients and self.loop.time() < moment:
            await asyncio.sleep(0.02)
        for client in list(self.clients):
            client.drain()  # its request may have come just now
            if not client.has_requested and not client.reader.has_partial_message:
                client.close_with_rejection(CANNOT_CONNECT_NOW, "this relay stops: nothing ran")
        self.after_event()
        while self.clients and self.loop.time() < self.drain_deadline:
            await asyncio.sleep(0.02)
        for client in list(self.clients):
            client.fail_requests()
            if client.reader.has_partial_message:  # its rest did not come in time
                client.close_with_rejection(CANNOT_CONNECT_NOW, "this relay stops: nothing ran")
        self.after_event()
        end = self.loop.time() + 1.2 * CLOSE_LINGER_SECONDS
        while self.clients and self.loop.time() < end:
            await asyncio.sleep(0.02)
