"""What a unit can do: its pace as builds, faults and coldness have it, and how it falls over. No sockets.

The stand-in on sockets and the model's unit are both this, each with its own clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import msgspec


class Build(msgspec.Struct):
    """What a build does wrong, if anything: how, how much of it, and in which lane."""

    number: int
    speed: float = 1.0
    bad: str | None = None
    strength: float = 0.5
    lane: str | None = None


class Life(msgspec.Struct):
    """All that a unit is told at its start."""

    name: str
    folder: str
    zone: str
    cell: int
    port: int
    seed: int
    cores: int
    waiting_room: int
    connections: int
    cold_share: float
    cold: float  # seconds; 0: it starts warm
    fall_multiple: float
    fall_time: float  # seconds
    memory: dict[str, float]  # of receipts, by lane, in seconds
    receipts: dict[str, str]  # by lane, the folder that the units of a group share for them
    report: float  # seconds between load reports
    errors: float
    speed: float
    build: Build
    store: int = 0  # the port of the store where effectful lookups are filed; 0: none
    write: str = ""  # how the build files them


class Piece(Protocol):
    """A piece of work: seconds at the usual pace, and its lane."""

    work: float
    lane: str


class Engine:
    def __init__(self, life: Life, clock: Callable[[], float]) -> None:
        self.life, self._clock = life, clock
        self._rng = Random(life.seed)
        self._start = clock()
        self._busy = 0
        self._recent: deque[tuple[float, float]] = deque()
        self._recent_sum = 0.0
        self._faults: dict[str, dict[str, Any]] = {}
        self.shared = 1.0  # how far a build elsewhere slows this unit
        self.fallen = False

    # Pace

    def _warmth(self) -> float:
        life, age = self.life, self._clock() - self._start
        if life.cold <= 0 or age >= life.cold:
            return 1.0
        return life.cold_share + (1 - life.cold_share) * age / life.cold

    def _capacity(self) -> float:
        """Seconds of work a second, as things stand."""
        return self.life.cores * self.life.speed * self._warmth()

    def _pace(self, job: Piece) -> float:
        build, pace = self.life.build, self.life.speed * self._warmth() * self.life.build.speed
        if "slow" in self._faults:
            pace /= max(1.0, self._faults["slow"]["size"])
        if "neighbour" in self._faults and int(self._clock() * 0.5) % 2:
            pace *= 1 - min(0.9, self._faults["neighbour"]["size"])
        if build.bad == "slow" or (build.bad == "load" and self._busy > self.life.cores // 2):
            pace /= 1 + 3 * build.strength
        if build.bad == "late" and self._clock() - self._start > 4:
            pace /= 1 + 3 * build.strength
        return pace / self.shared

    def _fault(self, name: str) -> dict[str, Any] | None:
        return self._faults.get(name)

    def _hit(self, name: str) -> bool:
        fault = self._faults.get(name)
        return fault is not None and self._rng.random() < min(1.0, fault["size"])

    def _weigh(self, job: Piece, warmth: float) -> None:
        now, life = self._clock(), self.life
        if warmth >= 1.0:
            return
        self._recent.append((now, job.work))
        self._recent_sum += job.work
        while self._recent and self._recent[0][0] < now - life.fall_time:
            self._recent_sum -= self._recent.popleft()[1]
        if self._recent_sum > life.fall_multiple * self._capacity() * life.fall_time + 8 * 0.1 and not self.fallen:
            self.fallen = True
            self.fell(self._recent_sum, warmth)

    def fell(self, work: float, warmth: float) -> None:
        """It has just fallen over."""

    def _errs(self, job: Piece) -> bool:
        build = self.life.build
        share = self.life.errors
        if build.bad == "errors" or (build.bad == "lane" and job.lane == build.lane):
            share = max(share, build.strength)
        if build.bad == "late" and self._clock() - self._start > 4:
            share = max(share, build.strength / 3)
        return self._rng.random() < share or self._hit("errors")
