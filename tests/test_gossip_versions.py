"""Gossip between relays of two versions, at moments when one knows more endpoints than the other, and spoilt."""

from __future__ import annotations

import unittest
from struct import Struct

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.decisions.interface import (
    CompletionCount,
    EndpointStatus,
    FleetLatency,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
)
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.runtime.gossip_codec import (
    IN_FLIGHT_MARKER,
    LONG_ID_MESSAGE_FORM,
    MESSAGE_FORM,
    decode_gossip,
    encode_gossip,
)
from lanelead.runtime.short_ids import NO_LONG_ID, long_id_of
from lanelead.simulator_adapter.host import Floor
from tests.fake_decisions_host import IDEMPOTENT_CLASS
from tests.short_id_gossip import BOTH, FAULTS, FIRST, TWINS, A, B, C, door, earlier, letters, read
from tests.test_benchlink import BEGIN


class Versions(unittest.TestCase):
    """Relays of the program before wide marks, and of this one."""

    def test_an_earlier_relay_reads_what_it_can_and_books_nothing_on_the_wrong_unit(self) -> None:
        names = [f"s-{number}" for number in range(120)]
        teller = door(A, B, C, *names)
        for known in ([A], [B], [A, B], [B, A]):
            units = {long_id_of(name) & 0xFFFF: name for name in [*known, C, *names]}  # the last met has the mark
            for loads in ({A: 6, B: 7, C: 5}, {A: 1, **dict.fromkeys(names, 9), C: 5}, {B: 7}):
                for seen in ({}, {A: 3, B: 9, C: 4}, dict.fromkeys([A, *names[:23], C], 3)):
                    for text in letters(teller, loads, seen):
                        found = earlier(text, units, 7, 255)  # as many classes as it could have
                        self.assertEqual({}, {name: rows for name, rows in found.items() if name in (A, B)})
            (text,) = letters(teller, {A: 6, C: 5, names[0]: 4}, {C: 4})
            self.assertEqual({C: [(4, *FAULTS), (5,)], names[0]: [(4,)]}, earlier(text, units, 7, 1))

    def test_a_relay_that_knows_both_books_an_earlier_ones_word_on_neither(self) -> None:
        for text in (BOTH, FIRST):
            hearer = door(A, B, C)
            self.assertEqual({C: [4, 5]}, read(hearer, [text]))
            self.assertGreater(hearer.short_ids.skipped["shared"], 0)
        self.assertIn(FleetLatency(8000), decode_gossip(FIRST, door(A, B).short_ids, [IDEMPOTENT_CLASS]))
        self.assertIn(CompletionCount(4), decode_gossip(BOTH, door(A, B).short_ids, [IDEMPOTENT_CLASS]))

    def test_a_relay_that_knows_one_reads_it_as_before_where_one_was_told_of(self) -> None:
        self.assertEqual({A: [3, 6], C: [4, 5]}, read(door(A, C), [FIRST]))

    def test_one_mark_twice_in_a_letter_is_two_units_loads_also_where_one_is_known(self) -> None:
        hearer = door(A, C)
        found = read(hearer, [BOTH])
        self.assertEqual([5], found[C][-1:])
        self.assertNotIn(6, found[A])
        self.assertNotIn(7, found[A])
        self.assertEqual(2, hearer.short_ids.skipped["doubled"])

    def test_the_fixtures_are_read_by_an_earlier_relay_as_they_were(self) -> None:
        units = {long_id_of(name) & 0xFFFF: name for name in (A, B, C)}
        self.assertEqual(
            {B: [(3, *FAULTS), (9, *FAULTS), (6,), (7,)], C: [(4, *FAULTS), (5,)]}, earlier(BOTH, units, 7, 1)
        )


