"""Requests in pieces or pipelined, and requests that could be left without a response (cases: docs/crossings.md)."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import unittest
from unittest import mock

from lanelead.pgwire import messages
from lanelead.postgres_relay import client_connection, client_listener, request_intake, response_writer
from lanelead.postgres_relay.client_connection import ClientConnection
from tests.http_relay_environment import run_on_uvloop
from tests.postgres_platform import Platform, platform, statement
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint, row
from tests.test_client_connection_races import accepted_connection
from tests.test_upstream_races import registered_endpoint


class PartialWriter:
    """Sends in pieces, and waits until the relay has read each piece before it sends the next one."""

    def __init__(self, env: Platform, sock: socket.socket, client: ClientConnection) -> None:
        self.env, self.sock, self.client = env, sock, client
        self.bytes_read = 0
        original_feed = client.reader.feed

        def feed(data: bytes) -> object:
            self.bytes_read += len(data)
            return original_feed(data)

        client.reader.feed = feed  # type: ignore[assignment,method-assign]

    async def send(self, data: bytes, size: int = 1) -> None:
        """Sends `data` in pieces of `size` bytes; returns early if the relay closes the connection."""
        for offset in range(0, len(data), size):
            before = self.bytes_read
            self.sock.sendall(data[offset : offset + size])
            expected = before + len(data[offset : offset + size])
            await self.env.until(lambda expected=expected: self.bytes_read >= expected or self.closed)  # type: ignore[misc]

    @property
    def closed(self) -> bool:
        """Whether the relay has closed its end of the connection."""
        return self.client.sock.fileno() < 0


async def partial_writer(env: Platform) -> PartialWriter:
    """Opens a connection on which nothing has been sent."""
    sock = socket.create_connection(("127.0.0.1", env.port))
    env.raw_sockets.append(sock)
    return PartialWriter(env, sock, await accepted_connection(env, sock))


async def slow_writer(env: Platform) -> PartialWriter:
    """Opens a connection, with small socket buffers at both ends, and sends the startup message."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", env.port))
    env.raw_sockets.append(sock)
    writer = PartialWriter(env, sock, await accepted_connection(env, sock))
    writer.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await writer.send(messages.startup("app", "shop"), 64)
    return writer


def age_connection(client: ClientConnection, seconds: float) -> None:
    """Makes the connection look older by `seconds`, without changing when its last bytes arrived."""
    client.opened_at -= seconds


