"""What a relay reads at its start, as its decisions know it: types only, no decisions.

Times are whole tenths of a millisecond (`Ticks`). `interface.py` has all of these names too.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

Ticks = int
SECOND: Ticks = 10_000


class Repeat(Enum):
    PURE = "pure"
    RECEIPTED = "receipted"
    EFFECTFUL = "effectful"


class Scope(Enum):
    """The units that drop a repeat of a receipted lookup."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Control(Enum):
    """Who moves a stage on: one vote, a number of votes, or a clock."""

    FIRST_VOICE = "first voice"
    BY_COUNT = "by count"
    AUTOMATIC = "automatic"


@dataclass(eq=False)
class Lane:
    """A host may change times and values while lookups are under way, and says so by `Figures.retold`."""

    name: str
    expected_time: Ticks
    outer_limit: Ticks
    value: float
    late_value: float
    repeat: Repeat
    scope: Scope
    memory: Ticks
    streaming: bool
    stretch: float

    @property
    def worth(self) -> float:
        """Of an answer in time, for the time it may take."""
        return self.value / self.expected_time


@dataclass(eq=False)
class Member:
    """The same."""

    name: str
    quota: float
    share: float


class Figures:
    """What is worked out from lanes and members, whose figures may change. `longest`, `least`: the lanes'
    expected times. `quotas`: of all members, lookups a second over all relays; `quota`: a relay's part."""

    def __init__(self, lanes: Iterable[Lane], quotas: float, relays: int) -> None:
        self._lanes, self._relays = list(lanes), relays
        self.retold(quotas)

    def retold(self, quotas: float) -> None:
        times = [lane.expected_time for lane in self._lanes]
        self.longest, self.least = max(times), min(times)
        self.quotas, self.quota = quotas, quotas / self._relays


@dataclass(frozen=True)
class Place:
    """Where this relay stands among the others."""

    number: int
    relays: int
    zone: str


@dataclass(frozen=True)
class Allowance:
    """What the deployment lets a relay do."""

    trips: int
    open_lookups: int
    streams: int
    calling_off: bool
    probes: bool
    peers: bool
    second_copies: bool
    retry_advice: bool
    longest_advice: Ticks
    connect_limit: Ticks
    idle_limit: Ticks = 0  # an idle connection ends after this; 0 where that is not told


@dataclass(frozen=True)
class Duties:
    """The figures of the five rules that are not the rollout's."""

    answer_slack: Ticks
    drain_grace: Ticks
    cold_share: float
    cold_time: Ticks
    fall_multiple: float
    fall_time: Ticks
    subscribe: bool
    ask_within: Ticks
    tick: Ticks


@dataclass(frozen=True)
class Trial:
    """How much may go to a build on trial."""

    shares: tuple[float, ...]
    caps: tuple[float, ...]
    free: float
    window: Ticks
    by_lane: bool
    guarded: int
    keys_stay: bool
    in_place: bool  # each earlier machine drains once its successor runs


@dataclass(frozen=True)
class Poll:
    """How votes decide."""

    control: Control
    on_votes: int
    back_votes: int
    hold_votes: int
    least_stage: Ticks
    timer_stage: Ticks
    answer_limit: Ticks
    vote_life: Ticks
    votes_a_second: float
    delay_price: float
    harm_price: float
    complaint_share: float


@dataclass(frozen=True)
class Tariff:
    """Points of the result that each habit costs."""

    probe: float
    peer: float
    waste: float
    late_fail: float
    zone_crossing: float
    handshake: float
    connection: float
    over_share: float  # what a lookup beyond its member's share is worth, as a part of the usual


@dataclass(frozen=True)
class Preference:
    """Which zones' units a relay prefers, tier after tier, and how traffic may spill. None: all are one."""

    tiers: tuple[tuple[str, ...], ...] = ()
    most: float = 0.9  # of what a tier's units would do for this relay, the part that its strangers may have
    grow: float = 1.0  # times the longest expected time, for spill to grow from none to all
    shrink: float = 2.0  # times the warm-up, for it to shrink from all to none
