"""Starts the relay on the platform, on uvloop."""

from __future__ import annotations

import gc
import sys

import uvloop

from lanelead.logs import logger
from lanelead.postgres_relay.config import load, path_from_environment
from lanelead.postgres_relay.service import Service
from lanelead.protocols.feeds import MessageError
from lanelead.runtime.process_signals import block_signals, exit_with_handlers, unblock_signals

GC_THRESHOLDS = (5_000, 20, 50)


def run(log_format: str) -> None:
    """Serves until SIGTERM; `log_format` is passed to `logger`.

    An invalid configuration file ends the process with one line on standard error and exit code 2.
    """
    block_signals()
    try:
        path = path_from_environment()
        config = load(path)
    except MessageError as error:
        print(f"lanelead: configuration: {error}", file=sys.stderr)
        raise SystemExit(2) from None
    log = logger(log_format)

    async def serve() -> None:
        service = Service(config, path, log)
        # Objects created up to here live as long as the process; freezing them keeps the garbage collector from
        # traversing them again and again while requests wait.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        service.install_signal_handlers()
        unblock_signals()
        await service.run(config)
        exit_with_handlers()

    uvloop.run(serve())
