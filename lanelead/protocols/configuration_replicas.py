"""What configuration replicas store and send to each other, and their status for operators."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from lanelead.protocols.configuration import FORMAT_VERSION, WIRE_NAMES, AppliedVersion, Change, Digest, Entry, Ident
from lanelead.protocols.feeds import NonNegativeFloat, NonNegativeInt

SNAPSHOT_PAGES = 16  # of a snapshot, each with as many buckets


class DecidedChange(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A change that a majority has accepted. `epoch` as in Prepare."""

    change: Change
    epoch: str = ""


class CompletedProposal(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """A change that was made: `entries_hash` is a hash of its entries."""

    ident: Ident
    version: NonNegativeInt
    entries_hash: str


class SnapshotPage(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """One page of the document at one version. The first has the changes made of late, oldest first.
    `changed`: the version of each key's last change, keys that are gone too."""

    history: str
    version: NonNegativeInt
    digest: Digest
    page: Annotated[int, Meta(ge=0, lt=SNAPSHOT_PAGES)]
    entries: list[Entry]
    changed: dict[str, NonNegativeInt] = {}
    pruned_version: NonNegativeInt = 0  # keys that `changed` lacks may have changed up to this version
    completed: list[CompletedProposal] = []
    format_version: int = FORMAT_VERSION


class PeerStatus(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """Another replica, as this one last heard from it; `heartbeat_age_ms` is absent where it never did."""

    replica: NonNegativeInt
    address: str
    zone: str
    region: str
    voter: bool
    committed_version: NonNegativeInt = 0
    heartbeat_age_ms: NonNegativeFloat | None = None
    empty: bool = False


class ReplicaStatus(msgspec.Struct, frozen=True, rename=WIRE_NAMES):
    """What a replica reports of itself, its peers and the relays that follow it."""

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
    fault: str  # of its store; empty: none
    proposals: NonNegativeInt  # waiting
    peers: list[PeerStatus]
    relays: list[AppliedVersion] = []  # that follow this replica, as they last reported
    format_version: int = FORMAT_VERSION
