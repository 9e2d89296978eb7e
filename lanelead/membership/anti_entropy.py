"""Tables: how those that have just come, were cut off or missed something get what others know."""

from __future__ import annotations

from lanelead.membership.member_state import BEATS, PAGES, UNHEARD, Address
from lanelead.membership.member_table import Rows
from lanelead.membership.messages import DEAD, Join, Ping, Row, Table, write


class Tables(Rows):
    """Whom a member asks for a table, and what it answers to those that ask."""

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
            self._call(self._rng.choice(self._seeds), 0, 0)
        elif not self._members or self._rng.random() < 1 / UNHEARD:
            self._look()  # one that is alone has nothing else to ask, and its periods have grown long

    def _look(self) -> None:
        """Pings one that may be there unheard of: a dead one, a seed, or where one forgotten was. Whoever is
        there answers with its own row, and the digests differ. Seeds that are there already cost nothing."""
        dead = [number for number in self._gone if self.rows[number].state == DEAD]
        here = set(map(self._address, self._places))
        # A seed that is kept too is called on no more often than others: it may be dead for good.
        spots = dict.fromkeys([*self._seeds, *(address for address, _ in self._kept.values())])
        unheard = [spot for spot in spots if spot not in here]
        if not dead and not unheard:
            return
        drawn = self._rng.randrange(len(dead) + len(unheard))
        if drawn < len(dead):
            self._ping(dead[drawn], self._next())
        else:  # whoever it is: its number and life are not known
            self._send(unheard[drawn - len(dead)], Ping(*self._head(), self._next(), self.own.number, 0))

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
