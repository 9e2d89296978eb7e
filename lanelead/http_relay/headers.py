"""Names of the headers that only this program sets, between relays, endpoints and clients."""

from __future__ import annotations

from lanelead.http import serialization

OUTCOME_HEADER = b"lanelead-outcome"
REJECTED_HEADER = b"lanelead-turned-away"  # set by an endpoint that rejected the request before any work on it
LOAD_REPORT_HEADER = b"lanelead-load"
# Headers that are not forwarded: hop-by-hop ones and those that only this program sets.
RELAY_HEADERS = serialization.with_hop_by_hop(
    b"lanelead-relay",
    b"lanelead-trip",
    b"lanelead-lane",
    b"lanelead-left",
    REJECTED_HEADER,
    LOAD_REPORT_HEADER,
    b"lanelead-unit",
    b"lanelead-build",
    OUTCOME_HEADER,
    b"lanelead-answered-by",
)
