"""Runners, one store and all that can go wrong between them, as values: for a search through every order.

Nothing here has a clock: a lease may end at any moment, a relay see a closing at any later one, a request be
carried out long after its sender gave up on it. What is true in every order is true of every clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import lru_cache

from lanelead.migrations import calls
from lanelead.migrations.calls import AppendEntry, ApplyPart, PendingCall, Reply
from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepState, StepStatus
from lanelead.migrations.runner import Goal, Runner
from lanelead.protocols.migrations import ApplyRequest, EffectProgress, LogEntry, LoggedEntry

BACKFILL_PARTS = 2  # of a backfill


class InvariantViolationError(Exception):
    """Something happened that must not in any order; the text says what."""


@lru_cache(maxsize=200_000)
def replayed(entries: tuple[LogEntry, ...]) -> MigrationLog:
    """The record that some entries make; not to be changed."""
    if not entries:
        return MigrationLog()
    record, entry = replayed(entries[:-1]).copy(), entries[-1]
    try:
        record.append(LoggedEntry(len(entries), 0, "", 0.0, entry))
    except InvalidEntryError as fault:
        raise InvariantViolationError(f"entry {len(entries)}, {entry.kind} of {entry.step!r}: {fault}") from None
    return record


@dataclass(frozen=True)
class SafetyChecks:
    """What the store and the runners guard; a search without one must find a breach."""

    fencing: bool = True
    effect_marks: bool = True
    barrier: bool = True
    intent_first: bool = True


ALL_CHECKS = SafetyChecks()


@dataclass(frozen=True)
class StoreModel:
    """The store, and one relay that watches it."""

    entries: tuple[LogEntry, ...] = ()
    token: int = 0
    effects: tuple[tuple[int, int], ...] = ()  # effects in the order in which they were had: (intent, part)
    acknowledged_seq: int = 0

    def progress(self, intent: int) -> EffectProgress:
        parts = sum(1 for of, _ in dict.fromkeys(self.effects) if of == intent)
        return EffectProgress(parts, None, parts >= self.parts_of(intent))

    def parts_of(self, intent: int) -> int:
        entry = self.entries[intent - 1]
        return BACKFILL_PARTS if replayed(self.entries[:intent]).steps[entry.step].step.kind == "backfill" else 1

    def carry_out(self, want: PendingCall, guards: SafetyChecks) -> tuple[StoreModel, Reply]:
        """The store after a request, and its reply."""
        match want:
            case calls.AcquireLease():
                return replace(self, token=self.token + 1), calls.LeaseGranted(self.token + 1)
            case calls.ReadLog():
                return self, calls.CallCompleted()
            case calls.QueryProgress(intent):
                return self, self.progress(intent) if guards.effect_marks else EffectProgress(0)
            case calls.QueryUnacknowledged(closing):
                return self, calls.WaitingForRelays(
                    () if self.acknowledged_seq >= closing or not guards.barrier else (0,)
                )
            case AppendEntry(token, after, entry):
                if guards.fencing and token != self.token:
                    return self, calls.CallRejected("fenced")
                if after != len(self.entries):
                    return self, calls.CallRejected("behind")
                if entry.barrier_seq > self.acknowledged_seq and guards.barrier:
                    return self, calls.CallRejected("unseen")
                return replace(self, entries=(*self.entries, entry)), calls.CallCompleted()
            case ApplyPart(ask, _, _):
                return self._apply(ask, guards)
            case calls.RunResult():
                raise AssertionError("it wants nothing")

    def _apply(self, ask: ApplyRequest, guards: SafetyChecks) -> tuple[StoreModel, Reply]:
        if guards.fencing and ask.token != self.token:
            return self, calls.CallRejected("fenced")
        if guards.intent_first:
            entry = self.entries[ask.intent_seq - 1] if ask.intent_seq <= len(self.entries) else None
            if entry is None or entry.kind != "intent":
                return self, calls.CallRejected("no intent")
        if (ask.intent_seq, ask.part) in self.effects and guards.effect_marks:
            return self, self.progress(ask.intent_seq)
        after = replace(self, effects=(*self.effects, (ask.intent_seq, ask.part)))
        after.check_last_effect()
        return after, after.progress(ask.intent_seq)

    def check_last_effect(self) -> None:
        """Was the last effect one that may be had? Raises Breach."""
        intent, part = self.effects[-1]
        if (intent, part) in self.effects[:-1]:
            raise InvariantViolationError(f"part {part} of intent {intent} was had twice")
        record = replayed(self.entries)
        mark = record.active_step()
        if mark is None or mark.status is not StepStatus.IN_PROGRESS or mark.intent_seq != intent:
            raise InvariantViolationError(f"part {part} of intent {intent} was had while the record says otherwise")
        if self.entries[intent - 1].barrier_seq > self.acknowledged_seq:
            raise InvariantViolationError(f"intent {intent} was carried out before the relay had seen its closing")
        state = self.applied_parts()
        if mark.direction == "apply" and any(state.get(name, 0) != self.whole_parts(name) for name in mark.step.after):
            raise InvariantViolationError(f"{mark.step.name!r} before what it comes after")

    def whole_parts(self, name: str) -> int:
        return BACKFILL_PARTS if replayed(self.entries).steps[name].step.kind == "backfill" else 1

    def applied_parts(self) -> dict[str, int]:
        """How many parts of each step stand in the schema; an undo takes all of them."""
        found = dict[str, int]()
        for intent, _ in self.effects:
            entry = self.entries[intent - 1]
            found[entry.step] = found.get(entry.step, 0) + 1 if entry.direction == "apply" else 0
        return found


class EffectBeforeIntentRunner(Runner):
    """A planted fault: it has the effect first, and writes the intent after."""

    def next_call(self, record: MigrationLog) -> PendingCall:
        want = super().next_call(record)
        if isinstance(want, AppendEntry) and want.entry.kind == "intent" and self.progress is None:
            mark: StepState = record.steps[want.entry.step]
            ask = ApplyRequest(self.token, record.last_seq + 1, 0, tuple(mark.step.apply))
            return ApplyPart(ask, 1.0, False)
        return want


@dataclass(frozen=True)
class RunnerProcess:
    """A runner's process: what it is, and how much of the record it has read. None: it has died."""

    runner: Runner
    known_entries: int = 0

    def next_call(self, shop: StoreModel) -> PendingCall:
        return self.runner.next_call(replayed(shop.entries[: self.known_entries]))

    def after_reply(self, want: PendingCall, reply: Reply, shop: StoreModel) -> RunnerProcess:
        known = self.known_entries
        if isinstance(reply, calls.CallCompleted):
            known = known + 1 if isinstance(want, AppendEntry) else len(shop.entries)
        return RunnerProcess(self.runner.after_reply(want, reply), known)


