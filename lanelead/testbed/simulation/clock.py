"""Virtual time: a heap of calls, and streams of chance split by purpose.

Times are seconds as a float; calls due at the same moment run in the order in which they were made. A plain
heap, after a comparison with simpy (docs/model.md).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heappop, heappush
from random import Random
from typing import Any
from zlib import crc32

import numpy

Story = Iterator[float]  # yields for how many seconds to wait

CLOCK_START_SECONDS = 3600.0  # the clock at the start: endpoints that started before have a past


class Clock:
    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        self.done = 0  # calls made

    def __call__(self) -> float:
        return self.now

    def later(self, wait: float, call: Callable[..., None], *args: Any) -> None:
        self._number += 1
        heappush(self._heap, (self.now + max(0.0, wait), self._number, call, args))

    def tell(self, story: Story) -> None:
        """Goes through a story, whose waits pass in virtual time."""
        wait = next(story, None)
        if wait is not None:
            self.later(wait, self.tell, story)

    def run(self, until: float) -> None:
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            self.done += 1
            call(*args)
        self.now = max(self.now, until)


def stream(seed: int, purpose: str) -> Random:
    """Chance for one purpose: what another draws moves nothing in it."""
    state = numpy.random.SeedSequence([seed, crc32(purpose.encode())]).generate_state(4)
    return Random(int.from_bytes(state.tobytes(), "little"))
