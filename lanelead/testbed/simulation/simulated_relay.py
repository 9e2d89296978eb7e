"""A relay in virtual time: the driver and its host, on the simulation's clock."""

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
from lanelead.testbed.simulation.clock import stream
from lanelead.testbed.simulation.simulated_endpoint import SimulatedAttempt, SimulatedEndpoint

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_clients import ClientTry

RESPONSE = HttpResponse(200, [], b"", True)


class SimulatedRelay:
    """One relay's process: the driver, and the hands that it asks."""

    def __init__(self, town: SimulatedFleet, number: int, make: Callable[..., Decisions]) -> None:
        self.town, self.number = town, number
        day = town.day
        service = day.service
        self.zone = day.units.zones[number % len(day.units.zones)]
        self.up, self.frozen = True, False
        self._kept: list[Callable[[], None]] = []
        self._armed: Ticks | None = None
        self.out: dict[Attempt, bool] = {}  # trips under way, and whether a byte was written
        self.asked: dict[ClientTry, None] = {}
        self.lanes = [request_class.to_parameters() for request_class in service.lanes]
        self.by_lane = {request_class.name: request_class for request_class in self.lanes}
        self.members = {row.name: Tenant(row.name, row.quota, row.share) for row in service.members}
        limits = service.duties.to_parameters(False)
        preference = NO_ZONE_PREFERENCE
        if day.spill is not None:
            others = tuple(zone for zone in day.units.zones if zone != self.zone)
            tiers = ((self.zone,), *([others] if others else []))
            preference = ZonePreference(tiers, day.spill.most, day.spill.grow, day.spill.shrink)
        decisions = make(
            position=RelayPosition(number, day.relays, self.zone),
            request_classes=self.lanes,
            tenants=list(self.members.values()),
            quota=service.allowance.to_parameters(True),
            limits=limits,
            canary_limits=service.trial.to_parameters(),
            voting_rules=service.poll.to_parameters(),
            prices=NO_PRICES,
            rng=stream(town.seed, f"relay {number} {town.clock.now}"),
            now=self.clock(),
            preference=preference,
        )
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=self.clock,
            request_classes=self.lanes,
            limits=limits,
            max_pending=service.allowance.open_lookups,
            max_retry_after=ticks(service.allowance.longest_advice_ms),
        )

    def clock(self) -> Ticks:
        return int(self.town.clock.now * 10_000)

    def whenever(self, call: Callable[[], None]) -> None:
        """Does it now, or once the process goes on; what comes to a dead one is lost."""
        if not self.up:
            return
        if self.frozen:
            self._kept.append(call)
            return
        call()
        due = self.driver.next_timer()
        if due is not None and (self._armed is None or due < self._armed):
            self._armed = due
            # Timers of the loop on sockets fire a moment late too.
            self.town.clock.later(due / 10_000 - self.town.clock.now + 5e-4, self._tick, due)

    def _tick(self, due: Ticks) -> None:
        if self._armed == due:
            self._armed = None
            self.whenever(self.driver.tick)

    def go_on(self) -> None:
        self.frozen = False
        kept, self._kept = self._kept, []
        for call in kept:
            self.whenever(call)

    # Hands

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.out[attempt] = False
        self.town.clock.later(0.0, self._write, attempt, pending)

    def _write(self, attempt: Attempt, pending: PendingRequest) -> None:
        machine = self.town.by_unit(self, attempt.endpoint)
        hop = self.town.hop(self, machine)
        if machine.idle.get(self.number, 0) > 0:
            machine.idle[self.number] -= 1
            self._go(attempt, pending, machine)
        elif not machine.up or "refuse" in machine._faults:
            self.town.clock.later(
                2 * hop, lambda: self.whenever(lambda: self._ended(attempt, AttemptOutcome.CONNECT_FAILED))
            )
        elif machine.stopped:  # the kernel takes the connection, though nobody reads
            self._go(attempt, pending, machine)
        else:
            self.town.clock.later(2 * hop, self._go, attempt, pending, machine)

    def _go(self, attempt: Attempt, pending: PendingRequest, machine: SimulatedEndpoint) -> None:
        if attempt.outcome is not None or not self.up:
            return
        if self.driver.destination_of(attempt) is None:
            self.whenever(lambda: self._ended(attempt, AttemptOutcome.NOT_SENT))
            return
        self.out[attempt] = True
        hop, op = self.town.hop(self, machine), self.town.ops[pending.id]
        due = (attempt.sent_at + attempt.timeout) / 10_000
        job = SimulatedAttempt(self, attempt, op, pending.id, op.lane, op.work, pending.id in self.town.bad, due)
        self.town.clock.later(hop, machine.heard, job)

    def reply(
        self,
        machine: SimulatedEndpoint,
        job: SimulatedAttempt,
        outcome: AttemptOutcome,
        wrong: bool = False,
        slow: float = 0.0,
    ) -> None:
        """The unit's end of a trip, on its way back."""
        report = (
            machine.report()
            if outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.ERROR, AttemptOutcome.REJECTED)
            else None
        )

        def come() -> None:
            if report is not None:
                machine.idle[self.number] = machine.idle.get(self.number, 0) + 1
            if wrong:
                self.town.wrong[job.ident] = machine.life.name
            self._ended(job.trip, outcome, report)

        self.town.clock.later(slow + self.town.hop(self, machine), lambda: self.whenever(come))

    def _ended(self, attempt: Attempt, outcome: AttemptOutcome, report: dict[str, float] | None = None) -> None:
        if self.out.pop(attempt, None) is not None:
            self.driver.attempt_ended(attempt, outcome, RESPONSE, report)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.out.pop(attempt, False)

    def check_health(self, unit: Endpoint) -> None:
        machine, began = self.town.by_unit(self, unit), self.clock()

        def heard() -> None:
            if machine.up and "refuse" not in machine._faults:
                machine.whenever(answer)
            else:
                back(AttemptOutcome.CONNECT_FAILED, None)

        def answer() -> None:
            if not machine.fallen and "mute" not in machine._faults:
                back(AttemptOutcome.SUCCEEDED, machine.report())

        def back(outcome: AttemptOutcome, report: dict[str, float] | None) -> None:
            def come() -> None:
                self.driver.health_checked(unit, outcome, self.clock() - began, report)

            self.town.clock.later(self.town.hop(self, machine), lambda: self.whenever(come))

        self.town.clock.later(self.town.hop(self, machine), heard)

    def close_idle_connections(self, unit: Endpoint) -> None:
        self.town.by_unit(self, unit).idle.pop(self.number, None)

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        for payload in payloads:
            self.town.post(self, peer, payload)

    def cast_vote(self, vote: CastVote) -> None:
        self.town.clock.later(self.town.hop_mean, self.town.voted, self, vote)

    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...
