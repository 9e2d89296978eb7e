"""Real processes and real signals: SIGTERM, SIGHUP and SIGKILL at each step from the start to the end."""

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

from tests.relay_processes import ROOT, relay, start_relay
from tests.scripted_endpoints import ScriptedEndpoint, echo_id
from tests.town import live


class ProcessSignals(unittest.TestCase):
    @live
    async def test_sigterm_while_it_waits_for_its_first_list(self) -> None:
        async with relay(ScriptedEndpoint("u0"), known=False, silent=True) as one:
            await one.until("settings read")
            one.process.send_signal(signal.SIGTERM)
            self.assertEqual(await one.ended(), 0)
            self.assertEqual(one.said("stopped"), 1)

    @live
    async def test_sigterm_and_more_of_them_while_it_answers_what_it_took(self) -> None:
        may = asyncio.Event()

        async def held(unit: ScriptedEndpoint, text: bytes) -> bytes:
            await may.wait()
            return await echo_id(unit, text)

        async with relay(ScriptedEndpoint("u0", held)) as one:
            await one.until("listening")
            client = await one.client()
            client.send("1a")
            await one.place.until(lambda: len(one.place.endpoints[0].queries) == 1)
            for _ in range(3):
                one.process.send_signal(signal.SIGTERM)
            await one.until("draining")
            one.process.send_signal(signal.SIGHUP)
            await one.until("configuration reloaded")
            one.process.send_signal(signal.SIGINT)
            may.set()
            self.assertTrue((await client.response())["D"].endswith(b"value of 1a"))
            self.assertEqual(await one.ended(), 0)
            self.assertEqual((one.said("draining"), one.said("stopped")), (1, 1))

    @live
    async def test_sighup_many_at_once_disturbs_no_lookup(self) -> None:
        async with relay(ScriptedEndpoint("u0"), ScriptedEndpoint("u1")) as one:
            await one.until("listening")
            client = await one.client()
            for number in range(5):
                client.send(f"{number}a")
                one.process.send_signal(signal.SIGHUP)
                one.process.send_signal(signal.SIGHUP)
                self.assertIn("D", await client.response())
            one.process.send_signal(signal.SIGTERM)
            self.assertEqual(await one.ended(), 0)
            self.assertGreaterEqual(one.said("configuration reloaded"), 1)

    @live
    async def test_sigkill_frees_its_address_for_the_next(self) -> None:
        async with relay(ScriptedEndpoint("u0")) as one:
            await one.until("listening")
            client = await one.client()
            one.process.kill()
            self.assertEqual(await one.ended(), -signal.SIGKILL)
            self.assertEqual(await client.reader.read(), b"")
            two = await start_relay(one.place, one.place.folder / "other.json", one.port)
            await two.until("listening")
            self.assertIn("D", await (await two.client()).request("1a"))
            two.process.send_signal(signal.SIGTERM)
            self.assertEqual(await two.ended(), 0)


class Starts(unittest.TestCase):
    def test_a_hangup_before_its_handler_stands_waits_for_it(self) -> None:
        script = (
            "import signal\nfrom unittest import mock\nfrom lanelead.postgres_relay import main\n"
            "def load(path):\n"
            "    print(signal.SIGHUP in signal.pthread_sigmask(signal.SIG_BLOCK, set()))\n"
            "    raise main.MessageError('seen enough')\n"
            "with mock.patch.object(main, 'load', load): main.run('json')\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=30,
            env={**os.environ, "NODE_CONFIG": "any"},
        )
        self.assertEqual((done.stdout, done.returncode), ("True\n", 2), done.stderr)
        self.assertIn("seen enough", done.stderr)

    def test_a_file_that_can_not_be_used_ends_it_with_one_line_that_names_the_field(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "c.json"
            path.write_text(
                '{"name":"n","listen":"nowhere","discovery":"a:1","seed":"7","settings":{},'
                '"platform":{"address":"a:1","news":{"build":1,"stage":0,"phase":"live",'
                '"cap":1,"age_ms":0}}}'
            )
            done = subprocess.run(
                [sys.executable, "-m", "lanelead", "node"],
                capture_output=True,
                text=True,
                cwd=ROOT,
                timeout=30,
                env={**os.environ, "NODE_CONFIG": str(path)},
            )
        self.assertEqual((done.returncode, done.stderr.count("\n")), (2, 1), done.stderr)
        self.assertIn("listen", done.stderr)


class Builds(unittest.TestCase):
    """`build` of deploy/balancer.toml, in a folder of its own, with stand-ins for what it calls."""

    def _play(self, folder: Path, install: str) -> subprocess.CompletedProcess[str]:
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

    def test_one_cut_off_half_way_does_not_pass_for_done(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self.assertNotEqual(self._play(folder, "kill -9 $PPID").returncode, 0)
            self.assertTrue((folder / ".venv").exists())
            self.assertNotEqual(self._play(folder, "exit 1").returncode, 0)
            self.assertEqual(self._play(folder, "exit 0").returncode, 0)
            self.assertEqual((folder / "log").read_text().split(), ["venv", "install"] * 3)
            self.assertEqual(self._play(folder, "exit 0").returncode, 0)
            self.assertEqual((folder / "log").read_text().split(), ["venv", "install"] * 3)  # it was done
