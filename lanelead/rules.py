"""All decisions of a relay: which unit gets a lookup's next trip, and what to vote on a build.

A host makes one `Relay` an instance, sets `now`, calls it with what it heard, carries out `acts` in order and
empties it: lanelead/interface.py has the types, docs/design.md the mechanism. Two relays share nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Generator, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import ceil, sqrt
from random import Random

from lanelead.interface import (
    Act, Allowance, BreakOff, CallOff, Condition, Control, Coverage, Duties, Fate, Fetch, Lane, Listing,
    Lookup, Member, News, Note, Phase, Place, Poll, Repeat, Report, Scope, Send, Shed, Sighting, Tally,
    Tariff, Tell, Ticks, Trial, Trip, Unit, Verdict, Vote, Wake, Watch,
)
from lanelead.sums import Fading, percentile

SECOND: Ticks = 10_000
NEVER_RAN = (Fate.TURNED_AWAY, Fate.UNREACHABLE, Fate.UNSENT)


class Server(Unit):
    """A unit as this relay knows it: what the roster says, and what its own trips have shown."""

    def __init__(self, mark: int, span: Ticks) -> None:
        super().__init__(mark)
        self.out: dict[Trip, None] = {}  # trips without an end yet, oldest first
        self.listed: Ticks = 0
        self.aside: Ticks = 0  # set aside until then
        self.trips, self.strikes, self.pace = Fading(span), Fading(span), Fading(span)
        self.done = Fading(2 * SECOND)
        self.cold_sends: deque[Ticks] = deque()


def mine(unit: Unit) -> Server:
    assert isinstance(unit, Server)
    return unit


class Roster:
    """The servers as last listed. Draining and gone ones leave `ready` the moment that they are told."""

    def __init__(self) -> None:
        self.known: dict[Server, None] = {}
        self.ready, self.builds = list[Server](), list[int]()

    def apply(self, coverage: Coverage, listings: Iterable[Listing], now: Ticks) -> None:
        if coverage is not Coverage.CHANGES:
            for server in self.known:
                server.condition = Condition.GONE
        for told in listings:
            server = mine(told.unit)
            if server not in self.known or (server.build, server.since) != (told.build, told.since):
                server.listed, server.aside = told.since if coverage is Coverage.CACHED else now, 0
            server.update(told)
            self.known[server] = None
        self.ready = [server for server in self.known if server.condition is Condition.READY]
        self.known = {server: None for server in self.known if server.condition is not Condition.GONE}
        self.builds = list(dict.fromkeys(server.build for server in self.ready))


class Ledger:
    """Trips at one build on trial: no stretch of the window, wherever it starts, may go over. An entry is
    (time, trips - credit so far) before a trip; the smallest one of the window decides."""

    def __init__(self, free: float, window: Ticks) -> None:
        self._free, self._window = free, window
        self.credit, self.trips = 0.0, 0
        self._low: deque[tuple[Ticks, float]] = deque()

    def spare(self, now: Ticks) -> float:
        while self._low and self._low[0][0] < now - self._window:
            self._low.popleft()
        return self._free + (min(0.0, self._low[0][1] - self.trips + self.credit) if self._low else 0.0)

    def spend(self, now: Ticks) -> None:
        stand = self.trips - self.credit
        while self._low and self._low[-1][1] >= stand:
            self._low.pop()
        self._low.append((now, stand))
        self.trips += 1


class Exposure:
    """What may go to a build on trial: the cap, the guarded stages and the keys that stay."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._ledgers: dict[tuple[int, Lane | None], Ledger] = {}
        self._keys: dict[str, int] = {}
        self._seen: dict[str, tuple[Ticks, Ticks]] = {}  # the last two times, the oldest key first
        self.news: News | None = None

    def hear(self, news: News) -> None:
        self.news = news
        if news.phase in (Phase.REVERTING, Phase.WITHDRAWN):
            self._keys.clear()

    def on_trial(self, build: int) -> bool:
        told = self.news  # the build last told of is on trial until its release, and any later one
        return told is None or build > told.build - (told.phase is not Phase.RELEASED)

    def _cap(self, build: int) -> float:
        """The cap in force; a build that the news does not name yet counts as in the first stage."""
        if self.news is None or build > self.news.build:
            return self._trial.caps[0] if self.news else 0.0
        return self.news.cap if self.news.phase is Phase.TRIAL else 0.0

    def _ledger(self, build: int, lane: Lane) -> Ledger:
        ledger = Ledger(self._trial.free, self._trial.window)
        return self._ledgers.setdefault((build, lane if self._trial.by_lane else None), ledger)

    def take(self, lookup: Lookup, builds: Iterable[int], now: Ticks) -> None:
        """A lookup taken earns its share of a trip at each build on trial."""
        for build in filter(self.on_trial, builds):
            self._ledger(build, lookup.lane).credit += self._cap(build)
        if self._trial.keys_stay and lookup.key is not None:
            last = self._seen.pop(lookup.key, (-self._trial.window * 2, -self._trial.window * 2))[1]
            self._seen[lookup.key] = last, now
            while self._seen[oldest := next(iter(self._seen))][1] < now - 2 * self._trial.window:
                del self._seen[oldest]

    def _tie(self, lookup: Lookup) -> int:
        """The build that has answered the lookup's key, on trial or since its release: no earlier one may."""
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
            # A key that has been here once is tied to the new build. Popular keys would soon use up the cap,
            # and leave nothing for lookups that may go nowhere else: they come last, as the cap grows.
            need, rare = 2.0, 2 * self._trial.window * (1 - cap)
            if lookup.taken - self._seen[lookup.key][0] < rare:
                return False
        return self._ledger(build, lookup.lane).spare(now) >= need

    def spend(self, build: int, lookup: Lookup, now: Ticks) -> None:
        if self.on_trial(build):
            self._ledger(build, lookup.lane).spend(now)

    def done(self, build: int, lookup: Lookup) -> None:
        if self._trial.keys_stay and lookup.key and (self.news is None or build >= self.news.build):
            self._keys[lookup.key] = max(build, self._tie(lookup))


