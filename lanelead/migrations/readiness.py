"""Applies the migration log to one relay: which builds may have traffic, and which barriers it may acknowledge.

Uses no I/O and no clock of its own. The relay's driver queries it when endpoints are listed, right before the first
byte of an attempt is written, and when the decisions vote to promote.

A relay that has not yet received the whole log does not know what builds need, and sends only to the earliest build
listed. A relay that has lost its connection to the store goes on with the log as last received. That is safe, since a
step that ends a build's readiness changes nothing before every registered relay has acknowledged its barrier.
"""

from __future__ import annotations

from collections.abc import Iterable

from lanelead.decisions.interface import Attempt, Ticks
from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.protocols.feeds import MessageError
from lanelead.protocols.migrations import MigrationLogPage

RELEASED_STAGE = 1 << 30  # above every rollout stage: a released build needs the steps of all stages


class Readiness:
    """Tracks the migration log, the rollout and the attempts in flight of one relay. Times are in ticks.

    grace: how long after its timeout an attempt may still run at its endpoint if its end is unknown.
    no_acknowledgement_until: no barrier is acknowledged before this time, as attempts of an earlier process of this
        relay may still run.
    """

    def __init__(self, grace: Ticks, no_acknowledgement_until: Ticks) -> None:
        self.log = MigrationLog()
        self._log_received = False  # the whole log, as long as it was when its first pages were sent
        self._earliest_build: int | None = None
        self._rollout_build = -1
        self._rollout_stage = RELEASED_STAGE
        self._grace = grace
        self._in_flight: dict[Attempt, int] = {}  # the build that each attempt is sent to
        self._may_run_until: dict[int, Ticks] = {}  # by build; only attempts whose end is unknown
        self._no_acknowledgement_until = no_acknowledgement_until
        self.acknowledged_seq = 0  # last barrier whose acknowledgement has reached the store

    # Events

    def page_received(self, page: MigrationLogPage) -> None:
        """Adds a page's entries to the log; skips known ones, which a reopened stream repeats.

        Raises MessageError if an entry breaks a rule of the log; the entries before it are kept.
        """
        for logged in page.entries:
            if logged.seq <= self.log.last_seq:
                continue
            try:
                self.log.append(logged)
            except InvalidEntryError as error:
                raise MessageError(f"migration log: {error}") from None
        if self.log.last_seq >= page.last_seq:  # a long log comes in several pages
            self._log_received = True

    def builds_listed(self, builds: Iterable[int]) -> None:
        """Records the builds of all listed endpoints."""
        self._earliest_build = min(builds, default=self._earliest_build)

    def rollout_changed(self, build: int, stage: int, canary: bool) -> None:
        """Records the rollout's build and stage; `canary`: the build is not yet promoted or rolled back."""
        self._rollout_build = build
        self._rollout_stage = stage if canary else RELEASED_STAGE

    def attempt_sent(self, build: int, attempt: Attempt) -> None:
        """Records an attempt in flight; called before its first byte is written."""
        self._in_flight[attempt] = build

    def attempt_ended(self, attempt: Attempt, end_known: bool) -> None:
        """Removes an attempt from those in flight.

        end_known: the endpoint has replied or never received the attempt; otherwise it may still run there.
        """
        build = self._in_flight.pop(attempt, None)
        if build is not None and not end_known:
            ends_by = attempt.sent_at + attempt.timeout + self._grace
            self._may_run_until[build] = max(ends_by, self._may_run_until.get(build, 0))

    # Queries

    def accepts_traffic(self, build: int) -> bool:
        """Whether a build may have traffic now; if not, its endpoints are treated as draining."""
        if not self._log_received:
            return self._earliest_build is None or build <= self._earliest_build
        if build == self._rollout_build:
            return self.log.is_ready(build, self._rollout_stage)
        return self.log.is_ready(build, RELEASED_STAGE if build < self._rollout_build else 0)

    def allows_promotion(self, build: int, stage: int) -> bool:
        """Whether a build may be promoted beyond a stage: the steps that it needs at the next stage must be done."""
        return self._log_received and self.log.is_ready(build, stage + 1)

    def acknowledgement_due(self, now: Ticks) -> int:
        """The sequence number of the barrier that can be acknowledged now; 0 if there is none or not yet.

        A barrier is acknowledged when no attempt is or may be running on a build that may no longer have traffic.
        """
        state = self.log.active_step()
        if state is None or state.status is not StepStatus.AT_BARRIER or state.barrier_seq <= self.acknowledged_seq:
            return 0
        if now < self._no_acknowledgement_until:
            return 0
        ended_recently = (build for build, until in self._may_run_until.items() if until > now)
        may_run = {*self._in_flight.values(), *ended_recently}
        return state.barrier_seq if all(self.accepts_traffic(build) for build in may_run) else 0
