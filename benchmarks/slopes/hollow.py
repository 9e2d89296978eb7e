"""Hollow relays held against real processes: bytes, processor time and memory of a hub, a watcher and a plain
relay.

A real one has sockets, an interpreter and a collector around the modules. What these cost is measured at the
smallest size by itself: idle (no requests, so no letters), with requests and no letters, with both; so come
the parts a request, a letter and a second. At the larger sizes the real figure is held against the hollow
one's with these parts added, which were fitted at the smallest size alone.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from statistics import fmean, median

import numpy as np
import uvloop
from scipy.optimize import nnls

from benchmarks.slopes.fleet import Fleet, Hollow
from benchmarks.slopes.processes import available_mb, site
from benchmarks.slopes.restarts import whole_list
from benchmarks.slopes.series import Series, traced_mb
from benchmarks.slopes.sizes import Size
from lanelead.decisions.interface import SECOND
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList

UNITS, RATE, CLIENTS = 13, 5.0, 3
SIZES, SMALL = (30, 150), (15,)
WATCHED = {"hub": (0,), "watcher": (4, 5), "plain": (9, 10, 11, 12)}  # whose letters go over wires
ROOM, EACH = 6000.0, 36.0  # 10^6 bytes left to others, and what a process takes
WARM, SPAN = 6.0, 16.0  # seconds on the wall for real ones, virtual for hollow ones
PACE = 200.0  # us of the fixed work, which runs beside each measured span: a busy machine is a slower one
KEPT = "; traced: the modules' objects, and the list in the configuration"
ROLES = ("hub", "watcher", "plain")


@dataclass
class Row:
    """Of the relays of one role: a second's processor time (s), letters and bytes (of real ones, those
    watched), requests; memory, MB."""

    cpu: float
    letters: tuple[float, float]  # sent and heard
    sent: float  # bytes
    heard: float
    requests: float
    memory: float = 0.0


def fixed_work_us() -> float:
    """Processor time of some work that is always the same, by one call: it is made ten times a second."""
    began = time.thread_time_ns()
    table = {number * 7919 % 1009: number / 3 for number in range(600)}
    b",".join(b"%d" % key for key in sorted(table, key=lambda key: table[key]))
    return (time.thread_time_ns() - began) / 1e3


def role_of(number: int) -> str:
    return "hub" if number < 4 else "watcher" if number < 7 else "plain"


async def real(size: Size, rate: float, peers: bool) -> dict[str, Row]:
    watched = [number for some in WATCHED.values() for number in some]
    async with site(size, watched, peers) as place:
        await place.start_all(rate, CLIENTS)
        await asyncio.sleep(WARM)
        before, asked = place.spent(), place.asked.copy()
        place.letters.clear()
        place.bytes.clear()
        began = place.loop.time()
        paced: list[float] = []
        while place.loop.time() < began + SPAN:
            await asyncio.sleep(0.1)
            paced.append(fixed_work_us())
        after, span = place.spent(), place.loop.time() - began
        pace = median(paced) / PACE
        memory = place.memory()
        table: dict[str, Row] = {}
        for role in ROLES:
            some = [number for number in place.processes if role_of(number) == role]
            sent, heard, sent_bytes, heard_bytes = (
                fmean(counts[number, way] for number in WATCHED[role]) / span
                for counts in (place.letters, place.bytes)
                for way in ("sent", "heard")
            )
            table[role] = Row(
                cpu=fmean(after[number] - before[number] for number in some) / span / pace,
                letters=(sent, heard),
                sent=sent_bytes,
                heard=heard_bytes,
                requests=fmean(place.asked[number] - asked[number] for number in some) / span,
                memory=fmean(memory[number] for number in some),
            )
        return table


def hollow(size: Size) -> dict[str, Row]:
    fleet = Fleet(replace(size, transit=(0.1, 0.5), link=0.3), 1, even=True)
    fleet.run(WARM)
    fleet.reset()
    paced: list[float] = []
    for tenth in range(int(SPAN * 10)):
        fleet.at(fleet.now + tenth * SECOND // 10, "call", 0, lambda: paced.append(fixed_work_us()))
    fleet.run(SPAN)
    pace = median(paced) / PACE

    def row(some: list[Hollow]) -> Row:
        def mean(values: list[float]) -> float:
            return fmean(values) / SPAN

        return Row(
            cpu=mean([relay.us() / 1e6 for relay in some]) / pace,
            letters=(
                mean([relay.sent["letters"] for relay in some]),
                mean([relay.came["letters"] for relay in some]),
            ),
            sent=mean([relay.sent["bytes"] for relay in some]),
            heard=mean([relay.came["bytes"] for relay in some]),
            requests=mean([relay.asked for relay in some]),
        )

    return {role: row(some) for role, some in fleet.roles.items()}


def fits(relays: int) -> bool:
    return available_mb() >= ROOM + EACH * relays


def measure(small: bool) -> list[Series]:
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def note(name: str, unit: str, said: str, relays: float, value: float) -> None:
        points.setdefault((name, unit, said), []).append((relays, value))

    parts: dict[str, float] = {}
    held: list[tuple[float, float, float]] = []
    skipped = [relays for relays in (SMALL if small else SIZES) if not fits(relays)]
    left_out = f"; not run for want of memory: {skipped}" if skipped else ""
    for relays in (relays for relays in (SMALL if small else SIZES) if relays not in skipped):
        size = Size(relays, UNITS * relays, RATE)
        if not parts:
            parts = outside(size)
            said = "what a process has around the modules (sockets, loop, interpreter, collector), fitted here"
            for name, value in parts.items():
                note(f"outside.{name}", "us", said, relays, value * 1e6)
        found = uvloop.run(real(size, RATE, True))
        made = hollow(replace(size, rate=found["plain"].requests))
        fixed = f"13 units a relay, some {RATE:g} requests a second a relay, letters on, 16 s; processor time "
        fixed += f"is scaled by fixed work in each span to {PACE:g} us of that" + left_out
        for role in ROLES:
            one, other = found[role], made[role]
            told = (
                other.cpu
                + parts["second"]
                + parts["request"] * other.requests
                + parts["letter.sent"] * other.letters[0]
                + parts["letter.heard"] * other.letters[1]
            )
            for kind, of in (("real", one), ("hollow", other)):
                note(f"{kind}.{role}.cpu", "share", fixed, relays, of.cpu)
                note(f"{kind}.{role}.sent.bytes", "B/s", fixed, relays, of.sent)
                note(f"{kind}.{role}.heard.bytes", "B/s", fixed, relays, of.heard)
            note(f"real.{role}.memory", "MB", fixed, relays, one.memory)
            if role == "plain":
                traced = modules_mb(size)
                note("hollow.plain.memory", "MB", fixed + KEPT, relays, traced)
                held.append((relays, one.memory, traced))
            note(
                f"ratio.{role}.cpu",
                "share",
                fixed + "; real over hollow and its parts",
                relays,
                one.cpu / told,
            )
            for way, many, of_hollow in (("sent", one.sent, other.sent), ("heard", one.heard, other.heard)):
                if of_hollow:
                    ratio = "; real over hollow"
                    note(f"ratio.{role}.{way}.bytes", "share", fixed + ratio, relays, many / of_hollow)
        print(f"hollow {relays}: {found} {made}", flush=True)
    for grown, resident, traced in held[1:]:
        growth = (resident - held[0][1]) / (traced - held[0][2])
        said = f"what a plain one has grown by since {held[0][0]:g} relays, real (resident) over hollow (traced)"
        note("ratio.plain.memory.growth", "share", said, grown, growth)
    return [Series("hollow", name, unit, "relays", row, said) for (name, unit, said), row in points.items()]


def modules_mb(size: Size) -> float:
    """What one relay's modules hold, and the last list in its configuration, which a process keeps."""
    text = whole_list(size.units)
    return traced_mb(lambda: (Fleet(replace(size, rate=0.0, whole=1), 1), decode(text, EndpointList, 16 << 20)))[0]


def outside(size: Size) -> dict[str, float]:
    """Seconds of processor time around the modules: a second, a request (plain relays, no letters), a letter
    sent and one heard (least squares over the roles; neither below nothing)."""
    idle = uvloop.run(real(size, 0.0, True))
    mute = uvloop.run(real(size, RATE, False))
    both = uvloop.run(real(size, RATE, True))
    still = hollow(replace(size, rate=0.0))
    quiet = hollow(replace(size, rate=mute["plain"].requests, peers=False))
    loud = hollow(replace(size, rate=both["plain"].requests))
    second = idle["plain"].cpu - still["plain"].cpu
    request = (mute["plain"].cpu - quiet["plain"].cpu - second) / mute["plain"].requests
    rests = [both[role].cpu - loud[role].cpu - second - request * both[role].requests for role in ROLES]
    sent, heard = nnls(np.array([both[role].letters for role in ROLES]), np.array(rests))[0]
    return {"second": second, "request": request, "letter.sent": float(sent), "letter.heard": float(heard)}
