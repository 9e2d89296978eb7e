"""The commands `lanelead scenario list`, `play`, `judge` and `from-bench`."""

from __future__ import annotations

import sys
import tempfile
from importlib.resources import files
from pathlib import Path

import click
import msgspec

from lanelead.settings.errors import SettingsError
from lanelead.settings.read import read, read_text
from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.emulators.event_recording import InvalidRecordingError
from lanelead.testbed.scenarios.rules.findings import Verdict, report
from lanelead.testbed.scenarios.rules.verifier import verify


def scripts() -> dict[str, Path]:
    """Return the scenarios that come with lanelead, by name."""
    folder = Path(str(files("lanelead.testbed.scenarios").joinpath("scripts")))
    return {path.stem: path for path in sorted(folder.glob("*.cue"))}


def load(name: str) -> Scenario:
    """Return a scenario by its name or file.

    Raises SettingsError where it is invalid, or click.BadParameter where there is no such scenario.
    """
    path = scripts().get(name, Path(name))
    if not path.exists():
        raise click.BadParameter(f"scenario '{name}' does not exist, expected a file or one of {', '.join(scripts())}")
    record = read(path)
    if not isinstance(record, Scenario):
        raise click.BadParameter(f"{path}: not a scenario, expected the field `day`")
    return record


@click.group()
def scenario() -> None:
    """Run scripted scenarios on loopback, and verify the five rules from what passed on the sockets."""


@scenario.command("list")
def list_() -> None:
    """List the scenarios that come with lanelead."""
    for name, path in scripts().items():
        record = read(path)
        assert isinstance(record, Scenario)
        click.echo(f"{name:18} {record.seconds:4g} s  {record.says}")


@scenario.command()
@click.argument("name")
@click.option("--seed", type=click.IntRange(0), help="Seed to use instead of the script's.")
@click.option("--verdict", type=click.Path(dir_okay=False), help="File to write the verdict to, as JSON.")
@click.option(
    "--capture", type=click.Path(file_okay=False), help="Folder to keep the recording in; must not hold one yet."
)
@click.option(
    "--seam",
    type=click.Choice(["answers", "effects", "drains", "cold", "exposure", "strangers", "steps"]),
    help="Remove this guard from the relays, to test that the verifier reports it.",
)
@click.option("--quiet", is_flag=True, help="Print only the verdict.")
def play(name: str, seed: int | None, verdict: str | None, capture: str | None, seam: str | None, quiet: bool) -> None:
    """Run NAME, a scenario's name or file. Exits with 0: rules kept, 3: a rule broken, 2: invalid input."""
    import uvloop

    from lanelead.testbed.scenarios.runner import ScenarioRunner

    try:
        record = load(name)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if seam is not None:
        record = msgspec.structs.replace(record, seam=seam)
    with tempfile.TemporaryDirectory(prefix="lanelead-day-") as spare:
        folder = Path(capture) if capture else Path(spare)
        folder.mkdir(parents=True, exist_ok=True)
        if any(folder.glob("*.ndjson")):
            raise click.BadParameter(f"{folder} already holds a recording, expected a new or empty folder")

        def say(text: str) -> None:
            if not quiet:
                click.echo(text)

        uvloop.run(ScenarioRunner(record, folder, record.seed if seed is None else seed, say).run())
        end(folder, verdict)


@scenario.command("judge")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option("--verdict", type=click.Path(dir_okay=False), help="File to write the verdict to, as JSON.")
def verify_recording(folder: str, verdict: str | None) -> None:
    """Verify the rules again from the recording in FOLDER."""
    end(Path(folder), verdict)


@scenario.command("from-bench")
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("-o", "--out", required=True, type=click.Path(dir_okay=False), help="File to write the script to.")
def from_bench(file: str, out: str) -> None:
    """Convert FILE, a day that the simulator has generated, into a script, and list what could not be converted."""
    from lanelead.testbed.scenarios.bench_import import InvalidBenchDayError, convert_bench_day, script_text

    try:
        record, changes = convert_bench_day(Path(file).read_bytes(), Path(out).stem)
        text = script_text(record, changes)
        read_text(text, out)
    except InvalidBenchDayError as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    Path(out).write_text(text)
    for line in changes:
        click.echo(line)


def end(folder: Path, out: str | None) -> None:
    """Print the verdict on a recording, write it to the file `out` where given, and exit with the verdict's code."""
    try:
        found: Verdict = verify(folder)
    except InvalidRecordingError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    if out is not None:
        Path(out).write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=2) + b"\n")
    click.echo(report(found))
    sys.exit(0 if found.kept else 3)
