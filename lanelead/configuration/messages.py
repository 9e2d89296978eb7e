"""What a machine sends, and what it knows of each of the others."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelead.configuration.agreement import MAX_REPLY_SECONDS, Proposer
from lanelead.protocols.configuration import Accept, Heartbeat, Prepare
from lanelead.protocols.configuration_replicas import DecidedChange, SnapshotPage

LONG_AGO_SECONDS = -1e6  # seconds before its start


@dataclass(frozen=True)
class CatchUpRequest:
    """Changes from a version on, or a page of a snapshot."""

    since: int
    snapshot: bool = False
    page: int = 0


@dataclass(frozen=True, eq=False)
class PeerCall:
    """A request to another replica, and how long its reply is waited for in seconds."""

    peer: int
    body: Prepare | Accept | DecidedChange | Heartbeat | CatchUpRequest
    sent_at: float
    proposer: Proposer | None = None
    timeout: float = MAX_REPLY_SECONDS  # seconds to wait for an answer


@dataclass
class PeerState:
    """Another machine, as its last answer had it."""

    unanswered: int = 0
    heartbeat_sent_at: float | None = None  # when the sign was sent that was answered last
    caught_up_at: float | None = None  # the same, where its head was not above one's own
    committed_version: int = 0
    empty: bool = False
    ready: bool = False
    history: str = ""
    ignored_reason: str = ""  # why it is left alone
    fetch_deadline: float = LONG_AGO_SECONDS  # until when its answer is waited for
    pages: list[SnapshotPage] = field(default_factory=list)
