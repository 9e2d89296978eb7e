"""Parses settings files into syntax trees, with lark and the grammar in `cue.lark`."""

from __future__ import annotations

import json
import re
from functools import cache
from importlib.resources import files

from lark import Lark, Token, Tree, UnexpectedInput
from lark.exceptions import LarkError

from lanelead.settings.errors import Position, SettingsError, SettingsFault

MAX_NESTING = 40  # keeps a file from exhausting the interpreter's stack
MAX_CHARACTERS = 4 << 20
MAX_SHOWN_TERMINALS = 8
TERMINAL_DESCRIPTIONS = {  # how error messages name the terminals of the grammar
    "LBRACE": "{",
    "RBRACE": "}",
    "LSQB": "[",
    "RSQB": "]",
    "COLON": ":",
    "VBAR": "|",
    "LPAR": "(",
    "RPAR": ")",
    "STAR": "*",
    "IDENT": "a name",
    "STRING": "a string",
    "NUMBER": "a number",
    "$END": "the end of the file",
    "COMMA": ",",
    "ELLIPSIS": "...",
    "BOUND": "a comparison operator",
    "MARK": "?",
    "AMPERSAND": "&",
    "DOT": ".",
}
# Matches strings and comments too, so that brackets inside them are not counted.
NESTING_TOKENS = re.compile(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|[\[{(\n*]|[\]})]')


@cache
def _parser() -> Lark:
    text = files("lanelead.settings").joinpath("cue.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text: str, file: str) -> Tree[Token]:
    """Returns the syntax tree of a file's text; `file` is its name in error messages.

    Raises SettingsError with the position of the first fault.
    """
    start = Position(file, 1, 1)
    if len(text) > MAX_CHARACTERS:
        raise SettingsError([SettingsFault(start, "", f"{len(text)} characters", f"{MAX_CHARACTERS} at most")])
    _check_nesting(text, file)
    try:
        return _parser().parse(text)
    except UnexpectedInput as error:
        raise SettingsError([_syntax_fault(error, text, file)]) from None
    except (LarkError, RecursionError) as error:
        raise SettingsError([SettingsFault(start, "", str(error)[:80], "a file that can be parsed")]) from None


def _check_nesting(text: str, file: str) -> None:
    depth = 0
    for token in NESTING_TOKENS.finditer(text):
        depth += (token[0] in ("[", "{", "(")) - (token[0] in ("]", "}", ")"))
        if depth > MAX_NESTING:
            line = text.count("\n", 0, token.start()) + 1
            position = Position(file, line, token.start() - text.rfind("\n", 0, token.start()))
            raise SettingsError(
                [SettingsFault(position, "", "brackets nested too deeply", f"{MAX_NESTING} levels at most")]
            )


def _syntax_fault(error: UnexpectedInput, text: str, file: str) -> SettingsFault:
    line = max(1, error.line)
    column = max(1, error.column)
    lines = text.split("\n")
    rest = lines[line - 1][column - 1 :].strip() if line <= len(lines) else ""
    accepted = getattr(error, "accepts", None) or getattr(error, "allowed", None) or ()
    names = sorted(TERMINAL_DESCRIPTIONS.get(name, name.lower()) for name in accepted)
    expected = ", ".join(names[:MAX_SHOWN_TERMINALS]) or "other syntax"
    found = json.dumps(rest[:30]) if rest else "the end of the line"
    return SettingsFault(Position(file, line, column), "", found, expected)
