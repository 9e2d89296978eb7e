"""Membership: simulated groups of members under faults, and the rules of a single member."""

from __future__ import annotations

import unittest
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.membership.member import Membership
from lanelead.membership.member_state import MembershipTimings
from lanelead.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Gossip,
    MemberRecord,
    Message,
    Ping,
    StateClaim,
    TablePage,
    TableRequest,
    decode_message,
    encode_message,
)
from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES
from lanelead.testbed.simulation.membership import SECOND, LinkSettings, SimulatedMembers

TIMINGS = MembershipTimings(3000, 60 * SECOND)
ANY_ADDRESS = ("10.9.9.9", 1)


def make_record(number: int, started_at_ms: int = 1, incarnation: int = 0, state: int = ALIVE) -> MemberRecord:
    return MemberRecord(
        number, started_at_ms, incarnation, state, False, "a", "r", f"10.0.{number >> 8}.{number & 255}", 7946
    )


def make_member(*known: MemberRecord) -> Membership:
    return Membership(own=make_record(0), timings=TIMINGS, seeds=[], rng=Random(1), now=0, known=known)


def encode_gossip(sender: int, *updates: MemberRecord | StateClaim, started_at_ms: int = 1) -> bytes:
    return encode_message(Gossip(sender, started_at_ms, 0, [], []), updates)[0]


def take_sent(member: Membership) -> list[Message]:
    outbox, member.outbox = member.outbox, []
    return [message for _, text in outbox if (message := decode_message(text)) is not None]


