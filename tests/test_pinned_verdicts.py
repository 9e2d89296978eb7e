"""Simulated days come out as by commit c655458, to the last digit: `pinned/verdicts.json` has the digests.

A difference means that an order of calls, of random draws or of iteration changed: find the step that did it.
Each day's digest is of the verdict as written and of every file of the capture.
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
DAYS = (
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


def digests(day: str) -> dict[str, str]:
    """By file, the SHA-256 of what the day leaves: verdict and capture."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        args = [
            "model",
            "run",
            day,
            "--seed",
            SEED,
            "--capture",
            str(folder),
            "--verdict",
            str(folder / "verdict"),
        ]
        result = CliRunner().invoke(main, args)
        if result.exit_code not in (0, 3):
            raise AssertionError(f"{day}: exit code {result.exit_code}\n{result.output}")
        files = sorted(path for path in folder.rglob("*") if path.is_file())
        found = {str(path.relative_to(folder)): hashlib.sha256(path.read_bytes()).hexdigest() for path in files}
        return found | {"exit code": str(result.exit_code)}


class PinnedVerdicts(unittest.TestCase):
    maxDiff = None

    def test_ten_days_come_out_as_they_were_recorded(self) -> None:
        recorded = json.loads(RECORDED.read_text())
        self.assertEqual(sorted(recorded), sorted(DAYS))
        for day in DAYS:
            with self.subTest(day=day):
                self.assertEqual(digests(day), recorded[day])
