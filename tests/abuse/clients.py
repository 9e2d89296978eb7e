"""The process of the abusive clients: `python -m tests.abuse.clients RELAY PORT SECONDS FORM`.

Standard output gets a JSON line for each connection that this side closed: the prefix of its ids and the time, on the
system's monotonic clock; and one at the end with counts.
"""

from __future__ import annotations

import contextlib
import json
import selectors
import socket
import sys
import time

from tests.abuse.patterns import PATTERNS, AbusePattern, first_bytes
from tests.abuse.requests import RelayKind

READ_BYTES = 1 << 18
SELECT_SECONDS = 0.01
RECONNECT_SECONDS = 0.002
CONNECTIONS_PER_ID = 4  # how many connections send the same id, one after another


class Connection:
    """One connection of an abusive client."""

    def __init__(self, kind: RelayKind, pattern: AbusePattern, port: int, prefix: str) -> None:
        self.pattern = pattern
        self.prefix = prefix
        self.sock = socket.create_connection(("127.0.0.1", port), timeout=2)
        self.sock.setblocking(False)
        self.opened_at = time.monotonic()
        self.next_write_at = 0.0
        self.received_bytes = 0
        self._kind = kind
        self._sent_payloads = 0
        self._unsent = memoryview(first_bytes(pattern, kind))

    @property
    def may_write(self) -> bool:
        """Whether it has something to send now."""
        if time.monotonic() < self.next_write_at:
            return False
        return bool(self._unsent) or self._sent_payloads < self.pattern.repeats

    def write(self) -> None:
        """Sends the next bytes. Raises OSError if the relay has closed the connection."""
        pattern = self.pattern
        if not self._unsent:
            self._sent_payloads += 1
            payload = pattern.payload(self._kind, f"{self.prefix}-{self._sent_payloads}")
            if pattern.stops_at < 1:
                payload = payload[: int(pattern.stops_at * len(payload))]
                self._sent_payloads = pattern.repeats
            self._unsent = memoryview(payload)
        piece = self._unsent[: pattern.piece_bytes] if pattern.piece_bytes else self._unsent
        sent = self.sock.send(piece)
        self._unsent = self._unsent[sent:]
        if pattern.pause_seconds:
            self.next_write_at = time.monotonic() + pattern.pause_seconds

    def read(self) -> bool:
        """Reads what has come; returns False if the relay has closed the connection."""
        data = self.sock.recv(READ_BYTES)
        self.received_bytes += len(data)
        return bool(data)


class AbusiveClients:
    """All connections of one pattern, until the end of the run."""

    def __init__(self, kind: RelayKind, pattern: AbusePattern, port: int) -> None:
        self._kind = kind
        self._form = pattern
        self._port = port
        self._selector = selectors.DefaultSelector()
        self._opened = 0
        self._closed_by_relay = 0
        self._refused = 0
        self._longest_open = 0.0  # of those that the relay closed
        self._connect_at: list[float] = [0.0] * pattern.connections
        self._open: dict[Connection, None] = {}

    def run(self, seconds: float) -> None:
        """Runs for `seconds`, then closes everything."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._connect_due()
            self._leave_due()
            self._handle_events()
        counts = {
            "opened": self._opened,
            "closed_by_relay": self._closed_by_relay,
            "refused": self._refused,
            "longest_open": round(self._longest_open, 2),
        }
        print(json.dumps({"counts": counts}), flush=True)
        for connection in list(self._open):
            self._close(connection)

    def _connect_due(self) -> None:
        now = time.monotonic()
        due = [at for at in self._connect_at if at <= now][:50]
        for at in due:
            self._connect_at.remove(at)
            number = self._opened // CONNECTIONS_PER_ID if self._form.same_ids else self._opened
            self._opened += 1
            try:
                connection = Connection(self._kind, self._form, self._port, f"bad{number}")
            except OSError:
                self._refused += 1
                self._connect_at.append(now + 0.1)
                continue
            self._open[connection] = None
            self._selector.register(connection.sock, self._events(connection), connection)

    def _events(self, connection: Connection) -> int:
        events = selectors.EVENT_READ if self._form.reads else 0
        if connection.may_write:
            events |= selectors.EVENT_WRITE
        return events or selectors.EVENT_WRITE

    def _leave_due(self) -> None:
        stays = self._form.stays_seconds
        if stays is None:
            return
        now = time.monotonic()
        for connection in [other for other in self._open if now >= other.opened_at + stays]:
            self._close(connection)
            print(json.dumps({"left": connection.prefix, "at": time.monotonic()}), flush=True)
            self._connect_at.append(now + RECONNECT_SECONDS)

    def _handle_events(self) -> None:
        idle = True
        for key, events in self._selector.select(SELECT_SECONDS):
            connection = key.data
            try:
                if events & selectors.EVENT_READ and self._form.reads and not connection.read():
                    raise ConnectionError
                if events & selectors.EVENT_WRITE and connection.may_write:
                    connection.write()
                    idle = False
            except (BlockingIOError, InterruptedError):
                continue
            except OSError:
                self._closed_by_relay += 1
                self._longest_open = max(self._longest_open, time.monotonic() - connection.opened_at)
                self._close(connection)
                if self._form.reconnects:
                    self._connect_at.append(time.monotonic() + RECONNECT_SECONDS)
        if idle:
            time.sleep(0.002)

    def _close(self, connection: Connection) -> None:
        self._open.pop(connection, None)
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.sock)
        connection.sock.close()


if __name__ == "__main__":
    AbusiveClients(RelayKind(sys.argv[1]), PATTERNS[sys.argv[4]], int(sys.argv[2])).run(float(sys.argv[3]))
