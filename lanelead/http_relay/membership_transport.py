"""Runs a relay's membership protocol over the relay's UDP socket, with one timer."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.decisions.interface import Ticks
from lanelead.membership.member import Membership
from lanelead.membership.member_state import Address, MemberChange, MembershipTimings
from lanelead.membership.messages import ALIVE, STATE_NAMES, MemberRecord
from lanelead.protocols import datagrams
from lanelead.settings.relay_settings import RelaySettings
from lanelead.settings.service_settings import ticks

TICKS_PER_SECOND = 10_000
NANOSECONDS_PER_MS = 1_000_000
TIMER_SLACK_SECONDS = 5e-4  # added to timers since the event loop rounds to milliseconds


class MembershipTransport:
    """Connects the membership protocol of lanelead/membership/member.py to the socket, the clock and the log.

    `clock` returns ticks. The settings must have `circle` (the settings of membership) and `peers`.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        loop: asyncio.AbstractEventLoop,
        udp: socket.socket,
        clock: Callable[[], Ticks],
        log: Any,
    ) -> None:
        membership = settings.circle
        peers = settings.peers
        assert membership is not None and peers is not None
        self._loop = loop
        self._udp = udp
        self._clock = clock
        self._log = log
        host, port = udp.getsockname()[:2]
        own = MemberRecord(
            number=settings.number,
            started_at_ms=time.time_ns() // NANOSECONDS_PER_MS,
            incarnation=0,
            state=ALIVE,
            voter=False,
            zone=settings.zone,
            region=membership.region(settings.zone),
            host=host,
            port=port,
        )
        # The addresses of peers in the settings take precedence over those that members report.
        listed = {other.number: (other.host, other.port) for other in peers.others}
        seeds = [(seed.host, seed.port) for seed in membership.seeds] or list(listed.values())
        self.members = Membership(
            own=own,
            timings=MembershipTimings(ticks(membership.period_ms), ticks(membership.forget_ms)),
            seeds=seeds,
            rng=Random(f"circle {own.number} {own.started_at_ms}"),
            now=clock(),
        )
        self.members.configured_addresses.update(listed)
        self.unsent = 0
        self._sequence_number = 0
        self._timer: asyncio.TimerHandle | None = None
        self._arm()

    def _arm(self) -> None:
        delay = max(0, self.members.next_round_at() - self._clock()) / TICKS_PER_SECOND
        self._timer = self._loop.call_later(delay + TIMER_SLACK_SECONDS, self._fire)

    def _fire(self) -> None:
        self.members.tick(self._clock())
        self._flush()
        self._arm()

    def receive(self, payload: bytes, source: Address) -> None:
        """Passes a received membership message to the protocol, and sends its replies."""
        self.members.receive(payload, source, self._clock())
        self._flush()

    def _flush(self) -> None:
        """Sends the protocol's outgoing messages and logs changes of members."""
        outbox = self.members.outbox
        self.members.outbox = []
        for address, payload in outbox:
            self._send(address, payload)
        changes = self.members.changes
        self.members.changes = []
        for change in changes:
            self._log_change(change)

    def _send(self, address: Address, payload: bytes) -> None:
        self._sequence_number += 1
        datagram = datagrams.encode_datagram(
            self.members.own.number, self._sequence_number, payload, datagrams.MEMBERSHIP_MAGIC
        )
        try:
            self._udp.sendto(datagram, address)
        except OSError:  # the buffer is full, or the member cannot be reached; messages may be lost
            self.unsent += 1

    def _log_change(self, change: MemberChange) -> None:
        record = change.after
        if record.number != self.members.own.number:
            self._log.info(
                "member state changed",
                member=record.number,
                started_at_ms=record.started_at_ms,
                state=STATE_NAMES[record.state],
                was="unknown" if change.before is None else STATE_NAMES[change.before.state],
            )
        elif self.members.replaced_by is not None:
            self._log.error(
                "replaced by a later process with the same relay number", started_at_ms=record.started_at_ms
            )

    def leave(self) -> None:
        """Notifies some other members that this relay leaves."""
        if self.members.replaced_by is None:
            self.members.leave(self._clock())
            self._flush()

    def close(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def state(self) -> dict[str, Any]:
        """Returns the membership's part of the relay's state document."""
        counters = self.members.counters
        return {
            "present": len(self.members.present_members()),
            "local_health": self.members.local_health,
            "messages_sent": counters.messages_sent,
            "bytes_sent": counters.bytes_sent,
            "suspicions": counters.suspicions,
            "refutations": counters.refutations,
            "table_requests": counters.table_requests,
            "undecodable": counters.undecodable,
            "unsent": self.unsent,
        }
