"""The recording of a simulated scenario, in memory: events by the file that they would be in."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.simulation.clock import Clock


class EventRecorder:
    """The capture, in memory: facts by the file that they would be in. A silent one keeps none."""

    def __init__(self, clock: Clock, silent: bool = False) -> None:
        self._clock, self._silent = clock, silent
        self.files: dict[str, list[dict[str, Any]]] = {}

    def note(self, file: str, what: str, **facts: Any) -> None:
        if not self._silent:
            facts["t"], facts["ev"] = round(self._clock.now, 6), what
            self.files.setdefault(file, []).append(facts)

    def write(self, folder: Path, day: Scenario) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        for file, facts in self.files.items():
            text = b"".join(msgspec.json.encode(fact) + b"\n" for fact in facts)
            (folder / f"{file}.ndjson").write_bytes(text)
