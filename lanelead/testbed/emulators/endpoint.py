"""A unit: cores, a waiting room, work by lane, a cold start, receipts, a log of effects, and faults on
demand.

It does no work: a lookup holds a core for as long as the work would take at the unit's present pace. It is
told what to do by lines on its standard input, so that its sockets carry what a real unit's would.

Cold starts: pace rises evenly from the cold share to the full over the cold time. A cold unit that is sent
more than the stated multiple of what it can do, for the stated time, falls over and stays down (WIRE, rule
4).
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
from lanelead.testbed.emulators.event_recording import Tap, clock
from lanelead.testbed.emulators.service_model import Engine, Life


class Job:
    __slots__ = ("ask", "caller", "due", "ident", "key", "lane", "op", "relay", "work")

    def __init__(self, caller: ServerConnection, ask: HttpRequest) -> None:
        def text(name: bytes, absent: str = "") -> str:
            raw = ask.header(name)
            return absent if raw is None else raw.decode("latin-1")

        self.caller, self.ask = caller, ask
        self.ident, self.op = text(b"x-request-id"), text(b"day-op")
        self.lane, self.relay = text(b"lanelead-lane"), int(text(b"lanelead-relay", "-1"))
        self.key = text(b"idempotency-key")
        self.work = float(text(b"day-work", "0.02"))
        self.due = clock() + float(text(b"lanelead-left", "60000")) / 1000


class Unit(Engine):
    def __init__(self, life: Life) -> None:
        super().__init__(life, clock)
        self._loop = asyncio.get_running_loop()
        self._tap = Tap(Path(life.folder), f"unit-{life.name}")
        self._waiting = deque[Job]()
        self._callers: dict[ServerConnection, None] = {}
        self._load: tuple[float, bytes] = (-1.0, b"{}")
        self._server: asyncio.Server | None = None
        self.draining = False
        self.over = asyncio.Event()
        self._filing = set[asyncio.Task[None]]()

    async def open(self) -> int:
        life = self.life
        self._server = await self._loop.create_server(
            lambda: ServerConnection(self._heard, self._met), "127.0.0.1", life.port, backlog=512, reuse_address=True
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

    def _met(self, caller: ServerConnection) -> None:
        limit = self._faults.get("few_connections", {}).get("size", self.life.connections)
        if len(self._callers) >= max(1, int(limit)):
            caller.reset()
            return
        self._callers[caller] = None
        caller.close_callbacks.append(lambda: self._callers.pop(caller, None))
        if "deaf" in self._faults or self.fallen:
            caller.transport.pause_reading()  # type: ignore[union-attr]

    def _heard(self, caller: ServerConnection, ask: HttpRequest) -> None:
        if ask.target == b"/.lanelead/load":
            self._probed(caller)
            return
        if self.fallen:
            return  # it reads, and never answers
        reap = self._faults.get("idle_reap")
        now, last = clock(), caller.last_request_at
        caller.last_request_at = now
        if caller.unresponsive or (reap is not None and last and now - last > reap["size"]):
            caller.unresponsive = True  # dropped unseen while it was idle: whatever comes on it is lost
            return
        job = Job(caller, ask)
        warmth = self._warmth()
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
        self._weigh(job, warmth)
        if self.fallen or "mute" in self._faults:
            return
        if self.draining or len(self._waiting) >= self.life.waiting_room:
            self._turn_away(job)
        elif self._hit("cut"):
            # The body came, and then the connection goes: half of the time the work had been done.
            if self._rng.random() < 0.5:
                self._effect(job)
            caller.reset()
        elif self._busy < self.life.cores:
            self._begin(job)
        else:
            self._waiting.append(job)

    def fell(self, work: float, warmth: float) -> None:
        self._tap.note("fell", work=work, warmth=round(warmth, 4))

    # Work

    def _turn_away(self, job: Job) -> None:
        self._tap.note("turned_away", id=job.ident, op=job.op)
        fields = [(b"lanelead-turned-away", b"1"), *self._gauge()]
        job.caller.write(serialization.response(503, fields, b"turned away\n"))

    def _begin(self, job: Job) -> None:
        if clock() > job.due:  # nobody waits any more: it is not begun
            self._tap.note("expired", id=job.ident, op=job.op)
            job.caller.write(serialization.response(503, [(b"lanelead-turned-away", b"1")], b"too late\n"))
            return
        self._busy += 1
        self._loop.call_later(job.work / max(1e-3, self._pace(job)), self._end, job)

    def _end(self, job: Job) -> None:
        if self.life.store and job.ask.method not in ("GET", "HEAD"):
            task = self._loop.create_task(self._file(job))
            self._filing.add(task)
            task.add_done_callback(self._filing.discard)
        else:
            self._ended(job, True)

    async def _file(self, job: Job) -> None:
        """Files a lookup where the schema is. What does not fit is an error: the client learns that, and the
        capture that a relay sent it here."""
        address, fits = Address("127.0.0.1", self.life.store), False
        body = msgspec.json.encode(SchemaCheck(self.life.build.number, job.op, self.life.write))
        try:
            answer = await call(self._loop, address, "POST", b"/file", body, 2.0)
            fits = answer.status == 200
        except (CallFailedError, TimeoutError):
            self._tap.note("unfiled", id=job.ident, op=job.op)
        self._ended(job, fits)

    def _ended(self, job: Job, fits: bool) -> None:
        self._busy -= 1
        if not self.fallen and "mute" not in self._faults:
            if fits:
                self._answer(job)
            else:
                self._tap.note("erred", id=job.ident, op=job.op)
                job.caller.write(serialization.response(500, self._gauge(), b"not filed\n"))
        while self._waiting and self._busy < self.life.cores:
            self._begin(self._waiting.popleft())

    def _effect(self, job: Job) -> bytes | None:
        """Does what the lookup is for, once for a receipt; gives the answer to a repeat, where it is one."""
        if job.key and job.lane in self.life.memory and not self._receipt(job):
            self._tap.note("repeat", id=job.ident, op=job.op, key=job.key)
            return b"again\n"
        self._tap.note("effect", id=job.ident, op=job.op, lane=job.lane, key=job.key, cell=self.life.cell)
        return None

    def _receipt(self, job: Job) -> bool:
        """Takes the receipt; false where a unit of the group has it and still remembers."""
        folder = self.life.receipts[job.lane]
        name = os.path.join(folder, hashlib.sha256(job.key.encode()).hexdigest()[:32])
        try:
            os.close(os.open(name, os.O_CREAT | os.O_EXCL | os.O_WRONLY))
        except FileExistsError:
            if time.time() - os.stat(name).st_mtime <= self.life.memory[job.lane]:
                return False
            os.utime(name)
        return True

    def _answer(self, job: Job) -> None:
        caller, build = job.caller, self.life.build
        fields: list[tuple[bytes, bytes]] = [(b"content-type", b"text/plain"), *self._gauge()]
        fields.append((b"lanelead-answered-by", b"%s" % self.life.name.encode()))
        if b"day-bad" in dict(job.ask.headers) or self._errs(job):
            if self._rng.random() < 0.5:
                self._effect(job)
            self._tap.note("erred", id=job.ident, op=job.op)
            caller.write(serialization.response(500, fields, b"error\n"))
            return
        earlier = self._effect(job)
        if self._hit("cut_answer"):
            caller.write(serialization.response(200, fields, b"x" * 400)[:-200])
            caller.close()
            return
        if "garbage" in self._faults and self._hit("garbage"):
            caller.write(b"HTP/1.1 200 what\r\n\x00\x01\r\n\r\n")
            caller.close()
            return
        body = earlier or b"answer to %s\n" % job.ident.encode("latin-1")
        if build.bad == "wrong" and self._rng.random() < build.strength:
            fields.append((b"day-wrong", b"1"))
        text = serialization.response(200, fields, body, head=job.ask.method == "HEAD", length=b"%d" % len(body))
        if self._hit("trickle"):
            self._trickle(caller, text, 0)
        else:
            caller.write(text)

    def _trickle(self, caller: ServerConnection, text: bytes, at: int) -> None:
        if at < len(text) and caller.transport is not None:
            caller.write(text[at : at + 8])
            self._loop.call_later(0.02, self._trickle, caller, text, at + 8)

    # Reports

    def _figures(self) -> bytes:
        now = clock()
        if now - self._load[0] >= self.life.report:  # refreshed now and then, as real ones are
            waiting, busy = len(self._waiting), self._busy
            if "false_reports" in self._faults:
                waiting, busy = 0, 0
            self._load = now, msgspec.json.encode({"waiting": float(waiting), "cpu": busy / self.life.cores})
        return self._load[1]

    def _gauge(self) -> list[tuple[bytes, bytes]]:
        return [(b"lanelead-load", self._figures())]

    def _probed(self, caller: ServerConnection) -> None:
        if self.fallen or "mute" in self._faults:
            return
        body = self._figures()
        caller.write(serialization.response(200, [(b"content-type", b"application/json")], body))

    # What the day does to it

    async def obey(self, order: dict[str, Any]) -> None:
        what = order["do"]
        self._tap.note("order", **{key: value for key, value in order.items() if key != "ev"})
        if what == "fault":
            self._faults[order["kind"]] = order
            if order["kind"] == "deaf":
                for caller in list(self._callers):
                    if caller.transport is not None:
                        caller.transport.pause_reading()
            elif order["kind"] == "drop_idle":
                for caller in list(self._callers):
                    _forget(caller)
            elif order["kind"] == "refuse" and self._server is not None:
                self._server.close()
                for caller in list(self._callers):
                    caller.reset()
        elif what == "mend":
            self._faults.pop(order["kind"], None)
            if order["kind"] == "deaf":
                for caller in list(self._callers):
                    if caller.transport is not None:
                        caller.transport.resume_reading()
            elif order["kind"] == "refuse":
                self._server = await self._loop.create_server(
                    lambda: ServerConnection(self._heard, self._met), "127.0.0.1", self.life.port, reuse_address=True
                )
        elif what == "drain":
            self.draining = order.get("on", True)
        elif what == "shared":
            self.shared = order["size"]
        elif what == "end":
            self._tap.note("down")
            self.over.set()


def _forget(caller: ServerConnection) -> None:
    """Drops a connection so that the other end sees a reset only when it next writes, or sooner."""
    if caller.transport is not None:
        sock = caller.transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):  # SO_LINGER of 0: a reset, not a close
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        caller.reset()


async def _run(life: Life) -> None:
    unit, loop = Unit(life), asyncio.get_running_loop()
    port = await unit.open()
    sys.stdout.write(f"ready {port}\n")
    sys.stdout.flush()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    async def orders() -> None:
        while line := await reader.readline():
            await unit.obey(json.loads(line))
        unit.over.set()  # the day is over, or has died

    task = loop.create_task(orders())
    await unit.over.wait()
    task.cancel()


def main() -> None:
    life = msgspec.json.decode(sys.argv[1], type=Life)
    uvloop.run(_run(life))


if __name__ == "__main__":
    main()
