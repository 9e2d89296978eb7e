"""Tests the simulations behind the slopes of votes and discovery: they are deterministic for a seed."""

from __future__ import annotations

import unittest

from benchmarks.slopes import watching
from benchmarks.slopes.voting import Release, voting_settings
from lanelead.postgres_relay.discovery_client import WATCH_HOLD_SECONDS


class Voting(unittest.TestCase):
    def test_a_good_build_is_promoted_and_one_seed_gives_one_result(self) -> None:
        first, again = (Release(3, voting_settings(3, False)) for _ in range(2))
        self.assertTrue(first.play())
        self.assertTrue(again.play())
        self.assertEqual(first.casts, again.casts)
        self.assertEqual((first.changes, first.news), (again.changes, again.news))
        self.assertEqual({0, 1, 2}, {cast.stage for cast in first.casts})

    def test_with_a_quorum_of_half_each_stage_gets_enough_valid_votes(self) -> None:
        release = Release(5, voting_settings(5, True))
        self.assertTrue(release.play())
        self.assertGreaterEqual(release.outcome_counts()["done"], 3 * 3)  # three of five relays in each of three stages
        self.assertLessEqual(release.peak_calls(), len(release.casts))


class Watching(unittest.TestCase):
    def test_without_changes_a_relay_watches_once_in_each_hold_time(self) -> None:
        seen = watching.play(10, 100.0, [], 90)
        self.assertAlmostEqual(10 * 100 / (WATCH_HOLD_SECONDS + watching.CALL_SECONDS), seen.watches, delta=10)
        self.assertEqual(seen.watches * (90 + len(watching.watch_response(0))), seen.bytes)

    def test_each_relay_receives_each_change_once(self) -> None:
        seen, quiet = (watching.play(4, 50.0, changes, 90) for changes in ([10.0, 20.0, 20.0001], []))
        told = len(watching.watch_response(1)) - len(watching.watch_response(0))
        more = seen.bytes - quiet.bytes - (seen.watches - quiet.watches) * (90 + len(watching.watch_response(0)))
        self.assertAlmostEqual(4 * 3 * told, more, delta=4 * 3 * 3)  # a comma, or a digit of the content length

    def test_the_request_measured_is_that_of_the_relays_client(self) -> None:
        spent, asked = watching.watch_us(1, many=3, rounds=1)
        self.assertGreater(spent, 0)
        self.assertTrue(asked.startswith(b"GET /v1/endpoints?from=1234567&hold_ms=2000 HTTP/1.1\r\n"), asked)


if __name__ == "__main__":
    unittest.main()
