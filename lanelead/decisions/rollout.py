"""What to vote on a build, and when: the score, the stage's clock, and the guards around both."""

from math import ceil
from random import Random

from lanelead.decisions.build_scoring import FULL, Scoring
from lanelead.decisions.counters import z_score
from lanelead.decisions.endpoint_state import Roster, Traffic
from lanelead.decisions.gossip import Circle
from lanelead.decisions.interface import (
    SECOND,
    Action,
    AttemptOutcome,
    CanaryLimits,
    CastVote,
    LogEvent,
    PromotionControl,
    RolloutPhase,
    RolloutState,
    Ticks,
    Verdict,
    VotingRules,
)


class Ballot:  # this relay's one vote: when to cast it, and when again
    def __init__(self, poll: VotingRules, rng: Random) -> None:
        self._poll, self._rng = poll, rng
        self._cast: CastVote | None = None
        self._lapses, self._quiet = 0, 0  # when the vote must be cast again, and until when none may be

    def hear(self, news: RolloutState, now: Ticks) -> None:
        if news.answers_vote and news.outcome is AttemptOutcome.SUCCEEDED:
            self._quiet = now
        elif news.answers_vote:  # it may be lost: cast again, after a random time, since all relays lost theirs
            self._cast = None
            self._quiet = now + int(self._poll.vote_timeout * self._rng.uniform(0.1, 0.5))

    def cast(self, vote: CastVote, now: Ticks) -> bool:  # due when new or about to lapse; 'back' waits not
        fresh = vote != self._cast
        due = self._quiet if fresh else max(self._quiet, self._lapses)
        if now < due and not (fresh and vote.verdict is Verdict.ROLL_BACK):
            return False
        self._cast, self._lapses = vote, now + self._poll.vote_lifetime * 3 // 4
        self._quiet = now + self._poll.vote_timeout + SECOND
        return True

    def verdict(self, news: RolloutState, ripe: bool, margin: float, lately: float, creep: bool) -> Verdict | None:
        trial = news.phase is RolloutPhase.CANARY
        if (trial or news.phase is RolloutPhase.PROMOTED) and (margin > 3 or (creep and ripe)):
            return Verdict.ROLL_BACK
        if trial and self._poll.control is PromotionControl.TIMER:
            return Verdict.HOLD if lately > 3 else Verdict.ABSTAIN if self._cast else None
        return Verdict.PROMOTE if trial and ripe else None


class Rollout:
    """The build on trial as one relay sees it."""

    def __init__(
        self, trial: CanaryLimits, poll: VotingRules, circle: Circle, scoring: Scoring, traffic: Traffic, rng: Random
    ) -> None:
        self._trial, self._poll, self._circle, self._scoring = trial, poll, circle, scoring
        self._traffic, self.ballot = traffic, Ballot(poll, rng)
        self.margin, self._stage, self.told, self._doubt, self.due = 0.0, (-1, 0), 0, 0, 0
        self._wait = min(5 * SECOND, 5 * poll.min_stage_time or 5 * SECOND)  # scaled as stages are
        self.calm, self.calm_rate = list[float](), 0.0  # slow answers at the end of each stage, from before

    def lean(self) -> float:  # delay has a price: all that the cap allows is used, unless in doubt
        return 1 + 2 * self._poll.delay_price if self.margin <= 1 else 1

    def hear(self, news: RolloutState, now: Ticks) -> None:
        self.told = now - news.age
        if (news.build, news.stage) != self._stage:
            self._stage = news.build, news.stage
            self._scoring.begin(news.build, self.told)
            faults, outcomes = self._scoring.slowness(now)
            if news.stage < 2:
                self.calm, self.calm_rate = self.calm[: news.stage], self._traffic.busy.read(now)
            self.calm += [faults / outcomes] if outcomes and len(self.calm) == news.stage else []

    def look(self, news: RolloutState, roster: Roster, now: Ticks) -> list[Action]:
        ready, new = roster.ready, roster.groups.get(news.build)
        if not new:
            return []
        self.margin, _ = self._scoring.read(ready, now)
        lately = self._scoring.read(ready, now, 3 * SECOND)[1] if self._poll.hold_votes else 0.0
        # Machines listed late start the clock late; while most are set aside, nothing is learnt.
        wait, places = self._wait, sum(s.build < news.build or self._trial.in_place for s in ready)
        all_here = len(new) >= ceil(self._trial.shares[news.stage] * places - 1e-6)
        shut = 2 * sum(server.aside > now for server in new) >= len(new)
        self._doubt = now if self.margin > 1 else self._doubt
        self.due = max(self.told, self._doubt, *(server.started_at for server in new)) + wait
        # Guards against thin views that release what others doubt; where most must agree, watchers send back.
        seen = self._poll.promote_votes > self._circle.watchers or self._scoring.seen >= 10
        ripe = now >= self.due and seen and not shut and (all_here or now > self.told + 3 * wait)
        verdict = self.ballot.verdict(news, ripe, self.margin, lately, self.creeping(news, now))
        if verdict and self.ballot.cast(vote := CastVote(news.build, news.stage, verdict), now):
            return [vote, LogEvent(f"{verdict.name} on build {news.build}: margin {self.margin:.1f}")]
        return []

    def creeping(self, news: RolloutState, now: Ticks) -> bool:
        """Have most units, its own too, grown slower since stage 1, not busier? Other troubles mislead."""
        released, busier = news.phase is RolloutPhase.PROMOTED, self._traffic.busy.read(now) > 1.3 * self.calm_rate
        few = self._trial.shares[news.stage] < 1 / 3 or len(self.calm) <= max(1, news.stage)
        if few or busier or (released and now - self.told > 10 * SECOND):
            return False
        (slow, n), before, first = self._scoring.slowness(now), self.calm[0], self.calm[1]
        slow += int(n * self._traffic.shed.read(now) / max(100, self._traffic.taken.read(now)))  # as slow
        own, of = self._scoring.slowness(now, news.build)  # what slows all alike slows its own units too
        worse = before + max(self._poll.delay_price / (2 if released else 4), 1.5 * (first - before))
        return n >= 100 and slow > worse * n and 2 * own >= worse * of and z_score(slow, n, before, FULL) > 3
