"""The timers of requests, attempts and the decisions' own period."""

from __future__ import annotations

from heapq import heappop, heappush

from lanelead.decisions.interface import Attempt, Request, Ticks

TimerTarget = Request | Attempt | None  # whose timer; None: the decisions' own
TimerEntry = tuple[Ticks, int, TimerTarget]  # when, order of timers set for the same time, target


class TimerQueue:
    """Timers by time; those of one time fire in the order in which they were set. `heap` is for `heapq`."""

    def __init__(self) -> None:
        self.heap: list[TimerEntry] = []
        self._sequence = 0

    def add(self, when: Ticks, target: TimerTarget) -> None:
        """Sets a timer. Timers are not cancelled: whoever pops one checks that its target still runs."""
        self._sequence += 1
        heappush(self.heap, (when, self._sequence, target))

    def next_due(self) -> Ticks | None:
        """Returns when the next timer falls due, and drops those before it whose target has ended."""
        heap = self.heap
        while heap:
            when, _, target = heap[0]
            if target is None:
                return when
            ended = target.outcome is not None if isinstance(target, Attempt) else target.finished
            if not ended:
                return when
            heappop(heap)
        return None
