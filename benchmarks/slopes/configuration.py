"""Measures, over real relay processes, the time from a change of a configuration file to its taking effect.

Also measures a change of any other field, which today takes a restart of all relays, and what reading the file costs,
by number of tenants. Times are wall-clock times, as the deadline is one: they are taken from the relays' own logs, in
Unix time, and each note says how busy the machine was. Nothing distributes files to relays today: this program writes
each file and sends each signal itself, on one machine, so these times include no network.
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

from benchmarks.slopes.moving import Fleet, Node, fleet, wait_until
from benchmarks.slopes.series import Series, processor_us
from lanelead.postgres_relay.config import load
from lanelead.postgres_relay.service import Service
from tests.postgres_platform import SETTINGS, STAGE

SUBJECT = "configuration"
ROUNDS = 3  # changes of each kind at each size; the median counts
CUT_SECONDS = 5.0  # seconds that a zone gets no files and signals
WAVE_SHARE = 0.1  # share of the relays that restart at the same time
WATCHED_RELAYS = 8  # relays with a client during rolling restarts
REQUEST_INTERVAL = 0.05  # seconds between the requests of a watched relay's client
RELAY_BYTES = 25 << 20  # memory that a relay process takes
SPARE_BYTES = 6 << 30  # memory of the machine that has to stay free


def available_bytes() -> int:
    """Memory available on the machine, bytes."""
    rows = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    return int(rows["MemAvailable"].split()[0]) << 10


async def cancel_when_low_on_memory(work: asyncio.Task[None]) -> None:
    """Cancels the work, which ends its processes, before the machine runs out of memory for others."""
    while not work.done():
        if available_bytes() < SPARE_BYTES // 2:
            work.cancel()
            return
        await asyncio.sleep(0.5)


class Results:
    """Points of each series, by size."""

    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}
        self.busy: list[float] = []

    def add(self, name: str, size: float, value: float) -> None:
        """Adds a point and notes the machine's load."""
        self.points.setdefault(name, []).append((float(size), value))
        self.busy.append(os.getloadavg()[0])

    def series(self, name: str, unit: str, by: str, note: str) -> list[Series]:
        """The series with the points of `name`; none if there are no points."""
        if name not in self.points:
            return []
        return [Series(SUBJECT, name, unit, by, sorted(self.points[name]), note + self.load())]

    def load(self) -> str:
        """The range of the machine's load, for notes."""
        return f"; the machine's load was {min(self.busy):.0f} to {max(self.busy):.0f} on {os.cpu_count()} cores"


# A change of the two fields that a reload by SIGHUP applies


async def change_addresses(relays: Fleet, restarting: list[Node], cut: list[Node], rng: Random) -> dict[str, Any]:
    """Moves discovery and the platform to their other addresses and waits until all relays use them.

    Returns seconds from the change until a relay has received from both new addresses, by kind of relay (for those cut
    off: from the end of the cut), and how many relays SIGHUP ended because it came before they had set its handler.
    """
    relays.active = 1 - relays.active
    where, killed, back = relays.discovery(), 0, 0.0
    steady = [node for node in relays.nodes if node not in cut and node not in restarting]

    async def restart(node: Node, wait: float) -> None:
        nonlocal killed
        await asyncio.sleep(wait)
        node.signal(signal.SIGTERM)
        await node.ended()
        while True:  # restarts the process until it listens, as a supervisor does
            await node.start()
            listening = asyncio.ensure_future(wait_until(lambda: node.first_logged("listening"), 30))
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
    for node in relays.nodes:
        if node not in cut:
            node.write()
            node.signal(signal.SIGHUP)
    carried = time.time() - began
    if cut:
        await asyncio.sleep(max(0.0, began + CUT_SECONDS - time.time()))
        back = time.time()
        for node in cut:
            node.write()
            node.signal(signal.SIGHUP)
    await asyncio.gather(*restarts)
    await wait_until(lambda: all(node.in_force(where) is not None for node in relays.nodes), 30, 0.1)

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


async def measure_changes(relays: Fleet, results: Results) -> None:
    """Measures changes of addresses: undisturbed, and while some relays restart and a zone is cut off."""
    relay_count, rng = len(relays.nodes), Random(37)
    undisturbed = [await change_addresses(relays, [], [], rng) for _ in range(ROUNDS)]
    results.add("move.median", relay_count, median(median(round_["steady"]) for round_ in undisturbed))
    results.add("move.last", relay_count, median(round_["steady"][-1] for round_ in undisturbed))
    results.add("move.carried", relay_count, median(round_["carried"] for round_ in undisturbed))
    if relay_count < 8:
        return
    with_faults = []
    for turn in range(ROUNDS):
        restarting = relays.nodes[turn :: round(1 / WAVE_SHARE)]
        cut = [node for node in relays.nodes if node.zone == turn % 4 and node not in restarting]
        with_faults.append(await change_addresses(relays, restarting, cut, rng))
    results.add("move.rough.steady.last", relay_count, median(round_["steady"][-1] for round_ in with_faults))
    results.add("move.rough.restarting.last", relay_count, median(round_["restarting"][-1] for round_ in with_faults))
    results.add("move.rough.cut.last", relay_count, median(round_["cut"][-1] for round_ in with_faults))
    results.add("move.rough.killed", relay_count, sum(round_["killed"] for round_ in with_faults) / ROUNDS)


# A change of any other field: a rolling restart, a tenth at a time


