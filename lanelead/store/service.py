"""HTTP/1.1 service in front of one MigrationStore: calls, and a stream of the log.

    POST /lease, /renew, /release, /record, /apply, /seen, /forget
    GET  /record, /marks, /unseen, /record/watch

The bodies are described in docs/protocols.md. The reply to a call is sent after its change is on disk; a RejectedCall
means that nothing was changed.
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
from lanelead.http.server import STREAM_HEAD, ServerConnection, chunk
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
WATCH_LINE_ENTRIES = 500  # maximum of log entries in one line of the stream
HEARTBEAT_INTERVAL_SECONDS = 1
MAX_QUERY_DIGITS = 15  # keeps values below 2**53
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409  # for rejections whose reason is not in STATUS_OF_REASON
STATUS_OF_REASON = {"malformed": 400, "failed": 422}

Query = dict[str, int]
Call = Callable[[HttpRequest, Query], msgspec.Struct]


class MigrationStoreServer:
    """HTTP server of one store on loopback."""

    def __init__(self, store: MigrationStore) -> None:
        self.store = store
        self._watchers: dict[ServerConnection, int] = {}  # the sequence number of the last entry sent to each
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
        """Listens on a port (0: a free one), and returns the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.request_received), "127.0.0.1", port, backlog=512, reuse_address=True
        )
        self._heartbeat_task = loop.create_task(self._send_heartbeats())
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stops listening, resets the connections of watchers, and closes the store."""
        if self._server is not None:
            self._server.close()
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        for connection in list(self._watchers):
            connection.reset()
        self.store.close()

    # Calls

    def request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Replies to a request, or starts a stream."""
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
        """Executes a call; returns the status and the body of its reply."""
        call = self._calls.get((method, path))
        if call is None:
            return STATUS_NOT_FOUND, encode(RejectedCall("malformed", f"no call {method} {path}"))
        try:
            return STATUS_OK, encode(call(request, query))
        except MessageError as error:
            rejected = RejectedCall("malformed", str(error))
        except sqlite3.Error as error:  # the transaction was rolled back, for example because the disk is full
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
        """Sends new entries to all watchers; called when an entry is on disk."""
        for connection in list(self._watchers):
            self._send_new_entries(connection)

    def _watch(self, connection: ServerConnection, query: Query) -> None:
        # Registered on disk before any entry is sent: from then on every barrier waits for this relay.
        if "relay" in query:
            self.store.register_relay(query["relay"])
        since_seq = query.get("since", 0)
        connection.write(STREAM_HEAD)
        self._watchers[connection] = since_seq
        connection.close_callbacks.append(lambda: self._stop_watching(connection))
        # A page without entries first, from which the watcher learns the sequence number of the last entry.
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
                # An entry on disk may not have been sent to the watchers, if its call was interrupted after the commit.
                self._send_new_entries(connection)
                connection.write(chunk(b"\n"))


def _integers(query: str) -> Query:
    """Parses the non-negative integers of a query string; other values are ignored."""
    found = parse_qs(query)
    return {
        name: int(values[0])
        for name, values in found.items()
        if values[0].isdecimal() and len(values[0]) <= MAX_QUERY_DIGITS
    }


async def serve(server: MigrationStoreServer, port: int) -> None:
    """Serves until SIGTERM or SIGINT; prints the line `ready PORT` once it listens."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    sys.stdout.write(f"ready {await server.start(port)}\n")
    sys.stdout.flush()
    await stopped.wait()
    server.close()


def run(file: str, port: int) -> None:
    """Serves the store in a file until SIGTERM or SIGINT."""

    async def serve_file() -> None:
        await serve(MigrationStoreServer(MigrationStore(file)), port)

    uvloop.run(serve_file())
