"""The messages that HTTP relays exchange with discovery, the rollout platform, endpoints and clients: JSON objects.

A stream carries one object per line. Field names and enumeration values are those of the wire;
`lanelead/protocols/vocabulary.py` maps them to the terms of the code.
"""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]
BuildNumber = Annotated[int, Meta(ge=0, le=65535)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e15)]
T = TypeVar("T")
MAX_LINE_BYTES = 1 << 20
MAX_REASON_CHARACTERS = 300


class MessageError(Exception):
    """The received data is not a valid message; the text names the field and the reason."""


class EndpointMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint of an endpoint list.

    condition: the endpoint's status.
    started_ms: start of the endpoint's process on discovery's clock; None: unknown, taken as long ago.
    size: relative capacity.
    """

    unit: Name
    host: Annotated[str, Meta(min_length=1, max_length=64)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: Name
    build: BuildNumber
    condition: Literal["ready", "draining", "gone"]
    cell: NonNegativeInt = 0
    kind: str = ""
    started_ms: NonNegativeFloat | None = None
    size: Annotated[float, Meta(gt=0, le=1e6)] = 1.0


class EndpointListMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The full endpoint list or changes to it. `clock_ms` is the current time of discovery's clock."""

    coverage: Literal["full", "changes"]
    version: NonNegativeInt
    clock_ms: NonNegativeFloat
    units: Annotated[list[EndpointMessage], Meta(max_length=20000)]


class RolloutMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The rollout of the newest build: its stage and phase, its exposure limit (`cap`) and the stage's age."""

    build: BuildNumber
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Literal["trial", "reverting", "released", "withdrawn"]
    cap: Annotated[float, Meta(ge=0, le=1)]
    age_ms: NonNegativeFloat


class VoteRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A relay's vote on a stage of a build."""

    relay: NonNegativeInt
    build: BuildNumber
    stage: Annotated[int, Meta(ge=0, le=1000)]
    verdict: Literal["none", "on", "hold", "back"]


class VoteResponse(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The outcome of a vote (`word`) and the current state of the rollout (`news`)."""

    word: Literal["done", "moot", "overloaded", "failed"]
    news: RolloutMessage


class Complaint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client's report that a response was wrong.

    unit: the endpoint that gave the response.
    lane: the request class.
    age_ms: time since the response.
    """

    unit: Name
    lane: Name
    age_ms: NonNegativeFloat


class LoadMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """An endpoint's load report, sent in a response's Lanelead-Load header or in the response to a health check.

    waiting, active: numbers of queued and executing requests.
    cpu: CPU load.
    avg_ms: average latency.
    rps, err_rps: requests and errors per second.
    """

    waiting: NonNegativeFloat | None = None
    active: NonNegativeFloat | None = None
    cpu: NonNegativeFloat | None = None
    avg_ms: NonNegativeFloat | None = None
    rps: NonNegativeFloat | None = None
    err_rps: NonNegativeFloat | None = None


def decode(data: bytes, message_type: type[T], max_bytes: int = MAX_LINE_BYTES) -> T:
    """Decodes a message of a given type. Raises MessageError, which names the field and what was expected."""
    if len(data) > max_bytes:
        raise MessageError(f"{len(data)} bytes, of {max_bytes} at most")
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)[:MAX_REASON_CHARACTERS]) from None


encode = msgspec.json.encode


class LineSplitter:
    """Splits a byte stream into lines of at most `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_LINE_BYTES) -> None:
        self._rest = b""
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the non-empty lines that `data` completes.

        Raises MessageError if the incomplete line after them is longer than `max_bytes`.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > self._max_bytes:
            raise MessageError(f"a line of over {self._max_bytes} bytes")
        return [line for line in lines if line.strip()]
