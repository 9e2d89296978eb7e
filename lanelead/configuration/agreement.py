"""Single-decree Paxos, run once for each version (Lamport, "Paxos Made Simple", 2001).

`Acceptor` is the voter's side and `Proposer` the proposer's side. Neither has sockets or clocks.

Rules:
 1. A voter votes on version n + 1 only while it holds versions 1 to n. For any other version it replies "ahead"
    (that version is decided) or "behind" (it lacks earlier versions), and neither counts as a vote.
 2. A voter promises a ballot only if it is higher than every ballot that it has promised or accepted. An equal
    ballot is refused too: a proposer that lost its memory could reuse its ballot with a different change.
 3. A voter accepts a change only at a ballot that is not lower than the promised one.
 4. A promise carries the change that the voter accepted at the highest ballot. A proposer that receives one
    proposes the change of the highest ballot, and its own change only for a later version.
 5. A change is decided once a majority of all voters has accepted it at the same ballot.
 6. A voter persists each promise and each vote before it replies. If that fails, it does not reply.
 7. A voter that lost its disk abstains below the version from which it may vote again (replica.py, rule 4).
 8. A voter does not accept a change that does not fit its state: the digest differs, or a change with the same
    ident was made before.
 9. A reply counts only if it is for the current version and ballot. Each voter counts once.
10. From when Accept is first sent for a proposal's change until that version is decided with another change, the
    proposal may still be made. If it ends in between, its result is `unknown`; every other rejection means that
    nothing was changed.
11. Attempts are bounded in number. The pauses between them grow and are random, so that competing proposers do
    not block each other forever.
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

PersistVote = Callable[[int, Ballot, Ballot | None, Change | None], None]  # version, promised, accepted, its change
NO_BALLOT = Ballot()
FIRST_ATTEMPT_SECONDS = 0.6  # seconds that the first attempt waits for replies
MAX_REPLY_SECONDS = 5.0  # longest wait for replies: a link may delay a message by 2 s in each direction
FIRST_BACKOFF_SECONDS = 0.05  # the pause after attempt n is random, up to 2 ** min(n, 5) times this
MAX_ATTEMPTS = 10  # of one proposal at one version
PROPOSAL_DEADLINE_SECONDS = 25.0  # seconds for a proposal, over all its attempts and versions


class UnacceptableChangeError(ConfigurationError):
    """The change does not fit this voter's state, so the voter does not accept it; the text says why."""


class Acceptor:
    """The voter's side of Paxos, for the version after the committed one.

    `persist_vote` writes the new state to disk before a reply is returned, or raises.
    """

    def __init__(
        self,
        persist_vote: PersistVote,
        committed_version: int = 0,
        promised: Ballot = NO_BALLOT,
        accepted: Ballot | None = None,
        change: Change | None = None,
    ) -> None:
        self._persist = persist_vote
        self.committed_version, self.promised, self.accepted, self.change = (
            committed_version,
            promised,
            accepted,
            change,
        )
        self.votes_from: int | None = 1  # the first version that it may vote on; None: may not vote yet
        self.validate: Callable[[Change], None] = lambda change: None  # raises UnacceptableChangeError

    @property
    def non_voting(self) -> bool:
        """Whether it may not vote on the version after the committed one."""
        return self.votes_from is None or self.committed_version + 1 < self.votes_from

    def prepare(self, request: Prepare) -> Promise:
        """Handles phase 1 of Paxos; a promise is persisted before it is returned."""
        if request.version != self.committed_version + 1:
            return Promise("ahead" if request.version <= self.committed_version else "behind", self.committed_version)
        if self.non_voting:
            return Promise("abstains", self.committed_version)
        if request.ballot <= self.promised:
            return Promise("refused", self.committed_version, self.promised)
        self._persist(request.version, request.ballot, self.accepted, self.change)
        self.promised = request.ballot
        return Promise("promised", self.committed_version, request.ballot, self.accepted, self.change)

    def accept(self, request: Accept) -> AcceptReply:
        """Handles phase 2 of Paxos; a vote is persisted before it is returned. Raises UnacceptableChangeError."""
        if request.change.version != self.committed_version + 1:
            return AcceptReply(
                "ahead" if request.change.version <= self.committed_version else "behind", self.committed_version
            )
        if self.non_voting:
            return AcceptReply("abstains", self.committed_version)
        if request.ballot < self.promised:
            return AcceptReply("refused", self.committed_version, self.promised)
        self.validate(request.change)
        self._persist(request.change.version, request.ballot, request.ballot, request.change)
        self.promised = self.accepted = request.ballot
        self.change = request.change
        return AcceptReply("accepted", self.committed_version, request.ballot)

    def advance(self, version: int) -> None:
        """Starts voting on the version after `version`, which the caller has committed to disk."""
        if version > self.committed_version:
            self.committed_version, self.promised, self.accepted, self.change = version, NO_BALLOT, None, None


