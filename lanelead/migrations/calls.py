"""The calls of a runner to the migration store, and their replies. Values only."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from lanelead.protocols.migrations import ApplyRequest, EffectProgress, LogEntry

# Calls; `name` is their name in logs and at the points where tests interrupt a runner.


@dataclass(frozen=True)
class AcquireLease:
    """Acquire a lease, in place of any that this runner has."""

    name: ClassVar = "acquire_lease"


@dataclass(frozen=True)
class ReadLog:
    """Read the log's entries after `since_seq`."""

    name: ClassVar = "read_log"

    since_seq: int


@dataclass(frozen=True)
class AppendEntry:
    """Append an entry right after `after_seq`."""

    name: ClassVar = "append_entry"

    token: int
    after_seq: int
    entry: LogEntry


@dataclass(frozen=True)
class QueryProgress:
    """Ask how much of an intent has been applied."""

    name: ClassVar = "query_progress"

    intent_seq: int


@dataclass(frozen=True)
class ApplyPart:
    """Apply one part of a step. `batched`: it is a batch of a backfill."""

    name: ClassVar = "apply_part"

    request: ApplyRequest
    timeout_ms: float
    batched: bool


@dataclass(frozen=True)
class QueryUnacknowledged:
    """Ask which relays have not acknowledged a barrier."""

    name: ClassVar = "query_unacknowledged"

    barrier_seq: int


@dataclass(frozen=True)
class RunResult:
    """Nothing more to call: the runner has reached its goal, or can't."""

    succeeded: bool
    message: str


PendingCall = AcquireLease | ReadLog | AppendEntry | QueryProgress | ApplyPart | QueryUnacknowledged | RunResult

# Replies


@dataclass(frozen=True)
class LeaseGranted:
    """A lease with its fencing token."""

    token: int


@dataclass(frozen=True)
class CallCompleted:
    """The log was read, or the entry appended."""


@dataclass(frozen=True)
class CallRejected:
    """The store changed nothing. `reason`: see protocols.migrations.RejectedCall."""

    reason: str
    message: str = ""


@dataclass(frozen=True)
class OutcomeUnknown:
    """The call may have been carried out, or may be later."""

    message: str = ""


@dataclass(frozen=True)
class WaitingForRelays:
    """The relays that have not acknowledged the barrier; empty: all have."""

    relays: tuple[int, ...]


Reply = LeaseGranted | CallCompleted | CallRejected | OutcomeUnknown | WaitingForRelays | EffectProgress
