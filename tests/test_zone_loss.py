"""Loss and return of zones with a small fleet of relays, in virtual time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from lanelead.testbed.simulation.decision_loop import World
from lanelead.testbed.simulation.hosts import Plan
from lanelead.testbed.simulation.policies import AllAtOnce, HealthShare, NoSpill


class ZoneLoss(unittest.TestCase):
    """Runs of the decision loop's simulation with queues, network delays and a late endpoint list; one seed each."""

    PLAN = Plan(relays=9, units=9, seconds=34, load=0.45)

    def simulate(self, *events: tuple[float, str, str, float], policy: type[NoSpill] | None = None) -> World:
        """Simulate the plan with zone events, and with another spillover policy where one is given."""
        return World(replace(self.PLAN, events=events), 5, policy).run()

    def local_share(self, world: World, second: int) -> float:
        """The share of zone a's attempts that stayed in zone a, in one second."""
        rows = {zone: world.sends.get(("a", zone), [0] * 99)[second] for zone in "abc"}
        return rows["a"] / max(1, sum(rows.values()))

    def test_a_zone_that_is_lost_and_returns_twice(self) -> None:
        events = (
            (8.0, "lost", "a", 1.0),
            (14.0, "back", "a", 1.0),
            (18.0, "lost", "a", 1.0),
            (22.0, "back", "a", 1.0),
        )
        self.PLAN = replace(self.PLAN, seconds=42)
        world = self.simulate(*events)
        self.assertGreater(world.value(8, 13), 0.85)
        self.assertEqual((self.local_share(world, 12), self.local_share(world, 21)), (0.0, 0.0))
        self.assertGreater(self.local_share(world, 41), 0.8)
        self.assertLess(world.worst(), 1.0)
        self.assertFalse([machine for machine in world.machines if machine.fallen])

    def test_spillover_earns_more_than_none_and_than_policies_by_the_endpoint_list(self) -> None:
        for event, other_policy in (
            ("lost", NoSpill),
            ("silent", AllAtOnce),
            ("silent", HealthShare),
            ("slow", HealthShare),
        ):
            events = ((8.0, event, "a", 1.0), (26.0, "back", "a", 1.0))
            ours, theirs = self.simulate(*events), self.simulate(*events, policy=other_policy)
            self.assertGreater(ours.value(8, 26), theirs.value(8, 26) + 0.02, (event, other_policy))

    def test_a_return_in_the_middle_of_a_burst_overloads_no_endpoint(self) -> None:
        self.PLAN = replace(self.PLAN, load=0.95)
        world = self.simulate((8.0, "lost", "a", 1.0), (16.0, "back", "a", 1.0))
        self.assertLess(world.worst(), 1.0)
        self.assertGreater(world.value(26, 32), world.value(9, 15))

    def test_with_two_of_three_zones_lost_the_excess_is_rejected_by_value_and_no_class_starves(self) -> None:
        self.PLAN = replace(self.PLAN, load=0.7)
        world = self.simulate((8.0, "lost", "a", 1.0), (8.5, "lost", "b", 1.0))
        rows = [row for row in world.rows if 14 <= row[0] < 30]
        ends = {value: [end for _, of, end, _, _ in rows if of == value] for value in (1.0, 3.0)}
        success_share = {value: outcomes.count("done") / len(outcomes) for value, outcomes in ends.items()}
        self.assertGreater(success_share[3.0], success_share[1.0])
        self.assertGreater(success_share[1.0], 0.1)
        self.assertGreater(ends[1.0].count("shed"), 10)
        self.assertFalse(world._open_requests)  # every request has ended
        self.assertLess(sum(end == "broken off" for _, _, end, _, _ in rows), len(rows) * 0.1)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, second = (self.simulate((8.0, "lost", "a", 0.5), (14.0, "back", "a", 0.5)) for _ in range(2))
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
