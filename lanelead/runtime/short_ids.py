"""Ids of endpoints in gossip, and the handling of endpoints whose ids collide.

An endpoint's long id is the CRC-32 of its name, and its short id is the low 16 bits of that. Gossip normally uses the
short id.

- Sending: endpoints that share their short id with another known endpoint are reported by their long ids. Endpoints
  that share even the long id are not reported at all; each relay then relies on what it observes itself.
- Receiving: a short id is understood only if exactly one known endpoint has it. If several have it, the message may
  mean any of them, since its sender may know fewer of them or run an earlier version.
- Removed endpoints count as known until they are forgotten, since other relays may still report them.

One case remains in which a report is attributed to the wrong endpoint: two endpoints share a short id, the sender knows
only one of them, and the receiver knows only the other. For random names, the chance is 1 in 65,536 for each pair of an
endpoint that one relay does not know yet and an endpoint that the other relay does not know or has forgotten.

With random names, two endpoints share a long id in 0.7% of fleets of 7,800 endpoints, and in 0.007% of fleets of 780.
Names of equal length that differ only within four consecutive bytes never share one, since a CRC-32 detects every
error burst of up to 32 bits.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable

from lanelead.decisions.interface import Endpoint

NO_LONG_ID = -1  # as an endpoint's `long_id`: gossip does not report this endpoint
SHORT_ID_MASK = 0xFFFF


def long_id_of(name: str) -> int:
    """Returns an endpoint's long id; its low 16 bits are its short id."""
    return zlib.crc32(name.encode())


class ShortIds:
    """Maps short and long ids to endpoints, and sets each endpoint's `long_id`.

    `long_id` is 0 if the endpoint is reported by its short id, `NO_LONG_ID` if it is not reported, and otherwise the
    long id by which it is reported.

    `skipped` counts rows and messages that were not understood, by reason:

    - 'form': the message has an unknown format.
    - 'length': the message has a wrong length.
    - 'doubled': a short id occurs twice in a message, as earlier versions report two endpoints that share it.
    - 'shared': several known endpoints have the id.
    - 'unknown': no known endpoint has the id.
    - 'other': the observation is of another build or an unknown request class, or its endpoint is not ready.
    """

    def __init__(self) -> None:
        self.unique: dict[int, Endpoint] = {}  # by short id, if exactly one endpoint has it
        self._shared: dict[int, list[Endpoint]] = {}  # by short id, if several endpoints have it
        self._long_ids: dict[Endpoint, int] = {}
        self.skipped = Counter[str]()

    def __len__(self) -> int:
        """Returns the number of endpoints."""
        return len(self._long_ids)

    def add(self, long_id: int, endpoint: Endpoint) -> None:
        """Adds an endpoint. If others have its short id, all of them are reported by long id from now on."""
        short_id = long_id & SHORT_ID_MASK
        self._long_ids[endpoint] = long_id
        self._assign(short_id, [*self._endpoints_of(short_id), endpoint])

    def drop(self, endpoint: Endpoint) -> None:
        """Removes an endpoint, which is not reported any more. Its short id may become unique to another one."""
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

    def endpoints_sharing_short_ids(self) -> list[Endpoint]:
        """Returns the endpoints that share their short id with another."""
        return [endpoint for endpoints in self._shared.values() for endpoint in endpoints]

    def by_long_id(self, long_id: int) -> Endpoint | None:
        """Returns the endpoint of this long id, even if its short id is unique here.

        If no endpoint or several have the id, it is counted as skipped and None is returned.
        """
        endpoints = [
            endpoint for endpoint in self._endpoints_of(long_id & SHORT_ID_MASK) if self._long_ids[endpoint] == long_id
        ]
        if len(endpoints) == 1:
            return endpoints[0]
        self._count_skipped(bool(endpoints))
        return None

    def by_short_id(self, short_id: int) -> Endpoint | None:
        """Returns the endpoint of this short id.

        If no endpoint or several have the id, it is counted as skipped and None is returned.
        """
        endpoint = self.unique.get(short_id)
        if endpoint is None:
            self._count_skipped(short_id in self._shared)
        return endpoint

    def count_unknown(self, short_ids: Iterable[int]) -> None:
        """Counts short ids that do not belong to exactly one endpoint as skipped."""
        for short_id in short_ids:
            self._count_skipped(short_id in self._shared)

    def _count_skipped(self, shared: bool) -> None:
        self.skipped["shared" if shared else "unknown"] += 1
