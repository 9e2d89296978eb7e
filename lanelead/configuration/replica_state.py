"""The state of a replica: the document, its history and recent changes, all written to the store first."""

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

BUCKETS_PER_PAGE = BUCKET_COUNT // SNAPSHOT_PAGES  # in a snapshot
PRUNE_INTERVAL_VERSIONS = 256  # versions from one pruning of removed keys to the next
SNAPSHOT_IDLE_SECONDS = 60.0  # how long a snapshot is kept after its last request


class DivergenceError(ConfigurationError):
    """A change or snapshot is of another history or gives another digest here; nothing was applied."""


def entries_hash(entries: Sequence[Entry]) -> str:
    """A hash of entries that is independent of their order and of JSON formatting.

    Raises DocumentError where a value is not valid JSON.
    """
    parts = sorted(entry.key.encode() + b"\0" + canonical(entry.value) for entry in entries)
    return blake2b(b"\1".join(parts), digest_size=8).hexdigest()


class ReplicaState:
    """The state of a replica.

    `empty_document` makes an empty document with the bounds of the settings; `clock` returns Unix time in seconds.
    """

    def __init__(
        self, store: Store, voters: Sequence[int], empty_document: Callable[[], Document], clock: Callable[[], float]
    ) -> None:
        self._store, self._empty_document, self._clock = store, empty_document, clock
        self._voters = ",".join(str(voter) for voter in sorted(voters))
        stored = store.loaded
        self.history, self.pruned_version, self.ready = stored.history, stored.pruned_version, stored.ready
        self.document = self._build_document(
            stored.committed_version,
            {key: (value or REMOVED_VALUE, changed) for key, (value, changed) in stored.entries.items()},
        )
        # Detects a file whose rows are consistent with each other, but not with the digest of their version.
        if stored.committed_version and self.document.digest != stored.digest:
            raise CorruptStoreError(f"the entries do not match the digest of version {stored.committed_version}")
        stored.entries = {}
        self.acceptor = Acceptor(
            store.save_vote, stored.committed_version, stored.promised, stored.accepted, stored.change
        )
        self.acceptor.votes_from, self.acceptor.validate = stored.votes_from, self.validate
        self.publisher = ChangePublisher()
        self._reset_publisher()
        self._snapshot_document: Document | None = None
        self._snapshot_completed: list[CompletedProposal] = []
        self._snapshot_used_at = 0.0

    def _reset_publisher(self) -> None:
        """Fills the publisher from the log, so that followers at a recent version get changes after a restart too."""
        self.publisher.reset(self.document, self.history)
        since = max(self._store.first_log_version, self.committed_version - MAX_KEPT_CHANGES + 1)
        while since <= self.committed_version:
            page_of_changes, _ = self._store.read_log(since)
            for change in page_of_changes:
                self.publisher.append(change)
            since += max(1, len(page_of_changes))

    def _build_document(self, version: int, entries: dict[str, tuple[bytes, int | None]]) -> Document:
        document = self._empty_document()
        document.load((key, value) for key, (value, _) in entries.items())
        document.version = version
        document.changed = {key: changed for key, (_, changed) in entries.items() if changed is not None}
        return document

    @property
    def committed_version(self) -> int:
        """The newest committed version."""
        return self.document.version

    @property
    def epoch(self) -> str:
        """A hash of the history and the voters, as sent in Prepare."""
        return blake2b(f"{self._voters} {self.history}".encode(), digest_size=8).hexdigest()

    # The methods of agreement.ProposalTarget

    def completed(self, proposal: Proposal) -> AcceptedProposal | RejectedProposal | None:
        """The earlier result of a proposal whose ident was used before; None where it was not.

        It is a rejection where the ident was used for other entries.
        """
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
                f"ident {proposal.ident} was used for other entries, in version {found.version}: use another ident",
            )
        return AcceptedProposal(found.version)

    def build_change(self, proposal: Proposal) -> Change | RejectedProposal:
        """The change that a proposal makes as the next version, or why it is rejected."""
        for key, version in proposal.expected_versions.items():
            last = self.document.changed.get(key, self.pruned_version)
            if last > version:
                return RejectedProposal(
                    "stale",
                    f"{key} was changed by version {last}, after version {version}: read it again and propose anew",
                )
        key, count = Counter(entry.key for entry in proposal.entries).most_common(1)[0]
        if count > 1:
            return RejectedProposal("malformed", f"{key} occurs {count} times: each key may occur once")
        try:
            for entry in proposal.entries:
                if (value := canonical(entry.value)) != REMOVED_VALUE:
                    value_types.decode_value(entry.key, value)
            digest = self.document.digest_after(proposal.entries)
        except (DocumentError, value_types.InvalidValueError) as error:
            return RejectedProposal("malformed", str(error))
        return Change(self.committed_version + 1, proposal.ident, digest, proposal.entries, self._clock() * 1000)

    def validate(self, change: Change) -> None:
        """Checks that a change could be committed once it is decided. Raises UnacceptableChangeError."""
        if change.ident in self._store.completed:
            raise UnacceptableChangeError(
                f"ident {change.ident} was used in version {self._store.completed[change.ident].version}"
            )
        try:
            if self.document.digest_after(change.entries) != change.digest:
                raise UnacceptableChangeError(
                    f"version {change.version} would not have the digest that the change names"
                )
        except DocumentError as error:
            raise UnacceptableChangeError(str(error)) from None

    # Decided changes

    def commit(self, change: Change) -> bool:
        """Stores and applies the change that follows the committed version; returns False for any other.

        Raises DivergenceError and StoreError.
        """
        if change.version != self.committed_version + 1:
            return False
        try:
            if self.document.digest_after(change.entries) != change.digest:
                raise DivergenceError(f"version {change.version} has another digest here than where it was decided")
            hash_of_entries = entries_hash(change.entries)
        except DocumentError as error:
            raise DivergenceError(f"version {change.version} cannot be applied: {error}") from None
        rows = list[tuple[str, bytes | None]]()
        for entry in change.entries:
            value = canonical(entry.value)
            rows.append((entry.key, None if value == REMOVED_VALUE else value))
        history = self.history or change.ident
        self._store.append(history, change, rows, hash_of_entries)
        self.history = history
        self.document.apply(change)
        self.acceptor.advance(self.committed_version)
        self.publisher.append(change)
        if self.committed_version % PRUNE_INTERVAL_VERSIONS == 0:
            self._prune()
        return True

    def _prune(self) -> None:
        """Forgets keys that were removed long ago, so that the table of changed keys stays bounded."""
        oldest = self.committed_version - MAX_COMPLETED_PROPOSALS
        if oldest <= self.pruned_version:
            return
        self._store.prune_removed(oldest)
        self.pruned_version = oldest
        removed_keys = [k for k, v in self.document.changed.items() if v <= oldest and k not in self.document.entries]
        for key in removed_keys:
            del self.document.changed[key]

    def set_voting(self, ready: bool, votes_from: int | None) -> None:
        """Stores whether this voter is ready, and the first version that it votes on. Raises StoreError."""
        self._store.save_voting(ready, votes_from)
        self.ready, self.acceptor.votes_from = ready, votes_from

    def log(self, since: int) -> tuple[list[Change], bool]:
        """Decided changes from version `since` on; see Store.read_log. Raises StoreError."""
        return self._store.read_log(since)

    # Snapshots, for replicas that lack more changes than the log keeps

    def snapshot(self, version: int, page: int, now: float) -> SnapshotPage | None:
        """A page of the snapshot of a version; None where that snapshot is not kept any more.

        Version 0 with page 0 asks for a snapshot of the newest version.
        """
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
        bucket_numbers = range(page * BUCKETS_PER_PAGE, (page + 1) * BUCKETS_PER_PAGE)
        entries = [entry for bucket_number in bucket_numbers for entry in frozen.bucket(bucket_number)]
        changed = {entry.key: frozen.changed[entry.key] for entry in entries if entry.key in frozen.changed}
        if page == 0:
            changed |= {key: at for key, at in frozen.changed.items() if key not in frozen.entries}
        completed = self._snapshot_completed if page == 0 else []
        return SnapshotPage(
            self.history, frozen.version, frozen.digest, page, entries, changed, self.pruned_version, completed
        )

    def install(self, pages: Sequence[SnapshotPage]) -> bool:
        """Replaces the document with a snapshot, given as all its pages, if its version is newer.

        Returns whether it did. Raises DivergenceError and StoreError.
        """
        first = pages[0]
        if any((page.version, page.history) != (first.version, first.history) for page in pages):
            raise DivergenceError("the pages are of different snapshots")
        if self.history and first.history != self.history:
            raise DivergenceError(f"the snapshot has history {first.history}; this replica has {self.history}")
        if first.version <= self.committed_version:
            return False
        changed = {key: version for page in pages for key, version in page.changed.items()}
        entries = {entry.key: (bytes(entry.value), changed.get(entry.key)) for page in pages for entry in page.entries}
        try:
            document = self._build_document(first.version, entries)
        except DocumentError as error:
            raise DivergenceError(f"the snapshot cannot be applied: {error}") from None
        if document.digest != first.digest:
            raise DivergenceError("the entries of the snapshot do not match its digest")
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
