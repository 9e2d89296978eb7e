"""All decisions of a relay, joined: docs/design.md has the mechanism, interface.py what a host does."""

from collections.abc import Generator, Sequence
from random import Random

from lanelead.decisions.choosing import Choice
from lanelead.decisions.guards import NEVER_RAN, Exposure, Guards
from lanelead.decisions.interface import (
    SECOND,
    Act,
    Allowance,
    BreakOff,
    CallOff,
    Close,
    Coverage,
    Duties,
    Fate,
    Fetch,
    Figures,
    Lane,
    Listing,
    Lookup,
    Member,
    News,
    Out,
    Phase,
    Place,
    Poll,
    Preference,
    Probe,
    Report,
    Send,
    Shed,
    Sighting,
    Tally,
    Tariff,
    Ticks,
    Trial,
    Trip,
    Unit,
    Wake,
    Watch,
    Word,
)
from lanelead.decisions.journeys import Journey, Journeys
from lanelead.decisions.rollout import Rollout
from lanelead.decisions.scoring import FAULTS, HARD, MUTE, STRIKES, Fault, Scoring
from lanelead.decisions.servers import Fares, Outstanding, Pacing, Roster, Server, Traffic, Untold, mine
from lanelead.decisions.sums import Fading
from lanelead.decisions.telling import CIRCLE, Circle
from lanelead.decisions.zones import ANYWHERE, Spill


