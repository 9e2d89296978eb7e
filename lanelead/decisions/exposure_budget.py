"""Limits the traffic of a canary build: a budget of attempts, guarded stages, and sticky idempotency keys."""

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

TOKEN_DEPTH = 2.0  # the token bucket's depth, in attempts, for a relay of a large fleet
TOKENS_FOR_NEW_KEY = 2.0  # leaves one attempt for keys that are already bound to the canary


class ExposureBudget:
    """Keeps attempts at canary builds within their budget.

    The budget of a window is a fixed number of uncounted attempts plus the exposure limit times the requests received.
    With sticky keys, an idempotency key that the newest build answered is bound to that build: no earlier build may get
    it.
    """

    def __init__(self, canary_limits: CanaryLimits, is_large_fleet: bool, rng: Random) -> None:
        self._limits = canary_limits
        self._is_large_fleet = is_large_fleet
        self._rng = rng
        self._buckets = dict[tuple[int, RequestClass | None], TokenBucket]()
        self._build_of_key = dict[str, int]()
        self._recent_keys = RecentKeys(2 * canary_limits.window)
        self.rollout: RolloutState | None = None

    def update(self, rollout: RolloutState) -> None:
        """Apply the state of the newest build's rollout; a rollback releases all bound keys."""
        self.rollout = rollout
        if rollout.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK):
            self._build_of_key.clear()

    def is_canary(self, build: int) -> bool:
        """Return whether a build is a canary: the newest known build until its promotion, and any later build."""
        rollout = self.rollout
        if rollout is None:
            return True
        return build > rollout.build - (rollout.phase is not RolloutPhase.PROMOTED)

    def _exposure_limit(self, build: int) -> float:
        """Return a canary's exposure limit; a build that the platform has not announced yet has the first stage's."""
        if self.rollout is None:
            return 0.0
        if build > self.rollout.build:
            return self._limits.exposure_limits[0]
        return self.rollout.exposure_limit if self.rollout.phase is RolloutPhase.CANARY else 0.0

    def _bucket(self, build: int, request_class: RequestClass) -> TokenBucket:
        """Return the token bucket of a build, or of a build and request class where classes are limited separately.

        In a large fleet a bucket starts with a random fraction of a token: if hundreds of relays each used all their
        uncounted attempts, they would overload the canary's endpoints.
        """
        key = (build, request_class if self._limits.by_class else None)
        bucket = self._buckets.get(key)
        if bucket is None:
            tokens = self._rng.random() if self._is_large_fleet else inf
            depth = TOKEN_DEPTH if self._is_large_fleet else inf
            bucket = TokenBucket(self._limits.window, tokens, depth)
            self._buckets[key] = bucket
        return bucket

    def credit_request(self, request: Request, ready_by_build: dict[int, list[EndpointState]], now: Ticks) -> None:
        """Credit the budget of each canary with a request received.

        A request earns no more tokens than the ratio of the canary's endpoints to all others, so that the canary's
        endpoints are not overloaded.
        """
        for build, endpoints in ready_by_build.items():
            if self.is_canary(build):
                share = len(endpoints) / max(1, sum(map(len, ready_by_build.values())) - len(endpoints))
                self._bucket(build, request.request_class).refill(self._exposure_limit(build), share)
        if self._limits.sticky_keys and request.key is not None:
            self._recent_keys.record(request.key, now)

    def _bound_build(self, request: Request) -> int:
        """Return the build that the request's key is bound to, -1 if none; no earlier build may get the request."""
        return self._build_of_key.get(request.key or "", -1)

    def _is_guarded(self, build: int, request: Request) -> bool:
        """Return whether the build's stage admits idempotent requests only and the request is not idempotent."""
        stage = self.rollout.stage if self.rollout and build == self.rollout.build else 0
        guarded = stage < self._limits.guarded_stages
        return guarded and request.request_class.idempotency is not Idempotency.IDEMPOTENT

    def is_inadmissible(self, request: Request) -> bool:
        """Return whether no build may serve a request, because its key is bound to a canary whose stage excludes it."""
        bound = self._bound_build(request)
        return self.is_canary(bound) and self._is_guarded(bound, request)

    def is_excluded(self, build: int, request: Request) -> bool:
        """Return whether a build may get no attempt of a request now, whatever its budget is."""
        if build < self._bound_build(request):
            return True
        return self.is_canary(build) and (self._exposure_limit(build) <= 0 or self._is_guarded(build, request))

    def allows(self, build: int, request: Request, now: Ticks) -> bool:
        """Return whether a build may get an attempt of a request now."""
        if self.is_excluded(build, request):
            return False
        if not self.is_canary(build):
            return True
        limit = self._exposure_limit(build)
        needed = 1.0
        if self._limits.sticky_keys and request.key is not None and build != self._bound_build(request):
            # Only rarely used keys are newly bound. Each later request of a bound key must go to the canary, so
            # popular keys would use up the budget that requests with bound keys depend on.
            needed = TOKENS_FOR_NEW_KEY
            rare_interval = 2 * self._limits.window * (1 - limit)
            if request.received_at - self._recent_keys.previous(request.key) < rare_interval:
                return False
        bucket = self._bucket(build, request.request_class)
        return min(self._limits.uncounted_attempts + bucket.minimum_balance(now), bucket.tokens) >= needed

    def charge(self, build: int, request: Request, now: Ticks) -> None:
        """Charge an attempt to the budget of a build, if it is a canary."""
        if self.is_canary(build):
            self._bucket(build, request.request_class).charge(now)

    def record_success(self, build: int, request: Request) -> None:
        """Bind the key of a successful request to its build, if that is the newest build or a later one."""
        if not self._limits.sticky_keys or not request.key:
            return
        if self.rollout is None or build >= self.rollout.build:
            self._build_of_key[request.key] = max(build, self._bound_build(request))
