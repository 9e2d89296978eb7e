"""A minimal relay with endpoints that write to a migration store's schema while its steps run."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time

import msgspec

from lanelead.decisions.interface import Attempt, DeduplicationScope, Idempotency, Request, RequestClass, Ticks
from lanelead.http.client import CallFailedError, call, stream
from lanelead.migrations.readiness import Readiness
from lanelead.protocols.feeds import decode
from lanelead.protocols.migrations import AcknowledgeRequest, MigrationLogPage, SchemaCheck
from lanelead.settings.migration_settings import BuildRequirements, MigrationPlan
from lanelead.settings.service_settings import Address

TICKS_PER_SECOND = 10_000
RELAY = 7
GRACE: Ticks = 1000
WRITE_INTERVAL_SECONDS = 0.004
ACKNOWLEDGEMENT_INTERVAL_SECONDS = 0.005
RECONNECT_DELAY_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 1.0
STREAM_TIMEOUT_SECONDS = 3.0
JOIN_TIMEOUT_SECONDS = 10
WRITE_CLASS = RequestClass(
    "file", 5_000, 10_000, 1.0, 0.0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, False, 0.0
)


class WriteTraffic:
    """Follows the migration log in a thread, writes by each build that may have traffic, and acknowledges barriers.

    Which builds may have traffic, and which barriers are due, is decided by the relay's own `Readiness`. `failures`
    describes the writes that did not fit the schema; `writes` counts all answered writes by build.
    heed_readiness: False injects a fault: all builds write at any time.
    """

    def __init__(self, port: int, plan: MigrationPlan, heed_readiness: bool = True) -> None:
        self._address = Address("127.0.0.1", port)
        self._plan = plan
        self._heed_readiness = heed_readiness
        self.failures: list[str] = []
        self.writes: dict[int, int] = {}
        self._closing = False
        self._began = time.monotonic()
        self._readiness = Readiness(GRACE, 0)
        self._thread = threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stops the traffic."""
        self._closing = True
        self._thread.join(JOIN_TIMEOUT_SECONDS)

    def _now(self) -> Ticks:
        return int((time.monotonic() - self._began) * TICKS_PER_SECOND)

    async def _run(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._readiness.builds_listed([min(requirements.build for requirements in self._plan.builds)])
        tasks = [asyncio.create_task(self._follow_log()), asyncio.create_task(self._acknowledge())]
        while not self._closing:
            for requirements in self._plan.builds:
                if self._readiness.accepts_traffic(requirements.build) or not self._heed_readiness:
                    tasks.append(asyncio.create_task(self._write(requirements)))
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            tasks = [task for task in tasks if not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _follow_log(self) -> None:
        while True:
            path = b"/record/watch?relay=%d&since=%d" % (RELAY, self._readiness.log.last_seq)
            try:
                async for line in stream(self._loop, self._address, path, STREAM_TIMEOUT_SECONDS):
                    self._readiness.page_received(decode(line, MigrationLogPage))
            except CallFailedError:
                await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _acknowledge(self) -> None:
        while True:
            await asyncio.sleep(ACKNOWLEDGEMENT_INTERVAL_SECONDS)
            due = self._readiness.acknowledgement_due(self._now())
            if due:
                with contextlib.suppress(CallFailedError, TimeoutError):
                    body = msgspec.json.encode(AcknowledgeRequest(RELAY, due))
                    response = await call(self._loop, self._address, "POST", b"/seen", body, CALL_TIMEOUT_SECONDS)
                    if response.status == 200:
                        self._readiness.acknowledged_seq = due

    async def _write(self, requirements: BuildRequirements) -> None:
        build = requirements.build
        request = Request(WRITE_CLASS, None, None, self._now(), self._now() + 10_000)
        attempt = Attempt(request, None, 0, self._now(), 10_000)  # type: ignore[arg-type]
        self._readiness.attempt_sent(build, attempt)
        known = False
        try:
            body = msgspec.json.encode(SchemaCheck(build, "filed", requirements.write))
            response = await call(self._loop, self._address, "POST", b"/file", body, CALL_TIMEOUT_SECONDS)
            known = True
            self.writes[build] = self.writes.get(build, 0) + 1
            if response.status != 200:
                self.failures.append(f"build {build}: {response.body.decode()}")
        except (CallFailedError, TimeoutError):
            pass  # the store was unavailable, and may still carry out the write
        finally:
            self._readiness.attempt_ended(attempt, known)
