"""The bytes of requests to each relay, valid or not, with the id, class, tenant and size that a pattern asks for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from lanelead.pgwire import messages


class RelayKind(StrEnum):
    """The two relays."""

    POSTGRES = "postgres"
    HTTP = "http"


@dataclass(frozen=True)
class RequestFields:
    """What a request says. `value_bytes` is the size of what it writes; 0 makes it a read.

    `padding` is the number of bytes that further fields add, which the relay does not read.
    """

    id: str
    request_class: str = "read"
    tenant: str = "m"
    key: str = "ab12"
    value_bytes: int = 0
    left_ms: int = 1400
    padding: int = 0


def opening(kind: RelayKind) -> bytes:
    """Returns what a client sends before its first request."""
    return messages.startup("app", "shop") if kind is RelayKind.POSTGRES else b""


def request(kind: RelayKind, fields: RequestFields) -> bytes:
    """Returns a complete request."""
    if kind is RelayKind.POSTGRES:
        return messages.query(_statement(fields))
    method, body = (b"POST", b"v" * fields.value_bytes) if fields.value_bytes else (b"GET", b"")
    head = [
        b"%s /%s HTTP/1.1" % (method, fields.key.encode()),
        b"host: relay",
        b"lanelead-member: %s" % fields.tenant.encode(),
        b"lanelead-left: %d" % fields.left_ms,
        b"x-request-id: %s" % fields.id.encode(),
    ]
    if fields.padding:
        head.append(b"x-padding: " + b"p" * fields.padding)
    if body:
        head.append(b"content-length: %d" % len(body))
    return b"\r\n".join(head) + b"\r\n\r\n" + body


def _statement(fields: RequestFields) -> bytes:
    padding = "".join(f",p{number}={'p' * 100}" for number in range(fields.padding // 100))
    comment = f"/* id={fields.id},c={fields.request_class},t={fields.tenant},d={fields.left_ms}{padding} */"
    if not fields.value_bytes:
        return f"SELECT doc FROM items WHERE id = '{fields.key}' {comment}".encode()
    value = "5a" * fields.value_bytes
    return f"INSERT INTO items (id, doc) VALUES ('{fields.key}', '\\x{value}') RETURNING doc {comment}".encode()


def many_short_fields(kind: RelayKind, request_id: str, complete: bool) -> bytes:
    """Returns a head of as many short fields as the relay's limit allows, with its end or without."""
    if kind is RelayKind.POSTGRES:
        body = messages.VERSION.to_bytes(4, "big") + b"user\0app\0" + b"a\0b\0" * 2490 + b"\0"
        text = (len(body) + 4).to_bytes(4, "big") + body
        return text if complete else text[:-1]
    first = b"GET /ab12 HTTP/1.1\r\nhost: relay\r\nx-request-id: %s\r\n" % request_id.encode()
    return first + b"a:\r\n" * 3200 + (b"\r\n" if complete else b"")
