"""A release at many relays in virtual time: who votes when, what the desk gets, and what looking costs.

Each relay is the driver and the decisions that `run` uses, before the stand-in desk's own rules
(lanelead/testbed/emulators/vote_counting.py); sockets, units and clients are hollow. One seed gives one result, but for
processor time.
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
from lanelead.testbed.emulators.vote_counting import Polling
from tests.postgres_platform import stage_notification, vote_response

UNITS = 26  # of the earlier build
ASKS = 8.0  # requests a second and relay
TOOK = (0.05, 0.15)  # seconds of an answer, from and to
LETTER = 0.001  # seconds of a letter between relays
TOLD = (0.3, 0.86)  # seconds until a relay hears where the build stands, from and to
CALL = (0.05, 0.2)  # seconds of a call to the desk, there and back
BOOT = 3.0  # seconds from a stage's beginning to its machines being listed
WARM = 4.0  # seconds before the release
AFTER = 8.0  # seconds after it: votes lapse after 6
LONGEST = 40.0  # seconds of a release at the most: three times what a good build takes
EPOCH: Ticks = 36_000_000
LANE = RequestClass("read", 8000, 15_000, 1.0, 0.2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 20_000, False, 0.0)
ALLOWANCE = ResourceQuota(3, 1000, 1, True, True, True, False, True, 20_000, 2500, 150_000)
DUTIES = ServiceLimits(200, 20_000, 0.5, 20_000, 4.0, 10_000, False, 0, 50)
TARIFF = Prices(0.08, 0.0, 0.0, 0.0, 0.0, 0.02, 0.0, 0.1)
TRIAL = CanarySettings([0.08, 0.6, 1.0], [0.096, 0.72, 1.0], 3.0, 3000.0, False, 0, False, False)


class Cast(NamedTuple):
    """A vote as the desk got it."""

    at: float  # virtual seconds since the release began
    stage: int
    word: str
    size: int  # bytes of the call and its answer


class Seat:
    """One relay, with hands that are hollow."""

    def __init__(self, town: Release, number: int, relays: int, poll: VotingSettings) -> None:
        self.town, self.number = town, number
        rng = Random(f"{town.seed} relay {number}")
        self.chance = Random(f"{town.seed} hands {number}")
        self._timer: Ticks | None = None
        self._calls = 0
        decisions = Balancer(
            position=RelayPosition(number, relays, "north"),
            request_classes=[LANE],
            tenants=[Tenant("m", 1e6, 1.0)],
            quota=ALLOWANCE,
            limits=DUTIES,
            canary_limits=TRIAL.to_parameters(),
            voting_rules=poll.to_parameters(),
            prices=TARIFF,
            rng=rng,
            now=town.ticks(),
        )
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=town.ticks,
            request_classes=[LANE],
            limits=DUTIES,
            max_pending=1000,
            max_retry_after=20_000,
        )

    def after(self) -> None:
        due = self.driver.next_timer()
        if due is not None and (self._timer is None or due < self._timer):
            self._timer = due
            self.town.at(due / SECOND, self._fire)

    def _fire(self) -> None:
        if self._timer is not None and self._timer <= self.town.ticks():
            self._timer = None
            self.driver.tick()
            self.after()

    def ask(self) -> None:
        """A client's request, and the next one after a while."""
        pending = PendingRequest("", None, _nothing)
        self.driver.receive(pending, LANE, None, None, 14_000)
        self.after()
        self.town.later(self.chance.expovariate(ASKS), self.ask)

    def hear(self, line: RolloutMessage, answer: bool = False, word: AttemptOutcome = AttemptOutcome.SUCCEEDED) -> None:
        self.driver.rollout_read(line, answer, word)
        self.after()

    def listed(self, listed: EndpointListMessage) -> None:
        self.driver.endpoints_listed(listed, 0)
        self.after()

    # Hands

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.town.later(self.chance.uniform(*TOOK), lambda: self._ended(attempt))

    def _ended(self, attempt: Attempt) -> None:
        self.driver.attempt_ended(attempt, AttemptOutcome.SUCCEEDED)
        self.after()

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        for payload in payloads:
            self.town.letter(self.number, peer, payload)

    def cast_vote(self, vote: CastVote) -> None:
        self._calls += 1
        there, back = self.chance.uniform(*CALL) / 2, self.chance.uniform(*CALL) / 2
        self.town.later(there, lambda: self.town.cast(self, vote, self._calls, back))

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


class Bucket(Polling):
    """Counts only the calls that it takes: the bench's page says how many it takes, not how many come."""

    def vote(self, vote: VoteRequest) -> tuple[str, RolloutMessage | None]:
        found = super().vote(vote)
        if found[0] == "overloaded":
            self._calls.pop()
        return found


