"""Faults in settings files: the position, what was found there, and what was expected."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Position:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault in a file. `path` is that of the field, such as `relay.listen.port`; empty: the file as a whole."""

    position: Position
    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        at = f"{self.position.file}:{self.position.line}:{self.position.column}"
        return f"{at}: {self.path or 'the file'}: found {self.found}, expected {self.expected}"


class SettingsError(Exception):
    """A settings file is not valid; `faults` has all faults that were found, not only the first."""

    def __init__(self, faults: Sequence[SettingsFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = list(faults)
