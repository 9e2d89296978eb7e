"""The release desk on sockets (docs/protocols.md): Polling, with news streams and a place to post votes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from lanelead.http import serialization
from lanelead.http.requests import HttpRequest
from lanelead.http.server import STREAM, ServerConnection, chunk
from lanelead.protocols.feeds import MessageError, VoteRequest, VoteResponse, decode, encode
from lanelead.settings.service_settings import CanarySettings, VotingSettings
from lanelead.testbed.emulators.discovery import RestartableServer, relay_number
from lanelead.testbed.emulators.event_recording import Tap, clock
from lanelead.testbed.emulators.vote_counting import Polling


class Desk(RestartableServer, Polling):
    def __init__(
        self,
        folder: Path,
        port: int,
        trial: CanarySettings,
        poll: VotingSettings,
        told: float,
        push: float,
        rng: Random,
        moved: Callable[[int, int, str], None],
    ) -> None:
        RestartableServer.__init__(self, port, Tap(folder, "desk"))
        Polling.__init__(self, trial, poll, rng, clock, self.tap.note, moved)
        self._told, self._push = told, push
        self._watchers: dict[ServerConnection, int] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.stale = 0.0  # seconds by which its news is later than usual

    async def open(self) -> None:
        await super().open()
        if not self._tasks:
            loop = asyncio.get_running_loop()
            self._tasks = [loop.create_task(self._pushes()), loop.create_task(self._beats())]

    def changed(self) -> None:
        loop = asyncio.get_running_loop()
        for caller, relay in list(self._watchers.items()):
            late = self.stale + self._told * self._rng.uniform(0.5, 1.0)
            loop.call_later(late, self._tell, caller, relay)

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            self.beat(0.05)

    async def _pushes(self) -> None:
        while True:
            await asyncio.sleep(self._push)
            if not self.stale:
                for caller, relay in list(self._watchers.items()):
                    self._tell(caller, relay)

    def _leave(self, caller: ServerConnection) -> None:
        self._watchers.pop(caller, None)

    def _tell(self, caller: ServerConnection, relay: int) -> None:
        if caller.transport is None:
            return
        line = self.line()
        self.told(relay, line)
        caller.write(chunk(encode(line) + b"\n"))

    # Calls

    def request_received(self, caller: ServerConnection, ask: HttpRequest) -> None:
        path = ask.target.partition(b"?")[0]
        if path == b"/news":
            relay = relay_number(ask)
            caller.write(STREAM)
            self._watchers[caller] = relay
            caller.close_callbacks.append(lambda: self._leave(caller))
            self._tell(caller, relay)
        elif path == b"/votes" and ask.method == "POST":
            try:
                vote = decode(ask.body, VoteRequest)
            except MessageError as fault:
                caller.write(serialization.response(400, (), str(fault).encode(), ask.keep))
                return
            word, line = self.vote(vote)
            if line is not None:
                body = encode(VoteResponse(word, line))  # type: ignore[arg-type]
                caller.write(serialization.response(200, [(b"content-type", b"application/json")], body, ask.keep))
        else:
            caller.write(serialization.response(404, (), b"", ask.keep))
