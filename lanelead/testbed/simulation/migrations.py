"""Migration runners, one store and all that can go wrong between them, as values: for a search of every order.

Nothing here has a clock: a lease may end at any moment, a relay acknowledge a barrier at any later one, a call be
carried out long after its sender gave up on it. What is true in every order is true of every clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import lru_cache

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
from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.migrations.runner import Goal, Runner
from lanelead.protocols.migrations import UNACKNOWLEDGED, ApplyRequest, EffectProgress, LogEntry, LoggedEntry

BACKFILL_PARTS = 2
MAX_CALLS_TO_COMPLETION = 400
MAX_STATES = 3_000_000


class InvariantViolationError(Exception):
    """Something happened that must not happen in any order; the text says what."""


@lru_cache(maxsize=200_000)
def replayed(entries: tuple[LogEntry, ...]) -> MigrationLog:
    """The log that some entries make; not to be changed. Raises InvariantViolationError."""
    if not entries:
        return MigrationLog()
    log = replayed(entries[:-1]).copy()
    entry = entries[-1]
    try:
        log.append(LoggedEntry(len(entries), 0, "", 0.0, entry))
    except InvalidEntryError as error:
        raise InvariantViolationError(f"entry {len(entries)}, {entry.kind} of {entry.step!r}: {error}") from None
    return log


@dataclass(frozen=True)
class SafetyChecks:
    """The checks of the store and the runners; a search without one must find a violation.

    fencing: the store rejects calls under an earlier token.
    effect_marks: the store applies no part that is recorded as applied.
    barrier: an intent waits for the relays' acknowledgement.
    intent_first: the intent is logged before its effect.
    """

    fencing: bool = True
    effect_marks: bool = True
    barrier: bool = True
    intent_first: bool = True


ALL_CHECKS = SafetyChecks()


@dataclass(frozen=True)
class StoreModel:
    """The store, and one relay that watches it.

    effects: (intent, part) of each effect, in the order in which they were applied.
    acknowledged_seq: the last entry that the relay has acknowledged.
    """

    entries: tuple[LogEntry, ...] = ()
    token: int = 0
    effects: tuple[tuple[int, int], ...] = ()
    acknowledged_seq: int = 0

    def progress(self, intent_seq: int) -> EffectProgress:
        """How much of an intent has been applied, as the store would reply."""
        parts = sum(1 for intent, _ in dict.fromkeys(self.effects) if intent == intent_seq)
        return EffectProgress(parts, None, parts >= self.parts_of(intent_seq))

    def parts_of(self, intent_seq: int) -> int:
        """The parts that complete an intent."""
        entry = self.entries[intent_seq - 1]
        kind = replayed(self.entries[:intent_seq]).steps[entry.step].step.kind
        return BACKFILL_PARTS if kind == "backfill" else 1

    def carry_out(self, call: RunnerAction, checks: SafetyChecks) -> tuple[StoreModel, Reply]:
        """The store after a call, and its reply. Raises InvariantViolationError."""
        match call:
            case AcquireLease():
                return replace(self, token=self.token + 1), LeaseGranted(self.token + 1)
            case ReadLog():
                return self, CallCompleted()
            case QueryProgress(intent_seq):
                return self, self.progress(intent_seq) if checks.effect_marks else EffectProgress(0)
            case QueryUnacknowledged(barrier_seq):
                passed = self.acknowledged_seq >= barrier_seq or not checks.barrier
                return self, BarrierStatus(() if passed else (0,))
            case AppendEntry():
                return self._append(call, checks)
            case ApplyPart(request, _, _):
                return self._apply(request, checks)
            case RunResult():
                raise AssertionError("a result is not a call")

    def _append(self, call: AppendEntry, checks: SafetyChecks) -> tuple[StoreModel, Reply]:
        if checks.fencing and call.token != self.token:
            return self, CallRejected("fenced")
        if call.after_seq != len(self.entries):
            return self, CallRejected("behind")
        if checks.barrier and call.entry.barrier_seq > self.acknowledged_seq:
            return self, CallRejected(UNACKNOWLEDGED)
        return replace(self, entries=(*self.entries, call.entry)), CallCompleted()

    def _apply(self, request: ApplyRequest, checks: SafetyChecks) -> tuple[StoreModel, Reply]:
        if checks.fencing and request.token != self.token:
            return self, CallRejected("fenced")
        if checks.intent_first:
            logged = request.intent_seq <= len(self.entries)
            if not logged or self.entries[request.intent_seq - 1].kind != "intent":
                return self, CallRejected("no intent")
        if checks.effect_marks and (request.intent_seq, request.part) in self.effects:
            return self, self.progress(request.intent_seq)
        after = replace(self, effects=(*self.effects, (request.intent_seq, request.part)))
        after.check_last_effect()
        return after, after.progress(request.intent_seq)

    def check_last_effect(self) -> None:
        """Raises InvariantViolationError where the last effect was not to be applied."""
        intent_seq, part = self.effects[-1]
        effect = f"part {part} of intent {intent_seq}"
        if (intent_seq, part) in self.effects[:-1]:
            raise InvariantViolationError(f"{effect} was applied twice")
        active = replayed(self.entries).active_step()
        if active is None or active.status is not StepStatus.IN_PROGRESS or active.intent_seq != intent_seq:
            raise InvariantViolationError(f"{effect} was applied while the log says otherwise")
        if self.entries[intent_seq - 1].barrier_seq > self.acknowledged_seq:
            raise InvariantViolationError(f"{effect} was applied before the relay had acknowledged its barrier")
        applied = self.applied_parts()
        if active.direction == "apply" and any(
            applied.get(name, 0) != self.whole_parts(name) for name in active.step.after
        ):
            raise InvariantViolationError(f"{active.step.name!r} before what it comes after")

    def whole_parts(self, name: str) -> int:
        """The parts of a step that is wholly applied."""
        return BACKFILL_PARTS if replayed(self.entries).steps[name].step.kind == "backfill" else 1

    def applied_parts(self) -> dict[str, int]:
        """How many parts of each step are in the schema; an undo removes all of them."""
        parts: dict[str, int] = {}
        for intent_seq, _ in self.effects:
            entry = self.entries[intent_seq - 1]
            parts[entry.step] = parts.get(entry.step, 0) + 1 if entry.direction == "apply" else 0
        return parts


class EffectBeforeIntentRunner(Runner):
    """A seeded fault: it applies the effect first, and logs the intent after."""

    def next_call(self, log: MigrationLog) -> RunnerAction:
        """The call of a correct runner, but the effect where that logs an intent."""
        call = super().next_call(log)
        if isinstance(call, AppendEntry) and call.entry.kind == "intent" and self.progress is None:
            statements = tuple(log.steps[call.entry.step].step.apply)
            return ApplyPart(ApplyRequest(self.token, log.last_seq + 1, 0, statements), 1.0, False)
        return call


@dataclass(frozen=True)
class RunnerProcess:
    """A runner's process: the runner's state, and how many entries of the log it has read."""

    runner: Runner
    known_entries: int = 0

    def next_call(self, store: StoreModel) -> RunnerAction:
        """The runner's next call, given the log as it has read it."""
        return self.runner.next_call(replayed(store.entries[: self.known_entries]))

    def after_reply(self, call: RunnerAction, reply: Reply, store: StoreModel) -> RunnerProcess:
        """The process after a reply; `store` as it is after the call."""
        known_entries = self.known_entries
        if isinstance(reply, CallCompleted):
            known_entries = known_entries + 1 if isinstance(call, AppendEntry) else len(store.entries)
        return RunnerProcess(self.runner.after_reply(call, reply), known_entries)


