"""Writes a client connection's responses, in the order of its requests, as fast as the client reads them."""

from __future__ import annotations

import socket
from collections import deque
from typing import Any

from lanelead.decisions.interface import Attempt, Ticks
from lanelead.pgwire import messages
from lanelead.pgwire.servers import QueryResult
from lanelead.postgres_relay.connection_owner import ConnectionOwner, ResponseSlot
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

MAX_WRITE_BUFFER_BYTES = 1 << 18  # responses that the client has not read; above this the relay reads no requests
SLOT_BYTES = 1500  # counted for each response that waits and for its request's objects, in addition to their texts


class ResponseWriter:
    """The responses of a client connection: those that wait for their turn, and those that are being written.

    `ClientConnection` extends it by reading and closing. Times are the event loop's, in seconds.
    """

    __slots__ = (
        "closing",
        "last_activity",
        "listener",
        "pending_bytes",
        "queued_bytes",
        "reading",
        "reading_paused",
        "slots",
        "sock",
        "write_buffer",
        "writing",
    )

    def __init__(self, listener: ConnectionOwner, sock: socket.socket) -> None:
        self.listener = listener
        self.sock = sock
        self.slots: deque[ResponseSlot] = deque()
        self.pending_bytes = 0  # of the texts of requests in `slots`
        self.queued_bytes = 0  # of the responses in `slots`, and SLOT_BYTES for each slot
        self.write_buffer = bytearray()  # responses that the kernel has not accepted yet
        self.closing = False
        self.last_activity = listener.loop.time()
        self.writing = False
        self.reading = True  # False once `stop_reading` was called
        self.reading_paused = False  # backpressure: the write buffer is too large

    @property
    def has_pending_response(self) -> bool:
        """Whether a response is pending or not completely written."""
        return bool(self.slots or self.write_buffer)

    def add_slot(self, slot: ResponseSlot) -> None:
        """Adds a place in the queue of responses."""
        self.slots.append(slot)
        self.pending_bytes += slot.size
        self.queued_bytes += SLOT_BYTES + len(slot.response or b"")

    def _set_response(self, slot: ResponseSlot, response: bytes) -> None:
        slot.response = response
        self.queued_bytes += len(response)

    def _queue_response(self, text: bytes) -> None:
        self.add_slot(ResponseSlot(None, text))

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
            self._set_response(slot, result.raw + messages.READY)
        else:
            if outcome is RequestOutcome.REJECTED:
                self.listener.executed_ids.remove(pending.id)
            self._set_response(slot, self.listener.error_response(outcome, retry_after))
        if self.slots[0] is slot:
            self.flush()
        self._update_held_bytes()

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
            self.queued_bytes -= SLOT_BYTES + len(response)
        if ready:
            self.last_activity = self.listener.loop.time()
            self.write_buffer += b"".join(ready)
            if not self.writing:
                self._write()
            self._apply_backpressure()
            self._update_held_bytes()
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
            self.listener.close_monitor.watch(self.sock, self._on_closed_unread)
        elif self.reading_paused and 2 * len(self.write_buffer) <= MAX_WRITE_BUFFER_BYTES:
            self.reading_paused = False
            self.listener.close_monitor.unwatch(self.sock)
            if self.reading:
                self.listener.loop.add_reader(self.sock, self._on_readable)
            self.listener.loop.call_soon(self._on_readable)  # commands may wait

    def _on_writable(self) -> None:
        self._write()
        self._apply_backpressure()
        self._update_held_bytes()
        if self.closing and not self.has_pending_response:
            self._finish()

    def _finish(self) -> None:
        """Ends the connection once no response is due."""
        raise NotImplementedError

    def _update_held_bytes(self) -> None:
        """Reports to the listener's budget how much this connection holds; the budget may close connections."""
        raise NotImplementedError

    def _on_readable(self) -> None:
        """Reads what has arrived, now or in a later turn of the event loop."""
        raise NotImplementedError

    def _on_closed_unread(self) -> None:
        """Handles a client that has gone while bytes of it are unread."""
        raise NotImplementedError

    def on_disconnect(self) -> None:
        """Closes the connection after the client has disconnected, and abandons its requests."""
        raise NotImplementedError
