"""What the record of steps means for one relay: which builds count as not there, and what it has seen.

Without I/O and without a clock of its own. The relay's driver asks it in three places: when units are listed,
right before a trip's first byte, and when the decisions vote 'on'.

A relay that has not yet heard the record knows no build's needs: it sends only to the earliest build that is
listed. A relay that has lost the store goes on with what it knew: whoever runs a step that takes a build's
state away waits for it.
"""

from __future__ import annotations

from collections.abc import Iterable

from lanelead.decisions.interface import Attempt, Ticks
from lanelead.migrations.migration_log import Broken, Record, Stand
from lanelead.protocols.feeds import MessageError
from lanelead.protocols.migrations import LoggedEntry

LAST = 1 << 30  # past every stage: all needs of a build that is released


class Readiness:
    """`grace`: how long after its outer limit a trip whose end was not heard may still run at its unit."""

    def __init__(self, grace: Ticks, quiet_until: Ticks) -> None:
        self.record = Record()
        self._heard = False
        self._earliest: int | None = None
        self._trial, self._stage = -1, LAST  # the build that the desk last told of, and its stage
        self._grace = grace
        self._out: dict[Attempt, int] = {}  # trips under way, with the build that each was sent to
        self._until: dict[int, Ticks] = {}  # by build, when the last of those with no known end may be over
        # What an earlier life of this relay sent may still run: it can't vouch for that any sooner.
        self._quiet_until = quiet_until
        self.seen = 0  # what the store has been told

    # What is told

    def hear(self, entries: Iterable[LoggedEntry]) -> None:
        """Raises Malformed where the entries follow no rules; what came before them stays."""
        self._heard = True
        for logged in entries:
            if logged.seq <= self.record.seq:
                continue  # a stream that began anew tells some again
            try:
                self.record.add(logged)
            except Broken as fault:
                raise MessageError(f"record of steps: {fault}") from None

    def listed(self, builds: Iterable[int]) -> None:
        self._earliest = min(builds, default=self._earliest)

    def news(self, build: int, stage: int, trial: bool) -> None:
        self._trial, self._stage = build, stage if trial else LAST

    def sent(self, build: int, attempt: Attempt) -> None:
        self._out[attempt] = build

    def ended(self, attempt: Attempt, known: bool) -> None:
        """`known`: the unit has answered, or never had it; else it may still be running there."""
        build = self._out.pop(attempt, None)
        if build is not None and not known:
            over = attempt.sent_at + attempt.timeout + self._grace
            self._until[build] = max(over, self._until.get(build, 0))

    # What is asked

    def open(self, build: int) -> bool:
        """May a build have traffic now? If not, it counts as not there."""
        if not self._heard:
            return self._earliest is None or build <= self._earliest
        if build == self._trial:
            return self.record.ready(build, self._stage)
        return self.record.ready(build, LAST if build < self._trial else 0)

    def votes_on(self, build: int, stage: int) -> bool:
        """May the build be voted on past a stage? The next stage's needs must be done first."""
        return self._heard and self.record.ready(build, stage + 1)

    def owes(self, now: Ticks) -> int:
        """The closing that the store may be told is seen; 0: none, or not yet."""
        mark = self.record.under_way()
        if mark is None or mark.stand is not Stand.CLOSING or mark.closing <= self.seen:
            return 0
        if now < self._quiet_until:
            return 0
        may_run = {*self._out.values(), *(build for build, until in self._until.items() if until > now)}
        return mark.closing if all(self.open(build) for build in may_run) else 0
