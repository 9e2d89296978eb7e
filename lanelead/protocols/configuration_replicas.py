"""Records that configuration replicas store and send to each other, and the status that they report to operators."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from lanelead.protocols.configuration import FORMAT_VERSION, WIRE_NAMES, AppliedVersion, Change, Digest, Entry, Ident
from lanelead.protocols.feeds import NonNegativeFloat, NonNegativeInt

SNAPSHOT_PAGES = 16  # pages of a snapshot, each with the same number of buckets


class DecidedChange(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A change that a majority of the voters has accepted, sent to the other replicas. `epoch` as in Prepare."""

    change: Change
    epoch: str = ""


class CompletedProposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A proposal that was committed as `version`.

    entries_hash: hash of its entries; shows whether a later proposal with the same ident is the same one.
    """

    ident: Ident
    version: NonNegativeInt
    entries_hash: str


class SnapshotPage(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """One page of the document at one version.

    changed: for each key of the page, the version of its last change; the first page also has the removed keys.
    completed: in the first page, the proposals that were committed most recently, oldest first.
    """

    history: str
    version: NonNegativeInt
    digest: Digest
    page: Annotated[int, Meta(ge=0, lt=SNAPSHOT_PAGES)]
    entries: list[Entry]
    changed: dict[str, NonNegativeInt] = {}
    pruned_version: NonNegativeInt = 0  # a key that `changed` lacks may have been removed up to this version
    completed: list[CompletedProposal] = []
    format_version: int = FORMAT_VERSION


class PeerStatus(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """What a replica knows of another one. `heartbeat_age_ms` is None if it never had a heartbeat from it."""

    replica: NonNegativeInt
    address: str
    zone: str
    region: str
    voter: bool
    committed_version: NonNegativeInt = 0
    heartbeat_age_ms: NonNegativeFloat | None = None
    empty: bool = False


class ReplicaStatus(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """The status of a replica, its peers and the relays that follow it."""

    replica: NonNegativeInt
    zone: str
    region: str
    voter: bool
    history: str
    committed_version: NonNegativeInt
    digest: str
    staleness_ms: NonNegativeFloat
    entries: NonNegativeInt
    non_voting: bool
    fault: str  # what is wrong with its store; empty: nothing
    proposals: NonNegativeInt  # number of proposals in its queue
    peers: list[PeerStatus]
    relays: list[AppliedVersion] = []  # last report of each relay that follows this replica
    format_version: int = FORMAT_VERSION
