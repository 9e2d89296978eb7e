"""Reads a client's bytes ahead of handling its commands.

The end of a client's stream follows all that the client has sent, and a request must not run once its client has gone.
So a command is handled once all that has arrived is read. A work item is one read, and the handling of one command:
more would keep clients that have just connected waiting, where many connect at once.
"""

from __future__ import annotations

import socket
from collections import deque
from dataclasses import dataclass

from lanelead.pgwire.clients import ClientReader, Event, ProtocolViolation, Query
from lanelead.postgres_relay.connection_owner import ConnectionOwner
from lanelead.postgres_relay.response_writer import ResponseWriter
from lanelead.runtime.fair_work_queue import WorkShare
from lanelead.runtime.peer_close import has_closed_after_all, peer_has_closed

READ_BUFFER_BYTES = 32768
# Read without coming to the end of what has arrived; then commands are handled all the same. By default the kernel
# keeps as much for a client that has closed with bytes unsent (tcp_wmem).
MAX_READ_AHEAD_BYTES = 1 << 22
MAX_COMMANDS_PER_READ = 64  # a read with more queries is a protocol violation, and none of them runs
MAX_RESPONSE_SLOTS = 1024  # commands without a response and rejections; one more command is a protocol violation
MAX_INBOX_BYTES = 1 << 20  # texts of commands that are not handled yet; further ones are rejected unread
COMMAND_BYTES = 300  # counted for each command that waits, in addition to its text
MAX_DISCARDED_BYTES = 1 << 22  # read and discarded after a protocol violation; then the relay stops reading


@dataclass(slots=True, frozen=True)
class OverLimit:
    """A query that is rejected unread, since too much waits already."""


@dataclass(slots=True, frozen=True)
class ReceivedCommand:
    """A command that is not handled yet, with the time of its arrival in seconds and the bytes that it counts."""

    event: Event | OverLimit
    arrived_at: float
    size: int


