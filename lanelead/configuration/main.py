"""Runs a replica of the configuration on uvloop."""

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
    """Serves until SIGTERM or SIGINT; prints `ready HOST:PORT` on standard output once the replica listens.

    Exits with 2 if the store cannot be opened or the address cannot be listened at.
    """
    log = logger(settings.log).bind(machine=settings.replica)

    async def serve() -> None:
        stop_requested, loop = asyncio.Event(), asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop_requested.set)
        try:
            store = Store(settings.store, log=settings.bounds.log_changes)
            service = Service(settings, store, log, Random(SystemRandom().getrandbits(64)))
            await service.open()
        except StoreError as error:
            print(f"lanelead: {error}; {error.remedy}", file=sys.stderr)
            raise SystemExit(2) from None
        except OSError as error:
            print(f"lanelead: cannot listen: {error}", file=sys.stderr)
            raise SystemExit(2) from None
        sys.stdout.write(f"ready {settings.listen or settings.own.address}\n")
        sys.stdout.flush()
        await stop_requested.wait()
        await service.close()

    uvloop.run(serve())
