"""Tests of what replicas respond to operators and relays, and of the commands serve, publish and status."""

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

from lanelead.configuration.commands import (
    call_replica,
    check_addresses,
    collect_status,
    configuration,
    submit_proposal,
)
from lanelead.configuration.settings import InvalidSettingsError, read_settings
from lanelead.protocols.configuration import AppliedVersion, Entry, Proposal, RejectedProposal
from lanelead.protocols.feeds import decode, encode
from lanelead.testbed.scenarios.processes import free_ports
from tests.http_relay_environment import run_on_uvloop
from tests.replica_processes import replica_processes


class Responses(unittest.TestCase):
    @run_on_uvloop
    async def test_publish_and_status_print_results_and_exit_statuses(self) -> None:
        async with replica_processes(4, voters=3) as replicas:
            run = CliRunner().invoke
            at = ["--at", replicas.at(3)[0]]

            async def publish(text: str, *more: str) -> tuple[int, str]:
                result = await asyncio.to_thread(
                    run, configuration, ["publish", "-", *at, *more], input=text, catch_exceptions=False
                )
                return result.exit_code, result.output

            entries = '{"tenant/a": {"quota_per_s": 3}}'
            code, text = await publish(entries, "--patience", "0.3")
            self.assertEqual(2, code)  # replica 3 does not vote: it can propose once a version is committed
            self.assertIn("abstains", text)
            await replicas.commit_proposal("the-first-change", 0)
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
            self.assertIn("invalid entries", text)
            code, text = await publish('{"tenant/a": null}', "--expect", "tenant/a=1")
            self.assertEqual(2, code)
            self.assertIn("stale", text)
            for relay, zone, version in ((1, "north", 2), (2, "south", 2), (3, "south", 3)):
                report = encode(AppliedVersion(relay, version, zone=zone))
                await call_replica(replicas.at(relay % 2)[0], "POST", b"/configuration/applied", report, 5.0)
            code, text = await publish('{"tenant/a": null}', "--in-force", "0.5")
            self.assertEqual(4, code)
            self.assertIn("in force: 1 of 3 relays (north 0 of 1, south 1 of 2)", text)
            for relay in (1, 2, 3):
                report = encode(AppliedVersion(relay, 4, zone="south"))
                await call_replica(replicas.at(relay % 2)[0], "POST", b"/configuration/applied", report, 5.0)
            code, text = await publish('{"tenant/a": {"share": 1}}', "--in-force", "5")
            self.assertEqual(0, code)
            self.assertIn("in force: 3 of 3 relays (south 3 of 3)", text)
            result = await asyncio.to_thread(run, configuration, ["status", *at])
            self.assertEqual(0, result.exit_code, result.output)
            self.assertIn("committed version 4, history the-first-change", result.output)
            self.assertIn("version 4: 3 relays", result.output)
            await replicas.kill(1)
            result = await asyncio.to_thread(run, configuration, ["status", *at])
            self.assertEqual(3, result.exit_code)
            self.assertIn("does not answer", result.output)

    @run_on_uvloop
    async def test_a_watch_sends_heartbeats_and_each_change_as_it_is_committed(self) -> None:
        async with replica_processes() as replicas:
            port = replicas.ports[1]
            status, _ = await call_replica(replicas.at(1)[0], "GET", b"/configuration/watch?from=0&digest=", b"", 5.0)
            self.assertEqual(503, status)  # no version is committed yet: another replica may have one
            await replicas.commit_proposal("change-1", 1)
            while (await replicas.status(1)).staleness_ms > 1000:
                await asyncio.sleep(0.05)
            digest = (await replicas.status(1)).digest
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
            await replicas.commit_proposal("change-2", 0)
            await until(2)
            before = len(heads)
            while len(heads) < before + 2:  # heartbeats
                text = await reader.readline()
                heads += [0] * text.startswith(b"{")
            writer.close()

    @run_on_uvloop
    async def test_invalid_calls_are_rejected_and_the_replica_goes_on(self) -> None:
        async with replica_processes(1) as replicas:
            at = replicas.at(0)[0]
            await replicas.commit_proposal("at-first", 0)
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
            newer_heartbeat = {"machine": 5, "history": "", "head": 0, "form": 2, "of a later form": [1]}
            status, _ = await call_replica(
                at, "POST", b"/configuration/sign", json.dumps(newer_heartbeat).encode(), 5.0
            )
            self.assertEqual(200, status)
            open_connections = [await asyncio.open_connection("127.0.0.1", replicas.ports[0]) for _ in range(64)]
            status, body = await call_replica(at, "GET", b"/configuration/status", b"", 5.0)
            self.assertEqual((503, "overloaded"), (status, decode(body, RejectedProposal).reason))
            for _, writer in open_connections:
                writer.close()
            await asyncio.sleep(0.1)
            await replicas.commit_proposal("still-here", 0)


