"""The relays of a scenario as processes: writes their settings, starts and ends them."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.emulators.event_recording import EventRecorder
from lanelead.testbed.scenarios.processes import ChildProcess

LOOPBACK = "127.0.0.1"
FEED_TIMES = {"least_wait_ms": 50, "most_wait_ms": 500, "silence_ms": 3000}
EXIT_SECONDS = 10.0
KILLED_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True)
class RelayPorts:
    """The ports of a scenario. Relays listen on `gossip`; others send to `delayed`, which forwards there late."""

    discovery: int
    rollout_platform: int
    migration_store: int
    listen: list[int]
    gossip: list[int]
    delayed: list[int]


class RelayProcesses:
    """All relays of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, seed: int, tap: EventRecorder) -> None:
        self._scenario = scenario
        self._folder = folder
        self._seed = seed
        self._tap = tap
        self.processes: dict[int, ChildProcess] = {}

    def _settings_file(self, number: int) -> Path:
        return self._folder / f"relay-{number}.cue"

    def write_settings(self, ports: RelayPorts) -> None:
        """Writes each relay's settings file."""
        for number in range(self._scenario.relays):
            settings = {"relay": self._settings(number, ports)}
            text = msgspec.json.format(msgspec.json.encode(settings), indent=2)
            self._settings_file(number).write_bytes(text)

    def _settings(self, number: int, ports: RelayPorts) -> dict[str, Any]:
        scenario = self._scenario
        zones = scenario.units.zones
        home = zones[number % len(zones)]
        others = [other for other in range(scenario.relays) if other != number]
        settings: dict[str, Any] = {
            "number": number,
            "relays": scenario.relays,
            "zone": home,
            "seed": self._seed,
            "listen": {"host": LOOPBACK, "port": ports.listen[number]},
            "service": msgspec.to_builtins(scenario.service),
            "roster": _feed(ports.discovery),
            "desk": _feed(ports.rollout_platform),
            "peers": {
                "listen": {"host": LOOPBACK, "port": ports.gossip[number]},
                "others": [{"number": other, "host": LOOPBACK, "port": ports.delayed[other]} for other in others],
            },
        }
        if scenario.steps is not None:
            settings["steps"] = _feed(ports.migration_store)
        if scenario.spill is not None:
            other_zones = [zone for zone in zones if zone != home]
            tiers = [[home], other_zones] if other_zones else [[home]]
            settings["spill"] = {"tiers": tiers, **msgspec.to_builtins(scenario.spill)}
        return settings

    async def start(self, number: int) -> None:
        """Start a relay, and return once it listens."""
        file = str(self._settings_file(number))
        if self._scenario.seam is not None:
            args = ["lanelead.testbed.emulators.seeded_faults", self._scenario.seam, file]
        else:
            args = ["lanelead", "relay", "--settings", file]
        process = await ChildProcess.start(f"relay-{number}", self._folder / f"relay-{number}.log", *args)
        await process.ready()
        self.processes[number] = process
        self._tap.note("relay_start", relay=number, pid=process.process.pid)

    async def start_all(self) -> None:
        """Start all relays at the same time."""
        await asyncio.gather(*(self.start(number) for number in range(self._scenario.relays)))

    async def stop_for(self, number: int, seconds: float) -> None:
        """Stop a relay with SIGSTOP, and resume it after some seconds."""
        process = self.processes[number]
        process.signal(signal.SIGSTOP)
        self._tap.note("relay_stop", relay=number)
        await asyncio.sleep(seconds)
        process.signal(signal.SIGCONT)
        self._tap.note("relay_cont", relay=number)

    async def kill_and_restart(self, number: int, seconds: float) -> None:
        """Kill a relay with SIGKILL, and start a new process after some seconds."""
        process = self.processes[number]
        self._tap.note("relay_kill", relay=number)
        process.signal(signal.SIGKILL)
        await process.end(KILLED_SECONDS)
        await asyncio.sleep(seconds)
        await self.start(number)

    async def end(self) -> None:
        """Send SIGTERM to all relays, and wait until they have drained."""
        for number, process in self.processes.items():
            if process.alive:
                self._tap.note("relay_term", relay=number)
                process.signal(signal.SIGTERM)
        for number, process in self.processes.items():
            code = await process.end(EXIT_SECONDS)
            self._tap.note("relay_exit", relay=number, code=code)


def _feed(port: int) -> dict[str, Any]:
    return {"address": {"host": LOOPBACK, "port": port}, **FEED_TIMES}
