"""The relay's process on the platform: front, links, feeds, letters and signals around one driver."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from lanelead.configuration.value_types import EntryValue
from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import Attempt, AttemptOutcome, CastVote, Endpoint
from lanelead.postgres_relay import config as configuration
from lanelead.postgres_relay.applied_configuration import CLASSES, TENANTS, InForce, changed, entries, without_figures
from lanelead.postgres_relay.client_listener import Front
from lanelead.postgres_relay.config import Config, Following
from lanelead.postgres_relay.discovery_client import Discovery, Held
from lanelead.postgres_relay.endpoint_list_decoder import Lists
from lanelead.postgres_relay.event_loop_monitor import Pauses
from lanelead.postgres_relay.feed_handover import Succession
from lanelead.postgres_relay.gossip_transport import Letters
from lanelead.postgres_relay.rollout_client import Desk
from lanelead.postgres_relay.upstream_requests import Links
from lanelead.protocols.feeds import EndpointListMessage, MessageError, RolloutMessage
from lanelead.protocols.platform import parse_address
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.loop_clock import LoopClock
from lanelead.runtime.pending_requests import PendingRequest

if TYPE_CHECKING:
    from lanelead.postgres_relay.configuration_client import Feed

SPARE = 24  # descriptors for listening, feeds, letters, the log and the interpreter
CLIENTS = 0.5  # of the other descriptors; the rest go to units
VALUE = 65536  # bytes of the largest value
LINGER = 0.55  # seconds after SIGTERM that clients still come
KILLED = 2.7  # and so many more, at most, to answer: SIGKILL may come 3.7 s after SIGTERM
FIRST = 0.6  # seconds for discovery's first answer, where no list was given
SWEEP = 0.25
SAID = 20  # sweeps from one line on the relay's state to the next


class Service:
    def __init__(self, config: Config, path: str, log: Any) -> None:
        self._path, self._config, self._log = path, config, log.bind(relay=config.name)
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        self._over = False
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._rng = Random(f"feeds {config.seed}")
        self._knows = asyncio.Event()
        self._pauses = Pauses()
        self._build(config)

    def _build(self, config: Config) -> None:
        opening = config.opening
        request_classes, limits, quota = opening.request_classes(), opening.service_limits(), opening.resource_quota()
        members, poll, place = opening.tenants(), opening.voting_rules(), opening.position()
        self._answer_limit, trial = poll.vote_timeout / 10_000, opening.canary_limits()
        self._stages = len(trial.shares)
        self._clock = LoopClock(self._loop, lambda: self.driver.next_timer(), self._tick)
        decisions = Balancer(
            place=place,
            request_classes=request_classes,
            tenants=members,
            quota=quota,
            limits=limits,
            trial=trial,
            poll=poll,
            prices=opening.prices(),
            rng=Random(int(config.seed, 16)),
            now=self._clock.now(),
        )
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=self._clock.now,
            request_classes=request_classes,
            limits=limits,
            max_pending=quota.max_in_flight,
            max_retry_after=quota.max_retry_after,
        )
        tenants = {tenant.name: tenant for tenant in members}
        self._in_force = InForce(tenants, self.driver.request_classes, decisions.parameters.update)
        self._following: Feed | None = None
        room = max(8, config.limits.sockets - SPARE)
        clients = int(room * CLIENTS)
        names = frozenset(opening.texts("loadReport.names"))
        idle = opening.ticks("allowed.connIdleMs") / 10_000 or 10.0
        self.links = Links(
            self._loop,
            quota.connect_timeout / 10_000,
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
            tenants,
            clients,
            2 * VALUE + 4096,
            limits.response_slack,
            self._log,
        )
        self.front.after = self.links.after = self.after
        # The clock of all machines, as the driver's: what the roster says of starts is in Unix time.
        self._offset = self._clock.now() - int(time.time() * 10_000)
        self._lists = Lists(self.driver, self._offset, self._log)
        if config.known.servers:
            self._listed(self._lists.read(config.known))
        self._held = Held(config.known.version)
        self.driver.rollout_read(config.platform.news.line(), False, AttemptOutcome.SUCCEEDED)
        self._discovery: Succession[Discovery] = Succession(self._task)
        self._desk: Succession[Desk] = Succession(self._task)
        self._letters = Letters(
            self._loop, place.number, config.peers, self.driver.gossip_received, self.after, self._log
        )
        told = ("instances", "familyInfo", "contract", "allowed", "requestClasses")
        self._log.info("told", **{name: config.settings.get(name) for name in told}, limits=str(config.limits))

    def _feed(self, config: Config) -> None:
        """Discovery and the desk as this configuration names them; earlier ones end once these speak."""
        self._discovery.begin(
            Discovery(
                self._loop,
                config.discovery,
                self._held,
                self._lists.read,
                self._listed,
                self._rng,
                self._log,
            )
        )
        self._desk.begin(
            Desk(
                self._loop,
                config.platform.address,
                self._news,
                self._answer_limit,
                self._rng,
                self._log,
            )
        )

    def _listed(self, found: EndpointListMessage) -> None:
        self.driver.endpoints_listed(found, self._offset)
        self._knows.set()
        self.after()

    def _news(self, line: RolloutMessage | None, answer: bool, word: AttemptOutcome) -> None:
        if line is not None and line.stage >= self._stages:
            if line.phase == "trial":
                raise MessageError(f"news of stage {line.stage}, of {self._stages} in the settings")
            # Guards against a released build that would pass for one on trial: its units, which may be all
            # there are, would get the first stage's share. Off trial the stage says nothing more.
            line = replace(line, stage=self._stages - 1)
        self.driver.rollout_read(line, answer, word)
        self.after()

    # Running

    def answer_signals(self) -> None:
        """SIGTERM and SIGINT stop the relay, SIGHUP moves its feeds."""
        for number, answer in (
            (signal.SIGTERM, self.stop),
            (signal.SIGINT, self.stop),
            (signal.SIGHUP, self.reload),
        ):
            self._loop.add_signal_handler(number, answer)

    async def run(self, config: Config) -> None:
        self._pauses.watch()
        self._feed(config)
        if config.peer_listen:
            self._letters.open(*parse_address(config.peer_listen))
        if config.configuration is not None:
            self._follow(config, config.configuration)
        if not config.known.servers:
            await self._first_list()
        if not self._stop.is_set():  # told to stop before anybody could come: nothing was taken
            await self._serve(*parse_address(config.listen))
        self._over = True
        self.links.shut()
        self._letters.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._pauses.end()
        self._log.info("stopped", **self.state())

    def _follow(self, config: Config, following: Following) -> None:
        """Begins to follow the configuration: only here is its code imported."""
        from lanelead.postgres_relay.configuration_client import Feed

        self._following = Feed(
            self._loop,
            config.opening.position().number,
            following,
            entries(config.settings),
            self._put,
            self._rng,
            self._log,
        )
        self._task(self._following.run())

    def _put(self, keys: Sequence[str], values: Mapping[str, EntryValue]) -> None:
        if unknown := self._in_force.put(keys, values):
            self._log.warning(
                "figures of classes that the settings do not have",
                keys=unknown[:10],
                remedy="name the class in the file and restart the relay, or remove the key",
            )
        self._log.info("configuration in force", keys=len(keys), first=list(keys[:3]))
        self.after()

    async def _first_list(self) -> None:
        """A moment for discovery's first answer, which comes at once where discovery is up. Without one the
        relay still listens: a refusal, harmless to repeat, is better than no answer."""
        waits = [self._loop.create_task(event.wait()) for event in (self._knows, self._stop)]
        await asyncio.wait(waits, timeout=FIRST, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not self._knows.is_set():
            self._log.warning("no list of units yet", remedy="look at discovery; lookups are refused until it answers")

    async def _serve(self, host: str, port: int) -> None:
        try:
            self.front.listen(host, port)
        except OSError as fault:
            self._log.error("cannot listen", address=f"{host}:{port}", reason=str(fault))
            raise SystemExit(1) from None
        self._log.info("listening", address=f"{host}:{port}")
        self.after()
        sweeper = self._task(self._sweep())
        await self._stop.wait()
        self._log.info("draining", open=len(self.driver.pending))
        longest = max(request_class.timeout for request_class in self.driver.request_classes.values()) / 10_000
        await self.front.drain(LINGER, min(longest, KILLED))
        sweeper.cancel()

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
        self.links.set_out()
        self._clock.arm()

    def _tick(self) -> None:
        self.driver.tick()
        self.after()

    async def _sweep(self) -> None:
        count = 0
        while True:
            before = self._loop.time()
            await asyncio.sleep(SWEEP)
            self._pauses.late(self._loop.time() - before - SWEEP)
            try:
                self.links.sweep()
                self.front.sweep()
            except Exception:
                # Guards against one fault of ours after which nothing would be swept any more.
                self._log.exception("a sweep failed")
            count += 1
            if count % SAID == 0:
                self._log.info("state", **self.state())
                self._pauses.anew()

    def state(self) -> dict[str, Any]:
        counts, links, front = self.driver.counters, self.links, self.front
        return {
            "taken": counts.received,
            "done": counts.succeeded,
            "shed": counts.rejected,
            "broken_off": counts.failed,
            "left": counts.abandoned,
            "at_the_door": counts.over_limit,
            "trips": counts.attempts,
            "fates": {outcome.value: many for outcome, many in counts.outcomes.items()},
            "open": len(self.driver.pending),
            "clients": len(front.clients),
            "unreadable": front.unreadable,
            "condemned": front.condemned,
            "evicted": front.evicted,
            "turned_off": front.turned_off,
            "refused_clients": front.refused,
            "overdue": front.overdue,
            "units": len(self.driver.destinations),
            "links": len(links.links),
            "opened": links.opened,
            "reused": links.reused,
            "refused": links.refused,
            "unwelcome": links.unwelcome,
            "spoilt": links.spoilt,
            "short": links.short,
            "refused_lists": self._held.refused,
            "refused_entries": self._lists.refused,
            "dropped": self._letters.dropped,
            **({"configuration": self._following.follower.state} if self._following is not None else {}),
            "passed_over": dict(self.driver.registry.short_ids.skipped),
            "discovery": self._discovery.newest.up,
            "desk": self._desk.newest.up,
            **self._pauses.state(),
        }

    # Signals

    def reload(self) -> None:
        """SIGHUP: discovery and the desk move, once the new file can be read; all else stays."""
        if self._over:
            return
        try:
            config = configuration.load(self._path)
        except MessageError as fault:
            self._log.error(
                "configuration not read anew: all stays as it was",
                reason=str(fault),
                remedy="put the file right and send SIGHUP again",
            )
            return
        names = ("name", "listen", "limits", "peer_listen", "peers", "peers_all")
        kept = [name for name in names if getattr(config, name) != getattr(self._config, name)]
        old, new = self._config.settings, config.settings
        taken = self._take_figures(config) if self._following is None else []
        paths = sorted(name for name in {*old, *new} if name not in taken)
        kept += [f"settings.{name}" for name in paths if old.get(name) != new.get(name)]
        self._log.info(
            "configuration read anew",
            discovery=config.discovery,
            desk=config.platform.address,
            ignored_until_restart=kept,
        )
        self._feed(config)

    def _take_figures(self, config: Config) -> list[str]:
        """Puts the file's tenants and classes' figures in force; gives the settings that this covers. A relay
        that follows the configuration goes by that."""
        old, new = self._config.settings, config.settings
        keys, values, faults = changed(old, new)
        for fault in faults[:10]:
            self._log.warning("a figure of the file was refused", reason=str(fault), remedy="the last good one stays")
        if keys:
            self._put(keys, values)
        kept = {name: new.get(name) for name in (TENANTS, CLASSES)}
        self._config = replace(self._config, settings={**old, **kept})
        return [TENANTS, CLASSES] if without_figures(old) == without_figures(new) else [TENANTS]

    # Hands

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.links.send(attempt, pending)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.links.abandon(attempt)

    def check_health(self, unit: Endpoint) -> None:
        self.links.probe(unit)

    def close_idle_connections(self, unit: Endpoint) -> None:
        self.links.close_idle(unit)

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        self._letters.tell(peer, payloads)

    def cast_vote(self, vote: CastVote) -> None:
        self._desk.newest.vote(vote)

    def watch_endpoints(self, on: bool) -> None: ...

    def poll_endpoints(self) -> None: ...

    def log_event(self, text: str) -> None:
        self._log.info("note", text=text)
