"""Tests of how a follower chooses, tries and leaves its sources, and of what it reports to them."""

from __future__ import annotations

import unittest

from lanelead.configuration.actions import Location
from lanelead.configuration.document import Document
from lanelead.configuration.follower import (
    FIRST_LINE_SECONDS,
    MAX_FIRST_LINE_SECONDS,
    MAX_REPORT_SECONDS,
    NEARER_SOURCE_SECONDS,
    RETRY_SECONDS,
    SETTLED_SECONDS,
    WATCH_TIMEOUT_SECONDS,
)
from tests.follower_harness import SOURCES, FollowerHarness, change, document, entry


class Sources(unittest.TestCase):
    def test_the_nearest_source_comes_first_and_equally_near_ones_are_chosen_at_random(self) -> None:
        far, same_region, near = Location("c", "two"), Location("b", "one"), Location("a", "one")
        same_zone_name = Location("a", "two")
        harness = FollowerHarness(sources=(far, same_zone_name, same_region, near))
        for expected in (3, 2):
            self.assertEqual([expected], harness.opened_watches())
            harness.end_watch(expected)
        firsts = [FollowerHarness(sources=(near,) * 4, seed=seed).opened_watches()[0] for seed in range(40)]
        self.assertEqual([0, 1, 2, 3], sorted(dict.fromkeys(firsts)))

    def test_timeouts_before_and_after_the_first_line(self) -> None:
        harness = FollowerHarness(sources=SOURCES[:2])
        harness.advance(FIRST_LINE_SECONDS - 0.1)
        self.assertEqual([0], harness.opened_watches())
        harness.advance(0.2)
        self.assertEqual([1], harness.opened_watches())
        harness.receive_line(1, 0)
        harness.advance(WATCH_TIMEOUT_SECONDS - 0.1)
        self.assertEqual([], [n for n in harness.closed_watches() if n == 1])
        harness.advance(0.2)
        self.assertEqual([1], harness.closed_watches())

    def test_retry_waits_grow_are_bounded_and_differ_between_relays(self) -> None:
        waits = list[list[float]]()
        for seed in range(6):
            harness = FollowerHarness(seed=seed)
            found = list[float]()
            for _ in range(14):
                harness.opened_watches()
                harness.end_watch(0)
                before = harness.now
                while not (again := harness.opened_watches()):
                    harness.advance(0.01, 0.01)
                self.assertEqual([0], again)
                found.append(harness.now - before)
            waits.append(found)
        for found in waits:
            self.assertLessEqual(found[0], 1.6 * RETRY_SECONDS[0])
            self.assertGreaterEqual(found[8], RETRY_SECONDS[1] / 2)
            self.assertLessEqual(max(found), 1.6 * RETRY_SECONDS[1])
        self.assertEqual(6, len(dict.fromkeys(round(found[10], 1) for found in waits)))

    def test_a_source_with_very_many_failures_is_still_retried(self) -> None:
        harness = FollowerHarness()
        harness.follower._sources[0].failures = 5000
        harness.end_watch(0)
        harness.advance(8.0)
        self.assertEqual([0, 0], harness.opened_watches())

    def test_a_source_that_repeatedly_fails_after_one_line_is_retried_less_and_less(self) -> None:
        harness = FollowerHarness()
        for _ in range(60):
            harness.advance(0.5, 0.01)
            if harness.opened_watches():
                harness.receive_line(0, 0)
                harness.end_watch(0, "no JSON")
        self.assertGreaterEqual(harness.follower._sources[0].failures, 6)
        self.assertEqual(1, len([note for note in harness.logged_events() if "failed" in note]))
        while not harness.opened_watches():
            harness.advance(0.05)
        harness.receive_line(0, 0)
        harness.receive_lines(0, 0, 6.0)
        self.assertEqual(0, harness.follower._sources[0].failures)

    def test_failed_and_stale_sources_come_last(self) -> None:
        harness = FollowerHarness(sources=(Location("a", "one", "x"), Location("b", "one", "y")))
        harness.opened_watches()
        harness.follower._sources[0].failures = 3
        harness.follower._source_failed(0, "cut", harness.now)
        harness.follower._sources[0].retry_at = harness.now
        harness.advance(0.05)
        self.assertEqual([1], harness.opened_watches())
        harness = FollowerHarness(sources=SOURCES[:2])
        harness.receive_line(0, 0, staleness_ms=9000.0)
        harness.opened_watches()
        harness.follower._trial = None
        harness.follower._sources[1].failures = 2
        harness.end_watch(0)
        harness.follower._sources[0].retry_at = harness.now
        harness.follower._current = None
        harness.advance(0.05)
        self.assertEqual([1], harness.opened_watches()[-1:])

    def test_a_stale_source_is_followed_until_another_one_on_trial_sends_a_line(self) -> None:
        for held, more in ((0, {"staleness_ms": 1600.0}), (5, {})):
            harness = FollowerHarness(document(1, held), SOURCES[:2])
            harness.opened_watches()
            harness.receive_line(0, 3, **more)
            self.assertEqual(([1], []), (harness.opened_watches(), harness.closed_watches()))
            next_change = change(harness.follower.document, entry("tenant/x", 1))
            harness.receive_line(0, 9, next_change, **more)  # the stale source is still followed
            self.assertEqual(held + 1, harness.follower.document.version)
            harness.receive_line(1, 9)
            self.assertEqual(([0], 1), (harness.closed_watches(), harness.follower._current))

    def test_a_trial_that_times_out_or_ends_is_closed_and_retried_later(self) -> None:
        for silent in (True, False):
            harness = FollowerHarness(sources=SOURCES[:2])
            harness.receive_line(0, 0, staleness_ms=1600.0)
            self.assertEqual([0, 1], harness.opened_watches())
            if silent:
                harness.advance(FIRST_LINE_SECONDS + 0.1)
            else:
                harness.end_watch(1)
            self.assertEqual(([1], 0), (harness.closed_watches(), harness.follower._current))
            self.assertIsNone(harness.follower._trial)
            self.assertGreater(harness.follower._sources[1].retry_at, harness.now - 0.1)
            self.assertEqual(1, harness.follower._sources[1].failures)

    def test_if_the_source_fails_during_a_trial_the_source_on_trial_is_followed(self) -> None:
        harness = FollowerHarness(sources=SOURCES)
        harness.receive_line(0, 0, staleness_ms=1600.0)
        self.assertEqual([0, 1], harness.opened_watches())
        harness.end_watch(0)
        self.assertEqual(([], 1), (harness.opened_watches(), harness.follower._current))
        harness.receive_line(1, 0)
        self.assertEqual([0], harness.closed_watches())

    def test_the_end_of_a_watch_that_is_not_followed_changes_nothing(self) -> None:
        harness = FollowerHarness(sources=SOURCES[:2])
        harness.receive_line(0, 0)
        harness.end_watch(1)
        self.assertEqual(0, harness.follower._sources[1].failures)
        self.assertEqual(0, harness.follower._current)

    def test_a_source_waiting_for_its_retry_is_not_tried_although_the_current_one_is_stale(self) -> None:
        harness = FollowerHarness(sources=SOURCES[:2])
        harness.receive_line(0, 0, staleness_ms=1600.0)
        harness.opened_watches()
        harness.end_watch(1)
        harness.receive_line(0, 0, staleness_ms=1600.0)
        self.assertEqual([], harness.opened_watches())

    def test_if_all_sources_are_stale_the_others_are_tried_at_intervals(self) -> None:
        for held, more in ((0, {"staleness_ms": 9000.0}), (5, {})):
            tries = 0
            harness = FollowerHarness(document(1, held), SOURCES)
            for _ in range(50):  # 20 s
                harness.advance(0.4)
                for _ in range(9):  # newly watched sources answer at once
                    asked = harness.opened_watches()
                    tries += len(asked)
                    for source in asked:
                        harness.receive_line(source, 3, **more)
                if harness.follower._current is not None:
                    harness.receive_line(harness.follower._current, 3, **more)
            self.assertTrue(6 <= tries <= 3 * 20 / SETTLED_SECONDS + 3, tries)

    def test_a_nearer_source_is_tried_again_at_intervals(self) -> None:
        harness = FollowerHarness(sources=SOURCES)
        harness.opened_watches()
        harness.end_watch(0)
        harness.receive_line(1, 0)
        self.assertEqual([1], harness.opened_watches())
        harness.receive_lines(1, 0, NEARER_SOURCE_SECONDS[0] - 1)
        self.assertEqual([], harness.opened_watches())
        harness.receive_lines(1, 0, NEARER_SOURCE_SECONDS[1] - NEARER_SOURCE_SECONDS[0] + 1.2)
        self.assertEqual([0], harness.opened_watches())  # the farther source is not tried
        harness.end_watch(0)
        harness.receive_lines(1, 0, NEARER_SOURCE_SECONDS[0] - 1)
        self.assertEqual([], harness.opened_watches())

    def test_a_nearer_source_is_not_tried_while_waiting_or_stale_and_failed_ones_come_last_and_less_often(self) -> None:
        harness = FollowerHarness(sources=(*SOURCES, Location("a", "one", "a1")))
        first = harness.opened_watches()[0]
        harness.end_watch(first)
        (second,) = harness.opened_watches()
        harness.end_watch(second)
        harness.receive_line(1, 0)
        harness.opened_watches()
        known = harness.follower._sources
        known[first].retry_at = 1e9
        known[second].staleness_ms, known[second].last_line_at = 9000.0, 1e9
        harness.receive_lines(1, 0, 100)
        self.assertEqual([], harness.opened_watches())
        known[first].retry_at, known[second].staleness_ms = 0.0, 0.0
        for failed, good in ((first, second), (second, first)):
            known[failed].failures, known[good].failures = 8, 0
            harness.receive_lines(1, 0, NEARER_SOURCE_SECONDS[1] + 0.4)
            self.assertEqual([good], harness.opened_watches()[:1])
            harness.end_watch(good)
            known[good].retry_at = 0.0
            harness.opened_watches()
        known[first].failures = known[second].failures = 8
        tries = 0
        for _ in range(20):
            harness.receive_lines(1, 0, NEARER_SOURCE_SECONDS[1])
            for source in harness.opened_watches():
                harness.end_watch(source)
                tries += 1
            known[first].failures = known[second].failures = 8
        self.assertLessEqual(tries, 10)  # of about 30 opportunities

    def test_the_timeout_for_the_first_line_grows_on_slow_links_up_to_a_limit(self) -> None:
        harness = FollowerHarness()
        waits = list[float]()
        for _ in range(9):
            while not harness.opened_watches():
                harness.advance(0.05)
            before = harness.now
            while not harness.closed_watches():
                harness.advance(0.05)
            waits.append(harness.now - before)
        self.assertTrue(all(wait < FIRST_LINE_SECONDS + 0.1 for wait in waits[:3]), waits)
        self.assertGreater(waits[4], 2 * FIRST_LINE_SECONDS - 0.1)
        self.assertGreater(waits[-1], MAX_FIRST_LINE_SECONDS - 0.1)
        self.assertLess(waits[-1], MAX_FIRST_LINE_SECONDS + 0.2)
        while not harness.opened_watches():
            harness.advance(0.05)
        harness.advance(2.0)
        harness.receive_line(0, 0)
        self.assertTrue(4.0 <= harness.follower._first_line_timeout <= 4.2)  # twice the time that the line took


