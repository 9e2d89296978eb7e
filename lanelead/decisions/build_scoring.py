"""The source's score of a build on trial: z against the earlier build x decay x percentile x weight."""

from collections.abc import Iterable, Sequence
from enum import Enum

from lanelead.decisions.counters import Window, Windows, filled, percentile, pooled, shares, tally, tamed, z_score
from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import AttemptOutcome, EndpointStatus, RequestClass, Ticks

FULL = 200  # outcomes in the fullest window that a deviation is taken for


class Fault(Enum):
    BROKEN = 10.0  # errors: what a build does wrong whatever its server's load
    WRONG = 10.1  # answers that a client found wrong
    SLOW = 1.0  # late answers: a build's doing, or a neighbour's, or the load's
    SILENT = 1.01  # time-outs: the same, or a connection's that was dropped unseen
    SHUT = 0.01  # turned away, unreachable, cut: the machine's doing or the load's, hardly ever the build's
    __hash__ = object.__hash__  # they are looked up for every outcome told


FAULTS = dict.fromkeys((AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET), Fault.SHUT)
FAULTS |= {AttemptOutcome.TIMED_OUT: Fault.SILENT, AttemptOutcome.ERROR: Fault.BROKEN}
STRIKES = {
    AttemptOutcome.CONNECT_FAILED: 2.0,
    AttemptOutcome.RESET: 1.0,
    AttemptOutcome.ERROR: 1.0,
    AttemptOutcome.TIMED_OUT: 1.0,
}
HARD, MUTE = (
    (Fault.BROKEN, Fault.WRONG),
    (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET),
)
View = Window[EndpointState, Fault]


class Scoring:
    def __init__(self, span: Ticks, scale: Ticks, fill: int, ripe: Ticks) -> None:
        self._span, self._scale, self._fill, self._ripe = span, scale, fill, ripe
        self.windows, self._before = Windows[EndpointState, Fault](4 * span), dict[RequestClass | None, View]()
        self.stage_start: Ticks = 0
        self._trial, self.seen = 0, 0  # outcomes of the stage at the build on trial

    def begin(self, trial: int, start: Ticks) -> None:
        self._trial, self.stage_start, self.seen = trial, start, 0
        self._before = pooled(w for w in self._earlier(start - 2 * self._span) if w.start < start)

    def record(
        self, server: EndpointState, request_class: RequestClass, faults: dict[Fault, int], now: Ticks, outcomes: int
    ) -> None:
        # Coldness makes a server slow, but never wrong: only slowness goes unscored until it is ripe.
        ripe = now - server.listed >= self._ripe
        scored = {fault: many for fault, many in faults.items() if ripe or fault in HARD}
        self.windows.add(server, request_class, outcomes, scored, now)
        self.seen += outcomes if server.build >= self._trial else 0

    def _earlier(self, start: Ticks) -> Iterable[View]:
        return (w for w in self.windows.since(start) if w.build < self._trial)

    def _score(
        self, faults: int, outcomes: int, fault: Fault, base: View | None, gap: Ticks, among: list[float]
    ) -> float:
        if base is None or not base.outcomes or not outcomes:
            return 0.0
        # One stray fault more than seen, errors apart: a thin baseline makes a few look like many.
        mean = (base.faults.get(fault, 0) + (fault is not Fault.BROKEN)) / (base.outcomes + 1)
        z, decay = z_score(faults, outcomes, mean, FULL), self._scale / (gap + self._scale)
        return z * decay * percentile(faults / outcomes, among) * fault.value if z > 2 else 0.0

    def read(self, servers: Sequence[EndpointState], now: Ticks, span: Ticks = 0) -> tuple[float, float]:
        """The margin of the trial servers' mean score over the earlier ones', and that mean itself."""
        judged = dict.fromkeys(servers, 0.0)
        recent = self.windows.since(now - (span or self._span))
        every = filled((w for w in recent if w.server in judged and w.build == w.server.build), self._fill)
        if not any(block.faults for block in every):
            return 0.0, 0.0
        base, ranks = self._before or pooled(self._earlier(now - 2 * self._span)), shares(every)
        for block in every:
            gap = max(0, now - (block.server.started_at if block.build >= self._trial else self.stage_start))
            for fault, many in block.faults.items():
                of_lane, among = base.get(block.lane), ranks[block.lane, fault]
                judged[block.server] += self._score(many, block.outcomes, fault, of_lane, gap, among)
        new = [score for server, score in judged.items() if server.build == self._trial]
        old = [score for server, score in judged.items() if server.build < self._trial]
        # Guards against a trouble of one machine that carries the mean: none counts for twice the margin.
        mean = sum(min(score, 6.0) for score in new) / max(1, len(new))
        return mean - sum(old) / max(1, len(old)) + self._whole(every, base.get(None), now), mean

    def _whole(self, blocks: list[View], base: View | None, now: Ticks) -> float:
        """The same of the builds as wholes: guards against faults spread too thinly for one server."""
        total, some_old = 0.0, any(block.build < self._trial for block in blocks)
        # With no earlier server left to compare with, slowness is as likely the load's doing.
        for fault in Fault if some_old else HARD:
            counts = tally(blocks, fault)
            parts = sorted(faults / many for faults, many in counts.values())
            for sign, new in ((1, True), (-1, False)):
                side = {server: n for server, n in counts.items() if (server.build == self._trial) is new}
                faults, many = tamed(side, len(side) - len(side) // 4 - (len(side) > 1))
                starts = [server.started_at if new else self.stage_start for server in side] or [now]
                gap = max(0, now - sum(starts) // len(starts))
                total += sign * self._score(faults, many, fault, base, gap, parts)
        return total

    def slowness(self, now: Ticks, build: int = 0) -> tuple[int, int]:
        """Slow answers and outcomes lately from a build on; the worst quarter of servers as the next best."""
        ready = (w for w in self.windows.since(now - self._span) if w.server.status is EndpointStatus.READY)
        ripe = (w for w in ready if not build or w.start >= w.server.listed + self._ripe)  # as scored
        counts = tally((w for w in ripe if w.outcomes and w.build >= build), Fault.SLOW)
        return tamed(counts, len(counts) - len(counts) // 4)
