"""The parameters of the relay's parts, read from the settings, and how its file descriptors are divided."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from lanelead.decisions.balancer import Balancer
from lanelead.decisions.interface import (
    CanaryLimits,
    Prices,
    RelayPosition,
    RequestClass,
    ResourceQuota,
    ServiceLimits,
    Tenant,
    Ticks,
    VotingRules,
)
from lanelead.postgres_relay.config import RelayConfig
from lanelead.postgres_relay.connection_pool import PoolLimits
from lanelead.runtime.descriptor_limit import descriptor_limit
from lanelead.runtime.process_memory import MemoryPlan, plan_memory, resident_bytes

RESERVED_DESCRIPTORS = 24  # for the listening socket, feeds, gossip, the log and the interpreter
CLIENT_DESCRIPTOR_SHARE = 0.5  # share of the other descriptors for clients; the rest is for upstream connections
BYTES_PER_MB = 1_000_000
MAX_VALUE_BYTES = 65536
DEFAULT_UPSTREAM_IDLE_SECONDS = 10.0


@dataclass(frozen=True)
class ServiceParameters:
    """All parameters of a relay.

    They are read only once, since the decisions, the driver and the listener must share the same objects: changes of
    tenants and classes are made in place.
    """

    request_classes: list[RequestClass]
    service_limits: ServiceLimits
    resource_quota: ResourceQuota
    tenants: list[Tenant]
    voting_rules: VotingRules
    position: RelayPosition
    canary_limits: CanaryLimits
    prices: Prices
    report_names: frozenset[str]  # the fields in endpoints' load reports
    upstream_idle_seconds: float  # an endpoint closes a connection that was idle for this long
    max_clients: int
    max_upstream_connections: int
    memory_plan: MemoryPlan

    @classmethod
    def read(cls, config: RelayConfig) -> ServiceParameters:
        """Reads the settings, which must have passed `check_settings`; measures what memory the process takes now."""
        parameters = config.parameters
        given = min(config.limits.sockets, descriptor_limit())
        descriptors = max(8, given - RESERVED_DESCRIPTORS)
        max_clients = int(descriptors * CLIENT_DESCRIPTOR_SHARE)
        return cls(
            request_classes=parameters.request_classes(),
            service_limits=parameters.service_limits(),
            resource_quota=parameters.resource_quota(),
            tenants=parameters.tenants(),
            voting_rules=parameters.voting_rules(),
            position=parameters.position(),
            canary_limits=parameters.canary_limits(),
            prices=parameters.prices(),
            report_names=frozenset(parameters.texts("loadReport.names")),
            upstream_idle_seconds=parameters.ticks("allowed.connIdleMs") / 10_000 or DEFAULT_UPSTREAM_IDLE_SECONDS,
            max_clients=max_clients,
            max_upstream_connections=descriptors - max_clients,
            memory_plan=plan_memory(int(config.limits.memory_mb * BYTES_PER_MB), resident_bytes(), descriptors),
        )

    def create_balancer(self, seed: str, now: Ticks) -> Balancer:
        """Creates the decision logic of this relay; `seed` is a hexadecimal number."""
        return Balancer(
            position=self.position,
            request_classes=self.request_classes,
            tenants=self.tenants,
            quota=self.resource_quota,
            limits=self.service_limits,
            canary_limits=self.canary_limits,
            voting_rules=self.voting_rules,
            prices=self.prices,
            rng=Random(int(seed, 16)),
            now=now,
        )

    def pool_limits(self) -> PoolLimits:
        """Returns the limits of upstream connections, with times in seconds."""
        return PoolLimits(
            connect_timeout=self.resource_quota.connect_timeout / 10_000,
            idle_timeout=self.upstream_idle_seconds,
            max_connections=self.max_upstream_connections,
            max_response_bytes=MAX_VALUE_BYTES + 8192,
            memory=self.memory_plan,
        )
