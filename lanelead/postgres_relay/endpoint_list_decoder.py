"""Discovery's lists as this relay takes them in: an entry that can't be read is refused alone."""

from __future__ import annotations

from typing import Any

from lanelead.decisions.interface import EndpointStatus, Ticks
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage
from lanelead.protocols.platform import EndpointList, RejectedEntry, read_endpoint_list
from lanelead.runtime.driver import DecisionDriver

MAX_LOGGED_ENTRIES = 5  # refused entries that one line of the log names


class EndpointListDecoder:
    """`offset`: what Unix time lacks of the driver's clock, in ticks; `refused`: entries so far."""

    def __init__(self, driver: DecisionDriver, offset: Ticks, log: Any) -> None:
        self._driver, self._offset, self._log = driver, offset, log
        self.rejected_entries = 0

    def decode(self, found: EndpointList) -> EndpointListMessage:
        refused: list[RejectedEntry] = []
        taken = read_endpoint_list(found, self._last_known, refused)
        if refused:
            self.rejected_entries += len(refused)
            self._log.warning(
                "entries refused",
                version=found.version,
                many=len(refused),
                first=[entry.id[:64] for entry in refused[:MAX_LOGGED_ENTRIES]],
                reason=refused[0].reason,
                remedy="put these entries right at discovery; what counted of these units last still counts",
            )
        return taken

    def _last_known(self, name: str) -> EndpointMessage | None:
        """A unit as it was told of last; None where it is not known, or gone."""
        unit = self._driver.registry.by_name.get(name)
        place = self._driver.destinations.get(unit) if unit is not None else None
        if unit is None or place is None or unit.status is EndpointStatus.REMOVED:
            return None
        started = (place.started_at - self._offset) / 10 if place.started_at else None
        return EndpointMessage(
            name,
            place.host,
            place.port,
            unit.zone,
            unit.build,
            "ready" if unit.status is EndpointStatus.READY else "draining",
            unit.cell,
            unit.kind,
            started,
            unit.capacity,
        )
