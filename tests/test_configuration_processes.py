"""Relay processes that follow replica processes through proxies that inject faults."""

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
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import SETTINGS, Platform, platform
from tests.replica_processes import ReplicaProcesses, replica_processes
from tests.scripted_endpoints import ScriptedEndpoint

REPLICAS, RELAYS = 3, 6


class Fleet:
    """Three replicas and six relays; relay n reaches replica m over `links.directions[REPLICAS + n, m]`."""

    def __init__(self, replicas: ReplicaProcesses, relay_platform: Platform) -> None:
        self.replicas, self.relay_platform = replicas, relay_platform
        self.links = FaultyTcpLinks(REPLICAS + RELAYS)
        self.ports = free_ports(RELAYS)
        self.processes: dict[int, asyncio.subprocess.Process] = {}

    async def start(self, number: int, quota: float = 100.0) -> None:
        """Starts a relay whose settings file has this quota for tenant m."""
        config: dict[str, Any] = json.loads((self.relay_platform.folder / "config.json").read_text())
        sources = [
            {"address": self.links.address(REPLICAS + number, m), "zone": f"zone-{m}", "region": "hellas"}
            for m in range(REPLICAS)
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
            "peer_listen": "",  # the copied settings have the same gossip port for all relays
            "peers": [],
            "seed": f"{number + 1:x}",
            "configuration": {"sources": sources, "zone": f"zone-{number % REPLICAS}", "region": "hellas"},
        }
        file = self.relay_platform.folder / f"relay-{number}.json"
        file.write_text(json.dumps(config))
        await self.start_with_file(number, file)

    async def start_with_file(self, number: int, file: Path) -> None:
        """Starts a relay with an existing settings file."""
        with (self.relay_platform.folder / f"relay-{number}.log").open("ab") as log:
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
        """Kills a relay and waits for its end."""
        self.processes[number].kill()
        await self.processes[number].wait()

    def log(self, number: int) -> str:
        """The log of a relay."""
        return (self.relay_platform.folder / f"relay-{number}.log").read_text()

    async def publish(self, ident: str, entries: list[tuple[str, bytes]], *at: int) -> int:
        """Publishes entries through the first of these replicas (default: all) that accepts; returns the version."""
        rows = [decode(encode({"key": key, "value": json.loads(value)}), Entry) for key, value in entries]
        answer = await submit_proposal(self.replicas.at(*(at or (0, 1, 2))), Proposal(ident, rows), 20.0)
        assert isinstance(answer, AcceptedProposal), answer
        return answer.version

    async def versions(self, *replicas: int) -> dict[int, int]:
        """The newest version that each relay reported as applied, by these replicas, or by all."""
        versions: dict[int, int] = {}
        for number in replicas or range(REPLICAS):
            with contextlib.suppress(Exception):
                _, body = await call_replica(self.replicas.at(number)[0], "GET", b"/configuration/status", b"", 1.0)
                for row in decode(body, ReplicaStatus).relays:
                    versions[row.relay] = max(versions.get(row.relay, 0), row.version)
        return versions

    async def in_force(self, version: int, *replicas: int, relays: int = RELAYS) -> float:
        """Waits until so many relays report this version or a newer one as applied; returns the seconds."""
        began = time.monotonic()
        while sum(v >= version for v in (await self.versions(*replicas)).values()) < relays:
            await asyncio.sleep(0.05)
        return time.monotonic() - began


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[Fleet]:
    """Runs replicas and relays, and waits until all relays apply the first version."""
    async with (
        replica_processes(REPLICAS) as replicas,
        platform(ScriptedEndpoint("u0"), listening=False) as relay_platform,
    ):
        running_fleet = Fleet(replicas, relay_platform)
        await running_fleet.links.open([*replicas.ports, *running_fleet.ports])
        first = [("tenant/m", b'{"quota_per_s":100.0,"share":1.0}')]
        await running_fleet.publish("first-of-all", first)
        try:
            await asyncio.gather(*(running_fleet.start(number) for number in range(RELAYS)))
            await running_fleet.in_force(1)
            yield running_fleet
        finally:
            for process in running_fleet.processes.values():
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await running_fleet.links.close()


def tenant(quota: float) -> bytes:
    """The JSON value of a tenant."""
    return b'{"quota_per_s":%f,"share":0.5}' % quota


