"""A member's rows: what is taken from others' words, what of it is told on, and by which letters."""

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
    ROUNDS_PER_PERIOD,
    SUSPICION_CONFIRMATIONS,
    Address,
    MemberChange,
    MembershipCounters,
    MembershipTimings,
    PendingUpdate,
    Probe,
    Suspicion,
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
    encode_message,
)


class MemberTable:
    """One member's view. `outbox` fills with (address, letter), `changes` with what became of members."""

    def __init__(
        self,
        own: MemberRecord,
        tempo: MembershipTimings,
        seeds: Sequence[Address],
        rng: Random,
        now: Ticks,
        known: Sequence[MemberRecord] = (),
    ) -> None:
        self.own, self._timings, self._rng, self.now = own, tempo, rng, now
        self._seeds = [seed for seed in seeds if seed != (own.host, own.port)]
        self.records: dict[int, MemberRecord] = {own.number: own, **{row.number: row for row in known}}
        self.configured_addresses: dict[int, Address] = {}  # as settings name them, which stand above what is told
        self.outbox: list[tuple[Address, bytes]] = []
        self.changes: list[MemberChange] = []
        self.counters = MembershipCounters()
        self.local_health = 0
        self.replaced_by: MemberRecord | None = None  # the later life that took this one's place
        self._suspicions: dict[int, Suspicion] = {}
        self._pending_updates: dict[int, PendingUpdate] = {}
        self._departed_at: dict[int, Ticks] = {}
        self._remembered_addresses: dict[int, tuple[Address, Ticks]] = {}  # of the forgotten dead; until when
        self._probe_order: list[int] = []
        self._probe: Probe | None = None
        self._relayed_probes: dict[int, Probe] = {}
        self._sequence_number = rng.randrange(1 << 31)
        self._next_round_at = now + int(rng.random() * tempo.period / ROUNDS_PER_PERIOD)
        self._round = 0
        self._last_change_at = now
        self._digest = 0
        for row in self.records.values():
            self._digest ^= record_digest(row)
        self._peers = [row.number for row in self.records.values() if row.number != own.number]
        self._peer_positions = {number: place for place, number in enumerate(self._peers)}
        self._table_transfer: tuple[Address, int, Ticks, int] | None = None  # from whom, from which, until, tries
        self._contacted = bool(known)
        self._disseminate(own)

    @property
    def joined(self) -> bool:
        return self._contacted or not self._seeds

    def next_round_at(self) -> Ticks:
        return self._next_round_at

    def present_members(self) -> list[MemberRecord]:
        """All that are there, suspects among them, by number."""
        return sorted((row for row in self.records.values() if not row.gone), key=lambda row: row.number)

    # What others say

    def _merge_record(self, row: MemberRecord) -> None:
        known = self.records.get(row.number)
        if row.number == self.own.number:
            self._refute(row)
        elif known is None and row.gone:
            pass  # the dead of long ago are not brought back by those that remember them longer
        elif known is None or row.rank > known.rank:
            if row.state == SUSPECT:
                self._start_suspicion(row, row.number)  # a row does not say who suspects it
            else:
                self._store_record(row)

    def _merge_claim(self, claim: StateClaim) -> None:
        known = self.records.get(claim.number)
        if claim.number == self.own.number:
            self._refute(claim)
            return
        if known is None or claim.started_at_ms != known.started_at_ms:
            return  # a row must come first: a claim has no address
        if (claim.started_at_ms, claim.incarnation, claim.state) > known.rank:
            row = msgspec.structs.replace(known, incarnation=claim.incarnation, state=claim.state)
            if claim.state == SUSPECT:
                self._start_suspicion(row, claim.reporter)
            else:
                self._store_record(row, claim.reporter)
        elif claim.state == SUSPECT == known.state and claim.incarnation == known.incarnation:
            suspicion = self._suspicions.get(claim.number)
            if (
                suspicion is not None
                and claim.reporter not in suspicion.reporters
                and len(suspicion.reporters) <= SUSPICION_CONFIRMATIONS
            ):
                suspicion.reporters[claim.reporter] = None
                self._disseminate(claim)  # news: one more that can't reach it

    def _refute(self, told: MemberRecord | StateClaim) -> None:
        """What others say of this member. Rule 2: only it raises its own turn."""
        if told.started_at_ms > self.own.started_at_ms:
            self._mark_replaced(
                told
                if isinstance(told, MemberRecord)
                else msgspec.structs.replace(self.own, started_at_ms=told.started_at_ms)
            )
        elif (
            told.started_at_ms == self.own.started_at_ms
            and told.state != ALIVE
            and told.incarnation >= self.own.incarnation
        ):
            if self.own.state == LEFT:
                return
            self.own = msgspec.structs.replace(self.own, incarnation=told.incarnation + 1, state=ALIVE)
            self._store_record(self.own)
            self.counters.refutations += 1
            self._adjust_local_health(1)  # Lifeguard 3.1: one that must defend itself may be the slow one

    def _mark_replaced(self, later: MemberRecord) -> None:
        self.replaced_by = later
        self.changes.append(MemberChange(self.own, later))

    def _store_record(self, row: MemberRecord, by: int | None = None) -> None:
        before = self.records.get(row.number)
        if before is not None and not before.gone:
            self._digest ^= record_digest(before)
        if not row.gone:
            self._digest ^= record_digest(row)
        self.records[row.number] = row
        self._last_change_at = self.now
        if row.state != SUSPECT:
            self._suspicions.pop(row.number, None)
        if row.number != self.own.number:
            self._place(row)
        if before is None or (before.started_at_ms, before.state) != (row.started_at_ms, row.state):
            self.changes.append(MemberChange(before, row))
        known = (
            before is not None and before.started_at_ms == row.started_at_ms
        )  # a claim is shorter, but says no address
        by = self.own.number if by is None else by
        claim = StateClaim(row.number, row.started_at_ms, row.incarnation, row.state, by)
        self._disseminate(claim if known and row.state != ALIVE else row)

    def _place(self, row: MemberRecord) -> None:
        """Keeps the members that are there in a list, for draws in constant time."""
        place = self._peer_positions.get(row.number)
        if row.gone:
            self._departed_at.setdefault(row.number, self.now)
            if place is not None:
                last = self._peers.pop()
                if last != row.number:
                    self._peers[place], self._peer_positions[last] = last, place
                del self._peer_positions[row.number]
        else:
            self._departed_at.pop(row.number, None)
            self._remembered_addresses.pop(row.number, None)
            if place is None:
                self._peer_positions[row.number] = len(self._peers)
                self._peers.append(row.number)
                # SWIM 4.3: a new member comes in at a random place of the round.
                self._probe_order.insert(self._rng.randrange(len(self._probe_order) + 1), row.number)

    def _start_suspicion(self, row: MemberRecord, by: int) -> None:
        self._store_record(row, by)
        self._suspicions[row.number] = Suspicion(self.now, {by: None}, by == self.own.number)

    def _drop_departed(self) -> None:
        """Drops rows of long ago. Some addresses of the dead stay longer: of a region that is only cut off
        nobody here may know another."""
        for number, at in list(self._departed_at.items()):
            if self.now - at < self._timings.retention:
                break  # those that went first stand first
            if self.records[number].state == DEAD:
                self._remember_address(number)
            del self._departed_at[number], self.records[number]
            self._pending_updates.pop(number, None)
        for number, (_, until) in list(self._remembered_addresses.items()):
            if self.now < until:
                break
            del self._remembered_addresses[number]

    def _remember_address(self, number: int) -> None:
        """Bounded; which one goes is drawn, so that the few that die late don't drive out a whole region."""
        if len(self._remembered_addresses) >= MAX_REMEMBERED_ADDRESSES:
            del self._remembered_addresses[self._rng.choice(list(self._remembered_addresses))]
        self._remembered_addresses[number] = (
            self._address_of(number),
            self.now + ADDRESS_RETENTION_FACTOR * self._timings.retention,
        )

    # Letters

    def _address_of(self, number: int) -> Address:
        row = self.records[number]
        return self.configured_addresses.get(number, (row.host, row.port))

    def _send(self, to: Address, letter: AnyMessage, first: Iterable[MemberRecord | StateClaim] = ()) -> None:
        """Sends it with what must be in it, and rumors as there is room."""
        forced = list(first)
        numbers = {rumor.number for rumor in forced}
        rumors = [rumor for rumor in self._least_sent_updates() if rumor.update.number not in numbers]
        text, taken = encode_message(letter, [*forced, *(rumor.update for rumor in rumors)])
        limit = 4 * ceil(log10(len(self.records) + 1) + 1e-9)
        for rumor in rumors[: max(0, len(taken) - len(forced))]:
            rumor.sent_count += 1
            if rumor.sent_count >= limit:
                self._pending_updates.pop(rumor.update.number, None)
        self.counters.messages_sent += 1
        self.counters.bytes_sent += len(text)
        self.outbox.append((to, text))

    def _least_sent_updates(self) -> list[PendingUpdate]:
        """The rumors told least, a few more than a letter holds."""
        return sorted(self._pending_updates.values(), key=lambda rumor: rumor.sent_count)[:12]

    def _disseminate(self, what: MemberRecord | StateClaim) -> None:
        self._pending_updates.pop(what.number, None)
        self._pending_updates[what.number] = PendingUpdate(what)

    def _header(self) -> tuple[int, int, int, list[MemberRecord], list[StateClaim]]:
        return self.own.number, self.own.started_at_ms, self._digest, [], []

    def _claims_against(self, number: int) -> list[MemberRecord | StateClaim]:
        """What is held against a member, for itself to hear first (Lifeguard 3.3, the buddy system)."""
        row = self.records.get(number)
        if row is None or row.state == ALIVE:
            return []
        return [StateClaim(number, row.started_at_ms, row.incarnation, row.state, self.own.number)]

    def _send_ping(self, number: int, seq: int) -> None:
        row = self.records[number]
        self._send(
            self._address_of(number),
            Ping(*self._header(), seq, number, row.started_at_ms),
            self._claims_against(number),
        )

    def _next_sequence_number(self) -> int:
        self._sequence_number = (self._sequence_number + 1) & 0xFFFFFFFF
        return self._sequence_number

    def _sample_peers(self, many: int, but: int = -1) -> list[int]:
        drawn = self._rng.sample(self._peers, min(len(self._peers), many + 1))
        return [number for number in drawn if number != but][:many]

    # Local health

    def _adjust_local_health(self, step: int) -> None:
        self.local_health = min(MAX_LOCAL_HEALTH, max(0, self.local_health + step))

    def _probe_period(self) -> Ticks:
        return self._timings.period * (1 + self.local_health)
