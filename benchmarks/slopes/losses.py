"""Measures the sudden loss of a zone's relays and endpoints, and a partition of the regions for an hour.

A zone is a quarter of the fleet. From one moment on its endpoints don't answer: attempts in flight time out, new ones
fail to connect. Its relays stop, and their clients go to other relays. Ten seconds later discovery reports the loss.
Gossip tells plain relays nothing of it, so each finds out by itself.
"""

from __future__ import annotations

import gc
from collections import Counter
from dataclasses import dataclass, field
from statistics import fmean
from typing import Any

from benchmarks.slopes.fleet import Fleet, Relay
from benchmarks.slopes.series import Series, resident_mb
from benchmarks.slopes.sizes import ZONES, Size, listing
from lanelead.decisions.interface import SECOND, AttemptOutcome
from lanelead.protocols.feeds import EndpointListMessage

SIZES, SMALL = ((8, 104), (40, 520), (200, 2600), (600, 7800)), ((8, 104), (40, 520))
# Discovery reports the loss at `NOTICE_SECOND`.
RATE, FULL_RELAYS, WARM_UP_SECONDS, NOTICE_SECOND, SECONDS_AFTER = 183.0, 17, 4.0, 10, 13
INTERVAL = SECOND // 4
APART_RELAYS, APART_RATE, HOUR_SECONDS = 12, 2.0, 3600
CHECKPOINTS = (10, 60, 300, 900, 1800, 3600)


@dataclass
class AttemptCounter:
    """Attempts by quarters of a second: all, and those at lost endpoints."""

    fleet: Fleet
    lost: dict[str, None]
    start: int = 0
    all: Counter[int] = field(default_factory=Counter)
    unreachable: Counter[int] = field(default_factory=Counter)

    def count(self, kind: str, relay: Relay, sendable: Any) -> None:
        """Counts the attempts of an event; a callback for `Fleet.on_event`."""
        at = (self.fleet.now - self.start) // INTERVAL
        for attempt in sendable:
            self.all[at] += 1
            self.unreachable[at] += relay.driver.registry.names.get(attempt.endpoint) in self.lost

    def seconds_until(self, part: float) -> float | None:
        """Seconds until attempts at lost endpoints fall to that part of their initial share.

        They have to stay there for a second; None if that is not seen.
        """
        first = sum(self.unreachable[at] for at in range(2)) / max(1, sum(self.all[at] for at in range(2)))
        last = max(self.all)
        for at in range(last - 3):
            some = range(at, at + 4)
            if sum(self.unreachable[n] for n in some) <= part * first * max(1, sum(self.all[n] for n in some)):
                return at * INTERVAL / SECOND
        return None


def zone_lost(relays: int, units: int) -> dict[tuple[str, str], float]:
    """Measures the loss of a zone in a fleet of this size."""
    whole = 0 if relays <= 40 else FULL_RELAYS
    fleet = Fleet(Size(relays, units, RATE, whole=whole), 1)
    fleet.run(WARM_UP_SECONDS)
    lost = {row.unit: None for row in fleet.rows if row.zone == "z0"}
    remaining = [relay for relay in fleet.relays if relay.number % ZONES]
    roles = {role: [one for one in some if one in remaining] for role, some in fleet.roles.items()}

    def seconds(count: int) -> dict[str, list[dict[str, float]]]:
        rows: dict[str, list[dict[str, float]]] = {role: [] for role in roles}
        for _ in range(count):
            fleet.reset()
            fleet.run(1.0)
            for role, some in roles.items():
                rows[role].append(
                    {
                        "cpu": fmean(relay.cpu_us() for relay in some) / 1e6,
                        "list.cpu": fmean(relay.cpu_us("list") for relay in some),
                        "bytes": fmean(relay.sent["bytes"] + relay.received["bytes"] for relay in some),
                        "asked": fmean(relay.request_count for relay in some),
                    }
                )
        return rows

    before = seconds(2)
    counter = AttemptCounter(fleet, lost, fleet.now)
    fleet.on_event = counter.count
    fleet.endpoint_reachable = lambda relay, unit: unit not in lost
    for relay in fleet.relays:
        if relay not in remaining:
            fleet.stop(relay)
    fleet.load_factor = ZONES / (ZONES - 1)
    removed = [row for row in listing(units, condition="gone") if row.unit in lost]
    for relay in remaining:
        fleet.at(
            fleet.now + NOTICE_SECOND * SECOND, "list", relay.number, EndpointListMessage("changes", 2, 0.0, removed)
        )
    after = seconds(SECONDS_AFTER)
    table: dict[tuple[str, str], float] = {}
    for role in roles:
        for what, unit in (("cpu", "share"), ("bytes", "B/s")):
            calm, wild = before[role], after[role]
            table[f"zone.{role}.{what}.before", unit] = fmean(row[what] for row in calm)
            table[f"zone.{role}.{what}.after", unit] = fmean(row[what] for row in wild[:NOTICE_SECOND])
            table[f"zone.{role}.{what}.worst", unit] = max(row[what] for row in wild)
        table[f"zone.{role}.list.cpu", "us"] = sum(row["list.cpu"] for row in after[role])
    for name, part in (("half", 0.5), ("tenth", 0.1)):
        if (took := counter.seconds_until(part)) is not None:
            table[f"zone.vain.{name}", "s"] = took
    for second in (1, 3, 9):
        some = range(4 * (second - 1), 4 * second)
        share = sum(counter.unreachable[at] for at in some) / max(1, sum(counter.all[at] for at in some))
        table[f"zone.vain.share.{second}", "share"] = share
    return table


