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
from lanelead.testbed.emulators.service_model import Engine, Life
from lanelead.testbed.emulators.workload import Op

if TYPE_CHECKING:
    from lanelead.testbed.simulation.fleet import SimulatedFleet
    from lanelead.testbed.simulation.simulated_relay import SimulatedRelay


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """A trip as its unit has it."""

    host: SimulatedRelay
    trip: Attempt
    op: Op
    ident: str
    lane: str
    work: float
    bad: bool
    due: float


class SimulatedEndpoint(Engine):
    """A unit's process."""

    def __init__(self, town: SimulatedFleet, life: Life, place: int) -> None:
        super().__init__(life, town.clock)
        self.town, self.place = town, place
        self.up, self.stopped, self.leaving, self.hurt = True, False, False, False
        self._waiting: deque[SimulatedAttempt] = deque()
        self._running: dict[SimulatedAttempt, None] = {}
        self._kept: list[Callable[[], None]] = []  # what comes while it stands still
        self.idle: dict[int, int] = {}  # open connections that nobody uses, by relay
        self.zone, self.started = life.zone, town.clock.now

    def note(self, what: str, **facts: Any) -> None:
        self.town.book.note(f"unit-{self.life.name}", what, **facts)

    def fell(self, work: float, warmth: float) -> None:
        self.note("fell", work=work, warmth=round(warmth, 4))

    def whenever(self, call: Callable[[], None]) -> None:
        """Does it now, or once the process goes on."""
        if self.stopped or "deaf" in self._faults:
            self._kept.append(call)
        elif self.up:
            call()

    def go_on(self) -> None:
        kept, self._kept = self._kept, []
        for call in kept:
            self.whenever(call)

    def heard(self, job: SimulatedAttempt) -> None:
        if not self.up or "refuse" in self._faults:
            job.host.reply(self, job, AttemptOutcome.CONNECT_FAILED)
            return
        self.whenever(lambda: self._heard(job))

    def _heard(self, job: SimulatedAttempt) -> None:
        if self.fallen:
            return
        warmth = self._warmth()
        self.note(
            "trip",
            id=job.ident,
            op=job.op.ident,
            lane=job.lane,
            relay=job.host.number,
            key=job.op.ident if job.trip.request.request_class.idempotency is Idempotency.KEYED else "",
            work=job.work,
            build=self.life.build.number,
            warmth=round(warmth, 4),
        )
        self._weigh(job, warmth)
        if self.fallen or "mute" in self._faults:
            return
        if len(self._waiting) >= self.life.waiting_room:
            self.note("turned_away", id=job.ident, op=job.op.ident)
            job.host.reply(self, job, AttemptOutcome.REJECTED)
        elif self._hit("cut"):
            if self._rng.random() < 0.5:
                self._effect(job)
            job.host.reply(self, job, AttemptOutcome.RESET)
        elif self._busy < self.life.cores:
            self._begin(job)
        else:
            self._waiting.append(job)

    def _begin(self, job: SimulatedAttempt) -> None:
        if self._clock() > job.due:
            self.note("expired", id=job.ident, op=job.op.ident)
            job.host.reply(self, job, AttemptOutcome.REJECTED)
            return
        self._busy += 1
        self._running[job] = None
        wait = job.work / max(1e-3, self._pace(job))
        self.town.clock.later(wait, lambda: self.whenever(lambda: self._end(job)))

    def _end(self, job: SimulatedAttempt) -> None:
        if self._running.pop(job, job) is job:
            return  # the process that had it has been killed
        self._busy -= 1
        if not self.fallen and "mute" not in self._faults:
            self._answer(job)
        while self._waiting and self._busy < self.life.cores:
            self._begin(self._waiting.popleft())

    def _effect(self, job: SimulatedAttempt) -> None:
        ident = job.op.ident
        key = ident if job.lane in self.life.memory else ""
        if key and not self.town.receipt(self, job.lane, key, self.life.memory[job.lane]):
            self.note("repeat", id=job.ident, op=ident, key=key)
            return
        self.note("effect", id=job.ident, op=ident, lane=job.lane, key=key, cell=self.life.cell)

    def _answer(self, job: SimulatedAttempt) -> None:
        if job.bad or self._errs(job):
            if self._rng.random() < 0.5:
                self._effect(job)
            self.note("erred", id=job.ident, op=job.op.ident)
            job.host.reply(self, job, AttemptOutcome.ERROR)
            return
        self._effect(job)
        if self._hit("cut_answer"):
            job.host.reply(self, job, AttemptOutcome.RESET)
            return
        build = self.life.build
        wrong = build.bad == "wrong" and self._rng.random() < build.strength
        job.host.reply(self, job, AttemptOutcome.SUCCEEDED, wrong, 0.9 if self._hit("trickle") else 0.0)

    def report(self) -> dict[str, float]:
        if "false_reports" in self._faults:
            return {"waiting": 0.0, "cpu": 0.0}
        return {"waiting": float(len(self._waiting)), "cpu": self._busy / self.life.cores}

    def die(self) -> None:
        """SIGKILL: what it held is cut."""
        jobs = [*self._running, *self._waiting]
        self.up, self.stopped, self._busy = False, False, 0
        self._running.clear()
        self._waiting.clear()
        self._kept.clear()
        self.idle.clear()
        for job in jobs:
            job.host.reply(self, job, AttemptOutcome.RESET)

    def fault(self, kind: str, size: float) -> None:
        self._faults[kind] = {"size": size}

    def mend(self, kind: str) -> None:
        self._faults.pop(kind, None)
        if kind == "deaf":
            self.go_on()
