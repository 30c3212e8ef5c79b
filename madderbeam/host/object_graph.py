"""Encoding of object graphs as plain data: objects of known classes, with shared references and cycles.

Unlike pickle, decoding runs no code, and no depth of the graph uses the stack. Numbers, strings and bytes are
encoded as themselves; everything else is a node, and a list with a node's index refers to it.
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
    """The data does not encode objects of the known classes, or an object is not of one of them."""


def classes_digest(classes: Iterable[type]) -> str:
    """Return a digest of the classes' fields; data encoded under another digest must not be decoded."""
    descriptions = []
    for cls in classes:
        if issubclass(cls, Enum):
            names = [member.name for member in cls]
        elif is_dataclass(cls):
            names = [field.name for field in fields(cls)]
        else:
            names = sorted(cls.__init__.__code__.co_names)
        descriptions.append(f"{cls.__name__}:{','.join(names)}")
    return hashlib.blake2b("\n".join(descriptions).encode(), digest_size=8).hexdigest()


def encode(root: Any, classes: Sequence[type]) -> list[Any]:
    """Return the nodes of all objects reachable from the root, which comes first.

    UnknownStateError for an object of another class.
    """
    known = frozenset(classes)
    nodes: list[Any] = []
    indexes: dict[int, int] = {}  # of nodes, by the object's id
    objects: list[Any] = []  # by node; keeps them alive while their ids are in use

    def refer(value: Any) -> Any:
        if type(value) in PLAIN:
            return value
        index = indexes.get(id(value))
        if index is None:
            index = indexes[id(value)] = len(nodes)
            objects.append(value)
            nodes.append(None)
        return [index]

    refer(root)
    position = 0
    while position < len(nodes):
        nodes[position] = _node(objects[position], known, refer)
        position += 1
    return nodes


def _node(value: Any, known: frozenset[type], refer: Any) -> list[Any]:
    cls = type(value)
    if cls is list or cls is tuple or cls is set or cls is deque:
        return [cls.__name__, *map(refer, value)]
    if cls is dict:
        return ["dict", *(refer(part) for pair in value.items() for part in pair)]
    if cls is random.Random:
        return ["random"]
    if cls not in known:
        raise UnknownStateError(f"{cls.__name__} is not among the classes that can be encoded")
    if isinstance(value, Enum):
        return ["enum", cls.__name__, value.name]
    return ["object", cls.__name__, *(refer(part) for pair in _fields(value) for part in pair)]


def _fields(value: Any) -> Iterable[tuple[str, Any]]:
    if is_dataclass(value):  # its class may have slots instead of a __dict__
        return [(f.name, getattr(value, f.name)) for f in fields(value)]
    return vars(value).items()


def decode(nodes: list[Any], classes: Sequence[type], rng: random.Random) -> Any:
    """Return the root object; `rng` replaces its random number generators.

    UnknownStateError if the data is not what `encode` returns.
    """
    try:
        return _Decoder(nodes, {cls.__name__: cls for cls in classes}, rng).root()
    except UnknownStateError:
        raise
    except (KeyError, TypeError, ValueError, IndexError, AttributeError, RecursionError) as error:
        raise UnknownStateError(f"state that can't be read: {error!r}") from None


class _Decoder:
    """Creates the objects of all nodes, then fills them, since they may refer to one another in cycles."""

    def __init__(self, nodes: list[Any], classes: dict[str, type], rng: random.Random) -> None:
        self.nodes, self.classes, self.rng = nodes, classes, rng
        self.objects: list[Any] = [self._create(node) for node in nodes]
        self.tuples: dict[int, tuple[Any, ...]] = {}

    def root(self) -> Any:
        """Fill all objects and return the root."""
        for node, empty in zip(self.nodes, self.objects, strict=True):
            self._fill(node, empty)
        return self._value([0])

    def _create(self, node: list[Any]) -> Any:
        kind = node[0]
        if kind == "object":
            cls = self.classes[node[1]]
            return object.__new__(cls)
        if kind == "enum":
            return self.classes[node[1]][node[2]]  # type: ignore[index]
        if kind == "random":
            return self.rng
        containers: dict[str, type] = {"list": list, "dict": dict, "set": set, "deque": deque}
        return None if kind == "tuple" else containers[kind]()

    def _value(self, value: Any) -> Any:
        if type(value) is not list:
            return value
        index = value[0]
        node = self.nodes[index]
        if node[0] != "tuple":
            return self.objects[index]
        if index not in self.tuples:
            self.tuples[index] = tuple(map(self._value, node[1:]))
        return self.tuples[index]

    def _fill(self, node: list[Any], empty: Any) -> None:
        kind = node[0]
        if kind == "object":
            for name, value in zip(node[2::2], node[3::2], strict=True):
                object.__setattr__(empty, name, self._value(value))  # works for frozen classes too
        elif kind == "dict":
            empty.update(zip(map(self._value, node[1::2]), map(self._value, node[2::2]), strict=True))
        elif kind in ("list", "deque"):
            empty.extend(map(self._value, node[1:]))
        elif kind == "set":
            empty.update(map(self._value, node[1:]))
