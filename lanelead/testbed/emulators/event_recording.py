"""The capture: what passed at the stand-ins' ends of the sockets, one file of JSON lines for each of them.

Times are seconds of the machine's monotonic clock, which all its processes share. Every line is written at
once, so that a killed process leaves all but its last line whole.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

clock = time.monotonic


class Tap:
    def __init__(self, folder: Path, name: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = (folder / f"{name}.ndjson").open("ab", buffering=0)

    def note(self, what: str, **facts: Any) -> None:
        facts["t"], facts["ev"] = clock(), what
        self._file.write(msgspec.json.encode(facts) + b"\n")

    def close(self) -> None:
        self._file.close()


class BadCapture(Exception):
    pass


def read(folder: Path) -> Iterator[tuple[str, dict[str, Any]]]:
    """All lines with the name of their file; a torn last line of a killed process is passed over."""
    files = sorted(folder.glob("*.ndjson"))
    if not files:
        raise BadCapture(f"no capture in {folder}")
    for file in files:
        text = file.read_bytes()
        lines = text.split(b"\n")
        for number, line in enumerate(lines):
            if not line:
                continue
            try:
                fact = msgspec.json.decode(line)
                if not isinstance(fact, dict) or "ev" not in fact or not isinstance(fact.get("t"), float | int):
                    raise msgspec.DecodeError("no event")
            except msgspec.DecodeError as fault:
                if number == len(lines) - 1:
                    continue
                raise BadCapture(f"{file.name}:{number + 1}: {fault}") from None
            yield file.stem, fact
