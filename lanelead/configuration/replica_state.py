"""What a machine holds: the document with its history, changes made of late, and all of it on disk first."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from hashlib import blake2b

from lanelead.configuration import value_types
from lanelead.configuration.agreement import Acceptor, UnacceptableChangeError
from lanelead.configuration.document import REMOVED_VALUE, Document, DocumentError, canonical
from lanelead.configuration.errors import ConfigurationError
from lanelead.configuration.publisher import MAX_KEPT_CHANGES, ChangePublisher
from lanelead.configuration.store import MAX_COMPLETED_PROPOSALS, CorruptStoreError, Store
from lanelead.protocols.configuration import (
    BUCKET_COUNT,
    AcceptedProposal,
    Change,
    Entry,
    Proposal,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import SNAPSHOT_PAGES, CompletedProposal, SnapshotPage

BUCKETS_PER_PAGE = BUCKET_COUNT // SNAPSHOT_PAGES  # buckets of one page of a snapshot
PRUNE_INTERVAL_VERSIONS = 256  # versions between two prunings of keys that are gone
SNAPSHOT_IDLE_SECONDS = 60.0  # seconds for which a snapshot is kept after it was last asked for


class DivergenceError(ConfigurationError):
    """Of another history, or otherwise than what was decided: nothing was taken."""


def entries_hash(entries: Sequence[Entry]) -> str:
    """Raises DocumentError where a value can't be read."""
    parts = sorted(entry.key.encode() + b"\0" + canonical(entry.value) for entry in entries)
    return blake2b(b"\1".join(parts), digest_size=8).hexdigest()


