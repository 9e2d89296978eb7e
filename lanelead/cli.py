"""The command line.

A command's modules are imported only when it is called, since a relay must start quickly on a fraction of a core.
"""

from __future__ import annotations

import importlib
import sys

import click

from lanelead import VERSION

COMMAND_MODULES = {
    "configuration": "lanelead.configuration.commands",
    "experiment": "lanelead.testbed.experiments.commands",
    "load": "lanelead.testbed.load.commands",
    "membership": "lanelead.membership.commands",
    "migrations": "lanelead.migrations.commands",
    "scenario": "lanelead.testbed.scenarios.commands",
    "simulation": "lanelead.testbed.experiments.commands",
    "store": "lanelead.migrations.commands",
}
DEPRECATED_NAMES = {"circle": "membership", "day": "scenario", "model": "simulation", "steps": "migrations"}


class LazyGroup(click.Group):
    """Imports the module of a command only when that command is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all commands; deprecated names work too, but are not listed."""
        return sorted([*super().list_commands(ctx), *COMMAND_MODULES])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Returns the command of a name, or of the name that replaced a deprecated one."""
        name = DEPRECATED_NAMES.get(cmd_name, cmd_name)
        if name not in COMMAND_MODULES:
            return super().get_command(ctx, name)
        command = getattr(importlib.import_module(COMMAND_MODULES[name]), name)
        assert isinstance(command, click.Command)
        return command


@click.group(cls=LazyGroup)
@click.version_option(VERSION, prog_name="lanelead")
def main() -> None:
    """Routes requests to endpoints, and promotes or rolls back their builds by votes of the relays."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Checks settings files. Prints every fault with its position, and exits with 2 if there is one."""
    from lanelead.settings.errors import SettingsError
    from lanelead.settings.experiment_settings import ExperimentPlan
    from lanelead.settings.migration_settings import MigrationPlan
    from lanelead.settings.read import read
    from lanelead.settings.relay_settings import RelaySettings
    from lanelead.settings.scenario_settings import Scenario

    found_faults = False
    for file in files:
        try:
            record = read(file)
        except SettingsError as error:
            found_faults = True
            for fault in error.faults:
                click.echo(str(fault), err=True)
        else:
            kinds = {
                RelaySettings: "relay settings",
                Scenario: "scenario",
                MigrationPlan: "migration plan",
                ExperimentPlan: "experiment plan",
            }
            kind = kinds[type(record)]
            click.echo(f"{file}: valid {kind} file")
    sys.exit(2 if found_faults else 0)


@main.command()
@click.option("--settings", required=True, type=click.Path(), help="The relay's settings file.")
@click.option("--console", is_flag=True, help="Log readable text instead of JSON lines.")
def relay(settings: str, console: bool) -> None:
    """Runs a relay until SIGTERM; it then drains and exits with 0. A second SIGTERM ends it at once."""
    from lanelead.runtime.without_openssl import import_event_loop

    import_event_loop()
    from lanelead.http_relay.main import run
    from lanelead.settings.errors import SettingsError
    from lanelead.settings.read import read
    from lanelead.settings.relay_settings import RelaySettings

    try:
        record = read(settings)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if not isinstance(record, RelaySettings):
        click.echo(f"{settings}: expected the settings of a relay (top field `relay`)", err=True)
        sys.exit(2)
    run(record, "console" if console else record.log)


@main.command()
@click.option("--console", is_flag=True, help="Log readable text instead of JSON lines.")
def node(console: bool) -> None:
    """Runs the relay whose configuration file the environment variable NODE_CONFIG names, until SIGTERM."""
    from lanelead.runtime.without_openssl import import_event_loop

    import_event_loop()
    from lanelead.postgres_relay.main import run

    run("console" if console else "json")