class Moments(unittest.TestCase):
    """Lists differ for moments: one relay knows both units, another only one."""

    def test_one_that_knows_one_unit_hears_of_it_and_not_of_the_other(self) -> None:
        for known, told in ((A, [3, 6]), (B, [7, 9])):
            hearer = door(known, C)
            texts = letters(door(A, B, C), {A: 6, B: 7, C: 5}, {A: 3, B: 9})
            self.assertEqual({known: told, C: [5]}, read(hearer, texts))
            self.assertEqual({"unknown": 2}, hearer.short_ids.skipped)

    def test_a_teller_that_knows_only_one_is_not_understood_where_both_are_known(self) -> None:
        hearer = door(A, B, C)
        self.assertEqual({C: [5]}, read(hearer, letters(door(A, C), {A: 6, C: 5}, {A: 3})))
        self.assertEqual({"shared": 2}, hearer.short_ids.skipped)

    def test_a_unit_that_is_gone_leaves_the_other_its_mark(self) -> None:
        for gone, stays in ((A, B), (B, A)):
            teller, hearer = door(A, B), door(A, B)
            for each in (teller, hearer):
                lost = each.by_name[gone]
                each.forget(lost)
                self.assertNotIn(gone, each.by_name)
            (text,) = letters(teller, {stays: 6})
            self.assertEqual((2 << 5, {stays: [6]}), (text[0], read(hearer, [text])))
            # What is still known of the one that is gone is told under no name.
            self.assertEqual(
                [],
                encode_gossip(
                    [InFlightCount(lost, 9), OutcomeObservation(lost, IDEMPOTENT_CLASS, 7, 9, FAULTS)],
                    [IDEMPOTENT_CLASS],
                ),
            )
            self.assertEqual(1, len(hearer.short_ids))

    def test_a_unit_whose_mark_was_freed_and_that_is_forgotten_leaves_nothing(self) -> None:
        teller = door(A, B)
        lost = teller.by_name[A]
        teller.retire(lost)
        teller.forget(lost)
        self.assertEqual(({}, 1), (teller._retired, len(teller.short_ids)))

    def test_a_unit_met_anew_shares_its_mark_again(self) -> None:
        teller = door(A, B)
        teller.forget(teller.by_name[B])
        teller.forget(teller.by_name[A])
        self.assertEqual((0, {}), (len(teller.short_ids), teller.short_ids.unique))
        for name in (B, A):
            unit = teller.get_or_add(name)
            unit.build, unit.status = 7, EndpointStatus.READY
        self.assertEqual({A: [3, 6], B: [7]}, read(door(A, B), letters(teller, {A: 6, B: 7}, {A: 3})))

    def test_a_sighting_of_another_build_class_or_state_is_counted_and_passed_over(self) -> None:
        texts = letters(door(A, B, C), {}, {A: 3, C: 4})
        for spoil in ("build", "condition", "lanes"):
            hearer = door(A, B, C)
            for unit in hearer.by_name.values():
                unit.build = 8 if spoil == "build" else 7
                unit.status = EndpointStatus.DRAINING if spoil == "condition" else EndpointStatus.READY
            request_classes = [] if spoil == "lanes" else [IDEMPOTENT_CLASS]
            self.assertEqual(
                [], [word for text in texts for word in decode_gossip(text, hearer.short_ids, request_classes)]
            )
            self.assertEqual({"other": 2}, hearer.short_ids.skipped)

    def test_the_bench_frees_the_mark_of_a_unit_long_gone_and_takes_it_back(self) -> None:
        floor, state = Floor(), "ROLLOUT_STATE 1 1 2 0 success 1.0 10.0"

        def play(ms: int, *units: str, condition: int = 1) -> None:
            rows = "".join(f"\nENTRY z 0 - std {name} 1 1 {condition}" for name in units)
            text = f"TICK {ms}.0 1\nFOR relay/0\nMANIFEST 0 {len(units)}{rows}\nDIRECTORY_UPDATE 0 1 0"
            lines = text.split("\n")
            floor.batch([*lines[:2], BEGIN, *lines[2:], state] if ms == 5 else lines)

        play(5, A, B)
        host = floor.hosts["relay/0"]
        a, b = host.door.by_name[A], host.door.by_name[B]
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))
        play(100, B)
        play(8000, B)  # the longest limit is 4 s: others may still tell of A
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))
        play(8200, B)
        self.assertEqual(
            (NO_LONG_ID, 0, b), (a.long_id, b.long_id, host.door.short_ids.by_short_id(long_id_of(A) & 0xFFFF))
        )
        self.assertEqual((a, {}), (host.door.by_name[A], host.gone))
        play(8300, A, B)
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))
        play(8400, B)
        play(16000, A, B)
        play(16500, B)  # gone once more: it is kept as long again
        play(16600, B)
        self.assertEqual((long_id_of(A), long_id_of(B)), (a.long_id, b.long_id))


class Spoilt(unittest.TestCase):
    def test_a_letter_that_is_cut_too_long_or_of_another_form_is_refused_alone_and_counted(self) -> None:
        good = letters(door(A, B, C), {A: 6, B: 7, C: 5}, {A: 3, B: 9, C: 4})
        loads, seen = good
        for text, reason in (
            (seen[:-1], "length"),
            (seen + b"\0", "length"),
            (bytes([seen[0] + 1]) + seen[1:], "length"),
            (loads[:13], "length"),
            (loads + bytes(MAX_MESSAGE_BYTES), "length"),
            (bytes([5 << 5]) + loads[1:], "form"),
            (seen + bytes(13 * 20), "length"),
            (bytes([LONG_ID_MESSAGE_FORM << 5 | 20]) + bytes(260), "length"),
        ):
            hearer = door(A, B, C)
            self.assertEqual([], decode_gossip(text, hearer.short_ids, [IDEMPOTENT_CLASS]))
            self.assertEqual({reason: 1}, hearer.short_ids.skipped)
            self.assertEqual({A: [3, 6], B: [7, 9], C: [4, 5]}, read(hearer, good))

    def test_a_place_without_a_mark_says_nothing_of_any_unit(self) -> None:
        row = Struct(">IBBIB").pack(0, IN_FLIGHT_MARKER, 0, 0, 0)
        hearer = door(A, B, C)
        said = decode_gossip(bytes([MESSAGE_FORM << 5 | 1, 255, 255]) + row, hearer.short_ids, [IDEMPOTENT_CLASS])
        self.assertEqual(([InFlightBound(0)], {}), (said, hearer.short_ids.skipped))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.data())
    def test_no_letter_breaks_a_relay_or_names_a_unit_that_is_not_there(self, data: st.DataObject) -> None:
        form = data.draw(st.sampled_from([MESSAGE_FORM, LONG_ID_MESSAGE_FORM, 0, 7]))
        body = data.draw(st.binary(max_size=300))
        marks = [long_id_of(name).to_bytes(4, "big") for name in (A, B, C, *TWINS)]
        for place in data.draw(st.lists(st.integers(0, 60), max_size=5)):
            mark = data.draw(st.sampled_from(marks))
            body = body[:place] + data.draw(st.sampled_from([mark, mark[2:]])) + body[place + 4 :]
        hearer = door(A, B, C, *TWINS)
        for word in decode_gossip(
            bytes([form << 5 | data.draw(st.integers(0, 31))]) + body, hearer.short_ids, [IDEMPOTENT_CLASS]
        ):
            if isinstance(word, OutcomeObservation | InFlightCount):
                self.assertIn(hearer.names[word.endpoint], (A, B, C))
