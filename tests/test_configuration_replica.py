"""The rules of replica.py in virtual time; each class names the rules that it tests."""

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


def started(count: int = 3, seed: int = 1, voters: Sequence[int] = (), log: int = 20_000) -> SimulatedReplicas:
    """Replicas of which all voters have begun to vote."""
    sim = SimulatedReplicas(count, seed, voters, log=log)
    assert sim.run(10, lambda: all(sim.replica(voter).votes for voter in sim.voters))
    return sim


def commit_proposal(sim: SimulatedReplicas, number: int, ident: str, key: str = "tenant/a") -> AcceptedProposal:
    """Proposes a change at a replica and returns its result, which must be accepted."""
    sim.propose(number, proposal(ident, key))
    assert sim.answered(ident, 20), f"{ident} has no result"
    answer = sim.answers[ident]
    assert isinstance(answer, AcceptedProposal), answer
    return answer


class FirstStart(unittest.TestCase):  # rules 5 and 6
    def test_voters_vote_once_all_have_seen_all_empty(self) -> None:
        sim = SimulatedReplicas(5, 3)
        sim.kill(4)
        self.assertFalse(sim.run(20, lambda: any(replica.votes for replica in sim.running())))
        sim.start(4)
        self.assertTrue(sim.run(5, lambda: all(replica.votes for replica in sim.running())))

    def test_only_a_voting_replica_proposes_version_1(self) -> None:
        sim = SimulatedReplicas(4, 3, voters=(0, 1, 2))
        sim.propose(0, proposal("too-early"))
        sim.run(5)
        sim.propose(3, proposal("no-voter"))
        for ident in ("too-early", "no-voter"):
            answer = sim.answers[ident]
            assert isinstance(answer, RejectedProposal)
            self.assertEqual("abstains", answer.reason)
        commit_proposal(sim, 1, "by-a-voter")
        sim.run(2)
        self.assertEqual(2, commit_proposal(sim, 3, "now-it-may").version)

    def test_a_voter_that_loses_its_disk_right_after_the_first_start_abstains(self) -> None:
        """It may have voted before it lost its disk: the other voters vote already, so this is no first start."""
        sim = started()
        self.assertEqual({}, sim.decided)
        sim.kill(0)
        sim.start(0, empty=True)
        sim.run(3)
        self.assertEqual(3, sim.replica(0).state.acceptor.votes_from)
        commit_proposal(sim, 1, "change-1")
        commit_proposal(sim, 2, "change-2")
        self.assertTrue(sim.run(3, lambda: sim.replica(0).votes))

    def test_a_ready_voter_votes_once_another_one_votes(self) -> None:
        """Otherwise a voter that begins first would leave the others waiting: they no longer see all ready."""
        sim = SimulatedReplicas(3, 3)
        sim.run(30, lambda: any(replica.votes for replica in sim.running()))
        late = [number for number in range(3) if not sim.replica(number).votes]
        for number in late:
            sim.kill(number)
            sim.start(number)
        self.assertTrue(sim.run(5, lambda: all(replica.votes for replica in sim.running())))


