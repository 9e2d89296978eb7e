"""Plain sums: one that decays, and a rank. Nothing here decides."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from math import exp

from lanelead.interface import Ticks


class Fading:
    """A sum that decays; it is brought up to date when it is read."""

    __slots__ = ("_at", "_span", "_sum")

    def __init__(self, span: Ticks) -> None:
        self._span, self._at, self._sum = span, 0, 0.0

    def read(self, now: Ticks) -> float:
        if now > self._at:
            self._sum *= exp((self._at - now) / self._span)
            self._at = now
        return self._sum

    def add(self, now: Ticks, amount: float) -> None:
        self._sum = self.read(now) + amount


def percentile(value: float, among: Sequence[float]) -> float:
    """The part of the others that the value exceeds, those equal to it counted half."""
    ordered = sorted(among)
    return (bisect_left(ordered, value) + bisect_right(ordered, value)) / 2 / max(1, len(ordered))
