"""The platform's statements: one of two forms, with a comment of names and values behind it.

What is not in one of these forms never reaches a unit.
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
    """The text says what is wrong, for whoever sent it."""


@dataclass(slots=True)
class Statement:
    request_id: str
    request_class: str
    tenant: str | None
    key: str
    time_left_ms: float
    idempotent: bool
    write: bool
    prefix: bytes  # all that stands before the time, and all behind it
    suffix: bytes

    def render(self, left_ms: int) -> bytes:
        """The same with the time that is left now."""
        return b"%s%d%s" % (self.prefix, left_ms, self.suffix)


def parse_statement(text: bytes) -> Statement:
    form = STATEMENT_PATTERN.match(text)
    if form is None:
        raise StatementError("not a statement of the platform's, or no comment behind it")
    found, insert, value, comment = form.groups()
    if value is not None and len(value) % 2:
        raise StatementError("invalid hexadecimal data: odd number of digits")
    words: dict[bytes, bytes] = {}
    at, limit = form.start(4), (0, 0)
    for pair in comment.split(b","):
        name, mark, word = pair.partition(b"=")
        if not mark or name in words or not COMMENT_VALUE_PATTERN.match(word):
            raise StatementError("the comment is no list of names and values")
        words[name] = word
        if name == b"d":
            limit = at + 2, at + len(pair)
        at += len(pair) + 1
    if b"id" not in words:
        raise StatementError("no id")
    if b"c" not in words:
        raise StatementError("no class")
    if not MILLISECONDS_PATTERN.match(words.get(b"d", b"")) or not float(words[b"d"]) > 0:
        raise StatementError("d is no positive number of milliseconds")
    try:
        ident, request_class = words[b"id"].decode(), words[b"c"].decode()
        tenant = words[b"t"].decode() if b"t" in words else None
    except UnicodeDecodeError:
        raise StatementError("a name is not UTF-8") from None
    return Statement(
        request_id=ident,
        request_class=request_class,
        tenant=tenant,
        key=(found or insert).decode(),
        time_left_ms=float(words[b"d"]),
        idempotent=words.get(b"r") == b"1",
        write=insert is not None,
        prefix=text[: limit[0]],
        suffix=text[limit[1] :],
    )
