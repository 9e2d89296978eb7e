"""Messages between members, encoded as msgpack; each fits into one datagram between relays.

The kinds follow SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", DSN 2002). `Nack` follows Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018). `TableRequest` and `TablePage`
bring members up to date that have just joined or have missed updates. Structs are encoded as arrays, so the order of
their fields is part of the protocol.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATE_NAMES = ("alive", "suspect", "dead", "left")
NUMBERS_END = 65536  # one above the highest member number
LIST_HEADERS_BYTES = 4  # the array headers of `records` and `claims` may grow by two bytes each

MemberNumber = Annotated[int, msgspec.Meta(ge=0, le=65535)]
StartTime = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
State = Annotated[int, msgspec.Meta(ge=ALIVE, le=LEFT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=45)]  # the length of the longest IPv6 address
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PageBound = Annotated[int, msgspec.Meta(ge=0, le=NUMBERS_END)]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The full record of a member, with its address.

    started_at_ms: when its process started, in milliseconds since 1970; a restarted process has a later start.
    incarnation: SWIM's incarnation number within that process, which only the member itself raises.
    """

    number: MemberNumber
    started_at_ms: StartTime
    incarnation: Incarnation
    state: State
    voter: bool
    zone: Name
    region: Name
    host: Host
    port: Port

    @property
    def rank(self) -> tuple[int, int, int]:
        """The precedence: of two records of a member, the one with the higher rank wins (SWIM, section 4.2)."""
        return self.started_at_ms, self.incarnation, self.state

    @property
    def has_departed(self) -> bool:
        """Whether the member is dead or has left."""
        return self.state >= DEAD


class StateClaim(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The state of a member as `reporter` claims it; shorter than a record, as it has no address."""

    number: MemberNumber
    started_at_ms: StartTime
    incarnation: Incarnation
    state: State
    reporter: MemberNumber


Update = MemberRecord | StateClaim


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of all messages, each of which carries updates.

    digest: of the records of all members that the sender has as alive or suspect.
    records, claims: the updates.
    """

    sender: MemberNumber
    started_at_ms: StartTime
    digest: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    records: list[MemberRecord]
    claims: list[StateClaim]


class Gossip(Message, tag=0):
    """Carries updates only."""


class Ping(Message, tag=1):
    """Asks `target` for an `Ack`; `target_started_at_ms` identifies the target's process that the sender knows."""

    sequence_number: SequenceNumber
    target: MemberNumber
    target_started_at_ms: StartTime


class Ack(Message, tag=2):
    """Answers a `Ping`, or a `PingRequest` whose target answered."""

    sequence_number: SequenceNumber


class Nack(Message, tag=3):
    """Answers a `PingRequest` whose target did not answer in time."""

    sequence_number: SequenceNumber


class PingRequest(Message, tag=4):
    """Asks a third member to ping `target` (SWIM's ping-req)."""

    sequence_number: SequenceNumber
    target: MemberNumber


class TableRequest(Message, tag=5):
    """Asks for the records of members from `first_number` on; an `observer` only reads them and is not a member."""

    first_number: PageBound
    observer: bool


class TablePage(Message, tag=6):
    """Records of members from `first_number` up to, excluding, `next_number`.

    more_follows: whether the next page is sent without another request.
    """

    first_number: PageBound
    next_number: PageBound
    more_follows: bool


AnyMessage = Gossip | Ping | Ack | Nack | PingRequest | TableRequest | TablePage
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder[AnyMessage](AnyMessage)


def decode_message(payload: bytes) -> AnyMessage | None:
    """Returns the decoded message, or None if the payload is not a valid message."""
    try:
        message: AnyMessage = _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return message


def encoded_size(update: Update) -> int:
    """Returns the size of an encoded update in bytes."""
    return len(_encoder.encode(update))


def encode_message(message: AnyMessage, updates: Iterable[Update] = ()) -> tuple[bytes, list[Update]]:
    """Encodes a message with as many of the updates as fit, in order; returns the payload and the added updates.

    Raises ValueError if the message without the updates is already too long.
    """
    size = len(_encoder.encode(message))
    if size > MAX_MESSAGE_BYTES:
        raise ValueError(f"{size} bytes exceed the limit of {MAX_MESSAGE_BYTES} bytes per message")
    remaining = MAX_MESSAGE_BYTES - size - LIST_HEADERS_BYTES
    added: list[Update] = []
    for update in updates:
        needed = encoded_size(update)
        if needed > remaining:
            break
        remaining -= needed
        added.append(update)
        if isinstance(update, MemberRecord):
            message.records.append(update)
        else:
            message.claims.append(update)
    return _encoder.encode(message), added
