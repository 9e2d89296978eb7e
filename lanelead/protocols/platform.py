"""The platform's words: JSON-RPC 2.0, one object a line, and discovery's lists, read into the relay's own.

Names that are not known here are skipped; what a record must have, it must have in the right form. Of a list,
an entry that can't be read is refused alone: the others count.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta

from lanelead.decisions.interface import AttemptOutcome, Verdict
from lanelead.protocols.feeds import (
    BuildNumber,
    EndpointListMessage,
    EndpointMessage,
    MessageError,
    NonNegativeFloat,
    NonNegativeInt,
    RolloutMessage,
    decode,
)

ROLLOUT_PHASES = {"testing": "trial", "recalling": "reverting", "live": "released", "recalled": "withdrawn"}
ENDPOINT_STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
VERDICT_NAMES = {
    Verdict.ABSTAIN: "abstain",
    Verdict.PROMOTE: "promote",
    Verdict.HOLD: "pause",
    Verdict.ROLL_BACK: "abort",
}
# A host that can't be one raises other errors than OSError when connected to, which nobody catches.
HOST_LABEL_PATTERN = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
ADDRESS_PATTERN = rf"^{HOST_LABEL_PATTERN}(\.{HOST_LABEL_PATTERN})*:[0-9]{{1,5}}$|^\[[0-9A-Fa-f:]+\]:[0-9]{{1,5}}$"
ERROR_OUTCOMES = {
    "too_many_calls": AttemptOutcome.REJECTED,
    "out_of_date": AttemptOutcome.NOT_SENT,
}  # any other error: it did not count


class StageMessage(msgspec.Struct, frozen=True):
    """Where the newest build stands."""

    build: BuildNumber
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Literal["testing", "recalling", "live", "recalled"]
    cap: Annotated[float, Meta(ge=0, le=1)]
    age_ms: NonNegativeFloat

    def line(self) -> RolloutMessage:
        return RolloutMessage(self.build, self.stage, ROLLOUT_PHASES[self.phase], self.cap, self.age_ms)  # type: ignore[arg-type]


class RpcError(msgspec.Struct, frozen=True):
    message: str


class RpcMessage(msgspec.Struct, frozen=True):
    """An answer (with an id) or a notification (with a method)."""

    jsonrpc: Literal["2.0"]
    id: int | None = None
    result: msgspec.Raw = msgspec.Raw()
    error: RpcError | None = None
    method: str | None = None
    params: msgspec.Raw = msgspec.Raw()


class ListedEndpoint(msgspec.Struct, frozen=True):
    id: Annotated[str, Meta(min_length=1, max_length=64)]
    addr: Annotated[str, Meta(max_length=270, pattern=ADDRESS_PATTERN)]
    state: Literal["active", "leaving", "left"]
    zone: str = ""
    kind: str = ""
    cell: NonNegativeInt = 0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    started_ms: NonNegativeFloat = 0.0
    revision_no: BuildNumber = 0


class EndpointList(msgspec.Struct, frozen=True):
    version: NonNegativeInt
    full: bool
    servers: Annotated[list[msgspec.Raw], Meta(max_length=20000)]  # each an Endpoint, if it can be read


class EndpointLabel(msgspec.Struct, frozen=True):
    """What may still be read of an entry that is no Endpoint."""

    id: Any = None
    state: Any = None


class RejectedEntry(NamedTuple):
    """An entry that can't be read: which unit it names, if it does, and why it is refused."""

    id: str
    reason: str


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MessageError(f"not an address: {text[:80]!r}")
    return host.strip("[]"), int(port)


def _row(raw: msgspec.Raw) -> EndpointMessage:
    """Raises Malformed. One clock is read by all machines: Unix time."""
    text = bytes(raw)
    point = decode(text, ListedEndpoint, len(text))  # the list's length is bounded already
    host, port = parse_address(point.addr)
    return EndpointMessage(
        point.id,
        host,
        port,
        point.zone,
        point.revision_no,
        ENDPOINT_STATES[point.state],  # type: ignore[arg-type]
        point.cell,
        point.kind,
        point.started_ms or None,
        point.weight,
    )


def _label(raw: msgspec.Raw) -> tuple[str, bool]:
    """Which unit an entry names that can't be read, and whether it says that the unit wants nothing new."""
    try:
        text = bytes(raw)
        label = decode(text, EndpointLabel, len(text))
    except MessageError:
        return "", False
    return label.id if isinstance(label.id, str) else "", label.state in ("leaving", "left")


def _nobody(name: str) -> EndpointMessage | None:
    return None


def read_endpoint_list(
    found: EndpointList,
    last: Callable[[str], EndpointMessage | None] = _nobody,
    refused: list[RejectedEntry] | None = None,
) -> EndpointListMessage:
    """Discovery's list as the driver takes it; `refused` gets the entries that were refused, `last` says
    what counts of a unit so far, which goes on for a refused one. Yet one told as leaving gets nothing new,
    whatever else of its entry is wrong. A whole list that tells a unit twice and differently is refused for
    that unit; among changes the last word counts."""
    refusals = refused if refused is not None else []
    rows: dict[str, EndpointMessage] = {}
    bad: dict[str, tuple[str, bool]] = {}  # by name: why, and whether any entry says that it leaves
    for raw in found.servers:
        try:
            row = _row(raw)
        except MessageError as fault:
            name, leaves, reason = *_label(raw), str(fault)
            if not name:
                refusals.append(RejectedEntry("", reason))
                continue
        else:
            other = rows.get(row.unit, row)
            rows[row.unit] = row
            if not found.full or other == row:
                continue
            name, reason = row.unit, "told twice, and differently"
            leaves = {row.condition, other.condition} != {"ready"}
        bad[name] = reason, leaves or bad.get(name, ("", False))[1]
        if not found.full and leaves and (kept := rows.get(name) or last(name)):
            rows[name] = msgspec.structs.replace(kept, condition="draining")
    if found.full:
        for name, (_, leaves) in bad.items():
            rows.pop(name, None)
            if kept := last(name):
                rows[name] = msgspec.structs.replace(kept, condition="draining") if leaves else kept
    refusals += [RejectedEntry(name, reason) for name, (reason, _) in bad.items()]
    return EndpointListMessage("full" if found.full else "changes", found.version, 0.0, list(rows.values()))


def encode_call(number: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    call: dict[str, Any] = {"jsonrpc": "2.0", "id": number, "method": method}
    if params is not None:
        call["params"] = params
    return msgspec.json.encode(call) + b"\n"


def decode_stage(raw: msgspec.Raw) -> StageMessage:
    return decode(bytes(raw), StageMessage)
