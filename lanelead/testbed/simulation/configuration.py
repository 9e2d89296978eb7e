"""Followers of a configuration and machines that tell it, in virtual time, with links that fail.

The followers and sources are the modules that run on sockets. What is hollow: machines agree by a stand-in (a
change is decided at a machine that reaches a majority, and known to another after the link's delay), TCP is a
link that stalls, delays or is cut, and clocks are one heap. Same seed, same events.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from random import Random
from time import thread_time_ns

import msgspec

from lanelead.configuration.actions import (
    CloseWatch,
    FetchBuckets,
    FetchDigestTree,
    Location,
    OpenWatch,
    ReportApplied,
    VersionApplied,
)
from lanelead.configuration.document import Document
from lanelead.configuration.follower import Follower
from lanelead.configuration.publisher import WATCH_HEARTBEAT_SECONDS, ChangePublisher, SnapshotExpiredError
from lanelead.protocols.configuration import Change, Entry, WatchLine
from lanelead.protocols.feeds import decode, encode

HEADS = 52  # bytes of TCP and IP heads of one packet, and as many for its acknowledgement
PACKET = 1448
CALL = 8 * HEADS + 260  # a call on a connection of its own: opening, closing, fields of request and answer


@dataclass
class Machine:
    """One of the machines set aside; `up`: it runs; `knows`: it hears the other machines."""

    place: Location
    source: ChangePublisher = field(default_factory=ChangePublisher)
    up: bool = True
    spent_ns: int = 0
    sent: int = 0
    watchers: dict[int, tuple[int, int | None]] = field(default_factory=dict)  # relay: watch, position


@dataclass
class Relay:
    follower: Follower
    place: Location
    number: int
    up: bool = True
    life: int = 0
    watches: dict[int, int] = field(default_factory=dict)  # by source, the number of the watch that stands
    heard: int = 0  # bytes that came, heads and all
    sent: int = 0
    spent_ns: int = 0
    timer: float = -1.0
    in_force: list[tuple[float, int]] = field(default_factory=list)


class Fleet:
    """`reaches(a, b)`: whether what `a` sends comes to `b`; ends are ("m", number) and ("r", number)."""

    def __init__(
        self, places: Sequence[Location], relays: Sequence[Location], seed: int, rate: float = 65536.0
    ) -> None:
        self.now, self._rng, self._rate = 0.0, Random(f"fleet {seed}"), rate
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = self._watches = 0
        self.machines = [Machine(place) for place in places]
        self.voters = len(places) if len(places) % 2 else len(places) - 1
        self.reaches: Callable[[tuple[str, int], tuple[str, int]], bool] = lambda a, b: True
        self.delay: Callable[[tuple[str, int], tuple[str, int]], float] = lambda a, b: self._far(a, b)
        self.decided: list[Change] = []
        self.stopped: dict[int, None] = {}  # machines that stand still: nothing refuses a call there
        self._last: dict[tuple[int, int], float] = {}
        self.document = Document()
        self.start: Callable[[], Document] = Document  # what a relay's own file says
        self.relays: list[Relay] = []
        for place in relays:
            self.join(place)
        for number in range(len(self.machines)):
            self.at(self._rng.uniform(0, WATCH_HEARTBEAT_SECONDS), partial(self._sign, number))

    # Time

    def at(self, after: float, what: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._heap, (self.now + after, self._count, what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, what = heappop(self._heap)
            what()
        self.now = end

    def _far(self, a: tuple[str, int], b: tuple[str, int]) -> float:
        one, other = self._place(a), self._place(b)
        base = 0.0004 if one.zone == other.zone else 0.001 if one.region == other.region else 0.04
        return base * self._rng.uniform(1, 2)

    def _place(self, end: tuple[str, int]) -> Location:
        return self.machines[end[1]].place if end[0] == "m" else self.relays[end[1]].place

    # Machines

    def majority(self, number: int) -> bool:
        """Whether a machine hears a majority of the voters."""
        here = ("m", number)
        heard = [
            n == number or (self.machines[n].up and self.reaches(("m", n), here) and self.reaches(here, ("m", n)))
            for n in range(self.voters)
        ]
        return self.machines[number].up and 2 * sum(heard) > self.voters

    def change(self, entries: Sequence[tuple[str, bytes]], at: int = 0) -> Change | None:
        """Decided at this machine, if it hears a majority; the others hear of it, or catch up later."""
        if not self.majority(at):
            return None
        self._catch_up(at)
        wanted = [Entry(key, msgspec.Raw(value)) for key, value in entries]
        version = self.document.version + 1
        change = Change(version, f"ident-{version:06d}", self.document.digest_after(wanted), wanted)
        self.document.apply(change)
        self.decided.append(change)
        for number in range(len(self.machines)):
            wait = 2 * self.delay(("m", at), ("m", number))
            self.at(wait, partial(self._catch_up, number))
        return change

    def _catch_up(self, number: int) -> None:
        machine = self.machines[number]
        if not self.majority(number):
            return
        began = thread_time_ns()
        machine.source.majority_heard_at = self.now
        news = self.decided[machine.source.document.version :]
        for change in news:
            machine.source.document.apply(change)
            machine.source.append(change)
        machine.spent_ns += thread_time_ns() - began
        if news:
            self._push(number)

    def _sign(self, number: int) -> None:
        if self.machines[number].up:
            self._catch_up(number)
            self._push(number)
        self.at(WATCH_HEARTBEAT_SECONDS, lambda: self._sign(number))

    def _push(self, number: int) -> None:
        machine = self.machines[number]
        for relay in list(machine.watchers):
            self._line(number, relay)

    def _line(self, number: int, relay: int, at: int | None = None) -> None:
        machine = self.machines[number]
        watch, position = machine.watchers[relay]
        while True:
            began = thread_time_ns()
            line, after = machine.source.next_line(position, self.now)
            if at is not None:
                line, at = msgspec.structs.replace(line, resume_version=at), None
            text = encode(line)
            machine.spent_ns += thread_time_ns() - began
            machine.sent += (size := wire(len(text) + 8))
            self._to_relay(number, relay, watch, partial(self._heard, relay, number, text), size)
            if after == position:
                break
            position = after
            machine.watchers[relay] = watch, position

    def _heard(self, number: int, source: int, text: bytes) -> None:
        relay = self.relays[number]
        relay.follower.line_received(source, decode(text, WatchLine, 4 << 20), self.now)

    def _to_relay(self, machine: int, relay: int, watch: int, what: Callable[[], None], size: int) -> None:
        """What a machine writes to a relay's watch, or answers to it: it comes late, or stalls for good."""
        life, ends = self.relays[relay].life, (("m", machine), ("r", relay))

        def come() -> None:
            there = self.relays[relay]
            if not there.up or there.life != life or there.watches.get(machine) != watch:
                return
            if not self.reaches(*ends):  # the stream stalls: what is behind it does not come either
                self.machines[machine].watchers.pop(relay, None)
                return
            began = thread_time_ns()
            there.heard += size
            what()
            there.spent_ns += thread_time_ns() - began
            self._carry(there)

        # A stream keeps its order.
        due = max(self.now + self.delay(*ends), self._last.get((machine, relay), 0.0))
        self._last[machine, relay] = due
        self.at(due - self.now, come)

    # Relays

    def _follower(self, number: int, place: Location) -> Follower:
        rng = Random(self._rng.random())
        places = [machine.place for machine in self.machines]
        return Follower(number, place, places, self.start(), self._rate, rng, self.now)

    def join(self, place: Location) -> None:
        number = len(self.relays)
        relay = Relay(self._follower(number, place), place, number)
        self.relays.append(relay)
        self.at(self._rng.uniform(0, WATCH_HEARTBEAT_SECONDS), lambda: self._carry(relay))

    def restart(self, number: int, away: float) -> None:
        relay = self.relays[number]
        relay.up, relay.life, relay.watches = False, relay.life + 1, {}
        for machine in self.machines:
            machine.watchers.pop(number, None)

        def back() -> None:
            relay.up, relay.follower = True, self._follower(number, relay.place)
            self._carry(relay)

        self.at(away, back)

    def kill(self, number: int, empty: bool = False) -> None:
        """A machine ends: its watches are cut. It comes back by `wake`, with its disk or without."""
        machine = self.machines[number]
        machine.up = False
        watchers, machine.watchers = machine.watchers, {}
        for relay, (watch, _) in watchers.items():
            self._to_relay(number, relay, watch, partial(self._cut, relay, number), HEADS)
        if empty:
            machine.source = ChangePublisher()

    def stop(self, number: int) -> None:
        """A machine stands still: its watches stay and are silent."""
        self.machines[number].up = False
        self.stopped[number] = None

    def wake(self, number: int) -> None:
        self.machines[number].up = True
        self.stopped.pop(number, None)

    def _cut(self, relay: int, source: int) -> None:
        self.relays[relay].follower.watch_ended(source, "cut", self.now)

    def _carry(self, relay: Relay) -> None:
        if not relay.up:
            return
        began = thread_time_ns()
        follower = relay.follower
        follower.tick(self.now)
        while follower.actions:
            actions, follower.actions = follower.actions, []
            for action in actions:
                if isinstance(action, OpenWatch):
                    self._watches += 1
                    relay.watches[action.source] = self._watches
                    relay.sent += CALL
                    self._ask(relay, action.source, partial(self._open, relay, action, self._watches))
                elif isinstance(action, CloseWatch):
                    relay.watches.pop(action.source, None)
                    self.machines[action.source].watchers.pop(relay.number, None)
                elif isinstance(action, FetchDigestTree):
                    relay.sent += CALL
                    self._ask(relay, action.source, partial(self._outline, relay, action, relay.watches[action.source]))
                elif isinstance(action, FetchBuckets):
                    relay.sent += CALL + 4 * len(action.numbers)
                    self._ask(relay, action.source, partial(self._buckets, relay, action, relay.watches[action.source]))
                elif isinstance(action, ReportApplied):
                    relay.sent += CALL + len(encode(action.applied))
                    self._ask(relay, action.source, partial(self._applied, action))
                elif isinstance(action, VersionApplied):
                    relay.in_force.append((self.now, action.version))
        relay.spent_ns += thread_time_ns() - began
        if relay.timer <= self.now or follower.due < relay.timer:
            relay.timer = max(follower.due, self.now + 0.01)
            self.at(relay.timer - self.now, lambda: self._timer(relay, relay.timer))

    def _timer(self, relay: Relay, when: float) -> None:
        if relay.timer <= self.now + 1e-9:
            self._carry(relay)

    def _ask(self, relay: Relay, source: int, what: Callable[[], None]) -> None:
        there, here = ("m", source), ("r", relay.number)

        def come() -> None:
            if self.machines[source].up and self.reaches(here, there):
                what()

        refused = not self.machines[source].up and self.reaches(here, there) and self.reaches(there, here)
        if refused and source not in self.stopped:
            watch = relay.watches.get(source, 0)
            self._to_relay(source, relay.number, watch, lambda: self._cut(relay.number, source), HEADS)
        else:
            self.at(3 * self.delay(here, there), come)

    def _open(self, relay: Relay, action: OpenWatch, watch: int) -> None:
        if relay.watches.get(action.source) == watch:
            source = self.machines[action.source].source
            position = source.resume_position(action.since, action.digest)
            self.machines[action.source].watchers[relay.number] = watch, position
            self._line(action.source, relay.number, position)

    def _outline(self, relay: Relay, action: FetchDigestTree, watch: int) -> None:
        machine = self.machines[action.source]
        outline = machine.source.digest_tree(self.now)
        machine.sent += (size := wire(len(encode(outline))))
        self._to_relay(
            action.source,
            relay.number,
            watch,
            lambda: relay.follower.digest_tree_received(action.source, outline, self.now),
            size,
        )

    def _buckets(self, relay: Relay, action: FetchBuckets, watch: int) -> None:
        machine = self.machines[action.source]
        try:
            buckets = machine.source.buckets(action.version, action.numbers)
        except SnapshotExpiredError:
            self._to_relay(
                action.source, relay.number, watch, lambda: relay.follower.fetch_failed(action.source, self.now), CALL
            )
            return
        length = len(encode(buckets))
        machine.sent += (size := wire(length))
        self._to_relay(
            action.source,
            relay.number,
            watch,
            lambda: relay.follower.buckets_received(action.source, buckets, length, self.now),
            size,
        )

    def _applied(self, action: ReportApplied) -> None:
        self.machines[action.source].source.record_applied(action.applied, self.now)


def wire(size: int) -> int:
    """Bytes with heads and acknowledgements, of what is written at once."""
    return size + 2 * HEADS * max(1, -(-size // PACKET))
