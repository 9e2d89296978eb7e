"""Measures what endpoint lists cost one relay, full ones and changes: bytes on the wire, decoding, applying."""

from __future__ import annotations

from functools import partial
from typing import Literal

import msgspec

from benchmarks.slopes.hollow_relay import ROLLOUT_STATE, UNITS, ZONES, driver, read_parameters, settings
from benchmarks.slopes.series import Series, processor_us, traced_mb
from lanelead.http import serialization
from lanelead.postgres_relay.discovery_client import MAX_LIST_BYTES
from lanelead.protocols.feeds import decode
from lanelead.protocols.platform import EndpointList, ListedEndpoint, read_endpoint_list
from lanelead.runtime.driver import DecisionDriver

TENTH = 0.1
STATES: tuple[Literal["leaving", "active"], ...] = ("leaving", "active")


def endpoint(place: int, state: Literal["active", "leaving", "left"] = "active", port: int = 5432) -> ListedEndpoint:
    """An endpoint with its own address in 127/8, and fields as long as the platform's."""
    number = place + 1
    return ListedEndpoint(
        id=f"offers-{place % 300:03d}-{place:05d}",
        address=f"127.1.{number >> 8}.{number & 255}:{port}",
        state=state,
        zone=ZONES[place % len(ZONES)],
        kind="std-2c",
        cell=place % 60,
        weight=1.0,
        started_ms=1_790_000_000_000.0 + place,
        build=ROLLOUT_STATE["build"],
    )


def list_body(version: int, full: bool, units: list[ListedEndpoint]) -> bytes:
    """An endpoint list as JSON."""
    rows = [msgspec.Raw(msgspec.json.encode(unit)) for unit in units]
    return msgspec.json.encode(EndpointList(version, full, rows))


def response_size(text: bytes) -> int:
    """Bytes of discovery's HTTP response with this body."""
    return len(serialization.response(200, (), text, keep=False))


def decode_list(text: bytes) -> None:
    """Decodes a list as a relay does."""
    read_endpoint_list(decode(text, EndpointList, MAX_LIST_BYTES))


def apply_us(driver: DecisionDriver, texts: list[bytes]) -> float:
    """Mean processor time of applying one of the lists, microseconds; they are applied again and again in turn."""
    lists = [read_endpoint_list(decode(text, EndpointList, MAX_LIST_BYTES)) for text in texts]

    def all_of_them() -> None:
        for each in lists:
            driver.endpoints_listed(each, 0)

    return processor_us(all_of_them) / len(lists)


def driver_with_lists(texts: list[bytes]) -> DecisionDriver:
    """A driver to which these lists were applied."""
    filled_driver = driver(read_parameters(settings()))
    for text in texts:
        filled_driver.endpoints_listed(read_endpoint_list(decode(text, EndpointList, MAX_LIST_BYTES)), 0)
    return filled_driver


def measure(small: bool) -> list[Series]:
    """Measures all sizes and returns the series."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for size in (26, 150) if small else UNITS:
        whole = list_body(1, True, [endpoint(place) for place in range(size)])
        parts = {"one": 1, "tenth": max(1, round(TENTH * size))}
        changes = {
            name: [list_body(2, False, [endpoint(place, state) for place in range(many)]) for state in STATES]
            for name, many in parts.items()
        }
        memory, filled_driver = traced_mb(partial(driver_with_lists, [whole]))
        row = {
            ("whole.bytes", "B"): response_size(whole),
            ("whole.decode", "us"): processor_us(partial(decode_list, whole)),
            ("whole.take-in", "us"): apply_us(filled_driver, [whole]),
            ("memory", "MB"): memory,
        }
        for name, texts in changes.items():
            row[f"{name}.bytes", "B"] = sum(map(response_size, texts)) / len(texts)
            row[f"{name}.decode", "us"] = processor_us(partial(decode_list, texts[0]))
            row[f"{name}.take-in", "us"] = apply_us(filled_driver, texts)
        for at, value in row.items():
            points.setdefault(at, []).append((size, round(value, 3)))
    held_fixed = (
        "one flat list; addresses in 127/8, no fields but the platform's; driver and decisions real, hands "
        "hollow, clock still, no lookup under way, no steps kept"
    )
    notes = {
        "whole": "the whole list, all units known before and unchanged",
        "one": "a change of one unit, to leaving and back",
        "tenth": "a change of a tenth of the units, to leaving and back",
        "memory": "traced; driver, names and decisions after one whole list, nothing asked yet",
    }
    kinds = {"bytes": "the answer as HTTP, without the call", "decode": "JSON to the driver's rows"}
    kinds["take-in"] = "Driver.listed, up to the decisions' last act"
    return [
        Series(
            "lists",
            name,
            unit,
            "units",
            rows,
            "; ".join(filter(None, (notes[name.partition(".")[0]], kinds.get(name.partition(".")[2]), held_fixed))),
        )
        for (name, unit), rows in points.items()
    ]