@dataclass(frozen=True)
class ModelState:
    """All of it at one moment. `late`: requests whose sender has given up, still to be carried out."""

    store: StoreModel
    processes: tuple[RunnerProcess, ...]
    late_calls: tuple[PendingCall, ...] = ()
    faults_left: int = 0  # left to happen

    def successors(self, guards: SafetyChecks, fresh: tuple[Runner, ...]) -> Iterator[ModelState]:
        """Every scene that may come right after. Raises Breach."""
        if self.store.acknowledged_seq < len(self.store.entries):
            yield replace(self, store=replace(self.store, acknowledged_seq=len(self.store.entries)))
        for place, want in enumerate(self.late_calls):
            shop, _ = self.store.carry_out(want, guards)
            yield replace(self, store=shop, late_calls=(*self.late_calls[:place], *self.late_calls[place + 1 :]))
        for place, clerk in enumerate(self.processes):
            want = clerk.next_call(self.store)
            if isinstance(want, calls.RunResult):
                continue
            yield from self.process_steps(place, clerk, want, guards, fresh)

    def with_process(self, place: int, clerk: RunnerProcess) -> tuple[RunnerProcess, ...]:
        return (*self.processes[:place], clerk, *self.processes[place + 1 :])

    def process_steps(
        self, place: int, clerk: RunnerProcess, want: PendingCall, guards: SafetyChecks, fresh: tuple[Runner, ...]
    ) -> Iterator[ModelState]:
        shop, reply = self.store.carry_out(want, guards)
        yield replace(self, store=shop, processes=self.with_process(place, clerk.after_reply(want, reply, shop)))
        if not self.faults_left:
            return
        one = replace(self, faults_left=self.faults_left - 1)
        ignorant = clerk.after_reply(want, calls.OutcomeUnknown(), shop)
        dead = RunnerProcess(fresh[place])
        yield replace(one, store=shop, processes=self.with_process(place, ignorant))  # the reply was lost
        yield replace(one, store=shop, processes=self.with_process(place, dead))  # it was killed right after
        if isinstance(want, AppendEntry | ApplyPart):
            late = (*self.late_calls, want)
            yield replace(
                one, late_calls=late, processes=self.with_process(place, ignorant)
            )  # carried out later, or never
            yield replace(one, late_calls=late, processes=self.with_process(place, dead))


