"""The state that a follower keeps of its sources and of a repair. Times are seconds on the host's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelead.configuration.actions import Location
from lanelead.configuration.document import Document
from lanelead.protocols.configuration import DigestTree

FIRST_FETCH_BUCKETS = 16  # buckets of the first request, while their size is unknown


@dataclass
class SourceState:
    """What a follower knows of one source, and when it may be tried again."""

    location: Location
    tie_break: float  # random, so that relays spread over equally distant sources
    failures: int = 0  # consecutive failures, which determine the wait before a retry
    retry_at: float = 0.0  # earliest time of the next attempt
    staleness_ms: float = 0.0  # as its last line stated it
    committed_version: int = 0
    last_line_at: float = -1e9  # when its last line arrived


@dataclass
class Repair:
    """A repair in progress: the draft of the next document and the buckets still missing from it."""

    draft: Document
    tree: DigestTree | None = None  # None: to be fetched
    missing: list[int] = field(default_factory=list)  # bucket numbers
    in_flight: bool = False  # whether a fetch has not been answered yet
    fetched_at: float = 0.0  # when the last fetch began
    not_before: float = 0.0  # earliest time of the next fetch
    bucket_limit: int = FIRST_FETCH_BUCKETS  # buckets of one request at most
    failed_fetches: int = 0  # since the last buckets received, at any source
