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
from lanelead.postgres_relay.applied_configuration import (
    CLASSES_SETTING,
    TENANTS_SETTING,
    AppliedConfiguration,
    changed_entries,
    classes_without_values,
    entries_of_settings,
)
from lanelead.postgres_relay.client_listener import ClientListener
from lanelead.postgres_relay.config import ConfigurationSources, RelayConfig
from lanelead.postgres_relay.discovery_client import DiscoveryClient, ListState
from lanelead.postgres_relay.endpoint_list_decoder import EndpointListDecoder
from lanelead.postgres_relay.event_loop_monitor import EventLoopMonitor
from lanelead.postgres_relay.feed_handover import FeedHandover
from lanelead.postgres_relay.gossip_transport import GossipTransport
from lanelead.postgres_relay.rollout_client import RolloutClient
from lanelead.postgres_relay.upstream_requests import UpstreamRequests
from lanelead.protocols.feeds import EndpointListMessage, MessageError, RolloutMessage
from lanelead.protocols.platform import parse_address
from lanelead.runtime.driver import DecisionDriver, PendingRequest
from lanelead.runtime.timers import Clock

if TYPE_CHECKING:
    from lanelead.postgres_relay.configuration_client import ConfigurationClient

RESERVED_DESCRIPTORS = 24  # descriptors for listening, feeds, letters, the log and the interpreter
CLIENT_DESCRIPTOR_SHARE = 0.5  # of the other descriptors; the rest go to units
MAX_VALUE_BYTES = 65536  # bytes of the largest value
DRAIN_LINGER_SECONDS = 0.55  # seconds after SIGTERM that clients still come
DRAIN_RESPONSE_SECONDS = 2.7  # and so many more, at most, to answer: SIGKILL may come 3.7 s after SIGTERM
FIRST_LIST_TIMEOUT_SECONDS = 0.6  # seconds for discovery's first answer, where no list was given
SWEEP_INTERVAL_SECONDS = 0.25
SWEEPS_PER_STATE_LINE = 20  # sweeps from one line on the relay's state to the next


