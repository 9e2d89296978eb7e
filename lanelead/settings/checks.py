"""Checks that need more than one field: unique names, references to other fields, and values that must fit together.

The definitions in `definitions.cue` check each field by itself.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import netaddr

from lanelead.settings.errors import Position, SettingsFault
from lanelead.settings.relay_settings import MembershipSettings, RelaySettings, SpilloverSettings
from lanelead.settings.scenario_settings import Scenario, ScenarioEvent
from lanelead.settings.service_settings import CanarySettings, RequestClassSettings, ServiceSettings, TenantSettings

MAX_ZONE_BYTES = 32  # the longest zone name that a membership message between relays can hold
WILDCARD_HOSTS = ("0.0.0.0", "::")


class FaultList:
    """Collects faults, with the position in the file of each field's path.

    A fault at a path that has no position, such as that of a field left out, gets the position of the path `fallback`.
    """

    def __init__(self, positions: Mapping[str, Position], fallback: str) -> None:
        self._positions = positions
        self._fallback = fallback
        self.faults: list[SettingsFault] = []

    def add(self, path: str, found: str, expected: str) -> None:
        """Adds a fault at the field with this path: what was found there, and what is expected."""
        position = self._positions.get(path, self._positions[self._fallback])
        self.faults.append(SettingsFault(position, path, found, expected))


# Service settings, which relay files and scenario files both contain


def check_service(service: ServiceSettings, at: str, positions: Mapping[str, Position]) -> list[SettingsFault]:
    """Returns the faults of the service settings at path `at`."""
    faults = FaultList(positions, at)
    _check_unique(faults, f"{at}.lanes", [row.name for row in service.lanes])
    _check_unique(faults, f"{at}.members", [row.name for row in service.members])
    for index, row in enumerate(service.lanes):
        _check_class(faults, f"{at}.lanes[{index}]", row)
    _check_networks(faults, f"{at}.members", service.members)
    _check_stages(faults, f"{at}.trial", service.trial)
    return faults.faults


def _check_unique(faults: FaultList, path: str, names: list[str]) -> None:
    for index, name in enumerate(names):
        if name in names[:index]:
            faults.add(f"{path}[{index}].name", f"{name!r}, a duplicate", "unique names")


def _check_class(faults: FaultList, path: str, row: RequestClassSettings) -> None:
    if row.expected_time_ms > row.outer_limit_ms:
        faults.add(f"{path}.expected_time_ms", str(row.expected_time_ms), "no more than outer_limit_ms")
    if row.repeat == "receipted" and not row.memory_ms:
        faults.add(f"{path}.memory_ms", "0", "a time above 0, for which endpoints remember idempotency keys")


def _check_networks(faults: FaultList, path: str, members: list[TenantSettings]) -> None:
    seen: list[netaddr.IPNetwork] = []
    for index, member in enumerate(members):
        for number, text in enumerate(member.networks):
            at = f"{path}[{index}].networks[{number}]"
            try:
                network = netaddr.IPNetwork(text)
            except (netaddr.AddrFormatError, ValueError):
                faults.add(at, repr(text), "an IP network such as 10.1.0.0/16 or fd00::/8")
                continue
            if network in seen:
                faults.add(at, f"{text}, a duplicate", "unique networks")
            seen.append(network)


def _check_stages(faults: FaultList, path: str, trial: CanarySettings) -> None:
    if len(trial.shares) != len(trial.caps):
        faults.add(
            f"{path}.caps", f"{len(trial.caps)} values", f"{len(trial.shares)}, as many as shares: one for each stage"
        )
    for name, values in (("shares", trial.shares), ("caps", trial.caps)):
        if sorted(values) != values:
            faults.add(f"{path}.{name}", f"{values}", "values that never fall from stage to stage")


# Relay settings


def check_relay(record: RelaySettings, positions: Mapping[str, Position]) -> list[SettingsFault]:
    """Returns the faults of relay settings, except for those of the service in them."""
    faults = FaultList(positions, "relay")
    if record.number >= record.relays:
        faults.add("relay.number", f"{record.number} of {record.relays}", "less than relay.relays")
    if record.spill is not None:
        _check_spillover(faults, record.zone, record.spill)
    if record.circle is not None:
        faults.faults += _check_membership(record, record.circle, positions)
    for name, feed in (("roster", record.roster), ("desk", record.desk)):
        if feed.address.port == 0:
            faults.add(f"relay.{name}.address.port", "0", "the port of the server that sends this feed")
    return faults.faults


def _check_spillover(faults: FaultList, zone: str, spill: SpilloverSettings) -> None:
    listed_zones = [name for tier in spill.tiers for name in tier]
    for index, tier in enumerate(spill.tiers):
        for number, name in enumerate(tier):
            if listed_zones.count(name) > 1:
                faults.add(
                    f"relay.spill.tiers[{index}][{number}]", f"{name!r}, a duplicate", "each zone in one tier only"
                )
    if zone not in spill.tiers[0]:
        faults.add(
            "relay.spill.tiers[0]", f"{spill.tiers[0]}", f"a first tier that contains the relay's own zone {zone!r}"
        )


def _check_membership(
    record: RelaySettings, circle: MembershipSettings, positions: Mapping[str, Position]
) -> list[SettingsFault]:
    faults = FaultList(positions, "relay.circle")
    if record.peers is None:
        faults.add("relay.circle", "no peers", "relay.peers, since membership messages use its socket")
    elif not circle.seeds and not record.peers.others and record.relays > 1:
        faults.add(
            "relay.circle", "no seeds and no peers", "at least one address in relay.circle.seeds or relay.peers.others"
        )
    if record.peers is not None and record.peers.listen.host in WILDCARD_HOSTS:
        faults.add(
            "relay.peers.listen.host", record.peers.listen.host, "the address at which others reach it, not a wildcard"
        )
    regions = _check_regions(faults, circle)
    if record.zone not in regions:
        faults.add("relay.zone", repr(record.zone), "a zone listed in relay.circle.regions")
    for tier in record.spill.tiers if record.spill else []:
        for zone in tier:
            if zone not in regions:
                faults.add("relay.spill.tiers", repr(zone), "zones listed in relay.circle.regions")
    return faults.faults


def _check_regions(faults: FaultList, circle: MembershipSettings) -> dict[str, str]:
    """Adds the faults of the regions, and returns the name of each zone's region by the zone's name."""
    regions: dict[str, str] = {}
    for index, region in enumerate(circle.regions):
        for number, zone in enumerate(region.zones):
            path = f"relay.circle.regions[{index}].zones[{number}]"
            if zone in regions:
                faults.add(path, f"{zone!r}, which is also in region {regions[zone]!r}", "each zone in one region only")
            elif len(zone) > MAX_ZONE_BYTES:
                expected = f"{MAX_ZONE_BYTES} bytes at most, the limit of membership messages"
                faults.add(path, f"{len(zone)} bytes", expected)
            regions.setdefault(zone, region.name)
    return regions


# Scenarios


def check_scenario(record: Scenario, positions: Mapping[str, Position]) -> list[SettingsFault]:
    """Returns the faults of a scenario, except for those of the service in it."""
    faults = FaultList(positions, "day")
    classes = {row.name for row in record.service.lanes}
    for path, name in _class_references(record):
        if name is not None and name not in classes:
            faults.add(path, repr(name), f"a name in day.service.lanes: {', '.join(sorted(classes))}")
    for index, event in enumerate(record.events):
        _check_event(faults, f"day.events[{index}]", event, record)
    for index, offer in enumerate(record.desk.offers):
        if offer.bad == "lane" and offer.lane is None:
            faults.add(f"day.desk.offers[{index}]", "no lane", "lane: the request class whose requests the build fails")
    return faults.faults


def _class_references(record: Scenario) -> Iterator[tuple[str, str | None]]:
    """Yields the path and value of each field that may name a request class; the value is None if it is not set."""
    for index, work in enumerate(record.clients.work):
        yield f"day.clients.work[{index}].lane", work.lane
    for index, offer in enumerate(record.desk.offers):
        yield f"day.desk.offers[{index}].lane", offer.lane
    for index, event in enumerate(record.events):
        yield f"day.events[{index}].lane", event.lane


def _check_event(faults: FaultList, path: str, event: ScenarioEvent, record: Scenario) -> None:
    if event.member is not None and event.member not in {row.name for row in record.service.members}:
        faults.add(f"{path}.member", repr(event.member), "the name of a tenant in day.service.members")
    if event.relay is not None and event.relay >= record.relays:
        faults.add(f"{path}.relay", str(event.relay), f"less than day.relays, which is {record.relays}")
    if event.kind.startswith("zone_") and event.zone not in record.units.zones:
        faults.add(f"{path}.zone", repr(event.zone), f"a zone in day.units.zones: {', '.join(record.units.zones)}")
    if event.at > record.seconds:
        faults.add(f"{path}.at", str(event.at), f"at most day.seconds, which is {record.seconds} s")
