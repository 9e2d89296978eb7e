"""Scores a canary build by its faults, compared with the earlier builds' faults.

The score of a kind of fault is z score x decay x percentile rank x weight, as in the paper "Aegis"; docs/design.md
cites the paper and lists the differences.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from lanelead.decisions.endpoint_state import EndpointState
from lanelead.decisions.interface import AttemptOutcome, EndpointStatus, RequestClass, Ticks
from lanelead.decisions.outcome_windows import (
    OutcomeHistory,
    OutcomeWindow,
    count_faults,
    fault_shares,
    merge_to_minimum,
    percentile_rank,
    pool_by_class,
    winsorized_totals,
    z_score,
)

FULL_WINDOW_OUTCOMES = 200  # the most outcomes that a standard deviation is computed for
MIN_Z_SCORE = 2  # up to this value a deviation is not an anomaly
MAX_ENDPOINT_SCORE = 6.0  # twice the margin for a rollback (`ROLLBACK_MARGIN`)


class Fault(Enum):
    """Kinds of fault; the value is the weight in the score, higher where the build is more likely the cause.

    The values must differ, since members with equal values would be aliases.
    """

    ERROR = 10.0  # an error response, which an endpoint's load does not cause
    WRONG_ANSWER = 10.1  # a wrong answer, as reported by a client
    LATE = 1.0  # over the latency objective, caused by the build, a noisy neighbour or load
    TIMED_OUT = 1.01  # as for `LATE`, or a connection that was dropped without notice
    UNAVAILABLE = 0.01  # rejected, unreachable or reset, hardly ever caused by the build
    __hash__ = object.__hash__  # faster than Enum's own; faults are looked up for every outcome


FAULT_OF_OUTCOME = {
    AttemptOutcome.REJECTED: Fault.UNAVAILABLE,
    AttemptOutcome.CONNECT_FAILED: Fault.UNAVAILABLE,
    AttemptOutcome.RESET: Fault.UNAVAILABLE,
    AttemptOutcome.TIMED_OUT: Fault.TIMED_OUT,
    AttemptOutcome.ERROR: Fault.ERROR,
}
FAILURE_WEIGHTS = {  # how much an outcome counts towards the ejection of its endpoint
    AttemptOutcome.CONNECT_FAILED: 2.0,
    AttemptOutcome.RESET: 1.0,
    AttemptOutcome.ERROR: 1.0,
    AttemptOutcome.TIMED_OUT: 1.0,
}
BUILD_FAULTS = (Fault.ERROR, Fault.WRONG_ANSWER)  # faults that load does not cause
NO_RESPONSE = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET)
EndpointWindow: TypeAlias = OutcomeWindow[EndpointState, Fault]


@dataclass(slots=True, frozen=True)
class CanaryScore:
    """The score of a canary; higher is worse."""

    margin: float  # excess over the earlier builds' score, by endpoint and for the build as a whole
    mean: float  # the mean score of its endpoints


class BuildScoring:
    """Records outcomes by endpoint, and scores the canary against the earlier builds."""

    def __init__(self, *, span: Ticks, decay_time: Ticks, min_outcomes: int, maturity: Ticks) -> None:
        """Create scoring without any outcomes.

        `span` is the time over which outcomes are scored. A score is halved once `decay_time` has passed since the
        change (the start of an endpoint or stage). Windows are merged until they hold `min_outcomes`. Faults that load
        can cause count only once an endpoint has been listed for `maturity`.
        """
        self._span = span
        self._decay_time = decay_time
        self._min_outcomes = min_outcomes
        self._maturity = maturity
        self.history = OutcomeHistory[EndpointState, Fault](4 * span)
        self._baseline = dict[RequestClass | None, EndpointWindow]()
        self._canary = 0  # the canary's build number
        self.stage_start: Ticks = 0
        self.stage_outcomes = 0  # outcomes at the canary in this stage

    def start_stage(self, canary: int, start: Ticks) -> None:
        """Begin a stage of a canary build; the earlier builds' latest outcomes become the baseline."""
        self._canary = canary
        self.stage_start = start
        self.stage_outcomes = 0
        earlier = self._earlier_windows(start - 2 * self._span)
        self._baseline = pool_by_class(window for window in earlier if window.start < start)

    def record(
        self, endpoint: EndpointState, request_class: RequestClass, faults: dict[Fault, int], now: Ticks, outcomes: int
    ) -> None:
        """Count outcomes at an endpoint.

        A newly listed endpoint is still warming up, which makes it slow but causes no errors, so until `maturity` only
        its `BUILD_FAULTS` are scored.
        """
        mature = now - endpoint.listed_at >= self._maturity
        scored = {fault: count for fault, count in faults.items() if mature or fault in BUILD_FAULTS}
        self.history.add(endpoint, request_class, outcomes, scored, now)
        if endpoint.build >= self._canary:
            self.stage_outcomes += outcomes

    def _earlier_windows(self, start: Ticks) -> Iterable[EndpointWindow]:
        return (window for window in self.history.since(start) if window.build < self._canary)

    def _score(
        self,
        faults: int,
        outcomes: int,
        fault: Fault,
        baseline: EndpointWindow | None,
        age: Ticks,
        shares: Sequence[float],
    ) -> float:
        """Return the score of a kind of fault.

        `age` is the time since the change; `shares` are the sorted fault shares among which this one is ranked.
        """
        if baseline is None or not baseline.outcomes or not outcomes:
            return 0.0
        # Except for errors, one fault is added to the baseline: against a small baseline without faults, a few faults
        # would look like a large deviation.
        baseline_faults = baseline.faults.get(fault, 0) + (fault is not Fault.ERROR)
        mean = baseline_faults / (baseline.outcomes + 1)
        z = z_score(faults, outcomes, mean, FULL_WINDOW_OUTCOMES)
        if z <= MIN_Z_SCORE:
            return 0.0
        decay = self._decay_time / (age + self._decay_time)
        return z * decay * percentile_rank(faults / outcomes, shares) * fault.value

    def score(self, endpoints: Sequence[EndpointState], now: Ticks, span: Ticks = 0) -> CanaryScore:
        """Score the canary's endpoints against those of earlier builds, over the last `span` (0 for the default)."""
        scores = dict.fromkeys(endpoints, 0.0)
        recent = self.history.since(now - (span or self._span))
        current = (window for window in recent if window.endpoint in scores and window.build == window.endpoint.build)
        merged = merge_to_minimum(current, self._min_outcomes)
        if not any(window.faults for window in merged):
            return CanaryScore(0.0, 0.0)
        baseline = self._baseline or pool_by_class(self._earlier_windows(now - 2 * self._span))
        shares = fault_shares(merged)
        for window in merged:
            changed_at = window.endpoint.started_at if window.build >= self._canary else self.stage_start
            age = max(0, now - changed_at)
            class_baseline = baseline.get(window.request_class)
            for fault, count in window.faults.items():
                class_shares = shares[window.request_class, fault]
                scores[window.endpoint] += self._score(count, window.outcomes, fault, class_baseline, age, class_shares)
        canary = [score for endpoint, score in scores.items() if endpoint.build == self._canary]
        earlier = [score for endpoint, score in scores.items() if endpoint.build < self._canary]
        # Scores are capped so that one degraded endpoint does not dominate the mean.
        mean = sum(min(score, MAX_ENDPOINT_SCORE) for score in canary) / max(1, len(canary))
        margin = mean - sum(earlier) / max(1, len(earlier)) + self._score_as_whole(merged, baseline.get(None), now)
        return CanaryScore(margin, mean)

    def _score_as_whole(self, windows: list[EndpointWindow], baseline: EndpointWindow | None, now: Ticks) -> float:
        """Return the margin between the canary as a whole and the earlier builds as a whole.

        It shows faults that are too few at each single endpoint. Without any endpoint of an earlier build to compare
        with, lateness may as well be caused by load, so only `BUILD_FAULTS` are scored.
        """
        total = 0.0
        has_earlier = any(window.build < self._canary for window in windows)
        for fault in Fault if has_earlier else BUILD_FAULTS:
            counts = count_faults(windows, fault)
            shares = sorted(faults / outcomes for faults, outcomes in counts.values())
            for sign, is_canary in ((1, True), (-1, False)):
                side = {
                    endpoint: count
                    for endpoint, count in counts.items()
                    if (endpoint.build == self._canary) is is_canary
                }
                kept = len(side) - len(side) // 4 - (len(side) > 1)
                faults, outcomes = winsorized_totals(side, kept)
                changes = [endpoint.started_at if is_canary else self.stage_start for endpoint in side] or [now]
                age = max(0, now - sum(changes) // len(changes))
                total += sign * self._score(faults, outcomes, fault, baseline, age, shares)
        return total

    def late_counts(self, now: Ticks, min_build: int = 0) -> tuple[int, int]:
        """Return late outcomes and all outcomes of ready endpoints in the last span, the worst quarter winsorized.

        With `min_build`, only that build and later ones count, and only windows in which the endpoint was mature.
        """
        recent = (
            window for window in self.history.since(now - self._span) if window.endpoint.status is EndpointStatus.READY
        )
        mature = (
            window for window in recent if not min_build or window.start >= window.endpoint.listed_at + self._maturity
        )
        counted = (window for window in mature if window.outcomes and window.build >= min_build)
        counts = count_faults(counted, Fault.LATE)
        return winsorized_totals(counts, len(counts) - len(counts) // 4)
