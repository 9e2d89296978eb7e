"""Gossip between relays as UDP datagrams, which may be late, lost, duplicated or from an unknown sender."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from typing import Any

from lanelead.protocols import datagrams
from lanelead.protocols.platform import parse_address

MAX_DATAGRAMS_PER_TURN = 64  # the loop handles other events in between
READ_BUFFER_BYTES = 512


class GossipTransport:
    """Sends and receives the gossip of one relay.

    `number` is this relay's own number; `peers` are the addresses of all relays, in the order of their numbers.
    `on_gossip` is called with the sender's number and the payload of each datagram, and `after_batch` after each batch
    of datagrams. A datagram that is malformed or not from another relay's address is dropped and counted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        number: int,
        peers: Sequence[str],
        on_gossip: Callable[[int, bytes], None],
        after_batch: Callable[[], None],
        log: Any,
    ) -> None:
        self._loop = loop
        self._number = number
        self._on_gossip = on_gossip
        self._after_batch = after_batch
        self._log = log
        self._peers = [parse_address(text) for text in peers]
        self._peer_by_address = {address: number for number, address in enumerate(self._peers)}
        self._sock: socket.socket | None = None
        self.dropped_datagrams = 0

    def open(self, host: str, port: int) -> None:
        """Binds the socket. If that fails, the relay runs without gossip, as if every datagram were lost."""
        sock = None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((host, port))
        except OSError as error:
            self._log.error(
                "cannot bind the gossip socket: running without gossip",
                reason=str(error),
                remedy="free the address in peer_listen and restart the relay",
            )
            if sock is not None:
                sock.close()
            return
        self._sock = sock
        self._loop.add_reader(sock, self._on_readable)

    def send(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """Sends the payloads to one peer, or to all peers if `peer` is None; datagrams may be lost."""
        if self._sock is None:
            return
        for number, address in enumerate(self._peers):
            if number == self._number or (peer is not None and number != peer):
                continue
            for payload in payloads:
                with contextlib.suppress(OSError):
                    self._sock.sendto(datagrams.encode_plain(payload), address)

    def _on_readable(self) -> None:
        assert self._sock is not None
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, address = self._sock.recvfrom(READ_BUFFER_BYTES)
            except BlockingIOError:
                break
            except OSError:
                continue
            number = self._peer_by_address.get(address[:2])
            payload = datagrams.decode_plain(data)
            if number is None or number == self._number or payload is None:
                self.dropped_datagrams += 1
            else:
                self._on_gossip(number, payload)
        self._after_batch()

    def close(self) -> None:
        """Stops receiving and closes the socket; does nothing if it is not open."""
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
