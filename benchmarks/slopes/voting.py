"""Simulates a release at many relays in virtual time: when relays vote, what the platform receives, what it costs.

Each relay has the driver and the decisions of `run`; the platform's rules are those of the emulator
(lanelead/testbed/emulators/vote_counting.py). Sockets, endpoints and clients are simulated. One seed gives one result,
except for processor time.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from math import ceil
from random import Random
from typing import Any, NamedTuple
from unittest.mock import patch

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.endpoint_state import EndpointSet
from lanelead.decisions.interface import (
    SECOND,
    Action,
    Attempt,
    AttemptOutcome,
    CastVote,
    DeduplicationScope,
    Endpoint,
    Idempotency,
    Prices,
    PromotionControl,
    RelayPosition,
    RequestClass,
    ResourceQuota,
    RolloutState,
    ServiceLimits,
    Tenant,
    Ticks,
)
from lanelead.decisions.rollout import RolloutPolicy
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage, RolloutMessage, VoteRequest
from lanelead.protocols.platform import VERDICT_NAMES, encode_call
from lanelead.protocols.vocabulary import PROMOTION_CONTROLS, VERDICT_WORDS, VOTE_OUTCOMES
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.settings.service_settings import CanarySettings, VotingSettings
from lanelead.testbed.emulators.vote_counting import VoteCounting
from tests.postgres_platform import stage_notification, vote_response

ENDPOINTS = 26  # of the previous build
REQUEST_RATE = 8.0  # requests a second at each relay
ANSWER_SECONDS = (0.05, 0.15)  # least and most, from an attempt to its answer
GOSSIP_SECONDS = 0.001  # delay of a gossip message
STATE_DELAY_SECONDS = (0.3, 0.86)  # least and most, until a relay gets the rollout state
CALL_SECONDS = (0.05, 0.2)  # least and most, round trip of a call to the platform
BOOT_SECONDS = 3.0  # from a stage's beginning until its endpoints are listed
WARM_UP_SECONDS = 4.0  # before the release
TAIL_SECONDS = 8.0  # after the release; votes expire after 6 s
MAX_RELEASE_SECONDS = 40.0  # three times what a good build takes
START_TICKS: Ticks = 36_000_000
REQUEST_CLASS = RequestClass(
    "read", 8000, 15_000, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 20_000, False, 0.0
)
QUOTA = ResourceQuota(3, 1000, 1, True, True, True, False, True, 20_000, 2500, 150_000)
LIMITS = ServiceLimits(200, 20_000, 0.5, 20_000, 4.0, 10_000, False, 0, 50)
PRICES = Prices(0.08, 0.0, 0.0, 0.0, 0.0, 0.02, 0.0, 0.1)
CANARY_SETTINGS = CanarySettings([0.08, 0.6, 1.0], [0.096, 0.72, 1.0], 3.0, 3000.0, False, 0, False, False)


class Cast(NamedTuple):
    """A vote as the platform received it."""

    at: float  # virtual seconds since the release began
    stage: int
    word: str
    size: int  # bytes of the call and its answer


class SimulatedRelay:
    """One relay with a simulated host."""

    def __init__(self, release: Release, number: int, relays: int, poll: VotingSettings) -> None:
        self.release, self.number = release, number
        rng = Random(f"{release.seed} relay {number}")
        self.rng = Random(f"{release.seed} hands {number}")
        self._timer: Ticks | None = None
        self._calls = 0
        decisions = Balancer(
            position=RelayPosition(number, relays, "north"),
            request_classes=[REQUEST_CLASS],
            tenants=[Tenant("m", 1e6, 1.0)],
            quota=QUOTA,
            limits=LIMITS,
            canary_limits=CANARY_SETTINGS.to_parameters(),
            voting_rules=poll.to_parameters(),
            prices=PRICES,
            rng=rng,
            now=release.ticks(),
        )
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=release.ticks,
            request_classes=[REQUEST_CLASS],
            limits=LIMITS,
            max_pending=1000,
            max_retry_after=20_000,
        )

    def schedule_timer(self) -> None:
        """Schedules the driver's next timer; called after each event."""
        due = self.driver.next_timer()
        if due is not None and (self._timer is None or due < self._timer):
            self._timer = due
            self.release.at(due / SECOND, self._timer_fired)

    def _timer_fired(self) -> None:
        if self._timer is not None and self._timer <= self.release.ticks():
            self._timer = None
            self.driver.tick()
            self.schedule_timer()

    def send_request(self) -> None:
        """Handles a client's request and schedules the next one."""
        pending = PendingRequest("", None, _nothing)
        self.driver.receive(pending, REQUEST_CLASS, None, None, 14_000)
        self.schedule_timer()
        self.release.later(self.rng.expovariate(REQUEST_RATE), self.send_request)

    def receive_state(
        self, line: RolloutMessage, answer: bool = False, word: AttemptOutcome = AttemptOutcome.SUCCEEDED
    ) -> None:
        """Handles a rollout state, as a notification or as the answer to a vote."""
        self.driver.rollout_read(line, answer, word)
        self.schedule_timer()

    def listed(self, listed: EndpointListMessage) -> None:
        """Handles an endpoint list."""
        self.driver.endpoints_listed(listed, 0)
        self.schedule_timer()

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.release.later(self.rng.uniform(*ANSWER_SECONDS), lambda: self._ended(attempt))

    def _ended(self, attempt: Attempt) -> None:
        self.driver.attempt_ended(attempt, AttemptOutcome.SUCCEEDED)
        self.schedule_timer()

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        for payload in payloads:
            self.release.deliver_gossip(self.number, peer, payload)

    def cast_vote(self, vote: CastVote) -> None:
        self._calls += 1
        there, back = self.rng.uniform(*CALL_SECONDS) / 2, self.rng.uniform(*CALL_SECONDS) / 2
        self.release.later(there, lambda: self.release.cast(self, vote, self._calls, back))

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return True

    def check_health(self, unit: Endpoint) -> None: ...
    def close_idle_connections(self, unit: Endpoint) -> None: ...
    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


