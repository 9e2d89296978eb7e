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
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from lanelead.configuration.agreement import Proposer, UnacceptableChangeError
from lanelead.configuration.document import Document
from lanelead.configuration.http_calls import (
    REJECTION_STATUS,
    RejectedCallError,
    Watcher,
    bucket_numbers,
    integer_parameter,
)
from lanelead.configuration.messages import CatchUpRequest, PeerCall
from lanelead.configuration.publisher import WATCH_HEARTBEAT_SECONDS, ChangePublisher, SnapshotExpiredError
from lanelead.configuration.replica import Replica
from lanelead.configuration.replica_state import ReplicaState
from lanelead.configuration.settings import Settings, address_of
from lanelead.configuration.store import Store, StoreError
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

JSON_HEADERS = [(b"content-type", b"application/json")]
MAX_REPLY_BYTES = 16 << 20  # bytes of another machine's answer
WATCH_CHECK_SECONDS = 0.1  # seconds between two looks at who has to be told that this machine lives
IDLE_CONNECTION_SECONDS = 60.0  # seconds without a request after which a connection is closed
REJECTED_SEND_SECONDS = 2.0  # seconds for which one whose request was refused may still send
MAX_PENDING_PROPOSALS = 256  # operators' calls that are not answered yet
PeerReply = Promise | AcceptReply | Heartbeat | LogPage | SnapshotPage
PEER_CALLS: dict[type, tuple[bytes, type[PeerReply] | None]] = {
    Prepare: (b"prepare", Promise),
    Accept: (b"accept", AcceptReply),
    Heartbeat: (b"sign", Heartbeat),
    DecidedChange: (b"decided", None),
}


