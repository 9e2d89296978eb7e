"""A hollow fleet: driver, decisions and letters that `run` uses, many in one process on one virtual clock.

Hollow are sockets, units, clients and discovery. A relay is woken by what wakes a real one and by nothing
else: a request, an answer, a letter, a list, its own timer. Processor time is counted around each such event
and booked by kind; what the fleet does to pass things on is outside. The collector is off inside (a real
process has it on: `hollow.py` compares).

Where a fleet of that size does not fit into the machine, some relays are *echoes*: they hold nothing and cost
nothing; at each letter of a whole relay to a hub, its echoes tell that hub the same of other units, at a
time of their own. A hub then hears as many letters of that length as from whole relays. Hubs and watchers are
always whole.
"""

from __future__ import annotations

import gc
import time
import zlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import exp, log, sqrt
from random import Random
from typing import Any

from benchmarks.slopes.sizes import Size, listing, settings
from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import SECOND, Attempt, AttemptOutcome, CastVote, Endpoint, Ticks
from lanelead.protocols import datagrams
from lanelead.protocols.feeds import EndpointListMessage, EndpointMessage, RolloutMessage
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.gossip_codec import HEADER_BYTES, IN_FLIGHT_ENTRY, MESSAGE_FORMAT, OUTCOME_ROW
from lanelead.runtime.loop_clock import CLOCK_START_TICKS
from lanelead.runtime.parameter_reader import ParameterReader, flatten_pairs
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

UDP_HEAD = 28  # bytes of the IPv4 and UDP heads of a datagram; counted nowhere unless said
CONNECTING: Ticks = 2500  # an attempt at a unit that is silent: the limit for connecting
LATE: Ticks = 5  # the loop's timers go off so much after their time
SHARES = (1.0, 0.6, 0.6, 0.6, 0.6, 4.0, 0.6, 0.6, 0.6, 0.8)  # of the mean rate, by relay; their mean is 1
NEWS = RolloutMessage(1, 1, "released", 1.0, 60_000)


@dataclass
class Cost:
    """Of one kind of event at one relay: how many, and the processor time of all, ns."""

    events: int = 0
    ns: int = 0


@dataclass(eq=False)
class Hollow:
    """One whole relay and its hands."""

    fleet: Fleet
    number: int
    share: float
    driver: DecisionDriver = field(init=False)
    decisions: Balancer = field(init=False)
    costs: dict[str, Cost] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)  # letters, bytes
    came: Counter[str] = field(default_factory=Counter)
    parts: Counter[str] = field(default_factory=Counter)  # bytes that came, of sightings and of loads
    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    asked: int = 0
    up: bool = True
    life: int = 0
    armed: Ticks | None = None
    wakes: int = 0
    waiting: list[Attempt] = field(default_factory=list)
    letters: list[tuple[int, bytes]] = field(default_factory=list)
    connecting: dict[Attempt, None] = field(default_factory=dict)

    # Hands

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.waiting.append(attempt)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.connecting.pop(attempt, 0) == 0

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        assert peer is not None  # `Circle` names each
        for payload in payloads:
            self.letters.append((peer, datagrams.encode_plain(payload)))

    def check_health(self, unit: Endpoint) -> None: ...
    def close_idle_connections(self, unit: Endpoint) -> None: ...
    def cast_vote(self, vote: CastVote) -> None: ...
    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...

    # Clients

    def reply(
        self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None, answer: Any, back: Ticks
    ) -> None:
        self.outcomes[outcome] += 1

    def us(self, *kinds: str) -> float:
        """Processor time of all events of these kinds, microseconds, less what counting it costs."""
        some = [self.costs[kind] for kind in kinds or self.costs if kind in self.costs]
        return sum(cost.ns - cost.events * self.fleet.empty_ns for cost in some) / 1e3


