"""Collects from the syntax tree the names that leave the process, which renames of identifiers must not touch.

`python -m tests.outer_names` prints them, one a line; `pinned/outer_names.txt` has them as of commit 262ab5d. They are:
fields and tags of messages and stored records, words and keys that stand as strings in the code (headers, paths, flags,
environment variables, JSON keys, SQLSTATEs, the simulator's events and actions), tables and columns, keys of settings,
commands, enumeration members and classes that are written out under their own names, and log fields that the tests or
the testbed look for.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "lanelead"
READERS = (ROOT / "tests", ROOT / "benchmarks", PACKAGE / "testbed")
LOG_METHODS = frozenset({"debug", "info", "warning", "error", "critical", "exception", "log"})
TYPING_CALLS = frozenset({"TypeVar", "NewType", "ParamSpec", "NamedTuple", "getattr", "setattr", "hasattr"})
WORD = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_./:-]*[A-Za-z0-9_/]|--[a-z-]+|/[\w./-]*")
COLUMN = re.compile(r"\b([a-z]\w*) (?:INTEGER|REAL|TEXT|BLOB)\b")
TABLE = re.compile(r"(?:^|EXISTS )([a-z]\w*) \(")
SETTINGS_KEY = re.compile(r"^\s*([a-z]\w*)[?!]?:", re.MULTILINE)


def trees(folder: Path) -> Iterator[ast.Module]:
    """The syntax trees of all Python files below a folder."""
    for path in sorted(folder.rglob("*.py")):
        yield ast.parse(path.read_text())


def called_name(call: ast.Call) -> str:
    """The last part of the name of what is called."""
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return getattr(call.func, "id", "")


def base_names(node: ast.ClassDef) -> set[str]:
    """The last parts of the names of a class's bases."""
    return {base.attr if isinstance(base, ast.Attribute) else getattr(base, "id", "") for base in node.bases}


def constant(node: ast.expr | None) -> object:
    """The value of a constant, or None."""
    return node.value if isinstance(node, ast.Constant) else None


def dictionaries(tree: ast.Module) -> dict[str, ast.Dict]:
    """Dictionaries by the name of the module's variable that they are assigned to."""
    found: dict[str, ast.Dict] = {}
    for statement in tree.body:
        if isinstance(statement, ast.Assign) and isinstance(statement.value, ast.Dict):
            found |= {target.id: statement.value for target in statement.targets if isinstance(target, ast.Name)}
    return found


def message_fields(tree: ast.Module, renames: dict[str, ast.Dict]) -> Iterator[str]:
    """Fields of msgspec structs that are written with their names, as they are written."""
    known = {"Struct"}
    for node in ast.walk(tree):
        if not isinstance(node, ast.ClassDef) or not base_names(node) & known:
            continue
        known.add(node.name)
        options = {keyword.arg: keyword.value for keyword in node.keywords}
        if constant(options.get("array_like")) is True:
            continue
        rename = options.get("rename")
        table = renames.get(getattr(rename, "id", "")) if isinstance(rename, ast.Name) else rename
        mapping = {}
        if isinstance(table, ast.Dict):
            pairs = zip(table.keys, table.values, strict=True)
            mapping = {constant(key): constant(value) for key, value in pairs}
        for statement in node.body:
            if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
                yield str(mapping.get(statement.target.id) or own_name(statement))


def own_name(field: ast.AnnAssign) -> str:
    """A field's name, or the one that `msgspec.field(name=...)` gives it."""
    assert isinstance(field.target, ast.Name)
    if isinstance(field.value, ast.Call):
        for keyword in field.value.keywords:
            if keyword.arg == "name":
                return str(constant(keyword.value))
    return field.target.id


