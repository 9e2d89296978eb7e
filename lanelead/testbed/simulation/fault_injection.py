"""The events of a scenario's script in virtual time: faults that begin at their time, last, and end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lanelead.settings.scenario_settings import ScenarioEvent
from lanelead.testbed.simulation.clock import Story
from lanelead.testbed.simulation.simulated_endpoint import SimulatedEndpoint

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet

SOCKETS_ONLY = ("drop_idle", "few_connections", "idle_reap", "garbage")  # faults of connections: left out


def _discovery_away(town: SimulatedFleet, on: bool, size: float) -> None:
    town.discovery_away = on
    if not on:
        for host in town.hosts:
            town.send_list(host, "full", list(town.endpoint_rows.values()))


def _rollout_platform_away(town: SimulatedFleet, on: bool, size: float) -> None:
    town.desk.away = on
    if not on:
        for host in town.hosts:
            town.desk.tell(host)


def _rollout_platform_mute(town: SimulatedFleet, on: bool, size: float) -> None:
    town.desk.mute = on


def _rollout_platform_stale(town: SimulatedFleet, on: bool, size: float) -> None:
    town.desk.stale = size if on else 0.0


def _datagrams_lost(town: SimulatedFleet, on: bool, size: float) -> None:
    town.datagram_loss = size if on else 0.0


FEED_FAULTS: dict[str, Callable[[SimulatedFleet, bool, float], None]] = {
    "roster_away": _discovery_away,
    "desk_away": _rollout_platform_away,
    "desk_mute": _rollout_platform_mute,
    "desk_stale": _rollout_platform_stale,
    "peers_lost": _datagrams_lost,
}
ENDPOINT_FAULTS = (
    "slow",
    "errors",
    "neighbour",
    "refuse",
    "deaf",
    "mute",
    "cut",
    "cut_answer",
    "trickle",
    "false_reports",
)


class FaultInjector:
    """Carries out a script's events."""

    def __init__(self, town: SimulatedFleet) -> None:
        self._town = town

    def run(self, event: ScenarioEvent) -> Story:
        self._town.book.note("conductor", "event", kind=event.kind, for_=event.for_, size=event.size, count=event.count)
        kind, last = event.kind, event.for_
        if kind.startswith("zone_"):
            mine = [machine for machine in self._town.running() if machine.zone == event.zone]
            for machine in mine[: max(1, round(len(mine) * event.part))]:
                story = {"zone_lost": self._kill(machine, last), "zone_silent": self._stop(machine, last)}
                self._town.clock.tell(story.get(kind) or self._hurt(machine, "slow", event.size, last))
        elif kind in ("kill", "stop", "drain"):
            stories = {"kill": self._kill, "stop": self._stop, "drain": self._upkeep}
            for machine in self._choose(event.count, event.unit):
                self._town.clock.tell(stories[kind](machine, last))
        elif kind in ("relay_kill", "relay_stop", "relay_roll"):
            self._town.clock.tell(self._relays(event))
        elif kind in FEED_FAULTS:
            FEED_FAULTS[kind](self._town, True, event.size)
            yield last
            FEED_FAULTS[kind](self._town, False, event.size)
        elif kind in ENDPOINT_FAULTS:
            for machine in self._choose(event.count, event.unit):
                self._town.clock.tell(self._hurt(machine, kind, event.size, last))
        elif kind not in SOCKETS_ONLY:
            facts = {"kind": kind, "size": event.size, "extra": event.extra, "member": event.member, "lane": event.lane}
            self._town.demand.obey({"on": True, **facts})
            yield last
            self._town.demand.obey({"on": False, **facts})

    def _choose(self, many: int, unit: int | None) -> list[SimulatedEndpoint]:
        running = self._town.running()
        if unit is not None:
            return [machine for machine in running if machine.place == unit]
        return self._town.fleet_rng.sample(running, min(many, max(1, len(running) // 3), len(running)))

    def _kill(self, machine: SimulatedEndpoint, back: float) -> Story:
        machine.hurt = True
        machine.die()
        self._town.book.note("processes", "kill", name=machine.life.name)
        self._town.report(machine, "gone")
        yield back + self._town.day.units.boot_ms / 1000 * self._town.fleet_rng.uniform(0.5, 1.0)
        if not machine.leaving:
            self._town.launch(machine.life.build.number, machine.place, True, machine.life.name)

    def _stop(self, machine: SimulatedEndpoint, last: float) -> Story:
        machine.hurt = machine.stopped = True
        self._town.book.note("processes", "stop", name=machine.life.name)
        seen = self._town.day.roster.silent_ms / 1000
        if last > seen:
            self._town.clock.later(seen, self._town.report, machine, "gone", True, 0.0)
        yield last
        machine.hurt = machine.stopped = False
        self._town.book.note("processes", "cont", name=machine.life.name)
        machine.go_on()
        if last > seen and machine.up and not machine.leaving:
            self._town.report(machine, "ready", False)

    def _hurt(self, machine: SimulatedEndpoint, kind: str, size: float, last: float) -> Story:
        machine.hurt = True
        machine.fault(kind, size)
        yield last
        machine.mend(kind)
        machine.hurt = False

    def _upkeep(self, machine: SimulatedEndpoint, last: float) -> Story:
        machine.hurt = True
        self._town.book.note("processes", "drain", name=machine.life.name)
        self._town.report(machine, "draining", late=0.05)
        yield self._town.day.service.duties.drain_grace_ms / 1000 + 0.5
        self._town.finish(machine)
        yield max(0.2, last - 3) + self._town.day.units.boot_ms / 1000 * 0.75
        if not machine.leaving:
            self._town.launch(machine.life.build.number, machine.place, True, machine.life.name)

    def _relays(self, event: ScenarioEvent) -> Story:
        roll = event.kind == "relay_roll"
        one = event.relay if event.relay is not None else self._town.fleet_rng.randrange(self._town.day.relays)
        numbers = list(range(self._town.day.relays)) if roll else [one]
        for number in numbers:
            host = self._town.hosts[number]
            if event.kind == "relay_stop":
                host.frozen = True
                self._town.book.note("conductor", "relay_stop", relay=number)
                yield event.for_
                self._town.book.note("conductor", "relay_cont", relay=number)
                host.go_on()
                continue
            self._town.book.note("conductor", "relay_kill", relay=number)
            host.up = False
            for machine in self._town.machines.values():
                machine.idle.pop(number, None)
            for asked in list(host.asked):
                asked.reset()
            yield event.size if roll else event.for_
            yield 0.4  # a process takes a while to start
            self._town.hosts[number] = self._town.start_relay(number)
            if roll:
                yield event.for_ / len(numbers)
