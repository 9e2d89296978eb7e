"""Measures the verdicts on many builds, half of them bad in one of seven ways: which are rolled back, and when.

Runs in the simulation, with the same builds and arrivals for each policy. Precision: share of bad builds among those
rolled back; recall: share of bad builds that were rolled back; both with Wilson's 95% intervals. Run by hand:
.venv/bin/python -m benchmarks.verdicts --builds 100 --relays 4
"""

from __future__ import annotations

import math
import multiprocessing
import statistics
from random import Random

import click
import msgspec

from lanelead.settings.scenario_settings import BuildOffer, Scenario
from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.simulation.baselines import POLICIES
from lanelead.testbed.simulation.fleet import SimulatedFleet

KINDS = ("errors", "lane", "slow", "load", "late", "wrong", "shared")
VOTERS = ("lanelead", "by clock", "error limit", "sequential")


def make_scenario(number: int, relays: int, rate: float) -> Scenario:
    """The scenario of one build; odd numbers are bad builds."""
    base, rng = load("bad-day"), Random(f"build {number}")
    bad = KINDS[number // 2 % len(KINDS)] if number % 2 else None
    offer = BuildOffer(
        at=3.0, strength=rng.uniform(0.1, 0.8), speed=1.0, bad=bad, lane="offer-submit" if bad == "lane" else None
    )
    poll = msgspec.structs.replace(base.service.poll, complaint_share=0.5)
    return msgspec.structs.replace(
        base,
        relays=relays,
        seconds=45.0,
        events=[],
        units=msgspec.structs.replace(base.units, count=12),
        clients=msgspec.structs.replace(base.clients, rate=rate),
        service=msgspec.structs.replace(base.service, poll=poll),
        desk=msgspec.structs.replace(base.desk, offers=[offer]),
    )


def run_build(job: tuple[int, int, float, str]) -> tuple[str, str | None, float | None, bool]:
    """The policy, how the build was bad, when it was rolled back, and whether it was promoted before."""
    number, relays, rate, policy = job
    fleet = SimulatedFleet(make_scenario(number, relays, rate), number, POLICIES[policy]).run()
    facts = fleet.recorder.files["desk"]
    offered = fleet.day.desk.offers[0]
    back = next((fact["t"] - 3603.0 for fact in facts if fact["ev"] == "sent_back"), None)
    released = any(fact["ev"] == "state" and fact["phase"] == "released" for fact in facts)
    return policy, offered.bad, back, released


def format_with_interval(hits: int, of: int) -> str:
    """A share with its Wilson 95% interval."""
    if not of:
        return "-"
    z, p = 1.96, hits / of
    middle, wide = p + z * z / 2 / of, z * math.sqrt(p * (1 - p) / of + z * z / 4 / of / of)
    low, high = (middle - wide) / (1 + z * z / of), (middle + wide) / (1 + z * z / of)
    return f"{p:.2f} ({low:.2f} to {high:.2f})"


@click.command()
@click.option("--builds", default=100)
@click.option("--relays", default=4)
@click.option("--rate", default=90.0)
@click.option("--procs", default=0)
def main(builds: int, relays: int, rate: float, procs: int) -> None:
    """Prints precision, recall and time to roll back for each policy."""
    jobs = [(number, relays, rate, policy) for policy in VOTERS for number in range(builds)]
    with multiprocessing.get_context("spawn").Pool(procs or None) as pool:
        rows = pool.map(run_build, jobs, chunksize=4)
    click.echo(f"{builds} builds, {relays} relays, {rate:g} requests a second")
    click.echo("policy | precision | recall | seconds to roll back, median | good builds promoted | recall by kind")
    for policy in VOTERS:
        policy_rows = [row for row in rows if row[0] == policy]
        back = [row for row in policy_rows if row[2] is not None]
        bad, good = [row for row in policy_rows if row[1]], [row for row in policy_rows if not row[1]]
        hits = [row for row in back if row[1]]
        kinds = ", ".join(
            f"{kind} {sum(row[1] == kind for row in hits)}/{sum(row[1] == kind for row in bad)}" for kind in KINDS
        )
        median_seconds = f"{statistics.median(row[2] for row in hits if row[2] is not None):.1f}" if hits else "-"
        promoted = sum(row[3] and row[2] is None for row in good)
        click.echo(
            f"{policy} | {format_with_interval(len(hits), len(back))} | {format_with_interval(len(hits), len(bad))} | "
            f"{median_seconds} | "
            f"{promoted} of {len(good)} | {kinds}"
        )


if __name__ == "__main__":
    main()
