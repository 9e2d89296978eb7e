"""Shares the event loop's time among connections: start-time fair queuing, by the processor time that each has used.

One turn of the event loop spends a bounded time on what clients have sent. What is left waits for the next turn, and
the connection that has used the least time goes first, so that clients at full speed do not hold up the others.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heappop, heappush

MAX_TURN_SECONDS = 0.005  # work in one turn of the event loop; a single work item may exceed it
IDLE_CREDIT_SECONDS = 0.01  # head start, in time used, of a connection that has had no work for a while


class WorkShare:
    """One connection's share of the queue's time, with the work that waits, if any."""

    __slots__ = ("finish", "work")

    def __init__(self) -> None:
        self.finish = 0.0  # virtual time, in seconds of work, at which its last work item finished
        self.work: Callable[[], None] | None = None


class FairWorkQueue:
    """Runs work items of many connections, at once while the turn's time lasts, otherwise in later turns.

    A connection may have one waiting work item at a time.

    Parameters
    ----------
    loop
        Runs the turns.
    clock
        Returns the time in seconds, by which a turn ends.
    processor_clock
        Returns the processor time that this thread has used, in seconds. Connections share this time: while another
        process has the processor, no connection uses it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float] = time.monotonic,
        processor_clock: Callable[[], float] = time.thread_time,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._processor_clock = processor_clock
        self._virtual_time = 0.0  # what a connection that always waits has used, as `WorkShare.finish`
        self._waiting: list[tuple[float, int, WorkShare]] = []  # a heap, by virtual start time
        self._sequence = 0
        self._turn_seconds = 0.0  # spent in the current turn
        self._next_turn_scheduled = False
        self._running = False

    def __len__(self) -> int:
        """Returns how many connections wait for their turn."""
        return sum(share.work is not None for _, _, share in self._waiting)

    def run(self, share: WorkShare, work: Callable[[], None]) -> bool:
        """Runs `work` now and returns True, or lets it wait for a later turn and returns False.

        Does nothing and returns False if the connection has work that waits already. Work that is added by other work
        always waits.
        """
        if share.work is not None:
            return False
        start = max(self._virtual_time - IDLE_CREDIT_SECONDS, share.finish)
        if not self._running and not self._waiting and self._turn_seconds < MAX_TURN_SECONDS:
            self._schedule_next_turn()
            self._run(share, start, work)
            return True
        share.work = work
        self._sequence += 1
        heappush(self._waiting, (start, self._sequence, share))
        self._schedule_next_turn()
        return False

    def forget(self, share: WorkShare) -> None:
        """Drops a connection's waiting work."""
        share.work = None

    def _schedule_next_turn(self) -> None:
        if not self._next_turn_scheduled:
            self._next_turn_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._next_turn_scheduled = False
        self._turn_seconds = 0.0
        while self._waiting and self._turn_seconds < MAX_TURN_SECONDS:
            start, _, share = heappop(self._waiting)
            work = share.work
            if work is None:  # forgotten
                continue
            share.work = None
            if self._waiting:  # also if this work raises an exception
                self._schedule_next_turn()
            self._run(share, start, work)

    def _run(self, share: WorkShare, start: float, work: Callable[[], None]) -> None:
        began = self._clock()
        processor_time = self._processor_clock()
        self._running = True
        try:
            work()
        finally:
            self._running = False
            used = self._processor_clock() - processor_time
            share.finish = start + used
            # It goes on with all work, also that of new connections: otherwise these would keep old ones waiting.
            self._virtual_time += used / (len(self._waiting) + 1)
            self._turn_seconds += self._clock() - began
