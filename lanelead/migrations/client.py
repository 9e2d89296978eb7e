"""Calls to the migration store over HTTP."""

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
CALL_TIMEOUT_SECONDS = 5.0  # for a call that has no timeout of its own
STATUS_OK = 200
REJECTED_STATUSES = (400, 409, 422)


class MigrationStoreClient:
    """Calls the store. A call ends in its reply, in RejectedCall, or in StoreUnavailableError: outcome unknown."""

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
        """One call. Raises StoreUnavailableError."""
        payload = b"" if body is None else encode(body)
        try:
            response = await call(self._loop, self._address, method, path.encode(), payload, timeout_seconds)
            if response.status == STATUS_OK:
                return msgspec.json.decode(response.body, type=reply_type)
            if response.status in REJECTED_STATUSES:
                return decode(response.body, RejectedCall)
        except TimeoutError:
            raise StoreUnavailableError(f"no answer in {timeout_seconds:g} s") from None
        except (CallFailedError, MessageError, msgspec.MsgspecError) as error:
            raise StoreUnavailableError(str(error)) from None
        raise StoreUnavailableError(f"status {response.status}")

    async def read_log(self, log: MigrationLog) -> None:
        """Brings a log up to date. Raises StoreUnavailableError, or InvalidEntryError where an entry breaks a rule."""
        while True:
            page = await self.call("GET", f"/record?since={log.last_seq}", MigrationLogPage)
            if isinstance(page, RejectedCall):
                raise StoreUnavailableError(page.message)
            for logged in page.entries:
                log.append(logged)
            if log.last_seq >= page.last_seq or not page.entries:
                return
