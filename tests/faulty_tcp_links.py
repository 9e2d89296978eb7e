"""TCP proxies on loopback between processes, with injected faults.

Process a connects to process b at `address(a, b)`. Each direction can be cut (its bytes vanish), delayed, or broken
after a number of bytes, whichever process opened the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial


@dataclass
class LinkDirection:
    """One direction between two processes. `delay` is in seconds.

    Once a connection has carried `break_after` bytes in this direction, both of its ends are closed.
    """

    cut: bool = False
    delay: float = 0.0
    break_after: int | None = None


class FaultyTcpLinks:
    """A proxy for each ordered pair of `count` processes; `directions[a, b]` has the faults from a to b."""

    def __init__(self, count: int) -> None:
        self.directions = {(a, b): LinkDirection() for a in range(count) for b in range(count) if a != b}
        self._servers: dict[tuple[int, int], asyncio.Server] = {}
        self._target_ports: dict[int, int] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}

    async def open(self, ports: list[int]) -> None:
        """Starts the proxies; `ports` has the port of each process."""
        self._target_ports = dict(enumerate(ports))
        for a, b in self.directions:
            self._servers[a, b] = await asyncio.start_server(partial(self._forward_connection, a, b), "127.0.0.1", 0)

    def address(self, a: int, b: int) -> str:
        """Where process a finds process b."""
        return f"127.0.0.1:{self._servers[a, b].sockets[0].getsockname()[1]}"

    async def _forward_connection(
        self, a: int, b: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = None
        other: asyncio.StreamWriter | None = None
        try:
            reply_reader, other = await asyncio.open_connection("127.0.0.1", self._target_ports[b])
            await asyncio.gather(
                self._forward(self.directions[a, b], reader, other),
                self._forward(self.directions[b, a], reply_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.pop(task, None)
            for each in (writer, other):
                if each is not None:
                    each.close()

    async def _forward(
        self, direction: LinkDirection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        forwarded = 0
        while data := await reader.read(65536):
            if direction.delay:
                await asyncio.sleep(direction.delay)
            if direction.cut:
                continue
            forwarded += len(data)
            if direction.break_after is not None and forwarded > direction.break_after:
                writer.write(data[: -(forwarded - direction.break_after)])
                raise OSError("broken in the middle")
            writer.write(data)
            await writer.drain()
        if not direction.cut:
            with contextlib.suppress(OSError):
                writer.write_eof()

    def cut(self, side: Iterable[int], other: Iterable[int], one_way: bool = False) -> None:
        """Cuts the directions from each process of `side` to each of `other`, and back unless `one_way`."""
        targets = list(other)
        for a in side:
            for b in targets:
                if a != b:
                    self.directions[a, b].cut = True
                    self.directions[b, a].cut = self.directions[b, a].cut or not one_way

    def heal(self) -> None:
        """Removes all faults."""
        for direction in self.directions.values():
            direction.cut, direction.delay, direction.break_after = False, 0.0, None

    async def close(self) -> None:
        """Stops the proxies and closes their connections."""
        for server in self._servers.values():
            server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
