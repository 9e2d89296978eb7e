"""Real relays that follow the configuration, beside real ones that don't, in one run: processor time, memory.

Three machines and six relays as processes over loopback, as tests/test_configuration_processes.py has them;
nobody asks anything. By entries of the document: what a relay holds, and how long 1,000 entries that
change at once take from being published to the last relay's word that they are in force.
"""

from __future__ import annotations

import asyncio
import json
import os
import time

import uvloop

from benchmarks.slopes.series import Series, resident_mb
from tests.test_configuration_processes import RELAYS, Fleet, fleet

QUIET = 20.0  # seconds
STEP = 1000  # entries of a change


def cpu_s(process: int) -> float:
    with open(f"/proc/{process}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def quiet(all_: Fleet) -> tuple[float, float]:
    """Share of a core in the mean, of a relay that follows and of a machine."""
    relays = [process.pid for process in all_.processes.values()]
    replicas = [process.pid for process in all_.replicas.processes.values()]
    before = [cpu_s(pid) for pid in relays + replicas]
    await asyncio.sleep(QUIET)
    spent = [cpu_s(pid) - was for pid, was in zip(relays + replicas, before, strict=True)]
    return sum(spent[:RELAYS]) / RELAYS / QUIET, sum(spent[RELAYS:]) / len(replicas) / QUIET


async def alone(all_: Fleet) -> float:
    """The same of relays whose file has no such section."""
    for number in range(RELAYS):
        await all_.kill(number)
        file = all_.relay_platform.folder / f"relay-{number}.json"
        config = json.loads(file.read_text())
        del config["configuration"]
        file.write_text(json.dumps(config))
        await all_.start_with_file(number, file)
    await asyncio.sleep(2.0)
    return (await quiet(all_))[0]


async def run(small: bool) -> dict[str, list[tuple[float, float]]]:
    found: dict[str, list[tuple[float, float]]] = {}
    async with fleet() as all_:
        await asyncio.sleep(2.0)
        follows, machine = await quiet(all_)
        found["quiet.follows"], found["quiet.machine"] = [(RELAYS, follows)], [(RELAYS, machine)]
        held = 0
        for total in (1_000, 5_000) if small else (1_000, 5_000, 20_000, 49_000):
            began, version = time.monotonic(), 0
            for first in range(held, total, STEP):
                rows = [
                    (f"tenant/t{n:05d}", b'{"quota_per_s":%d,"share":0.1}' % (n % 90 + 1))
                    for n in range(first, min(total, first + STEP))
                ]
                began = time.monotonic()
                version = await all_.publish(f"entries-{first:06d}", rows, 0)
            await all_.in_force(version)
            held = total
            found.setdefault("change.in_force", []).append((total, time.monotonic() - began))
            pids = [process.pid for process in all_.processes.values()]
            found.setdefault("memory", []).append((total, max(resident_mb(pid) for pid in pids)))
            replicas = [process.pid for process in all_.replicas.processes.values()]
            found.setdefault("machine.memory", []).append((total, max(resident_mb(pid) for pid in replicas)))
        found["quiet.alone"] = [(RELAYS, await alone(all_))]
    return found


def measure(small: bool) -> list[Series]:
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
