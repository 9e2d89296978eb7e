"""Encodes messages as bytes ('Message Formats' in PostgreSQL's manual)."""

from __future__ import annotations

from struct import Struct

HEADER = Struct("!ci")  # the type, and a length that counts itself but not the type
VERSION = 196608  # 3.0
# Codes in place of a version, in the first message of a connection.
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102


def message(kind: bytes, body: bytes = b"") -> bytes:
    """A message of this type."""
    return HEADER.pack(kind, len(body) + 4) + body


def startup(user: str, database: str) -> bytes:
    """StartupMessage of protocol 3.0."""
    parameters = ("user", user, "database", database, "")
    body = VERSION.to_bytes(4, "big") + b"".join(text.encode() + b"\0" for text in parameters)
    return (len(body) + 4).to_bytes(4, "big") + body


def query(text: bytes) -> bytes:
    """Query, a simple one."""
    return message(b"Q", text + b"\0")


def status(name: str, value: str) -> bytes:
    """ParameterStatus."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


READY = message(b"Z", b"I")
EMPTY = message(b"I") + READY
NO_ENCRYPTION = b"N"
WELCOME = (
    message(b"R", (0).to_bytes(4, "big"))
    + status("server_version", "15.0")
    + status("server_encoding", "UTF8")
    + status("client_encoding", "UTF8")
    + status("standard_conforming_strings", "on")
    + message(b"K", bytes(8))
    + READY
)
NEGOTIATE_PROTOCOL_VERSION = message(b"v", VERSION.to_bytes(4, "big") + bytes(4))  # NegotiateProtocolVersion: 3.0


def error(code: str, text: str, detail: str | None = None, fatal: bool = False) -> bytes:
    """ErrorResponse; `code` is a SQLSTATE code, `fatal` tells that the connection ends."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", text)]
    fields += [] if detail is None else [("D", detail)]
    body = b"".join(letter.encode() + field.encode() + b"\0" for letter, field in fields)
    return message(b"E", body + b"\0")