class Startup(unittest.TestCase):
    def test_invalid_settings_are_rejected_with_every_error(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            file = Path(name) / "settings.json"
            rows = [{"number": 1, "address": "here"}, {"number": 1, "address": "127.0.0.1:7"}]
            file.write_text(json.dumps({"machine": 4, "store": f"{name}/no/file", "machines": rows}))
            with self.assertRaises(InvalidSettingsError) as caught:
                read_settings(file)
            messages = "\n".join(caught.exception.errors)
            for expected_text in (
                "machines[0].address",
                "machines[1].number",
                "machine: 4",
                "2 voters",
                "no such folder",
            ):
                self.assertIn(expected_text, messages)
            bad = [{"number": -1, "address": 5, "zones": ""}]
            file.write_text(json.dumps({"machine": "a", "machines": bad, "bounds": {"entries": 0}, "x": 1}))
            with self.assertRaises(InvalidSettingsError) as caught:
                read_settings(file)
            self.assertEqual(7, len(caught.exception.errors), caught.exception.errors)
            for text in (b"{", b"\xff", b"[]"):
                file.write_bytes(text)
                with self.assertRaises(InvalidSettingsError):
                    read_settings(file)

    def test_a_corrupt_store_ends_the_process_with_one_line_on_what_to_do(self) -> None:
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


class Idents(unittest.TestCase):
    def test_an_invalid_ident_is_rejected_with_the_flag_its_value_and_the_expected_form(self) -> None:
        for ident in ("i1", "x" * 65, "with a space"):
            result = CliRunner().invoke(
                configuration, ["publish", "-", "--at", "127.0.0.1:1", "--ident", ident], input='{"x/a": 1}'
            )
            with self.subTest(ident=ident):
                self.assertEqual((2, ""), (result.exit_code, result.stdout))
                self.assertIn(f"--ident {ident!r}: expected 8 to 64 letters", result.stderr)

    def test_invalid_entries_and_expected_versions_are_not_blamed_on_the_ident(self) -> None:
        cases = [
            ("i1", '{"no-kind": 1}', "x/a=1", "invalid entries"),
            ("i1", '{"x/a": 1}', "x/a", "--expect 'x/a'"),
            ("ident-0001", "{}", "x/a=1", "Expected `array` of length >= 1 - at `$.entries`"),
        ]
        for ident, text, expect, message in cases:
            result = CliRunner().invoke(
                configuration,
                ["publish", "-", "--at", "127.0.0.1:1", "--ident", ident, "--expect", expect],
                input=text,
            )
            with self.subTest(text=text, expect=expect):
                self.assertEqual((2, ""), (result.exit_code, result.stdout))
                self.assertIn(message, result.stderr)
                self.assertNotIn("--ident", result.stderr)


class Unreachable(unittest.TestCase):
    @run_on_uvloop
    async def test_without_any_response_the_result_is_unknown_and_the_ident_is_printed(self) -> None:
        ports = free_ports(2)
        at = [f"127.0.0.1:{port}" for port in ports]
        self.assertEqual(at, check_addresses(at))
        answer = await submit_proposal(at, Proposal("some-change", [Entry("x/a", msgspec.Raw(b"1"))]), 0.5)
        assert isinstance(answer, RejectedProposal)
        self.assertEqual("unknown", answer.reason)
        self.assertEqual(({}, at), await collect_status(at))
        result = await asyncio.to_thread(
            CliRunner().invoke,
            configuration,
            ["publish", "-", "--at", at[0], "--patience", "0.3", "--ident", "some-change"],
            input='{"x/a": 1}',
        )
        self.assertEqual(3, result.exit_code)
        self.assertIn("--ident some-change", result.output)
