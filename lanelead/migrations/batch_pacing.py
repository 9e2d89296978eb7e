"""Pacing of a backfill's batches, so that other writes to the store are not delayed for long. Without I/O.

The store has a single writer, which a batch occupies while other writes wait. So batches shrink until one takes at most
`max_hold_seconds`, the rate stays below the plan's, and each batch is followed by a pause at least as long as the batch
took. A backfill of a busy store is slow on purpose.
"""

from __future__ import annotations

from dataclasses import dataclass

MIN_BATCH_ROWS = 10  # batches do not shrink below this, however slow the store is


@dataclass
class BatchPacer:
    """Sets the size of the next batch and the pause before it.

    max_rows: the largest batch.
    max_rows_per_second: the rate that the plan allows.
    max_hold_seconds: the time that a batch should take at most.
    rows: the size of the next batch; 0 at creation: a quarter of `max_rows`.
    """

    max_rows: int
    max_rows_per_second: float
    max_hold_seconds: float
    rows: int = 0

    def __post_init__(self) -> None:
        self.rows = self.rows or min(self.max_rows, max(MIN_BATCH_ROWS, self.max_rows // 4))

    def wait_after_batch(self, rows: int, seconds: float) -> float:
        """Adapts the batch size to a batch of `rows` rows that took `seconds`; returns the pause before the next."""
        if seconds > self.max_hold_seconds:
            shrunk = int(self.rows * max(0.25, self.max_hold_seconds / seconds))
            self.rows = max(min(MIN_BATCH_ROWS, self.max_rows), shrunk)
        elif seconds < self.max_hold_seconds / 2:
            self.rows = min(self.max_rows, self.rows + max(1, self.rows // 4))
        return max(seconds, rows / self.max_rows_per_second - seconds)
