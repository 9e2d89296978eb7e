"""The settings of one relay."""

from __future__ import annotations

import msgspec

from lanelead.decisions import interface
from lanelead.settings.service_settings import Address, ServiceSettings


class FeedSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A feed that the relay subscribes to: its server's address, reconnect backoff and idle timeout."""

    address: Address
    least_wait_ms: float  # the first wait before a reconnect; it doubles with each failure
    most_wait_ms: float  # the longest wait before a reconnect
    silence_ms: float  # a connection on which nothing arrives for this long is closed


class PeerAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The number of another relay, and the address of its gossip socket."""

    number: int
    host: str
    port: int


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The address at which this relay receives gossip datagrams, and the other relays."""

    listen: Address
    others: list[PeerAddress]


class RegionSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A region and its zones."""

    name: str
    zones: list[str]


class MembershipSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The membership protocol among relays."""

    regions: list[RegionSettings]
    seeds: list[Address]  # relays to join at; if empty, the peers
    period_ms: float  # of the failure detector
    forget_ms: float  # how long the records of dead members are kept

    def region(self, zone: str) -> str:
        """Returns the name of a zone's region. Raises StopIteration if no region contains the zone."""
        return next(region.name for region in self.regions if zone in region.zones)


class SpilloverSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Tiers of zones in order of preference, and the limits of spillover from one tier to the next."""

    tiers: list[list[str]]  # the first one contains the relay's own zone
    most: float  # the largest part of a tier's capacity that diverted requests may use
    grow: float  # longest latency objectives, in which the diverted share may grow from 0 to 1
    shrink: float  # slow-start times, in which it may shrink from 1 to 0

    def to_parameters(self) -> interface.ZonePreference:
        """Returns these settings as the parameters that the decisions take."""
        return interface.ZonePreference(
            tiers=tuple(map(tuple, self.tiers)),
            max_foreign_load=self.most,
            growth_time_factor=self.grow,
            shrink_time_factor=self.shrink,
        )


class RelaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings file of one relay."""

    number: int  # of this relay, from 0
    relays: int  # how many there are
    zone: str
    seed: int  # of the random number generator
    listen: Address  # for clients
    service: ServiceSettings
    discovery: str  # who asks for the watch of the endpoint list: "automatic": the host, "subscribe": the decisions
    reports: list[str]  # the values of load reports that the relay reads
    roster: FeedSettings  # the endpoint list
    desk: FeedSettings  # the state of the rollout
    log: str
    peers: PeerSettings | None = None
    circle: MembershipSettings | None = None
    spill: SpilloverSettings | None = None
    steps: FeedSettings | None = None  # the migration store, whose log tells which builds are ready for traffic


# Settings files have no prices; only parameters read by `runtime.parameter_reader` do.
NO_PRICES = interface.Prices(
    health_check=0.0,
    gossip=0.0,
    waste=0.0,
    late_failure=0.0,
    zone_crossing=0.0,
    handshake=0.0,
    connection=0.0,
    over_quota_value=1.0,
)


def position_of(relay: RelaySettings) -> interface.RelayPosition:
    """Returns the relay's number, zone and the number of relays, as the decisions take them."""
    return interface.RelayPosition(number=relay.number, relay_count=relay.relays, zone=relay.zone)
