"""Anti-entropy: transfers member tables to members that have just joined, were partitioned or missed gossip."""

from __future__ import annotations

from lanelead.membership.member_state import (
    MAX_PAGES_PER_REQUEST,
    MAX_RECORDS_PER_PAGE,
    RECONNECT_INTERVAL_PERIODS,
    ROUNDS_PER_PERIOD,
    TABLE_REQUEST_RETRIES,
    Address,
    TableTransfer,
)
from lanelead.membership.member_table import MemberTable
from lanelead.membership.messages import (
    DEAD,
    NUMBERS_END,
    MemberRecord,
    Ping,
    TablePage,
    TableRequest,
    encode_message,
)

UNKNOWN_START = 0  # `target_started_at_ms` of a ping whose target's process is not known


class AntiEntropy(MemberTable):
    """Requests member tables from other members, serves their requests, and pings absent members to reconnect."""

    def _synchronize(self) -> None:
        """Retries an expired transfer; once per period, tries to join or, at intervals, pings an absent member."""
        transfer = self._table_transfer
        if transfer is not None and self.now >= transfer.expires_at:
            self._table_transfer = None
            if transfer.retries_left > 0:
                self._request_table(transfer.source, transfer.first_number, transfer.retries_left - 1)
        if self._round % ROUNDS_PER_PERIOD:
            return
        if not self.joined and self._table_transfer is None:
            self._request_table(self._rng.choice(self._seeds), 0, 0)
        elif not self._peers or self._rng.random() < 1 / RECONNECT_INTERVAL_PERIODS:
            self._ping_absent_member()  # each period when alone: failed probes have already lengthened its periods

    def _ping_absent_member(self) -> None:
        """Pings a dead member, an absent seed, or the remembered address of a dead member whose record was dropped.

        A process at that address answers with its own record, and the digests in the messages then differ, which starts
        a table transfer. Seeds that are present are not pinged here.
        """
        dead = [number for number in self._departed_at if self.records[number].state == DEAD]
        present = set(map(self._address_of, self._peer_positions))
        # Without duplicates: a dead seed whose address is also remembered is pinged no more often than others.
        remembered = [remembered.address for remembered in self._remembered_addresses.values()]
        candidates = dict.fromkeys([*self._seeds, *remembered])
        absent = [address for address in candidates if address not in present]
        if not dead and not absent:
            return
        choice = self._rng.randrange(len(dead) + len(absent))
        if choice < len(dead):
            self._send_ping(dead[choice], self._next_sequence_number())
        else:
            ping = Ping(*self._header(), self._next_sequence_number(), self.own.number, UNKNOWN_START)
            self._send(absent[choice - len(dead)], ping)

    def _request_table(self, source: Address, first_number: int, retries_left: int) -> None:
        self._table_transfer = TableTransfer(source, first_number, self.now + self._probe_period(), retries_left)
        self.counters.table_requests += 1
        self._send(source, TableRequest(*self._header(), first_number, False), [self.own])

    def _handle_digest_mismatch(self, source: Address, unknown_sender: bool) -> None:
        """Requests the table of a member whose digest differs from this member's.

        Shortly after a change, gossip still in progress explains the difference. So a known sender's table is requested
        only if this member's own has not changed for the minimum suspicion time; an unknown sender's is at once.
        """
        if self._table_transfer is not None:
            return
        unchanged_time = self.now - self._last_change_at
        if unknown_sender or unchanged_time > self._timings.min_suspicion_time(len(self.records)):
            self._request_table(source, 0, TABLE_REQUEST_RETRIES)

    def _send_table(self, request: TableRequest, source: Address) -> None:
        """Answers a request with up to `MAX_PAGES_PER_REQUEST` pages; the requester asks again for the rest."""
        numbers = sorted(number for number in self.records if number >= request.first_number)
        start = 0
        for page_index in range(MAX_PAGES_PER_REQUEST):
            first_number = request.first_number
            if page_index > 0:
                first_number = numbers[start]
            is_last_page = page_index == MAX_PAGES_PER_REQUEST - 1
            start += self._send_page(source, first_number, numbers[start:], is_last_page)
            if start >= len(numbers):
                break

    def _send_page(self, source: Address, first_number: int, numbers: list[int], is_last_page: bool) -> int:
        """Sends a page with as many of the members' records as fit, and returns how many it holds."""
        records: list[MemberRecord] = [self.records[number] for number in numbers[:MAX_RECORDS_PER_PAGE]]
        # The final `next_number` depends on how many records fit, so the room is measured with the largest header.
        largest_page = TablePage(*self._header(), first_number, NUMBERS_END, True)
        taken = len(encode_message(largest_page, records)[1])
        next_number = numbers[taken] if taken < len(numbers) else NUMBERS_END
        more_follows = not is_last_page and next_number < NUMBERS_END
        page = TablePage(*self._header(), first_number, next_number, more_follows)
        payload, _ = encode_message(page, records[:taken])
        self._post(source, payload)
        return taken

    def _handle_page(self, page: TablePage) -> None:
        self._contacted = True
        transfer = self._table_transfer
        if transfer is None or page.first_number != transfer.first_number:
            return  # an earlier page was lost: it is requested again when the transfer expires
        if page.next_number >= NUMBERS_END:
            self._table_transfer = None
        elif page.more_follows:
            expires_at = self.now + self._probe_period()
            self._table_transfer = TableTransfer(transfer.source, page.next_number, expires_at, TABLE_REQUEST_RETRIES)
        else:
            self._request_table(transfer.source, page.next_number, TABLE_REQUEST_RETRIES)
