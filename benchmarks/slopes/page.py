"""docs/CAPACITY.md's tables: each formula worked out from the measured slopes, held against what is written.

    .venv/bin/python -m benchmarks.slopes.page           # prints what differs
    .venv/bin/python -m benchmarks.slopes.page --write   # writes figure, verdict and basis of each row anew

A table that counts has the columns `formula`, `figure`, `basis` and `mechanism`, and where there is a budget
`budget` and `verdict`; `share` is the figure over the size planned for. A formula is arithmetic over the
page's sizes (`relays`, `units`, ...) and:

    at(series, size)          the value at a size: between points by straight lines, beyond them by the fit
    slope(series), start(series)
    breaks(series, budget)    the size at which the value passes the budget
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


class Untrue(Exception):
    """A row of the page that can't be worked out; the text says which and what to put right."""


@dataclass
class Row:
    line: int  # in the page, from 0
    heading: str
    cells: dict[str, str]
    columns: list[str]

    @property
    def name(self) -> str:
        return self.cells.get("id") or next(iter(self.cells.values()))


@dataclass
class Slopes:
    """The measured series, and the largest factor by which one was stretched since `stretched` was reset."""

    table: dict[str, Series]
    stretched: float = 1.0
    used: dict[str, None] = field(default_factory=dict)

    def _series(self, name: str) -> Series:
        if name not in self.table:
            raise Untrue(f"no series {name!r} in {POINTS}: run python -m benchmarks.slopes")
        self.used[name] = None
        return self.table[name]

    def at(self, name: str, size: float) -> float:
        points = self._series(name).points
        line = fit(points)
        sizes, values = zip(*points, strict=True)
        if sizes[0] <= size <= sizes[-1]:
            return float(np.interp(size, sizes, values))
        if size > sizes[-1]:
            self.stretched = max(self.stretched, size / sizes[-1])
        return line.at(size)

    def slope(self, name: str) -> float:
        return fit(self._series(name).points).slope

    def start(self, name: str) -> float:
        return fit(self._series(name).points).start

    def breaks(self, name: str, budget: float) -> float:
        """The smallest size at which the value is over the budget, at least 1; infinity where it never is."""
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
        self.stretched = max(self.stretched, found / before[0])
        return found


def number(text: str) -> float:
    """The first number of a cell; thousands may have commas."""
    if text.strip() == "never":
        return math.inf
    if (found := NUMBER.search(text)) is None:
        raise Untrue(f"no number in {text!r}")
    return float(found.group().replace(",", ""))


def written(value: float) -> str:
    """Three significant digits, as the page has them."""
    if math.isinf(value):
        return "never"
    if value == 0:
        return "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    rounded = round(value, digits)
    return f"{rounded:,.{max(0, digits)}f}".rstrip("0").rstrip(".") if digits > 0 else f"{rounded:,.0f}"


def rows(text: str) -> list[Row]:
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
    """The page's own sizes: lines `- name = number` under the heading 'The size'."""
    return {name: number(value) for name, value in re.findall(r"^- `(\w+)` = ([\d.,]+)", text, re.M)}


def load(path: Path = POINTS) -> Slopes:
    some = msgspec.json.decode(path.read_bytes(), type=list[Series])
    return Slopes({f"{series.subject}.{series.name}": series for series in some})


def worked_out(text: str, slopes: Slopes) -> list[tuple[Row, dict[str, str]]]:
    """Each row that has a formula, with what its figure, verdict and basis have to say."""
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
        slopes.stretched = 1.0
        try:
            value = float(SimpleEval(names=known_sizes, functions=functions).eval(formula))
        except Untrue:
            raise
        except Exception as fault:
            raise Untrue(f"row {row.name!r}: {formula}: {fault}") from None
        known[row.name] = value
        says = {"figure": _figure(row.cells["figure"], value)}
        far = slopes.stretched
        says["basis"] = (
            f"extrapolated {written(far)} times" if far > 1.001 else "measured" if "(" in formula else "given"
        )
        if NUMBER.search(row.cells.get("budget", "-")):
            over = value / number(row.cells["budget"])
            says["verdict"] = f"broken {written(over)} times" if over > 1 else f"kept, {written(over)} of it"
        if "share" in row.columns:  # of the size planned for, whose name the figure's unit is
            unit = says["figure"].split()[-1]
            if unit not in known_sizes:
                raise Untrue(f"row {row.name!r}: {unit!r} is no size of the page")
            says["share"] = written(value / known_sizes[unit])
        found.append((row, says))
    return found


def _figure(cell: str, value: float) -> str:
    unit = re.sub(r"^(never|[-\d.,e+]*)\s*", "", cell)
    return f"{written(value)} {unit}".strip()


def differences(text: str, slopes: Slopes) -> list[str]:
    return [
        f"{row.name}: {column} says {row.cells.get(column)!r}, worked out {value!r}"
        for row, says in worked_out(text, slopes)
        for column, value in says.items()
        if column in row.columns and row.cells.get(column) != value
    ]


def rewritten(text: str, slopes: Slopes) -> str:
    lines = text.splitlines()
    for row, says in worked_out(text, slopes):
        cells = row.cells | {column: value for column, value in says.items() if column in row.columns}
        lines[row.line] = "| " + " | ".join(cells.get(column, "") for column in row.columns) + " |"
    return "\n".join(lines) + "\n"


def main() -> None:
    text = PAGE.read_text()
    if "--write" in sys.argv:
        PAGE.write_text(rewritten(text, load()))
    else:
        print("\n".join(differences(text, load())) or "the page is true to its slopes")


if __name__ == "__main__":
    main()
