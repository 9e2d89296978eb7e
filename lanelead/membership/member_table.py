"""A member's table of all members: merges received records and claims, and disseminates changes in messages."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil, log10
from random import Random

import msgspec

from lanelead.decisions.interface import Ticks
from lanelead.membership.member_state import (
    ADDRESS_RETENTION_FACTOR,
    MAX_LOCAL_HEALTH,
    MAX_REMEMBERED_ADDRESSES,
    MAX_UPDATES_PER_MESSAGE,
    ROUNDS_PER_PERIOD,
    SUSPICION_CONFIRMATIONS,
    Address,
    MemberChange,
    MembershipCounters,
    MembershipTimings,
    PendingUpdate,
    Probe,
    RememberedAddress,
    Suspicion,
    TableTransfer,
    record_digest,
)
from lanelead.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    AnyMessage,
    MemberRecord,
    Ping,
    StateClaim,
    Update,
    encode_message,
)


class MemberTable:
    """One member's records of all members, itself included.

    outbox: addresses and payloads to send; the host process empties it.
    changes: changes of members' states and processes; the host process empties it.
    configured_addresses: by member number; they take precedence over the addresses that members report.
    known: records of members that are known from the start.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        timings: MembershipTimings,
        seeds: Sequence[Address],
        rng: Random,
        now: Ticks,
        known: Sequence[MemberRecord] = (),
    ) -> None:
        self.own = own
        self.now = now
        self.records: dict[int, MemberRecord] = {own.number: own, **{record.number: record for record in known}}
        self.configured_addresses: dict[int, Address] = {}
        self.outbox: list[tuple[Address, bytes]] = []
        self.changes: list[MemberChange] = []
        self.counters = MembershipCounters()
        self.local_health = 0  # 0 (best) to MAX_LOCAL_HEALTH
        self.replaced_by: MemberRecord | None = None  # a later process with this member's number
        self._timings = timings
        self._rng = rng
        self._seeds = [seed for seed in seeds if seed != (own.host, own.port)]
        self._suspicions: dict[int, Suspicion] = {}
        self._pending_updates: dict[int, PendingUpdate] = {}
        self._departed_at: dict[int, Ticks] = {}
        self._remembered_addresses: dict[int, RememberedAddress] = {}
        self._probe_order: list[int] = []
        self._probe: Probe | None = None
        self._relayed_probes: dict[int, Probe] = {}
        self._sequence_number = rng.randrange(1 << 31)
        self._next_round_at = now + int(rng.random() * timings.period / ROUNDS_PER_PERIOD)
        self._round = 0
        self._last_change_at = now
        self._digest = 0
        for record in self.records.values():
            self._digest ^= record_digest(record)
        self._peers = [record.number for record in self.records.values() if record.number != own.number]
        self._peer_positions = {number: position for position, number in enumerate(self._peers)}
        self._table_transfer: TableTransfer | None = None
        self._contacted = bool(known)
        self._disseminate(own)

    @property
    def joined(self) -> bool:
        """Whether any other member has responded, or there is none to ask."""
        return self._contacted or not self._seeds

    def next_round_at(self) -> Ticks:
        """Returns when `tick` is to be called next."""
        return self._next_round_at

    def present_members(self) -> list[MemberRecord]:
        """Returns the records of all members that are alive or suspect, sorted by number."""
        return sorted(
            (record for record in self.records.values() if not record.has_departed), key=lambda record: record.number
        )

    # Reports from other members

    def _merge_record(self, record: MemberRecord) -> None:
        known = self.records.get(record.number)
        if record.number == self.own.number:
            self._refute(record)
        elif known is None and record.has_departed:
            pass  # a record that was dropped here is not restored by members that keep it longer
        elif known is None or record.rank > known.rank:
            if record.state == SUSPECT:
                self._start_suspicion(record, record.number)  # a record does not name its reporter
            else:
                self._store_record(record)

    def _merge_claim(self, claim: StateClaim) -> None:
        known = self.records.get(claim.number)
        if claim.number == self.own.number:
            self._refute(claim)
            return
        if known is None or claim.started_at_ms != known.started_at_ms:
            return  # a claim has no address, so the record must be known first
        if (claim.started_at_ms, claim.incarnation, claim.state) > known.rank:
            record = msgspec.structs.replace(known, incarnation=claim.incarnation, state=claim.state)
            if claim.state == SUSPECT:
                self._start_suspicion(record, claim.reporter)
            else:
                self._store_record(record, claim.reporter)
        elif claim.state == SUSPECT == known.state and claim.incarnation == known.incarnation:
            suspicion = self._suspicions.get(claim.number)
            if suspicion is not None:
                self._confirm_suspicion(suspicion, claim)

    def _confirm_suspicion(self, suspicion: Suspicion, claim: StateClaim) -> None:
        """Adds a reporter to a suspicion and disseminates its claim, until further reporters have no effect."""
        if claim.reporter not in suspicion.reporters and len(suspicion.reporters) <= SUSPICION_CONFIRMATIONS:
            suspicion.reporters[claim.reporter] = None
            self._disseminate(claim)

    def _refute(self, update: Update) -> None:
        """Handles a report about this member: refutes a wrong one with a higher incarnation (rule 2 in `member`)."""
        own = self.own
        if update.started_at_ms > own.started_at_ms:
            if isinstance(update, MemberRecord):
                self._mark_replaced(update)
            else:
                self._mark_replaced(msgspec.structs.replace(own, started_at_ms=update.started_at_ms))
            return
        outdated = update.started_at_ms != own.started_at_ms or update.incarnation < own.incarnation
        if outdated or update.state == ALIVE or own.state == LEFT:
            return
        self.own = msgspec.structs.replace(own, incarnation=update.incarnation + 1, state=ALIVE)
        self._store_record(self.own)
        self.counters.refutations += 1
        self._adjust_local_health(1)  # Lifeguard 3.1: a member that others suspect may itself be slow

    def _mark_replaced(self, later: MemberRecord) -> None:
        self.replaced_by = later
        self.changes.append(MemberChange(self.own, later))

    def _store_record(self, record: MemberRecord, reporter: int | None = None) -> None:
        before = self.records.get(record.number)
        if before is not None and not before.has_departed:
            self._digest ^= record_digest(before)
        if not record.has_departed:
            self._digest ^= record_digest(record)
        self.records[record.number] = record
        self._last_change_at = self.now
        if record.state != SUSPECT:
            self._suspicions.pop(record.number, None)
        if record.number != self.own.number:
            self._update_peers(record)
        if before is None or (before.started_at_ms, before.state) != (record.started_at_ms, record.state):
            self.changes.append(MemberChange(before, record))
        address_known = before is not None and before.started_at_ms == record.started_at_ms
        if address_known and record.state != ALIVE:
            self._disseminate(self._claim(record, self.own.number if reporter is None else reporter))
        else:
            self._disseminate(record)

    @staticmethod
    def _claim(record: MemberRecord, reporter: int) -> StateClaim:
        return StateClaim(record.number, record.started_at_ms, record.incarnation, record.state, reporter)

    def _update_peers(self, record: MemberRecord) -> None:
        """Keeps present members in a list with their positions, so that insertion, removal and sampling are O(1)."""
        position = self._peer_positions.get(record.number)
        if record.has_departed:
            self._departed_at.setdefault(record.number, self.now)
            if position is not None:
                last = self._peers.pop()
                if last != record.number:
                    self._peers[position] = last
                    self._peer_positions[last] = position
                del self._peer_positions[record.number]
        else:
            self._departed_at.pop(record.number, None)
            self._remembered_addresses.pop(record.number, None)
            if position is None:
                self._peer_positions[record.number] = len(self._peers)
                self._peers.append(record.number)
                # SWIM 4.3: a new member is inserted at a random position of the probe order.
                self._probe_order.insert(self._rng.randrange(len(self._probe_order) + 1), record.number)

    def _start_suspicion(self, record: MemberRecord, reporter: int) -> None:
        self._store_record(record, reporter)
        self._suspicions[record.number] = Suspicion(self.now, {reporter: None}, reporter == self.own.number)

    def _drop_departed(self) -> None:
        """Drops the records of members that left or died longer ago than the retention time.

        Some addresses of dead members are kept longer: if a whole region is partitioned, this member may know no other
        way to reach it.
        """
        for number, departed_at in list(self._departed_at.items()):
            if self.now - departed_at < self._timings.retention:
                break  # the dictionary is in the order of departure
            if self.records[number].state == DEAD:
                self._remember_address(number)
            del self._departed_at[number]
            del self.records[number]
            self._pending_updates.pop(number, None)
        for number, remembered in list(self._remembered_addresses.items()):
            if self.now < remembered.expires_at:
                break
            del self._remembered_addresses[number]

    def _remember_address(self, number: int) -> None:
        """Keeps a dead member's address; if there are too many, evicts a random one.

        Random eviction makes it unlikely that a few later deaths evict all addresses of a partitioned region.
        """
        if len(self._remembered_addresses) >= MAX_REMEMBERED_ADDRESSES:
            del self._remembered_addresses[self._rng.choice(list(self._remembered_addresses))]
        expires_at = self.now + ADDRESS_RETENTION_FACTOR * self._timings.retention
        self._remembered_addresses[number] = RememberedAddress(self._address_of(number), expires_at)

    # Messages

    def _address_of(self, number: int) -> Address:
        record = self.records[number]
        return self.configured_addresses.get(number, (record.host, record.port))

    def _send(self, to: Address, message: AnyMessage, required: Iterable[Update] = ()) -> None:
        """Sends a message with the required updates and as many pending ones as fit."""
        required = list(required)
        numbers = {update.number for update in required}
        pending = [update for update in self._least_sent_updates() if update.update.number not in numbers]
        payload, added = encode_message(message, [*required, *(update.update for update in pending)])
        max_sends = 4 * ceil(log10(len(self.records) + 1) + 1e-9)
        for update in pending[: max(0, len(added) - len(required))]:
            update.sent_count += 1
            if update.sent_count >= max_sends:
                self._pending_updates.pop(update.update.number, None)
        self._post(to, payload)

    def _post(self, to: Address, payload: bytes) -> None:
        self.counters.messages_sent += 1
        self.counters.bytes_sent += len(payload)
        self.outbox.append((to, payload))

    def _least_sent_updates(self) -> list[PendingUpdate]:
        """Returns the pending updates that were sent least often, more than fit into a message."""
        by_sent_count = sorted(self._pending_updates.values(), key=lambda update: update.sent_count)
        return by_sent_count[:MAX_UPDATES_PER_MESSAGE]

    def _disseminate(self, update: Update) -> None:
        self._pending_updates.pop(update.number, None)
        self._pending_updates[update.number] = PendingUpdate(update)

    def _header(self) -> tuple[int, int, int, list[MemberRecord], list[StateClaim]]:
        """Returns the fields that all messages start with."""
        return self.own.number, self.own.started_at_ms, self._digest, [], []

    def _claims_against(self, number: int) -> list[Update]:
        """Returns the claim against a member that is not alive, for messages to it (Lifeguard 3.3, buddy system)."""
        record = self.records.get(number)
        if record is None or record.state == ALIVE:
            return []
        return [self._claim(record, self.own.number)]

    def _send_ping(self, number: int, sequence_number: int) -> None:
        ping = Ping(*self._header(), sequence_number, number, self.records[number].started_at_ms)
        self._send(self._address_of(number), ping, self._claims_against(number))

    def _next_sequence_number(self) -> int:
        self._sequence_number = (self._sequence_number + 1) & 0xFFFFFFFF
        return self._sequence_number

    def _sample_peers(self, count: int, excluded: int = -1) -> list[int]:
        sampled = self._rng.sample(self._peers, min(len(self._peers), count + 1))
        return [number for number in sampled if number != excluded][:count]

    # Local health

    def _adjust_local_health(self, step: int) -> None:
        """Worsens (positive step) or improves (negative step) local health within its bounds."""
        self.local_health = min(MAX_LOCAL_HEALTH, max(0, self.local_health + step))

    def _probe_period(self) -> Ticks:
        return self._timings.period * (1 + self.local_health)
