"""The client of the rollout platform: one connection that receives stages and sends this relay's votes."""

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

PING_INTERVAL_SECONDS = 1.0  # between the platform's pings; also the connect timeout
SILENCE_TIMEOUT_SECONDS = 2.5 * PING_INTERVAL_SECONDS
RECONNECT_DELAY_SECONDS = 0.2  # with jitter
READ_BUFFER_BYTES = 16384
MAX_LINE_BYTES = 65536
RolloutCallback = Callable[[RolloutMessage | None, bool, AttemptOutcome], None]


class RolloutClient:
    """Calls `notify(message, is_vote_reply, outcome)` for each stage received and for each vote's outcome.

    `message` is None for a vote that got no result. `vote_timeout` is in seconds. A vote that was sent completely and
    got no response may have counted; its outcome is TIMED_OUT. `on_received` is called before a stage notification
    is passed on. `connected` tells whether the connection is up and data has arrived on it.
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
        """Sends a vote. If it cannot be sent at once, it fails and the connection is shut down."""
        params = {"build": vote.build, "stage": vote.stage, "verdict": VERDICT_NAMES[vote.verdict]}
        message = encode_call(self._last_call_id + 1, "Rollout.Judge", params)
        try:
            if self._sock is None or self._sock.send(message) != len(message):
                raise OSError("not connected, or the socket's send buffer is full")
        except OSError as error:  # the last byte was not written, so that the vote cannot have counted
            self._log.info("vote not cast", reason=str(error))
            self._loop.call_soon(self._notify, None, True, AttemptOutcome.CONNECT_FAILED)
            self._disconnect()
            return
        self._last_call_id += 1
        call_id = self._last_call_id
        self._pending_votes[call_id] = self._loop.call_later(self._vote_timeout, self._on_vote_timeout, call_id)
        self._log.info("vote sent", **params)

    def _on_vote_timeout(self, call_id: int) -> None:
        if self._pending_votes.pop(call_id, None) is not None:
            self._log.info("vote timed out")
            self._notify(None, True, AttemptOutcome.TIMED_OUT)

    def _disconnect(self) -> None:
        """Shuts the connection down, which makes the task that reads from it reconnect."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Ends the client; pending votes are reported as timed out."""
        self._stopped = True
        self._expire_votes()

    def _expire_votes(self) -> None:
        """Reports all pending votes as timed out: their responses never come, but they may have counted."""
        votes = self._pending_votes
        self._pending_votes = {}
        for timer in votes.values():
            timer.cancel()
        for _ in votes:
            try:
                self._notify(None, True, AttemptOutcome.TIMED_OUT)
            except Exception:  # noqa: BLE001 - logged; the other votes must still be reported
                self._log.exception("the outcome of a vote could not be applied")

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
                        reason=str(error) or "timed out",
                        remedy="check the rollout platform; votes wait until it is back",
                    )
            except Exception:  # noqa: BLE001 - logged; a fault on one message must not end the feed
                self._log.exception("the rollout connection failed")
            self.connected = False
            self._expire_votes()
            await asyncio.sleep(RECONNECT_DELAY_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _watch(self) -> None:
        """Opens a connection, subscribes to stages and handles messages until the connection fails or `stop`."""
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
                    raise OSError("connection closed by the platform")
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
        elif message.method is not None:  # a ping, or a notification of a later version of the platform
            return
        elif message.id is not None and message.id in self._pending_votes:
            self._handle_vote_response(message.id, message)
        elif message.id is None or not 0 < message.id <= self._last_call_id:
            raise MessageError("response to an unknown call id")

    def _handle_vote_response(self, call_id: int, message: RpcMessage) -> None:
        stage = None
        if message.error is not None:
            outcome = ERROR_OUTCOMES.get(message.error.message, AttemptOutcome.ERROR)
        else:
            stage = decode_stage(message.result).to_rollout_message()
            outcome = AttemptOutcome.SUCCEEDED
        self._pending_votes.pop(call_id).cancel()
        self._notify(stage, True, outcome)
