"""The document with its digest and limits, the types of values, and the publisher that serves followers."""

from __future__ import annotations

import unittest
from random import Random
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.configuration import publisher as publisher_module
from lanelead.configuration.document import (
    DigestMismatchError,
    Document,
    DocumentTooLargeError,
    OutOfOrderError,
    UnreadableValueError,
    bucket_digests_of,
    bucket_of,
    canonical,
)
from lanelead.configuration.publisher import (
    MAX_KEPT_CHANGES,
    MAX_SNAPSHOTS,
    SNAPSHOT_REFRESH_SECONDS,
    ChangePublisher,
    SnapshotExpiredError,
)
from lanelead.configuration.value_types import AppliedValues, TenantValue
from lanelead.protocols.configuration import (
    MAX_CHANGE_BYTES,
    MAX_VALUE_BYTES,
    AppliedVersion,
    Change,
    DigestTree,
    Entry,
)
from lanelead.protocols.feeds import MessageError, decode

KEYS = [f"tenant/t{n}" for n in range(12)]


def entry(key: str, value: object) -> Entry:
    """An entry with a value encoded as JSON."""
    return Entry(key, msgspec.Raw(msgspec.json.encode(value)))


def change(document: Document, *entries: Entry) -> Change:
    """The change that sets these entries as the document's next version."""
    version = document.version + 1
    return Change(version, f"ident-{version:04d}", document.digest_after(entries), list(entries))


