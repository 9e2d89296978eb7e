"""A network between processes, on loopback, for datagrams: each link from one to another can lose, delay,
double and be cut, each direction by itself.

Every pair has a socket for each direction's end: what A sends to its address of B comes in at a port that
stands for B towards A, and goes on to B from the port that stands for A towards B, so that answers find the
way back over the same link. One seed draws all faults. `tap` is told of each fault and letter.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

LARGEST = 65536


@dataclass
class Link:
    """One direction. `delay` and `spread` in seconds: a letter takes the one and up to the other more."""

    cut: bool = False
    loss: float = 0.0
    double: float = 0.0
    delay: float = 0.0
    spread: float = 0.0


class Wires:
    """Between `many` ends; `address(a, b)` is where a finds b, `join(b, address)` where b really is."""

    def __init__(self, many: int, seed: int, tap: Callable[[str, int, int], None] | None = None) -> None:
        self._loop = asyncio.get_running_loop()
        self._rng = Random(f"wires {seed}")
        self._tap = tap
        self._ends: dict[int, tuple[str, int]] = {}
        self._closed = False
        self.links = {(a, b): Link() for a in range(many) for b in range(many) if a != b}
        self.counts: Counter[str] = Counter()
        self._socks: dict[tuple[int, int], socket.socket] = {}
        for a, b in self.links:  # the socket that a sends to for b
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            self._socks[a, b] = sock
            self._loop.add_reader(sock, self._read, a, b)

    def address(self, a: int, b: int) -> tuple[str, int]:
        host, port = self._socks[a, b].getsockname()
        return host, port

    def join(self, end: int, address: tuple[str, int]) -> None:
        self._ends[end] = address

    def _read(self, a: int, b: int) -> None:
        for _ in range(64):
            try:
                data = self._socks[a, b].recv(LARGEST)
            except OSError:
                return
            self._pass(data, a, b)

    def _pass(self, data: bytes, a: int, b: int) -> None:
        link = self.links[a, b]
        if link.cut or self._rng.random() < link.loss:
            self._count("cut" if link.cut else "lost", a, b)
            return
        for _ in range(1 + (self._rng.random() < link.double)):
            wait = link.delay + link.spread * self._rng.random()
            if wait:
                self._loop.call_later(wait, self._send, data, a, b)
            else:
                self._send(data, a, b)

    def _send(self, data: bytes, a: int, b: int) -> None:
        if b in self._ends and not self._closed:
            self._count("passed", a, b)
            with contextlib.suppress(OSError):
                self._socks[b, a].sendto(data, self._ends[b])

    def _count(self, what: str, a: int, b: int) -> None:
        self.counts[what] += 1
        if self._tap is not None:
            self._tap(what, a, b)

    # Faults by set

    def each(self, senders: Iterable[int], receivers: Iterable[int]) -> list[Link]:
        to = list(receivers)
        return [self.links[a, b] for a in senders for b in to if a != b]

    def partition(self, *sides: Iterable[int], one_way: bool = False) -> None:
        """Nothing passes between the sides; `one_way`: earlier sides don't reach later ones, but hear them.
        An end that is in several sides sees all of them: a bridge."""
        groups = [set(side) for side in sides]
        for place, group in enumerate(groups):
            for other in groups[place + 1 :]:
                for a in group - other:
                    for b in other - group:
                        self.links[a, b].cut = True
                        self.links[b, a].cut = self.links[b, a].cut or not one_way

    def heal(self) -> None:
        for link in self.links.values():
            link.cut = False

    def set(self, loss: float = 0.0, double: float = 0.0, delay: float = 0.0, spread: float = 0.0) -> None:
        for link in self.links.values():
            link.loss, link.double, link.delay, link.spread = loss, double, delay, spread

    def close(self) -> None:
        self._closed = True
        for sock in self._socks.values():
            self._loop.remove_reader(sock)
            sock.close()
