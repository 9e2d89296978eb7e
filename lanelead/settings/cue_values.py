"""Values of the settings language, and what two of them allow together.

Source: the CUE language specification, sections Values, Unification, Default values, Structs and Closed structs.
Faults are gathered, not raised one by one.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, replace
from typing import Any

from lanelead.settings.errors import Position, SettingsFault

SHOWN_DEPTH = 2  # levels of a value that a message to people shows
ATOM_TYPES: dict[str, tuple[type, ...]] = {"string": (str,), "int": (int,), "number": (int, float), "bool": (bool,)}


@dataclass(frozen=True, slots=True)
class Value:
    """Any value, with where it stands."""

    position: Position


@dataclass(frozen=True, slots=True)
class AnyValue(Value):
    """Allows everything (`_`)."""


@dataclass(frozen=True, slots=True)
class Atom(Value):
    """One concrete string, number, boolean or null."""

    value: str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class Bounds(Value):
    """A type of atom, with bounds on it: each an operator and what it compares with."""

    atom_type: str | None
    bounds: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Field:
    """A field of a struct."""

    value: Value
    optional: bool
    position: Position


@dataclass(frozen=True, slots=True)
class Struct(Value):
    """Fields by name. `others`: what any further field must be. `closed`: there may be no further field."""

    fields: dict[str, Field]
    others: Value | None = None
    closed: bool = False


@dataclass(frozen=True, slots=True)
class ListValue(Value):
    """Items in order. `rest`: what any further item must be."""

    items: tuple[Value, ...]
    rest: Value | None = None


@dataclass(frozen=True, slots=True)
class Disjunction(Value):
    """One of several values, each with whether it is marked as the default."""

    branches: tuple[tuple[Value, bool], ...]


def show(value: Value, depth: int = SHOWN_DEPTH) -> str:
    """A value as a short text for people."""
    match value:
        case Atom(_, atom):
            return json.dumps(atom)
        case Bounds(_, atom_type, bounds):
            parts = [atom_type] if atom_type else []
            return " & ".join(parts + [f"{operator}{json.dumps(edge)}" for operator, edge in bounds])
        case Disjunction(_, branches):
            return " | ".join(dict.fromkeys(show(branch, depth - 1) for branch, _ in branches))
        case Struct(_, fields):
            return "a struct" + (f" of {', '.join(fields)}" if fields and depth > 1 else "")
        case ListValue(_, _, rest):
            return f"a list of {show(rest, depth - 1)}" if rest else "a list"
    return "anything"


def close(value: Value) -> Value:
    """The same, with each struct in it closed."""
    match value:
        case Struct(position, fields, others):
            inner = {name: replace(field, value=close(field.value)) for name, field in fields.items()}
            return Struct(position, inner, others and close(others), True)
        case ListValue(position, items, rest):
            return ListValue(position, tuple(map(close, items)), rest and close(rest))
        case Disjunction(position, branches):
            return Disjunction(position, tuple((close(branch), marked) for branch, marked in branches))
    return value


def field_path(parent: str, name: str) -> str:
    """The path of a field within a struct's."""
    return f"{parent}.{name}" if parent else name


def unify(a: Value, b: Value, path: str, faults: list[SettingsFault]) -> Value:
    """What both allow. `a` is the definition, `b` the side whose position is reported where they do not agree."""
    unified = _unified(a, b, path, faults)
    if unified is not None:
        return unified
    faults.append(SettingsFault(b.position, path, show(b), show(a)))
    return b


def _unified(a: Value, b: Value, path: str, faults: list[SettingsFault]) -> Value | None:
    """The same, and None where the two have nothing in common."""
    match a, b:
        case AnyValue(), _:
            return b
        case _, AnyValue():
            return a
        case Disjunction(), _:
            return _unify_branches(a, b, path, faults)
        case _, Disjunction():
            return _unify_branches(b, a, path, faults)
        case Atom(), Bounds():
            return unify(b, a, path, faults)
        case Struct(), Struct():
            return _unify_structs(a, b, path, faults)
        case ListValue(), ListValue():
            return _unify_lists(a, b, path, faults)
    return _unified_atoms(a, b)


def _unified_atoms(a: Value, b: Value) -> Value | None:
    match a, b:
        case Atom(), Atom() if a.value == b.value and isinstance(a.value, bool) is isinstance(b.value, bool):
            return b
        case Bounds(), Atom() if _allows(a, b.value):
            return b
        case Bounds(), Bounds():
            return _merged_bounds(a, b)
    return None


