"""What the decision module and its host say to each other: types only, no decisions.

Times are whole tenths of a millisecond (`Ticks`). Objects point to each other; a host keeps its own
table from the ids it hears at its door to these objects.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lanelead.decisions.figures import (
    SECOND as SECOND,
    Allowance as Allowance,
    Control as Control,
    Duties as Duties,
    Figures as Figures,
    Lane as Lane,
    Member as Member,
    Place as Place,
    Poll as Poll,
    Preference as Preference,
    Repeat as Repeat,
    Scope as Scope,
    Tariff as Tariff,
    Ticks as Ticks,
    Trial as Trial,
)

LOADS = 83  # loads that one message between relays holds at the most


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


# What passes through


class Unit:
    """One server, as the roster last told of it."""

    __slots__ = ("build", "cell", "condition", "kind", "mark", "since", "size", "wide", "zone")

    def __init__(self, mark: int) -> None:
        self.mark = mark  # the same number at every relay, for messages between relays
        self.wide = 0  # the host's: what to call it where other units have the same mark; 0: none has
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
class Least:
    """Of loads that are told, some were left out or not understood: no other unit has more trips out."""

    trips: int


@dataclass(slots=True, frozen=True)
class Pace:
    """How long trips take of late over the whole fleet: those out over those answered (Little's law)."""

    took: Ticks


@dataclass(slots=True, frozen=True)
class Answered:
    """How many answers the relay that tells got in the last second."""

    many: int


Out = Load | Least  # what is out, whole: what a relay heard before from the same sender holds no more
Word = Sighting | Out | Pace | Answered  # what relays tell each other


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
    figures: Figures

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
