"""Units as one relay knows them: from the roster, from trips and probes, and from peers. Nothing decides."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from random import Random

from lanelead.decisions.interface import (
    LOADS,
    Answered,
    Condition,
    Coverage,
    Duties,
    Lane,
    Least,
    Listing,
    Load,
    Member,
    Out,
    Pace,
    Sighting,
    Ticks,
    Trip,
    Unit,
    Word,
)
from lanelead.decisions.sums import Fading


class Server(Unit):
    def __init__(self, mark: int, span: Ticks, done_span: Ticks, lot: float) -> None:
        super().__init__(mark)
        self.out: dict[Trip, None] = {}  # trips without an end yet, oldest first
        self.listed, self.aside = 0, 0  # when it was, and until when it is set aside
        self.trips, self.strikes, self.pace = Fading(span), Fading(span), Fading(span)
        self.done, self.cold_sends = Fading(done_span), deque[Ticks]()
        self.lot = lot  # where the row of lots begins that round its cold budget, up or down
        self.mute = False  # the last trip there got no answer
        self.told, self.wait = -1, 0  # when it last answered a probe, and the wait that it told of

    def sent(self, now: Ticks, span: Ticks) -> int:
        """How many trips set out to it in the last span."""
        while self.cold_sends and self.cold_sends[0] <= now - span:
            self.cold_sends.popleft()
        return len(self.cold_sends)


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
                server.mute = False
            server.update(told)
            self.known[server] = None
        self.ready = [server for server in self.known if server.condition is Condition.READY]
        self.known = {server: None for server in self.known if server.condition is not Condition.GONE}
        builds = sorted({server.build for server in self.ready}, reverse=True)
        self.groups = {build: [server for server in self.ready if server.build == build] for build in builds}


class Traffic:
    """What passes through one relay, each as a sum that decays."""

    def __init__(self, span: Ticks) -> None:
        self.taken, self.shed = Fading(span), Fading(span)  # lookups
        self.copies, self.done = Fading(span), Fading(span)  # trips: second copies, and those done
        self.busy = Fading(span)  # trips that kept a unit busy, at all relays that tell


def warmth(unit: Unit, duties: Duties, now: Ticks) -> float:
    """How much of its work a unit may be given, by how long ago it started: 1 once it is warm."""
    age = now - unit.since
    if unit.since <= 0 or age >= duties.cold_time:
        return 1.0
    return duties.cold_share + (1 - duties.cold_share) * max(0, age) / max(1, duties.cold_time)


class Fares(dict[tuple[Member | None, Lane], tuple[Fading, Fading]]):
    """By member and lane, the lookups that ended and those that were timely: made once they come. Guards
    against state of each of many thousand members at each relay, most of which never ask there."""

    def __init__(self, span: Ticks) -> None:
        super().__init__()
        self._span = span

    def __missing__(self, fare: tuple[Member | None, Lane]) -> tuple[Fading, Fading]:
        self[fare] = made = Fading(self._span), Fading(self._span)
        return made


class Untold:
    """Outcomes that this relay saw, or passes on, and has not told yet; one row a unit, lane and build."""

    def __init__(self, kinds: int) -> None:
        self._kinds = kinds
        self._rows: dict[tuple[Server, Lane, int], Sighting] = {}

    def note(self, server: Server, lane: Lane, outcomes: int, faults: Sequence[int]) -> None:
        at = server, lane, server.build
        seen = self._rows.setdefault(at, Sighting(*at, 0, [0] * self._kinds))
        seen.outcomes += outcomes
        seen.faults = [n + more for n, more in zip(seen.faults, faults, strict=True)]

    def take(self) -> list[Sighting]:
        rows, self._rows = [*self._rows.values()], {}
        return rows


class Pacing:
    """How long trips take over the whole fleet: those out over those answered (Little 1961). Each relay tells
    the hubs how many answers it got in the last span, not what came since it last told: a letter that is lost
    makes no answer fewer. Hubs add up and tell all; what is older than the span is not known any more."""

    def __init__(self, span: Ticks, now: Ticks) -> None:
        self._span, self._began, self._answers = span, now, Fading(span)
        self._told = dict[int, tuple[Ticks, int]]()
        self._took, self._at = 0, now - span

    def note(self, answers: int, now: Ticks) -> None:
        self._answers.add(now, answers)

    def own(self, chance: Random, now: Ticks) -> Answered:
        """Parts of an answer go by lot: each of hundreds of relays has few."""
        return Answered(int(self._answers.read(now) + chance.random()))

    def hear(self, peer: int, word: Word, now: Ticks) -> None:
        if isinstance(word, Answered):
            self._told[peer] = now, word.many
        elif isinstance(word, Pace):
            self._took, self._at = word.took, now

    def measure(self, out: int, enough: int, now: Ticks) -> list[Pace]:
        """Nothing before as many answers as are enough came in one span, and two spans have passed."""
        self._told = {peer: told for peer, told in self._told.items() if told[0] > now - self._span}
        answers = self._answers.read(now) + sum(many for _, many in self._told.values())
        if answers < enough or now < self._began + 2 * self._span:
            return []
        self._took, self._at = int(out / answers * self._span), now
        return [Pace(self._took)]

    def took(self, now: Ticks) -> Ticks | None:
        return self._took if self._at > now - self._span else None


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

    def hear(self, peer: int | None, said: Sequence[Out], now: Ticks) -> None:
        """All that a peer has out itself; none: all that all have out, this relay's trips among them."""
        loads = [word for word in said if isinstance(word, Load)]
        if peer is not None:
            self._told[peer] = now, loads
        else:
            self._at, rows = now, ((mine(load.unit), load.trips) for load in loads)
            self._others = {server: trips - len(server.out) for server, trips in rows}
            # A full letter left out units with no more than the least it tells of; they are not idle.
            full = loads[-1].trips if len(loads) >= LOADS else 0
            self._rest = next((word.trips for word in said if isinstance(word, Least)), full)

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


class Tier:
    """Some zones that stand equal, as one relay sees them."""

    def __init__(self, span: Ticks) -> None:
        self.full, self.present = 0.0, 0.0  # the size it had lately, and what of it is there and warm
        self.ended, self.bad = Fading(span), Fading(span)  # outcomes, and those a full or lost tier gives
        self.gone = 0.0  # the part of its lookups that are to pass it by
        self.grant, self.held = 0.0, 0.0  # strangers let in: the part of the limit, and trips that may go now
        self.distrust, self.failing = 0.0, False
