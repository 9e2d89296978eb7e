"""What the interpreter of a relay does not load."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import MOST, relay_under_test
from tests.http_relay_environment import run_on_uvloop


class OpenSsl(unittest.TestCase):
    @run_on_uvloop
    async def test_no_relay_loads_it(self) -> None:
        for kind in RelayKind:
            with self.subTest(kind), tempfile.TemporaryDirectory() as name:
                async with relay_under_test(kind, Path(name), MOST) as relay:
                    maps = Path(f"/proc/{relay.process.pid}/maps").read_text()
                    self.assertNotIn("libssl", maps)
                    self.assertNotIn("libcrypto", maps)
                    self.assertIn("uvloop", maps)


if __name__ == "__main__":
    unittest.main()
