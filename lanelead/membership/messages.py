"""What members of a circle write to each other, as msgpack within the bound of one letter between relays.

Kinds after SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002), `Nack` after Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018), `Join` and
`Table` for those that have just come or have missed something.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from lanelead.runtime.endpoint_registry import MAX_MESSAGE_BYTES

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")

Number = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Life = Annotated[int, msgspec.Meta(ge=0, lt=1 << 48)]
Turn = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
State = Annotated[int, msgspec.Meta(ge=ALIVE, le=LEFT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=45)]  # as long as an address of IPv6
Seq = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class Row(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A member as it was told of. `life`: milliseconds since 1970 when its process started; `turn`: its
    incarnation number in that life, which only itself raises."""

    number: Number
    life: Life
    turn: Turn
    state: State
    voter: bool
    zone: Name
    region: Name
    host: Host
    port: Port

    @property
    def rank(self) -> tuple[int, int, int]:
        """Of two rows of one member, the one of the higher rank holds (SWIM, section 4.2)."""
        return self.life, self.turn, self.state

    @property
    def gone(self) -> bool:
        return self.state >= DEAD


class Claim(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What `by` says of a member whose row is known."""

    number: Number
    life: Life
    turn: Turn
    state: State
    by: Number


class Letter(msgspec.Struct, array_like=True, forbid_unknown_fields=True, tag_field="kind"):
    """`sender` in its `life`; `digest`: of all that the sender takes to be there; rumors of any kind."""

    sender: Number
    life: Life
    digest: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    rows: list[Row]
    claims: list[Claim]


class Gossip(Letter, tag=0):
    pass


class Ping(Letter, tag=1):
    seq: Seq
    to: Number
    to_life: Life


class Ack(Letter, tag=2):
    seq: Seq


class Nack(Letter, tag=3):
    seq: Seq


class Ask(Letter, tag=4):
    """Ping `to` in my place."""

    seq: Seq
    to: Number


class Join(Letter, tag=5):
    """The table from the member `first` on, please. A `guest` reads and is no member."""

    first: Annotated[int, msgspec.Meta(ge=0, le=65536)]
    guest: bool


class Table(Letter, tag=6):
    """Rows of members `first` up to, and without, `then`; `more` on its way."""

    first: Annotated[int, msgspec.Meta(ge=0, le=65536)]
    then: Annotated[int, msgspec.Meta(ge=0, le=65536)]
    more: bool


AnyLetter = Gossip | Ping | Ack | Nack | Ask | Join | Table
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder[AnyLetter](AnyLetter)


def read(text: bytes) -> AnyLetter | None:
    """The letter, or None where it is none of these, whole and within all bounds."""
    try:
        letter: AnyLetter = _decoder.decode(text)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    return letter


def size(rumor: Row | Claim) -> int:
    return len(_encoder.encode(rumor))


def write(letter: AnyLetter, rumors: Iterable[Row | Claim] = ()) -> tuple[bytes, list[Row | Claim]]:
    """The letter with as many of the rumors, first ones first, as there is room for; and which went in.

    Raises ValueError where the letter alone is too long: its own rows are the caller's to bound.
    """
    room = MAX_MESSAGE_BYTES - len(_encoder.encode(letter)) - 4  # the two lists' heads may grow by two bytes each
    if room < -4:
        raise ValueError(f"{MAX_MESSAGE_BYTES - 4 - room} bytes, of {MAX_MESSAGE_BYTES} at most")
    taken: list[Row | Claim] = []
    for rumor in rumors:
        need = size(rumor)
        if need > room:
            break
        room -= need
        taken.append(rumor)
        if isinstance(rumor, Row):
            letter.rows.append(rumor)
        else:
            letter.claims.append(rumor)
    return _encoder.encode(letter), taken
