"""Decides which relay sends gossip to which: observed outcomes, and counts of attempts in flight."""

from collections.abc import Iterable, Sequence
from random import Random

from lanelead.decisions.interface import GossipEntry, RelayPosition, SendGossip

FULL_MESH_SIZE = 8  # the largest fleet of relays in which each sends to all others
AGGREGATORS = FULL_MESH_SIZE // 2  # number of aggregators in a larger fleet
TOTALS_EVERY = 4  # intervals in which an aggregator sends its totals once to every relay


class GossipPeers:
    """The relays that one relay sends gossip to.

    In a small fleet every relay sends to every other. In a larger one such traffic would grow with the square of the
    number of relays, so the first relays are aggregators. A relay sends the outcomes that it observed to one aggregator
    chosen at random, which forwards them to the watchers: the first relays, a quarter more than the votes that a
    rollback takes, and at least all aggregators. A relay sends its counts of attempts in flight to all aggregators, so
    that the loss of one is tolerated, and each aggregator sends the totals to every relay in turn.
    """

    def __init__(self, position: RelayPosition, rollback_votes: int, rng: Random) -> None:
        relays = position.relay_count
        self._number = position.number
        self._relays = relays
        self._rng = rng
        self._aggregators = relays if relays <= FULL_MESH_SIZE else AGGREGATORS
        self._intervals = position.number  # calls of messages(), starting at a different number in each relay
        self.watcher_count = min(relays, max(self._aggregators, rollback_votes * 5 // 4))
        self.is_aggregator = position.number < self._aggregators
        self.is_watcher = position.number < self.watcher_count

    def forwards_from(self, sender: int) -> bool:
        """Return whether this relay, as an aggregator, forwards the outcomes that a sender reports."""
        return self.is_aggregator and sender >= self._aggregators

    def messages(
        self, observed: Sequence[GossipEntry], in_flight: Sequence[GossipEntry], totals: Sequence[GossipEntry]
    ) -> Iterable[SendGossip]:
        """Yield the messages of one update interval.

        `observed` and `in_flight` are the relay's own entries; `totals` are an aggregator's sums over all relays.
        """
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