class Release:
    """One release at a fleet of relays, from its first word to a while after its last."""

    def __init__(self, relays: int, poll: VotingSettings, seed: int = 37, kind: type[Polling] = Polling) -> None:
        self.now, self.seed, self.began = EPOCH / SECOND, seed, 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self.casts: list[Cast] = []
        self.changes: list[float] = []  # when the build came to stand elsewhere
        self.news = 0  # bytes of what the desk told without being asked
        self.looks, self.look_s, self.seconds = 0, 0.0, 0.0
        self.chance = Random(f"{seed} desk")
        self.desk = kind(TRIAL, poll, self.chance, lambda: self.now, _ignored, self._moved)
        self.desk.changed = self._changed  # type: ignore[method-assign]
        self.seats = [Seat(self, number, relays, poll) for number in range(relays)]
        rows = [self._row(number, 1) for number in range(UNITS)]
        for seat in self.seats:
            seat.listed(EndpointListMessage("full", 1, 0.0, rows))
            seat.hear(RolloutMessage(1, 2, "released", 1.0, 60_000.0))
            self.later(self.chance.expovariate(ASKS), seat.ask)
        self.later(0.05, self._beat)

    def _row(self, number: int, build: int) -> EndpointMessage:
        return EndpointMessage(f"s-{build}-{number:06x}", "127.0.0.1", 9, "north", build, "ready")

    # Time

    def ticks(self) -> Ticks:
        return int(self.now * SECOND + 0.5)

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._order += 1
        heappush(self._heap, (max(self.now, when), self._order, call))

    def later(self, wait: float, call: Callable[[], None]) -> None:
        self.at(self.now + wait, call)

    def _run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until

    def play(self) -> bool:
        """Says whether the build was released."""
        self._run(self.now + WARM)
        self.began = self.now
        look = RolloutPolicy.evaluate

        def timed(rollout: RolloutPolicy, news: RolloutState, roster: EndpointSet, now: Ticks) -> list[Action]:
            began = time.process_time_ns()
            actions = look(rollout, news, roster, now)
            self.look_s += (time.process_time_ns() - began) / 1e9
            self.looks += 1
            return actions

        with patch.object(RolloutPolicy, "evaluate", timed):
            self.desk.offer(2)
            while self.desk.phase == "trial" and self.now < self.began + LONGEST:
                self._run(self.now + 1)
            self.seconds = self.now - self.began
            self._run(self.now + AFTER)
        return self.desk.phase == "released" and self.desk.build == 2

    # The desk

    def _beat(self) -> None:
        self.desk.beat(0.05)
        self.later(0.05, self._beat)

    def _moved(self, build: int, stage: int, phase: str) -> None:
        if phase != "trial":
            return
        rows = [self._row(number, build) for number in range(ceil(TRIAL.shares[stage] * UNITS))]

        def run() -> None:
            for seat in self.seats:
                seat.listed(EndpointListMessage("changes", 2 + stage, 0.0, rows))
            self.desk.machines_run(build, stage)

        self.later(BOOT, run)

    def _changed(self) -> None:
        self.changes.append(self.now - self.began)
        for seat in self.seats:
            self.later(self.chance.uniform(*TOLD), lambda seat=seat: self._tell(seat))  # type: ignore[misc]

    def _tell(self, seat: Seat) -> None:
        line = self.desk.line()
        self.news += len(stage_notification(_state(line)))
        seat.hear(line)

    def cast(self, seat: Seat, vote: CastVote, number: int, back: float) -> None:
        text = encode_call(
            number,
            "Rollout.Judge",
            {
                "build": vote.build,
                "stage": vote.stage,
                "verdict": VERDICT_NAMES[vote.verdict],
            },
        )
        word, line = self.desk.vote(VoteRequest(seat.number, vote.build, vote.stage, VERDICT_WORDS[vote.verdict]))  # type: ignore[arg-type]
        assert line is not None
        size = len(text) + len(vote_response(number, _state(line)))
        self.casts.append(Cast(self.now - self.began, vote.stage, word, size))
        outcome = VOTE_OUTCOMES[word]
        self.later(back, lambda: seat.hear(line, True, outcome))

    def letter(self, sender: int, peer: int | None, payload: bytes) -> None:
        def come(seat: Seat) -> None:
            seat.driver.gossip_received(sender, payload)
            seat.after()

        for number in range(len(self.seats)) if peer is None else [peer]:
            if number != sender:
                self.later(LETTER, lambda seat=self.seats[number]: come(seat))  # type: ignore[misc]

    # What came of it

    def worst(self) -> int:
        """Calls in the worst second."""
        times, most, first = [cast.at for cast in self.casts], 0, 0
        for place, at in enumerate(times):
            while times[first] <= at - 1:
                first += 1
            most = max(most, place - first + 1)
        return most

    def words(self) -> Counter[str]:
        return Counter(cast.word for cast in self.casts)


def _ignored(*args: Any, **more: Any) -> None:
    return


def _state(line: RolloutMessage) -> dict[str, Any]:
    """As the platform says it: for its length."""
    phase = {"trial": "testing", "released": "live", "reverting": "recalling", "withdrawn": "recalled"}
    return {
        "build": 1000 + line.build,
        "stage": line.stage,
        "phase": phase[line.phase],
        "cap": line.cap,
        "age_ms": round(line.age_ms),
    }


def poll_of(relays: int, count: bool) -> VotingSettings:
    """As the site sets it (the first voice decides), or by the count of half of all relays."""
    control = PromotionControl.VOTE_COUNT if count else PromotionControl.FIRST_VOTE
    words = {control: word for word, control in PROMOTION_CONTROLS.items()}
    needed, back = (relays // 2 + 1, max(1, relays // 10)) if count else (1, 1)
    return VotingSettings(words[control], needed, back, 0, 800.0, 0.0, 800.0, 6000.0, 100.0, 0.35, 6.0, 0.0)
