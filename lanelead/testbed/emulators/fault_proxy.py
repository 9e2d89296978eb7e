"""A UDP proxy on loopback that loses, delays, duplicates and cuts the datagrams between processes, by direction.

Each ordered pair of ends (a, b) has a socket, which is b's address as far as a knows. A datagram from a to b arrives at
the socket of (a, b) and is forwarded to b from the socket of (b, a), so that b's reply takes the link from b to a.
One seed draws all faults.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

MAX_DATAGRAM_BYTES = 65536


@dataclass
class Link:
    """The faults of one direction between two ends.

    `loss` and `double` are the probabilities that a datagram is lost or duplicated. `delay` and `spread` are in
    seconds: a datagram takes `delay`, and up to `spread` more.
    """

    cut: bool = False
    loss: float = 0.0
    double: float = 0.0
    delay: float = 0.0
    spread: float = 0.0


class FaultProxy:
    """The proxy between `many` ends, numbered from 0.

    `on_datagram` is called with "passed", "lost" or "cut", the sender and the receiver, for each datagram
    that is forwarded, lost by chance or cut off.
    """

    def __init__(self, many: int, seed: int, on_datagram: Callable[[str, int, int], None] | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self._rng = Random(f"wires {seed}")
        self._on_datagram = on_datagram
        self._addresses: dict[int, tuple[str, int]] = {}
        self._closed = False
        self.links = {(a, b): Link() for a in range(many) for b in range(many) if a != b}
        self.counts: Counter[str] = Counter()
        self._sockets: dict[tuple[int, int], socket.socket] = {}
        for a, b in self.links:  # a sends to this socket to reach b
            socket_ = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            socket_.bind(("127.0.0.1", 0))
            socket_.setblocking(False)
            self._sockets[a, b] = socket_
            self._loop.add_reader(socket_, self._read, a, b)

    def address(self, a: int, b: int) -> tuple[str, int]:
        """Returns the host and port at which a reaches b."""
        host, port = self._sockets[a, b].getsockname()
        return host, port

    def join(self, end: int, address: tuple[str, int]) -> None:
        """Sets the real address of an end; datagrams to it are dropped before that."""
        self._addresses[end] = address

    def _read(self, a: int, b: int) -> None:
        for _ in range(64):
            try:
                data = self._sockets[a, b].recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._forward(data, a, b)

    def _forward(self, data: bytes, a: int, b: int) -> None:
        link = self.links[a, b]
        if link.cut or self._rng.random() < link.loss:
            self._count("cut" if link.cut else "lost", a, b)
            return
        for _ in range(1 + (self._rng.random() < link.double)):
            delay = link.delay + link.spread * self._rng.random()
            if delay:
                self._loop.call_later(delay, self._send, data, a, b)
            else:
                self._send(data, a, b)

    def _send(self, data: bytes, a: int, b: int) -> None:
        if b in self._addresses and not self._closed:
            self._count("passed", a, b)
            with contextlib.suppress(OSError):
                self._sockets[b, a].sendto(data, self._addresses[b])

    def _count(self, event: str, a: int, b: int) -> None:
        self.counts[event] += 1
        if self._on_datagram is not None:
            self._on_datagram(event, a, b)

    # Faults between sets of ends

    def each(self, senders: Iterable[int], receivers: Iterable[int]) -> list[Link]:
        """Returns the links from each sender to each receiver."""
        targets = list(receivers)
        return [self.links[a, b] for a in senders for b in targets if a != b]

    def partition(self, *sides: Iterable[int], one_way: bool = False) -> None:
        """Cuts the links between the sides.

        An end in several sides stays connected to all of them. `one_way`: only the links from earlier sides to later
        ones are cut.
        """
        side_sets = [set(side) for side in sides]
        for index, side_set in enumerate(side_sets):
            for other in side_sets[index + 1 :]:
                for a in side_set - other:
                    for b in other - side_set:
                        self.links[a, b].cut = True
                        self.links[b, a].cut = self.links[b, a].cut or not one_way

    def heal(self) -> None:
        """Restores all cut links."""
        for link in self.links.values():
            link.cut = False

    def set(self, loss: float = 0.0, double: float = 0.0, delay: float = 0.0, spread: float = 0.0) -> None:
        """Sets the faults of all links (see Link); cut ones stay cut."""
        for link in self.links.values():
            link.loss, link.double, link.delay, link.spread = loss, double, delay, spread

    def close(self) -> None:
        """Closes all sockets; delayed datagrams are dropped."""
        self._closed = True
        for socket_ in self._sockets.values():
            self._loop.remove_reader(socket_)
            socket_.close()
