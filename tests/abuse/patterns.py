"""The patterns of abuse: which bytes, how fast, on how many connections, and when the client leaves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tests.abuse.requests import RelayKind, RequestFields, many_short_fields, opening, request

Payload = Callable[[RelayKind, str], bytes]  # the next bytes to send, with a new name for ids
LARGE_VALUE_BYTES = 60_000


@dataclass(frozen=True)
class AbusePattern:
    """One pattern of abuse.

    Attributes
    ----------
    payload
        Returns the next bytes; it is called whenever all earlier ones were sent.
    connections
        The number of connections that are open at once.
    opens
        Whether each connection begins with what a well-behaved client sends first.
    repeats
        How many payloads a connection sends.
    stops_at
        The share of the first payload after which a connection sends nothing more, and stays open.
    piece_bytes, pause_seconds
        The size of a single write, and the time between two of them; 0: as much as the kernel takes, at full speed.
    reads
        Whether it reads what it is sent.
    stays_seconds
        The time after which it closes the connection, with what is unread in either direction; None: never.
    reconnects
        Whether it reconnects after its connection was closed by either side.
    same_ids
        Whether a new connection sends the same ids again.
    """

    payload: Payload
    connections: int = 1
    opens: bool = True
    repeats: int = 1_000_000
    stops_at: float = 1.0
    piece_bytes: int = 0
    pause_seconds: float = 0.0
    reads: bool = True
    stays_seconds: float | None = None
    reconnects: bool = False
    same_ids: bool = False


def _large(kind: RelayKind, name: str) -> bytes:
    size = LARGE_VALUE_BYTES if kind is RelayKind.POSTGRES else 1_000_000
    return request(kind, RequestFields(name, "file", value_bytes=size))


def _large_unknown_class(kind: RelayKind, name: str) -> bytes:
    if kind is RelayKind.HTTP:
        return _large(kind, name).replace(b"POST ", b"PATCH ", 1)
    return request(kind, RequestFields(name, "none", value_bytes=LARGE_VALUE_BYTES))


def _small(kind: RelayKind, name: str) -> bytes:
    return request(kind, RequestFields(name))


def _small_effectful(kind: RelayKind, name: str) -> bytes:
    return request(kind, RequestFields(name, "file", value_bytes=2))


def _new_names(kind: RelayKind, name: str) -> bytes:
    return request(kind, RequestFields(name, tenant=f"tenant-{name}", key=f"key-{name}"))


def _medium(kind: RelayKind, name: str) -> bytes:
    """A request of some 600 bytes: the relay on the platform closes connections with over 64 requests in one read."""
    return request(kind, RequestFields(name, tenant="t" * 120, key="k" * 60, padding=350))


def _medium_new_names(kind: RelayKind, name: str) -> bytes:
    return request(kind, RequestFields(name, tenant=f"{name:t>120}", key=f"{name:k>60}", padding=350))


def _medium_invalid(kind: RelayKind, name: str) -> bytes:
    return _medium(kind, name).replace(b"SELECT doc", b"SELEKT doc").replace(b"lanelead-left: ", b"lanelead-left: x")


def _new_classes(kind: RelayKind, name: str) -> bytes:
    if kind is RelayKind.POSTGRES:
        return request(kind, RequestFields(name, request_class=f"class-{name}"))
    return _new_names(kind, name).replace(b"GET ", b"DELETE ", 1)


def _invalid(kind: RelayKind, name: str) -> bytes:
    if kind is RelayKind.POSTGRES:
        return request(kind, RequestFields(name)).replace(b"SELECT doc", b"SELEKT doc")
    return request(kind, RequestFields(name)).replace(b"lanelead-left: ", b"lanelead-left: x")


def _garbage(kind: RelayKind, name: str) -> bytes:
    return b"\0garbage " + name.encode() + b"\r\n\r\n"


def _empty(kind: RelayKind, name: str) -> bytes:
    return b"Q\0\0\0\5\0" if kind is RelayKind.POSTGRES else b"\r\n"


def _batch(payload: Payload, count: int) -> Payload:
    """Returns a payload of `count` requests at once."""
    return lambda kind, name: b"".join(payload(kind, f"{name}x{number}") for number in range(count))


def _fields(complete: bool) -> Payload:
    return lambda kind, name: many_short_fields(kind, name, complete)


def _large_answers(kind: RelayKind, name: str) -> bytes:
    return request(kind, RequestFields(f"big-{name}"))


MANY_CONNECTIONS = 470  # beside the regular clients, within what 1,024 descriptors allow

# Many connections that hold memory.
SLOW_PATTERNS = {
    "large requests in pieces of 200 bytes": AbusePattern(
        _large, MANY_CONNECTIONS, piece_bytes=200, pause_seconds=0.05
    ),
    "large requests in pieces of 8 KB": AbusePattern(_large, MANY_CONNECTIONS, piece_bytes=8192, pause_seconds=0.2),
    "half of a large request": AbusePattern(_large, MANY_CONNECTIONS, stops_at=0.9),
    "half of a large request, 700 clients": AbusePattern(_large, 700, stops_at=0.9, reconnects=True),
    "large answers that are not read": AbusePattern(_large_answers, MANY_CONNECTIONS, reads=False),
    "large requests at full speed": AbusePattern(_large, 60),
    "large requests at full speed, 470 clients": AbusePattern(_large, MANY_CONNECTIONS),
    "heads of short fields": AbusePattern(_fields(True), MANY_CONNECTIONS, opens=False),
    "heads of short fields without an end": AbusePattern(_fields(False), MANY_CONNECTIONS, opens=False, repeats=1),
    "heads of short fields in pieces": AbusePattern(
        _fields(True), MANY_CONNECTIONS, opens=False, piece_bytes=500, pause_seconds=0.05
    ),
}
# Full speed, mostly on one connection.
FAST_PATTERNS = {
    "small requests": AbusePattern(_small),
    "small requests, new names": AbusePattern(_new_names),
    "small requests, new classes": AbusePattern(_new_classes),
    "small effectful requests": AbusePattern(_small_effectful),
    "medium requests": AbusePattern(_medium),
    "medium requests, new names": AbusePattern(_medium_new_names),
    "medium invalid requests": AbusePattern(_medium_invalid),
    "small requests, reconnects": AbusePattern(_small, reconnects=True),
    "invalid requests": AbusePattern(_invalid),
    "invalid requests, 16 at once": AbusePattern(_batch(_invalid, 16)),
    "empty requests": AbusePattern(_empty),
    "garbage, reconnects": AbusePattern(_garbage, reconnects=True),
    "small requests that are not answered": AbusePattern(_small, reads=False),
    "large requests of no class": AbusePattern(_large_unknown_class, 60),
    "large requests of no class, 470 clients": AbusePattern(_large_unknown_class, MANY_CONNECTIONS),
}
# Clients that leave with much unread.
LEAVING_PATTERNS = {
    "leaves at once, small requests": AbusePattern(
        _batch(_small, 60), 8, repeats=40, stays_seconds=0.02, reconnects=True
    ),
    "leaves after 0.3 s, small requests": AbusePattern(_batch(_small, 60), 8, stays_seconds=0.3, reconnects=True),
    "leaves after 0.3 s, reads nothing": AbusePattern(
        _batch(_small, 60), 8, reads=False, stays_seconds=0.3, reconnects=True
    ),
    "leaves after 0.3 s, large requests": AbusePattern(_large, 8, stays_seconds=0.3, reconnects=True),
    "leaves after 0.3 s, large answers": AbusePattern(
        _large_answers, 8, reads=False, stays_seconds=0.3, reconnects=True
    ),
    "leaves after 0.3 s, medium requests": AbusePattern(_medium, 20, stays_seconds=0.3, reconnects=True),
    "leaves, 200 clients": AbusePattern(_batch(_small, 20), 200, stays_seconds=0.3, reconnects=True),
    "reconnects with the same id": AbusePattern(
        _small_effectful, 8, repeats=1, stays_seconds=0.03, reconnects=True, same_ids=True
    ),
}
PATTERNS = {**SLOW_PATTERNS, **FAST_PATTERNS, **LEAVING_PATTERNS}


def first_bytes(pattern: AbusePattern, kind: RelayKind) -> bytes:
    """Returns what a connection of this pattern begins with."""
    return opening(kind) if pattern.opens else b""
