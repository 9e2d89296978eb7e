"""Forwards datagrams between relays with a delay, and drops some of them on demand."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from random import Random

MIN_DELAY_SECONDS = 0.002
MAX_DELAY_SECONDS = 0.014
MAX_DATAGRAM_BYTES = 2048
LOOPBACK = "127.0.0.1"


class DatagramDelays:
    """Ports that forward datagrams late; `loss` is the share that is dropped at present."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self.loss = 0.0
        self._sockets: list[socket.socket] = []

    def open_port(self, receiver: int) -> int:
        """Open a port that forwards to the port `receiver`, and return its number."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((LOOPBACK, 0))
        sock.setblocking(False)
        asyncio.get_running_loop().add_reader(sock, self._read, sock, (LOOPBACK, receiver))
        self._sockets.append(sock)
        return int(sock.getsockname()[1])

    def _read(self, sock: socket.socket, receiver: tuple[str, int]) -> None:
        while True:
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            if self._rng.random() >= self.loss:
                delay = self._rng.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
                asyncio.get_running_loop().call_later(delay, self._send, sock, data, receiver)

    @staticmethod
    def _send(sock: socket.socket, data: bytes, receiver: tuple[str, int]) -> None:
        with contextlib.suppress(OSError):  # the receiver is down, and gossip may be lost
            sock.sendto(data, receiver)

    def close(self) -> None:
        """Closes all ports."""
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
