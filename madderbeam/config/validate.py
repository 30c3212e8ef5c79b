"""One file against the model: what is wrong, what is allowed there, and what of it can still be used."""

from __future__ import annotations

import copy
import math
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from pydantic_core import ErrorDetails

from madderbeam.config import model as m
from madderbeam.config.report import Report, like, some
from madderbeam.config.source import Key, Source

Model = TypeVar("Model", bound=m.Table)


def _allowed(error: ErrorDetails, model: type[m.Table]) -> str:
    """What is allowed where pydantic found something wrong."""
    schema: dict[str, Any] = model.model_json_schema()
    node: dict[str, Any] = schema
    for part in error["loc"]:
        node = _resolve(schema, node)
        if isinstance(part, int):
            node = node.get("items", {})
        elif part in node.get("properties", {}):
            node = node["properties"][part]
        else:
            node = _named_table(node)
    return describe(schema, _resolve(schema, node))


def _named_table(node: dict[str, Any]) -> dict[str, Any]:
    """What stands under any name of a table whose keys are names."""
    return (
        next(iter(node.get("patternProperties", {}).values()), {}) or node.get("additionalProperties") or {}
    )


def _resolve(schema: dict[str, Any], node: dict[str, Any]) -> dict[str, Any]:
    while True:
        if "$ref" in node:
            node = schema["$defs"][node["$ref"].rpartition("/")[2]]
        elif "anyOf" in node and any(x.get("type") == "null" for x in node["anyOf"]):
            node = next(x for x in node["anyOf"] if x.get("type") != "null")
        else:
            return node


def describe(schema: dict[str, Any], node: dict[str, Any]) -> str:
    """A JSON Schema's node in words: 'a whole number from 1 to 12'."""
    node = _resolve(schema, node)
    if "anyOf" in node:
        return " or ".join(describe(schema, x) for x in node["anyOf"])
    if "enum" in node:
        return ", ".join(node["enum"])
    if "const" in node:
        return str(node["const"])
    kind = node.get("type")
    if kind in ("integer", "number"):
        least, most = node.get("minimum"), node.get("maximum")
        word = "a whole number" if kind == "integer" else "a number"
        if "exclusiveMinimum" in node:
            return f"{word} above {node['exclusiveMinimum']:g}" + (f", at most {most:g}" if most else "")
        return word + (f" from {least:,} to {most:,}" if most is not None else "").replace(",", "")
    if kind == "string":
        return (
            "a name of letters, digits, '.', '_', '-' with at most 64 characters"
            if "pattern" in node
            else "text"
        )
    if kind == "boolean":
        return "true or false"
    if kind == "array":
        least = node.get("minItems", 0)
        return f"a list of {'at least one ' if least else ''}{describe(schema, node.get('items', {}))}"
    if kind == "object":
        if node.get("patternProperties") and not node.get("properties"):
            inner = describe(schema, next(iter(node["patternProperties"].values())))
            return f"a table of {inner} by name"
        return "a table of " + some(node.get("properties", {}) or ("named tables",), 40)
    return "a value of its type"


def _wrong(error: ErrorDetails) -> str:
    kind, value = error["type"], error["input"]
    if kind == "missing":
        return "lacks"
    if kind == "extra_forbidden":
        return "no such setting"
    shown = repr(value) if not isinstance(value, (dict, list)) else type(value).__name__
    if isinstance(value, float) and not math.isfinite(value):
        return f"is {value}"
    return f"can't be {shown[:80]}"


def validate(model: type[Model], source: Source, report: Report) -> Model | None:
    """The file as its model. What is wrong is told and left out, so that the rest can be checked further;
    None if nothing useful remains."""
    raw, first = copy.deepcopy(source.raw), True
    places = _places(raw)
    while True:
        try:
            return TypeAdapter(model).validate_python(raw)
        except ValidationError as errors:
            found = errors.errors(include_url=False, include_context=False)
        for error in found:
            if first:
                _tell(error, model, source, report)
        first = False
        # A list's elements go from the end, so that the numbers of those before them hold.
        paths = sorted({_without(e) for e in found}, key=_depth, reverse=True)
        if not all(_drop(raw, path) for path in paths):
            return None
        source.kept = dict(_kept(raw, places))


def _places(value: Any) -> dict[int, int]:
    """Where each table that stands in a list has its place there, by the table's identity."""
    if isinstance(value, dict):
        return {k: v for inner in value.values() for k, v in _places(inner).items()}
    found: dict[int, int] = {}
    for n, inner in enumerate(value if isinstance(value, list) else ()):
        if isinstance(inner, dict):
            found[id(inner)] = n
        found |= _places(inner)
    return found


def _kept(value: Any, places: Mapping[int, int], path: Key = ()) -> Iterator[tuple[Key, list[int]]]:
    """Each list of tables, by its path in the file, with the places that its elements had there."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _kept(inner, places, (*path, key))
    elif isinstance(value, list) and all(id(x) in places for x in value):
        yield path, [places[id(x)] for x in value]
        for inner in value:
            yield from _kept(inner, places, (*path, places[id(inner)]))


def _without(error: ErrorDetails) -> Key:
    """What is to be left out so that this mistake is gone."""
    loc = _real(error)
    return loc[:-1] if error["type"] == "missing" else loc


def _depth(path: Key) -> tuple[Any, ...]:
    return tuple((1, part, "") if isinstance(part, int) else (0, 0, part) for part in path)


def _drop(raw: Any, path: Key) -> bool:
    """Leave a value out; whether there is still something to check. One that is gone already is no matter."""
    if not path:
        return False
    for part in path[:-1]:
        try:
            raw = raw[part]
        except (KeyError, IndexError, TypeError):
            return True
    if isinstance(raw, dict):
        raw.pop(path[-1], None)
    elif isinstance(raw, list) and isinstance(path[-1], int) and path[-1] < len(raw):
        del raw[path[-1]]
    return True


def _real(error: ErrorDetails) -> Key:
    """Where a mistake stands in the file: a union's branches and a table's key are no parts of that."""
    return tuple(p for p in error["loc"] if p not in ("str", "Endpoint", "[key]"))


def _tell(error: ErrorDetails, model: type[m.Table], source: Source, report: Report, path: Key = ()) -> None:
    loc = _real(error)
    if error["type"] == "extra_forbidden":
        schema = model.model_json_schema()
        node: dict[str, Any] = schema
        for part in error["loc"][:-1]:
            node = _resolve(schema, node)
            node = (
                node.get("items", {})
                if isinstance(part, int)
                else node.get("properties", {}).get(part) or _named_table(node)
            )
        known = list(_resolve(schema, node).get("properties", {}))
        report.add(source, (*path, *loc), "no such setting", some(known, 40), like(str(loc[-1]), known))
        return
    report.add(source, (*path, *loc), _wrong(error), _allowed(error, model))
