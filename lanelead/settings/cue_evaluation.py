"""Evaluates a syntax tree of the settings language to a value, and a value to plain Python objects."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from lark import Token, Tree

from lanelead.settings.cue_values import (
    ATOM_TYPES,
    AnyValue,
    Atom,
    Bounds,
    Disjunction,
    Field,
    ListValue,
    Struct,
    Value,
    close,
    field_path,
    show,
    unify,
)
from lanelead.settings.errors import Position, SettingsFault

QUOTED = '"'  # begins the key of a quoted label: those are plain fields, whatever their first letter
ATOMS: dict[str, Any] = {"true": True, "false": False, "null": None}
MULTIPLIERS = {"K": 1000, "M": 1000**2, "G": 1000**3, "T": 1000**4}
MULTIPLIERS |= {f"{letter}i": 1024**power for power, letter in enumerate("KMGT", 1)}
INFINITIES = (float("inf"), float("-inf"))
FULL_DEPTH = 9


@dataclass(slots=True)
class Scope:
    """The fields around an expression, for references; `evaluating` finds those that lead back to themselves."""

    fields: dict[str, list[Tree[Token]]]
    outer: Scope | None
    evaluating: set[str] = field(default_factory=set)


def label_of(tree: Tree[Token]) -> str:
    """The label of a field's tree; a quoted one with QUOTED before it."""
    label = tree.children[0]
    assert isinstance(label, Tree)
    text = str(label.children[0])
    return QUOTED + str(json.loads(text)) if text.startswith('"') else text


class Evaluator:
    """Turns a file's syntax tree into a value; `faults` has what it found wrong.

    Names are looked up from the inside out, then in `known`.
    """

    def __init__(self, file: str, known: Mapping[str, Value]) -> None:
        self._file = file
        self._known = known
        self.faults: list[SettingsFault] = []

    def file_value(self, tree: Tree[Token]) -> Struct:
        """The value of a whole file."""
        return self._struct(tree, None, "")

    def definitions(self, tree: Tree[Token]) -> dict[str, Value]:
        """A file's definitions (`#Name`), by name."""
        scope = self._scope(tree, None)
        return {
            name: self._named(name, scope, trees, name) for name, trees in scope.fields.items() if name.startswith("#")
        }

    def _position(self, tree: Tree[Token] | Token) -> Position:
        if isinstance(tree, Token):
            return Position(self._file, tree.line or 1, tree.column or 1)
        return Position(self._file, getattr(tree.meta, "line", 1), getattr(tree.meta, "column", 1))

    def _blame(self, tree: Tree[Token] | Token, path: str, found: str, expected: str) -> Value:
        self.faults.append(SettingsFault(self._position(tree), path, found, expected))
        return AnyValue(self._position(tree))

    def _scope(self, tree: Tree[Token], outer: Scope | None) -> Scope:
        fields: dict[str, list[Tree[Token]]] = {}
        for child in tree.children:
            if isinstance(child, Tree) and child.data == "field":
                label = label_of(child)
                name = label.removeprefix(QUOTED)
                key = label if name.startswith(("#", "_")) else name
                fields.setdefault(key, []).append(child)
        return Scope(fields, outer)

    def _named(self, name: str, scope: Scope, trees: Sequence[Tree[Token]], path: str) -> Value:
        if name in scope.evaluating:
            return self._blame(trees[0], path, f"{name}, which leads back to itself", "a value")
        scope.evaluating.add(name)
        try:
            values = [self._value(tree.children[-1], scope, path) for tree in trees]
        finally:
            scope.evaluating.discard(name)
        value = values[0]
        for other in values[1:]:
            value = unify(value, other, path, self.faults)
        # A definition is closed, with all within it: it takes no field that it does not name.
        return close(value) if name[0] == "#" else value

    def _struct(self, tree: Tree[Token], outer: Scope | None, path: str) -> Struct:
        scope = self._scope(tree, outer)
        others = self._other_fields(tree, scope, path)
        fields: dict[str, Field] = {}
        for label, trees in scope.fields.items():
            if label.startswith(("#", "_")):  # a definition, or hidden; never so where it is quoted
                continue
            name = label.removeprefix(QUOTED)
            value = self._named(label, scope, trees, field_path(path, name))
            optional = all(any(mark == "?" for mark in tree.children[1:-1]) for tree in trees)
            fields[name] = Field(value, optional, self._position(trees[0]))
        return Struct(self._position(tree), fields, others)

    def _other_fields(self, tree: Tree[Token], scope: Scope, path: str) -> Value | None:
        """What any further field must be; fields that share a line without a comma are faults."""
        others: Value | None = None
        last: Tree[Token] | Token | None = None
        for child in tree.children:
            if isinstance(child, Tree):
                if isinstance(last, Tree) and last.meta.end_line == child.meta.line:
                    self._blame(child, path, "two fields on one line", "a comma or a new line between")
                if child.data == "pattern":
                    others = self._value(child.children[1], scope, path)
                elif child.data == "rest":
                    others = AnyValue(self._position(child))
            last = child
        return others

    def _value(self, tree: Any, scope: Scope, path: str) -> Value:
        position = self._position(tree)
        parts = tree.children
        match tree.data:
            case "number":
                return self._number_value(tree, path)
            case "text":
                return Atom(position, json.loads(parts[0]))
            case "struct" | "nested":
                return self._struct(tree, scope, path)
            case "reference":
                return self._reference(tree, scope, path)
            case "both":
                return self._conjunction(parts, scope, path)
            case "either":
                return Disjunction(position, tuple(self._branch(part, scope, path) for part in parts))
            case "preferred":
                return self._value(parts[0], scope, path)
            case "bound":
                return self._bound(tree, scope, path)
            case "sequence":
                return self._list(tree, scope, path)
        return self._blame(tree, path, str(tree.data), "a value")

    def _number_value(self, tree: Any, path: str) -> Value:
        number = _number(tree.children[0])
        if number in INFINITIES:
            return self._blame(tree, path, str(tree.children[0]), "a finite number")
        return Atom(self._position(tree), number)

    def _conjunction(self, parts: Sequence[Any], scope: Scope, path: str) -> Value:
        value = self._value(parts[0], scope, path)
        for part in parts[1:]:
            value = unify(value, self._value(part, scope, path), path, self.faults)
        return value

    def _branch(self, part: Any, scope: Scope, path: str) -> tuple[Value, bool]:
        marked = part.data == "preferred"
        inner = part.children[0] if marked else part
        return self._value(inner, scope, path), marked

    def _bound(self, tree: Any, scope: Scope, path: str) -> Value:
        operator = str(tree.children[0])
        edge = self._value(tree.children[1], scope, path)
        if not isinstance(edge, Atom) or edge.value is None or isinstance(edge.value, bool):
            return self._blame(tree, path, show(edge), "a number or a string after the bound")
        if operator == "=~":
            try:
                re.compile(str(edge.value))
            except re.error as error:
                return self._blame(tree, path, str(error), "a regular expression")
        atom_type = "string" if isinstance(edge.value, str) else "number"
        bounds = ((operator, edge.value),)
        return Bounds(self._position(tree), None if operator == "!=" else atom_type, bounds)

    def _list(self, tree: Tree[Token], scope: Scope, path: str) -> Value:
        items: list[Value] = []
        rest: Value | None = None
        for part in tree.children:
            if isinstance(part, Token):
                continue
            if rest is not None:
                return self._blame(part, path, "an item after ...", "the end of the list")
            if part.data == "ellipsis":
                inner = part.children[1:]
                rest = self._value(inner[0], scope, path) if inner else AnyValue(self._position(part))
            else:
                items.append(self._value(part, scope, f"{path}[{len(items)}]"))
        return ListValue(self._position(tree), tuple(items), rest)

    def _reference(self, tree: Tree[Token], scope: Scope, path: str) -> Value:
        position = self._position(tree)
        name, *steps = [str(part.children[0]) if isinstance(part, Tree) else str(part) for part in tree.children]
        if not steps and name in ATOM_TYPES:
            return Bounds(position, name)
        if not steps and name in ATOMS:
            return Atom(position, ATOMS[name])
        if name == "_":
            return AnyValue(position)
        found = self._look_up(name, scope, path)
        if found is None:
            return self._blame(tree, path, f"the name {name}", "a name that this file or lanelead defines")
        value = found
        for step in steps:
            if not isinstance(value, Struct) or step not in value.fields:
                return self._blame(tree, path, f"no {step} in {name}", show(value))
            value = value.fields[step].value
        return value if name.startswith("#") else replace(value, position=position)

    def _look_up(self, name: str, scope: Scope, path: str) -> Value | None:
        around: Scope | None = scope
        while around is not None and name not in around.fields:
            around = around.outer
        if around is not None:
            return self._named(name, around, around.fields[name], path)
        return self._known.get(name)


