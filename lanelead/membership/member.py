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
from lanelead.membership.anti_entropy import AntiEntropy
from lanelead.membership.member_state import (
    GOSSIP_FANOUT,
    INDIRECT_PROBES,
    ROUNDS_PER_PERIOD,
    SUSPICION_CONFIRMATIONS,
    Address,
    Probe,
    Suspicion,
)
from lanelead.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Ack,
    AnyMessage,
    Gossip,
    MemberRecord,
    Nack,
    Ping,
    PingRequest,
    StateClaim,
    TablePage,
    TableRequest,
    decode_message,
)


class Membership(AntiEntropy):
    """A member: what the host tells it, its answers, and the detector."""

    # What the host tells

    def receive(self, text: bytes, source: Address, now: Ticks) -> None:
        self.now = now
        letter = decode_message(text)
        if letter is None:
            self.counters.undecodable += 1
            return
        if self.replaced_by is not None:
            return
        guest = isinstance(letter, TableRequest) and letter.observer
        if not guest and letter.sender == self.own.number:
            if letter.started_at_ms > self.own.started_at_ms:
                self._mark_replaced(msgspec.structs.replace(self.own, started_at_ms=letter.started_at_ms))
            return
        known = self.records.get(letter.sender)
        if not guest and known is not None and known.started_at_ms > letter.started_at_ms:
            # An earlier life that still speaks: it's told that it is over, and nothing it says counts.
            self._send(source, Gossip(*self._header()), [known])
            return
        for row in () if guest else letter.records:
            self._merge_record(row)
        for claim in () if guest else letter.claims:
            self._merge_claim(claim)
        if self.replaced_by is not None:
            return
        known = self.records.get(letter.sender)
        self._reply(letter, source, known)
        if not guest and (known is None or letter.digest != self._digest):
            self._handle_digest_mismatch(source, known is None)

    def tick(self, now: Ticks) -> None:
        """Work that is due. A host that comes late is slow itself: it counts against its own health."""
        self.now = now
        if self.replaced_by is not None:
            self._next_round_at = now + self._timings.period
            return
        if now < self._next_round_at:
            return
        late = now - self._next_round_at
        span = self._probe_period() // ROUNDS_PER_PERIOD
        if late > self._timings.period:
            self._adjust_local_health(1)
            # It was stopped or starved: what it waited for may lie unread. Nobody is blamed for that.
            if self._probe is not None:
                self._probe = None
                self._round = 0
            for suspicion in self._suspicions.values():
                suspicion.since = max(suspicion.since + late, suspicion.since)
        self._next_round_at = max(now + 1, self._next_round_at + span if late < span else now + span)
        if self._round % ROUNDS_PER_PERIOD == 0:
            self._start_period()
        else:
            self._repeat_probe()
        self._round += 1
        self._expire_suspicions()
        self._send_gossip()
        self._synchronize()

    def leave(self, now: Ticks) -> None:
        """Tells some members that this one goes of its own will."""
        self.now = now
        self.own = msgspec.structs.replace(self.own, incarnation=self.own.incarnation + 1, state=LEFT)
        self._store_record(self.own)
        for number in self._sample_peers(2 * GOSSIP_FANOUT):
            self._send(
                self._address_of(number),
                Gossip(*self._header()),
                [StateClaim(self.own.number, self.own.started_at_ms, self.own.incarnation, LEFT, self.own.number)],
            )

    # Answers

    def _reply(self, letter: AnyMessage, source: Address, known: MemberRecord | None) -> None:
        sender = letter.sender
        match letter:
            case Ping():
                # The row goes along where the other may not know it, or knows another life.
                same = (letter.target, letter.target_started_at_ms) == (self.own.number, self.own.started_at_ms)
                mine: list[MemberRecord | StateClaim] = [] if same and known and not letter.claims else [self.own]
                self._send(source, Ack(*self._header(), letter.sequence_number), [*mine, *self._claims_against(sender)])
            case Ack():
                self._handle_ack(letter)
            case Nack():
                if self._probe is not None and self._probe.sequence_number == letter.sequence_number:
                    self._probe.nacks += 1
            case PingRequest() if letter.target in self.records and letter.target != self.own.number:
                if len(self._relayed_probes) < 64:  # bounded: a flood of asks costs pings, not memory
                    seq = self._next_sequence_number()
                    until = self.now + self._timings.period // ROUNDS_PER_PERIOD
                    self._relayed_probes[seq] = Probe(seq, letter.target, until, (sender, letter.sequence_number))
                    self._send_ping(letter.target, seq)
            case TableRequest():
                self._send_table(letter, source)
            case TablePage():
                self._handle_page(letter, source)
            case _:
                pass

    def _handle_ack(self, ack: Ack) -> None:
        if (helped := self._relayed_probes.pop(ack.sequence_number, None)) is not None and helped.requester is not None:
            asker, seq = helped.requester
            if asker in self.records:
                subject = self.records.get(helped.target)
                forced = [subject] if subject is not None and not subject.gone else []
                self._send(self._address_of(asker), Ack(*self._header(), seq), forced)
            return
        probing = self._probe
        if probing is not None and ack.sequence_number == probing.sequence_number and not probing.acknowledged:
            probing.acknowledged = True
            self._adjust_local_health(-1)

    # The detector

    def _start_period(self) -> None:
        last = self._probe
        if last is not None and not last.acknowledged and last.target in self.records:
            row = self.records[last.target]
            missed = last.helpers_asked - last.nacks
            # Lifeguard 3.1: helpers that say nothing either point at this member's own line.
            self._adjust_local_health(1 if missed > 0 or not last.helpers_asked else 0)
            if row.state == ALIVE:
                self.counters.suspicions += 1
                self._start_suspicion(msgspec.structs.replace(row, state=SUSPECT), self.own.number)
            elif row.state == SUSPECT and (suspicion := self._suspicions.get(last.target)) is not None:
                suspicion.probed = True
                if self.own.number not in suspicion.reporters and len(suspicion.reporters) <= SUSPICION_CONFIRMATIONS:
                    suspicion.reporters[self.own.number] = None
                    self._disseminate(
                        StateClaim(row.number, row.started_at_ms, row.incarnation, SUSPECT, self.own.number)
                    )
        self._probe = None
        while self._probe_order or self._peers:
            if not self._probe_order:
                self._probe_order = self._peers.copy()
                self._rng.shuffle(self._probe_order)
            number = self._probe_order.pop()
            if number in self._peer_positions:
                self._probe = Probe(self._next_sequence_number(), number, self.now + self._probe_period())
                self._send_ping(number, self._probe.sequence_number)
                break

    def _repeat_probe(self) -> None:
        probing = self._probe
        if probing is None or probing.acknowledged or probing.target not in self._peer_positions:
            return
        self._send_ping(probing.target, probing.sequence_number)
        for helper in self._sample_peers(INDIRECT_PROBES, probing.target):
            probing.helpers_asked += 1
            self._send(self._address_of(helper), PingRequest(*self._header(), probing.sequence_number, probing.target))

    def _suspicion_timeout(self, suspicion: Suspicion) -> Ticks:
        """Lifeguard 3.2: long while only one suspects, down to the least as others do."""
        least = self._timings.min_suspicion_time(len(self._peers) + 1) * (1 + self.local_health)
        share = log(min(len(suspicion.reporters), SUSPICION_CONFIRMATIONS + 1)) / log(SUSPICION_CONFIRMATIONS + 1)
        return int(least * (2 - share))

    def _probes_suspect(self, suspicion: Suspicion, waited: Ticks, wait: Ticks) -> bool:
        """One that gossip passed by would believe hearsay: soon all that suspect a member ask it."""
        suspicion.probed |= waited >= wait // 4
        return suspicion.probed

    def _expire_suspicions(self) -> None:
        for seq in [seq for seq, helped in self._relayed_probes.items() if helped.expires_at <= self.now]:
            helped = self._relayed_probes.pop(seq)
            if helped.requester is not None and helped.requester[0] in self.records:
                self._send(self._address_of(helped.requester[0]), Nack(*self._header(), helped.requester[1]))
        for number, suspicion in list(self._suspicions.items()):
            row = self.records[number]
            waited, wait = self.now - suspicion.since, self._suspicion_timeout(suspicion)
            if waited >= wait:
                self._store_record(msgspec.structs.replace(row, state=DEAD), self.own.number)
            elif self._probes_suspect(suspicion, waited, wait):
                self._send_ping(number, self._next_sequence_number())
        self._drop_departed()

    def _send_gossip(self) -> None:
        if self._pending_updates:
            for number in self._sample_peers(GOSSIP_FANOUT):
                if not self._pending_updates:
                    break
                self._send(self._address_of(number), Gossip(*self._header()))
