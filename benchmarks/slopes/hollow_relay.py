"""Simulates the decisions of one relay without sockets: real decisions and driver, an inert host, a virtual clock.

The values of `settings` are close to those of a scenario of the operators' sites; no site's file is read.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Sequence
from heapq import heappop, heappush
from random import Random
from typing import Any

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    SECOND,
    Attempt,
    AttemptOutcome,
    CancelAttempt,
    CastVote,
    CheckHealth,
    Endpoint,
    EndpointRecord,
    EndpointStatus,
    FleetLatency,
    InFlightCount,
    Request,
    RequestClass,
    RolloutPhase,
    RolloutState,
    SetTimer,
    StartAttempt,
    Tenant,
    Ticks,
    UpdateScope,
)
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.parameter_reader import ParameterReader, flatten_pairs
from lanelead.runtime.pending_requests import PendingRequest

UNITS = (26, 150, 780, 7800)
RATE = 183  # requests a second at one relay: the mean at peak load
RELAYS, NUMBER = 600, 300  # all relays, and this one's number: neither a hub nor a watcher
ATTEMPT_DURATION: Ticks = 2_500  # time from sending an attempt to its outcome
ATTEMPTS_PER_ERROR = 100  # one attempt of so many ends in an error
ZONES = ("kif", "mar", "pal", "ath")
ROLLOUT_STATE: dict[str, Any] = {"build": 7, "stage": 3, "phase": "live", "cap": 1.0, "age_ms": 600_000}


def settings(
    relays: int = RELAYS, number: int = NUMBER, probe: float = 0.1, handshake: float = 0.01, tenants: int = 3
) -> dict[str, Any]:
    """The settings of a relay with three request classes, as its configuration file has them.

    `probe` and `handshake` are prices. At a probe price of 0.025 or less a relay of many probes endpoints before it
    chooses one; otherwise it relies on gossip.
    """

    def class_settings(name: str, aim: float, deadline: float, credit: float, repeat: str) -> dict[str, Any]:
        return {
            "name": name,
            "aimMs": aim,
            "deadlineMs": deadline,
            "credit": credit,
            "lateWorth": 0.2,
            "repeat": repeat,
            "group": "all",
            "windowMs": 2000.0,
            "streaming": False,
        }

    return {
        "me": number,
        "instances": relays,
        "zone": ZONES[0],
        "tickMs": 5.0,
        "discovery": "automatic",
        "requestClasses": [
            class_settings("status", 1500.0, 6000.0, 1.0, "read_like"),
            class_settings("search", 800.0, 3000.0, 1.0, "read_like"),
            class_settings("submit", 1200.0, 4000.0, 3.0, "non_idempotent"),
        ],
        "accounts": [
            {
                "name": f"tenant-{place:05d}",
                "quotaPerS": round(1.3 * RATE * relays / tenants, 4),
                "share": round(1 / tenants, 8),
            }
            for place in range(tenants)
        ],
        "allowed": {
            "attemptsCap": 3,
            "openCap": 1000,
            "maxStreams": 100,
            "mayCancel": True,
            "probes": True,
            "peers": True,
            "secondCopies": True,
            "retryAfter": True,
            "maxRetryAfterMs": 2000.0,
            "connectTimeoutMs": 250.0,
            "connIdleMs": 15000.0,
        },
        "contract": {
            "answerSlackMs": 20.0,
            "drainGraceMs": 2000.0,
            "coldFrom": 0.5,
            "coldMs": 3000.0,
            "fallMultiple": 4.0,
            "fallMs": 1000.0,
        },
        "familyInfo": {
            "shares": [0.08, 0.25, 0.6, 1.0],
            "mostShares": [0.096, 0.3, 0.72, 1.0],
            "uncounted": 3.0,
            "countedOverMs": 3000.0,
            "capScope": "all",
            "decidedBy": "first_voice",
            "onVotes": 1,
            "noesNeeded": 1,
            "apiTimeoutMs": 800.0,
            "voteTtlMs": 6000.0,
            "voteAllowance": 200.0,
            "minDwellMs": 1000.0,
            "delayPrice": 0.35,
            "harmPrice": 6.0,
        },
        "prices": {"probe": probe, "peer": 0.01, "waste": 0.03, "lateFail": 0.05, "handshake": handshake},
        "loadReport": {"how": "pull", "names": ["queue", "util"]},
    }


def read_parameters(parameters: dict[str, Any]) -> ParameterReader:
    """Wraps settings in the reader that the relay uses."""
    return ParameterReader([*flatten_pairs(parameters)])


def decisions(
    parameters: ParameterReader, request_classes: Sequence[RequestClass], tenants: Sequence[Tenant], now: Ticks
) -> Balancer:
    """Creates the decisions as the Postgres relay does.

    Request classes and tenants are compared by identity: later calls have to use the objects given here.
    """
    return Balancer(
        position=parameters.position(),
        request_classes=request_classes,
        tenants=tenants,
        quota=parameters.resource_quota(),
        limits=parameters.service_limits(),
        canary_limits=parameters.canary_limits(),
        voting_rules=parameters.voting_rules(),
        prices=parameters.prices(),
        rng=Random(7),
        now=now,
    )


class InertHost:
    """A host for the driver that does nothing."""

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None: ...
    def cancel_attempt(self, attempt: Attempt) -> bool:
        return False

    def check_health(self, unit: Endpoint) -> None: ...
    def close_idle_connections(self, unit: Endpoint) -> None: ...
    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None: ...
    def cast_vote(self, vote: CastVote) -> None: ...
    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...


def driver(parameters: ParameterReader) -> DecisionDriver:
    """Creates a relay's driver with an inert host and a clock that stands still."""
    now: Ticks = 3600 * SECOND
    quota, request_classes = parameters.resource_quota(), parameters.request_classes()
    return DecisionDriver(
        decisions=decisions(parameters, request_classes, parameters.tenants(), now),
        host=InertHost(),
        clock=lambda: now,
        request_classes=request_classes,
        limits=parameters.service_limits(),
        max_pending=quota.max_in_flight,
        max_retry_after=quota.max_retry_after,
    )