async def restart(node: Node, busy: bool, held: Counter[str] | None = None) -> tuple[float, float, float]:
    """Restarts a relay with a new file.

    Returns seconds from SIGTERM to the process's end, seconds from its start to its first answer, and its
    processor time up to then. With `busy`, a request is in flight that no endpoint answers; `held` counts its outcome.
    """
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


async def measure_restart(relays: Fleet, results: Results) -> None:
    """Measures restarts of single relays, idle and with a request in flight."""
    relay_count = len(relays.nodes)
    for busy, word in ((False, "idle"), (True, "busy")):
        rows = [await restart(relays.nodes[turn % relay_count], busy) for turn in range(ROUNDS)]
        stopped, started, spent = (median(column) for column in zip(*rows, strict=True))
        results.add(f"restart.{word}.stop", relay_count, stopped)
        results.add(f"restart.{word}.start", relay_count, started)
        results.add(f"restart.{word}", relay_count, median(stop + start for stop, start, _ in rows))
        if not busy:
            results.add("restart.cpu", relay_count, spent)


async def client_of(node: Node, over: asyncio.Event) -> Counter[str]:
    """Sends requests one after another to one relay, to which its client is bound, and counts the outcomes."""
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
                if client.reader.at_eof():  # closed between two requests, so none was lost
                    counts["closed between"] += 1
                    break
                try:
                    answer = await client.request(ident)
                    word = "answered" if "D" in answer and "T" in answer else answer["C"].decode()
                finally:
                    counts[word] += 1
                await asyncio.sleep(REQUEST_INTERVAL)
        client.writer.close()
    return counts


async def measure_rolling_restart(relays: Fleet, busy: bool, results: Results) -> None:
    """Restarts all relays, a tenth at a time: the next tenth once the previous one has answered."""
    relay_count, over, held = len(relays.nodes), asyncio.Event(), Counter[str]()
    wave = max(1, round(relay_count * WAVE_SHARE))
    watched = [asyncio.create_task(client_of(node, over)) for node in relays.nodes[:WATCHED_RELAYS]]
    await asyncio.sleep(0.5)
    began = time.time()
    for first in range(0, relay_count, wave):
        await asyncio.gather(*(restart(node, busy, held) for node in relays.nodes[first : first + wave]))
    word, took = "busy" if busy else "idle", time.time() - began
    results.add(f"rolling.{word}", relay_count, took)
    results.add(f"rolling.{word}.wave", relay_count, took / -(-relay_count // wave))
    over.set()
    counts = sum(await asyncio.gather(*watched), Counter[str]())
    lost = counts["reset"] / len(watched)
    others = ("answered", "reset", "not connected", "closed between")
    refused = sum(times for what, times in counts.items() if what not in others)
    results.add(f"rolling.{word}.reset", relay_count, lost)
    results.add(f"rolling.{word}.refused", relay_count, refused / len(watched))
    if busy:
        results.add("rolling.busy.held", relay_count, (sum(held.values()) - held["reset"]) / relay_count)
    results.add(f"rolling.{word}.away", relay_count, counts["not connected"] * 0.05 / len(watched))
    print(f"rolling {word}, {relay_count} relays: {took:.1f} s, {dict(counts)}, held {dict(held)}", flush=True)


# Reading the file


def config_file(tenants: int) -> bytes:
    """A configuration file with so many tenants."""
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


def measure_reading(tenants: int, results: Results) -> None:
    """Measures the file's size, its reading and a reload, by number of tenants."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_bytes(text := config_file(tenants))
        results.add("file", tenants, len(text))
        results.add("read.cpu", tenants, processor_us(lambda: load(str(path)), 3))

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

        results.add("reload.cpu", tenants, asyncio.run(reload()))


# All measurements

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
ABBREVIATIONS = {
    "{real}": "real processes on one machine, over loopback; the hand that carries files is this program's",
    "{rough}": "a tenth restarts and a quarter (a zone) gets nothing for 5 s",
    "{watched}": "real processes, the mean of up to 8 relays, one client each, asking 20 times a second",
}


async def measure_fleet(relay_count: int, results: Results) -> None:
    """Makes all measurements with so many relays."""
    async with fleet(relay_count) as relays:
        await measure_changes(relays, results)
        await measure_restart(relays, results)
        await measure_rolling_restart(relays, False, results)
        await measure_rolling_restart(relays, True, results)


async def measure_guarded(relay_count: int, results: Results) -> None:
    """Makes all measurements, cancelled when memory runs low."""
    work = asyncio.create_task(measure_fleet(relay_count, results))
    watch = asyncio.create_task(cancel_when_low_on_memory(work))
    await work
    await watch


def measure(small: bool) -> list[Series]:
    """Makes all measurements and returns their series."""
    results, missed = Results(), ""
    for tenants in (100, 4900) if small else (100, 4900, 49_000):
        measure_reading(tenants, results)
    for relay_count in (1, 8) if small else (1, 8, 40, 200):
        if relay_count == 200 and available_bytes() < SPARE_BYTES + relay_count * RELAY_BYTES:
            relay_count, missed = 100, "; 200 relays not reached: memory"
        asyncio.run(measure_guarded(relay_count, results))
        print(f"configuration: {relay_count} relays done, load {os.getloadavg()[0]:.1f}", flush=True)
    series = []
    for name, (unit, note) in NOTES.items():
        for mark, text in ABBREVIATIONS.items():
            note = note.replace(mark, text)
        tenants_by = name in ("file", "read.cpu", "reload.cpu")
        series += results.series(name, unit, *(("tenants", note) if tenants_by else ("relays", note + missed)))
    return series
