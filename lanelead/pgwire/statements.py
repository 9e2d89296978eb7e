"""The platform's statements: one of two forms, with a comment of names and values behind it.

What is not in one of these forms never reaches a unit.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

FORM = re.compile(
    rb"(?:SELECT doc FROM items WHERE id = '([0-9A-Za-z_-]{1,64})'"
    rb"|INSERT INTO items \(id, doc\) VALUES \('([0-9A-Za-z_-]{1,64})', '\\x([0-9a-fA-F]*)'\) RETURNING doc)"
    rb" /\* ([!-~\x80-\xff]{1,1024}) \*/\Z"
)
# Names are the customer's own: only what would end the pair or the comment is kept out of them.
WORD = re.compile(rb"(?:(?!/\*|\*/)[!-+\--~\x80-\xff]){1,128}\Z")
MILLISECONDS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,6})?\Z")


class StatementError(Exception):
    """The text says what is wrong, for whoever sent it."""


@dataclass(slots=True)
class Statement:
    ident: str
    lane: str
    member: str | None
    key: str
    left_ms: float
    again: bool
    write: bool
    before: bytes  # all that stands before the time, and all behind it
    behind: bytes

    def text(self, left_ms: int) -> bytes:
        """The same with the time that is left now."""
        return b"%s%d%s" % (self.before, left_ms, self.behind)


def read(text: bytes) -> Statement:
    form = FORM.match(text)
    if form is None:
        raise StatementError("not a statement of the platform's, or no comment behind it")
    found, insert, value, comment = form.groups()
    if value is not None and len(value) % 2:
        raise StatementError("invalid hexadecimal data: odd number of digits")
    words: dict[bytes, bytes] = {}
    at, limit = form.start(4), (0, 0)
    for pair in comment.split(b","):
        name, mark, word = pair.partition(b"=")
        if not mark or name in words or not WORD.match(word):
            raise StatementError("the comment is no list of names and values")
        words[name] = word
        if name == b"d":
            limit = at + 2, at + len(pair)
        at += len(pair) + 1
    if b"id" not in words:
        raise StatementError("no id")
    if b"c" not in words:
        raise StatementError("no class")
    if not MILLISECONDS.match(words.get(b"d", b"")) or not float(words[b"d"]) > 0:
        raise StatementError("d is no positive number of milliseconds")
    try:
        ident, request_class = words[b"id"].decode(), words[b"c"].decode()
        tenant = words[b"t"].decode() if b"t" in words else None
    except UnicodeDecodeError:
        raise StatementError("a name is not UTF-8") from None
    return Statement(
        ident=ident,
        lane=request_class,
        member=tenant,
        key=(found or insert).decode(),
        left_ms=float(words[b"d"]),
        again=words.get(b"r") == b"1",
        write=insert is not None,
        before=text[: limit[0]],
        behind=text[limit[1] :],
    )
