"""Simulates the distribution of the configuration in virtual time: replicas, followers in relays, and faulty links.

The followers and the replicas' publishers are the production classes. Simplifications: a replica that reaches a
majority commits a change alone, and any other that reaches a majority takes missed changes from a shared list; TCP is a
link that delays, stalls or is cut; closing a watch takes effect at once; clocks are one heap of events. The same seed
gives the same events.
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

HEADER_BYTES = 52  # bytes of the TCP and IP headers of one packet; its acknowledgement has as many
SEGMENT_BYTES = 1448
# A call on its own connection, charged to the caller: handshake, close, header fields of request and response.
CALL_BYTES = 8 * HEADER_BYTES + 260


@dataclass
class Machine:
    """A replica's simulated machine, with its publisher `source`; relays refer to it by its number.

    `sent` counts bytes with headers and acknowledgements. `spent_ns` is the CPU time of catching up and composing
    lines.
    """

    place: Location
    source: ChangePublisher = field(default_factory=ChangePublisher)
    up: bool = True
    spent_ns: int = 0
    sent: int = 0
    watchers: dict[int, tuple[int, int | None]] = field(default_factory=dict)  # by relay: number of its watch, position


@dataclass
class Relay:
    """A relay with its follower.

    `life` grows when the relay ends, so that deliveries to an earlier process are dropped. `in_force` holds (time,
    version) of applied versions. Byte counts include headers and acknowledgements; `spent_ns` is the CPU time of its
    follower, with the simulation's own scheduling.
    """

    follower: Follower
    place: Location
    number: int
    up: bool = True
    life: int = 0
    watches: dict[int, int] = field(default_factory=dict)  # by machine: number of the open watch
    heard: int = 0  # bytes received, with headers
    sent: int = 0
    spent_ns: int = 0
    timer: float = -1.0  # when the follower's next tick is scheduled
    in_force: list[tuple[float, int]] = field(default_factory=list)


class Fleet:
    """The replicas and relays of one simulation.

    `reaches(a, b)`: whether what `a` sends arrives at `b`; `delay(a, b)`: its delay in seconds. Ends are ("m", number)
    for machines and ("r", number) for relays. `rate` is the limit of each follower's repairs in bytes a second.
    """

    def __init__(
        self, places: Sequence[Location], relays: Sequence[Location], seed: int, rate: float = 65536.0
    ) -> None:
        self.now, self._rng, self._rate = 0.0, Random(f"fleet {seed}"), rate
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = self._watches = 0
        self.machines = [Machine(place) for place in places]
        self.voters = len(places) if len(places) % 2 else len(places) - 1
        self.reaches: Callable[[tuple[str, int], tuple[str, int]], bool] = lambda a, b: True
        self.delay: Callable[[tuple[str, int], tuple[str, int]], float] = lambda a, b: self._link_delay(a, b)
        self.decided: list[Change] = []
        self.stopped: dict[int, None] = {}  # stopped machines, where calls are neither served nor refused
        self._last_delivery: dict[tuple[int, int], float] = {}
        self.document = Document()
        self.start: Callable[[], Document] = Document  # the document that a relay starts with, from its own file
        self.relays: list[Relay] = []
        for place in relays:
            self.join(place)
        for number in range(len(self.machines)):
            self.at(self._rng.uniform(0, WATCH_HEARTBEAT_SECONDS), partial(self._heartbeat, number))

    # Time

    def at(self, after: float, call: Callable[[], None]) -> None:
        """Schedules a call in `after` seconds."""
        self._sequence += 1
        heappush(self._heap, (self.now + after, self._sequence, call))

    def run(self, seconds: float) -> None:
        """Runs all events of the next `seconds`."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    def _link_delay(self, a: tuple[str, int], b: tuple[str, int]) -> float:
        first, second = self._location(a), self._location(b)
        base = 0.0004 if first.zone == second.zone else 0.001 if first.region == second.region else 0.04
        return base * self._rng.uniform(1, 2)

    def _location(self, end: tuple[str, int]) -> Location:
        return self.machines[end[1]].place if end[0] == "m" else self.relays[end[1]].place

    # Machines

    def majority(self, number: int) -> bool:
        """Whether a machine runs and can exchange messages with a majority of the voters."""
        here = ("m", number)
        reachable = [
            n == number or (self.machines[n].up and self.reaches(("m", n), here) and self.reaches(here, ("m", n)))
            for n in range(self.voters)
        ]
        return self.machines[number].up and 2 * sum(reachable) > self.voters

    def change(self, entries: Sequence[tuple[str, bytes]], at: int = 0) -> Change | None:
        """Commits a change at machine `at`; None where it reaches no majority.

        Every machine that reaches a majority then catches up after twice the link's delay; others do at a later
        heartbeat.
        """
        if not self.majority(at):
            return None
        self._catch_up(at)
        new_entries = [Entry(key, msgspec.Raw(value)) for key, value in entries]
        version = self.document.version + 1
        change = Change(version, f"ident-{version:06d}", self.document.digest_after(new_entries), new_entries)
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
        missed = self.decided[machine.source.document.version :]
        for change in missed:
            machine.source.document.apply(change)
            machine.source.append(change)
        machine.spent_ns += thread_time_ns() - began
        if missed:
            self._push_to_watches(number)

    def _heartbeat(self, number: int) -> None:
        if self.machines[number].up:
            self._catch_up(number)
            self._push_to_watches(number)
        self.at(WATCH_HEARTBEAT_SECONDS, lambda: self._heartbeat(number))

    def _push_to_watches(self, number: int) -> None:
        machine = self.machines[number]
        for relay in list(machine.watchers):
            self._send_lines(number, relay)

    def _send_lines(self, number: int, relay: int, resume_version: int | None = None) -> None:
        machine = self.machines[number]
        watch, position = machine.watchers[relay]
        while True:
            began = thread_time_ns()
            line, after = machine.source.next_line(position, self.now)
            if resume_version is not None:
                line, resume_version = msgspec.structs.replace(line, resume_version=resume_version), None
            text = encode(line)
            machine.spent_ns += thread_time_ns() - began
            machine.sent += (size := bytes_on_wire(len(text) + 8))
            self._to_relay(number, relay, watch, partial(self._line_received, relay, number, text), size)
            if after == position:
                break
            position = after
            machine.watchers[relay] = watch, position

    def _line_received(self, number: int, source: int, text: bytes) -> None:
        relay = self.relays[number]
        relay.follower.line_received(source, decode(text, WatchLine, 4 << 20), self.now)

    def _to_relay(self, machine: int, relay: int, watch: int, call: Callable[[], None], size: int) -> None:
        """Delivers what a machine sends to a relay: lines of a watch, responses, and failures.

        Deliveries keep their order. They are dropped where the relay has ended or its watch is no longer the same.
        Where the relay is unreachable, its watch is removed from the machine, which sends no further lines.
        """
        life, ends = self.relays[relay].life, (("m", machine), ("r", relay))

        def deliver() -> None:
            receiver = self.relays[relay]
            if not receiver.up or receiver.life != life or receiver.watches.get(machine) != watch:
                return
            if not self.reaches(*ends):  # the stream stalls: the machine sends no more on it
                self.machines[machine].watchers.pop(relay, None)
                return
            began = thread_time_ns()
            receiver.heard += size
            call()
            receiver.spent_ns += thread_time_ns() - began
            self._carry_out_actions(receiver)

        # A stream preserves the order of its lines.
        due = max(self.now + self.delay(*ends), self._last_delivery.get((machine, relay), 0.0))
        self._last_delivery[machine, relay] = due
        self.at(due - self.now, deliver)

    # Relays

    def _new_follower(self, number: int, place: Location) -> Follower:
        rng = Random(self._rng.random())
        places = [machine.place for machine in self.machines]
        return Follower(number, place, places, self.start(), self._rate, rng, self.now)

    def join(self, place: Location) -> None:
        """Adds a relay, which starts within one heartbeat."""
        number = len(self.relays)
        relay = Relay(self._new_follower(number, place), place, number)
        self.relays.append(relay)
        self.at(self._rng.uniform(0, WATCH_HEARTBEAT_SECONDS), lambda: self._carry_out_actions(relay))

    def restart(self, number: int, away: float) -> None:
        """Ends a relay, and starts it again after `away` seconds."""
        relay = self.relays[number]
        relay.up, relay.life, relay.watches = False, relay.life + 1, {}
        for machine in self.machines:
            machine.watchers.pop(number, None)

        def start_again() -> None:
            relay.up, relay.follower = True, self._new_follower(number, relay.place)
            self._carry_out_actions(relay)

        self.at(away, start_again)

    def kill(self, number: int, empty: bool = False) -> None:
        """Kills a machine, which cuts its watches; `wake` starts it again, and `empty` has it lose its disk."""
        machine = self.machines[number]
        machine.up = False
        watchers, machine.watchers = machine.watchers, {}
        for relay, (watch, _) in watchers.items():
            self._to_relay(number, relay, watch, partial(self._watch_ended, relay, number), HEADER_BYTES)
        if empty:
            machine.source = ChangePublisher()

    def stop(self, number: int) -> None:
        """Stops a machine: its watches stay open and silent."""
        self.machines[number].up = False
        self.stopped[number] = None

    def wake(self, number: int) -> None:
        """Starts a killed machine, or resumes a stopped one."""
        self.machines[number].up = True
        self.stopped.pop(number, None)

    def _watch_ended(self, relay: int, source: int) -> None:
        self.relays[relay].follower.watch_ended(source, "cut", self.now)

    def _carry_out_actions(self, relay: Relay) -> None:
        """Ticks a relay's follower, carries out its actions (except for log events), and arms its next timer."""
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
                    relay.sent += CALL_BYTES
                    self._call_source(relay, action.source, partial(self._open_watch, relay, action, self._watches))
                elif isinstance(action, CloseWatch):
                    relay.watches.pop(action.source, None)
                    self.machines[action.source].watchers.pop(relay.number, None)
                elif isinstance(action, FetchDigestTree):
                    relay.sent += CALL_BYTES
                    self._call_source(
                        relay,
                        action.source,
                        partial(self._send_digest_tree, relay, action, relay.watches[action.source]),
                    )
                elif isinstance(action, FetchBuckets):
                    relay.sent += CALL_BYTES + 4 * len(action.numbers)
                    self._call_source(
                        relay, action.source, partial(self._send_buckets, relay, action, relay.watches[action.source])
                    )
                elif isinstance(action, ReportApplied):
                    relay.sent += CALL_BYTES + len(encode(action.applied))
                    self._call_source(relay, action.source, partial(self._record_applied, action))
                elif isinstance(action, VersionApplied):
                    relay.in_force.append((self.now, action.version))
        relay.spent_ns += thread_time_ns() - began
        if relay.timer <= self.now or follower.due < relay.timer:
            relay.timer = max(follower.due, self.now + 0.01)
            self.at(relay.timer - self.now, lambda: self._timer_fired(relay, relay.timer))

    def _timer_fired(self, relay: Relay, when: float) -> None:
        """Ticks the relay if its timer is due; an outdated timer may do so too."""
        if relay.timer <= self.now + 1e-9:
            self._carry_out_actions(relay)

    def _call_source(self, relay: Relay, source: int, call: Callable[[], None]) -> None:
        """Calls a machine; the call is lost where the machine is stopped or unreachable.

        A machine that has ended refuses the call, which the follower sees as the end of its watch.
        """
        there, here = ("m", source), ("r", relay.number)

        def deliver() -> None:
            if self.machines[source].up and self.reaches(here, there):
                call()

        refused = not self.machines[source].up and self.reaches(here, there) and self.reaches(there, here)
        if refused and source not in self.stopped:
            watch = relay.watches.get(source, 0)
            self._to_relay(source, relay.number, watch, lambda: self._watch_ended(relay.number, source), HEADER_BYTES)
        else:
            self.at(3 * self.delay(here, there), deliver)

    def _open_watch(self, relay: Relay, action: OpenWatch, watch: int) -> None:
        if relay.watches.get(action.source) == watch:
            source = self.machines[action.source].source
            position = source.resume_position(action.since, action.digest)
            self.machines[action.source].watchers[relay.number] = watch, position
            self._send_lines(action.source, relay.number, position)

    def _send_digest_tree(self, relay: Relay, action: FetchDigestTree, watch: int) -> None:
        machine = self.machines[action.source]
        digest_tree = machine.source.digest_tree(self.now)
        machine.sent += (size := bytes_on_wire(len(encode(digest_tree))))
        self._to_relay(
            action.source,
            relay.number,
            watch,
            lambda: relay.follower.digest_tree_received(action.source, digest_tree, self.now),
            size,
        )

    def _send_buckets(self, relay: Relay, action: FetchBuckets, watch: int) -> None:
        machine = self.machines[action.source]
        try:
            buckets = machine.source.buckets(action.version, action.numbers)
        except SnapshotExpiredError:
            self._to_relay(
                action.source,
                relay.number,
                watch,
                lambda: relay.follower.fetch_failed(action.source, self.now),
                CALL_BYTES,
            )
            return
        length = len(encode(buckets))
        machine.sent += (size := bytes_on_wire(length))
        self._to_relay(
            action.source,
            relay.number,
            watch,
            lambda: relay.follower.buckets_received(action.source, buckets, length, self.now),
            size,
        )

    def _record_applied(self, action: ReportApplied) -> None:
        self.machines[action.source].source.record_applied(action.applied, self.now)


def bytes_on_wire(size: int) -> int:
    """Return the bytes on the wire of one write, with the headers of its segments and acknowledgements."""
    return size + 2 * HEADER_BYTES * max(1, -(-size // SEGMENT_BYTES))
