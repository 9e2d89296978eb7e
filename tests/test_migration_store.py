"""The store of steps: its transactions, its faults, and a plan interrupted at every point."""

from __future__ import annotations

import contextlib
import sqlite3
import tempfile
import unittest
from pathlib import Path

import msgspec
from click.testing import CliRunner

from lanelead.cli import main
from lanelead.protocols.migrations import AppendRequest, ApplyRequest, BatchRange, LeaseRequest, LogEntry
from lanelead.settings.read import read
from lanelead.settings.records import Steps
from lanelead.store.migration_store import MigrationStore, StoreRejectedError
from lanelead.testbed.emulators.crash_injection import (
    CrashTrial,
    StoreProcess,
    WriteTraffic,
    find_violations,
    with_tally,
)
from lanelead.testbed.scenarios.processes import free_ports
from tests.test_migration_runner import PLANS


def offers() -> Steps:
    plan = read(PLANS / "offers.cue")
    assert isinstance(plan, Steps)
    return with_tally(plan)


class Transactions(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.now = 0.0
        self.file = Path(folder.name, "store.db")
        self.ledger = MigrationStore(self.file, lambda: self.now)
        self.addCleanup(lambda: self.ledger.close())
        self.ledger.connection.execute("CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER DEFAULT 0)")

    def lease(self, runner: str = "one") -> int:
        return self.ledger.acquire_lease(LeaseRequest(runner, 1000))

    def intent(self, token: int) -> int:
        return self.ledger.append(AppendRequest(token, self.ledger.last_seq(), LogEntry("intent", "s"))).seq

    def rows(self) -> list[int]:
        return [n for (n,) in self.ledger.connection.execute("SELECT n FROM t ORDER BY id")]

    def rejected(self, reason: str) -> contextlib.AbstractContextManager[object]:
        return self.assertRaisesRegex(StoreRejectedError, reason)

    def test_one_runner_at_a_time_until_its_lease_ends_by_the_stores_clock(self) -> None:
        self.lease()
        with self.assertRaisesRegex(StoreRejectedError, "one has the lease"):
            self.lease("two")
        self.now = 1.5
        self.assertEqual(self.lease("two"), 2)

    def test_what_comes_under_an_earlier_token_changes_nothing(self) -> None:
        token = self.lease()
        intent = self.intent(token)
        self.now = 2.0
        self.lease("two")
        for call in (
            lambda: self.ledger.append(AppendRequest(token, 1, LogEntry("done", "s"))),
            lambda: self.ledger.apply_part(ApplyRequest(token, intent, 0, ("INSERT INTO t (n) VALUES (1)",))),
            lambda: self.ledger.renew_lease(token),
            lambda: self.ledger.forget_relay(token, 0),
        ):
            with self.rejected("token 1"):
                call()
        self.assertEqual((self.rows(), self.ledger.last_seq()), ([], 1))

    def test_an_entry_goes_right_after_the_last_that_its_writer_knows(self) -> None:
        token = self.lease()
        self.intent(token)
        with self.rejected("ends at 1"):
            self.ledger.append(AppendRequest(token, 0, LogEntry("done", "s")))

    def test_an_intent_waits_for_every_relay_that_was_told(self) -> None:
        token = self.lease()
        self.ledger.register_relay(4)
        closing = self.ledger.append(AppendRequest(token, 0, LogEntry("closing", "s"))).seq
        ask = AppendRequest(token, closing, LogEntry("intent", "s", barrier_seq=closing))
        with self.rejected(r"relays \[4\]"):
            self.ledger.append(ask)
        self.ledger.acknowledge(4, closing + 100)  # no relay has seen what is not written
        self.assertEqual(self.ledger.unacknowledged_relays(closing + 1), [4])
        self.ledger.append(ask)

    def test_a_relay_that_is_gone_for_good_is_forgotten_by_word_only(self) -> None:
        token = self.lease()
        self.ledger.register_relay(4)
        self.ledger.register_relay(5)
        self.ledger.forget_relay(token, 4)
        self.assertEqual(self.ledger.unacknowledged_relays(1), [5])

    def test_an_effect_and_its_mark_are_one(self) -> None:
        token = self.lease()
        ask = ApplyRequest(
            token, self.intent(token), 0, ("INSERT INTO t (n) VALUES (1)", "INSERT INTO nowhere VALUES (1)")
        )
        with self.rejected("nowhere"):
            self.ledger.apply_part(ask)
        self.assertEqual((self.rows(), self.ledger.progress(1).parts), ([], 0))
        good = msgspec.structs.replace(ask, statements=ask.statements[:1])
        for _ in range(3):
            self.assertEqual(self.ledger.apply_part(good).parts, 1)
        self.assertEqual(self.rows(), [1])

    def test_no_effect_without_an_intent(self) -> None:
        token = self.lease()
        with self.rejected("entry 1 is not an intent"):
            self.ledger.apply_part(ApplyRequest(token, 1, 0, ("INSERT INTO t (n) VALUES (1)",)))

    def test_statements_can_not_end_the_transaction_nor_touch_the_record(self) -> None:
        token = self.lease()
        intent = self.intent(token)
        for text in (
            "COMMIT",
            "ROLLBACK",
            "SAVEPOINT x",
            "PRAGMA synchronous = OFF",
            "ATTACH '/dev/null' AS x",
            "DELETE FROM ll_record",
            "UPDATE LL_lease SET token = 9",
            "DROP TABLE ll_marks",
            "SELECT * FROM ll_marks",
        ):
            with self.assertRaises(StoreRejectedError, msg=text) as caught:
                self.ledger.apply_part(ApplyRequest(token, intent, 0, ("INSERT INTO t (n) VALUES (1)", text)))
            self.assertEqual(caught.exception.reason, "failed")
        self.assertEqual((self.rows(), self.ledger.last_seq()), ([], 1))

    def test_a_backfill_goes_by_keys_and_ends_with_the_rows(self) -> None:
        self.ledger.connection.executemany("INSERT INTO t (id) VALUES (?)", [(n,) for n in (-5, 1, 2, 9, 40)])
        token = self.lease()
        intent, low, seen = self.intent(token), None, list[tuple[int | None, bool, int]]()
        for part in range(3):
            text = "UPDATE t SET n = n + 1 WHERE id > :low AND id <= :high"
            marks = self.ledger.apply_part(ApplyRequest(token, intent, part, (text,), BatchRange("t", "id", 2, low)))
            low = marks.cursor
            seen.append((low, marks.finished, marks.rows))
        self.assertEqual(seen, [(1, False, 2), (9, False, 4), (40, True, 5)])
        self.assertEqual(self.rows(), [1] * 5)
        self.ledger.connection.execute("DELETE FROM t")
        other = self.intent(token)
        marks = self.ledger.apply_part(ApplyRequest(token, other, 0, (text,), BatchRange("t", "id", 2, None)))
        self.assertTrue(marks.finished)

    def test_all_is_there_after_the_process_ends_and_its_clock_starts_anew(self) -> None:
        self.now = 500.0
        token = self.lease()
        self.intent(token)
        self.ledger.close()
        self.now = 0.0
        self.ledger = MigrationStore(self.file, lambda: self.now)
        with self.assertRaises(StoreRejectedError):
            self.lease("two")
        self.assertEqual(self.ledger.last_seq(), 1)
        self.now = 1.1
        self.assertEqual(self.lease("two"), 2)
        self.ledger.release_lease(2)
        self.ledger.close()
        self.ledger = MigrationStore(self.file, lambda: self.now)
        self.assertEqual(self.lease("three"), 3)


class Interrupted(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.trial = CrashTrial(offers(), Path(folder.name))

    def test_a_runner_killed_at_every_point(self) -> None:
        points = self.trial.points_of_run()
        self.assertGreater(len(points), 60)
        for number, point in enumerate(points):
            self.assertEqual(self.trial.runner_killed(number), [], f"at {number}, {point}")

    def test_a_runner_that_stood_still_past_its_lease_changes_nothing_when_it_wakes(self) -> None:
        points = self.trial.points_of_run()
        for number in range(2, len(points), 6):  # the rest by hand: benchmarks/step_interrupts.py
            self.assertEqual(self.trial.runner_paused(number), [], f"at {number}, {points[number]}")

    def test_a_store_whose_transactions_are_cut_at_every_point(self) -> None:
        for point in ("before", "mid", "commit", "after"):
            for call, many in (("apply", 16), ("append", 18)):
                if (call, point) != ("append", "mid"):
                    for skip in range(0, many, 4):
                        case = call, point, skip
                        self.assertEqual(self.trial.store_fault("cut", f"{call}.{point}", skip), [], case)

    def test_a_store_that_refuses_drops_or_is_late(self) -> None:
        for kind, path, more in (
            ("refuse", "/apply", {}),
            ("drop", "/apply", {}),
            ("drop", "/record", {}),
            ("drop", "/lease", {}),
            ("refuse", "/record", {}),
            ("late", "/apply", {"size": 0.05}),
            ("drop", "/marks", {}),
        ):
            self.assertEqual(self.trial.store_fault(kind, path, 3 if path != "/lease" else 0, **more), [], kind)

    def test_a_full_disk_is_failed_at_with_what_was_done_and_resumed_when_there_is_room(self) -> None:
        place = self.trial.start_store()
        self.addCleanup(place.close)
        place.inject(kind="full")
        stop = self.trial.run(place)
        self.assertIn("full", stop.message)
        self.assertEqual(find_violations(place.file, self.trial.plan), [])
        place.inject(kind="full", on=False)
        self.assertTrue(self.trial.run(place, "resume").succeeded)
        self.assertEqual(find_violations(place.file, self.trial.plan, whole=True), [])

    def test_a_call_that_the_disk_has_no_room_for_is_refused_with_the_reason(self) -> None:
        place = self.trial.start_store()
        self.addCleanup(place.close)
        big = msgspec.structs.replace(self.trial.plan, name="big")
        steps = [msgspec.structs.replace(big.steps[0], name=f"s{n}", apply=["x" * 3000]) for n in range(20)]
        trial = CrashTrial(msgspec.structs.replace(big, steps=steps, builds=[]), self.trial.folder)
        place.inject(kind="full")
        self.assertIn("full", trial.run(place, "take").message)
        self.assertEqual(find_violations(place.file, trial.plan), [])

    def test_an_effect_that_takes_longer_than_its_limit_is_asked_for_and_not_had_again(self) -> None:
        steps = [msgspec.structs.replace(step, limit_ms=60.0) for step in self.trial.plan.steps[:2]]
        trial = CrashTrial(msgspec.structs.replace(self.trial.plan, steps=steps, builds=[]), self.trial.folder)
        place = trial.start_store()
        self.addCleanup(place.close)
        place.inject(kind="slow", size=0.1)
        self.assertTrue(trial.run(place).succeeded)
        self.assertEqual(find_violations(place.file, trial.plan, whole=True), [])

    def test_what_is_filed_meanwhile_fits_and_without_heeding_the_record_it_does_not(self) -> None:
        for heed in (True, False):
            place = self.trial.start_store()
            self.trial.run(place, "take")
            filer = WriteTraffic(place.port, self.trial.plan, heed)
            try:
                place.inject(kind="cut", at="apply.commit", skip=2)
                self.assertTrue(self.trial.run(place).succeeded)
            finally:
                filer.close()
                place.close()
            self.assertEqual(bool(filer.failures), not heed, filer.failures[:3])
            self.assertGreater(min(filer.writes.get(build, 0) for build in (1, 2)), 0)
            self.assertEqual(find_violations(place.file, self.trial.plan, whole=True), [])

    def test_the_checker_sees_what_it_is_for(self) -> None:
        place = self.trial.start_store()
        self.trial.run(place)
        place.close()
        for text, said in (
            ("INSERT INTO tally VALUES ('add-cents')", "had 2 times"),
            ("DELETE FROM tally WHERE step = 'add-notes'", "had 0 times"),
            ("UPDATE offers SET touched = 3 WHERE id = 7", "rows were filled"),
            ("ALTER TABLE offers DROP COLUMN currency", "build 2 may have traffic, and fails"),
            ("DELETE FROM ll_record WHERE seq = (SELECT MAX(seq) FROM ll_record)", "intended at the end"),
        ):
            copy = place.file.with_name("copy.db")
            copy.write_bytes(place.file.read_bytes())
            db = sqlite3.connect(copy)
            db.execute(text)
            db.commit()
            db.close()
            self.assertIn(said, " ".join(find_violations(copy, self.trial.plan, whole=True)))


class Processes(unittest.TestCase):
    def test_the_command_line_runs_a_plan_on_a_store_that_is_killed_on_the_way(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            trial = CrashTrial(offers(), Path(name), lambda file: StoreProcess(file, lambda: free_ports(1)[0]))
            place = trial.start_store()
            self.addCleanup(place.close)
            plan = Path(name, "offers.cue")
            plan.write_bytes(msgspec.json.format(msgspec.json.encode({"steps": msgspec.to_builtins(trial.plan)})))

            def call(*args: str) -> tuple[int, str]:
                result = CliRunner().invoke(main, ["steps", *args, "--store", f"127.0.0.1:{place.port}"])
                return result.exit_code, result.output

            self.assertIn("no plan", call("status")[1])
            place.inject(kind="kill", at="apply.commit", skip=1)
            code, said = call("run", str(plan), "--to", "add-currency")
            self.assertEqual((code, said.splitlines()[-1]), (0, "all done"), said)
            self.assertEqual(find_violations(place.file, trial.plan), [])
            self.assertIn("may have traffic, until 'drop-price' begins", call("status")[1])
            code, said = call("run", str(plan))
            self.assertEqual(code, 3)
            self.assertIn("say --past-back", said)
            self.assertEqual(call("run", str(plan), "--past-back")[0], 0)
            self.assertEqual(call("undo", str(plan))[0], 3)  # its last step can't be undone
            self.assertEqual(find_violations(place.file, trial.plan, whole=True), [])
            place.close()
            self.assertEqual(call("status")[0], 2)


if __name__ == "__main__":
    unittest.main()
