"""`lanelead migrations`: check, plan, status, run, undo and resume; and `lanelead store`."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import msgspec
from tqdm import tqdm

from lanelead.logs import logger
from lanelead.migrations.calls import RunResult
from lanelead.migrations.client import MigrationStoreClient
from lanelead.migrations.errors import InvalidEntryError, StoreUnavailableError
from lanelead.migrations.executor import ExecutorOptions, MigrationExecutor
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.migrations.plan import check_plans, execution_order
from lanelead.migrations.runner import Goal, Operation
from lanelead.protocols.migrations import EffectProgress
from lanelead.settings.errors import SettingsError
from lanelead.settings.migration_settings import MigrationPlan
from lanelead.settings.read import read_with_positions
from lanelead.settings.service_settings import Address

EXIT_UNUSABLE = 2  # plans, arguments or a store that can't be used
EXIT_INCOMPLETE = 3  # a step is under way or has failed


@dataclass(frozen=True)
class RunArguments:
    """The arguments of run, undo and resume, by their names on the command line. Times in seconds."""

    file: str
    store: str
    to: str = ""
    past_back: bool = False
    without_relay: tuple[int, ...] = ()
    ttl: float = 5.0
    wait_seconds: float = 30.0
    console: bool = False


def load_plans(files: tuple[str, ...]) -> list[MigrationPlan]:
    """The plans of some files, checked one by one and all together; exits with 2 where they are unfit."""
    plans: list[tuple[MigrationPlan, Any]] = []
    failed = False
    for file in files:
        try:
            record, positions = read_with_positions(file)
        except SettingsError as unfit:
            click.echo(str(unfit), err=True)
            failed = True
            continue
        if not isinstance(record, MigrationPlan):
            click.echo(f"{file}: expected a migration plan (steps: ...)", err=True)
            failed = True
            continue
        plans.append((record, positions))
    try:
        check_plans(plans)
    except SettingsError as unfit:
        click.echo(str(unfit), err=True)
        failed = True
    if failed:
        sys.exit(EXIT_UNUSABLE)
    return [plan for plan, _ in plans]


def parse_address(text: str) -> Address:
    """The address HOST:PORT; without a host, on loopback. Raises click.BadParameter."""
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"{text!r}: expected HOST:PORT")
    return Address(host or "127.0.0.1", int(port))


@click.group()
def migrations() -> None:
    """Ordered schema and data migrations: checked, run, resumed and undone, with a log in the store."""


STORE = click.option("--store", required=True, help="The store's HOST:PORT.")


@migrations.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Checks plans, each by itself and all together; prints all that is wrong, and exits with 2 where anything is."""
    for plan in load_plans(files):
        click.echo(f"{plan.name}: {len(plan.steps)} steps, {len(plan.builds)} builds, good")


@migrations.command()
@click.argument("file", type=click.Path())
@click.option("--store", help="HOST:PORT of a store, whose log takes the plan up: nothing is run.")
def plan(file: str, store: str | None) -> None:
    """The order in which FILE's steps run, and what each does to the builds' readiness.

    With `--store` the plan is taken up too: from then on its builds wait for what they need.
    """
    (found,) = load_plans((file,))
    log = MigrationLog()
    log.register_plan(found)
    for number, step in enumerate(execution_order(found), 1):
        state = log.steps[step.name]
        ready_before = [build for build in log.builds() if log.is_ready(build)]
        ended = log.builds_ended_by(state, "apply")
        state.status = StepStatus.DONE
        ready_after = [build for build in log.builds() if log.is_ready(build)]
        notes = [step.kind] if step.undoing else [step.kind, "can't be undone"]
        notes += [f"then build {build} may have traffic" for build in ready_after if build not in ready_before]
        notes += [f"from its start on no rollback to build {build}" for build in ended]
        click.echo(f"{number:3}  {step.name:24} {', '.join(notes)}")
    if store is not None:
        execute("take", RunArguments(file, store))


@migrations.command()
@STORE
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(store: str, as_json: bool) -> None:
    """The status of each step, which builds may have traffic, and until when a rollback is possible.

    Exits with 3 where a step is under way or has failed.
    """
    address = parse_address(store)
    try:
        log, progress = asyncio.run(read_status(address))
    except (StoreUnavailableError, InvalidEntryError) as error:
        click.echo(f"{store}: {error}", err=True)
        sys.exit(EXIT_UNUSABLE)
    if as_json:
        click.echo(msgspec.json.encode(status_document(log, progress)).decode())
    else:
        for line in status_lines(log, progress):
            click.echo(line)
    sys.exit(EXIT_INCOMPLETE if log.active_step() or log.failed_step() else 0)


async def read_status(address: Address) -> tuple[MigrationLog, EffectProgress | None]:
    """A store's log, and the progress of its active or failed step.

    Raises StoreUnavailableError and InvalidEntryError.
    """
    client = MigrationStoreClient(address)
    log = MigrationLog()
    await client.read_log(log)
    state = log.active_step() or log.failed_step()
    if state is None or not state.intent_seq:
        return log, None
    progress = await client.call("GET", f"/marks?intent={state.intent_seq}", EffectProgress)
    return log, progress if isinstance(progress, EffectProgress) else None


