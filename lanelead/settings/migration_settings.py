"""The settings of migration plans: ordered steps, and the schema states that each build works on."""

from __future__ import annotations

import msgspec


class BatchSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a backfill goes through a table in batches."""

    table: str
    key: str  # the column by whose values the table is divided into batches
    rows: int  # the most rows of a batch
    rate: float  # the most rows a second
    hold_ms: float  # how long a batch should take at most; a longer one makes the next ones smaller


class MigrationStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One step: the statements that apply and undo it, and the steps that must be done before it."""

    name: str
    kind: str
    after: list[str]  # steps that must be done before this one
    apply: list[str]
    undo: list[str] | str  # "never": the step can't be undone
    limit_ms: float
    batch: BatchSettings | None = None

    @property
    def undo_statements(self) -> list[str]:
        """The statements that undo the step; empty if it can't be undone."""
        return [] if isinstance(self.undo, str) else self.undo


class StageNeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A step that must be done before a build enters a stage."""

    step: str
    stage: int


class BuildRequirements(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The schema states that a build works on: all `needs` are done, and no step of `until` has begun."""

    build: int
    needs: list[StageNeed]
    until: list[str]
    write: str  # the statement that an emulated endpoint of the build runs for a write; `:op` is the operation


class MigrationPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of one plan file."""

    name: str
    steps: list[MigrationStep]
    builds: list[BuildRequirements]
