"""The interface between the decisions of a relay and their host; it contains types only.

The host calls the methods of `Decisions` as events occur, and carries out the actions that they append to `actions`.
Times are whole tenths of a millisecond (`Ticks`). Objects refer to each other directly; a host keeps its own table from
received ids to these objects.
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

MAX_IN_FLIGHT_COUNTS = 83  # the most in-flight counts in one gossip message


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    ERROR = "error"  # the endpoint executed it and failed
    REJECTED = "rejected"  # by the endpoint, before execution
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"  # the connection closed before the response was complete
    CANCELLED = "cancelled"  # by this relay
    NOT_SENT = "not sent"  # this relay did not send it, or not all of it


class EndpointStatus(Enum):
    """The status of an endpoint; only ready endpoints get new attempts."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class RolloutPhase(Enum):
    """The phase of the newest build's rollout."""

    CANARY = 0
    ROLLING_BACK = 1
    PROMOTED = 2
    ROLLED_BACK = 3


class Verdict(Enum):
    """A relay's vote on a canary; abstaining withdraws an earlier vote to hold."""

    ABSTAIN = 0
    PROMOTE = 1
    HOLD = 2
    ROLL_BACK = 3


class UpdateScope(Enum):
    """Which endpoints an update of the endpoint list covers."""

    DELTA = "changes"  # only the endpoints that changed
    SNAPSHOT = "full"  # all endpoints; what it does not name is removed
    CACHED = "cached"  # all endpoints, as stored by an earlier run of this relay
    FAILED = "failed"  # a poll or subscription failed; the previous list stays valid


# Endpoints, requests and reports


class Endpoint:
    """One endpoint, as the endpoint list last described it."""

    __slots__ = ("build", "capacity", "cell", "kind", "long_id", "short_id", "started_at", "status", "zone")

    def __init__(self, short_id: int) -> None:
        """Create an endpoint that the endpoint list has not described yet."""
        self.short_id = short_id  # the same number at every relay, for messages between relays
        self.long_id = 0  # set by the host to tell endpoints with the same short id apart; 0 if unique
        self.zone = ""
        self.cell = 0
        self.kind = ""
        self.started_at: Ticks = 0  # 0 if long ago
        self.build = 0
        self.capacity = 1.0  # relative to other endpoints
        self.status = EndpointStatus.REMOVED

    def update(self, record: EndpointRecord) -> None:
        """Apply a record of the endpoint list."""
        self.zone = record.zone
        self.cell = record.cell
        self.kind = record.kind
        self.status = record.status
        self.started_at = record.started_at
        self.build = record.build
        self.capacity = record.capacity


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One entry of the endpoint list: an endpoint and its properties."""

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
    hint: Ticks | None = None  # the expected work as time on a standard core, None if unknown
    is_retry: bool = False  # the client marks it as a repeat of an earlier request
    is_write: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    accepts_attempts: bool = True  # whether further attempts may begin


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve a request at an endpoint."""

    request: Request
    endpoint: Endpoint
    number: int  # counts the attempts of the request from 0
    sent_at: Ticks
    timeout: Ticks  # counted from `sent_at`
    outcome: AttemptOutcome | None = None  # None while it is in flight
    streaming: bool = False  # the response has begun to reach the client


@dataclass(slots=True, frozen=True)
class RolloutState:
    """The state of the newest build's rollout; if it answers a vote that failed, only `outcome` is valid."""

    build: int
    stage: int
    phase: RolloutPhase
    exposure_limit: float  # the share (0 to 1) of requests that the canary may get
    age: Ticks  # the time since the current stage began, or the phase if that changed later
    answers_vote: bool  # it answers this relay's vote
    outcome: AttemptOutcome  # of the vote, if it answers one


@dataclass(slots=True, frozen=True)
class OutcomeTally:
    """The platform's own counts for a build and request class; decisions may ignore it."""

    build: int
    request_class: RequestClass
    attempts: int
    failures: int
    latency: Ticks
    age: Ticks


@dataclass(slots=True)
class OutcomeObservation:
    """Outcomes at an endpoint that one relay reports to another, with the number of faults of each kind."""

    endpoint: Endpoint
    request_class: RequestClass
    build: int
    outcomes: int
    faults: list[int]


