"""The messages of configuration by version and change, between replicas, relays and operators.

JSON over HTTP/1.1. The document is a table of entries, each a key (`kind/name`) with a value; a change sets
or removes some of them and makes the next version, the last one plus one. docs/configuration.md has calls.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lanelead.protocols.feeds import NonNegativeFloat, NonNegativeInt

FORMAT_VERSION = 1  # of these records; a field that an earlier form lacks has a default here
MAX_CHANGE_ENTRIES = 1000  # of one change, at most
MAX_VALUE_BYTES = 16384  # bytes of one value, as JSON
MAX_CHANGE_BYTES = 262144  # bytes of one change's keys and values
BUCKET_COUNT = 4096  # of a document: entries go by a hash of their key, and each bucket has a digest
Key = Annotated[str, Meta(min_length=3, max_length=200, pattern=r"^[a-z][a-z0-9_-]{0,31}/.+$")]
Ident = Annotated[str, Meta(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
History = Annotated[str, Meta(max_length=64, pattern=r"^[A-Za-z0-9._-]*$")]  # empty: nothing is decided yet
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}$")]

WIRE_NAMES = {  # field names of this module and configuration_replicas, and their JSON keys where those differ
    "bucket_digests": "buckets",
    "committed_version": "head",
    "completed": "made",
    "entries_hash": "mark",
    "epoch": "group",
    "expected_versions": "expect",
    "format_version": "form",
    "heartbeat_age_ms": "age_ms",
    "needs_repair": "repair",
    "non_voting": "abstains",
    "outcome": "word",
    "pruned_version": "floor",
    "reason": "why",
    "rejected_keys": "refused",
    "rejections": "refusals",
    "replica": "machine",
    "requested_at_ms": "at_ms",
    "resume_version": "at",
    "staleness_ms": "behind_ms",
    "truncated": "whole",
}


class Entry(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """`value`: any JSON; absent or null: the key is removed."""

    key: Key
    value: msgspec.Raw = msgspec.Raw(b"null")


class Change(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """`ident` is the publisher's own: the same change proposed twice is made once. `digest`: of the whole
    document once this change is in it."""

    version: NonNegativeInt
    ident: Ident
    digest: Digest
    entries: Annotated[list[Entry], Meta(min_length=1, max_length=MAX_CHANGE_ENTRIES)]
    requested_at_ms: NonNegativeFloat = 0.0  # when it was asked for, Unix time


# Between a relay (a follower) and a replica (a source)


class WatchLine(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """One line of a watch: a heartbeat, changes in order, or that the follower has to repair.

    `history`: which succession of versions this is (the ident of the first change); another one is not
    followed. `committed_version`: the newest version that the source knows. `staleness_ms`: how long ago it last
    heard from a majority of the replicas. `resume_version`: in the first line, the version whose digest the
    follower has named."""

    history: History
    committed_version: NonNegativeInt
    staleness_ms: NonNegativeFloat
    changes: list[Change] = []
    needs_repair: bool = False
    resume_version: NonNegativeInt | None = None
    format_version: int = FORMAT_VERSION


class DigestTree(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """The digests of a snapshot's buckets, hexadecimal, 16 digits each, one after another."""

    history: History
    version: NonNegativeInt
    digest: Digest
    bucket_digests: Annotated[str, Meta(max_length=BUCKET_COUNT * 16)]
    format_version: int = FORMAT_VERSION


class Buckets(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """Some buckets of the snapshot of that version, whole: number and entries."""

    version: NonNegativeInt
    buckets: dict[int, list[Entry]]
    format_version: int = FORMAT_VERSION


class AppliedVersion(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """What a relay has in force, and which keys it could not take: reported after changes, and periodically."""

    relay: NonNegativeInt
    version: NonNegativeInt
    rejected_keys: Annotated[list[str], Meta(max_length=20)] = []
    rejections: NonNegativeInt = 0  # since its start
    zone: Annotated[str, Meta(max_length=64)] = ""
    format_version: int = FORMAT_VERSION


# Between an operator and a replica


class Proposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """`expect`: keys that may only be changed if no version after the one named has changed them."""

    ident: Ident
    entries: Annotated[list[Entry], Meta(min_length=1, max_length=MAX_CHANGE_ENTRIES)]
    expected_versions: dict[str, NonNegativeInt] = {}


class AcceptedProposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """The proposal was committed as this version."""

    version: NonNegativeInt


class RejectedProposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """`unknown`: it may or may not be made; ask again with the same ident. Else nothing was changed."""

    reason: Literal["malformed", "stale", "unknown", "overloaded", "abstains"]
    text: str


# Between replicas: one decision a version, as in Lamport, "Paxos Made Simple" (2001)


class Ballot(msgspec.Struct, frozen=True, order=True, rename=WIRE_NAMES):
    """A Paxos ballot: its number, and the proposing replica where numbers are equal."""

    number: NonNegativeInt = 0
    replica: NonNegativeInt = 0


class Prepare(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """`epoch`: of the history and the set of voters that the sender uses; another one is not voted for."""

    version: NonNegativeInt  # the one that is to be decided: the last known one plus one
    ballot: Ballot
    epoch: str = ""


class Promise(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """`outcome`: promised, refused (a higher ballot was promised: `ballot`), behind (this replica lacks earlier
    versions), ahead (this version is decided; `committed_version` says how far), abstains (it lost its disk)."""

    outcome: Literal["promised", "refused", "behind", "ahead", "abstains"]
    committed_version: NonNegativeInt
    ballot: Ballot = Ballot()
    accepted: Ballot | None = None
    change: Change | None = None


class Accept(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """Phase 2 of Paxos: asks a voter to accept a change at a ballot."""

    ballot: Ballot
    change: Change
    epoch: str = ""


class AcceptReply(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A voter's reply to Accept; the outcomes are those of Promise."""

    outcome: Literal["accepted", "refused", "behind", "ahead", "abstains"]
    committed_version: NonNegativeInt
    ballot: Ballot = Ballot()


class Heartbeat(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A replica's heartbeat to another, and the response to it."""

    replica: NonNegativeInt
    history: str  # empty: none yet
    committed_version: NonNegativeInt
    empty: bool = False  # it started with nothing on its disk, and abstains still
    ready: bool = False  # it has seen all voters empty, and none that votes
    voters: Annotated[list[NonNegativeInt], Meta(max_length=64)] = []  # as its settings have them
    format_version: int = FORMAT_VERSION


class LogPage(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """Decided changes in order, from the version asked for; fewer than there are where they are many.
    `truncated`: the earliest are not kept any more, and a snapshot has to be taken."""

    history: str
    committed_version: NonNegativeInt
    changes: list[Change]
    truncated: bool = False
