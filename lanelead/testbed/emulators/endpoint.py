"""An emulated endpoint: cores, a bounded queue, slow start, idempotency keys, recorded effects, and injected faults.

It does no real work: a request occupies a core for as long as its work would take at the endpoint's current speed. It
takes orders as JSON lines on its standard input, so that its sockets carry what a real endpoint's would.

Slow start: the speed rises linearly from the share `cold_share` of the full speed to all of it over `cold` seconds. An
endpoint that is warming up and gets more than `fall_multiple` times the work it can do over `fall_time` seconds becomes
overloaded ("fallen"); service_model has the exact limit. From then on it drops new requests, does not read from new
connections and sends no results; it still rejects queued requests whose deadline has passed.

Orders are JSON objects: {"do": "fault", "kind": ..., "size": ...} starts a fault, {"do": "mend", "kind": ...} ends it,
"drain" sets whether new requests are rejected, "shared" sets the slowdown by other builds, and "end" ends the process.
Kinds of faults, besides those of service_model; only drop_idle makes sure that the peer gets RST:

 refuse           stops listening, and closes all connections at once
 few_connections  closes new connections while there are `size` already (at least 1), instead of the usual limit
 deaf             stops reading from all connections; its end resumes reading from all
 mute             drops new requests and load probes, and sends no results
 drop_idle        sends RST on all connections, busy ones included, once
 idle_reap        ignores requests on a connection that was idle for more than `size` seconds, also after the fault;
                  load probes neither count as activity nor are ignored
 cut              closes the connection when a request arrives, for a share `size` of the requests
 cut_answer       sends an incomplete response and closes the connection, for a share `size` of the requests
 garbage          responds with malformed HTTP, for a share `size` of the requests
 trickle          sends the response 8 bytes at a time, every 20 ms, for a share `size` of the requests
 false_reports    reports the load of an idle endpoint, from the next report interval on
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import socket
import struct
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from lanelead.http import serialization
from lanelead.http.client import CallFailedError, call
from lanelead.http.requests import HttpRequest
from lanelead.http.server import ServerConnection
from lanelead.protocols.migrations import SchemaCheck
from lanelead.settings.service_settings import Address
from lanelead.testbed.emulators.event_recording import EventRecorder, clock
from lanelead.testbed.emulators.service_model import EndpointOptions, ServiceModel


class PendingRequest:
    """A request that the endpoint has received and not answered yet."""

    __slots__ = ("connection", "due", "ident", "key", "lane", "op", "relay", "request", "work")

    def __init__(self, connection: ServerConnection, request: HttpRequest) -> None:
        def text(name: bytes, default: str = "") -> str:
            raw = request.header(name)
            return default if raw is None else raw.decode("latin-1")

        self.connection, self.request = connection, request
        self.ident, self.op = text(b"x-request-id"), text(b"day-op")
        self.lane, self.relay = text(b"lanelead-lane"), int(text(b"lanelead-relay", "-1"))
        self.key = text(b"idempotency-key")
        self.work = float(text(b"day-work", "0.02"))
        self.due = clock() + float(text(b"lanelead-left", "60000")) / 1000


class EmulatedEndpoint(ServiceModel):
    """The service model behind an HTTP server."""

    def __init__(self, life: EndpointOptions) -> None:
        super().__init__(life, clock)
        self._loop = asyncio.get_running_loop()
        self._tap = EventRecorder(Path(life.folder), f"unit-{life.name}")
        self._waiting = deque[PendingRequest]()
        self._connections: dict[ServerConnection, None] = {}
        self._last_report: tuple[float, bytes] = (-1.0, b"{}")
        self._server: asyncio.Server | None = None
        self.draining = False
        self.ended = asyncio.Event()
        self._store_writes = set[asyncio.Task[None]]()

    async def open(self) -> int:
        """Starts listening; returns the port."""
        life = self.life
        self._server = await self._loop.create_server(
            lambda: ServerConnection(self._request_received, self._connection_made),
            "127.0.0.1",
            life.port,
            backlog=512,
            reuse_address=True,
        )
        port = int(self._server.sockets[0].getsockname()[1])
        self._tap.note(
            "up",
            unit=life.name,
            build=life.build.number,
            zone=life.zone,
            cell=life.cell,
            port=port,
            cores=life.cores,
            cold_share=life.cold_share,
            cold=life.cold,
            speed=life.speed * life.build.speed,
        )
        return port

    # Connections

    def _connection_made(self, connection: ServerConnection) -> None:
        limit = self._faults.get("few_connections", {}).get("size", self.life.connections)
        if len(self._connections) >= max(1, int(limit)):
            connection.reset()
            return
        self._connections[connection] = None
        connection.close_callbacks.append(lambda: self._connections.pop(connection, None))
        if "deaf" in self._faults or self.fallen:
            connection.transport.pause_reading()  # type: ignore[union-attr]

    def _request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        if request.target == b"/.lanelead/load":
            self._serve_load_report(connection)
            return
        if self.fallen:
            return  # overloaded: requests on connections from before the overload are read and dropped
        idle_limit = self._faults.get("idle_reap")
        now, last = clock(), connection.last_request_at
        connection.last_request_at = now
        if connection.unresponsive or (idle_limit is not None and last and now - last > idle_limit["size"]):
            connection.unresponsive = True  # as if dropped without notice while idle: requests on it are lost
            return
        job = PendingRequest(connection, request)
        warmth = self._slow_start_share()
        self._tap.note(
            "trip",
            id=job.ident,
            op=job.op,
            lane=job.lane,
            relay=job.relay,
            key=job.key,
            work=job.work,
            build=self.life.build.number,
            warmth=round(warmth, 4),
        )
        self._check_overload(job, warmth)
        if self.fallen or "mute" in self._faults:
            return
        if self.draining or len(self._waiting) >= self.life.waiting_room:
            self._reject(job)
        elif self._fault_occurs("cut"):
            # Half of these requests have their effect before the connection is closed; none occupies a core.
            if self._rng.random() < 0.5:
                self._apply_effect(job)
            connection.reset()
        elif self._busy < self.life.cores:
            self._start_work(job)
        else:
            self._waiting.append(job)

    def fell(self, work: float, warmth: float) -> None:
        """Records that this endpoint has become overloaded."""
        self._tap.note("fell", work=work, warmth=round(warmth, 4))

    # Work

    def _reject(self, job: PendingRequest) -> None:
        self._tap.note("turned_away", id=job.ident, op=job.op)
        fields = [(b"lanelead-turned-away", b"1"), *self._load_header()]
        job.connection.write(serialization.response(503, fields, b"turned away\n"))

    def _start_work(self, job: PendingRequest) -> None:
        if clock() > job.due:  # the deadline has passed: no work is started
            self._tap.note("expired", id=job.ident, op=job.op)
            job.connection.write(serialization.response(503, [(b"lanelead-turned-away", b"1")], b"too late\n"))
            return
        self._busy += 1
        self._loop.call_later(job.work / max(1e-3, self._current_speed(job)), self._work_done, job)

    def _work_done(self, job: PendingRequest) -> None:
        if self.life.store and job.request.method not in ("GET", "HEAD"):
            task = self._loop.create_task(self._write_to_store(job))
            self._store_writes.add(task)
            task.add_done_callback(self._store_writes.discard)
        else:
            self._request_done(job, True)

    async def _write_to_store(self, job: PendingRequest) -> None:
        """Has the migration store carry out the build's write on the current schema.

        If the store rejects the write or can't be asked, the endpoint answers 500. The store records whether the write
        fitted the schema, so that the verifier sees a request that a relay sent to a build that does not.
        """
        address, succeeded = Address("127.0.0.1", self.life.store), False
        body = msgspec.json.encode(SchemaCheck(self.life.build.number, job.op, self.life.write))
        try:
            response = await call(self._loop, address, "POST", b"/file", body, 2.0)
            succeeded = response.status == 200
        except (CallFailedError, TimeoutError):
            self._tap.note("unfiled", id=job.ident, op=job.op)
        self._request_done(job, succeeded)

    def _request_done(self, job: PendingRequest, succeeded: bool) -> None:
        self._busy -= 1
        if not self.fallen and "mute" not in self._faults:
            if succeeded:
                self._respond(job)
            else:
                self._tap.note("erred", id=job.ident, op=job.op)
                job.connection.write(serialization.response(500, self._load_header(), b"not filed\n"))
        while self._waiting and self._busy < self.life.cores:
            self._start_work(self._waiting.popleft())

    def _apply_effect(self, job: PendingRequest) -> bytes | None:
        """Records the request's effect, unless it repeats one; returns the response body for a repeat, None otherwise.

        A request repeats another if its class remembers idempotency keys, and its key is claimed and remembered.
        """
        if job.key and job.lane in self.life.memory and not self._claim_key(job):
            self._tap.note("repeat", id=job.ident, op=job.op, key=job.key)
            return b"again\n"
        self._tap.note("effect", id=job.ident, op=job.op, lane=job.lane, key=job.key, cell=self.life.cell)
        return None

    def _claim_key(self, job: PendingRequest) -> bool:
        """Claims the idempotency key; false if it is claimed and remembered, by any endpoint that shares the folder."""
        folder = self.life.receipts[job.lane]
        name = os.path.join(folder, hashlib.sha256(job.key.encode()).hexdigest()[:32])
        try:
            os.close(os.open(name, os.O_CREAT | os.O_EXCL | os.O_WRONLY))
        except FileExistsError:
            if time.time() - os.stat(name).st_mtime <= self.life.memory[job.lane]:
                return False
            os.utime(name)
        return True

    def _respond(self, job: PendingRequest) -> None:
        connection, build = job.connection, self.life.build
        fields: list[tuple[bytes, bytes]] = [(b"content-type", b"text/plain"), *self._load_header()]
        fields.append((b"lanelead-answered-by", b"%s" % self.life.name.encode()))
        if b"day-bad" in dict(job.request.headers) or self._answers_with_error(job):
            if self._rng.random() < 0.5:  # half of the errors occur after the effect
                self._apply_effect(job)
            self._tap.note("erred", id=job.ident, op=job.op)
            connection.write(serialization.response(500, fields, b"error\n"))
            return
        repeat_body = self._apply_effect(job)
        if self._fault_occurs("cut_answer"):
            connection.write(serialization.response(200, fields, b"x" * 400)[:-200])
            connection.close()
            return
        if "garbage" in self._faults and self._fault_occurs("garbage"):
            connection.write(b"HTP/1.1 200 what\r\n\x00\x01\r\n\r\n")
            connection.close()
            return
        body = repeat_body or b"answer to %s\n" % job.ident.encode("latin-1")
        if build.bad == "wrong" and self._rng.random() < build.strength:
            fields.append((b"day-wrong", b"1"))
        text = serialization.response(200, fields, body, head=job.request.method == "HEAD", length=b"%d" % len(body))
        if self._fault_occurs("trickle"):
            self._trickle(connection, text, 0)
        else:
            connection.write(text)

    def _trickle(self, connection: ServerConnection, text: bytes, at: int) -> None:
        if at < len(text) and connection.transport is not None:
            connection.write(text[at : at + 8])
            self._loop.call_later(0.02, self._trickle, connection, text, at + 8)

    # Reports

    def _load_report(self) -> bytes:
        now = clock()
        # Refreshed once a report interval, as by real endpoints.
        if now - self._last_report[0] >= self.life.report:
            waiting, busy = len(self._waiting), self._busy
            if "false_reports" in self._faults:
                waiting, busy = 0, 0
            self._last_report = now, msgspec.json.encode({"waiting": float(waiting), "cpu": busy / self.life.cores})
        return self._last_report[1]

    def _load_header(self) -> list[tuple[bytes, bytes]]:
        return [(b"lanelead-load", self._load_report())]

    def _serve_load_report(self, connection: ServerConnection) -> None:
        if self.fallen or "mute" in self._faults:
            return
        body = self._load_report()
        connection.write(serialization.response(200, [(b"content-type", b"application/json")], body))

    # Faults

    async def apply_order(self, order: dict[str, Any]) -> None:
        """Carries out an order (see the module's head)."""
        action = order["do"]
        self._tap.note("order", **{key: value for key, value in order.items() if key != "ev"})
        if action == "fault":
            self._faults[order["kind"]] = order
            if order["kind"] == "deaf":
                for connection in list(self._connections):
                    if connection.transport is not None:
                        connection.transport.pause_reading()
            elif order["kind"] == "drop_idle":
                for connection in list(self._connections):
                    _send_reset(connection)
            elif order["kind"] == "refuse" and self._server is not None:
                self._server.close()
                for connection in list(self._connections):
                    connection.reset()
        elif action == "mend":
            self._faults.pop(order["kind"], None)
            if order["kind"] == "deaf":
                for connection in list(self._connections):
                    if connection.transport is not None:
                        connection.transport.resume_reading()
            elif order["kind"] == "refuse":
                self._server = await self._loop.create_server(
                    lambda: ServerConnection(self._request_received, self._connection_made),
                    "127.0.0.1",
                    self.life.port,
                    reuse_address=True,
                )
        elif action == "drain":
            self.draining = order.get("on", True)
        elif action == "shared":
            self.shared = order["size"]
        elif action == "end":
            self._tap.note("down")
            self.ended.set()


def _send_reset(connection: ServerConnection) -> None:
    """Ends a connection with RST. The peer sees a reset at once, or at its next write at the latest."""
    if connection.transport is not None:
        sock = connection.transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):  # SO_LINGER of 0: RST instead of FIN
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.reset()


async def _run(life: EndpointOptions) -> None:
    endpoint, loop = EmulatedEndpoint(life), asyncio.get_running_loop()
    port = await endpoint.open()
    sys.stdout.write(f"ready {port}\n")
    sys.stdout.flush()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def orders() -> None:
        while line := await reader.readline():
            await endpoint.apply_order(json.loads(line))
        endpoint.ended.set()  # end of input: the scenario has ended or its process has died

    task = loop.create_task(orders())
    await endpoint.ended.wait()
    task.cancel()


def main() -> None:
    """Runs an endpoint with the options in the first argument (JSON)."""
    life = msgspec.json.decode(sys.argv[1], type=EndpointOptions)
    uvloop.run(_run(life))


if __name__ == "__main__":
    main()
