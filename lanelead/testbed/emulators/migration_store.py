"""The store of steps with faults, and with a place where units file effectful lookups, for tests and days.

Run as `python -m lanelead.testbed.emulators.migration_store FILE PORT [FOLDER]`; it is told what to do by lines on its
standard input, so that its socket carries what the store's would. One order acts once, after `skip` others:

 refuse, early   answers 503 before anything is done; never answers, and does nothing
 drop, hang      does it, and closes the connection without an answer; does it, and never answers
 late            does it only some seconds later, and never answers
 cut, kill       at a named point of a transaction: rolls back and resets; kills its own process
 full, slow      from now on: no page more fits on the disk; every effect takes so many seconds
"""

from __future__ import annotations

import asyncio
import os
import signal
import sqlite3
import sys
import time
from pathlib import Path
from typing import Any

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
from lanelead.testbed.emulators.event_recording import Tap


class ConnectionCutError(Exception):
    pass


class FaultyMigrationStoreServer(MigrationStoreServer):
    def __init__(self, ledger: MigrationStore, tap: Tap | None = None) -> None:
        super().__init__(ledger)
        self._tap, self._pending_faults = tap, list[dict[str, Any]]()
        self._apply_delay_seconds = 0.0
        self._log = MigrationLog()
        ledger.fault_hook = self._transaction_point
        for logged in ledger.read_page(0, 10**6).entries:
            self._log.append(logged)

    def record_event(self, what: str, **facts: Any) -> None:
        if self._tap is not None:
            self._tap.note(what, **facts)

    # Faults

    def inject(self, order: dict[str, Any]) -> None:
        if order["kind"] == "slow":
            self._apply_delay_seconds = order["size"]
        elif order["kind"] == "full":
            pages = self.store.connection.execute("PRAGMA page_count").fetchone()[0]
            self.store.connection.execute(f"PRAGMA max_page_count = {pages if order.get('on', True) else 2**30}")
        else:
            self._pending_faults.append(order)
        self.record_event("order", **order)

    def _fault_due(self, kinds: tuple[str, ...], where: str) -> dict[str, Any] | None:
        for order in self._pending_faults:
            if order["kind"] in kinds and order["at"] == where:
                order["skip"] = order.get("skip", 0) - 1
                if order["skip"] < 0:
                    self._pending_faults.remove(order)
                    self.record_event("fault", kind=order["kind"], at=where)
                    return order
        return None

    def _transaction_point(self, point: str) -> None:
        if point == "apply.mid" and self._apply_delay_seconds:
            time.sleep(self._apply_delay_seconds)
        order = self._fault_due(("kill", "cut"), point)
        if order is not None and order["kind"] == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif order is not None:
            raise ConnectionCutError

    def request_received(self, caller: ServerConnection, ask: HttpRequest) -> None:
        path = ask.target.partition(b"?")[0].decode("latin-1")
        if path == "/file":
            self._check_schema(caller, ask)
            return
        order = self._fault_due(("refuse", "early", "drop", "hang", "late"), path)
        kind = order["kind"] if order is not None else ""
        if kind == "refuse":
            caller.write(serialization.response(503, (), b"", False))
            caller.close()
        elif kind == "early":
            return
        elif kind == "late":
            assert order is not None
            asyncio.get_running_loop().call_later(order["size"], self._serve, ServerConnection(lambda *_: None), ask)
        elif kind in ("drop", "hang"):
            self._serve(ServerConnection(lambda *_: None), ask)
            if kind == "drop":
                caller.reset()
        else:
            self._serve(caller, ask)

    def _serve(self, caller: ServerConnection, ask: HttpRequest) -> None:
        try:
            super().request_received(caller, ask)
        except ConnectionCutError:
            self.record_new_entries()
            caller.reset()

    # What passed

    def handle(self, method: str, path: str, ask: HttpRequest, query: dict[str, int]) -> tuple[int, bytes]:
        status, body = super().handle(method, path, ask, query)
        if path == "/apply":
            sent = msgspec.json.decode(ask.body) if status in (200, 409, 422) else {}
            self.record_event(
                "effect_asked",
                status=status,
                intent=sent.get("intent"),
                part=sent.get("part"),
                token=sent.get("token"),
                said=msgspec.json.decode(body),
            )
        elif path in ("/seen", "/lease", "/forget"):
            self.record_event("said", path=path, status=status, body=msgspec.json.decode(ask.body))
        return status, body

    def entry_written(self, logged: LoggedEntry) -> None:
        self.record_new_entries()
        super().entry_written(logged)

    def record_new_entries(self) -> None:
        """Takes note of all that is on disk: an entry may be, though its call was cut."""
        for logged in self.store.read_page(self._log.last_seq).entries:
            self._log.append(logged)
            self.record_event("entry", **msgspec.to_builtins(logged))
            self.entry_recorded(logged)

    def entry_recorded(self, logged: LoggedEntry) -> None: ...

    def _check_schema(self, caller: ServerConnection, ask: HttpRequest) -> None:
        """A unit writes what an effectful lookup is for, as its build does, into the schema as it stands."""
        try:
            told = decode(ask.body, SchemaCheck)
        except MessageError as fault:
            caller.write(serialization.response(400, (), str(fault).encode(), ask.keep))
            return
        ready, why = self._log.is_ready(told.build), ""
        try:
            if told.write:
                self.store.connection.execute(told.write, {"op": told.op} if ":op" in told.write else {})
        except sqlite3.Error as fault:
            why = str(fault)
        self.record_event("filed", build=told.build, op=told.op, ready=ready, why=why, seq=self._log.last_seq)
        status = 409 if why else 200
        body = encode(RejectedCall("failed", why)) if why else b"{}"
        caller.write(serialization.response(status, (), body, ask.keep))


async def _run(file: str, port: int, folder: str | None) -> None:
    tap = Tap(Path(folder), "store") if folder else None
    store = FaultyMigrationStoreServer(MigrationStore(file), tap)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def orders() -> None:
        while line := await reader.readline():
            store.inject(msgspec.json.decode(line))
            sys.stdout.write("told\n")
            sys.stdout.flush()
        os.kill(os.getpid(), signal.SIGTERM)  # whoever started it has gone

    task = asyncio.get_running_loop().create_task(orders())
    await serve(store, port)
    task.cancel()


def main() -> None:
    uvloop.run(_run(sys.argv[1], int(sys.argv[2]), sys.argv[3] if len(sys.argv) > 3 else None))


if __name__ == "__main__":
    main()
