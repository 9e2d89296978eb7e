"""Scenarios in virtual time checked by the verifier, the simulation against queueing theory, and experiments."""

from __future__ import annotations

import sqlite3
import tempfile
import unittest
from math import factorial
from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner

from lanelead.cli import main
from lanelead.decisions.balancer import Balancer
from lanelead.settings.read import read_text
from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.emulators.seeded_faults import SEEDED_FAULTS
from lanelead.testbed.experiments.run import interval, measures, paired, read
from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.scenarios.rules.findings import Verdict
from lanelead.testbed.scenarios.rules.verifier import verify
from lanelead.testbed.simulation.baselines import POLICIES, LeastOfAll, LeastOfTwo
from lanelead.testbed.simulation.clock import Clock, random_stream
from lanelead.testbed.simulation.fleet import SimulatedFleet
from tests.test_scenario_commands import SHORT


def short() -> Scenario:
    """Return the short scenario of the tests on loopback."""
    day = read_text(SHORT, "short")
    assert isinstance(day, Scenario)
    return day


def verified(fleet: SimulatedFleet) -> Verdict:
    """Return the verifier's verdict on a simulated scenario."""
    with tempfile.TemporaryDirectory() as folder:
        fleet.recorder.write(Path(folder), fleet.day)
        return verify(Path(folder))


class VirtualTime(unittest.TestCase):
    """The clock and the random streams of simulations."""

    def test_calls_run_in_order_and_those_of_one_moment_as_they_were_made(self) -> None:
        clock, seen = Clock(), list[Any]()
        for wait, name in ((2, "c"), (1, "a"), (1, "b"), (9, "never")):
            clock.later(wait, seen.append, name)
        clock.run(3)
        self.assertEqual((seen, clock.now), (["a", "b", "c"], 3))

    def test_random_streams_are_independent(self) -> None:
        drawn = {purpose: random_stream(1, purpose).random() for purpose in ("net", "desk")}
        other = random_stream(1, "net")
        self.assertEqual(other.random(), drawn["net"])
        self.assertNotEqual(drawn["net"], drawn["desk"])


class SimulatedScenarios(unittest.TestCase):
    """Scenarios in virtual time, with the production decisions, with guards removed, and with other policies."""

    def test_a_short_scenario_keeps_the_rules_and_the_same_seed_gives_the_same_recording(self) -> None:
        first, second = (SimulatedFleet(short(), 3).run() for _ in range(2))
        self.assertEqual(msgspec.json.encode(first.recorder.files), msgspec.json.encode(second.recorder.files))
        self.assertNotEqual(SimulatedFleet(short(), 4).run().recorder.files, first.recorder.files)
        verdict = verified(first)
        self.assertTrue(verdict.kept, verdict.rules)
        for rule in ("answers", "effects", "drains", "cold", "exposure"):
            self.assertGreater(verdict.rules[rule].seen, 0, rule)
        self.assertEqual(first.value_share(), verdict.service)

    def test_the_verifier_reports_each_guard_that_is_removed(self) -> None:
        for seam in ("answers", "effects", "drains", "cold", "exposure"):
            day = load("bad-day")
            day = msgspec.structs.replace(day, seconds=30.0, events=[e for e in day.events if e.at < 28])
            verdict = verified(
                SimulatedFleet(day, 1, lambda seam=seam, **given: SEEDED_FAULTS[seam](Balancer(**given))).run()
            )
            self.assertGreater(verdict.rules[seam].broken, 0, seam)

    def test_every_policy_keeps_the_rules(self) -> None:
        for name, policy in POLICIES.items():
            verdict = verified(SimulatedFleet(short(), 1, policy).run())
            self.assertTrue(verdict.kept, (name, verdict.rules))
            self.assertGreater(verdict.done, 250, name)

    def test_one_tenants_burst_while_a_zone_is_lost_starves_no_tenant(self) -> None:
        day = load("zone-loss")
        lost = day.events[0]
        burst = msgspec.structs.replace(
            lost, kind="member_burst", at=9.0, for_=8.0, size=6.0, member="aigaio-energy", zone=None
        )
        clients = msgspec.structs.replace(day.clients, rate=160.0)
        day = msgspec.structs.replace(day, seconds=18.0, events=[lost, burst], clients=clients)
        fleet = SimulatedFleet(day, 1).run()
        events = fleet.recorder.files["clients"]
        tenant = {event["id"]: event["member"] for event in events if event["ev"] == "ask" and event["t"] > 3609}
        outcomes: dict[str, list[bool]] = {}
        for event in events:
            if event["ev"] == "answer" and event["id"] in tenant:
                outcomes.setdefault(tenant[event["id"]], []).append(event["outcome"] == "done")
        shares = {name: sum(succeeded) / len(succeeded) for name, succeeded in outcomes.items()}
        self.assertEqual(len(shares), 3)
        self.assertLess(min(shares.values()), 0.99)  # the burst exceeds the capacity
        self.assertGreater(min(shares.values()), 0.8)
        self.assertTrue(verified(fleet).kept)

    def test_the_command_line_runs_a_scenario(self) -> None:
        result = CliRunner().invoke(main, ["model", "run", "crash", "--relays", "3", "--rate", "50"])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(CliRunner().invoke(main, ["model", "run", "steps"]).exit_code, 2)
        self.assertEqual(CliRunner().invoke(main, ["model", "run", "no-such-day"]).exit_code, 2)


