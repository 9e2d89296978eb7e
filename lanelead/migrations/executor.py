"""Sends a runner's calls to the migration store and waits as needed; all decisions are the runner's."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from lanelead.migrations.batch_pacing import BatchPacer
from lanelead.migrations.calls import (
    AcquireLease,
    AppendEntry,
    ApplyPart,
    BarrierStatus,
    CallCompleted,
    CallRejected,
    LeaseGranted,
    OutcomeUnknown,
    QueryProgress,
    QueryUnacknowledged,
    ReadLog,
    Reply,
    RunnerAction,
    RunResult,
)
from lanelead.migrations.client import MigrationStoreClient
from lanelead.migrations.errors import AcknowledgementTimeoutError, InvalidEntryError, StoreUnavailableError
from lanelead.migrations.migration_log import MigrationLog
from lanelead.migrations.runner import Goal, Runner
from lanelead.protocols.migrations import (
    AppendReply,
    AppendRequest,
    EffectProgress,
    ForgetRequest,
    Lease,
    LeaseRequest,
    LoggedEntry,
    RejectedCall,
    UnacknowledgedRelays,
)

RETRY_DELAY_SECONDS = 0.05
MAX_LEASE_POLL_SECONDS = 0.1
ACKNOWLEDGEMENT_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class ExecutorOptions:
    """Options of a run.

    lease_ttl_seconds: how long the lease lasts unless renewed.
    wait_seconds: how long to wait for the store, for another runner's lease, and for relays' acknowledgements.
    without_relays: relays that will not return, for which barriers do not wait.
    """

    lease_ttl_seconds: float = 5.0
    wait_seconds: float = 30.0
    without_relays: frozenset[int] = frozenset()


DEFAULT_OPTIONS = ExecutorOptions()


class MigrationExecutor:
    """Executes one run: asks the runner for the next call, sends it, and passes the reply to the runner.

    logger: a structlog logger for the run's events, or None.
    on_progress: called after each call with the log, and with the progress of the active intent or None.
    on_point: called before and after each call with the name of that point, at which tests end the process.
    """

    def __init__(
        self,
        goal: Goal,
        name: str,
        client: MigrationStoreClient,
        *,
        options: ExecutorOptions = DEFAULT_OPTIONS,
        logger: Any = None,
        on_progress: Callable[[MigrationLog, EffectProgress | None], None] = lambda log, progress: None,
        on_point: Callable[[str], None] = lambda point: None,
    ) -> None:
        self._name = name
        self._client = client
        self._options = options
        self._logger = logger
        self._on_progress = on_progress
        self._on_point = on_point
        self.log = MigrationLog()
        self.runner = Runner(goal)
        self._pacers: dict[int, BatchPacer] = {}  # by the sequence number of the intent

    async def run(self) -> RunResult:
        """Runs until the goal is reached or can't be reached; the migration log has the steps that were done."""
        unavailable_since = None
        while True:
            call = self.runner.next_call(self.log)
            if isinstance(call, RunResult):
                await self._release_lease()
                return call
            self._on_point(f"{call.name}.before")
            reply: Reply
            try:
                reply = await self._carry_out(call)
                unavailable_since = None
            except StoreUnavailableError as error:
                reply = OutcomeUnknown(str(error))
                unavailable_since = unavailable_since or time.monotonic()
                self._log_event("migration store unavailable", call=call.name, reason=str(error))
                if time.monotonic() - unavailable_since > self._options.wait_seconds:
                    return RunResult(
                        False, f"the migration store is unavailable: {error}; run again to continue from the log"
                    )
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            except AcknowledgementTimeoutError as error:
                await self._release_lease()
                return RunResult(False, str(error))
            except InvalidEntryError as error:
                return RunResult(False, f"the store's migration log is invalid: {error}")
            self._on_point(f"{call.name}.after")
            self.runner = self.runner.after_reply(call, reply)
            self._on_progress(self.log, self.runner.progress)

    def _log_event(self, event: str, **fields: Any) -> None:
        if self._logger is not None:
            self._logger.info(event, **fields)

    async def _release_lease(self) -> None:
        if self.runner.token:
            try:
                await self._client.call("POST", "/release", Lease, Lease(self.runner.token))
            except StoreUnavailableError:
                return  # the lease expires

    async def _carry_out(self, call: RunnerAction) -> Reply:
        match call:
            case AcquireLease():
                return await self._acquire_lease()
            case ReadLog():
                await self._client.read_log(self.log)
                return CallCompleted()
            case AppendEntry():
                return await self._append(call)
            case QueryProgress(intent_seq):
                progress = await self._client.call("GET", f"/marks?intent={intent_seq}", EffectProgress)
                return _rejection(progress) if isinstance(progress, RejectedCall) else progress
            case QueryUnacknowledged(barrier_seq):
                return await self._wait_for_relays(barrier_seq)
            case ApplyPart():
                return await self._apply(call)
            case RunResult():
                raise AssertionError("a result is not a call")

    async def _acquire_lease(self) -> Reply:
        """Acquires the lease; waits while another runner holds it, since the lease of a dead runner expires."""
        began = time.monotonic()
        ttl_seconds = self._options.lease_ttl_seconds
        while True:
            reply = await self._client.call("POST", "/lease", Lease, LeaseRequest(self._name, ttl_seconds * 1000))
            if not isinstance(reply, RejectedCall):
                self._log_event("lease acquired", token=reply.token)
                return LeaseGranted(reply.token)
            if reply.reason != "held" or time.monotonic() - began > self._options.wait_seconds:
                return _rejection(reply)
            await asyncio.sleep(min(MAX_LEASE_POLL_SECONDS, ttl_seconds / 4))

    async def _append(self, call: AppendEntry) -> Reply:
        """Appends an entry to the store's log and to the local copy."""
        entry = call.entry
        request = AppendRequest(call.token, call.after_seq, entry)
        reply = await self._client.call("POST", "/record", AppendReply, request)
        if isinstance(reply, RejectedCall):
            return _rejection(reply)
        self.log.append(LoggedEntry(reply.seq, call.token, self._name, 0.0, entry))
        self._log_event(
            "log entry appended", kind=entry.kind, step=entry.step, direction=entry.direction, seq=reply.seq
        )
        return CallCompleted()

    async def _wait_for_relays(self, barrier_seq: int) -> Reply:
        """Waits for all relays to acknowledge a barrier; renews the lease. Raises AcknowledgementTimeoutError."""
        began = time.monotonic()
        logged_relays: list[int] = []
        token = self.runner.token
        while True:
            reply = await self._client.call("GET", f"/unseen?closing={barrier_seq}", UnacknowledgedRelays)
            if isinstance(reply, RejectedCall):
                return _rejection(reply)
            for relay in reply.relays:
                if relay in self._options.without_relays:
                    self._log_event("relay forgotten", relay=relay)
                    await self._client.call("POST", "/forget", ForgetRequest, ForgetRequest(token, relay))
            if not reply.relays:
                return BarrierStatus(())
            if time.monotonic() - began > self._options.wait_seconds:
                raise AcknowledgementTimeoutError(reply.relays)
            if reply.relays != logged_relays:
                logged_relays = reply.relays
                self._log_event("waiting for relays", relays=logged_relays)
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_SECONDS)
            renewed = await self._client.call("POST", "/renew", Lease, Lease(token))
            if isinstance(renewed, RejectedCall):
                return _rejection(renewed)

    async def _apply(self, call: ApplyPart) -> Reply:
        """Applies one part; for a backfill, sets the batch size and pauses after the batch."""
        request = call.request
        active = self.log.active_step()
        pacer = self._pacer(call)
        if pacer is not None and request.batch_range is not None:
            batch_range = msgspec.structs.replace(request.batch_range, max_rows=pacer.rows)
            request = msgspec.structs.replace(request, batch_range=batch_range)
        began = time.monotonic()
        reply = await self._client.call("POST", "/apply", EffectProgress, request, call.timeout_ms / 1000)
        if isinstance(reply, RejectedCall):
            step = active.step.name if active else ""
            self._log_event("part rejected", step=step, reason=reply.reason, message=reply.message)
            return _rejection(reply)
        if pacer is not None and not reply.finished:
            rows = min(pacer.rows, reply.rows)
            await asyncio.sleep(pacer.wait_after_batch(rows, time.monotonic() - began))
        return reply

    def _pacer(self, call: ApplyPart) -> BatchPacer | None:
        """The pacer of the active backfill's intent; None for other steps."""
        active = self.log.active_step()
        if not call.batched or active is None or active.step.batch is None:
            return None
        batch = active.step.batch
        # At most the rows of one second at the plan's rate, so that no pause outlasts the lease.
        max_rows = max(1, min(batch.rows, int(batch.rate)))
        fresh = BatchPacer(max_rows, batch.rate, batch.hold_ms / 1000)
        return self._pacers.setdefault(call.request.intent_seq, fresh)


def _rejection(rejected: RejectedCall) -> CallRejected:
    return CallRejected(rejected.reason, rejected.message)
