"""The migration store: its transactions, injected faults, and plans whose runs are interrupted at every point."""

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
from lanelead.settings.migration_settings import MigrationPlan
from lanelead.settings.read import read
from lanelead.store.migration_store import MigrationStore, StoreRejectedError
from lanelead.testbed.emulators.crash_injection import CrashTrial
from lanelead.testbed.emulators.migration_checker import find_violations, with_tally
from lanelead.testbed.emulators.running_stores import StoreProcess
from lanelead.testbed.emulators.write_traffic import WriteTraffic
from lanelead.testbed.scenarios.processes import free_ports
from tests.test_migration_runner import PLANS


def offers_plan() -> MigrationPlan:
    plan = read(PLANS / "offers.cue")
    assert isinstance(plan, MigrationPlan)
    return with_tally(plan)


class Transactions(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.now = 0.0
        self.file = Path(directory.name, "store.db")
        self.store = MigrationStore(self.file, lambda: self.now)
        self.addCleanup(lambda: self.store.close())
        self.store.connection.execute("CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER DEFAULT 0)")

    def lease(self, runner: str = "one") -> int:
        return self.store.acquire_lease(LeaseRequest(runner, 1000))

    def intent(self, token: int) -> int:
        return self.store.append(AppendRequest(token, self.store.last_seq(), LogEntry("intent", "s"))).seq

    def rows(self) -> list[int]:
        return [n for (n,) in self.store.connection.execute("SELECT n FROM t ORDER BY id")]

    def rejected(self, reason: str) -> contextlib.AbstractContextManager[object]:
        return self.assertRaisesRegex(StoreRejectedError, reason)

    def test_one_runner_holds_the_lease_until_it_expires_by_the_stores_clock(self) -> None:
        self.lease()
        with self.assertRaisesRegex(StoreRejectedError, "one has the lease"):
            self.lease("two")
        self.now = 1.5
        self.assertEqual(self.lease("two"), 2)

    def test_a_call_with_an_earlier_token_changes_nothing(self) -> None:
        token = self.lease()
        intent = self.intent(token)
        self.now = 2.0
        self.lease("two")
        for call in (
            lambda: self.store.append(AppendRequest(token, 1, LogEntry("done", "s"))),
            lambda: self.store.apply_part(ApplyRequest(token, intent, 0, ("INSERT INTO t (n) VALUES (1)",))),
            lambda: self.store.renew_lease(token),
            lambda: self.store.forget_relay(token, 0),
        ):
            with self.rejected("token 1"):
                call()
        self.assertEqual((self.rows(), self.store.last_seq()), ([], 1))

    def test_an_entry_is_rejected_if_its_writer_does_not_know_the_last_one(self) -> None:
        token = self.lease()
        self.intent(token)
        with self.rejected("ends at 1"):
            self.store.append(AppendRequest(token, 0, LogEntry("done", "s")))

    def test_an_intent_waits_for_every_registered_relay(self) -> None:
        token = self.lease()
        self.store.register_relay(4)
        barrier_seq = self.store.append(AppendRequest(token, 0, LogEntry("closing", "s"))).seq
        request = AppendRequest(token, barrier_seq, LogEntry("intent", "s", barrier_seq=barrier_seq))
        with self.rejected(r"relays \[4\]"):
            self.store.append(request)
        self.store.acknowledge(4, barrier_seq + 100)  # entries that do not exist yet are not acknowledged
        self.assertEqual(self.store.unacknowledged_relays(barrier_seq + 1), [4])
        self.store.append(request)

    def test_a_forgotten_relay_is_no_longer_waited_for(self) -> None:
        token = self.lease()
        self.store.register_relay(4)
        self.store.register_relay(5)
        self.store.forget_relay(token, 4)
        self.assertEqual(self.store.unacknowledged_relays(1), [5])

    def test_an_effect_and_its_progress_are_one_transaction(self) -> None:
        token = self.lease()
        request = ApplyRequest(
            token, self.intent(token), 0, ("INSERT INTO t (n) VALUES (1)", "INSERT INTO nowhere VALUES (1)")
        )
        with self.rejected("nowhere"):
            self.store.apply_part(request)
        self.assertEqual((self.rows(), self.store.progress(1).parts), ([], 0))
        good = msgspec.structs.replace(request, statements=request.statements[:1])
        for _ in range(3):
            self.assertEqual(self.store.apply_part(good).parts, 1)
        self.assertEqual(self.rows(), [1])

    def test_no_effect_without_an_intent(self) -> None:
        token = self.lease()
        with self.rejected("entry 1 is not an intent"):
            self.store.apply_part(ApplyRequest(token, 1, 0, ("INSERT INTO t (n) VALUES (1)",)))

    def test_statements_can_not_end_the_transaction_nor_touch_the_log(self) -> None:
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
                self.store.apply_part(ApplyRequest(token, intent, 0, ("INSERT INTO t (n) VALUES (1)", text)))
            self.assertEqual(caught.exception.reason, "failed")
        self.assertEqual((self.rows(), self.store.last_seq()), ([], 1))

    def test_a_backfill_proceeds_by_keys_and_ends_after_the_last_row(self) -> None:
        self.store.connection.executemany("INSERT INTO t (id) VALUES (?)", [(n,) for n in (-5, 1, 2, 9, 40)])
        token = self.lease()
        intent, after_key, batches = self.intent(token), None, list[tuple[int | None, bool, int]]()
        for part in range(3):
            text = "UPDATE t SET n = n + 1 WHERE id > :low AND id <= :high"
            progress = self.store.apply_part(
                ApplyRequest(token, intent, part, (text,), BatchRange("t", "id", 2, after_key))
            )
            after_key = progress.cursor
            batches.append((after_key, progress.finished, progress.rows))
        self.assertEqual(batches, [(1, False, 2), (9, False, 4), (40, True, 5)])
        self.assertEqual(self.rows(), [1] * 5)
        self.store.connection.execute("DELETE FROM t")
        other = self.intent(token)
        progress = self.store.apply_part(ApplyRequest(token, other, 0, (text,), BatchRange("t", "id", 2, None)))
        self.assertTrue(progress.finished)

    def test_log_and_lease_survive_a_restart_whose_clock_starts_again(self) -> None:
        self.now = 500.0
        token = self.lease()
        self.intent(token)
        self.store.close()
        self.now = 0.0
        self.store = MigrationStore(self.file, lambda: self.now)
        with self.assertRaises(StoreRejectedError):
            self.lease("two")
        self.assertEqual(self.store.last_seq(), 1)
        self.now = 1.1
        self.assertEqual(self.lease("two"), 2)
        self.store.release_lease(2)
        self.store.close()
        self.store = MigrationStore(self.file, lambda: self.now)
        self.assertEqual(self.lease("three"), 3)


class InterruptedPlans(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.trial = CrashTrial(offers_plan(), Path(directory.name))

    def test_a_runner_killed_at_every_point(self) -> None:
        points = self.trial.points_of_run()
        self.assertGreater(len(points), 60)
        for number, point in enumerate(points):
            self.assertEqual(self.trial.runner_killed(number), [], f"at {number}, {point}")

    def test_a_runner_suspended_beyond_its_lease_changes_nothing_when_it_resumes(self) -> None:
        points = self.trial.points_of_run()
        for number in range(2, len(points), 6):  # a sample; benchmarks/step_interrupts.py covers all points
            self.assertEqual(self.trial.runner_paused(number), [], f"at {number}, {points[number]}")

    def test_a_store_whose_transactions_are_interrupted_at_every_point(self) -> None:
        for point in ("before", "mid", "commit", "after"):
            for call, call_count in (("apply", 16), ("append", 18)):
                if (call, point) != ("append", "mid"):
                    for skip in range(0, call_count, 4):
                        case = call, point, skip
                        self.assertEqual(self.trial.store_fault("cut", f"{call}.{point}", skip), [], case)

    def test_a_store_that_rejects_drops_or_delays_calls(self) -> None:
        for kind, path, parameters in (
            ("refuse", "/apply", {}),
            ("drop", "/apply", {}),
            ("drop", "/record", {}),
            ("drop", "/lease", {}),
            ("refuse", "/record", {}),
            ("late", "/apply", {"size": 0.05}),
            ("drop", "/marks", {}),
        ):
            self.assertEqual(self.trial.store_fault(kind, path, 3 if path != "/lease" else 0, **parameters), [], kind)

    def test_a_full_disk_is_logged_as_a_failure_and_the_step_resumed_later(self) -> None:
        store = self.trial.start_store()
        self.addCleanup(store.close)
        store.inject(kind="full")
        result = self.trial.run(store)
        self.assertIn("full", result.message)
        self.assertEqual(find_violations(store.file, self.trial.plan), [])
        store.inject(kind="full", on=False)
        self.assertTrue(self.trial.run(store, "resume").succeeded)
        self.assertEqual(find_violations(store.file, self.trial.plan, whole=True), [])

    def test_a_call_that_fails_on_a_full_disk_is_rejected_with_the_reason(self) -> None:
        store = self.trial.start_store()
        self.addCleanup(store.close)
        big = msgspec.structs.replace(self.trial.plan, name="big")
        steps = [msgspec.structs.replace(big.steps[0], name=f"s{n}", apply=["x" * 3000]) for n in range(20)]
        trial = CrashTrial(msgspec.structs.replace(big, steps=steps, builds=[]), self.trial.folder)
        store.inject(kind="full")
        self.assertIn("full", trial.run(store, "take").message)
        self.assertEqual(find_violations(store.file, trial.plan), [])

    def test_an_effect_that_outlasts_its_timeout_is_queried_and_not_applied_again(self) -> None:
        steps = [msgspec.structs.replace(step, limit_ms=60.0) for step in self.trial.plan.steps[:2]]
        trial = CrashTrial(msgspec.structs.replace(self.trial.plan, steps=steps, builds=[]), self.trial.folder)
        store = trial.start_store()
        self.addCleanup(store.close)
        store.inject(kind="slow", size=0.1)
        self.assertTrue(trial.run(store).succeeded)
        self.assertEqual(find_violations(store.file, trial.plan, whole=True), [])

    def test_writes_during_a_run_fit_the_schema_only_if_traffic_heeds_readiness(self) -> None:
        for readiness_heeded in (True, False):
            store = self.trial.start_store()
            self.trial.run(store, "take")
            traffic = WriteTraffic(store.port, self.trial.plan, readiness_heeded)
            try:
                store.inject(kind="cut", at="apply.commit", skip=2)
                self.assertTrue(self.trial.run(store).succeeded)
            finally:
                traffic.close()
                store.close()
            self.assertEqual(bool(traffic.failures), not readiness_heeded, traffic.failures[:3])
            self.assertGreater(min(traffic.writes.get(build, 0) for build in (1, 2)), 0)
            self.assertEqual(find_violations(store.file, self.trial.plan, whole=True), [])

    def test_the_checker_finds_each_violation(self) -> None:
        store = self.trial.start_store()
        self.trial.run(store)
        store.close()
        for text, output in (
            ("INSERT INTO tally VALUES ('add-cents')", "applied 2 times"),
            ("DELETE FROM tally WHERE step = 'add-notes'", "applied 0 times"),
            ("UPDATE offers SET touched = 3 WHERE id = 7", "rows were filled"),
            ("ALTER TABLE offers DROP COLUMN currency", "build 2 may have traffic, and fails"),
            ("DELETE FROM ll_record WHERE seq = (SELECT MAX(seq) FROM ll_record)", "intended at the end"),
        ):
            copy = store.file.with_name("copy.db")
            copy.write_bytes(store.file.read_bytes())
            database = sqlite3.connect(copy)
            database.execute(text)
            database.commit()
            database.close()
            self.assertIn(output, " ".join(find_violations(copy, self.trial.plan, whole=True)))


class StoreProcesses(unittest.TestCase):
    def test_the_command_line_runs_a_plan_on_a_store_that_is_killed_during_the_run(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            trial = CrashTrial(offers_plan(), Path(name), lambda file: StoreProcess(file, lambda: free_ports(1)[0]))
            store = trial.start_store()
            self.addCleanup(store.close)
            plan = Path(name, "offers.cue")
            plan.write_bytes(msgspec.json.format(msgspec.json.encode({"steps": msgspec.to_builtins(trial.plan)})))

            def call(*args: str) -> tuple[int, str]:
                result = CliRunner().invoke(main, ["steps", *args, "--store", f"127.0.0.1:{store.port}"])
                return result.exit_code, result.output

            self.assertIn("no plan", call("status")[1])
            store.inject(kind="kill", at="apply.commit", skip=1)
            code, output = call("run", str(plan), "--to", "add-currency")
            self.assertEqual((code, output.splitlines()[-1]), (0, "all done"), output)
            self.assertEqual(find_violations(store.file, trial.plan), [])
            self.assertIn("may have traffic, until 'drop-price' begins", call("status")[1])
            code, output = call("run", str(plan))
            self.assertEqual(code, 3)
            self.assertIn("pass --past-back", output)
            self.assertEqual(call("run", str(plan), "--past-back")[0], 0)
            self.assertEqual(call("undo", str(plan))[0], 3)  # its last step can't be undone
            self.assertEqual(find_violations(store.file, trial.plan, whole=True), [])
            store.close()
            self.assertEqual(call("status")[0], 2)


if __name__ == "__main__":
    unittest.main()
