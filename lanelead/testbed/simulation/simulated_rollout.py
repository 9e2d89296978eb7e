"""The rollout platform in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lanelead.decisions.interface import (
    AttemptOutcome,
)
from lanelead.testbed.emulators.vote_counting import VoteCounting
from lanelead.testbed.simulation.clock import SimulationProcess, random_stream

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_relay import SimulatedRelay


class SimulatedRolloutPlatform(VoteCounting):
    """The rollout platform with the emulators' counting of votes, and simulated delivery to relays.

    `away`: relays cannot reach it. `stale`: additional seconds until relays receive a changed state.
    """

    def __init__(self, fleet: SimulatedFleet) -> None:
        day = fleet.day

        def note(what: str, **facts: Any) -> None:
            fleet.recorder.note("desk", what, **facts)

        super().__init__(
            day.service.trial,
            day.service.poll,
            random_stream(fleet.seed, "desk"),
            fleet.clock,
            note,
            fleet.build_moves.build_moved,
        )
        self._fleet = fleet
        self.away, self.stale = False, 0.0

    def changed(self) -> None:
        """Sends a changed rollout state to each relay after its own delay."""
        for relay in self._fleet.relays:
            late = self.stale + self._fleet.day.desk.told_ms / 1000 * self._rng.uniform(0.5, 1.0)
            self._fleet.clock.later(late, self.send_state, relay)

    def send_state(self, relay: SimulatedRelay) -> None:
        """Sends the current rollout state to a relay."""
        if not self.away and relay.up:
            line = self.line()
            self.told(relay.number, line)
            relay.call_when_running(lambda: relay.driver.rollout_read(line, False, AttemptOutcome.SUCCEEDED))

    def run(self) -> SimulationProcess:
        """Advances the platform every 0.05 s and pushes its state to all relays at the configured interval."""
        since = 0.0
        while True:
            yield 0.05
            self.beat(0.05)
            since += 0.05
            if since >= self._fleet.day.desk.push_ms / 1000 and not self.stale:
                since = 0.0
                for relay in self._fleet.relays:
                    self.send_state(relay)
