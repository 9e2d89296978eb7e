"""Tests of the limits and checks of documents, value types and the publisher: removing one makes a test fail."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from lanelead.configuration.document import (
    DigestMismatchError,
    Document,
    DocumentTooLargeError,
    UnreadableValueError,
    bucket_digests_of,
    bucket_of,
    canonical,
)
from lanelead.configuration.publisher import (
    MAX_KEPT_CHANGES,
    MAX_LINE_CHANGES,
    MAX_REPLY_BUCKETS,
    MAX_SNAPSHOTS,
    SNAPSHOT_REFRESH_SECONDS,
    ChangePublisher,
)
from lanelead.configuration.value_types import (
    MAX_NAMED_KEYS,
    AppliedValues,
    ClassValue,
    InvalidValueError,
    TenantValue,
    decode_value,
)
from lanelead.decisions.interface import DeduplicationScope, Idempotency, RequestClass, Tenant
from lanelead.postgres_relay.applied_configuration import AppliedConfiguration, changed_entries
from lanelead.protocols.configuration import MAX_CHANGE_BYTES, MAX_VALUE_BYTES, AppliedVersion, Entry
from tests.follower_harness import change, entry

SPACED_JSON = b' { "share": 1, "quota_per_s" : 5 }'


class Documents(unittest.TestCase):
    def test_equal_values_give_one_digest_however_their_json_is_written(self) -> None:
        canonical_document, applied, loaded = Document(), Document(), Document()
        canonical_document.load([("tenant/a", canonical(SPACED_JSON))])
        loaded.load([("tenant/a", SPACED_JSON)])
        rows = [Entry("tenant/a", msgspec.Raw(SPACED_JSON))]
        applied.apply(change(applied, *rows))
        self.assertEqual(canonical_document.digest, loaded.digest)
        self.assertEqual((canonical_document.digest, canonical_document.entries), (applied.digest, applied.entries))

    def test_the_digest_depends_on_the_key(self) -> None:
        first, second = Document(), Document()
        number = next(n for n in range(99999) if bucket_of(f"tenant/{n}") == bucket_of("tenant/a"))
        first.load([("tenant/a", b"1")])
        second.load([(f"tenant/{number}", b"1")])
        self.assertNotEqual(first.digest, second.digest)

    def test_digest_after_equals_the_digest_once_applied_over_many_changes(self) -> None:
        document, bucket_number = Document(), bucket_of("tenant/a")
        rows = [key for n in range(40_000) if bucket_of(key := f"tenant/{n}") == bucket_number]
        for number in range(200):  # the sums wrap around the modulus both ways
            made = change(document, entry(rows[number % len(rows)], number if number % 4 else None))
            document.apply(made)
            self.assertEqual(made.digest, document.digest)

    def test_limits_hold_for_a_file_a_change_and_a_bucket(self) -> None:
        rows = [(f"tenant/{n}", b"1") for n in range(4)]
        with self.assertRaises(DocumentTooLargeError):
            Document(max_entries=3).load(rows)
        with self.assertRaises(DocumentTooLargeError):
            Document(max_bytes=20).load(rows)
        with self.assertRaises(DocumentTooLargeError):
            Document().load([("tenant/a", b'"%s"' % (b"x" * MAX_VALUE_BYTES))])
        with self.assertRaises(DocumentTooLargeError):
            Document().digest_after([entry("tenant/a", "x" * MAX_VALUE_BYTES)])
        remote, local = Document(), Document(max_entries=1)
        remote.load(rows)
        digest_tree, bucket_number = remote.digest_tree("h"), bucket_of("tenant/0")
        local.load([("tenant/other", b"1")])
        with self.assertRaises(DocumentTooLargeError):
            local.replace_bucket(
                bucket_number, remote.bucket(bucket_number), bucket_digests_of(digest_tree)[bucket_number]
            )
        self.assertEqual(["tenant/other"], list(local.entries))

    def test_a_document_over_its_limits_still_accepts_changes_that_do_not_enlarge_it(self) -> None:
        for bound in ("_max_entries", "_max_bytes"):
            document = Document()
            document.load([(f"tenant/{n}", b"10") for n in range(4)])
            setattr(document, bound, 2)
            document.apply(change(document, entry("tenant/0", None)))
            document.apply(change(document, entry("tenant/1", 1)))
            with self.assertRaises(DocumentTooLargeError):
                document.digest_after([entry("tenant/new", 1), entry("tenant/newer", 10)])
            self.assertEqual(3, len(document.entries))

    def test_a_bucket_with_another_digest_or_the_key_of_another_bucket_is_rejected(self) -> None:
        remote, local = Document(), Document()
        remote.load([("tenant/a", b"1")])
        bucket_number = bucket_of("tenant/a")
        total = bucket_digests_of(remote.digest_tree("h"))[bucket_number]
        with self.assertRaises(DigestMismatchError):
            local.replace_bucket(bucket_number, [entry("tenant/a", 2)], total)
        with self.assertRaises(DigestMismatchError):
            local.replace_bucket((bucket_number + 1) % 4096, remote.bucket(bucket_number), total)
        self.assertEqual({}, local.entries)

    def test_a_copy_is_independent_of_the_original(self) -> None:
        first = Document()
        first.load([("tenant/a", b"1")])
        second, digest, bucket_number = first.copy(), first.digest, bucket_of("tenant/a")
        second.apply(change(second, entry("tenant/a", None), entry("tenant/b", 2)))
        self.assertEqual(({"tenant/a": b"1"}, digest, {}), (first.entries, first.digest, first.changed))
        self.assertEqual(["tenant/a"], [row.key for row in first.bucket(bucket_number)])

    def test_the_version_of_the_last_change_is_kept_until_the_key_is_removed(self) -> None:
        document = Document()
        document.apply(change(document, entry("tenant/a", 1), entry("tenant/b", 1)))
        document.apply(change(document, entry("tenant/a", 2)))
        self.assertEqual({"tenant/a": 2, "tenant/b": 1}, document.changed)
        remote, bucket_number = Document(), bucket_of("tenant/a")
        document.replace_bucket(bucket_number, [], bucket_digests_of(remote.digest_tree("h"))[bucket_number])
        self.assertEqual({"tenant/b": 1}, document.changed)

    def test_text_that_is_not_valid_unicode_is_rejected(self) -> None:
        for text in (b'"\xff"', b'"\xed\xa0\x80"', b'"\\ud800"', b'{"\xc3":1}'):
            with self.assertRaises(UnreadableValueError):
                canonical(text)


class ValueTypes(unittest.TestCase):
    def test_the_tables_of_rejected_keys_and_unknown_kinds_are_bounded(self) -> None:
        document, values = Document(), AppliedValues()
        rows = [(f"tenant/{n}", b"[]") for n in range(MAX_NAMED_KEYS + 50)]
        rows += [(f"kind{n}/x", b"1") for n in range(MAX_NAMED_KEYS + 50)]
        document.load(rows)
        values.apply(document, list(document.entries))
        self.assertEqual((MAX_NAMED_KEYS, MAX_NAMED_KEYS), (len(values.rejected), len(values.unknown_kinds)))
        self.assertEqual(MAX_NAMED_KEYS + 50, values.rejections)

    def test_unchanged_values_are_not_returned_as_changed(self) -> None:
        document, values = Document(), AppliedValues()
        document.load([("tenant/a", b"{}")])
        self.assertEqual(["tenant/a"], values.apply(document, ["tenant/a"])[0])
        self.assertEqual([], values.apply(document, ["tenant/a", "tenant/none"])[0])

    def test_every_field_has_limits_and_the_error_says_what_to_do(self) -> None:
        valid_value: dict[str, Any] = {"aim_ms": 5, "deadline_ms": 9, "credit": 1, "late_worth": 0}
        self.assertEqual(ClassValue(5, 9, 1, 0), decode_value("class/x", msgspec.json.encode(valid_value)))
        bad = [("class/x", valid_value | {name: number}) for name in valid_value for number in (-1, 1e10, "x")]
        bad += [
            ("class/x", valid_value | {"aim_ms": 0}),
            ("class/x", {"deadline_ms": 9}),
            ("class/x", {"aim_ms": 9}),
        ]
        bad += [("tenant/x", {name: v}) for name in ("quota_per_s", "share") for v in (-1, 1e10, "x", None)]
        for key, value in bad:
            with self.assertRaises(InvalidValueError, msg=f"{key} {value}") as caught:
                decode_value(key, msgspec.json.encode(value))
            self.assertIn("publish the key anew", str(caught.exception))
        later = decode_value("tenant/x", b'{"quota_per_s":2,"from_a_later_program":[1]}')
        self.assertEqual(TenantValue(2.0), later)

    def test_deeply_nested_values_are_invalid(self) -> None:
        for text in (b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}", b"[" * 5000):
            with self.assertRaises(InvalidValueError):
                decode_value("tenant/x", text)


def _commit(source: ChangePublisher, *entries: Entry) -> None:
    made = change(source.document, *entries)
    source.document.apply(made)
    source.append(made)


class Publisher(unittest.TestCase):
    def test_the_history_is_the_ident_of_the_first_change_and_stays(self) -> None:
        source = ChangePublisher()
        for number in range(3):
            _commit(source, entry("tenant/a", number))
            self.assertEqual("ident-0001", source.history)
        named = ChangePublisher(history="from-elsewhere")
        _commit(named, entry("tenant/a", 1))
        self.assertEqual("from-elsewhere", named.history)
        later = ChangePublisher()
        later.document.version = 4
        later.reset(later.document, "")
        _commit(later, entry("tenant/a", 1))
        self.assertEqual("", later.history)

    def test_after_a_gap_or_a_snapshot_followers_at_earlier_versions_must_repair(self) -> None:
        for snapshot in (True, False):
            source = ChangePublisher()
            for number in range(5):
                _commit(source, entry("tenant/a", number))
            before, old = source.document.digest, source.document.copy()
            source.document.load([("tenant/b", b"1")])
            source.document.version = 9
            if snapshot:
                source.reset(source.document, source.history)
                self.assertEqual(9, source.resume_position(9, source.document.digest))
            _commit(source, entry("tenant/c", 1))
            self.assertIsNone(source.resume_position(5, before))
            line, _ = source.next_line(5, 0.0)
            self.assertEqual((True, []), (line.needs_repair, line.changes))
            self.assertEqual(5, old.version)
            line, after = source.next_line(9, 0.0)
            self.assertEqual(([10], 10), ([made.version for made in line.changes], after))

    def test_of_two_versions_with_one_digest_the_newest_is_resumed_from(self) -> None:
        source = ChangePublisher()
        _commit(source, entry("tenant/a", 1))
        digest = source.document.digest
        _commit(source, entry("tenant/a", 2))
        _commit(source, entry("tenant/a", 1))
        self.assertEqual(3, source.resume_position(0, digest))

    def test_a_line_is_limited_in_changes_and_bytes(self) -> None:
        source = ChangePublisher()
        for number in range(MAX_LINE_CHANGES + 50):
            _commit(source, entry("tenant/a", number))
        self.assertEqual(MAX_LINE_CHANGES, len(source.next_line(0, 0.0)[0].changes))
        source = ChangePublisher()
        for number in range(40):
            _commit(source, entry("tenant/a", f"{number}" + "x" * (MAX_VALUE_BYTES - 100)))
        line, after = source.next_line(0, 0.0)
        self.assertLessEqual(
            sum(len(row.value) for made in line.changes for row in made.entries), MAX_CHANGE_BYTES + MAX_VALUE_BYTES
        )
        self.assertEqual(len(line.changes), after)

    def test_the_kept_digests_are_bounded(self) -> None:
        source = ChangePublisher()
        for number in range(MAX_KEPT_CHANGES + 30):
            _commit(source, entry("tenant/a", number))
        self.assertEqual(MAX_KEPT_CHANGES + 1, len(source._digests))

    def test_snapshots_keep_their_version_are_few_and_not_made_for_every_request(self) -> None:
        source, now = ChangePublisher(), 0.0
        _commit(source, entry("tenant/a", 1))
        self.assertEqual(1, source.digest_tree(now).version)
        _commit(source, entry("tenant/a", 2))
        self.assertEqual(1, source.digest_tree(now + SNAPSHOT_REFRESH_SECONDS - 0.1).version)
        self.assertEqual(2, source.digest_tree(now + SNAPSHOT_REFRESH_SECONDS).version)
        self.assertNotEqual(source.buckets(1, [bucket_of("tenant/a")]), source.buckets(2, [bucket_of("tenant/a")]))
        kept = source._snapshots[-1][1]
        source.digest_tree(now + 5 * SNAPSHOT_REFRESH_SECONDS)
        self.assertIs(kept, source._snapshots[-1][1])  # the document has not changed: no copy is made
        for number in range(3, 10):
            now += 10 * SNAPSHOT_REFRESH_SECONDS
            _commit(source, entry("tenant/a", number))
            source.digest_tree(now)
        self.assertEqual(MAX_SNAPSHOTS, len(source._snapshots))

    def test_a_response_has_a_limited_number_of_buckets_each_once(self) -> None:
        source = ChangePublisher()
        version = source.digest_tree(0.0).version
        self.assertEqual(MAX_REPLY_BUCKETS, len(source.buckets(version, range(1000)).buckets))
        twice = source.buckets(version, [1] * MAX_REPLY_BUCKETS + [2]).buckets
        self.assertEqual([1, 2], list(twice))

    def test_known_relays_still_update_their_report_when_the_table_is_full(self) -> None:
        source = ChangePublisher()
        for number in range(10_001):
            source.record_applied(AppliedVersion(number, 1), 0.0)
        source.record_applied(AppliedVersion(5, 2), 1.0)
        found = {told.relay: told.version for told in source.followers(2.0)}
        self.assertEqual((2, 10_000), (found[5], len(found)))

    def test_the_staleness_is_never_negative(self) -> None:
        source = ChangePublisher(majority_heard_at=5.0)
        self.assertEqual(0.0, source.next_line(0, 4.9)[0].staleness_ms)


class Applying(unittest.TestCase):
    def test_invalid_rows_of_a_file_are_no_changes_and_removed_rows_are(self) -> None:
        old = {
            "accounts": [{"name": "a", "quotaPerS": 1}, {"name": "b", "quotaPerS": 1}, {"name": "c", "quotaPerS": 1}]
        }
        new = {"accounts": [{"name": "a", "quotaPerS": -1}, {"name": "b", "quotaPerS": 2}]}
        keys, values, faults = changed_entries(old, new)
        self.assertEqual((["tenant/b", "tenant/c"], ["tenant/a"]), (keys, [fault.key for fault in faults]))
        self.assertEqual({"tenant/b": TenantValue(2.0)}, values)
        self.assertEqual([], changed_entries(old, old)[0])

    def test_a_request_class_keeps_its_values_when_its_entry_is_removed(self) -> None:
        request_class = RequestClass(
            "read", 8000, 15000, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
        )
        here = AppliedConfiguration(dict[str, Tenant](), {"read": request_class}, lambda _: None)
        self.assertEqual([], here.apply(["class/read", "route/x"], {}))
        self.assertEqual((8000, 15000), (request_class.latency_objective, request_class.timeout))
