"""State as plain data: objects of known classes, with what they share and how they point at one another.

Nothing is run by reading it, unlike pickle, and no depth of it uses the stack. Numbers, texts and bytes stand
for themselves; all else is a node, and a list with a node's index points at it.
"""

from __future__ import annotations

import hashlib
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

PLAIN = (type(None), bool, int, float, str, bytes)


class UnknownStateError(ValueError):
    """Data that does not stand for objects of the known classes."""


def form(classes: Iterable[type]) -> str:
    """A digest of the classes' fields: data of another form must not be read."""
    shapes = []
    for cls in classes:
        if issubclass(cls, Enum):
            names = [member.name for member in cls]
        elif is_dataclass(cls):
            names = [f.name for f in fields(cls)]
        else:
            names = sorted(cls.__init__.__code__.co_names)
        shapes.append(f"{cls.__name__}:{','.join(names)}")
    return hashlib.blake2b("\n".join(shapes).encode(), digest_size=8).hexdigest()


def encode(root: Any, classes: Sequence[type]) -> list[Any]:
    """The nodes of all that the root reaches, the root first. Unknown for an object of another class."""
    known = frozenset(classes)
    nodes: list[Any] = []
    found: dict[int, int] = {}
    keep: list[Any] = []  # what is made here must live as long as its id is used

    def point(value: Any) -> Any:
        if type(value) in PLAIN:
            return value
        index = found.get(id(value))
        if index is None:
            index = found[id(value)] = len(nodes)
            keep.append(value)
            nodes.append(None)
        return [index]

    point(root)
    done = 0
    while done < len(nodes):
        nodes[done] = _node(keep[done], known, point)
        done += 1
    return nodes


def _node(value: Any, known: frozenset[type], point: Any) -> list[Any]:
    cls = type(value)
    if cls is list or cls is tuple or cls is set or cls is deque:
        return [cls.__name__, *map(point, value)]
    if cls is dict:
        return ["dict", *(point(part) for pair in value.items() for part in pair)]
    if cls is random.Random:
        return ["random"]
    if cls not in known:
        raise UnknownStateError(f"{cls.__name__} is not of the state's classes")
    if isinstance(value, Enum):
        return ["enum", cls.__name__, value.name]
    return ["object", cls.__name__, *(point(part) for pair in _fields(value) for part in pair)]


def _fields(value: Any) -> Iterable[tuple[str, Any]]:
    if is_dataclass(value):  # it may have slots
        return [(f.name, getattr(value, f.name)) for f in fields(value)]
    return vars(value).items()


def decode(nodes: list[Any], classes: Sequence[type], chance: random.Random) -> Any:
    """The root. Random numbers go on from `chance`. Unknown if the data can't be what `encode` gave."""
    try:
        return _Reader(nodes, {cls.__name__: cls for cls in classes}, chance).root()
    except UnknownStateError:
        raise
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, RecursionError) as error:
        raise UnknownStateError(f"state that can't be read: {error!r}") from None


class _Reader:
    """Makes all nodes, then fills them: they may point at one another in circles."""

    def __init__(self, nodes: list[Any], classes: dict[str, type], chance: random.Random) -> None:
        self.nodes, self.classes, self.chance = nodes, classes, chance
        self.made: list[Any] = [self._shell(node) for node in nodes]
        self.tuples: dict[int, tuple[Any, ...]] = {}

    def root(self) -> Any:
        for node, shell in zip(self.nodes, self.made, strict=True):
            self._fill(node, shell)
        return self._value([0])

    def _shell(self, node: list[Any]) -> Any:
        kind = node[0]
        if kind == "object":
            cls = self.classes[node[1]]
            return object.__new__(cls)
        if kind == "enum":
            return self.classes[node[1]][node[2]]  # type: ignore[index]
        if kind == "random":
            return self.chance
        empty: dict[str, type] = {"list": list, "dict": dict, "set": set, "deque": deque}
        return None if kind == "tuple" else empty[kind]()

    def _value(self, value: Any) -> Any:
        if type(value) is not list:
            return value
        index = value[0]
        node = self.nodes[index]
        if node[0] != "tuple":
            return self.made[index]
        if index not in self.tuples:
            self.tuples[index] = tuple(map(self._value, node[1:]))
        return self.tuples[index]

    def _fill(self, node: list[Any], shell: Any) -> None:
        kind = node[0]
        if kind == "object":
            for name, value in zip(node[2::2], node[3::2], strict=True):
                object.__setattr__(shell, name, self._value(value))  # of frozen ones as well
        elif kind == "dict":
            shell.update(zip(map(self._value, node[1::2]), map(self._value, node[2::2]), strict=True))
        elif kind in ("list", "deque"):
            shell.extend(map(self._value, node[1:]))
        elif kind == "set":
            shell.update(map(self._value, node[1:]))
