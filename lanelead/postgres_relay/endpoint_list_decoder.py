"""Decodes discovery's endpoint lists; an invalid entry is rejected without the rest of its list."""

from __future__ import annotations

from typing import Any

from lanelead.decisions.interface import EndpointStatus, Ticks
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage
from lanelead.protocols.platform import EndpointList, RejectedEntry, read_endpoint_list
from lanelead.runtime.driver import DecisionDriver

MAX_LOGGED_ENTRIES = 5


class EndpointListDecoder:
    """Decodes lists, and counts and logs rejected entries.

    `clock_offset` is the driver's clock minus Unix time, in ticks; `rejected_entries` counts since the start.
    """

    def __init__(self, driver: DecisionDriver, clock_offset: Ticks, log: Any) -> None:
        self._driver = driver
        self._clock_offset = clock_offset
        self._log = log
        self.rejected_entries = 0

    def decode(self, received: EndpointList) -> EndpointListMessage:
        """Returns the list for the driver, where rejected entries are replaced by the last good ones."""
        rejected: list[RejectedEntry] = []
        message = read_endpoint_list(received, self._last_known, rejected)
        if rejected:
            self.rejected_entries += len(rejected)
            self._log.warning(
                "endpoint entries rejected",
                version=received.version,
                count=len(rejected),
                first=[entry.id[:64] for entry in rejected[:MAX_LOGGED_ENTRIES]],
                reason=rejected[0].reason,
                remedy="correct these entries at discovery; the last good entries of these endpoints stay in force",
            )
        return message

    def _last_known(self, name: str) -> EndpointMessage | None:
        """Returns the entry of an endpoint that is in force, or None if the endpoint is unknown or was removed."""
        endpoint = self._driver.registry.by_name.get(name)
        destination = self._driver.destinations.get(endpoint) if endpoint is not None else None
        if endpoint is None or destination is None or endpoint.status is EndpointStatus.REMOVED:
            return None
        started_at = destination.started_at
        started_ms = (started_at - self._clock_offset) / 10 if started_at else None
        return EndpointMessage(
            name,
            destination.host,
            destination.port,
            endpoint.zone,
            endpoint.build,
            "ready" if endpoint.status is EndpointStatus.READY else "draining",
            endpoint.cell,
            endpoint.kind,
            started_ms,
            endpoint.capacity,
        )
