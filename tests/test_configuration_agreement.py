"""Paxos: one change per version over seeded schedules of faults, and each rule of agreement.py by itself.

The numbers in test names are those of the rules in agreement.py.
"""

from __future__ import annotations

import unittest
from random import Random

from lanelead.configuration.agreement import MAX_ATTEMPTS, Acceptor, Proposer, UnacceptableChangeError
from lanelead.protocols.configuration import (
    Accept,
    AcceptedProposal,
    AcceptReply,
    Ballot,
    Change,
    Prepare,
    Promise,
    Proposal,
    RejectedProposal,
)
from tests.simulated_replicas import SimulatedReplicas, proposal


def inject_fault(sim: SimulatedReplicas, rng: Random) -> None:
    """Injects one random fault, or repairs earlier ones."""
    number = rng.randrange(sim.count)
    max_lost = len(sim.voters) - (len(sim.voters) // 2 + 1)
    match rng.randrange(9):
        case 0:
            sim.kill(number)
        case 1 | 2:
            for each, replica in sim.replicas.items():
                if replica is None:
                    sim.start(each)
        case 3:
            abstaining_voters = sim.abstaining_voters()
            if number in sim.voters and len([v for v in abstaining_voters if v != number]) < max_lost and sim.decided:
                sim.kill(number)
                sim.start(number, empty=True)
        case 4:
            sim.cut([number], range(sim.count), one_way=True)
        case 5:
            sim.cut(range(sim.count), [number], one_way=True)
        case 6:
            side = rng.sample(range(sim.count), sim.count // 2)
            sim.cut(side, [each for each in range(sim.count) if each not in side])
        case 7:
            sim.heal()
        case 8:
            for link in sim.links.values():
                link.loss, link.duplication = rng.choice((0.0, 0.1, 0.3)), rng.choice((0.0, 0.3))
                link.jitter = rng.choice((0.005, 0.1, 2.0))


def run_schedule(
    count: int, seed: int, seconds: int = 40, kill_probability: float = 0.01, log: int = 20_000
) -> SimulatedReplicas:
    """Proposes changes under random faults, then repairs all and checks that every replica catches up and votes."""
    sim, rng = SimulatedReplicas(count, seed, log=log), Random(f"trouble {seed}")  # the text is part of the seed
    assert sim.run(20, lambda: all(replica.votes for replica in sim.running())), "the first start does not end"
    sim.kill_probability = kill_probability
    for number in range(seconds * 5):
        what = proposal(f"change-{number}", f"tenant/t{rng.randrange(9)}", {"quota_per_s": number})
        proposers = rng.sample(range(count), rng.choice((1, 1, 2)))
        for proposer in proposers:  # now and then the same proposal at two replicas
            sim.propose(proposer, what)
        if rng.random() < 0.2:
            inject_fault(sim, rng)
        sim.run(0.2)
    sim.kill_probability = 0.0
    sim.heal()
    for number, replica in sim.replicas.items():
        if replica is None:
            sim.start(number)
    sim.run(40)
    accepted_versions = [answer.version for answer in sim.answers.values() if isinstance(answer, AcceptedProposal)]
    versions = [replica.state.committed_version for replica in sim.running()]
    assert min(versions) >= max(accepted_versions, default=0), "a replica lacks a change that was reported as accepted"
    for number in range(4):
        # Voters that lost their disks vote again two changes later; all others vote at once.
        ident = f"healed-{number}"
        sim.propose(number % count, proposal(ident))
        assert sim.answered(ident, 15), f"{ident} not decided in time"
        assert isinstance(sim.answers[ident], AcceptedProposal), sim.answers[ident]
        sim.run(2)
    assert sim.run(5, sim.agreed), "the replicas have different versions"
    assert not sim.abstaining_voters(), "some voters still abstain"
    documents = [replica.state.document for replica in sim.running()]
    assert len({document.digest for document in documents}) == 1
    return sim


def run_safety_schedule(count: int, seed: int, seconds: int = 30) -> SimulatedReplicas:
    """Runs a harsher schedule, which checks the invariants only and not that proposals succeed.

    All replicas propose all the time, messages take as long as attempts, processes are killed often and restart at
    once, and up to a minority of them at a time restarts without its disk.
    """
    sim, rng = SimulatedReplicas(count, seed), Random(f"storm {seed}")  # the text is part of the seed
    assert sim.run(20, lambda: all(replica.votes for replica in sim.running()))
    max_lost = count - (count // 2 + 1)
    for link in sim.links.values():
        link.loss, link.duplication, link.jitter = 0.05, 0.3, rng.choice((0.05, 0.3, 1.0))
    for step in range(seconds * 10):
        for number, replica in sim.replicas.items():
            if replica is None:
                abstaining_voters = [voter for voter in sim.abstaining_voters() if voter != number]
                sim.start(number, empty=bool(sim.decided) and len(abstaining_voters) < max_lost and rng.random() < 0.7)
        sim.kill_probability = rng.choice((0.0, 0.05))
        for number in range(count):
            if rng.random() < 0.5:
                sim.propose(number, proposal(f"change-{step}-{number}", f"tenant/t{rng.randrange(9)}"))
        sim.run(0.1)
    return sim


class Schedules(unittest.TestCase):
    """The invariants hold over seeded schedules of faults."""

    def test_three_replicas(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                self.assertGreater(max(run_schedule(3, seed).decided), 9)

    def test_five_replicas(self) -> None:
        for seed in range(100, 108):
            with self.subTest(seed=seed):
                self.assertGreater(max(run_schedule(5, seed).decided), 9)

    def test_seven_replicas_and_a_short_log(self) -> None:
        for seed in range(200, 204):
            with self.subTest(seed=seed):
                self.assertGreater(max(run_schedule(7, seed, 25, log=5).decided), 9)

    def test_harsh_schedules_keep_the_invariants(self) -> None:
        for seed in range(300, 306):
            with self.subTest(seed=seed):
                run_safety_schedule((3, 5)[seed % 2], seed)

    def test_each_of_many_concurrent_proposals_is_made_once(self) -> None:
        sim = SimulatedReplicas(5, 7)
        sim.run(5)
        for number in range(60):
            sim.propose(number % 5, proposal(f"at-once-{number}"))
        sim.run(60, lambda: len(sim.answers) == 60)
        accepted_versions = [answer.version for answer in sim.answers.values() if isinstance(answer, AcceptedProposal)]
        self.assertEqual(list(range(1, 61)), sorted(accepted_versions))


def change(ident: str = "some-change", version: int = 1) -> Change:
    """A change whose digest is not checked."""
    return Change(version, ident, "0" * 32, proposal(ident).entries)


class Rules(unittest.TestCase):
    """The rules of the voter's side."""

    def setUp(self) -> None:
        self.persisted: list[tuple[int, Ballot, Ballot | None, Change | None]] = []
        self.acceptor = Acceptor(lambda *row: self.persisted.append(row))

    def test_1_votes_only_on_the_version_after_the_committed_one(self) -> None:
        self.acceptor.advance(3)
        outcomes = [self.acceptor.prepare(Prepare(version, Ballot(1, 0))).outcome for version in (3, 4, 5)]
        self.assertEqual(["ahead", "promised", "behind"], outcomes)
        votes = [self.acceptor.accept(Accept(Ballot(1, 0), change(version=v))).outcome for v in (3, 5)]
        self.assertEqual(["ahead", "behind"], votes)

    def test_2_an_equal_ballot_is_not_promised_twice(self) -> None:
        self.assertEqual("promised", self.acceptor.prepare(Prepare(1, Ballot(2, 1))).outcome)
        for ballot in (Ballot(2, 1), Ballot(2, 0), Ballot(1, 5)):
            self.assertEqual(Promise("refused", 0, Ballot(2, 1)), self.acceptor.prepare(Prepare(1, ballot)))

    def test_3_nothing_is_accepted_below_the_promise(self) -> None:
        self.acceptor.prepare(Prepare(1, Ballot(2, 1)))
        self.assertEqual("refused", self.acceptor.accept(Accept(Ballot(1, 1), change())).outcome)
        self.assertEqual("accepted", self.acceptor.accept(Accept(Ballot(2, 1), change())).outcome)

    def test_4_a_promise_carries_the_change_accepted_last(self) -> None:
        self.acceptor.accept(Accept(Ballot(1, 1), change("the-earlier")))
        self.acceptor.accept(Accept(Ballot(2, 1), change("the-later")))
        promise = self.acceptor.prepare(Prepare(1, Ballot(3, 0)))
        self.assertEqual((Ballot(2, 1), "the-later"), (promise.accepted, promise.change and promise.change.ident))

    def test_6_no_reply_and_no_change_of_state_if_persisting_fails(self) -> None:
        def fails(*row: object) -> None:
            raise OSError

        acceptor = Acceptor(fails)
        for _ in range(2):
            with self.assertRaises(OSError):
                acceptor.prepare(Prepare(1, Ballot(1, 0)))
            with self.assertRaises(OSError):
                acceptor.accept(Accept(Ballot(1, 0), change()))
        self.assertEqual((Ballot(), None, None), (acceptor.promised, acceptor.accepted, acceptor.change))

    def test_7_a_voter_that_lost_its_disk_abstains(self) -> None:
        for since, outcome in ((None, "abstains"), (2, "abstains"), (1, "promised")):
            self.acceptor.votes_from = since
            self.assertEqual(outcome, self.acceptor.prepare(Prepare(1, Ballot(1, 0))).outcome)
        self.acceptor.votes_from = 2
        self.assertEqual("abstains", self.acceptor.accept(Accept(Ballot(1, 0), change())).outcome)

    def test_8_a_change_that_does_not_fit_is_not_accepted(self) -> None:
        def unfit(change: Change) -> None:
            raise UnacceptableChangeError

        self.acceptor.validate = unfit
        with self.assertRaises(UnacceptableChangeError):
            self.acceptor.accept(Accept(Ballot(1, 0), change()))
        self.assertEqual([], self.persisted)


class FakeTarget:
    """The state of the proposer's replica, as the test sets it."""

    committed_version = 0
    epoch = ""

    def completed(self, proposal: Proposal) -> AcceptedProposal | RejectedProposal | None:
        return None

    def build_change(self, proposal: Proposal) -> Change | RejectedProposal:
        return change(proposal.ident, self.committed_version + 1)


class Proposing(unittest.TestCase):
    """The rules of the proposer's side."""

    def setUp(self) -> None:
        self.target = FakeTarget()
        self.proposer = Proposer(0, (0, 1, 2), proposal("own-change"), self.target, Random(1), 0.0)
        self.proposer.step(0.0)

    def take_requests(self) -> list[Prepare | Accept]:
        """Returns and removes the requests that the proposer wants to send."""
        requests, self.proposer.requests = self.proposer.requests, []
        return [request for _, request in requests]

    def prepare(self) -> Prepare:
        """The Prepare request that the proposer sends."""
        found = self.take_requests()[0]
        assert isinstance(found, Prepare)
        return found

    def test_4_proposes_the_change_of_the_highest_ballot(self) -> None:
        request = self.prepare()
        for voter, number in ((1, 3), (2, 2)):
            found = Promise("promised", 0, request.ballot, Ballot(number, 2), change(f"at-ballot-{number}"))
            self.proposer.handle_promise(voter, request, found, 0.0)
        accept = self.take_requests()[0]
        assert isinstance(accept, Accept)
        self.assertEqual("at-ballot-3", accept.change.ident)

    def test_5_9_each_voter_counts_once_and_for_the_current_ballot_only(self) -> None:
        request = self.prepare()
        for _ in range(3):
            self.proposer.handle_promise(1, request, Promise("promised", 0, request.ballot), 0.0)
        self.assertEqual([], self.take_requests())
        old = Prepare(1, Ballot(0, 0))
        self.proposer.handle_promise(2, old, Promise("promised", 0, old.ballot), 0.0)
        self.assertEqual([], self.take_requests())
        self.proposer.handle_promise(2, request, Promise("promised", 0, request.ballot), 0.0)
        accept = self.take_requests()[0]
        assert isinstance(accept, Accept)
        for _ in range(3):
            self.proposer.handle_accept_reply(1, accept, AcceptReply("accepted", 0, request.ballot), 0.0)
        other = Accept(Ballot(0, 0), accept.change)
        self.proposer.handle_accept_reply(2, other, AcceptReply("accepted", 0, other.ballot), 0.0)
        self.assertIsNone(self.proposer.decided)
        self.proposer.handle_accept_reply(2, accept, AcceptReply("accepted", 0, request.ballot), 0.0)
        self.assertEqual(accept.change, self.proposer.decided)

    def test_9_a_reply_for_an_earlier_version_does_not_count_at_the_same_ballot(self) -> None:
        """Otherwise promises for a version that was decided since would count for a version that nobody promised."""
        before = self.prepare()
        self.target.committed_version = 1
        self.proposer.step(0.0)
        request = self.prepare()
        self.assertEqual((before.ballot, 2), (request.ballot, request.version))
        for voter in (1, 2):
            self.proposer.handle_promise(voter, before, Promise("promised", 0, request.ballot), 0.0)
        self.assertEqual([], self.take_requests())
        for voter in (1, 2):
            self.proposer.handle_promise(voter, request, Promise("promised", 1, request.ballot), 0.0)
        accept = self.take_requests()[0]
        assert isinstance(accept, Accept)
        old = Accept(request.ballot, change("own-change", 1))
        for voter in (1, 2):
            self.proposer.handle_accept_reply(voter, old, AcceptReply("accepted", 0, request.ballot), 0.0)
        self.assertIsNone(self.proposer.decided)

    def run_to_rejection(self) -> str:
        """Lets time pass until the proposal is rejected; returns the reason."""
        now = 0.0
        while self.proposer.result is None:
            now = max(now + 0.001, self.proposer.due)
            self.proposer.step(now)
        self.assertLess(now, 30.0)
        assert isinstance(self.proposer.result, RejectedProposal)
        return self.proposer.result.reason

    def test_10_without_replies_it_ends_and_nothing_was_changed(self) -> None:
        self.assertEqual("abstains", self.run_to_rejection())
        self.assertLessEqual(len(self.take_requests()), MAX_ATTEMPTS * 3)

    def test_10_after_accept_was_sent_the_result_is_unknown(self) -> None:
        request = self.prepare()
        for voter in (1, 2):
            self.proposer.handle_promise(voter, request, Promise("promised", 0, request.ballot), 0.0)
        self.assertEqual("unknown", self.run_to_rejection())

    def test_10_not_unknown_once_the_version_was_decided_with_another_change(self) -> None:
        request = self.prepare()
        for voter in (1, 2):
            self.proposer.handle_promise(voter, request, Promise("promised", 0, request.ballot), 0.0)
        self.target.committed_version = 1  # with another proposer's change
        self.assertEqual("abstains", self.run_to_rejection())

    def test_an_accepted_change_is_completed_for_its_own_version_only(self) -> None:
        found = change("own-change")
        self.proposer = Proposer(0, (0, 1, 2), proposal("own-change"), self.target, Random(1), 0.0, found)
        self.proposer.step(0.0)
        request = self.prepare()
        for voter in (1, 2):
            self.proposer.handle_promise(voter, request, Promise("promised", 0, request.ballot), 0.0)
        accept = self.take_requests()[0]
        assert isinstance(accept, Accept)
        self.assertIs(found, accept.change)
        self.target.committed_version = 1
        self.proposer.step(0.1)
        assert isinstance(self.proposer.result, RejectedProposal)
        self.assertEqual(("stale", []), (self.proposer.result.reason, self.take_requests()))

    def test_11_pauses_between_attempts_are_random_and_grow(self) -> None:
        pauses = []
        for _ in range(6):
            request = self.prepare()
            for voter in (1, 2):
                self.proposer.handle_promise(
                    voter, request, Promise("refused", 0, Ballot(request.ballot.number, 2)), 0.0
                )
            pauses.append(self.proposer.due)
            self.proposer.step(self.proposer.due)
        self.assertEqual(6, len(set(pauses)))
        self.assertGreater(max(pauses), 4 * min(pauses))
