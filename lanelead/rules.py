"""All decisions of a relay: which unit gets a lookup's next trip, and what to vote on a build.

A host makes one `Relay` an instance, sets `now` before it passes on what it heard (`roster`, `news`, `take`,
`ended`, `wake`, ...), and then carries out `acts` in order and empties it. The types that cross that line
stand in `lanelead/interface.py`; docs/design.md tells the mechanism. Nothing here does I/O, reads a clock or
knows an id, and two relays share nothing.

From the top: decaying sums, servers, exposure, scoring, ballot, health and cold budget, and the relay with
the lookup's generator.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Generator, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from math import exp, sqrt
from random import Random
from struct import Struct

from lanelead.interface import (
    Act, Allowance, BreakOff, CallOff, Condition, Control, Coverage, Duties, Fate, Fetch, Lane, Listing,
    Lookup, Member, News, Note, Phase, Place, Poll, Repeat, Report, Scope, Send, Shed, Tally, Tariff, Tell,
    Ticks, Trial, Trip, Unit, Verdict, Vote, Wake, Watch,
)

SECOND: Ticks = 10_000
ROW = Struct(">HHB5B")  # what relays tell each other: unit, build, lane; outcomes, then each kind of fault
NEVER_RAN = (Fate.TURNED_AWAY, Fate.UNREACHABLE, Fate.UNSENT)


class Fading:
    """A sum that decays; it is brought up to date when it is read."""

    __slots__ = ("_at", "_span", "_sum")

    def __init__(self, span: Ticks) -> None:
        self._span, self._at, self._sum = span, 0, 0.0

    def read(self, now: Ticks) -> float:
        if now > self._at:
            self._sum *= exp((self._at - now) / self._span)
            self._at = now
        return self._sum

    def add(self, now: Ticks, amount: float) -> None:
        self._sum = self.read(now) + amount


class Server(Unit):
    """A unit as this relay knows it: what the roster says, and what its own trips have shown."""

    __slots__ = ("aside", "cold_sends", "done", "listed", "out", "pace", "strikes", "trips")

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
        self.ready: list[Server] = []

    def apply(self, coverage: Coverage, listings: Iterable[Listing], now: Ticks) -> None:
        if coverage is not Coverage.CHANGES:
            for server in self.known:
                server.condition = Condition.GONE
        for told in listings:
            server = mine(told.unit)
            if server not in self.known or (server.build, server.since) != (told.build, told.since):
                server.listed = now if coverage is not Coverage.CACHED else told.since
                server.aside = 0
            server.zone, server.cell, server.kind = told.zone, told.cell, told.kind
            server.since, server.build, server.size = told.since, told.build, told.size
            server.condition = told.condition
            self.known[server] = None
        self.ready = [server for server in self.known if server.condition is Condition.READY]
        self.known = {server: None for server in self.known if server.condition is not Condition.GONE}


class Ledger:
    """Trips at one build on trial, so that no stretch of the window, wherever it starts, goes over.

    Each entry is (time, trips so far - credit so far) as it stood before a trip; a stretch that starts there
    may hold `free` trips more than the credit earned since. The smallest entry of the window decides.
    """

    def __init__(self, free: float, window: Ticks) -> None:
        self._free, self._window = free, window
        self.credit, self.trips = 0.0, 0
        self._low: deque[tuple[Ticks, float]] = deque()

    def spare(self, now: Ticks) -> float:
        """How many trips may still go there now."""
        while self._low and self._low[0][0] < now - self._window:
            self._low.popleft()
        stand = self.trips - self.credit
        return self._free - (stand - min(stand, self._low[0][1] if self._low else stand))

    def spend(self, now: Ticks) -> None:
        stand = self.trips - self.credit
        while self._low and self._low[-1][1] >= stand:
            self._low.pop()
        self._low.append((now, stand))
        self.trips += 1


class Exposure:
    """What may go to a build on trial: the cap, the guarded stages and the keys that stay."""

    def __init__(self, trial: Trial, lanes: Sequence[Lane]) -> None:
        self._trial = trial
        self._lanes: list[Lane | None] = [*lanes] if trial.by_lane else [None]
        self._ledgers: dict[int, dict[Lane | None, Ledger]] = {}
        self._keys: dict[str, int] = {}
        self._seen: dict[str, Ticks] = {}
        self.news: News | None = None

    def hear(self, news: News) -> None:
        self.news = news
        if news.phase in (Phase.REVERTING, Phase.WITHDRAWN):
            self._keys.clear()

    def on_trial(self, build: int) -> bool:
        """True for the build last told of until its release, and for any later one."""
        if self.news is None or build > self.news.build:
            return True
        return build == self.news.build and self.news.phase is not Phase.RELEASED

    def _cap(self, build: int) -> float:
        """The cap in force; a build that the news does not name yet counts as in the first stage."""
        if self.news is None or build > self.news.build:
            return self._trial.caps[0] if self.news else 0.0
        return self.news.cap if self.news.phase is Phase.TRIAL else 0.0

    def _ledger(self, build: int, lane: Lane) -> Ledger:
        if build not in self._ledgers:
            free, window = self._trial.free, self._trial.window
            self._ledgers[build] = {part: Ledger(free, window) for part in self._lanes}
        return self._ledgers[build][lane if self._trial.by_lane else None]

    def take(self, lookup: Lookup, builds: Iterable[int], now: Ticks) -> None:
        """A lookup taken earns its share of a trip at each build on trial."""
        for build in builds:
            self._ledger(build, lookup.lane).credit += self._cap(build)
        if self._trial.keys_stay and lookup.key is not None:
            if len(self._seen) > 100_000:  # a bound on memory, far above any window's keys
                self._seen.clear()
            self._seen.setdefault(lookup.key, now)

    def stuck(self, lookup: Lookup) -> bool:
        """True when a build on trial has answered the lookup's key, so that no earlier one may."""
        return lookup.key is not None and lookup.key in self._keys

    def guarded(self, lookup: Lookup, build: int | None = None) -> bool:
        """True in a stage that takes pure lookups only, for one that is not; no build means the newest."""
        named = self.news is not None and build in (None, self.news.build)
        stage = self.news.stage if self.news and named else 0
        return stage < self._trial.guarded and lookup.lane.repeat is not Repeat.PURE

    def allows(self, build: int, lookup: Lookup, now: Ticks) -> bool:
        if not self.on_trial(build):
            return not self.stuck(lookup) or build >= self._keys[lookup.key or ""]
        cap = self._cap(build)
        if cap <= 0 or self.guarded(lookup, build):
            return False
        need = 1.0
        if self._trial.keys_stay and lookup.key is not None and not self.stuck(lookup):
            # A key that has been here once is tied to the new build. Popular keys would soon use up the whole
            # cap, and leave nothing for lookups that may go nowhere else: they come last, as the cap grows.
            need = 2.0
            if now - lookup.taken == 0 and self._seen.get(lookup.key, now) < now - self._trial.window * cap:
                return False
        return self._ledger(build, lookup.lane).spare(now) >= need

    def spent(self, build: int, lookup: Lookup, now: Ticks) -> None:
        if self.on_trial(build):
            self._ledger(build, lookup.lane).spend(now)

    def done(self, build: int, lookup: Lookup) -> None:
        if self._trial.keys_stay and lookup.key is not None and self.news and self.on_trial(build):
            self._keys[lookup.key] = max(build, self._keys.get(lookup.key, 0))


