"""Counters over recent time: exponentially decaying sums, budgets over a sliding window, and recently seen keys.

Times are `Ticks`, tenths of a millisecond. The module makes no decisions.
"""

from __future__ import annotations

from collections import deque
from math import exp

from lanelead.decisions.interface import Ticks

GOLDEN_RATIO_FRACTION = 0.6180339887
PHASE_SPREAD = 997  # steps between phase offsets 0 and 1, so that sequences advance at different times


class DecayingSum:
    """A sum that decays exponentially with time constant `span`; the decay is applied on access."""

    __slots__ = ("_span", "_sum", "_updated_at")

    def __init__(self, span: Ticks) -> None:
        self._span = span
        self._updated_at = 0
        self._sum = 0.0

    def read(self, now: Ticks) -> float:
        """Return the sum, decayed until `now`."""
        if now > self._updated_at:
            if self._sum:
                self._sum *= exp((self._updated_at - now) / self._span)
            self._updated_at = now
        return self._sum

    def add(self, now: Ticks, amount: float) -> None:
        """Add an amount at time `now`."""
        self._sum = self.read(now) + amount


def low_discrepancy_value(phase_offset: float, step: float) -> float:
    """Return the value (from 0 up to 1) at a step of an additive recurrence with the golden ratio (Weyl 1916).

    Over any run of whole steps, the values are spread evenly. `phase_offset` (0 to 1) is both the first value and a
    shift in time: sequences with different offsets advance at different moments, so that relays do not all round up
    at once.
    """
    return (phase_offset + int(step + PHASE_SPREAD * phase_offset) * GOLDEN_RATIO_FRACTION) % 1


class RecentKeys:
    """The last two times at which each key was recorded; keys not recorded for `span` are dropped."""

    def __init__(self, span: Ticks) -> None:
        self._span = span
        self._times: dict[str, tuple[Ticks, Ticks]] = {}  # previous and last time, least recently recorded key first

    def record(self, key: str, now: Ticks) -> None:
        """Record a key at time `now`, and drop keys that are too old."""
        _, last = self._times.pop(key, (0, -self._span))
        self._times[key] = (last, now)
        while True:
            oldest = next(iter(self._times))
            if self._times[oldest][1] >= now - self._span:
                return
            del self._times[oldest]

    def previous(self, key: str) -> Ticks:
        """Return when a key was recorded for the last time before its latest record.

        Raises
        ------
        KeyError
            If the key is unknown or was dropped.
        """
        return self._times[key][0]


class SlidingWindowBudget:
    """An exact balance of credit and attempts over every interval that lies in the window and ends now.

    The balance, attempts minus credit so far, is stored with the time before each attempt. The smallest balance stored
    within the window shows by how much the worst interval up to now exceeds its credit. Only entries that can become
    the minimum are kept.
    """

    def __init__(self, window: Ticks) -> None:
        self._window = window
        self._balance = 0.0  # attempts minus credit since the start
        self._minima: deque[tuple[Ticks, float]] = deque()  # times and ascending balances, oldest first

    def add_credit(self, credit: float) -> None:
        """Add credit, in attempts."""
        self._balance -= credit

    def minimum_balance(self, now: Ticks) -> float:
        """Return the least credit minus attempts of all intervals in the window that end now, at most 0."""
        while self._minima and self._minima[0][0] < now - self._window:
            self._minima.popleft()
        return min(0.0, self._minima[0][1] - self._balance) if self._minima else 0.0

    def charge(self, now: Ticks) -> None:
        """Count one attempt at time `now`."""
        while self._minima and self._minima[-1][1] >= self._balance:
            self._minima.pop()
        self._minima.append((now, self._balance))
        self._balance += 1


class TokenBucket(SlidingWindowBudget):
    """A sliding-window budget with tokens (in attempts) that do not expire with the window, `depth` at most."""

    def __init__(self, window: Ticks, tokens: float, depth: float) -> None:
        super().__init__(window)
        self.tokens = tokens
        self._depth = depth

    def refill(self, credit: float, token_limit: float) -> None:
        """Add credit, and as many tokens, but no more than `token_limit` tokens at once."""
        self.add_credit(credit)
        self.tokens = min(self.tokens + min(credit, token_limit), self._depth)

    def charge(self, now: Ticks) -> None:
        """Count one attempt at time `now`, and take one token."""
        super().charge(now)
        self.tokens -= 1
