"""Counters of a driver."""

from __future__ import annotations

from dataclasses import dataclass, field

from lanelead.decisions.interface import AttemptOutcome, Ticks


@dataclass(slots=True)
class DriverCounters:
    """Numbers of requests, attempts and votes since the start, and the longest delay before an attempt was sent."""

    received: int = 0
    succeeded: int = 0
    rejected: int = 0
    failed: int = 0
    abandoned: int = 0  # the client left before the answer
    over_limit: int = 0  # rejected before the decisions saw them: too many pending, or no time left
    attempts: int = 0
    withheld_votes: int = 0  # votes to promote past a stage whose migrations are not done
    outcomes: dict[AttemptOutcome, int] = field(default_factory=dict)  # number of attempts by outcome
    max_send_delay: Ticks = 0  # from the decision to start an attempt until its first byte could be written
