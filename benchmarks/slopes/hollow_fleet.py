"""Units, discoveries and a desk in one process on loopback, that answer at once; a sink for letters.

    python -m benchmarks.slopes.hollow_fleet 26 780      # one line of JSON: the ports

Each unit is an address of its own in 127/8, as `lists.endpoint` names it; the lists are the first 26 units,
and the first 780. It serves until its standard input ends.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import msgspec
import uvloop

from benchmarks.slopes.hollow_relay import NEWS
from benchmarks.slopes.lists import body, endpoint
from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.pgwire.messages import READY, STARTUP_RESPONSE, message

HOLD = 2.0  # seconds that discovery holds a watch
SPEAKS = 1.0  # and after which the desk says again where the build stands: silence would pass for a fault
VALUE = b"x" * 100
ROW = (
    message(b"T", b"\0\1doc\0" + bytes(17) + b"\1")
    + message(b"D", b"\0\1" + len(VALUE).to_bytes(4, "big") + VALUE)
    + message(b"C", b"SELECT 1\0")
    + READY
)


class Ports(msgspec.Struct):
    units: int
    desk: int
    sink: int
    discoveries: dict[int, int]  # by the size of its list


class Unit(asyncio.Protocol):
    """One connection: a welcome, then a row to each query, at once."""

    def __init__(self) -> None:
        self._rest, self._started = b"", False
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        data, out = self._rest + data, b""
        while True:
            head = 1 if self._started else 0
            size = head + int.from_bytes(data[head : head + 4], "big") if len(data) >= head + 4 else 0
            if not size or len(data) < size:
                break
            out += ROW if self._started else STARTUP_RESPONSE
            self._started, data = True, data[size:]
        self._rest = data
        if out:
            self._transport.write(out)


class Desk(asyncio.Protocol):
    """Tells whoever watches where the build stands, once a second; takes each vote."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport
        self._rest = b""

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            call = msgspec.json.decode(line)
            watch = call["method"] == "Events.Watch"
            answer: dict[str, Any] = {"jsonrpc": "2.0", "id": call["id"], "result": True if watch else NEWS}
            self._transport.write(msgspec.json.encode(answer) + b"\n")
            if watch:
                self._tell()

    def _tell(self) -> None:
        if not self._transport.is_closing():
            told = {"jsonrpc": "2.0", "method": "stage", "params": NEWS}
            self._transport.write(msgspec.json.encode(told) + b"\n")
            asyncio.get_running_loop().call_later(SPEAKS, self._tell)


def discovery(size: int, port: int) -> Any:
    whole = serialization.response(
        200, (), body(1, True, [endpoint(place, port=port) for place in range(size)]), keep=False
    )
    nothing = serialization.response(200, (), body(1, False, []), keep=False)

    def say(caller: ServerConnection, text: bytes) -> None:
        caller.write(text)
        caller.close()

    def heard(caller: ServerConnection, ask: HttpRequest) -> None:
        if b"from=" in ask.target:
            asyncio.get_running_loop().call_later(HOLD, say, caller, nothing)
        else:
            say(caller, whole)

    return lambda: ServerConnection(heard)


async def serve(sizes: list[int]) -> None:
    loop = asyncio.get_running_loop()
    hosts = [endpoint(place).address.partition(":")[0] for place in range(max(sizes))]
    first = await loop.create_server(Unit, hosts[0], 0, backlog=1024)
    port = first.sockets[0].getsockname()[1]
    kept: list[Any] = [first]
    for host in hosts[1:]:
        kept.append(await loop.create_server(Unit, host, port, backlog=256))
    desk = await loop.create_server(Desk, "127.0.0.1", 0)
    sink, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
    ports = Ports(port, desk.sockets[0].getsockname()[1], sink.get_extra_info("sockname")[1], {})
    for size in sizes:
        server = await loop.create_server(discovery(size, port), "127.0.0.1", 0)
        kept.append(server)
        ports.discoveries[size] = server.sockets[0].getsockname()[1]
    sys.stdout.write(msgspec.json.encode(ports).decode() + "\n")
    sys.stdout.flush()
    over = asyncio.Event()
    loop.add_reader(sys.stdin.fileno(), over.set)
    await over.wait()


if __name__ == "__main__":
    uvloop.run(serve([int(word) for word in sys.argv[1:]]))
