"""Requests and answers as bytes. Fields that belong to one hop are left out (RFC 9110, section 7.6.1)."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from lanelead.http.requests import Headers

HOP = frozenset(
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
PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def passed_on(headers: Headers, ours: frozenset[bytes] = HOP) -> Headers:
    """The fields that go on to the next hop. `ours` are dropped with those of one hop (`own` makes the
    set)."""
    named = [value for name, value in headers if name == b"connection"]
    if named:
        ours = ours.union(token.strip().lower() for value in named for token in value.split(b","))
    return [pair for pair in headers if pair[0] not in ours]


def own(*names: bytes) -> frozenset[bytes]:
    """Fields that are ours to set: dropped when a stranger sends them, along with those of one hop."""
    return HOP.union(names)


def request(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    rows = [b"%s %s HTTP/1.1\r\n" % (method.encode("latin-1"), target)]
    rows += [b"%s: %s\r\n" % pair for pair in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        rows.append(b"content-length: %d\r\n" % len(body))
    rows.append(b"\r\n")
    rows.append(body)
    return b"".join(rows)


def response(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
    keep: bool = True,
    head: bool = False,
    length: bytes | None = None,
) -> bytes:
    """An answer with its length stated; `length` stands for it where a HEAD request was answered."""
    rows = [b"HTTP/1.1 %d %s\r\n" % (status, PHRASES.get(status, b"Unknown"))]
    rows += [b"%s: %s\r\n" % pair for pair in headers]
    if head and length is not None:
        rows.append(b"content-length: %s\r\n" % length)
    elif not head and status not in (204, 304) and status >= 200:
        rows.append(b"content-length: %d\r\n" % len(body))
    if not keep:
        rows.append(b"connection: close\r\n")
    rows.append(b"\r\n")
    if not head and status not in (204, 304):
        rows.append(body)
    return b"".join(rows)
