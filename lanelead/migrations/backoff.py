"""The rate of a backfill: a bounded rate that yields to requests. Without I/O; times in seconds.

A batch holds the store's only writer for as long as it takes, and other writes wait meanwhile. So a batch shrinks until
it takes `max_hold_seconds` at most, the rate stays below the plan's, and after each batch the store is left alone
for at least as long as the batch took. On a store that others keep busy a backfill is slow; that is intended.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_BATCH_ROWS = 10  # however slow the store is


@dataclass
class BatchPacer:
    """The size of the next batch, and the wait before it."""

    max_rows: int
    max_rows_per_second: float
    max_hold_seconds: float
    rows: int = 0  # of the next batch; 0: a quarter of max_rows

    def __post_init__(self) -> None:
        self.rows = self.rows or min(self.max_rows, max(MIN_BATCH_ROWS, self.max_rows // 4))

    def wait_after_batch(self, rows: int, seconds: float) -> float:
        """Takes in a batch of `rows` rows that took `seconds`; returns the seconds to wait before the next."""
        if seconds > self.max_hold_seconds:
            shrunk = int(self.rows * max(0.25, self.max_hold_seconds / seconds))
            self.rows = max(min(MIN_BATCH_ROWS, self.max_rows), shrunk)
        elif seconds < self.max_hold_seconds / 2:
            self.rows = min(self.max_rows, self.rows + max(1, self.rows // 4))
        return max(seconds, rows / self.max_rows_per_second - seconds)
