"""Discovery: one watch after the other, each call within moments of the last answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.http.client import CallFailedError, call
from lanelead.protocols.feeds import EndpointListMessage, MessageError, decode
from lanelead.protocols.platform import EndpointList, parse_address
from lanelead.settings.records import Address

WATCH_HOLD_SECONDS = 2.0  # seconds a watch may wait; far inside the time after which a change counts as told
RESPONSE_GRACE_SECONDS = 0.5  # and so many more for its answer
RETRY_DELAY_SECONDS = 0.1  # after a failure, with a random part
VERSION_RESET_SECONDS = (
    2.0  # seconds that discovery names older versions only, before it is believed to have begun anew
)
MAX_LIST_BYTES = 16 << 20  # bytes of a list
REFUSAL_LOG_INTERVAL_SECONDS = 5.0  # seconds from one line on refused lists to the next


class ListState:
    """The version that the relay's list is of, whoever told it; and how many lists were refused."""

    def __init__(self, version: int) -> None:
        self.version, self.rejected_lists = version, 0


class OutdatedListError(MessageError):
    """A list of an older version than the one that is known."""


class DiscoveryClient:
    """Calls `heard` with each list and each change. What can't be read, and silence, lead to a whole list."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: str,
        held: ListState,
        read: Callable[[EndpointList], EndpointListMessage],
        heard: Callable[[EndpointListMessage], None],
        rng: Random,
        log: Any,
    ) -> None:
        self._loop, self._address, self._on_list = loop, Address(*parse_address(where)), heard
        self._state, self._decode_list, self._snapshot_needed = held, read, True
        self._rng, self._log = rng, log
        # Since when older versions only have come, without a break. Each feed has its own: an earlier
        # discovery that goes on until this one is believed would end the doubt with each of its answers.
        self._older_since: float | None = None
        self._quiet_until = 0.0  # until when refused lists are counted alone
        self.on_received: Callable[[], None] = lambda: None
        self.connected = self._stopped = False

    def stop(self) -> None:
        self._stopped = True

    async def run(self) -> None:
        while not self._stopped:
            try:
                await self._poll()
                continue
            except (CallFailedError, MessageError, TimeoutError) as fault:
                if self.connected:
                    self._log.warning(
                        "feed down",
                        feed="discovery",
                        reason=str(fault) or "silent",
                        remedy="look at discovery's agent; the last good list stays",
                    )
                self._count_refusal(fault)
            except Exception:
                # Guards against a fault of ours on one list that would leave the relay without any for good.
                self._log.exception("a list could not be taken in")
            self.connected, self._snapshot_needed = False, True
            await asyncio.sleep(RETRY_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _poll(self) -> None:
        path, limit, held = b"/v1/endpoints", RESPONSE_GRACE_SECONDS, self._state
        if not self._snapshot_needed:
            path += b"?from=%d&hold_ms=%d" % (held.version, WATCH_HOLD_SECONDS * 1000)
            limit += WATCH_HOLD_SECONDS
        answer = await call(self._loop, self._address, "GET", path, b"", limit)
        if answer.status != 200:
            raise CallFailedError(f"status {answer.status}")
        found = decode(answer.body, EndpointList, MAX_LIST_BYTES)
        if self._snapshot_needed and not found.full:
            raise MessageError("changes, where the whole list was asked for")
        if found.version < held.version:
            self._check_older(found)
        if self._stopped:
            return
        told = self._decode_list(found)
        self.on_received()
        if not self.connected:
            self._log.info("feed up", feed="discovery", version=found.version, units=len(found.servers))
        self.connected, self._snapshot_needed, held.version, self._older_since = True, False, found.version, None
        if found.full or found.servers:
            self._on_list(told)

    def _count_refusal(self, fault: Exception) -> None:
        """Counts a list that was refused. Guards against a discovery whose lists can't be read from the start
        on, and that only looks silent; and against old copies with silence between them."""
        if not isinstance(fault, OutdatedListError):
            self._older_since = None
        if not isinstance(fault, MessageError):
            return
        self._state.rejected_lists += 1
        if (now := self._loop.time()) >= self._quiet_until:
            self._quiet_until = now + REFUSAL_LOG_INTERVAL_SECONDS
            self._log.warning(
                "list refused",
                reason=str(fault),
                refused=self._state.rejected_lists,
                remedy="put right what discovery's agent sends; the last good list stays",
            )

    def _check_older(self, found: EndpointList) -> None:
        """Guards against an old copy of the list, by which units that drain would be ready again. One that
        says the same for long has begun to count anew."""
        held, now = self._state, self._loop.time()
        self._older_since = self._older_since if self._older_since is not None else now
        if not found.full or now < self._older_since + VERSION_RESET_SECONDS:
            raise OutdatedListError(f"version {found.version}, where {held.version} is known")
        self._log.warning("discovery counts anew", version=found.version, known=held.version)
