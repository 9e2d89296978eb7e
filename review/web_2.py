"""Stand-ins for the surroundings of the relay over HTTP: endpoints, discovery, the rollout platform and clients.

They follow docs/protocols.md, and for what may happen to them the users' pages. Each is a small server on loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins_2 import ROOT, Record

Headers = dict[str, str]
LANES: dict[str, dict[str, Any]] = {
    "offer-status": {
        "name": "offer-status",
        "methods": ["GET"],
        "prefix": "/",
        "repeat": "pure",
        "expected_time_ms": 1500,
        "outer_limit_ms": 6000,
    },
    "offer-submit": {
        "name": "offer-submit",
        "methods": ["POST"],
        "prefix": "/",
        "repeat": "effectful",
        "expected_time_ms": 1200,
        "outer_limit_ms": 4000,
        "value": 3,
    },
}
PYTHON = str(ROOT / ".venv" / "bin" / "python")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Reads a request or a response: its first line, its headers in lower case and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def response(status: int, body: bytes, **headers: str) -> bytes:
    """Encodes a response; underscores in the names of headers become hyphens."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} x\r\n{lines}content-length: {len(body)}\r\n\r\n".encode() + body


def chunk(body: bytes) -> bytes:
    """Encodes a chunk of a body without an end."""
    return b"%x\r\n%s\r\n" % (len(body), body)


class Server:
    """A server of HTTP/1.1 with connections that stay open."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self.handle(first, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, first: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Serves one request."""
        raise NotImplementedError


Behaviour = Callable[["Endpoint", str, asyncio.StreamWriter], Awaitable[None]]


class Endpoint(Server):
    """An endpoint. It runs a request for `work` seconds and answers with a value made for it."""

    def __init__(self, record: Record, name: str, build: int, work: float = 0.03) -> None:
        super().__init__()
        self.record = record
        self.name = name
        self.build = build
        self.work = work
        self.behaviour: Behaviour = answer_once

    async def handle(self, first: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Serves a request of a client, or a health check."""
        if " /.lanelead/load " in first:
            writer.write(response(200, b'{"waiting": 0, "cpu": 0.1}'))
            return
        request_id = headers["x-request-id"]
        lane = headers.get("lanelead-lane", "")
        self.record.add("attempt", unit=self.name, build=self.build, id=request_id, lane=lane)
        await self.behaviour(self, request_id, writer)

    def value(self, request_id: str) -> bytes:
        """Returns the value made for a request."""
        return f"{request_id} by {self.name}".encode()

    def entry(self, condition: str) -> dict[str, Any]:
        """Returns discovery's entry of this endpoint."""
        return {
            "unit": self.name,
            "host": "127.0.0.1",
            "port": self.port,
            "zone": "kifisia",
            "build": self.build,
            "condition": condition,
        }


async def answer_once(endpoint: Endpoint, request_id: str, writer: asyncio.StreamWriter) -> None:
    """Runs a request and answers it."""
    await asyncio.sleep(endpoint.work)
    endpoint.record.add("ran", unit=endpoint.name, build=endpoint.build, id=request_id)
    writer.write(response(200, endpoint.value(request_id)))


class Feed(Server):
    """A server of endless streams of JSON lines; other calls get `answer`."""

    def __init__(self, record: Record, first_line: Callable[[], Any]) -> None:
        super().__init__()
        self.record = record
        self.first_line = first_line
        self.answer: Callable[[bytes], Any] = lambda body: {}
        self._watchers: dict[asyncio.StreamWriter, None] = {}
        self._beat: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Listens."""
        await super().open()
        self._beat = asyncio.create_task(self._beats())

    async def handle(self, first: str, headers: Headers, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Begins a stream, or answers a call."""
        if first.startswith("GET"):
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            writer.write(chunk(json.dumps(self.first_line()).encode() + b"\n"))
            self._watchers[writer] = None
        else:
            writer.write(response(200, json.dumps(self.answer(body)).encode()))

    def tell(self, line: Any) -> None:
        """Sends a line to all that watch."""
        self._write(json.dumps(line).encode() + b"\n")

    def _write(self, line: bytes) -> None:
        for writer in list(self._watchers):
            if writer.is_closing():
                del self._watchers[writer]
            else:
                writer.write(chunk(line))

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(1)
            self._write(b"\n")


class Discovery(Feed):
    """Discovery: the whole list first, then changes."""

    def __init__(self, record: Record, endpoints: list[Endpoint]) -> None:
        self._endpoints = endpoints
        self._conditions = dict.fromkeys(endpoints, "ready")
        self._version = 1
        super().__init__(record, lambda: self._message("full", endpoints))

    def _message(self, coverage: str, endpoints: list[Endpoint]) -> dict[str, Any]:
        rows = [endpoint.entry(self._conditions[endpoint]) for endpoint in endpoints]
        if coverage == "full":
            rows = [row for row in rows if row["condition"] != "gone"]
        return {
            "coverage": coverage,
            "version": self._version,
            "clock_ms": round(time.monotonic() * 1000, 1),
            "units": rows,
        }

    def change(self, endpoints: list[Endpoint], condition: str) -> None:
        """Changes the condition of some endpoints, and tells it."""
        self._version += 1
        for endpoint in endpoints:
            self._conditions[endpoint] = condition
        names = [endpoint.name for endpoint in endpoints]
        self.record.add("discovery tells", units=names, condition=condition)
        self.tell(self._message("changes", endpoints))


class Rollout(Feed):
    """The rollout platform; `change` tells a new state."""

    def __init__(self, record: Record, **state: Any) -> None:
        self.state = state
        self._since = time.monotonic()
        super().__init__(record, self._message)
        self.answer = lambda body: {"word": "done", "news": self._message()}

    def _message(self) -> dict[str, Any]:
        return {**self.state, "age_ms": round((time.monotonic() - self._since) * 1000, 1)}

    def change(self, **state: Any) -> None:
        """Changes the state, and tells it."""
        self.state |= state
        self._since = time.monotonic()
        self.record.add("rollout tells", **self.state)
        self.tell(self._message())


class Process:
    """A process of the project's own: `python -m lanelead ...`; its standard error goes to a file."""

    def __init__(self, record: Record, folder: Path, name: str, *arguments: str) -> None:
        self.record = record
        self.name = name
        self.arguments = arguments
        self._log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> str:
        """Starts the process, and returns the first line that it prints."""
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PYTHON, "-m", "lanelead", *self.arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=log
            )
        self.record.add("started", process=self.name, pid=self.process.pid)
        assert self.process.stdout is not None
        async with asyncio.timeout(30):
            return (await self.process.stdout.readline()).decode().strip()

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None and self.process.returncode is None:
            self.record.add("killed", process=self.name)
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def log_lines(self) -> list[str]:
        """Returns the lines of its log."""
        return self._log.read_text(errors="replace").splitlines() if self._log.exists() else []


