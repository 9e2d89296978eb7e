"""A follower of the configuration on sockets: one watch at a source, and calls for buckets.

What is followed, from whom, and what comes into force when, lanelead/configuration/follower.py decides.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from contextlib import suppress
from random import Random
from typing import Any

from lanelead.configuration.actions import AskBuckets, AskOutline, InForce, Leave, Note, Place, Told, Watch
from lanelead.configuration.document import Document, Refused
from lanelead.configuration.follower import ANSWER, SILENCE, Follower
from lanelead.configuration.value_types import AppliedValues as Values
from lanelead.configuration.value_types import EntryValue
from lanelead.http.client import CallFailedError, call, stream
from lanelead.postgres_relay.config import ConfigurationSources
from lanelead.protocols.configuration import Buckets, DigestTree, WatchLine
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.platform import parse_address
from lanelead.settings.records import Address

MAX_RESPONSE_BYTES = 4 << 20  # bytes of an answer


class ConfigurationClient:
    """`changed` is called with the keys whose values in force have changed; `values` holds all that are."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        number: int,
        following: ConfigurationSources,
        entries: Sequence[tuple[str, bytes]],
        changed: Callable[[Sequence[str], Mapping[str, EntryValue]], None],
        rng: Random,
        log: Any,
    ) -> None:
        self._loop, self._on_change, self._log = loop, changed, log
        self._sources = [Address(*parse_address(source.address)) for source in following.sources]
        places = [Place(source.zone, source.region, source.address) for source in following.sources]
        document = Document(following.most_entries, following.most_bytes)
        try:
            document.load(entries)
        except Refused as fault:
            raise MessageError(f"configuration: {fault}") from None
        self.values = Values()
        self.values.take(document, list(document.entries))
        here = Place(following.zone, following.region)
        self.follower = Follower(number, here, places, document, following.catch_up_bytes_per_s, rng, loop.time())
        self._tasks: dict[asyncio.Task[None], int | None] = {}  # what runs, and of which source's watch
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Until it is cancelled."""
        try:
            while True:
                self._woken.clear()
                self._run_actions()
                wait = max(0.01, self.follower.due - self._loop.time())
                with suppress(TimeoutError):
                    # Not wait_for, which loses a cancellation that comes as the event does (Python 3.11).
                    async with asyncio.timeout(min(wait, 60.0)):
                        await self._woken.wait()
                self.follower.tick(self._loop.time())
        finally:
            for task in list(self._tasks):
                task.cancel()

    def _run_actions(self) -> None:
        while self.follower.acts:
            actions, self.follower.acts = self.follower.acts, []
            for action in actions:
                match action:
                    case Watch(source, since, digest):
                        self._start_task(self._watch(source, since, digest), source)
                    case Leave(source):
                        self._cancel_source(source)
                    case AskOutline(source):
                        self._start_task(self._outline(source), source)
                    case AskBuckets(source, version, numbers):
                        self._start_task(self._buckets(source, version, numbers), source)
                    case Told(source, applied):
                        self._start_task(self._report_applied(source, encode(applied)), None)
                    case InForce(version, keys):
                        self._apply_entries(version, keys)
                    case Note(text, reason, remedy):
                        self._log.warning(text, reason=reason, remedy=remedy)

    def _apply_entries(self, version: int, keys: Sequence[str]) -> None:
        changed, faults = self.values.take(self.follower.document, keys)
        for fault in faults[:10]:
            self._log.warning(
                "an entry of the configuration was refused",
                version=version,
                reason=str(fault),
                remedy="its last good value stays in force",
            )
        self.follower.refused = list(self.values.refused)
        self.follower.refusals = self.values.refusals
        if changed:
            self._on_change(changed, self.values.values)

    def _start_task(self, work: Coroutine[Any, Any, None], source: int | None) -> None:
        task = self._loop.create_task(work)
        self._tasks[task] = source
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("following the configuration failed", exc_info=fault)
        self._woken.set()

    def _cancel_source(self, source: int) -> None:
        for task, of in list(self._tasks.items()):
            if of == source:
                self._tasks[task] = None
                task.cancel()

    async def _watch(self, source: int, since: int, digest: str) -> None:
        path = b"/configuration/watch?from=%d&digest=%s" % (since, digest.encode())
        reason = "the watch ended"
        try:
            async for text in stream(self._loop, self._sources[source], path, 2 * SILENCE):
                self.follower.line(source, decode(text, WatchLine, MAX_RESPONSE_BYTES), self._loop.time())
                self._woken.set()
        except (CallFailedError, MessageError, TimeoutError) as fault:
            reason = str(fault)
        self.follower.ended(source, reason, self._loop.time())

    async def _outline(self, source: int) -> None:
        try:
            answer = await self._request(source, b"/configuration/outline")
            outline = decode(answer, DigestTree, MAX_RESPONSE_BYTES)
        except (CallFailedError, MessageError, TimeoutError):
            self.follower.gone(source, self._loop.time())
        else:
            self.follower.outlined(source, outline, self._loop.time())

    async def _buckets(self, source: int, version: int, numbers: Sequence[int]) -> None:
        named = ",".join(str(number) for number in numbers).encode()
        try:
            answer = await self._request(source, b"/configuration/buckets?version=%d&numbers=%s" % (version, named))
            buckets = decode(answer, Buckets, MAX_RESPONSE_BYTES)
        except (CallFailedError, MessageError, TimeoutError):
            self.follower.gone(source, self._loop.time())
        else:
            self.follower.bucketed(source, buckets, len(answer), self._loop.time())

    async def _request(self, source: int, path: bytes) -> bytes:
        answer = await call(self._loop, self._sources[source], "GET", path, b"", ANSWER)
        if answer.status != 200:
            raise CallFailedError(f"status {answer.status}")
        return bytes(answer.body)

    async def _report_applied(self, source: int, body: bytes) -> None:
        """A word that is lost is said again within seconds."""
        with suppress(CallFailedError, TimeoutError):
            await call(self._loop, self._sources[source], "POST", b"/configuration/applied", body, ANSWER)
