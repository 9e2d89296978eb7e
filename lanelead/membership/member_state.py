"""What a member keeps of others, of its own probes and of updates to disseminate; and its constants."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import log2
from struct import Struct
from typing import NamedTuple

from lanelead.decisions.interface import Ticks
from lanelead.membership.messages import MemberRecord, Update

DIGEST_INPUT = Struct(">HQI")  # number, start, incarnation
DIGEST_BYTES = 4
ROUNDS_PER_PERIOD = 3  # a ping is repeated in each round until it is answered; gossip goes out in each
INDIRECT_PROBES = 3  # members asked to ping in one's place, in each round of a period but the first
GOSSIP_FANOUT = 3  # members that are sent updates in a round
MAX_LOCAL_HEALTH = 8  # periods get at most one more than this times as long
SUSPICION_CONFIRMATIONS = 3  # other reporters of a suspicion with which its timeout is the least
MAX_RELAYED_PROBES = 64  # at a time: a flood of requests costs pings, not memory
MAX_UPDATES_PER_MESSAGE = 12  # more than fit into one
MAX_PAGES_PER_REQUEST = 8
MAX_RECORDS_PER_PAGE = 12  # more than fit into one
TABLE_REQUEST_RETRIES = 3
RECONNECT_INTERVAL_PERIODS = 20  # mean, between pings of members that are not there
MAX_REMEMBERED_ADDRESSES = 32  # of dead members whose records are dropped: some of each region that is cut off
ADDRESS_RETENTION_FACTOR = 144  # times the retention of a dead member's record
Address = tuple[str, int]


@dataclass(frozen=True)
class MembershipTimings:
    """`period`: of the failure detector; `retention`: how long records of the dead are kept. Both in ticks."""

    period: Ticks
    retention: Ticks

    def min_suspicion_time(self, members: int) -> Ticks:
        """Returns the least timeout of a suspicion: as many rounds as gossip needs to reach all, and back."""
        return int((6 + 2 * log2(members + 1) / log2(GOSSIP_FANOUT + 1)) * self.period / ROUNDS_PER_PERIOD)


class MemberChange(NamedTuple):
    """A member's record before a change (None for a new member) and after it."""

    before: MemberRecord | None
    after: MemberRecord


@dataclass(slots=True)
class Suspicion:
    """A suspicion that becomes a death unless the suspect refutes it."""

    since: Ticks
    reporters: dict[int, None]  # in the order in which they were received
    probed: bool  # whether this member itself pings the suspect


class ProbeRequester(NamedTuple):
    """The member for which a probe is made, and its own sequence number."""

    number: int
    sequence_number: int


@dataclass(slots=True)
class Probe:
    """The ping of this period, or one that is sent in another member's place."""

    sequence_number: int
    target: int
    expires_at: Ticks
    requester: ProbeRequester | None = None
    nacks: int = 0
    helpers_asked: int = 0
    acknowledged: bool = False


class TableTransfer(NamedTuple):
    """A table that is being fetched: from whom, from which member number on, until when."""

    source: Address
    first_number: int
    expires_at: Ticks
    retries_left: int


class RememberedAddress(NamedTuple):
    """Where a dead member was whose record is dropped."""

    address: Address
    expires_at: Ticks


@dataclass(slots=True)
class MembershipCounters:
    """What a member has done since its start."""

    messages_sent: int = 0
    bytes_sent: int = 0
    undecodable: int = 0  # payloads received
    suspicions: int = 0  # by this member's own probes
    refutations: int = 0  # of claims against this member
    table_requests: int = 0


@dataclass(slots=True)
class PendingUpdate:
    """An update to disseminate, and how often it was sent."""

    update: Update
    sent_count: int = 0


def record_digest(record: MemberRecord) -> int:
    """Returns what a record adds to the digest of a table, which is their sum (exclusive or).

    No CRC: it is affine, so that the same step in the incarnations of two members would cancel in the sum, and a member
    that missed both would never learn of it.
    """
    data = DIGEST_INPUT.pack(record.number, record.started_at_ms, record.incarnation)
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest())
