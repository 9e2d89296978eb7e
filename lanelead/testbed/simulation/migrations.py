"""Runners, one store and all that can go wrong between them, as values: for a search through every order.

Nothing here has a clock: a lease may end at any moment, a relay see a closing at any later one, a request be
carried out long after its sender gave up on it. What is true in every order is true of every clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from functools import lru_cache

from lanelead.migrations import runner
from lanelead.migrations.migration_log import Broken, Mark, Record, Stand
from lanelead.migrations.runner import Append, Apply, Goal, Reply, Runner, Want
from lanelead.protocols.migrations import ApplyRequest, EffectProgress, LogEntry, LoggedEntry

PARTS = 2  # of a backfill


class Breach(Exception):
    """Something happened that must not in any order; the text says what."""


@lru_cache(maxsize=200_000)
def folded(entries: tuple[LogEntry, ...]) -> Record:
    """The record that some entries make; not to be changed."""
    if not entries:
        return Record()
    record, entry = folded(entries[:-1]).copy(), entries[-1]
    try:
        record.add(LoggedEntry(len(entries), 0, "", 0.0, entry))
    except Broken as fault:
        raise Breach(f"entry {len(entries)}, {entry.kind} of {entry.step!r}: {fault}") from None
    return record


@dataclass(frozen=True)
class Guards:
    """What the store and the runners guard; a search without one must find a breach."""

    fence: bool = True
    marks: bool = True
    closing: bool = True
    intent_first: bool = True


ALL = Guards()


@dataclass(frozen=True)
class Shop:
    """The store, and one relay that watches it."""

    entries: tuple[LogEntry, ...] = ()
    token: int = 0
    had: tuple[tuple[int, int], ...] = ()  # effects in the order in which they were had: (intent, part)
    seen: int = 0

    def marks(self, intent: int) -> EffectProgress:
        parts = sum(1 for of, _ in dict.fromkeys(self.had) if of == intent)
        return EffectProgress(parts, None, parts >= self.parts(intent))

    def parts(self, intent: int) -> int:
        entry = self.entries[intent - 1]
        return PARTS if folded(self.entries[:intent]).marks[entry.step].step.kind == "backfill" else 1

    def do(self, want: Want, guards: Guards) -> tuple[Shop, Reply]:
        """The store after a request, and its reply."""
        match want:
            case runner.Take():
                return replace(self, token=self.token + 1), runner.Token(self.token + 1)
            case runner.Read():
                return self, runner.Done()
            case runner.Ask(intent):
                return self, self.marks(intent) if guards.marks else EffectProgress(0)
            case runner.Unseen(closing):
                return self, runner.Waiting(() if self.seen >= closing or not guards.closing else (0,))
            case Append(token, after, entry):
                if guards.fence and token != self.token:
                    return self, runner.Refused("fenced")
                if after != len(self.entries):
                    return self, runner.Refused("behind")
                if entry.closed > self.seen and guards.closing:
                    return self, runner.Refused("unseen")
                return replace(self, entries=(*self.entries, entry)), runner.Done()
            case Apply(ask, _, _):
                return self._apply(ask, guards)
            case runner.Stop():
                raise AssertionError("it wants nothing")

    def _apply(self, ask: ApplyRequest, guards: Guards) -> tuple[Shop, Reply]:
        if guards.fence and ask.token != self.token:
            return self, runner.Refused("fenced")
        if guards.intent_first:
            entry = self.entries[ask.intent - 1] if ask.intent <= len(self.entries) else None
            if entry is None or entry.kind != "intent":
                return self, runner.Refused("no intent")
        if (ask.intent, ask.part) in self.had and guards.marks:
            return self, self.marks(ask.intent)
        after = replace(self, had=(*self.had, (ask.intent, ask.part)))
        after.judge()
        return after, after.marks(ask.intent)

    def judge(self) -> None:
        """Was the last effect one that may be had? Raises Breach."""
        intent, part = self.had[-1]
        if (intent, part) in self.had[:-1]:
            raise Breach(f"part {part} of intent {intent} was had twice")
        record = folded(self.entries)
        mark = record.under_way()
        if mark is None or mark.stand is not Stand.INTENDED or mark.intent != intent:
            raise Breach(f"part {part} of intent {intent} was had while the record says otherwise")
        if self.entries[intent - 1].closed > self.seen:
            raise Breach(f"intent {intent} was carried out before the relay had seen its closing")
        state = self.state()
        if mark.way == "apply" and any(state.get(name, 0) != self._whole(name) for name in mark.step.after):
            raise Breach(f"{mark.step.name!r} before what it comes after")

    def _whole(self, name: str) -> int:
        return PARTS if folded(self.entries).marks[name].step.kind == "backfill" else 1

    def state(self) -> dict[str, int]:
        """How many parts of each step stand in the schema; an undo takes all of them."""
        found = dict[str, int]()
        for intent, _ in self.had:
            entry = self.entries[intent - 1]
            found[entry.step] = found.get(entry.step, 0) + 1 if entry.way == "apply" else 0
        return found


class Reversed(Runner):
    """A planted fault: it has the effect first, and writes the intent after."""

    def want(self, record: Record) -> Want:
        want = super().want(record)
        if isinstance(want, Append) and want.entry.kind == "intent" and self.marks is None:
            mark: Mark = record.marks[want.entry.step]
            ask = ApplyRequest(self.token, record.seq + 1, 0, tuple(mark.step.apply))
            return Apply(ask, 1.0, False)
        return want


@dataclass(frozen=True)
class Clerk:
    """A runner's process: what it is, and how much of the record it has read. None: it has died."""

    runner: Runner
    known: int = 0

    def want(self, shop: Shop) -> Want:
        return self.runner.want(folded(shop.entries[: self.known]))

    def heard(self, want: Want, reply: Reply, shop: Shop) -> Clerk:
        known = self.known
        if isinstance(reply, runner.Done):
            known = known + 1 if isinstance(want, Append) else len(shop.entries)
        return Clerk(self.runner.heard(want, reply), known)


