"""Injects the faults of a scenario's script in virtual time: each starts at its time, lasts and ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lanelead.settings.scenario_settings import ScenarioEvent
from lanelead.testbed.simulation.clock import SimulationProcess
from lanelead.testbed.simulation.simulated_endpoint import SimulatedEndpoint

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet

# These are faults of single connections, which are not simulated.
SOCKETS_ONLY = ("drop_idle", "few_connections", "idle_reap", "garbage")


def _discovery_away(fleet: SimulatedFleet, on: bool, size: float) -> None:
    fleet.discovery_away = on
    if not on:
        for relay in fleet.relays:
            fleet.send_list(relay, "full", list(fleet.endpoint_rows.values()))


def _rollout_platform_away(fleet: SimulatedFleet, on: bool, size: float) -> None:
    fleet.rollout_platform.away = on
    if not on:
        for relay in fleet.relays:
            fleet.rollout_platform.send_state(relay)


def _rollout_platform_mute(fleet: SimulatedFleet, on: bool, size: float) -> None:
    fleet.rollout_platform.mute = on


def _rollout_platform_stale(fleet: SimulatedFleet, on: bool, size: float) -> None:
    fleet.rollout_platform.stale = size if on else 0.0


def _datagrams_lost(fleet: SimulatedFleet, on: bool, size: float) -> None:
    fleet.datagram_loss = size if on else 0.0


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
    """Runs the events of a scenario's script on a simulated fleet."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet

    def run(self, event: ScenarioEvent) -> SimulationProcess:
        """Runs one event, from the current time to its end."""
        self._fleet.recorder.note(
            "conductor", "event", kind=event.kind, for_=event.for_, size=event.size, count=event.count
        )
        kind, duration = event.kind, event.for_
        if kind.startswith("zone_"):
            in_zone = [endpoint for endpoint in self._fleet.running() if endpoint.zone == event.zone]
            for endpoint in in_zone[: max(1, round(len(in_zone) * event.part))]:
                fault_process = {
                    "zone_lost": self._kill(endpoint, duration),
                    "zone_silent": self._stop(endpoint, duration),
                }
                self._fleet.clock.run_process(
                    fault_process.get(kind) or self._inject_fault(endpoint, "slow", event.size, duration)
                )
        elif kind in ("kill", "stop", "drain"):
            fault_processes = {"kill": self._kill, "stop": self._stop, "drain": self._drain_and_return}
            for endpoint in self._choose_endpoints(event.count, event.unit):
                self._fleet.clock.run_process(fault_processes[kind](endpoint, duration))
        elif kind in ("relay_kill", "relay_stop", "relay_roll"):
            self._fleet.clock.run_process(self._disturb_relays(event))
        elif kind in FEED_FAULTS:
            FEED_FAULTS[kind](self._fleet, True, event.size)
            yield duration
            FEED_FAULTS[kind](self._fleet, False, event.size)
        elif kind in ENDPOINT_FAULTS:
            for endpoint in self._choose_endpoints(event.count, event.unit):
                self._fleet.clock.run_process(self._inject_fault(endpoint, kind, event.size, duration))
        elif kind not in SOCKETS_ONLY:
            facts = {"kind": kind, "size": event.size, "extra": event.extra, "member": event.member, "lane": event.lane}
            self._fleet.demand.obey({"on": True, **facts})
            yield duration
            self._fleet.demand.obey({"on": False, **facts})

    def _choose_endpoints(self, count: int, unit: int | None) -> list[SimulatedEndpoint]:
        running = self._fleet.running()
        if unit is not None:
            return [endpoint for endpoint in running if endpoint.place == unit]
        return self._fleet.fleet_rng.sample(running, min(count, max(1, len(running) // 3), len(running)))

    def _kill(self, endpoint: SimulatedEndpoint, downtime: float) -> SimulationProcess:
        endpoint.disturbed = True
        endpoint.kill()
        self._fleet.recorder.note("processes", "kill", name=endpoint.life.name)
        self._fleet.report(endpoint, "gone")
        yield downtime + self._fleet.day.units.boot_ms / 1000 * self._fleet.fleet_rng.uniform(0.5, 1.0)
        if not endpoint.leaving:
            self._fleet.launch(endpoint.life.build.number, endpoint.place, True, endpoint.life.name)

    def _stop(self, endpoint: SimulatedEndpoint, duration: float) -> SimulationProcess:
        endpoint.disturbed = endpoint.stopped = True
        self._fleet.recorder.note("processes", "stop", name=endpoint.life.name)
        notice_delay = self._fleet.day.roster.silent_ms / 1000
        if duration > notice_delay:
            self._fleet.clock.later(notice_delay, self._fleet.report, endpoint, "gone", True, 0.0)
        yield duration
        endpoint.disturbed = endpoint.stopped = False
        self._fleet.recorder.note("processes", "cont", name=endpoint.life.name)
        endpoint.resume()
        if duration > notice_delay and endpoint.up and not endpoint.leaving:
            self._fleet.report(endpoint, "ready", False)

    def _inject_fault(self, endpoint: SimulatedEndpoint, kind: str, size: float, duration: float) -> SimulationProcess:
        endpoint.disturbed = True
        endpoint.fault(kind, size)
        yield duration
        endpoint.mend(kind)
        endpoint.disturbed = False

    def _drain_and_return(self, endpoint: SimulatedEndpoint, duration: float) -> SimulationProcess:
        endpoint.disturbed = True
        self._fleet.recorder.note("processes", "drain", name=endpoint.life.name)
        self._fleet.report(endpoint, "draining", late=0.05)
        yield self._fleet.day.service.duties.drain_grace_ms / 1000 + 0.5
        self._fleet.finish(endpoint)
        yield max(0.2, duration - 3) + self._fleet.day.units.boot_ms / 1000 * 0.75
        if not endpoint.leaving:
            self._fleet.launch(endpoint.life.build.number, endpoint.place, True, endpoint.life.name)

    def _disturb_relays(self, event: ScenarioEvent) -> SimulationProcess:
        roll = event.kind == "relay_roll"
        one = event.relay if event.relay is not None else self._fleet.fleet_rng.randrange(self._fleet.day.relays)
        numbers = list(range(self._fleet.day.relays)) if roll else [one]
        for number in numbers:
            relay = self._fleet.relays[number]
            if event.kind == "relay_stop":
                relay.frozen = True
                self._fleet.recorder.note("conductor", "relay_stop", relay=number)
                yield event.for_
                self._fleet.recorder.note("conductor", "relay_cont", relay=number)
                relay.resume()
                continue
            self._fleet.recorder.note("conductor", "relay_kill", relay=number)
            relay.up = False
            for endpoint in self._fleet.endpoints.values():
                endpoint.idle.pop(number, None)
            for client_try in list(relay.client_tries):
                client_try.reset()
            yield event.size if roll else event.for_
            yield 0.4  # the time a relay's process takes to start
            self._fleet.relays[number] = self._fleet.start_relay(number)
            if roll:
                yield event.for_ / len(numbers)