class Client:
    """A client with one connection, which asks one request after another."""

    def __init__(self, record: Record, port: int, name: str) -> None:
        self.record = record
        self.port = port
        self.name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(self, request_id: str, method: str, path: str, limit: float) -> str:
        """Sends a request; returns and records its outcome: done, shed, broken-off, foreign, never or closed."""
        try:
            async with asyncio.timeout(limit + 0.5):
                outcome = await self._ask(request_id, method, path, limit)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.drop()
            outcome = "never" if isinstance(error, TimeoutError) else "closed"
        self.record.add("answer", id=request_id, client=self.name, outcome=outcome)
        return outcome

    async def _ask(self, request_id: str, method: str, path: str, limit: float) -> str:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        assert self._reader is not None
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: relay\r\nx-request-id: {request_id}\r\n"
            f"lanelead-left: {limit * 1000:.0f}\r\n"
        )
        body = "12.50" if method == "POST" else ""
        self._writer.write(f"{head}content-length: {len(body)}\r\n\r\n{body}".encode())
        self.record.add("sent", id=request_id, client=self.name, method=method)
        _, headers, value = await read_message(self._reader)
        if headers.get("connection", "").lower() == "close":
            self.drop()
        outcome = headers.get("lanelead-outcome", "none")
        if outcome == "done" and not value.startswith(f"{request_id} by ".encode()):
            self.record.add("foreign value", id=request_id, value=value.decode("latin-1")[:80])
            return "foreign"
        return outcome

    def drop(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def write_settings(file: Path, port: int, lanes: list[str], number: int = 0, relays: int = 1, **feeds: int) -> None:
    """Writes the settings of a relay that listens at a port; `feeds` are the ports of roster, desk and steps."""
    feed = {"least_wait_ms": 50, "most_wait_ms": 500, "silence_ms": 3000}
    settings = {
        "number": number,
        "relays": relays,
        "zone": "kifisia",
        "listen": {"port": port},
        "service": {
            "lanes": [LANES[name] for name in lanes],
            "members": [{"name": "thermaiki", "quota": 85, "share": 1}],
        },
        **{name: {"address": {"port": other}, **feed} for name, other in feeds.items()},
    }
    file.write_text(json.dumps({"relay": settings}))


class MigrationLog:
    """The entries of a migration store's log, read as any reader may: what is known of each step, and when."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self._port = port
        self.entries: list[dict[str, Any]] = []
        self._grown = asyncio.Condition()

    async def follow(self) -> None:
        """Reads the log until it is cancelled."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        writer.write(b"GET /record/watch?since=0 HTTP/1.1\r\nhost: store\r\n\r\n")
        await read_message(reader)
        while line := await reader.readline():
            if not line.startswith(b"{"):
                continue
            for logged in json.loads(line)["entries"]:
                entry = logged["entry"]
                if entry["kind"] != "plan":
                    known = {"kind": entry["kind"], "step": entry["step"], "way": entry.get("way", "apply")}
                    self.entries.append(self.record.add("log entry", **known))
            async with self._grown:
                self._grown.notify_all()

    def find(self, **fields: str) -> list[dict[str, Any]]:
        """Returns the entries with these fields."""
        return [entry for entry in self.entries if all(entry[name] == value for name, value in fields.items())]

    async def until(self, **fields: str) -> None:
        """Waits for an entry with these fields."""
        async with self._grown:
            await self._grown.wait_for(lambda: bool(self.find(**fields)))
