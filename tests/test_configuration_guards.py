"""Guards of documents, kinds, sources and what is in force: taking one out makes a test here fail."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from lanelead.configuration.document import (
    Differs,
    Document,
    TooLarge,
    Unreadable,
    bucket_of,
    canonical,
    sums_of,
)
from lanelead.configuration.publisher import ASKED, AT_ONCE, FROZEN, KEPT, SNAPSHOTS, Source
from lanelead.configuration.value_types import (
    MOST_NAMED,
    AppliedValues,
    ClassValue,
    InvalidValueError,
    TenantValue,
    read,
)
from lanelead.decisions.interface import DeduplicationScope, Idempotency, RequestClass, Tenant
from lanelead.postgres_relay.applied_configuration import AppliedConfiguration as Relay
from lanelead.postgres_relay.applied_configuration import changed_entries
from lanelead.protocols.configuration import MAX_CHANGE_BYTES, MAX_VALUE_BYTES, AppliedVersion, Entry
from tests.configurationhand import change, entry

SPACED = b' { "share": 1, "quota_per_s" : 5 }'


class Documents(unittest.TestCase):
    def test_a_value_is_the_same_however_it_is_written_in_a_change_a_file_and_a_bucket(self) -> None:
        plain, spaced, loaded = Document(), Document(), Document()
        plain.load([("tenant/a", canonical(SPACED))])
        loaded.load([("tenant/a", SPACED)])
        rows = [Entry("tenant/a", msgspec.Raw(SPACED))]
        spaced.apply(change(spaced, *rows))
        self.assertEqual(plain.digest, loaded.digest)
        self.assertEqual((plain.digest, plain.entries), (spaced.digest, spaced.entries))

    def test_the_digest_is_of_the_key_too(self) -> None:
        one, other = Document(), Document()
        place = next(n for n in range(99999) if bucket_of(f"tenant/{n}") == bucket_of("tenant/a"))
        one.load([("tenant/a", b"1")])
        other.load([(f"tenant/{place}", b"1")])
        self.assertNotEqual(one.digest, other.digest)

    def test_what_would_be_and_what_then_is_have_one_digest_over_many_changes(self) -> None:
        document, place = Document(), bucket_of("tenant/a")
        rows = [key for n in range(40_000) if bucket_of(key := f"tenant/{n}") == place]
        for number in range(200):  # sums go over and under the modulus
            made = change(document, entry(rows[number % len(rows)], number if number % 4 else None))
            document.apply(made)
            self.assertEqual(made.digest, document.digest)

    def test_bounds_hold_for_a_file_and_a_bucket(self) -> None:
        rows = [(f"tenant/{n}", b"1") for n in range(4)]
        with self.assertRaises(TooLarge):
            Document(most=3).load(rows)
        with self.assertRaises(TooLarge):
            Document(most_bytes=20).load(rows)
        with self.assertRaises(TooLarge):
            Document().load([("tenant/a", b'"%s"' % (b"x" * MAX_VALUE_BYTES))])
        with self.assertRaises(TooLarge):
            Document().after([entry("tenant/a", "x" * MAX_VALUE_BYTES)])
        theirs, ours = Document(), Document(most=1)
        theirs.load(rows)
        outline, place = theirs.outline("h"), bucket_of("tenant/0")
        ours.load([("tenant/other", b"1")])
        with self.assertRaises(TooLarge):
            ours.replace(place, theirs.bucket(place), sums_of(outline)[place])
        self.assertEqual(["tenant/other"], list(ours.entries))

    def test_one_over_its_bounds_still_takes_what_makes_it_no_larger(self) -> None:
        for bound in ("_most", "_most_bytes"):
            document = Document()
            document.load([(f"tenant/{n}", b"10") for n in range(4)])
            setattr(document, bound, 2)
            document.apply(change(document, entry("tenant/0", None)))
            document.apply(change(document, entry("tenant/1", 1)))
            with self.assertRaises(TooLarge):
                document.after([entry("tenant/new", 1), entry("tenant/newer", 10)])
            self.assertEqual(3, len(document.entries))

    def test_a_bucket_has_the_digest_named_and_no_key_of_another(self) -> None:
        theirs, ours = Document(), Document()
        theirs.load([("tenant/a", b"1")])
        place = bucket_of("tenant/a")
        total = sums_of(theirs.outline("h"))[place]
        with self.assertRaises(Differs):
            ours.replace(place, [entry("tenant/a", 2)], total)
        with self.assertRaises(Differs):
            ours.replace((place + 1) % 4096, theirs.bucket(place), total)
        self.assertEqual({}, ours.entries)

    def test_a_copy_and_what_it_was_made_of_change_apart(self) -> None:
        one = Document()
        one.load([("tenant/a", b"1")])
        other, digest, place = one.copy(), one.digest, bucket_of("tenant/a")
        other.apply(change(other, entry("tenant/a", None), entry("tenant/b", 2)))
        self.assertEqual(({"tenant/a": b"1"}, digest, {}), (one.entries, one.digest, one.changed))
        self.assertEqual(["tenant/a"], [row.key for row in one.bucket(place)])

    def test_when_a_key_last_changed_is_known_until_it_is_gone(self) -> None:
        document = Document()
        document.apply(change(document, entry("tenant/a", 1), entry("tenant/b", 1)))
        document.apply(change(document, entry("tenant/a", 2)))
        self.assertEqual({"tenant/a": 2, "tenant/b": 1}, document.changed)
        theirs, place = Document(), bucket_of("tenant/a")
        document.replace(place, [], sums_of(theirs.outline("h"))[place])
        self.assertEqual({"tenant/b": 1}, document.changed)

    def test_text_that_is_no_unicode_is_refused(self) -> None:
        for text in (b'"\xff"', b'"\xed\xa0\x80"', b'"\\ud800"', b'{"\xc3":1}'):
            with self.assertRaises(Unreadable):
                canonical(text)


class Kinds(unittest.TestCase):
    def test_what_is_kept_by_name_of_refused_keys_and_unknown_kinds_is_bounded(self) -> None:
        document, values = Document(), AppliedValues()
        rows = [(f"tenant/{n}", b"[]") for n in range(MOST_NAMED + 50)]
        rows += [(f"kind{n}/x", b"1") for n in range(MOST_NAMED + 50)]
        document.load(rows)
        values.take(document, list(document.entries))
        self.assertEqual((MOST_NAMED, MOST_NAMED), (len(values.refused), len(values.unknown)))
        self.assertEqual(MOST_NAMED + 50, values.refusals)

    def test_what_stays_as_it_was_is_not_told_as_changed(self) -> None:
        document, values = Document(), AppliedValues()
        document.load([("tenant/a", b"{}")])
        self.assertEqual(["tenant/a"], values.take(document, ["tenant/a"])[0])
        self.assertEqual([], values.take(document, ["tenant/a", "tenant/none"])[0])

    def test_each_figure_has_bounds_and_the_text_says_what_to_do(self) -> None:
        good: dict[str, Any] = {"aim_ms": 5, "deadline_ms": 9, "credit": 1, "late_worth": 0}
        self.assertEqual(ClassValue(5, 9, 1, 0), read("class/x", msgspec.json.encode(good)))
        bad = [("class/x", good | {name: number}) for name in good for number in (-1, 1e10, "x")]
        bad += [
            ("class/x", good | {"aim_ms": 0}),
            ("class/x", {"deadline_ms": 9}),
            ("class/x", {"aim_ms": 9}),
        ]
        bad += [("tenant/x", {name: v}) for name in ("quota_per_s", "share") for v in (-1, 1e10, "x", None)]
        for key, value in bad:
            with self.assertRaises(InvalidValueError, msg=f"{key} {value}") as caught:
                read(key, msgspec.json.encode(value))
            self.assertIn("publish the key anew", str(caught.exception))
        later = read("tenant/x", b'{"quota_per_s":2,"from_a_later_program":[1]}')
        self.assertEqual(TenantValue(2.0), later)

    def test_what_is_nested_without_end_is_unfit(self) -> None:
        for text in (b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}", b"[" * 5000):
            with self.assertRaises(InvalidValueError):
                read("tenant/x", text)


def _take(source: Source, *entries: Entry) -> None:
    made = change(source.document, *entries)
    source.document.apply(made)
    source.decided(made)


class Sources(unittest.TestCase):
    def test_the_history_is_the_first_change_s_and_stays(self) -> None:
        source = Source()
        for number in range(3):
            _take(source, entry("tenant/a", number))
            self.assertEqual("ident-0001", source.history)
        named = Source(history="from-elsewhere")
        _take(named, entry("tenant/a", 1))
        self.assertEqual("from-elsewhere", named.history)
        later = Source()
        later.document.version = 4
        later.start(later.document, "")
        _take(later, entry("tenant/a", 1))
        self.assertEqual("", later.history)

    def test_after_a_gap_or_a_snapshot_who_stands_before_it_repairs(self) -> None:
        for snapshot in (True, False):
            source = Source()
            for number in range(5):
                _take(source, entry("tenant/a", number))
            before, old = source.document.digest, source.document.copy()
            source.document.load([("tenant/b", b"1")])
            source.document.version = 9
            if snapshot:
                source.start(source.document, source.history)
                self.assertEqual(9, source.position(9, source.document.digest))
            _take(source, entry("tenant/c", 1))
            self.assertIsNone(source.position(5, before))
            line, _ = source.line(5, 0.0)
            self.assertEqual((True, []), (line.repair, line.changes))
            self.assertEqual(5, old.version)
            line, after = source.line(9, 0.0)
            self.assertEqual(([10], 10), ([made.version for made in line.changes], after))

    def test_of_two_versions_with_one_digest_the_newest_is_taken(self) -> None:
        source = Source()
        _take(source, entry("tenant/a", 1))
        digest = source.document.digest
        _take(source, entry("tenant/a", 2))
        _take(source, entry("tenant/a", 1))
        self.assertEqual(3, source.position(0, digest))

    def test_a_line_holds_so_many_changes_and_bytes(self) -> None:
        source = Source()
        for number in range(AT_ONCE + 50):
            _take(source, entry("tenant/a", number))
        self.assertEqual(AT_ONCE, len(source.line(0, 0.0)[0].changes))
        source = Source()
        for number in range(40):
            _take(source, entry("tenant/a", f"{number}" + "x" * (MAX_VALUE_BYTES - 100)))
        line, after = source.line(0, 0.0)
        self.assertLessEqual(
            sum(len(row.value) for made in line.changes for row in made.entries), MAX_CHANGE_BYTES + MAX_VALUE_BYTES
        )
        self.assertEqual(len(line.changes), after)

    def test_what_is_kept_of_digests_is_bounded(self) -> None:
        source = Source()
        for number in range(KEPT + 30):
            _take(source, entry("tenant/a", number))
        self.assertEqual(KEPT + 1, len(source._digests))

    def test_snapshots_are_of_one_version_few_and_not_made_anew_for_each(self) -> None:
        source, now = Source(), 0.0
        _take(source, entry("tenant/a", 1))
        self.assertEqual(1, source.outline(now).version)
        _take(source, entry("tenant/a", 2))
        self.assertEqual(1, source.outline(now + FROZEN - 0.1).version)
        self.assertEqual(2, source.outline(now + FROZEN).version)
        self.assertNotEqual(source.buckets(1, [bucket_of("tenant/a")]), source.buckets(2, [bucket_of("tenant/a")]))
        kept = source._frozen[-1][1]
        source.outline(now + 5 * FROZEN)
        self.assertIs(kept, source._frozen[-1][1])  # nothing has changed: no copy is made
        for number in range(3, 10):
            now += 10 * FROZEN
            _take(source, entry("tenant/a", number))
            source.outline(now)
        self.assertEqual(SNAPSHOTS, len(source._frozen))

    def test_an_answer_holds_so_many_buckets_each_once(self) -> None:
        source = Source()
        version = source.outline(0.0).version
        self.assertEqual(ASKED, len(source.buckets(version, range(1000)).buckets))
        twice = source.buckets(version, [1] * ASKED + [2]).buckets
        self.assertEqual([1, 2], list(twice))

    def test_who_is_known_goes_on_being_heard_where_the_table_is_full(self) -> None:
        source = Source()
        for number in range(10_001):
            source.applied(AppliedVersion(number, 1), 0.0)
        source.applied(AppliedVersion(5, 2), 1.0)
        found = {told.relay: told.version for told in source.followers(2.0)}
        self.assertEqual((2, 10_000), (found[5], len(found)))

    def test_the_age_is_never_below_nothing(self) -> None:
        source = Source(heard=5.0)
        self.assertEqual(0.0, source.line(0, 4.9)[0].behind_ms)


class Applying(unittest.TestCase):
    def test_a_file_s_unfit_rows_are_no_changes_and_what_is_gone_is_one(self) -> None:
        old = {
            "accounts": [{"name": "a", "quotaPerS": 1}, {"name": "b", "quotaPerS": 1}, {"name": "c", "quotaPerS": 1}]
        }
        new = {"accounts": [{"name": "a", "quotaPerS": -1}, {"name": "b", "quotaPerS": 2}]}
        keys, values, faults = changed_entries(old, new)
        self.assertEqual((["tenant/b", "tenant/c"], ["tenant/a"]), (keys, [fault.key for fault in faults]))
        self.assertEqual({"tenant/b": TenantValue(2.0)}, values)
        self.assertEqual([], changed_entries(old, old)[0])

    def test_figures_of_a_class_that_are_removed_stay_as_they_were(self) -> None:
        request_class = RequestClass(
            "read", 8000, 15000, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
        )
        here = Relay(dict[str, Tenant](), {"read": request_class}, lambda _: None)
        self.assertEqual([], here.apply(["class/read", "route/x"], {}))
        self.assertEqual((8000, 15000), (request_class.latency_objective, request_class.timeout))
