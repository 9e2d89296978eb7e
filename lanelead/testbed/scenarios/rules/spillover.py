"""Checks that a relay's attempts outside its own zone stay within the configured share."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict

from lanelead.settings.scenario_settings import SpilloverOverride
from lanelead.testbed.scenarios.rules.findings import Finding
from lanelead.testbed.scenarios.rules.recording import CLOCK_SLACK_SECONDS, Recording, endpoint_name

SPAN_SECONDS = 3.0
USUAL_SECONDS = 10.0  # the usual rate is read leniently, as the highest one of the relay so far
PACING_SLACK = 1.5  # a relay paces its spillover in partly random steps,
HELD_ATTEMPTS = 5  # and may save up what it does not use for half a latency objective


def verify_spillover(recording: Recording, override: SpilloverOverride, finding: Finding) -> None:
    """Checks a relay's attempts outside its zone in every span.

    The limit is the share `most` of the requests that the other zones' endpoints would handle for the relay if they
    were in its own zone.
    """
    endpoints = recording.scenario.units
    zones = endpoints.zones
    zone_of = {event["unit"]: event["zone"] for event in recording["up"]}
    sizes = {zone: len(range(index, endpoints.count, len(zones))) for index, zone in enumerate(zones)}
    requested: dict[int, list[float]] = defaultdict(list)
    for request in recording["ask"]:
        requested[request["relay"]].append(request["t"])
    outside: dict[int, list[float]] = defaultdict(list)
    busiest: dict[int, float] = defaultdict(float)
    for attempt in recording["trip"]:
        relay = attempt["relay"]
        t = attempt["t"]
        local_zone = zones[relay % len(zones)]
        if zone_of[endpoint_name(attempt)] == local_zone or recording.was_suspended(attempt):
            continue
        finding.seen += 1
        outside[relay].append(t)
        count = len(outside[relay]) - bisect_left(outside[relay], t - SPAN_SECONDS + CLOCK_SLACK_SECONDS)
        times = requested[relay]
        recent = bisect_right(times, t) - bisect_left(times, t - USUAL_SECONDS)
        busiest[relay] = max(busiest[relay], recent / USUAL_SECONDS)
        others = sum(size for zone, size in sizes.items() if zone != local_zone)
        limit = override.most * busiest[relay] * others / max(1, sizes[local_zone])
        allowed = PACING_SLACK * limit * SPAN_SECONDS + HELD_ATTEMPTS
        if count > allowed:
            finding.breach(
                f"relay {relay}: attempt {count} outside {local_zone} in {SPAN_SECONDS:g} s, of {allowed:.1f} allowed"
            )
