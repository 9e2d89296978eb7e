"""Followers of a configuration and its sources in virtual time: links and machines fail, relays restart."""

from __future__ import annotations

import unittest
from random import Random

from lanelead.configuration.actions import Location
from lanelead.configuration.document import Document
from lanelead.testbed.simulation.configuration import Fleet

ZONES = [("a", "one"), ("b", "one"), ("c", "two"), ("d", "two")]
End = tuple[str, int]


def places(each: int) -> list[Location]:
    return [Location(zone, region, f"{zone}{n}") for zone, region in ZONES for n in range(each)]


def fleet(relays: int = 24, seed: int = 1, entries: int = 300) -> Fleet:
    """Eight machines, two a zone, that hold a document; relays that start with it, as their files say."""
    made = Fleet(places(2), [], seed)
    for n in range(3):
        made.change([(f"tenant/t{n}-{k}", b'{"quota_per_s":%d}' % k) for k in range(entries // 3)])
    made.run(2)

    def start() -> Document:
        document = Document()
        document.load(made.document)
        return document

    made.start = start
    for place in places(relays // 4):
        made.join(place)
    made.run(3)
    return made


def alike(test: unittest.TestCase, made: Fleet) -> None:
    for relay in made.relays:
        test.assertEqual(made.document.version, relay.follower.document.version, relay.follower.state)
        test.assertEqual(made.document.digest, relay.follower.document.digest)


class Following(unittest.TestCase):
    def later(self, made: Fleet, change: int = 0, within: float = 3.0) -> None:
        """A change comes into force everywhere in time."""
        began = made.now
        made_change = made.change([(f"tenant/new{made.now:.0f}", b'{"quota_per_s":1}')], change)
        assert made_change is not None
        made.run(within)
        for relay in made.relays:
            if relay.up:
                self.assertEqual(made_change.version, relay.follower.document.version, relay.follower.state)
                self.assertLessEqual(relay.in_force[-1][0] - began, within)

    def test_a_change_is_in_force_at_all_within_a_second_where_nothing_fails(self) -> None:
        made = fleet()
        self.later(made, within=1.0)
        alike(self, made)

    def test_each_follows_a_source_of_its_own_zone_and_all_have_their_share(self) -> None:
        made = fleet(80)
        for relay in made.relays:
            self.assertEqual(relay.place.zone, str(relay.follower.state["source"])[0])
        self.assertGreaterEqual(min(len(machine.watchers) for machine in made.machines), 5)

    def test_same_seed_same_events(self) -> None:
        one, other = (
            [(relay.number, relay.in_force, relay.heard, relay.sent) for relay in fleet(seed=7).relays]
            for _ in range(2)
        )
        self.assertEqual(one, other)

    def test_machines_killed_one_after_another_down_to_a_majority(self) -> None:
        made = fleet()
        for number in (0, 3, 5):
            made.kill(number)
            self.later(made, 1)
        alike(self, made)

    def test_both_machines_of_a_zone_stand_still_and_a_change_still_comes_in_time(self) -> None:
        made = fleet()
        made.stop(0)
        made.stop(1)
        self.later(made, 2)
        made.wake(0)
        made.wake(1)
        made.run(180)
        near = [relay for relay in made.relays if relay.place.zone == "a"]
        self.assertEqual({"a"}, {str(relay.follower.state["source"])[0] for relay in near})
        self.later(made, 2)

    def test_all_machines_gone_the_last_good_state_stays_and_comes_on_with_them(self) -> None:
        made = fleet()
        digest = made.document.digest
        for number in range(8):
            made.kill(number)
        made.run(120)
        for relay in made.relays:
            self.assertEqual(digest, relay.follower.document.digest)
        for number in range(8):
            made.wake(number)
        made.run(12)
        self.later(made)

    def test_a_machine_restarted_empty_is_not_followed_back(self) -> None:
        made = fleet()
        for number in range(8):
            made.kill(number, empty=True)
            made.run(1)
            made.wake(number)
            self.later(made, (number + 1) % 7)
        alike(self, made)
        self.assertEqual(0, sum(relay.follower.repairs for relay in made.relays))

    def test_all_machines_restarted_empty_take_nothing_away(self) -> None:
        made = fleet()
        digest = made.document.digest
        for number in range(8):
            made.kill(number, empty=True)
        made.decided.clear()
        made.document = Document()
        for number in range(8):
            made.wake(number)
        made.run(20)
        made.change([("tenant/other", b'{"quota_per_s":1}')])  # another history begins
        made.run(20)
        for relay in made.relays:
            self.assertEqual(digest, relay.follower.document.digest)

    def test_regions_apart_for_an_hour_one_goes_on_and_the_other_keeps_its_state(self) -> None:
        made = fleet()
        one = {"a", "b"}

        def side(end: End) -> bool:
            place = made.machines[end[1]].place if end[0] == "m" else made.relays[end[1]].place
            return place.zone in one

        version = made.document.version
        made.reaches = lambda a, b: side(a) == side(b)
        made.run(5)
        for _ in range(5):
            self.assertIsNone(made.change([("tenant/lost", b"{}")], 5))  # no majority there
            made.change([(f"tenant/apart{made.now:.0f}", b"{}")], 0)
            made.run(700)
        for relay in made.relays:
            here = relay.place.zone in one
            self.assertEqual(version + 5 if here else version, relay.follower.document.version)
        bytes_before = [relay.heard for relay in made.relays]
        made.reaches = lambda a, b: True
        made.run(3)
        alike(self, made)
        self.assertLess(max(r.heard - b for r, b in zip(made.relays, bytes_before, strict=True)), 3 * 4096)

    def test_links_that_delay_by_two_seconds(self) -> None:
        made = fleet()
        usual = made.delay
        made.delay = lambda a, b: 2.0 if ("r", 5) in (a, b) or ("r", 17) in (a, b) else usual(a, b)
        made.run(40)
        self.later(made, within=2.5)

    def test_a_way_that_is_cut_in_one_direction_only(self) -> None:
        made = fleet()
        for direction in (0, 1):
            near = [n for n, machine in enumerate(made.machines) if machine.place.zone == "b"]

            def reaches(a: End, b: End, direction: int = direction, near: list[int] = near) -> bool:
                machine, relay = (a, b) if direction else (b, a)
                return not (machine[0] == "m" and relay[0] == "r" and machine[1] in near and relay[1] < 12)

            made.reaches = reaches
            made.run(4)
            self.later(made)
            made.reaches = lambda a, b: True
            made.run(30)

    def test_a_source_cut_off_from_the_others_is_left_for_a_fresher_one(self) -> None:
        made = fleet()
        made.reaches = lambda a, b: not (a[0] == b[0] == "m" and (a[1] in (0, 1)) != (b[1] in (0, 1)))
        self.later(made, 2)
        alike(self, made)

    def test_a_tenth_restarts_every_ten_seconds(self) -> None:
        made = fleet(40)
        rng = Random(3)
        for _ in range(6):
            for number in rng.sample(range(40), 4):
                made.restart(number, 0.5)
            made.run(7)
            self.later(made)

    def test_a_relay_with_yesterdays_file_fetches_the_changes_since(self) -> None:
        made = fleet(24, entries=3000)
        old = dict(made.document)
        for n in range(20):
            made.change([(f"tenant/t0-{n}", b'{"quota_per_s":77}')])
        made.run(2)

        def start() -> Document:
            document = Document()
            document.load(old.items())
            return document

        made.start = start
        made.restart(3, 0.5)
        before = made.relays[3].heard
        made.run(8)
        alike(self, made)
        self.assertEqual(0, made.relays[3].follower.repairs)
        self.assertLess(made.relays[3].heard - before, 10_000)

    def test_a_relay_with_a_file_of_no_version_fetches_only_what_differs(self) -> None:
        made = fleet(24, entries=3000)
        old = dict(made.document) | {"tenant/by-hand": b"{}"}
        for n in range(20):
            made.change([(f"tenant/t0-{n}", b'{"quota_per_s":77}')])
        made.run(2)

        def start() -> Document:
            document = Document()
            document.load(old.items())
            return document

        made.start = start
        made.restart(3, 0.5)
        before = made.relays[3].heard
        made.run(8)
        alike(self, made)
        self.assertEqual(1, made.relays[3].follower.repairs)
        outline = 65636 + 104 * 46
        self.assertLess(made.relays[3].heard - before, outline + 20000)  # all buckets would be 170,000

    def test_a_repair_cut_in_the_middle_goes_on_elsewhere(self) -> None:
        made = fleet(8, entries=3000)

        def start() -> Document:
            document = Document()
            document.load([("tenant/by-hand", b"{}")])
            return document

        made.start = start
        made.restart(0, 0.5)
        made.run(2)
        self.assertTrue(made.relays[0].follower.state["repairing"])
        spent = made.relays[0].heard
        for number in (0, 1):
            made.kill(number)
        made.run(20)
        alike(self, made)
        self.assertEqual(1, made.relays[0].follower.repairs)
        self.assertLess(made.relays[0].heard - spent, 2 * 65636 + 250_000)
