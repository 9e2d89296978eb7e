"""Calls that a replica makes to its peers, and what it knows of each peer."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelead.configuration.agreement import MAX_REPLY_SECONDS, Proposer
from lanelead.protocols.configuration import Accept, Heartbeat, Prepare
from lanelead.protocols.configuration_replicas import DecidedChange, SnapshotPage

LONG_AGO_SECONDS = -1e6  # stands for never; counted from the start of the process, or as a time of its own


@dataclass(frozen=True)
class CatchUpRequest:
    """A request for the changes from version `since` on.

    With `snapshot`, for that page of the snapshot of version `since`; 0 stands for the newest version.
    """

    since: int
    snapshot: bool = False
    page: int = 0


@dataclass(frozen=True, eq=False)
class PeerCall:
    """A call to another replica. `proposer` receives the reply to Prepare and Accept."""

    peer: int
    body: Prepare | Accept | DecidedChange | Heartbeat | CatchUpRequest
    sent_at: float
    proposer: Proposer | None = None
    timeout: float = MAX_REPLY_SECONDS  # seconds to wait for the reply


@dataclass
class PeerState:
    """What a replica knows of a peer, mostly from the peer's last heartbeat response."""

    unanswered: int = 0  # heartbeats sent to it that wait for a response
    heartbeat_sent_at: float | None = None  # when the last heartbeat that it answered was sent
    caught_up_at: float | None = None  # the same, of the last response with which this replica was not behind it
    committed_version: int = 0
    empty: bool = False  # a voter that started without a store and may not vote yet
    ready: bool = False
    history: str = ""
    ignored_reason: str = ""  # why it is ignored; empty where it is not
    fetch_deadline: float = LONG_AGO_SECONDS  # when the changes requested from it time out
    pages: list[SnapshotPage] = field(default_factory=list)  # of a snapshot that is being fetched
