"""Runs an experiment over all cores into an SQLite file; what is there already is not run again.

Each cell and policy gets the same seeds, block after block, until the interval of the measure that the plan
stops by is narrow enough in all of them, or the seeds are used up.
"""

from __future__ import annotations

import math
import multiprocessing
import sqlite3
import tempfile
import time
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import Any

import msgspec
from scipy import stats

from lanelead.settings.experiment_settings import ExperimentPlan
from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.experiments.plan import Cell
from lanelead.testbed.scenarios.rules.findings import Verdict
from lanelead.testbed.scenarios.rules.verifier import verify
from lanelead.testbed.simulation.baselines import POLICIES
from lanelead.testbed.simulation.fleet import SimulatedFleet

TABLES = """
CREATE TABLE IF NOT EXISTS plan (one INTEGER PRIMARY KEY CHECK (one = 1), body TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS runs (cell TEXT, policy TEXT, seed INTEGER, measure TEXT, value REAL,
    PRIMARY KEY (cell, policy, seed, measure)) WITHOUT ROWID;
"""
Rows = dict[tuple[str, str], dict[int, dict[str, float]]]  # by cell and policy, then seed, then measure


class OtherPlanError(Exception):
    """The file holds another plan's runs."""


def measures(day: Scenario, policy: str, seed: int, verified: bool) -> dict[str, float]:
    """One run's values, by measure. Without the verifier, only those that the clients count."""
    began = time.perf_counter()
    fleet = SimulatedFleet(day, seed, POLICIES[policy], silent=not verified).run()
    counts = fleet.counts
    times = sorted(counts.times)
    requests = max(1, counts.asked)
    found = {
        "done": counts.done / requests,
        "shed": counts.shed / requests,
        "broken_off": counts.broken_off / requests,
        "events": float(fleet.clock.done),
        "cpu_s": time.perf_counter() - began,
        "lookups": float(counts.asked),
    }
    if times:
        found["p50_ms"] = 1000 * times[len(times) // 2]
        found["p99_ms"] = 1000 * times[int(len(times) * 0.99)]
    found["service"] = fleet.value_share()
    if verified:
        with tempfile.TemporaryDirectory() as folder:
            fleet.book.write(Path(folder), day)
            found |= _verified_measures(verify(Path(folder)))
    return found


def _verified_measures(verdict: Verdict) -> dict[str, float]:
    """What the verifier adds: the service it counts, broken rules, and how the first build ended."""
    found = {
        "service": verdict.service,
        "rules_broken": float(sum(finding.broken for finding in verdict.rules.values())),
    }
    if not verdict.builds:
        return found
    first = verdict.builds[0]
    is_good_build = first.bad is None
    ended_right = first.released is not None if is_good_build else first.sent_back is not None
    found["wrong_end"] = float(not ended_right or (is_good_build and first.sent_back is not None))
    if first.released is not None:
        found["released_s"] = first.released
    if first.sent_back is not None:
        found["back_s"] = first.sent_back
    return found


def interval(values: list[float], level: float = 0.95) -> tuple[float, float]:
    """The mean, and the half-width of Student's interval around it; endless for one value."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.inf
    spread = math.sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1))
    return mean, float(stats.t.ppf((1 + level) / 2, len(values) - 1)) * spread / math.sqrt(len(values))


def paired(rows: Rows, cell: str, policy: str, baseline: str, measure: str) -> tuple[float, float, int] | None:
    """How much more a policy has than the baseline, seed by seed: mean, half-width, pairs."""
    policy_rows = rows.get((cell, policy), {})
    baseline_rows = rows.get((cell, baseline), {})
    pairs = [
        policy_rows[seed][measure] - baseline_rows[seed][measure]
        for seed in sorted(policy_rows)
        if seed in baseline_rows and measure in policy_rows[seed] and measure in baseline_rows[seed]
    ]
    return (*interval(pairs), len(pairs)) if pairs else None


def read(file: str | Path) -> tuple[ExperimentPlan, Rows]:
    """The plan and all runs that a file holds."""
    with closing(sqlite3.connect(file)) as db:
        body = db.execute("SELECT body FROM plan").fetchone()
        plan = msgspec.json.decode(body[0], type=ExperimentPlan)
        rows: Rows = {}
        for cell, policy, seed, measure, value in db.execute("SELECT * FROM runs ORDER BY cell, policy, seed"):
            rows.setdefault((cell, policy), {}).setdefault(seed, {})[measure] = value
        return plan, rows


def _one(job: tuple[str, Scenario, str, int, bool]) -> tuple[str, str, int, dict[str, float]]:
    cell, day, policy, seed, verified = job
    return cell, policy, seed, measures(day, policy, seed, verified)


def run(plan: ExperimentPlan, cells: list[Cell], file: Path, procs: int, progress: Callable[[int, int], None]) -> None:
    """Runs what is missing; `procs` processes, 0: one a core. `progress` gets runs done, and runs of this block.

    Raises OtherPlanError. May be killed at any moment and started again: whole runs are kept.
    """
    with closing(sqlite3.connect(file)) as db:
        _open_results(db, plan, file)
        have = {tuple(row) for row in db.execute("SELECT DISTINCT cell, policy, seed FROM runs")}
        open_cells = [(cell, policy) for cell in cells for policy in plan.policies]
        last_seed = 0
        done = 0
        with multiprocessing.get_context("spawn").Pool(procs or None) as pool:
            while open_cells and last_seed < plan.seeds.most:
                last_seed = min(plan.seeds.most, last_seed + plan.seeds.least)
                jobs = [
                    (cell.name, cell.day, policy, seed, plan.judged)
                    for cell, policy in open_cells
                    for seed in range(1, last_seed + 1)
                    if (cell.name, policy, seed) not in have
                ]
                for name, policy, seed, found in pool.imap_unordered(_one, jobs):
                    _keep(db, name, policy, seed, found)
                    have.add((name, policy, seed))
                    done += 1
                    progress(done, len(jobs))
                # A cell is done for all its policies or for none: the comparison is by pairs.
                wide = {cell.name for cell, policy in open_cells if _wide(db, cell.name, policy, plan)}
                open_cells = [(cell, policy) for cell, policy in open_cells if cell.name in wide]


def _open_results(db: sqlite3.Connection, plan: ExperimentPlan, file: Path) -> None:
    db.executescript(TABLES)
    body = msgspec.json.encode(plan).decode()
    old = db.execute("SELECT body FROM plan").fetchone()
    if old is not None and old[0] != body:
        raise OtherPlanError(f"{file} holds runs of another plan, or of this one before it was changed")
    db.execute("INSERT OR IGNORE INTO plan VALUES (1, ?)", (body,))
    db.commit()


def _keep(db: sqlite3.Connection, cell: str, policy: str, seed: int, found: dict[str, float]) -> None:
    rows = [(cell, policy, seed, measure, value) for measure, value in found.items()]
    db.executemany("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", rows)
    db.commit()


def _wide(db: sqlite3.Connection, cell: str, policy: str, plan: ExperimentPlan) -> bool:
    found: list[Any] = db.execute(
        "SELECT value FROM runs WHERE cell = ? AND policy = ? AND measure = ?",
        (cell, policy, plan.stop.measure),
    ).fetchall()
    return len(found) < 2 or interval([row[0] for row in found])[1] > plan.stop.half_width
