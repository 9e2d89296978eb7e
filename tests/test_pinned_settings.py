"""Tests that settings files are read into the same values as by commit c655458.

`pinned/settings.json` has digests of those values. The files are those in the package and those in `pinned/settings`,
one for each definition.
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
    """Returns the settings files by name: those of the package and those of `pinned/settings`."""
    package = Path(lanelead.__file__).parent
    paths = [path for path in sorted(package.rglob("*.cue")) if path.name != "definitions.cue"]
    shipped = {f"{path.parent.name}/{path.name}": path for path in paths}
    pinned = {f"settings/{path.name}": path for path in sorted((PINNED / "settings").glob("*.cue"))}
    return shipped | pinned


def digest(path: Path) -> str:
    """Returns the SHA-256 of a file's values, encoded under the keys of the settings in the order of declaration."""
    return hashlib.sha256(msgspec.json.encode(read(path))).hexdigest()


def faults(path: Path) -> list[str]:
    """Returns the position of each fault of a file: name, line, column and key, without the message."""
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
