"""Short ids of endpoints in gossip, and how two endpoints with one short id are kept apart.

An endpoint's short id is 16 bits, the low ones of its name's CRC-32. If another endpoint that this relay knows has the
same short id, both are reported by all 32 bits, the long id; two that share that too are not reported at all, and each
relay relies on what it observes there itself. A short id that is received is understood only if exactly one known
endpoint has it: if several have, the message may mean any of them, since its sender may know fewer of them or run an
earlier version. Removed endpoints count as known until they are forgotten, since others may still report them.

What remains: relays book a count or an observation on the wrong endpoint while the sender knows only the one, and the
receiver only the other, of two endpoints with one short id. Of endpoints named without a pattern, two share a short id
once in 65,536: that is the chance for each pair of an endpoint that one relay doesn't know yet and one that another
doesn't know, or has forgotten. Two of 7,800 share a long id in 0.7% of such fleets, two of 780 in 0.007%; names of one
length that differ only within four consecutive bytes never do (a CRC of 32 bits detects each burst of that length).
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable

from lanelead.decisions.interface import Endpoint

NO_LONG_ID = -1  # as an endpoint's long id: it is not reported
SHORT_ID_MASK = 0xFFFF


def long_id_of(name: str) -> int:
    """Returns an endpoint's long id; its low 16 bits are its short id."""
    return zlib.crc32(name.encode())


class ShortIds:
    """Endpoints by short and by long id; sets `Endpoint.long_id` of those that share their short id, else 0.

    `skipped` counts the rows and messages that were not understood, by reason: 'form', 'length', 'doubled' (one short
    id twice in one message, as earlier versions report two endpoints), 'shared', 'unknown', and 'other' for
    observations of a build or class that is not what this relay knows, or of an endpoint that is not ready.
    """

    def __init__(self) -> None:
        self.unique: dict[int, Endpoint] = {}  # by short id, if no other has it
        self._shared: dict[int, list[Endpoint]] = {}  # by short id, if several have it
        self._long_ids: dict[Endpoint, int] = {}
        self.skipped = Counter[str]()

    def __len__(self) -> int:
        return len(self._long_ids)

    def add(self, long_id: int, endpoint: Endpoint) -> None:
        """Adds an endpoint; others that have its short id are reported by their long ids from now on."""
        short_id = long_id & SHORT_ID_MASK
        self._long_ids[endpoint] = long_id
        self._assign(short_id, [*self._endpoints_of(short_id), endpoint])

    def drop(self, endpoint: Endpoint) -> None:
        """Stops reporting the endpoint; its short id may be unique to another one then."""
        long_id = self._long_ids.pop(endpoint, None)
        if long_id is not None:
            short_id = long_id & SHORT_ID_MASK
            self._assign(short_id, [other for other in self._endpoints_of(short_id) if other is not endpoint])
        endpoint.long_id = NO_LONG_ID

    def _endpoints_of(self, short_id: int) -> list[Endpoint]:
        return [self.unique[short_id]] if short_id in self.unique else self._shared.get(short_id, [])

    def _assign(self, short_id: int, endpoints: list[Endpoint]) -> None:
        self.unique.pop(short_id, None)
        self._shared.pop(short_id, None)
        if len(endpoints) == 1:
            self.unique[short_id] = endpoints[0]
            endpoints[0].long_id = 0
        elif endpoints:
            self._shared[short_id] = endpoints
            long_ids = [self._long_ids[endpoint] for endpoint in endpoints]
            for endpoint, long_id in zip(endpoints, long_ids, strict=True):
                endpoint.long_id = long_id if long_id and long_ids.count(long_id) == 1 else NO_LONG_ID

    def sharing(self) -> list[Endpoint]:
        """Returns the endpoints that share their short id with another."""
        return [endpoint for endpoints in self._shared.values() for endpoint in endpoints]

    def by_long_id(self, long_id: int) -> Endpoint | None:
        """Returns the only endpoint of this long id, whether or not it shares its short id here."""
        endpoints = [
            endpoint for endpoint in self._endpoints_of(long_id & SHORT_ID_MASK) if self._long_ids[endpoint] == long_id
        ]
        if len(endpoints) == 1:
            return endpoints[0]
        self._count_skipped(bool(endpoints))
        return None

    def by_short_id(self, short_id: int) -> Endpoint | None:
        """Returns the only endpoint of this short id."""
        endpoint = self.unique.get(short_id)
        if endpoint is None:
            self._count_skipped(short_id in self._shared)
        return endpoint

    def count_unknown(self, short_ids: Iterable[int]) -> None:
        """Counts short ids that are not unique to one endpoint."""
        for short_id in short_ids:
            self._count_skipped(short_id in self._shared)

    def _count_skipped(self, shared: bool) -> None:
        self.skipped["shared" if shared else "unknown"] += 1
