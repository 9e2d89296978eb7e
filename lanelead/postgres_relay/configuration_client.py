"""Follows the configuration over HTTP: watches a source, and fetches digest trees and buckets for repairs.

lanelead/configuration/follower.py decides which source to follow and which version to apply when; this module carries
out its actions.
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
from lanelead.configuration.value_types import AppliedValues, EntryValue
from lanelead.http.client import CallFailedError, call, stream
from lanelead.postgres_relay.config import ConfigurationSources
from lanelead.protocols.configuration import Buckets, DigestTree, WatchLine
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.platform import parse_address
from lanelead.settings.service_settings import Address

MAX_RESPONSE_BYTES = 4 << 20
MAX_WAIT_SECONDS = 60.0
MIN_WAIT_SECONDS = 0.01
MAX_LOGGED_ERRORS = 10


class ConfigurationClient:
    """Calls `on_change` with the keys whose applied values have changed, and all applied values.

    `number` is the relay's number, `following` the section `configuration` of its file, and `entries` are the tenants
    and classes in the file, which apply until the first version arrives. Raises MessageError if the entries exceed
    the limits of the section.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        number: int,
        following: ConfigurationSources,
        entries: Sequence[tuple[str, bytes]],
        on_change: Callable[[Sequence[str], Mapping[str, EntryValue]], None],
        rng: Random,
        log: Any,
    ) -> None:
        self._loop = loop
        self._on_change = on_change
        self._log = log
        self._sources = [Address(*parse_address(source.address)) for source in following.sources]
        source_locations = [Location(source.zone, source.region, source.address) for source in following.sources]
        document = Document(following.most_entries, following.most_bytes)
        try:
            document.load(entries)
        except DocumentError as error:
            raise MessageError(f"configuration: {error}") from None
        self.values = AppliedValues()
        self.values.apply(document, list(document.entries))
        own_location = Location(following.zone, following.region)
        self.follower = Follower(
            number, own_location, source_locations, document, following.catch_up_bytes_per_s, rng, loop.time()
        )
        # The source is kept by task; it is None if CloseWatch does not cancel the task.
        self._tasks: dict[asyncio.Task[None], int | None] = {}
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        try:
            while True:
                self._woken.clear()
                self._run_actions()
                wait = max(MIN_WAIT_SECONDS, self.follower.due - self._loop.time())
                with suppress(TimeoutError):
                    # In Python 3.11 wait_for loses a cancellation that arrives at the same time as the event.
                    async with asyncio.timeout(min(wait, MAX_WAIT_SECONDS)):
                        await self._woken.wait()
                self.follower.tick(self._loop.time())
        finally:
            for task in list(self._tasks):
                task.cancel()

    def _run_actions(self) -> None:
        while self.follower.actions:
            actions, self.follower.actions = self.follower.actions, []
            for action in actions:
                match action:
                    case OpenWatch(source, since, digest):
                        self._start_task(self._watch(source, since, digest), source)
                    case CloseWatch(source):
                        self._cancel_source(source)
                    case FetchDigestTree(source):
                        self._start_task(self._fetch_digest_tree(source), source)
                    case FetchBuckets(source, version, numbers):
                        self._start_task(self._fetch_buckets(source, version, numbers), source)
                    case ReportApplied(source, applied):
                        self._start_task(self._report_applied(source, encode(applied)), None)
                    case VersionApplied(version, keys):
                        self._apply_entries(version, keys)
                    case LogEvent(text, reason, remedy):
                        self._log.warning(text, reason=reason, remedy=remedy)

    def _apply_entries(self, version: int, keys: Sequence[str]) -> None:
        changed, errors = self.values.apply(self.follower.document, keys)
        for error in errors[:MAX_LOGGED_ERRORS]:
            self._log.warning(
                "an entry of the configuration was refused",
                version=version,
                reason=str(error),
                remedy="correct the entry; its last good value stays in force",
            )
        self.follower.rejected_keys = list(self.values.rejected)
        self.follower.rejections = self.values.rejections
        if changed:
            self._on_change(changed, self.values.values)

    def _start_task(self, work: Coroutine[Any, Any, None], source: int | None) -> None:
        task = self._loop.create_task(work)
        self._tasks[task] = source
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._log.error("following the configuration failed", exc_info=error)
        self._woken.set()

    def _cancel_source(self, source: int) -> None:
        for task, task_source in list(self._tasks.items()):
            if task_source == source:
                self._tasks[task] = None
                task.cancel()

    async def _watch(self, source: int, since: int, digest: str) -> None:
        path = b"/configuration/watch?from=%d&digest=%s" % (since, digest.encode())
        reason = "the watch ended"
        try:
            async for text in stream(self._loop, self._sources[source], path, 2 * WATCH_TIMEOUT_SECONDS):
                self.follower.line_received(source, decode(text, WatchLine, MAX_RESPONSE_BYTES), self._loop.time())
                self._woken.set()
        except (CallFailedError, MessageError, TimeoutError) as error:
            reason = str(error)
        self.follower.watch_ended(source, reason, self._loop.time())

    async def _fetch_digest_tree(self, source: int) -> None:
        try:
            body = await self._request(source, b"/configuration/outline")
            digest_tree = decode(body, DigestTree, MAX_RESPONSE_BYTES)
        except (CallFailedError, MessageError, TimeoutError):
            self.follower.fetch_failed(source, self._loop.time())
        else:
            self.follower.digest_tree_received(source, digest_tree, self._loop.time())

    async def _fetch_buckets(self, source: int, version: int, numbers: Sequence[int]) -> None:
        numbers_text = ",".join(str(number) for number in numbers).encode()
        try:
            body = await self._request(
                source, b"/configuration/buckets?version=%d&numbers=%s" % (version, numbers_text)
            )
            buckets = decode(body, Buckets, MAX_RESPONSE_BYTES)
        except (CallFailedError, MessageError, TimeoutError):
            self.follower.fetch_failed(source, self._loop.time())
        else:
            self.follower.buckets_received(source, buckets, len(body), self._loop.time())

    async def _request(self, source: int, path: bytes) -> bytes:
        response = await call(self._loop, self._sources[source], "GET", path, b"", FETCH_TIMEOUT_SECONDS)
        if response.status != 200:
            raise CallFailedError(f"status {response.status}")
        return bytes(response.body)

    async def _report_applied(self, source: int, body: bytes) -> None:
        """Posts the applied version; errors are ignored, since the follower reports again within seconds."""
        with suppress(CallFailedError, TimeoutError):
            await call(
                self._loop, self._sources[source], "POST", b"/configuration/applied", body, FETCH_TIMEOUT_SECONDS
            )
