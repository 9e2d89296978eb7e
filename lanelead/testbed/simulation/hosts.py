"""What one run of the small world is made of: its plan, and its units."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from lanelead.decisions.interface import Ticks


@dataclass(frozen=True)
class Plan:
    """One run: who there is, what is asked, and what happens to the zones."""

    relays: int = 30
    units: int = 12
    zones: tuple[str, ...] = ("a", "b", "c")
    load: float = 0.5  # of what all units can do
    seconds: float = 40.0
    warm_up: float = 8.0  # seconds before the figures count
    work: float = 0.1  # seconds a lookup, mean
    cores: int = 2
    waiting_room: int = 30
    cold_share: float = 0.4
    cold: float = 4.0
    multiple: float = 4.0
    expected: float = 1.0
    limit: float = 4.0
    effectful: float = 0.35  # the part of lookups that must not run twice
    peers: bool = True
    told: tuple[float, float] = (0.5, 1.5)  # seconds until a relay hears of a change
    # (second, 'lost' or 'silent' or 'slow' or 'back', zone, the part of its units)
    events: tuple[tuple[float, str, str, float], ...] = ()
    preference: tuple[tuple[str, ...], ...] | None = None  # None: its own zone, then all others


@dataclass(eq=False)
class Machine:
    name: str
    zone: str
    speed: float
    up: bool = True
    silent: bool = False
    slow: float = 1.0
    since: Ticks = 0
    life: int = 0
    busy: int = 0
    waiting: deque[Any] = field(default_factory=deque)
    recent: deque[tuple[Ticks, float]] = field(default_factory=deque)
    sent: float = 0.0  # work in `recent`
    worst: float = 0.0  # the most work it was sent in a window, over what it may take
    fallen: bool = False
