"""One of the machines that hold the configuration: its rules, without sockets and clocks.

Rules:
 1. Every 0.5 s a machine gives a sign of life to each other one. Only an answer to its own sign counts, as of
    when the sign was sent: what was held up on the way makes nothing look fresh.
 2. Whoever hears of a higher head asks for the changes between, or for a snapshot where they are not kept.
 3. One history is followed: a machine of another, or one whose settings name other voters, is left alone.
 4. A voter that starts with nothing on its disk may have voted before, and abstains. Once it has heard, since
    its start, from so many voters that do vote that one of them has accepted whatever it once held as decided
    (with n voters and a majority of m: n - m + 1 others), it votes again from their highest head plus 3 on:
    that voter held all but the last version that this one held, and this one voted on one more at the most.
 5. In a first start every voter is empty. One that sees all the others empty, and none that votes, becomes
    ready, on disk; one that is ready begins to vote when it sees all ready, or one that votes. One that is
    empty where somebody votes is not part of a first start: rule 4.
 6. Nothing is proposed for version 1 but by a voter that votes: else rule 5 could miss a vote.
 7. One proposal at a time, the others wait, a bounded number of them. What is decided is told to all.
 8. A change that a voter has accepted and that is not decided a while later is finished by that voter, for
    this version only: its proposer may have ended behind its answer and before a word to the others.
 9. `heard`: when a majority of voters, with itself, last had no higher head than its own.

What is to be sent is in `calls`; whoever carries them tells `answered`, with none where no answer came.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from random import Random

from lanelead.configuration.agreement import MAX_REPLY_SECONDS, Proposer, UnacceptableChangeError
from lanelead.configuration.messages import LONG_AGO_SECONDS, CatchUpRequest, PeerCall, PeerState
from lanelead.configuration.replica_checks import StoreHealth, mismatch
from lanelead.configuration.replica_limits import (
    COMPLETION_DELAY_SECONDS,
    HEARTBEAT_INTERVAL_SECONDS,
    MAX_COMPLETION_DELAY_SECONDS,
    MAX_CONCURRENT_FETCHES,
    MAX_QUEUED_PROPOSALS,
    MAX_UNANSWERED_HEARTBEATS,
)
from lanelead.configuration.replica_state import DivergenceError, ReplicaState
from lanelead.configuration.store import StoreError
from lanelead.protocols.configuration import (
    Accept,
    AcceptReply,
    Change,
    Heartbeat,
    LogPage,
    Prepare,
    Promise,
    Proposal,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import SNAPSHOT_PAGES, DecidedChange, SnapshotPage


class Replica:
    """`told`: is called with what an operator should read, and what to do."""

    def __init__(
        self,
        number: int,
        voters: Sequence[int],
        others: Sequence[int],
        holding: ReplicaState,
        rng: Random,
        now: float,
        told: Callable[[str, str], None] = lambda text, remedy: None,
    ) -> None:
        self.number, self.voters, self.state = number, tuple(voters), holding
        self.peers = {other: PeerState() for other in others}
        self.outgoing: list[PeerCall] = []
        self._rng, self._report, self._started = rng, told, now
        self._store_health = StoreHealth(told)
        self._quorum = len(self.voters) // 2 + 1
        self._queue: deque[Proposer] = deque()
        self._next_heartbeat = now
        self._now = now
        self._completion: tuple[int, float] | None = None  # a version, and when it is to be finished
        self._last_report = ""  # what was told last of changes that could not be taken
        self._completion_delay = COMPLETION_DELAY_SECONDS
        self._update_voting()

    @property
    def votes(self) -> bool:
        """Whether this replica takes part in votes."""
        return self.number in self.voters and not self.state.acceptor.non_voting

    @property
    def store_fault(self) -> str:
        """Of the store, at its last try; empty: none."""
        return self._store_health.fault

    @property
    def queued(self) -> int:
        """Proposals that wait or are under way."""
        return len(self._queue)

    @property
    def due(self) -> float:
        """When `tick` is to be called."""
        return min([self._next_heartbeat] + [proposer.due for proposer in list(self._queue)[:1]])

    @property
    def majority_heard_at(self) -> float:
        """When a majority of the voters was last heard."""
        times = [self._now] if self.number in self.voters else []
        for voter in self.voters:
            seen = self.peers.get(voter)
            if seen is not None and seen.caught_up_at is not None and not seen.empty:
                times.append(seen.caught_up_at)
        times.sort(reverse=True)
        return times[self._quorum - 1] if len(times) >= self._quorum else self._started + LONG_AGO_SECONDS

    def tick(self, now: float) -> None:
        """Sends heartbeats, completes accepted changes and goes on with proposals; to be called at `due`."""
        self._now = max(self._now, now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1)
            for other, seen in self.peers.items():
                if seen.unanswered < MAX_UNANSWERED_HEARTBEATS:
                    seen.unanswered += 1
                    self.outgoing.append(PeerCall(other, self.heartbeat(), now))
        self._complete_accepted(now)
        self._advance_proposals(now)

    def _complete_accepted(self, now: float) -> None:
        """Rule 8. Voters wait for times that differ, and longer each time: they would hinder each other."""
        acceptor = self.state.acceptor
        if acceptor.change is None or acceptor.non_voting:
            self._completion, self._completion_delay = None, COMPLETION_DELAY_SECONDS
            return
        if self._completion is None or self._completion[0] != acceptor.change.version:
            self._completion_delay = COMPLETION_DELAY_SECONDS
            self._completion = acceptor.change.version, now + COMPLETION_DELAY_SECONDS * (1 + self._rng.random())
        elif now >= self._completion[1] and not self._queue:
            self._completion_delay = min(MAX_COMPLETION_DELAY_SECONDS, self._completion_delay * 2)
            self._completion = self._completion[0], now + self._completion_delay * (1 + self._rng.random())
            change = acceptor.change
            what = Proposal(change.ident, change.entries)
            self._queue.append(Proposer(self.number, self.voters, what, self.state, self._rng, now, change))

    def heartbeat(self) -> Heartbeat:
        """This replica's heartbeat as of now."""
        holding = self.state
        empty = self.number in self.voters and holding.acceptor.non_voting
        return Heartbeat(
            self.number, holding.history, holding.committed_version, empty, holding.ready and empty, list(self.voters)
        )

    # What others ask. Each raises StoreError where nothing may be said.

    def handle_prepare(self, ask: Prepare, now: float) -> Promise:
        """Answers Prepare. Raises StoreError."""
        if ask.epoch != self.state.epoch and ask.version == self.state.committed_version + 1:
            return Promise("abstains", self.state.committed_version)
        if self.number not in self.voters:
            return Promise("abstains", self.state.committed_version)
        with self._store_health.track():
            promise = self.state.acceptor.prepare(ask)
        if promise.outcome == "behind":
            self._fetch(ask.ballot.replica, now)
        return promise

    def handle_accept(self, ask: Accept, now: float) -> AcceptReply:
        """Raises UnacceptableChangeError, too."""
        if ask.epoch != self.state.epoch and ask.change.version == self.state.committed_version + 1:
            return AcceptReply("abstains", self.state.committed_version)
        if self.number not in self.voters:
            return AcceptReply("abstains", self.state.committed_version)
        with self._store_health.track():
            vote = self.state.acceptor.accept(ask)
        if vote.outcome == "behind":
            self._fetch(ask.ballot.replica, now)
        return vote

    def handle_decided(self, told: DecidedChange, now: float) -> None:
        """Commits a change that another replica saw decided."""
        if told.epoch == self.state.epoch:
            self._commit_changes([told.change])
            self._advance_proposals(now)

    def handle_heartbeat(self, sign: Heartbeat, now: float) -> Heartbeat:
        """Answers a peer's heartbeat, and fetches changes where the peer has more."""
        seen = self.peers.get(sign.replica)
        if (
            seen is not None
            and self._check_peer(sign.replica, seen, sign)
            and sign.committed_version > self.state.committed_version
        ):
            self._fetch(sign.replica, now)
        return self.heartbeat()

    def read_log(self, since: int) -> LogPage:
        """Decided changes from version `since` on. Raises StoreError."""
        with self._store_health.track():
            changes, gone = self.state.log(since)
        return LogPage(self.state.history, self.state.committed_version, changes, gone)

    def propose(self, proposal: Proposal, now: float) -> Proposer | RejectedProposal:
        """What to wait for: its `result`."""
        if len(self._queue) >= MAX_QUEUED_PROPOSALS:
            return RejectedProposal(
                "overloaded", f"{MAX_QUEUED_PROPOSALS} proposals wait already: ask again in a while"
            )
        if self.state.committed_version == 0 and not self.votes:
            return RejectedProposal("abstains", "this machine holds nothing yet: ask another, or again in a while")
        proposer = Proposer(self.number, self.voters, proposal, self.state, self._rng, now)
        if self._queue and self._queue[0].completes is not None:
            self._queue.popleft()  # any other one finishes that too, and first
        self._queue.append(proposer)
        self._advance_proposals(now)
        return proposer

    # What came of calls

    def handle_reply(
        self, call: PeerCall, answer: Promise | AcceptReply | Heartbeat | LogPage | SnapshotPage | None, now: float
    ) -> None:
        """Takes the reply to a call from `outgoing`, or None where none came."""
        self._now = max(self._now, now)
        seen, proposer = self.peers[call.peer], call.proposer
        match call.body, answer:
            case Heartbeat(), _:
                seen.unanswered -= 1
                if isinstance(answer, Heartbeat):
                    self._handle_heartbeat_reply(call, seen, answer, now)
            case Prepare(), Promise() if proposer is not None:
                proposer.handle_promise(call.peer, call.body, answer, now)
                if answer.outcome == "ahead":
                    self._fetch(call.peer, now)
            case Accept(), AcceptReply() if proposer is not None:
                proposer.handle_accept_reply(call.peer, call.body, answer, now)
                if answer.outcome == "ahead":
                    self._fetch(call.peer, now)
            case CatchUpRequest(), _:
                seen.fetch_deadline = LONG_AGO_SECONDS
                if isinstance(answer, LogPage):
                    self._handle_log_page(call, seen, answer, now)
                elif isinstance(answer, SnapshotPage):
                    self._handle_snapshot_page(call, seen, answer, now)
                else:
                    seen.pages = []
        self._advance_proposals(now)

    def _handle_heartbeat_reply(self, call: PeerCall, seen: PeerState, sign: Heartbeat, now: float) -> None:
        if (seen.heartbeat_sent_at is not None and call.sent_at < seen.heartbeat_sent_at) or not self._check_peer(
            call.peer, seen, sign
        ):
            return
        seen.heartbeat_sent_at, seen.committed_version, seen.history = (
            call.sent_at,
            sign.committed_version,
            sign.history,
        )
        seen.empty, seen.ready = sign.empty, sign.ready
        if sign.committed_version <= self.state.committed_version:
            seen.caught_up_at = call.sent_at
        else:
            self._fetch(call.peer, now)
        self._update_voting()

    def _check_peer(self, number: int, seen: PeerState, sign: Heartbeat) -> bool:
        """Guards against versions of two histories taken for one, and majorities of two sets of voters."""
        why = mismatch(sign, number, self.state.history, self.voters)
        if why and why != seen.ignored_reason:
            self._report(f"machine {number} is left alone", why)
        seen.ignored_reason = why
        if why:
            seen.caught_up_at = None
        return not why

    def _update_voting(self) -> None:
        """Rules 4 and 5."""
        holding = self.state
        if self.number not in self.voters or holding.acceptor.votes_from is not None:
            return
        others = [self.peers[voter] for voter in self.voters if voter != self.number]
        fresh = [seen for seen in others if seen.heartbeat_sent_at is not None and not seen.ignored_reason]
        voting = [seen for seen in fresh if not seen.empty]
        try:
            whole = len(fresh) == len(others)
            new = whole and not voting and all(seen.committed_version == 0 and not seen.history for seen in fresh)
            if holding.committed_version == 0 and not holding.ready and new:
                with self._store_health.track():
                    holding.set_voting(True, None)
            if holding.ready and (voting or (whole and all(seen.ready for seen in fresh))):
                with self._store_health.track():
                    holding.set_voting(True, 1)
            elif not holding.ready and len(voting) >= len(self.voters) - self._quorum + 1:
                with self._store_health.track():
                    holding.set_voting(False, max(seen.committed_version for seen in voting) + 3)
        except StoreError:
            return  # told already, and tried again with the next sign

    # Catching up

    def _fetch(self, other: int, now: float) -> None:
        seen = self.peers.get(other)
        if seen is None or seen.ignored_reason or seen.fetch_deadline > now:
            return
        if sum(peer.fetch_deadline > now for peer in self.peers.values()) < MAX_CONCURRENT_FETCHES:
            seen.pages = []
            self._request_changes(other, seen, CatchUpRequest(self.state.committed_version + 1), now)

    def _request_changes(self, other: int, seen: PeerState, asked: CatchUpRequest, now: float) -> None:
        seen.fetch_deadline = now + MAX_REPLY_SECONDS
        self.outgoing.append(PeerCall(other, asked, now))

    def _handle_log_page(self, call: PeerCall, seen: PeerState, log: LogPage, now: float) -> None:
        mine = self.state.history
        if not log.history or (mine and log.history != mine):
            return
        if log.truncated:
            self._request_changes(call.peer, seen, CatchUpRequest(0, True), now)
        elif log.changes and not mine and log.changes[0].ident != log.history:
            self._report_once(f"the log of machine {call.peer}", "it does not begin with its history")
        elif self._commit_changes(log.changes) and self.state.committed_version < log.committed_version:
            self._request_changes(call.peer, seen, CatchUpRequest(self.state.committed_version + 1), now)

    def _handle_snapshot_page(self, call: PeerCall, seen: PeerState, page: SnapshotPage, now: float) -> None:
        seen.pages.append(page)
        if page.page != len(seen.pages) - 1 or page.version != seen.pages[0].version:
            seen.pages = []
        elif len(seen.pages) < SNAPSHOT_PAGES:
            self._request_changes(call.peer, seen, CatchUpRequest(page.version, True, page.page + 1), now)
        else:
            pages, seen.pages = seen.pages, []
            try:
                with self._store_health.track():
                    self.state.install(pages)
            except DivergenceError as fault:
                self._report_once(f"the snapshot of machine {call.peer} is not taken", str(fault))
            except StoreError:
                return
            self._refresh_caught_up()

    def _commit_changes(self, changes: Sequence[Change]) -> bool:
        """Has the head moved?"""
        before = self.state.committed_version
        try:
            with self._store_health.track():
                for change in changes:
                    self.state.commit(change)
        except DivergenceError as fault:
            remedy = "start this machine with no file, or with the same bounds as the others"
            self._report_once(str(fault), remedy)
        except StoreError:
            pass
        self._refresh_caught_up()
        return self.state.committed_version > before

    def _report_once(self, text: str, remedy: str) -> None:
        """Guards against a log that fills: what can't be taken is asked for again with each sign."""
        if text != self._last_report:
            self._report(text, remedy)
        self._last_report = text

    def _refresh_caught_up(self) -> None:
        for seen in self.peers.values():
            if seen.heartbeat_sent_at is not None and seen.committed_version <= self.state.committed_version:
                seen.caught_up_at = seen.heartbeat_sent_at

    # Proposals

    def _advance_proposals(self, now: float) -> None:
        """Goes on with the first proposal as far as that is possible now."""
        while self._queue:
            proposer = self._queue[0]
            proposer.step(now)
            if proposer.result is not None:
                self._queue.popleft()
                continue
            if proposer.decided is not None:
                change, proposer.decided = proposer.decided, None
                told = DecidedChange(change, self.state.epoch)
                self.outgoing += [PeerCall(other, told, now) for other in self.peers]
                if not self._commit_changes([change]):
                    return
                continue
            if not proposer.requests:
                return
            asks, proposer.requests = proposer.requests, []
            for voter, ask in asks:
                if voter != self.number:
                    self.outgoing.append(PeerCall(voter, ask, now, proposer, proposer.attempt_timeout))
            # Its own vote last, once the others' are under way.
            for voter, ask in asks:
                if voter == self.number:
                    self._vote_locally(proposer, ask, now)

    def _vote_locally(self, proposer: Proposer, ask: Prepare | Accept, now: float) -> None:
        try:
            if isinstance(ask, Prepare):
                proposer.handle_promise(self.number, ask, self.handle_prepare(ask, now), now)
            else:
                proposer.handle_accept_reply(self.number, ask, self.handle_accept(ask, now), now)
        except (StoreError, UnacceptableChangeError):
            proposer.outcomes[self.number] = "fault"
