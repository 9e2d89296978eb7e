"""A follower of the configuration in a test's hand: told what its sources say, it shows what it wants."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any, TypeVar

import msgspec

from lanelead.configuration.actions import Act, AskBuckets, AskOutline, Leave, Note, Place, Told, Watch
from lanelead.configuration.document import Document
from lanelead.configuration.follower import Follower
from lanelead.protocols.configuration import Buckets, Change, Entry, WatchLine

A = TypeVar("A", bound=Act)
HISTORY = "ident-0001"
PLACES = (Place("a", "one", "a0"), Place("b", "one", "b0"), Place("c", "two", "c0"))


def entry(key: str, value: object) -> Entry:
    return Entry(key, msgspec.Raw(msgspec.json.encode(value)))


def change(document: Document, *entries: Entry) -> Change:
    version = document.version + 1
    return Change(version, f"ident-{version:04d}", document.after(entries), list(entries))


def row(number: int, value: object = 1) -> tuple[str, bytes]:
    return f"tenant/t{number}", msgspec.json.encode({"quota_per_s": value})


def document(rows: int, version: int = 0, **bounds: int) -> Document:
    made = Document(**bounds)
    made.load(row(number) for number in range(rows))
    made.version = version
    return made


class Hand:
    """`here` is the document of the relay; it stands in zone a of region one."""

    def __init__(
        self,
        here: Document | None = None,
        places: Sequence[Place] = PLACES[:1],
        rate: float = 1e9,
        seed: int = 1,
    ) -> None:
        self.now = 100.0
        self.follower = Follower(
            7, Place("a", "one"), places, Document() if here is None else here, rate, Random(seed), self.now
        )
        self.seen: list[Act] = []

    def acts(self, kind: type[A]) -> list[A]:
        """Those of this kind since they were last asked for."""
        self.seen += self.follower.acts
        self.follower.acts = []
        found = [action for action in self.seen if isinstance(action, kind)]
        self.seen = [action for action in self.seen if not isinstance(action, kind)]
        return found

    def watched(self) -> list[int]:
        return [action.source for action in self.acts(Watch)]

    def left(self) -> list[int]:
        return [action.source for action in self.acts(Leave)]

    def notes(self) -> list[str]:
        return [action.text for action in self.acts(Note)]

    def told(self) -> list[Told]:
        return self.acts(Told)

    def pass_(self, seconds: float, step: float = 0.05) -> None:
        for _ in range(round(seconds / step)):
            self.now += step
            self.follower.tick(self.now)
            assert self.follower.due > self.now, "a host that waits until then would not wait"

    def line(self, source: int, head: int, *changes: Change, **more: Any) -> None:
        fields: dict[str, Any] = {"history": HISTORY, "behind_ms": 0.0, **more}
        self.follower.line(source, WatchLine(head=head, changes=list(changes), **fields), self.now)

    def lines(self, source: int, head: int, seconds: float, **more: Any) -> None:
        """Signs of life for so long."""
        for _ in range(round(seconds / 0.4)):
            self.pass_(0.4)
            self.line(source, head, **more)

    def ended(self, source: int, reason: str = "cut") -> None:
        self.follower.ended(source, reason, self.now)

    def outlined(self, source: int, theirs: Document, history: str = HISTORY) -> None:
        assert self.acts(AskOutline)
        self.follower.outlined(source, theirs.outline(history), self.now)
        self.pass_(0.001, 0.001)

    def bucketed(self, source: int, theirs: Document, size: int = 1000) -> tuple[int, ...]:
        """Answers what was asked; gives the numbers."""
        (ask,) = self.acts(AskBuckets)
        buckets = Buckets(ask.version, {number: theirs.bucket(number) for number in ask.numbers})
        self.follower.bucketed(source, buckets, size, self.now)
        self.pass_(0.001, 0.001)
        return ask.numbers

    def repairing(self, source: int, theirs: Document) -> None:
        """As far as the buckets being asked for."""
        self.line(source, theirs.version, repair=True)
        self.outlined(source, theirs)
