"""Letters between relays by the number of relays: what a plain relay, a watcher and a hub send, hear and pay
for, which part of what is known reaches a relay, and how old it is when it is used.

Thirteen units a relay. Up to `FULL` relays all are whole; above it seventeen are (four hubs, three watchers,
ten plain ones) and the others are echoes (`fleet.py`); `echo.*` holds one against the other at 40 relays.
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

UNITS = 13  # a relay
SIZES, SMALL = (8, 9, 12, 20, 40, 100, 200, 400, 600), (8, 40)
FULL, WHOLE = 40, 17
PEAK, LOW = 183.0, 18.3  # requests a second a relay
WARM, SPAN = 3.0, 4.0  # virtual seconds
SCORED = 21  # seconds of outcomes that the scores hold
LETTERS = ("heard", "beat")  # the events that letters cost: a beat tells, adds up and judges
FIXED = (
    "13 units a relay, {rate:g} requests a second a relay with uneven shares, answers after 85 ms in the "
    "mean; probe 0.08, handshake 0.02, 7 watchers; hollow sockets, units, clients; letters take 2 to 14 ms, "
    "none lost; counts are a second, bytes are datagrams' payload and checksum without UDP's and IP's heads; "
    "units told may have none out any more; all relays whole up to 40, 17 above, the others echoes"
)


@dataclass
class Seen:
    """What plain relays know while they choose."""

    age: list[float] = field(default_factory=list)  # s, of loads at the time of a choice
    units: list[float] = field(default_factory=list)  # units told of over units in use
    trips: list[float] = field(default_factory=list)  # trips told of over trips out

    def watch(self, fleet: Fleet) -> Callable[[str, Relay, Any], None]:
        hub, plain = fleet.relays[0], dict.fromkeys(fleet.roles["plain"])
        said: dict[Relay, int] = {}
        held = 0.0

        def seen(kind: str, relay: Relay, sendable: Any) -> None:
            nonlocal held
            out = relay.decisions._fleet_in_flight
            if relay is hub and kind == "beat":
                told = [fleet.now - at for at, _ in out._by_peer.values()]
                held = fmean(told) / SECOND if told else 0.0
            elif relay in plain and kind == "take" and sendable and out._updated_at > fleet.now - SECOND:
                self.age.append((fleet.now - out._updated_at) / SECOND + held)
            elif relay in plain and kind == "heard" and said.get(relay) != out._updated_at:
                said[relay] = out._updated_at
                others = hub.decisions._fleet_in_flight._others
                whole = {unit: others.get(unit, 0) + len(unit.in_flight) for unit in hub.decisions._endpoints.ready}
                known = {server: many + len(server.in_flight) for server, many in out._others.items()}
                if used := sum(many > 0 for many in whole.values()):
                    self.units.append(sum(many > 0 for many in known.values()) / used)
                    self.trips.append(sum(known.values()) / sum(whole.values()))

        return seen


@dataclass
class Measured:
    fleet: Fleet
    seen: Seen
    span: float

    def mean(self, role: str, of: Callable[[Relay], float]) -> float | None:
        some = self.fleet.roles.get(role, [])
        return fmean(of(relay) for relay in some) / self.span if some else None

    def table(self, role: str) -> dict[tuple[str, str], float | None]:
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
    fleet, seen = Fleet(size, seed), Seen()
    fleet.run(warm)
    fleet.reset()
    if size.relays > 8:
        fleet.on_event = seen.watch(fleet)
    fleet.run(span)
    return Measured(fleet, seen, span)


def size_of(relays: int, rate: float, whole: int = 0) -> Size:
    return Size(relays, UNITS * relays, rate, whole=whole or (0 if relays <= FULL else WHOLE))


def hub_memory(relays: int, scored: bool) -> float:
    """Of one relay's own objects, traced: list, decisions, and (`scored`) what a hub or watcher keeps of the
    outcomes that it hears of, each lane at each unit in each second."""

    def make() -> Fleet:
        fleet = Fleet(Size(relays, UNITS * relays, 0.0, whole=1), 1)
        driver = fleet.relays[0].driver
        for second in range(SCORED if scored else 0):
            fleet.now = CLOCK_START_TICKS + second * SECOND
            for request_class in driver.request_classes.values():
                seen = [OutcomeObservation(unit, request_class, 1, 7, [0] * 5) for unit in driver.destinations]
                for text in encode_gossip(seen, list(driver.request_classes.values())):
                    driver.gossip_received(relays - 1, text)
        return fleet

    return traced_mb(make)[0]


def measure(small: bool) -> list[Series]:
    assert abs(fmean(RATE_SHARES) - 1) < 1e-9
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}

    def note(name: str, unit: str, note: str, size: float, value: float | None) -> None:
        if value:  # plain relays hear no sightings above 8: nothing has no place among logarithms
            points.setdefault((name, unit, note), []).append((size, value))

    for rate, name in ((PEAK, "peak"), (LOW, "low")):
        fixed = FIXED.format(rate=rate)
        for relays in SMALL if small else SIZES:
            found = play(size_of(relays, rate))
            for role in ("plain", "watcher", "hub"):
                for (what, unit), value in found.table(role).items():
                    note(f"{name}.{role}.{what}", unit, fixed, relays, value)
            seen = found.seen
            for what, unit, row in (
                ("told.units", "share", seen.units),
                ("told.trips", "share", seen.trips),
                ("told.age", "s", seen.age),
            ):
                note(f"{name}.{what}", unit, fixed, relays, fmean(row) if row else None)
            print(f"letters {name} {relays}", flush=True)
    for whole in (WHOLE, 40):
        check = play(size_of(40, LOW, whole))
        for (what, unit), value in check.table("hub").items():
            said = "by whole relays, of 40: the same figure of one hub, so that echoes can be trusted or not"
            note(f"echo.hub.{what}", unit, said, whole, value)
    for relays in SMALL if small else (8, 40, 200, 600):
        said = "13 units a relay; Python objects of one relay's modules, without interpreter and sockets"
        note("memory.plain", "MB", said, relays, hub_memory(relays, False))
        heard = said + "; each lane at each unit seen in each of 21 s, as letters tell at the peak"
        note("memory.hub", "MB", heard, relays, hub_memory(relays, True))
    return [Series("letters", name, unit, "relays", row, said) for (name, unit, said), row in points.items()]
