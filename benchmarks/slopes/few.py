"""Measures gossip of two to eight relays, where each sends to all others, in the same way as `letters`."""

from __future__ import annotations

from benchmarks.slopes.letters import GOSSIP_EVENTS, LOW_RATE, PEAK_RATE, SETUP_NOTE, play, size_of
from benchmarks.slopes.series import Series

SIZES, SMALL = (2, 3, 4, 6, 8), (2, 4)


def measure(small: bool) -> list[Series]:
    """Measures all sizes and returns the series."""
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
    for rate, name in ((PEAK_RATE, "peak"), (LOW_RATE, "low")):
        for relays in SMALL if small else SIZES:
            measured = play(size_of(relays, rate))
            both = measured.mean("plain", lambda relay: relay.sent["bytes"] + relay.received["bytes"])
            spent = measured.mean("plain", lambda relay: relay.cpu_us(*GOSSIP_EVENTS) / 1e6)
            fixed = SETUP_NOTE.format(rate=rate)
            for what, unit, value in (("bytes", "B/s", both), ("cpu", "share", spent)):
                if value:
                    points.setdefault((f"{name}.{what}", unit, fixed), []).append((relays, value))
    return [Series("few", name, unit, "relays", row, note_text) for (name, unit, note_text), row in points.items()]