@dataclass(frozen=True)
class ModelState:
    """All of the model at one moment.

    late_calls: calls whose sender has given up, which may still be carried out.
    faults_left: the number of faults that may still happen.
    """

    store: StoreModel
    processes: tuple[RunnerProcess, ...]
    late_calls: tuple[RunnerAction, ...] = ()
    faults_left: int = 0

    def successors(self, checks: SafetyChecks, fresh: tuple[Runner, ...]) -> Iterator[ModelState]:
        """Every state that may come right after. `fresh`: the runners as they start anew.

        Raises InvariantViolationError.
        """
        if self.store.acknowledged_seq < len(self.store.entries):
            yield replace(self, store=replace(self.store, acknowledged_seq=len(self.store.entries)))
        for index, call in enumerate(self.late_calls):
            store, _ = self.store.carry_out(call, checks)
            yield replace(self, store=store, late_calls=(*self.late_calls[:index], *self.late_calls[index + 1 :]))
        for index, process in enumerate(self.processes):
            call = process.next_call(self.store)
            if not isinstance(call, RunResult):
                yield from self.process_steps(index, call, checks, fresh)

    def with_process(self, index: int, process: RunnerProcess) -> tuple[RunnerProcess, ...]:
        """The processes, with one replaced."""
        return (*self.processes[:index], process, *self.processes[index + 1 :])

    def process_steps(
        self, index: int, call: RunnerAction, checks: SafetyChecks, fresh: tuple[Runner, ...]
    ) -> Iterator[ModelState]:
        """Every state that may come after a process's call: first without, then with a fault."""
        process = self.processes[index]
        store, reply = self.store.carry_out(call, checks)
        yield replace(self, store=store, processes=self.with_process(index, process.after_reply(call, reply, store)))
        if not self.faults_left:
            return
        faulty = replace(self, faults_left=self.faults_left - 1)
        ignorant = self.with_process(index, process.after_reply(call, OutcomeUnknown(), store))
        restarted = self.with_process(index, RunnerProcess(fresh[index]))
        yield replace(faulty, store=store, processes=ignorant)  # the reply was lost
        yield replace(faulty, store=store, processes=restarted)  # the process was killed right after
        if isinstance(call, AppendEntry | ApplyPart):
            late_calls = (*self.late_calls, call)  # carried out later, or never
            yield replace(faulty, late_calls=late_calls, processes=ignorant)
            yield replace(faulty, late_calls=late_calls, processes=restarted)


