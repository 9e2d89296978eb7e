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
from lanelead.http.requests import HttpRequest, RejectedRequest, RequestReader, State
from lanelead.http.responses import HttpResponse
from lanelead.http_relay import response_texts
from lanelead.http_relay.request_routing import RequestRoutingError
from lanelead.protocols.feeds import Complaint, MessageError, decode, encode
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

if TYPE_CHECKING:
    from lanelead.http_relay.client_listener import ClientListener

RELAY_PATH_PREFIX = b"/.lanelead/"
COMPLAINT_PATH = b"/.lanelead/complaint"
STATE_PATH = b"/.lanelead/state"
LINGER_SECONDS = 0.5  # time for a client to read the last response before the connection is closed


class ResponseSlot:
    """A request's position in the order of responses."""

    __slots__ = ("close", "data", "deadline", "deferred", "pending", "request")

    def __init__(self, request: HttpRequest | None) -> None:
        self.request = request
        self.data: bytes | None = None  # the encoded response, once there is one
        self.pending: PendingRequest | None = None
        self.deadline: Ticks = 0
        self.deferred: Callable[[], None] | None = None  # passes a deferred request to the driver
        self.close = False  # whether the connection is closed after this response


class ClientConnection:
    """The connection of one client. One task reads requests; `flush` writes the responses, one write at a time.

    The connection is closed when reading has ended and no response is due. Reading ends when the client closes or
    resets the connection, on `abort`, or LINGER_SECONDS after a response that closes the connection
    (`ResponseSlot.close`). A keep-alive connection without requests stays open.
    """

    def __init__(self, listener: ClientListener, sock: socket.socket, address: str) -> None:
        self._listener = listener
        self._sock = sock
        self._loop = listener.loop
        self._reader = RequestReader(listener.quota.head_bytes, listener.quota.body_bytes)
        self._tenant_by_address = listener.router.tenant_at(address)
        self.slots: deque[ResponseSlot] = deque()
        self._slot_freed = asyncio.Event()
        self._reading = True  # whether the reading task still runs
        self._closing = False  # whether further requests are ignored
        self._linger: asyncio.TimerHandle | None = None
        self.last_activity_at = listener.loop.time()  # when bytes were last received or sent
        self._writing = False
        listener.start_task(self._read())

    @property
    def is_idle(self) -> bool:
        """Whether no response is due or being written."""
        return not self.slots and not self._writing

    @property
    def waits_for_client(self) -> bool:
        """Whether the client has to read a response or, if none is due, to send the rest of a request."""
        return self._writing or (not self.slots and self._reader.state in (State.HEAD, State.BODY))

    # Reading

    async def _read(self) -> None:
        listener = self._listener
        buffer = listener.take_buffer()
        view = memoryview(buffer)
        max_pipelined = listener.quota.pipelined  # checked before each read, so the requests of one read may exceed it
        try:
            while True:
                while not self._closing and len(self.slots) >= max_pipelined:
                    self._slot_freed.clear()
                    await self._slot_freed.wait()
                size = await self._loop.sock_recv_into(self._sock, buffer)
                if size == 0:  # half closed: pending requests still get their responses
                    break
                if self._closing:  # discards what comes after the last request that gets a response
                    continue
                self.last_activity_at = self._loop.time()
                for event in self._reader.feed(view[:size]):
                    if isinstance(event, HttpRequest):
                        self._request_received(event)
                    elif isinstance(event, RejectedRequest):
                        listener.request_rejected(event.status, event.reason)
                        self._respond(self._add_slot(None), event.status, event.reason, close=True)
                    elif self.is_idle and not self._closing:  # ContinueExpected; not sent ahead of a due response
                        await self._loop.sock_sendall(self._sock, serialization.CONTINUE)
                listener.after_event()
        except OSError:  # the client reset the connection, so no response is due
            self._client_disconnected()
        finally:
            view.release()
            listener.return_buffer(buffer)
            self._reading = False
            self._close_if_finished()

    def _add_slot(self, request: HttpRequest | None) -> ResponseSlot:
        slot = ResponseSlot(request)
        self.slots.append(slot)
        return slot

    def _request_received(self, request: HttpRequest) -> None:
        if self._closing:
            return
        slot = self._add_slot(request)
        if not request.keep or self._listener.draining:
            slot.close = True
            self._closing = True
        if request.target.startswith(RELAY_PATH_PREFIX):
            self._handle_relay_path(slot, request)
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
        pending = PendingRequest(router.request_id(request), request, self._on_reply)
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
            data = response_texts.rejected(pending, retry_after, keep)
        else:
            data = response_texts.failed(pending, keep)
        self._set_response(slot, data)

    def _set_response(self, slot: ResponseSlot, data: bytes) -> None:
        if slot.data is not None:
            return
        slot.data = data
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
                await self._loop.sock_sendall(self._sock, parts[0] if len(parts) == 1 else b"".join(parts))
                self.last_activity_at = self._loop.time()
                if last:
                    self._closing = True
                    break
                if slots:
                    self._pass_deferred_to_driver()
                self._slot_freed.set()
        except OSError:
            self._client_disconnected()
        finally:
            self._writing = False
            self._close_if_finished()

    def _pop_ready_responses(self) -> tuple[list[bytes], bool]:
        """Removes the ready responses at the front, up to the first one that closes the connection.

        Returns them, and whether the last one closes the connection.
        """
        parts: list[bytes] = []
        while self.slots:
            data = self.slots[0].data
            if data is None:
                break
            parts.append(data)
            if self.slots.popleft().close:
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
        slots = list(self.slots)
        self.slots = deque()
        for slot in slots:
            if slot.pending is not None:
                self._listener.driver.client_left(slot.pending)
        self._slot_freed.set()
        self._listener.after_event()

    def _close_if_finished(self) -> None:
        """Closes the socket once reading has ended and no response is due; begins to linger after the last response."""
        if self.slots or self._writing:
            return
        if not self._reading:
            if self._linger is not None:
                self._linger.cancel()
            self._sock.close()
            self._listener.connection_closed(self)
        elif self._closing and self._linger is None:
            # For a short time, received bytes are read and discarded: closing the socket while the client still sends
            # would reset the connection, and the response just written could be lost (RFC 9112, section 9.6).
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
            self._linger = self._loop.call_later(LINGER_SECONDS, self.abort)

    def abort(self) -> None:
        """Drops all due responses and shuts the socket down, so that the pending read or write ends and closes it."""
        self._client_disconnected()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._close_if_finished()
