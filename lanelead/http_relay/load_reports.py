"""Decodes endpoints' load reports, from a response's header or the body of a health check's response."""

from __future__ import annotations

from lanelead.decisions.interface import LoadReport
from lanelead.http.responses import HttpResponse
from lanelead.http_relay.headers import LOAD_REPORT_HEADER
from lanelead.protocols.feeds import LoadMessage, MessageError, decode


def report_from_header(response: HttpResponse, names: frozenset[str]) -> LoadReport | None:
    """Returns the load report in a response's header, or None if there is no valid one. `names` as in `load_report`."""
    raw = response.header(LOAD_REPORT_HEADER)
    if raw is None:
        return None
    try:
        return load_report(decode(raw, LoadMessage), names)
    except MessageError:
        return None


def load_report(message: LoadMessage, names: frozenset[str]) -> LoadReport:
    """Returns those values of a message that are present and whose name is in `names`, which the settings list."""
    report: LoadReport = {}
    for name in message.__struct_fields__:
        value = getattr(message, name)
        if name in names and value is not None:
            report[name] = value
    return report
