"""Tests of how a follower applies lines and repairs its document: removing a rule of follower.py makes one fail."""

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
from tests.follower_harness import HISTORY, SOURCES, FollowerHarness, change, document, entry


class Lines(unittest.TestCase):
    def test_a_line_of_a_source_no_longer_followed_changes_nothing(self) -> None:
        harness, remote = FollowerHarness(sources=SOURCES[:2]), Document()
        self.assertEqual([0], harness.opened_watches())
        harness.receive_line(0, 0)
        harness.end_watch(0)
        self.assertEqual([1], harness.opened_watches())
        harness.receive_line(0, 1, change(remote, entry("tenant/a", 1)))
        self.assertEqual(0, harness.follower.document.version)

    def test_an_empty_history_is_accepted_and_a_different_one_is_not(self) -> None:
        harness = FollowerHarness(sources=SOURCES[:2])
        harness.receive_line(0, 0)
        harness.receive_line(0, 0, history="")
        self.assertEqual((0, []), (harness.follower._current, harness.logged_events()))
        harness.receive_line(0, 0, history="another-one")
        self.assertNotEqual(0, harness.follower._current)
        self.assertIn("different configuration history at a0", harness.logged_events())
        self.assertEqual(HISTORY, harness.follower.history)

    def test_a_source_with_another_history_is_retried_only_after_a_wait(self) -> None:
        harness = FollowerHarness()
        harness.receive_line(0, 0)
        harness.receive_line(0, 0, history="another-one")
        harness.opened_watches()
        harness.advance(DIVERGED_RETRY_SECONDS - 0.2)
        self.assertEqual([], harness.opened_watches())
        harness.advance(0.4)
        self.assertEqual([0], harness.opened_watches())

    def test_resume_version_is_used_once_never_lowers_the_version_and_is_not_above_the_committed_one(self) -> None:
        for held, at, head, expected in ((0, 4, 9, 4), (6, 4, 9, 6), (0, 12, 9, 0)):
            harness = FollowerHarness(document(3, held))
            harness.receive_line(0, head, resume_version=at)
            self.assertEqual(expected, harness.follower.document.version)
            harness.receive_line(0, head, resume_version=head)
            self.assertEqual(expected, harness.follower.document.version)

    def test_a_repeated_change_is_skipped_and_a_gap_starts_a_repair(self) -> None:
        harness, remote = FollowerHarness(), Document()
        next_change = []
        for number in range(4):
            next_change.append(change(remote, entry(f"tenant/t{number}", number)))
            remote.apply(next_change[-1])
        harness.receive_line(0, 4, next_change[0])
        harness.receive_line(0, 4, next_change[0], next_change[1])
        self.assertEqual((2, 0), (harness.follower.document.version, harness.follower.repairs))
        harness.receive_line(0, 4, next_change[3])
        self.assertEqual((2, 1), (harness.follower.document.version, harness.follower.repairs))
        self.assertEqual(1, len(harness.take_actions(FetchDigestTree)))
        self.assertEqual(["configuration change rejected"], harness.logged_events())

    def test_a_change_with_a_wrong_digest_is_not_applied_and_starts_a_repair(self) -> None:
        harness, remote = FollowerHarness(), Document()
        bad = msgspec.structs.replace(change(remote, entry("tenant/a", 1)), digest="0" * 32)
        harness.receive_line(0, 1, bad)
        self.assertEqual(({}, 1), (harness.follower.document.entries, harness.follower.repairs))
        self.assertEqual([], harness.take_actions(VersionApplied))

    def test_during_a_repair_changes_are_not_applied_and_the_document_stays(self) -> None:
        harness, remote = FollowerHarness(document(3, 1)), document(30, 5)
        harness.start_repair(0, remote)
        digest = harness.follower.document.digest
        ours = harness.follower.document.copy()
        harness.receive_line(0, 6, change(ours, entry("tenant/x", 1)))  # it would apply to the document in force
        harness.answer_buckets(0, remote)
        self.assertEqual((1, digest), (harness.follower.document.version, harness.follower.document.digest))

    def test_a_lower_committed_version_or_none_starts_no_repair(self) -> None:
        harness = FollowerHarness(document(3, 5))
        harness.receive_line(0, 4, needs_repair=True)
        self.assertEqual(0, harness.follower.repairs)
        harness = FollowerHarness(document(3))
        harness.receive_line(0, 0, needs_repair=True, history="")
        self.assertEqual(0, harness.follower.repairs)


