"""What a runner of steps does next, given the record as it knows it. Without I/O, and without a clock.

A runner's own state is small and is never trusted: whatever it does not know (its request timed out, its
connection was cut, it stood still) it settles in one way: it takes a new lease, whose token fences off all
that it or any other sent before, reads the record, and asks which effects were had. Only then is 'no mark'
final.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import msgspec

from lanelead.migrations.migration_log import Mark, Record, Stand
from lanelead.protocols.migrations import ApplyRequest, BatchRange, Direction, EffectProgress, LogEntry
from lanelead.settings.records import Steps

TRIES = 4  # for one intent whose outcome stays unknown, before it is written as failed


@dataclass(frozen=True)
class Goal:
    """What the operator asked for. `to`: the last step to apply, or the last to undo; empty: all."""

    plan: Steps = field(compare=False)
    what: str = "run"  # run, undo, resume, or take: only take the plan up, so that its builds are withheld
    to: str = ""
    past_back: bool = False  # steps may make a way back impossible

    @property
    def body(self) -> str:
        return msgspec.json.encode(self.plan).decode()


# What it wants done


@dataclass(frozen=True)
class Take:
    """A lease, in place of any that this runner has."""


@dataclass(frozen=True)
class Read:
    since: int


@dataclass(frozen=True)
class Append:
    token: int
    after: int
    entry: LogEntry


@dataclass(frozen=True)
class Ask:
    """Which effects of an intent were had?"""

    intent: int


@dataclass(frozen=True)
class Apply:
    ask: ApplyRequest
    limit_ms: float
    batched: bool


@dataclass(frozen=True)
class Unseen:
    """Which relays have not seen a closing?"""

    closing: int


@dataclass(frozen=True)
class Stop:
    good: bool
    text: str


Want = Take | Read | Append | Ask | Apply | Unseen | Stop

# What it hears


@dataclass(frozen=True)
class Token:
    token: int


@dataclass(frozen=True)
class Done:
    """The request was carried out; the record was read, or the entry written."""


@dataclass(frozen=True)
class Refused:
    why: str
    text: str = ""


@dataclass(frozen=True)
class Unknown:
    """It may have been carried out, or may yet be."""

    text: str = ""


@dataclass(frozen=True)
class Waiting:
    """Relays that have not seen the closing."""

    relays: tuple[int, ...]


Reply = Token | Done | Refused | Unknown | Waiting | EffectProgress


@dataclass(frozen=True)
class Runner:
    goal: Goal
    token: int = 0
    read: bool = False
    marks: EffectProgress | None = None  # of the intent under way; None: not asked yet
    seen: bool = False  # all relays have seen the closing under way
    tries: int = 0
    failure: str = ""  # why the store would not do the effect
    resumed: bool = False  # what had failed was resumed once: a second failure is told
    stopped: Stop | None = None

    def want(self, record: Record) -> Want:
        if self.stopped is not None:
            return self.stopped
        if not self.token:
            return Take()
        if not self.read:
            return Read(record.seq)
        if self.goal.plan.name not in record.plans:
            if record.under_way() or record.failed():
                return Stop(False, "a step of another plan is under way")
            return self._write(record, LogEntry("plan", text=self.goal.body))
        if record.plans[self.goal.plan.name] != self.goal.plan:
            return Stop(False, f"the record has another plan named {self.goal.plan.name!r}")
        if self.goal.what == "take":
            return Stop(True, "taken up: its builds have traffic as its steps allow")
        if (mark := record.under_way()) is not None:
            return self._closing(record, mark) if mark.stand is Stand.CLOSING else self._intended(record, mark)
        if (mark := record.failed()) is not None:
            return self._failed(record, mark)
        return self._next(record)

    def _write(self, record: Record, entry: LogEntry) -> Append:
        return Append(self.token, record.seq, entry)

    def _closing(self, record: Record, mark: Mark) -> Want:
        if self.goal.what == "undo" and mark.way == "apply":  # nothing was changed: traffic may go on
            return self._write(record, LogEntry("dropped", mark.step.name, mark.way))
        if not self.seen:
            return Unseen(mark.closing)
        return self._write(record, LogEntry("intent", mark.step.name, mark.way, mark.closing))

    def _intended(self, record: Record, mark: Mark) -> Want:
        if self.marks is None:
            return Ask(mark.intent)
        name, had = mark.step.name, self.marks
        if had.finished:
            return self._write(record, LogEntry("done", name, mark.way))
        giving_up = self.goal.what == "undo" and mark.way == "apply"
        why = self.failure or ("given up" if giving_up else "")
        if not why and self.tries >= TRIES:
            why = "its outcome could not be had"
        if why:
            return self._write(record, LogEntry("failed", name, mark.way, parts=had.parts, text=why[:500]))
        statements = mark.step.apply if mark.way == "apply" else mark.step.undoing
        span, batch = None, mark.step.batch
        if batch is not None and any(":low" in text for text in statements):
            span = BatchRange(batch.table, batch.key, batch.rows, had.cursor)
        ask = ApplyRequest(self.token, mark.intent, had.parts, tuple(statements), span)
        return Apply(ask, mark.step.limit_ms, span is not None)

    def _failed(self, record: Record, mark: Mark) -> Want:
        name = mark.step.name
        told = f"{name!r} failed to {mark.way} after {mark.parts} parts: {mark.text}"
        if self.goal.what == "undo" and mark.way == "apply":
            if not mark.parts:
                return self._write(record, LogEntry("dropped", name, mark.way))
            return self._begin(record, mark, "undo")
        if self.goal.what == "run" or self.resumed:
            return Stop(False, told)
        return self._write(record, LogEntry("resumed", name, mark.way))

    def _next(self, record: Record) -> Want:
        marks = [mark for mark in record.marks.values() if mark.plan == self.goal.plan.name]
        names = [mark.step.name for mark in marks]
        if self.goal.to and self.goal.to not in names:
            return Stop(False, f"no step {self.goal.to!r} in plan {self.goal.plan.name!r}")
        if self.goal.what == "undo":
            for mark in reversed(marks):
                if mark.stand is Stand.DONE:
                    return self._begin(record, mark, "undo")
                if mark.step.name == self.goal.to:
                    break
            return Stop(True, "undone")
        for mark in marks:
            if mark.stand is Stand.WAITING:
                return self._begin(record, mark, "apply")
            if mark.step.name == self.goal.to:
                break
        return Stop(True, "all done")

    def _begin(self, record: Record, mark: Mark, way: Direction) -> Want:
        name, taken = mark.step.name, record.takes(mark, way)
        if taken and way == "apply" and not self.goal.past_back:
            return Stop(False, f"{name!r} would make a way back to build {taken[0]} impossible: say --past-back")
        entry = LogEntry("closing", name, way) if taken else LogEntry("intent", name, way)
        if why := record.allows(entry):
            return Stop(False, why)
        return self._write(record, entry)

    def heard(self, want: Want, reply: Reply) -> Runner:
        """The runner after a reply to what it wanted. What was read or written is added elsewhere."""
        match reply:
            case Unknown():  # fence off what may still be under way, then read and ask
                tries = self.tries + isinstance(want, Apply)
                return replace(self, token=0, read=False, marks=None, seen=False, tries=tries)
            case Refused("behind"):
                return replace(self, read=False, marks=None, seen=False)
            case Refused("fenced"):
                return replace(self, stopped=Stop(False, "another runner has taken over"))
            case Refused("failed", text) if isinstance(want, Apply):
                return replace(self, failure=text or "the store would not", marks=None)
            case Refused("unseen"):
                return replace(self, seen=False)
            case Refused(why, text):
                return replace(self, stopped=Stop(False, text or why))
            case Token(token):
                return replace(self, token=token, read=False, marks=None, seen=False)
            case Waiting(relays):
                return replace(self, seen=not relays)
            case EffectProgress():
                return replace(self, marks=reply, tries=0 if isinstance(want, Apply) else self.tries)
            case Done():
                if isinstance(want, Append):
                    entry, goal = want.entry, self.goal
                    resumed = self.resumed or entry.kind == "resumed"
                    if goal.what == "resume" and entry.way == "undo" and entry.kind in ("resumed", "done"):
                        goal = replace(goal, what="undo", to=entry.step)  # what is resumed is a way back
                    return replace(self, goal=goal, marks=None, seen=False, tries=0, failure="", resumed=resumed)
                return replace(self, read=True)
