"""Compares simulated relays with real processes: bytes, processor time and memory of a hub, a watcher, a plain relay.

A real relay has sockets, an interpreter and a garbage collector around the modules. Their cost is measured at the
smallest size: idle (no requests, so no gossip), with requests but no gossip, and with both. This gives the cost of
a second, of a request and of a gossip message. At the larger sizes the real figure is compared with the simulated
one plus these costs, which are fitted at the smallest size only.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, replace
from statistics import fmean, median

import numpy as np
import uvloop
from scipy.optimize import nnls

from benchmarks.slopes.fleet import Fleet, Relay
from benchmarks.slopes.processes import available_mb, process_fleet
from benchmarks.slopes.restarts import full_list
from benchmarks.slopes.series import Series, traced_mb
from benchmarks.slopes.sizes import Size
from lanelead.decisions.interface import SECOND
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList

UNITS, RATE, CLIENTS = 13, 5.0, 3
SIZES, SMALL = (30, 150), (15,)
TAPPED = {"hub": (0,), "watcher": (4, 5), "plain": (9, 10, 11, 12)}  # relays whose gossip goes through taps
RESERVED_MB, PROCESS_MB = 6000.0, 36.0  # MB left to others, and MB that a process takes
WARM_UP_SECONDS, MEASURED_SECONDS = 6.0, 16.0  # wall-clock seconds for processes, virtual ones for the simulation
NOMINAL_WORK_US = 200.0  # of the fixed work, which runs during each measurement, as a busy machine is slower
MEMORY_NOTE = "; traced: the modules' objects, and the list in the configuration"
ROLES = ("hub", "watcher", "plain")


@dataclass
class Row:
    """Figures of the relays of one role: processor time (s), messages, bytes and requests a second; memory in MB.

    Messages and bytes of real relays are the means of those whose gossip is tapped.
    """

    cpu: float
    gossip_messages: tuple[float, float]  # sent and received
    sent: float  # bytes
    heard: float
    requests: float
    memory: float = 0.0


def fixed_work_us() -> float:
    """Processor time of one call of a fixed piece of work, microseconds; called ten times a second."""
    began = time.thread_time_ns()
    table = {number * 7919 % 1009: number / 3 for number in range(600)}
    b",".join(b"%d" % key for key in sorted(table, key=lambda key: table[key]))
    return (time.thread_time_ns() - began) / 1e3


def role_of(number: int) -> str:
    """The role of the relay with this number."""
    return "hub" if number < 4 else "watcher" if number < 7 else "plain"


async def measure_processes(size: Size, rate: float, peers: bool) -> dict[str, Row]:
    """Measures real relay processes, by role; processor time is scaled by the fixed work."""
    watched = [number for some in TAPPED.values() for number in some]
    async with process_fleet(size, watched, peers) as relays:
        await relays.start_all(rate, CLIENTS)
        await asyncio.sleep(WARM_UP_SECONDS)
        before, request_count = relays.cpu_seconds(), relays.request_count.copy()
        relays.gossip_messages.clear()
        relays.bytes.clear()
        began = relays.loop.time()
        work_times: list[float] = []
        while relays.loop.time() < began + MEASURED_SECONDS:
            await asyncio.sleep(0.1)
            work_times.append(fixed_work_us())
        after, span = relays.cpu_seconds(), relays.loop.time() - began
        slowdown = median(work_times) / NOMINAL_WORK_US
        memory = relays.memory()
        table: dict[str, Row] = {}
        for role in ROLES:
            some = [number for number in relays.processes if role_of(number) == role]
            sent, heard, sent_bytes, heard_bytes = (
                fmean(counts[number, way] for number in TAPPED[role]) / span
                for counts in (relays.gossip_messages, relays.bytes)
                for way in ("sent", "heard")
            )
            table[role] = Row(
                cpu=fmean(after[number] - before[number] for number in some) / span / slowdown,
                gossip_messages=(sent, heard),
                sent=sent_bytes,
                heard=heard_bytes,
                requests=fmean(relays.request_count[number] - request_count[number] for number in some) / span,
                memory=fmean(memory[number] for number in some),
            )
        return table


def measure_simulation(size: Size) -> dict[str, Row]:
    """Measures simulated relays of the same size, by role."""
    fleet = Fleet(replace(size, transit=(0.1, 0.5), link=0.3), 1, uniform=True)
    fleet.run(WARM_UP_SECONDS)
    fleet.reset()
    work_times: list[float] = []
    for tenth in range(int(MEASURED_SECONDS * 10)):
        fleet.at(fleet.now + tenth * SECOND // 10, "call", 0, lambda: work_times.append(fixed_work_us()))
    fleet.run(MEASURED_SECONDS)
    slowdown = median(work_times) / NOMINAL_WORK_US

    def row(some: list[Relay]) -> Row:
        def mean(values: list[float]) -> float:
            return fmean(values) / MEASURED_SECONDS

        return Row(
            cpu=mean([relay.cpu_us() / 1e6 for relay in some]) / slowdown,
            gossip_messages=(
                mean([relay.sent["letters"] for relay in some]),
                mean([relay.received["letters"] for relay in some]),
            ),
            sent=mean([relay.sent["bytes"] for relay in some]),
            heard=mean([relay.received["bytes"] for relay in some]),
            requests=mean([relay.request_count for relay in some]),
        )

    return {role: row(some) for role, some in fleet.roles.items()}


def fits_in_memory(relays: int) -> bool:
    """Whether so many relay processes fit into the memory that is available."""
    return available_mb() >= RESERVED_MB + PROCESS_MB * relays


def measure(small: bool) -> list[Series]:
    """Measures all sizes that fit into memory and returns the series."""
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def note(name: str, unit: str, said: str, relays: float, value: float) -> None:
        points.setdefault((name, unit, said), []).append((relays, value))

    parts: dict[str, float] = {}
    memory_points: list[tuple[float, float, float]] = []
    skipped = [relays for relays in (SMALL if small else SIZES) if not fits_in_memory(relays)]
    left_out = f"; not run for want of memory: {skipped}" if skipped else ""
    for relays in (relays for relays in (SMALL if small else SIZES) if relays not in skipped):
        size = Size(relays, UNITS * relays, RATE)
        if not parts:
            parts = fit_overheads(size)
            said = "what a process has around the modules (sockets, loop, interpreter, collector), fitted here"
            for name, value in parts.items():
                note(f"outside.{name}", "us", said, relays, value * 1e6)
        measured = uvloop.run(measure_processes(size, RATE, True))
        simulated = measure_simulation(replace(size, rate=measured["plain"].requests))
        fixed = f"13 units a relay, some {RATE:g} requests a second a relay, letters on, 16 s; processor time "
        fixed += f"is scaled by fixed work in each span to {NOMINAL_WORK_US:g} us of that" + left_out
        for role in ROLES:
            one, other = measured[role], simulated[role]
            expected_cpu = (
                other.cpu
                + parts["second"]
                + parts["request"] * other.requests
                + parts["letter.sent"] * other.gossip_messages[0]
                + parts["letter.heard"] * other.gossip_messages[1]
            )
            for kind, of in (("real", one), ("hollow", other)):
                note(f"{kind}.{role}.cpu", "share", fixed, relays, of.cpu)
                note(f"{kind}.{role}.sent.bytes", "B/s", fixed, relays, of.sent)
                note(f"{kind}.{role}.heard.bytes", "B/s", fixed, relays, of.heard)
            note(f"real.{role}.memory", "MB", fixed, relays, one.memory)
            if role == "plain":
                traced = modules_mb(size)
                note("hollow.plain.memory", "MB", fixed + MEMORY_NOTE, relays, traced)
                memory_points.append((relays, one.memory, traced))
            note(
                f"ratio.{role}.cpu",
                "share",
                fixed + "; real over hollow and its parts",
                relays,
                one.cpu / expected_cpu,
            )
            for way, many, of_simulated in (("sent", one.sent, other.sent), ("heard", one.heard, other.heard)):
                if of_simulated:
                    ratio = "; real over hollow"
                    note(f"ratio.{role}.{way}.bytes", "share", fixed + ratio, relays, many / of_simulated)
        print(f"hollow {relays}: {measured} {simulated}", flush=True)
    for grown, resident, traced in memory_points[1:]:
        growth = (resident - memory_points[0][1]) / (traced - memory_points[0][2])
        said = (
            f"what a plain one has grown by since {memory_points[0][0]:g} relays, real (resident) over hollow (traced)"
        )
        note("ratio.plain.memory.growth", "share", said, grown, growth)
    return [Series("hollow", name, unit, "relays", row, said) for (name, unit, said), row in points.items()]


def modules_mb(size: Size) -> float:
    """Memory of one relay's modules and of the last list in its configuration, which a process keeps."""
    text = full_list(size.units)
    return traced_mb(lambda: (Fleet(replace(size, rate=0.0, whole=1), 1), decode(text, EndpointList, 16 << 20)))[0]


