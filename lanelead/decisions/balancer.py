"""All decisions of a relay, joined: docs/design.md has the mechanism, interface.py what a host does."""

from collections.abc import Generator, Sequence
from random import Random

from lanelead.decisions.admission import NEVER_RAN, Exposure, Guards
from lanelead.decisions.build_scoring import FAULTS, HARD, MUTE, STRIKES, Fault, Scoring
from lanelead.decisions.counters import Fading
from lanelead.decisions.endpoint_selection import Choice
from lanelead.decisions.endpoint_state import (
    EndpointState,
    Fares,
    Outstanding,
    Pacing,
    Roster,
    Traffic,
    Untold,
    state_of,
)
from lanelead.decisions.gossip import CIRCLE, Circle
from lanelead.decisions.interface import (
    SECOND,
    Action,
    Attempt,
    AttemptOutcome,
    CanaryLimits,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    DecisionParameters,
    Endpoint,
    EndpointRecord,
    FailRequest,
    GossipEntry,
    InFlightEntry,
    LoadReport,
    OutcomeObservation,
    OutcomeTally,
    PollEndpoints,
    Prices,
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
    WatchEndpoints,
    ZonePreference,
)
from lanelead.decisions.request_scheduling import Journey, Journeys
from lanelead.decisions.rollout import Rollout
from lanelead.decisions.zone_spillover import ANYWHERE, Spill


