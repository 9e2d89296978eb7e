"""What runners, relays and the store of steps say to each other, in JSON: docs/protocols.md has the calls."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lanelead.protocols.feeds import NonNegativeFloat, NonNegativeInt

Direction = Literal["apply", "undo"]
EntryKind = Literal["plan", "closing", "intent", "done", "failed", "resumed", "dropped"]
Ident = Annotated[str, Meta(pattern=r"^[A-Za-z_][A-Za-z0-9_]{0,63}$")]


class LogEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One line of the record. `closed`: of an intent, the closing that it waited for."""

    kind: EntryKind
    step: str = ""
    way: Direction = "apply"
    closed: NonNegativeInt = 0
    parts: NonNegativeInt = 0  # of a failure: the parts whose effect was had
    text: Annotated[str, Meta(max_length=1 << 20)] = ""  # of a failure: the reason; of a plan: all of it


class LoggedEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry with its number, the token it was written under, and the store's time (for people only)."""

    seq: NonNegativeInt
    token: NonNegativeInt
    runner: str
    at_ms: NonNegativeFloat
    entry: LogEntry


class LeaseRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    runner: Annotated[str, Meta(min_length=1, max_length=64)]
    ttl_ms: Annotated[float, Meta(gt=0, le=3_600_000)]


class Lease(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    token: NonNegativeInt  # grows with every lease: what was sent under an earlier one changes nothing


class AppendRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    token: NonNegativeInt
    after: NonNegativeInt  # the last entry that the writer knows
    entry: LogEntry


class AppendReply(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seq: NonNegativeInt


class BatchRange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A batch: at most so many rows of a table whose key is above `low`."""

    table: Ident
    key: Ident
    rows: Annotated[int, Meta(ge=1, le=1_000_000)]
    low: int | None = None


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The effect of one part of a step; its mark is (intent, part), written in the same transaction."""

    token: NonNegativeInt
    intent: NonNegativeInt
    part: NonNegativeInt
    statements: Annotated[tuple[Annotated[str, Meta(max_length=65536)], ...], Meta(min_length=1, max_length=256)]
    span: BatchRange | None = None


class EffectProgress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What effects of an intent were had: so many parts, up to a key, and whether any are left."""

    parts: NonNegativeInt
    cursor: int | None = None
    finished: bool = False
    rows: NonNegativeInt = 0


class AcknowledgeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A relay sends nothing more, and has nothing open, that an entry up to `seq` forbids."""

    relay: NonNegativeInt
    seq: NonNegativeInt


class ForgetRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator's word that a relay is gone for good, and need not be waited for."""

    token: NonNegativeInt
    relay: NonNegativeInt


class UnacknowledgedRelays(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    relays: list[NonNegativeInt]


class MigrationLogPage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    entries: list[LoggedEntry]
    last: NonNegativeInt


class RejectedCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Why nothing was changed. `held`: another runner has the lease; `fenced`: a later lease was given;
    `behind`: the record has grown; `unseen`: relays have not seen the closing; `failed`: the store could not
    do it; `no intent`: no such intent is written."""

    why: Literal["held", "fenced", "behind", "unseen", "failed", "no intent", "malformed"]
    text: str = ""


class SchemaCheck(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A unit asks whether its build's write fits the schema as it stands; only stand-ins do."""

    build: NonNegativeInt
    op: str
    write: str
