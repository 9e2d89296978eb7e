"""Interrupts a plan of steps at one point, goes on, and checks what is left: record, schema and effects.

The points are those around each of a runner's requests, and those in and around each of the store's
transactions. The store is FaultyStore in a thread of its own, or in a process (`Apart`), over its socket
either way; the runner is the real Conductor. The checker reads the store's file alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

import msgspec

from lanelead.decisions.interface import Attempt, DeduplicationScope, Idempotency, Request, RequestClass, Ticks
from lanelead.http.client import CallFailedError, call, stream
from lanelead.migrations.calls import RunResult
from lanelead.migrations.client import MigrationStoreClient
from lanelead.migrations.executor import ExecutorOptions, MigrationExecutor
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.migrations.readiness import Readiness
from lanelead.migrations.runner import Goal, Operation
from lanelead.protocols.feeds import decode
from lanelead.protocols.migrations import AcknowledgeRequest, LogEntry, LoggedEntry, MigrationLogPage, SchemaCheck
from lanelead.settings.records import Address, Demands, Steps
from lanelead.store.migration_store import MigrationStore
from lanelead.testbed.emulators.migration_store import FaultyMigrationStoreServer

ROWS = 300
SCHEMA = f"""
CREATE TABLE offers (id INTEGER PRIMARY KEY, op TEXT, price TEXT, touched INTEGER NOT NULL DEFAULT 0);
CREATE TABLE tally (step TEXT NOT NULL);
WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {ROWS})
    INSERT INTO offers (op, price) SELECT 'op-' || i, '10.25' FROM n;