class Fault(Enum):
    BROKEN = 10.0  # errors: what a build does wrong whatever its server's load
    WRONG = 10.1  # answers that a client found wrong
    SLOW = 1.0  # time-outs and late answers: a build's doing, or a neighbour's, or the load's
    SHUT = 0.01  # turned away, unreachable, cut: the machine's doing or the load's, hardly ever the build's


def z_score(faults: int, outcomes: int, mean: float) -> float:
    """Earlier windows hold too few outcomes for the source's deviation: it is the one that a window as full
    as this would have, and never less than one outcome's share."""
    deviation = max(sqrt(mean * max(0.0, 1 - mean) / outcomes), 1 / outcomes)
    return (faults / outcomes - mean) / deviation


def tally(windows: Iterable[Window], fault: Fault) -> dict[Server, tuple[int, int]]:
    counts: dict[Server, tuple[int, int]] = {}
    for w in windows:
        faults, many = counts.get(w.server, (0, 0))
        counts[w.server] = faults + w.faults.get(fault, 0), many + w.outcomes
    return counts


def tamed(counts: dict[Server, tuple[int, int]], keep: int) -> tuple[int, int]:
    shares = sorted(faults / many for faults, many in counts.values())
    top = shares[keep - 1] if keep else 0.0
    return int(sum(min(f, top * n) for f, n in counts.values()) + 1e-6), sum(n for _, n in counts.values())


FAULTS = dict.fromkeys((Fate.TURNED_AWAY, Fate.UNREACHABLE, Fate.CUT), Fault.SHUT)
STRIKES = {Fate.UNREACHABLE: 2.0, Fate.CUT: 1.0, Fate.ERROR: 1.0, Fate.TIMED_OUT: 1.0}
HARD = (Fault.BROKEN, Fault.WRONG)


