"""The commands `lanelead migrations` (check, plan, status, run, undo, resume) and `lanelead store`."""

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

EXIT_UNUSABLE = 2  # a plan or an argument is invalid, or the store is unavailable
EXIT_INCOMPLETE = 3  # a step is active or has failed, or the operation did not succeed


@dataclass(frozen=True)
class RunArguments:
    """The arguments of run, undo and resume, named as on the command line; times in seconds.

    without_relay: relays that will not return, for whose acknowledgements the run does not wait.
    """

    file: str
    store: str
    to: str = ""
    past_back: bool = False
    without_relay: tuple[int, ...] = ()
    ttl: float = 5.0
    wait_seconds: float = 30.0
    console: bool = False


def load_plans(files: tuple[str, ...]) -> list[MigrationPlan]:
    """Reads plans and checks them, each alone and all together; prints errors and exits with 2 if any is invalid."""
    plans: list[tuple[MigrationPlan, Any]] = []
    failed = False
    for file in files:
        try:
            record, positions = read_with_positions(file)
        except SettingsError as error:
            click.echo(str(error), err=True)
            failed = True
            continue
        if not isinstance(record, MigrationPlan):
            click.echo(f"{file}: expected a migration plan (steps: ...)", err=True)
            failed = True
            continue
        plans.append((record, positions))
    try:
        check_plans(plans)
    except SettingsError as error:
        click.echo(str(error), err=True)
        failed = True
    if failed:
        sys.exit(EXIT_UNUSABLE)
    return [plan for plan, _ in plans]


def parse_address(text: str) -> Address:
    """Parses HOST:PORT; the host defaults to 127.0.0.1. Raises click.BadParameter."""
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"{text!r}: expected HOST:PORT")
    return Address(host or "127.0.0.1", int(port))


@click.group()
def migrations() -> None:
    """Check, run, resume and undo ordered schema and data migrations, logged in a store."""


STORE = click.option("--store", required=True, help="Address of the migration store.")


@migrations.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Check plan files, each alone and all together.

    Prints all errors; exits with 2 if there are any.
    """
    for plan in load_plans(files):
        click.echo(f"{plan.name}: {len(plan.steps)} steps, {len(plan.builds)} builds, valid")


@migrations.command()
@click.argument("file", type=click.Path())
@click.option("--store", help="HOST:PORT of a store in whose log the plan is registered, without running it.")
def plan(file: str, store: str | None) -> None:
    """Print the order of FILE's steps, and from which step on each build may or may not receive traffic.

    With --store, also registers the plan in the store's log: from then on, its builds receive no traffic before the
    steps that they need are done.
    """
    (migration_plan,) = load_plans((file,))
    log = MigrationLog()
    log.register_plan(migration_plan)
    for number, step in enumerate(execution_order(migration_plan), 1):
        state = log.steps[step.name]
        ready_before = [build for build in log.builds() if log.is_ready(build)]
        ended = log.builds_ended_by(state, "apply")
        state.status = StepStatus.DONE
        ready_after = [build for build in log.builds() if log.is_ready(build)]
        notes = [step.kind] if step.undo_statements else [step.kind, "can't be undone"]
        notes += [f"afterwards build {build} may have traffic" for build in ready_after if build not in ready_before]
        notes += [f"once it begins, no rollback to build {build}" for build in ended]
        click.echo(f"{number:3}  {step.name:24} {', '.join(notes)}")
    if store is not None:
        execute("take", RunArguments(file, store))


@migrations.command()
@STORE
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def status(store: str, as_json: bool) -> None:
    """Print the status of each step, which builds may have traffic, and up to which step a rollback is possible.

    Exits with 3 if a step is active or has failed, and with 2 if the store is unavailable or its log invalid.
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
    """Reads a store's log, and the progress of its active or failed step; None if there is no such step.

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
    """Builds the JSON document that `lanelead migrations status --json` prints."""
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
    """Builds the lines that `lanelead migrations status` prints."""
    if not log.steps:
        return ["no plan is registered"]
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
        text = "may have traffic" if log.is_ready(build) else "may not have traffic"
        text += f", until {ending_step!r} begins" if ending_step else ""
        lines.append(f"build {build:<18} {text}")
    return lines


def run_options(command: Callable[..., None]) -> Callable[..., None]:
    """Adds the options of run, undo and resume to a command; see RunArguments."""
    for option in (
        click.option(
            "--past-back", is_flag=True, help="Also run steps that make a rollback to an earlier build impossible."
        ),
        click.option(
            "--without-relay",
            multiple=True,
            type=click.IntRange(0),
            help="Number of a relay that will not return: don't wait for it. Repeatable.",
        ),
        click.option("--ttl", default=5.0, type=click.FloatRange(0.2, 3600), help="Duration of the lease in seconds."),
        click.option(
            "--patience",
            "wait_seconds",
            default=30.0,
            type=click.FloatRange(0, 86400),
            help="Seconds to wait for the store, the lease or the relays.",
        ),
        click.option("--console", is_flag=True, help="Log readable text instead of JSON lines."),
        click.option("--to", default="", help="Last step to apply or to undo. Default: all steps."),
        STORE,
        click.argument("file", type=click.Path()),
    ):
        command = option(command)
    return command


def execute(operation: Operation, arguments: RunArguments) -> None:
    """Runs an operation, prints its result, and exits with 0, or with 3 if it did not succeed."""
    address = parse_address(arguments.store)
    (plan,) = load_plans((arguments.file,))
    goal = Goal(plan, operation, arguments.to, arguments.past_back)
    result = asyncio.run(run_to_result(goal, address, arguments))
    click.echo(result.message, err=not result.succeeded)
    sys.exit(0 if result.succeeded else EXIT_INCOMPLETE)


async def run_to_result(goal: Goal, address: Address, arguments: RunArguments) -> RunResult:
    """Runs a goal on a store; logs to standard error, and shows a backfill's progress bar on a terminal."""
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
    """Run FILE's steps in order, up to --to or all; continues a run that was interrupted.

    Exits with 3 if it can't complete, and prints the reason.
    """
    execute("run", RunArguments(**arguments))


@migrations.command()
@run_options
def undo(**arguments: Any) -> None:
    """Undo FILE's steps in reverse order, down to and including --to, or all."""
    execute("undo", RunArguments(**arguments))


@migrations.command()
@run_options
def resume(**arguments: Any) -> None:
    """Retry the failed step from where it stopped; if it was being applied, continue with the steps after it."""
    execute("resume", RunArguments(**arguments))


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--port", default=0, type=click.IntRange(0, 65535), help="Port to listen on; 0 chooses a free one.")
def store(file: str, port: int) -> None:
    """Serve the embedded migration store, the SQLite file FILE, on loopback until SIGTERM."""
    from lanelead.store.service import run as serve

    if not Path(file).resolve().parent.is_dir():
        click.echo(f"{file}: its directory does not exist", err=True)
        sys.exit(EXIT_UNUSABLE)
    serve(file, port)
