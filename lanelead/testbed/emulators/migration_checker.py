"""Checks a migration store's file alone: log, schema and effects agree, and each effect was applied once."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import msgspec

from lanelead.migrations.migration_log import MigrationLog, StepState, StepStatus
from lanelead.protocols.migrations import LogEntry, LoggedEntry
from lanelead.settings.migration_settings import MigrationPlan, MigrationStep

ROWS = 300
UNBOUNDED_ROWS_PER_SECOND = 1e6
SCHEMA = f"""
CREATE TABLE offers (id INTEGER PRIMARY KEY, op TEXT, price TEXT, touched INTEGER NOT NULL DEFAULT 0);
CREATE TABLE tally (step TEXT NOT NULL);
WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {ROWS})
    INSERT INTO offers (op, price) SELECT 'op-' || i, '10.25' FROM n;
"""


def with_tally(plan: MigrationPlan) -> MigrationPlan:
    """The plan, with statements that show a repeated effect: none of them may be applied twice."""
    return msgspec.structs.replace(plan, steps=[_step_with_tally(step) for step in plan.steps])


def _step_with_tally(step: MigrationStep) -> MigrationStep:
    if step.batch is not None:
        batch = msgspec.structs.replace(step.batch, rate=UNBOUNDED_ROWS_PER_SECOND)
        touch = "UPDATE offers SET touched = touched + 1 WHERE id > :low AND id <= :high"
        return msgspec.structs.replace(step, batch=batch, apply=[*step.apply, touch])
    undo = step.undo
    if not isinstance(undo, str):
        undo = [*undo, f"DELETE FROM tally WHERE step = '{step.name}'"]
    return msgspec.structs.replace(step, apply=[*step.apply, f"INSERT INTO tally VALUES ('{step.name}')"], undo=undo)


def find_violations(file: Path, plan: MigrationPlan, whole: bool = False) -> list[str]:
    """What is wrong with a store's file, for a plan `with_tally`; empty: nothing.

    That is: effects that the log doesn't have or that were applied twice, and a build that may have traffic while its
    writes fail. `whole`: and steps that are not done. Raises InvalidEntryError where the log breaks its rules.
    """
    database = sqlite3.connect(file, isolation_level=None)
    try:
        log = _read_log(database)
        return [
            *_step_violations(database, log, plan, whole),
            *_backfill_violations(database, plan, whole),
            *_write_violations(database, log, plan),
        ]
    finally:
        database.close()


def _read_log(database: sqlite3.Connection) -> MigrationLog:
    log = MigrationLog()
    for seq, body in database.execute("SELECT seq, body FROM ll_record ORDER BY seq").fetchall():
        log.append(LoggedEntry(seq, 0, "", 0.0, msgspec.json.decode(body, type=LogEntry)))
    return log


def _step_violations(database: sqlite3.Connection, log: MigrationLog, plan: MigrationPlan, whole: bool) -> list[str]:
    violations: list[str] = []
    applied_intents = {intent for (intent,) in database.execute("SELECT DISTINCT intent FROM ll_marks")}
    for step in plan.steps:
        state = log.steps.get(step.name)
        if state is None:
            continue
        if step.batch is None:
            query = "SELECT COUNT(*) FROM tally WHERE step = ?"
            times = database.execute(query, (step.name,)).fetchone()[0]
            expected = _expected_times(state, applied_intents)
            if times != expected:
                violations.append(f"{step.name}: applied {times} times, the log and its effects say {expected}")
        if whole and state.status is not StepStatus.DONE:
            violations.append(f"{step.name}: {state.status.value} at the end")
    return violations


def _expected_times(state: StepState, applied_intents: set[int]) -> int:
    if state.status is StepStatus.IN_PROGRESS:
        return 1 if state.intent_seq in applied_intents else 0
    return 1 if state.status is StepStatus.DONE else 0


def _backfill_violations(database: sqlite3.Connection, plan: MigrationPlan, whole: bool) -> list[str]:
    backfills = sum(1 for step in plan.steps if step.batch is not None)
    touched = [times for (times,) in database.execute("SELECT DISTINCT touched FROM offers WHERE id <= ?", (ROWS,))]
    if max(touched) > backfills or (whole and touched != [backfills]):
        return [f"rows were filled {touched} times, of {backfills}"]
    return []


def _write_violations(database: sqlite3.Connection, log: MigrationLog, plan: MigrationPlan) -> list[str]:
    violations: list[str] = []
    for requirements in plan.builds:
        if log.plans and log.is_ready(requirements.build):
            database.execute("BEGIN")
            try:
                database.execute(requirements.write, {"op": "x"})
            except sqlite3.Error as error:
                violations.append(f"build {requirements.build} may have traffic, and fails: {error}")
            database.execute("ROLLBACK")
    return violations
