"""The connection of one client: responses are sent in the order of the requests (RFC 9112, section 9.3.2).

The response to a pipelined request therefore cannot overtake those to the requests ahead of it. If one of those has a
later deadline, the pipelined request might be executed and its response still be sent too late. So it is deferred: the
driver gets it after the requests ahead with a later deadline have their responses, with the time that is then left. Any
other request is passed on at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from lanelead.decisions.interface import Attempt, Ticks
from lanelead.http import serialization
from lanelead.http.requests import Event, HttpRequest, RejectedRequest, State
from lanelead.http.responses import HttpResponse
from lanelead.http_relay import response_texts
from lanelead.http_relay.request_intake import RequestIntake
from lanelead.http_relay.request_routing import RequestRoutingError
from lanelead.protocols.feeds import Complaint, MessageError, decode, encode
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

if TYPE_CHECKING:
    from lanelead.http_relay.client_listener import ClientListener

RELAY_PATH_PREFIX = b"/.lanelead/"
COMPLAINT_PATH = b"/.lanelead/complaint"
STATE_PATH = b"/.lanelead/state"
MAX_WRITE_BYTES = 65536  # joined for one write, unless a single response is longer
SLOT_BYTES = 512  # counted for each response that is due, in addition to its request and its text
LINGER_SECONDS = 0.5  # time for a client to read the last response before the connection is closed


class ResponseSlot:
    """A request's position in the order of responses."""

    __slots__ = ("close", "data", "deadline", "deferred", "pending", "request", "size")

    def __init__(self, request: HttpRequest | None) -> None:
        self.request = request
        self.data: bytes | None = None  # the encoded response, once there is one
        self.pending: PendingRequest | None = None
        self.deadline: Ticks = 0
        self.deferred: Callable[[], None] | None = None  # passes a deferred request to the driver
        self.close = False  # whether the connection is closed after this response
        self.size = SLOT_BYTES + (0 if request is None else request.held_bytes)


