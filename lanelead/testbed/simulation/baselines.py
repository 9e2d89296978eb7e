"""Other policies to choose an endpoint and to vote on a build, for comparison in simulations only.

Each policy is the production `Balancer` with one part replaced. All guards of the five rules stay in place, so that
policies differ in that part alone. Endpoint choices: random; the less loaded of two random endpoints; the least loaded
of all; round robin; peak EWMA (as in Finagle: the latency estimate rises at once and decays, and is multiplied by the
attempts in flight). Votes: by a fixed time; by a fixed error limit; by Wald's sequential test of the error share, as
canary tools use.
"""

from __future__ import annotations

from math import exp, log
from typing import Any

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.build_scoring import Fault
from lanelead.decisions.endpoint_selection import EndpointPair, Endpoints, EndpointSelector
from lanelead.decisions.endpoint_state import EndpointState, state_of
from lanelead.decisions.interface import (
    SECOND,
    Attempt,
    AttemptOutcome,
    LoadReport,
    Request,
    RolloutPhase,
    RolloutState,
    Ticks,
    Verdict,
    VotingRules,
)
from lanelead.decisions.rollout_votes import CanaryAssessment, VoteCaster


class _RankedSelector(EndpointSelector):
    """A selector whose choice among the endpoints that the guards accept is replaced: `rank` orders them."""

    def select_from(
        self, endpoints: Endpoints, request: Request, now: Ticks, already_checked: Endpoints
    ) -> EndpointPair:
        """Return the first two endpoints of the ranking."""
        candidates = [
            endpoint
            for endpoint in endpoints
            if endpoint not in already_checked
            and endpoint.ejected_until <= now
            and self.guards.accepts(endpoint, request, now)
        ]
        return self.rank(candidates, now)[:2] if candidates else []

    def rank(self, candidates: list[EndpointState], now: Ticks) -> list[EndpointState]:
        """Order the candidates, best first; only the first two are used."""
        raise NotImplementedError


class _RandomSelector(_RankedSelector):
    """Ranks candidates at random."""

    def rank(self, candidates: list[EndpointState], now: Ticks) -> list[EndpointState]:
        return self.rng.sample(candidates, min(2, len(candidates)))


class _LeastOfTwoSelector(_RankedSelector):
    """Ranks two random candidates by their attempts in flight."""

    def rank(self, candidates: list[EndpointState], now: Ticks) -> list[EndpointState]:
        return sorted(
            self.rng.sample(candidates, min(2, len(candidates))), key=lambda endpoint: len(endpoint.in_flight)
        )


class _LeastOfAllSelector(_RankedSelector):
    """Ranks one of the least loaded candidates first, at random among equals."""

    def rank(self, candidates: list[EndpointState], now: Ticks) -> list[EndpointState]:
        least = min(len(endpoint.in_flight) for endpoint in candidates)
        return [self.rng.choice([endpoint for endpoint in candidates if len(endpoint.in_flight) == least])]


class _RoundRobinSelector(_RankedSelector):
    """Ranks the next candidate in turn first."""

    _next_index = 0

    def rank(self, candidates: list[EndpointState], now: Ticks) -> list[EndpointState]:
        self._next_index += 1
        return [candidates[self._next_index % len(candidates)]]


class PeakEwmaSelector(_RankedSelector):
    """Ranks two random endpoints by the decaying peak of their latency times their attempts in flight."""

    DECAY: Ticks = 10 * SECOND

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._peaks = dict[EndpointState, tuple[float, Ticks]]()

    def _decayed_peak(self, endpoint: EndpointState, now: Ticks) -> float:
        cost, at = self._peaks.get(endpoint, (0.0, now))
        return cost * exp((at - now) / self.DECAY)

    def record_latency(self, endpoint: EndpointState, latency: Ticks, now: Ticks) -> None:
        """Updates an endpoint's estimate: a higher latency replaces it, a lower one is averaged in."""
        before = self._decayed_peak(endpoint, now)
        weight = exp(-(now - self._peaks.get(endpoint, (0, now))[1]) / self.DECAY)
        cost = latency if latency > before else before * weight + latency * (1 - weight)
        self._peaks[endpoint] = cost, now

    def rank(self, candidates: list[EndpointState], now: Ticks) -> list[EndpointState]:
        """Order two random candidates by their cost."""
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return sorted(
            pair, key=lambda endpoint: (1 + self._decayed_peak(endpoint, now)) * (1 + len(endpoint.in_flight))
        )


class RandomChoice(Balancer):
    """Chooses an endpoint at random."""

    selector_type = _RandomSelector


class LeastOfTwo(Balancer):
    """Chooses the endpoint with fewer attempts in flight of two random ones."""

    selector_type = _LeastOfTwoSelector


