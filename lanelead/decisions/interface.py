"""What the decision module and its host say to each other: types only, no decisions.

Times are whole tenths of a millisecond (`Ticks`). Objects point to each other; a host keeps its own
table from the ids it hears at its door to these objects.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

Ticks = int
SECOND: Ticks = 10_000
LOADS = 83  # loads that one message between relays holds at the most


class Repeat(Enum):
    PURE = "pure"
    RECEIPTED = "receipted"
    EFFECTFUL = "effectful"


class Scope(Enum):
    """The units that drop a repeat of a receipted lookup."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Fate(Enum):
    """How a trip ended."""

    DONE = "done"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    CALLED_OFF = "called off"
    UNSENT = "unsent"


class Condition(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Phase(Enum):
    TRIAL = 0
    REVERTING = 1
    RELEASED = 2
    WITHDRAWN = 3


class Control(Enum):
    """Who moves a stage on: one vote, a number of votes, or a clock."""

    FIRST_VOICE = "first voice"
    BY_COUNT = "by count"
    AUTOMATIC = "automatic"


class Verdict(Enum):
    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class Coverage(Enum):
    """How much of the fleet a roster update speaks of."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


# What is read at start


@dataclass(frozen=True, eq=False)
class Lane:
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


@dataclass(frozen=True, eq=False)
class Member:
    name: str
    quota: float
    share: float


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


# What passes through


class Unit:
    """One server, as the roster last told of it."""

    __slots__ = ("build", "cell", "condition", "kind", "mark", "since", "size", "zone")

    def __init__(self, mark: int) -> None:
        self.mark = mark  # the same number at every relay, for messages between relays
        self.zone = ""
        self.cell = 0
        self.kind = ""
        self.since: Ticks = 0
        self.build = 0
        self.size = 1.0
        self.condition = Condition.GONE

    def update(self, told: Listing) -> None:
        self.zone, self.cell, self.kind, self.condition = told.zone, told.cell, told.kind, told.condition
        self.since, self.build, self.size = told.since, told.build, told.size


@dataclass(slots=True, frozen=True)
class Listing:
    unit: Unit
    zone: str
    cell: int
    kind: str
    since: Ticks
    build: int
    size: float
    condition: Condition


@dataclass(slots=True, eq=False)
class Lookup:
    lane: Lane
    member: Member | None
    key: str | None
    taken: Ticks
    due: Ticks  # when the client stops waiting
    hint: Ticks | None = None
    again: bool = False
    write: bool = False
    trips: list[Trip] = field(default_factory=list)
    over: bool = False


@dataclass(slots=True, eq=False)
class Trip:
    lookup: Lookup
    unit: Unit
    number: int
    sent: Ticks
    limit: Ticks
    fate: Fate | None = None
    streaming: bool = False


@dataclass(slots=True, frozen=True)
class News:
    """Where the newest build stands; `answer` is set when it answers a vote."""

    build: int
    stage: int
    phase: Phase
    cap: float
    age: Ticks
    answer: bool
    word: Fate


@dataclass(slots=True, frozen=True)
class Tally:
    build: int
    lane: Lane
    trips: int
    lost: int
    took: Ticks
    age: Ticks


@dataclass(slots=True)
class Sighting:
    """Outcomes at a unit that one relay tells another of, and how many were faults of each kind."""

    unit: Unit
    lane: Lane
    build: int
    outcomes: int
    faults: list[int]


@dataclass(slots=True, frozen=True)
class Load:
    """Trips out at a unit: those of the relay that tells, or of all relays."""

    unit: Unit
    trips: int


@dataclass(slots=True, frozen=True)
class Pace:
    """How long trips take of late over the whole fleet: those out over those answered (Little's law)."""

    took: Ticks


@dataclass(slots=True, frozen=True)
class Answered:
    """How many answers the relay that tells got in the last second."""

    many: int


Word = Sighting | Load | Pace | Answered  # what relays tell each other


# Acts


@dataclass(slots=True, frozen=True)
class Send:
    trip: Trip


@dataclass(slots=True, frozen=True)
class CallOff:
    trip: Trip


@dataclass(slots=True, frozen=True)
class Shed:
    lookup: Lookup
    come_back: Ticks


@dataclass(slots=True, frozen=True)
class BreakOff:
    lookup: Lookup


@dataclass(slots=True, frozen=True)
class Wake:
    """Ask to be woken at a time; a lookup names the one to resume, none the relay itself."""

    at: Ticks
    lookup: Lookup | None


@dataclass(slots=True, frozen=True)
class Probe:
    unit: Unit


@dataclass(slots=True, frozen=True)
class Close:
    unit: Unit


@dataclass(slots=True, frozen=True)
class Tell:
    peer: int | None  # none: all of them
    words: Sequence[Word]


@dataclass(slots=True, frozen=True)
class Vote:
    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class Watch:
    on: bool


@dataclass(slots=True, frozen=True)
class Fetch:
    pass


@dataclass(slots=True, frozen=True)
class Note:
    text: str


Act = Send | CallOff | Shed | BreakOff | Wake | Probe | Close | Tell | Vote | Watch | Fetch | Note
Report = dict[str, float]


class Decisions(Protocol):
    """What a host calls; after each call it carries out `acts` in order and empties it."""

    now: Ticks
    acts: list[Act]

    def meet(self, mark: int) -> Unit: ...
    def roster(self, coverage: Coverage, listings: Sequence[Listing]) -> None: ...
    def take(self, lookup: Lookup) -> None: ...
    def started(self, trip: Trip) -> None: ...
    def ended(self, trip: Trip, fate: Fate, closed: bool, took: Ticks, report: Report | None) -> None: ...
    def left(self, lookup: Lookup) -> None: ...
    def wake(self, lookup: Lookup | None) -> None: ...
    def news(self, news: News) -> None: ...
    def heard(self, peer: int, words: Sequence[Word]) -> None: ...
    def complaint(self, unit: Unit, lane: Lane, age: Ticks) -> None: ...
    def tally(self, counted: Tally) -> None: ...
    def probed(self, unit: Unit, fate: Fate, took: Ticks, report: Report | None) -> None: ...
