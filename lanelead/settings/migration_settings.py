"""The settings of migration plans: ordered steps, and the builds that need them."""

from __future__ import annotations

import msgspec


class BatchSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a backfill goes through a table: rows a batch, batches a second, seconds between."""

    table: str
    key: str
    rows: int
    rate: float
    hold_ms: float


class MigrationStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One step: what applies it, what undoes it, and the steps it comes after."""

    name: str
    kind: str
    after: list[str]
    apply: list[str]
    undo: list[str] | str  # "never": it can't be undone
    limit_ms: float
    batch: BatchSettings | None = None

    @property
    def undoing(self) -> list[str]:
        """The statements that undo the step; none where it can't be undone."""
        return [] if isinstance(self.undo, str) else self.undo


class StageNeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A build needs a step done before this stage."""

    step: str
    stage: int


class BuildRequirements(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The schema states that a build works on: its needs are done, and no step of `until` has begun."""

    build: int
    needs: list[StageNeed]
    until: list[str]
    write: str


class MigrationPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One plan file."""

    name: str
    steps: list[MigrationStep]
    builds: list[BuildRequirements]
