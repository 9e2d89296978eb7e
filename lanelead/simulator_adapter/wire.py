"""The wire's text form: events in, acts out."""

from __future__ import annotations

import re
from collections.abc import Sequence

from lanelead.decisions.interface import AttemptOutcome, EndpointStatus, LoadReport, Ticks, UpdateScope
from lanelead.runtime.parameter_reader import ParameterError, parse_number

FATES = {
    "success": AttemptOutcome.SUCCEEDED,
    "failure": AttemptOutcome.ERROR,
    "overloaded": AttemptOutcome.REJECTED,
    "timed_out": AttemptOutcome.TIMED_OUT,
    "unreachable": AttemptOutcome.CONNECT_FAILED,
    "broken": AttemptOutcome.RESET,
    "withdrawn": AttemptOutcome.CANCELLED,
    "void": AttemptOutcome.NOT_SENT,
}
CONDITIONS = {"1": EndpointStatus.READY, "2": EndpointStatus.DRAINING, "3": EndpointStatus.REMOVED}
COVERAGES = {"4": UpdateScope.DELTA, "2": UpdateScope.SNAPSHOT, "0": UpdateScope.CACHED, "1": UpdateScope.FAILED}
FIELDS = {  # how many values each event carries
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
ID = re.compile(r"[0-9a-f]{16}\Z")


def split(line: str) -> list[str]:
    """One line as its parts, checked against the number of values its name calls for."""
    parts = line.rstrip("\n").split(" ")
    if parts[0] == "BEGIN":
        if len(parts) < 2:
            raise ParameterError(f"BEGIN without a seed: {line!r}")
    elif FIELDS.get(parts[0]) != len(parts) - 1:
        raise ParameterError(f"unknown message or wrong number of values: {line[:200]!r}")
    return parts


def flag(word: str) -> bool:
    if word not in ("0", "1", "-"):
        raise ParameterError(f"not a flag: {word!r}")
    return word == "1"


def ident(word: str) -> str:
    if not ID.match(word):
        raise ParameterError(f"not an id: {word!r}")
    return word


def octets(word: str) -> bytes:
    try:
        return b"" if word == "-" else bytes.fromhex(word)
    except ValueError:
        raise ParameterError(f"not hex: {word!r}") from None


def report(word: str, names: Sequence[str]) -> LoadReport | None:
    if word == "-":
        return None
    values = word.split(",")
    if len(values) != len(names):
        raise ParameterError(f"a load report of {len(values)} values, not {len(names)}")
    return {name: parse_number(value) for name, value in zip(names, values, strict=True)}


def millis(time: Ticks) -> str:
    return f"{time / 10:.1f}"
