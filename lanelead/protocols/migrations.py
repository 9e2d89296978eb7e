"""The messages between migration runners, relays and the migration store, in JSON.

docs/protocols.md lists the calls that carry them. A field whose name here differs from the name on the wire is mapped
by `rename` at its class.
"""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta

from lanelead.protocols.feeds import NonNegativeFloat, NonNegativeInt

Direction = Literal["apply", "undo"]
EntryKind = Literal["plan", "closing", "intent", "done", "failed", "resumed", "dropped"]
RejectionReason = Literal["held", "fenced", "behind", "unseen", "failed", "no intent", "malformed"]
BARRIER: Final = "closing"  # the entry after which relays withhold the builds that the step ends, and acknowledge
UNACKNOWLEDGED: Final = "unseen"
Ident = Annotated[str, Meta(pattern=r"^[A-Za-z_][A-Za-z0-9_]{0,63}$")]
Statement = Annotated[str, Meta(max_length=65536)]


class LogEntry(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"direction": "way", "barrier_seq": "closed", "parts_applied": "parts"},
):
    """One entry of the migration log.

    barrier_seq: of an intent, the barrier entry that it waited for; 0 where it needs none.
    parts_applied: of a failure, the number of parts whose effect is in the database.
    text: of a failure, the reason; of a plan, the whole plan as JSON.
    """

    kind: EntryKind
    step: str = ""
    direction: Direction = "apply"
    barrier_seq: NonNegativeInt = 0
    parts_applied: NonNegativeInt = 0
    text: Annotated[str, Meta(max_length=1 << 20)] = ""


class LoggedEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry with its sequence number, the token it was written under, and the store's time (for display only)."""

    seq: NonNegativeInt
    token: NonNegativeInt
    runner: str
    at_ms: NonNegativeFloat
    entry: LogEntry


class LeaseRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks for the lease, for `ttl_ms` milliseconds from the last renewal."""

    runner: Annotated[str, Meta(min_length=1, max_length=64)]
    ttl_ms: Annotated[float, Meta(gt=0, le=3_600_000)]


class Lease(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The fencing token of a lease. It grows with every lease: calls under an earlier one change nothing."""

    token: NonNegativeInt


class AppendRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"after_seq": "after"}):
    """Appends an entry right after `after_seq`, the last entry that the writer knows."""

    token: NonNegativeInt
    after_seq: NonNegativeInt
    entry: LogEntry


class AppendReply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The sequence number of the appended entry."""

    seq: NonNegativeInt


class BatchRange(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"max_rows": "rows", "after_key": "low"}
):
    """One batch of a backfill: at most `max_rows` rows of a table whose key is above `after_key` (None: all)."""

    table: Ident
    key: Ident
    max_rows: Annotated[int, Meta(ge=1, le=1_000_000)]
    after_key: int | None = None


class ApplyRequest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"intent_seq": "intent", "batch_range": "span"}
):
    """Applies one part of a step, once: its effect is recorded as (intent, part) in the same transaction."""

    token: NonNegativeInt
    intent_seq: NonNegativeInt
    part: NonNegativeInt
    statements: Annotated[tuple[Statement, ...], Meta(min_length=1, max_length=256)]
    batch_range: BatchRange | None = None


class EffectProgress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an intent has changed so far: parts, the last key of a backfill, whether it is complete, rows."""

    parts: NonNegativeInt
    cursor: int | None = None
    finished: bool = False
    rows: NonNegativeInt = 0


class AcknowledgeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A relay's promise that it sends nothing, and has nothing in flight, that an entry up to `seq` forbids."""

    relay: NonNegativeInt
    seq: NonNegativeInt


class ForgetRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's statement that a relay is gone for good: barriers no longer wait for it."""

    token: NonNegativeInt
    relay: NonNegativeInt


class UnacknowledgedRelays(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The relays that have not acknowledged a barrier entry."""

    relays: list[NonNegativeInt]


class MigrationLogPage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"last_seq": "last"}):
    """Some consecutive entries of the log, and the sequence number of the log's last entry."""

    entries: list[LoggedEntry]
    last_seq: NonNegativeInt


class RejectedCall(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"reason": "why", "message": "text"}
):
    """Why a call changed nothing.

    held: another runner has the lease
    fenced: a later lease was granted
    behind: the log has grown
    unseen: relays have not acknowledged the barrier
    failed: the store could not do it
    no intent: no such intent is in the log
    malformed: the call could not be read
    """

    reason: RejectionReason
    message: str = ""


class SchemaCheck(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks whether a build's write fits the current schema. Only emulated endpoints send it."""

    build: NonNegativeInt
    op: str
    write: str
