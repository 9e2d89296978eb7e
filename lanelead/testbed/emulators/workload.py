"""What clients want and when: an open loop with retries, patience, members and keys. No sockets, no clock.

The clients on sockets and the model's are both this.
"""

from __future__ import annotations

import math
from random import Random
from typing import Any

from lanelead.settings.scenario_settings import ClientSettings, WorkSettings
from lanelead.settings.service_settings import ServiceSettings


class Op:
    """What a client wants done, over all its tries."""

    __slots__ = ("due", "first", "ident", "key", "lane", "member", "relay", "tries", "work")

    def __init__(
        self, ident: str, request_class: str, tenant: str | None, key: str | None, work: float, relay: int
    ) -> None:
        self.ident, self.lane, self.member, self.key = ident, request_class, tenant, key
        self.work, self.relay, self.tries = work, relay, 0
        self.due = 0.0
        self.first = 0.0  # when it was first asked


class Demand:
    def __init__(self, service: ServiceSettings, clients: ClientSettings, relays: int, rng: Random) -> None:
        self._service, self._clients, self._relays, self._rng = service, clients, relays, rng
        self.lanes = {request_class.name: request_class for request_class in service.lanes}
        self._rate, self._rates = 1.0, dict[str, float]()
        self._hot_key = self._hot_caller = self._heavy = self._haste = 0.0
        self._bad = self._give_up = self._give_up_after = 0.0
        self._more_retries = 0
        self._slow_lane: dict[str, float] = {}
        self._number = 0

    def _members(self) -> list[tuple[str, float]]:
        return [(row.name, row.share * self._rates.get(row.name, 1.0)) for row in self._service.members]

    def gap(self) -> float:
        """Seconds until the next lookup."""
        usual = sum(row.share for row in self._service.members)
        more = sum(share for _, share in self._members()) / usual if usual else 1.0
        return self._rng.expovariate(self._clients.rate * self._rate * more)

    def draw(self, now: float) -> Op:
        """The next lookup."""
        rng, clients, tenants = self._rng, self._clients, self._members()
        work = rng.choices(clients.work, [row.share for row in clients.work])[0]
        names, shares = [name for name, _ in tenants], [share for _, share in tenants]
        tenant = rng.choices(names, shares)[0] if tenants else None
        relay = rng.randrange(self._relays)
        if rng.random() < self._hot_caller:
            relay = 0
        key = None
        if clients.keys or self._hot_key:
            hot = rng.random() < self._hot_key
            key = "k0" if hot else f"k{int(max(1, clients.keys) * rng.random() ** 2)}"
        self._number += 1
        op = Op(f"op-{self._number}", work.lane, tenant, key, self._draw(work), relay)
        op.due = now + self.lanes[work.lane].outer_limit_ms / 1000
        return op

    def _draw(self, work: WorkSettings) -> float:
        mean, cv = work.ms / 1000 * self._slow_lane.get(work.lane, 1.0), work.cv
        if self._heavy and self._rng.random() < 0.02:
            mean *= self._heavy
        if cv == 0:
            return mean
        spread = math.sqrt(math.log(1 + cv * cv))
        return self._rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)

    def patience(self, op: Op, now: float) -> float:
        """Seconds for which one try waits; at 0.05 or less it is not worth one."""
        request_class = self.lanes[op.lane]
        share = self._rng.uniform(self._clients.try_share, 1.0)
        left = min(request_class.outer_limit_ms / 1000 * share, op.due - now)
        if self._haste and self._rng.random() < self._haste:
            left = min(left, request_class.expected_time_ms / 1000 / 2)
        return left

    def method(self, op: Op) -> str:
        methods = self.lanes[op.lane].methods
        return methods[0] if self._rng.random() < 0.95 else methods[-1]

    def bad(self) -> bool:
        """Is this one a request that its unit will fail on?"""
        return bool(self._bad) and self._rng.random() < self._bad

    def leaves(self, left: float) -> float | None:
        """After how long the client leaves, if it does."""
        if self._give_up and self._rng.random() < self._give_up:
            return left * self._give_up_after
        return None

    def again(self, op: Op, outcome: str, retry_after: float, now: float) -> float | None:
        """After a shed or a lookup broken off: seconds until the next try, if there is one."""
        request_class = self.lanes[op.lane]
        if outcome == "shed":
            return self._wait(op, retry_after, now)
        whole = request_class.repeat == "receipted" and request_class.scope == "all"
        if outcome == "broken-off" and (request_class.repeat == "pure" or whole):
            return self._wait(op, 0.0, now)
        return None

    def lost(self, op: Op, asked: bool, now: float) -> float | None:
        """After a connection that ended, or never was: the same, at another relay."""
        if asked and self.lanes[op.lane].repeat != "pure":
            return None
        op.relay = self._rng.randrange(self._relays)
        return self._wait(op, 0.0, now)

    def _wait(self, op: Op, retry_after: float, now: float) -> float | None:
        if op.tries > self._clients.retries + self._more_retries or now > op.due:
            return None
        wait = 0.01 if self._more_retries else self._clients.backoff_ms / 1000  # those that heed nothing
        if retry_after and not self._more_retries and self._rng.random() < self._clients.honour:
            wait = max(wait, retry_after)
        return wait

    def complains(self) -> bool:
        return self._rng.random() < self._service.poll.complaint_share

    def obey(self, order: dict[str, Any]) -> None:
        """What the day does to clients."""
        on, size = order.get("on", True), order.get("size", 1.0)
        match order["kind"]:
            case "burst":
                self._rate = size if on else 1.0
            case "member_burst":
                self._rates = {order["member"]: size} if on else {}
            case "hot_key":
                self._hot_key = size if on else 0.0
            case "hot_caller":
                self._hot_caller = size if on else 0.0
            case "heavy_tail":
                self._heavy = size if on else 0.0
            case "haste":
                self._haste = size if on else 0.0
            case "give_up":
                self._give_up, self._give_up_after = (size, order["extra"]) if on else (0.0, 0.0)
            case "retry_abuse":
                self._more_retries = int(size) if on else 0
            case "bad_requests":
                self._bad = size if on else 0.0
            case "slow_lane":
                self._slow_lane = {order["lane"]: size} if on else {}
