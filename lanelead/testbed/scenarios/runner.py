"""Runs a scenario: starts all processes on loopback, follows the script, and writes a recording."""

from __future__ import annotations

import asyncio
import signal
import socket
import sqlite3
from collections.abc import Callable
from contextlib import closing
from importlib.resources import files
from pathlib import Path
from random import Random

import msgspec

from lanelead.settings.migration_settings import MigrationPlan
from lanelead.settings.read import read
from lanelead.settings.scenario_settings import MigrationRun, MigrationScenario, Scenario
from lanelead.testbed.emulators.clients import ClientsOptions
from lanelead.testbed.emulators.discovery import DiscoveryServer
from lanelead.testbed.emulators.event_recording import EventRecorder, clock
from lanelead.testbed.emulators.rollout_platform import RolloutPlatformServer
from lanelead.testbed.emulators.service_model import Build
from lanelead.testbed.scenarios.datagram_delays import DatagramDelays
from lanelead.testbed.scenarios.processes import ChildProcess, EndpointFleet, free_ports
from lanelead.testbed.scenarios.relay_processes import LOOPBACK, RelayPorts, RelayProcesses
from lanelead.testbed.scenarios.scheduled_events import ScheduledEvents

CLIENTS_EXIT_SECONDS = 15.0  # time to exit after the longest request may end
PROCESS_EXIT_SECONDS = 5.0
DRAIN_SECONDS = 0.5
ROLLBACK_DRAIN_SECONDS = 0.2
LISTED_SECONDS = 0.3  # after discovery's delay, until relays have received new endpoints
SHARED_SLOWDOWN = 4.0  # added slowdown factor once such a build has the whole fleet


def plan_file(name: str) -> Path:
    """Return the file of a migration plan that comes with lanelead, or the file of that name."""
    built_in = Path(str(files("lanelead.testbed.scenarios").joinpath("plans", f"{name}.cue")))
    return built_in if built_in.exists() else Path(name)


