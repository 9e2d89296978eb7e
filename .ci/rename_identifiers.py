"""Renames identifiers in all Python files: `.ci/rename_identifiers.py OLD=NEW ... [--only PATH ...]`, from the root.

Identifiers are replaced token by token: in code, in the expressions of f-strings, and in comments and doc comments
where a name stands in backquotes. Other strings stay as they are; those that contain an old name are printed, since one
of them may be a name on a wire or a path to patch. Nothing is written where a file already has one of the new names,
unless `--merge` allows it.
"""

from __future__ import annotations

import argparse
import io
import re
import subprocess
import sys
import tokenize
from pathlib import Path

ROOT = Path(__file__).parent.parent


def tracked_files() -> list[Path]:
    """All Python files that git tracks and that are there."""
    listing = subprocess.run(["git", "ls-files", "*.py"], cwd=ROOT, capture_output=True, text=True, check=True)
    return [ROOT / line for line in listing.stdout.splitlines() if (ROOT / line).exists()]


def is_doc_comment(token: tokenize.TokenInfo, previous: tokenize.TokenInfo | None) -> bool:
    """Whether a string token is a statement of its own."""
    starts = (tokenize.INDENT, tokenize.NEWLINE, tokenize.NL, tokenize.DEDENT, tokenize.ENCODING, tokenize.COMMENT)
    return previous is None or previous.type in starts


def renamed_token(token: tokenize.TokenInfo, previous: tokenize.TokenInfo | None, names: dict[str, str]) -> str:
    """The text of a token with the new names."""
    words = re.compile(r"\b(" + "|".join(map(re.escape, names)) + r")\b")

    def replace(text: str) -> str:
        return words.sub(lambda match: names[match[1]], text)

    if token.type == tokenize.NAME:
        return names.get(token.string, token.string)
    if token.type == tokenize.COMMENT or (token.type == tokenize.STRING and is_doc_comment(token, previous)):
        return re.sub(r"`[^`]*`", lambda match: replace(match[0]), token.string)
    if token.type == tokenize.STRING and re.match(r"(?i)(f|rf|fr)['\"]", token.string):
        return re.sub(r"\{[^{}]+\}", lambda match: replace(match[0]), token.string)
    return token.string


def renamed_source(path: Path, names: dict[str, str]) -> tuple[str, list[str]]:
    """The file's new text, and the strings outside of doc comments that contain an old name."""
    source = path.read_text()
    lines = source.splitlines(keepends=True)
    starts = [0]
    for line in lines:
        starts.append(starts[-1] + len(line))
    pieces: list[str] = []
    suspects: list[str] = []
    position = 0
    previous: tokenize.TokenInfo | None = None
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type in (tokenize.NAME, tokenize.COMMENT, tokenize.STRING):
            start = starts[token.start[0] - 1] + token.start[1]
            text = renamed_token(token, previous, names)
            pieces += [source[position:start], text]
            position = starts[token.end[0] - 1] + token.end[1]
            left = set(re.findall(r"\w+", text)) & set(names)
            if token.type == tokenize.STRING and left and not is_doc_comment(token, previous):
                suspects.append(f"{path.relative_to(ROOT)}:{token.start[0]}: {token.string[:80]}")
        previous = token
    return "".join([*pieces, source[position:]]), suspects


def names_of(source: str) -> set[str]:
    """All identifiers of a source text."""
    tokens = tokenize.generate_tokens(io.StringIO(source).readline)
    return {token.string for token in tokens if token.type == tokenize.NAME}


def main() -> int:
    """Exits with 1, without writing, where a new name is taken in a file that has its old one."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("renames", nargs="+", metavar="OLD=NEW")
    parser.add_argument("--only", nargs="+", default=[], metavar="PATH", help="these files and folders alone")
    parser.add_argument("--merge", action="store_true", help="allow new names that a file has already")
    arguments = parser.parse_args()
    names = dict(rename.split("=", 1) for rename in arguments.renames)
    roots = [(ROOT / path).resolve() for path in arguments.only]
    written: dict[Path, str] = {}
    taken: list[str] = []
    for path in tracked_files():
        if roots and not any(path.resolve().is_relative_to(root) for root in roots):
            continue
        source = path.read_text()
        present = names_of(source)
        text, suspects = renamed_source(path, names)
        for suspect in suspects:
            print(f"string not changed: {suspect}")
        taken += [f"{path}: {new}" for old, new in names.items() if old in present and new in present]
        if text != source:
            written[path] = text
    if taken and not arguments.merge:
        print("new names that are taken:", *taken, sep="\n  ")
        return 1
    for path, text in written.items():
        path.write_text(text)
    print(f"{len(written)} files changed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
