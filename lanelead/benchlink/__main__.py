"""Run as `python -m lanelead.benchlink`: batches come on standard input, replies go to standard output."""

from __future__ import annotations

import sys

from lanelead.benchlink.host import serve
from lanelead.hosting.opening import ParameterError


def main() -> int:
    try:
        serve(sys.stdin, sys.stdout)
    except ParameterError as fault:
        print(f"lanelead: malformed input: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
