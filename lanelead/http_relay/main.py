"""Starts a relay's process on uvloop."""

from __future__ import annotations

import gc
import sys

import uvloop

from lanelead.http_relay.service import Seam, Service
from lanelead.logs import logger
from lanelead.settings.records import Relay


def run(settings: Relay, form: str, seam: Seam | None = None) -> None:
    """Serves until SIGTERM. The line `ready HOST PORT` on standard output says that it listens."""
    log = logger(form)

    def ready(host: str, port: int) -> None:
        sys.stdout.write(f"ready {host} {port}\n")
        sys.stdout.flush()

    # What was made up to here lives as long as the process. Left to the collector it would be walked again
    # and again, tens of milliseconds at a time, while lookups wait. It could harm only a process that reads
    # settings over and over.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 100)

    async def serve() -> None:
        await Service(settings, log, seam).run(ready)

    uvloop.run(serve())
