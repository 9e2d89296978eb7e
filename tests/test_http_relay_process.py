"""A relay as a process: signals, its exit codes, and descriptors that run out."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from pathlib import Path

from lanelead.protocols.feeds import EndpointMessage
from lanelead.testbed.emulators.discovery import Roster
from lanelead.testbed.emulators.rollout_platform import Desk
from tests.town import SETTINGS, Client, ScriptedUnit, live, outside, says

LIMITED = "import resource, runpy, sys; n = int(sys.argv.pop(1)); \
resource.setrlimit(resource.RLIMIT_NOFILE, (n, n)); runpy.run_module('lanelead', run_name='__main__')"


class Process:
    def __init__(self, process: asyncio.subprocess.Process, port: int) -> None:
        self.process, self.port = process, port
        self.clients: list[Client] = []

    async def code(self) -> int:
        async with asyncio.timeout(10):
            return await self.process.wait()


@contextlib.asynccontextmanager
async def relay(unit: ScriptedUnit, descriptors: int = 1024) -> AsyncIterator[Process]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with (
            outside(folder) as (roster, desk),
            running(unit, descriptors, folder, roster, desk) as found,
        ):
            yield found


@contextlib.asynccontextmanager
async def running(
    unit: ScriptedUnit, descriptors: int, folder: Path, roster: Roster, desk: Desk
) -> AsyncIterator[Process]:
    await unit.open()
    roster.list_now(EndpointMessage(unit.name, "127.0.0.1", unit.port, "north", 1, "ready"))
    (folder / "relay.cue").write_text(SETTINGS.replace(", MORE", "") % (roster.port, desk.port))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        LIMITED,
        str(descriptors),
        "relay",
        "--settings",
        str(folder / "relay.cue"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
    )
    assert process.stdout is not None
    found = Process(process, int((await process.stdout.readline()).split()[2]))
    try:
        yield found
    finally:
        for client in found.clients:
            client.writer.close()
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        unit.shut()


class Signals(unittest.TestCase):
    @live
    async def test_sigterm_answers_what_was_taken_and_exits_with_0(self) -> None:
        unit = ScriptedUnit("u", says(b"last\n", wait=0.4))
        async with relay(unit) as process:
            client = await Client.to(process)
            client.send("POST", "/", b"b")
            while not unit.requests:
                await asyncio.sleep(0.01)
            process.process.send_signal(signal.SIGTERM)
            self.assertEqual((await client.answer())[2], b"last\n")
            self.assertEqual(await process.code(), 0)

    @live
    async def test_a_second_one_ends_it_at_once(self) -> None:
        unit = ScriptedUnit("u", says(wait=5))
        async with relay(unit) as process:
            client = await Client.to(process)
            client.send("POST", "/", b"b")
            while not unit.requests:
                await asyncio.sleep(0.01)
            process.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            self.assertIsNone(process.process.returncode)
            process.process.send_signal(signal.SIGTERM)
            self.assertEqual(await process.code(), 1)

    @live
    async def test_stopped_and_continued_it_answers_once_and_works_on(self) -> None:
        unit = ScriptedUnit("u", says(b"ok\n", wait=0.1))
        async with relay(unit) as process:
            client = await Client.to(process)
            client.send("POST", "/late", b"b", lanelead_left="300")
            while not unit.requests:
                await asyncio.sleep(0.01)
            process.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.9)  # its time and its slack are over; the unit's answer waits on the socket
            process.process.send_signal(signal.SIGCONT)
            status, told, _ = await client.answer()
            self.assertEqual((status, told["lanelead-outcome"]), (504, "broken-off"))
            self.assertEqual((await client.ask("POST", "/next", b"b"))[2], b"ok\n")


class Descriptors(unittest.TestCase):
    @live
    async def test_when_they_run_short_those_connected_are_served_and_others_told_to_come_back(self) -> None:
        unit = ScriptedUnit("u", says())
        async with relay(unit, descriptors=48) as process:
            first = await Client.to(process)
            self.assertEqual((await first.ask("GET", "/"))[0], 200)
            crowd = [await Client.to(process) for _ in range(60)]
            beyond = [await client.answer() for client in crowd[7:]]
            self.assertEqual({status for status, _, _ in beyond}, {503})
            self.assertEqual({told["lanelead-outcome"] for _, told, _ in beyond}, {"shed"})
            self.assertEqual((await first.ask("GET", "/"))[0], 200)
            self.assertEqual((await crowd[0].ask("GET", "/"))[0], 200)
            for client in crowd:
                client.writer.close()
            await asyncio.sleep(0.2)
            self.assertEqual((await (await Client.to(process)).ask("GET", "/"))[0], 200)


if __name__ == "__main__":
    unittest.main()
