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
    """Run scenarios in virtual time, with the same scripts, driver, decisions and verifier as on sockets."""


@simulation.command("run")
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), help="Seed of the run; without it, the scenario's.")
@click.option("--policy", default="lanelead", type=click.Choice(list(POLICIES)), show_default=True)
@click.option("--relays", type=click.IntRange(1, 5000), help="Number of relays; without it, the scenario's.")
@click.option("--units", type=click.IntRange(1, 5000), help="Number of endpoints; without it, the scenario's.")
@click.option("--rate", type=click.FloatRange(0.1, 1e6), help="Requests a second; without it, the scenario's.")
@click.option(
    "--capture", type=click.Path(file_okay=False), help="Folder to keep the recording in; without it, none is kept."
)
@click.option("--verdict", type=click.Path(dir_okay=False), help="File to write the verdict to, as JSON.")
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
    """Run the scenario NAME, a name or a file, in virtual time. Exit codes are those of `scenario play`."""
    try:
        scenario = load(name)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if scenario.steps is not None:
        raise click.BadParameter("the simulation has no migration store yet: play this scenario on sockets")
    overrides = {
        "relays": relays or scenario.relays,
        "units": msgspec.structs.replace(scenario.units, count=units or scenario.units.count),
        "clients": msgspec.structs.replace(scenario.clients, rate=rate or scenario.clients.rate),
    }
    scenario = msgspec.structs.replace(scenario, **overrides)
    fleet = SimulatedFleet(scenario, scenario.seed if seed is None else seed, POLICIES[policy]).run()
    for kind in fleet.unsupported_events:
        click.echo(f"skipped fault {kind}: the simulation has no connections")
    with tempfile.TemporaryDirectory(prefix="lanelead-model-") as temporary:
        folder = Path(capture) if capture else Path(temporary)
        fleet.recorder.write(folder, scenario)
        end(folder, verdict)


@click.group()
def experiment() -> None:
    """Run plans of simulations over factors, policies and seeds, and report their results with intervals."""


@experiment.command("run")
@click.argument("file", type=click.Path())
@click.option("-o", "--out", required=True, type=click.Path(dir_okay=False), help="SQLite file of the results.")
@click.option("--procs", default=0, type=click.IntRange(0, 256), help="Number of processes; 0: one for each core.")
def run_plan(file: str, out: str, procs: int) -> None:
    """Run the experiment plan FILE. Runs that the results already have are not repeated."""
    from tqdm import tqdm

    from lanelead.testbed.experiments import report as reports
    from lanelead.testbed.experiments.plan import cells
    from lanelead.testbed.experiments.run import PlanMismatchError, read, run

    try:
        plan, positions = read_with_positions(file)
        if not isinstance(plan, ExperimentPlan):
            raise click.BadParameter(f"{file}: expected the plan of an experiment")
        found = cells(plan, positions)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    with tqdm(unit="run", file=sys.stderr, disable=None) as progress_bar:

        def progress(done: int, total: int) -> None:
            progress_bar.total = max(progress_bar.total or 0, total)
            progress_bar.update(1)

        try:
            run(plan, found, Path(out), procs, progress)
        except (PlanMismatchError, sqlite3.Error) as error:
            click.echo(f"{out}: {error}", err=True)
            sys.exit(2)
    for line in reports.lines(*read(out)):
        click.echo(line)


@experiment.command("report")
@click.argument("results", type=click.Path(exists=True, dir_okay=False))
@click.option("-o", "--out", required=True, type=click.Path(dir_okay=False), help="HTML file to write.")
def report(results: str, out: str) -> None:
    """Write RESULTS as one HTML file with plots, which opens without a network."""
    from lanelead.testbed.experiments.report import page
    from lanelead.testbed.experiments.run import read

    try:
        plan, rows = read(results)
    except (sqlite3.Error, TypeError, msgspec.MsgspecError) as error:
        click.echo(f"{results}: expected the results of an experiment ({error})", err=True)
        sys.exit(2)
    Path(out).write_text(page(plan, rows))
    click.echo(f"{out}: {sum(len(seeds) for seeds in rows.values())} runs")
