"""A short scenario on loopback, run and verified twice, and the import of the bench's days."""

from __future__ import annotations

import copy
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec
from click.testing import CliRunner

from lanelead.cli import main
from lanelead.settings.read import read_text
from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.scenarios.bench_import import (
    EVENT_CONVERTERS,
    InvalidBenchDayError,
    convert_bench_day,
    script_text,
)
from lanelead.testbed.scenarios.commands import load

SHORT = """
day: #Town & {
	name: "short"
	says: "two stages of a build, a unit killed, one drained, a relay killed"
	seconds: 7
	units: count: 6
	clients: rate: 50
	slack_ms: 2000
	service: duties: early_ms: 100
	desk: offers: [{at: 0.5}]
	events: [
		{at: 1, kind: "kill", unit: 3, for: 1.5}
		{at: 1.5, kind: "drain", unit: 5, for: 1}
		{at: 2, kind: "relay_kill", relay: 1, for: 0.5}
	]
}
""".replace("}\n\t\t{", "},\n\t\t{")


class ScenarioOnLoopback(unittest.TestCase):
    """The commands `scenario play` and `scenario judge`, under their earlier name `day`."""

    def test_a_short_scenario_keeps_the_rules_and_its_recording_gives_the_same_verdict_again(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "short.cue").write_text(SHORT)
            args = ["day", "play", str(folder / "short.cue"), "--quiet", "--capture", str(folder / "capture")]
            first = CliRunner().invoke(main, [*args, "--verdict", str(folder / "1.json")])
            self.assertEqual(first.exit_code, 0, first.output)
            again = CliRunner().invoke(
                main, ["day", "judge", str(folder / "capture"), "--verdict", str(folder / "2.json")]
            )
            self.assertEqual(again.exit_code, 0)
            one, two = (json.loads((folder / f"{n}.json").read_text()) for n in (1, 2))
            self.assertEqual(one, two)
            for rule in ("answers", "effects", "drains", "exposure"):
                self.assertGreater(one["rules"][rule]["seen"], 0, rule)
            self.assertGreater(one["done"], 100)

    def test_invalid_input_exits_with_2_and_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name, "bad.cue")
            path.write_text(SHORT.replace('"kill"', '"kil"'))
            for args in (
                ["check", str(path)],
                ["day", "play", str(path)],
                ["day", "judge", name],
                ["relay", "--settings", str(path)],
                ["day", "play", "no-such-day"],
            ):
                found = CliRunner().invoke(main, args)
                self.assertEqual(found.exit_code, 2, args)
                self.assertTrue(found.output or found.stderr)


def bench_day(*faults: dict[str, Any]) -> dict[str, Any]:
    """A day in the bench's format, written after its published fields."""
    request_class = {
        "share": 0.6,
        "work": 200000.0,
        "aim": 1500000,
        "deadline": 6000000,
        "worth": 1.0,
        "late_worth": 0.2,
        "group": "all",
        "window": 5000000,
        "stream": False,
        "cv": 0.6,
    }
    kind = {"cores": 2, "queue": 30, "cold_from": 0.5, "cold": 3000000, "error_rate": 0.0003}
    return {
        "site": "s",
        "kind": "trouble",
        "length": 60000000,
        "zones": ["a", "b"],
        "drain_grace": 2000000,
        "fall_multiple": 4.0,
        "fall_for": 1000000,
        "traffic": {"load": 0.6, "keys": 0},
        "clients": {"retries": 1, "try_share": 0.6, "honour": 0.8, "backoff_us": 2000.0},
        "discovery": {"add": 1000000, "silent_notice": 10000000},
        "allow": {"max_attempts": 3, "cancel": True, "probes": True, "second_copies": True},
        "classes": [
            {"name": "read", "effect": "safe", **request_class},
            {"name": "file", "effect": "unsafe", **request_class},
        ],
        "tenants": [{"name": "m", "share": 1.0, "quota": 0.8}],
        "tiers": [{"kinds": [kind], "report_period": 200000, "stated_cold_from": 0.4, "stated_cold": 4000000}],
        "balancers": [{}] * 150,
        "fam": {
            "places": 20,
            "boot": 2000000,
            "told_late": 500000,
            "push": 2000000,
            "stages": [0.1, 1.0],
            "caps": [0.12, 1.0],
            "free": 3.0,
            "window": 3000000,
            "by_class": False,
            "guarded": 0,
            "one_way": False,
            "beside": True,
            "votes": [0.0, 0.2, 0.0],
            "control": "any",
            "bake": 1000000,
            "step": 0,
            "call_timeout": 800000,
            "vote_life": 6000000,
            "calls_per_s": 200.0,
            "behind_price": 0.35,
            "harm_price": 6.0,
            "flag_share": 0.0,
            "releases": [{"at": 5000000, "bad": "class", "class": 1, "speed": 1.0, "strength": 0.5}],
        },
        "troubles": list(faults),
    }


