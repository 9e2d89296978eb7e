"""Who is there: SWIM's failure detector with suspicion and incarnations, and Lifeguard's local health.

Without sockets and clocks: letters and times in, letters and changes out. The same object runs in a relay, in
virtual time and in the checker. What it keeps, whatever is lost, doubled, delayed or out of order:

1. What is known of a member never goes back: of two rows the one of the higher (life, turn, state) holds.
2. Only a member itself raises its life or its turn, and none of its own is ever taken from another's word.
3. No two lives of one number count as two; the earlier one falls silent when it hears of the later.
4. Nobody is found dead here who was not suspected here for the least wait, and asked in vain before its end.
   What another found is taken from it, and is undone by the dead one's own word.
5. Who left stays gone in that life.

Sources: Das, Gupta, Motivala (SWIM, DSN 2002), sections 3 and 4; Dadgar, Phillips, Currey (Lifeguard, DSN-W
2018), section 3. Departures: a ping is repeated within its period, and a suspect is asked again at each beat;
gossip has beats of its own; digests in each letter show what gossip has missed; the dead are asked now and
then, so that circles that were cut apart find each other.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from math import ceil, log, log2, log10
from random import Random
from struct import Struct
from typing import NamedTuple

import msgspec

from lanelead.circle.letters import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Ack,
    AnyLetter,
    Ask,
    Claim,
    Gossip,
    Join,
    Nack,
    Ping,
    Row,
    Table,
    read,
    write,
)
from lanelead.decisions.interface import Ticks

HASHED = Struct(">HQI")
BEATS = 3  # in a period: a ping is sent at each of them until it is answered
HELPERS = 3  # that are asked to ping in a member's place, at each beat but the first
FAN = 3  # members that are told rumors at a beat
WORST = 8  # of local health: periods are at most one and so many times as long
ENOUGH = 3  # others that suspect the same, with whom the least wait is enough
PAGES = 8  # letters that answer one call for the table
UNHEARD = 20  # periods between calls on one that is dead, and the digest's age that a member goes by
Address = tuple[str, int]


@dataclass(frozen=True)
class Tempo:
    """`period`: of the failure detector; `forget`: how long the dead are remembered. Both in ticks."""

    period: Ticks
    forget: Ticks

    def least(self, members: int) -> Ticks:
        """The least wait of a suspicion: so many beats as gossip needs to reach all, and back."""
        return int((6 + 2 * log2(members + 1) / log2(FAN + 1)) * self.period / BEATS)


class Change(NamedTuple):
    """What became of a member: its row before (None for one first heard of) and now."""

    before: Row | None
    now: Row


@dataclass(slots=True)
class Suspicion:
    since: Ticks
    by: dict[int, None]
    asked: bool  # whether this member itself asks the suspect


@dataclass(slots=True)
class Probing:
    """The ping of this period, or one sent in another's place."""

    seq: int
    to: int
    until: Ticks
    asker: tuple[int, int] | None = None  # whose, and its number there
    nacks: int = 0
    helpers: int = 0
    done: bool = False


@dataclass(slots=True)
class Counts:
    sent: int = 0
    bytes: int = 0
    unread: int = 0
    suspected: int = 0
    refuted: int = 0
    syncs: int = 0


@dataclass(slots=True)
class Rumor:
    what: Row | Claim
    told: int = 0


def hashed(row: Row) -> int:
    return zlib.crc32(HASHED.pack(row.number, row.life, row.turn))