class ReplicaState:
    """`empty`: an empty document with the bounds that the settings give. `wall`: Unix time, seconds."""

    def __init__(
        self, store: Store, voters: Sequence[int], empty: Callable[[], Document], wall: Callable[[], float]
    ) -> None:
        self._store, self._empty_document, self._clock = store, empty, wall
        self._voters = ",".join(str(voter) for voter in sorted(voters))
        held = store.loaded
        self.history, self.pruned_version, self.ready = held.history, held.pruned_version, held.ready
        self.document = self._build_document(
            held.committed_version,
            {key: (value or REMOVED_VALUE, changed) for key, (value, changed) in held.entries.items()},
        )
        # Guards against a file whose rows hold together, yet are not the version that they say.
        if held.committed_version and self.document.digest != held.digest:
            raise CorruptStoreError(f"the entries are not those of version {held.committed_version}")
        held.entries = {}
        self.acceptor = Acceptor(store.save_vote, held.committed_version, held.promised, held.accepted, held.change)
        self.acceptor.votes_from, self.acceptor.validate = held.votes_from, self.validate
        self.publisher = ChangePublisher()
        self._reset_publisher()
        self._snapshot_document: Document | None = None
        self._snapshot_completed: list[CompletedProposal] = []
        self._snapshot_used_at = 0.0

    def _reset_publisher(self) -> None:
        """Followers that know one of the versions kept are told changes, also behind a restart."""
        self.publisher.reset(self.document, self.history)
        since = max(self._store.first_log_version, self.committed_version - MAX_KEPT_CHANGES + 1)
        while since <= self.committed_version:
            some, _ = self._store.read_log(since)
            for change in some:
                self.publisher.append(change)
            since += max(1, len(some))

    def _build_document(self, version: int, entries: dict[str, tuple[bytes, int | None]]) -> Document:
        document = self._empty_document()
        document.load((key, value) for key, (value, _) in entries.items())
        document.version = version
        document.changed = {key: changed for key, (_, changed) in entries.items() if changed is not None}
        return document

    @property
    def committed_version(self) -> int:
        """The newest version held."""
        return self.document.version

    @property
    def epoch(self) -> str:
        """A hash of the history and the voters, as in Prepare."""
        return blake2b(f"{self._voters} {self.history}".encode(), digest_size=8).hexdigest()

    # As agreement.Holder

    def completed(self, proposal: Proposal) -> AcceptedProposal | RejectedProposal | None:
        """The result of a proposal whose ident was used before, if any."""
        found = self._store.completed.get(proposal.ident)
        if found is None:
            return None
        try:
            same = found.entries_hash == entries_hash(proposal.entries)
        except DocumentError:
            same = False
        if not same:
            return RejectedProposal(
                "malformed",
                f"ident {proposal.ident} has made other entries, as version {found.version}: take another ident",
            )
        return AcceptedProposal(found.version)

    def build_change(self, proposal: Proposal) -> Change | RejectedProposal:
        """The change that a proposal comes to as the next version, or why it is rejected."""
        for key, version in proposal.expected_versions.items():
            last = self.document.changed.get(key, self.pruned_version)
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
                if (value := canonical(entry.value)) != REMOVED_VALUE:
                    value_types.decode_value(entry.key, value)
            digest = self.document.digest_after(proposal.entries)
        except (DocumentError, value_types.InvalidValueError) as fault:
            return RejectedProposal("malformed", str(fault))
        return Change(self.committed_version + 1, proposal.ident, digest, proposal.entries, self._clock() * 1000)

    def validate(self, change: Change) -> None:
        """Guards against a vote for what nobody could take in once it is decided."""
        if change.ident in self._store.completed:
            raise UnacceptableChangeError(
                f"ident {change.ident} was made as version {self._store.completed[change.ident].version}"
            )
        try:
            if self.document.digest_after(change.entries) != change.digest:
                raise UnacceptableChangeError(f"version {change.version} would come out otherwise than its digest says")
        except DocumentError as fault:
            raise UnacceptableChangeError(str(fault)) from None

    # Decided changes

    def commit(self, change: Change) -> bool:
        """Takes in the change after the head; any other is left. Raises DivergenceError and StoreError."""
        if change.version != self.committed_version + 1:
            return False
        try:
            if self.document.digest_after(change.entries) != change.digest:
                raise DivergenceError(f"version {change.version} comes out otherwise here than where it was decided")
            mark = entries_hash(change.entries)
        except DocumentError as fault:
            raise DivergenceError(f"version {change.version} can't be taken in: {fault}") from None
        rows = list[tuple[str, bytes | None]]()
        for entry in change.entries:
            value = canonical(entry.value)
            rows.append((entry.key, None if value == REMOVED_VALUE else value))
        history = self.history or change.ident
        self._store.append(history, change, rows, mark)
        self.history = history
        self.document.apply(change)
        self.acceptor.advance(self.committed_version)
        self.publisher.append(change)
        if self.committed_version % PRUNE_INTERVAL_VERSIONS == 0:
            self._prune()
        return True

    def _prune(self) -> None:
        """Guards against a table that grows with keys that are gone: those of long ago are forgotten."""
        oldest = self.committed_version - MAX_COMPLETED_PROPOSALS
        if oldest <= self.pruned_version:
            return
        self._store.prune_removed(oldest)
        self.pruned_version = oldest
        gone = [k for k, v in self.document.changed.items() if v <= oldest and k not in self.document.entries]
        for key in gone:
            del self.document.changed[key]

    def set_voting(self, ready: bool, votes_from: int | None) -> None:
        """Stores from which version this replica votes. Raises StoreError."""
        self._store.save_voting(ready, votes_from)
        self.ready, self.acceptor.votes_from = ready, votes_from

    def log(self, since: int) -> tuple[list[Change], bool]:
        """Decided changes from version `since` on, as Store.read_log. Raises StoreError."""
        return self._store.read_log(since)

    # Whole documents, to and from a machine that lacks too much

    def snapshot(self, version: int, page: int, now: float) -> SnapshotPage | None:
        """A page of this version, 0: of a newer one; none: it is not kept any more."""
        if self._snapshot_document is not None and now > self._snapshot_used_at + SNAPSHOT_IDLE_SECONDS:
            self._snapshot_document = None
        if (
            version == 0
            and page == 0
            and (self._snapshot_document is None or self._snapshot_document.version != self.committed_version)
        ):
            self._snapshot_document, self._snapshot_completed = (
                self.document.copy(),
                list(self._store.completed.values()),
            )
        if self._snapshot_document is None or (version != 0 and version != self._snapshot_document.version):
            return None
        self._snapshot_used_at, frozen = now, self._snapshot_document
        places = range(page * BUCKETS_PER_PAGE, (page + 1) * BUCKETS_PER_PAGE)
        entries = [entry for place in places for entry in frozen.bucket(place)]
        changed = {entry.key: frozen.changed[entry.key] for entry in entries if entry.key in frozen.changed}
        if page == 0:
            changed |= {key: at for key, at in frozen.changed.items() if key not in frozen.entries}
        made = self._snapshot_completed if page == 0 else []
        return SnapshotPage(
            self.history, frozen.version, frozen.digest, page, entries, changed, self.pruned_version, made
        )

    def install(self, pages: Sequence[SnapshotPage]) -> bool:
        """All pages of one snapshot; an older one than the head is left. Raises DivergenceError and StoreError."""
        first = pages[0]
        if any((page.version, page.history) != (first.version, first.history) for page in pages):
            raise DivergenceError("pages of several snapshots")
        if self.history and first.history != self.history:
            raise DivergenceError(f"a snapshot of the history {first.history}, where {self.history} is held")
        if first.version <= self.committed_version:
            return False
        changed = {key: version for page in pages for key, version in page.changed.items()}
        entries = {entry.key: (bytes(entry.value), changed.get(entry.key)) for page in pages for entry in page.entries}
        try:
            document = self._build_document(first.version, entries)
        except DocumentError as fault:
            raise DivergenceError(f"a snapshot that can't be taken in: {fault}") from None
        if document.digest != first.digest:
            raise DivergenceError("a snapshot whose entries are not those that its digest names")
        document.changed = changed
        rows = {key: (value, at) for key, (value, at) in entries.items()}
        rows |= {key: (b"", at) for key, at in changed.items() if key not in entries}
        self._store.install_snapshot(
            first.history, first.version, first.digest, first.pruned_version, rows, first.completed
        )
        self.history, self.pruned_version, self.document = first.history, first.pruned_version, document
        self.acceptor.advance(self.committed_version)
        self._reset_publisher()
        return True
