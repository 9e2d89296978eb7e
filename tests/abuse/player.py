"""Plays one form of abuse on one relay, with usual clients beside it, and measures what the pages bound."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import ROOT, Attempt, RelayUnderTest, relay_under_test
from tests.abuse.usual_clients import Answer, UsualAnswers, UsualClient

USUAL_CLIENTS = 24
PAUSE_SECONDS = 0.1
LEAVING_SECONDS = 0.1 + 0.05  # STANDING: no attempt begins later after its client's close; limits are 50 ms longer


@dataclass
class Measurement:
    """What one play has shown.

    Attributes
    ----------
    calm, usual
        The answers to usual clients before the abuse and during it.
    sent_after_close
        The attempts that came to an endpoint over LEAVING_SECONDS after their client's close, with the seconds.
    repeated
        The ids that endpoints received more than once, of requests that are not idempotent.
    counts
        What the abusive clients counted.
    """

    kind: RelayKind
    form: str
    peak_memory_mb: float = 0.0
    calm: UsualAnswers = field(default_factory=UsualAnswers)
    usual: UsualAnswers = field(default_factory=UsualAnswers)
    sent_after_close: list[tuple[str, float]] = field(default_factory=list)
    repeated: Counter[str] = field(default_factory=Counter)
    counts: dict[str, float] = field(default_factory=dict)
    running: bool = True  # whether the relay's process still ran at the end

    def line(self) -> str:
        """Returns the measurement as a line of a report."""
        usual = self.usual
        answers = ", ".join(f"{usual.counts[answer]} {answer.value}" for answer in Answer if usual.counts[answer])
        latest = max((seconds for _, seconds in self.sent_after_close), default=0.0)
        return (
            f"{self.kind:8} | {self.form} | {self.peak_memory_mb:.0f} MB | {answers}; foreign {usual.foreign} | "
            f"p99 {usual.percentile_ms(0.99):.0f} ms, longest {usual.longest_ms():.0f} ms | "
            f"{len(self.sent_after_close)} after the close (latest {latest:.2f} s) | {len(self.repeated)} repeated | "
            f"{self.counts}{'' if self.running else ' | THE RELAY HAS ENDED'}"
        )


async def play(kind: RelayKind, form: str, seconds: float, seed: int = 1, calm_seconds: float = 1.0) -> Measurement:
    """Plays a form for `seconds`, after `calm_seconds` with usual clients alone."""
    measured = Measurement(kind, form)
    with tempfile.TemporaryDirectory() as folder:
        async with relay_under_test(kind, Path(folder)) as relay:
            await _usual_clients(relay, measured.calm, calm_seconds, seed, "calm")
            usual = asyncio.create_task(_usual_clients(relay, measured.usual, seconds + 1.0, seed, "usual"))
            left = await _abusive_clients(relay, measured, form, seconds)
            await usual
            measured.running = relay.process.returncode is None
            if measured.running:
                measured.peak_memory_mb = relay.peak_memory_mb()
            _judge_attempts(await relay.read_attempts(), measured, left)
    return measured


async def _usual_clients(relay: RelayUnderTest, answers: UsualAnswers, seconds: float, seed: int, name: str) -> None:
    clients = [
        UsualClient(relay.kind, relay.port, f"{name}{number}", answers, number % 3 > 0, Random(f"{seed} {number}"))
        for number in range(USUAL_CLIENTS)
    ]
    await asyncio.gather(*(client.run(seconds, PAUSE_SECONDS) for client in clients))


async def start_abusive_clients(relay: RelayUnderTest, form: str, seconds: float) -> asyncio.subprocess.Process:
    """Starts the process of the abusive clients, which runs for `seconds`."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.abuse.clients",
        relay.kind,
        str(relay.port),
        str(seconds),
        form,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )


async def _abusive_clients(
    relay: RelayUnderTest, measured: Measurement, form: str, seconds: float
) -> dict[str, list[float]]:
    """Runs the abusive clients; returns when each prefix of their ids was left, on the system's monotonic clock."""
    process = await start_abusive_clients(relay, form, seconds)
    output, _ = await process.communicate()
    left: dict[str, list[float]] = {}
    for line in output.splitlines():
        event = json.loads(line)
        if "counts" in event:
            measured.counts = event["counts"]
        else:
            left.setdefault(event["left"], []).append(event["at"])
    return left


def _judge_attempts(attempts: list[Attempt], measured: Measurement, left: dict[str, list[float]]) -> None:
    received: Counter[str] = Counter()
    for attempt in attempts:
        prefix = attempt.request_id.split("-")[0]
        received[attempt.request_id] += 1
        if prefix in left:
            late = attempt.at - left[prefix][-1]
            if late > LEAVING_SECONDS:
                measured.sent_after_close.append((attempt.request_id, late))
    if "same id" in measured.form:
        measured.repeated = Counter({name: count for name, count in received.items() if count > 1})
