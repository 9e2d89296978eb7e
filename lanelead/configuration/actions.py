"""What a follower of the configuration wants done: its host carries it out, and tells what came of it."""

from __future__ import annotations

from dataclasses import dataclass

from lanelead.protocols.configuration import AppliedVersion


@dataclass(frozen=True)
class Location:
    """Where a source listens, or a relay stands."""

    zone: str = ""
    region: str = ""
    address: str = ""


@dataclass(frozen=True)
class OpenWatch:
    """Open a watch at `source` from version `since`, whose document has `digest`."""

    source: int
    since: int
    digest: str


@dataclass(frozen=True)
class CloseWatch:
    """End the watch, and what else was asked of its source."""

    source: int


@dataclass(frozen=True)
class FetchDigestTree:
    """Fetch the digest tree of a source's snapshot."""

    source: int


@dataclass(frozen=True)
class FetchBuckets:
    """Fetch whole buckets, by number, of a source's snapshot of `version`."""

    source: int
    version: int
    numbers: tuple[int, ...]


@dataclass(frozen=True)
class VersionApplied:
    """A version has come into force; these keys have changed since the one before."""

    version: int
    keys: tuple[str, ...]


@dataclass(frozen=True)
class ReportApplied:
    """Report to `source` which version this relay has applied."""

    source: int
    applied: AppliedVersion


@dataclass(frozen=True)
class LogEvent:
    """Write a log line, with its reason and what an operator can do."""

    text: str
    reason: str
    remedy: str


Action = OpenWatch | CloseWatch | FetchDigestTree | FetchBuckets | VersionApplied | ReportApplied | LogEvent
