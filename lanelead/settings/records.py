"""The typed records that settings end in, and their way into the decisions' own figures.

Times are milliseconds as written; `ticks` makes them the whole tenths of a millisecond that decisions take.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lanelead.decisions import interface
from lanelead.decisions.interface import Ticks
from lanelead.protocols.vocabulary import DEDUPLICATION_SCOPES, IDEMPOTENCY_KINDS, PROMOTION_CONTROLS


def ticks(ms: float) -> Ticks:
    """Milliseconds as whole tenths; part of a tenth is dropped, so that no limit is stretched."""
    return int(ms * 10 + 1e-6)


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    host: str
    port: int


class Lane(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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

    def figures(self) -> interface.RequestClass:
        return interface.RequestClass(
            self.name,
            ticks(self.expected_time_ms),
            ticks(self.outer_limit_ms),
            self.value,
            self.late_value,
            IDEMPOTENCY_KINDS[self.repeat],
            DEDUPLICATION_SCOPES[self.scope],
            ticks(self.memory_ms),
            False,
            0.0,
        )


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    quota: float
    share: float
    networks: list[str]


class Headers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The names of the request headers that a relay reads."""

    member: str
    key: str
    left: str
    lookup: str


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    trips: int
    open_lookups: int
    open_connections: int
    pipelined: int
    body_bytes: int
    head_bytes: int
    calling_off: bool
    probes: bool
    second_copies: bool
    longest_advice_ms: float
    connect_limit_ms: float
    idle_limit_ms: float
    unit_connections: int

    def figures(self, peers: bool) -> interface.ResourceQuota:
        return interface.ResourceQuota(
            self.trips,
            self.open_lookups,
            1,
            self.calling_off,
            self.probes,
            peers,
            self.second_copies,
            True,
            ticks(self.longest_advice_ms),
            ticks(self.connect_limit_ms),
            ticks(self.idle_limit_ms),
        )


class Duties(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    early_ms: float
    answer_slack_ms: float
    drain_grace_ms: float
    cold_share: float
    cold_ms: float
    fall_multiple: float
    fall_ms: float
    tick_ms: float

    def figures(self, subscribe: bool) -> interface.ServiceLimits:
        return interface.ServiceLimits(
            ticks(self.answer_slack_ms),
            ticks(self.drain_grace_ms),
            self.cold_share,
            ticks(self.cold_ms),
            self.fall_multiple,
            ticks(self.fall_ms),
            subscribe,
            0,
            ticks(self.tick_ms),
        )


class Trial(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    shares: list[float]
    caps: list[float]
    free: float
    window_ms: float
    by_lane: bool
    guarded: int
    keys_stay: bool
    in_place: bool

    def figures(self) -> interface.CanaryLimits:
        return interface.CanaryLimits(
            tuple(self.shares),
            tuple(self.caps),
            self.free,
            ticks(self.window_ms),
            self.by_lane,
            self.guarded,
            self.keys_stay,
            self.in_place,
        )


class Poll(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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

    def figures(self) -> interface.VotingRules:
        return interface.VotingRules(
            PROMOTION_CONTROLS[self.control],
            self.on_votes,
            self.back_votes,
            self.hold_votes,
            ticks(self.least_stage_ms),
            ticks(self.timer_stage_ms),
            ticks(self.answer_limit_ms),
            ticks(self.vote_life_ms),
            self.votes_a_second,
            self.delay_price,
            self.harm_price,
            self.complaint_share,
        )


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What all relays of a service and its clients agree on."""

    lanes: list[Lane]
    members: list[Member]
    headers: Headers
    allowance: Allowance
    duties: Duties
    trial: Trial
    poll: Poll


class Feed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    address: Address
    least_wait_ms: float
    most_wait_ms: float
    silence_ms: float


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int
    host: str
    port: int


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    listen: Address
    others: list[Peer]


class Region(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    zones: list[str]


class Circle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    regions: list[Region]
    seeds: list[Address]
    period_ms: float
    forget_ms: float

    def region(self, zone: str) -> str:
        return next(region.name for region in self.regions if zone in region.zones)


class Spill(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    tiers: list[list[str]]
    most: float
    grow: float
    shrink: float

    def figures(self) -> interface.ZonePreference:
        return interface.ZonePreference(tuple(map(tuple, self.tiers)), self.most, self.grow, self.shrink)


class Overflow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    most: float
    grow: float
    shrink: float


class Relay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int
    relays: int
    zone: str
    seed: int
    listen: Address
    service: Service
    discovery: str
    reports: list[str]
    roster: Feed
    desk: Feed
    log: str
    peers: Peers | None = None
    circle: Circle | None = None
    spill: Spill | None = None
    steps: Feed | None = None


class Units(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    count: int
    zones: list[str]
    cores: int
    waiting_room: int
    boot_ms: float
    cold_share: float
    cold_ms: float
    speed_spread: float
    connections: int
    report_ms: float
    errors: float


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    lane: str
    share: float
    ms: float
    cv: float


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rate: float
    work: list[Work]
    retries: int
    honour: float
    backoff_ms: float
    try_share: float
    keys: int
    body_bytes: int
    connections: int


class Offer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    at: float
    strength: float
    speed: float
    bad: str | None = None
    lane: str | None = None


class Desk(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    told_ms: float
    push_ms: float
    offers: list[Offer]


class Roster(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    late_ms: float
    silent_ms: float


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    at: float
    for_: float = msgspec.field(name="for")
    kind: str
    count: int
    size: float
    extra: float
    part: float
    lane: str | None = None
    unit: int | None = None
    relay: int | None = None
    member: str | None = None
    zone: str | None = None


class StepsRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A runner's process: when it starts, what it is told, and when it is killed."""

    at: float
    plan: str
    what: str
    to: str
    past_back: bool
    kill_after: float | None = None


class StepsOfDay(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    rows: int  # offers that are there at the start
    runs: list[StepsRun]


class Day(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    says: str
    seconds: float
    seed: int
    relays: int
    units: Units
    service: Service
    clients: Clients
    roster: Roster
    desk: Desk
    events: list[Event]
    slack_ms: float
    seam: str | None = None
    spill: Overflow | None = None
    steps: StepsOfDay | None = None


TARIFF = interface.Prices(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0)  # prices are the bench's: none here


def place(relay: Relay) -> interface.RelayPosition:
    return interface.RelayPosition(relay.number, relay.relays, relay.zone)


# Steps


class Batch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    table: str
    key: str
    rows: int
    rate: float
    hold_ms: float


class Step(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    name: str
    kind: str
    after: list[str]
    apply: list[str]
    undo: list[str] | str  # "never": it can't be undone
    limit_ms: float
    batch: Batch | None = None

    @property
    def undoing(self) -> list[str]:
        return [] if isinstance(self.undo, str) else self.undo


class Need(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    step: str
    stage: int


class Demands(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The schema states that a build works on: its needs are done, and no step of `until` has begun."""

    build: int
    needs: list[Need]
    until: list[str]
    write: str


class Steps(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    steps: list[Step]
    builds: list[Demands]


# Experiments


class Level(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    set: dict[str, Any]  # what of the day it changes


class Factor(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    levels: list[Level]


class Seeds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    least: int
    most: int


class StopAt(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    measure: str
    half_width: float


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    says: str
    day: str
    set: dict[str, Any]
    factors: list[Factor]
    policies: list[str]
    baseline: str
    seeds: Seeds
    stop: StopAt
    judged: bool
