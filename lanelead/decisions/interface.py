"""What the decision module and its host say to each other: types only, no decisions.

Times are whole tenths of a millisecond (`Ticks`). Objects point to each other; a host keeps its own
table from the ids it hears at its door to these objects.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lanelead.decisions.parameters import (
    SECOND as SECOND,
)
from lanelead.decisions.parameters import (
    CanaryLimits as CanaryLimits,
)
from lanelead.decisions.parameters import (
    DecisionParameters as DecisionParameters,
)
from lanelead.decisions.parameters import (
    DeduplicationScope as DeduplicationScope,
)
from lanelead.decisions.parameters import (
    Idempotency as Idempotency,
)
from lanelead.decisions.parameters import (
    Prices as Prices,
)
from lanelead.decisions.parameters import (
    PromotionControl as PromotionControl,
)
from lanelead.decisions.parameters import (
    RelayPosition as RelayPosition,
)
from lanelead.decisions.parameters import (
    RequestClass as RequestClass,
)
from lanelead.decisions.parameters import (
    ResourceQuota as ResourceQuota,
)
from lanelead.decisions.parameters import (
    ServiceLimits as ServiceLimits,
)
from lanelead.decisions.parameters import (
    Tenant as Tenant,
)
from lanelead.decisions.parameters import (
    Ticks as Ticks,
)
from lanelead.decisions.parameters import (
    VotingRules as VotingRules,
)
from lanelead.decisions.parameters import (
    ZonePreference as ZonePreference,
)

MAX_IN_FLIGHT_COUNTS = 83  # loads that one message between relays holds at the most


class AttemptOutcome(Enum):
    """How a trip ended."""

    SUCCEEDED = "succeeded"
    ERROR = "error"
    REJECTED = "rejected"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


class EndpointStatus(Enum):
    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class RolloutPhase(Enum):
    CANARY = 0
    ROLLING_BACK = 1
    PROMOTED = 2
    ROLLED_BACK = 3


class Verdict(Enum):
    ABSTAIN = 0
    PROMOTE = 1
    HOLD = 2
    ROLL_BACK = 3


class UpdateScope(Enum):
    """How much of the fleet a roster update speaks of."""

    DELTA = "changes"
    SNAPSHOT = "full"
    CACHED = "cached"
    FAILED = "failed"


# What passes through


class Endpoint:
    """One server, as the roster last told of it."""

    __slots__ = ("build", "capacity", "cell", "kind", "long_id", "short_id", "started_at", "status", "zone")

    def __init__(self, mark: int) -> None:
        self.short_id = mark  # the same number at every relay, for messages between relays
        self.long_id = 0  # the host's: what to call it where other units have the same mark; 0: none has
        self.zone = ""
        self.cell = 0
        self.kind = ""
        self.started_at: Ticks = 0
        self.build = 0
        self.capacity = 1.0
        self.status = EndpointStatus.REMOVED

    def update(self, told: EndpointRecord) -> None:
        self.zone, self.cell, self.kind, self.status = told.zone, told.cell, told.kind, told.status
        self.started_at, self.build, self.capacity = told.started_at, told.build, told.capacity


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    endpoint: Endpoint
    zone: str
    cell: int
    kind: str
    started_at: Ticks
    build: int
    capacity: float
    status: EndpointStatus


@dataclass(slots=True, eq=False)
class Request:
    request_class: RequestClass
    tenant: Tenant | None
    key: str | None
    received_at: Ticks
    deadline: Ticks  # when the client stops waiting
    hint: Ticks | None = None
    is_retry: bool = False
    is_write: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    request: Request
    endpoint: Endpoint
    number: int
    sent_at: Ticks
    timeout: Ticks
    outcome: AttemptOutcome | None = None
    streaming: bool = False


@dataclass(slots=True, frozen=True)
class RolloutState:
    """Where the newest build stands; `answer` is set when it answers a vote."""

    build: int
    stage: int
    phase: RolloutPhase
    exposure_limit: float
    age: Ticks
    answers_vote: bool
    outcome: AttemptOutcome


@dataclass(slots=True, frozen=True)
class OutcomeTally:
    build: int
    request_class: RequestClass
    attempts: int
    failures: int
    latency: Ticks
    age: Ticks


@dataclass(slots=True)
class OutcomeObservation:
    """Outcomes at a unit that one relay tells another of, and how many were faults of each kind."""

    endpoint: Endpoint
    request_class: RequestClass
    build: int
    outcomes: int
    faults: list[int]


@dataclass(slots=True, frozen=True)
class InFlightCount:
    """Trips out at a unit: those of the relay that tells, or of all relays."""

    endpoint: Endpoint
    attempts: int


@dataclass(slots=True, frozen=True)
class InFlightBound:
    """Of loads that are told, some were left out or not understood: no other unit has more trips out."""

    attempts: int


@dataclass(slots=True, frozen=True)
class FleetLatency:
    """How long trips take of late over the whole fleet: those out over those answered (Little's law)."""

    latency: Ticks


@dataclass(slots=True, frozen=True)
class CompletionCount:
    """How many answers the relay that tells got in the last second."""

    count: int


InFlightEntry = (
    InFlightCount | InFlightBound
)  # what is out, whole: what a relay heard before from the same sender holds no more
GossipEntry = OutcomeObservation | InFlightEntry | FleetLatency | CompletionCount  # what relays tell each other


# Acts


@dataclass(slots=True, frozen=True)
class StartAttempt:
    attempt: Attempt


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    attempt: Attempt


@dataclass(slots=True, frozen=True)
class RejectRequest:
    request: Request
    retry_after: Ticks


@dataclass(slots=True, frozen=True)
class FailRequest:
    request: Request


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask to be woken at a time; a lookup names the one to resume, none the relay itself."""

    at: Ticks
    request: Request | None


@dataclass(slots=True, frozen=True)
class CheckHealth:
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class SendGossip:
    peer: int | None  # none: all of them
    entries: Sequence[GossipEntry]


@dataclass(slots=True, frozen=True)
class CastVote:
    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    enabled: bool


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    pass


@dataclass(slots=True, frozen=True)
class LogEvent:
    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | CheckHealth
    | CloseIdleConnections
    | SendGossip
    | CastVote
    | WatchEndpoints
    | PollEndpoints
    | LogEvent
)
LoadReport = dict[str, float]


class Decisions(Protocol):
    """What a host calls; after each call it carries out `acts` in order and empties it."""

    now: Ticks
    actions: list[Action]
    parameters: DecisionParameters

    def new_endpoint(self, short_id: int) -> Endpoint: ...
    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None: ...
    def request_received(self, request: Request) -> None: ...
    def response_started(self, attempt: Attempt) -> None: ...
    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: Ticks, report: LoadReport | None
    ) -> None: ...
    def client_left(self, request: Request) -> None: ...
    def timer_fired(self, request: Request | None) -> None: ...
    def rollout_updated(self, rollout: RolloutState) -> None: ...
    def gossip_received(self, peer: int, entries: Sequence[GossipEntry]) -> None: ...
    def complaint_received(self, endpoint: Endpoint, request_class: RequestClass, age: Ticks) -> None: ...
    def tally_received(self, tally: OutcomeTally) -> None: ...
    def health_checked(
        self, endpoint: Endpoint, outcome: AttemptOutcome, took: Ticks, report: LoadReport | None
    ) -> None: ...
