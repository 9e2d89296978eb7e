"""Checks from a migration store's file that log, schema and effects agree, and that each effect was applied once."""

from __future__ import annotations

import sqlite3
from pathlib import Path

import msgspec

from lanelead.migrations.migration_log import MigrationLog, StepState, StepStatus
from lanelead.protocols.migrations import LogEntry, LoggedEntry
from lanelead.settings.migration_settings import MigrationPlan, MigrationStep

ROW_COUNT = 300
UNBOUNDED_ROWS_PER_SECOND = 1e6
SCHEMA = f"""
CREATE TABLE offers (id INTEGER PRIMARY KEY, op TEXT, price TEXT, touched INTEGER NOT NULL DEFAULT 0);
CREATE TABLE tally (step TEXT NOT NULL);
WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {ROW_COUNT})
    INSERT INTO offers (op, price) SELECT 'op-' || i, '10.25' FROM n;
"""


def with_tally(plan: MigrationPlan) -> MigrationPlan:
    """Returns the plan with statements that count how often each step, or each row's backfill, was applied.

    Steps without a batch add a row to the table `tally`; backfills increment `touched` of each row that they fill.
    """
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
    """Returns the violations in a store's file, for a plan that `with_tally` returned.

    Violations are effects that are not in the log or were applied twice, and builds that may have traffic while their
    writes fail; with `whole`, also steps that are not done. Raises InvalidEntryError if the log breaks its rules.
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
            count = database.execute(query, (step.name,)).fetchone()[0]
            expected = _expected_count(state, applied_intents)
            if count != expected:
                violations.append(f"{step.name}: applied {count} times, log and applied intents require {expected}")
        if whole and state.status is not StepStatus.DONE:
            violations.append(f"{step.name}: {state.status.value} at the end")
    return violations


def _expected_count(state: StepState, applied_intents: set[int]) -> int:
    if state.status is StepStatus.IN_PROGRESS:
        return 1 if state.intent_seq in applied_intents else 0
    return 1 if state.status is StepStatus.DONE else 0


def _backfill_violations(database: sqlite3.Connection, plan: MigrationPlan, whole: bool) -> list[str]:
    backfills = sum(1 for step in plan.steps if step.batch is not None)
    touched = [
        count for (count,) in database.execute("SELECT DISTINCT touched FROM offers WHERE id <= ?", (ROW_COUNT,))
    ]
    if max(touched) > backfills or (whole and touched != [backfills]):
        return [f"rows were filled {touched} times, expected {backfills}"]
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
