"""Simulates many relays in one process on one virtual clock, with the driver, decisions and gossip of `run`.

Sockets, endpoints, clients and discovery are simulated. A relay runs only on the events that wake a real one: a
request, an answer, a gossip message, an endpoint list or its own timer. The processor time of each event is
measured and added up by kind; the time that the simulation itself takes is not counted. The garbage collector is
off during events, while a real process has it on: `hollow.py` compares the two.

Where a fleet does not fit into the machine, some relays are *echoes* without state or cost. Whenever a full relay
sends a gossip message to a hub, each of its echoes sends that hub a copy about other endpoints, at another time.
A hub thus receives as many messages of that length as from full relays. Hubs and watchers are always full relays.
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

UDP_HEADER_BYTES = 28  # IPv4 and UDP headers of a datagram; not counted unless a note says so
CONNECT_TIMEOUT: Ticks = 2500  # after which an attempt at an unreachable endpoint fails
TIMER_DELAY: Ticks = 5  # how late timers of the event loop fire
RATE_SHARES = (1.0, 0.6, 0.6, 0.6, 0.6, 4.0, 0.6, 0.6, 0.6, 0.8)  # by relay number modulo 10; the mean is 1
ROLLOUT_STATE = RolloutMessage(1, 1, "released", 1.0, 60_000)


@dataclass
class Cost:
    """Number of events of one kind at one relay, and their total processor time in nanoseconds."""

    events: int = 0
    ns: int = 0


@dataclass(eq=False)
class Relay:
    """One full relay with its simulated host: the driver's host methods, counters and timers."""

    fleet: Fleet
    number: int
    share: float
    driver: DecisionDriver = field(init=False)
    decisions: Balancer = field(init=False)
    costs: dict[str, Cost] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)  # messages (`letters`) and `bytes`
    received: Counter[str] = field(default_factory=Counter)
    received_parts: Counter[str] = field(default_factory=Counter)  # bytes of outcomes (`sightings`), counts (`loads`)
    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    request_count: int = 0
    up: bool = True
    starts: int = 0
    next_wake_at: Ticks | None = None
    wake_number: int = 0
    started_attempts: list[Attempt] = field(default_factory=list)
    outgoing_messages: list[tuple[int, bytes]] = field(default_factory=list)
    connecting: dict[Attempt, None] = field(default_factory=dict)

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.started_attempts.append(attempt)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.connecting.pop(attempt, 0) == 0

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        assert peer is not None  # the gossip peers are always named
        for payload in payloads:
            self.outgoing_messages.append((peer, datagrams.encode_plain(payload)))

    def check_health(self, unit: Endpoint) -> None: ...
    def close_idle_connections(self, unit: Endpoint) -> None: ...
    def cast_vote(self, vote: CastVote) -> None: ...
    def watch_endpoints(self, on: bool) -> None: ...
    def poll_endpoints(self) -> None: ...
    def log_event(self, text: str) -> None: ...

    def reply(
        self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None, answer: Any, back: Ticks
    ) -> None:
        self.outcomes[outcome] += 1

    def cpu_us(self, *kinds: str) -> float:
        """Processor time of the events of these kinds (default: all), microseconds, without the cost of measuring."""
        some = [self.costs[kind] for kind in kinds or self.costs if kind in self.costs]
        return sum(cost.ns - cost.events * self.fleet.clock_overhead_ns for cost in some) / 1e3


