"""`lanelead steps`: check, plan, status, run, undo and resume; and `lanelead store`."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path
from typing import Any

import click
import msgspec
from tqdm import tqdm

from lanelead.logs import logger
from lanelead.migrations.executor import Away, Client, Conductor
from lanelead.migrations.migration_log import Broken, Record, Stand
from lanelead.migrations.plan import check as check_plans
from lanelead.migrations.plan import ordered
from lanelead.migrations.runner import Goal, Stop
from lanelead.protocols.migrations import EffectProgress
from lanelead.settings.cue import Unfit
from lanelead.settings.read import spotted
from lanelead.settings.records import Address, Steps


def load(files: tuple[str, ...]) -> list[Steps]:
    """The plans of some files, checked alone and together; ends the program with 2 where they are unfit."""
    plans, bad = list[tuple[Steps, Any]](), False
    for file in files:
        try:
            record, spots = spotted(file)
        except Unfit as unfit:
            click.echo(str(unfit), err=True)
            bad = True
            continue
        if not isinstance(record, Steps):
            click.echo(f"{file}: expected a plan of steps", err=True)
            bad = True
            continue
        plans.append((record, spots))
    try:
        check_plans(plans)
    except Unfit as unfit:
        click.echo(str(unfit), err=True)
        bad = True
    if bad:
        sys.exit(2)
    return [plan for plan, _ in plans]


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise click.BadParameter(f"{text!r}: expected HOST:PORT")
    return Address(host or "127.0.0.1", int(port))


@click.group()
def migrations() -> None:
    """Ordered schema and data steps: checked, run, resumed and undone, with a record in the store."""


STORE = click.option("--store", required=True, help="The store's HOST:PORT.")


@migrations.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Checks plans, alone and together; says all that is wrong, and exits with 2 where anything is."""
    for plan in load(files):
        click.echo(f"{plan.name}: {len(plan.steps)} steps, {len(plan.builds)} builds, good")


@migrations.command()
@click.argument("file", type=click.Path())
@click.option("--store", help="HOST:PORT of a store, whose record takes the plan up: nothing is run.")
def plan(file: str, store: str | None) -> None:
    """The order in which FILE's steps run, and what each does to the builds' readiness.

    With `--store` the plan is taken up too: from then on its builds wait for what they need."""
    (found,) = load((file,))
    record = Record()
    record.plan(found)
    for number, step in enumerate(ordered(found), 1):
        mark = record.marks[step.name]
        before = [build for build in record.builds() if record.ready(build)]
        ends = record.takes(mark, "apply")
        mark.stand = Stand.DONE
        opens = [build for build in record.builds() if record.ready(build) and build not in before]
        words = [step.kind, "can't be undone"] if not step.undoing else [step.kind]
        words += [f"then build {build} may have traffic" for build in opens]
        words += [f"from its start on no way back to build {build}" for build in ends]
        click.echo(f"{number:3}  {step.name:24} {', '.join(words)}")
    if store is not None:
        start("take", file, store, "", False, (), 5.0, 30.0, False)


