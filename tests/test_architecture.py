"""Which way imports go, and that docs/ARCHITECTURE.md names what there is."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from functools import cache
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "lanelead"
PAGE = ROOT / "docs" / "ARCHITECTURE.md"

REPORTS = ("standing.md",)  # of plays of earlier versions, with the names of then
PATH = re.compile(r"`((?:lanelead|tests|docs|benchmarks|deploy)/[\w./-]+)`")
MODULE = re.compile(r"`(\w+\.py)`")
TEST = re.compile(r"`(test_\w+)`")

# Lowest first: each may import those before it and none behind it.
LAYERS = (
    "logs",
    "decisions",
    "pgwire",
    "protocols",
    "settings",
    "http",
    "store",
    "migrations",
    "membership",
    "configuration",
    "runtime",
    "simulator_adapter",
    "http_relay",
    "postgres_relay",
    "cli",
    "__main__",
)
TESTBED_LAYERS = ("emulators", "scenarios", "simulation", "experiments", "load")


def imported(file: Path) -> Iterator[str]:
    """The modules of ours that a file imports, by their dotted names."""
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("lanelead"):
            yield node.module if node.module != "lanelead" else f"lanelead.{node.names[0].name}"
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names if alias.name.startswith("lanelead"))


def layer_of(name: str) -> str:
    """The layer of a module or a file, by its path below the package."""
    return name.removeprefix("lanelead.").split(".")[0]


def files(package: str) -> list[Path]:
    """A package's modules, or the one module of that name."""
    module = PACKAGE / f"{package}.py"
    return [module] if module.exists() else sorted((PACKAGE / package).rglob("*.py"))


def pages() -> list[Path]:
    """README and all pages of docs/ but the reports."""
    found = [page for page in sorted((ROOT / "docs").glob("*.md")) if page.name not in REPORTS]
    return [ROOT / "README.md", *found]


@cache
def tests_in_code() -> frozenset[str]:
    """The names of all test methods."""
    return frozenset(
        node.name
        for file in (ROOT / "tests").glob("test_*.py")
        for node in ast.walk(ast.parse(file.read_text()))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    )


@cache
def names_in_code() -> frozenset[str]:
    """All names of classes, functions, fields and constants."""
    found: set[str] = set()
    for file in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                found.add(node.name)
            elif isinstance(node, ast.Name):
                found.add(node.id)
            elif isinstance(node, ast.Attribute):
                found.add(node.attr)
            elif isinstance(node, ast.arg):
                found.add(node.arg)
    return frozenset(found)


class Layers(unittest.TestCase):
    def test_every_package_has_its_layer(self) -> None:
        found = {path.stem for path in PACKAGE.iterdir() if path.suffix == ".py" or (path / "__init__.py").exists()}
        self.assertEqual(found - {"__init__", "testbed"}, set(LAYERS))
        below = {path.name for path in (PACKAGE / "testbed").iterdir() if (path / "__init__.py").exists()}
        self.assertEqual(below, set(TESTBED_LAYERS))

    def test_imports_go_one_way(self) -> None:
        for rank, layer in enumerate(LAYERS):
            for file in files(layer):
                for module in imported(file):
                    if (other := layer_of(module)) == "VERSION":
                        continue
                    with self.subTest(file=str(file.relative_to(ROOT)), module=module):
                        self.assertIn(other, LAYERS[: rank + 1])

    def test_what_only_tries_the_product_out_is_imported_by_nothing_above_it(self) -> None:
        for rank, layer in enumerate(TESTBED_LAYERS):
            for file in files(f"testbed/{layer}"):
                for module in imported(file):
                    if not module.startswith("lanelead.testbed."):
                        continue
                    with self.subTest(file=str(file.relative_to(ROOT)), module=module):
                        self.assertIn(module.split(".")[2], TESTBED_LAYERS[: rank + 1])

    def test_decisions_do_no_input_or_output(self) -> None:
        forbidden = {"asyncio", "socket", "selectors", "threading", "subprocess", "time", "os", "uvloop", "sqlite3"}
        for file in files("decisions"):
            for node in ast.walk(ast.parse(file.read_text())):
                if isinstance(node, ast.Import):
                    self.assertFalse(forbidden & {alias.name.split(".")[0] for alias in node.names}, file.name)
                elif isinstance(node, ast.ImportFrom) and node.module:
                    self.assertNotIn(node.module.split(".")[0], forbidden, file.name)


class Page(unittest.TestCase):
    def setUp(self) -> None:
        self.text = PAGE.read_text()

    def test_every_package_is_named(self) -> None:
        for layer in LAYERS:
            if (PACKAGE / layer).is_dir():
                self.assertIn(f"`lanelead/{layer}`", self.text)
        for layer in TESTBED_LAYERS:
            self.assertIn(f"`lanelead/testbed/{layer}`", self.text)

    def test_every_path_it_names_is_there(self) -> None:
        self.assertGreater(len(PATH.findall(self.text)), 20)
        for page in pages():
            for path in PATH.findall(page.read_text()):
                self.assertTrue((ROOT / path).exists(), f"{page.name}: {path}")

    def test_every_module_named_without_its_package_is_there(self) -> None:
        modules = {
            file.name for folder in ("lanelead", "tests", "benchmarks") for file in (ROOT / folder).rglob("*.py")
        }
        for page in pages():
            for module in MODULE.findall(page.read_text()):
                self.assertTrue(module in modules, f"{page.name}: {module}")

    def test_every_test_that_a_page_names_is_there(self) -> None:
        tests = {file.stem for file in (ROOT / "tests").glob("test_*.py")} | tests_in_code()
        for page in pages():
            for name in TEST.findall(page.read_text()):
                self.assertTrue(name in tests, f"{page.name}: {name}")

    def test_every_link_leads_somewhere(self) -> None:
        for page in (PAGE, ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))):
            for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
                if "://" not in target:
                    self.assertTrue((page.parent / target).exists(), f"{page.name}: {target}")

    def test_every_term_of_its_table_is_a_name_of_the_code(self) -> None:
        section = self.text.split("## Terms")[1].split("\n## ")[0]
        rows = [line.split("|")[2] for line in section.splitlines() if line.startswith("| ")][1:]
        self.assertGreater(len(rows), 20)
        for row in rows:
            for term in re.findall(r"`([A-Za-z_]+)`", row):
                self.assertTrue(term in names_in_code(), f"{term} in {row}")
