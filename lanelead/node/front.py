"""Clients' connections in PostgreSQL's protocol: each lookup with one final answer, in their order.

Nothing that a client sends costs more than a bounded buffer. What can't be read is answered by an error and
the end of its connection; what was taken before on it is answered first, or broken off after a moment.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from lanelead.decisions.interface import Member, Ticks, Trip
from lanelead.pgwire import messages, statements
from lanelead.pgwire.clients import ClientReader, Encryption, Event, Fault, Query, Startup
from lanelead.pgwire.units import Answer
from lanelead.relay.driver import Driver, Outcome, Ticket

BUFFER = 32768  # bytes read at once
PIPELINED = 8  # commands of one connection that wait for answers, at most
MOST_OWED = 1 << 18  # bytes of answers that a client leaves unread, at most
SILENCE = 2.0  # seconds for a client to ask for something, or to end what it began
IDLE = 10.0  # seconds after which a connection that asks nothing more is closed
MOMENT = 1.0  # seconds for what was taken before something that can't be read
LINGER = 0.25  # seconds for a client to read the last that it was sent
YOUNG = 0.1  # seconds for a client to begin, before its place may go to another
ACCEPTED = 64  # connections taken at once
PASSING = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED)


class Slot:
    """A command's place in the order of answers."""

    __slots__ = ("text", "ticket")

    def __init__(self, ticket: Ticket | None, text: bytes | None) -> None:
        self.ticket, self.text = ticket, text


