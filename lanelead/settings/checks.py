"""What no field of a settings file can say alone: names that repeat, figures that don't fit each other."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import netaddr

from lanelead.settings.errors import Position, SettingsFault
from lanelead.settings.relay_settings import MembershipSettings, RelaySettings, SpilloverSettings
from lanelead.settings.scenario_settings import Scenario, ScenarioEvent
from lanelead.settings.service_settings import CanarySettings, RequestClassSettings, ServiceSettings, TenantSettings

MAX_ZONE_BYTES = 32  # as zones pass between relays
WILDCARD_HOSTS = ("0.0.0.0", "::")


class FaultList:
    """Gathers faults by path; `fallback` is where a path stands that the file doesn't have."""

    def __init__(self, positions: Mapping[str, Position], fallback: str) -> None:
        self._positions = positions
        self._fallback = fallback
        self.faults: list[SettingsFault] = []

    def add(self, path: str, found: str, expected: str) -> None:
        """Notes a fault."""
        position = self._positions.get(path, self._positions[self._fallback])
        self.faults.append(SettingsFault(position, path, found, expected))


# A service, which relays and scenarios share


def check_service(service: ServiceSettings, at: str, positions: Mapping[str, Position]) -> list[SettingsFault]:
    """The faults of a service whose path is `at`."""
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
            faults.add(f"{path}[{index}].name", f"{name!r} again", "a name used once")


def _check_class(faults: FaultList, path: str, row: RequestClassSettings) -> None:
    if row.expected_time_ms > row.outer_limit_ms:
        faults.add(f"{path}.expected_time_ms", str(row.expected_time_ms), "no more than outer_limit_ms")
    if row.repeat == "receipted" and not row.memory_ms:
        faults.add(f"{path}.memory_ms", "none", "how long endpoints remember the keys of this class")


def _check_networks(faults: FaultList, path: str, members: list[TenantSettings]) -> None:
    known: list[netaddr.IPNetwork] = []
    for index, member in enumerate(members):
        for number, text in enumerate(member.networks):
            at = f"{path}[{index}].networks[{number}]"
            try:
                network = netaddr.IPNetwork(text)
            except (netaddr.AddrFormatError, ValueError):
                faults.add(at, repr(text), "an IP network such as 10.1.0.0/16 or fd00::/8")
                continue
            if network in known:
                faults.add(at, f"{text} again", "a network named once")
            known.append(network)


def _check_stages(faults: FaultList, path: str, trial: CanarySettings) -> None:
    if len(trial.shares) != len(trial.caps):
        faults.add(f"{path}.caps", f"{len(trial.caps)} caps", f"{len(trial.shares)}, one a stage")
    for name, figures in (("shares", trial.shares), ("caps", trial.caps)):
        if sorted(figures) != figures:
            faults.add(f"{path}.{name}", f"{figures}", "figures that never fall from stage to stage")


# A relay


def check_relay(record: RelaySettings, positions: Mapping[str, Position]) -> list[SettingsFault]:
    """The faults of a relay, its service aside."""
    faults = FaultList(positions, "relay")
    if record.number >= record.relays:
        faults.add("relay.number", f"{record.number} of {record.relays}", "less than relay.relays")
    if record.spill is not None:
        _check_spill(faults, record.zone, record.spill)
    if record.circle is not None:
        faults.faults += _check_membership(record, record.circle, positions)
    for name, feed in (("roster", record.roster), ("desk", record.desk)):
        if feed.address.port == 0:
            faults.add(f"relay.{name}.address.port", "0", "the port of the other end")
    return faults.faults


def _check_spill(faults: FaultList, zone: str, spill: SpilloverSettings) -> None:
    named = [name for tier in spill.tiers for name in tier]
    for index, tier in enumerate(spill.tiers):
        for number, name in enumerate(tier):
            if named.count(name) > 1:
                faults.add(f"relay.spill.tiers[{index}][{number}]", f"{name!r} again", "a zone in one tier only")
    if zone not in spill.tiers[0]:
        faults.add("relay.spill.tiers[0]", f"{spill.tiers[0]}", f"the relay's own zone {zone!r}")