def _allows(bounds: Bounds, atom: Any) -> bool:
    if not _has_type(atom, bounds.atom_type):
        return False
    return all(_is_within(atom, operator, edge) for operator, edge in bounds.bounds)


def _has_type(atom: Any, atom_type: str | None) -> bool:
    if atom_type is None:
        return True
    return isinstance(atom, ATOM_TYPES[atom_type]) and (atom_type == "bool" or not isinstance(atom, bool))


def _is_within(atom: Any, operator: str, edge: Any) -> bool:
    if operator == "!=":
        return bool(atom != edge)
    if isinstance(atom, str) is not isinstance(edge, str) or isinstance(atom, bool) or atom is None:
        return False
    if operator == "=~":
        return bool(re.search(edge, atom))
    tests: dict[str, bool] = {">=": atom >= edge, "<=": atom <= edge, ">": atom > edge, "<": atom < edge}
    return tests[operator]


def _merged_bounds(a: Bounds, b: Bounds) -> Bounds | None:
    types = {a.atom_type, b.atom_type} - {None}
    if types == {"int", "number"}:
        types = {"int"}
    if len(types) > 1:
        return None
    return Bounds(b.position, next(iter(types), None), tuple(dict.fromkeys(a.bounds + b.bounds)))


def _unify_branches(a: Disjunction, b: Value, path: str, faults: list[SettingsFault]) -> Value:
    fitting: list[tuple[Value, bool]] = []
    closest: list[SettingsFault] = []
    other_branches = b.branches if isinstance(b, Disjunction) else ((b, False),)
    for branch, marked in a.branches:
        for other, other_marked in other_branches:
            tried: list[SettingsFault] = []
            value = unify(branch, other, path, tried)
            if not tried:
                fitting.append((value, marked or other_marked))
            elif not closest or max(map(_depth, tried)) > max(map(_depth, closest)):
                closest = tried
    if not fitting:
        # Where a branch went deeper than the disjunction itself, its fault is the one worth reading.
        deeper = [fault for fault in closest if _depth(fault) > path.count(".") + path.count("[")]
        faults.extend(deeper or [SettingsFault(b.position, path, show(b), show(a))])
        return b
    return fitting[0][0] if len(fitting) == 1 else Disjunction(b.position, tuple(fitting))


def _depth(fault: SettingsFault) -> int:
    return fault.path.count(".") + fault.path.count("[")


def _unify_structs(a: Struct, b: Struct, path: str, faults: list[SettingsFault]) -> Struct:
    fields: dict[str, Field] = {}
    for name in dict.fromkeys([*a.fields, *b.fields]):
        at = field_path(path, name)
        mine = a.fields.get(name)
        theirs = b.fields.get(name)
        if mine and theirs:
            value = unify(mine.value, theirs.value, at, faults)
            fields[name] = Field(value, mine.optional and theirs.optional, theirs.position)
            continue
        have, other = (mine, b) if mine else (theirs, a)
        assert have is not None
        if other.others is not None:
            fields[name] = replace(have, value=unify(other.others, have.value, at, faults))
        elif other.closed:
            known = ", ".join(other.fields) or "none at all"
            faults.append(SettingsFault(have.position, at, "an unknown field", f"one of {known}"))
        else:
            fields[name] = have
    others = a.others if b.others is None else b.others
    return Struct(b.position, fields, others, a.closed or b.closed)


def _unify_lists(a: ListValue, b: ListValue, path: str, faults: list[SettingsFault]) -> ListValue:
    items: list[Value] = []
    for index in range(max(len(a.items), len(b.items))):
        mine = a.items[index] if index < len(a.items) else a.rest
        theirs = b.items[index] if index < len(b.items) else b.rest
        if mine is None or theirs is None:
            expected = f"{len(a.items)} items" + (" or more" if a.rest else "")
            faults.append(SettingsFault(b.position, path, f"{len(b.items)} items", expected))
            break
        items.append(unify(mine, theirs, f"{path}[{index}]", faults))
    rest = None if a.rest is None or b.rest is None else unify(a.rest, b.rest, f"{path}[]", faults)
    return ListValue(b.position, tuple(items), rest)
