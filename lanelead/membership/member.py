"""Which relays are there: SWIM's failure detector with suspicion and incarnations, and Lifeguard's local health.

Without sockets and clocks: messages and times in, messages and changes out. The same object runs in a relay, in virtual
time and in the checker. Invariants, whatever is lost, duplicated, delayed or out of order:

1. What is known of a member never goes back: of two records the one of the higher (start, incarnation, state) holds.
2. Only a member itself raises its start or its incarnation, and takes neither from another's report.
3. No two processes of one number count as two; the earlier one stops sending when it receives a record of the later.
4. Nobody is found dead here who was not suspected here for the least timeout, and pinged in vain before its end.
   What another member found is taken from it, and is undone by the dead member's own message.
5. A member that left stays gone for that process.

Sources: Das, Gupta, Motivala (SWIM, DSN 2002), sections 3 and 4; Dadgar, Phillips, Currey (Lifeguard, DSN-W 2018),
section 3. Departures: a ping is repeated within its period, and a suspect is pinged again in each round; gossip has
rounds of its own; digests in each message show what gossip has missed; the dead, seeds that are not there and, long
after their records are dropped, some of the dead's addresses are pinged now and then, so that groups that were cut
apart find each other.
"""

from __future__ import annotations

from math import log

import msgspec

from lanelead.decisions.interface import Ticks
from lanelead.membership.anti_entropy import AntiEntropy
from lanelead.membership.member_state import (
    GOSSIP_FANOUT,
    INDIRECT_PROBES,
    MAX_RELAYED_PROBES,
    ROUNDS_PER_PERIOD,
    SUSPICION_CONFIRMATIONS,
    Address,
    Probe,
    ProbeRequester,
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
    Nack,
    Ping,
    PingRequest,
    TablePage,
    TableRequest,
    Update,
    decode_message,
)


