"""The platform's messages: JSON-RPC 2.0, one object a line, and discovery's endpoint lists.

Unknown fields are skipped; the fields of a record must be present and valid. Field names are those of the wire, but
where `name=` maps them. Of a list, an entry that cannot be read is rejected alone: the others count.
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
# An invalid host name would raise other errors than OSError when it is connected to.
HOST_LABEL_PATTERN = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
ADDRESS_PATTERN = rf"^{HOST_LABEL_PATTERN}(\.{HOST_LABEL_PATTERN})*:[0-9]{{1,5}}$|^\[[0-9A-Fa-f:]+\]:[0-9]{{1,5}}$"
ERROR_OUTCOMES = {
    "too_many_calls": AttemptOutcome.REJECTED,
    "out_of_date": AttemptOutcome.NOT_SENT,
}  # by error message; any other is AttemptOutcome.ERROR: the vote did not count


class StageMessage(msgspec.Struct, frozen=True):
    """The rollout of the newest build: its stage and phase, its exposure limit, and the stage's age."""

    build: BuildNumber
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Literal["testing", "recalling", "live", "recalled"]
    exposure_limit: Annotated[float, Meta(ge=0, le=1)] = msgspec.field(name="cap")
    age_ms: NonNegativeFloat

    def to_rollout_message(self) -> RolloutMessage:
        """The same as the driver takes it."""
        return RolloutMessage(self.build, self.stage, ROLLOUT_PHASES[self.phase], self.exposure_limit, self.age_ms)  # type: ignore[arg-type]


class RpcError(msgspec.Struct, frozen=True):
    """The error of a JSON-RPC response."""

    message: str


class RpcMessage(msgspec.Struct, frozen=True):
    """A response (with an id) or a notification (with a method)."""

    jsonrpc: Literal["2.0"]
    id: int | None = None
    result: msgspec.Raw = msgspec.Raw()
    error: RpcError | None = None
    method: str | None = None
    params: msgspec.Raw = msgspec.Raw()


class ListedEndpoint(msgspec.Struct, frozen=True):
    """An entry of discovery's list. `started_ms` is Unix time, 0 where it is not known."""

    id: Annotated[str, Meta(min_length=1, max_length=64)]
    address: Annotated[str, Meta(max_length=270, pattern=ADDRESS_PATTERN)] = msgspec.field(name="addr")
    state: Literal["active", "leaving", "left"]
    zone: str = ""
    kind: str = ""
    cell: NonNegativeInt = 0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    started_ms: NonNegativeFloat = 0.0
    build: BuildNumber = msgspec.field(default=0, name="revision_no")


class EndpointList(msgspec.Struct, frozen=True):
    """A snapshot (`full`) or changes; each entry is a ListedEndpoint, if it can be read."""

    version: NonNegativeInt
    full: bool
    entries: Annotated[list[msgspec.Raw], Meta(max_length=20000)] = msgspec.field(name="servers")


class EndpointLabel(msgspec.Struct, frozen=True):
    """What may still be read of an entry that is not a valid ListedEndpoint."""

    id: Any = None
    state: Any = None


class RejectedEntry(NamedTuple):
    """An entry that was rejected: its endpoint's id, empty if it cannot be read, and why."""

    id: str
    reason: str


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of `host:port`, where an IPv6 host is in brackets; raises MessageError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise MessageError(f"not an address: {text[:80]!r}")
    return host.strip("[]"), int(port)


def _decode_entry(raw: msgspec.Raw) -> EndpointMessage:
    """Raises MessageError."""
    text = bytes(raw)
    entry = decode(text, ListedEndpoint, len(text))  # the list's length is bounded already
    host, port = parse_address(entry.address)
    return EndpointMessage(
        entry.id,
        host,
        port,
        entry.zone,
        entry.build,
        ENDPOINT_STATES[entry.state],  # type: ignore[arg-type]
        entry.cell,
        entry.kind,
        entry.started_ms or None,
        entry.weight,
    )


