"""The endpoints that a host knows, by name and by the ids that gossip uses for them."""

from __future__ import annotations

from collections.abc import Callable

from lanelead.decisions.interface import Endpoint
from lanelead.runtime.short_ids import SHORT_ID_MASK, ShortIds, long_id_of


class EndpointRegistry:
    """Endpoints by name and by short id; the simulator adapter and the relays on sockets share it.

    `new_endpoint` makes the decisions' own object from the short id of an endpoint that is seen first.
    """

    def __init__(self, new_endpoint: Callable[[int], Endpoint]) -> None:
        self._new_endpoint = new_endpoint
        self.by_name: dict[str, Endpoint] = {}
        self.names: dict[Endpoint, str] = {}
        self.short_ids = ShortIds()
        self._retired: dict[Endpoint, None] = {}

    def get_or_add(self, name: str) -> Endpoint:
        """Returns the endpoint of this name; one that was retired is reported in gossip again."""
        endpoint = self.by_name.get(name)
        if endpoint is None:
            long_id = long_id_of(name)
            endpoint = self._new_endpoint(long_id & SHORT_ID_MASK)
            self.by_name[name] = endpoint
            self.names[endpoint] = name
            self.short_ids.add(long_id, endpoint)
        elif endpoint in self._retired:
            del self._retired[endpoint]
            self.short_ids.add(long_id_of(name), endpoint)
        return endpoint

    def forget(self, endpoint: Endpoint) -> None:
        """Drops an endpoint that is removed: one that comes back by its name is a new one."""
        name = self.names.pop(endpoint, None)
        if name is not None:
            del self.by_name[name]
            self._retired.pop(endpoint, None)
            self.short_ids.drop(endpoint)

    def retire(self, endpoint: Endpoint) -> None:
        """Frees the short id of an endpoint removed so long ago that no relay reports it; its name stays its own."""
        self._retired[endpoint] = None
        self.short_ids.drop(endpoint)
