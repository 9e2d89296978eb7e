"""Races on client connections: requests that arrive while the relay drains, rejects, closes or times out.

docs/crossings.md has the table of races. Each test produces its race at a fixed point of the byte stream.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from unittest import mock

from lanelead.pgwire import messages
from lanelead.postgres_relay import client_listener
from lanelead.postgres_relay.client_connection import ClientConnection
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import Platform, PostgresClient, platform, statement
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint


def relay_connection(env: Platform, sock: socket.socket) -> ClientConnection:
    """Returns the relay's end of a raw client's connection."""
    return next(c for c in env.relay.listener.clients if c.sock.getpeername() == sock.getsockname())


async def accepted_connection(env: Platform, sock: socket.socket) -> ClientConnection:
    """Waits until the relay has accepted a raw client's connection; returns the relay's end of it."""
    await env.until(lambda: any(c.sock.getpeername() == sock.getsockname() for c in env.relay.listener.clients))
    return relay_connection(env, sock)


async def start_drain(env: Platform) -> tuple[PostgresClient, asyncio.Task[None]]:
    """Starts a drain while a request of a client is pending at the first endpoint; returns the client and the drain.

    The client's connection is closing by then: it accepts no further requests.
    """
    client = await env.client()
    client.send("1a")
    await env.until(lambda: len(env.endpoints[0].queries) == 1)
    drained = asyncio.create_task(env.relay.listener.drain(0, 3))
    await env.until(lambda: all(c.closing for c in env.relay.listener.clients))
    return client, drained


def large_statement(number: int) -> bytes:
    """Returns a statement of 50 KB."""
    text = statement(f"{number}a").decode()
    insert = f"INSERT INTO items (id, doc) VALUES ('ab12', '\\x{'00' * 25_000}') RETURNING doc"
    return text.replace("SELECT doc FROM items WHERE id = 'ab12'", insert).encode()


class Draining(unittest.TestCase):
    @run_on_uvloop
    async def test_drain_answers_all_requests_in_the_receive_buffer(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2")) as env:
            listener, sock = env.relay.listener, env.raw_client()
            client = await accepted_connection(env, sock)
            await env.until(lambda: client.reader.started)
            sock.sendall(b"".join(messages.query(large_statement(number)) for number in range(3)))
            client.drain()  # 150 KB have arrived, and the relay has read none of it
            self.assertEqual(len(listener.open_request_ids), 3)
            env.relay.after_event()
            received = await env.read_to_end(sock)
            for number in range(3):
                self.assertIn(b"value of %da" % number, received)

    @run_on_uvloop
    async def test_drain_accepts_all_connections_in_the_listen_queue(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), sockets=900) as env:
            socks = [env.raw_client(statement(f"{number:x}")) for number in range(200)]
            drained = asyncio.create_task(env.relay.listener.drain(0, 3))
            for number, sock in enumerate(socks):
                received = await env.read_to_end(sock)
                self.assertTrue(b"value of %x" % number in received or b"C53300" in received, received[-80:])
            await drained

    @run_on_uvloop
    async def test_drain_gives_unused_connections_a_moment_and_then_rejects_them(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            requester, silent = await env.client(), await env.client()
            with mock.patch.object(client_listener, "CLOSE_LINGER_SECONDS", 0.5):
                drained = asyncio.create_task(env.relay.listener.drain(0, 3))
                await env.until(lambda: all(c.draining for c in env.relay.listener.clients))
                self.assertTrue((await requester.request("1a"))["D"].endswith(b"value of 1a"))
                self.assertEqual(await requester.reader.read(), b"")
                self.assertEqual((await silent.response())["C"], b"57P03")
                await drained

    @run_on_uvloop
    async def test_drain_waits_for_the_rest_of_a_request(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            client, text = await env.client(), messages.query(statement("2a"))
            await client.request("1a")
            client.writer.write(text[:40])
            await env.until(lambda: any(c.reader.has_partial_message for c in env.relay.listener.clients))
            drained = asyncio.create_task(env.relay.listener.drain(0, 3))
            await env.until(lambda: any(c.closing for c in env.relay.listener.clients))
            client.writer.write(text[40:])
            self.assertTrue((await client.response())["D"].endswith(b"value of 2a"))
            self.assertEqual(await client.reader.read(), b"")
            await drained

    @run_on_uvloop
    async def test_disconnect_during_drain_cancels_the_attempt(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            client, drained = await start_drain(env)
            client.writer.close()
            await env.until(lambda: env.relay.driver.counters.abandoned == 1)
            await env.until(lambda: not env.relay.upstream.connections)  # its attempt was cancelled
            await drained

    @run_on_uvloop
    async def test_request_behind_a_pending_one_is_rejected_during_drain(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            client, drained = await start_drain(env)
            client.send("2a")
            await env.until(lambda: env.relay.listener.rejections == 1)
            endpoint.permits.release()
            self.assertTrue((await client.response())["D"].endswith(b"value of 1a"))
            self.assertEqual((await client.response())["C"], b"53300")
            self.assertEqual(await client.reader.read(), b"")
            self.assertEqual(len(endpoint.queries), 1)
            await drained

    @run_on_uvloop
    async def test_last_response_arrives_and_a_request_after_the_shutdown_stays_unread(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            sock = env.raw_client()
            client = await accepted_connection(env, sock)
            await env.until(lambda: client.reader.started)
            sock.sendall(messages.query(statement("1a")))
            client.drain()
            env.relay.after_event()
            await env.until(lambda: client.write_closed)
            sock.sendall(messages.query(statement("2a")))  # the client has not noticed the shutdown yet
            await env.until(lambda: client not in env.relay.listener.clients)
            received = await env.read_to_end(sock)
            self.assertIn(b"value of 1a", received)
            self.assertNotIn(b"2a", received)
            self.assertEqual((env.relay.driver.counters.received, client.discarded_bytes), (1, 0))

    @run_on_uvloop
    async def test_request_pending_at_the_drain_deadline_fails(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            client = await env.client()
            client.send("1a", left=1400)
            await env.until(lambda: len(endpoint.queries) == 1)
            await env.relay.listener.drain(0, 0.1)
            self.assertEqual((await client.response())["C"], b"58000")
            self.assertEqual((env.relay.listener.clients, env.relay.driver.pending), ({}, {}))

    @run_on_uvloop
    async def test_time_left_is_capped_at_the_drain_deadline(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            client, listener = await env.client(), env.relay.listener
            listener.drain_deadline = asyncio.get_running_loop().time() + 0.3
            with mock.patch.object(env.relay.driver, "receive", wraps=env.relay.driver.receive) as receive:
                await client.request("1a", left=1400)
            self.assertLessEqual(receive.call_args.args[4], 3000)

    @run_on_uvloop
    async def test_request_that_crosses_a_rejection_never_runs(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            sock = env.raw_client()
            client = await accepted_connection(env, sock)
            await env.until(lambda: client.reader.started)
            sock.sendall(messages.query(statement("1a")))
            client.close_with_rejection("57P03", "go elsewhere")  # the relay has read none of it
            received = await env.read_to_end(sock)
            self.assertEqual((received.count(b"SFATAL"), b"value of" in received), (1, False))
            self.assertEqual((env.endpoints[0].queries, env.relay.driver.counters.received), ([], 0))

    @run_on_uvloop
    async def test_first_request_just_before_the_rejection_is_answered(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            sock = env.raw_client()
            client = await accepted_connection(env, sock)
            await env.until(lambda: client.reader.started)
            with mock.patch.object(
                ClientConnection,
                "close_with_rejection",
                autospec=True,
                side_effect=ClientConnection.close_with_rejection,
            ) as rejection:
                with mock.patch.object(client_listener, "CLOSE_LINGER_SECONDS", 0):

                    def drain(connection: ClientConnection) -> None:
                        if connection.draining:  # the second call, right before the connection would be rejected
                            sock.sendall(messages.query(statement("1a")))
                        original_drain(connection)

                    original_drain = ClientConnection.drain
                    with mock.patch.object(ClientConnection, "drain", drain):
                        await env.relay.listener.drain(0, 3)
                self.assertEqual(rejection.call_count, 0)
            self.assertIn(b"value of 1a", await env.read_to_end(sock))


class Violations(unittest.TestCase):
    @run_on_uvloop
    async def test_disconnect_after_a_violation_cancels_the_attempt(self) -> None:
        endpoint = HeldEndpoint()
        with mock.patch.object(client_listener, "VIOLATION_GRACE_SECONDS", 60):
            async with platform(endpoint) as env:
                client = await env.client()
                client.send("1a")
                client.writer.write(b"\0noise")
                await env.until(lambda: env.relay.listener.protocol_violations == 1 and len(endpoint.queries) == 1)
                client.writer.close()
                await env.until(lambda: env.relay.driver.counters.abandoned == 1)
                await env.until(lambda: not env.relay.upstream.connections)

    @run_on_uvloop
    async def test_bytes_after_a_violation_are_discarded_up_to_a_limit(self) -> None:
        with mock.patch("lanelead.postgres_relay.request_intake.MAX_DISCARDED_BYTES", 100_000):
            async with platform(HeldEndpoint("u0"), ScriptedEndpoint("u1")) as env:
                violator, sock = await env.client(), env.raw_client(statement("1a"))
                violator.send("2a")
                violator.writer.write(b"\0noise")
                await env.until(lambda: env.relay.listener.protocol_violations == 1)
                connection = next(c for c in env.relay.listener.clients if c.violation_at is not None)
                violator.writer.write(b"x" * 10_000_000)
                await env.until(lambda: not connection.reading or connection.sock.fileno() < 0)
                self.assertLess(connection.discarded_bytes, 200_000)
                relay_connection(env, sock)
                self.assertIn("D", await (await env.client()).request("3a", left=1400))


class Timeouts(unittest.TestCase):
    @run_on_uvloop
    async def test_sweep_keeps_connections_with_unread_bytes(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            socks = [env.raw_client(), env.raw_client()]
            clients = [await accepted_connection(env, sock) for sock in socks]
            await env.until(lambda: all(client.reader.started for client in clients))
            for number, (sock, client) in enumerate(zip(socks, clients, strict=True)):
                client.last_activity -= 100  # the relay's process was suspended meanwhile
                client.opened_at -= 100
                client.has_requested = number == 0
                sock.sendall(messages.query(statement(f"{number}a")))
            env.relay.listener.sweep()
            self.assertEqual([client.closing for client in clients], [False, False])
            await env.until(lambda: env.relay.driver.counters.succeeded == 2)

    @run_on_uvloop
    async def test_silent_client_is_rejected(self) -> None:
        with mock.patch.object(client_listener, "SILENCE_TIMEOUT_SECONDS", 0.1):
            async with platform(ScriptedEndpoint("u0")) as env:
                self.assertEqual((await (await env.client()).response())["C"], b"57P03")

    @run_on_uvloop
    async def test_only_connections_without_unread_bytes_are_evicted(self) -> None:
        async with platform(ScriptedEndpoint("u0"), sockets=64) as env:
            listener = env.relay.listener
            socks = [env.raw_client() for _ in range(listener._max_connections)]
            for sock in socks:
                client = await accepted_connection(env, sock)
                await env.until(lambda client=client: client.reader.started)  # type: ignore[misc]
                client.opened_at -= 1
            for sock in socks[:-1]:
                sock.sendall(messages.query(statement(f"{socks.index(sock):x}")))
            requester = env.raw_client(statement("ff"))
            listener._accept()  # before any of these requests is read
            self.assertEqual((listener.evicted_connections, listener.rejected_connections), (1, 0))
            self.assertIn(b"C53300", await env.read_to_end(socks[-1]))
            await env.until(lambda: env.relay.driver.counters.succeeded == len(socks))
            requester.close()

    @run_on_uvloop
    async def test_connections_over_the_limit_are_rejected(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint, HeldEndpoint("u1"), sockets=64) as env:
            listener = env.relay.listener
            for number in range(listener._max_connections):
                env.raw_client(statement(f"{number:x}"))
            await env.until(lambda: len(listener.open_request_ids) == listener._max_connections)
            socks = [env.raw_client(statement(f"f{number:x}")) for number in range(20)]
            listener._accept()
            self.assertEqual(
                (listener.rejected_connections, listener.evicted_connections, len(listener.open_request_ids)),
                (20, 0, listener._max_connections),
            )
            for sock in socks:
                self.assertIn(b"C53300", await env.read_to_end(sock))
            await env.until(lambda: not listener._rejected_sockets)

    @run_on_uvloop
    async def test_accepting_pauses_when_descriptors_run_out(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            listener, sock = env.relay.listener, env.relay.listener._sock
            assert sock is not None
            exhausted = mock.Mock(wraps=sock)
            exhausted.accept = mock.Mock(side_effect=OSError(errno.EMFILE, "none left"))
            exhausted.fileno = sock.fileno
            listener._sock = exhausted
            listener._accept()
            listener._accept()
            requester = env.raw_client(statement("1a"))
            turns = 0
            while turns < 20:  # the loop must not call `_accept` again meanwhile
                await asyncio.sleep(0)
                turns += 1
            self.assertEqual(exhausted.accept.call_count, 2)
            listener._sock = sock
            await env.until(lambda: env.relay.driver.counters.succeeded == 1)  # accepting resumes by itself
            requester.close()
