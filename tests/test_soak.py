"""A few seeds of the soak; the long run is started by hand: `python -m tests.abuse.soak RELAY FIRST_SEED RUNS`."""

from __future__ import annotations

import unittest

import uvloop

from tests.abuse.requests import RelayKind
from tests.abuse.soak import soak


class Soak(unittest.TestCase):
    def test_no_request_is_lost_and_no_limit_exceeded_over_signals_in_series(self) -> None:
        # With and without a crowd, at 32 and 48 MB on the platform.
        for kind, seed in (
            (RelayKind.POSTGRES, 1),
            (RelayKind.POSTGRES, 4),
            (RelayKind.POSTGRES, 19),
            (RelayKind.HTTP, 6),
            (RelayKind.HTTP, 10),
        ):
            with self.subTest(kind=kind, seed=seed):
                result = uvloop.run(soak(kind, seed))
                self.assertEqual(result.faults, [], result.line())


if __name__ == "__main__":
    unittest.main()
