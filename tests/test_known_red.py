"""`.ci/run_tests.py` ignores failures of exactly the tests that KNOWN-RED.txt lists, and prints these tests."""

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
    """The runner on a scratch project with one passing and one failing test, under different lists."""

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
            completed = self._run(known_red)
            self.assertEqual(completed.returncode, 1, completed.stderr)
            self.assertIn("on purpose", completed.stderr)

    def test_a_failure_that_is_listed_is_passed_over_and_printed(self) -> None:
        completed = self._run("# one\n\ntest: tests.test_two.Two.test_red\n  issue: 1\n")
        self.assertEqual(completed.returncode, 0, completed.stderr)
        self.assertIn("Ran 1 test", completed.stderr)
        self.assertIn("passed over, as KNOWN-RED.txt says: tests.test_two.Two.test_red", completed.stderr)

    def test_an_entry_that_names_no_test_fails(self) -> None:
        completed = self._run("test: tests.test_two.Two.test_gone\n")
        self.assertEqual(completed.returncode, 2, completed.stderr)
        self.assertIn("test_gone", completed.stderr)


if __name__ == "__main__":
    unittest.main()
