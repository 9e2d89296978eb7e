"""Two units for a lookup's next trip, the better first; and which units are set aside, or full."""

from collections.abc import Iterable, Sequence
from math import ceil
from random import Random
from typing import TypeAlias

from lanelead.decisions.admission import Guards
from lanelead.decisions.endpoint_state import EndpointState, Outstanding, Roster, Traffic
from lanelead.decisions.interface import SECOND, DecisionParameters, RelayPosition, Request, Ticks
from lanelead.decisions.zone_spillover import Pools

SIGHT = 16  # servers looked at for one choice, at most
Some: TypeAlias = Sequence[EndpointState]
Pair: TypeAlias = list[EndpointState]


class Choice:
    """`spared`: how long idle connections last; 0: no matter."""

    def __init__(
        self,
        roster: Roster,
        guards: Guards,
        out: Outstanding,
        traffic: Traffic,
        figures: DecisionParameters,
        spared: Ticks,
        place: RelayPosition,
        rng: Random,
    ) -> None:
        self._roster, self.guards, self.chance, self._out = roster, guards, rng, out
        self._traffic, self._figures, self._spared = traffic, figures, spared
        self._place = place.number / place.relay_count

    def note(self, server: EndpointState, strike: float, now: Ticks) -> None:  # sets aside, but never most units
        server.trips.add(now, 1)
        server.strikes.add(now, strike)
        failing, ready = server.strikes.read(now) >= max(2.0, server.trips.read(now) / 2), self._roster.ready
        if failing and server.aside <= now and 2 * sum(other.aside > now for other in ready) < len(ready):
            server.aside = now + int(2 * self._figures.longest_objective * (1 + self.chance.random()))

    def _room(self, server: EndpointState, now: Ticks) -> bool:
        """One more trip? Up to what it did in six tenths of the expected time: guards against long queues."""
        target = self._figures.shortest_objective // 2
        return not server.out or len(server.out) < 1.2 * server.done.read(now) / (2 * SECOND) * target

    def cost(self, server: EndpointState, now: Ticks) -> float:  # the wait to expect there, as a rank
        attempts = server.trips.read(now)
        load = (1 + len(server.out) + self._out.at(server, now)) / server.capacity
        load *= (1 + server.pace.read(now)) / (1 + attempts)
        # A unit that has gone silent answers nothing at all: its oldest trip tells.
        oldest = next(iter(server.out), None)
        silent = (now - oldest.sent_at) / oldest.request.request_class.latency_objective if oldest else 0.0
        return load * (1 + 3 * server.strikes.read(now) / (1 + attempts)) * (1 + silent)

    def pair(self, cuts: Iterable[Pools], request: Request, lean: float, now: Ticks, asked: Some) -> Pair:
        return next((two for groups in cuts if (two := self._among(groups, request, lean, now, asked))), [])

    def _among(self, groups: Pools, request: Request, lean: float, now: Ticks, asked: Some) -> Pair:
        allows, new = self.guards.exposure.allows, Pair()  # builds that were asked in vain come last
        pools = [some for build, some in groups.items() if some and allows(build, request, now)]
        pools.sort(key=lambda servers: any(server in servers for server in asked))
        while pools and not new:
            new = self.two(pools.pop(0), request, now, asked)
        old = self.two([server for servers in pools for server in servers], request, now, asked)
        return new if new and (not old or self.cost(new[0], now) <= self.cost(old[0], now) * lean) else old

    def two(self, servers: Some, request: Request, now: Ticks, asked: Some) -> Pair:
        fresh, other = Pair(), Pair()
        seen = [*self._near(servers, now), *self.chance.sample(servers, min(SIGHT, len(servers)))]
        for server in dict.fromkeys(seen):
            free = server not in asked and self._room(server, now)
            if free and self.guards.open(server, request, now):
                tried = server.aside > now or any(attempt.endpoint is server for attempt in request.attempts)
                (other if tried else fresh).append(server)
                if len(fresh) == 2:
                    break
        return sorted(fresh or other[:2], key=lambda server: self.cost(server, now))

    def _near(self, servers: Some, now: Ticks) -> Pair:
        """Guards against connections that are used once: a part of the units, a quarter as many as lookups
        come while one lasts. Units stand in one order for all, and the relays' parts go round."""
        requests = self._traffic.taken.read(now) * self._spared / (4 * SECOND)
        part = max(4, ceil(requests / 4 * len(servers) / max(1, len(self._roster.ready))))
        start, order = int(self._place * len(servers)), sorted(servers, key=lambda server: server.short_id)
        near = [*order[start:], *order[:start]][:part] if self._spared else []
        return self.chance.sample(near, min(SIGHT, len(near)))
