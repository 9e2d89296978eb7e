"""The queue of timers for requests, for attempts, and for the decisions' periodic work."""

from __future__ import annotations

from heapq import heappop, heappush

from lanelead.decisions.interface import Attempt, Request, Ticks

TimerTarget = Request | Attempt | None  # what the timer is for; None: the decisions' periodic work
TimerEntry = tuple[Ticks, int, TimerTarget]  # due time, sequence number that orders timers of the same time, target


class TimerQueue:
    """Timers ordered by due time; those for the same time are ordered as they were added.

    `heap` holds the entries as a heap for `heapq`.
    """

    def __init__(self) -> None:
        self.heap: list[TimerEntry] = []
        self._sequence = 0

    def add(self, when: Ticks, target: TimerTarget) -> None:
        """Adds a timer. Timers cannot be cancelled: code that pops one must check whether its target has ended."""
        self._sequence += 1
        heappush(self.heap, (when, self._sequence, target))

    def next_due(self) -> Ticks | None:
        """Returns when the next timer is due, or None; removes earlier timers whose target has ended."""
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
