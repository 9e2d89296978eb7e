"""Checks of migrations, where a scenario has a migration store.

No request runs against a schema that its build does not fit; no attempt is sent to a build that must wait; each effect
belongs to the intent in progress and is applied once; no step is in progress at the end.
"""

from __future__ import annotations

from collections import defaultdict

import msgspec

from lanelead.migrations.errors import InvalidEntryError
from lanelead.migrations.migration_log import MigrationLog, StepStatus
from lanelead.protocols.migrations import LoggedEntry
from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.recording import CLOCK_SLACK_SECONDS, Intervals, RecordedEvent, Recording


class _MigrationCheck:
    """Replays the recorded migration log, and checks effects, filed requests and attempts against it."""

    def __init__(self, recording: Recording, finding: Finding) -> None:
        self._recording = recording
        self._finding = finding
        self._log = MigrationLog()
        self._applied_effects: set[tuple[int, int]] = set()
        # By build: since when the log has it wait for a step and take no traffic.
        self._closed_since: dict[int, float | None] = {}
        self._closed: dict[int, Intervals] = defaultdict(Intervals)

    def run(self) -> None:
        """Checks everything, up to the first log entry that is not allowed."""
        if not self._read_log():
            return
        self._check_filed()
        self._check_attempts()
        if (active := self._log.active_step()) is not None:
            self._finding.breach(f"{active.step.name!r} is {active.status.value} at the end")

    def _read_log(self) -> bool:
        """Replays log entries and effects in order; false where an entry is not allowed."""
        events = (*self._recording["entry"], *self._recording["effect_asked"])
        for event in sorted(events, key=lambda event: event["t"]):
            if event["ev"] == "effect_asked":
                self._check_effect(event)
                continue
            logged = msgspec.convert({key: event[key] for key in LoggedEntry.__struct_fields__}, LoggedEntry)
            try:
                self._log.append(logged)
            except InvalidEntryError as error:
                self._finding.breach(f"entry {logged.seq}: {error}")
                return False
            self._finding.seen += 1
            self._note_closed_builds(event["t"])
        for build, since in self._closed_since.items():
            if since is not None:
                self._closed[build].add(since, float("inf"))
        return True

    def _note_closed_builds(self, now: float) -> None:
        for build in self._log.builds():
            ready = self._log.is_ready(build)
            since = self._closed_since.get(build)
            if ready and since is not None:
                self._closed[build].add(since, now)
                self._closed_since[build] = None
            elif not ready and since is None:
                self._closed_since[build] = now

    def _check_effect(self, event: RecordedEvent) -> None:
        if event["status"] != 200:
            return
        self._finding.seen += 1
        intent = event["intent"]
        active = self._log.active_step()
        if active is None or active.status is not StepStatus.IN_PROGRESS or active.intent_seq != intent:
            self._finding.breach(f"part {event['part']} of intent {intent} had, which is not under way")
        self._applied_effects.add((intent, event["part"]))
        parts = {part for other, part in self._applied_effects if other == intent}
        if event["said"]["parts"] != len(parts):
            self._finding.breach(f"intent {intent}: {event['said']['parts']} parts had, of which some unrequested")

    def _check_filed(self) -> None:
        for event in self._recording["filed"]:
            self._finding.seen += 1
            if event["why"]:
                self._finding.breach(f"{event['op']} filed by build {event['build']}: {event['why']}")

    def _check_attempts(self) -> None:
        for attempt in self._recording["trip"]:
            t = attempt["t"]
            closed = self._closed[attempt["build"]].rows
            within = (start for start, end in closed if start + CLOCK_SLACK_SECONDS < t < end)
            start = next(within, None)
            if start is not None and not self._recording.was_suspended(attempt):
                self._finding.breach(
                    f"{attempt['id']} sent to build {attempt['build']}, {t - start:.1f} s after it had to wait"
                )


def verify_migrations(recording: Recording, finding: Finding) -> None:
    """Checks the recording against the rules in the module's doc comment."""
    _MigrationCheck(recording, finding).run()
