"""What a relay does to have the newest configuration in force, and to keep the last good one whatever comes.

Rules:
1. What is in force is a whole version: changes are taken in order, each whole; a repair is made on a copy and
   comes into force when its digest is the source's.
2. It never goes back: a source whose head is lower, or of another history, changes nothing.
3. It follows one source, the nearest that answers and hears a majority of the machines; an older word is
   followed where no fresher one is to be had.
4. What it hears nothing of stays in force, for as long as that lasts.
5. A repair fetches only buckets that differ, at a bounded rate, and goes on at another source if it is cut.

Without sockets and clocks: the host carries out the acts and tells what came of them. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from lanelead.configuration.actions import Act, AskBuckets, AskOutline, InForce, Leave, Note, Place, Told, Watch
from lanelead.configuration.document import Document, Refused, TooLarge, bucket_of, sums_of
from lanelead.protocols.configuration import AppliedVersion, Buckets, DigestTree, WatchLine

SILENCE = 1.2  # seconds without a line; a source writes one each 0.4 s
OPENS = 0.7  # seconds until the first line, or two silent sources would be longer than a change may take
PATIENCE = 10.0  # seconds until the first line at the most, where all are slow
STALE = 1500.0  # milliseconds since a source heard a majority, after which a fresher one is looked for
AGAIN = (0.1, 5.0)  # seconds until a source that failed is asked again: the first time, and at most
SETTLED = 5.0  # seconds for which a source's old word counts before it is tried again
OTHERWISE = 10.0  # seconds until a source of another history is asked again
NEARER = (20.0, 40.0)  # seconds after which a nearer source is tried again
ANSWER = 3.0  # seconds for an outline or buckets
PART = 16384  # bytes of buckets asked for at once, about
FIRST = 16  # buckets asked for first, while their size is not known
UNANSWERED = 3  # outlines and buckets in a row that could not be had, after which another source is tried
OVER = (40.0, 80.0)  # seconds until a document over the bounds is looked at again
APPLIED = 0.2  # seconds between two words on what is in force, at the least
SIGN = 10.0  # and at the most
LARGER = (
    "the last good one stays in force: raise most_entries or most_bytes in the file's section configuration "
    "and restart this relay, or remove entries"
)


@dataclass
class _Known:
    """One source, as this relay has met it."""

    place: Place
    lot: float
    failures: int = 0
    again: float = 0.0  # not before this
    behind: float = 0.0  # of its last line, ms
    head: int = 0
    tried: float = -1e9  # when its last line came


@dataclass
class _Repair:
    draft: Document
    outline: DigestTree | None = None
    missing: list[int] = field(default_factory=list)
    asked: bool = False
    since: float = 0.0  # when something was asked
    pause: float = 0.0  # nothing before this
    part: int = FIRST
    unanswered: int = 0


class Follower:
    """`document`: what is in force; whoever holds it changes nothing. `rate`: bytes a second of a repair."""

    def __init__(
        self,
        number: int,
        place: Place,
        sources: Sequence[Place],
        document: Document,
        rate: float,
        rng: Random,
        now: float,
    ) -> None:
        self.document, self.history, self.acts = document, "", list[Act]()
        self.refused: list[str] = []  # keys that the relay could not take; the host writes them
        self.refusals = 0
        self.repairs = self.lines = 0
        self._number, self._place, self._rate, self._rng = number, place, rate, rng
        self._known = [_Known(source, rng.random()) for source in sources]
        self._order = sorted(range(len(sources)), key=lambda n: (self._rank(n), self._known[n].lot))
        self._current: int | None = None
        self._trial: tuple[int, float] | None = None  # one that may be better, and since when it is asked
        self._heard, self._since, self._stay = now, now, 0.0
        self._opened = False  # a line has come on this watch
        self._patience, self._slow = OPENS, 0  # until the first line; watches in a row that gave none
        self._repair: _Repair | None = None
        self._untold, self._told_at = False, -1e9
        self.tick(now)

    # Events

    def line(self, source: int, line: WatchLine, now: float) -> None:
        if self._trial is not None and source == self._trial[0]:
            began, self._trial = self._trial[1], None
            if self._current is not None:
                self._leave(self._current)
            self._begin(source, began)
        if source != self._current:
            return
        self._heard, known = now, self._known[source]
        known.behind, known.head, known.tried = line.behind_ms, line.head, now
        if now >= self._since + SETTLED:
            # Guards against a source that says a good line and then fails, over and over: it would be asked
            # again ten times a second, and be preferred to others.
            known.failures = 0
        self.lines += 1
        if self.history and line.history and line.history != self.history:
            self._another_history(source, line, now)
            return
        self.history = self.history or line.history
        if not self._opened:
            self._opened = self._untold = True
            # Guards against links so slow that no watch would ever be opened in the usual time.
            self._patience, self._slow = min(PATIENCE, max(OPENS, 2 * (now - self._since))), 0
            if line.at is not None and self.document.version < line.at <= line.head:
                self.document.version = line.at  # what it holds is as it was then
        try:
            for change in line.changes if self._repair is None else ():
                if change.version > self.document.version:
                    self.document.apply(change)
                    self._in_force([entry.key for entry in change.entries])
        except Refused as fault:
            # Guards against a version that would differ from everybody else's: buckets are compared.
            self._note("a change of configuration was not taken", str(fault), "none: it is being repaired")
            self._begin_repair(now)
        # Guards against machines on which nothing was ever decided: what the relay's file said stays.
        if line.repair and 0 < line.head >= self.document.version:
            self._begin_repair(now)
        self.tick(now)

    def ended(self, source: int, reason: str, now: float) -> None:
        """The watch has ended, or could not be had."""
        if self._trial is not None and source == self._trial[0]:
            self._trial_over(reason, now)
        elif source == self._current:
            self._failed(source, reason, now)
            self.tick(now)

    def outlined(self, source: int, outline: DigestTree, now: float) -> None:
        if (repair := self._asked(source)) is None:
            return
        repair.asked = False
        if outline.history != self.history or outline.version < self.document.version:
            self._failed(source, f"an outline of version {outline.version}", now)
        else:
            try:
                repair.missing, repair.outline = repair.draft.differing(outline), outline
            except Refused as fault:
                self._failed(source, str(fault), now)
            self._pay(len(outline.buckets), now)
        self.tick(now)

    def bucketed(self, source: int, buckets: Buckets, size: int, now: float) -> None:
        """`size`: bytes that came."""
        repair = self._asked(source)
        if repair is None or repair.outline is None:
            return
        repair.asked, sums = False, sums_of(repair.outline)
        if buckets.version != repair.outline.version or not buckets.buckets:
            self._failed(source, f"buckets of version {buckets.version}", now)
            self.tick(now)
            return
        wanted, over = dict.fromkeys(repair.missing), ""
        try:
            for number, entries in buckets.buckets.items():
                if number in wanted:
                    repair.draft.replace(number, entries, sums[number])
                    del wanted[number]
        except TooLarge as fault:
            over = str(fault)
        except Refused as fault:
            self._failed(source, str(fault), now)
        repair.missing, repair.unanswered = list(wanted), 0
        repair.part = max(1, min(256, PART * len(buckets.buckets) // max(1, size)))
        self._pay(size, now)
        if over:
            # Guards against fetching again and again what can't be held: no other source has less of it.
            self._note("the configuration is larger than this relay may hold", over, LARGER)
            repair.outline, repair.pause = None, now + self._rng.uniform(*OVER)
        self.tick(now)

    def gone(self, source: int, now: float) -> None:
        """The snapshot that buckets were asked of is not kept any more, or the answer never came."""
        if (repair := self._asked(source)) is not None:
            repair.asked, repair.outline, repair.unanswered = False, None, repair.unanswered + 1
            repair.part = max(1, repair.part // 2)  # it may have been more than one answer can hold
            repair.pause = now + self._rng.uniform(*AGAIN) / 5
            if repair.unanswered >= UNANSWERED:
                # Guards against a source that tells changes but no snapshot, where others have one.
                repair.unanswered = 0
                self._failed(source, "no outline or buckets to be had", now)
            self.tick(now)

    def tick(self, now: float) -> None:
        """To be called at `due`, or sooner."""
        current = self._current
        if current is not None and now >= self._heard + (SILENCE if self._opened else self._patience):
            self._failed(current, "silent", now)
        elif self._trial is not None and now >= self._trial[1] + self._patience:
            self._trial_over("silent", now)
        elif current is not None and self._opened and self._trial is None:
            self._look_further(current, now)
        if self._current is None:
            self._choose(now)
        if self._repair is not None and self._current is not None and self._opened:
            self._go_on(self._current, self._repair, now)
        self._tell(now)

    @property
    def due(self) -> float:
        if self._current is None:
            return min((known.again for known in self._known), default=self._told_at + SIGN)
        times = [self._heard + (SILENCE if self._opened else self._patience)]
        if self._trial is not None:
            times.append(self._trial[1] + self._patience)
        if not self._opened:  # nothing is told or asked before the first line: no time for it is due
            return min(times)
        times.append(self._told_at + (APPLIED if self._untold else SIGN))
        if self._repair is not None:
            times.append(self._repair.since + ANSWER if self._repair.asked else self._repair.pause)
        return min(times)

    @property
    def state(self) -> dict[str, object]:
        known = self._known[self._current] if self._current is not None else None
        return {
            "version": self.document.version,
            "history": self.history,
            "entries": len(self.document.entries),
            "source": known.place.address if known else None,
            "head": known.head if known else None,
            "behind_ms": known.behind if known else None,
            "repairing": self._repair is not None,
            "repairs": self.repairs,
            "refused": self.refusals,
        }

    # Sources

    def _rank(self, source: int) -> int:
        where = self._known[source].place
        if where.zone == self._place.zone and where.region == self._place.region:
            return 0
        return 1 if where.region == self._place.region else 2

    def _choose(self, now: float) -> None:
        ready = [source for source in self._order if self._known[source].again <= now]
        if not ready:
            return
        # One that failed, or whose word was old lately, comes after those of whom that is not known.
        source = min(ready, key=lambda n: (self._old(n, now), self._known[n].failures))
        self._follow(source, now)

    def _old(self, source: int, now: float) -> bool:
        known = self._known[source]
        late = known.behind > STALE or known.head < self.document.version
        return late and now < known.tried + SETTLED

    def _follow(self, source: int, now: float) -> None:
        if self._current is not None:
            self._leave(self._current)
        self._begin(source, now)
        self._watch(source)

    def _begin(self, source: int, now: float) -> None:
        self._current, self._opened, self._heard, self._since = source, False, now, now
        self._stay = now + self._rng.uniform(*NEARER)

    def _watch(self, source: int) -> None:
        self.acts.append(Watch(source, self.document.version, self.document.digest))

    def _try(self, source: int, now: float) -> None:
        """Asks one more, and leaves the present one once that has spoken."""
        self._trial = source, now
        self._watch(source)

    def _trial_over(self, reason: str, now: float) -> None:
        assert self._trial is not None
        source, self._trial = self._trial[0], None
        self._put_off(source, reason, now)
        self.acts.append(Leave(source))

    def _look_further(self, current: int, now: float) -> None:
        """Leaves a source whose word is old for one that may know more, and a far one for a nearer."""
        known = self._known[current]
        if known.behind > STALE or known.head < self.document.version:
            others = [n for n in self._order if n != current and self._known[n].again <= now]
            fresh = [n for n in others if not self._old(n, now)]
            if fresh:
                self._try(fresh[0], now)
        elif now >= self._stay:
            self._stay = now + self._rng.uniform(*NEARER)
            nearer = [n for n in self._order if self._rank(n) < self._rank(current)]
            ready = [n for n in nearer if self._known[n].again <= now and not self._old(n, now)]
            ready.sort(key=lambda n: self._known[n].failures)
            if ready and self._rng.random() < 1 / max(1, min(8, self._known[ready[0]].failures)):
                self._try(ready[0], now)

    def _failed(self, source: int, reason: str, now: float) -> None:
        if not self._opened:
            self._slow += 1
            if self._slow > 2:
                self._patience = min(PATIENCE, 2 * self._patience)
        self._put_off(source, reason, now)
        self._leave(source)
        self._current = None
        if self._trial is not None:  # it is asked already: its word is waited for
            self._begin(*self._trial)
            self._trial = None

    def _put_off(self, source: int, reason: str, now: float) -> None:
        known = self._known[source]
        wait = min(AGAIN[1], AGAIN[0] * 2 ** min(known.failures, 10))
        known.again, known.failures = now + wait * self._rng.uniform(0.5, 1.5), known.failures + 1
        if known.failures == 1:
            self._note(
                f"source of configuration lost: {known.place.address}",
                reason,
                "the last good configuration stays; look at that machine",
            )

    def _leave(self, source: int) -> None:
        if self._repair is not None:
            self._repair.asked, self._repair.outline = False, None  # the next source has its own snapshots
        self.acts.append(Leave(source))

    def _another_history(self, source: int, line: WatchLine, now: float) -> None:
        known = self._known[source]
        self._note(
            f"another history of configuration at {known.place.address}",
            f"{line.history!r} to version {line.head}, {self.history!r} is followed",
            "if the machines were set up anew on purpose, restart this relay; else restore their disks",
        )
        self._failed(source, "another history", now)
        known.again = now + OTHERWISE

    # Repair

    def _begin_repair(self, now: float) -> None:
        if self._repair is None:
            self._repair = _Repair(self.document.copy(), pause=now)
            self.repairs += 1

    def _asked(self, source: int) -> _Repair | None:
        return self._repair if source == self._current and self._repair and self._repair.asked else None

    def _pay(self, size: int, now: float) -> None:
        if self._repair is not None:
            self._repair.pause = now + size / self._rate

    def _go_on(self, source: int, repair: _Repair, now: float) -> None:
        if repair.asked and now >= repair.since + ANSWER:
            self.gone(source, now)
        if repair.asked or now < repair.pause:
            return
        if repair.outline is None:
            repair.asked, repair.since = True, now
            self.acts.append(AskOutline(source))
        elif repair.missing:
            repair.asked, repair.since = True, now
            self.acts.append(AskBuckets(source, repair.outline.version, tuple(repair.missing[: repair.part])))
        else:
            self._settle(source, repair, repair.outline, now)

    def _settle(self, source: int, repair: _Repair, outline: DigestTree, now: float) -> None:
        self._repair = None
        repair.draft.settle(outline)  # each bucket was held against the outline, and that against its digest
        places, before = dict.fromkeys(self.document.differing(outline)), self.document
        keys = [key for key in {**before.entries, **repair.draft.entries} if bucket_of(key) in places]
        self.document = repair.draft
        self._in_force([key for key in keys if before.get(key) != repair.draft.get(key)])
        self._follow(source, now)  # from here on by changes

    def _in_force(self, keys: Sequence[str]) -> None:
        self.acts.append(InForce(self.document.version, tuple(keys)))
        self._untold = True

    def _tell(self, now: float) -> None:
        wait = APPLIED if self._untold else SIGN
        if self._current is not None and self._opened and now >= self._told_at + wait:
            self._untold, self._told_at = False, now
            word = AppliedVersion(
                self._number, self.document.version, self.refused[:20], self.refusals, self._place.zone
            )
            self.acts.append(Told(self._current, word))

    def _note(self, text: str, reason: str, remedy: str) -> None:
        self.acts.append(Note(text, reason, remedy))
