"""Injects the faults of a scenario's script: each starts at its time, lasts and ends."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING

from lanelead.settings.scenario_settings import ScenarioEvent

if TYPE_CHECKING:
    from lanelead.testbed.scenarios.processes import EndpointProcess
    from lanelead.testbed.scenarios.runner import ScenarioRunner

CLIENT_EVENTS = (
    "burst",
    "member_burst",
    "hot_key",
    "hot_caller",
    "heavy_tail",
    "haste",
    "bad_requests",
    "slow_lane",
    "give_up",
    "retry_abuse",
)
RELAY_EVENTS = ("relay_kill", "relay_stop", "relay_roll")


class ScheduledEvents:
    """Runs a script's events on a scenario's processes."""

    def __init__(self, runner: ScenarioRunner, rng: Random) -> None:
        self._runner = runner
        self._rng = rng
        self._feed_faults: dict[str, Callable[[ScenarioEvent], Awaitable[None]]] = {
            "roster_away": self._discovery_away,
            "desk_away": self._rollout_platform_away,
            "desk_mute": self._rollout_platform_mute,
            "desk_stale": self._rollout_platform_stale,
            "peers_lost": self._datagrams_lost,
        }

    async def run(self, event: ScenarioEvent) -> None:
        """Wait for an event's time, and run it to its end."""
        runner = self._runner
        await runner.until(event.at)
        runner.tap.note("event", kind=event.kind, for_=event.for_, size=event.size, count=event.count)
        runner.report(f"{event.kind}, for {event.for_:g} s")
        if event.kind.startswith("zone_"):
            endpoints = runner.fleet.of_zone(event.zone or "", event.part)
            await asyncio.gather(*(self._zone_fault(event, endpoint) for endpoint in endpoints))
        elif event.kind in CLIENT_EVENTS:
            await self._client_fault(event)
        elif event.kind in RELAY_EVENTS:
            await self._relay_fault(event)
        elif event.kind in self._feed_faults:
            await self._feed_faults[event.kind](event)
        else:
            endpoints = runner.fleet.choose(event.count, event.unit)
            await asyncio.gather(*(self._endpoint_fault(event, endpoint) for endpoint in endpoints))

    async def _endpoint_fault(self, event: ScenarioEvent, endpoint: EndpointProcess) -> None:
        fleet = self._runner.fleet
        match event.kind:
            case "kill":
                await fleet.kill(endpoint, event.for_)
            case "stop":
                await fleet.stop(endpoint, event.for_)
            case "drain":
                await fleet.drain_and_return(endpoint, event.for_)
            case _:
                await fleet.fault(endpoint, event.kind, event.size, event.for_)

    async def _zone_fault(self, event: ScenarioEvent, endpoint: EndpointProcess) -> None:
        fleet = self._runner.fleet
        match event.kind:
            case "zone_lost":
                await fleet.kill(endpoint, event.for_)
            case "zone_silent":
                await fleet.stop(endpoint, event.for_)
            case _:
                await fleet.fault(endpoint, "slow", event.size, event.for_)

    async def _client_fault(self, event: ScenarioEvent) -> None:
        clients = self._runner.clients
        assert clients is not None
        parameters = {
            "kind": event.kind,
            "size": event.size,
            "extra": event.extra,
            "member": event.member,
            "lane": event.lane,
        }
        clients.order(on=True, **parameters)
        await asyncio.sleep(event.for_)
        clients.order(on=False, **parameters)

    async def _relay_fault(self, event: ScenarioEvent) -> None:
        relays = self._runner.relays
        for number in self._chosen_relays(event):
            if event.kind == "relay_stop":
                await relays.stop_for(number, event.for_)
            elif event.kind == "relay_kill":
                await relays.kill_and_restart(number, event.for_)
            else:
                await relays.kill_and_restart(number, event.size)
                await asyncio.sleep(event.for_ / self._runner.scenario.relays)

    def _chosen_relays(self, event: ScenarioEvent) -> list[int]:
        count = self._runner.scenario.relays
        if event.kind == "relay_roll":
            return list(range(count))
        return [event.relay if event.relay is not None else self._rng.randrange(count)]

    async def _discovery_away(self, event: ScenarioEvent) -> None:
        self._runner.discovery.shut()
        await asyncio.sleep(event.for_)
        await self._runner.discovery.open()

    async def _rollout_platform_away(self, event: ScenarioEvent) -> None:
        self._runner.rollout_platform.shut()
        await asyncio.sleep(event.for_)
        await self._runner.rollout_platform.open()

    async def _rollout_platform_mute(self, event: ScenarioEvent) -> None:
        self._runner.rollout_platform.mute = True
        await asyncio.sleep(event.for_)
        self._runner.rollout_platform.mute = False

    async def _rollout_platform_stale(self, event: ScenarioEvent) -> None:
        self._runner.rollout_platform.stale = event.size
        await asyncio.sleep(event.for_)
        self._runner.rollout_platform.stale = 0.0

    async def _datagrams_lost(self, event: ScenarioEvent) -> None:
        self._runner.datagrams.loss = event.size
        await asyncio.sleep(event.for_)
        self._runner.datagrams.loss = 0.0
