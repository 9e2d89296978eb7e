"""The release desk: stages, caps, a clock and votes in all three controls (docs/protocols.md).

It calls a fleet to start and end machines; it has no word on how a build does.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from pathlib import Path
from random import Random

from lanelead.http import writing
from lanelead.http.asks import Ask
from lanelead.protocols.records import Malformed, NewsLine, VoteAnswer, VoteAsk, decode, encode
from lanelead.settings.records import Poll, Trial
from lanelead.standins.capture import Tap, clock
from lanelead.standins.roster import Door, relay_of
from lanelead.http.serving import STREAM, Caller, chunk


class Desk(Door):
    def __init__(
        self,
        folder: Path,
        port: int,
        trial: Trial,
        poll: Poll,
        told: float,
        push: float,
        chance: Random,
        moved: Callable[[int, int, str], None],
    ) -> None:
        super().__init__(port, Tap(folder, "desk"))
        self._trial, self._poll = trial, poll
        self._told, self._push, self._chance, self._moved = told, push, chance, moved
        self.build, self.stage, self.phase = 1, len(trial.shares) - 1, "released"
        self._since = clock() - 3600
        self._running: float | None = None  # when the stage's machines all ran: its clock starts
        self._held = 0.0
        self._votes: dict[int, tuple[str, int, float]] = {}
        self._calls: deque[float] = deque()
        self._watchers: dict[Caller, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.mute = False
        self.stale = 0.0  # seconds by which its news is later than usual
        self._going_back = False  # a released build is being recalled

    async def open(self) -> None:
        await super().open()
        if not self._tasks:
            loop = asyncio.get_running_loop()
            self._tasks = [loop.create_task(self._pushes()), loop.create_task(self._clock())]

    # Where the build stands

    @property
    def cap(self) -> float:
        if self.phase == "trial":
            return self._trial.caps[self.stage]
        return 1.0 if self.phase == "released" else 0.0

    def offer(self, build: int) -> None:
        if self.phase == "trial":
            self._change(self.build, self.stage, "reverting")
        self._votes.clear()
        self._change(build, 0, "trial")

    def machines_run(self, build: int, stage: int) -> None:
        """The fleet says that all machines of a stage run; its clock starts."""
        if (build, stage) == (self.build, self.stage) and self._running is None:
            self._running = clock()
            self.tap.note("running", build=build, stage=stage)

    def gone_back(self, build: int) -> None:
        if build == self.build and self.phase == "reverting":
            self._change(build, self.stage, "withdrawn")

    def _change(self, build: int, stage: int, phase: str) -> None:
        self.build, self.stage, self.phase = build, stage, phase
        self._since, self._running, self._held = clock(), None, 0.0
        self._going_back = False
        self.tap.note("state", build=build, stage=stage, phase=phase, cap=self.cap)
        self._moved(build, stage, phase)
        loop = asyncio.get_running_loop()
        for caller, relay in list(self._watchers.items()):
            late = self.stale + self._told * self._chance.uniform(0.5, 1.0)
            loop.call_later(late, self._tell, caller, relay)

    def back(self) -> None:
        """The fleet is ready to take the build off (after a release the earlier one starts first)."""
        self._change(self.build, self.stage, "reverting")

    def _on(self) -> None:
        if self.stage + 1 < len(self._trial.shares):
            self._change(self.build, self.stage + 1, "trial")
        else:
            self._change(self.build, self.stage, "released")

    def _standing(self, verdict: str) -> int:
        life = clock() - self._poll.vote_life_ms / 1000
        return sum(
            1
            for said, stage, at in self._votes.values()
            if said == verdict and at > life and (verdict == "back" or stage == self.stage)
        )

    def _count(self) -> None:
        poll = self._poll
        if self.phase in ("trial", "released"):
            need = 1 if poll.control == "first voice" else poll.back_votes
            if self._standing("back") >= need and not self._going_back:
                self.tap.note("sent_back", build=self.build, stage=self.stage, phase=self.phase)
                if self.phase == "released":
                    self._going_back = True
                    self._moved(self.build, self.stage, "recall")
                else:
                    self._change(self.build, self.stage, "reverting")
                return
        if self.phase != "trial" or self._running is None:
            return
        ran = clock() - self._running
        if poll.control == "automatic":
            if ran - self._held >= poll.timer_stage_ms / 1000:
                self._on()
        elif ran >= poll.least_stage_ms / 1000:
            need = 1 if poll.control == "first voice" else poll.on_votes
            if self._standing("on") >= need:
                self._on()

    async def _clock(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if self._poll.control == "automatic" and self._standing("hold") >= max(1, self._poll.hold_votes):
                self._held += 0.05
            self._count()

    # News

    def line(self) -> NewsLine:
        age = (clock() - self._since) * 1000
        return NewsLine(self.build, self.stage, self.phase, self.cap, age)  # type: ignore[arg-type]

    async def _pushes(self) -> None:
        while True:
            await asyncio.sleep(self._push)
            if not self.stale:
                for caller, relay in list(self._watchers.items()):
                    self._tell(caller, relay)

    def _leave(self, caller: Caller) -> None:
        self._watchers.pop(caller, None)

    def _tell(self, caller: Caller, relay: int) -> None:
        if caller.transport is None:
            return
        line = self.line()
        self.tap.note(
            "told",
            relay=relay,
            build=line.build,
            stage=line.stage,
            phase=line.phase,
            cap=line.cap,
            age=line.age_ms / 1000,
        )
        caller.write(chunk(encode(line) + b"\n"))

    # Calls

    def heard(self, caller: Caller, ask: Ask) -> None:
        path = ask.target.partition(b"?")[0]
        if path == b"/news":
            relay = relay_of(ask)
            caller.write(STREAM)
            self._watchers[caller] = relay
            caller.lost.append(lambda: self._leave(caller))
            self._tell(caller, relay)
        elif path == b"/votes" and ask.method == "POST":
            self._vote(caller, ask)
        else:
            caller.write(writing.answer(404, (), b"", ask.keep))

    def _vote(self, caller: Caller, ask: Ask) -> None:
        try:
            vote = decode(ask.body, VoteAsk)
        except Malformed as fault:
            caller.write(writing.answer(400, (), str(fault).encode(), ask.keep))
            return
        now = clock()
        while self._calls and self._calls[0] < now - 1:
            self._calls.popleft()
        word = "done"
        if len(self._calls) >= 2 * self._poll.votes_a_second:
            word = "overloaded"
        elif self._moot(vote):
            word = "moot"
        self._calls.append(now)
        counts = word == "done" and (not self.mute or self._chance.random() < 0.5)
        if counts:
            self._votes[vote.relay] = (vote.verdict, vote.stage, now)
        self.tap.note(
            "vote",
            relay=vote.relay,
            build=vote.build,
            stage=vote.stage,
            verdict=vote.verdict,
            word=word,
            counts=counts,
            mute=self.mute,
        )
        if not self.mute:
            line = self.line()
            self.tap.note(
                "told",
                relay=vote.relay,
                build=line.build,
                stage=line.stage,
                phase=line.phase,
                cap=line.cap,
                age=line.age_ms / 1000,
                word=word,
            )
            body = encode(VoteAnswer(word, line))  # type: ignore[arg-type]
            caller.write(writing.answer(200, [(b"content-type", b"application/json")], body, ask.keep))
        self._count()

    def _moot(self, vote: VoteAsk) -> bool:
        if vote.build != self.build or self.phase not in ("trial", "released"):
            return True
        if vote.verdict in ("on", "hold"):
            fits = (vote.verdict == "on") is (self._poll.control != "automatic")
            return not fits or vote.stage != self.stage or self.phase != "trial"
        return False
