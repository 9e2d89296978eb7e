"""Guards of how a follower chooses, tries and leaves its sources, and of what it tells them."""

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
from tests.follower_harness import PLACES, FollowerHarness, change, document, entry


class Sources(unittest.TestCase):
    def test_nearest_first_and_spread_within(self) -> None:
        far, other, near = Location("c", "two"), Location("b", "one"), Location("a", "one")
        same_name = Location("a", "two")
        hand = FollowerHarness(places=(far, same_name, other, near))
        for expected in (3, 2):
            self.assertEqual([expected], hand.watched())
            hand.ended(expected)
        firsts = [FollowerHarness(places=(near,) * 4, seed=seed).watched()[0] for seed in range(40)]
        self.assertEqual([0, 1, 2, 3], sorted(dict.fromkeys(firsts)))

    def test_silence_before_and_after_the_first_line(self) -> None:
        hand = FollowerHarness(places=PLACES[:2])
        hand.pass_(FIRST_LINE_SECONDS - 0.1)
        self.assertEqual([0], hand.watched())
        hand.pass_(0.2)
        self.assertEqual([1], hand.watched())
        hand.line(1, 0)
        hand.pass_(WATCH_TIMEOUT_SECONDS - 0.1)
        self.assertEqual([], [n for n in hand.left() if n == 1])
        hand.pass_(0.2)
        self.assertEqual([1], hand.left())

    def test_backoff_grows_is_bounded_and_spread(self) -> None:
        waits = list[list[float]]()
        for seed in range(6):
            hand = FollowerHarness(seed=seed)
            found = list[float]()
            for _ in range(14):
                hand.watched()
                hand.ended(0)
                before = hand.now
                while not (again := hand.watched()):
                    hand.pass_(0.01, 0.01)
                self.assertEqual([0], again)
                found.append(hand.now - before)
            waits.append(found)
        for found in waits:
            self.assertLessEqual(found[0], 1.6 * RETRY_SECONDS[0])
            self.assertGreaterEqual(found[8], RETRY_SECONDS[1] / 2)
            self.assertLessEqual(max(found), 1.6 * RETRY_SECONDS[1])
        self.assertEqual(6, len(dict.fromkeys(round(found[10], 1) for found in waits)))

    def test_a_source_that_failed_for_days_is_still_asked(self) -> None:
        hand = FollowerHarness()
        hand.follower._sources[0].failures = 5000
        hand.ended(0)
        hand.pass_(8.0)
        self.assertEqual([0, 0], hand.watched())

    def test_one_that_speaks_and_fails_at_once_over_and_over_is_asked_less_and_less(self) -> None:
        hand = FollowerHarness()
        for _ in range(60):
            hand.pass_(0.5, 0.01)
            if hand.watched():
                hand.line(0, 0)
                hand.ended(0, "no JSON")
        self.assertGreaterEqual(hand.follower._sources[0].failures, 6)
        self.assertEqual(1, len([note for note in hand.notes() if "lost" in note]))
        while not hand.watched():
            hand.pass_(0.05)
        hand.line(0, 0)
        hand.lines(0, 0, 6.0)
        self.assertEqual(0, hand.follower._sources[0].failures)

    def test_failed_ones_and_old_ones_come_last(self) -> None:
        hand = FollowerHarness(places=(Location("a", "one", "x"), Location("b", "one", "y")))
        hand.watched()
        hand.follower._sources[0].failures = 3
        hand.follower._source_failed(0, "cut", hand.now)
        hand.follower._sources[0].retry_at = hand.now
        hand.pass_(0.05)
        self.assertEqual([1], hand.watched())
        hand = FollowerHarness(places=PLACES[:2])
        hand.line(0, 0, staleness_ms=9000.0)
        hand.watched()
        hand.follower._trial = None
        hand.follower._sources[1].failures = 2
        hand.ended(0)
        hand.follower._sources[0].retry_at = hand.now
        hand.follower._current = None
        hand.pass_(0.05)
        self.assertEqual([1], hand.watched()[-1:])

    def test_an_old_word_makes_it_ask_another_and_stay_until_that_has_spoken(self) -> None:
        for held, more in ((0, {"staleness_ms": 1600.0}), (5, {})):
            hand = FollowerHarness(document(1, held), PLACES[:2])
            hand.watched()
            hand.line(0, 3, **more)
            self.assertEqual(([1], []), (hand.watched(), hand.left()))
            made = change(hand.follower.document, entry("tenant/x", 1))
            hand.line(0, 9, made, **more)  # still followed
            self.assertEqual(held + 1, hand.follower.document.version)
            hand.line(1, 9)
            self.assertEqual(([0], 1), (hand.left(), hand.follower._current))

    def test_a_trial_that_is_silent_or_ends_is_left_and_put_off(self) -> None:
        for silent in (True, False):
            hand = FollowerHarness(places=PLACES[:2])
            hand.line(0, 0, staleness_ms=1600.0)
            self.assertEqual([0, 1], hand.watched())
            if silent:
                hand.pass_(FIRST_LINE_SECONDS + 0.1)
            else:
                hand.ended(1)
            self.assertEqual(([1], 0), (hand.left(), hand.follower._current))
            self.assertIsNone(hand.follower._trial)
            self.assertGreater(hand.follower._sources[1].retry_at, hand.now - 0.1)
            self.assertEqual(1, hand.follower._sources[1].failures)

    def test_where_the_source_fails_a_trial_under_way_is_waited_for(self) -> None:
        hand = FollowerHarness(places=PLACES)
        hand.line(0, 0, staleness_ms=1600.0)
        self.assertEqual([0, 1], hand.watched())
        hand.ended(0)
        self.assertEqual(([], 1), (hand.watched(), hand.follower._current))
        hand.line(1, 0)
        self.assertEqual([0], hand.left())

    def test_one_that_ended_and_is_not_followed_changes_nothing(self) -> None:
        hand = FollowerHarness(places=PLACES[:2])
        hand.line(0, 0)
        hand.ended(1)
        self.assertEqual(0, hand.follower._sources[1].failures)
        self.assertEqual(0, hand.follower._current)

    def test_one_that_waits_is_not_tried_where_the_present_one_is_old(self) -> None:
        hand = FollowerHarness(places=PLACES[:2])
        hand.line(0, 0, staleness_ms=1600.0)
        hand.watched()
        hand.ended(1)
        hand.line(0, 0, staleness_ms=1600.0)
        self.assertEqual([], hand.watched())

    def test_where_all_are_old_the_others_are_asked_now_and_then_and_not_all_the_time(self) -> None:
        for held, more in ((0, {"staleness_ms": 9000.0}), (5, {})):
            tries = 0
            hand = FollowerHarness(document(1, held), PLACES)
            for _ in range(50):  # 20 s
                hand.pass_(0.4)
                for _ in range(9):  # who is asked answers at once
                    asked = hand.watched()
                    tries += len(asked)
                    for source in asked:
                        hand.line(source, 3, **more)
                if hand.follower._current is not None:
                    hand.line(hand.follower._current, 3, **more)
            self.assertTrue(6 <= tries <= 3 * 20 / SETTLED_SECONDS + 3, tries)

    def test_a_nearer_source_is_tried_again_after_a_while_and_not_all_the_time(self) -> None:
        hand = FollowerHarness(places=PLACES)
        hand.watched()
        hand.ended(0)
        hand.line(1, 0)
        self.assertEqual([1], hand.watched())
        hand.lines(1, 0, NEARER_SOURCE_SECONDS[0] - 1)
        self.assertEqual([], hand.watched())
        hand.lines(1, 0, NEARER_SOURCE_SECONDS[1] - NEARER_SOURCE_SECONDS[0] + 1.2)
        self.assertEqual([0], hand.watched())  # the far one is not asked
        hand.ended(0)
        hand.lines(1, 0, NEARER_SOURCE_SECONDS[0] - 1)
        self.assertEqual([], hand.watched())

    def test_a_nearer_one_that_waits_or_is_old_is_not_tried_and_failed_ones_last_and_less(self) -> None:
        hand = FollowerHarness(places=(*PLACES, Location("a", "one", "a1")))
        first = hand.watched()[0]
        hand.ended(first)
        (second,) = hand.watched()
        hand.ended(second)
        hand.line(1, 0)
        hand.watched()
        known = hand.follower._sources
        known[first].retry_at = 1e9
        known[second].staleness_ms, known[second].last_line_at = 9000.0, 1e9
        hand.lines(1, 0, 100)
        self.assertEqual([], hand.watched())
        known[first].retry_at, known[second].staleness_ms = 0.0, 0.0
        for failed, good in ((first, second), (second, first)):
            known[failed].failures, known[good].failures = 8, 0
            hand.lines(1, 0, NEARER_SOURCE_SECONDS[1] + 0.4)
            self.assertEqual([good], hand.watched()[:1])
            hand.ended(good)
            known[good].retry_at = 0.0
            hand.watched()
        known[first].failures = known[second].failures = 8
        tries = 0
        for _ in range(20):
            hand.lines(1, 0, NEARER_SOURCE_SECONDS[1])
            for source in hand.watched():
                hand.ended(source)
                tries += 1
            known[first].failures = known[second].failures = 8
        self.assertLessEqual(tries, 10)  # of 30 occasions, about

    def test_slow_links_make_it_patient_up_to_a_bound_and_no_sooner(self) -> None:
        hand = FollowerHarness()
        waits = list[float]()
        for _ in range(9):
            while not hand.watched():
                hand.pass_(0.05)
            before = hand.now
            while not hand.left():
                hand.pass_(0.05)
            waits.append(hand.now - before)
        self.assertTrue(all(wait < FIRST_LINE_SECONDS + 0.1 for wait in waits[:3]), waits)
        self.assertGreater(waits[4], 2 * FIRST_LINE_SECONDS - 0.1)
        self.assertGreater(waits[-1], MAX_FIRST_LINE_SECONDS - 0.1)
        self.assertLess(waits[-1], MAX_FIRST_LINE_SECONDS + 0.2)
        while not hand.watched():
            hand.pass_(0.05)
        hand.pass_(2.0)
        hand.line(0, 0)
        self.assertTrue(4.0 <= hand.follower._first_line_timeout <= 4.2)  # twice what it took


