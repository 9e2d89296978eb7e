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
from typing import Any

from lanelead.decisions.interface import Attempt, RequestClass, Ticks
from lanelead.pgwire import messages, statements
from lanelead.pgwire.clients import ClientReader, EncryptionRequest, Event, ProtocolViolation, Query, Startup
from lanelead.pgwire.servers import QueryResult
from lanelead.pgwire.statements import Statement
from lanelead.postgres_relay.connection_owner import ConnectionOwner, ResponseSlot
from lanelead.postgres_relay.load_reports import is_idle_socket
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

READ_BUFFER_BYTES = 32768
MAX_COMMANDS_PER_READ = 64  # a read with more queries is a protocol violation, and none of them runs
MAX_PIPELINED_REQUESTS = 128  # pending responses of one connection; further requests are rejected
MAX_PENDING_BYTES = 1 << 20  # total size of a connection's pending requests; further requests are rejected
MAX_RESPONSE_SLOTS = 1024  # pending responses and rejections; one more command is a protocol violation
MAX_WRITE_BUFFER_BYTES = 1 << 18  # responses that the client has not read; above this the relay reads no requests
MAX_DRAIN_READ_BYTES = 1 << 18  # read by one call of `drain`; the event loop reads what is left, as at other times
MAX_DISCARDED_BYTES = 1 << 22  # read and discarded after a protocol violation; then the relay stops reading
CLOSE_LINGER_SECONDS = 0.25  # from shutdown to close, so that the client can read the last response
# SQLSTATE codes of rejections. A rejected request never ran, so a retry on another relay is harmless.
TOO_MANY_CONNECTIONS = "53300"
CANNOT_CONNECT_NOW = "57P03"


