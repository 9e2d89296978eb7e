"""One feed after another: the earlier one goes on until its heir has spoken, and then ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, Protocol, TypeVar

MAX_RUNNING_FEEDS = 4  # feeds of one kind at once: the one that counts, and the newest


class Feed(Protocol):
    on_received: Callable[[], None]  # to be called before what it hears is handed on

    async def run(self) -> None: ...

    def stop(self) -> None:
        """Nothing more is heard of it from now on."""
        ...


FeedT = TypeVar("FeedT", bound=Feed)


class FeedHandover(Generic[FeedT]):
    """What was written to the relay counts as told, by an earlier feed too: cut off at once, its last word
    would be lost, and until the heir is there nothing would be heard at all. Once the heir has spoken, an
    earlier one's word may be older than what is known, and is not wanted any more."""

    def __init__(self, task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]) -> None:
        self._start_task = task
        self._running: dict[FeedT, asyncio.Task[None]] = {}  # in the order of their start
        self.newest: FeedT

    def start(self, feed: FeedT) -> None:
        self.newest = feed
        feed.on_received = lambda: self._on_received(feed)
        self._running[feed] = self._start_task(feed.run())
        # Guards against feeds that pile up, with a connection and calls each, where no heir ever speaks.
        for mute in list(self._running)[1 : 1 - MAX_RUNNING_FEEDS]:
            self._stop(mute)

    def _on_received(self, feed: FeedT) -> None:
        for earlier in list(self._running):
            if earlier is feed:
                return
            self._stop(earlier)

    def _stop(self, feed: FeedT) -> None:
        self._running.pop(feed).cancel()
        feed.stop()
