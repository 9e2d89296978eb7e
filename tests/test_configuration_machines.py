"""Several machines as processes that are killed, stopped, woken, emptied and cut off: changes go on with a
majority, none is made twice, none is lost."""

from __future__ import annotations

import asyncio
import signal
import unittest

from lanelead.configuration.commands import submit_proposal
from lanelead.protocols.configuration import RejectedProposal
from tests.replica_processes import replica_processes
from tests.simulated_replicas import proposal
from tests.town import live


class Faults(unittest.TestCase):
    @live
    async def test_one_killed_changes_go_on_and_it_catches_up(self) -> None:
        async with replica_processes() as machines:
            await machines.makes("before-it", 0)
            await machines.kill(0)
            await machines.makes("without-it", 0, 1)
            await machines.start(0)
            await machines.makes("with-it-again", 0)
            await machines.agree()

    @live
    async def test_killed_in_the_middle_of_changes(self) -> None:
        async with replica_processes() as machines:
            some = [
                asyncio.create_task(machines.makes(f"change-{n}", n % 3, (n + 1) % 3, (n + 2) % 3)) for n in range(12)
            ]
            await asyncio.sleep(0.05)
            await machines.kill(1)
            await asyncio.sleep(0.3)
            await machines.start(1)
            await asyncio.gather(*some)
            await machines.agree()

    @live
    async def test_all_killed_at_once_lose_nothing(self) -> None:
        async with replica_processes() as machines:
            for number in range(3):
                await machines.makes(f"change-{number}", number)
            await asyncio.gather(*(machines.kill(number) for number in range(3)))
            await asyncio.gather(*(machines.start(number) for number in range(3)))
            await machines.until_voting(0, 1, 2)
            await machines.makes("after-it", 2)
            await machines.agree()

    @live
    async def test_one_stopped_and_woken(self) -> None:
        async with replica_processes() as machines:
            await machines.makes("before-it", 2)
            machines.signal(2, signal.SIGSTOP)
            for number in range(3):
                await machines.makes(f"meanwhile-{number}", number % 2)
            machines.signal(2, signal.SIGCONT)
            await machines.makes("woken-again", 2)
            await machines.agree()

    @live
    async def test_restarted_empty_one_by_one(self) -> None:
        async with replica_processes() as machines:
            await machines.makes("at-first", 0)
            for number in range(3):
                await machines.kill(number)
                await machines.start(number, empty=True)
                while (await machines.status(number)).committed_version < 1:
                    await asyncio.sleep(0.05)
                self.assertTrue((await machines.status(number)).non_voting)
                await machines.makes(f"one-later-{number}", (number + 1) % 3)
                await machines.makes(f"two-later-{number}", (number + 2) % 3)
                await machines.until_voting(number)
            await machines.agree()

    @live
    async def test_five_go_on_without_two_and_say_so_where_a_third_is_stopped(self) -> None:
        async with replica_processes(5) as machines:
            await machines.makes("with-all", 0)
            await asyncio.gather(machines.kill(3), machines.kill(4))
            await machines.makes("without-two", 0)
            machines.signal(2, signal.SIGSTOP)
            answer = await submit_proposal(machines.at(0, 1), proposal("without-three", "tenant/without-three"), 2.0)
            assert isinstance(answer, RejectedProposal)
            self.assertIn(answer.reason, ("unknown", "abstains"))
            machines.signal(2, signal.SIGCONT)
            await machines.makes("without-three", 1)
            await asyncio.gather(machines.start(3, empty=True), machines.start(4))
            await machines.makes("all-again", 4)
            await machines.agree()

    @live
    async def test_cut_off_one_way_and_both_ways_and_broken_in_the_middle(self) -> None:
        async with replica_processes() as machines:
            await machines.makes("at-first", 0)
            machines.wires.cut([0], [1, 2], one_way=True)
            await machines.makes("cut-one-way", 1)
            machines.wires.cut([0], [1, 2])
            await machines.makes("both-ways", 2)
            alone = await submit_proposal(machines.at(0), proposal("alone-here"), 3.0)
            self.assertIsInstance(alone, RejectedProposal)
            for number in (1, 2):
                machines.wires.ways[number, 0].cut = machines.wires.ways[0, number].cut = False
                machines.wires.ways[0, number].breaks = 150
            await machines.makes("in-the-middle", 1, 2)
            machines.wires.heal()
            await machines.makes("healed-again", 0)
            await machines.agree()

    @live
    async def test_half_a_second_on_each_way_and_two_proposers(self) -> None:
        async with replica_processes(4, voters=3) as machines:
            for way in machines.wires.ways.values():
                way.delay = 0.5
            first, second = await asyncio.gather(
                machines.makes("the-same-one", 0, 1), machines.makes("the-same-one", 3, 2)
            )
            self.assertEqual(first, second)
            machines.wires.heal()
            await machines.agree()

    @live
    async def test_one_that_lacks_more_than_the_log_takes_a_snapshot(self) -> None:
        async with replica_processes() as machines:
            await machines.kill(2)
            for number in range(52):
                await machines.makes(f"change-{number}", number % 2)
            await machines.start(2)
            while (await machines.status(2)).committed_version < 52:
                await asyncio.sleep(0.05)
            self.assertEqual((await machines.status(0)).digest, (await machines.status(2)).digest)
