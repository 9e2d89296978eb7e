"""What the migration log means for one relay: which builds may have traffic, and which barriers it may acknowledge.

Without I/O and without a clock of its own. The relay's driver asks in three places: when endpoints are listed, right
before an attempt's first byte, and when the decisions vote to promote.

A relay that has not yet received the log knows no build's needs: it sends only to the earliest build that is listed. A
relay that has lost the store goes on with what it knew: whoever runs a step that ends a build's readiness waits for it.
"""

from __future__ import annotations

from collections.abc import Iterable

from lanelead.decisions.interface import Attempt, Ticks
from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.protocols.feeds import MessageError
from lanelead.protocols.migrations import LoggedEntry

RELEASED_STAGE = 1 << 30  # past every stage: all needs of a released build


class Readiness:
    """Follows the log, the rollout and the attempts in flight of one relay.

    grace: how long after its timeout an attempt with an unknown end may still run at its endpoint.
    no_acknowledgement_until: until then, attempts of an earlier process of this relay may still run.
    """

    def __init__(self, grace: Ticks, no_acknowledgement_until: Ticks) -> None:
        self.log = MigrationLog()
        self._log_received = False
        self._earliest_build: int | None = None
        self._rollout_build = -1
        self._rollout_stage = RELEASED_STAGE
        self._grace = grace
        self._in_flight: dict[Attempt, int] = {}  # with the build that each was sent to
        self._may_run_until: dict[int, Ticks] = {}  # by build, for attempts with an unknown end
        self._no_acknowledgement_until = no_acknowledgement_until
        self.acknowledged_seq = 0  # the last barrier that the store knows to be acknowledged

    # Events

    def entries_received(self, entries: Iterable[LoggedEntry]) -> None:
        """Adds entries to the log, passing over known ones: a stream that was opened again repeats them.

        Raises MessageError where an entry breaks a rule; the entries before it are kept.
        """
        self._log_received = True
        for logged in entries:
            if logged.seq <= self.log.last_seq:
                continue
            try:
                self.log.append(logged)
            except InvalidEntryError as error:
                raise MessageError(f"migration log: {error}") from None

    def builds_listed(self, builds: Iterable[int]) -> None:
        """Takes in the builds of all listed endpoints."""
        self._earliest_build = min(builds, default=self._earliest_build)

    def rollout_changed(self, build: int, stage: int, canary: bool) -> None:
        """Takes in the rollout's build and stage. `canary`: the build is not yet promoted or rolled back."""
        self._rollout_build = build
        self._rollout_stage = stage if canary else RELEASED_STAGE

    def attempt_sent(self, build: int, attempt: Attempt) -> None:
        """An attempt's first byte is about to be written."""
        self._in_flight[attempt] = build

    def attempt_ended(self, attempt: Attempt, end_known: bool) -> None:
        """An attempt has ended. `end_known`: the endpoint has replied or never got it; else it may still run there."""
        build = self._in_flight.pop(attempt, None)
        if build is not None and not end_known:
            over = attempt.sent_at + attempt.timeout + self._grace
            self._may_run_until[build] = max(over, self._may_run_until.get(build, 0))

    # Queries

    def accepts_traffic(self, build: int) -> bool:
        """May a build have traffic now? If not, its endpoints count as draining."""
        if not self._log_received:
            return self._earliest_build is None or build <= self._earliest_build
        if build == self._rollout_build:
            return self.log.is_ready(build, self._rollout_stage)
        return self.log.is_ready(build, RELEASED_STAGE if build < self._rollout_build else 0)

    def allows_promotion(self, build: int, stage: int) -> bool:
        """May the build be promoted past a stage? The next stage's needs have to be done first."""
        return self._log_received and self.log.is_ready(build, stage + 1)

    def acknowledgement_due(self, now: Ticks) -> int:
        """The sequence number of the barrier that may be acknowledged now; 0: none, or not yet."""
        state = self.log.active_step()
        if state is None or state.status is not StepStatus.AT_BARRIER or state.barrier_seq <= self.acknowledged_seq:
            return 0
        if now < self._no_acknowledgement_until:
            return 0
        ended_recently = (build for build, until in self._may_run_until.items() if until > now)
        may_run = {*self._in_flight.values(), *ended_recently}
        return state.barrier_seq if all(self.accepts_traffic(build) for build in may_run) else 0