def status_document(log: MigrationLog, progress: EffectProgress | None) -> dict[str, Any]:
    """The status as a JSON document."""
    steps = [
        {
            "step": state.step.name,
            "plan": state.plan_name,
            "stand": state.status.value,
            "way": state.direction,
            "text": state.failure_reason,
        }
        for state in log.steps.values()
    ]
    builds = [
        {"build": build, "ready": log.is_ready(build), "back_ends_with": log.rollback_ended_by(build)}
        for build in log.builds()
    ]
    applied = None if progress is None else msgspec.to_builtins(progress)
    return {"seq": log.last_seq, "steps": steps, "builds": builds, "had": applied}


def status_lines(log: MigrationLog, progress: EffectProgress | None) -> list[str]:
    """The status as lines for people."""
    if not log.steps:
        return ["no plan has been taken up"]
    lines: list[str] = []
    for state in log.steps.values():
        text = state.status.value
        if state.active or state.status is StepStatus.FAILED:
            text += f" to {state.direction}"
            if progress is not None and state.status is not StepStatus.AT_BARRIER:
                text += f", {progress.parts} parts applied"
                text += f", up to key {progress.cursor}" if progress.cursor is not None else ""
            text += f": {state.failure_reason}" if state.failure_reason else ""
        lines.append(f"{state.step.name:24} {text}")
    for build in log.builds():
        ending_step = log.rollback_ended_by(build)
        text = "may have traffic" if log.is_ready(build) else "may have none"
        text += f", until {ending_step!r} begins" if ending_step else ""
        lines.append(f"build {build:<18} {text}")
    return lines


def run_options(command: Callable[..., None]) -> Callable[..., None]:
    """The options of run, undo and resume; see RunArguments."""
    for option in (
        click.option("--past-back", is_flag=True, help="Steps may make a rollback impossible."),
        click.option("--without-relay", multiple=True, type=click.IntRange(0), help="It will not return."),
        click.option("--ttl", default=5.0, type=click.FloatRange(0.2, 3600), help="Seconds of a lease."),
        click.option(
            "--patience",
            "wait_seconds",
            default=30.0,
            type=click.FloatRange(0, 86400),
            help="Seconds to wait for a store, a lease or relays.",
        ),
        click.option("--console", is_flag=True, help="Logs for people rather than JSON lines."),
        click.option("--to", default="", help="The last step to apply, or to undo."),
        STORE,
        click.argument("file", type=click.Path()),
    ):
        command = option(command)
    return command


def execute(operation: Operation, arguments: RunArguments) -> None:
    """Runs an operation, prints its result, and ends the program with 0, or with 3 where it did not succeed."""
    address = parse_address(arguments.store)
    (plan,) = load_plans((arguments.file,))
    goal = Goal(plan, operation, arguments.to, arguments.past_back)
    result = asyncio.run(run_to_result(goal, address, arguments))
    click.echo(result.message, err=not result.succeeded)
    sys.exit(0 if result.succeeded else EXIT_INCOMPLETE)


async def run_to_result(goal: Goal, address: Address, arguments: RunArguments) -> RunResult:
    """Runs a goal on a store, with log events on standard error, and a bar of a backfill's rows on a terminal."""
    name = f"{socket.gethostname()[:40]}-{os.getpid()}"
    run_logger = logger("console" if arguments.console else "json").bind(runner=name)
    with tqdm(unit="row", file=sys.stderr, disable=None) as bar:

        def show_progress(log: MigrationLog, progress: EffectProgress | None) -> None:
            active = log.active_step()
            if progress is not None and active is not None and active.step.batch:
                bar.set_description(active.step.name)
                bar.update(progress.rows - bar.n)

        options = ExecutorOptions(arguments.ttl, arguments.wait_seconds, frozenset(arguments.without_relay))
        executor = MigrationExecutor(
            goal,
            name,
            MigrationStoreClient(address),
            options=options,
            logger=run_logger,
            on_progress=show_progress,
        )
        return await executor.run()


@migrations.command()
@run_options
def run(**arguments: Any) -> None:
    """Runs FILE's steps in order, up to `--to` or all; goes on where an earlier run was interrupted.

    Exits with 3 where it can't, and the log says why.
    """
    execute("run", RunArguments(**arguments))


@migrations.command()
@run_options
def undo(**arguments: Any) -> None:
    """Undoes FILE's steps, the last first, down to and with `--to` or all."""
    execute("undo", RunArguments(**arguments))


@migrations.command()
@run_options
def resume(**arguments: Any) -> None:
    """Tries again what has failed, from where it stopped, and goes on."""
    execute("resume", RunArguments(**arguments))


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--port", default=0, type=click.IntRange(0, 65535), help="0: any free one.")
def store(file: str, port: int) -> None:
    """Serves the embedded migration store, the SQLite FILE, on loopback until SIGTERM."""
    from lanelead.store.service import run as serve

    if not Path(file).resolve().parent.is_dir():
        click.echo(f"{file}: no such folder", err=True)
        sys.exit(EXIT_UNUSABLE)
    serve(file, port)
