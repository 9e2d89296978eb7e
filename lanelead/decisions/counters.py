"""Plain sums: one that decays, an exact account over a window, counts by the second, and a rank."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import takewhile
from math import exp, sqrt
from typing import Generic, TypeVar

from lanelead.decisions.interface import SECOND, Endpoint, RequestClass, Ticks

S = TypeVar("S", bound=Endpoint)
F = TypeVar("F", bound=Enum)


class Fading:
    """A sum that decays; it is brought up to date when it is read."""

    __slots__ = ("_at", "_span", "_sum")

    def __init__(self, span: Ticks) -> None:
        self._span, self._at, self._sum = span, 0, 0.0

    def read(self, now: Ticks) -> float:
        if now > self._at:
            if self._sum:
                self._sum *= exp((self._at - now) / self._span)
            self._at = now
        return self._sum

    def add(self, now: Ticks, amount: float) -> None:
        self._sum = self.read(now) + amount


def turned(lot: float, turns: float) -> float:
    """A lot of 0 to 1 for each whole turn, from the one drawn first. Steps of the golden ratio give each part
    of the range its share of any row of turns (Weyl 1916). Each lot's turns begin at a time of their own:
    guards against all relays being lucky in the same moment."""
    return (lot + int(turns + 997 * lot) * 0.6180339887) % 1


class Recent:
    """When each key was last noted, and when before that; forgotten after a span."""

    def __init__(self, span: Ticks) -> None:
        self._span = span
        self._times: dict[str, tuple[Ticks, Ticks]] = {}  # the oldest key first

    def note(self, key: str, now: Ticks) -> None:
        last = self._times.pop(key, (0, -self._span))[1]
        self._times[key] = last, now
        while self._times[oldest := next(iter(self._times))][1] < now - self._span:
            del self._times[oldest]

    def before(self, key: str) -> Ticks:
        return self._times[key][0]


class Ledger:
    """An exact account over a window: trips spent against credit earned. An entry is (time, trips - credit so
    far) before a trip; the smallest one of the window tells how far any stretch up to now has gone."""

    def __init__(self, window: Ticks) -> None:
        self._window, self._stand = window, 0.0
        self._low: deque[tuple[Ticks, float]] = deque()

    def earn(self, credit: float) -> None:
        self._stand -= credit

    def least(self, now: Ticks) -> float:
        """Credit less trips over the stretch for which that is least; 0 where none is below."""
        while self._low and self._low[0][0] < now - self._window:
            self._low.popleft()
        return min(0.0, self._low[0][1] - self._stand) if self._low else 0.0

    def spend(self, now: Ticks) -> None:
        while self._low and self._low[-1][1] >= self._stand:
            self._low.pop()
        self._low.append((now, self._stand))
        self._stand += 1


class Purse(Ledger):
    """The same, with an amount held that outlasts the window, up to a depth."""

    def __init__(self, window: Ticks, held: float, depth: float) -> None:
        super().__init__(window)
        self.held, self._depth = held, depth

    def gain(self, cap: float, share: float) -> None:
        self.earn(cap)
        self.held = min(self.held + min(cap, share), self._depth)

    def spend(self, now: Ticks) -> None:
        super().spend(now)
        self.held -= 1


def z_score(faults: int, outcomes: int, mean: float, full: int) -> float:
    """The deviations between a share and a mean. The deviation is that of a window as full as this one, of
    `full` outcomes at most: earlier windows hold too few, and pooled ones far too many."""
    many = min(outcomes, full)
    deviation = max(sqrt(mean * max(0.0, 1 - mean) / many), 1 / many)
    return (faults / outcomes - mean) / deviation


def percentile(value: float, ordered: Sequence[float]) -> float:
    """The part of the others, in rising order, that the value exceeds, those equal to it counted half."""
    return (bisect_left(ordered, value) + bisect_right(ordered, value)) / 2 / max(1, len(ordered))


@dataclass(slots=True, eq=False)
class Window(Generic[S, F]):
    """The outcomes of one lane at one server in a second, or in a few of them that are counted together."""

    server: S
    lane: RequestClass
    build: int
    start: Ticks
    outcomes: int = 0
    faults: dict[F, int] = field(default_factory=dict)

    def add(self, outcomes: int, faults: Mapping[F, int]) -> None:
        self.outcomes += outcomes
        for fault, many in faults.items():
            self.faults[fault] = self.faults.get(fault, 0) + many


class Windows(Generic[S, F]):
    """The outcomes of each lane at each server by the second, of the last `span`."""

    def __init__(self, span: Ticks) -> None:
        self._span = span
        self.all: deque[Window[S, F]] = deque()  # the oldest first
        self._open: dict[tuple[S, RequestClass], Window[S, F]] = {}

    def add(self, server: S, request_class: RequestClass, outcomes: int, faults: Mapping[F, int], now: Ticks) -> None:
        window, second = self._open.get((server, request_class)), now - now % SECOND
        if window is None or (window.start, window.build) != (second, server.build):
            window = self._open[server, request_class] = Window(server, request_class, server.build, second)
            self.all.append(window)
        window.add(outcomes, faults)
        while self.all[0].start < now - self._span:
            old = self.all.popleft()
            if self._open[old.server, old.lane] is old:  # or units that are gone would be kept for good
                del self._open[old.server, old.lane]

    def since(self, start: Ticks) -> Iterator[Window[S, F]]:
        """Those that began at `start` or later, the newest first."""
        return takewhile(lambda window: window.start >= start, reversed(self.all))


def filled(windows: Iterable[Window[S, F]], fill: int) -> list[Window[S, F]]:
    """As few windows as hold `fill` outcomes each, by server and lane, none of them without any."""
    rows: dict[tuple[S, RequestClass], list[Window[S, F]]] = {}
    for w in windows:
        row = rows.setdefault((w.server, w.lane), [])
        if not row or row[-1].outcomes >= fill:
            row.append(Window(w.server, w.lane, w.build, w.start))
        row[-1].add(w.outcomes, w.faults)
    return [window for row in rows.values() for window in row if window.outcomes]


def shares(windows: Sequence[Window[S, F]]) -> dict[tuple[RequestClass, F], list[float]]:
    """Of each kind of fault seen in a lane, its share of each of that lane's windows, in rising order."""
    seen = {(window.lane, fault): None for window in windows for fault in window.faults}
    return {
        (request_class, fault): sorted(w.faults.get(fault, 0) / w.outcomes for w in windows if w.lane is request_class)
        for request_class, fault in seen
    }


def pooled(windows: Iterable[Window[S, F]]) -> dict[RequestClass | None, Window[S, F]]:
    """All windows as one of each lane, and one of all lanes."""
    base: dict[RequestClass | None, Window[S, F]] = {}
    for w in windows:
        for request_class in (w.lane, None):
            base.setdefault(request_class, Window(w.server, w.lane, w.build, w.start)).add(w.outcomes, w.faults)
    return base


def tally(windows: Iterable[Window[S, F]], fault: F) -> dict[S, tuple[int, int]]:
    """Faults of a kind, and outcomes, by server."""
    counts: dict[S, tuple[int, int]] = {}
    for w in windows:
        faults, many = counts.get(w.server, (0, 0))
        counts[w.server] = faults + w.faults.get(fault, 0), many + w.outcomes
    return counts


def tamed(counts: Mapping[S, tuple[int, int]], keep: int) -> tuple[int, int]:
    """Faults and outcomes over all, where no share counts for more than that of the place given."""
    shares = sorted(faults / many for faults, many in counts.values())
    top = shares[keep - 1] if keep else 0.0
    return int(sum(min(f, top * n) for f, n in counts.values()) + 1e-6), sum(n for _, n in counts.values())
