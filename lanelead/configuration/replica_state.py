"""What a machine holds: the document with its history, changes made of late, and all of it on disk first."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from hashlib import blake2b

from lanelead.configuration import value_types
from lanelead.configuration.agreement import Acceptor, Unfit
from lanelead.configuration.document import GONE, Document, Refused, canonical
from lanelead.configuration.publisher import KEPT, Source
from lanelead.configuration.store import IDENTS, Corrupt, Store
from lanelead.protocols.configuration import (
    BUCKET_COUNT,
    AcceptedProposal,
    Change,
    Entry,
    Proposal,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import SNAPSHOT_PAGES, CompletedProposal, SnapshotPage

A_PAGE = BUCKET_COUNT // SNAPSHOT_PAGES  # buckets of one page of a snapshot
PRUNED = 256  # versions between two prunings of keys that are gone
FROZEN = 60.0  # seconds for which a snapshot is kept after it was last asked for


class Strange(Exception):
    """Of another history, or otherwise than what was decided: nothing was taken."""


def mark_of(entries: Sequence[Entry]) -> str:
    """Raises Refused where a value can't be read."""
    parts = sorted(entry.key.encode() + b"\0" + canonical(entry.value) for entry in entries)
    return blake2b(b"\1".join(parts), digest_size=8).hexdigest()


