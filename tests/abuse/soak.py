"""A soak of one relay by seed: `python -m tests.abuse.soak RELAY FIRST_SEED RUNS`.

Limits, signals and a crowd of abusive clients are drawn by the seed. Regular clients go on using their connections
until SIGKILL, which comes as early as the pages allow. Each run prints a line; the exit code is 1 after a fault.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import uvloop

from tests.abuse.endpoints import AttemptKind
from tests.abuse.measurement import start_abusive_clients
from tests.abuse.patterns import PATTERNS
from tests.abuse.process_memory import ProcessUsage, watch_usage
from tests.abuse.regular_clients import Answer, RegularAnswers, RegularClient
from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import MOST, GivenLimits, RelayUnderTest, relay_under_test

MEMORY_CHOICES_MB = (32, 48, 64, 96, 128, 192)
DESCRIPTOR_CHOICES = (256, 384, 512, 768, 1024)
CROWD_SHARE = 0.4  # of the runs
CLIENTS = 20
PAUSE_SECONDS = 0.05
LONGEST_DEADLINE_SECONDS = 1.5  # of the settings' classes
KILL_SECONDS = LONGEST_DEADLINE_SECONDS + 0.7  # from SIGTERM to SIGKILL, at the earliest
TAKEN_SECONDS = 0.7  # a request that comes later after SIGTERM may be unanswered at SIGKILL
NEW_CONNECTION_SECONDS = 0.3  # for how long after SIGTERM new connections come
LIVES = 3
CROWD_SECONDS = 25.0


@dataclass
class Life:
    """One process of the relay: when it was told to end (SIGTERM) and when it was killed; None: not yet."""

    terminated_at: float | None = None
    killed_at: float | None = None

    @property
    def accepts_new(self) -> bool:
        """Whether clients may still open connections."""
        if self.killed_at is not None:
            return False
        return self.terminated_at is None or time.monotonic() < self.terminated_at + NEW_CONNECTION_SECONDS

    def excuses(self, sent_at: float, ended_at: float) -> bool:
        """Returns whether a request without an answer is not lost, by when it was sent and when it failed."""
        if self.terminated_at is None:
            return self.killed_at is not None and ended_at >= self.killed_at - 0.01  # killed outright
        return sent_at > self.terminated_at + TAKEN_SECONDS


@dataclass
class SoakResult:
    """What a run has shown."""

    kind: RelayKind
    seed: int
    limits: GivenLimits
    crowd: str | None
    endings: list[str] = field(default_factory=list)
    answers: Counter[Answer] = field(default_factory=Counter)
    faults: list[str] = field(default_factory=list)
    usage: ProcessUsage = field(default_factory=ProcessUsage)
    unanswered: list[tuple[str, bool, str]] = field(default_factory=list)  # id, on a new connection, what happened

    def line(self) -> str:
        """Returns the result as a line of a report."""
        answers = ", ".join(f"{self.answers[answer]} {answer.value}" for answer in Answer if self.answers[answer])
        return (
            f"{self.kind} seed {self.seed} | {self.limits.memory_mb}/{self.limits.descriptors} | {self.usage.line()} | "
            f"{' '.join(self.endings)} | crowd: {self.crowd} | {answers} | {'; '.join(self.faults) or 'held'}"
        )


class SoakClient(RegularClient):
    """A regular client that goes on beyond the relay's end, and records which requests had no answer."""

    def __init__(self, run: SoakRun, name: str, rng: Random) -> None:
        super().__init__(run.relay.kind, run.relay.port, name, RegularAnswers(), True, rng)
        self._run = run

    async def run_until_cancelled(self) -> None:
        """Sends one request after another, on one connection for as long as that stays open."""
        try:
            while True:
                await asyncio.sleep(self._rng.uniform(0.5, 1.5) * PAUSE_SECONDS)
                if self._streams is not None or self._run.life.accepts_new:
                    await self._ask_once()
        finally:
            self._drop()

    async def _ask_once(self) -> None:
        life = self._run.life
        is_new = self._streams is None
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        sent_at = time.monotonic()
        answer = Answer.NEVER
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.timeout_seconds):
                answer = await self._answer_or_close(request_id)
        if answer in (Answer.CLOSED, Answer.NEVER):
            was_connected = self._streams is not None
            self._drop()
            if not was_connected or life.excuses(sent_at, time.monotonic()):  # no relay listens, or it may be lost
                return
            self._run.result.unanswered.append((request_id, is_new, f"{answer.value} {life}"))
            return
        self._run.result.answers[answer] += 1


