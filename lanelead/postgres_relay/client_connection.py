"""One client's connection in PostgreSQL's protocol: what it asks, in its order, each with one final answer.

Between requests a relay may end a connection; a request that crosses this and that the relay has not read is
sent once more by its client (the protocol's page, 'Clients to relays'). So what waits in the kernel is either
read and answered, or left there unread.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from lanelead.decisions.interface import Attempt, Tenant, Ticks
from lanelead.pgwire import messages, statements
from lanelead.pgwire.clients import ClientReader, EncryptionRequest, Event, ProtocolViolation, Query, Startup
from lanelead.pgwire.servers import QueryResult
from lanelead.postgres_relay.load_reports import is_idle_socket
from lanelead.runtime.driver import DecisionDriver, PendingRequest, RequestOutcome

READ_BUFFER_BYTES = 32768  # bytes read at once
MAX_COMMANDS_PER_READ = 64  # commands of one read: of more, none is taken
MAX_PIPELINED_REQUESTS = 128  # commands of one connection that wait for answers: one more is refused, in its place
MAX_PENDING_BYTES = 1 << 20  # bytes of the commands that wait: with more, the same
MAX_RESPONSE_SLOTS = 1024  # answers in order, those refusals among them, at most
MAX_UNWRITTEN_BYTES = 1 << 18  # bytes of answers that a client leaves unread: with more, no command of its is read
MAX_DISCARDED_BYTES = 1 << 22  # bytes read from a client behind what can't be read, at most
CLOSE_LINGER_SECONDS = 0.25  # seconds for a client to read the last that it was sent
# SQLSTATE codes of rejections: the request never ran, and a retry elsewhere is harmless.
TOO_MANY_CONNECTIONS = "53300"
CANNOT_CONNECT_NOW = "57P03"


class ConnectionOwner(Protocol):
    """What a connection needs of the front that took it in."""

    loop: asyncio.AbstractEventLoop
    driver: DecisionDriver
    tenants: Mapping[str, Tenant]
    max_query_bytes: int
    response_slack: Ticks
    open_request_ids: dict[str, None]  # ids of lookups without an answer yet
    after_event: Callable[[], None]
    clients: dict[ClientConnection, None]
    without_request: dict[ClientConnection, None]
    unreadable_statements: int
    protocol_violations: int
    rejections: int
    drain_deadline: float | None  # when all has to be answered, once the relay is told to stop

    def error_response(self, outcome: RequestOutcome, back: Ticks) -> bytes: ...


class ResponseSlot:
    """A command's place in the order of answers."""

    __slots__ = ("deadline", "pending", "response", "size")

    def __init__(
        self, pending: PendingRequest | None, text: bytes | None, due: float = math.inf, size: int = 0
    ) -> None:
        self.pending, self.response, self.deadline = pending, text, due  # when it is owed, on the loop's clock
        self.size = size  # bytes of its command