class Client:
    """One connection."""

    __slots__ = (
        "asked", "began", "closing", "front", "judged", "moved", "owed", "reader", "reading", "slots", "sock",
        "writing",
    )  # fmt: skip

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.reader = ClientReader(front.longest)
        self.slots: deque[Slot] = deque()
        self.owed = bytearray()  # answers that the kernel did not take
        self.asked = False  # it has asked for something that could be read
        self.closing = False  # it ends once all that is owed is written
        self.judged = 0.0  # when what can't be read came
        self.began = self.moved = front.loop.time()
        self.writing = False
        self.reading = True
        front.loop.add_reader(sock, self._read)

    @property
    def quiet(self) -> bool:
        return not self.slots and not self.owed

    # Reading

    def _read(self) -> None:
        try:
            data = self.sock.recv(BUFFER)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.gone()
            self.front.after()
            return
        self.moved = self.front.loop.time()
        events = self.reader.feed(data)
        # Hundreds of commands at once: none of them is taken.
        if len(events) > 1 and sum(type(event) is Query for event in events) + len(self.slots) > PIPELINED:
            self.reader.over = True
            events = [Fault("54000", f"more than {PIPELINED} commands wait for their answers")]
        for event in events:
            self._heard(event)
        self.flush()
        self.front.after()

    def _heard(self, event: Event) -> None:
        if type(event) is Query:
            if len(self.slots) >= PIPELINED:
                self.reader.over = True
                self.condemn("54000", f"more than {PIPELINED} commands wait for their answers")
            else:
                self._asked(event.text)
        elif type(event) is Startup:
            self._say(messages.OLDER + messages.WELCOME if event.newer else messages.WELCOME)
        elif type(event) is Encryption:
            self._say(messages.NO_ENCRYPTION)
        elif type(event) is Fault:
            self.condemn(event.code, event.text)
        else:
            self.gone()

    def _say(self, text: bytes) -> None:
        self.slots.append(Slot(None, text))

    def _asked(self, text: bytes) -> None:
        if not text.strip():
            self.asked = True
            self._say(messages.EMPTY)
            return
        front = self.front
        try:
            statement = statements.read(text)
            lane = front.driver.lanes.get(statement.lane)
            if lane is None:
                raise statements.Unreadable("no such class")
            if statement.ident in front.open:
                raise statements.Unreadable("a request with this id is open")
        except statements.Unreadable as fault:
            front.unreadable += 1
            self._say(messages.error("42601", str(fault)) + messages.READY)
            return
        self.asked = True
        ticket = Ticket(statement.ident, statement, self._replied)
        self.slots.append(Slot(ticket, None))
        front.open[statement.ident] = None
        left = min(int(statement.left_ms * 10), lane.outer_limit) - front.early
        member = front.members.get(statement.member) if statement.member else None
        front.driver.take(ticket, lane, member, statement.key, left, statement.again, statement.write)

    def condemn(self, code: str, text: str) -> None:
        """An error that ends the connection, behind what is owed already; nothing more is read."""
        if self.closing:
            return
        self.front.condemned += 1
        self.closing, self.judged = True, self.front.loop.time()
        self.stop_reading()
        self._say(messages.error(code, text, fatal=True))

    def stop_reading(self) -> None:
        if self.reading:
            self.reading = False
            self.front.loop.remove_reader(self.sock)

    # Answers

    def _replied(self, ticket: Ticket, outcome: Outcome, trip: Trip | None, answer: Any, back: Ticks) -> None:
        self.front.open.pop(ticket.ident, None)
        slot = next((slot for slot in self.slots if slot.ticket is ticket), None)
        if slot is None:
            return
        if outcome is Outcome.DONE:
            assert isinstance(answer, Answer)
            slot.text = answer.raw + messages.READY
        else:
            slot.text = self.front.refusal(outcome, back)
        if self.slots[0] is slot:
            self.flush()

    def flush(self) -> None:
        """Writes what is ready, in order."""
        if self.sock.fileno() < 0:
            return
        ready = []
        while self.slots and (text := self.slots[0].text) is not None:
            ready.append(text)
            self.slots.popleft()
        if ready:
            self.moved = self.front.loop.time()
            self.owed += b"".join(ready)
            if not self.writing:
                self._write()
        if self.closing and self.quiet:
            self._last()

    def _write(self) -> None:
        try:
            size = self.sock.send(self.owed)
        except (BlockingIOError, InterruptedError):
            size = 0
        except OSError:
            self.owed.clear()
            self.front.loop.call_soon(self.gone)
            return
        del self.owed[:size]
        if self.owed and not self.writing:
            self.writing = True
            self.front.loop.add_writer(self.sock, self._more)
        elif not self.owed and self.writing:
            self.writing = False
            self.front.loop.remove_writer(self.sock)
        if len(self.owed) > MOST_OWED:  # it asks, and does not read
            self.front.loop.call_soon(self.gone)

    def _more(self) -> None:
        self._write()
        if self.closing and self.quiet:
            self._last()

    def _last(self) -> None:
        """All is written: the client gets a moment to read it, since closing with bytes unread resets."""
        if self.judged >= 0:
            self.judged = -1.0
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
            self.stop_reading()
            self.front.loop.add_reader(self.sock, self._discard)
            self.reading = True
            self.front.loop.call_later(LINGER, self.close)

    def _discard(self) -> None:
        try:
            if self.sock.recv(BUFFER):
                return
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            pass
        self.close()

    # Ends

    def break_off(self) -> None:
        """What was taken before something that can't be read has had its moment."""
        for slot in list(self.slots):
            if slot.ticket is not None and slot.text is None:
                self.front.open.pop(slot.ticket.ident, None)
                slot.text = self.front.refusal(Outcome.BROKEN_OFF, 0)
                self.front.driver.left(slot.ticket)
        self.flush()

    def gone(self) -> None:
        """The client is not there any more: no answer is owed."""
        slots, self.slots = self.slots, deque()
        self.close()
        for slot in slots:
            if slot.ticket is not None and slot.text is None:
                self.front.open.pop(slot.ticket.ident, None)
                self.front.driver.left(slot.ticket)

    def close(self) -> None:
        if self.sock.fileno() < 0:
            return
        self.front.loop.remove_reader(self.sock)
        self.front.loop.remove_writer(self.sock)
        self.sock.close()
        self.front.clients.pop(self, None)