class RequestIntake(ResponseWriter):
    """The reading side of a client connection. `ClientConnection` extends it by what commands mean."""

    __slots__ = (
        "discarded_bytes",
        "inbox",
        "inbox_bytes",
        "read_ahead_bytes",
        "reader",
        "violation_at",
        "work_share",
    )

    def __init__(self, listener: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(listener, sock)
        self.reader = ClientReader(listener.max_query_bytes)
        self.inbox: deque[ReceivedCommand] = deque()
        self.inbox_bytes = 0
        self.read_ahead_bytes = 0  # since the end of what had arrived was last read
        self.violation_at: float | None = None  # if set, further bytes from the client are discarded
        self.discarded_bytes = 0
        self.work_share = WorkShare()
        listener.loop.add_reader(sock, self._on_readable)

    @property
    def has_pending_response(self) -> bool:
        """Whether a command is not handled, or its response is pending or not completely written."""
        return bool(self.inbox or self.slots or self.write_buffer)

    @property
    def has_waiting_work(self) -> bool:
        """Whether bytes have arrived, or commands wait, that are handled in a later turn of the event loop."""
        return self.work_share.work is not None

    def _on_readable(self) -> None:
        if self.has_waiting_work or self.sock.fileno() < 0:
            return
        if not self.listener.work_queue.run(self.work_share, self._work):
            self.listener.close_monitor.watch(self.sock, self._on_closed_unread)  # while this waits for its turn

    def _work(self) -> None:
        """Reads once, and handles one of the commands that wait."""
        if self.sock.fileno() < 0 or self.reading_paused:
            return
        self.listener.close_monitor.unwatch(self.sock)
        received = self._receive() if self.reading else 0
        if received >= 0 and not self._client_has_gone(received):
            if self._may_handle(received):
                self._handle_next()
            self._handled_some()
            if self.inbox:
                self._on_readable()
        self.listener.after_event()

    def _may_handle(self, received: int) -> bool:
        """Returns whether commands may be handled, after a read of `received` bytes."""
        if self._has_read_all(received):
            self.read_ahead_bytes = 0
            return True
        self.read_ahead_bytes += received
        return self.reader.finished or self.read_ahead_bytes > MAX_READ_AHEAD_BYTES

    def _has_read_all(self, received: int) -> bool:
        """Returns whether neither kernel has further bytes of the client, after a read of `received`.

        Where as much has been read as a full queue holds, the client's kernel may be about to send more.
        """
        is_short = received < READ_BUFFER_BYTES and self.read_ahead_bytes + received < self.listener.full_queue_bytes
        return is_short or not received

    def _client_has_gone(self, received: int) -> bool:
        """Returns whether the client has closed after the bytes just read, and disconnects it in that case."""
        if not self.inbox:
            return False
        has_gone = has_closed_after_all(self.sock) if self._has_read_all(received) else peer_has_closed(self.sock)
        if has_gone:
            self.on_disconnect()
        return has_gone

    def _receive(self) -> int:
        """Reads at most one buffer; returns the number of bytes, or -1 if the connection has closed."""
        try:
            data = self.sock.recv(READ_BUFFER_BYTES)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            data = b""
        if not data:
            self.on_disconnect()
            return -1
        if self.violation_at is not None:
            # Discards the bytes. They are read only to notice a disconnect, and because a close with unread bytes
            # resets the connection, which could destroy the error response before the client reads it.
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.stop_reading()
            return len(data)
        self.last_activity = self.listener.loop.time()
        events = self.reader.feed(data)
        many_events = len(events) > MAX_COMMANDS_PER_READ
        if many_events and sum(type(event) is Query for event in events) > MAX_COMMANDS_PER_READ:
            self.reader.finished = True
            events = [ProtocolViolation("54000", f"more than {MAX_COMMANDS_PER_READ} commands at once")]
        for event in events:
            self._put_in_inbox(event)
        self._update_held_bytes()
        return len(data) if self.sock.fileno() >= 0 else -1

    def _put_in_inbox(self, event: Event) -> None:
        received: Event | OverLimit = event
        size = COMMAND_BYTES
        if type(event) is Query:
            size += len(event.text)
            if len(self.slots) + len(self.inbox) >= MAX_RESPONSE_SLOTS:
                if self.reader.finished:  # the violation is in the inbox already
                    return
                self.reader.finished = True
                received = ProtocolViolation("54000", f"more than {MAX_RESPONSE_SLOTS} commands wait for their answers")
                size = COMMAND_BYTES
            elif self.inbox_bytes and (self.inbox_bytes + size > MAX_INBOX_BYTES or self.listener.buffers.is_exceeded):
                received = OverLimit()
                size = COMMAND_BYTES
        self.inbox.append(ReceivedCommand(received, self.last_activity, size))
        self.inbox_bytes += size

    def _handle_next(self) -> None:
        """Handles the first command that waits, if there is one and the connection is still open."""
        if self.inbox and self.sock.fileno() >= 0:
            command = self.inbox.popleft()
            self.inbox_bytes -= command.size
            self._handle_command(command)

    def _clear_inbox(self) -> None:
        """Forgets the commands that are not handled yet: they never run."""
        self.inbox.clear()
        self.inbox_bytes = 0

    def _on_closed_unread(self) -> None:
        self.on_disconnect()
        self.listener.after_event()

    def stop_reading(self) -> None:
        """Stops reading for good: further bytes stay in the kernel's receive buffer."""
        if self.reading:
            self.reading = False
            self.listener.loop.remove_reader(self.sock)
            if self.slots:
                self.listener.close_monitor.watch(self.sock, self._on_closed_unread)

    def _handle_command(self, command: ReceivedCommand) -> None:
        """Handles one command."""
        raise NotImplementedError

    def _handled_some(self) -> None:
        """Called after some commands were handled."""
        raise NotImplementedError
