"""Interrupts a run of a migration plan at one point, resumes it, and checks log, schema and effects afterwards.

The points lie before and after each of a runner's calls, and in and around each of the store's transactions. The
store is FaultyMigrationStoreServer in a thread or in a process, over its socket either way (see running_stores); the
runner is the real MigrationExecutor. The checker reads nothing but the store's file (see migration_checker).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sqlite3
import sys
import threading
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from lanelead.migrations.calls import RunResult
from lanelead.migrations.client import MigrationStoreClient
from lanelead.migrations.executor import ExecutorOptions, MigrationExecutor
from lanelead.migrations.runner import Goal, Operation
from lanelead.settings.migration_settings import MigrationPlan
from lanelead.settings.service_settings import Address
from lanelead.testbed.emulators.migration_checker import SCHEMA, find_violations
from lanelead.testbed.emulators.running_stores import RunningStore, StoreThread

PATIENCE_SECONDS = 8.0
LEASE_TTL_SECONDS = 0.05
PROCESS_LEASE_TTL_SECONDS = 0.2


class RunnerKilledError(BaseException):
    """Simulates SIGKILL of a runner. A BaseException, so that no handler in the runner catches it and cleans up."""


async def _execute(
    goal: Goal, port: int, name: str, lease_ttl_seconds: float, on_point: Callable[[str], None]
) -> RunResult:
    client = MigrationStoreClient(Address("127.0.0.1", port))
    options = ExecutorOptions(lease_ttl_seconds, PATIENCE_SECONDS)
    return await MigrationExecutor(goal, name, client, options=options, on_point=on_point).run()


@dataclass
class CrashTrial:
    """Crash trials of one plan: each starts a new store, with its file in `folder`.

    `launch` starts a store on a file, in a thread or in a process.
    """

    plan: MigrationPlan
    folder: Path
    launch: Callable[[Path], RunningStore] = StoreThread
    stores_started: int = 0

    def start_store(self) -> RunningStore:
        """Starts a store with a fresh schema."""
        template = self.folder / "first.db"
        if not template.exists():
            database = sqlite3.connect(template)
            database.executescript(SCHEMA)
            database.close()
        self.stores_started += 1
        file = self.folder / f"{self.stores_started}.db"
        shutil.copy(template, file)
        return self.launch(file)

    def run(
        self,
        store: RunningStore,
        operation: Operation = "run",
        *,
        on_point: Callable[[str], None] = lambda point: None,
        name: str = "one",
        lease_ttl_seconds: float = LEASE_TTL_SECONDS,
    ) -> RunResult:
        """Runs a whole operation in this thread; `on_point` is called at each point of the run (see MigrationExecutor).

        Raises RunnerKilledError if `on_point` does.
        """
        goal = Goal(self.plan, operation, allow_ending_rollback=True)
        return asyncio.run(_execute(goal, store.port, name, lease_ttl_seconds, on_point))

    def points_of_run(self) -> list[str]:
        """Returns the points of a whole run, in order. Raises AssertionError if a run without faults has violations."""
        store = self.start_store()
        points: list[str] = []
        try:
            self.run(store, on_point=points.append)
            violations = find_violations(store.file, self.plan, whole=True)
            if violations:
                raise AssertionError(violations)
        finally:
            store.close()
        return points

    def runner_killed(self, number: int) -> list[str]:
        """Kills the runner at point `number`, and resumes with another; returns the violations of both states."""
        store = self.start_store()
        remaining = number

        def on_point(point: str) -> None:
            nonlocal remaining
            remaining -= 1
            if remaining < 0:
                raise RunnerKilledError

        try:
            with contextlib.suppress(RunnerKilledError):
                self.run(store, on_point=on_point)
            violations = find_violations(store.file, self.plan)
            return violations + self._resumed(store)
        finally:
            store.close()

    def runner_paused(self, number: int) -> list[str]:
        """Suspends the runner at point `number` until another has finished the plan; then the first goes on.

        The first runner's lease expires meanwhile. Returns the violations.
        """
        store = self.start_store()
        remaining = number
        second_results: list[RunResult] = []

        def run_second_runner() -> None:
            second_results.append(self.run(store, "resume", name="two"))

        def on_point(point: str) -> None:
            nonlocal remaining
            remaining -= 1
            if remaining == -1:
                thread = threading.Thread(target=run_second_runner)
                thread.start()
                thread.join()

        try:
            result = self.run(store, on_point=on_point)
            violations = (
                [] if second_results and second_results[0].succeeded else [f"the second runner: {second_results}"]
            )
            if "taken over" not in result.message and "all done" not in result.message:
                violations.append(f"the suspended runner: {result.message}")
            return violations + find_violations(store.file, self.plan, whole=True)
        finally:
            store.close()

    def store_fault(self, kind: str, at: str, skip: int, **fields: Any) -> list[str]:
        """Injects a store fault during a run; if that fails, another runner resumes. Returns the violations."""
        store = self.start_store()
        try:
            store.inject(kind=kind, at=at, skip=skip, **fields)
            result = self.run(store)
            violations = find_violations(store.file, self.plan)
            if not result.succeeded:
                return violations + self._resumed(store)
            return violations + find_violations(store.file, self.plan, whole=True)
        finally:
            store.close()

    def _resumed(self, store: RunningStore) -> list[str]:
        """Resumes as another runner; returns the violations after that."""
        result = self.run(store, "resume", name="two")
        failure = [] if result.succeeded else [result.message]
        return failure + find_violations(store.file, self.plan, whole=True)


def main() -> None:
    """Runs a plan in a process that sends itself a signal at one point; the arguments are PLAN PORT NUMBER SIGNAL."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=MigrationPlan)
    remaining = int(sys.argv[3])

    def on_point(point: str) -> None:
        nonlocal remaining
        remaining -= 1
        if remaining == -1:
            os.kill(os.getpid(), getattr(signal, sys.argv[4]))

    goal = Goal(plan, allow_ending_rollback=True)
    name = f"crash-{os.getpid()}"
    result = asyncio.run(_execute(goal, int(sys.argv[2]), name, PROCESS_LEASE_TTL_SECONDS, on_point))
    sys.stdout.write(result.message + "\n")


if __name__ == "__main__":
    main()