class Service:
    """Serves one replica over HTTP and carries its calls to the other replicas."""

    def __init__(self, settings: Settings, store: Store, log: Any, rng: Random) -> None:
        self._settings, self._store, self._log = settings, store, log
        self._loop = asyncio.get_running_loop()
        bounds = settings.bounds
        holding = ReplicaState(
            store, settings.voters, lambda: Document(bounds.entries, bounds.document_bytes), time.time
        )
        others = [row.number for row in settings.replicas if row.number != settings.replica]
        self._addresses = {row.number: address_of(row.address) for row in settings.replicas}
        self.replica = Replica(
            settings.replica, settings.voters, others, holding, rng, self._loop.time(), self._log_report
        )
        self._connections: dict[ServerConnection, float] = {}  # with when each last asked
        self._watchers: dict[ServerConnection, Watcher] = {}
        self._pending: dict[ServerConnection, tuple[Proposer, HttpRequest]] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._announced_version = holding.committed_version
        self._get_routes: dict[str, Callable[[dict[str, str]], msgspec.Struct]] = {
            "status": lambda _: self.status(),
            "outline": lambda _: self._publisher().digest_tree(self._loop.time()),
            "buckets": lambda q: self._publisher().buckets(integer_parameter(q, "version"), bucket_numbers(q)),
            "log": lambda q: self.replica.read_log(integer_parameter(q, "from")),
            "snapshot": self._snapshot_route,
        }
        self._post_routes: dict[str, Callable[[bytes], msgspec.Struct]] = {
            "prepare": lambda body: self.replica.handle_prepare(self._decode(body, Prepare), self._now()),
            "accept": lambda body: self.replica.handle_accept(self._decode(body, Accept), self._now()),
            "sign": lambda body: self.replica.handle_heartbeat(self._decode(body, Heartbeat), self._now()),
            "decided": self._decided_route,
            "applied": self._applied_route,
        }

    def _now(self) -> float:
        return self._loop.time()

    def _log_report(self, text: str, remedy: str) -> None:
        self._log.warning(text, remedy=remedy)

    def _decode(self, body: bytes, kind: type[Any]) -> Any:
        return decode(body, kind, self._settings.bounds.request_bytes)

    # Life

    async def open(self) -> None:
        """Listens and starts the timers. Raises OSError."""
        where = address_of(self._settings.listen or self._settings.own.address)
        bounds = self._settings.bounds

        def caller() -> ServerConnection:
            return ServerConnection(
                self._request_received, self._connection_opened, bounds.request_bytes, REJECTED_SEND_SECONDS
            )

        self._server = await self._loop.create_server(caller, where.host, where.port, backlog=1024)
        self._check_connections()
        self._after_event()

    async def close(self) -> None:
        """Stops listening, cancels calls and closes the store."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for caller in list(self._connections):
            caller.reset()
        self._store.close()

    def _check_connections(self) -> None:
        """Writes to those that have heard nothing for a while."""
        self._loop.call_later(WATCH_CHECK_SECONDS, self._check_connections)
        now = self._now()
        self._write_watches(now - WATCH_HEARTBEAT_SECONDS + WATCH_CHECK_SECONDS)
        for caller, since in list(self._connections.items()):
            # Guards against connections that fill the bound and ask nothing.
            if now > since + IDLE_CONNECTION_SECONDS and caller not in self._watchers and caller not in self._pending:
                caller.close()

    def _after_event(self) -> None:
        """After anything that happened: carries out what is to be sent, answers who waited, tells changes."""
        machine = self.replica
        sent, machine.outgoing = machine.outgoing, []
        for call in sent:
            self._tasks[task := self._loop.create_task(self._call_peer(call))] = None
            task.add_done_callback(self._task_finished)
        for caller, (proposer, ask) in list(self._pending.items()):
            if proposer.result is not None:
                del self._pending[caller]
                self._respond_proposal(caller, ask, proposer.result)
        if machine.state.committed_version != self._announced_version:
            self._announced_version = machine.state.committed_version
            self._write_watches(self._now() - WATCH_HEARTBEAT_SECONDS + WATCH_CHECK_SECONDS)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(max(machine.due, self._now() + 0.001), self._tick)

    def _tick(self) -> None:
        try:
            self.replica.tick(self._now())
        except Exception:
            # Guards against a fault of ours that would leave the machine without signs of life for good.
            self._log.exception("a machine's turn failed")
        self._after_event()

    def _task_finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("a call to another machine failed", exc_info=fault)

    async def _call_peer(self, call: PeerCall) -> None:
        method, path, body = "POST", b"", b""
        kind: type[PeerReply] | None
        if isinstance(call.body, CatchUpRequest):
            method, kind = "GET", SnapshotPage if call.body.snapshot else LogPage
            path = b"/configuration/log?from=%d" % call.body.since
            if call.body.snapshot:
                path = b"/configuration/snapshot?version=%d&page=%d" % (call.body.since, call.body.page)
        else:
            name, kind = PEER_CALLS[type(call.body)]
            path, body = b"/configuration/" + name, encode(call.body)
        answer: Any = None
        try:
            said = await client.call(self._loop, self._addresses[call.peer], method, path, body, call.timeout)
            if said.status == 200 and kind is not None:
                answer = decode(said.body, kind, MAX_REPLY_BYTES)
        except (client.CallFailedError, MessageError, TimeoutError):
            pass  # as if it had not answered: the rules ask again
        self.replica.handle_reply(call, answer, self._now())
        self._after_event()

    # Callers

    def _connection_opened(self, caller: ServerConnection) -> None:
        if len(self._connections) >= self._settings.bounds.connections:
            text = encode(RejectedProposal("overloaded", "too many connections: raise bounds.connections"))
            caller.write(serialization.response(503, JSON_HEADERS, text, False))
            caller.close()
            return
        self._connections[caller] = self._now()
        caller.close_callbacks.append(lambda: self._connection_lost(caller))

    def _connection_lost(self, caller: ServerConnection) -> None:
        self._connections.pop(caller, None)
        self._watchers.pop(caller, None)
        self._pending.pop(caller, None)

    def _request_received(self, caller: ServerConnection, ask: HttpRequest) -> None:
        if caller not in self._connections:
            return
        self._connections[caller] = self._now()
        if caller in self._watchers or caller in self._pending:
            caller.close()  # one at a time: a second request would be answered in the wrong place
            return
        status = 200
        try:
            split = urlsplit(ask.target.decode("latin-1"))
            query = {name: some[0] for name, some in parse_qs(split.query).items()}
            name = split.path.removeprefix("/configuration").removeprefix("/")
            if not split.path.startswith("/configuration"):
                raise RejectedCallError(RejectedProposal("malformed", f"no call {split.path[:80]}"), 404)
            if ask.method == "GET" and name == "watch":
                self._watch_route(caller, query)
                return
            if ask.method == "POST" and name == "":
                self._propose_route(caller, ask)
                return
            body = encode(self._dispatch(ask, name, query))
        except RejectedCallError as fault:
            status, body = fault.status, encode(fault.refusal)
        except (MessageError, UnacceptableChangeError, ValueError) as fault:  # the last: a target that is none
            status, body = 400, encode(RejectedProposal("malformed", str(fault)))
        except StoreError as fault:
            status, body = 503, encode(RejectedProposal("abstains", f"{fault}; {fault.remedy}"))
        except SnapshotExpiredError as fault:
            status, body = 410, encode(RejectedProposal("stale", str(fault)))
        self._respond(caller, ask, status, body)
        self._after_event()

    def _dispatch(self, ask: HttpRequest, name: str, query: dict[str, str]) -> msgspec.Struct:
        if ask.method == "GET" and name in self._get_routes:
            return self._get_routes[name](query)
        if ask.method == "POST" and name in self._post_routes:
            return self._post_routes[name](ask.body)
        raise RejectedCallError(RejectedProposal("malformed", f"no call {ask.method} /configuration/{name[:80]}"), 404)

    def _respond(self, caller: ServerConnection, ask: HttpRequest, status: int, body: bytes) -> None:
        caller.write(serialization.response(status, JSON_HEADERS, body, ask.keep))
        if not ask.keep:
            caller.close()

    # Operators

    def _propose_route(self, caller: ServerConnection, ask: HttpRequest) -> None:
        if len(self._pending) >= MAX_PENDING_PROPOSALS:
            raise RejectedCallError(
                RejectedProposal("overloaded", f"{MAX_PENDING_PROPOSALS} calls wait already: ask again in a while")
            )
        found = self.replica.propose(self._decode(ask.body, Proposal), self._now())
        if isinstance(found, RejectedProposal):
            self._respond_proposal(caller, ask, found)
        else:
            self._pending[caller] = found, ask
        self._after_event()

    def _respond_proposal(
        self, caller: ServerConnection, ask: HttpRequest, result: AcceptedProposal | RejectedProposal
    ) -> None:
        status = 200 if isinstance(result, AcceptedProposal) else REJECTION_STATUS[result.reason]
        if isinstance(result, AcceptedProposal):
            self._log.info("change made", version=result.version)
        self._respond(caller, ask, status, encode(result))

    def status(self) -> ReplicaStatus:
        """The status document of this replica."""
        machine, now = self.replica, self._now()
        holding, here = machine.state, self._settings.own
        peers = list[PeerStatus]()
        for row in self._settings.replicas:
            if (seen := machine.peers.get(row.number)) is not None:
                age = None if seen.heartbeat_sent_at is None else max(0.0, (now - seen.heartbeat_sent_at) * 1000)
                peers.append(
                    PeerStatus(
                        row.number,
                        row.address,
                        row.zone,
                        row.region,
                        row.voter,
                        seen.committed_version,
                        age,
                        seen.empty,
                    )
                )
        return ReplicaStatus(
            here.number,
            here.zone,
            here.region,
            here.voter,
            holding.history,
            holding.committed_version,
            holding.document.digest,
            max(0.0, (now - machine.majority_heard_at) * 1000),
            len(holding.document.entries),
            here.voter and not machine.votes,
            machine.store_fault,
            machine.queued,
            peers,
            holding.publisher.followers(now),
        )

    # Machines

    def _decided_route(self, body: bytes) -> msgspec.Struct:
        self.replica.handle_decided(self._decode(body, DecidedChange), self._now())
        return self.replica.heartbeat()

    def _snapshot_route(self, query: dict[str, str]) -> msgspec.Struct:
        version, page = integer_parameter(query, "version"), integer_parameter(query, "page")
        if page >= SNAPSHOT_PAGES:
            raise MessageError(f"page: {page}, of {SNAPSHOT_PAGES}")
        found = self.replica.state.snapshot(version, page, self._now())
        if found is None:
            raise SnapshotExpiredError(f"no snapshot of version {version}")
        return found

    # Relays: what they are told is source.py's

    def _publisher(self) -> ChangePublisher:
        holding = self.replica.state
        if not holding.committed_version:
            raise RejectedCallError(RejectedProposal("abstains", "this machine holds nothing yet: ask another"))
        holding.publisher.majority_heard_at = self.replica.majority_heard_at
        return holding.publisher

    def _applied_route(self, body: bytes) -> msgspec.Struct:
        told = self._decode(body, AppliedVersion)
        self.replica.state.publisher.record_applied(told, self._now())
        return AcceptedProposal(told.version)

    def _watch_route(self, caller: ServerConnection, query: dict[str, str]) -> None:
        position = self._publisher().resume_position(integer_parameter(query, "from"), query.get("digest", ""))
        caller.write(STREAM)
        self._watchers[caller] = Watcher(position, -1e9)
        self._write_watches(self._now() - WATCH_HEARTBEAT_SECONDS + WATCH_CHECK_SECONDS)

    def _write_watches(self, before: float) -> None:
        """Writes to each watcher that was told last before then, or lacks a change."""
        if not self._watchers:
            return
        source, now, most = self._publisher(), self._now(), self._settings.bounds.unsent_bytes
        lines = dict[int | None, tuple[bytes, int | None]]()
        head = self.replica.state.committed_version
        for caller, watcher in list(self._watchers.items()):
            while caller.transport is not None:
                lacks = watcher.position is not None and watcher.position < head
                if not lacks and watcher.written_at > before:
                    break
                if caller.transport.get_write_buffer_size() > most:
                    # Guards against memory that fills with lines for one that does not read.
                    caller.reset()
                    break
                if watcher.written_at < 0 and watcher.position is not None:  # of which version its digest is
                    line, after = source.next_line(watcher.position, now)
                    line = msgspec.structs.replace(line, resume_version=watcher.position)
                    data = chunk(encode(line) + b"\n")
                elif watcher.position not in lines:
                    line, after = source.next_line(watcher.position, now)
                    data = chunk(encode(line) + b"\n")
                    lines[watcher.position] = data, after
                else:
                    data, after = lines[watcher.position]
                caller.write(data)
                watcher.position, watcher.written_at = after, now
