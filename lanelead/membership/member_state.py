"""What a member keeps of others, of its own pings and of rumors; and the figures that it goes by."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import log2
from struct import Struct
from typing import NamedTuple

from lanelead.decisions.interface import Ticks
from lanelead.membership.messages import Claim, Row

HASHED = Struct(">HQI")
BEATS = 3  # in a period: a ping is sent at each of them until it is answered
HELPERS = 3  # that are asked to ping in a member's place, at each beat but the first
FAN = 3  # members that are told rumors at a beat
WORST = 8  # of local health: periods are at most one and so many times as long
ENOUGH = 3  # others that suspect the same, with whom the least wait is enough
PAGES = 8  # letters that answer one call for the table
UNHEARD = 20  # periods between calls on one that is not heard of
KEPT = 32  # addresses of forgotten dead that are called on: some of each region that is cut off
CALLED = 144  # times `forget`, for which they are
Address = tuple[str, int]


@dataclass(frozen=True)
class Tempo:
    """`period`: of the failure detector; `forget`: how long the dead are remembered. Both in ticks."""

    period: Ticks
    forget: Ticks

    def least(self, members: int) -> Ticks:
        """The least wait of a suspicion: so many beats as gossip needs to reach all, and back."""
        return int((6 + 2 * log2(members + 1) / log2(FAN + 1)) * self.period / BEATS)


class Change(NamedTuple):
    """What became of a member: its row before (None for one first heard of) and now."""

    before: Row | None
    now: Row


@dataclass(slots=True)
class Suspicion:
    since: Ticks
    by: dict[int, None]
    asked: bool  # whether this member itself asks the suspect


@dataclass(slots=True)
class Probing:
    """The ping of this period, or one sent in another's place."""

    seq: int
    to: int
    until: Ticks
    asker: tuple[int, int] | None = None  # whose, and its number there
    nacks: int = 0
    helpers: int = 0
    done: bool = False


@dataclass(slots=True)
class Counts:
    sent: int = 0
    bytes: int = 0
    unread: int = 0
    suspected: int = 0
    refuted: int = 0
    syncs: int = 0


@dataclass(slots=True)
class Rumor:
    what: Row | Claim
    told: int = 0


def hashed(row: Row) -> int:
    """What a row adds to the digest. No CRC: it is affine, so that the same step in the turns of two members
    would cancel in the sum, and a member that missed both would never learn of it."""
    text = HASHED.pack(row.number, row.life, row.turn)
    return int.from_bytes(blake2b(text, digest_size=4).digest())