def bench_fault(kind: str) -> dict[str, Any]:
    """A fault in the bench's format."""
    return {"kind": kind, "at": 9000000, "len": 5000000, "size": 0.5, "extra": 0.5, "on": [1, 2], "which": 0}


class FromBench(unittest.TestCase):
    """The conversion of the bench's days into scenarios."""

    def test_every_known_fault_becomes_an_event_of_a_valid_script(self) -> None:
        for kind in EVENT_CONVERTERS:
            record, changes = convert_bench_day(msgspec.json.encode(bench_day(bench_fault(kind))), "d")
            day = read_text(script_text(record, changes), "d")
            assert isinstance(day, Scenario)
            self.assertEqual(len(day.events), 1, kind)
            self.assertIn("14 units in place of 20", changes)
            self.assertEqual((day.desk.offers[0].bad, day.desk.offers[0].lane), ("lane", "file"))

    def test_an_unknown_fault_is_listed_by_name(self) -> None:
        _, changes = convert_bench_day(msgspec.json.encode(bench_day(bench_fault("meteor"))), "d")
        self.assertIn("cannot be carried over: meteor", changes)

    def test_every_fault_of_the_bench_has_a_built_in_scenario(self) -> None:
        days = [
            "crash",
            "vanish",
            "slow",
            "fast-errors",
            "neighbour",
            "burst",
            "tenant-burst",
            "hot-key",
            "hot-caller",
            "heavy-tail",
            "balancer-roll",
            "control-down",
            "peer-down",
            "false-reports",
            "give-up",
            "retry-abuse",
            "bad-requests",
            "slow-class",
            "idle-reap",
            "conn-squeeze",
            "bad-build-errors",
        ]
        for name in days:
            self.assertTrue(load(name).says)
        self.assertEqual(
            set(EVENT_CONVERTERS) | {"bad_build"}, {name.replace("-", "_") for name in days[:-1]} | {"bad_build"}
        )

    def test_a_missing_or_invalid_field_raises_the_documented_error(self) -> None:
        valid_day = bench_day(bench_fault("crash"))

        def check_invalid_values(node: Any, path: list[Any]) -> None:
            for key in list(node.keys()) if isinstance(node, dict) else range(len(node)):
                values: list[Any] = [None, "x", []]
                for value in values:
                    changed_day = copy.deepcopy(valid_day)
                    node_to_change: Any = changed_day
                    for step in path:
                        node_to_change = node_to_change[step]
                    node_to_change[key] = value
                    try:
                        record, _ = convert_bench_day(msgspec.json.encode(changed_day), "d")
                    except InvalidBenchDayError as error:
                        self.assertTrue(str(error))
                    else:
                        self.assertIn("day", record)
                if isinstance(node[key], dict | list) and key != "balancers":
                    check_invalid_values(node[key], [*path, key])

        check_invalid_values(valid_day, [])
        for text in (b"", b"[]", b"1", b"{"):
            with self.assertRaises(InvalidBenchDayError):
                convert_bench_day(text, "d")


if __name__ == "__main__":
    unittest.main()
