"""The relay's process on the platform: front, links, feeds, letters and signals around one driver."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import socket
import time
from collections.abc import Sequence
from random import Random
from typing import Any

from lanelead.decisions.interface import Fate, Trip, Unit, Vote
from lanelead.decisions.rules import Relay
from lanelead.node import config as configuration
from lanelead.node.config import Config
from lanelead.node.desk import Desk
from lanelead.node.feeds import Discovery
from lanelead.node.front import Front
from lanelead.node.links import Links
from lanelead.protocols import datagrams
from lanelead.protocols.platform import address, listed
from lanelead.protocols.records import Listed, Malformed, NewsLine
from lanelead.relay.driver import Driver, Ticket
from lanelead.relay.timing import Clock

SPARE = 24  # descriptors for listening, feeds, letters, the log and the interpreter
CLIENTS = 0.5  # of the other descriptors; the rest go to units
VALUE = 65536  # bytes of the largest value
LINGER = 0.55  # seconds after SIGTERM that clients still come
SWEEP = 0.25
SAID = 20  # sweeps from one line on the relay's state to the next


class Service:
    def __init__(self, config: Config, path: str, log: Any) -> None:
        self._path, self._log = path, log.bind(relay=config.name)
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._udp: socket.socket | None = None
        self._peers = [address(text) for text in config.peers]
        self._number_at = {place: number for number, place in enumerate(self._peers)}
        self._chance = Random(f"feeds {config.seed}")
        self._dropped = 0
        self._knows = asyncio.Event()
        self._lag = self._pause = 0.0
        self._build(config)

    def _build(self, config: Config) -> None:
        opening = config.opening
        lanes, duties, allowance = opening.lanes(), opening.duties(), opening.allowance()
        members, poll, place = opening.members(), opening.poll(), opening.place()
        self._number, self._answer_limit = place.number, poll.answer_limit / 10_000
        self._longest = max(lane.outer_limit for lane in lanes) / 10_000
        self._clock = Clock(self._loop, lambda: self.driver.due(), self._tick)
        decisions = Relay(
            place=place,
            lanes=lanes,
            members=members,
            allowance=allowance,
            duties=duties,
            trial=opening.trial(),
            poll=poll,
            tariff=opening.tariff(),
            chance=Random(int(config.seed, 16)),
            now=self._clock.now(),
        )
        self.driver = Driver(
            decisions, self, self._clock.now, lanes, duties, allowance.open_lookups, allowance.longest_advice
        )
        room = max(8, config.limits.sockets - SPARE)
        clients = int(room * CLIENTS)
        names = frozenset(opening.words("loadReport.names"))
        idle = opening.ticks("allowed.connIdleMs") / 10_000 or 10.0
        self.links = Links(
            self._loop,
            allowance.connect_limit / 10_000,
            idle,
            room - clients,
            VALUE + 8192,
            names,
            self._log,
        )
        self.links.driver = self.driver
        self.front = Front(
            self._loop,
            self.driver,
            {member.name: member for member in members},
            clients,
            2 * VALUE + 4096,
            duties.answer_slack,
            self._log,
        )
        self.front.after = self.links.after = self.after
        # The clock of all machines, as the driver's: what the roster says of starts is in Unix time.
        self._offset = self._clock.now() - int(time.time() * 10_000)
        if config.known.servers:
            self._listed(listed(config.known))
        self.driver.news(config.platform.news.line(), False, Fate.DONE)
        self._discovery = self._discover(config)
        self._desk = self._open_desk(config)
        told = ("instances", "familyInfo", "contract", "allowed", "requestClasses")
        self._log.info(
            "told", **{name: config.settings.get(name) for name in told}, limits=str(config.limits)
        )

    def _discover(self, config: Config) -> Discovery:
        return Discovery(
            self._loop, config.discovery, config.known.version, self._listed, self._chance, self._log
        )

    def _open_desk(self, config: Config) -> Desk:
        where = config.platform.address
        return Desk(self._loop, where, self._news, self._answer_limit, self._chance, self._log)

    def _listed(self, found: Listed) -> None:
        self.driver.listed(found, self._offset)
        self._knows.set()
        self.after()

    def _news(self, line: NewsLine | None, answer: bool, word: Fate) -> None:
        self.driver.news(line, answer, word)
        self.after()

    # Running

    async def run(self, config: Config) -> None:
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGINT, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)
        gc.callbacks.append(self._collected)
        self._watch = self._task(self._discovery.run())
        self._desk_task = self._task(self._desk.run())
        if config.peer_listen:
            self._open_letters(*address(config.peer_listen))
        if not config.known.servers:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._knows.wait(), 10)
        host, port = address(config.listen)
        try:
            self.front.listen(host, port)
        except OSError as fault:
            self._log.error("cannot listen", address=config.listen, reason=str(fault))
            raise SystemExit(1) from None
        self._log.info("listening", address=config.listen)
        self.after()
        sweeper = self._task(self._sweep())
        await self._stop.wait()
        self._log.info("draining", open=len(self.driver.tickets))
        await self.front.drain(LINGER, self._longest + 0.5)
        sweeper.cancel()
        self.links.shut()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._log.info("stopped", **self.state())

    def stop(self) -> None:
        """Begins to drain; `run` returns when that is done."""
        self._stop.set()

    def _task(self, what: Any) -> asyncio.Task[Any]:
        task = self._loop.create_task(what)
        self._tasks[task] = None
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("a task failed", exc_info=fault)

    def after(self) -> None:
        """To be called when the driver has been told something: sets out trips, and the timer."""
        links = self.links
        while links.waiting:
            trips, links.waiting = links.waiting, []
            for trip in trips:
                links.go(trip)
        self._clock.arm()

    def _tick(self) -> None:
        self.driver.tick()
        self.after()

    async def _sweep(self) -> None:
        count = 0
        while True:
            before = self._loop.time()
            await asyncio.sleep(SWEEP)
            self._lag = max(self._lag, self._loop.time() - before - SWEEP)
            self.links.sweep()
            self.front.sweep()
            count += 1
            if count % SAID == 0:
                self._log.info("state", **self.state())
                self._lag = self._pause = 0.0

    def _collected(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._collecting = time.monotonic()
        else:
            self._pause = max(self._pause, time.monotonic() - self._collecting)

    def state(self) -> dict[str, Any]:
        counts, links, front = self.driver.counts, self.links, self.front
        return {
            "taken": counts.taken,
            "done": counts.done,
            "shed": counts.shed,
            "broken_off": counts.broken_off,
            "left": counts.left,
            "at_the_door": counts.at_the_door,
            "trips": counts.trips,
            "fates": {fate.value: many for fate, many in counts.fates.items()},
            "open": len(self.driver.tickets),
            "clients": len(front.clients),
            "unreadable": front.unreadable,
            "condemned": front.condemned,
            "evicted": front.evicted,
            "turned_off": front.turned_off,
            "units": len(self.driver.places),
            "links": len(links.links),
            "opened": links.opened,
            "reused": links.reused,
            "refused": links.refused,
            "unwelcome": links.unwelcome,
            "spoilt": links.spoilt,
            "short": links.short,
            "dropped": self._dropped,
            "discovery": self._discovery.up,
            "desk": self._desk.up,
            "lag_ms": round(self._lag * 1000, 1),
            "pause_ms": round(self._pause * 1000, 1),
            "cpu_s": round(time.process_time(), 2),
            "memory_mb": _resident(),
        }

    # Signals

    def reload(self) -> None:
        """SIGHUP: discovery and the desk move, once the new file can be read; all else stays."""
        try:
            config = configuration.load(self._path)
        except Malformed as fault:
            self._log.error("configuration not read anew: all stays as it was", reason=str(fault))
            return
        self._log.info("configuration read anew", discovery=config.discovery, desk=config.platform.address)
        self._watch.cancel()
        self._discovery = self._discover(config)
        self._watch = self._task(self._discovery.run())
        # The former desk answers what it was asked, until its connection ends.
        self._desk.retired = True
        self._desk = self._open_desk(config)
        self._desk_task = self._task(self._desk.run())

    # Hands

    def send(self, trip: Trip, ticket: Ticket) -> None:
        self.links.send(trip, ticket)

    def abandon(self, trip: Trip) -> bool:
        return self.links.abandon(trip)

    def probe(self, unit: Unit) -> None:
        self.links.probe(unit)

    def close(self, unit: Unit) -> None:
        self.links.close_idle(unit)

    def tell(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        if self._udp is None:
            return
        for number, place in enumerate(self._peers):
            if number == self._number or (peer is not None and number != peer):
                continue
            for payload in payloads:
                with contextlib.suppress(OSError):  # such messages may be lost
                    self._udp.sendto(datagrams.plain(payload), place)

    def vote(self, vote: Vote) -> None:
        self._desk.vote(vote)

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def note(self, text: str) -> None:
        self._log.info("note", text=text)

    # Letters

    def _open_letters(self, host: str, port: int) -> None:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((host, port))
        except OSError as fault:
            self._log.error("no letters", reason=str(fault))
            sock.close()
            return
        self._udp = sock
        self._loop.add_reader(sock, self._letters)

    def _letters(self) -> None:
        assert self._udp is not None
        for _ in range(64):  # bounded, so that a flood leaves time for lookups
            try:
                data, place = self._udp.recvfrom(512)
            except BlockingIOError:
                break
            except OSError:
                continue
            number, payload = self._number_at.get(place[:2]), datagrams.open_plain(data)
            if number is None or number == self._number or payload is None:
                self._dropped += 1
            else:
                self.driver.heard(number, payload)
        self.after()


def _resident() -> float:
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * 4096 / 1e6, 1)
    except (OSError, ValueError, IndexError):
        return 0.0
