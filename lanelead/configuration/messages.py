"""What a machine sends, and what it knows of each of the others."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelead.configuration.agreement import LONGEST, Proposer
from lanelead.protocols.configuration import Accept, Heartbeat, Prepare
from lanelead.protocols.configuration_replicas import DecidedChange, SnapshotPage

NEVER = -1e6  # seconds before its start


@dataclass(frozen=True)
class Asked:
    """Changes from a version on, or a page of a snapshot."""

    since: int
    snapshot: bool = False
    page: int = 0


@dataclass(frozen=True, eq=False)
class Call:
    to: int
    body: Prepare | Accept | DecidedChange | Heartbeat | Asked
    sent: float
    proposer: Proposer | None = None
    limit: float = LONGEST  # seconds to wait for an answer


@dataclass
class Seen:
    """Another machine, as its last answer had it."""

    out: int = 0
    sent: float | None = None  # when the sign was sent that was answered last
    held: float | None = None  # the same, where its head was not above one's own
    head: int = 0
    empty: bool = False
    ready: bool = False
    history: str = ""
    strange: str = ""  # why it is left alone
    fetching: float = NEVER  # until when its answer is waited for
    pages: list[SnapshotPage] = field(default_factory=list)
