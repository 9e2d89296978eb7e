"""Tables: how those that have just come, were cut off or missed something get what others know."""

from __future__ import annotations

from lanelead.membership.member_state import (
    MAX_PAGES_PER_REQUEST,
    RECONNECT_INTERVAL_PERIODS,
    ROUNDS_PER_PERIOD,
    Address,
)
from lanelead.membership.member_table import MemberTable
from lanelead.membership.messages import DEAD, MemberRecord, Ping, TablePage, TableRequest, encode_message


class AntiEntropy(MemberTable):
    """Whom a member asks for a table, and what it answers to those that ask."""

    def _synchronize(self) -> None:
        if self._table_transfer is not None:
            to, first, until, tries = self._table_transfer
            if self.now >= until:
                self._table_transfer = None
                if tries > 0:
                    self._request_table(to, first, tries - 1)
        if self._round % ROUNDS_PER_PERIOD:
            return
        if not self.joined and self._table_transfer is None:
            self._request_table(self._rng.choice(self._seeds), 0, 0)
        elif not self._peers or self._rng.random() < 1 / RECONNECT_INTERVAL_PERIODS:
            self._ping_absent_member()  # one that is alone has nothing else to ask, and its periods have grown long

    def _ping_absent_member(self) -> None:
        """Pings one that may be there unheard of: a dead one, a seed, or where one forgotten was. Whoever is
        there answers with its own row, and the digests differ. Seeds that are there already cost nothing."""
        dead = [number for number in self._departed_at if self.records[number].state == DEAD]
        here = set(map(self._address_of, self._peer_positions))
        # A seed that is kept too is called on no more often than others: it may be dead for good.
        spots = dict.fromkeys([*self._seeds, *(address for address, _ in self._remembered_addresses.values())])
        unheard = [spot for spot in spots if spot not in here]
        if not dead and not unheard:
            return
        drawn = self._rng.randrange(len(dead) + len(unheard))
        if drawn < len(dead):
            self._send_ping(dead[drawn], self._next_sequence_number())
        else:  # whoever it is: its number and life are not known
            self._send(
                unheard[drawn - len(dead)], Ping(*self._header(), self._next_sequence_number(), self.own.number, 0)
            )

    def _request_table(self, to: Address, first: int, tries: int) -> None:
        self._table_transfer = to, first, self.now + self._probe_period(), tries
        self.counters.table_requests += 1
        self._send(to, TableRequest(*self._header(), first, False), [self.own])

    def _handle_digest_mismatch(self, source: Address, unknown: bool) -> None:
        """The other takes others to be there: what gossip under way would tell is not asked for."""
        if self._table_transfer is None and (
            unknown or self.now - self._last_change_at > self._timings.min_suspicion_time(len(self.records))
        ):
            self._request_table(source, 0, 3)

    def _send_table(self, call: TableRequest, source: Address) -> None:
        ordered = sorted(number for number in self.records if number >= call.first_number)
        place = 0
        for page in range(MAX_PAGES_PER_REQUEST):
            first = ordered[place] if place < len(ordered) else 65536
            rows = [self.records[number] for number in ordered[place : place + 12]]
            letter = TablePage(*self._header(), call.first_number if page == 0 else first, 0, False)
            place += self._send_page(letter, rows, source, ordered, place, page)
            if place >= len(ordered):
                break

    def _send_page(
        self, letter: TablePage, rows: list[MemberRecord], source: Address, ordered: list[int], place: int, page: int
    ) -> int:
        sizing = TablePage(*self._header(), letter.first_number, 65536, True)
        taken = len(encode_message(sizing, rows)[1])
        after = place + taken
        letter.next_number = ordered[after] if after < len(ordered) else 65536
        letter.more_follows = page < MAX_PAGES_PER_REQUEST - 1 and letter.next_number < 65536
        text, _ = encode_message(letter, rows[:taken])
        self.counters.messages_sent += 1
        self.counters.bytes_sent += len(text)
        self.outbox.append((source, text))
        return taken

    def _handle_page(self, table: TablePage, source: Address) -> None:
        self._contacted = True
        if self._table_transfer is None:
            return
        to, first, _, _ = self._table_transfer
        if table.first_number != first:
            return  # one before it was lost: asked for again when time is up
        if table.next_number >= 65536:
            self._table_transfer = None
        elif table.more_follows:
            self._table_transfer = to, table.next_number, self.now + self._probe_period(), 3
        else:
            self._request_table(to, table.next_number, 3)
