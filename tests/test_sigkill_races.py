"""SIGKILL right behind an accept, in real processes: who gets an answer, and from whom."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import unittest
from pathlib import Path

from lanelead.pgwire import messages
from tests.postgres_platform import platform, statement
from tests.relay_processes import RelayProcess, relay, start_relay
from tests.scripted_endpoints import HeldEndpoint, ScriptedEndpoint
from tests.town import live

ASKED = messages.startup("app", "shop") + messages.query(statement("1a"))
ESTABLISHED = "01"


def address_in_proc(place: tuple[str, int]) -> str:
    return f"{int.from_bytes(socket.inet_aton(place[0]), 'little'):08X}:{place[1]:04X}"


def inode(sock: socket.socket) -> int | None:
    """Of the other end of a connection on this machine: 0 while it waits in its listener's queue, the
    kernel's number of its descriptor once it is accepted, None where there is none."""
    ends = address_in_proc(sock.getpeername()), address_in_proc(sock.getsockname())
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        words = line.split()
        if (words[1], words[2]) == ends and words[3] == ESTABLISHED:
            return int(words[9])
    return None


async def accepted(one: RelayProcess, sock: socket.socket) -> None:
    await one.place.until(lambda: bool(inode(sock)))


async def stopped(one: RelayProcess) -> None:
    """It does nothing more until it is killed or continued."""
    one.process.send_signal(signal.SIGSTOP)
    path = Path(f"/proc/{one.process.pid}/stat")
    await one.place.until(lambda: path.read_text().rsplit(")", 1)[1].split()[0] == "T")


def connected(one: RelayProcess, data: bytes = b"") -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", one.port))
    sock.sendall(data)
    one.place.raw_sockets.append(sock)
    return sock


async def killed(one: RelayProcess) -> None:
    one.process.kill()
    code = await one.ended()
    assert code == -signal.SIGKILL, code


async def next_one(one: RelayProcess, stack: contextlib.AsyncExitStack) -> RelayProcess:
    """The next process on the same address, at once."""
    found = await start_relay(one.place, one.place.folder / "other.json", one.port)
    stack.push_async_callback(found.kill_and_wait)
    await found.until("listening")
    return found


def idents(one: RelayProcess) -> list[bytes]:
    """Of the requests that reached a unit."""
    return [text.split(b"id=")[1].split(b",")[0] for unit in one.place.endpoints for text in unit.queries]


class SigkillRaces(unittest.TestCase):
    @live
    async def test_accepted_and_unread_is_reset_and_never_runs(self) -> None:
        """With a request's bytes in it, with a part of them, and without any."""
        async with relay(ScriptedEndpoint("u0")) as one, contextlib.AsyncExitStack() as stack:
            await one.until("listening")
            socks = [connected(one) for _ in range(3)]
            for sock in socks:
                await accepted(one, sock)
            await stopped(one)
            socks[0].sendall(ASKED)
            socks[1].sendall(ASKED[:60])
            await killed(one)
            for sock in socks:
                self.assertEqual(await one.place.read_to_end(sock), b"")
            two = await next_one(one, stack)
            self.assertIn("D", await (await two.client()).request("2a"))
            self.assertEqual(idents(two), [b"2a"])

    @live
    async def test_the_queue_of_one_that_is_killed_is_reset_and_the_next_one_reads_none_of_it(self) -> None:
        async with relay(ScriptedEndpoint("u0")) as one, contextlib.AsyncExitStack() as stack:
            await one.until("listening")
            await stopped(one)
            socks = [connected(one, ASKED) for _ in range(20)]
            self.assertEqual({inode(sock) for sock in socks}, {0})  # all of them in the queue
            await killed(one)
            two = await next_one(one, stack)
            for sock in socks:
                self.assertEqual(await one.place.read_to_end(sock), b"")
            self.assertIn("D", await (await two.client()).request("2a"))
            self.assertEqual(idents(two), [b"2a"])

    @live
    async def test_what_waits_in_the_next_ones_queue_is_answered_in_full(self) -> None:
        async with relay(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as one, contextlib.AsyncExitStack() as stack:
            await one.until("listening")
            await killed(one)
            with self.assertRaises(ConnectionRefusedError):
                connected(one)
            two = await next_one(one, stack)
            await stopped(two)
            texts = [messages.query(statement(f"{number:x}")) for number in range(20)]
            socks = [connected(two, messages.startup("app", "shop") + text) for text in texts]
            self.assertEqual({inode(sock) for sock in socks}, {0})
            two.process.send_signal(signal.SIGCONT)
            two.process.send_signal(signal.SIGTERM)  # so that each connection ends once it is answered
            for number, sock in enumerate(socks):
                found = await one.place.read_to_end(sock)
                self.assertTrue(b"value of %x" % number in found or b"C53300" in found, found)
            self.assertEqual(await two.ended(), 0)

    @live
    async def test_kills_again_and_again_at_one_address(self) -> None:
        """Each time one connection is held, one waits with its request, one has its lookup at a unit."""
        unit = HeldEndpoint()
        async with relay(unit) as one, contextlib.AsyncExitStack() as stack:
            await one.until("listening")
            now = one
            for number in range(3):
                held, asks = await now.client(), await now.client()
                asks.send(f"{number}a")
                await one.place.until(lambda number=number: len(unit.queries) == number + 1)  # type: ignore
                await stopped(now)
                waits = connected(now, ASKED)
                await killed(now)
                for caller in (held, asks):
                    with contextlib.suppress(ConnectionError):
                        self.assertEqual(await caller.reader.read(), b"")
                self.assertEqual(await one.place.read_to_end(waits), b"")
                unit.permits.release()  # an answer for a process that is gone
                now = await next_one(now, stack)
            unit.permits.release()
            answer = await (await now.client()).request("ff")
            self.assertTrue(answer["D"].endswith(b"value of ff"))
            self.assertEqual(idents(now), [b"0a", b"1a", b"2a", b"ff"])

    @live
    async def test_an_answer_written_before_the_kill_arrives_whole(self) -> None:
        async with relay(ScriptedEndpoint("u0")) as one:
            await one.until("listening")
            sock = connected(one, ASKED)
            loop, seen = asyncio.get_running_loop(), b""
            sock.setblocking(False)
            while b"value of 1a" not in seen:  # looked at, and left in this end's kernel
                await asyncio.sleep(0.01)
                with contextlib.suppress(BlockingIOError):
                    seen = sock.recv(4096, socket.MSG_PEEK)
            await killed(one)
            found = await loop.sock_recv(sock, 4096)
            self.assertIn(b"value of 1a", found)
            self.assertTrue(found.endswith(messages.READY))


class ManyConnections(unittest.TestCase):
    @live
    async def test_who_never_asked_is_known_without_looking_at_all(self) -> None:
        # The crowd day: each of 770 connections a second had all 500 looked at, half of what it cost.
        async with platform(ScriptedEndpoint("u0")) as place:
            front = place.relay.listener
            asks, leaves = await place.client(), place.raw_client()
            place.raw_client()
            await place.until(lambda: len(front.clients) == 3)
            self.assertEqual(list(front.clients), list(front.without_request))
            await asks.request("1a")
            leaves.close()
            await place.until(lambda: len(front.clients) == 2)
            self.assertEqual(
                [client for client in front.clients if not client.has_requested], list(front.without_request)
            )
            self.assertEqual(1, len(front.without_request))
