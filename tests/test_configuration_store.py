"""What a machine keeps: on disk before it is said, bounded, and clear about disks that fail."""

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


class Filed(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "machine.sqlite"
        self.clock = 1000.0
        self.store: Store | None = None
        self.holding = self.open()

    def open(self, log: int = 20_000) -> ReplicaState:
        """As a process that starts: what an earlier one held in memory is gone."""
        self.close()
        self.store = Store(self.file, lambda: self.clock, log)
        self.addCleanup(self.close)
        return ReplicaState(self.store, VOTERS, Document, lambda: self.clock)

    def close(self) -> None:
        if self.store is not None:
            self.store.close()
            self.store = None

    def make(self, holding: ReplicaState, what: Proposal) -> Change:
        change = holding.build_change(what)
        assert isinstance(change, Change), change
        self.assertTrue(holding.commit(change))
        return change


class Keeping(Filed):
    def test_a_vote_outlives_the_process(self) -> None:
        self.holding.set_voting(True, 1)
        change = self.holding.build_change(proposal("some-change"))
        assert isinstance(change, Change)
        self.holding.acceptor.prepare(Prepare(1, Ballot(4, 2)))
        self.holding.acceptor.accept(Accept(Ballot(4, 2), change))
        self.holding.acceptor.prepare(Prepare(1, Ballot(5, 1)))
        again = self.open().acceptor
        self.assertEqual((Ballot(5, 1), Ballot(4, 2)), (again.promised, again.accepted))
        assert again.change is not None
        self.assertEqual(msgspec.json.encode(change), msgspec.json.encode(again.change))
        self.assertEqual("refused", again.prepare(Prepare(1, Ballot(5, 0))).outcome)
        self.assertEqual(1, again.votes_from)

    def test_a_vote_of_a_version_that_was_decided_since_is_gone(self) -> None:
        self.holding.set_voting(True, 1)
        self.holding.acceptor.prepare(Prepare(1, Ballot(4, 2)))
        self.make(self.holding, proposal("some-change"))
        again = self.open().acceptor
        self.assertEqual((1, Ballot(), None), (again.committed_version, again.promised, again.accepted))

    def test_the_document_its_history_and_idents_outlive_the_process(self) -> None:
        self.make(self.holding, proposal("change-1", "tenant/a"))
        self.make(self.holding, proposal("change-2", "tenant/b"))
        gone = self.make(self.holding, Proposal("change-3", [Entry("tenant/a")]))
        again = self.open()
        self.assertEqual((3, "change-1", gone.digest), (again.committed_version, again.history, again.document.digest))
        self.assertEqual(["tenant/b"], list(again.document.entries))
        self.assertEqual({"tenant/a": 3, "tenant/b": 2}, again.document.changed)
        self.assertEqual(AcceptedProposal(1), again.completed(proposal("change-1", "tenant/a")))
        self.assertIsNone(again.completed(proposal("change-9")))

    def test_an_ident_used_for_something_else_is_told_of_and_not_taken_as_made(self) -> None:
        self.make(self.holding, proposal("change-1", "tenant/a"))
        answer = self.holding.completed(proposal("change-1", "tenant/b"))
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("malformed", answer.reason)
        unreadable = Proposal("change-1", [Entry("tenant/a", msgspec.Raw(b'"\\ud800"'))])
        self.assertIsInstance(self.holding.completed(unreadable), RejectedProposal)
        change = Change(2, "change-1", self.holding.document.digest_after([Entry("tenant/a")]), [Entry("tenant/a")])
        with self.assertRaises(UnacceptableChangeError):
            self.holding.validate(change)

    def test_what_is_expected_unchanged_is_looked_at(self) -> None:
        self.make(self.holding, proposal("change-1", "tenant/a"))
        self.make(self.holding, proposal("change-2", "tenant/a"))
        answer = self.holding.build_change(proposal("change-3", "tenant/a", tenant_a=1))
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("stale", answer.reason)
        self.assertIsInstance(self.holding.build_change(proposal("change-3", "tenant/a", tenant_a=2)), Change)

    def test_bad_proposals_are_refused_with_what_is_wrong(self) -> None:
        unfit = proposal("change-1", "tenant/a", {"quota_per_s": -1})
        twice = Proposal("change-2", [Entry("x/a", msgspec.Raw(b"1")), Entry("x/a", msgspec.Raw(b"2"))])
        large = proposal("change-3", "x/a", "y" * 20_000)
        for bad, word in ((unfit, "quota_per_s"), (twice, "twice"), (large, "20002 bytes")):
            answer = self.holding.build_change(bad)
            assert isinstance(answer, RejectedProposal)
            self.assertEqual("malformed", answer.reason)
            self.assertIn(word.replace("twice", "2 times"), answer.text)

    def test_a_change_whose_digest_comes_out_otherwise_is_neither_voted_for_nor_taken(self) -> None:
        change = Change(1, "some-change", "0" * 32, proposal("some-change").entries)
        with self.assertRaises(UnacceptableChangeError):
            self.holding.validate(change)
        with self.assertRaises(DivergenceError):
            self.holding.commit(change)
        self.assertEqual(0, self.holding.committed_version)


class Bounds(Filed):
    def test_the_log_keeps_so_many_changes_and_a_day(self) -> None:
        holding = self.open(log=5)
        for number in range(1, 9):
            self.make(holding, proposal(f"change-{number}"))
        self.assertEqual([4, 5, 6, 7, 8], [change.version for change in holding.log(4)[0]])
        self.assertEqual(([], True), holding.log(3))
        self.clock += 90_000
        self.make(holding, proposal("change-9"))
        self.assertEqual([9], [change.version for change in holding.log(9)[0]])
        self.assertEqual(([], True), holding.log(8))
        self.assertEqual(9, self.open(log=5).committed_version)

    def test_a_page_of_the_log_is_bounded_in_bytes_and_has_one_change_at_least(self) -> None:
        assert self.store is not None
        for number in range(1, 5):
            self.make(self.holding, proposal(f"change-{number}", "x/a", "y" * 1000))
        self.assertEqual(2, len(self.store.read_log(1, size=2500)[0]))
        self.assertEqual(1, len(self.store.read_log(1, size=10)[0]))

    def test_idents_are_kept_for_the_last_changes_and_no_more(self) -> None:
        assert self.store is not None
        with self.store._transaction("test") as db:
            rows = [(f"change-{version}", version) for version in range(1, MAX_COMPLETED_PROPOSALS + 3)]
            db.executemany("INSERT INTO made VALUES (?, ?, '')", rows)
            self.store._trim(db, 0.0)
            self.assertEqual(
                (MAX_COMPLETED_PROPOSALS, 3), db.execute("SELECT COUNT(*), MIN(version) FROM made").fetchone()
            )

    def test_keys_that_are_gone_are_forgotten_in_the_end_and_then_expected_changed(self) -> None:
        assert self.store is not None
        self.make(self.holding, proposal("change-1", "tenant/a"))
        self.make(self.holding, Proposal("change-2", [Entry("tenant/a")]))
        self.holding.document.version += MAX_COMPLETED_PROPOSALS
        self.holding._prune()
        self.assertEqual({}, self.holding.document.changed)
        answer = self.holding.build_change(proposal("change-3", "tenant/a", tenant_a=1))
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("stale", answer.reason)


class Snapshots(Filed):
    def pages(self, holding: ReplicaState) -> list[SnapshotPage]:
        found = [holding.snapshot(0, 0, 0.0)]
        found += [holding.snapshot(holding.committed_version, page, 1.0) for page in range(1, SNAPSHOT_PAGES)]
        return [page for page in found if page is not None]

    def test_a_whole_document_passes_with_idents_and_versions_of_keys(self) -> None:
        for number in range(12):
            self.make(self.holding, proposal(f"change-{number}", f"tenant/{number}"))
        self.make(self.holding, Proposal("a-removal", [Entry("tenant/7")]))
        pages = self.pages(self.holding)
        self.make(self.holding, proposal("change-x", "tenant/x"))  # the snapshot stays as it was
        other = ReplicaState(Store(self.file.with_name("other")), VOTERS, Document, lambda: 0.0)
        self.assertTrue(other.install(pages))
        self.assertEqual((13, "change-0"), (other.committed_version, other.history))
        self.assertEqual(AcceptedProposal(1), other.completed(proposal("change-0", "tenant/0")))
        self.assertEqual(13, other.document.changed["tenant/7"])
        self.make(other, proposal("change-x", "tenant/x"))
        self.assertEqual(self.holding.document.digest, other.document.digest)
        self.assertFalse(other.install(pages))

    def test_pages_that_do_not_fit_together_or_were_changed_are_not_taken(self) -> None:
        for number in range(12):
            self.make(self.holding, proposal(f"change-{number}", f"tenant/{number}"))
        pages = self.pages(self.holding)
        other = ReplicaState(Store(self.file.with_name("other")), VOTERS, Document, lambda: 0.0)
        bad = [msgspec.structs.replace(page, entries=page.entries[1:]) for page in pages]
        with self.assertRaises(DivergenceError):
            other.install(bad)
        later = msgspec.structs.replace(pages[-1], version=99)
        with self.assertRaises(DivergenceError):
            other.install([*pages[:-1], later])
        self.assertEqual((0, ""), (other.committed_version, other.history))

    def test_a_snapshot_is_given_out_for_a_while_and_then_gone(self) -> None:
        self.make(self.holding, proposal("change-1"))
        self.assertIsNotNone(self.holding.snapshot(0, 0, 0.0))
        self.assertIsNotNone(self.holding.snapshot(1, 3, 50.0))
        self.assertIsNone(self.holding.snapshot(1, 4, 111.0))
        self.assertIsNone(self.holding.snapshot(2, 4, 111.0))


class Faults(Filed):
    def fills(self, fault: type[StoreError]) -> None:
        """Votes and changes until the disk takes no more: what was refused is not there, in memory either."""
        holding, number = self.holding, 0
        with self.assertRaises(fault) as caught:
            for number in range(1, 10_000):
                holding.acceptor.prepare(Prepare(number, Ballot(1, 0)))
                self.make(holding, proposal(f"change-{number}", f"x/{number}", "y" * 9000))
        self.assertTrue(caught.exception.remedy)
        head = holding.committed_version
        self.assertLess(head, number + 1)
        self.assertEqual(head, holding.acceptor.committed_version)
        self.assertEqual(Document.digest_after(holding.document, []), holding.document.digest)

    def test_a_full_disk(self) -> None:
        assert self.store is not None
        self.holding.set_voting(True, 1)
        pages = self.store._db.execute("PRAGMA page_count").fetchone()[0]
        self.store._db.execute(f"PRAGMA max_page_count={pages + 40}")
        self.fills(DiskFullError)
        head = self.holding.committed_version
        self.store._db.execute("PRAGMA max_page_count=100000")  # room was made: it goes on by itself
        self.make(self.holding, proposal("after-it"))
        self.assertEqual(head + 1, self.open().committed_version)

    def test_a_disk_turned_read_only(self) -> None:
        assert self.store is not None
        self.holding.set_voting(True, 1)
        self.store._db.execute("PRAGMA query_only=1")
        with self.assertRaises(ReadOnlyStoreError):
            self.holding.acceptor.prepare(Prepare(1, Ballot(1, 0)))
        self.assertEqual(Ballot(), self.holding.acceptor.promised)
        self.store._db.execute("PRAGMA query_only=0")
        self.assertEqual("promised", self.holding.acceptor.prepare(Prepare(1, Ballot(1, 0))).outcome)

    def test_an_input_output_error_at_each_point_leaves_all_as_it_was(self) -> None:
        self.holding.set_voting(True, 1)
        for point in ("vote.before", "vote.commit", "decide.before", "decide.commit"):

            def fails(reached: str, point: str = point) -> None:
                if reached == point:
                    raise OSError(5, "Input/output error")

            holding = self.open()
            assert self.store is not None
            self.store.on_step = fails
            with self.subTest(point):
                with self.assertRaises(StoreIOError):
                    if point.startswith("vote"):
                        holding.acceptor.prepare(Prepare(1, Ballot(1, 0)))
                    self.make(holding, proposal("change-1"))
                for each in (holding, self.open()):
                    self.assertEqual((0, "", Ballot()), (each.committed_version, each.history, each.acceptor.promised))
                    self.assertEqual({}, each.document.entries)

    def test_a_page_that_no_start_would_read_is_looked_at_all_the_same(self) -> None:
        self.make(self.holding, proposal("change-1", "x/a", "y" * 16000))
        self.make(self.holding, proposal("change-2", "x/a", "z"))
        self.close()
        Store(self.file).close()
        whole = self.file.read_bytes()
        for at in range(0, len(whole), 4096):
            if whole[at : at + 4096].count(b"y") > 4000:  # of the log: the entry has another value by now
                whole = whole[:at] + b"\0" * 4096 + whole[at + 4096 :]
        self.file.write_bytes(whole)
        with self.assertRaises(CorruptStoreError):
            Store(self.file)

    def test_a_file_that_was_torn_or_overwritten_is_refused(self) -> None:
        for number in range(1, 16):
            self.make(self.holding, proposal(f"change-{number}", f"x/{number}", "y" * 12000))
        self.close()
        whole = self.file.read_bytes()
        cut, blank = whole[: len(whole) // 2], whole[:8192] + b"\0" * 40_000 + whole[48_192:]
        for bad in (cut, blank, b"not a database, " * 4096, whole[:100] + b"\xff" * 3996 + whole[4096:]):
            self.file.write_bytes(bad)
            for more in ("-wal", "-shm"):
                Path(f"{self.file}{more}").unlink(missing_ok=True)
            with self.assertRaises(CorruptStoreError) as caught:
                self.open()
            self.assertIn("move the file", caught.exception.remedy)

    def test_rows_that_do_not_fit_together_are_refused(self) -> None:
        for number in range(1, 5):
            self.make(self.holding, proposal(f"change-{number}", f"x/{number}"))
        self.holding.set_voting(True, 1)
        self.holding.acceptor.prepare(Prepare(5, Ballot(1, 0)))
        self.close()
        whole = self.file.read_bytes()
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
            self.file.write_bytes(whole)
            db = sqlite3.connect(self.file, isolation_level=None)
            db.execute(statement)
            db.close()
            with self.subTest(statement), self.assertRaises(CorruptStoreError):
                self.open()

    def test_a_file_of_a_later_form_and_one_that_another_process_has(self) -> None:
        with self.assertRaises(StoreInUseError):
            Store(self.file)
        self.make(self.holding, proposal("change-1"))
        self.close()
        db = sqlite3.connect(self.file, isolation_level=None)
        db.execute("UPDATE one SET form = 2")
        db.close()
        with self.assertRaises(NewerFormatError):
            self.open()

    def test_a_folder_that_is_not_there(self) -> None:
        with self.assertRaises(StoreIOError):
            Store(self.file.parent / "none" / "file")

    def test_a_process_killed_between_votes_has_said_nothing_that_is_not_on_disk(self) -> None:
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
            said = 0
            while said < 20:
                said = int(process.stdout.readline())
            process.kill()
            said = int(([str(said).encode(), *process.stdout.read().split()])[-1])
        self.assertGreaterEqual(self.open().acceptor.promised.number, said)


class Marks(unittest.TestCase):
    def test_the_same_entries_have_one_mark_whatever_their_order_and_spaces(self) -> None:
        one = [Entry("x/a", msgspec.Raw(b'{"a": 1, "b": 2}')), Entry("x/b")]
        other = [Entry("x/b"), Entry("x/a", msgspec.Raw(b'{"b":2,"a":1}'))]
        self.assertEqual(entries_hash(one), entries_hash(other))
        self.assertNotEqual(entries_hash(one), entries_hash(other[1:]))
