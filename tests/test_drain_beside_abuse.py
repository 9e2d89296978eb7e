"""The drain of a relay on the platform while clients send as fast as they are read (review/8)."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from lanelead.pgwire import messages
from lanelead.postgres_relay import client_connection, request_intake
from lanelead.postgres_relay.client_connection import ClientConnection
from lanelead.postgres_relay.client_listener import LISTEN_BACKLOG
from tests.abuse.measurement import start_abusive_clients
from tests.abuse.regular_clients import Answer, RegularAnswers, RegularClient
from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import relay_under_test
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import platform, statement
from tests.scripted_endpoints import ScriptedEndpoint

READS_AT_FULL_SPEED = 2000  # 64 MB
KILL_SECONDS = 3.7  # SIGKILL comes no sooner after SIGTERM


class TurnCounter:
    """Counts the turns of the event loop."""

    def __init__(self) -> None:
        self.count = 0

    async def count_for_ever(self) -> None:
        """Counts until it is cancelled."""
        while True:
            self.count += 1
            await asyncio.sleep(0)


class DrainBesideAbuse(unittest.TestCase):
    @run_on_uvloop
    async def test_regular_clients_are_answered_during_a_drain_beside_clients_at_full_speed(self) -> None:
        # Guards against a drain that reads a client's connection to its end: requests of all others got no answer.
        answers = RegularAnswers()
        with tempfile.TemporaryDirectory() as folder:
            async with relay_under_test(RelayKind.POSTGRES, Path(folder)) as relay:
                regular = [
                    RegularClient(relay.kind, relay.port, f"regular{number}", answers, True, Random(number))
                    for number in range(12)
                ]
                abusive = await start_abusive_clients(relay, "large requests of no class", 8)
                await asyncio.sleep(1)
                running = [asyncio.create_task(client.run(1.5, 0.1)) for client in regular]
                await asyncio.sleep(0.5)
                relay.process.send_signal(signal.SIGTERM)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(KILL_SECONDS):
                        await relay.process.wait()
                await relay.stop()
                await asyncio.gather(*running)
                abusive.kill()
                await abusive.wait()
        self.assertGreater(answers.counts[Answer.SERVED], 50)
        self.assertEqual(answers.counts[Answer.NEVER], 0, answers.counts)

    @run_on_uvloop
    async def test_one_drain_call_reads_a_bounded_part_of_what_a_client_sends(self) -> None:
        # Guards against an unbounded loop over one connection, whatever the speed of this computer.
        async with platform(ScriptedEndpoint("u0")) as env:
            await env.client()
            connection = next(iter(env.relay.listener.clients))
            reads = [request_intake.READ_BUFFER_BYTES] * READS_AT_FULL_SPEED + [0] * 10
            with mock.patch.object(ClientConnection, "_receive", side_effect=reads) as receive:
                connection.drain()
            self.assertLess(receive.call_count, 100)

    @run_on_uvloop
    async def test_the_loop_gets_turns_while_many_connections_are_drained(self) -> None:
        # Guards against one turn for all connections: each costs little, and hundreds of them too much.
        async with platform(ScriptedEndpoint("u0")) as env:
            for _ in range(20):
                await env.client()
            turns_at_calls: list[int] = []
            turns = TurnCounter()

            def drain(connection: ClientConnection) -> None:
                turns_at_calls.append(turns.count)

            counting = asyncio.create_task(turns.count_for_ever())
            with mock.patch("lanelead.postgres_relay.client_listener.MAX_TURN_SECONDS", 0.0):
                await env.relay.listener._for_each_client(drain)
            counting.cancel()
            self.assertEqual(len(turns_at_calls), 20)
            self.assertEqual(len(set(turns_at_calls)), 20)

    @run_on_uvloop
    async def test_the_loop_gets_turns_while_the_listen_queue_is_accepted(self) -> None:
        # Guards against accepting without an end while clients go on to connect.
        async with platform(ScriptedEndpoint("u0")) as env:
            listener = env.relay.listener
            accepted_at_turns: list[int] = []
            turns = TurnCounter()

            def accept() -> bool:
                accepted_at_turns.append(turns.count)
                return True

            counting = asyncio.create_task(turns.count_for_ever())
            with mock.patch.object(listener, "_accept", accept):
                await listener._stop_listening()
            counting.cancel()
            self.assertLessEqual(len(accepted_at_turns), LISTEN_BACKLOG)
            self.assertEqual(len(set(accepted_at_turns)), len(accepted_at_turns))

    @run_on_uvloop
    async def test_what_a_client_sent_beyond_the_bound_still_gets_answers(self) -> None:
        # Guards against requests that stay unread once the bounded part of a drain is over.
        async with platform(ScriptedEndpoint("u0")) as env:
            sock = env.raw_client()
            await env.until(lambda: any(c.reader.started for c in env.relay.listener.clients))
            connection = next(iter(env.relay.listener.clients))
            sock.sendall(b"".join(messages.query(statement(f"{number}a")) for number in range(40)))
            with (
                mock.patch.object(client_connection, "MAX_DRAIN_READ_BYTES", 1),
                mock.patch.object(request_intake, "READ_BUFFER_BYTES", 500),
            ):
                connection.drain()
                env.relay.after_event()
                received = await env.read_to_end(sock)
            answers = received.count(b"value of ") + received.count(b"C53300")
            self.assertEqual(answers, 40)
