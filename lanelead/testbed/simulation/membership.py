"""A circle of members in virtual time: links that lose, delay and are cut, members that stop, die and return.

The members are those that run in relays; only the wires and the clock are the model's. Times are ticks, as in
the members; one seed gives the same run.
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
class Wires:
    """`loss`: the share of letters lost on every link; a letter takes `least` and `spread` more at most.
    `cut(sender, receiver)`: whether nothing passes from the one to the other."""

    loss: float = 0.0
    least: Ticks = 5
    spread: Ticks = 20
    double: float = 0.0
    cut: Callable[[int, int], bool] = field(default=lambda sender, receiver: False)


class Town:
    """`warm`: all know all from the start; else each but the first joins by the first ones' addresses."""

    def __init__(
        self,
        many: int,
        seed: int,
        tempo: MembershipTimings,
        wires: Wires,
        warm: bool = True,
        kind: type[Membership] = Membership,
    ) -> None:
        self._kind = kind
        self.now: Ticks = 0
        self.wires, self._tempo, self._seed = wires, tempo, seed
        self.chance = Random(f"circle {seed}")
        self.members: dict[int, Membership] = {}
        self.seeds: tuple[int, ...] = (0, 1, 2)  # in the settings of those that start from now on
        self.stopped: dict[int, Ticks] = {}  # until when
        self.found: list[tuple[Ticks, int, MemberChange]] = []  # when, by whom, what
        self.wrong: Counter[str] = Counter()  # accusations of members that run, by what came of them
        self.letters = self.bytes = 0
        self._heap: list[tuple[Ticks, int, int, bytes | None, Address]] = []
        self._order = 0
        self._held: dict[int, list[tuple[bytes, Address]]] = {}
        rows = [self.row(number, 1) for number in range(many)]
        for row in rows:
            self._begin(row, rows if warm else [row])

    def row(self, number: int, life: int, place: int = 0) -> MemberRecord:
        """`place`: which of its number's addresses it has; letters to another one are lost."""
        zone = "abc"[number % 3]
        host = f"10.{number >> 8}.{number & 255}" + (f".{place}" if place else "")
        return MemberRecord(number, life, 0, ALIVE, number < 5, zone, "ab"[zone == "c"], host, PORT)

    def _begin(self, own: MemberRecord, known: list[MemberRecord]) -> None:
        seeds = [(row.host, row.port) for row in (self.row(n, 1) for n in self.seeds) if row.number != own.number]
        rng = Random(f"{self._seed} {own.number} {own.started_at_ms}")
        others = [row for row in known if row.number != own.number]
        self.members[own.number] = self._kind(
            own=own, timings=self._tempo, seeds=seeds, rng=rng, now=self.now, known=others
        )
        self._wake(own.number)

    def start(self, number: int, life: int, place: int = 0) -> None:
        """A process with nothing but its settings."""
        self.stopped.pop(number, None)
        self._held.pop(number, None)
        self._begin(self.row(number, life, place), [])

    def kill(self, number: int) -> None:
        del self.members[number]

    def stop(self, number: int, span: Ticks) -> None:
        """Stopped, then gone on: what came meanwhile waits in its socket, up to a bound."""
        self.stopped[number] = self.now + span

    def _push(self, at: Ticks, number: int, text: bytes | None, source: Address) -> None:
        self._order += 1
        heappush(self._heap, (at, self._order, number, text, source))

    def _wake(self, number: int) -> None:
        member = self.members[number]
        self._push(max(self.now, member.next_round_at()), number, None, ("", member.own.started_at_ms & 0xFFFF))

    def _post(self, member: Membership) -> None:
        out, member.outbox = member.outbox, []
        sender, wires, rng = member.own.number, self.wires, self.chance
        source = member.own.host, member.own.port
        for (host, _), text in out:
            self.letters += 1
            self.bytes += len(text) + 28  # with the heads of UDP and IPv4
            place = host.split(".")
            receiver = (int(place[1]) << 8) + int(place[2])
            if wires.cut(sender, receiver) or rng.random() < wires.loss:
                continue
            if receiver in self.members and self.members[receiver].own.host != host:
                continue  # it has moved
            for _ in range(1 + (rng.random() < wires.double)):
                self._push(self.now + wires.least + int(rng.random() * wires.spread), receiver, text, source)
        changes, member.changes = member.changes, []
        for change in changes:
            self.found.append((self.now, sender, change))
            now = change.after
            running = self.members.get(now.number)
            if now.state == DEAD and running is not None and running.own.started_at_ms == now.started_at_ms:
                self.wrong["stopped" if self.stopped.get(now.number, 0) > self.now else "running"] += 1

    def run(self, until: Ticks) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, number, text, source = heappop(self._heap)
            member = self.members.get(number)
            if member is None:
                continue
            wakes = self.stopped.get(number, 0)
            if wakes > self.now:
                if text is None:
                    self._push(wakes, number, None, source)
                elif len(held := self._held.setdefault(number, [])) < 200:
                    held.append((text, source))
                continue
            if text is None and source[1] != member.own.started_at_ms & 0xFFFF:
                continue  # an earlier life's
            for old, whence in self._held.pop(number, []):
                member.receive(old, whence, self.now)
            if text is None:
                member.tick(self.now)
                self._wake(number)
            else:
                member.receive(text, source, self.now)
            self._post(member)
        self.now = until

    # What is seen from outside

    def views(self) -> list[dict[int, tuple[int, int]]]:
        """What each member takes to be there: lives and turns by number."""
        views = (member.present_members() for member in self.members.values())
        return [{row.number: (row.started_at_ms, row.incarnation) for row in view} for view in views]

    def agreed(self) -> bool:
        """All take just those to be there that are, in their present lives and turns."""
        truth = {number: (member.own.started_at_ms, member.own.incarnation) for number, member in self.members.items()}
        return all(view == truth for view in self.views())

    def blind(self, number: int) -> int:
        """Members that still take one that's dead to be there."""
        return sum(
            not member.records[number].has_departed for member in self.members.values() if number in member.records
        )
