"""Recordings with a planted breach of each rule, and the same recordings without it, for the verifier."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec

from lanelead.migrations.runner import Goal
from lanelead.protocols.migrations import LogEntry
from lanelead.settings.scenario_settings import MigrationScenario, SpilloverOverride
from lanelead.testbed.emulators.event_recording import InvalidRecordingError
from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.verifier import verify
from tests.recording_writer import RecordingWriter
from tests.test_migration_runner import SEQUENTIAL_PLAN


class RuleCase(unittest.TestCase):
    """Base of the tests of one rule each."""

    def check(self, recording: RecordingWriter, rule: str, word: str, broken: int | None = None) -> Finding:
        """Verify a recording, and check one rule's result; no other rule may be broken."""
        verdict = recording.verified()
        finding = verdict.rules[rule]
        self.assertEqual(finding.word, word, finding.cases)
        if broken is not None:
            self.assertEqual(finding.broken, broken, finding.cases)
        others = [name for name, other in verdict.rules.items() if name != rule and other.broken]
        self.assertEqual(others, [])
        return finding


class FinalResponses(RuleCase):
    """Rule 1: one final response in time."""

    def test_a_response_in_time_is_kept_and_each_breach_is_found(self) -> None:
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

    def test_requests_of_a_killed_relay_are_excused_and_those_of_a_stopped_one_are_not(self) -> None:
        for event, word in (("relay_kill", "unproven"), ("relay_stop", "broken")):
            recording = RecordingWriter()
            request_id = recording.ask(1.0)
            recording.note("conductor", 1.5, event, relay=0)
            recording.note("clients", 1.6, "gone", id=request_id, why="reset")
            self.check(recording, "answers", word)


class Effects(RuleCase):
    """Rule 2: no effect twice."""

    def test_a_non_idempotent_request_runs_once(self) -> None:
        recording = RecordingWriter()
        recording.served(1.0, "offer-submit")
        self.check(recording, "effects", "kept")
        request_id = recording.ask(2.0, "offer-submit")
        recording.attempt(2.01, request_id, "a", ran=False, request_class="offer-submit")
        recording.attempt(2.02, request_id, "b", request_class="offer-submit")
        recording.answer(2.1, request_id)
        self.check(recording, "effects", "kept")
        recording.attempt(2.03, request_id, "c", request_class="offer-submit")
        self.check(recording, "effects", "broken", 2)

    def test_a_rejection_after_an_attempt_that_may_have_run(self) -> None:
        for ran, word in ((False, "kept"), (True, "broken")):
            recording = RecordingWriter()
            request_id = recording.ask(1.0, "offer-submit")
            recording.attempt(1.01, request_id, ran=ran, request_class="offer-submit")
            recording.answer(1.1, request_id, "shed")
            self.check(recording, "effects", word)

    def test_a_keyed_request_is_repeated_in_its_zone_and_while_its_key_is_remembered(self) -> None:
        for unit, after, word in (("c", 0.5, "kept"), ("b", 0.5, "broken"), ("c", 3.5, "broken")):
            recording = RecordingWriter()
            request_id = recording.ask(1.0, "offer-save", left=4.0)
            recording.attempt(1.01, request_id, "a", request_class="offer-save")
            recording.note(
                f"unit-{unit}",
                1.01 + after,
                "trip",
                id=request_id,
                op=request_id[:-2],
                lane="offer-save",
                relay=0,
                key="",
                work=0.05,
                build=1,
                warmth=1.0,
            )
            recording.answer(4.8, request_id)
            self.check(recording, "effects", word)


class Drains(RuleCase):
    """Rule 3: no attempts at endpoints that drain."""

    def test_an_attempt_after_the_grace(self) -> None:
        for t, word in ((3.9, "kept"), (4.5, "broken")):
            recording = RecordingWriter()
            recording.told(2.0, "changes", a="draining")
            recording.served(t)
            self.check(recording, "drains", word)

    def test_an_endpoint_missing_from_a_full_list_is_gone_and_may_become_ready_again(self) -> None:
        recording = RecordingWriter()
        recording.told(2.0, "full", b="ready", c="ready")
        recording.served(5.0)
        self.check(recording, "drains", "broken", 1)
        recording = RecordingWriter()
        recording.told(2.0, "full", b="ready", c="ready")
        recording.told(3.0, "changes", a="ready")
        recording.served(5.0)
        self.check(recording, "drains", "kept")

    def test_an_attempt_read_by_an_endpoint_that_was_stopped_is_no_breach(self) -> None:
        recording = RecordingWriter()
        recording.told(2.0, "changes", a="draining")
        recording.note("processes", 1.5, "stop", name="a")
        recording.note("processes", 4.6, "cont", name="a")
        recording.served(4.7)
        self.check(recording, "drains", "kept")


class SlowStart(RuleCase):
    """Rule 4: endpoints in their slow start are not overloaded."""

    def test_more_work_than_the_multiple_of_the_capacity(self) -> None:
        for work, word in ((0.05, "kept"), (0.4, "broken")):
            recording = RecordingWriter()
            recording.up("d", 1.0, cold=3.0)
            recording.told(1.0, "changes", d="ready")
            for place in range(20):
                recording.served(1.2 + place * 0.02, unit="d", work=work)
            self.check(recording, "cold", word)

    def test_an_endpoint_that_fell_over(self) -> None:
        recording = RecordingWriter()
        recording.note("unit-a", 2.0, "fell", work=5.0, warmth=0.5)
        self.check(recording, "cold", "broken", 1)


