"""Measures what migration steps cost: write latency during a backfill, steps a second, and reading a long log.

Writes go to the store at a steady rate. Their times are measured without a backfill, beside a backfill at its
configured rate, and beside one without a limit (all rows in one batch), and are printed as ratios to the first, from
the same run.

Run by hand: .venv/bin/python -m benchmarks.step_costs
"""

from __future__ import annotations

import asyncio
import sqlite3
import statistics
import tempfile
import threading
import time
from pathlib import Path

import click
import msgspec

from lanelead.http.client import call
from lanelead.migrations.client import MigrationStoreClient
from lanelead.migrations.migration_log import MigrationLog
from lanelead.protocols.migrations import AppendRequest, LeaseRequest, LogEntry, SchemaCheck
from lanelead.settings.migration_settings import BatchSettings, BuildRequirements, MigrationPlan, MigrationStep
from lanelead.settings.service_settings import Address
from lanelead.store.migration_store import MigrationStore
from lanelead.testbed.emulators.crash_injection import CrashTrial
from lanelead.testbed.emulators.running_stores import StoreProcess
from lanelead.testbed.scenarios.processes import free_ports

WRITE = "INSERT INTO filed (op) VALUES (:op)"


def backfill(rows: int, rate: float, hold: float) -> MigrationPlan:
    """A plan of one backfill step."""
    work = "(SELECT sum(x) FROM (SELECT id * 3 AS x UNION ALL SELECT 7))"
    text = f"UPDATE t SET n = {work} WHERE id > :low AND id <= :high"
    step = MigrationStep("fill", "backfill", [], [text], "never", 60_000.0, BatchSettings("t", "id", rows, rate, hold))
    return MigrationPlan("fill", [step], [BuildRequirements(1, [], [], WRITE)])


async def send_writes(port: int, seconds: float, rate: float) -> list[float]:
    """Answer times of writes, sent at a steady rate whether or not earlier ones have been answered."""
    loop, times, tasks = asyncio.get_running_loop(), list[float](), list[asyncio.Task[None]]()
    body = msgspec.json.encode(SchemaCheck(1, "x", WRITE))

    async def one() -> None:
        began = time.perf_counter()
        await call(loop, Address("127.0.0.1", port), "POST", b"/file", body, 30.0)
        times.append(time.perf_counter() - began)

    begin = loop.time()
    for number in range(int(seconds * rate)):
        await asyncio.sleep(max(0.0, begin + number / rate - loop.time()))
        tasks.append(asyncio.create_task(one()))
    await asyncio.gather(*tasks)
    return sorted(times)


def measure_writes(
    trial: CrashTrial, plan: MigrationPlan | None, seconds: float, rate: float
) -> tuple[list[float], float]:
    """Answer times of writes while the plan runs, and how long the plan took (0 without a plan)."""
    place = trial.start_store()
    done = [0.0]

    def run() -> None:
        began = time.perf_counter()
        CrashTrial(plan, trial.folder, trial.launch).run(place, lease_ttl_seconds=5.0)  # type: ignore[arg-type]
        done[0] = time.perf_counter() - began

    thread = threading.Thread(target=run)
    if plan is not None:
        thread.start()
    times = asyncio.run(send_writes(place.port, seconds, rate))
    if plan is not None:
        thread.join()
    place.close()
    return times, done[0]


@click.command()
@click.option("--rows", default=150_000)
@click.option("--seconds", default=8.0)
@click.option("--rate", default=100.0, help="Writes a second.")
def main(rows: int, seconds: float, rate: float) -> None:
    """Prints the ratios, the steps a second and the cost of a long log."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        db = sqlite3.connect(folder / "first.db")
        db.executescript("CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER); CREATE TABLE filed (op TEXT);")
        db.executemany("INSERT INTO t (id) VALUES (?)", ((n,) for n in range(rows)))
        db.commit()
        db.close()
        trial = CrashTrial(backfill(1, 1, 1), folder, lambda file: StoreProcess(file, lambda: free_ports(1)[0]))
        base, _ = measure_writes(trial, None, seconds, rate)
        click.echo("writes beside | median, 99th percentile, maximum: as ratios to none | duration of the backfill, s")
        for said, plan in (
            ("none", None),
            ("a backfill at its rate", backfill(500, 20_000.0, 25)),
            ("a backfill without a rate limit", backfill(1_000_000, 1e9, 1e6)),
        ):
            times, took = measure_writes(trial, plan, seconds, rate)
            parts = [times[int(len(times) * part) - 1] / base[int(len(base) * part) - 1] for part in (0.5, 0.99, 1)]
            click.echo(f"{said} | {', '.join(f'{part:.2f}' for part in parts)} | {took:.1f}")
        many = 300
        steps = [
            MigrationStep(f"s{n}", "expand", [], [f"CREATE TABLE x{n} (a)"], "never", 10_000.0) for n in range(many)
        ]
        place = trial.start_store()
        began = time.perf_counter()
        CrashTrial(MigrationPlan("many", steps, []), folder, trial.launch).run(place, lease_ttl_seconds=5.0)
        click.echo(f"{many} steps in sequence: {many / (time.perf_counter() - began):.0f} a second")
        place.close()
        measure_long_log(folder)


def measure_long_log(folder: Path, many: int = 100_000) -> None:
    """Prints the size of a log with so many entries, and how long a relay takes to read all of it."""
    file = folder / "long.db"
    migration_store = MigrationStore(file)
    migration_store.connection.execute("PRAGMA synchronous=OFF")
    token = migration_store.acquire_lease(LeaseRequest("one", 60_000))
    plan = MigrationPlan("p", [MigrationStep("s", "expand", [], ["x"], ["y"], 1000.0)], [])
    migration_store.append(AppendRequest(token, 0, LogEntry("plan", text=msgspec.json.encode(plan).decode())))
    empty = file.stat().st_size
    for number in range(1, many, 4):
        for after, entry in enumerate(
            (
                LogEntry("intent", "s"),
                LogEntry("done", "s"),
                LogEntry("intent", "s", "undo"),
                LogEntry("done", "s", "undo"),
            )
        ):
            migration_store.append(AppendRequest(token, number + after, entry))
    migration_store.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    migration_store.close()
    place = StoreProcess(file, lambda: free_ports(1)[0])

    async def read() -> float:
        client, record = MigrationStoreClient(Address("127.0.0.1", place.port)), MigrationLog()
        began = time.perf_counter()
        await client.read_log(record)
        assert record.last_seq >= many, record.last_seq
        return time.perf_counter() - began

    times = [asyncio.run(read()) for _ in range(3)]
    place.close()
    size = (file.stat().st_size - empty) / many
    click.echo(f"{many} entries: {size:.0f} bytes each on disk, read in {statistics.median(times):.2f} s here")


if __name__ == "__main__":
    main()