@dataclass(slots=True, eq=False)
class Window:
    """The outcomes of one lane at one server in a second, or in a few of them that are judged together."""

    server: Server
    lane: Lane
    build: int
    start: Ticks
    outcomes: int = 0
    faults: dict[Fault, int] = field(default_factory=dict)

    def add(self, outcomes: int, faults: dict[Fault, int]) -> None:
        self.outcomes += outcomes
        self.faults.update({fault: self.faults.get(fault, 0) + many for fault, many in faults.items()})


class Scoring:
    """The source's score: z against the earlier build x decay x percentile x weight, summed a server."""

    def __init__(self, span: Ticks, scale: Ticks, fill: int, ripe: Ticks) -> None:
        self._span, self._scale, self._fill, self._ripe = span, scale, fill, ripe
        self._windows: deque[Window] = deque()
        self._open: dict[tuple[Server, Lane], Window] = {}
        self.stage_start: Ticks = 0

    def record(self, server: Server, lane: Lane, faults: dict[Fault, int], now: Ticks, outcomes: int) -> None:
        window, second = self._open.get((server, lane)), now - now % SECOND
        if window is None or (window.start, window.build) != (second, server.build):
            window = self._open[server, lane] = Window(server, lane, server.build, second)
            self._windows.append(window)
            while self._windows[0].start < min(self.stage_start, now) - 2 * self._span:
                self._windows.popleft()
        # Coldness makes a server slow, but never wrong: only slowness goes unscored until it is ripe.
        ripe = now - server.listed >= self._ripe
        window.add(outcomes, {fault: many for fault, many in faults.items() if ripe or fault in HARD})

    def _base(self, trial: int, now: Ticks) -> list[Window]:
        """The earlier build's last windows before the stage; if there are none, its current ones."""
        earlier, reach = [w for w in self._windows if w.build < trial], 2 * self._span
        before = [w for w in earlier if self.stage_start - reach <= w.start < self.stage_start]
        return before or [w for w in earlier if w.start >= now - reach]

    def _score(
        self, faults: int, outcomes: int, fault: Fault, base: list[Window], gap: Ticks, among: list[float]
    ) -> float:
        many = sum(w.outcomes for w in base)
        if not many or not outcomes:
            return 0.0
        # One stray fault more than seen, errors apart: a thin baseline makes a few look like many.
        before = sum(w.faults.get(fault, 0) for w in base) + (fault is not Fault.BROKEN)
        z = z_score(faults, outcomes, before / (many + 1))
        decay = 1 / (max(0, gap) / self._scale + 1)
        return z * decay * percentile(faults / outcomes, among) * fault.value if z > 2 else 0.0

    def read(self, servers: Sequence[Server], trial: int, now: Ticks, span: Ticks = 0) -> tuple[float, float]:
        """The margin of the trial servers' mean score over the earlier ones', and that mean itself."""
        base, judged = self._base(trial, now), dict.fromkeys(servers, 0.0)
        blocks: dict[tuple[Server, Lane], list[Window]] = {}
        for w in reversed(self._windows):
            if w.start < now - (span or self._span):
                break
            if w.server in judged and w.build == w.server.build:
                row = blocks.setdefault((w.server, w.lane), [])
                if not row or row[-1].outcomes >= self._fill:
                    row.append(Window(w.server, w.lane, w.build, w.start))
                row[-1].add(w.outcomes, w.faults)
        every = [block for row in blocks.values() for block in row if block.outcomes]
        for block in every:
            like, of_lane = ([w for w in some if w.lane is block.lane] for some in (every, base))
            gap = now - (block.server.since if block.build >= trial else self.stage_start)
            for fault, many in block.faults.items():
                among = [other.faults.get(fault, 0) / other.outcomes for other in like]
                judged[block.server] += self._score(many, block.outcomes, fault, of_lane, gap, among)
        new = [score for server, score in judged.items() if server.build == trial]
        old = [score for server, score in judged.items() if server.build < trial]
        # Guards against a trouble of one machine that would carry the mean alone: no server counts for more
        # than twice the margin. It could do harm with a build that fails on few machines; 'on' still waits.
        mean = sum(min(score, 6.0) for score in new) / max(1, len(new))
        whole = self._whole(every, base, trial, now)
        return mean - sum(old) / max(1, len(old)) + whole, mean

    def _whole(self, blocks: list[Window], base: list[Window], trial: int, now: Ticks) -> float:
        """The same score for the trial build as a whole, less that of the earlier one: guards against a fault
        spread so thinly that no single server shows it. The worst quarter of the servers counts as the next
        best does, so that a trouble of a few machines does not pass for one."""
        total, some_old = 0.0, any(block.build < trial for block in blocks)
        # With no earlier server left to compare with, slowness is as likely the load's doing.
        for fault in Fault if some_old else HARD:
            counts = tally(blocks, fault)
            shares = [faults / many for faults, many in counts.values()]
            for sign, new in ((1, True), (-1, False)):
                side = {server: count for server, count in counts.items() if (server.build == trial) is new}
                faults, many = tamed(side, len(side) - len(side) // 4 - (len(side) > 1))
                starts = [server.since if new else self.stage_start for server in side] or [now]
                gap = now - sum(starts) // len(starts)
                total += sign * self._score(faults, many, fault, base, gap, shares)
        return total

    def slowness(self, servers: Sequence[Server], now: Ticks) -> tuple[int, int]:
        """Slow answers and outcomes lately, at the better half of the servers, whatever their build."""
        lately = [w for w in self._windows if w.start >= now - self._span and w.outcomes]
        counts = tally([w for w in lately if w.server in servers], Fault.SLOW)
        return tamed(counts, (len(counts) + 1) // 2)


class Ballot:
    """This relay's one vote: when to cast it, and when to cast it again."""

    def __init__(self, poll: Poll, chance: Random) -> None:
        self._poll, self._chance = poll, chance
        self._cast: Vote | None = None
        self._lapses: Ticks = 0  # when the vote that stands has to be cast again
        self._quiet: Ticks = 0  # no vote before then: one is on its way, or the platform had too many

    def hear(self, news: News, now: Ticks) -> None:
        if news.answer and news.word is Fate.DONE:
            self._quiet = now
        elif news.answer:  # it may be lost: cast again, after a random time, since all relays lost theirs
            self._cast = None
            self._quiet = now + int(self._poll.answer_limit * self._chance.uniform(0.1, 0.5))

    def cast(self, vote: Vote, now: Ticks) -> bool:
        """True when the vote is due: it is new, or would lapse. A way back waits for nothing."""
        fresh = vote != self._cast
        hurry = fresh and vote.verdict is Verdict.BACK
        if not hurry and now < (self._quiet if fresh else max(self._quiet, self._lapses)):
            return False
        self._cast, self._lapses = vote, now + self._poll.vote_life * 3 // 4
        self._quiet = now + self._poll.answer_limit + SECOND
        return True

    def verdict(self, news: News, ripe: bool, margin: float, lately: float, creep: bool) -> Verdict | None:
        if news.phase in (Phase.TRIAL, Phase.RELEASED) and (margin > 3 or (creep and ripe)):
            return Verdict.BACK
        if news.phase is not Phase.TRIAL:
            return None
        if self._poll.control is Control.AUTOMATIC:
            return Verdict.HOLD if lately > 3 else Verdict.NONE if self._cast else None
        return Verdict.ON if ripe else None


class Health:
    """Sets failing units aside, never more than half of the fleet, and counts what goes to a cold one."""

    def __init__(self, duties: Duties, target: Ticks, rest: Ticks, chance: Random) -> None:
        self._share, self._time = duties.cold_share, duties.cold_time
        self._multiple, self._fall = duties.fall_multiple, duties.fall_time
        self._target, self._rest, self._chance = target, rest, chance

    def note(self, server: Server, strike: float, ready: Sequence[Server], now: Ticks) -> None:
        server.trips.add(now, 1)
        server.strikes.add(now, strike)
        failing = server.strikes.read(now) >= max(2.0, server.trips.read(now) / 2)
        if failing and server.aside <= now and 2 * sum(other.aside > now for other in ready) < len(ready):
            server.aside = now + self._rest + int(self._rest * self._chance.random())

    def room(self, server: Server, now: Ticks) -> bool:
        """May a unit hold one more trip? As many as it lately did in six tenths of the expected time, and
        one to learn by. Guards against queues too long for any answer to come in time, whatever fills them (a
        burst, a slow build, a neighbour, silence). It could do harm where answers come in bunches."""
        return len(server.out) < max(1.0, 1.2 * server.done.read(now) / (2 * SECOND) * self._target)

    def cold_room(self, server: Server, usual: float, now: Ticks) -> bool:
        """May a cold unit take one more? `usual`: what a warm one does for this relay a second. If each relay
        stays under a multiple of its own usual, all together do, however lopsided the traffic is."""
        sends, age = server.cold_sends, now - server.since
        while sends and sends[0] <= now - self._fall:
            sends.popleft()
        rise = self._share + (1 - self._share) * max(0, age) / max(1, self._time)
        budget = self._multiple / 2 * rise * usual * self._fall / SECOND
        return age >= self._time or server.since <= 0 or len(sends) < max(1.0, budget)


Journey = Generator[Server | Ticks, Trip | None, None]  # yields a server to try, or until when to wait


class Relay:
    """One relay's decisions: joins the parts, and keeps each rule by a guard that no choice gets round."""

    def __init__(
        self, place: Place, lanes: Sequence[Lane], members: Sequence[Member], allowance: Allowance,
        duties: Duties, trial: Trial, poll: Poll, tariff: Tariff, chance: Random, now: Ticks,
    ) -> None:
        self.now, self.acts = now, list[Act]()
        self._allowance, self._duties, self._trial = allowance, duties, trial
        self._poll, self._over_share, self._chance = poll, tariff.over_share, chance
        self._longest, least = (pick(lane.expected_time for lane in lanes) for pick in (max, min))
        self._roster, self._exposure, self._ballot = Roster(), Exposure(trial), Ballot(poll, chance)
        self._scoring = Scoring(5 * SECOND, 3 * SECOND, fill=10, ripe=5 * SECOND)
        self._health = Health(duties, least // 2, 2 * self._longest, chance)
        self._waiting: dict[Lookup, float] = {}  # with what each is worth for its time
        self._callers = {member: Fading(4 * SECOND) for member in [*members, None]}
        self._journeys, self._resume = dict[Lookup, Journey](), dict[Lookup, Ticks]()
        self._rate, self._copies, self._shed = (Fading(4 * SECOND) for _ in range(3))
        self._usual, self._margin, self._stage, self._told, self._doubt = 0.0, 0.0, (-1, 0), 0, 0
        self._calm, self._calm_rate = list[float](), 0.0  # slow answers at the end of each stage, from before
        self._tallied, self._untold = dict[int, Server](), dict[tuple[Server, Lane], Sighting]()
        self.acts += [Wake(now + SECOND // 5, None), *([Watch(True)] if duties.subscribe else [])]

    def meet(self, mark: int) -> Unit:
        return Server(mark, 2 * self._longest)

    def roster(self, coverage: Coverage, listings: Sequence[Listing]) -> None:
        if coverage is not Coverage.FAILED:
            self._roster.apply(coverage, listings, self.now)
        else:
            self.acts.append(Watch(True) if self._duties.subscribe else Fetch())

    def news(self, news: News) -> None:
        self._ballot.hear(news, self.now)
        if news.word is not Fate.DONE:
            return
        self._exposure.hear(news)
        self._told = self.now - news.age
        if (news.build, news.stage) != self._stage:
            self._stage, self._scoring.stage_start = (news.build, news.stage), self._told
            faults, outcomes = self._slowness()
            if news.stage == 0:
                self._calm, self._calm_rate = [], self._rate.read(self.now)
            self._calm += [faults / outcomes] if outcomes and len(self._calm) == news.stage else []

    def take(self, lookup: Lookup) -> None:
        self._rate.add(self.now, 1)
        self._callers[lookup.member].add(self.now, 1)
        self._exposure.take(lookup, self._roster.builds, self.now)
        self._journeys[lookup] = self._journey(lookup)
        self._advance(lookup, None)

    def started(self, trip: Trip) -> None:
        trip.streaming = True
        self._resume.pop(trip.lookup, None)  # it belongs to the client now: no second copy

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: Ticks, report: Report | None) -> None:
        lookup, server, trip.fate = trip.lookup, mine(trip.unit), fate
        server.out.pop(trip, None)
        self._learn(trip, server, fate, took)
        if fate is Fate.DONE:
            self._exposure.done(server.build, lookup)
        if closed:
            self.left(lookup)
        elif not lookup.over:
            self._advance(lookup, trip)
        self._relieve()

    def wake(self, lookup: Lookup | None) -> None:
        if lookup is None:
            self._tick()
        elif not lookup.over and self._resume.get(lookup, self.now + 1) <= self.now:
            self._advance(lookup, None)

    def heard(self, peer: int, sightings: Sequence[Sighting]) -> None:
        for seen in sightings:
            faults = dict(zip(Fault, seen.faults, strict=True))
            self._scoring.record(mine(seen.unit), seen.lane, faults, self.now, seen.outcomes)

    def _witness(self, server: Server, lane: Lane, fault: Fault | None, outcomes: int) -> None:
        """Counts an outcome. Early stages give one relay too few, so it tells its peers of those on trial;
        and of faults elsewhere, since judged on less evidence they would hide a trouble of both builds."""
        self._scoring.record(server, lane, {fault: 1} if fault else {}, self.now, outcomes)
        if self._allowance.peers and (fault in HARD or self._exposure.on_trial(server.build)):
            empty = Sighting(server, lane, server.build, 0, [0] * len(Fault))
            seen = self._untold.setdefault((server, lane), empty)
            seen.outcomes += outcomes
            if fault:
                seen.faults[list(Fault).index(fault)] += 1

    def complaint(self, unit: Unit, lane: Lane, age: Ticks) -> None:
        self._witness(mine(unit), lane, Fault.WRONG, 0)

    def tally(self, counted: Tally) -> None:
        source = self._tallied.setdefault(counted.build, Server(0, self._longest))
        source.build, source.since = counted.build, self._told  # its gap is the stage's
        self._scoring.record(source, counted.lane, {Fault.BROKEN: counted.lost}, self.now, counted.trips)

    def probed(self, unit: Unit, fate: Fate, took: Ticks, report: Report | None) -> None:
        pass

    def _tick(self) -> None:
        self.acts.append(Wake(self.now + SECOND // 5, None))
        self.acts += [Tell(None, [*self._untold.values()])] if self._untold else []
        self._untold.clear()
        self._learn_usual()
        news, ready = self._exposure.news, self._roster.ready
        new = [server for server in ready if news and server.build == news.build]
        if news is None or not new:
            return
        judged = [*ready, *self._tallied.values()]
        self._margin, _ = self._scoring.read(judged, news.build, self.now)
        clock = self._poll.control is Control.AUTOMATIC
        lately = self._scoring.read(judged, news.build, self.now, 3 * SECOND)[1] if clock else 0.0
        # Machines listed late start the stage's clock late; while most are set aside, nothing is learnt.
        wait, places = 5 * SECOND, sum(s.build < news.build or self._trial.in_place for s in ready)
        all_here = len(new) >= ceil(self._trial.shares[news.stage] * places - 1e-6)
        shut_out = 2 * sum(server.aside > self.now for server in new) >= len(new)
        self._doubt = self.now if self._margin > 1 else self._doubt
        settled = self.now - max(self._told, self._doubt, *(server.since for server in new)) >= wait
        ripe = settled and not shut_out and (all_here or self.now - self._told >= 3 * wait)
        verdict = self._ballot.verdict(news, ripe, self._margin, lately, self._creeping(news))
        vote = Vote(news.build, news.stage, verdict) if verdict else None
        if vote and self._ballot.cast(vote, self.now):
            self.acts += [vote, Note(f"{vote.verdict.name} on build {news.build}: margin {self._margin:.1f}")]

    def _slowness(self) -> tuple[int, int]:
        shed = int(self._shed.read(self.now))  # it found no room: it would have been slow
        faults, outcomes = self._scoring.slowness(self._roster.ready, self.now)
        return faults + shed, outcomes + shed

    def _creeping(self, news: News) -> bool:
        """Has the whole fleet grown slow stage by stage, or far slower right at the release, with no more
        traffic than before the build? Guards against a build that slows all units in step with its traffic.
        Only the better half of the servers counts, so that a trouble of some machines does not, and a hundred
        outcomes, so that a thin view sends nothing back. It could harm when traffic grows at other relays."""
        released, age = news.phase is Phase.RELEASED, self.now - self._told
        busier = self._rate.read(self.now) - self._shed.read(self.now) > 1.3 * self._calm_rate
        if news.stage < 2 or len(self._calm) <= news.stage or busier or (released and age > 5 * SECOND):
            return False
        (faults, outcomes), before, last = self._slowness(), self._calm[0], self._calm[-1]
        worse = before + max(self._poll.delay_price / (1 if released else 4), 1.5 * (last - before))
        return outcomes >= 100 and faults > worse * outcomes and z_score(faults, outcomes, before) > 3

    def _learn(self, trip: Trip, server: Server, fate: Fate, took: Ticks) -> None:
        if fate in (Fate.CALLED_OFF, Fate.UNSENT):
            return
        lane = trip.lookup.lane
        slow = Fault.SLOW if fate is Fate.TIMED_OUT or took > lane.expected_time else None
        self._witness(server, lane, Fault.BROKEN if fate is Fate.ERROR else FAULTS.get(fate, slow), 1)
        self._health.note(server, STRIKES.get(fate, 0.0), self._roster.ready, self.now)
        if fate is Fate.DONE:
            server.done.add(self.now, 1)
            server.pace.add(self.now, took / lane.expected_time)

    def _permitted(self, server: Server, lookup: Lookup) -> bool:
        """The rules' guards, asked again right before each trip: no choice gets round them."""
        if server.condition is not Condition.READY or not self._repeatable(server, lookup):
            return False
        room = self._health.cold_room(server, self._usual, self.now)
        return room and self._exposure.allows(server.build, lookup, self.now)

    def _repeatable(self, server: Server, lookup: Lookup) -> bool:
        if lookup.over or len(lookup.trips) >= self._allowance.trips or self.now >= lookup.due:
            return False
        if not self._allowance.second_copies and any(trip.fate is None for trip in lookup.trips):
            return False
        lane, ran = lookup.lane, [trip for trip in lookup.trips if trip.fate not in NEVER_RAN]
        if lane.repeat is not Repeat.RECEIPTED or not ran:
            return lane.repeat is Repeat.PURE or not ran
        zone, cell = ran[0].unit.zone == server.zone, ran[0].unit.cell == server.cell
        group = {Scope.ALL: True, Scope.ZONE: zone, Scope.CELL: cell}
        return group[lane.scope] and self.now < ran[0].sent + lane.memory - self._duties.tick

    def _learn_usual(self) -> None:
        """While most units are cold the last figure holds: a warm few would seem to do the work of all."""
        warm = [s for s in self._roster.ready if self.now - s.since >= self._duties.cold_time]
        if warm and 2 * len(warm) >= len(self._roster.ready):
            self._usual = sum(server.done.read(self.now) for server in warm) / 2 / len(warm)

    def _cost(self, server: Server) -> float:
        """Ranks servers by the wait to expect there."""
        now, trips = self.now, server.trips.read(self.now)
        load = (1 + len(server.out)) * (1 + server.pace.read(now)) / (1 + trips) / server.size
        # A unit that has gone silent answers nothing at all: its oldest trip tells.
        oldest = next(iter(server.out), None)
        silent = (now - oldest.sent) / oldest.lookup.lane.expected_time if oldest else 0.0
        return load * (1 + 3 * server.strikes.read(now) / (1 + trips)) * (1 + silent)

    def _choose(self, lookup: Lookup) -> Server | None:
        tried = [trip.unit for trip in lookup.trips]
        pool = [server for server in self._roster.ready if self._permitted(server, lookup)]
        pool = [server for server in pool if server not in tried] or pool
        pool = [server for server in pool if server.aside <= self.now] or pool
        pool = [server for server in pool if self._health.room(server, self.now)]
        newest = max((server.build for server in pool), default=0)
        new = self._two([server for server in pool if server.build == newest])
        old = self._two([server for server in pool if server.build < newest])
        if new is None or old is None:
            return new or old
        # Waiting for a good build has a price, so the exposure that the cap allows is used, unless in doubt.
        lean = 1 + 2 * self._poll.delay_price if self._margin <= 1 else 1
        return new if self._cost(new) <= self._cost(old) * lean else old

    def _two(self, pool: Sequence[Server]) -> Server | None:
        return min(self._chance.sample(pool, min(2, len(pool))), key=self._cost, default=None)

    def _journey(self, lookup: Lookup) -> Journey:
        """One lookup, from its taking to its final answer."""
        lane, worth = lookup.lane, self._worth(lookup)
        copy_at = lookup.taken + lane.expected_time // 2
        give_up = min(lookup.due - self._duties.tick, lookup.taken + lane.expected_time // 6)
        while True:
            outranked = self.now < give_up and any(other > worth for other in self._waiting.values())
            server = None if outranked else self._choose(lookup)
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
                second = self._choose(lookup) if few and self.now >= copy_at else None
                if second and lookup.trips[-1].fate is None and second is not lookup.trips[-1].unit:
                    self._copies.add(self.now, 1)
                    yield second
        self._give_up(lookup)

    def _worth(self, lookup: Lookup) -> float:
        """Value for the time it takes. Guards against a member that floods the fleet: what exceeds its share,
        held against what the others send through this relay, is the first to wait and to be shed."""
        worth, member = lookup.lane.value / lookup.lane.expected_time, lookup.member
        if member is None:
            return worth
        own, quota = self._callers[member].read(self.now), sum(some.quota for some in self._callers if some)
        others = sum(rate.read(self.now) for rate in self._callers.values()) - own
        fair = 1.5 * member.quota / max(0.1, quota - member.quota) * others
        over = others > 1 and self._chance.random() * own > fair
        return worth * self._over_share if over else worth

    def _relieve(self) -> None:
        """Room has come up: the waiting lookups that are worth most for their time go first."""
        for lookup in sorted(self._waiting, key=lambda waiting: -self._waiting[waiting])[:3]:
            self._advance(lookup, None)

    def _advance(self, lookup: Lookup, trip: Trip | None) -> None:
        for table in (self._resume, self._waiting):
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
        server.cold_sends.append(self.now)
        self.acts.append(Send(trip))

    def _give_up(self, lookup: Lookup) -> None:
        """A shed reply promises that nothing ran; without that promise the lookup is broken off."""
        advice = min(self._longest // 2, self._allowance.retry_advice * self._allowance.longest_advice)
        shed = all(trip.fate in NEVER_RAN for trip in lookup.trips)
        self.acts.append(Shed(lookup, advice) if shed else BreakOff(lookup))
        self._shed.add(self.now, shed)
        self.left(lookup)

    def left(self, lookup: Lookup) -> None:
        if lookup.over:
            return
        lookup.over = True
        for table in (self._journeys, self._waiting, self._resume):
            table.pop(lookup, None)
        for trip in lookup.trips:
            if trip.fate is None and self._allowance.calling_off and not trip.streaming:
                self.acts.append(CallOff(trip))
