"""A small platform for live tests: discovery, desk, units that follow a script, and a relay, in one loop."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import structlog

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.pgwire import messages
from lanelead.pgwire.messages import READY, message
from lanelead.postgres_relay.config import load
from lanelead.postgres_relay.service import Service

LANES = [
    {"name": "read", "aimMs": 800.0, "deadlineMs": 1500.0, "repeat": "read_like"},
    {"name": "file", "aimMs": 800.0, "deadlineMs": 1500.0, "repeat": "non_idempotent"},
]
SETTINGS: dict[str, Any] = {
    "me": 0,
    "instances": 2,
    "zone": "north",
    "tickMs": 5.0,
    "discovery": "automatic",
    "requestClasses": [
        {"credit": 1.0, "lateWorth": 0.2, "group": "all", "windowMs": 2000.0, "streaming": False, **lane}
        for lane in LANES
    ],
    "accounts": [{"name": "m", "quotaPerS": 100.0, "share": 1.0}],
    "allowed": {
        "attemptsCap": 3,
        "openCap": 1000,
        "maxStreams": 1,
        "mayCancel": True,
        "probes": True,
        "peers": True,
        "secondCopies": False,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "connectTimeoutMs": 250.0,
        "connIdleMs": 15000.0,
    },
    "contract": {
        "answerSlackMs": 20.0,
        "drainGraceMs": 2000.0,
        "coldFrom": 0.5,
        "coldMs": 2000.0,
        "fallMultiple": 4.0,
        "fallMs": 1000.0,
    },
    "familyInfo": {
        "shares": [0.1, 1.0],
        "mostShares": [0.2, 1.0],
        "uncounted": 3.0,
        "countedOverMs": 3000.0,
        "capScope": "all",
        "decidedBy": "first_voice",
        "onVotes": 1,
        "noesNeeded": 1,
        "apiTimeoutMs": 300.0,
        "voteTtlMs": 6000.0,
        "voteAllowance": 100.0,
        "minDwellMs": 1000.0,
    },
    "loadReport": {"how": "pull", "names": ["waiting", "cpu"]},
}
NEWS = {"build": 1, "stage": 1, "phase": "live", "cap": 1.0, "age_ms": 60000}
Script = Callable[["Unit", bytes], Awaitable[bytes | None]]


def row(value: bytes) -> bytes:
    described = message(b"T", b"\0\1doc\0" + bytes(17) + b"\1")
    return described + message(b"D", b"\0\1" + len(value).to_bytes(4, "big") + value) + message(b"C", b"SELECT 1\0")


async def good(unit: Unit, text: bytes) -> bytes:
    return row(b"value of " + text.split(b"id=")[1].split(b",")[0]) + READY


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Unit:
    """A unit: `script` says what each query gets; None resets the connection."""

    def __init__(self, name: str, script: Script = good) -> None:
        self.name, self.script, self.port = name, script, 0
        self.queries: list[bytes] = []
        self.connections = self.ended = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.welcomes = asyncio.Event()  # until it is set, connections come up and nothing is said on them
        self.welcomes.set()

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._met, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _met(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            size = int.from_bytes(await reader.readexactly(4), "big")
            await reader.readexactly(size - 4)
            await self.welcomes.wait()
            writer.write(messages.WELCOME)
            while True:
                head = await reader.readexactly(5)
                text = (await reader.readexactly(int.from_bytes(head[1:], "big") - 4))[:-1]
                self.queries.append(text)
                answer = await self.script(self, text)
                if answer is None:
                    writer.transport.abort()
                    break
                writer.write(answer)
        self.ended += 1
        writer.close()


class Held(Unit):
    """A unit that reads each query, and answers one each time the test lets it."""

    def __init__(self, name: str = "u0") -> None:
        self.may = asyncio.Semaphore(0)
        super().__init__(name, self._held)

    async def _held(self, unit: Unit, text: bytes) -> bytes | None:
        await self.may.acquire()
        return row(b"waiting=1") + READY if text == b"SHOW vitals" else await good(unit, text)


class Client:
    """A client's connection, by hand."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def message(self) -> tuple[bytes, bytes]:
        head = await self.reader.readexactly(5)
        return head[:1], await self.reader.readexactly(int.from_bytes(head[1:], "big") - 4)

    async def answer(self) -> dict[str, bytes]:
        """All messages up to ReadyForQuery or a fatal error, by type; an error's fields by their letters."""
        found: dict[str, bytes] = {}
        while True:
            kind, body = await self.message()
            found[kind.decode()] = body
            if kind == b"E":
                found |= {chr(word[0]): word[1:] for word in body.split(b"\0") if word}
            if kind == b"Z" or found.get("S") == b"FATAL":
                return found

    def send(self, ident: str, request_class: str = "read", left: int = 1400, more: str = "") -> None:
        self.writer.write(messages.query(statement(ident, request_class, left, more)))

    async def ask(self, ident: str, request_class: str = "read", left: int = 1400) -> dict[str, bytes]:
        self.send(ident, request_class, left)
        return await self.answer()


