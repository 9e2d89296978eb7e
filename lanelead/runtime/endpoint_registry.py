"""The endpoints that a host knows, by name and by the ids that gossip uses."""

from __future__ import annotations

from collections.abc import Callable

from lanelead.decisions.interface import Endpoint
from lanelead.runtime.short_ids import SHORT_ID_MASK, ShortIds, long_id_of


class EndpointRegistry:
    """Maps names and short ids to endpoints. The relays and the simulator adapter use it.

    `new_endpoint` creates the decisions' endpoint object for a short id; it is called for each new name.
    """

    def __init__(self, new_endpoint: Callable[[int], Endpoint]) -> None:
        self._new_endpoint = new_endpoint
        self.by_name: dict[str, Endpoint] = {}
        self.names: dict[Endpoint, str] = {}
        self.short_ids = ShortIds()
        self._retired: dict[Endpoint, None] = {}

    def get_or_add(self, name: str) -> Endpoint:
        """Returns the endpoint of this name, and creates it if needed. A retired endpoint gets its short id back."""
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
        """Deletes a removed endpoint; if its name is listed again, a new endpoint is created."""
        name = self.names.pop(endpoint, None)
        if name is not None:
            del self.by_name[name]
            self._retired.pop(endpoint, None)
            self.short_ids.drop(endpoint)

    def retire(self, endpoint: Endpoint) -> None:
        """Frees an endpoint's short id for gossip, but keeps its name.

        This is for an endpoint that was removed so long ago that no relay reports it any more.
        """
        self._retired[endpoint] = None
        self.short_ids.drop(endpoint)
