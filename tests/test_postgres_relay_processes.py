"""Relay processes that get SIGTERM, SIGHUP and SIGKILL at each step from start to end, and their build script."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

from tests.http_relay_environment import run_on_uvloop
from tests.relay_processes import ROOT, relay, start_relay
from tests.scripted_endpoints import ScriptedEndpoint, echo_id


class ProcessSignals(unittest.TestCase):
    @run_on_uvloop
    async def test_sigterm_while_waiting_for_the_first_list(self) -> None:
        async with relay(ScriptedEndpoint("u0"), known=False, silent=True) as relay_process:
            await relay_process.until("settings read")
            relay_process.process.send_signal(signal.SIGTERM)
            self.assertEqual(await relay_process.wait_for_exit(), 0)
            self.assertEqual(relay_process.count_logged("stopped"), 1)

    @run_on_uvloop
    async def test_repeated_sigterm_while_a_request_is_pending(self) -> None:
        may_respond = asyncio.Event()

        async def held(endpoint: ScriptedEndpoint, text: bytes) -> bytes:
            await may_respond.wait()
            return await echo_id(endpoint, text)

        async with relay(ScriptedEndpoint("u0", held)) as relay_process:
            await relay_process.until("listening")
            client = await relay_process.client()
            client.send("1a")
            await relay_process.env.until(lambda: len(relay_process.env.endpoints[0].queries) == 1)
            for _ in range(3):
                relay_process.process.send_signal(signal.SIGTERM)
            await relay_process.until("draining")
            relay_process.process.send_signal(signal.SIGHUP)
            await relay_process.until("configuration reloaded")
            relay_process.process.send_signal(signal.SIGINT)
            may_respond.set()
            self.assertTrue((await client.response())["D"].endswith(b"value of 1a"))
            self.assertEqual(await relay_process.wait_for_exit(), 0)
            self.assertEqual((relay_process.count_logged("draining"), relay_process.count_logged("stopped")), (1, 1))

    @run_on_uvloop
    async def test_repeated_sighup_disturbs_no_request(self) -> None:
        async with relay(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as relay_process:
            await relay_process.until("listening")
            client = await relay_process.client()
            for number in range(5):
                client.send(f"{number}a")
                relay_process.process.send_signal(signal.SIGHUP)
                relay_process.process.send_signal(signal.SIGHUP)
                self.assertIn("D", await client.response())
            relay_process.process.send_signal(signal.SIGTERM)
            self.assertEqual(await relay_process.wait_for_exit(), 0)
            self.assertGreaterEqual(relay_process.count_logged("configuration reloaded"), 1)

    @run_on_uvloop
    async def test_the_address_can_be_used_again_after_sigkill(self) -> None:
        async with relay(ScriptedEndpoint("u0")) as relay_process:
            await relay_process.until("listening")
            client = await relay_process.client()
            relay_process.process.kill()
            self.assertEqual(await relay_process.wait_for_exit(), -signal.SIGKILL)
            self.assertEqual(await client.reader.read(), b"")
            second_process = await start_relay(
                relay_process.env, relay_process.env.folder / "other.json", relay_process.port
            )
            await second_process.until("listening")
            self.assertIn("D", await (await second_process.client()).request("1a"))
            second_process.process.send_signal(signal.SIGTERM)
            self.assertEqual(await second_process.wait_for_exit(), 0)


class Starts(unittest.TestCase):
    def test_sighup_is_blocked_until_its_handler_is_installed(self) -> None:
        script = (
            "import signal\nfrom unittest import mock\nfrom lanelead.postgres_relay import main\n"
            "def load(path):\n"
            "    print(signal.SIGHUP in signal.pthread_sigmask(signal.SIG_BLOCK, set()))\n"
            "    raise main.MessageError('seen enough')\n"
            "with mock.patch.object(main, 'load', load): main.run('json')\n"
        )
        result = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=30,
            env={**os.environ, "NODE_CONFIG": "any"},
        )
        self.assertEqual((result.stdout, result.returncode), ("True\n", 2), result.stderr)
        self.assertIn("seen enough", result.stderr)

    def test_an_invalid_file_ends_it_with_one_line_that_names_the_field(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.json"
            path.write_text(
                '{"name":"n","listen":"nowhere","discovery":"a:1","seed":"7","settings":{},'
                '"platform":{"address":"a:1","news":{"build":1,"stage":0,"phase":"live",'
                '"cap":1,"age_ms":0}}}'
            )
            result = subprocess.run(
                [sys.executable, "-m", "lanelead", "node"],
                capture_output=True,
                text=True,
                cwd=ROOT,
                timeout=30,
                env={**os.environ, "NODE_CONFIG": str(path)},
            )
        self.assertEqual((result.returncode, result.stderr.count("\n")), (2, 1), result.stderr)
        self.assertIn("listen", result.stderr)


class BuildScript(unittest.TestCase):
    """Runs `build` of deploy/balancer.toml in a temporary folder, with stubs for python3 and pip."""

    def _run_build(self, folder: Path, install: str) -> subprocess.CompletedProcess[str]:
        (folder / "requirements.txt").write_text("click\n")
        (folder / "lanelead").mkdir(exist_ok=True)
        tools = folder / "tools"
        tools.mkdir(exist_ok=True)
        (tools / "python3").write_text(
            "#!/bin/sh\necho venv >> log\nmkdir -p .venv/bin\n"
            f"printf '#!/bin/sh\\necho install >> log\\n{install}\\n' > .venv/bin/pip\n"
            "printf '#!/bin/sh\\nexit 0\\n' > .venv/bin/python\nchmod +x .venv/bin/pip .venv/bin/python\n"
        )
        (tools / "python3").chmod(0o755)
        build = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["build"]
        return subprocess.run(
            ["/bin/sh", "-c", build],
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=30,
            env={**os.environ, "PATH": f"{tools}:{os.environ['PATH']}"},
        )

    def test_an_interrupted_installation_is_repeated(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self.assertNotEqual(self._run_build(folder, "kill -9 $PPID").returncode, 0)
            self.assertTrue((folder / ".venv").exists())
            self.assertNotEqual(self._run_build(folder, "exit 1").returncode, 0)
            self.assertEqual(self._run_build(folder, "exit 0").returncode, 0)
            self.assertEqual((folder / "log").read_text().split(), ["venv", "install"] * 3)
            self.assertEqual(self._run_build(folder, "exit 0").returncode, 0)
            # The complete installation is not repeated.
            self.assertEqual((folder / "log").read_text().split(), ["venv", "install"] * 3)
