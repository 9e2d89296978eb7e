"""All decisions of a relay: which unit gets a lookup's next trip, and what to vote on a build.

lanelead/interface.py has the types and what a host does, docs/design.md the mechanism. Relays share nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Generator, Iterable, Sequence
from enum import Enum
from itertools import takewhile
from math import ceil, inf
from random import Random

from lanelead.interface import (
    Act, Allowance, BreakOff, CallOff, Close, Condition, Control, Coverage, Duties, Fate, Fetch, Lane,
    Listing, Load, Lookup, Member, News, Note, Phase, Place, Poll, Preference, Probe, Repeat, Report, Scope,
    Send, Shed, Sighting, Tally, Tariff, Tell, Ticks, Trial, Trip, Unit, Verdict, Vote, Wake, Watch, Word,
)
from lanelead.server import Outstanding, Roster, Server, mine
from lanelead.sums import Fading, Purse, Recent, Window, percentile, pooled, tally, tamed, z_score
from lanelead.zones import ANYWHERE, Pools, Spill

SECOND: Ticks = 10_000
SIGHT = 16  # servers looked at for one choice, at most
FULL = 200  # outcomes in the fullest window that a deviation is taken for
CIRCLE = 8  # relays that tell each other directly, at most
NEVER_RAN = (Fate.TURNED_AWAY, Fate.UNREACHABLE, Fate.UNSENT)


class Exposure:  # what may go to a build on trial: the cap, the guarded stages and the keys that stay
    def __init__(self, trial: Trial, many: bool, chance: Random) -> None:
        self._trial, self._many, self._chance = trial, many, chance
        self._ledgers, self._keys = dict[tuple[int, Lane | None], Purse](), dict[str, int]()
        self._seen = Recent(2 * trial.window)
        self.news: News | None = None

    def hear(self, news: News) -> None:
        self.news = news
        if news.phase in (Phase.REVERTING, Phase.WITHDRAWN):
            self._keys.clear()

    def on_trial(self, build: int) -> bool:
        told = self.news  # the build last told of is on trial until its release, and any later one
        return told is None or build > told.build - (told.phase is not Phase.RELEASED)

    def _cap(self, build: int) -> float:
        if self.news is None or build > self.news.build:  # not named yet: as in the first stage
            return self._trial.caps[0] if self.news else 0.0
        return self.news.cap if self.news.phase is Phase.TRIAL else 0.0

    def _ledger(self, build: int, lane: Lane) -> Purse:
        """Guards against hundreds of relays that each use the free number: theirs goes unused, and the share
        of what they take fills a purse, which outlasts the window. It slows a trial where traffic is rare."""
        at = build, lane if self._trial.by_lane else None
        if at not in self._ledgers:
            held, depth = (self._chance.random(), 2.0) if self._many else (inf, inf)
            self._ledgers[at] = Purse(self._trial.window, held, depth)
        return self._ledgers[at]

    def take(self, lookup: Lookup, groups: dict[int, list[Server]], now: Ticks) -> None:
        """A lookup taken earns its share of a trip at each build on trial, and no more than its servers'.
        Guards against a higher cap, which fills them up: thin views cannot tell that from a slow build."""
        for build, servers in groups.items():
            if self.on_trial(build):
                share = len(servers) / max(1, sum(map(len, groups.values())) - len(servers))
                self._ledger(build, lookup.lane).gain(self._cap(build), share)
        if self._trial.keys_stay and lookup.key is not None:
            self._seen.note(lookup.key, now)

    def _tie(self, lookup: Lookup) -> int:  # the build that has answered its key: no earlier one may
        return self._keys.get(lookup.key or "", -1)

    def _guards(self, build: int, lookup: Lookup) -> bool:
        stage = self.news.stage if self.news and build == self.news.build else 0
        return stage < self._trial.guarded and lookup.lane.repeat is not Repeat.PURE

    def hopeless(self, lookup: Lookup) -> bool:
        return self.on_trial(self._tie(lookup)) and self._guards(self._tie(lookup), lookup)

    def allows(self, build: int, lookup: Lookup, now: Ticks) -> bool:
        if not self.on_trial(build) or build < self._tie(lookup):
            return build >= self._tie(lookup)
        cap, need = self._cap(build), 1.0
        if cap <= 0 or self._guards(build, lookup):
            return False
        if self._trial.keys_stay and lookup.key is not None and build != self._tie(lookup):
            # A key that was here once is tied. Popular ones would soon use up the cap, and leave nothing for
            # lookups that may go nowhere else: they come last, as the cap grows.
            need, rare = 2.0, 2 * self._trial.window * (1 - cap)
            if lookup.taken - self._seen.before(lookup.key) < rare:
                return False
        purse = self._ledger(build, lookup.lane)
        return min(self._trial.free + purse.least(now), purse.held) >= need

    def spend(self, build: int, lookup: Lookup, now: Ticks) -> None:
        if self.on_trial(build):
            self._ledger(build, lookup.lane).spend(now)

    def done(self, build: int, lookup: Lookup) -> None:
        if self._trial.keys_stay and lookup.key and (self.news is None or build >= self.news.build):
            self._keys[lookup.key] = max(build, self._tie(lookup))


class Fault(Enum):
    BROKEN = 10.0  # errors: what a build does wrong whatever its server's load
    WRONG = 10.1  # answers that a client found wrong
    SLOW = 1.0  # late answers: a build's doing, or a neighbour's, or the load's
    SILENT = 1.01  # time-outs: the same, or a connection's that was dropped unseen
    SHUT = 0.01  # turned away, unreachable, cut: the machine's doing or the load's, hardly ever the build's
    __hash__ = object.__hash__  # they are looked up for every outcome told


FAULTS = dict.fromkeys((Fate.TURNED_AWAY, Fate.UNREACHABLE, Fate.CUT), Fault.SHUT)
FAULTS |= {Fate.TIMED_OUT: Fault.SILENT, Fate.ERROR: Fault.BROKEN}
STRIKES = {Fate.UNREACHABLE: 2.0, Fate.CUT: 1.0, Fate.ERROR: 1.0, Fate.TIMED_OUT: 1.0}
HARD = (Fault.BROKEN, Fault.WRONG)


View = Window[Server, Fault]


class Scoring:
    """The source's score: z against the earlier build x decay x percentile x weight, summed a server."""

    def __init__(self, span: Ticks, scale: Ticks, fill: int, ripe: Ticks) -> None:
        self._span, self._scale, self._fill, self._ripe = span, scale, fill, ripe
        self._windows: deque[View] = deque()
        self._open: dict[tuple[Server, Lane], View] = {}
        self._before: dict[Lane | None, View] = {}
        self.stage_start: Ticks = 0
        self._trial, self.seen = 0, 0  # outcomes of the stage at the build on trial

    def begin(self, trial: int, start: Ticks) -> None:
        self._trial, self.stage_start, self.seen = trial, start, 0
        self._before = pooled(w for w in self._earlier(start - 2 * self._span) if w.start < start)

    def record(self, server: Server, lane: Lane, faults: dict[Fault, int], now: Ticks, outcomes: int) -> None:
        window, second = self._open.get((server, lane)), now - now % SECOND
        if window is None or (window.start, window.build) != (second, server.build):
            window = self._open[server, lane] = Window(server, lane, server.build, second)
            self._windows.append(window)
            while self._windows[0].start < now - 4 * self._span:
                self._windows.popleft()
        # Coldness makes a server slow, but never wrong: only slowness goes unscored until it is ripe.
        ripe = now - server.listed >= self._ripe
        window.add(outcomes, {fault: many for fault, many in faults.items() if ripe or fault in HARD})
        self.seen += outcomes if server.build >= self._trial else 0

    def _since(self, start: Ticks) -> Iterable[View]:
        return takewhile(lambda w: w.start >= start, reversed(self._windows))

    def _earlier(self, start: Ticks) -> Iterable[View]:
        return (w for w in self._since(start) if w.build < self._trial)

    def _score(
        self, faults: int, outcomes: int, fault: Fault, base: View | None, gap: Ticks, among: list[float]
    ) -> float:
        if base is None or not base.outcomes or not outcomes:
            return 0.0
        # One stray fault more than seen, errors apart: a thin baseline makes a few look like many.
        mean = (base.faults.get(fault, 0) + (fault is not Fault.BROKEN)) / (base.outcomes + 1)
        z, decay = z_score(faults, outcomes, mean, FULL), self._scale / (gap + self._scale)
        return z * decay * percentile(faults / outcomes, among) * fault.value if z > 2 else 0.0

    def read(self, servers: Sequence[Server], now: Ticks, span: Ticks = 0) -> tuple[float, float]:
        """The margin of the trial servers' mean score over the earlier ones', and that mean itself."""
        judged = dict.fromkeys(servers, 0.0)
        blocks: dict[tuple[Server, Lane], list[View]] = {}
        for w in self._since(now - (span or self._span)):
            if w.server in judged and w.build == w.server.build:
                row = blocks.setdefault((w.server, w.lane), [])
                if not row or row[-1].outcomes >= self._fill:
                    row.append(Window(w.server, w.lane, w.build, w.start))
                row[-1].add(w.outcomes, w.faults)
        every = [block for row in blocks.values() for block in row if block.outcomes]
        if not any(block.faults for block in every):
            return 0.0, 0.0
        base = self._before or pooled(self._earlier(now - 2 * self._span))
        ranks: dict[tuple[Lane, Fault], list[float]] = {}
        for block in every:
            gap = max(0, now - (block.server.since if block.build >= self._trial else self.stage_start))
            for fault, many in block.faults.items():
                if (among := ranks.get((block.lane, fault))) is None:
                    like = (other for other in every if other.lane is block.lane)
                    among = sorted(other.faults.get(fault, 0) / other.outcomes for other in like)
                    ranks[block.lane, fault] = among
                of_lane = base.get(block.lane)
                judged[block.server] += self._score(many, block.outcomes, fault, of_lane, gap, among)
        new = [score for server, score in judged.items() if server.build == self._trial]
        old = [score for server, score in judged.items() if server.build < self._trial]
        # Guards against a trouble of one machine that carries the mean: none counts for twice the margin.
        mean = sum(min(score, 6.0) for score in new) / max(1, len(new))
        return mean - sum(old) / max(1, len(old)) + self._whole(every, base.get(None), now), mean

    def _whole(self, blocks: list[View], base: View | None, now: Ticks) -> float:
        """The same of the trial build as a whole, less the earlier: guards against faults spread too thinly
        for one server. The worst quarter counts as the next best, or a trouble of few machines would do."""
        total, some_old = 0.0, any(block.build < self._trial for block in blocks)
        # With no earlier server left to compare with, slowness is as likely the load's doing.
        for fault in Fault if some_old else HARD:
            counts = tally(blocks, fault)
            shares = sorted(faults / many for faults, many in counts.values())
            for sign, new in ((1, True), (-1, False)):
                side = {server: n for server, n in counts.items() if (server.build == self._trial) is new}
                faults, many = tamed(side, len(side) - len(side) // 4 - (len(side) > 1))
                starts = [server.since if new else self.stage_start for server in side] or [now]
                gap = max(0, now - sum(starts) // len(starts))
                total += sign * self._score(faults, many, fault, base, gap, shares)
        return total

    def slowness(self, now: Ticks) -> tuple[int, int]:
        """Slow answers and outcomes lately, the worst quarter of the servers counted as the next best."""
        ready = (w for w in self._since(now - self._span) if w.server.condition is Condition.READY)
        counts = tally((w for w in ready if w.outcomes), Fault.SLOW)
        return tamed(counts, len(counts) - len(counts) // 4)


class Ballot:  # this relay's one vote: when to cast it, and when again
    def __init__(self, poll: Poll, chance: Random) -> None:
        self._poll, self._chance = poll, chance
        self._cast: Vote | None = None
        self._lapses, self._quiet = 0, 0  # when the vote must be cast again, and until when none may be

    def hear(self, news: News, now: Ticks) -> None:
        if news.answer and news.word is Fate.DONE:
            self._quiet = now
        elif news.answer:  # it may be lost: cast again, after a random time, since all relays lost theirs
            self._cast = None
            self._quiet = now + int(self._poll.answer_limit * self._chance.uniform(0.1, 0.5))

    def cast(self, vote: Vote, now: Ticks) -> bool:  # due when new or about to lapse; 'back' waits not
        fresh = vote != self._cast
        due = self._quiet if fresh else max(self._quiet, self._lapses)
        if now < due and not (fresh and vote.verdict is Verdict.BACK):
            return False
        self._cast, self._lapses = vote, now + self._poll.vote_life * 3 // 4
        self._quiet = now + self._poll.answer_limit + SECOND
        return True

    def verdict(self, news: News, ripe: bool, margin: float, lately: float, creep: bool) -> Verdict | None:
        trial = news.phase is Phase.TRIAL
        if (trial or news.phase is Phase.RELEASED) and (margin > 3 or (creep and ripe)):
            return Verdict.BACK
        if trial and self._poll.control is Control.AUTOMATIC:
            return Verdict.HOLD if lately > 3 else Verdict.NONE if self._cast else None
        return Verdict.ON if trial and ripe else None


class Health:  # sets failing units aside, never most of the fleet, and counts what goes to a cold one
    def __init__(self, duties: Duties, target: Ticks, rest: Ticks, chance: Random) -> None:
        self._duties, self._target, self._rest, self._chance = duties, target, rest, chance

    def note(self, server: Server, strike: float, ready: Sequence[Server], now: Ticks) -> None:
        server.trips.add(now, 1)
        server.strikes.add(now, strike)
        failing = server.strikes.read(now) >= max(2.0, server.trips.read(now) / 2)
        if failing and server.aside <= now and 2 * sum(other.aside > now for other in ready) < len(ready):
            server.aside = now + self._rest + int(self._rest * self._chance.random())

    def room(self, server: Server, now: Ticks) -> bool:
        """May a unit hold one more trip? As many as it lately did in six tenths of the expected time, and one
        to learn by. Guards against long queues, whatever fills them. Answers in bunches could mislead it."""
        return not server.out or len(server.out) < 1.2 * server.done.read(now) / (2 * SECOND) * self._target

    def cold_room(self, server: Server, usual: float, now: Ticks) -> bool:
        """May a cold unit take one more? If each relay stays under a multiple of what a unit usually does for
        it, all do. Parts of a trip go by lot: hundreds that each send just one would push it over."""
        sends, age, duties = server.cold_sends, now - server.since, self._duties
        while sends and sends[0] <= now - duties.fall_time:
            sends.popleft()
        rise = duties.cold_share + (1 - duties.cold_share) * max(0, age) / max(1, duties.cold_time)
        budget = duties.fall_multiple / 2 * rise * usual * duties.fall_time / SECOND
        return age >= duties.cold_time or server.since <= 0 or len(sends) + 1 <= budget + server.lot


class Circle:
    """In a small circle all tell all. In a large one each tells a hub, drawn anew, what it saw, and the hubs
    the watchers, as many as can send a build back; what is out each tells all hubs, and these all in turns.
    Guards against bytes by the square, and lost hubs."""

    def __init__(self, place: Place, back_votes: int, chance: Random) -> None:
        self._number, self._relays, self._chance = place.number, place.relays, chance
        self._hubs, self._beats = place.relays if place.relays <= CIRCLE else CIRCLE // 2, place.number
        self.watchers = min(place.relays, max(self._hubs, back_votes * 5 // 4))
        self.hub = place.number < self._hubs

    def passes_on(self, sender: int) -> bool:
        return self.hub and sender >= self._hubs

    def letters(self, seen: Sequence[Word], out: Sequence[Word], in_all: Sequence[Word]) -> Iterable[Tell]:
        both, self._beats = [*seen, *out], self._beats + 1
        if self.hub:
            letters = [(peer, both if peer < self._hubs else seen) for peer in range(self.watchers)]
            letters += [(peer, in_all) for peer in range(self._hubs + self._beats % 4, self._relays, 4)]
        else:
            drawn = self._chance.randrange(self._hubs) if seen else -1
            letters = [(hub, both if hub == drawn else out) for hub in range(self._hubs)]
        yield from (Tell(peer, said) for peer, said in letters if said and peer != self._number)


Journey = Generator[Server | Ticks, Trip | None, None]  # yields a server to try, or until when to wait


class Relay:
    """One relay's decisions: joins the parts, and keeps each rule by a guard that no choice gets round."""

    def __init__(
        self, place: Place, lanes: Sequence[Lane], members: Sequence[Member], allowance: Allowance,
        duties: Duties, trial: Trial, poll: Poll, tariff: Tariff, chance: Random, now: Ticks,
        preference: Preference = ANYWHERE,
    ) -> None:
        self.now, self.acts = now, list[Act]()
        self._allowance, self._duties, self._trial = allowance, duties, trial
        self._poll, self._chance = poll, chance
        self._longest, least = (pick(lane.expected_time for lane in lanes) for pick in (max, min))
        self._roster, self._ballot = Roster(), Ballot(poll, chance)
        self._circle = Circle(place, poll.back_votes, chance)
        self._many = place.relays > CIRCLE
        # A choice takes two to four probes: where they cost over a tenth of a lookup, letters tell instead.
        self._asks = self._many and allowance.probes and 4 * tariff.probe <= 0.1
        self._tells = self._many and allowance.peers and not self._asks
        self._out, self._sparing = Outstanding(SECOND), self._tells and tariff.handshake > 0
        self._suspect = max(0.02, 2.5 * tariff.handshake)  # trips lost in 10 s, for each lookup in 4 s
        self._exposure = Exposure(trial, self._many, chance)
        told = self._many and place.number < self._circle.watchers  # much is told to it: it looks less often
        self._beat = SECOND // (5 if not told else 2 if self._circle.watchers <= CIRCLE else 1)
        self._quotas, self._relays = sum(member.quota for member in members), place.relays
        self._scoring = Scoring(5 * SECOND, 3 * SECOND, fill=10, ripe=5 * SECOND)
        self._health = Health(duties, least // 2, 2 * self._longest, chance)
        self._spill = Spill(preference, duties, self._longest, self._beat, chance)
        self._lost, self._waiting = Fading(10 * SECOND), dict[Lookup, float]()  # waiting: with its worth
        fares = [(member, lane) for member in [*members, None] for lane in lanes]
        self._fares = {fare: (Fading(4 * SECOND), Fading(4 * SECOND)) for fare in fares}  # ended, and timely
        self._journeys, self._resume = dict[Lookup, Journey](), dict[Lookup, Ticks]()
        self._asking: dict[Lookup, None] = {}  # those that wait for a probe
        self._rate, self._copies, self._trips, self._done, self._shed = (Fading(4 * SECOND) for _ in range(5))
        self._margin, self._stage, self._told, self._doubt, self._due = 0.0, (-1, 0), 0, 0, 0
        self._wait = min(5 * SECOND, 5 * poll.least_stage or 5 * SECOND)  # scaled as stages are
        self._calm, self._calm_rate = list[float](), 0.0  # slow answers at the end of each stage, from before
        self._untold: dict[tuple[Server, Lane, int], Sighting] = {}
        self.acts += [Wake(now + int(self._beat * chance.uniform(0.5, 1)), None)]
        self.acts += [Watch(True)] if duties.subscribe else []

    def meet(self, mark: int) -> Unit:
        return Server(mark, 2 * self._longest, 2 * SECOND, self._chance.random())

    def roster(self, coverage: Coverage, listings: Sequence[Listing]) -> None:
        if coverage is Coverage.FAILED:
            self.acts.append(Watch(True) if self._duties.subscribe else Fetch())
        else:
            self._roster.apply(coverage, listings, self.now)

    def news(self, news: News) -> None:
        self._ballot.hear(news, self.now)
        if news.word is not Fate.DONE:
            return
        self._exposure.hear(news)
        self._told = self.now - news.age
        if (news.build, news.stage) != self._stage:
            self._stage = news.build, news.stage
            self._scoring.begin(news.build, self._told)
            faults, outcomes = self._scoring.slowness(self.now)
            if news.stage < 2:
                self._calm, self._calm_rate = self._calm[: news.stage], self._trips.read(self.now)
            self._calm += [faults / outcomes] if outcomes and len(self._calm) == news.stage else []

    def take(self, lookup: Lookup) -> None:
        self._rate.add(self.now, 1)
        self._exposure.take(lookup, self._roster.groups, self.now)
        self._journeys[lookup] = self._journey(lookup)
        self._advance(lookup, None)

    def started(self, trip: Trip) -> None:
        trip.streaming = True
        self._resume.pop(trip.lookup, None)  # it belongs to the client now: no second copy

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: Ticks, report: Report | None) -> None:
        lookup, server, trip.fate = trip.lookup, mine(trip.unit), fate
        server.out.pop(trip, None)
        self._learn(trip, server, fate, took)
        self._lost.add(self.now, fate in (Fate.UNREACHABLE, Fate.TIMED_OUT, Fate.CUT))
        self._let_go(server)
        if closed:
            self.left(lookup)
        elif not lookup.over:
            self._advance(lookup, trip)
        for lookup in sorted(self._waiting, key=lambda waiting: -self._waiting[waiting])[:3]:  # worthy first
            self._advance(lookup, None)

    def wake(self, lookup: Lookup | None) -> None:
        if lookup is None:
            self._tick()
        elif not lookup.over and self._resume.get(lookup, self.now + 1) <= self.now:
            self._advance(lookup, None)

    def heard(self, peer: int, words: Sequence[Word]) -> None:
        if loads := [word for word in words if isinstance(word, Load)]:
            self._out.hear(peer if self._circle.hub else None, loads, self.now)
        for seen in (word for word in words if isinstance(word, Sighting)):
            faults = {fault: many for fault, many in zip(Fault, seen.faults, strict=True) if many}
            self._count(mine(seen.unit), seen.lane, faults, seen.outcomes, self._circle.passes_on(peer))

    def _count(self, server: Server, lane: Lane, faults: dict[Fault, int], outcomes: int, tell: bool) -> None:
        # One relay sees too few, so they are told; earlier servers' too, or a trouble of both would hide.
        self._spill.note(server, outcomes, sum(n for f, n in faults.items() if f not in HARD), self.now)
        if self._spill.troubled(server):
            faults = {fault: many for fault, many in faults.items() if fault in HARD}
        self._scoring.record(server, lane, faults, self.now, outcomes)
        self._trips.add(self.now, outcomes - faults.get(Fault.BROKEN, 0))  # quick errors keep nobody busy
        if tell and self._allowance.peers:
            at = server, lane, server.build
            seen = self._untold.setdefault(at, Sighting(*at, 0, [0] * len(Fault)))
            seen.outcomes += outcomes
            seen.faults = [n + faults.get(fault, 0) for n, fault in zip(seen.faults, Fault, strict=True)]

    def complaint(self, unit: Unit, lane: Lane, age: Ticks) -> None:
        self._count(mine(unit), lane, {Fault.WRONG: 1}, 0, True)

    def tally(self, counted: Tally) -> None: ...

    def probed(self, unit: Unit, fate: Fate, took: Ticks, report: Report | None) -> None:
        if fate is Fate.DONE and report:
            mine(unit).told, fair = self.now, self._quotas / max(1, len(self._roster.ready))
            queue = report.get("waiting", 0) / max(report["rps"], fair) if report.get("rps") else 0
            mine(unit).wait = max(took, int(queue * SECOND))  # a deep probe has waited itself
        self._lost.add(self.now, fate is Fate.UNREACHABLE)
        for lookup in list(self._asking):
            self._advance(lookup, None)
        self._let_go(mine(unit))

    def _let_go(self, server: Server) -> None:
        """Guards against connections that are dropped unseen while idle, or of which few are granted: none is
        kept once too many trips were lost. It costs handshakes where trips are lost otherwise."""
        if not server.out and self._lost.read(self.now) > self._suspect * self._rate.read(self.now):
            self.acts.append(Close(server))

    def _tick(self) -> None:
        # Also right when 'on' falls due: guards against beats that add up to a release that comes too late.
        self.acts.append(Wake(min(at for at in (self._due, self.now + self._beat) if at > self.now), None))
        news, ready = self._exposure.news, self._roster.ready
        out = self._out.own(ready) if self._tells else []
        in_all = self._out.add(out, self.now) if self._circle.hub else []
        self.acts += self._circle.letters([*self._untold.values()], out, in_all)
        self._untold.clear()
        trial = news is not None and news.phase is Phase.TRIAL
        self._spill.beat(ready, self._rate.read(self.now), trial, self.now)
        if news is None or not (new := self._roster.groups.get(news.build)):
            return
        self._margin, _ = self._scoring.read(ready, self.now)
        lately = self._scoring.read(ready, self.now, 3 * SECOND)[1] if self._poll.hold_votes else 0.0
        # Machines listed late start the clock late; while most are set aside, nothing is learnt.
        wait, places = self._wait, sum(s.build < news.build or self._trial.in_place for s in ready)
        all_here = len(new) >= ceil(self._trial.shares[news.stage] * places - 1e-6)
        shut = 2 * sum(server.aside > self.now for server in new) >= len(new)
        self._doubt = self.now if self._margin > 1 else self._doubt
        self._due = max(self._told, self._doubt, *(server.since for server in new)) + wait
        # Guards against thin views that release what others doubt; where most must agree, watchers send back.
        seen = self._poll.on_votes > self._circle.watchers or self._scoring.seen >= 10
        ripe = self.now >= self._due and seen and not shut and (all_here or self.now > self._told + 3 * wait)
        verdict = self._ballot.verdict(news, ripe, self._margin, lately, self._creeping(news))
        if verdict and self._ballot.cast(vote := Vote(news.build, news.stage, verdict), self.now):
            self.acts += [vote, Note(f"{verdict.name} on build {news.build}: margin {self._margin:.1f}")]

    def _creeping(self, news: News) -> bool:
        """Have most units grown slower since stage 1 than up to it, or far slower right at the release, but
        not busier? Guards against a build that slows all alike; other troubles of all could mislead it."""
        released, busier = news.phase is Phase.RELEASED, self._trips.read(self.now) > 1.3 * self._calm_rate
        few = self._trial.shares[news.stage] < 1 / 3 or len(self._calm) <= max(1, news.stage)
        if few or busier or (released and self.now - self._told > 10 * SECOND):
            return False
        (slow, many), before, first = self._scoring.slowness(self.now), self._calm[0], self._calm[1]
        slow += int(many * self._shed.read(self.now) / max(100, self._rate.read(self.now)))  # would have been
        worse = before + max(self._poll.delay_price / (2 if released else 4), 1.5 * (first - before))
        return many >= 100 and slow > worse * many and z_score(slow, many, before, FULL) > 3

    def _learn(self, trip: Trip, server: Server, fate: Fate, took: Ticks) -> None:
        if fate in (Fate.CALLED_OFF, Fate.UNSENT):
            return
        lane, (ended, timely) = trip.lookup.lane, self._fares[trip.lookup.member, trip.lookup.lane]
        fault = FAULTS.get(fate, Fault.SLOW if took > lane.expected_time else None)
        ended.add(self.now, 1)
        timely.add(self.now, fault in (None, *HARD))
        # Guards against clients in haste: a time-out before the expected time is nobody's fault.
        if fate is Fate.TIMED_OUT and took < lane.expected_time:
            return
        self._count(server, lane, {fault: 1} if fault else {}, 1, True)
        self._health.note(server, STRIKES.get(fate, 0.0), self._roster.ready, self.now)
        if fate is Fate.DONE:
            self._exposure.done(server.build, trip.lookup)
            for done in (server.done, self._done):
                done.add(self.now, 1)
            server.pace.add(self.now, took / lane.expected_time)

    def _permitted(self, server: Server, lookup: Lookup) -> bool:  # asked again right before each trip
        return self._open(server, lookup) and self._exposure.allows(server.build, lookup, self.now)

    def _open(self, server: Server, lookup: Lookup) -> bool:
        if server.condition is not Condition.READY or not self._repeatable(server, lookup):
            return False
        usual = max(self._done.read(self.now) / 4, self._quotas / self._relays / 2) / len(self._roster.ready)
        return self._health.cold_room(server, usual, self.now)

    def _repeatable(self, server: Server, lookup: Lookup) -> bool:
        if lookup.over or len(lookup.trips) >= self._allowance.trips or self.now >= lookup.due:
            return False
        lane, ran = lookup.lane, [trip for trip in lookup.trips if trip.fate not in NEVER_RAN]
        if not self._allowance.second_copies and any(trip.fate is None for trip in ran):
            return False
        if lane.repeat is not Repeat.RECEIPTED or not ran:
            return lane.repeat is Repeat.PURE or not ran
        zone, cell = ran[0].unit.zone == server.zone, ran[0].unit.cell == server.cell
        group = {Scope.ALL: True, Scope.ZONE: zone, Scope.CELL: cell}
        return group[lane.scope] and self.now < ran[0].sent + lane.memory - self._duties.tick

    def _cost(self, server: Server) -> float:  # the wait to expect there, as a rank
        now, trips = self.now, server.trips.read(self.now)
        load = (1 + len(server.out) + self._out.at(server, now)) / server.size
        load *= (1 + server.pace.read(now)) / (1 + trips)
        # A unit that has gone silent answers nothing at all: its oldest trip tells.
        oldest = next(iter(server.out), None)
        silent = (now - oldest.sent) / oldest.lookup.lane.expected_time if oldest else 0.0
        return load * (1 + 3 * server.strikes.read(now) / (1 + trips)) * (1 + silent)

    def _choose(self, lookup: Lookup, asked: Sequence[Server] = ()) -> list[Server]:  # two, the better first
        cuts = self._spill.cuts(self._roster.groups, lookup)
        return next((pair for groups in cuts if (pair := self._among(groups, lookup, asked))), [])

    def _among(self, groups: Pools, lookup: Lookup, asked: Sequence[Server]) -> list[Server]:
        allows, new = self._exposure.allows, list[Server]()  # builds that were asked in vain come last
        pools = [some for build, some in groups.items() if some and allows(build, lookup, self.now)]
        pools.sort(key=lambda servers: any(server in servers for server in asked))
        while pools and not new:
            new = self._two(pools.pop(0), lookup, asked)
        old = self._two([server for servers in pools for server in servers], lookup, asked)
        # Waiting for a good build has a price, so the exposure that the cap allows is used, unless in doubt.
        lean = 1 + 2 * self._poll.delay_price if self._margin <= 1 else 1
        return new if new and (not old or self._cost(new[0]) <= self._cost(old[0]) * lean) else old

    def _two(self, servers: Sequence[Server], lookup: Lookup, asked: Sequence[Server]) -> list[Server]:
        fresh, other = list[Server](), list[Server]()
        seen = [*self._near(servers), *self._chance.sample(servers, min(SIGHT, len(servers)))]
        for server in dict.fromkeys(seen):
            if server not in asked and self._health.room(server, self.now) and self._open(server, lookup):
                tried = server.aside > self.now or any(trip.unit is server for trip in lookup.trips)
                (other if tried else fresh).append(server)
                if len(fresh) == 2:
                    break
        return sorted(fresh or other[:2], key=self._cost)

    def _near(self, servers: Sequence[Server]) -> list[Server]:
        """Guards against connections to every unit, each idle until it ends: a part of them, by lot, half as
        many as lookups come while one lasts. What all have out tells where the lots fell unevenly."""
        lookups = self._rate.read(self.now) * self._allowance.idle_limit / (4 * SECOND)
        part = max(SIGHT, int(lookups / 2 * len(servers) / max(1, len(self._roster.ready))))
        near = sorted(servers, key=lambda server: server.lot)[:part] if self._sparing else []
        return self._chance.sample(near, min(SIGHT, len(near)))

    def _ask(self, lookup: Lookup, pair: list[Server], until: Ticks) -> Generator[Ticks, None, Server | None]:
        """Guards against thin views, which show no queues: asks two for theirs, and two more while no short
        one is known of. With none at the end the fleet is full. Lost probes make it shed."""
        asked, began, step = list[Server](), self.now, max(1, (until - self.now) // 2)
        short = min(lookup.lane.expected_time, lookup.due - self.now) // 4
        while self.now < until and pair:
            self.acts += [Probe(server) for server in pair]
            asked += pair
            pause, wait, best = min(until, self.now + step), 0, None
            while self.now < pause and (best is None or wait > min(step, short)):
                self._asking[lookup] = None
                yield pause
                told = [server for server in asked if server.told > began and self._permitted(server, lookup)]
                best = min(told, key=lambda server: server.wait, default=None)
                wait = best.wait if best else 0
            if best and wait < short:
                return best
            pair = self._choose(lookup, asked)
        return None

    def _journey(self, lookup: Lookup) -> Journey:
        lane, worth = lookup.lane, lookup.lane.value / lookup.lane.expected_time
        copy_at = lookup.taken + lane.expected_time // 2
        give_up = min(lookup.due - self._duties.tick, lookup.taken + lane.expected_time // 6)
        while not self._forlorn(lookup):
            outranked = self.now < give_up and any(other > worth for other in self._waiting.values())
            pair = [] if outranked else self._choose(lookup)
            server = next(iter(pair), None)
            if pair and self._thin() and self.now < give_up:
                server = yield from self._ask(lookup, pair, give_up)
            if server is not None:
                yield server
            elif self.now < give_up and not self._exposure.hopeless(lookup) and any(
                self._repeatable(other, lookup) for other in self._roster.ready
            ):
                self._waiting[lookup] = worth
                yield give_up
            else:
                break
            while any(trip.fate is None for trip in lookup.trips):
                yield copy_at if self.now < copy_at and self._allowance.second_copies else lookup.due
                # Second copies stay a small part of the traffic: a slow fleet is not loaded further.
                few = self._copies.read(self.now) < 0.1 * self._rate.read(self.now)
                pair = self._choose(lookup) if few and self.now >= copy_at else []
                if pair and lookup.trips[-1].fate is None and pair[0] is not lookup.trips[-1].unit:
                    self._copies.add(self.now, 1)
                    yield pair[0]
        self._give_up(lookup)

    def _forlorn(self, lookup: Lookup) -> bool:
        """Guards against work that is late whatever is done: a member's lane that was seldom timely of late
        is sent in part, be the fleet full or the work one that waits. It harms the seconds after."""
        ended, timely = (fare.read(self.now) for fare in self._fares[lookup.member, lookup.lane])
        hope = 3 * (1 + timely) / (1 + ended)
        return hope < 1 and self._chance.random() > hope

    def _thin(self) -> bool:  # one of many, with less than a lookup for each server in an expected time
        return self._asks and self._rate.read(self.now) * self._longest < 4 * SECOND * len(self._roster.ready)

    def _advance(self, lookup: Lookup, trip: Trip | None) -> None:
        for table in (self._resume, self._waiting, self._asking):
            table.pop(lookup, None)
        try:
            want = self._journeys[lookup].send(trip)
            while isinstance(want, Server):
                self._send(lookup, want)
                want = next(self._journeys[lookup])
        except StopIteration:
            return
        if want < lookup.due:
            self._resume[lookup] = want
            self.acts.append(Wake(want, lookup))

    def _send(self, lookup: Lookup, server: Server) -> None:
        if not self._permitted(server, lookup):
            return
        trip = Trip(lookup, server, len(lookup.trips), self.now, max(1, lookup.due - self.now))
        lookup.trips.append(trip)
        server.out[trip] = None
        self._exposure.spend(server.build, lookup, self.now)
        self._spill.spend(server)
        server.cold_sends.append(self.now)
        self.acts.append(Send(trip))

    def _give_up(self, lookup: Lookup) -> None:
        # A shed reply promises that nothing ran; without that promise the lookup is broken off.
        advice = min(self._longest // 2, self._allowance.retry_advice * self._allowance.longest_advice)
        ran = any(trip.fate not in NEVER_RAN for trip in lookup.trips)
        self.acts.append(BreakOff(lookup) if ran else Shed(lookup, advice))
        self._shed.add(self.now, not ran)
        self.left(lookup)

    def left(self, lookup: Lookup) -> None:
        if lookup.over:
            return
        lookup.over = True
        self._spill.left(lookup)
        for table in (self._journeys, self._waiting, self._resume, self._asking):
            table.pop(lookup, None)
        for trip in lookup.trips:
            if trip.fate is None and self._allowance.calling_off and not trip.streaming:
                self.acts.append(CallOff(trip))
