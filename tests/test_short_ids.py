"""Two endpoints whose names share a short id are never told of as one."""

from __future__ import annotations

import hashlib
import unittest

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.fleet_load import FleetInFlight
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    CompletionCount,
    FleetLatency,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    OutcomeObservation,
)
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.runtime.gossip_codec import (
    LONG_ID_MESSAGE_FORM,
    decode_gossip,
    encode_gossip,
)
from lanelead.runtime.short_ids import NO_LONG_ID, long_id_of
from tests.fake_decisions_host import IDEMPOTENT_CLASS, SECOND
from tests.short_id_gossip import DIGEST, FAULTS, THIRD, TWINS, A, B, C, door, letters, read


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
