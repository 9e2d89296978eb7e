"""A machine of the configuration as a process: HTTP/1.1 in front of its rules, its store and its source.

    relays     GET  /configuration/watch?from=&digest=, /configuration/outline,
                    /configuration/buckets?version=&numbers=; POST /configuration/applied
    operators  POST /configuration; GET /configuration/status
    machines   POST /configuration/prepare, accept, decided, sign; GET /configuration/log?from=,
                    /configuration/snapshot?version=&page=

docs/configuration.md has the bodies. Connections, bytes that come in and bytes not yet sent are bounded by
the settings; whoever is over a bound is told so, or cut off where it does not read.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from lanelead.configuration.agreement import Proposer, Unfit
from lanelead.configuration.document import Document
from lanelead.configuration.messages import Asked, Call
from lanelead.configuration.publisher import SIGN, Gone
from lanelead.configuration.replica import Machine
from lanelead.configuration.replica_state import Holding
from lanelead.configuration.settings import Settings, place
from lanelead.configuration.store import Store, StoreFault
from lanelead.http import client, serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import STREAM, ServerConnection, chunk
from lanelead.protocols.configuration import (
    Accept,
    AcceptedProposal,
    AcceptReply,
    AppliedVersion,
    Heartbeat,
    LogPage,
    Prepare,
    Promise,
    Proposal,
    RejectedProposal,
)
from lanelead.protocols.configuration_replicas import (
    SNAPSHOT_PAGES,
    DecidedChange,
    PeerStatus,
    ReplicaStatus,
    SnapshotPage,
)
from lanelead.protocols.feeds import MessageError, decode, encode

FIELDS = [(b"content-type", b"application/json")]
STATUS = {"malformed": 400, "stale": 409, "unknown": 504, "overloaded": 503, "abstains": 503}
LONGEST = 16 << 20  # bytes of another machine's answer
PERIOD = 0.1  # seconds between two looks at who has to be told that this machine lives
IDLE = 60.0  # seconds without a request after which a connection is closed
LINGER = 2.0  # seconds for which one whose request was refused may still send
WAITING = 256  # operators' calls that are not answered yet
Answer = Promise | AcceptReply | Heartbeat | LogPage | SnapshotPage
PATHS: dict[type, tuple[bytes, type[Answer] | None]] = {
    Prepare: (b"prepare", Promise),
    Accept: (b"accept", AcceptReply),
    Heartbeat: (b"sign", Heartbeat),
    DecidedChange: (b"decided", None),
}


class Refused(Exception):
    def __init__(self, refusal: RejectedProposal, status: int | None = None) -> None:
        self.refusal, self.status = refusal, status or STATUS[refusal.why]


@dataclass
class Watcher:
    position: int | None
    told: float


class Service:
    def __init__(self, settings: Settings, store: Store, log: Any, rng: Random) -> None:
        self._settings, self._store, self._log = settings, store, log
        self._loop = asyncio.get_running_loop()
        bounds = settings.bounds
        holding = Holding(store, settings.voters, lambda: Document(bounds.entries, bounds.document_bytes), time.time)
        others = [row.number for row in settings.machines if row.number != settings.machine]
        self._places = {row.number: place(row.address) for row in settings.machines}
        self.machine = Machine(settings.machine, settings.voters, others, holding, rng, self._loop.time(), self._note)
        self._callers: dict[ServerConnection, float] = {}  # with when each last asked
        self._watchers: dict[ServerConnection, Watcher] = {}
        self._pending: dict[ServerConnection, tuple[Proposer, HttpRequest]] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._told_head = holding.head
        self._gets: dict[str, Callable[[dict[str, str]], msgspec.Struct]] = {
            "status": lambda _: self.status(),
            "outline": lambda _: self._source().outline(self._loop.time()),
            "buckets": lambda q: self._source().buckets(_whole(q, "version"), _numbers(q)),
            "log": lambda q: self.machine.asked_log(_whole(q, "from")),
            "snapshot": self._snapshot,
        }
        self._posts: dict[str, Callable[[bytes], msgspec.Struct]] = {
            "prepare": lambda body: self.machine.asked_prepare(self._read(body, Prepare), self._now()),
            "accept": lambda body: self.machine.asked_accept(self._read(body, Accept), self._now()),
            "sign": lambda body: self.machine.asked_sign(self._read(body, Heartbeat), self._now()),
            "decided": self._decided,
            "applied": self._applied,
        }

    def _now(self) -> float:
        return self._loop.time()

    def _note(self, text: str, remedy: str) -> None:
        self._log.warning(text, remedy=remedy)

    def _read(self, body: bytes, kind: type[Any]) -> Any:
        return decode(body, kind, self._settings.bounds.request_bytes)

    # Life

    async def open(self) -> None:
        where = place(self._settings.listen or self._settings.here.address)
        bounds = self._settings.bounds

        def caller() -> ServerConnection:
            return ServerConnection(self._heard, self._met, bounds.request_bytes, LINGER)

        self._server = await self._loop.create_server(caller, where.host, where.port, backlog=1024)
        self._beat()
        self._turn()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for caller in list(self._callers):
            caller.reset()
        self._store.close()

    def _beat(self) -> None:
        """Writes to those that have heard nothing for a while."""
        self._loop.call_later(PERIOD, self._beat)
        now = self._now()
        self._tell(now - SIGN + PERIOD)
        for caller, since in list(self._callers.items()):
            # Guards against connections that fill the bound and ask nothing.
            if now > since + IDLE and caller not in self._watchers and caller not in self._pending:
                caller.close()

    def _turn(self) -> None:
        """After anything that happened: carries out what is to be sent, answers who waited, tells changes."""
        machine = self.machine
        sent, machine.calls = machine.calls, []
        for call in sent:
            self._tasks[task := self._loop.create_task(self._carry(call))] = None
            task.add_done_callback(self._finished)
        for caller, (proposer, ask) in list(self._pending.items()):
            if proposer.result is not None:
                del self._pending[caller]
                self._proposed(caller, ask, proposer.result)
        if machine.holding.head != self._told_head:
            self._told_head = machine.holding.head
            self._tell(self._now() - SIGN + PERIOD)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(max(machine.due, self._now() + 0.001), self._tick)

    def _tick(self) -> None:
        try:
            self.machine.tick(self._now())
        except Exception:
            # Guards against a fault of ours that would leave the machine without signs of life for good.
            self._log.exception("a machine's turn failed")
        self._turn()

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("a call to another machine failed", exc_info=fault)

    async def _carry(self, call: Call) -> None:
        method, path, body = "POST", b"", b""
        kind: type[Answer] | None
        if isinstance(call.body, Asked):
            method, kind = "GET", SnapshotPage if call.body.snapshot else LogPage
            path = b"/configuration/log?from=%d" % call.body.since
            if call.body.snapshot:
                path = b"/configuration/snapshot?version=%d&page=%d" % (call.body.since, call.body.page)
        else:
            name, kind = PATHS[type(call.body)]
            path, body = b"/configuration/" + name, encode(call.body)
        answer: Any = None
        try:
            said = await client.call(self._loop, self._places[call.to], method, path, body, call.limit)
            if said.status == 200 and kind is not None:
                answer = decode(said.body, kind, LONGEST)
        except (client.CallFailedError, MessageError, TimeoutError):
            pass  # as if it had not answered: the rules ask again
        self.machine.answered(call, answer, self._now())
        self._turn()

    # Callers

    def _met(self, caller: ServerConnection) -> None:
        if len(self._callers) >= self._settings.bounds.connections:
            text = encode(RejectedProposal("overloaded", "too many connections: raise bounds.connections"))
            caller.write(serialization.response(503, FIELDS, text, False))
            caller.close()
            return
        self._callers[caller] = self._now()
        caller.close_callbacks.append(lambda: self._left(caller))

    def _left(self, caller: ServerConnection) -> None:
        self._callers.pop(caller, None)
        self._watchers.pop(caller, None)
        self._pending.pop(caller, None)

    def _heard(self, caller: ServerConnection, ask: HttpRequest) -> None:
        if caller not in self._callers:
            return
        self._callers[caller] = self._now()
        if caller in self._watchers or caller in self._pending:
            caller.close()  # one at a time: a second request would be answered in the wrong place
            return
        status = 200
        try:
            split = urlsplit(ask.target.decode("latin-1"))
            query = {name: some[0] for name, some in parse_qs(split.query).items()}
            name = split.path.removeprefix("/configuration").removeprefix("/")
            if not split.path.startswith("/configuration"):
                raise Refused(RejectedProposal("malformed", f"no call {split.path[:80]}"), 404)
            if ask.method == "GET" and name == "watch":
                self._watch(caller, query)
                return
            if ask.method == "POST" and name == "":
                self._propose(caller, ask)
                return
            body = encode(self._call(ask, name, query))
        except Refused as fault:
            status, body = fault.status, encode(fault.refusal)
        except (MessageError, Unfit, ValueError) as fault:  # the last: a target that is none
            status, body = 400, encode(RejectedProposal("malformed", str(fault)))
        except StoreFault as fault:
            status, body = 503, encode(RejectedProposal("abstains", f"{fault}; {fault.remedy}"))
        except Gone as fault:
            status, body = 410, encode(RejectedProposal("stale", str(fault)))
        self._answer(caller, ask, status, body)
        self._turn()

    def _call(self, ask: HttpRequest, name: str, query: dict[str, str]) -> msgspec.Struct:
        if ask.method == "GET" and name in self._gets:
            return self._gets[name](query)
        if ask.method == "POST" and name in self._posts:
            return self._posts[name](ask.body)
        raise Refused(RejectedProposal("malformed", f"no call {ask.method} /configuration/{name[:80]}"), 404)

    def _answer(self, caller: ServerConnection, ask: HttpRequest, status: int, body: bytes) -> None:
        caller.write(serialization.response(status, FIELDS, body, ask.keep))
        if not ask.keep:
            caller.close()

    # Operators

    def _propose(self, caller: ServerConnection, ask: HttpRequest) -> None:
        if len(self._pending) >= WAITING:
            raise Refused(RejectedProposal("overloaded", f"{WAITING} calls wait already: ask again in a while"))
        found = self.machine.propose(self._read(ask.body, Proposal), self._now())
        if isinstance(found, RejectedProposal):
            self._proposed(caller, ask, found)
        else:
            self._pending[caller] = found, ask
        self._turn()

    def _proposed(
        self, caller: ServerConnection, ask: HttpRequest, result: AcceptedProposal | RejectedProposal
    ) -> None:
        status = 200 if isinstance(result, AcceptedProposal) else STATUS[result.why]
        if isinstance(result, AcceptedProposal):
            self._log.info("change made", version=result.version)
        self._answer(caller, ask, status, encode(result))

    def status(self) -> ReplicaStatus:
        machine, now = self.machine, self._now()
        holding, here = machine.holding, self._settings.here
        peers = list[PeerStatus]()
        for row in self._settings.machines:
            if (seen := machine.seen.get(row.number)) is not None:
                age = None if seen.sent is None else max(0.0, (now - seen.sent) * 1000)
                peers.append(
                    PeerStatus(row.number, row.address, row.zone, row.region, row.voter, seen.head, age, seen.empty)
                )
        return ReplicaStatus(
            here.number,
            here.zone,
            here.region,
            here.voter,
            holding.history,
            holding.head,
            holding.document.digest,
            max(0.0, (now - machine.heard) * 1000),
            len(holding.document.entries),
            here.voter and not machine.votes,
            machine.fault,
            machine.waiting,
            peers,
            holding.source.followers(now),
        )

    # Machines

    def _decided(self, body: bytes) -> msgspec.Struct:
        self.machine.asked_decided(self._read(body, DecidedChange), self._now())
        return self.machine.sign()

    def _snapshot(self, query: dict[str, str]) -> msgspec.Struct:
        version, page = _whole(query, "version"), _whole(query, "page")
        if page >= SNAPSHOT_PAGES:
            raise MessageError(f"page: {page}, of {SNAPSHOT_PAGES}")
        found = self.machine.holding.snapshot(version, page, self._now())
        if found is None:
            raise Gone(f"no snapshot of version {version}")
        return found

    # Relays: what they are told is source.py's

    def _source(self) -> Any:
        holding = self.machine.holding
        if not holding.head:
            raise Refused(RejectedProposal("abstains", "this machine holds nothing yet: ask another"))
        holding.source.heard = self.machine.heard
        return holding.source

    def _applied(self, body: bytes) -> msgspec.Struct:
        told = self._read(body, AppliedVersion)
        self.machine.holding.source.applied(told, self._now())
        return AcceptedProposal(told.version)

    def _watch(self, caller: ServerConnection, query: dict[str, str]) -> None:
        position = self._source().position(_whole(query, "from"), query.get("digest", ""))
        caller.write(STREAM)
        self._watchers[caller] = Watcher(position, -1e9)
        self._tell(self._now() - SIGN + PERIOD)

    def _tell(self, before: float) -> None:
        """Writes to each watcher that was told last before then, or lacks a change."""
        if not self._watchers:
            return
        source, now, most = self._source(), self._now(), self._settings.bounds.unsent_bytes
        lines = dict[int | None, tuple[bytes, int | None]]()
        head = self.machine.holding.head
        for caller, watcher in list(self._watchers.items()):
            while caller.transport is not None:
                lacks = watcher.position is not None and watcher.position < head
                if not lacks and watcher.told > before:
                    break
                if caller.transport.get_write_buffer_size() > most:
                    # Guards against memory that fills with lines for one that does not read.
                    caller.reset()
                    break
                if watcher.told < 0 and watcher.position is not None:  # of which version its digest is
                    line, after = source.line(watcher.position, now)
                    line = msgspec.structs.replace(line, at=watcher.position)
                    data = chunk(encode(line) + b"\n")
                elif watcher.position not in lines:
                    line, after = source.line(watcher.position, now)
                    data = chunk(encode(line) + b"\n")
                    lines[watcher.position] = data, after
                else:
                    data, after = lines[watcher.position]
                caller.write(data)
                watcher.position, watcher.told = after, now


def _whole(query: dict[str, str], name: str) -> int:
    text = query.get(name, "")
    if not text.isdecimal() or len(text) > 15:
        raise MessageError(f"{name}: {text[:40]!r}; must be a whole number")
    return int(text)


def _numbers(query: dict[str, str]) -> list[int]:
    parts = query.get("numbers", "").split(",")
    return [_whole({"numbers": part}, "numbers") for part in parts]
