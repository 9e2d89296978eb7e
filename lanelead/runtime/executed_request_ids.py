"""Remembers the ids of requests that must not run twice, for a while after they were accepted.

A client that leaves without its response may come again with the same id, while the first attempt still runs.
"""

from __future__ import annotations

from lanelead.decisions.interface import Ticks

MAX_IDS = 16_384


class ExecutedRequestIds:
    """The ids of requests that may have run, for `retention` ticks each, the newest MAX_IDS at most."""

    def __init__(self, retention: Ticks) -> None:
        self._retention = retention
        self._expires_at: dict[str, Ticks] = {}  # earliest first

    def __len__(self) -> int:
        """Returns the number of ids that are remembered."""
        return len(self._expires_at)

    def is_known(self, request_id: str, now: Ticks) -> bool:
        """Returns whether an id is remembered at time `now`."""
        return self._expires_at.get(request_id, now) > now

    def add(self, request_id: str, now: Ticks) -> None:
        """Adds an id at time `now`, and forgets those whose time is over."""
        self._drop_expired(now)
        self._expires_at[request_id] = now + self._retention
        if len(self._expires_at) > MAX_IDS:
            del self._expires_at[next(iter(self._expires_at))]

    def remove(self, request_id: str) -> None:
        """Forgets an id whose request has surely not run."""
        self._expires_at.pop(request_id, None)

    def _drop_expired(self, now: Ticks) -> None:
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                return
            del self._expires_at[oldest]
