"""Replica processes under faults: killed, stopped and continued, restarted without their store, or cut off.

With a majority, changes are still made; none is made twice and none is lost.
"""

from __future__ import annotations

import asyncio
import signal
import unittest

from lanelead.configuration.commands import submit_proposal
from lanelead.protocols.configuration import RejectedProposal
from tests.http_relay_environment import run_on_uvloop
from tests.replica_processes import replica_processes
from tests.simulated_replicas import proposal


class Faults(unittest.TestCase):
    """One kind of fault in each test."""

    @run_on_uvloop
    async def test_changes_go_on_without_a_killed_replica_and_it_catches_up(self) -> None:
        async with replica_processes() as replicas:
            await replicas.commit_proposal("before-it", 0)
            await replicas.kill(0)
            await replicas.commit_proposal("without-it", 0, 1)
            await replicas.start(0)
            await replicas.commit_proposal("with-it-again", 0)
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_a_replica_is_killed_during_changes(self) -> None:
        async with replica_processes() as replicas:
            some = [
                asyncio.create_task(replicas.commit_proposal(f"change-{n}", n % 3, (n + 1) % 3, (n + 2) % 3))
                for n in range(12)
            ]
            await asyncio.sleep(0.05)
            await replicas.kill(1)
            await asyncio.sleep(0.3)
            await replicas.start(1)
            await asyncio.gather(*some)
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_all_replicas_killed_at_once_lose_nothing(self) -> None:
        async with replica_processes() as replicas:
            for number in range(3):
                await replicas.commit_proposal(f"change-{number}", number)
            await asyncio.gather(*(replicas.kill(number) for number in range(3)))
            await asyncio.gather(*(replicas.start(number) for number in range(3)))
            await replicas.wait_until_voting(0, 1, 2)
            await replicas.commit_proposal("after-it", 2)
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_a_replica_is_stopped_and_continued(self) -> None:
        async with replica_processes() as replicas:
            await replicas.commit_proposal("before-it", 2)
            replicas.signal(2, signal.SIGSTOP)
            for number in range(3):
                await replicas.commit_proposal(f"meanwhile-{number}", number % 2)
            replicas.signal(2, signal.SIGCONT)
            await replicas.commit_proposal("woken-again", 2)
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_replicas_restarted_without_their_store_one_after_another(self) -> None:
        async with replica_processes() as replicas:
            await replicas.commit_proposal("at-first", 0)
            for number in range(3):
                await replicas.kill(number)
                await replicas.start(number, empty=True)
                while (await replicas.status(number)).committed_version < 1:
                    await asyncio.sleep(0.05)
                self.assertTrue((await replicas.status(number)).non_voting)
                await replicas.commit_proposal(f"one-later-{number}", (number + 1) % 3)
                await replicas.commit_proposal(f"two-later-{number}", (number + 2) % 3)
                await replicas.wait_until_voting(number)
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_five_voters_go_on_without_two_and_reject_without_three(self) -> None:
        async with replica_processes(5) as replicas:
            await replicas.commit_proposal("with-all", 0)
            await asyncio.gather(replicas.kill(3), replicas.kill(4))
            await replicas.commit_proposal("without-two", 0)
            replicas.signal(2, signal.SIGSTOP)
            answer = await submit_proposal(replicas.at(0, 1), proposal("without-three", "tenant/without-three"), 2.0)
            assert isinstance(answer, RejectedProposal)
            self.assertIn(answer.reason, ("unknown", "abstains"))
            replicas.signal(2, signal.SIGCONT)
            await replicas.commit_proposal("without-three", 1)
            await asyncio.gather(replicas.start(3, empty=True), replicas.start(4))
            await replicas.commit_proposal("all-again", 4)
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_links_cut_one_way_cut_both_ways_and_broken(self) -> None:
        async with replica_processes() as replicas:
            await replicas.commit_proposal("at-first", 0)
            replicas.links.cut([0], [1, 2], one_way=True)
            await replicas.commit_proposal("cut-one-way", 1)
            replicas.links.cut([0], [1, 2])
            await replicas.commit_proposal("both-ways", 2)
            alone = await submit_proposal(replicas.at(0), proposal("alone-here"), 3.0)
            self.assertIsInstance(alone, RejectedProposal)
            for number in (1, 2):
                replicas.links.directions[number, 0].cut = replicas.links.directions[0, number].cut = False
                replicas.links.directions[0, number].break_after = 150
            await replicas.commit_proposal("in-the-middle", 1, 2)
            replicas.links.heal()
            await replicas.commit_proposal("healed-again", 0)
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_two_proposers_of_one_change_with_half_a_second_of_delay(self) -> None:
        async with replica_processes(4, voters=3) as replicas:
            for direction in replicas.links.directions.values():
                direction.delay = 0.5
            first, second = await asyncio.gather(
                replicas.commit_proposal("the-same-one", 0, 1), replicas.commit_proposal("the-same-one", 3, 2)
            )
            self.assertEqual(first, second)
            replicas.links.heal()
            await replicas.wait_for_agreement()

    @run_on_uvloop
    async def test_a_replica_that_lacks_more_than_the_log_fetches_a_snapshot(self) -> None:
        async with replica_processes() as replicas:
            await replicas.kill(2)
            for number in range(52):
                await replicas.commit_proposal(f"change-{number}", number % 2)
            await replicas.start(2)
            while (await replicas.status(2)).committed_version < 52:
                await asyncio.sleep(0.05)
            self.assertEqual((await replicas.status(0)).digest, (await replicas.status(2)).digest)
