"""The records of the feeds, as msgspec types: JSON objects, one a line where they come as a stream."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]
BuildNumber = Annotated[int, Meta(ge=0, le=65535)]
NonNegativeFloat = Annotated[float, Meta(ge=0, le=1e15)]
T = TypeVar("T")
MAX_LINE_BYTES = 1 << 20  # bytes of one line


class MessageError(Exception):
    """What came is not such a record; the text says which field and why."""


class EndpointMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One unit, as the roster knows it. `started_ms` is on the roster's clock; null: long ago."""

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
    coverage: Literal["full", "changes"]
    version: NonNegativeInt
    clock_ms: NonNegativeFloat
    units: Annotated[list[EndpointMessage], Meta(max_length=20000)]


class RolloutMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    build: BuildNumber
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Literal["trial", "reverting", "released", "withdrawn"]
    cap: Annotated[float, Meta(ge=0, le=1)]
    age_ms: NonNegativeFloat


class VoteRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    relay: NonNegativeInt
    build: BuildNumber
    stage: Annotated[int, Meta(ge=0, le=1000)]
    verdict: Literal["none", "on", "hold", "back"]


class VoteResponse(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    word: Literal["done", "moot", "overloaded", "failed"]
    news: RolloutMessage


class Complaint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    unit: Name
    lane: Name
    age_ms: NonNegativeFloat


class LoadMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A unit's load report, in an answer's Lanelead-Load field or to a probe."""

    waiting: NonNegativeFloat | None = None
    active: NonNegativeFloat | None = None
    cpu: NonNegativeFloat | None = None
    avg_ms: NonNegativeFloat | None = None
    rps: NonNegativeFloat | None = None
    err_rps: NonNegativeFloat | None = None


def decode(data: bytes, kind: type[T], longest: int = MAX_LINE_BYTES) -> T:
    """Raises Malformed, with the field and what was expected of it."""
    if len(data) > longest:
        raise MessageError(f"{len(data)} bytes, of {longest} at most")
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as fault:
        raise MessageError(str(fault)[:300]) from None


encode = msgspec.json.encode


class LineSplitter:
    """Cuts a stream into lines; raises Malformed at one that is too long."""

    def __init__(self, longest: int = MAX_LINE_BYTES) -> None:
        self._rest, self._longest = b"", longest

    def feed(self, data: bytes) -> list[bytes]:
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > self._longest:
            raise MessageError(f"a line of over {self._longest} bytes")
        return [line for line in lines if line.strip()]