class Fleet:
    """All events in one heap; `run` takes them up to a time. One seed draws everything."""

    def __init__(
        self, size: Size, seed: int, rows: Sequence[EndpointMessage] | None = None, even: bool = False
    ) -> None:
        self.size, self.seed, self.now = size, seed, CLOCK_START_TICKS
        self.chance = Random(f"fleet {seed}")
        self.rows = list(rows) if rows is not None else listing(size.units)
        self.reach: Callable[[int, str], bool] = lambda relay, unit: True  # does a relay's attempt get there?
        self.crowd = 1.0  # times the usual rate
        self.partition: Callable[[int, int], bool] = lambda sender, to: True
        self.watching: Callable[[str, Hollow, Any], None] = lambda kind, relay, what: None
        self.journal = 0  # a running checksum of all events, to compare two runs by
        self.dropped: Counter[str] = Counter()
        self.empty_ns = _empty_ns()
        self._events: list[tuple[Ticks, int, str, int, Any]] = []
        self._number = 0
        cv2 = size.spread**2 + 1
        self._sigma, self._mu = sqrt(log(cv2)), log(size.answer) - log(cv2) / 2
        whole = size.whole or size.relays
        self.relays = [
            Hollow(self, number, SHARES[number % 10] if number >= 7 and not even else 1.0)
            for number in range(min(whole, size.relays))
        ]
        self.hubs = min(4, size.relays) if size.relays > 8 else size.relays
        self._echoes = self._spread_echoes()
        gc.collect()
        for relay in self.relays:
            self.start(relay)
        self.restart_requests()

    def _spread_echoes(self) -> dict[int, list[dict[bytes, bytes]]]:
        """For each whole plain relay, its echoes: which unit's mark stands for which."""
        first = max(self.hubs, self.size.watchers)
        plain = [relay.number for relay in self.relays if relay.number >= first]
        marks = [IN_FLIGHT_ENTRY.pack(zlib.crc32(row.unit.encode()) & 0xFFFF, 0)[:2] for row in self.rows]
        echoes: dict[int, list[tuple[int, dict[bytes, bytes]]]] = {number: [] for number in plain}
        self._echo_numbers: dict[int, list[int]] = {number: [] for number in plain}
        for place, number in enumerate(range(len(self.relays), self.size.relays) if plain else ()):
            turned = marks[:]
            self.chance.shuffle(turned)
            source = plain[place % len(plain)]
            echoes[source].append((number, dict(zip(marks, turned, strict=True))))
            self._echo_numbers[source].append(number)
        return {number: [table for _, table in some] for number, some in echoes.items()}

    # Starting

    def start(self, relay: Hollow) -> None:
        """A process' start as far as these modules do it: settings, decisions, driver, list, news."""
        relay.up, relay.armed, relay.life = True, None, relay.life + 1
        relay.connecting.clear()
        collecting = gc.isenabled()
        gc.disable()
        try:
            self._count(relay, "start", self._make, relay)
            self._count(relay, "list", relay.driver.endpoints_listed, EndpointListMessage("full", 1, 0.0, self.rows), 0)
            self._count(relay, "news", relay.driver.rollout_read, NEWS, False, AttemptOutcome.SUCCEEDED)
        finally:
            if collecting:
                gc.enable()

    def _make(self, relay: Hollow) -> None:
        opening = ParameterReader([*flatten_pairs(settings(self.size, relay.number))])
        request_classes, limits, quota = opening.request_classes(), opening.service_limits(), opening.resource_quota()
        relay.decisions = Balancer(
            position=opening.position(),
            request_classes=request_classes,
            tenants=opening.tenants(),
            quota=quota,
            limits=limits,
            canary_limits=opening.canary_limits(),
            voting_rules=opening.voting_rules(),
            prices=opening.prices(),
            rng=Random(f"relay {self.seed} {relay.number}"),
            now=self.now,
        )
        relay.driver = DecisionDriver(
            decisions=relay.decisions,
            host=relay,
            clock=lambda: self.now,
            request_classes=request_classes,
            limits=limits,
            max_pending=quota.max_in_flight,
            max_retry_after=quota.max_retry_after,
        )

    def restart_requests(self) -> None:
        for relay in self.relays:
            if self.size.rate:
                self._next_request(relay)

    def stop(self, relay: Hollow) -> None:
        """As after SIGKILL: what is out stays at units, clients get nothing."""
        relay.up = False
        relay.wakes += 1

    # The heap

    def at(self, when: Ticks, kind: str, number: int, what: Any = None) -> None:
        self._number += 1
        heappush(self._events, (when, self._number, kind, number, what))

    def run(self, seconds: float) -> None:
        """Takes all events of so many virtual seconds."""
        until, collect = self.now + int(seconds * SECOND), self.now + SECOND
        gc.collect()
        gc.disable()
        try:
            while self._events and self._events[0][0] <= until:
                when, _, kind, number, what = heappop(self._events)
                if when > collect:
                    # Guards against what is only not collected yet, taken for growth in a long run.
                    gc.collect(2 if collect // SECOND % 60 == 0 else 1)
                    collect += SECOND
                self.now = max(self.now, when)
                self._take(kind, number, what)
        finally:
            gc.enable()
        self.now = until

    def _take(self, kind: str, number: int, what: Any) -> None:
        if kind == "call":
            what()
            return
        if number >= len(self.relays):  # an echo tells a hub
            kind, to, data = what
            self._post(number, to, data)
            return
        relay = self.relays[number]
        if kind == "request":
            self._next_request(relay)
            if not relay.up:
                self.dropped["request"] += 1
                return
        elif not relay.up or (kind == "wake" and what != relay.wakes):
            if kind == "letter":
                self._drop(what[1])
            return
        self.journal = zlib.crc32(f"{self.now} {number} {kind}".encode(), self.journal)
        if kind == "request":
            relay.asked += 1
            self._request(relay)
        elif kind == "answer":
            attempt, outcome, life = what
            relay.connecting.pop(attempt, None)
            gone = outcome is AttemptOutcome.SUCCEEDED and not self._reaches(relay, attempt)
            if attempt.outcome is None and life == relay.life and not gone:
                self._count(relay, "ended", relay.driver.attempt_ended, attempt, outcome, None, None)
        elif kind == "letter":
            sender, data = what
            relay.came["letters"] += 1
            relay.came["bytes"] += len(data)
            seen = (data[0] & 31) * OUTCOME_ROW.size
            relay.parts["sightings"] += seen
            relay.parts["loads"] += len(data) - 2 - HEADER_BYTES - seen
            self._count(relay, "heard", self._heard, relay, sender, data)
        elif kind == "list":
            self._count(relay, "list", relay.driver.endpoints_listed, what, 0)
        elif kind == "wake":
            relay.armed = None
            due = relay.driver._timers.heap[0] if relay.driver._timers.heap else (0, 0, 0)
            self._count(relay, "beat" if due[2] is None else "timer", relay.driver.tick)

    def _heard(self, relay: Hollow, sender: int, data: bytes) -> None:
        payload = datagrams.decode_plain(data)
        if payload is not None:
            relay.driver.gossip_received(sender, payload)

    def _request(self, relay: Hollow) -> None:
        request_class = relay.driver.request_classes["read" if self.chance.random() < 0.65 else "file"]
        pending = PendingRequest(f"{relay.number}-{relay.asked}", None, relay.reply)
        self._count(relay, "take", relay.driver.receive, pending, request_class, None, None, 39_000)

    def _next_request(self, relay: Hollow) -> None:
        gap = self.chance.expovariate(self.size.rate * relay.share * self.crowd)
        self.at(self.now + max(1, int(gap * SECOND)), "request", relay.number)

    # Around one event

    def _count(self, relay: Hollow, kind: str, what: Callable[..., Any], *told: Any) -> None:
        """One event: counted with what a real process does after it, then its effects go into the heap."""
        before = time.thread_time_ns()
        what(*told)
        goes: list[Attempt] = []
        while relay.waiting:
            attempts, relay.waiting = relay.waiting, []
            for attempt in attempts:
                if relay.driver.destination_of(attempt) is None:
                    relay.driver.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
                else:
                    goes.append(attempt)
        due = relay.driver.next_timer()
        spent = time.thread_time_ns() - before
        cost = relay.costs.setdefault(kind, Cost())
        cost.events += 1
        cost.ns += spent
        if due is not None and (relay.armed is None or due < relay.armed):
            relay.armed, relay.wakes = due, relay.wakes + 1
            self.at(max(self.now, due) + LATE, "wake", relay.number, relay.wakes)
        for attempt in goes:
            self._set_out(relay, attempt)
        for to, data in relay.letters:
            self._told(relay, to, data)
        relay.letters.clear()
        self.watching(kind, relay, goes)

    def _set_out(self, relay: Hollow, attempt: Attempt) -> None:
        if not self._reaches(relay, attempt):
            relay.connecting[attempt] = None
            self.at(self.now + CONNECTING, "answer", relay.number, (attempt, AttemptOutcome.CONNECT_FAILED, relay.life))
            return
        took = exp(self._mu + self._sigma * self.chance.gauss(0, 1)) + self.size.link
        self.at(
            self.now + max(1, int(took * 10)), "answer", relay.number, (attempt, AttemptOutcome.SUCCEEDED, relay.life)
        )

    def _reaches(self, relay: Hollow, attempt: Attempt) -> bool:
        name = relay.driver.registry.names.get(attempt.endpoint)
        return name is not None and self.reach(relay.number, name)

    def _told(self, relay: Hollow, to: int, data: bytes) -> None:
        relay.sent["letters"] += 1
        relay.sent["bytes"] += len(data)
        self._post(relay.number, to, data)
        if to < self.hubs and relay.number in self._echoes:
            tables = self._echoes[relay.number]
            for number, table in zip(self._echo_numbers[relay.number], tables, strict=True):
                # Which hub hears what was seen each relay draws; hubs are equals, so one turn does.
                when = self.now + (number * 7919) % (SECOND // 5)
                turned = (to + number) % self.hubs
                self.at(when, "echo", number, ("echo", turned, _echo(data, table)))

    def _post(self, sender: int, to: int, data: bytes) -> None:
        low, high = self.size.transit
        if to >= len(self.relays) or not self.partition(sender, to):
            self._drop(data)
        else:
            transit = int(self.chance.uniform(low, high) * 10)
            self.at(self.now + transit, "letter", to, (sender, data))

    def _drop(self, data: bytes) -> None:
        """A letter to an echo, to a relay that is down, or over a cut."""
        self.dropped["letters"] += 1
        self.dropped["bytes"] += len(data)

    # Reading

    def under_way(self) -> list[bytes]:
        return [what[1] for _, _, kind, _, what in self._events if kind == "letter"]

    def reset(self) -> None:
        """Begins counting anew."""
        for relay in self.relays:
            for table in (relay.costs, relay.sent, relay.came, relay.parts, relay.outcomes):
                table.clear()
            relay.asked = 0

    @property
    def roles(self) -> dict[str, list[Hollow]]:
        """Whole relays by role; where all tell all, there is one role. Plain ones by tens, whose shares of
        the requests have the mean 1."""
        if self.size.relays <= 8:
            return {"plain": self.relays}
        watch = max(self.hubs, self.relays[0].decisions._gossip_peers.watcher_count)
        plain = self.relays[watch:]
        return {
            "hub": self.relays[: self.hubs],
            "watcher": self.relays[self.hubs : watch],
            "plain": plain[: len(plain) // 10 * 10] or plain,
        }


def _echo(data: bytes, marks: dict[bytes, bytes]) -> bytes:
    """The same letter of other units."""
    payload = bytearray(data[:-2])
    count = payload[0] & 31
    assert payload[0] >> 5 == MESSAGE_FORMAT
    end = HEADER_BYTES + count * OUTCOME_ROW.size
    for place in [*range(HEADER_BYTES, end, OUTCOME_ROW.size), *range(end, len(payload), IN_FLIGHT_ENTRY.size)]:
        mark = bytes(payload[place : place + 2])
        payload[place : place + 2] = marks.get(mark, mark)
    return datagrams.encode_plain(bytes(payload))


def _empty_ns() -> int:
    """What counting itself costs."""
    began = time.thread_time_ns()
    for _ in range(20_000):
        time.thread_time_ns()
    return (time.thread_time_ns() - began) // 20_000