class Repair(unittest.TestCase):
    def test_a_digest_tree_of_another_history_older_or_unreadable_is_rejected(self) -> None:
        good = document(30, 5)
        for bad in (
            good.digest_tree("another-one"),
            msgspec.structs.replace(good.digest_tree(HISTORY), version=4),
            msgspec.structs.replace(good.digest_tree(HISTORY), bucket_digests="zz"),
        ):
            harness = FollowerHarness(document(3, 5))
            harness.receive_line(0, 5, needs_repair=True)
            harness.take_actions(FetchDigestTree)
            harness.follower.digest_tree_received(0, bad, harness.now)
            self.assertIsNone(harness.follower._current)
            self.assertEqual([], harness.take_actions(FetchBuckets))

    def test_no_buckets_or_buckets_of_another_version_are_rejected_and_unrequested_ones_ignored(self) -> None:
        remote, other = document(30, 5), document(40, 6)
        for version, numbers in ((6, (0, 1)), (5, ())):
            harness = FollowerHarness(document(3, 1))
            harness.start_repair(0, remote)
            harness.take_actions(FetchBuckets)
            harness.follower.buckets_received(
                0, Buckets(version, {n: remote.bucket(n) for n in numbers}), 9, harness.now
            )
            self.assertIsNone(harness.follower._current)
        harness = FollowerHarness(document(3, 1))
        harness.start_repair(0, remote)
        missing = dict.fromkeys(harness.take_actions(FetchBuckets)[0].numbers)
        extra = next(n for n in range(4096) if n not in missing and not remote.bucket(n))
        row = Buckets(5, {9999: [], extra: other.bucket(extra)})
        harness.follower.buckets_received(0, row, 9, harness.now)  # a number out of range, and one not requested
        self.assertEqual(0, harness.follower._current)

    def test_a_bucket_with_a_wrong_digest_makes_it_switch_to_another_source(self) -> None:
        harness, remote = FollowerHarness(document(3, 1), SOURCES[:2]), document(30, 5)
        harness.start_repair(0, remote)
        (fetch,) = harness.take_actions(FetchBuckets)
        wrong_buckets = Buckets(5, {fetch.numbers[0]: [Entry("tenant/wrong")]})
        harness.opened_watches()
        harness.follower.buckets_received(0, wrong_buckets, 9, harness.now)
        self.assertEqual([1], harness.opened_watches())
        self.assertEqual(3, len(harness.follower.document.entries))

    def test_fetched_buckets_are_kept_when_the_source_changes_and_only_the_rest_is_fetched(self) -> None:
        harness, remote = FollowerHarness(document(3, 1), SOURCES[:2]), document(60, 5)
        harness.start_repair(0, remote)
        first = harness.answer_buckets(0, remote)
        self.assertEqual(FIRST_FETCH_BUCKETS, len(first))
        harness.end_watch(0)
        harness.start_repair(1, remote)
        self.assertEqual(1, harness.follower.repairs)
        self.assertEqual([], [n for n in harness.take_actions(FetchBuckets)[0].numbers if n in first])

    def test_a_digest_tree_of_one_source_is_not_used_with_buckets_of_another(self) -> None:
        harness, remote = FollowerHarness(document(3, 1), SOURCES[:2]), document(60, 5)
        harness.start_repair(0, remote)
        harness.end_watch(0)
        harness.take_actions(FetchBuckets)
        harness.advance(0.05)
        self.assertEqual([], harness.take_actions(FetchDigestTree))  # not before the new source has sent a line
        harness.receive_line(1, 5)
        self.assertEqual((1, 0), (len(harness.take_actions(FetchDigestTree)), len(harness.take_actions(FetchBuckets))))

    def test_responses_count_only_once_and_only_from_the_source_followed(self) -> None:
        harness, remote = FollowerHarness(document(3, 1), SOURCES[:2], rate=65536.0), document(60, 5)
        harness.receive_line(0, 5, needs_repair=True)
        harness.follower.digest_tree_received(1, remote.digest_tree(HISTORY), harness.now)
        harness.receive_lines(0, 5, 1.2)
        self.assertEqual([], harness.take_actions(FetchBuckets))
        harness.answer_digest_tree(0, remote)
        harness.follower.digest_tree_received(0, document(90, 5).digest_tree(HISTORY), harness.now)  # not requested
        harness.receive_lines(0, 5, 1.2)
        harness.answer_buckets(0, remote)
        harness.receive_lines(0, 5, 0.4)
        harness.answer_buckets(0, remote)
        self.assertEqual(0, harness.follower._current)

    def test_only_one_fetch_is_in_flight(self) -> None:
        harness = FollowerHarness(document(3, 1))
        harness.receive_line(0, 5, needs_repair=True)
        harness.receive_lines(0, 5, 1.2)
        self.assertEqual(1, len(harness.take_actions(FetchDigestTree)))

    def test_a_repair_keeps_to_its_rate(self) -> None:
        harness, remote = FollowerHarness(document(3, 1), rate=65536.0), document(600, 5)
        harness.start_repair(0, remote)
        harness.receive_lines(0, 5, 0.8)
        # The 65,536 bytes of the digest tree use up one second.
        self.assertEqual([], harness.take_actions(FetchBuckets))
        harness.receive_lines(0, 5, 0.4)
        harness.answer_buckets(0, remote, 65536)
        harness.receive_lines(0, 5, 0.8)
        self.assertEqual([], harness.take_actions(FetchBuckets))
        harness.receive_lines(0, 5, 0.4)
        self.assertEqual(1, len(harness.take_actions(FetchBuckets)))

    def test_the_number_of_buckets_fetched_follows_from_the_size_of_the_last_response(self) -> None:
        harness, remote = FollowerHarness(document(3, 1)), document(3000, 5)
        harness.start_repair(0, remote)
        self.assertEqual(16, len(harness.answer_buckets(0, remote, 16 * 4096)))
        self.assertEqual(4, len(harness.answer_buckets(0, remote, 10)))
        self.assertEqual(256, len(harness.answer_buckets(0, remote, 256 * 100_000)))
        harness.advance(0.05)
        self.assertEqual(1, len(harness.answer_buckets(0, remote)))

    def test_after_a_failed_fetch_a_new_digest_tree_and_fewer_buckets_are_fetched_after_a_wait(self) -> None:
        harness, remote = FollowerHarness(document(3, 1)), document(60, 5)
        harness.start_repair(0, remote)
        self.assertEqual(16, len(harness.take_actions(FetchBuckets)[0].numbers))
        harness.follower.fetch_failed(0, harness.now)
        self.assertEqual((0, 0), (len(harness.take_actions(FetchDigestTree)), len(harness.take_actions(FetchBuckets))))
        harness.advance(1.05)
        harness.answer_digest_tree(0, remote)
        self.assertEqual(8, len(harness.take_actions(FetchBuckets)[0].numbers))

    def test_a_source_without_a_snapshot_is_replaced_by_another(self) -> None:
        harness, remote = FollowerHarness(document(3, 1), SOURCES[:2]), document(60, 5)
        harness.opened_watches()
        harness.receive_line(0, 5, needs_repair=True)
        for number in range(MAX_FAILED_FETCHES - 1):
            self.assertEqual(1, len(harness.take_actions(FetchDigestTree)), number)
            harness.follower.fetch_failed(0, harness.now)
            harness.receive_lines(0, 5, 1.2)
        self.assertEqual([], harness.opened_watches())
        harness.answer_digest_tree(0, remote)
        harness.answer_buckets(0, remote)  # a success: failures are counted from zero again
        harness.follower.fetch_failed(0, harness.now)
        self.assertEqual([], harness.opened_watches())
        for _ in range(MAX_FAILED_FETCHES - 1):
            harness.receive_lines(0, 5, 1.2)
            harness.follower.fetch_failed(0, harness.now)
        self.assertEqual([1], harness.opened_watches())

    def test_a_fetch_without_a_response_is_repeated_after_its_timeout(self) -> None:
        harness = FollowerHarness(document(3, 1))
        harness.receive_line(0, 5, needs_repair=True)
        harness.take_actions(FetchDigestTree)
        harness.receive_lines(0, 5, FETCH_TIMEOUT_SECONDS - 0.4)
        self.assertEqual([], harness.take_actions(FetchDigestTree))
        harness.receive_lines(0, 5, 2.0)
        self.assertEqual(1, len(harness.take_actions(FetchDigestTree)))

    def test_a_document_over_the_limits_is_logged_and_fetched_again_only_after_a_wait(self) -> None:
        harness, remote = FollowerHarness(document(3, 1, max_entries=5)), document(60, 5)
        harness.start_repair(0, remote)
        harness.answer_buckets(0, remote)
        self.assertEqual(["configuration exceeds this relay's limits"], harness.logged_events())
        harness.receive_lines(0, 5, 36.0)
        self.assertEqual((0, 3), (harness.follower._current, len(harness.follower.document.entries)))
        self.assertEqual([], [*harness.take_actions(FetchDigestTree), *harness.take_actions(FetchBuckets)])
        self.assertEqual([], harness.closed_watches())
        harness.receive_lines(0, 5, 48.0)
        harness.answer_digest_tree(0, document(4, 6))  # entries were removed in the meantime
        harness.answer_buckets(0, document(4, 6))
        self.assertEqual((6, 4), (harness.follower.document.version, len(harness.follower.document.entries)))

    def test_a_change_over_the_limits_leads_to_the_same_wait(self) -> None:
        harness, remote = FollowerHarness(document(3, 1, max_entries=3)), document(3, 1)
        next_change = change(remote, entry("tenant/more", 1))
        remote.apply(next_change)
        harness.receive_line(0, 2, next_change)
        harness.answer_digest_tree(0, remote)
        harness.answer_buckets(0, remote)
        harness.logged_events()
        harness.receive_lines(0, 2, 36.0)
        self.assertEqual(
            (0, [], 1),
            (len(harness.take_actions(FetchDigestTree)), harness.logged_events(), harness.follower.document.version),
        )

    def test_a_repair_reports_the_keys_that_differ_and_the_removed_ones(self) -> None:
        harness, remote = FollowerHarness(document(3, 1)), document(2, 5)
        remote.load([("tenant/new", b"{}")])
        harness.start_repair(0, remote)
        harness.answer_buckets(0, remote)
        (action,) = harness.take_actions(VersionApplied)
        self.assertEqual((5, ["tenant/new", "tenant/t2"]), (action.version, sorted(action.keys)))
        self.assertEqual([0, 0], harness.opened_watches())  # the second watch starts from the repaired version

    def test_unchanged_keys_of_a_differing_bucket_are_not_reported_as_changed(self) -> None:
        one = "tenant/x"
        other = next(name for n in range(200_000) if bucket_of(name := f"{one}{n}") == bucket_of(one))
        ours, remote = Document(), Document()
        ours.load([(one, b"1")])
        remote.load([(one, b"1"), (other, b"2")])
        remote.version = 3
        harness = FollowerHarness(ours)
        harness.start_repair(0, remote)
        harness.answer_buckets(0, remote)
        self.assertEqual((other,), harness.take_actions(VersionApplied)[0].keys)
