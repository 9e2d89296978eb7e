"""From the change of a configuration file to its being in force, over real relay processes; what a change of
any other field costs, which today is a restart of all relays; and what the reading itself costs, by tenants.

Waiting times are asked here, since a deadline in seconds is: they are taken from the relays' own log, in Unix
time, and each note says how busy the machine was. Nothing carries a file to the relays today: this program's
own hand writes each file and sends each signal, on one machine, so that no network is in these times.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import time
from collections import Counter
from pathlib import Path
from random import Random
from statistics import median
from tempfile import TemporaryDirectory
from typing import Any

import structlog

from benchmarks.slopes.moving import Fleet, Node, fleet, until
from benchmarks.slopes.series import Series, processor_us
from lanelead.postgres_relay.config import load
from lanelead.postgres_relay.service import Service
from tests.postgres_platform import SETTINGS, STAGE

SUBJECT = "configuration"
ROUNDS = 3  # changes of each kind at each size; the middle one is kept
AWAY = 5.0  # seconds that a zone is cut off from files and signals
WAVE = 0.1  # of all relays, that restart at once
WATCHED = 8  # relays whose clients are watched while all restart
ASKS = 0.05  # seconds between the requests of a watched relay's client
EACH = 25 << 20  # bytes of memory that a relay has for itself
SPARE = 6 << 30  # bytes of the machine's memory that stay free


def free() -> int:
    """Bytes of memory that the machine could still give."""
    rows = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    return int(rows["MemAvailable"].split()[0]) << 10


async def guard(work: asyncio.Task[None]) -> None:
    """Ends the work, and with it its processes, before the machine runs out of memory for others."""
    while not work.done():
        if free() < SPARE // 2:
            work.cancel()
            return
        await asyncio.sleep(0.5)


class Found:
    """Points of each series, by size."""

    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}
        self.busy: list[float] = []

    def add(self, name: str, size: float, value: float) -> None:
        self.points.setdefault(name, []).append((float(size), value))
        self.busy.append(os.getloadavg()[0])

    def series(self, name: str, unit: str, by: str, note: str) -> list[Series]:
        if name not in self.points:
            return []
        return [Series(SUBJECT, name, unit, by, sorted(self.points[name]), note + self.load())]

    def load(self) -> str:
        return f"; the machine's load was {min(self.busy):.0f} to {max(self.busy):.0f} on {os.cpu_count()} cores"


# A change of the two fields that SIGHUP takes


async def move(place: Fleet, restarting: list[Node], cut: list[Node], rng: Random) -> dict[str, Any]:
    """Discovery and the desk move. Seconds from the change until each relay has heard of both new ones, by
    kind of relay; those cut off from their return; and how many the signal itself ended, as it came before
    the process had set its handlers."""
    place.at = 1 - place.at
    where, killed, back = place.discovery(), 0, 0.0
    steady = [node for node in place.nodes if node not in cut and node not in restarting]

    async def restart(node: Node, wait: float) -> None:
        nonlocal killed
        await asyncio.sleep(wait)
        node.signal(signal.SIGTERM)
        await node.ended()
        while True:  # as a supervisor would
            await node.start()
            listening = asyncio.ensure_future(until(lambda: node.said_first("listening"), 30))
            over = asyncio.ensure_future(node.ended())
            await asyncio.wait((listening, over), return_when=asyncio.FIRST_COMPLETED)
            done = not over.done()
            for task in (listening, over):
                task.cancel()
            await asyncio.gather(listening, over, return_exceptions=True)
            if done:
                return
            killed += 1

    restarts = [asyncio.create_task(restart(node, rng.uniform(0, 1.5))) for node in restarting]
    await asyncio.sleep(1.5 if restarting else 0)
    load_at, began = os.getloadavg()[0], time.time()
    for node in place.nodes:
        if node not in cut:
            node.write()
            node.signal(signal.SIGHUP)
    carried = time.time() - began
    if cut:
        await asyncio.sleep(max(0.0, began + AWAY - time.time()))
        back = time.time()
        for node in cut:
            node.write()
            node.signal(signal.SIGHUP)
    await asyncio.gather(*restarts)
    await until(lambda: all(node.in_force(where) is not None for node in place.nodes), 30, 0.1)

    def taken(nodes: list[Node], since: float) -> list[float]:
        return sorted((node.in_force(where) or 0.0) - since for node in nodes)

    return {
        "steady": taken(steady, began),
        "restarting": taken(restarting, began),
        "cut": taken(cut, back),
        "killed": killed,
        "carried": carried,
        "load": load_at,
    }


async def moves(place: Fleet, found: Found) -> None:
    many, rng = len(place.nodes), Random(37)
    quiet = [await move(place, [], [], rng) for _ in range(ROUNDS)]
    found.add("move.median", many, median(median(round_["steady"]) for round_ in quiet))
    found.add("move.last", many, median(round_["steady"][-1] for round_ in quiet))
    found.add("move.carried", many, median(round_["carried"] for round_ in quiet))
    if many < 8:
        return
    rough = []
    for turn in range(ROUNDS):
        restarting = place.nodes[turn :: round(1 / WAVE)]
        cut = [node for node in place.nodes if node.zone == turn % 4 and node not in restarting]
        rough.append(await move(place, restarting, cut, rng))
    found.add("move.rough.steady.last", many, median(round_["steady"][-1] for round_ in rough))
    found.add("move.rough.restarting.last", many, median(round_["restarting"][-1] for round_ in rough))
    found.add("move.rough.cut.last", many, median(round_["cut"][-1] for round_ in rough))
    found.add("move.rough.killed", many, sum(round_["killed"] for round_ in rough) / ROUNDS)


# A change of any other field: restarts, a tenth at a time


async def restart(node: Node, busy: bool, held: Counter[str] | None = None) -> tuple[float, float, float]:
    """Seconds from SIGTERM to the process's end, from its start to its first answer, and the processor time
    up to then. `busy`: a request is out that no unit answers; `held` counts what came of it."""
    node.write()
    waits = None
    if busy:
        client = await node.client()
        client.send(f"b{node.fleet.next()}", "file", 2950)
        waits = asyncio.create_task(client.response())
        await asyncio.sleep(0.1)
    began = time.time()
    node.signal(signal.SIGTERM)
    await node.ended()
    ended = time.time()
    if waits is not None:
        (answer,) = await asyncio.gather(waits, return_exceptions=True)
        word = answer.get("C", b"?").decode() if isinstance(answer, dict) else "reset"
        if held is not None:
            held[word] += 1
    await node.start()
    answered = await node.first_answer()
    return ended - began, answered - ended, node.processor_s()


async def one_restart(place: Fleet, found: Found) -> None:
    many = len(place.nodes)
    for busy, word in ((False, "idle"), (True, "busy")):
        rows = [await restart(place.nodes[turn % many], busy) for turn in range(ROUNDS)]
        stopped, started, spent = (median(column) for column in zip(*rows, strict=True))
        found.add(f"restart.{word}.stop", many, stopped)
        found.add(f"restart.{word}.start", many, started)
        found.add(f"restart.{word}", many, median(stop + start for stop, start, _ in rows))
        if not busy:
            found.add("restart.cpu", many, spent)


async def client_of(node: Node, over: asyncio.Event) -> Counter[str]:
    """What comes of requests sent one after another to one relay, which its clients cannot leave."""
    counts: Counter[str] = Counter()
    while not over.is_set():
        try:
            client = await node.client(0.05)
        except TimeoutError:
            counts["not connected"] += 1
            continue
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not over.is_set():
                ident, word = f"w{node.fleet.next()}", "reset"
                if client.reader.at_eof():  # between two requests: nothing was asked
                    counts["closed between"] += 1
                    break
                try:
                    answer = await client.request(ident)
                    word = "answered" if "D" in answer and "T" in answer else answer["C"].decode()
                finally:
                    counts[word] += 1
                await asyncio.sleep(ASKS)
        client.writer.close()
    return counts


async def rolling(place: Fleet, busy: bool, found: Found) -> None:
    """All relays, a tenth at a time: the next tenth once the one before has answered."""
    many, over, held = len(place.nodes), asyncio.Event(), Counter[str]()
    wave = max(1, round(many * WAVE))
    watched = [asyncio.create_task(client_of(node, over)) for node in place.nodes[:WATCHED]]
    await asyncio.sleep(0.5)
    began = time.time()
    for first in range(0, many, wave):
        await asyncio.gather(*(restart(node, busy, held) for node in place.nodes[first : first + wave]))
    word, took = "busy" if busy else "idle", time.time() - began
    found.add(f"rolling.{word}", many, took)
    found.add(f"rolling.{word}.wave", many, took / -(-many // wave))
    over.set()
    counts = sum(await asyncio.gather(*watched), Counter[str]())
    lost = counts["reset"] / len(watched)
    others = ("answered", "reset", "not connected", "closed between")
    refused = sum(times for what, times in counts.items() if what not in others)
    found.add(f"rolling.{word}.reset", many, lost)
    found.add(f"rolling.{word}.refused", many, refused / len(watched))
    if busy:
        found.add("rolling.busy.held", many, (sum(held.values()) - held["reset"]) / many)
    found.add(f"rolling.{word}.away", many, counts["not connected"] * 0.05 / len(watched))
    print(f"rolling {word}, {many} relays: {took:.1f} s, {dict(counts)}, held {dict(held)}", flush=True)


# The reading itself


def file_of(tenants: int) -> bytes:
    accounts = [{"name": f"tenant-{number:05}", "quotaPerS": 100.0, "share": 1.0} for number in range(tenants)]
    config = {
        "name": "n0",
        "listen": "127.0.0.1:9",
        "seed": "7f",
        "discovery": "127.0.0.1:9",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "platform": {"address": "127.0.0.1:9", "news": STAGE},
        "settings": {**SETTINGS, "accounts": accounts},
        "known": {"version": 1, "full": True, "servers": []},
    }
    return json.dumps(config).encode()


def reading(tenants: int, found: Found) -> None:
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(text := file_of(tenants))
        found.add("file", tenants, len(text))
        found.add("read.cpu", tenants, processor_us(lambda: load(str(path)), 3))

        async def reload() -> float:
            log = structlog.wrap_logger(structlog.testing.CapturingLogger(), processors=[])
            service = Service(load(str(path)), str(path), log)
            spent = []
            for _ in range(ROUNDS):
                began = time.process_time()
                service.reload()
                spent.append((time.process_time() - began) * 1e6)
            await service._background_tasks.cancel_all()
            return median(spent)

        found.add("reload.cpu", tenants, asyncio.run(reload()))


# All of it

NOTES = {
    "move.median": ("s", "{real}; from the first file written to both new feeds heard, the median relay"),
    "move.last": ("s", "{real}; the last relay of all"),
    "move.carried": ("s", "{real}; the part of it in which one hand writes all files and sends all signals"),
    "move.rough.steady.last": ("s", "{real}; {rough}: the last of the others"),
    "move.rough.restarting.last": ("s", "{real}; {rough}: the last of the tenth, SIGTERM up to 1.5 s before"),
    "move.rough.cut.last": ("s", "{real}; {rough}: the last of the zone, counted from its return"),
    "move.rough.killed": ("count", "{real}; {rough}: relays a change that SIGHUP ended in their start"),
    "restart.idle": ("s", "{real}, one restarts while the others run; from SIGTERM to the first answer"),
    "restart.idle.stop": ("s", "{real}; from SIGTERM to the end of the process, nothing asked"),
    "restart.idle.start": ("s", "{real}; from the start of the process to its first answer"),
    "restart.busy": ("s", "{real}; as restart.idle, with one request out that no unit answers"),
    "restart.busy.stop": ("s", "{real}; of it, up to the end of the process"),
    "restart.busy.start": ("s", "{real}; of it, from the start to the first answer"),
    "restart.cpu": ("s", "{real}; processor time of a new process up to its first answer, two units listed"),
    "rolling.idle": ("s", "{real}; all relays, a tenth at a time (one at a time under 10), played whole"),
    "rolling.idle.wave": ("s", "{real}; one tenth of it"),
    "rolling.idle.reset": ("count", "{watched}: connections that ended over a request, a relay's restart"),
    "rolling.idle.refused": ("count", "{watched}: requests refused, a relay's restart"),
    "rolling.idle.away": ("s", "{watched}: how long nobody took its connection"),
    "rolling.busy": ("s", "{real}; as rolling.idle, each relay with a request out that no unit answers"),
    "rolling.busy.wave": ("s", "{real}; one tenth of it"),
    "rolling.busy.reset": ("count", "{watched}, busy: connections that ended over a request"),
    "rolling.busy.refused": ("count", "{watched}, busy: requests refused"),
    "rolling.busy.held": (
        "share",
        "{real}: of the requests that no unit answers, those that got a final answer",
    ),
    "rolling.busy.away": ("s", "{watched}, busy: how long nobody took its connection"),
    "file": ("B", "of one relay's file, without its list of units; three numbers a tenant"),
    "read.cpu": ("us", "read and checked, in process: `load`"),
    "reload.cpu": ("us", "the whole of SIGHUP's handler, in which the relay does nothing else"),
}
SAID = {
    "{real}": "real processes on one machine, over loopback; the hand that carries files is this program's",
    "{rough}": "a tenth restarts and a quarter (a zone) gets nothing for 5 s",
    "{watched}": "real processes, the mean of up to 8 relays, one client each, asking 20 times a second",
}


async def play(many: int, found: Found) -> None:
    async with fleet(many) as place:
        await moves(place, found)
        await one_restart(place, found)
        await rolling(place, False, found)
        await rolling(place, True, found)


async def guarded(many: int, found: Found) -> None:
    work = asyncio.create_task(play(many, found))
    watch = asyncio.create_task(guard(work))
    await work
    await watch


def measure(small: bool) -> list[Series]:
    found, missed = Found(), ""
    for tenants in (100, 4900) if small else (100, 4900, 49_000):
        reading(tenants, found)
    for many in (1, 8) if small else (1, 8, 40, 200):
        if many == 200 and free() < SPARE + many * EACH:
            many, missed = 100, "; 200 relays not reached: memory"
        asyncio.run(guarded(many, found))
        print(f"configuration: {many} relays done, load {os.getloadavg()[0]:.1f}", flush=True)
    series = []
    for name, (unit, note) in NOTES.items():
        for mark, text in SAID.items():
            note = note.replace(mark, text)
        tenants_by = name in ("file", "read.cpu", "reload.cpu")
        series += found.series(name, unit, *(("tenants", note) if tenants_by else ("relays", note + missed)))
    return series
