"""Watches the memory of the process, and lets clients hold less while it comes near its limit.

The memory plan is made before a relay has learned anything. What it learns, and what the allocator keeps, comes later.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lanelead.runtime.buffer_budget import BufferBudget
from lanelead.runtime.process_memory import MIN_BUFFERED_BYTES, resident_bytes

HIGH_WATER_SHARE = 0.9  # of the limit
CHECKS_BETWEEN_RELEASES = 4  # returning memory takes some milliseconds


def return_free_memory() -> None:
    """Returns free memory of the allocator to the system, where the C library can (malloc_trim(3), glibc)."""
    import ctypes  # only when memory is short, since it takes some itself

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class MemoryGuard:
    """Lowers the bound of a `BufferBudget` by what the process takes beyond the high-water mark.

    `peak_bytes` is the largest resident size that a check has seen, `releases` how often free memory was returned.
    """

    def __init__(
        self,
        budget: BufferBudget,
        limit_bytes: int,
        log: Any,
        measure: Callable[[], int] = resident_bytes,
        release: Callable[[], None] = return_free_memory,
    ) -> None:
        self._budget = budget
        self._planned_bytes = budget.max_bytes
        self._high_water_bytes = int(HIGH_WATER_SHARE * limit_bytes)
        self._log = log
        self._measure = measure
        self._release = release
        self._checks_since_release = CHECKS_BETWEEN_RELEASES
        self._is_short = False
        self.peak_bytes = 0
        self.releases = 0

    def check(self) -> None:
        """Measures, and adapts the bound; to be called a few times a second."""
        resident = self._measure()
        self.peak_bytes = max(self.peak_bytes, resident)
        self._checks_since_release += 1
        if resident > self._high_water_bytes and self._checks_since_release > CHECKS_BETWEEN_RELEASES:
            self._checks_since_release = 0
            self.releases += 1
            self._release()
            resident = self._measure()
        excess = max(0, resident - self._high_water_bytes)
        if excess or self._is_short:
            least = min(MIN_BUFFERED_BYTES, self._planned_bytes)
            self._budget.max_bytes = max(least, self._planned_bytes - excess)
        self._log_change(excess > 0, resident)

    def _log_change(self, is_short: bool, resident: int) -> None:
        if is_short and not self._is_short:
            self._log.warning(
                "memory is short",
                resident_mb=round(resident / 1e6, 1),
                max_buffered_bytes=self._budget.max_bytes,
                remedy="raise the memory limit if this lasts: clients that send or read slowly are closed earlier",
            )
        elif self._is_short and not is_short:
            self._log.info("memory is no longer short", resident_mb=round(resident / 1e6, 1))
        self._is_short = is_short