class ClientConnection:
    """A client connection with the requests pending on it and the responses still to be written.

    Once `closing` is set, the connection closes after its last response is written. The cause is a protocol violation
    or a rejection (at `violation_at`), or that the relay stops (`draining`). Times are the event loop's, in seconds.
    """

    __slots__ = (
        "closing",
        "discarded_bytes",
        "draining",
        "has_requested",
        "last_activity",
        "listener",
        "opened_at",
        "pending_bytes",
        "reader",
        "reading",
        "reading_paused",
        "slots",
        "sock",
        "violation_at",
        "write_buffer",
        "write_closed",
        "writing",
    )

    def __init__(self, listener: ConnectionOwner, sock: socket.socket) -> None:
        self.listener = listener
        self.sock = sock
        self.reader = ClientReader(listener.max_query_bytes)
        self.slots: deque[ResponseSlot] = deque()
        self.pending_bytes = 0
        self.write_buffer = bytearray()  # responses that the kernel has not accepted yet
        self.has_requested = False  # a well-formed request has arrived
        self.closing = False
        self.draining = False
        self.violation_at: float | None = None  # if set, further bytes from the client are discarded
        self.write_closed = False
        self.discarded_bytes = 0
        now = listener.loop.time()
        self.opened_at = now
        self.last_activity = now
        self.writing = False
        self.reading = True  # False once `stop_reading` was called
        self.reading_paused = False  # backpressure: the write buffer is too large
        listener.loop.add_reader(sock, self._on_readable)

    @property
    def has_pending_response(self) -> bool:
        """Whether a response is pending or not completely written."""
        return bool(self.slots or self.write_buffer)

    @property
    def is_idle(self) -> bool:
        """Whether no response is pending, no message has arrived in part, and no bytes wait to be read."""
        return not self.has_pending_response and not self.reader.has_partial_message and is_idle_socket(self.sock)

    # Requests

    def _on_readable(self) -> None:
        if self._receive() >= 0:
            if self.draining and self.has_requested:  # the first request arrived during the drain
                self.closing = True
            self.flush()
        self.listener.after_event()

    def _receive(self) -> int:
        """Reads at most one buffer and handles it; returns the number of bytes, or -1 if the connection has closed."""
        try:
            data = self.sock.recv(READ_BUFFER_BYTES)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            data = b""
        if not data:
            self.on_disconnect()
            return -1
        if self.violation_at is not None:
            # Discards the bytes. They are read only to notice a disconnect, and because a close with unread bytes
            # resets the connection, which could destroy the error response before the client reads it.
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.stop_reading()
            return len(data)
        self.last_activity = self.listener.loop.time()
        events = self.reader.feed(data)
        many_events = len(events) > MAX_COMMANDS_PER_READ
        if many_events and sum(type(event) is Query for event in events) > MAX_COMMANDS_PER_READ:
            self.reader.finished = True
            events = [ProtocolViolation("54000", f"more than {MAX_COMMANDS_PER_READ} commands at once")]
        for event in events:
            self._handle_event(event)
        return len(data) if self.sock.fileno() >= 0 else -1

    def _handle_event(self, event: Event) -> None:
        if type(event) is Query:
            if len(self.slots) >= MAX_RESPONSE_SLOTS:
                self.reader.finished = True
                self.close_with_violation("54000", f"more than {MAX_RESPONSE_SLOTS} commands wait for their answers")
            else:
                self._handle_query(event.text)
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

    def _queue_response(self, text: bytes) -> None:
        self.slots.append(ResponseSlot(None, text))

    def _handle_query(self, text: bytes) -> None:
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
        except statements.StatementError as error:
            listener.unreadable_statements += 1
            self._queue_response(messages.error("42601", str(error)) + messages.READY)
            return
        self._mark_requested()
        size = len(text)
        # A closing connection rejects requests that arrive behind pending ones. The other two limits keep one
        # connection from taking up the relay's whole capacity. Each rejected request gets a response of its own, since
        # clients may pipeline requests.
        if (
            (self.closing and self.slots)
            or len(self.slots) >= MAX_PIPELINED_REQUESTS
            or (self.pending_bytes and self.pending_bytes + size > MAX_PENDING_BYTES)
        ):
            listener.rejections += 1
            self._queue_response(listener.error_response(RequestOutcome.REJECTED, 0))
            return
        self._submit(statement, request_class, size)

    def _submit(self, statement: Statement, request_class: RequestClass, size: int) -> None:
        listener = self.listener
        pending = PendingRequest(statement.request_id, statement, self._on_response)
        listener.open_request_ids[statement.request_id] = None
        time_left = min(int(statement.time_left_ms * 10), request_class.timeout) - listener.response_slack
        if listener.drain_deadline is not None:
            time_left = min(time_left, int((listener.drain_deadline - listener.loop.time()) * 10_000))
        self.pending_bytes += size
        self.slots.append(ResponseSlot(pending, None, listener.loop.time() + time_left / 10_000, size))
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

    def stop_reading(self) -> None:
        """Stops reading for good: further bytes stay in the kernel's receive buffer."""
        if self.reading:
            self.reading = False
            self.listener.loop.remove_reader(self.sock)

    # Responses

    def _on_response(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        attempt: Attempt | None,
        result: Any,
        retry_after: Ticks,
    ) -> None:
        self.listener.open_request_ids.pop(pending.id, None)
        slot = next((slot for slot in self.slots if slot.pending is pending), None)
        if slot is None:
            return
        if outcome is RequestOutcome.SUCCEEDED:
            assert isinstance(result, QueryResult)
            slot.response = result.raw + messages.READY
        else:
            slot.response = self.listener.error_response(outcome, retry_after)
        if self.slots[0] is slot:
            self.flush()

    def flush(self) -> None:
        """Writes the responses that are ready, in order."""
        if self.sock.fileno() < 0:
            return
        ready = []
        slots = self.slots
        while slots:
            response = slots[0].response
            if response is None:
                break
            ready.append(response)
            self.pending_bytes -= slots.popleft().size
        if ready:
            self.last_activity = self.listener.loop.time()
            self.write_buffer += b"".join(ready)
            if not self.writing:
                self._write()
            self._apply_backpressure()
        if self.closing and not self.has_pending_response:
            self._finish()

    def _write(self) -> None:
        try:
            size = self.sock.send(self.write_buffer)
        except (BlockingIOError, InterruptedError):
            size = 0
        except OSError:
            self.write_buffer.clear()
            self.listener.loop.call_soon(self.on_disconnect)
            return
        if size:  # a slow client that still reads must not time out
            self.last_activity = self.listener.loop.time()
        del self.write_buffer[:size]
        if self.write_buffer and not self.writing:
            self.writing = True
            self.listener.loop.add_writer(self.sock, self._on_writable)
        elif not self.write_buffer and self.writing:
            self.writing = False
            self.listener.loop.remove_writer(self.sock)

    def _apply_backpressure(self) -> None:
        """Stops reading while the write buffer is too large, so that further requests wait in the kernel.

        The listener's sweep closes the connection of a client that does not read for too long.
        """
        if self.sock.fileno() < 0:
            return
        if not self.reading_paused and len(self.write_buffer) > MAX_WRITE_BUFFER_BYTES:
            self.reading_paused = True
            self.listener.loop.remove_reader(self.sock)
        elif self.reading_paused and 2 * len(self.write_buffer) <= MAX_WRITE_BUFFER_BYTES:
            self.reading_paused = False
            if self.reading:
                self.listener.loop.add_reader(self.sock, self._on_readable)

    def _on_writable(self) -> None:
        self._write()
        self._apply_backpressure()
        if self.closing and not self.has_pending_response:
            self._finish()

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

    # Closing

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
        self._queue_response(messages.error(code, text, fatal=True))
        self.flush()

    def evict(self, text: str) -> None:
        """Rejects and closes at once, to make room for another connection; no unread bytes may wait on this one."""
        with contextlib.suppress(OSError):
            self.sock.send(messages.error(TOO_MANY_CONNECTIONS, text, fatal=True))
        self.close()

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
            slot.response = self.listener.error_response(RequestOutcome.FAILED, 0)
        self.flush()
        for _, pending in failed:  # from the loop, so that an exception in one call does not prevent the others
            self.listener.loop.call_soon(self.listener.driver.client_left, pending)
        return len(failed)

    def on_disconnect(self) -> None:
        """Closes the connection after the client has disconnected, and abandons its requests."""
        slots = self.slots
        self.slots = deque()
        self.close()
        for slot in slots:
            if slot.pending is not None and slot.response is None:
                self.listener.open_request_ids.pop(slot.pending.id, None)
                self.listener.driver.client_left(slot.pending)

    def close(self) -> None:
        """Closes the socket; responses that are not written yet are lost."""
        if self.sock.fileno() < 0:
            return
        self.listener.loop.remove_reader(self.sock)
        self.listener.loop.remove_writer(self.sock)
        self.sock.close()
        self.listener.clients.pop(self, None)
        self.listener.without_request.pop(self, None)
