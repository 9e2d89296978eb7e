"""What the decisions of a relay and their host exchange: types only, no decisions.

The host calls the methods of `Decisions` as events happen, and carries out the actions that they leave behind.
Times are whole tenths of a millisecond (`Ticks`). Objects refer to each other; a host keeps its own table from the
ids that it receives to these objects.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from lanelead.decisions.parameters import SECOND as SECOND
from lanelead.decisions.parameters import CanaryLimits as CanaryLimits
from lanelead.decisions.parameters import DecisionParameters as DecisionParameters
from lanelead.decisions.parameters import DeduplicationScope as DeduplicationScope
from lanelead.decisions.parameters import Idempotency as Idempotency
from lanelead.decisions.parameters import Prices as Prices
from lanelead.decisions.parameters import PromotionControl as PromotionControl
from lanelead.decisions.parameters import RelayPosition as RelayPosition
from lanelead.decisions.parameters import RequestClass as RequestClass
from lanelead.decisions.parameters import ResourceQuota as ResourceQuota
from lanelead.decisions.parameters import ServiceLimits as ServiceLimits
from lanelead.decisions.parameters import Tenant as Tenant
from lanelead.decisions.parameters import Ticks as Ticks
from lanelead.decisions.parameters import VotingRules as VotingRules
from lanelead.decisions.parameters import ZonePreference as ZonePreference

MAX_IN_FLIGHT_COUNTS = 83  # entries of in-flight counts that one message between relays holds, at most


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    ERROR = "error"  # the endpoint executed it and failed
    REJECTED = "rejected"  # by the endpoint, before it executed anything
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection ended before the response did
    CANCELLED = "cancelled"  # by this relay
    NOT_SENT = "not sent"  # no byte left this relay


class EndpointStatus(Enum):
    """Whether an endpoint may get new attempts: only while it is ready."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class RolloutPhase(Enum):
    """Where the newest build stands."""

    CANARY = 0
    ROLLING_BACK = 1
    PROMOTED = 2
    ROLLED_BACK = 3


class Verdict(Enum):
    """What a relay votes on a canary; abstaining takes back a vote to hold."""

    ABSTAIN = 0
    PROMOTE = 1
    HOLD = 2
    ROLL_BACK = 3


class UpdateScope(Enum):
    """How much of the fleet an update of the endpoint list covers."""

    DELTA = "changes"  # only the endpoints that changed
    SNAPSHOT = "full"  # all endpoints; what it does not name is removed
    CACHED = "cached"  # all endpoints, from an earlier run of this relay
    FAILED = "failed"  # a poll or subscription failed; the earlier list stays


# Endpoints, requests and reports


