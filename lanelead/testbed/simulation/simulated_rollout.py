"""The rollout platform in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lanelead.decisions.interface import (
    AttemptOutcome,
)
from lanelead.testbed.emulators.vote_counting import Polling
from lanelead.testbed.simulation.clock import Story, stream

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_relay import SimulatedRelay


class SimulatedRolloutPlatform(Polling):
    def __init__(self, town: SimulatedFleet) -> None:
        day = town.day

        def note(what: str, **facts: Any) -> None:
            town.book.note("desk", what, **facts)

        super().__init__(
            day.service.trial, day.service.poll, stream(town.seed, "desk"), town.clock, note, town.moves.moved
        )
        self._town = town
        self.away, self.stale = False, 0.0

    def changed(self) -> None:
        for host in self._town.hosts:
            late = self.stale + self._town.day.desk.told_ms / 1000 * self._rng.uniform(0.5, 1.0)
            self._town.clock.later(late, self.tell, host)

    def tell(self, host: SimulatedRelay) -> None:
        if not self.away and host.up:
            line = self.line()
            self.told(host.number, line)
            host.whenever(lambda: host.driver.rollout_read(line, False, AttemptOutcome.SUCCEEDED))

    def go(self) -> Story:
        since = 0.0
        while True:
            yield 0.05
            self.beat(0.05)
            since += 0.05
            if since >= self._town.day.desk.push_ms / 1000 and not self.stale:
                since = 0.0
                for host in self._town.hosts:
                    self.tell(host)
