"""Simulates the membership protocol in virtual time: lossy and cut links; members that stop, die and return.

The members are the production class; only the network and the clock are simulated. Times are ticks, as in the
members, and the same seed gives the same run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from lanelead.decisions.interface import Ticks
from lanelead.membership.member import Membership
from lanelead.membership.member_state import Address, MemberChange, MembershipTimings
from lanelead.membership.messages import ALIVE, DEAD, MemberRecord

SECOND: Ticks = 10_000
PORT = 7946


@dataclass
class LinkSettings:
    """The network between members; times in ticks.

    loss: the share of datagrams lost on every link.
    least, spread: a datagram takes `least` and up to `spread` more.
    double: the share of datagrams that arrive twice.
    cut(sender, receiver): whether nothing passes from one to the other.
    """

    loss: float = 0.0
    least: Ticks = 5
    spread: Ticks = 20
    double: float = 0.0
    cut: Callable[[int, int], bool] = field(default=lambda sender, receiver: False)


class SimulatedMembers:
    """All members of a simulation.

    With `warm`, all members know each other at the start; otherwise each joins by the addresses of the first three.
    """

    def __init__(
        self,
        many: int,
        seed: int,
        tempo: MembershipTimings,
        wires: LinkSettings,
        warm: bool = True,
        kind: type[Membership] = Membership,
    ) -> None:
        self._kind = kind
        self.now: Ticks = 0
        self.wires, self._timings, self._seed = wires, tempo, seed
        self.chance = Random(f"circle {seed}")
        self.members: dict[int, Membership] = {}
        self.seeds: tuple[int, ...] = (0, 1, 2)  # seeds in the settings of members that start from now on
        self.stopped: dict[int, Ticks] = {}  # by number: when the member resumes
        self.found: list[tuple[Ticks, int, MemberChange]] = []  # time, observing member, change
        # Members declared dead while alive are counted by whether they ran or were stopped.
        self.false_deaths: Counter[str] = Counter()
        self.letters = self.bytes = 0
        self._heap: list[tuple[Ticks, int, int, bytes | None, Address]] = []
        self._order = 0
        self._unread: dict[int, list[tuple[bytes, Address]]] = {}
        rows = [self.row(number, 1) for number in range(many)]
        for row in rows:
            self._start_member(row, rows if warm else [row])

    def row(self, number: int, life: int, place: int = 0) -> MemberRecord:
        """Return a member's record for one of its incarnations as a process (`life`).

        `place` selects one of the addresses of its number; datagrams to any other address are lost.
        """
        zone = "abc"[number % 3]
        host = f"10.{number >> 8}.{number & 255}" + (f".{place}" if place else "")
        return MemberRecord(number, life, 0, ALIVE, number < 5, zone, "ab"[zone == "c"], host, PORT)

    def _start_member(self, own: MemberRecord, known: list[MemberRecord]) -> None:
        seeds = [(row.host, row.port) for row in (self.row(n, 1) for n in self.seeds) if row.number != own.number]
        rng = Random(f"{self._seed} {own.number} {own.started_at_ms}")
        others = [row for row in known if row.number != own.number]
        self.members[own.number] = self._kind(
            own=own, timings=self._timings, seeds=seeds, rng=rng, now=self.now, known=others
        )
        self._schedule_round(own.number)

    def start(self, number: int, life: int, place: int = 0) -> None:
        """Starts a member that knows only the seeds of its settings."""
        self.stopped.pop(number, None)
        self._unread.pop(number, None)
        self._start_member(self.row(number, life, place), [])

    def kill(self, number: int) -> None:
        """Ends a member without notice."""
        del self.members[number]

    def stop(self, number: int, span: Ticks) -> None:
        """Stops a member for `span` ticks; datagrams that arrive meanwhile wait in its socket, 200 at most."""
        self.stopped[number] = self.now + span

    def _schedule(self, at: Ticks, number: int, text: bytes | None, source: Address) -> None:
        self._order += 1
        heappush(self._heap, (at, self._order, number, text, source))

    def _schedule_round(self, number: int) -> None:
        member = self.members[number]
        self._schedule(max(self.now, member.next_round_at()), number, None, ("", member.own.started_at_ms & 0xFFFF))

    def _send_outbox(self, member: Membership) -> None:
        out, member.outbox = member.outbox, []
        sender, wires, rng = member.own.number, self.wires, self.chance
        source = member.own.host, member.own.port
        for (host, _), text in out:
            self.letters += 1
            self.bytes += len(text) + 28  # with the UDP and IPv4 headers
            parts = host.split(".")
            receiver = (int(parts[1]) << 8) + int(parts[2])
            if wires.cut(sender, receiver) or rng.random() < wires.loss:
                continue
            if receiver in self.members and self.members[receiver].own.host != host:
                continue  # the member has another address by now
            for _ in range(1 + (rng.random() < wires.double)):
                self._schedule(self.now + wires.least + int(rng.random() * wires.spread), receiver, text, source)
        changes, member.changes = member.changes, []
        for change in changes:
            self.found.append((self.now, sender, change))
            now = change.after
            running = self.members.get(now.number)
            if now.state == DEAD and running is not None and running.own.started_at_ms == now.started_at_ms:
                self.false_deaths["stopped" if self.stopped.get(now.number, 0) > self.now else "running"] += 1

    def run(self, until: Ticks) -> None:
        """Runs all events up to the time `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, number, text, source = heappop(self._heap)
            member = self.members.get(number)
            if member is None:
                continue
            resumes_at = self.stopped.get(number, 0)
            if resumes_at > self.now:
                if text is None:
                    self._schedule(resumes_at, number, None, source)
                elif len(unread := self._unread.setdefault(number, [])) < 200:
                    unread.append((text, source))
                continue
            if text is None and source[1] != member.own.started_at_ms & 0xFFFF:
                continue  # a timer of an earlier process
            for earlier, origin in self._unread.pop(number, []):
                member.receive(earlier, origin, self.now)
            if text is None:
                member.tick(self.now)
                self._schedule_round(number)
            else:
                member.receive(text, source, self.now)
            self._send_outbox(member)
        self.now = until

    # Observations

    def views(self) -> list[dict[int, tuple[int, int]]]:
        """Return the members that each member takes to be present: start time and incarnation by number."""
        views = (member.present_members() for member in self.members.values())
        return [{row.number: (row.started_at_ms, row.incarnation) for row in view} for view in views]

    def all_tables_correct(self) -> bool:
        """Whether all members see exactly the running members, with their present start times and incarnations."""
        truth = {number: (member.own.started_at_ms, member.own.incarnation) for number, member in self.members.items()}
        return all(view == truth for view in self.views())

    def count_unaware_members(self, number: int) -> int:
        """Return how many members still take a dead one to be present."""
        return sum(
            not member.records[number].has_departed for member in self.members.values() if number in member.records
        )
