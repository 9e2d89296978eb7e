"""Ends the requests of clients that have gone: no attempt of them begins any more, and those in flight are cancelled.

To cancel an attempt closes a connection, so that hundreds of requests take long. They are ended a few at a time. A
request without an attempt in flight is ended at once, so that it is not considered when another attempt ends.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable

from lanelead.runtime.fair_work_queue import MAX_TURN_SECONDS
from lanelead.runtime.pending_requests import PendingRequest


class AbandonedRequests:
    """The requests whose clients have gone and that are still to be ended.

    `client_left` ends one; `after_event` is called after each group of them.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        client_left: Callable[[PendingRequest], None],
        after_event: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._client_left = client_left
        self._after_event = after_event
        self._waiting: deque[PendingRequest] = deque()
        self._scheduled = False

    def add(self, requests: Iterable[PendingRequest]) -> None:
        """Forbids further attempts of these requests at once, and ends them now or in later turns of the event loop."""
        for pending in requests:
            pending.accepts_attempts = False
            if pending.has_attempt_in_flight:
                self._waiting.append(pending)
            else:
                self._client_left(pending)
        if not self._scheduled:
            self._end_some()

    def _end_some(self) -> None:
        self._scheduled = False
        ends_at = time.monotonic() + MAX_TURN_SECONDS
        while self._waiting and time.monotonic() < ends_at:
            self._client_left(self._waiting.popleft())
        self._after_event()
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._end_some)
