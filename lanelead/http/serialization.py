"""Requests and responses as bytes. Headers of a single hop are left out (RFC 9110, section 7.6.1)."""

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
    """The headers that go on to the next hop: all but `dropped` and those that Connection names."""
    connection_values = [value for name, value in headers if name == b"connection"]
    if connection_values:
        named = (token.strip().lower() for value in connection_values for token in value.split(b","))
        dropped = dropped.union(named)
    return [pair for pair in headers if pair[0] not in dropped]


def with_hop_by_hop(*names: bytes) -> frozenset[bytes]:
    """Headers that only this program sets, with those of a single hop: to be dropped when others send them."""
    return HOP_BY_HOP_HEADERS.union(names)


def request(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    """A request with the length of its body stated, where it has one or its method usually has."""
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
    """A response with its length stated.

    `keep`: whether the connection stays open behind it. `head`: it answers a HEAD request and has no body; `length`
    is then the length that the body would have.
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
