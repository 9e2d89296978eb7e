"""What crosses on a client's connection, each held at its byte: docs/crossings.md has the table."""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from unittest import mock

from lanelead.pgwire import messages
from lanelead.postgres_relay import client_listener as fronts
from lanelead.postgres_relay.client_connection import ClientConnection
from tests.postgres_platform import Platform, platform, statement
from tests.postgres_platform import PostgresClient as Caller
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.town import live


def client_of(place: Platform, sock: socket.socket) -> ClientConnection:
    """The relay's end of a plain client's connection."""
    return next(c for c in place.relay.listener.clients if c.sock.getpeername() == sock.getsockname())


async def accepted_client(place: Platform, sock: socket.socket) -> ClientConnection:
    await place.until(lambda: any(c.sock.getpeername() == sock.getsockname() for c in place.relay.listener.clients))
    return client_of(place, sock)


async def stopping(place: Platform) -> tuple[Caller, asyncio.Task[None]]:
    """A client whose lookup waits at the first unit, past the cut of a drain."""
    client = await place.client()
    client.send("1a")
    await place.until(lambda: len(place.endpoints[0].queries) == 1)
    drained = asyncio.create_task(place.relay.listener.drain(0, 3))
    await place.until(lambda: all(c.closing for c in place.relay.listener.clients))
    return client, drained


def wide(number: int) -> bytes:
    """A statement of 50 KB."""
    text = statement(f"{number}a").decode()
    insert = f"INSERT INTO items (id, doc) VALUES ('ab12', '\\x{'00' * 25_000}') RETURNING doc"
    return text.replace("SELECT doc FROM items WHERE id = 'ab12'", insert).encode()


