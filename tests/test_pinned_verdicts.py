"""Tests that simulations of ten scenarios give exactly the same results as by commit c655458.

`pinned/verdicts.json` has digests of each scenario's verdict and of every file of its capture. A difference means that
an order of calls, of random draws or of iteration has changed.
"""

from __future__ import annotations

import hashlib
import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from lanelead.cli import main

RECORDED = Path(__file__).parent / "pinned" / "verdicts.json"
SEED = "7"
SCENARIOS = (
    "bad-build-errors",
    "bad-build-slow",
    "crash",
    "cut",
    "drain",
    "give-up",
    "hot-key",
    "retry-abuse",
    "tenant-burst",
    "zone-loss",
)


def digests(scenario: str) -> dict[str, str]:
    """Simulates a scenario; returns the SHA-256 of its verdict and of each file of its capture, and the exit code."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        args = [
            "model",
            "run",
            scenario,
            "--seed",
            SEED,
            "--capture",
            str(folder),
            "--verdict",
            str(folder / "verdict"),
        ]
        result = CliRunner().invoke(main, args)
        if result.exit_code not in (0, 3):
            raise AssertionError(f"{scenario}: exit code {result.exit_code}\n{result.output}")
        files = sorted(path for path in folder.rglob("*") if path.is_file())
        found = {str(path.relative_to(folder)): hashlib.sha256(path.read_bytes()).hexdigest() for path in files}
        return found | {"exit code": str(result.exit_code)}


class PinnedVerdicts(unittest.TestCase):
    maxDiff = None

    def test_ten_scenarios_give_the_recorded_results(self) -> None:
        recorded = json.loads(RECORDED.read_text())
        self.assertEqual(sorted(recorded), sorted(SCENARIOS))
        for scenario in SCENARIOS:
            with self.subTest(scenario=scenario):
                self.assertEqual(digests(scenario), recorded[scenario])
