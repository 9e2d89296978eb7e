"""The endpoint list as discovery sends it, as records for the decisions."""

from __future__ import annotations

from dataclasses import replace

from lanelead.decisions.interface import Endpoint, EndpointRecord, EndpointStatus, Ticks, UpdateScope
from lanelead.migrations.readiness import Readiness
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage
from lanelead.protocols.vocabulary import ENDPOINT_STATUSES
from lanelead.runtime.destination import Destination
from lanelead.runtime.endpoint_registry import EndpointRegistry

TICKS_PER_MS = 10
SAME_START_TICKS: Ticks = 1000  # starts of one process differ by less when two streams' clocks are compared


class EndpointList:
    """Endpoints, their destinations, and which of them count as ready.

    `readiness` withholds endpoints of builds whose migrations are not done; None: all builds may have requests.
    `retention`: how long a removed endpoint is kept, since an attempt may still run there.
    """

    def __init__(self, registry: EndpointRegistry, readiness: Readiness | None, retention: Ticks) -> None:
        self.registry = registry
        self.destinations: dict[Endpoint, Destination] = {}
        self.removed: dict[Endpoint, Ticks] = {}  # removed endpoints, and until when they are kept
        self._readiness = readiness
        self._retention = retention
        self._listed: dict[Endpoint, EndpointRecord] = {}  # as discovery sent them; with readiness only
        self._updated = False

    def update(self, message: EndpointListMessage, clock_offset: Ticks) -> tuple[UpdateScope, list[EndpointRecord]]:
        """Returns what the decisions are to be given of a list or of changes to it.

        `clock_offset` is what discovery's clock lacks of ours; it is fixed while one stream lasts.
        """
        records = [self._record_of(row, clock_offset) for row in message.units]
        scope = UpdateScope.SNAPSHOT if message.coverage == "full" else UpdateScope.DELTA
        if not self._updated:
            scope = UpdateScope.CACHED
            self._updated = True
        if self._readiness is not None:
            records = self._store_listed(self._readiness, scope, records)
        return scope, records

    def _record_of(self, row: EndpointMessage, clock_offset: Ticks) -> EndpointRecord:
        endpoint = self.registry.get_or_add(row.unit)
        started_at = 0
        if row.started_ms is not None:
            started_at = max(1, int(row.started_ms * TICKS_PER_MS) + clock_offset)
            known = self.destinations.get(endpoint)
            # One incarnation keeps its start, though another stream compares the clocks again.
            if (
                known
                and known.build == row.build
                and known.started_at
                and abs(known.started_at - started_at) < SAME_START_TICKS
            ):
                started_at = known.started_at
        self.destinations[endpoint] = Destination(row.host, row.port, row.build, started_at)
        status = ENDPOINT_STATUSES[row.condition]
        return EndpointRecord(endpoint, row.zone, row.cell, row.kind, started_at, row.build, row.size, status)

    def _store_listed(
        self, readiness: Readiness, scope: UpdateScope, records: list[EndpointRecord]
    ) -> list[EndpointRecord]:
        if scope is not UpdateScope.DELTA:
            self._listed.clear()
        for record in records:
            if record.status is EndpointStatus.REMOVED:
                self._listed.pop(record.endpoint, None)
            else:
                self._listed[record.endpoint] = record
        readiness.builds_listed(record.build for record in self._listed.values())
        return [self._withheld(readiness, record) for record in records]

    @staticmethod
    def _withheld(readiness: Readiness, record: EndpointRecord) -> EndpointRecord:
        """Returns a ready endpoint as draining if its build may have no requests."""
        if record.status is not EndpointStatus.READY or readiness.accepts_traffic(record.build):
            return record
        return replace(record, status=EndpointStatus.DRAINING)

    def changed_by_readiness(self) -> list[EndpointRecord]:
        """Returns the endpoints whose build may have requests now, or may not any more."""
        if self._readiness is None:
            return []
        records = [self._withheld(self._readiness, record) for record in self._listed.values()]
        return [record for record in records if record.status is not record.endpoint.status]

    def drop_removed(self, now: Ticks) -> None:
        """Drops endpoints removed long ago, so that tables don't grow while endpoints come and go."""
        for endpoint in self.destinations:
            if endpoint.status is EndpointStatus.REMOVED:
                self.removed.setdefault(endpoint, now + self._retention)
            else:
                self.removed.pop(endpoint, None)
        for endpoint in [endpoint for endpoint, until in self.removed.items() if until <= now]:
            del self.removed[endpoint]
            del self.destinations[endpoint]
            self.registry.forget(endpoint)
