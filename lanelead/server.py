"""Units as one relay knows them: from the roster, from trips and probes, and from peers. Nothing decides."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from lanelead.door import LOADS
from lanelead.interface import Condition, Coverage, Listing, Load, Ticks, Trip, Unit
from lanelead.sums import Fading


class Server(Unit):
    def __init__(self, mark: int, span: Ticks, done_span: Ticks, lot: float) -> None:
        super().__init__(mark)
        self.out: dict[Trip, None] = {}  # trips without an end yet, oldest first
        self.listed, self.aside = 0, 0  # when it was, and until when it is set aside
        self.trips, self.strikes, self.pace = Fading(span), Fading(span), Fading(span)
        self.done, self.cold_sends = Fading(done_span), deque[Ticks]()
        self.lot = lot  # rounds its cold budget, up or down
        self.told, self.wait = -1, 0  # when it last answered a probe, and the wait that it told of


def mine(unit: Unit) -> Server:
    assert isinstance(unit, Server)
    return unit


class Roster:
    """The servers as last listed, and the ready ones: all, and by build, the newest first."""

    def __init__(self) -> None:
        self.known, self.ready, self.groups = dict[Server, None](), list[Server](), dict[int, list[Server]]()

    def apply(self, coverage: Coverage, listings: Iterable[Listing], now: Ticks) -> None:
        if coverage is not Coverage.CHANGES:
            for server in self.known:
                server.condition = Condition.GONE
        for told in listings:
            server = mine(told.unit)
            if server not in self.known or (server.build, server.since) != (told.build, told.since):
                server.listed, server.aside = told.since if coverage is Coverage.CACHED else now, 0
            server.update(told)
            self.known[server] = None
        self.ready = [server for server in self.known if server.condition is Condition.READY]
        self.known = {server: None for server in self.known if server.condition is not Condition.GONE}
        builds = sorted({server.build for server in self.ready}, reverse=True)
        self.groups = {build: [server for server in self.ready if server.build == build] for build in builds}


class Outstanding:
    """Trips that the other relays have out at each unit: each told its own, or one told of all."""

    def __init__(self, span: Ticks) -> None:
        self._span = span  # what is older than this is not known any more
        self._told = dict[int, tuple[Ticks, list[Load]]]()
        self._said: list[Server] = []  # where this relay last said that it had trips out
        self._others, self._at, self._rest = dict[Server, int](), -span, 0

    def own(self, servers: Iterable[Server]) -> list[Load]:
        """What this relay has out. With nothing out any more it says so once: silence would leave the hubs
        with its last trips until those are too old."""
        busy = [server for server in servers if server.out]
        loads = [Load(server, len(server.out)) for server in busy or self._said]
        self._said = busy
        return loads

    def hear(self, peer: int | None, loads: list[Load], now: Ticks) -> None:
        """All that a peer has out itself; none: all that all have out, this relay's trips among them."""
        if peer is not None:
            self._told[peer] = now, loads
        else:
            self._at, rows = now, ((mine(load.unit), load.trips) for load in loads)
            self._others = {server: trips - len(server.out) for server, trips in rows}
            # A full letter left out units with no more than the least it tells of; they are not idle.
            self._rest = loads[-1].trips if len(loads) >= LOADS else 0

    def add(self, own: Iterable[Load], now: Ticks) -> list[Load]:
        """Adds up what the peers told, and gives what all relays have out with this one's own, most first."""
        self._told = {peer: told for peer, told in self._told.items() if told[0] > now - self._span}
        self._at, self._others, self._rest = now, {}, 0
        for _, loads in self._told.values():
            for load in loads:
                server = mine(load.unit)
                self._others[server] = self._others.get(server, 0) + load.trips
        total = Counter[Unit](self._others)
        total.update({load.unit: load.trips for load in own})
        return [Load(unit, trips) for unit, trips in total.most_common()]

    def at(self, server: Server, now: Ticks) -> int:
        """The others' trips there at the most, 0 where nothing is known."""
        told = self._others.get(server, self._rest - len(server.out))
        return max(0, told) if self._at > now - self._span else 0
