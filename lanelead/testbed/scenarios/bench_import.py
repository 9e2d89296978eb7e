"""Converts a day that the simulator has generated into a scenario for sockets, with the same faults at the same times.

The simulator's fleet is large, and a scenario runs processes, so the fleet is scaled down to what one machine can run.
The script's head and the command's output list everything that was scaled, changed or cannot be converted.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import msgspec

MAX_ENDPOINTS = 14
MAX_RELAYS = 4
MAX_RATE = 200.0  # requests a second
MAX_SECONDS = 600.0
MAX_ATTEMPTS = 16
REPEATS = {"safe": "pure", "keyed": "receipted", "unsafe": "effectful"}
CONTROLS = {"any": "first voice", "share": "by count", "timer": "automatic"}
Fault = dict[str, Any]  # a fault as the simulator writes it


class InvalidBenchDayError(Exception):
    """The text is not a day in the simulator's format; the message names the field or the JSON error."""


def _endpoint_count(fault: Fault, endpoints: int, simulated_endpoints: int) -> int:
    """The number of endpoints that the simulator's fault hits, in proportion; at least one."""
    return max(1, round(len(fault["on"]) * endpoints / max(1, simulated_endpoints)))


Events = list[dict[str, Any]]


def _endpoint_fault(kind: str, size: Callable[[Fault], float] = lambda fault: 1.0) -> Callable[[Fault, Any], Events]:
    def convert(fault: Fault, scale: Any) -> Events:
        count = _endpoint_count(fault, scale["endpoints"], scale["simulated_endpoints"])
        return [{"kind": kind, "count": count, "size": size(fault)}]

    return convert


def _service_fault(kind: str, size: Callable[[Fault], float] = lambda fault: 1.0) -> Callable[[Fault, Any], Events]:
    return lambda fault, scale: [{"kind": kind, "size": size(fault)}]


def _size(fault: Fault) -> float:
    return float(fault["size"])


def _tenant_burst(fault: Fault, scale: Any) -> Events:
    tenant = scale["tenants"][fault["which"] % len(scale["tenants"])] if scale["tenants"] else None
    return [{"kind": "member_burst", "size": fault["size"], "member": tenant}]


def _rollout_platform_fault(fault: Fault, scale: Any) -> Events:
    kinds = {"silence": "desk_mute", "errors": "desk_away", "stale": "desk_stale"}
    return [{"kind": kinds.get(fault.get("how", ""), "desk_mute"), "size": fault["size"]}]


def _slow_request_class(fault: Fault, scale: Any) -> Events:
    request_class = scale["request_classes"][fault["which"] % len(scale["request_classes"])]
    # On the bench the work waits some seconds for something else; here it occupies its core for as long.
    factor = min(20.0, 1 + fault["size"] * 1000 / scale["work"][request_class])
    return [{"kind": "slow_lane", "size": factor, "lane": request_class}]


def _give_up(fault: Fault, scale: Any) -> Events:
    return [{"kind": "give_up", "size": min(1.0, fault["size"]), "extra": min(1.0, fault["extra"])}]


EVENT_CONVERTERS: dict[str, Callable[[Fault, Any], Events]] = {
    "crash": _endpoint_fault("kill"),
    "vanish": _endpoint_fault("stop"),
    "slow": _endpoint_fault("slow", _size),
    "fast_errors": _endpoint_fault("errors", _size),
    "neighbour": _endpoint_fault("neighbour", _size),
    "false_reports": _endpoint_fault("false_reports", _size),
    "idle_reap": _endpoint_fault("idle_reap", _size),
    "conn_squeeze": _endpoint_fault("few_connections", lambda fault: max(2.0, round(_size(fault)))),
    "burst": _service_fault("burst", _size),
    "tenant_burst": _tenant_burst,
    "hot_key": _service_fault("hot_key", _size),
    "hot_caller": _service_fault("hot_caller", _size),
    "heavy_tail": _service_fault("heavy_tail", _size),
    "bad_requests": _service_fault("bad_requests", _size),
    "retry_abuse": _service_fault("retry_abuse", lambda fault: max(1.0, round(_size(fault)))),
    "slow_class": _slow_request_class,
    "give_up": _give_up,
    "peer_down": _service_fault("peers_lost"),
    "control_down": _rollout_platform_fault,
    "balancer_roll": _service_fault("relay_roll", lambda fault: min(2.0, max(0.2, float(fault["extra"])))),
}


