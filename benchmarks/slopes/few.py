"""Letters between so few relays that each tells all others: measured as `letters` is, from two on."""

from __future__ import annotations

from benchmarks.slopes.letters import FIXED, LETTERS, LOW, PEAK, play, size_of
from benchmarks.slopes.series import Series

SIZES, SMALL = (2, 3, 4, 6, 8), (2, 4)


def measure(small: bool) -> list[Series]:
    points: dict[tuple[str, str, str], list[tuple[float, float]]] = {}
    for rate, name in ((PEAK, "peak"), (LOW, "low")):
        for relays in SMALL if small else SIZES:
            found = play(size_of(relays, rate))
            both = found.mean("plain", lambda relay: relay.sent["bytes"] + relay.received["bytes"])
            spent = found.mean("plain", lambda relay: relay.cpu_us(*LETTERS) / 1e6)
            fixed = FIXED.format(rate=rate)
            for what, unit, value in (("bytes", "B/s", both), ("cpu", "share", spent)):
                if value:
                    points.setdefault((f"{name}.{what}", unit, fixed), []).append((relays, value))
    return [Series("few", name, unit, "relays", row, said) for (name, unit, said), row in points.items()]
