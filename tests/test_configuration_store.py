"""The store of a replica: written before a reply, bounded, and with distinct errors for failing disks."""

from __future__ import annotations

import os
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from lanelead.configuration.agreement import UnacceptableChangeError
from lanelead.configuration.document import Document
from lanelead.configuration.replica_state import DivergenceError, ReplicaState, entries_hash
from lanelead.configuration.store import (
    MAX_COMPLETED_PROPOSALS,
    CorruptStoreError,
    DiskFullError,
    NewerFormatError,
    ReadOnlyStoreError,
    Store,
    StoreError,
    StoreInUseError,
    StoreIOError,
)
from lanelead.protocols.configuration import (
    Accept,
    AcceptedProposal,
    Ballot,
    Change,
    Entry,
    Prepare,
    Proposal,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import SNAPSHOT_PAGES, SnapshotPage
from tests.simulated_replicas import proposal

VOTERS = (0, 1, 2)


class StoreTestCase(unittest.TestCase):
    """A replica state on a store file in a temporary directory."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "machine.sqlite"
        self.clock = 1000.0
        self.store: Store | None = None
        self.state = self.open()

    def open(self, log: int = 20_000) -> ReplicaState:
        """Reopens the file as a new process does, without anything that was only in memory."""
        self.close()
        self.store = Store(self.file, lambda: self.clock, log)
        self.addCleanup(self.close)
        return ReplicaState(self.store, VOTERS, Document, lambda: self.clock)

    def close(self) -> None:
        """Closes the store if it is open."""
        if self.store is not None:
            self.store.close()
            self.store = None

    def make(self, state: ReplicaState, proposed: Proposal) -> Change:
        """Commits a proposal's change without a vote."""
        change = state.build_change(proposed)
        assert isinstance(change, Change), change
        self.assertTrue(state.commit(change))
        return change


class Persistence(StoreTestCase):
    """Votes and changes after a restart, and proposals that are rejected."""

    def test_a_vote_outlives_the_process(self) -> None:
        self.state.set_voting(True, 1)
        change = self.state.build_change(proposal("some-change"))
        assert isinstance(change, Change)
        self.state.acceptor.prepare(Prepare(1, Ballot(4, 2)))
        self.state.acceptor.accept(Accept(Ballot(4, 2), change))
        self.state.acceptor.prepare(Prepare(1, Ballot(5, 1)))
        again = self.open().acceptor
        self.assertEqual((Ballot(5, 1), Ballot(4, 2)), (again.promised, again.accepted))
        assert again.change is not None
        self.assertEqual(msgspec.json.encode(change), msgspec.json.encode(again.change))
        self.assertEqual("refused", again.prepare(Prepare(1, Ballot(5, 0))).outcome)
        self.assertEqual(1, again.votes_from)

    def test_a_vote_is_dropped_once_its_version_is_decided(self) -> None:
        self.state.set_voting(True, 1)
        self.state.acceptor.prepare(Prepare(1, Ballot(4, 2)))
        self.make(self.state, proposal("some-change"))
        again = self.open().acceptor
        self.assertEqual((1, Ballot(), None), (again.committed_version, again.promised, again.accepted))

    def test_the_document_its_history_and_idents_outlive_the_process(self) -> None:
        self.make(self.state, proposal("change-1", "tenant/a"))
        self.make(self.state, proposal("change-2", "tenant/b"))
        gone = self.make(self.state, Proposal("change-3", [Entry("tenant/a")]))
        again = self.open()
        self.assertEqual((3, "change-1", gone.digest), (again.committed_version, again.history, again.document.digest))
        self.assertEqual(["tenant/b"], list(again.document.entries))
        self.assertEqual({"tenant/a": 3, "tenant/b": 2}, again.document.changed)
        self.assertEqual(AcceptedProposal(1), again.completed(proposal("change-1", "tenant/a")))
        self.assertIsNone(again.completed(proposal("change-9")))

    def test_an_ident_that_was_used_for_other_entries_is_rejected(self) -> None:
        self.make(self.state, proposal("change-1", "tenant/a"))
        answer = self.state.completed(proposal("change-1", "tenant/b"))
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("malformed", answer.reason)
        unreadable = Proposal("change-1", [Entry("tenant/a", msgspec.Raw(b'"\\ud800"'))])
        self.assertIsInstance(self.state.completed(unreadable), RejectedProposal)
        change = Change(2, "change-1", self.state.document.digest_after([Entry("tenant/a")]), [Entry("tenant/a")])
        with self.assertRaises(UnacceptableChangeError):
            self.state.validate(change)

    def test_a_proposal_is_stale_if_an_expected_version_was_passed(self) -> None:
        self.make(self.state, proposal("change-1", "tenant/a"))
        self.make(self.state, proposal("change-2", "tenant/a"))
        answer = self.state.build_change(proposal("change-3", "tenant/a", tenant_a=1))
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("stale", answer.reason)
        self.assertIsInstance(self.state.build_change(proposal("change-3", "tenant/a", tenant_a=2)), Change)

    def test_bad_proposals_are_rejected_with_a_reason(self) -> None:
        unfit = proposal("change-1", "tenant/a", {"quota_per_s": -1})
        twice = Proposal("change-2", [Entry("x/a", msgspec.Raw(b"1")), Entry("x/a", msgspec.Raw(b"2"))])
        large = proposal("change-3", "x/a", "y" * 20_000)
        for bad, word in ((unfit, "quota_per_s"), (twice, "twice"), (large, "20002 bytes")):
            answer = self.state.build_change(bad)
            assert isinstance(answer, RejectedProposal)
            self.assertEqual("malformed", answer.reason)
            self.assertIn(word.replace("twice", "2 times"), answer.text)

    def test_a_change_with_a_wrong_digest_is_neither_accepted_nor_committed(self) -> None:
        change = Change(1, "some-change", "0" * 32, proposal("some-change").entries)
        with self.assertRaises(UnacceptableChangeError):
            self.state.validate(change)
        with self.assertRaises(DivergenceError):
            self.state.commit(change)
        self.assertEqual(0, self.state.committed_version)


class Bounds(StoreTestCase):
    """Limits of the log, of idents and of removed keys."""

    def test_the_log_is_bounded_by_number_and_age(self) -> None:
        state = self.open(log=5)
        for number in range(1, 9):
            self.make(state, proposal(f"change-{number}"))
        self.assertEqual([4, 5, 6, 7, 8], [change.version for change in state.log(4)[0]])
        self.assertEqual(([], True), state.log(3))
        self.clock += 90_000
        self.make(state, proposal("change-9"))
        self.assertEqual([9], [change.version for change in state.log(9)[0]])
        self.assertEqual(([], True), state.log(8))
        self.assertEqual(9, self.open(log=5).committed_version)

    def test_a_page_of_the_log_is_bounded_in_bytes_but_has_one_change_at_least(self) -> None:
        assert self.store is not None
        for number in range(1, 5):
            self.make(self.state, proposal(f"change-{number}", "x/a", "y" * 1000))
        self.assertEqual(2, len(self.store.read_log(1, max_bytes=2500)[0]))
        self.assertEqual(1, len(self.store.read_log(1, max_bytes=10)[0]))

    def test_idents_are_kept_for_the_latest_changes_only(self) -> None:
        assert self.store is not None
        with self.store._transaction("test") as db:
            rows = [(f"change-{version}", version) for version in range(1, MAX_COMPLETED_PROPOSALS + 3)]
            db.executemany("INSERT INTO made VALUES (?, ?, '')", rows)
            self.store._trim(db, 0.0)
            self.assertEqual(
                (MAX_COMPLETED_PROPOSALS, 3), db.execute("SELECT COUNT(*), MIN(version) FROM made").fetchone()
            )

    def test_a_removed_key_is_pruned_and_counts_as_changed_then(self) -> None:
        assert self.store is not None
        self.make(self.state, proposal("change-1", "tenant/a"))
        self.make(self.state, Proposal("change-2", [Entry("tenant/a")]))
        self.state.document.version += MAX_COMPLETED_PROPOSALS
        self.state._prune()
        self.assertEqual({}, self.state.document.changed)
        answer = self.state.build_change(proposal("change-3", "tenant/a", tenant_a=1))
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("stale", answer.reason)


class Snapshots(StoreTestCase):
    """Snapshots passed from one replica to another."""

    def pages(self, state: ReplicaState) -> list[SnapshotPage]:
        """All pages of a snapshot of the committed version."""
        found = [state.snapshot(0, 0, 0.0)]
        found += [state.snapshot(state.committed_version, page, 1.0) for page in range(1, SNAPSHOT_PAGES)]
        return [page for page in found if page is not None]

    def test_a_snapshot_carries_the_document_idents_and_versions_of_keys(self) -> None:
        for number in range(12):
            self.make(self.state, proposal(f"change-{number}", f"tenant/{number}"))
        self.make(self.state, Proposal("a-removal", [Entry("tenant/7")]))
        pages = self.pages(self.state)
        self.make(self.state, proposal("change-x", "tenant/x"))  # the snapshot stays as it was
        other = ReplicaState(Store(self.file.with_name("other")), VOTERS, Document, lambda: 0.0)
        self.assertTrue(other.install(pages))
        self.assertEqual((13, "change-0"), (other.committed_version, other.history))
        self.assertEqual(AcceptedProposal(1), other.completed(proposal("change-0", "tenant/0")))
        self.assertEqual(13, other.document.changed["tenant/7"])
        self.make(other, proposal("change-x", "tenant/x"))
        self.assertEqual(self.state.document.digest, other.document.digest)
        self.assertFalse(other.install(pages))

    def test_inconsistent_or_altered_pages_are_not_installed(self) -> None:
        for number in range(12):
            self.make(self.state, proposal(f"change-{number}", f"tenant/{number}"))
        pages = self.pages(self.state)
        other = ReplicaState(Store(self.file.with_name("other")), VOTERS, Document, lambda: 0.0)
        bad = [msgspec.structs.replace(page, entries=page.entries[1:]) for page in pages]
        with self.assertRaises(DivergenceError):
            other.install(bad)
        later = msgspec.structs.replace(pages[-1], version=99)
        with self.assertRaises(DivergenceError):
            other.install([*pages[:-1], later])
        self.assertEqual((0, ""), (other.committed_version, other.history))

    def test_a_snapshot_expires_after_it_was_not_requested_for_a_while(self) -> None:
        self.make(self.state, proposal("change-1"))
        self.assertIsNotNone(self.state.snapshot(0, 0, 0.0))
        self.assertIsNotNone(self.state.snapshot(1, 3, 50.0))
        self.assertIsNone(self.state.snapshot(1, 4, 111.0))
        self.assertIsNone(self.state.snapshot(2, 4, 111.0))


class Faults(StoreTestCase):
    """Failing disks, damaged files and killed processes."""

    def write_until_failure(self, error: type[StoreError]) -> None:
        """Votes and commits until a write fails; the failed write has no effect, in memory either."""
        state, number = self.state, 0
        with self.assertRaises(error) as caught:
            for number in range(1, 10_000):
                state.acceptor.prepare(Prepare(number, Ballot(1, 0)))
                self.make(state, proposal(f"change-{number}", f"x/{number}", "y" * 9000))
        self.assertTrue(caught.exception.remedy)
        head = state.committed_version
        self.assertLess(head, number + 1)
        self.assertEqual(head, state.acceptor.committed_version)
        self.assertEqual(Document.digest_after(state.document, []), state.document.digest)

    def test_a_full_disk(self) -> None:
        assert self.store is not None
        self.state.set_voting(True, 1)
        pages = self.store._db.execute("PRAGMA page_count").fetchone()[0]
        self.store._db.execute(f"PRAGMA max_page_count={pages + 40}")
        self.write_until_failure(DiskFullError)
        head = self.state.committed_version
        self.store._db.execute("PRAGMA max_page_count=100000")  # space was freed: writes succeed again
        self.make(self.state, proposal("after-it"))
        self.assertEqual(head + 1, self.open().committed_version)

    def test_a_disk_that_becomes_read_only(self) -> None:
        assert self.store is not None
        self.state.set_voting(True, 1)
        self.store._db.execute("PRAGMA query_only=1")
        with self.assertRaises(ReadOnlyStoreError):
            self.state.acceptor.prepare(Prepare(1, Ballot(1, 0)))
        self.assertEqual(Ballot(), self.state.acceptor.promised)
        self.store._db.execute("PRAGMA query_only=0")
        self.assertEqual("promised", self.state.acceptor.prepare(Prepare(1, Ballot(1, 0))).outcome)

    def test_an_io_error_at_any_step_has_no_effect(self) -> None:
        self.state.set_voting(True, 1)
        for step in ("vote.before", "vote.commit", "decide.before", "decide.commit"):

            def fails(reached: str, step: str = step) -> None:
                if reached == step:
                    raise OSError(5, "Input/output error")

            state = self.open()
            assert self.store is not None
            self.store.on_step = fails
            with self.subTest(step):
                with self.assertRaises(StoreIOError):
                    if step.startswith("vote"):
                        state.acceptor.prepare(Prepare(1, Ballot(1, 0)))
                    self.make(state, proposal("change-1"))
                for each in (state, self.open()):
                    self.assertEqual((0, "", Ballot()), (each.committed_version, each.history, each.acceptor.promised))
                    self.assertEqual({}, each.document.entries)

    def test_damage_in_a_page_that_a_start_does_not_read_is_detected(self) -> None:
        self.make(self.state, proposal("change-1", "x/a", "y" * 16000))
        self.make(self.state, proposal("change-2", "x/a", "z"))
        self.close()
        Store(self.file).close()
        content = self.file.read_bytes()
        for at in range(0, len(content), 4096):
            # A page with this many `y` is one of the log; the entry itself was overwritten by the second change.
            if content[at : at + 4096].count(b"y") > 4000:
                content = content[:at] + b"\0" * 4096 + content[at + 4096 :]
        self.file.write_bytes(content)
        with self.assertRaises(CorruptStoreError):
            Store(self.file)

    def test_a_truncated_or_overwritten_file_is_refused(self) -> None:
        for number in range(1, 16):
            self.make(self.state, proposal(f"change-{number}", f"x/{number}", "y" * 12000))
        self.close()
        content = self.file.read_bytes()
        cut, blank = content[: len(content) // 2], content[:8192] + b"\0" * 40_000 + content[48_192:]
        for bad in (cut, blank, b"not a database, " * 4096, content[:100] + b"\xff" * 3996 + content[4096:]):
            self.file.write_bytes(bad)
            for suffix in ("-wal", "-shm"):
                Path(f"{self.file}{suffix}").unlink(missing_ok=True)
            with self.assertRaises(CorruptStoreError) as caught:
                self.open()
            self.assertIn("move the file", caught.exception.remedy)

    def test_inconsistent_rows_are_refused(self) -> None:
        for number in range(1, 5):
            self.make(self.state, proposal(f"change-{number}", f"x/{number}"))
        self.state.set_voting(True, 1)
        self.state.acceptor.prepare(Prepare(5, Ballot(1, 0)))
        self.close()
        content = self.file.read_bytes()
        for statement in (
            "UPDATE one SET head = 3",
            "DELETE FROM one",
            "DELETE FROM log WHERE version = 2",
            "UPDATE vote SET version = 9",
            "UPDATE entry SET value = X'31' WHERE key = 'x/3'",
            "UPDATE vote SET accepted = 1, accepted_by = 1, change = X'00'",
            "DELETE FROM entry",
        ):
            self.close()
            self.file.write_bytes(content)
            db = sqlite3.connect(self.file, isolation_level=None)
            db.execute(statement)
            db.close()
            with self.subTest(statement), self.assertRaises(CorruptStoreError):
                self.open()

    def test_a_newer_format_or_a_file_in_use_is_refused(self) -> None:
        with self.assertRaises(StoreInUseError):
            Store(self.file)
        self.make(self.state, proposal("change-1"))
        self.close()
        db = sqlite3.connect(self.file, isolation_level=None)
        db.execute("UPDATE one SET form = 2")
        db.close()
        with self.assertRaises(NewerFormatError):
            self.open()

    def test_a_missing_directory(self) -> None:
        with self.assertRaises(StoreIOError):
            Store(self.file.parent / "none" / "file")

    def test_a_killed_process_has_stored_every_vote_that_it_reported(self) -> None:
        self.close()
        text = (
            "import sys, os\n"
            "from lanelead.configuration.store import Store\n"
            "from lanelead.protocols.configuration import Ballot\n"
            "store = Store(sys.argv[1])\n"
            "for number in range(1, 1000):\n"
            "    store.save_vote(1, Ballot(number, 0), None, None)\n"
            "    os.write(1, b'%d\\n' % number)\n"
        )
        root = Path(__file__).parent.parent
        with subprocess.Popen(
            [sys.executable, "-c", text, str(self.file)],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(root)},
        ) as process:
            assert process.stdout is not None
            reported = 0
            while reported < 20:
                reported = int(process.stdout.readline())
            process.kill()
            reported = int(([str(reported).encode(), *process.stdout.read().split()])[-1])
        self.assertGreaterEqual(self.open().acceptor.promised.number, reported)


class EntriesHash(unittest.TestCase):
    """The hash by which a retried proposal is recognized."""

    def test_the_hash_is_independent_of_order_and_formatting(self) -> None:
        one = [Entry("x/a", msgspec.Raw(b'{"a": 1, "b": 2}')), Entry("x/b")]
        other = [Entry("x/b"), Entry("x/a", msgspec.Raw(b'{"b":2,"a":1}'))]
        self.assertEqual(entries_hash(one), entries_hash(other))
        self.assertNotEqual(entries_hash(one), entries_hash(other[1:]))
