"""The client of the rollout platform: one connection that receives stages and carries this relay's votes."""

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
from lanelead.settings.service_settings import Address

PING_INTERVAL_SECONDS = 1.0  # between the platform's heartbeats
SILENCE_TIMEOUT_SECONDS = 2.5 * PING_INTERVAL_SECONDS
RECONNECT_DELAY_SECONDS = 0.2  # with a random part
READ_BUFFER_BYTES = 16384
MAX_LINE_BYTES = 65536
RolloutCallback = Callable[[RolloutMessage | None, bool, AttemptOutcome], None]


class RolloutClient:
    """Calls `notify` with each stage (is_vote False), and with each vote's outcome (is_vote True).

    `vote_timeout` is in seconds. A vote that was sent completely and got no response may have counted. Before a
    stage is passed on `on_received` is called.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        address: str,
        notify: RolloutCallback,
        vote_timeout: float,
        rng: Random,
        log: Any,
    ) -> None:
        self._loop = loop
        self._address = Address(*parse_address(address))
        self._notify = notify
        self._vote_timeout = vote_timeout
        self._rng = rng
        self._log = log
        self._sock: socket.socket | None = None
        self._last_call_id = 0
        self._pending_votes: dict[int, asyncio.TimerHandle] = {}
        self.on_received: Callable[[], None] = lambda: None
        self.connected = False
        self._stopped = False

    def cast_vote(self, vote: CastVote) -> None:
        """Sends a vote. One that cannot be sent at once fails, and the connection ends."""
        params = {"build": vote.build, "stage": vote.stage, "verdict": VERDICT_NAMES[vote.verdict]}
        text = encode_call(self._last_call_id + 1, "Rollout.Judge", params)
        try:
            if self._sock is None or self._sock.send(text) != len(text):
                raise OSError("not connected, or not taken whole")
        except OSError as error:  # its last byte was not written: it never counted
            self._log.info("vote not cast", reason=str(error))
            self._loop.call_soon(self._notify, None, True, AttemptOutcome.CONNECT_FAILED)
            self._disconnect()
            return
        self._last_call_id += 1
        call_id = self._last_call_id
        self._pending_votes[call_id] = self._loop.call_later(self._vote_timeout, self._on_vote_timeout, call_id)
        self._log.info("vote", **params)

    def _on_vote_timeout(self, call_id: int) -> None:
        if self._pending_votes.pop(call_id, None) is not None:
            self._log.info("vote timed out")
            self._notify(None, True, AttemptOutcome.TIMED_OUT)

    def _disconnect(self) -> None:
        """Shuts the connection down; the task that reads it notices."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Ends the client; pending votes time out."""
        self._stopped = True
        self._expire_votes()

    def _expire_votes(self) -> None:
        """Reports votes whose response never comes: they may have counted."""
        votes = self._pending_votes
        self._pending_votes = {}
        for timer in votes.values():
            timer.cancel()
        for _ in votes:
            try:
                self._notify(None, True, AttemptOutcome.TIMED_OUT)
            except Exception:  # noqa: BLE001 - the other votes must be reported; logged
                self._log.exception("the end of a vote could not be applied")

    async def run(self) -> None:
        """Connects and reads until stopped."""
        while not self._stopped:
            try:
                await self._watch()
            except (OSError, MessageError, TimeoutError) as error:
                if self.connected:
                    self._log.warning(
                        "feed down",
                        feed="rollout",
                        reason=str(error) or "silent",
                        remedy="look at the platform; votes wait until it is back",
                    )
            except Exception:  # noqa: BLE001 - one line must not end the feed; logged
                self._log.exception("the rollout connection failed")
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
                    data = await self._loop.sock_recv(sock, READ_BUFFER_BYTES)
                if not data:
                    raise OSError("closed by the platform")
                for line in lines.feed(data):
                    if self._stopped:
                        return
                    self._handle_message(decode(line, RpcMessage))
                if not self.connected:
                    self.connected = True
                    self._log.info("feed up", feed="rollout")
        finally:
            self._sock = None
            sock.close()

    def _handle_message(self, message: RpcMessage) -> None:
        if message.method == "stage":
            stage = decode_stage(message.params).to_rollout_message()
            self.on_received()
            self._notify(stage, False, AttemptOutcome.SUCCEEDED)
        elif message.method is not None:  # ping, and what later platforms may send
            return
        elif message.id is not None and message.id in self._pending_votes:
            self._handle_vote_response(message.id, message)
        elif message.id is None or not 0 < message.id <= self._last_call_id:
            raise MessageError("an answer to no call")

    def _handle_vote_response(self, call_id: int, message: RpcMessage) -> None:
        stage = None
        if message.error is not None:
            outcome = ERROR_OUTCOMES.get(message.error.message, AttemptOutcome.ERROR)
        else:
            stage = decode_stage(message.result).to_rollout_message()
            outcome = AttemptOutcome.SUCCEEDED
        self._pending_votes.pop(call_id).cancel()
        self._notify(stage, True, outcome)