class Relay:
    chooses: type[Choice] = Choice

    def __init__(
        self,
        place: Place,
        lanes: Sequence[Lane],
        members: Sequence[Member],
        allowance: Allowance,
        duties: Duties,
        trial: Trial,
        poll: Poll,
        tariff: Tariff,
        chance: Random,
        now: Ticks,
        preference: Preference = ANYWHERE,
    ) -> None:
        self.now, self.acts = now, list[Act]()
        self._allowance, self._duties, self._chance = allowance, duties, chance
        self.figures = Figures(lanes, sum(member.quota for member in members), place.relays)
        self._rates, self._pacing = {lane: Fading(4 * SECOND) for lane in lanes}, Pacing(SECOND, now)
        self._roster, self._circle = Roster(), Circle(place, poll.back_votes, chance)
        many = place.relays > CIRCLE
        # A choice takes two to four probes: where they cost over a tenth of a lookup, letters tell instead.
        self._asks = many and allowance.probes and 4 * tariff.probe <= 0.1
        self._tells, self._out = many and allowance.peers and not self._asks, Outstanding(SECOND)
        self._spares, self._suspect = self._tells and tariff.handshake > 0, max(0.02, 2.5 * tariff.handshake)
        told = many and self._circle.watches  # much is told to it: it looks less often
        self._beat = SECOND // (5 if not told else 2 if self._circle.watchers <= CIRCLE else 1)
        self._traffic, self._exposure = Traffic(4 * SECOND), Exposure(trial, many, chance)
        self._scoring = Scoring(5 * SECOND, 3 * SECOND, fill=10, ripe=5 * SECOND)
        self._rollout = Rollout(trial, poll, self._circle, self._scoring, self._traffic, chance)
        self._spill = Spill(preference, duties, self.figures.longest, self._beat, chance)
        self._guards = Guards(allowance, duties, self._exposure, self._roster, self._traffic, self.figures)
        self._choice = self.chooses(
            self._roster,
            self._guards,
            self._out,
            self._traffic,
            self.figures,
            allowance.idle_limit if self._spares else 0,
            place,
            chance,
        )
        self._lost, self._untold = Fading(10 * SECOND), Untold(len(Fault))
        self._journeys = Journeys(self._send, lambda act: self.acts.append(act))
        self._fares = Fares(4 * SECOND)
        first = Wake(now + int(self._beat * chance.uniform(0.5, 1)), None)
        self.acts += [first, Watch(True)] if duties.subscribe else [first]

    def meet(self, mark: int) -> Unit:
        return Server(mark, 2 * self.figures.longest, 2 * SECOND, self._chance.random())

    def roster(self, coverage: Coverage, listings: Sequence[Listing]) -> None:
        if coverage is Coverage.FAILED:
            self.acts.append(Watch(True) if self._duties.subscribe else Fetch())
        else:
            self._roster.apply(coverage, listings, self.now)

    def news(self, news: News) -> None:
        self._rollout.ballot.hear(news, self.now)
        if news.word is Fate.DONE:
            self._exposure.hear(news)
            self._rollout.hear(news, self.now)

    def take(self, lookup: Lookup) -> None:
        self._traffic.taken.add(self.now, 1)
        self._rates[lookup.lane].add(self.now, 1)
        self._exposure.take(lookup, self._roster.groups, self.now)
        self._journeys.begin(lookup, self._journey(lookup))

    def started(self, trip: Trip) -> None:
        trip.streaming = True
        self._journeys.hold(trip.lookup)  # it belongs to the client now: no second copy

    def ended(self, trip: Trip, fate: Fate, closed: bool, took: Ticks, report: Report | None) -> None:
        lookup, server, trip.fate = trip.lookup, mine(trip.unit), fate
        server.out.pop(trip, None)
        self._learn(trip, server, fate, took)
        self._lost.add(self.now, fate in MUTE)
        self._let_go(server)
        if closed:
            self.left(lookup)
        elif not lookup.over:
            self._journeys.go_on(lookup, trip)
        for lookup in self._journeys.worthiest(3):
            self._journeys.go_on(lookup)

    def wake(self, lookup: Lookup | None) -> None:
        if lookup is None:
            self._tick()
        elif self._journeys.due(lookup, self.now):
            self._journeys.go_on(lookup)

    def heard(self, peer: int, words: Sequence[Word]) -> None:
        if loads := [word for word in words if isinstance(word, Out)]:
            self._out.hear(peer if self._circle.hub else None, loads, self.now)
        for word in words:
            self._pacing.hear(peer, word, self.now)
        for seen in (word for word in words if isinstance(word, Sighting)):
            faults = {fault: many for fault, many in zip(Fault, seen.faults, strict=True) if many}
            self._count(mine(seen.unit), seen.lane, faults, seen.outcomes, self._circle.passes_on(peer))

    def _count(self, server: Server, lane: Lane, faults: dict[Fault, int], outcomes: int, tell: bool) -> None:
        self._spill.note(server, outcomes, sum(n for f, n in faults.items() if f not in HARD), self.now)
        if self._spill.troubled(server):
            faults = {fault: many for fault, many in faults.items() if fault in HARD}
        self._scoring.record(server, lane, faults, self.now, outcomes)
        self._traffic.busy.add(self.now, outcomes - faults.get(Fault.BROKEN, 0))  # quick errors are no work
        if tell and self._allowance.peers:
            self._untold.note(server, lane, outcomes, [faults.get(fault, 0) for fault in Fault])

    def complaint(self, unit: Unit, lane: Lane, age: Ticks) -> None:
        self._count(mine(unit), lane, {Fault.WRONG: 1}, 0, True)

    def tally(self, counted: Tally) -> None: ...

    def probed(self, unit: Unit, fate: Fate, took: Ticks, report: Report | None) -> None:
        if fate is Fate.DONE and report:
            mine(unit).told, fair = self.now, self.figures.quotas / max(1, len(self._roster.ready))
            queue = report.get("waiting", 0) / max(report["rps"], fair) if report.get("rps") else 0
            mine(unit).wait = max(took, int(queue * SECOND))  # a deep probe has waited itself
        self._lost.add(self.now, fate is Fate.UNREACHABLE)
        for lookup in list(self._journeys.asking):
            self._journeys.go_on(lookup)
        self._let_go(mine(unit))

    def _let_go(self, server: Server) -> None:
        """Guards against connections that drop unseen: many lost trips end all; if dear, one its unit's."""
        many = self._lost.read(self.now) > self._suspect * self._traffic.taken.read(self.now)
        if not server.out and (server.mute if self._spares else many):
            self.acts.append(Close(server))

    def _tick(self) -> None:
        times = self._rollout.due, self.now + self._beat  # 'on' is voted right when due
        self.acts.append(Wake(min(at for at in times if at > self.now), None))
        news, ready = self._exposure.news, self._roster.ready
        loads, in_all = self._out.own(ready) if self._tells else [], list[Word]()
        out: list[Word] = [*loads, self._pacing.own(self._chance, self.now)] if loads else []
        if self._tells and self._circle.hub:
            in_all += (totals := self._out.add(loads, self.now))
            in_all += self._pacing.measure(sum(load.trips for load in totals), 10, self.now)
        self.acts += self._circle.letters(self._untold.take(), out, in_all)
        trial = news is not None and news.phase is Phase.TRIAL
        self._spill.beat(ready, self._traffic.taken.read(self.now), trial, self.now)
        if news is not None:
            self.acts += self._rollout.look(news, self._roster, self.now)

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
        server.mute = fate in MUTE
        self._pacing.note(not server.mute, self.now)
        self._choice.note(server, STRIKES.get(fate, 0.0), self.now)
        if fate is Fate.DONE:
            self._exposure.done(server.build, trip.lookup)
            server.done.add(self.now, 1)
            self._traffic.done.add(self.now, 1)
            server.pace.add(self.now, took / lane.expected_time)

    def _may(self, server: Server, lookup: Lookup) -> bool:  # asked again right before each trip
        return self._guards.permitted(server, lookup, self.now)

    def _pair(self, lookup: Lookup, asked: Sequence[Server] = ()) -> list[Server]:
        cuts = self._spill.cuts(self._roster.groups, lookup)
        return self._choice.pair(cuts, lookup, self._rollout.lean(), self.now, asked)

    def _ask(self, lookup: Lookup, pair: list[Server], until: Ticks) -> Generator[Ticks, None, Server | None]:
        asked, began, step = list[Server](), self.now, max(1, (until - self.now) // 2)
        short = min(lookup.lane.expected_time, lookup.due - self.now) // 4
        while self.now < until and pair:
            self.acts += [Probe(server) for server in pair]
            asked += pair
            pause, wait, best = min(until, self.now + step), 0, None
            while self.now < pause and (best is None or wait > min(step, short)):
                self._journeys.asking[lookup] = None
                yield pause
                told = (server for server in asked if server.told > began and self._may(server, lookup))
                best = min(told, key=lambda server: server.wait, default=None)
                wait = best.wait if best else 0
            if best and wait < short:
                return best
            pair = self._pair(lookup, asked)
        return None

    def _journey(self, lookup: Lookup) -> Journey:
        lane = lookup.lane
        copy_at = lookup.taken + lane.expected_time // 2
        give_up = min(lookup.due - self._duties.tick, lookup.taken + lane.expected_time // 6)
        while not self._forlorn(lookup):
            waiting = self._journeys.waiting.values() if self.now < give_up else ()
            pair = [] if any(other > lane.worth for other in waiting) else self._pair(lookup)
            server = next(iter(pair), None)
            if pair and self._thin() and self.now < give_up:
                server = yield from self._ask(lookup, pair, give_up)
            if server is not None:
                yield server
            elif self.now < give_up and self._guards.hopeful(lookup, self.now):
                self._journeys.waiting[lookup] = lane.worth
                yield give_up
            else:
                break
            while any(trip.fate is None for trip in lookup.trips):
                yield copy_at if self.now < copy_at and self._allowance.second_copies else lookup.due
                few = self._traffic.copies.read(self.now) < 0.1 * self._traffic.taken.read(self.now)
                pair = self._pair(lookup) if few and self.now >= copy_at else []
                if pair and lookup.trips[-1].fate is None and pair[0] is not lookup.trips[-1].unit:
                    self._traffic.copies.add(self.now, 1)
                    yield pair[0]
        self._give_up(lookup)

    def _forlorn(self, lookup: Lookup) -> bool:
        """Guards against work late whatever is done: a member's lane seldom timely is sent in part."""
        ended, timely = (fare.read(self.now) for fare in self._fares[lookup.member, lookup.lane])
        if (took := self._pacing.took(self.now)) is None:  # no hub tells: what was seen here counts
            return self._chance.random() > 3 * (1 + timely) / (1 + 2 * ended)
        excess = 1 - 0.75 * self.figures.least / max(1, took)  # a mean, about which trips are spread
        rates = {lane: rate.read(self.now) for lane, rate in self._rates.items()}
        less = sum(rate for lane, rate in rates.items() if lane.worth < lookup.lane.worth)
        return self._chance.random() * rates[lookup.lane] < excess * sum(rates.values()) - less

    def _thin(self) -> bool:  # one of many, with less than a lookup for each server in an expected time
        lookups = self._traffic.taken.read(self.now) * self.figures.longest / (4 * SECOND)
        return self._asks and lookups < len(self._roster.ready)

    def _send(self, lookup: Lookup, server: Server) -> None:
        if not self._may(server, lookup):
            return
        trip = Trip(lookup, server, len(lookup.trips), self.now, max(1, lookup.due - self.now))
        lookup.trips.append(trip)
        server.out[trip] = None
        self._exposure.spend(server.build, lookup, self.now)
        self._spill.spend(server)
        server.cold_sends.append(self.now)
        self.acts.append(Send(trip))

    def _give_up(self, lookup: Lookup) -> None:
        over = 0.5 + self._traffic.shed.read(self.now) / max(1, self._traffic.taken.read(self.now))
        advice = int(over * self.figures.longest * self._chance.uniform(0.5, 1.5))  # spread, or all come
        advice = min(advice, self._allowance.retry_advice * self._allowance.longest_advice)
        ran = any(trip.fate not in NEVER_RAN for trip in lookup.trips)  # a shed reply promises that none did
        self.acts.append(BreakOff(lookup) if ran else Shed(lookup, advice))
        self._traffic.shed.add(self.now, not ran)
        self.left(lookup)

    def left(self, lookup: Lookup) -> None:
        if lookup.over:
            return
        lookup.over = True
        self._spill.left(lookup)
        self._journeys.end(lookup)
        for trip in lookup.trips:
            if trip.fate is None and self._allowance.calling_off and not trip.streaming:
                self.acts.append(CallOff(trip))
