"""Discovery: one watch after the other, each call within moments of the last answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.http.calls import Failed, call
from lanelead.protocols.platform import Endpoints, address, listed
from lanelead.protocols.records import Listed, Malformed, decode
from lanelead.settings.records import Address

HOLD = 2.0  # seconds a watch may wait; far inside the time after which a change counts as told
LATE = 0.5  # and so many more for its answer
PAUSE = 0.1  # after a failure, with a random part


class Discovery:
    """Calls `heard` with each list and each change. What can't be read, and silence, lead to a whole list."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: str,
        version: int,
        heard: Callable[[Listed], None],
        chance: Random,
        log: Any,
    ) -> None:
        self._loop, self._where, self._heard = loop, Address(*address(where)), heard
        self._version, self._whole, self._chance, self._log = version, True, chance, log
        self.up = False

    async def run(self) -> None:
        while True:
            path, limit = b"/v1/endpoints", LATE
            if not self._whole:
                path += b"?from=%d&hold_ms=%d" % (self._version, HOLD * 1000)
                limit += HOLD
            try:
                answer = await call(self._loop, self._where, "GET", path, b"", limit)
                if answer.status != 200:
                    raise Failed(f"status {answer.status}")
                found = decode(answer.body, Endpoints)
                if self._whole and not found.full:
                    raise Malformed("changes, where the whole list was asked for")
                told = listed(found)
            except (Failed, Malformed, TimeoutError) as fault:
                if self.up:
                    self._log.warning("feed down", feed="discovery", reason=str(fault) or "silent")
                await self._pause()
                continue
            if not self.up:
                self._log.info("feed up", feed="discovery", version=found.version, units=len(found.servers))
            self.up, self._whole, self._version = True, False, found.version
            try:
                if found.full or found.servers:
                    self._heard(told)
            except Exception:
                # Guards against a fault of ours on one list that would leave the relay without any for good.
                self._log.exception("a list could not be taken in")
                await self._pause()

    async def _pause(self) -> None:
        self.up, self._whole = False, True
        await asyncio.sleep(PAUSE * self._chance.uniform(0.5, 1.5))