def fit_overheads(size: Size) -> dict[str, float]:
    """Processor time outside the modules, seconds: for each second, request, message sent and message received.

    The cost of a request is taken from plain relays without gossip; the costs of messages are fitted over the roles by
    least squares and are not negative.
    """
    idle = uvloop.run(measure_processes(size, 0.0, True))
    without_gossip = uvloop.run(measure_processes(size, RATE, False))
    with_gossip = uvloop.run(measure_processes(size, RATE, True))
    simulated_idle = measure_simulation(replace(size, rate=0.0))
    simulated_without_gossip = measure_simulation(replace(size, rate=without_gossip["plain"].requests, peers=False))
    simulated_with_gossip = measure_simulation(replace(size, rate=with_gossip["plain"].requests))
    second = idle["plain"].cpu - simulated_idle["plain"].cpu
    request = (without_gossip["plain"].cpu - simulated_without_gossip["plain"].cpu - second) / without_gossip[
        "plain"
    ].requests
    rests = [
        with_gossip[role].cpu - simulated_with_gossip[role].cpu - second - request * with_gossip[role].requests
        for role in ROLES
    ]
    sent, heard = nnls(np.array([with_gossip[role].gossip_messages for role in ROLES]), np.array(rests))[0]
    return {"second": second, "request": request, "letter.sent": float(sent), "letter.heard": float(heard)}
