"""Measures gossip by number of relays: what a plain relay, a watcher and a hub send, receive and spend on it.

Also measures which share of what is known reaches a relay, and how old it is when used. There are thirteen endpoints
for each relay. Up to `ALL_FULL_UP_TO` relays all are full relays; above it seventeen are (four hubs, three watchers,
ten plain ones) and the others are echoes (see `fleet.py`). `echo.*` compares both at 40 relays.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import fmean
from typing import Any

from benchmarks.slopes.fleet import RATE_SHARES, Fleet, Relay
from benchmarks.slopes.series import Series, traced_mb
from benchmarks.slopes.sizes import Size
from lanelead.decisions.interface import SECOND, OutcomeObservation
from lanelead.runtime.gossip_codec import encode_gossip
from lanelead.runtime.loop_clock import CLOCK_START_TICKS

UNITS = 13  # for each relay
SIZES, SMALL = (8, 9, 12, 20, 40, 100, 200, 400, 600), (8, 40)
ALL_FULL_UP_TO, FULL_RELAYS = 40, 17
PEAK_RATE, LOW_RATE = 183.0, 18.3  # requests a second a relay
WARM, SPAN = 3.0, 4.0  # virtual seconds
SCORE_SECONDS = 21  # seconds of outcomes that the scores are computed from
GOSSIP_EVENTS = ("heard", "beat")  # events with the cost of gossip; a `beat` sends, sums up and evaluates
SETUP_NOTE = (
    "13 units a relay, {rate:g} requests a second a relay with uneven shares, answers after 85 ms in the "
    "mean; probe 0.08, handshake 0.02, 7 watchers; hollow sockets, units, clients; letters take 2 to 14 ms, "
    "none lost; counts are a second, bytes are datagrams' payload and checksum without UDP's and IP's heads; "
    "units told may have none out any more; all relays whole up to 40, 17 above, the others echoes"
)


@dataclass
class GossipKnowledge:
    """What plain relays know of the fleet when they choose an endpoint."""

    age: list[float] = field(default_factory=list)  # seconds, of in-flight counts when they are used
    units: list[float] = field(default_factory=list)  # endpoints known to be in use / endpoints in use
    trips: list[float] = field(default_factory=list)  # attempts known of / attempts in flight

    def watch(self, fleet: Fleet) -> Callable[[str, Relay, Any], None]:
        """A callback for `Fleet.on_event` that records what is known at each event."""
        hub, plain = fleet.relays[0], dict.fromkeys(fleet.roles["plain"])
        note_text: dict[Relay, int] = {}
        report_age = 0.0

        def seen(kind: str, relay: Relay, sendable: Any) -> None:
            nonlocal report_age
            out = relay.decisions._fleet_in_flight
            if relay is hub and kind == "beat":
                told = [fleet.now - at for at, _ in out._by_peer.values()]
                report_age = fmean(told) / SECOND if told else 0.0
            elif relay in plain and kind == "take" and sendable and out._updated_at > fleet.now - SECOND:
                self.age.append((fleet.now - out._updated_at) / SECOND + report_age)
            elif relay in plain and kind == "heard" and note_text.get(relay) != out._updated_at:
                note_text[relay] = out._updated_at
                others = hub.decisions._fleet_in_flight._others
                whole = {unit: others.get(unit, 0) + len(unit.in_flight) for unit in hub.decisions._endpoints.ready}
                known = {server: many + len(server.in_flight) for server, many in out._others.items()}
                if used := sum(many > 0 for many in whole.values()):
                    self.units.append(sum(many > 0 for many in known.values()) / used)
                    self.trips.append(sum(known.values()) / sum(whole.values()))

        return seen


@dataclass
class Measured:
    """A measured fleet and the length of the measurement in seconds."""

    fleet: Fleet
    seen: GossipKnowledge
    span: float

    def mean(self, role: str, of: Callable[[Relay], float]) -> float | None:
        """Mean of a count over the relays of a role, by second; None if there are no such relays."""
        some = self.fleet.roles.get(role, [])
        return fmean(of(relay) for relay in some) / self.span if some else None

    def table(self, role: str) -> dict[tuple[str, str], float | None]:
        """The figures of a role by name and unit."""
        return {
            ("sent.letters", "count"): self.mean(role, lambda relay: relay.sent["letters"]),
            ("heard.letters", "count"): self.mean(role, lambda relay: relay.received["letters"]),
            ("sent.bytes", "B/s"): self.mean(role, lambda relay: relay.sent["bytes"]),
            ("heard.bytes", "B/s"): self.mean(role, lambda relay: relay.received["bytes"]),
            ("heard.bytes.sightings", "B/s"): self.mean(role, lambda relay: relay.received_parts["sightings"]),
            ("heard.bytes.loads", "B/s"): self.mean(role, lambda relay: relay.received_parts["loads"]),
            ("heard.cpu", "share"): self.mean(role, lambda relay: relay.cpu_us("heard") / 1e6),
            ("beat.cpu", "share"): self.mean(role, lambda relay: relay.cpu_us("beat") / 1e6),
            ("requests.cpu", "share"): self.mean(role, lambda relay: relay.cpu_us("take", "ended", "timer") / 1e6),
        }


def play(size: Size, warm: float = WARM, span: float = SPAN, seed: int = 1) -> Measured:
    """Runs a fleet, first for `warm` seconds without and then for `span` seconds with measurement."""
    fleet, seen = Fleet(size, seed), GossipKnowledge()
    fleet.run(warm)
    fleet.reset()
    if size.relays > 8:
        fleet.on_event = seen.watch(fleet)
    fleet.run(span)
    return Measured(fleet, seen, span)


def size_of(relays: int, rate: float, whole: int = 0) -> Size:
    """The size of a fleet with so many relays."""
    return Size(relays, UNITS * relays, rate, whole=whole or (0 if relays <= ALL_FULL_UP_TO else FULL_RELAYS))


def hub_memory(relays: int, scored: bool) -> float:
    """Memory of one relay's objects, MB: endpoint list, decisions and, with `scored`, outcomes.

    The outcomes are those that a hub or watcher keeps: of each request class at each endpoint in each second.
    """

    def make() -> Fleet:
        fleet = Fleet(Size(relays, UNITS * relays, 0.0, whole=1), 1)
        driver = fleet.relays[0].driver
        for second in range(SCORE_SECONDS if scored else 0):
            fleet.now = CLOCK_START_TICKS + second * SECOND
            for request_class in driver.request_classes.values():
                seen = [OutcomeObservation(unit, request_class, 1, 7, [0] * 5) for unit in driver.destinations]
                for text in encode_gossip(seen, list(driver.request_classes.values())):
                    driver.gossip_received(relays - 1, text)
        return fleet

    return traced_mb(make)[0]


def measure(small: bool) -> list[Series]:
    """Measures all sizes and returns the series."""
    assert abs(fmean(RATE_SHARES) - 1) < 1e-9
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def note(name: str, unit: str, note: str, size: float, value: float | None) -> None:
        if value:  # plain relays receive no outcomes above 8 relays, and 0 has no logarithm
            points.setdefault((name, unit, note), []).append((size, value))

    for rate, name in ((PEAK_RATE, "peak"), (LOW_RATE, "low")):
        fixed = SETUP_NOTE.format(rate=rate)
        for relays in SMALL if small else SIZES:
            measured = play(size_of(relays, rate))
            for role in ("plain", "watcher", "hub"):
                for (what, unit), value in measured.table(role).items():
                    note(f"{name}.{role}.{what}", unit, fixed, relays, value)
            seen = measured.seen
            for what, unit, row in (
                ("told.units", "share", seen.units),
                ("told.trips", "share", seen.trips),
                ("told.age", "s", seen.age),
            ):
                note(f"{name}.{what}", unit, fixed, relays, fmean(row) if row else None)
            print(f"letters {name} {relays}", flush=True)
    for whole in (FULL_RELAYS, 40):
        check = play(size_of(40, LOW_RATE, whole))
        for (what, unit), value in check.table("hub").items():
            note_text = "by whole relays, of 40: the same figure of one hub, so that echoes can be trusted or not"
            note(f"echo.hub.{what}", unit, note_text, whole, value)
    for relays in SMALL if small else (8, 40, 200, 600):
        note_text = "13 units a relay; Python objects of one relay's modules, without interpreter and sockets"
        note("memory.plain", "MB", note_text, relays, hub_memory(relays, False))
        heard = note_text + "; each lane at each unit seen in each of 21 s, as letters tell at the peak"
        note("memory.hub", "MB", heard, relays, hub_memory(relays, True))
    return [Series("letters", name, unit, "relays", row, note_text) for (name, unit, note_text), row in points.items()]
