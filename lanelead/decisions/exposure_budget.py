"""How much traffic a canary build may get: a budget of attempts, guarded stages, and sticky keys."""

from math import inf
from random import Random

from lanelead.decisions.counters import RecentKeys, TokenBucket
from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import (
    CanaryLimits,
    Idempotency,
    Request,
    RequestClass,
    RolloutPhase,
    RolloutState,
    Ticks,
)

TOKEN_DEPTH = 2.0  # attempts that one of many relays may save up
TOKENS_FOR_NEW_KEY = 2.0  # one attempt is kept for keys that are already bound to the canary


class ExposureBudget:
    """Counts attempts at canary builds against the free number and the exposure limit times requests received."""

    def __init__(self, canary_limits: CanaryLimits, many_relays: bool, rng: Random) -> None:
        self._limits = canary_limits
        self._many_relays = many_relays
        self._rng = rng
        self._buckets = dict[tuple[int, RequestClass | None], TokenBucket]()
        self._build_of_key = dict[str, int]()
        self._recent_keys = RecentKeys(2 * canary_limits.window)
        self.rollout: RolloutState | None = None

    def update(self, rollout: RolloutState) -> None:
        """Take over where the newest build stands; a rollback frees all keys."""
        self.rollout = rollout
        if rollout.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK):
            self._build_of_key.clear()

    def is_canary(self, build: int) -> bool:
        """Say whether a build is a canary: the newest one known until it is promoted, and any later one."""
        rollout = self.rollout
        if rollout is None:
            return True
        return build > rollout.build - (rollout.phase is not RolloutPhase.PROMOTED)

    def _exposure_limit(self, build: int) -> float:
        """Return a canary's exposure limit; a build that the platform has not named has the first stage's."""
        if self.rollout is None:
            return 0.0
        if build > self.rollout.build:
            return self._limits.exposure_limits[0]
        return self.rollout.exposure_limit if self.rollout.phase is RolloutPhase.CANARY else 0.0

    def _bucket(self, build: int, request_class: RequestClass) -> TokenBucket:
        """Return the bucket of a build (and class, where classes are counted apart).

        One of many relays starts with a random part of an attempt: if hundreds each used the free number, they would
        fill the canary's endpoints.
        """
        key = (build, request_class if self._limits.by_class else None)
        bucket = self._buckets.get(key)
        if bucket is None:
            tokens = self._rng.random() if self._many_relays else inf
            depth = TOKEN_DEPTH if self._many_relays else inf
            bucket = TokenBucket(self._limits.window, tokens, depth)
            self._buckets[key] = bucket
        return bucket

    def credit_request(self, request: Request, ready_by_build: dict[int, list[EndpointState]], now: Ticks) -> None:
        """Credit each canary for a request received.

        The tokens earned are no more than the canary's share of endpoints, or its endpoints would fill up.
        """
        for build, endpoints in ready_by_build.items():
            if self.is_canary(build):
                share = len(endpoints) / max(1, sum(map(len, ready_by_build.values())) - len(endpoints))
                self._bucket(build, request.request_class).refill(self._exposure_limit(build), share)
        if self._limits.sticky_keys and request.key is not None:
            self._recent_keys.record(request.key, now)

    def _bound_build(self, request: Request) -> int:
        """Return the build that has answered the request's key, -1 for none; no earlier one may have it."""
        return self._build_of_key.get(request.key or "", -1)

    def _is_guarded(self, build: int, request: Request) -> bool:
        """Say whether a build's stage takes idempotent requests only, and this is none."""
        stage = self.rollout.stage if self.rollout and build == self.rollout.build else 0
        guarded = stage < self._limits.guarded_stages
        return guarded and request.request_class.idempotency is not Idempotency.IDEMPOTENT

    def is_inadmissible(self, request: Request) -> bool:
        """Say whether no build may have a request: its key is bound to a canary that may not take it."""
        bound = self._bound_build(request)
        return self.is_canary(bound) and self._is_guarded(bound, request)

    def allows(self, build: int, request: Request, now: Ticks) -> bool:
        """Say whether a build may have one attempt of a request now."""
        bound = self._bound_build(request)
        if build < bound:
            return False
        if not self.is_canary(build):
            return True
        limit = self._exposure_limit(build)
        if limit <= 0 or self._is_guarded(build, request):
            return False
        needed = 1.0
        if self._limits.sticky_keys and request.key is not None and build != bound:
            # Popular keys would use up the budget of requests that may go nowhere else: they come last.
            needed = TOKENS_FOR_NEW_KEY
            rare_interval = 2 * self._limits.window * (1 - limit)
            if request.received_at - self._recent_keys.previous(request.key) < rare_interval:
                return False
        bucket = self._bucket(build, request.request_class)
        return min(self._limits.uncounted_attempts + bucket.minimum_balance(now), bucket.tokens) >= needed

    def charge(self, build: int, request: Request, now: Ticks) -> None:
        """Count an attempt at a build."""
        if self.is_canary(build):
            self._bucket(build, request.request_class).charge(now)

    def record_success(self, build: int, request: Request) -> None:
        """Bind the key of a request that the newest build answered to that build."""
        if not self._limits.sticky_keys or not request.key:
            return
        if self.rollout is None or build >= self.rollout.build:
            self._build_of_key[request.key] = max(build, self._bound_build(request))
