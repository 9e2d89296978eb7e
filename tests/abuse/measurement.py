"""Measures one relay beside one pattern of abuse and beside regular clients, and compares it with the bounds."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.abuse.endpoints import LARGE_ANSWER_PREFIX, AttemptKind
from tests.abuse.process_memory import ProcessUsage, watch_usage
from tests.abuse.regular_clients import Answer, RegularAnswers, RegularClient
from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import MOST, ROOT, Attempt, GivenLimits, RelayUnderTest, relay_under_test

REGULAR_CLIENTS = 24
PAUSE_SECONDS = 0.1
LEAVING_SECONDS = 0.1 + 0.05  # no attempt may begin later after its client's close; 0.05 is for the measurement


@dataclass
class Measurement:
    """The result of one run.

    Attributes
    ----------
    baseline, regular
        The answers to regular clients before the abuse and during it.
    sent_after_close
        The attempts that came to an endpoint over LEAVING_SECONDS after their client's close, with the seconds.
    repeated
        The ids that endpoints executed more than once, of requests that are not idempotent.
    writes
        How many requests that are not idempotent were executed.
    counts
        What the abusive clients counted.
    """

    kind: RelayKind
    pattern: str
    limits: GivenLimits = MOST
    usage: ProcessUsage = field(default_factory=ProcessUsage)
    baseline: RegularAnswers = field(default_factory=RegularAnswers)
    regular: RegularAnswers = field(default_factory=RegularAnswers)
    sent_after_close: list[tuple[str, float]] = field(default_factory=list)
    repeated: Counter[str] = field(default_factory=Counter)
    writes: int = 0
    counts: dict[str, float] = field(default_factory=dict)
    running: bool = True  # whether the relay's process still ran at the end

    def faults(self) -> list[str]:
        """Returns the bounds that were not kept."""
        counts = self.regular.counts
        checks = {
            "the relay has ended": not self.running,
            "too much memory": self.usage.total_bytes > self.limits.memory_mb * 1_000_000,
            "too many descriptors": self.usage.descriptors > self.limits.descriptors,
            "no regular request was served": not counts[Answer.SERVED],
            "regular requests without an answer": counts[Answer.NEVER] + counts[Answer.CLOSED] > 0,
            "regular requests failed": counts[Answer.FAILED] > 0,
            "values of other requests": self.regular.foreign > 0,
            "attempts after a close": bool(self.sent_after_close),
            "executed twice": bool(self.repeated),
        }
        return [name for name, is_fault in checks.items() if is_fault]

    def line(self) -> str:
        """Returns the measurement as a line of a report."""
        regular = self.regular
        answers = ", ".join(f"{regular.counts[answer]} {answer.value}" for answer in Answer if regular.counts[answer])
        latest = max((seconds for _, seconds in self.sent_after_close), default=0.0)
        return (
            f"{self.kind:8} | {self.pattern} | {self.limits.memory_mb}/{self.limits.descriptors} | "
            f"{self.usage.line()} | {answers}; foreign {regular.foreign} | "
            f"p99 {regular.percentile_ms(0.99):.0f} ms, longest {regular.longest_ms():.0f} ms | "
            f"{len(self.sent_after_close)} after the close (latest {latest:.2f} s) | "
            f"{len(self.repeated)} of {self.writes} executed twice | "
            f"{self.counts} | {', '.join(self.faults()) or 'all bounds kept'}"
        )


async def measure_relay(
    kind: RelayKind,
    pattern: str,
    seconds: float,
    seed: int = 1,
    baseline_seconds: float = 1.0,
    limits: GivenLimits = MOST,
) -> Measurement:
    """Runs a pattern for `seconds`, after `baseline_seconds` with regular clients alone."""
    measured = Measurement(kind, pattern, limits)
    with tempfile.TemporaryDirectory() as folder:
        async with relay_under_test(kind, Path(folder), limits) as relay:
            watching = asyncio.create_task(watch_usage(relay.process.pid, measured.usage))
            await _regular_clients(relay, measured.baseline, baseline_seconds, seed, "baseline")
            regular = asyncio.create_task(_regular_clients(relay, measured.regular, seconds + 1.0, seed, "regular"))
            left = await _abusive_clients(relay, measured, pattern, seconds)
            await regular
            measured.running = relay.process.returncode is None
            watching.cancel()
            _evaluate_attempts(await relay.read_attempts(), measured, left)
    return measured


async def _regular_clients(
    relay: RelayUnderTest, answers: RegularAnswers, seconds: float, seed: int, name: str
) -> None:
    clients = [
        RegularClient(relay.kind, relay.port, f"{name}{number}", answers, number % 3 > 0, Random(f"{seed} {number}"))
        for number in range(REGULAR_CLIENTS)
    ]
    await asyncio.gather(*(client.run(seconds, PAUSE_SECONDS) for client in clients))


async def start_abusive_clients(relay: RelayUnderTest, pattern: str, seconds: float) -> asyncio.subprocess.Process:
    """Starts the process of the abusive clients, which runs for `seconds`."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.abuse.clients",
        relay.kind,
        str(relay.port),
        str(seconds),
        pattern,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )


async def _abusive_clients(
    relay: RelayUnderTest, measured: Measurement, pattern: str, seconds: float
) -> dict[str, list[float]]:
    """Runs the abusive clients; returns when each prefix of their ids was left, on the system's monotonic clock."""
    process = await start_abusive_clients(relay, pattern, seconds)
    output, _ = await process.communicate()
    left: dict[str, list[float]] = {}
    for line in output.splitlines():
        event = json.loads(line)
        if "counts" in event:
            measured.counts = event["counts"]
        else:
            left.setdefault(event["left"], []).append(event["at"])
    return left


def _evaluate_attempts(attempts: list[Attempt], measured: Measurement, left: dict[str, list[float]]) -> None:
    for attempt in attempts:
        prefix = attempt.request_id.removeprefix(LARGE_ANSWER_PREFIX).split("-")[0]
        if prefix in left:
            late = attempt.at - left[prefix][-1]
            if late > LEAVING_SECONDS:
                measured.sent_after_close.append((attempt.request_id, late))
    executions = Counter(attempt.request_id for attempt in attempts if attempt.kind is AttemptKind.WRITE)
    measured.writes = executions.total()
    measured.repeated = Counter({name: count for name, count in executions.items() if count > 1})
