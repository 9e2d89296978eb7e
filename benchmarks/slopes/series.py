"""Defines series of measured points, fits lines to them, and measures processor time and memory.

Processor time is measured with `time.process_time`, not wall-clock time. It differs between machines and slightly
from minute to minute, so each run also measures a fixed piece of work, and figures of two runs are compared as
multiples of it.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import median
from typing import Any

import msgspec
import numpy as np
from scipy import stats

ROUNDING_ERROR = 1e-12  # of fitted values, as a share of them; a line that rises by less is flat


class Series(msgspec.Struct, frozen=True):
    """Measured values of one quantity by one size.

    `name`: dotted, unique in its subject, such as `hub.heard.cpu`. `unit`: `us`, `B`, `B/s`, `MB`, `s`, `count`,
    `share` or `ratio`. `by`: what the size counts (`units`, `relays`, `tenants`, `routes`, ...). `points`: size and
    measured value, by rising size. `note`: what was constant, what was simulated, what was not reached.
    """

    subject: str
    name: str
    unit: str
    by: str
    points: list[tuple[float, float]]
    note: str = ""
    commit: str = ""
    at: str = ""
    reference_us: float = 0.0


@dataclass(frozen=True)
class Fit:
    """A line `value = start + slope * size` through points, by least squares of relative errors.

    `power` is the exponent of a power law through the same points (0: constant, 1: linear). Spreads are standard
    errors, `nan` where there are fewer than three points.
    """

    start: float
    slope: float
    slope_spread: float
    power: float
    power_spread: float
    largest: float  # largest size measured; figures beyond it are extrapolated

    def at(self, size: float) -> float:
        """The line's value at a size."""
        return self.start + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fits a line and a power law to points."""
    sizes, values = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    if len(points) < 2:
        return Fit(float(values[0]), 0.0, float("nan"), float("nan"), float("nan"), float(sizes[-1]))
    # A zero has an unbounded relative error; this keeps any point from weighing more than 10^4 times another.
    weights = 1 / np.maximum(np.abs(values), np.max(np.abs(values)) * 1e-4 or 1.0)
    table = np.stack([np.ones_like(sizes), sizes], axis=1) * weights[:, None]
    (start, slope), *_ = np.linalg.lstsq(table, values * weights, rcond=None)
    if abs(slope) * np.ptp(sizes) < ROUNDING_ERROR * np.max(np.abs(values)):
        slope = 0.0
    spread = power = power_spread = float("nan")
    if len(points) > 2:
        left = values * weights - table @ np.array([start, slope])
        cover = np.linalg.inv(table.T @ table) * float(left @ left) / (len(points) - 2)
        spread = float(np.sqrt(cover[1, 1]))
        if np.all(values > 0):
            line = stats.linregress(np.log(sizes), np.log(values))
            power, power_spread = float(line.slope), float(line.stderr)
    return Fit(float(start), float(slope), spread, power, power_spread, float(sizes[-1]))


def processor_us(work: Callable[[], Any], rounds: int = 7, least_s: float = 0.02) -> float:
    """Processor time of one call, microseconds: the median of rounds that each last `least_s` or longer."""
    work()
    many, spent = 1, 0.0
    while True:
        spent = _round(work, many)
        if spent >= least_s or many >= 1 << 20:
            break
        many = max(many * 2, int(many * least_s / max(spent, 1e-7)) + 1)
    return median([spent / many, *(_round(work, many) / many for _ in range(rounds - 1))]) * 1e6


def _round(work: Callable[[], Any], many: int) -> float:
    collecting = gc.isenabled()
    gc.disable()
    try:
        began = time.process_time()
        for _ in range(many):
            work()
        return time.process_time() - began
    finally:
        if collecting:
            gc.enable()


def traced_mb(make: Callable[[], Any]) -> tuple[float, Any]:
    """Memory that stays allocated by what `make` returns, in 10^6 bytes, as traced by Python, and its result."""
    gc.collect()
    tracemalloc.start()
    try:
        made = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] / 1e6, made
    finally:
        tracemalloc.stop()


def resident_mb(process: int | str = "self") -> float:
    """Resident memory of a process, 10^6 bytes."""
    with open(f"/proc/{process}/statm") as file:
        return int(file.read().split()[1]) * 4096 / 1e6


def reference_us() -> float:
    """Processor time of the fixed work by which runs are compared: tables, calls, floats and bytes."""

    def work() -> int:
        table: dict[int, float] = {}
        for number in range(1000):
            table[number * 7919 % 1009] = number / 3
        text = b",".join(b"%d" % key for key in sorted(table, key=lambda key: table[key]))
        return len(text.split(b","))

    return processor_us(work)
