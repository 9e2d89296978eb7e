"""Asyncio tasks that nobody awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class BackgroundTasks:
    """Keeps references to running tasks, and logs the exceptions that they raise as `failure_event`.

    The event loop keeps weak references only, so that a task without another reference may be garbage-collected before
    it ends.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Any, failure_event: str) -> None:
        self._loop = loop
        self._log = log
        self._failure_event = failure_event
        self._running: dict[asyncio.Task[Any], None] = {}

    def __len__(self) -> int:
        """Returns the number of running tasks."""
        return len(self._running)

    def start(self, work: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Starts a task that runs `work` until it ends or `cancel_all` is called."""
        task = self._loop.create_task(work)
        self._running[task] = None
        task.add_done_callback(self._on_done)
        return task

    async def cancel_all(self) -> None:
        """Cancels all running tasks and waits until they have ended."""
        for task in list(self._running):
            task.cancel()
        await self.wait_all()

    async def wait_all(self) -> None:
        """Waits until all tasks that are running at the time of the call have ended."""
        await asyncio.gather(*self._running, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._running.pop(task, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.error(self._failure_event, exc_info=error)
