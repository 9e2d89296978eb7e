"""The actions that a follower requests. Its host carries them out and reports the results."""

from __future__ import annotations

from dataclasses import dataclass

from lanelead.protocols.configuration import AppliedVersion


@dataclass(frozen=True)
class Location:
    """The zone and region of a source or a relay, and the address (HOST:PORT) at which a source listens."""

    zone: str = ""
    region: str = ""
    address: str = ""


@dataclass(frozen=True)
class OpenWatch:
    """Open a watch of `source` (an index) from version `since`; `digest` is that of the document at this version."""

    source: int
    since: int
    digest: str


@dataclass(frozen=True)
class CloseWatch:
    """Close the watch of `source` and cancel all other calls to it, except reports."""

    source: int


@dataclass(frozen=True)
class FetchDigestTree:
    """Fetch the digest tree of the snapshot that `source` serves."""

    source: int


@dataclass(frozen=True)
class FetchBuckets:
    """Fetch the buckets with these numbers, whole, from the snapshot of `version` at `source`."""

    source: int
    version: int
    numbers: tuple[int, ...]


@dataclass(frozen=True)
class VersionApplied:
    """Put a version into force; `keys` are those whose entries changed since the one before."""

    version: int
    keys: tuple[str, ...]


@dataclass(frozen=True)
class ReportApplied:
    """Report to `source` which version this relay has applied."""

    source: int
    applied: AppliedVersion


@dataclass(frozen=True)
class LogEvent:
    """Write a log line: the event, its reason, and what an operator can do about it."""

    text: str
    reason: str
    remedy: str


Action = OpenWatch | CloseWatch | FetchDigestTree | FetchBuckets | VersionApplied | ReportApplied | LogEvent
