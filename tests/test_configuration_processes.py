"""Relays as processes that follow machines as processes, with wires between them that fail."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
import unittest
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec

from lanelead.configuration.commands import call_replica, submit_proposal
from lanelead.protocols.configuration import AcceptedProposal, Entry, Proposal, RejectedProposal
from lanelead.protocols.configuration_replicas import ReplicaStatus
from lanelead.protocols.feeds import decode, encode
from lanelead.testbed.scenarios.processes import free_ports
from tests.faulty_tcp_links import FaultyTcpLinks
from tests.postgres_platform import SETTINGS, Platform, platform
from tests.replica_processes import ReplicaProcesses, replica_processes
from tests.scripted_endpoints import ScriptedEndpoint
from tests.town import live

MACHINES, RELAYS = 3, 6


class Fleet:
    """Three machines and six relays; relay n finds machine m over `wires.ways[MACHINES + n, m]`."""

    def __init__(self, machines: ReplicaProcesses, place: Platform) -> None:
        self.machines, self.place = machines, place
        self.wires = FaultyTcpLinks(MACHINES + RELAYS)
        self.ports = free_ports(RELAYS)
        self.processes: dict[int, asyncio.subprocess.Process] = {}

    async def start(self, number: int, quota: float = 100.0) -> None:
        config: dict[str, Any] = json.loads((self.place.folder / "config.json").read_text())
        sources = [
            {"address": self.wires.address(MACHINES + number, m), "zone": f"zone-{m}", "region": "hellas"}
            for m in range(MACHINES)
        ]
        config["settings"] = {
            **SETTINGS,
            "me": number,
            "instances": RELAYS,
            "accounts": [{"name": "m", "quotaPerS": quota, "share": 1.0}],
        }
        config |= {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.ports[number]}",
            "peer_listen": "",  # the file that is copied has one gossip port for all
            "peers": [],
            "seed": f"{number + 1:x}",
            "configuration": {"sources": sources, "zone": f"zone-{number % MACHINES}", "region": "hellas"},
        }
        file = self.place.folder / f"relay-{number}.json"
        file.write_text(json.dumps(config))
        await self.again(number, file)

    async def again(self, number: int, file: Path) -> None:
        """Starts a relay with the file as it stands."""
        with (self.place.folder / f"relay-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lanelead",
                "node",
                stdout=log,
                stderr=log,
                env={**os.environ, "NODE_CONFIG": str(file), "PYTHONPATH": os.getcwd()},
            )

    async def kill(self, number: int) -> None:
        self.processes[number].kill()
        await self.processes[number].wait()

    def log(self, number: int) -> str:
        return (self.place.folder / f"relay-{number}.log").read_text()

    async def publish(self, ident: str, entries: list[tuple[str, bytes]], *at: int) -> int:
        rows = [decode(encode({"key": key, "value": json.loads(value)}), Entry) for key, value in entries]
        answer = await submit_proposal(self.machines.at(*(at or (0, 1, 2))), Proposal(ident, rows), 20.0)
        assert isinstance(answer, AcceptedProposal), answer
        return answer.version

    async def versions(self, *machines: int) -> dict[int, int]:
        """What each relay has told that it has in force, by any of these machines."""
        found: dict[int, int] = {}
        for number in machines or range(MACHINES):
            with contextlib.suppress(Exception):
                _, body = await call_replica(self.machines.at(number)[0], "GET", b"/configuration/status", b"", 1.0)
                for row in decode(body, ReplicaStatus).relays:
                    found[row.relay] = max(found.get(row.relay, 0), row.version)
        return found

    async def in_force(self, version: int, *machines: int, relays: int = RELAYS) -> float:
        """Seconds until so many relays have told that they have it."""
        began = time.monotonic()
        while sum(v >= version for v in (await self.versions(*machines)).values()) < relays:
            await asyncio.sleep(0.05)
        return time.monotonic() - began


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    async with replica_processes(MACHINES) as machines, platform(ScriptedEndpoint("u0"), listening=False) as place:
        found = Fleet(machines, place)
        await found.wires.open([*machines.ports, *found.ports])
        first = [("tenant/m", b'{"quota_per_s":100.0,"share":1.0}')]
        await found.publish("first-of-all", first)
        try:
            await asyncio.gather(*(found.start(number) for number in range(RELAYS)))
            await found.in_force(1)
            yield found
        finally:
            for process in found.processes.values():
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await found.wires.close()


def tenant(quota: float) -> bytes:
    return b'{"quota_per_s":%f,"share":0.5}' % quota


class Processes(unittest.TestCase):
    @live
    async def test_a_change_is_in_force_everywhere_in_time_also_with_a_machine_killed(self) -> None:
        async with fleet() as all_:
            version = await all_.publish("new-tenant", [("tenant/new", tenant(5))])
            self.assertLess(await all_.in_force(version), 3.0)
            for number in range(RELAYS):
                self.assertIn("tenant/new", all_.log(number))
            await all_.machines.kill(0)
            version = await all_.publish("next-tenant", [("tenant/next", tenant(6))], 1, 2)
            self.assertLess(await all_.in_force(version, 1, 2), 3.0)
            await all_.machines.start(0, empty=True)  # it holds nothing, and takes nothing from anybody
            version = await all_.publish("third-tenant", [("tenant/third", tenant(7))], 2)
            self.assertLess(await all_.in_force(version), 3.0)
            self.assertNotIn("another history", "".join(map(all_.log, range(RELAYS))))

    @live
    async def test_a_machine_that_stands_still_and_is_woken(self) -> None:
        async with fleet() as all_:
            all_.machines.signal(0, signal.SIGSTOP)
            version = await all_.publish("stopped-one", [("tenant/a", tenant(1))], 1, 2)
            self.assertLess(await all_.in_force(version, 1, 2), 3.0)
            all_.machines.signal(0, signal.SIGCONT)
            version = await all_.publish("woken-again", [("tenant/a", tenant(2))], 0)
            self.assertLess(await all_.in_force(version), 3.0)

    @live
    async def test_ways_cut_in_one_direction_broken_and_delayed_by_two_seconds(self) -> None:
        async with fleet() as all_:
            relays = range(MACHINES, MACHINES + RELAYS)
            all_.wires.cut([1], relays, one_way=True)  # what machine 1 says comes to no relay
            version = await all_.publish("one-way-cut", [("tenant/b", tenant(1))], 1)
            self.assertLess(await all_.in_force(version), 3.0)
            all_.wires.heal()
            for relay in relays:
                all_.wires.ways[2, relay].breaks = 400
            version = await all_.publish("broken-often", [("tenant/c", tenant(1))], 0)
            self.assertLess(await all_.in_force(version), 3.0)
            all_.wires.heal()
            for relay in relays:
                all_.wires.ways[0, relay].delay = 2.0
            version = await all_.publish("delayed-by-two", [("tenant/d", tenant(1))], 0)
            await all_.in_force(version)

    @live
    async def test_all_machines_gone_relays_go_on_and_so_does_the_next_version(self) -> None:
        async with fleet() as all_:
            version = await all_.publish("before-it-all", [("tenant/new", tenant(5))])
            await all_.in_force(version)
            await asyncio.gather(*(all_.machines.kill(number) for number in range(MACHINES)))
            await asyncio.sleep(2.0)
            _, writer = await asyncio.open_connection("127.0.0.1", all_.ports[0])
            writer.close()
            await asyncio.gather(*(all_.machines.start(number) for number in range(MACHINES)))
            await all_.machines.until_voting(*range(MACHINES))
            version = await all_.publish("after-it-all", [("tenant/new", tenant(6))])
            await all_.in_force(version)
            self.assertTrue(all(process.returncode is None for process in all_.processes.values()))

    @live
    async def test_all_relays_killed_and_back_with_their_old_files(self) -> None:
        async with fleet() as all_:
            version = await all_.publish("a-change-since", [("tenant/m", tenant(7)), ("tenant/x", tenant(1))])
            await all_.in_force(version)
            await asyncio.gather(*(all_.kill(number) for number in range(RELAYS)))
            version = await all_.publish("while-away", [("tenant/m", tenant(8))])
            await asyncio.gather(*(all_.start(number) for number in range(RELAYS - 1)))
            await all_.start(RELAYS - 1, quota=3.0)  # a file of no version: only what differs is fetched
            await all_.in_force(version)

    @live
    async def test_what_is_unfit_is_refused_to_who_published_and_what_is_unknown_is_kept(self) -> None:
        async with fleet() as all_:
            bad = Proposal("one-is-bad", [Entry("tenant/bad", msgspec.Raw(b'{"quota_per_s":-1}'))])
            answer = await submit_proposal(all_.machines.at(0), bad, 5.0)
            assert isinstance(answer, RejectedProposal)
            self.assertEqual("malformed", answer.reason)
            self.assertIn("tenant/bad", answer.text)
            rows = [
                ("tenant/good", tenant(1)),
                ("later/kind", b"[1]"),
                ("class/nobody", b'{"aim_ms":5,"deadline_ms":9}'),
            ]
            version = await all_.publish("two-are-unknown", rows)
            self.assertEqual(2, version)  # the bad one made none
            await all_.in_force(version)
            for number in range(RELAYS):
                self.assertIn("values of classes that the settings do not have", all_.log(number))
