"""Encodes messages; see 'Message Formats' in PostgreSQL's manual."""

from __future__ import annotations

from struct import Struct

HEADER = Struct("!ci")  # type, and length including itself but not the type
VERSION = 196608  # 3.0
# Request codes that stand in place of the version in the first message of a connection.
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102


def message(kind: bytes, body: bytes = b"") -> bytes:
    """Returns a message of the type `kind`."""
    return HEADER.pack(kind, len(body) + 4) + body


def startup(user: str, database: str) -> bytes:
    """Returns a StartupMessage of protocol 3.0."""
    parameters = ("user", user, "database", database, "")
    body = VERSION.to_bytes(4, "big") + b"".join(text.encode() + b"\0" for text in parameters)
    return (len(body) + 4).to_bytes(4, "big") + body


def query(text: bytes) -> bytes:
    """Returns a Query message (simple query)."""
    return message(b"Q", text + b"\0")


def status(name: str, value: str) -> bytes:
    """Returns a ParameterStatus message."""
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


READY = message(b"Z", b"I")
# The response to an empty query.
EMPTY_QUERY_RESPONSE = message(b"I") + READY
NO_ENCRYPTION = b"N"
# The response to a StartupMessage, up to ReadyForQuery.
STARTUP_RESPONSE = (
    message(b"R", (0).to_bytes(4, "big"))
    + status("server_version", "15.0")
    + status("server_encoding", "UTF8")
    + status("client_encoding", "UTF8")
    + status("standard_conforming_strings", "on")
    + message(b"K", bytes(8))
    + READY
)
NEGOTIATE_PROTOCOL_VERSION = message(b"v", VERSION.to_bytes(4, "big") + bytes(4))  # 3.0, no unknown options


def error(code: str, text: str, detail: str | None = None, fatal: bool = False) -> bytes:
    """Returns an ErrorResponse. `code` is a SQLSTATE code; `fatal` tells the client that the connection ends."""
    severity = "FATAL" if fatal else "ERROR"
    fields = [("S", severity), ("V", severity), ("C", code), ("M", text)]
    fields += [] if detail is None else [("D", detail)]
    body = b"".join(letter.encode() + field.encode() + b"\0" for letter, field in fields)
    return message(b"E", body + b"\0")
