"""The memory of this process, and how a relay divides what it was given. Sizes are in bytes."""

from __future__ import annotations

import contextlib
import os
import socket
import sys
from dataclasses import dataclass

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Of the memory that the process and its connections leave; the rest is for learned state and the allocator's overhead.
BUFFER_SHARE = 0.25
RESPONSE_SHARE = 0.1
RECEIVE_QUEUE_SHARE = 0.3
SEND_QUEUE_SHARE = 0.2
CONNECTION_BYTES = 6000  # of the objects that belong to one connection and to a request on it
# The kernel's queue of a socket, as set by SO_RCVBUF and SO_SNDBUF (socket(7)); it may hold about twice as much.
MIN_QUEUE_BYTES = 2304
MIN_RESPONSE_QUEUE_BYTES = 8192  # larger, since a response should not take many reads
MAX_QUEUE_BYTES = 65536
QUEUE_OVERHEAD_FACTOR = 2
# A few requests, and a few responses, of the largest size.
MIN_BUFFERED_BYTES = 500_000
MIN_RESPONSE_BYTES = 300_000
AMPLE_BYTES = 120_000_000


@dataclass(frozen=True)
class MemoryPlan:
    """How much of a relay's memory limit its parts may take.

    Attributes
    ----------
    buffered_bytes
        Held for all clients together: partial and pending requests, and responses that are not written yet.
    response_bytes
        Of responses that have arrived from the endpoints in part, together.
    receive_queue_bytes, response_queue_bytes
        SO_RCVBUF of each connection to a client, unless `is_ample`, and to an endpoint.
    send_queue_bytes
        SO_SNDBUF of each connection to a client.
    is_sufficient
        Whether the limit leaves the least that these need.
    is_ample
        Whether it leaves so much that the kernel may choose the sizes of clients' receive queues. They are larger then,
        and a client's close, which is behind all that the client has sent, is noticed earlier.
    """

    buffered_bytes: int
    response_bytes: int
    receive_queue_bytes: int
    response_queue_bytes: int
    send_queue_bytes: int
    is_sufficient: bool
    is_ample: bool = False

    @property
    def full_queue_bytes(self) -> int:
        """How much a read has to bring for the queue of a client to have been full.

        The client's kernel may then keep further bytes, and the client's close behind them.
        """
        return sys.maxsize if self.is_ample else self.receive_queue_bytes // QUEUE_OVERHEAD_FACTOR

    def bound_client_queues(self, sock: socket.socket) -> None:
        """Bounds the kernel's queues of a client's socket, or of those that a listening socket accepts."""
        if not self.is_ample:
            _set_queue(sock, socket.SO_RCVBUF, self.receive_queue_bytes)
        self.bound_send_queue(sock)

    def bound_send_queue(self, sock: socket.socket) -> None:
        """Bounds the kernel's queue of what a client has not received yet."""
        _set_queue(sock, socket.SO_SNDBUF, self.send_queue_bytes)

    def bound_response_queue(self, sock: socket.socket) -> None:
        """Bounds the kernel's queue of what an endpoint sends; `buffered_bytes` bounds what it is sent."""
        _set_queue(sock, socket.SO_RCVBUF, self.response_queue_bytes)


def _set_queue(sock: socket.socket, option: int, size: int) -> None:
    with contextlib.suppress(OSError):  # a connection with the system's own queue is better than none
        sock.setsockopt(socket.SOL_SOCKET, option, size)


def resident_bytes() -> int:
    """Returns the process's resident memory (proc(5), statm), or 0 if it cannot be read."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def plan_memory(limit_bytes: int, used_bytes: int, max_connections: int) -> MemoryPlan:
    """Divides what a process that takes `used_bytes` without connections has left of its limit."""
    free = limit_bytes - used_bytes - max_connections * CONNECTION_BYTES
    free_per_connection = max(0, free) / max_connections / QUEUE_OVERHEAD_FACTOR
    return MemoryPlan(
        buffered_bytes=max(MIN_BUFFERED_BYTES, int(BUFFER_SHARE * free)),
        response_bytes=max(MIN_RESPONSE_BYTES, int(RESPONSE_SHARE * free)),
        receive_queue_bytes=_queue_bytes(RECEIVE_QUEUE_SHARE * free_per_connection),
        response_queue_bytes=max(MIN_RESPONSE_QUEUE_BYTES, _queue_bytes(RECEIVE_QUEUE_SHARE * free_per_connection)),
        send_queue_bytes=_queue_bytes(SEND_QUEUE_SHARE * free_per_connection),
        is_sufficient=BUFFER_SHARE * free >= MIN_BUFFERED_BYTES,
        is_ample=free >= AMPLE_BYTES,
    )


def _queue_bytes(share: float) -> int:
    return min(MAX_QUEUE_BYTES, max(MIN_QUEUE_BYTES, int(share)))
