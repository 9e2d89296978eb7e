"""The document of a configuration, its digest and bounds; kinds of entries; what a source tells and keeps."""

from __future__ import annotations

import unittest
from random import Random
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.configuration import publisher as sources
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
    return Entry(key, msgspec.Raw(msgspec.json.encode(value)))


def change(document: Document, *entries: Entry) -> Change:
    version = document.version + 1
    return Change(version, f"ident-{version:04d}", document.digest_after(entries), list(entries))


class Documents(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.lists(st.tuples(st.sampled_from(KEYS), st.none() | st.integers(0, 9)), min_size=1)))
    def test_the_digest_is_of_what_is_held_not_of_how_it_came(
        self, changes: list[list[tuple[str, int | None]]]
    ) -> None:
        document, plain = Document(), dict[str, int]()
        for some in changes:
            document.apply(change(document, *(entry(key, value) for key, value in some)))
            for key, value in some:
                if value is None:
                    plain.pop(key, None)
                else:
                    plain[key] = value
        fresh = Document()
        fresh.load((key, msgspec.json.encode(value)) for key, value in plain.items())
        self.assertEqual(fresh.digest, document.digest)
        self.assertEqual(fresh.entries, document.entries)
        self.assertEqual(fresh.size, document.size)

    def test_spaces_and_the_order_of_fields_make_no_difference(self) -> None:
        self.assertEqual(canonical(b'{"a":1,"b":2}'), canonical(b' { "b" : 2, "a": 1 }'))

    def test_a_change_out_of_order_is_not_taken(self) -> None:
        document = Document()
        first = change(document, entry("tenant/a", 1))
        document.apply(first)
        for version in (0, 1, 3):
            with self.assertRaises(OutOfOrderError):
                document.apply(msgspec.structs.replace(first, version=version))
        self.assertEqual(1, document.version)

    def test_a_change_that_comes_out_otherwise_is_not_taken_in_part(self) -> None:
        document = Document()
        good = change(document, entry("tenant/a", 1), entry("tenant/b", 2))
        before = document.digest
        with self.assertRaises(DigestMismatchError):
            document.apply(msgspec.structs.replace(good, digest="0" * 32))
        self.assertEqual((before, 0, {}), (document.digest, document.version, document.entries))

    def test_bounds_on_a_value_a_change_and_the_whole(self) -> None:
        document = Document(most=3, most_bytes=1000)
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
        document = Document(most=2)
        document.apply(change(document, entry("tenant/a", 1), entry("tenant/b", 1)))
        document._max_entries = 1
        document.apply(change(document, entry("tenant/a", None)))
        self.assertEqual(["tenant/b"], list(document.entries))

    def test_what_is_no_json_is_refused(self) -> None:
        for text in (b"{", b"[" * 5000, b"\xff", b"nan"):
            with self.assertRaises(UnreadableValueError):
                canonical(text)

    def test_repair_touches_the_buckets_that_differ_and_no_other(self) -> None:
        theirs, ours = Document(), Document()
        rows = [(f"tenant/t{n}", b"%d" % n) for n in range(500)]
        theirs.load(rows)
        ours.load(rows)
        theirs.apply(change(theirs, entry("tenant/t7", 70), entry("tenant/t8", None), entry("tenant/new", 1)))
        outline = theirs.digest_tree("h")
        places = ours.differing_buckets(outline)
        self.assertEqual(sorted({bucket_of(f"tenant/{n}") for n in ("t7", "t8", "new")}), places)
        with self.assertRaises(DigestMismatchError):
            ours.finish_repair(outline)
        for place in places:
            with self.assertRaises(DigestMismatchError):
                ours.replace_bucket(
                    place, [*theirs.bucket(place), entry("tenant/t499", 1)], bucket_digests_of(outline)[place]
                )
            ours.replace_bucket(place, theirs.bucket(place), bucket_digests_of(outline)[place])
        ours.finish_repair(outline)
        self.assertEqual((theirs.version, theirs.digest), (ours.version, ours.digest))

    def test_an_outline_that_does_not_fit_its_digest_is_refused(self) -> None:
        outline = Document().digest_tree("h")
        for bad in (
            msgspec.structs.replace(outline, bucket_digests="00"),
            msgspec.structs.replace(outline, bucket_digests="zz" * 8 * 4096),
            msgspec.structs.replace(outline, bucket_digests="01" + outline.bucket_digests[2:]),
        ):
            with self.assertRaises(DigestMismatchError):
                Document().differing_buckets(bad)

    def test_records_with_fields_of_a_later_program_are_read_and_bad_ones_refused(self) -> None:
        text = b'{"history":"ident-0001","version":1,"digest":"%s","buckets":"","form":9,"later":[1]}' % (b"0" * 32)
        self.assertEqual(9, decode(text, DigestTree).format_version)
        for bad in (b'{"key":"nokind"}', b'{"key":"/x"}', b'{"key":"tenant/"}', b"[]", b'{"key":5}'):
            with self.assertRaises(MessageError):
                decode(bad, Entry)


