"""Which zones a lookup may go to, by docs/zones.md. Without tiers all are one: nothing is decided."""

from collections.abc import Iterable, Iterator
from math import exp
from random import Random

from lanelead.decisions.endpoint_state import EndpointState, Tier, warmth
from lanelead.decisions.interface import EndpointStatus, Idempotency, Request, ServiceLimits, Ticks, ZonePreference

ANYWHERE = ZonePreference()
Pools = dict[int, list[EndpointState]]


class Spill:
    def __init__(
        self, preference: ZonePreference, limits: ServiceLimits, longest: Ticks, beat: Ticks, rng: Random
    ) -> None:
        self._wants, self._limits, self._rng = preference, limits, rng
        self._longest, self._beat, self._rate, self._beats = longest, beat, 0.0, 0
        self.tiers = [Tier(2 * longest) for _ in preference.tiers]
        self._place = {zone: place for place, zones in enumerate(preference.tiers) for zone in zones}
        self._draws = dict[Request, float]()

    def place(self, server: EndpointState) -> int:  # zones that no tier names come with the last
        return self._place.get(server.zone, len(self.tiers) - 1)

    def note(self, server: EndpointState, outcomes: int, bad: int, now: Ticks) -> None:
        if self.tiers:
            tier = self.tiers[self.place(server)]
            tier.ended.add(now, outcomes)
            tier.bad.add(now, bad)

    def troubled(self, server: EndpointState) -> bool:  # guards against blaming a build for its lost or full zone
        return bool(self.tiers) and self.tiers[self.place(server)].gone > 0.25

    def left(self, request: Request) -> None:
        self._draws.pop(request, None)

    def beat(self, servers: Iterable[EndpointState], taken: float, trial: bool, now: Ticks) -> None:
        """Once a beat. `taken`: lookups, a sum over 4 s; `trial`: a build's machines may stand beside."""
        if not self.tiers:
            return
        self._beats, steps = self._beats + 1, self._beat / max(1, self._limits.slow_start_time)
        sizes, silent = [0.0] * len(self.tiers), [0] * len(self.tiers)
        for server in servers:
            if server.status is EndpointStatus.READY:
                place = self.place(server)
                sizes[place] += server.capacity * warmth(server, self._limits, now)
                late = (
                    attempt
                    for attempt in server.out
                    if now - attempt.sent_at > attempt.request.request_class.latency_objective // 2
                )
                silent[place] += sum(1 for _ in late)
        troubled = any(tier.gone > 0 for tier in self.tiers)
        rate = taken / (4 * (1 - exp(-self._beats * self._beat / 40_000)))  # a sum that has just begun is low
        self._rate += (rate - self._rate) * max(1 / self._beats, steps / (20 if troubled else 2))
        for place, tier in enumerate(self.tiers):
            if sizes[place] > tier.full and not trial:
                tier.full += (sizes[place] - tier.full) * max(1 / self._beats, steps / 5)
            else:
                tier.full -= max(0.0, tier.full - sizes[place]) * steps / 100
            tier.present = min(sizes[place], tier.full)
            self._judge(tier, silent[place], steps, now)
            self._admit(place, tier, now)

    def _judge(self, tier: Tier, silent: int, steps: float, now: Ticks) -> None:
        listed = 1 - tier.present / tier.full if tier.full else 1.0
        ended, bad = tier.ended.read(now) + silent, tier.bad.read(now) + silent
        seen = max(0.0, (bad - 2) / ended - 0.1) / 0.4 if ended >= 4 else 0.0
        target, self_paced = max(listed, seen), self._rng.uniform(0.5, 1.5)
        if target > tier.gone:
            tier.gone = min(
                target, tier.gone + self._beat / (self._wants.growth_time_factor * self._longest) * self_paced
            )
            if target > 0.5 and not tier.failing:  # it fails once more: trusted more slowly, up to a bound
                tier.failing, tier.distrust = True, min(3.0, tier.distrust + 1)
        else:
            fall = steps / (self._wants.shrink_time_factor * max(1.0, tier.distrust)) * self_paced
            tier.gone = max(target, tier.gone - fall)
            tier.failing = tier.failing and target > 0.3  # a zone that flaps is counted before it is all back
            if tier.gone < 0.1:
                tier.distrust = max(0.0, tier.distrust - steps / 10)

    def limit(self, place: int) -> float:  # trips a second that strangers may make at a tier
        home, tier = self.tiers[0], self.tiers[place]
        return self._wants.max_foreign_load * self._rate * tier.present / home.full if home.full else self._rate

    def _admit(self, place: int, tier: Tier, now: Ticks) -> None:
        ended, bad = tier.ended.read(now), tier.bad.read(now)
        step = self._beat / (self._wants.growth_time_factor * self._longest) * self._rng.uniform(0.5, 1.5)
        if ended >= 4 and bad > 0.1 * ended:
            tier.grant = max(0.05, tier.grant * (1 - step))
        elif any(before.gone > 0 for before in self.tiers[:place]):
            tier.grant = min(1.0, max(0.25, tier.grant) * (1 + step))
        else:
            tier.grant = max(0.25, tier.grant * (1 - step))
        # Parts of a trip add up, by lot, or "just one" each would be a crowd; held for half an expected time.
        more = tier.grant * self.limit(place) * self._beat / 10_000
        most = max(3.0, more * self._longest / self._beat / 2)
        tier.held = min(most, tier.held + more * self._rng.uniform(0.5, 1.5))

    def _order(self, request: Request) -> list[list[int]]:  # the tiers that it may use now, the best first
        draw = self._draws.setdefault(request, self._rng.random())
        tried = {self._place.get(attempt.endpoint.zone, len(self.tiers) - 1) for attempt in request.attempts}
        if request.attempts and request.request_class.idempotency is Idempotency.KEYED:
            return [sorted(tried)]  # its group may be the zone: a repeat never spills
        order, last = list[list[int]](), len(self.tiers) - 1
        for place, tier in enumerate(self.tiers):
            risky = tier.gone > 0.9 and request.request_class.idempotency is not Idempotency.IDEMPOTENT
            allowed = (place == 0 or tier.held >= 1) and not risky and place not in tried
            if allowed and (draw >= tier.gone or place == last or order):
                order.append([place])
            draw = draw / tier.gone if tier.gone > 0 and draw < tier.gone else draw
        if [0] not in order and 0 not in tried and self.tiers[0].gone <= 0.5:
            order.append([0])  # more than its part, but most of it is there, and full queues guard it
        return order or [sorted(tried)]

    def spend(self, server: EndpointState) -> None:
        if self.tiers and (place := self.place(server)):
            self.tiers[place].held -= 1

    def cuts(self, pools: Pools, request: Request) -> Iterator[Pools]:
        if len(self.tiers) < 2:
            yield pools
            return
        for places in self._order(request):
            yield {build: [s for s in some if self.place(s) in places] for build, some in pools.items()}
