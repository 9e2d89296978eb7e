"""A relay with one deliberate fault, to test that the verifier reports each broken rule.

Run as `python -m lanelead.testbed.emulators.seeded_faults SEAM SETTINGS`, where SEAM is the fault: a key of SEAMS. Each
fault but "steps" is a wrapper around the decisions; "steps" replaces two methods of the migrations' readiness. The keys
are the names of the verifier's rules that the faults break, except "strangers". No other module of the program imports
this one.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    Decisions,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FailRequest,
    Idempotency,
    LoadReport,
    RejectRequest,
    RolloutPhase,
    RolloutState,
    StartAttempt,
    UpdateScope,
)
from lanelead.http_relay.main import run
from lanelead.migrations.readiness import Readiness
from lanelead.settings.read import read
from lanelead.settings.relay_settings import RelaySettings


class DecisionsWrapper:
    """Forwards all calls and attributes from the DecisionDriver to the decisions; subclasses change some of them.

    Its own attributes are set by `__dict__`, since `__setattr__` forwards assignments to the decisions.
    """

    def __init__(self, decisions: Decisions) -> None:
        self.__dict__["_decisions"] = decisions

    def __getattr__(self, name: str) -> Any:
        return getattr(self._decisions, name)

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._decisions, name, value)


class DroppedResponses(DecisionsWrapper):
    """Drops the final response of requests that the decisions reject or fail."""

    @property
    def actions(self) -> list[Any]:
        """The pending actions, without rejections and failures."""
        actions = self._decisions.actions
        kept = [action for action in actions if not isinstance(action, RejectRequest | FailRequest)]
        if len(kept) != len(actions):
            actions[:] = kept
        return actions  # type: ignore[no-any-return]

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._decisions, name, value)


class UnsafeRetries(DecisionsWrapper):
    """Lets non-idempotent requests be retried after an error, although they may have run."""

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        """Reports an error of a non-idempotent request as a rejection."""
        reported_outcome = (
            AttemptOutcome.REJECTED
            if outcome is AttemptOutcome.ERROR
            and attempt.request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
            else outcome
        )
        self._decisions.attempt_ended(attempt, reported_outcome, closed, took, report)


class IgnoredDrains(DecisionsWrapper):
    """Ignores that endpoints drain, or that deltas or snapshots remove them."""

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        """Passes on the rows of ready endpoints only, and snapshots as deltas, so that nothing is removed."""
        ready_rows = [row for row in records if row.status is EndpointStatus.READY]
        self._decisions.endpoints_updated(
            UpdateScope.DELTA if update_scope is UpdateScope.SNAPSHOT else update_scope, ready_rows
        )


class IgnoredSlowStart(DecisionsWrapper):
    """Ignores slow start, and sends first attempts to the endpoint that the endpoint list last showed as started.

    That is the last ready row with a start time in the latest delta that has one; attempts go there while it is ready.
    `_meant` keeps the endpoint that the decisions chose, by attempt.
    """

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_newest"] = None
        self.__dict__["_meant"] = dict[Attempt, Endpoint]()

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        """Keeps the last started endpoint of a delta; passes on all rows without start times, as of warm endpoints."""
        new_rows = [row for row in records if row.started_at and row.status is EndpointStatus.READY]
        if new_rows and update_scope is UpdateScope.DELTA:
            self.__dict__["_newest"] = new_rows[-1].endpoint
        self._decisions.endpoints_updated(update_scope, [replace(row, started_at=0) for row in records])

    @property
    def actions(self) -> list[Any]:
        """The pending actions, with first attempts redirected to the kept endpoint while it is ready."""
        newest: Endpoint | None = self.__dict__["_newest"]
        actions = self._decisions.actions
        if newest is not None and newest.status is EndpointStatus.READY:
            for action in actions:
                if (
                    isinstance(action, StartAttempt)
                    and action.attempt.number == 0
                    and action.attempt.endpoint is not newest
                ):
                    self._meant[action.attempt], action.attempt.endpoint = action.attempt.endpoint, newest
        return actions  # type: ignore[no-any-return]

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        """Restores the endpoint that the decisions chose."""
        attempt.endpoint = self._meant.pop(attempt, attempt.endpoint)
        self._decisions.attempt_ended(attempt, outcome, closed, took, report)


class ForeignZones(DecisionsWrapper):
    """Sends first attempts to ready endpoints outside the first tier of zones, if any, whatever spillover allows there.

    Without tiers it changes nothing. `_far` has those endpoints, and `_meant` the endpoint that the decisions chose, by
    attempt; `_turn` counts the redirected attempts.
    """

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_far"] = dict[Endpoint, None]()
        self.__dict__["_meant"] = dict[Attempt, Endpoint]()
        self.__dict__["_turn"] = 0

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        """Updates `_far` from the listed rows, and passes all rows on unchanged."""
        local_zones = self._spillover.tiers and self._spillover._preference.tiers[0]
        for row in records:
            self._far.pop(row.endpoint, None)
            if local_zones and row.status is EndpointStatus.READY and row.zone not in local_zones:
                self._far[row.endpoint] = None
        self._decisions.endpoints_updated(update_scope, records)

    @property
    def actions(self) -> list[Any]:
        """The pending actions, with first attempts redirected to the endpoints of other zones in turn."""
        actions = self._decisions.actions
        for action in actions:
            is_first_attempt = (
                isinstance(action, StartAttempt) and action.attempt.number == 0 and action.attempt not in self._meant
            )
            if is_first_attempt and action.attempt.endpoint not in self._far and self._far:
                self.__dict__["_turn"] += 1
                self._meant[action.attempt] = action.attempt.endpoint
                action.attempt.endpoint = list(self._far)[self._turn % len(self._far)]
        return actions  # type: ignore[no-any-return]

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        """Restores the endpoint that the decisions chose."""
        attempt.endpoint = self._meant.pop(attempt, attempt.endpoint)
        self._decisions.attempt_ended(attempt, outcome, closed, took, report)


class UnlimitedExposure(DecisionsWrapper):
    """Takes every build for a promoted one, without an exposure limit."""

    def rollout_updated(self, state: RolloutState) -> None:
        """Passes on the state as promoted."""
        self._decisions.rollout_updated(replace(state, phase=RolloutPhase.PROMOTED, exposure_limit=1.0))


SEEDED_FAULTS = {
    "answers": DroppedResponses,
    "effects": UnsafeRetries,
    "drains": IgnoredDrains,
    "cold": IgnoredSlowStart,
    "exposure": UnlimitedExposure,
    "strangers": ForeignZones,
    "steps": DecisionsWrapper,
}


def main() -> None:
    """Runs a relay with the fault and the settings file in the arguments."""
    settings = read(sys.argv[2])
    assert isinstance(settings, RelaySettings)
    if sys.argv[1] == "steps":  # whatever the migration log says, builds may have traffic and be promoted
        for name in ("accepts_traffic", "allows_promotion"):
            setattr(Readiness, name, lambda *_: True)
    run(settings, settings.log, SEEDED_FAULTS[sys.argv[1]])


if __name__ == "__main__":
    main()
