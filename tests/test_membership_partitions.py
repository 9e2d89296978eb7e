"""Regions that are partitioned for longer than the records of dead members are retained find each other again.

Once those records are dropped, nothing but configured seeds and remembered addresses tells a member whom to ping.
"""

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
from lanelead.testbed.simulation.membership import SECOND, LinkSettings, SimulatedMembers

HOUR = 3600 * SECOND
TIMINGS = MembershipTimings(3000, 600 * SECOND)
SHORT_TIMINGS = MembershipTimings(3000, 60 * SECOND)  # a tenth of the retention: the partition can be shorter
MERGE_TIME = 30 * SECOND


def partition(town: SimulatedMembers) -> None:
    regions = {number: town.row(number, 1).region for number in range(len(town.members) + 10)}
    town.wires.cut = lambda sender, receiver: regions[sender] != regions[receiver]


def heal(town: SimulatedMembers) -> None:
    town.wires.cut = lambda sender, receiver: False


def ranks(town: SimulatedMembers) -> list[dict[int, tuple[int, int, int]]]:
    return [{number: row.rank for number, row in m.records.items()} for m in town.members.values()]


class MergeAfterPartition(unittest.TestCase):
    def assert_merged(self, town: SimulatedMembers) -> None:
        """Every member has exactly the running members as present, and all tables are equal."""
        until = town.now + MERGE_TIME
        while town.now < until and not town.all_tables_correct():
            town.run(town.now + SECOND)
        self.assertTrue(town.all_tables_correct(), [len(view) for view in town.views()])
        town.run(town.now + MERGE_TIME)
        first, *others = ranks(town)
        self.assertEqual([first] * len(others), others)

    def assert_other_region_dropped(self, town: SimulatedMembers) -> None:
        """No member has a record of the other region: otherwise the case would prove nothing."""
        for member in town.members.values():
            self.assertEqual({member.own.region}, {row.region for row in member.records.values()})

    def check_merge(
        self,
        count: int,
        timings: MembershipTimings,
        duration: int,
        loss: float = 0.0,
        during_partition: Callable[[SimulatedMembers], None] | None = None,
        before_partition: Callable[[SimulatedMembers], None] | None = None,
    ) -> None:
        town = SimulatedMembers(count, 11, timings, LinkSettings(loss=loss))
        town.run(SECOND)
        if before_partition is not None:
            before_partition(town)
            town.run(town.now + timings.retention + 20 * SECOND)
        partition(town)
        town.run(town.now + duration // 2)
        if during_partition is not None:
            during_partition(town)
        town.run(town.now + duration // 2)
        self.assert_other_region_dropped(town)
        heal(town)
        self.assert_merged(town)

    def test_regions_merge_after_an_hour_of_partition(self) -> None:
        for count, loss in ((8, 0.0), (8, 0.05), (40, 0.0)):
            with self.subTest(count=count, loss=loss):
                self.check_merge(count, TIMINGS, HOUR, loss)

    def test_regions_merge_when_only_one_has_dropped_the_records_of_the_other(self) -> None:
        for count in (8, 40):
            for side in "ab":
                with self.subTest(count=count, side=side):
                    town = SimulatedMembers(count, 12, TIMINGS, LinkSettings())
                    for member in town.members.values():
                        if member.own.region == side:
                            member._timings = SHORT_TIMINGS
                    partition(town)
                    town.run(300 * SECOND)
                    for member in town.members.values():
                        seen = {row.region for row in member.records.values()}
                        self.assertEqual({side} if member.own.region == side else {"a", "b"}, seen)
                    heal(town)
                    self.assert_merged(town)

    def test_regions_merge_when_all_seeds_are_dead(self) -> None:
        def kill(town: SimulatedMembers) -> None:
            for seed in range(3):
                town.kill(seed)

        for count in (8, 40):
            for when in ("before", "meanwhile"):
                with self.subTest(count=count, when=when):
                    if when == "before":
                        self.check_merge(count, SHORT_TIMINGS, 400 * SECOND, before_partition=kill)
                    else:
                        self.check_merge(count, SHORT_TIMINGS, 400 * SECOND, during_partition=kill)

    def test_regions_merge_when_members_restarted_at_new_addresses(self) -> None:
        def move(town: SimulatedMembers) -> None:
            town.seeds = (0, 1, 3)  # only 3 of these keeps its address, and none of the former seeds (0, 1, 2)
            for number in (0, 1, 2, 4):
                town.kill(number)
                town.start(number, 2, place=1)

        for count in (8, 40):
            with self.subTest(count=count):
                self.check_merge(count, SHORT_TIMINGS, 400 * SECOND, during_partition=move)


def make_record(number: int, started_at_ms: int = 1, place: int = 0) -> MemberRecord:
    return MemberRecord(number, started_at_ms, 0, ALIVE, False, "a", "r", f"10.0.{number}.{place}", 7946)


def address_of(number: int, place: int = 0) -> Address:
    return f"10.0.{number}.{place}", 7946


def make_member(seeds: Sequence[int], *known: int) -> Membership:
    return Membership(
        own=make_record(0),
        timings=TIMINGS,
        seeds=[address_of(seed) for seed in seeds],
        rng=Random(1),
        now=0,
        known=list(map(make_record, known)),
    )


def deliver_gossip(member: Membership, *updates: MemberRecord | StateClaim) -> None:
    """Delivers gossip from member 1, which is alive."""
    member.receive(encode_message(Gossip(1, 1, 0, [], []), updates)[0], address_of(1), member.now)


def count_pings(member: Membership, duration: int) -> Counter[Address]:
    """Counts pings to members other than 1 for `duration` ticks, while member 1 acknowledges all of its own."""
    pings, until = Counter[Address](), member.now + duration
    while member.next_round_at() < until:
        member.tick(member.next_round_at())
        outbox, member.outbox = member.outbox, []
        for address, payload in outbox:
            if not isinstance(ping := decode_message(payload), Ping):
                continue
            if address == address_of(1):
                member.receive(
                    encode_message(Ack(1, 1, ping.digest, [], [], ping.sequence_number))[0], address_of(1), member.now
                )
            else:
                pings[address] += 1
    return pings


class ReconnectPings(unittest.TestCase):
    """Which absent members and addresses a member pings to reconnect, and how often."""

    def test_present_seeds_are_not_pinged_and_absent_ones_once_per_reconnect_interval(self) -> None:
        self.assertEqual({}, count_pings(make_member([1], 1), HOUR))
        member = make_member([1, 2, 3], 1)
        pings = count_pings(member, HOUR)
        self.assertEqual({address_of(2), address_of(3)}, set(pings))
        periods = HOUR // TIMINGS.period
        self.assertAlmostEqual(1.0, pings.total() / (periods / RECONNECT_INTERVAL_PERIODS), delta=0.15)
        self.assertAlmostEqual(1.0, pings[address_of(2)] / pings[address_of(3)], delta=0.3)

    def test_the_remembered_address_of_a_dead_member_is_pinged_until_it_expires(self) -> None:
        member = make_member([], 1, 5)
        deliver_gossip(member, StateClaim(5, 1, 0, DEAD, 1))
        count_pings(member, TIMINGS.retention + SECOND)
        self.assertNotIn(5, member.records)
        self.assertEqual({address_of(5)}, set(count_pings(member, HOUR)))
        member.now = member.now + ADDRESS_RETENTION_FACTOR * TIMINGS.retention
        member.tick(member.now)
        member.outbox.clear()
        self.assertEqual({}, count_pings(member, HOUR))

    def test_a_dead_seed_is_pinged_no_more_often_than_another_dead_member(self) -> None:
        member = make_member([5], 1, 5, 6)
        deliver_gossip(member, *(StateClaim(number, 1, 0, DEAD, 1) for number in (5, 6)))
        count_pings(member, TIMINGS.retention + SECOND)
        pings = count_pings(member, HOUR)
        self.assertAlmostEqual(1.0, pings[address_of(5)] / pings[address_of(6)], delta=0.3)

    def test_a_lone_member_pings_in_each_period_at_the_worst_local_health(self) -> None:
        member = make_member([], 5)
        deliver_gossip(member, StateClaim(5, 1, 0, DEAD, 1))
        member.local_health = MAX_LOCAL_HEALTH
        pings = count_pings(member, 100 * TIMINGS.period * (1 + MAX_LOCAL_HEALTH))
        self.assertAlmostEqual(100, pings[address_of(5)], delta=2)

    def test_a_bounded_number_of_remembered_addresses_is_pinged(self) -> None:
        dead = range(2, 2 + 4 * MAX_REMEMBERED_ADDRESSES)
        member = make_member([], 1, *dead)
        for number in dead:
            deliver_gossip(member, StateClaim(number, 1, 0, DEAD, 1))
        count_pings(member, TIMINGS.retention + SECOND)
        self.assertEqual([0, 1], sorted(member.records))
        pings = count_pings(member, 10 * HOUR)
        self.assertEqual(MAX_REMEMBERED_ADDRESSES, len(pings))
        late_count = sum(address_of(number) in pings for number in dead[len(dead) // 2 :])
        # Evicted at random: neither only the first nor only the last addresses are left.
        self.assertIn(late_count, range(MAX_REMEMBERED_ADDRESSES // 2, MAX_REMEMBERED_ADDRESSES))

    def test_a_member_that_left_is_not_pinged(self) -> None:
        member = make_member([], 1, 5)
        deliver_gossip(member, StateClaim(5, 1, 1, LEFT, 5))
        self.assertEqual({}, count_pings(member, HOUR))

    def test_a_member_that_returned_at_another_address_is_not_pinged_at_the_former_one(self) -> None:
        member = make_member([], 1, 5)
        deliver_gossip(member, StateClaim(5, 1, 0, DEAD, 1))
        count_pings(member, TIMINGS.retention + SECOND)
        deliver_gossip(member, make_record(5, started_at_ms=2, place=1))
        deliver_gossip(member, StateClaim(5, 2, 0, LEFT, 5))  # so that the failure detector does not ping it
        self.assertEqual({}, count_pings(member, HOUR))


if __name__ == "__main__":
    unittest.main()
