"""Several relays' processes as one circle, and faults on the wires between them."""

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
from lanelead.testbed.emulators.fault_proxy import Wires
from lanelead.testbed.scenarios.processes import free_ports
from tests.town import SETTINGS, live, outside

CIRCLE = """peers: {listen: port: %d, others: [%s]}
	circle: {regions: [{name: "hellas", zones: ["north"]}], seeds: [%s], period_ms: 150}"""


class Ring:
    """`many` relays, each of which finds the others over the wires, and the first by its seeds."""

    def __init__(self, many: int, folder: Path, wires: Wires, roster: int, desk: int) -> None:
        self.many, self.wires, self._folder = many, wires, folder
        self._ends, self.processes = (roster, desk), dict[int, asyncio.subprocess.Process]()
        self.ports = free_ports(many, socket.SOCK_DGRAM)
        for number, port in enumerate(self.ports):
            wires.join(number, ("127.0.0.1", port))

    async def start(self, number: int) -> None:
        finds = [(n, *self.wires.address(number, n)) for n in range(self.many) if n != number]
        others = ", ".join(f'{{number: {n}, host: "{host}", port: {port}}}' for n, host, port in finds)
        seeds = ", ".join(f'{{host: "{host}", port: {port}}}' for _, host, port in finds[:2])
        circle = CIRCLE % (self.ports[number], others, seeds)
        text = (SETTINGS.replace(", MORE", "") % self._ends).replace("//TOP", circle)
        text = text.replace("number: 0, relays: 1", f"number: {number}, relays: {self.many}")
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

    async def seen(self, number: int) -> dict[int, MemberRecord]:
        rows = await asyncio.to_thread(fetch_table, "127.0.0.1", self.ports[number], 5.0)
        return {row.number: row for row in rows}

    async def until(self, asked: Iterable[int], holds: Callable[[dict[int, MemberRecord]], bool]) -> None:
        """Waits for all of them to see it so; how long that takes is no part of the verdict."""
        for number in asked:
            async with asyncio.timeout(60):
                while not holds(await self.seen(number)):
                    await asyncio.sleep(0.05)

    async def together(self) -> None:
        all_here = dict.fromkeys(range(self.many), ALIVE)
        await self.until(range(self.many), lambda rows: {n: row.state for n, row in rows.items()} == all_here)

    def signal(self, number: int, what: signal.Signals) -> None:
        self.processes[number].send_signal(what)

    async def ended(self, number: int) -> int:
        async with asyncio.timeout(20):
            return await self.processes[number].wait()


@contextlib.asynccontextmanager
async def ring(many: int = 6) -> AsyncIterator[Ring]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with outside(folder) as (roster, desk):
            roster.list_now(Listed("u", "127.0.0.1", 1, "north", 1, "ready"))
            wires = Wires(many, 1)
            found = Ring(many, folder, wires, roster.port, desk.port)
            try:
                await asyncio.gather(*(found.start(number) for number in range(many)))
                await found.together()
                yield found
            finally:
                for process in found.processes.values():
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                    await process.wait()
                wires.close()


