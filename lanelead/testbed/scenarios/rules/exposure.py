"""Rule 5 (see verifier.py): a relay's attempts at a canary build stay within the build's exposure limit.

In every window, the attempts that a relay sends to a canary build number at most `free` plus the build's exposure limit
times the requests that the relay received. Where the settings ask for it, two more checks hold: in guarded stages only
idempotent requests are sent, and a key that the current rollout's build has answered goes to no earlier build.

Words of the recording: "desk-told" is a rollout state that a relay received from the rollout platform, "ask" a client's
request, "trip" an attempt as its endpoint received it, "lane" a request class, and "pure" an idempotent class.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from dataclasses import dataclass

from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.recording import (
    CLOCK_SLACK_SECONDS,
    RecordedEvent,
    Recording,
    RelayRun,
    by_key,
)

EARLY_STATE_SECONDS = 3.0  # states received up to this long before a `RelayRun` starts count as received in it
ROUNDING = 1e-9
INSTANT = 1e-6  # seconds; added to the time of a change to look up the state after it


@dataclass(slots=True)
class ReceivedState:
    """A rollout state as a relay received it; `cap` is the exposure limit."""

    t: float
    build: int
    stage: int
    phase: str
    cap: float

    def is_canary(self, build: int) -> bool:
        """Whether the build counts as a canary under this state.

        Builds that have not been announced and builds that are being or have been rolled back do; a promoted one does
        not.
        """
        return build > self.build or (build == self.build and self.phase != "released")


class ReceivedStates:
    """The rollout states that one process of a relay received; `limits` holds the exposure limit of each stage."""

    def __init__(self, rows: list[ReceivedState], limits: list[float]) -> None:
        self.rows = rows
        self._limits = limits
        self._times = [row.t for row in rows]

    def at(self, t: float) -> ReceivedState | None:
        """The state in force at a time, or None before the first."""
        count = bisect_right(self._times, t)
        return self.rows[count - 1] if count else None

    def limit(self, state: ReceivedState | None, build: int) -> float:
        """A canary build's exposure limit under a state, for builds for which `is_canary` holds.

        It is the first stage's limit before any state and for a build that has not been announced, and 0.0 outside the
        canary phase.
        """
        if state is None or build > state.build:
            return self._limits[0]
        return state.cap if state.phase == "trial" else 0.0

    def highest_limit(self, build: int, start: float, end: float) -> float:
        """The highest limit in force between two times."""
        rows = [self.at(start), *(row for row in self.rows if start < row.t <= end)]
        return max(self.limit(row, build) for row in rows)

    def lowered_at(self, build: int, end: float) -> float:
        """The last time up to `end` at which `limit` decreased; minus infinity where it never did."""
        last: float | None = None
        at = float("-inf")
        for row in self.rows:
            if row.t > end:
                break
            limit = self.limit(row, build)
            if last is not None and limit < last:
                at = row.t
            last = limit
        return at

    def rolled_back(self, build: int, t: float) -> bool:
        """Whether a build's rollback had begun by a time."""
        return any(row.build == build and row.phase in ("reverting", "withdrawn") and row.t <= t for row in self.rows)


