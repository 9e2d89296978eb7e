"""Bounds the bytes that a relay holds for its clients, as a sum over all connections.

Held are requests that have arrived in part, requests without a response, and responses that are not written yet. While
the sum is over the bound, connections whose clients are slow are closed, first the one that has held bytes for longest.
"""

from __future__ import annotations

from typing import Protocol

SEARCH_STEP_SHARE = 0.01  # of the bound: by how much the sum has to grow after a search that found none
SMALL_HOLDERS = 1024  # a connection that holds less than this part of the bound is not closed


class Holder(Protocol):
    """A connection that holds bytes."""

    @property
    def waits_for_client(self) -> bool:
        """Whether it holds bytes since its client has not sent or not read the rest."""
        ...

    def close_to_free_memory(self) -> None:
        """Drops what it holds; its client gets a rejection where no response is due."""
        ...


class BufferBudget:
    """The bytes held by all connections, and the bound on their sum."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.peak_bytes = 0
        self.closed_connections = 0  # to free memory
        self._next_search_bytes = (
            0.0  # the sum from which on connections are searched again, if the last search found none
        )
        self._holders: dict[Holder, int] = {}  # the bytes of each, in the order in which they began to hold any

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the bound allows. New requests are then to be rejected."""
        return self.held_bytes > self.max_bytes

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Records how much a connection holds now, and closes connections if the sum is over the bound."""
        previous = self._holders.get(holder, 0)
        if held_bytes == previous:
            return
        if held_bytes:
            self._holders[holder] = held_bytes
        else:
            del self._holders[holder]
        self._add(held_bytes - previous)

    def add_responses(self, difference: int) -> None:
        """Counts bytes of responses that arrive from endpoints, or that are passed on or dropped (negative)."""
        self._add(difference)

    def _add(self, difference: int) -> None:
        self.held_bytes += difference
        if not self.is_exceeded:
            self._next_search_bytes = 0.0
        elif difference > 0 and self.held_bytes >= self._next_search_bytes:
            self._free_memory()
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def _free_memory(self) -> None:
        least = self.max_bytes // SMALL_HOLDERS
        for holder, held_bytes in list(self._holders.items()):
            if not self.is_exceeded:
                return
            if held_bytes > least and holder in self._holders and holder.waits_for_client:
                self.closed_connections += 1
                holder.close_to_free_memory()
        if self.is_exceeded:
            self._next_search_bytes = self.held_bytes + SEARCH_STEP_SHARE * self.max_bytes
