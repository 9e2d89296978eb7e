"""Tests that databases written by commit c655458 (`pinned/*.sqlite`) can still be read and written.

The tests work on copies.
"""

from __future__ import annotations

import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path

import msgspec

from lanelead.configuration.document import Document
from lanelead.configuration.replica_state import ReplicaState
from lanelead.configuration.store import Store
from lanelead.protocols.configuration import Accept, AcceptedProposal, Ballot, Change, Entry, Prepare, Proposal
from lanelead.protocols.migrations import AppendRequest, ApplyRequest, BatchRange, LeaseRequest
from lanelead.protocols.migrations import LogEntry as Step
from lanelead.store.migration_store import MigrationStore

PINNED = Path(__file__).parent / "pinned"
CLOCK = 1_000.0


def proposal(ident: str, key: str, quota: float) -> Proposal:
    """A proposal that sets a tenant's quota."""
    return Proposal(ident, [Entry(key, msgspec.Raw(msgspec.json.encode({"quota_per_s": quota})))])


def rows(file: Path) -> dict[str, list[tuple[object, ...]]]:
    """Returns the columns and rows of every table of a database."""
    db = sqlite3.connect(file)
    try:
        names = [name for (name,) in db.execute("SELECT name FROM sqlite_master WHERE type = 'table' ORDER BY 1")]
        found: dict[str, list[tuple[object, ...]]] = {}
        for name in names:
            columns = tuple(row[1] for row in db.execute(f"PRAGMA table_info({name})"))
            found[name] = [columns, *db.execute(f"SELECT * FROM {name} ORDER BY 1")]
        return found
    finally:
        db.close()


def write_configuration(file: Path) -> None:
    """Writes a replica's database: three decided changes, one removed key, and a vote on the next change."""
    store = Store(file, lambda: CLOCK)
    state = ReplicaState(store, (0, 1, 2), Document, lambda: CLOCK)
    state.set_voting(True, 1)
    gone = Proposal("change-3", [Entry("tenant/a")])
    for wanted in (proposal("change-1", "tenant/a", 1.0), proposal("change-2", "tenant/b", 2.0), gone):
        change = state.build_change(wanted)
        assert isinstance(change, Change), change
        assert state.commit(change)
    change = state.build_change(proposal("change-4", "tenant/c", 4.0))
    assert isinstance(change, Change)
    state.acceptor.prepare(Prepare(4, Ballot(4, 2)))
    state.acceptor.accept(Accept(Ballot(4, 2), change))
    state.acceptor.prepare(Prepare(4, Ballot(5, 1)))
    store.close()


def write_migrations(file: Path) -> None:
    """Writes a migration store's database: a lease, a plan, a partly applied intent, and a registered relay."""
    migration_store = MigrationStore(file, lambda: CLOCK)
    migration_store.connection.execute("CREATE TABLE offers (id INTEGER PRIMARY KEY, n INTEGER DEFAULT 0)")
    migration_store.connection.execute("INSERT INTO offers (id) VALUES (1), (2), (3)")
    token = migration_store.acquire_lease(LeaseRequest("runner-1", 5000))
    migration_store.append(AppendRequest(token, 0, Step("plan", text="a plan")))
    migration_store.register_relay(3)
    migration_store.append(AppendRequest(token, 1, Step("intent", "widen")))
    statement = "UPDATE offers SET n = n + 1 WHERE id > :low AND id <= :high"
    migration_store.apply_part(ApplyRequest(token, 2, 0, (statement,), BatchRange("offers", "id", 2)))
    migration_store.acknowledge(3, 1)
    migration_store.close()