class SoakRun:
    """One run."""

    def __init__(self, relay: RelayUnderTest, result: SoakResult, rng: Random) -> None:
        self.relay = relay
        self.result = result
        self.life = Life()
        self._rng = rng

    async def run(self) -> None:
        """Runs LIVES processes one after another, with clients all the time."""
        crowd = None
        if self.result.crowd is not None:
            crowd = await start_abusive_clients(self.relay, self.result.crowd, CROWD_SECONDS)
        tasks = [
            asyncio.create_task(SoakClient(self, f"usual{number}", Random(self._rng.random())).run_until_cancelled())
            for number in range(CLIENTS)
        ]
        try:
            for number in range(LIVES):
                await self._live(is_last=number == LIVES - 1)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if crowd is not None:
                crowd.kill()
                await crowd.wait()
        await self._evaluate()

    async def _live(self, is_last: bool) -> None:
        rng = self._rng
        watching = asyncio.create_task(watch_usage(self.relay.process.pid, self.result.usage))
        await asyncio.sleep(rng.uniform(1.0, 2.5))
        for _ in range(rng.choice((0, 0, 1, 3, 6))):
            self._send(signal.SIGHUP)
            await asyncio.sleep(rng.choice((0.0, 0.01, 0.2)))
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        if self.relay.process.returncode is not None:
            self.result.faults.append(f"the process ended by itself: {self.relay.process.returncode}")
        if is_last or rng.random() < 0.7:
            await self._terminate()
        else:
            self.result.endings.append("SIGKILL")
        self.life.killed_at = time.monotonic()
        await self.relay.stop()
        watching.cancel()
        if not is_last:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await self.relay.start_again()
            self.life = Life()

    async def _terminate(self) -> None:
        series = self._rng.choice(((), (signal.SIGHUP,), (signal.SIGHUP, signal.SIGHUP)))
        self.result.endings.append("SIGTERM" + "+SIGHUP" * len(series))
        self.life.terminated_at = time.monotonic()
        self._send(signal.SIGTERM)
        for number in series:
            await asyncio.sleep(0.05)
            self._send(number)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.relay.process.wait(), self.life.terminated_at + KILL_SECONDS - time.monotonic())
        if self.relay.process.returncode not in (None, 0):
            self.result.faults.append(f"the process ended with {self.relay.process.returncode} after SIGTERM")

    def _send(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.relay.process.send_signal(number)

    async def _evaluate(self) -> None:
        result = self.result
        attempts = await self.relay.read_attempts()
        seen = {attempt.request_id for attempt in attempts}
        # A relay may close a connection between requests; a request that crosses this and was not read is sent again.
        lost = [entry for entry in result.unanswered if entry[1] or entry[0] in seen or entry[2].startswith("never")]
        if lost:
            result.faults.append(f"{len(lost)} lost: {lost[:3]}")
        executions = Counter(attempt.request_id for attempt in attempts if attempt.kind is AttemptKind.WRITE)
        repeated = [name for name, count in executions.items() if count > 1 and name.startswith("usual")]
        if repeated:
            result.faults.append(f"executed twice: {repeated[:3]}")
        if result.usage.total_bytes > result.limits.memory_mb * 1_000_000:
            result.faults.append("too much memory")
        if result.usage.descriptors > result.limits.descriptors:
            result.faults.append("too many descriptors")
        if not result.answers[Answer.SERVED]:
            result.faults.append("nothing was served")


async def soak(kind: RelayKind, seed: int) -> SoakResult:
    """Runs one seed."""
    rng = Random(f"{kind} {seed}")
    memory_mb = rng.choice(MEMORY_CHOICES_MB)
    descriptors = rng.choice(DESCRIPTOR_CHOICES)
    limits = GivenLimits(memory_mb if kind is RelayKind.POSTGRES else MOST.memory_mb, descriptors)
    crowd = rng.choice(list(PATTERNS)) if rng.random() < CROWD_SHARE else None
    result = SoakResult(kind, seed, limits, crowd)
    with tempfile.TemporaryDirectory() as folder:
        async with relay_under_test(kind, Path(folder), limits) as relay:
            await SoakRun(relay, result, rng).run()
    return result


async def main(kind: RelayKind, first_seed: int, runs: int) -> int:
    """Runs seeds one after another; returns the exit code."""
    has_fault = False
    for seed in range(first_seed, first_seed + runs):
        result = await soak(kind, seed)
        has_fault |= bool(result.faults)
        print(result.line(), flush=True)
    return int(has_fault)


if __name__ == "__main__":
    sys.exit(uvloop.run(main(RelayKind(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))))
