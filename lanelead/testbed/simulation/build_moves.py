"""Starts and stops endpoints when a build moves to another stage or phase, as the deployment platform does."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet


class BuildMoves:
    """Starts and stops the endpoints of a simulated fleet as builds move."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet

    def start_build(self, build: int, places: list[int], when_started: Callable[[], None]) -> None:
        """Boots an endpoint with a build at each place, and calls `when_started` once all have booted."""
        waits = [self._fleet.day.units.boot_ms / 1000 * self._fleet.fleet_rng.uniform(0.5, 1.0) for _ in places]
        for wait, place in zip(waits, places, strict=True):
            self._fleet.clock.later(wait, self.launch_endpoint, build, place)
        self._fleet.clock.later(max(waits, default=0.0) + 1e-6, when_started)

    def launch_endpoint(self, build: int, place: int) -> None:
        """Launches one endpoint that begins in its slow start."""
        self._fleet.launch(build, place, True)

    def build_moved(self, build: int, stage: int, phase: str) -> None:
        """Starts and drains endpoints after the rollout platform has moved a build.

        A canary stage starts the endpoints it lacks; a promotion drains the earlier builds; a recall starts the earlier
        build's endpoints again before the rollback; a rollback restores the earlier build and then drains this one.
        """
        count, trial = self._fleet.day.units.count, self._fleet.day.service.trial
        if phase == "trial":
            occupied = {endpoint.place for endpoint in self._fleet.endpoints_of_build(build)}
            needed = -int(-(trial.shares[stage] * count - 1e-6) // 1)
            places = [place for place in range(count) if place not in occupied][: max(0, needed - len(occupied))]

            def stage_started() -> None:
                self.share_slowness()
                self._fleet.rollout_platform.endpoints_running(build, stage)
                if trial.in_place:
                    for endpoint in list(self._fleet.endpoints.values()):
                        if endpoint.life.build.number < build and endpoint.place in places:
                            self._fleet.clock.run_process(self._fleet.drain(endpoint, 0.5))

            self.start_build(build, places, stage_started)
        elif phase == "released":
            self.share_slowness()
            for endpoint in list(self._fleet.endpoints.values()):
                if endpoint.life.build.number < build:
                    self._fleet.clock.run_process(self._fleet.drain(endpoint, 0.5))
        elif phase in ("recall", "reverting"):
            earlier = max(number for number in self._fleet.builds if number < build)
            occupied = {
                m.place
                for m in self._fleet.endpoints.values()
                if m.up and not m.leaving and m.life.build.number < build
            }
            missing = [place for place in range(count) if place not in occupied]
            if phase == "recall":
                late = self._fleet.day.roster.late_ms / 1000 + 0.3
                self.start_build(
                    earlier, missing, lambda: self._fleet.clock.later(late, self._fleet.rollout_platform.back)
                )
                return

            def drain_build() -> None:
                for endpoint in self._fleet.endpoints_of_build(build):
                    self._fleet.clock.run_process(self._fleet.drain(endpoint, 0.2))
                wait = self._fleet.day.service.duties.drain_grace_ms / 1000 + 0.2
                self._fleet.clock.later(wait, self.finish_rollback, build)

            if missing:
                self.start_build(earlier, missing, drain_build)
            else:
                drain_build()

    def finish_rollback(self, build: int) -> None:
        """Tells the rollout platform that a build has been rolled back."""
        self.share_slowness()
        self._fleet.rollout_platform.rollback_finished(build)

    def share_slowness(self) -> None:
        """Recomputes how much builds with the fault `shared` slow down the whole fleet.

        Every running endpoint becomes slower in proportion to the faulty endpoints' share of the fleet.
        """
        running = [endpoint for endpoint in self._fleet.endpoints.values() if endpoint.up and not endpoint.leaving]
        faulty_strength = sum(
            endpoint.life.build.strength for endpoint in running if endpoint.life.build.bad == "shared"
        )
        for endpoint in running:
            endpoint.shared = 1 + 4 * faulty_strength / max(1, len(running))
