"""Bounds the memory of responses that have arrived in part, as a sum over all connections to endpoints.

A response reserves its announced size once a part of it has arrived. Where too much is reserved, a connection that has
no reservation is read only as far as a small response goes; it then waits, first come, first served, and its further
bytes stay with the kernel and the endpoint.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lanelead.postgres_relay.connection_pool import UpstreamConnection

READ_BUFFER_BYTES = 65536
SMALL_READ_BYTES = 4096


class PartialResponses:
    """The reservations of connections whose response is incomplete, and the connections that wait for one.

    `on_readable` is called by the event loop, with the connection, when bytes of a connection can be read.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_bytes: int, on_readable: Callable[[UpstreamConnection], None]
    ) -> None:
        self._loop = loop
        self._max_bytes = max_bytes
        self._on_readable = on_readable
        self._reserved: dict[UpstreamConnection, int] = {}
        self._waiting: dict[UpstreamConnection, None] = {}  # longest first; the event loop does not read them
        self.reserved_bytes = 0
        self.waits = 0  # how often a connection had to wait

    @property
    def _has_room(self) -> bool:
        return self.reserved_bytes < self._max_bytes

    def read_size(self, connection: UpstreamConnection) -> int:
        """Returns how many bytes may be read from a connection at once."""
        return READ_BUFFER_BYTES if self._has_room or connection in self._reserved else SMALL_READ_BYTES

    def may_read_on(self, connection: UpstreamConnection) -> bool:
        """Returns whether a connection has a reservation, so that the rest of its response may be read."""
        return connection in self._reserved

    def update(self, connection: UpstreamConnection) -> None:
        """Reserves memory for the response of a connection that has just been read, or frees it if it is complete."""
        expected = connection.reader.expected_bytes
        if not expected:
            self.forget(connection)
        elif self._has_room or connection in self._reserved:
            self._reserve(connection, expected)
        else:
            self.waits += 1
            self._waiting[connection] = None
            self._loop.remove_reader(connection.sock)

    def forget(self, connection: UpstreamConnection) -> None:
        """Frees what is reserved for a connection, which has no incomplete response or is closed."""
        self._waiting.pop(connection, None)
        self.reserved_bytes -= self._reserved.pop(connection, 0)
        while self._waiting and self._has_room:
            waiting = next(iter(self._waiting))
            del self._waiting[waiting]
            self._reserve(waiting, waiting.reader.expected_bytes)
            self._loop.add_reader(waiting.sock, self._on_readable, waiting)

    def _reserve(self, connection: UpstreamConnection, size: int) -> None:
        self.reserved_bytes += size - self._reserved.get(connection, 0)
        self._reserved[connection] = size
