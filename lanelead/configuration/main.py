"""Starts a machine of the configuration on uvloop."""

from __future__ import annotations

import asyncio
import signal
import sys
from random import Random, SystemRandom

import uvloop

from lanelead.configuration.service import Service
from lanelead.configuration.settings import Settings
from lanelead.configuration.store import Store, StoreError
from lanelead.logs import logger


def run(settings: Settings) -> None:
    """Serves until SIGTERM or SIGINT. The line `ready HOST:PORT` on standard output says that it listens."""
    log = logger(settings.log).bind(machine=settings.replica)

    async def serve() -> None:
        over, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, over.set)
        try:
            store = Store(settings.store, log=settings.bounds.log_changes)
            service = Service(settings, store, log, Random(SystemRandom().getrandbits(64)))
            await service.open()
        except StoreError as fault:
            print(f"lanelead: {fault}; {fault.remedy}", file=sys.stderr)
            raise SystemExit(2) from None
        except OSError as fault:
            print(f"lanelead: cannot listen: {fault}", file=sys.stderr)
            raise SystemExit(2) from None
        sys.stdout.write(f"ready {settings.listen or settings.own.address}\n")
        sys.stdout.flush()
        await over.wait()
        await service.close()

    uvloop.run(serve())