class QueueingTheory(unittest.TestCase):
    """With exponential work and arrivals, one relay and no limits that bind, known results must hold."""

    def relative_latency(self, cores: int, load: float, policy: type[Balancer], units: int = 1) -> float:
        """The mean latency of a request over its mean work."""
        day = short()
        request_classes = [
            msgspec.structs.replace(request_class, expected_time_ms=60_000, outer_limit_ms=60_000)
            for request_class in day.service.lanes[:1]
        ]
        quota = msgspec.structs.replace(day.service.allowance, open_lookups=10**6, second_copies=False, probes=False)
        service = msgspec.structs.replace(day.service, lanes=request_classes, members=[], allowance=quota)
        work = [msgspec.structs.replace(day.clients.work[0], ms=50, cv=1.0)]
        clients = msgspec.structs.replace(
            day.clients,
            rate=load * cores * units / 0.05,
            work=work,
            retries=0,
            connections=2000,
            try_share=1.0,
        )
        endpoint_settings = msgspec.structs.replace(
            day.units, count=units, cores=cores, waiting_room=10**6, speed_spread=0, errors=0.0, zones=["a"]
        )
        no_offers = msgspec.structs.replace(day.desk, offers=[])
        day = msgspec.structs.replace(
            day,
            service=service,
            clients=clients,
            units=endpoint_settings,
            relays=1,
            seconds=1200.0 / units,
            events=[],
            desk=no_offers,
        )
        fleet = SimulatedFleet(day, 5, policy, silent=True, hop=1e-6)
        fleet.demand._draw = lambda work: fleet.demand._rng.expovariate(1000 / work.ms)  # type: ignore[method-assign]
        times = fleet.run().counts.times
        return sum(times) / len(times) / 0.05

    def test_one_server(self) -> None:
        for utilization in (0.5, 0.7):
            expected = 1 / (1 - utilization)  # M/M/1
            self.assertAlmostEqual(self.relative_latency(1, utilization, LeastOfAll) / expected, 1.0, delta=0.08)

    def test_many_servers(self) -> None:
        cores, utilization = 4, 0.8
        offered = cores * utilization  # M/M/c by Erlang's C formula
        last = offered**cores / factorial(cores) / (1 - utilization)
        waits = last / (sum(offered**n / factorial(n) for n in range(cores)) + last)
        expected = 1 + waits / (cores * (1 - utilization))
        self.assertAlmostEqual(self.relative_latency(cores, utilization, LeastOfAll) / expected, 1.0, delta=0.08)

    def test_two_random_choices(self) -> None:
        utilization, units = 0.8, 40  # Mitzenmacher 1996: the mean latency as the number of servers grows
        expected = sum(utilization ** (2**i - 2) for i in range(1, 12))
        self.assertAlmostEqual(self.relative_latency(1, utilization, LeastOfTwo, units) / expected, 1.0, delta=0.08)


