"""Evaluates the syntax tree of a settings file to a CUE value, and exports CUE values as plain Python objects."""

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
    describe,
    field_path,
    unify,
)
from lanelead.settings.errors import Position, SettingsFault

# Marks quoted labels: unlike unquoted ones, they are regular fields even if they start with # or _.
QUOTED_LABEL_PREFIX = '"'
KEYWORD_VALUES: dict[str, Any] = {"true": True, "false": False, "null": None}
MULTIPLIERS = {"K": 1000, "M": 1000**2, "G": 1000**3, "T": 1000**4}
MULTIPLIERS |= {f"{letter}i": 1024**power for power, letter in enumerate("KMGT", 1)}
INFINITIES = (float("inf"), float("-inf"))
COMPARISON_DEPTH = 9  # default branches whose `describe` texts of this depth are equal count as one


@dataclass(slots=True)
class Scope:
    """The fields of a struct, in which references are resolved."""

    fields: dict[str, list[Tree[Token]]]  # all declarations, by name; if it starts with # or _, by label
    outer: Scope | None  # the scope of the enclosing struct
    evaluating: set[str] = field(default_factory=set)  # fields being evaluated, to detect reference cycles


def label_of(tree: Tree[Token]) -> str:
    """Returns the label of a field; a quoted one begins with `QUOTED_LABEL_PREFIX`."""
    label = tree.children[0]
    assert isinstance(label, Tree)
    text = str(label.children[0])
    return QUOTED_LABEL_PREFIX + str(json.loads(text)) if text.startswith('"') else text


class Evaluator:
    """Evaluates the syntax tree of one file; the faults that it finds are added to `faults`.

    A reference that is no keyword or type name is looked up in the enclosing structs, innermost first, and then in the
    definitions `known`.
    """

    def __init__(self, file: str, known: Mapping[str, Value]) -> None:
        self._file = file
        self._known = known
        self.faults: list[SettingsFault] = []

    def file_value(self, tree: Tree[Token]) -> Struct:
        """Returns the value of a whole file.

        Definitions and hidden fields are left out, and evaluated only if they are referred to.
        """
        return self._struct(tree, None, "")

    def definitions(self, tree: Tree[Token]) -> dict[str, Value]:
        """Returns the values of a file's definitions (`#Name`), by name."""
        scope = self._scope(tree, None)
        return {
            name: self._field_value(name, scope, trees, name)
            for name, trees in scope.fields.items()
            if name.startswith("#")
        }

    def _position(self, tree: Tree[Token] | Token) -> Position:
        if isinstance(tree, Token):
            return Position(self._file, tree.line or 1, tree.column or 1)
        return Position(self._file, getattr(tree.meta, "line", 1), getattr(tree.meta, "column", 1))

    def _add_fault(self, tree: Tree[Token] | Token, path: str, found: str, expected: str) -> Value:
        """Adds a fault, and returns a value that allows anything, so that the evaluation continues."""
        self.faults.append(SettingsFault(self._position(tree), path, found, expected))
        return AnyValue(self._position(tree))

    def _scope(self, tree: Tree[Token], outer: Scope | None) -> Scope:
        fields: dict[str, list[Tree[Token]]] = {}
        for child in tree.children:
            if isinstance(child, Tree) and child.data == "field":
                label = label_of(child)
                name = label.removeprefix(QUOTED_LABEL_PREFIX)
                key = label if name.startswith(("#", "_")) else name
                fields.setdefault(key, []).append(child)
        return Scope(fields, outer)

    def _field_value(self, name: str, scope: Scope, trees: Sequence[Tree[Token]], path: str) -> Value:
        if name in scope.evaluating:
            return self._add_fault(trees[0], path, f"{name}, which its own value refers to", "a value")
        scope.evaluating.add(name)
        try:
            values = [self._value(tree.children[-1], scope, path) for tree in trees]
        finally:
            scope.evaluating.discard(name)
        value = values[0]
        for other in values[1:]:
            value = unify(value, other, path, self.faults)
        # A definition and all structs in it are closed: they allow only the fields that they name.
        return close(value) if name[0] == "#" else value

    def _struct(self, tree: Tree[Token], outer: Scope | None, path: str) -> Struct:
        scope = self._scope(tree, outer)
        others = self._other_fields(tree, scope, path)
        fields: dict[str, Field] = {}
        for label, trees in scope.fields.items():
            if label.startswith(("#", "_")):  # definitions and hidden fields are not exported
                continue
            name = label.removeprefix(QUOTED_LABEL_PREFIX)
            value = self._field_value(label, scope, trees, field_path(path, name))
            # The children of a field are its label, marks (of which ! has no effect) and value.
            optional = all(any(mark == "?" for mark in tree.children[1:-1]) for tree in trees)
            fields[name] = Field(value, optional, self._position(trees[0]))
        return Struct(self._position(tree), fields, others)

    def _other_fields(self, tree: Tree[Token], scope: Scope, path: str) -> Value | None:
        """Returns the constraint on fields that the struct does not name, or None if it states none.

        Only the last pattern or `...` counts, and a pattern applies to all unnamed fields: its label is not evaluated.
        Adds a fault for each field that follows another on the same line without a comma between them.
        """
        others: Value | None = None
        previous: Tree[Token] | Token | None = None
        for child in tree.children:
            if isinstance(child, Tree):
                if isinstance(previous, Tree) and previous.meta.end_line == child.meta.line:
                    self._add_fault(child, path, "two fields on one line", "a comma or a new line between")
                if child.data == "pattern":
                    others = self._value(child.children[1], scope, path)
                elif child.data == "rest":
                    others = AnyValue(self._position(child))
            previous = child
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
            case "preferred":  # a default mark outside a disjunction has no effect
                return self._value(parts[0], scope, path)
            case "bound":
                return self._bound(tree, scope, path)
            case "sequence":
                return self._list(tree, scope, path)
        return self._add_fault(tree, path, str(tree.data), "a value")

    def _number_value(self, tree: Any, path: str) -> Value:
        number = _number(tree.children[0])
        if number in INFINITIES:
            return self._add_fault(tree, path, str(tree.children[0]), "a finite number")
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
        operand = self._value(tree.children[1], scope, path)
        if not isinstance(operand, Atom) or operand.value is None or isinstance(operand.value, bool):
            return self._add_fault(tree, path, describe(operand), "a number or a string after the operator")
        if operator == "=~":
            try:
                re.compile(str(operand.value))
            except re.error as error:
                return self._add_fault(tree, path, str(error), "a regular expression")
        atom_type = "string" if isinstance(operand.value, str) else "number"
        bounds = ((operator, operand.value),)
        return Bounds(self._position(tree), None if operator == "!=" else atom_type, bounds)

    def _list(self, tree: Tree[Token], scope: Scope, path: str) -> Value:
        items: list[Value] = []
        rest: Value | None = None
        for part in tree.children:
            if isinstance(part, Token):
                continue
            if rest is not None:
                return self._add_fault(part, path, "an item after `...`", "the end of the list")
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
        if not steps and name in KEYWORD_VALUES:
            return Atom(position, KEYWORD_VALUES[name])
        if name == "_":
            return AnyValue(position)
        found = self._look_up(name, scope, path)
        if found is None:
            return self._add_fault(
                tree, path, f"the undefined name {name}", "a name that this file or lanelead defines"
            )
        value = found
        for step in steps:
            if not isinstance(value, Struct) or step not in value.fields:
                return self._add_fault(
                    tree, path, f"no field {step} on the path that begins with {name}", describe(value)
                )
            value = value.fields[step].value
        return value if name.startswith("#") else replace(value, position=position)

    def _look_up(self, name: str, scope: Scope, path: str) -> Value | None:
        enclosing: Scope | None = scope
        while enclosing is not None and name not in enclosing.fields:
            enclosing = enclosing.outer
        if enclosing is not None:
            return self._field_value(name, enclosing, enclosing.fields[name], path)
        return self._known.get(name)


