"""What members of a circle write to each other, as msgpack within the bound of one letter between relays.

Kinds after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002), `Nack` after Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018), `Join` and
`Table` for those that have just come or have missed something.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from lanelead.runtime.gossip_codec import MAX_MESSAGE_BYTES

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATE_NAMES = ("alive", "suspect", "dead", "left")

MemberNumber = Annotated[int, msgspec.Meta(ge=0, le=65535)]
StartTime = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
State = Annotated[int, msgspec.Meta(ge=ALIVE, le=LEFT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=45)]  # as long as an address of IPv6
SequenceNumber = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A member as it was told of. `life`: milliseconds since 1970 when its process started; `turn`: its
    incarnation number in that life, which only itself raises."""

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
        """Of two rows of one member, the one of the higher rank holds (SWIM, section 4.2)."""
        return self.started_at_ms, self.incarnation, self.state

    @property
    def gone(self) -> bool:
        return self.state >= DEAD


class StateClaim(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What `by` says of a member whose row is known."""

    number: MemberNumber
    started_at_ms: StartTime
    incarnation: Incarnation
    state: State
    reporter: MemberNumber


class Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True, tag_field="kind"):
    """`sender` in its `life`; `digest`: of all that the sender takes to be there; rumors of any kind."""

    sender: MemberNumber
    started_at_ms: StartTime
    digest: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    records: list[MemberRecord]
    claims: list[StateClaim]


class Gossip(Message, tag=0):
    pass


class Ping(Message, tag=1):
    sequence_number: SequenceNumber
    target: MemberNumber
    target_started_at_ms: StartTime


class Ack(Message, tag=2):
    sequence_number: SequenceNumber


class Nack(Message, tag=3):
    sequence_number: SequenceNumber


class PingRequest(Message, tag=4):
    """Ping `to` in my place."""

    sequence_number: SequenceNumber
    target: MemberNumber


class TableRequest(Message, tag=5):
    """The table from the member `first` on, please. A `guest` reads and is no member."""

    first_number: Annotated[int, msgspec.Meta(ge=0, le=65536)]
    observer: bool


class TablePage(Message, tag=6):
    """Rows of members `first` up to, and without, `then`; `more` on its way."""

    first_number: Annotated[int, msgspec.Meta(ge=0, le=65536)]
    next_number: Annotated[int, msgspec.Meta(ge=0, le=65536)]
    more_follows: bool


AnyMessage = Gossip | Ping | Ack | Nack | PingRequest | TableRequest | TablePage
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder[AnyMessage](AnyMessage)


def decode_message(text: bytes) -> AnyMessage | None:
    """The letter, or None where it is none of these, whole and within all bounds."""
    try:
        letter: AnyMessage = _decoder.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return letter


def encoded_size(rumor: MemberRecord | StateClaim) -> int:
    return len(_encoder.encode(rumor))


def encode_message(
    letter: AnyMessage, rumors: Iterable[MemberRecord | StateClaim] = ()
) -> tuple[bytes, list[MemberRecord | StateClaim]]:
    """The letter with as many of the rumors, first ones first, as there is room for; and which went in.

    Raises ValueError where the letter alone is too long: its own rows are the caller's to bound.
    """
    room = MAX_MESSAGE_BYTES - len(_encoder.encode(letter)) - 4  # the two lists' heads may grow by two bytes each
    if room < -4:
        raise ValueError(f"{MAX_MESSAGE_BYTES - 4 - room} bytes, of {MAX_MESSAGE_BYTES} at most")
    taken: list[MemberRecord | StateClaim] = []
    for rumor in rumors:
        need = encoded_size(rumor)
        if need > room:
            break
        room -= need
        taken.append(rumor)
        if isinstance(rumor, MemberRecord):
            letter.records.append(rumor)
        else:
            letter.claims.append(rumor)
    return _encoder.encode(letter), taken
