"""An event loop whose clock and timers a test advances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class ManualLoop:
    """Replaces a loop's clock and timers with ones that the test controls; all else is passed on to the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.now = loop, loop.time()
        self.timers: list[ManualTimer] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> ManualTimer:
        self.timers.append(ManualTimer(self.now + delay, call, args))
        return self.timers[-1]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def advance(self, seconds: float) -> None:
        """Advances the clock, and calls the timers that are due in the order of their times."""
        self.now += seconds
        due = sorted((timer for timer in self.timers if timer.at <= self.now), key=lambda timer: timer.at)
        self.timers = [timer for timer in self.timers if timer not in due]
        for timer in due:
            timer.fire()


class ManualTimer:
    def __init__(self, at: float, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.at, self._call, self._args, self._off = at, call, args, False

    def cancel(self) -> None:
        self._off = True

    def fire(self) -> None:
        if not self._off:
            self._call(*self._args)