"""


class RunnerKilledError(BaseException):
    """Stands for SIGKILL: nothing below may catch it and clean up."""


def with_tally(plan: Steps) -> Steps:
    """The plan, with statements that show an effect had twice: none of them may be repeated."""
    steps = []
    for step in plan.steps:
        apply, undo = [*step.apply], step.undo
        if step.batch is None:
            apply.append(f"INSERT INTO tally VALUES ('{step.name}')")
            if not isinstance(undo, str):
                undo = [*undo, f"DELETE FROM tally WHERE step = '{step.name}'"]
        else:
            step = msgspec.structs.replace(step, batch=msgspec.structs.replace(step.batch, rate=1e6))
            apply.append("UPDATE offers SET touched = touched + 1 WHERE id > :low AND id <= :high")
        steps.append(msgspec.structs.replace(step, apply=apply, undo=undo))
    return msgspec.structs.replace(plan, steps=steps)


class RunningStore(Protocol):
    """Where a store runs."""

    file: Path
    port: int

    def inject(self, **what: Any) -> None: ...
    def close(self) -> None: ...


class StoreThread:
    """A store in a thread of this process; a relay that sees every closing a moment later."""

    def __init__(self, file: Path) -> None:
        self.file, self.port = file, 0
        self._up = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._up.wait(10)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._store = AcknowledgingStoreServer(MigrationStore(self.file))
        self._store.store.register_relay(0)
        self._store.store.connection.execute("PRAGMA synchronous=OFF")  # nothing here loses power
        self.port = self._loop.run_until_complete(self._store.start(0))
        self._up.set()
        self._loop.run_forever()
        self._store.close()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    def inject(self, **what: Any) -> None:
        done = threading.Event()
        self._loop.call_soon_threadsafe(self._store.inject, what)
        self._loop.call_soon_threadsafe(done.set)
        done.wait(10)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)


class AcknowledgingStoreServer(FaultyMigrationStoreServer):
    def entry_recorded(self, logged: LoggedEntry) -> None:
        if logged.entry.kind == "closing":
            asyncio.get_running_loop().call_later(0.005, self.store.acknowledge, 0, logged.seq)


class StoreProcess:
    """A store in a process, started again at the same port whenever it has been killed."""

    def __init__(self, file: Path, port: Callable[[], int]) -> None:
        self.file, self.port = file, port()
        self._over = False
        self._process = self._start()
        while self._process.poll() is not None:  # another process was faster at this port
            self.port = port()
            self._process = self._start()
        self._keeper = threading.Thread(target=self._keep, daemon=True)
        self._keeper.start()

    def _start(self) -> subprocess.Popen[bytes]:
        args = [sys.executable, "-m", "lanelead.testbed.emulators.migration_store", str(self.file), str(self.port)]
        process = subprocess.Popen(args, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert process.stdout is not None
        if not process.stdout.readline():
            process.wait()
        return process

    def _keep(self) -> None:
        while not self._over:
            process = self._process
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()
            if not self._over:
                self._process = self._start()

    def inject(self, **what: Any) -> None:
        stdin, stdout = self._process.stdin, self._process.stdout
        assert stdin is not None and stdout is not None
        stdin.write(json.dumps(what).encode() + b"\n")
        stdin.flush()
        stdout.readline()

    def close(self) -> None:
        self._over = True
        self._process.send_signal(signal.SIGTERM)
        self._keeper.join(10)


@dataclass
class CrashTrial:
    """One plan, one folder, one store after another."""

    plan: Steps
    folder: Path
    launch: Callable[[Path], RunningStore] = StoreThread
    points: list[str] = field(default_factory=list)
    stores_started: int = 0

    def start_store(self) -> RunningStore:
        """A store with a fresh schema."""
        first = self.folder / "first.db"
        if not first.exists():
            db = sqlite3.connect(first)
            db.executescript(SCHEMA)
            db.close()
        self.stores_started += 1
        file = self.folder / f"{self.stores_started}.db"
        shutil.copy(first, file)
        return self.launch(file)

    def run(
        self,
        place: RunningStore,
        what: Operation = "run",
        at: Callable[[str], None] = lambda point: None,
        name: str = "one",
        ttl: float = 0.05,
    ) -> RunResult:
        """A whole run in this thread. Raises Killed where `at` does."""

        async def whole() -> RunResult:
            goal = Goal(self.plan, what, allow_ending_rollback=True)
            client = MigrationStoreClient(Address("127.0.0.1", place.port))
            return await MigrationExecutor(goal, name, client, options=ExecutorOptions(ttl, 8.0), at=at).run()

        return asyncio.run(whole())

    def points_of_run(self) -> list[str]:
        """The points of a whole run, in order."""
        place, points = self.start_store(), list[str]()
        try:
            self.run(place, at=points.append)
            if wrong := find_violations(place.file, self.plan, whole=True):
                raise AssertionError(wrong)
        finally:
            place.close()
        return points

    def runner_killed(self, number: int) -> list[str]:
        """The runner ends at a point without a word; what is wrong at once, and after a resume by another."""
        place, left = self.start_store(), number

        def at(point: str) -> None:
            nonlocal left
            left -= 1
            if left < 0:
                raise RunnerKilledError

        try:
            with contextlib.suppress(RunnerKilledError):
                self.run(place, at=at)
            wrong = find_violations(place.file, self.plan)
            stop = self.run(place, "resume", name="two")
            wrong += [] if stop.succeeded else [stop.message]
            return wrong + find_violations(place.file, self.plan, whole=True)
        finally:
            place.close()

    def runner_paused(self, number: int) -> list[str]:
        """The runner stands still at a point past its lease; another does the rest; then it wakes."""
        place, left, others = self.start_store(), number, list[RunResult]()

        def at(point: str) -> None:
            nonlocal left
            left -= 1
            if left == -1:

                def other() -> None:
                    others.append(self.run(place, "resume", name="two"))

                thread = threading.Thread(target=other)
                thread.start()
                thread.join()

        try:
            stop = self.run(place, at=at)
            wrong = [] if others and others[0].succeeded else [f"the other: {others}"]
            if "taken over" not in stop.message and "all done" not in stop.message:
                wrong.append(f"the late one: {stop.message}")
            return wrong + find_violations(place.file, self.plan, whole=True)
        finally:
            place.close()

    def store_fault(self, kind: str, where: str, skip: int, **more: Any) -> list[str]:
        """The store does something once; the same runner goes on, or another resumes."""
        place = self.start_store()
        try:
            place.inject(kind=kind, at=where, skip=skip, **more)
            stop = self.run(place)
            wrong = find_violations(place.file, self.plan)
            if not stop.succeeded:
                stop = self.run(place, "resume", name="two")
            wrong += [] if stop.succeeded else [stop.message]
            return wrong + find_violations(place.file, self.plan, whole=True)
        finally:
            place.close()


def find_violations(file: Path, plan: Steps, whole: bool = False) -> list[str]:
    """What is wrong with a store's file: an unclear record, effects that the record doesn't tell of or that
    were had twice, a build with traffic whose writes fail. `whole`: and all steps must be done."""
    wrong, record = list[str](), MigrationLog()
    db = sqlite3.connect(file, isolation_level=None)
    try:
        for seq, body in db.execute("SELECT seq, body FROM ll_record ORDER BY seq").fetchall():
            record.append(LoggedEntry(seq, 0, "", 0.0, msgspec.json.decode(body, type=LogEntry)))
        had = {intent for (intent,) in db.execute("SELECT DISTINCT intent FROM ll_marks")}
        for step in plan.steps:
            mark = record.steps.get(step.name)
            if mark is None:
                continue
            if step.batch is None:
                times = db.execute("SELECT COUNT(*) FROM tally WHERE step = ?", (step.name,)).fetchone()[0]
                told = 1 if mark.status is StepStatus.DONE else 0
                if mark.status is StepStatus.IN_PROGRESS and mark.intent_seq in had:
                    told = 1
                if times != told:
                    wrong.append(f"{step.name}: had {times} times, the record and its marks say {told}")
            if whole and mark.status is not StepStatus.DONE:
                wrong.append(f"{step.name}: {mark.status.value} at the end")
        backfills = sum(1 for step in plan.steps if step.batch is not None)
        touched = [n for (n,) in db.execute("SELECT DISTINCT touched FROM offers WHERE id <= ?", (ROWS,))]
        if max(touched) > backfills or (whole and touched != [backfills]):
            wrong.append(f"rows were filled {touched} times, of {backfills}")
        for demands in plan.builds:
            if record.plans and record.is_ready(demands.build):
                db.execute("BEGIN")
                try:
                    db.execute(demands.write, {"op": "x"})
                except sqlite3.Error as fault:
                    wrong.append(f"build {demands.build} may have traffic, and fails: {fault}")
                db.execute("ROLLBACK")
    finally:
        db.close()
    return wrong


class WriteTraffic:
    """A relay and its units in small, in a thread: it follows the record, files by each build that may have
    traffic, by the relay's own join, and vouches for closings. What does not fit is kept in `misfits`."""

    def __init__(self, port: int, plan: Steps, heed: bool = True) -> None:
        self._port, self._plan, self._heed = port, plan, heed
        self.failures, self.writes = list[str](), dict[int, int]()
        self._over = False
        self._began = time.monotonic()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self._thread.start()

    def close(self) -> None:
        self._over = True
        self._thread.join(10)

    def _clock(self) -> Ticks:
        return int((time.monotonic() - self._began) * 10_000)

    async def _run(self) -> None:
        self._address, self._loop = Address("127.0.0.1", self._port), asyncio.get_running_loop()
        self._readiness = Readiness(1000, 0)
        self._readiness.builds_listed([min(demands.build for demands in self._plan.builds)])
        tasks = [asyncio.create_task(self._follow()), asyncio.create_task(self._vouch())]
        while not self._over:
            for demands in self._plan.builds:
                if self._readiness.accepts_traffic(demands.build) or not self._heed:
                    tasks.append(asyncio.create_task(self._file(demands)))
            await asyncio.sleep(0.004)
            tasks = [task for task in tasks if not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow(self) -> None:
        while True:
            path = b"/record/watch?relay=7&since=%d" % self._readiness.log.last_seq
            try:
                async for line in stream(self._loop, self._address, path, 3.0):
                    self._readiness.entries_received(decode(line, MigrationLogPage).entries)
            except CallFailedError:
                await asyncio.sleep(0.02)

    async def _vouch(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if owed := self._readiness.acknowledgement_due(self._clock()):
                with contextlib.suppress(CallFailedError, TimeoutError):
                    body = msgspec.json.encode(AcknowledgeRequest(7, owed))
                    answer = await call(self._loop, self._address, "POST", b"/seen", body, 1.0)
                    if answer.status == 200:
                        self._readiness.acknowledged_seq = owed

    async def _file(self, demands: Demands) -> None:
        request = Request(WRITE_CLASS, None, None, self._clock(), self._clock() + 10_000)
        attempt = Attempt(request, None, 0, self._clock(), 10_000)  # type: ignore[arg-type]
        self._readiness.attempt_sent(demands.build, attempt)
        known = False
        try:
            body = msgspec.json.encode(SchemaCheck(demands.build, "filed", demands.write))
            answer = await call(self._loop, self._address, "POST", b"/file", body, 1.0)
            known = True
            self.writes[demands.build] = self.writes.get(demands.build, 0) + 1
            if answer.status != 200:
                self.failures.append(f"build {demands.build}: {answer.body.decode()}")
        except (CallFailedError, TimeoutError):
            pass  # the store was away: it may still be carried out
        finally:
            self._readiness.attempt_ended(attempt, known)


WRITE_CLASS = RequestClass(
    "file", 5_000, 10_000, 1.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
)


def main() -> None:
    """A runner's process that hurts itself at a point: PLAN PORT NUMBER SIGNAL."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Steps)
    left = int(sys.argv[3])

    def at(point: str) -> None:
        nonlocal left
        left -= 1
        if left == -1:
            os.kill(os.getpid(), getattr(signal, sys.argv[4]))

    async def whole() -> RunResult:
        goal, client = (
            Goal(plan, allow_ending_rollback=True),
            MigrationStoreClient(Address("127.0.0.1", int(sys.argv[2]))),
        )
        return await MigrationExecutor(
            goal, f"hurt-{os.getpid()}", client, options=ExecutorOptions(0.2, 8.0), at=at
        ).run()

    stop = asyncio.run(whole())
    sys.stdout.write(stop.message + "\n")


if __name__ == "__main__":
    main()
