"""A model check of the migration runner over all orders of calls and faults, and over random ones."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from lanelead.migrations import calls
from lanelead.migrations.runner import Goal, Operation, Runner
from lanelead.settings.migration_settings import (
    BuildRequirements,
    StageNeed,
)
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
from tests.test_migration_runner import plan, step


class AllCallOrders(unittest.TestCase):
    """Model check of two runners on one store, over all orders of their calls with faults.

    The search is in testbed/simulation/migrations.py.
    """

    TWO_STEPS = plan(step("a"), step("b", "a", kind="backfill"), builds=(BuildRequirements(1, [], [], ""),))
    WITH_CONTRACT = plan(
        step("a"),
        step("d", "a", kind="contract"),
        builds=(BuildRequirements(1, [], ["d"], ""), BuildRequirements(2, [StageNeed("a", 0)], [], "")),
    )

    def test_two_runners_of_the_same_plan_violate_nothing(self) -> None:
        result = search((Goal(self.TWO_STEPS), Goal(self.TWO_STEPS)), faults=1)
        self.assertEqual(result.violation, "")
        self.assertGreater(result.states, 1000)
        self.assertGreater(result.ends, 3)

    def test_a_run_and_an_undo_at_once_violate_nothing(self) -> None:
        goals = Goal(self.WITH_CONTRACT, allow_ending_rollback=True), Goal(self.WITH_CONTRACT, "undo")
        self.assertEqual(search(goals, faults=1).violation, "")

    def test_a_late_effect_is_found_without_fencing(self) -> None:
        goals = Goal(self.TWO_STEPS), Goal(self.TWO_STEPS, "undo")
        self.assertIn("while the log says otherwise", search(goals, 1, SafetyChecks(fencing=False)).violation)

    def test_a_repeated_effect_is_found_without_effect_marks(self) -> None:
        goals = Goal(self.TWO_STEPS), Goal(self.TWO_STEPS)
        self.assertIn("twice", search(goals, 1, SafetyChecks(effect_marks=False)).violation)

    def test_an_effect_before_its_intent_is_found(self) -> None:
        goals = Goal(self.TWO_STEPS), Goal(self.TWO_STEPS)
        self.assertIn("while the log says otherwise", search(goals, 1, SafetyChecks(intent_first=False)).violation)

    def test_a_change_under_traffic_is_found_without_waiting_for_relays(self) -> None:
        goals = Goal(self.WITH_CONTRACT, allow_ending_rollback=True), Goal(self.WITH_CONTRACT, "undo")
        self.assertIn("before the relay had acknowledged", search(goals, 1, SafetyChecks(barrier=False)).violation)


class RandomOrders(RuleBasedStateMachine):
    """Random orders of calls and faults: three runners that run, undo and resume a plan of up to ten steps."""

    checks = ALL_CHECKS

    @initialize(data=st.data(), count=st.integers(3, 9))
    def begin(self, data: Any, count: int) -> None:
        steps = []
        for number in range(count):
            after = data.draw(st.sets(st.integers(0, number - 1), max_size=2)) if number else set()
            kind = data.draw(st.sampled_from(["expand", "backfill"]))
            steps.append(step(f"s{number}", *(f"s{n}" for n in sorted(after)), kind=kind))
        steps.append(step("last", *(s.name for s in steps), kind="contract", undo=False))
        needs = [StageNeed(s.name, 0) for s in steps[: count // 2]]
        builds = (BuildRequirements(1, [], ["last"], ""), BuildRequirements(2, needs, [], ""))
        self.plan = plan(*steps, builds=builds)
        operations: tuple[Operation, ...] = ("run", "undo", "resume")
        self.fresh = tuple(Runner(Goal(self.plan, operation, allow_ending_rollback=True)) for operation in operations)
        self.state = ModelState(StoreModel(), tuple(RunnerProcess(runner) for runner in self.fresh), (), 12)

    @rule(data=st.data(), count=st.integers(1, 8))
    def any_process_goes_on(self, data: Any, count: int) -> None:
        for _ in range(count):
            states = list(self.state.successors(self.checks, self.fresh))
            if not states:
                return
            self.state = states[data.draw(st.integers(0, len(states) - 1))]

    @rule(index=st.integers(0, 2), count=st.integers(1, 40))
    def one_process_goes_on(self, index: int, count: int) -> None:
        for _ in range(count):
            call = self.state.processes[index].next_call(self.state.store)
            if isinstance(call, calls.RunResult):
                return
            states = self.state.process_steps(index, call, self.checks, self.fresh)
            self.state = next(states)

    @rule(index=st.integers(0, 2))
    def process_restarts(self, index: int) -> None:
        processes = self.state.with_process(index, RunnerProcess(self.fresh[index]))
        self.state = replace(self.state, processes=processes)

    @invariant()
    def the_log_follows_its_rules(self) -> None:
        if hasattr(self, "state"):
            replayed(self.state.store.entries)

    def teardown(self) -> None:
        if hasattr(self, "state") and not self.state.late_calls:
            run_to_completion(self.state.store, Goal(self.plan), self.checks)


class RandomOrdersWithoutFencing(RandomOrders):
    checks = SafetyChecks(fencing=False)


RANDOM_ORDER_SETTINGS = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
RandomOrdersTest = RandomOrders.TestCase
RandomOrdersTest.settings = RANDOM_ORDER_SETTINGS


class SeededFault(unittest.TestCase):
    def test_random_orders_find_missing_fencing(self) -> None:
        case = RandomOrdersWithoutFencing.TestCase
        case.settings = settings(RANDOM_ORDER_SETTINGS, max_examples=200, phases=[Phase.generate])
        with self.assertRaises(InvariantViolationError):
            case("runTest").debug()


if __name__ == "__main__":
    unittest.main()
