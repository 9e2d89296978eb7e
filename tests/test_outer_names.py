"""Each name that leaves the process is still in the code.

`pinned/outer_names.txt` lists them, collected by `tests/outer_names.py` from the code of commit 262ab5d.
"""

from __future__ import annotations

import unittest
from pathlib import Path

from tests.outer_names import outer_names

LISTED = Path(__file__).parent / "pinned" / "outer_names.txt"


class OuterNames(unittest.TestCase):
    def test_each_listed_name_is_still_in_the_code(self) -> None:
        listed = LISTED.read_text().splitlines()
        self.assertGreater(len(listed), 500)
        self.assertEqual(sorted(set(listed) - outer_names()), [])


if __name__ == "__main__":
    unittest.main()
