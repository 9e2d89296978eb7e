"""The judge is shown a planted breach of each rule, and each time the same capture without it."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

import msgspec

from lanelead.migrations.runner import Goal
from lanelead.protocols.migrations import LogEntry
from lanelead.settings.records import Overflow, StepsOfDay
from lanelead.testbed.emulators.event_recording import BadCapture
from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.scenarios.verifier import Finding, Verdict, judge
from tests.test_migration_runner import ONE_AFTER_ANOTHER


class Papers:
    """A capture written by hand: three units of build 1, which is released, all told to relay 0."""

    def __init__(self) -> None:
        self.day = load("bad-day")
        self.lines: dict[str, list[dict[str, Any]]] = {}
        self.number = 0
        self.note("conductor", 0.0, "relay_start", relay=0)
        for unit, zone in (("a", "north"), ("b", "south"), ("c", "north")):
            self.up(unit, zone=zone)
        self.told(0.0, "full", a="ready", b="ready", c="ready")
        self.news(0.0, 1, 3, "released", 1.0)

    def note(self, file: str, t: float, ev: str, **facts: Any) -> None:
        self.lines.setdefault(file, []).append({"t": t, "ev": ev, **facts})

    def up(self, unit: str, t: float = 0.0, cold: float = 0.0, build: int = 1, zone: str = "north") -> None:
        self.note(
            f"unit-{unit}",
            t,
            "up",
            unit=unit,
            build=build,
            zone=zone,
            cell=0,
            cores=2,
            cold_share=0.5,
            cold=cold,
            speed=1.0,
        )

    def told(self, t: float, update_scope: str, **units: str) -> None:
        rows = [{"unit": unit, "condition": condition} for unit, condition in units.items()]
        self.note("roster", t, "told", relay=0, coverage=update_scope, units=rows)

    def news(self, t: float, build: int, stage: int, phase: str, cap: float) -> None:
        self.note("desk", t, "told", relay=0, build=build, stage=stage, phase=phase, cap=cap, age=0.0)

    def ask(self, t: float, request_class: str = "offer-status", left: float = 1.0, key: str | None = None) -> str:
        self.number += 1
        ident = f"op-{self.number}.1"
        self.note(
            "clients",
            t,
            "ask",
            id=ident,
            op=f"op-{self.number}",
            lane=request_class,
            member="m",
            key=key,
            relay=0,
            left=left,
            nth=1,
        )
        return ident

    def answer(self, t: float, ident: str, outcome: str = "done", **facts: Any) -> None:
        self.note(
            "clients",
            t,
            "answer",
            id=ident,
            op=ident[:-2],
            relay=0,
            status=200,
            outcome=outcome,
            unit="a",
            build=facts.pop("build", "1"),
            **facts,
        )

    def trip(
        self,
        t: float,
        ident: str,
        unit: str = "a",
        ran: bool = True,
        build: int = 1,
        work: float = 0.05,
        request_class: str = "offer-status",
    ) -> None:
        self.note(
            f"unit-{unit}",
            t,
            "trip",
            id=ident,
            op=ident[:-2],
            lane=request_class,
            relay=0,
            key="",
            work=work,
            build=build,
            warmth=1.0,
        )
        if ran:
            self.note(f"unit-{unit}", t + 0.05, "effect", id=ident, op=ident[:-2], lane=request_class, key="", cell=0)
        else:
            self.note(f"unit-{unit}", t, "turned_away", id=ident, op=ident[:-2])

    def served(self, t: float, request_class: str = "offer-status", unit: str = "a", **facts: Any) -> str:
        ident = self.ask(t, request_class)
        self.trip(t + 0.01, ident, unit, request_class=request_class, **facts)
        self.answer(t + 0.1, ident)
        return ident

    def judged(self) -> Verdict:
        with tempfile.TemporaryDirectory() as folder:
            self.write(Path(folder))
            return judge(Path(folder))

    def write(self, folder: Path) -> None:
        (folder / "day.json").write_bytes(msgspec.json.encode(self.day))
        for file, rows in self.lines.items():
            (folder / f"{file}.ndjson").write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))


class Case(unittest.TestCase):
    def check(self, papers: Papers, rule: str, word: str, many: int | None = None) -> Finding:
        verdict = papers.judged()
        finding = verdict.rules[rule]
        self.assertEqual(finding.word, word, finding.cases)
        if many is not None:
            self.assertEqual(finding.broken, many, finding.cases)
        others = [name for name, other in verdict.rules.items() if name != rule and other.broken]
        self.assertEqual(others, [])
        return finding


class Answers(Case):
    def test_one_in_time_is_kept_and_each_way_to_fail_is_seen(self) -> None:
        papers = Papers()
        papers.served(1.0)
        self.check(papers, "answers", "kept")
        papers.ask(2.0)
        papers.note("clients", 4.5, "gone", id="op-2.1", why="silent")
        self.check(papers, "answers", "broken", 1)
        late = papers.ask(3.0)
        papers.answer(4.5, late)
        self.check(papers, "answers", "broken", 2)
        twice = papers.served(5.0)
        papers.answer(5.2, twice, "shed")
        self.check(papers, "answers", "broken", 3)
        papers.note("clients", 6.0, "extra", id=twice, relay=0, bytes=10)
        papers.answer(6.1, papers.ask(6.0), echo="op-1.1")
        self.assertEqual(self.check(papers, "answers", "broken").broken, 5)

    def test_what_a_killed_relay_held_is_excused_and_what_a_stopped_one_held_is_not(self) -> None:
        for event, word in (("relay_kill", "unproven"), ("relay_stop", "broken")):
            papers = Papers()
            ident = papers.ask(1.0)
            papers.note("conductor", 1.5, event, relay=0)
            papers.note("clients", 1.6, "gone", id=ident, why="reset")
            self.check(papers, "answers", word)


class Effects(Case):
    def test_an_effectful_lookup_runs_once(self) -> None:
        papers = Papers()
        papers.served(1.0, "offer-submit")
        self.check(papers, "effects", "kept")
        ident = papers.ask(2.0, "offer-submit")
        papers.trip(2.01, ident, "a", ran=False, request_class="offer-submit")
        papers.trip(2.02, ident, "b", request_class="offer-submit")
        papers.answer(2.1, ident)
        self.check(papers, "effects", "kept")
        papers.trip(2.03, ident, "c", request_class="offer-submit")
        self.check(papers, "effects", "broken", 2)

    def test_a_shed_after_a_trip_that_may_have_run(self) -> None:
        for ran, word in ((False, "kept"), (True, "broken")):
            papers = Papers()
            ident = papers.ask(1.0, "offer-submit")
            papers.trip(1.01, ident, ran=ran, request_class="offer-submit")
            papers.answer(1.1, ident, "shed")
            self.check(papers, "effects", word)

    def test_a_receipted_lookup_is_repeated_in_its_zone_and_while_it_is_remembered(self) -> None:
        for unit, after, word in (("c", 0.5, "kept"), ("b", 0.5, "broken"), ("c", 3.5, "broken")):
            papers = Papers()
            ident = papers.ask(1.0, "offer-save", left=4.0)
            papers.trip(1.01, ident, "a", request_class="offer-save")
            papers.note(
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
            papers.answer(4.8, ident)
            self.check(papers, "effects", word)


class Drains(Case):
    def test_a_trip_after_the_grace(self) -> None:
        for t, word in ((3.9, "kept"), (4.5, "broken")):
            papers = Papers()
            papers.told(2.0, "changes", a="draining")
            papers.served(t)
            self.check(papers, "drains", word)

    def test_left_out_of_a_full_list_is_gone_and_ready_again_is_ready(self) -> None:
        papers = Papers()
        papers.told(2.0, "full", b="ready", c="ready")
        papers.served(5.0)
        self.check(papers, "drains", "broken", 1)
        papers = Papers()
        papers.told(2.0, "full", b="ready", c="ready")
        papers.told(3.0, "changes", a="ready")
        papers.served(5.0)
        self.check(papers, "drains", "kept")

    def test_what_a_unit_read_after_it_stood_still_proves_nothing(self) -> None:
        papers = Papers()
        papers.told(2.0, "changes", a="draining")
        papers.note("processes", 1.5, "stop", name="a")
        papers.note("processes", 4.6, "cont", name="a")
        papers.served(4.7)
        self.check(papers, "drains", "kept")


class Cold(Case):
    def test_more_than_the_multiple_of_what_it_can_do(self) -> None:
        for work, word in ((0.05, "kept"), (0.4, "broken")):
            papers = Papers()
            papers.up("d", 1.0, cold=3.0)
            papers.told(1.0, "changes", d="ready")
            for place in range(20):
                papers.served(1.2 + place * 0.02, unit="d", work=work)
            self.check(papers, "cold", word)

    def test_one_that_fell_over(self) -> None:
        papers = Papers()
        papers.note("unit-a", 2.0, "fell", work=5.0, warmth=0.5)
        self.check(papers, "cold", "broken", 1)


class Exposure(Case):
    def trial(self, cap: float = 0.1) -> Papers:
        papers = Papers()
        papers.up("n", 1.0, build=2)
        papers.news(1.0, 2, 0, "trial", cap)
        return papers

    def test_the_cap_of_what_it_took(self) -> None:
        for many, word in ((4, "kept"), (10, "broken")):
            papers = self.trial()
            for place in range(40):
                papers.served(4.0 + place * 0.05)
            for place in range(many):
                papers.served(6.1 + place * 0.01, unit="n", build=2)
            self.check(papers, "exposure", word)

    def test_a_build_not_yet_announced_counts_as_in_the_first_stage(self) -> None:
        papers = self.trial()
        papers.up("m", 1.0, build=3)
        for place in range(8):
            papers.served(6.1 + place * 0.01, unit="m", build=3)
        self.check(papers, "exposure", "broken")

    def test_closed_after_the_grace_and_open_once_released(self) -> None:
        for phase, cap, t, word in (
            ("reverting", 0.0, 6.5, "kept"),
            ("reverting", 0.0, 8.5, "broken"),
            ("released", 1.0, 8.5, "kept"),
        ):
            papers = self.trial()
            papers.served(4.0, unit="n", build=2)
            papers.news(6.0, 2, 0, phase, cap)
            papers.served(t, unit="n", build=2)
            self.check(papers, "exposure", word)

    def test_guarded_stages_and_keys_that_stay(self) -> None:
        for guarded, word in ((0, "kept"), (1, "broken")):
            papers = self.trial()
            trial = msgspec.structs.replace(papers.day.service.trial, guarded=guarded)
            papers.day = msgspec.structs.replace(
                papers.day, service=msgspec.structs.replace(papers.day.service, trial=trial)
            )
            papers.served(6.0, "offer-submit", "n", build=2)
            self.check(papers, "exposure", word)
        for keys_stay, word in ((False, "kept"), (True, "broken")):
            papers = self.trial()
            trial = msgspec.structs.replace(papers.day.service.trial, keys_stay=keys_stay)
            papers.day = msgspec.structs.replace(
                papers.day, service=msgspec.structs.replace(papers.day.service, trial=trial)
            )
            first, second = papers.ask(5.0, key="k"), papers.ask(6.0, key="k")
            papers.trip(5.01, first, "n", build=2)
            papers.answer(5.1, first, build="2")
            papers.trip(6.01, second, "a")
            papers.answer(6.1, second)
            self.check(papers, "exposure", word)


class Zones(Case):
    def town(self) -> Papers:
        papers = Papers()
        zones = msgspec.structs.replace(papers.day.units, zones=["north", "south"], count=4)
        papers.day = msgspec.structs.replace(papers.day, units=zones, spill=Overflow(0.5, 1.0, 2.0))
        return papers

    def test_trips_outside_the_own_zone_are_held_against_the_limit(self) -> None:
        # Ten lookups a second, as many units there as here: five a second may spill, half as many more by
        # chance.
        for every, word in ((4, "kept"), (1, "broken")):
            papers = self.town()
            for place in range(150):
                papers.served(1 + place * 0.1, unit="b" if place > 100 and place % every == 0 else "a")
            self.check(papers, "spill", word)

    def test_a_returning_unit_is_held_against_what_it_can_do_as_warm_as_it_is(self) -> None:
        for work, word in ((0.05, "kept"), (0.15, "broken")):
            papers = self.town()
            papers.up("d", 1.0, cold=3.0)
            papers.told(1.0, "changes", d="ready")
            for place in range(30):
                papers.served(1.2 + place * 0.05, unit="d", work=work)
            self.check(papers, "returns", word)


class OfSteps(Case):
    """A plan of two steps, of which build 2 needs the first, run through once."""

    def town(self, *rest: tuple[float, LogEntry]) -> Papers:
        papers = Papers()
        papers.day = msgspec.structs.replace(papers.day, steps=StepsOfDay(0, []))
        papers.up("d", 0.0, build=2)
        rows = [
            (1.0, LogEntry("plan", text=Goal(ONE_AFTER_ANOTHER).plan_json)),
            (2.0, LogEntry("intent", "a")),
            (3.0, LogEntry("done", "a")),
            *rest,
        ]
        for seq, (t, entry) in enumerate(rows, 1):
            facts = {"seq": seq, "token": 1, "runner": "r", "at_ms": 0.0}
            papers.note("store", t, "entry", entry=msgspec.to_builtins(entry), **facts)
        return papers

    def effect(self, papers: Papers, t: float, part: int = 0, parts: int = 1, intent: int = 2) -> None:
        said = {"parts": parts, "finished": True}
        papers.note("store", t, "effect_asked", status=200, intent=intent, part=part, token=1, said=said)

    def test_a_run_by_the_rules_is_kept(self) -> None:
        papers = self.town()
        self.effect(papers, 2.5)
        papers.note("store", 3.5, "filed", build=2, op="x", ready=True, why="", seq=3)
        papers.served(3.6, unit="d")
        self.check(papers, "steps", "kept")

    def test_each_breach_is_seen(self) -> None:
        def filed(papers: Papers) -> None:
            papers.note("store", 1.5, "filed", build=2, op="x", ready=False, why="no such column", seq=1)

        for rest, action in (
            ((), filed),
            ((), lambda papers: papers.served(1.5, unit="d", build=2)),
            ((), lambda papers: self.effect(papers, 3.5)),
            ((), lambda papers: self.effect(papers, 1.5)),
            ((), lambda papers: self.effect(papers, 2.5, parts=2)),
            (((4.0, LogEntry("done", "a")),), lambda papers: None),
            (((4.0, LogEntry("intent", "b")),), lambda papers: None),
        ):
            papers = self.town(*rest)
            action(papers)
            self.check(papers, "steps", "broken")


class Captures(unittest.TestCase):
    def test_nothing_at_stake_is_unproven(self) -> None:
        verdict = Papers().judged()
        self.assertEqual({finding.word for finding in verdict.rules.values()}, {"unproven"})

    def test_a_torn_last_line_is_passed_over_and_any_other_is_refused(self) -> None:
        papers = Papers()
        papers.served(1.0)
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            with self.assertRaises(BadCapture):
                judge(folder)
            papers.write(folder)
            file = folder / "clients.ndjson"
            whole = file.read_bytes()
            file.write_bytes(whole + b'{"t": 3, "ev"')
            self.assertEqual(judge(folder).lookups, 1)
            file.write_bytes(b'{"t": 3, "ev"\n' + whole)
            with self.assertRaises(BadCapture):
                judge(folder)


if __name__ == "__main__":
    unittest.main()
