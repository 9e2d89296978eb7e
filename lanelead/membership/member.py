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
gossip has beats of its own; digests in each letter show what gossip has missed; the dead, seeds that are not
there and, long after they are forgotten, some of the dead's addresses are asked now and then, so that circles
that were cut apart find each other.
"""

from __future__ import annotations

from math import log

import msgspec

from lanelead.decisions.interface import Ticks
from lanelead.membership.anti_entropy import Tables
from lanelead.membership.member_state import BEATS, ENOUGH, FAN, HELPERS, Address, Change, Probing, Suspicion, Tempo
from lanelead.membership.messages import (
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
)

__all__ = ["Address", "Change", "Membership", "Tempo"]


class Membership(Tables):
    """A member: what the host tells it, its answers, and the detector."""

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

    # Answers

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

    # The detector

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
                self._rng.shuffle(self._ring)
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
        self._forget()

    def _gossip(self) -> None:
        if self._rumors:
            for number in self._draw(FAN):
                if not self._rumors:
                    break
                self._send(self._address(number), Gossip(*self._head()))