def _nothing(
    pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None, answer: Any, back: Ticks
) -> None:
    return


class AcceptedCallsPolling(VoteCounting):
    """Counts only accepted calls towards the limit: the platform's page says how many it accepts."""

    def vote(self, vote: VoteRequest) -> tuple[str, RolloutMessage | None]:
        found = super().vote(vote)
        if found[0] == "overloaded":
            self._calls.pop()
        return found


class Release:
    """A release at a fleet of relays, until some time after its end."""

    def __init__(
        self, relays: int, poll: VotingSettings, seed: int = 37, kind: type[VoteCounting] = VoteCounting
    ) -> None:
        self.now, self.seed, self.began = START_TICKS / SECOND, seed, 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self.casts: list[Cast] = []
        self.changes: list[float] = []  # when the rollout state changed
        self.news = 0  # bytes of the platform's notifications
        self.evaluations, self.evaluation_s, self.seconds = 0, 0.0, 0.0
        self.rng = Random(f"{seed} desk")
        self.platform = kind(CANARY_SETTINGS, poll, self.rng, lambda: self.now, _ignored, self._stage_begun)
        self.platform.changed = self._state_changed  # type: ignore[method-assign]
        self.simulated_relays = [SimulatedRelay(self, number, relays, poll) for number in range(relays)]
        rows = [self._row(number, 1) for number in range(ENDPOINTS)]
        for relay in self.simulated_relays:
            relay.listed(EndpointListMessage("full", 1, 0.0, rows))
            relay.receive_state(RolloutMessage(1, 2, "released", 1.0, 60_000.0))
            self.later(self.rng.expovariate(REQUEST_RATE), relay.send_request)
        self.later(0.05, self._tick_platform)

    def _row(self, number: int, build: int) -> EndpointMessage:
        return EndpointMessage(f"s-{build}-{number:06x}", "127.0.0.1", 9, "north", build, "ready")

    def ticks(self) -> Ticks:
        """The time in ticks."""
        return int(self.now * SECOND + 0.5)

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call at a time."""
        self._order += 1
        heappush(self._heap, (max(self.now, when), self._order, call))

    def later(self, wait: float, call: Callable[[], None]) -> None:
        """Schedules a call after a delay."""
        self.at(self.now + wait, call)

    def _run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until

    def play(self) -> bool:
        """Runs the release; whether the build was promoted."""
        self._run(self.now + WARM_UP_SECONDS)
        self.began = self.now
        evaluate = RolloutPolicy.evaluate

        def timed(rollout: RolloutPolicy, news: RolloutState, roster: EndpointSet, now: Ticks) -> list[Action]:
            began = time.process_time_ns()
            actions = evaluate(rollout, news, roster, now)
            self.evaluation_s += (time.process_time_ns() - began) / 1e9
            self.evaluations += 1
            return actions

        with patch.object(RolloutPolicy, "evaluate", timed):
            self.platform.offer(2)
            while self.platform.phase == "trial" and self.now < self.began + MAX_RELEASE_SECONDS:
                self._run(self.now + 1)
            self.seconds = self.now - self.began
            self._run(self.now + TAIL_SECONDS)
        return self.platform.phase == "released" and self.platform.build == 2

    def _tick_platform(self) -> None:
        self.platform.beat(0.05)
        self.later(0.05, self._tick_platform)

    def _stage_begun(self, build: int, stage: int, phase: str) -> None:
        if phase != "trial":
            return
        rows = [self._row(number, build) for number in range(ceil(CANARY_SETTINGS.shares[stage] * ENDPOINTS))]

        def run() -> None:
            for relay in self.simulated_relays:
                relay.listed(EndpointListMessage("changes", 2 + stage, 0.0, rows))
            self.platform.endpoints_running(build, stage)

        self.later(BOOT_SECONDS, run)

    def _state_changed(self) -> None:
        self.changes.append(self.now - self.began)
        for relay in self.simulated_relays:
            self.later(self.rng.uniform(*STATE_DELAY_SECONDS), lambda relay=relay: self._send_state(relay))  # type: ignore[misc]

    def _send_state(self, relay: SimulatedRelay) -> None:
        line = self.platform.line()
        self.news += len(stage_notification(_state(line)))
        relay.receive_state(line)

    def cast(self, relay: SimulatedRelay, vote: CastVote, number: int, back: float) -> None:
        """Delivers a vote to the platform and schedules its answer."""
        text = encode_call(
            number,
            "Rollout.Judge",
            {
                "build": vote.build,
                "stage": vote.stage,
                "verdict": VERDICT_NAMES[vote.verdict],
            },
        )
        word, line = self.platform.vote(VoteRequest(relay.number, vote.build, vote.stage, VERDICT_WORDS[vote.verdict]))  # type: ignore[arg-type]
        assert line is not None
        size = len(text) + len(vote_response(number, _state(line)))
        self.casts.append(Cast(self.now - self.began, vote.stage, word, size))
        outcome = VOTE_OUTCOMES[word]
        self.later(back, lambda: relay.receive_state(line, True, outcome))

    def deliver_gossip(self, sender: int, peer: int | None, payload: bytes) -> None:
        """Delivers a gossip message to one relay, or to all if `peer` is None."""

        def receive(relay: SimulatedRelay) -> None:
            relay.driver.gossip_received(sender, payload)
            relay.schedule_timer()

        for number in range(len(self.simulated_relays)) if peer is None else [peer]:
            if number != sender:
                self.later(GOSSIP_SECONDS, lambda relay=self.simulated_relays[number]: receive(relay))  # type: ignore[misc]

    def peak_calls(self) -> int:
        """Most calls within one second."""
        times, most, first = [cast.at for cast in self.casts], 0, 0
        for place, at in enumerate(times):
            while times[first] <= at - 1:
                first += 1
            most = max(most, place - first + 1)
        return most

    def outcome_counts(self) -> Counter[str]:
        """Number of votes by outcome."""
        return Counter(cast.word for cast in self.casts)


def _ignored(*args: Any, **more: Any) -> None:
    return


def _state(line: RolloutMessage) -> dict[str, Any]:
    """The rollout state as the platform encodes it; only its length counts."""
    phase = {"trial": "testing", "released": "live", "reverting": "recalling", "withdrawn": "recalled"}
    return {
        "build": 1000 + line.build,
        "stage": line.stage,
        "phase": phase[line.phase],
        "cap": line.cap,
        "age_ms": round(line.age_ms),
    }


def voting_settings(relays: int, count: bool) -> VotingSettings:
    """Rules as the site has them (the first vote decides), or, with `count`, by votes of half of the relays."""
    control = PromotionControl.VOTE_COUNT if count else PromotionControl.FIRST_VOTE
    outcome_counts = {control: word for word, control in PROMOTION_CONTROLS.items()}
    needed, back = (relays // 2 + 1, max(1, relays // 10)) if count else (1, 1)
    return VotingSettings(outcome_counts[control], needed, back, 0, 800.0, 0.0, 800.0, 6000.0, 100.0, 0.35, 6.0, 0.0)
