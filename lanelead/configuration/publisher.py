"""The publisher of a replica: sends decided changes, or a snapshot in buckets, to the relays that follow it.

Rules:
1. Only decided changes are sent: to each follower in order, from the version it names, without gaps.
2. A follower whose digest matches no kept version gets no changes: it has to repair its document.
3. The buckets of a digest tree do not change while its snapshot is kept. Afterwards requests for them fail with
   SnapshotExpiredError; buckets of another version are never served instead.

There are no sockets or clocks here: the caller passes the time, in seconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lanelead.configuration.document import Document
from lanelead.configuration.errors import ConfigurationError
from lanelead.protocols.configuration import MAX_CHANGE_BYTES, AppliedVersion, Buckets, Change, DigestTree, WatchLine

MAX_KEPT_CHANGES = 1000  # a follower that lacks more has to repair, which then costs less than sending changes
MAX_KEPT_BYTES = 16 << 20  # limit of the kept changes, counted as key and value sizes
MAX_LINE_CHANGES = 100  # limit of changes in one line
SNAPSHOT_REFRESH_SECONDS = 10.0  # a newer snapshot is made only when the last one is older
MAX_SNAPSHOTS = 3  # older ones are kept too, so that repairs in progress can finish
MAX_REPLY_BUCKETS = 256  # limit of buckets in one response
MAX_FOLLOWERS = 10_000  # limit of relays whose reports are kept
WATCH_HEARTBEAT_SECONDS = 0.4  # longest interval between two lines of a watch
FOLLOWER_EXPIRY_SECONDS = 30.0  # a relay whose last report is older is not listed any more


class SnapshotExpiredError(ConfigurationError):
    """The requested snapshot is not kept any more; the digest tree must be fetched again."""


@dataclass
class ChangePublisher:
    """Serves decided changes, snapshots and digest trees to the relays that follow this replica."""

    history: str = ""
    document: Document = field(default_factory=Document)
    majority_heard_at: float = 0.0  # when this replica last heard from a majority
    _changes: deque[Change] = field(default_factory=deque)
    _kept_bytes: int = 0
    _digests: dict[int, str] = field(default_factory=dict)  # by version, before and after each kept change
    _snapshots: list[tuple[float, Document]] = field(default_factory=list)  # time made, and copy
    _reports: dict[int, tuple[float, AppliedVersion]] = field(default_factory=dict)  # by relay

    def __post_init__(self) -> None:
        self._digests = {self.document.version: self.document.digest}

    def append(self, change: Change) -> None:
        """Adds the next change, which the document already contains."""
        if not self.history and change.version == 1:
            self.history = change.ident
        if change.version - 1 not in self._digests:  # a gap: drop the changes before it
            self._drop_oldest(len(self._changes))
            self._digests.clear()
        self._changes.append(change)
        self._kept_bytes += _change_bytes(change)
        self._digests[change.version] = change.digest
        # Bounds the memory; followers that need a dropped change repair by buckets.
        while len(self._changes) > MAX_KEPT_CHANGES or (self._kept_bytes > MAX_KEPT_BYTES and len(self._changes) > 1):
            self._drop_oldest(1)

    def _drop_oldest(self, count: int) -> None:
        for _ in range(count):
            dropped = self._changes.popleft()
            self._kept_bytes -= _change_bytes(dropped)
            self._digests.pop(dropped.version - 1, None)

    def reset(self, document: Document, history: str) -> None:
        """Replaces the document by a snapshot, from disk or from another replica, and drops the kept changes."""
        self.document, self.history = document, history
        self._drop_oldest(len(self._changes))
        self._digests = {document.version: document.digest}

    def resume_position(self, since: int, digest: str) -> int | None:
        """The version from which a follower is sent changes, found by its digest; None if it has to repair."""
        committed_version = self.document.version
        if since > committed_version:  # the follower is ahead of this replica: send heartbeats until it caught up
            return since
        if self._digests.get(since) == digest:
            return since
        # Entries from a relay's own file have no version: use the newest version with the same digest.
        return next(
            (version for version in sorted(self._digests, reverse=True) if self._digests[version] == digest), None
        )

    def next_line(self, position: int | None, now: float) -> tuple[WatchLine, int | None]:
        """The next line for a follower at this position, and its position after that line."""
        committed_version = self.document.version
        staleness_ms = max(0.0, (now - self.majority_heard_at) * 1000)
        if position is not None and position < committed_version:
            first = self._changes[0].version if self._changes else committed_version + 1
            if position + 1 < first:
                position = None
            else:
                changes = self._changes_from(position + 1 - first)
                return WatchLine(self.history, committed_version, staleness_ms, changes), changes[-1].version
        return WatchLine(self.history, committed_version, staleness_ms, needs_repair=position is None), position

    def _changes_from(self, start: int) -> list[Change]:
        """Changes from this index on: one, or as many as fit into a line."""
        changes, size = [self._changes[start]], 0
        for at in range(start + 1, min(len(self._changes), start + MAX_LINE_CHANGES)):
            size += _change_bytes(changes[-1])
            if size > MAX_CHANGE_BYTES:
                break
            changes.append(self._changes[at])
        return changes

    def digest_tree(self, now: float) -> DigestTree:
        """The digest tree of the newest snapshot.

        A new snapshot is made if the document has changed and the last one is SNAPSHOT_REFRESH_SECONDS old.
        """
        created_at, newest = self._snapshots[-1] if self._snapshots else (now - SNAPSHOT_REFRESH_SECONDS, None)
        if newest is None or (newest.version != self.document.version and now >= created_at + SNAPSHOT_REFRESH_SECONDS):
            newest = self.document.copy()
            self._snapshots = [*self._snapshots, (now, newest)][-MAX_SNAPSHOTS:]
        return newest.digest_tree(self.history)

    def buckets(self, version: int, numbers: Sequence[int]) -> Buckets:
        """Buckets of the snapshot of this version. Raises SnapshotExpiredError if it is not kept any more."""
        for _, snapshot in self._snapshots:
            if snapshot.version == version:
                wanted = sorted(dict.fromkeys(numbers))[:MAX_REPLY_BUCKETS]
                return Buckets(version, {number: snapshot.bucket(number) for number in wanted})
        raise SnapshotExpiredError(f"no snapshot of version {version}")

    def record_applied(self, report: AppliedVersion, now: float) -> None:
        """Records a relay's report; new relays are ignored at the limit, which bounds the table."""
        if report.relay in self._reports or len(self._reports) < MAX_FOLLOWERS:
            self._reports[report.relay] = now, report

    def followers(self, now: float) -> list[AppliedVersion]:
        """The last reports of all relays that reported recently."""
        self._reports = {
            relay: entry for relay, entry in self._reports.items() if entry[0] > now - FOLLOWER_EXPIRY_SECONDS
        }
        return [report for _, report in self._reports.values()]


def _change_bytes(change: Change) -> int:
    return sum(len(entry.key) + len(entry.value) for entry in change.entries)
