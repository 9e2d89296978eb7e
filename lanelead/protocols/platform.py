"""The platform's words: JSON-RPC 2.0, one object a line, and discovery's lists, read into the relay's own.

Names that are not known here are skipped; what a record must have, it must have in the right form.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from lanelead.decisions.interface import Fate, Verdict
from lanelead.protocols.records import Build, Listed, Malformed, NewsLine, Positive, Row, Whole, decode

PHASES = {"testing": "trial", "recalling": "reverting", "live": "released", "recalled": "withdrawn"}
STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
VERDICTS = {Verdict.NONE: "abstain", Verdict.ON: "promote", Verdict.HOLD: "pause", Verdict.BACK: "abort"}
WORDS = {"too_many_calls": Fate.TURNED_AWAY, "out_of_date": Fate.UNSENT}  # any other error: it did not count


class State(msgspec.Struct, frozen=True):
    """Where the newest build stands."""

    build: Build
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Literal["testing", "recalling", "live", "recalled"]
    cap: Annotated[float, Meta(ge=0, le=1)]
    age_ms: Positive

    def line(self) -> NewsLine:
        return NewsLine(self.build, self.stage, PHASES[self.phase], self.cap, self.age_ms)  # type: ignore[arg-type]


class Wrong(msgspec.Struct, frozen=True):
    message: str


class Line(msgspec.Struct, frozen=True):
    """An answer (with an id) or a notification (with a method)."""

    jsonrpc: Literal["2.0"]
    id: int | None = None
    result: msgspec.Raw = msgspec.Raw()
    error: Wrong | None = None
    method: str | None = None
    params: msgspec.Raw = msgspec.Raw()


class Endpoint(msgspec.Struct, frozen=True):
    id: Annotated[str, Meta(min_length=1, max_length=64)]
    addr: Annotated[str, Meta(pattern=r"^[^:]+:[0-9]{1,5}$|^\[[0-9A-Fa-f:]+\]:[0-9]{1,5}$")]
    state: Literal["active", "leaving", "left"]
    zone: str = ""
    kind: str = ""
    cell: Whole = 0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    started_ms: Positive = 0.0
    revision_no: Build = 0


class Endpoints(msgspec.Struct, frozen=True):
    version: Whole
    full: bool
    servers: Annotated[list[Endpoint], Meta(max_length=20000)]


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Malformed(f"not an address: {text[:80]!r}")
    return host.strip("[]"), int(port)


def listed(found: Endpoints) -> Listed:
    """Discovery's list as the driver takes it. One clock is read by all machines: Unix time."""
    rows = []
    for point in found.servers:
        host, port = address(point.addr)
        rows.append(
            Row(
                point.id,
                host,
                port,
                point.zone,
                point.revision_no,
                STATES[point.state],  # type: ignore[arg-type]
                point.cell,
                point.kind,
                point.started_ms or None,
                point.weight,
            )
        )
    return Listed("full" if found.full else "changes", found.version, 0.0, rows)


def asked(number: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    call: dict[str, Any] = {"jsonrpc": "2.0", "id": number, "method": method}
    if params is not None:
        call["params"] = params
    return msgspec.json.encode(call) + b"\n"


def state(raw: msgspec.Raw) -> State:
    return decode(bytes(raw), State)