def convert_bench_day(text: bytes, name: str) -> tuple[dict[str, Any], list[str]]:
    """Convert a day into a scenario's record, and list what was changed or left out.

    Raises InvalidBenchDayError.
    """
    try:
        day = msgspec.json.decode(text)
        changes: list[str] = []
        return {"day": _scenario_record(day, name, changes)}, changes
    except msgspec.DecodeError as error:
        raise InvalidBenchDayError(f"not JSON: {error}") from None
    except (KeyError, TypeError, IndexError, ValueError, AttributeError, ZeroDivisionError) as error:
        raise InvalidBenchDayError(
            f"not a day of the bench, missing or invalid field: {type(error).__name__} {error}"
        ) from None


def _scenario_record(day: dict[str, Any], name: str, changes: list[str]) -> dict[str, Any]:
    fam = day["fam"]
    kind = day["tiers"][0]["kinds"][0]
    simulated_endpoints = int(fam["places"])
    endpoints = _limited(MAX_ENDPOINTS, simulated_endpoints, "units", changes)
    relays = _limited(MAX_RELAYS, len(day["balancers"]), "relays", changes)
    classes = [row for row in day["classes"] if row["share"] > 0]
    rate, work = _rate_and_work(day, classes, endpoints * kind["cores"], changes)
    request_classes = [_request_class(row, changes) for row in classes]
    tenants = [_tenant_settings(row, day, rate) for row in day["tenants"]]
    scale = {
        "endpoints": endpoints,
        "simulated_endpoints": simulated_endpoints,
        "request_classes": [row["name"] for row in request_classes],
        "work": work,
        "tenants": [row["name"] for row in tenants],
    }
    seconds = round(min(MAX_SECONDS, day["length"] / 1e6), 1)
    return {
        "name": name,
        "says": f"from a day of the bench, {day['site']} {day['kind']}",
        "seconds": seconds,
        "relays": relays,
        "units": _endpoint_settings(day, endpoints),
        "service": {
            "lanes": request_classes,
            "members": tenants,
            "allowance": _quota(day),
            "duties": _limits(day),
            "trial": _canary_limits(fam),
            "poll": _poll(fam, relays),
        },
        "clients": _clients(day, classes, rate, work),
        "roster": {
            "late_ms": day["discovery"]["add"] / 1000,
            "silent_ms": day["discovery"]["silent_notice"] / 1000,
        },
        "desk": {
            "told_ms": fam["told_late"] / 1000,
            "push_ms": fam["push"] / 1000,
            "offers": _offers(fam, request_classes, changes),
        },
        "events": _events(day, scale, seconds, changes),
    }


def _limited(limit: int, count: int, what: str, changes: list[str]) -> int:
    if count > limit:
        changes.append(f"{limit} {what} in place of {count}")
    return min(limit, count)


def _rate_and_work(
    day: dict[str, Any], classes: list[dict[str, Any]], cores: int, changes: list[str]
) -> tuple[float, dict[str, float]]:
    """Return the requests a second and each class's mean work in milliseconds that give the simulator's load."""
    work = {row["name"]: row["work"] / 1000 for row in classes}
    shares = sum(row["share"] for row in classes)
    mean = sum(row["share"] / shares * work[row["name"]] for row in classes)
    rate = day["traffic"]["load"] * cores * 1000 / mean
    if rate <= MAX_RATE:
        return rate, work
    # Fewer requests with more work each give the same load.
    stretch = rate / MAX_RATE
    changes.append(f"{MAX_RATE:g} requests a second in place of {rate:.0f}, each {stretch:.1f} times the work")
    return MAX_RATE, {name: ms * stretch for name, ms in work.items()}


def _tenant_settings(row: dict[str, Any], day: dict[str, Any], rate: float) -> dict[str, Any]:
    quota = row["quota"] * rate / max(0.01, day["traffic"]["load"])
    return {"name": row["name"], "quota": quota, "share": row["share"]}


def _endpoint_settings(day: dict[str, Any], count: int) -> dict[str, Any]:
    tier = day["tiers"][0]
    kind = tier["kinds"][0]
    return {
        "count": count,
        "zones": list(day["zones"]),
        "cores": kind["cores"],
        "waiting_room": kind["queue"],
        "boot_ms": day["fam"]["boot"] / 1000,
        "cold_share": kind["cold_from"],
        "cold_ms": kind["cold"] / 1000,
        "errors": kind["error_rate"],
        "report_ms": tier["report_period"] / 1000,
    }


def _quota(day: dict[str, Any]) -> dict[str, Any]:
    allow = day["allow"]
    return {
        "trips": min(MAX_ATTEMPTS, allow["max_attempts"]),
        "calling_off": allow["cancel"],
        "probes": allow["probes"],
        "second_copies": allow["second_copies"],
    }


