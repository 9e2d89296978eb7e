"""A relay with one guard taken out, from outside the decisions: what the judge must be seen to catch.

Run as `python -m lanelead.testbed.emulators.seeded_faults SEAM SETTINGS`. Nothing else in the program imports it.
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


class Seam:
    """Stands between the driver and the decisions; by itself it changes nothing."""

    def __init__(self, decisions: Decisions) -> None:
        self.__dict__["_decisions"] = decisions

    def __getattr__(self, name: str) -> Any:
        return getattr(self._decisions, name)

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._decisions, name, value)


class Answers(Seam):
    """Loses the final answer of lookups that it gives up on."""

    @property
    def actions(self) -> list[Any]:
        actions = self._decisions.actions
        kept = [action for action in actions if not isinstance(action, RejectRequest | FailRequest)]
        if len(kept) != len(actions):
            actions[:] = kept
        return actions  # type: ignore[no-any-return]

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._decisions, name, value)


class Effects(Seam):
    """Sends an effectful lookup again after an error, whether it ran or not."""

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        told = (
            AttemptOutcome.REJECTED
            if outcome is AttemptOutcome.ERROR
            and attempt.request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
            else outcome
        )
        self._decisions.attempt_ended(attempt, told, closed, took, report)


class Drains(Seam):
    """Never hears that a unit drains or is gone."""

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        heard = [row for row in records if row.status is EndpointStatus.READY]
        self._decisions.endpoints_updated(
            UpdateScope.DELTA if update_scope is UpdateScope.SNAPSHOT else update_scope, heard
        )


class Cold(Seam):
    """Takes every unit for a warm one, and sends the newest one all it can."""

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_newest"] = None
        self.__dict__["_meant"] = dict[Attempt, Endpoint]()

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        late = [row for row in records if row.started_at and row.status is EndpointStatus.READY]
        if late and update_scope is UpdateScope.DELTA:
            self.__dict__["_newest"] = late[-1].endpoint
        self._decisions.endpoints_updated(update_scope, [replace(row, started_at=0) for row in records])

    @property
    def actions(self) -> list[Any]:
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
        attempt.endpoint = self._meant.pop(attempt, attempt.endpoint)
        self._decisions.attempt_ended(attempt, outcome, closed, took, report)


class Strangers(Seam):
    """Sends every lookup's first trip to another zone while there is one, whatever is granted there."""

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_far"] = dict[Endpoint, None]()
        self.__dict__["_meant"] = dict[Attempt, Endpoint]()
        self.__dict__["_turn"] = 0

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        home = self._spillover.tiers and self._spillover._preference.tiers[0]
        for row in records:
            self._far.pop(row.endpoint, None)
            if home and row.status is EndpointStatus.READY and row.zone not in home:
                self._far[row.endpoint] = None
        self._decisions.endpoints_updated(update_scope, records)

    @property
    def actions(self) -> list[Any]:
        actions = self._decisions.actions
        for action in actions:
            first = (
                isinstance(action, StartAttempt) and action.attempt.number == 0 and action.attempt not in self._meant
            )
            if first and action.attempt.endpoint not in self._far and self._far:
                self.__dict__["_turn"] += 1
                self._meant[action.attempt] = action.attempt.endpoint
                action.attempt.endpoint = list(self._far)[self._turn % len(self._far)]
        return actions  # type: ignore[no-any-return]

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        attempt.endpoint = self._meant.pop(attempt, attempt.endpoint)
        self._decisions.attempt_ended(attempt, outcome, closed, took, report)


class Exposure(Seam):
    """Takes every build for a released one."""

    def rollout_updated(self, news: RolloutState) -> None:
        self._decisions.rollout_updated(replace(news, phase=RolloutPhase.PROMOTED, exposure_limit=1.0))


SEAMS = {
    "answers": Answers,
    "effects": Effects,
    "drains": Drains,
    "cold": Cold,
    "exposure": Exposure,
    "strangers": Strangers,
    "steps": Seam,
}


def main() -> None:
    settings = read(sys.argv[2])
    assert isinstance(settings, RelaySettings)
    if sys.argv[1] == "steps":  # every build that is listed may have traffic, whatever the record says
        for name in ("accepts_traffic", "allows_promotion"):
            setattr(Readiness, name, lambda *_: True)
    run(settings, settings.log, SEAMS[sys.argv[1]])


if __name__ == "__main__":
    main()
