"""Replaces one feed by another: the earlier feed runs on until the new one has received a message."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, Protocol, TypeVar

MAX_RUNNING_FEEDS = 4  # per kind: the oldest, which may still receive messages, and the newest three


class Feed(Protocol):
    """A client that is replaced when the configuration file is reloaded."""

    on_received: Callable[[], None]  # the feed calls this before it passes a message on

    async def run(self) -> None:
        """Receives until stopped or cancelled."""
        ...

    def stop(self) -> None:
        """Ends the feed; no message is passed on any more."""
        ...


FeedT = TypeVar("FeedT", bound=Feed)


class FeedHandover(Generic[FeedT]):
    """Runs the feeds of one kind, and stops earlier ones once a newer one has received a message.

    If an earlier feed were stopped at once, a message that was already sent to the relay would be lost, and nothing
    would be received until the new feed is connected. Once the new feed has received a message, those of earlier
    feeds may be outdated.
    """

    def __init__(self, start_task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]) -> None:
        self._start_task = start_task
        self._running: dict[FeedT, asyncio.Task[None]] = {}  # in the order of start
        self.newest: FeedT

    def start(self, feed: FeedT) -> None:
        """Runs `feed`, which replaces the feeds started before it once it has received a message."""
        self.newest = feed
        feed.on_received = lambda: self._on_received(feed)
        self._running[feed] = self._start_task(feed.run())
        # Limits the number of feeds, each of which has connections of its own, when no new feed ever connects.
        for unresponsive in list(self._running)[1 : 1 - MAX_RUNNING_FEEDS]:
            self._stop(unresponsive)

    def _on_received(self, feed: FeedT) -> None:
        for earlier in list(self._running):
            if earlier is feed:
                return
            self._stop(earlier)

    def _stop(self, feed: FeedT) -> None:
        self._running.pop(feed).cancel()
        feed.stop()
