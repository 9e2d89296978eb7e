"""A network between processes, on loopback, for connections: `address(a, b)` is where a finds b. Each way can
be cut (bytes vanish), delayed, or broken in the middle, whoever opened the connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial


@dataclass
class LinkDirection:
    """One direction. `delay` in seconds; `breaks`: both ends are closed behind so many bytes."""

    cut: bool = False
    delay: float = 0.0
    breaks: int | None = None


class FaultyTcpLinks:
    def __init__(self, many: int) -> None:
        self.ways = {(a, b): LinkDirection() for a in range(many) for b in range(many) if a != b}
        self._servers: dict[tuple[int, int], asyncio.Server] = {}
        self._ends: dict[int, int] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}

    async def open(self, ports: list[int]) -> None:
        self._ends = dict(enumerate(ports))
        for a, b in self.ways:
            self._servers[a, b] = await asyncio.start_server(partial(self._meet, a, b), "127.0.0.1", 0)

    def address(self, a: int, b: int) -> str:
        return f"127.0.0.1:{self._servers[a, b].sockets[0].getsockname()[1]}"

    async def _meet(self, a: int, b: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        other: asyncio.StreamWriter | None = None
        try:
            back, other = await asyncio.open_connection("127.0.0.1", self._ends[b])
            await asyncio.gather(self._pass(self.ways[a, b], reader, other), self._pass(self.ways[b, a], back, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.pop(task, None)
            for each in (writer, other):
                if each is not None:
                    each.close()

    async def _pass(self, way: LinkDirection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        passed = 0
        while data := await reader.read(65536):
            if way.delay:
                await asyncio.sleep(way.delay)
            if way.cut:
                continue
            passed += len(data)
            if way.breaks is not None and passed > way.breaks:
                writer.write(data[: -(passed - way.breaks)])
                raise OSError("broken in the middle")
            writer.write(data)
            await writer.drain()
        if not way.cut:
            with contextlib.suppress(OSError):
                writer.write_eof()

    def cut(self, side: Iterable[int], other: Iterable[int], one_way: bool = False) -> None:
        there = list(other)
        for a in side:
            for b in there:
                if a != b:
                    self.ways[a, b].cut = True
                    self.ways[b, a].cut = self.ways[b, a].cut or not one_way

    def heal(self) -> None:
        for way in self.ways.values():
            way.cut, way.delay, way.breaks = False, 0.0, None

    async def close(self) -> None:
        for server in self._servers.values():
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