class Membership(AntiEntropy):
    """A member: what its host calls, its answers to others, and the failure detector."""

    # What the host calls

    def receive(self, payload: bytes, source: Address, now: Ticks) -> None:
        """Takes a message; one that can't be decoded is counted."""
        self.now = now
        message = decode_message(payload)
        if message is None:
            self.counters.undecodable += 1
            return
        if self.replaced_by is not None:
            return
        if isinstance(message, TableRequest) and message.observer:
            self._send_table(message, source)
            return
        if message.sender == self.own.number:
            if message.started_at_ms > self.own.started_at_ms:
                self._mark_replaced(msgspec.structs.replace(self.own, started_at_ms=message.started_at_ms))
            return
        known = self.records.get(message.sender)
        if known is not None and known.started_at_ms > message.started_at_ms:
            # An earlier process that still sends: it is notified that it is replaced, and its messages are ignored.
            self._send(source, Gossip(*self._header()), [known])
            return
        self._receive_from_member(message, source)

    def _receive_from_member(self, message: AnyMessage, source: Address) -> None:
        for record in message.records:
            self._merge_record(record)
        for claim in message.claims:
            self._merge_claim(claim)
        if self.replaced_by is not None:
            return
        sender_known = message.sender in self.records
        self._reply(message, source, sender_known)
        if not sender_known or message.digest != self._digest:
            self._handle_digest_mismatch(source, not sender_known)

    def tick(self, now: Ticks) -> None:
        """Does a round if it is due. A late call means that the host itself is slow: that lowers its local health."""
        self.now = now
        if self.replaced_by is not None:
            self._next_round_at = now + self._timings.period
            return
        if now < self._next_round_at:
            return
        delay = now - self._next_round_at
        round_time = self._probe_period() // ROUNDS_PER_PERIOD
        if delay > self._timings.period:
            self._handle_stall(delay)
        next_round_at = self._next_round_at + round_time if delay < round_time else now + round_time
        self._next_round_at = max(now + 1, next_round_at)
        if self._round % ROUNDS_PER_PERIOD == 0:
            self._start_period()
        else:
            self._repeat_probe()
        self._round += 1
        self._expire_relayed_probes()
        self._expire_suspicions()
        self._drop_departed()
        self._send_gossip()
        self._synchronize()

    def leave(self, now: Ticks) -> None:
        """Notifies some members that this one leaves."""
        self.now = now
        self.own = msgspec.structs.replace(self.own, incarnation=self.own.incarnation + 1, state=LEFT)
        self._store_record(self.own)
        for number in self._sample_peers(2 * GOSSIP_FANOUT):
            self._send(self._address_of(number), Gossip(*self._header()), [self._claim(self.own, self.own.number)])

    # Answers

    def _reply(self, message: AnyMessage, source: Address, sender_known: bool) -> None:
        match message:
            case Ping():
                self._acknowledge(message, source, sender_known)
            case Ack():
                self._handle_ack(message)
            case Nack():
                if self._probe is not None and self._probe.sequence_number == message.sequence_number:
                    self._probe.nacks += 1
            case PingRequest():
                self._relay_probe(message)
            case TableRequest():
                self._send_table(message, source)
            case TablePage():
                self._handle_page(message)
            case _:
                pass

    def _acknowledge(self, ping: Ping, source: Address, sender_known: bool) -> None:
        """Answers a ping, with this member's record if the sender may not know it, or knows another process."""
        knows_this_process = ping.target == self.own.number and ping.target_started_at_ms == self.own.started_at_ms
        own_record: list[Update] = [] if knows_this_process and sender_known and not ping.claims else [self.own]
        ack = Ack(*self._header(), ping.sequence_number)
        self._send(source, ack, [*own_record, *self._claims_against(ping.sender)])

    def _relay_probe(self, request: PingRequest) -> None:
        if request.target not in self.records or request.target == self.own.number:
            return
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return
        sequence_number = self._next_sequence_number()
        expires_at = self.now + self._timings.period // ROUNDS_PER_PERIOD
        requester = ProbeRequester(request.sender, request.sequence_number)
        self._relayed_probes[sequence_number] = Probe(sequence_number, request.target, expires_at, requester)
        self._send_ping(request.target, sequence_number)

    def _handle_ack(self, ack: Ack) -> None:
        relayed = self._relayed_probes.pop(ack.sequence_number, None)
        if relayed is not None and relayed.requester is not None:
            requester = relayed.requester
            if requester.number in self.records:
                target = self.records.get(relayed.target)
                required = [target] if target is not None and not target.has_departed else []
                forwarded = Ack(*self._header(), requester.sequence_number)
                self._send(self._address_of(requester.number), forwarded, required)
            return
        probe = self._probe
        if probe is not None and ack.sequence_number == probe.sequence_number and not probe.acknowledged:
            probe.acknowledged = True
            self._adjust_local_health(-1)

    # The failure detector

    def _start_period(self) -> None:
        last = self._probe
        if last is not None and not last.acknowledged and last.target in self.records:
            self._handle_failed_probe(last)
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

    def _handle_failed_probe(self, probe: Probe) -> None:
        record = self.records[probe.target]
        missing_nacks = probe.helpers_asked - probe.nacks
        # Lifeguard 3.1: helpers that don't answer either point at this member's own link.
        self._adjust_local_health(1 if missing_nacks > 0 or not probe.helpers_asked else 0)
        if record.state == ALIVE:
            self.counters.suspicions += 1
            self._start_suspicion(msgspec.structs.replace(record, state=SUSPECT), self.own.number)
        elif record.state == SUSPECT:
            suspicion = self._suspicions.get(probe.target)
            if suspicion is not None:
                suspicion.probed = True
                self._confirm_suspicion(suspicion, self._claim(record, self.own.number))

    def _repeat_probe(self) -> None:
        probe = self._probe
        if probe is None or probe.acknowledged or probe.target not in self._peer_positions:
            return
        self._send_ping(probe.target, probe.sequence_number)
        for helper in self._sample_peers(INDIRECT_PROBES, probe.target):
            probe.helpers_asked += 1
            self._send(self._address_of(helper), PingRequest(*self._header(), probe.sequence_number, probe.target))

    def _handle_stall(self, delay: Ticks) -> None:
        """After a stall of this process, answers may lie unread: no member is suspected for that."""
        self._adjust_local_health(1)
        if self._probe is not None:
            self._probe = None
            self._round = 0
        for suspicion in self._suspicions.values():
            suspicion.since += delay

    def _suspicion_timeout(self, suspicion: Suspicion) -> Ticks:
        """Lifeguard 3.2: twice the least while only one member suspects, down to the least as others do."""
        least = self._timings.min_suspicion_time(len(self._peers) + 1) * (1 + self.local_health)
        share = log(min(len(suspicion.reporters), SUSPICION_CONFIRMATIONS + 1)) / log(SUSPICION_CONFIRMATIONS + 1)
        return int(least * (2 - share))

    def _probes_suspect(self, suspicion: Suspicion, waited: Ticks, timeout: Ticks) -> bool:
        """Returns whether this member pings a suspect itself: after a quarter of the timeout all that suspect it do.

        Else one that gossip passed by would find it dead by others' reports alone.
        """
        suspicion.probed |= waited >= timeout // 4
        return suspicion.probed

    def _expire_relayed_probes(self) -> None:
        expired = [number for number, probe in self._relayed_probes.items() if probe.expires_at <= self.now]
        for sequence_number in expired:
            requester = self._relayed_probes.pop(sequence_number).requester
            if requester is not None and requester.number in self.records:
                nack = Nack(*self._header(), requester.sequence_number)
                self._send(self._address_of(requester.number), nack)

    def _expire_suspicions(self) -> None:
        for number, suspicion in list(self._suspicions.items()):
            waited = self.now - suspicion.since
            timeout = self._suspicion_timeout(suspicion)
            if waited >= timeout:
                record = self.records[number]
                self._store_record(msgspec.structs.replace(record, state=DEAD), self.own.number)
            elif self._probes_suspect(suspicion, waited, timeout):
                self._send_ping(number, self._next_sequence_number())

    def _send_gossip(self) -> None:
        if not self._pending_updates:
            return
        for number in self._sample_peers(GOSSIP_FANOUT):
            if not self._pending_updates:
                break
            self._send(self._address_of(number), Gossip(*self._header()))
