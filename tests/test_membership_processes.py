"""Membership of several relay processes whose datagrams pass through a fault proxy."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator, Callable, Iterable
from pathlib import Path

from click.testing import CliRunner

from lanelead.membership.commands import fetch_table
from lanelead.membership.commands import membership as commands
from lanelead.membership.messages import ALIVE, DEAD, LEFT, MemberRecord
from lanelead.protocols.feeds import EndpointMessage as Listed
from lanelead.testbed.emulators.fault_proxy import FaultProxy
from lanelead.testbed.scenarios.processes import free_ports
from tests.http_relay_environment import SETTINGS, outside, run_on_uvloop

MEMBERSHIP_SETTINGS = """peers: {listen: port: %d, others: [%s]}
	circle: {regions: [{name: "hellas", zones: ["north"]}], seeds: [%s], period_ms: 150}"""


class RelayGroup:
    """`count` relay processes; each reaches the others through the fault proxy, and has the first two as seeds."""

    def __init__(self, count: int, folder: Path, wires: FaultProxy, roster: int, desk: int) -> None:
        self.count, self.wires, self._folder = count, wires, folder
        self._feed_ports, self.processes = (roster, desk), dict[int, asyncio.subprocess.Process]()
        self.ports = free_ports(count, socket.SOCK_DGRAM)
        for number, port in enumerate(self.ports):
            wires.join(number, ("127.0.0.1", port))

    async def start(self, number: int) -> None:
        peers = [(n, *self.wires.address(number, n)) for n in range(self.count) if n != number]
        others = ", ".join(f'{{number: {n}, host: "{host}", port: {port}}}' for n, host, port in peers)
        seeds = ", ".join(f'{{host: "{host}", port: {port}}}' for _, host, port in peers[:2])
        membership = MEMBERSHIP_SETTINGS % (self.ports[number], others, seeds)
        text = (SETTINGS.replace(", MORE", "") % self._feed_ports).replace("//TOP", membership)
        text = text.replace("number: 0, relays: 1", f"number: {number}, relays: {self.count}")
        file = self._folder / f"relay-{number}.cue"
        file.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lanelead",
            "relay",
            "--settings",
            str(file),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
        )
        self.processes[number] = process
        assert process.stdout is not None
        await process.stdout.readline()

    async def fetch_records(self, number: int) -> dict[int, MemberRecord]:
        rows = await asyncio.to_thread(fetch_table, "127.0.0.1", self.ports[number], 5.0)
        return {row.number: row for row in rows}

    async def wait_for(self, relays: Iterable[int], condition: Callable[[dict[int, MemberRecord]], bool]) -> None:
        """Waits until the tables of all these relays fulfil a condition; how long it takes is not asserted."""
        for number in relays:
            async with asyncio.timeout(60):
                while not condition(await self.fetch_records(number)):
                    await asyncio.sleep(0.05)

    async def wait_until_all_alive(self) -> None:
        all_here = dict.fromkeys(range(self.count), ALIVE)
        await self.wait_for(range(self.count), lambda rows: {n: row.state for n, row in rows.items()} == all_here)

    def signal(self, number: int, signal_number: signal.Signals) -> None:
        self.processes[number].send_signal(signal_number)

    async def wait_for_exit(self, number: int) -> int:
        async with asyncio.timeout(20):
            return await self.processes[number].wait()


@contextlib.asynccontextmanager
async def relay_group(count: int = 6) -> AsyncIterator[RelayGroup]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with outside(folder) as (roster, desk):
            roster.list_now(Listed("u", "127.0.0.1", 1, "north", 1, "ready"))
            wires = FaultProxy(count, 1)
            found = RelayGroup(count, folder, wires, roster.port, desk.port)
            try:
                await asyncio.gather(*(found.start(number) for number in range(count)))
                await found.wait_until_all_alive()
                yield found
            finally:
                for process in found.processes.values():
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                    await process.wait()
                wires.close()


class Processes(unittest.TestCase):
    @run_on_uvloop
    async def test_a_killed_relay_is_declared_dead_and_returns_as_a_new_process(self) -> None:
        async with relay_group() as group:
            before = (await group.fetch_records(0))[5].started_at_ms
            group.signal(5, signal.SIGKILL)
            await group.wait_for(range(5), lambda rows: rows[5].state == DEAD)
            await group.start(5)
            await group.wait_until_all_alive()
            self.assertGreater((await group.fetch_records(1))[5].started_at_ms, before)

    @run_on_uvloop
    async def test_the_command_prints_the_members_and_explains_a_missing_response(self) -> None:
        async with relay_group(3) as group:
            at = f"127.0.0.1:{group.ports[1]}"
            found = await asyncio.to_thread(CliRunner().invoke, commands, ["members", "--at", at, "--json"])
            rows = json.loads(found.stdout)["members"]
            self.assertEqual(
                [(n, "alive", "north") for n in range(3)], [(row["number"], row["state"], row["zone"]) for row in rows]
            )
            found = await asyncio.to_thread(CliRunner().invoke, commands, ["status", "--at", at])
            self.assertEqual("hellas/north: 3 alive\n", found.stdout)
            (free,) = free_ports(1, socket.SOCK_DGRAM)
            for address, code in ((f"127.0.0.1:{free}", 1), ("nowhere", 2)):
                found = await asyncio.to_thread(CliRunner().invoke, commands, ["status", "--at", address])
                self.assertEqual(code, found.exit_code)
                self.assertIn("peers.listen", found.stderr)

    @run_on_uvloop
    async def test_a_terminated_relay_has_left_and_is_not_declared_dead(self) -> None:
        async with relay_group() as group:
            group.signal(4, signal.SIGTERM)
            self.assertEqual(0, await group.wait_for_exit(4))
            await group.wait_for([0, 1, 2, 3, 5], lambda rows: rows[4].state == LEFT)

    @run_on_uvloop
    async def test_a_suspended_relay_returns_as_the_same_process(self) -> None:
        async with relay_group() as group:
            before = (await group.fetch_records(0))[2]
            group.signal(2, signal.SIGSTOP)
            await group.wait_for([0, 1, 3], lambda rows: rows[2].state == DEAD)
            group.signal(2, signal.SIGCONT)
            await group.wait_until_all_alive()
            after = (await group.fetch_records(0))[2]
            self.assertEqual(before.started_at_ms, after.started_at_ms)
            self.assertGreater(after.incarnation, before.incarnation)

    @run_on_uvloop
    async def test_each_side_of_a_partition_has_its_own_members_and_all_merge_afterwards(self) -> None:
        async with relay_group() as group:
            group.wires.partition([0, 1], [2, 3, 4, 5])
            await group.wait_for([0, 1], lambda rows: present_numbers(rows) == {0, 1})
            await group.wait_for([2, 3, 4, 5], lambda rows: present_numbers(rows) == {2, 3, 4, 5})
            group.wires.heal()
            await group.wait_until_all_alive()

    @run_on_uvloop
    async def test_a_relay_that_reaches_both_sides_of_a_partition_keeps_them_together(self) -> None:
        async with relay_group() as group:
            before = {n: row.started_at_ms for n, row in (await group.fetch_records(0)).items()}
            group.wires.partition([0, 1, 2], [2, 3, 4, 5])
            # Indirect probes through relay 2 still reach all: the death of a relay is known on both sides.
            group.signal(5, signal.SIGKILL)
            await group.wait_for(range(5), lambda rows: rows[5].state == DEAD)
            group.wires.heal()
            await group.wait_for(range(5), lambda rows: present_numbers(rows) == {0, 1, 2, 3, 4})
            self.assertEqual(before, {n: row.started_at_ms for n, row in (await group.fetch_records(1)).items()})

    @run_on_uvloop
    async def test_a_relay_that_receives_but_can_not_send_is_declared_dead_and_returns(self) -> None:
        async with relay_group() as group:
            for link in group.wires.each([3], range(6)):
                link.cut = True
            await group.wait_for([0, 1, 2, 4, 5], lambda rows: rows[3].state == DEAD)
            group.wires.heal()
            await group.wait_until_all_alive()
            self.assertGreater((await group.fetch_records(0))[3].incarnation, 0)

    @run_on_uvloop
    async def test_relays_that_are_killed_and_restarted_at_once_find_each_other(self) -> None:
        async with relay_group() as group:
            before = await group.fetch_records(0)
            for number in range(6):
                group.signal(number, signal.SIGKILL)
            for number in range(6):
                await group.wait_for_exit(number)
            await asyncio.gather(*(group.start(number) for number in range(6)))
            await group.wait_until_all_alive()
            after = await group.fetch_records(5)
            self.assertTrue(all(after[n].started_at_ms > before[n].started_at_ms for n in range(6)))

    @run_on_uvloop
    async def test_a_dead_relay_is_detected_despite_lost_late_and_duplicated_messages(self) -> None:
        async with relay_group() as group:
            group.wires.set(loss=0.2, double=0.1, delay=0.002, spread=0.01)
            group.signal(1, signal.SIGKILL)
            await group.wait_for([0, 2, 3, 4, 5], lambda rows: rows[1].state == DEAD)
            await group.start(1)
            await group.wait_until_all_alive()
            self.assertGreater(group.wires.counts["lost"], 0)


def present_numbers(rows: dict[int, MemberRecord]) -> set[int]:
    return {number for number, row in rows.items() if not row.has_departed}


if __name__ == "__main__":
    unittest.main()