class Fleet:
    """Runs the events of all relays from one heap in order of time; one seed determines all random choices."""

    def __init__(
        self, size: Size, seed: int, rows: Sequence[EndpointMessage] | None = None, uniform: bool = False
    ) -> None:
        self.size, self.seed, self.now = size, seed, CLOCK_START_TICKS
        self.rng = Random(f"fleet {seed}")
        self.rows = list(rows) if rows is not None else listing(size.units)
        self.endpoint_reachable: Callable[[int, str], bool] = lambda relay, unit: True  # by relay and endpoint
        self.load_factor = 1.0  # factor on the request rate
        self.link_up: Callable[[int, int], bool] = lambda sender, to: True
        self.on_event: Callable[[str, Relay, Any], None] = lambda kind, relay, what: None
        self.event_checksum = 0  # running checksum, to compare two runs by
        self.dropped: Counter[str] = Counter()
        self.clock_overhead_ns = _measure_clock_overhead_ns()
        self._events: list[tuple[Ticks, int, str, int, Any]] = []
        self._number = 0
        cv2 = size.spread**2 + 1
        self._sigma, self._mu = sqrt(log(cv2)), log(size.answer) - log(cv2) / 2
        whole = size.whole or size.relays
        self.relays = [
            Relay(self, number, RATE_SHARES[number % 10] if number >= 7 and not uniform else 1.0)
            for number in range(min(whole, size.relays))
        ]
        self.hubs = min(4, size.relays) if size.relays > 8 else size.relays
        self._echoes = self._spread_echoes()
        gc.collect()
        for relay in self.relays:
            self.start(relay)
        self.restart_requests()

    def _spread_echoes(self) -> dict[int, list[dict[bytes, bytes]]]:
        """Assigns echoes to each full plain relay, each with a table from the endpoints' short ids to others."""
        first = max(self.hubs, self.size.watchers)
        plain = [relay.number for relay in self.relays if relay.number >= first]
        marks = [IN_FLIGHT_ENTRY.pack(zlib.crc32(row.unit.encode()) & 0xFFFF, 0)[:2] for row in self.rows]
        echoes: dict[int, list[tuple[int, dict[bytes, bytes]]]] = {number: [] for number in plain}
        self._echo_numbers: dict[int, list[int]] = {number: [] for number in plain}
        for place, number in enumerate(range(len(self.relays), self.size.relays) if plain else ()):
            turned = marks[:]
            self.rng.shuffle(turned)
            source = plain[place % len(plain)]
            echoes[source].append((number, dict(zip(marks, turned, strict=True))))
            self._echo_numbers[source].append(number)
        return {number: [table for _, table in some] for number, some in echoes.items()}

    def start(self, relay: Relay) -> None:
        """Starts a relay as a process would: settings, decisions, driver, endpoint list, rollout state."""
        relay.up, relay.next_wake_at, relay.starts = True, None, relay.starts + 1
        relay.connecting.clear()
        collecting = gc.isenabled()
        gc.disable()
        try:
            self._measure(relay, "start", self._create_driver, relay)
            self._measure(
                relay, "list", relay.driver.endpoints_listed, EndpointListMessage("full", 1, 0.0, self.rows), 0
            )
            self._measure(relay, "news", relay.driver.rollout_read, ROLLOUT_STATE, False, AttemptOutcome.SUCCEEDED)
        finally:
            if collecting:
                gc.enable()

    def _create_driver(self, relay: Relay) -> None:
        reader = ParameterReader([*flatten_pairs(settings(self.size, relay.number))])
        request_classes, limits, quota = reader.request_classes(), reader.service_limits(), reader.resource_quota()
        relay.decisions = Balancer(
            position=reader.position(),
            request_classes=request_classes,
            tenants=reader.tenants(),
            quota=quota,
            limits=limits,
            canary_limits=reader.canary_limits(),
            voting_rules=reader.voting_rules(),
            prices=reader.prices(),
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
        """Schedules the next request of each relay."""
        for relay in self.relays:
            if self.size.rate:
                self._next_request(relay)

    def stop(self, relay: Relay) -> None:
        """Stops a relay as SIGKILL does: its attempts stay at the endpoints, its clients get no answer."""
        relay.up = False
        relay.wake_number += 1

    def at(self, when: Ticks, kind: str, number: int, what: Any = None) -> None:
        """Schedules an event."""
        self._number += 1
        heappush(self._events, (when, self._number, kind, number, what))

    def run(self, seconds: float) -> None:
        """Handles all events of the next `seconds` of virtual time."""
        until, collect = self.now + int(seconds * SECOND), self.now + SECOND
        gc.collect()
        gc.disable()
        try:
            while self._events and self._events[0][0] <= until:
                when, _, kind, number, what = heappop(self._events)
                if when > collect:
                    # Without collection, garbage would look like growth of memory in a long run.
                    gc.collect(2 if collect // SECOND % 60 == 0 else 1)
                    collect += SECOND
                self.now = max(self.now, when)
                self._handle(kind, number, what)
        finally:
            gc.enable()
        self.now = until

    def _handle(self, kind: str, number: int, what: Any) -> None:
        if kind == "call":
            what()
            return
        if number >= len(self.relays):  # an echo sends to a hub
            kind, to, data = what
            self._transmit(number, to, data)
            return
        relay = self.relays[number]
        if kind == "request":
            self._next_request(relay)
            if not relay.up:
                self.dropped["request"] += 1
                return
        elif not relay.up or (kind == "wake" and what != relay.wake_number):
            if kind == "letter":
                self._drop(what[1])
            return
        self.event_checksum = zlib.crc32(f"{self.now} {number} {kind}".encode(), self.event_checksum)
        if kind == "request":
            relay.request_count += 1
            self._request(relay)
        elif kind == "answer":
            attempt, outcome, starts = what
            relay.connecting.pop(attempt, None)
            gone = outcome is AttemptOutcome.SUCCEEDED and not self._reaches(relay, attempt)
            if attempt.outcome is None and starts == relay.starts and not gone:
                self._measure(relay, "ended", relay.driver.attempt_ended, attempt, outcome, None, None)
        elif kind == "letter":
            sender, data = what
            relay.received["letters"] += 1
            relay.received["bytes"] += len(data)
            seen = (data[0] & 31) * OUTCOME_ROW.size
            relay.received_parts["sightings"] += seen
            relay.received_parts["loads"] += len(data) - 2 - HEADER_BYTES - seen
            self._measure(relay, "heard", self._receive_gossip, relay, sender, data)
        elif kind == "list":
            self._measure(relay, "list", relay.driver.endpoints_listed, what, 0)
        elif kind == "wake":
            relay.next_wake_at = None
            due = relay.driver._timers.heap[0] if relay.driver._timers.heap else (0, 0, 0)
            self._measure(relay, "beat" if due[2] is None else "timer", relay.driver.tick)

    def _receive_gossip(self, relay: Relay, sender: int, data: bytes) -> None:
        payload = datagrams.decode_plain(data)
        if payload is not None:
            relay.driver.gossip_received(sender, payload)

    def _request(self, relay: Relay) -> None:
        request_class = relay.driver.request_classes["read" if self.rng.random() < 0.65 else "file"]
        pending = PendingRequest(f"{relay.number}-{relay.request_count}", None, relay.reply)
        self._measure(relay, "take", relay.driver.receive, pending, request_class, None, None, 39_000)

    def _next_request(self, relay: Relay) -> None:
        gap = self.rng.expovariate(self.size.rate * relay.share * self.load_factor)
        self.at(self.now + max(1, int(gap * SECOND)), "request", relay.number)

    def _measure(self, relay: Relay, kind: str, what: Callable[..., Any], *arguments: Any) -> None:
        """Handles one event, measured with what a real process does after it, and schedules its effects."""
        before = time.thread_time_ns()
        what(*arguments)
        sendable: list[Attempt] = []
        while relay.started_attempts:
            attempts, relay.started_attempts = relay.started_attempts, []
            for attempt in attempts:
                if relay.driver.destination_of(attempt) is None:
                    relay.driver.attempt_ended(attempt, AttemptOutcome.NOT_SENT)
                else:
                    sendable.append(attempt)
        due = relay.driver.next_timer()
        spent = time.thread_time_ns() - before
        cost = relay.costs.setdefault(kind, Cost())
        cost.events += 1
        cost.ns += spent
        if due is not None and (relay.next_wake_at is None or due < relay.next_wake_at):
            relay.next_wake_at, relay.wake_number = due, relay.wake_number + 1
            self.at(max(self.now, due) + TIMER_DELAY, "wake", relay.number, relay.wake_number)
        for attempt in sendable:
            self._send_attempt(relay, attempt)
        for to, data in relay.outgoing_messages:
            self._send_message(relay, to, data)
        relay.outgoing_messages.clear()
        self.on_event(kind, relay, sendable)

    def _send_attempt(self, relay: Relay, attempt: Attempt) -> None:
        if not self._reaches(relay, attempt):
            relay.connecting[attempt] = None
            self.at(
                self.now + CONNECT_TIMEOUT,
                "answer",
                relay.number,
                (attempt, AttemptOutcome.CONNECT_FAILED, relay.starts),
            )
            return
        took = exp(self._mu + self._sigma * self.rng.gauss(0, 1)) + self.size.link
        self.at(
            self.now + max(1, int(took * 10)), "answer", relay.number, (attempt, AttemptOutcome.SUCCEEDED, relay.starts)
        )

    def _reaches(self, relay: Relay, attempt: Attempt) -> bool:
        name = relay.driver.registry.names.get(attempt.endpoint)
        return name is not None and self.endpoint_reachable(relay.number, name)

    def _send_message(self, relay: Relay, to: int, data: bytes) -> None:
        relay.sent["letters"] += 1
        relay.sent["bytes"] += len(data)
        self._transmit(relay.number, to, data)
        if to < self.hubs and relay.number in self._echoes:
            tables = self._echoes[relay.number]
            for number, table in zip(self._echo_numbers[relay.number], tables, strict=True):
                # A relay draws at random which hub gets its outcomes; hubs are alike, so rotating them is enough.
                when = self.now + (number * 7919) % (SECOND // 5)
                turned = (to + number) % self.hubs
                self.at(when, "echo", number, ("echo", turned, _echo(data, table)))

    def _transmit(self, sender: int, to: int, data: bytes) -> None:
        low, high = self.size.transit
        if to >= len(self.relays) or not self.link_up(sender, to):
            self._drop(data)
        else:
            transit = int(self.rng.uniform(low, high) * 10)
            self.at(self.now + transit, "letter", to, (sender, data))

    def _drop(self, data: bytes) -> None:
        """Counts a message that was sent to an echo, to a stopped relay or over a cut link."""
        self.dropped["letters"] += 1
        self.dropped["bytes"] += len(data)

    def messages_in_transit(self) -> list[bytes]:
        """Gossip messages that were sent and have not arrived."""
        return [what[1] for _, _, kind, _, what in self._events if kind == "letter"]

    def reset(self) -> None:
        """Clears all counters."""
        for relay in self.relays:
            for table in (relay.costs, relay.sent, relay.received, relay.received_parts, relay.outcomes):
                table.clear()
            relay.request_count = 0

    @property
    def roles(self) -> dict[str, list[Relay]]:
        """Full relays by role: up to 8, all are plain. Plain ones by tens, whose `RATE_SHARES` have the mean 1."""
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
    """The same gossip message about other endpoints."""
    payload = bytearray(data[:-2])
    count = payload[0] & 31
    assert payload[0] >> 5 == MESSAGE_FORMAT
    end = HEADER_BYTES + count * OUTCOME_ROW.size
    for place in [*range(HEADER_BYTES, end, OUTCOME_ROW.size), *range(end, len(payload), IN_FLIGHT_ENTRY.size)]:
        mark = bytes(payload[place : place + 2])
        payload[place : place + 2] = marks.get(mark, mark)
    return datagrams.encode_plain(bytes(payload))


def _measure_clock_overhead_ns() -> int:
    """The processor time that one measurement itself takes."""
    began = time.thread_time_ns()
    for _ in range(20_000):
        time.thread_time_ns()
    return (time.thread_time_ns() - began) // 20_000