class Exposure(RuleCase):
    """Rule 5: the exposure limit of canary builds."""

    def canary_recording(self, cap: float = 0.1) -> RecordingWriter:
        """A recording with a canary endpoint `n` of build 2."""
        recording = RecordingWriter()
        recording.up("n", 1.0, build=2)
        recording.rollout_state(1.0, 2, 0, "trial", cap)
        return recording

    def test_the_exposure_limit(self) -> None:
        for many, word in ((4, "kept"), (10, "broken")):
            recording = self.canary_recording()
            for place in range(40):
                recording.served(4.0 + place * 0.05)
            for place in range(many):
                recording.served(6.1 + place * 0.01, unit="n", build=2)
            self.check(recording, "exposure", word)

    def test_a_build_not_yet_announced_counts_as_in_the_first_stage(self) -> None:
        recording = self.canary_recording()
        recording.up("m", 1.0, build=3)
        for place in range(8):
            recording.served(6.1 + place * 0.01, unit="m", build=3)
        self.check(recording, "exposure", "broken")

    def test_closed_after_the_grace_of_a_rollback_and_open_once_promoted(self) -> None:
        for phase, cap, t, word in (
            ("reverting", 0.0, 6.5, "kept"),
            ("reverting", 0.0, 8.5, "broken"),
            ("released", 1.0, 8.5, "kept"),
        ):
            recording = self.canary_recording()
            recording.served(4.0, unit="n", build=2)
            recording.rollout_state(6.0, 2, 0, phase, cap)
            recording.served(t, unit="n", build=2)
            self.check(recording, "exposure", word)

    def test_guarded_stages_and_keys_that_stay(self) -> None:
        for guarded, word in ((0, "kept"), (1, "broken")):
            recording = self.canary_recording()
            trial = msgspec.structs.replace(recording.day.service.trial, guarded=guarded)
            recording.day = msgspec.structs.replace(
                recording.day, service=msgspec.structs.replace(recording.day.service, trial=trial)
            )
            recording.served(6.0, "offer-submit", "n", build=2)
            self.check(recording, "exposure", word)
        for keys_stay, word in ((False, "kept"), (True, "broken")):
            recording = self.canary_recording()
            trial = msgspec.structs.replace(recording.day.service.trial, keys_stay=keys_stay)
            recording.day = msgspec.structs.replace(
                recording.day, service=msgspec.structs.replace(recording.day.service, trial=trial)
            )
            first, second = recording.ask(5.0, key="k"), recording.ask(6.0, key="k")
            recording.attempt(5.01, first, "n", build=2)
            recording.answer(5.1, first, build="2")
            recording.attempt(6.01, second, "a")
            recording.answer(6.1, second)
            self.check(recording, "exposure", word)


class ZoneRules(RuleCase):
    """The rules where relays prefer their zones."""

    def recording(self) -> RecordingWriter:
        """A recording with two zones and spillover."""
        recording = RecordingWriter()
        zones = msgspec.structs.replace(recording.day.units, zones=["north", "south"], count=4)
        recording.day = msgspec.structs.replace(recording.day, units=zones, spill=SpilloverOverride(0.5, 1.0, 2.0))
        return recording

    def test_attempts_outside_the_local_zone_stay_within_the_limit(self) -> None:
        # Ten requests a second and as many endpoints in each zone: five a second may spill, plus half as many for
        # random pacing.
        for interval, word in ((4, "kept"), (1, "broken")):
            recording = self.recording()
            for place in range(150):
                recording.served(1 + place * 0.1, unit="b" if place > 100 and place % interval == 0 else "a")
            self.check(recording, "spill", word)

    def test_a_returning_endpoint_is_sent_no_more_than_its_capacity(self) -> None:
        for work, word in ((0.05, "kept"), (0.15, "broken")):
            recording = self.recording()
            recording.up("d", 1.0, cold=3.0)
            recording.told(1.0, "changes", d="ready")
            for place in range(30):
                recording.served(1.2 + place * 0.05, unit="d", work=work)
            self.check(recording, "returns", word)


class Migrations(RuleCase):
    """The rules for a migration plan of two steps, where build 2 needs the first; one step is carried out."""

    def recording(self, *rest: tuple[float, LogEntry]) -> RecordingWriter:
        """A recording whose migration log has the first step done, and the entries `rest`."""
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
        """Record that a part of an intent was applied."""
        said = {"parts": parts, "finished": True}
        recording.note("store", t, "effect_asked", status=200, intent=intent, part=part, token=1, said=said)

    def test_a_valid_migration_is_kept(self) -> None:
        recording = self.recording()
        self.effect(recording, 2.5)
        recording.note("store", 3.5, "filed", build=2, op="x", ready=True, why="", seq=3)
        recording.served(3.6, unit="d")
        self.check(recording, "steps", "kept")

    def test_each_breach_is_found(self) -> None:
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
            recording = self.recording(*rest)
            action(recording)
            self.check(recording, "steps", "broken")


class Recordings(unittest.TestCase):
    """Incomplete recordings."""

    def test_a_rule_that_nothing_could_break_is_unproven(self) -> None:
        verdict = RecordingWriter().verified()
        self.assertEqual({finding.word for finding in verdict.rules.values()}, {"unproven"})

    def test_an_incomplete_last_line_is_skipped_and_any_other_is_rejected(self) -> None:
        recording = RecordingWriter()
        recording.served(1.0)
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            with self.assertRaises(InvalidRecordingError):
                verify(folder)
            recording.write(folder)
            file = folder / "clients.ndjson"
            whole = file.read_bytes()
            file.write_bytes(whole + b'{"t": 3, "ev"')
            self.assertEqual(verify(folder).lookups, 1)
            file.write_bytes(b'{"t": 3, "ev"\n' + whole)
            with self.assertRaises(InvalidRecordingError):
                verify(folder)


if __name__ == "__main__":
    unittest.main()
