"""Stories: each rule's guard, the mechanism's arithmetic, and one for each failure met."""

from __future__ import annotations

import unittest

from lanelead.interface import BreakOff, Condition, Fate, Lane, Phase, Send, Shed, Verdict
from tests.fake import EFFECTFUL, PURE, RECEIPTED, SECOND, FakeHost


class FinalAnswers(unittest.TestCase):
    def test_a_trip_that_runs_out_of_time_is_broken_off_once(self) -> None:
        host = FakeHost()
        lookup = host.ask(EFFECTFUL)
        (trip,) = host.sent(lookup)
        self.assertLessEqual(trip.sent + trip.limit, lookup.due)
        host.relay.now = lookup.due
        host.end(trip, Fate.TIMED_OUT)
        host.run(SECOND)
        self.assertEqual([type(act) for act in host.finals(lookup)], [BreakOff])

    def test_no_trip_after_the_client_left(self) -> None:
        host = FakeHost()
        lookup = host.ask(PURE)
        host.relay.left(lookup)
        host.run(4 * SECOND)
        self.assertEqual((len(host.sent(lookup)), host.finals(lookup)), (1, []))

    def test_an_empty_roster_sheds_at_once(self) -> None:
        host = FakeHost(units=0)
        self.assertEqual([type(act) for act in host.finals(host.ask(PURE))], [Shed])


class Repeats(unittest.TestCase):
    def test_an_effectful_lookup_that_may_have_run_gets_no_second_trip_and_no_shed(self) -> None:
        host = FakeHost()
        lookup = host.ask(EFFECTFUL)
        host.end(host.sent(lookup)[0], Fate.ERROR)
        self.assertEqual(len(host.sent(lookup)), 1)
        self.assertEqual([type(act) for act in host.finals(lookup)], [BreakOff])

    def test_an_effectful_lookup_that_was_turned_away_goes_elsewhere(self) -> None:
        host = FakeHost()
        lookup = host.ask(EFFECTFUL)
        host.end(host.sent(lookup)[0], Fate.TURNED_AWAY)
        self.assertEqual(len({trip.unit for trip in host.sent(lookup)}), 2)

    def test_a_receipted_lookup_stays_in_its_group_and_within_its_memory(self) -> None:
        host = FakeHost(units=1)
        host.listed(1, zone="y")
        lookup = host.ask(RECEIPTED)
        first = host.sent(lookup)[0]
        host.end(first, Fate.ERROR)
        self.assertEqual({trip.unit for trip in host.sent(lookup)}, {first.unit})
        host.relay.now += 2 * SECOND
        host.end(host.sent(lookup)[1], Fate.ERROR)
        self.assertEqual(len(host.sent(lookup)), 2)
        self.assertEqual([type(act) for act in host.finals(lookup)], [BreakOff])


class Drains(unittest.TestCase):
    def test_nothing_goes_to_a_unit_told_of_as_draining(self) -> None:
        host = FakeHost(units=2)
        host.listed(1, condition=Condition.DRAINING, unit=host.units[0])
        for _ in range(20):
            for trip in host.sent(host.ask()):
                host.end(trip)
        self.assertEqual({trip.unit for trip in host.sent()}, {host.units[1]})


class ColdUnits(unittest.TestCase):
    def test_a_restarted_relay_sends_a_cold_unit_little(self) -> None:
        host = FakeHost(units=4, now=20 * SECOND)
        cold = host.listed(1, since=host.relay.now)
        for _ in range(40):
            host.ask()
        self.assertLessEqual(sum(trip.unit is cold for trip in host.sent()), 8)


class Exposed(unittest.TestCase):
    def worst(self, host: FakeHost, build: int, lane: Lane, free: float, cap: float) -> float:
        """The most by which any window of trips at the build went over."""
        trips = [trip.sent for trip in host.sent() if trip.unit.build == build and trip.lookup.lane is lane]
        taken = [trip.lookup.taken for trip in host.sent() if trip.number == 0 and trip.lookup.lane is lane]
        over = []
        for end in trips:
            start = end - 4 * SECOND
            many = sum(start < at <= end for at in trips)
            over.append(many - free - cap * sum(start < at <= end for at in taken))
        return max(over)

    def play(self, host: FakeHost, seconds: int) -> None:
        for _ in range(seconds * 20):
            host.run(SECOND // 20)
            for lane in (PURE, EFFECTFUL):
                lookup = host.ask(lane, key=str(len(host.acts)))
                for trip in host.sent(lookup):
                    host.end(trip)

    def test_total_and_lane_stay_within_the_cap_and_guarded_stages_take_no_effects(self) -> None:
        host = FakeHost(by_lane=True, guarded=1, keys_stay=True)
        for _ in range(4):
            host.listed(2)
        host.news(2, 0, Phase.TRIAL, 0.1)
        self.play(host, 8)
        self.assertLessEqual(self.worst(host, 2, PURE, 3, 0.1), 0)
        self.assertFalse([t for t in host.sent() if t.unit.build == 2 and t.lookup.lane is EFFECTFUL])

    def test_a_build_without_news_counts_as_in_the_first_stage_and_cap_0_closes(self) -> None:
        host = FakeHost()
        for _ in range(4):
            host.listed(2)
        self.play(host, 8)
        self.assertTrue([trip for trip in host.sent() if trip.unit.build == 2])
        host.news(2, 0, Phase.REVERTING, 0.0)
        host.acts.clear()
        self.play(host, 8)
        self.assertFalse([trip for trip in host.sent() if trip.unit.build == 2])

    def test_a_key_that_the_new_build_answered_goes_to_no_earlier_one(self) -> None:
        host = FakeHost(units=1, keys_stay=True)
        host.listed(2)
        host.news(2, 2, Phase.TRIAL, 1.0)
        for _ in range(30):
            host.run(SECOND)
            for trip in host.sent(host.ask(PURE, key="k")):
                host.end(trip)
        builds = [act.trip.unit.build for act in host.acts if isinstance(act, Send)]
        self.assertNotIn(1, builds[builds.index(2) :])

    def test_a_key_answered_since_the_release_goes_to_no_earlier_unit_that_comes_back(self) -> None:
        # Incident i241f08: earlier units came back after a release, and took keys that the new build had.
        host = FakeHost(units=0, keys_stay=True)
        new = host.listed(2)
        host.news(2, 2, Phase.RELEASED, 1.0)
        host.end(host.sent(host.ask(PURE, key="k"))[0])
        host.listed(2, unit=new, condition=Condition.DRAINING)
        host.listed(1)
        self.assertEqual(host.sent(host.ask(PURE, key="k")), [])


class Voting(unittest.TestCase):
    def test_on_comes_5_s_after_the_newest_start_and_is_cast_again_when_lost(self) -> None:
        host = FakeHost(now=20 * SECOND)
        host.news(2, 0, Phase.TRIAL, 0.1)
        host.listed(2, since=host.relay.now)
        host.run(5 * SECOND - 1)
        self.assertEqual(host.votes(), [])
        host.run(SECOND)
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.ON])
        host.news(2, 0, Phase.TRIAL, 0.1, answer=True, word=Fate.TIMED_OUT)
        host.run(2 * SECOND)
        self.assertEqual([vote.verdict for vote in host.votes()], [Verdict.ON] * 2)


if __name__ == "__main__":
    unittest.main()