class PinnedFiles(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def copied(self, name: str) -> Path:
        """Copies a pinned file into the test's folder."""
        return Path(shutil.copy(PINNED / name, self.folder / name))


class ConfigurationFile(PinnedFiles):
    def open(self) -> ReplicaState:
        """Opens a copy of the replica's database."""
        store = Store(self.copied("configuration.sqlite"), lambda: CLOCK)
        self.addCleanup(store.close)
        return ReplicaState(store, (0, 1, 2), Document, lambda: CLOCK)

    def test_document_history_idents_and_votes_are_read(self) -> None:
        state = self.open()
        self.assertEqual((state.committed_version, state.history), (3, "change-1"))
        self.assertEqual(
            {key: bytes(value) for key, value in state.document.entries.items()},
            {
                "tenant/b": b'{"quota_per_s":2.0}',
            },
        )
        self.assertEqual(state.document.changed, {"tenant/a": 3, "tenant/b": 2})
        self.assertEqual(state.completed(proposal("change-2", "tenant/b", 2.0)), AcceptedProposal(2))
        self.assertEqual((state.acceptor.promised, state.acceptor.accepted), (Ballot(5, 1), Ballot(4, 2)))
        assert state.acceptor.change is not None
        self.assertEqual(state.acceptor.change.ident, "change-4")
        self.assertEqual([change.ident for change in state.log(1)[0]], ["change-1", "change-2", "change-3"])

    def test_writing_continues_in_the_file(self) -> None:
        state = self.open()
        change = state.build_change(proposal("change-5", "tenant/d", 5.0))
        assert isinstance(change, Change)
        self.assertTrue(state.commit(change))
        self.assertEqual((state.committed_version, sorted(state.document.entries)), (4, ["tenant/b", "tenant/d"]))

    def test_written_rows_are_those_of_the_recording(self) -> None:
        write_configuration(self.folder / "today.sqlite")
        self.assertEqual(rows(self.folder / "today.sqlite"), rows(self.copied("configuration.sqlite")))


class MigrationsFile(PinnedFiles):
    def open(self) -> MigrationStore:
        """Opens a copy of the migration store's database."""
        migration_store = MigrationStore(self.copied("migrations.sqlite"), lambda: CLOCK)
        self.addCleanup(migration_store.close)
        return migration_store

    def test_log_lease_progress_and_relays_are_read(self) -> None:
        migration_store = self.open()
        entries = migration_store.read_page(0).entries
        self.assertEqual(
            [(e.seq, e.token, e.runner, e.entry.kind, e.entry.step) for e in entries],
            [
                (1, 1, "runner-1", "plan", ""),
                (2, 1, "runner-1", "intent", "widen"),
            ],
        )
        progress = migration_store.progress(2)
        self.assertEqual((progress.parts, progress.cursor, progress.finished, progress.rows), (1, 2, False, 2))
        self.assertEqual(migration_store.unacknowledged_relays(2), [3])
        self.assertEqual(migration_store.unacknowledged_relays(1), [])

    def test_writing_continues_in_the_file(self) -> None:
        migration_store = self.open()
        token = migration_store.acquire_lease(LeaseRequest("runner-1", 5000))
        self.assertEqual(token, 2)
        statement = "UPDATE offers SET n = n + 1 WHERE id > :low AND id <= :high"
        progress = migration_store.apply_part(ApplyRequest(token, 2, 1, (statement,), BatchRange("offers", "id", 2, 2)))
        self.assertEqual((progress.parts, progress.finished, progress.rows), (2, True, 3))
        self.assertEqual(migration_store.append(AppendRequest(token, 2, Step("done", "widen"))).seq, 3)
        self.assertEqual(
            [n for (n,) in migration_store.connection.execute("SELECT n FROM offers ORDER BY id")], [1, 1, 1]
        )

    def test_written_rows_are_those_of_the_recording(self) -> None:
        write_migrations(self.folder / "today.sqlite")
        today, then = rows(self.folder / "today.sqlite"), rows(self.copied("migrations.sqlite"))
        for found in (today, then):  # without the time of writing, which is for display only
            found["ll_record"] = [(*row[:3], *row[4:]) for row in found["ll_record"]]
        self.assertEqual(today, then)
