"""Reads a settings file into typed records, and says all that is wrong with it at once."""

from __future__ import annotations

from functools import cache
from importlib.resources import files
from pathlib import Path
from typing import Any

import msgspec
import netaddr
from lark import Tree

from lanelead.settings import cue
from lanelead.settings.cue import Fault, Spot, Unfit
from lanelead.settings.records import Circle, Day, Experiment, Relay, Service, Steps

Record = Relay | Day | Steps | Experiment
KINDS: dict[str, tuple[str, type[Record]]] = {
    "relay": ("#RelayFile", Relay),
    "day": ("#DayFile", Day),
    "steps": ("#StepsFile", Steps),
    "experiment": ("#ExperimentFile", Experiment),
}


@cache
def _definitions() -> dict[str, cue.Value]:
    text = files("lanelead.settings").joinpath("definitions.cue").read_text()
    reader = cue.Reader("definitions.cue", {})
    found = reader.definitions(cue.parse(text, "definitions.cue"))
    if reader.faults:
        raise Unfit(reader.faults)
    return found


def evaluate(text: str, file: str, definition: str) -> tuple[Any, dict[str, Spot]]:
    """The file's plain value, unified with one of our definitions, and where each field stands."""
    reader = cue.Reader(file, _definitions())
    value: cue.Value = reader.whole(cue.parse(text, file))
    faults = reader.faults
    if not faults:
        value = cue.unify(_definitions()[definition], value, "", faults)
    spots: dict[str, Spot] = {}
    result = cue.plain(value, "", faults, spots) if not faults else None
    if faults:
        raise Unfit(sorted(faults, key=lambda fault: (fault.spot.line, fault.spot.column)))
    return result, spots


def read(path: str | Path) -> Record:
    """The record that a file holds. Raises Unfit with every fault found."""
    return spotted(path)[0]


def spotted(path: str | Path) -> tuple[Record, dict[str, Spot]]:
    """The same, and where each of its fields stands."""
    file = str(path)
    try:
        text = Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as fault:
        reason = getattr(fault, "strerror", None) or "bytes that are not UTF-8"
        raise Unfit([Fault(Spot(file, 1, 1), "", reason, "a readable text file")]) from None
    return _read(text, file)


def read_text(text: str, file: str) -> Record:
    """The same as `read`, from a text; `file` is what faults name."""
    return _read(text, file)[0]


def _read(text: str, file: str) -> tuple[Record, dict[str, Spot]]:
    top = set(_top(text, file))
    # Unified with the one definition that is meant, faults are nearer the point than a choice's.
    meant = next((name for name in KINDS if name in top), None)
    result, spots = evaluate(text, file, "#File" if meant is None else KINDS[meant][0])
    name = meant or next(iter(result))
    try:
        record = msgspec.convert(result[name], KINDS[name][1])
    except msgspec.ValidationError as fault:  # the definitions and the records do not agree
        raise Unfit([Fault(spots[""], name, str(fault), "a value that the record takes")]) from None
    faults = list[Fault]()
    match record:
        case Relay():
            faults = _service(record.service, "relay.service", spots) + _relay(record, spots)
        case Day():
            faults = _service(record.service, "day.service", spots) + _day(record, spots)
    if faults:
        raise Unfit(faults)
    return record, spots


def _top(text: str, file: str) -> list[str]:
    parts = cue.parse(text, file).children
    return [
        cue.Reader.label(part).removeprefix(cue.QUOTED)
        for part in parts
        if isinstance(part, Tree) and part.data == "field"
    ]


def _service(service: Service, at: str, spots: dict[str, Spot]) -> list[Fault]:
    """What no field can say alone."""
    faults = []

    def blame(path: str, found: str, expected: str) -> None:
        faults.append(Fault(spots.get(path, spots[at]), path, found, expected))

    rows = {
        "lanes": [request_class.name for request_class in service.lanes],
        "members": [row.name for row in service.members],
    }
    for kind, names in rows.items():
        for place, name in enumerate(names):
            if name in names[:place]:
                blame(f"{at}.{kind}[{place}].name", f"{name!r} again", "a name used once")
    for place, request_class in enumerate(service.lanes):
        path = f"{at}.lanes[{place}]"
        if request_class.expected_time_ms > request_class.outer_limit_ms:
            blame(f"{path}.expected_time_ms", str(request_class.expected_time_ms), "no more than outer_limit_ms")
        if request_class.repeat == "receipted" and not request_class.memory_ms:
            blame(f"{path}.memory_ms", "none", "how long units remember the lane's receipts")
    spans = list[tuple[netaddr.IPNetwork, str]]()
    for place, tenant in enumerate(service.members):
        for number, text in enumerate(tenant.networks):
            path = f"{at}.members[{place}].networks[{number}]"
            try:
                span = netaddr.IPNetwork(text)
            except (netaddr.AddrFormatError, ValueError):
                blame(path, repr(text), "an IP network such as 10.1.0.0/16 or fd00::/8")
                continue
            if any(span == other for other, _ in spans):
                blame(path, f"{text} again", "a network named once")
            spans.append((span, tenant.name))
    trial = service.trial
    if len(trial.shares) != len(trial.caps):
        blame(f"{at}.trial.caps", f"{len(trial.caps)} caps", f"{len(trial.shares)}, one a stage")
    for name, figures in (("shares", trial.shares), ("caps", trial.caps)):
        if sorted(figures) != figures:
            blame(f"{at}.trial.{name}", f"{figures}", "figures that never fall from stage to stage")
    return faults


