"""Measures what the decision module alone costs one relay, by endpoints in one list and by services of 26 endpoints."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from statistics import median

from benchmarks.slopes.hollow_relay import RATE, RELAYS, ROLLOUT_STATE, UNITS, Meter, RelaySimulation
from benchmarks.slopes.series import Series, processor_us, traced_mb
from lanelead.decisions.interface import EndpointStatus, UpdateScope

SERVICES = (1, 10, 100, 300)
ENDPOINTS_PER_SERVICE = 26  # endpoints of one service
WARM, WINDOW, WINDOWS = 20.0, 5.0, 5  # virtual seconds; the scores' history is full after the warm-up
SETUP_NOTE = (
    f"decisions alone, virtual clock, {RELAYS} relays, letters tell, prices of connections on, {RATE} "
    "lookups a second at this relay whatever the units, each trip 250 ms, 1 of 100 ends in an error, three "
    "classes, three tenants, no collector"
)


def steady(make: Callable[[], RelaySimulation], small: bool) -> tuple[dict[str, float], RelaySimulation]:
    """Microseconds of each call, medians over windows; `lookup` is all that was spent on one request."""
    simulation, found = make(), list[dict[str, float]]()
    simulation.run(3 if small else WARM)
    for _ in range(3 if small else WINDOWS):
        simulation.meter.clear()
        asked = simulation.asked
        simulation.run(1 if small else WINDOW)
        found.append(figures(simulation.meter, simulation.asked - asked))
    return {name: median(one.get(name, 0.0) for one in found) for name in found[0]}, simulation


def figures(meter: Meter, asked: int) -> dict[str, float]:
    """Mean microseconds of each call, and of all calls for one request."""
    one = {name: meter.cpu_us(name) for name in meter.calls}
    parts = ("take", "outcome", "woken", "probed")
    one["lookup"] = sum(one[name] * meter.calls[name] for name in parts if name in one) / max(1, asked)
    return one


def change_us(simulation: RelaySimulation) -> float:
    """Microseconds of one change, as one endpoint is listed as draining and then as ready again."""
    unit, relay = simulation.units[len(simulation.units) // 2], simulation.relay
    rows = [
        simulation.listing(unit, ROLLOUT_STATE["build"], condition)
        for condition in (EndpointStatus.DRAINING, EndpointStatus.READY)
    ]

    def both() -> None:
        for row in rows:
            relay.endpoints_updated(UpdateScope.DELTA, [row])

    return processor_us(both) / 2


NOTES = {
    "choice": "take, up to its Send",
    "outcome": "ended, of one trip",
    "lookup": "take to its end, with the wakes and repeats that fell to it",
    "beat": "five a second at a relay that is no hub and no watcher; build released",
    "change": "one unit of one list, taken in by the decisions alone; between lookups, none under way",
    "trial.beat": "as beat, 8 units of 100 of a build on trial, in its first stage",
    "asking.lookup": "as lookup, but a probe costs 0.01: no letter tells and no connection is spared; from "
    "780 units on it asks two units first, whose answers come in a millisecond",
    "quiet.beat": "as beat, at one lookup in two seconds: without the scores' own work",
    "memory": "traced; all that the decisions hold, units and 20 s of lookups, no names, no driver",
}


def by_units(sizes: tuple[int, ...], small: bool) -> list[Series]:
    """Measures lists with these numbers of endpoints."""
    points = {name: list[tuple[float, float]]() for name in NOTES}
    for size in sizes:
        found, simulation = steady(partial(RelaySimulation, size), small)
        found |= {"choice": found["take"], "change": change_us(simulation)}
        found["trial.beat"] = steady(partial(RelaySimulation, size, canary_share=0.08), small)[0]["beat"]
        found["asking.lookup"] = steady(partial(RelaySimulation, size, probe=0.01), small)[0]["lookup"]
        found["quiet.beat"] = steady(partial(RelaySimulation, size, rate=0.5), small)[0]["beat"]
        found["memory"] = traced_mb(partial(after_requests, size, 2 if small else WARM))[0]
        for name, rows in points.items():
            rows.append((size, round(found[name], 3)))
    return [
        Series("decisions", name, "MB" if name == "memory" else "us", "units", rows, f"{NOTES[name]}; {SETUP_NOTE}")
        for name, rows in points.items()
    ]


def after_requests(units: int, seconds: float) -> RelaySimulation:
    """A simulation that has run for so many seconds."""
    simulation = RelaySimulation(units)
    simulation.run(seconds)
    return simulation


def by_services(sizes: tuple[int, ...], small: bool) -> list[Series]:
    """Measures relays with one decision module for each service, each with its own list; the rate is split evenly."""
    points = {name: list[tuple[float, float]]() for name in ("lookup", "beat", "change", "memory")}
    for size in sizes:
        meter = Meter()
        held, simulations = traced_mb(partial(service_simulations, size, meter))
        found = list[dict[str, float]]()
        for turn in range(2 if small else 8):  # the first turns are a warm-up
            meter.clear()
            asked = sum(simulation.asked for simulation in simulations)
            for _ in range(10 if small else 25):  # in turns, so that a service's state is no longer in the CPU cache
                for simulation in simulations:
                    simulation.run(0.2)
            if turn >= (1 if small else 3):
                found.append(figures(meter, sum(simulation.asked for simulation in simulations) - asked))
        one = {name: median(each[name] for each in found) for name in ("lookup", "beat")}
        one |= {"beat": size * one["beat"], "change": change_us(simulations[0]), "memory": held}
        for name, rows in points.items():
            rows.append((size, round(one[name], 3)))
    none = (
        f"nothing carries services yet: one Relay a service of {ENDPOINTS_PER_SERVICE} units, {RATE} lookups a second "
        f"split evenly over the services that this relay uses; decisions alone, {RELAYS} relays, virtual clock"
    )
    notes = {
        "lookup": "as by units",
        "beat": "the beats of all of them, once",
        "change": "one unit of one of them",
        "memory": "traced; units as listed, no lookup yet",
    }
    return [
        Series(
            "decisions",
            f"services.{name}",
            "MB" if name == "memory" else "us",
            "services",
            rows,
            f"{notes[name]}; {none}",
        )
        for name, rows in points.items()
    ]


def service_simulations(services: int, meter: Meter) -> list[RelaySimulation]:
    """One simulation for each service."""
    return [RelaySimulation(ENDPOINTS_PER_SERVICE, RATE / services, meter=meter) for _ in range(services)]


def measure(small: bool) -> list[Series]:
    """Makes all measurements and returns the series."""
    return [
        *by_units((26, 150) if small else UNITS, small),
        *by_services((1, 4) if small else SERVICES, small),
    ]
