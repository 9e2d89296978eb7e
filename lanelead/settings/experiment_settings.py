"""The settings of experiments, which simulate a scenario under all combinations of factor levels and policies."""

from __future__ import annotations

from typing import Any

import msgspec


class FactorLevel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One level of a factor: the settings of the scenario that it overrides."""

    name: str
    set: dict[str, Any]


class Factor(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One factor of an experiment and its levels."""

    name: str
    levels: list[FactorLevel]


class SeedCounts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The numbers of seeds for each cell of the experiment: `least` a round, and `most` over all rounds."""

    least: int
    most: int


class StopRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A cell needs no more seeds once the confidence interval of this measure is at most this half-width."""

    measure: str
    half_width: float


class ExperimentPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of one experiment file."""

    name: str
    says: str  # a description
    day: str  # the scenario
    set: dict[str, Any]  # settings of the scenario that all cells override
    factors: list[Factor]
    policies: list[str]
    baseline: str
    seeds: SeedCounts
    stop: StopRule
    judged: bool  # whether the verifier checks each run