@dataclass
class SearchResult:
    states: int = 0
    ends: int = 0
    violation: str = ""
    path_length: int = 0  # steps to the breach


def search(
    goals: tuple[Goal, ...], faults: int, guards: SafetyChecks = ALL_CHECKS, most: int = 3_000_000
) -> SearchResult:
    """Every order of two runners' requests, with so many faults in all, breadth first. Ends at a breach, or
    raises OverflowError past `most` states."""
    kind = Runner if guards.intent_first else EffectBeforeIntentRunner
    fresh = tuple(kind(goal) for goal in goals)
    start = ModelState(StoreModel(), tuple(RunnerProcess(one) for one in fresh), (), faults)
    found, seen, queue = SearchResult(), {start}, deque([(start, 0)])
    ends = set[StoreModel]()
    while queue:
        scene, depth = queue.popleft()
        quiet = not scene.late_calls
        try:
            moved = False
            for after in scene.successors(guards, fresh):
                moved = moved or after.processes != scene.processes
                if after not in seen:
                    seen.add(after)
                    queue.append((after, depth + 1))
            if quiet and not moved and scene.store not in ends:
                ends.add(scene.store)
                run_to_completion(scene.store, goals[0], guards)
        except InvariantViolationError as breach:
            return SearchResult(len(seen), len(ends), str(breach), depth)
        if len(seen) > most:
            raise OverflowError(f"over {most} states")
    found.states, found.ends = len(seen), len(ends)
    return found


def run_to_completion(shop: StoreModel, goal: Goal, guards: SafetyChecks) -> StoreModel:
    """What a runner makes of an end, undisturbed: it must reach its goal, each effect had once."""
    clerk = RunnerProcess(Runner(replace(goal, operation="resume", allow_ending_rollback=True)))
    for _ in range(400):
        want = clerk.next_call(shop)
        if isinstance(want, calls.RunResult):
            if not want.succeeded:
                raise InvariantViolationError(f"it can't be resumed: {want.message}")
            wrong = [m.step.name for m in replayed(shop.entries).steps.values() if m.status is not StepStatus.DONE]
            state = shop.applied_parts()
            wrong += [step.name for step in goal.plan.steps if state.get(step.name) != shop.whole_parts(step.name)]
            if wrong:
                # Resuming a way back ends in the way back: what is undone is whole.
                if clerk.runner.goal.operation == "undo" and all(
                    state.get(name, 0) in (0, shop.whole_parts(name)) for name in wrong
                ):
                    return shop
                raise InvariantViolationError(f"not as the record says: {wrong}")
            return shop
        shop = replace(shop, acknowledged_seq=len(shop.entries))
        shop, reply = shop.carry_out(want, guards)
        clerk = clerk.after_reply(want, reply, shop)
    raise InvariantViolationError("it never ends")