def _relay(record: Relay, spots: dict[str, Spot]) -> list[Fault]:
    faults = []
    if record.number >= record.relays:
        found = f"{record.number} of {record.relays}"
        faults.append(Fault(spots["relay.number"], "relay.number", found, "less than relay.relays"))
    named = [zone for tier in record.spill.tiers for zone in tier] if record.spill else []
    for place, tier in enumerate(record.spill.tiers if record.spill else []):
        for number, zone in enumerate(tier):
            if named.count(zone) > 1:
                path = f"relay.spill.tiers[{place}][{number}]"
                faults.append(Fault(spots[path], path, f"{zone!r} again", "a zone in one tier only"))
    if record.spill and record.zone not in record.spill.tiers[0]:
        path = "relay.spill.tiers[0]"
        faults.append(Fault(spots[path], path, f"{record.spill.tiers[0]}", f"the relay's own zone {record.zone!r}"))
    if record.circle is not None:
        faults += _circle(record, record.circle, spots, named)
    for name in ("roster", "desk"):
        if getattr(record, name).address.port == 0:
            path = f"relay.{name}.address.port"
            faults.append(Fault(spots[path], path, "0", "the port of the other end"))
    return faults


def _circle(record: Relay, circle: Circle, spots: dict[str, Spot], tiers: list[str]) -> list[Fault]:
    faults = []

    def blame(path: str, found: str, expected: str) -> None:
        faults.append(Fault(spots.get(path, spots["relay.circle"]), path, found, expected))

    if record.peers is None:
        blame("relay.circle", "no peers", "relay.peers, whose letters the circle's go beside")
    elif not circle.seeds and not record.peers.others and record.relays > 1:
        blame("relay.circle", "no seeds and no peers", "the address of one other relay at least")
    if record.peers is not None and record.peers.listen.host in ("0.0.0.0", "::"):
        blame("relay.peers.listen.host", record.peers.listen.host, "the address at which others reach it")
    homes = dict[str, str]()
    for place, region in enumerate(circle.regions):
        for number, zone in enumerate(region.zones):
            path = f"relay.circle.regions[{place}].zones[{number}]"
            if zone in homes:
                blame(path, f"{zone!r}, which is in {homes[zone]!r}", "a zone in one region only")
            elif len(zone) > 32:
                blame(path, f"{len(zone)} bytes", "32 bytes at most, as they pass between relays")
            homes.setdefault(zone, region.name)
    if record.zone not in homes:
        blame("relay.zone", repr(record.zone), "a zone of one of the circle's regions")
    for zone in tiers:
        if zone not in homes:
            blame("relay.spill.tiers", repr(zone), "zones of the circle's regions")
    return faults


def _day(record: Day, spots: dict[str, Spot]) -> list[Fault]:
    faults = []
    request_classes = {request_class.name for request_class in record.service.lanes}
    tenants = {tenant.name for tenant in record.service.members}

    def blame(path: str, found: str, expected: str) -> None:
        faults.append(Fault(spots.get(path, spots["day"]), path, found, expected))

    named: list[tuple[str, str | None]]
    named = [(f"day.clients.work[{place}].lane", work.lane) for place, work in enumerate(record.clients.work)]
    named += [(f"day.desk.offers[{n}].lane", offer.lane) for n, offer in enumerate(record.desk.offers)]
    named += [(f"day.events[{place}].lane", event.lane) for place, event in enumerate(record.events)]
    for path, request_class in named:
        if request_class is not None and request_class not in request_classes:
            blame(path, repr(request_class), f"a lane of the service: {', '.join(sorted(request_classes))}")
    for place, event in enumerate(record.events):
        path = f"day.events[{place}]"
        if event.member is not None and event.member not in tenants:
            blame(f"{path}.member", repr(event.member), "a member of the service")
        if event.relay is not None and event.relay >= record.relays:
            blame(f"{path}.relay", str(event.relay), f"less than {record.relays}")
        if event.kind.startswith("zone_") and event.zone not in record.units.zones:
            blame(f"{path}.zone", repr(event.zone), f"a zone of the units: {', '.join(record.units.zones)}")
        if event.at > record.seconds:
            blame(f"{path}.at", str(event.at), f"at most the day's {record.seconds} s")
    for place, offer in enumerate(record.desk.offers):
        if offer.bad == "lane" and offer.lane is None:
            blame(f"day.desk.offers[{place}]", "no lane", "the lane that the build fails")
    return faults
