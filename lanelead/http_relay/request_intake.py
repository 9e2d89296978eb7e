"""Reads a client's bytes ahead of handling its requests.

The end of a client's stream follows all that the client has sent, and a request must not run once its client has gone.
So a request is handled once all that has arrived is read. A work item is one read, and the handling of one request.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from typing import TYPE_CHECKING

from lanelead.http.requests import Event, HttpRequest, RejectedRequest, RequestReader, State
from lanelead.runtime.fair_work_queue import WorkShare
from lanelead.runtime.peer_close import has_closed_after_all, peer_has_closed

if TYPE_CHECKING:
    from lanelead.http_relay.client_listener import ClientListener

HEAD_READ_BYTES = 4096  # bounds the requests that one read completes
BODY_READ_BYTES = 65536
MAX_INBOX_REQUESTS = 256  # requests that are not handled yet; one more ends the connection
MAX_INBOX_BYTES = 1 << 20  # of these requests; above this the relay reads no more
EVENT_BYTES = 512  # counted for each request that waits, in addition to its text
# An attempt may begin for this long after the first bytes that were followed by the client's close: clients that only
# close their sending side, right after a request, still get their responses.
CLOSE_GRACE_SECONDS = 0.04


class RequestIntake:
    """The reading side of a client connection. `ClientConnection` extends it by what requests mean.

    Times are the event loop's, in seconds.
    """

    def __init__(self, listener: ClientListener, sock: socket.socket) -> None:
        self._listener = listener
        self._sock = sock
        self._loop: asyncio.AbstractEventLoop = listener.loop
        self._reader = RequestReader(listener.quota.head_bytes, listener.quota.body_bytes)
        self._inbox: deque[Event] = deque()
        self._inbox_bytes = 0
        self._reading = True  # until the client has closed or reset the connection, or it is aborted
        self._reader_added = True
        self._closing = False  # whether further requests are ignored
        self._inbox_overflowed = False  # whether too many requests waited
        self._closed_by_client = False  # its sending side: no request that is not handled by then may be
        self._caught_up = True  # whether everything that had arrived was read
        self._unread_since = 0.0  # when the oldest bytes that may be unread arrived, if not caught up
        self._work_share = WorkShare()
        self.last_activity_at = listener.loop.time()  # when bytes were last received or sent
        self.head_began_at = math.inf  # when the first byte of an incomplete head arrived
        listener.loop.add_reader(sock, self._on_readable)

    # Work items

    def _on_readable(self) -> None:
        if self._caught_up:
            self._caught_up = False
            self._unread_since = self._loop.time()
        self._schedule()

    def _schedule(self) -> None:
        """Runs a work item now or in a later turn of the event loop."""
        if self._work_share.work is not None or self._sock.fileno() < 0:
            return
        if not self._listener.work_queue.run(self._work_share, self._work) and self._reading:
            self._listener.close_monitor.watch(self._sock, self._on_client_closed)  # while this waits for its turn

    def _work(self) -> None:
        """Reads what has arrived, and handles one of the requests that wait."""
        if self._sock.fileno() < 0:
            return
        self._listener.close_monitor.unwatch(self._sock)
        self._read_ahead()
        self._handle_next()
        self._update_held_bytes()
        self._close_if_finished()
        if self._sock.fileno() >= 0:
            self._pause_or_resume()
            if self._inbox and self._has_free_slot():
                self._schedule()
        self._listener.after_event()

    def _pause_or_resume(self) -> None:
        """Reads no more while too many bytes wait; a client that closes meanwhile is noticed by the monitor."""
        wanted = self._reading and self._inbox_bytes <= MAX_INBOX_BYTES
        if wanted and not self._reader_added:
            self._loop.add_reader(self._sock, self._on_readable)
        elif not wanted and self._reader_added:
            self._loop.remove_reader(self._sock)
            if self._reading:
                self._listener.close_monitor.watch(self._sock, self._on_client_closed)
        self._reader_added = wanted

    # Reading

    def _read_ahead(self) -> None:
        """Reads once, and looks for the client's close. If bytes remain, other reads follow."""
        if not self._reading or self._inbox_bytes > MAX_INBOX_BYTES:
            return
        if self._read_some() and self._inbox and peer_has_closed(self._sock):
            self._on_client_closed()

    def _read_some(self) -> bool:
        """Reads and parses some bytes; returns False if there are no more."""
        in_head = self._reader.state in (State.IDLE, State.HEAD) and not self._closing
        size = HEAD_READ_BYTES if in_head else BODY_READ_BYTES
        try:
            data = self._sock.recv(size)
        except (BlockingIOError, InterruptedError):
            self._caught_up = True
            return False
        except OSError:  # the client reset the connection, so no response is due
            self._stop_reading()
            self._client_disconnected()
            return False
        if not data:
            self._on_client_closed()
            return False
        if self._closing:  # discards what comes after the last request that gets a response
            return True
        self.last_activity_at = self._loop.time()
        for event in self._reader.feed(data):
            if not self._inbox_overflowed:
                self._put_in_inbox(event)
        self._track_head_start()
        if len(data) < size:
            self._caught_up = True
            if self._inbox and has_closed_after_all(self._sock):
                self._on_client_closed()
            return False
        return True

    def _put_in_inbox(self, event: Event) -> None:
        if len(self._inbox) >= MAX_INBOX_REQUESTS:
            self._reader.stop()
            self._clear_inbox()  # these never run: the response that closes the connection comes in their place
            event = RejectedRequest(429, f"over {MAX_INBOX_REQUESTS} requests wait for their responses")
            self._inbox_overflowed = True
        self._inbox.append(event)
        self._inbox_bytes += _size_of(event)

    def _track_head_start(self) -> None:
        if self._reader.state is not State.HEAD:
            self.head_began_at = math.inf
        elif self.head_began_at == math.inf:
            self.head_began_at = self.last_activity_at

    def _on_client_closed(self) -> None:
        """Handles the end of the client's stream, or a reset with bytes still unread.

        The client may have gone, or only closed its sending side. So attempts in flight may still answer it, and no
        attempt begins later than CLOSE_GRACE_SECONDS after the bytes ahead of the close arrived.
        """
        if self._closed_by_client or self._sock.fileno() < 0:
            return
        self._closed_by_client = True
        if self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):  # a reset
            self._stop_reading()
            self._client_disconnected()
            self._close_if_finished()
            return
        unread_since = self._loop.time() if self._caught_up else self._unread_since
        grace = unread_since + CLOSE_GRACE_SECONDS - self._loop.time()
        self._stop_reading()
        if grace > 0:
            self._loop.call_later(grace, self._end_requests_not_begun)
        else:
            self._end_requests_not_begun()

    def _end_requests_not_begun(self) -> None:
        """Forgets the requests that are not handled yet, and forbids further attempts of the others."""
        if self._sock.fileno() < 0:
            return
        self._clear_inbox()
        self._forbid_attempts()
        self._close_if_finished()
        self._listener.after_event()

    def _stop_reading(self) -> None:
        self._reading = False
        if self._reader_added:
            self._reader_added = False
            self._loop.remove_reader(self._sock)

    # The inbox

    def _handle_next(self) -> None:
        if self._closing:
            self._clear_inbox()
        if self._inbox and self._may_handle() and self._has_free_slot():
            event = self._inbox.popleft()
            self._inbox_bytes -= _size_of(event)
            self._handle_event(event)

    def _may_handle(self) -> bool:
        """Whether a request may be handled: the client's close may follow the bytes that are unread.

        That does not matter where the rest is not parsed any more, or not read since too much waits.
        """
        return (
            self._caught_up
            or not self._reading
            or self._reader.state is State.OVER
            or self._inbox_bytes > MAX_INBOX_BYTES
        )

    def _clear_inbox(self) -> None:
        self._inbox.clear()
        self._inbox_bytes = 0

    # Overridden by the connection

    def _has_free_slot(self) -> bool:
        """Whether another request may be handled before earlier ones have their responses."""
        raise NotImplementedError

    def _handle_event(self, event: Event) -> None:
        """Handles a request, or what else has come in its place."""
        raise NotImplementedError

    def _forbid_attempts(self) -> None:
        """Forbids further attempts of all requests without a response."""
        raise NotImplementedError

    def _update_held_bytes(self) -> None:
        """Reports to the listener's budget how much this connection holds; the budget may close connections."""
        raise NotImplementedError

    def _client_disconnected(self) -> None:
        """Abandons all requests of a client that has gone."""
        raise NotImplementedError

    def _close_if_finished(self) -> None:
        """Closes the socket once reading has ended and no response is due."""
        raise NotImplementedError


def _size_of(event: Event) -> int:
    """Returns how many bytes are counted for an event in the inbox."""
    return EVENT_BYTES + (event.held_bytes if isinstance(event, HttpRequest) else 0)
