"""Configuration replicas as processes, connected through proxies that inject faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from lanelead.configuration.commands import call_replica, submit_proposal
from lanelead.protocols.configuration import AcceptedProposal, LogPage
from lanelead.protocols.configuration_replicas import ReplicaStatus
from lanelead.protocols.feeds import decode
from lanelead.testbed.scenarios.processes import free_ports
from tests.faulty_tcp_links import FaultyTcpLinks
from tests.simulated_replicas import proposal


class ReplicaProcesses:
    """Replica processes that reach each other through `links`; a test calls them directly, as an operator does."""

    def __init__(self, count: int, folder: Path, voters: int) -> None:
        self.count, self.folder, self.voters = count, folder, voters
        self.links, self.ports = FaultyTcpLinks(count), free_ports(count)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.answers: dict[str, AcceptedProposal] = {}

    def at(self, *numbers: int) -> list[str]:
        """The addresses of these replicas."""
        return [f"127.0.0.1:{self.ports[number]}" for number in numbers]

    def settings(self, number: int) -> Path:
        """Writes the settings of a replica; returns their file."""
        rows = [
            {
                "number": other,
                "zone": f"zone-{other % 2}",
                "region": "hellas",
                "voter": other < self.voters,
                "address": self.at(number)[0] if other == number else self.links.address(number, other),
            }
            for other in range(self.count)
        ]
        file = self.folder / f"machine-{number}.json"
        store = str(self.folder / f"machine-{number}.sqlite")
        bounds = {"connections": 64, "log_changes": 50}
        file.write_text(json.dumps({"machine": number, "store": store, "machines": rows, "bounds": bounds}))
        return file

    async def start(self, number: int, empty: bool = False) -> None:
        """Starts a process and waits until it is ready; with `empty`, without its store file."""
        if empty:
            for file in self.folder.glob(f"machine-{number}.sqlite*"):
                file.unlink()
        self.processes[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lanelead",
            "configuration",
            "serve",
            str(self.settings(number)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
        )
        out = self.processes[number].stdout
        assert out is not None
        assert (await out.readline()).startswith(b"ready")

    async def kill(self, number: int) -> None:
        """Kills a process and waits for its end."""
        self.processes[number].send_signal(signal.SIGKILL)
        await self.processes[number].wait()

    def signal(self, number: int, signal_to_send: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[number].send_signal(signal_to_send)

    async def status(self, number: int) -> ReplicaStatus:
        """Returns the status document of a replica."""
        status, body = await call_replica(self.at(number)[0], "GET", b"/configuration/status", b"", 5.0)
        assert status == 200
        return decode(body, ReplicaStatus)

    async def commit_proposal(self, ident: str, *numbers: int) -> int:
        """Proposes a change at these replicas, one after another until one accepts; returns its version."""
        answer = await submit_proposal(self.at(*numbers), proposal(ident, f"tenant/{ident}"), 25.0)
        assert isinstance(answer, AcceptedProposal), answer
        self.answers[ident] = answer
        return answer.version

    async def wait_until_voting(self, *numbers: int) -> None:
        """Waits until these voters vote."""
        for number in numbers:
            while (await self.status(number)).non_voting:
                await asyncio.sleep(0.05)

    async def wait_for_agreement(self) -> None:
        """Waits until all replicas have the same document, then checks their logs.

        Each accepted change is there at its version, and none is there twice.
        """
        while True:
            statuses = [await self.status(number) for number in range(self.count)]
            if len({(each.committed_version, each.digest) for each in statuses}) == 1:
                break
            await asyncio.sleep(0.05)
        logs = []
        for number in range(self.count):
            _, body = await call_replica(self.at(number)[0], "GET", b"/configuration/log?from=1", b"", 5.0)
            log = decode(body, LogPage)
            if not log.truncated:
                logs.append([change.ident for change in log.changes])
        assert logs and all(idents == logs[0] for idents in logs)
        assert len(set(logs[0])) == len(logs[0]), "an ident was made twice"
        for ident, answer in self.answers.items():
            assert logs[0][answer.version - 1] == ident, f"{ident} lost"
        for number in range(self.count):  # a retry gets the same result
            for ident, answer in list(self.answers.items())[:2]:
                retried = await submit_proposal(self.at(number), proposal(ident, f"tenant/{ident}"), 5.0)
                assert retried == answer, retried


@contextlib.asynccontextmanager
async def replica_processes(count: int = 3, voters: int | None = None) -> AsyncIterator[ReplicaProcesses]:
    """Runs replicas, of which the first `voters` vote, or all, and waits until they vote."""
    with tempfile.TemporaryDirectory() as name:
        replicas = ReplicaProcesses(count, Path(name), voters or count)
        await replicas.links.open(replicas.ports)
        try:
            await asyncio.gather(*(replicas.start(number) for number in range(count)))
            await replicas.wait_until_voting(*range(replicas.voters))
            yield replicas
        finally:
            for process in replicas.processes.values():
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await replicas.links.close()
