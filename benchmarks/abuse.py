"""Plays the forms of abuse on both relays and prints a line for each.

Arguments: the seconds of each play, then words that choose forms by their names, and relays. The regression tests play
some of the forms for a few seconds.
"""

from __future__ import annotations

import sys

import uvloop

from tests.abuse.forms import FORMS
from tests.abuse.player import play
from tests.abuse.requests import RelayKind

DEFAULT_SECONDS = 8.0


async def main(seconds: float, words: list[str]) -> None:
    """Plays one form after another."""
    relays = [kind for kind in RelayKind if kind in words] or list(RelayKind)
    texts = [word for word in words if word not in list(RelayKind)]
    for form in FORMS:
        if texts and not any(text in form for text in texts):
            continue
        for kind in relays:
            print((await play(kind, form, seconds)).line(), flush=True)


if __name__ == "__main__":
    arguments = sys.argv[1:]
    length = float(arguments.pop(0)) if arguments and arguments[0].replace(".", "").isdigit() else DEFAULT_SECONDS
    uvloop.run(main(length, arguments))
