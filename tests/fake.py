"""One tiny fake host: it feeds a relay by hand, carries its acts out on paper and keeps the time."""

from __future__ import annotations

from random import Random

from lanelead.decisions.balancer import Balancer
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
    ServiceLimits,
    SetTimer,
    StartAttempt,
    Ticks,
    UpdateScope,
    VotingRules,
)

SECOND: Ticks = 10_000
PURE = RequestClass("read", SECOND, 4 * SECOND, 1.0, 0.0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0)
RECEIPTED = RequestClass(
    "save", SECOND, 4 * SECOND, 3.0, 0.0, Idempotency.KEYED, DeduplicationScope.ZONE, 2 * SECOND, False, 0.0
)
EFFECTFUL = RequestClass(
    "file", SECOND, 4 * SECOND, 3.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
)


class FakeHost:
    def __init__(
        self,
        units: int = 8,
        by_lane: bool = False,
        guarded: int = 0,
        keys_stay: bool = False,
        control: PromotionControl = PromotionControl.FIRST_VOTE,
        copies: bool = True,
        probes: bool = False,
        now: Ticks = 0,
        relays: int = 3,
        number: int = 0,
        probe_price: float = 0.0,
        handshake_price: float = 0.0,
        idle_limit: Ticks = 0,
        least_stage: Ticks = SECOND,
    ) -> None:
        self.acts: list[Action] = []
        self.wakes: list[tuple[Ticks, Request | None]] = []
        self.relay = Balancer(
            position=RelayPosition(number, relays, "z"),
            request_classes=[PURE, RECEIPTED, EFFECTFUL],
            tenants=[],
            quota=ResourceQuota(4, 1000, 100, True, probes, True, copies, True, SECOND, SECOND // 4, idle_limit),
            limits=ServiceLimits(200, 2 * SECOND, 0.4, 4 * SECOND, 3.0, SECOND, False, 0, 50),
            canary_limits=CanaryLimits(
                (0.1, 0.5, 1), (0.1, 0.5, 1), 3.0, 4 * SECOND, by_lane, guarded, keys_stay, False
            ),
            voting_rules=VotingRules(control, 1, 1, 1, least_stage, 0, SECOND, 6 * SECOND, 100.0, 0.5, 2.0, 0.0),
            prices=Prices(probe_price, 0.0, 0.0, 0.0, 0.0, handshake_price, 0.0, 0.1),
            rng=Random(7),
            now=now,
        )
        self.relay.now = now
        self.units = [self.listed(1) for _ in range(units)]
        self.news(1, 2, RolloutPhase.PROMOTED, 1.0)

    def listed(
        self,
        build: int,
        since: Ticks = 0,
        condition: EndpointStatus = EndpointStatus.READY,
        unit: Endpoint | None = None,
        zone: str = "z",
    ) -> Endpoint:
        unit = unit or self.relay.new_endpoint(0)
        told = EndpointRecord(unit, zone, 0, "std", since, build, 1.0, condition)
        self.relay.endpoints_updated(UpdateScope.DELTA, [told])
        return unit

    def news(
        self,
        build: int,
        stage: int,
        phase: RolloutPhase,
        cap: float,
        answer: bool = False,
        word: AttemptOutcome = AttemptOutcome.SUCCEEDED,
    ) -> None:
        self.relay.rollout_updated(RolloutState(build, stage, phase, cap, 0, answer, word))
        self.drain()

    def ask(self, request_class: RequestClass = PURE, key: str | None = None, left: Ticks = 4 * SECOND) -> Request:
        request = Request(request_class, None, key, self.relay.now, self.relay.now + left)
        self.relay.request_received(request)
        self.drain()
        return request

    def end(self, attempt: Attempt, outcome: AttemptOutcome = AttemptOutcome.SUCCEEDED, took: Ticks = 1000) -> None:
        self.relay.attempt_ended(attempt, outcome, outcome is AttemptOutcome.SUCCEEDED, took, None)
        self.drain()

    def drain(self) -> list[Action]:
        """Takes over what the relay wants done, and returns just that."""
        fresh = list(self.relay.actions)
        self.relay.actions.clear()
        self.acts += fresh
        self.wakes += [(action.at, action.request) for action in fresh if isinstance(action, SetTimer)]
        return fresh

    def run(self, span: Ticks) -> None:
        """Lets time pass, with every wake that falls due."""
        until = self.relay.now + span
        while due := [wake for wake in self.wakes if wake[0] <= until]:
            wake = min(due, key=lambda entry: entry[0])
            self.wakes.remove(wake)
            self.relay.now = max(self.relay.now, wake[0])
            self.relay.timer_fired(wake[1])
            self.drain()
        self.relay.now = until

    def sent(self, request: Request | None = None) -> list[Attempt]:
        attempts = [action.attempt for action in self.acts if isinstance(action, StartAttempt)]
        return [attempt for attempt in attempts if request is None or attempt.request is request]

    def finals(self, request: Request) -> list[Action]:
        return [
            action
            for action in self.acts
            if isinstance(action, RejectRequest | FailRequest) and action.request is request
        ]

    def votes(self) -> list[CastVote]:
        return [action for action in self.acts if isinstance(action, CastVote)]
