"""Starts a relay's process on uvloop."""

from __future__ import annotations

import gc
import sys

import uvloop

from lanelead.http_relay.service import DecisionWrapper, Service
from lanelead.logs import logger
from lanelead.settings.relay_settings import RelaySettings

COLLECTOR_THRESHOLDS = (20_000, 20, 100)


def run(settings: RelaySettings, log_format: str, wrapper: DecisionWrapper | None = None) -> None:
    """Serves until SIGTERM. The line `ready HOST PORT` on standard output says that it listens."""
    log = logger(log_format)

    def ready(host: str, port: int) -> None:
        sys.stdout.write(f"ready {host} {port}\n")
        sys.stdout.flush()

    # What was made up to here lives as long as the process. Left to the collector it would be walked again and again,
    # tens of milliseconds at a time, while requests wait.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)

    async def serve() -> None:
        await Service(settings, log, wrapper).run(ready)

    uvloop.run(serve())