def rename_keys(tree: ast.Module) -> Iterator[ast.expr]:
    """Keys of the tables from field names to outer names, which are names of the code alone."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ClassDef):
            for keyword in node.keywords:
                if keyword.arg == "rename" and isinstance(keyword.value, ast.Dict):
                    yield from (key for key in keyword.value.keys if key)
    for name, table in dictionaries(tree).items():
        if name == "WIRE_NAMES":
            yield from (key for key in table.keys if key)


def is_slots(node: ast.AST) -> bool:
    """Whether a statement lists the attributes of a class, which are names of the code alone."""
    targets = node.targets if isinstance(node, ast.Assign) else []
    return any(isinstance(target, ast.Name) and target.id == "__slots__" for target in targets)


def message_parts(tree: ast.Module) -> set[int]:
    """The nodes that are doc comments, messages of logs and errors, or names of the code: no names that leave."""
    skipped = {id(key) for key in rename_keys(tree)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            skipped.add(id(node.value))
        elif is_slots(node):
            skipped |= {id(part) for part in ast.walk(node)}
        elif isinstance(node, ast.Call):
            name = called_name(node)
            if name in TYPING_CALLS or name.endswith(("Error", "Exception")):
                skipped |= {id(part) for part in ast.walk(node)}
            elif name in LOG_METHODS and node.args:
                skipped |= {id(part) for part in ast.walk(node.args[0])}
            skipped |= {
                id(part) for keyword in node.keywords if keyword.arg == "help" for part in ast.walk(keyword.value)
            }
        elif isinstance(node, ast.Raise) and node.exc:
            skipped |= {id(part) for part in ast.walk(node.exc)}
    return skipped


def words(tree: ast.Module) -> Iterator[str]:
    """Strings and bytes that are one word, a flag or a path, and the names in SQL that makes tables."""
    skipped = message_parts(tree)
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or id(node) in skipped:
            continue
        text = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
        if not isinstance(text, str):
            continue
        if WORD.fullmatch(text):
            yield text
        if "INTEGER" in text:
            yield from COLUMN.findall(text)
            yield from TABLE.findall(text)


def commands(tree: ast.Module) -> Iterator[str]:
    """Commands of the command line, which are named after their functions."""
    for node in ast.walk(tree):
        if isinstance(node, ast.FunctionDef):
            calls = [item for item in node.decorator_list if isinstance(item, ast.Call)]
            if any(called_name(call) == "command" for call in calls):
                yield node.name


def names_written_out(tree: ast.Module) -> set[str]:
    """Variables whose `.name` becomes part of a text."""
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.FormattedValue) and isinstance(node.value, ast.Attribute) and node.value.attr == "name":
            found.add(ast.unparse(node.value.value).split(".")[-1])
    return found


def enumeration_members(all_trees: list[ast.Module]) -> Iterator[str]:
    """Members of enumerations that are written out by name."""
    written = {name.replace("_", "").lower() for tree in all_trees for name in names_written_out(tree)}
    for tree in all_trees:
        for node in ast.walk(tree):
            if not isinstance(node, ast.ClassDef) or node.name.lower() not in written:
                continue
            if base_names(node) & {"Enum", "StrEnum", "IntEnum"}:
                for statement in node.body:
                    if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
                        yield statement.targets[0].id


def error_classes() -> Iterator[str]:
    """Errors of the packages that write the names of error classes."""
    for folder in sorted({path.parent for path in PACKAGE.rglob("*.py") if ").__name__" in path.read_text()}):
        for tree in trees(folder):
            yield from (
                node.name for node in ast.walk(tree) if isinstance(node, ast.ClassDef) and node.name.endswith("Error")
            )


def log_fields(all_trees: list[ast.Module]) -> Iterator[str]:
    """Fields of log lines that the tests, the benchmarks or the testbed look for."""
    looked_for = {
        node.value
        for folder in READERS
        for tree in trees(folder)
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }
    for tree in all_trees:
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and called_name(node) in LOG_METHODS:
                yield from (keyword.arg for keyword in node.keywords if keyword.arg and keyword.arg in looked_for)


def settings_keys() -> Iterator[str]:
    """Keys that settings files may have, and those of the deploy file."""
    for path in sorted(PACKAGE.rglob("*.cue")):
        yield from SETTINGS_KEY.findall(path.read_text())
    yield from re.findall(r"^(\w+) =", (ROOT / "deploy" / "balancer.toml").read_text(), re.MULTILINE)


def outer_names() -> set[str]:
    """All names of the present code that leave the process."""
    all_trees = list(trees(PACKAGE))
    renames: dict[str, ast.Dict] = {}
    for tree in all_trees:
        renames |= dictionaries(tree)
    found: set[str] = set()
    for tree in all_trees:
        found |= {*message_fields(tree, renames), *words(tree), *commands(tree)}
    found |= {*enumeration_members(all_trees), *error_classes(), *log_fields(all_trees), *settings_keys()}
    return found


if __name__ == "__main__":
    print(*sorted(outer_names()), sep="\n")