class LeastOfAll(Balancer):
    """Chooses an endpoint with the fewest attempts in flight of all."""

    selector_type = _LeastOfAllSelector


class RoundRobin(Balancer):
    """Chooses the endpoints in turn."""

    selector_type = _RoundRobinSelector


class PeakEwma(Balancer):
    """Chooses by the peak EWMA of the latency."""

    selector_type = PeakEwmaSelector

    def attempt_ended(
        self, attempt: Attempt, outcome: AttemptOutcome, closed: bool, took: Ticks, report: LoadReport | None
    ) -> None:
        """Records the attempt's latency before the balancer handles its outcome."""
        assert isinstance(self._selector, PeakEwmaSelector)
        self._selector.record_latency(state_of(attempt.endpoint), took, self.now)
        super().attempt_ended(attempt, outcome, closed, took, report)


class _VotingBaseline(Balancer):
    """A balancer whose verdict on a build is replaced."""

    def __init__(self, **arguments: Any) -> None:
        super().__init__(**arguments)
        self._rollout.votes = _BaselineVoteCaster(self, arguments["voting_rules"])

    def choose_verdict(self, rollout: RolloutState, is_observation_complete: bool) -> Verdict | None:
        """Return the verdict on the rollout's build, or None to cast no vote."""
        raise NotImplementedError

    def is_stage_over(self) -> bool:
        """Whether the stage has lasted more than 5 s."""
        return self.now - self._rollout.stage_began_at > 5 * SECOND

    def error_counts(self, rollout: RolloutState) -> tuple[int, int]:
        """Return the errors and outcomes observed at the canary build during this stage."""
        windows = [w for w in self._scoring.history.since(self._rollout.stage_began_at) if w.build == rollout.build]
        faults = (Fault.ERROR, Fault.TIMED_OUT)
        return sum(w.faults.get(f, 0) for w in windows for f in faults), sum(w.outcomes for w in windows)


class _BaselineVoteCaster(VoteCaster):
    """Casts the verdicts of a `_VotingBaseline` within the production voting rules."""

    def __init__(self, balancer: _VotingBaseline, voting_rules: VotingRules) -> None:
        super().__init__(voting_rules, balancer._rng)
        self._balancer = balancer

    def choose_verdict(self, rollout: RolloutState, assessment: CanaryAssessment) -> Verdict | None:
        return self._balancer.choose_verdict(rollout, assessment.is_observation_complete)


class ByClock(_VotingBaseline):
    """Promotes once the stage has lasted 5 s, whatever the outcomes; never rolls back."""

    def choose_verdict(self, rollout: RolloutState, is_observation_complete: bool) -> Verdict | None:
        """Promote after the fixed time."""
        return Verdict.PROMOTE if rollout.phase is RolloutPhase.CANARY and self.is_stage_over() else None


class ErrorLimit(_VotingBaseline):
    """Rolls back at over 5 % errors of at least 20 outcomes; promotes once the stage has lasted 5 s."""

    def choose_verdict(self, rollout: RolloutState, is_observation_complete: bool) -> Verdict | None:
        """Compare the error share with the limit."""
        errors, outcomes = self.error_counts(rollout)
        if outcomes >= 20 and errors > 0.05 * outcomes:
            return Verdict.ROLL_BACK
        return Verdict.PROMOTE if rollout.phase is RolloutPhase.CANARY and self.is_stage_over() else None


class Sequential(_VotingBaseline):
    """Wald's test of an error share of 1 in 200 against 1 in 20, with both error rates at 1 in 100 (Wald 1945)."""

    GOOD, BAD, RISK = 0.005, 0.05, 0.01

    def choose_verdict(self, rollout: RolloutState, is_observation_complete: bool) -> Verdict | None:
        """Compare the log likelihood ratio with the test's two bounds."""
        errors, outcomes = self.error_counts(rollout)
        log_ratio = errors * log(self.BAD / self.GOOD)
        log_ratio += (outcomes - errors) * log((1 - self.BAD) / (1 - self.GOOD))
        if log_ratio >= log((1 - self.RISK) / self.RISK):
            return Verdict.ROLL_BACK
        is_good = log_ratio <= log(self.RISK / (1 - self.RISK))
        return Verdict.PROMOTE if rollout.phase is RolloutPhase.CANARY and is_good else None


POLICIES: dict[str, type[Balancer]] = {
    "lanelead": Balancer,
    "random": RandomChoice,
    "least of two": LeastOfTwo,
    "least of all": LeastOfAll,
    "round robin": RoundRobin,
    "peak ewma": PeakEwma,
    "by clock": ByClock,
    "error limit": ErrorLimit,
    "sequential": Sequential,
}
