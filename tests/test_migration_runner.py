"""Stories of plans, their record and their runner; and a search through every order of what can happen."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lanelead.cli import main
from lanelead.migrations import calls
from lanelead.migrations.backoff import BatchPacer
from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.migrations.plan import execution_order
from lanelead.migrations.runner import MAX_ATTEMPTS, Goal, Operation, Runner
from lanelead.protocols.migrations import LogEntry, LoggedEntry
from lanelead.settings.records import Batch, Demands, Need, Step, Steps
from lanelead.testbed.simulation.migrations import (
    ALL_CHECKS,
    InvariantViolationError,
    ModelState,
    RunnerProcess,
    SafetyChecks,
    StoreModel,
    replayed,
    run_to_completion,
    search,
)

PLANS = Path(__file__).parent.parent / "lanelead" / "testbed" / "scenarios" / "plans"


def step(name: str, *after: str, kind: str = "expand", undo: bool = True) -> Step:
    batch = Batch("t", "id", 10, 1e6, 25) if kind == "backfill" else None
    texts = [f"{name} :low"] if batch else [name]
    return Step(name, kind, list(after), texts, texts if undo else "never", 1000.0, batch)


def plan(*steps: Step, builds: tuple[Demands, ...] = (), name: str = "p") -> Steps:
    return Steps(name, list(steps), list(builds))


ONE_AFTER_ANOTHER = plan(
    step("a"),
    step("b", "a", kind="backfill"),
    step("c", "b"),
    step("d", "c", kind="contract", undo=False),
    builds=(Demands(1, [], ["d"], ""), Demands(2, [Need("a", 0), Need("b", 1)], [], "")),
)


def written(*entries: LogEntry, of: Steps = ONE_AFTER_ANOTHER) -> MigrationLog:
    record = MigrationLog()
    body = msgspec.json.encode(of).decode()
    for seq, entry in enumerate((LogEntry("plan", text=body), *entries), 1):
        record.append(LoggedEntry(seq, 1, "r", 0.0, entry))
    return record


def through(*names: str) -> list[LogEntry]:
    return [entry for name in names for entry in (LogEntry("intent", name), LogEntry("done", name))]


class Plans(unittest.TestCase):
    GOOD = (
        'steps: {name: "p", steps: [{name: "a", kind: "expand", apply: ["x"], undo: ["y"]}, '
        '{name: "b", kind: "contract", after: ["a"], apply: ["x"], undo: "never"}], '
        'builds: [{build: 1, until: ["b"]}, {build: 2, needs: [{step: "a"}]}]}'
    )

    def refused(self, *texts: str) -> str:
        with tempfile.TemporaryDirectory() as folder:
            files = [Path(folder, f"{n}.cue") for n in range(len(texts))]
            for file, text in zip(files, texts, strict=True):
                file.write_text(text)
            result = CliRunner().invoke(main, ["steps", "check", *map(str, files)])
            self.assertEqual(result.exit_code, 2, result.output)
            return result.output

    def test_a_good_plan_is_good_and_its_order_is_told(self) -> None:
        for path in PLANS.glob("*.cue"):
            self.assertEqual(CliRunner().invoke(main, ["steps", "check", str(path)]).exit_code, 0)
        shown = CliRunner().invoke(main, ["steps", "plan", str(PLANS / "offers.cue")]).output
        self.assertIn("no rollback to build 1", shown)
        self.assertEqual([s.name for s in execution_order(ONE_AFTER_ANOTHER)], ["a", "b", "c", "d"])

    def test_what_is_wrong_is_said_before_anything_runs_with_line_and_reason(self) -> None:
        for old, new, said in (
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
            text = self.GOOD.replace(old, new, 1)
            self.assertNotEqual(text, self.GOOD, old)
            shown = self.refused(text)
            self.assertIn(said, shown)
            self.assertRegex(shown, r"0\.cue:1:\d+")

    def test_two_plans_that_claim_a_name_are_refused_together(self) -> None:
        self.assertIn("which plan 'p' claims", self.refused(self.GOOD, self.GOOD.replace('"p"', '"q"')))


class Records(unittest.TestCase):
    def test_a_build_gets_traffic_when_its_needs_are_done_stage_by_stage(self) -> None:
        record = written()
        self.assertEqual((record.is_ready(1), record.is_ready(2)), (True, False))
        record = written(*through("a"))
        self.assertEqual((record.is_ready(2, 0), record.is_ready(2, 1)), (True, False))
        record = written(*through("a", "b"))
        self.assertTrue(record.is_ready(2, 1))

    def test_a_step_that_is_intended_or_failed_is_not_done(self) -> None:
        for rest in ([], [LogEntry("failed", "a", parts_applied=0, text="x")]):
            self.assertFalse(written(LogEntry("intent", "a"), *rest).is_ready(2))

    def test_a_build_that_no_plan_names_counts_as_its_neighbour(self) -> None:
        record = written()
        self.assertEqual([record.is_ready(build) for build in (0, 1, 2, 3)], [True, True, False, False])
        self.assertTrue(MigrationLog().is_ready(7))

    def test_back_is_said_to_end_before_it_does(self) -> None:
        record = written(*through("a", "b", "c"))
        self.assertEqual(record.rollback_ended_by(1), "d")
        self.assertIsNone(record.rollback_ended_by(2))
        record = written(*through("a", "b", "c"), LogEntry("closing", "d"))
        self.assertFalse(record.is_ready(1))

    def test_entries_that_break_a_rule_are_refused_and_change_nothing(self) -> None:
        body = msgspec.json.encode(ONE_AFTER_ANOTHER).decode()
        for before, entry, number in (
            ([], LogEntry("plan", text=body), 1),
            ([], LogEntry("plan", text=body.replace('"p"', '"q"')), 1),
            ([LogEntry("intent", "a")], LogEntry("plan", text=body), 1),
            ([LogEntry("intent", "a")], LogEntry("intent", "b"), 2),
            ([], LogEntry("intent", "b"), 3),
            (through("a", "b"), LogEntry("intent", "a", "undo"), 5),
            (through("a", "b"), LogEntry("closing", "a", "undo"), 3),
            (through("a", "b", "c"), LogEntry("intent", "d"), 5),
            (
                [*through("a", "b", "c"), LogEntry("closing", "d"), LogEntry("intent", "d", barrier_seq=8)],
                LogEntry("closing", "d", "undo"),
                4,
            ),
            ([], LogEntry("done", "a"), 6),
            (through("a"), LogEntry("done", "a"), 6),
            ([], LogEntry("resumed", "a"), 6),
            ([LogEntry("intent", "a"), LogEntry("failed", "a", parts_applied=1)], LogEntry("dropped", "a"), 6),
        ):
            record = written(*before)
            stands = [mark.status for mark in record.steps.values()]
            with self.assertRaisesRegex(InvalidEntryError, f"rule {number}"):
                record.append(LoggedEntry(record.last_seq + 1, 1, "r", 0.0, entry))
            self.assertEqual([mark.status for mark in record.steps.values()], stands)
        with self.assertRaises(InvalidEntryError):  # a gap
            written().append(LoggedEntry(5, 1, "r", 0.0, LogEntry("intent", "a")))


class Running(unittest.TestCase):
    def test_a_run_writes_intent_before_effect_and_outcome_after(self) -> None:
        shop = self.play(Goal(ONE_AFTER_ANOTHER, allow_ending_rollback=True))
        kinds = [(entry.kind, entry.step) for entry in shop.entries]
        self.assertEqual(kinds[1:3], [("intent", "a"), ("done", "a")])
        self.assertEqual(kinds[-3:], [("closing", "d"), ("intent", "d"), ("done", "d")])
        self.assertEqual(shop.applied_parts(), {"a": 1, "b": 2, "c": 1, "d": 1})

    def play(self, goal: Goal, shop: StoreModel = StoreModel()) -> StoreModel:  # noqa: B008
        clerk = RunnerProcess(Runner(goal))
        for _ in range(200):
            want = clerk.next_call(shop)
            if isinstance(want, calls.RunResult):
                self.said = want
                return shop
            shop = replace(shop, acknowledged_seq=len(shop.entries))
            shop, reply = shop.carry_out(want, ALL_CHECKS)
            clerk = clerk.after_reply(want, reply, shop)
        raise AssertionError("it never ends")

    def test_it_stops_before_a_way_back_ends_and_says_so(self) -> None:
        shop = self.play(Goal(ONE_AFTER_ANOTHER))
        self.assertFalse(self.said.succeeded)
        self.assertIn("rollback to build 1 impossible", self.said.message)
        self.assertEqual(shop.applied_parts(), {"a": 1, "b": 2, "c": 1})

    def test_what_failed_stays_failed_until_it_is_resumed(self) -> None:
        shop = self.play(Goal(ONE_AFTER_ANOTHER, last_step="a"))
        clerk = RunnerProcess(Runner(Goal(ONE_AFTER_ANOTHER)))
        parts = 0
        for _ in range(50):
            want = clerk.next_call(shop)
            if isinstance(want, calls.RunResult):
                break
            if isinstance(want, calls.ApplyPart) and parts:
                reply: calls.Reply = calls.CallRejected("failed", "disk full")
            else:
                parts += isinstance(want, calls.ApplyPart)
                shop, reply = shop.carry_out(want, ALL_CHECKS)
            clerk = clerk.after_reply(want, reply, shop)
        mark = replayed(shop.entries).failed_step()
        assert mark is not None
        self.assertEqual((mark.step.name, mark.parts_applied, mark.failure_reason), ("b", 1, "disk full"))
        self.assertEqual(self.play(Goal(ONE_AFTER_ANOTHER), shop).entries, shop.entries)
        self.assertIn("after 1 parts: disk full", self.said.message)
        shop = self.play(Goal(ONE_AFTER_ANOTHER, "resume", last_step="c"), shop)
        self.assertEqual(shop.applied_parts(), {"a": 1, "b": 2, "c": 1})

    def test_a_half_done_step_is_undone_and_an_untouched_one_dropped(self) -> None:
        body = LogEntry("plan", text=Goal(ONE_AFTER_ANOTHER).plan_json)
        half = StoreModel(
            (body, *through("a"), LogEntry("intent", "b"), LogEntry("failed", "b", parts_applied=1)),
            1,
            ((2, 0), (4, 0)),
        )
        shop = self.play(Goal(ONE_AFTER_ANOTHER, "undo", last_step="b"), half)
        self.assertEqual(replayed(shop.entries).steps["b"].status, StepStatus.PENDING)
        self.assertEqual(shop.applied_parts()["b"], 0)
        none = StoreModel((body, LogEntry("intent", "a"), LogEntry("failed", "a")), 1)
        shop = self.play(Goal(ONE_AFTER_ANOTHER, "undo"), none)
        self.assertEqual((shop.entries[-1].kind, shop.effects), ("dropped", ()))

    def test_a_way_back_takes_the_later_builds_traffic_away_first(self) -> None:
        shop = self.play(Goal(ONE_AFTER_ANOTHER, last_step="a"))
        shop = self.play(Goal(ONE_AFTER_ANOTHER, "undo"), shop)
        self.assertEqual([entry.kind for entry in shop.entries[-3:]], ["closing", "intent", "done"])
        self.assertEqual(shop.applied_parts(), {"a": 0})

    def test_an_outcome_that_is_never_known_ends_as_failed(self) -> None:
        clerk, shop, asked = RunnerProcess(Runner(Goal(plan(step("a"))))), StoreModel(), 0
        for _ in range(60):
            want = clerk.next_call(shop)
            if isinstance(want, calls.RunResult):
                break
            if isinstance(want, calls.ApplyPart):
                reply: calls.Reply = calls.OutcomeUnknown()
                asked += 1
            else:
                shop, reply = shop.carry_out(want, ALL_CHECKS)
            clerk = clerk.after_reply(want, reply, shop)
        self.assertEqual((asked, shop.entries[-1].kind), (MAX_ATTEMPTS, "failed"))

    def test_a_backfill_yields_it_shrinks_its_batches_and_waits_as_long_as_they_took(self) -> None:
        pace = BatchPacer(1000, 10_000, 0.02, 800)
        self.assertAlmostEqual(pace.wait_after_batch(800, 0.08), 0.08)
        self.assertEqual(pace.rows, 200)
        self.assertAlmostEqual(pace.wait_after_batch(200, 0.001), 0.019)  # the rate bounds it where the store is quick
        self.assertGreater(pace.rows, 200)
        for _ in range(30):
            pace.wait_after_batch(pace.rows, 1.0)
        self.assertEqual(pace.rows, 10)


class EveryOrder(unittest.TestCase):
    """Two runners, one store: every order of their requests, with faults; see testbed/simulation/migrations.py."""

    TWO = plan(step("a"), step("b", "a", kind="backfill"), builds=(Demands(1, [], [], ""),))
    ENDS = plan(
        step("a"),
        step("d", "a", kind="contract"),
        builds=(Demands(1, [], ["d"], ""), Demands(2, [Need("a", 0)], [], "")),
    )

    def test_two_runners_that_run_the_same_plan(self) -> None:
        found = search((Goal(self.TWO), Goal(self.TWO)), faults=1)
        self.assertEqual(found.violation, "")
        self.assertGreater(found.states, 1000)
        self.assertGreater(found.ends, 3)

    def test_one_that_runs_and_one_that_undoes(self) -> None:
        goals = Goal(self.ENDS, allow_ending_rollback=True), Goal(self.ENDS, "undo")
        self.assertEqual(search(goals, faults=1).violation, "")

    def test_without_the_fence_a_late_effect_is_found(self) -> None:
        goals = Goal(self.TWO), Goal(self.TWO, "undo")
        self.assertIn("while the record says otherwise", search(goals, 1, SafetyChecks(fencing=False)).violation)

    def test_without_marks_an_effect_had_twice_is_found(self) -> None:
        goals = Goal(self.TWO), Goal(self.TWO)
        self.assertIn("twice", search(goals, 1, SafetyChecks(effect_marks=False)).violation)

    def test_an_effect_before_its_intent_is_found(self) -> None:
        goals = Goal(self.TWO), Goal(self.TWO)
        self.assertIn("while the record says otherwise", search(goals, 1, SafetyChecks(intent_first=False)).violation)

    def test_without_waiting_for_relays_a_change_under_traffic_is_found(self) -> None:
        goals = Goal(self.ENDS, allow_ending_rollback=True), Goal(self.ENDS, "undo")
        self.assertIn("before the relay had seen", search(goals, 1, SafetyChecks(barrier=False)).violation)


class Longer(RuleBasedStateMachine):
    """The same for plans of up to nine steps, orders drawn at random, and three runners with any goal."""

    guards = ALL_CHECKS

    @initialize(data=st.data(), many=st.integers(3, 9))
    def begin(self, data: Any, many: int) -> None:
        steps = []
        for number in range(many):
            after = data.draw(st.sets(st.integers(0, number - 1), max_size=2)) if number else set()
            kind = data.draw(st.sampled_from(["expand", "backfill"]))
            steps.append(step(f"s{number}", *(f"s{n}" for n in sorted(after)), kind=kind))
        steps.append(step("last", *(s.name for s in steps), kind="contract", undo=False))
        needs = [Need(s.name, 0) for s in steps[: many // 2]]
        builds = (Demands(1, [], ["last"], ""), Demands(2, needs, [], ""))
        self.plan = plan(*steps, builds=builds)
        operations: tuple[Operation, ...] = ("run", "undo", "resume")
        self.fresh = tuple(Runner(Goal(self.plan, what, allow_ending_rollback=True)) for what in operations)
        self.scene = ModelState(StoreModel(), tuple(RunnerProcess(one) for one in self.fresh), (), 12)

    @rule(data=st.data(), many=st.integers(1, 8))
    def go_on(self, data: Any, many: int) -> None:
        for _ in range(many):
            rows = list(self.scene.successors(self.guards, self.fresh))
            if not rows:
                return
            self.scene = rows[data.draw(st.integers(0, len(rows) - 1))]

    @rule(who=st.integers(0, 2), many=st.integers(1, 40))
    def one_goes_on(self, who: int, many: int) -> None:
        for _ in range(many):
            want = self.scene.processes[who].next_call(self.scene.store)
            if isinstance(want, calls.RunResult):
                return
            rows = self.scene.process_steps(who, self.scene.processes[who], want, self.guards, self.fresh)
            self.scene = next(rows)

    @rule(who=st.integers(0, 2))
    def begin_again(self, who: int) -> None:
        clerks = self.scene.with_process(who, RunnerProcess(self.fresh[who]))
        self.scene = replace(self.scene, processes=clerks)

    @invariant()
    def the_record_is_clear(self) -> None:
        if hasattr(self, "scene"):
            replayed(self.scene.store.entries)

    def teardown(self) -> None:
        if hasattr(self, "scene") and not self.scene.late_calls:
            run_to_completion(self.scene.store, Goal(self.plan), self.guards)


class LongerUnfenced(Longer):
    guards = SafetyChecks(fencing=False)


BOUND = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
LongerOrders = Longer.TestCase
LongerOrders.settings = BOUND


class Planted(unittest.TestCase):
    def test_the_random_orders_find_a_missing_fence_too(self) -> None:
        case = LongerUnfenced.TestCase
        case.settings = settings(BOUND, max_examples=200, phases=[Phase.generate])
        with self.assertRaises(InvariantViolationError):
            case("runTest").debug()


if __name__ == "__main__":
    unittest.main()
