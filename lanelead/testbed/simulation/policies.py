"""Other ways to spill over, for comparison only, with the methods of `ZoneSpillover`: never used by a relay."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from random import Random

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import EndpointStatus, Request, ServiceLimits
from lanelead.decisions.zone_spillover import EndpointPools

Tiers = tuple[tuple[str, ...], ...]


class NoSpill:
    """A lookup stays in its own zone, whatever happens."""

    def __init__(self, tiers: Tiers, limits: ServiceLimits, rng: Random) -> None:
        self._tiers, self._rng = tiers, rng
        self._place = {zone: place for place, zones in enumerate(tiers) for zone in zones}
        self.health = [1.0] * len(tiers)
        self._full = [0] * len(tiers)

    def tier_index(self, server: EndpointState) -> int:
        return self._place.get(server.zone, len(self._tiers) - 1)

    def record_outcomes(self, server: EndpointState, outcomes: int, bad: int, now: int) -> None: ...
    def forget(self, request: Request) -> None: ...
    def take_token(self, server: EndpointState) -> None: ...

    def is_degraded(self, server: EndpointState) -> bool:
        return False

    def update(self, servers: Iterable[EndpointState], rate: float, trial: bool, now: int) -> None:
        here = [0] * len(self._tiers)
        for server in servers:
            # Healthy: listed, and not set aside by the relay's own outlier rule.
            here[self.tier_index(server)] += server.status is EndpointStatus.READY and server.ejected_until <= now
        self._full = [max(full, many) for full, many in zip(self._full, here, strict=True)]
        self.health = [many / full if full else 0.0 for many, full in zip(here, self._full, strict=True)]

    def choose(self, request: Request) -> list[int]:
        return [0]

    def candidate_pools(self, pools: EndpointPools, request: Request) -> Iterator[EndpointPools]:
        open_ = self.choose(request)
        yield {build: [s for s in some if self.tier_index(s) in open_] for build, some in pools.items()}


class AllAtOnce(NoSpill):
    """The first tier that has any healthy unit takes all."""

    def choose(self, request: Request) -> list[int]:
        return [next((place for place, health in enumerate(self.health) if health > 0), 0)]


class HealthShare(NoSpill):
    """Envoy's priority levels: a level takes min(1, 1.4 x its healthy share), the next what is left; below a
    total of one, in proportion; a level whose healthy share is under a half is in panic, and all its listed
    units are used (Envoy's documentation, 'Priority levels' and 'Panic threshold')."""

    def choose(self, request: Request) -> list[int]:
        scores = [min(1.0, 1.4 * health) for health in self.health]
        total = min(1.0, sum(scores))
        if total <= 0:
            return [0]
        draw, left = self._rng.random(), 1.0
        for place, score in enumerate(scores):
            share = min(left, score / total)
            if draw < share:
                return [place]
            draw, left = draw - share, left - share
        return [len(scores) - 1]


POLICIES = {"none": NoSpill, "all at once": AllAtOnce, "health share": HealthShare}
