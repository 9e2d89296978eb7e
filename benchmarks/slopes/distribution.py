"""Measures the distribution of configuration as versioned changes: cost for relays and machines, time to take effect.

Followers, sources, records and their JSON are the modules in use. Consensus between machines is a stand-in, and
sockets are links in virtual time. Bytes include TCP and IP headers and acknowledgements. Processor time is measured
around each event of a relay or machine, without the share of kernel and event loop.
"""

from __future__ import annotations

import gc

import msgspec

from benchmarks.slopes.series import Series, processor_us, traced_mb
from lanelead.configuration.actions import Location
from lanelead.configuration.document import Document
from lanelead.configuration.value_types import AppliedValues
from lanelead.protocols.configuration import Change, Entry
from lanelead.protocols.feeds import decode, encode
from lanelead.testbed.simulation.configuration import Fleet

SUBJECT = "distribution"
ZONES = [("a", "one"), ("b", "one"), ("c", "two"), ("d", "two")]
CHANGES = 20  # in one run, 2 s apart
QUIET_SECONDS = 60.0  # seconds without a change
RESTART_SECONDS = 0.98  # that a real idle relay takes to restart: `configuration.restart.idle` at one relay
PLANNED_ENTRIES = 65_000  # at the planned size: 49,000 tenants and 16,000 routes


def relay_locations(many: int) -> list[Location]:
    """Locations of so many relays, spread over the zones."""
    return [Location(*ZONES[n % 4], f"{ZONES[n % 4][0]}{n // 4}") for n in range(many)]


def entries(many: int) -> list[tuple[str, bytes]]:
    """Entries of a document: three quarters tenants, a quarter routes."""
    tenants = [(f"tenant/t{n:05d}", b'{"quota_per_s":%d,"share":0.1}' % (n % 90)) for n in range(many * 3 // 4)]
    routes = [(f"route/r{n:05d}", b'{"match":"/items/%d","service":"s%d"}' % (n, n % 300)) for n in range(many // 4)]
    return tenants + routes


def simulated_fleet(relays: int, many: int = 300) -> Fleet:
    """Creates a simulated fleet whose relays follow a document of `many` entries."""
    fleet = Fleet(relay_locations(8), [], 5)
    rows = entries(many)
    for first in range(0, len(rows), 900):
        fleet.change(rows[first : first + 900])
    fleet.run(2)

    def start() -> Document:
        document = Document()
        document.load(fleet.document)
        return document

    fleet.start = start
    for place in relay_locations(relays):
        fleet.join(place)
    fleet.run(5)
    return fleet


def resources_used(fleet: Fleet) -> tuple[float, float, float, float]:
    """Mean bytes and processor seconds of a relay, then those of the machine with the most."""
    many = max(1, len(fleet.relays))
    return (
        sum(relay.heard + relay.sent for relay in fleet.relays) / many,
        sum(relay.spent_ns for relay in fleet.relays) / many / 1e9,
        max(machine.sent for machine in fleet.machines),
        max(machine.spent_ns for machine in fleet.machines) / 1e9,
    )


def measure(small: bool) -> list[Series]:
    """Measures all sizes and returns the series."""
    sizes = [8, 40] if small else [8, 40, 200, 600]
    found: dict[str, list[tuple[float, float]]] = {}

    def point(name: str, size: float, value: float) -> None:
        found.setdefault(name, []).append((size, value))

    for size in sizes:
        fleet = simulated_fleet(size)
        before = resources_used(fleet)
        gc.collect()
        fleet.run(QUIET_SECONDS)
        quiet = [(after - first) / QUIET_SECONDS for first, after in zip(before, resources_used(fleet), strict=True)]
        for name, value in zip(("relay.bytes", "relay.cpu", "machine.bytes", "machine.cpu"), quiet, strict=True):
            point(f"quiet.{name}", size, value)
        worst, before = 0.0, resources_used(fleet)
        for number in range(CHANGES):
            began = fleet.now
            fleet.change([(f"tenant/t{number:05d}", b'{"quota_per_s":%d}' % number)], number % 7)
            fleet.run(2.0)
            worst = max(worst, *(relay.in_force[-1][0] - began for relay in fleet.relays))
        busy = [after - first for first, after in zip(before, resources_used(fleet), strict=True)]
        point("change.in_force_everywhere", size, worst)
        for name, value, idle in zip(("relay.bytes", "relay.cpu_us"), busy, quiet, strict=False):
            scale = 1e6 if name.endswith("us") else 1
            point(f"change.{name}", size, max(0.0, (value - idle * 2.0 * CHANGES) / CHANGES * scale))
        # For comparison, without distribution: the same change by restarting all relays, a tenth at a time.
        began = fleet.now
        for wave in range(10):
            for relay in range(wave, size, 10):
                fleet.restart(relay, RESTART_SECONDS)
            fleet.run(RESTART_SECONDS + 0.02)
        point("before.in_force_everywhere", size, fleet.now - began)
        fleet.run(5)
        # A tenth of the relays restarts at once, all machines of a zone are lost, and then a change is made.
        for relay in range(0, size, 10):
            fleet.restart(relay, 0.5)
        for number in (0, 4):
            fleet.kill(number)
        began = fleet.now
        fleet.change([("tenant/late", b'{"quota_per_s":1}')], 1)
        fleet.run(20)
        late = [relay.in_force[-1][0] - began for relay in fleet.relays if relay.in_force]
        point("change.in_force_with_faults", size, max(late))
    units = {"bytes": "B/s", "cpu": "share", "cpu_us": "us"}
    series = [
        Series(
            SUBJECT,
            name,
            "s" if "in_force" in name else "B" if name == "change.relay.bytes" else units[name.rsplit(".", 1)[-1]],
            "relays",
            points,
            "hollow; 300 entries; heads counted; no kernel time; 4 zones, 8 machines",
        )
        for name, points in found.items()
    ]
    return series + document_costs(small)


def document_costs(small: bool) -> list[Series]:
    """Measures memory, loading, a change and a snapshot of one relay's document, by number of entries."""
    counts = [650, 6_500] if small else [650, 6_500, PLANNED_ENTRIES]
    rows: dict[str, list[tuple[float, float]]] = {
        "memory": [],
        "load_us": [],
        "change_us": [],
        "snapshot": [],
    }
    for many in counts:
        data = entries(many)

        def make(data: list[tuple[str, bytes]] = data) -> tuple[Document, AppliedValues]:
            document, values = Document(), AppliedValues()
            document.load(data)
            values.apply(document, list(document.entries))
            return document, values

        megabytes, (document, values) = traced_mb(make)
        rows["memory"].append((many, megabytes))
        rows["load_us"].append((many, processor_us(make, rounds=3)))
        wanted = [Entry(data[0][0], msgspec.Raw(b'{"quota_per_s":5}'))]
        change = Change(1, "ident-000001", document.after(wanted), wanted)
        text = encode(change)

        def apply_change(
            document: Document = document, text: bytes = text, values: AppliedValues = values, key: str = data[0][0]
        ) -> None:
            document.version = 0
            document.apply(decode(text, Change))
            values.apply(document, [key])

        rows["change_us"].append((many, processor_us(apply_change)))
        rows["snapshot"].append((many, sum(len(encode(document.bucket(n))) for n in range(4096))))
    units = {"memory": "MB", "load_us": "us", "change_us": "us", "snapshot": "B"}
    note = "one document, three quarters tenants, a quarter routes; traced"
    return [Series(SUBJECT, f"entries.{name}", units[name], "entries", points, note) for name, points in rows.items()]
