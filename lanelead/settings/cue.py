"""Values of the settings language: parsed by lark, unified as CUE does, and made plain at the end.

Source: the CUE language specification, sections Values, Unification, Default values, Structs and Closed
structs. Only the subset that docs/settings.md describes is read. Faults are gathered, not raised one by
one; each says file, line, column, field, what stands there and what was expected.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import cache
from importlib.resources import files
from typing import Any

from lark import Lark, Token, Tree, UnexpectedInput
from lark.exceptions import LarkError

QUOTED = '"'  # begins the key of a quoted label: those are plain fields, whatever their first letter
DEEPEST = 40  # levels of nesting; guards against a file that exhausts the interpreter's stack
LARGEST = 4 << 20  # bytes of one file
KINDS = {"string": (str,), "int": (int,), "number": (int, float), "bool": (bool,)}
ATOMS: dict[str, Any] = {"true": True, "false": False, "null": None}
FACTORS = {"K": 1000, "M": 1000**2, "G": 1000**3, "T": 1000**4}
FACTORS |= {f"{letter}i": 1024**power for power, letter in enumerate("KMGT", 1)}


@dataclass(frozen=True, slots=True)
class Spot:
    """Where something stands: lines and columns count from 1."""

    file: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Fault:
    spot: Spot
    where: str  # the field's path
    found: str
    expected: str

    def __str__(self) -> str:
        at = f"{self.spot.file}:{self.spot.line}:{self.spot.column}"
        return f"{at}: {self.where or 'the file'}: found {self.found}, expected {self.expected}"


class Unfit(Exception):
    """The settings do not hold; `faults` has all that was found."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = list(faults)


@dataclass(frozen=True, slots=True)
class Value:
    spot: Spot


@dataclass(frozen=True, slots=True)
class Any_(Value):
    pass


@dataclass(frozen=True, slots=True)
class Atom(Value):
    value: str | int | float | bool | None


@dataclass(frozen=True, slots=True)
class Limits(Value):
    """A kind of atom, with bounds on it."""

    kind: str | None
    bounds: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Member:
    value: Value
    optional: bool
    spot: Spot


@dataclass(frozen=True, slots=True)
class Struct(Value):
    members: dict[str, Member]
    others: Value | None = None  # what any further field must be
    closed: bool = False


@dataclass(frozen=True, slots=True)
class Row(Value):
    items: tuple[Value, ...]
    rest: Value | None = None


@dataclass(frozen=True, slots=True)
class Choice(Value):
    branches: tuple[tuple[Value, bool], ...]  # each with its mark as the default


def show(value: Value, depth: int = 2) -> str:
    """A value as a short text for people."""
    match value:
        case Atom(_, atom):
            return json.dumps(atom)
        case Limits(_, kind, bounds):
            return " & ".join(([kind] if kind else []) + [f"{op}{json.dumps(edge)}" for op, edge in bounds])
        case Choice(_, branches):
            return " | ".join(dict.fromkeys(show(branch, depth - 1) for branch, _ in branches))
        case Struct(_, tenants):
            return "a struct" + (f" of {', '.join(tenants)}" if tenants and depth > 1 else "")
        case Row(_, _, rest):
            return f"a list of {show(rest, depth - 1)}" if rest else "a list"
    return "anything"


# Reading


