"""Tests the slopes: fits of known points, storing of series, and two subjects at their small sizes."""

from __future__ import annotations

import math
import tempfile
import time
import unittest
from pathlib import Path

import msgspec

from benchmarks.slopes import lists, tenants
from benchmarks.slopes.__main__ import load_series, store_series
from benchmarks.slopes.hollow_relay import RelaySimulation
from benchmarks.slopes.series import Series, fit


class LineFits(unittest.TestCase):
    def test_linear_points_give_their_line(self) -> None:
        line = fit([(size, 5 + 0.25 * size) for size in (10, 100, 1000, 10_000)])
        self.assertAlmostEqual(line.start, 5, places=6)
        self.assertAlmostEqual(line.slope, 0.25, places=9)
        self.assertLess(line.slope_spread, 1e-9)
        self.assertAlmostEqual(line.at(20_000), 5005, places=3)
        self.assertEqual(line.largest, 10_000)

    def test_a_power_law_gives_its_exponent(self) -> None:
        line = fit([(size, 3 * size**2) for size in (8, 40, 200, 600)])
        self.assertAlmostEqual(line.power, 2, places=9)
        self.assertLess(line.power_spread, 1e-6)

    def test_scattered_points_have_a_spread(self) -> None:
        line = fit([(10, 12.0), (100, 90.0), (1000, 1150.0)])
        self.assertGreater(line.slope_spread, 0)
        self.assertLess(abs(line.slope - 1), 3 * line.slope_spread)

    def test_few_points_have_no_spread(self) -> None:
        one, two = fit([(26, 7.0)]), fit([(10, 20.0), (20, 40.0)])
        self.assertEqual((one.start, one.slope, one.largest), (7, 0, 26))
        self.assertAlmostEqual(two.slope, 2)
        for line in (one, two):
            self.assertTrue(math.isnan(line.slope_spread))
            self.assertTrue(math.isnan(line.power))

    def test_zero_values_do_not_spoil_the_fit(self) -> None:
        line = fit([(1, 0.0), (10, 9.0), (100, 99.0)])
        self.assertTrue(math.isnan(line.power))
        self.assertAlmostEqual(line.slope, 1, places=6)
        flat = fit([(1, 0.0), (10, 0.0), (100, 0.0)])
        self.assertEqual((flat.start, flat.slope), (0, 0))


class StoredSeries(unittest.TestCase):
    def test_a_run_replaces_its_own_series_only(self) -> None:
        old = [Series("b", "x", "us", "units", [(1, 1)]), Series("a", "y", "us", "units", [(1, 2)])]
        new = [Series("b", "x", "us", "units", [(1, 3), (2, 4)], "again")]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "capacity" / "slopes.json"
            store_series(path, old)
            found = store_series(path, new)
            self.assertEqual(load_series(path), found)
        self.assertEqual([(each.subject, each.name) for each in found], [("a", "y"), ("b", "x")])
        self.assertEqual(found[1], msgspec.structs.replace(new[0], points=[(1, 3), (2, 4)]))
        self.assertEqual(found[0].points, [(1, 2)])


class Subjects(unittest.TestCase):
    def check(self, subject: str, found: list[Series]) -> dict[str, Series]:
        names = {series.name: series for series in found}
        self.assertEqual(len(names), len(found))
        for series in found:
            sizes = [size for size, _ in series.points]
            self.assertEqual(series.subject, subject)
            self.assertGreaterEqual(len(sizes), 2, series.name)
            self.assertEqual(sizes, sorted(set(sizes)), series.name)
            self.assertTrue(all(math.isfinite(value) and value >= 0 for _, value in series.points), series)
            self.assertTrue(series.note, series.name)
        return names

    def test_lists(self) -> None:
        began = time.process_time()
        names = self.check("lists", lists.measure(small=True))
        self.assertLess(time.process_time() - began, 60)
        for name in ("whole.bytes", "memory"):  # figures that don't depend on a clock
            (small, least), (large, most) = names[name].points
            self.assertGreater(most, least, name)
            self.assertLess(most / least, large / small * 1.1, name)
        self.assertEqual(len({value for _, value in names["one.bytes"].points}), 1)

    def test_tenants(self) -> None:
        began = time.process_time()
        names = self.check("tenants", tenants.measure(small=True))
        self.assertLess(time.process_time() - began, 60)
        self.assertEqual({series.by for series in names.values()}, {"tenants", "routes"})
        for name in ("file.bytes", "routes.bytes", "routes.memory"):
            (_, least), (_, most) = names[name].points
            self.assertGreater(most, least, name)
        # The decisions keep no state of tenants without requests; when they did, ninety tenants took 0.12 MB.
        (_, least), (_, most) = names["state.memory"].points
        self.assertLess(abs(most - least), 0.002)
        self.assertIn("none", names["routes.memory"].note)

    def test_a_simulated_relay_handles_each_request(self) -> None:
        simulation = RelaySimulation(26)
        simulation.run(5)  # warm-up: the relay sends few requests to endpoints that it does not know yet
        simulation.meter.clear()
        asked, sent = simulation.asked, simulation.sent
        simulation.run(5)
        self.assertEqual(simulation.asked - asked, simulation.meter.calls["take"])
        self.assertAlmostEqual(simulation.asked - asked, 5 * 183, delta=2)
        self.assertGreaterEqual(simulation.sent - sent, simulation.asked - asked)
        self.assertAlmostEqual(simulation.meter.calls["beat"], 25, delta=2)


if __name__ == "__main__":
    unittest.main()
