"""Data types and constants of a member: timings, suspicions, probes, pending updates, counters."""

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
ROUNDS_PER_PERIOD = 3  # in each, an unanswered ping is repeated and gossip is sent
INDIRECT_PROBES = 3  # members asked to ping the target, in each round of a period but the first
GOSSIP_FANOUT = 3  # members to which gossip is sent in each round
MAX_LOCAL_HEALTH = 8  # 0 is best; a period is (1 + local health) times as long
SUSPICION_CONFIRMATIONS = 3  # further reporters at which the timeout of a suspicion reaches its minimum
MAX_RELAYED_PROBES = 64  # pending at a time, so that a flood of requests does not use up memory
MAX_UPDATES_PER_MESSAGE = 12  # candidates for encoding; a datagram holds fewer
MAX_PAGES_PER_REQUEST = 8
MAX_RECORDS_PER_PAGE = 12  # candidates for encoding; a datagram holds fewer
TABLE_REQUEST_RETRIES = 3
RECONNECT_INTERVAL_PERIODS = 20  # mean interval between pings of absent members
MAX_REMEMBERED_ADDRESSES = 32  # of dead members with dropped records; enough to keep some of each partitioned region
ADDRESS_RETENTION_FACTOR = 144  # times the retention of a dead member's record
Address = tuple[str, int]


@dataclass(frozen=True)
class MembershipTimings:
    """Timings of membership, in ticks.

    period: time between probes of the failure detector, at the best local health.
    retention: how long the record of a member that is dead or has left is kept.
    """

    period: Ticks
    retention: Ticks

    def min_suspicion_time(self, members: int) -> Ticks:
        """Returns the minimum timeout of a suspicion, in ticks: rounds for gossip to reach all members and return."""
        return int((6 + 2 * log2(members + 1) / log2(GOSSIP_FANOUT + 1)) * self.period / ROUNDS_PER_PERIOD)


class MemberChange(NamedTuple):
    """A member's record before a change (None for a new member) and after it."""

    before: MemberRecord | None
    after: MemberRecord


@dataclass(slots=True)
class Suspicion:
    """A suspicion: the suspect is declared dead when it times out, unless refuted before."""

    since: Ticks
    reporters: dict[int, None]  # a set, in the order in which the reports were received
    probed: bool  # whether this member itself pings the suspect


class ProbeRequester(NamedTuple):
    """The member that requested a probe, and the sequence number of its request."""

    number: int
    sequence_number: int


@dataclass(slots=True)
class Probe:
    """A probe of a member: this period's own, or one relayed for a `requester`."""

    sequence_number: int
    target: int
    expires_at: Ticks
    requester: ProbeRequester | None = None
    nacks: int = 0
    ping_requests: int = 0  # sent to other members, several to one if repeated
    acknowledged: bool = False


class TableTransfer(NamedTuple):
    """A table transfer in progress: the next page starts at `first_number`, and is due at `expires_at`."""

    source: Address
    first_number: int
    expires_at: Ticks
    retries_left: int


class RememberedAddress(NamedTuple):
    """The last address of a dead member whose record was dropped, and how long it is kept."""

    address: Address
    expires_at: Ticks


@dataclass(slots=True)
class MembershipCounters:
    """Counts of a member's actions since its start."""

    messages_sent: int = 0
    bytes_sent: int = 0
    undecodable: int = 0  # received payloads
    suspicions: int = 0  # raised by this member's own probes
    refutations: int = 0  # of claims against this member
    table_requests: int = 0


@dataclass(slots=True)
class PendingUpdate:
    """An update to disseminate, and how many times it was sent."""

    update: Update
    sent_count: int = 0


def record_digest(record: MemberRecord) -> int:
    """Returns the digest of one record; the digest of a table is the XOR of its records' digests.

    A CRC is affine: equal increments of two members' incarnations would cancel out in the XOR, and a member that missed
    both would never notice. Hence BLAKE2b.
    """
    data = DIGEST_INPUT.pack(record.number, record.started_at_ms, record.incarnation)
    return int.from_bytes(blake2b(data, digest_size=DIGEST_BYTES).digest())
