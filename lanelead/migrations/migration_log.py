"""The record of steps, read into what may run next, which builds may get traffic, and whether back is open.

The rules; an entry that breaks one is refused, and changes nothing:

 1  a plan's steps are new names, and a plan is taken up only while no step is under way
 2  one step is under way at a time; while one has failed, nothing else begins
 3  a step is applied when all that it comes after is done, and undone when nothing done comes after it
 4  a step that can't be undone is not
 5  an intent that takes a build's readiness away names the closing before it
 6  an outcome follows its own intent, once; what failed is resumed, undone, or dropped where nothing was had

A build is ready at a stage when its needs up to that stage are done and no step of its `until` has begun. A
closing counts as begun: relays withhold from then on, and the store lets the intent in only when all have
seen it. All of this is without I/O and without a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from lanelead.migrations.plan import ordered
from lanelead.protocols.migrations import Direction, LogEntry, LoggedEntry
from lanelead.settings.records import Demands, Step, Steps


class Broken(Exception):
    """An entry that the rules refuse; the text says which and why."""


class Stand(Enum):
    WAITING = "waiting"
    CLOSING = "closing"  # relays are being told; nothing has been changed
    INTENDED = "intended"  # it may have been changed: known only by asking for its marks
    DONE = "done"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Mark:
    """Where one step stands."""

    step: Step
    plan: str
    stand: Stand = Stand.WAITING
    way: Direction = "apply"
    intent: int = 0  # the entry whose effects are had or to be had
    closing: int = 0
    text: str = ""
    parts: int = 0

    @property
    def open(self) -> bool:
        return self.stand in (Stand.CLOSING, Stand.INTENDED)


class Record:
    def __init__(self) -> None:
        self.seq = 0
        self.plans: dict[str, Steps] = {}
        self.marks: dict[str, Mark] = {}  # in the order in which steps run
        self._demands: dict[int, list[Demands]] = {}  # by build

    def copy(self) -> Record:
        """One that goes on by itself."""
        other = Record()
        other.seq, other.plans = self.seq, dict(self.plans)
        other.marks = {name: replace(mark) for name, mark in self.marks.items()}
        other._demands = {build: list(some) for build, some in self._demands.items()}
        return other

    def add(self, logged: LoggedEntry) -> None:
        """Raises Broken."""
        if logged.seq != self.seq + 1:
            raise Broken(f"entry {logged.seq} after {self.seq}")
        entry = logged.entry
        if entry.kind == "plan":
            self._plan(entry)
        else:
            self._step(entry, logged.seq)
        self.seq = logged.seq

    def allows(self, entry: LogEntry) -> str:
        """Why the rules refuse an entry; empty where they don't."""
        if entry.kind == "plan":
            return ""
        mark = self.marks.get(entry.step)
        return f"no step {entry.step!r}" if mark is None else self._refusal(mark, entry)

    # Reading

    def under_way(self) -> Mark | None:
        return next((mark for mark in self.marks.values() if mark.open), None)

    def failed(self) -> Mark | None:
        return next((mark for mark in self.marks.values() if mark.stand is Stand.FAILED), None)

    def done(self, name: str) -> bool:
        return self.marks[name].stand is Stand.DONE

    def begun(self, name: str) -> bool:
        return self.marks[name].stand is not Stand.WAITING

    def builds(self) -> list[int]:
        return sorted(self._demands)

    def ready(self, build: int, stage: int = 0, but: Mark | None = None, way: Direction = "apply") -> bool:
        """May a build have traffic at a stage of its trial? `but`: as if that step had begun that way.

        A build that no plan names counts as the nearest before it that one does, or as the first of all.
        """
        named = self.builds()
        if not named:
            return True
        nearest = max((other for other in named if other <= build), default=named[0])
        for demands in self._demands[nearest]:
            for need in demands.needs:
                hit = but is not None and but.step.name == need.step and way == "undo"
                if need.stage <= stage and (hit or not self.done(need.step)):
                    return False
            for name in demands.until:
                if self.begun(name) or (but is not None and but.step.name == name and way == "apply"):
                    return False
        return True

    def takes(self, mark: Mark, way: Direction) -> list[int]:
        """The builds that are ready now and would not be any more once a step has begun that way."""
        return [b for b in self.builds() if self.ready(b) and not self.ready(b, 0, mark, way)]

    def after(self, mark: Mark) -> list[Mark]:
        """The steps that come right after one."""
        return [other for other in self.marks.values() if mark.step.name in other.step.after]

    def back_ends_with(self, build: int) -> str | None:
        """The first step still to come that would make a way back to a build impossible."""
        if not self.ready(build):
            return None
        for mark in self.marks.values():
            if mark.stand is Stand.WAITING and build in self.takes(mark, "apply"):
                return mark.step.name
        return None

    # Rules

    def _plan(self, entry: LogEntry) -> None:
        try:
            plan = msgspec.json.decode(entry.text, type=Steps)
        except msgspec.MsgspecError as fault:
            raise Broken(f"no plan: {fault}") from None
        if self.under_way() or self.failed():
            raise Broken("rule 1: a step is under way")
        self.plan(plan)

    def plan(self, plan: Steps) -> None:
        """Takes up a plan, all of whose steps wait. Raises Broken."""
        if plan.name in self.plans:
            raise Broken(f"rule 1: plan {plan.name!r} is in the record already")
        for step in plan.steps:
            if step.name in self.marks:
                raise Broken(f"rule 1: plan {self.marks[step.name].plan!r} claims {step.name!r}")
        self.plans[plan.name] = plan
        for step in ordered(plan):
            self.marks[step.name] = Mark(step, plan.name)
        for demands in plan.builds:
            self._demands.setdefault(demands.build, []).append(demands)

    def _step(self, entry: LogEntry, seq: int) -> None:
        mark = self.marks.get(entry.step)
        if mark is None:
            raise Broken(f"no step {entry.step!r}")
        if why := self._refusal(mark, entry):
            raise Broken(why)
        match entry.kind:
            case "closing":
                mark.stand, mark.way, mark.closing = Stand.CLOSING, entry.way, seq
            case "intent":
                mark.stand, mark.way, mark.intent, mark.parts = Stand.INTENDED, entry.way, seq, 0
            case "done":
                mark.stand = Stand.DONE if mark.way == "apply" else Stand.WAITING
                mark.text = ""
            case "failed":
                mark.stand, mark.text, mark.parts = Stand.FAILED, entry.text, entry.parts
            case "resumed":
                mark.stand = Stand.INTENDED
            case "dropped":
                mark.stand = Stand.WAITING if mark.way == "apply" else Stand.DONE
                mark.text = ""

    def _refusal(self, mark: Mark, entry: LogEntry) -> str:
        name, stand, other = mark.step.name, mark.stand, self.under_way() or self.failed()
        if entry.kind in ("closing", "intent"):
            if other not in (None, mark):
                assert other is not None
                return f"rule 2: {other.step.name!r} is {other.stand.value}"
            if entry.kind == "closing" and stand is Stand.CLOSING:
                return f"rule 2: {name!r} is closing already"
            if stand is Stand.CLOSING and (entry.way, entry.closed) != (mark.way, mark.closing):
                return f"rule 5: {name!r} was closed by entry {mark.closing} to {mark.way} it"
            if stand is not Stand.CLOSING and entry.kind == "intent" and self.takes(mark, entry.way):
                return f"rule 5: no closing, and builds {self.takes(mark, entry.way)} would lose their state"
            return self._apply(mark) if entry.way == "apply" else self._undo(mark)
        if entry.kind in ("done", "failed") and (stand is not Stand.INTENDED or entry.way != mark.way):
            return f"rule 6: {name!r} is {stand.value}, with no intent to {entry.way} it"
        if entry.kind == "resumed" and stand is not Stand.FAILED:
            return f"rule 6: {name!r} has not failed"
        if entry.kind == "dropped" and stand is not Stand.CLOSING and (stand is not Stand.FAILED or mark.parts):
            return f"rule 6: {name!r} is {stand.value}, and some of it was had"
        return ""

    def _apply(self, mark: Mark) -> str:
        if mark.stand not in (Stand.WAITING, Stand.CLOSING):
            return f"rule 6: {mark.step.name!r} is {mark.stand.value}"
        if missing := [name for name in mark.step.after if not self.done(name)]:
            return f"rule 3: {missing[0]!r} is not done"
        return ""

    def _undo(self, mark: Mark) -> str:
        if not mark.step.undoing:
            return f"rule 4: {mark.step.name!r} can't be undone"
        if mark.stand not in (Stand.DONE, Stand.FAILED, Stand.CLOSING):
            return f"rule 6: {mark.step.name!r} is {mark.stand.value}"
        if later := [other for other in self.after(mark) if other.stand is not Stand.WAITING]:
            return f"rule 3: {later[0].step.name!r} comes after it, and is {later[0].stand.value}"
        return ""
