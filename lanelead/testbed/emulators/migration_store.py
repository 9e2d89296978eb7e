"""The migration store with seeded faults, and with a table that endpoints write to, for tests and scenarios.

Run as `python -m lanelead.testbed.emulators.migration_store FILE PORT [FOLDER]`; faults are requested by JSON lines on
its standard input (see StoreFault), so that its socket carries what a real store's would. A fault acts once, after
`skip` occasions without a fault, unless it is marked "from now on":

 refuse          replies 503 without carrying out the call
 early           does not carry out the call, and never replies
 drop            carries out the call, and closes the connection without a reply
 hang            carries out the call, and never replies
 late            carries out the call `size` seconds later, and never replies
 cut             at a named point of a transaction: rolls it back, and closes the connection without a reply
 kill            at a named point of a transaction: kills the store's process
 full            from now on: the database cannot grow, as on a full disk (`on`: false ends this)
 slow            from now on: every effect takes `size` seconds
"""

from __future__ import annotations

import asyncio
import os
import signal
import sqlite3
import sys
import time
from pathlib import Path
from typing import Any, Literal

import msgspec
import uvloop

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.migrations.migration_log import MigrationLog
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.migrations import LoggedEntry, RejectedCall, SchemaCheck
from lanelead.store.migration_store import MigrationStore
from lanelead.store.service import MigrationStoreServer, serve
from lanelead.testbed.emulators.event_recording import EventRecorder

FaultKind = Literal["refuse", "early", "drop", "hang", "late", "cut", "kill", "full", "slow"]
TRANSACTION_FAULTS = ("kill", "cut")
CALL_FAULTS = ("refuse", "early", "drop", "hang", "late")
UNLIMITED_PAGES = 2**30
UNLIMITED_ENTRIES = 10**6


class ConnectionCutError(Exception):
    """An injected cut inside a transaction: the transaction is rolled back, and the connection closed."""


class StoreFault(msgspec.Struct):
    """A fault to inject. `at`: the path of the call, or the point of the transaction, at which it acts."""

    kind: FaultKind
    at: str = ""
    skip: int = 0
    size: float = 0.0
    on: bool = True


