"""The follower of a relay: keeps the newest configuration in force, and the last good one through failures.

Rules:
1. Only whole versions are in force: changes are applied in order; a repair works on a copy until the digests agree.
2. The version never decreases: a source with a lower committed version or another history changes nothing.
3. One source is followed: one not known to be stale first, then the one with the fewest failures, then the nearest.
   From time to time a nearer one is tried again.
4. While no source responds, the configuration stays in force, however long that lasts.
5. A repair fetches only the buckets that differ, at a limited rate, and continues at another source if interrupted.
   Changes received meanwhile are ignored; the watch opened afterwards sends them again.

There are no sockets or clocks here: the host carries out the actions and reports their results. Times are seconds.
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

WATCH_TIMEOUT_SECONDS = 1.2  # longest gap between two lines of a watch; a source writes one every 0.4 s
FIRST_LINE_SECONDS = 0.7  # initial wait for a first line; two silent sources in a row must not delay changes too long
MAX_FIRST_LINE_SECONDS = 10.0  # upper limit: it doubles from the third failure in a row without a line on
MAX_STALENESS_MS = 1500.0  # a source is stale if it heard from a majority longer ago, or has a lower version
RETRY_SECONDS = (0.1, 5.0)  # wait before a failed source is tried again: the first time, and at most
SETTLED_SECONDS = 5.0  # a watch this old clears its source's failures; a stale source is avoided for as long
DIVERGED_RETRY_SECONDS = 10.0  # wait before a source with another history is tried again
NEARER_SOURCE_SECONDS = (20.0, 40.0)  # range of the random interval between two checks for a nearer source
FETCH_TIMEOUT_SECONDS = 3.0  # for a digest tree or buckets
FETCH_BYTES = 16384  # approximate size of the buckets requested at once
MAX_FAILED_FETCHES = 3  # failed fetches since the last buckets, at any source, before another one is tried
OVERSIZE_RETRY_SECONDS = (40.0, 80.0)  # range of the random wait after a document exceeded the limits
MIN_REPORT_SECONDS = 0.2  # shortest interval between two reports of the version in force
MAX_REPORT_SECONDS = 10.0  # longest interval
OVERSIZE_REMEDY = (
    "the last good configuration stays in force: raise most_entries or most_bytes in section configuration of this "
    "relay's file and restart the relay, or remove entries"
)


class Follower:
    """Chooses the source that a relay follows, applies its changes and repairs the document.

    Callers must not modify `document`; they carry out and empty `actions`. `rate` limits repairs, in bytes per second.
    """

    def __init__(
        self,
        number: int,
        location: Location,
        sources: Sequence[Location],
        document: Document,
        rate: float,
        rng: Random,
        now: float,
    ) -> None:
        self.document, self.history, self.actions = document, "", list[Action]()
        self.rejected_keys: list[str] = []  # keys whose newest value the relay rejected; set by the host
        self.rejections = 0  # rejected values since the start; set by the host
        self.repairs = self.lines = 0  # repairs begun and lines handled since the start
        self._relay, self._location, self._rate, self._rng = number, location, rate, rng
        self._sources = [SourceState(source, rng.random()) for source in sources]
        self._by_distance = sorted(range(len(sources)), key=lambda n: (self._distance(n), self._sources[n].tie_break))
        self._current: int | None = None
        self._trial: tuple[int, float] | None = None  # source watched beside the current one, and since when
        self._last_line_at, self._watch_started_at, self._nearer_check_at = now, now, 0.0
        self._watch_open = False  # whether this watch has delivered a line
        self._first_line_timeout, self._slow_watches = FIRST_LINE_SECONDS, 0  # watches in a row without a line
        self._repair: Repair | None = None
        self._report_pending, self._reported_at = False, -1e9
        self.tick(now)

    # Events

    def line_received(self, source: int, line: WatchLine, now: float) -> None:
        """Handles a line of the watch of `source`."""
        if self._trial is not None and source == self._trial[0]:
            started_at, self._trial = self._trial[1], None
            if self._current is not None:
                self._close_watch(self._current)
            self._set_current(source, started_at)
        if source != self._current:
            return
        self._last_line_at, state = now, self._sources[source]
        state.staleness_ms, state.committed_version, state.last_line_at = line.staleness_ms, line.committed_version, now
        if now >= self._watch_started_at + SETTLED_SECONDS:
            # Not sooner: a source that fails after each first line would be retried ten times a second and preferred.
            state.failures = 0
        self.lines += 1
        if self.history and line.history and line.history != self.history:
            self._history_differs(source, line, now)
            return
        self.history = self.history or line.history
        if not self._watch_open:
            self._watch_open = self._report_pending = True
            # On slow links no first line would arrive within the initial timeout: allow twice what this one took.
            self._first_line_timeout, self._slow_watches = (
                min(MAX_FIRST_LINE_SECONDS, max(FIRST_LINE_SECONDS, 2 * (now - self._watch_started_at))),
                0,
            )
            if (
                line.resume_version is not None
                and self.document.version < line.resume_version <= line.committed_version
            ):
                self.document.version = line.resume_version  # entries of the relay's file began as version 0
        try:
            for change in line.changes if self._repair is None else ():
                if change.version > self.document.version:
                    self.document.apply(change)
                    self._request_apply([entry.key for entry in change.entries])
        except DocumentError as error:
            # A document that differs from the sources' must not be numbered as their version: compare buckets.
            self._log_event("configuration change rejected", str(error), "usually none: a repair has begun")
            self._begin_repair(now)
        # Replicas with no or an older version must not erase or set back what the relay has.
        if line.needs_repair and 0 < line.committed_version >= self.document.version:
            self._begin_repair(now)
        self.tick(now)

    def watch_ended(self, source: int, reason: str, now: float) -> None:
        """Handles a watch that ended or could not be opened."""
        if self._trial is not None and source == self._trial[0]:
            self._trial_failed(reason, now)
        elif source == self._current:
            self._source_failed(source, reason, now)
            self.tick(now)

    def digest_tree_received(self, source: int, digest_tree: DigestTree, now: float) -> None:
        """Handles a fetched digest tree."""
        if (repair := self._repair_in_flight(source)) is None:
            return
        repair.in_flight = False
        if digest_tree.history != self.history or digest_tree.version < self.document.version:
            self._source_failed(source, f"digest tree of another history or too old: {digest_tree.version}", now)
        else:
            try:
                repair.missing, repair.tree = repair.draft.differing_buckets(digest_tree), digest_tree
            except DocumentError as error:
                self._source_failed(source, str(error), now)
            self._limit_rate(len(digest_tree.bucket_digests), now)
        self.tick(now)

    def buckets_received(self, source: int, buckets: Buckets, size: int, now: float) -> None:
        """Handles fetched buckets; `size` is that of the response in bytes."""
        repair = self._repair_in_flight(source)
        if repair is None or repair.tree is None:
            return
        repair.in_flight, tree_digests = False, bucket_digests_of(repair.tree)
        if buckets.version != repair.tree.version or not buckets.buckets:
            self._source_failed(source, f"no buckets, or buckets of another version: {buckets.version}", now)
            self.tick(now)
            return
        remaining, size_error = dict.fromkeys(repair.missing), ""
        try:
            for number, entries in buckets.buckets.items():
                if number in remaining:
                    repair.draft.replace_bucket(number, entries, tree_digests[number])
                    del remaining[number]
        except DocumentTooLargeError as error:
            size_error = str(error)
        except DocumentError as error:
            self._source_failed(source, str(error), now)
        repair.missing, repair.failed_fetches = list(remaining), 0
        repair.bucket_limit = max(1, min(256, FETCH_BYTES * len(buckets.buckets) // max(1, size)))
        self._limit_rate(size, now)
        if size_error:
            # Every source has the same oversized document: fetching it again at once would fail again.
            self._log_event("configuration exceeds this relay's limits", size_error, OVERSIZE_REMEDY)
            repair.tree, repair.not_before = None, now + self._rng.uniform(*OVERSIZE_RETRY_SECONDS)
        self.tick(now)

    def fetch_failed(self, source: int, now: float) -> None:
        """Handles a failed fetch: no usable response in time, or the snapshot has expired."""
        if (repair := self._repair_in_flight(source)) is not None:
            repair.in_flight, repair.tree, repair.failed_fetches = False, None, repair.failed_fetches + 1
            repair.bucket_limit = max(1, repair.bucket_limit // 2)  # the buckets may exceed one response
            repair.not_before = now + self._rng.uniform(*RETRY_SECONDS) / 5  # 0.02 to 1 s
            if repair.failed_fetches >= MAX_FAILED_FETCHES:
                # This source sends changes but serves no snapshot; others may serve one.
                repair.failed_fetches = 0
                self._source_failed(source, "repeated failures to fetch the digest tree or buckets", now)
            self.tick(now)

    def tick(self, now: float) -> None:
        """Checks timeouts and starts what is due; the host calls it at `due` at the latest."""
        current = self._current
        if current is not None and now >= self._last_line_at + (
            WATCH_TIMEOUT_SECONDS if self._watch_open else self._first_line_timeout
        ):
            self._source_failed(current, "no line in time", now)
        elif self._trial is not None and now >= self._trial[1] + self._first_line_timeout:
            self._trial_failed("no line in time", now)
        elif current is not None and self._watch_open and self._trial is None:
            self._try_better_source(current, now)
        if self._current is None:
            self._choose_source(now)
        if self._repair is not None and self._current is not None and self._watch_open:
            self._continue_repair(self._current, self._repair, now)
        self._report_applied(now)

    @property
    def due(self) -> float:
        """The latest time of the next `tick`; checks for a better source wait for any tick."""
        if self._current is None:
            return min((state.retry_at for state in self._sources), default=self._reported_at + MAX_REPORT_SECONDS)
        times = [self._last_line_at + (WATCH_TIMEOUT_SECONDS if self._watch_open else self._first_line_timeout)]
        if self._trial is not None:
            times.append(self._trial[1] + self._first_line_timeout)
        if not self._watch_open:  # no report or fetch is made before the first line
            return min(times)
        times.append(self._reported_at + (MIN_REPORT_SECONDS if self._report_pending else MAX_REPORT_SECONDS))
        if self._repair is not None:
            times.append(
                self._repair.fetched_at + FETCH_TIMEOUT_SECONDS if self._repair.in_flight else self._repair.not_before
            )
        return min(times)

    @property
    def state(self) -> dict[str, object]:
        """The configuration in the relay's state document, under the names used there."""
        state = self._sources[self._current] if self._current is not None else None
        return {
            "version": self.document.version,
            "history": self.history,
            "entries": len(self.document.entries),
            "source": state.location.address if state else None,
            "head": state.committed_version if state else None,
            "behind_ms": state.staleness_ms if state else None,
            "repairing": self._repair is not None,
            "repairs": self.repairs,
            "refused": self.rejections,
        }

    # Sources

    def _distance(self, source: int) -> int:
        location = self._sources[source].location
        if location.zone == self._location.zone and location.region == self._location.region:
            return 0
        return 1 if location.region == self._location.region else 2

    def _choose_source(self, now: float) -> None:
        ready = [source for source in self._by_distance if self._sources[source].retry_at <= now]
        if not ready:
            return
        # In order of recent staleness, failures and distance.
        source = min(ready, key=lambda n: (self._recently_stale(n, now), self._sources[n].failures))
        self._follow(source, now)

    def _recently_stale(self, source: int, now: float) -> bool:
        state = self._sources[source]
        stale = state.staleness_ms > MAX_STALENESS_MS or state.committed_version < self.document.version
        return stale and now < state.last_line_at + SETTLED_SECONDS

    def _follow(self, source: int, now: float) -> None:
        if self._current is not None:
            self._close_watch(self._current)
        self._set_current(source, now)
        self._open_watch(source)

    def _set_current(self, source: int, now: float) -> None:
        self._current, self._watch_open, self._last_line_at, self._watch_started_at = source, False, now, now
        self._nearer_check_at = now + self._rng.uniform(*NEARER_SOURCE_SECONDS)

    def _open_watch(self, source: int) -> None:
        self.actions.append(OpenWatch(source, self.document.version, self.document.digest))

    def _start_trial(self, source: int, now: float) -> None:
        """Opens a second watch, of another source, which becomes the current one with its first line."""
        self._trial = source, now
        self._open_watch(source)

    def _trial_failed(self, reason: str, now: float) -> None:
        assert self._trial is not None
        source, self._trial = self._trial[0], None
        self._record_failure(source, reason, now)
        self.actions.append(CloseWatch(source))

    def _try_better_source(self, current: int, now: float) -> None:
        """Starts a trial: of a source not known as stale if the current one is, else now and then of a nearer one."""
        state = self._sources[current]
        if state.staleness_ms > MAX_STALENESS_MS or state.committed_version < self.document.version:
            others = [n for n in self._by_distance if n != current and self._sources[n].retry_at <= now]
            fresh = [n for n in others if not self._recently_stale(n, now)]
            if fresh:
                self._start_trial(fresh[0], now)
        elif now >= self._nearer_check_at:
            self._nearer_check_at = now + self._rng.uniform(*NEARER_SOURCE_SECONDS)
            nearer = [n for n in self._by_distance if self._distance(n) < self._distance(current)]
            ready = [n for n in nearer if self._sources[n].retry_at <= now and not self._recently_stale(n, now)]
            ready.sort(key=lambda n: self._sources[n].failures)
            # A source that failed n times is tried at one check in n, at least at one in eight.
            if ready and self._rng.random() < 1 / max(1, min(8, self._sources[ready[0]].failures)):
                self._start_trial(ready[0], now)

    def _source_failed(self, source: int, reason: str, now: float) -> None:
        """Drops the current source; a source on trial takes its place."""
        if not self._watch_open:
            self._slow_watches += 1
            if self._slow_watches > 2:
                self._first_line_timeout = min(MAX_FIRST_LINE_SECONDS, 2 * self._first_line_timeout)
        self._record_failure(source, reason, now)
        self._close_watch(source)
        self._current = None
        if self._trial is not None:  # its watch is open already: wait for its first line
            self._set_current(*self._trial)
            self._trial = None

    def _record_failure(self, source: int, reason: str, now: float) -> None:
        state = self._sources[source]
        wait = min(RETRY_SECONDS[1], RETRY_SECONDS[0] * 2 ** min(state.failures, 10))
        state.retry_at, state.failures = now + wait * self._rng.uniform(0.5, 1.5), state.failures + 1
        if state.failures == 1:
            self._log_event(
                f"configuration source failed: {state.location.address}",
                reason,
                "the last good configuration stays in force; check the replica at this address",
            )

    def _close_watch(self, source: int) -> None:
        if self._repair is not None:
            self._repair.in_flight, self._repair.tree = False, None  # the next source has other snapshots
        self.actions.append(CloseWatch(source))

    def _history_differs(self, source: int, line: WatchLine, now: float) -> None:
        state = self._sources[source]
        self._log_event(
            f"different configuration history at {state.location.address}",
            f"{line.history!r} up to version {line.committed_version} there, {self.history!r} followed here",
            "if the replicas were set up anew on purpose, restart this relay; otherwise restore their disks",
        )
        self._source_failed(source, "another history", now)
        state.retry_at = now + DIVERGED_RETRY_SECONDS

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

    def _finish_repair(self, source: int, repair: Repair, digest_tree: DigestTree, now: float) -> None:
        self._repair = None
        repair.draft.finish_repair(digest_tree)  # cannot fail: the tree and each bucket were checked on receipt
        differing, previous = dict.fromkeys(self.document.differing_buckets(digest_tree)), self.document
        keys = [key for key in {**previous.entries, **repair.draft.entries} if bucket_of(key) in differing]
        self.document = repair.draft
        self._request_apply([key for key in keys if previous.get(key) != repair.draft.get(key)])
        self._follow(source, now)  # a new watch, from the repaired version on

    def _request_apply(self, keys: Sequence[str]) -> None:
        self.actions.append(VersionApplied(self.document.version, tuple(keys)))
        self._report_pending = True

    def _report_applied(self, now: float) -> None:
        wait = MIN_REPORT_SECONDS if self._report_pending else MAX_REPORT_SECONDS
        if self._current is not None and self._watch_open and now >= self._reported_at + wait:
            self._report_pending, self._reported_at = False, now
            report = AppliedVersion(
                self._relay, self.document.version, self.rejected_keys[:20], self.rejections, self._location.zone
            )
            self.actions.append(ReportApplied(self._current, report))

    def _log_event(self, text: str, reason: str, remedy: str) -> None:
        self.actions.append(LogEvent(text, reason, remedy))
