"""The messages of the feeds over HTTP, as msgspec types: JSON objects, one a line where they come as a stream.

Field names and enumerations are the feeds' words; `lanelead/protocols/vocabulary.py` maps them to the code's terms.
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
    """What came is not such a message; the text says which field and why."""


class EndpointMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint, as discovery knows it. `started_ms` is on discovery's clock; null: long ago."""

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
    """The whole endpoint list, or changes of it; `clock_ms` is discovery's present time."""

    coverage: Literal["full", "changes"]
    version: NonNegativeInt
    clock_ms: NonNegativeFloat
    units: Annotated[list[EndpointMessage], Meta(max_length=20000)]


class RolloutMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the newest build stands, and since when."""

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
    """What came of a vote, and where the newest build stands now."""

    word: Literal["done", "moot", "overloaded", "failed"]
    news: RolloutMessage


class Complaint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client found a response wrong that an endpoint gave so long ago."""

    unit: Name
    lane: Name
    age_ms: NonNegativeFloat


class LoadMessage(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """An endpoint's load report, in a response's Lanelead-Load header or to a health check."""

    waiting: NonNegativeFloat | None = None
    active: NonNegativeFloat | None = None
    cpu: NonNegativeFloat | None = None
    avg_ms: NonNegativeFloat | None = None
    rps: NonNegativeFloat | None = None
    err_rps: NonNegativeFloat | None = None


def decode(data: bytes, message_type: type[T], max_bytes: int = MAX_LINE_BYTES) -> T:
    """A message of this type. Raises MessageError, with the field and what was expected of it."""
    if len(data) > max_bytes:
        raise MessageError(f"{len(data)} bytes, of {max_bytes} at most")
    try:
        return msgspec.json.decode(data, type=message_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)[:MAX_REASON_CHARACTERS]) from None


encode = msgspec.json.encode


class LineSplitter:
    """Cuts a stream into lines of at most `max_bytes`."""

    def __init__(self, max_bytes: int = MAX_LINE_BYTES) -> None:
        self._rest = b""
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that these bytes complete, without empty ones. Raises MessageError at one that is too long."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > self._max_bytes:
            raise MessageError(f"a line of over {self._max_bytes} bytes")
        return [line for line in lines if line.strip()]
