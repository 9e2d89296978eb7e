"""Writes recordings event by event, for tests of the rules' verifier."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import msgspec

from lanelead.testbed.scenarios.commands import load
from lanelead.testbed.scenarios.rules.findings import Verdict
from lanelead.testbed.scenarios.rules.verifier import verify


class RecordingWriter:
    """A recording of three endpoints of build 1, which is promoted and ready; relay 0 was notified of all of it."""

    def __init__(self) -> None:
        self.day = load("bad-day")
        self.lines: dict[str, list[dict[str, Any]]] = {}
        self.number = 0
        self.note("conductor", 0.0, "relay_start", relay=0)
        for unit, zone in (("a", "north"), ("b", "south"), ("c", "north")):
            self.up(unit, zone=zone)
        self.told(0.0, "full", a="ready", b="ready", c="ready")
        self.rollout_state(0.0, 1, 3, "released", 1.0)

    def note(self, file: str, t: float, ev: str, **facts: Any) -> None:
        """Add an event to a file."""
        self.lines.setdefault(file, []).append({"t": t, "ev": ev, **facts})

    def up(self, unit: str, t: float = 0.0, cold: float = 0.0, build: int = 1, zone: str = "north") -> None:
        """Add the start of an endpoint; `cold` is the length of its slow start in seconds."""
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
        """Add an endpoint list, or changes of it, that relay 0 received."""
        rows = [{"unit": unit, "condition": condition} for unit, condition in units.items()]
        self.note("roster", t, "told", relay=0, coverage=update_scope, units=rows)

    def rollout_state(self, t: float, build: int, stage: int, phase: str, cap: float) -> None:
        """Add a rollout state that relay 0 received."""
        self.note("desk", t, "told", relay=0, build=build, stage=stage, phase=phase, cap=cap, age=0.0)

    def ask(self, t: float, request_class: str = "offer-status", left: float = 1.0, key: str | None = None) -> str:
        """Add a request that a client sends, with `left` seconds to its deadline, and return its id."""
        self.number += 1
        request_id = f"op-{self.number}.1"
        self.note(
            "clients",
            t,
            "ask",
            id=request_id,
            op=f"op-{self.number}",
            lane=request_class,
            member="m",
            key=key,
            relay=0,
            left=left,
            nth=1,
        )
        return request_id

    def answer(self, t: float, request_id: str, outcome: str = "done", **facts: Any) -> None:
        """Add a final response."""
        self.note(
            "clients",
            t,
            "answer",
            id=request_id,
            op=request_id[:-2],
            relay=0,
            status=200,
            outcome=outcome,
            unit="a",
            build=facts.pop("build", "1"),
            **facts,
        )

    def attempt(
        self,
        t: float,
        request_id: str,
        unit: str = "a",
        ran: bool = True,
        build: int = 1,
        work: float = 0.05,
        request_class: str = "offer-status",
    ) -> None:
        """Add an attempt that an endpoint receives, and its effect, or its rejection where it does not run."""
        self.note(
            f"unit-{unit}",
            t,
            "trip",
            id=request_id,
            op=request_id[:-2],
            lane=request_class,
            relay=0,
            key="",
            work=work,
            build=build,
            warmth=1.0,
        )
        if ran:
            self.note(
                f"unit-{unit}",
                t + 0.05,
                "effect",
                id=request_id,
                op=request_id[:-2],
                lane=request_class,
                key="",
                cell=0,
            )
        else:
            self.note(f"unit-{unit}", t, "turned_away", id=request_id, op=request_id[:-2])

    def served(self, t: float, request_class: str = "offer-status", unit: str = "a", **facts: Any) -> str:
        """Add a request with one attempt and its response, and return its id."""
        request_id = self.ask(t, request_class)
        self.attempt(t + 0.01, request_id, unit, request_class=request_class, **facts)
        self.answer(t + 0.1, request_id)
        return request_id

    def verified(self) -> Verdict:
        """Return the verifier's verdict on the recording."""
        with tempfile.TemporaryDirectory() as folder:
            self.write(Path(folder))
            return verify(Path(folder))

    def write(self, folder: Path) -> None:
        """Write the recording to a folder."""
        (folder / "day.json").write_bytes(msgspec.json.encode(self.day))
        for file, rows in self.lines.items():
            (folder / f"{file}.ndjson").write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))
