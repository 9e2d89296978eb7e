"""Measures both relays beside each pattern of abuse and prints a line for each.

Arguments: the seconds of each run, then words that choose patterns by their names, relays, and limits as
MEGABYTES/DESCRIPTORS. The regression tests run some of the patterns for a few seconds.
"""

from __future__ import annotations

import itertools
import sys

import uvloop

from tests.abuse.measurement import measure_relay
from tests.abuse.patterns import PATTERNS
from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import MOST, GivenLimits

DEFAULT_SECONDS = 8.0


async def main(seconds: float, words: list[str]) -> None:
    """Runs one pattern after another."""
    relays = [kind for kind in RelayKind if kind in words] or list(RelayKind)
    given = [GivenLimits(*map(int, word.split("/"))) for word in words if "/" in word] or [MOST]
    texts = [word for word in words if word not in list(RelayKind) and "/" not in word]
    for pattern in PATTERNS:
        if texts and not any(text in pattern for text in texts):
            continue
        for kind, limits in itertools.product(relays, given):
            print((await measure_relay(kind, pattern, seconds, limits=limits)).line(), flush=True)


if __name__ == "__main__":
    arguments = sys.argv[1:]
    length = float(arguments.pop(0)) if arguments and arguments[0].replace(".", "").isdigit() else DEFAULT_SECONDS
    uvloop.run(main(length, arguments))
