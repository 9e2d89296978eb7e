"""The messages that PostgreSQL relays exchange with the rollout platform and with discovery.

The rollout platform speaks JSON-RPC 2.0, one object per line; discovery sends endpoint lists. Both are converted to the
messages of lanelead/protocols/feeds.py, which the driver takes.

Unknown fields are ignored; fields without a default must be present, and all must be valid. Field names are those of
the wire, except where `name=` maps them. An invalid entry of an endpoint list does not invalidate the other entries.
"""

from __future__ import annotations

import re
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

# From the words of these messages to those of lanelead/protocols/feeds.py.
ROLLOUT_PHASES = {"testing": "trial", "recalling": "reverting", "live": "released", "recalled": "withdrawn"}
ENDPOINT_STATES = {"active": "ready", "leaving": "draining", "left": "gone"}
# The words for verdicts in a vote.
VERDICT_NAMES = {
    Verdict.ABSTAIN: "abstain",
    Verdict.PROMOTE: "promote",
    Verdict.HOLD: "pause",
    Verdict.ROLL_BACK: "abort",
}
# Connecting to an invalid host name raises errors other than OSError, so listed addresses must match this pattern.
HOST_LABEL_PATTERN = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
ADDRESS_PATTERN = rf"^{HOST_LABEL_PATTERN}(\.{HOST_LABEL_PATTERN})*:[0-9]{{1,5}}$|^\[[0-9A-Fa-f:]+\]:[0-9]{{1,5}}$"
# Outcome of a vote by error message. A vote for a stage that has ended ("out_of_date") is treated like one that was not
# sent. Any other message means AttemptOutcome.ERROR: the vote did not count.
ERROR_OUTCOMES = {
    "too_many_calls": AttemptOutcome.REJECTED,
    "out_of_date": AttemptOutcome.NOT_SENT,
}


class StageMessage(msgspec.Struct, frozen=True):
    """The rollout of the newest build: its stage and phase, its exposure limit and the stage's age."""

    build: BuildNumber
    stage: Annotated[int, Meta(ge=0, le=1000)]
    phase: Literal["testing", "recalling", "live", "recalled"]
    exposure_limit: Annotated[float, Meta(ge=0, le=1)] = msgspec.field(name="cap")
    age_ms: NonNegativeFloat

    def to_rollout_message(self) -> RolloutMessage:
        """Returns the message that the driver takes."""
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
    """An entry of discovery's endpoint list. `started_ms` is Unix time; 0: unknown."""

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
    """A full endpoint list (`full`) or changes to one. Each entry is a ListedEndpoint, decoded on its own."""

    version: NonNegativeInt
    full: bool
    entries: Annotated[list[msgspec.Raw], Meta(max_length=20000)] = msgspec.field(name="servers")


class EndpointIdAndState(msgspec.Struct, frozen=True):
    """The id and state of an invalid ListedEndpoint. They are of use even where its other fields are invalid."""

    id: Any = None
    state: Any = None


class RejectedEntry(NamedTuple):
    """The rejection of an endpoint's entry: the endpoint's id, empty if that cannot be decoded, and the reason."""

    id: str
    reason: str


PORT = re.compile(r"[0-9]{1,5}")


def parse_address(text: str) -> tuple[str, int]:
    """Splits `host:port` into host and port, and removes the brackets around an IPv6 host.

    Raises MessageError if the host is empty or the port is not from 1 to 65535. The host is not checked.
    """
    host, _, port = text.rpartition(":")
    if not host or not PORT.fullmatch(port) or not 0 < int(port) < 65536:
        raise MessageError(f"invalid address {text[:80]!r}; expected host:port with a port from 1 to 65535")
    return host.strip("[]"), int(port)


def _decode_entry(raw: msgspec.Raw) -> EndpointMessage:
    """Decodes and converts an entry. Raises MessageError."""
    text = bytes(raw)
    entry = decode(text, ListedEndpoint, len(text))  # the size of the whole list was checked before
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


def _decode_id_and_state(raw: msgspec.Raw) -> tuple[str, bool]:
    """Returns the id in an invalid entry, empty if it cannot be decoded, and whether its state is leaving or left."""
    try:
        text = bytes(raw)
        decoded = decode(text, EndpointIdAndState, len(text))
    except MessageError:
        return "", False
    return decoded.id if isinstance(decoded.id, str) else "", decoded.state in ("leaving", "left")


