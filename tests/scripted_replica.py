"""A replica for tests of the relay's client: it responds like a real one, or as a test scripts it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from lanelead.configuration.publisher import ChangePublisher, SnapshotExpiredError
from lanelead.configuration.value_types import EntryValue
from lanelead.http import serialization
from lanelead.http.server import STREAM_HEAD, chunk
from lanelead.postgres_relay.config import ConfigurationSource, ConfigurationSources
from lanelead.postgres_relay.configuration_client import ConfigurationClient
from lanelead.protocols.configuration import Entry, WatchLine
from lanelead.protocols.feeds import encode
from tests.follower_harness import change

Answer = Callable[["ScriptedReplica", asyncio.StreamWriter], Awaitable[None]]
WATCH, OUTLINE = "/configuration/watch", "/configuration/outline"
BUCKETS, APPLIED = "/configuration/buckets", "/configuration/applied"


class ScriptedReplica:
    """An HTTP server with a publisher; `overrides` has responses, by path, that replace the normal ones."""

    def __init__(self) -> None:
        self.source = ChangePublisher()
        self.overrides: dict[str, Answer] = {}
        self.requests: list[str] = []  # paths of the requests received
        self.written = 0  # bytes
        self.open_connections = 0  # number of open connections
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], None] = {}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def publish(self, *entries: Entry) -> None:
        made = change(self.source.document, *entries)
        self.source.document.apply(made)
        self.source.append(made)

    def count(self, path: str) -> int:
        return self.requests.count(path)

    async def write(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        if writer.is_closing():
            raise ConnectionResetError
        self.written += len(text)
        writer.write(text)
        await writer.drain()

    async def answer(self, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
        await self.write(writer, serialization.response(status, (), body, keep=False))

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        self.open_connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            target = urlsplit((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
            query = {name: values[0] for name, values in parse_qs(target.query).items()}
            self.requests.append(target.path)
            if target.path in self.overrides:
                await self.overrides[target.path](self, writer)
            else:
                await self._respond(target.path, query, reader, writer)
        self.open_connections -= 1
        writer.close()
        self._tasks.pop(task, None)

    async def _respond(
        self, path: str, query: Mapping[str, str], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source, loop = self.source, asyncio.get_running_loop()
        if path == WATCH:
            await self.write(writer, STREAM_HEAD)
            position = source.resume_position(int(query["from"]), query["digest"])
            first: dict[str, Any] = {"resume_version": position}
            while not reader.at_eof():
                source.majority_heard_at = loop.time()
                line, position = source.next_line(position, loop.time())
                line, first = msgspec.structs.replace(line, **first), {}
                await self.write(writer, chunk(encode(line) + b"\n"))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await reader.read(1)
        elif path == OUTLINE:
            await self.answer(writer, 200, encode(source.digest_tree(loop.time())))
        elif path == BUCKETS:
            numbers = [int(number) for number in query["numbers"].split(",")]
            try:
                found = source.buckets(int(query["version"]), numbers)
            except SnapshotExpiredError:
                await self.answer(writer, 410, b"{}")
            else:
                await self.answer(writer, 200, encode(found))
        else:
            await self.answer(writer, 200, b'{"version":0}')


def line(source: ChangePublisher) -> bytes:
    """A valid line without changes: a heartbeat."""
    return encode(WatchLine(source.history, source.document.version, 0.0)) + b"\n"


class RecordedLog:
    """A logger that records its lines with their fields."""

    def __init__(self) -> None:
        self.rows: list[tuple[str, dict[str, Any]]] = []

    def warning(self, text: str, **more: Any) -> None:
        self.rows.append((text, more))

    error = warning

    def logged(self, text: str) -> list[dict[str, Any]]:
        return [more for event, more in self.rows if text in event]


class FollowingClient:
    """A configuration client that follows these replicas, the first of them in its own zone."""

    def __init__(self, replicas: Sequence[ScriptedReplica], entries: Sequence[tuple[str, bytes]], **more: Any) -> None:
        self.log, self.changed, self.change_calls = RecordedLog(), list[str](), 0
        sources = [ConfigurationSource(f"127.0.0.1:{at.port}", f"zone-{n}", "one") for n, at in enumerate(replicas)]
        more = {"zone": "zone-0", "region": "one", "catch_up_bytes_per_s": 1e8, **more}
        following = ConfigurationSources(sources, **more)
        self.client = ConfigurationClient(
            asyncio.get_running_loop(),
            number=7,
            following=following,
            entries=entries,
            on_change=self._on_change,
            rng=Random(5),
            log=self.log,
        )

    def _on_change(self, keys: Sequence[str], values: Mapping[str, EntryValue]) -> None:
        self.change_calls += 1
        self.changed += keys

    @property
    def version(self) -> int:
        return self.client.follower.document.version

    async def wait_for_version(self, version: int) -> None:
        """Waits until this version is in force and its actions are carried out."""
        while self.version < version or self.client.follower.actions:
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def scripted_replicas(count: int) -> AsyncIterator[list[ScriptedReplica]]:
    found = [ScriptedReplica() for _ in range(count)]
    try:
        for replica in found:
            await replica.start()
        yield found
    finally:
        for replica in found:
            await replica.stop()


@contextlib.asynccontextmanager
async def following(
    replicas: Sequence[ScriptedReplica], entries: Sequence[tuple[str, bytes]] = (), faults: bool = False, **more: Any
) -> AsyncIterator[FollowingClient]:
    """Runs a client that follows these replicas. With `faults`, exceptions inside the client are expected."""
    found = FollowingClient(replicas, entries, **more)
    task = asyncio.create_task(found.client.run())
    try:
        yield found
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    if not faults:
        assert not found.log.logged("following the configuration failed"), found.log.rows
