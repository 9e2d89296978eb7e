"""Serves stand-ins on loopback in one process, which answer at once: endpoints, discovery, platform, a gossip sink.

    python -m benchmarks.slopes.hollow_fleet 26 780      # one line of JSON: the ports

Each endpoint has its own address in 127/8, as `lists.endpoint` names it; one endpoint list has the first 26
endpoints, one the first 780. The process serves until its standard input is closed.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import msgspec
import uvloop

from benchmarks.slopes.hollow_relay import ROLLOUT_STATE
from benchmarks.slopes.lists import endpoint, list_body
from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.pgwire.messages import READY, STARTUP_RESPONSE, message

WATCH_HOLD_SECONDS = 2.0  # seconds after which discovery answers a watch without changes
STAGE_INTERVAL = 1.0  # seconds between rollout states: a relay takes silence for a fault
VALUE = b"x" * 100
ROW = (
    message(b"T", b"\0\1doc\0" + bytes(17) + b"\1")
    + message(b"D", b"\0\1" + len(VALUE).to_bytes(4, "big") + VALUE)
    + message(b"C", b"SELECT 1\0")
    + READY
)


class Ports(msgspec.Struct):
    """The ports of the stand-ins, written to standard output as JSON."""

    units: int
    desk: int
    sink: int
    discoveries: dict[int, int]  # by size of the endpoint list


class EndpointConnection(asyncio.Protocol):
    """One connection of a relay to an endpoint: a greeting, then a row for each query, at once."""

    def __init__(self) -> None:
        self._buffered, self._started = b"", False
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        data, out = self._buffered + data, b""
        while True:
            head = 1 if self._started else 0
            size = head + int.from_bytes(data[head : head + 4], "big") if len(data) >= head + 4 else 0
            if not size or len(data) < size:
                break
            out += ROW if self._started else STARTUP_RESPONSE
            self._started, data = True, data[size:]
        self._buffered = data
        if out:
            self._transport.write(out)


class PlatformConnection(asyncio.Protocol):
    """A relay's connection to the platform: sends the rollout state once a second and accepts each vote."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport
        self._buffered = b""

    def data_received(self, data: bytes) -> None:
        *lines, self._buffered = (self._buffered + data).split(b"\n")
        for line in lines:
            call = msgspec.json.decode(line)
            watch = call["method"] == "Events.Watch"
            answer: dict[str, Any] = {"jsonrpc": "2.0", "id": call["id"], "result": True if watch else ROLLOUT_STATE}
            self._transport.write(msgspec.json.encode(answer) + b"\n")
            if watch:
                self._send_stage()

    def _send_stage(self) -> None:
        if not self._transport.is_closing():
            notification = {"jsonrpc": "2.0", "method": "stage", "params": ROLLOUT_STATE}
            self._transport.write(msgspec.json.encode(notification) + b"\n")
            asyncio.get_running_loop().call_later(STAGE_INTERVAL, self._send_stage)


def discovery(size: int, port: int) -> Any:
    """Creates the protocol factory of a discovery server with `size` endpoints."""
    full_list = serialization.response(
        200, (), list_body(1, True, [endpoint(place, port=port) for place in range(size)]), keep=False
    )
    no_changes = serialization.response(200, (), list_body(1, False, []), keep=False)

    def respond(caller: ServerConnection, text: bytes) -> None:
        caller.write(text)
        caller.close()

    def handle_request(caller: ServerConnection, request: HttpRequest) -> None:
        if b"from=" in request.target:
            asyncio.get_running_loop().call_later(WATCH_HOLD_SECONDS, respond, caller, no_changes)
        else:
            respond(caller, full_list)

    return lambda: ServerConnection(handle_request)


async def serve(sizes: list[int]) -> None:
    """Serves endpoint lists of these sizes until standard input is closed."""
    loop = asyncio.get_running_loop()
    hosts = [endpoint(place).address.partition(":")[0] for place in range(max(sizes))]
    first = await loop.create_server(EndpointConnection, hosts[0], 0, backlog=1024)
    port = first.sockets[0].getsockname()[1]
    servers: list[Any] = [first]
    for host in hosts[1:]:
        servers.append(await loop.create_server(EndpointConnection, host, port, backlog=256))
    desk = await loop.create_server(PlatformConnection, "127.0.0.1", 0)
    sink, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
    ports = Ports(port, desk.sockets[0].getsockname()[1], sink.get_extra_info("sockname")[1], {})
    for size in sizes:
        server = await loop.create_server(discovery(size, port), "127.0.0.1", 0)
        servers.append(server)
        ports.discoveries[size] = server.sockets[0].getsockname()[1]
    sys.stdout.write(msgspec.json.encode(ports).decode() + "\n")
    sys.stdout.flush()
    stdin_closed = asyncio.Event()
    loop.add_reader(sys.stdin.fileno(), stdin_closed.set)
    await stdin_closed.wait()


if __name__ == "__main__":
    uvloop.run(serve([int(word) for word in sys.argv[1:]]))
