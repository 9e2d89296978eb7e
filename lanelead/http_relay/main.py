"""Runs the process of an HTTP relay, on uvloop."""

from __future__ import annotations

import gc
import sys

import uvloop

from lanelead.http_relay.service import DecisionWrapper, Service
from lanelead.logs import logger
from lanelead.settings.relay_settings import RelaySettings

GC_THRESHOLDS = (20_000, 20, 100)  # for gc.set_threshold


def run(settings: RelaySettings, log_format: str, wrapper: DecisionWrapper | None = None) -> None:
    """Serves until SIGTERM. Writes the line `ready HOST PORT` to standard output once it listens."""
    log = logger(log_format)

    def ready(host: str, port: int) -> None:
        sys.stdout.write(f"ready {host} {port}\n")
        sys.stdout.flush()

    # The objects created so far live as long as the process. Without the freeze the garbage collector would traverse
    # them repeatedly, which takes tens of milliseconds each time, while requests wait.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)

    async def serve() -> None:
        await Service(settings, log, wrapper).run(ready)

    uvloop.run(serve())
