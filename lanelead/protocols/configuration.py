"""The messages that configuration replicas exchange with relays, operators and each other: JSON over HTTP/1.1.

The configuration is a document: a table of entries, each a key (`kind/name`) with a value. A change sets or removes
entries and makes the next version of the document; versions are consecutive numbers. docs/configuration.md lists the
calls.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from lanelead.protocols.feeds import NonNegativeFloat, NonNegativeInt

FORMAT_VERSION = 1  # format of these messages; a field that an earlier format lacks has a default here
MAX_CHANGE_ENTRIES = 1000  # maximum number of entries in one change
MAX_VALUE_BYTES = 16384  # maximum size of one value, encoded as JSON
MAX_CHANGE_BYTES = 262144  # maximum total size of the keys and values of one change
BUCKET_COUNT = 4096  # buckets of a document: a hash of its key assigns an entry to one; each bucket has a digest
Key = Annotated[str, Meta(min_length=3, max_length=200, pattern=r"^[a-z][a-z0-9_-]{0,31}/.+$")]
Ident = Annotated[str, Meta(min_length=8, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
History = Annotated[str, Meta(max_length=64, pattern=r"^[A-Za-z0-9._-]*$")]  # empty: no change is decided yet
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}$")]

# JSON keys of the fields, in this module and configuration_replicas, whose names differ from their keys.
WIRE_NAMES = {
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
    """A key and its value, any JSON. An absent or null value removes the key."""

    key: Key
    value: msgspec.Raw = msgspec.Raw(b"null")


class Change(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """One version's change of the document.

    ident: chosen by the publisher; a change that is proposed twice with the same ident is made once.
    digest: digest of the whole document after this change.
    """

    version: NonNegativeInt
    ident: Ident
    digest: Digest
    entries: Annotated[list[Entry], Meta(min_length=1, max_length=MAX_CHANGE_ENTRIES)]
    requested_at_ms: NonNegativeFloat = 0.0  # Unix time at which the change was requested


# Messages between a relay (the follower) and a replica (its source)


class WatchLine(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """One line of a watch: a heartbeat, consecutive changes, or the notice that the follower has to repair.

    history: identifies the sequence of versions by the ident of its first change; a follower ignores other histories.
    committed_version: the newest version that the source knows.
    staleness_ms: time since a majority of the replicas last confirmed to the source that no newer version exists.
    resume_version: only in the first line, the version whose digest the follower gave in its request.
    """

    history: History
    committed_version: NonNegativeInt
    staleness_ms: NonNegativeFloat
    changes: list[Change] = []
    needs_repair: bool = False
    resume_version: NonNegativeInt | None = None
    format_version: int = FORMAT_VERSION


class DigestTree(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """The digests of a snapshot's buckets, concatenated: 16 hexadecimal digits for each bucket."""

    history: History
    version: NonNegativeInt
    digest: Digest
    bucket_digests: Annotated[str, Meta(max_length=BUCKET_COUNT * 16)]
    format_version: int = FORMAT_VERSION


class Buckets(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """All entries of some buckets of a snapshot, by bucket number."""

    version: NonNegativeInt
    buckets: dict[int, list[Entry]]
    format_version: int = FORMAT_VERSION


class AppliedVersion(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """The version that a relay has applied and the keys it rejected; sent after changes and periodically."""

    relay: NonNegativeInt
    version: NonNegativeInt
    rejected_keys: Annotated[list[str], Meta(max_length=20)] = []
    rejections: NonNegativeInt = 0  # number of rejected values since the relay's start
    zone: Annotated[str, Meta(max_length=64)] = ""
    format_version: int = FORMAT_VERSION


# Messages between an operator and a replica


class Proposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A change that an operator asks for.

    expected_versions: for some keys, a version; the proposal is rejected if a later version has changed the key.
    """

    ident: Ident
    entries: Annotated[list[Entry], Meta(min_length=1, max_length=MAX_CHANGE_ENTRIES)]
    expected_versions: dict[str, NonNegativeInt] = {}


class AcceptedProposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """The proposal was committed as this version."""

    version: NonNegativeInt


class RejectedProposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """Why a proposal, or another call, was not carried out.

    With the reason `unknown` the change may or may not be made: propose it again with the same ident. With every other
    reason nothing was changed.
    """

    reason: Literal["malformed", "stale", "unknown", "overloaded", "abstains"]
    text: str


# Messages between replicas, which decide each version by Paxos: Lamport, "Paxos Made Simple" (2001)


class Ballot(msgspec.Struct, frozen=True, order=True, rename=WIRE_NAMES):
    """A Paxos ballot, ordered by its number and then by the proposing replica."""

    number: NonNegativeInt = 0
    replica: NonNegativeInt = 0


class Prepare(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """Phase 1 of Paxos: asks a voter to promise a ballot.

    epoch: a hash of the sender's history and set of voters; a voter whose epoch differs abstains.
    """

    version: NonNegativeInt  # the version to decide: the sender's committed version plus one
    ballot: Ballot
    epoch: str = ""


class Promise(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A voter's reply to Prepare.

    outcome:
        promised: the voter accepts no lower ballot from now on; `accepted` and `change` are what it has accepted so far
        refused: it has promised at least this ballot already, namely `ballot`
        behind: it lacks versions before the one to decide
        ahead: the version is decided already; `committed_version` is the newest that the voter knows
        abstains: it may not vote, because it lost its disk, is no voter or has another epoch
    """

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
    """A voter's reply to Accept: `accepted`, or one of the other outcomes of Promise."""

    outcome: Literal["accepted", "refused", "behind", "ahead", "abstains"]
    committed_version: NonNegativeInt
    ballot: Ballot = Ballot()


class Heartbeat(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A replica's heartbeat to another one, and the reply to it."""

    replica: NonNegativeInt
    history: str  # empty: no change is decided yet
    committed_version: NonNegativeInt
    empty: bool = False  # a voter that started without stored data and still abstains
    ready: bool = False  # an empty voter that has seen all other voters empty, as in the first start of the replicas
    voters: Annotated[list[NonNegativeInt], Meta(max_length=64)] = []  # from the replica's settings
    format_version: int = FORMAT_VERSION


class LogPage(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """Consecutive decided changes from the requested version on, up to a limit.

    truncated: the requested changes are no longer stored; the replica has to fetch a snapshot instead.
    """

    history: str
    committed_version: NonNegativeInt
    changes: list[Change]
    truncated: bool = False
