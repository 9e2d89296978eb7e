"""The service model of an endpoint: its speed under builds, faults and slow start, and its overload. No sockets.

The emulated endpoint on sockets and the simulated one derive from it, each with its own clock. Faults of the model are
`slow` (`size` times slower), `neighbour` (slower by a share `size`, in every second period of 2 s) and `errors` (a
share `size` of the requests fails).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import msgspec


class Build(msgspec.Struct):
    """A build and its fault, if any.

    `bad` is the kind of fault: "slow", "load" (slow while more than half of the cores are busy), "errors", "lane"
    (errors in the request class `lane`), "late" (slow and with errors from 4 s after the start), "wrong" (wrong
    answers) or "shared" (slows the endpoints of all builds; the scenario's runner sets by how much). `strength` (0 to
    1) is the share of errors or wrong answers, or sets the slowdown.
    """

    number: int
    speed: float = 1.0
    bad: str | None = None
    strength: float = 0.5
    lane: str | None = None


class EndpointOptions(msgspec.Struct):
    """Options of an endpoint's process, which gets them as JSON.

    `waiting_room` limits the queue, `errors` is the share of requests that fail without a fault, `speed` is relative to
    the usual speed, and `cold_share` is the share of it at the start. `fall_multiple` times the work that the endpoint
    can do in `fall_time` overloads it while it is warming up.
    """

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
    cold: float  # seconds of slow start; 0: it starts at full speed
    fall_multiple: float
    fall_time: float  # seconds
    memory: dict[str, float]  # by request class: seconds for which idempotency keys are remembered
    receipts: dict[str, str]  # by request class: the folder of claimed keys that a group of endpoints shares
    report: float  # seconds between load reports
    errors: float
    speed: float
    build: Build
    store: int = 0  # port of the migration store that checks the writes of requests; 0: none
    write: str = ""  # the SQL statement by which the build writes a request


class WorkItem(Protocol):
    """A piece of work: its seconds at normal speed, and its request class."""

    work: float
    lane: str


class ServiceModel:
    """Speed, errors and overload of one endpoint; subclasses queue the work and answer requests."""

    def __init__(self, life: EndpointOptions, clock: Callable[[], float]) -> None:
        self.life, self._clock = life, clock
        self._rng = Random(life.seed)
        self._started_at = clock()
        self._busy = 0
        self._recent_work: deque[tuple[float, float]] = deque()
        self._recent_work_sum = 0.0
        self._faults: dict[str, dict[str, Any]] = {}
        self.shared = 1.0  # the factor by which a build on other endpoints slows this one
        self.fallen = False

    # Speed

    def _slow_start_share(self) -> float:
        life, age = self.life, self._clock() - self._started_at
        if life.cold <= 0 or age >= life.cold:
            return 1.0
        return life.cold_share + (1 - life.cold_share) * age / life.cold

    def _capacity(self) -> float:
        """Returns the seconds of work that the endpoint can do in a second at present."""
        return self.life.cores * self.life.speed * self._slow_start_share()

    def _current_speed(self, item: WorkItem) -> float:
        build, pace = self.life.build, self.life.speed * self._slow_start_share() * self.life.build.speed
        if "slow" in self._faults:
            pace /= max(1.0, self._faults["slow"]["size"])
        if "neighbour" in self._faults and int(self._clock() * 0.5) % 2:
            pace *= 1 - min(0.9, self._faults["neighbour"]["size"])
        if build.bad == "slow" or (build.bad == "load" and self._busy > self.life.cores // 2):
            pace /= 1 + 3 * build.strength
        if build.bad == "late" and self._clock() - self._started_at > 4:
            pace /= 1 + 3 * build.strength
        return pace / self.shared

    def _fault(self, name: str) -> dict[str, Any] | None:
        return self._faults.get(name)

    def _fault_occurs(self, name: str) -> bool:
        fault = self._faults.get(name)
        return fault is not None and self._rng.random() < min(1.0, fault["size"])

    def _check_overload(self, item: WorkItem, warmth: float) -> None:
        """Adds a request's work to the recent work, and checks for overload; once warm, nothing can overload it.

        The limit is `fall_multiple` times the work that the endpoint could do in `fall_time`, without the build's speed
        and faults, plus 0.8 s of work.
        """
        now, life = self._clock(), self.life
        if warmth >= 1.0:
            return
        self._recent_work.append((now, item.work))
        self._recent_work_sum += item.work
        while self._recent_work and self._recent_work[0][0] < now - life.fall_time:
            self._recent_work_sum -= self._recent_work.popleft()[1]
        if self._recent_work_sum > life.fall_multiple * self._capacity() * life.fall_time + 8 * 0.1 and not self.fallen:
            self.fallen = True
            self.fell(self._recent_work_sum, warmth)

    def fell(self, work: float, warmth: float) -> None:
        """Called once, when the endpoint becomes overloaded, with the recent work in seconds; for subclasses."""

    def _answers_with_error(self, item: WorkItem) -> bool:
        build = self.life.build
        share = self.life.errors
        if build.bad == "errors" or (build.bad == "lane" and item.lane == build.lane):
            share = max(share, build.strength)
        if build.bad == "late" and self._clock() - self._started_at > 4:
            share = max(share, build.strength / 3)
        return self._rng.random() < share or self._fault_occurs("errors")