@cache
def _parser() -> Lark:
    text = files("lanelead.settings").joinpath("cue.lark").read_text()
    return Lark(text, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def parse(text: str, file: str) -> Tree[Token]:
    """The file's syntax tree. Raises Unfit with the place of the first fault."""
    start = Spot(file, 1, 1)
    if len(text) > LARGEST:
        raise Unfit([Fault(start, "", f"{len(text)} characters", f"{LARGEST} at most")])
    depth = 0
    for token in re.finditer(r'"(?:[^"\\\n]|\\.)*"|//[^\n]*|[\[{(\n*]|[\]})]', text):
        depth += (token[0] in ("[", "{", "(")) - (token[0] in ("]", "}", ")"))
        if depth > DEEPEST:
            line = text.count("\n", 0, token.start()) + 1
            spot = Spot(file, line, token.start() - text.rfind("\n", 0, token.start()))
            raise Unfit([Fault(spot, "", "deeper nesting", f"{DEEPEST} levels at most")])
    try:
        return _parser().parse(text)
    except UnexpectedInput as fault:
        line, column = max(1, fault.line), max(1, fault.column)
        lines = text.split("\n")
        rest = lines[line - 1][column - 1 :].strip() if line <= len(lines) else ""
        wanted = getattr(fault, "accepts", None) or getattr(fault, "allowed", None) or ()
        named = ", ".join(sorted(_friendly(name) for name in wanted)[:8]) or "another form"
        found = json.dumps(rest[:30]) if rest else "the end of the line"
        raise Unfit([Fault(Spot(file, line, column), "", found, named)]) from None
    except (LarkError, RecursionError) as fault:
        raise Unfit([Fault(start, "", str(fault)[:80], "a readable file")]) from None


def _friendly(terminal: str) -> str:
    signs = {"LBRACE": "{", "RBRACE": "}", "LSQB": "[", "RSQB": "]", "COLON": ":", "VBAR": "|", "LPAR": "("}
    signs |= {"STAR": "*", "IDENT": "a name", "STRING": "a string", "NUMBER": "a number", "$END": "the end"}
    signs |= {
        "COMMA": ",",
        "ELLIPSIS": "...",
        "BOUND": "a bound",
        "MARK": "?",
        "RPAR": ")",
        "AMPERSAND": "&",
        "DOT": ".",
    }
    return signs.get(terminal, terminal.lower())


@dataclass(slots=True)
class Scope:
    """The fields around an expression, for references; `busy` finds those that lead back to themselves."""

    fields: dict[str, list[Tree[Token]]]
    outer: Scope | None
    busy: set[str] = field(default_factory=set)


class Reader:
    """Turns a syntax tree into a value. Names are looked up from the inside out, then in `known`."""

    def __init__(self, file: str, known: Mapping[str, Value]) -> None:
        self._file, self._known = file, known
        self.faults: list[Fault] = []

    def _spot(self, tree: Tree[Token] | Token) -> Spot:
        if isinstance(tree, Token):
            return Spot(self._file, tree.line or 1, tree.column or 1)
        return Spot(self._file, getattr(tree.meta, "line", 1), getattr(tree.meta, "column", 1))

    def _blame(self, tree: Tree[Token] | Token, where: str, found: str, expected: str) -> Value:
        self.faults.append(Fault(self._spot(tree), where, found, expected))
        return Any_(self._spot(tree))

    def whole(self, tree: Tree[Token]) -> Struct:
        return self._struct(tree, None, "")

    def definitions(self, tree: Tree[Token]) -> dict[str, Value]:
        scope = self._scope(tree, None)
        return {
            name: self._named(name, scope, trees, name) for name, trees in scope.fields.items() if name.startswith("#")
        }

    @staticmethod
    def label(tenant: Tree[Token]) -> str:
        label = tenant.children[0]
        assert isinstance(label, Tree)
        text = str(label.children[0])
        return QUOTED + str(json.loads(text)) if text.startswith('"') else text

    def _scope(self, tree: Tree[Token], outer: Scope | None) -> Scope:
        fields: dict[str, list[Tree[Token]]] = {}
        for tenant in tree.children:
            if isinstance(tenant, Tree) and tenant.data == "field":
                label = self.label(tenant)
                plain_ = label.removeprefix(QUOTED)
                key = label if plain_.startswith(("#", "_")) else plain_
                fields.setdefault(key, []).append(tenant)
        return Scope(fields, outer)

    def _named(self, name: str, scope: Scope, trees: Sequence[Tree[Token]], where: str) -> Value:
        if name in scope.busy:
            return self._blame(trees[0], where, f"{name}, which leads back to itself", "a value")
        scope.busy.add(name)
        try:
            values = [self._value(tree.children[-1], scope, where) for tree in trees]
        finally:
            scope.busy.discard(name)
        value = values[0]
        for other in values[1:]:
            value = unify(value, other, where, self.faults)
        # A definition is closed, with all within it: it takes no field that it does not name.
        return close(value) if name[0] == "#" else value

    def _struct(self, tree: Tree[Token], outer: Scope | None, where: str) -> Struct:
        scope, tenants = self._scope(tree, outer), dict[str, Member]()
        others: Value | None = None
        last: Tree[Token] | Token | None = None
        for tenant in tree.children:
            if isinstance(tenant, Tree):
                if isinstance(last, Tree) and last.meta.end_line == tenant.meta.line:
                    self._blame(tenant, where, "two fields on one line", "a comma or a new line between")
                if tenant.data == "pattern":
                    others = self._value(tenant.children[1], scope, where)
                elif tenant.data == "rest":
                    others = Any_(self._spot(tenant))
            last = tenant
        for label, trees in scope.fields.items():
            if label.startswith(("#", "_")):  # a definition, or hidden; never so where it is quoted
                continue
            name = label.removeprefix(QUOTED)
            at = f"{where}.{name}" if where else name
            value = self._named(label, scope, trees, at)
            optional = all(any(mark == "?" for mark in tree.children[1:-1]) for tree in trees)
            tenants[name] = Member(value, optional, self._spot(trees[0]))
        return Struct(self._spot(tree), tenants, others)

    def _number(self, token: Token) -> int | float:
        text = token.replace("_", "")
        if "0x" in text:
            return int(text, 16)
        for unit in sorted(FACTORS, key=len, reverse=True):
            if text.endswith(unit):
                return round(float(text[: -len(unit)]) * FACTORS[unit])
        return float(text) if any(sign in text for sign in ".eE") else int(text)

    def _value(self, tree: Any, scope: Scope, where: str) -> Value:
        spot, parts = self._spot(tree), tree.children
        match tree.data:
            case "number":
                number = self._number(parts[0])
                if number in (float("inf"), float("-inf")):
                    return self._blame(tree, where, str(parts[0]), "a finite number")
                return Atom(spot, number)
            case "text":
                return Atom(spot, json.loads(parts[0]))
            case "struct" | "nested":
                return self._struct(tree, scope, where)
            case "reference":
                return self._reference(tree, scope, where)
            case "both":
                value = self._value(parts[0], scope, where)
                for part in parts[1:]:
                    value = unify(value, self._value(part, scope, where), where, self.faults)
                return value
            case "either":
                branches = []
                for part in parts:
                    marked = part.data == "preferred"
                    inner = part.children[0] if marked else part
                    branches.append((self._value(inner, scope, where), marked))
                return Choice(spot, tuple(branches))
            case "preferred":
                return self._value(parts[0], scope, where)
            case "bound":
                edge = self._value(parts[1], scope, where)
                if not isinstance(edge, Atom) or edge.value is None or isinstance(edge.value, bool):
                    return self._blame(tree, where, show(edge), "a number or a string after the bound")
                kind = "string" if isinstance(edge.value, str) else "number"
                if str(parts[0]) == "=~":
                    try:
                        re.compile(str(edge.value))
                    except re.error as fault:
                        return self._blame(tree, where, str(fault), "a regular expression")
                return Limits(spot, None if str(parts[0]) == "!=" else kind, ((str(parts[0]), edge.value),))
            case "sequence":
                return self._row(tree, scope, where)
        return self._blame(tree, where, str(tree.data), "a value")

    def _row(self, tree: Tree[Token], scope: Scope, where: str) -> Value:
        items, rest = list[Value](), None
        for part in tree.children:
            if isinstance(part, Token):
                continue
            if rest is not None:
                return self._blame(part, where, "an item after ...", "the end of the list")
            if part.data == "ellipsis":
                inner = part.children[1:]
                rest = self._value(inner[0], scope, where) if inner else Any_(self._spot(part))
            else:
                items.append(self._value(part, scope, f"{where}[{len(items)}]"))
        return Row(self._spot(tree), tuple(items), rest)

    def _reference(self, tree: Tree[Token], scope: Scope, where: str) -> Value:
        spot = self._spot(tree)
        name, *path = [str(part.children[0]) if isinstance(part, Tree) else str(part) for part in tree.children]
        if not path and name in KINDS:
            return Limits(spot, name)
        if not path and name in ATOMS:
            return Atom(spot, ATOMS[name])
        if name == "_":
            return Any_(spot)
        around: Scope | None = scope
        while around is not None and name not in around.fields:
            around = around.outer
        if around is not None:
            value = self._named(name, around, around.fields[name], where)
        elif name in self._known:
            value = self._known[name]
        else:
            return self._blame(tree, where, f"the name {name}", "a name that this file or lanelead defines")
        for step in path:
            if not isinstance(value, Struct) or step not in value.members:
                return self._blame(tree, where, f"no {step} in {name}", show(value))
            value = value.members[step].value
        return value if name.startswith("#") else replace(value, spot=spot)


# Unification


def close(value: Value) -> Value:
    """The same, with each struct in it closed."""
    match value:
        case Struct(spot, tenants, others):
            inner = {name: replace(tenant, value=close(tenant.value)) for name, tenant in tenants.items()}
            return Struct(spot, inner, others and close(others), True)
        case Row(spot, items, rest):
            return Row(spot, tuple(map(close, items)), rest and close(rest))
        case Choice(spot, branches):
            return Choice(spot, tuple((close(branch), marked) for branch, marked in branches))
    return value


def _fits(atom: Any, kind: str | None) -> bool:
    if kind is None:
        return True
    return isinstance(atom, KINDS[kind]) and (kind == "bool" or not isinstance(atom, bool))


def _within(atom: Any, op: str, edge: Any) -> bool:
    if op == "!=":
        return bool(atom != edge)
    if isinstance(atom, str) is not isinstance(edge, str) or isinstance(atom, bool) or atom is None:
        return False
    tests = {">=": atom >= edge, "<=": atom <= edge, ">": atom > edge, "<": atom < edge} if op != "=~" else {}
    return bool(re.search(edge, atom)) if op == "=~" else tests[op]


def _merge(a: Limits, b: Limits) -> Limits | None:
    kinds = {a.kind, b.kind} - {None}
    if kinds == {"int", "number"}:
        kinds = {"int"}
    if len(kinds) > 1:
        return None
    return Limits(b.spot, next(iter(kinds), None), tuple(dict.fromkeys(a.bounds + b.bounds)))


def unify(a: Value, b: Value, where: str, faults: list[Fault]) -> Value:
    """What both allow. `a` is the side that rules, `b` the side that is blamed where they do not agree."""
    match a, b:
        case Any_(), _:
            return b
        case _, Any_():
            return a
        case Choice(), _:
            return _choose(a, b, where, faults)
        case _, Choice():
            return _choose(b, a, where, faults)
        case Atom(), Atom() if a.value == b.value and isinstance(a.value, bool) is isinstance(b.value, bool):
            return b
        case Limits(_, kind, bounds), Atom(_, atom):
            if _fits(atom, kind) and all(_within(atom, op, edge) for op, edge in bounds):
                return b
        case Atom(), Limits():
            return unify(b, a, where, faults)
        case Limits(), Limits() if (merged := _merge(a, b)) is not None:
            return merged
        case Struct(), Struct():
            return _join(a, b, where, faults)
        case Row(), Row():
            return _align(a, b, where, faults)
    faults.append(Fault(b.spot, where, show(b), show(a)))
    return b


def _choose(a: Choice, b: Value, where: str, faults: list[Fault]) -> Value:
    fitting, closest = list[tuple[Value, bool]](), list[Fault]()
    theirs = b.branches if isinstance(b, Choice) else ((b, False),)
    for branch, marked in a.branches:
        for other, too in theirs:
            tried = list[Fault]()
            value = unify(branch, other, where, tried)
            if not tried:
                fitting.append((value, marked or too))
            elif not closest or max(map(_depth, tried)) > max(map(_depth, closest)):
                closest = tried
    if not fitting:
        # Where a branch went deeper than the choice itself, its fault is the one worth reading.
        deeper = [fault for fault in closest if _depth(fault) > where.count(".") + where.count("[")]
        faults.extend(deeper or [Fault(b.spot, where, show(b), show(a))])
        return b
    return fitting[0][0] if len(fitting) == 1 else Choice(b.spot, tuple(fitting))


def _depth(fault: Fault) -> int:
    return fault.where.count(".") + fault.where.count("[")


def _join(a: Struct, b: Struct, where: str, faults: list[Fault]) -> Struct:
    tenants = dict[str, Member]()
    for name in dict.fromkeys([*a.members, *b.members]):
        at = f"{where}.{name}" if where else name
        mine, theirs = a.members.get(name), b.members.get(name)
        if mine and theirs:
            value = unify(mine.value, theirs.value, at, faults)
            tenants[name] = Member(value, mine.optional and theirs.optional, theirs.spot)
            continue
        have, other = (mine, b) if mine else (theirs, a)
        assert have is not None
        if other.others is not None:
            tenants[name] = replace(have, value=unify(other.others, have.value, at, faults))
        elif other.closed:
            known = ", ".join(other.members) or "none at all"
            faults.append(Fault(have.spot, at, "an unknown field", f"one of {known}"))
        else:
            tenants[name] = have
    others = a.others if b.others is None else b.others
    return Struct(b.spot, tenants, others, a.closed or b.closed)


def _align(a: Row, b: Row, where: str, faults: list[Fault]) -> Row:
    items = list[Value]()
    for place in range(max(len(a.items), len(b.items))):
        pair = [row.items[place] if place < len(row.items) else row.rest for row in (a, b)]
        if pair[0] is None or pair[1] is None:
            found, most = f"{len(b.items)} items", f"{len(a.items)} items"
            faults.append(Fault(b.spot, where, found, most + (" or more" if a.rest else "")))
            break
        items.append(unify(pair[0], pair[1], f"{where}[{place}]", faults))
    rest = None if a.rest is None or b.rest is None else unify(a.rest, b.rest, f"{where}[]", faults)
    return Row(b.spot, tuple(items), rest)


# The end


def plain(value: Value, where: str, faults: list[Fault], spots: dict[str, Spot]) -> Any:
    """The value as dictionaries, lists and atoms; what is still open is a fault."""
    spots[where] = value.spot
    match value:
        case Atom(_, atom):
            return atom
        case Struct(_, tenants):
            result = {}
            for name, tenant in tenants.items():
                at = f"{where}.{name}" if where else name
                if tenant.optional:  # named by our definitions only: the file left it out
                    continue
                if isinstance(tenant.value, Limits | Any_):
                    faults.append(Fault(value.spot, at, "nothing", show(tenant.value)))
                    continue
                result[name] = plain(tenant.value, at, faults, spots)
            return result
        case Row(_, items):
            return [plain(item, f"{where}[{place}]", faults, spots) for place, item in enumerate(items)]
        case Choice(_, branches):
            marked = [branch for branch, default in branches if default]
            options = marked or [branch for branch, _ in branches]
            first, texts = options[0], {show(option, 9) for option in options}
            if len(texts) == 1 and _concrete(first):
                return plain(first, where, faults, spots)
    faults.append(Fault(value.spot, where, "nothing definite", show(value)))
    return None


def _concrete(value: Value) -> bool:
    match value:
        case Atom():
            return True
        case Struct(_, tenants):
            return all(tenant.optional or _concrete(tenant.value) for tenant in tenants.values())
        case Row(_, items):
            return all(map(_concrete, items))
        case Choice(_, branches):
            marked = [branch for branch, default in branches if default]
            return any(map(_concrete, marked or [branch for branch, _ in branches[:1]]))
    return False
