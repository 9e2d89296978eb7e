"""Load reports of endpoints, from a response's header or a health check's body."""

from __future__ import annotations

from lanelead.decisions.interface import LoadReport
from lanelead.http.responses import HttpResponse
from lanelead.http_relay.headers import LOAD_REPORT
from lanelead.protocols.feeds import LoadMessage, MessageError, decode


def report_from_header(response: HttpResponse, names: frozenset[str]) -> LoadReport | None:
    """The load report in a response's header, as `load_report`; None where there is none that can be read."""
    raw = response.header(LOAD_REPORT)
    if raw is None:
        return None
    try:
        return load_report(decode(raw, LoadMessage), names)
    except MessageError:
        return None


def load_report(message: LoadMessage, names: frozenset[str]) -> LoadReport:
    """The values of a message that the settings name in `names`, as far as it has them."""
    report: LoadReport = {}
    for name in message.__struct_fields__:
        value = getattr(message, name)
        if name in names and value is not None:
            report[name] = value
    return report
