"""Clients' connections: requests in, each with one final answer, in the order in which they came (RFC 9112,
9.3.2).

A pipelined lookup is taken at once only where its outer limit lies no earlier than those of the lookups
ahead of it, for its answer cannot pass theirs; else it is taken when they are answered, with the time that
is then left.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import itertools
import re
import resource
import socket
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import netaddr

from lanelead.decisions.interface import Attempt, Idempotency, RequestClass, Tenant, Ticks
from lanelead.http import serialization
from lanelead.http.requests import HttpRequest, RejectedRequest, RequestReader, State
from lanelead.http.responses import HttpResponse
from lanelead.http_relay.upstream_requests import OURS
from lanelead.protocols.feeds import Complaint, MessageError, decode, encode
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.pending_requests import PendingRequest, RequestOutcome
from lanelead.settings import records

BUFFER = 8192  # bytes read at once
IDENT = re.compile(rb"[!-~]{1,128}\Z")
DIGITS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,3})?\Z")
ANSWERED = OURS | {b"x-request-id"}  # what an answer's fields are cleared of
SPARE = 32  # descriptors for listening, feeds, votes, the log and the interpreter
PLAIN = ((b"content-type", b"text/plain; charset=utf-8"),)

# What accept may fail with without the listening socket being of no more use.
PASSING = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED)


class Slot:
    """A request's place in the order of answers."""

    __slots__ = ("ask", "close", "due", "text", "ticket", "waits")

    def __init__(self, ask: HttpRequest | None) -> None:
        self.ask = ask
        self.text: bytes | None = None  # the answer, once there is one
        self.ticket: PendingRequest | None = None
        self.due: Ticks = 0
        self.waits: Callable[[], None] | None = None  # takes the lookup, when those ahead are answered
        self.close = False


class Refused(Exception):
    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class Reception:
    """Tells what lane, member, key and time a request has. Made once from the settings."""

    def __init__(self, service: records.Service, driver: DecisionDriver, tenants: Sequence[Tenant]) -> None:
        names = service.headers
        self._member, self._key, self._left, self._lookup = (
            name.lower().encode() for name in (names.member, names.key, names.left, names.lookup)
        )
        rows = [
            (request_class.prefix.encode(), request_class.methods, driver.request_classes[request_class.name])
            for request_class in service.lanes
        ]
        rows.sort(key=lambda row: -len(row[0]))  # the longest prefix that fits holds
        self._lanes = [(prefix, frozenset(methods), request_class) for prefix, methods, request_class in rows]
        self._early = records.ticks(service.duties.early_ms)
        self.members = {tenant.name: tenant for tenant in tenants}  # the decisions know these very objects
        spans = [(netaddr.IPNetwork(text), row.name) for row in service.members for text in row.networks]
        spans.sort(key=lambda pair: -pair[0].prefixlen)
        self._spans = spans
        self._number = itertools.count(1)

    def lane(self, ask: HttpRequest) -> RequestClass:
        path, fitting = ask.target.partition(b"?")[0], False
        for prefix, methods, request_class in self._lanes:
            if path.startswith(prefix):
                if ask.method in methods:
                    return request_class
                fitting = True
        raise Refused(405 if fitting else 404, "no lane takes this method here" if fitting else "no such lane")

    def member_at(self, address: str) -> Tenant | None:
        """By the client's address, the narrowest network first."""
        if not self._spans:
            return None
        ip = netaddr.IPAddress(address)
        return next((self.members[name] for span, name in self._spans if ip in span), None)

    def member(self, ask: HttpRequest, by_address: Tenant | None) -> Tenant | None:
        raw = ask.header(self._member)
        return by_address if raw is None else self.members.get(raw.decode("latin-1"), by_address)

    def key(self, ask: HttpRequest) -> str | None:
        raw = ask.header(self._key)
        return None if raw is None else raw.decode("latin-1")

    def left(self, ask: HttpRequest, request_class: RequestClass) -> Ticks:
        """The time to the final answer; earlier than the client's own by what the way back may take."""
        raw, most = ask.header(self._left), request_class.timeout
        if raw is not None:
            if not DIGITS.match(raw):
                raise Refused(400, f"{self._left.decode()} takes milliseconds, as digits")
            most = min(most, int(float(raw) * 10))
        return most - self._early

    def ident(self, ask: HttpRequest) -> str:
        raw = ask.header(self._lookup)
        if raw is None or not IDENT.match(raw):
            return f"relay-{next(self._number)}"
        return raw.decode("latin-1")


