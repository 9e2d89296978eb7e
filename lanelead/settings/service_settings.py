"""The settings that all relays and clients of a service share, and their conversion to parameters of the decisions.

Settings are in milliseconds (`..._ms`); the decisions take ticks, which are whole tenths of a millisecond. The field
names are the keys of settings files, which stay as they are; the `to_parameters` methods map them to the usual terms,
and docs/ARCHITECTURE.md lists the terms of all of them.
"""

from __future__ import annotations

import msgspec

from lanelead.decisions import interface
from lanelead.decisions.interface import Ticks
from lanelead.protocols.vocabulary import DEDUPLICATION_SCOPES, IDEMPOTENCY_KINDS, PROMOTION_CONTROLS


def ticks(ms: float) -> Ticks:
    """Converts milliseconds to ticks; a fraction of a tick is dropped, so that no limit becomes longer."""
    return int(ms * 10 + 1e-6)


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A host and port to listen on or to connect to."""

    host: str
    port: int


class RequestClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request class: which requests belong to it, its latency objective and timeout, and whether it is idempotent."""

    name: str
    methods: list[str]
    prefix: str
    repeat: str
    expected_time_ms: float
    outer_limit_ms: float
    value: float
    late_value: float
    scope: str
    memory_ms: float

    def to_parameters(self) -> interface.RequestClass:
        """Returns these settings as the parameters that the decisions take."""
        return interface.RequestClass(
            name=self.name,
            latency_objective=ticks(self.expected_time_ms),
            timeout=ticks(self.outer_limit_ms),
            value=self.value,
            late_value=self.late_value,
            idempotency=IDEMPOTENCY_KINDS[self.repeat],
            deduplication_scope=DEDUPLICATION_SCOPES[self.scope],
            deduplication_window=ticks(self.memory_ms),
            streaming=False,
            objective_stretch=0.0,
        )


class TenantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant: its quota in requests a second over all relays, its share, and the IP networks of its clients."""

    name: str
    quota: float
    share: float
    networks: list[str]


class HeaderNames(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The names of the request headers that a relay reads."""

    member: str  # holds the tenant's name
    key: str  # holds the idempotency key or routing key
    left: str  # holds the milliseconds until the client's deadline
    lookup: str  # holds the request id


class QuotaSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The resources that one relay may use, and the mechanisms that it may use at all."""

    trips: int
    open_lookups: int
    open_connections: int  # from clients
    pipelined: int  # requests on one client connection
    body_bytes: int
    head_bytes: int
    calling_off: bool
    probes: bool
    second_copies: bool
    longest_advice_ms: float
    connect_limit_ms: float
    idle_limit_ms: float
    unit_connections: int  # to one endpoint

    def to_parameters(self, peers: bool) -> interface.ResourceQuota:
        """Returns these settings as the parameters that the decisions take."""
        return interface.ResourceQuota(
            max_attempts=self.trips,
            max_in_flight=self.open_lookups,
            max_streams=1,
            may_cancel=self.calling_off,
            health_checks=self.probes,
            gossip=peers,
            hedging=self.second_copies,
            advises_retry=True,
            max_retry_after=ticks(self.longest_advice_ms),
            connect_timeout=ticks(self.connect_limit_ms),
            idle_timeout=ticks(self.idle_limit_ms),
        )


class LimitsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits that a relay keeps: response time, drains, slow start and overload."""

    early_ms: float  # how long before the client's deadline the relay must answer, for the way back
    answer_slack_ms: float
    drain_grace_ms: float
    cold_share: float
    cold_ms: float
    fall_multiple: float
    fall_ms: float
    tick_ms: float

    def to_parameters(self, subscribe: bool) -> interface.ServiceLimits:
        """Returns these settings as the parameters that the decisions take."""
        return interface.ServiceLimits(
            response_slack=ticks(self.answer_slack_ms),
            drain_grace=ticks(self.drain_grace_ms),
            slow_start_share=self.cold_share,
            slow_start_time=ticks(self.cold_ms),
            overload_multiple=self.fall_multiple,
            overload_time=ticks(self.fall_ms),
            subscribe=subscribe,
            poll_within=0,
            tick=ticks(self.tick_ms),
        )


class CanarySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much of the traffic a canary build may get in each stage."""

    shares: list[float]
    caps: list[float]
    free: float
    window_ms: float
    by_lane: bool
    guarded: int
    keys_stay: bool
    in_place: bool

    def to_parameters(self) -> interface.CanaryLimits:
        """Returns these settings as the parameters that the decisions take."""
        return interface.CanaryLimits(
            shares=tuple(self.shares),
            exposure_limits=tuple(self.caps),
            uncounted_attempts=self.free,
            window=ticks(self.window_ms),
            by_class=self.by_lane,
            guarded_stages=self.guarded,
            sticky_keys=self.keys_stay,
            in_place=self.in_place,
        )


class VotingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How votes decide on a stage, and the prices of a late promotion and of harm done by a bad build."""

    control: str
    on_votes: int
    back_votes: int
    hold_votes: int
    least_stage_ms: float
    timer_stage_ms: float
    answer_limit_ms: float
    vote_life_ms: float
    votes_a_second: float
    delay_price: float
    harm_price: float
    complaint_share: float

    def to_parameters(self) -> interface.VotingRules:
        """Returns these settings as the parameters that the decisions take."""
        return interface.VotingRules(
            control=PROMOTION_CONTROLS[self.control],
            promote_votes=self.on_votes,
            rollback_votes=self.back_votes,
            hold_votes=self.hold_votes,
            min_stage_time=ticks(self.least_stage_ms),
            automatic_stage_time=ticks(self.timer_stage_ms),
            vote_timeout=ticks(self.answer_limit_ms),
            vote_lifetime=ticks(self.vote_life_ms),
            votes_per_second=self.votes_a_second,
            delay_price=self.delay_price,
            harm_price=self.harm_price,
            complaint_share=self.complaint_share,
        )


class ServiceSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings that all relays and clients of a service share."""

    lanes: list[RequestClassSettings]
    members: list[TenantSettings]
    headers: HeaderNames
    allowance: QuotaSettings
    duties: LimitsSettings
    trial: CanarySettings
    poll: VotingSettings
