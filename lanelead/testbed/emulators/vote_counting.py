"""The release desk's own part: stages, caps, a clock and votes in all three controls. No sockets.

It calls a fleet to start and end machines; it has no word on how a build does. The stand-in on sockets and
the model's desk are both this, each with its own clock and its own way to tell relays.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.protocols.feeds import RolloutMessage, VoteRequest
from lanelead.settings.service_settings import CanarySettings, VotingSettings


class Polling:
    def __init__(
        self,
        trial: CanarySettings,
        poll: VotingSettings,
        rng: Random,
        clock: Callable[[], float],
        note: Callable[..., None],
        moved: Callable[[int, int, str], None],
    ) -> None:
        self._trial, self._poll, self._rng = trial, poll, rng
        self._clock, self._note, self._moved = clock, note, moved
        self.build, self.stage, self.phase = 1, len(trial.shares) - 1, "released"
        self._since = clock() - 3600
        self._running: float | None = None  # when the stage's machines all ran: its clock starts
        self._held = 0.0
        self._votes: dict[int, tuple[str, int, float]] = {}
        self._calls: deque[float] = deque()
        self.mute = False
        self._going_back = False  # a released build is being recalled

    def changed(self) -> None:
        """The build stands elsewhere: relays are to be told, each after a while."""

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
            self._running = self._clock()
            self._note("running", build=build, stage=stage)

    def gone_back(self, build: int) -> None:
        if build == self.build and self.phase == "reverting":
            self._change(build, self.stage, "withdrawn")

    def _change(self, build: int, stage: int, phase: str) -> None:
        self.build, self.stage, self.phase = build, stage, phase
        self._since, self._running, self._held = self._clock(), None, 0.0
        self._going_back = False
        self._note("state", build=build, stage=stage, phase=phase, cap=self.cap)
        self._moved(build, stage, phase)
        self.changed()

    def back(self) -> None:
        """The fleet is ready to take the build off (after a release the earlier one starts first)."""
        self._change(self.build, self.stage, "reverting")

    def _on(self) -> None:
        if self.stage + 1 < len(self._trial.shares):
            self._change(self.build, self.stage + 1, "trial")
        else:
            self._change(self.build, self.stage, "released")

    def _standing(self, verdict: str) -> int:
        life = self._clock() - self._poll.vote_life_ms / 1000
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
                self._note("sent_back", build=self.build, stage=self.stage, phase=self.phase)
                if self.phase == "released":
                    self._going_back = True
                    self._moved(self.build, self.stage, "recall")
                else:
                    self._change(self.build, self.stage, "reverting")
                return
        if self.phase != "trial" or self._running is None:
            return
        ran = self._clock() - self._running
        if poll.control == "automatic":
            if ran - self._held >= poll.timer_stage_ms / 1000:
                self._on()
        elif ran >= poll.least_stage_ms / 1000:
            need = 1 if poll.control == "first voice" else poll.on_votes
            if self._standing("on") >= need:
                self._on()

    def beat(self, span: float) -> None:
        """To be called every so often, with the time since the last call."""
        if self._poll.control == "automatic" and self._standing("hold") >= max(1, self._poll.hold_votes):
            self._held += span
        self._count()

    def line(self) -> RolloutMessage:
        age = (self._clock() - self._since) * 1000
        return RolloutMessage(self.build, self.stage, self.phase, self.cap, age)  # type: ignore[arg-type]

    def told(self, relay: int, line: RolloutMessage, **more: Any) -> None:
        """Takes note of what a relay is told."""
        self._note(
            "told",
            relay=relay,
            build=line.build,
            stage=line.stage,
            phase=line.phase,
            cap=line.cap,
            age=line.age_ms / 1000,
            **more,
        )

    def vote(self, vote: VoteRequest) -> tuple[str, RolloutMessage | None]:
        """A relay's vote: the word on it, and the news that goes with it; none where the desk is mute."""
        now = self._clock()
        while self._calls and self._calls[0] < now - 1:
            self._calls.popleft()
        word = "done"
        if len(self._calls) >= 2 * self._poll.votes_a_second:
            word = "overloaded"
        elif self._moot(vote):
            word = "moot"
        self._calls.append(now)
        counts = word == "done" and (not self.mute or self._rng.random() < 0.5)
        if counts:
            self._votes[vote.relay] = (vote.verdict, vote.stage, now)
        self._note(
            "vote",
            relay=vote.relay,
            build=vote.build,
            stage=vote.stage,
            verdict=vote.verdict,
            word=word,
            counts=counts,
            mute=self.mute,
        )
        line = None if self.mute else self.line()
        if line is not None:
            self.told(vote.relay, line, word=word)
        self._count()
        return word, line

    def _moot(self, vote: VoteRequest) -> bool:
        if vote.build != self.build or self.phase not in ("trial", "released"):
            return True
        if vote.verdict in ("on", "hold"):
            fits = (vote.verdict == "on") is (self._poll.control != "automatic")
            return not fits or vote.stage != self.stage or self.phase != "trial"
        return False