class Connection:
    """One client. A task reads; answers are written by whoever made them ready, one write at a time.

    It ends when nothing is read any more and nothing is owed: the client has closed its side, or has been
    sent its last answer and given a moment to read it.
    """

    def __init__(self, gate: Gate, sock: socket.socket, address: str) -> None:
        self._gate, self._sock, self._loop = gate, sock, gate.loop
        self._reader = RequestReader(gate.allowance.head_bytes, gate.allowance.body_bytes)
        self._member = gate.reception.member_at(address)
        self.slots: deque[Slot] = deque()
        self._room = asyncio.Event()
        self._reading = True  # the task that reads still runs
        self._closing = False  # nothing more is taken from it
        self._linger: asyncio.TimerHandle | None = None
        self.moved = gate.loop.time()  # when bytes last went either way
        self._busy = False  # a write is under way
        gate.keep(gate.loop.create_task(self._read()))

    @property
    def quiet(self) -> bool:
        return not self.slots and not self._busy

    @property
    def stuck(self) -> bool:
        """Waits for the client, in the middle of a request or of an answer."""
        return self._busy or (not self.slots and self._reader.state in (State.HEAD, State.BODY))

    # Reading

    async def _read(self) -> None:
        gate, buffer = self._gate, self._gate.buffer()
        view, recv = memoryview(buffer), self._loop.sock_recv_into
        most = gate.allowance.pipelined
        try:
            while True:
                while not self._closing and len(self.slots) >= most:
                    self._room.clear()
                    await self._room.wait()
                size = await recv(self._sock, buffer)
                if size == 0:  # half closed: what was asked is still answered
                    break
                if self._closing:  # nothing more is answered here, so nothing more is taken
                    continue
                self.moved = self._loop.time()
                for event in self._reader.feed(view[:size]):
                    if isinstance(event, HttpRequest):
                        self._asked(event)
                    elif isinstance(event, RejectedRequest):
                        gate.refused(event.status, event.reason)
                        self._say(self._slot(None), event.status, event.reason, close=True)
                    elif self.quiet and not self._closing:
                        await self._loop.sock_sendall(self._sock, serialization.CONTINUE)
                gate.after()
        except OSError:  # reset: the client is gone, and no answer is owed
            self._gone()
        finally:
            view.release()
            gate.give_back(buffer)
            self._reading = False
            self._settle()

    def _slot(self, ask: HttpRequest | None) -> Slot:
        slot = Slot(ask)
        self.slots.append(slot)
        return slot

    def _asked(self, ask: HttpRequest) -> None:
        if self._closing:
            return
        slot = self._slot(ask)
        if not ask.keep or self._gate.draining:
            slot.close, self._closing = True, True
        if ask.target.startswith(b"/.lanelead/"):
            self._own(slot, ask)
            return
        reception = self._gate.reception
        try:
            request_class = reception.lane(ask)
            left = reception.left(ask, request_class)
            if request_class.idempotency is Idempotency.KEYED and ask.header(b"idempotency-key") is None:
                raise Refused(400, "this lane takes an Idempotency-Key")
        except Refused as refused:
            self._say(slot, refused.status, refused.text)
            return
        pending = slot.ticket = PendingRequest(reception.ident(ask), ask, self._replied)
        tenant, key = reception.member(ask, self._member), reception.key(ask)
        now = self._gate.clock()
        slot.due = now + left
        due = slot.due

        def take() -> None:
            slot.waits = None
            self._gate.driver.receive(pending, request_class, tenant, key, due - self._gate.clock())

        ahead = [other.due for other in self.slots if other is not slot and other.text is None]
        if ahead and max(ahead) > due:
            slot.waits = take
        else:
            take()

    def _own(self, slot: Slot, ask: HttpRequest) -> None:
        """The relay's own paths: complaints of wrong answers, and how the relay stands."""
        gate = self._gate
        if ask.target == b"/.lanelead/complaint" and ask.method == "POST":
            try:
                told = decode(ask.body, Complaint)
                request_class = gate.driver.request_classes.get(told.lane)
                if request_class is None:
                    raise MessageError(f"no lane {told.lane!r}")
                if not gate.driver.complaint_received(told.unit, request_class, int(told.age_ms * 10)):
                    raise MessageError(f"no unit {told.unit!r} was ever listed")
            except MessageError as fault:
                self._say(slot, 400, str(fault))
                return
            self._fill(slot, serialization.response(204, (), b"", not slot.close))
        elif ask.target == b"/.lanelead/state" and ask.method in ("GET", "HEAD"):
            body = encode(gate.state())
            text = serialization.response(
                200,
                ((b"content-type", b"application/json"),),
                body,
                not slot.close,
                ask.method == "HEAD",
                b"%d" % len(body),
            )
            self._fill(slot, text)
        else:
            self._say(slot, 404, "nothing here")

    # Answers

    def _say(self, slot: Slot, status: int, text: str, close: bool = False) -> None:
        """An answer of the relay's own, to what is not a lookup."""
        if close:
            slot.close = self._closing = True
        head = slot.ask is not None and slot.ask.method == "HEAD"
        body = (text + "\n").encode()
        fields = (*PLAIN, (b"lanelead-outcome", b"not-a-lookup"))
        self._fill(slot, serialization.response(status, fields, body, not slot.close, head, b"%d" % len(body)))

    def _replied(
        self,
        pending: PendingRequest,
        outcome: RequestOutcome,
        attempt: Attempt | None,
        answer: HttpResponse | None,
        retry_after: Ticks,
    ) -> None:
        slot = next((slot for slot in self.slots if slot.ticket is pending), None)
        if slot is None:
            return
        self._gate.told(pending, outcome, attempt)
        head, keep = pending.message.method == "HEAD", not slot.close
        ident = (b"x-request-id", pending.id.encode("latin-1"))
        word = (b"lanelead-outcome", outcome.value.encode())
        if outcome is RequestOutcome.SUCCEEDED and answer is not None and attempt is not None:
            fields = serialization.passed_on(answer.headers, ANSWERED)
            fields += (
                ident,
                word,
                (b"lanelead-unit", self._gate.driver.registry.names[attempt.endpoint].encode()),
                (b"lanelead-build", b"%d" % attempt.endpoint.build),
            )
            length = answer.header(b"content-length")
            text = serialization.response(answer.status, fields, answer.body, keep, head, length)
        elif outcome is RequestOutcome.REJECTED:
            seconds = max(1, -(-retry_after // 10_000))
            fields = [
                *PLAIN,
                ident,
                word,
                (b"retry-after", b"%d" % seconds),
                (b"lanelead-come-back", b"%d" % (retry_after // 10)),
            ]
            text = serialization.response(
                503, fields, b"shed: nothing was done; it may be asked again\n", keep, head, b"46"
            )
        else:
            status = 504 if pending.timed_out else 502
            fields = [*PLAIN, ident, word]
            text = serialization.response(status, fields, b"broken off: it may have been done\n", keep, head, b"34")
        self._fill(slot, text)

    def _fill(self, slot: Slot, text: bytes) -> None:
        if slot.text is None:
            slot.text = text
            if not self._busy and self.slots and self.slots[0] is slot:
                self._gate.ready[self] = None

    async def flush(self) -> None:
        """Writes answers in order, as many at once as are ready."""
        if self._busy:
            return
        self._busy, slots = True, self.slots
        try:
            while slots and slots[0].text is not None:
                parts, last = list[bytes](), False
                while slots and (text := slots[0].text) is not None and not last:
                    last = slots.popleft().close
                    parts.append(text)
                await self._loop.sock_sendall(self._sock, parts[0] if len(parts) == 1 else b"".join(parts))
                self.moved = self._loop.time()
                if last:
                    self._closing = True
                    break
                if slots:
                    self._next()
                self._room.set()
        except OSError:
            self._gone()
        finally:
            self._busy = False
            self._settle()

    def _next(self) -> None:
        """Takes the lookups that waited for those ahead of them."""
        for slot in list(self.slots):
            if slot.waits is None:
                continue
            ahead = itertools.takewhile(lambda other, slot=slot: other is not slot, self.slots)  # type: ignore[misc]
            if max((other.due for other in ahead if other.text is None), default=0) > slot.due:
                return
            slot.waits()

    def _gone(self) -> None:
        self._closing = True
        slots, self.slots = list(self.slots), deque()
        for slot in slots:
            if slot.ticket is not None:
                self._gate.driver.client_left(slot.ticket)
        self._room.set()
        self._gate.after()

    def _settle(self) -> None:
        """Closes the socket once nothing is read from it or owed to it."""
        if self.slots or self._busy:
            return
        if not self._reading:
            if self._linger is not None:
                self._linger.cancel()
            self._sock.close()
            self._gate.closed(self)
        elif self._closing and self._linger is None:
            # What the client still sends is read and dropped for a moment: closing on it would reset the
            # connection, and the answer that was just written could be lost (RFC 9112, section 9.6).
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
            self._linger = self._loop.call_later(0.5, self.break_)

    def break_(self) -> None:
        """Ends the connection at once, whatever is on it: its reads and writes fail, and it settles."""
        self._gone()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._settle()


class Gate:
    """The listening socket and all clients' connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        service: records.Service,
        driver: DecisionDriver,
        clock: Callable[[], Ticks],
        state: Callable[[], Mapping[str, Any]],
        log: Any,
        tenants: Sequence[Tenant],
    ) -> None:
        self.loop, self.driver, self.clock, self.state, self._log = loop, driver, clock, state, log
        self.allowance, self.reception = service.allowance, Reception(service, driver, tenants)
        self.connections: dict[Connection, None] = {}
        self._spare: list[bytearray] = []
        self.draining = False
        self._sock: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self.ready: dict[Connection, None] = {}  # those whose next answer can be written
        self._tasks: set[asyncio.Task[None]] = set()
        self.after: Callable[[], None] = lambda: None  # called when the driver was told something
        self._idle_limit = service.allowance.idle_limit_ms / 1000
        self.turned_off = 0  # connections beyond the allowance
        # Half of the descriptors at most go to clients. Guards against a crowd of them that leaves none for
        # units, so that every lookup would be shed; it costs clients where lookups need few units.
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self._most = min(self.allowance.open_connections, max(1, (limit - SPARE) // 2))
        if self._most < self.allowance.open_connections:
            log.warning("descriptors allow fewer clients than the settings", clients=self._most, descriptors=limit)
        self.malformed = 0

    def listen(self, host: str, port: int) -> tuple[str, int]:
        """Raises OSError where the address cannot be had."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(min(1024, self._most))
        self._sock = sock
        self._accepting = self.loop.create_task(self._accept(sock))
        name = sock.getsockname()
        return str(name[0]), int(name[1])

    async def _accept(self, sock: socket.socket) -> None:
        while True:
            try:
                conn, address = await self.loop.sock_accept(sock)
            except OSError as fault:
                if fault.errno not in PASSING:
                    raise
                # Guards against used up descriptors: those connected are served on, the others wait their
                # turn.
                self._log.warning("cannot accept", reason=str(fault))
                await asyncio.sleep(0.1)
                continue
            if len(self.connections) >= self._most:
                self.turned_off += 1
                fields = (*PLAIN, (b"lanelead-outcome", b"shed"), (b"retry-after", b"1"))
                with contextlib.suppress(OSError):
                    conn.send(serialization.response(503, fields, b"shed: too many connections\n", keep=False))
                conn.close()
                continue
            conn.setblocking(False)
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections[Connection(self, conn, address[0])] = None

    def keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def buffer(self) -> bytearray:
        return self._spare.pop() if self._spare else bytearray(BUFFER)

    def give_back(self, buffer: bytearray) -> None:
        if len(self._spare) < 256:
            self._spare.append(buffer)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        # Guards against a fault of ours that would end a connection's task unseen, and leave its client
        # waiting.
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("a connection's task failed", exc_info=fault)

    def closed(self, connection: Connection) -> None:
        self.connections.pop(connection, None)

    def refused(self, status: int, reason: str) -> None:
        self.malformed += 1
        self._log.info("refused", status=status, reason=reason)

    def told(self, pending: PendingRequest, outcome: RequestOutcome, attempt: Attempt | None) -> None:
        if outcome is RequestOutcome.SUCCEEDED:
            return
        attempts = [
            (self.driver.registry.names[row.endpoint], row.outcome.value if row.outcome else "out")
            for row in (pending.request.attempts if pending.request else ())
        ]
        request_class = pending.request.request_class.name if pending.request else None
        self._log.info("answered", lookup=pending.id, outcome=outcome.value, lane=request_class, trips=attempts)

    def sweep(self) -> None:
        """Ends connections whose client has moved no byte for the idle limit while it was its turn."""
        oldest = self.loop.time() - self._idle_limit
        for connection in list(self.connections):
            if connection.moved < oldest and connection.stuck:
                connection.break_()

    async def drain(self, most: float) -> None:
        """No new connections; every lookup that was taken gets its answer, then all ends."""
        self.draining = True
        if self._accepting is not None:
            self._accepting.cancel()
            await asyncio.gather(self._accepting, return_exceptions=True)
        if self._sock is not None:
            self._sock.close()
        end = self.loop.time() + most
        while any(not connection.quiet for connection in self.connections) and self.loop.time() < end:
            await asyncio.sleep(0.01)
        for connection in list(self.connections):
            connection.break_()
        await asyncio.gather(*self._tasks, return_exceptions=True)
