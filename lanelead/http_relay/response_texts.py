"""The responses that a relay writes to its clients, as bytes."""

from __future__ import annotations

from lanelead.decisions.interface import SECOND, Attempt, Ticks
from lanelead.http import serialization
from lanelead.http.requests import Headers, HttpRequest
from lanelead.http.responses import HttpResponse
from lanelead.http_relay.headers import OUTCOME, RELAY_HEADERS
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

PLAIN_TEXT = ((b"content-type", b"text/plain; charset=utf-8"),)
JSON = ((b"content-type", b"application/json"),)
REPLACED_HEADERS = RELAY_HEADERS | {b"x-request-id"}  # an endpoint's response is cleared of these
REJECTED_BODY = b"shed: nothing was done; it may be asked again\n"
FAILED_BODY = b"broken off: it may have been done\n"
TOO_MANY_CONNECTIONS = serialization.response(
    503,
    (*PLAIN_TEXT, (OUTCOME, b"shed"), (b"retry-after", b"1")),
    b"shed: too many connections\n",
    keep=False,
)


def _is_head(request: HttpRequest | None) -> bool:
    return request is not None and request.method == "HEAD"


def own_text(request: HttpRequest | None, status: int, text: str, keep: bool) -> bytes:
    """The relay's own answer to what is no request of a class, or can't be read."""
    body = (text + "\n").encode()
    headers = (*PLAIN_TEXT, (OUTCOME, b"not-a-lookup"))
    return serialization.response(status, headers, body, keep, _is_head(request), b"%d" % len(body))


def own_json(request: HttpRequest, body: bytes, keep: bool) -> bytes:
    """A document of the relay's own."""
    return serialization.response(200, JSON, body, keep, _is_head(request), b"%d" % len(body))


def succeeded(
    pending: PendingRequest, attempt: Attempt, response: HttpResponse, endpoint_name: str, keep: bool
) -> bytes:
    """An endpoint's response, with the headers that say who gave it."""
    headers = serialization.forwarded_headers(response.headers, REPLACED_HEADERS)
    headers += _identity(pending, RequestOutcome.SUCCEEDED)
    headers.append((b"lanelead-unit", endpoint_name.encode()))
    headers.append((b"lanelead-build", b"%d" % attempt.endpoint.build))
    length = response.header(b"content-length")
    return serialization.response(response.status, headers, response.body, keep, _is_head(pending.message), length)


def rejected(pending: PendingRequest, retry_after: Ticks, keep: bool) -> bytes:
    """503: nothing was done, and the client may retry after this time."""
    seconds = max(1, -(-retry_after // SECOND))
    headers = [*PLAIN_TEXT, *_identity(pending, RequestOutcome.REJECTED)]
    headers.append((b"retry-after", b"%d" % seconds))
    headers.append((b"lanelead-come-back", b"%d" % (retry_after // 10)))
    length = b"%d" % len(REJECTED_BODY)
    return serialization.response(503, headers, REJECTED_BODY, keep, _is_head(pending.message), length)


def failed(pending: PendingRequest, keep: bool) -> bytes:
    """502, or 504 where the last attempt timed out: it may have been done."""
    status = 504 if pending.timed_out else 502
    headers = [*PLAIN_TEXT, *_identity(pending, RequestOutcome.FAILED)]
    length = b"%d" % len(FAILED_BODY)
    return serialization.response(status, headers, FAILED_BODY, keep, _is_head(pending.message), length)


def _identity(pending: PendingRequest, outcome: RequestOutcome) -> Headers:
    return [(b"x-request-id", pending.id.encode("latin-1")), (OUTCOME, outcome.value.encode())]
