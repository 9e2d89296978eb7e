"""The settings of scenarios: who runs, what is requested, and what happens when.

Times in events are seconds from the start.
"""

from __future__ import annotations

import msgspec

from lanelead.settings.service_settings import ServiceSettings


class SpilloverOverride(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How traffic may spill over between zones, where the scenario has several."""

    most: float
    grow: float
    shrink: float


class EndpointSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated endpoints: how many, where, and how they work."""

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


class WorkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The share of a class in the requests, and the mean and spread of its work."""

    lane: str
    share: float
    ms: float
    cv: float


class ClientSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated clients: their rate, retries and connections."""

    rate: float
    work: list[WorkSettings]
    retries: int
    honour: float
    backoff_ms: float
    try_share: float
    keys: int
    body_bytes: int
    connections: int


class BuildOffer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A new build that is offered at a time, and what is wrong with it."""

    at: float
    strength: float
    speed: float
    bad: str | None = None
    lane: str | None = None


class RolloutPlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated rollout platform: its delays and the builds it is offered."""

    told_ms: float
    push_ms: float
    offers: list[BuildOffer]


class DiscoverySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The emulated discovery: its delays."""

    late_ms: float
    silent_ms: float


class ScenarioEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault or change that begins at a time and lasts for some seconds."""

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


class MigrationRun(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A runner's process: when it starts, what it is told, and when it is killed."""

    at: float
    plan: str
    what: str
    to: str
    past_back: bool
    kill_after: float | None = None


class MigrationScenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The migrations that are run during a scenario."""

    rows: int  # offers that are there at the start
    runs: list[MigrationRun]


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One scenario file."""

    name: str
    says: str
    seconds: float
    seed: int
    relays: int
    units: EndpointSettings
    service: ServiceSettings
    clients: ClientSettings
    roster: DiscoverySettings
    desk: RolloutPlatformSettings
    events: list[ScenarioEvent]
    slack_ms: float
    seam: str | None = None
    spill: SpilloverOverride | None = None
    steps: MigrationScenario | None = None
