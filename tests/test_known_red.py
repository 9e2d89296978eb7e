"""`.ci/run_tests.py` passes over the tests that KNOWN-RED.txt lists, prints them, and passes over no others."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

RUNNER = Path(__file__).parent.parent / ".ci" / "run_tests.py"
TESTS = """import unittest


class Two(unittest.TestCase):
    def test_green(self) -> None:
        pass

    def test_red(self) -> None:
        self.fail("on purpose")
"""


class KnownRed(unittest.TestCase):
    def _run(self, known_red: str | None) -> subprocess.CompletedProcess[str]:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (folder / ".ci").mkdir()
        shutil.copy(RUNNER, folder / ".ci")
        (folder / "tests").mkdir()
        (folder / "tests" / "__init__.py").touch()
        (folder / "tests" / "test_two.py").write_text(TESTS)
        if known_red is not None:
            (folder / "KNOWN-RED.txt").write_text(known_red)
        runner = folder / ".ci" / RUNNER.name
        return subprocess.run([sys.executable, str(runner)], capture_output=True, text=True, cwd=folder, timeout=30)

    def test_a_failure_that_is_not_listed_fails(self) -> None:
        for known_red in (None, "# none\n", "test: tests.test_two.Two.test_green\n"):
            done = self._run(known_red)
            self.assertEqual(done.returncode, 1, done.stderr)
            self.assertIn("on purpose", done.stderr)

    def test_a_failure_that_is_listed_is_passed_over_and_printed(self) -> None:
        done = self._run("# one\n\ntest: tests.test_two.Two.test_red\n  issue: 1\n")
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("Ran 1 test", done.stderr)
        self.assertIn("passed over, as KNOWN-RED.txt says: tests.test_two.Two.test_red", done.stderr)

    def test_an_entry_that_names_no_test_fails(self) -> None:
        done = self._run("test: tests.test_two.Two.test_gone\n")
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertIn("test_gone", done.stderr)


if __name__ == "__main__":
    unittest.main()
