"""What is wrong with a settings file: where, what stands there, and what was expected."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Position:
    """Where something stands in a file: lines and columns count from 1."""

    file: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault of a file. `path`: the field's, empty for the file itself."""

    position: Position
    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        at = f"{self.position.file}:{self.position.line}:{self.position.column}"
        return f"{at}: {self.path or 'the file'}: found {self.found}, expected {self.expected}"


class SettingsError(Exception):
    """The settings do not hold; `faults` has all that was found, not only the first."""

    def __init__(self, faults: Sequence[SettingsFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = list(faults)
