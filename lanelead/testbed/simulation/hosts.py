"""The parameters of a run of the decision loop's simulation, and its endpoints' state."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from lanelead.decisions.interface import Ticks


@dataclass(frozen=True)
class Plan:
    """Parameters of one run: the relays and endpoints, the demand, and the zone events. Times are in seconds."""

    relays: int = 30
    units: int = 12
    zones: tuple[str, ...] = ("a", "b", "c")
    load: float = 0.5  # offered load, as a share of all endpoints' capacity
    seconds: float = 40.0
    warm_up: float = 8.0  # seconds at the start to leave out of measurements; the simulation does not read it
    work: float = 0.1  # mean seconds of work per request
    cores: int = 2
    waiting_room: int = 30
    cold_share: float = 0.4  # speed at the beginning of the slow start, as a share of the full speed
    cold: float = 4.0  # length of the slow start
    multiple: float = 4.0  # an endpoint in its slow start falls over at this multiple of its capacity
    expected: float = 1.0  # latency objective
    limit: float = 4.0  # deadline
    effectful: float = 0.35  # share of requests that are not idempotent
    peers: bool = True  # whether relays exchange gossip
    told: tuple[float, float] = (0.5, 1.5)  # range of the seconds until a relay receives a change of the endpoint list
    # (second, 'lost' or 'silent' or 'slow' or 'back', zone, share of its endpoints)
    events: tuple[tuple[float, str, str, float], ...] = ()
    preference: tuple[tuple[str, ...], ...] | None = None  # None: the relay's own zone, then all others


@dataclass(eq=False)
class Machine:
    """An endpoint's state in the simulation. `life` grows whenever the process ends or starts."""

    name: str
    zone: str
    speed: float
    up: bool = True
    silent: bool = False
    slow: float = 1.0  # factor on the time of its work
    since: Ticks = 0  # when it last started; 0: before the simulation, and warm
    life: int = 0
    busy: int = 0  # cores in use
    waiting: deque[Any] = field(default_factory=deque)
    recent: deque[tuple[Ticks, float]] = field(default_factory=deque)  # work sent in the last second of a slow start
    sent: float = 0.0  # sum of the work in `recent`
    worst: float = 0.0  # highest ratio of the work sent in a window to the endpoint's limit
    fallen: bool = False
