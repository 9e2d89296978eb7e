"""The settings of one relay."""

from __future__ import annotations

import msgspec

from lanelead.decisions import interface
from lanelead.settings.service_settings import Address, ServiceSettings


class FeedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A feed's address; the bounds of the backoff between connections, and the silence that ends one."""

    address: Address
    least_wait_ms: float
    most_wait_ms: float
    silence_ms: float


class PeerAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Another relay, by its number."""

    number: int
    host: str
    port: int


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where this relay listens for datagrams, and the other relays."""

    listen: Address
    others: list[PeerAddress]


class RegionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A region and its zones."""

    name: str
    zones: list[str]


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Membership among relays: regions, seeds, the failure detector's period, and how long the dead are kept."""

    regions: list[RegionSettings]
    seeds: list[Address]
    period_ms: float
    forget_ms: float

    def region(self, zone: str) -> str:
        """The region of a zone. Raises StopIteration where none has it."""
        return next(region.name for region in self.regions if zone in region.zones)


class SpilloverSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Zones in the order of preference, tier after tier, and how traffic may spill over."""

    tiers: list[list[str]]
    most: float
    grow: float
    shrink: float

    def figures(self) -> interface.ZonePreference:
        """The same as the decisions take it."""
        return interface.ZonePreference(
            tiers=tuple(map(tuple, self.tiers)),
            max_foreign_load=self.most,
            growth_time_factor=self.grow,
            shrink_time_factor=self.shrink,
        )


class RelaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One relay's settings file."""

    number: int
    relays: int
    zone: str
    seed: int
    listen: Address
    service: ServiceSettings
    discovery: str
    reports: list[str]
    roster: FeedSettings
    desk: FeedSettings
    log: str
    peers: PeerSettings | None = None
    circle: MembershipSettings | None = None
    spill: SpilloverSettings | None = None
    steps: FeedSettings | None = None


NO_PRICES = interface.Prices(
    health_check=0.0,
    gossip=0.0,
    waste=0.0,
    late_failure=0.0,
    zone_crossing=0.0,
    handshake=0.0,
    connection=0.0,
    over_quota_value=1.0,
)  # prices are the bench's: none here


def position_of(relay: RelaySettings) -> interface.RelayPosition:
    """The relay's position among the others."""
    return interface.RelayPosition(number=relay.number, relay_count=relay.relays, zone=relay.zone)
