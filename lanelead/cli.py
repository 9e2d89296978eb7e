"""The command line. Commands are loaded when they are called for: a relay starts on part of a core."""

from __future__ import annotations

import importlib
import sys

import click

from lanelead import VERSION

ELSEWHERE = {  # commands by name, and where they stand
    "day": "lanelead.testbed.scenarios.commands",
    "steps": "lanelead.migrations.commands",
    "store": "lanelead.migrations.commands",
    "model": "lanelead.testbed.experiments.commands",
    "experiment": "lanelead.testbed.experiments.commands",
    "circle": "lanelead.membership.commands",
    "configuration": "lanelead.configuration.commands",
    "load": "lanelead.testbed.load.commands",
}


class Lazy(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *ELSEWHERE])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name in ELSEWHERE:
            found = getattr(importlib.import_module(ELSEWHERE[cmd_name]), cmd_name)
            assert isinstance(found, click.Command)
            return found
        return super().get_command(ctx, cmd_name)


@click.group(cls=Lazy)
@click.version_option(VERSION, prog_name="lanelead")
def main() -> None:
    """A release controller with a router that moves traffic between builds."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Checks settings files; says all that is wrong, and exits with 2 where anything is."""
    from lanelead.settings.cue import Unfit
    from lanelead.settings.read import read
    from lanelead.settings.records import Day, Experiment, Relay, Steps

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
    from lanelead.http_relay.main import run
    from lanelead.settings.cue import Unfit
    from lanelead.settings.read import read
    from lanelead.settings.records import Relay

    try:
        record = read(settings)
    except Unfit as unfit:
        click.echo(str(unfit), err=True)
        sys.exit(2)
    if not isinstance(record, Relay):
        click.echo(f"{settings}: expected a relay", err=True)
        sys.exit(2)
    run(record, "console" if console else record.log)


@main.command()
@click.option("--console", is_flag=True, help="Logs for people rather than JSON lines.")
def node(console: bool) -> None:
    """Runs the relay that the platform's NODE_CONFIG describes, until SIGTERM."""
    from lanelead.postgres_relay.main import run

    run("console" if console else "json")
