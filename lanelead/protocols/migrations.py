"""The JSON messages that migration runners and relays exchange with the migration store.

docs/protocols.md lists the calls that carry them. Where a field's name differs from its JSON key, the `rename`
argument of the class has the key.
"""

from __future__ import annotations

from typing import Annotated, Final, Literal

import msgspec
from msgspec import Meta

from lanelead.protocols.feeds import NonNegativeFloat, NonNegativeInt

Direction = Literal["apply", "undo"]
EntryKind = Literal["plan", "closing", "intent", "done", "failed", "resumed", "dropped"]
RejectionReason = Literal["held", "fenced", "behind", "unseen", "failed", "no intent", "malformed"]
# The kind of a barrier entry: relays stop sending to the builds that the step excludes, and then acknowledge the entry.
BARRIER: Final = "closing"
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

    direction: whether the step is applied or undone.
    barrier_seq: in an intent, the sequence number of the barrier entry that it waited for; 0 if it needs none.
    parts_applied: in a failure, the number of parts whose effect is in the database.
    text: in a failure, the reason; in a plan, the whole plan as JSON.
    """

    kind: EntryKind
    step: str = ""
    direction: Direction = "apply"
    barrier_seq: NonNegativeInt = 0
    parts_applied: NonNegativeInt = 0
    text: Annotated[str, Meta(max_length=1 << 20)] = ""


class LoggedEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A stored entry of the log.

    seq: its sequence number.
    token: the fencing token under which it was written.
    at_ms: the store's time, for display only.
    """

    seq: NonNegativeInt
    token: NonNegativeInt
    runner: str
    at_ms: NonNegativeFloat
    entry: LogEntry


class LeaseRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests the lease, which expires `ttl_ms` milliseconds after its last renewal."""

    runner: Annotated[str, Meta(min_length=1, max_length=64)]
    ttl_ms: Annotated[float, Meta(gt=0, le=3_600_000)]


class Lease(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A granted lease. Its fencing token is higher than all earlier ones; calls with an earlier token are rejected."""

    token: NonNegativeInt


class AppendRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"after_seq": "after"}):
    """Appends an entry if the last one in the log is `after_seq`, the last that the writer knows."""

    token: NonNegativeInt
    after_seq: NonNegativeInt
    entry: LogEntry


class AppendReply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The sequence number of the appended entry."""

    seq: NonNegativeInt


class BatchRange(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"max_rows": "rows", "after_key": "low"}
):
    """One batch of a backfill: the next rows of a table in the order of a key column.

    max_rows: maximum number of rows.
    after_key: only rows with a higher key belong to the batch; None: the batch starts with the first row.
    """

    table: Ident
    key: Ident
    max_rows: Annotated[int, Meta(ge=1, le=1_000_000)]
    after_key: int | None = None


class ApplyRequest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"intent_seq": "intent", "batch_range": "span"}
):
    """Applies one part of a step exactly once: the store records (intent, part) in the same transaction."""

    token: NonNegativeInt
    intent_seq: NonNegativeInt
    part: NonNegativeInt
    statements: Annotated[tuple[Statement, ...], Meta(min_length=1, max_length=256)]
    batch_range: BatchRange | None = None


class EffectProgress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How far an intent has been applied.

    parts: number of parts applied.
    cursor: last key of a backfill.
    finished: whether all parts are applied.
    rows: number of rows changed.
    """

    parts: NonNegativeInt
    cursor: int | None = None
    finished: bool = False
    rows: NonNegativeInt = 0


class AcknowledgeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A relay's acknowledgement of the barrier entry `seq`.

    The relay has no attempt in flight to a build that entries up to `seq` exclude, and sends no more of them.
    """

    relay: NonNegativeInt
    seq: NonNegativeInt


class ForgetRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Removes a relay that an operator knows to be gone for good, so that barriers no longer wait for it."""

    token: NonNegativeInt
    relay: NonNegativeInt


class UnacknowledgedRelays(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The relays that have not acknowledged a barrier entry."""

    relays: list[NonNegativeInt]


class MigrationLogPage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"last_seq": "last"}):
    """Consecutive entries of the log and the sequence number of the last entry of the whole log."""

    entries: list[LoggedEntry]
    last_seq: NonNegativeInt


class RejectedCall(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"reason": "why", "message": "text"}
):
    """Why a call was rejected without any effect.

    held: another runner has the lease
    fenced: a later lease was granted since
    behind: the log has entries after the last one that the caller knows
    unseen: some relays have not acknowledged the barrier
    failed: the database returned an error
    no intent: the log has no such intent
    malformed: the call could not be decoded
    """

    reason: RejectionReason
    message: str = ""


class SchemaCheck(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Checks whether a build's write statement fits the current schema. Only emulated endpoints send it."""

    build: NonNegativeInt
    op: str
    write: str
