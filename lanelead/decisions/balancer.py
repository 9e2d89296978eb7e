"""The entry point of a relay's decisions: handles every event that a host reports.

docs/design.md describes the mechanism, interface.py the events and actions exchanged with the host.
"""

from collections.abc import Sequence
from typing import Unpack

from lanelead.decisions.build_scoring import BUILD_FAULTS, FAILURE_WEIGHTS, FAULT_OF_OUTCOME, NO_RESPONSE, Fault
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.interface import (
    SECOND,
    Attempt,
    AttemptOutcome,
    CloseIdleConnections,
    Endpoint,
    EndpointRecord,
    GossipEntry,
    InFlightCount,
    InFlightEntry,
    LoadReport,
    OutcomeObservation,
    OutcomeTally,
    PollEndpoints,
    Request,
    RequestClass,
    RolloutPhase,
    RolloutState,
    SetTimer,
    Ticks,
    UpdateScope,
    WatchEndpoints,
)
from lanelead.decisions.relay_parts import RelayOptions
from lanelead.decisions.request_routing import RequestRouter

MAX_RESUMED_PER_ATTEMPT = 3  # requests waiting for capacity that are resumed when an attempt ends
MIN_FLEET_RESPONSES = 10  # responses in a second; with fewer the fleet's latency is not estimated


