"""Regions that lose each other for longer than the dead are remembered, and meet again."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

from lanelead.membership.member import Membership
from lanelead.membership.member_state import (
    ADDRESS_RETENTION_FACTOR,
    MAX_LOCAL_HEALTH,
    MAX_REMEMBERED_ADDRESSES,
    RECONNECT_INTERVAL_PERIODS,
    Address,
    MembershipTimings,
)
from lanelead.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    Ack,
    Gossip,
    MemberRecord,
    Ping,
    StateClaim,
    decode_message,
    encode_message,
)
from lanelead.testbed.simulation.membership import SECOND, Town, Wires

HOUR = 3600 * SECOND
TEMPO = MembershipTimings(3000, 600 * SECOND)
QUICK = MembershipTimings(3000, 60 * SECOND)  # forgets ten times as soon: for stories in which no hour is needed
SOON = 30 * SECOND


def apart(town: Town) -> None:
    regions = {number: town.row(number, 1).region for number in range(len(town.members) + 10)}
    town.wires.cut = lambda sender, receiver: regions[sender] != regions[receiver]


def together(town: Town) -> None:
    town.wires.cut = lambda sender, receiver: False


def told(town: Town) -> list[dict[int, tuple[int, int, int]]]:
    return [{number: row.rank for number, row in m.records.items()} for m in town.members.values()]


class Reunion(unittest.TestCase):
    def meets(self, town: Town) -> None:
        """All take all that run, and nobody else, to be there; their tables are alike to the last row."""
        until = town.now + SOON
        while town.now < until and not town.agreed():
            town.run(town.now + SECOND)
        self.assertTrue(town.agreed(), [len(view) for view in town.views()])
        town.run(town.now + SOON)
        first, *others = told(town)
        self.assertEqual([first] * len(others), others)

    def forgotten(self, town: Town) -> None:
        """Nobody has a row of the other region: else the story would prove nothing."""
        for member in town.members.values():
            self.assertEqual({member.own.region}, {row.region for row in member.records.values()})

    def story(
        self,
        many: int,
        tempo: MembershipTimings,
        long: int,
        loss: float = 0.0,
        meanwhile: Callable[[Town], None] | None = None,
        before: Callable[[Town], None] | None = None,
    ) -> None:
        town = Town(many, 11, tempo, Wires(loss=loss))
        town.run(SECOND)
        if before is not None:
            before(town)
            town.run(town.now + tempo.retention + 20 * SECOND)
        apart(town)
        town.run(town.now + long // 2)
        if meanwhile is not None:
            meanwhile(town)
        town.run(town.now + long // 2)
        self.forgotten(town)
        together(town)
        self.meets(town)

    def test_an_hour_apart(self) -> None:
        for many, loss in ((8, 0.0), (8, 0.05), (40, 0.0)):
            with self.subTest(many=many, loss=loss):
                self.story(many, TEMPO, HOUR, loss)

    def test_only_one_side_has_forgotten_the_other(self) -> None:
        for many in (8, 40):
            for side in "ab":
                with self.subTest(many=many, side=side):
                    town = Town(many, 12, TEMPO, Wires())
                    for member in town.members.values():
                        if member.own.region == side:
                            member._timings = QUICK
                    apart(town)
                    town.run(300 * SECOND)
                    for member in town.members.values():
                        seen = {row.region for row in member.records.values()}
                        self.assertEqual({side} if member.own.region == side else {"a", "b"}, seen)
                    together(town)
                    self.meets(town)

    def test_the_seeds_are_dead_for_good(self) -> None:
        def kill(town: Town) -> None:
            for seed in range(3):
                town.kill(seed)

        for many in (8, 40):
            for when in ("before", "meanwhile"):
                with self.subTest(many=many, when=when):
                    if when == "before":
                        self.story(many, QUICK, 400 * SECOND, before=kill)
                    else:
                        self.story(many, QUICK, 400 * SECOND, meanwhile=kill)

    def test_those_that_restarted_meanwhile_have_new_addresses(self) -> None:
        def move(town: Town) -> None:
            town.seeds = (0, 1, 3)  # of these only 3 is where the new settings say, of the old ones none
            for number in (0, 1, 2, 4):
                town.kill(number)
                town.start(number, 2, place=1)

        for many in (8, 40):
            with self.subTest(many=many):
                self.story(many, QUICK, 400 * SECOND, meanwhile=move)


def row(number: int, life: int = 1, place: int = 0) -> MemberRecord:
    return MemberRecord(number, life, 0, ALIVE, False, "a", "r", f"10.0.{number}.{place}", 7946)


def at(number: int, place: int = 0) -> Address:
    return f"10.0.{number}.{place}", 7946


def one(seeds: Sequence[int], *known: int) -> Membership:
    return Membership(
        own=row(0),
        timings=TEMPO,
        seeds=[at(seed) for seed in seeds],
        rng=Random(1),
        now=0,
        known=list(map(row, known)),
    )


def says(member: Membership, *rumors: MemberRecord | StateClaim) -> None:
    """Word from 1, which is there."""
    member.receive(encode_message(Gossip(1, 1, 0, [], []), rumors)[0], at(1), member.now)


def calls(member: Membership, long: int) -> Counter[Address]:
    """Pings beside the detector's in so many ticks, while 1 answers all that it is sent."""
    found, until = Counter[Address](), member.now + long
    while member.next_round_at() < until:
        member.tick(member.next_round_at())
        out, member.outbox = member.outbox, []
        for to, text in out:
            if not isinstance(ping := decode_message(text), Ping):
                continue
            if to == at(1):
                member.receive(
                    encode_message(Ack(1, 1, ping.digest, [], [], ping.sequence_number))[0], at(1), member.now
                )
            else:
                found[to] += 1
    return found


