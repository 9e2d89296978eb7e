"""The cells of an experiment plan: one scenario for each combination of levels, checked before anything runs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from typing import Any

import click
import msgspec

from lanelead.settings.errors import Position, SettingsError, SettingsFault
from lanelead.settings.experiment_settings import ExperimentPlan
from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.simulation.baselines import POLICIES

MEASURES = (
    "service",
    "done",
    "shed",
    "broken_off",
    "p50_ms",
    "p99_ms",
    "released_s",
    "back_s",
    "wrong_end",
    "rules_broken",
)


@dataclass(frozen=True)
class Cell:
    """One combination of levels; `name` is the levels' names, joined by commas."""

    name: str
    levels: tuple[str, ...]
    scenario: Scenario


def overlay(base: Any, override: Any) -> Any:
    """Returns `base` with `override` merged into it: mappings field by field, other values replaced."""
    if isinstance(base, dict) and isinstance(override, dict):
        return {**base, **{key: overlay(base.get(key), value) for key, value in override.items()}}
    return override


def unknown_fields(base: Any, override: dict[str, Any], at: str) -> Iterator[str]:
    """Yields the paths of fields that `override` has and `base` doesn't."""
    for key, value in override.items():
        if isinstance(base, dict) and key not in base:
            yield f"{at}.{key}"
        elif isinstance(value, dict):
            yield from unknown_fields(base[key], value, f"{at}.{key}")


class _PlanChecker:
    def __init__(self, plan: ExperimentPlan, positions: dict[str, Position]) -> None:
        self._plan = plan
        self._positions = positions
        self.faults: list[SettingsFault] = []

    def report_fault(self, path: str, found: str, expected: str) -> None:
        """Adds a fault at a path of the plan, to be raised later."""
        position = self._positions.get(path, self._positions[""])
        self.faults.append(SettingsFault(position, path, found, expected))

    def raise_faults(self) -> None:
        """Raises SettingsError with all faults so far, if any."""
        if self.faults:
            raise SettingsError(self.faults)

    def check_names(self) -> None:
        """Checks policies, baseline, measure and seeds."""
        plan = self._plan
        for number, policy in enumerate(plan.policies):
            if policy not in POLICIES:
                self.report_fault(f"experiment.policies[{number}]", repr(policy), f"one of {', '.join(POLICIES)}")
        if plan.baseline not in plan.policies:
            self.report_fault("experiment.baseline", repr(plan.baseline), "one of the plan's policies")
        if plan.stop.measure not in MEASURES:
            self.report_fault("experiment.stop.measure", repr(plan.stop.measure), f"one of {', '.join(MEASURES)}")
        if plan.seeds.least > plan.seeds.most:
            expected = f"no more than seeds.most, {plan.seeds.most}"
            self.report_fault("experiment.seeds.least", str(plan.seeds.least), expected)

    def base(self) -> Any:
        """Returns the scenario that all cells are based on, as plain values. Raises SettingsError if there is none."""
        try:
            return msgspec.to_builtins(load(self._plan.day))
        except (SettingsError, click.BadParameter) as error:
            self.report_fault("experiment.day", repr(self._plan.day), f"a scenario's name or file ({error})")
            raise SettingsError(self.faults) from None

    def check_fields(self, base: Any) -> None:
        """Checks that the plan and its levels set only fields that the scenario has."""
        changes = [("experiment.set", self._plan.set)]
        for n, factor in enumerate(self._plan.factors):
            for m, level in enumerate(factor.levels):
                changes.append((f"experiment.factors[{n}].levels[{m}].set", level.set))
        for path, change in changes:
            for field in unknown_fields(base, change, ""):
                self.report_fault(path, f"field {field[1:]!r}", "a field of the scenario")


def cells(plan: ExperimentPlan, positions: dict[str, Position]) -> list[Cell]:
    """Returns one cell for each combination of levels.

    Raises SettingsError if the plan names a scenario, field, policy or measure that does not exist, or if a cell's
    values are no valid scenario.
    """
    checker = _PlanChecker(plan, positions)
    checker.check_names()
    base = checker.base()
    checker.check_fields(base)
    checker.raise_faults()
    found: list[Cell] = []
    for levels in product(*(factor.levels for factor in plan.factors)):
        value = overlay(base, plan.set)
        for level in levels:
            value = overlay(value, level.set)
        names = tuple(level.name for level in levels)
        try:
            found.append(Cell(", ".join(names) or "as it is", names, msgspec.convert(value, Scenario)))
        except msgspec.ValidationError as error:
            checker.report_fault("experiment.factors", f"level {', '.join(names)}: {error}", "a scenario")
    checker.raise_faults()
    return found
