"""Parses the platform's statements: one of two forms, followed by a comment of names and values.

What is not in one of these forms never reaches an endpoint.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

STATEMENT_PATTERN = re.compile(
    rb"(?:SELECT doc FROM items WHERE id = '([0-9A-Za-z_-]{1,64})'"
    rb"|INSERT INTO items \(id, doc\) VALUES \('([0-9A-Za-z_-]{1,64})', '\\x([0-9a-fA-F]*)'\) RETURNING doc)"
    rb" /\* ([!-~\x80-\xff]{1,1024}) \*/\Z"
)
# Names are the customer's own: only what would end the pair or the comment is kept out of them.
COMMENT_VALUE_PATTERN = re.compile(rb"(?:(?!/\*|\*/)[!-+\--~\x80-\xff]){1,128}\Z")
MILLISECONDS_PATTERN = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?\Z")


class StatementError(Exception):
    """The statement cannot be parsed; the text tells its sender what is wrong."""


@dataclass(slots=True)
class Statement:
    """A request. `key` is the item's id, `prefix` and `suffix` are the text before and after the time left."""

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
        """The statement's text with another time left."""
        return b"%s%d%s" % (self.prefix, time_left_ms, self.suffix)


def parse_statement(text: bytes) -> Statement:
    """Raises StatementError."""
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