class Meter:
    """Adds up the processor time of single calls by name, without the cost of reading the clock."""

    def __init__(self) -> None:
        self.spent: dict[str, float] = {}
        self.calls: dict[str, int] = {}
        for _ in range(2000):
            self._empty = self._began = time.process_time()
            self.stop("clock")
        self._empty, self._clock = 0.0, self.spent.pop("clock") / self.calls.pop("clock")

    def start(self) -> None:
        """Begins to measure a call."""
        self._began = time.process_time()

    def stop(self, name: str) -> None:
        """Ends the measurement and adds it under `name`."""
        spent = time.process_time() - self._began
        self.spent[name] = self.spent.get(name, 0.0) + spent
        self.calls[name] = self.calls.get(name, 0) + 1

    def cpu_us(self, name: str) -> float:
        """Mean processor time of a call since the last `clear`, microseconds."""
        return max(0.0, self.spent[name] / self.calls[name] - self._clock) * 1e6

    def clear(self) -> None:
        """Clears all sums."""
        self.spent, self.calls = {}, {}


class RelaySimulation:
    """One relay's decisions for `units` endpoints and `rate` requests a second; attempts take `ATTEMPT_DURATION`.

    One attempt of `ATTEMPTS_PER_ERROR` ends in an error. Every fourth of its own timer ticks a hub sends the relay the
    in-flight counts of up to 83 endpoints, as gossip does. Health checks are answered within a millisecond.
    """

    def __init__(
        self,
        units: int,
        rate: float = RATE,
        canary_share: float = 0.0,
        probe: float = 0.1,
        meter: Meter | None = None,
    ) -> None:
        self.now: Ticks = 3600 * SECOND
        parameters = read_parameters(settings(probe=probe))
        self.request_classes, self.tenants, self.meter = (
            parameters.request_classes(),
            parameters.tenants(),
            meter or Meter(),
        )
        self.relay = decisions(parameters, self.request_classes, self.tenants, self.now)
        self._request_interval, self._next_request_at, self._heap = (
            SECOND / rate,
            float(self.now),
            list[tuple[Ticks, int, Any]](),
        )
        self._rng, self._number, self._gossiped_at = Random(11), 0, self.now
        self.sent = self.asked = 0
        marks = self._rng.sample(range(65536), units)  # unique short ids
        self.units = [self.relay.new_endpoint(mark) for mark in marks]
        new = round(canary_share * units)
        rows = [
            self.listing(unit, ROLLOUT_STATE["build"] if place >= new else ROLLOUT_STATE["build"] + 1)
            for place, unit in enumerate(self.units)
        ]
        self.relay.endpoints_updated(UpdateScope.CACHED, rows)
        build, phase, stage = ROLLOUT_STATE["build"], RolloutPhase.PROMOTED, ROLLOUT_STATE["stage"]
        if new:
            build, phase, stage = build + 1, RolloutPhase.CANARY, 0
        self.relay.rollout_updated(
            RolloutState(build, stage, phase, 0.096 if new else 1.0, 60 * SECOND, False, AttemptOutcome.SUCCEEDED)
        )
        self._collect_actions()

    def listing(self, unit: Endpoint, build: int, condition: EndpointStatus = EndpointStatus.READY) -> EndpointRecord:
        """The endpoint's row of an endpoint list."""
        zone = ZONES[unit.short_id % len(ZONES)]
        return EndpointRecord(unit, zone, unit.short_id % 60, "std", 1, build, 1.0, condition)

    def run(self, seconds: float, beats: bool = True) -> None:
        """Advances the clock; each call of the decisions is measured under its own name."""
        end, meter, collecting = self.now + int(seconds * SECOND), self.meter, gc.isenabled()
        gc.disable()  # its cost grows with the whole process; the runs with real processes include it
        try:
            while self._next_request_at <= end:
                self._advance_to(int(self._next_request_at))
                request_class, tenant = self._rng.choice(self.request_classes), self._rng.choice(self.tenants)
                request = Request(request_class, tenant, None, self.now, self.now + request_class.timeout)
                self.asked += 1
                meter.start()
                self.relay.request_received(request)
                meter.stop("take")
                self._collect_actions()
                self._next_request_at += self._request_interval
            self._advance_to(end)
        finally:
            if collecting:
                gc.enable()

    def _advance_to(self, when: Ticks) -> None:
        while self._heap and self._heap[0][0] <= when:
            at, _, what = heappop(self._heap)
            self.now = self.relay.now = max(self.now, at)
            self._handle_event(what)
        self.now = self.relay.now = max(self.now, when)

    def _handle_event(self, what: Any) -> None:
        meter = self.meter
        if isinstance(what, Attempt):
            if what.outcome is None:
                good = self._rng.randrange(ATTEMPTS_PER_ERROR) > 0
                outcome = AttemptOutcome.SUCCEEDED if good else AttemptOutcome.ERROR
                meter.start()
                self.relay.attempt_ended(what, outcome, good, self.now - what.sent_at, None)
                meter.stop("outcome")
        elif isinstance(what, Endpoint):
            meter.start()
            self.relay.health_checked(what, AttemptOutcome.SUCCEEDED, 10, {"waiting": 0.0, "rps": 14.0})
            meter.stop("probed")
        elif what is None:
            meter.start()
            self.relay.timer_fired(None)
            meter.stop("beat")
            if self.now >= self._gossiped_at + SECOND * 4 // 5:
                self._gossiped_at = self.now
                words = [InFlightCount(unit, 2) for unit in self._rng.sample(self.units, min(83, len(self.units)))]
                meter.start()
                self.relay.gossip_received(0, [*words, FleetLatency(ATTEMPT_DURATION)])
                meter.stop("told")
        elif not what.finished:
            meter.start()
            self.relay.timer_fired(what)
            meter.stop("woken")
        self._collect_actions()

    def _collect_actions(self) -> None:
        actions, self.relay.actions = self.relay.actions, []
        for action in actions:
            self._number += 1
            match action:
                case StartAttempt(attempt):
                    self.sent += 1
                    heappush(self._heap, (self.now + ATTEMPT_DURATION, self._number, attempt))
                case SetTimer(at, what):
                    heappush(self._heap, (at, self._number, what))
                case CheckHealth(unit):
                    heappush(self._heap, (self.now + 10, self._number, unit))
                case CancelAttempt(attempt):
                    attempt.outcome = AttemptOutcome.CANCELLED
