"""What machines of the configuration hand each other whole, and what they tell operators of themselves."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from lanelead.protocols.configuration import FORM, Applied, Change, Digest, Entry, Ident
from lanelead.protocols.records import Positive, Whole

PAGES = 16  # of a snapshot, each with as many buckets


class Decided(msgspec.Struct, frozen=True):
    """A change that a majority has accepted. `group` as in Prepare."""

    change: Change
    group: str = ""


class Made(msgspec.Struct, frozen=True):
    """A change that was made: `mark` is a hash of its entries."""

    ident: Ident
    version: Whole
    mark: str


class Snapshot(msgspec.Struct, frozen=True):
    """One page of the document at one version. The first has the changes made of late, oldest first.
    `changed`: the version of each key's last change, keys that are gone too."""

    history: str
    version: Whole
    digest: Digest
    page: Annotated[int, Meta(ge=0, lt=PAGES)]
    entries: list[Entry]
    changed: dict[str, Whole] = {}
    floor: Whole = 0  # keys that `changed` lacks may have changed up to this version
    made: list[Made] = []
    form: int = FORM


class Peer(msgspec.Struct, frozen=True):
    """Another machine, as this one last heard of it; `age_ms` is absent where it never did."""

    machine: Whole
    address: str
    zone: str
    region: str
    voter: bool
    head: Whole = 0
    age_ms: Positive | None = None
    empty: bool = False


class Status(msgspec.Struct, frozen=True):
    machine: Whole
    zone: str
    region: str
    voter: bool
    history: str
    head: Whole
    digest: str
    behind_ms: Positive
    entries: Whole
    abstains: bool
    fault: str  # of its store; empty: none
    proposals: Whole  # waiting
    peers: list[Peer]
    relays: list[Applied] = []  # that follow by this machine, as they last told
    form: int = FORM