class LostDisk(unittest.TestCase):  # rule 4
    def test_it_abstains_until_two_changes_later_and_then_votes(self) -> None:
        sim = started(5)
        for number in range(4):
            commit_proposal(sim, number, f"change-{number}")
        sim.run(1)
        sim.kill(2)
        sim.start(2, empty=True)
        sim.run(3)
        replica = sim.replica(2)
        self.assertEqual(
            (4, 7, False), (replica.state.committed_version, replica.state.acceptor.votes_from, replica.votes)
        )
        request = Prepare(5, Ballot(9, 1), replica.state.epoch)
        self.assertEqual("abstains", replica.handle_prepare(request, sim.now).outcome)
        commit_proposal(sim, 0, "change-5")
        commit_proposal(sim, 0, "change-6")
        sim.run(1)
        self.assertTrue(replica.votes)

    def test_it_does_not_vote_twice_where_its_peers_lag_by_one_version(self) -> None:
        """Replica 0 committed version 1 and voted on version 2 before it lost its disk. The peers that it then
        hears from have accepted version 1, but do not know yet that it is decided."""
        sim = started(5)
        sim.drops = lambda call: isinstance(call.body, DecidedChange) and call.peer != 0
        sim.propose(4, proposal("change-1"))
        sim.run(0.1, lambda: sim.replica(4).state.committed_version == 1)
        sim.cut([0, 4], [1, 2, 3])
        sim.run(0.3)
        heads = [sim.replica(number).state.committed_version for number in range(5)]
        self.assertEqual([1, 0, 0, 0, 1], heads)
        voted = Prepare(2, Ballot(1, 4), sim.replica(0).state.epoch)
        self.assertEqual("promised", sim.replica(0).handle_prepare(voted, sim.now).outcome)
        sim.heal()
        sim.cut([4], [0, 1, 2, 3])  # it may still complete its ballot for version 2 with replicas 2 and 3
        sim.kill(0)
        sim.start(0, empty=True)
        sim.run(3)
        again = sim.replica(0)
        again.state.commit(sim.replica(4).state.log(1)[0][0])
        self.assertEqual("abstains", again.handle_prepare(voted, sim.now).outcome)

    def test_it_waits_for_enough_voting_peers(self) -> None:
        """With two of five voters empty at once, each needs all three others; fewer could miss a vote."""
        sim = started(5)
        commit_proposal(sim, 0, "change-1")
        sim.run(1)
        for number in (3, 4):
            sim.kill(number)
            sim.start(number, empty=True)
        sim.cut([2], [3, 4])
        sim.run(5)
        self.assertIsNone(sim.replica(3).state.acceptor.votes_from)
        sim.heal()
        sim.run(5)
        self.assertEqual(4, sim.replica(3).state.acceptor.votes_from)

    def test_peers_that_abstain_do_not_count(self) -> None:
        sim = started(3)
        commit_proposal(sim, 0, "change-1")
        sim.run(1)
        for number in (1, 2):  # a majority lost its disks: they must not vote again by themselves
            sim.kill(number)
            sim.start(number, empty=True)
        sim.run(10)
        self.assertEqual([None, None], [sim.replica(n).state.acceptor.votes_from for n in (1, 2)])
        self.assertEqual([1, 1], [sim.replica(n).state.committed_version for n in (1, 2)])
        sim.propose(0, proposal("change-2"))
        self.assertTrue(sim.answered("change-2", 40))
        self.assertIsInstance(sim.answers["change-2"], RejectedProposal)

    def test_all_voters_lose_their_disks_one_after_another(self) -> None:
        sim = started(3)
        for number in range(3):
            commit_proposal(sim, number, f"before-{number}")
            sim.kill(number)
            sim.start(number, empty=True)
            sim.run(3)
            for more in range(2):
                commit_proposal(sim, number, f"after-{number}-{more}")
            self.assertTrue(sim.run(3, lambda: not sim.abstaining_voters()))
        self.assertEqual(9, max(sim.decided))
        self.assertTrue(sim.run(3, sim.agreed))

    def test_a_failed_write_at_the_start_of_voting_is_retried(self) -> None:
        sim = SimulatedReplicas(3, 1)
        broken = [True]

        def fails(point: str) -> None:
            if broken[0]:
                raise OSError(28, "No space left on device")

        sim.replica(1).state._store.on_step = fails
        self.assertFalse(sim.run(5, lambda: sim.replica(1).votes))
        self.assertIn("No space left", sim.replica(1).store_fault)
        self.assertEqual([1], [number for number, text, _ in sim.reports if "No space" in text])
        broken[0] = False
        self.assertTrue(sim.run(5, lambda: all(replica.votes for replica in sim.running())))
        self.assertEqual("", sim.replica(1).store_fault)


class CatchingUp(unittest.TestCase):  # rule 2
    def test_by_the_log_or_by_a_snapshot_where_the_log_is_too_short(self) -> None:
        for log in (20_000, 3):
            sim = started(3, log=log)
            sim.kill(2)
            for number in range(12):
                commit_proposal(sim, number % 2, f"change-{number}", f"tenant/{number}")
            sim.start(2)
            with self.subTest(log=log):
                self.assertTrue(sim.run(3, sim.agreed))
                self.assertEqual(AcceptedProposal(4), sim.replica(2).state.completed(proposal("change-3", "tenant/3")))

    def test_a_replica_that_does_not_vote_follows_and_proposes(self) -> None:
        sim = started(5, voters=(0, 1, 2))
        commit_proposal(sim, 0, "change-1")
        self.assertTrue(sim.run(2, sim.agreed))
        commit_proposal(sim, 4, "change-2")
        request = Prepare(3, Ballot(1, 0), sim.replica(3).state.epoch)
        self.assertEqual("abstains", sim.replica(3).handle_prepare(request, 0.0).outcome)
        for number in (3, 4):
            sim.kill(number)
            sim.start(number, empty=True)
        self.assertTrue(sim.run(3, sim.agreed))

    def test_prepare_for_a_later_version_starts_a_fetch(self) -> None:
        sim = started(3)
        replica = sim.replica(1)
        replica.outgoing = []
        replica.handle_prepare(Prepare(5, Ballot(1, 2), replica.state.epoch), sim.now)
        self.assertEqual([CatchUpRequest(1)], [call.body for call in replica.outgoing])

    def test_a_change_with_another_digest_is_not_committed_and_is_reported(self) -> None:
        sim = started(3)
        bad = Change(1, "some-change", "0" * 32, proposal("some-change").entries)
        replica = sim.replica(0)
        replica.handle_decided(DecidedChange(bad, replica.state.epoch), sim.now)
        self.assertEqual(0, replica.state.committed_version)
        self.assertIn("another digest", sim.reports[-1][1])


