"""Measures a restart (settings, full list, first gossip, first answer) by endpoints, and restarts of all relays.

The modules' cost is measured in a simulation. The constant part is taken from one real process: its processor time
from exec to the client's first answer. For restarts of all relays it measures what discovery sends, and what hubs and
plain relays spend on the others' restarts. These come thirty times as often as 600 in ten minutes (each relay once in
20 s), since at the true rate the effect is lost in the noise.
"""

from __future__ import annotations

from dataclasses import replace
from statistics import fmean

import msgspec
import uvloop

from benchmarks.slopes.fleet import Fleet
from benchmarks.slopes.processes import cpu_s, process_fleet
from benchmarks.slopes.series import Series, processor_us, resident_mb, traced_mb
from benchmarks.slopes.sizes import ZONES, Size, settings, unit_name
from lanelead.decisions.interface import SECOND
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, read_endpoint_list
from lanelead.runtime.loop_clock import CLOCK_START_TICKS
from lanelead.runtime.parameter_reader import ParameterReader, flatten_pairs

UNITS, SMALL_UNITS = (26, 150, 780, 2600, 7800), (26, 150)
REAL, REAL_SMALL = (26, 780, 2600, 7800), (26,)
RELAYS, SMALL = (12, 40, 100), (12,)
# `RATE` is in requests a second at a relay, all relays restart within `ROUND_SECONDS`, and the endpoints are for each
# relay.
RATE, ROUND_SECONDS, ENDPOINTS_PER_RELAY = 5.0, 20.0, 13
DOWN_SECONDS = 0.8  # from a relay's end to its next start


def full_list(units: int) -> bytes:
    """Discovery's response body, as `lanelead.protocols.platform` reads it."""
    servers = [
        {
            "id": unit_name(number),
            "addr": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:5432",
            "zone": f"z{number % ZONES}",
            "kind": "std",
            "cell": number // 4,
            "state": "active",
            "weight": 1.0,
            "started_ms": 1.7e12 + number,
            "revision_no": 1,
        }
        for number in range(units)
    ]
    return msgspec.json.encode({"version": 1, "full": True, "servers": servers})


def restart_costs(units: int) -> dict[tuple[str, str], float]:
    """What a restart costs the modules of one relay of 600."""
    body = full_list(units)
    size = Size(600, units, 0.0, whole=1)
    read = processor_us(lambda: read_endpoint_list(decode(body, EndpointList, 16 << 20)), rounds=3)
    opening = processor_us(lambda: ParameterReader([*flatten_pairs(settings(size, 0))]).request_classes(), rounds=3)
    fleet = Fleet(size, 1)
    relay = fleet.relays[0]
    taken = []
    for _ in range(3):  # each start creates new decisions; the list's cost is counted as `list`
        relay.costs.clear()
        fleet.start(relay)
        taken.append((relay.cpu_us("start"), relay.cpu_us("list")))
    relay.costs.clear()
    fleet.now = CLOCK_START_TICKS + 10
    fleet.at(fleet.now, "request", 0)
    fleet.size = replace(size, rate=1e-6)
    fleet.run(3.0)
    return {
        ("list.bytes", "B"): float(len(body)),
        ("list.read.cpu", "us"): read,
        ("settings.cpu", "us"): opening,
        ("start.cpu", "us"): min(start for start, _ in taken),
        ("list.taken.cpu", "us"): min(took for _, took in taken),
        ("first.cpu", "us"): relay.cpu_us("take", "ended"),
        ("first.letters.bytes", "B"): float(relay.sent["bytes"]),
        ("modules.memory", "MB"): traced_mb(lambda: Fleet(size, 1))[0],
    }


async def measure_process(units: int) -> tuple[float, float]:
    """Processor time (s) of one real relay from exec to a client's first answer, and its memory then (MB).

    The endpoint list comes from discovery.
    """
    async with process_fleet(Size(2, units, RATE)) as processes:
        await processes.start(0, known=False)
        client = await processes.connect(0, 0.0)
        await client.first
        client.first = processes.loop.create_future()
        client.send_request()
        await client.first
        assert not processes.errors[0], "the first answer was a refusal"
        number = processes.processes[0].pid
        return cpu_s(number), resident_mb(number)


def measure_mass_restart(relays: int, restart: bool) -> dict[str, dict[str, float]]:
    """Processor time and bytes sent and received in a second, by role.

    With `restart`, all relays but those that are measured restart once.
    """
    fleet = Fleet(Size(relays, relays * ENDPOINTS_PER_RELAY, RATE), 1, uniform=True)
    fleet.run(3.0)
    fleet.reset()
    roles = {role: some[:2] for role, some in fleet.roles.items()}
    read = {relay.number: None for some in roles.values() for relay in some}
    rest = [relay for relay in fleet.relays if relay.number not in read]
    if restart:
        for processes, relay in enumerate(rest):
            when = fleet.now + int((processes + 0.5) / len(rest) * (ROUND_SECONDS - DOWN_SECONDS) * SECOND)
            fleet.at(when, "call", 0, lambda relay=relay: fleet.stop(relay))
            fleet.at(when + int(DOWN_SECONDS * SECOND), "call", 0, lambda relay=relay: fleet.start(relay))
    fleet.run(ROUND_SECONDS)
    return {
        role: {
            "cpu": fmean(relay.cpu_us() for relay in some) / 1e6 / ROUND_SECONDS,
            "sent.bytes": fmean(relay.sent["bytes"] for relay in some) / ROUND_SECONDS,
            "heard.bytes": fmean(relay.received["bytes"] for relay in some) / ROUND_SECONDS,
        }
        for role, some in roles.items()
    }


def measure(small: bool) -> list[Series]:
    """Makes all measurements and returns the series."""
    found: list[Series] = []
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for units in SMALL_UNITS if small else UNITS:
        for at, value in restart_costs(units).items():
            points.setdefault(at, []).append((units, value))
    said = "hollow; one relay of 600, all units in one list; a hub, as it has no less to do; nobody else speaks"
    found += [Series("restarts", name, unit, "units", row, said) for (name, unit), row in points.items()]
    real = [(units, uvloop.run(measure_process(units))) for units in (REAL_SMALL if small else REAL)]
    said = "one real process, exec to the client's first answer, list from discovery; pycs there; no letters"
    cpu = [(float(units), spent) for units, (spent, _) in real]
    held = [(float(units), memory) for units, (_, memory) in real]
    found.append(Series("restarts", "process.cpu", "s", "units", cpu, said))
    found.append(Series("restarts", "process.memory", "MB", "units", held, said))
    table: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for relays in SMALL if small else RELAYS:
        body = len(full_list(relays * ENDPOINTS_PER_RELAY))
        table.setdefault(("mass.discovery.bytes", "B/s"), []).append((relays, body * relays / 600))
        for case, restart in (("calm", False), ("restarts", True)):
            for role, row in measure_mass_restart(relays, restart).items():
                for what, value in row.items():
                    unit = "share" if what == "cpu" else "B/s"
                    table.setdefault((f"mass.{case}.{role}.{what}", unit), []).append((relays, value))
        print(f"restarts {relays}", flush=True)
    said = (
        "hollow, 13 units and 5 requests a second a relay, all whole; `restarts`: all but two of each role "
        "restart once in 20 s, 30 times as often as 600 in ten minutes; discovery: whole lists handed out, "
        "all relays once in 600 s, without HTTP's heads and without watches"
    )
    return found + [Series("restarts", name, unit, "relays", row, said) for (name, unit), row in table.items()]
