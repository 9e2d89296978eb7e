"""Starts the platform's relay on uvloop."""

from __future__ import annotations

import gc
import signal
import sys

import uvloop

from lanelead.logs import logger
from lanelead.postgres_relay.config import load, path_from_environment
from lanelead.postgres_relay.service import Service
from lanelead.protocols.feeds import MessageError

BLOCKED_SIGNALS = {signal.SIGHUP, signal.SIGTERM}


def run(form: str) -> None:
    """Serves until SIGTERM. A configuration that can't be read ends the process with one line and 2."""
    # Until its handler stands a signal would end the process at whatever it is doing: it waits for that.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    try:
        where = path_from_environment()
        config = load(where)
    except MessageError as fault:
        print(f"lanelead: configuration: {fault}", file=sys.stderr)
        raise SystemExit(2) from None
    log = logger(form)

    async def serve() -> None:
        service = Service(config, where, log)
        # What was made up to here lives as long as the process: left to the collector it would be walked
        # again and again while lookups wait.
        gc.collect()
        gc.freeze()
        gc.set_threshold(5_000, 20, 50)
        service.install_signal_handlers()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        await service.run(config)

    uvloop.run(serve())
