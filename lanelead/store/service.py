"""The migration store as a process: HTTP/1.1 calls and a stream of the log, in front of one MigrationStore.

    POST /lease, /renew, /release, /record, /apply, /seen, /forget
    GET  /record, /marks, /unseen, /record/watch

docs/protocols.md has the bodies. A call is replied to when its change is on disk, or with a RejectedCall, which says
that nothing was changed.
"""

from __future__ import annotations

import asyncio
import signal
import sqlite3
import sys
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec
import uvloop

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import STREAM, ServerConnection, chunk
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.migrations import (
    AcknowledgeRequest,
    AppendReply,
    AppendRequest,
    ApplyRequest,
    ForgetRequest,
    Lease,
    LeaseRequest,
    LoggedEntry,
    RejectedCall,
    UnacknowledgedRelays,
)
from lanelead.store.migration_store import MigrationStore, StoreRejectedError

JSON_HEADERS = [(b"content-type", b"application/json")]
WATCH_LINE_ENTRIES = 500
HEARTBEAT_INTERVAL_SECONDS = 1
MAX_QUERY_DIGITS = 15  # below 2**53
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409  # of a rejection for any other reason than these
STATUS_OF_REASON = {"malformed": 400, "failed": 422}

Query = dict[str, int]
Call = Callable[[HttpRequest, Query], msgspec.Struct]


class MigrationStoreServer:
    """Serves one store on loopback."""

    def __init__(self, store: MigrationStore) -> None:
        self.store = store
        self._watchers: dict[ServerConnection, int] = {}  # with the last entry that was sent
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._calls: dict[tuple[str, str], Call] = {
            ("POST", "/lease"): self._acquire_lease,
            ("POST", "/release"): self._release_lease,
            ("POST", "/renew"): self._renew_lease,
            ("POST", "/record"): self._append,
            ("POST", "/apply"): lambda request, _: self.store.apply_part(decode(request.body, ApplyRequest)),
            ("POST", "/seen"): self._acknowledge,
            ("POST", "/forget"): self._forget_relay,
            ("GET", "/record"): lambda _, query: self.store.read_page(query.get("since", 0)),
            ("GET", "/marks"): lambda _, query: self.store.progress(query.get("intent", 0)),
            ("GET", "/unseen"): self._unacknowledged_relays,
        }

    async def start(self, port: int) -> int:
        """Listens on a port (0: any free one), and returns it. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.request_received), "127.0.0.1", port, backlog=512, reuse_address=True
        )
        self._heartbeat_task = loop.create_task(self._send_heartbeats())
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening, resets the watchers' connections, and closes the store."""
        if self._server is not None:
            self._server.close()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for connection in list(self._watchers):
            connection.reset()
        self.store.close()

    # Calls

    def request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Replies to a request, or begins a stream."""
        split = urlsplit(request.target.decode("latin-1"))
        query = _integers(split.query)
        if split.path == "/record/watch" and request.method == "GET":
            self._watch(connection, query)
            return
        status, body = self.handle(request.method, split.path, request, query)
        connection.write(serialization.response(status, JSON_HEADERS, body, request.keep))
        if not request.keep:
            connection.close()

    def handle(self, method: str, path: str, request: HttpRequest, query: Query) -> tuple[int, bytes]:
        """The status and body of the reply to a call."""
        call = self._calls.get((method, path))
        if call is None:
            return STATUS_NOT_FOUND, encode(RejectedCall("malformed", f"no call {method} {path}"))
        try:
            return STATUS_OK, encode(call(request, query))
        except MessageError as error:
            rejected = RejectedCall("malformed", str(error))
        except sqlite3.Error as error:  # rolled back: the disk is full, for example
            rejected = RejectedCall("failed", f"{type(error).__name__}: {error}")
        except StoreRejectedError as error:
            rejected = RejectedCall(error.reason, error.message)
        return STATUS_OF_REASON.get(rejected.reason, STATUS_CONFLICT), encode(rejected)

    def _acquire_lease(self, request: HttpRequest, _: Query) -> Lease:
        return Lease(self.store.acquire_lease(decode(request.body, LeaseRequest)))

    def _release_lease(self, request: HttpRequest, _: Query) -> Lease:
        lease = decode(request.body, Lease)
        self.store.release_lease(lease.token)
        return lease

    def _renew_lease(self, request: HttpRequest, _: Query) -> Lease:
        lease = decode(request.body, Lease)
        self.store.renew_lease(lease.token)
        return lease

    def _append(self, request: HttpRequest, _: Query) -> AppendReply:
        logged = self.store.append(decode(request.body, AppendRequest))
        self.entry_written(logged)
        return AppendReply(logged.seq)

    def _acknowledge(self, request: HttpRequest, _: Query) -> AcknowledgeRequest:
        acknowledgement = decode(request.body, AcknowledgeRequest)
        self.store.acknowledge(acknowledgement.relay, acknowledgement.seq)
        return acknowledgement

    def _forget_relay(self, request: HttpRequest, _: Query) -> ForgetRequest:
        forgotten = decode(request.body, ForgetRequest)
        self.store.forget_relay(forgotten.token, forgotten.relay)
        return forgotten

    def _unacknowledged_relays(self, _: HttpRequest, query: Query) -> UnacknowledgedRelays:
        return UnacknowledgedRelays(self.store.unacknowledged_relays(query.get("closing", 0)))

    # Streams

    def entry_written(self, logged: LoggedEntry) -> None:
        """Sends an entry, which is on disk, to all watchers."""
        for connection in list(self._watchers):
            self._send_new_entries(connection)

    def _watch(self, connection: ServerConnection, query: Query) -> None:
        # On disk before anything is sent: from then on no barrier is passed without this relay.
        if "relay" in query:
            self.store.register_relay(query["relay"])
        since_seq = query.get("since", 0)
        connection.write(STREAM)
        self._watchers[connection] = since_seq
        connection.close_callbacks.append(lambda: self._stop_watching(connection))
        # A page without entries, so that the watcher knows the last entry.
        connection.write(chunk(encode(self.store.read_page(since_seq, 0)) + b"\n"))
        self._send_new_entries(connection)

    def _stop_watching(self, connection: ServerConnection) -> None:
        self._watchers.pop(connection, None)

    def _send_new_entries(self, connection: ServerConnection) -> None:
        while True:
            page = self.store.read_page(self._watchers[connection], WATCH_LINE_ENTRIES)
            if not page.entries:
                return
            connection.write(chunk(encode(page) + b"\n"))
            self._watchers[connection] = page.entries[-1].seq

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            for connection in list(self._watchers):
                # An entry may be on disk whose call was cut before it was sent to the watchers.
                self._send_new_entries(connection)
                connection.write(chunk(b"\n"))


def _integers(query: str) -> Query:
    """The query's non-negative integers; other values are passed over."""
    found = parse_qs(query)
    return {
        name: int(values[0])
        for name, values in found.items()
        if values[0].isdecimal() and len(values[0]) <= MAX_QUERY_DIGITS
    }


async def serve(server: MigrationStoreServer, port: int) -> None:
    """Serves until SIGTERM or SIGINT. The line `ready PORT` on standard output says that it listens."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    sys.stdout.write(f"ready {await server.start(port)}\n")
    sys.stdout.flush()
    await stopped.wait()
    server.close()


def run(file: str, port: int) -> None:
    """Serves a file in this process until SIGTERM or SIGINT."""

    async def serve_file() -> None:
        await serve(MigrationStoreServer(MigrationStore(file)), port)

    uvloop.run(serve_file())