def _number(token: Token) -> int | float:
    text = token.replace("_", "")
    if "0x" in text:
        return int(text, 16)
    for suffix in sorted(MULTIPLIERS, key=len, reverse=True):
        if text.endswith(suffix):
            return round(float(text[: -len(suffix)]) * MULTIPLIERS[suffix])
    return float(text) if any(sign in text for sign in ".eE") else int(text)


def to_plain(value: Value, path: str, faults: list[SettingsFault], positions: dict[str, Position]) -> Any:
    """The value as dictionaries, lists and atoms; what is still open is a fault.

    `positions` gets the place of each field, by its path.
    """
    positions[path] = value.position
    match value:
        case Atom(_, atom):
            return atom
        case Struct():
            return _plain_struct(value, path, faults, positions)
        case ListValue(_, items):
            return [to_plain(item, f"{path}[{index}]", faults, positions) for index, item in enumerate(items)]
        case Disjunction():
            options = _options(value)
            texts = {show(option, FULL_DEPTH) for option in options}
            if len(texts) == 1 and _is_concrete(options[0]):
                return to_plain(options[0], path, faults, positions)
    faults.append(SettingsFault(value.position, path, "nothing definite", show(value)))
    return None


def _plain_struct(
    value: Struct, path: str, faults: list[SettingsFault], positions: dict[str, Position]
) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, member in value.fields.items():
        at = field_path(path, name)
        if member.optional:  # named by our definitions only: the file left it out
            continue
        if isinstance(member.value, Bounds | AnyValue):
            faults.append(SettingsFault(value.position, at, "nothing", show(member.value)))
            continue
        result[name] = to_plain(member.value, at, faults, positions)
    return result


def _options(value: Disjunction) -> list[Value]:
    """The branches marked as default, or else all."""
    marked = [branch for branch, default in value.branches if default]
    return marked or [branch for branch, _ in value.branches]


def _is_concrete(value: Value) -> bool:
    match value:
        case Atom():
            return True
        case Struct(_, fields):
            return all(member.optional or _is_concrete(member.value) for member in fields.values())
        case ListValue(_, items):
            return all(map(_is_concrete, items))
        case Disjunction(_, branches):
            marked = [branch for branch, default in branches if default]
            return any(map(_is_concrete, marked or [branch for branch, _ in branches[:1]]))
    return False
