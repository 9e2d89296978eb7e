"""What a machine says to the relays that follow it: changes as they are decided, or a snapshot in buckets.

Rules:
1. Only decided changes are told, in order, to each follower from the version it names; nothing is left out.
2. To a follower whose digest is of no version that is kept, no change is told: it has to repair.
3. The buckets of one outline stay as they were for as long as the outline's snapshot is kept; afterwards the
   answer is that they are gone, never those of another version.

Without sockets and clocks: times are seconds, given by the caller.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lanelead.configuration.document import Document
from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.configuration import MAX_CHANGE_BYTES, AppliedVersion, Buckets, Change, DigestTree, WatchLine

MAX_KEPT_CHANGES = 1000  # changes told one by one; a follower that lacks more compares buckets, which costs less
MAX_KEPT_BYTES = 16 << 20  # of their keys and values, at most
MAX_LINE_CHANGES = 100  # changes of one line
SNAPSHOT_REFRESH_SECONDS = 10.0  # seconds for which a snapshot is given out before a newer one is made
MAX_SNAPSHOTS = 3  # that are kept, so that whoever has an outline can finish
MAX_REPLY_BUCKETS = 256  # buckets of one answer
MAX_FOLLOWERS = 10_000  # whose word is kept
WATCH_HEARTBEAT_SECONDS = 0.4  # seconds from one line to the next at the most
FOLLOWER_EXPIRY_SECONDS = 30.0  # seconds without a word after which a follower is not counted any more


class SnapshotExpiredError(ConfigurationError):
    """That snapshot is not kept any more: ask for the outline anew."""


@dataclass
class ChangePublisher:
    """Serves decided changes, snapshots and digest trees to the relays that follow this replica."""

    history: str = ""
    document: Document = field(default_factory=Document)
    majority_heard_at: float = 0.0  # when a majority of the machines was last heard
    _changes: deque[Change] = field(default_factory=deque)
    _kept_bytes: int = 0  # bytes of the changes kept
    _digests: dict[int, str] = field(default_factory=dict)  # of the versions before and after each change kept
    _snapshots: list[tuple[float, Document]] = field(default_factory=list)
    _reports: dict[int, tuple[float, AppliedVersion]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._digests = {self.document.version: self.document.digest}

    def append(self, change: Change) -> None:
        """The next change; the document has it already."""
        if not self.history and change.version == 1:
            self.history = change.ident
        if change.version - 1 not in self._digests:  # a gap: what is before it is not kept
            self._drop_oldest(len(self._changes))
            self._digests.clear()
        self._changes.append(change)
        self._kept_bytes += _change_bytes(change)
        self._digests[change.version] = change.digest
        # Guards against memory that fills with changes: a follower that lacks those compares buckets.
        while len(self._changes) > MAX_KEPT_CHANGES or (self._kept_bytes > MAX_KEPT_BYTES and len(self._changes) > 1):
            self._drop_oldest(1)

    def _drop_oldest(self, many: int) -> None:
        for _ in range(many):
            gone = self._changes.popleft()
            self._kept_bytes -= _change_bytes(gone)
            self._digests.pop(gone.version - 1, None)

    def reset(self, document: Document, history: str) -> None:
        """From a snapshot that was on disk, or came from another machine."""
        self.document, self.history = document, history
        self._drop_oldest(len(self._changes))
        self._digests = {document.version: document.digest}

    def resume_position(self, since: int, digest: str) -> int | None:
        """The version that a follower stands at, from which it is told changes; none: it has to repair."""
        head = self.document.version
        if since > head:  # it knows more than this machine yet does: signs of life until that has changed
            return since
        if self._digests.get(since) == digest:
            return since
        # What a relay's file says is of no version; it is that of the digest, the newest if it is several's.
        return next((at for at in sorted(self._digests, reverse=True) if self._digests[at] == digest), None)

    def next_line(self, position: int | None, now: float) -> tuple[WatchLine, int | None]:
        """The next line for a follower that stands at this position, and where it stands after it."""
        head = self.document.version
        behind = max(0.0, (now - self.majority_heard_at) * 1000)
        if position is not None and position < head:
            first = self._changes[0].version if self._changes else head + 1
            if position + 1 < first:
                position = None
            else:
                some = self._changes_from(position + 1 - first)
                return WatchLine(self.history, head, behind, some), some[-1].version
        return WatchLine(self.history, head, behind, needs_repair=position is None), position

    def _changes_from(self, start: int) -> list[Change]:
        """Some changes from this place on: one, or as many as a line may hold."""
        some, size = [self._changes[start]], 0
        for at in range(start + 1, min(len(self._changes), start + MAX_LINE_CHANGES)):
            size += _change_bytes(some[-1])
            if size > MAX_CHANGE_BYTES:
                break
            some.append(self._changes[at])
        return some

    def digest_tree(self, now: float) -> DigestTree:
        """The digest tree of the newest snapshot; a newer snapshot is made when the last one is old."""
        made, newest = self._snapshots[-1] if self._snapshots else (now - SNAPSHOT_REFRESH_SECONDS, None)
        if newest is None or (newest.version != self.document.version and now >= made + SNAPSHOT_REFRESH_SECONDS):
            newest = self.document.copy()
            self._snapshots = [*self._snapshots, (now, newest)][-MAX_SNAPSHOTS:]
        return newest.digest_tree(self.history)

    def buckets(self, version: int, numbers: Sequence[int]) -> Buckets:
        """Raises SnapshotExpiredError."""
        for _, snapshot in self._snapshots:
            if snapshot.version == version:
                wanted = sorted(dict.fromkeys(numbers))[:MAX_REPLY_BUCKETS]
                return Buckets(version, {number: snapshot.bucket(number) for number in wanted})
        raise SnapshotExpiredError(f"no snapshot of version {version}")

    def record_applied(self, told: AppliedVersion, now: float) -> None:
        """Guards against a table that grows with numbers that somebody makes up."""
        if told.relay in self._reports or len(self._reports) < MAX_FOLLOWERS:
            self._reports[told.relay] = now, told

    def followers(self, now: float) -> list[AppliedVersion]:
        """The last report of each relay that reported lately."""
        self._reports = {
            relay: word for relay, word in self._reports.items() if word[0] > now - FOLLOWER_EXPIRY_SECONDS
        }
        return [told for _, told in self._reports.values()]


def _change_bytes(change: Change) -> int:
    return sum(len(entry.key) + len(entry.value) for entry in change.entries)
