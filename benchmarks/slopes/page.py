"""Evaluates the formulas in docs/CAPACITY.md's tables from the measured series and compares them with the page.

    .venv/bin/python -m benchmarks.slopes.page           # prints the differences
    .venv/bin/python -m benchmarks.slopes.page --write   # updates figure, verdict and basis of each row

A table is evaluated if it has the columns `formula`, `figure`, `basis` and `mechanism`, and if there is a budget
`budget` and `verdict`; `share` is the figure divided by the planned size. A formula is arithmetic over the page's
sizes (`relays`, `units`, ...) and these functions:

    at(series, size)          the value at a size: linear between points, the fitted line beyond them
    slope(series), start(series)
    breaks(series, budget)    the size at which the value exceeds the budget
    row(id)                   another row's figure, by its id
"""

from __future__ import annotations

import math
import re
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import numpy as np
from simpleeval import SimpleEval

from benchmarks.slopes.series import Series, fit

PAGE, POINTS = Path("docs/CAPACITY.md"), Path("docs/capacity/slopes.json")
NUMBER = re.compile(r"-?[\d,]*\.?\d+(?:e[+-]?\d+)?")


class PageError(Exception):
    """A row of the page that can't be evaluated; the text says which one and what to correct."""


@dataclass
class Row:
    """A row of one of the page's tables."""

    line: int  # line of the page, from 0
    heading: str
    cells: dict[str, str]
    columns: list[str]

    @property
    def name(self) -> str:
        """The row's id, or its first cell where there is none."""
        return self.cells.get("id") or next(iter(self.cells.values()))


@dataclass
class Slopes:
    """The measured series, and the largest extrapolation factor since `extrapolation` was reset to 1."""

    table: dict[str, Series]
    extrapolation: float = 1.0
    used: dict[str, None] = field(default_factory=dict)

    def _series(self, name: str) -> Series:
        if name not in self.table:
            raise PageError(f"no series {name!r} in {POINTS}: run python -m benchmarks.slopes")
        self.used[name] = None
        return self.table[name]

    def at(self, name: str, size: float) -> float:
        """The value at a size."""
        points = self._series(name).points
        line = fit(points)
        sizes, values = zip(*points, strict=True)
        if sizes[0] <= size <= sizes[-1]:
            return float(np.interp(size, sizes, values))
        if size > sizes[-1]:
            self.extrapolation = max(self.extrapolation, size / sizes[-1])
        return line.at(size)

    def slope(self, name: str) -> float:
        """The slope of the fitted line."""
        return fit(self._series(name).points).slope

    def start(self, name: str) -> float:
        """The fitted line's value at size 0."""
        return fit(self._series(name).points).start

    def breaks(self, name: str, budget: float) -> float:
        """The smallest size, at least 1, at which the value exceeds the budget; infinity if it never does."""
        points = self._series(name).points
        line, before = fit(points), (1.0, max(0.0, fit(points).at(1.0)))
        if before[1] > budget:
            return 1.0
        for size, value in points:
            if value > budget:
                share = (budget - before[1]) / (value - before[1])
                return max(1.0, before[0] + share * (size - before[0]))
            before = size, value
        if line.slope <= 0:
            return math.inf
        found = before[0] + (budget - before[1]) / line.slope
        self.extrapolation = max(self.extrapolation, found / before[0])
        return found


def parse_number(text: str) -> float:
    """The first number in a cell, which may have thousands separators; `never` is infinity."""
    if text.strip() == "never":
        return math.inf
    if (found := NUMBER.search(text)) is None:
        raise PageError(f"no number in cell {text!r}")
    return float(found.group().replace(",", ""))


def format_number(value: float) -> str:
    """Three significant digits, as on the page."""
    if math.isinf(value):
        return "never"
    if value == 0:
        return "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    rounded = round(value, digits)
    return f"{rounded:,.{max(0, digits)}f}".rstrip("0").rstrip(".") if digits > 0 else f"{rounded:,.0f}"


