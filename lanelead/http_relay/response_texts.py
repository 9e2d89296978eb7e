"""Encodes the responses that a relay sends to its clients."""

from __future__ import annotations

from lanelead.decisions.interface import SECOND, Attempt, Ticks
from lanelead.http import serialization
from lanelead.http.requests import Headers, HttpRequest
from lanelead.http.responses import HttpResponse
from lanelead.http_relay.headers import OUTCOME_HEADER, RELAY_HEADERS
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

PLAIN_TEXT = ((b"content-type", b"text/plain; charset=utf-8"),)
JSON = ((b"content-type", b"application/json"),)
REPLACED_HEADERS = RELAY_HEADERS | {b"x-request-id"}  # removed from an endpoint's response; the relay sets its own
REJECTED_BODY = b"shed: nothing was done; it may be asked again\n"
FAILED_BODY = b"broken off: it may have been done\n"
TOO_MANY_CONNECTIONS = serialization.response(
    503,
    (*PLAIN_TEXT, (OUTCOME_HEADER, b"shed"), (b"retry-after", b"1")),
    b"shed: too many connections\n",
    keep=False,
)

NOT_FORWARDED_BODY = b"shed: too little memory, or the client has closed; nothing was done\n"


def not_forwarded(keep: bool) -> bytes:
    """Encodes status 503 to a request that was not forwarded, for lack of memory or since its client has closed."""
    headers = (*PLAIN_TEXT, (OUTCOME_HEADER, RequestOutcome.REJECTED.value.encode()), (b"retry-after", b"1"))
    return serialization.response(503, headers, NOT_FORWARDED_BODY, keep)


def _is_head(request: HttpRequest | None) -> bool:
    return request is not None and request.method == "HEAD"


def text_response(request: HttpRequest | None, status: int, text: str, keep: bool) -> bytes:
    """Encodes a text response of the relay itself, to a malformed request or one of no request class."""
    body = (text + "\n").encode()
    headers = (*PLAIN_TEXT, (OUTCOME_HEADER, b"not-a-lookup"))
    return serialization.response(status, headers, body, keep, _is_head(request), b"%d" % len(body))


def json_response(request: HttpRequest, body: bytes, keep: bool) -> bytes:
    """Encodes a JSON response of the relay itself."""
    return serialization.response(200, JSON, body, keep, _is_head(request), b"%d" % len(body))


def succeeded(
    pending: PendingRequest, attempt: Attempt, response: HttpResponse, endpoint_name: str, keep: bool
) -> bytes:
    """Encodes an endpoint's response, with headers that name the endpoint and its build."""
    headers = serialization.forwarded_headers(response.headers, REPLACED_HEADERS)
    headers += _outcome_headers(pending, RequestOutcome.SUCCEEDED)
    headers.append((b"lanelead-unit", endpoint_name.encode()))
    headers.append((b"lanelead-build", b"%d" % attempt.endpoint.build))
    length = response.header(b"content-length")
    return serialization.response(response.status, headers, response.body, keep, _is_head(pending.message), length)


def rejected(pending: PendingRequest, retry_after: Ticks, keep: bool) -> bytes:
    """Encodes status 503: the request was not executed, and the client may retry after `retry_after`."""
    seconds = max(1, -(-retry_after // SECOND))
    headers = [*PLAIN_TEXT, *_outcome_headers(pending, RequestOutcome.REJECTED)]
    headers.append((b"retry-after", b"%d" % seconds))
    headers.append((b"lanelead-come-back", b"%d" % (retry_after // 10)))
    length = b"%d" % len(REJECTED_BODY)
    return serialization.response(503, headers, REJECTED_BODY, keep, _is_head(pending.message), length)


def failed(pending: PendingRequest, keep: bool) -> bytes:
    """Encodes status 502, or 504 if the last attempt timed out: the request may have been executed."""
    status = 504 if pending.timed_out else 502
    headers = [*PLAIN_TEXT, *_outcome_headers(pending, RequestOutcome.FAILED)]
    length = b"%d" % len(FAILED_BODY)
    return serialization.response(status, headers, FAILED_BODY, keep, _is_head(pending.message), length)


def _outcome_headers(pending: PendingRequest, outcome: RequestOutcome) -> Headers:
    return [(b"x-request-id", pending.id.encode("latin-1")), (OUTCOME_HEADER, outcome.value.encode())]
