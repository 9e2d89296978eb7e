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
from random import Random

from lanelead.configuration.actions import (
    Action,
    CloseWatch,
    FetchBuckets,
    FetchDigestTree,
    Location,
    LogEvent,
    OpenWatch,
    ReportApplied,
    VersionApplied,
)
from lanelead.configuration.document import Document, DocumentError, DocumentTooLargeError, bucket_digests_of, bucket_of
from lanelead.configuration.follower_state import Repair, SourceState
from lanelead.protocols.configuration import AppliedVersion, Buckets, DigestTree, WatchLine

WATCH_TIMEOUT_SECONDS = 1.2  # seconds without a line; a source writes one each 0.4 s
FIRST_LINE_SECONDS = 0.7  # seconds until the first line, or two silent sources would be longer than a change may take
MAX_FIRST_LINE_SECONDS = 10.0  # seconds until the first line at the most, where all are slow
MAX_STALENESS_MS = 1500.0  # milliseconds since a source heard a majority, after which a fresher one is looked for
RETRY_SECONDS = (0.1, 5.0)  # seconds until a source that failed is asked again: the first time, and at most
SETTLED_SECONDS = 5.0  # seconds for which a source's old word counts before it is tried again
DIVERGED_RETRY_SECONDS = 10.0  # seconds until a source of another history is asked again
NEARER_SOURCE_SECONDS = (20.0, 40.0)  # seconds after which a nearer source is tried again
FETCH_TIMEOUT_SECONDS = 3.0  # seconds for an outline or buckets
FETCH_BYTES = 16384  # bytes of buckets asked for at once, about
MAX_FAILED_FETCHES = 3  # outlines and buckets in a row that could not be had, after which another source is tried
OVERSIZE_RETRY_SECONDS = (40.0, 80.0)  # seconds until a document over the bounds is looked at again
MIN_REPORT_SECONDS = 0.2  # seconds between two words on what is in force, at the least
MAX_REPORT_SECONDS = 10.0  # and at the most
OVERSIZE_REMEDY = (
    "the last good one stays in force: raise most_entries or most_bytes in the file's section configuration "
    "and restart this relay, or remove entries"
)


