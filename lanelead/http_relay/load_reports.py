"""What units tell of their load in an answer's field."""

from __future__ import annotations

from lanelead.decisions.interface import LoadReport
from lanelead.http.responses import HttpResponse
from lanelead.protocols.feeds import LoadMessage, MessageError, decode

LOAD = b"lanelead-load"


def report_of(answer: HttpResponse, names: frozenset[str]) -> LoadReport | None:
    """The load report in an answer, of the figures that the settings name; None where there is none to
    trust."""
    raw = answer.header(LOAD)
    if raw is None:
        return None
    try:
        return figures(decode(raw, LoadMessage), names)
    except MessageError:
        return None


def figures(load: LoadMessage, names: frozenset[str]) -> LoadReport:
    pairs = ((name, getattr(load, name)) for name in load.__struct_fields__ if name in names)
    return {name: value for name, value in pairs if value is not None}