def _check_membership(
    record: RelaySettings, circle: MembershipSettings, positions: Mapping[str, Position]
) -> list[SettingsFault]:
    faults = FaultList(positions, "relay.circle")
    if record.peers is None:
        faults.add("relay.circle", "no peers", "relay.peers, whose socket membership messages use too")
    elif not circle.seeds and not record.peers.others and record.relays > 1:
        faults.add("relay.circle", "no seeds and no peers", "the address of one other relay at least")
    if record.peers is not None and record.peers.listen.host in WILDCARD_HOSTS:
        faults.add("relay.peers.listen.host", record.peers.listen.host, "the address at which others reach it")
    regions = _check_regions(faults, circle)
    if record.zone not in regions:
        faults.add("relay.zone", repr(record.zone), "a zone of one of the circle's regions")
    for tier in record.spill.tiers if record.spill else []:
        for zone in tier:
            if zone not in regions:
                faults.add("relay.spill.tiers", repr(zone), "zones of the circle's regions")
    return faults.faults


def _check_regions(faults: FaultList, circle: MembershipSettings) -> dict[str, str]:
    """The region of each zone."""
    regions: dict[str, str] = {}
    for index, region in enumerate(circle.regions):
        for number, zone in enumerate(region.zones):
            path = f"relay.circle.regions[{index}].zones[{number}]"
            if zone in regions:
                faults.add(path, f"{zone!r}, which is in {regions[zone]!r}", "a zone in one region only")
            elif len(zone) > MAX_ZONE_BYTES:
                expected = f"{MAX_ZONE_BYTES} bytes at most, as they pass between relays"
                faults.add(path, f"{len(zone)} bytes", expected)
            regions.setdefault(zone, region.name)
    return regions


# A scenario


def check_scenario(record: Scenario, positions: Mapping[str, Position]) -> list[SettingsFault]:
    """The faults of a scenario, its service aside."""
    faults = FaultList(positions, "day")
    classes = {row.name for row in record.service.lanes}
    for path, name in _class_references(record):
        if name is not None and name not in classes:
            faults.add(path, repr(name), f"a lane of the service: {', '.join(sorted(classes))}")
    for index, event in enumerate(record.events):
        _check_event(faults, f"day.events[{index}]", event, record)
    for index, offer in enumerate(record.desk.offers):
        if offer.bad == "lane" and offer.lane is None:
            faults.add(f"day.desk.offers[{index}]", "no lane", "the lane that the build fails")
    return faults.faults


def _class_references(record: Scenario) -> Iterator[tuple[str, str | None]]:
    """Every place that may name a request class."""
    for index, work in enumerate(record.clients.work):
        yield f"day.clients.work[{index}].lane", work.lane
    for index, offer in enumerate(record.desk.offers):
        yield f"day.desk.offers[{index}].lane", offer.lane
    for index, event in enumerate(record.events):
        yield f"day.events[{index}].lane", event.lane


def _check_event(faults: FaultList, path: str, event: ScenarioEvent, record: Scenario) -> None:
    if event.member is not None and event.member not in {row.name for row in record.service.members}:
        faults.add(f"{path}.member", repr(event.member), "a member of the service")
    if event.relay is not None and event.relay >= record.relays:
        faults.add(f"{path}.relay", str(event.relay), f"less than {record.relays}")
    if event.kind.startswith("zone_") and event.zone not in record.units.zones:
        faults.add(f"{path}.zone", repr(event.zone), f"a zone of the units: {', '.join(record.units.zones)}")
    if event.at > record.seconds:
        faults.add(f"{path}.at", str(event.at), f"at most the day's {record.seconds} s")