class Balancer:
    chooses: type[Choice] = Choice

    def __init__(
        self,
        place: RelayPosition,
        request_classes: Sequence[RequestClass],
        tenants: Sequence[Tenant],
        quota: ResourceQuota,
        limits: ServiceLimits,
        trial: CanaryLimits,
        poll: VotingRules,
        prices: Prices,
        rng: Random,
        now: Ticks,
        preference: ZonePreference = ANYWHERE,
    ) -> None:
        self.now, self.actions = now, list[Action]()
        self._quota, self._limits, self._rng = quota, limits, rng
        self.parameters = DecisionParameters(
            request_classes, sum(tenant.quota for tenant in tenants), place.relay_count
        )
        self._rates, self._pacing = (
            {request_class: Fading(4 * SECOND) for request_class in request_classes},
            Pacing(SECOND, now),
        )
        self._roster, self._circle = Roster(), Circle(place, poll.rollback_votes, rng)
        many = place.relay_count > CIRCLE
        # A choice takes two to four probes: where they cost over a tenth of a lookup, letters tell instead.
        self._asks = many and quota.health_checks and 4 * prices.health_check <= 0.1
        self._tells, self._out = many and quota.gossip and not self._asks, Outstanding(SECOND)
        self._spares, self._suspect = self._tells and prices.handshake > 0, max(0.02, 2.5 * prices.handshake)
        told = many and self._circle.watches  # much is told to it: it looks less often
        self._beat = SECOND // (5 if not told else 2 if self._circle.watchers <= CIRCLE else 1)
        self._traffic, self._exposure = Traffic(4 * SECOND), Exposure(trial, many, rng)
        self._scoring = Scoring(5 * SECOND, 3 * SECOND, fill=10, ripe=5 * SECOND)
        self._rollout = Rollout(trial, poll, self._circle, self._scoring, self._traffic, rng)
        self._spill = Spill(preference, limits, self.parameters.longest_objective, self._beat, rng)
        self._guards = Guards(quota, limits, self._exposure, self._roster, self._traffic, self.parameters)
        self._choice = self.chooses(
            self._roster,
            self._guards,
            self._out,
            self._traffic,
            self.parameters,
            quota.idle_timeout if self._spares else 0,
            place,
            rng,
        )
        self._lost, self._untold = Fading(10 * SECOND), Untold(len(Fault))
        self._journeys = Journeys(self._send, lambda action: self.actions.append(action))
        self._fares = Fares(4 * SECOND)
        first = SetTimer(now + int(self._beat * rng.uniform(0.5, 1)), None)
        self.actions += [first, WatchEndpoints(True)] if limits.subscribe else [first]

    def new_endpoint(self, mark: int) -> Endpoint:
        return EndpointState(mark, 2 * self.parameters.longest_objective, 2 * SECOND, self._rng.random())

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        if update_scope is UpdateScope.FAILED:
            self.actions.append(WatchEndpoints(True) if self._limits.subscribe else PollEndpoints())
        else:
            self._roster.apply(update_scope, records, self.now)

    def rollout_updated(self, news: RolloutState) -> None:
        self._rollout.ballot.hear(news, self.now)
        if news.outcome is AttemptOutcome.SUCCEEDED:
            self._exposure.hear(news)
            self._rollout.hear(news, self.now)

    def request_received(self, request: Request) -> None:
        self._traffic.taken.add(self.now, 1)
        self._rates[request.request_class].add(self.now, 1)
        self._exposure.take(request, self._roster.groups, self.now)
        self._journeys.begin(request, self._journey(request))

    def response_started(self, attempt: Attempt) -> None:
        attempt.streaming = True
        self._journeys.hold(attempt.request)  # it belongs to the client now: no second copy

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: Ticks, report: LoadReport | None
    ) -> None:
        request, server, attempt.outcome = attempt.request, state_of(attempt.endpoint), outcome
        server.out.pop(attempt, None)
        self._learn(attempt, server, outcome, took)
        self._lost.add(self.now, outcome in MUTE)
        self._let_go(server)
        if closed:
            self.client_left(request)
        elif not request.finished:
            self._journeys.go_on(request, attempt)
        for request in self._journeys.worthiest(3):
            self._journeys.go_on(request)

    def timer_fired(self, request: Request | None) -> None:
        if request is None:
            self._tick()
        elif self._journeys.due(request, self.now):
            self._journeys.go_on(request)

    def gossip_received(self, peer: int, words: Sequence[GossipEntry]) -> None:
        if loads := [word for word in words if isinstance(word, InFlightEntry)]:
            self._out.hear(peer if self._circle.hub else None, loads, self.now)
        for word in words:
            self._pacing.hear(peer, word, self.now)
        for seen in (word for word in words if isinstance(word, OutcomeObservation)):
            faults = {fault: many for fault, many in zip(Fault, seen.faults, strict=True) if many}
            self._count(
                state_of(seen.endpoint), seen.request_class, faults, seen.outcomes, self._circle.passes_on(peer)
            )

    def _count(
        self, server: EndpointState, request_class: RequestClass, faults: dict[Fault, int], outcomes: int, tell: bool
    ) -> None:
        self._spill.note(server, outcomes, sum(n for f, n in faults.items() if f not in HARD), self.now)
        if self._spill.troubled(server):
            faults = {fault: many for fault, many in faults.items() if fault in HARD}
        self._scoring.record(server, request_class, faults, self.now, outcomes)
        self._traffic.busy.add(self.now, outcomes - faults.get(Fault.BROKEN, 0))  # quick errors are no work
        if tell and self._quota.gossip:
            self._untold.note(server, request_class, outcomes, [faults.get(fault, 0) for fault in Fault])

    def complaint_received(self, unit: Endpoint, request_class: RequestClass, age: Ticks) -> None:
        self._count(state_of(unit), request_class, {Fault.WRONG: 1}, 0, True)

    def tally_received(self, counted: OutcomeTally) -> None: ...

    def health_checked(self, unit: Endpoint, outcome: AttemptOutcome, took: Ticks, report: LoadReport | None) -> None:
        if outcome is AttemptOutcome.SUCCEEDED and report:
            state_of(unit).told, fair = self.now, self.parameters.total_quota / max(1, len(self._roster.ready))
            queue = report.get("waiting", 0) / max(report["rps"], fair) if report.get("rps") else 0
            state_of(unit).wait = max(took, int(queue * SECOND))  # a deep probe has waited itself
        self._lost.add(self.now, outcome is AttemptOutcome.CONNECT_FAILED)
        for request in list(self._journeys.asking):
            self._journeys.go_on(request)
        self._let_go(state_of(unit))

    def _let_go(self, server: EndpointState) -> None:
        """Guards against connections that drop unseen: many lost trips end all; if dear, one its unit's."""
        many = self._lost.read(self.now) > self._suspect * self._traffic.taken.read(self.now)
        if not server.out and (server.mute if self._spares else many):
            self.actions.append(CloseIdleConnections(server))

    def _tick(self) -> None:
        times = self._rollout.due, self.now + self._beat  # 'on' is voted right when due
        self.actions.append(SetTimer(min(at for at in times if at > self.now), None))
        news, ready = self._exposure.news, self._roster.ready
        loads, in_all = self._out.own(ready) if self._tells else [], list[GossipEntry]()
        out: list[GossipEntry] = [*loads, self._pacing.own(self._rng, self.now)] if loads else []
        if self._tells and self._circle.hub:
            in_all += (totals := self._out.add(loads, self.now))
            in_all += self._pacing.measure(sum(load.attempts for load in totals), 10, self.now)
        self.actions += self._circle.letters(self._untold.take(), out, in_all)
        trial = news is not None and news.phase is RolloutPhase.CANARY
        self._spill.beat(ready, self._traffic.taken.read(self.now), trial, self.now)
        if news is not None:
            self.actions += self._rollout.look(news, self._roster, self.now)

    def _learn(self, attempt: Attempt, server: EndpointState, outcome: AttemptOutcome, took: Ticks) -> None:
        if outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
            return
        request_class, (ended, timely) = (
            attempt.request.request_class,
            self._fares[attempt.request.tenant, attempt.request.request_class],
        )
        fault = FAULTS.get(outcome, Fault.SLOW if took > request_class.latency_objective else None)
        ended.add(self.now, 1)
        timely.add(self.now, fault in (None, *HARD))
        # Guards against clients in haste: a time-out before the expected time is nobody's fault.
        if outcome is AttemptOutcome.TIMED_OUT and took < request_class.latency_objective:
            return
        self._count(server, request_class, {fault: 1} if fault else {}, 1, True)
        server.mute = outcome in MUTE
        self._pacing.note(not server.mute, self.now)
        self._choice.note(server, STRIKES.get(outcome, 0.0), self.now)
        if outcome is AttemptOutcome.SUCCEEDED:
            self._exposure.done(server.build, attempt.request)
            server.done.add(self.now, 1)
            self._traffic.done.add(self.now, 1)
            server.pace.add(self.now, took / request_class.latency_objective)

    def _may(self, server: EndpointState, request: Request) -> bool:  # asked again right before each trip
        return self._guards.permitted(server, request, self.now)

    def _pair(self, request: Request, asked: Sequence[EndpointState] = ()) -> list[EndpointState]:
        cuts = self._spill.cuts(self._roster.groups, request)
        return self._choice.pair(cuts, request, self._rollout.lean(), self.now, asked)

    def _ask(
        self, request: Request, pair: list[EndpointState], until: Ticks
    ) -> Generator[Ticks, None, EndpointState | None]:
        asked, began, step = list[EndpointState](), self.now, max(1, (until - self.now) // 2)
        short = min(request.request_class.latency_objective, request.deadline - self.now) // 4
        while self.now < until and pair:
            self.actions += [CheckHealth(server) for server in pair]
            asked += pair
            pause, wait, best = min(until, self.now + step), 0, None
            while self.now < pause and (best is None or wait > min(step, short)):
                self._journeys.asking[request] = None
                yield pause
                told = (server for server in asked if server.told > began and self._may(server, request))
                best = min(told, key=lambda server: server.wait, default=None)
                wait = best.wait if best else 0
            if best and wait < short:
                return best
            pair = self._pair(request, asked)
        return None

    def _journey(self, request: Request) -> Journey:
        request_class = request.request_class
        copy_at = request.received_at + request_class.latency_objective // 2
        give_up = min(request.deadline - self._limits.tick, request.received_at + request_class.latency_objective // 6)
        while not self._forlorn(request):
            waiting = self._journeys.waiting.values() if self.now < give_up else ()
            pair = [] if any(other > request_class.priority_weight for other in waiting) else self._pair(request)
            server = next(iter(pair), None)
            if pair and self._thin() and self.now < give_up:
                server = yield from self._ask(request, pair, give_up)
            if server is not None:
                yield server
            elif self.now < give_up and self._guards.hopeful(request, self.now):
                self._journeys.waiting[request] = request_class.priority_weight
                yield give_up
            else:
                break
            while any(attempt.outcome is None for attempt in request.attempts):
                yield copy_at if self.now < copy_at and self._quota.hedging else request.deadline
                few = self._traffic.copies.read(self.now) < 0.1 * self._traffic.taken.read(self.now)
                pair = self._pair(request) if few and self.now >= copy_at else []
                if pair and request.attempts[-1].outcome is None and pair[0] is not request.attempts[-1].endpoint:
                    self._traffic.copies.add(self.now, 1)
                    yield pair[0]
        self._give_up(request)

    def _forlorn(self, request: Request) -> bool:
        """Guards against work late whatever is done: a member's lane seldom timely is sent in part."""
        ended, timely = (fare.read(self.now) for fare in self._fares[request.tenant, request.request_class])
        if (took := self._pacing.took(self.now)) is None:  # no hub tells: what was seen here counts
            return self._rng.random() > 3 * (1 + timely) / (1 + 2 * ended)
        excess = 1 - 0.75 * self.parameters.shortest_objective / max(1, took)  # a mean, about which trips are spread
        rates = {request_class: rate.read(self.now) for request_class, rate in self._rates.items()}
        less = sum(
            rate
            for request_class, rate in rates.items()
            if request_class.priority_weight < request.request_class.priority_weight
        )
        return self._rng.random() * rates[request.request_class] < excess * sum(rates.values()) - less

    def _thin(self) -> bool:  # one of many, with less than a lookup for each server in an expected time
        requests = self._traffic.taken.read(self.now) * self.parameters.longest_objective / (4 * SECOND)
        return self._asks and requests < len(self._roster.ready)

    def _send(self, request: Request, server: EndpointState) -> None:
        if not self._may(server, request):
            return
        attempt = Attempt(request, server, len(request.attempts), self.now, max(1, request.deadline - self.now))
        request.attempts.append(attempt)
        server.out[attempt] = None
        self._exposure.spend(server.build, request, self.now)
        self._spill.spend(server)
        server.cold_sends.append(self.now)
        self.actions.append(StartAttempt(attempt))

    def _give_up(self, request: Request) -> None:
        over = 0.5 + self._traffic.shed.read(self.now) / max(1, self._traffic.taken.read(self.now))
        advice = int(over * self.parameters.longest_objective * self._rng.uniform(0.5, 1.5))  # spread, or all come
        advice = min(advice, self._quota.advises_retry * self._quota.max_retry_after)
        ran = any(
            attempt.outcome not in NEVER_RAN for attempt in request.attempts
        )  # a shed reply promises that none did
        self.actions.append(FailRequest(request) if ran else RejectRequest(request, advice))
        self._traffic.shed.add(self.now, not ran)
        self.client_left(request)

    def client_left(self, request: Request) -> None:
        if request.finished:
            return
        request.finished = True
        self._spill.left(request)
        self._journeys.end(request)
        for attempt in request.attempts:
            if attempt.outcome is None and self._quota.may_cancel and not attempt.streaming:
                self.actions.append(CancelAttempt(attempt))
