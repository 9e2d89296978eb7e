"""All decisions of a relay, joined: docs/design.md has the mechanism, interface.py what a host does."""

from collections.abc import Generator, Sequence
from random import Random

from lanelead.decisions.choosing import Choice
from lanelead.decisions.guards import NEVER_RAN, Exposure, Guards
from lanelead.decisions.interface import (
    SECOND,
    Action,
    ResourceQuota,
    FailRequest,
    CancelAttempt,
    CloseIdleConnections,
    UpdateScope,
    ServiceLimits,
    AttemptOutcome,
    PollEndpoints,
    DecisionParameters,
    RequestClass,
    EndpointRecord,
    Request,
    Tenant,
    RolloutState,
    InFlightEntry,
    RolloutPhase,
    RelayPosition,
    VotingRules,
    ZonePreference,
    CheckHealth,
    LoadReport,
    StartAttempt,
    RejectRequest,
    OutcomeObservation,
    OutcomeTally,
    Prices,
    Ticks,
    CanaryLimits,
    Attempt,
    Endpoint,
    SetTimer,
    WatchEndpoints,
    GossipEntry,
)
from lanelead.decisions.journeys import Journey, Journeys
from lanelead.decisions.rollout import Rollout
from lanelead.decisions.scoring import FAULTS, HARD, MUTE, STRIKES, Fault, Scoring
from lanelead.decisions.servers import Fares, Outstanding, Pacing, Roster, EndpointState, Traffic, Untold, state_of
from lanelead.decisions.sums import Fading
from lanelead.decisions.telling import CIRCLE, Circle
from lanelead.decisions.zones import ANYWHERE, Spill


