"""Messages between members, as msgpack within the size of one datagram between relays.

Kinds after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol", DSN 2002), `Nack` after Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018), `TableRequest` and `TablePage` for
members that have just joined or have missed something. All are arrays: the order of fields is the wire's.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from lanelead.protocols.datagrams import MAX_MESSAGE_BYTES

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATE_NAMES = ("alive", "suspect", "dead", "left")
NUMBERS_END = 65536  # one above the highest member number
LIST_HEADERS_BYTES = 4  # the headers of both lists of updates may grow by two bytes each

MemberNumber = Annotated[int, msgspec.Meta(ge=0, le=65535)]
StartTime = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
State = Annotated[int, msgspec.Meta(ge=ALIVE, le=LEFT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=45)]  # as long as an address of IPv6
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
PageBound = Annotated[int, msgspec.Meta(ge=0, le=NUMBERS_END)]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A member as it is known.

    `started_at_ms`: milliseconds since 1970 when its process started; a restart is another process with a later start.
    `incarnation`: SWIM's incarnation number within that process, which only the member itself raises.
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
        """Of two records of one member, the one of the higher rank holds (SWIM, section 4.2)."""
        return self.started_at_ms, self.incarnation, self.state

    @property
    def has_departed(self) -> bool:
        """Whether it is dead or left."""
        return self.state >= DEAD


class StateClaim(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What `reporter` says of a member whose record is known; shorter than a record, without an address."""

    number: MemberNumber
    started_at_ms: StartTime
    incarnation: Incarnation
    state: State
    reporter: MemberNumber


Update = MemberRecord | StateClaim


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True, tag_field="kind"):
    """A message from `sender`; `digest` is of all members that it takes to be there. Any kind carries updates."""

    sender: MemberNumber
    started_at_ms: StartTime
    digest: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    records: list[MemberRecord]
    claims: list[StateClaim]


class Gossip(Message, tag=0):
    """Updates only."""


class Ping(Message, tag=1):
    """Asks `target` for an `Ack`; `target_started_at_ms` shows whether the sender knows its present process."""

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
    """Asks for the table from member `first_number` on. An `observer` reads it and is no member."""

    first_number: PageBound
    observer: bool


class TablePage(Message, tag=6):
    """Records of members from `first_number` up to, and without, `next_number`; `more_follows`: without a request."""

    first_number: PageBound
    next_number: PageBound
    more_follows: bool


AnyMessage = Gossip | Ping | Ack | Nack | PingRequest | TableRequest | TablePage
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder[AnyMessage](AnyMessage)


def decode_message(payload: bytes) -> AnyMessage | None:
    """Returns the message, or None if the payload is none of these or out of bounds."""
    try:
        message: AnyMessage = _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return message


def encoded_size(update: Update) -> int:
    """Returns how many bytes an update takes in a message."""
    return len(_encoder.encode(update))


def encode_message(message: AnyMessage, updates: Iterable[Update] = ()) -> tuple[bytes, list[Update]]:
    """Adds as many of the updates as fit, first ones first; returns the payload and the updates that went in.

    Raises ValueError if the message alone is too long: its own records are the caller's to bound.
    """
    size = len(_encoder.encode(message))
    if size > MAX_MESSAGE_BYTES:
        raise ValueError(f"{size} bytes, of {MAX_MESSAGE_BYTES} at most")
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
