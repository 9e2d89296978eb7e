"""The verifier is shown a planted breach of each rule, and each time the same recording without it."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec

from lanelead.migrations.runner import Goal
from lanelead.protocols.migrations import LogEntry
from lanelead.settings.scenario_settings import MigrationScenario, SpilloverOverride
from lanelead.testbed.emulators.event_recording import BadCapture
from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.verifier import verify
from tests.recording_writer import RecordingWriter
from tests.test_migration_runner import SEQUENTIAL_PLAN


class Case(unittest.TestCase):
    def check(self, recording: RecordingWriter, rule: str, word: str, many: int | None = None) -> Finding:
        verdict = recording.verified()
        finding = verdict.rules[rule]
        self.assertEqual(finding.word, word, finding.cases)
        if many is not None:
            self.assertEqual(finding.broken, many, finding.cases)
        others = [name for name, other in verdict.rules.items() if name != rule and other.broken]
        self.assertEqual(others, [])
        return finding


class Answers(Case):
    def test_one_in_time_is_kept_and_each_way_to_fail_is_seen(self) -> None:
        recording = RecordingWriter()
        recording.served(1.0)
        self.check(recording, "answers", "kept")
        recording.ask(2.0)
        recording.note("clients", 4.5, "gone", id="op-2.1", why="silent")
        self.check(recording, "answers", "broken", 1)
        late = recording.ask(3.0)
        recording.answer(4.5, late)
        self.check(recording, "answers", "broken", 2)
        twice = recording.served(5.0)
        recording.answer(5.2, twice, "shed")
        self.check(recording, "answers", "broken", 3)
        recording.note("clients", 6.0, "extra", id=twice, relay=0, bytes=10)
        recording.answer(6.1, recording.ask(6.0), echo="op-1.1")
        self.assertEqual(self.check(recording, "answers", "broken").broken, 5)

    def test_what_a_killed_relay_held_is_excused_and_what_a_stopped_one_held_is_not(self) -> None:
        for event, word in (("relay_kill", "unproven"), ("relay_stop", "broken")):
            recording = RecordingWriter()
            ident = recording.ask(1.0)
            recording.note("conductor", 1.5, event, relay=0)
            recording.note("clients", 1.6, "gone", id=ident, why="reset")
            self.check(recording, "answers", word)


class Effects(Case):
    def test_an_effectful_lookup_runs_once(self) -> None:
        recording = RecordingWriter()
        recording.served(1.0, "offer-submit")
        self.check(recording, "effects", "kept")
        ident = recording.ask(2.0, "offer-submit")
        recording.trip(2.01, ident, "a", ran=False, request_class="offer-submit")
        recording.trip(2.02, ident, "b", request_class="offer-submit")
        recording.answer(2.1, ident)
        self.check(recording, "effects", "kept")
        recording.trip(2.03, ident, "c", request_class="offer-submit")
        self.check(recording, "effects", "broken", 2)

    def test_a_shed_after_a_trip_that_may_have_run(self) -> None:
        for ran, word in ((False, "kept"), (True, "broken")):
            recording = RecordingWriter()
            ident = recording.ask(1.0, "offer-submit")
            recording.trip(1.01, ident, ran=ran, request_class="offer-submit")
            recording.answer(1.1, ident, "shed")
            self.check(recording, "effects", word)

    def test_a_receipted_lookup_is_repeated_in_its_zone_and_while_it_is_remembered(self) -> None:
        for unit, after, word in (("c", 0.5, "kept"), ("b", 0.5, "broken"), ("c", 3.5, "broken")):
            recording = RecordingWriter()
            ident = recording.ask(1.0, "offer-save", left=4.0)
            recording.trip(1.01, ident, "a", request_class="offer-save")
            recording.note(
                f"unit-{unit}",
                1.01 + after,
                "trip",
                id=ident,
                op=ident[:-2],
                lane="offer-save",
                relay=0,
                key="",
                work=0.05,
                build=1,
                warmth=1.0,
            )
            recording.answer(4.8, ident)
            self.check(recording, "effects", word)


class Drains(Case):
    def test_a_trip_after_the_grace(self) -> None:
        for t, word in ((3.9, "kept"), (4.5, "broken")):
            recording = RecordingWriter()
            recording.told(2.0, "changes", a="draining")
            recording.served(t)
            self.check(recording, "drains", word)

    def test_left_out_of_a_full_list_is_gone_and_ready_again_is_ready(self) -> None:
        recording = RecordingWriter()
        recording.told(2.0, "full", b="ready", c="ready")
        recording.served(5.0)
        self.check(recording, "drains", "broken", 1)
        recording = RecordingWriter()
        recording.told(2.0, "full", b="ready", c="ready")
        recording.told(3.0, "changes", a="ready")
        recording.served(5.0)
        self.check(recording, "drains", "kept")

    def test_what_a_unit_read_after_it_stood_still_proves_nothing(self) -> None:
        recording = RecordingWriter()
        recording.told(2.0, "changes", a="draining")
        recording.note("processes", 1.5, "stop", name="a")
        recording.note("processes", 4.6, "cont", name="a")
        recording.served(4.7)
        self.check(recording, "drains", "kept")


class Cold(Case):
    def test_more_than_the_multiple_of_what_it_can_do(self) -> None:
        for work, word in ((0.05, "kept"), (0.4, "broken")):
            recording = RecordingWriter()
            recording.up("d", 1.0, cold=3.0)
            recording.told(1.0, "changes", d="ready")
            for place in range(20):
                recording.served(1.2 + place * 0.02, unit="d", work=work)
            self.check(recording, "cold", word)

    def test_one_that_fell_over(self) -> None:
        recording = RecordingWriter()
        recording.note("unit-a", 2.0, "fell", work=5.0, warmth=0.5)
        self.check(recording, "cold", "broken", 1)


class Exposure(Case):
    def trial(self, cap: float = 0.1) -> RecordingWriter:
        recording = RecordingWriter()
        recording.up("n", 1.0, build=2)
        recording.news(1.0, 2, 0, "trial", cap)
        return recording

    def test_the_cap_of_what_it_took(self) -> None:
        for many, word in ((4, "kept"), (10, "broken")):
            recording = self.trial()
            for place in range(40):
                recording.served(4.0 + place * 0.05)
            for place in range(many):
                recording.served(6.1 + place * 0.01, unit="n", build=2)
            self.check(recording, "exposure", word)

    def test_a_build_not_yet_announced_counts_as_in_the_first_stage(self) -> None:
        recording = self.trial()
        recording.up("m", 1.0, build=3)
        for place in range(8):
            recording.served(6.1 + place * 0.01, unit="m", build=3)
        self.check(recording, "exposure", "broken")

    def test_closed_after_the_grace_and_open_once_released(self) -> None:
        for phase, cap, t, word in (
            ("reverting", 0.0, 6.5, "kept"),
            ("reverting", 0.0, 8.5, "broken"),
            ("released", 1.0, 8.5, "kept"),
        ):
            recording = self.trial()
            recording.served(4.0, unit="n", build=2)
            recording.news(6.0, 2, 0, phase, cap)
            recording.served(t, unit="n", build=2)
            self.check(recording, "exposure", word)

    def test_guarded_stages_and_keys_that_stay(self) -> None:
        for guarded, word in ((0, "kept"), (1, "broken")):
            recording = self.trial()
            trial = msgspec.structs.replace(recording.day.service.trial, guarded=guarded)
            recording.day = msgspec.structs.replace(
                recording.day, service=msgspec.structs.replace(recording.day.service, trial=trial)
            )
            recording.served(6.0, "offer-submit", "n", build=2)
            self.check(recording, "exposure", word)
        for keys_stay, word in ((False, "kept"), (True, "broken")):
            recording = self.trial()
            trial = msgspec.structs.replace(recording.day.service.trial, keys_stay=keys_stay)
            recording.day = msgspec.structs.replace(
                recording.day, service=msgspec.structs.replace(recording.day.service, trial=trial)
            )
            first, second = recording.ask(5.0, key="k"), recording.ask(6.0, key="k")
            recording.trip(5.01, first, "n", build=2)
            recording.answer(5.1, first, build="2")
            recording.trip(6.01, second, "a")
            recording.answer(6.1, second)
            self.check(recording, "exposure", word)


class Zones(Case):
    def town(self) -> RecordingWriter:
        recording = RecordingWriter()
        zones = msgspec.structs.replace(recording.day.units, zones=["north", "south"], count=4)
        recording.day = msgspec.structs.replace(recording.day, units=zones, spill=SpilloverOverride(0.5, 1.0, 2.0))
        return recording

    def test_trips_outside_the_own_zone_are_held_against_the_limit(self) -> None:
        # Ten lookups a second, as many units there as here: five a second may spill, half as many more by
        # chance.
        for every, word in ((4, "kept"), (1, "broken")):
            recording = self.town()
            for place in range(150):
                recording.served(1 + place * 0.1, unit="b" if place > 100 and place % every == 0 else "a")
            self.check(recording, "spill", word)

    def test_a_returning_unit_is_held_against_what_it_can_do_as_warm_as_it_is(self) -> None:
        for work, word in ((0.05, "kept"), (0.15, "broken")):
            recording = self.town()
            recording.up("d", 1.0, cold=3.0)
            recording.told(1.0, "changes", d="ready")
            for place in range(30):
                recording.served(1.2 + place * 0.05, unit="d", work=work)
            self.check(recording, "returns", word)


class OfSteps(Case):
    """A plan of two steps, of which build 2 needs the first, run through once."""

    def town(self, *rest: tuple[float, LogEntry]) -> RecordingWriter:
        recording = RecordingWriter()
        recording.day = msgspec.structs.replace(recording.day, steps=MigrationScenario(0, []))
        recording.up("d", 0.0, build=2)
        rows = [
            (1.0, LogEntry("plan", text=Goal(SEQUENTIAL_PLAN).plan_json)),
            (2.0, LogEntry("intent", "a")),
            (3.0, LogEntry("done", "a")),
            *rest,
        ]
        for seq, (t, entry) in enumerate(rows, 1):
            facts = {"seq": seq, "token": 1, "runner": "r", "at_ms": 0.0}
            recording.note("store", t, "entry", entry=msgspec.to_builtins(entry), **facts)
        return recording

    def effect(self, recording: RecordingWriter, t: float, part: int = 0, parts: int = 1, intent: int = 2) -> None:
        said = {"parts": parts, "finished": True}
        recording.note("store", t, "effect_asked", status=200, intent=intent, part=part, token=1, said=said)

    def test_a_run_by_the_rules_is_kept(self) -> None:
        recording = self.town()
        self.effect(recording, 2.5)
        recording.note("store", 3.5, "filed", build=2, op="x", ready=True, why="", seq=3)
        recording.served(3.6, unit="d")
        self.check(recording, "steps", "kept")

    def test_each_breach_is_seen(self) -> None:
        def filed(recording: RecordingWriter) -> None:
            recording.note("store", 1.5, "filed", build=2, op="x", ready=False, why="no such column", seq=1)

        for rest, action in (
            ((), filed),
            ((), lambda recording: recording.served(1.5, unit="d", build=2)),
            ((), lambda recording: self.effect(recording, 3.5)),
            ((), lambda recording: self.effect(recording, 1.5)),
            ((), lambda recording: self.effect(recording, 2.5, parts=2)),
            (((4.0, LogEntry("done", "a")),), lambda recording: None),
            (((4.0, LogEntry("intent", "b")),), lambda recording: None),
        ):
            recording = self.town(*rest)
            action(recording)
            self.check(recording, "steps", "broken")


class Captures(unittest.TestCase):
    def test_nothing_at_stake_is_unproven(self) -> None:
        verdict = RecordingWriter().verified()
        self.assertEqual({finding.word for finding in verdict.rules.values()}, {"unproven"})

    def test_a_torn_last_line_is_passed_over_and_any_other_is_refused(self) -> None:
        recording = RecordingWriter()
        recording.served(1.0)
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            with self.assertRaises(BadCapture):
                verify(folder)
            recording.write(folder)
            file = folder / "clients.ndjson"
            whole = file.read_bytes()
            file.write_bytes(whole + b'{"t": 3, "ev"')
            self.assertEqual(verify(folder).lookups, 1)
            file.write_bytes(b'{"t": 3, "ev"\n' + whole)
            with self.assertRaises(BadCapture):
                verify(folder)


if __name__ == "__main__":
    unittest.main()
