"""Runs an experiment on several cores, and stores the results in an SQLite file; stored runs are not repeated.

All policies of a cell get the same seeds, in blocks, until the confidence interval of the plan's stopping measure is
narrow enough for each of them, or the seeds are used up.
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


class PlanMismatchError(Exception):
    """The results file has runs of another plan."""


def measures(scenario: Scenario, policy: str, seed: int, verified: bool) -> dict[str, float]:
    """Simulates one run and returns its values by measure; if not `verified`, only those that the clients count."""
    began = time.perf_counter()
    fleet = SimulatedFleet(scenario, seed, POLICIES[policy], silent=not verified).run()
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
            fleet.recorder.write(Path(folder), scenario)
            found |= _verified_measures(verify(Path(folder)))
    return found


def _verified_measures(verdict: Verdict) -> dict[str, float]:
    """Returns the verifier's measures: the service as it counts it, broken rules, and how the first build ended."""
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
    """Returns the mean, and the half-width of its Student's t confidence interval; infinite for one value."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.inf
    spread = math.sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1))
    return mean, float(stats.t.ppf((1 + level) / 2, len(values) - 1)) * spread / math.sqrt(len(values))


def paired(rows: Rows, cell: str, policy: str, baseline: str, measure: str) -> tuple[float, float, int] | None:
    """Compares a policy with the baseline over pairs of the same seed.

    Returns the mean difference, its half-width and the number of pairs; None without pairs.
    """
    policy_rows = rows.get((cell, policy), {})
    baseline_rows = rows.get((cell, baseline), {})
    pairs = [
        policy_rows[seed][measure] - baseline_rows[seed][measure]
        for seed in sorted(policy_rows)
        if seed in baseline_rows and measure in policy_rows[seed] and measure in baseline_rows[seed]
    ]
    return (*interval(pairs), len(pairs)) if pairs else None


def read(file: str | Path) -> tuple[ExperimentPlan, Rows]:
    """Returns the plan and all runs that a results file holds."""
    with closing(sqlite3.connect(file)) as db:
        body = db.execute("SELECT body FROM plan").fetchone()
        plan = msgspec.json.decode(body[0], type=ExperimentPlan)
        rows: Rows = {}
        for cell, policy, seed, measure, value in db.execute("SELECT * FROM runs ORDER BY cell, policy, seed"):
            rows.setdefault((cell, policy), {}).setdefault(seed, {})[measure] = value
        return plan, rows


def _run_job(job: tuple[str, Scenario, str, int, bool]) -> tuple[str, str, int, dict[str, float]]:
    cell, scenario, policy, seed, verified = job
    return cell, policy, seed, measures(scenario, policy, seed, verified)


def run(plan: ExperimentPlan, cells: list[Cell], file: Path, procs: int, progress: Callable[[int, int], None]) -> None:
    """Runs what the file does not have yet, in `procs` processes (0: one for each core).

    `progress` is called with the number of finished runs, and of runs in this block. The process may be killed at any
    moment and started again: finished runs are kept. Raises PlanMismatchError if the file has runs of another plan.
    """
    with closing(sqlite3.connect(file)) as db:
        _open_results(db, plan, file)
        stored_runs = {tuple(row) for row in db.execute("SELECT DISTINCT cell, policy, seed FROM runs")}
        unfinished = [(cell, policy) for cell in cells for policy in plan.policies]
        last_seed = 0
        done = 0
        with multiprocessing.get_context("spawn").Pool(procs or None) as pool:
            while unfinished and last_seed < plan.seeds.most:
                last_seed = min(plan.seeds.most, last_seed + plan.seeds.least)
                jobs = [
                    (cell.name, cell.scenario, policy, seed, plan.judged)
                    for cell, policy in unfinished
                    for seed in range(1, last_seed + 1)
                    if (cell.name, policy, seed) not in stored_runs
                ]
                for name, policy, seed, found in pool.imap_unordered(_run_job, jobs):
                    _store_run(db, name, policy, seed, found)
                    stored_runs.add((name, policy, seed))
                    done += 1
                    progress(done, len(jobs))
                # A cell is finished for all of its policies or for none: they are compared by pairs of the same seed.
                cells_to_continue = {
                    cell.name for cell, policy in unfinished if _is_interval_too_wide(db, cell.name, policy, plan)
                }
                unfinished = [(cell, policy) for cell, policy in unfinished if cell.name in cells_to_continue]


def _open_results(db: sqlite3.Connection, plan: ExperimentPlan, file: Path) -> None:
    db.executescript(TABLES)
    body = msgspec.json.encode(plan).decode()
    old = db.execute("SELECT body FROM plan").fetchone()
    if old is not None and old[0] != body:
        raise PlanMismatchError(f"{file} holds runs of another plan, or of this one before it was changed")
    db.execute("INSERT OR IGNORE INTO plan VALUES (1, ?)", (body,))
    db.commit()


def _store_run(db: sqlite3.Connection, cell: str, policy: str, seed: int, found: dict[str, float]) -> None:
    rows = [(cell, policy, seed, measure, value) for measure, value in found.items()]
    db.executemany("INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?)", rows)
    db.commit()


def _is_interval_too_wide(db: sqlite3.Connection, cell: str, policy: str, plan: ExperimentPlan) -> bool:
    found: list[Any] = db.execute(
        "SELECT value FROM runs WHERE cell = ? AND policy = ? AND measure = ?",
        (cell, policy, plan.stop.measure),
    ).fetchall()
    return len(found) < 2 or interval([row[0] for row in found])[1] > plan.stop.half_width
