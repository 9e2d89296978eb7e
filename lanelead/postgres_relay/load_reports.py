"""Parses endpoints' load reports."""

from __future__ import annotations

import math

from lanelead.decisions.interface import LoadReport


def parse_load_report(text: bytes | None, names: frozenset[str]) -> LoadReport | None:
    """Parses a report of the form `name=value,name=value` and keeps the fields in `names`.

    Returns None if the report is malformed or has none of these fields.
    """
    if not text or not names:
        return None
    report: LoadReport = {}
    for pair in text.split(b","):
        name, separator, number = pair.partition(b"=")
        try:
            value = float(number)
        except ValueError:
            return None
        if not separator or not math.isfinite(value) or value < 0:
            return None
        field = name.decode("latin-1").strip()
        if field in names:
            report[field] = value
    return report or None
