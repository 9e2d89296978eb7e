"""Clients' connections: who is let in, who is turned off, and how all are answered when the relay stops.

Nothing that a client sends costs more than a bounded buffer. What can't be read is answered by an error and
the end of its connection; what was taken before on it is answered first, or broken off after a moment.
Whoever is turned off is told so by a refusal, which is harmless to repeat elsewhere.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from lanelead.decisions.interface import Tenant, Ticks
from lanelead.pgwire import messages
from lanelead.postgres_relay.client_connection import BUFFER, LEAVING, LINGER, REFUSED, Client
from lanelead.postgres_relay.load_reports import still
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import RequestOutcome

SILENCE = 2.0  # seconds for a client to ask for something, or to end what it began
IDLE = 10.0  # seconds after which a connection that asks nothing more is closed
MOMENT = 1.0  # seconds for what was taken before something that can't be read
LATE = 0.2  # seconds after its time for a request's answer, before it is broken off
YOUNG = 0.1  # seconds for a client to begin, before its place may go to another
ACCEPTED = 64  # connections taken at once
TURNED = 8  # connections that were turned off and may still read why; of the descriptors kept to spare
PASSING = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Front:
    """`most`: connections at once; `early`: how much sooner than the client's own limit an answer is owed;
    `end`: when all has to be answered, on the loop's clock, once the relay is told to stop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        driver: DecisionDriver,
        tenants: Mapping[str, Tenant],
        most: int,
        longest: int,
        early: Ticks,
        log: Any,
    ) -> None:
        self.loop, self.driver, self.members = loop, driver, tenants
        self._most, self.longest, self.early, self._log = most, longest, early, log
        self.clients: dict[Client, None] = {}
        self.unasked: dict[Client, None] = {}  # those that never asked, the oldest first
        self.open: dict[str, None] = {}  # ids of lookups without an answer yet
        self.after: Callable[[], None] = lambda: None
        self.unreadable = self.condemned = self.turned_off = self.evicted = self.refused = self.overdue = 0
        self._sock: socket.socket | None = None
        self.end: float | None = None
        self._turned: deque[socket.socket] = deque()
        self._sheds: dict[Ticks, bytes] = {}
        self._broken_off = messages.error("58000", "broken off: whether it ran is not known") + messages.READY

    def refusal(self, outcome: RequestOutcome, back: Ticks) -> bytes:
        if outcome is RequestOutcome.FAILED:
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

    def _accept(self) -> bool:
        """Takes in who waits; says whether more may wait than it took at once."""
        for _ in range(ACCEPTED):  # bounded, so that a crowd leaves time for lookups
            if self._sock is None:
                return False
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as fault:
                if fault.errno in PASSING:
                    self._log.warning("cannot accept", reason=str(fault), remedy="more descriptors for the process")
                    if not self._make_room():
                        self._rest()
                        return False
                    return True
                continue  # that one was broken before it was taken in
            sock.setblocking(False)
            if len(self.clients) >= self._most and not self._make_room():
                self._turn_off(sock)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(self, sock)
            self.clients[client] = self.unasked[client] = None
        return True

    def _rest(self) -> None:
        """Guards against a loop that spins: who waits would call it again at once, and still find no room."""
        assert self._sock is not None
        self.loop.remove_reader(self._sock)
        self.loop.call_later(YOUNG, self._again)

    def _again(self) -> None:
        if self._sock is not None:
            self.loop.add_reader(self._sock, self._accept)

    def _turn_off(self, sock: socket.socket) -> None:
        """No room for it: it is told so, and may read that for as long as no other needs its descriptor."""
        self.turned_off += 1
        with contextlib.suppress(OSError):  # what has come is read, since a close with bytes unread resets
            sock.recv(BUFFER)
        with contextlib.suppress(OSError):
            sock.send(messages.error(REFUSED, "no room for another connection: nothing ran", fatal=True))
            sock.shutdown(socket.SHUT_WR)
        self._turned.append(sock)
        if len(self._turned) > TURNED:
            self._turned.popleft().close()
        self.loop.call_later(LINGER, self._forget, sock)

    def _forget(self, sock: socket.socket) -> None:
        if sock in self._turned:
            self._turned.remove(sock)
            sock.close()

    def _make_room(self) -> bool:
        """Ends the connection that is missed least, and on which nothing waits to be read: one that has not
        begun, else the one idle for longest. Each is asked of the kernel only when its turn comes."""
        now, crowded = self.loop.time(), 2 * len(self.unasked) >= len(self.clients)
        # One that came just now may be about to ask; but a crowd of them must not push out those who do.
        silent = (c for c in self.unasked if c.quiet and (crowded or now - c.began >= YOUNG))
        if (least := next((c for c in silent if still(c.sock)), None)) is not None:
            self.evicted += 1
            least.turn_off("nothing was asked, and others need the room")
            return True
        rested = sorted((c for c in self.clients if c.asked and c.quiet), key=lambda c: c.moved)
        if (least := next((c for c in rested if c.idle), None)) is not None:
            self.evicted += 1
            least.close()
            return True
        return False

    def sweep(self) -> None:
        """To be called a few times a second. Ends nothing on which something waits to be read: a relay that
        stood still finds all of its clients silent for long."""
        now = self.loop.time()
        for client in list(self.clients):
            # Guards against a request that an error within the relay left without its answer.
            if late := client.break_off(now - LATE):
                self.overdue += late
                self._log.error("requests without an answer in time", broken_off=late)
            if client.closing:
                if client.judged is not None and client.judged < now - MOMENT:
                    client.break_off()
                if client.moved < now - 2 * SILENCE and not client.slots:
                    client.close()  # it does not read its last answer
                elif client.judged is None and client.reader.inside and client.moved < now - SILENCE:
                    client.condemn("08P01", "the rest of a message never came")
                    client.flush()
            elif client.owed:
                if client.moved < now - 2 * SILENCE:
                    client.gone()
            elif not client.slots and (end := self._overdue(client, now)) and still(client.sock):
                end()
                client.flush()
        self.after()

    def _overdue(self, client: Client, now: float) -> Callable[[], None] | None:
        """How to end a connection that has said nothing for too long; None where it has not."""
        if client.reader.inside and client.moved < now - SILENCE:
            return lambda: client.condemn("08P01", "the rest of a message never came")
        # One whose bytes keep coming is about to ask: it is cut off in the middle of that much later.
        if not client.asked and (client.moved < now - SILENCE or client.began < now - IDLE):
            return lambda: client.refuse(LEAVING, "nothing was asked in time")
        return client.close if client.moved < now - IDLE else None

    async def drain(self, linger: float, most: float) -> None:
        """Serves on for `linger` seconds, since clients still come; then takes in what has come, and answers
        all of it within `most` seconds. No connection stays open unasked; what would wait longer than that is
        broken off, so that each lookup has its answer before the process is killed."""
        self.end = self.loop.time() + linger + most
        await asyncio.sleep(linger)
        for _ in range(self._most):  # bounded, should a crowd come faster than it is taken in
            if not self._accept():
                break
        if self._sock is not None:
            self.loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
        for client in list(self.clients):
            client.leave()
        self.after()
        moment = self.loop.time() + min(LINGER, most)
        while self.clients and self.loop.time() < moment:
            await asyncio.sleep(0.02)
        for client in list(self.clients):
            client.leave()  # its request may have come just now
            if not client.asked and not client.reader.inside:
                client.refuse(LEAVING, "this relay stops: nothing ran")
        self.after()
        while self.clients and self.loop.time() < self.end:
            await asyncio.sleep(0.02)
        for client in list(self.clients):
            client.break_off()
            if client.reader.inside:  # its rest did not come in time
                client.refuse(LEAVING, "this relay stops: nothing ran")
        self.after()
        end = self.loop.time() + 1.2 * LINGER
        while self.clients and self.loop.time() < end:
            await asyncio.sleep(0.02)
