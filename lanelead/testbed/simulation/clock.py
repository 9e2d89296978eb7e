"""Virtual time: a heap of scheduled calls, and one random stream per purpose.

Times are seconds as a float. Calls due at the same time run in the order in which they were scheduled. A plain
heap was chosen after a comparison with simpy (docs/model.md).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from random import Random
from typing import Any
from zlib import crc32

import numpy

SimulationProcess = Iterator[float]  # yields the seconds to wait before it continues

CLOCK_START_SECONDS = 3600.0  # nonzero, so that endpoints can have started before the scenario begins


class Clock:
    """The clock of a simulation: schedules calls and runs them in the order of their times."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        self.done = 0  # number of calls run

    def __call__(self) -> float:
        return self.now

    def later(self, wait: float, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call in `wait` seconds; a negative wait counts as zero."""
        self._number += 1
        heappush(self._heap, (self.now + max(0.0, wait), self._number, call, args))

    def run_process(self, process: SimulationProcess) -> None:
        """Runs a process up to its next wait and schedules the rest."""
        wait = next(process, None)
        if wait is not None:
            self.later(wait, self.run_process, process)

    def run(self, until: float) -> None:
        """Runs all calls due up to the time `until`, and sets the clock to it."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            self.done += 1
            call(*args)
        self.now = max(self.now, until)


def random_stream(seed: int, purpose: str) -> Random:
    """Return the random generator for one purpose; draws from one stream do not affect another."""
    state = numpy.random.SeedSequence([seed, crc32(purpose.encode())]).generate_state(4)
    return Random(int.from_bytes(state.tobytes(), "little"))
