"""Carries out what a runner wants, by calls to the store; decides nothing itself."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from lanelead.http.client import CallFailedError, call
from lanelead.http.responses import HttpResponse
from lanelead.migrations import runner
from lanelead.migrations.backoff import Pace
from lanelead.migrations.migration_log import Broken, Record
from lanelead.migrations.runner import Goal, Reply, Runner, Want
from lanelead.protocols.feeds import MessageError, decode, encode
from lanelead.protocols.migrations import (
    AppendReply,
    AppendRequest,
    EffectProgress,
    ForgetRequest,
    Lease,
    LeaseRequest,
    LoggedEntry,
    MigrationLogPage,
    RejectedCall,
)
from lanelead.protocols.migrations import UnacknowledgedRelays as UnseenAnswer
from lanelead.settings.records import Address

T = TypeVar("T", bound=msgspec.Struct)
CALL = 5.0  # seconds for a call that has no limit of its own


class Away(Exception):
    """The store could not be asked; the text says why."""


class GivenUp(Exception):
    """Relays have not seen a closing in time; the text says which."""


class Client:
    """Calls to the store. A call ends in its answer, in Refusal, or is unknown: Away."""

    def __init__(self, address: Address) -> None:
        self._address, self._loop = address, asyncio.get_running_loop()

    async def ask(
        self, method: str, path: str, kind: type[T], body: msgspec.Struct | None = None, limit: float = CALL
    ) -> T | RejectedCall:
        text = b"" if body is None else encode(body)
        try:
            answer: HttpResponse = await call(self._loop, self._address, method, path.encode(), text, limit)
            if answer.status == 200:
                return msgspec.json.decode(answer.body, type=kind)
            if answer.status in (400, 409, 422):
                return decode(answer.body, RejectedCall)
        except TimeoutError:
            raise Away(f"no answer in {limit:g} s") from None
        except (CallFailedError, MessageError, msgspec.MsgspecError) as fault:
            raise Away(str(fault)) from None
        raise Away(f"status {answer.status}")

    async def read(self, record: Record) -> None:
        """Brings a record up to date. Raises Away, or Broken where the entries follow no rules."""
        while True:
            page = await self.ask("GET", f"/record?since={record.seq}", MigrationLogPage)
            if isinstance(page, RejectedCall):
                raise Away(page.text)
            for logged in page.entries:
                record.add(logged)
            if record.seq >= page.last or not page.entries:
                return


class Conductor:
    """One runner at work. `at` is called around every request: tests end the process there."""

    def __init__(
        self,
        goal: Goal,
        name: str,
        client: Client,
        ttl: float = 5.0,
        log: Any = None,
        moved: Callable[[Record, EffectProgress | None], None] = lambda record, marks: None,
        at: Callable[[str], None] = lambda point: None,
        patience: float = 30.0,
        without: frozenset[int] = frozenset(),
    ) -> None:
        self._name, self._client, self._ttl, self._log = name, client, ttl, log
        self._moved, self._at, self._patience, self._without = moved, at, patience, without
        self.record, self.runner = Record(), Runner(goal)
        self._paces = dict[int, Pace]()

    async def run(self) -> runner.Stop:
        """Until the goal is reached or can't be; the record says where it stands either way."""
        silent_since = None
        while True:
            want = self.runner.want(self.record)
            if isinstance(want, runner.Stop):
                await self._release()
                return want
            name = type(want).__name__.lower()
            self._at(f"{name}.before")
            try:
                reply = await self._do(want)
                silent_since = None
            except Away as fault:
                reply = runner.Unknown(str(fault))
                silent_since = silent_since or time.monotonic()
                self._say("the store gave no answer", wanted=name, reason=str(fault))
                if time.monotonic() - silent_since > self._patience:
                    text = f"the store is away: {fault}; run again to find out where it stands"
                    return runner.Stop(False, text)
                await asyncio.sleep(0.05)
            except GivenUp as fault:
                await self._release()
                return runner.Stop(False, str(fault))
            except Broken as fault:
                return runner.Stop(False, f"the record is not to be understood: {fault}")
            self._at(f"{name}.after")
            self.runner = self.runner.heard(want, reply)
            self._moved(self.record, self.runner.marks)

    def _say(self, text: str, **facts: Any) -> None:
        if self._log is not None:
            self._log.info(text, **facts)

    async def _release(self) -> None:
        if self.runner.token:
            try:
                await self._client.ask("POST", "/release", Lease, Lease(self.runner.token))
            except Away:
                return  # it ends by itself

    async def _do(self, want: Want) -> Reply:
        match want:
            case runner.Take():
                return await self._take()
            case runner.Read():
                await self._client.read(self.record)
                return runner.Done()
            case runner.Append():
                return await self._append(want)
            case runner.Ask(intent):
                marks = await self._client.ask("GET", f"/marks?intent={intent}", EffectProgress)
                return _refused(marks) if isinstance(marks, RejectedCall) else marks
            case runner.Unseen(closing):
                return await self._unseen(closing)
            case runner.Apply():
                return await self._apply(want)
            case runner.Stop():
                raise AssertionError("nothing is wanted any more")

    async def _take(self) -> Reply:
        """Where another runner has the lease, it is waited for: it may be dead, and its lease end."""
        began = time.monotonic()
        while True:
            told = await self._client.ask("POST", "/lease", Lease, LeaseRequest(self._name, self._ttl * 1000))
            if not isinstance(told, RejectedCall):
                self._say("lease", token=told.token)
                return runner.Token(told.token)
            if told.why != "held" or time.monotonic() - began > self._patience:
                return _refused(told)
            await asyncio.sleep(min(0.1, self._ttl / 4))

    async def _append(self, want: runner.Append) -> Reply:
        ask = AppendRequest(want.token, want.after, want.entry)
        told = await self._client.ask("POST", "/record", AppendReply, ask)
        if isinstance(told, RejectedCall):
            return _refused(told)
        entry = want.entry
        self.record.add(LoggedEntry(told.seq, want.token, self._name, 0.0, entry))
        self._say("written", kind=entry.kind, step=entry.step, way=entry.way, seq=told.seq)
        return runner.Done()

    async def _unseen(self, closing: int) -> Reply:
        began, said = time.monotonic(), list[int]()
        while True:
            told = await self._client.ask("GET", f"/unseen?closing={closing}", UnseenAnswer)
            if isinstance(told, RejectedCall):
                return _refused(told)
            for relay in [relay for relay in told.relays if relay in self._without]:
                self._say("a relay is taken for gone", relay=relay)
                await self._client.ask("POST", "/forget", ForgetRequest, ForgetRequest(self.runner.token, relay))
            if not told.relays:
                return runner.Waiting(())
            if time.monotonic() - began > self._patience:
                text = f"relays {told.relays} have not seen that traffic must end: nothing was changed yet; "
                raise GivenUp(text + "run again, undo, or say --without-relay for one that is gone for good")
            if told.relays != said:
                said = told.relays
                self._say("waiting for relays", relays=said)
            await asyncio.sleep(0.02)
            renewed = await self._client.ask("POST", "/renew", Lease, Lease(self.runner.token))
            if isinstance(renewed, RejectedCall):
                return _refused(renewed)

    async def _apply(self, want: runner.Apply) -> Reply:
        ask, pace = want.ask, None
        mark = self.record.under_way()
        if want.batched and ask.span is not None and mark is not None and (batch := mark.step.batch):
            most = max(1, min(batch.rows, int(batch.rate)))  # so that no wait outlasts a lease
            fresh = Pace(most, batch.rate, batch.hold_ms / 1000)
            pace = self._paces.setdefault(ask.intent, fresh)
            ask = msgspec.structs.replace(ask, span=msgspec.structs.replace(ask.span, rows=pace.rows))
        began = time.monotonic()
        told = await self._client.ask("POST", "/apply", EffectProgress, ask, want.limit_ms / 1000)
        if isinstance(told, RejectedCall):
            self._say("not done", step=mark.step.name if mark else "", why=told.why, reason=told.text)
            return _refused(told)
        if pace is not None and not told.finished:
            rows = min(pace.rows, told.rows)
            await asyncio.sleep(pace.after(rows, time.monotonic() - began))
        return told


def _refused(told: RejectedCall) -> Reply:
    return runner.Refused(told.why, told.text)
