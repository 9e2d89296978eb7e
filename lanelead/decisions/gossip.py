"""Who tells whom of a fleet: what relays saw, and what they have out."""

from collections.abc import Iterable, Sequence
from random import Random

from lanelead.decisions.interface import GossipEntry, RelayPosition, SendGossip

CIRCLE = 8  # relays that tell each other directly, at most


class Circle:
    """A small circle tells all. Else a drawn hub hears what was seen and tells watchers, who can send back;
    all hubs hear what is out, and tell all in turns. Guards against bytes by the square and lost hubs."""

    def __init__(self, place: RelayPosition, back_votes: int, rng: Random) -> None:
        self._number, self._relays, self._rng = place.number, place.relay_count, rng
        self._hubs, self._beats = place.relay_count if place.relay_count <= CIRCLE else CIRCLE // 2, place.number
        self.watchers = min(place.relay_count, max(self._hubs, back_votes * 5 // 4))
        self.hub, self.watches = place.number < self._hubs, place.number < self.watchers

    def passes_on(self, sender: int) -> bool:
        return self.hub and sender >= self._hubs

    def letters(
        self, seen: Sequence[GossipEntry], out: Sequence[GossipEntry], in_all: Sequence[GossipEntry]
    ) -> Iterable[SendGossip]:
        both, self._beats = [*seen, *out], self._beats + 1
        if self.hub:
            letters = [(peer, both if peer < self._hubs else seen) for peer in range(self.watchers)]
            letters += [(peer, in_all) for peer in range(self._hubs + self._beats % 4, self._relays, 4)]
        else:
            drawn = self._rng.randrange(self._hubs) if seen else -1
            letters = [(hub, both if hub == drawn else out) for hub in range(self._hubs)]
        yield from (SendGossip(peer, said) for peer, said in letters if said and peer != self._number)
