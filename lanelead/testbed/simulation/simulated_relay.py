"""A relay in virtual time: the production driver, with the simulation in place of sockets and the event loop."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    CastVote,
    Decisions,
    Endpoint,
    RelayPosition,
    Tenant,
    Ticks,
    ZonePreference,
)
from lanelead.decisions.zone_spillover import NO_ZONE_PREFERENCE
from lanelead.http.responses import HttpResponse
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest
from lanelead.settings.relay_settings import NO_PRICES
from lanelead.settings.service_settings import ticks
from lanelead.testbed.simulation.clock import random_stream
from lanelead.testbed.simulation.simulated_endpoint import SimulatedAttempt, SimulatedEndpoint

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_clients import ClientTry

RESPONSE = HttpResponse(200, [], b"", True)


class SimulatedRelay:
    """One relay's process: the driver and the host interface that the driver calls.

    The methods from `start_attempt` on implement the host interface.
    """

    def __init__(self, fleet: SimulatedFleet, number: int, make: Callable[..., Decisions]) -> None:
        self.fleet, self.number = fleet, number
        day = fleet.day
        service = day.service
        self.zone = day.units.zones[number % len(day.units.zones)]
        self.up, self.frozen = True, False
        self._deferred_calls: list[Callable[[], None]] = []
        self._armed_timer: Ticks | None = None
        self.attempts_out: dict[Attempt, bool] = {}  # attempts in flight, and whether a byte has been written
        self.client_tries: dict[ClientTry, None] = {}
        self.request_classes = [request_class.to_parameters() for request_class in service.lanes]
        self.request_class_by_name = {request_class.name: request_class for request_class in self.request_classes}
        self.tenants = {row.name: Tenant(row.name, row.quota, row.share) for row in service.members}
        limits = service.duties.to_parameters(False)
        preference = NO_ZONE_PREFERENCE
        if day.spill is not None:
            others = tuple(zone for zone in day.units.zones if zone != self.zone)
            tiers = ((self.zone,), *([others] if others else []))
            preference = ZonePreference(tiers, day.spill.most, day.spill.grow, day.spill.shrink)
        decisions = make(
            position=RelayPosition(number, day.relays, self.zone),
            request_classes=self.request_classes,
            tenants=list(self.tenants.values()),
            quota=service.allowance.to_parameters(True),
            limits=limits,
            canary_limits=service.trial.to_parameters(),
            voting_rules=service.poll.to_parameters(),
            prices=NO_PRICES,
            rng=random_stream(fleet.seed, f"relay {number} {fleet.clock.now}"),
            now=self.clock(),
            preference=preference,
        )
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=self.clock,
            request_classes=self.request_classes,
            limits=limits,
            max_pending=service.allowance.open_lookups,
            max_retry_after=ticks(service.allowance.longest_advice_ms),
        )

    def clock(self) -> Ticks:
        """Return the time in ticks."""
        return int(self.fleet.clock.now * 10_000)

    def call_when_running(self, call: Callable[[], None]) -> None:
        """Makes a call now, or once the process resumes, and arms the driver's next timer.

        Calls to a relay that has been killed are lost.
        """
        if not self.up:
            return
        if self.frozen:
            self._deferred_calls.append(call)
            return
        call()
        due = self.driver.next_timer()
        if due is not None and (self._armed_timer is None or due < self._armed_timer):
            self._armed_timer = due
            # An event loop's timers also fire slightly late.
            self.fleet.clock.later(due / 10_000 - self.fleet.clock.now + 5e-4, self._timer_fired, due)

    def _timer_fired(self, due: Ticks) -> None:
        if self._armed_timer == due:
            self._armed_timer = None
            self.call_when_running(self.driver.tick)

    def resume(self) -> None:
        """Continues a stopped process: makes the calls that were deferred."""
        self.frozen = False
        deferred, self._deferred_calls = self._deferred_calls, []
        for call in deferred:
            self.call_when_running(call)

    # Host interface of the driver

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        """Sends an attempt, over an idle connection where there is one."""
        self.attempts_out[attempt] = False
        self.fleet.clock.later(0.0, self._write, attempt, pending)

    def _write(self, attempt: Attempt, pending: PendingRequest) -> None:
        endpoint = self.fleet.endpoint_by_id(self, attempt.endpoint)
        hop = self.fleet.hop_delay(self, endpoint)
        if endpoint.idle.get(self.number, 0) > 0:
            endpoint.idle[self.number] -= 1
            self._send(attempt, pending, endpoint)
        elif not endpoint.up or "refuse" in endpoint._faults:
            self.fleet.clock.later(
                2 * hop, lambda: self.call_when_running(lambda: self._ended(attempt, AttemptOutcome.CONNECT_FAILED))
            )
        elif endpoint.stopped:  # the kernel accepts the connection although the process does not read
            self._send(attempt, pending, endpoint)
        else:
            self.fleet.clock.later(2 * hop, self._send, attempt, pending, endpoint)

    def _send(self, attempt: Attempt, pending: PendingRequest, endpoint: SimulatedEndpoint) -> None:
        if attempt.outcome is not None or not self.up:
            return
        if self.driver.destination_of(attempt) is None:
            self.call_when_running(lambda: self._ended(attempt, AttemptOutcome.NOT_SENT))
            return
        self.attempts_out[attempt] = True
        hop, op = self.fleet.hop_delay(self, endpoint), self.fleet.ops[pending.id]
        due = (attempt.sent_at + attempt.timeout) / 10_000
        job = SimulatedAttempt(
            self, attempt, op, pending.id, op.lane, op.work, pending.id in self.fleet.bad_requests, due
        )
        self.fleet.clock.later(hop, endpoint.attempt_received, job)

    def reply(
        self,
        endpoint: SimulatedEndpoint,
        job: SimulatedAttempt,
        outcome: AttemptOutcome,
        wrong: bool = False,
        slow: float = 0.0,
    ) -> None:
        """Sends an attempt's outcome from the endpoint back to the relay.

        `wrong` marks a response with wrong content; `slow` is an additional delay in seconds.
        """
        report = (
            endpoint.report()
            if outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
            else None
        )

        def deliver() -> None:
            if report is not None:
                endpoint.idle[self.number] = endpoint.idle.get(self.number, 0) + 1
            if wrong:
                self.fleet.wrong_responses[job.ident] = endpoint.life.name
            self._ended(job.attempt, outcome, report)

        self.fleet.clock.later(slow + self.fleet.hop_delay(self, endpoint), lambda: self.call_when_running(deliver))

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, report: dict[str, float] | None = None) -> None:
        if self.attempts_out.pop(attempt, None) is not None:
            self.driver.attempt_ended(attempt, outcome, RESPONSE, report)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        """Cancels an attempt; true where its request may already have been written."""
        return self.attempts_out.pop(attempt, False)

    def check_health(self, endpoint_id: Endpoint) -> None:
        """Checks an endpoint's health, and gives the driver the outcome and the load report."""
        endpoint, started_at = self.fleet.endpoint_by_id(self, endpoint_id), self.clock()

        def check_received() -> None:
            if endpoint.up and "refuse" not in endpoint._faults:
                endpoint.call_when_running(respond)
            else:
                send_result(AttemptOutcome.CONNECT_FAILED, None)

        def respond() -> None:
            if not endpoint.fallen and "mute" not in endpoint._faults:
                send_result(AttemptOutcome.SUCCEEDED, endpoint.report())

        def send_result(outcome: AttemptOutcome, report: dict[str, float] | None) -> None:
            def deliver() -> None:
                self.driver.health_checked(endpoint_id, outcome, self.clock() - started_at, report)

            self.fleet.clock.later(self.fleet.hop_delay(self, endpoint), lambda: self.call_when_running(deliver))

        self.fleet.clock.later(self.fleet.hop_delay(self, endpoint), check_received)

    def close_idle_connections(self, endpoint_id: Endpoint) -> None:
        """Closes the relay's idle connections to an endpoint."""
        self.fleet.endpoint_by_id(self, endpoint_id).idle.pop(self.number, None)

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """Sends gossip datagrams to one relay, or to all others where `peer` is None."""
        for payload in payloads:
            self.fleet.send_datagram(self, peer, payload)

    def cast_vote(self, vote: CastVote) -> None:
        """Sends a vote to the rollout platform."""
        self.fleet.clock.later(self.fleet.hop_mean, self.fleet.cast_vote, self, vote)

    # The simulated fleet sends endpoint lists by itself, and the relay's log is discarded.
    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...