class Freshness(unittest.TestCase):  # rules 1 and 9
    def test_majority_heard_at_stops_when_the_majority_is_cut_off(self) -> None:
        sim = started(5)
        sim.run(2)
        self.assertLess(sim.now - sim.replica(0).majority_heard_at, 1.0)
        sim.cut([0], [1, 2, 3])
        cut_at = sim.now
        sim.run(10)
        self.assertAlmostEqual(cut_at, sim.replica(0).majority_heard_at, delta=0.6)
        self.assertLess(sim.now - sim.replica(4).majority_heard_at, 1.0)

    def test_a_delayed_response_does_not_look_fresh(self) -> None:
        sim = started(3)
        for other in (1, 2):
            sim.links[0, other].delay = sim.links[other, 0].delay = 2.0
        sim.run(12)
        self.assertGreater(sim.now - sim.replica(0).majority_heard_at, 3.9)

    def test_a_peer_with_a_higher_version_does_not_count_as_heard(self) -> None:
        sim = started(3)
        sim.run(2)
        replica = sim.replica(0)
        ahead = Heartbeat(1, "some-history", 7, voters=[0, 1, 2])
        before, replica.outgoing = replica.peers[1].caught_up_at, []
        replica.handle_reply(PeerCall(1, replica.heartbeat(), sim.now), ahead, sim.now)
        self.assertEqual((before, 7), (replica.peers[1].caught_up_at, replica.peers[1].committed_version))
        self.assertEqual([(1, CatchUpRequest(1))], [(call.peer, call.body) for call in replica.outgoing])

    def test_a_heartbeat_of_a_peer_that_is_ahead_starts_a_fetch(self) -> None:
        """So a replica catches up even if its own heartbeats get no response."""
        sim = started(3)
        replica = sim.replica(0)
        replica.outgoing = []
        replica.handle_heartbeat(Heartbeat(2, "some-history", 7, voters=[0, 1, 2]), sim.now)
        self.assertEqual([(2, CatchUpRequest(1))], [(call.peer, call.body) for call in replica.outgoing])

    def test_a_response_to_an_earlier_heartbeat_is_ignored(self) -> None:
        sim = started(3)
        replica = sim.replica(0)
        old = PeerCall(1, replica.heartbeat(), sim.now - 5)
        replica.handle_reply(old, Heartbeat(1, "", 0, empty=True, voters=[0, 1, 2]), sim.now)
        self.assertFalse(replica.peers[1].empty)


class Strangers(unittest.TestCase):  # rule 3
    def receive_reply(self, heartbeat: Heartbeat) -> tuple[SimulatedReplicas, Replica]:
        """Gives replica 0 a heartbeat response of replica 1; returns the simulation and replica 0."""
        sim = started(3)
        commit_proposal(sim, 0, "change-1")
        sim.run(1)
        replica = sim.replica(0)
        replica.outgoing = []
        replica.handle_reply(PeerCall(1, replica.heartbeat(), sim.now), heartbeat, sim.now)
        return sim, replica

    def test_another_history_is_not_followed_and_is_reported_once(self) -> None:
        sim, replica = self.receive_reply(Heartbeat(1, "another-one", 9, voters=[0, 1, 2]))
        replica.handle_reply(
            PeerCall(1, replica.heartbeat(), sim.now), Heartbeat(1, "another-one", 9, voters=[0, 1, 2]), sim.now
        )
        self.assertEqual([], replica.outgoing)
        self.assertEqual(1, len([note for note in sim.reports if "another-one" in note[2]]))
        change = replica.state.build_change(proposal("change-2"))
        assert isinstance(change, Change)
        replica.handle_reply(PeerCall(1, CatchUpRequest(2), 0.0), LogPage("another-one", 9, [change]), sim.now)
        self.assertEqual(1, replica.state.committed_version)
        replica.handle_reply(PeerCall(1, CatchUpRequest(2), 0.0), LogPage("change-1", 9, [change]), sim.now)
        self.assertEqual(2, replica.state.committed_version)

    def test_peers_with_other_voters_or_another_number_are_ignored(self) -> None:
        for heartbeat, word in (
            (Heartbeat(1, "change-1", 9, voters=[0, 1, 2, 3, 4]), "voters"),
            (Heartbeat(2, "change-1", 9, voters=[0, 1, 2]), "address"),
        ):
            sim, replica = self.receive_reply(heartbeat)
            self.assertEqual([], replica.outgoing)
            self.assertIn(word, sim.reports[-1][2])

    def test_no_vote_for_another_epoch(self) -> None:
        sim = started(3)
        replica = sim.replica(0)
        self.assertEqual("abstains", replica.handle_prepare(Prepare(1, Ballot(1, 1), "other"), 0.0).outcome)
        change = replica.state.build_change(proposal("change-1"))
        assert isinstance(change, Change)
        self.assertEqual("abstains", replica.handle_accept(Accept(Ballot(1, 1), change, "other"), 0.0).outcome)
        replica.handle_decided(DecidedChange(change, "other"), 0.0)
        self.assertEqual(0, replica.state.committed_version)


