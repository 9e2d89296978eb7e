"""The recorded events of a scenario, grouped by kind and sorted by time.

The two ends of a socket record their own times, so each rule allows `CLOCK_SLACK_SECONDS` in favour of the relay.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from lanelead.settings.scenario_settings import Scenario
from lanelead.testbed.emulators.event_recording import InvalidRecordingError, read

CLOCK_SLACK_SECONDS = 0.2  # largest difference between the times that two ends of a socket record
RESUME_SECONDS = 1.0  # time in which a resumed process works off what arrived while it was stopped
EARLY_START_SECONDS = 2.0  # a relay's sockets open slightly before its start is recorded
RecordedEvent = dict[str, Any]


@dataclass(slots=True)
class Intervals:
    """Time intervals in seconds."""

    rows: list[tuple[float, float]] = field(default_factory=list)

    def add(self, start: float, end: float) -> None:
        """Adds an interval."""
        self.rows.append((start, end))

    def overlap(self, start: float, end: float) -> bool:
        """Whether any interval overlaps this one."""
        return any(begin <= end and start <= finish for begin, finish in self.rows)


class RelayRun(NamedTuple):
    """One process of a relay: when it started and ended, and how it ended (kill, term, or alive)."""

    start: float
    end: float
    how: str


class Recording:
    """All events of a recording's folder.

    Raises BadCapture where the folder does not hold a complete recording.
    """

    def __init__(self, folder: Path) -> None:
        try:
            self.scenario = msgspec.json.decode((folder / "day.json").read_bytes(), type=Scenario)
        except (OSError, msgspec.MsgspecError) as error:
            raise InvalidRecordingError(f"day.json: {error}") from None
        self._events: dict[str, list[RecordedEvent]] = defaultdict(list)
        for file, event in read(folder):
            event["file"] = file
            # Discovery and the rollout platform both record 'told'; the file's name tells them apart.
            kind = f"{file}-told" if event["ev"] == "told" else str(event["ev"])
            self._events[kind].append(event)
        for events in self._events.values():
            events.sort(key=lambda event: event["t"])
        self.request_classes = {row.name: row for row in self.scenario.service.lanes}
        self._stopped = self._stopped_endpoints()
        self.relay_runs = self._relay_runs()

    def __getitem__(self, kind: str) -> list[RecordedEvent]:
        return self._events.get(kind, [])

    def was_suspended(self, event: RecordedEvent) -> bool:
        """Whether the endpoint that recorded an event was stopped at that time, or had just resumed.

        If so, the time at which its peer wrote what it read is unknown.
        """
        return self._stopped[endpoint_name(event)].overlap(event["t"], event["t"])

    def _stopped_endpoints(self) -> dict[str, Intervals]:
        stopped: dict[str, Intervals] = defaultdict(Intervals)
        for event in self["stop"]:
            name = event["name"]
            later = [other["t"] for other in self["cont"] if other["name"] == name and other["t"] > event["t"]]
            stopped[name].add(event["t"], min(later, default=float("inf")) + RESUME_SECONDS)
        return stopped

    def _relay_runs(self) -> dict[int, list[RelayRun]]:
        runs: dict[int, list[RelayRun]] = defaultdict(list)
        ends = [(event["t"], event["relay"], "kill") for event in self["relay_kill"]]
        ends += [(event["t"], event["relay"], "term") for event in self["relay_term"]]
        for event in self["relay_start"]:
            relay = event["relay"]
            later = sorted((t, how) for t, number, how in ends if number == relay and t > event["t"])
            end, how = later[0] if later else (float("inf"), "alive")
            # Events up to the end of an earlier process belong to that one.
            earliest = max((run.end for run in runs[relay]), default=float("-inf")) + CLOCK_SLACK_SECONDS
            runs[relay].append(RelayRun(max(event["t"] - EARLY_START_SECONDS, earliest), end, how))
        return runs

    def run_at(self, relay: int, t: float) -> RelayRun | None:
        """The process of a relay that ran at a time, or None."""
        return next((run for run in self.relay_runs[relay] if run.start <= t <= run.end), None)


def endpoint_name(event: RecordedEvent) -> str:
    """The endpoint that recorded an event."""
    return str(event["file"]).removeprefix("unit-")


def by_key(events: list[RecordedEvent], key: str) -> dict[Any, list[RecordedEvent]]:
    """Events grouped by one of their fields, sorted by time."""
    found: dict[Any, list[RecordedEvent]] = defaultdict(list)
    for event in events:
        found[event[key]].append(event)
    return found
