"""HTTP client of the migration store."""

from __future__ import annotations

import asyncio
from typing import TypeVar

import msgspec

from lanelead.http.client import CallFailedError, call
from lanelead.migrations.errors import StoreUnavailableError
from lanelead.migrations.migration_log import MigrationLog
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.migrations import MigrationLogPage, RejectedCall
from lanelead.settings.service_settings import Address

ReplyType = TypeVar("ReplyType", bound=msgspec.Struct)
CALL_TIMEOUT_SECONDS = 5.0  # default of a call
STATUS_OK = 200
REJECTED_STATUSES = (400, 409, 422)


class MigrationStoreClient:
    """Calls the migration store: each call returns its reply or RejectedCall, or raises StoreUnavailableError."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._loop = asyncio.get_running_loop()

    async def call(
        self,
        method: str,
        path: str,
        reply_type: type[ReplyType],
        body: msgspec.Struct | None = None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> ReplyType | RejectedCall:
        """Sends one call and returns the decoded reply.

        Raises StoreUnavailableError if there is no usable reply; the call may have been executed nevertheless.
        """
        payload = b"" if body is None else encode(body)
        try:
            response = await call(self._loop, self._address, method, path.encode(), payload, timeout_seconds)
            if response.status == STATUS_OK:
                return msgspec.json.decode(response.body, type=reply_type)
            if response.status in REJECTED_STATUSES:
                return decode(response.body, RejectedCall)
        except TimeoutError:
            raise StoreUnavailableError(f"no response within {timeout_seconds:g} s") from None
        except (CallFailedError, MessageError, msgspec.MsgspecError) as error:
            raise StoreUnavailableError(str(error)) from None
        raise StoreUnavailableError(f"unexpected HTTP status {response.status}")

    async def read_log(self, log: MigrationLog) -> None:
        """Appends all new entries to `log`. Raises StoreUnavailableError, or InvalidEntryError for an invalid entry."""
        while True:
            page = await self.call("GET", f"/record?since={log.last_seq}", MigrationLogPage)
            if isinstance(page, RejectedCall):
                raise StoreUnavailableError(page.message)
            for logged in page.entries:
                log.append(logged)
            if log.last_seq >= page.last_seq or not page.entries:
                return
