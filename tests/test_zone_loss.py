"""Loss and return of zones at a small fleet of relays, in virtual time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from lanelead.testbed.simulation.decision_loop import World
from lanelead.testbed.simulation.hosts import Plan
from lanelead.testbed.simulation.policies import AllAtOnce, HealthShare, NoSpill


class ZoneLoss(unittest.TestCase):
    """Relays with queues, a network and a late endpoint list: small, seeded, the same every time."""

    PLAN = Plan(relays=9, units=9, seconds=34, load=0.45)

    def play(self, *events: tuple[float, str, str, float], policy: type[NoSpill] | None = None) -> World:
        return World(replace(self.PLAN, events=events), 5, policy).run()

    def home(self, world: World, second: int) -> float:
        rows = {zone: world.sends.get(("a", zone), [0] * 99)[second] for zone in "abc"}
        return rows["a"] / max(1, sum(rows.values()))

    def test_a_zone_lost_returned_lost_and_returned(self) -> None:
        events = (
            (8.0, "lost", "a", 1.0),
            (14.0, "back", "a", 1.0),
            (18.0, "lost", "a", 1.0),
            (22.0, "back", "a", 1.0),
        )
        self.PLAN = replace(self.PLAN, seconds=42)
        world = self.play(*events)
        self.assertGreater(world.value(8, 13), 0.85)
        self.assertEqual((self.home(world, 12), self.home(world, 21)), (0.0, 0.0))
        self.assertGreater(self.home(world, 41), 0.8)
        self.assertLess(world.worst(), 1.0)
        self.assertFalse([machine for machine in world.machines if machine.fallen])

    def test_it_earns_more_than_no_spillover_and_in_a_silent_zone_more_than_by_the_list(self) -> None:
        for what, other in (
            ("lost", NoSpill),
            ("silent", AllAtOnce),
            ("silent", HealthShare),
            ("slow", HealthShare),
        ):
            events = ((8.0, what, "a", 1.0), (26.0, "back", "a", 1.0))
            ours, theirs = self.play(*events), self.play(*events, policy=other)
            self.assertGreater(ours.value(8, 26), theirs.value(8, 26) + 0.02, (what, other))

    def test_a_return_in_the_middle_of_a_burst_overloads_no_endpoint(self) -> None:
        self.PLAN = replace(self.PLAN, load=0.95)
        world = self.play((8.0, "lost", "a", 1.0), (16.0, "back", "a", 1.0))
        self.assertLess(world.worst(), 1.0)
        self.assertGreater(world.value(26, 32), world.value(9, 15))

    def test_with_two_of_three_zones_lost_the_excess_is_rejected_by_value_and_no_class_starves(self) -> None:
        self.PLAN = replace(self.PLAN, load=0.7)
        world = self.play((8.0, "lost", "a", 1.0), (8.5, "lost", "b", 1.0))
        rows = [row for row in world.rows if 14 <= row[0] < 30]
        ends = {value: [end for _, of, end, _, _ in rows if of == value] for value in (1.0, 3.0)}
        done = {value: some.count("done") / len(some) for value, some in ends.items()}
        self.assertGreater(done[3.0], done[1.0])
        self.assertGreater(done[1.0], 0.1)
        self.assertGreater(ends[1.0].count("shed"), 10)
        self.assertFalse(world._open_requests)  # each got its one answer
        self.assertLess(sum(end == "broken off" for _, _, end, _, _ in rows), len(rows) * 0.1)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, second = (self.play((8.0, "lost", "a", 0.5), (14.0, "back", "a", 0.5)) for _ in range(2))
        self.assertEqual((first.rows, first.sends), (second.rows, second.sends))

    def test_the_simulation_sees_an_overloaded_endpoint(self) -> None:
        world = World(self.PLAN, 1)
        machine = world.machines[0]
        machine.since = world.now
        for _ in range(200):
            world._record_work(machine, 0.1)
        self.assertTrue(machine.fallen)
        self.assertGreater(world.worst(), 1.0)


if __name__ == "__main__":
    unittest.main()
