"""The client of discovery: one watch after another, each call right after the last response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.http.client import CallFailedError, call
from lanelead.protocols.feeds import EndpointListMessage, MessageError, decode
from lanelead.protocols.platform import EndpointList, parse_address
from lanelead.settings.service_settings import Address

WATCH_HOLD_SECONDS = 2.0  # for which a watch may wait; far less than the time after which a relay counts as notified
RESPONSE_GRACE_SECONDS = 0.5  # for the response after that
RETRY_DELAY_SECONDS = 0.1  # after a failure, with a random part
VERSION_RESET_SECONDS = 2.0  # of older versions only, after which discovery is taken to have restarted
MAX_LIST_BYTES = 16 << 20
REJECTION_LOG_INTERVAL_SECONDS = 5.0


class ListState:
    """The version of the endpoint list in force, whoever sent it, and how many lists were rejected."""

    def __init__(self, version: int) -> None:
        self.version = version
        self.rejected_lists = 0


class OutdatedListError(MessageError):
    """A list of an older version than the one in force."""


class DiscoveryClient:
    """Calls `on_list` with each snapshot and each change; an error or a timeout leads to a snapshot next.

    `on_received` is called before that, and `connected` tells whether the last call succeeded.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        address: str,
        state: ListState,
        decode_list: Callable[[EndpointList], EndpointListMessage],
        on_list: Callable[[EndpointListMessage], None],
        rng: Random,
        log: Any,
    ) -> None:
        self._loop = loop
        self._address = Address(*parse_address(address))
        self._state = state
        self._decode_list = decode_list
        self._on_list = on_list
        self._rng = rng
        self._log = log
        self._snapshot_needed = True
        # Since when only older versions have come, without a break. Each client has its own: an earlier
        # discovery that goes on until this one is accepted would end the doubt with each of its responses.
        self._older_since: float | None = None
        self._next_rejection_log_at = 0.0  # until then rejected lists are counted, but not logged
        self.on_received: Callable[[], None] = lambda: None
        self.connected = False
        self._stopped = False

    def stop(self) -> None:
        """Ends the client: nothing more is passed on."""
        self._stopped = True

    async def run(self) -> None:
        """Polls until stopped."""
        while not self._stopped:
            try:
                await self._poll()
                continue
            except (CallFailedError, MessageError, TimeoutError) as error:
                if self.connected:
                    self._log.warning(
                        "feed down",
                        feed="discovery",
                        reason=str(error) or "silent",
                        remedy="look at discovery's agent; the last good list stays",
                    )
                self._count_rejection(error)
            except Exception:  # noqa: BLE001 - one list must not end the feed; logged
                self._log.exception("an endpoint list could not be applied")
            self.connected = False
            self._snapshot_needed = True
            await asyncio.sleep(RETRY_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _poll(self) -> None:
        path = b"/v1/endpoints"
        timeout = RESPONSE_GRACE_SECONDS
        state = self._state
        if not self._snapshot_needed:
            path += b"?from=%d&hold_ms=%d" % (state.version, WATCH_HOLD_SECONDS * 1000)
            timeout += WATCH_HOLD_SECONDS
        response = await call(self._loop, self._address, "GET", path, b"", timeout)
        if response.status != 200:
            raise CallFailedError(f"status {response.status}")
        received = decode(response.body, EndpointList, MAX_LIST_BYTES)
        if self._snapshot_needed and not received.full:
            raise MessageError("changes, where the whole list was asked for")
        if received.version < state.version:
            self._check_older(received)
        if self._stopped:
            return
        message = self._decode_list(received)
        self.on_received()
        if not self.connected:
            self._log.info("feed up", feed="discovery", version=received.version, endpoints=len(received.entries))
        self.connected = True
        self._snapshot_needed = False
        state.version = received.version
        self._older_since = None
        if received.full or received.entries:
            self._on_list(message)

    def _count_rejection(self, error: Exception) -> None:
        """Counts a rejected list, and logs it: a discovery whose lists cannot be read from the start only looks
        silent otherwise.
        """
        if not isinstance(error, OutdatedListError):
            self._older_since = None
        if not isinstance(error, MessageError):
            return
        self._state.rejected_lists += 1
        now = self._loop.time()
        if now >= self._next_rejection_log_at:
            self._next_rejection_log_at = now + REJECTION_LOG_INTERVAL_SECONDS
            self._log.warning(
                "endpoint list rejected",
                reason=str(error),
                rejected=self._state.rejected_lists,
                remedy="put right what discovery's agent sends; the last good list stays",
            )

    def _check_older(self, received: EndpointList) -> None:
        """Raises OutdatedListError for an old copy of the list, by which draining endpoints would be ready again.
        Discovery that sends snapshots of old versions for long has restarted its versions.
        """
        now = self._loop.time()
        if self._older_since is None:
            self._older_since = now
        if not received.full or now < self._older_since + VERSION_RESET_SECONDS:
            raise OutdatedListError(f"version {received.version}, where {self._state.version} is known")
        self._log.warning("discovery restarted its versions", version=received.version, known=self._state.version)
