"""A follower of the configuration in a test's hand: told what its sources say, it shows what it wants."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any, TypeVar

import msgspec

from lanelead.configuration.actions import (
    Action,
    CloseWatch,
    FetchBuckets,
    FetchDigestTree,
    Location,
    LogEvent,
    OpenWatch,
    ReportApplied,
)
from lanelead.configuration.document import Document
from lanelead.configuration.follower import Follower
from lanelead.protocols.configuration import Buckets, Change, Entry, WatchLine

A = TypeVar("A", bound=Action)
HISTORY = "ident-0001"
PLACES = (Location("a", "one", "a0"), Location("b", "one", "b0"), Location("c", "two", "c0"))


def entry(key: str, value: object) -> Entry:
    return Entry(key, msgspec.Raw(msgspec.json.encode(value)))


def change(document: Document, *entries: Entry) -> Change:
    version = document.version + 1
    return Change(version, f"ident-{version:04d}", document.digest_after(entries), list(entries))


def row(number: int, value: object = 1) -> tuple[str, bytes]:
    return f"tenant/t{number}", msgspec.json.encode({"quota_per_s": value})


def document(rows: int, version: int = 0, **bounds: int) -> Document:
    made = Document(**bounds)
    made.load(row(number) for number in range(rows))
    made.version = version
    return made


class FollowerHarness:
    """`here` is the document of the relay; it stands in zone a of region one."""

    def __init__(
        self,
        here: Document | None = None,
        places: Sequence[Location] = PLACES[:1],
        rate: float = 1e9,
        seed: int = 1,
    ) -> None:
        self.now = 100.0
        self.follower = Follower(
            7, Location("a", "one"), places, Document() if here is None else here, rate, Random(seed), self.now
        )
        self.seen: list[Action] = []

    def acts(self, kind: type[A]) -> list[A]:
        """Those of this kind since they were last asked for."""
        self.seen += self.follower.actions
        self.follower.actions = []
        found = [action for action in self.seen if isinstance(action, kind)]
        self.seen = [action for action in self.seen if not isinstance(action, kind)]
        return found

    def watched(self) -> list[int]:
        return [action.source for action in self.acts(OpenWatch)]

    def left(self) -> list[int]:
        return [action.source for action in self.acts(CloseWatch)]

    def notes(self) -> list[str]:
        return [action.text for action in self.acts(LogEvent)]

    def told(self) -> list[ReportApplied]:
        return self.acts(ReportApplied)

    def pass_(self, seconds: float, step: float = 0.05) -> None:
        for _ in range(round(seconds / step)):
            self.now += step
            self.follower.tick(self.now)
            assert self.follower.due > self.now, "a host that waits until then would not wait"

    def line(self, source: int, head: int, *changes: Change, **more: Any) -> None:
        fields: dict[str, Any] = {"history": HISTORY, "staleness_ms": 0.0, **more}
        self.follower.line_received(
            source, WatchLine(committed_version=head, changes=list(changes), **fields), self.now
        )

    def lines(self, source: int, head: int, seconds: float, **more: Any) -> None:
        """Signs of life for so long."""
        for _ in range(round(seconds / 0.4)):
            self.pass_(0.4)
            self.line(source, head, **more)

    def ended(self, source: int, reason: str = "cut") -> None:
        self.follower.watch_ended(source, reason, self.now)

    def outlined(self, source: int, theirs: Document, history: str = HISTORY) -> None:
        assert self.acts(FetchDigestTree)
        self.follower.digest_tree_received(source, theirs.digest_tree(history), self.now)
        self.pass_(0.001, 0.001)

    def bucketed(self, source: int, theirs: Document, size: int = 1000) -> tuple[int, ...]:
        """Answers what was asked; gives the numbers."""
        (ask,) = self.acts(FetchBuckets)
        buckets = Buckets(ask.version, {number: theirs.bucket(number) for number in ask.numbers})
        self.follower.buckets_received(source, buckets, size, self.now)
        self.pass_(0.001, 0.001)
        return ask.numbers

    def repairing(self, source: int, theirs: Document) -> None:
        """As far as the buckets being asked for."""
        self.line(source, theirs.version, needs_repair=True)
        self.outlined(source, theirs)
