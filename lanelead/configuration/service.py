"""The HTTP/1.1 service of a configuration replica.

    relays     GET  /configuration/watch?from=&digest=, /configuration/outline,
                    /configuration/buckets?version=&numbers=; POST /configuration/applied
    operators  POST /configuration; GET /configuration/status
    replicas   POST /configuration/prepare, accept, decided, sign; GET /configuration/log?from=,
                    /configuration/snapshot?version=&page=

An `outline` is a digest tree, a `sign` a heartbeat; docs/configuration.md describes the bodies. The settings limit
connections, request sizes and unsent bytes: beyond, a client gets an error response, or a reset if it does not read.
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
from lanelead.http.server import STREAM_HEAD, ServerConnection, chunk
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
MAX_REPLY_BYTES = 16 << 20  # limit of another replica's response
WATCH_CHECK_SECONDS = 0.1  # interval of the check for heartbeats; they are written one interval early
IDLE_SECONDS = 60.0  # a connection without a request for longer is closed
REJECTED_SEND_SECONDS = 2.0  # how long a rejected request is still read: a reset would lose the response
MAX_PENDING_PROPOSALS = 256  # limit of the operators' calls waiting for a decision
PeerReply = Promise | AcceptReply | Heartbeat | LogPage | SnapshotPage
PEER_CALLS: dict[type, tuple[bytes, type[PeerReply] | None]] = {
    Prepare: (b"prepare", Promise),
    Accept: (b"accept", AcceptReply),
    Heartbeat: (b"sign", Heartbeat),
    DecidedChange: (b"decided", None),
}


class Service:
    """Serves one replica over HTTP and sends its calls to the other replicas."""

    def __init__(self, settings: Settings, store: Store, log: Any, rng: Random) -> None:
        self._settings, self._store, self._log = settings, store, log
        self._loop = asyncio.get_running_loop()
        bounds = settings.bounds
        state = ReplicaState(store, settings.voters, lambda: Document(bounds.entries, bounds.document_bytes), time.time)
        others = [row.number for row in settings.replicas if row.number != settings.replica]
        self._addresses = {row.number: address_of(row.address) for row in settings.replicas}
        self.replica = Replica(
            settings.replica, settings.voters, others, state, rng, self._loop.time(), self._log_warning
        )
        self._connections: dict[ServerConnection, float] = {}  # by connection: time of the last request
        self._watchers: dict[ServerConnection, Watcher] = {}
        self._pending: dict[ServerConnection, tuple[Proposer, HttpRequest]] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._announced_version = state.committed_version
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

    def _log_warning(self, text: str, remedy: str) -> None:
        self._log.warning(text, remedy=remedy)

    def _decode(self, body: bytes, kind: type[Any]) -> Any:
        return decode(body, kind, self._settings.bounds.request_bytes)

    # Start, stop and timers

    async def open(self) -> None:
        """Opens the listening socket and starts the timers. Raises OSError if the address is not available."""
        address = address_of(self._settings.listen or self._settings.own.address)
        bounds = self._settings.bounds

        def new_connection() -> ServerConnection:
            return ServerConnection(
                self._request_received, self._connection_opened, bounds.request_bytes, REJECTED_SEND_SECONDS
            )

        self._server = await self._loop.create_server(new_connection, address.host, address.port, backlog=1024)
        self._check_connections()
        self._after_event()

    async def close(self) -> None:
        """Stops listening, cancels calls and closes the store; timers go on until the caller ends the event loop."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.reset()
        self._store.close()

    def _check_connections(self) -> None:
        """Writes heartbeats to the watches that need one, and closes idle connections."""
        self._loop.call_later(WATCH_CHECK_SECONDS, self._check_connections)
        now = self._now()
        self._write_watches(now - WATCH_HEARTBEAT_SECONDS + WATCH_CHECK_SECONDS)
        for connection, since in list(self._connections.items()):
            # Idle connections would use up the limit of connections.
            if now > since + IDLE_SECONDS and connection not in self._watchers and connection not in self._pending:
                connection.close()

    def _after_event(self) -> None:
        """To be called after events: sends calls, answers finished proposals, writes new changes, sets the timer."""
        replica = self.replica
        calls, replica.outgoing = replica.outgoing, []
        for call in calls:
            self._tasks[task := self._loop.create_task(self._call_peer(call))] = None
            task.add_done_callback(self._task_finished)
        for connection, (proposer, request) in list(self._pending.items()):
            if proposer.result is not None:
                del self._pending[connection]
                self._respond_proposal(connection, request, proposer.result)
        if replica.state.committed_version != self._announced_version:
            self._announced_version = replica.state.committed_version
            self._write_watches(self._now() - WATCH_HEARTBEAT_SECONDS + WATCH_CHECK_SECONDS)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(max(replica.due, self._now() + 0.001), self._tick)

    def _tick(self) -> None:
        try:
            self.replica.tick(self._now())
        except Exception:
            # After a programming error the timer must still be set again, or heartbeats would end for good.
            self._log.exception("replica timer failed")
        self._after_event()

    def _task_finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.error("call to another replica failed", exc_info=error)

    async def _call_peer(self, call: PeerCall) -> None:
        method, path, body = "POST", b"", b""
        kind: type[PeerReply] | None
        if isinstance(call.body, CatchUpRequest):
            method, kind = "GET", SnapshotPage if call.body.snapshot else LogPage
            path = b"/configuration/log?from=%d" % call.body.since
            if call.body.snapshot:
                path = b"/configuration/snapshot?version=%d&page=%d" % (call.body.since, call.body.page)
        else:
            route, kind = PEER_CALLS[type(call.body)]
            path, body = b"/configuration/" + route, encode(call.body)
        reply: Any = None
        try:
            response = await client.call(self._loop, self._addresses[call.peer], method, path, body, call.timeout)
            if response.status == 200 and kind is not None:
                reply = decode(response.body, kind, MAX_REPLY_BYTES)
        except (client.CallFailedError, MessageError, TimeoutError):
            pass  # no reply, as after any status but 200; lost decisions are fetched after a heartbeat
        self.replica.handle_reply(call, reply, self._now())
        self._after_event()

    # Connections and requests

    def _connection_opened(self, connection: ServerConnection) -> None:
        if len(self._connections) >= self._settings.bounds.connections:
            text = encode(
                RejectedProposal("overloaded", "too many connections: raise bounds.connections in the settings")
            )
            connection.write(serialization.response(503, JSON_HEADERS, text, False))
            connection.close()
            return
        self._connections[connection] = self._now()
        connection.close_callbacks.append(lambda: self._connection_lost(connection))

    def _connection_lost(self, connection: ServerConnection) -> None:
        self._connections.pop(connection, None)
        self._watchers.pop(connection, None)
        self._pending.pop(connection, None)

    def _request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        if connection not in self._connections:
            return
        self._connections[connection] = self._now()
        if connection in self._watchers or connection in self._pending:
            connection.close()  # no pipelining: the response would be mixed with the one in progress
            return
        status = 200
        try:
            split = urlsplit(request.target.decode("latin-1"))
            query = {name: values[0] for name, values in parse_qs(split.query).items()}
            route = split.path.removeprefix("/configuration").removeprefix("/")
            if not split.path.startswith("/configuration"):
                raise RejectedCallError(RejectedProposal("malformed", f"unknown path {split.path[:80]}"), 404)
            if request.method == "GET" and route == "watch":
                self._watch_route(connection, query)
                return
            if request.method == "POST" and route == "":
                self._propose_route(connection, request)
                return
            body = encode(self._dispatch(request, route, query))
        except RejectedCallError as error:
            status, body = error.status, encode(error.rejection)
        except (MessageError, UnacceptableChangeError, ValueError) as error:  # ValueError: an invalid URL
            status, body = 400, encode(RejectedProposal("malformed", str(error)))
        except StoreError as error:
            status, body = 503, encode(RejectedProposal("abstains", f"{error}; {error.remedy}"))
        except SnapshotExpiredError as error:
            status, body = 410, encode(RejectedProposal("stale", str(error)))
        self._respond(connection, request, status, body)
        self._after_event()

    def _dispatch(self, request: HttpRequest, route: str, query: dict[str, str]) -> msgspec.Struct:
        if request.method == "GET" and route in self._get_routes:
            return self._get_routes[route](query)
        if request.method == "POST" and route in self._post_routes:
            return self._post_routes[route](request.body)
        raise RejectedCallError(
            RejectedProposal("malformed", f"unknown call {request.method} /configuration/{route[:80]}"), 404
        )

    def _respond(self, connection: ServerConnection, request: HttpRequest, status: int, body: bytes) -> None:
        connection.write(serialization.response(status, JSON_HEADERS, body, request.keep))
        if not request.keep:
            connection.close()

    # Operators

    def _propose_route(self, connection: ServerConnection, request: HttpRequest) -> None:
        if len(self._pending) >= MAX_PENDING_PROPOSALS:
            raise RejectedCallError(
                RejectedProposal(
                    "overloaded", f"{MAX_PENDING_PROPOSALS} proposals are waiting already: try again later"
                )
            )
        result = self.replica.propose(self._decode(request.body, Proposal), self._now())
        if isinstance(result, RejectedProposal):
            self._respond_proposal(connection, request, result)
        else:
            self._pending[connection] = result, request
        self._after_event()

    def _respond_proposal(
        self, connection: ServerConnection, request: HttpRequest, result: AcceptedProposal | RejectedProposal
    ) -> None:
        status = 200 if isinstance(result, AcceptedProposal) else REJECTION_STATUS[result.reason]
        if isinstance(result, AcceptedProposal):
            self._log.info("change committed", version=result.version)  # again if its ident is repeated
        self._respond(connection, request, status, encode(result))

    def status(self) -> ReplicaStatus:
        """The status document of this replica."""
        replica, now = self.replica, self._now()
        state, here = replica.state, self._settings.own
        peers = list[PeerStatus]()
        for row in self._settings.replicas:
            if (peer := replica.peers.get(row.number)) is not None:
                age = None if peer.heartbeat_sent_at is None else max(0.0, (now - peer.heartbeat_sent_at) * 1000)
                peers.append(
                    PeerStatus(
                        row.number,
                        row.address,
                        row.zone,
                        row.region,
                        row.voter,
                        peer.committed_version,
                        age,
                        peer.empty,
                    )
                )
        return ReplicaStatus(
            here.number,
            here.zone,
            here.region,
            here.voter,
            state.history,
            state.committed_version,
            state.document.digest,
            max(0.0, (now - replica.majority_heard_at) * 1000),
            len(state.document.entries),
            here.voter and not replica.votes,
            replica.store_fault,
            replica.queued,
            peers,
            state.publisher.followers(now),
        )

    # Replicas

    def _decided_route(self, body: bytes) -> msgspec.Struct:
        self.replica.handle_decided(self._decode(body, DecidedChange), self._now())
        return self.replica.heartbeat()  # not read by the caller

    def _snapshot_route(self, query: dict[str, str]) -> msgspec.Struct:
        version, page = integer_parameter(query, "version"), integer_parameter(query, "page")
        if page >= SNAPSHOT_PAGES:
            raise MessageError(f"page: {page}; expected less than {SNAPSHOT_PAGES}")
        result = self.replica.state.snapshot(version, page, self._now())
        if result is None:
            raise SnapshotExpiredError(f"no snapshot of version {version}")
        return result

    # Relays: publisher.py decides what they are sent

    def _publisher(self) -> ChangePublisher:
        """The publisher, with its majority time updated. Raises RejectedCallError without a committed version."""
        state = self.replica.state
        if not state.committed_version:
            raise RejectedCallError(
                RejectedProposal("abstains", "this replica has no committed version yet: ask another one")
            )
        state.publisher.majority_heard_at = self.replica.majority_heard_at
        return state.publisher

    def _applied_route(self, body: bytes) -> msgspec.Struct:
        report = self._decode(body, AppliedVersion)
        self.replica.state.publisher.record_applied(report, self._now())
        return AcceptedProposal(report.version)  # only acknowledges the report

    def _watch_route(self, connection: ServerConnection, query: dict[str, str]) -> None:
        position = self._publisher().resume_position(integer_parameter(query, "from"), query.get("digest", ""))
        connection.write(STREAM_HEAD)
        self._watchers[connection] = Watcher(position, -1e9)
        self._write_watches(self._now() - WATCH_HEARTBEAT_SECONDS + WATCH_CHECK_SECONDS)

    def _write_watches(self, before: float) -> None:
        """Writes to each watch that has changes to get, or whose last line was written at or before this time."""
        if not self._watchers:
            return
        publisher, now, max_unsent_bytes = self._publisher(), self._now(), self._settings.bounds.unsent_bytes
        lines = dict[int | None, tuple[bytes, int | None]]()  # by position: data, and the position after it
        committed_version = self.replica.state.committed_version
        for connection, watcher in list(self._watchers.items()):
            while connection.transport is not None:
                has_changes = watcher.position is not None and watcher.position < committed_version
                if not has_changes and watcher.written_at > before:
                    break
                if connection.transport.get_write_buffer_size() > max_unsent_bytes:
                    # Unsent lines for a client that does not read would fill the memory.
                    connection.reset()
                    break
                if watcher.written_at < 0 and watcher.position is not None:  # a first line, which names that version
                    line, after = publisher.next_line(watcher.position, now)
                    line = msgspec.structs.replace(line, resume_version=watcher.position)
                    data = chunk(encode(line) + b"\n")
                elif watcher.position not in lines:
                    line, after = publisher.next_line(watcher.position, now)
                    data = chunk(encode(line) + b"\n")
                    lines[watcher.position] = data, after
                else:
                    data, after = lines[watcher.position]
                connection.write(data)
                watcher.position, watcher.written_at = after, now
