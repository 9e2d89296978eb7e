"""Opening a listening socket whose address may not be free yet, since the relay's predecessor is still ending."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

RETRY_SECONDS = 20.0  # a predecessor that drains has ended by then
RETRY_INTERVAL_SECONDS = 0.1


async def listen_with_retry(
    listen: Callable[[str, int], tuple[str, int]], host: str, port: int, stop: asyncio.Event, log: Any
) -> tuple[str, int] | None:
    """Returns the bound address; None if `stop` was set before. Raises SystemExit if it cannot listen in time."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + RETRY_SECONDS
    failures = 0
    while not stop.is_set():
        try:
            return listen(host, port)
        except OSError as error:
            failures += 1
            if loop.time() >= ends_at:
                log.error("cannot listen", address=f"{host}:{port}", reason=str(error), failures=failures)
                raise SystemExit(1) from None
            if failures == 1:
                remedy = "free the address, or correct it in the settings"
                log.warning("cannot listen yet", address=f"{host}:{port}", reason=str(error), remedy=remedy)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
    return None