class Calls(unittest.TestCase):
    """Whom a member calls on that it does not take to be there, and that it does so seldom."""

    def test_seeds_that_are_there_are_not_called_and_the_others_once_in_many_periods(self) -> None:
        self.assertEqual({}, calls(one([1], 1), HOUR))
        member = one([1, 2, 3], 1)
        found = calls(member, HOUR)
        self.assertEqual({at(2), at(3)}, set(found))
        periods = HOUR // TEMPO.period
        self.assertAlmostEqual(1.0, found.total() / (periods / RECONNECT_INTERVAL_PERIODS), delta=0.15)
        self.assertAlmostEqual(1.0, found[at(2)] / found[at(3)], delta=0.3)

    def test_where_the_forgotten_dead_were_is_called_for_a_time(self) -> None:
        member = one([], 1, 5)
        says(member, StateClaim(5, 1, 0, DEAD, 1))
        calls(member, TEMPO.retention + SECOND)
        self.assertNotIn(5, member.records)
        self.assertEqual({at(5)}, set(calls(member, HOUR)))
        member.now = member.now + ADDRESS_RETENTION_FACTOR * TEMPO.retention
        member.tick(member.now)
        member.outbox.clear()
        self.assertEqual({}, calls(member, HOUR))

    def test_a_seed_dead_for_good_is_called_no_more_often_than_another(self) -> None:
        member = one([5], 1, 5, 6)
        says(member, *(StateClaim(number, 1, 0, DEAD, 1) for number in (5, 6)))
        calls(member, TEMPO.retention + SECOND)
        found = calls(member, HOUR)
        self.assertAlmostEqual(1.0, found[at(5)] / found[at(6)], delta=0.3)

    def test_one_that_is_alone_calls_in_each_period_though_its_own_have_grown_long(self) -> None:
        member = one([], 5)
        says(member, StateClaim(5, 1, 0, DEAD, 1))
        member.local_health = MAX_LOCAL_HEALTH
        found = calls(member, 100 * TEMPO.period * (1 + MAX_LOCAL_HEALTH))
        self.assertAlmostEqual(100, found[at(5)], delta=2)

    def test_of_many_forgotten_a_bounded_number_is_called(self) -> None:
        dead = range(2, 2 + 4 * MAX_REMEMBERED_ADDRESSES)
        member = one([], 1, *dead)
        for number in dead:
            says(member, StateClaim(number, 1, 0, DEAD, 1))
        calls(member, TEMPO.retention + SECOND)
        self.assertEqual([0, 1], sorted(member.records))
        found = calls(member, 10 * HOUR)
        self.assertEqual(MAX_REMEMBERED_ADDRESSES, len(found))
        late = sum(at(number) in found for number in dead[len(dead) // 2 :])
        # Neither the first nor the last ones alone.
        self.assertIn(late, range(MAX_REMEMBERED_ADDRESSES // 2, MAX_REMEMBERED_ADDRESSES))

    def test_who_left_is_not_called(self) -> None:
        member = one([], 1, 5)
        says(member, StateClaim(5, 1, 1, LEFT, 5))
        self.assertEqual({}, calls(member, HOUR))

    def test_who_came_back_elsewhere_is_not_called_where_it_was(self) -> None:
        member = one([], 1, 5)
        says(member, StateClaim(5, 1, 0, DEAD, 1))
        calls(member, TEMPO.retention + SECOND)
        says(member, row(5, life=2, place=1))
        says(member, StateClaim(5, 2, 0, LEFT, 5))  # so that the detector leaves it alone
        self.assertEqual({}, calls(member, HOUR))


if __name__ == "__main__":
    unittest.main()
