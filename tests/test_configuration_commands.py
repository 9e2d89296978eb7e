"""What machines answer to operators and relays, and the commands: serve, publish and status."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec
from click.testing import CliRunner

from lanelead.configuration.commands import addresses, call_replica, collect_status, configuration, submit_proposal
from lanelead.configuration.settings import InvalidSettingsError, read_settings
from lanelead.protocols.configuration import AppliedVersion, Entry, Proposal, RejectedProposal
from lanelead.protocols.feeds import decode, encode
from lanelead.testbed.scenarios.processes import free_ports
from tests.replica_processes import replica_processes
from tests.town import live


class Said(unittest.TestCase):
    @live
    async def test_what_relays_and_operators_are_told(self) -> None:
        async with replica_processes(4, voters=3) as machines:
            run = CliRunner().invoke
            at = ["--at", machines.at(3)[0]]

            async def publish(text: str, *more: str) -> tuple[int, str]:
                found = await asyncio.to_thread(
                    run, configuration, ["publish", "-", *at, *more], input=text, catch_exceptions=False
                )
                return found.exit_code, found.output

            entries = '{"tenant/a": {"quota_per_s": 3}}'
            code, text = await publish(entries, "--patience", "0.3")
            self.assertEqual(2, code)  # machine 3 does not vote: it proposes once there is a version
            self.assertIn("abstains", text)
            await machines.makes("the-first-change", 0)
            first = await publish(entries, "--ident", "first-one")
            self.assertEqual((0, "version 2, ident first-one\n"), first)
            code, text = await publish('[{"key": "tenant/a", "value": {"share": 7}}]')
            self.assertEqual(2, code)
            self.assertIn("tenant/a: Expected `float` <= 1.0", text)
            code, text = await publish(json.dumps({f"x/{number}": "y" * 16_000 for number in range(80)}))
            self.assertEqual(2, code)
            self.assertIn("split the change", text)
            code, text = await publish('{"no-kind": 1}')
            self.assertEqual(2, code)
            self.assertIn("not entries", text)
            code, text = await publish('{"tenant/a": null}', "--expect", "tenant/a=1")
            self.assertEqual(2, code)
            self.assertIn("stale", text)
            for relay, zone, version in ((1, "north", 2), (2, "south", 2), (3, "south", 3)):
                word = encode(AppliedVersion(relay, version, zone=zone))
                await call_replica(machines.at(relay % 2)[0], "POST", b"/configuration/applied", word, 5.0)
            code, text = await publish('{"tenant/a": null}', "--in-force", "0.5")
            self.assertEqual(4, code)
            self.assertIn("in force: 1 of 3 relays (north 0 of 1, south 1 of 2)", text)
            for relay in (1, 2, 3):
                word = encode(AppliedVersion(relay, 4, zone="south"))
                await call_replica(machines.at(relay % 2)[0], "POST", b"/configuration/applied", word, 5.0)
            code, text = await publish('{"tenant/a": {"share": 1}}', "--in-force", "5")
            self.assertEqual(0, code)
            self.assertIn("in force: 3 of 3 relays (south 3 of 3)", text)
            found = await asyncio.to_thread(run, configuration, ["status", *at])
            self.assertEqual(0, found.exit_code, found.output)
            self.assertIn("head 4, history the-first-change", found.output)
            self.assertIn("version 4: 3 relays", found.output)
            await machines.kill(1)
            found = await asyncio.to_thread(run, configuration, ["status", *at])
            self.assertEqual(3, found.exit_code)
            self.assertIn("does not answer", found.output)

    @live
    async def test_a_watch_tells_that_the_machine_lives_and_each_change_as_it_is_made(self) -> None:
        async with replica_processes() as machines:
            port = machines.ports[1]
            status, _ = await call_replica(machines.at(1)[0], "GET", b"/configuration/watch?from=0&digest=", b"", 5.0)
            self.assertEqual(503, status)  # nothing is held yet: another may hold more
            await machines.makes("change-1", 1)
            while (await machines.status(1)).staleness_ms > 1000:
                await asyncio.sleep(0.05)
            digest = (await machines.status(1)).digest
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /configuration/watch?from=1&digest=%s HTTP/1.1\r\nhost: x\r\n\r\n" % digest.encode())
            heads = list[int]()

            async def until(version: int) -> None:
                while not heads or heads[-1] < version:
                    text = await reader.readline()
                    if text.startswith(b"{"):
                        line = json.loads(text)
                        heads.append(line["head"])
                        self.assertFalse(line["repair"])
                        self.assertLess(line["behind_ms"], 1500)

            await until(1)
            await machines.makes("change-2", 0)
            await until(2)
            before = len(heads)
            while len(heads) < before + 2:  # signs of life
                text = await reader.readline()
                heads += [0] * text.startswith(b"{")
            writer.close()

    @live
    async def test_bad_calls_are_told_what_is_wrong_and_cost_no_more(self) -> None:
        async with replica_processes(1) as machines:
            at = machines.at(0)[0]
            await machines.makes("at-first", 0)
            bad = [
                ("POST", b"/configuration", b"{", 400),
                ("POST", b"/configuration", b'{"ident": "x"}', 400),
                ("GET", b"/configuration/log?from=-1", b"", 400),
                ("GET", b"/nothing", b"", 404),
                ("GET", b"//[", b"", 400),
                ("GET", b"/configuration/snapshot?version=0&page=99", b"", 400),
                ("GET", b"/configuration/buckets?version=0&numbers=1", b"", 410),
                ("POST", b"/configuration/prepare", b"[]", 400),
                ("POST", b"/configuration", b"x" * (2 << 20), 413),
            ]
            for ident in ("at-first", "the-next"):
                text = f'{{"ident": "{ident}", "entries": [{{"key": "x/a", "value": "\\ud800"}}]}}'
                bad.append(("POST", b"/configuration", text.encode(), 400))
            for method, path, body, expected in bad:
                with self.subTest(path=path, body=body[:20]):
                    status, _ = await call_replica(at, method, path, body, 5.0)
                    self.assertEqual(expected, status)
            later = {"machine": 5, "history": "", "head": 0, "form": 2, "of a later form": [1]}
            status, _ = await call_replica(at, "POST", b"/configuration/sign", json.dumps(later).encode(), 5.0)
            self.assertEqual(200, status)
            held = [await asyncio.open_connection("127.0.0.1", machines.ports[0]) for _ in range(64)]
            status, body = await call_replica(at, "GET", b"/configuration/status", b"", 5.0)
            self.assertEqual((503, "overloaded"), (status, decode(body, RejectedProposal).reason))
            for _, writer in held:
                writer.close()
            await asyncio.sleep(0.1)
            await machines.makes("still-here", 0)


class Starting(unittest.TestCase):
    def test_settings_are_refused_with_all_that_is_wrong(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            file = Path(name) / "settings.json"
            rows = [{"number": 1, "address": "here"}, {"number": 1, "address": "127.0.0.1:7"}]
            file.write_text(json.dumps({"machine": 4, "store": f"{name}/no/file", "machines": rows}))
            with self.assertRaises(InvalidSettingsError) as caught:
                read_settings(file)
            words = "\n".join(caught.exception.errors)
            for word in (
                "machines[0].address",
                "machines[1].number",
                "machine: 4",
                "2 voters",
                "no such folder",
            ):
                self.assertIn(word, words)
            bad = [{"number": -1, "address": 5, "zones": ""}]
            file.write_text(json.dumps({"machine": "a", "machines": bad, "bounds": {"entries": 0}, "x": 1}))
            with self.assertRaises(InvalidSettingsError) as caught:
                read_settings(file)
            self.assertEqual(7, len(caught.exception.errors), caught.exception.errors)
            for text in (b"{", b"\xff", b"[]"):
                file.write_bytes(text)
                with self.assertRaises(InvalidSettingsError):
                    read_settings(file)

    def test_a_torn_store_ends_the_process_with_what_to_do(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            store, file = Path(name) / "store.sqlite", Path(name) / "settings.json"
            store.write_bytes(b"not a database " * 1000)
            row = {"number": 0, "address": f"127.0.0.1:{free_ports(1)[0]}"}
            file.write_text(json.dumps({"machine": 0, "store": str(store), "machines": [row]}))

            async def run() -> tuple[int, str]:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "lanelead",
                    "configuration",
                    "serve",
                    str(file),
                    stderr=asyncio.subprocess.PIPE,
                    env={**os.environ, "PYTHONPATH": str(Path(__file__).parent.parent)},
                )
                _, text = await process.communicate()
                return process.returncode or 0, text.decode()

            code, text = asyncio.run(run())
            self.assertEqual(2, code)
            self.assertIn("move the file", text)
            self.assertEqual(1, text.count("\n"))


class Asking(unittest.TestCase):
    @live
    async def test_where_nobody_answers_it_is_unknown_and_the_ident_is_named(self) -> None:
        ports = free_ports(2)
        at = [f"127.0.0.1:{port}" for port in ports]
        self.assertEqual(at, addresses(at))
        answer = await submit_proposal(at, Proposal("some-change", [Entry("x/a", msgspec.Raw(b"1"))]), 0.5)
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("unknown", answer.reason)
        self.assertEqual(({}, at), await collect_status(at))
        found = await asyncio.to_thread(
            CliRunner().invoke,
            configuration,
            ["publish", "-", "--at", at[0], "--patience", "0.3", "--ident", "some-change"],
            input='{"x/a": 1}',
        )
        self.assertEqual(3, found.exit_code)
        self.assertIn("--ident some-change", found.output)