@dataclass(slots=True, frozen=True)
class InFlightCount:
    """The number of attempts in flight at an endpoint, from the reporting relay or from all relays."""

    endpoint: Endpoint
    attempts: int


@dataclass(slots=True, frozen=True)
class InFlightBound:
    """An upper bound of attempts in flight at endpoints whose counts were omitted or could not be decoded."""

    attempts: int


@dataclass(slots=True, frozen=True)
class FleetLatency:
    """The recent mean latency over the whole fleet, by Little's law: attempts in flight over the rate of responses."""

    latency: Ticks


@dataclass(slots=True, frozen=True)
class CompletionCount:
    """The number of responses that the reporting relay received in the last second."""

    count: int


# A message with such entries replaces all counts that its sender reported before.
InFlightEntry = InFlightCount | InFlightBound
GossipEntry = OutcomeObservation | InFlightEntry | FleetLatency | CompletionCount


# Actions


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send an attempt to its endpoint."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt whose response is no longer needed."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Reject a request that no endpoint executed; the client may retry after `retry_after` ticks."""

    request: Request
    retry_after: Ticks


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Fail a request that an endpoint may have executed."""

    request: Request


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Call `timer_fired` at time `at` with the request, or with None for the relay's periodic update."""

    at: Ticks
    request: Request | None


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Send a health check to an endpoint, and report its outcome with `health_checked`."""

    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close all idle connections to an endpoint."""

    endpoint: Endpoint


@dataclass(slots=True, frozen=True)
class SendGossip:
    """Send entries to a peer."""

    peer: int | None  # None: all peers
    entries: Sequence[GossipEntry]


@dataclass(slots=True, frozen=True)
class CastVote:
    """Cast this relay's vote on a stage of a build; report the answer with `rollout_updated`."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to the endpoint list, or end the subscription."""

    enabled: bool


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Request the endpoint list once."""


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
LoadReport = dict[str, float]  # load figures that an endpoint reports, by name


class Decisions(Protocol):
    """The methods that a host calls, after it has set `now`.

    After each call the host carries out `actions` in order and clears the list.
    """

    now: Ticks
    actions: list[Action]
    parameters: DecisionParameters

    def new_endpoint(self, short_id: int) -> Endpoint:
        """Return the object for an endpoint that is new to the host."""

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        """Apply an update of the endpoint list."""

    def request_received(self, request: Request) -> None:
        """Start to route a new request."""

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether a started attempt may be sent now; a host must ask right before its first byte.

        An attempt that may not be sent ends with the outcome `NOT_SENT`.
        """

    def may_complete(self, attempt: Attempt) -> bool:
        """Return whether the rest of an attempt may be sent now; a host must ask before each further write of it.

        An attempt that may not be completed ends with the outcome `NOT_SENT`, or `CANCELLED` if the endpoint may
        execute the part that was sent.
        """

    def response_started(self, attempt: Attempt) -> None:
        """Handle the start of an attempt's response to the client."""

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, elapsed: Ticks, report: LoadReport | None
    ) -> None:
        """Handle the end of an attempt after `elapsed` ticks; `closed` tells that its request has its final answer."""

    def client_left(self, request: Request) -> None:
        """End a request whose client no longer waits for the answer."""

    def attempts_forbidden(self, request: Request) -> None:
        """Begin no further attempt of a request, and give its final answer once none is in flight."""

    def timer_fired(self, request: Request | None) -> None:
        """Handle a timer that was set by `SetTimer`."""

    def rollout_updated(self, rollout: RolloutState) -> None:
        """Apply the state of the newest build's rollout."""

    def gossip_received(self, peer: int, entries: Sequence[GossipEntry]) -> None:
        """Apply the entries that a peer reports."""

    def complaint_received(self, endpoint: Endpoint, request_class: RequestClass, age: Ticks) -> None:
        """Handle a client's report of a wrong answer to an attempt that was sent `age` ticks ago."""

    def tally_received(self, tally: OutcomeTally) -> None:
        """Handle the platform's counts for a build."""

    def health_checked(
        self, endpoint: Endpoint, outcome: AttemptOutcome, elapsed: Ticks, report: LoadReport | None
    ) -> None:
        """Handle the outcome of a health check that took `elapsed` ticks."""
