"""What the platform does with endpoints when a build has moved to another stage or phase."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet


class BuildMoves:
    """Starts and ends endpoints as builds move."""

    def __init__(self, town: SimulatedFleet) -> None:
        self._town = town

    def start_build(self, build: int, places: list[int], then: Callable[[], None]) -> None:
        waits = [self._town.day.units.boot_ms / 1000 * self._town.fleet_rng.uniform(0.5, 1.0) for _ in places]
        for wait, place in zip(waits, places, strict=True):
            self._town.clock.later(wait, self.booted, build, place)
        self._town.clock.later(max(waits, default=0.0) + 1e-6, then)

    def booted(self, build: int, place: int) -> None:
        self._town.launch(build, place, True)

    def moved(self, build: int, stage: int, phase: str) -> None:
        """What the platform does when the desk has moved a build."""
        count, trial = self._town.day.units.count, self._town.day.service.trial
        if phase == "trial":
            have = {machine.place for machine in self._town.of(build)}
            needed = -int(-(trial.shares[stage] * count - 1e-6) // 1)
            places = [place for place in range(count) if place not in have][: max(0, needed - len(have))]

            def run() -> None:
                self.share_slowness()
                self._town.desk.machines_run(build, stage)
                if trial.in_place:
                    for machine in list(self._town.machines.values()):
                        if machine.life.build.number < build and machine.place in places:
                            self._town.clock.tell(self._town.drain(machine, 0.5))

            self.start_build(build, places, run)
        elif phase == "released":
            self.share_slowness()
            for machine in list(self._town.machines.values()):
                if machine.life.build.number < build:
                    self._town.clock.tell(self._town.drain(machine, 0.5))
        elif phase in ("recall", "reverting"):
            earlier = max(number for number in self._town.builds if number < build)
            have = {
                m.place for m in self._town.machines.values() if m.up and not m.leaving and m.life.build.number < build
            }
            missing = [place for place in range(count) if place not in have]
            if phase == "recall":
                late = self._town.day.roster.late_ms / 1000 + 0.3
                self.start_build(earlier, missing, lambda: self._town.clock.later(late, self._town.desk.back))
                return

            def off() -> None:
                for machine in self._town.of(build):
                    self._town.clock.tell(self._town.drain(machine, 0.2))
                wait = self._town.day.service.duties.drain_grace_ms / 1000 + 0.2
                self._town.clock.later(wait, self.rolled_back, build)

            if missing:
                self.start_build(earlier, missing, off)
            else:
                off()

    def rolled_back(self, build: int) -> None:
        self.share_slowness()
        self._town.desk.gone_back(build)

    def share_slowness(self) -> None:
        every = [machine for machine in self._town.machines.values() if machine.up and not machine.leaving]
        mine = sum(machine.life.build.strength for machine in every if machine.life.build.bad == "shared")
        for machine in every:
            machine.shared = 1 + 4 * mine / max(1, len(every))