def _no_last_known(name: str) -> EndpointMessage | None:
    """The default `last_known`: no endpoint is known."""
    return None


class _Rejection(NamedTuple):
    reason: str
    leaving: bool  # whether a rejected entry of the endpoint has the state leaving or left


class _EndpointListReader:
    """Reads one endpoint list.

    entries: the entries to use, by endpoint: valid ones, and last known ones in place of rejected ones.
    rejections: the last rejection of each endpoint that has rejected entries.
    rejected_without_id: rejected entries whose id cannot be decoded.
    """

    def __init__(self, full: bool, last_known: Callable[[str], EndpointMessage | None]) -> None:
        self._full = full
        self._last_known = last_known
        self.entries: dict[str, EndpointMessage] = {}
        self.rejected_without_id: list[RejectedEntry] = []
        self.rejections: dict[str, _Rejection] = {}

    def read(self, raws: list[msgspec.Raw]) -> None:
        """Reads all entries."""
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
                leaving = {entry.condition, earlier.condition} != {"ready"}
                self._reject(entry.unit, "listed twice with different values", leaving)

    def _reject_invalid(self, raw: msgspec.Raw, reason: str) -> None:
        name, leaving = _decode_id_and_state(raw)
        if name:
            self._reject(name, reason, leaving)
        else:
            self.rejected_without_id.append(RejectedEntry("", reason))

    def _reject(self, name: str, reason: str, leaving: bool) -> None:
        """Records a rejection; in a list of changes, marks a known endpoint as draining if it is leaving."""
        earlier = self.rejections.get(name)
        self.rejections[name] = _Rejection(reason, leaving or (earlier is not None and earlier.leaving))
        if not self._full and leaving:
            known = self.entries.get(name) or self._last_known(name)
            if known:
                self.entries[name] = msgspec.structs.replace(known, condition="draining")

    def apply_last_known(self) -> None:
        """In a full list, replaces the entries of each endpoint with a rejected entry by its last known entry.

        The last known entry is used as draining if a rejected entry says that the endpoint is leaving. An endpoint
        without a last known entry is dropped.
        """
        for name, rejection in self.rejections.items():
            self.entries.pop(name, None)
            known = self._last_known(name)
            if known:
                leaving = rejection.leaving
                self.entries[name] = msgspec.structs.replace(known, condition="draining") if leaving else known


def read_endpoint_list(
    received: EndpointList,
    last_known: Callable[[str], EndpointMessage | None] = _no_last_known,
    rejected: list[RejectedEntry] | None = None,
) -> EndpointListMessage:
    """Converts discovery's list to the message that the driver takes.

    In a full list, an endpoint with a rejected entry keeps its `last_known` entry, even if another entry of it is
    valid, and is dropped if it has none. Two different valid entries of one endpoint are both rejected. In a list of
    changes, a rejected entry is ignored, and of several valid entries the last one counts.

    There is one exception in both: if a rejected entry says that the endpoint is leaving or has left, the known entry
    is used as draining, so that the endpoint gets no new attempts. In a list of changes, a later valid entry overrides
    that.

    `rejected` gets one RejectedEntry for each endpoint with rejected entries, and one for each entry without an id.
    """
    reader = _EndpointListReader(received.full, last_known)
    reader.read(received.entries)
    if received.full:
        reader.apply_last_known()
    if rejected is not None:
        rejected += reader.rejected_without_id
        rejected += [RejectedEntry(name, rejection.reason) for name, rejection in reader.rejections.items()]
    entries = list(reader.entries.values())
    # Discovery does not send its clock (`clock_ms`): `started_ms` is Unix time.
    return EndpointListMessage("full" if received.full else "changes", received.version, 0.0, entries)


def encode_call(call_id: int, method: str, params: dict[str, Any] | None = None) -> bytes:
    """Encodes a JSON-RPC request as one line."""
    call: dict[str, Any] = {"jsonrpc": "2.0", "id": call_id, "method": method}
    if params is not None:
        call["params"] = params
    return msgspec.json.encode(call) + b"\n"


def decode_stage(raw: msgspec.Raw) -> StageMessage:
    """Decodes a StageMessage. Raises MessageError."""
    return decode(bytes(raw), StageMessage)
