"""Plays a day: starts everything on loopback, follows the script, leaves a capture behind."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sqlite3
from collections.abc import Awaitable, Callable
from importlib.resources import files
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from lanelead.settings import records
from lanelead.settings.read import read
from lanelead.testbed.emulators.clients import Crowd
from lanelead.testbed.emulators.discovery import Roster
from lanelead.testbed.emulators.event_recording import Tap, clock
from lanelead.testbed.emulators.rollout_platform import Desk
from lanelead.testbed.emulators.service_model import Build
from lanelead.testbed.scenarios.processes import Fleet, Machine, Process, free_ports

AT_CLIENTS = (
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


def plan_file(name: str) -> Path:
    """A plan that comes with lanelead, or a file."""
    ours = Path(str(files("lanelead.testbed.scenarios").joinpath("plans", f"{name}.cue")))
    return ours if ours.exists() else Path(name)


class Post:
    """Carries datagrams between relays, late, and loses some on demand."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.loss = 0.0
        self._socks: list[socket.socket] = []

    def box(self, receiver: int) -> int:
        """A port of its own for one receiver; what comes there goes on to it."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        asyncio.get_running_loop().add_reader(sock, self._came, sock, ("127.0.0.1", receiver))
        self._socks.append(sock)
        return int(sock.getsockname()[1])

    def _came(self, sock: socket.socket, to: tuple[str, int]) -> None:
        while True:
            try:
                data = sock.recv(2048)
            except OSError:
                return
            if self._rng.random() >= self.loss:
                loop = asyncio.get_running_loop()
                loop.call_later(self._rng.uniform(0.002, 0.014), self._go, sock, data, to)

    @staticmethod
    def _go(sock: socket.socket, data: bytes, to: tuple[str, int]) -> None:
        with contextlib.suppress(OSError):  # the receiver is gone: such messages may be lost
            sock.sendto(data, to)

    def close(self) -> None:
        for sock in self._socks:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


class Stage:
    """Everything of one day while it is played."""

    def __init__(self, day: records.Day, folder: Path, seed: int, say: Callable[[str], None]) -> None:
        self.day, self.folder, self.seed, self._say = day, folder, seed, say
        self._rng = Random(f"day {seed}")
        self.tap = Tap(folder, "conductor")
        self.relays: dict[int, Process] = {}
        self._files: dict[int, Path] = {}
        self.clients: Process | None = None
        self.store: Process | None = None
        self._runners: list[Process] = []
        self._began = 0.0

    async def run(self) -> None:
        day = self.day
        (self.folder / "day.json").write_bytes(msgspec.json.encode(day))
        ports = free_ports(3 + day.relays)
        letters = free_ports(day.relays, socket.SOCK_DGRAM)
        self.roster = Roster(self.folder, ports[0], day.roster.late_ms / 1000)
        self.desk = Desk(
            self.folder,
            ports[1],
            day.service.trial,
            day.service.poll,
            day.desk.told_ms / 1000,
            day.desk.push_ms / 1000,
            Random(f"desk {self.seed}"),
            self._moved,
        )
        self.fleet = Fleet(day, self.folder, self.seed, self.roster)
        self.post = Post(Random(f"post {self.seed}"))
        await self.roster.open()
        await self.desk.open()
        try:
            if day.steps is not None:
                await self._open_store(day.steps, ports[-1])
            await self.fleet.start_build(1, list(range(day.units.count)), False)
            for machine in self.fleet.machines.values():
                self.roster.list_now(self.fleet.row(machine, "ready", False))
            boxes = [self.post.box(port) for port in letters]
            addresses = [("127.0.0.1", port) for port in ports[2 : 2 + day.relays]]
            for number in range(day.relays):
                self._write(number, ports, letters, boxes)
            await asyncio.gather(*(self.start_relay(number) for number in range(day.relays)))
            crowd = Crowd(
                str(self.folder),
                self.seed,
                day.seconds,
                day.slack_ms / 1000,
                day.service,
                day.clients,
                addresses,
            )
            self.clients = await Process.start(
                "clients",
                self.folder / "errors.log",
                "lanelead.testbed.emulators.clients",
                msgspec.json.encode(crowd).decode(),
            )
            await self.clients.ready()
            self._began = clock()
            self.tap.note("begin", seconds=day.seconds, seed=self.seed)
            script = [self._offers(), *(self._event(event) for event in day.events)]
            script += [self._steps(run) for run in (day.steps.runs if day.steps else [])]
            for part in script:
                self.fleet.task(part)
            longest = max(request_class.outer_limit_ms for request_class in day.service.lanes) / 1000
            await self.clients.end(day.seconds + longest + 2 * day.slack_ms / 1000 + 15)
            self.tap.note("end")
        finally:
            await self._close()

    async def _close(self) -> None:
        for number, relay in self.relays.items():
            if relay.alive:
                self.tap.note("relay_term", relay=number)
                relay.signal(signal.SIGTERM)
        for number, relay in self.relays.items():
            code = await relay.end(10)
            self.tap.note("relay_exit", relay=number, code=code)
        if self.clients is not None:
            await self.clients.end(0.1)
        await self.fleet.close()
        for process in (*self._runners, *([self.store] if self.store else [])):
            process.signal(signal.SIGTERM)
            await process.end(5)
        self.post.close()
        self.roster.close()
        self.desk.close()

    # Relays

    def _write(self, number: int, ports: list[int], letters: list[int], boxes: list[int]) -> None:
        day, host = self.day, "127.0.0.1"
        zones = day.units.zones
        feed = {"least_wait_ms": 50, "most_wait_ms": 500, "silence_ms": 3000}
        settings = {
            "relay": {
                "number": number,
                "relays": day.relays,
                "zone": zones[number % len(zones)],
                "seed": self.seed,
                "listen": {"host": host, "port": ports[2 + number]},
                "service": msgspec.to_builtins(day.service),
                "roster": {"address": {"host": host, "port": ports[0]}, **feed},
                "desk": {"address": {"host": host, "port": ports[1]}, **feed},
                "peers": {
                    "listen": {"host": host, "port": letters[number]},
                    "others": [
                        {"number": other, "host": host, "port": boxes[other]}
                        for other in range(day.relays)
                        if other != number
                    ],
                },
            }
        }
        if day.steps is not None:
            settings["relay"]["steps"] = {"address": {"host": host, "port": ports[-1]}, **feed}
        if day.spill is not None:
            mine = zones[number % len(zones)]
            others = [zone for zone in zones if zone != mine]
            spill = {"tiers": [[mine], *([others] if others else [])], **msgspec.to_builtins(day.spill)}
            settings["relay"]["spill"] = spill
        self._files[number] = self.folder / f"relay-{number}.cue"
        self._files[number].write_bytes(msgspec.json.format(msgspec.json.encode(settings), indent=2))

    async def start_relay(self, number: int) -> None:
        file, errors = str(self._files[number]), self.folder / f"relay-{number}.log"
        if self.day.seam is not None:
            args = ["lanelead.testbed.emulators.seeded_faults", self.day.seam, file]
        else:
            args = ["lanelead", "relay", "--settings", file]
        relay = await Process.start(f"relay-{number}", errors, *args)
        await relay.ready()
        self.relays[number] = relay
        self.tap.note("relay_start", relay=number, pid=relay.process.pid)

    # Steps

    async def _open_store(self, steps: records.StepsOfDay, port: int) -> None:
        file, day = self.folder / "store.db", self.folder
        db = sqlite3.connect(file)
        db.execute("CREATE TABLE offers (id INTEGER PRIMARY KEY, op TEXT, price TEXT)")
        rows = ((f"before-{n}",) for n in range(steps.rows))
        db.executemany("INSERT INTO offers (op, price) VALUES (?, '10.25')", rows)
        db.commit()
        db.close()
        for run in steps.runs:
            plan = read(plan_file(run.plan))
            assert isinstance(plan, records.Steps)
            self.fleet.writes |= {demands.build: demands.write for demands in plan.builds if demands.write}
        args = ["lanelead.testbed.emulators.migration_store", str(file), str(port), str(day)]
        self.store = await Process.start("store", day / "errors.log", *args)
        await self.store.ready()
        self.fleet.store = port

    async def _steps(self, run: records.StepsRun) -> None:
        """One runner's process, killed on the way where the script says so."""
        await self._until(run.at)
        words = [str(plan_file(run.plan)), "--store", f"127.0.0.1:{self.fleet.store}"]
        args = ["lanelead", "steps", "plan" if run.what == "take" else run.what, *words]
        if run.what != "take":
            args += ["--ttl", "1", "--to", run.to, *(["--past-back"] if run.past_back else [])]
        process = await Process.start("steps", self.folder / "steps.log", *args)
        self._runners.append(process)
        self.tap.note("steps", asked=run.what, plan=run.plan, pid=process.process.pid)
        self._say(f"{clock() - self._began:5.1f} s  steps {run.what} {run.plan}")
        if run.kill_after is not None:
            await asyncio.sleep(run.kill_after)
            process.signal(signal.SIGKILL)
            self._say(f"{clock() - self._began:5.1f} s  its runner is killed")
        said, _ = await process.process.communicate()
        self.tap.note("steps_end", plan=run.plan, code=process.process.returncode)
        last = said.decode().strip().splitlines()[-1:] or ["nothing"]
        self._say(f"{clock() - self._began:5.1f} s  steps {run.what} {run.plan}: {last[0]}")

    # Builds

    async def _offers(self) -> None:
        for number, offer in enumerate(self.day.desk.offers, 2):
            await self._until(offer.at)
            self.fleet.builds[number] = Build(number, offer.speed, offer.bad, offer.strength, offer.lane)
            self.tap.note("offer", build=number, bad=offer.bad)
            self._say(f"{clock() - self._began:5.1f} s  build {number} is offered{' (bad)' if offer.bad else ''}")
            self.desk.offer(number)

    def _moved(self, build: int, stage: int, phase: str) -> None:
        self._say(f"{clock() - self._began:5.1f} s  build {build}: {phase}, stage {stage}")
        self.fleet.task(self._follow(build, stage, phase))

    async def _follow(self, build: int, stage: int, phase: str) -> None:
        """What the platform does when the desk has moved a build."""
        fleet, count = self.fleet, self.day.units.count
        if phase == "trial":
            have = {machine.place for machine in fleet.of(build)}
            places = [place for place in range(count) if place not in have][: fleet.needed(stage) - len(have)]
            await fleet.start_build(build, places, True)
            self._share_slowness()
            self.desk.machines_run(build, stage)
            if self.day.service.trial.in_place:
                new = set(places)
                old = [m for m in fleet.machines.values() if m.wanted and m.build.number < build and m.place in new]
                await asyncio.gather(*(fleet.drain(machine, 0.5) for machine in old))
        elif phase == "released":
            self._share_slowness()
            old = [machine for machine in fleet.machines.values() if machine.wanted and machine.build.number < build]
            await asyncio.gather(*(fleet.drain(machine, 0.5) for machine in old))
        elif phase == "recall":
            earlier = max(number for number in fleet.builds if number < build)
            have = {machine.place for machine in fleet.of(earlier)}
            await fleet.start_build(earlier, [place for place in range(count) if place not in have], True)
            await asyncio.sleep(self.day.roster.late_ms / 1000 + 0.3)
            self.desk.back()
        elif phase == "reverting":
            have = {m.place for m in fleet.machines.values() if m.wanted and m.build.number < build}
            missing = [place for place in range(count) if place not in have]
            if missing:
                earlier = max(number for number in fleet.builds if number < build)
                await fleet.start_build(earlier, missing, True)
            await asyncio.gather(*(fleet.drain(machine, 0.2) for machine in fleet.of(build)))
            self._share_slowness()
            self.desk.gone_back(build)

    # Events

    def _share_slowness(self) -> None:
        """A build that is bad by 'shared' slows all units, old and new, in step with its part of the
        fleet."""
        every = [machine for machine in self.fleet.machines.values() if machine.wanted]
        mine = sum(machine.build.strength for machine in every if machine.build.bad == "shared")
        slowness = 1 + 4 * mine / max(1, len(every))
        for machine in every:
            if machine.process is not None:
                machine.process.order(do="shared", size=slowness)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._began + at - clock()))

    async def _event(self, event: records.Event) -> None:
        await self._until(event.at)
        self.tap.note("event", kind=event.kind, for_=event.for_, size=event.size, count=event.count)
        self._say(f"{clock() - self._began:5.1f} s  {event.kind}, for {event.for_:g} s")
        fleet = self.fleet
        actions: dict[str, Callable[[Any], Awaitable[None]]] = {
            "kill": lambda machine: fleet.kill(machine, event.for_),
            "stop": lambda machine: fleet.stop(machine, event.for_),
            "drain": lambda machine: fleet.drain_and_return(machine, event.for_),
        }
        if event.kind.startswith("zone_"):
            await asyncio.gather(*(self._zone_event(event, m) for m in fleet.of_zone(event.zone or "", event.part)))
        elif event.kind in actions:
            await asyncio.gather(*(actions[event.kind](m) for m in fleet.choose(event.count, event.unit)))
        elif event.kind in AT_CLIENTS:
            assert self.clients is not None
            facts = {
                "kind": event.kind,
                "size": event.size,
                "extra": event.extra,
                "member": event.member,
                "lane": event.lane,
            }
            self.clients.order(on=True, **facts)
            await asyncio.sleep(event.for_)
            self.clients.order(on=False, **facts)
        elif event.kind in ("relay_kill", "relay_stop", "relay_roll"):
            await self._relays(event)
        elif event.kind == "roster_away":
            self.roster.shut()
            await asyncio.sleep(event.for_)
            await self.roster.open()
        elif event.kind == "desk_away":
            self.desk.shut()
            await asyncio.sleep(event.for_)
            await self.desk.open()
        elif event.kind == "desk_mute":
            self.desk.mute = True
            await asyncio.sleep(event.for_)
            self.desk.mute = False
        elif event.kind == "desk_stale":
            self.desk.stale = event.size
            await asyncio.sleep(event.for_)
            self.desk.stale = 0.0
        elif event.kind == "peers_lost":
            self.post.loss = event.size
            await asyncio.sleep(event.for_)
            self.post.loss = 0.0
        else:
            machines = fleet.choose(event.count, event.unit)
            await asyncio.gather(*(fleet.fault(machine, event.kind, event.size, event.for_) for machine in machines))

    async def _zone_event(self, event: records.Event, machine: Machine) -> None:
        fleet = self.fleet
        if event.kind == "zone_lost":
            await fleet.kill(machine, event.for_)
        elif event.kind == "zone_silent":
            await fleet.stop(machine, event.for_)
        else:
            await fleet.fault(machine, "slow", event.size, event.for_)

    async def _relays(self, event: records.Event) -> None:
        numbers = (
            list(range(self.day.relays))
            if event.kind == "relay_roll"
            else [event.relay if event.relay is not None else self._rng.randrange(self.day.relays)]
        )
        for number in numbers:
            relay = self.relays[number]
            if event.kind == "relay_stop":
                relay.signal(signal.SIGSTOP)
                self.tap.note("relay_stop", relay=number)
                await asyncio.sleep(event.for_)
                relay.signal(signal.SIGCONT)
                self.tap.note("relay_cont", relay=number)
                continue
            self.tap.note("relay_kill", relay=number)
            relay.signal(signal.SIGKILL)
            await relay.end(5)
            await asyncio.sleep(event.for_ if event.kind == "relay_kill" else event.size)
            await self.start_relay(number)
            if event.kind == "relay_roll":
                await asyncio.sleep(event.for_ / len(numbers))