class Reports(unittest.TestCase):
    def test_the_applied_version_is_reported_after_changes_and_periodically_at_a_limited_rate(self) -> None:
        harness, remote = FollowerHarness(), Document()
        harness.advance(0.5)
        self.assertEqual([], harness.reports())  # no source is followed yet
        harness.receive_line(0, 0)
        self.assertEqual([0], [action.applied.version for action in harness.reports()])
        harness.follower.rejected_keys = [f"tenant/t{n}" for n in range(30)]
        for number in range(8):
            next_change = change(remote, entry("tenant/a", number))
            remote.apply(next_change)
            harness.now += 0.05
            harness.receive_line(0, number + 1, next_change)
        reports = harness.reports()
        self.assertTrue(1 <= len(reports) <= 2, reports)
        self.assertEqual(20, len(reports[-1].applied.rejected_keys))
        harness.receive_lines(0, 8, 0.4)
        self.assertEqual(8, harness.reports()[-1].applied.version)
        harness.receive_lines(0, 8, MAX_REPORT_SECONDS - 0.8)
        self.assertEqual([], harness.reports())
        harness.receive_lines(0, 8, 1.2)
        self.assertEqual(1, len(harness.reports()))

    def test_a_new_source_gets_a_report_at_once(self) -> None:
        harness = FollowerHarness(sources=SOURCES[:2])
        harness.receive_line(0, 0)
        harness.receive_lines(0, 0, 0.8)
        harness.reports()
        harness.end_watch(0)
        harness.receive_line(1, 0)
        self.assertEqual([1], [action.source for action in harness.reports()])

    def test_a_failed_source_is_logged_once(self) -> None:
        harness = FollowerHarness()
        for _ in range(5):
            harness.end_watch(0)
            harness.advance(8.0)
        self.assertEqual(1, len(harness.logged_events()))
