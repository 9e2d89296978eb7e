"""Simulations of followers and sources in virtual time, with failing links and replicas and restarting relays."""

from __future__ import annotations

import unittest
from random import Random

from lanelead.configuration.actions import Location
from lanelead.configuration.document import Document
from lanelead.testbed.simulation.configuration import Fleet

ZONES = [("a", "one"), ("b", "one"), ("c", "two"), ("d", "two")]
LinkEnd = tuple[str, int]


def locations(replicas_per_zone: int) -> list[Location]:
    return [Location(zone, region, f"{zone}{n}") for zone, region in ZONES for n in range(replicas_per_zone)]


def fleet(relays: int = 24, seed: int = 1, entries: int = 300) -> Fleet:
    """Eight replicas, two per zone, that hold a document, and relays whose own files hold the same entries."""
    simulation = Fleet(locations(2), [], seed)
    for n in range(3):
        simulation.change([(f"tenant/t{n}-{k}", b'{"quota_per_s":%d}' % k) for k in range(entries // 3)])
    simulation.run(2)

    def start() -> Document:
        document = Document()
        document.load(simulation.document)
        return document

    simulation.start = start
    for location in locations(relays // 4):
        simulation.join(location)
    simulation.run(3)
    return simulation


def check_same_documents(test: unittest.TestCase, simulation: Fleet) -> None:
    for relay in simulation.relays:
        test.assertEqual(simulation.document.version, relay.follower.document.version, relay.follower.state)
        test.assertEqual(simulation.document.digest, relay.follower.document.digest)


class Following(unittest.TestCase):
    def check_change_arrives(self, simulation: Fleet, replica: int = 0, within: float = 3.0) -> None:
        """Commits a change at this replica; checks that it is in force at all relays `within` so many seconds."""
        started_at = simulation.now
        committed_change = simulation.change([(f"tenant/new{simulation.now:.0f}", b'{"quota_per_s":1}')], replica)
        assert committed_change is not None
        simulation.run(within)
        for relay in simulation.relays:
            if relay.up:
                self.assertEqual(committed_change.version, relay.follower.document.version, relay.follower.state)
                self.assertLessEqual(relay.in_force[-1][0] - started_at, within)

    def test_without_failures_a_change_is_in_force_everywhere_within_a_second(self) -> None:
        simulation = fleet()
        self.check_change_arrives(simulation, within=1.0)
        check_same_documents(self, simulation)

    def test_relays_follow_sources_of_their_own_zone_and_spread_over_them(self) -> None:
        simulation = fleet(80)
        for relay in simulation.relays:
            self.assertEqual(relay.place.zone, str(relay.follower.state["source"])[0])
        self.assertGreaterEqual(min(len(machine.watchers) for machine in simulation.machines), 5)

    def test_the_same_seed_gives_the_same_events(self) -> None:
        first_run, second_run = (
            [(relay.number, relay.in_force, relay.heard, relay.sent) for relay in fleet(seed=7).relays]
            for _ in range(2)
        )
        self.assertEqual(first_run, second_run)

    def test_changes_arrive_while_replicas_are_killed_down_to_a_majority(self) -> None:
        simulation = fleet()
        for number in (0, 3, 5):
            simulation.kill(number)
            self.check_change_arrives(simulation, 1)
        check_same_documents(self, simulation)

    def test_changes_arrive_in_time_while_both_replicas_of_a_zone_are_stopped(self) -> None:
        simulation = fleet()
        simulation.stop(0)
        simulation.stop(1)
        self.check_change_arrives(simulation, 2)
        simulation.wake(0)
        simulation.wake(1)
        simulation.run(180)
        zone_relays = [relay for relay in simulation.relays if relay.place.zone == "a"]
        self.assertEqual({"a"}, {str(relay.follower.state["source"])[0] for relay in zone_relays})
        self.check_change_arrives(simulation, 2)

    def test_without_any_replica_the_configuration_stays_and_changes_arrive_once_they_are_back(self) -> None:
        simulation = fleet()
        digest = simulation.document.digest
        for number in range(8):
            simulation.kill(number)
        simulation.run(120)
        for relay in simulation.relays:
            self.assertEqual(digest, relay.follower.document.digest)
        for number in range(8):
            simulation.wake(number)
        simulation.run(12)
        self.check_change_arrives(simulation)

    def test_a_replica_restarted_without_its_disk_does_not_set_relays_back(self) -> None:
        simulation = fleet()
        for number in range(8):
            simulation.kill(number, empty=True)
            simulation.run(1)
            simulation.wake(number)
            self.check_change_arrives(simulation, (number + 1) % 7)
        check_same_documents(self, simulation)
        self.assertEqual(0, sum(relay.follower.repairs for relay in simulation.relays))

    def test_replicas_that_all_restart_without_their_disks_change_nothing_at_the_relays(self) -> None:
        simulation = fleet()
        digest = simulation.document.digest
        for number in range(8):
            simulation.kill(number, empty=True)
        simulation.decided.clear()
        simulation.document = Document()
        for number in range(8):
            simulation.wake(number)
        simulation.run(20)
        simulation.change([("tenant/other", b'{"quota_per_s":1}')])  # starts another history
        simulation.run(20)
        for relay in simulation.relays:
            self.assertEqual(digest, relay.follower.document.digest)

    def test_of_two_partitioned_regions_one_goes_on_and_the_other_keeps_its_configuration(self) -> None:
        simulation = fleet()
        first_region_zones = {"a", "b"}

        def in_first_region(end: LinkEnd) -> bool:
            location = simulation.machines[end[1]].place if end[0] == "m" else simulation.relays[end[1]].place
            return location.zone in first_region_zones

        version = simulation.document.version
        simulation.reaches = lambda a, b: in_first_region(a) == in_first_region(b)
        simulation.run(5)
        for _ in range(5):
            self.assertIsNone(simulation.change([("tenant/lost", b"{}")], 5))  # no majority in that region
            simulation.change([(f"tenant/apart{simulation.now:.0f}", b"{}")], 0)
            simulation.run(700)
        for relay in simulation.relays:
            here = relay.place.zone in first_region_zones
            self.assertEqual(version + 5 if here else version, relay.follower.document.version)
        bytes_before = [relay.heard for relay in simulation.relays]
        simulation.reaches = lambda a, b: True
        simulation.run(3)
        check_same_documents(self, simulation)
        self.assertLess(max(r.heard - b for r, b in zip(simulation.relays, bytes_before, strict=True)), 3 * 4096)

    def test_changes_arrive_over_links_with_two_seconds_of_delay(self) -> None:
        simulation = fleet()
        original_delay = simulation.delay
        simulation.delay = lambda a, b: 2.0 if ("r", 5) in (a, b) or ("r", 17) in (a, b) else original_delay(a, b)
        simulation.run(40)
        self.check_change_arrives(simulation, within=2.5)

    def test_changes_arrive_when_links_are_cut_in_one_direction(self) -> None:
        simulation = fleet()
        for direction in (0, 1):
            zone_relays = [n for n, machine in enumerate(simulation.machines) if machine.place.zone == "b"]

            def reaches(
                a: LinkEnd, b: LinkEnd, direction: int = direction, zone_relays: list[int] = zone_relays
            ) -> bool:
                machine, relay = (a, b) if direction else (b, a)
                return not (machine[0] == "m" and relay[0] == "r" and machine[1] in zone_relays and relay[1] < 12)

            simulation.reaches = reaches
            simulation.run(4)
            self.check_change_arrives(simulation)
            simulation.reaches = lambda a, b: True
            simulation.run(30)

    def test_a_source_partitioned_from_the_other_replicas_is_left_for_a_fresher_one(self) -> None:
        simulation = fleet()
        simulation.reaches = lambda a, b: not (a[0] == b[0] == "m" and (a[1] in (0, 1)) != (b[1] in (0, 1)))
        self.check_change_arrives(simulation, 2)
        check_same_documents(self, simulation)

    def test_changes_arrive_while_a_tenth_of_the_relays_restarts_every_ten_seconds(self) -> None:
        simulation = fleet(40)
        rng = Random(3)
        for _ in range(6):
            for number in rng.sample(range(40), 4):
                simulation.restart(number, 0.5)
            simulation.run(7)
            self.check_change_arrives(simulation)

    def test_a_relay_with_the_file_of_an_older_version_fetches_only_the_changes_since(self) -> None:
        simulation = fleet(24, entries=3000)
        old = dict(simulation.document)
        for n in range(20):
            simulation.change([(f"tenant/t0-{n}", b'{"quota_per_s":77}')])
        simulation.run(2)

        def start() -> Document:
            document = Document()
            document.load(old.items())
            return document

        simulation.start = start
        simulation.restart(3, 0.5)
        before = simulation.relays[3].heard
        simulation.run(8)
        check_same_documents(self, simulation)
        self.assertEqual(0, simulation.relays[3].follower.repairs)
        self.assertLess(simulation.relays[3].heard - before, 10_000)

    def test_a_relay_whose_file_matches_no_version_fetches_only_the_differing_buckets(self) -> None:
        simulation = fleet(24, entries=3000)
        old = dict(simulation.document) | {"tenant/by-hand": b"{}"}
        for n in range(20):
            simulation.change([(f"tenant/t0-{n}", b'{"quota_per_s":77}')])
        simulation.run(2)

        def start() -> Document:
            document = Document()
            document.load(old.items())
            return document

        simulation.start = start
        simulation.restart(3, 0.5)
        before = simulation.relays[3].heard
        simulation.run(8)
        check_same_documents(self, simulation)
        self.assertEqual(1, simulation.relays[3].follower.repairs)
        digest_tree_bytes = 65636 + 104 * 46
        # All buckets would take 170,000 bytes.
        self.assertLess(simulation.relays[3].heard - before, digest_tree_bytes + 20000)

    def test_an_interrupted_repair_continues_at_another_source(self) -> None:
        simulation = fleet(8, entries=3000)

        def start() -> Document:
            document = Document()
            document.load([("tenant/by-hand", b"{}")])
            return document

        simulation.start = start
        simulation.restart(0, 0.5)
        simulation.run(2)
        self.assertTrue(simulation.relays[0].follower.state["repairing"])
        bytes_before_failure = simulation.relays[0].heard
        for number in (0, 1):
            simulation.kill(number)
        simulation.run(20)
        check_same_documents(self, simulation)
        self.assertEqual(1, simulation.relays[0].follower.repairs)
        self.assertLess(simulation.relays[0].heard - bytes_before_failure, 2 * 65636 + 250_000)