class Fault(Enum):
    BROKEN = 10.0  # errors: what a build does wrong whatever its server's load
    WRONG = 10.1  # answers that a client found wrong
    SLOW = 1.0  # time-outs and late answers: a build's doing, or a neighbour's, or the load's
    SHUT = 0.01  # turned away, unreachable, cut: the machine's doing or the load's, hardly ever the build's


def percentile(value: float, among: Sequence[float]) -> float:
    """The part of the others that the value exceeds, those equal to it counted half."""
    ordered = sorted(among)
    return (bisect_left(ordered, value) + bisect_right(ordered, value)) / 2 / max(1, len(ordered))


def z_score(faults: int, outcomes: int, mean: float) -> float:
    """The source's deviation is that of the earlier windows; ours hold too few outcomes each for that, so it
    is the one that a window as full as this would have, and never less than one outcome's share."""
    deviation = max(sqrt(mean * max(0.0, 1 - mean) / outcomes), 1 / outcomes)
    return (faults / outcomes - mean) / deviation


def tally(windows: Iterable[Window], fault: Fault) -> dict[Server, tuple[int, int]]:
    """Faults of one kind, and outcomes, by server."""
    counts: dict[Server, tuple[int, int]] = {}
    for w in windows:
        faults, many = counts.get(w.server, (0, 0))
        counts[w.server] = faults + w.faults.get(fault, 0), many + w.outcomes
    return counts


