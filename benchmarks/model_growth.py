"""Measures the cost of the simulation: events, time for each simulated request and memory, as relays grow.

Also compares its event loop with simpy's. Run by hand: .venv/bin/python -m benchmarks.model_growth
"""

from __future__ import annotations

import multiprocessing
import resource
import time
from random import Random
from typing import Any

import click
import msgspec

from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.simulation.clock import Clock
from lanelead.testbed.simulation.fleet import SimulatedFleet


def make_scenario(relays: int, units: int, rate: float, seconds: float) -> Scenario:
    """The service of `bad-day` with one good build and no other events."""
    base = load("bad-day")
    return msgspec.structs.replace(
        base,
        relays=relays,
        seconds=seconds,
        events=[],
        units=msgspec.structs.replace(base.units, count=units),
        clients=msgspec.structs.replace(base.clients, rate=rate),
        desk=msgspec.structs.replace(base.desk, offers=base.desk.offers[:1]),
    )


def run_job(job: tuple[int, int, float, float]) -> dict[str, Any]:
    """Runs one simulation and returns its figures."""
    fleet = SimulatedFleet(make_scenario(*job), 1, silent=True)
    began = time.perf_counter()
    fleet.run()
    took = time.perf_counter() - began
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return {
        "took": took,
        "events": fleet.clock.done,
        "asked": fleet.counts.asked,
        "mb": memory,
        "service": fleet.value_share(),
    }


def measure_event_heap(timers: int) -> float:
    """Events a second of the simulation's event loop."""
    clock, rng, left = Clock(), Random(1), timers

    def tick() -> None:
        nonlocal left
        left -= 1
        if left > 0:
            clock.later(rng.random(), tick)

    for _ in range(1000):
        clock.later(rng.random(), tick)
    began = time.perf_counter()
    clock.run(float(timers))
    return clock.done / (time.perf_counter() - began)


def measure_simpy(timers: int) -> float:
    """Events a second of simpy."""
    import simpy

    world, rng, left, done = simpy.Environment(), Random(1), timers, 0

    def process() -> Any:
        nonlocal left, done
        while left > 0:
            yield world.timeout(rng.random())
            left -= 1
            done += 1

    for _ in range(1000):
        world.process(process())
    began = time.perf_counter()
    world.run()
    return done / (time.perf_counter() - began)


@click.command()
@click.option("--seconds", default=20.0)
def main(seconds: float) -> None:
    """Prints the comparison and the costs by number of relays."""
    rates = [(measure_event_heap(400_000), measure_simpy(400_000)) for _ in range(3)]
    ratios = sorted(ours / theirs for ours, theirs in rates)
    click.echo(f"events a second, as a multiple of simpy's: {ratios[1]:.2f} ({ratios[0]:.2f} to {ratios[2]:.2f})")
    click.echo("relays x endpoints, requests a second | events a request | relative cost a request | MB | service")
    base = None
    with multiprocessing.get_context("spawn").Pool(1, maxtasksperchild=1) as pool:
        for job in (
            (10, 20, 200.0, seconds),
            (100, 40, 500.0, seconds),
            (400, 80, 1000.0, seconds),
            (1000, 250, 2500.0, seconds / 4),
            (2000, 500, 5000.0, seconds / 4),
        ):
            row = pool.apply(run_job, (job,))
            cost = row["took"] / row["asked"]
            base = base or cost
            click.echo(
                f"{job[0]} x {job[1]}, {job[2]:g} | {row['events'] / row['asked']:.0f} | {cost / base:.2f} | "
                f"{row['mb']:.0f} | {row['service']:.3f} ({row['took']:.0f} s here for {job[3]:g} s)"
            )


if __name__ == "__main__":
    main()
