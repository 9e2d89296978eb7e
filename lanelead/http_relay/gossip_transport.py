"""Datagrams between relays over one UDP socket: gossip for the decisions, and membership messages."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Sequence

from lanelead.http_relay.membership_transport import MembershipTransport
from lanelead.protocols import datagrams
from lanelead.runtime.driver import DecisionDriver
from lanelead.settings.relay_settings import PeerSettings, RelaySettings

MAX_DATAGRAMS_PER_READ = 64  # so that a flood of datagrams does not starve requests


class GossipTransport:
    """Sends gossip to the peers in the settings and passes on the datagrams that are received.

    `dropped` counts dropped datagrams by reason. The service sets `membership` if the settings enable it. The
    constructor raises OSError if the socket's address cannot be bound.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: RelaySettings,
        peers: PeerSettings,
        driver: DecisionDriver,
        after_event: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._number = settings.number
        self._relay_count = settings.relays
        self._peers = peers.others
        self._peer_numbers = {peer.number for peer in peers.others}
        self._driver = driver
        self._after_event = after_event
        self._sent_datagrams = 0
        self.dropped: Counter[str] = Counter()
        self.membership: MembershipTransport | None = None
        family = socket.AF_INET6 if ":" in peers.listen.host else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        try:
            self.sock.bind((peers.listen.host, peers.listen.port))
        except OSError:
            self.sock.close()
            raise
        loop.add_reader(self.sock, self._read)

    def send(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """Sends payloads to one peer, or to all peers if `peer` is None. Datagrams may be lost."""
        for other in self._peers:
            if peer is not None and other.number != peer:
                continue
            for payload in payloads:
                self._sent_datagrams += 1
                datagram = datagrams.encode_datagram(self._number, self._sent_datagrams, payload)
                try:
                    self.sock.sendto(datagram, (other.host, other.port))
                except OSError:  # the buffer is full, or the peer cannot be reached
                    self.dropped["not sent"] += 1

    def _read(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, source = self.sock.recvfrom(datagrams.MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:
                continue
            self._received(data, source[:2])
        self._after_event()

    def _received(self, data: bytes, source: tuple[str, int]) -> None:
        datagram = datagrams.decode_datagram(data, self._relay_count)
        if isinstance(datagram, str):
            self.dropped[datagram] += 1
        elif datagram.membership:
            if self.membership is None:
                self.dropped["no membership"] += 1
            else:
                self.membership.receive(datagram.payload, source)
        elif datagram.sender not in self._peer_numbers:
            self.dropped["sender"] += 1
        else:
            self._driver.gossip_received(datagram.sender, datagram.payload)

    def close(self) -> None:
        """Stops membership and closes the socket."""
        if self.membership is not None:
            self.membership.close()
        self._loop.remove_reader(self.sock)
        self.sock.close()