@migrations.command()
@STORE
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def status(store: str, as_json: bool) -> None:
    """Where each step stands, which builds may have traffic, and until when back is possible. Exits with 3
    where a step is under way or has failed."""
    where = address(store)

    async def read() -> tuple[Record, EffectProgress | None]:
        client, record = Client(where), Record()
        await client.read(record)
        mark = record.under_way() or record.failed()
        if mark is None or not mark.intent:
            return record, None
        marks = await client.ask("GET", f"/marks?intent={mark.intent}", EffectProgress)
        return record, marks if isinstance(marks, EffectProgress) else None

    try:
        record, marks = asyncio.run(read())
    except (Away, Broken) as fault:
        click.echo(f"{store}: {fault}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(msgspec.json.encode(shown(record, marks)).decode())
    else:
        for line in told(record, marks):
            click.echo(line)
    sys.exit(3 if record.under_way() or record.failed() else 0)


def shown(record: Record, marks: EffectProgress | None) -> dict[str, Any]:
    rows = [
        {"step": m.step.name, "plan": m.plan, "stand": m.stand.value, "way": m.way, "text": m.text}
        for m in record.marks.values()
    ]
    builds = [
        {"build": build, "ready": record.ready(build), "back_ends_with": record.back_ends_with(build)}
        for build in record.builds()
    ]
    had = None if marks is None else msgspec.to_builtins(marks)
    return {"seq": record.seq, "steps": rows, "builds": builds, "had": had}


def told(record: Record, marks: EffectProgress | None) -> list[str]:
    lines = list[str]()
    if not record.marks:
        return ["no plan has been taken up"]
    for mark in record.marks.values():
        words = mark.stand.value
        if mark.stand in (Stand.CLOSING, Stand.INTENDED, Stand.FAILED):
            words += f" to {mark.way}"
            if marks is not None and mark.stand is not Stand.CLOSING:
                words += f", {marks.parts} parts had"
                words += f", up to key {marks.cursor}" if marks.cursor is not None else ""
            words += f": {mark.text}" if mark.text else ""
        lines.append(f"{mark.step.name:24} {words}")
    for build in record.builds():
        ends = record.back_ends_with(build)
        words = "may have traffic" if record.ready(build) else "may have none"
        lines.append(f"build {build:<18} {words}{f', until {ends!r} begins' if ends else ''}")
    return lines


def options(command: Any) -> Any:
    for option in (
        click.option("--past-back", is_flag=True, help="Steps may make a way back impossible."),
        click.option("--without-relay", multiple=True, type=click.IntRange(0), help="It is gone for good."),
        click.option("--ttl", default=5.0, type=click.FloatRange(0.2, 3600), help="Seconds of a lease."),
        click.option(
            "--patience",
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


def start(
    what: str,
    file: str,
    store: str,
    to: str,
    past_back: bool,
    without_relay: tuple[int, ...],
    ttl: float,
    patience: float,
    console: bool,
) -> None:
    where, (found,) = address(store), load((file,))
    goal = Goal(found, what, to, past_back)
    stop = asyncio.run(conduct(goal, where, frozenset(without_relay), ttl, patience, console))
    click.echo(stop.text, err=not stop.good)
    sys.exit(0 if stop.good else 3)


async def conduct(
    goal: Goal, where: Address, without: frozenset[int], ttl: float, patience: float, console: bool
) -> Stop:
    name = f"{socket.gethostname()[:40]}-{os.getpid()}"
    log = logger("console" if console else "json").bind(runner=name)
    # A bar where somebody looks on, and nothing but the log elsewhere.
    with tqdm(unit="row", file=sys.stderr, disable=None) as bar:

        def moved(record: Record, marks: EffectProgress | None) -> None:
            mark = record.under_way()
            if marks is not None and mark is not None and mark.step.batch:
                bar.set_description(mark.step.name)
                bar.update(marks.rows - bar.n)

        client = Client(where)
        conductor = Conductor(goal, name, client, ttl, log, moved, patience=patience, without=without)
        return await conductor.run()


@migrations.command()
@options
def run(**given: Any) -> None:
    """Runs FILE's steps in order, up to `--to` or all; goes on where an earlier run was interrupted. Exits
    with 3 where it can't, and the record says why."""
    start("run", **given)


@migrations.command()
@options
def undo(**given: Any) -> None:
    """Undoes FILE's steps, the last first, down to and with `--to` or all."""
    start("undo", **given)


@migrations.command()
@options
def resume(**given: Any) -> None:
    """Tries again what has failed, from where it stopped, and goes on."""
    start("resume", **given)


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--port", default=0, type=click.IntRange(0, 65535), help="0: any free one.")
def store(file: str, port: int) -> None:
    """Serves the embedded store of steps, the SQLite FILE, on loopback until SIGTERM."""
    from lanelead.store.service import run as serve

    if not Path(file).resolve().parent.is_dir():
        click.echo(f"{file}: no such folder", err=True)
        sys.exit(2)
    serve(file, port)
