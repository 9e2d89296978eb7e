"""The clients' workload: when operations arrive, their class, tenant, key and work, timeouts and retries.

It has no sockets and no clock: both the emulated clients on sockets and the simulated ones use it.
"""

from __future__ import annotations

import math
from random import Random
from typing import Any

from lanelead.settings.scenario_settings import ClientSettings, WorkSettings
from lanelead.settings.service_settings import ServiceSettings


class Operation:
    """One operation of a client, over all of its attempts. Times are in seconds on the clients' clock."""

    __slots__ = ("due", "first", "ident", "key", "lane", "member", "relay", "tries", "work")

    def __init__(
        self, ident: str, request_class: str, tenant: str | None, key: str | None, work: float, relay: int
    ) -> None:
        self.ident, self.lane, self.member, self.key = ident, request_class, tenant, key
        self.work, self.relay, self.tries = work, relay, 0
        self.due = 0.0
        self.first = 0.0  # when the first attempt was sent


class Workload:
    """Draws operations, timeouts and retries from one random generator, under the present faults."""

    def __init__(self, service: ServiceSettings, clients: ClientSettings, relays: int, rng: Random) -> None:
        self._service, self._clients, self._relay_count, self._rng = service, clients, relays, rng
        self.lanes = {request_class.name: request_class for request_class in service.lanes}
        self._rate_factor, self._tenant_rate_factors = 1.0, dict[str, float]()
        self._hot_key_share = self._hot_relay_share = self._heavy_tail_factor = self._haste_share = 0.0
        self._bad_share = self._give_up_share = self._give_up_after = 0.0
        self._extra_retries = 0
        self._slow_classes: dict[str, float] = {}
        self._op_count = 0

    def _tenant_rates(self) -> list[tuple[str, float]]:
        return [(row.name, row.share * self._tenant_rate_factors.get(row.name, 1.0)) for row in self._service.members]

    def gap(self) -> float:
        """Draws the seconds until the next operation."""
        usual_share = sum(row.share for row in self._service.members)
        tenant_factor = sum(share for _, share in self._tenant_rates()) / usual_share if usual_share else 1.0
        return self._rng.expovariate(self._clients.rate * self._rate_factor * tenant_factor)

    def draw(self, now: float) -> Operation:
        """Draws the next operation, which arrives at `now`."""
        rng, clients, tenants = self._rng, self._clients, self._tenant_rates()
        work = rng.choices(clients.work, [row.share for row in clients.work])[0]
        names, shares = [name for name, _ in tenants], [share for _, share in tenants]
        tenant = rng.choices(names, shares)[0] if tenants else None
        relay = rng.randrange(self._relay_count)
        if rng.random() < self._hot_relay_share:
            relay = 0
        key = None
        if clients.keys or self._hot_key_share:
            hot = rng.random() < self._hot_key_share
            key = "k0" if hot else f"k{int(max(1, clients.keys) * rng.random() ** 2)}"
        self._op_count += 1
        op = Operation(f"op-{self._op_count}", work.lane, tenant, key, self._draw(work), relay)
        op.due = now + self.lanes[work.lane].outer_limit_ms / 1000
        return op

    def _draw(self, work: WorkSettings) -> float:
        mean, cv = work.ms / 1000 * self._slow_classes.get(work.lane, 1.0), work.cv
        if self._heavy_tail_factor and self._rng.random() < 0.02:
            mean *= self._heavy_tail_factor
        if cv == 0:
            return mean
        spread = math.sqrt(math.log(1 + cv * cv))
        return self._rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)

    def patience(self, op: Operation, now: float) -> float:
        """Draws an attempt's timeout in seconds; with 0.05 or less, callers don't start the attempt."""
        request_class = self.lanes[op.lane]
        share = self._rng.uniform(self._clients.try_share, 1.0)
        left = min(request_class.outer_limit_ms / 1000 * share, op.due - now)
        if self._haste_share and self._rng.random() < self._haste_share:
            left = min(left, request_class.expected_time_ms / 1000 / 2)
        return left

    def method(self, op: Operation) -> str:
        """Draws the HTTP method: mostly the first of the class, in 5% the last."""
        methods = self.lanes[op.lane].methods
        return methods[0] if self._rng.random() < 0.95 else methods[-1]

    def bad(self) -> bool:
        """Draws whether the endpoint will answer this request with an error."""
        return bool(self._bad_share) and self._rng.random() < self._bad_share

    def leaves(self, left: float) -> float | None:
        """Draws after how many seconds the client abandons the attempt; None: it doesn't."""
        if self._give_up_share and self._rng.random() < self._give_up_share:
            return left * self._give_up_after
        return None

    def again(self, op: Operation, outcome: str, retry_after: float, now: float) -> float | None:
        """Returns the seconds until the retry of a rejected or failed operation; None: no retry."""
        request_class = self.lanes[op.lane]
        if outcome == "shed":
            return self._retry_delay(op, retry_after, now)
        deduplicated_everywhere = request_class.repeat == "receipted" and request_class.scope == "all"
        if outcome == "broken-off" and (request_class.repeat == "pure" or deduplicated_everywhere):
            return self._retry_delay(op, 0.0, now)
        return None

    def lost(self, op: Operation, asked: bool, now: float) -> float | None:
        """Returns the seconds until the retry after a lost or failed connection, at another relay; None: no retry.

        `asked`: the request had been sent, so that only idempotent ones are retried.
        """
        if asked and self.lanes[op.lane].repeat != "pure":
            return None
        op.relay = self._rng.randrange(self._relay_count)
        return self._retry_delay(op, 0.0, now)

    def _retry_delay(self, op: Operation, retry_after: float, now: float) -> float | None:
        if op.tries > self._clients.retries + self._extra_retries or now > op.due:
            return None
        # Abusive clients ignore backoff and advice on when to retry.
        wait = 0.01 if self._extra_retries else self._clients.backoff_ms / 1000
        if retry_after and not self._extra_retries and self._rng.random() < self._clients.honour:
            wait = max(wait, retry_after)
        return wait

    def complains(self) -> bool:
        """Draws whether the client complains about a wrong answer."""
        return self._rng.random() < self._service.poll.complaint_share

    def obey(self, order: dict[str, Any]) -> None:
        """Starts or ends a fault; `order` has its kind and, where they matter, its size and other fields."""
        on, size = order.get("on", True), order.get("size", 1.0)
        match order["kind"]:
            case "burst":
                self._rate_factor = size if on else 1.0
            case "member_burst":
                self._tenant_rate_factors = {order["member"]: size} if on else {}
            case "hot_key":
                self._hot_key_share = size if on else 0.0
            case "hot_caller":
                self._hot_relay_share = size if on else 0.0
            case "heavy_tail":
                self._heavy_tail_factor = size if on else 0.0
            case "haste":
                self._haste_share = size if on else 0.0
            case "give_up":
                self._give_up_share, self._give_up_after = (size, order["extra"]) if on else (0.0, 0.0)
            case "retry_abuse":
                self._extra_retries = int(size) if on else 0
            case "bad_requests":
                self._bad_share = size if on else 0.0
            case "slow_lane":
                self._slow_classes = {order["lane"]: size} if on else {}
