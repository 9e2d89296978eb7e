"""The commands `lanelead simulation run`, `lanelead experiment run` and `lanelead experiment report`."""

from __future__ import annotations

import sqlite3
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from lanelead.settings.errors import SettingsError
from lanelead.settings.experiment_settings import ExperimentPlan
from lanelead.settings.read import read_with_positions
from lanelead.testbed.scenarios.commands import end, load
from lanelead.testbed.simulation.baselines import POLICIES
from lanelead.testbed.simulation.fleet import SimulatedFleet


@click.group()
def simulation() -> None:
    """Scenarios in virtual time: the same scripts, driver, decisions and verifier as on sockets."""


@simulation.command("run")
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), help="Another seed than the script's.")
@click.option("--policy", default="lanelead", type=click.Choice(list(POLICIES)), show_default=True)
@click.option("--relays", type=click.IntRange(1, 5000), help="Other than the script's.")
@click.option("--units", type=click.IntRange(1, 5000), help="Other than the script's.")
@click.option("--rate", type=click.FloatRange(0.1, 1e6), help="Requests a second, other than the script's.")
@click.option("--capture", type=click.Path(file_okay=False), help="Where the recording is kept.")
@click.option("--verdict", type=click.Path(dir_okay=False), help="Where the verdict is written, as JSON.")
def run_(
    name: str,
    seed: int | None,
    policy: str,
    relays: int | None,
    units: int | None,
    rate: float | None,
    capture: str | None,
    verdict: str | None,
) -> None:
    """Plays NAME, a scenario's name or file, in virtual time. Exits as `scenario play` does."""
    try:
        day = load(name)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if day.steps is not None:
        raise click.BadParameter("the simulation has no migration store yet: play this scenario on sockets")
    more = {
        "relays": relays or day.relays,
        "units": msgspec.structs.replace(day.units, count=units or day.units.count),
        "clients": msgspec.structs.replace(day.clients, rate=rate or day.clients.rate),
    }
    day = msgspec.structs.replace(day, **more)
    fleet = SimulatedFleet(day, day.seed if seed is None else seed, POLICIES[policy]).run()
    for kind in fleet.left_out:
        click.echo(f"left out: {kind}, a fault of connections")
    with tempfile.TemporaryDirectory(prefix="lanelead-model-") as spare:
        folder = Path(capture) if capture else Path(spare)
        fleet.book.write(folder, day)
        end(folder, verdict)


@click.group()
def experiment() -> None:
    """Plans of simulations: factors, policies, seeds, intervals, and a report."""


@experiment.command("run")
@click.argument("file", type=click.Path())
@click.option("-o", "--out", required=True, type=click.Path(dir_okay=False), help="The results, SQLite.")
@click.option("--procs", default=0, type=click.IntRange(0, 256), help="Processes; 0: one a core.")
def run_plan(file: str, out: str, procs: int) -> None:
    """Runs FILE's plan; started again, it goes on with what is missing."""
    from tqdm import tqdm

    from lanelead.testbed.experiments import report as reports
    from lanelead.testbed.experiments.plan import cells
    from lanelead.testbed.experiments.run import OtherPlanError, read, run

    try:
        plan, positions = read_with_positions(file)
        if not isinstance(plan, ExperimentPlan):
            raise click.BadParameter(f"{file}: expected the plan of an experiment")
        found = cells(plan, positions)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    with tqdm(unit="run", file=sys.stderr, disable=None) as bar:

        def progress(done: int, total: int) -> None:
            bar.total = max(bar.total or 0, total)
            bar.update(1)

        try:
            run(plan, found, Path(out), procs, progress)
        except (OtherPlanError, sqlite3.Error) as error:
            click.echo(f"{out}: {error}", err=True)
            sys.exit(2)
    for line in reports.lines(*read(out)):
        click.echo(line)


@experiment.command("report")
@click.argument("results", type=click.Path(exists=True, dir_okay=False))
@click.option("-o", "--out", required=True, type=click.Path(dir_okay=False), help="The HTML file.")
def report(results: str, out: str) -> None:
    """One HTML file of RESULTS, with plots, that opens without a network."""
    from lanelead.testbed.experiments.report import page
    from lanelead.testbed.experiments.run import read

    try:
        plan, rows = read(results)
    except (sqlite3.Error, TypeError, msgspec.MsgspecError) as error:
        click.echo(f"{results}: no results of an experiment ({error})", err=True)
        sys.exit(2)
    Path(out).write_text(page(plan, rows))
    click.echo(f"{out}: {sum(len(seeds) for seeds in rows.values())} runs")
