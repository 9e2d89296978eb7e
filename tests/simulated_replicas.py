"""Machines of the configuration in virtual time: links that lose, double, delay and cut, disks that outlive
a process or are lost, kills between any two steps. What holds at all times is checked after each event."""

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
    """The process ended here."""


class SharedConnectionStore(Store):
    """A store whose connection stands for the disk: it outlives the process."""

    def __init__(self, disk: sqlite3.Connection, log: int = 20_000) -> None:
        self._disk = disk
        super().__init__("", lambda: 0.0, log)

    def _connect(self, file: str | Path) -> sqlite3.Connection:
        if self._disk.in_transaction:
            self._disk.execute("ROLLBACK")
        return self._disk

    def close(self) -> None: ...


@dataclass
class Link:
    cut: bool = False
    loss: float = 0.0
    double: float = 0.0
    delay: float = 0.001
    spread: float = 0.004


def proposal(ident: str, key: str = "tenant/a", value: Any = None, **expect: int) -> Proposal:
    body = msgspec.json.encode({"quota_per_s": 1.0} if value is None else value)
    return Proposal(ident, [Entry(key, msgspec.Raw(body))], {k.replace("_", "/"): v for k, v in expect.items()})


@dataclass
class SimulatedReplicas:
    """`voters` of `many` machines. `kills`: the chance of a process to end at each point of its store."""

    many: int
    seed: int
    voters: Sequence[int] = ()
    kills: float = 0.0
    log: int = 20_000
    now: float = 0.0
    machines: dict[int, Replica | None] = field(default_factory=dict)
    decided: dict[int, tuple[str, str]] = field(default_factory=dict)  # version to ident and digest
    answers: dict[str, AcceptedProposal | RejectedProposal] = field(default_factory=dict)
    notes: list[tuple[int, str, str]] = field(default_factory=list)
    dropped: Callable[[PeerCall], bool] = lambda call: False  # a fault by hand

    def __post_init__(self) -> None:
        self.chance = Random(f"machines {self.seed}")
        self.voters = self.voters or range(self.many)
        self.links = {(a, b): Link() for a in range(self.many) for b in range(self.many) if a != b}
        self.disks = {number: self._disk() for number in range(self.many)}
        self.lives = dict.fromkeys(range(self.many), 0)
        self._checked = dict.fromkeys(range(self.many), 0)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._asked: list[tuple[str, int, int, Proposer]] = []
        self._idents: dict[str, int] = {}
        for number in range(self.many):
            self.start(number)

    def _disk(self) -> sqlite3.Connection:
        return sqlite3.connect(":memory:", isolation_level=None)

    # Processes

    def start(self, number: int, empty: bool = False) -> None:
        if empty:
            self.disks[number] = self._disk()
            self._checked[number] = 0
        self.lives[number] += 1
        store = SharedConnectionStore(self.disks[number], self.log)
        holding = ReplicaState(store, list(self.voters), Document, lambda: 1.7e9 + self.now)
        others = [other for other in range(self.many) if other != number]
        machine = Replica(
            number,
            list(self.voters),
            others,
            holding,
            self.chance,
            self.now,
            lambda text, remedy: self.notes.append((number, text, remedy)),
        )
        store.on_step = lambda point: self._fate(number, point)
        self.machines[number] = machine
        self._tick(number, self.lives[number])

    def _fate(self, number: int, point: str) -> None:
        if self.kills and self.chance.random() < self.kills:
            raise Killed

    def kill(self, number: int) -> None:
        self.machines[number] = None
        self.lives[number] += 1

    def lost(self) -> list[int]:
        """Voters whose disk does not count: they abstain, whether they run or not."""
        found = []
        for voter in self.voters:
            machine = self.machines[voter]
            if machine is not None:
                holds = not machine.state.acceptor.non_voting
            else:
                row = SharedConnectionStore(self.disks[voter], self.log).loaded
                holds = row.votes_from is not None and row.committed_version + 1 >= row.votes_from
            if not holds:
                found.append(voter)
        return found

    # Time

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._count), what))

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            if until():
                return True
            self.now, _, what = heapq.heappop(self._events)
            what()
            self.check()
        self.now = end
        return until()

    def _step(self, number: int, what: Callable[[Replica], Any]) -> Any:
        """Something happens in a process, which may end at it."""
        machine = self.machines[number]
        if machine is None:
            return None
        try:
            answer = what(machine)
        except Killed:
            self.kill(number)
            return None
        except (StoreError, UnacceptableChangeError):
            answer = None
        calls, machine.outgoing = machine.outgoing, []
        for call in calls:
            self._send(number, call)
        return answer

    def _tick(self, number: int, life: int) -> None:
        if self.lives[number] != life:
            return
        self._step(number, lambda machine: machine.tick(self.now))
        machine = self.machines[number]
        if machine is not None:
            self.at(max(machine.due, self.now + 0.005), lambda: self._tick(number, life))

    def _passes(self, a: int, b: int) -> list[float]:
        """When copies of what a says to b arrive."""
        link = self.links[a, b]
        if link.cut or self.chance.random() < link.loss:
            return []
        many = 1 + (self.chance.random() < link.double)
        return [self.now + link.delay + link.spread * self.chance.random() for _ in range(many)]

    def _send(self, number: int, call: PeerCall) -> None:
        life, done = self.lives[number], list[bool]()

        def ended(answer: Any) -> None:
            if not done and self.lives[number] == life:
                done.append(True)
                self._step(number, lambda machine: machine.handle_reply(call, answer, self.now))

        def arrived() -> None:
            answer = self._step(call.peer, lambda machine: self.serve(machine, call.body))
            if answer is not None:
                for when in self._passes(call.peer, number):
                    self.at(when, lambda: ended(answer))

        for when in self._passes(number, call.peer) if not self.dropped(call) else ():
            self.at(when, arrived)
        self.at(self.now + call.timeout, lambda: ended(None))

    def serve(self, machine: Replica, body: Any) -> Any:
        match body:
            case Prepare():
                return machine.handle_prepare(body, self.now)
            case Accept():
                return machine.handle_accept(body, self.now)
            case DecidedChange():
                return machine.handle_decided(body, self.now)
            case Heartbeat():
                return machine.handle_heartbeat(body, self.now)
            case CatchUpRequest(since, False, _):
                return machine.read_log(since)
            case CatchUpRequest(version, True, page):
                return machine.state.snapshot(version, page, self.now)

    # Proposals

    def propose(self, number: int, what: Proposal) -> None:
        found = self._step(number, lambda machine: machine.propose(what, self.now))
        if isinstance(found, Proposer):
            self._asked.append((what.ident, number, self.lives[number], found))
        elif isinstance(found, RejectedProposal):
            self.answers.setdefault(what.ident, found)

    def answered(self, ident: str, seconds: float) -> bool:
        return self.run(seconds, lambda: ident in self.answers)

    # What holds at all times

    def check(self) -> None:
        for number, machine in self.machines.items():
            if machine is None or machine.state.committed_version == self._checked[number]:
                continue
            holding, since = machine.state, self._checked[number] + 1
            assert holding.committed_version >= since, "a machine went back"
            changes, gone = holding.log(max(since, holding._store.first_log_version))
            for change in changes:
                self._once(change.version, change.ident, change.digest)
            if gone or not changes:  # taken as a snapshot
                known = self.decided.get(holding.committed_version)
                assert known is None or known[1] == holding.document.digest, "a snapshot of something else"
            self._checked[number] = changes[-1].version if changes else holding.committed_version
        for entry in list(self._asked):
            ident, number, life, proposer = entry
            if self.lives[number] != life:  # nobody was answered: it may be made or not
                self._asked.remove(entry)
            elif proposer.result is not None:
                self._asked.remove(entry)
                self._told(ident, proposer.result)

    def _told(self, ident: str, result: AcceptedProposal | RejectedProposal) -> None:
        if isinstance(result, AcceptedProposal):
            known = self.decided.get(result.version)
            assert known is not None and known[0] == ident, f"{ident} answered as made, and is not"
        before = self.answers.get(ident)
        assert not isinstance(before, AcceptedProposal) or before == result or isinstance(result, RejectedProposal)
        if not isinstance(before, AcceptedProposal):
            self.answers[ident] = result

    def _once(self, version: int, ident: str, digest: str) -> None:
        assert self.decided.setdefault(version, (ident, digest)) == (ident, digest), f"two of version {version}"
        assert self._idents.setdefault(ident, version) == version, f"{ident} made twice"

    # Faults

    def cut(self, side: Iterable[int], other: Iterable[int], one_way: bool = False) -> None:
        there = list(other)
        for a in side:
            for b in there:
                if a != b:
                    self.links[a, b].cut = True
                    self.links[b, a].cut = self.links[b, a].cut or not one_way

    def heal(self) -> None:
        for pair in self.links:
            self.links[pair] = Link()

    def up(self) -> list[Replica]:
        return [machine for machine in self.machines.values() if machine is not None]

    def alive(self, number: int) -> Replica:
        machine = self.machines[number]
        assert machine is not None
        return machine

    def agreed(self) -> bool:
        """Do all run, and hold the same?"""
        found = self.up()
        return len(found) == self.many and all(m.state.committed_version == max(self.decided, default=0) for m in found)
