"""The service of the relay on the platform.

It connects one decision driver to the client listener, the upstream requests, the feeds (discovery and the rollout
platform), gossip, the configuration and signals.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Mapping, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from lanelead.configuration.value_types import EntryValue
from lanelead.decisions.interface import AttemptOutcome, CastVote
from lanelead.postgres_relay.applied_configuration import (
    CLASSES_SETTING,
    TENANTS_SETTING,
    AppliedConfiguration,
    entries_of_settings,
)
from lanelead.postgres_relay.client_listener import ClientListener, ListenerLimits
from lanelead.postgres_relay.config import ConfigurationSources, RelayConfig
from lanelead.postgres_relay.discovery_client import DiscoveryClient, ListState
from lanelead.postgres_relay.endpoint_list_decoder import EndpointListDecoder
from lanelead.postgres_relay.event_loop_monitor import EventLoopMonitor
from lanelead.postgres_relay.feed_handover import FeedHandover
from lanelead.postgres_relay.gossip_transport import GossipTransport
from lanelead.postgres_relay.reloading import FileReloader, Reload, ignored_until_restart, read_again
from lanelead.postgres_relay.rollout_client import RolloutClient
from lanelead.postgres_relay.service_parameters import BYTES_PER_MB, MAX_VALUE_BYTES, ServiceParameters
from lanelead.postgres_relay.state_document import client_counts, request_counts, upstream_counts
from lanelead.postgres_relay.upstream_requests import UpstreamRequests
from lanelead.protocols.feeds import EndpointListMessage, MessageError, RolloutMessage
from lanelead.protocols.platform import parse_address
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.host_operations_base import HostOperationsBase
from lanelead.runtime.listening import listen_with_retry
from lanelead.runtime.loop_clock import LoopClock
from lanelead.runtime.memory_guard import MemoryGuard

if TYPE_CHECKING:
    from lanelead.postgres_relay.configuration_client import ConfigurationClient

DRAIN_LINGER_SECONDS = 0.55  # after SIGTERM the listener stays open for this long, since clients still connect
DRAIN_RESPONSE_SECONDS = 2.7  # maximum time for responses after that: SIGKILL may come 3.7 s after SIGTERM
FIRST_LIST_TIMEOUT_SECONDS = 0.6  # wait for discovery's first response if the configuration file has no endpoint list
SWEEP_INTERVAL_SECONDS = 0.25  # between checks of the connections' timeouts
SWEEPS_PER_STATE_LINE = 20  # after so many sweeps the state document is logged
MAX_LOGGED_ERRORS = 10
# Logged at the start: `familyInfo` has canary limits and voting rules, `contract` service limits, `allowed` the quota.
LOGGED_SETTINGS = ("instances", "familyInfo", "contract", "allowed", "requestClasses")


class Service(HostOperationsBase):
    """One relay, which must be created on a running event loop; `run` serves until `stop` or a signal.

    `path` is the relay's file, which SIGHUP reads again; `config`, what it held at the start, is also passed to `run`.
    To follow a configuration means to take tenants' and classes' values from replicas over HTTP, instead of the file.
    """

    def __init__(self, config: RelayConfig, path: str, log: Any) -> None:
        super().__init__(asyncio.get_running_loop(), log.bind(relay=config.name))
        self._path = path
        self._config = config
        self._stop = asyncio.Event()
        self._ended = False
        self._reloader = FileReloader(
            path, self._read_again, self._apply_reload, self._background_tasks.start, self._log
        )
        self._rng = Random(f"feeds {config.seed}")
        self._endpoints_known = asyncio.Event()
        self._event_loop_monitor = EventLoopMonitor()
        self._configuration_client: ConfigurationClient | None = None
        parameters = ServiceParameters.read(config)
        self._vote_timeout = parameters.voting_rules.vote_timeout / 10_000  # ticks to seconds
        self._stage_count = len(parameters.canary_limits.shares)
        self._create_decisions(parameters, config.seed)
        self._create_connections(parameters)
        self._create_feeds(parameters, config)
        logged = {name: config.settings.get(name) for name in LOGGED_SETTINGS}
        self._log.info("settings read", **logged, limits=str(config.limits), memory_plan=str(parameters.memory_plan))
        if not parameters.memory_plan.is_sufficient:
            self._log.warning(
                "the memory limit leaves little for clients", remedy="raise limits.memory_mb or lower limits.sockets"
            )

    # Construction

    def _create_decisions(self, parameters: ServiceParameters, seed: str) -> None:
        self._clock = LoopClock(self._loop, lambda: self.driver.next_timer(), self._on_timer)
        decisions = parameters.create_balancer(seed, self._clock.now())
        self.driver = DecisionDriver(
            decisions=decisions,
            host=self,
            clock=self._clock.now,
            request_classes=parameters.request_classes,
            limits=parameters.service_limits,
            max_pending=parameters.resource_quota.max_in_flight,
            max_retry_after=parameters.resource_quota.max_retry_after,
        )
        self._tenants = {tenant.name: tenant for tenant in parameters.tenants}
        self._applied_configuration = AppliedConfiguration(
            self._tenants, self.driver.request_classes, decisions.parameters.update
        )

    def _create_connections(self, parameters: ServiceParameters) -> None:
        self.upstream: UpstreamRequests = UpstreamRequests(
            self._loop, parameters.pool_limits(), parameters.report_names, self._log
        )
        self.upstream.driver = self.driver
        self.listener = ClientListener(
            self._loop,
            self.driver,
            self._tenants,
            ListenerLimits(
                max_connections=parameters.max_clients,
                max_query_bytes=2 * MAX_VALUE_BYTES + 4096,
                memory=parameters.memory_plan,
                response_slack=parameters.service_limits.response_slack,
            ),
            self._log,
        )
        limit_bytes = int(self._config.limits.memory_mb * BYTES_PER_MB)
        self._memory_guard = MemoryGuard(self.listener.buffers, limit_bytes, self._log)
        self.listener.after_event = self.after_event
        self.upstream.after_event = self.after_event

    def _create_feeds(self, parameters: ServiceParameters, config: RelayConfig) -> None:
        """Creates what the feeds need, and gives the driver the endpoint list and the rollout stage of the file."""
        # Discovery gives the start times of endpoints in Unix time; the offset converts them to the driver's clock.
        self._clock_offset = self._clock.now() - int(time.time() * 10_000)
        self._list_decoder = EndpointListDecoder(self.driver, self._clock_offset, self._log)
        if config.known.entries:
            self._on_endpoint_list(self._list_decoder.decode(config.known))
        self._list_state = ListState(config.known.version)
        self.driver.rollout_read(config.platform.rollout.to_rollout_message(), False, AttemptOutcome.SUCCEEDED)
        self._discovery_handover: FeedHandover[DiscoveryClient] = FeedHandover(self._background_tasks.start)
        self._rollout_handover: FeedHandover[RolloutClient] = FeedHandover(self._background_tasks.start)
        self._gossip_transport = GossipTransport(
            self._loop,
            number=parameters.position.number,
            peers=config.peers,
            on_gossip=self.driver.gossip_received,
            after_batch=self.after_event,
            log=self._log,
        )

    # Feeds

    def _start_feeds(self, config: RelayConfig) -> None:
        """Starts new clients of discovery and the rollout platform, which replace those that run by FeedHandover."""
        self._discovery_handover.start(
            DiscoveryClient(
                self._loop,
                address=config.discovery,
                state=self._list_state,
                decode_list=self._list_decoder.decode,
                on_list=self._on_endpoint_list,
                rng=self._rng,
                log=self._log,
            )
        )
        self._rollout_handover.start(
            RolloutClient(
                self._loop,
                address=config.platform.address,
                notify=self._on_rollout_message,
                vote_timeout=self._vote_timeout,
                rng=self._rng,
                log=self._log,
            )
        )

    def _on_endpoint_list(self, message: EndpointListMessage) -> None:
        self.driver.endpoints_listed(message, self._clock_offset)
        self._endpoints_known.set()
        self.after_event()

    def _on_rollout_message(self, message: RolloutMessage | None, is_vote_reply: bool, outcome: AttemptOutcome) -> None:
        """Tells the driver of a stage or a vote's outcome; raises MessageError if a trial's stage is unknown."""
        if message is not None and message.stage >= self._stage_count:
            if message.phase == "trial":
                raise MessageError(
                    f"rollout stage {message.stage} does not exist: the settings have {self._stage_count} stages"
                )
            # In other phases the stage is reduced to the last one in the settings. If the message were rejected, a
            # released build that the relay has not heard of would still be treated as a canary, and its endpoints,
            # which may be all there are, would get only the first stage's share of requests.
            message = replace(message, stage=self._stage_count - 1)
        self.driver.rollout_read(message, is_vote_reply, outcome)
        self.after_event()

    def _follow_configuration(self, config: RelayConfig, sources: ConfigurationSources) -> None:
        """Starts the configuration client; raises MessageError if the file's entries exceed the section's limits.

        Its code is imported here, so that relays without a section `configuration` do not load it.
        """
        from lanelead.postgres_relay.configuration_client import ConfigurationClient

        self._configuration_client = ConfigurationClient(
            self._loop,
            number=config.parameters.position().number,
            following=sources,
            entries=entries_of_settings(config.settings),
            on_change=self._apply_configuration,
            rng=self._rng,
            log=self._log,
        )
        self._background_tasks.start(self._configuration_client.run())

    def _apply_configuration(self, keys: Sequence[str], values: Mapping[str, EntryValue]) -> None:
        """Applies the changed keys of the followed configuration, or of the file at a reload."""
        unknown = self._applied_configuration.apply(keys, values)
        if unknown:
            self._log.warning(
                "values of classes that the settings do not have",
                keys=unknown[:MAX_LOGGED_ERRORS],
                remedy="restart the relay with these classes in its file, or remove their values",
            )
        self._log.info("tenant and class values changed", keys=len(keys), first=list(keys[:3]))
        self.after_event()

    # Running

    def install_signal_handlers(self) -> None:
        """Makes SIGTERM and SIGINT stop the relay, and SIGHUP reload its configuration file."""
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGINT, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self.reload)

    async def run(self, config: RelayConfig) -> None:
        """Serves until `stop` is called, then drains and closes all connections.

        Raises SystemExit if the relay cannot listen at its address in time, and MessageError as `_follow_configuration`
        does.
        """
        self._event_loop_monitor.start()
        self._start_feeds(config)
        if config.peer_listen:
            self._gossip_transport.open(*parse_address(config.peer_listen))
        if config.configuration is not None:
            self._follow_configuration(config, config.configuration)
        if not config.known.entries:
            await self._wait_for_first_list()
        if not self._stop.is_set():  # if stopped before listening, there is nothing to drain
            await self._serve(*parse_address(config.listen))
        self._ended = True
        self.upstream.close_all()
        self._gossip_transport.close()
        await self._background_tasks.cancel_all()
        self._event_loop_monitor.stop()
        self._log.info("stopped", **self.state())

    async def _wait_for_first_list(self) -> None:
        """Waits for discovery's first list, until `stop` or a timeout.

        A discovery that is up responds at once. Without a list the relay listens all the same: a rejection, which is
        safe to retry, is better for clients than no response.
        """
        tasks = [self._loop.create_task(event.wait()) for event in (self._endpoints_known, self._stop)]
        await asyncio.wait(tasks, timeout=FIRST_LIST_TIMEOUT_SECONDS, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        if not self._endpoints_known.is_set():
            self._log.warning("no endpoint list yet", remedy="check discovery; requests are rejected until it responds")

    async def _serve(self, host: str, port: int) -> None:
        if await listen_with_retry(self.listener.listen, host, port, self._stop, self._log) is None:
            return
        self._log.info("listening", address=f"{host}:{port}")
        self.after_event()
        sweeper = self._background_tasks.start(self._sweep())
        await self._stop.wait()
        self._log.info("draining", pending=len(self.driver.pending))
        longest_timeout = max(request_class.timeout for request_class in self.driver.request_classes.values()) / 10_000
        await self.listener.drain(DRAIN_LINGER_SECONDS, min(longest_timeout, DRAIN_RESPONSE_SECONDS))
        sweeper.cancel()

    def stop(self) -> None:
        """Starts draining, or ends a relay that does not listen yet; `run` returns once that is done."""
        self._stop.set()

    def after_event(self) -> None:
        """Starts the attempts and health checks that the driver has enqueued, and sets the driver's timer.

        Must be called after each event that the driver was notified of.
        """
        self.upstream.start_waiting()
        self._clock.arm()

    def _on_timer(self) -> None:
        self.driver.tick()
        self.after_event()

    async def _sweep(self) -> None:
        """Applies connections' timeouts, measures the loop's lag, and logs the state, after which the lag is reset."""
        sweeps = 0
        while True:
            slept_at = self._loop.time()
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._event_loop_monitor.record_lag(self._loop.time() - slept_at - SWEEP_INTERVAL_SECONDS)
            try:
                self._memory_guard.check()
                self.upstream.sweep()
                self.listener.sweep()
            except Exception:  # noqa: BLE001 - logged; later sweeps must still run
                self._log.exception("a sweep failed")
            sweeps += 1
            if sweeps % SWEEPS_PER_STATE_LINE == 0:
                self._log.info("state", **self.state())
                self._event_loop_monitor.reset()

    def state(self) -> dict[str, Any]:
        """Returns the state document.

        It has the connections and newest feeds now, counts since the start, the longest lags since the last logged
        state, and the process's CPU time and memory.
        """
        client = self._configuration_client
        return {
            **request_counts(self.driver),
            **client_counts(self.listener),
            **upstream_counts(self.driver, self.upstream),
            "rejected_lists": self._list_state.rejected_lists,
            "rejected_entries": self._list_decoder.rejected_entries,
            "dropped_datagrams": self._gossip_transport.dropped_datagrams,
            **({} if client is None else {"configuration": client.follower.state}),
            "skipped_short_ids": dict(self.driver.registry.short_ids.skipped),
            "discovery_connected": self._discovery_handover.newest.connected,
            "rollout_connected": self._rollout_handover.newest.connected,
            "peak_memory_mb": round(self._memory_guard.peak_bytes / BYTES_PER_MB, 1),
            **self._event_loop_monitor.state(),
        }

    # Reload

    def reload(self) -> None:
        """Reads the relay's file again, and starts feeds from its addresses.

        The file's tenants and class values are applied as well, unless the relay follows a configuration. A file that
        `load` rejects changes nothing. Other changed settings and fields of `reloading.RESTART_FIELDS` are logged as
        ignored until a restart; other parts of the file, such as `configuration`, are ignored without a log line.
        """
        if not self._ended:
            self._reloader.request()

    def _read_again(self) -> Reload:
        # A relay that follows a configuration takes tenants and class values from there instead of its file.
        return read_again(self._path, self._config, with_values=self._configuration_client is None)

    def _apply_reload(self, reload: Reload) -> None:
        """Applies a file's changed tenants and class values; where one is invalid, the last good value stays."""
        old = self._config
        config = reload.config
        for error in reload.errors[:MAX_LOGGED_ERRORS]:
            self._log.warning(
                "invalid value in the file",
                reason=str(error),
                remedy="correct the file and send SIGHUP again; the last good value stays in force",
            )
        if reload.keys:
            self._apply_configuration(reload.keys, reload.values)
        if reload.applied:
            applied = {name: config.settings.get(name) for name in (TENANTS_SETTING, CLASSES_SETTING)}
            self._config = replace(old, settings={**old.settings, **applied})
        self._log.info(
            "configuration reloaded",
            discovery=config.discovery,
            rollout=config.platform.address,
            ignored_until_restart=ignored_until_restart(old, config, reload.applied),
        )
        self._start_feeds(config)

    # HostOperations, apart from the methods of HostOperationsBase

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """See `HostOperations`."""
        self._gossip_transport.send(peer, payloads)

    def cast_vote(self, vote: CastVote) -> None:
        """See `HostOperations`."""
        self._rollout_handover.newest.cast_vote(vote)

    def watch_endpoints(self, on: bool) -> None:
        """Does nothing: this relay always watches discovery."""

    def poll_endpoints(self) -> None:
        """Does nothing: this relay always watches discovery."""
