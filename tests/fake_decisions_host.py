"""A fake host for the decisions of one relay: it passes events to them, records actions, and keeps the time."""

from __future__ import annotations

from random import Random

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.endpoint_state import state_of
from lanelead.decisions.interface import (
    Action,
    Attempt,
    AttemptOutcome,
    CanaryLimits,
    CastVote,
    DeduplicationScope,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FailRequest,
    Idempotency,
    Prices,
    PromotionControl,
    RejectRequest,
    RelayPosition,
    Request,
    RequestClass,
    ResourceQuota,
    RolloutPhase,
    RolloutState,
    SendGossip,
    ServiceLimits,
    SetTimer,
    StartAttempt,
    Ticks,
    UpdateScope,
    VotingRules,
)

SECOND: Ticks = 10_000
COSTLY_HEALTH_CHECK = 0.08  # a price of health checks at which relays report attempts in flight by gossip instead
IDEMPOTENT_CLASS = RequestClass(
    "read", SECOND, 4 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
)
KEYED_CLASS = RequestClass(
    "save", SECOND, 4 * SECOND, 3.0, 0.0, Idempotency.KEYED, DeduplicationScope.ZONE, 2 * SECOND, False, 0.0
)
NON_IDEMPOTENT_CLASS = RequestClass(
    "file", SECOND, 4 * SECOND, 3.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
)


class FakeHost:
    """Hosts one relay with some endpoints of build 1, which is promoted; each option changes one setting."""

    def __init__(
        self,
        endpoints: int = 8,
        by_class: bool = False,
        guarded_stages: int = 0,
        sticky_keys: bool = False,
        control: PromotionControl = PromotionControl.FIRST_VOTE,
        hedging: bool = True,
        health_checks: bool = False,
        now: Ticks = 0,
        relays: int = 3,
        number: int = 0,
        health_check_price: float = 0.0,
        handshake_price: float = 0.0,
        idle_timeout: Ticks = 0,
        min_stage_time: Ticks = SECOND,
    ) -> None:
        self.actions: list[Action] = []
        self.timers: list[tuple[Ticks, Request | None]] = []
        self.balancer = Balancer(
            position=RelayPosition(number, relays, "z"),
            request_classes=[IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS],
            tenants=[],
            quota=ResourceQuota(
                4, 1000, 100, True, health_checks, True, hedging, True, SECOND, SECOND // 4, idle_timeout
            ),
            limits=ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 3.0, SECOND, False, 0, 50),
            canary_limits=CanaryLimits(
                (0.1, 0.5, 1), (0.1, 0.5, 1), 3.0, 4 * SECOND, by_class, guarded_stages, sticky_keys, False
            ),
            voting_rules=VotingRules(control, 1, 1, 1, min_stage_time, 0, SECOND, 6 * SECOND, 100.0, 0.5, 2.0, 0.0),
            prices=Prices(health_check_price, 0.0, 0.0, 0.0, 0.0, handshake_price, 0.0, 0.1),
            rng=Random(7),
            now=now,
        )
        self.balancer.now = now
        self.endpoints = [self.list_endpoint(1) for _ in range(endpoints)]
        self.update_rollout(1, 2, RolloutPhase.PROMOTED, 1.0)

    def list_endpoint(
        self,
        build: int,
        started_at: Ticks = 0,
        status: EndpointStatus = EndpointStatus.READY,
        endpoint: Endpoint | None = None,
        zone: str = "z",
    ) -> Endpoint:
        """List a new endpoint, or update a given one, and return it."""
        endpoint = endpoint or self.balancer.new_endpoint(0)
        record = EndpointRecord(endpoint, zone, 0, "std", started_at, build, 1.0, status)
        self.balancer.endpoints_updated(UpdateScope.DELTA, [record])
        return endpoint

    def update_rollout(
        self,
        build: int,
        stage: int,
        phase: RolloutPhase,
        exposure_limit: float,
        answers_vote: bool = False,
        outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED,
    ) -> None:
        """Send the relay a rollout state."""
        self.balancer.rollout_updated(RolloutState(build, stage, phase, exposure_limit, 0, answers_vote, outcome))
        self.take_actions()

    def send_request(
        self, request_class: RequestClass = IDEMPOTENT_CLASS, key: str | None = None, time_left: Ticks = 4 * SECOND
    ) -> Request:
        """Send the relay a request whose client waits for `time_left` ticks."""
        request = Request(request_class, None, key, self.balancer.now, self.balancer.now + time_left)
        self.balancer.request_received(request)
        self.take_actions()
        return request

    def end_attempt(
        self, attempt: Attempt, outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED, elapsed: Ticks = 1000
    ) -> None:
        """End an attempt after `elapsed` ticks."""
        self.balancer.attempt_ended(attempt, outcome, outcome is AttemptOutcome.SUCCEEDED, elapsed, None)
        self.take_actions()

    def take_actions(self) -> list[Action]:
        """Record the relay's new actions, and return them."""
        new_actions = list(self.balancer.actions)
        self.balancer.actions.clear()
        self.actions += new_actions
        self.timers += [(action.at, action.request) for action in new_actions if isinstance(action, SetTimer)]
        return new_actions

    def advance(self, span: Ticks) -> None:
        """Let time pass, and fire each timer that becomes due."""
        until = self.balancer.now + span
        while due := [timer for timer in self.timers if timer[0] <= until]:
            timer = min(due, key=lambda entry: entry[0])
            self.timers.remove(timer)
            self.balancer.now = max(self.balancer.now, timer[0])
            self.balancer.timer_fired(timer[1])
            self.take_actions()
        self.balancer.now = until

    def attempts(self, request: Request | None = None) -> list[Attempt]:
        """Return all attempts so far, or those of one request."""
        attempts = [action.attempt for action in self.actions if isinstance(action, StartAttempt)]
        return [attempt for attempt in attempts if request is None or attempt.request is request]

    def final_actions(self, request: Request) -> list[Action]:
        """Return the actions that rejected or failed a request."""
        return [
            action
            for action in self.actions
            if isinstance(action, RejectRequest | FailRequest) and action.request is request
        ]

    def record_outcomes(
        self,
        endpoint: Endpoint,
        outcomes: int,
        faults: dict[Fault, int] | None = None,
        request_class: RequestClass = IDEMPOTENT_CLASS,
    ) -> None:
        """Score outcomes as if the relay had observed them now."""
        self.balancer._scoring.record(state_of(endpoint), request_class, faults or {}, self.balancer.now, outcomes)

    def sent_gossip(self) -> list[SendGossip]:
        """Return the gossip that the relay sends in the next half second."""
        self.actions.clear()
        self.advance(SECOND // 2)
        return [action for action in self.actions if isinstance(action, SendGossip)]

    def votes(self) -> list[CastVote]:
        """Return all votes that the relay has cast."""
        return [action for action in self.actions if isinstance(action, CastVote)]