@dataclass
class SearchResult:
    """What a search has found. `violation`: empty where there is none; `path_length`: the steps to it."""

    states: int = 0
    ends: int = 0
    violation: str = ""
    path_length: int = 0


def search(
    goals: tuple[Goal, ...], faults: int, checks: SafetyChecks = ALL_CHECKS, max_states: int = MAX_STATES
) -> SearchResult:
    """Every order of the calls of one runner a goal, with so many faults in all, breadth first.

    Ends at a violation, or raises OverflowError past `max_states`.
    """
    kind = Runner if checks.intent_first else EffectBeforeIntentRunner
    fresh = tuple(kind(goal) for goal in goals)
    start = ModelState(StoreModel(), tuple(RunnerProcess(runner) for runner in fresh), (), faults)
    seen = {start}
    queue = deque([(start, 0)])
    ends: set[StoreModel] = set()
    while queue:
        state, depth = queue.popleft()
        try:
            moved = False
            for after in state.successors(checks, fresh):
                moved = moved or after.processes != state.processes
                if after not in seen:
                    seen.add(after)
                    queue.append((after, depth + 1))
            if not state.late_calls and not moved and state.store not in ends:
                ends.add(state.store)
                run_to_completion(state.store, goals[0], checks)
        except InvariantViolationError as violation:
            return SearchResult(len(seen), len(ends), str(violation), depth)
        if len(seen) > max_states:
            raise OverflowError(f"over {max_states} states")
    return SearchResult(len(seen), len(ends))


def run_to_completion(store: StoreModel, goal: Goal, checks: SafetyChecks) -> StoreModel:
    """What a runner makes of an end, undisturbed: it must reach its goal, each effect applied once.

    Raises InvariantViolationError.
    """
    process = RunnerProcess(Runner(replace(goal, operation="resume", allow_ending_rollback=True)))
    for _ in range(MAX_CALLS_TO_COMPLETION):
        call = process.next_call(store)
        if isinstance(call, RunResult):
            _check_completion(store, process.runner.goal, call)
            return store
        store = replace(store, acknowledged_seq=len(store.entries))
        store, reply = store.carry_out(call, checks)
        process = process.after_reply(call, reply, store)
    raise InvariantViolationError("it never ends")


def _check_completion(store: StoreModel, goal: Goal, result: RunResult) -> None:
    if not result.succeeded:
        raise InvariantViolationError(f"it can't be resumed: {result.message}")
    states = replayed(store.entries).steps.values()
    applied = store.applied_parts()
    wrong = [state.step.name for state in states if state.status is not StepStatus.DONE]
    wrong += [step.name for step in goal.plan.steps if applied.get(step.name) != store.whole_parts(step.name)]
    if not wrong:
        return
    # Resuming a rollback ends in the rollback: what is undone is wholly undone.
    if goal.operation == "undo" and all(applied.get(name, 0) in (0, store.whole_parts(name)) for name in wrong):
        return
    raise InvariantViolationError(f"not as the log says: {wrong}")
