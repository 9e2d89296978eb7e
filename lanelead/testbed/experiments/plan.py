"""A plan's cells: a day for each choice of levels, checked before anything runs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from typing import Any

import msgspec

from lanelead.settings.errors import Position, SettingsError, SettingsFault
from lanelead.settings.records import Day, Experiment
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
    name: str  # its levels, one after the other
    levels: tuple[str, ...]
    day: Day


def over(base: Any, more: Any) -> Any:
    """A value with another laid over it: records field by field, all else replaced."""
    if isinstance(base, dict) and isinstance(more, dict):
        return {**base, **{key: over(base.get(key), value) for key, value in more.items()}}
    return more


def unknown(base: Any, more: dict[str, Any], at: str) -> Iterator[str]:
    for key, value in more.items():
        if isinstance(base, dict) and key not in base:
            yield f"{at}.{key}"
        elif isinstance(value, dict):
            yield from unknown(base[key], value, f"{at}.{key}")


def cells(plan: Experiment, positions: dict[str, Position]) -> list[Cell]:
    """Raises SettingsError where the plan names a day, field, policy or measure that there is not."""
    faults = list[SettingsFault]()

    def blame(path: str, found: str, expected: str) -> None:
        faults.append(SettingsFault(positions.get(path, positions[""]), path, found, expected))

    for number, policy in enumerate(plan.policies):
        if policy not in POLICIES:
            blame(f"experiment.policies[{number}]", repr(policy), f"one of {', '.join(POLICIES)}")
    if plan.baseline not in plan.policies:
        blame("experiment.baseline", repr(plan.baseline), "one of the plan's policies")
    if plan.stop.measure not in MEASURES:
        blame("experiment.stop.measure", repr(plan.stop.measure), f"one of {', '.join(MEASURES)}")
    if plan.seeds.least > plan.seeds.most:
        blame("experiment.seeds.least", str(plan.seeds.least), f"no more than seeds.most, {plan.seeds.most}")
    try:
        base = msgspec.to_builtins(load(plan.day))
    except Exception as fault:
        blame("experiment.day", repr(plan.day), f"a day's name or file ({fault})")
        raise SettingsError(faults) from None
    sets = [("experiment.set", plan.set)]
    for n, factor in enumerate(plan.factors):
        sets += [(f"experiment.factors[{n}].levels[{m}].set", level.set) for m, level in enumerate(factor.levels)]
    for path, change in sets:
        for field in unknown(base, change, ""):
            blame(path, f"field {field[1:]!r}", "a field of the day")
    if faults:
        raise SettingsError(faults)
    found = list[Cell]()
    for levels in product(*(factor.levels for factor in plan.factors)):
        value = over(base, plan.set)
        for level in levels:
            value = over(value, level.set)
        names = tuple(level.name for level in levels)
        try:
            found.append(Cell(", ".join(names) or "as it is", names, msgspec.convert(value, Day)))
        except msgspec.ValidationError as fault:
            blame("experiment.factors", f"level {', '.join(names)}: {fault}", "a day")
    if faults:
        raise SettingsError(faults)
    return found
