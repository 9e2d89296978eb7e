"""The rules' guards, whatever chooses: repeats, drains, cold units, and what goes to a build on trial."""

from math import inf
from random import Random

from lanelead.decisions.counters import Purse, Recent, turned
from lanelead.decisions.endpoint_state import EndpointState, Roster, Traffic, warmth
from lanelead.decisions.interface import (
    SECOND,
    AttemptOutcome,
    CanaryLimits,
    DecisionParameters,
    DeduplicationScope,
    EndpointStatus,
    Idempotency,
    Request,
    RequestClass,
    ResourceQuota,
    RolloutPhase,
    RolloutState,
    ServiceLimits,
    Ticks,
)

NEVER_RAN = (AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class Exposure:
    def __init__(self, trial: CanaryLimits, many: bool, rng: Random) -> None:
        self._trial, self._many, self._rng = trial, many, rng
        self._ledgers, self._keys = dict[tuple[int, RequestClass | None], Purse](), dict[str, int]()
        self._seen = Recent(2 * trial.window)
        self.news: RolloutState | None = None

    def hear(self, news: RolloutState) -> None:
        self.news = news
        if news.phase in (RolloutPhase.ROLLING_BACK, RolloutPhase.ROLLED_BACK):
            self._keys.clear()

    def on_trial(self, build: int) -> bool:
        told = self.news  # the build last told of is on trial until its release, and any later one
        return told is None or build > told.build - (told.phase is not RolloutPhase.PROMOTED)

    def _cap(self, build: int) -> float:
        if self.news is None or build > self.news.build:  # not named yet: as in the first stage
            return self._trial.exposure_limits[0] if self.news else 0.0
        return self.news.exposure_limit if self.news.phase is RolloutPhase.CANARY else 0.0

    def _ledger(self, build: int, request_class: RequestClass) -> Purse:
        """Guards against hundreds of relays that each use the free number: theirs goes unused."""
        at = build, request_class if self._trial.by_class else None
        if at not in self._ledgers:
            held, depth = (self._rng.random(), 2.0) if self._many else (inf, inf)
            self._ledgers[at] = Purse(self._trial.window, held, depth)
        return self._ledgers[at]

    def take(self, request: Request, groups: dict[int, list[EndpointState]], now: Ticks) -> None:
        """Earns a part of a trip at each build on trial, no more than its servers' share, or they fill up."""
        for build, servers in groups.items():
            if self.on_trial(build):
                share = len(servers) / max(1, sum(map(len, groups.values())) - len(servers))
                self._ledger(build, request.request_class).gain(self._cap(build), share)
        if self._trial.sticky_keys and request.key is not None:
            self._seen.note(request.key, now)

    def _tie(self, request: Request) -> int:  # the build that has answered its key: no earlier one may
        return self._keys.get(request.key or "", -1)

    def _guards(self, build: int, request: Request) -> bool:
        stage = self.news.stage if self.news and build == self.news.build else 0
        return stage < self._trial.guarded_stages and request.request_class.idempotency is not Idempotency.IDEMPOTENT

    def hopeless(self, request: Request) -> bool:
        return self.on_trial(self._tie(request)) and self._guards(self._tie(request), request)

    def allows(self, build: int, request: Request, now: Ticks) -> bool:
        if not self.on_trial(build) or build < self._tie(request):
            return build >= self._tie(request)
        cap, need = self._cap(build), 1.0
        if cap <= 0 or self._guards(build, request):
            return False
        if self._trial.sticky_keys and request.key is not None and build != self._tie(request):
            # Popular keys would use up the cap of lookups that may go nowhere else: they come last.
            need, rare = 2.0, 2 * self._trial.window * (1 - cap)
            if request.received_at - self._seen.before(request.key) < rare:
                return False
        purse = self._ledger(build, request.request_class)
        return min(self._trial.uncounted_attempts + purse.least(now), purse.held) >= need

    def spend(self, build: int, request: Request, now: Ticks) -> None:
        if self.on_trial(build):
            self._ledger(build, request.request_class).spend(now)

    def done(self, build: int, request: Request) -> None:
        if self._trial.sticky_keys and request.key and (self.news is None or build >= self.news.build):
            self._keys[request.key] = max(build, self._tie(request))


class Guards:
    def __init__(
        self,
        quota: ResourceQuota,
        limits: ServiceLimits,
        exposure: Exposure,
        roster: Roster,
        traffic: Traffic,
        figures: DecisionParameters,
    ) -> None:
        self._quota, self._limits, self.exposure = quota, limits, exposure
        self._roster, self._traffic, self._figures = roster, traffic, figures

    def permitted(self, server: EndpointState, request: Request, now: Ticks) -> bool:  # again right before each trip
        return self.open(server, request, now) and self.exposure.allows(server.build, request, now)

    def open(self, server: EndpointState, request: Request, now: Ticks) -> bool:
        ready = server.status is EndpointStatus.READY
        return ready and self.repeatable(server, request, now) and self._cold_room(server, now)

    def hopeful(self, request: Request, now: Ticks) -> bool:  # may a unit take it, now or in a while?
        ready = () if self.exposure.hopeless(request) else self._roster.ready
        return any(self.repeatable(server, request, now) for server in ready)

    def repeatable(self, server: EndpointState, request: Request, now: Ticks) -> bool:
        if request.finished or len(request.attempts) >= self._quota.max_attempts or now >= request.deadline:
            return False
        request_class, ran = (
            request.request_class,
            [attempt for attempt in request.attempts if attempt.outcome not in NEVER_RAN],
        )
        if not self._quota.hedging and any(attempt.outcome is None for attempt in ran):
            return False
        if request_class.idempotency is not Idempotency.KEYED or not ran:
            return request_class.idempotency is Idempotency.IDEMPOTENT or not ran
        at, to = ran[0].endpoint, server
        group = {
            DeduplicationScope.ALL: True,
            DeduplicationScope.ZONE: at.zone == to.zone,
            DeduplicationScope.CELL: at.cell == to.cell,
        }
        return (
            group[request_class.deduplication_scope]
            and now < ran[0].sent_at + request_class.deduplication_window - self._limits.tick
        )

    def _cold_room(self, server: EndpointState, now: Ticks) -> bool:
        """One more to a cold unit? Each keeps to its part, rounded by lots that turn, or small ones idle."""
        warm, limits, traffic = warmth(server, self._limits, now), self._limits, self._traffic
        sent = server.sent(now, limits.overload_time)
        if warm >= 1 or limits.overload_time <= 0:
            return True
        usual = max(traffic.done.read(now) / 4, (self._figures.relay_quota or traffic.taken.read(now) / 8) / 2)
        budget = limits.overload_multiple / 2 * warm * usual * limits.overload_time / SECOND / len(self._roster.ready)
        return sent + 1 <= budget + turned(server.lot, now / limits.overload_time)
