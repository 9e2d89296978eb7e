"""Guards of a follower's rules, each by a follower in hand: taking one out makes a test here fail."""

from __future__ import annotations

import unittest

import msgspec

from lanelead.configuration.actions import FetchBuckets, FetchDigestTree, VersionApplied
from lanelead.configuration.document import Document, bucket_of
from lanelead.configuration.follower import (
    DIVERGED_RETRY_SECONDS,
    FETCH_TIMEOUT_SECONDS,
    MAX_FAILED_FETCHES,
)
from lanelead.configuration.follower_state import FIRST_FETCH_BUCKETS
from lanelead.protocols.configuration import Buckets, Entry
from tests.follower_harness import HISTORY, PLACES, FollowerHarness, change, document, entry


class Lines(unittest.TestCase):
    def test_a_line_of_a_source_that_was_left_changes_nothing(self) -> None:
        hand, theirs = FollowerHarness(places=PLACES[:2]), Document()
        self.assertEqual([0], hand.watched())
        hand.line(0, 0)
        hand.ended(0)
        self.assertEqual([1], hand.watched())
        hand.line(0, 1, change(theirs, entry("tenant/a", 1)))
        self.assertEqual(0, hand.follower.document.version)

    def test_a_source_that_has_no_history_yet_is_no_other_history(self) -> None:
        hand = FollowerHarness(places=PLACES[:2])
        hand.line(0, 0)
        hand.line(0, 0, history="")
        self.assertEqual((0, []), (hand.follower._current, hand.notes()))
        hand.line(0, 0, history="another-one")
        self.assertNotEqual(0, hand.follower._current)
        self.assertIn("another history of configuration at a0", hand.notes())
        self.assertEqual(HISTORY, hand.follower.history)

    def test_another_history_is_not_asked_for_again_at_once(self) -> None:
        hand = FollowerHarness()
        hand.line(0, 0)
        hand.line(0, 0, history="another-one")
        hand.watched()
        hand.pass_(DIVERGED_RETRY_SECONDS - 0.2)
        self.assertEqual([], hand.watched())
        hand.pass_(0.4)
        self.assertEqual([0], hand.watched())

    def test_at_is_taken_once_never_backwards_and_not_above_the_head(self) -> None:
        for held, at, head, expected in ((0, 4, 9, 4), (6, 4, 9, 6), (0, 12, 9, 0)):
            hand = FollowerHarness(document(3, held))
            hand.line(0, head, resume_version=at)
            self.assertEqual(expected, hand.follower.document.version)
            hand.line(0, head, resume_version=head)
            self.assertEqual(expected, hand.follower.document.version)

    def test_a_change_told_twice_is_passed_over_and_a_gap_is_repaired(self) -> None:
        hand, theirs = FollowerHarness(), Document()
        made = []
        for number in range(4):
            made.append(change(theirs, entry(f"tenant/t{number}", number)))
            theirs.apply(made[-1])
        hand.line(0, 4, made[0])
        hand.line(0, 4, made[0], made[1])
        self.assertEqual((2, 0), (hand.follower.document.version, hand.follower.repairs))
        hand.line(0, 4, made[3])
        self.assertEqual((2, 1), (hand.follower.document.version, hand.follower.repairs))
        self.assertEqual(1, len(hand.acts(FetchDigestTree)))
        self.assertEqual(["a change of configuration was not taken"], hand.notes())

    def test_a_change_that_comes_out_otherwise_is_repaired_and_nothing_of_it_in_force(self) -> None:
        hand, theirs = FollowerHarness(), Document()
        bad = msgspec.structs.replace(change(theirs, entry("tenant/a", 1)), digest="0" * 32)
        hand.line(0, 1, bad)
        self.assertEqual(({}, 1), (hand.follower.document.entries, hand.follower.repairs))
        self.assertEqual([], hand.acts(VersionApplied))

    def test_while_it_repairs_changes_wait_and_the_document_stays(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1)), document(30, 5)
        hand.repairing(0, theirs)
        digest = hand.follower.document.digest
        ours = hand.follower.document.copy()
        hand.line(0, 6, change(ours, entry("tenant/x", 1)))  # it would fit what is in force
        hand.bucketed(0, theirs)
        self.assertEqual((1, digest), (hand.follower.document.version, hand.follower.document.digest))

    def test_a_lower_head_or_none_at_all_is_no_reason_to_repair(self) -> None:
        hand = FollowerHarness(document(3, 5))
        hand.line(0, 4, needs_repair=True)
        self.assertEqual(0, hand.follower.repairs)
        hand = FollowerHarness(document(3))
        hand.line(0, 0, needs_repair=True, history="")
        self.assertEqual(0, hand.follower.repairs)


