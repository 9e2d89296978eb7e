"""Requests that come in pieces, and requests that could stay unanswered: docs/crossings.md has the table."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import unittest
from unittest import mock

from lanelead.pgwire import messages
from lanelead.postgres_relay import client_connection as clients
from lanelead.postgres_relay import client_listener as fronts
from lanelead.postgres_relay.client_connection import ClientConnection
from tests.postgres_platform import Platform, platform, statement
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint, row
from tests.test_client_connection_races import accepted_client
from tests.test_upstream_races import connection_of
from tests.town import live


class PartialWriter:
    """A connection whose every piece has been read by the relay before the next one is sent."""

    def __init__(self, place: Platform, sock: socket.socket, client: ClientConnection) -> None:
        self.place, self.sock, self.client = place, sock, client
        self.seen = 0
        take = client.reader.feed

        def feed(data: bytes) -> object:
            self.seen += len(data)
            return take(data)

        client.reader.feed = feed  # type: ignore[assignment,method-assign]

    async def send(self, data: bytes, size: int = 1) -> None:
        for at in range(0, len(data), size):
            before = self.seen
            self.sock.sendall(data[at : at + size])
            want = before + len(data[at : at + size])
            await self.place.until(lambda want=want: self.seen >= want or self.gone)  # type: ignore[misc]

    @property
    def gone(self) -> bool:
        return self.client.sock.fileno() < 0


async def partial_writer(place: Platform) -> PartialWriter:
    """A connection on which nothing has been sent."""
    sock = socket.create_connection(("127.0.0.1", place.port))
    place.raw_sockets.append(sock)
    return PartialWriter(place, sock, await accepted_client(place, sock))


async def slow_writer(place: Platform) -> PartialWriter:
    """One that has begun, and whose kernels hold little of what it does not read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", place.port))
    place.raw_sockets.append(sock)
    one = PartialWriter(place, sock, await accepted_client(place, sock))
    one.client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await one.send(messages.startup("app", "shop"), 64)
    return one


def aged(client: ClientConnection, seconds: float) -> None:
    """It came so much earlier, and its last bytes just now."""
    client.opened_at -= seconds


