"""The life of one request: endpoint selection, health checks, retries, hedging, and rejection or failure."""

from collections.abc import Generator, Sequence
from typing import Unpack

from lanelead.decisions.admission import NOT_EXECUTED
from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import (
    Attempt,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    Request,
    StartAttempt,
    Ticks,
)
from lanelead.decisions.relay_parts import TRAFFIC_SPAN, RelayOptions, RelayParts
from lanelead.decisions.request_scheduling import RequestRoutine, RequestScheduler

MAX_HEDGED_SHARE = 0.1  # hedged requests as a share of requests received
# The target for the fleet's mean latency, as a share of the shortest latency objective. It is below 1 because single
# latencies are spread around the mean.
MAX_LATENCY_SHARE = 0.75


class RequestRouter(RelayParts):
    """Routes requests to endpoints, and starts, hedges and cancels their attempts."""

    def __init__(self, **options: Unpack[RelayOptions]) -> None:
        """Create the relay's parts and the scheduler of its requests."""
        super().__init__(**options)
        self._scheduler = RequestScheduler(self._start_attempt, lambda action: self.actions.append(action))

    def client_left(self, request: Request) -> None:
        """End a request that has its final answer or whose client left, and cancel its attempts in flight."""
        if request.finished:
            return
        request.finished = True
        self._spillover.forget(request)
        self._scheduler.finish(request)
        for attempt in request.attempts:
            if attempt.outcome is None and self._quota.may_cancel and not attempt.streaming:
                self.actions.append(CancelAttempt(attempt))

    def attempts_forbidden(self, request: Request) -> None:
        """Begin no further attempt of a request; reject or fail it now, or when its last attempt in flight ends."""
        request.accepts_attempts = False
        if not request.finished and all(attempt.outcome is not None for attempt in request.attempts):
            self._reject_or_fail(request)

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether a started attempt may be sent now; it may have waited, for example for a connection."""
        return self._guards.may_send(attempt, self.now)

    def may_complete(self, attempt: Attempt) -> bool:
        """Return whether the rest of an attempt that was sent in part may be sent now."""
        return self._guards.may_complete(attempt, self.now)

    def _route(self, request: Request) -> RequestRoutine:
        """Yield endpoints to try and times to wait until, as `RequestScheduler` expects, until the request ends.

        A request waits for capacity for at most a sixth of its latency objective after its arrival. Meanwhile waiting
        requests of higher priority go first.
        """
        request_class = request.request_class
        hedge_at = request.received_at + request_class.latency_objective // 2
        give_up_at = min(
            request.deadline - self._limits.tick, request.received_at + request_class.latency_objective // 6
        )
        while request.accepts_attempts and not self._is_shed_at_random(request):
            pair = self._select_in_priority_order(request, give_up_at)
            endpoint = pair[0] if pair else None
            if pair and self._has_few_observations() and self.now < give_up_at:
                endpoint = yield from self._check_health_first(request, pair, give_up_at)
            if endpoint is not None:
                yield endpoint
            elif self.now < give_up_at and self._guards.may_be_served(request, self.now):
                self._scheduler.waiting[request] = request_class.priority_weight
                yield give_up_at
            else:
                break
            yield from self._await_attempts(request, hedge_at)
        self._reject_or_fail(request)

    def _select_in_priority_order(self, request: Request, give_up_at: Ticks) -> list[EndpointState]:
        """Select endpoints; return none if the request can still wait and one of higher priority waits for capacity."""
        if self.now < give_up_at:
            weight = request.request_class.priority_weight
            if any(other > weight for other in self._scheduler.waiting.values()):
                return []
        return self._select(request)

    def _await_attempts(self, request: Request, hedge_at: Ticks) -> RequestRoutine:
        """Wait until no attempt is in flight; from `hedge_at` on, hedge the request at another endpoint."""
        while any(attempt.outcome is None for attempt in request.attempts):
            yield hedge_at if self.now < hedge_at and self._quota.hedging else request.deadline
            received = self._traffic.received
            few_hedged = self._traffic.hedged.read(self.now) < MAX_HEDGED_SHARE * received.read(self.now)
            may_hedge = few_hedged and self.now >= hedge_at and request.accepts_attempts
            pair = self._select(request) if may_hedge else []
            last = request.attempts[-1]
            if pair and last.outcome is None and pair[0] is not last.endpoint:
                self._traffic.hedged.add(self.now, 1)
                yield pair[0]

    def _permits(self, endpoint: EndpointState, request: Request) -> bool:
        return self._guards.permits(endpoint, request, self.now)

    def _select(self, request: Request, already_checked: Sequence[EndpointState] = ()) -> list[EndpointState]:
        """Return up to two endpoints, the better first.

        `already_checked` are endpoints whose health checks for this request found no short enough wait.
        """
        candidates = self._spillover.candidate_pools(self._endpoints.ready_by_build, request)
        return self._selector.select(candidates, request, self._rollout.canary_bias(), self.now, already_checked)

    def _check_health_first(
        self, request: Request, pair: list[EndpointState], until: Ticks
    ) -> Generator[Ticks, None, EndpointState | None]:
        """Check the health of two endpoints at a time; return the first with a short estimated wait.

        Each pair gets half of the time up to `until` to respond before the next pair is checked. Return None if no
        endpoint was found in time.
        """
        already_checked = list[EndpointState]()
        began_at = self.now
        step = max(1, (until - self.now) // 2)
        short_wait = min(request.request_class.latency_objective, request.deadline - self.now) // 4
        while self.now < until and pair:
            self.actions += [CheckHealth(endpoint) for endpoint in pair]
            already_checked += pair
            pause_until = min(until, self.now + step)
            best: EndpointState | None = None
            wait: Ticks = 0
            while self.now < pause_until and (best is None or wait > min(step, short_wait)):
                self._scheduler.awaiting_health_check[request] = None
                yield pause_until
                best = self._shortest_wait(request, already_checked, began_at)
                wait = best.estimated_wait if best else 0
            if best and wait < short_wait:
                return best
            pair = self._select(request, already_checked)
        return None

    def _shortest_wait(
        self, request: Request, already_checked: Sequence[EndpointState], began_at: Ticks
    ) -> EndpointState | None:
        """Return the endpoint with the shortest estimated wait that responded to a health check after `began_at`."""
        answered = (
            endpoint
            for endpoint in already_checked
            if endpoint.health_checked_at > began_at and self._permits(endpoint, request)
        )
        return min(answered, key=lambda endpoint: endpoint.estimated_wait, default=None)

    def _is_shed_at_random(self, request: Request) -> bool:
        """Decide by a random draw whether to shed a request because too many requests would be late.

        If the fleet's latency is known, the excess over `MAX_LATENCY_SHARE` is shed from the request classes of lowest
        priority first. Otherwise a share of the requests is shed of each tenant and request class that is rarely on
        time.
        """
        ended, on_time = self._on_time_counters[request.tenant, request.request_class]
        ended_count = ended.read(self.now)
        on_time_count = on_time.read(self.now)
        latency = self._latency_estimator.latency(self.now)
        if latency is None:
            return self._rng.random() > 3 * (1 + on_time_count) / (1 + 2 * ended_count)
        excess = 1 - MAX_LATENCY_SHARE * self.parameters.shortest_objective / max(1, latency)
        received_by_class = {
            request_class: count.read(self.now) for request_class, count in self._received_by_class.items()
        }
        weight = request.request_class.priority_weight
        lower_priority_count = sum(
            count for request_class, count in received_by_class.items() if request_class.priority_weight < weight
        )
        return (
            self._rng.random() * received_by_class[request.request_class]
            < excess * sum(received_by_class.values()) - lower_priority_count
        )

    def _has_few_observations(self) -> bool:
        """Return whether this relay must check health because its own attempts tell it too little about the endpoints.

        That is so when it receives less than one request per endpoint in the longest latency objective.
        """
        requests = self._traffic.received.read(self.now) * self.parameters.longest_objective / TRAFFIC_SPAN
        return self._checks_health and requests < len(self._endpoints.ready)

    def _start_attempt(self, request: Request, endpoint: EndpointState) -> None:
        """Start an attempt at an endpoint if the guards still permit it."""
        if not self._permits(endpoint, request):
            return
        timeout = max(1, request.deadline - self.now)
        attempt = Attempt(request, endpoint, len(request.attempts), self.now, timeout)
        request.attempts.append(attempt)
        endpoint.in_flight[attempt] = None
        self._exposure_budget.charge(endpoint.build, request, self.now)
        self._spillover.take_token(endpoint)
        endpoint.slow_start_attempts.append(self.now)
        self.actions.append(StartAttempt(attempt))

    def _reject_or_fail(self, request: Request) -> None:
        """Fail a request that an endpoint may have executed; reject any other with a time to retry after.

        The time is randomized so that rejected clients do not all return at once, and grows with the share of requests
        that are rejected.
        """
        received = self._traffic.received.read(self.now)
        overload = 0.5 + self._traffic.rejected.read(self.now) / max(1, received)
        retry_after = int(overload * self.parameters.longest_objective * self._rng.uniform(0.5, 1.5))
        retry_after = min(retry_after, self._quota.advises_retry * self._quota.max_retry_after)
        executed = any(attempt.outcome not in NOT_EXECUTED for attempt in request.attempts)
        self.actions.append(FailRequest(request) if executed else RejectRequest(request, retry_after))
        self._traffic.rejected.add(self.now, not executed)
        self.client_left(request)
