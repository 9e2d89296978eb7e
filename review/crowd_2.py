"""Bad clients, as a process: each sends commands of no class at full speed, and reads what it is sent.

Arguments: the port, the number of connections, the commands on each, the bytes of a value, and a name for the ids.
"""

from __future__ import annotations

import contextlib
import os
import selectors
import socket
import sys
import time

from standins_2 import startup

SECONDS = 25.0


class Connection:
    """One bad client's connection."""

    def __init__(self, port: int, name: str, commands: int, value_bytes: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self._name = name
        self._left = commands
        self._value = os.urandom(value_bytes).hex().encode()
        self._unsent = [memoryview(startup())]

    @property
    def has_more(self) -> bool:
        """Whether anything is left to be sent."""
        return bool(self._unsent) or self._left > 0

    def _next_command(self) -> list[memoryview]:
        self._left -= 1
        request_id = f"{self._name}-{self._left}"
        first = f"INSERT INTO items (id, doc) VALUES ('{request_id}', '\\x".encode()
        last = f"') RETURNING doc /* id={request_id},c=no-such-class,t=thermaiki,d=4000 */\0".encode()
        size = 4 + len(first) + len(self._value) + len(last)
        return [memoryview(part) for part in (b"Q" + size.to_bytes(4, "big") + first, self._value, last)]

    def send(self) -> None:
        """Sends what the kernel takes."""
        if not self._unsent:
            self._unsent = self._next_command()
        sent = self.sock.sendmsg(self._unsent)
        while self._unsent and sent >= len(self._unsent[0]):
            sent -= len(self._unsent.pop(0))
        if self._unsent:
            self._unsent[0] = self._unsent[0][sent:]


def run(port: int, clients: int, commands: int, value_bytes: int, name: str) -> None:
    """Opens all connections, and sends and reads until all have ended, or for SECONDS."""
    selector = selectors.DefaultSelector()
    both = selectors.EVENT_READ | selectors.EVENT_WRITE
    for number in range(clients):
        with contextlib.suppress(OSError):
            connection = Connection(port, f"{name}{number}", commands, value_bytes)
            selector.register(connection.sock, both, connection)
    end = time.monotonic() + SECONDS
    while selector.get_map() and time.monotonic() < end:
        for key, events in selector.select(0.5):
            connection = key.data
            try:
                if events & selectors.EVENT_READ and not connection.sock.recv(262144):
                    raise ConnectionError
                if events & selectors.EVENT_WRITE:
                    connection.send()
                    if not connection.has_more:
                        selector.modify(connection.sock, selectors.EVENT_READ, connection)
            except BlockingIOError:
                continue
            except OSError:
                selector.unregister(connection.sock)
                connection.sock.close()


if __name__ == "__main__":
    run(*(int(text) for text in sys.argv[1:5]), sys.argv[5])
