"""Turns discovery's endpoint lists into records for the decisions."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lanelead.decisions.interface import Endpoint, EndpointRecord, EndpointStatus, Ticks, UpdateScope
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage
from lanelead.protocols.vocabulary import ENDPOINT_STATUSES
from lanelead.runtime.destination import Destination
from lanelead.runtime.endpoint_registry import EndpointRegistry

if TYPE_CHECKING:  # only relays that heed migrations load these
    from lanelead.migrations.readiness import Readiness

TICKS_PER_MS = 10
# The clock offset is measured anew on each stream; start times of one incarnation differ by less than this between two.
START_TIME_TOLERANCE_TICKS: Ticks = 1000


class EndpointList:
    """The listed endpoints and their destinations.

    Parameters
    ----------
    registry
        Maps the listed names to endpoints.
    readiness
        Which builds the migrations allow to receive requests; ready endpoints of other builds are reported as
        draining. None if no migrations are run.
    retention
        How long, in ticks, a removed endpoint is kept, since an attempt may still run there.
    """

    def __init__(self, registry: EndpointRegistry, readiness: Readiness | None, retention: Ticks) -> None:
        self.registry = registry
        self.destinations: dict[Endpoint, Destination] = {}
        self.removed: dict[Endpoint, Ticks] = {}  # until when each removed endpoint is kept
        self._readiness = readiness
        self._retention = retention
        self._listed_records: dict[Endpoint, EndpointRecord] = {}  # as discovery sent them; empty without `readiness`
        self._has_received_list = False

    def update(self, message: EndpointListMessage, clock_offset: Ticks) -> tuple[UpdateScope, list[EndpointRecord]]:
        """Applies an endpoint list, or changes to it, and returns the update for the decisions.

        The first message has the scope CACHED: the endpoints then count as listed since they started, not since now.

        Parameters
        ----------
        message
            The list or the changes.
        clock_offset
            The driver's clock minus discovery's, in ticks. It is constant for the life of a stream.
        """
        records = [self._to_record(row, clock_offset) for row in message.units]
        scope = UpdateScope.SNAPSHOT if message.coverage == "full" else UpdateScope.DELTA
        if not self._has_received_list:
            scope = UpdateScope.CACHED
            self._has_received_list = True
        if self._readiness is not None:
            records = self._store_listed(self._readiness, scope, records)
        return scope, records

    def _to_record(self, row: EndpointMessage, clock_offset: Ticks) -> EndpointRecord:
        endpoint = self.registry.get_or_add(row.unit)
        started_at = 0
        if row.started_ms is not None:
            started_at = max(1, int(row.started_ms * TICKS_PER_MS) + clock_offset)
            known = self.destinations.get(endpoint)
            # Keep an incarnation's start time although another stream's clock offset differs a little.
            if (
                known
                and known.build == row.build
                and known.started_at
                and abs(known.started_at - started_at) < START_TIME_TOLERANCE_TICKS
            ):
                started_at = known.started_at
        self.destinations[endpoint] = Destination(row.host, row.port, row.build, started_at)
        status = ENDPOINT_STATUSES[row.condition]
        return EndpointRecord(endpoint, row.zone, row.cell, row.kind, started_at, row.build, row.size, status)

    def _store_listed(
        self, readiness: Readiness, scope: UpdateScope, records: list[EndpointRecord]
    ) -> list[EndpointRecord]:
        if scope is not UpdateScope.DELTA:
            self._listed_records.clear()
        for record in records:
            if record.status is EndpointStatus.REMOVED:
                self._listed_records.pop(record.endpoint, None)
            else:
                self._listed_records[record.endpoint] = record
        readiness.builds_listed(record.build for record in self._listed_records.values())
        return [self._apply_readiness(readiness, record) for record in records]

    @staticmethod
    def _apply_readiness(readiness: Readiness, record: EndpointRecord) -> EndpointRecord:
        """Returns the record, with a ready endpoint as draining if its build may not receive requests."""
        if record.status is not EndpointStatus.READY or readiness.accepts_traffic(record.build):
            return record
        return replace(record, status=EndpointStatus.DRAINING)

    def changed_by_readiness(self) -> list[EndpointRecord]:
        """Returns records of the endpoints whose status changes because of the migrations' readiness."""
        if self._readiness is None:
            return []
        records = [self._apply_readiness(self._readiness, record) for record in self._listed_records.values()]
        return [record for record in records if record.status is not record.endpoint.status]

    def drop_removed(self, now: Ticks) -> None:
        """Forgets endpoints that were removed at least `retention` ticks ago, to bound the memory used."""
        for endpoint in self.destinations:
            if endpoint.status is EndpointStatus.REMOVED:
                self.removed.setdefault(endpoint, now + self._retention)
            else:
                self.removed.pop(endpoint, None)
        for endpoint in [endpoint for endpoint, until in self.removed.items() if until <= now]:
            del self.removed[endpoint]
            del self.destinations[endpoint]
            self.registry.forget(endpoint)