def _decode_label(raw: msgspec.Raw) -> tuple[str, bool]:
    """The id in an invalid entry, empty if it cannot be read, and whether the endpoint leaves."""
    try:
        text = bytes(raw)
        label = decode(text, EndpointLabel, len(text))
    except MessageError:
        return "", False
    return label.id if isinstance(label.id, str) else "", label.state in ("leaving", "left")


def _nothing_known(name: str) -> EndpointMessage | None:
    return None


class _Rejection(NamedTuple):
    reason: str
    leaves: bool  # any of the endpoint's entries says that it leaves


class _ListReader:
    """One list while it is read: the valid entries by endpoint, and the rejected ones."""

    def __init__(self, full: bool, last_known: Callable[[str], EndpointMessage | None]) -> None:
        self._full = full
        self._last_known = last_known
        self.entries: dict[str, EndpointMessage] = {}
        self.unnamed: list[RejectedEntry] = []
        self.rejections: dict[str, _Rejection] = {}

    def take(self, raws: list[msgspec.Raw]) -> None:
        """Takes all entries."""
        entries = self.entries
        for raw in raws:
            try:
                entry = _decode_entry(raw)
            except MessageError as error:
                self._reject_invalid(raw, str(error))
                continue
            earlier = entries.get(entry.unit)
            entries[entry.unit] = entry
            if self._full and earlier is not None and earlier != entry:
                leaves = {entry.condition, earlier.condition} != {"ready"}
                self._reject(entry.unit, "told twice, and differently", leaves)

    def _reject_invalid(self, raw: msgspec.Raw, reason: str) -> None:
        name, leaves = _decode_label(raw)
        if name:
            self._reject(name, reason, leaves)
        else:
            self.unnamed.append(RejectedEntry("", reason))

    def _reject(self, name: str, reason: str, leaves: bool) -> None:
        earlier = self.rejections.get(name)
        self.rejections[name] = _Rejection(reason, leaves or (earlier is not None and earlier.leaves))
        if not self._full and leaves:
            known = self.entries.get(name) or self._last_known(name)
            if known:
                self.entries[name] = msgspec.structs.replace(known, condition="draining")

    def apply_last_known(self) -> None:
        """In a snapshot, puts the last known entry in place of each rejected one."""
        for name, rejection in self.rejections.items():
            self.entries.pop(name, None)
            known = self._last_known(name)
            if known:
                leaves = rejection.leaves
                self.entries[name] = msgspec.structs.replace(known, condition="draining") if leaves else known


def read_endpoint_list(
    received: EndpointList,
    last_known: Callable[[str], EndpointMessage | None] = _nothing_known,
    rejected: list[RejectedEntry] | None = None,
) -> EndpointListMessage:
    """Discovery's list as the driver takes it; rejected entries are added to `rejected`.

    For a rejected entry the endpoint's `last_known` one goes on to count; but an endpoint that leaves gets nothing
    new, whatever else of its entry is wrong. A snapshot with two different entries of an endpoint is rejected for
    that endpoint; among changes the last entry counts.
    """
    reader = _ListReader(received.full, last_known)
    reader.take(received.entries)
    if received.full:
        reader.apply_last_known()
    if rejected is not None:
        rejected += reader.unnamed
        rejected += [RejectedEntry(name, rejection.reason) for name, rejection in reader.rejections.items()]
    entries = list(reader.entries.values())
    return EndpointListMessage("full" if received.full else "changes", received.version, 0.0, entries)


def encode_call(call_id: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    """A JSON-RPC request as one line."""
    call: dict[str, Any] = {"jsonrpc": "2.0", "id": call_id, "method": method}
    if params is not None:
        call["params"] = params
    return msgspec.json.encode(call) + b"\n"


def decode_stage(raw: msgspec.Raw) -> StageMessage:
    """Raises MessageError."""
    return decode(bytes(raw), StageMessage)
