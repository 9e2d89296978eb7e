"""Files that commit c655458 wrote are opened, read on and written on: `pinned/*.sqlite`, copied first."""

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
    return Proposal(ident, [Entry(key, msgspec.Raw(msgspec.json.encode({"quota_per_s": quota})))])


def rows(file: Path) -> dict[str, list[tuple[object, ...]]]:
    """Every table of a database, with its columns."""
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
    """A machine's file: three changes decided, a key gone, a vote on the next change."""
    store = Store(file, lambda: CLOCK)
    holding = ReplicaState(store, (0, 1, 2), Document, lambda: CLOCK)
    holding.set_voting(True, 1)
    gone = Proposal("change-3", [Entry("tenant/a")])
    for wanted in (proposal("change-1", "tenant/a", 1.0), proposal("change-2", "tenant/b", 2.0), gone):
        change = holding.build_change(wanted)
        assert isinstance(change, Change), change
        assert holding.commit(change)
    change = holding.build_change(proposal("change-4", "tenant/c", 4.0))
    assert isinstance(change, Change)
    holding.acceptor.prepare(Prepare(4, Ballot(4, 2)))
    holding.acceptor.accept(Accept(Ballot(4, 2), change))
    holding.acceptor.prepare(Prepare(4, Ballot(5, 1)))
    store.close()


def write_migrations(file: Path) -> None:
    """A store's file: a runner's lease, a plan, an intent with part of its effect, a watching relay."""
    ledger = MigrationStore(file, lambda: CLOCK)
    ledger.connection.execute("CREATE TABLE offers (id INTEGER PRIMARY KEY, n INTEGER DEFAULT 0)")
    ledger.connection.execute("INSERT INTO offers (id) VALUES (1), (2), (3)")
    token = ledger.acquire_lease(LeaseRequest("runner-1", 5000))
    ledger.append(AppendRequest(token, 0, Step("plan", text="a plan")))
    ledger.register_relay(3)
    ledger.append(AppendRequest(token, 1, Step("intent", "widen")))
    statement = "UPDATE offers SET n = n + 1 WHERE id > :low AND id <= :high"
    ledger.apply_part(ApplyRequest(token, 2, 0, (statement,), BatchRange("offers", "id", 2)))
    ledger.acknowledge(3, 1)
    ledger.close()


class PinnedFiles(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def copied(self, name: str) -> Path:
        return Path(shutil.copy(PINNED / name, self.folder / name))


class ConfigurationFile(PinnedFiles):
    def open(self) -> ReplicaState:
        store = Store(self.copied("configuration.sqlite"), lambda: CLOCK)
        self.addCleanup(store.close)
        return ReplicaState(store, (0, 1, 2), Document, lambda: CLOCK)

    def test_document_history_idents_and_votes_are_read(self) -> None:
        holding = self.open()
        self.assertEqual((holding.committed_version, holding.history), (3, "change-1"))
        self.assertEqual(
            {key: bytes(value) for key, value in holding.document.entries.items()},
            {
                "tenant/b": b'{"quota_per_s":2.0}',
            },
        )
        self.assertEqual(holding.document.changed, {"tenant/a": 3, "tenant/b": 2})
        self.assertEqual(holding.completed(proposal("change-2", "tenant/b", 2.0)), AcceptedProposal(2))
        self.assertEqual((holding.acceptor.promised, holding.acceptor.accepted), (Ballot(5, 1), Ballot(4, 2)))
        assert holding.acceptor.change is not None
        self.assertEqual(holding.acceptor.change.ident, "change-4")
        self.assertEqual([change.ident for change in holding.log(1)[0]], ["change-1", "change-2", "change-3"])

    def test_the_file_is_written_on(self) -> None:
        holding = self.open()
        change = holding.build_change(proposal("change-5", "tenant/d", 5.0))
        assert isinstance(change, Change)
        self.assertTrue(holding.commit(change))
        self.assertEqual((holding.committed_version, sorted(holding.document.entries)), (4, ["tenant/b", "tenant/d"]))

    def test_what_is_written_today_is_what_was_written_then(self) -> None:
        write_configuration(self.folder / "today.sqlite")
        self.assertEqual(rows(self.folder / "today.sqlite"), rows(self.copied("configuration.sqlite")))


class MigrationsFile(PinnedFiles):
    def open(self) -> MigrationStore:
        ledger = MigrationStore(self.copied("migrations.sqlite"), lambda: CLOCK)
        self.addCleanup(ledger.close)
        return ledger

    def test_record_lease_marks_and_relays_are_read(self) -> None:
        ledger = self.open()
        entries = ledger.read_page(0).entries
        self.assertEqual(
            [(e.seq, e.token, e.runner, e.entry.kind, e.entry.step) for e in entries],
            [
                (1, 1, "runner-1", "plan", ""),
                (2, 1, "runner-1", "intent", "widen"),
            ],
        )
        marks = ledger.progress(2)
        self.assertEqual((marks.parts, marks.cursor, marks.finished, marks.rows), (1, 2, False, 2))
        self.assertEqual(ledger.unacknowledged_relays(2), [3])
        self.assertEqual(ledger.unacknowledged_relays(1), [])

    def test_the_file_is_written_on(self) -> None:
        ledger = self.open()
        token = ledger.acquire_lease(LeaseRequest("runner-1", 5000))
        self.assertEqual(token, 2)
        statement = "UPDATE offers SET n = n + 1 WHERE id > :low AND id <= :high"
        marks = ledger.apply_part(ApplyRequest(token, 2, 1, (statement,), BatchRange("offers", "id", 2, 2)))
        self.assertEqual((marks.parts, marks.finished, marks.rows), (2, True, 3))
        self.assertEqual(ledger.append(AppendRequest(token, 2, Step("done", "widen"))).seq, 3)
        self.assertEqual([n for (n,) in ledger.connection.execute("SELECT n FROM offers ORDER BY id")], [1, 1, 1])

    def test_what_is_written_today_is_what_was_written_then(self) -> None:
        write_migrations(self.folder / "today.sqlite")
        today, then = rows(self.folder / "today.sqlite"), rows(self.copied("migrations.sqlite"))
        for found in (today, then):  # the time of writing is for people only
            found["ll_record"] = [(*row[:3], *row[4:]) for row in found["ll_record"]]
        self.assertEqual(today, then)
