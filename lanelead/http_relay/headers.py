"""The headers between relays, endpoints and clients that only this program sets."""

from __future__ import annotations

from lanelead.http import serialization

OUTCOME = b"lanelead-outcome"
REJECTED = b"lanelead-turned-away"  # an endpoint's: it did no work on the request
LOAD_REPORT = b"lanelead-load"
RELAY_HEADERS = serialization.with_hop_by_hop(
    b"lanelead-relay",
    b"lanelead-trip",
    b"lanelead-lane",
    b"lanelead-left",
    REJECTED,
    LOAD_REPORT,
    b"lanelead-unit",
    b"lanelead-build",
    OUTCOME,
    b"lanelead-answered-by",
)