def statement(ident: str, request_class: str = "read", left: int = 1400, more: str = "") -> bytes:
    return f"SELECT doc FROM items WHERE id = 'ab12' /* id={ident},c={request_class},t=m,d={left}{more} */".encode()


class Platform:
    def __init__(self, folder: Path, units: list[Unit], sockets: int, known: bool = True) -> None:
        self.folder, self.units, self.sockets, self.known = folder, units, sockets, known
        self.answers = asyncio.Event()  # until it is set, discovery takes calls and says nothing
        self.answers.set()
        self.speaks = True  # the desk tells where the build stands, once it is watched
        self.states = {unit.name: "active" for unit in units}
        self.version, self.log = 1, structlog.testing.CapturingLogger()
        self.lists: list[bytes] = []  # what discovery was asked
        self.spoil: list[bytes] = []  # discovery's next answers
        self.calls: list[dict[str, Any]] = []  # what the desk was asked
        self.judge: Callable[[dict[str, Any]], bytes | None] = lambda call: answered(call["id"], NEWS)
        self.desks: list[asyncio.StreamWriter] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.plains: list[socket.socket] = []
        self.letters = free_port(socket.SOCK_DGRAM)
        self._changed = asyncio.Event()

    async def open(self, listening: bool = True) -> None:
        loop = asyncio.get_running_loop()
        for unit in self.units:
            await unit.open()
        self._servers = [await loop.create_server(lambda: ServerConnection(self._listed), "127.0.0.1", 0)]
        self._servers.append(await asyncio.start_server(self._desk, "127.0.0.1", 0))
        self.port = free_port()
        self.write(self.ports())
        path = str(self.folder / "config.json")
        config = load(path)
        self.relay = Service(config, path, structlog.wrap_logger(self.log, processors=[]))
        self.relay.install_signal_handlers()
        self.run = asyncio.create_task(self.relay.run(config))
        await self.until(lambda: self.said("listening") > 0 or self.run.done() or not listening)

    def ports(self) -> list[int]:
        return [server.sockets[0].getsockname()[1] for server in self._servers]

    def write(self, ports: list[int]) -> None:
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "7f",
            "discovery": f"127.0.0.1:{ports[0]}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.sockets},
            "peer_listen": f"127.0.0.1:{self.letters}",
            "peers": [f"127.0.0.1:{self.letters}", "127.0.0.1:9"],
            "platform": {"address": f"127.0.0.1:{ports[1]}", "news": NEWS},
            "settings": SETTINGS,
            "known": json.loads(self.list_of(self.units if self.known else [])),
        }
        (self.folder / "config.json").write_text(json.dumps(config))

    def list_of(self, units: list[Unit], full: bool = True) -> bytes:
        rows = [
            {
                "id": unit.name,
                "addr": f"127.0.0.1:{unit.port}",
                "zone": "north",
                "kind": "k",
                "cell": 0,
                "state": self.states[unit.name],
                "weight": 1.0,
                "started_ms": 0,
                "revision_no": 1,
            }
            for unit in units
        ]
        return json.dumps({"version": self.version, "full": full, "servers": rows}).encode()

    def turn(self, unit: Unit, state: str) -> None:
        """Discovery tells of a unit's new state."""
        self.states[unit.name] = state
        self.version += 1
        self._changed.set()

    def _listed(self, caller: ServerConnection, ask: HttpRequest) -> None:
        self.lists.append(ask.target)
        if not self.answers.is_set():
            asyncio.get_running_loop().create_task(self._silent(caller, ask))
        elif self.spoil:
            caller.write(self.spoil.pop(0))
            caller.close()
        elif b"from=" not in ask.target:
            caller.write(serialization.response(200, (), self.list_of(self.units), keep=False))
            caller.close()
        else:
            asyncio.get_running_loop().create_task(self._hold(caller))

    async def _silent(self, caller: ServerConnection, ask: HttpRequest) -> None:
        await self.answers.wait()
        if caller.transport is not None:
            self._listed(caller, ask)

    async def _hold(self, caller: ServerConnection) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), 0.5)
        self._changed.clear()
        caller.write(serialization.response(200, (), self.list_of(self.units, full=False), keep=False))
        caller.close()

    async def _desk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.desks.append(writer)
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                call = json.loads(line)
                self.calls.append(call)
                if call["method"] == "Events.Watch":
                    writer.write(json.dumps({"jsonrpc": "2.0", "id": call["id"], "result": True}).encode() + b"\n")
                    if self.speaks:
                        writer.write(told(NEWS))
                elif (answer := self.judge(call)) is not None:
                    writer.write(answer)
        writer.close()

    def plain(self, *texts: bytes) -> socket.socket:
        """A client whose bytes are in the relay's kernel before the relay's loop turns again."""
        sock = socket.create_connection(("127.0.0.1", self.port))
        sock.sendall(messages.startup("app", "shop") + b"".join(messages.query(text) for text in texts))
        self.plains.append(sock)
        return sock

    async def heard(self, sock: socket.socket) -> bytes:
        """All that the relay says on a plain client's connection, up to its end."""
        loop, found = asyncio.get_running_loop(), b""
        sock.setblocking(False)
        with contextlib.suppress(ConnectionError):
            while more := await loop.sock_recv(sock, 65536):
                found += more
        return found

    async def client(self, start: bool = True) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.port))
        self.writers.append(client.writer)
        if start:
            client.writer.write(messages.startup("app", "shop"))
            await client.answer()
        return client

    async def until(self, what: Callable[[], bool]) -> None:
        while not what():
            await asyncio.sleep(0.01)

    async def rested(self) -> None:
        """Until the relay would use each connection to a unit again."""
        links, loop = self.relay.upstream.connections, asyncio.get_running_loop()
        await self.until(lambda: all(link.reusable_at <= loop.time() for link in links))

    def said(self, event: str) -> int:
        return sum(call.kwargs.get("event") == event for call in self.log.calls)

    async def close(self) -> None:
        self.answers.set()
        for writer in self.writers:
            writer.close()
        for sock in self.plains:
            sock.close()
        self.relay.stop()
        async with asyncio.timeout(8):
            await self.run
        for writer in [*self.desks, *(writer for unit in self.units for writer in unit.writers)]:
            writer.close()
        for server in [*self._servers, *(unit.server for unit in self.units)]:
            server.close()