class Faults(unittest.TestCase):
    def test_all_members_detect_a_dead_member_and_suspect_no_other_wrongly(self) -> None:
        town = SimulatedMembers(40, 1, TIMINGS, LinkSettings(loss=0.05))
        town.run(SECOND)
        town.kill(7)
        town.run(6 * SECOND)
        self.assertEqual((0, {}), (town.count_unaware_members(7), dict(town.false_deaths)))
        self.assertTrue(town.all_tables_correct())

    def test_no_member_is_declared_dead_when_a_fifth_of_the_messages_is_lost_and_others_are_late_or_duplicated(
        self,
    ) -> None:
        town = SimulatedMembers(24, 2, TIMINGS, LinkSettings(loss=0.2, spread=500, double=0.1))
        town.run(120 * SECOND)
        self.assertEqual({}, dict(town.false_deaths))
        self.assertGreater(sum(member.counters.suspicions for member in town.members.values()), 0)

    def test_a_member_that_one_other_can_not_reach_is_probed_indirectly(self) -> None:
        town = SimulatedMembers(12, 3, TIMINGS, LinkSettings(cut=lambda a, b: (a, b) in ((1, 2), (4, 3), (3, 4))))
        town.run(60 * SECOND)
        self.assertEqual({}, dict(town.false_deaths))

    def test_two_partitioned_groups_merge_when_the_partition_ends(self) -> None:
        wires = LinkSettings()
        town = SimulatedMembers(20, 4, TIMINGS, wires)
        wires.cut = lambda a, b: (a < 8) != (b < 8)
        town.run(10 * SECOND)
        self.assertEqual([8] * 8 + [12] * 12, [len(member.present_members()) for member in town.members.values()])
        wires.cut = lambda a, b: False
        town.run(40 * SECOND)
        self.assertTrue(town.all_tables_correct())

    def test_a_restarted_member_is_a_new_process_and_is_counted_once(self) -> None:
        town = SimulatedMembers(12, 5, TIMINGS, LinkSettings(loss=0.1))
        town.run(SECOND)
        for started_at_ms in range(2, 9):  # restarts faster than its death can be detected
            town.kill(5)
            town.start(5, started_at_ms)
            town.run(town.now + SECOND)
        town.run(town.now + 10 * SECOND)
        self.assertTrue(town.all_tables_correct())
        self.assertEqual({8}, {member.records[5].started_at_ms for member in town.members.values()})

    def test_members_that_start_at_once_and_know_only_the_seeds_find_each_other(self) -> None:
        for seed in range(6, 10):
            wires = LinkSettings(loss=0.2)
            town = SimulatedMembers(30, seed, TIMINGS, wires, warm=False)
            while not town.all_tables_correct():
                town.run(town.now + SECOND // 4)
                self.assertLess(town.now, 5 * SECOND)
            town.run(20 * SECOND)  # at this loss a member may be suspected at times; all know all members
            self.assertEqual([30] * 30, [len(view) for view in town.views()])
            wires.loss = 0
            town.run(22 * SECOND)
            self.assertTrue(town.all_tables_correct())

    def test_a_member_that_was_suspended_declares_no_other_dead_and_returns_as_the_same_process(self) -> None:
        town = SimulatedMembers(12, 7, TIMINGS, LinkSettings())
        town.run(SECOND)
        town.stop(3, 10 * SECOND)
        town.run(8 * SECOND)
        self.assertEqual({DEAD}, {m.records[3].state for n, m in town.members.items() if n != 3})
        town.run(30 * SECOND)
        self.assertTrue(town.all_tables_correct())
        self.assertEqual(1, town.members[3].own.started_at_ms)
        self.assertEqual({3}, {change.after.number for _, _, change in town.found if change.after.state == DEAD})

    def test_a_new_member_receives_a_large_table_completely_despite_message_loss(self) -> None:
        town = SimulatedMembers(150, 8, TIMINGS, LinkSettings(loss=0.2))
        town.run(SECOND)
        town.start(150, 1)
        town.run(15 * SECOND)
        self.assertTrue(town.all_tables_correct())


class Rules(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3), st.integers(0, 3)), max_size=12),
        st.randoms(),
    )
    def test_the_record_of_the_highest_rank_wins_in_any_order(
        self, ranks: list[tuple[int, int, int]], rng: Random
    ) -> None:
        records = [make_record(5, *rank) for rank in ranks]
        first, second = make_member(make_record(5), make_record(6)), make_member(make_record(5), make_record(6))
        for member in (first, second):
            for report in records:
                member.receive(encode_gossip(6, report), ANY_ADDRESS, 1)
            rng.shuffle(records)
        highest = max([(1, 0, 0), *ranks])
        self.assertEqual((highest, highest), (first.records[5].rank, second.records[5].rank))

    def test_a_suspect_is_pinged_and_not_declared_dead_before_the_minimum_timeout(self) -> None:
        member = make_member(make_record(5), make_record(6), make_record(7))
        member.receive(encode_gossip(6, StateClaim(5, 1, 0, SUSPECT, 6)), ANY_ADDRESS, 10)
        pings = 0
        for by in range(20, 40):  # more reporters than can shorten the timeout
            member.receive(encode_gossip(7, StateClaim(5, 1, 0, SUSPECT, by)), ANY_ADDRESS, 10)
        for now in range(0, 10 + TIMINGS.min_suspicion_time(4), 500):
            member.tick(now)
            pings += sum(isinstance(message, Ping) and message.target == 5 for message in take_sent(member))
            self.assertEqual(SUSPECT, member.records[5].state)
        self.assertGreater(pings, 2)
        for now in range(member.now, member.now + 20 * SECOND, 500):
            member.tick(now)
        self.assertEqual(DEAD, member.records[5].state)

    def test_a_member_whose_own_tick_is_late_suspects_no_other_for_it(self) -> None:
        member = make_member(make_record(5))
        while not any(isinstance(message, Ping) for message in take_sent(member)):
            member.tick(member.next_round_at())
        for delay in (0, 0, 5 * SECOND):  # it was suspended; the answer may lie unread
            member.tick(member.next_round_at() + delay)
        self.assertEqual((0, ALIVE), (member.counters.suspicions, member.records[5].state))
        for _ in range(4):  # on time, and still without an answer
            member.tick(member.next_round_at())
        self.assertEqual(1, member.counters.suspicions)

    def test_a_member_refutes_claims_against_itself_with_a_higher_incarnation_and_no_others(self) -> None:
        member = make_member(make_record(5))
        member.receive(encode_gossip(5, StateClaim(0, 1, 4, DEAD, 5), StateClaim(5, 1, 0, SUSPECT, 9)), ANY_ADDRESS, 1)
        self.assertEqual((1, 5, ALIVE), member.own.rank)
        self.assertEqual((1, 0, SUSPECT), member.records[5].rank)

    def test_a_process_sends_nothing_after_it_learns_of_a_later_one_with_its_number(self) -> None:
        member = make_member(make_record(5))
        member.receive(encode_gossip(5, make_record(0, started_at_ms=2)), ANY_ADDRESS, 1)
        take_sent(member)
        for now in range(0, 5 * SECOND, 500):
            member.tick(now)
        self.assertEqual([], take_sent(member))
        self.assertEqual(2, member.changes[-1].after.started_at_ms)

    def test_an_earlier_process_that_still_sends_is_sent_the_record_of_the_later_one(self) -> None:
        member = make_member(make_record(5, started_at_ms=3))
        text, _ = encode_message(Ping(5, 2, 0, [], [], 1, 0, 1), [make_record(6), StateClaim(5, 3, 0, DEAD, 5)])
        member.receive(text, ANY_ADDRESS, 1)
        self.assertEqual({0: ALIVE, 5: ALIVE}, {n: known.state for n, known in member.records.items()})
        messages = take_sent(member)
        self.assertEqual([Gossip], [type(message) for message in messages])
        self.assertIn(make_record(5, started_at_ms=3), messages[0].records)

    def test_a_member_that_left_is_not_restored_by_reports_of_others(self) -> None:
        member, other = make_member(make_record(5)), make_member(make_record(5), make_record(6))
        member.leave(5)
        self.assertEqual(LEFT, member.records[0].state)
        self.assertTrue(any(claim.state == LEFT for message in take_sent(member) for claim in message.claims))
        member.receive(encode_gossip(5, StateClaim(0, 1, 1, DEAD, 5)), ANY_ADDRESS, 6)
        self.assertEqual((1, 1, LEFT), member.own.rank)
        departed = make_record(5, incarnation=1, state=LEFT)
        for report in (departed, make_record(5, incarnation=1), make_record(5, incarnation=1, state=SUSPECT)):
            other.receive(encode_gossip(6, report), ANY_ADDRESS, 1)
        self.assertEqual(departed, other.records[5])

    def test_records_of_members_long_dead_are_dropped_and_not_restored(self) -> None:
        member = make_member(make_record(5), make_record(6))
        member.receive(encode_gossip(6, make_record(5, state=DEAD)), ANY_ADDRESS, 1)
        member.tick(TIMINGS.retention + SECOND)
        self.assertNotIn(5, member.records)
        member.receive(encode_gossip(6, make_record(5, state=DEAD)), ANY_ADDRESS, member.now)
        self.assertNotIn(5, member.records)

    def test_an_observer_receives_the_table_and_its_records_are_not_merged(self) -> None:
        member = make_member(make_record(5))
        member.receive(
            encode_message(
                TableRequest(65535, 0, 0, [], [], 0, True), [make_record(5, started_at_ms=9), make_record(8)]
            )[0],
            ANY_ADDRESS,
            1,
        )
        (page,) = take_sent(member)
        assert isinstance(page, TablePage)
        self.assertEqual([make_record(0), make_record(5)], page.records)
        self.assertEqual({0, 5}, set(member.records))