class Follower:
    """`document`: what is in force; whoever holds it changes nothing. `rate`: bytes a second of a repair."""

    def __init__(
        self,
        number: int,
        place: Location,
        sources: Sequence[Location],
        document: Document,
        rate: float,
        rng: Random,
        now: float,
    ) -> None:
        self.document, self.history, self.actions = document, "", list[Action]()
        self.rejected_keys: list[str] = []  # keys that the relay could not take; the host writes them
        self.rejections = 0
        self.repairs = self.lines = 0
        self._relay, self._location, self._rate, self._rng = number, place, rate, rng
        self._sources = [SourceState(source, rng.random()) for source in sources]
        self._order = sorted(range(len(sources)), key=lambda n: (self._distance(n), self._sources[n].tie_break))
        self._current: int | None = None
        self._trial: tuple[int, float] | None = None  # one that may be better, and since when it is asked
        self._last_line_at, self._watch_started_at, self._look_nearer_at = now, now, 0.0
        self._opened = False  # a line has come on this watch
        self._first_line_timeout, self._slow_watches = (
            FIRST_LINE_SECONDS,
            0,
        )  # until the first line; watches in a row that gave none
        self._repair: Repair | None = None
        self._report_pending, self._reported_at = False, -1e9
        self.tick(now)

    # Events

    def line_received(self, source: int, line: WatchLine, now: float) -> None:
        """A line of a watch has come from `source`."""
        if self._trial is not None and source == self._trial[0]:
            began, self._trial = self._trial[1], None
            if self._current is not None:
                self._close_watch(self._current)
            self._set_current(source, began)
        if source != self._current:
            return
        self._last_line_at, known = now, self._sources[source]
        known.staleness_ms, known.committed_version, known.last_line_at = line.staleness_ms, line.committed_version, now
        if now >= self._watch_started_at + SETTLED_SECONDS:
            # Guards against a source that says a good line and then fails, over and over: it would be asked
            # again ten times a second, and be preferred to others.
            known.failures = 0
        self.lines += 1
        if self.history and line.history and line.history != self.history:
            self._history_differs(source, line, now)
            return
        self.history = self.history or line.history
        if not self._opened:
            self._opened = self._report_pending = True
            # Guards against links so slow that no watch would ever be opened in the usual time.
            self._first_line_timeout, self._slow_watches = (
                min(MAX_FIRST_LINE_SECONDS, max(FIRST_LINE_SECONDS, 2 * (now - self._watch_started_at))),
                0,
            )
            if (
                line.resume_version is not None
                and self.document.version < line.resume_version <= line.committed_version
            ):
                self.document.version = line.resume_version  # what it holds is as it was then
        try:
            for change in line.changes if self._repair is None else ():
                if change.version > self.document.version:
                    self.document.apply(change)
                    self._version_applied([entry.key for entry in change.entries])
        except DocumentError as fault:
            # Guards against a version that would differ from everybody else's: buckets are compared.
            self._log_event("a change of configuration was not taken", str(fault), "none: it is being repaired")
            self._begin_repair(now)
        # Guards against machines on which nothing was ever decided: what the relay's file said stays.
        if line.needs_repair and 0 < line.committed_version >= self.document.version:
            self._begin_repair(now)
        self.tick(now)

    def watch_ended(self, source: int, reason: str, now: float) -> None:
        """The watch has ended, or could not be had."""
        if self._trial is not None and source == self._trial[0]:
            self._trial_failed(reason, now)
        elif source == self._current:
            self._source_failed(source, reason, now)
            self.tick(now)

    def digest_tree_received(self, source: int, outline: DigestTree, now: float) -> None:
        """The digest tree that was fetched has come."""
        if (repair := self._repair_in_flight(source)) is None:
            return
        repair.in_flight = False
        if outline.history != self.history or outline.version < self.document.version:
            self._source_failed(source, f"an outline of version {outline.version}", now)
        else:
            try:
                repair.missing, repair.tree = repair.draft.differing_buckets(outline), outline
            except DocumentError as fault:
                self._source_failed(source, str(fault), now)
            self._limit_rate(len(outline.bucket_digests), now)
        self.tick(now)

    def buckets_received(self, source: int, buckets: Buckets, size: int, now: float) -> None:
        """`size`: bytes that came."""
        repair = self._repair_in_flight(source)
        if repair is None or repair.tree is None:
            return
        repair.in_flight, sums = False, bucket_digests_of(repair.tree)
        if buckets.version != repair.tree.version or not buckets.buckets:
            self._source_failed(source, f"buckets of version {buckets.version}", now)
            self.tick(now)
            return
        wanted, over = dict.fromkeys(repair.missing), ""
        try:
            for number, entries in buckets.buckets.items():
                if number in wanted:
                    repair.draft.replace_bucket(number, entries, sums[number])
                    del wanted[number]
        except DocumentTooLargeError as fault:
            over = str(fault)
        except DocumentError as fault:
            self._source_failed(source, str(fault), now)
        repair.missing, repair.failed_fetches = list(wanted), 0
        repair.bucket_limit = max(1, min(256, FETCH_BYTES * len(buckets.buckets) // max(1, size)))
        self._limit_rate(size, now)
        if over:
            # Guards against fetching again and again what can't be held: no other source has less of it.
            self._log_event("the configuration is larger than this relay may hold", over, OVERSIZE_REMEDY)
            repair.tree, repair.not_before = None, now + self._rng.uniform(*OVERSIZE_RETRY_SECONDS)
        self.tick(now)

    def fetch_failed(self, source: int, now: float) -> None:
        """The snapshot that buckets were asked of is not kept any more, or the answer never came."""
        if (repair := self._repair_in_flight(source)) is not None:
            repair.in_flight, repair.tree, repair.failed_fetches = False, None, repair.failed_fetches + 1
            repair.bucket_limit = max(1, repair.bucket_limit // 2)  # it may have been more than one answer can hold
            repair.not_before = now + self._rng.uniform(*RETRY_SECONDS) / 5
            if repair.failed_fetches >= MAX_FAILED_FETCHES:
                # Guards against a source that tells changes but no snapshot, where others have one.
                repair.failed_fetches = 0
                self._source_failed(source, "no outline or buckets to be had", now)
            self.tick(now)

    def tick(self, now: float) -> None:
        """To be called at `due`, or sooner."""
        current = self._current
        if current is not None and now >= self._last_line_at + (
            WATCH_TIMEOUT_SECONDS if self._opened else self._first_line_timeout
        ):
            self._source_failed(current, "silent", now)
        elif self._trial is not None and now >= self._trial[1] + self._first_line_timeout:
            self._trial_failed("silent", now)
        elif current is not None and self._opened and self._trial is None:
            self._look_for_better(current, now)
        if self._current is None:
            self._choose(now)
        if self._repair is not None and self._current is not None and self._opened:
            self._continue_repair(self._current, self._repair, now)
        self._report_applied(now)

    @property
    def due(self) -> float:
        """When `tick` is to be called at the latest."""
        if self._current is None:
            return min((known.retry_at for known in self._sources), default=self._reported_at + MAX_REPORT_SECONDS)
        times = [self._last_line_at + (WATCH_TIMEOUT_SECONDS if self._opened else self._first_line_timeout)]
        if self._trial is not None:
            times.append(self._trial[1] + self._first_line_timeout)
        if not self._opened:  # nothing is told or asked before the first line: no time for it is due
            return min(times)
        times.append(self._reported_at + (MIN_REPORT_SECONDS if self._report_pending else MAX_REPORT_SECONDS))
        if self._repair is not None:
            times.append(
                self._repair.fetched_at + FETCH_TIMEOUT_SECONDS if self._repair.in_flight else self._repair.not_before
            )
        return min(times)

    @property
    def state(self) -> dict[str, object]:
        """What the relay's state document shows of its configuration."""
        known = self._sources[self._current] if self._current is not None else None
        return {
            "version": self.document.version,
            "history": self.history,
            "entries": len(self.document.entries),
            "source": known.location.address if known else None,
            "head": known.committed_version if known else None,
            "behind_ms": known.staleness_ms if known else None,
            "repairing": self._repair is not None,
            "repairs": self.repairs,
            "refused": self.rejections,
        }

    # Sources

    def _distance(self, source: int) -> int:
        where = self._sources[source].location
        if where.zone == self._location.zone and where.region == self._location.region:
            return 0
        return 1 if where.region == self._location.region else 2

    def _choose(self, now: float) -> None:
        ready = [source for source in self._order if self._sources[source].retry_at <= now]
        if not ready:
            return
        # One that failed, or whose word was old lately, comes after those of whom that is not known.
        source = min(ready, key=lambda n: (self._is_stale(n, now), self._sources[n].failures))
        self._follow(source, now)

    def _is_stale(self, source: int, now: float) -> bool:
        known = self._sources[source]
        late = known.staleness_ms > MAX_STALENESS_MS or known.committed_version < self.document.version
        return late and now < known.last_line_at + SETTLED_SECONDS

    def _follow(self, source: int, now: float) -> None:
        if self._current is not None:
            self._close_watch(self._current)
        self._set_current(source, now)
        self._open_watch(source)

    def _set_current(self, source: int, now: float) -> None:
        self._current, self._opened, self._last_line_at, self._watch_started_at = source, False, now, now
        self._look_nearer_at = now + self._rng.uniform(*NEARER_SOURCE_SECONDS)

    def _open_watch(self, source: int) -> None:
        self.actions.append(OpenWatch(source, self.document.version, self.document.digest))

    def _start_trial(self, source: int, now: float) -> None:
        """Asks one more, and leaves the present one once that has spoken."""
        self._trial = source, now
        self._open_watch(source)

    def _trial_failed(self, reason: str, now: float) -> None:
        assert self._trial is not None
        source, self._trial = self._trial[0], None
        self._delay_retry(source, reason, now)
        self.actions.append(CloseWatch(source))

    def _look_for_better(self, current: int, now: float) -> None:
        """Leaves a source whose word is old for one that may know more, and a far one for a nearer."""
        known = self._sources[current]
        if known.staleness_ms > MAX_STALENESS_MS or known.committed_version < self.document.version:
            others = [n for n in self._order if n != current and self._sources[n].retry_at <= now]
            fresh = [n for n in others if not self._is_stale(n, now)]
            if fresh:
                self._start_trial(fresh[0], now)
        elif now >= self._look_nearer_at:
            self._look_nearer_at = now + self._rng.uniform(*NEARER_SOURCE_SECONDS)
            nearer = [n for n in self._order if self._distance(n) < self._distance(current)]
            ready = [n for n in nearer if self._sources[n].retry_at <= now and not self._is_stale(n, now)]
            ready.sort(key=lambda n: self._sources[n].failures)
            if ready and self._rng.random() < 1 / max(1, min(8, self._sources[ready[0]].failures)):
                self._start_trial(ready[0], now)

    def _source_failed(self, source: int, reason: str, now: float) -> None:
        if not self._opened:
            self._slow_watches += 1
            if self._slow_watches > 2:
                self._first_line_timeout = min(MAX_FIRST_LINE_SECONDS, 2 * self._first_line_timeout)
        self._delay_retry(source, reason, now)
        self._close_watch(source)
        self._current = None
        if self._trial is not None:  # it is asked already: its word is waited for
            self._set_current(*self._trial)
            self._trial = None

    def _delay_retry(self, source: int, reason: str, now: float) -> None:
        known = self._sources[source]
        wait = min(RETRY_SECONDS[1], RETRY_SECONDS[0] * 2 ** min(known.failures, 10))
        known.retry_at, known.failures = now + wait * self._rng.uniform(0.5, 1.5), known.failures + 1
        if known.failures == 1:
            self._log_event(
                f"source of configuration lost: {known.location.address}",
                reason,
                "the last good configuration stays; look at that machine",
            )

    def _close_watch(self, source: int) -> None:
        if self._repair is not None:
            self._repair.in_flight, self._repair.tree = False, None  # the next source has its own snapshots
        self.actions.append(CloseWatch(source))

    def _history_differs(self, source: int, line: WatchLine, now: float) -> None:
        known = self._sources[source]
        self._log_event(
            f"another history of configuration at {known.location.address}",
            f"{line.history!r} to version {line.committed_version}, {self.history!r} is followed",
            "if the machines were set up anew on purpose, restart this relay; else restore their disks",
        )
        self._source_failed(source, "another history", now)
        known.retry_at = now + DIVERGED_RETRY_SECONDS

    # Repair

    def _begin_repair(self, now: float) -> None:
        if self._repair is None:
            self._repair = Repair(self.document.copy(), not_before=now)
            self.repairs += 1

    def _repair_in_flight(self, source: int) -> Repair | None:
        return self._repair if source == self._current and self._repair and self._repair.in_flight else None

    def _limit_rate(self, size: int, now: float) -> None:
        if self._repair is not None:
            self._repair.not_before = now + size / self._rate

    def _continue_repair(self, source: int, repair: Repair, now: float) -> None:
        if repair.in_flight and now >= repair.fetched_at + FETCH_TIMEOUT_SECONDS:
            self.fetch_failed(source, now)
        if repair.in_flight or now < repair.not_before:
            return
        if repair.tree is None:
            repair.in_flight, repair.fetched_at = True, now
            self.actions.append(FetchDigestTree(source))
        elif repair.missing:
            repair.in_flight, repair.fetched_at = True, now
            self.actions.append(FetchBuckets(source, repair.tree.version, tuple(repair.missing[: repair.bucket_limit])))
        else:
            self._finish_repair(source, repair, repair.tree, now)

    def _finish_repair(self, source: int, repair: Repair, outline: DigestTree, now: float) -> None:
        self._repair = None
        repair.draft.finish_repair(outline)  # each bucket was held against the outline, and that against its digest
        places, before = dict.fromkeys(self.document.differing_buckets(outline)), self.document
        keys = [key for key in {**before.entries, **repair.draft.entries} if bucket_of(key) in places]
        self.document = repair.draft
        self._version_applied([key for key in keys if before.get(key) != repair.draft.get(key)])
        self._follow(source, now)  # from here on by changes

    def _version_applied(self, keys: Sequence[str]) -> None:
        self.actions.append(VersionApplied(self.document.version, tuple(keys)))
        self._report_pending = True

    def _report_applied(self, now: float) -> None:
        wait = MIN_REPORT_SECONDS if self._report_pending else MAX_REPORT_SECONDS
        if self._current is not None and self._opened and now >= self._reported_at + wait:
            self._report_pending, self._reported_at = False, now
            word = AppliedVersion(
                self._relay, self.document.version, self.rejected_keys[:20], self.rejections, self._location.zone
            )
            self.actions.append(ReportApplied(self._current, word))

    def _log_event(self, text: str, reason: str, remedy: str) -> None:
        self.actions.append(LogEvent(text, reason, remedy))
