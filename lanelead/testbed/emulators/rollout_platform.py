"""Emulated rollout platform: serves rollout state as streams and takes votes, over HTTP (see docs/protocols.md)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import STREAM_HEAD, ServerConnection, chunk
from lanelead.protocols.feeds import MessageError, VoteRequest, VoteResponse, decode, encode
from lanelead.settings.service_settings import CanarySettings, VotingSettings
from lanelead.testbed.emulators.discovery import RestartableServer, relay_number
from lanelead.testbed.emulators.event_recording import EventRecorder, clock
from lanelead.testbed.emulators.vote_counting import VoteCounting


class RolloutPlatformServer(RestartableServer, VoteCounting):
    """The rollout state and vote counting of `VoteCounting` behind an HTTP server.

    Relays get a change of the state after 0.5 to 1 times `update_delay` seconds, and the state again every
    `push_interval` seconds. `on_move` is called as in Polling.
    """

    def __init__(
        self,
        folder: Path,
        port: int,
        trial: CanarySettings,
        poll: VotingSettings,
        update_delay: float,
        push_interval: float,
        rng: Random,
        on_move: Callable[[int, int, str], None],
    ) -> None:
        RestartableServer.__init__(self, port, EventRecorder(folder, "desk"))
        VoteCounting.__init__(self, trial, poll, rng, clock, self.tap.note, on_move)
        self._update_delay, self._push_interval = update_delay, push_interval
        self._watchers: dict[ServerConnection, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.stale = 0.0  # seconds by which state updates are later than usual; regular pushes stop while it is not 0

    async def open(self) -> None:
        """Starts listening, and from the first time on counts votes and pushes the state regularly."""
        await super().open()
        if not self._tasks:
            loop = asyncio.get_running_loop()
            self._tasks = [loop.create_task(self._push_regularly()), loop.create_task(self._count_votes_regularly())]

    def changed(self) -> None:
        """Sends the new state to each watching relay after a delay."""
        loop = asyncio.get_running_loop()
        for connection, relay in list(self._watchers.items()):
            delay_seconds = self.stale + self._update_delay * self._rng.uniform(0.5, 1.0)
            loop.call_later(delay_seconds, self._send_state, connection, relay)

    async def _count_votes_regularly(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self.beat(0.05)

    async def _push_regularly(self) -> None:
        while True:
            await asyncio.sleep(self._push_interval)
            if not self.stale:
                for connection, relay in list(self._watchers.items()):
                    self._send_state(connection, relay)

    def _remove_watcher(self, connection: ServerConnection) -> None:
        self._watchers.pop(connection, None)

    def _send_state(self, connection: ServerConnection, relay: int) -> None:
        if connection.transport is None:
            return
        line = self.line()
        self.told(relay, line)
        connection.write(chunk(encode(line) + b"\n"))

    # Requests

    def request_received(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Serves the stream of rollout states, or takes a vote; a vote gets no reply while the platform is mute."""
        path = request.target.partition(b"?")[0]
        if path == b"/news":
            relay = relay_number(request)
            connection.write(STREAM_HEAD)
            self._watchers[connection] = relay
            connection.close_callbacks.append(lambda: self._remove_watcher(connection))
            self._send_state(connection, relay)
        elif path == b"/votes" and request.method == "POST":
            try:
                vote = decode(request.body, VoteRequest)
            except MessageError as error:
                connection.write(serialization.response(400, (), str(error).encode(), request.keep))
                return
            outcome, line = self.vote(vote)
            if line is not None:
                body = encode(VoteResponse(outcome, line))  # type: ignore[arg-type]
                connection.write(
                    serialization.response(200, [(b"content-type", b"application/json")], body, request.keep)
                )
        else:
            connection.write(serialization.response(404, (), b"", request.keep))
