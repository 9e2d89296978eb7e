"""Sizes, settings and endpoint names of measured fleets, both simulated ones and real processes."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

from lanelead.protocols.feeds import EndpointMessage

ZONES = 4  # two regions: zones 0 and 1, zones 2 and 3


@dataclass(frozen=True)
class Size:
    """Size and load of a fleet.

    `rate`: mean requests a second at one relay. `answer`: mean time that an endpoint takes to answer, in ms, with a
    lognormal distribution whose coefficient of variation is `spread`. `whole`: number of full relays, the others being
    echoes (see `fleet.py`); 0 stands for all.
    """

    relays: int
    units: int
    rate: float
    answer: float = 85.0
    spread: float = 0.6
    whole: int = 0
    watchers: int = 7
    transit: tuple[float, float] = (2.0, 14.0)  # ms, least and most, of a gossip message
    link: float = 0.4  # ms, round trip to an endpoint
    probes: float = 0.08  # price of a probe, high enough that relays use gossip
    handshake: float = 0.02  # price
    peers: bool = True


def settings(size: Size, number: int) -> dict[str, Any]:
    """The settings of relay `number`, as its configuration file has them."""
    request_class = {
        "aimMs": 1200.0,
        "deadlineMs": 4000.0,
        "credit": 1.0,
        "lateWorth": 0.2,
        "group": "all",
        "windowMs": 2000.0,
        "streaming": False,
    }
    back = max(1, min(size.watchers, size.relays) * 4 // 5)
    return {
        "me": number,
        "instances": size.relays,
        "zone": f"z{number % ZONES}",
        "tickMs": 5.0,
        "discovery": "automatic",
        "requestClasses": [
            {**request_class, "name": "read", "repeat": "read_like"},
            {**request_class, "name": "file", "repeat": "non_idempotent"},
        ],
        "accounts": [{"name": "m", "quotaPerS": size.rate * size.relays * 1.2, "share": 1.0}],
        "allowed": {
            "attemptsCap": 3,
            "openCap": 4000,
            "maxStreams": 1,
            "mayCancel": True,
            "probes": True,
            "peers": size.peers,
            "secondCopies": False,
            "retryAfter": True,
            "maxRetryAfterMs": 2000.0,
            "connectTimeoutMs": 250.0,
            "connIdleMs": 15000.0,
        },
        "contract": {
            "answerSlackMs": 20.0,
            "drainGraceMs": 2000.0,
            "coldFrom": 0.5,
            "coldMs": 2000.0,
            "fallMultiple": 4.0,
            "fallMs": 1000.0,
        },
        "familyInfo": {
            "shares": [0.1, 1.0],
            "mostShares": [0.2, 1.0],
            "uncounted": 3.0,
            "countedOverMs": 3000.0,
            "capScope": "all",
            "decidedBy": "by_count",
            "onVotes": max(1, back),
            "noesNeeded": back,
            "apiTimeoutMs": 300.0,
            "voteTtlMs": 6000.0,
            "voteAllowance": 100.0,
            "minDwellMs": 1000.0,
        },
        "prices": {"probe": size.probes, "handshake": size.handshake},
        "loadReport": {"how": "pull", "names": ["waiting", "cpu"]},
    }


def listing(units: int, first: int = 0, condition: Any = "ready") -> list[EndpointMessage]:
    """Rows of endpoints, assigned to zones in turn, with names that look random."""
    return [
        EndpointMessage(
            unit_name(number), "127.0.0.1", 5432, f"z{number % ZONES}", 1, condition, number // 4, "std", None
        )
        for number in range(first, first + units)
    ]


def unit_name(number: int) -> str:
    """The name of an endpoint."""
    return f"svc{number % 300:03d}-{zlib.crc32(b'%d' % number):08x}"
