"""Tests of settings files: what is read and what is rejected; bad text raises SettingsError and nothing else."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from lanelead.settings.cue_evaluation import Evaluator, to_plain
from lanelead.settings.cue_syntax import parse
from lanelead.settings.errors import SettingsError
from lanelead.settings.read import read, read_text
from lanelead.settings.relay_settings import RelaySettings
from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.scenarios.commands import scripts

GOOD = """
relay: {
	number: 0, relays: 3, zone: "north"
	listen: port: 0
	service: lanes: [{name: "a", methods: ["GET"], prefix: "/", repeat: "pure"
		expected_time_ms: 100, outer_limit_ms: 1000}]
	roster: address: port: 7001
	desk: address: port: 7002
}
"""


def relay(text: str = GOOD) -> RelaySettings:
    record = read_text(text, "f")
    assert isinstance(record, RelaySettings)
    return record


def value(text: str) -> Any:
    evaluator = Evaluator("f", {})
    whole = evaluator.file_value(parse(text, "f"))
    faults = evaluator.faults
    result = to_plain(whole, "", faults, {})
    if faults:
        raise SettingsError(faults)
    return result


class ReadSettings(unittest.TestCase):
    def faults(self, text: str) -> list[str]:
        with self.assertRaises(SettingsError) as caught:
            read_text(text, "f")
        return [str(fault) for fault in caught.exception.faults]

    def test_defaults_are_filled_in_and_the_record_is_typed(self) -> None:
        record = relay()
        self.assertEqual((record.service.allowance.trips, record.listen.host), (3, "127.0.0.1"))
        self.assertEqual(record.service.lanes[0].to_parameters().latency_objective, 1000)

    def test_all_faults_are_reported_with_line_column_field_and_expected_value(self) -> None:
        text = GOOD.replace("relays: 3", 'relays: "x"').replace("number: 0", "number: -1")
        text = text.replace('repeat: "pure"', 'repeat: "puer"').replace("zone:", "zoen:")
        found = self.faults(text)
        self.assertEqual(len(found), 4)
        self.assertIn('f:3:22: relay.relays: found "x", expected int & >=1 & <=65536', found[1])
        self.assertIn("an unknown field", found[2])
        self.assertIn('"pure" | "receipted" | "effectful"', found[3])

    def test_a_missing_field_is_named(self) -> None:
        self.assertIn("relay.zone: found nothing", self.faults(GOOD.replace(', zone: "north"', ""))[0])

    def test_fields_that_contradict_each_other_are_rejected(self) -> None:
        self.assertIn("no more than outer_limit_ms", self.faults(GOOD.replace("ms: 100,", "ms: 2000,"))[0])
        self.assertIn("less than relay.relays", self.faults(GOOD.replace("number: 0", "number: 3"))[0])
        tenants = 'service: members: [{name: "m", quota: 1, share: 1, networks: ["10.0.0.0/40"]}]\n\tservice: lanes'
        self.assertIn("an IP network", self.faults(GOOD.replace("service: lanes", tenants))[0])
        trial = "service: trial: caps: [0.5, 0.1, 1, 1]\n\tservice: lanes"
        self.assertIn("never fall", self.faults(GOOD.replace("service: lanes", trial))[0])

    def test_membership_without_seeds_reachable_address_or_region_of_its_zone_is_rejected(self) -> None:
        peers = 'peers: {listen: {host: "0.0.0.0", port: 1}}'
        regions = '[{name: "r", zones: ["south", "east"]}, {name: "q", zones: ["east"]}]'
        text = GOOD.replace("roster:", f"{peers}\n\tcircle: regions: {regions}\n\troster:")
        reported = "\n".join(self.faults(text))
        for fault in ("no seeds and no peers", "at which others reach it", "in one region only", "'north'"):
            self.assertIn(fault, reported)

    def test_a_syntax_error_is_reported_with_its_position(self) -> None:
        self.assertIn("f:2:9:", self.faults("relay: {\n\tnumber:: 3\n}")[0])
        self.assertIn("a comma or a new line", self.faults("relay: {number: 0 relays: 1}")[0])
        self.assertIn("levels at most", self.faults("relay: " + "{a: " * 60 + "1" + "}" * 60)[0])

    def test_an_unreadable_file_raises_a_settings_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "f.cue")
            path.write_bytes(b"\xff\xfe")
            for name in (path, Path(folder, "absent.cue")):
                with self.assertRaises(SettingsError):
                    read(name)

    def test_all_shipped_scenarios_are_valid(self) -> None:
        for path in scripts().values():
            self.assertIsInstance(read(path), Scenario)


class SettingsLanguage(unittest.TestCase):
    def test_values_unify_and_references_resolve_to_the_innermost_name(self) -> None:
        text = 'a: >=1 & <=5\na: 3\nb: {c: a, d: c}\n#D: {x: int, y: string | *"z"}\n'
        text += 'e: #D & {x: 0x10}\nf: "g": [1, 2K]'
        found = value(text)
        self.assertEqual(found["b"], {"c": 3, "d": 3})
        self.assertEqual((found["e"], found["f"]), ({"x": 16, "y": "z"}, {"g": [1, 2000]}))

    def test_reference_cycles_are_rejected(self) -> None:
        for text in ("a: b\nb: a", "a: {b: a}", "#A: {x: #A}\nv: #A"):
            with self.assertRaises(SettingsError):
                value(text)

    def test_closed_structs_patterns_and_disjunctions(self) -> None:
        self.assertEqual(value('#M: {[string]: int}\nm: #M & {a: 1, "b c": 2}')["m"], {"a": 1, "b c": 2})
        self.assertEqual(value('a: ({k: "x", v: int} | {k: "y", w: int}) & {k: "y", w: 1}')["a"], {"k": "y", "w": 1})
        for text in (
            "#A: {x: 1}\na: #A & {y: 2}",
            'a: ("x" | "y") & "z"',
            "a: true & 1",
            "a: int & 1.5",
            "a: [1] & [1, 2]",
        ):
            with self.assertRaises(SettingsError, msg=text):
                value(text)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.recursive(
            st.none()
            | st.booleans()
            | st.integers(-(10**12), 10**12)
            | st.floats(allow_nan=False, allow_infinity=False)
            | st.text(max_size=8),
            lambda inner: st.lists(inner, max_size=4)
            | st.dictionaries(st.text("abcxyz_# -", min_size=1, max_size=6), inner, max_size=4),
            max_leaves=12,
        )
    )
    def test_json_is_read_unchanged(self, data: Any) -> None:
        self.assertEqual(value(json.dumps({"top": data}, ensure_ascii=False)), {"top": data})

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(st.text(alphabet='ab#_:{}[]"|&*<>=!~.,()?/\n\t 0123456789-+eK\\é', max_size=60))
    def test_arbitrary_text_raises_nothing_but_settings_errors(self, text: str) -> None:
        for read_ in (lambda: value(text), lambda: read_text(GOOD + text, "f")):
            try:
                read_()
            except SettingsError as error:
                self.assertTrue(all(fault.position.line >= 1 and fault.expected for fault in error.faults))


if __name__ == "__main__":
    unittest.main()
