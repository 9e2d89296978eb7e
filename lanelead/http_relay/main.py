"""Runs the process of an HTTP relay, on uvloop."""

from __future__ import annotations

import contextlib
import gc
import os

import uvloop

from lanelead.http_relay.service import DecisionWrapper, Service
from lanelead.logs import logger
from lanelead.runtime.process_signals import block_signals, exit_with_handlers, unblock_signals
from lanelead.settings.relay_settings import RelaySettings

STANDARD_OUTPUT_DESCRIPTOR = 1
GC_THRESHOLDS = (20_000, 20, 100)  # for gc.set_threshold


def run(settings: RelaySettings, log_format: str, wrapper: DecisionWrapper | None = None) -> None:
    """Serves until SIGTERM. Writes the line `ready HOST PORT` to standard output once it listens."""
    block_signals()
    log = logger(log_format)

    def ready(host: str, port: int) -> None:
        with contextlib.suppress(OSError):  # nobody may read it, or the disk may be full
            os.write(STANDARD_OUTPUT_DESCRIPTOR, f"ready {host} {port}\n".encode())

    # The objects created so far live as long as the process. Without the freeze the garbage collector would traverse
    # them repeatedly, which takes tens of milliseconds each time, while requests wait.
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)

    async def serve() -> None:
        service = Service(settings, log, wrapper)
        service.install_signal_handlers()
        unblock_signals()
        await service.run(ready)
        exit_with_handlers()

    uvloop.run(serve())