class ProposalTarget(Protocol):
    """The state of the proposer's replica, as far as a proposer needs it."""

    @property
    def committed_version(self) -> int:
        """The newest committed version."""

    @property
    def epoch(self) -> str:
        """A hash of the history and the voters; replicas of different epochs do not vote together."""

    def completed(self, proposal: Proposal) -> AcceptedProposal | RejectedProposal | None:
        """The earlier result of this proposal; None where its ident is unused.

        It is a rejection where the ident was used for other entries.
        """

    def build_change(self, proposal: Proposal) -> Change | RejectedProposal:
        """The change that the proposal makes as the version after the committed one, or why it is rejected."""


class Proposer:
    """The proposer's side of Paxos, for one proposal.

    The caller sends each of `requests` to its voter. When `decided` holds a change, the caller commits it, sends it
    to the other replicas and calls `step`. It also calls `step` at `due`. Once `result` is set, the proposal has
    ended.

    `number` is this replica's number. `change_to_complete` is a change that a voter accepted earlier: it is proposed
    for its own version and for no other.
    """

    def __init__(
        self,
        number: int,
        voters: Sequence[int],
        proposal: Proposal,
        target: ProposalTarget,
        rng: Random,
        now: float,
        change_to_complete: Change | None = None,
    ) -> None:
        self.change_to_complete = change_to_complete
        self._replica, self._voters, self.proposal = number, voters, proposal
        self._target, self._rng = target, rng
        self._quorum = len(voters) // 2 + 1
        self._version = -1  # the version that the attempts are for
        self._attempts, self._highest_number = 0, 0
        self._ballot = NO_BALLOT
        self._change: Change | None = None  # sent in Accept in the present attempt
        self._possible_version: int | None = None  # the version that this proposal may still become (rule 10)
        self._promises: dict[int, Promise] = {}
        self._accept_replies: dict[int, AcceptReply] = {}
        self._deadline = now + PROPOSAL_DEADLINE_SECONDS
        self._next_step = now  # when the next attempt begins, or the present one times out
        self._idle = True  # no attempt is under way
        self.outcomes: dict[int, str] = {}  # each voter's last outcome, for the text of a rejection
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
        """Advances the proposal as far as is possible at `now`: starts, ends or retries an attempt."""
        if self.result is not None:
            return
        if self._version != self._target.committed_version + 1:
            self._version, self._attempts, self._highest_number = self._target.committed_version + 1, 0, 0
            self._ballot, self._change, self._idle, self._next_step = NO_BALLOT, None, True, now
            if self._possible_version is not None and self._possible_version <= self._target.committed_version:
                self._possible_version = None  # decided; `completed` below tells whether with this proposal
        self.result = self._target.completed(self.proposal)
        if (
            self.result is None
            and self.change_to_complete is not None
            and self.change_to_complete.version != self._version
        ):
            self.result = RejectedProposal(
                "stale", f"version {self.change_to_complete.version} was decided with another change"
            )
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
        # A proposal that cannot become a change is rejected before any voter is asked.
        candidate = self.change_to_complete or self._target.build_change(self.proposal)
        if isinstance(candidate, RejectedProposal) and self._possible_version is None:
            self.result = candidate
            return
        self._attempts += 1
        self._highest_number += 1
        self._ballot, self._change = Ballot(self._highest_number, self._replica), None
        self._promises, self._accept_replies, self._idle = {}, {}, False
        self._next_step = now + self.attempt_timeout
        request = Prepare(self._version, self._ballot, self._target.epoch)
        self.requests += [(voter, request) for voter in self._voters]

    def _back_off(self, now: float) -> None:
        self._idle, self._ballot = True, NO_BALLOT
        self._next_step = now + FIRST_BACKOFF_SECONDS * float(1 << min(self._attempts, 5)) * self._rng.random()

    def _fail(self) -> None:
        outcomes = ", ".join(f"{voter} {self.outcomes.get(voter, 'silent')}" for voter in self._voters)
        if self._possible_version is not None:
            text = f"it may still become version {self._possible_version}: retry with the same ident ({outcomes})"
            self.result = RejectedProposal("unknown", text)
        else:
            self.result = RejectedProposal(
                "abstains", f"no majority of the voters took part; nothing was changed ({outcomes})"
            )

    def handle_promise(self, voter: int, request: Prepare, promise: Promise, now: float) -> None:
        """Counts a voter's reply to Prepare; with a quorum, sends Accept."""
        self._record_outcome(voter, promise.outcome, promise.ballot, request.version)
        # Ballot numbers restart with each version, so an earlier version may have used the same ballot.
        if (request.version, request.ballot) != (self._version, self._ballot) or self._change is not None:
            return
        self._promises.setdefault(voter, promise)
        granted = [reply for reply in self._promises.values() if reply.outcome == "promised"]
        if self._target.committed_version + 1 != self._version:
            return  # the version was decided meanwhile; the next `step` handles that
        if len(granted) >= self._quorum:
            self._request_accepts(granted, now)
        elif len(self._voters) - len(self._promises) + len(granted) < self._quorum:
            self._back_off(now)

    def _request_accepts(self, granted: list[Promise], now: float) -> None:
        found = [reply for reply in granted if reply.accepted is not None and reply.change is not None]
        if found:
            change = max(found, key=lambda reply: reply.accepted or NO_BALLOT).change
        else:
            own = self.change_to_complete or self._target.build_change(self.proposal)
            if isinstance(own, RejectedProposal):
                # The next `_begin_attempt` rejects the proposal, unless it may still be made.
                self._back_off(now)
                return
            change = own
        assert change is not None
        self._change, self._next_step = change, now + self.attempt_timeout
        if change.ident == self.proposal.ident:
            self._possible_version = change.version
        request = Accept(self._ballot, change, self._target.epoch)
        self.requests += [(voter, request) for voter in self._voters]

    def handle_accept_reply(self, voter: int, request: Accept, accept_reply: AcceptReply, now: float) -> None:
        """Counts a voter's reply to Accept; with a quorum, the change is decided."""
        self._record_outcome(voter, accept_reply.outcome, accept_reply.ballot, request.change.version)
        if (request.change.version, request.ballot) != (self._version, self._ballot) or self._change is None:
            return
        self._accept_replies.setdefault(voter, accept_reply)
        granted = sum(reply.outcome == "accepted" for reply in self._accept_replies.values())
        if granted >= self._quorum:
            self.decided, self._next_step = self._change, now + self.attempt_timeout
        elif len(self._voters) - len(self._accept_replies) + granted < self._quorum:
            self._back_off(now)

    def _record_outcome(self, voter: int, outcome: str, ballot: Ballot, version: int) -> None:
        self.outcomes[voter] = outcome
        if version == self._version:
            self._highest_number = max(self._highest_number, ballot.number)