class FaultyMigrationStoreServer(MigrationStoreServer):
    """A store that injects faults, and records calls and log entries with `tap`."""

    def __init__(self, store: MigrationStore, tap: EventRecorder | None = None) -> None:
        super().__init__(store)
        self._tap = tap
        self._pending_faults: list[StoreFault] = []
        self._apply_delay_seconds = 0.0
        self._log = MigrationLog()
        store.fault_hook = self._transaction_point
        for logged in store.read_page(0, UNLIMITED_ENTRIES).entries:
            self._log.append(logged)

    def record_event(self, event: str, **fields: Any) -> None:
        """Records an event for the verifier."""
        if self._tap is not None:
            self._tap.note(event, **fields)

    # Faults

    def inject(self, order: dict[str, Any]) -> None:
        """Injects a fault, given as the fields of StoreFault. Raises msgspec.ValidationError if they are not valid."""
        fault = msgspec.convert(order, StoreFault)
        if fault.kind == "slow":
            self._apply_delay_seconds = fault.size
        elif fault.kind == "full":
            pages = self.store.connection.execute("PRAGMA page_count").fetchone()[0]
            self.store.connection.execute(f"PRAGMA max_page_count = {pages if fault.on else UNLIMITED_PAGES}")
        else:
            self._pending_faults.append(fault)
        self.record_event("order", **order)

    def _fault_due(self, kinds: tuple[str, ...], at: str) -> StoreFault | None:
        """Removes and returns the first fault that is due here; faults before it skip one occasion less."""
        for fault in self._pending_faults:
            if fault.kind in kinds and fault.at == at:
                fault.skip -= 1
                if fault.skip < 0:
                    self._pending_faults.remove(fault)
                    self.record_event("fault", kind=fault.kind, at=at)
                    return fault
        return None

    def _transaction_point(self, point: str) -> None:
        if point == "apply.mid" and self._apply_delay_seconds:
            time.sleep(self._apply_delay_seconds)
        fault = self._fault_due(TRANSACTION_FAULTS, point)
        if fault is not None and fault.kind == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif fault is not None:
            raise ConnectionCutError

    # Calls

    def request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Serves a request, with an injected fault if one is due."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == "/file":
            self._check_schema(connection, request)
            return
        fault = self._fault_due(CALL_FAULTS, path)
        if fault is None:
            self._serve(connection, request)
        else:
            self._serve_with_fault(connection, request, fault)

    def _serve_with_fault(self, connection: ServerConnection, request: HttpRequest, fault: StoreFault) -> None:
        discarding = ServerConnection(lambda *_: None)  # not connected: drops the reply
        match fault.kind:
            case "refuse":
                connection.write(serialization.response(503, (), b"", False))
                connection.close()
            case "late":
                asyncio.get_running_loop().call_later(fault.size, self._serve, discarding, request)
            case "hang":
                self._serve(discarding, request)
            case "drop":
                self._serve(discarding, request)
                connection.reset()

    def _serve(self, connection: ServerConnection, request: HttpRequest) -> None:
        try:
            super().request_received(connection, request)
        except ConnectionCutError:
            self.record_new_entries()
            connection.reset()

    # Recording

    def handle(self, method: str, path: str, request: HttpRequest, query: dict[str, int]) -> tuple[int, bytes]:
        """Serves a call, and records effects, acknowledgements and leases."""
        status, body = super().handle(method, path, request, query)
        if path == "/apply":
            sent = msgspec.json.decode(request.body) if status in (200, 409, 422) else {}
            self.record_event(
                "effect_asked",
                status=status,
                intent=sent.get("intent"),
                part=sent.get("part"),
                token=sent.get("token"),
                said=msgspec.json.decode(body),
            )
        elif path in ("/seen", "/lease", "/forget"):
            self.record_event("said", path=path, status=status, body=msgspec.json.decode(request.body))
        return status, body

    def entry_written(self, logged: LoggedEntry) -> None:
        """Records a written entry before the watchers get it."""
        self.record_new_entries()
        super().entry_written(logged)

    def record_new_entries(self) -> None:
        """Records all entries on disk that are not recorded yet: an entry may be on disk although its call was cut."""
        for logged in self.store.read_page(self._log.last_seq).entries:
            self._log.append(logged)
            self.record_event("entry", **msgspec.to_builtins(logged))
            self.entry_recorded(logged)

    def entry_recorded(self, logged: LoggedEntry) -> None:
        """Called with each recorded entry; for subclasses."""

    def _check_schema(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Carries out the write of an endpoint's request on the current schema, as the endpoint's build would."""
        try:
            check = decode(request.body, SchemaCheck)
        except MessageError as error:
            connection.write(serialization.response(400, (), str(error).encode(), request.keep))
            return
        ready = self._log.is_ready(check.build)
        failure = ""
        try:
            if check.write:
                self.store.connection.execute(check.write, {"op": check.op} if ":op" in check.write else {})
        except sqlite3.Error as error:
            failure = str(error)
        self.record_event("filed", build=check.build, op=check.op, ready=ready, why=failure, seq=self._log.last_seq)
        status = 409 if failure else 200
        body = encode(RejectedCall("failed", failure)) if failure else b"{}"
        connection.write(serialization.response(status, (), body, request.keep))


async def _run(file: str, port: int, folder: str | None) -> None:
    tap = EventRecorder(Path(folder), "store") if folder else None
    server = FaultyMigrationStoreServer(MigrationStore(file), tap)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def take_faults() -> None:
        while line := await reader.readline():
            server.inject(msgspec.json.decode(line))
            sys.stdout.write("told\n")
            sys.stdout.flush()
        os.kill(os.getpid(), signal.SIGTERM)  # end of input: the parent process has ended

    task = loop.create_task(take_faults())
    await serve(server, port)
    task.cancel()


def main() -> None:
    """Serves FILE at PORT until SIGTERM. With FOLDER, events are recorded there."""
    uvloop.run(_run(sys.argv[1], int(sys.argv[2]), sys.argv[3] if len(sys.argv) > 3 else None))


if __name__ == "__main__":
    main()