@dataclass(frozen=True)
class Scene:
    """All of it at one moment. `late`: requests whose sender has given up, still to be carried out."""

    shop: Shop
    clerks: tuple[Clerk, ...]
    late: tuple[Want, ...] = ()
    faults: int = 0  # left to happen

    def next(self, guards: Guards, fresh: tuple[Runner, ...]) -> Iterator[Scene]:
        """Every scene that may come right after. Raises Breach."""
        if self.shop.seen < len(self.shop.entries):
            yield replace(self, shop=replace(self.shop, seen=len(self.shop.entries)))
        for place, want in enumerate(self.late):
            shop, _ = self.shop.do(want, guards)
            yield replace(self, shop=shop, late=(*self.late[:place], *self.late[place + 1 :]))
        for place, clerk in enumerate(self.clerks):
            want = clerk.want(self.shop)
            if isinstance(want, runner.Stop):
                continue
            yield from self._step(place, clerk, want, guards, fresh)

    def _with(self, place: int, clerk: Clerk) -> tuple[Clerk, ...]:
        return (*self.clerks[:place], clerk, *self.clerks[place + 1 :])

    def _step(self, place: int, clerk: Clerk, want: Want, guards: Guards, fresh: tuple[Runner, ...]) -> Iterator[Scene]:
        shop, reply = self.shop.do(want, guards)
        yield replace(self, shop=shop, clerks=self._with(place, clerk.heard(want, reply, shop)))
        if not self.faults:
            return
        one = replace(self, faults=self.faults - 1)
        ignorant = clerk.heard(want, runner.Unknown(), shop)
        dead = Clerk(fresh[place])
        yield replace(one, shop=shop, clerks=self._with(place, ignorant))  # the reply was lost
        yield replace(one, shop=shop, clerks=self._with(place, dead))  # it was killed right after
        if isinstance(want, Append | Apply):
            late = (*self.late, want)
            yield replace(one, late=late, clerks=self._with(place, ignorant))  # carried out later, or never
            yield replace(one, late=late, clerks=self._with(place, dead))


@dataclass
class Found:
    states: int = 0
    ends: int = 0
    breach: str = ""
    path: int = 0  # steps to the breach


def search(goals: tuple[Goal, ...], faults: int, guards: Guards = ALL, most: int = 3_000_000) -> Found:
    """Every order of two runners' requests, with so many faults in all, breadth first. Ends at a breach, or
    raises OverflowError past `most` states."""
    kind = Runner if guards.intent_first else Reversed
    fresh = tuple(kind(goal) for goal in goals)
    start = Scene(Shop(), tuple(Clerk(one) for one in fresh), (), faults)
    found, seen, queue = Found(), {start}, deque([(start, 0)])
    ends = set[Shop]()
    while queue:
        scene, depth = queue.popleft()
        quiet = not scene.late
        try:
            moved = False
            for after in scene.next(guards, fresh):
                moved = moved or after.clerks != scene.clerks
                if after not in seen:
                    seen.add(after)
                    queue.append((after, depth + 1))
            if quiet and not moved and scene.shop not in ends:
                ends.add(scene.shop)
                settle(scene.shop, goals[0], guards)
        except Breach as breach:
            return Found(len(seen), len(ends), str(breach), depth)
        if len(seen) > most:
            raise OverflowError(f"over {most} states")
    found.states, found.ends = len(seen), len(ends)
    return found


def settle(shop: Shop, goal: Goal, guards: Guards) -> Shop:
    """What a runner makes of an end, undisturbed: it must reach its goal, each effect had once."""
    clerk = Clerk(Runner(replace(goal, what="resume", past_back=True)))
    for _ in range(400):
        want = clerk.want(shop)
        if isinstance(want, runner.Stop):
            if not want.good:
                raise Breach(f"it can't be resumed: {want.text}")
            wrong = [m.step.name for m in folded(shop.entries).marks.values() if m.stand is not Stand.DONE]
            state = shop.state()
            wrong += [step.name for step in goal.plan.steps if state.get(step.name) != shop._whole(step.name)]
            if wrong:
                # Resuming a way back ends in the way back: what is undone is whole.
                if clerk.runner.goal.what == "undo" and all(
                    state.get(name, 0) in (0, shop._whole(name)) for name in wrong
                ):
                    return shop
                raise Breach(f"not as the record says: {wrong}")
            return shop
        shop = replace(shop, seen=len(shop.entries))
        shop, reply = shop.do(want, guards)
        clerk = clerk.heard(want, reply, shop)
    raise Breach("it never ends")
