"""The state that the migration log describes: step statuses, builds that may have traffic, possible rollbacks.

Rules of the log; an entry that breaks one is rejected without any change:

 1  a plan is registered once, with step names that no other plan has, and only while no step is active or has failed
 2  only one step is active at a time; while a step has failed, no other step begins
 3  a step is applied only when all steps in its `after` are done, and undone only when all its dependents are pending
 4  a step that can't be undone is not undone
 5  an intent that ends the readiness of a build names the step's barrier entry, which precedes it
 6  an intent is followed by one outcome; a failed step is resumed or undone, or dropped if no part of it was applied

A build is ready at a rollout stage when the steps that it needs up to that stage are done and no step in its `until`
has begun. A step begins with its barrier entry, if it has one: from then on relays withhold traffic, and the store
accepts the intent only when all relays have acknowledged the barrier. This module uses no I/O and no clock.
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
    """The status of a step; the values are what `lanelead migrations status` prints."""

    PENDING = "waiting"
    AT_BARRIER = "closing"  # waits for the relays to acknowledge the barrier; nothing has been changed
    IN_PROGRESS = "intended"  # parts of it may have been applied; the store records which
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class StepState:
    """The state of one step.

    direction: whether it was last applied or undone.
    intent_seq, barrier_seq: sequence numbers of its last intent entry and barrier entry; 0: none.
    failure_reason, parts_applied: the reason of its last failure, and the parts applied before it.
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
        """Whether the step is being applied or undone."""
        return self.status in (StepStatus.AT_BARRIER, StepStatus.IN_PROGRESS)


