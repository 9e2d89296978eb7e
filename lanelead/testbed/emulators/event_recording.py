"""The recording: the events that each emulator sees at its end of the sockets, a file of JSON lines for each emulator.

Times are seconds of the machine's monotonic clock, which all its processes share. Each line is written by one
unbuffered write, so that of a killed process at most the last line is incomplete.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

clock = time.monotonic


class EventRecorder:
    """Writes the events of one emulator to its file in the recording's folder."""

    def __init__(self, folder: Path, name: str) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = (folder / f"{name}.ndjson").open("ab", buffering=0)

    def note(self, event: str, **fields: Any) -> None:
        """Writes an event with its time."""
        fields["t"], fields["ev"] = clock(), event
        self._file.write(msgspec.json.encode(fields) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class InvalidRecordingError(Exception):
    """A recording that does not exist or has a malformed line."""


def read(folder: Path) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yields each event with the name of its file, without extension. An incomplete last line is skipped.

    Raises BadCapture if the folder has no recording, or another line is malformed.
    """
    files = sorted(folder.glob("*.ndjson"))
    if not files:
        raise InvalidRecordingError(f"no recording (*.ndjson) in {folder}")
    for recording_file in files:
        text = recording_file.read_bytes()
        lines = text.split(b"\n")
        for number, line in enumerate(lines):
            if not line:
                continue
            try:
                event_fields = msgspec.json.decode(line)
                if (
                    not isinstance(event_fields, dict)
                    or "ev" not in event_fields
                    or not isinstance(event_fields.get("t"), float | int)
                ):
                    raise msgspec.DecodeError("no event")
            except msgspec.DecodeError as fault:
                if number == len(lines) - 1:
                    continue
                raise InvalidRecordingError(f"{recording_file.name}:{number + 1}: {fault}") from None
            yield recording_file.stem, event_fields
