"""Failure detector for relays: SWIM with suspicion and incarnations, and Lifeguard's local health.

`Membership` uses no sockets and no clock: it is given messages and times, and it produces messages and membership
changes. So the same class runs in relays and, in virtual time, in the simulation and in checks.

A period consists of `ROUNDS_PER_PERIOD` rounds. The first round pings the next member; the other rounds repeat that
ping while it is unanswered, also through other members. Each message carries a digest of its sender's table, which
shows whether two tables differ. Local health is a number from 0, the best, upwards; it lengthens periods and timeouts.

These rules hold whatever is lost, duplicated, delayed or reordered, as long as the record of a member is kept:

1. The record of a member never regresses: of two records, the one with the higher (start, incarnation, state) wins.
2. Only a member itself raises its start or its incarnation. A report that it is suspect or dead makes it choose an
   incarnation above the reported one.
3. Two processes with the same number never count as two members; the earlier process stops sending as soon as it learns
   of the later one.
4. A member declares another dead only after it has itself suspected it for the minimum timeout, has pinged it, and has
   received no record that refutes the suspicion. A death that another member reports is accepted; a member that was
   wrongly declared dead refutes that with a higher incarnation.
5. A process that has left does not become a member again.

The record of a dead or departed member is dropped after the retention time. A delayed older record of it then counts as
that of a new member, until that member is declared dead again.

Sources: Das, Gupta, Motivala (SWIM, DSN 2002), sections 3 and 4; Dadgar, Phillips, Currey (Lifeguard, DSN-W 2018),
section 3. Differences from them:

- A ping is repeated within its period, and a suspect is pinged again in each round.
- Gossip is also sent on its own, in each round.
- Digests reveal what gossip has missed.
- A member occasionally pings dead members, seeds that are not present, and former addresses of dead members whose
  records were dropped. So groups find each other again after a partition.
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
    """One member: the methods that its host process calls, its replies to other members, and the failure detector."""

    # Called by the host process

    def receive(self, payload: bytes, source: Address, now: Ticks) -> None:
        """Handles a message. Counts those that can't be decoded, and ignores all once this process is replaced."""
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
            # The sender was replaced by a later process: send it that process's record, and ignore its message.
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
        self._dispatch(message, source, sender_known)
        if not sender_known or message.digest != self._digest:
            self._handle_digest_mismatch(source, not sender_known)

    def tick(self, now: Ticks) -> None:
        """Runs a round if one is due. A call late by more than a period worsens local health: this process stalled."""
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
        # The schedule is kept if less than a round late; otherwise missed rounds are skipped.
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
        """Marks this member as having left, and notifies some others."""
        self.now = now
        self.own = msgspec.structs.replace(self.own, incarnation=self.own.incarnation + 1, state=LEFT)
        self._store_record(self.own)
        for number in self._sample_peers(2 * GOSSIP_FANOUT):
            self._send(self._address_of(number), Gossip(*self._header()), [self._claim(self.own, self.own.number)])

    # Handling of messages

    def _dispatch(self, message: AnyMessage, source: Address, sender_known: bool) -> None:
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
        """Answers a ping, with any claim against the sender that is known here.

        Adds this member's record if the sender is unknown here, has pinged another process of this number, or has sent
        claims, which may be about this member.
        """
        knows_this_process = ping.target == self.own.number and ping.target_started_at_ms == self.own.started_at_ms
        own_record: list[Update] = [] if knows_this_process and sender_known and not ping.claims else [self.own]
        ack = Ack(*self._header(), ping.sequence_number)
        self._send(source, ack, [*own_record, *self._claims_against(ping.sender)])

    def _relay_probe(self, request: PingRequest) -> None:
        """Pings the target of another member's request; ignores it if `MAX_RELAYED_PROBES` are pending."""
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
        """Forwards the answer to a relayed probe to its requester, or completes this member's own probe."""
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
            self._adjust_local_health(-1)  # improves it

    # The failure detector

    def _start_period(self) -> None:
        """Evaluates the last period's probe, and pings the next member in the random probe order."""
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
        """Suspects the target of an unanswered probe, or confirms an existing suspicion."""
        record = self.records[probe.target]
        missing_nacks = probe.ping_requests - probe.nacks
        # Lifeguard 3.1: if any requested Nack is missing, or none was requested, the fault may be this member's own.
        self._adjust_local_health(1 if missing_nacks > 0 or not probe.ping_requests else 0)
        if record.state == ALIVE:
            self.counters.suspicions += 1
            self._start_suspicion(msgspec.structs.replace(record, state=SUSPECT), self.own.number)
        elif record.state == SUSPECT:
            suspicion = self._suspicions.get(probe.target)
            if suspicion is not None:
                suspicion.probed = True
                self._confirm_suspicion(suspicion, self._claim(record, self.own.number))

    def _repeat_probe(self) -> None:
        """Pings the unacknowledged target again, directly and through other members."""
        probe = self._probe
        if probe is None or probe.acknowledged or probe.target not in self._peer_positions:
            return
        self._send_ping(probe.target, probe.sequence_number)
        for helper in self._sample_peers(INDIRECT_PROBES, probe.target):
            probe.ping_requests += 1
            self._send(self._address_of(helper), PingRequest(*self._header(), probe.sequence_number, probe.target))

    def _handle_stall(self, delay: Ticks) -> None:
        """Starts a new period if a probe is running, and extends all suspicions by the duration of a stall.

        While this process stalled, answers may have arrived that are still in the socket's buffer.
        """
        self._adjust_local_health(1)
        if self._probe is not None:
            self._probe = None
            self._round = 0
        for suspicion in self._suspicions.values():
            suspicion.since += delay

    def _suspicion_timeout(self, suspicion: Suspicion) -> Ticks:
        """Returns the timeout of a suspicion, in ticks (Lifeguard 3.2).

        It falls from twice the minimum with one reporter to the minimum with `SUSPICION_CONFIRMATIONS` more. The
        minimum is multiplied by (1 + local health), as this member itself may be slow.
        """
        minimum = self._timings.min_suspicion_time(len(self._peers) + 1) * (1 + self.local_health)
        share = log(min(len(suspicion.reporters), SUSPICION_CONFIRMATIONS + 1)) / log(SUSPICION_CONFIRMATIONS + 1)
        return int(minimum * (2 - share))

    def _update_probed(self, suspicion: Suspicion, waited: Ticks, timeout: Ticks) -> bool:
        """Sets and returns `probed`: whether this member itself pings a suspect.

        It does so once its own probe of the suspect has failed, and in any case after a quarter of the timeout.
        Otherwise a member that missed the refuting gossip would declare the suspect dead on others' reports alone.
        """
        suspicion.probed |= waited >= timeout // 4
        return suspicion.probed

    def _expire_relayed_probes(self) -> None:
        """Sends a `Nack` for each relayed probe whose target has not answered in time."""
        expired = [number for number, probe in self._relayed_probes.items() if probe.expires_at <= self.now]
        for sequence_number in expired:
            requester = self._relayed_probes.pop(sequence_number).requester
            if requester is not None and requester.number in self.records:
                nack = Nack(*self._header(), requester.sequence_number)
                self._send(self._address_of(requester.number), nack)

    def _expire_suspicions(self) -> None:
        """Declares suspects dead whose timeout has passed; pings other suspects, whose answers refute the suspicion."""
        for number, suspicion in list(self._suspicions.items()):
            waited = self.now - suspicion.since
            timeout = self._suspicion_timeout(suspicion)
            if waited >= timeout:
                record = self.records[number]
                self._store_record(msgspec.structs.replace(record, state=DEAD), self.own.number)
            elif self._update_probed(suspicion, waited, timeout):
                self._send_ping(number, self._next_sequence_number())

    def _send_gossip(self) -> None:
        """Sends pending updates, which `_send` adds to any message, to a few random members."""
        if not self._pending_updates:
            return
        for number in self._sample_peers(GOSSIP_FANOUT):
            if not self._pending_updates:
                break
            self._send(self._address_of(number), Gossip(*self._header()))
