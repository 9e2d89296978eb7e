"""Rule 4 (see verifier.py): no endpoint in its slow start is sent more than a multiple of its capacity.

The capacity grows while the endpoint warms up. A stricter check holds where endpoints return to a zone: a multiple of
one, over a longer span.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.recording import RecordedEvent, Recording, by_key, endpoint_name

OVERLOAD_ALLOWED_REQUESTS = 8  # of the class with the longest mean: a few long requests may coincide by chance
RETURN_ALLOWED_REQUESTS = 4
RETURN_SPAN_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Load:
    """An attempt at an endpoint in its slow start: the work sent in the span up to it, and the endpoint's capacity."""

    start: RecordedEvent
    attempt: RecordedEvent
    sent_seconds: float
    capacity_seconds: float


def _slow_start_loads(recording: Recording, span: float, finding: Finding) -> Iterator[_Load]:
    attempts_of = by_key(recording["trip"], "file")
    for start in recording["up"]:
        if not start["cold"]:
            continue
        warm_at = start["t"] + start["cold"]
        attempts = [attempt for attempt in attempts_of.get(start["file"], []) if start["t"] <= attempt["t"] <= warm_at]
        finding.seen += bool(attempts)
        oldest = 0
        sent = 0.0
        for attempt in attempts:
            sent += attempt["work"]
            while attempts[oldest]["t"] < attempt["t"] - span:
                sent -= attempts[oldest]["work"]
                oldest += 1
            warmup_fraction = (
                start["cold_share"] + (1 - start["cold_share"]) * (attempt["t"] - start["t"]) / start["cold"]
            )
            capacity = start["cores"] * min(1.0, start["speed"]) * warmup_fraction * span
            yield _Load(start, attempt, sent, capacity)


def _verify_loads(
    recording: Recording, finding: Finding, *, span: float, multiple: float, allowed_requests: int
) -> None:
    """Checks that no endpoint was sent more than `multiple` times its capacity and a few requests more.

    Reports one case per start of an endpoint.
    """
    longest_mean = max(work.ms for work in recording.scenario.clients.work) / 1000
    reported: set[tuple[str, float]] = set()
    for load in _slow_start_loads(recording, span, finding):
        start = load.start
        key = (start["unit"], start["t"])
        if load.sent_seconds <= multiple * load.capacity_seconds + allowed_requests * longest_mean or key in reported:
            continue
        reported.add(key)
        age = load.attempt["t"] - start["t"]
        finding.breach(
            f"{start['unit']}: sent {load.sent_seconds:.2f} s of work in {span:g} s at {age:.2f} s of age, "
            f"when it could do {load.capacity_seconds:.2f}"
        )


def verify_slow_start(recording: Recording, finding: Finding) -> None:
    """Checks the rule, and that no endpoint was overloaded so that it fell over."""
    limits = recording.scenario.service.duties
    _verify_loads(
        recording,
        finding,
        span=limits.fall_ms / 1000,
        multiple=limits.fall_multiple,
        allowed_requests=OVERLOAD_ALLOWED_REQUESTS,
    )
    for event in recording["fell"]:
        finding.breach(f"{endpoint_name(event)}: fell over, sent {event['work']:.2f} s of work")


def verify_returns(recording: Recording, finding: Finding) -> None:
    """Checks that no returning endpoint was sent more than its capacity at its stage of warming up."""
    _verify_loads(recording, finding, span=RETURN_SPAN_SECONDS, multiple=1.0, allowed_requests=RETURN_ALLOWED_REQUESTS)
