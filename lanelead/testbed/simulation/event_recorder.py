"""Keeps the recording of a simulated scenario in memory, grouped by the file each event is written to."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.simulation.clock import Clock


class EventRecorder:
    """Records events in memory by file name.

    With `silent`, nothing is recorded, which saves memory at large fleet sizes.
    """

    def __init__(self, clock: Clock, silent: bool = False) -> None:
        self._clock, self._silent = clock, silent
        self.files: dict[str, list[dict[str, Any]]] = {}

    def note(self, file: str, what: str, **facts: Any) -> None:
        """Records an event of kind `what`, with the current time, for a file."""
        if not self._silent:
            facts["t"], facts["ev"] = round(self._clock.now, 6), what
            self.files.setdefault(file, []).append(facts)

    def write(self, folder: Path, day: Scenario) -> None:
        """Writes the recording to a folder in the same form as a scenario on loopback does."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "day.json").write_bytes(msgspec.json.encode(day))
        for file, facts in self.files.items():
            text = b"".join(msgspec.json.encode(fact) + b"\n" for fact in facts)
            (folder / f"{file}.ndjson").write_bytes(text)
