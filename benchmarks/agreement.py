"""Compares the same scenarios on sockets and in the simulation, with the spread over seeds.

For each scenario it prints the service, the share of rejected requests, median and 99th percentile of answer times,
attempts for each request, and when builds were promoted or rolled back. Run it by hand, on a machine without other
load:
.venv/bin/python -m benchmarks.agreement --seeds 3
"""

from __future__ import annotations

import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.scenarios.rules.recording import Recording
from lanelead.testbed.scenarios.rules.verifier import verify
from lanelead.testbed.simulation.fleet import SimulatedFleet

SCENARIOS = (
    "crash",
    "slow",
    "neighbour",
    "vanish",
    "burst",
    "cut",
    "bad-build-errors",
    "bad-build-slow",
    "balancer-roll",
    "zone-loss",
)
NAMES = (
    "service",
    "rejected share",
    "p50 ms",
    "p99 ms",
    "attempts a request",
    "promoted s",
    "rolled back s",
    "rules broken",
)


def figures(folder: Path) -> list[float]:
    """The figures of one recorded run, in the order of `NAMES`."""
    verdict, capture = verify(folder), Recording(folder)
    times = sorted(fact["took"] * 1000 for fact in capture["answer"] if fact["outcome"] == "done")
    build = verdict.builds[0] if verdict.builds else None
    nan = float("nan")
    return [
        verdict.service,
        verdict.shed / max(1, verdict.lookups),
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
        len(capture["trip"]) / max(1, verdict.lookups),
        nan if build is None or build.released is None else build.released,
        nan if build is None or build.sent_back is None else build.sent_back,
        float(sum(finding.broken for finding in verdict.rules.values())),
    ]


def run_on_sockets(job: tuple[str, int]) -> list[float]:
    """Runs a scenario with real processes."""
    name, seed = job
    with tempfile.TemporaryDirectory() as folder:
        args = [
            sys.executable,
            "-m",
            "lanelead",
            "day",
            "play",
            name,
            "--seed",
            str(seed),
            "--quiet",
            "--capture",
        ]
        subprocess.run([*args, folder], capture_output=True, check=False)
        return figures(Path(folder))


def run_in_simulation(job: tuple[str, int]) -> list[float]:
    """Runs a scenario in the simulation."""
    name, seed = job
    scenario = load(name)
    with tempfile.TemporaryDirectory() as folder:
        SimulatedFleet(scenario, seed).run().recorder.write(Path(folder), scenario)
        return figures(Path(folder))


def format_spread(rows: list[list[float]], column: int) -> str:
    """Mean, least and most of one figure over the runs."""
    some = [row[column] for row in rows if row[column] == row[column]]
    if not some:
        return "-"
    return f"{statistics.mean(some):.4g} ({min(some):.4g} to {max(some):.4g})"


@click.command()
@click.option("--seeds", default=3)
@click.option("--together", default=3, help="Number of scenarios that run on sockets at the same time.")
@click.option("--scripts", default="", help="Run only scenarios whose names contain this text.")
def main(seeds: int, together: int, scripts: str) -> None:
    """Prints the figures of each scenario on sockets and in the simulation."""
    names = [name for name in SCENARIOS if scripts in name]
    jobs = [(name, seed) for name in names for seed in range(1, seeds + 1)]
    with ThreadPoolExecutor(together) as pool:
        sockets = dict(zip(jobs, pool.map(run_on_sockets, jobs), strict=True))
    model = {job: run_in_simulation(job) for job in jobs}
    click.echo(f"scenario | figure | on sockets: mean (least to most of {seeds}) | in the simulation")
    for name in names:
        both = [[table[name, seed] for seed in range(1, seeds + 1)] for table in (sockets, model)]
        for column, figure in enumerate(NAMES):
            ours, theirs = (format_spread(rows, column) for rows in both)
            if (ours, theirs) != ("-", "-"):
                click.echo(f"{name} | {figure} | {ours} | {theirs}")


if __name__ == "__main__":
    main()
