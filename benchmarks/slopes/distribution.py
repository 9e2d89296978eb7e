"""Configuration told by version and change: what a relay and a machine spend, and when a change is in force.

Hollow: followers, sources, records and their JSON are the modules that run; machines agree by a stand-in,
sockets are links in virtual time, bytes are counted with TCP and IP heads and acknowledgements, and processor
time around each event of a relay or machine (without the kernel's and the event loop's part).
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
CHANGES = 20  # of one run, 2 s apart
QUIET = 60.0  # seconds without a change
AWAY = 0.98  # seconds that a real relay is away for an idle restart: `configuration.restart.idle` at one relay
LARGE = 65_000  # entries at the size planned for: 49,000 tenants and 16,000 routes


def places(many: int) -> list[Location]:
    return [Location(*ZONES[n % 4], f"{ZONES[n % 4][0]}{n // 4}") for n in range(many)]


def entries(many: int) -> list[tuple[str, bytes]]:
    tenants = [(f"tenant/t{n:05d}", b'{"quota_per_s":%d,"share":0.1}' % (n % 90)) for n in range(many * 3 // 4)]
    routes = [(f"route/r{n:05d}", b'{"match":"/items/%d","service":"s%d"}' % (n, n % 300)) for n in range(many // 4)]
    return tenants + routes


def fleet(relays: int, many: int = 300) -> Fleet:
    made = Fleet(places(8), [], 5)
    rows = entries(many)
    for first in range(0, len(rows), 900):
        made.change(rows[first : first + 900])
    made.run(2)

    def start() -> Document:
        document = Document()
        document.load(made.document)
        return document

    made.start = start
    for place in places(relays):
        made.join(place)
    made.run(5)
    return made


def spent(made: Fleet) -> tuple[float, float, float, float]:
    """Of a relay in the mean, then of the machine that did most: bytes and processor seconds."""
    many = max(1, len(made.relays))
    return (
        sum(relay.heard + relay.sent for relay in made.relays) / many,
        sum(relay.spent_ns for relay in made.relays) / many / 1e9,
        max(machine.sent for machine in made.machines),
        max(machine.spent_ns for machine in made.machines) / 1e9,
    )


def measure(small: bool) -> list[Series]:
    sizes = [8, 40] if small else [8, 40, 200, 600]
    found: dict[str, list[tuple[float, float]]] = {}

    def point(name: str, size: float, value: float) -> None:
        found.setdefault(name, []).append((size, value))

    for size in sizes:
        made = fleet(size)
        before = spent(made)
        gc.collect()
        made.run(QUIET)
        quiet = [(after - first) / QUIET for first, after in zip(before, spent(made), strict=True)]
        for name, value in zip(("relay.bytes", "relay.cpu", "machine.bytes", "machine.cpu"), quiet, strict=True):
            point(f"quiet.{name}", size, value)
        worst, before = 0.0, spent(made)
        for number in range(CHANGES):
            began = made.now
            made.change([(f"tenant/t{number:05d}", b'{"quota_per_s":%d}' % number)], number % 7)
            made.run(2.0)
            worst = max(worst, *(relay.in_force[-1][0] - began for relay in made.relays))
        busy = [after - first for first, after in zip(before, spent(made), strict=True)]
        point("change.in_force_everywhere", size, worst)
        for name, value, idle in zip(("relay.bytes", "relay.cpu_us"), busy, quiet, strict=False):
            scale = 1e6 if name.endswith("us") else 1
            point(f"change.{name}", size, max(0.0, (value - idle * 2.0 * CHANGES) / CHANGES * scale))
        # Before: the same change by a restart of all, a tenth at a time, each wave once the last one is back.
        began = made.now
        for wave in range(10):
            for relay in range(wave, size, 10):
                made.restart(relay, AWAY)
            made.run(AWAY + 0.02)
        point("before.in_force_everywhere", size, made.now - began)
        made.run(5)
        # A tenth restarts at once, then all of a zone's machines are lost, then a change is made.
        for relay in range(0, size, 10):
            made.restart(relay, 0.5)
        for number in (0, 4):
            made.kill(number)
        began = made.now
        made.change([("tenant/late", b'{"quota_per_s":1}')], 1)
        made.run(20)
        late = [relay.in_force[-1][0] - began for relay in made.relays if relay.in_force]
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
    return series + one(small)


def one(small: bool) -> list[Series]:
    """What one relay's document costs by entries."""
    counts = [650, 6_500] if small else [650, 6_500, LARGE]
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

        def take(
            document: Document = document, text: bytes = text, values: AppliedValues = values, key: str = data[0][0]
        ) -> None:
            document.version = 0
            document.apply(decode(text, Change))
            values.apply(document, [key])

        rows["change_us"].append((many, processor_us(take)))
        rows["snapshot"].append((many, sum(len(encode(document.bucket(n))) for n in range(4096))))
    units = {"memory": "MB", "load_us": "us", "change_us": "us", "snapshot": "B"}
    note = "one document, three quarters tenants, a quarter routes; traced"
    return [Series(SUBJECT, f"entries.{name}", units[name], "entries", points, note) for name, points in rows.items()]
