"""One clock and one timer around a driver, on the loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from lanelead.decisions.interface import Ticks

CLOCK_START_TICKS: Ticks = 36_000_000  # the clock at the start: an hour, so that units older than the relay have a past


class LoopClock:
    """`due` says when `tick` is wanted next; `arm` keeps one timer of the loop set to that."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, due: Callable[[], Ticks | None], tick: Callable[[], None]
    ) -> None:
        self._loop, self._due, self._tick = loop, due, tick
        self._began = time.monotonic()  # finer than the loop's clock, which goes by milliseconds
        self._timer: asyncio.TimerHandle | None = None
        self._at: Ticks = 0

    def now(self) -> Ticks:
        return CLOCK_START_TICKS + int((time.monotonic() - self._began) * 10_000)

    def arm(self) -> None:
        due = self._due()
        if due is None or (self._timer is not None and self._at <= due):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._at = due
        wait = max(0.0, (due - self.now()) / 10_000)
        self._timer = self._loop.call_later(wait + 5e-4, self._fire)  # the loop rounds to milliseconds

    def _fire(self) -> None:
        self._timer = None
        self._tick()