class ByteByByte(unittest.TestCase):
    @live
    async def test_a_request_of_single_bytes_is_answered(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            one = await partial_writer(place)
            await one.send(messages.startup("app", "shop") + messages.query(statement("1a")))
            await place.until(lambda: place.relay.driver.counters.succeeded == 1)
            one.client.drain()
            found = await place.read_to_end(one.sock)
            self.assertEqual((found.count(b"value of 1a"), found.count(b"SERROR")), (1, 0))

    @live
    async def test_slow_but_steady_over_the_time_to_ask_is_not_cut_off(self) -> None:
        """The startup and the first query take longer than SILENCE, and no pause between bytes does."""
        async with platform(ScriptedEndpoint("u0")) as place:
            one, front = await partial_writer(place), place.relay.listener
            for part in (messages.startup("app", "shop"), messages.query(statement("1a"))):
                await one.send(part[:-1], 16)
                aged(one.client, fronts.SILENCE_TIMEOUT_SECONDS + 1)
                front.sweep()
                await one.send(part[-1:])
                front.sweep()
            await place.until(lambda: place.relay.driver.counters.succeeded == 1)
            self.assertEqual((front.rejections, front.protocol_violations), (0, 0))

    @live
    async def test_one_that_is_slow_for_ever_is_told_to_go_elsewhere(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            one = await partial_writer(place)
            await one.send(messages.startup("app", "shop") + messages.query(statement("1a"))[:9], 64)
            aged(one.client, fronts.IDLE_TIMEOUT_SECONDS + 1)
            place.relay.listener.sweep()
            found = await place.read_to_end(one.sock)
            self.assertIn(b"C57P03", found)

    @live
    async def test_one_that_stops_in_the_middle_is_told_so(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            one = await partial_writer(place)
            await one.send(messages.startup("app", "shop") + messages.query(statement("1a"))[:30], 64)
            one.client.last_activity -= fronts.SILENCE_TIMEOUT_SECONDS + 1
            place.relay.listener.sweep()
            self.assertIn(b"C08P01", await place.read_to_end(one.sock))
            self.assertEqual(place.endpoints[0].queries, [])

    @live
    async def test_a_used_connection_may_be_slow_over_the_time_to_ask_too(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            one, front, text = await partial_writer(place), place.relay.listener, messages.query(statement("2a"))
            await one.send(messages.startup("app", "shop") + messages.query(statement("1a")), 64)
            await place.until(lambda: place.relay.driver.counters.succeeded == 1)
            await one.send(text[:-1], 16)
            aged(one.client, 100)
            front.sweep()
            await one.send(text[-1:])
            await place.until(lambda: place.relay.driver.counters.succeeded == 2)
            self.assertFalse(one.gone)


class Halves(unittest.TestCase):
    @live
    async def test_halves_around_a_drain_of_the_unit_go_elsewhere(self) -> None:
        async with platform(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as place:
            one, text = await partial_writer(place), messages.query(statement("1a"))
            await one.send(messages.startup("app", "shop") + text[:40], 64)
            place.change_state(place.endpoints[0], "leaving")
            await place.until(lambda: connection_of(place).status.value == "draining")
            await one.send(text[40:], 64)
            await place.until(lambda: place.relay.driver.counters.succeeded == 1)
            self.assertEqual([len(unit.queries) for unit in place.endpoints], [0, 1])

    @live
    async def test_halves_around_sighup_are_one_request(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            one, text = await partial_writer(place), messages.query(statement("1a"))
            await one.send(messages.startup("app", "shop") + text[:40], 64)
            os.kill(os.getpid(), signal.SIGHUP)
            await place.until(lambda: place.logged("configuration reloaded") == 1)
            await one.send(text[40:], 64)
            await place.until(lambda: place.relay.driver.counters.succeeded == 1)

    @live
    async def test_halves_around_sigterm_are_one_request(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            one, text = await partial_writer(place), messages.query(statement("1a"))
            await one.send(messages.startup("app", "shop") + text[:40], 64)
            os.kill(os.getpid(), signal.SIGTERM)
            await place.until(lambda: place.relay.listener._sock is None and one.client.draining)
            await one.send(text[40:])
            found = await place.read_to_end(one.sock)
            self.assertEqual((found.count(b"value of 1a"), found.count(b"SFATAL")), (1, 0))
            await place.run

    @live
    async def test_a_half_whose_rest_never_comes_is_refused_when_the_relay_ends(self) -> None:
        """Both of one that has asked before, and of one that has not."""
        for asked in (False, True):
            async with platform(ScriptedEndpoint("u0")) as place:
                one, text = await partial_writer(place), messages.query(statement("2a"))
                await one.send(messages.startup("app", "shop"), 64)
                if asked:
                    await one.send(messages.query(statement("1a")), 256)
                    await place.until(lambda place=place: place.relay.driver.counters.succeeded == 1)  # type: ignore
                await one.send(text[:40], 64)
                await place.relay.listener.drain(0, 0.1)
                found = await place.read_to_end(one.sock)
                self.assertEqual(found.count(b"C57P03"), 1, (asked, found))
                self.assertEqual(len(place.endpoints[0].queries), int(asked))

    @live
    async def test_half_a_command_behind_one_that_waits_when_the_drain_cuts(self) -> None:
        for late in (False, True):  # its rest comes before the first answer, or after it
            unit = HeldEndpoint()
            async with platform(unit) as place:
                caller, text = await place.client(), messages.query(statement("2a"))
                caller.send("1a")
                await place.until(lambda unit=unit: len(unit.queries) == 1)  # type: ignore[misc]
                caller.writer.write(text[:40])
                (client,) = place.relay.listener.clients
                await place.until(lambda client=client: client.reader.has_partial_message)  # type: ignore[misc]
                drained = asyncio.create_task(place.relay.listener.drain(0, 3))
                await place.until(lambda client=client: client.closing)  # type: ignore[misc]
                if late:
                    unit.permits.release()
                    self.assertTrue((await caller.response())["D"].endswith(b"value of 1a"))
                caller.writer.write(text[40:])
                if late:
                    unit.permits.release()
                    self.assertTrue((await caller.response())["D"].endswith(b"value of 2a"))
                else:
                    await place.until(lambda place=place: place.relay.listener.rejections == 1)  # type: ignore
                    unit.permits.release()
                    self.assertTrue((await caller.response())["D"].endswith(b"value of 1a"))
                    self.assertEqual((await caller.response())["C"], b"53300")
                self.assertEqual(await caller.reader.read(), b"")
                await drained


class Pipelined(unittest.TestCase):
    @live
    async def test_three_commands_cut_at_every_byte_are_answered_in_order(self) -> None:
        texts = [messages.query(statement(f"{number}a")) for number in range(3)]
        whole = b"".join(texts)
        async with platform(
            ScriptedEndpoint("u0"), ScriptedEndpoint("u1"), ScriptedEndpoint("u2"), sockets=900
        ) as place:
            for cut in range(1, len(whole)):
                one = await partial_writer(place)
                with mock.patch.object(place.relay.listener, "open_request_ids", {}):  # ids come again
                    await one.send(messages.startup("app", "shop"), 64)
                    await one.send(whole[:cut], len(whole))
                    await one.send(whole[cut:], len(whole))
                    await place.until(lambda one=one: not one.client.slots)  # type: ignore[misc]
                    one.client.drain()
                    found = await place.read_to_end(one.sock)
                at = [found.find(b"value of %da" % number) for number in range(3)]
                self.assertTrue(0 < at[0] < at[1] < at[2], (cut, found))
                self.assertEqual(found.count(b"Z\0\0\0\5I"), 4)

    @live
    async def test_half_a_command_is_there_when_the_first_answer_goes_out(self) -> None:
        unit = HeldEndpoint()
        async with platform(unit) as place:
            one, text = await partial_writer(place), messages.query(statement("2a"))
            first = messages.startup("app", "shop") + messages.query(statement("1a"))
            await one.send(first + text[:50], 4096)
            await place.until(lambda: len(unit.queries) == 1)
            unit.permits.release()
            await place.until(lambda: place.relay.driver.counters.succeeded == 1)
            place.relay.listener.sweep()
            unit.permits.release()
            await one.send(text[50:], 4096)
            await place.until(lambda: place.relay.driver.counters.succeeded == 2)
            one.client.drain()
            found = await place.read_to_end(one.sock)
            self.assertLess(0, found.find(b"value of 1a"))
            self.assertLess(found.find(b"value of 1a"), found.find(b"value of 2a"))


class Unanswered(unittest.TestCase):
    @live
    async def test_large_answers_to_one_that_reads_slowly_all_arrive(self) -> None:
        """Some commands, each with the largest value, and a client that reads bit by bit."""

        async def large(unit: ScriptedEndpoint, text: bytes) -> bytes:
            return row(text.split(b"id=")[1].split(b",")[0] + b"x" * 65_000) + messages.READY

        with mock.patch.object(fronts, "SILENCE_TIMEOUT_SECONDS", 60):
            async with platform(*(ScriptedEndpoint(f"u{number}", large) for number in range(3))) as place:
                one = await slow_writer(place)
                sock = one.sock
                rest = 16
                asked = [messages.query(statement(f"{number:x}a")) for number in range(rest)]
                await one.send(b"".join(asked[: rest // 2]), 16_384)
                await place.until(lambda: not one.client.slots)
                self.assertGreater(len(one.client.write_buffer), clients.MAX_WRITE_BUFFER_BYTES)
                sock.sendall(b"".join(asked[rest // 2 :]))  # behind them, while nothing is read
                for _ in range(5):
                    await asyncio.sleep(0)
                self.assertTrue(one.client.reading_paused)
                self.assertEqual(place.relay.driver.counters.received, rest // 2)
                sock.setblocking(False)
                found, loop = b"", asyncio.get_running_loop()
                while found.count(b"Z\0\0\0\5I") < rest + 1:
                    more = await loop.sock_recv(sock, 65_536)
                    self.assertTrue(more, "cut off")
                    found += more
                at = [found.find(b"%xax" % number) for number in range(rest)]
                self.assertEqual((at, min(at) > 0), (sorted(at), True))
                self.assertFalse(one.client.reading_paused)

    @live
    async def test_one_that_reads_slowly_is_not_taken_for_one_that_does_not_read(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            one = await slow_writer(place)
            client = one.client
            client.write_buffer += bytes(8_000_000)
            client._on_writable()
            client.last_activity -= 100
            was = len(client.write_buffer)
            one.sock.recv(100_000)
            await place.until(lambda: len(client.write_buffer) < was)  # some more of it went
            place.relay.listener.sweep()
            self.assertFalse(one.gone)

    @live
    async def test_an_error_within_the_relay_leaves_nobody_without_an_answer(self) -> None:
        async with platform(ScriptedEndpoint("u0")) as place:
            client, front = await place.client(), place.relay.listener
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, what: None)
            with mock.patch.object(place.relay.driver.decisions, "request_received", side_effect=ZeroDivisionError):
                client.send("1a", left=300)
                answer = await client.response()
            self.assertEqual(answer["C"], b"58000")
            self.assertEqual((front.overdue_requests, front.open_request_ids, place.relay.driver.pending), (1, {}, {}))
            self.assertTrue((await client.request("2a"))["D"].endswith(b"value of 2a"))

    @live
    async def test_what_waits_behind_what_can_not_be_read_is_broken_off(self) -> None:
        unit = HeldEndpoint()
        with mock.patch.object(fronts, "VIOLATION_GRACE_SECONDS", 0.05):
            async with platform(unit) as place:
                caller = await place.client()
                caller.send("1a")
                await place.until(lambda: len(unit.queries) == 1)
                caller.writer.write(b"\0noise")
                self.assertEqual((await caller.response())["C"], b"58000")
                self.assertEqual((await caller.response())["C"], b"08P01")
                self.assertEqual(await caller.reader.read(), b"")

    async def behind(self, place: Platform, many: int) -> list[bytes]:
        """Requests written one behind another, and all that comes back while units answer none of them."""
        one = await partial_writer(place)
        await one.send(messages.startup("app", "shop"), 64)
        texts = [messages.query(statement(f"{number:03x}a")) for number in range(many)]
        for first in range(0, many, clients.MAX_COMMANDS_PER_READ):
            await one.send(b"".join(texts[first : first + clients.MAX_COMMANDS_PER_READ]), 1 << 20)
        (client,) = place.relay.listener.clients
        await place.until(lambda: len(client.slots) == many or client.violation_at is not None)
        client.fail_requests()
        client.closing = True
        client.flush()
        found = await place.read_to_end(one.sock)
        return re.findall(rb"\0C([0-9A-Z]{5})\0", found)

    @live
    async def test_requests_written_one_behind_another_are_each_answered(self) -> None:
        # The pipeline day: 4,334 lost, since a ninth that waited ended the connection with all behind it.
        async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as place:
            codes = await self.behind(place, 60)
            self.assertEqual(place.relay.driver.counters.received, 60)
            self.assertEqual(codes, [b"58000"] * 60)

    @live
    async def test_of_more_than_may_wait_each_one_over_is_refused_in_its_place(self) -> None:
        async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as place:
            codes = await self.behind(place, clients.MAX_PIPELINED_REQUESTS + 20)
            self.assertEqual(place.relay.driver.counters.received, clients.MAX_PIPELINED_REQUESTS)
            self.assertEqual(codes, [b"58000"] * clients.MAX_PIPELINED_REQUESTS + [b"53300"] * 20)

    @live
    async def test_so_is_one_over_the_bytes_that_may_wait(self) -> None:
        with mock.patch.object(clients, "MAX_PENDING_BYTES", 3 * len(statement("000a"))):
            async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as place:
                codes = await self.behind(place, 6)
                self.assertEqual(codes, [b"58000"] * 3 + [b"53300"] * 3)

    @live
    async def test_over_all_bounds_the_connection_ends_behind_its_answers(self) -> None:
        with mock.patch.object(clients, "MAX_RESPONSE_SLOTS", 140):
            async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as place:
                codes = await self.behind(place, 150)
                self.assertEqual(codes, [b"58000"] * 128 + [b"53300"] * 12 + [b"54000"])

    @live
    async def test_hundreds_in_one_read_are_one_error_and_none_runs(self) -> None:
        async with platform(HeldEndpoint(), HeldEndpoint("u1"), HeldEndpoint("u2")) as place:
            one = await partial_writer(place)
            await one.send(messages.startup("app", "shop"), 64)
            texts = [messages.query(statement(f"{number:x}a")) for number in range(clients.MAX_COMMANDS_PER_READ + 1)]
            await one.send(b"".join(texts), 1 << 20)
            found = await place.read_to_end(one.sock)
            self.assertEqual((found.count(b"C54000"), found.count(b"C58000")), (1, 0))
            self.assertEqual(place.relay.driver.counters.received, 0)

    @live
    async def test_one_that_takes_nothing_is_ended_by_the_sweep(self) -> None:
        with mock.patch.object(fronts, "SILENCE_TIMEOUT_SECONDS", 0.05):
            async with platform(ScriptedEndpoint("u0")) as place:
                one = await slow_writer(place)
                one.client.write_buffer += bytes(8_000_000)
                one.client._on_writable()
                self.assertTrue(one.client.reading_paused)
                await place.until(lambda: one.gone)  # it takes nothing: the sweep ends it
