"""The settings of scenarios: the emulated processes, their workload, and scheduled faults and changes.

Times without a unit in the name are in seconds; `at` counts from the start of the scenario.
"""

from __future__ import annotations

import msgspec

from lanelead.settings.service_settings import ServiceSettings


class SpilloverOverride(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits of spillover, as in `SpilloverSettings`; each relay prefers its own zone to all others."""

    most: float
    grow: float
    shrink: float


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated endpoints."""

    count: int
    zones: list[str]
    cores: int
    waiting_room: int  # the length of the request queue
    boot_ms: float  # the longest time of a start; the shortest is half of it
    cold_share: float  # the part of its capacity that an endpoint has right after its start
    cold_ms: float  # the time until it has all of it
    speed_spread: float  # the largest difference of an endpoint's relative speed from 1
    connections: int  # that one endpoint accepts
    report_ms: float  # between load reports
    errors: float  # the share of requests that fail


class WorkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The share of a request class in the traffic, and the work of its requests."""

    lane: str  # the request class
    share: float
    ms: float  # mean work
    cv: float  # the coefficient of variation of the work


class ClientSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated clients."""

    rate: float  # requests a second
    work: list[WorkSettings]
    retries: int  # the most retries of one operation
    honour: float  # the probability that a client waits as long as a rejection asks
    backoff_ms: float
    try_share: float  # the least part of its class's timeout for which a client waits for a response
    keys: int  # the number of different keys that requests have; 0: none
    body_bytes: int
    connections: int  # that are open to one relay at once


class BuildOffer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new build, the time at which its rollout is offered, and its fault, if it has one."""

    at: float
    strength: float  # of the fault
    speed: float  # relative to the first build
    bad: str | None = None  # the kind of fault; None: a good build
    lane: str | None = None  # the request class that a build with the fault "lane" fails


class RolloutPlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated rollout platform."""

    told_ms: float  # the longest delay until a relay learns of a new stage
    push_ms: float  # between repetitions of the rollout's state
    offers: list[BuildOffer]


class DiscoverySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated service discovery."""

    late_ms: float  # until a change of an endpoint is listed
    silent_ms: float  # until a stopped endpoint is listed as gone


class ScenarioEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault or change that begins at the second `at` and lasts for `for_` seconds."""

    at: float
    for_: float = msgspec.field(name="for")
    kind: str
    count: int  # of endpoints; at most a third of those that run are hit
    size: float  # its meaning depends on `kind`
    extra: float  # a second value for kinds that need one
    part: float  # the share of a zone's endpoints that a zone fault hits
    lane: str | None = None  # the request class
    unit: int | None = None  # the number of the one endpoint that is hit; None: endpoints chosen at random
    relay: int | None = None  # the number of the one relay that is hit; None: chosen at random
    member: str | None = None  # the tenant
    zone: str | None = None


class MigrationRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One process of the migration runner."""

    at: float
    plan: str
    what: str  # the subcommand of `lanelead migrations`; "take" stands for `plan`
    to: str  # the value of its option --to
    past_back: bool  # whether its flag --past-back is given
    kill_after: float | None = None


class MigrationScenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The migrations that are run during a scenario."""

    rows: int  # of the table `offers` at the start
    runs: list[MigrationRun]


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of one scenario file."""

    name: str
    says: str  # a description
    seconds: float
    seed: int
    relays: int
    units: EndpointSettings
    service: ServiceSettings
    clients: ClientSettings
    roster: DiscoverySettings
    desk: RolloutPlatformSettings
    events: list[ScenarioEvent]
    slack_ms: float  # after a client's deadline, in which a response still counts
    seam: str | None = None  # the fault seeded into the relays, to test that the verifier finds it
    spill: SpilloverOverride | None = None
    steps: MigrationScenario | None = None
