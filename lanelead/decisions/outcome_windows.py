"""Outcomes of attempts by endpoint, request class and second, with statistics over them; makes no decisions.

`EndpointT` is the type of endpoint, `FaultT` the enumeration of the kinds of fault that are counted.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import takewhile
from math import sqrt
from typing import Generic, TypeVar

from lanelead.decisions.interface import SECOND, Endpoint, RequestClass, Ticks

EndpointT = TypeVar("EndpointT", bound=Endpoint)
FaultT = TypeVar("FaultT", bound=Enum)


def z_score(faults: int, outcomes: int, mean: float, max_outcomes: int) -> float:
    """Return by how many standard deviations the share of faults exceeds a mean share.

    The standard deviation is the binomial one for the window's outcomes, at most `max_outcomes`, and at least the share
    of one outcome. It is not measured from earlier windows: single ones hold too few outcomes for that, and pooled ones
    far too many.
    """
    counted = min(outcomes, max_outcomes)
    deviation = max(sqrt(mean * max(0.0, 1 - mean) / counted), 1 / counted)
    return (faults / outcomes - mean) / deviation


def percentile_rank(value: float, ordered: Sequence[float]) -> float:
    """Return the share (0 to 1) of ascending values that a value exceeds; equal values count half."""
    return (bisect_left(ordered, value) + bisect_right(ordered, value)) / 2 / max(1, len(ordered))


@dataclass(slots=True, eq=False)
class OutcomeWindow(Generic[EndpointT, FaultT]):
    """The outcomes of one request class at one endpoint in one second, or in several merged seconds."""

    endpoint: EndpointT
    request_class: RequestClass
    build: int
    start: Ticks
    outcomes: int = 0
    faults: dict[FaultT, int] = field(default_factory=dict)

    def add(self, outcomes: int, faults: Mapping[FaultT, int]) -> None:
        """Add outcomes, given with the number of faults of each kind among them."""
        self.outcomes += outcomes
        for fault, count in faults.items():
            self.faults[fault] = self.faults.get(fault, 0) + count


class OutcomeHistory(Generic[EndpointT, FaultT]):
    """The outcomes of the last `span`, in windows of one second by endpoint and request class."""

    def __init__(self, span: Ticks) -> None:
        self._span = span
        self.windows: deque[OutcomeWindow[EndpointT, FaultT]] = deque()  # oldest first
        self._open: dict[tuple[EndpointT, RequestClass], OutcomeWindow[EndpointT, FaultT]] = {}

    def add(
        self, endpoint: EndpointT, request_class: RequestClass, outcomes: int, faults: Mapping[FaultT, int], now: Ticks
    ) -> None:
        """Add outcomes to the window of the current second, and drop windows older than the span."""
        window = self._open.get((endpoint, request_class))
        second = now - now % SECOND
        if window is None or window.start != second or window.build != endpoint.build:
            window = OutcomeWindow(endpoint, request_class, endpoint.build, second)
            self._open[endpoint, request_class] = window
            self.windows.append(window)
        window.add(outcomes, faults)
        while self.windows[0].start < now - self._span:
            oldest = self.windows.popleft()
            # A removed endpoint gets no further window, so its last one would otherwise be kept forever.
            if self._open[oldest.endpoint, oldest.request_class] is oldest:
                del self._open[oldest.endpoint, oldest.request_class]

    def since(self, start: Ticks) -> Iterator[OutcomeWindow[EndpointT, FaultT]]:
        """Return the windows that began at `start` or later, newest first."""
        return takewhile(lambda window: window.start >= start, reversed(self.windows))


def merge_to_minimum(
    windows: Iterable[OutcomeWindow[EndpointT, FaultT]], min_outcomes: int
) -> list[OutcomeWindow[EndpointT, FaultT]]:
    """Merge windows of the same endpoint and request class until each holds `min_outcomes`; drop empty windows.

    The last merged window of an endpoint and request class may hold fewer.
    """
    merged_by_key: dict[tuple[EndpointT, RequestClass], list[OutcomeWindow[EndpointT, FaultT]]] = {}
    for window in windows:
        merged = merged_by_key.setdefault((window.endpoint, window.request_class), [])
        if not merged or merged[-1].outcomes >= min_outcomes:
            merged.append(OutcomeWindow(window.endpoint, window.request_class, window.build, window.start))
        merged[-1].add(window.outcomes, window.faults)
    return [window for merged in merged_by_key.values() for window in merged if window.outcomes]


def fault_shares(
    windows: Sequence[OutcomeWindow[EndpointT, FaultT]],
) -> dict[tuple[RequestClass, FaultT], list[float]]:
    """Return the ascending shares of each kind of fault in all windows of each request class in which it occurs."""
    seen = {(window.request_class, fault): None for window in windows for fault in window.faults}
    return {
        (request_class, fault): sorted(
            window.faults.get(fault, 0) / window.outcomes for window in windows if window.request_class is request_class
        )
        for request_class, fault in seen
    }


def pool_by_class(
    windows: Iterable[OutcomeWindow[EndpointT, FaultT]],
) -> dict[RequestClass | None, OutcomeWindow[EndpointT, FaultT]]:
    """Pool windows into one per request class and one over all classes, under the key None."""
    pooled: dict[RequestClass | None, OutcomeWindow[EndpointT, FaultT]] = {}
    for window in windows:
        for request_class in (window.request_class, None):
            if request_class not in pooled:
                pooled[request_class] = OutcomeWindow(window.endpoint, window.request_class, window.build, window.start)
            pooled[request_class].add(window.outcomes, window.faults)
    return pooled


def count_faults(
    windows: Iterable[OutcomeWindow[EndpointT, FaultT]], fault: FaultT
) -> dict[EndpointT, tuple[int, int]]:
    """Return the number of faults of one kind and of all outcomes, by endpoint."""
    counts: dict[EndpointT, tuple[int, int]] = {}
    for window in windows:
        faults, outcomes = counts.get(window.endpoint, (0, 0))
        counts[window.endpoint] = (faults + window.faults.get(fault, 0), outcomes + window.outcomes)
    return counts


def winsorized_totals(counts: Mapping[EndpointT, tuple[int, int]], kept: int) -> tuple[int, int]:
    """Return faults and outcomes over all endpoints, with the highest shares of faults winsorized.

    Shares above the one of rank `kept` (from 1, in ascending order) are reduced to it; with `kept` 0, no fault counts.
    """
    shares = sorted(faults / outcomes for faults, outcomes in counts.values())
    highest = shares[kept - 1] if kept else 0.0
    faults_kept = int(sum(min(faults, highest * outcomes) for faults, outcomes in counts.values()) + 1e-6)
    return faults_kept, sum(outcomes for _, outcomes in counts.values())
