"""An endpoint in virtual time: its queue, its work, its slow start and its faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    Idempotency,
)
from lanelead.testbed.emulators.service_model import EndpointOptions, ServiceModel
from lanelead.testbed.emulators.workload import Operation

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_relay import SimulatedRelay


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """An attempt as the endpoint sees it. `work` is in seconds; `due` is the time at which it expires."""

    relay: SimulatedRelay
    attempt: Attempt
    op: Operation
    ident: str
    lane: str
    work: float
    bad: bool
    due: float


class SimulatedEndpoint(ServiceModel):
    """One process of an endpoint."""

    def __init__(self, fleet: SimulatedFleet, life: EndpointOptions, place: int) -> None:
        super().__init__(life, fleet.clock)
        self.fleet, self.place = fleet, place
        self.up, self.stopped, self.leaving, self.disturbed = True, False, False, False
        self._waiting: deque[SimulatedAttempt] = deque()
        self._running: dict[SimulatedAttempt, None] = {}
        self._deferred_calls: list[Callable[[], None]] = []  # calls that arrive while the process is stopped
        self.idle: dict[int, int] = {}  # idle open connections, by relay
        self.zone, self.started = life.zone, fleet.clock.now

    def note(self, what: str, **facts: Any) -> None:
        """Records an event of this endpoint."""
        self.fleet.recorder.note(f"unit-{self.life.name}", what, **facts)

    def fell(self, work: float, warmth: float) -> None:
        """Records that the endpoint was overloaded during its slow start and fell over."""
        self.note("fell", work=work, warmth=round(warmth, 4))

    def call_when_running(self, call: Callable[[], None]) -> None:
        """Makes a call now, or once the process resumes."""
        if self.stopped or "deaf" in self._faults:
            self._deferred_calls.append(call)
        elif self.up:
            call()

    def resume(self) -> None:
        """Makes the calls that were deferred while the process was stopped."""
        deferred, self._deferred_calls = self._deferred_calls, []
        for call in deferred:
            self.call_when_running(call)

    def attempt_received(self, job: SimulatedAttempt) -> None:
        """Handles an attempt that arrives, or refuses its connection."""
        if not self.up or "refuse" in self._faults:
            job.relay.reply(self, job, AttemptOutcome.CONNECT_FAILED)
            return
        self.call_when_running(lambda: self._attempt_received(job))

    def _attempt_received(self, job: SimulatedAttempt) -> None:
        if self.fallen:
            return
        warmth = self._slow_start_share()
        self.note(
            "trip",
            id=job.ident,
            op=job.op.ident,
            lane=job.lane,
            relay=job.relay.number,
            key=job.op.ident if job.attempt.request.request_class.idempotency is Idempotency.KEYED else "",
            work=job.work,
            build=self.life.build.number,
            warmth=round(warmth, 4),
        )
        self._check_overload(job, warmth)
        if self.fallen or "mute" in self._faults:
            return
        if len(self._waiting) >= self.life.waiting_room:
            self.note("turned_away", id=job.ident, op=job.op.ident)
            job.relay.reply(self, job, AttemptOutcome.REJECTED)
        elif self._fault_occurs("cut"):
            if self._rng.random() < 0.5:
                self._effect(job)
            job.relay.reply(self, job, AttemptOutcome.RESET)
        elif self._busy < self.life.cores:
            self._begin(job)
        else:
            self._waiting.append(job)

    def _begin(self, job: SimulatedAttempt) -> None:
        if self._clock() > job.due:
            self.note("expired", id=job.ident, op=job.op.ident)
            job.relay.reply(self, job, AttemptOutcome.REJECTED)
            return
        self._busy += 1
        self._running[job] = None
        wait = job.work / max(1e-3, self._current_speed(job))
        self.fleet.clock.later(wait, lambda: self.call_when_running(lambda: self._end(job)))

    def _end(self, job: SimulatedAttempt) -> None:
        if self._running.pop(job, job) is job:
            return  # the process has been killed in the meantime
        self._busy -= 1
        if not self.fallen and "mute" not in self._faults:
            self._answer(job)
        while self._waiting and self._busy < self.life.cores:
            self._begin(self._waiting.popleft())

    def _effect(self, job: SimulatedAttempt) -> None:
        ident = job.op.ident
        key = ident if job.lane in self.life.memory else ""
        if key and not self.fleet.record_key(self, job.lane, key, self.life.memory[job.lane]):
            self.note("repeat", id=job.ident, op=ident, key=key)
            return
        self.note("effect", id=job.ident, op=ident, lane=job.lane, key=key, cell=self.life.cell)

    def _answer(self, job: SimulatedAttempt) -> None:
        if job.bad or self._answers_with_error(job):
            if self._rng.random() < 0.5:
                self._effect(job)
            self.note("erred", id=job.ident, op=job.op.ident)
            job.relay.reply(self, job, AttemptOutcome.ERROR)
            return
        self._effect(job)
        if self._fault_occurs("cut_answer"):
            job.relay.reply(self, job, AttemptOutcome.RESET)
            return
        build = self.life.build
        wrong = build.bad == "wrong" and self._rng.random() < build.strength
        job.relay.reply(self, job, AttemptOutcome.SUCCEEDED, wrong, 0.9 if self._fault_occurs("trickle") else 0.0)

    def report(self) -> dict[str, float]:
        """Return the load report: waiting requests and CPU share; both zero under the fault `false_reports`."""
        if "false_reports" in self._faults:
            return {"waiting": 0.0, "cpu": 0.0}
        return {"waiting": float(len(self._waiting)), "cpu": self._busy / self.life.cores}

    def kill(self) -> None:
        """Ends the process as SIGKILL does: the connections of all its attempts are reset."""
        jobs = [*self._running, *self._waiting]
        self.up, self.stopped, self._busy = False, False, 0
        self._running.clear()
        self._waiting.clear()
        self._deferred_calls.clear()
        self.idle.clear()
        for job in jobs:
            job.relay.reply(self, job, AttemptOutcome.RESET)

    def fault(self, kind: str, size: float) -> None:
        """Starts a fault of a kind and size."""
        self._faults[kind] = {"size": size}

    def mend(self, kind: str) -> None:
        """Ends a fault of a kind."""
        self._faults.pop(kind, None)
        if kind == "deaf":
            self.resume()