class ClientConnection(RequestIntake):
    """The connection of one client. Requests are handled a few at a time; `flush` writes the responses.

    The connection is closed when reading has ended and no response is due. Reading ends when the client closes or
    resets the connection, on `abort`, or LINGER_SECONDS after a response that closes the connection
    (`ResponseSlot.close`). A keep-alive connection without requests stays open.
    """

    def __init__(self, listener: ClientListener, sock: socket.socket, address: str) -> None:
        super().__init__(listener, sock)
        self._tenant_by_address = listener.router.tenant_at(address)
        self.slots: deque[ResponseSlot] = deque()
        self._slot_bytes = 0  # of the requests and responses in `slots`
        self._unwritten_bytes = 0  # of responses that are being written
        self._linger: asyncio.TimerHandle | None = None
        self._writing = False

    @property
    def is_idle(self) -> bool:
        """Whether no response is due or being written."""
        return not self.slots and not self._writing

    @property
    def has_due_response(self) -> bool:
        """Whether a response is due or being written, also one to a request that is not handled yet."""
        return bool(self.slots or self._writing or self._inbox)

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has arrived in part, and no response is due."""
        return not self.slots and self._reader.state in (State.HEAD, State.BODY)

    @property
    def waits_for_client(self) -> bool:
        """Whether the client has to read a response or to send the rest of a request, or has sent far ahead."""
        is_ahead = len(self._inbox) > self._listener.quota.pipelined
        return self._writing or is_ahead or self._reader.state in (State.HEAD, State.BODY)

    def _update_held_bytes(self) -> None:
        held = 0
        if self._sock.fileno() >= 0:
            held = self._reader.held_bytes + self._inbox_bytes + self._slot_bytes + self._unwritten_bytes
        self._listener.buffers.update(self, held)

    # Requests

    def _has_free_slot(self) -> bool:
        return len(self.slots) < self._listener.quota.pipelined

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, HttpRequest):
            self._request_received(event)
        elif isinstance(event, RejectedRequest):
            self._listener.request_rejected(event.status, event.reason)
            self._respond(self._add_slot(None), event.status, event.reason, close=True)
        elif self.is_idle:  # ContinueExpected; not sent ahead of a due response
            with contextlib.suppress(OSError):
                self._sock.send(serialization.CONTINUE)

    def _add_slot(self, request: HttpRequest | None) -> ResponseSlot:
        slot = ResponseSlot(request)
        self.slots.append(slot)
        self._slot_bytes += slot.size
        return slot

    def _request_received(self, request: HttpRequest) -> None:
        slot = self._add_slot(request)
        if not request.keep or self._listener.draining:
            slot.close = True
            self._closing = True
        if request.target.startswith(RELAY_PATH_PREFIX):
            self._handle_relay_path(slot, request)
            return
        if self._listener.buffers.is_exceeded:
            self._set_response(slot, response_texts.not_forwarded(not slot.close))
            return
        try:
            self._pass_to_driver(slot, request)
        except RequestRoutingError as error:
            self._respond(slot, error.status, error.text)

    def _pass_to_driver(self, slot: ResponseSlot, request: HttpRequest) -> None:
        """Passes a request to the driver; defers it if one ahead has a later deadline. Raises RequestRoutingError."""
        listener = self._listener
        router = listener.router
        request_class = router.request_class(request)
        time_left = router.time_left(request, request_class)
        router.check_idempotency_key(request, request_class)
        request_id = router.request_id(request)
        listener.remember_unrepeatable(request_id, request_class)
        pending = PendingRequest(request_id, request, self._on_reply)
        slot.pending = pending
        tenant = router.tenant(request, self._tenant_by_address)
        key = router.key(request)
        deadline = listener.clock() + time_left
        slot.deadline = deadline

        def receive() -> None:
            slot.deferred = None
            listener.driver.receive(pending, request_class, tenant, key, deadline - listener.clock())

        ahead = [other.deadline for other in self.slots if other is not slot and other.data is None]
        if ahead and max(ahead) > deadline:
            slot.deferred = receive
        else:
            receive()

    def _handle_relay_path(self, slot: ResponseSlot, request: HttpRequest) -> None:
        """Serves the relay's own paths: complaints about wrong responses, and the state document."""
        if request.target == COMPLAINT_PATH and request.method == "POST":
            self._handle_complaint(slot, request)
        elif request.target == STATE_PATH and request.method in ("GET", "HEAD"):
            body = encode(self._listener.state())
            self._set_response(slot, response_texts.json_response(request, body, not slot.close))
        else:
            self._respond(slot, 404, "nothing here")

    def _handle_complaint(self, slot: ResponseSlot, request: HttpRequest) -> None:
        driver = self._listener.driver
        try:
            complaint = decode(request.body, Complaint)
            request_class = driver.request_classes.get(complaint.lane)
            if request_class is None:
                raise MessageError(f"no class {complaint.lane!r}")
            if not driver.complaint_received(complaint.unit, request_class, int(complaint.age_ms * 10)):
                raise MessageError(f"no endpoint {complaint.unit!r} was ever listed")
        except MessageError as error:
            self._respond(slot, 400, str(error))
            return
        self._set_response(slot, serialization.response(204, (), b"", not slot.close))

    # Responses

    def _respond(self, slot: ResponseSlot, status: int, text: str, close: bool = False) -> None:
        """Sets a text response of the relay itself, to a request that is not passed to the driver."""
        if close:
            slot.close = True
            self._closing = True
        self._set_response(slot, response_texts.text_response(slot.request, status, text, not slot.close))

    def _on_reply(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        attempt: Attempt | None,
        response: HttpResponse | None,
        retry_after: Ticks,
    ) -> None:
        slot = next((slot for slot in self.slots if slot.pending is pending), None)
        if slot is None:
            return
        self._listener.log_outcome(pending, outcome, attempt)
        keep = not slot.close
        if outcome is RequestOutcome.SUCCEEDED and response is not None and attempt is not None:
            name = self._listener.driver.registry.names[attempt.endpoint]
            data = response_texts.succeeded(pending, attempt, response, name, keep)
        elif outcome is RequestOutcome.REJECTED:
            self._listener.executed_ids.remove(pending.id)
            data = response_texts.rejected(pending, retry_after, keep)
        else:
            data = response_texts.failed(pending, keep)
        self._set_response(slot, data)

    def _set_response(self, slot: ResponseSlot, data: bytes) -> None:
        if slot.data is not None:
            return
        slot.data = data
        slot.size += len(data)
        self._slot_bytes += len(data)
        self._update_held_bytes()
        if not self._writing and self.slots and self.slots[0] is slot:
            self._listener.writable[self] = None

    async def flush(self) -> None:
        """Writes the responses that are ready, in order, with as few writes as possible."""
        if self._writing:
            return
        self._writing = True
        slots = self.slots
        try:
            while slots and slots[0].data is not None:
                parts, last = self._pop_ready_responses()
                self._unwritten_bytes = sum(len(part) for part in parts)
                await self._loop.sock_sendall(self._sock, parts[0] if len(parts) == 1 else b"".join(parts))
                self._unwritten_bytes = 0
                self.last_activity_at = self._loop.time()
                self._update_held_bytes()
                if last:
                    self._closing = True
                    break
                if slots:
                    self._pass_deferred_to_driver()
        except OSError:
            self._client_disconnected()
        finally:
            self._writing = False
            self._unwritten_bytes = 0
            self._close_if_finished()
            self._update_held_bytes()
            if self._inbox:
                self._schedule()

    def _pop_ready_responses(self) -> tuple[list[bytes], bool]:
        """Removes ready responses at the front, up to the first one that closes the connection or MAX_WRITE_BYTES.

        Returns them, and whether the last one closes the connection.
        """
        parts: list[bytes] = []
        size = 0
        while self.slots and size < MAX_WRITE_BYTES:
            data = self.slots[0].data
            if data is None:
                break
            size += len(data)
            parts.append(data)
            slot = self.slots.popleft()
            self._slot_bytes -= slot.size
            if slot.close:
                return parts, True
        return parts, False

    def _pass_deferred_to_driver(self) -> None:
        """Passes deferred requests to the driver, in order, up to the first that has a later deadline ahead of it.

        Called after responses have been written.
        """
        for slot in list(self.slots):
            if slot.deferred is None:
                continue
            ahead = itertools.takewhile(lambda other, slot=slot: other is not slot, self.slots)  # type: ignore[misc]
            if max((other.deadline for other in ahead if other.data is None), default=0) > slot.deadline:
                return
            slot.deferred()

    # Closing

    def _client_disconnected(self) -> None:
        self._closing = True
        self._clear_inbox()
        slots = list(self.slots)
        self.slots = deque()
        self._slot_bytes = 0
        self._listener.abandoned.add(slot.pending for slot in slots if slot.pending is not None)
        self._update_held_bytes()

    def _forbid_attempts(self) -> None:
        for slot in list(self.slots):
            if slot.pending is None or slot.data is not None:
                continue
            self._listener.driver.forbid_attempts(slot.pending)
            if slot.deferred is not None:
                slot.deferred = None
                self._listener.executed_ids.remove(slot.pending.id)
                self._set_response(slot, response_texts.not_forwarded(not slot.close))

    def close_to_free_memory(self) -> None:
        """Closes a connection whose client is slow, since the relay holds too many bytes for its clients."""
        if self._writing:
            self.abort()
            return
        self._reader.stop()
        self._clear_inbox()
        slot = self._add_slot(None)
        slot.close = True
        self._closing = True
        self._set_response(slot, response_texts.not_forwarded(keep=False))

    def _close_if_finished(self) -> None:
        """Closes the socket once reading has ended and no response is due; begins to linger after the last response."""
        if self.slots or self._writing or self._inbox or self._sock.fileno() < 0:
            return
        if not self._reading:
            if self._linger is not None:
                self._linger.cancel()
            self._listener.close_monitor.unwatch(self._sock)
            self._listener.work_queue.forget(self._work_share)
            self._sock.close()
            self._listener.connection_closed(self)
            self._update_held_bytes()
        elif self._closing and self._linger is None:
            # For a short time, received bytes are read and discarded: closing the socket while the client still sends
            # would reset the connection, and the response just written could be lost (RFC 9112, section 9.6).
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
            self._linger = self._loop.call_later(LINGER_SECONDS, self.abort)

    def abort(self) -> None:
        """Drops all due responses and closes the socket, once a pending write has ended."""
        if self._sock.fileno() < 0:
            return
        self._stop_reading()
        self._client_disconnected()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._close_if_finished()
