"""One client's connection in PostgreSQL's protocol: what it asks, in its order, each with one final answer.

Between requests a relay may end a connection; a request that crosses this and that the relay has not read is
sent once more by its client (the protocol's page, 'Clients to relays'). So what waits in the kernel is either
read and answered, or left there unread.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from lanelead.decisions.interface import Attempt, Tenant, Ticks
from lanelead.pgwire import messages, statements
from lanelead.pgwire.clients import ClientReader, Encryption, Event, Fault, Query, Startup
from lanelead.pgwire.servers import QueryResult
from lanelead.postgres_relay.load_reports import still
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome

BUFFER = 32768  # bytes read at once
AT_ONCE = 64  # commands of one read: of more, none is taken
PIPELINED = 128  # commands of one connection that wait for answers: one more is refused, in its place
MOST_HELD = 1 << 20  # bytes of the commands that wait: with more, the same
MOST_SLOTS = 1024  # answers in order, those refusals among them, at most
MOST_OWED = 1 << 18  # bytes of answers that a client leaves unread: with more, no command of its is read
MOST_DISCARDED = 1 << 22  # bytes read from a client behind what can't be read, at most
LINGER = 0.25  # seconds for a client to read the last that it was sent
REFUSED, LEAVING = "53300", "57P03"  # both are refusals: trying again is harmless


class House(Protocol):
    """What a connection needs of the front that took it in."""

    loop: asyncio.AbstractEventLoop
    driver: DecisionDriver
    members: Mapping[str, Tenant]
    longest: int
    early: Ticks
    open: dict[str, None]  # ids of lookups without an answer yet
    after: Callable[[], None]
    clients: dict[Client, None]
    unasked: dict[Client, None]
    unreadable: int
    condemned: int
    refused: int
    end: float | None  # when all has to be answered, once the relay is told to stop

    def refusal(self, outcome: RequestOutcome, back: Ticks) -> bytes: ...


class Slot:
    """A command's place in the order of answers."""

    __slots__ = ("due", "size", "text", "ticket")

    def __init__(
        self, pending: PendingRequest | None, text: bytes | None, due: float = math.inf, size: int = 0
    ) -> None:
        self.ticket, self.text, self.due = pending, text, due  # when it is owed, on the loop's clock
        self.size = size  # bytes of its command


