"""Mutants of the courier by rule, from its syntax trees; how one is put in the place of the running code.

A mutant changes one function, or one constant of a module. Its code object takes the place of the function's
own, so that whoever holds the function runs the mutant: nothing is imported anew. Only the courier is
mutated; what the simulation reads with (EXEMPT) is left alone, or a mutant could make the judge lie.
"""

from __future__ import annotations

import ast
import copy
import hashlib
import importlib
import sys
import types
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

PACKAGES = ("policy", "host", "transport", "journal")
ROOT = Path(__file__).parent.parent
# Never run in the simulation: the process, its files of settings, tools that only look.
LEFT_OUT = frozenset(
    {
        "host/process.py",
        "host/standalone.py",
        "host/process_upgrade.py",
        "journal/commands.py",
        "journal/inspect.py",
        "transport/passing.py",
    }
)
EXEMPT = frozenset({"journal/records.py:parse", "journal/records.py:_record_at"})
COMPARE = {
    ast.Lt: ast.LtE,
    ast.LtE: ast.Lt,
    ast.Gt: ast.GtE,
    ast.GtE: ast.Gt,
    ast.Eq: ast.NotEq,
    ast.NotEq: ast.Eq,
    ast.In: ast.NotIn,
    ast.NotIn: ast.In,
    ast.Is: ast.IsNot,
    ast.IsNot: ast.Is,
}
ARITHMETIC = {
    ast.Add: ast.Sub,
    ast.Sub: ast.Add,
    ast.Mult: ast.Div,
    ast.Div: ast.Mult,
    ast.FloorDiv: ast.Mult,
}
ASIDE = frozenset({"decorator_list", "returns", "annotation", "args"})
OTHER_NAME = {"min": "max", "max": "min", "any": "all", "all": "any"}


@dataclass(frozen=True)
class Mutant:
    """One change of one place."""

    path: str  # of the module, below the package
    name: str  # of the function, or of the constant
    line: int
    rule: str
    before: str  # the place as it is, and as it is changed, in one line each
    after: str
    index: int  # which of the module's, in the order of its tree
    digest: str  # of the function's lines: a verdict on it goes stale when they change

    @property
    def id(self) -> str:
        return f"{self.path}:{self.name}:{self.rule}:{self.index}:{self.digest}"


Change = Callable[[ast.AST], ast.AST | None]  # makes the changed place of a copy, None to leave it out


def _short(node: ast.AST | None) -> str:
    return " ".join(ast.unparse(node).split())[:80] if node is not None else "pass"


def _changed(node: Any, field: str, value: Any) -> ast.AST:
    new = copy.copy(node)
    setattr(new, field, value)
    return new


def _expression(node: ast.AST) -> Iterator[tuple[str, ast.AST]]:
    if isinstance(node, ast.Compare) and len(node.ops) == 1 and type(node.ops[0]) in COMPARE:
        yield "compare", _changed(node, "ops", [COMPARE[type(node.ops[0])]()])
    elif isinstance(node, ast.BoolOp):
        yield "and-or", _changed(node, "op", ast.Or() if isinstance(node.op, ast.And) else ast.And())
        if len(node.values) > 1:
            for at in range(len(node.values)):
                rest = node.values[:at] + node.values[at + 1 :]
                yield "condition", rest[0] if len(rest) == 1 else _changed(node, "values", rest)
    elif isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.Not):
        yield "negate", node.operand
    elif isinstance(node, ast.BinOp) and type(node.op) in ARITHMETIC:
        yield "arithmetic", _changed(node, "op", ARITHMETIC[type(node.op)]())
    elif isinstance(node, ast.Constant):
        if isinstance(node.value, bool):
            yield "constant", ast.Constant(not node.value)
        elif isinstance(node.value, int):
            yield "constant", ast.Constant(node.value + 1)
        elif isinstance(node.value, float):
            yield "constant", ast.Constant(node.value * 2 if node.value else 1.0)
    elif isinstance(node, ast.Call):
        if isinstance(node.func, ast.Name) and node.func.id in OTHER_NAME:
            yield "name", _changed(node, "func", ast.Name(OTHER_NAME[node.func.id], ast.Load()))
        plain = [at for at, a in enumerate(node.args) if not isinstance(a, ast.Starred)]
        same = isinstance(node.func, ast.Name) and node.func.id in OTHER_NAME  # in whatever order
        if len(plain) >= 2 and len(plain) == len(node.args) and not same:
            yield "arguments", _changed(node, "args", [node.args[1], node.args[0], *node.args[2:]])