class Balancer:
    chooses: type[Choice] = Choice

    def __init__(
        self,
        place: RelayPosition,
        lanes: Sequence[RequestClass],
        members: Sequence[Tenant],
        allowance: ResourceQuota,
        duties: ServiceLimits,
        trial: CanaryLimits,
        poll: VotingRules,
        tariff: Prices,
        chance: Random,
        now: Ticks,
        preference: ZonePreference = ANYWHERE,
    ) -> None:
        self.now, self.actions = now, list[Action]()
        self._allowance, self._duties, self._chance = allowance, duties, chance
        self.parameters = DecisionParameters(lanes, sum(member.quota for member in members), place.relay_count)
        self._rates, self._pacing = {lane: Fading(4 * SECOND) for lane in lanes}, Pacing(SECOND, now)
        self._roster, self._circle = Roster(), Circle(place, poll.rollback_votes, chance)
        many = place.relay_count > CIRCLE
        # A choice takes two to four probes: where they cost over a tenth of a lookup, letters tell instead.
        self._asks = many and allowance.health_checks and 4 * tariff.health_check <= 0.1
        self._tells, self._out = many and allowance.gossip and not self._asks, Outstanding(SECOND)
        self._spares, self._suspect = self._tells and tariff.handshake > 0, max(0.02, 2.5 * tariff.handshake)
        told = many and self._circle.watches  # much is told to it: it looks less often
        self._beat = SECOND // (5 if not told else 2 if self._circle.watchers <= CIRCLE else 1)
        self._traffic, self._exposure = Traffic(4 * SECOND), Exposure(trial, many, chance)
        self._scoring = Scoring(5 * SECOND, 3 * SECOND, fill=10, ripe=5 * SECOND)
        self._rollout = Rollout(trial, poll, self._circle, self._scoring, self._traffic, chance)
        self._spill = Spill(preference, duties, self.parameters.longest_objective, self._beat, chance)
        self._guards = Guards(allowance, duties, self._exposure, self._roster, self._traffic, self.parameters)
        self._choice = self.chooses(
            self._roster,
            self._guards,
            self._out,
            self._traffic,
            self.parameters,
            allowance.idle_timeout if self._spares else 0,
            place,
            chance,
        )
        self._lost, self._untold = Fading(10 * SECOND), Untold(len(Fault))
        self._journeys = Journeys(self._send, lambda act: self.actions.append(act))
        self._fares = Fares(4 * SECOND)
        first = SetTimer(now + int(self._beat * chance.uniform(0.5, 1)), None)
        self.actions += [first, WatchEndpoints(True)] if duties.subscribe else [first]

    def new_endpoint(self, mark: int) -> Endpoint:
        return EndpointState(mark, 2 * self.parameters.longest_objective, 2 * SECOND, self._chance.random())

    def endpoints_updated(self, coverage: UpdateScope, listings: Sequence[EndpointRecord]) -> None:
        if coverage is UpdateScope.FAILED:
            self.actions.append(WatchEndpoints(True) if self._duties.subscribe else PollEndpoints())
        else:
            self._roster.apply(coverage, listings, self.now)

    def rollout_updated(self, news: RolloutState) -> None:
        self._rollout.ballot.hear(news, self.now)
        if news.outcome is AttemptOutcome.SUCCEEDED:
            self._exposure.hear(news)
            self._rollout.hear(news, self.now)

    def request_received(self, lookup: Request) -> None:
        self._traffic.taken.add(self.now, 1)
        self._rates[lookup.request_class].add(self.now, 1)
        self._exposure.take(lookup, self._roster.groups, self.now)
        self._journeys.begin(lookup, self._journey(lookup))

    def response_started(self, trip: Attempt) -> None:
        trip.streaming = True
        self._journeys.hold(trip.request)  # it belongs to the client now: no second copy

    def attempt_ended(
        self, trip: Attempt, fate: AttemptOutcome, closed: bool, took: Ticks, report: LoadReport | None
    ) -> None:
        lookup, server, trip.outcome = trip.request, state_of(trip.endpoint), fate
        server.out.pop(trip, None)
        self._learn(trip, server, fate, took)
        self._lost.add(self.now, fate in MUTE)
        self._let_go(server)
        if closed:
            self.client_left(lookup)
        elif not lookup.finished:
            self._journeys.go_on(lookup, trip)
        for lookup in self._journeys.worthiest(3):
            self._journeys.go_on(lookup)

    def timer_fired(self, lookup: Request | None) -> None:
        if lookup is None:
            self._tick()
        elif self._journeys.due(lookup, self.now):
            self._journeys.go_on(lookup)

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
        self, server: EndpointState, lane: RequestClass, faults: dict[Fault, int], outcomes: int, tell: bool
    ) -> None:
        self._spill.note(server, outcomes, sum(n for f, n in faults.items() if f not in HARD), self.now)
        if self._spill.troubled(server):
            faults = {fault: many for fault, many in faults.items() if fault in HARD}
        self._scoring.record(server, lane, faults, self.now, outcomes)
        self._traffic.busy.add(self.now, outcomes - faults.get(Fault.BROKEN, 0))  # quick errors are no work
        if tell and self._allowance.gossip:
            self._untold.note(server, lane, outcomes, [faults.get(fault, 0) for fault in Fault])

    def complaint_received(self, unit: Endpoint, lane: RequestClass, age: Ticks) -> None:
        self._count(state_of(unit), lane, {Fault.WRONG: 1}, 0, True)

    def tally_received(self, counted: OutcomeTally) -> None: ...

    def health_checked(self, unit: Endpoint, fate: AttemptOutcome, took: Ticks, report: LoadReport | None) -> None:
        if fate is AttemptOutcome.SUCCEEDED and report:
            state_of(unit).told, fair = self.now, self.parameters.total_quota / max(1, len(self._roster.ready))
            queue = report.get("waiting", 0) / max(report["rps"], fair) if report.get("rps") else 0
            state_of(unit).wait = max(took, int(queue * SECOND))  # a deep probe has waited itself
        self._lost.add(self.now, fate is AttemptOutcome.CONNECT_FAILED)
        for lookup in list(self._journeys.asking):
            self._journeys.go_on(lookup)
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
        out: list[GossipEntry] = [*loads, self._pacing.own(self._chance, self.now)] if loads else []
        if self._tells and self._circle.hub:
            in_all += (totals := self._out.add(loads, self.now))
            in_all += self._pacing.measure(sum(load.attempts for load in totals), 10, self.now)
        self.actions += self._circle.letters(self._untold.take(), out, in_all)
        trial = news is not None and news.phase is RolloutPhase.CANARY
        self._spill.beat(ready, self._traffic.taken.read(self.now), trial, self.now)
        if news is not None:
            self.actions += self._rollout.look(news, self._roster, self.now)

    def _learn(self, trip: Attempt, server: EndpointState, fate: AttemptOutcome, took: Ticks) -> None:
        if fate in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
            return
        lane, (ended, timely) = trip.request.request_class, self._fares[trip.request.tenant, trip.request.request_class]
        fault = FAULTS.get(fate, Fault.SLOW if took > lane.latency_objective else None)
        ended.add(self.now, 1)
        timely.add(self.now, fault in (None, *HARD))
        # Guards against clients in haste: a time-out before the expected time is nobody's fault.
        if fate is AttemptOutcome.TIMED_OUT and took < lane.latency_objective:
            return
        self._count(server, lane, {fault: 1} if fault else {}, 1, True)
        server.mute = fate in MUTE
        self._pacing.note(not server.mute, self.now)
        self._choice.note(server, STRIKES.get(fate, 0.0), self.now)
        if fate is AttemptOutcome.SUCCEEDED:
            self._exposure.done(server.build, trip.request)
            server.done.add(self.now, 1)
            self._traffic.done.add(self.now, 1)
            server.pace.add(self.now, took / lane.latency_objective)

    def _may(self, server: EndpointState, lookup: Request) -> bool:  # asked again right before each trip
        return self._guards.permitted(server, lookup, self.now)

    def _pair(self, lookup: Request, asked: Sequence[EndpointState] = ()) -> list[EndpointState]:
        cuts = self._spill.cuts(self._roster.groups, lookup)
        return self._choice.pair(cuts, lookup, self._rollout.lean(), self.now, asked)

    def _ask(
        self, lookup: Request, pair: list[EndpointState], until: Ticks
    ) -> Generator[Ticks, None, EndpointState | None]:
        asked, began, step = list[EndpointState](), self.now, max(1, (until - self.now) // 2)
        short = min(lookup.request_class.latency_objective, lookup.deadline - self.now) // 4
        while self.now < until and pair:
            self.actions += [CheckHealth(server) for server in pair]
            asked += pair
            pause, wait, best = min(until, self.now + step), 0, None
            while self.now < pause and (best is None or wait > min(step, short)):
                self._journeys.asking[lookup] = None
                yield pause
                told = (server for server in asked if server.told > began and self._may(server, lookup))
                best = min(told, key=lambda server: server.wait, default=None)
                wait = best.wait if best else 0
            if best and wait < short:
                return best
            pair = self._pair(lookup, asked)
        return None

    def _journey(self, lookup: Request) -> Journey:
        lane = lookup.request_class
        copy_at = lookup.received_at + lane.latency_objective // 2
        give_up = min(lookup.deadline - self._duties.tick, lookup.received_at + lane.latency_objective // 6)
        while not self._forlorn(lookup):
            waiting = self._journeys.waiting.values() if self.now < give_up else ()
            pair = [] if any(other > lane.priority_weight for other in waiting) else self._pair(lookup)
            server = next(iter(pair), None)
            if pair and self._thin() and self.now < give_up:
                server = yield from self._ask(lookup, pair, give_up)
            if server is not None:
                yield server
            elif self.now < give_up and self._guards.hopeful(lookup, self.now):
                self._journeys.waiting[lookup] = lane.priority_weight
                yield give_up
            else:
                break
            while any(trip.outcome is None for trip in lookup.attempts):
                yield copy_at if self.now < copy_at and self._allowance.hedging else lookup.deadline
                few = self._traffic.copies.read(self.now) < 0.1 * self._traffic.taken.read(self.now)
                pair = self._pair(lookup) if few and self.now >= copy_at else []
                if pair and lookup.attempts[-1].outcome is None and pair[0] is not lookup.attempts[-1].endpoint:
                    self._traffic.copies.add(self.now, 1)
                    yield pair[0]
        self._give_up(lookup)

    def _forlorn(self, lookup: Request) -> bool:
        """Guards against work late whatever is done: a member's lane seldom timely is sent in part."""
        ended, timely = (fare.read(self.now) for fare in self._fares[lookup.tenant, lookup.request_class])
        if (took := self._pacing.took(self.now)) is None:  # no hub tells: what was seen here counts
            return self._chance.random() > 3 * (1 + timely) / (1 + 2 * ended)
        excess = 1 - 0.75 * self.parameters.shortest_objective / max(1, took)  # a mean, about which trips are spread
        rates = {lane: rate.read(self.now) for lane, rate in self._rates.items()}
        less = sum(rate for lane, rate in rates.items() if lane.priority_weight < lookup.request_class.priority_weight)
        return self._chance.random() * rates[lookup.request_class] < excess * sum(rates.values()) - less

    def _thin(self) -> bool:  # one of many, with less than a lookup for each server in an expected time
        lookups = self._traffic.taken.read(self.now) * self.parameters.longest_objective / (4 * SECOND)
        return self._asks and lookups < len(self._roster.ready)

    def _send(self, lookup: Request, server: EndpointState) -> None:
        if not self._may(server, lookup):
            return
        trip = Attempt(lookup, server, len(lookup.attempts), self.now, max(1, lookup.deadline - self.now))
        lookup.attempts.append(trip)
        server.out[trip] = None
        self._exposure.spend(server.build, lookup, self.now)
        self._spill.spend(server)
        server.cold_sends.append(self.now)
        self.actions.append(StartAttempt(trip))

    def _give_up(self, lookup: Request) -> None:
        over = 0.5 + self._traffic.shed.read(self.now) / max(1, self._traffic.taken.read(self.now))
        advice = int(over * self.parameters.longest_objective * self._chance.uniform(0.5, 1.5))  # spread, or all come
        advice = min(advice, self._allowance.advises_retry * self._allowance.max_retry_after)
        ran = any(trip.outcome not in NEVER_RAN for trip in lookup.attempts)  # a shed reply promises that none did
        self.actions.append(FailRequest(lookup) if ran else RejectRequest(lookup, advice))
        self._traffic.shed.add(self.now, not ran)
        self.client_left(lookup)

    def client_left(self, lookup: Request) -> None:
        if lookup.finished:
            return
        lookup.finished = True
        self._spill.left(lookup)
        self._journeys.end(lookup)
        for trip in lookup.attempts:
            if trip.outcome is None and self._allowance.may_cancel and not trip.streaming:
                self.actions.append(CancelAttempt(trip))