class Hand:
    """A loop's clock and timers in the test's hand; all else is the loop's own."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.now = loop, loop.time()
        self.timers: list[Timer] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, call: Callable[..., object], *args: Any) -> Timer:
        self.timers.append(Timer(self.now + delay, call, args))
        return self.timers[-1]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def on(self, seconds: float) -> None:
        """The clock goes on; timers that fall due are called, in their order."""
        self.now += seconds
        due = sorted((timer for timer in self.timers if timer.at <= self.now), key=lambda timer: timer.at)
        self.timers = [timer for timer in self.timers if timer not in due]
        for timer in due:
            timer.fire()


class Timer:
    def __init__(self, at: float, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.at, self._call, self._args, self._off = at, call, args, False

    def cancel(self) -> None:
        self._off = True

    def fire(self) -> None:
        if not self._off:
            self._call(*self._args)


def told(news: dict[str, Any]) -> bytes:
    return json.dumps({"jsonrpc": "2.0", "method": "stage", "params": news}).encode() + b"\n"


def answered(number: int, news: dict[str, Any]) -> bytes:
    return json.dumps({"jsonrpc": "2.0", "id": number, "result": news}).encode() + b"\n"


def refused(number: int, word: str) -> bytes:
    error = {"code": -32602, "message": word}
    return json.dumps({"jsonrpc": "2.0", "id": number, "error": error}).encode() + b"\n"


@contextlib.asynccontextmanager
async def platform(
    *units: Unit, sockets: int = 256, known: bool = True, silent: bool = False, listening: bool = True
) -> AsyncIterator[Platform]:
    with tempfile.TemporaryDirectory() as folder:
        place = Platform(Path(folder), list(units), sockets, known)
        if silent:
            place.answers.clear()
        await place.open(listening)
        try:
            yield place
        finally:
            await place.close()
