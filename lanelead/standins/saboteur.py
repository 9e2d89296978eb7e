"""A relay with one guard taken out, from outside the decisions: what the judge must be seen to catch.

Run as `python -m lanelead.standins.saboteur SEAM SETTINGS`. Nothing else in the program imports it.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from lanelead.decisions.interface import (
    BreakOff,
    Condition,
    Coverage,
    Decisions,
    Fate,
    Listing,
    News,
    Phase,
    Repeat,
    Report,
    Send,
    Shed,
    Trip,
    Unit,
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
    def acts(self) -> list[Any]:
        acts = self._decisions.acts
        kept = [act for act in acts if not isinstance(act, Shed | BreakOff)]
        if len(kept) != len(acts):
            acts[:] = kept
        return acts  # type: ignore[no-any-return]

    def __setattr__(self, name: str, value: Any) -> None:
        setattr(self._decisions, name, value)


class Effects(Seam):
    """Sends an effectful lookup again after an error, whether it ran or not."""

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: int, report: Report | None) -> None:
        told = Fate.TURNED_AWAY if fate is Fate.ERROR and trip.lookup.lane.repeat is Repeat.EFFECTFUL else fate
        self._decisions.ended(trip, told, closed, took, report)


class Drains(Seam):
    """Never hears that a unit drains or is gone."""

    def roster(self, coverage: Coverage, listings: Sequence[Listing]) -> None:
        heard = [row for row in listings if row.condition is Condition.READY]
        self._decisions.roster(Coverage.CHANGES if coverage is Coverage.FULL else coverage, heard)


class Cold(Seam):
    """Takes every unit for a warm one, and sends the newest one all it can."""

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_newest"] = None
        self.__dict__["_meant"] = dict[Trip, Unit]()

    def roster(self, coverage: Coverage, listings: Sequence[Listing]) -> None:
        late = [row for row in listings if row.since and row.condition is Condition.READY]
        if late and coverage is Coverage.CHANGES:
            self.__dict__["_newest"] = late[-1].unit
        self._decisions.roster(coverage, [replace(row, since=0) for row in listings])

    @property
    def acts(self) -> list[Any]:
        newest: Unit | None = self.__dict__["_newest"]
        acts = self._decisions.acts
        if newest is not None and newest.condition is Condition.READY:
            for act in acts:
                if isinstance(act, Send) and act.trip.number == 0 and act.trip.unit is not newest:
                    self._meant[act.trip], act.trip.unit = act.trip.unit, newest
        return acts  # type: ignore[no-any-return]

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: int, report: Report | None) -> None:
        trip.unit = self._meant.pop(trip, trip.unit)
        self._decisions.ended(trip, fate, closed, took, report)


class Strangers(Seam):
    """Sends every lookup's first trip to another zone while there is one, whatever is granted there."""

    def __init__(self, decisions: Decisions) -> None:
        super().__init__(decisions)
        self.__dict__["_far"] = dict[Unit, None]()
        self.__dict__["_meant"] = dict[Trip, Unit]()
        self.__dict__["_turn"] = 0

    def roster(self, coverage: Coverage, listings: Sequence[Listing]) -> None:
        home = self._spill.tiers and self._spill._wants.tiers[0]
        for row in listings:
            self._far.pop(row.unit, None)
            if home and row.condition is Condition.READY and row.zone not in home:
                self._far[row.unit] = None
        self._decisions.roster(coverage, listings)

    @property
    def acts(self) -> list[Any]:
        acts = self._decisions.acts
        for act in acts:
            first = isinstance(act, Send) and act.trip.number == 0 and act.trip not in self._meant
            if first and act.trip.unit not in self._far and self._far:
                self.__dict__["_turn"] += 1
                self._meant[act.trip] = act.trip.unit
                act.trip.unit = list(self._far)[self._turn % len(self._far)]
        return acts  # type: ignore[no-any-return]

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: int, report: Report | None) -> None:
        trip.unit = self._meant.pop(trip, trip.unit)
        self._decisions.ended(trip, fate, closed, took, report)


class Exposure(Seam):
    """Takes every build for a released one."""

    def news(self, news: News) -> None:
        self._decisions.news(replace(news, phase=Phase.RELEASED, cap=1.0))


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
