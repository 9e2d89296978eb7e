"""The settings of experiments: plans of simulated scenarios over factors, policies and seeds."""

from __future__ import annotations

from typing import Any

import msgspec


class FactorLevel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One level of a factor."""

    name: str
    set: dict[str, Any]  # what of the day it changes


class Factor(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is varied, level by level."""

    name: str
    levels: list[FactorLevel]


class SeedCounts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many seeds each cell is played with."""

    least: int
    most: int


class StopRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A cell is done once the interval of this measure is as narrow."""

    measure: str
    half_width: float


class ExperimentPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One experiment file."""

    name: str
    says: str
    day: str
    set: dict[str, Any]
    factors: list[Factor]
    policies: list[str]
    baseline: str
    seeds: SeedCounts
    stop: StopRule
    judged: bool
