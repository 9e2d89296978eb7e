"""Starts the relay on the platform, on uvloop."""

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
GC_THRESHOLDS = (5_000, 20, 50)


def run(log_format: str) -> None:
    """Serves until SIGTERM; `log_format` is passed to `logger`.

    An invalid configuration file ends the process with one line on standard error and exit code 2.
    """
    # Until its handler is installed, a signal would end the process: it is blocked, and delivered after that.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
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
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        await service.run(config)

    uvloop.run(serve())
