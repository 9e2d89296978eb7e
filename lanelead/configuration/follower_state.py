"""What a follower knows of its sources, and of a repair under way. Times are seconds on the host's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelead.configuration.actions import Location
from lanelead.configuration.document import Document
from lanelead.protocols.configuration import DigestTree

FIRST_FETCH_BUCKETS = 16  # buckets asked for first, while their size is not known


@dataclass
class SourceState:
    """One source, as this relay has met it."""

    location: Location
    tie_break: float
    failures: int = 0
    retry_at: float = 0.0  # not before this
    staleness_ms: float = 0.0  # of its last line, ms
    committed_version: int = 0
    last_line_at: float = -1e9  # when its last line came


@dataclass
class Repair:
    """A repair under way: the draft of the next document, and the buckets that it still lacks."""

    draft: Document
    tree: DigestTree | None = None
    missing: list[int] = field(default_factory=list)
    in_flight: bool = False
    fetched_at: float = 0.0  # when something was asked
    not_before: float = 0.0  # nothing before this
    bucket_limit: int = FIRST_FETCH_BUCKETS
    failed_fetches: int = 0
