"""Machines of the configuration as processes, with wires between them, for tests."""

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
    """Machines, each of which finds the others over the wires; operators call them as they are."""

    def __init__(self, many: int, folder: Path, voters: int) -> None:
        self.many, self.folder, self.voters = many, folder, voters
        self.wires, self.ports = FaultyTcpLinks(many), free_ports(many)
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.answers: dict[str, AcceptedProposal] = {}

    def at(self, *numbers: int) -> list[str]:
        return [f"127.0.0.1:{self.ports[number]}" for number in numbers]

    def settings(self, number: int) -> Path:
        rows = [
            {
                "number": other,
                "zone": f"zone-{other % 2}",
                "region": "hellas",
                "voter": other < self.voters,
                "address": self.at(number)[0] if other == number else self.wires.address(number, other),
            }
            for other in range(self.many)
        ]
        file = self.folder / f"machine-{number}.json"
        store = str(self.folder / f"machine-{number}.sqlite")
        bounds = {"connections": 64, "log_changes": 50}
        file.write_text(json.dumps({"machine": number, "store": store, "machines": rows, "bounds": bounds}))
        return file

    async def start(self, number: int, empty: bool = False) -> None:
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
        self.processes[number].send_signal(signal.SIGKILL)
        await self.processes[number].wait()

    def signal(self, number: int, what: signal.Signals) -> None:
        self.processes[number].send_signal(what)

    async def status(self, number: int) -> ReplicaStatus:
        status, body = await call_replica(self.at(number)[0], "GET", b"/configuration/status", b"", 5.0)
        assert status == 200
        return decode(body, ReplicaStatus)

    async def makes(self, ident: str, *numbers: int) -> int:
        """By these machines, the one after the other until it is made."""
        answer = await submit_proposal(self.at(*numbers), proposal(ident, f"tenant/{ident}"), 25.0)
        assert isinstance(answer, AcceptedProposal), answer
        self.answers[ident] = answer
        return answer.version

    async def until_voting(self, *numbers: int) -> None:
        for number in numbers:
            while (await self.status(number)).non_voting:
                await asyncio.sleep(0.05)

    async def agree(self) -> None:
        """All hold the same, every change answered as made is there, and none is there twice."""
        while True:
            found = [await self.status(number) for number in range(self.many)]
            if len({(each.committed_version, each.digest) for each in found}) == 1:
                break
            await asyncio.sleep(0.05)
        logs = []
        for number in range(self.many):
            _, body = await call_replica(self.at(number)[0], "GET", b"/configuration/log?from=1", b"", 5.0)
            log = decode(body, LogPage)
            if not log.truncated:
                logs.append([change.ident for change in log.changes])
        assert logs and all(idents == logs[0] for idents in logs)
        assert len(set(logs[0])) == len(logs[0]), "made twice"
        for ident, answer in self.answers.items():
            assert logs[0][answer.version - 1] == ident, f"{ident} lost"
        for number in range(self.many):  # and asked for once more it is still the one
            for ident, answer in list(self.answers.items())[:2]:
                again = await submit_proposal(self.at(number), proposal(ident, f"tenant/{ident}"), 5.0)
                assert again == answer, again


@contextlib.asynccontextmanager
async def replica_processes(many: int = 3, voters: int | None = None) -> AsyncIterator[ReplicaProcesses]:
    with tempfile.TemporaryDirectory() as name:
        found = ReplicaProcesses(many, Path(name), voters or many)
        await found.wires.open(found.ports)
        try:
            await asyncio.gather(*(found.start(number) for number in range(many)))
            await found.until_voting(*range(found.voters))
            yield found
        finally:
            for process in found.processes.values():
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
            await found.wires.close()
