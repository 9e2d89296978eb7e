"""Reads settings files into typed records, and reports all faults of a file at once."""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import Any

import msgspec
from lark import Tree

from lanelead.settings.checks import check_relay, check_scenario, check_service
from lanelead.settings.cue_evaluation import QUOTED_LABEL_PREFIX, Evaluator, label_of, to_plain
from lanelead.settings.cue_syntax import parse
from lanelead.settings.cue_values import Value, unify
from lanelead.settings.errors import Position, SettingsError, SettingsFault
from lanelead.settings.experiment_settings import ExperimentPlan
from lanelead.settings.migration_settings import MigrationPlan
from lanelead.settings.relay_settings import RelaySettings
from lanelead.settings.scenario_settings import Scenario

Record = RelaySettings | Scenario | MigrationPlan | ExperimentPlan
DEFINITIONS_FILE = "definitions.cue"
ANY_DEFINITION = "#File"
RECORD_TYPES: dict[str, tuple[str, type[Record]]] = {  # by the only field of the file: its definition and its type
    "relay": ("#RelayFile", RelaySettings),
    "day": ("#DayFile", Scenario),
    "steps": ("#StepsFile", MigrationPlan),
    "experiment": ("#ExperimentFile", ExperimentPlan),
}


@cache
def _definitions() -> dict[str, Value]:
    text = files("lanelead.settings").joinpath(DEFINITIONS_FILE).read_text()
    evaluator = Evaluator(DEFINITIONS_FILE, {})
    found = evaluator.definitions(parse(text, DEFINITIONS_FILE))
    if evaluator.faults:
        raise SettingsError(evaluator.faults)
    return found


def evaluate(text: str, file: str, definition: str) -> tuple[Any, dict[str, Position]]:
    """Unifies a file's text with a definition of `definitions.cue`.

    Returns the value as plain Python objects, and the position of each field by its path. Raises SettingsError with
    every fault that was found.
    """
    evaluator = Evaluator(file, _definitions())
    value: Value = evaluator.file_value(parse(text, file))
    faults = evaluator.faults
    if not faults:
        value = unify(_definitions()[definition], value, "", faults)
    positions: dict[str, Position] = {}
    result = None if faults else to_plain(value, "", faults, positions)
    if faults:
        raise SettingsError(sorted(faults, key=lambda fault: (fault.position.line, fault.position.column)))
    return result, positions


def read(path: str | Path) -> Record:
    """Returns the record that a file contains. Raises SettingsError with every fault that was found."""
    return read_with_positions(path)[0]


def read_with_positions(path: str | Path) -> tuple[Record, dict[str, Position]]:
    """Returns the record that a file contains, and the position of each field by its path.

    Raises SettingsError with every fault that was found.
    """
    file = str(path)
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "bytes that are not UTF-8"
        fault = SettingsFault(Position(file, 1, 1), "", reason, "a readable text file")
        raise SettingsError([fault]) from None
    return _read(text, file)


def read_text(text: str, file: str) -> Record:
    """Returns the record in a file's text; `file` is its name in error messages.

    Raises SettingsError with every fault that was found.
    """
    return _read(text, file)[0]


def _read(text: str, file: str) -> tuple[Record, dict[str, Position]]:
    labels = _top_labels(text, file)
    # A known top field selects its definition, whose faults are more specific than those of the disjunction #File.
    label = next((name for name in RECORD_TYPES if name in labels), None)
    result, positions = evaluate(text, file, ANY_DEFINITION if label is None else RECORD_TYPES[label][0])
    name = label or next(iter(result))
    try:
        record = msgspec.convert(result[name], RECORD_TYPES[name][1])
    except msgspec.ValidationError as error:  # the record type is stricter than definitions.cue
        fault = SettingsFault(positions[""], name, str(error), "a value of the type that the record declares")
        raise SettingsError([fault]) from None
    faults: list[SettingsFault] = []
    if isinstance(record, RelaySettings):
        faults = check_service(record.service, "relay.service", positions) + check_relay(record, positions)
    elif isinstance(record, Scenario):
        faults = check_service(record.service, "day.service", positions) + check_scenario(record, positions)
    if faults:
        raise SettingsError(faults)
    return record, positions


def _top_labels(text: str, file: str) -> set[str]:
    return {
        label_of(part).removeprefix(QUOTED_LABEL_PREFIX)
        for part in parse(text, file).children
        if isinstance(part, Tree) and part.data == "field"
    }
