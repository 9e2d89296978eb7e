"""A relay's process: sockets, feeds, peers and signals around one driver."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    Attempt,
    AttemptOutcome,
    CastVote,
    Decisions,
    Endpoint,
    RequestClass,
    ServiceLimits,
    Tenant,
    Ticks,
)
from lanelead.decisions.zone_spillover import ANYWHERE
from lanelead.http.client import CallFailedError, call, stream
from lanelead.http_relay.client_listener import Gate
from lanelead.http_relay.membership_transport import MembershipTransport
from lanelead.http_relay.upstream_requests import Links
from lanelead.migrations.readiness import Readiness
from lanelead.protocols import datagrams
from lanelead.protocols.feeds import (
    EndpointListMessage,
    MessageError,
    RolloutMessage,
    VoteRequest,
    VoteResponse,
    decode,
    encode,
)
from lanelead.protocols.migrations import AcknowledgeRequest, MigrationLogPage
from lanelead.protocols.vocabulary import VERDICT_WORDS, VOTE_OUTCOMES
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.loop_clock import LoopClock
from lanelead.runtime.pending_requests import PendingRequest
from lanelead.settings import records

Seam = Callable[[Decisions], Decisions]  # for tests only: takes a guard out, from outside the decisions


class Service:
    def __init__(self, settings: records.Relay, log: Any, seam: Seam | None = None) -> None:
        self._settings, self._log = settings, log.bind(relay=settings.number)
        self._seam = seam
        self._loop = asyncio.get_running_loop()
        self._rng = Random(f"feeds {settings.seed} {settings.number}")
        self._stop = asyncio.Event()
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._feeds: dict[str, asyncio.Task[None]] = {}
        self._clock = LoopClock(self._loop, lambda: self.driver.next_timer(), self._tick)
        self.clock = self._clock.now
        self._sent = 0
        self._offset: Ticks | None = None
        self._known: set[int] = set()
        self._dropped: dict[str, int] = {}
        self._up: dict[str, bool] = {"roster": False, "desk": False}
        self._knows = asyncio.Event()  # the roster has been heard
        self._udp: socket.socket | None = None
        self._links: Links
        self.driver: DecisionDriver
        self.gate: Gate
        self.circle: MembershipTransport | None = None

    def _build(self) -> None:
        settings, service = self._settings, self._settings.service
        quota = service.allowance
        request_classes = [request_class.figures() for request_class in service.lanes]
        limits = service.duties.figures(settings.discovery == "subscribe")
        tenants = [Tenant(row.name, row.quota, row.share) for row in service.members]
        self._links = Links(
            self._loop,
            settings.number,
            quota.connect_limit_ms / 1000,
            quota.idle_limit_ms / 1000,
            quota.unit_connections,
            4 * quota.body_bytes + 65536,
            frozenset(settings.reports),
            self._log,
        )
        decisions: Decisions = Balancer(
            place=records.place(settings),
            request_classes=request_classes,
            tenants=tenants,
            quota=quota.figures(settings.peers is not None),
            limits=limits,
            trial=service.trial.figures(),
            poll=service.poll.figures(),
            prices=records.TARIFF,
            rng=Random(settings.seed * 65537 + settings.number),
            now=self.clock(),
            preference=ANYWHERE if settings.spill is None else settings.spill.figures(),
        )
        if self._seam is not None:
            decisions = self._seam(decisions)
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=self.clock,
            request_classes=request_classes,
            limits=limits,
            max_pending=quota.open_lookups,
            max_retry_after=records.ticks(quota.longest_advice_ms),
            readiness=self._readiness(request_classes, limits),
        )
        self._links.driver = self.driver
        self.gate = Gate(self._loop, service, self.driver, self.clock, self.state, self._log, tenants)
        self.gate.after = self._links.after = self._after

    def _readiness(self, request_classes: Sequence[RequestClass], limits: ServiceLimits) -> Readiness | None:
        if self._settings.steps is None:
            return None
        # What a unit has begun by a trip's outer limit it ends within some expected times.
        grace = limits.response_slack + 2 * max(request_class.latency_objective for request_class in request_classes)
        longest = max(request_class.timeout for request_class in request_classes)
        return Readiness(grace, self.clock() + longest + grace)

    async def run(self, ready: Callable[[str, int], None] = lambda host, port: None) -> None:
        """Serves until told to stop: SIGTERM or SIGINT drains, a second one ends at once."""
        self._build()
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._signalled)
        if self._settings.discovery == "automatic":
            self.watch_endpoints(True)
        self._feed("desk", self._desk())
        if self._settings.steps is not None:
            self._up["steps"] = False
            self._feed("steps", self._steps(self._settings.steps))
            self._task(self._vouch(self._settings.steps))
        if self._settings.peers is not None:
            self._open_peers(self._settings.peers)
        if self._settings.circle is not None and self._udp is not None:
            self.circle = MembershipTransport(
                settings=self._settings, loop=self._loop, udp=self._udp, clock=self.clock, log=self._log
            )
        # A relay without a list would shed all: it waits for one, but not for ever.
        try:
            async with asyncio.timeout(self._settings.roster.most_wait_ms / 1000):
                await self._knows.wait()
        except TimeoutError:
            self._log.warning("no roster yet: lookups are shed until there is one")
        try:
            host, port = self.gate.listen(self._settings.listen.host, self._settings.listen.port)
        except OSError as fault:
            self._log.error("cannot listen", port=self._settings.listen.port, reason=str(fault))
            raise SystemExit(1) from None
        self._log.info("listening", host=host, port=port)
        ready(host, port)
        self._after()
        sweeper = self._task(self._sweep())
        await self._stop.wait()
        if self.circle is not None:
            self.circle.leave()
        self._log.info("draining", open=len(self.driver.pending))
        longest = max(request_class.outer_limit_ms for request_class in self._settings.service.lanes) / 1000
        await self.gate.drain(longest + 1)
        sweeper.cancel()
        await self._links.shut()
        for task in [*self._feeds.values(), *self._tasks]:
            task.cancel()
        await asyncio.gather(*self._feeds.values(), *self._tasks, return_exceptions=True)
        if self.circle is not None:
            self.circle.close()
        if self._udp is not None:
            self._loop.remove_reader(self._udp)
            self._udp.close()
        self._log.info("stopped", **self.state())

    def stop(self) -> None:
        """Begins to drain; `run` returns when that is done."""
        self._stop.set()

    def _signalled(self) -> None:
        if self._stop.is_set():
            raise SystemExit(1)
        self.stop()

    def _task(self, what: Any) -> asyncio.Task[Any]:
        task = self._loop.create_task(what)
        self._tasks[task] = None
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("a task failed", exc_info=fault)

    def _after(self) -> None:
        """To be called when the driver has been told something: sets out trips and writes answers, each in a
        task of its own. Guards against one that stalls, a client that reads nothing or a unit that takes a
        large body slowly, holding up whoever made it ready: a connection that others already use again."""
        self._clock.arm()
        attempts, ready = self._links.waiting, self.gate.ready
        if attempts:
            self._links.waiting = []
            for attempt in attempts:
                self._task(self._links.go(attempt))
        if ready:
            connections = list(ready)
            ready.clear()
            for connection in connections:
                self._task(connection.flush())

    def _tick(self) -> None:
        self.driver.tick()
        self._after()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(1)
            self._links.sweep()
            self.gate.sweep()

    def state(self) -> dict[str, Any]:
        counts = self.driver.counters
        return {
            "taken": counts.received,
            "done": counts.succeeded,
            "shed": counts.rejected,
            "broken_off": counts.failed,
            "left": counts.abandoned,
            "at_the_door": counts.over_limit,
            "withheld": counts.withheld_votes,
            "trips": counts.attempts,
            "fates": {outcome.value: many for outcome, many in counts.outcomes.items()},
            "open": len(self.driver.pending),
            "clients": len(self.gate.connections),
            "units": len(self.driver.destinations),
            "opened": self._links.opened,
            "reused": self._links.reused,
            "dropped": dict(self._dropped),
            "feeds": dict(self._up),
            "malformed": self.gate.malformed,
            "circle": None if self.circle is None else self.circle.state(),
        }

    # Hands

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self._links.send(attempt, pending)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self._links.abandon(attempt)

    def check_health(self, unit: Endpoint) -> None:
        self._links.probe(unit)

    def close_idle_connections(self, unit: Endpoint) -> None:
        self._links.close_idle(unit)

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        if self._udp is None or self._settings.peers is None:
            return
        for other in self._settings.peers.others:
            if peer is not None and other.number != peer:
                continue
            for payload in payloads:
                self._sent += 1
                try:
                    self._udp.sendto(
                        datagrams.encode_datagram(self._settings.number, self._sent, payload), (other.host, other.port)
                    )
                except OSError:  # a full buffer, or nobody there: such messages may be lost
                    self._drop("not sent")

    def cast_vote(self, vote: CastVote) -> None:
        self._task(self._vote(vote))

    def watch_endpoints(self, on: bool) -> None:
        if on:
            self._feed("roster", self._roster())
        elif (task := self._feeds.pop("roster", None)) is not None:
            task.cancel()

    def poll_endpoints(self) -> None:
        self._task(self._fetch())

    def log_event(self, text: str) -> None:
        self._log.info("note", text=text)

    # Feeds

    def _feed(self, name: str, what: Any) -> None:
        if (old := self._feeds.get(name)) is not None and not old.done() and old is not asyncio.current_task():
            old.cancel()
        self._feeds[name] = self._loop.create_task(what)

    def _drop(self, why: str) -> None:
        self._dropped[why] = self._dropped.get(why, 0) + 1

    async def _follow(
        self, name: str, path: Callable[[], bytes], feed: records.Feed, heard: Callable[[bytes], None]
    ) -> None:
        """Reads a stream for ever, and comes back to it after a growing wait with a random part."""
        wait = feed.least_wait_ms / 1000
        while True:
            if name == "roster":
                self._offset = None  # the roster's clock is read anew on each stream
            try:
                async for line in stream(self._loop, feed.address, path(), feed.silence_ms / 1000):
                    heard(line)
                    wait = feed.least_wait_ms / 1000
                    if not self._up[name]:
                        self._up[name] = True
                        self._log.info("feed up", feed=name)
                    self._after()
            except (CallFailedError, MessageError) as fault:
                if self._up[name]:
                    self._log.warning("feed down: going on with what is known", feed=name, reason=str(fault))
                self._up[name] = False
            await asyncio.sleep(wait * self._rng.uniform(0.5, 1.5))
            wait = min(2 * wait, feed.most_wait_ms / 1000)
            if name == "roster" and self._settings.discovery == "subscribe":
                # The decisions ask again; the wait above bounds how often.
                self._loop.call_soon(self._roster_failed)
                return

    def _roster_failed(self) -> None:
        self.driver.endpoint_poll_failed()
        self._after()

    async def _roster(self) -> None:
        def heard(line: bytes) -> None:
            listed = decode(line, EndpointListMessage)
            if self._offset is None:
                self._offset = self.clock() - int(listed.clock_ms * 10)
            self.driver.endpoints_listed(listed, self._offset)
            self._knows.set()

        await self._follow(
            "roster", lambda: b"/roster/watch?relay=%d" % self._settings.number, self._settings.roster, heard
        )

    async def _desk(self) -> None:
        def heard(line: bytes) -> None:
            self.driver.rollout_read(decode(line, RolloutMessage), False, AttemptOutcome.SUCCEEDED)

        path = b"/news?relay=%d" % self._settings.number
        await self._follow("desk", lambda: path, self._settings.desk, heard)

    async def _steps(self, feed: records.Feed) -> None:
        """The record of steps, from where it was last read."""
        readiness = self.driver.readiness
        assert readiness is not None

        def path() -> bytes:
            return b"/record/watch?relay=%d&since=%d" % (self._settings.number, readiness.record.seq)

        await self._follow(
            "steps", path, feed, lambda line: self.driver.migrations_read(decode(line, MigrationLogPage))
        )

    async def _vouch(self, feed: records.Feed) -> None:
        """Tells the store that a closing is seen, once nothing is out that it forbids."""
        readiness = self.driver.readiness
        assert readiness is not None
        while True:
            await asyncio.sleep(feed.least_wait_ms / 1000)
            if owed := readiness.owes(self.clock()):
                body = encode(AcknowledgeRequest(self._settings.number, owed))
                limit = feed.silence_ms / 1000
                try:
                    answer = await call(self._loop, feed.address, "POST", b"/seen", body, limit)
                except (CallFailedError, TimeoutError) as fault:
                    self._log.warning("store not told", reason=str(fault))
                    continue
                if answer.status == 200:
                    readiness.seen = max(readiness.seen, owed)
                    self._log.info("traffic ended for a step", closing=owed)

    async def _fetch(self) -> None:
        feed = self._settings.roster
        try:
            answer = await call(self._loop, feed.address, "GET", b"/roster", b"", feed.silence_ms / 1000)
            listed = decode(answer.body, EndpointListMessage)
        except (CallFailedError, TimeoutError, MessageError) as fault:
            self._log.warning("roster not fetched", reason=str(fault))
            await asyncio.sleep(feed.least_wait_ms / 1000)
            self._roster_failed()
            return
        self.driver.endpoints_listed(listed, self.clock() - int(listed.clock_ms * 10))
        self._knows.set()
        self._after()

    async def _vote(self, vote: CastVote) -> None:
        poll = self._settings.service.poll
        asked = VoteRequest(self._settings.number, vote.build, vote.stage, VERDICT_WORDS[vote.verdict])  # type: ignore[arg-type]
        line, word = None, AttemptOutcome.ERROR
        try:
            answer = await call(
                self._loop,
                self._settings.desk.address,
                "POST",
                b"/votes",
                encode(asked),
                poll.answer_limit_ms / 1000,
            )
            if answer.status != 200:
                raise CallFailedError(f"status {answer.status}")
            told = decode(answer.body, VoteResponse)
            line, word = told.news, VOTE_OUTCOMES[told.word]
        except TimeoutError:
            word = AttemptOutcome.TIMED_OUT
        except (CallFailedError, MessageError) as fault:
            self._log.warning("vote not cast", reason=str(fault))
        self._log.info("vote", build=vote.build, stage=vote.stage, verdict=asked.verdict, word=word.value)
        self.driver.rollout_read(line, True, word)
        self._after()

    # Peers

    def _open_peers(self, peers: records.Peers) -> None:
        sock = socket.socket(socket.AF_INET6 if ":" in peers.listen.host else socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((peers.listen.host, peers.listen.port))
        self._udp = sock
        self._known = {other.number for other in peers.others}
        self._loop.add_reader(sock, self._letters)

    def _letters(self) -> None:
        assert self._udp is not None
        for _ in range(64):  # bounded, so that a flood leaves time for lookups
            try:
                data, source = self._udp.recvfrom(datagrams.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:
                continue
            letter = datagrams.decode_datagram(data, self._settings.relays)
            if isinstance(letter, str):
                self._drop(letter)
            elif letter.membership:
                if self.circle is None:
                    self._drop("no circle")
                else:
                    self.circle.receive(letter.payload, source[:2])
            elif letter.sender not in self._known:
                self._drop("sender")
            else:
                self.driver.gossip_received(letter.sender, letter.payload)
        self._after()
