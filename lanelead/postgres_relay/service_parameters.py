"""The settings of a relay's file as the records that its parts take, and how its descriptors are shared out."""

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

RESERVED_DESCRIPTORS = 24  # for listening, feeds, gossip, the log and the interpreter
CLIENT_DESCRIPTOR_SHARE = 0.5  # of the other descriptors; the rest is for upstream connections
MAX_VALUE_BYTES = 65536
DEFAULT_UPSTREAM_IDLE_SECONDS = 10.0


@dataclass(frozen=True)
class ServiceParameters:
    """Read once from the settings, since the decisions, the driver and the listener share the records."""

    request_classes: list[RequestClass]
    service_limits: ServiceLimits
    resource_quota: ResourceQuota
    tenants: list[Tenant]
    voting_rules: VotingRules
    position: RelayPosition
    canary_limits: CanaryLimits
    prices: Prices
    report_names: frozenset[str]  # fields of endpoints' load reports
    upstream_idle_seconds: float  # after which an endpoint closes an idle connection
    max_clients: int
    max_upstream_connections: int

    @classmethod
    def read(cls, config: RelayConfig) -> ServiceParameters:
        """Reads settings that `settings_checks.check` has passed."""
        parameters = config.parameters
        descriptors = max(8, config.limits.sockets - RESERVED_DESCRIPTORS)
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
        )

    def balancer(self, seed: str, now: Ticks) -> Balancer:
        """The decisions of this relay; `seed` is a hexadecimal number."""
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
        """The limits of upstream connections."""
        return PoolLimits(
            connect_timeout=self.resource_quota.connect_timeout / 10_000,
            idle_timeout=self.upstream_idle_seconds,
            max_connections=self.max_upstream_connections,
            max_response_bytes=MAX_VALUE_BYTES + 8192,
        )
