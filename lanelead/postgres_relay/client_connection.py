"""One client connection in PostgreSQL's protocol: each request gets one final response, in order of arrival.

A relay may close a connection between requests. If a request arrives just then and the relay has not read it, the
client sends it again on another connection (see 'Clients to relays' on the protocol's page). Bytes in the kernel's
receive buffer are therefore either read and answered, or left there unread.
"""

from __future__ import annotations

import contextlib
import math
import socket
from collections import deque

from lanelead.decisions.interface import Idempotency, RequestClass
from lanelead.pgwire import messages, statements
from lanelead.pgwire.clients import EncryptionRequest, ProtocolViolation, Query, Startup
from lanelead.pgwire.statements import Statement
from lanelead.postgres_relay.connection_owner import ConnectionOwner, ResponseSlot
from lanelead.postgres_relay.request_intake import OverLimit, ReceivedCommand, RequestIntake
from lanelead.runtime.peer_close import is_idle_socket
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

MAX_PIPELINED_REQUESTS = 128  # pending responses of one connection; further requests are rejected
MAX_PENDING_BYTES = 1 << 20  # total size of a connection's pending requests; further requests are rejected
MAX_DRAIN_READ_BYTES = 1 << 18  # read by one call of `drain`; the event loop reads what is left, as at other times
CLOSE_LINGER_SECONDS = 0.25  # from shutdown to close, so that the client can read the last response
# SQLSTATE codes of rejections. A rejected request never ran, so a retry on another relay is harmless.
TOO_MANY_CONNECTIONS = "53300"
CANNOT_CONNECT_NOW = "57P03"


def _must_not_run_twice(request_class: RequestClass) -> bool:
    return request_class.idempotency is Idempotency.NON_IDEMPOTENT


