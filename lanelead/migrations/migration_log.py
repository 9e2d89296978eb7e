"""The migration log, read into what may run next, which builds may get traffic, and whether a rollback is possible.

The rules; an entry that breaks one is rejected, and changes nothing:

 1  the steps of a plan have new names, and a plan is registered only while no step is active
 2  one step is active at a time; while one has failed, no other begins
 3  a step is applied when all steps that it comes after are done, and undone when no step that is done comes after it
 4  a step that can't be undone is not undone
 5  an intent that ends a build's readiness names the barrier entry before it
 6  an outcome follows its own intent, once; a failed step is resumed, undone, or dropped where no part was applied

A build is ready at a rollout stage when its needs up to that stage are done and no step of its `until` has begun. A
barrier counts as begun: relays withhold traffic from then on, and the store accepts the intent only when all of them
have acknowledged the barrier. All of this is without I/O and without a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.plan import execution_order
from lanelead.protocols.migrations import BARRIER, Direction, LogEntry, LoggedEntry
from lanelead.settings.migration_settings import BuildRequirements, MigrationPlan, MigrationStep


class StepStatus(Enum):
    """Where a step is; the values are the words that `lanelead migrations status` prints."""

    PENDING = "waiting"
    AT_BARRIER = "closing"  # relays are asked to acknowledge; nothing has been changed
    IN_PROGRESS = "intended"  # something may have been changed: the store knows how much
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class StepState:
    """The state of one step.

    intent_seq, barrier_seq: the entries of its last intent and barrier; 0 where there was none.
    failure_reason, parts_applied: of its last failure.
    """

    step: MigrationStep
    plan_name: str
    status: StepStatus = StepStatus.PENDING
    direction: Direction = "apply"
    intent_seq: int = 0
    barrier_seq: int = 0
    failure_reason: str = ""
    parts_applied: int = 0

    @property
    def active(self) -> bool:
        """Is the step being applied or undone?"""
        return self.status in (StepStatus.AT_BARRIER, StepStatus.IN_PROGRESS)


class MigrationLog:
    """The state that the log's entries up to `last_seq` make."""

    def __init__(self) -> None:
        self.last_seq = 0
        self.plans: dict[str, MigrationPlan] = {}
        self.steps: dict[str, StepState] = {}  # in execution order
        self._build_requirements: dict[int, list[BuildRequirements]] = {}

    def copy(self) -> MigrationLog:
        """An independent copy."""
        other = MigrationLog()
        other.last_seq = self.last_seq
        other.plans = dict(self.plans)
        other.steps = {name: replace(state) for name, state in self.steps.items()}
        other._build_requirements = {build: list(some) for build, some in self._build_requirements.items()}
        return other

    # Writing

    def append(self, logged: LoggedEntry) -> None:
        """Adds the next entry. Raises InvalidEntryError, and then changes nothing."""
        if logged.seq != self.last_seq + 1:
            raise InvalidEntryError(f"entry {logged.seq} after {self.last_seq}")
        entry = logged.entry
        if entry.kind == "plan":
            self._append_plan(entry)
        else:
            self._append_step_entry(entry, logged.seq)
        self.last_seq = logged.seq

    def register_plan(self, plan: MigrationPlan) -> None:
        """Adds a plan, all of whose steps are pending. Raises InvalidEntryError."""
        if plan.name in self.plans:
            raise InvalidEntryError(f"plan {plan.name!r} is in the log already", rule=1)
        for step in plan.steps:
            if step.name in self.steps:
                raise InvalidEntryError(f"plan {self.steps[step.name].plan_name!r} claims {step.name!r}", rule=1)
        self.plans[plan.name] = plan
        for step in execution_order(plan):
            self.steps[step.name] = StepState(step, plan.name)
        for requirements in plan.builds:
            self._build_requirements.setdefault(requirements.build, []).append(requirements)

    def _append_plan(self, entry: LogEntry) -> None:
        try:
            plan = msgspec.json.decode(entry.text, type=MigrationPlan)
        except msgspec.MsgspecError as error:
            raise InvalidEntryError(f"not a plan: {error}") from None
        if self.active_step() or self.failed_step():
            raise InvalidEntryError("a step is active or has failed", rule=1)
        self.register_plan(plan)

    def _append_step_entry(self, entry: LogEntry, seq: int) -> None:
        violation = self.violation(entry)
        if violation is not None:
            raise violation
        state = self.steps[entry.step]
        if entry.kind == BARRIER:
            state.status = StepStatus.AT_BARRIER
            state.direction = entry.direction
            state.barrier_seq = seq
            return
        match entry.kind:
            case "intent":
                state.status = StepStatus.IN_PROGRESS
                state.direction = entry.direction
                state.intent_seq = seq
                state.parts_applied = 0
            case "done":
                state.status = StepStatus.DONE if state.direction == "apply" else StepStatus.PENDING
                state.failure_reason = ""
            case "failed":
                state.status = StepStatus.FAILED
                state.failure_reason = entry.text
                state.parts_applied = entry.parts_applied
            case "resumed":
                state.status = StepStatus.IN_PROGRESS
            case "dropped":
                state.status = StepStatus.PENDING if state.direction == "apply" else StepStatus.DONE
                state.failure_reason = ""

    # Reading

    def active_step(self) -> StepState | None:
        """The step that is being applied or undone."""
        return next((state for state in self.steps.values() if state.active), None)

    def failed_step(self) -> StepState | None:
        """The step that has failed."""
        return next((state for state in self.steps.values() if state.status is StepStatus.FAILED), None)

    def is_done(self, name: str) -> bool:
        """Has a step been applied? Raises KeyError where no plan has it."""
        return self.steps[name].status is StepStatus.DONE

    def has_begun(self, name: str) -> bool:
        """Has a step begun, or ended? Raises KeyError where no plan has it."""
        return self.steps[name].status is not StepStatus.PENDING

    def builds(self) -> list[int]:
        """The builds that the plans name, in order."""
        return sorted(self._build_requirements)

    def is_ready(
        self, build: int, stage: int = 0, assumed: StepState | None = None, direction: Direction = "apply"
    ) -> bool:
        """May a build have traffic at a rollout stage?

        assumed: judge as if this step had begun in that direction.
        A build that no plan names counts as the nearest earlier one that is named, or as the first of all.
        """
        named = self.builds()
        if not named:
            return True
        nearest = max((other for other in named if other <= build), default=named[0])
        for requirements in self._build_requirements[nearest]:
            for need in requirements.needs:
                undone = assumed is not None and assumed.step.name == need.step and direction == "undo"
                if need.stage <= stage and (undone or not self.is_done(need.step)):
                    return False
            for name in requirements.until:
                applied = assumed is not None and assumed.step.name == name and direction == "apply"
                if applied or self.has_begun(name):
                    return False
        return True

    def builds_ended_by(self, state: StepState, direction: Direction) -> list[int]:
        """The builds that are ready now and would no longer be once the step begins in that direction."""
        return [
            build for build in self.builds() if self.is_ready(build) and not self.is_ready(build, 0, state, direction)
        ]

    def dependents(self, state: StepState) -> list[StepState]:
        """The steps that come directly after one."""
        return [other for other in self.steps.values() if state.step.name in other.step.after]

    def rollback_ended_by(self, build: int) -> str | None:
        """The first pending step that would make a rollback to a build impossible."""
        if not self.is_ready(build):
            return None
        for state in self.steps.values():
            if state.status is StepStatus.PENDING and build in self.builds_ended_by(state, "apply"):
                return state.step.name
        return None

    # Rules

    def violation(self, entry: LogEntry) -> InvalidEntryError | None:
        """The error with which a step's entry would be rejected; None where it may be appended."""
        if entry.kind == "plan":
            return None
        state = self.steps.get(entry.step)
        if state is None:
            return InvalidEntryError(f"no step {entry.step!r}")
        if entry.kind in (BARRIER, "intent"):
            return self._begin_violation(state, entry)
        return _outcome_violation(state, entry)

    def _begin_violation(self, state: StepState, entry: LogEntry) -> InvalidEntryError | None:
        other = self.active_step() or self.failed_step()
        if other is not None and other is not state:
            return InvalidEntryError(f"{other.step.name!r} is {other.status.value}", rule=2)
        name = state.step.name
        if state.status is StepStatus.AT_BARRIER:
            if entry.kind == BARRIER:
                return InvalidEntryError(f"{name!r} is at its barrier already", rule=2)
            if entry.direction != state.direction or entry.barrier_seq != state.barrier_seq:
                return InvalidEntryError(
                    f"the barrier of {name!r} is entry {state.barrier_seq}, {state.direction}", rule=5
                )
        elif entry.kind == "intent":
            ended = self.builds_ended_by(state, entry.direction)
            if ended:
                return InvalidEntryError(f"no barrier entry, and builds {ended} would lose their state", rule=5)
        return self._apply_violation(state) if entry.direction == "apply" else self._undo_violation(state)

    def _apply_violation(self, state: StepState) -> InvalidEntryError | None:
        if state.status not in (StepStatus.PENDING, StepStatus.AT_BARRIER):
            return InvalidEntryError(f"{state.step.name!r} is {state.status.value}", rule=6)
        for name in state.step.after:
            if not self.is_done(name):
                return InvalidEntryError(f"{name!r} is not done", rule=3)
        return None

    def _undo_violation(self, state: StepState) -> InvalidEntryError | None:
        name = state.step.name
        if not state.step.undoing:
            return InvalidEntryError(f"{name!r} can't be undone", rule=4)
        if state.status not in (StepStatus.DONE, StepStatus.FAILED, StepStatus.AT_BARRIER):
            return InvalidEntryError(f"{name!r} is {state.status.value}", rule=6)
        for later in self.dependents(state):
            if later.status is not StepStatus.PENDING:
                return InvalidEntryError(f"{later.step.name!r} comes after it, and is {later.status.value}", rule=3)
        return None


def _outcome_violation(state: StepState, entry: LogEntry) -> InvalidEntryError | None:
    name = state.step.name
    status = state.status
    if entry.kind in ("done", "failed"):
        if status is not StepStatus.IN_PROGRESS or entry.direction != state.direction:
            return InvalidEntryError(f"{name!r} is {status.value}, with no intent to {entry.direction} it", rule=6)
    elif entry.kind == "resumed":
        if status is not StepStatus.FAILED:
            return InvalidEntryError(f"{name!r} has not failed", rule=6)
    elif status is not StepStatus.AT_BARRIER and (status is not StepStatus.FAILED or state.parts_applied):
        return InvalidEntryError(f"{name!r} is {status.value}, and parts of it may be applied", rule=6)
    return None
