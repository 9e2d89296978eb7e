"""Tells whether a peer has closed its connection, although bytes that it sent before may still be unread."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

CHECK_INTERVAL_SECONDS = 0.03  # well within the 0.1 s after which no attempt may begin for a client that has gone
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peer_has_closed(sock: socket.socket) -> bool:
    """Returns whether the peer has closed, half closed or reset the connection, whatever is still to be read."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return any(events & CLOSED_EVENTS for _, events in poller.poll(0))


def has_closed_after_all(sock: socket.socket) -> bool:
    """Returns whether the peer has closed, half closed or reset the connection and nothing is left to be read."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True


def is_idle_socket(sock: socket.socket) -> bool:
    """Returns whether no bytes wait to be read and the peer has not closed the connection."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        pass
    return False


class PeerCloseMonitor:
    """Checks a few times a second whether the peers of sockets that are not being read have closed them.

    The event loop does not report this: a socket with unread bytes is readable, whether or not its peer has gone.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._poller = select.poll()
        self._watched: dict[int, Callable[[], None]] = {}  # by file descriptor
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        """Returns the number of watched sockets."""
        return len(self._watched)

    def watch(self, sock: socket.socket, on_closed: Callable[[], None]) -> None:
        """Calls `on_closed` once, after which the socket is no longer watched, when its peer has closed it."""
        descriptor = sock.fileno()
        self._watched[descriptor] = on_closed
        self._poller.register(descriptor, select.POLLRDHUP)
        if self._timer is None:
            self._timer = self._loop.call_later(CHECK_INTERVAL_SECONDS, self._check)

    def unwatch(self, sock: socket.socket) -> None:
        """Ends the watch of a socket, which has to be open; does nothing if it is not watched."""
        descriptor = sock.fileno()
        if self._watched.pop(descriptor, None) is not None:
            self._poller.unregister(descriptor)

    def _check(self) -> None:
        self._timer = None
        for descriptor, events in self._poller.poll(0):
            on_closed = self._watched.get(descriptor)  # an earlier callback may have ended this watch
            if events & CLOSED_EVENTS and on_closed is not None:
                del self._watched[descriptor]
                self._poller.unregister(descriptor)
                on_closed()
        if self._watched and self._timer is None:
            self._timer = self._loop.call_later(CHECK_INTERVAL_SECONDS, self._check)