class Membership:
    """One member's view. `outbox` fills with (address, letter), `changes` with what became of members."""

    def __init__(
        self, own: Row, tempo: Tempo, seeds: Sequence[Address], chance: Random, now: Ticks,
        known: Sequence[Row] = (),
    ) -> None:  # fmt: skip
        self.own, self._tempo, self._chance, self.now = own, tempo, chance, now
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
        self._ring: list[int] = []
        self._probing: Probing | None = None
        self._helping: dict[int, Probing] = {}
        self._seq = chance.randrange(1 << 31)
        self._beat_at = now + int(chance.random() * tempo.period / BEATS)
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

    # What others may ask

    @property
    def joined(self) -> bool:
        return self._met or not self._seeds

    def due(self) -> Ticks:
        return self._beat_at

    def present(self) -> list[Row]:
        """All that are there, suspects among them, by number."""
        return sorted((row for row in self.rows.values() if not row.gone), key=lambda row: row.number)

    # What the host tells

    def receive(self, text: bytes, source: Address, now: Ticks) -> None:
        self.now = now
        letter = read(text)
        if letter is None:
            self.counts.unread += 1
            return
        if self.over is not None:
            return
        guest = isinstance(letter, Join) and letter.guest
        if not guest and letter.sender == self.own.number:
            if letter.life > self.own.life:
                self._replaced(msgspec.structs.replace(self.own, life=letter.life))
            return
        known = self.rows.get(letter.sender)
        if not guest and known is not None and known.life > letter.life:
            # An earlier life that still speaks: it's told that it is over, and nothing it says counts.
            self._send(source, Gossip(*self._head()), [known])
            return
        for row in () if guest else letter.rows:
            self._merge(row)
        for claim in () if guest else letter.claims:
            self._hear(claim)
        if self.over is not None:
            return
        known = self.rows.get(letter.sender)
        self._answer(letter, source, known)
        if not guest and (known is None or letter.digest != self._digest):
            self._differs(source, known is None)

    def tick(self, now: Ticks) -> None:
        """Work that is due. A host that comes late is slow itself: it counts against its own health."""
        self.now = now
        if self.over is not None:
            self._beat_at = now + self._tempo.period
            return
        if now < self._beat_at:
            return
        late = now - self._beat_at
        span = self._span() // BEATS
        if late > self._tempo.period:
            self._feel(1)
            # It was stopped or starved: what it waited for may lie unread. Nobody is blamed for that.
            if self._probing is not None:
                self._probing = None
                self._beat = 0
            for suspicion in self._suspicions.values():
                suspicion.since = max(suspicion.since + late, suspicion.since)
        self._beat_at = max(now + 1, self._beat_at + span if late < span else now + span)
        if self._beat % BEATS == 0:
            self._period()
        else:
            self._again()
        self._beat += 1
        self._expire()
        self._gossip()
        self._seek()

    def leave(self, now: Ticks) -> None:
        """Tells some members that this one goes of its own will."""
        self.now = now
        self.own = msgspec.structs.replace(self.own, turn=self.own.turn + 1, state=LEFT)
        self._set(self.own)
        for number in self._draw(2 * FAN):
            self._send(
                self._address(number),
                Gossip(*self._head()),
                [Claim(self.own.number, self.own.life, self.own.turn, LEFT, self.own.number)],
            )

    # Rows

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
            self._replaced(
                told if isinstance(told, Row) else msgspec.structs.replace(self.own, life=told.life)
            )
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
            if place is None:
                self._places[row.number] = len(self._members)
                self._members.append(row.number)
                # SWIM 4.3: a new member comes in at a random place of the round.
                self._ring.insert(self._chance.randrange(len(self._ring) + 1), row.number)

    def _suspect(self, row: Row, by: int) -> None:
        self._set(row, by)
        self._suspicions[row.number] = Suspicion(self.now, {by: None}, by == self.own.number)

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

    def _answer(self, letter: AnyLetter, source: Address, known: Row | None) -> None:
        sender = letter.sender
        match letter:
            case Ping():
                # The row goes along where the other may not know it, or knows another life.
                same = (letter.to, letter.to_life) == (self.own.number, self.own.life)
                mine: list[Row | Claim] = [] if same and known and not letter.claims else [self.own]
                self._send(source, Ack(*self._head(), letter.seq), [*mine, *self._ill(sender)])
            case Ack():
                self._answered(letter)
            case Nack():
                if self._probing is not None and self._probing.seq == letter.seq:
                    self._probing.nacks += 1
            case Ask() if letter.to in self.rows and letter.to != self.own.number:
                if len(self._helping) < 64:  # bounded: a flood of asks costs pings, not memory
                    seq = self._next()
                    until = self.now + self._tempo.period // BEATS
                    self._helping[seq] = Probing(seq, letter.to, until, (sender, letter.seq))
                    self._ping(letter.to, seq)
            case Join():
                self._show(letter, source)
            case Table():
                self._page(letter, source)
            case _:
                pass

    def _answered(self, ack: Ack) -> None:
        if (helped := self._helping.pop(ack.seq, None)) is not None and helped.asker is not None:
            asker, seq = helped.asker
            if asker in self.rows:
                subject = self.rows.get(helped.to)
                forced = [subject] if subject is not None and not subject.gone else []
                self._send(self._address(asker), Ack(*self._head(), seq), forced)
            return
        probing = self._probing
        if probing is not None and ack.seq == probing.seq and not probing.done:
            probing.done = True
            self._feel(-1)

    def _ping(self, number: int, seq: int) -> None:
        row = self.rows[number]
        self._send(self._address(number), Ping(*self._head(), seq, number, row.life), self._ill(number))

    def _next(self) -> int:
        self._seq = (self._seq + 1) & 0xFFFFFFFF
        return self._seq

    # The detector

    def _feel(self, step: int) -> None:
        self.health = min(WORST, max(0, self.health + step))

    def _span(self) -> Ticks:
        return self._tempo.period * (1 + self.health)

    def _draw(self, many: int, but: int = -1) -> list[int]:
        drawn = self._chance.sample(self._members, min(len(self._members), many + 1))
        return [number for number in drawn if number != but][:many]

    def _period(self) -> None:
        last = self._probing
        if last is not None and not last.done and last.to in self.rows:
            row = self.rows[last.to]
            missed = last.helpers - last.nacks
            # Lifeguard 3.1: helpers that say nothing either point at this member's own line.
            self._feel(1 if missed > 0 or not last.helpers else 0)
            if row.state == ALIVE:
                self.counts.suspected += 1
                self._suspect(msgspec.structs.replace(row, state=SUSPECT), self.own.number)
            elif row.state == SUSPECT and (suspicion := self._suspicions.get(last.to)) is not None:
                suspicion.asked = True
                if self.own.number not in suspicion.by and len(suspicion.by) <= ENOUGH:
                    suspicion.by[self.own.number] = None
                    self._tell(Claim(row.number, row.life, row.turn, SUSPECT, self.own.number))
        self._probing = None
        while self._ring or self._members:
            if not self._ring:
                self._ring = self._members.copy()
                self._chance.shuffle(self._ring)
            number = self._ring.pop()
            if number in self._places:
                self._probing = Probing(self._next(), number, self.now + self._span())
                self._ping(number, self._probing.seq)
                break

    def _again(self) -> None:
        probing = self._probing
        if probing is None or probing.done or probing.to not in self._places:
            return
        self._ping(probing.to, probing.seq)
        for helper in self._draw(HELPERS, probing.to):
            probing.helpers += 1
            self._send(self._address(helper), Ask(*self._head(), probing.seq, probing.to))

    def _wait(self, suspicion: Suspicion) -> Ticks:
        """Lifeguard 3.2: long while only one suspects, down to the least as others do."""
        least = self._tempo.least(len(self._members) + 1) * (1 + self.health)
        share = log(min(len(suspicion.by), ENOUGH + 1)) / log(ENOUGH + 1)
        return int(least * (2 - share))

    def _asks(self, suspicion: Suspicion, waited: Ticks, wait: Ticks) -> bool:
        """One that gossip passed by would believe hearsay: soon all that suspect a member ask it."""
        suspicion.asked |= waited >= wait // 4
        return suspicion.asked

    def _expire(self) -> None:
        for seq in [seq for seq, helped in self._helping.items() if helped.until <= self.now]:
            helped = self._helping.pop(seq)
            if helped.asker is not None and helped.asker[0] in self.rows:
                self._send(self._address(helped.asker[0]), Nack(*self._head(), helped.asker[1]))
        for number, suspicion in list(self._suspicions.items()):
            row = self.rows[number]
            waited, wait = self.now - suspicion.since, self._wait(suspicion)
            if waited >= wait:
                self._set(msgspec.structs.replace(row, state=DEAD), self.own.number)
            elif self._asks(suspicion, waited, wait):
                self._ping(number, self._next())
        for number, at in list(self._gone.items()):
            if self.now - at < self._tempo.forget:
                break  # those that went first stand first
            del self._gone[number], self.rows[number]
            self._rumors.pop(number, None)

    def _gossip(self) -> None:
        if self._rumors:
            for number in self._draw(FAN):
                if not self._rumors:
                    break
                self._send(self._address(number), Gossip(*self._head()))

    # Those that have just come, or were cut off

    def _seek(self) -> None:
        if self._sync is not None:
            to, first, until, tries = self._sync
            if self.now >= until:
                self._sync = None
                if tries > 0:
                    self._call(to, first, tries - 1)
        if self._beat % BEATS:
            return
        if not self.joined and self._sync is None:
            self._call(self._chance.choice(self._seeds), 0, 0)
        elif self._chance.random() < 1 / UNHEARD:
            dead = [number for number in self._gone if self.rows[number].state == DEAD]
            if dead:
                self._ping(self._chance.choice(dead), self._next())
            elif self._seeds and not self._members:
                self._call(self._chance.choice(self._seeds), 0, 0)

    def _call(self, to: Address, first: int, tries: int) -> None:
        self._sync = to, first, self.now + self._span(), tries
        self.counts.syncs += 1
        self._send(to, Join(*self._head(), first, False), [self.own])

    def _differs(self, source: Address, unknown: bool) -> None:
        """The other takes others to be there: what gossip under way would tell is not asked for."""
        if self._sync is None and (unknown or self.now - self._changed > self._tempo.least(len(self.rows))):
            self._call(source, 0, 3)

    def _show(self, call: Join, source: Address) -> None:
        ordered = sorted(number for number in self.rows if number >= call.first)
        place = 0
        for page in range(PAGES):
            first = ordered[place] if place < len(ordered) else 65536
            rows = [self.rows[number] for number in ordered[place : place + 12]]
            letter = Table(*self._head(), call.first if page == 0 else first, 0, False)
            place += self._page_of(letter, rows, source, ordered, place, page)
            if place >= len(ordered):
                break

    def _page_of(
        self, letter: Table, rows: list[Row], source: Address, ordered: list[int], place: int, page: int
    ) -> int:
        sizing = Table(*self._head(), letter.first, 65536, True)
        taken = len(write(sizing, rows)[1])
        after = place + taken
        letter.then = ordered[after] if after < len(ordered) else 65536
        letter.more = page < PAGES - 1 and letter.then < 65536
        text, _ = write(letter, rows[:taken])
        self.counts.sent += 1
        self.counts.bytes += len(text)
        self.outbox.append((source, text))
        return taken

    def _page(self, table: Table, source: Address) -> None:
        self._met = True
        if self._sync is None:
            return
        to, first, _, _ = self._sync
        if table.first != first:
            return  # one before it was lost: asked for again when time is up
        if table.then >= 65536:
            self._sync = None
        elif table.more:
            self._sync = to, table.then, self.now + self._span(), 3
        else:
            self._call(to, table.then, 3)
