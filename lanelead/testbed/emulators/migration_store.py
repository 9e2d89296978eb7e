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
from lanelead.migrations.migration_log import Record
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.migrations import LoggedEntry, RejectedCall, SchemaCheck
from lanelead.store.migration_store import Ledger
from lanelead.store.service import Store, serve
from lanelead.testbed.emulators.event_recording import Tap


class Cut(Exception):
    pass


class FaultyStore(Store):
    def __init__(self, ledger: Ledger, tap: Tap | None = None) -> None:
        super().__init__(ledger)
        self._tap, self._orders = tap, list[dict[str, Any]]()
        self._slow = 0.0
        self._record = Record()
        ledger.at = self._point
        for logged in ledger.page(0, 10**6).entries:
            self._record.add(logged)

    def note(self, what: str, **facts: Any) -> None:
        if self._tap is not None:
            self._tap.note(what, **facts)

    # Faults

    def obey(self, order: dict[str, Any]) -> None:
        if order["kind"] == "slow":
            self._slow = order["size"]
        elif order["kind"] == "full":
            pages = self.ledger.db.execute("PRAGMA page_count").fetchone()[0]
            self.ledger.db.execute(f"PRAGMA max_page_count = {pages if order.get('on', True) else 2**30}")
        else:
            self._orders.append(order)
        self.note("order", **order)

    def _due(self, kinds: tuple[str, ...], where: str) -> dict[str, Any] | None:
        for order in self._orders:
            if order["kind"] in kinds and order["at"] == where:
                order["skip"] = order.get("skip", 0) - 1
                if order["skip"] < 0:
                    self._orders.remove(order)
                    self.note("fault", kind=order["kind"], at=where)
                    return order
        return None

    def _point(self, point: str) -> None:
        if point == "apply.mid" and self._slow:
            time.sleep(self._slow)
        order = self._due(("kill", "cut"), point)
        if order is not None and order["kind"] == "kill":
            os.kill(os.getpid(), signal.SIGKILL)
        elif order is not None:
            raise Cut

    def heard(self, caller: ServerConnection, ask: HttpRequest) -> None:
        path = ask.target.partition(b"?")[0].decode("latin-1")
        if path == "/file":
            self._file(caller, ask)
            return
        order = self._due(("refuse", "early", "drop", "hang", "late"), path)
        kind = order["kind"] if order is not None else ""
        if kind == "refuse":
            caller.write(serialization.response(503, (), b"", False))
            caller.close()
        elif kind == "early":
            return
        elif kind == "late":
            assert order is not None
            asyncio.get_running_loop().call_later(order["size"], self._do, ServerConnection(lambda *_: None), ask)
        elif kind in ("drop", "hang"):
            self._do(ServerConnection(lambda *_: None), ask)
            if kind == "drop":
                caller.reset()
        else:
            self._do(caller, ask)

    def _do(self, caller: ServerConnection, ask: HttpRequest) -> None:
        try:
            super().heard(caller, ask)
        except Cut:
            self.catch_up()
            caller.reset()

    # What passed

    def handle(self, method: str, path: str, ask: HttpRequest, query: dict[str, int]) -> tuple[int, bytes]:
        status, body = super().handle(method, path, ask, query)
        if path == "/apply":
            sent = msgspec.json.decode(ask.body) if status in (200, 409, 422) else {}
            self.note(
                "effect_asked",
                status=status,
                intent=sent.get("intent"),
                part=sent.get("part"),
                token=sent.get("token"),
                said=msgspec.json.decode(body),
            )
        elif path in ("/seen", "/lease", "/forget"):
            self.note("said", path=path, status=status, body=msgspec.json.decode(ask.body))
        return status, body

    def written(self, logged: LoggedEntry) -> None:
        self.catch_up()
        super().written(logged)

    def catch_up(self) -> None:
        """Takes note of all that is on disk: an entry may be, though its call was cut."""
        for logged in self.ledger.page(self._record.seq).entries:
            self._record.add(logged)
            self.note("entry", **msgspec.to_builtins(logged))
            self.noted(logged)

    def noted(self, logged: LoggedEntry) -> None: ...

    def _file(self, caller: ServerConnection, ask: HttpRequest) -> None:
        """A unit writes what an effectful lookup is for, as its build does, into the schema as it stands."""
        try:
            told = decode(ask.body, SchemaCheck)
        except MessageError as fault:
            caller.write(serialization.response(400, (), str(fault).encode(), ask.keep))
            return
        ready, why = self._record.ready(told.build), ""
        try:
            if told.write:
                self.ledger.db.execute(told.write, {"op": told.op} if ":op" in told.write else {})
        except sqlite3.Error as fault:
            why = str(fault)
        self.note("filed", build=told.build, op=told.op, ready=ready, why=why, seq=self._record.seq)
        status = 409 if why else 200
        body = encode(RejectedCall("failed", why)) if why else b"{}"
        caller.write(serialization.response(status, (), body, ask.keep))


async def _run(file: str, port: int, folder: str | None) -> None:
    tap = Tap(Path(folder), "store") if folder else None
    store = FaultyStore(Ledger(file), tap)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def orders() -> None:
        while line := await reader.readline():
            store.obey(msgspec.json.decode(line))
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