class Processes(unittest.TestCase):
    @live
    async def test_one_that_is_killed_is_dead_to_all_and_comes_back_as_another_life(self) -> None:
        async with ring() as circle:
            before = (await circle.seen(0))[5].started_at_ms
            circle.signal(5, signal.SIGKILL)
            await circle.until(range(5), lambda rows: rows[5].state == DEAD)
            await circle.start(5)
            await circle.together()
            self.assertGreater((await circle.seen(1))[5].started_at_ms, before)

    @live
    async def test_the_command_shows_whom_a_relay_sees_and_says_what_to_do_where_none_answers(self) -> None:
        async with ring(3) as circle:
            at = f"127.0.0.1:{circle.ports[1]}"
            found = await asyncio.to_thread(CliRunner().invoke, commands, ["members", "--at", at, "--json"])
            rows = json.loads(found.stdout)["members"]
            self.assertEqual(
                [(n, "alive", "north") for n in range(3)], [(row["number"], row["state"], row["zone"]) for row in rows]
            )
            found = await asyncio.to_thread(CliRunner().invoke, commands, ["status", "--at", at])
            self.assertEqual("hellas/north: 3 alive\n", found.stdout)
            (free,) = free_ports(1, socket.SOCK_DGRAM)
            for nobody, code in ((f"127.0.0.1:{free}", 1), ("nowhere", 2)):
                found = await asyncio.to_thread(CliRunner().invoke, commands, ["status", "--at", nobody])
                self.assertEqual(code, found.exit_code)
                self.assertIn("peers.listen", found.stderr)

    @live
    async def test_one_that_is_told_to_end_has_left_and_is_not_found_dead(self) -> None:
        async with ring() as circle:
            circle.signal(4, signal.SIGTERM)
            self.assertEqual(0, await circle.ended(4))
            await circle.until([0, 1, 2, 3, 5], lambda rows: rows[4].state == LEFT)

    @live
    async def test_one_that_is_stopped_and_goes_on_comes_back_in_the_same_life(self) -> None:
        async with ring() as circle:
            before = (await circle.seen(0))[2]
            circle.signal(2, signal.SIGSTOP)
            await circle.until([0, 1, 3], lambda rows: rows[2].state == DEAD)
            circle.signal(2, signal.SIGCONT)
            await circle.together()
            after = (await circle.seen(0))[2]
            self.assertEqual(before.started_at_ms, after.started_at_ms)
            self.assertGreater(after.incarnation, before.incarnation)

    @live
    async def test_cut_in_two_each_side_counts_itself_and_healed_all_are_together(self) -> None:
        async with ring() as circle:
            circle.wires.partition([0, 1], [2, 3, 4, 5])
            await circle.until([0, 1], lambda rows: here(rows) == {0, 1})
            await circle.until([2, 3, 4, 5], lambda rows: here(rows) == {2, 3, 4, 5})
            circle.wires.heal()
            await circle.together()

    @live
    async def test_a_bridge_that_sees_both_sides_keeps_them_together(self) -> None:
        async with ring() as circle:
            before = {n: row.started_at_ms for n, row in (await circle.seen(0)).items()}
            circle.wires.partition([0, 1, 2], [2, 3, 4, 5])
            # Asked through the bridge, all still answer: a member that dies there is known on both sides.
            circle.signal(5, signal.SIGKILL)
            await circle.until(range(5), lambda rows: rows[5].state == DEAD)
            circle.wires.heal()
            await circle.until(range(5), lambda rows: here(rows) == {0, 1, 2, 3, 4})
            self.assertEqual(before, {n: row.started_at_ms for n, row in (await circle.seen(1)).items()})

    @live
    async def test_one_that_hears_and_is_not_heard_is_dead_to_the_others_and_comes_back(self) -> None:
        async with ring() as circle:
            for link in circle.wires.each([3], range(6)):
                link.cut = True
            await circle.until([0, 1, 2, 4, 5], lambda rows: rows[3].state == DEAD)
            circle.wires.heal()
            await circle.together()
            self.assertGreater((await circle.seen(0))[3].incarnation, 0)

    @live
    async def test_all_killed_at_once_come_back_with_nothing_and_find_each_other(self) -> None:
        async with ring() as circle:
            before = await circle.seen(0)
            for number in range(6):
                circle.signal(number, signal.SIGKILL)
            for number in range(6):
                await circle.ended(number)
            await asyncio.gather(*(circle.start(number) for number in range(6)))
            await circle.together()
            after = await circle.seen(5)
            self.assertTrue(all(after[n].started_at_ms > before[n].started_at_ms for n in range(6)))

    @live
    async def test_with_letters_lost_late_and_doubled_a_dead_one_is_still_found(self) -> None:
        async with ring() as circle:
            circle.wires.set(loss=0.2, double=0.1, delay=0.002, spread=0.01)
            circle.signal(1, signal.SIGKILL)
            await circle.until([0, 2, 3, 4, 5], lambda rows: rows[1].state == DEAD)
            await circle.start(1)
            await circle.together()
            self.assertGreater(circle.wires.counts["lost"], 0)


def here(rows: dict[int, MemberRecord]) -> set[int]:
    return {number for number, row in rows.items() if not row.has_departed}


if __name__ == "__main__":
    unittest.main()
