"""A follower of the configuration on sockets: one watch at a source, and calls for buckets.

What is followed, from whom, and what comes into force when, lanelead/configuration/follower.py decides.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from contextlib import suppress
from random import Random
from typing import Any

from lanelead.configuration.actions import (
    CloseWatch,
    FetchBuckets,
    FetchDigestTree,
    Location,
    LogEvent,
    OpenWatch,
    ReportApplied,
    VersionApplied,
)
from lanelead.configuration.document import Document, DocumentError
from lanelead.configuration.follower import FETCH_TIMEOUT_SECONDS, WATCH_TIMEOUT_SECONDS, Follower
from lanelead.configuration.value_types import AppliedValues as Values
from lanelead.configuration.value_types import EntryValue
from lanelead.http.client import CallFailedError, call, stream
from lanelead.postgres_relay.config import Following
from lanelead.protocols.configuration import Buckets, DigestTree, WatchLine
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.platform import parse_address
from lanelead.settings.records import Address

LONGEST = 4 << 20  # bytes of an answer


class Feed:
    """`changed` is called with the keys whose values in force have changed; `values` holds all that are."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        number: int,
        following: Following,
        entries: Sequence[tuple[str, bytes]],
        changed: Callable[[Sequence[str], Mapping[str, EntryValue]], None],
        rng: Random,
        log: Any,
    ) -> None:
        self._loop, self._changed, self._log = loop, changed, log
        self._sources = [Address(*parse_address(source.address)) for source in following.sources]
        places = [Location(source.zone, source.region, source.address) for source in following.sources]
        document = Document(following.most_entries, following.most_bytes)
        try:
            document.load(entries)
        except DocumentError as fault:
            raise MessageError(f"configuration: {fault}") from None
        self.values = Values()
        self.values.apply(document, list(document.entries))
        here = Location(following.zone, following.region)
        self.follower = Follower(number, here, places, document, following.catch_up_bytes_per_s, rng, loop.time())
        self._tasks: dict[asyncio.Task[None], int | None] = {}  # what runs, and of which source's watch
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Until it is cancelled."""
        try:
            while True:
                self._woken.clear()
                self._carry()
                wait = max(0.01, self.follower.due - self._loop.time())
                with suppress(TimeoutError):
                    # Not wait_for, which loses a cancellation that comes as the event does (Python 3.11).
                    async with asyncio.timeout(min(wait, 60.0)):
                        await self._woken.wait()
                self.follower.tick(self._loop.time())
        finally:
            for task in list(self._tasks):
                task.cancel()

    def _carry(self) -> None:
        while self.follower.actions:
            actions, self.follower.actions = self.follower.actions, []
            for action in actions:
                match action:
                    case OpenWatch(source, since, digest):
                        self._start(self._watch(source, since, digest), source)
                    case CloseWatch(source):
                        self._leave(source)
                    case FetchDigestTree(source):
                        self._start(self._outline(source), source)
                    case FetchBuckets(source, version, numbers):
                        self._start(self._buckets(source, version, numbers), source)
                    case ReportApplied(source, applied):
                        self._start(self._tell(source, encode(applied)), None)
                    case VersionApplied(version, keys):
                        self._take(version, keys)
                    case LogEvent(text, reason, remedy):
                        self._log.warning(text, reason=reason, remedy=remedy)

    def _take(self, version: int, keys: Sequence[str]) -> None:
        changed, faults = self.values.apply(self.follower.document, keys)
        for fault in faults[:10]:
            self._log.warning(
                "an entry of the configuration was refused",
                version=version,
                reason=str(fault),
                remedy="its last good value stays in force",
            )
        self.follower.rejected_keys = list(self.values.rejected)
        self.follower.rejections = self.values.rejections
        if changed:
            self._changed(changed, self.values.values)

    def _start(self, work: Coroutine[Any, Any, None], source: int | None) -> None:
        task = self._loop.create_task(work)
        self._tasks[task] = source
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("following the configuration failed", exc_info=fault)
        self._woken.set()

    def _leave(self, source: int) -> None:
        for task, of in list(self._tasks.items()):
            if of == source:
                self._tasks[task] = None
                task.cancel()

    async def _watch(self, source: int, since: int, digest: str) -> None:
        path = b"/configuration/watch?from=%d&digest=%s" % (since, digest.encode())
        reason = "the watch ended"
        try:
            async for text in stream(self._loop, self._sources[source], path, 2 * WATCH_TIMEOUT_SECONDS):
                self.follower.line_received(source, decode(text, WatchLine, LONGEST), self._loop.time())
                self._woken.set()
        except (CallFailedError, MessageError, TimeoutError) as fault:
            reason = str(fault)
        self.follower.watch_ended(source, reason, self._loop.time())

    async def _outline(self, source: int) -> None:
        try:
            answer = await self._ask(source, b"/configuration/outline")
            outline = decode(answer, DigestTree, LONGEST)
        except (CallFailedError, MessageError, TimeoutError):
            self.follower.fetch_failed(source, self._loop.time())
        else:
            self.follower.digest_tree_received(source, outline, self._loop.time())

    async def _buckets(self, source: int, version: int, numbers: Sequence[int]) -> None:
        named = ",".join(str(number) for number in numbers).encode()
        try:
            answer = await self._ask(source, b"/configuration/buckets?version=%d&numbers=%s" % (version, named))
            buckets = decode(answer, Buckets, LONGEST)
        except (CallFailedError, MessageError, TimeoutError):
            self.follower.fetch_failed(source, self._loop.time())
        else:
            self.follower.buckets_received(source, buckets, len(answer), self._loop.time())

    async def _ask(self, source: int, path: bytes) -> bytes:
        answer = await call(self._loop, self._sources[source], "GET", path, b"", FETCH_TIMEOUT_SECONDS)
        if answer.status != 200:
            raise CallFailedError(f"status {answer.status}")
        return bytes(answer.body)

    async def _tell(self, source: int, body: bytes) -> None:
        """A word that is lost is said again within seconds."""
        with suppress(CallFailedError, TimeoutError):
            await call(
                self._loop, self._sources[source], "POST", b"/configuration/applied", body, FETCH_TIMEOUT_SECONDS
            )