class Client:
    """One connection. It ends once all that is owed is written if it is `closing`, either because what it
    sent can't be read (`judged`), or because the relay stops (`leaving`)."""

    __slots__ = (
        "asked",
        "began",
        "closing",
        "discarded",
        "front",
        "held",
        "judged",
        "leaving",
        "moved",
        "owed",
        "paused",
        "reader",
        "reading",
        "shut",
        "slots",
        "sock",
        "writing",
    )

    def __init__(self, front: House, sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.reader = ClientReader(front.longest)
        self.slots: deque[Slot] = deque()
        self.held = 0  # bytes of the commands that wait
        self.owed = bytearray()  # answers that the kernel did not take
        self.asked = False  # it has asked for something that could be read
        self.closing = self.leaving = False
        self.judged: float | None = None  # when what can't be read came
        self.shut = False  # nothing more is written
        self.discarded = 0
        self.began = self.moved = front.loop.time()
        self.writing = False
        self.reading = True
        self.paused = False  # not read for now: too much is owed
        front.loop.add_reader(sock, self._read)

    @property
    def quiet(self) -> bool:
        return not self.slots and not self.owed

    @property
    def idle(self) -> bool:
        """Nothing is owed, nothing has begun, and nothing waits to be read."""
        return self.quiet and not self.reader.inside and still(self.sock)

    # Reading

    def _read(self) -> None:
        if self._take() >= 0:
            if self.leaving and self.asked:  # its first request after all: it ends with that
                self.closing = True
            self.flush()
        self.front.after()

    def _take(self) -> int:
        """Takes in what has come, a bufferful at most: how many bytes, or -1 where the connection is over."""
        try:
            data = self.sock.recv(BUFFER)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            data = b""
        if not data:
            self.gone()
            return -1
        if self.judged is not None:
            # Read only to notice its end, and lest a reset destroy the error that it is owed.
            self.discarded += len(data)
            if self.discarded > MOST_DISCARDED:
                self.stop_reading()
            return len(data)
        self.moved = self.front.loop.time()
        events = self.reader.feed(data)
        # Hundreds of commands at once: none of them is taken.
        if len(events) > AT_ONCE and sum(type(event) is Query for event in events) > AT_ONCE:
            self.reader.over = True
            events = [Fault("54000", f"more than {AT_ONCE} commands at once")]
        for event in events:
            self._heard(event)
        return len(data) if self.sock.fileno() >= 0 else -1

    def _heard(self, event: Event) -> None:
        if type(event) is Query:
            if len(self.slots) >= MOST_SLOTS:
                self.reader.over = True
                self.condemn("54000", f"more than {MOST_SLOTS} commands wait for their answers")
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
            self._has_asked()
            self._say(messages.EMPTY)
            return
        front = self.front
        try:
            statement = statements.read(text)
            request_class = front.driver.request_classes.get(statement.lane)
            if request_class is None:
                raise statements.StatementError("no such class")
            if statement.ident in front.open:
                raise statements.StatementError("a request with this id is open")
        except statements.StatementError as fault:
            front.unreadable += 1
            self._say(messages.error("42601", str(fault)) + messages.READY)
            return
        self._has_asked()
        if self.closing and self.slots:  # the relay stops, and this came behind what was taken in time
            front.refused += 1
            self._say(front.refusal(RequestOutcome.REJECTED, 0))
            return
        # Guards against one connection that holds all that the relay may: it is told so, command by command,
        # since whoever writes its requests one behind another is owed an answer to each.
        if len(self.slots) >= PIPELINED or (self.held and self.held + len(text) > MOST_HELD):
            front.refused += 1
            self._say(front.refusal(RequestOutcome.REJECTED, 0))
            return
        pending = PendingRequest(statement.ident, statement, self._replied)
        front.open[statement.ident] = None
        left = min(int(statement.left_ms * 10), request_class.timeout) - front.early
        if front.end is not None:
            left = min(left, int((front.end - front.loop.time()) * 10_000))
        self.held += len(text)
        self.slots.append(Slot(pending, None, front.loop.time() + left / 10_000, len(text)))
        tenant = front.members.get(statement.member) if statement.member else None
        front.driver.receive(pending, request_class, tenant, statement.key, left, statement.again, statement.write)

    def _has_asked(self) -> None:
        self.asked = True
        self.front.unasked.pop(self, None)

    def condemn(self, code: str, text: str) -> None:
        """An error that ends the connection, behind what is owed already; nothing more is taken."""
        if self.judged is not None:
            return
        self.front.condemned += 1
        self.closing, self.judged = True, self.front.loop.time()
        self._say(messages.error(code, text, fatal=True))

    def stop_reading(self) -> None:
        if self.reading:
            self.reading = False
            self.front.loop.remove_reader(self.sock)

    # Answers

    def _replied(
        self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None, answer: Any, back: Ticks
    ) -> None:
        self.front.open.pop(pending.id, None)
        slot = next((slot for slot in self.slots if slot.ticket is pending), None)
        if slot is None:
            return
        if outcome is RequestOutcome.SUCCEEDED:
            assert isinstance(answer, QueryResult)
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
            self.held -= self.slots.popleft().size
        if ready:
            self.moved = self.front.loop.time()
            self.owed += b"".join(ready)
            if not self.writing:
                self._write()
            self._heed()
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
        if size:  # guards against cutting off one that reads slowly, but reads
            self.moved = self.front.loop.time()
        del self.owed[:size]
        if self.owed and not self.writing:
            self.writing = True
            self.front.loop.add_writer(self.sock, self._more)
        elif not self.owed and self.writing:
            self.writing = False
            self.front.loop.remove_writer(self.sock)

    def _heed(self) -> None:
        """Guards against answers without bound for one that asks and does not read, and against breaking
        off the answers of one that reads: its next commands wait in the kernel. Whoever takes nothing for
        long is ended by the sweep."""
        if self.sock.fileno() < 0:
            return
        if not self.paused and len(self.owed) > MOST_OWED:
            self.paused = True
            self.front.loop.remove_reader(self.sock)
        elif self.paused and 2 * len(self.owed) <= MOST_OWED:
            self.paused = False
            if self.reading:
                self.front.loop.add_reader(self.sock, self._read)

    def _more(self) -> None:
        self._write()
        self._heed()
        if self.closing and self.quiet:
            self._last()

    def _last(self) -> None:
        """All is written: the client gets a moment to read it, since closing with bytes unread resets."""
        if self.shut or self.sock.fileno() < 0:
            return
        if self.judged is None:
            if self.reader.inside:  # half a request has come: a close would lose it
                return
            if not still(self.sock):  # a request has come behind the last: it is read, and answered
                self.front.loop.call_soon(self._read)
                return
            self.stop_reading()  # what crosses the end stays unread: its client sends it once more
        self.shut = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        self.front.loop.call_later(LINGER, self.close)

    # Ends

    def leave(self) -> None:
        """The relay stops: what has come on this connection is taken in, and it ends when that is answered.
        One that has not asked yet is left open for now, since its request may be on its way."""
        if self.closing:
            return
        while self._take() > 0 and not self.closing:
            pass
        if self.sock.fileno() < 0:
            return
        self.leaving = True
        if self.asked:
            self.closing = True
        self.flush()

    def refuse(self, code: str, text: str) -> None:
        """Ends a connection whose next request has not come whole, with a refusal that tells its client to
        go elsewhere. It is the answer to whatever crosses it, which is dropped: a request that is refused
        must never run."""
        if self.judged is not None or self.shut or self.sock.fileno() < 0:
            return
        self.front.refused += 1
        self.closing, self.judged = True, self.front.loop.time()
        self._say(messages.error(code, text, fatal=True))
        self.flush()

    def turn_off(self, text: str) -> None:
        """The same, for its place at once: nothing has come on it that was not read."""
        with contextlib.suppress(OSError):
            self.sock.send(messages.error(REFUSED, text, fatal=True))
        self.close()

    def break_off(self, by: float = math.inf) -> int:
        """What was taken, and was owed by then, has had its moment: it may have run, and gets its final
        answer now. How many there were."""
        late = [
            (slot, slot.ticket)
            for slot in self.slots
            if slot.ticket is not None and slot.text is None and slot.due <= by
        ]
        for slot, pending in late:
            self.front.open.pop(pending.id, None)
            slot.text = self.front.refusal(RequestOutcome.FAILED, 0)
        self.flush()
        for _, pending in late:  # by the loop: what fails there must not keep others from their answers
            self.front.loop.call_soon(self.front.driver.client_left, pending)
        return len(late)

    def gone(self) -> None:
        """The client is not there any more: no answer is owed."""
        slots, self.slots = self.slots, deque()
        self.close()
        for slot in slots:
            if slot.ticket is not None and slot.text is None:
                self.front.open.pop(slot.ticket.id, None)
                self.front.driver.client_left(slot.ticket)

    def close(self) -> None:
        if self.sock.fileno() < 0:
            return
        self.front.loop.remove_reader(self.sock)
        self.front.loop.remove_writer(self.sock)
        self.sock.close()
        self.front.clients.pop(self, None)
        self.front.unasked.pop(self, None)
