"""Two units whose names share a mark are never told of as one, also by relays of two versions."""

from __future__ import annotations

import hashlib
import unittest
from collections.abc import Mapping, Sequence
from struct import Struct

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.fleet_load import FleetInFlight
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    CompletionCount,
    EndpointStatus,
    FleetLatency,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
)
from lanelead.runtime.endpoint_registry import EndpointRegistry
from lanelead.runtime.gossip_codec import (
    IN_FLIGHT_MARKER,
    LONG_ID_MESSAGE_FORM,
    MAX_MESSAGE_BYTES,
    MESSAGE_FORM,
    decode_gossip,
    encode_gossip,
)
from lanelead.runtime.short_ids import NO_LONG_ID, long_id_of
from lanelead.simulator_adapter.host import Floor
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND
from tests.test_benchlink import BEGIN

A, B, C = "u0", "u5578", "u1"  # the first two have one mark, the third its own
TWINS = "ff81d0f447", "69d19deb1c"  # one wide mark
THIRD = "u131424"  # their mark, and a wide mark of its own
FAULTS = [0, 1, 0, 0, 2]

# Letters as written by the program before wide marks (f8e7855), of units of build 7: sightings of A, B, C of
# 3, 9, 4 outcomes, loads of C, A, B of 5, 6, 7, 4 answers; the same of A and C alone with a pace of 0.8 s.
BOTH = bytes.fromhex("43ff04afe0000700030001000002afe00007000900010000029f760007000400010000029f7605afe006afe007")
FIRST = bytes.fromhex("422804afe00007000300010000029f760007000400010000029f7605afe006")
# Its letters of 0 to 150 units that share no mark, each with its length before it; see `test_not_a_byte`.
DIGEST = "5c9a76f04021065d93de8c2358a564c0f3a9dcbac923299a7f0aaf59cc291a36"


def earlier(
    text: bytes, units: Mapping[int, str], build: int, request_classes: int
) -> dict[str, list[tuple[int, ...]]]:
    """How the program before wide marks read a letter: rows of sightings and of loads by the units' names."""
    row, load, found = Struct(">HHB6B"), Struct(">HB"), dict[str, list[tuple[int, ...]]]()
    form, count = divmod(text[0], 32) if text else (2, 0)
    end = 3 + count * row.size
    if form != 2 or end > len(text):
        return {}
    for mark, made, request_class, *seen in row.iter_unpack(text[3:end]):
        if mark in units and made == build and request_class < request_classes:
            found.setdefault(units[mark], []).append(tuple(seen))
    rest = text[end : len(text) - (len(text) - end) % load.size]
    for mark, attempts in load.iter_unpack(rest):
        if mark in units:
            found.setdefault(units[mark], []).append((attempts,))
    return found


def door(*names: str) -> EndpointRegistry:
    found = EndpointRegistry(lambda mark: EndpointState(mark, SECOND, SECOND, 0.0))
    for name in names:
        unit = found.get_or_add(name)
        unit.build, unit.status = 7, EndpointStatus.READY
    return found


def letters(teller: EndpointRegistry, loads: Mapping[str, int], seen: Mapping[str, int] | None = None) -> list[bytes]:
    words: list[GossipEntry] = [
        OutcomeObservation(teller.by_name[name], IDEMPOTENT_CLASS, 7, many, FAULTS)
        for name, many in (seen or {}).items()
    ]
    return encode_gossip(
        [*words, *(InFlightCount(teller.by_name[name], many) for name, many in loads.items())], [IDEMPOTENT_CLASS]
    )


def read(hearer: EndpointRegistry, texts: Sequence[bytes]) -> dict[str, list[int]]:
    """Outcomes seen and trips out in rising order, by the units' names; '': what no other has more of."""
    found = dict[str, list[int]]()
    for text in texts:
        for word in decode_gossip(text, hearer.short_ids, [IDEMPOTENT_CLASS]):
            if isinstance(word, OutcomeObservation | InFlightCount):
                many = word.outcomes if isinstance(word, OutcomeObservation) else word.attempts
                found.setdefault(hearer.names[word.endpoint], []).append(many)
            elif isinstance(word, InFlightBound):
                found.setdefault("", []).append(word.attempts)
    return {name: sorted(numbers) for name, numbers in found.items()}


