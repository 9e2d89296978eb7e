"""Follows discovery's endpoint list by long polling over HTTP.

A call without a version is answered at once with a snapshot of the list. A watch is a call with the known version,
which discovery holds without a response until the list changes or the hold time is over. After a success the next
watch is made at once; after a failure a snapshot is fetched after a short delay. A call without a response in time is
followed by one that may take longer, so that the responses of a slow discovery are received too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.http.client import CallFailedError, call
from lanelead.http.responses import HttpResponse
from lanelead.protocols.feeds import EndpointListMessage, MessageError, decode
from lanelead.protocols.platform import EndpointList, parse_address
from lanelead.settings.service_settings import Address

# How long discovery may hold a watch. It is far less than the 6 s after which the platform takes a change of the list
# to be known to all relays, so that a watch which never gets a response is noticed in time.
WATCH_HOLD_SECONDS = 2.0
RESPONSE_GRACE_SECONDS = 0.5  # time for the response once the hold time is over; doubled after each timeout
MAX_RESPONSE_GRACE_SECONDS = 2.0  # within which the platform takes a change to be known, once the hold time is over
RETRY_DELAY_SECONDS = 0.1  # after a failure, with jitter
VERSION_RESET_SECONDS = 2.0  # after only outdated lists for this long, discovery has restarted its version numbers
MAX_LIST_BYTES = 16 << 20
REJECTION_LOG_INTERVAL_SECONDS = 5.0


class ListState:
    """The version of the endpoint list in force, and the number of rejected lists.

    All discovery clients of a relay share it, so that a new one also detects lists older than those of earlier ones.
    """

    def __init__(self, version: int) -> None:
        self.version = version
        self.rejected_lists = 0


class OutdatedListError(MessageError):
    """The version of a received list is older than the one in force."""


class DiscoveryClient:
    """Calls `on_list` with each snapshot and each change of the endpoint list.

    After an error or a timeout the next call asks for a snapshot. `on_received` is called after each valid response,
    before `on_list`. `connected` tells whether the last call succeeded and its list was applied.
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
        # When the first of an unbroken series of outdated lists came. This is not in the shared `ListState`: an earlier
        # client, at the former address, goes on until this one's list is accepted, and each of that client's responses
        # would reset the time.
        self._outdated_since: float | None = None
        self._response_grace_seconds = RESPONSE_GRACE_SECONDS
        self._next_rejection_log_at = 0.0  # rejected lists before this time are counted, but not logged
        self.on_received: Callable[[], None] = lambda: None
        self.connected = False
        self._stopped = False

    def stop(self) -> None:
        """Ends the client; `on_list` is not called any more."""
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
                        reason=str(error) or "timed out",
                        remedy="check discovery; the last good list stays in force",
                    )
                self._record_failure(error)
            except Exception:  # noqa: BLE001 - logged; a fault on one list must not end the feed
                # Mostly a fault while a list is applied, but any unexpected error of the call is logged as this too.
                self._log.exception("an endpoint list could not be applied")
            self.connected = False
            self._snapshot_needed = True
            await asyncio.sleep(RETRY_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _poll(self) -> None:
        """Makes one call: for a snapshot where one is needed, otherwise for changes since the known version."""
        path = b"/v1/endpoints"
        hold_seconds = 0.0
        state = self._state
        if not self._snapshot_needed:
            path += b"?from=%d&hold_ms=%d" % (state.version, WATCH_HOLD_SECONDS * 1000)
            hold_seconds = WATCH_HOLD_SECONDS
        response = await self._call(path, hold_seconds)
        if response.status != 200:
            raise CallFailedError(f"status {response.status}")
        received = decode(response.body, EndpointList, MAX_LIST_BYTES)
        if self._snapshot_needed and not received.full:
            raise MessageError("received changes, expected the full list")
        if received.version < state.version:
            self._check_outdated(received)
        if self._stopped:
            return
        message = self._decode_list(received)
        self.on_received()
        if not self.connected:
            self._log.info("feed up", feed="discovery", version=received.version, endpoints=len(received.entries))
        self.connected = True
        self._snapshot_needed = False
        state.version = received.version
        self._outdated_since = None
        if received.full or received.entries:
            self._on_list(message)

    async def _call(self, path: bytes, hold_seconds: float) -> HttpResponse:
        """Makes a call that discovery may hold for a while; adapts the time that the next one may take beyond that."""
        began = self._loop.time()
        timeout = hold_seconds + self._response_grace_seconds
        try:
            response = await call(self._loop, self._address, "GET", path, b"", timeout)
        except TimeoutError:
            self._response_grace_seconds = min(2 * self._response_grace_seconds, MAX_RESPONSE_GRACE_SECONDS)
            raise
        took = self._loop.time() - began
        beyond_hold = took - hold_seconds if took >= hold_seconds else took
        if beyond_hold <= RESPONSE_GRACE_SECONDS / 2:
            self._response_grace_seconds = RESPONSE_GRACE_SECONDS
        return response

    def _record_failure(self, error: Exception) -> None:
        """Counts and logs an error if it is a rejected list; any error but an outdated list resets `_outdated_since`.

        Without the log line, a discovery whose lists were invalid from the start would look like one that is down.
        """
        if not isinstance(error, OutdatedListError):
            self._outdated_since = None
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
                remedy="correct what discovery sends; the last good list stays in force",
            )

    def _check_outdated(self, received: EndpointList) -> None:
        """Raises OutdatedListError for an older list, unless discovery seems to have restarted its version numbers.

        An old copy of the list would make draining endpoints ready again, so it is rejected. But if all responses for
        `VERSION_RESET_SECONDS` were outdated lists, without another error in between, a snapshot is accepted.
        """
        now = self._loop.time()
        if self._outdated_since is None:
            self._outdated_since = now
        if not received.full or now < self._outdated_since + VERSION_RESET_SECONDS:
            raise OutdatedListError(
                f"outdated list: version {received.version}, version {self._state.version} is known"
            )
        self._log.warning("discovery restarted its versions", version=received.version, known=self._state.version)
