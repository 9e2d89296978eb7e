"""The pace of a long backfill: a bounded rate that yields to lookups. Without I/O; times in seconds.

A batch holds the store's one writer for as long as it takes, and whatever is filed meanwhile waits. So a
batch is cut to what takes `hold` at most, the rate is never above what the plan allows, and the store is left
alone at least as long as the batch before kept it. It could be slow on a store that others keep busy: that
is meant.
"""

from __future__ import annotations

from dataclasses import dataclass

LEAST = 10  # rows of a batch, however slow the store


@dataclass
class Pace:
    most: int  # rows of a batch
    rate: float  # rows a second
    hold: float  # seconds that a batch may take
    rows: int = 0

    def __post_init__(self) -> None:
        self.rows = self.rows or min(self.most, max(LEAST, self.most // 4))

    def after(self, rows: int, took: float) -> float:
        """A batch of so many rows took so long: how long to wait before the next."""
        if took > self.hold:
            self.rows = max(min(LEAST, self.most), int(self.rows * max(0.25, self.hold / took)))
        elif took < self.hold / 2:
            self.rows = min(self.most, self.rows + max(1, self.rows // 4))
        return max(took, rows / self.rate - took)
