"""The platform's desk: one connection that watches and carries this relay's votes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from random import Random
from typing import Any

from lanelead.decisions.interface import AttemptOutcome, CastVote
from lanelead.http.client import connect
from lanelead.protocols.feeds import LineSplitter, MessageError, RolloutMessage, decode
from lanelead.protocols.platform import (
    ERROR_OUTCOMES,
    VERDICT_NAMES,
    RpcMessage,
    decode_stage,
    encode_call,
    parse_address,
)
from lanelead.settings.records import Address

PING_INTERVAL_SECONDS = 1.0  # seconds between the platform's signs of life
SILENCE_TIMEOUT_SECONDS = 2.5 * PING_INTERVAL_SECONDS
RECONNECT_DELAY_SECONDS = 0.2  # before a connection is tried again, with a random part
MAX_LINE_BYTES = 65536  # bytes of one line
RolloutCallback = Callable[[RolloutMessage | None, bool, AttemptOutcome], None]


class RolloutClient:
    """`heard` is told of news, and of what came of each vote: an end after its last byte may have counted."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: str,
        heard: RolloutCallback,
        answer_limit: float,
        rng: Random,
        log: Any,
    ) -> None:
        self._loop, self._address, self._notify = loop, Address(*parse_address(where)), heard
        self._vote_timeout, self._rng, self._log = answer_limit, rng, log
        self._sock: socket.socket | None = None
        self._last_call_id = 0
        self._pending_votes: dict[int, asyncio.TimerHandle] = {}
        self.on_received: Callable[[], None] = lambda: None
        self.connected = self._stopped = False

    def cast_vote(self, vote: CastVote) -> None:
        params = {"build": vote.build, "stage": vote.stage, "verdict": VERDICT_NAMES[vote.verdict]}
        text = encode_call(self._last_call_id + 1, "Rollout.Judge", params)
        try:
            if self._sock is None or self._sock.send(text) != len(text):
                raise OSError("not connected, or not taken whole")
        except OSError as fault:  # its last byte was not written: it never counted
            self._log.info("vote not cast", reason=str(fault))
            self._loop.call_soon(self._notify, None, True, AttemptOutcome.CONNECT_FAILED)
            self._disconnect()
            return
        self._last_call_id += 1
        number = self._last_call_id
        self._pending_votes[number] = self._loop.call_later(self._vote_timeout, self._on_vote_timeout, number)
        self._log.info("vote", **params)

    def _on_vote_timeout(self, number: int) -> None:
        if self._pending_votes.pop(number, None) is not None:
            self._log.info("vote without an answer")
            self._notify(None, True, AttemptOutcome.TIMED_OUT)

    def _disconnect(self) -> None:
        """The connection is of no more use; the task that reads it finds that out."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        self._stopped = True
        self._expire_votes()

    def _expire_votes(self) -> None:
        """Votes whose answer never comes: they may have counted."""
        votes, self._pending_votes = self._pending_votes, {}
        for timer in votes.values():
            timer.cancel()
        for _ in votes:
            try:
                self._notify(None, True, AttemptOutcome.TIMED_OUT)
            except Exception:
                self._log.exception("a vote's end could not be taken in")

    async def run(self) -> None:
        while not self._stopped:
            try:
                await self._watch()
            except (OSError, MessageError, TimeoutError) as fault:
                if self.connected:
                    self._log.warning(
                        "feed down",
                        feed="desk",
                        reason=str(fault) or "silent",
                        remedy="look at the platform; votes wait until it is back",
                    )
            except Exception:
                # Guards against a fault of ours on one line that would leave the relay without news for good.
                self._log.exception("the desk's connection failed")
            self.connected = False
            self._expire_votes()
            await asyncio.sleep(RECONNECT_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _watch(self) -> None:
        lines = LineSplitter(MAX_LINE_BYTES)
        async with asyncio.timeout(PING_INTERVAL_SECONDS):
            sock = await connect(self._loop, self._address)
        try:
            self._last_call_id += 1
            await self._loop.sock_sendall(sock, encode_call(self._last_call_id, "Events.Watch"))
            self._sock = sock
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_SECONDS):
                    data = await self._loop.sock_recv(sock, 16384)
                if not data:
                    raise OSError("closed by the platform")
                for line in lines.feed(data):
                    if self._stopped:
                        return
                    self._handle_message(decode(line, RpcMessage))
                if not self.connected:
                    self.connected = True
                    self._log.info("feed up", feed="desk")
        finally:
            self._sock = None
            sock.close()

    def _handle_message(self, line: RpcMessage) -> None:
        if line.method == "stage":
            news = decode_stage(line.params).line()
            self.on_received()
            self._notify(news, False, AttemptOutcome.SUCCEEDED)
        elif line.method is not None:  # ping, and what later platforms may tell
            return
        elif line.id is not None and (timer := self._pending_votes.get(line.id)) is not None:
            if line.error is not None:
                news, word = None, ERROR_OUTCOMES.get(line.error.message, AttemptOutcome.ERROR)
            else:
                news, word = decode_stage(line.result).line(), AttemptOutcome.SUCCEEDED
            timer.cancel()
            del self._pending_votes[line.id]
            self._notify(news, True, word)
        elif line.id is None or not 0 < line.id <= self._last_call_id:
            raise MessageError("an answer to no call")