class Holding:
    """`empty`: an empty document with the bounds that the settings give. `wall`: Unix time, seconds."""

    def __init__(
        self, store: Store, voters: Sequence[int], empty: Callable[[], Document], wall: Callable[[], float]
    ) -> None:
        self._store, self._empty, self._wall = store, empty, wall
        self._voters = ",".join(str(voter) for voter in sorted(voters))
        held = store.held
        self.history, self.floor, self.ready = held.history, held.floor, held.ready
        self.document = self._made_of(
            held.head, {key: (value or GONE, changed) for key, (value, changed) in held.entries.items()}
        )
        # Guards against a file whose rows hold together, yet are not the version that they say.
        if held.head and self.document.digest != held.digest:
            raise Corrupt(f"the entries are not those of version {held.head}")
        held.entries = {}
        self.acceptor = Acceptor(store.vote, held.head, held.promised, held.accepted, held.change)
        self.acceptor.votes_from, self.acceptor.fits = held.votes_from, self.fits
        self.source = Source()
        self._start_source()
        self._frozen: Document | None = None
        self._frozen_made: list[CompletedProposal] = []
        self._asked_at = 0.0

    def _start_source(self) -> None:
        """Followers that know one of the versions kept are told changes, also behind a restart."""
        self.source.start(self.document, self.history)
        since = max(self._store.first, self.head - KEPT + 1)
        while since <= self.head:
            some, _ = self._store.log(since)
            for change in some:
                self.source.decided(change)
            since += max(1, len(some))

    def _made_of(self, version: int, entries: dict[str, tuple[bytes, int | None]]) -> Document:
        document = self._empty()
        document.load((key, value) for key, (value, _) in entries.items())
        document.version = version
        document.changed = {key: changed for key, (_, changed) in entries.items() if changed is not None}
        return document

    @property
    def head(self) -> int:
        return self.document.version

    @property
    def group(self) -> str:
        return blake2b(f"{self._voters} {self.history}".encode(), digest_size=8).hexdigest()

    # As agreement.Holder

    def made(self, proposal: Proposal) -> AcceptedProposal | RejectedProposal | None:
        found = self._store.made.get(proposal.ident)
        if found is None:
            return None
        try:
            same = found.mark == mark_of(proposal.entries)
        except Refused:
            same = False
        if not same:
            return RejectedProposal(
                "malformed",
                f"ident {proposal.ident} has made other entries, as version {found.version}: take another ident",
            )
        return AcceptedProposal(found.version)

    def change(self, proposal: Proposal) -> Change | RejectedProposal:
        for key, version in proposal.expect.items():
            last = self.document.changed.get(key, self.floor)
            if last > version:
                return RejectedProposal(
                    "stale",
                    f"{key} was changed by version {last}, after {version}: read it again, and ask anew",
                )
        key, many = Counter(entry.key for entry in proposal.entries).most_common(1)[0]
        if many > 1:
            return RejectedProposal("malformed", f"{key} stands {many} times: once is meant")
        try:
            for entry in proposal.entries:
                if (value := canonical(entry.value)) != GONE:
                    value_types.read(entry.key, value)
            digest = self.document.after(proposal.entries)
        except (Refused, value_types.InvalidValueError) as fault:
            return RejectedProposal("malformed", str(fault))
        return Change(self.head + 1, proposal.ident, digest, proposal.entries, self._wall() * 1000)

    def fits(self, change: Change) -> None:
        """Guards against a vote for what nobody could take in once it is decided."""
        if change.ident in self._store.made:
            raise Unfit(f"ident {change.ident} was made as version {self._store.made[change.ident].version}")
        try:
            if self.document.after(change.entries) != change.digest:
                raise Unfit(f"version {change.version} would come out otherwise than its digest says")
        except Refused as fault:
            raise Unfit(str(fault)) from None

    # Decided changes

    def learn(self, change: Change) -> bool:
        """Takes in the change after the head; any other is left. Raises Strange and StoreFault."""
        if change.version != self.head + 1:
            return False
        try:
            if self.document.after(change.entries) != change.digest:
                raise Strange(f"version {change.version} comes out otherwise here than where it was decided")
            mark = mark_of(change.entries)
        except Refused as fault:
            raise Strange(f"version {change.version} can't be taken in: {fault}") from None
        rows = list[tuple[str, bytes | None]]()
        for entry in change.entries:
            value = canonical(entry.value)
            rows.append((entry.key, None if value == GONE else value))
        history = self.history or change.ident
        self._store.decide(history, change, rows, mark)
        self.history = history
        self.document.apply(change)
        self.acceptor.advance(self.head)
        self.source.decided(change)
        if self.head % PRUNED == 0:
            self._prune()
        return True

    def _prune(self) -> None:
        """Guards against a table that grows with keys that are gone: those of long ago are forgotten."""
        oldest = self.head - IDENTS
        if oldest <= self.floor:
            return
        self._store.prune(oldest)
        self.floor = oldest
        gone = [k for k, v in self.document.changed.items() if v <= oldest and k not in self.document.entries]
        for key in gone:
            del self.document.changed[key]

    def stand(self, ready: bool, votes_from: int | None) -> None:
        self._store.stand(ready, votes_from)
        self.ready, self.acceptor.votes_from = ready, votes_from

    def log(self, since: int) -> tuple[list[Change], bool]:
        return self._store.log(since)

    # Whole documents, to and from a machine that lacks too much

    def snapshot(self, version: int, page: int, now: float) -> SnapshotPage | None:
        """A page of this version, 0: of a newer one; none: it is not kept any more."""
        if self._frozen is not None and now > self._asked_at + FROZEN:
            self._frozen = None
        if version == 0 and page == 0 and (self._frozen is None or self._frozen.version != self.head):
            self._frozen, self._frozen_made = self.document.copy(), list(self._store.made.values())
        if self._frozen is None or (version != 0 and version != self._frozen.version):
            return None
        self._asked_at, frozen = now, self._frozen
        places = range(page * A_PAGE, (page + 1) * A_PAGE)
        entries = [entry for place in places for entry in frozen.bucket(place)]
        changed = {entry.key: frozen.changed[entry.key] for entry in entries if entry.key in frozen.changed}
        if page == 0:
            changed |= {key: at for key, at in frozen.changed.items() if key not in frozen.entries}
        made = self._frozen_made if page == 0 else []
        return SnapshotPage(self.history, frozen.version, frozen.digest, page, entries, changed, self.floor, made)

    def install(self, pages: Sequence[SnapshotPage]) -> bool:
        """All pages of one snapshot; an older one than the head is left. Raises Strange and StoreFault."""
        first = pages[0]
        if any((page.version, page.history) != (first.version, first.history) for page in pages):
            raise Strange("pages of several snapshots")
        if self.history and first.history != self.history:
            raise Strange(f"a snapshot of the history {first.history}, where {self.history} is held")
        if first.version <= self.head:
            return False
        changed = {key: version for page in pages for key, version in page.changed.items()}
        entries = {entry.key: (bytes(entry.value), changed.get(entry.key)) for page in pages for entry in page.entries}
        try:
            document = self._made_of(first.version, entries)
        except Refused as fault:
            raise Strange(f"a snapshot that can't be taken in: {fault}") from None
        if document.digest != first.digest:
            raise Strange("a snapshot whose entries are not those that its digest names")
        document.changed = changed
        rows = {key: (value, at) for key, (value, at) in entries.items()}
        rows |= {key: (b"", at) for key, at in changed.items() if key not in entries}
        self._store.replace(first.history, first.version, first.digest, first.floor, rows, first.made)
        self.history, self.floor, self.document = first.history, first.floor, document
        self.acceptor.advance(self.head)
        self._start_source()
        return True
