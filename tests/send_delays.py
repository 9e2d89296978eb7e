"""Means for tests to hold up attempts before their first byte, and to let time pass meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any
from unittest import mock

from lanelead.http_relay.connection_pool import ConnectionPools, EndpointPool
from lanelead.runtime.loop_clock import LoopClock
from tests import postgres_platform

WINDOW_MS = 2000
DEADLINE_MS = 6000
CONNECT_TIMEOUT_MS = 8000.0  # longer than any test waits


def advance_clock(clock: LoopClock, seconds: float) -> None:
    """Makes a relay's clock jump ahead, as if its process had waited; timers that become due are not fired."""
    clock._started -= seconds


@contextlib.contextmanager
def keyed_settings(**allowed: Any) -> Iterator[None]:
    """Adds the keyed class `save` to the settings of `platform`, and changes its section `allowed`."""
    settings = postgres_platform.SETTINGS
    keyed_class = {
        **settings["requestClasses"][0],
        "name": "save",
        "repeat": "idempotency_key",
        "windowMs": float(WINDOW_MS),
        "deadlineMs": float(DEADLINE_MS),
    }
    changed = {
        "requestClasses": [*settings["requestClasses"], keyed_class],
        "allowed": {**settings["allowed"], "connectTimeoutMs": CONNECT_TIMEOUT_MS, **allowed},
    }
    with mock.patch.dict(settings, changed):
        yield


class HeldConnects:
    """Holds the connects of an HTTP relay's pools from now on until `release`."""

    def __init__(self, pools: ConnectionPools) -> None:
        self.waiting = asyncio.Event()  # a connect is held
        self._released = asyncio.Event()
        self._connect = pools._connect
        pools._connect = self._held_connect  # type: ignore[method-assign]

    async def _held_connect(self, pool: EndpointPool, end: float) -> socket.socket | None:
        self.waiting.set()
        await self._released.wait()
        return await self._connect(pool, end)

    def release(self) -> None:
        """Lets all connects go on."""
        self._released.set()
