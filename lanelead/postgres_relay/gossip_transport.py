"""Letters between relays: datagrams that may be late, lost, doubled or a stranger's."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Sequence
from typing import Any

from lanelead.protocols import datagrams
from lanelead.protocols.platform import parse_address

MAX_DATAGRAMS_PER_TURN = 64  # letters read in one turn, so that a flood leaves time for lookups


class GossipTransport:
    """`heard` is called with a peer's number and what it wrote; `after` once all that has come is read."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        number: int,
        peers: Sequence[str],
        heard: Callable[[int, bytes], None],
        after: Callable[[], None],
        log: Any,
    ) -> None:
        self._loop, self._number, self._on_gossip, self._after_batch, self._log = loop, number, heard, after, log
        self._peers = [parse_address(text) for text in peers]
        self._peer_by_address = {place: number for number, place in enumerate(self._peers)}
        self._sock: socket.socket | None = None
        self.dropped_datagrams = 0

    def open(self, host: str, port: int) -> None:
        """Without its address the relay goes on alone, as it does where all letters are lost."""
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((host, port))
        except OSError as fault:
            self._log.error("no letters", reason=str(fault), remedy="free the address peer_listen names")
            sock.close()
            return
        self._sock = sock
        self._loop.add_reader(sock, self._on_readable)

    def send(self, peer: int | None, payloads: Sequence[bytes]) -> None:
        """To one peer, or to all; such messages may be lost."""
        if self._sock is None:
            return
        for number, place in enumerate(self._peers):
            if number == self._number or (peer is not None and number != peer):
                continue
            for payload in payloads:
                with contextlib.suppress(OSError):
                    self._sock.sendto(datagrams.encode_plain(payload), place)

    def _on_readable(self) -> None:
        assert self._sock is not None
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, place = self._sock.recvfrom(512)
            except BlockingIOError:
                break
            except OSError:
                continue
            number, payload = self._peer_by_address.get(place[:2]), datagrams.decode_plain(data)
            if number is None or number == self._number or payload is None:
                self.dropped_datagrams += 1
            else:
                self._on_gossip(number, payload)
        self._after_batch()

    def close(self) -> None:
        if self._sock is not None:
            self._loop.remove_reader(self._sock)
            self._sock.close()
            self._sock = None