class Proposals(unittest.TestCase):  # rules 7 and 8, and proposals under faults
    def test_in_a_partition_the_majority_commits_and_the_minority_rejects_until_it_heals(self) -> None:
        sim = started(8, voters=range(7))
        commit_proposal(sim, 0, "change-0")
        sim.run(1)
        sim.cut([0, 1, 2, 3], [4, 5, 6, 7])
        for number in range(5):
            commit_proposal(sim, number % 4, f"regions-apart-{number}")
        sim.propose(5, proposal("in-the-smaller"))
        self.assertTrue(sim.answered("in-the-smaller", 40))
        answer = sim.answers["in-the-smaller"]
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("abstains", answer.reason)
        self.assertIn("nothing was changed", answer.text)
        self.assertGreater(sim.now - sim.replica(6).majority_heard_at, 20)
        sim.heal()
        self.assertTrue(sim.run(3, sim.agreed))
        self.assertEqual(7, commit_proposal(sim, 7, "together").version)

    def test_voters_complete_the_change_of_a_proposer_that_ended_after_its_answer(self) -> None:
        """The proposer answered its caller and told no replica; the voters have accepted the change."""
        sim = started(5)
        sim.drops = lambda call: isinstance(call.body, DecidedChange)
        sim.propose(0, proposal("change-1"))
        self.assertTrue(sim.answered("change-1", 1))
        self.assertEqual(AcceptedProposal(1), sim.answers["change-1"])
        sim.kill(0)
        sim.drops = lambda call: False
        self.assertTrue(sim.run(2.5, lambda: all(replica.state.committed_version == 1 for replica in sim.running())))

    def test_an_accepted_change_is_completed_for_no_other_version(self) -> None:
        """Once its version is decided with another change, its proposer may have answered that nothing was changed."""
        sim = started(5)
        sim.drops = lambda call: isinstance(call.body, Accept) and call.peer != 1
        sim.propose(0, proposal("the-first"))
        sim.run(0.1)
        accepted = sim.replica(1).state.acceptor.change
        assert accepted is not None
        sim.kill(0)
        sim.cut([1], [2, 3, 4])
        sim.drops = lambda call: False
        commit_proposal(sim, 2, "the-second")
        sim.run(10)
        sim.heal()
        self.assertTrue(sim.run(30, lambda: all(replica.state.committed_version == 1 for replica in sim.running())))
        sim.run(60)
        self.assertEqual([(1, "the-second")], [(version, made[0]) for version, made in sim.decided.items()])

    def test_the_same_ident_at_two_replicas_makes_one_change(self) -> None:
        sim = started(5)
        for number in (0, 3):
            sim.propose(number, proposal("the-same"))
        sim.run(5)
        self.assertEqual(AcceptedProposal(1), sim.answers["the-same"])
        self.assertEqual(AcceptedProposal(1), commit_proposal(sim, 1, "the-same"))
        self.assertEqual([1], list(sim.decided))

    def test_the_queue_of_proposals_is_bounded(self) -> None:
        sim = started(3)
        sim.cut([0], [1, 2])
        found = [sim.replica(0).propose(proposal(f"change-{n}"), sim.now) for n in range(MAX_QUEUED_PROPOSALS + 1)]
        self.assertIsInstance(found[-2], Proposer)
        last = found[-1]
        assert isinstance(last, RejectedProposal)
        self.assertEqual("overloaded", last.reason)

    def test_calls_without_replies_are_bounded(self) -> None:
        sim = started(3)
        sim.cut([0], [1, 2])
        replica, calls = sim.replica(0), 0
        for _ in range(200):
            replica.tick(sim.now)
            calls += len(replica.outgoing)
            replica.outgoing = []
            sim.now += 0.6
        self.assertLessEqual(calls, 2 * 12 + 2)

    def test_a_change_is_made_with_two_seconds_of_delay_each_way(self) -> None:
        sim = started(5)
        for link in sim.links.values():
            link.delay = 2.0
        commit_proposal(sim, 0, "slow-one")
