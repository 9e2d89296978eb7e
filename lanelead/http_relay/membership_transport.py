"""A relay's place in the circle: the members' letters over the relay's UDP socket, and one timer."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.decisions.interface import Ticks
from lanelead.membership.member import Membership
from lanelead.membership.member_state import Address, MembershipTimings
from lanelead.membership.messages import ALIVE, STATE_NAMES, MemberRecord
from lanelead.protocols import datagrams
from lanelead.settings import records


class MembershipTransport:
    """Decides nothing: the members' own module does, lanelead/membership/member.py."""

    def __init__(
        self,
        settings: records.Relay,
        loop: asyncio.AbstractEventLoop,
        udp: socket.socket,
        clock: Callable[[], Ticks],
        log: Any,
    ) -> None:
        circle, peers = settings.circle, settings.peers
        assert circle is not None and peers is not None
        self._loop, self._udp, self._clock, self._log = loop, udp, clock, log
        host, port = udp.getsockname()[:2]
        own = MemberRecord(
            settings.number,
            time.time_ns() // 1_000_000,
            0,
            ALIVE,
            False,
            settings.zone,
            circle.region(settings.zone),
            host,
            port,
        )
        tempo = MembershipTimings(records.ticks(circle.period_ms), records.ticks(circle.forget_ms))
        # Where peers are written down, their addresses stand above those that others tell.
        listed = {other.number: (other.host, other.port) for other in peers.others}
        seeds = [(seed.host, seed.port) for seed in circle.seeds] or list(listed.values())
        self.members = Membership(own, tempo, seeds, Random(f"circle {own.number} {own.started_at_ms}"), clock())
        self.members.configured_addresses.update(listed)
        self._count, self.unsent = 0, 0
        self._timer: asyncio.TimerHandle | None = None
        self._arm()

    def _arm(self) -> None:
        wait = max(0, self.members.next_round_at() - self._clock()) / 10_000
        self._timer = self._loop.call_later(wait + 5e-4, self._fire)

    def _fire(self) -> None:
        self.members.tick(self._clock())
        self._carry()
        self._arm()

    def receive(self, payload: bytes, source: Address) -> None:
        self.members.receive(payload, source, self._clock())
        self._carry()

    def _carry(self) -> None:
        out, self.members.outbox = self.members.outbox, []
        for to, text in out:
            self._count += 1
            letter = datagrams.encode_datagram(self.members.own.number, self._count, text, datagrams.MEMBERSHIP_MAGIC)
            try:
                self._udp.sendto(letter, to)
            except OSError:  # a full buffer, or nobody there: such letters may be lost
                self.unsent += 1
        changes, self.members.changes = self.members.changes, []
        for before, now in changes:
            if now.number != self.members.own.number:
                was = "unknown" if before is None else STATE_NAMES[before.state]
                self._log.info(
                    "member", member=now.number, life=now.started_at_ms, state=STATE_NAMES[now.state], was=was
                )
            elif self.members.replaced_by is not None:
                self._log.error("replaced: a later life of this relay's number is there", life=now.started_at_ms)

    def leave(self) -> None:
        if self.members.replaced_by is None:
            self.members.leave(self._clock())
            self._carry()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def state(self) -> dict[str, Any]:
        counts = self.members.counters
        return {
            "present": len(self.members.present_members()),
            "health": self.members.local_health,
            "sent": counts.messages_sent,
            "bytes": counts.bytes_sent,
            "suspected": counts.suspicions,
            "refuted": counts.refutations,
            "syncs": counts.table_requests,
            "unread": counts.undecodable,
            "unsent": self.unsent,
        }