class Names(unittest.TestCase):
    def test_the_names_of_these_tests_share_what_they_are_to_share(self) -> None:
        self.assertEqual(long_id_of(A) & 0xFFFF, long_id_of(B) & 0xFFFF)
        self.assertNotEqual(long_id_of(A), long_id_of(B))
        self.assertEqual(*map(long_id_of, TWINS))
        self.assertEqual(long_id_of(TWINS[0]) & 0xFFFF, long_id_of(THIRD) & 0xFFFF)
        self.assertNotEqual(long_id_of(TWINS[0]), long_id_of(THIRD))
        self.assertNotIn(long_id_of(C) & 0xFFFF, (long_id_of(A) & 0xFFFF, long_id_of(TWINS[0]) & 0xFFFF))

    def test_numbered_names_share_marks_by_hundreds_and_wide_marks_never(self) -> None:
        wides = [long_id_of(f"unit-{number:04}") for number in range(10_000)]
        self.assertEqual(10_000, len(set(wides)))
        self.assertLess(len({wide & 0xFFFF for wide in wides}), 9_500)


class Telling(unittest.TestCase):
    def test_not_a_byte_of_a_letter_changes_where_no_mark_is_shared(self) -> None:
        names, digest = [f"s-{number}" for number in range(150)], hashlib.sha256()
        units = [door(*names).by_name[name] for name in names]
        for some in range(151):
            seen = [OutcomeObservation(unit, IDEMPOTENT_CLASS, 7, 3, FAULTS) for unit in units[:some]]
            wholes: list[list[GossipEntry]] = [
                [*(InFlightCount(unit, 3) for unit in units[:some]), CompletionCount(3)],
                [
                    *seen,
                    *(InFlightCount(unit, place) for place, unit in enumerate(units[:some])),
                    FleetLatency(400 * some),
                ],
                [OutcomeObservation(unit, IDEMPOTENT_CLASS, 7, some, FAULTS) for unit in units[:some]],
            ]
            for text in (text for words in wholes for text in encode_gossip(words, [IDEMPOTENT_CLASS])):
                digest.update(bytes([len(text)]) + text)
        self.assertEqual(DIGEST, digest.hexdigest())

    def test_units_that_share_their_mark_are_told_of_each_by_itself(self) -> None:
        both, seen = door(A, B, C), {A: 3, B: 9, C: 4}
        for loads in ({A: 6}, {B: 7, A: 6}, {C: 5, A: 6, B: 7}, {C: 5}, {A: 0}):
            for some in ({}, {A: 3}, seen):
                texts = letters(both, loads, some)
                told: dict[str, list[int]] = {name: [] for name in (*some, *loads)}
                for name, many in (*some.items(), *loads.items()):
                    told[name] = sorted([*told[name], many])
                self.assertEqual(told, read(door(A, B, C), texts))
                self.assertLessEqual(max(map(len, texts)), MAX_MESSAGE_BYTES - 2)

    def test_units_of_one_wide_mark_are_not_told_of_at_all(self) -> None:
        teller = door(*TWINS, C)
        texts = letters(teller, {TWINS[0]: 6, C: 5, TWINS[1]: 7}, {TWINS[0]: 3, TWINS[1]: 4, C: 5})
        self.assertEqual({C: [5, 5]}, read(door(*TWINS, C), texts))
        self.assertEqual({C: [5, 5]}, read(door(TWINS[0], C), texts))
        self.assertEqual([NO_LONG_ID] * 2, [teller.by_name[name].long_id for name in TWINS])

    def test_a_wide_mark_that_two_have_is_understood_where_one_of_them_is_known(self) -> None:
        texts = letters(door(TWINS[0], THIRD), {TWINS[0]: 6, THIRD: 5}, {TWINS[0]: 3})
        both = door(*TWINS, THIRD)
        self.assertEqual({THIRD: [5]}, read(both, texts))
        self.assertEqual({"shared": 2}, both.short_ids.skipped)
        self.assertEqual({TWINS[0]: [3, 6], THIRD: [5]}, read(door(TWINS[0], THIRD), texts))

    def test_loads_beside_many_sightings_come_whole_in_letters_of_the_allowed_length(self) -> None:
        names = [f"s-{number}" for number in range(48)]
        teller = door(A, B, *names)
        for many in range(48):
            for loads in ({A: 6}, {A: 6, B: 7}, {A: 6, B: 7, names[0]: 8, names[1]: 9}):
                texts = letters(teller, loads, dict.fromkeys(names[:many], 3))
                self.assertLessEqual(max(map(len, texts)), MAX_MESSAGE_BYTES - 2)
                rows = [*((name, 3) for name in names[:many]), *loads.items()]
                told = {name: sorted(number for at, number in rows if at == name) for name, _ in rows}
                self.assertEqual(told, read(door(A, B, *names), texts))
                self.assertEqual(1, sum(A in read(door(A, B), [text]) for text in texts))

    def test_sightings_of_many_such_units_are_told_in_letters_of_the_allowed_length(self) -> None:
        names = [f"unit-{number:04}" for number in range(10_000)]
        teller = door(*names)
        shared = [unit for unit in teller.short_ids.sharing() if unit.long_id > 0][:60]
        texts = encode_gossip(
            [OutcomeObservation(unit, IDEMPOTENT_CLASS, 7, 3, FAULTS) for unit in shared], [IDEMPOTENT_CLASS]
        )
        self.assertEqual({teller.names[unit]: [3] for unit in shared}, read(door(*names), texts))
        self.assertEqual([LONG_ID_MESSAGE_FORM] * 4, [text[0] >> 5 for text in texts])
        self.assertLessEqual(max(map(len, texts)), MAX_MESSAGE_BYTES - 2)