class ScenarioRunner:
    """Everything of one scenario while it runs; `print_line` receives progress lines."""

    def __init__(self, scenario: Scenario, folder: Path, seed: int, print_line: Callable[[str], None]) -> None:
        self.scenario = scenario
        self.folder = folder
        self.seed = seed
        self._print = print_line
        self.tap = EventRecorder(folder, "conductor")
        self.relays = RelayProcesses(scenario, folder, seed, self.tap)
        self.clients: ChildProcess | None = None
        self._store: ChildProcess | None = None
        self._migration_runners: list[ChildProcess] = []
        self._began = 0.0
        self._ports = self._make_ports()
        self.discovery = DiscoveryServer(folder, self._ports.discovery, scenario.roster.late_ms / 1000)
        self.rollout_platform = RolloutPlatformServer(
            folder,
            self._ports.rollout_platform,
            scenario.service.trial,
            scenario.service.poll,
            scenario.desk.told_ms / 1000,
            scenario.desk.push_ms / 1000,
            Random(f"desk {seed}"),
            self._build_moved,
        )
        self.fleet = EndpointFleet(scenario, folder, seed, self.discovery)
        self.datagrams = DatagramDelays(Random(f"post {seed}"))
        self._events = ScheduledEvents(self, Random(f"day {seed}"))

    def _make_ports(self) -> RelayPorts:
        relays = self.scenario.relays
        ports = free_ports(3 + relays)
        return RelayPorts(
            discovery=ports[0],
            rollout_platform=ports[1],
            migration_store=ports[-1],
            listen=ports[2 : 2 + relays],
            gossip=free_ports(relays, socket.SOCK_DGRAM),
            delayed=[],
        )

    async def run(self) -> None:
        """Run the scenario to its end."""
        scenario = self.scenario
        (self.folder / "day.json").write_bytes(msgspec.json.encode(scenario))
        await self.discovery.open()
        await self.rollout_platform.open()
        try:
            await self._start_processes()
            self._began = clock()
            self.tap.note("begin", seconds=scenario.seconds, seed=self.seed)
            script = [self._offer_builds(), *(self._events.run(event) for event in scenario.events)]
            if scenario.steps is not None:
                script += [self._run_migration(run) for run in scenario.steps.runs]
            for part in script:
                self.fleet.task(part)
            longest = max(row.outer_limit_ms for row in scenario.service.lanes) / 1000
            assert self.clients is not None
            slack = 2 * scenario.slack_ms / 1000
            await self.clients.end(scenario.seconds + longest + slack + CLIENTS_EXIT_SECONDS)
            self.tap.note("end")
        finally:
            await self._close()

    async def _start_processes(self) -> None:
        scenario = self.scenario
        if scenario.steps is not None:
            await self._open_store(scenario.steps)
        await self.fleet.start_build(1, list(range(scenario.units.count)), False)
        for endpoint in self.fleet.endpoints.values():
            self.discovery.list_now(self.fleet.row(endpoint, "ready", False))
        self._ports.delayed.extend(self.datagrams.open_port(port) for port in self._ports.gossip)
        self.relays.write_settings(self._ports)
        await self.relays.start_all()
        self.clients = await self._start_clients()

    async def _start_clients(self) -> ChildProcess:
        scenario = self.scenario
        clients_config = ClientsOptions(
            str(self.folder),
            self.seed,
            scenario.seconds,
            scenario.slack_ms / 1000,
            scenario.service,
            scenario.clients,
            [(LOOPBACK, port) for port in self._ports.listen],
        )
        text = msgspec.json.encode(clients_config).decode()
        log = self.folder / "errors.log"
        clients = await ChildProcess.start("clients", log, "lanelead.testbed.emulators.clients", text)
        await clients.ready()
        return clients

    async def _close(self) -> None:
        await self.relays.end()
        if self.clients is not None:
            await self.clients.end(0.1)
        await self.fleet.close()
        processes = [*self._migration_runners, *([self._store] if self._store else [])]
        for process in processes:
            process.signal(signal.SIGTERM)
            await process.end(PROCESS_EXIT_SECONDS)
        self.datagrams.close()
        self.discovery.close()
        self.rollout_platform.close()

    async def until(self, at: float) -> None:
        """Wait until `at` seconds after the scenario's start."""
        await asyncio.sleep(max(0.0, self._began + at - clock()))

    def report(self, text: str) -> None:
        """Print a progress line with the time."""
        self._print(f"{clock() - self._began:5.1f} s  {text}")

    # Migrations

    async def _open_store(self, migrations: MigrationScenario) -> None:
        file = self.folder / "store.db"
        with closing(sqlite3.connect(file)) as db:
            db.execute("CREATE TABLE offers (id INTEGER PRIMARY KEY, op TEXT, price TEXT)")
            rows = ((f"before-{number}",) for number in range(migrations.rows))
            db.executemany("INSERT INTO offers (op, price) VALUES (?, '10.25')", rows)
            db.commit()
        for run in migrations.runs:
            plan = read(plan_file(run.plan))
            assert isinstance(plan, MigrationPlan)
            self.fleet.writes |= {row.build: row.write for row in plan.builds if row.write}
        port = self._ports.migration_store
        args = ["lanelead.testbed.emulators.migration_store", str(file), str(port), str(self.folder)]
        self._store = await ChildProcess.start("store", self.folder / "errors.log", *args)
        await self._store.ready()
        self.fleet.store = port

    async def _run_migration(self, run: MigrationRun) -> None:
        """Run one migration runner's process, and kill it on the way where the script says so."""
        await self.until(run.at)
        process = await ChildProcess.start("steps", self.folder / "steps.log", *self._migration_command(run))
        self._migration_runners.append(process)
        self.tap.note("steps", asked=run.what, plan=run.plan, pid=process.process.pid)
        self.report(f"migrations {run.what} {run.plan}")
        if run.kill_after is not None:
            await asyncio.sleep(run.kill_after)
            process.signal(signal.SIGKILL)
            self.report("migration runner killed")
        output, _ = await process.process.communicate()
        self.tap.note("steps_end", plan=run.plan, code=process.process.returncode)
        last = output.decode().strip().splitlines()[-1:] or ["nothing"]
        self.report(f"migrations {run.what} {run.plan}: {last[0]}")

    def _migration_command(self, run: MigrationRun) -> list[str]:
        target = [str(plan_file(run.plan)), "--store", f"{LOOPBACK}:{self.fleet.store}"]
        if run.what == "take":
            return ["lanelead", "migrations", "plan", *target]
        options = ["--ttl", "1", "--to", run.to, *(["--past-back"] if run.past_back else [])]
        return ["lanelead", "migrations", run.what, *target, *options]

    # Builds

    async def _offer_builds(self) -> None:
        for number, offer in enumerate(self.scenario.desk.offers, 2):
            await self.until(offer.at)
            self.fleet.builds[number] = Build(number, offer.speed, offer.bad, offer.strength, offer.lane)
            self.tap.note("offer", build=number, bad=offer.bad)
            self.report(f"build {number} is offered{' (bad)' if offer.bad else ''}")
            self.rollout_platform.offer(number)

    def _build_moved(self, build: int, stage: int, phase: str) -> None:
        self.report(f"build {build}: {phase}, stage {stage}")
        self.fleet.task(self._follow_build(build, stage, phase))

    async def _follow_build(self, build: int, stage: int, phase: str) -> None:
        """Start and drain endpoints after a build has moved, as the deployment platform does."""
        match phase:
            case "trial":
                await self._start_stage(build, stage)
            case "released":
                self._share_slowness()
                await self._drain_earlier(build, None)
            case "recall":
                await self._restore_for_recall(build)
            case "reverting":
                await self._roll_back(build)

    async def _start_stage(self, build: int, stage: int) -> None:
        fleet = self.fleet
        occupied = {endpoint.place for endpoint in fleet.endpoints_of_build(build)}
        free = [place for place in range(self.scenario.units.count) if place not in occupied]
        places = free[: fleet.needed(stage) - len(occupied)]
        await fleet.start_build(build, places, True)
        self._share_slowness()
        self.rollout_platform.endpoints_running(build, stage)
        if self.scenario.service.trial.in_place:
            await self._drain_earlier(build, set(places))

    async def _drain_earlier(self, build: int, places: set[int] | None) -> None:
        """Drain the endpoints of earlier builds at these places, or at all places."""
        fleet = self.fleet
        earlier = [
            endpoint for endpoint in fleet.endpoints.values() if endpoint.wanted and endpoint.build.number < build
        ]
        chosen = [endpoint for endpoint in earlier if places is None or endpoint.place in places]
        await asyncio.gather(*(fleet.drain(endpoint, DRAIN_SECONDS) for endpoint in chosen))

    async def _restore_for_recall(self, build: int) -> None:
        fleet = self.fleet
        earlier = max(number for number in fleet.builds if number < build)
        occupied = {endpoint.place for endpoint in fleet.endpoints_of_build(earlier)}
        missing = [place for place in range(self.scenario.units.count) if place not in occupied]
        await fleet.start_build(earlier, missing, True)
        await asyncio.sleep(self.scenario.roster.late_ms / 1000 + LISTED_SECONDS)
        self.rollout_platform.back()

    async def _roll_back(self, build: int) -> None:
        fleet = self.fleet
        occupied = {
            endpoint.place for endpoint in fleet.endpoints.values() if endpoint.wanted and endpoint.build.number < build
        }
        missing = [place for place in range(self.scenario.units.count) if place not in occupied]
        if missing:
            earlier = max(number for number in fleet.builds if number < build)
            await fleet.start_build(earlier, missing, True)
        await asyncio.gather(
            *(fleet.drain(endpoint, ROLLBACK_DRAIN_SECONDS) for endpoint in fleet.endpoints_of_build(build))
        )
        self._share_slowness()
        self.rollout_platform.rollback_finished(build)

    def _share_slowness(self) -> None:
        """Recompute how much builds with the fault `shared` slow down the whole fleet.

        Every endpoint becomes slower in proportion to the faulty endpoints' share of the fleet.
        """
        every = [endpoint for endpoint in self.fleet.endpoints.values() if endpoint.wanted]
        faulty_share = sum(endpoint.build.strength for endpoint in every if endpoint.build.bad == "shared")
        slowness = 1 + SHARED_SLOWDOWN * faulty_share / max(1, len(every))
        for endpoint in every:
            if endpoint.process is not None:
                endpoint.process.order(do="shared", size=slowness)
