"""Turns a day that the bench has drawn into a script for sockets: the same troubles, at the same times.

The bench's machines are many and its world is a model; here there are processes. So the fleet is cut down to
what the machine at hand runs, and what is cut, changed or cannot be carried over is said, by name, in the
script's head and to whoever asked. Nothing is dropped in silence.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import msgspec

MOST_UNITS, MOST_RELAYS, MOST_RATE = 14, 4, 200.0
REPEATS = {"safe": "pure", "keyed": "receipted", "unsafe": "effectful"}
CONTROLS = {"any": "first voice", "share": "by count", "timer": "automatic"}
Trouble = dict[str, Any]


class NotADay(Exception):
    """The text is no day of the bench; says what is missing."""


def _part(trouble: Trouble, units: int, machines: int) -> int:
    """As many units as the bench's trouble hits of its fleet, in proportion, one at the least."""
    return max(1, round(len(trouble["on"]) * units / max(1, machines)))


Made = list[dict[str, Any]]


def _units(kind: str, size: Callable[[Trouble], float] = lambda trouble: 1.0) -> Callable[[Trouble, Any], Made]:
    def make(trouble: Trouble, scale: Any) -> Made:
        count = _part(trouble, scale["units"], scale["machines"])
        return [{"kind": kind, "count": count, "size": size(trouble)}]

    return make


def _plain(kind: str, size: Callable[[Trouble], float] = lambda trouble: 1.0) -> Callable[[Trouble, Any], Made]:
    return lambda trouble, scale: [{"kind": kind, "size": size(trouble)}]


def _own(trouble: Trouble) -> float:
    return float(trouble["size"])


def _tenant(trouble: Trouble, scale: Any) -> Made:
    tenant = scale["members"][trouble["which"] % len(scale["members"])] if scale["members"] else None
    return [{"kind": "member_burst", "size": trouble["size"], "member": tenant}]


def _control(trouble: Trouble, scale: Any) -> Made:
    kinds = {"silence": "desk_mute", "errors": "desk_away", "stale": "desk_stale"}
    return [{"kind": kinds.get(trouble.get("how", ""), "desk_mute"), "size": trouble["size"]}]


def _slow_lane(trouble: Trouble, scale: Any) -> Made:
    request_class = scale["lanes"][trouble["which"] % len(scale["lanes"])]
    # The bench has the work wait for some seconds on something else; here it holds its core for as long.
    factor = min(20.0, 1 + trouble["size"] * 1000 / scale["work"][request_class])
    return [{"kind": "slow_lane", "size": factor, "lane": request_class}]


def _give_up(trouble: Trouble, scale: Any) -> Made:
    return [{"kind": "give_up", "size": min(1.0, trouble["size"]), "extra": min(1.0, trouble["extra"])}]


MAKERS: dict[str, Callable[[Trouble, Any], Made]] = {
    "crash": _units("kill"),
    "vanish": _units("stop"),
    "slow": _units("slow", _own),
    "fast_errors": _units("errors", _own),
    "neighbour": _units("neighbour", _own),
    "false_reports": _units("false_reports", _own),
    "idle_reap": _units("idle_reap", _own),
    "conn_squeeze": _units("few_connections", lambda trouble: max(2.0, round(_own(trouble)))),
    "burst": _plain("burst", _own),
    "tenant_burst": _tenant,
    "hot_key": _plain("hot_key", _own),
    "hot_caller": _plain("hot_caller", _own),
    "heavy_tail": _plain("heavy_tail", _own),
    "bad_requests": _plain("bad_requests", _own),
    "retry_abuse": _plain("retry_abuse", lambda trouble: max(1.0, round(_own(trouble)))),
    "slow_class": _slow_lane,
    "give_up": _give_up,
    "peer_down": _plain("peers_lost"),
    "control_down": _control,
    "balancer_roll": _plain("relay_roll", lambda trouble: min(2.0, max(0.2, float(trouble["extra"])))),
}


def script(text: bytes, name: str) -> tuple[dict[str, Any], list[str]]:
    """The day as a settings record, and what had to be changed or left out. Raises NotADay."""
    try:
        day = msgspec.json.decode(text)
        said: list[str] = []
        return {"day": _day(day, name, said)}, said
    except msgspec.DecodeError as fault:
        raise NotADay(f"not JSON: {fault}") from None
    except (KeyError, TypeError, IndexError, ValueError, AttributeError, ZeroDivisionError) as fault:
        raise NotADay(f"no day of the bench: {type(fault).__name__} {fault}") from None