def _number(token: Token) -> int | float:
    """Returns the value of a number, with the factor of its suffix, such as 2K or 1Mi."""
    text = token.replace("_", "")
    if "0x" in text:
        return int(text, 16)
    for suffix in sorted(MULTIPLIERS, key=len, reverse=True):
        if text.endswith(suffix):
            return round(float(text[: -len(suffix)]) * MULTIPLIERS[suffix])
    return float(text) if any(sign in text for sign in ".eE") else int(text)


def to_plain(value: Value, path: str, faults: list[SettingsFault], positions: dict[str, Position]) -> Any:
    """Returns the value as dictionaries, lists and atoms.

    A value that is not concrete, such as a type or a choice without a default, is added to `faults`. The positions
    of the value and of all fields and list items in it are added to `positions`, by path.
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
            texts = {describe(option, COMPARISON_DEPTH) for option in options}
            if len(texts) == 1 and _is_concrete(options[0]):
                return to_plain(options[0], path, faults, positions)
    faults.append(SettingsFault(value.position, path, "no concrete value", describe(value)))
    return None


def _plain_struct(
    value: Struct, path: str, faults: list[SettingsFault], positions: dict[str, Position]
) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, member in value.fields.items():
        at = field_path(path, name)
        if member.optional:  # only declared with ?, and not set
            continue
        if isinstance(member.value, Bounds | AnyValue):
            faults.append(SettingsFault(value.position, at, "nothing", describe(member.value)))
            continue
        result[name] = to_plain(member.value, at, faults, positions)
    return result


def _options(value: Disjunction) -> list[Value]:
    """Returns the branches that are marked as default, or all if none is."""
    marked = [branch for branch, default in value.branches if default]
    return marked or [branch for branch, _ in value.branches]


def _is_concrete(value: Value) -> bool:
    """Returns whether a value has no open parts.

    A disjunction has none if one of its defaults has none, or without defaults its first branch.
    """
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
