"""The command line: relay, check, day, steps and store."""

from __future__ import annotations

import sys

import click

from lanelead import VERSION
from lanelead.settings.cue import Unfit
from lanelead.settings.read import read
from lanelead.settings.records import Day, Experiment, Relay, Steps


@click.group()
@click.version_option(VERSION, prog_name="lanelead")
def main() -> None:
    """A release controller with a router that moves traffic between builds."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Checks settings files; says all that is wrong, and exits with 2 where anything is."""
    bad = False
    for file in files:
        try:
            record = read(file)
        except Unfit as unfit:
            bad = True
            for fault in unfit.faults:
                click.echo(str(fault), err=True)
        else:
            kinds = {Relay: "relay", Day: "day", Steps: "plan of steps", Experiment: "plan of an experiment"}
            kind = kinds[type(record)]
            click.echo(f"{file}: a {kind}, good")
    sys.exit(2 if bad else 0)


@main.command()
@click.option("--settings", required=True, type=click.Path(), help="The relay's settings file.")
@click.option("--console", is_flag=True, help="Logs for people rather than JSON lines.")
def relay(settings: str, console: bool) -> None:
    """Runs a relay until SIGTERM; it then drains and exits with 0."""
    from lanelead.relay.main import run

    try:
        record = read(settings)
    except Unfit as unfit:
        click.echo(str(unfit), err=True)
        sys.exit(2)
    if not isinstance(record, Relay):
        click.echo(f"{settings}: expected a relay", err=True)
        sys.exit(2)
    run(record, "console" if console else record.log)


def _rest() -> None:
    from lanelead.days.commands import day
    from lanelead.experiments.commands import experiment, model
    from lanelead.load.commands import load
    from lanelead.steps.commands import steps, store

    for command in (day, steps, store, model, experiment, load):
        main.add_command(command)


_rest()