def _day(day: dict[str, Any], name: str, said: list[str]) -> dict[str, Any]:
    fam, kind = day["fam"], day["tiers"][0]["kinds"][0]
    machines, balancers = int(fam["places"]), len(day["balancers"])
    units, relays = min(MOST_UNITS, machines), min(MOST_RELAYS, balancers)
    for what, few, many in (("units", units, machines), ("relays", relays, balancers)):
        if few < many:
            said.append(f"{few} {what} in place of {many}")
    classes = [row for row in day["classes"] if row["share"] > 0]
    work = {row["name"]: row["work"] / 1000 for row in classes}
    shares = sum(row["share"] for row in classes)
    mean = sum(row["share"] / shares * work[row["name"]] for row in classes)
    rate = day["traffic"]["load"] * units * kind["cores"] * 1000 / mean
    if rate > MOST_RATE:
        # The same load with fewer lookups: each is made so much longer.
        stretch = rate / MOST_RATE
        said.append(f"{MOST_RATE:g} lookups a second in place of {rate:.0f}, each {stretch:.1f} times the work")
        work, rate = {request_class: ms * stretch for request_class, ms in work.items()}, MOST_RATE
    request_classes = [_lane(row, said) for row in classes]
    tenants = [
        {
            "name": row["name"],
            "quota": row["quota"] * rate / max(0.01, day["traffic"]["load"]),
            "share": row["share"],
        }
        for row in day["tenants"]
    ]
    scale = {
        "units": units,
        "machines": machines,
        "lanes": [request_class["name"] for request_class in request_classes],
        "work": work,
        "members": [row["name"] for row in tenants],
    }
    seconds = round(min(600.0, day["length"] / 1e6), 1)
    return {
        "name": name,
        "says": f"from a day of the bench, {day['site']} {day['kind']}",
        "seconds": seconds,
        "relays": relays,
        "units": {
            "count": units,
            "zones": list(day["zones"]),
            "cores": kind["cores"],
            "waiting_room": kind["queue"],
            "boot_ms": fam["boot"] / 1000,
            "cold_share": kind["cold_from"],
            "cold_ms": kind["cold"] / 1000,
            "errors": kind["error_rate"],
            "report_ms": day["tiers"][0]["report_period"] / 1000,
        },
        "service": {
            "lanes": request_classes,
            "members": tenants,
            "allowance": {
                "trips": min(16, day["allow"]["max_attempts"]),
                "calling_off": day["allow"]["cancel"],
                "probes": day["allow"]["probes"],
                "second_copies": day["allow"]["second_copies"],
            },
            "duties": _limits(day),
            "trial": _trial(fam),
            "poll": _poll(fam, relays),
        },
        "clients": {
            "rate": rate,
            "retries": day["clients"]["retries"],
            "try_share": day["clients"]["try_share"],
            "honour": day["clients"]["honour"],
            "backoff_ms": day["clients"]["backoff_us"] / 1000,
            "keys": day["traffic"]["keys"],
            "work": [
                {"lane": row["name"], "share": row["share"], "ms": work[row["name"]], "cv": row["cv"]}
                for row in classes
            ],
        },
        "roster": {
            "late_ms": day["discovery"]["add"] / 1000,
            "silent_ms": day["discovery"]["silent_notice"] / 1000,
        },
        "desk": {
            "told_ms": fam["told_late"] / 1000,
            "push_ms": fam["push"] / 1000,
            "offers": _offers(fam, request_classes, said),
        },
        "events": _events(day, scale, seconds, said),
    }


def _lane(row: dict[str, Any], said: list[str]) -> dict[str, Any]:
    methods = {"pure": ["GET"], "receipted": ["PUT"], "effectful": ["POST"]}
    repeat = REPEATS[row["effect"]]
    if row["stream"]:
        said.append(f"lane {row['name']} streams on the bench; here its answers come whole")
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


def _trial(fam: dict[str, Any]) -> dict[str, Any]:
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


def _offers(fam: dict[str, Any], request_classes: list[dict[str, Any]], said: list[str]) -> list[dict[str, Any]]:
    ways = {"errors", "slow", "load", "late", "wrong", "shared"}
    offers = []
    for row in fam["releases"]:
        offer = {"at": row["at"] / 1e6, "speed": row["speed"], "strength": min(1.0, row["strength"])}
        if row["bad"] == "class":
            offer |= {"bad": "lane", "lane": request_classes[row["class"] % len(request_classes)]["name"]}
        elif row["bad"] in ways:
            offer["bad"] = row["bad"]
        elif row["bad"]:
            said.append(f"cannot be carried over: a build that is bad by {row['bad']!r}; it is offered as a good one")
        offers.append(offer)
    return offers


def _events(day: dict[str, Any], scale: Any, seconds: float, said: list[str]) -> list[dict[str, Any]]:
    events = []
    for trouble in day["troubles"]:
        kind = trouble["kind"]
        if kind == "bad_build":
            continue  # it stands among the builds that are offered
        if kind not in MAKERS:
            said.append(f"cannot be carried over: {kind}")
            continue
        at = trouble["at"] / 1e6
        if at > seconds:
            said.append(f"left out: {kind}, which comes at {at:.1f} s, after the day's end")
            continue
        for event in MAKERS[kind](trouble, scale):
            row = {"at": round(at, 3), "for": round(max(0.1, trouble["len"] / 1e6), 3), **event}
            events.append({name: value for name, value in row.items() if value is not None})
    return events


def written(record: dict[str, Any], said: list[str]) -> str:
    """The script as text, with what was changed in its head."""
    head = [f"// {line}" for line in ["A day of the bench, for sockets.", *said]]
    return "\n".join(head) + "\n" + json.dumps(record, indent=2) + "\n"