class ByteByByte(unittest.TestCase):
    @run_on_uvloop
    async def test_request_sent_byte_by_byte_is_answered(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            writer = await partial_writer(env)
            await writer.send(messages.startup("app", "shop") + messages.query(statement("1a")))
            await env.until(lambda: env.relay.driver.counters.succeeded == 1)
            writer.client.drain()
            received = await env.read_to_end(writer.sock)
            self.assertEqual((received.count(b"value of 1a"), received.count(b"SERROR")), (1, 0))

    @run_on_uvloop
    async def test_slow_first_request_may_exceed_the_silence_timeout(self) -> None:
        """The startup and the first query take longer than SILENCE_TIMEOUT_SECONDS, but no pause within them does."""
        async with platform(ScriptedEndpoint("u0")) as env:
            writer, listener = await partial_writer(env), env.relay.listener
            for part in (messages.startup("app", "shop"), messages.query(statement("1a"))):
                await writer.send(part[:-1], 16)
                age_connection(writer.client, client_listener.SILENCE_TIMEOUT_SECONDS + 1)
                listener.sweep()
                await writer.send(part[-1:])
                listener.sweep()
            await env.until(lambda: env.relay.driver.counters.succeeded == 1)
            self.assertEqual((listener.rejections, listener.protocol_violations), (0, 0))

    @run_on_uvloop
    async def test_first_request_slower_than_the_idle_timeout_is_rejected(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            writer = await partial_writer(env)
            await writer.send(messages.startup("app", "shop") + messages.query(statement("1a"))[:9], 64)
            age_connection(writer.client, client_listener.IDLE_TIMEOUT_SECONDS + 1)
            env.relay.listener.sweep()
            received = await env.read_to_end(writer.sock)
            self.assertIn(b"C57P03", received)

    @run_on_uvloop
    async def test_request_that_stops_in_the_middle_is_a_protocol_violation(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            writer = await partial_writer(env)
            await writer.send(messages.startup("app", "shop") + messages.query(statement("1a"))[:30], 64)
            writer.client.last_activity -= client_listener.SILENCE_TIMEOUT_SECONDS + 1
            env.relay.listener.sweep()
            self.assertIn(b"C08P01", await env.read_to_end(writer.sock))
            self.assertEqual(env.endpoints[0].queries, [])

    @run_on_uvloop
    async def test_slow_later_request_is_not_cut_off(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            writer, listener, text = await partial_writer(env), env.relay.listener, messages.query(statement("2a"))
            await writer.send(messages.startup("app", "shop") + messages.query(statement("1a")), 64)
            await env.until(lambda: env.relay.driver.counters.succeeded == 1)
            await writer.send(text[:-1], 16)
            age_connection(writer.client, 100)
            listener.sweep()
            await writer.send(text[-1:])
            await env.until(lambda: env.relay.driver.counters.succeeded == 2)
            self.assertFalse(writer.closed)


class SplitRequests(unittest.TestCase):
    @run_on_uvloop
    async def test_request_split_around_an_endpoint_drain_goes_to_another_endpoint(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as env:
            writer, text = await partial_writer(env), messages.query(statement("1a"))
            await writer.send(messages.startup("app", "shop") + text[:40], 64)
            env.change_state(env.endpoints[0], "leaving")
            await env.until(lambda: registered_endpoint(env).status.value == "draining")
            await writer.send(text[40:], 64)
            await env.until(lambda: env.relay.driver.counters.succeeded == 1)
            self.assertEqual([len(endpoint.queries) for endpoint in env.endpoints], [0, 1])

    @run_on_uvloop
    async def test_request_split_around_sighup_is_one_request(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            writer, text = await partial_writer(env), messages.query(statement("1a"))
            await writer.send(messages.startup("app", "shop") + text[:40], 64)
            os.kill(os.getpid(), signal.SIGHUP)
            await env.until(lambda: env.logged("configuration reloaded") == 1)
            await writer.send(text[40:], 64)
            await env.until(lambda: env.relay.driver.counters.succeeded == 1)

    @run_on_uvloop
    async def test_request_split_around_sigterm_is_one_request(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            writer, text = await partial_writer(env), messages.query(statement("1a"))
            await writer.send(messages.startup("app", "shop") + text[:40], 64)
            os.kill(os.getpid(), signal.SIGTERM)
            await env.until(lambda: env.relay.listener._sock is None and writer.client.draining)
            await writer.send(text[40:])
            received = await env.read_to_end(writer.sock)
            self.assertEqual((received.count(b"value of 1a"), received.count(b"SFATAL")), (1, 0))
            await env.run

    @run_on_uvloop
    async def test_incomplete_request_is_rejected_at_the_end_of_the_drain(self) -> None:
        """On a connection without and with an earlier request."""
        for has_requested in (False, True):
            async with platform(ScriptedEndpoint("u0")) as env:
                writer, text = await partial_writer(env), messages.query(statement("2a"))
                await writer.send(messages.startup("app", "shop"), 64)
                if has_requested:
                    await writer.send(messages.query(statement("1a")), 256)
                    await env.until(lambda env=env: env.relay.driver.counters.succeeded == 1)  # type: ignore
                await writer.send(text[:40], 64)
                await env.relay.listener.drain(0, 0.1)
                received = await env.read_to_end(writer.sock)
                self.assertEqual(received.count(b"C57P03"), 1, (has_requested, received))
                self.assertEqual(len(env.endpoints[0].queries), int(has_requested))

    @run_on_uvloop
    async def test_partial_request_behind_a_pending_one_when_the_drain_starts(self) -> None:
        for late in (False, True):  # the rest arrives before the first response, or after it
            endpoint = HeldEndpoint()
            async with platform(endpoint) as env:
                client, text = await env.client(), messages.query(statement("2a"))
                client.send("1a")
                await env.until(lambda endpoint=endpoint: len(endpoint.queries) == 1)  # type: ignore[misc]
                client.writer.write(text[:40])
                (connection,) = env.relay.listener.clients
                await env.until(lambda connection=connection: connection.reader.has_partial_message)  # type: ignore
                drained = asyncio.create_task(env.relay.listener.drain(0, 3))
                await env.until(lambda connection=connection: connection.closing)  # type: ignore[misc]
                if late:
                    endpoint.permits.release()
                    self.assertTrue((await client.response())["D"].endswith(b"value of 1a"))
                client.writer.write(text[40:])
                if late:
                    endpoint.permits.release()
                    self.assertTrue((await client.response())["D"].endswith(b"value of 2a"))
                else:
                    await env.until(lambda env=env: env.relay.listener.rejections == 1)  # type: ignore
                    endpoint.permits.release()
                    self.assertTrue((await client.response())["D"].endswith(b"value of 1a"))
                    self.assertEqual((await client.response())["C"], b"53300")
                self.assertEqual(await client.reader.read(), b"")
                await drained


class PipelinedRequests(unittest.TestCase):
    @run_on_uvloop
    async def test_three_requests_split_at_every_byte_are_answered_in_order(self) -> None:
        texts = [messages.query(statement(f"{number}a")) for number in range(3)]
        whole = b"".join(texts)
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2"), sockets=900) as env:
            for cut in range(1, len(whole)):
                writer = await partial_writer(env)
                with mock.patch.object(env.relay.listener, "open_request_ids", {}):  # the ids are used again
                    await writer.send(messages.startup("app", "shop"), 64)
                    await writer.send(whole[:cut], len(whole))
                    await writer.send(whole[cut:], len(whole))
                    await env.until(lambda writer=writer: not writer.client.slots)  # type: ignore[misc]
                    writer.client.drain()
                    received = await env.read_to_end(writer.sock)
                positions = [received.find(b"value of %da" % number) for number in range(3)]
                self.assertTrue(0 < positions[0] < positions[1] < positions[2], (cut, received))
                self.assertEqual(received.count(b"Z\0\0\0\5I"), 4)

    @run_on_uvloop
    async def test_partial_request_is_kept_when_an_earlier_response_is_written(self) -> None:
        endpoint = HeldEndpoint()
        async with platform(endpoint) as env:
            writer, text = await partial_writer(env), messages.query(statement("2a"))
            first = messages.startup("app", "shop") + messages.query(statement("1a"))
            await writer.send(first + text[:50], 4096)
            await env.until(lambda: len(endpoint.queries) == 1)
            endpoint.permits.release()
            await env.until(lambda: env.relay.driver.counters.succeeded == 1)
            env.relay.listener.sweep()
            endpoint.permits.release()
            await writer.send(text[50:], 4096)
            await env.until(lambda: env.relay.driver.counters.succeeded == 2)
            writer.client.drain()
            received = await env.read_to_end(writer.sock)
            self.assertLess(0, received.find(b"value of 1a"))
            self.assertLess(received.find(b"value of 1a"), received.find(b"value of 2a"))


class EveryRequestIsAnswered(unittest.TestCase):
    @run_on_uvloop
    async def test_large_responses_all_reach_a_slow_reader(self) -> None:
        """The responses have the largest values; the client reads none until the relay has stopped reading requests."""

        async def large(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            return row(text.split(b"id=")[1].split(b",")[0] + b"x" * 65_000) + messages.READY

        with mock.patch.object(client_listener, "SILENCE_TIMEOUT_SECONDS", 60):
            async with platform(*(ScriptedEndpoint(f"u{number}", large) for number in range(3))) as env:
                writer = await slow_writer(env)
                sock = writer.sock
                request_count = 16
                requests = [messages.query(statement(f"{number:x}a")) for number in range(request_count)]
                await writer.send(b"".join(requests[: request_count // 2]), 16_384)
                await env.until(lambda: not writer.client.slots)
                self.assertGreater(len(writer.client.write_buffer), response_writer.MAX_WRITE_BUFFER_BYTES)
                sock.sendall(b"".join(requests[request_count // 2 :]))  # the relay must not read these yet
                for _ in range(5):
                    await asyncio.sleep(0)
                self.assertTrue(writer.client.reading_paused)
                self.assertEqual(env.relay.driver.counters.received, request_count // 2)
                sock.setblocking(False)
                received, loop = b"", asyncio.get_running_loop()
                while received.count(b"Z\0\0\0\5I") < request_count + 1:
                    more = await loop.sock_recv(sock, 65_536)
                    self.assertTrue(more, "cut off")
                    received += more
                positions = [received.find(b"%xax" % number) for number in range(request_count)]
                self.assertEqual((positions, min(positions) > 0), (sorted(positions), True))
                self.assertFalse(writer.client.reading_paused)

    @run_on_uvloop
    async def test_slow_reader_does_not_time_out(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            writer = await slow_writer(env)
            client = writer.client
            client.write_buffer += bytes(8_000_000)
            client._on_writable()
            client.last_activity -= 100
            size_before = len(client.write_buffer)
            writer.sock.recv(100_000)
            await env.until(lambda: len(client.write_buffer) < size_before)  # the kernel has accepted more bytes
            env.relay.listener.sweep()
            self.assertFalse(writer.closed)

    @run_on_uvloop
    async def test_request_is_answered_after_an_internal_error(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as env:
            client, listener = await env.client(), env.relay.listener
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, what: None)
            with mock.patch.object(env.relay.driver.decisions, "request_received", side_effect=ZeroDivisionError):
                client.send("1a", left=300)
                response = await client.response()
            self.assertEqual(response["C"], b"58000")
            self.assertEqual(
                (listener.overdue_requests, listener.open_request_ids, env.relay.driver.pending), (1, {}, {})
            )
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))

    @run_on_uvloop
    async def test_request_before_a_violation_fails_after_the_grace_period(self) -> None:
        endpoint = HeldEndpoint()
        with mock.patch.object(client_listener, "VIOLATION_GRACE_SECONDS", 0.05):
            async with platform(endpoint) as env:
                client = await env.client()
                client.send("1a")
                await env.until(lambda: len(endpoint.queries) == 1)
                client.writer.write(b"\0noise")
                self.assertEqual((await client.response())["C"], b"58000")
                self.assertEqual((await client.response())["C"], b"08P01")
                self.assertEqual(await client.reader.read(), b"")

    async def pipelined_error_codes(self, env: Platform, count: int) -> list[bytes]:
        """Pipelines `count` requests, which no endpoint answers; returns the SQLSTATE codes of all responses in order.

        The pending requests are failed before the connection closes.
        """
        writer = await partial_writer(env)
        await writer.send(messages.startup("app", "shop"), 64)
        texts = [messages.query(statement(f"{number:03x}a")) for number in range(count)]
        for first in range(0, count, request_intake.MAX_COMMANDS_PER_READ):
            await writer.send(b"".join(texts[first : first + request_intake.MAX_COMMANDS_PER_READ]), 1 << 20)
        (client,) = env.relay.listener.clients
        await env.until(lambda: len(client.slots) == count or client.violation_at is not None)
        client.fail_requests()
        client.closing = True
        client.flush()
        received = await env.read_to_end(writer.sock)
        return re.findall(rb"\0C([0-9A-Z]{5})\0", received)

    @run_on_uvloop
    async def test_each_pipelined_request_is_answered(self) -> None:
        # A scenario with pipelining clients lost 4,334 requests, because the ninth pending request of a connection
        # closed the connection together with all requests behind it.
        async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as env:
            codes = await self.pipelined_error_codes(env, 60)
            self.assertEqual(env.relay.driver.counters.received, 60)
            self.assertEqual(codes, [b"58000"] * 60)

    @run_on_uvloop
    async def test_pipelined_requests_over_the_limit_are_rejected_in_order(self) -> None:
        async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as env:
            codes = await self.pipelined_error_codes(env, client_connection.MAX_PIPELINED_REQUESTS + 20)
            self.assertEqual(env.relay.driver.counters.received, client_connection.MAX_PIPELINED_REQUESTS)
            self.assertEqual(codes, [b"58000"] * client_connection.MAX_PIPELINED_REQUESTS + [b"53300"] * 20)

    @run_on_uvloop
    async def test_pipelined_requests_over_the_byte_limit_are_rejected(self) -> None:
        with mock.patch.object(client_connection, "MAX_PENDING_BYTES", 3 * len(statement("000a"))):
            async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as env:
                codes = await self.pipelined_error_codes(env, 6)
                self.assertEqual(codes, [b"58000"] * 3 + [b"53300"] * 3)

    @run_on_uvloop
    async def test_commands_over_the_slot_limit_are_a_protocol_violation(self) -> None:
        with mock.patch.object(request_intake, "MAX_RESPONSE_SLOTS", 140):
            async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as env:
                codes = await self.pipelined_error_codes(env, 150)
                self.assertEqual(codes, [b"58000"] * 128 + [b"53300"] * 12 + [b"54000"])

    @run_on_uvloop
    async def test_too_many_queries_in_one_read_are_one_error_and_none_runs(self) -> None:
        async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as env:
            writer = await partial_writer(env)
            await writer.send(messages.startup("app", "shop"), 64)
            texts = [
                messages.query(statement(f"{number:x}a")) for number in range(request_intake.MAX_COMMANDS_PER_READ + 1)
            ]
            await writer.send(b"".join(texts), 1 << 20)
            received = await env.read_to_end(writer.sock)
            self.assertEqual((received.count(b"C54000"), received.count(b"C58000")), (1, 0))
            self.assertEqual(env.relay.driver.counters.received, 0)

    @run_on_uvloop
    async def test_sweep_closes_a_client_that_reads_nothing(self) -> None:
        with mock.patch.object(client_listener, "SILENCE_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0")) as env:
                writer = await slow_writer(env)
                writer.client.write_buffer += bytes(8_000_000)
                writer.client._on_writable()
                self.assertTrue(writer.client.reading_paused)
                await env.until(lambda: writer.closed)  # the client reads nothing, so the sweep closes it
