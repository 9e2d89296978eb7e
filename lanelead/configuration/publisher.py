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
from lanelead.protocols.configuration import MAX_CHANGE_BYTES, AppliedVersion, Buckets, Change, DigestTree, WatchLine

KEPT = 1000  # changes told one by one; a follower that lacks more compares buckets, which costs less
KEPT_BYTES = 16 << 20  # of their keys and values, at most
AT_ONCE = 100  # changes of one line
FROZEN = 10.0  # seconds for which a snapshot is given out before a newer one is made
SNAPSHOTS = 3  # that are kept, so that whoever has an outline can finish
ASKED = 256  # buckets of one answer
FOLLOWERS = 10_000  # whose word is kept
SIGN = 0.4  # seconds from one line to the next at the most
FORGOTTEN = 30.0  # seconds without a word after which a follower is not counted any more


class Gone(Exception):
    """That snapshot is not kept any more: ask for the outline anew."""


@dataclass
class Source:
    history: str = ""
    document: Document = field(default_factory=Document)
    heard: float = 0.0  # when a majority of the machines was last heard
    _changes: deque[Change] = field(default_factory=deque)
    _size: int = 0  # bytes of the changes kept
    _digests: dict[int, str] = field(default_factory=dict)  # of the versions before and after each change kept
    _frozen: list[tuple[float, Document]] = field(default_factory=list)
    _told: dict[int, tuple[float, AppliedVersion]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._digests = {self.document.version: self.document.digest}

    def decided(self, change: Change) -> None:
        """The next change; the document has it already."""
        if not self.history and change.version == 1:
            self.history = change.ident
        if change.version - 1 not in self._digests:  # a gap: what is before it is not kept
            self._forget(len(self._changes))
            self._digests.clear()
        self._changes.append(change)
        self._size += _size(change)
        self._digests[change.version] = change.digest
        # Guards against memory that fills with changes: a follower that lacks those compares buckets.
        while len(self._changes) > KEPT or (self._size > KEPT_BYTES and len(self._changes) > 1):
            self._forget(1)

    def _forget(self, many: int) -> None:
        for _ in range(many):
            gone = self._changes.popleft()
            self._size -= _size(gone)
            self._digests.pop(gone.version - 1, None)

    def start(self, document: Document, history: str) -> None:
        """From a snapshot that was on disk, or came from another machine."""
        self.document, self.history = document, history
        self._forget(len(self._changes))
        self._digests = {document.version: document.digest}

    def position(self, since: int, digest: str) -> int | None:
        """The version that a follower stands at, from which it is told changes; none: it has to repair."""
        head = self.document.version
        if since > head:  # it knows more than this machine yet does: signs of life until that has changed
            return since
        if self._digests.get(since) == digest:
            return since
        # What a relay's file says is of no version; it is that of the digest, the newest if it is several's.
        return next((at for at in sorted(self._digests, reverse=True) if self._digests[at] == digest), None)

    def line(self, position: int | None, now: float) -> tuple[WatchLine, int | None]:
        """The next line for a follower that stands at this position, and where it stands after it."""
        head = self.document.version
        behind = max(0.0, (now - self.heard) * 1000)
        if position is not None and position < head:
            first = self._changes[0].version if self._changes else head + 1
            if position + 1 < first:
                position = None
            else:
                some = self._some(position + 1 - first)
                return WatchLine(self.history, head, behind, some), some[-1].version
        return WatchLine(self.history, head, behind, repair=position is None), position

    def _some(self, start: int) -> list[Change]:
        """Some changes from this place on: one, or as many as a line may hold."""
        some, size = [self._changes[start]], 0
        for at in range(start + 1, min(len(self._changes), start + AT_ONCE)):
            size += _size(some[-1])
            if size > MAX_CHANGE_BYTES:
                break
            some.append(self._changes[at])
        return some

    def outline(self, now: float) -> DigestTree:
        made, newest = self._frozen[-1] if self._frozen else (now - FROZEN, None)
        if newest is None or (newest.version != self.document.version and now >= made + FROZEN):
            newest = self.document.copy()
            self._frozen = [*self._frozen, (now, newest)][-SNAPSHOTS:]
        return newest.outline(self.history)

    def buckets(self, version: int, numbers: Sequence[int]) -> Buckets:
        """Raises Gone."""
        for _, snapshot in self._frozen:
            if snapshot.version == version:
                wanted = sorted(dict.fromkeys(numbers))[:ASKED]
                return Buckets(version, {number: snapshot.bucket(number) for number in wanted})
        raise Gone(f"no snapshot of version {version}")

    def applied(self, told: AppliedVersion, now: float) -> None:
        """Guards against a table that grows with numbers that somebody makes up."""
        if told.relay in self._told or len(self._told) < FOLLOWERS:
            self._told[told.relay] = now, told

    def followers(self, now: float) -> list[AppliedVersion]:
        self._told = {relay: word for relay, word in self._told.items() if word[0] > now - FORGOTTEN}
        return [told for _, told in self._told.values()]


def _size(change: Change) -> int:
    return sum(len(entry.key) + len(entry.value) for entry in change.entries)
