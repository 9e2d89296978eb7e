"""Runs emulated migration stores for a test, in a thread or in a process."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from lanelead.protocols.migrations import BARRIER, LoggedEntry
from lanelead.store.migration_store import MigrationStore
from lanelead.testbed.emulators.migration_store import FaultyMigrationStoreServer

ACKNOWLEDGEMENT_DELAY_SECONDS = 0.005
TIMEOUT_SECONDS = 10


class RunningStore(Protocol):
    """A running store; `file` is its database, `port` its port on loopback."""

    file: Path
    port: int

    def inject(self, **fault: Any) -> None:
        """Injects a fault; the arguments are the fields of migration_store.StoreFault."""

    def close(self) -> None:
        """Stops the store."""


class AcknowledgingStoreServer(FaultyMigrationStoreServer):
    """A store that acknowledges every barrier as relay 0, after ACKNOWLEDGEMENT_DELAY_SECONDS."""

    def entry_recorded(self, logged: LoggedEntry) -> None:
        """Schedules the acknowledgement of a barrier entry."""
        if logged.entry.kind == BARRIER:
            loop = asyncio.get_running_loop()
            loop.call_later(ACKNOWLEDGEMENT_DELAY_SECONDS, self.store.acknowledge, 0, logged.seq)


class StoreThread:
    """An acknowledging store in a thread of this process."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.port = 0
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait(TIMEOUT_SECONDS)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._server = AcknowledgingStoreServer(MigrationStore(self.file))
        self._server.store.register_relay(0)
        # Durability against power loss is not tested here.
        self._server.store.connection.execute("PRAGMA synchronous=OFF")
        self.port = self._loop.run_until_complete(self._server.start(0))
        self._started.set()
        self._loop.run_forever()
        self._server.close()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    def inject(self, **fault: Any) -> None:
        """Injects a fault, and waits until it is active."""
        done = threading.Event()
        self._loop.call_soon_threadsafe(self._server.inject, fault)
        self._loop.call_soon_threadsafe(done.set)
        done.wait(TIMEOUT_SECONDS)

    def close(self) -> None:
        """Stops the store and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(TIMEOUT_SECONDS)


class StoreProcess:
    """A store in a child process, which is restarted at the same port whenever it has ended."""

    def __init__(self, file: Path, free_port: Callable[[], int]) -> None:
        self.file = file
        self.port = free_port()
        self._closing = False
        self._process = self._start()
        while self._process.poll() is not None:  # another process has taken this port
            self.port = free_port()
            self._process = self._start()
        self._restarter = threading.Thread(target=self._restart_when_killed, daemon=True)
        self._restarter.start()

    def _start(self) -> subprocess.Popen[bytes]:
        args = [sys.executable, "-m", "lanelead.testbed.emulators.migration_store", str(self.file), str(self.port)]
        process = subprocess.Popen(args, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        assert process.stdout is not None
        if not process.stdout.readline():
            process.wait()
        return process

    def _restart_when_killed(self) -> None:
        while not self._closing:
            process = self._process
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe is not None:
                    pipe.close()
            if not self._closing:
                self._process = self._start()

    def inject(self, **fault: Any) -> None:
        """Injects a fault, and waits until it is active."""
        stdin = self._process.stdin
        stdout = self._process.stdout
        assert stdin is not None
        assert stdout is not None
        stdin.write(json.dumps(fault).encode() + b"\n")
        stdin.flush()
        stdout.readline()

    def close(self) -> None:
        """Stops the process; it is not restarted."""
        self._closing = True
        self._process.send_signal(signal.SIGTERM)
        self._restarter.join(TIMEOUT_SECONDS)