class Front:
    """`most`: connections at once; `early`: how much sooner than the client's own limit an answer is owed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: Driver,
        members: Mapping[str, Member],
        most: int,
        longest: int,
        early: Ticks,
        log: Any,
    ) -> None:
        self.loop, self.driver, self.members = loop, driver, members
        self._most, self.longest, self.early, self._log = most, longest, early, log
        self.clients: dict[Client, None] = {}
        self.open: dict[str, None] = {}  # ids of lookups without an answer yet
        self.after: Callable[[], None] = lambda: None
        self.unreadable = self.condemned = self.turned_off = self.evicted = 0
        self._sock: socket.socket | None = None
        self.draining = False
        self._sheds: dict[Ticks, bytes] = {}
        self._broken_off = messages.error("58000", "broken off: whether it ran is not known") + messages.READY

    def refusal(self, outcome: Outcome, back: Ticks) -> bytes:
        if outcome is Outcome.BROKEN_OFF:
            return self._broken_off
        if back not in self._sheds:
            if len(self._sheds) > 1000:
                self._sheds.clear()
            detail = str(max(1, back // 10)) if back > 0 else None
            self._sheds[back] = messages.error("53300", "shed: nothing ran", detail) + messages.READY
        return self._sheds[back]

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Raises OSError where the address cannot be had."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(1024)
        self._sock = sock
        self.loop.add_reader(sock, self._accept)
        name = sock.getsockname()
        return str(name[0]), int(name[1])

    def _accept(self) -> None:
        for _ in range(ACCEPTED):  # bounded, so that a crowd leaves time for lookups
            if self._sock is None:
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                if fault.errno in PASSING and fault.errno != errno.ECONNABORTED:
                    self._log.warning("cannot accept", reason=str(fault))
                    self._make_room()
                return
            if len(self.clients) >= self._most and not self._make_room():
                self.turned_off += 1
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.clients[Client(self, sock)] = None

    def _make_room(self) -> bool:
        """Ends the connection that is missed least: one that has not begun, else the longest idle."""
        now = self.loop.time()
        silent = [c for c in self.clients if not c.asked and c.quiet]
        least = min(silent, key=lambda c: c.began, default=None)
        # One that came just now may be about to ask; but a crowd of them must not push out those who do.
        if least is None or (now - least.began < YOUNG and 2 * len(silent) < len(self.clients)):
            idle = [c for c in self.clients if c.asked and c.quiet and not c.reader.inside]
            least = min(idle, key=lambda c: c.moved, default=None)
        if least is None:
            return False
        self.evicted += 1
        least.close()
        return True

    def sweep(self) -> None:
        """To be called a few times a second."""
        now = self.loop.time()
        for client in list(self.clients):
            if client.closing:
                if client.judged > 0 and client.judged < now - MOMENT:
                    client.break_off()
                if client.moved < now - 2 * SILENCE and not client.slots:
                    client.close()  # it does not read its last answer
            elif client.owed:
                if client.moved < now - 2 * SILENCE:
                    client.gone()
            elif not client.slots:
                if client.reader.inside and client.moved < now - SILENCE:
                    client.condemn("08P01", "the rest of a message never came")
                elif not client.asked and client.began < now - SILENCE:
                    client.condemn("57P05", "nothing was asked in time")
                elif client.moved < now - IDLE:
                    client.close()
                client.flush()
        self.after()

    async def drain(self, linger: float, most: float) -> None:
        """Serves on for `linger`, since clients still come; then takes nothing more, and answers all."""
        await asyncio.sleep(linger)
        self._accept()
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
        for client in list(self.clients):
            if not client.closing:
                client._read()  # what has come already is still taken
        for client in list(self.clients):
            client.stop_reading()
            client.closing = True
            client.flush()
        self.after()
        end = self.loop.time() + most
        while self.clients and self.loop.time() < end:
            await asyncio.sleep(0.02)