class Full(unittest.TestCase):
    """Of more than fit, the first are told; units left out are not idle."""

    def setUp(self) -> None:
        self.names = [f"s-{number}" for number in range(120)]

    def test_with_shared_marks_among_the_first_as_many_as_fit_and_what_the_rest_has(self) -> None:
        hearer, teller = door(A, B, *self.names), door(A, B, *self.names)
        for place in (0, 40, 79, 80, 81, 82):
            for pair in ([A], [A, B]):
                names = [*self.names[:place], *pair, *self.names[place:]]
                loads = {name: 200 - at for at, name in enumerate(names)}
                texts = letters(teller, loads)
                self.assertEqual(1, len(texts))
                self.assertLessEqual(len(texts[0]), MAX_MESSAGE_BYTES - 2)
                found = read(hearer, texts)
                least = found.pop("")
                self.assertEqual({name: [loads[name]] for name in names[: len(found)]}, found)
                self.assertEqual([200 - len(found)], least)
                self.assertGreaterEqual(len(found), MAX_IN_FLIGHT_COUNTS - 6)

    def test_as_long_as_all_fit_none_is_left_out(self) -> None:
        hearer, teller = door(A, B, *self.names), door(A, B, *self.names)
        for many in range(70, 90):
            for pair in ([A], [A, B]):
                loads = {name: 200 - at for at, name in enumerate([*pair, *self.names[: many - len(pair)]])}
                found = read(hearer, letters(teller, loads))
                full = found.pop("", None)
                whole = 3 * (many - len(pair)) + 11 <= 251
                self.assertEqual((whole, not whole), (len(found) == many, full is not None), (many, pair))

    def test_a_shared_mark_past_the_last_that_fits_changes_no_byte(self) -> None:
        loads = dict.fromkeys([*self.names[:MAX_IN_FLIGHT_COUNTS], A, B], 3)
        plain = dict.fromkeys(self.names, 3)
        texts = letters(door(A, B, *self.names), loads)
        self.assertEqual(letters(door(*self.names), plain), texts)

    def test_a_relay_takes_no_unit_as_idle_that_a_full_letter_left_out(self) -> None:
        hearer, teller = door(A, B, *self.names), door(A, B, *self.names)
        loads = {name: 200 - at for at, name in enumerate([A, B, *self.names])}
        known = FleetInFlight(SECOND)
        (text,) = letters(teller, loads)
        known.receive(
            None,
            [
                w
                for w in decode_gossip(text, hearer.short_ids, [IDEMPOTENT_CLASS])
                if isinstance(w, InFlightCount | InFlightBound)
            ],
            0,
        )
        at = [known.others_at(unit, 1) for unit in hearer.by_name.values() if isinstance(unit, EndpointState)]
        told = len(read(hearer, [text])) - 1
        self.assertEqual([200 - place for place in range(told)] + [200 - told] * (122 - told), at)

    def test_a_full_letter_of_which_a_row_is_passed_over_is_still_full(self) -> None:
        # An earlier program tells of A by its mark alone: it is not known which of the two is meant.
        loads = {name: 200 - at for at, name in enumerate([A, *self.names])}
        (text,) = letters(door(A, *self.names), loads)
        found = read(door(A, B, *self.names), [text])
        self.assertEqual((MAX_IN_FLIGHT_COUNTS - 1, [200 - MAX_IN_FLIGHT_COUNTS + 1]), (len(found) - 1, found[""]))
        self.assertEqual({}, {name: found[name] for name in (A, B) if name in found})

    def test_a_letter_of_which_nothing_is_understood_ends_what_was_told_before(self) -> None:
        known, hub = FleetInFlight(SECOND), door(A, B, C)
        for loads in ({C: 5}, {A: 6}):
            (text,) = letters(door(A, C), loads)
            known.receive(
                9,
                [
                    w
                    for w in decode_gossip(text, hub.short_ids, [IDEMPOTENT_CLASS])
                    if isinstance(w, InFlightCount | InFlightBound)
                ],
                0,
            )
        self.assertEqual([], known.aggregate([], 1))


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


if __name__ == "__main__":
    unittest.main()
