"""What steps cost: lookups' answer times beside a backfill, steps a second, and a long record.

Filings go to the store at a steady rate; their times are taken with nothing else, beside a backfill at its
pace, and beside one without a pace (all its rows in one batch). Told as ratios to the first, in one run.

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
    work = "(SELECT sum(x) FROM (SELECT id * 3 AS x UNION ALL SELECT 7))"
    text = f"UPDATE t SET n = {work} WHERE id > :low AND id <= :high"
    step = MigrationStep("fill", "backfill", [], [text], "never", 60_000.0, BatchSettings("t", "id", rows, rate, hold))
    return MigrationPlan("fill", [step], [BuildRequirements(1, [], [], WRITE)])


async def file(port: int, seconds: float, rate: float) -> list[float]:
    """Answer times of filings, asked at a steady rate whether or not earlier ones are answered."""
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


def beside(trial: CrashTrial, plan: MigrationPlan | None, seconds: float, rate: float) -> tuple[list[float], float]:
    place = trial.start_store()
    done = [0.0]

    def run() -> None:
        began = time.perf_counter()
        CrashTrial(plan, trial.folder, trial.launch).run(place, lease_ttl_seconds=5.0)  # type: ignore[arg-type]
        done[0] = time.perf_counter() - began

    thread = threading.Thread(target=run)
    if plan is not None:
        thread.start()
    times = asyncio.run(file(place.port, seconds, rate))
    if plan is not None:
        thread.join()
    place.close()
    return times, done[0]


@click.command()
@click.option("--rows", default=150_000)
@click.option("--seconds", default=8.0)
@click.option("--rate", default=100.0, help="Filings a second.")
def main(rows: int, seconds: float, rate: float) -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        db = sqlite3.connect(folder / "first.db")
        db.executescript("CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER); CREATE TABLE filed (op TEXT);")
        db.executemany("INSERT INTO t (id) VALUES (?)", ((n,) for n in range(rows)))
        db.commit()
        db.close()
        trial = CrashTrial(backfill(1, 1, 1), folder, lambda file: StoreProcess(file, lambda: free_ports(1)[0]))
        base, _ = beside(trial, None, seconds, rate)
        click.echo("filings beside | median, 99th of 100, most: as ratios to none | backfill took, s")
        for said, plan in (
            ("none", None),
            ("a backfill at its pace", backfill(500, 20_000.0, 25)),
            ("a backfill without one", backfill(1_000_000, 1e9, 1e6)),
        ):
            times, took = beside(trial, plan, seconds, rate)
            parts = [times[int(len(times) * part) - 1] / base[int(len(base) * part) - 1] for part in (0.5, 0.99, 1)]
            click.echo(f"{said} | {', '.join(f'{part:.2f}' for part in parts)} | {took:.1f}")
        many = 300
        steps = [
            MigrationStep(f"s{n}", "expand", [], [f"CREATE TABLE x{n} (a)"], "never", 10_000.0) for n in range(many)
        ]
        place = trial.start_store()
        began = time.perf_counter()
        CrashTrial(MigrationPlan("many", steps, []), folder, trial.launch).run(place, lease_ttl_seconds=5.0)
        click.echo(f"{many} steps, one after another: {many / (time.perf_counter() - began):.0f} a second")
        place.close()
        long_record(folder)


def long_record(folder: Path, many: int = 100_000) -> None:
    """A record of so many entries: its size, and how long a relay that knows nothing reads it."""
    file = folder / "long.db"
    ledger = MigrationStore(file)
    ledger.connection.execute("PRAGMA synchronous=OFF")
    token = ledger.acquire_lease(LeaseRequest("one", 60_000))
    plan = MigrationPlan("p", [MigrationStep("s", "expand", [], ["x"], ["y"], 1000.0)], [])
    ledger.append(AppendRequest(token, 0, LogEntry("plan", text=msgspec.json.encode(plan).decode())))
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
            ledger.append(AppendRequest(token, number + after, entry))
    ledger.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    ledger.close()
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
