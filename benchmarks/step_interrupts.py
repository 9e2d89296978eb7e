"""Interrupts a plan of eight steps at every point, with real processes, while writes are sent.

At each point of a run the runner's process is killed (SIGKILL), or stopped until its lease has expired (SIGSTOP, then
another runner finishes, then SIGCONT). At each point of the store's transactions the store's process is killed, or its
connection cut; responses are dropped, delayed or refused. A small stand-in for a relay sends writes for each build that
the log allows traffic for. Afterwards the log must be consistent, a resume must complete all steps, each effect must
have happened once, and no write may have been made against a schema that does not fit.

Run by hand: .venv/bin/python -m benchmarks.step_interrupts
"""

from __future__ import annotations

import collections
import multiprocessing
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from lanelead.settings.migration_settings import MigrationPlan
from lanelead.settings.read import read
from lanelead.testbed.emulators.crash_injection import CrashTrial
from lanelead.testbed.emulators.migration_checker import find_violations, with_tally
from lanelead.testbed.emulators.running_stores import StoreProcess
from lanelead.testbed.emulators.write_traffic import WriteTraffic
from lanelead.testbed.scenarios.processes import free_ports
from lanelead.testbed.scenarios.runner import plan_file


def trial(folder: str) -> CrashTrial:
    """A run of the plan `offers` in this folder."""
    plan = read(plan_file("offers"))
    assert isinstance(plan, MigrationPlan)
    return CrashTrial(with_tally(plan), Path(folder), lambda file: StoreProcess(file, lambda: free_ports(1)[0]))


def run_interruption(job: tuple[str, str, int]) -> tuple[str, str, int, list[str], int, float]:
    """Makes one interruption: its kind, place and number, violations, writes, seconds from the crash to the end."""
    kind, where, number = job
    with tempfile.TemporaryDirectory() as folder:
        crash_trial = trial(folder)
        place = crash_trial.start_store()
        crash_trial.run(place, "take")
        traffic = WriteTraffic(place.port, crash_trial.plan)
        try:
            if kind in ("runner killed", "runner stopped"):
                violations, took = _runner(crash_trial, place, kind, number)
            else:
                place.inject(kind=kind, at=where, skip=number, size=0.3)
                began = time.monotonic()
                stop = crash_trial.run(place, lease_ttl_seconds=0.2)
                violations = find_violations(place.file, crash_trial.plan)
                if not stop.succeeded:
                    stop = crash_trial.run(place, "resume", name="two", lease_ttl_seconds=0.2)
                violations += [] if stop.succeeded else [stop.message]
                took = time.monotonic() - began
            violations += find_violations(place.file, crash_trial.plan, whole=True)
        except Exception as fault:  # reported with its case
            violations, took = [repr(fault)], 0.0
        finally:
            traffic.close()
            place.close()
        violations += traffic.failures[:3]
        return kind, where, number, violations, sum(traffic.writes.values()), took


def _runner(crash_trial: CrashTrial, place: Any, kind: str, number: int) -> tuple[list[str], float]:
    file = crash_trial.folder / "plan.json"
    file.write_bytes(msgspec.json.encode(crash_trial.plan))
    word = "SIGKILL" if kind == "runner killed" else "SIGSTOP"
    args = [
        sys.executable,
        "-m",
        "lanelead.testbed.emulators.crash_injection",
        str(file),
        str(place.port),
        str(number),
        word,
    ]
    process = subprocess.Popen(args, stdout=subprocess.PIPE)
    status = Path(f"/proc/{process.pid}/stat")
    while process.poll() is None and status.read_text().rpartition(")")[2].split()[0] not in "TZ":
        time.sleep(0.005)
    began = time.monotonic()
    violations = find_violations(place.file, crash_trial.plan)
    stop = crash_trial.run(place, "resume", name="two", lease_ttl_seconds=0.2)
    took = time.monotonic() - began
    violations += [] if stop.succeeded else [stop.message]
    process.send_signal(signal.SIGCONT)
    output = process.communicate(timeout=30)[0].decode().strip()
    if kind == "runner stopped" and "taken over" not in output and "all done" not in output:
        violations.append(f"expected 'taken over' or 'all done' from the stopped runner, got {output!r}")
    return violations, took


@click.command()
@click.option("--procs", default=6)
@click.option("--every", default=1, help="Interrupt only every n-th point.")
def main(procs: int, every: int) -> None:
    """Makes all interruptions and prints a summary by kind, with up to five failures of each."""
    with tempfile.TemporaryDirectory() as folder:
        crash_trial = trial(folder)
        place, points = crash_trial.start_store(), list[str]()
        crash_trial.run(place, "take")
        traffic = WriteTraffic(place.port, crash_trial.plan)
        crash_trial.run(place, on_point=points.append)
        traffic.close()
        place.close()
    jobs = [(kind, points[n], n) for kind in ("runner killed", "runner stopped") for n in range(0, len(points), every)]
    for call, many in (("lease", 1), ("append", 18), ("apply", 14)):
        spots = ("before", "mid", "commit", "after") if call == "apply" else ("before", "commit", "after")
        jobs += [(k, f"{call}.{s}", n) for k in ("kill", "cut") for s in spots for n in range(0, many, every)]
    for path, many in (("/lease", 1), ("/record", 18), ("/apply", 14), ("/marks", 8)):
        for kind in ("refuse", "drop", "late"):
            jobs += [(kind, path, n) for n in range(0, many, every)]
    rows = list[tuple[str, str, int, list[str], int, float]]()
    with multiprocessing.Pool(procs) as pool:
        rows = list(pool.imap_unordered(run_interruption, jobs))
    click.echo(f"{len(points)} points of a run, {len(jobs)} interruptions")
    click.echo("interruption | cases | failed | writes | seconds until all steps are done: median, maximum")
    by = collections.defaultdict(list)
    for row in rows:
        by[row[0]].append(row)
    for kind, some in by.items():
        times = sorted(row[5] for row in some)
        bad = [row for row in some if row[3]]
        click.echo(
            f"{kind} | {len(some)} | {len(bad)} | {sum(row[4] for row in some)} | "
            f"{times[len(times) // 2]:.2f}, {times[-1]:.2f}"
        )
        for row in bad[:5]:
            click.echo(f"    {row[1]} {row[2]}: {row[3]}")


if __name__ == "__main__":
    main()