class Kinds(unittest.TestCase):
    def test_an_unfit_value_is_refused_alone_and_the_last_good_one_stays(self) -> None:
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

    def test_a_deadline_under_the_aim_is_unfit(self) -> None:
        document, values = Document(), AppliedValues()
        document.load([("class/read", b'{"aim_ms":500,"deadline_ms":100}')])
        self.assertEqual(1, len(values.apply(document, ["class/read"])[1]))


class Sources(unittest.TestCase):
    def source(self, changes: int) -> ChangePublisher:
        source = ChangePublisher()
        for n in range(changes):
            made = change(source.document, entry(f"tenant/t{n % 50}", n))
            source.document.apply(made)
            source.append(made)
        return source

    def test_a_follower_gets_each_change_once_and_in_order_from_where_it_stands(self) -> None:
        source, follower = self.source(250), Document()
        position = source.resume_position(0, follower.digest)
        self.assertEqual(0, position)
        while follower.version < 250:
            line, position = source.next_line(position, 0.0)
            for made in line.changes:
                follower.apply(made)
        self.assertEqual((source.document.digest, 250), (follower.digest, position))
        self.assertEqual([], source.next_line(position, 0.0)[0].changes)

    def test_who_lacks_more_than_is_kept_or_has_another_digest_repairs(self) -> None:
        source = self.source(MAX_KEPT_CHANGES + 20)
        self.assertIsNone(source.resume_position(5, "0" * 32))
        self.assertIsNone(source.resume_position(0, Document().digest))
        self.assertTrue(source.next_line(None, 0.0)[0].needs_repair)
        self.assertEqual([], source.next_line(None, 0.0)[0].changes)

    def test_large_changes_are_kept_by_their_bytes(self) -> None:
        source, follower = self.source(1), Document()
        follower.apply(source.next_line(0, 0.0)[0].changes[0])
        with mock.patch.object(sources, "MAX_KEPT_BYTES", 5000):
            for n in range(20):
                made = change(source.document, entry("tenant/large", f"{n:01000}"))
                source.document.apply(made)
                source.append(made)
        self.assertIsNone(source.resume_position(1, follower.digest))
        self.assertIsNotNone(source.resume_position(17, source._changes[0].digest))
        self.assertLess(source._kept_bytes, 5000)

    def test_who_falls_behind_while_it_watches_repairs(self) -> None:
        source = self.source(10)
        position = source.resume_position(10, source.document.digest)
        for n in range(MAX_KEPT_CHANGES + 1):
            made = change(source.document, entry("tenant/x", n))
            source.document.apply(made)
            source.append(made)
        self.assertEqual(
            (True, None), (source.next_line(position, 0.0)[0].needs_repair, source.next_line(position, 0.0)[1])
        )

    def test_who_knows_more_than_the_source_is_told_nothing_but_its_head(self) -> None:
        source = self.source(3)
        position = source.resume_position(9, "0" * 32)
        line, after = source.next_line(position, 1.0)
        self.assertEqual((3, [], False, 9), (line.committed_version, line.changes, line.needs_repair, after))

    def test_the_file_of_a_relay_is_of_the_version_whose_digest_it_has(self) -> None:
        source, file = self.source(6), Document()
        for n in range(4):
            file.apply(change(file, entry(f"tenant/t{n}", n)))
        self.assertEqual(4, source.resume_position(0, file.digest))

    def test_a_snapshot_stays_as_it_was_and_goes_by_name(self) -> None:
        source, rng = self.source(10), Random(1)
        first = source.digest_tree(0.0)
        kept = [source.buckets(first.version, range(4096))]
        now = 0.0
        for _ in range(MAX_SNAPSHOTS - 1):
            now += SNAPSHOT_REFRESH_SECONDS
            made = change(source.document, entry(f"tenant/t{rng.randrange(50)}", now))
            source.document.apply(made)
            source.append(made)
            source.digest_tree(now)
            kept.append(source.buckets(first.version, range(4096)))
        self.assertTrue(all(other == kept[0] for other in kept))
        made = change(source.document, entry("tenant/last", 1))
        source.document.apply(made)
        source.append(made)
        source.digest_tree(now + SNAPSHOT_REFRESH_SECONDS)
        with self.assertRaises(SnapshotExpiredError):
            source.buckets(first.version, [1])

    def test_the_table_of_followers_is_bounded_and_forgets(self) -> None:
        source = self.source(1)
        for number in range(10_100):
            source.record_applied(AppliedVersion(number, 1), 0.0)
        self.assertEqual(10_000, len(source.followers(1.0)))
        self.assertEqual(0, len(source.followers(100.0)))