class MigrationLog:
    """The state after the log's entries up to `last_seq`."""

    def __init__(self) -> None:
        self.last_seq = 0
        self.plans: dict[str, MigrationPlan] = {}
        self.steps: dict[str, StepState] = {}  # by name, in execution order within a plan
        self._build_requirements: dict[int, list[BuildRequirements]] = {}

    def copy(self) -> MigrationLog:
        """Returns an independent copy."""
        other = MigrationLog()
        other.last_seq = self.last_seq
        other.plans = dict(self.plans)
        other.steps = {name: replace(state) for name, state in self.steps.items()}
        other._build_requirements = {build: list(some) for build, some in self._build_requirements.items()}
        return other

    # Writing

    def append(self, logged: LoggedEntry) -> None:
        """Applies the next entry. Raises InvalidEntryError, in which case nothing changes."""
        if logged.seq != self.last_seq + 1:
            raise InvalidEntryError(f"entry {logged.seq} does not directly follow entry {self.last_seq}")
        entry = logged.entry
        if entry.kind == "plan":
            self._append_plan(entry)
        else:
            self._append_step_entry(entry, logged.seq)
        self.last_seq = logged.seq

    def register_plan(self, plan: MigrationPlan) -> None:
        """Registers a plan with all of its steps pending. Raises InvalidEntryError."""
        if plan.name in self.plans:
            raise InvalidEntryError(f"plan {plan.name!r} is already registered", rule=1)
        for step in plan.steps:
            if step.name in self.steps:
                raise InvalidEntryError(
                    f"plan {self.steps[step.name].plan_name!r} already has a step {step.name!r}", rule=1
                )
        self.plans[plan.name] = plan
        for step in execution_order(plan):
            self.steps[step.name] = StepState(step, plan.name)
        for requirements in plan.builds:
            self._build_requirements.setdefault(requirements.build, []).append(requirements)

    def _append_plan(self, entry: LogEntry) -> None:
        try:
            plan = msgspec.json.decode(entry.text, type=MigrationPlan)
        except msgspec.MsgspecError as error:
            raise InvalidEntryError(f"the entry holds no valid plan: {error}") from None
        if self.active_step() or self.failed_step():
            raise InvalidEntryError("a plan can't be registered while a step is active or has failed", rule=1)
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
        """The step that is being applied or undone, or None."""
        return next((state for state in self.steps.values() if state.active), None)

    def failed_step(self) -> StepState | None:
        """The step that has failed, or None."""
        return next((state for state in self.steps.values() if state.status is StepStatus.FAILED), None)

    def is_done(self, name: str) -> bool:
        """Whether a step has been applied. Raises KeyError if no plan has it."""
        return self.steps[name].status is StepStatus.DONE

    def has_begun(self, name: str) -> bool:
        """Whether a step is anything but pending. Raises KeyError if no plan has it."""
        return self.steps[name].status is not StepStatus.PENDING

    def builds(self) -> list[int]:
        """The builds that the plans name, in ascending order."""
        return sorted(self._build_requirements)

    def is_ready(
        self, build: int, stage: int = 0, assumed: StepState | None = None, direction: Direction = "apply"
    ) -> bool:
        """Whether a build may have traffic at a rollout stage.

        assumed, direction: a step that is taken to have begun in this direction.
        A build that no plan names has the requirements of the nearest earlier build that is named, or if there is none,
        of the first one. Without any plan, all builds are ready.
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
        """The builds that are ready at some rollout stage now, and no longer once the step begins in this direction."""
        return [
            build
            for build in self.builds()
            if any(self._ends_readiness(build, stage, state, direction) for stage in self._stages_of_needs(build))
        ]

    def _ends_readiness(self, build: int, stage: int, state: StepState, direction: Direction) -> bool:
        return self.is_ready(build, stage) and not self.is_ready(build, stage, state, direction)

    def _stages_of_needs(self, build: int) -> list[int]:
        """The stages from which a build that a plan names has requirements."""
        needs = [need for requirements in self._build_requirements[build] for need in requirements.needs]
        return sorted({0, *(need.stage for need in needs)})

    def dependents(self, state: StepState) -> list[StepState]:
        """The steps that name this one in their `after`."""
        return [other for other in self.steps.values() if state.step.name in other.step.after]

    def rollback_ended_by(self, build: int) -> str | None:
        """The first pending step that makes a rollback to a build impossible once it begins; None if there is none."""
        if not self.is_ready(build):
            return None
        for state in self.steps.values():
            if state.status is StepStatus.PENDING and build in self.builds_ended_by(state, "apply"):
                return state.step.name
        return None

    # Rules

    def violation(self, entry: LogEntry) -> InvalidEntryError | None:
        """The error with which an entry of a step would be rejected; None if it may be appended."""
        if entry.kind == "plan":
            return None
        state = self.steps.get(entry.step)
        if state is None:
            return InvalidEntryError(f"no registered plan has a step {entry.step!r}")
        if entry.kind in (BARRIER, "intent"):
            return self._begin_violation(state, entry)
        return _outcome_violation(state, entry)

    def _begin_violation(self, state: StepState, entry: LogEntry) -> InvalidEntryError | None:
        other = self.active_step() or self.failed_step()
        if other is not None and other is not state:
            return InvalidEntryError(f"{other.step.name!r} must end first: its status is {other.status.value}", rule=2)
        name = state.step.name
        if state.status is StepStatus.AT_BARRIER:
            if entry.kind == BARRIER:
                return InvalidEntryError(f"{name!r} already has a barrier entry", rule=2)
            if entry.direction != state.direction or entry.barrier_seq != state.barrier_seq:
                return InvalidEntryError(
                    f"the intent of {name!r} must name barrier entry {state.barrier_seq}, direction {state.direction}",
                    rule=5,
                )
        elif entry.kind == "intent":
            # Earlier versions wrote no barrier entry for needs of later stages. Their logs have to stay readable.
            ended = [build for build in self.builds() if self._ends_readiness(build, 0, state, entry.direction)]
            if ended:
                return InvalidEntryError(
                    f"a barrier entry must precede the intent: it ends the readiness of builds {ended}", rule=5
                )
        return self._apply_violation(state) if entry.direction == "apply" else self._undo_violation(state)

    def _apply_violation(self, state: StepState) -> InvalidEntryError | None:
        if state.status not in (StepStatus.PENDING, StepStatus.AT_BARRIER):
            return InvalidEntryError(
                f"{state.step.name!r} can't be applied: its status is {state.status.value}", rule=6
            )
        for name in state.step.after:
            if not self.is_done(name):
                return InvalidEntryError(f"{name!r} must be done first", rule=3)
        return None

    def _undo_violation(self, state: StepState) -> InvalidEntryError | None:
        name = state.step.name
        if not state.step.undo_statements:
            return InvalidEntryError(f"{name!r} can't be undone", rule=4)
        if state.status not in (StepStatus.DONE, StepStatus.FAILED, StepStatus.AT_BARRIER):
            return InvalidEntryError(f"{name!r} can't be undone: its status is {state.status.value}", rule=6)
        for later in self.dependents(state):
            if later.status is not StepStatus.PENDING:
                return InvalidEntryError(
                    f"{later.step.name!r} depends on it and must be undone first: its status is {later.status.value}",
                    rule=3,
                )
        return None


def _outcome_violation(state: StepState, entry: LogEntry) -> InvalidEntryError | None:
    name = state.step.name
    status = state.status
    if entry.kind in ("done", "failed"):
        if status is not StepStatus.IN_PROGRESS or entry.direction != state.direction:
            return InvalidEntryError(f"{name!r} is {status.value}, without an intent to {entry.direction} it", rule=6)
    elif entry.kind == "resumed":
        if status is not StepStatus.FAILED:
            return InvalidEntryError(f"{name!r} has not failed", rule=6)
    elif status is not StepStatus.AT_BARRIER and (status is not StepStatus.FAILED or state.parts_applied):
        return InvalidEntryError(
            f"{name!r} is {status.value}, and can't be dropped once parts of it may have been applied", rule=6
        )
    return None