class Documents(unittest.TestCase):
    """Digests, changes, limits and repair of a document."""

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.lists(st.tuples(st.sampled_from(KEYS), st.none() | st.integers(0, 9)), min_size=1)))
    def test_the_digest_depends_on_the_entries_only(self, changes: list[list[tuple[str, int | None]]]) -> None:
        document, expected = Document(), dict[str, int]()
        for entries_of_change in changes:
            document.apply(change(document, *(entry(key, value) for key, value in entries_of_change)))
            for key, value in entries_of_change:
                if value is None:
                    expected.pop(key, None)
                else:
                    expected[key] = value
        fresh = Document()
        fresh.load((key, msgspec.json.encode(value)) for key, value in expected.items())
        self.assertEqual(fresh.digest, document.digest)
        self.assertEqual(fresh.entries, document.entries)
        self.assertEqual(fresh.size, document.size)

    def test_canonical_json_ignores_spacing_and_order_of_fields(self) -> None:
        self.assertEqual(canonical(b'{"a":1,"b":2}'), canonical(b' { "b" : 2, "a": 1 }'))

    def test_a_change_out_of_order_is_not_applied(self) -> None:
        document = Document()
        first = change(document, entry("tenant/a", 1))
        document.apply(first)
        for version in (0, 1, 3):
            with self.assertRaises(OutOfOrderError):
                document.apply(msgspec.structs.replace(first, version=version))
        self.assertEqual(1, document.version)

    def test_a_change_with_a_wrong_digest_is_not_applied_in_part(self) -> None:
        document = Document()
        good = change(document, entry("tenant/a", 1), entry("tenant/b", 2))
        before = document.digest
        with self.assertRaises(DigestMismatchError):
            document.apply(msgspec.structs.replace(good, digest="0" * 32))
        self.assertEqual((before, 0, {}), (document.digest, document.version, document.entries))

    def test_limits_of_a_value_a_change_and_the_document(self) -> None:
        document = Document(max_entries=3, max_bytes=1000)
        with self.assertRaises(DocumentTooLargeError):
            document.digest_after([entry("tenant/a", "x" * MAX_VALUE_BYTES)])
        with self.assertRaises(DocumentTooLargeError):
            Document().digest_after([entry(f"tenant/{n}", "x" * 15000) for n in range(MAX_CHANGE_BYTES // 15000 + 1)])
        document.apply(change(document, *(entry(f"tenant/{n}", n) for n in range(3))))
        with self.assertRaises(DocumentTooLargeError):
            document.digest_after([entry("tenant/4", 4)])
        with self.assertRaises(DocumentTooLargeError):
            document.digest_after([entry("tenant/1", "x" * 1000)])
        document.apply(change(document, entry("tenant/1", None), entry("tenant/4", 4)))  # as many as before
        self.assertEqual(3, len(document.entries))

    def test_a_full_document_still_takes_removals(self) -> None:
        document = Document(max_entries=2)
        document.apply(change(document, entry("tenant/a", 1), entry("tenant/b", 1)))
        document._max_entries = 1
        document.apply(change(document, entry("tenant/a", None)))
        self.assertEqual(["tenant/b"], list(document.entries))

    def test_invalid_json_is_refused(self) -> None:
        for text in (b"{", b"[" * 5000, b"\xff", b"nan"):
            with self.assertRaises(UnreadableValueError):
                canonical(text)

    def test_repair_replaces_only_the_buckets_that_differ(self) -> None:
        theirs, ours = Document(), Document()
        rows = [(f"tenant/t{n}", b"%d" % n) for n in range(500)]
        theirs.load(rows)
        ours.load(rows)
        theirs.apply(change(theirs, entry("tenant/t7", 70), entry("tenant/t8", None), entry("tenant/new", 1)))
        tree = theirs.digest_tree("h")
        bucket_numbers = ours.differing_buckets(tree)
        self.assertEqual(sorted({bucket_of(f"tenant/{n}") for n in ("t7", "t8", "new")}), bucket_numbers)
        with self.assertRaises(DigestMismatchError):
            ours.finish_repair(tree)
        for bucket_number in bucket_numbers:
            with self.assertRaises(DigestMismatchError):
                ours.replace_bucket(
                    bucket_number,
                    [*theirs.bucket(bucket_number), entry("tenant/t499", 1)],
                    bucket_digests_of(tree)[bucket_number],
                )
            ours.replace_bucket(bucket_number, theirs.bucket(bucket_number), bucket_digests_of(tree)[bucket_number])
        ours.finish_repair(tree)
        self.assertEqual((theirs.version, theirs.digest), (ours.version, ours.digest))

    def test_an_inconsistent_digest_tree_is_refused(self) -> None:
        tree = Document().digest_tree("h")
        for bad in (
            msgspec.structs.replace(tree, bucket_digests="00"),
            msgspec.structs.replace(tree, bucket_digests="zz" * 8 * 4096),
            msgspec.structs.replace(tree, bucket_digests="01" + tree.bucket_digests[2:]),
        ):
            with self.assertRaises(DigestMismatchError):
                Document().differing_buckets(bad)

    def test_records_with_unknown_fields_are_read_and_malformed_ones_refused(self) -> None:
        text = b'{"history":"ident-0001","version":1,"digest":"%s","buckets":"","form":9,"later":[1]}' % (b"0" * 32)
        self.assertEqual(9, decode(text, DigestTree).format_version)
        for bad in (b'{"key":"nokind"}', b'{"key":"/x"}', b'{"key":"tenant/"}', b"[]", b'{"key":5}'):
            with self.assertRaises(MessageError):
                decode(bad, Entry)


class ValueTypes(unittest.TestCase):
    """Which values of a document are in force."""

    def test_an_invalid_value_leaves_the_last_valid_one_in_force(self) -> None:
        document, values = Document(), AppliedValues()
        document.load([("tenant/a", b'{"quota_per_s":5}'), ("tenant/b", b'{"quota_per_s":6}')])
        self.assertEqual(2, len(values.apply(document, list(document.entries))[0]))
        document.load([("tenant/a", b'{"quota_per_s":-5}'), ("tenant/b", b'{"quota_per_s":7}')])
        changed, faults = values.apply(document, ["tenant/a", "tenant/b"])
        self.assertEqual((["tenant/b"], ["tenant/a"]), (changed, [fault.key for fault in faults]))
        self.assertEqual(TenantValue(5.0), values.values["tenant/a"])
        self.assertIn("publish the key anew", values.rejected["tenant/a"])
        document.load([("tenant/a", b'{"quota_per_s":8}')])
        values.apply(document, ["tenant/a"])
        self.assertEqual((TenantValue(8.0), {}, 1), (values.values["tenant/a"], values.rejected, values.rejections))

    def test_a_removed_key_is_not_in_force_any_more(self) -> None:
        document, values = Document(), AppliedValues()
        document.load([("tenant/a", b"{}")])
        values.apply(document, ["tenant/a"])
        document.load([("tenant/a", b"null")])
        self.assertEqual((["tenant/a"], []), values.apply(document, ["tenant/a"]))
        self.assertEqual({}, values.values)

    def test_an_unknown_kind_is_kept_and_counted(self) -> None:
        document, values = Document(), AppliedValues()
        document.load([("route/a", b'{"match":"/"}')])
        self.assertEqual(([], []), values.apply(document, ["route/a"]))
        self.assertEqual(({"route": 1}, 1), (values.unknown_kinds, len(document.entries)))

    def test_a_deadline_under_the_latency_objective_is_invalid(self) -> None:
        document, values = Document(), AppliedValues()
        document.load([("class/read", b'{"aim_ms":500,"deadline_ms":100}')])
        self.assertEqual(1, len(values.apply(document, ["class/read"])[1]))


class Publishing(unittest.TestCase):
    """What a replica sends to the relays that follow it."""

    def publisher(self, changes: int) -> ChangePublisher:
        """A publisher with so many changes of 50 keys."""
        publisher = ChangePublisher()
        for n in range(changes):
            new_change = change(publisher.document, entry(f"tenant/t{n % 50}", n))
            publisher.document.apply(new_change)
            publisher.append(new_change)
        return publisher

    def test_a_follower_gets_each_change_once_and_in_order(self) -> None:
        publisher, follower = self.publisher(250), Document()
        position = publisher.resume_position(0, follower.digest)
        self.assertEqual(0, position)
        while follower.version < 250:
            line, position = publisher.next_line(position, 0.0)
            for new_change in line.changes:
                follower.apply(new_change)
        self.assertEqual((publisher.document.digest, 250), (follower.digest, position))
        self.assertEqual([], publisher.next_line(position, 0.0)[0].changes)

    def test_a_follower_that_lacks_too_much_or_has_another_digest_repairs(self) -> None:
        publisher = self.publisher(MAX_KEPT_CHANGES + 20)
        self.assertIsNone(publisher.resume_position(5, "0" * 32))
        self.assertIsNone(publisher.resume_position(0, Document().digest))
        self.assertTrue(publisher.next_line(None, 0.0)[0].needs_repair)
        self.assertEqual([], publisher.next_line(None, 0.0)[0].changes)

    def test_kept_changes_are_bounded_in_bytes(self) -> None:
        publisher, follower = self.publisher(1), Document()
        follower.apply(publisher.next_line(0, 0.0)[0].changes[0])
        with mock.patch.object(publisher_module, "MAX_KEPT_BYTES", 5000):
            for n in range(20):
                new_change = change(publisher.document, entry("tenant/large", f"{n:01000}"))
                publisher.document.apply(new_change)
                publisher.append(new_change)
        self.assertIsNone(publisher.resume_position(1, follower.digest))
        self.assertIsNotNone(publisher.resume_position(17, publisher._changes[0].digest))
        self.assertLess(publisher._kept_bytes, 5000)

    def test_a_follower_that_falls_behind_during_a_watch_repairs(self) -> None:
        publisher = self.publisher(10)
        position = publisher.resume_position(10, publisher.document.digest)
        for n in range(MAX_KEPT_CHANGES + 1):
            new_change = change(publisher.document, entry("tenant/x", n))
            publisher.document.apply(new_change)
            publisher.append(new_change)
        self.assertEqual(
            (True, None), (publisher.next_line(position, 0.0)[0].needs_repair, publisher.next_line(position, 0.0)[1])
        )

    def test_a_follower_ahead_of_the_replica_gets_no_changes(self) -> None:
        publisher = self.publisher(3)
        position = publisher.resume_position(9, "0" * 32)
        line, after = publisher.next_line(position, 1.0)
        self.assertEqual((3, [], False, 9), (line.committed_version, line.changes, line.needs_repair, after))

    def test_a_document_without_a_version_resumes_at_the_version_of_its_digest(self) -> None:
        publisher, relay_document = self.publisher(6), Document()
        for n in range(4):
            relay_document.apply(change(relay_document, entry(f"tenant/t{n}", n)))
        self.assertEqual(4, publisher.resume_position(0, relay_document.digest))

    def test_a_snapshot_does_not_change_and_expires_by_number(self) -> None:
        publisher, rng = self.publisher(10), Random(1)
        first = publisher.digest_tree(0.0)
        kept = [publisher.buckets(first.version, range(4096))]
        now = 0.0
        for _ in range(MAX_SNAPSHOTS - 1):
            now += SNAPSHOT_REFRESH_SECONDS
            new_change = change(publisher.document, entry(f"tenant/t{rng.randrange(50)}", now))
            publisher.document.apply(new_change)
            publisher.append(new_change)
            publisher.digest_tree(now)
            kept.append(publisher.buckets(first.version, range(4096)))
        self.assertTrue(all(other == kept[0] for other in kept))
        new_change = change(publisher.document, entry("tenant/last", 1))
        publisher.document.apply(new_change)
        publisher.append(new_change)
        publisher.digest_tree(now + SNAPSHOT_REFRESH_SECONDS)
        with self.assertRaises(SnapshotExpiredError):
            publisher.buckets(first.version, [1])

    def test_reports_of_followers_are_bounded_and_expire(self) -> None:
        publisher = self.publisher(1)
        for number in range(10_100):
            publisher.record_applied(AppliedVersion(number, 1), 0.0)
        self.assertEqual(10_000, len(publisher.followers(1.0)))
        self.assertEqual(0, len(publisher.followers(100.0)))