def region(number: int) -> int:
    """The region of a relay or zone."""
    return number % ZONES // 2


def sizes(fleet: Fleet) -> dict[str, float]:
    """Entries in a relay's tables, the largest of all relays."""

    def most(count: Any) -> float:
        return float(max(count(relay) for relay in fleet.relays))

    return {
        "told": most(lambda relay: len(relay.decisions._fleet_in_flight._by_peer)),
        "others": most(lambda relay: len(relay.decisions._fleet_in_flight._others)),
        "windows": most(lambda relay: len(relay.decisions._scoring.history.windows)),
        "tickets": most(lambda relay: len(relay.driver.pending)),
        "timers": most(lambda relay: len(relay.driver._timers.heap)),
        "places": most(lambda relay: len(relay.driver.destinations)),
    }


def regions_apart(hour: int) -> list[Series]:
    """Measures a partition between the regions, while discovery still lists all endpoints."""
    units = APART_RELAYS * 13
    fleet = Fleet(Size(APART_RELAYS, units, APART_RATE), 1, uniform=True)
    regions = {row.unit: region(int(row.zone[1:])) for row in fleet.rows}
    fleet.run(10.0)
    steady: dict[str, dict[str, float]] = {}

    def attempt_counts() -> tuple[int, int]:
        counts = [relay.driver.counters for relay in fleet.relays]
        unreachable = sum(count.outcomes.get(AttemptOutcome.CONNECT_FAILED, 0) for count in counts)
        return sum(count.attempts for count in counts), unreachable

    def span(name: str, seconds: float) -> None:
        fleet.reset()
        before = attempt_counts()
        fleet.run(seconds)
        after, some = attempt_counts(), fleet.relays
        steady[name] = {
            "vain": (after[1] - before[1]) / max(1, after[0] - before[0]),
            "cpu": fmean(relay.cpu_us() for relay in some) / 1e6 / seconds,
            "bytes": fmean(relay.sent["bytes"] for relay in some) / seconds,
        }

    span("before", 20.0)
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    fleet.link_up = lambda sender, to: region(sender) == region(to)
    fleet.endpoint_reachable = lambda relay, unit: region(relay) == regions[unit]
    cut = fleet.now
    for checkpoint in (checkpoint for checkpoint in CHECKPOINTS if checkpoint <= hour):
        span("apart", checkpoint - (fleet.now - cut) / SECOND)
        gc.collect()
        points.setdefault(("apart.memory", "MB"), []).append((checkpoint, resident_mb()))
        for what, value in sizes(fleet).items():
            points.setdefault((f"apart.{what}", "count"), []).append((checkpoint, value))
        for what, value in steady["apart"].items():
            unit = "B/s" if what == "bytes" else "share"
            points.setdefault((f"apart.{what}", unit), []).append((checkpoint, value))
    fleet.link_up, fleet.endpoint_reachable = (lambda sender, to: True), (lambda relay, unit: True)
    span("reunion", 5.0)
    span("later", 20.0)
    said = (
        f"hollow, {APART_RELAYS} whole relays, 13 units and {APART_RATE:g} requests a second a relay; letters and "
        "attempts between regions fail from 0 on; discovery goes on to list all units; memory is the whole "
        "process'; entries are the largest table of any relay; vain: attempts at units out of reach"
    )
    found = [Series("losses", name, unit, "seconds apart", row, said) for (name, unit), row in points.items()]
    for name, unit in (("cpu", "share"), ("bytes", "B/s")):
        phases = enumerate(("before", "reunion", "later"), 1)
        row = [(float(place), steady[when][name]) for place, when in phases]
        said = "the same fleet: 1 before the cut, 2 the first 5 s of the reunion, 3 the 20 s after"
        found.append(Series("losses", f"reunion.{name}", unit, "phase", row, said))
    return found


def measure(small: bool) -> list[Series]:
    """Makes all measurements and returns the series."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    regions = regions_apart(300 if small else HOUR_SECONDS)  # first, as it measures the memory of the whole process
    for relays, units in SMALL if small else SIZES:
        for at, value in zone_lost(relays, units).items():
            points.setdefault(at, []).append((relays, value))
        print(f"losses {relays}", flush=True)
    said = (
        "hollow; zone 0 of 4 lost at 0, told by discovery at 10 s; 13 units a relay, 183 requests a second a "
        "relay, a third more after; units without limits of their own; whole up to 40 relays, else 17 whole, "
        "of which 5 stop, and echoes; share of attempts at lost units in the 1st, 3rd, 9th s; half, tenth: "
        "seconds until it has fallen to that part for a second; 10 s means that only discovery's word did it"
    )
    found = [Series("losses", name, unit, "relays", row, said) for (name, unit), row in points.items()]
    return found + regions
