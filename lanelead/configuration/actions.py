"""What a follower of the configuration wants done: its host carries it out, and tells what came of it."""

from __future__ import annotations

from dataclasses import dataclass

from lanelead.protocols.configuration import AppliedVersion


@dataclass(frozen=True)
class Place:
    """Where a source listens, or a relay stands."""

    zone: str = ""
    region: str = ""
    address: str = ""


@dataclass(frozen=True)
class Watch:
    source: int
    since: int
    digest: str


@dataclass(frozen=True)
class Leave:
    """End the watch, and what else was asked of its source."""

    source: int


@dataclass(frozen=True)
class AskOutline:
    source: int


@dataclass(frozen=True)
class AskBuckets:
    source: int
    version: int
    numbers: tuple[int, ...]


@dataclass(frozen=True)
class InForce:
    """A version has come into force; these keys have changed since the one before."""

    version: int
    keys: tuple[str, ...]


@dataclass(frozen=True)
class Told:
    source: int
    applied: AppliedVersion


@dataclass(frozen=True)
class Note:
    text: str
    reason: str
    remedy: str


Act = Watch | Leave | AskOutline | AskBuckets | InForce | Told | Note
