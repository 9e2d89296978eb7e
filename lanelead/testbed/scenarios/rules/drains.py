"""Rule 3 (see verifier.py): no attempt at a draining endpoint once the grace has passed.

The grace starts when the relay is notified that the endpoint drains, or that it has been removed.
"""

from __future__ import annotations

from collections import defaultdict

from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.recording import CLOCK_SLACK_SECONDS, Recording, endpoint_name

Changes = dict[tuple[int, str], list[tuple[float, bool]]]


def _readiness_changes(recording: Recording, finding: Finding) -> Changes:
    """Return, by relay and endpoint, the times at which the relay was notified that it became ready or not ready."""
    changes: Changes = defaultdict(list)
    known_of: dict[int, dict[str, bool]] = defaultdict(dict)
    for event in recording["roster-told"]:
        relay = event["relay"]
        known = known_of[relay]
        rows = {row["unit"]: row["condition"] == "ready" for row in event["units"]}
        if event["coverage"] == "full":
            rows |= {endpoint: False for endpoint in known if endpoint not in rows}
        for endpoint, ready in rows.items():
            if known.get(endpoint) is not ready:
                changes[relay, endpoint].append((event["t"], ready))
                finding.seen += not ready and endpoint in known
            known[endpoint] = ready
    return changes


def verify_drains(recording: Recording, finding: Finding) -> None:
    """Checks every recorded attempt against what its relay had been notified of."""
    grace = recording.scenario.service.duties.drain_grace_ms / 1000
    changes = _readiness_changes(recording, finding)
    for attempt in recording["trip"]:
        if recording.was_suspended(attempt):
            continue
        endpoint = endpoint_name(attempt)
        t = attempt["t"]
        received = [row for row in changes[attempt["relay"], endpoint] if row[0] <= t]
        if not received:
            continue
        since, ready = received[-1]
        if not ready and t > since + grace + CLOCK_SLACK_SECONDS:
            finding.breach(
                f"relay {attempt['relay']}: {attempt['id']} to {endpoint}, {t - since:.3f} s after it was told"
            )
