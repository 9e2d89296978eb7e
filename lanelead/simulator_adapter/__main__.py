"""Entry point `python -m lanelead.simulator_adapter`: reads batches on standard input, answers on standard output."""

from __future__ import annotations

import sys

from lanelead.runtime.parameter_reader import ParameterError
from lanelead.simulator_adapter.host import serve


def main() -> int:
    """Serves the simulator until the input ends; returns the exit status, 2 for malformed input."""
    try:
        serve(sys.stdin, sys.stdout)
    except ParameterError as fault:
        print(f"lanelead: malformed input: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