def _statement(node: ast.AST) -> Iterator[tuple[str, ast.AST | None]]:
    if isinstance(node, (ast.If, ast.While)) and not isinstance(node.test, ast.Constant):
        yield "negate", _changed(node, "test", ast.UnaryOp(ast.Not(), node.test))
    elif (isinstance(node, ast.Expr) and isinstance(node.value, ast.Call)) or isinstance(node, ast.Raise):
        yield "left out", None
    elif isinstance(node, (ast.Assign, ast.AugAssign)):
        targets = node.targets if isinstance(node, ast.Assign) else [node.target]
        if all(isinstance(t, (ast.Attribute, ast.Subscript)) for t in targets):
            yield "left out", None
    elif isinstance(node, ast.Return) and node.value is not None and not isinstance(node.value, ast.Constant):
        yield "return", ast.Return(ast.Constant(None))
    elif isinstance(node, ast.Continue | ast.Break):
        yield "left out", None
    elif isinstance(node, ast.Try) and node.handlers:
        yield (
            "unguarded",
            _changed(node, "handlers", [_changed(h, "body", [ast.Raise(None, None)]) for h in node.handlers]),
        )


def _logs(node: ast.AST) -> bool:
    """What only logs changes nothing that anybody is owed."""
    call = node.value if isinstance(node, ast.Expr) else node
    return (
        isinstance(call, ast.Call)
        and isinstance(call.func, ast.Attribute)
        and isinstance(call.func.value, ast.Name)
        and call.func.value.id == "log"
    )


class _Walk:
    """All places of one function, in order, and the changes there."""

    def __init__(self) -> None:
        self.found: list[tuple[str, ast.AST, ast.AST | None, tuple[Any, ...]]] = []

    def body(self, owner: ast.AST, field: str) -> None:
        rows = getattr(owner, field)
        for at, node in enumerate(rows):
            if _logs(node) or (isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)):
                continue
            for rule, new in _statement(node):
                self.found.append((rule, node, new, (owner, field, at)))
            after = rows[at + 1] if at + 1 < len(rows) else None
            if self._swaps(node) and after is not None and self._swaps(after):
                swapped = ast.If(ast.Constant(True), [after, node], [])
                self.found.append(("order", node, swapped, (owner, field, at, "two")))
            self.children(node)

    @staticmethod
    def _swaps(node: ast.AST) -> bool:
        return isinstance(node, ast.Expr) and isinstance(node.value, ast.Call) and not _logs(node)

    def children(self, node: ast.AST) -> None:
        for field, value in ast.iter_fields(node):
            if field in ASIDE and not isinstance(node, ast.Call):
                continue
            if isinstance(value, list):
                if value and isinstance(value[0], ast.stmt):
                    self.body(node, field)
                    continue
                for at, item in enumerate(value):
                    if isinstance(item, ast.AST):
                        self.place(node, field, at, item)
            elif isinstance(value, ast.AST):
                self.place(node, field, None, value)

    def place(self, owner: ast.AST, field: str, at: int | None, node: ast.AST) -> None:
        if isinstance(node, ast.JoinedStr):  # a text
            return
        for rule, new in _expression(node):
            self.found.append((rule, node, new, (owner, field, at)))
        self.children(node)


