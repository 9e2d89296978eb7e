"""One change for each version: single-decree Paxos, once a version (Lamport, "Paxos Made Simple", 2001).

Rules:
 1. A voter takes part in version n + 1 only while it holds 1..n: what it says of any other version is behind
    or ahead, and no vote.
 2. It promises a ballot only above every one that it promised or accepted. An equal one is refused too: a
    proposer that lost its memory must not get a ballot a second time and give it another change.
 3. It accepts a change only at a ballot no lower than the one promised.
 4. A promise tells the change accepted at the highest ballot; a proposer that hears of one goes on with that
    one, and with its own only for a later version.
 5. A change is decided once a majority of all voters has accepted it at one and the same ballot.
 6. Promise and vote are on disk before they are said; what could not be kept is not said.
 7. A voter that lost its disk abstains below the version from which it may vote (machine.py says which).
 8. It accepts no change that does not fit what it holds: another digest, or an ident that was made.
 9. An answer is one to this version and ballot, or it is not counted; each voter counts once.
10. A proposal's change may be made from when it was first sent to be accepted until its version is decided
    otherwise: an end in between is `unknown`, any other says that nothing was changed.
11. Tries are bounded, each waits longer, with a random part: proposers that meet don't meet for ever.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from lanelead.configuration.errors import ConfigurationError
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

PersistVote = Callable[[int, Ballot, Ballot | None, Change | None], None]
NO_BALLOT = Ballot()
FIRST_ATTEMPT_SECONDS = 0.6  # seconds that the first try waits for answers
MAX_REPLY_SECONDS = 5.0  # seconds that any waits: links may hold a letter for two each way
FIRST_BACKOFF_SECONDS = 0.05  # seconds before the second try, at most; later ones wait longer
MAX_ATTEMPTS = 10  # at one version
PROPOSAL_DEADLINE_SECONDS = 25.0  # seconds for a proposal in all


class UnacceptableChangeError(ConfigurationError):
    """The change does not fit what this voter holds, and is not voted for; the text says why."""


class Acceptor:
    """A voter's part, for the version after its head. `keep` puts its state on disk, or raises."""

    def __init__(
        self,
        keep: PersistVote,
        head: int = 0,
        promised: Ballot = NO_BALLOT,
        accepted: Ballot | None = None,
        change: Change | None = None,
    ) -> None:
        self._persist = keep
        self.committed_version, self.promised, self.accepted, self.change = head, promised, accepted, change
        self.votes_from: int | None = 1  # the first version that it may vote on; none: on none yet
        self.validate: Callable[[Change], None] = lambda change: None  # raises UnacceptableChangeError

    @property
    def non_voting(self) -> bool:
        """Whether it may not vote on the version after the committed one."""
        return self.votes_from is None or self.committed_version + 1 < self.votes_from

    def prepare(self, ask: Prepare) -> Promise:
        """Answers phase 1 of Paxos; a promise is persisted first."""
        if ask.version != self.committed_version + 1:
            return Promise("ahead" if ask.version <= self.committed_version else "behind", self.committed_version)
        if self.non_voting:
            return Promise("abstains", self.committed_version)
        if ask.ballot <= self.promised:
            return Promise("refused", self.committed_version, self.promised)
        self._persist(ask.version, ask.ballot, self.accepted, self.change)
        self.promised = ask.ballot
        return Promise("promised", self.committed_version, ask.ballot, self.accepted, self.change)

    def accept(self, ask: Accept) -> AcceptReply:
        """Raises UnacceptableChangeError."""
        if ask.change.version != self.committed_version + 1:
            return AcceptReply(
                "ahead" if ask.change.version <= self.committed_version else "behind", self.committed_version
            )
        if self.non_voting:
            return AcceptReply("abstains", self.committed_version)
        if ask.ballot < self.promised:
            return AcceptReply("refused", self.committed_version, self.promised)
        self.validate(ask.change)
        self._persist(ask.change.version, ask.ballot, ask.ballot, ask.change)
        self.promised = self.accepted = ask.ballot
        self.change = ask.change
        return AcceptReply("accepted", self.committed_version, ask.ballot)

    def advance(self, head: int) -> None:
        """What was decided up to `head` is on disk: votes for the next version begin."""
        if head > self.committed_version:
            self.committed_version, self.promised, self.accepted, self.change = head, NO_BALLOT, None, None


class ProposalTarget(Protocol):
    """What the proposer's machine holds."""

    @property
    def committed_version(self) -> int:
        """The newest version held."""

    @property
    def epoch(self) -> str:
        """A hash of the history and the voters; replicas of another epoch do not vote together."""

    def completed(self, proposal: Proposal) -> AcceptedProposal | RejectedProposal | None:
        """The version that made it already; a refusal where its ident was used for something else."""

    def build_change(self, proposal: Proposal) -> Change | RejectedProposal:
        """What it comes to as the version after the head."""