class ClientConnection:
    """One connection. It ends once all that is owed is written if it is `closing`, either because what it
    sent can't be read (`judged`), or because the relay stops (`leaving`)."""

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
        "unwritten",
        "violation_at",
        "write_closed",
        "writing",
    )

    def __init__(self, front: ConnectionOwner, sock: socket.socket) -> None:
        self.listener, self.sock = front, sock
        self.reader = ClientReader(front.max_query_bytes)
        self.slots: deque[ResponseSlot] = deque()
        self.pending_bytes = 0  # bytes of the commands that wait
        self.unwritten = bytearray()  # answers that the kernel did not take
        self.has_requested = False  # it has asked for something that could be read
        self.closing = self.draining = False
        self.violation_at: float | None = None  # when what can't be read came
        self.write_closed = False  # nothing more is written
        self.discarded_bytes = 0
        self.opened_at = self.last_activity = front.loop.time()
        self.writing = False
        self.reading = True
        self.reading_paused = False  # not read for now: too much is owed
        front.loop.add_reader(sock, self._on_readable)

    @property
    def owes_nothing(self) -> bool:
        return not self.slots and not self.unwritten

    @property
    def is_idle(self) -> bool:
        """Nothing is owed, nothing has begun, and nothing waits to be read."""
        return self.owes_nothing and not self.reader.has_partial_message and is_idle_socket(self.sock)

    # Reading

    def _on_readable(self) -> None:
        if self._receive() >= 0:
            if self.draining and self.has_requested:  # its first request after all: it ends with that
                self.closing = True
            self.flush()
        self.listener.after_event()

    def _receive(self) -> int:
        """Takes in what has come, a bufferful at most: how many bytes, or -1 where the connection is over."""
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
            # Read only to notice its end, and lest a reset destroy the error that it is owed.
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.stop_reading()
            return len(data)
        self.last_activity = self.listener.loop.time()
        events = self.reader.feed(data)
        # Hundreds of commands at once: none of them is taken.
        if (
            len(events) > MAX_COMMANDS_PER_READ
            and sum(type(event) is Query for event in events) > MAX_COMMANDS_PER_READ
        ):
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
            self._queue_response(
                messages.NEGOTIATE_PROTOCOL_VERSION + messages.WELCOME if event.newer_version else messages.WELCOME
            )
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
            self._queue_response(messages.EMPTY)
            return
        front = self.listener
        try:
            statement = statements.parse_statement(text)
            request_class = front.driver.request_classes.get(statement.request_class)
            if request_class is None:
                raise statements.StatementError("no such class")
            if statement.request_id in front.open_request_ids:
                raise statements.StatementError("a request with this id is open")
        except statements.StatementError as fault:
            front.unreadable_statements += 1
            self._queue_response(messages.error("42601", str(fault)) + messages.READY)
            return
        self._mark_requested()
        if self.closing and self.slots:  # the relay stops, and this came behind what was taken in time
            front.rejections += 1
            self._queue_response(front.error_response(RequestOutcome.REJECTED, 0))
            return
        # Guards against one connection that holds all that the relay may: it is told so, command by command,
        # since whoever writes its requests one behind another is owed an answer to each.
        if len(self.slots) >= MAX_PIPELINED_REQUESTS or (
            self.pending_bytes and self.pending_bytes + len(text) > MAX_PENDING_BYTES
        ):
            front.rejections += 1
            self._queue_response(front.error_response(RequestOutcome.REJECTED, 0))
            return
        pending = PendingRequest(statement.request_id, statement, self._on_response)
        front.open_request_ids[statement.request_id] = None
        left = min(int(statement.time_left_ms * 10), request_class.timeout) - front.response_slack
        if front.drain_deadline is not None:
            left = min(left, int((front.drain_deadline - front.loop.time()) * 10_000))
        self.pending_bytes += len(text)
        self.slots.append(ResponseSlot(pending, None, front.loop.time() + left / 10_000, len(text)))
        tenant = front.tenants.get(statement.tenant) if statement.tenant else None
        front.driver.receive(pending, request_class, tenant, statement.key, left, statement.idempotent, statement.write)

    def _mark_requested(self) -> None:
        self.has_requested = True
        self.listener.without_request.pop(self, None)

    def close_with_violation(self, code: str, text: str) -> None:
        """An error that ends the connection, behind what is owed already; nothing more is taken."""
        if self.violation_at is not None:
            return
        self.listener.protocol_violations += 1
        self.closing, self.violation_at = True, self.listener.loop.time()
        self._queue_response(messages.error(code, text, fatal=True))

    def stop_reading(self) -> None:
        if self.reading:
            self.reading = False
            self.listener.loop.remove_reader(self.sock)

    # Answers

    def _on_response(
        self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None, answer: Any, back: Ticks
    ) -> None:
        self.listener.open_request_ids.pop(pending.id, None)
        slot = next((slot for slot in self.slots if slot.pending is pending), None)
        if slot is None:
            return
        if outcome is RequestOutcome.SUCCEEDED:
            assert isinstance(answer, QueryResult)
            slot.response = answer.raw + messages.READY
        else:
            slot.response = self.listener.error_response(outcome, back)
        if self.slots[0] is slot:
            self.flush()

    def flush(self) -> None:
        """Writes what is ready, in order."""
        if self.sock.fileno() < 0:
            return
        ready = []
        while self.slots and (text := self.slots[0].response) is not None:
            ready.append(text)
            self.pending_bytes -= self.slots.popleft().size
        if ready:
            self.last_activity = self.listener.loop.time()
            self.unwritten += b"".join(ready)
            if not self.writing:
                self._write()
            self._apply_backpressure()
        if self.closing and self.owes_nothing:
            self._finish()

    def _write(self) -> None:
        try:
            size = self.sock.send(self.unwritten)
        except (BlockingIOError, InterruptedError):
            size = 0
        except OSError:
            self.unwritten.clear()
            self.listener.loop.call_soon(self.on_disconnect)
            return
        if size:  # guards against cutting off one that reads slowly, but reads
            self.last_activity = self.listener.loop.time()
        del self.unwritten[:size]
        if self.unwritten and not self.writing:
            self.writing = True
            self.listener.loop.add_writer(self.sock, self._on_writable)
        elif not self.unwritten and self.writing:
            self.writing = False
            self.listener.loop.remove_writer(self.sock)

    def _apply_backpressure(self) -> None:
        """Guards against answers without bound for one that asks and does not read, and against breaking
        off the answers of one that reads: its next commands wait in the kernel. Whoever takes nothing for
        long is ended by the sweep."""
        if self.sock.fileno() < 0:
            return
        if not self.reading_paused and len(self.unwritten) > MAX_UNWRITTEN_BYTES:
            self.reading_paused = True
            self.listener.loop.remove_reader(self.sock)
        elif self.reading_paused and 2 * len(self.unwritten) <= MAX_UNWRITTEN_BYTES:
            self.reading_paused = False
            if self.reading:
                self.listener.loop.add_reader(self.sock, self._on_readable)

    def _on_writable(self) -> None:
        self._write()
        self._apply_backpressure()
        if self.closing and self.owes_nothing:
            self._finish()

    def _finish(self) -> None:
        """All is written: the client gets a moment to read it, since closing with bytes unread resets."""
        if self.write_closed or self.sock.fileno() < 0:
            return
        if self.violation_at is None:
            if self.reader.has_partial_message:  # half a request has come: a close would lose it
                return
            if not is_idle_socket(self.sock):  # a request has come behind the last: it is read, and answered
                self.listener.loop.call_soon(self._on_readable)
                return
            self.stop_reading()  # what crosses the end stays unread: its client sends it once more
        self.write_closed = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        self.listener.loop.call_later(CLOSE_LINGER_SECONDS, self.close)

    # Ends

    def drain(self) -> None:
        """The relay stops: what has come on this connection is taken in, and it ends when that is answered.
        One that has not asked yet is left open for now, since its request may be on its way."""
        if self.closing:
            return
        while self._receive() > 0 and not self.closing:
            pass
        if self.sock.fileno() < 0:
            return
        self.draining = True
        if self.has_requested:
            self.closing = True
        self.flush()

    def close_with_rejection(self, code: str, text: str) -> None:
        """Ends a connection whose next request has not come whole, with a refusal that tells its client to
        go elsewhere. It is the answer to whatever crosses it, which is dropped: a request that is refused
        must never run."""
        if self.violation_at is not None or self.write_closed or self.sock.fileno() < 0:
            return
        self.listener.rejections += 1
        self.closing, self.violation_at = True, self.listener.loop.time()
        self._queue_response(messages.error(code, text, fatal=True))
        self.flush()

    def evict(self, text: str) -> None:
        """The same, for its place at once: nothing has come on it that was not read."""
        with contextlib.suppress(OSError):
            self.sock.send(messages.error(TOO_MANY_CONNECTIONS, text, fatal=True))
        self.close()

    def fail_requests(self, by: float = math.inf) -> int:
        """What was taken, and was owed by then, has had its moment: it may have run, and gets its final
        answer now. How many there were."""
        late = [
            (slot, slot.pending)
            for slot in self.slots
            if slot.pending is not None and slot.response is None and slot.deadline <= by
        ]
        for slot, pending in late:
            self.listener.open_request_ids.pop(pending.id, None)
            slot.response = self.listener.error_response(RequestOutcome.FAILED, 0)
        self.flush()
        for _, pending in late:  # by the loop: what fails there must not keep others from their answers
            self.listener.loop.call_soon(self.listener.driver.client_left, pending)
        return len(late)

    def on_disconnect(self) -> None:
        """The client is not there any more: no answer is owed."""
        slots, self.slots = self.slots, deque()
        self.close()
        for slot in slots:
            if slot.pending is not None and slot.response is None:
                self.listener.open_request_ids.pop(slot.pending.id, None)
                self.listener.driver.client_left(slot.pending)

    def close(self) -> None:
        if self.sock.fileno() < 0:
            return
        self.listener.loop.remove_reader(self.sock)
        self.listener.loop.remove_writer(self.sock)
        self.sock.close()
        self.listener.clients.pop(self, None)
        self.listener.without_request.pop(self, None)
