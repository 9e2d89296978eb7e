"""The process of an HTTP relay: assembles its parts around one driver, starts and drains them, reports their state."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import CastVote, Decisions, RequestClass, ServiceLimits, Tenant, Ticks
from lanelead.decisions.zone_spillover import NO_ZONE_PREFERENCE
from lanelead.http_relay.client_listener import ClientListener
from lanelead.http_relay.connection_pool import PoolLimits
from lanelead.http_relay.feed_clients import FeedClients
from lanelead.http_relay.gossip_transport import GossipTransport
from lanelead.http_relay.membership_transport import MembershipTransport
from lanelead.http_relay.upstream_requests import UpstreamRequests
from lanelead.migrations.readiness import Readiness
from lanelead.runtime.driver import DecisionDriver
from lanelead.runtime.endpoint_list import TICKS_PER_MS
from lanelead.runtime.host_operations_base import HostOperationsBase
from lanelead.runtime.listening import listen_with_retry
from lanelead.runtime.loop_clock import LoopClock
from lanelead.runtime.memory_guard import MemoryGuard
from lanelead.runtime.process_memory import resident_bytes
from lanelead.settings.relay_settings import NO_PRICES, RelaySettings, position_of
from lanelead.settings.service_settings import ticks

DecisionWrapper = Callable[[Decisions], Decisions]  # for tests only: wraps the decisions that the driver calls

MEMORY_LIMIT_BYTES = 192_000_000  # that the process may take, with the kernel's queues of its connections
SWEEP_INTERVAL_SECONDS = 0.25
DRAIN_SLACK_SECONDS = 1.0  # beyond the longest deadline of a request
RESPONSE_HEAD_BYTES = 65536  # allowance for the head of an endpoint's response
RESPONSE_BODY_FACTOR = 4  # maximum size of an endpoint's response body, relative to that of a request body


class Service(HostOperationsBase):
    """One relay, whose process may take `memory_limit_bytes`.

    `wrapper` is for tests only: it disables one guard of the decisions by wrapping them.
    """

    def __init__(
        self,
        settings: RelaySettings,
        log: Any,
        wrapper: DecisionWrapper | None = None,
        memory_limit_bytes: int = MEMORY_LIMIT_BYTES,
    ) -> None:
        super().__init__(asyncio.get_running_loop(), log.bind(relay=settings.number))
        self._settings = settings
        self._stop = asyncio.Event()
        self._clock = LoopClock(self._loop, self._next_timer, self._tick)
        self.clock = self._clock.now
        self.membership: MembershipTransport | None = None
        self._gossip: GossipTransport | None = None
        self.upstream: UpstreamRequests = self._make_upstream()
        self._feeds = FeedClients(
            self._loop,
            settings,
            clock=self.clock,
            after_event=self._after_event,
            start_task=self._background_tasks.start,
            log=self._log,
        )
        self.driver = self._make_driver(wrapper)  # may already call `watch_endpoints` on self._feeds
        self._feeds.driver = self.driver
        self.upstream.driver = self.driver
        self.upstream.after_event = self._after_event
        self.listener = ClientListener(
            self._loop,
            settings.service,
            self.driver,
            clock=self.clock,
            state=self.state,
            log=self._log,
            tenants=self._tenants,
            memory_limit_bytes=memory_limit_bytes,
        )
        self.listener.after_event = self._after_event
        self.upstream.pools.memory = self.listener.memory
        self.upstream.pools.add_response_bytes = self.listener.buffers.add_responses
        self._memory_guard = MemoryGuard(self.listener.buffers, memory_limit_bytes, self._log)
        self._log.info("memory divided", memory_plan=str(self.listener.memory))

    # Assembly

    def _make_upstream(self) -> UpstreamRequests:
        quota = self._settings.service.allowance
        limits = PoolLimits(
            connect_seconds=quota.connect_limit_ms / 1000,
            idle_seconds=quota.idle_limit_ms / 1000,
            connections=quota.unit_connections,
            response_bytes=RESPONSE_BODY_FACTOR * quota.body_bytes + RESPONSE_HEAD_BYTES,
        )
        return UpstreamRequests(
            self._loop,
            relay_number=self._settings.number,
            limits=limits,
            report_names=frozenset(self._settings.reports),
            log=self._log,
        )

    def _make_driver(self, wrapper: DecisionWrapper | None) -> DecisionDriver:
        settings = self._settings
        service = settings.service
        quota = service.allowance
        request_classes = [row.to_parameters() for row in service.lanes]
        limits = service.duties.to_parameters(settings.discovery == "subscribe")
        self._tenants = [Tenant(row.name, row.quota, row.share) for row in service.members]
        decisions: Decisions = Balancer(
            position=position_of(settings),
            request_classes=request_classes,
            tenants=self._tenants,
            quota=quota.to_parameters(settings.peers is not None),
            limits=limits,
            canary_limits=service.trial.to_parameters(),
            voting_rules=service.poll.to_parameters(),
            prices=NO_PRICES,
            rng=Random(settings.seed * 65537 + settings.number),
            now=self.clock(),
            preference=NO_ZONE_PREFERENCE if settings.spill is None else settings.spill.to_parameters(),
        )
        if wrapper is not None:
            decisions = wrapper(decisions)
        return DecisionDriver(
            decisions=decisions,
            host=self,
            clock=self.clock,
            request_classes=request_classes,
            limits=limits,
            max_pending=quota.open_lookups,
            max_retry_after=ticks(quota.longest_advice_ms),
            readiness=self._make_readiness(request_classes, limits),
        )

    def _make_readiness(self, request_classes: Sequence[RequestClass], limits: ServiceLimits) -> Readiness | None:
        if self._settings.steps is None:
            return None
        # An endpoint may still execute an attempt after its timeout; it is taken to end within two latency objectives.
        longest_objective = max(request_class.latency_objective for request_class in request_classes)
        grace = limits.response_slack + 2 * longest_objective
        longest_timeout = max(request_class.timeout for request_class in request_classes)
        return Readiness(grace, self.clock() + longest_timeout + grace)

    # Running

    def install_signal_handlers(self) -> None:
        """Makes SIGTERM and SIGINT drain the relay, and a second one exit at once with status 1; SIGHUP is ignored."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._on_signal)
        self._loop.add_signal_handler(signal.SIGHUP, self._on_hangup)

    async def run(self, ready: Callable[[str, int], None] = lambda host, port: None) -> None:
        """Serves until `stop`, which a signal calls too; `ready` is called with the address once the relay listens."""
        self._feeds.start()
        self._open_gossip()
        await self._wait_for_endpoints()
        await self._serve(ready)
        await self.upstream.shut_down()
        await self._feeds.stop()
        await self._background_tasks.cancel_all()
        if self._gossip is not None:
            self._gossip.close()
        self._log.info("stopped", **self.state())

    def _open_gossip(self) -> None:
        if self._settings.peers is None:
            return
        self._gossip = GossipTransport(self._loop, self._settings, self._settings.peers, self.driver, self._after_event)
        if self._settings.circle is not None:
            self.membership = MembershipTransport(
                settings=self._settings, loop=self._loop, udp=self._gossip.sock, clock=self.clock, log=self._log
            )
            self._gossip.membership = self.membership

    async def _wait_for_endpoints(self) -> None:
        """Waits a limited time for the first endpoint list, since a relay without one rejects all requests."""
        try:
            async with asyncio.timeout(self._settings.roster.most_wait_ms / 1000):
                await self._feeds.endpoints_known.wait()
        except TimeoutError:
            self._log.warning("no endpoint list received yet, rejecting requests until there is one")

    async def _serve(self, ready: Callable[[str, int], None]) -> None:
        listen = self._settings.listen
        address = await listen_with_retry(self.listener.listen, listen.host, listen.port, self._stop, self._log)
        if address is None:
            return
        host, port = address
        self._log.info("listening", host=host, port=port)
        ready(host, port)
        self._after_event()
        sweeper = self._background_tasks.start(self._sweep())
        await self._stop.wait()
        await self._drain()
        sweeper.cancel()

    async def _drain(self) -> None:
        if self.membership is not None:
            self.membership.leave()
        self._log.info("draining", in_flight=len(self.driver.pending))
        longest_seconds = max(row.outer_limit_ms for row in self._settings.service.lanes) / 1000
        await self.listener.drain(longest_seconds + DRAIN_SLACK_SECONDS)

    def stop(self) -> None:
        """Starts to drain; `run` returns when the drain is complete."""
        self._stop.set()

    def _on_signal(self) -> None:
        if self._stop.is_set():
            raise SystemExit(1)
        self.stop()

    def _on_hangup(self) -> None:
        self._log.info("SIGHUP is ignored: this relay reads its settings at its start only")

    # Tasks

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            try:
                self._memory_guard.check()
                self.upstream.pools.sweep()
                self.listener.sweep()
            except Exception:  # noqa: BLE001 - logged; later sweeps must still run
                self._log.exception("a sweep failed")

    def _next_timer(self) -> Ticks | None:
        return self.driver.next_timer()

    def _tick(self) -> None:
        self.driver.tick()
        self._after_event()

    def _after_event(self) -> None:
        """Starts queued attempts and writes ready responses; called after the driver has been notified of events.

        Each runs in its own task. If one stalls, because a client does not read or an endpoint reads a large body
        slowly, it must not block the caller: that is often the reading task of a connection that is in use again.
        """
        self._clock.arm()
        attempts = self.upstream.queued_attempts
        if attempts:
            self.upstream.queued_attempts = []
            for attempt in attempts:
                self._background_tasks.start(self.upstream.start(attempt))
        writable = self.listener.writable
        if writable:
            connections = list(writable)
            writable.clear()
            for connection in connections:
                self._background_tasks.start(connection.flush())

    def state(self) -> dict[str, Any]:
        """Returns the state document: counters since the start, and current values."""
        counters = self.driver.counters
        return {
            "received": counters.received,
            "succeeded": counters.succeeded,
            "rejected": counters.rejected,
            "failed": counters.failed,
            "abandoned": counters.abandoned,
            "over_limit": counters.over_limit,
            "withheld_votes": counters.withheld_votes,
            "attempts": counters.attempts,
            "outcomes": {outcome.value: count for outcome, count in counters.outcomes.items()},
            "in_flight": len(self.driver.pending),
            "max_send_delay_ms": counters.max_send_delay / TICKS_PER_MS,
            "clients": len(self.listener.connections),
            "endpoints": len(self.driver.destinations),
            "connections_opened": self.upstream.pools.opened,
            "connections_reused": self.upstream.pools.reused,
            "partial_writes": self.upstream.partial_writes,
            "dropped_datagrams": {} if self._gossip is None else dict(self._gossip.dropped),
            "feeds": dict(self._feeds.up),
            "malformed_requests": self.listener.malformed_requests,
            "buffered_bytes": self.listener.buffers.held_bytes,
            "peak_buffered_bytes": self.listener.buffers.peak_bytes,
            "max_buffered_bytes": self.listener.buffers.max_bytes,
            "closed_to_free_memory": self.listener.buffers.closed_connections,
            "memory_mb": round(resident_bytes() / 1e6, 1),
            "peak_memory_mb": round(self._memory_guard.peak_bytes / 1e6, 1),
            "membership": None if self.membership is None else self.membership.state(),
        }

    # HostOperations, apart from those in HostOperationsBase

    def send_gossip(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """See `HostOperations`."""
        if self._gossip is not None:
            self._gossip.send(peer, payloads)

    def cast_vote(self, vote: CastVote) -> None:
        """See `HostOperations`."""
        self._background_tasks.start(self._feeds.cast_vote(vote))

    def watch_endpoints(self, on: bool) -> None:
        """See `HostOperations`."""
        self._feeds.watch_endpoints(on)

    def poll_endpoints(self) -> None:
        """See `HostOperations`."""
        self._background_tasks.start(self._feeds.poll_endpoints())
