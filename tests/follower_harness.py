"""A harness for a configuration follower: tests feed it the messages of its sources and inspect its actions."""

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
SOURCES = (Location("a", "one", "a0"), Location("b", "one", "b0"), Location("c", "two", "c0"))


def entry(key: str, value: object) -> Entry:
    return Entry(key, msgspec.Raw(msgspec.json.encode(value)))


def change(document: Document, *entries: Entry) -> Change:
    version = document.version + 1
    return Change(version, f"ident-{version:04d}", document.digest_after(entries), list(entries))


def row(number: int, value: object = 1) -> tuple[str, bytes]:
    return f"tenant/t{number}", msgspec.json.encode({"quota_per_s": value})


def document(rows: int, version: int = 0, **bounds: int) -> Document:
    result = Document(**bounds)
    result.load(row(number) for number in range(rows))
    result.version = version
    return result


class FollowerHarness:
    """A follower in zone `a` of region `one`, with a clock of its own.

    `held` is the relay's document at the start, `rate` the limit of a repair in bytes per second.
    """

    def __init__(
        self,
        held: Document | None = None,
        sources: Sequence[Location] = SOURCES[:1],
        rate: float = 1e9,
        seed: int = 1,
    ) -> None:
        self.now = 100.0
        self.follower = Follower(
            7, Location("a", "one"), sources, Document() if held is None else held, rate, Random(seed), self.now
        )
        self.pending_actions: list[Action] = []

    def take_actions(self, kind: type[A]) -> list[A]:
        """Removes and returns the pending actions of one type."""
        self.pending_actions += self.follower.actions
        self.follower.actions = []
        found = [action for action in self.pending_actions if isinstance(action, kind)]
        self.pending_actions = [action for action in self.pending_actions if not isinstance(action, kind)]
        return found

    def opened_watches(self) -> list[int]:
        return [action.source for action in self.take_actions(OpenWatch)]

    def closed_watches(self) -> list[int]:
        return [action.source for action in self.take_actions(CloseWatch)]

    def logged_events(self) -> list[str]:
        return [action.text for action in self.take_actions(LogEvent)]

    def reports(self) -> list[ReportApplied]:
        return self.take_actions(ReportApplied)

    def advance(self, seconds: float, step: float = 0.05) -> None:
        for _ in range(round(seconds / step)):
            self.now += step
            self.follower.tick(self.now)
            assert self.follower.due > self.now, "`due` is not in the future: a host would not wait at all"

    def receive_line(self, source: int, head: int, *changes: Change, **more: Any) -> None:
        fields: dict[str, Any] = {"history": HISTORY, "staleness_ms": 0.0, **more}
        self.follower.line_received(
            source, WatchLine(committed_version=head, changes=list(changes), **fields), self.now
        )

    def receive_lines(self, source: int, head: int, seconds: float, **more: Any) -> None:
        """Delivers a line every 0.4 s for this many seconds."""
        for _ in range(round(seconds / 0.4)):
            self.advance(0.4)
            self.receive_line(source, head, **more)

    def end_watch(self, source: int, reason: str = "cut") -> None:
        self.follower.watch_ended(source, reason, self.now)

    def answer_digest_tree(self, source: int, remote: Document, history: str = HISTORY) -> None:
        assert self.take_actions(FetchDigestTree)
        self.follower.digest_tree_received(source, remote.digest_tree(history), self.now)
        self.advance(0.001, 0.001)

    def answer_buckets(self, source: int, remote: Document, size: int = 1000) -> tuple[int, ...]:
        """Answers the one pending fetch of buckets from `remote`; returns the numbers that it asked for."""
        (fetch,) = self.take_actions(FetchBuckets)
        buckets = Buckets(fetch.version, {number: remote.bucket(number) for number in fetch.numbers})
        self.follower.buckets_received(source, buckets, size, self.now)
        self.advance(0.001, 0.001)
        return fetch.numbers

    def start_repair(self, source: int, remote: Document) -> None:
        """Starts a repair up to the first fetch of buckets."""
        self.receive_line(source, remote.version, needs_repair=True)
        self.answer_digest_tree(source, remote)