class Digests(unittest.TestCase):
    def test_tables_that_differ_by_equal_increments_in_several_records_have_different_digests(self) -> None:
        for step in (
            {"incarnation": 1},
            {"started_at_ms": 2},
            {"started_at_ms": 1_700_000_000_000, "incarnation": 3},
        ):
            for many in range(1, 9):
                later = [msgspec.structs.replace(make_record(n), **step) for n in range(1, 1 + many)]
                first, second = make_member(*map(make_record, range(1, 9))), make_member(*map(make_record, range(1, 9)))
                for report in later:
                    second.receive(
                        encode_gossip(report.number, report, started_at_ms=report.started_at_ms), ANY_ADDRESS, 1
                    )
                digests = {message.digest for m in (first, second) for message in self.next_messages(m)}
                self.assertEqual(2, len(digests), (step, many))

    @staticmethod
    def next_messages(member: Membership) -> list[Message]:
        take_sent(member)
        member.tick(member.next_round_at())
        return take_sent(member)


class Messages(unittest.TestCase):
    def test_no_message_is_too_long_however_many_updates_are_pending(self) -> None:
        name = "z" * 32
        records = [msgspec.structs.replace(make_record(n), zone=name, region=name, host="f" * 45) for n in range(300)]
        member = Membership(own=records[0], timings=TIMINGS, seeds=[], rng=Random(1), now=0, known=records[1:])
        member.receive(encode_gossip(5, *[StateClaim(n, 1, 0, SUSPECT, 5) for n in range(7, 20)]), ANY_ADDRESS, 1)
        member.receive(encode_message(TableRequest(299, 1, 0, [], [], 0, False))[0], ANY_ADDRESS, 1)
        for now in range(0, SECOND, 500):
            member.tick(now)
        self.assertLessEqual(max(len(text) for _, text in member.outbox), MAX_MESSAGE_BYTES)
        self.assertTrue(all(decode_message(text) is not None for _, text in member.outbox))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=64), st.integers(0, 200), st.integers(0, 255))
    def test_corrupt_payloads_are_counted_as_undecodable(self, garbage: bytes, place: int, byte: int) -> None:
        member = make_member(make_record(5))
        whole = bytearray(encode_gossip(5, StateClaim(5, 1, 0, SUSPECT, 5), make_record(7)))
        whole[place % len(whole)] = byte
        for text in (garbage, bytes(whole), bytes(whole[: place % len(whole)])):
            member.receive(text, ANY_ADDRESS, 1)
            member.tick(member.now)
        self.assertGreaterEqual(member.counters.undecodable, 1)  # at least the truncated one
        self.assertEqual(1, member.own.started_at_ms)

    def test_records_with_values_out_of_bounds_are_undecodable(self) -> None:
        member = make_member(make_record(5))
        for report in (make_record(5, state=4), make_record(70_000), make_record(5, incarnation=-1)):
            text = msgspec.msgpack.encode(Gossip(5, 1, 0, [report], []))
            member.receive(text, ANY_ADDRESS, 1)
        self.assertEqual((3, make_record(5)), (member.counters.undecodable, member.records[5]))


if __name__ == "__main__":
    unittest.main()
