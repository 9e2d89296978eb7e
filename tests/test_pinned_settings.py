"""Settings files are read into the values of commit c655458, whose digests `pinned/settings.json` has.

The files are those that the package brings and those in `pinned/settings`: one of each definition.
"""

from __future__ import annotations

import hashlib
import json
import unittest
from pathlib import Path

import msgspec

import lanelead
from lanelead.settings.errors import SettingsError
from lanelead.settings.read import read

PINNED = Path(__file__).parent / "pinned"


def files() -> dict[str, Path]:
    """Settings files by name: those below the package and those of our own."""
    package = Path(lanelead.__file__).parent
    paths = [path for path in sorted(package.rglob("*.cue")) if path.name != "definitions.cue"]
    shipped = {f"{path.parent.name}/{path.name}": path for path in paths}
    ours = {f"settings/{path.name}": path for path in sorted((PINNED / "settings").glob("*.cue"))}
    return shipped | ours


def digest(path: Path) -> str:
    """Of the values in the settings' own words, in the order of their declaration."""
    return hashlib.sha256(msgspec.json.encode(read(path))).hexdigest()


def faults(path: Path) -> list[str]:
    """Where a file is wrong: its name, line, column and key, without the words that say what is expected."""
    try:
        read(path)
    except SettingsError as error:
        return [str(fault).replace(str(path.parent) + "/", "").split(": found ")[0] for fault in error.faults]
    return []


class PinnedSettings(unittest.TestCase):
    maxDiff = None

    def test_every_file_has_the_values_of_the_recording(self) -> None:
        recorded = json.loads((PINNED / "settings.json").read_text())["values"]
        self.assertEqual({name: digest(path) for name, path in files().items()}, recorded)

    def test_faults_keep_their_line_column_and_key(self) -> None:
        recorded = json.loads((PINNED / "settings.json").read_text())["faults"]
        found = {path.name: faults(path) for path in sorted((PINNED / "settings" / "bad").glob("*.cue"))}
        self.assertEqual(found, recorded)
        self.assertTrue(all(recorded.values()))
