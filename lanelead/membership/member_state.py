"""What a member keeps of others, of its own pings and of rumors; and the figures that it goes by."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import log2
from struct import Struct
from typing import NamedTuple

from lanelead.decisions.interface import Ticks
from lanelead.membership.messages import MemberRecord, StateClaim

DIGEST_INPUT = Struct(">HQI")
ROUNDS_PER_PERIOD = 3  # in a period: a ping is sent at each of them until it is answered
INDIRECT_PROBES = 3  # that are asked to ping in a member's place, at each beat but the first
GOSSIP_FANOUT = 3  # members that are told rumors at a beat
MAX_LOCAL_HEALTH = 8  # of local health: periods are at most one and so many times as long
SUSPICION_CONFIRMATIONS = 3  # others that suspect the same, with whom the least wait is enough
MAX_PAGES_PER_REQUEST = 8  # letters that answer one call for the table
RECONNECT_INTERVAL_PERIODS = 20  # periods between calls on one that is not heard of
MAX_REMEMBERED_ADDRESSES = 32  # addresses of forgotten dead that are called on: some of each region that is cut off
ADDRESS_RETENTION_FACTOR = 144  # times `forget`, for which they are
Address = tuple[str, int]


@dataclass(frozen=True)
class MembershipTimings:
    """`period`: of the failure detector; `forget`: how long the dead are remembered. Both in ticks."""

    period: Ticks
    retention: Ticks

    def min_suspicion_time(self, members: int) -> Ticks:
        """The least wait of a suspicion: so many beats as gossip needs to reach all, and back."""
        return int((6 + 2 * log2(members + 1) / log2(GOSSIP_FANOUT + 1)) * self.period / ROUNDS_PER_PERIOD)


class MemberChange(NamedTuple):
    """What became of a member: its row before (None for one first heard of) and now."""

    before: MemberRecord | None
    after: MemberRecord


@dataclass(slots=True)
class Suspicion:
    since: Ticks
    reporters: dict[int, None]
    probed: bool  # whether this member itself asks the suspect


@dataclass(slots=True)
class Probe:
    """The ping of this period, or one sent in another's place."""

    sequence_number: int
    target: int
    expires_at: Ticks
    requester: tuple[int, int] | None = None  # whose, and its number there
    nacks: int = 0
    helpers_asked: int = 0
    acknowledged: bool = False


@dataclass(slots=True)
class MembershipCounters:
    messages_sent: int = 0
    bytes_sent: int = 0
    undecodable: int = 0
    suspicions: int = 0
    refutations: int = 0
    table_requests: int = 0


@dataclass(slots=True)
class PendingUpdate:
    update: MemberRecord | StateClaim
    sent_count: int = 0


def record_digest(row: MemberRecord) -> int:
    """What a row adds to the digest. No CRC: it is affine, so that the same step in the turns of two members
    would cancel in the sum, and a member that missed both would never learn of it."""
    text = DIGEST_INPUT.pack(row.number, row.started_at_ms, row.incarnation)
    return int.from_bytes(blake2b(text, digest_size=4).digest())
