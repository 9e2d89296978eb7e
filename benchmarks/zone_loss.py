"""Simulates loss and return of a zone in virtual time: measured spillover and three other policies, over many seeds.

For each policy it prints the value earned in the 5 s after the loss, and from then to the return, as a share of the
best possible with the remaining capacity; the largest ratio of load to limit at a returning endpoint; endpoints that
failed from overload; and swings of the home zone's share after the return. Runs are spread over all cores; each policy
gets the same arrivals. `--plot FILE` draws spillover and return over time.

Run by hand: .venv/bin/python -m benchmarks.zone_loss --runs 100
"""

from __future__ import annotations

import multiprocessing
import statistics
import time
from dataclasses import replace
from itertools import pairwise
from random import Random
from typing import Any

import click

from lanelead.testbed.simulation.decision_loop import World
from lanelead.testbed.simulation.hosts import Plan
from lanelead.testbed.simulation.policies import POLICIES

SCENARIOS: dict[str, tuple[tuple[float, str, str, float], ...]] = {
    "lost": ((12, "lost", "a", 1.0), (22, "back", "a", 1.0)),
    "lost, back, lost, back": (
        (12, "lost", "a", 1.0),
        (18, "back", "a", 1.0),
        (22, "lost", "a", 1.0),
        (27, "back", "a", 1.0),
    ),
    "silent": ((12, "silent", "a", 1.0), (24, "back", "a", 1.0)),
    "half": ((12, "lost", "a", 0.5), (22, "back", "a", 0.5)),
    "slow": ((12, "slow", "a", 1.0), (24, "back", "a", 1.0)),
    "two of three": (
        (12, "lost", "a", 1.0),
        (13, "lost", "b", 1.0),
        (22, "back", "a", 1.0),
        (25, "back", "b", 1.0),
    ),
}
NAMES = ["measured", *POLICIES]


def run_scene(job: tuple[Plan, str, str, int]) -> dict[str, Any]:
    """Makes one run and returns its figures."""
    plan, scenario, policy, seed = job
    plan = replace(plan, load=Random(f"load {seed}").uniform(0.3, 0.6), events=SCENARIOS[scenario])
    world = World(plan, seed, POLICIES.get(policy)).run()
    back = next(at for at, what, _, _ in SCENARIOS[scenario] if what == "back")
    first = SCENARIOS[scenario][0][0]
    gone = [part for at, what, _, part in SCENARIOS[scenario] if what in ("lost", "silent") and at < back]
    lost = sum(gone) / len(plan.zones)
    left = 1 - (lost if scenario != "slow" else 5 / 6 / len(plan.zones))
    best = min(1.0, left / plan.load)
    home = [world.sends.get(("a", "a"), [0] * 100), world.sends.get(("a", "b"), [0] * 100)]
    home.append(world.sends.get(("a", "c"), [0] * 100))
    shares = [home[0][s] / max(1, sum(row[s] for row in home)) for s in range(int(back) + 1, int(plan.seconds))]
    swings = sum(1 for before, after in pairwise(shares) if after < before - 0.25)
    settled = next((n for n, share in enumerate(shares) if share > 0.9), len(shares))
    return {
        "scene": scenario,
        "policy": policy,
        "first": world.value(first, first + 5) / best,
        "then": world.value(first + 5, back) / best,
        "after": world.value(back, back + 8),
        "worst": world.worst(),
        "fallen": sum(machine.fallen for machine in world.machines),
        "swings": swings,
        "settled": settled,
        "home": home,
        "plan": plan,
    }


def fifth_percentile(rows: list[float]) -> float:
    """The fifth percentile."""
    return sorted(rows)[len(rows) // 20]


@click.command()
@click.option("--runs", default=40, help="Number of seeds for each scenario and policy.")
@click.option("--relays", default=60)
@click.option("--units", default=18)
@click.option("--scenes", default="", help="Run only scenarios whose names contain this text.")
@click.option("--policies", default="", help="Run only policies whose names contain this text.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Draw the runs of each scenario to this file.")
@click.option("--procs", default=0, help="Number of processes; 0 for one on each core.")
def main(runs: int, relays: int, units: int, scenes: str, policies: str, plot: str | None, procs: int) -> None:
    """Prints the figures of each scenario and policy."""
    plan = Plan(relays=relays, units=units, seconds=40)
    chosen = [scenario for scenario in SCENARIOS if scenes in scenario]
    names = [name for name in NAMES if policies in name]
    jobs = [(plan, scenario, name, seed) for scenario in chosen for name in names for seed in range(1, runs + 1)]
    began, found = time.perf_counter(), list[dict[str, Any]]()
    with multiprocessing.Pool(procs or None) as pool:
        for row in pool.imap_unordered(run_scene, jobs, chunksize=2):
            found.append(row)
    click.echo(f"{len(jobs)} runs of {relays} relays and {units} endpoints, load 0.3 to 0.6")
    click.echo(
        "scenario | policy | first 5 s: mean, 5th percentile | until return | after | worst/limit | overloaded | swings"
    )
    for scenario in chosen:
        for name in names:
            rows = [row for row in found if (row["scene"], row["policy"]) == (scenario, name)]
            means = {key: statistics.mean(row[key] for row in rows) for key in ("first", "then", "after")}
            click.echo(
                f"{scenario} | {name} | {means['first']:.3f}, {fifth_percentile([row['first'] for row in rows]):.3f} | "
                f"{means['then']:.3f} | {means['after']:.3f} | {max(row['worst'] for row in rows):.2f} | "
                f"{sum(row['fallen'] > 0 for row in rows)} of {len(rows)} runs | "
                f"{statistics.mean(row['swings'] for row in rows):.2f}"
            )
    click.echo(f"(took {time.perf_counter() - began:.0f} s here)", err=True)
    if plot is not None:
        draw(found, chosen, names, plot)


def draw(found: list[dict[str, Any]], scenes: list[str], names: list[str], file: str) -> None:
    """Draws seed 1 of each scenario and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(scenes), len(names), figsize=(4 * len(names), 2.2 * len(scenes)), squeeze=False)
    for line, scenario in enumerate(scenes):
        for column, name in enumerate(names):
            row = next(row for row in found if (row["scene"], row["policy"]) == (scenario, name))
            axis, seconds = axes[line][column], range(int(row["plan"].seconds))
            for series, zone in zip(row["home"], "abc", strict=True):
                axis.plot(seconds, [series[s] for s in seconds], label=f"to {zone}", linewidth=1)
            for at, what, zone, _ in SCENARIOS[scenario]:
                axis.axvline(at, color="0.6", linewidth=0.7, linestyle=":" if what == "back" else "--")
                axis.annotate(zone, (at, axis.get_ylim()[1]), fontsize=6)
            axis.set_title(f"{scenario}: {name}", fontsize=8)
            axis.tick_params(labelsize=6)
    axes[0][0].legend(fontsize=6)
    figure.supxlabel("seconds; dashed: lost, dotted: back", fontsize=8)
    figure.supylabel("attempts a second of the relays of zone a", fontsize=8)
    figure.tight_layout()
    figure.savefig(file, dpi=70)


if __name__ == "__main__":
    main()
