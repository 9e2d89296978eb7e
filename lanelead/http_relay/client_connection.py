"""One client's connection: requests in, each with one final response, in the order in which they came.

RFC 9112, section 9.3.2. A pipelined request is taken at once only where its deadline lies no earlier than those of
the requests ahead of it, since its response can't pass theirs; else it is taken when they are answered, with the time
that is then left.
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

OWN_PATHS = b"/.lanelead/"
COMPLAINT_PATH = b"/.lanelead/complaint"
STATE_PATH = b"/.lanelead/state"
LINGER_SECONDS = 0.5  # for a client to read the last that it was sent


class ResponseSlot:
    """A request's place in the order of responses."""

    __slots__ = ("close", "deadline", "deferred", "pending", "request", "text")

    def __init__(self, request: HttpRequest | None) -> None:
        self.request = request
        self.text: bytes | None = None  # the response, once there is one
        self.pending: PendingRequest | None = None
        self.deadline: Ticks = 0
        self.deferred: Callable[[], None] | None = None  # takes the request, when those ahead are answered
        self.close = False  # the connection ends behind this response


class ClientConnection:
    """One client. A task reads; responses are written by whoever made them ready, one write at a time.

    It ends when nothing is read any more and no response is due: the client has closed its side, or has been sent its
    last response and given a moment to read it.
    """

    def __init__(self, listener: ClientListener, sock: socket.socket, address: str) -> None:
        self._listener = listener
        self._sock = sock
        self._loop = listener.loop
        self._reader = RequestReader(listener.quota.head_bytes, listener.quota.body_bytes)
        self._tenant_by_address = listener.router.tenant_at(address)
        self.slots: deque[ResponseSlot] = deque()
        self._slot_freed = asyncio.Event()
        self._reading = True  # the task that reads still runs
        self._closing = False  # nothing more is taken from it
        self._linger: asyncio.TimerHandle | None = None
        self.last_moved_at = listener.loop.time()  # when bytes last went either way
        self._writing = False
        listener.start_task(self._read())

    @property
    def is_idle(self) -> bool:
        """No response is due or being written."""
        return not self.slots and not self._writing

    @property
    def stuck(self) -> bool:
        """Waits for the client, in the middle of a request or of a response."""
        return self._writing or (not self.slots and self._reader.state in (State.HEAD, State.BODY))

    # Reading

    async def _read(self) -> None:
        listener = self._listener
        buffer = listener.take_buffer()
        view = memoryview(buffer)
        max_pipelined = listener.quota.pipelined
        try:
            while True:
                while not self._closing and len(self.slots) >= max_pipelined:
                    self._slot_freed.clear()
                    await self._slot_freed.wait()
                size = await self._loop.sock_recv_into(self._sock, buffer)
                if size == 0:  # half closed: what was requested is still answered
                    break
                if self._closing:  # nothing more is answered here, so nothing more is taken
                    continue
                self.last_moved_at = self._loop.time()
                for event in self._reader.feed(view[:size]):
                    if isinstance(event, HttpRequest):
                        self._request_received(event)
                    elif isinstance(event, RejectedRequest):
                        listener.request_rejected(event.status, event.reason)
                        self._respond(self._add_slot(None), event.status, event.reason, close=True)
                    elif self.is_idle and not self._closing:
                        await self._loop.sock_sendall(self._sock, serialization.CONTINUE)
                listener.after()
        except OSError:  # reset: the client has gone, and no response is due
            self._client_gone()
        finally:
            view.release()
            listener.return_buffer(buffer)
            self._reading = False
            self._settle()

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
        if request.target.startswith(OWN_PATHS):
            self._own_path(slot, request)
            return
        try:
            self._take(slot, request)
        except RequestRoutingError as error:
            self._respond(slot, error.status, error.text)

    def _take(self, slot: ResponseSlot, request: HttpRequest) -> None:
        """Hands a request to the driver, now or when those ahead are answered. Raises RequestRoutingError."""
        listener = self._listener
        router = listener.router
        request_class = router.request_class(request)
        time_left = router.time_left(request, request_class)
        router.check_idempotency_key(request, request_class)
        pending = PendingRequest(router.request_id(request), request, self._replied)
        slot.pending = pending
        tenant = router.tenant(request, self._tenant_by_address)
        key = router.key(request)
        deadline = listener.clock() + time_left
        slot.deadline = deadline

        def receive() -> None:
            slot.deferred = None
            listener.driver.receive(pending, request_class, tenant, key, deadline - listener.clock())

        ahead = [other.deadline for other in self.slots if other is not slot and other.text is None]
        if ahead and max(ahead) > deadline:
            slot.deferred = receive
        else:
            receive()

    def _own_path(self, slot: ResponseSlot, request: HttpRequest) -> None:
        """The relay's own paths: complaints of wrong responses, and the state document."""
        if request.target == COMPLAINT_PATH and request.method == "POST":
            self._complaint(slot, request)
        elif request.target == STATE_PATH and request.method in ("GET", "HEAD"):
            body = encode(self._listener.state())
            self._fill(slot, response_texts.own_json(request, body, not slot.close))
        else:
            self._respond(slot, 404, "nothing here")

    def _complaint(self, slot: ResponseSlot, request: HttpRequest) -> None:
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
        self._fill(slot, serialization.response(204, (), b"", not slot.close))

    # Responses

    def _respond(self, slot: ResponseSlot, status: int, text: str, close: bool = False) -> None:
        """A response of the relay's own, to what is no request of a class."""
        if close:
            slot.close = True
            self._closing = True
        self._fill(slot, response_texts.own_text(slot.request, status, text, not slot.close))

    def _replied(
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
            text = response_texts.succeeded(pending, attempt, response, name, keep)
        elif outcome is RequestOutcome.REJECTED:
            text = response_texts.rejected(pending, retry_after, keep)
        else:
            text = response_texts.failed(pending, keep)
        self._fill(slot, text)

    def _fill(self, slot: ResponseSlot, text: bytes) -> None:
        if slot.text is not None:
            return
        slot.text = text
        if not self._writing and self.slots and self.slots[0] is slot:
            self._listener.ready[self] = None

    async def flush(self) -> None:
        """Writes responses in order, as many at once as are ready."""
        if self._writing:
            return
        self._writing = True
        slots = self.slots
        try:
            while slots and slots[0].text is not None:
                parts, last = self._take_ready()
                await self._loop.sock_sendall(self._sock, parts[0] if len(parts) == 1 else b"".join(parts))
                self.last_moved_at = self._loop.time()
                if last:
                    self._closing = True
                    break
                if slots:
                    self._take_deferred()
                self._slot_freed.set()
        except OSError:
            self._client_gone()
        finally:
            self._writing = False
            self._settle()

    def _take_ready(self) -> tuple[list[bytes], bool]:
        """The responses at the front that are ready, and whether the connection ends behind the last of them."""
        parts: list[bytes] = []
        while self.slots:
            text = self.slots[0].text
            if text is None:
                break
            parts.append(text)
            if self.slots.popleft().close:
                return parts, True
        return parts, False

    def _take_deferred(self) -> None:
        """Takes the requests that waited for those ahead of them."""
        for slot in list(self.slots):
            if slot.deferred is None:
                continue
            ahead = itertools.takewhile(lambda other, slot=slot: other is not slot, self.slots)  # type: ignore[misc]
            if max((other.deadline for other in ahead if other.text is None), default=0) > slot.deadline:
                return
            slot.deferred()

    # The end

    def _client_gone(self) -> None:
        self._closing = True
        slots = list(self.slots)
        self.slots = deque()
        for slot in slots:
            if slot.pending is not None:
                self._listener.driver.client_left(slot.pending)
        self._slot_freed.set()
        self._listener.after()

    def _settle(self) -> None:
        """Closes the socket once nothing is read from it and no response is due."""
        if self.slots or self._writing:
            return
        if not self._reading:
            if self._linger is not None:
                self._linger.cancel()
            self._sock.close()
            self._listener.connection_closed(self)
        elif self._closing and self._linger is None:
            # What the client still sends is read and dropped for a moment: closing on it would reset the connection,
            # and the response that was just written could be lost (RFC 9112, section 9.6).
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
            self._linger = self._loop.call_later(LINGER_SECONDS, self.abort)

    def abort(self) -> None:
        """Ends the connection at once, whatever is on it: its reads and writes fail, and it settles."""
        self._client_gone()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._settle()