def best(counts: dict[Server, tuple[int, int]], keep: int) -> tuple[int, int]:
    """The sums over those servers that show the smallest shares."""
    kept = sorted(counts.values(), key=lambda count: count[0] / count[1])[:keep]
    return sum(faults for faults, _ in kept), sum(many for _, many in kept)


FAULTS = {Fate.TURNED_AWAY: Fault.SHUT, Fate.UNREACHABLE: Fault.SHUT, Fate.CUT: Fault.SHUT}
FAULTS[Fate.ERROR] = Fault.BROKEN
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
        for fault, many in faults.items():
            self.faults[fault] = self.faults.get(fault, 0) + many


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
        if now - server.listed < self._ripe:
            # Coldness makes a server slow, but never wrong: only slowness goes unscored until it is ripe.
            faults = {fault: many for fault, many in faults.items() if fault in HARD}
        window.add(outcomes, faults)

    def _base(self, trial: int, now: Ticks) -> list[Window]:
        """The earlier build's last windows before the stage; if there are none, its current ones."""
        earlier, reach = [w for w in self._windows if w.build < trial], 2 * self._span
        before = [w for w in earlier if self.stage_start - reach <= w.start < self.stage_start]
        return before or [w for w in earlier if w.start >= now - reach]

    def _score(
        self, faults: int, outcomes: int, fault: Fault, base: Sequence[Window], gap: Ticks, among: Sequence[float]
    ) -> float:
        many = sum(w.outcomes for w in base)
        if not many or not outcomes:
            return 0.0
        z = z_score(faults, outcomes, sum(w.faults.get(fault, 0) for w in base) / many)
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
                # Few seconds hold enough outcomes to judge: a thin one is judged with those before it.
                mine = blocks.setdefault((w.server, w.lane), [])
                if not mine or mine[-1].outcomes >= self._fill:
                    mine.append(Window(w.server, w.lane, w.build, w.start))
                mine[-1].add(w.outcomes, w.faults)
        every = [block for mine in blocks.values() for block in mine if block.outcomes]
        for block in every:
            like = [other for other in every if other.lane is block.lane]
            of_lane = [w for w in base if w.lane is block.lane]
            gap = now - (block.server.since if block.build >= trial else self.stage_start)
            for fault, many in block.faults.items():
                among = [other.faults.get(fault, 0) / other.outcomes for other in like]
                judged[block.server] += self._score(many, block.outcomes, fault, of_lane, gap, among)
        new = [score for server, score in judged.items() if server.build == trial]
        old = [score for server, score in judged.items() if server.build < trial]
        if not new:
            return 0.0, 0.0
        # Guards against a trouble of one machine (fast errors, a neighbour) that would carry the mean alone:
        # no server counts for more than twice the margin, so half of the trial servers have to show the
        # fault. It could do harm with a build that fails on a few machines only; there 'on' still waits.
        mean = sum(min(score, 6.0) for score in new) / len(new)
        margin = mean - (sum(old) / len(old) if old else 0.0)
        return margin + self._whole(every, base, trial, now), mean

    def _whole(self, blocks: Sequence[Window], base: Sequence[Window], trial: int, now: Ticks) -> float:
        """The same score for the trial build as a whole, less that of the earlier one.

        Guards against a fault spread so thinly over many servers that no window of one server shows it. The
        worst quarter of the servers is left out, so that a trouble of a few machines does not pass for one.
        """
        total, some_old = 0.0, any(block.build < trial for block in blocks)
        for fault in Fault:
            if not some_old and fault not in HARD:
                continue  # with no earlier server left to compare with, slowness may be the load's doing
            counts = tally(blocks, fault)
            shares = [faults / many for faults, many in counts.values()]
            for sign, new in ((1, True), (-1, False)):
                side = {server: count for server, count in counts.items() if (server.build == trial) is new}
                faults, many = best(side, len(side) - len(side) // 4 - (len(side) > 1))
                starts = [server.since if new else self.stage_start for server in side] or [now]
                gap = now - sum(starts) // len(starts)
                total += sign * self._score(faults, many, fault, base, gap, shares)
        return total

    def slowness(self, servers: Sequence[Server], now: Ticks) -> tuple[int, int]:
        """Slow answers and outcomes lately, at the better half of the servers, whatever their build."""
        lately = [w for w in self._windows if w.start >= now - self._span and w.outcomes and w.server in servers]
        counts = tally(lately, Fault.SLOW)
        return best(counts, (len(counts) + 1) // 2)


class Ballot:
    """This relay's one vote: when to cast it, and when to cast it again."""

    def __init__(self, poll: Poll, chance: Random) -> None:
        self._poll, self._chance = poll, chance
        self._cast: Vote | None = None
        self._lapses: Ticks = 0  # when the vote that stands has to be cast again
        self._quiet: Ticks = 0  # no vote before then: one is on its way, or the platform had too many

    def hear(self, news: News, now: Ticks) -> None:
        if not news.answer:
            return
        self._quiet = now
        if news.word is Fate.DONE:
            return
        # A vote that was lost, or may be, is cast again: after a random time, since all relays lost theirs.
        self._cast = None
        self._quiet = now + int(self._poll.answer_limit * self._chance.uniform(0.1, 0.5))

    def cast(self, vote: Vote, now: Ticks) -> bool:
        """True when the vote is due: a new one, or one that would lapse. A way back waits for nothing."""
        fresh = vote != self._cast
        if (not fresh and now < self._lapses) or (now < self._quiet and vote.verdict is not Verdict.BACK):
            return False
        if not fresh and now < self._quiet:
            return False
        self._cast, self._lapses = vote, now + self._poll.vote_life * 3 // 4
        self._quiet = now + self._poll.answer_limit + SECOND
        return True

    def verdict(self, news: News, ripe: bool, margin: float, lately: float, creep: bool) -> Verdict | None:
        """`margin` is over the last 5 s, `lately` the score over the last 3 s; `ripe` says that 'on' may come."""
        if news.phase not in (Phase.TRIAL, Phase.RELEASED):
            return None
        if margin > 3:
            return Verdict.BACK
        if news.phase is Phase.RELEASED:
            return None
        if self._poll.control is Control.AUTOMATIC:
            return Verdict.HOLD if lately > 3 else Verdict.NONE if self._cast else None
        if not ripe or margin > 1:
            return None
        return Verdict.BACK if creep else Verdict.ON


class Health:
    """Sets failing units aside, never more than half of the fleet, and counts what goes to a cold one."""

    def __init__(self, duties: Duties, target: Ticks, rest: Ticks, chance: Random) -> None:
        self._share, self._time = duties.cold_share, duties.cold_time
        self._multiple, self._fall = duties.fall_multiple, duties.fall_time
        self._target, self._rest, self._chance = target, rest, chance

    def note(self, server: Server, strike: float, ready: Sequence[Server], now: Ticks) -> None:
        server.trips.add(now, 1)
        server.strikes.add(now, strike)
        strikes = server.strikes.read(now)
        if strikes < 2 or strikes < server.trips.read(now) / 2 or server.aside > now:
            return
        if 2 * sum(other.aside > now for other in ready) < len(ready):
            server.aside = now + self._rest + int(self._rest * self._chance.random())

    def room(self, server: Server, now: Ticks) -> bool:
        """May a unit hold one more of this relay's trips? As many as it lately did in three quarters of the
        expected time, and one at the least to learn by. Guards against queues too long for any answer to come
        in time, whatever fills them (a burst, a slow build, a neighbour), and leaves a silent unit a single
        trip. It could do harm where answers come in bunches; the one to learn by lets the figure grow again.
        """
        return len(server.out) < max(1.0, 1.5 * server.done.read(now) / (2 * SECOND) * self._target)

    def cold_room(self, server: Server, usual: float, now: Ticks) -> bool:
        """May a unit that has just started take one more? `usual`: this relay's trips a warm unit and second.

        No relay knows what the others send. If each stays under the same multiple of what it sends a warm
        unit, all together stay under that multiple of what a warm unit takes, however lopsided traffic is.
        """
        age = now - server.since
        if age >= self._time or server.since <= 0:
            return True
        sends = server.cold_sends
        while sends and sends[0] <= now - self._fall:
            sends.popleft()
        rise = self._share + (1 - self._share) * max(0, age) / self._time
        return len(sends) < max(1.0, self._multiple / 2 * rise * usual * self._fall / SECOND)

Journey = Generator[Server | Ticks, Trip | None, None]  # yields a server to try, or until when to wait


class Relay:
    """One relay's decisions: joins the parts, and keeps each rule by a guard that no choice gets round."""

    def __init__(
        self, *, place: Place, lanes: Sequence[Lane], members: Sequence[Member], allowance: Allowance,
        duties: Duties, trial: Trial, poll: Poll, tariff: Tariff, chance: Random, now: Ticks,
    ) -> None:
        self.now, self.acts = now, list[Act]()
        self._place, self._lanes, self._members = place, lanes, members
        self._allowance, self._duties, self._trial = allowance, duties, trial
        self._poll, self._tariff, self._chance = poll, tariff, chance
        self._longest = max(lane.expected_time for lane in lanes)
        self._roster = Roster()
        self._exposure = Exposure(trial, lanes)
        self._scoring = Scoring(5 * SECOND, 3 * SECOND, fill=10, ripe=5 * SECOND)
        self._ballot = Ballot(poll, chance)
        target = min(lane.expected_time for lane in lanes) // 2
        self._health = Health(duties, target, 2 * self._longest, chance)
        self._waiting: dict[Lookup, float] = {}  # with what each is worth for its time
        self._callers = {member: Fading(4 * SECOND) for member in members}
        self._journeys: dict[Lookup, Journey] = {}
        self._resume: dict[Lookup, Ticks] = {}
        self._rate = Fading(4 * SECOND)
        self._copies = Fading(4 * SECOND)
        self._usual = 0.0
        self._stage: tuple[int, int] | None = None
        self._margin = 0.0
        self._calm: tuple[tuple[int, int], float] | None = None  # slowness and traffic before the build came
        self._tallied: dict[int, Server] = {}
        self._untold: dict[tuple[Server, Lane], list[int]] = {}
        self.acts.append(Wake(now + SECOND // 2, None))
        if duties.subscribe:
            self.acts.append(Watch(True))

    # What the host hears

    def meet(self, mark: int) -> Unit:
        return Server(mark, 2 * self._longest)

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
        if (news.build, news.stage) != self._stage:
            self._stage = (news.build, news.stage)
            self._scoring.stage_start = self.now - news.age
            if news.stage == 0:
                self._calm = self._scoring.slowness(self._roster.ready, self.now), self._rate.read(self.now)

    def take(self, lookup: Lookup) -> None:
        self._rate.add(self.now, 1)
        if lookup.member in self._callers:
            self._callers[lookup.member].add(self.now, 1)
        self._exposure.take(lookup, self._on_trial(), self.now)
        self._journeys[lookup] = journey = self._journey(lookup)
        self._advance(lookup, journey, None, start=True)

    def started(self, trip: Trip) -> None:
        trip.streaming = True

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: Ticks, report: Report | None) -> None:
        lookup, server = trip.lookup, mine(trip.unit)
        if trip.fate is not None:
            return
        trip.fate = fate
        server.out.pop(trip, None)
        self._learn(trip, server, fate, took)
        if fate is Fate.DONE:
            self._exposure.done(server.build, lookup)
        if closed:
            self._end(lookup)
        elif not lookup.over:
            self._advance(lookup, self._journeys[lookup], trip)
        self._relieve()

    def left(self, lookup: Lookup) -> None:
        self._end(lookup)

    def wake(self, lookup: Lookup | None) -> None:
        if lookup is None:
            self._tick()
        elif not lookup.over and self._resume.get(lookup, self.now + 1) <= self.now:
            self._advance(lookup, self._journeys[lookup], None)

    def heard(self, peer: int, text: bytes) -> None:
        """Takes a peer's outcomes at a build on trial for its own; what makes no sense is passed over."""
        marks = {(server.mark, server.build): server for server in self._roster.ready}
        for mark, build, place, outcomes, *many in ROW.iter_unpack(text[: len(text) // ROW.size * ROW.size]):
            server = marks.get((mark, build))
            if server is not None and place < len(self._lanes):
                faults = {fault: count for fault, count in zip(Fault, many, strict=True) if count}
                self._scoring.record(server, self._lanes[place], faults, self.now, outcomes)

    def _witness(self, server: Server, lane: Lane, fault: Fault | None, outcomes: int) -> None:
        """Counts an outcome. Early stages give one relay too few, so it tells its peers of those on trial."""
        self._scoring.record(server, lane, {fault: 1} if fault else {}, self.now, outcomes)
        # Faults at earlier servers are told too: judged on less evidence, they would hide a trouble of both.
        if self._allowance.peers and (fault in HARD or self._exposure.on_trial(server.build)):
            row = self._untold.setdefault((server, lane), [0] * (1 + len(Fault)))
            row[0] += outcomes
            if fault:
                row[1 + list(Fault).index(fault)] += 1

    def _tell(self) -> None:
        rows = [
            ROW.pack(server.mark, server.build, self._lanes.index(lane), *(min(many, 255) for many in row))
            for (server, lane), row in self._untold.items()
        ]
        self._untold.clear()
        for place in range(0, len(rows), 256 // ROW.size):
            self.acts.append(Tell(None, b"".join(rows[place : place + 256 // ROW.size])))

    def complaint(self, unit: Unit, lane: Lane, age: Ticks) -> None:
        self._witness(mine(unit), lane, Fault.WRONG, 0)

    def tally(self, counted: Tally) -> None:
        source = self._tallied.setdefault(counted.build, Server(0, self._longest))
        source.build = counted.build
        self._scoring.record(source, counted.lane, {Fault.BROKEN: counted.lost}, self.now, counted.trips)

    def probed(self, unit: Unit, fate: Fate, took: Ticks, report: Report | None) -> None:
        pass

    def _on_trial(self) -> list[int]:
        builds = {server.build: None for server in self._roster.ready}
        return [build for build in builds if self._exposure.on_trial(build)]

    def _tick(self) -> None:
        self.acts.append(Wake(self.now + SECOND // 2, None))
        self._tell()
        self._learn_usual()
        news = self._exposure.news
        if news is None:
            return
        judged = [*self._roster.ready, *self._tallied.values()]
        self._margin, _ = self._scoring.read(judged, news.build, self.now)
        _, lately = self._scoring.read(judged, news.build, self.now, 3 * SECOND)
        new = [server for server in self._roster.ready if server.build == news.build]
        if not new:
            return
        # Machines that are listed late would start the stage's clock later than the listed ones tell, and
        # while most of them are set aside nothing is learnt of the build.
        wait, old = 5 * SECOND, sum(server.build < news.build for server in self._roster.ready)
        all_here = len(new) >= int(self._trial.shares[min(news.stage, len(self._trial.shares) - 1)] * old + 0.5)
        shut_out = 2 * sum(server.aside > self.now for server in new) >= len(new)
        ripe = self.now - max(server.since for server in new) >= wait and not shut_out
        ripe = ripe and (all_here or news.age >= 3 * wait)
        verdict = self._ballot.verdict(news, ripe, self._margin, lately, self._creeping(news.stage))
        if verdict is not None:
            vote = Vote(news.build, news.stage, verdict)
            if self._ballot.cast(vote, self.now):
                self.acts += [vote, Note(f"{verdict.name} on build {news.build}: margin {self._margin:.1f}")]

    def _creeping(self, stage: int) -> bool:
        """Has the whole fleet grown slow since the build came, with no more traffic than before?

        Guards against a build that slows all units, old and new alike, in step with its traffic: no comparison
        with the earlier build shows it. Only the better half of the servers counts, so that a trouble of some
        machines does not. It could do harm when other relays' traffic grows unseen.
        """
        if stage < 1 or self._calm is None or self._calm[0][1] == 0:
            return False
        (before, many), rate = self._calm
        faults, outcomes = self._scoring.slowness(self._roster.ready, self.now)
        if not outcomes or self._rate.read(self.now) > 1.3 * rate:
            return False
        worse = faults / outcomes - before / many > self._poll.delay_price / 4
        return worse and z_score(faults, outcomes, before / many) > 3

    def _learn(self, trip: Trip, server: Server, fate: Fate, took: Ticks) -> None:
        if fate in (Fate.CALLED_OFF, Fate.UNSENT):
            return
        lane = trip.lookup.lane
        slow = fate is Fate.TIMED_OUT or took > lane.expected_time
        fault = FAULTS.get(fate, Fault.SLOW if slow else None)
        self._witness(server, lane, fault, 1)
        strike = {Fate.UNREACHABLE: 2.0, Fate.CUT: 1.0, Fate.ERROR: 1.0, Fate.TIMED_OUT: 1.0}.get(fate, 0.0)
        self._health.note(server, strike, self._roster.ready, self.now)
        if fate is Fate.DONE:
            server.done.add(self.now, 1)
            server.pace.add(self.now, took / lane.expected_time)

    # Choosing a server

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
        lane = lookup.lane
        if lane.repeat is Repeat.PURE:
            return True
        for trip in lookup.trips:
            if trip.fate in NEVER_RAN:
                continue
            if lane.repeat is Repeat.EFFECTFUL or self.now >= trip.sent + lane.memory - self._duties.tick:
                return False
            zone, cell = trip.unit.zone == server.zone, trip.unit.cell == server.cell
            if not {Scope.ALL: True, Scope.ZONE: zone, Scope.CELL: cell}[lane.scope]:
                return False
        return True

    def _learn_usual(self) -> None:
        """What a warm unit does for this relay a second. While most units are cold, the last figure holds:
        the few warm ones would be taken to do the work of all, and the cold ones would be pushed over."""
        warm = [s for s in self._roster.ready if self.now - s.since >= self._duties.cold_time]
        if warm and 2 * len(warm) >= len(self._roster.ready):
            self._usual = sum(server.done.read(self.now) for server in warm) / 2 / len(warm)

    def _cost(self, server: Server) -> float:
        """The expected wait at a server, in no unit: it only ranks servers."""
        now = self.now
        trips = server.trips.read(now)
        load = (1 + len(server.out)) * (1 + server.pace.read(now)) / (1 + trips) / server.size
        fail = server.strikes.read(now) / (1 + trips)
        # A unit that has gone silent answers nothing at all: its oldest trip tells.
        oldest = next(iter(server.out), None)
        silent = (now - oldest.sent) / oldest.lookup.lane.expected_time if oldest else 0.0
        return load * (1 + 3 * fail) * (1 + silent)

    def _choose(self, lookup: Lookup) -> Server | None:
        tried = [trip.unit for trip in lookup.trips]
        pool = [server for server in self._roster.ready if self._permitted(server, lookup)]
        pool = [server for server in pool if server not in tried] or pool
        pool = [server for server in pool if server.aside <= self.now] or pool
        pool = [server for server in pool if self._health.room(server, self.now)]
        if not pool:
            return None
        newest = max(server.build for server in pool)
        new = self._two([server for server in pool if server.build == newest])
        old = self._two([server for server in pool if server.build < newest])
        if new is None or old is None:
            return new or old
        # Waiting for a good build has a price, so the exposure that the cap allows is used, unless in doubt.
        lean = 1 + 2 * self._poll.delay_price if self._margin <= 1 else 1
        return new if self._cost(new) <= self._cost(old) * lean else old

    def _two(self, pool: Sequence[Server]) -> Server | None:
        """Two random choices."""
        return min(self._chance.sample(pool, min(2, len(pool))), key=self._cost, default=None)

    # A lookup's way

    def _journey(self, lookup: Lookup) -> Journey:
        """One lookup, from its taking to its final answer."""
        lane = lookup.lane
        copy_at = lookup.taken + lane.expected_time // 2
        give_up = min(lookup.due - self._duties.tick, lookup.taken + lane.expected_time // 4)
        worth = self._worth(lookup)
        while True:
            outranked = self.now < give_up and any(other > worth for other in self._waiting.values())
            server = None if outranked else self._choose(lookup)
            if server is not None:
                yield server
            elif not self._roster.ready or self.now >= give_up or not self._may_open(lookup):
                break
            else:
                self._waiting[lookup] = worth
                yield give_up
                continue
            while any(trip.fate is None for trip in lookup.trips):
                copying = self.now < copy_at and self._allowance.second_copies
                yield copy_at if copying else lookup.due
                if self.now >= copy_at and self._copy_room() and lookup.trips[-1].fate is None:
                    second = self._choose(lookup)
                    if second is not None and second not in [trip.unit for trip in lookup.trips]:
                        self._copies.add(self.now, 1)
                        yield second
        self._give_up(lookup)

    def _may_open(self, lookup: Lookup) -> bool:
        """Is there a server that this lookup could go to once its budget or the exposure count has room?"""
        if not any(self._repeatable(server, lookup) for server in self._roster.ready):
            return False
        return not (self._exposure.guarded(lookup) and self._exposure.stuck(lookup))

    def _copy_room(self) -> bool:
        """Second copies stay a small part of the traffic: a slow fleet is not loaded further."""
        return self._copies.read(self.now) < 0.1 * self._rate.read(self.now)

    def _worth(self, lookup: Lookup) -> float:
        """Value for the time a lookup takes; a member's lookups beyond its share count little.

        A share is told for all relays together. Here it is held against what the other members send through
        this relay, so that a member that floods the fleet is the first to wait and to be shed.
        """
        worth = lookup.lane.value / lookup.lane.expected_time
        member = lookup.member
        if member not in self._callers:
            return worth
        own = self._callers[member].read(self.now)
        others = sum(rate.read(self.now) for rate in self._callers.values()) - own
        quota = sum(other.quota for other in self._callers) - member.quota
        fair = 1.5 * member.quota / quota * others if quota > 0 else own
        over = others > 1 and self._chance.random() * own > fair
        return worth * self._tariff.over_share if over else worth

    def _relieve(self) -> None:
        """Room has come up: the waiting lookups that are worth most for their time go first."""
        if self._waiting:
            for lookup in sorted(self._waiting, key=lambda waiting: -self._waiting[waiting])[:3]:
                self._advance(lookup, self._journeys[lookup], None)

    def _advance(self, lookup: Lookup, journey: Journey, trip: Trip | None, start: bool = False) -> None:
        """Lets a lookup go on until it waits or is over."""
        self._resume.pop(lookup, None)
        self._waiting.pop(lookup, None)
        try:
            want = next(journey) if start else journey.send(trip)
            while isinstance(want, Server):
                self._send(lookup, want)
                want = next(journey)
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
        self._exposure.spent(server.build, lookup, self.now)
        if self.now - server.since < self._duties.cold_time:
            server.cold_sends.append(self.now)
        self.acts.append(Send(trip))

    def _give_up(self, lookup: Lookup) -> None:
        """A shed reply promises that nothing ran; without that promise the lookup is broken off."""
        if all(trip.fate in NEVER_RAN for trip in lookup.trips):
            advice = min(self._longest // 2, self._allowance.longest_advice)
            self.acts.append(Shed(lookup, advice if self._allowance.retry_advice else 0))
        else:
            self.acts.append(BreakOff(lookup))
        self._end(lookup)

    def _end(self, lookup: Lookup) -> None:
        if lookup.over:
            return
        lookup.over = True
        self._journeys.pop(lookup, None)
        self._waiting.pop(lookup, None)
        self._resume.pop(lookup, None)
        for trip in lookup.trips:
            if trip.fate is None and self._allowance.calling_off and not trip.streaming:
                self.acts.append(CallOff(trip))