class Endpoint:
    """One endpoint, as the endpoint list last described it."""

    __slots__ = ("build", "capacity", "cell", "kind", "long_id", "short_id", "started_at", "status", "zone")

    def __init__(self, short_id: int) -> None:
        """Start with an endpoint that no list has described yet."""
        self.short_id = short_id  # the same number at every relay, for messages between relays
        self.long_id = 0  # the host's: what identifies it where others share its short id; 0: none does
        self.zone = ""
        self.cell = 0
        self.kind = ""
        self.started_at: Ticks = 0  # 0: long ago
        self.build = 0
        self.capacity = 1.0  # relative to the others
        self.status = EndpointStatus.REMOVED

    def update(self, record: EndpointRecord) -> None:
        """Take over what the endpoint list says."""
        self.zone = record.zone
        self.cell = record.cell
        self.kind = record.kind
        self.status = record.status
        self.started_at = record.started_at
        self.build = record.build
        self.capacity = record.capacity


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One entry of the endpoint list: an endpoint, and what is said of it."""

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
    """A client's request, from its arrival to its final answer."""

    request_class: RequestClass
    tenant: Tenant | None
    key: str | None  # the idempotency key
    received_at: Ticks
    deadline: Ticks  # when the client stops waiting
    hint: Ticks | None = None  # the expected work, as time on a standard core, if known
    is_retry: bool = False  # the client says that this repeats an earlier request
    is_write: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request at an endpoint."""

    request: Request
    endpoint: Endpoint
    number: int  # from 0, among the attempts of its request
    sent_at: Ticks
    timeout: Ticks  # from `sent_at` on
    outcome: AttemptOutcome | None = None  # None while it is in flight
    streaming: bool = False  # the response has begun to reach the client


@dataclass(slots=True, frozen=True)
class RolloutState:
    """Where the newest build stands; where it answers a vote that did not succeed, only `outcome` counts."""

    build: int
    stage: int
    phase: RolloutPhase
    exposure_limit: float  # the share (0 to 1) of requests that the canary may get
    age: Ticks  # how long it has stood there
    answers_vote: bool
    outcome: AttemptOutcome


@dataclass(slots=True, frozen=True)
class OutcomeTally:
    """What the platform counted of a build and request class; decisions may use it or not."""

    build: int
    request_class: RequestClass
    attempts: int
    failures: int
    latency: Ticks
    age: Ticks


@dataclass(slots=True)
class OutcomeObservation:
    """Outcomes at an endpoint that one relay reports to another, and how many were faults of each kind."""

    endpoint: Endpoint
    request_class: RequestClass
    build: int
    outcomes: int
    faults: list[int]


@dataclass(slots=True, frozen=True)
class InFlightCount:
    """Attempts in flight at an endpoint: those of the relay that reports, or of all relays."""

    endpoint: Endpoint
    attempts: int


@dataclass(slots=True, frozen=True)
class InFlightBound:
    """Some counts were left out or not understood: no endpoint without a count has more attempts in flight."""

    attempts: int


@dataclass(slots=True, frozen=True)
class FleetLatency:
    """The recent mean latency over the whole fleet: attempts in flight over the rate of responses (Little's law)."""

    latency: Ticks


@dataclass(slots=True, frozen=True)
class CompletionCount:
    """How many responses the reporting relay got in the last second."""

    count: int


# All that a sender has in flight: what it reported before holds no more.
InFlightEntry = InFlightCount | InFlightBound
GossipEntry = OutcomeObservation | InFlightEntry | FleetLatency | CompletionCount


# Actions


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send an attempt to its endpoint."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt whose response nobody needs."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Reject a request that no endpoint executed; its client may retry after `retry_after` ticks."""

    request: Request
    retry_after: Ticks


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Fail a request that an endpoint may have executed."""

    request: Request


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Call `timer_fired` at a time, for a request, or with None for the relay itself."""

    at: Ticks
    request: Request | None


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Send a health check to an endpoint, and report its outcome by `health_checked`."""

    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the connections to an endpoint that no attempt uses."""

    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send entries to a peer."""

    peer: int | None  # None: all peers
    entries: Sequence[GossipEntry]


@dataclass(slots=True, frozen=True)
class CastVote:
    """Cast this relay's vote on a stage of a build; the answer comes by `rollout_updated`."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to the endpoint list, or end the subscription."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Ask for the endpoint list once."""


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write a line to the log, for operators."""

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
LoadReport = dict[str, float]  # what an endpoint reports of its load, by name


class Decisions(Protocol):
    """What a host calls, with `now` set before each call.

    After each call the host carries out `actions` in order, and empties the list.
    """

    now: Ticks
    actions: list[Action]
    parameters: DecisionParameters

    def new_endpoint(self, short_id: int) -> Endpoint:
        """Return the object for an endpoint that the host has met for the first time."""

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        """Take over an update of the endpoint list."""

    def request_received(self, request: Request) -> None:
        """Begin a request."""

    def response_started(self, attempt: Attempt) -> None:
        """Note that the response to an attempt has begun to reach the client."""

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, elapsed: Ticks, report: LoadReport | None
    ) -> None:
        """Note an attempt's end after `elapsed` ticks; `closed`: its request has its final answer by that."""

    def client_left(self, request: Request) -> None:
        """End a request whose client no longer waits."""

    def timer_fired(self, request: Request | None) -> None:
        """Note that the time of a `SetTimer` has come."""

    def rollout_updated(self, rollout: RolloutState) -> None:
        """Take over where the newest build stands."""

    def gossip_received(self, peer: int, entries: Sequence[GossipEntry]) -> None:
        """Take over what a peer reports."""

    def complaint_received(self, endpoint: Endpoint, request_class: RequestClass, age: Ticks) -> None:
        """Note a client's report that an endpoint's answer to an attempt sent `age` ticks ago was wrong."""

    def tally_received(self, tally: OutcomeTally) -> None:
        """Note what the platform counted."""

    def health_checked(
        self, endpoint: Endpoint, outcome: AttemptOutcome, elapsed: Ticks, report: LoadReport | None
    ) -> None:
        """Note the outcome of a health check after `elapsed` ticks."""
