"""One replica of the configuration: its rules, without sockets and clocks.

An empty voter is one that started without a store and may not vote yet, even if it has fetched versions since.

Rules:
 1. A replica sends a heartbeat to every other one each 0.5 s. How up to date a peer is follows only from responses
    to its own heartbeats, as of when those were sent: a delayed message never makes a peer look up to date.
 2. A replica that learns of a higher committed version fetches the changes; a snapshot if the peer's log lacks them.
 3. It ignores a peer with another history, other voters in its settings, or another number than expected.
 4. An empty voter may have voted before, so it abstains until it has heard, since its start, from n - m + 1 voters
    that do vote (of n, with a majority of m). At least one of these is in the majority that accepted the last version
    this voter had committed, so it holds the version before that one. This voter had voted at most on the version
    after it. So it votes again from the highest committed version of those voters plus 3.
 5. In a first start every voter is empty. A voter that sees all others empty, at version 0 and without a history,
    stores that it is ready. A ready voter begins to vote when it sees all others ready, or one that votes already.
    For an empty voter that is not ready by then, rule 4 applies.
 6. Only a replica that votes proposes for version 1. Otherwise rule 5 could overlook a vote.
 7. One proposal runs at a time; a bounded number waits. A decided change is sent to all replicas.
 8. A voter completes a change that it accepted and that stays undecided, for that version only: the proposer
    may have ended after it answered its caller and before it told any other replica.
 9. `majority_heard_at` is when a majority of the voters last had no version higher than this replica's own. Empty
    peers do not count; this replica counts if it is a voter.

Calls to make are in `outgoing`; the caller passes each reply to `handle_reply`, or None where none came.
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
    """A replica's rules. `report` is called with a problem for the operator and its remedy or cause."""

    def __init__(
        self,
        number: int,
        voters: Sequence[int],
        peer_numbers: Sequence[int],
        state: ReplicaState,
        rng: Random,
        now: float,
        report: Callable[[str, str], None] = lambda text, remedy: None,
    ) -> None:
        self.number, self.voters, self.state = number, tuple(voters), state
        self.peers = {peer_number: PeerState() for peer_number in peer_numbers}
        self.outgoing: list[PeerCall] = []
        self._rng, self._report, self._started = rng, report, now
        self._store_health = StoreHealth(report)
        self._quorum = len(self.voters) // 2 + 1
        self._queue: deque[Proposer] = deque()
        self._next_heartbeat = now
        self._now = now
        self._completion: tuple[int, float] | None = None  # a version, and when to complete its change
        self._last_report = ""  # the last problem reported by `_report_once`
        self._completion_delay = COMPLETION_DELAY_SECONDS
        self._update_voting()

    @property
    def votes(self) -> bool:
        """Whether this replica takes part in votes."""
        return self.number in self.voters and not self.state.acceptor.non_voting

    @property
    def store_fault(self) -> str:
        """The last error of the store; empty once an operation succeeded after it."""
        return self._store_health.fault

    @property
    def queued(self) -> int:
        """The number of proposals that wait or are under way."""
        return len(self._queue)

    @property
    def due(self) -> float:
        """When `tick` is to be called."""
        return min([self._next_heartbeat] + [proposer.due for proposer in list(self._queue)[:1]])

    @property
    def majority_heard_at(self) -> float:
        """When a majority last had no higher version (rule 9); long before the start where that was never so."""
        times = [self._now] if self.number in self.voters else []
        for voter in self.voters:
            peer = self.peers.get(voter)
            if peer is not None and peer.caught_up_at is not None and not peer.empty:
                times.append(peer.caught_up_at)
        times.sort(reverse=True)
        return times[self._quorum - 1] if len(times) >= self._quorum else self._started + LONG_AGO_SECONDS

    def tick(self, now: float) -> None:
        """Queues heartbeats in `outgoing`, completes accepted changes and advances proposals; call it at `due`."""
        self._now = max(self._now, now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_INTERVAL_SECONDS * self._rng.uniform(0.9, 1.1)
            for peer_number, peer in self.peers.items():
                if peer.unanswered < MAX_UNANSWERED_HEARTBEATS:
                    peer.unanswered += 1
                    self.outgoing.append(PeerCall(peer_number, self.heartbeat(), now))
        self._complete_accepted(now)
        self._advance_proposals(now)

    def _complete_accepted(self, now: float) -> None:
        """Proposes an accepted, undecided change (rule 8). Delays are random and double, so voters rarely collide."""
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
            proposal = Proposal(change.ident, change.entries)
            self._queue.append(Proposer(self.number, self.voters, proposal, self.state, self._rng, now, change))

    def heartbeat(self) -> Heartbeat:
        """This replica's heartbeat as of now."""
        state = self.state
        empty = self.number in self.voters and state.acceptor.non_voting
        return Heartbeat(
            self.number, state.history, state.committed_version, empty, state.ready and empty, list(self.voters)
        )

    # Requests of others. handle_prepare, handle_accept and read_log raise StoreError.

    def handle_prepare(self, request: Prepare, now: float) -> Promise:
        """Answers Prepare; a voter that lacks earlier versions fetches them. Raises StoreError."""
        if request.epoch != self.state.epoch and request.version == self.state.committed_version + 1:
            return Promise("abstains", self.state.committed_version)
        if self.number not in self.voters:
            return Promise("abstains", self.state.committed_version)
        with self._store_health.track():
            promise = self.state.acceptor.prepare(request)
        if promise.outcome == "behind":
            self._fetch(request.ballot.replica, now)
        return promise

    def handle_accept(self, request: Accept, now: float) -> AcceptReply:
        """Answers Accept, and fetches as for Prepare. Raises StoreError and UnacceptableChangeError."""
        if request.epoch != self.state.epoch and request.change.version == self.state.committed_version + 1:
            return AcceptReply("abstains", self.state.committed_version)
        if self.number not in self.voters:
            return AcceptReply("abstains", self.state.committed_version)
        with self._store_health.track():
            accept_reply = self.state.acceptor.accept(request)
        if accept_reply.outcome == "behind":
            self._fetch(request.ballot.replica, now)
        return accept_reply

    def handle_decided(self, message: DecidedChange, now: float) -> None:
        """Commits a decided change of this epoch if it is the next version; ignores any other."""
        if message.epoch == self.state.epoch:
            self._commit_changes([message.change])
            self._advance_proposals(now)

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> Heartbeat:
        """Answers a peer's heartbeat; unless the peer is ignored, fetches changes where its version is higher."""
        peer = self.peers.get(heartbeat.replica)
        if (
            peer is not None
            and self._check_peer(heartbeat.replica, peer, heartbeat)
            and heartbeat.committed_version > self.state.committed_version
        ):
            self._fetch(heartbeat.replica, now)
        return self.heartbeat()

    def read_log(self, since: int) -> LogPage:
        """Returns a page of decided changes from version `since` on. Raises StoreError."""
        with self._store_health.track():
            changes, truncated = self.state.log(since)
        return LogPage(self.state.history, self.state.committed_version, changes, truncated)

    def propose(self, proposal: Proposal, now: float) -> Proposer | RejectedProposal:
        """Queues a proposal. The caller waits for the `result` of the Proposer returned."""
        if len(self._queue) >= MAX_QUEUED_PROPOSALS:
            return RejectedProposal("overloaded", f"{MAX_QUEUED_PROPOSALS} proposals are queued already: retry later")
        if self.state.committed_version == 0 and not self.votes:
            return RejectedProposal("abstains", "this replica has no version yet: ask another one, or retry later")
        proposer = Proposer(self.number, self.voters, proposal, self.state, self._rng, now)
        if self._queue and self._queue[0].change_to_complete is not None:
            self._queue.popleft()  # the new proposer first completes it if a promise carries it; else rule 8 retries
        self._queue.append(proposer)
        self._advance_proposals(now)
        return proposer

    # Replies

    def handle_reply(
        self, call: PeerCall, answer: Promise | AcceptReply | Heartbeat | LogPage | SnapshotPage | None, now: float
    ) -> None:
        """Takes the reply to a call from `outgoing`, or None where none came."""
        self._now = max(self._now, now)
        peer, proposer = self.peers[call.peer], call.proposer
        match call.body, answer:
            case Heartbeat(), _:
                peer.unanswered -= 1
                if isinstance(answer, Heartbeat):
                    self._handle_heartbeat_reply(call, peer, answer, now)
            case Prepare(), Promise() if proposer is not None:
                proposer.handle_promise(call.peer, call.body, answer, now)
                if answer.outcome == "ahead":
                    self._fetch(call.peer, now)
            case Accept(), AcceptReply() if proposer is not None:
                proposer.handle_accept_reply(call.peer, call.body, answer, now)
                if answer.outcome == "ahead":
                    self._fetch(call.peer, now)
            case CatchUpRequest(), _:
                peer.fetch_deadline = LONG_AGO_SECONDS
                if isinstance(answer, LogPage):
                    self._handle_log_page(call, peer, answer, now)
                elif isinstance(answer, SnapshotPage):
                    self._handle_snapshot_page(call, peer, answer, now)
                else:
                    peer.pages = []
        self._advance_proposals(now)

    def _handle_heartbeat_reply(self, call: PeerCall, peer: PeerState, heartbeat: Heartbeat, now: float) -> None:
        if (peer.heartbeat_sent_at is not None and call.sent_at < peer.heartbeat_sent_at) or not self._check_peer(
            call.peer, peer, heartbeat
        ):
            return
        peer.heartbeat_sent_at, peer.committed_version, peer.history = (
            call.sent_at,
            heartbeat.committed_version,
            heartbeat.history,
        )
        peer.empty, peer.ready = heartbeat.empty, heartbeat.ready
        if heartbeat.committed_version <= self.state.committed_version:
            peer.caught_up_at = call.sent_at
        else:
            self._fetch(call.peer, now)
        self._update_voting()

    def _check_peer(self, number: int, peer: PeerState, heartbeat: Heartbeat) -> bool:
        """Records and reports why a peer is ignored, if it is (rule 3); returns whether it is not."""
        why = mismatch(heartbeat, number, self.state.history, self.voters)
        if why and why != peer.ignored_reason:
            self._report(f"replica {number} is ignored", why)
        peer.ignored_reason = why
        if why:
            peer.caught_up_at = None
        return not why

    def _update_voting(self) -> None:
        """Begins to vote, or becomes ready to, by rules 4 and 5."""
        state = self.state
        if self.number not in self.voters or state.acceptor.votes_from is not None:
            return
        others = [self.peers[voter] for voter in self.voters if voter != self.number]
        heard = [peer for peer in others if peer.heartbeat_sent_at is not None and not peer.ignored_reason]
        voting = [peer for peer in heard if not peer.empty]
        try:
            all_heard = len(heard) == len(others)
            new = all_heard and not voting and all(peer.committed_version == 0 and not peer.history for peer in heard)
            if state.committed_version == 0 and not state.ready and new:
                with self._store_health.track():
                    state.set_voting(True, None)
            if state.ready and (voting or (all_heard and all(peer.ready for peer in heard))):
                with self._store_health.track():
                    state.set_voting(True, 1)
            elif not state.ready and len(voting) >= len(self.voters) - self._quorum + 1:
                with self._store_health.track():
                    state.set_voting(False, max(peer.committed_version for peer in voting) + 3)
        except StoreError:
            return  # `track` reports it; the next heartbeat response tries again

    # Catching up

    def _fetch(self, peer_number: int, now: float) -> None:
        peer = self.peers.get(peer_number)
        if peer is None or peer.ignored_reason or peer.fetch_deadline > now:
            return
        if sum(peer.fetch_deadline > now for peer in self.peers.values()) < MAX_CONCURRENT_FETCHES:
            peer.pages = []
            self._request_changes(peer_number, peer, CatchUpRequest(self.state.committed_version + 1), now)

    def _request_changes(self, peer_number: int, peer: PeerState, request: CatchUpRequest, now: float) -> None:
        peer.fetch_deadline = now + MAX_REPLY_SECONDS
        self.outgoing.append(PeerCall(peer_number, request, now))

    def _handle_log_page(self, call: PeerCall, peer: PeerState, log: LogPage, now: float) -> None:
        own_history = self.state.history
        if not log.history or (own_history and log.history != own_history):
            return
        if log.truncated:
            self._request_changes(call.peer, peer, CatchUpRequest(0, True), now)
        elif log.changes and not own_history and log.changes[0].ident != log.history:
            self._report_once(f"rejected the log of replica {call.peer}", "its history is not the ident of version 1")
        elif self._commit_changes(log.changes) and self.state.committed_version < log.committed_version:
            self._request_changes(call.peer, peer, CatchUpRequest(self.state.committed_version + 1), now)

    def _handle_snapshot_page(self, call: PeerCall, peer: PeerState, page: SnapshotPage, now: float) -> None:
        peer.pages.append(page)
        if page.page != len(peer.pages) - 1 or page.version != peer.pages[0].version:
            peer.pages = []
        elif len(peer.pages) < SNAPSHOT_PAGES:
            self._request_changes(call.peer, peer, CatchUpRequest(page.version, True, page.page + 1), now)
        else:
            pages, peer.pages = peer.pages, []
            try:
                with self._store_health.track():
                    self.state.install(pages)
            except DivergenceError as error:
                self._report_once(f"a snapshot of replica {call.peer} was rejected", str(error))
            except StoreError:
                return
            self._refresh_caught_up()

    def _commit_changes(self, changes: Sequence[Change]) -> bool:
        """Commits those changes that follow the committed version in turn; returns whether it rose."""
        before = self.state.committed_version
        try:
            with self._store_health.track():
                for change in changes:
                    self.state.commit(change)
        except DivergenceError as error:
            remedy = "set the same bounds as on the other replicas, or restart without the store file"
            self._report_once(str(error), remedy)
        except StoreError:
            pass
        self._refresh_caught_up()
        return self.state.committed_version > before

    def _report_once(self, text: str, remedy: str) -> None:
        """Reports a problem unless it was the last one reported here: each heartbeat may lead to the same one."""
        if text != self._last_report:
            self._report(text, remedy)
        self._last_report = text

    def _refresh_caught_up(self) -> None:
        for peer in self.peers.values():
            if peer.heartbeat_sent_at is not None and peer.committed_version <= self.state.committed_version:
                peer.caught_up_at = peer.heartbeat_sent_at

    # Proposals

    def _advance_proposals(self, now: float) -> None:
        """Advances the queue of proposals, the first one at a time, as far as is possible now."""
        while self._queue:
            proposer = self._queue[0]
            proposer.step(now)
            if proposer.result is not None:
                self._queue.popleft()
                continue
            if proposer.decided is not None:
                change, proposer.decided = proposer.decided, None
                message = DecidedChange(change, self.state.epoch)
                self.outgoing += [PeerCall(peer_number, message, now) for peer_number in self.peers]
                if not self._commit_changes([change]):
                    return
                continue
            if not proposer.requests:
                return
            requests, proposer.requests = proposer.requests, []
            for voter, request in requests:
                if voter != self.number:
                    self.outgoing.append(PeerCall(voter, request, now, proposer, proposer.attempt_timeout))
            # This replica's own vote comes last, after the requests to the other voters are queued.
            for voter, request in requests:
                if voter == self.number:
                    self._vote_locally(proposer, request, now)

    def _vote_locally(self, proposer: Proposer, request: Prepare | Accept, now: float) -> None:
        try:
            if isinstance(request, Prepare):
                proposer.handle_promise(self.number, request, self.handle_prepare(request, now), now)
            else:
                proposer.handle_accept_reply(self.number, request, self.handle_accept(request, now), now)
        except (StoreError, UnacceptableChangeError):
            proposer.outcomes[self.number] = "fault"
