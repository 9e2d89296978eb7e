"""The store as a process: HTTP/1.1 calls and a stream of the record, in front of one ledger.

    POST /lease, /renew, /release, /record, /apply, /seen, /forget
    GET  /record, /marks, /unseen, /record/watch

docs/protocols.md has the bodies. A call is answered when it is on disk, or with a refusal that says that
nothing was changed.
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
from lanelead.store.migration_store import Denied, Ledger

FIELDS = [(b"content-type", b"application/json")]
LINE = 500  # entries of one line
STATUS = {"malformed": 400, "failed": 422}


class Store:
    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self._watchers: dict[ServerConnection, int] = {}  # with the last entry that was told
        self._server: asyncio.Server | None = None
        self._heart: asyncio.Task[None] | None = None
        self._calls: dict[tuple[str, str], Callable[[HttpRequest, dict[str, int]], msgspec.Struct]] = {
            ("POST", "/lease"): lambda ask, _: Lease(self.ledger.lease(decode(ask.body, LeaseRequest))),
            ("POST", "/release"): lambda ask, _: self._release(decode(ask.body, Lease)),
            ("POST", "/renew"): lambda ask, _: self._renew(decode(ask.body, Lease)),
            ("POST", "/record"): lambda ask, _: self._append(decode(ask.body, AppendRequest)),
            ("POST", "/apply"): lambda ask, _: self.ledger.apply(decode(ask.body, ApplyRequest)),
            ("POST", "/seen"): lambda ask, _: self._seen(decode(ask.body, AcknowledgeRequest)),
            ("POST", "/forget"): lambda ask, _: self._forget(decode(ask.body, ForgetRequest)),
            ("GET", "/record"): lambda _, query: self.ledger.page(query.get("since", 0)),
            ("GET", "/marks"): lambda _, query: self.ledger.marks(query.get("intent", 0)),
            ("GET", "/unseen"): lambda _, query: UnacknowledgedRelays(self.ledger.unseen(query.get("closing", 0))),
        }

    async def open(self, port: int) -> int:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.heard), "127.0.0.1", port, backlog=512, reuse_address=True
        )
        self._heart = loop.create_task(self._beat())
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        if self._heart is not None:
            self._heart.cancel()
        for caller in list(self._watchers):
            caller.reset()
        self.ledger.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1)
            for caller in list(self._watchers):
                self._catch_up(caller)  # guards against an entry on disk whose call was cut before it was told
                caller.write(chunk(b"\n"))

    def heard(self, caller: ServerConnection, ask: HttpRequest) -> None:
        split = urlsplit(ask.target.decode("latin-1"))
        if split.path == "/record/watch" and ask.method == "GET":
            self._watch(caller, _numbers(split.query))
            return
        status, body = self.handle(ask.method, split.path, ask, _numbers(split.query))
        caller.write(serialization.response(status, FIELDS, body, ask.keep))
        if not ask.keep:
            caller.close()

    def handle(self, method: str, path: str, ask: HttpRequest, query: dict[str, int]) -> tuple[int, bytes]:
        call = self._calls.get((method, path))
        if call is None:
            return 404, encode(RejectedCall("malformed", f"no call {method} {path}"))
        try:
            return 200, encode(call(ask, query))
        except MessageError as fault:
            return 400, encode(RejectedCall("malformed", str(fault)))
        except sqlite3.Error as fault:  # rolled back: a full disk, say
            return 422, encode(RejectedCall("failed", f"{type(fault).__name__}: {fault}"))
        except Denied as denied:
            return STATUS.get(denied.why, 409), encode(RejectedCall(denied.why, denied.text))  # type: ignore[arg-type]

    def _append(self, ask: AppendRequest) -> AppendReply:
        logged = self.ledger.append(ask)
        self.written(logged)
        return AppendReply(logged.seq)

    def written(self, logged: LoggedEntry) -> None:
        """An entry is on disk: whoever watches is told."""
        for caller in list(self._watchers):
            self._catch_up(caller)

    def _release(self, lease: Lease) -> Lease:
        self.ledger.release(lease.token)
        return lease

    def _renew(self, lease: Lease) -> Lease:
        self.ledger.renew(lease.token)
        return lease

    def _seen(self, ask: AcknowledgeRequest) -> AcknowledgeRequest:
        self.ledger.seen(ask.relay, ask.seq)
        return ask

    def _forget(self, ask: ForgetRequest) -> ForgetRequest:
        self.ledger.forget(ask.token, ask.relay)
        return ask

    def _watch(self, caller: ServerConnection, query: dict[str, int]) -> None:
        # On disk before a word is said: from then on no closing goes on without this relay.
        if "relay" in query:
            self.ledger.told(query["relay"])
        caller.write(STREAM)
        self._watchers[caller] = query.get("since", 0)
        caller.close_callbacks.append(lambda: self._leave(caller))
        caller.write(chunk(encode(self.ledger.page(query.get("since", 0), 0)) + b"\n"))  # so that it knows
        self._catch_up(caller)

    def _leave(self, caller: ServerConnection) -> None:
        self._watchers.pop(caller, None)

    def _catch_up(self, caller: ServerConnection) -> None:
        while True:
            page = self.ledger.page(self._watchers[caller], LINE)
            if not page.entries:
                return
            caller.write(chunk(encode(page) + b"\n"))
            self._watchers[caller] = page.entries[-1].seq


def _numbers(query: str) -> dict[str, int]:
    """The query's whole numbers; what is none is as if it were not there."""
    found = parse_qs(query)
    return {name: int(some[0]) for name, some in found.items() if some[0].isdecimal() and len(some[0]) < 16}


async def serve(store: Store, port: int) -> None:
    """Until SIGTERM or SIGINT. The line `ready PORT` on standard output says that it listens."""
    over, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, over.set)
    sys.stdout.write(f"ready {await store.open(port)}\n")
    sys.stdout.flush()
    await over.wait()
    store.close()


def run(file: str, port: int) -> None:
    async def whole() -> None:
        await serve(Store(Ledger(file)), port)

    uvloop.run(whole())