class _RunCheck:
    """Checks the attempts of one process of a relay."""

    def __init__(self, recording: Recording, finding: Finding, relay: int, run: RelayRun) -> None:
        self._recording = recording
        self._finding = finding
        self._relay = relay
        self._canary_settings = recording.scenario.service.trial
        self._window = self._canary_settings.window_ms / 1000
        self._grace = recording.scenario.service.duties.drain_grace_ms / 1000
        # Responses to votes carry a state too; "word" is the vote's outcome, and only those to accepted votes are used.
        rows = [
            ReceivedState(event["t"], event["build"], event["stage"], event["phase"], event["cap"])
            for event in recording["desk-told"]
            if event["relay"] == relay
            and run.start - EARLY_STATE_SECONDS <= event["t"] <= run.end
            and event.get("word", "done") == "done"
        ]
        self._states = ReceivedStates(rows, self._canary_settings.caps)
        self._received: dict[str | None, list[float]] = defaultdict(list)  # times by request class; None: all classes
        for request in recording["ask"]:
            if request["relay"] == relay and run.start <= request["t"] <= run.end:
                self._received[None].append(request["t"])
                self._received[request["lane"]].append(request["t"])
        self._sent: dict[tuple[int, str | None], list[float]] = defaultdict(list)  # times by build and class

    def check_attempt(self, attempt: RecordedEvent) -> None:
        """Checks an attempt against the exposure limit and the guarded stages.

        Skips attempts that the endpoint recorded while it was stopped, and those sent when the build was no canary, or
        became one or ceased to be one within the clock slack; they are not counted against the limit of later attempts
        either.
        """
        t = attempt["t"]
        build = attempt["build"]
        state = self._states.at(t)
        before = self._states.at(t - CLOCK_SLACK_SECONDS)
        canary = state is None or state.is_canary(build)
        canary_before = before is None or before.is_canary(build)
        if not canary or not canary_before or self._recording.was_suspended(attempt):
            return
        self._finding.seen += 1
        self._check_budget(attempt, state)
        stage = state.stage if state and state.build == build else 0
        was_guarded = before is None or before.build != build or before.stage < self._canary_settings.guarded
        idempotent = self._recording.request_classes[attempt["lane"]].repeat == "pure"
        if stage < self._canary_settings.guarded and was_guarded and not idempotent:
            self._finding.breach(
                f"{self._case_prefix(attempt)}, in a stage that is guarded from class {attempt['lane']}"
            )

    def _case_prefix(self, attempt: RecordedEvent) -> str:
        return f"relay {self._relay}: {attempt['id']} to build {attempt['build']}"

    def _check_budget(self, attempt: RecordedEvent, state: ReceivedState | None) -> None:
        t = attempt["t"]
        build = attempt["build"]
        name = attempt["lane"] if self._canary_settings.by_lane else None
        times = self._sent[build, name]
        times.append(t)
        binds_at = self._states.lowered_at(build, t) + self._grace
        is_grace_over = binds_at < t
        start = t - self._window + CLOCK_SLACK_SECONDS
        if is_grace_over:
            start = max(start, binds_at + CLOCK_SLACK_SECONDS)
        count = len(times) - bisect_left(times, start)
        # A lowered limit applies once its grace has passed. During the grace, the highest limit of the window and the
        # grace applies; where the limit was never lowered, the highest one since the process started.
        limit_from = binds_at + INSTANT if is_grace_over else t - self._window - self._grace
        limit = self._states.highest_limit(build, limit_from, t)
        received = self._received[name]
        received_count = bisect_right(received, t) - bisect_left(received, start - 2 * CLOCK_SLACK_SECONDS)
        allowed = self._canary_settings.free + limit * received_count
        if limit == 0 and t > binds_at + CLOCK_SLACK_SECONDS and state is not None:
            self._finding.breach(f"{self._case_prefix(attempt)}, which is closed")
        elif count > allowed + ROUNDING:
            self._finding.breach(
                f"{self._case_prefix(attempt)} is attempt {count} in {self._window:g} s, of {allowed:.2f} allowed"
            )

    def check_keys(self, attempts: list[RecordedEvent], requests: dict[str, RecordedEvent]) -> None:
        """Checks that a key which the current rollout's build has answered goes to no earlier build.

        The build is that of the state in force at the attempt, in the phases `trial` and `released`. These attempts do
        not add to the finding's `seen`.
        """
        answered: dict[str, list[tuple[float, int]]] = defaultdict(list)
        for event in self._recording["answer"]:
            request = requests.get(event["id"])
            if request is None or not request["key"] or request["relay"] != self._relay:
                continue
            if event["outcome"] == "done" and event["build"]:
                answered[request["key"]].append((event["t"], int(event["build"])))
        for attempt in attempts:
            request = requests.get(attempt["id"])
            if request is not None and request["key"]:
                self._check_key(attempt, answered[request["key"]])

    def _check_key(self, attempt: RecordedEvent, answered: list[tuple[float, int]]) -> None:
        t = attempt["t"]
        state = self._states.at(t)
        before = self._states.at(t - CLOCK_SLACK_SECONDS)
        if state is None or state.phase not in ("trial", "released"):
            return
        steady = before is not None and (before.build, before.phase) == (state.build, state.phase)
        tied = any(at < t - CLOCK_SLACK_SECONDS and build == state.build for at, build in answered)
        if not tied or not steady or attempt["build"] >= state.build:
            return
        if not self._states.rolled_back(state.build, t):
            self._finding.breach(f"{self._case_prefix(attempt)}, its key stays with {state.build}")


def verify_exposure(recording: Recording, finding: Finding) -> None:
    """Checks the attempts of each process of each relay."""
    requests = {request["id"]: request for request in recording["ask"]}
    attempts_of = by_key(recording["trip"], "relay")
    for relay, runs in sorted(recording.relay_runs.items()):
        for run in runs:
            attempts = [attempt for attempt in attempts_of.get(relay, []) if run.start <= attempt["t"] <= run.end]
            check = _RunCheck(recording, finding, relay, run)
            for attempt in attempts:
                check.check_attempt(attempt)
            if recording.scenario.service.trial.keys_stay:
                check.check_keys(attempts, requests)
