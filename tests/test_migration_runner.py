"""Migration plans, their log and their runner."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

import msgspec
from click.testing import CliRunner

from lanelead.cli import main
from lanelead.migrations import calls
from lanelead.migrations.batch_pacing import BatchPacer
from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.migrations.plan import execution_order
from lanelead.migrations.runner import MAX_ATTEMPTS, Goal, Runner
from lanelead.protocols.migrations import LogEntry, LoggedEntry
from lanelead.settings.migration_settings import (
    BatchSettings,
    BuildRequirements,
    MigrationPlan,
    MigrationStep,
    StageNeed,
)
from lanelead.testbed.simulation.migrations import (
    ALL_CHECKS,
    RunnerProcess,
    StoreModel,
    replayed,
)

PLANS = Path(__file__).parent.parent / "lanelead" / "testbed" / "scenarios" / "plans"


def step(name: str, *after: str, kind: str = "expand", undo: bool = True) -> MigrationStep:
    batch = BatchSettings("t", "id", 10, 1e6, 25) if kind == "backfill" else None
    texts = [f"{name} :low"] if batch else [name]
    return MigrationStep(name, kind, list(after), texts, texts if undo else "never", 1000.0, batch)


def plan(*steps: MigrationStep, builds: tuple[BuildRequirements, ...] = (), name: str = "p") -> MigrationPlan:
    return MigrationPlan(name, list(steps), list(builds))


SEQUENTIAL_PLAN = plan(
    step("a"),
    step("b", "a", kind="backfill"),
    step("c", "b"),
    step("d", "c", kind="contract", undo=False),
    builds=(BuildRequirements(1, [], ["d"], ""), BuildRequirements(2, [StageNeed("a", 0), StageNeed("b", 1)], [], "")),
)


def log_with(*entries: LogEntry, of: MigrationPlan = SEQUENTIAL_PLAN) -> MigrationLog:
    log = MigrationLog()
    body = msgspec.json.encode(of).decode()
    for seq, entry in enumerate((LogEntry("plan", text=body), *entries), 1):
        log.append(LoggedEntry(seq, 1, "r", 0.0, entry))
    return log


def done_entries(*names: str) -> list[LogEntry]:
    return [entry for name in names for entry in (LogEntry("intent", name), LogEntry("done", name))]


class PlanChecks(unittest.TestCase):
    GOOD = (
        'steps: {name: "p", steps: [{name: "a", kind: "expand", apply: ["x"], undo: ["y"]}, '
        '{name: "b", kind: "contract", after: ["a"], apply: ["x"], undo: "never"}], '
        'builds: [{build: 1, until: ["b"]}, {build: 2, needs: [{step: "a"}]}]}'
    )

    def check_output(self, *texts: str) -> str:
        with tempfile.TemporaryDirectory() as directory:
            files = [Path(directory, f"{n}.cue") for n in range(len(texts))]
            for file, text in zip(files, texts, strict=True):
                file.write_text(text)
            result = CliRunner().invoke(main, ["steps", "check", *map(str, files)])
            self.assertEqual(result.exit_code, 2, result.output)
            return result.output

    def test_a_valid_plan_passes_and_its_order_is_printed(self) -> None:
        for path in PLANS.glob("*.cue"):
            self.assertEqual(CliRunner().invoke(main, ["steps", "check", str(path)]).exit_code, 0)
        output = CliRunner().invoke(main, ["steps", "plan", str(PLANS / "offers.cue")]).output
        self.assertIn("no rollback to build 1", output)
        self.assertEqual([s.name for s in execution_order(SEQUENTIAL_PLAN)], ["a", "b", "c", "d"])

    def test_each_fault_of_a_plan_is_reported_with_line_and_reason(self) -> None:
        for original, replacement, message in (
            ('after: ["a"]', 'after: ["x"]', "'x', expected a step of this plan"),
            ('undo: ["y"]}', 'undo: ["y"], after: ["b"]}', "without a cycle"),
            ('name: "b"', 'name: "a"', "a name used once"),
            ('"expand"', '"backfill"', "the batches of a backfill"),
            ('until: ["b"]', 'until: ["a"]', "only those end a build"),
            (
                '{build: 1, until: ["b"]}',
                '{build: 1, until: ["b"], needs: [{step: "b"}]}',
                "works only until",
            ),
            ('needs: [{step: "a"}]', 'needs: [{step: "b"}]', "builds 1 and 2 both work"),
            (
                '{build: 2, needs: [{step: "a"}]}',
                '{build: 2, until: ["b"]}',
                "no later build of the plan works",
            ),
            ("build: 2", "build: 1", "a build named once"),
            ('undo: ["y"]', 'undo: "later"', "undo"),
            ('undo: ["y"]', 'undone: ["y"]', "undone"),
        ):
            text = self.GOOD.replace(original, replacement, 1)
            self.assertNotEqual(text, self.GOOD, original)
            output = self.check_output(text)
            self.assertIn(message, output)
            self.assertRegex(output, r"0\.cue:1:\d+")

    def test_two_plans_with_the_same_step_name_are_rejected(self) -> None:
        self.assertIn("which plan 'p' claims", self.check_output(self.GOOD, self.GOOD.replace('"p"', '"q"')))


class MigrationLogRules(unittest.TestCase):
    def test_a_build_is_ready_at_a_stage_when_its_needs_up_to_that_stage_are_done(self) -> None:
        log = log_with()
        self.assertEqual((log.is_ready(1), log.is_ready(2)), (True, False))
        log = log_with(*done_entries("a"))
        self.assertEqual((log.is_ready(2, 0), log.is_ready(2, 1)), (True, False))
        log = log_with(*done_entries("a", "b"))
        self.assertTrue(log.is_ready(2, 1))

    def test_a_step_that_is_in_progress_or_failed_is_not_done(self) -> None:
        for later_entries in ([], [LogEntry("failed", "a", parts_applied=0, text="x")]):
            self.assertFalse(log_with(LogEntry("intent", "a"), *later_entries).is_ready(2))

    def test_a_build_that_no_plan_names_counts_as_the_nearest_earlier_one(self) -> None:
        log = log_with()
        self.assertEqual([log.is_ready(build) for build in (0, 1, 2, 3)], [True, True, False, False])
        self.assertTrue(MigrationLog().is_ready(7))

    def test_the_step_that_ends_a_rollback_is_known_before_it_begins(self) -> None:
        log = log_with(*done_entries("a", "b", "c"))
        self.assertEqual(log.rollback_ended_by(1), "d")
        self.assertIsNone(log.rollback_ended_by(2))
        log = log_with(*done_entries("a", "b", "c"), LogEntry("closing", "d"))
        self.assertFalse(log.is_ready(1))

    def test_undoing_a_step_ends_the_builds_that_need_it_from_any_stage_on(self) -> None:
        # Guards against an undo that waits for no relay, though a released build needs the step (review/3).
        log = log_with(*done_entries("a", "b"))
        self.assertEqual(log.builds_ended_by(log.steps["b"], "undo"), [2])
        self.assertEqual(log_with(*done_entries("a")).builds_ended_by(log.steps["b"], "undo"), [])

    def test_a_log_with_an_undo_that_waited_for_no_relay_is_still_read(self) -> None:
        log = log_with(*done_entries("a", "b"), LogEntry("intent", "b", "undo"), LogEntry("done", "b", "undo"))
        self.assertEqual((log.is_ready(2, 0), log.is_ready(2, 1)), (True, False))

    def test_entries_that_break_a_rule_are_rejected_and_change_nothing(self) -> None:
        body = msgspec.json.encode(SEQUENTIAL_PLAN).decode()
        for before, entry, number in (
            ([], LogEntry("plan", text=body), 1),
            ([], LogEntry("plan", text=body.replace('"p"', '"q"')), 1),
            ([LogEntry("intent", "a")], LogEntry("plan", text=body), 1),
            ([LogEntry("intent", "a")], LogEntry("intent", "b"), 2),
            ([], LogEntry("intent", "b"), 3),
            (done_entries("a", "b"), LogEntry("intent", "a", "undo"), 5),
            (done_entries("a", "b"), LogEntry("closing", "a", "undo"), 3),
            (done_entries("a", "b", "c"), LogEntry("intent", "d"), 5),
            (
                [*done_entries("a", "b", "c"), LogEntry("closing", "d"), LogEntry("intent", "d", barrier_seq=8)],
                LogEntry("closing", "d", "undo"),
                4,
            ),
            ([], LogEntry("done", "a"), 6),
            (done_entries("a"), LogEntry("done", "a"), 6),
            ([], LogEntry("resumed", "a"), 6),
            ([LogEntry("intent", "a"), LogEntry("failed", "a", parts_applied=1)], LogEntry("dropped", "a"), 6),
        ):
            log = log_with(*before)
            statuses = [state.status for state in log.steps.values()]
            with self.assertRaisesRegex(InvalidEntryError, f"rule {number}"):
                log.append(LoggedEntry(log.last_seq + 1, 1, "r", 0.0, entry))
            self.assertEqual([state.status for state in log.steps.values()], statuses)
        with self.assertRaises(InvalidEntryError):  # a gap
            log_with().append(LoggedEntry(5, 1, "r", 0.0, LogEntry("intent", "a")))


class RunnerDecisions(unittest.TestCase):
    def test_a_run_logs_intent_before_effect_and_outcome_after(self) -> None:
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN, allow_ending_rollback=True))
        kinds = [(entry.kind, entry.step) for entry in store.entries]
        self.assertEqual(kinds[1:3], [("intent", "a"), ("done", "a")])
        self.assertEqual(kinds[-3:], [("closing", "d"), ("intent", "d"), ("done", "d")])
        self.assertEqual(store.applied_parts(), {"a": 1, "b": 2, "c": 1, "d": 1})

    def run_to_end(self, goal: Goal, store: StoreModel = StoreModel()) -> StoreModel:  # noqa: B008
        process = RunnerProcess(Runner(goal))
        for _ in range(200):
            call = process.next_call(store)
            if isinstance(call, calls.RunResult):
                self.result = call
                return store
            store = replace(store, acknowledged_seq=len(store.entries))
            store, reply = store.carry_out(call, ALL_CHECKS)
            process = process.after_reply(call, reply, store)
        raise AssertionError("the run does not end within 200 calls")

    def test_a_run_stops_before_a_rollback_becomes_impossible_and_reports_it(self) -> None:
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN))
        self.assertFalse(self.result.succeeded)
        self.assertIn("rollback to build 1 impossible", self.result.message)
        self.assertEqual(store.applied_parts(), {"a": 1, "b": 2, "c": 1})

    def test_a_failed_step_stays_failed_until_it_is_resumed(self) -> None:
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN, last_step="a"))
        process = RunnerProcess(Runner(Goal(SEQUENTIAL_PLAN)))
        parts = 0
        for _ in range(50):
            call = process.next_call(store)
            if isinstance(call, calls.RunResult):
                break
            if isinstance(call, calls.ApplyPart) and parts:
                reply: calls.Reply = calls.CallRejected("failed", "disk full")
            else:
                parts += isinstance(call, calls.ApplyPart)
                store, reply = store.carry_out(call, ALL_CHECKS)
            process = process.after_reply(call, reply, store)
        state = replayed(store.entries).failed_step()
        assert state is not None
        self.assertEqual((state.step.name, state.parts_applied, state.failure_reason), ("b", 1, "disk full"))
        self.assertEqual(self.run_to_end(Goal(SEQUENTIAL_PLAN), store).entries, store.entries)
        self.assertIn("after 1 parts: disk full", self.result.message)
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN, "resume", last_step="c"), store)
        self.assertEqual(store.applied_parts(), {"a": 1, "b": 2, "c": 1})

    def test_undo_undoes_a_partly_applied_step_and_drops_one_without_applied_parts(self) -> None:
        body = LogEntry("plan", text=Goal(SEQUENTIAL_PLAN).plan_json)
        partly_applied = StoreModel(
            (body, *done_entries("a"), LogEntry("intent", "b"), LogEntry("failed", "b", parts_applied=1)),
            1,
            ((2, 0), (4, 0)),
        )
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN, "undo", last_step="b"), partly_applied)
        self.assertEqual(replayed(store.entries).steps["b"].status, StepStatus.PENDING)
        self.assertEqual(store.applied_parts()["b"], 0)
        nothing_applied = StoreModel((body, LogEntry("intent", "a"), LogEntry("failed", "a")), 1)
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN, "undo"), nothing_applied)
        self.assertEqual((store.entries[-1].kind, store.effects), ("dropped", ()))

    def test_an_undo_ends_the_traffic_of_later_builds_first(self) -> None:
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN, last_step="a"))
        store = self.run_to_end(Goal(SEQUENTIAL_PLAN, "undo"), store)
        self.assertEqual([entry.kind for entry in store.entries[-3:]], ["closing", "intent", "done"])
        self.assertEqual(store.applied_parts(), {"a": 0})

    def test_an_outcome_that_stays_unknown_is_logged_as_failed(self) -> None:
        process, store, apply_calls = RunnerProcess(Runner(Goal(plan(step("a"))))), StoreModel(), 0
        for _ in range(60):
            call = process.next_call(store)
            if isinstance(call, calls.RunResult):
                break
            if isinstance(call, calls.ApplyPart):
                reply: calls.Reply = calls.OutcomeUnknown()
                apply_calls += 1
            else:
                store, reply = store.carry_out(call, ALL_CHECKS)
            process = process.after_reply(call, reply, store)
        self.assertEqual((apply_calls, store.entries[-1].kind), (MAX_ATTEMPTS, "failed"))

    def test_a_backfill_shrinks_slow_batches_and_pauses_as_long_as_they_took(self) -> None:
        pacer = BatchPacer(1000, 10_000, 0.02, 800)
        self.assertAlmostEqual(pacer.wait_after_batch(800, 0.08), 0.08)
        self.assertEqual(pacer.rows, 200)
        self.assertAlmostEqual(pacer.wait_after_batch(200, 0.001), 0.019)  # limited by the rate, as the store is fast
        self.assertGreater(pacer.rows, 200)
        for _ in range(30):
            pacer.wait_after_batch(pacer.rows, 1.0)
        self.assertEqual(pacer.rows, 10)


if __name__ == "__main__":
    unittest.main()