PLAN = """
experiment: {
	name: "tiny", day: "crash"
	set: {seconds: 4, units: count: 4}
	factors: [{name: "load", levels: [
		{name: "low", set: clients: rate: 30}, {name: "high", set: clients: rate: 60},
	]}]
	policies: ["lanelead", "random"]
	seeds: {least: 2, most: 4}
	stop: {measure: "service", half_width: 1e-9}
}
"""


class Experiments(unittest.TestCase):
    """Experiment plans: running, resuming, reporting and rejecting invalid ones."""

    def call(self, *args: str) -> tuple[int, str]:
        """Run an experiment command, and return its exit code and output."""
        result = CliRunner().invoke(main, ["experiment", *args])
        return result.exit_code, result.output

    def test_an_experiment_runs_resumes_after_a_kill_and_reports(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            plan, out, html = Path(name, "plan.cue"), Path(name, "r.db"), Path(name, "r.html")
            plan.write_text(PLAN)
            code, output = self.call("run", str(plan), "-o", str(out), "--procs", "2")
            self.assertEqual(code, 0, output)
            before = read(out)
            db = sqlite3.connect(out)  # as after a kill: succeeded runs are missing
            db.execute("DELETE FROM runs WHERE seed = 2 AND policy = 'random'")
            db.commit()
            db.close()
            self.assertEqual(self.call("run", str(plan), "-o", str(out), "--procs", "2")[0], 0)
            after = read(out)
            for key, seeds in before[1].items():
                for seed, found in seeds.items():
                    again = dict(after[1][key][seed], cpu_s=0.0)
                    self.assertEqual(again, dict(found, cpu_s=0.0))
            self.assertEqual(self.call("report", str(out), "-o", str(html))[0], 0)
            text = html.read_text()
            self.assertIn("<svg", text)
            self.assertNotIn(
                "http://",
                text.replace("http://www.w3.org", "")
                .replace("http://purl.org", "")
                .replace("http://creativecommons.org", ""),
            )
            plan.write_text(PLAN.replace("rate: 30", "rate: 31"))
            code, output = self.call("run", str(plan), "-o", str(out))
            self.assertEqual((code, "another plan" in output), (2, True))

    def test_invalid_plans_are_rejected_with_file_and_line(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            plan = Path(name, "plan.cue")
            for old, new, output in (
                ('"random"', '"best"', "one of lanelead, random"),
                ('"crash"', '"no-such"', "a scenario's name or file"),
                ("units: count", "units: cuont", "a field of the scenario"),
                ('measure: "service"', 'measure: "joy"', "one of service"),
                ("least: 2", "least: 9", "no more than seeds.most"),
                ('"tiny"', '""', "name"),
            ):
                plan.write_text(PLAN.replace(old, new))
                code, shown = self.call("run", str(plan), "-o", str(Path(name, "r.db")))
                self.assertEqual(code, 2, (new, shown))
                self.assertIn(output, shown)
                self.assertRegex(shown, r"plan\.cue:\d+")

    def test_intervals_use_students_t_and_comparisons_pair_seeds(self) -> None:
        mean, half = interval([1.0, 2.0, 3.0])
        self.assertAlmostEqual(mean, 2.0)
        self.assertAlmostEqual(half, 4.303 / 3**0.5, places=3)
        rows = {
            ("c", "a"): {n: {"m": n + 0.5} for n in (1, 2, 3)},
            ("c", "b"): {n: {"m": float(n)} for n in (1, 2, 4)},
        }
        self.assertEqual(paired(rows, "c", "a", "b", "m"), (0.5, 0.0, 2))

    def test_a_runs_measures_equal_those_of_the_verifier(self) -> None:
        with_verifier, without_verifier = (
            measures(short(), "lanelead", 2, verify_rules) for verify_rules in (True, False)
        )
        self.assertEqual(with_verifier["service"], without_verifier["service"])
        self.assertEqual(with_verifier["rules_broken"], 0.0)


if __name__ == "__main__":
    unittest.main()
