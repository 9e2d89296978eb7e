"""Writes recordings by hand, event by event, for tests of the rules' verifier."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import msgspec

from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.scenarios.rules.findings import Verdict
from lanelead.testbed.scenarios.rules.verifier import verify


class RecordingWriter:
    """A recording written by hand: three endpoints of build 1, which is promoted, all told to relay 0."""

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

    def verified(self) -> Verdict:
        with tempfile.TemporaryDirectory() as folder:
            self.write(Path(folder))
            return verify(Path(folder))

    def write(self, folder: Path) -> None:
        (folder / "day.json").write_bytes(msgspec.json.encode(self.day))
        for file, rows in self.lines.items():
            (folder / f"{file}.ndjson").write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))
