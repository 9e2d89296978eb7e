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

HOLD = 2.0  # seconds a watch may wait; far inside the time after which a change counts as told
LATE = 0.5  # and so many more for its answer
PAUSE = 0.1  # after a failure, with a random part
INSISTS = 2.0  # seconds that discovery names older versions only, before it is believed to have begun anew
LONGEST = 16 << 20  # bytes of a list
QUIET = 5.0  # seconds from one line on refused lists to the next


class Held:
    """The version that the relay's list is of, whoever told it; and how many lists were refused."""

    def __init__(self, version: int) -> None:
        self.version, self.refused = version, 0


class Older(MessageError):
    """A list of an older version than the one that is known."""


class Discovery:
    """Calls `heard` with each list and each change. What can't be read, and silence, lead to a whole list."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: str,
        held: Held,
        read: Callable[[EndpointList], EndpointListMessage],
        heard: Callable[[EndpointListMessage], None],
        rng: Random,
        log: Any,
    ) -> None:
        self._loop, self._where, self._heard = loop, Address(*parse_address(where)), heard
        self._held, self._read, self._whole = held, read, True
        self._rng, self._log = rng, log
        # Since when older versions only have come, without a break. Each feed has its own: an earlier
        # discovery that goes on until this one is believed would end the doubt with each of its answers.
        self._doubted: float | None = None
        self._quiet = 0.0  # until when refused lists are counted alone
        self.spoke: Callable[[], None] = lambda: None
        self.up = self._over = False

    def end(self) -> None:
        self._over = True

    async def run(self) -> None:
        while not self._over:
            try:
                await self._next()
                continue
            except (CallFailedError, MessageError, TimeoutError) as fault:
                if self.up:
                    self._log.warning(
                        "feed down",
                        feed="discovery",
                        reason=str(fault) or "silent",
                        remedy="look at discovery's agent; the last good list stays",
                    )
                self._refused(fault)
            except Exception:
                # Guards against a fault of ours on one list that would leave the relay without any for good.
                self._log.exception("a list could not be taken in")
            self.up, self._whole = False, True
            await asyncio.sleep(PAUSE * self._rng.uniform(0.5, 1.5))

    async def _next(self) -> None:
        path, limit, held = b"/v1/endpoints", LATE, self._held
        if not self._whole:
            path += b"?from=%d&hold_ms=%d" % (held.version, HOLD * 1000)
            limit += HOLD
        answer = await call(self._loop, self._where, "GET", path, b"", limit)
        if answer.status != 200:
            raise CallFailedError(f"status {answer.status}")
        found = decode(answer.body, EndpointList, LONGEST)
        if self._whole and not found.full:
            raise MessageError("changes, where the whole list was asked for")
        if found.version < held.version:
            self._doubt(found)
        if self._over:
            return
        told = self._read(found)
        self.spoke()
        if not self.up:
            self._log.info("feed up", feed="discovery", version=found.version, units=len(found.servers))
        self.up, self._whole, held.version, self._doubted = True, False, found.version, None
        if found.full or found.servers:
            self._heard(told)

    def _refused(self, fault: Exception) -> None:
        """Counts a list that was refused. Guards against a discovery whose lists can't be read from the start
        on, and that only looks silent; and against old copies with silence between them."""
        if not isinstance(fault, Older):
            self._doubted = None
        if not isinstance(fault, MessageError):
            return
        self._held.refused += 1
        if (now := self._loop.time()) >= self._quiet:
            self._quiet = now + QUIET
            self._log.warning(
                "list refused",
                reason=str(fault),
                refused=self._held.refused,
                remedy="put right what discovery's agent sends; the last good list stays",
            )

    def _doubt(self, found: EndpointList) -> None:
        """Guards against an old copy of the list, by which units that drain would be ready again. One that
        says the same for long has begun to count anew."""
        held, now = self._held, self._loop.time()
        self._doubted = self._doubted if self._doubted is not None else now
        if not found.full or now < self._doubted + INSISTS:
            raise Older(f"version {found.version}, where {held.version} is known")
        self._log.warning("discovery counts anew", version=found.version, known=held.version)
