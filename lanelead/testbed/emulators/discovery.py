"""The roster: it tells late, knows only which processes run, and can go away for a while
(docs/protocols.md)."""

from __future__ import annotations

import asyncio
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgspec

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import STREAM, ServerConnection, chunk
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage, encode
from lanelead.testbed.emulators.event_recording import Tap, clock


def relay_of(ask: HttpRequest) -> int:
    query = parse_qs(urlsplit(ask.target.decode("latin-1")).query)
    text = query.get("relay", ["-1"])[0]
    return int(text) if text.lstrip("-").isdigit() else -1


class Door:
    """A listening socket that can be shut and opened again at the same port."""

    def __init__(self, port: int, tap: Tap) -> None:
        self.port, self.tap = port, tap
        self._server: asyncio.Server | None = None
        self.callers: dict[ServerConnection, None] = {}

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.heard, self._met), "127.0.0.1", self.port, reuse_address=True
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    def shut(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for caller in list(self.callers):
            caller.reset()

    def close(self) -> None:
        """Shuts it for good."""
        self.shut()
        self.tap.close()

    def _met(self, caller: ServerConnection) -> None:
        self.callers[caller] = None
        caller.close_callbacks.append(lambda: self.callers.pop(caller, None) and None)

    def heard(self, caller: ServerConnection, ask: HttpRequest) -> None:
        raise NotImplementedError


class Roster(Door):
    def __init__(self, folder: Path, port: int, late: float) -> None:
        super().__init__(port, Tap(folder, "roster"))
        self._late = late
        self._rows: dict[str, EndpointMessage] = {}
        self._version = 0
        self._watchers: dict[ServerConnection, int] = {}
        self._beat: asyncio.Task[None] | None = None

    async def open(self) -> None:
        await super().open()
        if self._beat is None:
            self._beat = asyncio.get_running_loop().create_task(self._heart())

    async def _heart(self) -> None:
        while True:
            await asyncio.sleep(1)
            for caller in list(self._watchers):
                caller.write(chunk(b"\n"))

    def clock_ms(self) -> float:
        return clock() * 1000

    def see(self, row: EndpointMessage, late: float | None = None) -> None:
        """A process has changed; it is told after the roster's delay."""
        asyncio.get_running_loop().call_later(self._late if late is None else late, self.list_now, row)

    def list_now(self, row: EndpointMessage) -> None:
        if row.condition == "gone":
            if self._rows.pop(row.unit, None) is None:
                return
        else:
            self._rows[row.unit] = row
        self._version += 1
        for caller, relay in list(self._watchers.items()):
            self._tell(caller, relay, "changes", [row])

    def _listed(self, update_scope: str, rows: list[EndpointMessage]) -> EndpointListMessage:
        return EndpointListMessage(update_scope, self._version, self.clock_ms(), rows)  # type: ignore[arg-type]

    def _leave(self, caller: ServerConnection) -> None:
        self._watchers.pop(caller, None)

    def _tell(self, caller: ServerConnection, relay: int, update_scope: str, rows: list[EndpointMessage]) -> None:
        if caller.transport is None:
            return
        self.tap.note("told", relay=relay, coverage=update_scope, units=msgspec.to_builtins(rows))
        caller.write(chunk(encode(self._listed(update_scope, rows)) + b"\n"))

    def heard(self, caller: ServerConnection, ask: HttpRequest) -> None:
        path = ask.target.partition(b"?")[0]
        rows = list(self._rows.values())
        if path == b"/roster/watch":
            relay = relay_of(ask)
            caller.write(STREAM)
            self._watchers[caller] = relay
            caller.close_callbacks.append(lambda: self._leave(caller))
            self._tell(caller, relay, "full", rows)
        elif path == b"/roster":
            body = encode(self._listed("full", rows))
            caller.write(serialization.response(200, [(b"content-type", b"application/json")], body, ask.keep))
        else:
            caller.write(serialization.response(404, (), b"", ask.keep))
