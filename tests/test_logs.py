"""Log lines: their form, and that a relay goes on where they cannot be written."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path

from lanelead.logs import JsonLogger, LogWriter
from tests.abuse.requests import RelayKind
from tests.abuse.surroundings import MOST, relay_under_test
from tests.http_relay_environment import run_on_uvloop


class JsonLines(unittest.TestCase):
    def _written(self, *events: str) -> list[dict[str, object]]:
        reading, writing = os.pipe()
        with open(reading, "rb") as lines:
            log = JsonLogger(LogWriter(writing), {"relay": "n0"}).bind(feed="discovery")
            for event in events:
                log.info(event, value=1.5, other=object)
            try:
                raise ValueError("wrong")
            except ValueError:
                log.exception("a fault")
            os.close(writing)
            return [json.loads(line) for line in lines]

    def test_a_line_has_bound_fields_its_own_and_the_event(self) -> None:
        first, fault = self._written("listening")
        self.assertEqual(
            list(first), ["relay", "feed", "value", "other", "event", "level", "timestamp"], "the order of the fields"
        )
        self.assertEqual((first["event"], first["level"], first["other"]), ("listening", "info", "<class 'object'>"))
        self.assertRegex(str(first["timestamp"]), r"^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z$")
        self.assertIn("ValueError: wrong", str(fault["exception"]))

    def test_lines_that_cannot_be_written_are_counted_and_told_of_later(self) -> None:
        full = os.open("/dev/full", os.O_WRONLY)
        writer = LogWriter(full)
        log = JsonLogger(writer, {})
        log.info("lost")
        log.error("lost too", ValueError("wrong"))
        self.assertEqual(writer.dropped_lines, 2)
        with tempfile.TemporaryFile() as file:
            os.dup2(file.fileno(), full)
            log.info("written")
            os.close(full)
            file.seek(0)
            self.assertEqual(json.loads(file.read())["dropped_log_lines"], 2)


class FullDisk(unittest.TestCase):
    @run_on_uvloop
    async def test_a_relay_whose_log_cannot_be_written_serves(self) -> None:
        for kind in RelayKind:
            with self.subTest(kind), tempfile.TemporaryDirectory() as name:
                async with relay_under_test(kind, Path(name), MOST, log=Path("/dev/full")) as relay:
                    self.assertIsNone(relay.process.returncode)
                    self.assertEqual(await relay.stop_gracefully(), 0)


if __name__ == "__main__":
    unittest.main()
