"""The calls of a runner to the migration store, and the replies to them, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from lanelead.protocols.migrations import ApplyRequest, EffectProgress, LogEntry

# Calls. `name` identifies a call in log events and in the names of the points at which tests interrupt a runner.


@dataclass(frozen=True)
class AcquireLease:
    """Acquire a new lease, which replaces any lease that this runner holds."""

    name: ClassVar = "acquire_lease"


@dataclass(frozen=True)
class ReadLog:
    """Read the log entries after `since_seq`."""

    name: ClassVar = "read_log"

    since_seq: int


@dataclass(frozen=True)
class AppendEntry:
    """Append an entry to the log, whose last entry must be `after_seq`."""

    name: ClassVar = "append_entry"

    token: int
    after_seq: int
    entry: LogEntry


@dataclass(frozen=True)
class QueryProgress:
    """Query how much of an intent has been applied."""

    name: ClassVar = "query_progress"

    intent_seq: int


@dataclass(frozen=True)
class ApplyPart:
    """Apply one part of a step; `batched` if the part is a batch of a backfill."""

    name: ClassVar = "apply_part"

    request: ApplyRequest
    timeout_ms: float
    batched: bool


@dataclass(frozen=True)
class QueryUnacknowledged:
    """Query which relays have not acknowledged a barrier."""

    name: ClassVar = "query_unacknowledged"

    barrier_seq: int


@dataclass(frozen=True)
class RunResult:
    """The end of a run: the runner has reached its goal, or can't reach it."""

    succeeded: bool
    message: str


RunnerAction = AcquireLease | ReadLog | AppendEntry | QueryProgress | ApplyPart | QueryUnacknowledged | RunResult

# Replies


@dataclass(frozen=True)
class LeaseGranted:
    """The lease was granted with a fencing token."""

    token: int


@dataclass(frozen=True)
class CallCompleted:
    """The log was read, or the entry appended."""


@dataclass(frozen=True)
class CallRejected:
    """The store rejected the call and changed nothing; for `reason` see protocols.migrations.RejectedCall."""

    reason: str
    message: str = ""


@dataclass(frozen=True)
class OutcomeUnknown:
    """No reply was received: the call may have been executed, or may still be."""

    message: str = ""


@dataclass(frozen=True)
class BarrierStatus:
    """The relays that have not acknowledged the barrier; empty if all have."""

    relays: tuple[int, ...]


Reply = LeaseGranted | CallCompleted | CallRejected | OutcomeUnknown | BarrierStatus | EffectProgress
