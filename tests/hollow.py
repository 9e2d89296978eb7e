"""Many relays' decisions before hollow units, on one clock: what they send to cold units, all together."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import count
from math import sqrt
from random import Random

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    CanaryLimits,
    DeduplicationScope,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FailRequest,
    Idempotency,
    Prices,
    PromotionControl,
    RejectRequest,
    RelayPosition,
    Request,
    RequestClass,
    ResourceQuota,
    RolloutPhase,
    RolloutState,
    ServiceLimits,
    SetTimer,
    StartAttempt,
    Tenant,
    Ticks,
    UpdateScope,
    VotingRules,
)

SECOND: Ticks = 10_000
LANE = RequestClass("read", 8000, 15_000, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0)
DUTIES = ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 4.0, SECOND, False, 0, 50)


class Hollow:
    """A unit: one queue, served as fast as it is warm; a queue of over half a second turns away."""

    def __init__(self, rate: float, since: Ticks) -> None:
        self.rate, self.since, self.free = rate, since, 0.0
        self.sends: deque[Ticks] = deque()
        self.worst = 0.0  # what came in a window, over what may
        self.cold = 0  # that came while it was cold

    def warm(self, now: Ticks) -> float:
        age = now - self.since
        if not self.since or age >= DUTIES.slow_start_time:
            return 1.0
        return DUTIES.slow_start_share + (1 - DUTIES.slow_start_share) * age / DUTIES.slow_start_time

    def asked(self, now: Ticks) -> tuple[AttemptOutcome, Ticks]:
        warm = self.warm(now)
        self.sends.append(now)
        while self.sends[0] <= now - DUTIES.overload_time:
            self.sends.popleft()
        if warm < 1:
            self.cold += 1
            allowed = DUTIES.overload_multiple * self.rate * warm * DUTIES.overload_time / SECOND
            self.worst = max(self.worst, len(self.sends) / (allowed + 2 * sqrt(allowed) + 2))
        if self.free > now + SECOND // 2:
            return AttemptOutcome.REJECTED, 10
        wait = max(0.0, self.free - now)
        self.free = now + wait + SECOND / (self.rate * warm)
        return AttemptOutcome.SUCCEEDED, int(wait) + 500


class Front:
    """One relay, and what became of its lookups."""

    def __init__(self, relay: Balancer, units: list[Endpoint]) -> None:
        self.relay, self.units = relay, units
        self.taken: list[Ticks] = []
        self.sent: list[Ticks] = []
        self.done = self.refused = 0


class Fleet:
    """`weights`: how the demand falls on the relays; `quota`: what all members together may ask a second."""

    def __init__(
        self,
        relays: int,
        units: int,
        rate: float,
        quota: float,
        weights: Sequence[float],
        seed: int,
        limits: ServiceLimits = DUTIES,
    ) -> None:
        self.duties = limits
        self.now, self.chance, self._order = 100 * SECOND, Random(seed), count()
        self.heap: list[tuple[Ticks, int, Front, Callable[[], None]]] = []
        self.units = [Hollow(rate, 0) for _ in range(units)]
        self.weights = weights
        self.members = [Tenant("m", quota, 1.0)] if quota else []
        self.fronts = [self.front(number, relays) for number in range(relays)]

    def front(self, number: int, relays: int) -> Front:
        relay = Balancer(
            position=RelayPosition(number, relays, "z"),
            request_classes=[LANE],
            tenants=self.members,
            quota=ResourceQuota(3, 1000, 100, True, False, True, False, True, 2 * SECOND, SECOND // 4, 15 * SECOND),
            limits=self.duties,
            canary_limits=CanaryLimits((1.0,), (1.0,), 3.0, 3 * SECOND, False, 0, False, False),
            voting_rules=VotingRules(
                PromotionControl.FIRST_VOTE, 1, 1, 1, SECOND, 0, SECOND, 6 * SECOND, 100.0, 0.5, 2.0, 0.0
            ),
            prices=Prices(0.5, 0.0, 0.0, 0.0, 0.0, 0.02, 0.0, 0.1),
            rng=Random(self.chance.random()),
            now=self.now,
        )
        relay.now = self.now
        front = Front(relay, [relay.new_endpoint(place + 1) for place in range(len(self.units))])
        self.tell(front)
        relay.rollout_updated(RolloutState(1, 0, RolloutPhase.PROMOTED, 1.0, 0, False, AttemptOutcome.SUCCEEDED))
        self.carry(front)
        return front

    def tell(self, front: Front) -> None:
        """All units, as they are now: each relay is told at once of each start."""
        rows = zip(front.units, self.units, strict=True)
        front.relay.endpoints_updated(
            UpdateScope.SNAPSHOT,
            [EndpointRecord(u, "z", 0, "k", h.since, 1, 1.0, EndpointStatus.READY) for u, h in rows],
        )

    def start_cold(self, places: Sequence[int]) -> None:
        for place in places:
            self.units[place] = Hollow(self.units[place].rate, self.now)
        for front in self.fronts:
            front.relay.now = self.now
            self.tell(front)
            self.carry(front)

    def at(self, when: Ticks, front: Front, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (max(self.now, when), next(self._order), front, what))

    def demand(self, rate: float, span: Ticks) -> None:
        """Lookups at random times, `rate` a second over all relays."""
        at, end = float(self.now), self.now + span
        while (at := at + self.chance.expovariate(rate) * SECOND) < end:
            front = self.chance.choices(self.fronts, self.weights)[0]
            self.at(int(at), front, partial(self.ask, front))

    def ask(self, front: Front) -> None:
        request = Request(LANE, self.members[0] if self.members else None, None, self.now, self.now + 15_000)
        front.taken.append(self.now)
        front.relay.request_received(request)

    def carry(self, front: Front) -> None:
        actions = list(front.relay.actions)
        front.relay.actions.clear()
        for action in actions:
            if isinstance(action, SetTimer):
                self.at(action.at, front, partial(front.relay.timer_fired, action.request))
            elif isinstance(action, StartAttempt):
                self.go(front, action.attempt)
            elif isinstance(action, RejectRequest | FailRequest):
                front.refused += 1

    def go(self, front: Front, attempt: Attempt) -> None:
        front.sent.append(self.now)
        unit = self.units[front.units.index(attempt.endpoint)]
        outcome, took = unit.asked(self.now)

        def end() -> None:
            front.done += outcome is AttemptOutcome.SUCCEEDED and not attempt.request.finished
            front.relay.attempt_ended(attempt, outcome, outcome is AttemptOutcome.SUCCEEDED, took, None)

        self.at(self.now + took, front, end)

    def run(self, span: Ticks) -> None:
        until = self.now + span
        while self.heap and self.heap[0][0] <= until:
            self.now, _, front, what = heapq.heappop(self.heap)
            front.relay.now = self.now
            what()
            self.carry(front)
        self.now = until


@dataclass
class Found:
    worst: float  # of all cold units, what came in a window over N + 2 x root of N + 2
    taken: int
    done: int
    able: float  # what the units could do meanwhile
    asked: int  # relays that were asked five times or more
    idle: int  # and of these, those that sent nothing
    least: int  # what the cold unit that got least got


def play(
    kind: str,
    relays: int,
    each: float,
    seed: int,
    units: int = 20,
    quota: float = 1.0,
    load: float = 0.9,
    limits: ServiceLimits = DUTIES,
) -> Found:
    """Four seconds from the start of cold units: of 'one', of 'half' or of 'all' before relays that have run
    for 8 s, or 'mass': of all units and all relays at once. `each`: lookups a second and relay; `load`: of
    what all units can do warm; `quota`: what members may ask, as a part of the demand. One relay in seven
    gets several times as many lookups as the others."""
    rng, total = Random(f"{kind} {seed}"), each * relays
    weights = [4.0 if rng.random() < 1 / 7 else rng.uniform(0.2, 1.2) for _ in range(relays)]
    fleet = Fleet(relays, units, total / units / load, total * quota, weights, seed, limits)
    if kind != "mass":
        fleet.demand(total, 12 * SECOND)
        fleet.run(8 * SECOND)
    fleet.start_cold(range({"one": 1, "half": units // 2}.get(kind, units)))
    if kind == "mass":
        fleet.demand(total, 4 * SECOND)
    start, before = fleet.now, sum(front.done for front in fleet.fronts)
    fleet.run(4 * SECOND)
    taken = [sum(at >= start for at in front.taken) for front in fleet.fronts]
    busy = [front for front, many in zip(fleet.fronts, taken, strict=True) if many >= 5]
    cold = [unit for unit in fleet.units if unit.since]
    return Found(
        worst=max(unit.worst for unit in cold),
        taken=sum(taken),
        done=sum(front.done for front in fleet.fronts) - before,
        able=total / load * (1 + DUTIES.slow_start_share) * 2,
        asked=len(busy),
        idle=sum(all(at < start for at in front.sent) for front in busy),
        least=min(unit.cold for unit in cold),
    )
