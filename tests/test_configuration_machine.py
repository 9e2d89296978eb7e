"""A machine's rules: signs, heads, catching up, lost disks, a first start, histories; in virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Sequence

from lanelead.configuration.agreement import Proposer
from lanelead.configuration.messages import CatchUpRequest, PeerCall
from lanelead.configuration.replica import Replica
from lanelead.configuration.replica_limits import MAX_QUEUED_PROPOSALS
from lanelead.protocols.configuration import (
    Accept,
    AcceptedProposal,
    Ballot,
    Change,
    Heartbeat,
    LogPage,
    Prepare,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import DecidedChange
from tests.simulated_replicas import SimulatedReplicas, proposal


def started(many: int = 3, seed: int = 1, voters: Sequence[int] = (), log: int = 20_000) -> SimulatedReplicas:
    world = SimulatedReplicas(many, seed, voters, log=log)
    assert world.run(10, lambda: all(world.alive(voter).votes for voter in world.voters))
    return world


def makes(world: SimulatedReplicas, number: int, ident: str, key: str = "tenant/a") -> AcceptedProposal:
    world.propose(number, proposal(ident, key))
    assert world.answered(ident, 20), f"{ident} has no answer"
    answer = world.answers[ident]
    assert isinstance(answer, AcceptedProposal), answer
    return answer


class FirstStart(unittest.TestCase):
    def test_voters_begin_once_all_have_seen_all_empty(self) -> None:
        world = SimulatedReplicas(5, 3)
        world.kill(4)
        self.assertFalse(world.run(20, lambda: any(machine.votes for machine in world.up())))
        world.start(4)
        self.assertTrue(world.run(5, lambda: all(machine.votes for machine in world.up())))

    def test_nothing_is_proposed_for_version_1_but_by_a_voter_that_votes(self) -> None:
        world = SimulatedReplicas(4, 3, voters=(0, 1, 2))
        world.propose(0, proposal("too-early"))
        world.run(5)
        world.propose(3, proposal("no-voter"))
        for ident in ("too-early", "no-voter"):
            answer = world.answers[ident]
            assert isinstance(answer, RejectedProposal)
            self.assertEqual("abstains", answer.reason)
        makes(world, 1, "by-a-voter")
        world.run(2)
        self.assertEqual(2, makes(world, 3, "now-it-may").version)

    def test_one_that_lost_its_disk_in_the_first_second_is_no_part_of_the_first_start_again(self) -> None:
        """It may have voted: others that vote already show that."""
        world = started()
        self.assertEqual({}, world.decided)
        world.kill(0)
        world.start(0, empty=True)
        world.run(3)
        self.assertEqual(3, world.alive(0).state.acceptor.votes_from)
        makes(world, 1, "change-1")
        makes(world, 2, "change-2")
        self.assertTrue(world.run(3, lambda: world.alive(0).votes))

    def test_one_that_is_ready_goes_on_where_another_votes_already(self) -> None:
        """Else one that heard all before the others did would leave them waiting for ever."""
        world = SimulatedReplicas(3, 3)
        world.run(30, lambda: any(machine.votes for machine in world.up()))
        late = [number for number in range(3) if not world.alive(number).votes]
        for number in late:
            world.kill(number)
            world.start(number)
        self.assertTrue(world.run(5, lambda: all(machine.votes for machine in world.up())))


class LostDisk(unittest.TestCase):
    def test_it_abstains_until_two_changes_later_and_then_votes(self) -> None:
        world = started(5)
        for number in range(4):
            makes(world, number, f"change-{number}")
        world.run(1)
        world.kill(2)
        world.start(2, empty=True)
        world.run(3)
        machine = world.alive(2)
        self.assertEqual(
            (4, 7, False), (machine.state.committed_version, machine.state.acceptor.votes_from, machine.votes)
        )
        ask = Prepare(5, Ballot(9, 1), machine.state.epoch)
        self.assertEqual("abstains", machine.handle_prepare(ask, world.now).outcome)
        makes(world, 0, "change-5")
        makes(world, 0, "change-6")
        world.run(1)
        self.assertTrue(machine.votes)

    def test_heads_that_lag_by_one_change_do_not_let_it_vote_again_where_it_may_have(self) -> None:
        """Machine 0 held version 1 as decided and voted on version 2. The others it hears of, when it starts
        empty, have accepted version 1, and do not know yet that it is decided."""
        world = started(5)
        world.dropped = lambda call: isinstance(call.body, DecidedChange) and call.peer != 0
        world.propose(4, proposal("change-1"))
        world.run(0.1, lambda: world.alive(4).state.committed_version == 1)
        world.cut([0, 4], [1, 2, 3])
        world.run(0.3)
        heads = [world.alive(number).state.committed_version for number in range(5)]
        self.assertEqual([1, 0, 0, 0, 1], heads)
        voted = Prepare(2, Ballot(1, 4), world.alive(0).state.epoch)
        self.assertEqual("promised", world.alive(0).handle_prepare(voted, world.now).outcome)
        world.heal()
        world.cut([4], [0, 1, 2, 3])  # with a ballot of its own that it may yet finish with 2 and 3
        world.kill(0)
        world.start(0, empty=True)
        world.run(3)
        again = world.alive(0)
        again.state.commit(world.alive(4).state.log(1)[0][0])
        self.assertEqual("abstains", again.handle_prepare(voted, world.now).outcome)

    def test_too_few_that_vote_tell_nothing(self) -> None:
        """With two of five empty at once, each needs all three others; one less could miss a vote."""
        world = started(5)
        makes(world, 0, "change-1")
        world.run(1)
        for number in (3, 4):
            world.kill(number)
            world.start(number, empty=True)
        world.cut([2], [3, 4])
        world.run(5)
        self.assertIsNone(world.alive(3).state.acceptor.votes_from)
        world.heal()
        world.run(5)
        self.assertEqual(4, world.alive(3).state.acceptor.votes_from)

    def test_answers_of_one_that_abstains_itself_do_not_count(self) -> None:
        world = started(3)
        makes(world, 0, "change-1")
        world.run(1)
        for number in (1, 2):  # more than a minority: nobody may go on by itself
            world.kill(number)
            world.start(number, empty=True)
        world.run(10)
        self.assertEqual([None, None], [world.alive(n).state.acceptor.votes_from for n in (1, 2)])
        self.assertEqual([1, 1], [world.alive(n).state.committed_version for n in (1, 2)])
        world.propose(0, proposal("change-2"))
        self.assertTrue(world.answered("change-2", 40))
        self.assertIsInstance(world.answers["change-2"], RejectedProposal)

    def test_all_one_by_one(self) -> None:
        world = started(3)
        for number in range(3):
            makes(world, number, f"before-{number}")
            world.kill(number)
            world.start(number, empty=True)
            world.run(3)
            for more in range(2):
                makes(world, number, f"after-{number}-{more}")
            self.assertTrue(world.run(3, lambda: not world.lost()))
        self.assertEqual(9, max(world.decided))
        self.assertTrue(world.run(3, world.agreed))

    def test_a_fault_of_the_disk_while_it_begins_again_is_tried_again(self) -> None:
        world = SimulatedReplicas(3, 1)
        broken = [True]

        def fails(point: str) -> None:
            if broken[0]:
                raise OSError(28, "No space left on device")

        world.alive(1).state._store.on_step = fails
        self.assertFalse(world.run(5, lambda: world.alive(1).votes))
        self.assertIn("No space left", world.alive(1).store_fault)
        self.assertEqual([1], [number for number, text, _ in world.notes if "No space" in text])
        broken[0] = False
        self.assertTrue(world.run(5, lambda: all(machine.votes for machine in world.up())))
        self.assertEqual("", world.alive(1).store_fault)


class CatchingUp(unittest.TestCase):
    def test_by_the_log_and_by_a_snapshot_where_the_log_is_too_short(self) -> None:
        for log in (20_000, 3):
            world = started(3, log=log)
            world.kill(2)
            for number in range(12):
                makes(world, number % 2, f"change-{number}", f"tenant/{number}")
            world.start(2)
            with self.subTest(log=log):
                self.assertTrue(world.run(3, world.agreed))
                self.assertEqual(AcceptedProposal(4), world.alive(2).state.completed(proposal("change-3", "tenant/3")))

    def test_a_machine_that_does_not_vote_follows_and_proposes(self) -> None:
        world = started(5, voters=(0, 1, 2))
        makes(world, 0, "change-1")
        self.assertTrue(world.run(2, world.agreed))
        makes(world, 4, "change-2")
        ask = Prepare(3, Ballot(1, 0), world.alive(3).state.epoch)
        self.assertEqual("abstains", world.alive(3).handle_prepare(ask, 0.0).outcome)
        for number in (3, 4):
            world.kill(number)
            world.start(number, empty=True)
        self.assertTrue(world.run(3, world.agreed))

    def test_a_vote_asked_for_a_later_version_makes_it_catch_up_at_once(self) -> None:
        world = started(3)
        machine = world.alive(1)
        machine.outgoing = []
        machine.handle_prepare(Prepare(5, Ballot(1, 2), machine.state.epoch), world.now)
        self.assertEqual([CatchUpRequest(1)], [call.body for call in machine.outgoing])

    def test_a_change_that_comes_out_otherwise_is_not_taken_and_told_of(self) -> None:
        world = started(3)
        bad = Change(1, "some-change", "0" * 32, proposal("some-change").entries)
        machine = world.alive(0)
        machine.handle_decided(DecidedChange(bad, machine.state.epoch), world.now)
        self.assertEqual(0, machine.state.committed_version)
        self.assertIn("otherwise", world.notes[-1][1])


class Freshness(unittest.TestCase):
    def test_how_long_ago_a_majority_was_heard(self) -> None:
        world = started(5)
        world.run(2)
        self.assertLess(world.now - world.alive(0).majority_heard_at, 1.0)
        world.cut([0], [1, 2, 3])
        since = world.now
        world.run(10)
        self.assertAlmostEqual(since, world.alive(0).majority_heard_at, delta=0.6)
        self.assertLess(world.now - world.alive(4).majority_heard_at, 1.0)

    def test_an_answer_held_up_on_the_way_does_not_look_fresh(self) -> None:
        world = started(3)
        for other in (1, 2):
            world.links[0, other].delay = world.links[other, 0].delay = 2.0
        world.run(12)
        self.assertGreater(world.now - world.alive(0).majority_heard_at, 3.9)

    def test_one_that_knows_of_a_higher_head_is_not_fresh_before_it_has_it(self) -> None:
        world = started(3)
        world.run(2)
        machine = world.alive(0)
        ahead = Heartbeat(1, "some-history", 7, voters=[0, 1, 2])
        before, machine.outgoing = machine.peers[1].caught_up_at, []
        machine.handle_reply(PeerCall(1, machine.heartbeat(), world.now), ahead, world.now)
        self.assertEqual((before, 7), (machine.peers[1].caught_up_at, machine.peers[1].committed_version))
        self.assertEqual([(1, CatchUpRequest(1))], [(call.peer, call.body) for call in machine.outgoing])

    def test_a_sign_of_one_that_is_ahead_is_enough_to_catch_up(self) -> None:
        """Where its own signs get no answer, too."""
        world = started(3)
        machine = world.alive(0)
        machine.outgoing = []
        machine.handle_heartbeat(Heartbeat(2, "some-history", 7, voters=[0, 1, 2]), world.now)
        self.assertEqual([(2, CatchUpRequest(1))], [(call.peer, call.body) for call in machine.outgoing])

    def test_an_answer_to_an_earlier_sign_changes_nothing(self) -> None:
        world = started(3)
        machine = world.alive(0)
        old = PeerCall(1, machine.heartbeat(), world.now - 5)
        machine.handle_reply(old, Heartbeat(1, "", 0, empty=True, voters=[0, 1, 2]), world.now)
        self.assertFalse(machine.peers[1].empty)


class Strangers(unittest.TestCase):
    def hears(self, sign: Heartbeat) -> tuple[SimulatedReplicas, Replica]:
        world = started(3)
        makes(world, 0, "change-1")
        world.run(1)
        machine = world.alive(0)
        machine.outgoing = []
        machine.handle_reply(PeerCall(1, machine.heartbeat(), world.now), sign, world.now)
        return world, machine

    def test_another_history_is_not_followed_and_an_operator_is_told_once(self) -> None:
        world, machine = self.hears(Heartbeat(1, "another-one", 9, voters=[0, 1, 2]))
        machine.handle_reply(
            PeerCall(1, machine.heartbeat(), world.now), Heartbeat(1, "another-one", 9, voters=[0, 1, 2]), world.now
        )
        self.assertEqual([], machine.outgoing)
        self.assertEqual(1, len([note for note in world.notes if "another-one" in note[2]]))
        change = machine.state.build_change(proposal("change-2"))
        assert isinstance(change, Change)
        machine.handle_reply(PeerCall(1, CatchUpRequest(2), 0.0), LogPage("another-one", 9, [change]), world.now)
        self.assertEqual(1, machine.state.committed_version)
        machine.handle_reply(PeerCall(1, CatchUpRequest(2), 0.0), LogPage("change-1", 9, [change]), world.now)
        self.assertEqual(2, machine.state.committed_version)

    def test_other_voters_and_another_number_are_left_alone(self) -> None:
        for sign, word in (
            (Heartbeat(1, "change-1", 9, voters=[0, 1, 2, 3, 4]), "voters"),
            (Heartbeat(2, "change-1", 9, voters=[0, 1, 2]), "address"),
        ):
            world, machine = self.hears(sign)
            self.assertEqual([], machine.outgoing)
            self.assertIn(word, world.notes[-1][2])

    def test_there_is_no_vote_for_another_group(self) -> None:
        world = started(3)
        machine = world.alive(0)
        self.assertEqual("abstains", machine.handle_prepare(Prepare(1, Ballot(1, 1), "other"), 0.0).outcome)
        change = machine.state.build_change(proposal("change-1"))
        assert isinstance(change, Change)
        self.assertEqual("abstains", machine.handle_accept(Accept(Ballot(1, 1), change, "other"), 0.0).outcome)
        machine.handle_decided(DecidedChange(change, "other"), 0.0)
        self.assertEqual(0, machine.state.committed_version)


class Proposals(unittest.TestCase):
    def test_regions_apart_the_larger_goes_on_the_smaller_says_so_and_all_meet_again(self) -> None:
        world = started(8, voters=range(7))
        makes(world, 0, "change-0")
        world.run(1)
        world.cut([0, 1, 2, 3], [4, 5, 6, 7])
        for number in range(5):
            makes(world, number % 4, f"regions-apart-{number}")
        world.propose(5, proposal("in-the-smaller"))
        self.assertTrue(world.answered("in-the-smaller", 40))
        answer = world.answers["in-the-smaller"]
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("abstains", answer.reason)
        self.assertIn("nothing was changed", answer.text)
        self.assertGreater(world.now - world.alive(6).majority_heard_at, 20)
        world.heal()
        self.assertTrue(world.run(3, world.agreed))
        self.assertEqual(7, makes(world, 7, "together").version)

    def test_a_proposer_that_ends_behind_its_answer_leaves_no_change_unfinished(self) -> None:
        """Its answer went out, and no word to the others: they have accepted it and are to find out."""
        world = started(5)
        world.dropped = lambda call: isinstance(call.body, DecidedChange)
        world.propose(0, proposal("change-1"))
        self.assertTrue(world.answered("change-1", 1))
        self.assertEqual(AcceptedProposal(1), world.answers["change-1"])
        world.kill(0)
        world.dropped = lambda call: False
        self.assertTrue(world.run(2.5, lambda: all(machine.state.committed_version == 1 for machine in world.up())))

    def test_a_change_is_finished_for_its_own_version_and_made_for_no_other(self) -> None:
        """Its proposer may have told that nothing was changed once the version was decided otherwise."""
        world = started(5)
        world.dropped = lambda call: isinstance(call.body, Accept) and call.peer != 1
        world.propose(0, proposal("the-first"))
        world.run(0.1)
        accepted = world.alive(1).state.acceptor.change
        assert accepted is not None
        world.kill(0)
        world.cut([1], [2, 3, 4])
        world.dropped = lambda call: False
        makes(world, 2, "the-second")
        world.run(10)
        world.heal()
        self.assertTrue(world.run(30, lambda: all(machine.state.committed_version == 1 for machine in world.up())))
        world.run(60)
        self.assertEqual([(1, "the-second")], [(version, made[0]) for version, made in world.decided.items()])

    def test_the_same_ident_at_two_machines_is_one_change(self) -> None:
        world = started(5)
        for number in (0, 3):
            world.propose(number, proposal("the-same"))
        world.run(5)
        self.assertEqual(AcceptedProposal(1), world.answers["the-same"])
        self.assertEqual(AcceptedProposal(1), makes(world, 1, "the-same"))
        self.assertEqual([1], list(world.decided))

    def test_no_more_than_so_many_wait(self) -> None:
        world = started(3)
        world.cut([0], [1, 2])
        found = [world.alive(0).propose(proposal(f"change-{n}"), world.now) for n in range(MAX_QUEUED_PROPOSALS + 1)]
        self.assertIsInstance(found[-2], Proposer)
        last = found[-1]
        assert isinstance(last, RejectedProposal)
        self.assertEqual("overloaded", last.reason)

    def test_signs_calls_and_fetches_that_nobody_answers_are_bounded(self) -> None:
        world = started(3)
        world.cut([0], [1, 2])
        machine, calls = world.alive(0), 0
        for _ in range(200):
            machine.tick(world.now)
            calls += len(machine.outgoing)
            machine.outgoing = []
            world.now += 0.6
        self.assertLessEqual(calls, 2 * 12 + 2)

    def test_two_seconds_on_each_way_a_change_is_still_made(self) -> None:
        world = started(5)
        for link in world.links.values():
            link.delay = 2.0
        makes(world, 0, "slow-one")