class Service:
    def __init__(self, config: RelayConfig, path: str, log: Any) -> None:
        self._path, self._config, self._log = path, config, log.bind(relay=config.name)
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        self._ended = False
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._rng = Random(f"feeds {config.seed}")
        self._endpoints_known = asyncio.Event()
        self._event_loop_monitor = EventLoopMonitor()
        self._build(config)

    def _build(self, config: RelayConfig) -> None:
        opening = config.parameters
        request_classes, limits, quota = opening.request_classes(), opening.service_limits(), opening.resource_quota()
        members, poll, place = opening.tenants(), opening.voting_rules(), opening.position()
        self._vote_timeout, trial = poll.vote_timeout / 10_000, opening.canary_limits()
        self._stage_count = len(trial.shares)
        self._clock = Clock(self._loop, lambda: self.driver.next_timer(), self._on_timer)
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
            decisions, self, self._clock.now, request_classes, limits, quota.max_in_flight, quota.max_retry_after
        )
        tenants = {tenant.name: tenant for tenant in members}
        self._applied_configuration = AppliedConfiguration(
            tenants, self.driver.request_classes, decisions.parameters.update
        )
        self._configuration_client: ConfigurationClient | None = None
        room = max(8, config.limits.sockets - RESERVED_DESCRIPTORS)
        clients = int(room * CLIENT_DESCRIPTOR_SHARE)
        names = frozenset(opening.words("loadReport.names"))
        idle = opening.ticks("allowed.connIdleMs") / 10_000 or 10.0
        self.upstream = UpstreamRequests(
            self._loop,
            quota.connect_timeout / 10_000,
            idle,
            room - clients,
            MAX_VALUE_BYTES + 8192,
            names,
            self._log,
        )
        self.upstream.driver = self.driver
        self.listener = ClientListener(
            self._loop,
            self.driver,
            tenants,
            clients,
            2 * MAX_VALUE_BYTES + 4096,
            limits.response_slack,
            self._log,
        )
        self.listener.after_event = self.upstream.after_event = self.after_event
        # The clock of all machines, as the driver's: what the roster says of starts is in Unix time.
        self._clock_offset = self._clock.now() - int(time.time() * 10_000)
        self._list_decoder = EndpointListDecoder(self.driver, self._clock_offset, self._log)
        if config.known.servers:
            self._on_endpoint_list(self._list_decoder.decode(config.known))
        self._list_state = ListState(config.known.version)
        self.driver.rollout_read(config.platform.news.line(), False, AttemptOutcome.SUCCEEDED)
        self._discovery_handover: FeedHandover[DiscoveryClient] = FeedHandover(self._start_task)
        self._rollout_handover: FeedHandover[RolloutClient] = FeedHandover(self._start_task)
        self._gossip_transport = GossipTransport(
            self._loop, place.number, config.peers, self.driver.gossip_received, self.after_event, self._log
        )
        told = ("instances", "familyInfo", "contract", "allowed", "requestClasses")
        self._log.info("told", **{name: config.settings.get(name) for name in told}, limits=str(config.limits))

    def _start_feeds(self, config: RelayConfig) -> None:
        """Discovery and the desk as this configuration names them; earlier ones end once these speak."""
        self._discovery_handover.start(
            DiscoveryClient(
                self._loop,
                config.discovery,
                self._list_state,
                self._list_decoder.decode,
                self._on_endpoint_list,
                self._rng,
                self._log,
            )
        )
        self._rollout_handover.start(
            RolloutClient(
                self._loop,
                config.platform.address,
                self._on_rollout_message,
                self._vote_timeout,
                self._rng,
                self._log,
            )
        )

    def _on_endpoint_list(self, found: EndpointListMessage) -> None:
        self.driver.endpoints_listed(found, self._clock_offset)
        self._endpoints_known.set()
        self.after_event()

    def _on_rollout_message(self, line: RolloutMessage | None, answer: bool, word: AttemptOutcome) -> None:
        if line is not None and line.stage >= self._stage_count:
            if line.phase == "trial":
                raise MessageError(f"news of stage {line.stage}, of {self._stage_count} in the settings")
            # Guards against a released build that would pass for one on trial: its units, which may be all
            # there are, would get the first stage's share. Off trial the stage says nothing more.
            line = replace(line, stage=self._stage_count - 1)
        self.driver.rollout_read(line, answer, word)
        self.after_event()

    # Running

    def install_signal_handlers(self) -> None:
        """SIGTERM and SIGINT stop the relay, SIGHUP moves its feeds."""
        for number, answer in (
            (signal.SIGTERM, self.stop),
            (signal.SIGINT, self.stop),
            (signal.SIGHUP, self.reload),
        ):
            self._loop.add_signal_handler(number, answer)

    async def run(self, config: RelayConfig) -> None:
        self._event_loop_monitor.start()
        self._start_feeds(config)
        if config.peer_listen:
            self._gossip_transport.open(*parse_address(config.peer_listen))
        if config.configuration is not None:
            self._follow_configuration(config, config.configuration)
        if not config.known.servers:
            await self._wait_for_first_list()
        if not self._stop.is_set():  # told to stop before anybody could come: nothing was taken
            await self._serve(*parse_address(config.listen))
        self._ended = True
        self.upstream.close_all()
        self._gossip_transport.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._event_loop_monitor.stop()
        self._log.info("stopped", **self.state())

    def _follow_configuration(self, config: RelayConfig, following: ConfigurationSources) -> None:
        """Begins to follow the configuration: only here is its code imported."""
        from lanelead.postgres_relay.configuration_client import ConfigurationClient

        self._configuration_client = ConfigurationClient(
            self._loop,
            config.parameters.position().number,
            following,
            entries_of_settings(config.settings),
            self._apply_configuration,
            self._rng,
            self._log,
        )
        self._start_task(self._configuration_client.run())

    def _apply_configuration(self, keys: Sequence[str], values: Mapping[str, EntryValue]) -> None:
        if unknown := self._applied_configuration.apply(keys, values):
            self._log.warning(
                "figures of classes that the settings do not have",
                keys=unknown[:10],
                remedy="name the class in the file and restart the relay, or remove the key",
            )
        self._log.info("configuration in force", keys=len(keys), first=list(keys[:3]))
        self.after_event()

    async def _wait_for_first_list(self) -> None:
        """A moment for discovery's first answer, which comes at once where discovery is up. Without one the
        relay still listens: a refusal, harmless to repeat, is better than no answer."""
        waits = [self._loop.create_task(event.wait()) for event in (self._endpoints_known, self._stop)]
        await asyncio.wait(waits, timeout=FIRST_LIST_TIMEOUT_SECONDS, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if not self._endpoints_known.is_set():
            self._log.warning("no list of units yet", remedy="look at discovery; lookups are refused until it answers")

    async def _serve(self, host: str, port: int) -> None:
        try:
            self.listener.listen(host, port)
        except OSError as fault:
            self._log.error("cannot listen", address=f"{host}:{port}", reason=str(fault))
            raise SystemExit(1) from None
        self._log.info("listening", address=f"{host}:{port}")
        self.after_event()
        sweeper = self._start_task(self._sweep())
        await self._stop.wait()
        self._log.info("draining", open=len(self.driver.pending))
        longest = max(request_class.timeout for request_class in self.driver.request_classes.values()) / 10_000
        await self.listener.drain(DRAIN_LINGER_SECONDS, min(longest, DRAIN_RESPONSE_SECONDS))
        sweeper.cancel()

    def stop(self) -> None:
        """Begins to drain; `run` returns when that is done."""
        self._stop.set()

    def _start_task(self, what: Any) -> asyncio.Task[Any]:
        task = self._loop.create_task(what)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log.error("a task failed", exc_info=fault)

    def after_event(self) -> None:
        """To be called when the driver has been told something: sets out trips, and the timer."""
        self.upstream.start_waiting()
        self._clock.arm()

    def _on_timer(self) -> None:
        self.driver.tick()
        self.after_event()

    async def _sweep(self) -> None:
        count = 0
        while True:
            before = self._loop.time()
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._event_loop_monitor.record_lag(self._loop.time() - before - SWEEP_INTERVAL_SECONDS)
            try:
                self.upstream.sweep()
                self.listener.sweep()
            except Exception:
                # Guards against one fault of ours after which nothing would be swept any more.
                self._log.exception("a sweep failed")
            count += 1
            if count % SWEEPS_PER_STATE_LINE == 0:
                self._log.info("state", **self.state())
                self._event_loop_monitor.reset()

    def state(self) -> dict[str, Any]:
        counts, links, front = self.driver.counters, self.upstream, self.listener
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
            "unreadable": front.unreadable_statements,
            "condemned": front.protocol_violations,
            "evicted": front.evicted_connections,
            "turned_off": front.rejected_connections,
            "refused_clients": front.rejections,
            "overdue": front.overdue_requests,
            "units": len(self.driver.destinations),
            "links": len(links.connections),
            "opened": links.opened,
            "reused": links.reused_connections,
            "refused": links.refused_connections,
            "unwelcome": links.handshake_timeouts,
            "spoilt": links.malformed_responses,
            "short": links.descriptor_shortages,
            "refused_lists": self._list_state.rejected_lists,
            "refused_entries": self._list_decoder.rejected_entries,
            "dropped": self._gossip_transport.dropped_datagrams,
            **(
                {"configuration": self._configuration_client.follower.state}
                if self._configuration_client is not None
                else {}
            ),
            "passed_over": dict(self.driver.registry.short_ids.skipped),
            "discovery": self._discovery_handover.newest.connected,
            "desk": self._rollout_handover.newest.connected,
            **self._event_loop_monitor.state(),
        }

    # Signals

    def reload(self) -> None:
        """SIGHUP: discovery and the desk move, once the new file can be read; all else stays."""
        if self._ended:
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
        taken = self._apply_file_values(config) if self._configuration_client is None else []
        paths = sorted(name for name in {*old, *new} if name not in taken)
        kept += [f"settings.{name}" for name in paths if old.get(name) != new.get(name)]
        self._log.info(
            "configuration read anew",
            discovery=config.discovery,
            desk=config.platform.address,
            ignored_until_restart=kept,
        )
        self._start_feeds(config)

    def _apply_file_values(self, config: RelayConfig) -> list[str]:
        """Puts the file's tenants and classes' figures in force; gives the settings that this covers. A relay
        that follows the configuration goes by that."""
        old, new = self._config.settings, config.settings
        keys, values, faults = changed_entries(old, new)
        for fault in faults[:10]:
            self._log.warning("a figure of the file was refused", reason=str(fault), remedy="the last good one stays")
        if keys:
            self._apply_configuration(keys, values)
        kept = {name: new.get(name) for name in (TENANTS_SETTING, CLASSES_SETTING)}
        self._config = replace(self._config, settings={**old, **kept})
        return (
            [TENANTS_SETTING, CLASSES_SETTING]
            if classes_without_values(old) == classes_without_values(new)
            else [TENANTS_SETTING]
        )

    # Hands

    def start_attempt(self, attempt: Attempt, pending: PendingRequest) -> None:
        self.upstream.enqueue_attempt(attempt, pending)

    def cancel_attempt(self, attempt: Attempt) -> bool:
        return self.upstream.cancel_attempt(attempt)

    def check_health(self, unit: Endpoint) -> None:
        self.upstream.enqueue_health_check(unit)

    def close_idle_connections(self, unit: Endpoint) -> None:
        self.upstream.close_idle(unit)

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        self._gossip_transport.send(peer, payloads)

    def cast_vote(self, vote: CastVote) -> None:
        self._rollout_handover.newest.cast_vote(vote)

    def watch_endpoints(self, on: bool) -> None: ...

    def poll_endpoints(self) -> None: ...

    def log_event(self, text: str) -> None:
        self._log.info("note", text=text)
