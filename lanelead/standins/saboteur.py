"""A relay with one guard taken out, from outside the decisions: what the judge must be seen to catch.

Run as `python -m lanelead.standins.saboteur SEAM SETTINGS`. Nothing else in the program imports it.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from lanelead.decisions.interface import (
    FailRequest,
    EndpointStatus,
    UpdateScope,
    Decisions,
    AttemptOutcome,
    EndpointRecord,
    RolloutState,
    RolloutPhase,
    Idempotency,
    LoadReport,
    StartAttempt,
    RejectRequest,
    Attempt,
    Endpoint,
)
from lanelead.relay.main import run
from lanelead.settings.read import read
from lanelead.settings.records import Relay
from lanelead.steps.join import Readiness


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
        acts = self._decisions.actions
        kept = [act for act in acts if not isinstance(act, RejectRequest | FailRequest)]
        if len(kept) != len(acts):
            acts[:] = kept
        return acts  # type: ignore[no-any-return]

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._decisions, name, value)


class Effects(Seam):
    """Sends an effectful lookup again after an error, whether it ran or not."""

    def attempt_ended(
        self, trip: Attempt, fate: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        told = (
            AttemptOutcome.REJECTED
            if fate is AttemptOutcome.ERROR and trip.request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
            else fate
        )
        self._decisions.attempt_ended(trip, told, closed, took, report)


class Drains(Seam):
    """Never hears that a unit drains or is gone."""

    def endpoints_updated(self, coverage: UpdateScope, listings: Sequence[EndpointRecord]) -> None:
        heard = [row for row in listings if row.status is EndpointStatus.READY]
        self._decisions.endpoints_updated(UpdateScope.DELTA if coverage is UpdateScope.SNAPSHOT else coverage, heard)


class Cold(Seam):
    """Takes every unit for a warm one, and sends the newest one all it can."""

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_newest"] = None
        self.__dict__["_meant"] = dict[Attempt, Endpoint]()

    def endpoints_updated(self, coverage: UpdateScope, listings: Sequence[EndpointRecord]) -> None:
        late = [row for row in listings if row.started_at and row.status is EndpointStatus.READY]
        if late and coverage is UpdateScope.DELTA:
            self.__dict__["_newest"] = late[-1].endpoint
        self._decisions.endpoints_updated(coverage, [replace(row, started_at=0) for row in listings])

    @property
    def actions(self) -> list[Any]:
        newest: Endpoint | None = self.__dict__["_newest"]
        acts = self._decisions.actions
        if newest is not None and newest.status is EndpointStatus.READY:
            for act in acts:
                if isinstance(act, StartAttempt) and act.attempt.number == 0 and act.attempt.endpoint is not newest:
                    self._meant[act.attempt], act.attempt.endpoint = act.attempt.endpoint, newest
        return acts  # type: ignore[no-any-return]

    def attempt_ended(
        self, trip: Attempt, fate: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        trip.endpoint = self._meant.pop(trip, trip.endpoint)
        self._decisions.attempt_ended(trip, fate, closed, took, report)


class Strangers(Seam):
    """Sends every lookup's first trip to another zone while there is one, whatever is granted there."""

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_far"] = dict[Endpoint, None]()
        self.__dict__["_meant"] = dict[Attempt, Endpoint]()
        self.__dict__["_turn"] = 0

    def endpoints_updated(self, coverage: UpdateScope, listings: Sequence[EndpointRecord]) -> None:
        home = self._spill.tiers and self._spill._wants.tiers[0]
        for row in listings:
            self._far.pop(row.endpoint, None)
            if home and row.status is EndpointStatus.READY and row.zone not in home:
                self._far[row.endpoint] = None
        self._decisions.endpoints_updated(coverage, listings)

    @property
    def actions(self) -> list[Any]:
        acts = self._decisions.actions
        for act in acts:
            first = isinstance(act, StartAttempt) and act.attempt.number == 0 and act.attempt not in self._meant
            if first and act.attempt.endpoint not in self._far and self._far:
                self.__dict__["_turn"] += 1
                self._meant[act.attempt] = act.attempt.endpoint
                act.attempt.endpoint = list(self._far)[self._turn % len(self._far)]
        return acts  # type: ignore[no-any-return]

    def attempt_ended(
        self, trip: Attempt, fate: AttemptOutcome, closed: bool, took: int, report: LoadReport | None
    ) -> None:
        trip.endpoint = self._meant.pop(trip, trip.endpoint)
        self._decisions.attempt_ended(trip, fate, closed, took, report)


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
    assert isinstance(settings, Relay)
    if sys.argv[1] == "steps":  # every build that is listed may have traffic, whatever the record says
        for name in ("open", "votes_on"):
            setattr(Readiness, name, lambda *_: True)
    run(settings, settings.log, SEAMS[sys.argv[1]])


if __name__ == "__main__":
    main()
