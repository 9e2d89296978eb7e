"""The rollout state and vote counting of the rollout platform, under all three controls. No sockets.

It has endpoints started and ended by a callback, and doesn't judge builds itself: only votes and time decide. The
emulated platform on sockets and the simulated one derive from it, each with its own clock and its own way to send state
to relays.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.protocols.feeds import RolloutMessage, VoteRequest
from lanelead.settings.service_settings import CanarySettings, VotingSettings


class VoteCounting:
    """The newest build's stage and phase, and the relays' votes on it.

    `record_event` records an event. `on_move` is called with build, stage and phase when these change, and with
    "recall" as the phase when a released build is to be rolled back: its predecessor's endpoints are started first.

    The control decides when a stage ends: "automatic" after a time that hold votes extend; after the minimum time,
    "first voice" at one vote to promote and "by count" at a number of them. Votes to roll back count at any time: one
    is enough under "first voice", otherwise `back_votes`.
    """

    def __init__(
        self,
        canary: CanarySettings,
        voting: VotingSettings,
        rng: Random,
        clock: Callable[[], float],
        record_event: Callable[..., None],
        on_move: Callable[[int, int, str], None],
    ) -> None:
        self._canary, self._voting, self._rng = canary, voting, rng
        self._clock, self._record_event, self._on_move = clock, record_event, on_move
        self.build, self.stage, self.phase = 1, len(canary.shares) - 1, "released"
        self._changed_at = clock() - 3600
        # When all endpoints of the stage ran; the stage's time counts from then.
        self._running_since: float | None = None
        self._held_seconds = 0.0
        self._votes: dict[int, tuple[str, int, float]] = {}
        self._calls: deque[float] = deque()
        self.mute = False
        self._recalling = False  # a released build is to be rolled back; its predecessor is being started

    def changed(self) -> None:
        """Called when the state has changed, to send it to the relays; for subclasses."""

    # State

    @property
    def cap(self) -> float:
        """The present exposure limit, 0 to 1."""
        if self.phase == "trial":
            return self._canary.caps[self.stage]
        return 1.0 if self.phase == "released" else 0.0

    def offer(self, build: int) -> None:
        """Starts the rollout of a build; one that is still on trial is rolled back."""
        if self.phase == "trial":
            self._change(self.build, self.stage, "reverting")
        self._votes.clear()
        self._change(build, 0, "trial")

    def endpoints_running(self, build: int, stage: int) -> None:
        """Starts the stage's time: all of its endpoints run."""
        if (build, stage) == (self.build, self.stage) and self._running_since is None:
            self._running_since = self._clock()
            self._record_event("running", build=build, stage=stage)

    def rollback_finished(self, build: int) -> None:
        """Ends a rollback: the build's endpoints have been removed."""
        if build == self.build and self.phase == "reverting":
            self._change(build, self.stage, "withdrawn")

    def _change(self, build: int, stage: int, phase: str) -> None:
        self.build, self.stage, self.phase = build, stage, phase
        self._changed_at, self._running_since, self._held_seconds = self._clock(), None, 0.0
        self._recalling = False
        self._record_event("state", build=build, stage=stage, phase=phase, cap=self.cap)
        self._on_move(build, stage, phase)
        self.changed()

    def back(self) -> None:
        """Begins the rollback; after a release only once the predecessor's endpoints have been started."""
        self._change(self.build, self.stage, "reverting")

    def _advance(self) -> None:
        if self.stage + 1 < len(self._canary.shares):
            self._change(self.build, self.stage + 1, "trial")
        else:
            self._change(self.build, self.stage, "released")

    def _valid_votes(self, verdict: str) -> int:
        oldest = self._clock() - self._voting.vote_life_ms / 1000
        return sum(
            1
            for voted, stage, at in self._votes.values()
            if voted == verdict and at > oldest and (verdict == "back" or stage == self.stage)
        )

    def _evaluate_votes(self) -> None:
        voting = self._voting
        if self.phase in ("trial", "released"):
            needed = 1 if voting.control == "first voice" else voting.back_votes
            if self._valid_votes("back") >= needed and not self._recalling:
                self._record_event("sent_back", build=self.build, stage=self.stage, phase=self.phase)
                if self.phase == "released":
                    self._recalling = True
                    self._on_move(self.build, self.stage, "recall")
                else:
                    self._change(self.build, self.stage, "reverting")
                return
        if self.phase != "trial" or self._running_since is None:
            return
        elapsed_seconds = self._clock() - self._running_since
        if voting.control == "automatic":
            if elapsed_seconds - self._held_seconds >= voting.timer_stage_ms / 1000:
                self._advance()
        elif elapsed_seconds >= voting.least_stage_ms / 1000:
            needed = 1 if voting.control == "first voice" else voting.on_votes
            if self._valid_votes("on") >= needed:
                self._advance()

    def beat(self, seconds: float) -> None:
        """Counts hold votes and evaluates all votes; to be called regularly, with the seconds since the last call."""
        if self._voting.control == "automatic" and self._valid_votes("hold") >= max(1, self._voting.hold_votes):
            self._held_seconds += seconds
        self._evaluate_votes()

    def line(self) -> RolloutMessage:
        """Returns the state as relays get it."""
        age = (self._clock() - self._changed_at) * 1000
        return RolloutMessage(self.build, self.stage, self.phase, self.cap, age)  # type: ignore[arg-type]

    def told(self, relay: int, line: RolloutMessage, **extra_fields: Any) -> None:
        """Records the state that a relay is sent."""
        self._record_event(
            "told",
            relay=relay,
            build=line.build,
            stage=line.stage,
            phase=line.phase,
            cap=line.cap,
            age=line.age_ms / 1000,
            **extra_fields,
        )

    def vote(self, vote: VoteRequest) -> tuple[str, RolloutMessage | None]:
        """Takes a relay's vote; returns the outcome and the state for the reply, or None for the state while mute.

        Outcomes: "done", "moot" (the vote does not fit the state) and "overloaded" (too many votes a second). While
        the platform is mute, half of the valid votes count.
        """
        now = self._clock()
        while self._calls and self._calls[0] < now - 1:
            self._calls.popleft()
        word = "done"
        if len(self._calls) >= 2 * self._voting.votes_a_second:
            word = "overloaded"
        elif self._is_moot(vote):
            word = "moot"
        self._calls.append(now)
        counts = word == "done" and (not self.mute or self._rng.random() < 0.5)
        if counts:
            self._votes[vote.relay] = (vote.verdict, vote.stage, now)
        self._record_event(
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
        self._evaluate_votes()
        return word, line

    def _is_moot(self, vote: VoteRequest) -> bool:
        if vote.build != self.build or self.phase not in ("trial", "released"):
            return True
        if vote.verdict in ("on", "hold"):
            allowed = (vote.verdict == "on") is (self._voting.control != "automatic")
            return not allowed or vote.stage != self.stage or self.phase != "trial"
        return False