class Stopping(unittest.TestCase):
    @live
    async def test_all_that_waits_in_the_kernel_is_taken_and_answered(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2")) as place:
            front, sock = place.relay.listener, place.raw_client()
            client = await accepted_client(place, sock)
            await place.until(lambda: client.reader.started)
            sock.sendall(b"".join(messages.query(wide(number)) for number in range(3)))
            client.drain()  # 150 KB have come, and the relay has read none of it
            self.assertEqual(len(front.open_request_ids), 3)
            place.relay.after_event()
            found = await place.read_to_end(sock)
            for number in range(3):
                self.assertIn(b"value of %da" % number, found)

    @live
    async def test_a_crowd_in_the_queue_is_taken_in_whole(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), sockets=900) as place:
            socks = [place.raw_client(statement(f"{number:x}")) for number in range(200)]
            drained = asyncio.create_task(place.relay.listener.drain(0, 3))
            for number, sock in enumerate(socks):
                found = await place.read_to_end(sock)
                self.assertTrue(b"value of %x" % number in found or b"C53300" in found, found[-80:])
            await drained

    @live
    async def test_one_that_never_asked_may_ask_for_a_moment_and_is_then_sent_elsewhere(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            asks, silent = await place.client(), await place.client()
            with mock.patch.object(fronts, "CLOSE_LINGER_SECONDS", 0.5):
                drained = asyncio.create_task(place.relay.listener.drain(0, 3))
                await place.until(lambda: all(c.draining for c in place.relay.listener.clients))
                self.assertTrue((await asks.request("1a"))["D"].endswith(b"value of 1a"))
                self.assertEqual(await asks.reader.read(), b"")
                self.assertEqual((await silent.response())["C"], b"57P03")
                await drained

    @live
    async def test_half_a_request_is_waited_for(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            client, text = await place.client(), messages.query(statement("2a"))
            await client.request("1a")
            client.writer.write(text[:40])
            await place.until(lambda: any(c.reader.has_partial_message for c in place.relay.listener.clients))
            drained = asyncio.create_task(place.relay.listener.drain(0, 3))
            await place.until(lambda: any(c.closing for c in place.relay.listener.clients))
            client.writer.write(text[40:])
            self.assertTrue((await client.response())["D"].endswith(b"value of 2a"))
            self.assertEqual(await client.reader.read(), b"")
            await drained

    @live
    async def test_a_client_that_leaves_meanwhile_is_noticed(self) -> None:
        unit = HeldEndpoint()
        async with platform(unit) as place:
            client, drained = await stopping(place)
            client.writer.close()
            await place.until(lambda: place.relay.driver.counters.abandoned == 1)
            await place.until(lambda: not place.relay.upstream.connections)  # and its trip was called off
            await drained

    @live
    async def test_what_comes_behind_a_lookup_that_waits_is_refused_and_harmless_to_repeat(self) -> None:
        unit = HeldEndpoint()
        async with platform(unit) as place:
            client, drained = await stopping(place)
            client.send("2a")
            await place.until(lambda: place.relay.listener.rejections == 1)
            unit.permits.release()
            self.assertTrue((await client.response())["D"].endswith(b"value of 1a"))
            self.assertEqual((await client.response())["C"], b"53300")
            self.assertEqual(await client.reader.read(), b"")
            self.assertEqual(len(unit.queries), 1)
            await drained

    @live
    async def test_an_answer_just_written_survives_the_end_and_what_crosses_it_stays_unread(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            sock = place.raw_client()
            client = await accepted_client(place, sock)
            await place.until(lambda: client.reader.started)
            sock.sendall(messages.query(statement("1a")))
            client.drain()
            place.relay.after_event()
            await place.until(lambda: client.write_closed)
            sock.sendall(messages.query(statement("2a")))  # its client has not seen the end yet
            await place.until(lambda: client not in place.relay.listener.clients)
            found = await place.read_to_end(sock)
            self.assertIn(b"value of 1a", found)
            self.assertNotIn(b"2a", found)
            self.assertEqual((place.relay.driver.counters.received, client.discarded_bytes), (1, 0))

    @live
    async def test_what_would_wait_longer_than_the_process_lives_is_broken_off(self) -> None:
        unit = HeldEndpoint()
        async with platform(unit) as place:
            client = await place.client()
            client.send("1a", left=1400)
            await place.until(lambda: len(unit.queries) == 1)
            await place.relay.listener.drain(0, 0.1)
            self.assertEqual((await client.response())["C"], b"58000")
            self.assertEqual((place.relay.listener.clients, place.relay.driver.pending), ({}, {}))

    @live
    async def test_after_sigterm_no_lookup_is_given_longer_than_the_process_lives(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            client, front = await place.client(), place.relay.listener
            front.drain_deadline = asyncio.get_running_loop().time() + 0.3
            with mock.patch.object(place.relay.driver, "receive", wraps=place.relay.driver.receive) as take:
                await client.request("1a", left=1400)
            self.assertLessEqual(take.call_args.args[4], 3000)

    @live
    async def test_a_request_that_crosses_its_refusal_is_refused_and_never_runs(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            sock = place.raw_client()
            client = await accepted_client(place, sock)
            await place.until(lambda: client.reader.started)
            sock.sendall(messages.query(statement("1a")))
            client.close_with_rejection("57P03", "go elsewhere")  # the relay has read none of it
            found = await place.read_to_end(sock)
            self.assertEqual((found.count(b"SFATAL"), b"value of" in found), (1, False))
            self.assertEqual((place.endpoints[0].queries, place.relay.driver.counters.received), ([], 0))

    @live
    async def test_a_first_request_that_came_at_the_last_moment_is_answered(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            sock = place.raw_client()
            client = await accepted_client(place, sock)
            await place.until(lambda: client.reader.started)
            with mock.patch.object(
                ClientConnection,
                "close_with_rejection",
                autospec=True,
                side_effect=ClientConnection.close_with_rejection,
            ) as refuse:
                with mock.patch.object(fronts, "CLOSE_LINGER_SECONDS", 0):

                    def leave(one: ClientConnection) -> None:
                        if one.draining:  # the second look, right before it would be refused
                            sock.sendall(messages.query(statement("1a")))
                        kept(one)

                    kept = ClientConnection.drain
                    with mock.patch.object(ClientConnection, "drain", leave):
                        await place.relay.listener.drain(0, 3)
                self.assertEqual(refuse.call_count, 0)
            self.assertIn(b"value of 1a", await place.read_to_end(sock))


class Violations(unittest.TestCase):
    @live
    async def test_a_client_that_leaves_while_its_lookup_waits_is_noticed(self) -> None:
        unit = HeldEndpoint()
        with mock.patch.object(fronts, "VIOLATION_GRACE_SECONDS", 60):
            async with platform(unit) as place:
                client = await place.client()
                client.send("1a")
                client.writer.write(b"\0noise")
                await place.until(lambda: place.relay.listener.protocol_violations == 1 and len(unit.queries) == 1)
                client.writer.close()
                await place.until(lambda: place.relay.driver.counters.abandoned == 1)
                await place.until(lambda: not place.relay.upstream.connections)

    @live
    async def test_a_flood_behind_it_is_read_up_to_a_bound_and_hurts_nobody(self) -> None:
        with mock.patch("lanelead.postgres_relay.client_connection.MAX_DISCARDED_BYTES", 100_000):
            async with platform(HeldEndpoint("u0"), ScriptedEndpoint("u1")) as place:
                rude, sock = await place.client(), place.raw_client(statement("1a"))
                rude.send("2a")
                rude.writer.write(b"\0noise")
                await place.until(lambda: place.relay.listener.protocol_violations == 1)
                judged = next(c for c in place.relay.listener.clients if c.violation_at is not None)
                rude.writer.write(b"x" * 10_000_000)
                await place.until(lambda: not judged.reading or judged.sock.fileno() < 0)
                self.assertLess(judged.discarded_bytes, 200_000)
                client_of(place, sock)
                self.assertIn("D", await (await place.client()).request("3a", left=1400))


class Timeouts(unittest.TestCase):
    @live
    async def test_the_sweep_ends_nothing_on_which_something_waits(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            socks = [place.raw_client(), place.raw_client()]
            clients = [await accepted_client(place, sock) for sock in socks]
            await place.until(lambda: all(client.reader.started for client in clients))
            for number, (sock, client) in enumerate(zip(socks, clients, strict=True)):
                client.last_activity -= 100  # the relay stood still meanwhile
                client.opened_at -= 100
                client.has_requested = number == 0
                sock.sendall(messages.query(statement(f"{number}a")))
            place.relay.listener.sweep()
            self.assertEqual([client.closing for client in clients], [False, False])
            await place.until(lambda: place.relay.driver.counters.succeeded == 2)

    @live
    async def test_one_that_says_nothing_is_told_to_go_elsewhere(self) -> None:
        with mock.patch.object(fronts, "SILENCE_TIMEOUT_SECONDS", 0.1):
            async with platform(ScriptedEndpoint("u0")) as place:
                self.assertEqual((await (await place.client()).response())["C"], b"57P03")

    @live
    async def test_room_is_made_only_where_nothing_waits(self) -> None:
        async with platform(ScriptedEndpoint("u0"), sockets=64) as place:
            front = place.relay.listener
            socks = [place.raw_client() for _ in range(front._max_connections)]
            for sock in socks:
                client = await accepted_client(place, sock)
                await place.until(lambda client=client: client.reader.started)  # type: ignore[misc]
                client.opened_at -= 1
            for sock in socks[:-1]:
                sock.sendall(messages.query(statement(f"{socks.index(sock):x}")))
            asks = place.raw_client(statement("ff"))
            front._accept()  # before any of those is read
            self.assertEqual((front.evicted_connections, front.rejected_connections), (1, 0))
            self.assertIn(b"C53300", await place.read_to_end(socks[-1]))
            await place.until(lambda: place.relay.driver.counters.succeeded == len(socks))
            asks.close()

    @live
    async def test_a_full_house_turns_off_with_a_refusal(self) -> None:
        unit = HeldEndpoint()
        async with platform(unit, HeldEndpoint("u1"), sockets=64) as place:
            front = place.relay.listener
            for number in range(front._max_connections):
                place.raw_client(statement(f"{number:x}"))
            await place.until(lambda: len(front.open_request_ids) == front._max_connections)
            socks = [place.raw_client(statement(f"f{number:x}")) for number in range(20)]
            front._accept()
            self.assertEqual(
                (front.rejected_connections, front.evicted_connections, len(front.open_request_ids)),
                (20, 0, front._max_connections),
            )
            for sock in socks:
                self.assertIn(b"C53300", await place.read_to_end(sock))
            await place.until(lambda: not front._rejected_sockets)

    @live
    async def test_no_descriptor_left_makes_no_loop_that_spins(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            front, sock = place.relay.listener, place.relay.listener._sock
            assert sock is not None
            empty = mock.Mock(wraps=sock)
            empty.accept = mock.Mock(side_effect=OSError(errno.EMFILE, "none left"))
            empty.fileno = sock.fileno
            front._sock = empty
            front._accept()
            front._accept()
            asks = place.raw_client(statement("1a"))
            turns = 0
            while turns < 20:  # the loop turns, and nobody is called
                await asyncio.sleep(0)
                turns += 1
            self.assertEqual(empty.accept.call_count, 2)
            front._sock = sock
            await place.until(lambda: place.relay.driver.counters.succeeded == 1)  # it looks again by itself
            asks.close()