class Telling(unittest.TestCase):
    def test_what_is_in_force_is_told_after_changes_now_and_then_and_bounded(self) -> None:
        hand, theirs = FollowerHarness(), Document()
        hand.pass_(0.5)
        self.assertEqual([], hand.told())  # nobody is followed yet
        hand.line(0, 0)
        self.assertEqual([0], [action.applied.version for action in hand.told()])
        hand.follower.rejected_keys = [f"tenant/t{n}" for n in range(30)]
        for number in range(8):
            made = change(theirs, entry("tenant/a", number))
            theirs.apply(made)
            hand.now += 0.05
            hand.line(0, number + 1, made)
        told = hand.told()
        self.assertTrue(1 <= len(told) <= 2, told)
        self.assertEqual(20, len(told[-1].applied.rejected_keys))
        hand.lines(0, 8, 0.4)
        self.assertEqual(8, hand.told()[-1].applied.version)
        hand.lines(0, 8, MAX_REPORT_SECONDS - 0.8)
        self.assertEqual([], hand.told())
        hand.lines(0, 8, 1.2)
        self.assertEqual(1, len(hand.told()))

    def test_a_new_source_is_told_at_once(self) -> None:
        hand = FollowerHarness(places=PLACES[:2])
        hand.line(0, 0)
        hand.lines(0, 0, 0.8)
        hand.told()
        hand.ended(0)
        hand.line(1, 0)
        self.assertEqual([1], [action.source for action in hand.told()])

    def test_a_loss_is_said_once(self) -> None:
        hand = FollowerHarness()
        for _ in range(5):
            hand.ended(0)
            hand.pass_(8.0)
        self.assertEqual(1, len(hand.notes()))