def rows(text: str) -> list[Row]:
    """The rows of all tables that have a formula column."""
    found, heading, columns = list[Row](), "", list[str]()
    for place, line in enumerate(text.splitlines()):
        if line.startswith("#"):
            heading = line.strip("# ")
        if not line.startswith("|"):
            columns = []
            continue
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if not columns:
            columns = cells
        elif not all(set(cell) <= {"-", ":"} for cell in cells) and "formula" in columns:
            found.append(Row(place, heading, dict(zip(columns, cells, strict=False)), columns))
    return found


def sizes(text: str) -> dict[str, float]:
    """The page's sizes: lines `- name = number` under the heading 'The size'."""
    return {name: parse_number(value) for name, value in re.findall(r"^- `(\w+)` = ([\d.,]+)", text, re.M)}


def load_slopes(path: Path = POINTS) -> Slopes:
    """Reads the measured series."""
    some = msgspec.json.decode(path.read_bytes(), type=list[Series])
    return Slopes({f"{series.subject}.{series.name}": series for series in some})


def evaluate_rows(text: str, slopes: Slopes) -> list[tuple[Row, dict[str, str]]]:
    """Each row with a formula, with the figure, verdict, basis and share that it should have."""
    known: dict[str, float] = {}
    functions: dict[str, Callable[..., float]] = {
        "at": slopes.at,
        "slope": slopes.slope,
        "start": slopes.start,
        "breaks": slopes.breaks,
        "row": lambda name: known[name],
        "max": max,
        "min": min,
        "ceil": math.ceil,
    }
    found, known_sizes = list[tuple[Row, dict[str, str]]](), sizes(text)
    for row in rows(text):
        formula = row.cells["formula"].strip("`")
        if formula in ("-", "none"):
            continue
        slopes.extrapolation = 1.0
        try:
            value = float(SimpleEval(names=known_sizes, functions=functions).eval(formula))
        except PageError:
            raise
        except Exception as fault:
            raise PageError(f"row {row.name!r}: {formula}: {fault}") from None
        known[row.name] = value
        expected = {"figure": _format_figure(row.cells["figure"], value)}
        far = slopes.extrapolation
        expected["basis"] = (
            f"extrapolated {format_number(far)} times" if far > 1.001 else "measured" if "(" in formula else "given"
        )
        if NUMBER.search(row.cells.get("budget", "-")):
            over = value / parse_number(row.cells["budget"])
            expected["verdict"] = (
                f"broken {format_number(over)} times" if over > 1 else f"kept, {format_number(over)} of it"
            )
        if "share" in row.columns:  # of the planned size, which the figure's unit names
            unit = expected["figure"].split()[-1]
            if unit not in known_sizes:
                raise PageError(f"row {row.name!r}: unit {unit!r} of the figure is not one of the page's sizes")
            expected["share"] = format_number(value / known_sizes[unit])
        found.append((row, expected))
    return found


def _format_figure(cell: str, value: float) -> str:
    unit = re.sub(r"^(never|[-\d.,e+]*)\s*", "", cell)
    return f"{format_number(value)} {unit}".strip()


def differences(text: str, slopes: Slopes) -> list[str]:
    """One line for each cell that differs from its evaluated value."""
    return [
        f"{row.name}: {column} is {row.cells.get(column)!r}, expected {value!r}"
        for row, expected in evaluate_rows(text, slopes)
        for column, value in expected.items()
        if column in row.columns and row.cells.get(column) != value
    ]


def update_page(text: str, slopes: Slopes) -> str:
    """The page with all cells as evaluated."""
    lines = text.splitlines()
    for row, expected in evaluate_rows(text, slopes):
        cells = row.cells | {column: value for column, value in expected.items() if column in row.columns}
        lines[row.line] = "| " + " | ".join(cells.get(column, "") for column in row.columns) + " |"
    return "\n".join(lines) + "\n"


def main() -> None:
    """Prints the differences, or updates the page with `--write`."""
    text = PAGE.read_text()
    if "--write" in sys.argv:
        PAGE.write_text(update_page(text, load_slopes()))
    else:
        print("\n".join(differences(text, load_slopes())) or "no differences")


if __name__ == "__main__":
    main()
