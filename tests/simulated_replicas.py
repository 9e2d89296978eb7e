"""Configuration replicas in virtual time, with injected faults.

Links lose, duplicate, delay and cut messages; disks outlive a process or are lost; processes are killed at any step
of a store's transaction. The invariants are checked after each event.
"""

from __future__ import annotations

import heapq
import itertools
import sqlite3
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from lanelead.configuration.agreement import Proposer, UnacceptableChangeError
from lanelead.configuration.document import Document
from lanelead.configuration.messages import CatchUpRequest, PeerCall
from lanelead.configuration.replica import Replica
from lanelead.configuration.replica_state import ReplicaState
from lanelead.configuration.store import Store, StoreError
from lanelead.protocols.configuration import (
    Accept,
    AcceptedProposal,
    Entry,
    Heartbeat,
    Prepare,
    Proposal,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import DecidedChange


class Killed(BaseException):
    """Raised in the step of a replica at which its process is killed."""


class SharedConnectionStore(Store):
    """A store on a given connection, which stands for a disk that outlives the process."""

    def __init__(self, disk: sqlite3.Connection, log: int = 20_000) -> None:
        self._disk = disk
        super().__init__("", lambda: 0.0, log)

    def _connect(self, file: str | Path) -> sqlite3.Connection:
        if self._disk.in_transaction:
            self._disk.execute("ROLLBACK")
        return self._disk

    def close(self) -> None: ...  # the connection outlives the process


@dataclass
class Link:
    """One direction between two replicas. Times are in seconds, `loss` and `duplication` are probabilities."""

    cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    delay: float = 0.001
    jitter: float = 0.004  # a random time up to this is added to the delay


def proposal(ident: str, key: str = "tenant/a", value: Any = None, **expect: int) -> Proposal:
    """A proposal of one entry. `expect` has expected versions by key, with `_` for the slash."""
    body = msgspec.json.encode({"quota_per_s": 1.0} if value is None else value)
    return Proposal(ident, [Entry(key, msgspec.Raw(body))], {k.replace("_", "/"): v for k, v in expect.items()})


@dataclass
class SimulatedReplicas:
    """`count` replicas, of which `voters` vote, or all.

    `kill_probability` is the probability that a process is killed at each named point of its store (`Store.on_step`).
    `log` is the number of changes that each replica's log keeps.
    """

    count: int
    seed: int
    voters: Sequence[int] = ()
    kill_probability: float = 0.0
    log: int = 20_000
    now: float = 0.0
    replicas: dict[int, Replica | None] = field(default_factory=dict)
    decided: dict[int, tuple[str, str]] = field(default_factory=dict)  # ident and digest by version
    answers: dict[str, AcceptedProposal | RejectedProposal] = field(default_factory=dict)
    reports: list[tuple[int, str, str]] = field(default_factory=list)
    drops: Callable[[PeerCall], bool] = lambda call: False  # a fault that a test injects

    def __post_init__(self) -> None:
        self.rng = Random(f"machines {self.seed}")  # the text is part of the seed: another one gives other schedules
        self.voters = self.voters or range(self.count)
        self.links = {(a, b): Link() for a in range(self.count) for b in range(self.count) if a != b}
        self.disks = {number: self._new_disk() for number in range(self.count)}
        self.incarnations = dict.fromkeys(range(self.count), 0)
        self._checked = dict.fromkeys(range(self.count), 0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._open_proposals: list[tuple[str, int, int, Proposer]] = []
        self._idents: dict[str, int] = {}
        for number in range(self.count):
            self.start(number)

    def _new_disk(self) -> sqlite3.Connection:
        return sqlite3.connect(":memory:", isolation_level=None)

    # Processes

    def start(self, number: int, empty: bool = False) -> None:
        """Starts a process; with `empty`, on a new disk."""
        if empty:
            self.disks[number] = self._new_disk()
            self._checked[number] = 0
        self.incarnations[number] += 1
        store = SharedConnectionStore(self.disks[number], self.log)
        state = ReplicaState(store, list(self.voters), Document, lambda: 1.7e9 + self.now)
        others = [other for other in range(self.count) if other != number]
        replica = Replica(
            number,
            list(self.voters),
            others,
            state,
            self.rng,
            self.now,
            lambda text, remedy: self.reports.append((number, text, remedy)),
        )
        store.on_step = lambda point: self._maybe_kill(number, point)
        self.replicas[number] = replica
        self._tick(number, self.incarnations[number])

    def _maybe_kill(self, number: int, point: str) -> None:
        if self.kill_probability and self.rng.random() < self.kill_probability:
            raise Killed

    def kill(self, number: int) -> None:
        """Ends a process; its disk stays."""
        self.replicas[number] = None
        self.incarnations[number] += 1

    def abstaining_voters(self) -> list[int]:
        """Voters that may not vote after they lost their disk, whether they run or not."""
        found = []
        for voter in self.voters:
            replica = self.replicas[voter]
            if replica is not None:
                holds = not replica.state.acceptor.non_voting
            else:
                row = SharedConnectionStore(self.disks[voter], self.log).loaded
                holds = row.votes_from is not None and row.committed_version + 1 >= row.votes_from
            if not holds:
                found.append(voter)
        return found

    # Time

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Calls `action` at a virtual time."""
        heapq.heappush(self._events, (when, next(self._event_numbers), action))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Runs events for so many virtual seconds, or until the condition holds; returns whether it holds."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            if until():
                return True
            self.now, _, action = heapq.heappop(self._events)
            action()
            self.check()
        self.now = end
        return until()

    def _step(self, number: int, action: Callable[[Replica], Any]) -> Any:
        """Runs an action in a process, which may be killed at it, and sends the calls that it makes."""
        replica = self.replicas[number]
        if replica is None:
            return None
        try:
            answer = action(replica)
        except Killed:
            self.kill(number)
            return None
        except (StoreError, UnacceptableChangeError):
            answer = None
        calls, replica.outgoing = replica.outgoing, []
        for call in calls:
            self._send(number, call)
        return answer

    def _tick(self, number: int, incarnation: int) -> None:
        if self.incarnations[number] != incarnation:
            return
        self._step(number, lambda replica: replica.tick(self.now))
        replica = self.replicas[number]
        if replica is not None:
            self.schedule(max(replica.due, self.now + 0.005), lambda: self._tick(number, incarnation))

    def _arrival_times(self, a: int, b: int) -> list[float]:
        """When the copies of a message from a to b arrive; empty where it is lost."""
        link = self.links[a, b]
        if link.cut or self.rng.random() < link.loss:
            return []
        count = 1 + (self.rng.random() < link.duplication)
        return [self.now + link.delay + link.jitter * self.rng.random() for _ in range(count)]

    def _send(self, number: int, call: PeerCall) -> None:
        incarnation, done = self.incarnations[number], list[bool]()

        def finish(answer: Any) -> None:
            if not done and self.incarnations[number] == incarnation:
                done.append(True)
                self._step(number, lambda replica: replica.handle_reply(call, answer, self.now))

        def deliver() -> None:
            answer = self._step(call.peer, lambda replica: self.serve(replica, call.body))
            if answer is not None:
                for when in self._arrival_times(call.peer, number):
                    self.schedule(when, lambda: finish(answer))

        for when in self._arrival_times(number, call.peer) if not self.drops(call) else ():
            self.schedule(when, deliver)
        self.schedule(self.now + call.timeout, lambda: finish(None))

    def serve(self, replica: Replica, body: Any) -> Any:
        """Answers a call as a replica's HTTP service does."""
        match body:
            case Prepare():
                return replica.handle_prepare(body, self.now)
            case Accept():
                return replica.handle_accept(body, self.now)
            case DecidedChange():
                return replica.handle_decided(body, self.now)
            case Heartbeat():
                return replica.handle_heartbeat(body, self.now)
            case CatchUpRequest(since, False, _):
                return replica.read_log(since)
            case CatchUpRequest(version, True, page):
                return replica.state.snapshot(version, page, self.now)

    # Proposals

    def propose(self, number: int, proposal: Proposal) -> None:
        """Proposes at a replica; the result will be in `answers`."""
        found = self._step(number, lambda replica: replica.propose(proposal, self.now))
        if isinstance(found, Proposer):
            self._open_proposals.append((proposal.ident, number, self.incarnations[number], found))
        elif isinstance(found, RejectedProposal):
            self.answers.setdefault(proposal.ident, found)

    def answered(self, ident: str, seconds: float) -> bool:
        """Runs until a proposal has a result, at most so many seconds; returns whether it has one."""
        return self.run(seconds, lambda: ident in self.answers)

    # Invariants

    def check(self) -> None:
        """Asserts that each version is decided once, each ident is made once, and no replica goes back."""
        for number, replica in self.replicas.items():
            if replica is None or replica.state.committed_version == self._checked[number]:
                continue
            state, since = replica.state, self._checked[number] + 1
            assert state.committed_version >= since, "the committed version of a replica went back"
            changes, gone = state.log(max(since, state._store.first_log_version))
            for change in changes:
                self._record_decided(change.version, change.ident, change.digest)
            if gone or not changes:  # it installed a snapshot
                known = self.decided.get(state.committed_version)
                assert known is None or known[1] == state.document.digest, "a snapshot differs from its version"
            self._checked[number] = changes[-1].version if changes else state.committed_version
        for entry in list(self._open_proposals):
            ident, number, incarnation, proposer = entry
            if self.incarnations[number] != incarnation:  # the process ended, and the caller has no result
                self._open_proposals.remove(entry)
            elif proposer.result is not None:
                self._open_proposals.remove(entry)
                self._record_answer(ident, proposer.result)

    def _record_answer(self, ident: str, result: AcceptedProposal | RejectedProposal) -> None:
        if isinstance(result, AcceptedProposal):
            known = self.decided.get(result.version)
            assert known is not None and known[0] == ident, f"{ident} was reported as accepted but is not decided"
        before = self.answers.get(ident)
        assert not isinstance(before, AcceptedProposal) or before == result or isinstance(result, RejectedProposal)
        if not isinstance(before, AcceptedProposal):
            self.answers[ident] = result

    def _record_decided(self, version: int, ident: str, digest: str) -> None:
        assert self.decided.setdefault(version, (ident, digest)) == (ident, digest), f"two changes of version {version}"
        assert self._idents.setdefault(ident, version) == version, f"{ident} made twice"

    # Faults

    def cut(self, side: Iterable[int], other: Iterable[int], one_way: bool = False) -> None:
        """Cuts the links from each replica of `side` to each of `other`, and back unless `one_way`."""
        there = list(other)
        for a in side:
            for b in there:
                if a != b:
                    self.links[a, b].cut = True
                    self.links[b, a].cut = self.links[b, a].cut or not one_way

    def heal(self) -> None:
        """Restores all links to their defaults."""
        for pair in self.links:
            self.links[pair] = Link()

    def running(self) -> list[Replica]:
        """The replicas whose process runs."""
        return [replica for replica in self.replicas.values() if replica is not None]

    def replica(self, number: int) -> Replica:
        """The replica of this number, which must be running."""
        replica = self.replicas[number]
        assert replica is not None
        return replica

    def agreed(self) -> bool:
        """Whether all replicas run and have the newest decided version."""
        found = self.running()
        return len(found) == self.count and all(
            m.state.committed_version == max(self.decided, default=0) for m in found
        )
