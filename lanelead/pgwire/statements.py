"""Parses the SQL statements that the platform's clients send.

A statement is a SELECT or INSERT of one fixed form, followed by a comment with the request's metadata as `name=value`
pairs. Other statements are rejected, so that none reaches an endpoint. The names are `id` (request id), `c` (request
class), `t` (tenant), `d` (time left in milliseconds) and `r` (1: idempotent).
"""

from __future__ import annotations

import re
from dataclasses import dataclass

STATEMENT_PATTERN = re.compile(
    rb"(?:SELECT doc FROM items WHERE id = '([0-9A-Za-z_-]{1,64})'"
    rb"|INSERT INTO items \(id, doc\) VALUES \('([0-9A-Za-z_-]{1,64})', '\\x([0-9a-fA-F]*)'\) RETURNING doc)"
    rb" /\* ([!-~\x80-\xff]{1,1024}) \*/\Z"
)
# Customers choose class and tenant names freely; a value only must not contain what would end the pair or the comment.
COMMENT_VALUE_PATTERN = re.compile(rb"(?:(?!/\*|\*/)[!-+\--~\x80-\xff]){1,128}\Z")
MILLISECONDS_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?\Z")


class StatementError(Exception):
    """A statement cannot be parsed. Its text is sent to the client."""


@dataclass(slots=True)
class Statement:
    """A parsed statement.

    Attributes
    ----------
    request_id, request_class, tenant
        The request's metadata; `tenant` is None if it is not given.
    key
        The item's id.
    time_left_ms
        The time left until the client's deadline.
    idempotent
        Whether the client marked the statement as idempotent.
    write
        Whether it is an INSERT.
    prefix, suffix
        The text before and after the number of milliseconds left.
    """

    request_id: str
    request_class: str
    tenant: str | None
    key: str
    time_left_ms: float
    idempotent: bool
    write: bool
    prefix: bytes
    suffix: bytes

    def render(self, time_left_ms: int) -> bytes:
        """Returns the statement's text with another time left."""
        return b"%s%d%s" % (self.prefix, time_left_ms, self.suffix)


def parse_statement(text: bytes) -> Statement:
    """Parses a statement. Raises StatementError if it does not have the expected form."""
    form = STATEMENT_PATTERN.match(text)
    if form is None:
        raise StatementError("not a statement of the platform's, or no comment behind it")
    selected, inserted, value, comment = form.groups()
    if value is not None and len(value) % 2:
        raise StatementError("invalid hexadecimal data: odd number of digits")
    values: dict[bytes, bytes] = {}
    start = form.start(4)
    time_start = 0
    time_end = 0
    for pair in comment.split(b","):
        name, separator, item = pair.partition(b"=")
        if not separator or name in values or not COMMENT_VALUE_PATTERN.match(item):
            raise StatementError("the comment is no list of names and values")
        values[name] = item
        if name == b"d":
            time_start = start + 2
            time_end = start + len(pair)
        start += len(pair) + 1
    if b"id" not in values:
        raise StatementError("no id")
    if b"c" not in values:
        raise StatementError("no class")
    if not MILLISECONDS_PATTERN.match(values.get(b"d", b"")) or not float(values[b"d"]) > 0:
        raise StatementError("d is no positive number of milliseconds")
    try:
        request_id = values[b"id"].decode()
        request_class = values[b"c"].decode()
        tenant = values[b"t"].decode() if b"t" in values else None
    except UnicodeDecodeError:
        raise StatementError("a name is not UTF-8") from None
    return Statement(
        request_id=request_id,
        request_class=request_class,
        tenant=tenant,
        key=(selected or inserted).decode(),
        time_left_ms=float(values[b"d"]),
        idempotent=values.get(b"r") == b"1",
        write=inserted is not None,
        prefix=text[:time_start],
        suffix=text[time_end:],
    )
