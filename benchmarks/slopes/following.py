"""Compares real relays that follow the configuration with real ones that don't: processor time and memory.

Three machines and six relays run as processes over loopback, as in tests/test_configuration_processes.py, without
requests. By number of entries in the document: a relay's memory, and the time from publishing the last 1,000 entries
until the last relay reports that they are in force.
"""

from __future__ import annotations

import asyncio
import json
import os
import time

import uvloop

from benchmarks.slopes.series import Series, resident_mb
from tests.test_configuration_processes import RELAYS, Fleet, fleet

QUIET_SECONDS = 20.0  # seconds
ENTRIES_PER_CHANGE = 1000  # published in one change


def cpu_s(process: int) -> float:
    """Processor time of a process so far, seconds, in steps of the kernel's clock tick."""
    with open(f"/proc/{process}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def quiet(running: Fleet) -> tuple[float, float]:
    """Mean share of a core that a following relay and a machine use without changes."""
    relays = [process.pid for process in running.processes.values()]
    replicas = [process.pid for process in running.replicas.processes.values()]
    before = [cpu_s(pid) for pid in relays + replicas]
    await asyncio.sleep(QUIET_SECONDS)
    spent = [cpu_s(pid) - was for pid, was in zip(relays + replicas, before, strict=True)]
    return sum(spent[:RELAYS]) / RELAYS / QUIET_SECONDS, sum(spent[RELAYS:]) / len(replicas) / QUIET_SECONDS


async def quiet_without_configuration(running: Fleet) -> float:
    """Mean share of a core of relays whose file has no `configuration` section."""
    for number in range(RELAYS):
        await running.kill(number)
        file = running.relay_platform.folder / f"relay-{number}.json"
        config = json.loads(file.read_text())
        del config["configuration"]
        file.write_text(json.dumps(config))
        await running.start_with_file(number, file)
    await asyncio.sleep(2.0)
    return (await quiet(running))[0]


async def run(small: bool) -> dict[str, list[tuple[float, float]]]:
    """Makes the measurements and returns points by series name."""
    found: dict[str, list[tuple[float, float]]] = {}
    async with fleet() as running:
        await asyncio.sleep(2.0)
        follows, machine = await quiet(running)
        found["quiet.follows"], found["quiet.machine"] = [(RELAYS, follows)], [(RELAYS, machine)]
        held = 0
        for total in (1_000, 5_000) if small else (1_000, 5_000, 20_000, 49_000):
            began, version = time.monotonic(), 0
            for first in range(held, total, ENTRIES_PER_CHANGE):
                rows = [
                    (f"tenant/t{n:05d}", b'{"quota_per_s":%d,"share":0.1}' % (n % 90 + 1))
                    for n in range(first, min(total, first + ENTRIES_PER_CHANGE))
                ]
                began = time.monotonic()
                version = await running.publish(f"entries-{first:06d}", rows, 0)
            await running.in_force(version)
            held = total
            found.setdefault("change.in_force", []).append((total, time.monotonic() - began))
            pids = [process.pid for process in running.processes.values()]
            found.setdefault("memory", []).append((total, max(resident_mb(pid) for pid in pids)))
            replicas = [process.pid for process in running.replicas.processes.values()]
            found.setdefault("machine.memory", []).append((total, max(resident_mb(pid) for pid in replicas)))
        found["quiet.alone"] = [(RELAYS, await quiet_without_configuration(running))]
    return found


def measure(small: bool) -> list[Series]:
    """Makes the measurements and returns the series."""
    found = uvloop.run(run(small))
    note = "real: 3 machines, 6 relays as processes on one machine, loopback, nobody asks"
    return [
        Series(
            "following",
            name,
            "MB" if "memory" in name else "s" if "in_force" in name else "share",
            "relays" if "quiet" in name else "entries",
            points,
            note,
        )
        for name, points in found.items()
    ]