class Repair(unittest.TestCase):
    def test_an_outline_of_another_history_lower_or_unreadable_is_not_followed(self) -> None:
        good = document(30, 5)
        for bad in (
            good.digest_tree("another-one"),
            msgspec.structs.replace(good.digest_tree(HISTORY), version=4),
            msgspec.structs.replace(good.digest_tree(HISTORY), bucket_digests="zz"),
        ):
            hand = FollowerHarness(document(3, 5))
            hand.line(0, 5, needs_repair=True)
            hand.acts(FetchDigestTree)
            hand.follower.digest_tree_received(0, bad, hand.now)
            self.assertIsNone(hand.follower._current)
            self.assertEqual([], hand.acts(FetchBuckets))

    def test_buckets_of_another_version_none_or_others_are_not_taken(self) -> None:
        theirs, other = document(30, 5), document(40, 6)
        for version, numbers in ((6, (0, 1)), (5, ())):
            hand = FollowerHarness(document(3, 1))
            hand.repairing(0, theirs)
            hand.acts(FetchBuckets)
            hand.follower.buckets_received(0, Buckets(version, {n: theirs.bucket(n) for n in numbers}), 9, hand.now)
            self.assertIsNone(hand.follower._current)
        hand = FollowerHarness(document(3, 1))
        hand.repairing(0, theirs)
        missing = dict.fromkeys(hand.acts(FetchBuckets)[0].numbers)
        extra = next(n for n in range(4096) if n not in missing and not theirs.bucket(n))
        row = Buckets(5, {9999: [], extra: other.bucket(extra)})
        hand.follower.buckets_received(0, row, 9, hand.now)  # a number that nobody has, and one not asked for
        self.assertEqual(0, hand.follower._current)

    def test_a_bucket_that_does_not_fit_makes_it_ask_another_source(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1), PLACES[:2]), document(30, 5)
        hand.repairing(0, theirs)
        (ask,) = hand.acts(FetchBuckets)
        lie = Buckets(5, {ask.numbers[0]: [Entry("tenant/lie")]})
        hand.watched()
        hand.follower.buckets_received(0, lie, 9, hand.now)
        self.assertEqual([1], hand.watched())
        self.assertEqual(3, len(hand.follower.document.entries))

    def test_what_came_stays_across_sources_and_only_the_rest_is_asked_for(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1), PLACES[:2]), document(60, 5)
        hand.repairing(0, theirs)
        first = hand.bucketed(0, theirs)
        self.assertEqual(FIRST_FETCH_BUCKETS, len(first))
        hand.ended(0)
        hand.repairing(1, theirs)
        self.assertEqual(1, hand.follower.repairs)
        self.assertEqual([], [n for n in hand.acts(FetchBuckets)[0].numbers if n in first])

    def test_an_outline_of_the_one_is_not_used_with_the_buckets_of_the_other(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1), PLACES[:2]), document(60, 5)
        hand.repairing(0, theirs)
        hand.ended(0)
        hand.acts(FetchBuckets)
        hand.pass_(0.05)
        self.assertEqual([], hand.acts(FetchDigestTree))  # not before that one has spoken
        hand.line(1, 5)
        self.assertEqual((1, 0), (len(hand.acts(FetchDigestTree)), len(hand.acts(FetchBuckets))))

    def test_answers_count_from_the_source_followed_and_once(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1), PLACES[:2], rate=65536.0), document(60, 5)
        hand.line(0, 5, needs_repair=True)
        hand.follower.digest_tree_received(1, theirs.digest_tree(HISTORY), hand.now)
        hand.lines(0, 5, 1.2)
        self.assertEqual([], hand.acts(FetchBuckets))
        hand.outlined(0, theirs)
        hand.follower.digest_tree_received(0, document(90, 5).digest_tree(HISTORY), hand.now)  # nobody asked for it
        hand.lines(0, 5, 1.2)
        hand.bucketed(0, theirs)
        hand.lines(0, 5, 0.4)
        hand.bucketed(0, theirs)
        self.assertEqual(0, hand.follower._current)

    def test_one_thing_is_asked_for_at_a_time(self) -> None:
        hand = FollowerHarness(document(3, 1))
        hand.line(0, 5, needs_repair=True)
        hand.lines(0, 5, 1.2)
        self.assertEqual(1, len(hand.acts(FetchDigestTree)))

    def test_it_keeps_to_its_rate(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1), rate=65536.0), document(600, 5)
        hand.repairing(0, theirs)
        hand.lines(0, 5, 0.8)
        self.assertEqual([], hand.acts(FetchBuckets))  # the outline's 65,536 bytes are a second's
        hand.lines(0, 5, 0.4)
        hand.bucketed(0, theirs, 65536)
        hand.lines(0, 5, 0.8)
        self.assertEqual([], hand.acts(FetchBuckets))
        hand.lines(0, 5, 0.4)
        self.assertEqual(1, len(hand.acts(FetchBuckets)))

    def test_buckets_are_asked_for_by_the_size_they_were_of(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1)), document(3000, 5)
        hand.repairing(0, theirs)
        self.assertEqual(16, len(hand.bucketed(0, theirs, 16 * 4096)))
        self.assertEqual(4, len(hand.bucketed(0, theirs, 10)))
        self.assertEqual(256, len(hand.bucketed(0, theirs, 256 * 100_000)))
        hand.pass_(0.05)
        self.assertEqual(1, len(hand.bucketed(0, theirs)))

    def test_a_snapshot_that_is_gone_is_asked_for_anew_after_a_moment_and_for_less(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1)), document(60, 5)
        hand.repairing(0, theirs)
        self.assertEqual(16, len(hand.acts(FetchBuckets)[0].numbers))
        hand.follower.fetch_failed(0, hand.now)
        self.assertEqual((0, 0), (len(hand.acts(FetchDigestTree)), len(hand.acts(FetchBuckets))))
        hand.pass_(1.05)
        hand.outlined(0, theirs)
        self.assertEqual(8, len(hand.acts(FetchBuckets)[0].numbers))

    def test_a_source_without_a_snapshot_is_left_for_another(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1), PLACES[:2]), document(60, 5)
        hand.watched()
        hand.line(0, 5, needs_repair=True)
        for number in range(MAX_FAILED_FETCHES - 1):
            self.assertEqual(1, len(hand.acts(FetchDigestTree)), number)
            hand.follower.fetch_failed(0, hand.now)
            hand.lines(0, 5, 1.2)
        self.assertEqual([], hand.watched())
        hand.outlined(0, theirs)
        hand.bucketed(0, theirs)  # in a row: it counts anew from here
        hand.follower.fetch_failed(0, hand.now)
        self.assertEqual([], hand.watched())
        for _ in range(MAX_FAILED_FETCHES - 1):
            hand.lines(0, 5, 1.2)
            hand.follower.fetch_failed(0, hand.now)
        self.assertEqual([1], hand.watched())

    def test_an_answer_that_never_comes_is_asked_for_anew(self) -> None:
        hand = FollowerHarness(document(3, 1))
        hand.line(0, 5, needs_repair=True)
        hand.acts(FetchDigestTree)
        hand.lines(0, 5, FETCH_TIMEOUT_SECONDS - 0.4)
        self.assertEqual([], hand.acts(FetchDigestTree))
        hand.lines(0, 5, 2.0)
        self.assertEqual(1, len(hand.acts(FetchDigestTree)))

    def test_a_document_over_the_bounds_is_left_alone_for_a_while_and_said(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1, most=5)), document(60, 5)
        hand.repairing(0, theirs)
        hand.bucketed(0, theirs)
        self.assertEqual(["the configuration is larger than this relay may hold"], hand.notes())
        hand.lines(0, 5, 36.0)
        self.assertEqual((0, 3), (hand.follower._current, len(hand.follower.document.entries)))
        self.assertEqual([], [*hand.acts(FetchDigestTree), *hand.acts(FetchBuckets)])
        self.assertEqual([], hand.left())
        hand.lines(0, 5, 48.0)
        hand.outlined(0, document(4, 6))  # entries were removed meanwhile
        hand.bucketed(0, document(4, 6))
        self.assertEqual((6, 4), (hand.follower.document.version, len(hand.follower.document.entries)))

    def test_a_change_over_the_bounds_ends_in_that_too(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1, most=3)), document(3, 1)
        made = change(theirs, entry("tenant/more", 1))
        theirs.apply(made)
        hand.line(0, 2, made)
        hand.outlined(0, theirs)
        hand.bucketed(0, theirs)
        hand.notes()
        hand.lines(0, 2, 36.0)
        self.assertEqual((0, [], 1), (len(hand.acts(FetchDigestTree)), hand.notes(), hand.follower.document.version))

    def test_what_comes_into_force_is_what_differs_removed_keys_too(self) -> None:
        hand, theirs = FollowerHarness(document(3, 1)), document(2, 5)
        theirs.load([("tenant/new", b"{}")])
        hand.repairing(0, theirs)
        hand.bucketed(0, theirs)
        (action,) = hand.acts(VersionApplied)
        self.assertEqual((5, ["tenant/new", "tenant/t2"]), (action.version, sorted(action.keys)))
        self.assertEqual([0, 0], hand.watched())  # from here on by changes

    def test_keys_of_a_bucket_that_differs_are_not_put_in_force_where_they_do_not(self) -> None:
        one = "tenant/x"
        other = next(name for n in range(200_000) if bucket_of(name := f"{one}{n}") == bucket_of(one))
        ours, theirs = Document(), Document()
        ours.load([(one, b"1")])
        theirs.load([(one, b"1"), (other, b"2")])
        theirs.version = 3
        hand = FollowerHarness(ours)
        hand.repairing(0, theirs)
        hand.bucketed(0, theirs)
        self.assertEqual((other,), hand.acts(VersionApplied)[0].keys)