class Proposer:
    """One proposal. `asks` fills with what is to be sent to which voter; `result` ends it. `decided` has a
    change that its machine has to learn and tell; call `step` then, and when time passes. `finishes`: a
    change that was accepted before; it is brought to its end for its own version, and made for no other."""

    def __init__(
        self,
        number: int,
        voters: Sequence[int],
        proposal: Proposal,
        holder: ProposalTarget,
        rng: Random,
        now: float,
        finishes: Change | None = None,
    ) -> None:
        self.completes = finishes
        self._replica, self._voters, self.proposal = number, voters, proposal
        self._target, self._rng = holder, rng
        self._quorum = len(voters) // 2 + 1
        self._version = -1  # that the tries are for
        self._attempts, self._highest_number = 0, 0
        self._ballot = NO_BALLOT
        self._change: Change | None = None  # under way to be accepted
        self._possible_version: int | None = None  # the version that may yet be this proposal's
        self._promises: dict[int, Promise] = {}
        self._votes: dict[int, AcceptReply] = {}
        self._deadline = now + PROPOSAL_DEADLINE_SECONDS
        self._next_step = now  # when the next try begins, or this one is given up
        self._idle = True
        self.outcomes: dict[int, str] = {}  # what each voter last said, for who reads the refusal
        self.requests: list[tuple[int, Prepare | Accept]] = []
        self.decided: Change | None = None
        self.result: AcceptedProposal | RejectedProposal | None = None

    @property
    def attempt_timeout(self) -> float:
        """Seconds that the present attempt waits for replies; it doubles with each attempt."""
        return min(MAX_REPLY_SECONDS, FIRST_ATTEMPT_SECONDS * float(1 << max(0, self._attempts - 1)))

    @property
    def due(self) -> float:
        """When `step` is due."""
        return min(self._next_step, self._deadline)

    def step(self, now: float) -> None:
        """Goes on as far as is possible at `now`: starts, ends or retries an attempt."""
        if self.result is not None:
            return
        if self._version != self._target.committed_version + 1:
            self._version, self._attempts, self._highest_number = self._target.committed_version + 1, 0, 0
            self._ballot, self._change, self._idle, self._next_step = NO_BALLOT, None, True, now
            if self._possible_version is not None and self._possible_version <= self._target.committed_version:
                self._possible_version = None  # decided, and `made` says whether as ours
        self.result = self._target.completed(self.proposal)
        if self.result is None and self.completes is not None and self.completes.version != self._version:
            self.result = RejectedProposal("stale", f"version {self.completes.version} was decided otherwise")
        if self.result is not None:
            return
        if now >= self._deadline or (now >= self._next_step and self._attempts >= MAX_ATTEMPTS):
            self._fail()
        elif now >= self._next_step:
            if self._idle:
                self._begin_attempt(now)
            else:
                self._back_off(now)

    def _begin_attempt(self, now: float) -> None:
        # Guards against a proposal that can't be made at all: it is refused before anybody is asked.
        fit = self.completes or self._target.build_change(self.proposal)
        if isinstance(fit, RejectedProposal) and self._possible_version is None:
            self.result = fit
            return
        self._attempts += 1
        self._highest_number += 1
        self._ballot, self._change = Ballot(self._highest_number, self._replica), None
        self._promises, self._votes, self._idle = {}, {}, False
        self._next_step = now + self.attempt_timeout
        ask = Prepare(self._version, self._ballot, self._target.epoch)
        self.requests += [(voter, ask) for voter in self._voters]

    def _back_off(self, now: float) -> None:
        self._idle, self._ballot = True, NO_BALLOT
        self._next_step = now + FIRST_BACKOFF_SECONDS * float(1 << min(self._attempts, 5)) * self._rng.random()

    def _fail(self) -> None:
        said = ", ".join(f"{voter} {self.outcomes.get(voter, 'silent')}" for voter in self._voters)
        if self._possible_version is not None:
            text = f"it may be made yet as version {self._possible_version}: ask again with the same ident ({said})"
            self.result = RejectedProposal("unknown", text)
        else:
            self.result = RejectedProposal(
                "abstains", f"no majority of the voting machines took part, nothing was changed ({said})"
            )

    def handle_promise(self, voter: int, ask: Prepare, promise: Promise, now: float) -> None:
        """Counts a voter's reply to Prepare; with a quorum, sends Accept."""
        self._record_outcome(voter, promise.outcome, promise.ballot, ask.version)
        # Ballots begin anew with each version: the same one of an earlier version is another question.
        if (ask.version, ask.ballot) != (self._version, self._ballot) or self._change is not None:
            return
        self._promises.setdefault(voter, promise)
        given = [said for said in self._promises.values() if said.outcome == "promised"]
        if self._target.committed_version + 1 != self._version:
            return  # it is decided, and `step` will say so
        if len(given) >= self._quorum:
            self._request_accepts(given, now)
        elif len(self._voters) - len(self._promises) + len(given) < self._quorum:
            self._back_off(now)

    def _request_accepts(self, given: list[Promise], now: float) -> None:
        found = [said for said in given if said.accepted is not None and said.change is not None]
        if found:
            change = max(found, key=lambda said: said.accepted or NO_BALLOT).change
        else:
            own = self.completes or self._target.build_change(self.proposal)
            if isinstance(own, RejectedProposal):
                self._back_off(now)  # and `_begin` says so, where nothing of it is on its way
                return
            change = own
        assert change is not None
        self._change, self._next_step = change, now + self.attempt_timeout
        if change.ident == self.proposal.ident:
            self._possible_version = change.version
        ask = Accept(self._ballot, change, self._target.epoch)
        self.requests += [(voter, ask) for voter in self._voters]

    def handle_accept_reply(self, voter: int, ask: Accept, vote: AcceptReply, now: float) -> None:
        """Counts a voter's reply to Accept; with a quorum, the change is decided."""
        self._record_outcome(voter, vote.outcome, vote.ballot, ask.change.version)
        if (ask.change.version, ask.ballot) != (self._version, self._ballot) or self._change is None:
            return
        self._votes.setdefault(voter, vote)
        given = sum(said.outcome == "accepted" for said in self._votes.values())
        if given >= self._quorum:
            self.decided, self._next_step = self._change, now + self.attempt_timeout
        elif len(self._voters) - len(self._votes) + given < self._quorum:
            self._back_off(now)

    def _record_outcome(self, voter: int, word: str, ballot: Ballot, version: int) -> None:
        self.outcomes[voter] = word
        if version == self._version:
            self._highest_number = max(self._highest_number, ballot.number)