def _clients(day: dict[str, Any], classes: list[dict[str, Any]], rate: float, work: dict[str, float]) -> dict[str, Any]:
    clients = day["clients"]
    return {
        "rate": rate,
        "retries": clients["retries"],
        "try_share": clients["try_share"],
        "honour": clients["honour"],
        "backoff_ms": clients["backoff_us"] / 1000,
        "keys": day["traffic"]["keys"],
        "work": [
            {"lane": row["name"], "share": row["share"], "ms": work[row["name"]], "cv": row["cv"]} for row in classes
        ],
    }


def _request_class(row: dict[str, Any], changes: list[str]) -> dict[str, Any]:
    methods = {"pure": ["GET"], "receipted": ["PUT"], "effectful": ["POST"]}
    repeat = REPEATS[row["effect"]]
    if row["stream"]:
        changes.append(f"lane {row['name']} streams on the bench; here its answers come whole")
    return {
        "name": row["name"],
        "methods": methods[repeat],
        "prefix": f"/{row['name']}",
        "repeat": repeat,
        "expected_time_ms": row["aim"] / 1000,
        "outer_limit_ms": row["deadline"] / 1000,
        "value": row["worth"],
        "late_value": row["late_worth"],
        "scope": row["group"],
        "memory_ms": row["window"] / 1000 if repeat == "receipted" else 0,
    }


def _limits(day: dict[str, Any]) -> dict[str, Any]:
    tier = day["tiers"][0]
    return {
        "drain_grace_ms": day["drain_grace"] / 1000,
        "cold_share": tier["stated_cold_from"],
        "cold_ms": tier["stated_cold"] / 1000,
        "fall_multiple": day["fall_multiple"],
        "fall_ms": day["fall_for"] / 1000,
    }


def _canary_limits(fam: dict[str, Any]) -> dict[str, Any]:
    return {
        "shares": fam["stages"],
        "caps": fam["caps"],
        "free": fam["free"],
        "window_ms": fam["window"] / 1000,
        "by_lane": fam["by_class"],
        "guarded": fam["guarded"],
        "keys_stay": fam["one_way"],
        "in_place": not fam["beside"],
    }


def _poll(fam: dict[str, Any], relays: int) -> dict[str, Any]:
    on, back, hold = (max(1, round(share * relays)) for share in fam["votes"])
    return {
        "control": CONTROLS[fam["control"]],
        "on_votes": on,
        "back_votes": back,
        "hold_votes": hold,
        "least_stage_ms": fam["bake"] / 1000,
        "timer_stage_ms": fam["step"] / 1000,
        "answer_limit_ms": fam["call_timeout"] / 1000,
        "vote_life_ms": fam["vote_life"] / 1000,
        "votes_a_second": fam["calls_per_s"],
        "delay_price": fam["behind_price"],
        "harm_price": fam["harm_price"],
        "complaint_share": fam["flag_share"],
    }


def _offers(fam: dict[str, Any], request_classes: list[dict[str, Any]], changes: list[str]) -> list[dict[str, Any]]:
    known_faults = {"errors", "slow", "load", "late", "wrong", "shared"}
    offers = []
    for row in fam["releases"]:
        offer = {"at": row["at"] / 1e6, "speed": row["speed"], "strength": min(1.0, row["strength"])}
        if row["bad"] == "class":
            offer |= {"bad": "lane", "lane": request_classes[row["class"] % len(request_classes)]["name"]}
        elif row["bad"] in known_faults:
            offer["bad"] = row["bad"]
        elif row["bad"]:
            changes.append(
                f"cannot be carried over: a build that is bad by {row['bad']!r}; it is offered as a good one"
            )
        offers.append(offer)
    return offers


def _events(day: dict[str, Any], scale: Any, seconds: float, changes: list[str]) -> list[dict[str, Any]]:
    events = []
    for fault in day["troubles"]:
        kind = fault["kind"]
        if kind == "bad_build":
            continue  # it is among the offered builds
        if kind not in EVENT_CONVERTERS:
            changes.append(f"cannot be carried over: {kind}")
            continue
        at = fault["at"] / 1e6
        if at > seconds:
            changes.append(f"left out: {kind}, which comes at {at:.1f} s, after the day's end")
            continue
        for event in EVENT_CONVERTERS[kind](fault, scale):
            row = {"at": round(at, 3), "for": round(max(0.1, fault["len"] / 1e6), 3), **event}
            events.append({name: value for name, value in row.items() if value is not None})
    return events


def script_text(record: dict[str, Any], changes: list[str]) -> str:
    """Return the script as text, with the changes as comments at its head."""
    head = [f"// {line}" for line in ["A day of the bench, for sockets.", *changes]]
    return "\n".join(head) + "\n" + json.dumps(record, indent=2) + "\n"