class Processes(unittest.TestCase):
    """Changes reach all relays under faults of replicas, links and relays."""

    @run_on_uvloop
    async def test_a_change_is_applied_by_all_relays_in_time_also_with_a_replica_killed(self) -> None:
        async with fleet() as running_fleet:
            version = await running_fleet.publish("new-tenant", [("tenant/new", tenant(5))])
            self.assertLess(await running_fleet.in_force(version), 3.0)
            for number in range(RELAYS):
                self.assertIn("tenant/new", running_fleet.log(number))
            await running_fleet.replicas.kill(0)
            version = await running_fleet.publish("next-tenant", [("tenant/next", tenant(6))], 1, 2)
            self.assertLess(await running_fleet.in_force(version, 1, 2), 3.0)
            # An empty replica must not make a relay drop its document.
            await running_fleet.replicas.start(0, empty=True)
            version = await running_fleet.publish("third-tenant", [("tenant/third", tenant(7))], 2)
            self.assertLess(await running_fleet.in_force(version), 3.0)
            self.assertNotIn("another history", "".join(map(running_fleet.log, range(RELAYS))))

    @run_on_uvloop
    async def test_a_replica_is_stopped_and_continued(self) -> None:
        async with fleet() as running_fleet:
            running_fleet.replicas.signal(0, signal.SIGSTOP)
            version = await running_fleet.publish("stopped-one", [("tenant/a", tenant(1))], 1, 2)
            self.assertLess(await running_fleet.in_force(version, 1, 2), 3.0)
            running_fleet.replicas.signal(0, signal.SIGCONT)
            version = await running_fleet.publish("woken-again", [("tenant/a", tenant(2))], 0)
            self.assertLess(await running_fleet.in_force(version), 3.0)

    @run_on_uvloop
    async def test_links_cut_in_one_direction_broken_and_delayed_by_two_seconds(self) -> None:
        async with fleet() as running_fleet:
            relays = range(REPLICAS, REPLICAS + RELAYS)
            running_fleet.links.cut([1], relays, one_way=True)  # no relay gets anything from replica 1
            version = await running_fleet.publish("one-way-cut", [("tenant/b", tenant(1))], 1)
            self.assertLess(await running_fleet.in_force(version), 3.0)
            running_fleet.links.heal()
            for relay in relays:
                running_fleet.links.directions[2, relay].break_after = 400
            version = await running_fleet.publish("broken-often", [("tenant/c", tenant(1))], 0)
            self.assertLess(await running_fleet.in_force(version), 3.0)
            running_fleet.links.heal()
            for relay in relays:
                running_fleet.links.directions[0, relay].delay = 2.0
            version = await running_fleet.publish("delayed-by-two", [("tenant/d", tenant(1))], 0)
            await running_fleet.in_force(version)

    @run_on_uvloop
    async def test_relays_keep_running_without_replicas_and_follow_them_again(self) -> None:
        async with fleet() as running_fleet:
            version = await running_fleet.publish("before-it-all", [("tenant/new", tenant(5))])
            await running_fleet.in_force(version)
            await asyncio.gather(*(running_fleet.replicas.kill(number) for number in range(REPLICAS)))
            await asyncio.sleep(2.0)
            _, writer = await asyncio.open_connection("127.0.0.1", running_fleet.ports[0])
            writer.close()
            await asyncio.gather(*(running_fleet.replicas.start(number) for number in range(REPLICAS)))
            await running_fleet.replicas.wait_until_voting(*range(REPLICAS))
            version = await running_fleet.publish("after-it-all", [("tenant/new", tenant(6))])
            await running_fleet.in_force(version)
            self.assertTrue(all(process.returncode is None for process in running_fleet.processes.values()))

    @run_on_uvloop
    async def test_all_relays_killed_and_back_with_their_old_files(self) -> None:
        async with fleet() as running_fleet:
            version = await running_fleet.publish("a-change-since", [("tenant/m", tenant(7)), ("tenant/x", tenant(1))])
            await running_fleet.in_force(version)
            await asyncio.gather(*(running_fleet.kill(number) for number in range(RELAYS)))
            version = await running_fleet.publish("while-away", [("tenant/m", tenant(8))])
            await asyncio.gather(*(running_fleet.start(number) for number in range(RELAYS - 1)))
            await running_fleet.start(RELAYS - 1, quota=3.0)  # its file is of no version: it fetches only what differs
            await running_fleet.in_force(version)

    @run_on_uvloop
    async def test_an_invalid_value_is_rejected_and_unknown_kinds_are_kept(self) -> None:
        async with fleet() as running_fleet:
            bad = Proposal("one-is-bad", [Entry("tenant/bad", msgspec.Raw(b'{"quota_per_s":-1}'))])
            answer = await submit_proposal(running_fleet.replicas.at(0), bad, 5.0)
            assert isinstance(answer, RejectedProposal)
            self.assertEqual("malformed", answer.reason)
            self.assertIn("tenant/bad", answer.text)
            rows = [
                ("tenant/good", tenant(1)),
                ("later/kind", b"[1]"),
                ("class/nobody", b'{"aim_ms":5,"deadline_ms":9}'),
            ]
            version = await running_fleet.publish("two-are-unknown", rows)
            self.assertEqual(2, version)  # the rejected proposal made no version
            await running_fleet.in_force(version)
            for number in range(RELAYS):
                self.assertIn("values of classes that the settings do not have", running_fleet.log(number))
