"""A driver's clock on an asyncio loop, and the timer that calls its `tick`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from lanelead.decisions.interface import Ticks

TICKS_PER_SECOND = 10_000
# The clock starts at one hour instead of 0, so that endpoints started before the relay have positive start times.
CLOCK_START_TICKS: Ticks = 3600 * TICKS_PER_SECOND
# The loop rounds times to milliseconds; half a millisecond is added so that the timer does not fire early.
TIMER_SLACK_SECONDS = 5e-4


class LoopClock:
    """Measures time in ticks, and calls a driver's `tick` when its next timer is due.

    Parameters
    ----------
    loop
        The event loop that runs the timer.
    next_due
        Returns the time of the next timer in ticks, or None if there is none.
    tick
        Called when the timer fires. It, or its caller, must call `arm` again for later timers.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, next_due: Callable[[], Ticks | None], tick: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._next_due = next_due
        self._tick = tick
        self._started = time.monotonic()  # finer than the loop's clock, which counts milliseconds (uvloop)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: Ticks = 0

    def now(self) -> Ticks:
        """Returns the time in ticks; it is `CLOCK_START_TICKS` when the clock is created."""
        return CLOCK_START_TICKS + int((time.monotonic() - self._started) * TICKS_PER_SECOND)

    def arm(self) -> None:
        """Sets the loop's timer to the next due time, unless it already fires early enough."""
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
