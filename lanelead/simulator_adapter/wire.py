"""The simulator's wire: one event or action a line, as a name and values separated by spaces.

The names are the simulator's own words; the tables map them to the decisions' types.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

from lanelead.decisions.interface import AttemptOutcome, EndpointStatus, LoadReport, Ticks, UpdateScope
from lanelead.runtime.parameter_reader import ParameterError, parse_number

OUTCOMES = {
    "success": AttemptOutcome.SUCCEEDED,
    "failure": AttemptOutcome.ERROR,
    "overloaded": AttemptOutcome.REJECTED,
    "timed_out": AttemptOutcome.TIMED_OUT,
    "unreachable": AttemptOutcome.CONNECT_FAILED,
    "broken": AttemptOutcome.RESET,
    "withdrawn": AttemptOutcome.CANCELLED,
    "void": AttemptOutcome.NOT_SENT,
}
ENDPOINT_STATUSES = {"1": EndpointStatus.READY, "2": EndpointStatus.DRAINING, "3": EndpointStatus.REMOVED}
UPDATE_SCOPES = {"4": UpdateScope.DELTA, "2": UpdateScope.SNAPSHOT, "0": UpdateScope.CACHED, "1": UpdateScope.FAILED}
VALUE_COUNTS = {  # the number of values of each line from the simulator; BEGIN has any number
    "FOR": 1,
    "TICK": 2,
    "OVER_TO_YOU": 0,
    "MANIFEST": 2,
    "ENTRY": 8,
    "DIRECTORY_UPDATE": 3,
    "ASK": 8,
    "ACCEPTED": 4,
    "STOP": 0,
    "TIMED_OUT_CLIENT": 1,
    "HEARD": 2,
    "BAD_ANSWER": 3,
    "ROLLOUT_STATE": 7,
    "ANSWER": 7,
    "PERIOD_SUMS": 6,
    "PROBE_DONE": 4,
    "ELAPSED": 1,
}
REQUEST_ID = re.compile(r"[0-9a-f]{16}\Z")


def split_line(line: str) -> list[str]:
    """Splits a line into its name and values.

    Raises ParameterError if the name is unknown or the number of values is wrong.
    """
    parts = line.rstrip("\n").split(" ")
    if parts[0] == "BEGIN":
        if len(parts) < 2:
            raise ParameterError(f"BEGIN without a seed: {line!r}")
    elif VALUE_COUNTS.get(parts[0]) != len(parts) - 1:
        raise ParameterError(f"unknown message or wrong number of values: {line[:200]!r}")
    return parts


def parse_flag(word: str) -> bool:
    """Returns a flag; `-` is False. Raises ParameterError for anything but 0, 1 and `-`."""
    if word not in ("0", "1", "-"):
        raise ParameterError(f"expected a flag (0, 1 or -), found {word!r}")
    return word == "1"


def parse_request_id(word: str) -> str:
    """Returns a request id as it is. Raises ParameterError if it is not 16 hexadecimal digits."""
    if not REQUEST_ID.match(word):
        raise ParameterError(f"expected a request id of 16 lowercase hexadecimal digits, found {word!r}")
    return word


def parse_hex(word: str) -> bytes:
    """Returns the bytes of a hexadecimal text; `-` is none. Raises ParameterError if it is not hexadecimal."""
    try:
        return b"" if word == "-" else bytes.fromhex(word)
    except ValueError:
        raise ParameterError(f"expected hexadecimal digits or -, found {word!r}") from None


def parse_load_report(word: str, names: Sequence[str]) -> LoadReport | None:
    """Returns a load report from its comma-separated values, in the order of `names`; None for `-`.

    Raises ParameterError if the number of values differs, or one is no number.
    """
    if word == "-":
        return None
    values = word.split(",")
    if len(values) != len(names):
        raise ParameterError(f"found a load report of {len(values)} values, expected {len(names)}")
    return {name: parse_number(value) for name, value in zip(names, values, strict=True)}


def format_milliseconds(time: Ticks) -> str:
    """Returns ticks as milliseconds with one decimal."""
    return f"{time / 10:.1f}"
