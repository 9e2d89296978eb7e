"""A plan of eight steps interrupted everywhere, with real processes, while lookups are filed.

For each point of a run: the runner's process killed (SIGKILL), and stopped past its lease (SIGSTOP, another
does the rest, SIGCONT); for each point of the store's transactions: the store's process killed, and its
connection cut; answers dropped, late, refused. Beside each a relay in small files for every build that the
record lets have traffic. After each: the record is clear, a resume ends with all done, each effect was had
once, nothing was filed against a schema that did not fit.

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
    plan = read(plan_file("offers"))
    assert isinstance(plan, MigrationPlan)
    return CrashTrial(with_tally(plan), Path(folder), lambda file: StoreProcess(file, lambda: free_ports(1)[0]))


def one(job: tuple[str, str, int]) -> tuple[str, str, int, list[str], int, float]:
    """One interruption: what it was, what was wrong, lookups filed, and seconds from the crash to the end."""
    kind, where, number = job
    with tempfile.TemporaryDirectory() as folder:
        mine = trial(folder)
        place = mine.start_store()
        mine.run(place, "take")
        filer = WriteTraffic(place.port, mine.plan)
        try:
            if kind in ("runner killed", "runner stopped"):
                wrong, took = _runner(mine, place, kind, number)
            else:
                place.inject(kind=kind, at=where, skip=number, size=0.3)
                began = time.monotonic()
                stop = mine.run(place, lease_ttl_seconds=0.2)
                wrong = find_violations(place.file, mine.plan)
                if not stop.succeeded:
                    stop = mine.run(place, "resume", name="two", lease_ttl_seconds=0.2)
                wrong += [] if stop.succeeded else [stop.message]
                took = time.monotonic() - began
            wrong += find_violations(place.file, mine.plan, whole=True)
        except Exception as fault:  # told with the case, not lost with the pool
            wrong, took = [repr(fault)], 0.0
        finally:
            filer.close()
            place.close()
        wrong += filer.failures[:3]
        return kind, where, number, wrong, sum(filer.writes.values()), took


def _runner(mine: CrashTrial, place: Any, kind: str, number: int) -> tuple[list[str], float]:
    file = mine.folder / "plan.json"
    file.write_bytes(msgspec.json.encode(mine.plan))
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
    wrong = find_violations(place.file, mine.plan)
    stop = mine.run(place, "resume", name="two", lease_ttl_seconds=0.2)
    took = time.monotonic() - began
    wrong += [] if stop.succeeded else [stop.message]
    process.send_signal(signal.SIGCONT)
    said = process.communicate(timeout=30)[0].decode().strip()
    if kind == "runner stopped" and "taken over" not in said and "all done" not in said:
        wrong.append(f"the late one: {said!r}")
    return wrong, took


@click.command()
@click.option("--procs", default=6)
@click.option("--every", default=1, help="Only every so many points.")
def main(procs: int, every: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        mine = trial(folder)
        place, points = mine.start_store(), list[str]()
        mine.run(place, "take")
        filer = WriteTraffic(place.port, mine.plan)
        mine.run(place, on_point=points.append)
        filer.close()
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
        rows = list(pool.imap_unordered(one, jobs))
    click.echo(f"{len(points)} points of a run, {len(jobs)} interruptions")
    click.echo("interruption | cases | wrong | lookups filed | seconds to all done: median, most")
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
