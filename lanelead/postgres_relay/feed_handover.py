"""Replaces one feed by another: the earlier one goes on until the new one has received something."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, Protocol, TypeVar

MAX_RUNNING_FEEDS = 4  # of one kind: the one in force, and the newest


class Feed(Protocol):
    """A client that is replaced when its address changes."""

    on_received: Callable[[], None]  # to be called before what was received is passed on

    async def run(self) -> None:
        """Receives until stopped or cancelled."""
        ...

    def stop(self) -> None:
        """Nothing more is passed on from now on."""
        ...


FeedT = TypeVar("FeedT", bound=Feed)


class FeedHandover(Generic[FeedT]):
    """The running feeds of one kind.

    What was written to the relay counts as received, by an earlier feed too: stopped at once, its last message
    would be lost, and until the new feed is connected nothing would be received at all. Once the new feed has
    received something, an earlier one's messages may be outdated and are not wanted any more.
    """

    def __init__(self, start_task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]) -> None:
        self._start_task = start_task
        self._running: dict[FeedT, asyncio.Task[None]] = {}  # in the order of their start
        self.newest: FeedT

    def start(self, feed: FeedT) -> None:
        """Runs `feed`, which replaces the others as soon as it has received something."""
        self.newest = feed
        feed.on_received = lambda: self._on_received(feed)
        self._running[feed] = self._start_task(feed.run())
        # Guards against feeds that pile up, with a connection and calls each, where no new one ever connects.
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
