"""Values of the settings language, and their unification: the value that satisfies two constraints at once.

Follows the CUE language specification, sections Values, Unification, Default values, Structs and Closed structs.
Faults are added to a list rather than raised, so that all of them are reported together.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, replace
from typing import Any

from lanelead.settings.errors import Position, SettingsFault

DESCRIBED_DEPTH = 2  # levels of nesting that error messages show of a value
ATOM_TYPES: dict[str, tuple[type, ...]] = {"string": (str,), "int": (int,), "number": (int, float), "bool": (bool,)}


@dataclass(frozen=True, slots=True)
class Value:
    """Base class of all values, with the position in the file."""

    position: Position


@dataclass(frozen=True, slots=True)
class AnyValue(Value):
    """The constraint that any value satisfies (`_`)."""


@dataclass(frozen=True, slots=True)
class Atom(Value):
    """A concrete string, number, boolean or null."""

    value: str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class Bounds(Value):
    """A constraint on atoms: a type (None: any), and bounds, each an operator and its operand."""

    atom_type: str | None
    bounds: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Field:
    """A field of a struct. `optional`: the field may be left out."""

    value: Value
    optional: bool
    position: Position


@dataclass(frozen=True, slots=True)
class Struct(Value):
    """Fields by name.

    `others` is the constraint on fields that are not named here; without it, `closed` rules such fields out.
    """

    fields: dict[str, Field]
    others: Value | None = None
    closed: bool = False


@dataclass(frozen=True, slots=True)
class ListValue(Value):
    """Items in order. `rest` is the constraint on further items; None: there may be none."""

    items: tuple[Value, ...]
    rest: Value | None = None


@dataclass(frozen=True, slots=True)
class Disjunction(Value):
    """Alternatives, each with a flag that marks it as a default."""

    branches: tuple[tuple[Value, bool], ...]


def describe(value: Value, depth: int = DESCRIBED_DEPTH) -> str:
    """Returns a short text for error messages; `depth` is the number of levels that it shows."""
    match value:
        case Atom(_, atom):
            return json.dumps(atom)
        case Bounds(_, atom_type, bounds):
            parts = [atom_type] if atom_type else []
            return " & ".join(parts + [f"{operator}{json.dumps(operand)}" for operator, operand in bounds])
        case Disjunction(_, branches):
            return " | ".join(dict.fromkeys(describe(branch, depth - 1) for branch, _ in branches))
        case Struct(_, fields):
            return "a struct" + (f" of {', '.join(fields)}" if fields and depth > 1 else "")
        case ListValue(_, _, rest):
            return f"a list of {describe(rest, depth - 1)}" if rest else "a list"
    return "anything"


def close(value: Value) -> Value:
    """Returns the value with all structs in it closed."""
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
    """Returns the path of a field of the struct at path `parent`."""
    return f"{parent}.{name}" if parent else name


def unify(a: Value, b: Value, path: str, faults: list[SettingsFault]) -> Value:
    """Returns the unification of two values.

    If they conflict, adds a fault to `faults` and returns `b`. The fault reports `b` as found, at its position, and `a`
    as expected; so `a` is the definition and `b` the file's value.
    """
    unified = _unify_or_none(a, b, path, faults)
    if unified is not None:
        return unified
    faults.append(SettingsFault(b.position, path, describe(b), describe(a)))
    return b


def _unify_or_none(a: Value, b: Value, path: str, faults: list[SettingsFault]) -> Value | None:
    """Returns the unification, or None if no value satisfies both."""
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
    return _unify_atoms(a, b)


def _unify_atoms(a: Value, b: Value) -> Value | None:
    match a, b:
        case Atom(), Atom() if a.value == b.value and isinstance(a.value, bool) is isinstance(b.value, bool):
            return b
        case Bounds(), Atom() if _allows(a, b.value):
            return b
        case Bounds(), Bounds():
            return _unify_bounds(a, b)
    return None


def _allows(bounds: Bounds, atom: Any) -> bool:
    if not _has_type(atom, bounds.atom_type):
        return False
    return all(_is_within(atom, operator, operand) for operator, operand in bounds.bounds)


def _has_type(atom: Any, atom_type: str | None) -> bool:
    if atom_type is None:
        return True
    return isinstance(atom, ATOM_TYPES[atom_type]) and (atom_type == "bool" or not isinstance(atom, bool))


def _is_within(atom: Any, operator: str, operand: Any) -> bool:
    if operator == "!=":
        return bool(atom != operand)
    if isinstance(atom, str) is not isinstance(operand, str) or isinstance(atom, bool) or atom is None:
        return False
    if operator == "=~":
        return bool(re.search(operand, atom))
    comparisons: dict[str, bool] = {
        ">=": atom >= operand,
        "<=": atom <= operand,
        ">": atom > operand,
        "<": atom < operand,
    }
    return comparisons[operator]


def _unify_bounds(a: Bounds, b: Bounds) -> Bounds | None:
    types = {a.atom_type, b.atom_type} - {None}
    if types == {"int", "number"}:
        types = {"int"}
    if len(types) > 1:
        return None
    return Bounds(b.position, next(iter(types), None), tuple(dict.fromkeys(a.bounds + b.bounds)))


def _unify_branches(a: Disjunction, b: Value, path: str, faults: list[SettingsFault]) -> Value:
    compatible: list[tuple[Value, bool]] = []
    closest: list[SettingsFault] = []
    other_branches = b.branches if isinstance(b, Disjunction) else ((b, False),)
    for branch, marked in a.branches:
        for other, other_marked in other_branches:
            branch_faults: list[SettingsFault] = []
            value = unify(branch, other, path, branch_faults)
            if not branch_faults:
                compatible.append((value, marked or other_marked))
            elif not closest or max(map(_depth, branch_faults)) > max(map(_depth, closest)):
                closest = branch_faults
    if not compatible:
        # The faults of the branch that matched furthest say more than that no branch matched.
        deeper = [fault for fault in closest if _depth(fault) > path.count(".") + path.count("[")]
        faults.extend(deeper or [SettingsFault(b.position, path, describe(b), describe(a))])
        return b
    return compatible[0][0] if len(compatible) == 1 else Disjunction(b.position, tuple(compatible))


def _depth(fault: SettingsFault) -> int:
    return fault.path.count(".") + fault.path.count("[")


def _unify_structs(a: Struct, b: Struct, path: str, faults: list[SettingsFault]) -> Struct:
    fields: dict[str, Field] = {}
    for name in dict.fromkeys([*a.fields, *b.fields]):
        at = field_path(path, name)
        field_a = a.fields.get(name)
        field_b = b.fields.get(name)
        if field_a and field_b:
            value = unify(field_a.value, field_b.value, at, faults)
            fields[name] = Field(value, field_a.optional and field_b.optional, field_b.position)
            continue
        present, other = (field_a, b) if field_a else (field_b, a)
        assert present is not None
        if other.others is not None:
            fields[name] = replace(present, value=unify(other.others, present.value, at, faults))
        elif other.closed:
            known = ", ".join(other.fields) or "none: no field is allowed here"
            faults.append(SettingsFault(present.position, at, "an unknown field", f"one of {known}"))
        else:
            fields[name] = present
    others = a.others if b.others is None else b.others
    return Struct(b.position, fields, others, a.closed or b.closed)


def _unify_lists(a: ListValue, b: ListValue, path: str, faults: list[SettingsFault]) -> ListValue:
    items: list[Value] = []
    for index in range(max(len(a.items), len(b.items))):
        field_a = a.items[index] if index < len(a.items) else a.rest
        field_b = b.items[index] if index < len(b.items) else b.rest
        if field_a is None or field_b is None:
            expected = f"{len(a.items)} items" + (" or more" if a.rest else "")
            faults.append(SettingsFault(b.position, path, f"{len(b.items)} items", expected))
            break
        items.append(unify(field_a, field_b, f"{path}[{index}]", faults))
    rest = None if a.rest is None or b.rest is None else unify(a.rest, b.rest, f"{path}[]", faults)
    return ListValue(b.position, tuple(items), rest)
