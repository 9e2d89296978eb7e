"""A member's rows: what is taken from others' words, what of it is told on, and by which letters."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil, log10
from random import Random

import msgspec

from lanelead.decisions.interface import Ticks
from lanelead.membership.member_state import (
    BEATS,
    CALLED,
    ENOUGH,
    KEPT,
    WORST,
    Address,
    Change,
    Counts,
    Probing,
    Rumor,
    Suspicion,
    Tempo,
    hashed,
)
from lanelead.membership.messages import ALIVE, DEAD, LEFT, SUSPECT, AnyLetter, Claim, Ping, Row, write


class Rows:
    """One member's view. `outbox` fills with (address, letter), `changes` with what became of members."""

    def __init__(
        self,
        own: Row,
        tempo: Tempo,
        seeds: Sequence[Address],
        rng: Random,
        now: Ticks,
        known: Sequence[Row] = (),
    ) -> None:
        self.own, self._tempo, self._rng, self.now = own, tempo, rng, now
        self._seeds = [seed for seed in seeds if seed != (own.host, own.port)]
        self.rows: dict[int, Row] = {own.number: own, **{row.number: row for row in known}}
        self.addresses: dict[int, Address] = {}  # as settings name them, which stand above what is told
        self.outbox: list[tuple[Address, bytes]] = []
        self.changes: list[Change] = []
        self.counts = Counts()
        self.health = 0
        self.over: Row | None = None  # the later life that took this one's place
        self._suspicions: dict[int, Suspicion] = {}
        self._rumors: dict[int, Rumor] = {}
        self._gone: dict[int, Ticks] = {}
        self._kept: dict[int, tuple[Address, Ticks]] = {}  # of the forgotten dead; until when
        self._ring: list[int] = []
        self._probing: Probing | None = None
        self._helping: dict[int, Probing] = {}
        self._seq = rng.randrange(1 << 31)
        self._beat_at = now + int(rng.random() * tempo.period / BEATS)
        self._beat = 0
        self._changed = now
        self._digest = 0
        for row in self.rows.values():
            self._digest ^= hashed(row)
        self._members = [row.number for row in self.rows.values() if row.number != own.number]
        self._places = {number: place for place, number in enumerate(self._members)}
        self._sync: tuple[Address, int, Ticks, int] | None = None  # from whom, from which, until, tries
        self._met = bool(known)
        self._tell(own)

    @property
    def joined(self) -> bool:
        return self._met or not self._seeds

    def due(self) -> Ticks:
        return self._beat_at

    def present(self) -> list[Row]:
        """All that are there, suspects among them, by number."""
        return sorted((row for row in self.rows.values() if not row.gone), key=lambda row: row.number)

    # What others say

    def _merge(self, row: Row) -> None:
        known = self.rows.get(row.number)
        if row.number == self.own.number:
            self._of_own(row)
        elif known is None and row.gone:
            pass  # the dead of long ago are not brought back by those that remember them longer
        elif known is None or row.rank > known.rank:
            if row.state == SUSPECT:
                self._suspect(row, row.number)  # a row does not say who suspects it
            else:
                self._set(row)

    def _hear(self, claim: Claim) -> None:
        known = self.rows.get(claim.number)
        if claim.number == self.own.number:
            self._of_own(claim)
            return
        if known is None or claim.life != known.life:
            return  # a row must come first: a claim has no address
        if (claim.life, claim.turn, claim.state) > known.rank:
            row = msgspec.structs.replace(known, turn=claim.turn, state=claim.state)
            if claim.state == SUSPECT:
                self._suspect(row, claim.by)
            else:
                self._set(row, claim.by)
        elif claim.state == SUSPECT == known.state and claim.turn == known.turn:
            suspicion = self._suspicions.get(claim.number)
            if suspicion is not None and claim.by not in suspicion.by and len(suspicion.by) <= ENOUGH:
                suspicion.by[claim.by] = None
                self._tell(claim)  # news: one more that can't reach it

    def _of_own(self, told: Row | Claim) -> None:
        """What others say of this member. Rule 2: only it raises its own turn."""
        if told.life > self.own.life:
            self._replaced(told if isinstance(told, Row) else msgspec.structs.replace(self.own, life=told.life))
        elif told.life == self.own.life and told.state != ALIVE and told.turn >= self.own.turn:
            if self.own.state == LEFT:
                return
            self.own = msgspec.structs.replace(self.own, turn=told.turn + 1, state=ALIVE)
            self._set(self.own)
            self.counts.refuted += 1
            self._feel(1)  # Lifeguard 3.1: one that must defend itself may be the slow one

    def _replaced(self, later: Row) -> None:
        self.over = later
        self.changes.append(Change(self.own, later))

    def _set(self, row: Row, by: int | None = None) -> None:
        before = self.rows.get(row.number)
        if before is not None and not before.gone:
            self._digest ^= hashed(before)
        if not row.gone:
            self._digest ^= hashed(row)
        self.rows[row.number] = row
        self._changed = self.now
        if row.state != SUSPECT:
            self._suspicions.pop(row.number, None)
        if row.number != self.own.number:
            self._place(row)
        if before is None or (before.life, before.state) != (row.life, row.state):
            self.changes.append(Change(before, row))
        known = before is not None and before.life == row.life  # a claim is shorter, but says no address
        by = self.own.number if by is None else by
        claim = Claim(row.number, row.life, row.turn, row.state, by)
        self._tell(claim if known and row.state != ALIVE else row)

    def _place(self, row: Row) -> None:
        """Keeps the members that are there in a list, for draws in constant time."""
        place = self._places.get(row.number)
        if row.gone:
            self._gone.setdefault(row.number, self.now)
            if place is not None:
                last = self._members.pop()
                if last != row.number:
                    self._members[place], self._places[last] = last, place
                del self._places[row.number]
        else:
            self._gone.pop(row.number, None)
            self._kept.pop(row.number, None)
            if place is None:
                self._places[row.number] = len(self._members)
                self._members.append(row.number)
                # SWIM 4.3: a new member comes in at a random place of the round.
                self._ring.insert(self._rng.randrange(len(self._ring) + 1), row.number)

    def _suspect(self, row: Row, by: int) -> None:
        self._set(row, by)
        self._suspicions[row.number] = Suspicion(self.now, {by: None}, by == self.own.number)

    def _forget(self) -> None:
        """Drops rows of long ago. Some addresses of the dead stay longer: of a region that is only cut off
        nobody here may know another."""
        for number, at in list(self._gone.items()):
            if self.now - at < self._tempo.forget:
                break  # those that went first stand first
            if self.rows[number].state == DEAD:
                self._keep(number)
            del self._gone[number], self.rows[number]
            self._rumors.pop(number, None)
        for number, (_, until) in list(self._kept.items()):
            if self.now < until:
                break
            del self._kept[number]

    def _keep(self, number: int) -> None:
        """Bounded; which one goes is drawn, so that the few that die late don't drive out a whole region."""
        if len(self._kept) >= KEPT:
            del self._kept[self._rng.choice(list(self._kept))]
        self._kept[number] = self._address(number), self.now + CALLED * self._tempo.forget

    # Letters

    def _address(self, number: int) -> Address:
        row = self.rows[number]
        return self.addresses.get(number, (row.host, row.port))

    def _send(self, to: Address, letter: AnyLetter, first: Iterable[Row | Claim] = ()) -> None:
        """Sends it with what must be in it, and rumors as there is room."""
        forced = list(first)
        numbers = {rumor.number for rumor in forced}
        rumors = [rumor for rumor in self._fresh() if rumor.what.number not in numbers]
        text, taken = write(letter, [*forced, *(rumor.what for rumor in rumors)])
        limit = 4 * ceil(log10(len(self.rows) + 1) + 1e-9)
        for rumor in rumors[: max(0, len(taken) - len(forced))]:
            rumor.told += 1
            if rumor.told >= limit:
                self._rumors.pop(rumor.what.number, None)
        self.counts.sent += 1
        self.counts.bytes += len(text)
        self.outbox.append((to, text))

    def _fresh(self) -> list[Rumor]:
        """The rumors told least, a few more than a letter holds."""
        return sorted(self._rumors.values(), key=lambda rumor: rumor.told)[:12]

    def _tell(self, what: Row | Claim) -> None:
        self._rumors.pop(what.number, None)
        self._rumors[what.number] = Rumor(what)

    def _head(self) -> tuple[int, int, int, list[Row], list[Claim]]:
        return self.own.number, self.own.life, self._digest, [], []

    def _ill(self, number: int) -> list[Row | Claim]:
        """What is held against a member, for itself to hear first (Lifeguard 3.3, the buddy system)."""
        row = self.rows.get(number)
        if row is None or row.state == ALIVE:
            return []
        return [Claim(number, row.life, row.turn, row.state, self.own.number)]

    def _ping(self, number: int, seq: int) -> None:
        row = self.rows[number]
        self._send(self._address(number), Ping(*self._head(), seq, number, row.life), self._ill(number))

    def _next(self) -> int:
        self._seq = (self._seq + 1) & 0xFFFFFFFF
        return self._seq

    def _draw(self, many: int, but: int = -1) -> list[int]:
        drawn = self._rng.sample(self._members, min(len(self._members), many + 1))
        return [number for number in drawn if number != but][:many]

    # Local health

    def _feel(self, step: int) -> None:
        self.health = min(WORST, max(0, self.health + step))

    def _span(self) -> Ticks:
        return self._tempo.period * (1 + self.health)
