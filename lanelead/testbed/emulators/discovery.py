"""Emulated discovery: serves the endpoint list over HTTP, with a delay (see docs/protocols.md).

It lists the processes that run, whether or not they answer requests, and can be shut and opened again.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgspec

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import STREAM_HEAD, ServerConnection, chunk
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage, encode
from lanelead.testbed.emulators.event_recording import EventRecorder, clock


def relay_number(request: HttpRequest) -> int:
    """Returns the relay's number from a request's query; -1 if it has none."""
    query = parse_qs(urlsplit(request.target.decode("latin-1")).query)
    text = query.get("relay", ["-1"])[0]
    return int(text) if text.lstrip("-").isdigit() else -1


class RestartableServer:
    """An HTTP server that can be shut and opened again at the same port. Port 0: any free port."""

    def __init__(self, port: int, tap: EventRecorder) -> None:
        self.port, self.tap = port, tap
        self._server: asyncio.Server | None = None
        self.callers: dict[ServerConnection, None] = {}

    async def open(self) -> None:
        """Starts listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.request_received, self._connection_made),
            "127.0.0.1",
            self.port,
            reuse_address=True,
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    def shut(self) -> None:
        """Stops listening, and closes all connections at once."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.callers):
            connection.reset()

    def close(self) -> None:
        """Shuts the server for good, and closes its recording."""
        self.shut()
        self.tap.close()

    def _connection_made(self, connection: ServerConnection) -> None:
        self.callers[connection] = None
        connection.close_callbacks.append(lambda: self.callers.pop(connection, None) and None)

    def request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Serves a request; for subclasses."""
        raise NotImplementedError


class DiscoveryServer(RestartableServer):
    """The discovery server: endpoint lists, and streams of their changes to the relays that watch."""

    def __init__(self, folder: Path, port: int, delay_seconds: float) -> None:
        super().__init__(port, EventRecorder(folder, "roster"))
        self._delay_seconds = delay_seconds
        self._endpoints: dict[str, EndpointMessage] = {}
        self._version = 0
        self._watchers: dict[ServerConnection, int] = {}
        self._keepalive_task: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Starts listening, and from the first time on sends an empty line a second to each watcher."""
        await super().open()
        if self._keepalive_task is None:
            self._keepalive_task = asyncio.get_running_loop().create_task(self._send_keepalives())

    async def _send_keepalives(self) -> None:
        while True:
            await asyncio.sleep(1)
            for connection in list(self._watchers):
                connection.write(chunk(b"\n"))

    def clock_ms(self) -> float:
        """Returns the machine's monotonic time in milliseconds."""
        return clock() * 1000

    def see(self, row: EndpointMessage, delay_seconds: float | None = None) -> None:
        """Lists an endpoint's changed state after a delay in seconds; None: the server's usual one."""
        asyncio.get_running_loop().call_later(
            self._delay_seconds if delay_seconds is None else delay_seconds, self.list_now, row
        )

    def list_now(self, row: EndpointMessage) -> None:
        """Updates the list at once, and sends the change to all watchers."""
        if row.condition == "gone":
            if self._endpoints.pop(row.unit, None) is None:
                return
        else:
            self._endpoints[row.unit] = row
        self._version += 1
        for connection, relay in list(self._watchers.items()):
            self._send_update(connection, relay, "changes", [row])

    def _list_message(self, update_scope: str, rows: list[EndpointMessage]) -> EndpointListMessage:
        return EndpointListMessage(update_scope, self._version, self.clock_ms(), rows)  # type: ignore[arg-type]

    def _remove_watcher(self, connection: ServerConnection) -> None:
        self._watchers.pop(connection, None)

    def _send_update(
        self, connection: ServerConnection, relay: int, update_scope: str, rows: list[EndpointMessage]
    ) -> None:
        if connection.transport is None:
            return
        self.tap.note("told", relay=relay, coverage=update_scope, units=msgspec.to_builtins(rows))
        connection.write(chunk(encode(self._list_message(update_scope, rows)) + b"\n"))

    def request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Serves the endpoint list, or a stream that begins with it and goes on with its changes."""
        path = request.target.partition(b"?")[0]
        rows = list(self._endpoints.values())
        if path == b"/roster/watch":
            relay = relay_number(request)
            connection.write(STREAM_HEAD)
            self._watchers[connection] = relay
            connection.close_callbacks.append(lambda: self._remove_watcher(connection))
            self._send_update(connection, relay, "full", rows)
        elif path == b"/roster":
            body = encode(self._list_message("full", rows))
            connection.write(serialization.response(200, [(b"content-type", b"application/json")], body, request.keep))
        else:
            connection.write(serialization.response(404, (), b"", request.keep))
