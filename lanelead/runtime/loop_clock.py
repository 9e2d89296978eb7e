"""The clock of a driver on an asyncio loop, and the one timer that wakes it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from lanelead.decisions.interface import Ticks

TICKS_PER_SECOND = 10_000
CLOCK_START_TICKS: Ticks = 3600 * TICKS_PER_SECOND  # not 0: endpoints older than the relay have started before it
TIMER_SLACK_SECONDS = 5e-4  # the loop rounds to milliseconds


class LoopClock:
    """`next_due` says when `tick` is to be called next; `arm` keeps one timer of the loop set to that."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, next_due: Callable[[], Ticks | None], tick: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._next_due = next_due
        self._tick = tick
        self._started = time.monotonic()  # finer than the loop's clock, which counts milliseconds
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: Ticks = 0

    def now(self) -> Ticks:
        """Returns the time in ticks, from `CLOCK_START_TICKS` on."""
        return CLOCK_START_TICKS + int((time.monotonic() - self._started) * TICKS_PER_SECOND)

    def arm(self) -> None:
        """Sets the timer, unless it fires early enough already."""
        due = self._next_due()
        if due is None or (self._timer is not None and self._timer_at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        delay = max(0.0, (due - self.now()) / TICKS_PER_SECOND)
        self._timer = self._loop.call_later(delay + TIMER_SLACK_SECONDS, self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._tick()
