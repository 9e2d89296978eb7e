"""Encodes requests and responses, and removes hop-by-hop headers (RFC 9110, section 7.6.1) from forwarded ones."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from lanelead.http.requests import Headers
from lanelead.http.responses import BODILESS_STATUSES

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def forwarded_headers(headers: Headers, dropped: frozenset[bytes] = HOP_BY_HOP_HEADERS) -> Headers:
    """Returns the headers to forward to the next hop: all but `dropped` and those that Connection names."""
    connection_values = [value for name, value in headers if name == b"connection"]
    if connection_values:
        named = (token.strip().lower() for value in connection_values for token in value.split(b","))
        dropped = dropped.union(named)
    return [pair for pair in headers if pair[0] not in dropped]


def with_hop_by_hop(*names: bytes) -> frozenset[bytes]:
    """Returns the hop-by-hop headers and `names`, for use as the `dropped` of `forwarded_headers`."""
    return HOP_BY_HOP_HEADERS.union(names)


def request(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Encodes a request. It has a Content-Length if it has a body or its method usually has one."""
    lines = [b"%s %s HTTP/1.1\r\n" % (method.encode("latin-1"), target)]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    if body or method in METHODS_WITH_BODY:
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def response(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    keep: bool = True,
    head: bool = False,
    length: bytes | None = None,
) -> bytes:
    """Encodes a response with a Content-Length.

    keep: whether the connection stays open after the response.
    head: whether it responds to a HEAD request, so that it has no body.
    length: with `head`, the Content-Length that the response to a GET request would have.
    """
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    if head and length is not None:
        lines.append(b"content-length: %s\r\n" % length)
    elif not head and status not in BODILESS_STATUSES and status >= 200:
        lines.append(b"content-length: %d\r\n" % len(body))
    if not keep:
        lines.append(b"connection: close\r\n")
    lines.append(b"\r\n")
    if not head and status not in BODILESS_STATUSES:
        lines.append(body)
    return b"".join(lines)