class ClientConnection(RequestIntake):
    """A client connection with the requests pending on it and the responses still to be written.

    Once `closing` is set, the connection closes after its last response is written. The cause is a protocol violation
    or a rejection (at `violation_at`), or that the relay stops (`draining`). Times are the event loop's, in seconds.
    """

    __slots__ = (
        "draining",
        "has_requested",
        "opened_at",
        "write_closed",
    )

    def __init__(self, listener: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(listener, sock)
        self.has_requested = False  # a well-formed request has arrived
        self.draining = False
        self.write_closed = False
        self.opened_at = self.last_activity

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending, no message has arrived in part, and no bytes wait to be read."""
        return not self.has_pending_response and not self.reader.has_partial_message and is_idle_socket(self.sock)

    @property
    def waits_for_client(self) -> bool:
        """Whether the client has to read a response or to send the rest of a message, or has sent far ahead."""
        return bool(self.write_buffer) or self.reader.has_partial_message or len(self.inbox) > 1

    def _update_held_bytes(self) -> None:
        held = 0
        if self.sock.fileno() >= 0:
            held = self.reader.partial_bytes + self.inbox_bytes + self.pending_bytes
            held += self.queued_bytes + len(self.write_buffer)
        self.listener.buffers.update(self, held)

    # Requests

    def _handle_command(self, command: ReceivedCommand) -> None:
        event = command.event
        if type(event) is Query:
            self._handle_query(event.text, command.arrived_at)
        elif type(event) is OverLimit:
            self._reject_request()
        elif type(event) is Startup:
            if event.newer_version:
                self._queue_response(messages.NEGOTIATE_PROTOCOL_VERSION + messages.STARTUP_RESPONSE)
            else:
                self._queue_response(messages.STARTUP_RESPONSE)
        elif type(event) is EncryptionRequest:
            self._queue_response(messages.NO_ENCRYPTION)
        elif type(event) is ProtocolViolation:
            self.close_with_violation(event.code, event.text)
        else:
            self.on_disconnect()

    def _handled_some(self) -> None:
        if self.draining and self.has_requested and not self.inbox:  # the first request arrived during the drain
            self.closing = True
        self.flush()
        self._update_held_bytes()

    def _handle_query(self, text: bytes, arrived_at: float) -> None:
        if not text.strip():
            self._mark_requested()
            self._queue_response(messages.EMPTY_QUERY_RESPONSE)
            return
        listener = self.listener
        try:
            statement = statements.parse_statement(text)
            request_class = listener.driver.request_classes.get(statement.request_class)
            if request_class is None:
                raise statements.StatementError("no such class")
            if statement.request_id in listener.open_request_ids:
                raise statements.StatementError("a request with this id is open")
            if _must_not_run_twice(request_class) and listener.executed_ids.is_known(
                statement.request_id, listener.driver.decisions.now
            ):
                raise statements.StatementError("a request with this id may have run already")
        except statements.StatementError as error:
            listener.unreadable_statements += 1
            self._queue_response(messages.error("42601", str(error)) + messages.READY)
            return
        self._mark_requested()
        size = len(text)
        # A closing connection rejects requests that arrive behind pending ones. The next two limits keep one connection
        # from taking up the relay's whole capacity, and the last one all of them together. Each rejected request gets a
        # response of its own, since clients may pipeline requests.
        if (
            (self.closing and self.slots)
            or len(self.slots) >= MAX_PIPELINED_REQUESTS
            or (self.pending_bytes and self.pending_bytes + size > MAX_PENDING_BYTES)
            or listener.buffers.is_exceeded
        ):
            self._reject_request()
            return
        self._submit(statement, request_class, size, arrived_at)

    def _reject_request(self) -> None:
        self._mark_requested()
        self.listener.rejections += 1
        self._queue_response(self.listener.error_response(RequestOutcome.REJECTED, 0))

    def _submit(self, statement: Statement, request_class: RequestClass, size: int, arrived_at: float) -> None:
        listener = self.listener
        pending = PendingRequest(statement.request_id, statement, self._on_response)
        listener.open_request_ids[statement.request_id] = None
        time_left = min(int(statement.time_left_ms * 10), request_class.timeout) - listener.response_slack
        time_left -= int((listener.loop.time() - arrived_at) * 10_000)
        if listener.drain_deadline is not None:
            time_left = min(time_left, int((listener.drain_deadline - listener.loop.time()) * 10_000))
        if _must_not_run_twice(request_class):
            listener.executed_ids.add(statement.request_id, listener.driver.decisions.now)
        self.add_slot(ResponseSlot(pending, None, listener.loop.time() + time_left / 10_000, size))
        self._update_held_bytes()
        tenant = listener.tenants.get(statement.tenant) if statement.tenant else None
        listener.driver.receive(
            pending, request_class, tenant, statement.key, time_left, statement.idempotent, statement.write
        )

    def _mark_requested(self) -> None:
        self.has_requested = True
        self.listener.without_request.pop(self, None)

    def close_with_violation(self, code: str, text: str) -> None:
        """Sends an error after all earlier responses, then closes the connection; further requests are discarded."""
        if self.violation_at is not None:
            return
        self.listener.protocol_violations += 1
        self.closing = True
        self.violation_at = self.listener.loop.time()
        self._queue_response(messages.error(code, text, fatal=True))

    # Closing

    def _finish(self) -> None:
        """Shuts down writing, and closes the socket after a delay in which the client can read the last response.

        Requests that have arrived meanwhile are read first, since a close with unread bytes resets the connection.
        """
        if self.write_closed or self.sock.fileno() < 0:
            return
        if self.violation_at is None:
            if self.reader.has_partial_message:  # the rest of the request is still to come
                return
            if not is_idle_socket(self.sock):  # another request has arrived: read and answer it first
                self.listener.loop.call_soon(self._on_readable)
                return
            self.stop_reading()  # a request that arrives from now on stays unread, and its client sends it again
        self.write_closed = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        self.listener.loop.call_later(CLOSE_LINGER_SECONDS, self.close)

    def drain(self) -> None:
        """Accepts the requests that have arrived and closes the connection once they are answered.

        Called when the relay stops. A connection without any request so far stays open for now, since its first
        request may be on its way. Reads at most MAX_DRAIN_READ_BYTES, so that a client which sends as fast as it is
        read cannot hold up the others; requests behind them may be rejected.
        """
        if self.closing:
            return
        left = MAX_DRAIN_READ_BYTES
        while left > 0 and not self.closing:
            received = self._receive()
            if received <= 0:
                break
            left -= received
        while self.inbox and self.sock.fileno() >= 0:
            self._handle_next()
        if self.sock.fileno() < 0:
            return
        self.draining = True
        if self.has_requested:
            self.closing = True
        self.flush()

    def close_with_rejection(self, code: str, text: str) -> None:
        """Closes a connection whose next request has not arrived completely, with a rejection.

        The client then retries on another relay. A request that arrives after this call is discarded and never runs;
        the rejection is its response.
        """
        if self.violation_at is not None or self.write_closed or self.sock.fileno() < 0:
            return
        self.listener.rejections += 1
        self.closing = True
        self.violation_at = self.listener.loop.time()
        self._clear_inbox()
        self._queue_response(messages.error(code, text, fatal=True))
        self.flush()

    def evict(self, text: str) -> None:
        """Rejects and closes at once, to make room for another connection; no unread bytes may wait on this one."""
        with contextlib.suppress(OSError):
            self.sock.send(messages.error(TOO_MANY_CONNECTIONS, text, fatal=True))
        self.close()

    def close_to_free_memory(self) -> None:
        """Closes a connection whose client is slow, since the relay holds too many bytes for its clients."""
        if self.write_buffer:  # nothing can be sent behind a response that is not read
            self.on_disconnect()
            return
        self.reader.drop_partial_message()
        self.close_with_rejection(
            TOO_MANY_CONNECTIONS, "too little memory for the rest of a slow message: it did not run"
        )
        self._update_held_bytes()

    def fail_requests(self, due_by: float = math.inf) -> int:
        """Fails the pending requests whose deadline is `due_by` or earlier; returns their number.

        The response says that the request may have run.
        """
        failed = [
            (slot, slot.pending)
            for slot in self.slots
            if slot.pending is not None and slot.response is None and slot.deadline <= due_by
        ]
        for slot, pending in failed:
            self.listener.open_request_ids.pop(pending.id, None)
            self._set_response(slot, self.listener.error_response(RequestOutcome.FAILED, 0))
        self.flush()
        for _, pending in failed:  # from the loop, so that an exception in one call does not prevent the others
            self.listener.loop.call_soon(self.listener.driver.client_left, pending)
        return len(failed)

    def on_disconnect(self) -> None:
        """Closes the connection after the client has disconnected, and abandons its requests."""
        slots = self.slots
        self.slots = deque()
        self.pending_bytes = 0
        self.queued_bytes = 0
        self._clear_inbox()
        self.close()
        abandoned = [slot.pending for slot in slots if slot.pending is not None and slot.response is None]
        for pending in abandoned:
            self.listener.open_request_ids.pop(pending.id, None)
        self.listener.abandoned.add(abandoned)

    def close(self) -> None:
        """Closes the socket; responses that are not written yet are lost."""
        if self.sock.fileno() < 0:
            return
        self.listener.loop.remove_reader(self.sock)
        self.listener.loop.remove_writer(self.sock)
        self.listener.close_monitor.unwatch(self.sock)
        self.listener.work_queue.forget(self.work_share)
        self.sock.close()
        self._update_held_bytes()
        self.listener.clients.pop(self, None)
        self.listener.without_request.pop(self, None)
