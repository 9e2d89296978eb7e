"""Clients of the feeds that a relay follows: discovery, the rollout platform and the migration store.

Each feed is a stream of JSON lines. When a stream ends, the client opens it again with exponential backoff and jitter.
While a feed is down, the relay keeps using the last known state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from lanelead.decisions.interface import AttemptOutcome, CastVote, Ticks
from lanelead.http.client import CallFailedError, call, stream
from lanelead.migrations.readiness import Readiness
from lanelead.protocols.feeds import (
    EndpointListMessage,
    MessageError,
    RolloutMessage,
    VoteRequest,
    VoteResponse,
    decode,
    encode,
)
from lanelead.protocols.migrations import AcknowledgeRequest, MigrationLogPage
from lanelead.protocols.vocabulary import VERDICT_WORDS, VOTE_OUTCOMES
from lanelead.runtime.driver import DecisionDriver
from lanelead.settings.relay_settings import FeedSettings, RelaySettings

DISCOVERY = "discovery"
ROLLOUT = "rollout"
MIGRATIONS = "migrations"


class FeedClients:
    """Follows the feeds and passes their messages to the driver.

    after_event: called after the driver has been notified of events.
    start_task: runs a task in the background.
    driver: set by the service before `start` is called.
    up: for each feed, whether its stream is open and has delivered a message.
    endpoints_known: set once an endpoint list has been received.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: RelaySettings,
        *,
        clock: Callable[[], Ticks],
        after_event: Callable[[], None],
        start_task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[Any]],
        log: Any,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self.driver: DecisionDriver | None = None
        self._clock = clock
        self._after_event = after_event
        self._start_task = start_task
        self._log = log
        self._rng = Random(f"feeds {settings.seed} {settings.number}")
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._clock_offset: Ticks | None = None  # our clock minus discovery's, on the current stream
        self.up: dict[str, bool] = {DISCOVERY: False, ROLLOUT: False}
        self.endpoints_known = asyncio.Event()

    def start(self) -> None:
        """Starts to follow all feeds; discovery only if the decisions do not request it themselves."""
        if self._settings.discovery == "automatic":
            self.watch_endpoints(True)
        self._replace(ROLLOUT, self._follow_rollout())
        if self._settings.steps is not None:
            self.up[MIGRATIONS] = False
            self._replace(MIGRATIONS, self._follow_migrations(self._settings.steps))
            self._start_task(self._acknowledge_migrations(self._settings.steps))

    def _driver(self) -> DecisionDriver:
        assert self.driver is not None
        return self.driver

    async def stop(self) -> None:
        """Stops following all feeds."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _replace(self, name: str, follow: Coroutine[Any, Any, None]) -> None:
        old = self._tasks.get(name)
        if old is not None and not old.done() and old is not asyncio.current_task():
            old.cancel()
        self._tasks[name] = self._loop.create_task(follow)

    async def _follow(
        self, name: str, path: Callable[[], bytes], feed: FeedSettings, on_line: Callable[[bytes], None]
    ) -> None:
        """Reads a stream and opens it again when it ends, with exponential backoff and jitter."""
        wait = feed.least_wait_ms / 1000
        while True:
            if name == DISCOVERY:
                self._clock_offset = None  # the offset of discovery's clock is determined anew for each stream
            try:
                async for line in stream(self._loop, feed.address, path(), feed.silence_ms / 1000):
                    on_line(line)
                    wait = feed.least_wait_ms / 1000
                    if not self.up[name]:
                        self.up[name] = True
                        self._log.info("feed up", feed=name)
                    self._after_event()
            except (CallFailedError, MessageError) as error:
                if self.up[name]:
                    self._log.warning("feed down, using the last known state", feed=name, reason=str(error))
                self.up[name] = False
            await asyncio.sleep(wait * self._rng.uniform(0.5, 1.5))
            wait = min(2 * wait, feed.most_wait_ms / 1000)
            if name == DISCOVERY and self._settings.discovery == "subscribe":
                # The decisions request the watch again; the wait above limits how often.
                self._loop.call_soon(self._endpoint_poll_failed)
                return

    # Discovery

    def watch_endpoints(self, enabled: bool) -> None:
        """Starts or stops the watch of the endpoint list."""
        if enabled:
            self._replace(DISCOVERY, self._follow_discovery())
            return
        task = self._tasks.pop(DISCOVERY, None)
        if task is not None:
            task.cancel()

    async def _follow_discovery(self) -> None:
        path = b"/roster/watch?relay=%d" % self._settings.number
        await self._follow(DISCOVERY, lambda: path, self._settings.roster, self._endpoints_received)

    def _endpoints_received(self, line: bytes) -> None:
        message = decode(line, EndpointListMessage)
        if self._clock_offset is None:
            self._clock_offset = self._clock() - int(message.clock_ms * 10)
        self._driver().endpoints_listed(message, self._clock_offset)
        self.endpoints_known.set()

    def _endpoint_poll_failed(self) -> None:
        self._driver().endpoint_poll_failed()
        self._after_event()

    async def poll_endpoints(self) -> None:
        """Fetches the full endpoint list once."""
        feed = self._settings.roster
        try:
            response = await call(self._loop, feed.address, "GET", b"/roster", b"", feed.silence_ms / 1000)
            message = decode(response.body, EndpointListMessage)
        except (CallFailedError, TimeoutError, MessageError) as error:
            self._log.warning("endpoint list poll failed", reason=str(error))
            await asyncio.sleep(feed.least_wait_ms / 1000)
            self._endpoint_poll_failed()
            return
        self._driver().endpoints_listed(message, self._clock() - int(message.clock_ms * 10))
        self.endpoints_known.set()
        self._after_event()

    # The rollout platform

    async def _follow_rollout(self) -> None:
        path = b"/news?relay=%d" % self._settings.number
        await self._follow(ROLLOUT, lambda: path, self._settings.desk, self._rollout_received)

    def _rollout_received(self, line: bytes) -> None:
        self._driver().rollout_read(decode(line, RolloutMessage), False, AttemptOutcome.SUCCEEDED)

    async def cast_vote(self, vote: CastVote) -> None:
        """Casts a vote and notifies the driver of its outcome."""
        verdict = VERDICT_WORDS[vote.verdict]
        message = VoteRequest(self._settings.number, vote.build, vote.stage, verdict)  # type: ignore[arg-type]
        rollout: RolloutMessage | None = None
        outcome = AttemptOutcome.ERROR
        try:
            answer = await self._call_rollout_platform(encode(message))
            rollout = answer.news
            outcome = VOTE_OUTCOMES[answer.word]
        except TimeoutError:
            outcome = AttemptOutcome.TIMED_OUT
        except (CallFailedError, MessageError) as error:
            self._log.warning("vote not cast", reason=str(error))
        self._log.info("vote", build=vote.build, stage=vote.stage, verdict=verdict, outcome=outcome.value)
        self._driver().rollout_read(rollout, True, outcome)
        self._after_event()

    async def _call_rollout_platform(self, body: bytes) -> VoteResponse:
        limit = self._settings.service.poll.answer_limit_ms / 1000
        response = await call(self._loop, self._settings.desk.address, "POST", b"/votes", body, limit)
        if response.status != 200:
            raise CallFailedError(f"status {response.status}; expected 200")
        return decode(response.body, VoteResponse)

    # The migration store

    def _readiness(self) -> Readiness:
        readiness = self._driver().readiness
        assert readiness is not None
        return readiness

    async def _follow_migrations(self, feed: FeedSettings) -> None:
        """Follows the migration log, from the last entry that was read."""
        readiness = self._readiness()

        def path() -> bytes:
            return b"/record/watch?relay=%d&since=%d" % (self._settings.number, readiness.log.last_seq)

        await self._follow(MIGRATIONS, path, feed, self._migrations_received)

    def _migrations_received(self, line: bytes) -> None:
        self._driver().migrations_read(decode(line, MigrationLogPage))

    async def _acknowledge_migrations(self, feed: FeedSettings) -> None:
        """Acknowledges barrier entries to the store once no attempt is in flight to the builds that they exclude."""
        readiness = self._readiness()
        limit = feed.silence_ms / 1000
        while True:
            await asyncio.sleep(feed.least_wait_ms / 1000)
            due = readiness.acknowledgement_due(self._clock())
            if not due:
                continue
            body = encode(AcknowledgeRequest(self._settings.number, due))
            try:
                response = await call(self._loop, feed.address, "POST", b"/seen", body, limit)
            except (CallFailedError, TimeoutError) as error:
                self._log.warning("barrier acknowledgement failed", reason=str(error))
                continue
            if response.status == 200:
                readiness.acknowledged_seq = max(readiness.acknowledged_seq, due)
                self._log.info("barrier acknowledged", entry=due)
