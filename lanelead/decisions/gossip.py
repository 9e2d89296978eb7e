"""Which relay sends gossip to which: outcomes that relays saw, and attempts that they have in flight."""

from collections.abc import Iterable, Sequence
from random import Random

from lanelead.decisions.interface import GossipEntry, RelayPosition, SendGossip

FULL_MESH_SIZE = 8  # relays that all send to each other, at most
AGGREGATORS = FULL_MESH_SIZE // 2  # in a larger fleet
TOTALS_EVERY = 4  # intervals in which an aggregator sends its totals to every relay once


class GossipPeers:
    """The relays that one relay sends gossip to.

    In a small fleet all send to all. In a larger one the first relays are aggregators: a relay sends what it saw to
    one of them, drawn at random, which sends it to the watchers (as many as can roll a build back); it sends what it
    has in flight to all of them, and each sends the totals to every relay in turn. Guards against traffic that grows
    with the square of the relays, and against a lost aggregator.
    """

    def __init__(self, position: RelayPosition, rollback_votes: int, rng: Random) -> None:
        relays = position.relay_count
        self._number = position.number
        self._relays = relays
        self._rng = rng
        self._aggregators = relays if relays <= FULL_MESH_SIZE else AGGREGATORS
        self._intervals = position.number  # messages() calls so far, each relay's from a start of its own
        self.watcher_count = min(relays, max(self._aggregators, rollback_votes * 5 // 4))
        self.is_aggregator = position.number < self._aggregators
        self.is_watcher = position.number < self.watcher_count

    def forwards_from(self, sender: int) -> bool:
        """Say whether this relay forwards the outcomes that a sender reports."""
        return self.is_aggregator and sender >= self._aggregators

    def messages(
        self, observed: Sequence[GossipEntry], in_flight: Sequence[GossipEntry], totals: Sequence[GossipEntry]
    ) -> Iterable[SendGossip]:
        """Yield this interval's messages; `totals` are an aggregator's sums over all relays."""
        self._intervals += 1
        both = [*observed, *in_flight]
        addressed: list[tuple[int, Sequence[GossipEntry]]]
        if self.is_aggregator:
            addressed = [(peer, both if peer < self._aggregators else observed) for peer in range(self.watcher_count)]
            first = self._aggregators + self._intervals % TOTALS_EVERY
            addressed += [(peer, totals) for peer in range(first, self._relays, TOTALS_EVERY)]
        else:
            drawn = self._rng.randrange(self._aggregators) if observed else -1
            addressed = [(peer, both if peer == drawn else in_flight) for peer in range(self._aggregators)]
        for peer, entries in addressed:
            if entries and peer != self._number:
                yield SendGossip(peer, entries)
