"""The forms of abuse: which bytes, how fast, on how many connections, and when the client leaves."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tests.abuse.requests import RelayKind, RequestFields, many_short_fields, opening, request

Payload = Callable[[RelayKind, str], bytes]  # the next bytes to send, with a new name for ids
LARGE_VALUE_BYTES = 60_000


@dataclass(frozen=True)
class Form:
    """One form of abuse.

    Attributes
    ----------
    payload
        Returns the next bytes; it is called whenever all earlier ones were sent.
    connections
        The number of connections that are open at once.
    opens
        Whether each connection begins with what a sound client sends first.
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
        Whether it connects anew after its connection was closed by either side.
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


def _medium_unsound(kind: RelayKind, name: str) -> bytes:
    return _medium(kind, name).replace(b"SELECT doc", b"SELEKT doc").replace(b"lanelead-left: ", b"lanelead-left: x")


def _new_classes(kind: RelayKind, name: str) -> bytes:
    if kind is RelayKind.POSTGRES:
        return request(kind, RequestFields(name, request_class=f"class-{name}"))
    return _new_names(kind, name).replace(b"GET ", b"DELETE ", 1)


def _unsound(kind: RelayKind, name: str) -> bytes:
    if kind is RelayKind.POSTGRES:
        return request(kind, RequestFields(name)).replace(b"SELECT doc", b"SELEKT doc")
    return request(kind, RequestFields(name)).replace(b"lanelead-left: ", b"lanelead-left: x")


def _noise(kind: RelayKind, name: str) -> bytes:
    return b"\0noise " + name.encode() + b"\r\n\r\n"


def _empty(kind: RelayKind, name: str) -> bytes:
    return b"Q\0\0\0\5\0" if kind is RelayKind.POSTGRES else b"\r\n"


def _batch(payload: Payload, count: int) -> Payload:
    """Returns a payload of `count` requests at once."""
    return lambda kind, name: b"".join(payload(kind, f"{name}x{number}") for number in range(count))


def _fields(complete: bool) -> Payload:
    return lambda kind, name: many_short_fields(kind, name, complete)


def _large_answers(kind: RelayKind, name: str) -> bytes:
    return request(kind, RequestFields(f"big-{name}"))


CROWD = 470  # beside the usual clients, within what 1,024 descriptors allow

# Picture (a): many connections that hold memory.
SLOW_FORMS = {
    "large requests in pieces of 200 bytes": Form(_large, CROWD, piece_bytes=200, pause_seconds=0.05),
    "large requests in pieces of 8 KB": Form(_large, CROWD, piece_bytes=8192, pause_seconds=0.2),
    "half of a large request": Form(_large, CROWD, stops_at=0.9),
    "half of a large request, 700 clients": Form(_large, 700, stops_at=0.9, reconnects=True),
    "large answers that are not read": Form(_large_answers, CROWD, reads=False),
    "large requests at full speed": Form(_large, 60),
    "large requests at full speed, a crowd": Form(_large, CROWD),
    "heads of short fields": Form(_fields(True), CROWD, opens=False),
    "heads of short fields without an end": Form(_fields(False), CROWD, opens=False, repeats=1),
    "heads of short fields in pieces": Form(_fields(True), CROWD, opens=False, piece_bytes=500, pause_seconds=0.05),
}
# Picture (b): one connection at full speed.
FAST_FORMS = {
    "small requests": Form(_small),
    "small requests, new names": Form(_new_names),
    "small requests, new classes": Form(_new_classes),
    "small effectful requests": Form(_small_effectful),
    "medium requests": Form(_medium),
    "medium requests, new names": Form(_medium_new_names),
    "medium unsound requests": Form(_medium_unsound),
    "small requests, connects anew": Form(_small, reconnects=True),
    "unsound requests": Form(_unsound),
    "unsound requests, 16 at once": Form(_batch(_unsound, 16)),
    "empty requests": Form(_empty),
    "noise, connects anew": Form(_noise, reconnects=True),
    "small requests that are not answered": Form(_small, reads=False),
    "large requests of no class": Form(_large_unknown_class, 60),
    "large requests of no class, a crowd": Form(_large_unknown_class, CROWD),
}
# Picture (c): clients that leave with much unread.
LEAVING_FORMS = {
    "leaves at once, small requests": Form(_batch(_small, 60), 8, repeats=40, stays_seconds=0.02, reconnects=True),
    "leaves after 0.3 s, small requests": Form(_batch(_small, 60), 8, stays_seconds=0.3, reconnects=True),
    "leaves after 0.3 s, reads nothing": Form(_batch(_small, 60), 8, reads=False, stays_seconds=0.3, reconnects=True),
    "leaves after 0.3 s, large requests": Form(_large, 8, stays_seconds=0.3, reconnects=True),
    "leaves after 0.3 s, large answers": Form(_large_answers, 8, reads=False, stays_seconds=0.3, reconnects=True),
    "leaves after 0.3 s, medium requests": Form(_medium, 20, stays_seconds=0.3, reconnects=True),
    "leaves, 200 clients": Form(_batch(_small, 20), 200, stays_seconds=0.3, reconnects=True),
    "comes again with the same id": Form(
        _small_effectful, 8, repeats=1, stays_seconds=0.03, reconnects=True, same_ids=True
    ),
}
FORMS = {**SLOW_FORMS, **FAST_FORMS, **LEAVING_FORMS}


def first_bytes(form: Form, kind: RelayKind) -> bytes:
    """Returns what a connection of this form begins with."""
    return opening(kind) if form.opens else b""