class Balancer(RequestRouter):
    """All decisions of one relay; implements `interface.Decisions`."""

    def __init__(self, **options: Unpack[RelayOptions]) -> None:
        """Create the relay's parts; schedule the first periodic update and subscribe to the endpoint list."""
        super().__init__(**options)
        first_update = self.now + int(self._update_interval * self._rng.uniform(0.5, 1))
        self.actions.append(SetTimer(first_update, None))
        if self._limits.subscribe:
            self.actions.append(WatchEndpoints(True))

    def new_endpoint(self, short_id: int) -> Endpoint:
        """Return the state object for an endpoint that is new to the host."""
        return EndpointState(short_id, 2 * self.parameters.longest_objective, 2 * SECOND, self._rng.random())

    def endpoints_updated(self, update_scope: UpdateScope, records: Sequence[EndpointRecord]) -> None:
        """Apply an update of the endpoint list; after a failed one, subscribe or poll again."""
        if update_scope is UpdateScope.FAILED:
            self.actions.append(WatchEndpoints(True) if self._limits.subscribe else PollEndpoints())
        else:
            self._endpoints.apply(update_scope, records, self.now)

    def rollout_updated(self, rollout: RolloutState) -> None:
        """Apply the state of the newest build's rollout, pushed by the platform or sent in answer to a vote."""
        self._rollout.votes.vote_answered(rollout, self.now)
        if rollout.outcome is AttemptOutcome.SUCCEEDED:
            self._exposure_budget.update(rollout)
            self._rollout.update(rollout, self.now)

    def request_received(self, request: Request) -> None:
        """Count a new request and start to route it."""
        self._traffic.received.add(self.now, 1)
        self._received_by_class[request.request_class].add(self.now, 1)
        self._exposure_budget.credit_request(request, self._endpoints.ready_by_build, self.now)
        self._scheduler.start(request, self._route(request))

    def response_started(self, attempt: Attempt) -> None:
        """Mark an attempt as streaming to the client, so that its request is no longer hedged."""
        attempt.streaming = True
        self._scheduler.cancel_timer(attempt.request)

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, elapsed: Ticks, report: LoadReport | None
    ) -> None:
        """Record an attempt's outcome, then resume its request and some requests that wait for capacity.

        `closed` is true when the request has its final answer; `elapsed` is the attempt's duration in ticks.
        """
        request = attempt.request
        endpoint = state_of(attempt.endpoint)
        attempt.outcome = outcome
        endpoint.in_flight.pop(attempt, None)
        self._record_attempt_outcome(attempt, endpoint, outcome, elapsed)
        self._lost_attempts.add(self.now, outcome in NO_RESPONSE)
        self._close_idle_after_loss(endpoint)
        if closed:
            self.client_left(request)
        elif not request.finished:
            self._scheduler.resume(request, attempt)
        for waiting in self._scheduler.highest_priority(MAX_RESUMED_PER_ATTEMPT):
            self._scheduler.resume(waiting)

    def timer_fired(self, request: Request | None) -> None:
        """Resume a request whose timer is due; with None, run the relay's periodic update."""
        if request is None:
            self._update()
        elif self._scheduler.is_due(request, self.now):
            self._scheduler.resume(request)

    def gossip_received(self, peer: int, entries: Sequence[GossipEntry]) -> None:
        """Apply the entries that a peer reports; an aggregator forwards outcomes to the watchers."""
        in_flight = [entry for entry in entries if isinstance(entry, InFlightEntry)]
        if in_flight:
            sender = peer if self._gossip_peers.is_aggregator else None
            self._fleet_in_flight.receive(sender, in_flight, self.now)
        for entry in entries:
            self._latency_estimator.receive(peer, entry, self.now)
        for entry in entries:
            if isinstance(entry, OutcomeObservation):
                faults = {fault: count for fault, count in zip(Fault, entry.faults, strict=True) if count}
                endpoint = state_of(entry.endpoint)
                forward = self._gossip_peers.forwards_from(peer)
                self._record_outcomes(endpoint, entry.request_class, faults, entry.outcomes, forward)

    def complaint_received(self, endpoint: Endpoint, request_class: RequestClass, age: Ticks) -> None:
        """Count a wrong answer reported by a client as a fault; the outcome was counted when the attempt ended."""
        self._record_outcomes(state_of(endpoint), request_class, {Fault.WRONG_ANSWER: 1}, 0, True)

    def tally_received(self, tally: OutcomeTally) -> None:
        """Ignore the platform's tally, since the outcomes that relays observe themselves are more recent."""

    def health_checked(
        self, endpoint: Endpoint, outcome: AttemptOutcome, elapsed: Ticks, report: LoadReport | None
    ) -> None:
        """Update an endpoint's estimated wait from a health check, and resume all requests that wait for one.

        The estimate is the duration of the health check, or, if larger, the queue length over the throughput that the
        endpoint reports. The throughput is taken as at least an equal share of the total quota.
        """
        state = state_of(endpoint)
        if outcome is AttemptOutcome.SUCCEEDED and report:
            state.health_checked_at = self.now
            fair_rate = self.parameters.total_quota / max(1, len(self._endpoints.ready))
            queue = report.get("waiting", 0) / max(report["rps"], fair_rate) if report.get("rps") else 0
            state.estimated_wait = max(elapsed, int(queue * SECOND))
        self._lost_attempts.add(self.now, outcome is AttemptOutcome.CONNECT_FAILED)
        for request in list(self._scheduler.awaiting_health_check):
            self._scheduler.resume(request)
        self._close_idle_after_loss(state)

    def _close_idle_after_loss(self, endpoint: EndpointState) -> None:
        """Close idle connections to an endpoint if they may have been dropped without notice.

        Once the share of lost attempts is too high, every endpoint is suspect. Where handshakes are costly, only an
        endpoint whose last attempt got no response is.
        """
        received = self._traffic.received
        many_lost = self._lost_attempts.read(self.now) > self._max_loss_share * received.read(self.now)
        suspect = endpoint.unresponsive if self._saves_connections else many_lost
        if suspect and not endpoint.in_flight:
            self.actions.append(CloseIdleConnections(endpoint))

    def _update(self) -> None:
        """Send gossip, update zone spillover, and vote; runs every update interval and when a promotion is due."""
        times = (self._rollout.promotion_due_at, self.now + self._update_interval)
        self.actions.append(SetTimer(min(at for at in times if at > self.now), None))
        self._send_gossip()
        rollout = self._exposure_budget.rollout
        is_canary = rollout is not None and rollout.phase is RolloutPhase.CANARY
        self._spillover.update(self._endpoints.ready, self._traffic.received.read(self.now), is_canary, self.now)
        if rollout is not None:
            self.actions += self._rollout.evaluate(rollout, self._endpoints, self.now)

    def _send_gossip(self) -> None:
        own_counts = list[InFlightCount]()
        in_flight = list[GossipEntry]()
        totals = list[GossipEntry]()
        if self._reports_in_flight:
            own_counts = self._fleet_in_flight.own_counts(self._endpoints.ready)
            if own_counts:
                in_flight = [*own_counts, self._latency_estimator.own_count(self._rng, self.now)]
            if self._gossip_peers.is_aggregator:
                counts = self._fleet_in_flight.aggregate(own_counts, self.now)
                total = sum(count.attempts for count in counts)
                totals = [*counts, *self._latency_estimator.measure(total, MIN_FLEET_RESPONSES, self.now)]
        self.actions += self._gossip_peers.messages(self._observations.take(), in_flight, totals)

    def _record_attempt_outcome(
        self, attempt: Attempt, endpoint: EndpointState, outcome: AttemptOutcome, elapsed: Ticks
    ) -> None:
        """Record an attempt's outcome in all statistics, unless this relay cancelled the attempt or never sent it."""
        if outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.NOT_SENT):
            return
        request_class = attempt.request.request_class
        is_late = elapsed > request_class.latency_objective
        fault = FAULT_OF_OUTCOME.get(outcome, Fault.LATE if is_late else None)
        ended, on_time = self._on_time_counters[attempt.request.tenant, request_class]
        ended.add(self.now, 1)
        on_time.add(self.now, fault is None or fault in BUILD_FAULTS)
        if outcome is AttemptOutcome.TIMED_OUT and elapsed < request_class.latency_objective:
            return  # the client's deadline was shorter than the latency objective, so no endpoint is at fault
        self._record_outcomes(endpoint, request_class, {fault: 1} if fault else {}, 1, True)
        endpoint.unresponsive = outcome in NO_RESPONSE
        self._latency_estimator.record_responses(not endpoint.unresponsive, self.now)
        self._selector.record_outcome(endpoint, FAILURE_WEIGHTS.get(outcome, 0.0), self.now)
        if outcome is AttemptOutcome.SUCCEEDED:
            self._exposure_budget.record_success(endpoint.build, attempt.request)
            endpoint.recent_completions.add(self.now, 1)
            self._traffic.completed.add(self.now, 1)
            endpoint.relative_latency_sum.add(self.now, elapsed / request_class.latency_objective)

    def _record_outcomes(
        self, endpoint: EndpointState, request_class: RequestClass, faults: dict[Fault, int], outcomes: int, send: bool
    ) -> None:
        """Count outcomes that this relay observed or a peer reported; with `send`, queue them for gossip too.

        In a degraded zone tier only faults that load cannot cause (`BUILD_FAULTS`) count against a build.
        """
        load_faults = sum(count for fault, count in faults.items() if fault not in BUILD_FAULTS)
        self._spillover.record_outcomes(endpoint, outcomes, load_faults, self.now)
        if self._spillover.is_degraded(endpoint):
            faults = {fault: count for fault, count in faults.items() if fault in BUILD_FAULTS}
        self._scoring.record(endpoint, request_class, faults, self.now, outcomes)
        self._traffic.served.add(self.now, outcomes - faults.get(Fault.ERROR, 0))  # a fast error keeps no endpoint busy
        if send and self._quota.gossip:
            self._observations.add(endpoint, request_class, outcomes, [faults.get(fault, 0) for fault in Fault])
