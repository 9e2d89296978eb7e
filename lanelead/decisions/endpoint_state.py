"""Units as one relay knows them: from the roster, from trips and probes, and from peers. Nothing decides."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from random import Random

from lanelead.decisions.counters import Fading
from lanelead.decisions.interface import (
    MAX_IN_FLIGHT_COUNTS,
    Attempt,
    CompletionCount,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FleetLatency,
    GossipEntry,
    InFlightBound,
    InFlightCount,
    InFlightEntry,
    OutcomeObservation,
    RequestClass,
    ServiceLimits,
    Tenant,
    Ticks,
    UpdateScope,
)


class EndpointState(Endpoint):
    def __init__(self, mark: int, span: Ticks, done_span: Ticks, lot: float) -> None:
        super().__init__(mark)
        self.out: dict[Attempt, None] = {}  # trips without an end yet, oldest first
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


def state_of(unit: Endpoint) -> EndpointState:
    assert isinstance(unit, EndpointState)
    return unit


class Roster:
    """The servers as last listed, and the ready ones: all, and by build, the newest first."""

    def __init__(self) -> None:
        self.known, self.ready, self.groups = (
            dict[EndpointState, None](),
            list[EndpointState](),
            dict[int, list[EndpointState]](),
        )

    def apply(self, update_scope: UpdateScope, records: Iterable[EndpointRecord], now: Ticks) -> None:
        if update_scope is not UpdateScope.DELTA:
            for server in self.known:
                server.status = EndpointStatus.REMOVED
        for told in records:
            server = state_of(told.endpoint)
            if server not in self.known or (server.build, server.started_at) != (told.build, told.started_at):
                server.listed, server.aside = told.started_at if update_scope is UpdateScope.CACHED else now, 0
                server.mute = False
            server.update(told)
            self.known[server] = None
        self.ready = [server for server in self.known if server.status is EndpointStatus.READY]
        self.known = {server: None for server in self.known if server.status is not EndpointStatus.REMOVED}
        builds = sorted({server.build for server in self.ready}, reverse=True)
        self.groups = {build: [server for server in self.ready if server.build == build] for build in builds}


class Traffic:
    """What passes through one relay, each as a sum that decays."""

    def __init__(self, span: Ticks) -> None:
        self.taken, self.shed = Fading(span), Fading(span)  # lookups
        self.copies, self.done = Fading(span), Fading(span)  # trips: second copies, and those done
        self.busy = Fading(span)  # trips that kept a unit busy, at all relays that tell


def warmth(unit: Endpoint, limits: ServiceLimits, now: Ticks) -> float:
    """How much of its work a unit may be given, by how long ago it started: 1 once it is warm."""
    age = now - unit.started_at
    if unit.started_at <= 0 or age >= limits.slow_start_time:
        return 1.0
    return limits.slow_start_share + (1 - limits.slow_start_share) * max(0, age) / max(1, limits.slow_start_time)


class Fares(dict[tuple[Tenant | None, RequestClass], tuple[Fading, Fading]]):
    """By member and lane, the lookups that ended and those that were timely: made once they come. Guards
    against state of each of many thousand members at each relay, most of which never ask there."""

    def __init__(self, span: Ticks) -> None:
        super().__init__()
        self._span = span

    def __missing__(self, fare: tuple[Tenant | None, RequestClass]) -> tuple[Fading, Fading]:
        self[fare] = made = Fading(self._span), Fading(self._span)
        return made


class Untold:
    """Outcomes that this relay saw, or passes on, and has not told yet; one row a unit, lane and build."""

    def __init__(self, kinds: int) -> None:
        self._kinds = kinds
        self._rows: dict[tuple[EndpointState, RequestClass, int], OutcomeObservation] = {}

    def note(self, server: EndpointState, request_class: RequestClass, outcomes: int, faults: Sequence[int]) -> None:
        at = server, request_class, server.build
        seen = self._rows.setdefault(at, OutcomeObservation(*at, 0, [0] * self._kinds))
        seen.outcomes += outcomes
        seen.faults = [n + more for n, more in zip(seen.faults, faults, strict=True)]

    def take(self) -> list[OutcomeObservation]:
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

    def own(self, rng: Random, now: Ticks) -> CompletionCount:
        """Parts of an answer go by lot: each of hundreds of relays has few."""
        return CompletionCount(int(self._answers.read(now) + rng.random()))

    def hear(self, peer: int, word: GossipEntry, now: Ticks) -> None:
        if isinstance(word, CompletionCount):
            self._told[peer] = now, word.count
        elif isinstance(word, FleetLatency):
            self._took, self._at = word.latency, now

    def measure(self, out: int, enough: int, now: Ticks) -> list[FleetLatency]:
        """Nothing before as many answers as are enough came in one span, and two spans have passed."""
        self._told = {peer: told for peer, told in self._told.items() if told[0] > now - self._span}
        answers = self._answers.read(now) + sum(many for _, many in self._told.values())
        if answers < enough or now < self._began + 2 * self._span:
            return []
        self._took, self._at = int(out / answers * self._span), now
        return [FleetLatency(self._took)]

    def took(self, now: Ticks) -> Ticks | None:
        return self._took if self._at > now - self._span else None


class Outstanding:
    """Trips that the other relays have out at each unit: each told its own, or one told of all."""

    def __init__(self, span: Ticks) -> None:
        self._span = span  # what is older than this is not known any more
        self._told = dict[int, tuple[Ticks, list[InFlightCount]]]()
        self._said: list[EndpointState] = []  # where this relay last said that it had trips out
        self._others, self._at, self._rest = dict[EndpointState, int](), -span, 0

    def own(self, servers: Iterable[EndpointState]) -> list[InFlightCount]:
        """What this relay has out. With nothing out any more it says so once: silence would leave the hubs
        with its last trips until those are too old."""
        busy = [server for server in servers if server.out]
        loads = [InFlightCount(server, len(server.out)) for server in busy or self._said]
        self._said = busy
        return loads

    def hear(self, peer: int | None, said: Sequence[InFlightEntry], now: Ticks) -> None:
        """All that a peer has out itself; none: all that all have out, this relay's trips among them."""
        loads = [word for word in said if isinstance(word, InFlightCount)]
        if peer is not None:
            self._told[peer] = now, loads
        else:
            self._at, rows = now, ((state_of(load.endpoint), load.attempts) for load in loads)
            self._others = {server: attempts - len(server.out) for server, attempts in rows}
            # A full letter left out units with no more than the least it tells of; they are not idle.
            full = loads[-1].attempts if len(loads) >= MAX_IN_FLIGHT_COUNTS else 0
            self._rest = next((word.attempts for word in said if isinstance(word, InFlightBound)), full)

    def add(self, own: Iterable[InFlightCount], now: Ticks) -> list[InFlightCount]:
        """Adds up what the peers told, and gives what all relays have out with this one's own, most first."""
        self._told = {peer: told for peer, told in self._told.items() if told[0] > now - self._span}
        self._at, self._others, self._rest = now, {}, 0
        for _, loads in self._told.values():
            for load in loads:
                server = state_of(load.endpoint)
                self._others[server] = self._others.get(server, 0) + load.attempts
        total = Counter[Endpoint](self._others)
        total.update({load.endpoint: load.attempts for load in own})
        return [InFlightCount(unit, attempts) for unit, attempts in total.most_common()]

    def at(self, server: EndpointState, now: Ticks) -> int:
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
