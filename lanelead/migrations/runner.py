"""Decides the next call of a migration runner from its state and its copy of the log; uses no I/O and no clock.

A step begins with an intent entry, or with a barrier entry if it ends the readiness of a build: relays then withhold
traffic from that build, and the intent follows when all of them have acknowledged the barrier (see migration_log).

When the outcome of a call is unknown (it timed out, or the connection was cut), the runner does not rely on what it
remembers: it acquires a new lease, whose fencing token invalidates all calls sent before by any runner, reads the log,
and queries how much of the intent has been applied. Without the new token, a call still in transit could be executed
after a reply that nothing was applied.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Literal

import msgspec

from lanelead.migrations.calls import (
    AcquireLease,
    AppendEntry,
    ApplyPart,
    BarrierStatus,
    CallCompleted,
    CallRejected,
    LeaseGranted,
    OutcomeUnknown,
    QueryProgress,
    QueryUnacknowledged,
    ReadLog,
    Reply,
    RunnerAction,
    RunResult,
)
from lanelead.migrations.migration_log import MigrationLog, StepState, StepStatus
from lanelead.protocols.migrations import (
    BARRIER,
    UNACKNOWLEDGED,
    ApplyRequest,
    BatchRange,
    Direction,
    EffectProgress,
    LogEntry,
)
from lanelead.settings.migration_settings import MigrationPlan

MAX_ATTEMPTS = 4  # consecutive calls to apply with unknown outcome, after which the step is logged as failed
MAX_FAILURE_REASON_CHARACTERS = 500

# run: applies the pending steps. undo: undoes the done steps, the last first. resume: retries the failed step, and then
# applies the pending ones. take: only registers the plan; its builds then get no traffic before their needs are done.
Operation = Literal["run", "undo", "resume", "take"]


@dataclass(frozen=True)
class Goal:
    """The operation that the operator requested.

    plan: not compared and not hashed, as a plan holds lists.
    last_step: the last step to begin to apply or undo; empty: all. A step that is active or has failed at the start is
        handled first in any case.
    allow_ending_rollback: whether steps may begin that make a rollback impossible; a step that has begun continues.
    """

    plan: MigrationPlan = field(compare=False)
    operation: Operation = "run"
    last_step: str = ""
    allow_ending_rollback: bool = False

    @property
    def plan_json(self) -> str:
        """The plan as JSON, as it stands in the log."""
        return msgspec.json.encode(self.plan).decode()


@dataclass(frozen=True)
class Runner:
    """The immutable state of a runner between two calls.

    token: the fencing token of its lease; 0: no lease.
    log_read: whether the log was read since the lease was granted or the store last reported newer entries.
    progress: the progress of the active intent; None: to be queried.
    acknowledged: whether all relays have acknowledged the active barrier.
    attempts: consecutive calls to apply a part of the active step whose outcome was unknown.
    failure_reason: why the store rejected the current part; empty: it did not. Ignored if the step proves finished.
    has_resumed: whether this run has resumed a failed step, which it does at most once.
    result: the result of the run; None: not ended.
    """

    goal: Goal
    token: int = 0
    log_read: bool = False
    progress: EffectProgress | None = None
    acknowledged: bool = False
    attempts: int = 0
    failure_reason: str = ""
    has_resumed: bool = False
    result: RunResult | None = None

    def next_call(self, log: MigrationLog) -> RunnerAction:
        """Returns the next call to the store, or the result of the run."""
        if self.result is not None:
            return self.result
        if not self.token:
            return AcquireLease()
        if not self.log_read:
            return ReadLog(log.last_seq)
        plan = self.goal.plan
        if plan.name not in log.plans:
            if log.active_step() or log.failed_step():
                return RunResult(False, "a step of another plan is active or has failed")
            return self._append(log, LogEntry("plan", text=self.goal.plan_json))
        if log.plans[plan.name] != plan:
            return RunResult(False, f"the log has a different plan named {plan.name!r}")
        if self.goal.operation == "take":
            return RunResult(
                True, "the plan is registered; its builds get traffic once the steps that they need are done"
            )
        return self._step_call(log)

    def _step_call(self, log: MigrationLog) -> RunnerAction:
        """Returns the call for the active step, else for the failed step, else for the next step to begin.

        An active or failed step comes first even if it belongs to another plan. "run" first completes the undoing of a
        step that is being undone, and then applies the step again.
        """
        active = log.active_step()
        if active is not None and active.status is StepStatus.AT_BARRIER:
            return self._at_barrier(log, active)
        if active is not None:
            return self._in_progress(log, active)
        failed = log.failed_step()
        if failed is not None:
            return self._after_failure(log, failed)
        return self._next_step(log)

    def _append(self, log: MigrationLog, entry: LogEntry) -> AppendEntry:
        return AppendEntry(self.token, log.last_seq, entry)

    def _at_barrier(self, log: MigrationLog, state: StepState) -> RunnerAction:
        name = state.step.name
        if self.goal.operation == "undo" and state.direction == "apply":  # ends the barrier; nothing was changed
            return self._append(log, LogEntry("dropped", name, state.direction))
        if not self.acknowledged:
            return QueryUnacknowledged(state.barrier_seq)
        return self._append(log, LogEntry("intent", name, state.direction, state.barrier_seq))

    def _in_progress(self, log: MigrationLog, state: StepState) -> RunnerAction:
        """Returns the call for a step whose intent is logged; a finished step is logged as done in any case."""
        if self.progress is None:
            return QueryProgress(state.intent_seq)
        if self.progress.finished:
            return self._append(log, LogEntry("done", state.step.name, state.direction))
        failure = self._failure_of(state)
        if failure:
            text = failure[:MAX_FAILURE_REASON_CHARACTERS]
            parts = self.progress.parts
            return self._append(
                log, LogEntry("failed", state.step.name, state.direction, parts_applied=parts, text=text)
            )
        return self._apply_part(state, self.progress)

    def _failure_of(self, state: StepState) -> str:
        """The reason to log the active step as failed; empty if it continues.

        The texts are stored in the log. "given up": an undo was requested while the step was being applied. "its
        outcome could not be determined": `MAX_ATTEMPTS` calls in a row had no usable reply, and the step is unfinished.
        """
        if self.failure_reason:
            return self.failure_reason
        if self.goal.operation == "undo" and state.direction == "apply":
            return "given up"
        if self.attempts >= MAX_ATTEMPTS:
            return "its outcome could not be determined"
        return ""

    def _apply_part(self, state: StepState, progress: EffectProgress) -> ApplyPart:
        step = state.step
        statements = tuple(step.apply if state.direction == "apply" else step.undo_statements)
        # `:low` is the SQL parameter for the lower bound of a batch's keys. Statements without it, such as an undo that
        # needs no batches, are applied as one part. The executor replaces the batch size.
        batch_range = None
        if step.batch is not None and any(":low" in text for text in statements):
            batch_range = BatchRange(step.batch.table, step.batch.key, step.batch.rows, progress.cursor)
        request = ApplyRequest(self.token, state.intent_seq, progress.parts, statements, batch_range)
        return ApplyPart(request, step.limit_ms, batch_range is not None)

    def _after_failure(self, log: MigrationLog, state: StepState) -> RunnerAction:
        """Returns the call for a failed step.

        "undo" drops or undoes a step that failed to be applied. Otherwise "run" ends, and other operations resume the
        step, at most once per run.
        """
        name = state.step.name
        if self.goal.operation == "undo" and state.direction == "apply":
            if not state.parts_applied:
                return self._append(log, LogEntry("dropped", name, state.direction))
            return self._begin_step(log, state, "undo")
        if self.goal.operation == "run" or self.has_resumed:
            failure = f"{name!r} failed to {state.direction} after {state.parts_applied} parts: {state.failure_reason}"
            return RunResult(False, failure)
        return self._append(log, LogEntry("resumed", name, state.direction))

    def _next_step(self, log: MigrationLog) -> RunnerAction:
        plan = self.goal.plan
        last_step = self.goal.last_step
        states = [state for state in log.steps.values() if state.plan_name == plan.name]
        if last_step and last_step not in [state.step.name for state in states]:
            return RunResult(False, f"no step {last_step!r} in plan {plan.name!r}")
        if self.goal.operation == "undo":
            for state in reversed(states):
                if state.status is StepStatus.DONE:
                    return self._begin_step(log, state, "undo")
                if state.step.name == last_step:
                    break
            return RunResult(True, "undone")
        for state in states:
            if state.status is StepStatus.PENDING:
                return self._begin_step(log, state, "apply")
            if state.step.name == last_step:
                break
        return RunResult(True, "all done")

    def _begin_step(self, log: MigrationLog, state: StepState, direction: Direction) -> RunnerAction:
        name = state.step.name
        ended = log.builds_ended_by(state, direction)
        if ended and direction == "apply" and not self.goal.allow_ending_rollback:
            return RunResult(
                False, f"{name!r} would make a rollback to build {ended[0]} impossible: pass --past-back to run it"
            )
        entry = LogEntry(BARRIER if ended else "intent", name, direction)
        violation = log.violation(entry)
        if violation is not None:
            return RunResult(False, str(violation))
        return self._append(log, entry)

    def after_reply(self, call: RunnerAction, reply: Reply) -> Runner:
        """Returns the runner's state after a reply to its call; the caller updates the log."""
        match reply:
            case OutcomeUnknown():  # fence off calls in transit with a new lease, then read and query
                attempts = self.attempts + isinstance(call, ApplyPart)
                return replace(self._with_unread_log(), token=0, attempts=attempts)
            case CallRejected():
                return self._after_rejection(call, reply)
            case LeaseGranted(token):
                return replace(self._with_unread_log(), token=token)
            case BarrierStatus(relays):
                return replace(self, acknowledged=not relays)
            case EffectProgress():
                return replace(self, progress=reply, attempts=0 if isinstance(call, ApplyPart) else self.attempts)
            case CallCompleted():
                return self._after_append(call.entry) if isinstance(call, AppendEntry) else replace(self, log_read=True)

    def _with_unread_log(self) -> Runner:
        return replace(self, log_read=False, progress=None, acknowledged=False)

    def _after_rejection(self, call: RunnerAction, rejected: CallRejected) -> Runner:
        if rejected.reason == "behind":
            return self._with_unread_log()
        if rejected.reason == "fenced":
            return replace(self, result=RunResult(False, "another runner has taken over the lease"))
        if rejected.reason == "failed" and isinstance(call, ApplyPart):
            return replace(self, failure_reason=rejected.message or "the store rejected it", progress=None)
        if rejected.reason == UNACKNOWLEDGED:
            return replace(self, acknowledged=False)
        return replace(self, result=RunResult(False, rejected.message or rejected.reason))

    def _after_append(self, entry: LogEntry) -> Runner:
        goal = self.goal
        if goal.operation == "resume" and entry.direction == "undo" and entry.kind in ("resumed", "done"):
            # The step was being undone: continue as an undo that ends at this step, so that it is not applied again.
            goal = replace(goal, operation="undo", last_step=entry.step)
        return replace(
            self,
            goal=goal,
            progress=None,
            acknowledged=False,
            attempts=0,
            failure_reason="",
            has_resumed=self.has_resumed or entry.kind == "resumed",
        )
