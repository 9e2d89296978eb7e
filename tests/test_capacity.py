"""Tests that docs/CAPACITY.md agrees with the measured series and that its tables are complete."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from benchmarks.slopes.page import (
    PageError,
    Slopes,
    differences,
    format_number,
    load_slopes,
    parse_number,
    rows,
    sizes,
    update_page,
)
from benchmarks.slopes.series import Series

ROOT = Path(__file__).parent.parent
TEXT = (ROOT / "docs/CAPACITY.md").read_text()
# The numbers to plan with, as stated by the operators.
SIZE = {
    "relays": 600,
    "units": 7800,
    "services": 300,
    "regions": 2,
    "zones": 4,
    "requests": 110_000,
    "routes": 16_000,
    "tenants": 49_000,
    "changes": 800,
    "failures": 49,
    "restarts": 2700,
    "machines": 8,
    "day": 86_400,
}
BUDGETS = {"5.6 ms", "3 s", "0.014 of a core", "256 MB", "4,000 B/s"}


def faults(text: str) -> list[str]:
    """Rows without a mechanism, or with one whose file does not exist."""
    found = list[str]()
    for row in rows(text):
        cell = row.cells.get("mechanism", "")
        paths = re.findall(r"`(lanelead/[^`]+)`", cell)
        if not paths and not cell.startswith(("none", "the platform's")):
            found.append(f"{row.name}: no mechanism and no 'none'")
        found += [f"{row.name}: no {path}" for path in paths if not (ROOT / path).exists()]
    return found


class Page(unittest.TestCase):
    def test_figures_verdicts_and_bases_follow_from_the_slopes(self) -> None:
        self.assertEqual([], differences(TEXT, load_slopes(ROOT / "docs/capacity/slopes.json")))

    def test_each_row_names_an_existing_mechanism_or_none(self) -> None:
        self.assertGreater(len(rows(TEXT)), 40)
        self.assertEqual([], faults(TEXT))

    def test_the_size_and_the_budgets_are_the_operators(self) -> None:
        self.assertEqual(SIZE, sizes(TEXT))
        found = {row.cells.get("budget", "") for row in rows(TEXT) if row.heading.startswith("Each number")}
        self.assertLessEqual(BUDGETS, found)

    def test_each_number_has_a_row(self) -> None:
        named = " ".join(row.cells.get("number", "") for row in rows(TEXT))
        for word in (
            "600 relays",
            "7,800 units",
            "300 services",
            "110,000 requests",
            "16,000 routes",
            "49,000 tenants",
            "99 in 100",
            "800 changes",
        ):
            self.assertIn(word, named)
        kinds = " ".join(row.cells["what"] for row in rows(TEXT) if row.heading == "A failure budget")
        for word in ("machine", "restarts", "rack", "zone", "regions apart"):
            self.assertIn(word, kinds)

    def test_ids_are_unique(self) -> None:
        names = [row.name for row in rows(TEXT)]
        self.assertEqual(len(names), len(set(names)))

    def test_rows_with_a_share_are_sorted_by_it(self) -> None:
        shares = [parse_number(row.cells["share"]) for row in rows(TEXT) if "share" in row.columns]
        self.assertGreater(len(shares), 10)
        self.assertEqual(sorted(shares), shares)

    def test_each_series_has_date_commit_and_reference_time(self) -> None:
        for series in load_slopes(ROOT / "docs/capacity/slopes.json").table.values():
            self.assertTrue(series.commit and series.at and series.reference_us > 0, series.name)


class PageCheck(unittest.TestCase):
    """Tests that the check of the page finds errors."""

    slopes = Slopes({"s.a": Series("s", "a", "us", "units", [(10, 100.0), (20, 200.0), (40, 400.0)])})

    def page(self, figure: str, formula: str = '`at("s.a", units)`', basis: str = "measured") -> str:
        return (
            "- `units` = 30\n\n| id | formula | figure | budget | verdict | basis | mechanism |\n"
            "| --- | --- | --- | --- | --- | --- | --- |\n"
            f"| x | {formula} | {figure} | 150 us | broken 2 times | {basis} | none |\n"
        )

    def test_a_correct_row_passes_and_a_wrong_one_is_reported(self) -> None:
        self.assertEqual([], differences(self.page("300 us"), self.slopes))
        self.assertEqual(1, len(differences(self.page("301 us"), self.slopes)))
        self.assertEqual(self.page("300 us"), update_page(self.page("7 us", basis="given"), self.slopes))

    def test_an_extrapolated_figure_has_to_be_marked(self) -> None:
        text = self.page("600 us", '`at("s.a", 60)`').replace("broken 2 times", "broken 4 times")
        self.assertEqual(1, len(differences(text, self.slopes)))
        self.assertEqual([], differences(text.replace("measured", "extrapolated 1.5 times"), self.slopes))

    def test_a_formula_that_cannot_be_evaluated_is_an_error(self) -> None:
        for formula in ('`at("s.b", units)`', "`units +`", "`relays`", '`__import__("os")`'):
            with self.assertRaises(PageError):
                differences(self.page("1 us", formula), self.slopes)

    def test_a_row_without_a_mechanism_is_found(self) -> None:
        self.assertEqual([], faults(self.page("300 us")))
        self.assertEqual(1, len(faults(self.page("300 us").replace("| none |", "|  |"))))
        self.assertEqual(1, len(faults(self.page("300 us").replace("none", "`lanelead/no/such.py`"))))

    def test_the_size_at_which_a_budget_is_exceeded(self) -> None:
        self.assertAlmostEqual(15.0, self.slopes.breaks("s.a", 150))
        self.assertAlmostEqual(80.0, self.slopes.breaks("s.a", 800))
        flat = Slopes({"s.a": Series("s", "a", "us", "units", [(10, 5.0), (20, 5.0), (30, 5.0)])})
        self.assertEqual("never", format_number(flat.breaks("s.a", 6)))
        self.assertEqual(1.0, flat.breaks("s.a", 4))
