"""The same scripts on sockets and in the model, side by side, with the spread over seeds.

Told for each script: service, sheds, median and 99th of 100 answer times, trips a lookup, and when builds
were released or sent back. Run by hand, on a machine that does little else:
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

SCRIPTS = (
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
    "shed share",
    "p50 ms",
    "p99 ms",
    "trips a lookup",
    "released s",
    "back s",
    "rules broken",
)


def figures(folder: Path) -> list[float]:
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


def on_sockets(job: tuple[str, int]) -> list[float]:
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


def in_model(job: tuple[str, int]) -> list[float]:
    name, seed = job
    day = load(name)
    with tempfile.TemporaryDirectory() as folder:
        SimulatedFleet(day, seed).run().book.write(Path(folder), day)
        return figures(Path(folder))


def shown(rows: list[list[float]], place: int) -> str:
    some = [row[place] for row in rows if row[place] == row[place]]
    if not some:
        return "-"
    return f"{statistics.mean(some):.4g} ({min(some):.4g} to {max(some):.4g})"


@click.command()
@click.option("--seeds", default=3)
@click.option("--together", default=3, help="Days on sockets at a time.")
@click.option("--scripts", default="", help="Only those whose names hold this.")
def main(seeds: int, together: int, scripts: str) -> None:
    names = [name for name in SCRIPTS if scripts in name]
    jobs = [(name, seed) for name in names for seed in range(1, seeds + 1)]
    with ThreadPoolExecutor(together) as pool:
        sockets = dict(zip(jobs, pool.map(on_sockets, jobs), strict=True))
    model = {job: in_model(job) for job in jobs}
    click.echo(f"script | figure | on sockets: mean (least to most of {seeds}) | in the model")
    for name in names:
        both = [[table[name, seed] for seed in range(1, seeds + 1)] for table in (sockets, model)]
        for place, figure in enumerate(NAMES):
            ours, theirs = (shown(rows, place) for rows in both)
            if (ours, theirs) != ("-", "-"):
                click.echo(f"{name} | {figure} | {ours} | {theirs}")


if __name__ == "__main__":
    main()