def _functions(tree: ast.Module) -> Iterator[tuple[str, ast.AST]]:
    for node in tree.body:
        if isinstance(node, ast.FunctionDef):
            yield node.name, node
        elif isinstance(node, ast.ClassDef):
            for part in node.body:
                if isinstance(part, ast.FunctionDef):
                    yield f"{node.name}.{part.name}", part
        elif isinstance(node, ast.Assign) and isinstance(target := node.targets[0], ast.Name):
            yield target.id, node


def _places(path: str, source: str) -> Iterator[tuple[Mutant, ast.Module, ast.AST | None, tuple[Any, ...]]]:
    tree = ast.parse(source)
    index = 0
    lines = source.splitlines()
    for name, node in _functions(tree):
        if f"{path}:{name}" in EXEMPT:
            continue
        text = "\n".join(lines[node.lineno - 1 : node.end_lineno])  # type: ignore[attr-defined]
        digest = hashlib.blake2b(text.encode(), digest_size=4).hexdigest()
        walk = _Walk()
        if isinstance(node, ast.FunctionDef):
            walk.body(node, "body")
        elif isinstance(node, ast.Assign) and name.isupper():
            walk.place(node, "value", None, node.value)
        first = int(node.lineno)  # type: ignore[attr-defined]
        for rule, place, new, where in walk.found:
            line = getattr(place, "lineno", first)
            yield Mutant(path, name, line, rule, _short(place), _short(new), index, digest), tree, new, where
            index += 1


def sources(package: Path = ROOT) -> list[str]:
    """The modules that are mutated, below the package."""
    found = [p.relative_to(package).as_posix() for part in PACKAGES for p in (package / part).glob("*.py")]
    return sorted(p for p in found if p not in LEFT_OUT and not p.endswith("__init__.py"))


def mutants(path: str) -> list[Mutant]:
    """All mutants of a module."""
    return [m for m, *_ in _places(path, (ROOT / path).read_text())]


def plant(mutant: Mutant) -> None:
    """Put the mutant in the place of what runs, in this process and for good. LookupError if it is stale."""
    places = _places(mutant.path, (ROOT / mutant.path).read_text())
    place = next((p for p in places if p[0] == mutant), None)
    if place is None:
        raise LookupError(f"no such mutant: {mutant.id}")
    _, tree, new, (owner, field, at, *two) = place
    value: Any = new if new is not None else ast.Pass()
    if at is None:
        setattr(owner, field, value)
    elif two:
        getattr(owner, field)[at : at + 2] = [value]
    else:
        getattr(owner, field)[at] = value
    ast.fix_missing_locations(tree)
    module = importlib.import_module(f"madderbeam.{mutant.path.removesuffix('.py').replace('/', '.')}")
    code = compile(tree, mutant.path, "exec")
    target = _target(module, mutant.name)
    if isinstance(target, types.FunctionType):
        target.__code__ = _code(code, mutant.name)
    else:
        _constant(module, mutant.name, tree)


def _target(module: types.ModuleType, name: str) -> Any:
    found: Any = module
    for part in name.split("."):
        found = vars(found)[part]
    if isinstance(found, (staticmethod, classmethod)):
        found = found.__func__
    return found.fget if isinstance(found, property) else found


def _code(code: types.CodeType, name: str) -> types.CodeType:
    """A function's code among a module's; of a property with a setter the first."""
    for part in name.split("."):
        code = next(c for c in code.co_consts if isinstance(c, types.CodeType) and c.co_name == part)
    return code


def _constant(module: types.ModuleType, name: str, tree: ast.Module) -> None:
    """A constant changes wherever it was imported to."""
    node = next(
        n
        for n in tree.body
        if isinstance(n, ast.Assign) and isinstance(n.targets[0], ast.Name) and n.targets[0].id == name
    )
    old = vars(module)[name]
    new = eval(compile(ast.Expression(node.value), module.__name__, "eval"), vars(module))
    for other in list(sys.modules.values()):
        if getattr(other, "__name__", "").startswith("madderbeam") and vars(other).get(name) is old:
            setattr(other, name, new)
